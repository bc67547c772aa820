#ifndef NET_EDGE_STATE_H
#define NET_EDGE_STATE_H

/* State shared by the files net/edge*.c, private to them. */

#include <glib.h>
#include <time.h>
#include <uv.h>

#include "base/loop-lag.h"
#include "config/catalog.h"
#include "config/mirror.h"
#include "config/restored-records.h"
#include "fleet/health-notice.h"
#include "fleet/heartbeat.h"
#include "fleet/introduction.h"
#include "fleet/value-transfer.h"
#include "flow/moved-flows.h"
#include "fleet/start-check.h"
#include "fleet/store-update.h"
#include "flow/cookie.h"
#include "flow/isolation.h"
#include "flow/split-flows.h"
#include "net/datagrams.h"
#include "net/edge.h"
#include "net/event-log.h"
#include "net/http-server.h"
#include "store/store.h"

struct edge {
	uv_loop_t loop;
	const char *path; /* the settings file */
	struct settings settings;
	struct timespec
		settings_mtime; /* of the file when it was last checked */
	off_t settings_size;	/* bytes, as of the same check */
	uint64_t settings_checked_ms;
	struct counters counters;
	struct event_log *log;
	struct catalog *catalog;
	struct view *view;
	struct quotas *upstream_quotas;
	struct domain_links *domain_links;
	struct placer *placement;
	struct health_notices *health_notices;
	struct cookie_steering *steering;
	struct isolation isolation;
	struct moved_flows *moved_flows;
	struct split_inquiry split_inquiry;
	bool has_known_split_flows; /* that inquiry was done once */
	struct split_knowledge split_knowledge;
	struct heartbeat_tracker *instance_heartbeats;
	struct introduction *introduction;
	struct mirror *mirror;
	struct restored_records *restored_records;
	struct start_check start_check;
	struct update_log *recent_updates;
	struct endpoint update_sender; /* of the last update; port 0: none */
	struct value_receiver *value_receiver;
	struct store *store;
	struct store_watch *watch;
	/* receives from callers, sends to callers and upstreams */
	struct datagrams *packet_socket;
	/* heartbeats, store updates and relayed packets of other instances */
	struct datagrams *peer_socket;
	struct http_server *ready_server;
	struct http_server *metrics_server;
	GHashTable *health_checks; /* struct health_check, those running */
	GQueue early_packets;	   /* struct early_packet; see edge-packets.c */
	GRand *rand;
	uv_timer_t tick_timer;
	uv_timer_t fast_tick_timer;
	uv_signal_t sighup;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t now_ms; /* edge_clock_ms() when the current callback began */
	uint64_t last_tick_ms;
	struct loop_lag loop_lag; /* of on_fast_tick() */
	uint64_t stop_began_ms;	  /* 0: not stopping */
	uint64_t last_packet_ms;  /* last packet from a caller */
	uint64_t peers_read_ms;	  /* last time that they went first */
	uint64_t entry_lease;	  /* of this instance's store entry; 0: none */
	uint64_t entry_lease_era; /* of the store, when it was granted */
	uint64_t lease_call_due_ms; /* next grant or renewal of ENTRY_LEASE */
	bool registration_pending;  /* a call for that entry runs */
	unsigned int registration_failures; /* of such calls, in a row */
	/* configuration up to which entries of new services were applied */
	uint64_t services_version;
	/* the last one after which flows of dropped routes were ended */
	uint64_t routes_version;
	bool synced;	      /* all store entries have been read once */
	bool logged_ready;    /* readiness as last logged */
	char incarnation[17]; /* random id of this process, for logs */
};

/* Milliseconds since boot, including time the machine was suspended. */
uint64_t edge_clock_ms(void);

/* Time since the store last answered; 0 if it never has. */
uint64_t edge_store_age_ms(const struct edge *e);

/* True if new flows may be placed: routes and entries are known. */
bool may_place_flows(const struct edge *e);

/*
 * True if routes and entries are known, upstreams can be reached and the
 * process is not stopping.
 */
bool is_edge_ready(const struct edge *e);

/* edge-store.c: copies the store's entries, registers this instance */
void start_edge_store(struct edge *e);
void stop_edge_store(struct edge *e);
void tick_edge_store(struct edge *e);
void step_edge_mirror(struct edge *e, const struct mirror_event *ev);
/* Handles N, which was decoded from DATA and sent by the peer FROM. */
void handle_edge_update(struct edge *e, const struct store_update *n,
			const void *data, size_t len,
			const struct endpoint *from);

void answer_value_request(struct edge *e, const struct value_request *r,
			  const struct endpoint *from);
