#ifndef FLOW_UNSETTLED_MARKS_H
#define FLOW_UNSETTLED_MARKS_H

/*
 * Marks of upstreams whose slots are unsettled: flows on these slots may be
 * recorded as being on another upstream, so the replicas must be queried for
 * packets of unknown flows. A mark expires unless it is renewed by an instance
 * that sees a reason for it or holds such a record; instances gossip marks.
 * Without a mark of an upstream, no flow on its slots is recorded anywhere.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MARK_LIFETIME_MS 300000	  /* from its last renewal */
#define MARK_RENEWAL_MIN_MS 60000 /* least extension that is gossiped */

struct unsettled_mark {
	uint64_t upstream;
	uint64_t until_ms;
	uint8_t peers_to_notify; /* that are still to be sent the mark */
};

struct unsettled_marks;

struct unsettled_marks *create_unsettled_marks(void);
void destroy_unsettled_marks(struct unsettled_marks *ms);

/*
 * Marks UPSTREAM of SERVICE until UNTIL_MS. If that is new or an extension by
 * MARK_RENEWAL_MIN_MS, the mark is to be sent to PEERS_TO_NOTIFY peers. True if
 * UPSTREAM was not marked at NOW_MS.
 */
bool set_unsettled_mark(struct unsettled_marks *ms, uint64_t service,
			uint64_t upstream, uint64_t until_ms, uint64_t now_ms,
			uint8_t peers_to_notify);

/* The marks of SERVICE (NR of them), some of which may have expired. */
const struct unsettled_mark *
list_service_marks(const struct unsettled_marks *ms, uint64_t service,
		   size_t *nr);

/* Calls EACH for marks that have not expired, until it returns false. */
typedef bool (*mark_fn)(uint64_t service, struct unsettled_mark *m, void *user);
void for_each_mark(struct unsettled_marks *ms, uint64_t now_ms, mark_fn each,
		   void *user);

void remove_expired_marks(struct unsettled_marks *ms, uint64_t now_ms);

#endif
