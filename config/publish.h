#ifndef CONFIG_PUBLISH_H
#define CONFIG_PUBLISH_H

/*
 * Publishes services to the store. Reads the configuration in force, applies
 * the change, checks the result, writes the new parts and replaces the pointer
 * last. After a lost answer, the audit trail shows whether the commit took
 * effect. If another publish was committed meanwhile, this one starts over on
 * top of it, unless both change the same service: then it fails with
 * STATUS_CONFLICT. Returns the store calls to make; performs no I/O.
 */

#include "config/store-head.h"
#include "config/merge.h"
#include "config/store-call.h"

struct publish_intent {
	struct publish_change change; /* must outlive the publish */
	const char *id;		      /* unique for each publish */
	const char *who;
	const char *why;
	uint64_t when_ms;     /* Unix time */
	uint64_t known_epoch; /* highest epoch that instances report */
	uint64_t base_epoch;  /* fail if another is in force; 0: any */
	bool allow_removal;   /* of more than half of the upstreams */
	uint32_t bucket_nr;   /* used by a first publish; 0: the default */
};

struct publish;

/* SEED is for the jitter of retries. */
struct publish *create_publish(const struct publish_intent *intent,
			       uint32_t seed);
void destroy_publish(struct publish *p);

/* Processes A (NULL at first and after a wait); OUT gets the next action. */
void step_publish(struct publish *p, const struct store_answer *a,
		  struct change_action *out);

/*
 * After CHANGE_DONE: STATUS_OK if the services are in force; STATUS_INVALID
 * with publish_problems() if they break a rule; STATUS_CONFLICT if another
 * operator changed one of them meanwhile; STATUS_UNKNOWN if the change may or
 * may not have taken effect.
 */
const struct status *publish_status(const struct publish *p);
const struct problems *publish_problems(const struct publish *p);

/* After STATUS_OK: the epoch in force and the names of changed services. */
uint64_t publish_epoch(const struct publish *p);
const char *publish_subject(const struct publish *p);

/* Whether a change was committed; false if STATUS_OK needed none. */
bool publish_committed(const struct publish *p);

/* The configuration in force before the change; NULL for none. */
const struct snapshot *publish_base(const struct publish *p);

#endif
