#ifndef FLEET_SHARE_H
#define FLEET_SHARE_H

/*
 * Divides what one upstream bears (request slots, new connections) over the
 * live instances, so that the sum of what all use stays within it, also while
 * their views differ. Every instance computes the same division from the same
 * view; a unit that moves between holders rests before its new holder uses
 * it.
 */

#include "fleet/view.h"

struct shares;

struct shares *create_shares(const struct view *view);
void destroy_shares(struct shares *sh);

/* Notes that the view's members may have changed by NOW_MS. */
void update_shares(struct shares *sh, uint64_t now_ms);

/*
 * Of the TOTAL units that upstream ID bears, how many this instance may use
 * at NOW_MS.
 */
uint32_t upstream_share(const struct shares *sh, uint64_t id, uint32_t total,
			uint64_t now_ms);

#endif
