#ifndef FLOW_KEEPERS_H
#define FLOW_KEEPERS_H

/*
 * Which instances keep the remembered flows of a slot: the two that rank
 * highest by rendezvous over the live view, in different failure domains
 * where there are two.
 */

#include "fleet/view.h"

#define KEEPER_NR 2	  /* copies of each remembered flow */
#define KEEPER_WALK_MAX 8 /* instances asked after both copies were lost */
#define KEEPER_RECENT_MS 120000 /* after a change copies may be elsewhere */
#define KEEPER_LEAVING_MS 1500	/* a keeper that leaves is asked so long */

struct keeper_pair {
	uint64_t id[KEEPER_NR];
	uint8_t nr;
	uint16_t print; /* differs when the pair does; 0 if there is none */
};

struct keepers;

struct keepers *create_keepers(const struct view *view);
void destroy_keepers(struct keepers *ks);

/* Takes in the view's members; true if the live ones changed. */
bool update_keepers(struct keepers *ks, uint64_t now_ms);

/* Ids of at most NR members that came with the last update, at NOW_MS. */
size_t newly_live(const struct keepers *ks, uint64_t now_ms, uint64_t *ids,
		  size_t nr);

/* Members other than this instance that are live. */
size_t other_live_nr(const struct keepers *ks);

struct keeper_pair find_keepers(struct keepers *ks, uint64_t service,
				uint32_t slot);

bool is_keeper(const struct keeper_pair *pair, uint64_t id);

/*
 * The instances that may hold copies of the slot's flows, best first, at most
 * KEEPER_WALK_MAX. These are the keepers, those that were keepers before
 * others came, and, if both may have died, the next in rank, any of which may
 * have learned the flow.
 */
size_t rank_holders(const struct keepers *ks, uint64_t service, uint32_t slot,
		    uint64_t now_ms, const struct member **out);

#endif
