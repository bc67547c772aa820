#ifndef NET_EDGE_STATE_H
#define NET_EDGE_STATE_H

/* What the files net/edge*.c share; for no one else. */

#include <glib.h>
#include <time.h>
#include <uv.h>

#include "config/catalog.h"
#include "config/mirror.h"
#include "fleet/beacon.h"
#include "fleet/news.h"
#include "flow/cookie.h"
#include "net/datagrams.h"
#include "net/edge.h"
#include "net/event-log.h"
#include "net/http-server.h"
#include "store/store.h"

struct edge {
	uv_loop_t loop;
	const char *path; /* of the settings file */
	struct settings settings;
	struct timespec settings_mtime; /* of the file as last seen */
	off_t settings_size;
	uint64_t looked_ms; /* at the settings file */
	struct counters counters;
	struct event_log *log;
	struct catalog *catalog;
	struct view *view;
	struct shares *shares;
	struct placing *placing;
	struct cookie_steering *steering;
	struct beacons *beacons;
	struct mirror *mirror;
	struct news_log *news;
	struct store *store;
	struct store_watch *watch;
	struct datagrams *packets; /* callers' packets in, all packets out */
	struct datagrams *peers;   /* beacons and packets of other instances */
	struct http_server *ready;
	struct http_server *metrics;
	GHashTable *checks; /* of struct check that are under way */
	GQueue early; /* of struct early_packet: came before the first read */
	GRand *rand;
	uv_timer_t tick;
	uv_timer_t quick;
	uv_signal_t sighup;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t now_ms; /* refreshed when the loop wakes */
	uint64_t ticked_ms;
	uint64_t stopping_ms; /* when the stop began; 0: it has not */
	uint64_t packet_ms;   /* when the last packet of a caller came */
	uint64_t lease;	      /* of this instance's entry; 0: none */
	uint64_t lease_ms;    /* when it is to be renewed */
	bool registering;     /* a call about the entry is under way */
	bool synced;	      /* the store's entries have been read once */
	bool was_ready;
	char incarnation[17]; /* of this process, in logs */
};

/* Milliseconds on a clock that counts suspended time. */
uint64_t edge_clock_ms(void);

/* Since the store last answered; 0 if it never has. */
uint64_t edge_store_age_ms(const struct edge *e);

/* Whether callers' packets are wanted here. */
bool is_edge_ready(const struct edge *e);

/* edge-store.c: the store's entries and this instance's own */
void start_edge_store(struct edge *e);
void stop_edge_store(struct edge *e);
void tick_edge_store(struct edge *e);
void step_edge_mirror(struct edge *e, const struct mirror_event *ev);
/* N as read from DATA, which came FROM a peer. */
void take_edge_news(struct edge *e, const struct news *n, const void *data,
		    size_t len, const struct endpoint *from);

/* edge-packets.c: packets and beacons */
bool open_edge_ports(struct edge *e, struct status *st);
void tick_edge_beacons(struct edge *e);
/* Steers the packets that came too early, or drops those too old. */
void release_early_packets(struct edge *e);
void send_edge_resets(struct edge *e, const GArray *resets);

/* edge-check.c: checks of upstreams in doubt */
void check_upstreams(struct edge *e, const GArray *checks);
void cancel_checks(struct edge *e);

/* edge-status.c: what "baobabvalve status" shows, as JSON; use free() */
char *edge_status_text(const struct edge *e);

/* edge-http.c: readiness and metrics */
bool open_edge_http(struct edge *e, struct status *st);

#endif
