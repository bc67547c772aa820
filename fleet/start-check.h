#ifndef FLEET_START_CHECK_H
#define FLEET_START_CHECK_H

/*
 * When an instance that has just started may place new flows. The store may
 * have been restored from an older copy a moment ago, which the instance cannot
 * tell; instances that knew the store before can. It asks one of them which
 * records of the copy are not to be believed, and does not go by a
 * configuration older than that of a ready peer. Without such a peer it serves
 * with what the store has. No I/O.
 */

#include <stdbool.h>
#include <stdint.h>

#define START_CHECK_ALONE_MS 300 /* without a ready peer */
#define START_CHECK_ASK_MS 100	 /* between two questions */
#define START_CHECK_MAX_MS 1000	 /* without an answer */

struct start_check {
	bool done;
	bool answered;	      /* a peer has told all records that it holds */
	uint64_t read_at_ms;  /* when the store had been read; 0: not yet */
	uint64_t asked_at_ms; /* 0: not yet */
};

/* What an instance knows while it checks. */
struct start_check_state {
	uint64_t store_era; /* 0: the store does not number its eras */
	bool has_ready_peer;
	uint64_t config_version;       /* in force here */
	uint64_t highest_peer_version; /* in force at ready peers */
};

/* Advances SC. Returns true if a ready peer is to be asked now. */
bool tick_start_check(struct start_check *sc,
		      const struct start_check_state *state, uint64_t now_ms);

#endif
