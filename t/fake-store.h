#ifndef T_FAKE_STORE_H
#define T_FAKE_STORE_H

/*
 * An in-memory store for tests: the key-value state of the store stand-in
 * behind the real JSON codec. Calls are synchronous; faults can be injected.
 */

#include "config/store-call.h"

enum fake_fault {
	FAKE_NONE,
	FAKE_UNREACHABLE,  /* STATUS_UNAVAILABLE, no effect */
	FAKE_REQUEST_LOST, /* STATUS_UNKNOWN, no effect */
	FAKE_ANSWER_LOST,  /* STATUS_UNKNOWN, took effect */
	FAKE_DELAYED,	   /* STATUS_UNKNOWN, see apply_delayed_calls() */
	FAKE_SENT_TWICE,   /* resent by the HTTP library; second answer */
	FAKE_FAULT_NR
};

/* Bugs of the store, to check that the property tests notice them. */
enum fake_flaw {
	FAKE_NO_FLAW,
	FAKE_NO_COMPARE,  /* transactions ignore their comparisons */
	FAKE_LOST_PUT,	  /* the last of three or more puts is lost */
	FAKE_STALE_READS, /* a read shows the state before the last write */
	FAKE_AUDIT_TWICE  /* an audit entry is written under two keys */
};

struct fake_store;

struct fake_store *create_fake_store(enum fake_flaw flaw);
void destroy_fake_store(struct fake_store *f);

/* Makes the call ACT; release_store_answer() frees what A holds. */
void call_fake_store(struct fake_store *f, const struct change_action *act,
		     enum fake_fault fault, struct store_answer *a);

/* Applies the transactions that were delayed by FAKE_DELAYED. */
void apply_delayed_calls(struct fake_store *f);

/* Saves a copy of all keys, or goes back to the copy if there is one. */
void save_fake_store(struct fake_store *f);
void restore_fake_store(struct fake_store *f);

/*
 * Gets the changes of RANGE from *REVISION on and sets *REVISION to the
 * revision to continue from; false if there are no changes.
 */
bool watch_fake_store(struct fake_store *f, const struct store_range *range,
		      uint64_t *revision, struct store_answer *a);

/* Number of calls made so far. */
uint64_t fake_store_call_count(const struct fake_store *f);

#endif
