#ifndef T_RESTORE_SIMULATION_H
#define T_RESTORE_SIMULATION_H

/*
 * Simulates a store that is restored from older copies, an operator, one
 * upstream and the instances that follow the store: their mirrors, their
 * restored records and what is in force at each. Instance 0 reads the store,
 * the others follow its updates. Steps are deterministic. Checks, after each
 * step, what must hold in any order of events.
 */

#include <stdbool.h>
#include <stdint.h>

enum restore_event {
	RESTORE_CONFIG,	  /* the operator writes a new version */
	RESTORE_EVACUATE, /* the operator takes the domain out, or back */
	RESTORE_DRAIN,	  /* the upstream reports that it drains */
	RESTORE_LEAVE,	  /* it ends, and its entry is removed */
	RESTORE_BEGIN,	  /* it starts again under its id */
	RESTORE_COPY,	  /* the store takes a copy of its content */
	RESTORE_RESTORE,  /* the store comes back from that copy */
	RESTORE_OPERATOR, /* the operator writes again what was lost */
	RESTORE_UPSTREAM, /* the upstream writes again what was lost */
	RESTORE_WATCH,	  /* the reader's watch answers */
	RESTORE_UPDATES,  /* updates arrive at the other instances */
	RESTORE_LOSE,	  /* the next update to the others is lost */
	RESTORE_RESTART,  /* the last instance restarts */
	RESTORE_WAIT,	  /* 2.5 s pass */
	RESTORE_EVENT_NR
};

struct restore_sim;

/* BELIEVE_COPY: whatever a restored store has goes into force, to show that the
 * checks notice it. */
struct restore_sim *create_restore_sim(unsigned int instance_nr,
				       bool believe_copy);
void destroy_restore_sim(struct restore_sim *sim);

/* False, and nothing happens, if EV cannot happen now. */
bool step_restore_sim(struct restore_sim *sim, enum restore_event ev);

/* Lets all that is under way end; then all must agree with the owners. */
void settle_restore_sim(struct restore_sim *sim);

/* What was violated first; NULL: nothing. */
const char *restore_violation(const struct restore_sim *sim);

/* Equal for states from which the same can follow. */
uint64_t hash_restore_sim(const struct restore_sim *sim);

/* Reads of the whole store since the start, by all instances. */
unsigned int restore_read_count(const struct restore_sim *sim);

const char *restore_event_name(enum restore_event ev);

#endif
