#ifndef FLOW_REPLICAS_H
#define FLOW_REPLICAS_H

/*
 * The replicas of a slot: the instances that hold copies of the records of its
 * flows. These are the two live members that rank highest by rendezvous
 * hashing, in different failure domains if there are two domains.
 */

#include "fleet/view.h"

#define FLOW_REPLICA_NR 2  /* copies of each flow record */
#define FLOW_HOLDERS_MAX 8 /* instances queried if both copies may be lost */
/* Former replicas may hold records this long after a change of members. */
#define FLOW_REPLICA_RECENT_MS 120000
#define FLOW_REPLICA_LEAVING_MS 1500 /* a leaving replica is still queried */

struct replica_pair {
	uint64_t id[FLOW_REPLICA_NR];
	uint8_t nr;
	uint16_t fingerprint; /* hash of the ids, never 0; 0 if nr is 0 */
};

struct flow_replicas;

struct flow_replicas *create_flow_replicas(const struct view *view);
void destroy_flow_replicas(struct flow_replicas *rs);

/* Applies the view's members; true if the set of live ones changed. */
bool update_flow_replicas(struct flow_replicas *rs, uint64_t now_ms);

/* Lists at most NR members that joined in the update at NOW_MS; their count. */
size_t list_joined_members(const struct flow_replicas *rs, uint64_t now_ms,
			   uint64_t *ids, size_t nr);

/* Number of live members without this instance. */
size_t other_live_count(const struct flow_replicas *rs);

struct replica_pair find_flow_replicas(struct flow_replicas *rs,
				       uint64_t service, uint32_t slot);

bool is_flow_replica(const struct replica_pair *pair, uint64_t id);

/*
 * Lists the instances that may hold records of the slot's flows, most likely
 * first, at most FLOW_HOLDERS_MAX; returns their count. These are the replicas,
 * those that were replicas before others joined and, if both replicas may have
 * died, the next in rank, any of which may have learned the flow.
 */
size_t rank_record_holders(const struct flow_replicas *rs, uint64_t service,
			   uint32_t slot, uint64_t now_ms,
			   const struct member **out);

#endif
