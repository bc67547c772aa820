#ifndef FLOW_MARKS_H
#define FLOW_MARKS_H

/*
 * Upstreams whose slots are unsettled: flows on them may be remembered as
 * living elsewhere, so unknown packets must ask the keepers. A mark lasts
 * until a time; whoever sees a reason, or keeps such a flow, renews it, and
 * instances pass marks on. Without any mark about an upstream, no flow on its
 * slots is remembered anywhere.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MARK_MS 300000	    /* how long one renewal lasts */
#define MARK_RENEW_MS 60000 /* least gain that is worth passing on */

struct mark {
	uint64_t upstream;
	uint64_t until;	 /* ms */
	uint8_t tell_nr; /* peers still to be told */
};

struct marks;

struct marks *create_marks(void);
void destroy_marks(struct marks *ms);

/*
 * Marks UPSTREAM of SERVICE until UNTIL and, if that adds MARK_RENEW_MS, wants
 * it told to TELL_NR peers. True if it was not marked at NOW_MS.
 */
bool set_mark(struct marks *ms, uint64_t service, uint64_t upstream,
	      uint64_t until, uint64_t now_ms, uint8_t tell_nr);

/* The marks of SERVICE, some of which may have expired; NR of them. */
const struct mark *service_marks(const struct marks *ms, uint64_t service,
				 size_t *nr);

/* Visits every mark that has not expired; stops when EACH returns false. */
typedef bool (*mark_fn)(uint64_t service, struct mark *m, void *user);
void each_mark(struct marks *ms, uint64_t now_ms, mark_fn each, void *user);

/* Forgets what has expired. */
void expire_marks(struct marks *ms, uint64_t now_ms);

#endif
