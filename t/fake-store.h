#ifndef T_FAKE_STORE_H
#define T_FAKE_STORE_H

/*
 * A store in memory for tests of deciding code: the stand-in's state behind
 * the real codec, one call at a time, with faults.
 */

#include "config/store-call.h"

enum fake_fault {
	FAKE_NONE,
	FAKE_DOWN,   /* not reached */
	FAKE_BEFORE, /* lost before it took effect */
	FAKE_AFTER,  /* took effect, the answer was lost */
	FAKE_LATE,   /* the answer was lost; takes effect at flush_fake() */
	FAKE_TWICE,  /* a library sent the call twice; the second's answer */
	FAKE_FAULT_NR
};

/* Ways to be wrong, to see the properties fail. */
enum fake_flaw {
	FAKE_SOUND,
	FAKE_NO_COMPARE,  /* transactions ignore their comparisons */
	FAKE_TORN,	  /* the last of three or more puts is lost */
	FAKE_STALE_READS, /* a read shows the state before the last write */
	FAKE_AUDIT_TWICE  /* an audit entry is written under two keys */
};

struct fake_store;

struct fake_store *create_fake(enum fake_flaw flaw);
void destroy_fake(struct fake_store *f);

/* Makes the call ACT; release_store_answer() frees what A holds. */
void call_fake(struct fake_store *f, const struct change_action *act,
	       enum fake_fault fault, struct store_answer *a);

/* Lets the calls that were late take effect. */
void flush_fake(struct fake_store *f);

/* Keeps a copy of all keys; goes back to it. */
void save_fake(struct fake_store *f);
void restore_fake(struct fake_store *f);

/* Changes of RANGE from *REVISION on, which moves on; false if none. */
bool watch_fake(struct fake_store *f, const struct store_range *range,
		uint64_t *revision, struct store_answer *a);

/* Calls made so far. */
uint64_t fake_calls(const struct fake_store *f);

#endif
