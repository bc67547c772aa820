#ifndef FLOW_ROUTE_H
#define FLOW_ROUTE_H

/*
 * Where the flows of one service go. The hash of a flow falls into one of
 * ROUTE_SLOTS slots. Each slot has a base, where a flow that nobody remembers
 * lives, and a target, where a new flow goes. Both follow by rendezvous from
 * the configuration and the view alone, so that an instance that starts fresh
 * knows them:
 *
 *  - the base is chosen among the listed upstreams, draining ones included,
 *    that joined long enough ago. An upstream that drains stays the base of
 *    its slots; one that joins becomes a base only when every flow on the
 *    slots that it takes over has been remembered, after the idle time;
 *  - the target is chosen among those that take new flows here and now.
 *
 * A slot whose base and target differ, or differed so recently that flows
 * from then may be open, is unsettled (see flow/marks.h).
 */

#include "config/service.h"
#include "fleet/share.h"
#include "fleet/view.h"
#include "flow/marks.h"

#define ROUTE_SLOT_BITS 12
#define ROUTE_SLOTS (1U << ROUTE_SLOT_BITS)

/*
 * New flows move to or from an upstream this long after the change is known
 * here, so that other instances know of it too. A dead upstream, or one whose
 * domain is out, gets nothing at once.
 */
#define SETTLE_MS 1000
#define COLD_START_S 60 /* cold start of an upstream without news */
#define RAMP_MS 30000	/* an upstream that comes back is refilled over this */

/* What routes are computed from. */
struct route_inputs {
	const struct view *view;
	const struct shares *shares;
	struct marks *marks;
	uint64_t now_ms;
	uint64_t changed_ms; /* since when others may know what is new */
	uint64_t wall_s;     /* seconds since 1970 */
	uint8_t tell_nr;     /* peers to be told of a new mark */
};

struct slot_choice {
	const struct upstream *base;   /* NULL if none is listed */
	const struct upstream *target; /* NULL if none takes new flows */
	bool unsettled;
	bool remember_all; /* the base will move soon, or just has */
};

struct route;

/* A route for SV that was first needed at IN's time. */
struct route *create_route(const struct service *sv,
			   const struct route_inputs *in);
void destroy_route(struct route *rt);

const struct service *route_service(const struct route *rt);

/* Puts the service as newly published in force. */
void set_route_service(struct route *rt, const struct service *sv,
		       const struct route_inputs *in);

/* Takes in what IN says; cheap if called again within ROUTE_REFRESH_MS. */
void update_route(struct route *rt, const struct route_inputs *in);
#define ROUTE_REFRESH_MS 100

static inline uint32_t flow_slot(uint64_t hash)
{
	return (uint32_t)(hash >> (64 - ROUTE_SLOT_BITS));
}

struct slot_choice choose_slot(struct route *rt, uint32_t slot);

/*
 * Chooses the upstream of one new flow on SLOT and counts it against what a
 * cold upstream bears. NULL if none can take it.
 */
const struct upstream *place_flow(struct route *rt, uint32_t slot);

/* The upstream ID of the service and its state; NULL if it is not listed. */
const struct upstream *route_upstream(const struct route *rt, uint64_t id,
				      enum upstream_state *state);

/* True if upstream ID takes new flows here. */
bool takes_new_flows(const struct route *rt, uint64_t id);

/* The upstream whose mark stands for SLOT; 0 if the service has none. */
uint64_t slot_owner(const struct route *rt, uint32_t slot);

/* Bytes of memory. */
size_t route_bytes(const struct route *rt);

#endif
