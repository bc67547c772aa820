#ifndef CONFIG_DOMAIN_CHANGE_H
#define CONFIG_DOMAIN_CHANGE_H

/*
 * Takes one failure domain out or back, by the calls it asks for. Refuses a
 * domain that no upstream of the configuration is in, and to take out the
 * last domain that is not out. All domains' records are compared on the way
 * out, so that two operators cannot each take out what the other left.
 */

#include "config/store-call.h"
#include "config/store-heads.h"

struct domain_intent {
	char name[CONFIG_NAME_MAX];
	bool out;
	bool force;	/* also the last one, also an unknown one */
	const char *id; /* unique for each change */
	const char *who;
	const char *why;
	uint64_t when_ms; /* Unix time */
	uint64_t floor;	  /* highest epoch of the record that is known */
};

struct domain_change;

/* INTENT's strings are copied. SEED is for the waits between attempts. */
struct domain_change *create_domain_change(const struct domain_intent *intent,
					   uint32_t seed);
void destroy_domain_change(struct domain_change *dc);

/* Takes an answer (NULL at first and after a wait) and says what is next. */
void step_domain_change(struct domain_change *dc, const struct store_answer *a,
			struct change_action *out);

/*
 * After CHANGE_DONE: STATUS_OK if the domain is as wanted, with the message
 * saying so; STATUS_CONFLICT if another operator changed it meanwhile;
 * STATUS_UNKNOWN if the change may or may not have been made.
 */
const struct status *domain_change_status(const struct domain_change *dc);

/* The record's epoch after STATUS_OK. */
uint64_t domain_change_epoch(const struct domain_change *dc);

/* Whether STATUS_OK came of an accepted change rather than of none needed. */
bool domain_change_made(const struct domain_change *dc);

#endif
