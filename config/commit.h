#ifndef CONFIG_COMMIT_H
#define CONFIG_COMMIT_H

/*
 * Carries one transaction through lost answers. A transaction that writes an
 * audit entry with a unique id is accepted if and only if that entry is in
 * the store. The entry is read back after an answer was lost, before the
 * transaction is sent again, and after a refusal, since a copy that a library
 * sent again by itself may have been accepted before. Sending it again is
 * safe: all copies compare the same revision, so that at most one takes
 * effect.
 */

#include <glib.h>

#include "config/audit.h"
#include "config/store-call.h"

enum commit_outcome {
	COMMIT_OPEN,	    /* not decided yet */
	COMMIT_ACCEPTED,    /* took effect, once */
	COMMIT_CONFLICT,    /* had no effect and never will */
	COMMIT_UNAVAILABLE, /* had no effect: the store was not reached */
	COMMIT_UNKNOWN	    /* may have had an effect */
};

enum commit_state { COMMIT_SENT, COMMIT_READING_BACK, COMMIT_RESTING };

struct commit {
	struct store_txn txn;
	char audit_key[AUDIT_KEY_MAX];
	char id[PUBLISH_ID_MAX];
	enum commit_state state;
	enum commit_state resume; /* after the rest */
	enum commit_outcome outcome;
	bool doubtful;	    /* an answer to TXN was lost */
	bool refused;	    /* TXN's comparisons did not hold */
	unsigned int tries; /* failures so far */
	GRand *rand;
};

/* Starts on TXN, whose audit entry has ID and AUDIT_KEY. */
void start_commit(struct commit *c, const struct store_txn *txn,
		  const char *audit_key, const char *id, GRand *rand,
		  struct change_action *out);

/*
 * Takes an answer (NULL after a wait). Fills OUT, unless the outcome is known
 * after the call.
 */
void step_commit(struct commit *c, const struct store_answer *a,
		 struct change_action *out);

#endif
