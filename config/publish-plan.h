#ifndef CONFIG_PUBLISH_PLAN_H
#define CONFIG_PUBLISH_PLAN_H

/*
 * What a publish writes: the new pointer, the parts that are not in the store
 * yet, and deletes of retired parts.
 */

#include "config/parts.h"

struct publish_plan {
	struct pointer *pointer;
	GArray *parts;	   /* of struct part: the whole configuration */
	GArray *new_parts; /* of guint: indexes in PARTS of those to write */
	guint uploaded_nr; /* how many NEW_PARTS were put in a transaction */
};

/*
 * Plans to put NEXT in force after the pointer OLD, whose number of buckets it
 * keeps; BUCKET_NR is used if OLD is NULL. Adds a problem to PS for each limit
 * that is exceeded.
 */
void make_publish_plan(struct publish_plan *pl, const struct pointer *old,
		       const struct snapshot *next, uint32_t bucket_nr,
		       struct problems *ps);

/* Frees what PL holds; PL may be filled again. */
void release_publish_plan(struct publish_plan *pl);

/* Whether there are more new parts than fit in the pointer's transaction. */
bool needs_upload(const struct publish_plan *pl);

/*
 * Whether the pointer OLD lists all new parts as retired. Parts that are
 * written before the pointer are first listed as retired: if their publisher
 * dies before it replaces the pointer, a later publish deletes them.
 */
bool is_upload_announced(const struct publish_plan *pl,
			 const struct pointer *old);

/* Adds a put of OLD to T, with the new parts listed as retired. */
void add_announcement_put(const struct publish_plan *pl,
			  const struct pointer *old, struct txn *t);

/* Adds puts of new parts to T, as many as fit in one transaction. */
void add_part_puts(struct publish_plan *pl, struct txn *t);

/* Whether one transaction cannot delete all parts of OLD that are due. */
bool needs_part_deletion(const struct pointer *old);

/*
 * Adds a put of P to T, and deletes of retired parts that no reader needs at
 * P's epoch, as many as one transaction may delete. Removes these parts from
 * P's list of retired parts.
 */
void add_pointer_swap(struct txn *t, struct pointer *p);

#endif
