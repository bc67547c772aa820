#ifndef REQUEST_SLOTS_H
#define REQUEST_SLOTS_H

/*
 * Counts the requests that this instance has in flight at each upstream, and
 * chooses the upstream of the next request.
 *
 * Each instance may use its quota of an upstream's slots (fleet/quota.h). When
 * all its quotas are used up it borrows a slot beyond them from a warm
 * upstream, which sheds the request if another instance uses the slot. Each
 * shed starts a back-off, which doubles with consecutive sheds. Nothing is
 * borrowed from a cold upstream, and a quota of it that moves to another
 * instance stays unused until the requests of its former owner have ended, so
 * that the sum over all instances never exceeds the upstream's limit. Local
 * counts and sheds decide; load reports can only exclude an upstream from
 * borrowing, never attract more requests to it.
 */

#include <glib.h>

#include "config/service.h"
#include "fleet/quota.h"
#include "fleet/view.h"

enum slot_policy {
	SLOT_QUOTA_BORROWING,	  /* within the quota, then borrowed */
	SLOT_QUOTA_ONLY,	  /* within the quota only */
	SLOT_LEAST_IN_FLIGHT,	  /* fewest in flight of all upstreams */
	SLOT_TWO_RANDOM,	  /* the less loaded of two random upstreams */
	SLOT_LOWEST_REPORTED_LOAD /* of a few random upstreams */
};

/* Requests that UP may run at once, over all instances, at NOW_MS. */
typedef uint32_t (*slot_limit_fn)(const struct service *sv,
				  const struct upstream *up, uint64_t now_ms,
				  void *data);

struct slots;

/* VIEW and RNG outlive the slots. */
struct slots *create_slots(const struct view *view, GRand *rng,
			   enum slot_policy policy);
void destroy_slots(struct slots *ss);

/* Takes limits from FN instead of the upstream states in the view. */
void set_slot_limit(struct slots *ss, slot_limit_fn fn, void *data);

/* Ends the quotas' initial delay: no other instance can be using slots. */
void start_slots_as_only_member(struct slots *ss, uint64_t now_ms);

/* Recomputes quotas after changes of the view's members. */
void update_slots(struct slots *ss, uint64_t now_ms);

/*
 * Acquires a slot for the next request to SV and returns its upstream, or NULL
 * if no upstream may get a request now. Sets BORROWED if the slot is beyond the
 * quota.
 */
const struct upstream *acquire_slot(struct slots *ss, const struct service *sv,
				    uint64_t now_ms, bool *borrowed);

enum slot_result {
	SLOT_DONE,     /* the upstream answered */
	SLOT_SHED,     /* the upstream had no slot for it */
	SLOT_FAILED,   /* no connection; nothing runs there */
	SLOT_CANCELLED /* abandoned here; may still run at the upstream */
};

/* A slot of UPSTREAM of SERVICE; BORROWED as acquire_slot() set it. */
struct acquired_slot {
	uint64_t service;
	uint64_t upstream;
	bool borrowed;
};
/*
 * Releases T. A cancelled slot counts as in use until RUNS_UNTIL_MS, by when
 * the upstream must have noticed the cancellation.
 */
void release_slot(struct slots *ss, const struct acquired_slot *t,
		  enum slot_result result, uint64_t runs_until_ms,
		  uint64_t now_ms);

/* Records UPSTREAM's report that RUNNING of its SLOTS are in use. */
void record_load_report(struct slots *ss, uint64_t upstream, uint32_t running,
			uint32_t slots, uint64_t now_ms);

#endif
