#ifndef CONFIG_PUBLISH_PLAN_H
#define CONFIG_PUBLISH_PLAN_H

/*
 * What a publish writes: the pointer that it swaps in, the parts that are not
 * in the store yet, and the retired parts that it deletes.
 */

#include "config/parts.h"

struct publish_plan {
	struct pointer *pointer;
	GArray *parts;	/* of struct part: all of the configuration */
	GArray *fresh;	/* of guint: those of PARTS to be written */
	guint uploaded; /* how many of FRESH were added to a transaction */
};

/*
 * Plans to put NEXT in force after the pointer OLD (NULL for none), whose
 * number of buckets it keeps. Adds to PS what breaks a limit.
 */
void make_plan(struct publish_plan *pl, const struct pointer *old,
	       const struct snapshot *next, uint32_t bucket_nr,
	       struct problems *ps);

/* Frees what PL holds; it may be made again. */
void release_plan(struct publish_plan *pl);

/* Whether there is more to write than fits beside the pointer. */
bool upload_is_due(const struct publish_plan *pl);

/*
 * Whether the pointer OLD lists all fresh parts as retired. Parts that are put
 * ahead of the pointer are announced so first: if their publisher ends before
 * its swap, a later one collects them.
 */
bool is_announced(const struct publish_plan *pl, const struct pointer *old);

/* Adds a put of OLD to T, with the fresh parts listed as retired. */
void add_announcement(const struct publish_plan *pl, const struct pointer *old,
		      struct txn *t);

/* Adds puts of fresh parts to T, as many as one transaction takes. */
void add_uploads(struct publish_plan *pl, struct txn *t);

/* Whether more retired parts of OLD are due than one swap deletes. */
bool sweep_is_due(const struct pointer *old);

/*
 * Adds a put of P to T, and deletes of some retired parts that no reader
 * needs at P's epoch; those leave P's list.
 */
void add_swap(struct txn *t, struct pointer *p);

#endif
