#ifndef REQUEST_SLOTS_H
#define REQUEST_SLOTS_H

/*
 * What this instance has in flight at each upstream, and where the next
 * request goes.
 *
 * Each instance may use its share of an upstream's slots (fleet/share.h).
 * When its shares are full it borrows a slot beyond them from a warm
 * upstream, which sheds if another instance uses it; a shed is obeyed at once
 * by a pause that grows while sheds follow each other. A cold upstream is
 * never borrowed from, and a share of it rests long enough for its old
 * holder's requests to end, so that the sum over all instances stays within
 * what it bears. Own counts and sheds decide; load reports can only take
 * an upstream out of the choice for borrowing, never bring more to it.
 */

#include <glib.h>

#include "config/service.h"
#include "fleet/share.h"
#include "fleet/view.h"

enum slot_policy {
	SLOT_SHARES,	 /* shares and borrowing */
	SLOT_OWN_ONLY,	 /* shares without borrowing */
	SLOT_LEAST,	 /* least in flight, over all upstreams */
	SLOT_TWO_RANDOM, /* the emptier of two random upstreams */
	SLOT_PROBE	 /* lowest reported load of a few random upstreams */
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

/* Asks FN for limits in place of the view's states. */
void set_slot_limit(struct slots *ss, slot_limit_fn fn, void *data);

/* The members in the view have been all there are since ever. */
void start_alone(struct slots *ss, uint64_t now_ms);

/* Notes changes of the view's members. */
void update_slots(struct slots *ss, uint64_t now_ms);

/*
 * The upstream of SV that gets the next request and whose slot is then taken,
 * or NULL if none may have it now. LOAN tells whether it was borrowed.
 */
const struct upstream *take_slot(struct slots *ss, const struct service *sv,
				 uint64_t now_ms, bool *loan);

enum slot_end {
	SLOT_DONE,     /* the upstream ended the request */
	SLOT_SHED,     /* the upstream had no slot for it */
	SLOT_FAILED,   /* no connection; nothing runs there */
	SLOT_CANCELLED /* given up here; it may still be running there */
};

/*
 * Gives a slot of an UPSTREAM of SERVICE back; LOAN as told when it was taken.
 * A cancelled one stays in use until
 * RUNS_UNTIL_MS, by when the upstream must have noticed.
 */
struct taken_slot {
	uint64_t service;
	uint64_t upstream;
	bool loan;
};
void give_slot_back(struct slots *ss, const struct taken_slot *t,
		    enum slot_end end, uint64_t runs_until_ms, uint64_t now_ms);

/* UPSTREAM reported that RUNNING of its SLOTS are in use. */
void note_load(struct slots *ss, uint64_t upstream, uint32_t running,
	       uint32_t slots, uint64_t now_ms);

#endif
