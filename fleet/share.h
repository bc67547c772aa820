#ifndef FLEET_SHARE_H
#define FLEET_SHARE_H

/*
 * Divides what one upstream bears (request slots, new connections) over the
 * live instances, so that the sum of what all use stays within it, also while
 * their views differ. Every instance computes the same division from the same
 * view. A unit that an instance loses is given up at once; one that it gains
 * rests first, longer than the slowest instance takes to learn of the change,
 * so that the old holder has stopped before the new one starts.
 */

#include "fleet/view.h"

/* Rest of a unit that changes its holder: detection plus its spreading. */
#define SHARE_REST_MS 3000

struct shares;

struct shares *create_shares(const struct view *view);
void destroy_shares(struct shares *sh);

/* Notes that the view's members may have changed by NOW_MS. */
void update_shares(struct shares *sh, uint64_t now_ms);

/* The present members have been there since ever; nothing rests. */
void trust_shares(struct shares *sh);

/*
 * Of the TOTAL units that upstream ID bears, how many this instance may use
 * at NOW_MS.
 */
uint32_t upstream_share(const struct shares *sh, uint64_t id, uint32_t total,
			uint64_t now_ms);

/*
 * The same with a rest of REST_MS, for work that its old holder may still
 * have running for so long after it stopped taking more.
 */
uint32_t upstream_share_after(const struct shares *sh, uint64_t id,
			      uint32_t total, uint64_t rest_ms,
			      uint64_t now_ms);

/* The same without any rest: what the present view alone says. */
uint32_t upstream_share_now(const struct shares *sh, uint64_t id,
			    uint32_t total);

#endif