void handle_value_part(struct edge *e, const uint8_t *data, size_t len);

/* edge-records.c: applies the store's records */
void apply_edge_change(struct edge *e, const struct mirror_action *a);
/*
 * Applies the entries of services that the configuration names and the one
 * before did not. To be called when all changes that were learned at once have
 * been applied.
 */
void apply_new_services(struct edge *e);
/* To be called then, too, and from time to time. */
void end_flows_of_dropped_routes(struct edge *e);
/* Lets what the store has of records that are no longer held go into force. */
void tick_edge_records(struct edge *e);
/* Takes over the records that a peer holds, which N lists. */
void adopt_edge_records(struct edge *e, const struct store_update *n);
void set_edge_hold_times(struct edge *e); /* from the settings */

/* edge-split-flows.c: tells and asks members of split flows */

/* Instances that get a packet whose upstream is not known here. */
#define RELAY_TARGETS_MAX 2

void tick_edge_split_flows(struct edge *e);
void handle_split_flows(struct edge *e, const uint8_t *data, size_t len,
			const struct endpoint *from);
void answer_split_flows_request(struct edge *e, const struct endpoint *from);
/*
 * Decides about P, a packet that is no SYN and whose upstream may be known here.
 * Sets TO and *NR to the members that get it if it is to be relayed.
 */
enum unknown_packet
decide_edge_packet(struct edge *e, const struct cookie_packet *p, bool relayed,
		   struct endpoint to[RELAY_TARGETS_MAX], size_t *nr);
/*
 * Whether this instance knows all split flows that callers may still use: it
 * has missed no notice for long enough, or was told by a member that knew all.
 */
bool knows_all_split_flows(const struct edge *e);
/* After a pause: what members told meanwhile may be lost. */
void restart_split_inquiry(struct edge *e);

/* edge-introduction.c: finds peers by the seeds */
void tick_edge_introduction(struct edge *e);
void answer_introduction_request(struct edge *e, const struct endpoint *from);
void handle_introduction(struct edge *e, const uint8_t *data, size_t len,
			 const struct endpoint *from);

/* A peer that gets datagrams from functions that take a callback. */
struct peer_target {
	struct edge *e;
	const struct endpoint *to;
};

/* edge-packets.c: packets, heartbeats and store updates over UDP */
bool open_edge_ports(struct edge *e, struct status *st);
void tick_edge_heartbeats(struct edge *e);
/* Queues a datagram for the peer TO; flush_datagrams() sends it. */
void send_to_peer(struct edge *e, const struct endpoint *to, const void *data,
		  size_t len);
/* The same for USER, a struct peer_target. */
void send_to_target(const void *data, size_t len, void *user);
/* Sends the health notices that are queued. */
void send_edge_notices(struct edge *e);
/* Steers or relays queued packets as soon as that is possible; drops old ones. */
void steer_early_packets(struct edge *e);
/* Tells peers of the domain which of their flows come here now. */
void tick_edge_moved_flows(struct edge *e);
/* Sends on or refuses SYNs that waited for room. */
void tick_edge_waiting_syns(struct edge *e);
void send_edge_resets(struct edge *e, const GArray *resets);

/* edge-check.c: health checks of suspected upstreams */
void start_health_checks(struct edge *e, const GArray *checks);
void cancel_health_checks(struct edge *e);
/* Resets the flows of NR if it is dead or cut off. */
void reset_flows_if_unusable(struct edge *e, upstream_index_t nr);

/* edge-evidence.c: what verdicts and resets rest on */

#define EVIDENCE_TEXT_BYTES 320

/*
 * Fields of a log line about the reset of an open flow of upstream NR for
 * REASON: what is known of NR, or of its link, now. Returns TEXT.
 */
const char *format_reset_evidence(const struct edge *e,
				  enum cookie_reason reason,
				  upstream_index_t nr,
				  char text[EVIDENCE_TEXT_BYTES]);
/* CH: an upstream was found dead or cut off. */
void log_lost_upstream(struct edge *e, const struct health_change *ch);
/* What became of the verdict N of a peer on upstream NR (CATALOG_NONE: unknown). */
void log_peer_verdict(struct edge *e, const struct health_notice *n,
		      upstream_index_t nr, enum verdict_outcome outcome);
/* How late the loop ran lately; see recent_loop_lag_ms(). */
uint64_t edge_loop_lag_ms(const struct edge *e);

/* edge-status.c: what "baobabvalve status" shows, as JSON; free() the text */
char *format_edge_status(const struct edge *e);

/* edge-http.c: readiness, metrics and status over HTTP */
bool open_edge_http(struct edge *e, struct status *st);

#endif
