#ifndef CONFIG_DOMAIN_CHANGE_H
#define CONFIG_DOMAIN_CHANGE_H

/*
 * Takes one failure domain out of service or back. Refuses a domain that no
 * upstream of the configuration is in, and refuses to take out the last domain
 * in service. Taking one out compares the records of all domains, so that two
 * operators at once cannot together take out the last ones. Returns the store
 * calls to make; performs no I/O.
 */

#include "config/store-call.h"
#include "config/store-head.h"

struct domain_intent {
	char name[CONFIG_NAME_MAX];
	bool out;
	bool force;	/* allow the last domain and an unknown one */
	const char *id; /* unique for each change */
	const char *who;
	const char *why;
	uint64_t when_ms;     /* Unix time */
	uint64_t known_epoch; /* highest epoch of its record on instances */
};

struct domain_change;

/* INTENT's strings are copied. SEED is for the jitter of retries. */
struct domain_change *create_domain_change(const struct domain_intent *intent,
					   uint32_t seed);
void destroy_domain_change(struct domain_change *dc);

/* Processes A (NULL at first and after a wait); OUT gets the next action. */
void step_domain_change(struct domain_change *dc, const struct store_answer *a,
			struct change_action *out);

/*
 * After CHANGE_DONE: STATUS_OK, with a message, if the domain is in the wanted
 * state; STATUS_NOT_FOUND or STATUS_INVALID if the change was refused;
 * STATUS_CONFLICT if another operator changed the domain meanwhile;
 * STATUS_UNKNOWN if the change may or may not have taken effect.
 */
const struct status *domain_change_status(const struct domain_change *dc);

/* The record's epoch after STATUS_OK. */
uint64_t domain_change_epoch(const struct domain_change *dc);

/* Whether a change was committed; false if STATUS_OK needed none. */
bool domain_change_committed(const struct domain_change *dc);

#endif
