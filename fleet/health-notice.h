#ifndef FLEET_HEALTH_NOTICE_H
#define FLEET_HEALTH_NOTICE_H

/*
 * Health notices: datagrams by which an instance tells others at once what it
 * has found about an upstream, instead of with the next heartbeat. This module
 * has their format and decides whom to send which notice and when; the placer
 * (flow/placement-notices.c) decides what follows from a notice. Notices may be
 * lost or repeated; heartbeats repair what is missing. No I/O.
 *
 * Each failure domain has one assessor for each upstream: the live member with
 * the highest rendezvous weight. It checks the upstream for its domain. While
 * views differ there may be several, or one that is dead.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/wire.h"
#include "fleet/load.h"
#include "fleet/peer-format.h"
#include "fleet/view.h"

/* The same verdict is not sent again within this time. */
#define HEALTH_VERDICT_REPEAT_MS 2000

/*
 * What a notice says is out of date after this time: callers have retransmitted
 * since, and the upstream may have been restarted.
 */
#define HEALTH_NOTICE_MAX_AGE_MS 1000

/*
 * A longer gap between two ticks means that this process was paused. Packets
 * and notices that arrived meanwhile are read within HEALTH_HELD_MS after it.
 */
#define HEALTH_PAUSE_MS 100
#define HEALTH_HELD_MS 100

#define HEALTH_NEVER_MS UINT32_MAX /* no sign of life was ever seen */

enum health_notice_kind {
	NOTICE_VERDICT, /* a check, or more, proved HEALTH */
	NOTICE_KIND_NR
};

struct health_notice {
	enum health_notice_kind kind;
	char sender[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX]; /* of the sender */
	uint32_t cookie;	      /* of the upstream */
	uint64_t upstream_id;
	enum upstream_health health; /* HEALTH_GOOD withdraws a verdict */
	uint32_t silent_ms; /* since its last sign of life to the sender */
	uint32_t check_ms;  /* since the check began */
};

/* A notice to send, and whether to all members; see list_notice_receivers(). */
struct outgoing_notice {
	struct health_notice notice;
	bool to_all;
};

/* Appends N to W, which the caller releases. */
void write_health_notice(struct wire_writer *w, const struct health_notice *n);

/* Reads a notice. False if malformed. */
bool read_health_notice(const void *data, size_t len, struct health_notice *n);

/*
 * True if N is too old to be used. HELD_MS: how long it may have waited unread,
 * since this process was paused.
 */
bool is_stale_notice(const struct health_notice *n, uint64_t held_ms);

struct health_notices;

/* Notices of the instance whose view is VIEW. */
struct health_notices *create_health_notices(const struct view *view);
void destroy_health_notices(struct health_notices *hn);

/*
 * FN returns true while the link to DOMAIN, another failure domain, is doubtful
 * or lost. Notices about upstreams there are neither sent nor used: they may be
 * unreachable rather than dead. Without FN all links are taken to be up.
 */
typedef bool (*notice_link_fn)(const char *domain, void *user);
void set_notice_link_test(struct health_notices *hn, notice_link_fn fn,
			  void *user);
bool is_notice_link_doubtful(const struct health_notices *hn,
			     const char *domain);

/*
 * Queues a notice about an upstream of DOMAIN, unless this domain's members
 * were told the same recently or the link to DOMAIN is doubtful. The names of
 * the sender are filled in here.
 */
void post_health_notice(struct health_notices *hn,
			const struct health_notice *n, const char *domain,
			uint64_t now_ms);

/* Notes that N was received. */
void note_received_notice(struct health_notices *hn,
			  const struct health_notice *n, uint64_t now_ms);

/*
 * True if a verdict HEALTH of an instance of domain SENDER on an upstream of
 * domain UPSTREAM holds in all domains. Without a connection an instance knows
 * only about its own domain's links, and across a link a refusal may come from
 * the link.
 */
bool holds_in_all_domains(enum upstream_health health, const char *sender,
			  const char *upstream);

/* Notices pauses of this process; call every few ms. */
void tick_health_notices(struct health_notices *hn, uint64_t now_ms);

/* How long what is received now may have waited unread, due to a pause. */
uint64_t notice_held_ms(const struct health_notices *hn, uint64_t now_ms);

/* Moves the queued notices to the end of OUT (of struct outgoing_notice). */
void pop_health_notices(struct health_notices *hn, GArray *out);

/*
 * Appends the members that ON is sent to, to TO (of const struct member *,
 * valid until the view changes). Verdicts that other domains do not adopt go
 * only to the assessors there.
 */
void list_notice_receivers(const struct health_notices *hn,
			   const struct outgoing_notice *on, GArray *to);

/* True if this instance checks upstream ID for its domain. */
bool is_upstream_assessor(const struct health_notices *hn, uint64_t id);

#endif
