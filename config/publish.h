#ifndef CONFIG_PUBLISH_H
#define CONFIG_PUBLISH_H

/*
 * Puts services in force, by the store calls it asks for: reads the
 * configuration, makes the change, checks the whole, writes the parts that
 * are new and swaps the pointer last. A lost answer is read back. A race with
 * a publish of other services is run again on top of it; a race on the same
 * service is lost, and told.
 */

#include "config/store-heads.h"
#include "config/merge.h"
#include "config/store-call.h"

struct publish_intent {
	struct publish_change change; /* lives as long as the publish */
	const char *id;		      /* unique for each publish */
	const char *who;
	const char *why;
	uint64_t when_ms;    /* Unix time */
	uint64_t floor;	     /* highest epoch that instances report */
	uint64_t base_epoch; /* refuse if another is in force; 0: any */
	bool allow_removal;  /* more than half of the upstreams may go */
	uint32_t bucket_nr;  /* of a first publish; 0: the default */
};

struct publish;

/* SEED is for the waits between attempts. */
struct publish *create_publish(const struct publish_intent *intent,
			       uint32_t seed);
void destroy_publish(struct publish *p);

/* Takes an answer (NULL at first and after a wait) and says what is next. */
void step_publish(struct publish *p, const struct store_answer *a,
		  struct change_action *out);

/*
 * After CHANGE_DONE: STATUS_OK if the services are in force; STATUS_INVALID
 * with publish_problems() if they may not be; STATUS_CONFLICT if another
 * operator changed one of them meanwhile; STATUS_UNKNOWN if the change may or
 * may not have been made.
 */
const struct status *publish_status(const struct publish *p);
const struct problems *publish_problems(const struct publish *p);

/* The epoch after STATUS_OK, and what was changed. */
uint64_t publish_epoch(const struct publish *p);
const char *publish_subject(const struct publish *p);

/* Whether STATUS_OK came of an accepted change rather than of none needed. */
bool publish_made(const struct publish *p);

/* The configuration in force before the change; NULL for none. */
const struct snapshot *publish_base(const struct publish *p);

#endif
