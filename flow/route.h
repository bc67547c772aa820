#ifndef FLOW_ROUTE_H
#define FLOW_ROUTE_H

/*
 * Maps the flows of one service to upstreams. The hash of a flow selects one of
 * ROUTE_SLOTS slots. Each slot has a base, the upstream of flows without a
 * record, and a target, the upstream of new flows. Both are computed by
 * rendezvous hashing from the configuration and the view alone, so that a
 * restarted instance knows them:
 *
 *  - the base is chosen among the listed upstreams, draining ones included,
 *    that joined long enough ago. An upstream that drains stays the base of
 *    its slots; one that joins becomes a base only after the idle time, when
 *    every open flow on the slots that it takes over has been recorded;
 *  - the target is chosen among those that take new flows at present.
 *
 * A slot is unsettled if base and target differ, or differed so recently that
 * flows opened then may still be open (see flow/unsettled-marks.h).
 */

#include "config/service.h"
#include "fleet/quota.h"
#include "fleet/view.h"
#include "flow/unsettled-marks.h"

#define ROUTE_SLOT_BITS 12
#define ROUTE_SLOTS (1U << ROUTE_SLOT_BITS)

/*
 * Delay between learning that an upstream takes, or no longer takes, new flows
 * and acting on it, so that other instances learn it too. An upstream that is
 * dead, or whose domain is out of service, stops getting new flows at once.
 */
#define SETTLE_MS 1000
#define UNASSESSED_COLD_S 60 /* after joining, if its health is not known */
#define RAMP_MS 30000 /* over which a returning upstream gets its slots back */

/* Input from which routes are computed. */
struct route_inputs {
	const struct view *view;
	const struct quotas *quotas;
	struct unsettled_marks *unsettled_marks;
	uint64_t now_ms;
	uint64_t changed_ms;	 /* since when peers may know of the change */
	uint64_t wall_s;	 /* time of day, s since 1970 */
	uint8_t peers_to_notify; /* to which a new mark is sent */
};

/* The upstreams of one slot. */
struct slot_upstreams {
	const struct upstream *base;   /* NULL if none is listed */
	const struct upstream *target; /* NULL if none takes new flows */
	bool unsettled;		       /* flows may be recorded elsewhere */
	/* all flows are recorded: the base changes soon, or just did */
	bool record_all;
};

struct route;

/* Creates the route of SV. */
struct route *create_route(const struct service *sv,
			   const struct route_inputs *in);
void destroy_route(struct route *rt);

const struct service *route_service(const struct route *rt);

/* Replaces the configuration of the service by SV. */
void set_route_service(struct route *rt, const struct service *sv,
		       const struct route_inputs *in);

/* Applies IN; does nothing if called again within ROUTE_REFRESH_MS. */
void update_route(struct route *rt, const struct route_inputs *in);
#define ROUTE_REFRESH_MS 100

static inline uint32_t flow_slot(uint64_t hash)
{
	return (uint32_t)(hash >> (64 - ROUTE_SLOT_BITS));
}

struct slot_upstreams choose_slot_upstreams(struct route *rt, uint32_t slot);

/*
 * Chooses the upstream of one new flow on SLOT and counts it against the limit
 * of a cold upstream. NULL if none can take it.
 */
const struct upstream *place_flow(struct route *rt, uint32_t slot);

/* The upstream ID of the service and its state; NULL if it is not listed. */
const struct upstream *find_listed_upstream(const struct route *rt, uint64_t id,
					    enum upstream_state *state);

/* True if upstream ID takes new flows here. */
bool takes_new_flows(const struct route *rt, uint64_t id);

/* Id of the upstream to mark if SLOT is unsettled; 0 if there is none. */
uint64_t slot_mark_upstream(const struct route *rt, uint32_t slot);

/* Memory of RT, bytes. */
size_t route_bytes(const struct route *rt);

#endif
