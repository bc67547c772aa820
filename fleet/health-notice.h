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
 * the highest rendezvous weight. It gets the suspicions of all instances, of
 * other domains too, and checks the upstream for its domain. While views differ
 * there may be several, or one that is dead; others then check after
 * HEALTH_ASSESSOR_WAIT_MS.
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

/* A suspicion is not repeated within this time. */
#define HEALTH_SUSPICION_REPEAT_MS 200

/*
 * A packet that an upstream did not answer for this long counts like a check
 * that found no connection. Packets may be queued on a congested link for a
 * quarter of a second.
 */
#define HEALTH_UNANSWERED_MS 300

/* How long a check must have run before such packets may confirm it. */
#define HEALTH_CONFIRMED_CHECK_MS 150

/*
 * How much longer than the assessor others wait before they check an upstream.
 * In this time the assessor checks twice, or its silence shows.
 */
#define HEALTH_ASSESSOR_WAIT_MS 600

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

/*
 * Notices do not tell which start of an upstream they are about. For this long
 * after a new one was heard of, an instance that is cut off from the store, or
 * just was, may still know the one before.
 */
#define HEALTH_START_UNKNOWN_MS 10000

#define HEALTH_NEVER_MS UINT32_MAX /* no sign of life was ever seen */

enum health_notice_kind {
	NOTICE_SUSPICION, /* a packet was not answered in time */
	NOTICE_VERDICT,	  /* checks proved HEALTH */
	/* a check failed while the link to the upstream's domain was not up */
	NOTICE_LINK_CHECK,
	NOTICE_KIND_NR
};

struct health_notice {
	enum health_notice_kind kind;
	char sender[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX]; /* of the sender */
	uint32_t cookie;	      /* of the upstream */
	uint64_t upstream_id;
	enum upstream_health health; /* HEALTH_GOOD withdraws a notice */
	uint32_t silent_ms; /* since its last sign of life to the sender */
	/* since the check began, or the packet without an answer was sent */
	uint32_t check_ms;
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
 * or lost. Notices about upstreams there are neither sent nor used, but for
 * those that concern the link: the upstreams may be unreachable rather than
 * dead. Without FN all links are taken to be up.
 */
typedef bool (*notice_link_fn)(const char *domain, void *user);
void set_notice_link_test(struct health_notices *hn, notice_link_fn fn,
			  void *user);
bool is_notice_link_doubtful(const struct health_notices *hn,
			     const char *domain);

/* Whether notices of kind K are meant for times when a link is not up. */
bool concerns_link(enum health_notice_kind k);

/*
 * Queues a notice about an upstream of DOMAIN, unless this domain's members
 * were told the same recently, or the link to DOMAIN is doubtful and the notice
 * does not concern it. The names of the sender are filled in here.
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

/*
 * Notes that instance MEMBER has a packet to upstream ID that was not answered
 * for UNANSWERED_MS. True if MEMBER had reported none before.
 */
bool note_witness(struct health_notices *hn, uint64_t id, uint64_t member,
		  uint32_t unanswered_ms, uint64_t now_ms);

/* Forgets what was reported about upstream ID, which has shown life. */
void forget_witnesses(struct health_notices *hn, uint64_t id);

/*
 * Number of other instances that lately reported a packet to upstream ID that
 * was not answered for HEALTH_UNANSWERED_MS.
 */
unsigned int unanswered_witness_count(const struct health_notices *hn,
				      uint64_t id, uint64_t now_ms);

/*
 * Notices pauses of this process; call every few ms. True if it was paused:
 * silences of upstreams noted before prove nothing, and are forgotten here.
 */
bool tick_health_notices(struct health_notices *hn, uint64_t now_ms);

/* How long what is received now may have waited unread, due to a pause. */
uint64_t notice_held_ms(const struct health_notices *hn, uint64_t now_ms);

/* Moves the queued notices to the end of OUT (of struct outgoing_notice). */
void pop_health_notices(struct health_notices *hn, GArray *out);

/*
 * Appends the members that ON is sent to, to TO (of const struct member *,
 * valid until the view changes). Suspicions go to the assessors of all domains,
 * and verdicts that other domains do not adopt to the assessors there. Notices
 * that concern a link stay in this domain, since others have links of their own.
 */
void list_notice_receivers(const struct health_notices *hn,
			   const struct outgoing_notice *on, GArray *to);

/* True if this instance checks upstream ID for its domain. */
bool is_upstream_assessor(const struct health_notices *hn, uint64_t id);

#endif
