#ifndef FLEET_QUOTA_H
#define FLEET_QUOTA_H

/*
 * Quotas: divides the limit of an upstream (request slots, new connections)
 * among the live instances so that their sum stays within it even while their
 * views differ. Every instance derives the same division from the same view.
 * An instance that loses a unit stops using it at once. An instance that gains
 * a unit uses it only after a delay, longer than the slowest instance takes to
 * learn of the change, so that the old holder has stopped using it.
 */

#include "fleet/view.h"

/* Delay before a gained unit is used: detecting and spreading the change. */
#define QUOTA_DELAY_MS 3000

struct quotas;

struct quotas *create_quotas(const struct view *view);
void destroy_quotas(struct quotas *qs);

/* Divides anew if the view's live members have changed. */
void update_quotas(struct quotas *qs, uint64_t now_ms);

/* Forgets all divisions but the present one, so that no unit is delayed. */
void skip_quota_delay(struct quotas *qs);

/* How many of upstream ID's TOTAL units this instance may use at NOW_MS. */
uint32_t upstream_quota(const struct quotas *qs, uint64_t id, uint32_t total,
			uint64_t now_ms);

/*
 * Like upstream_quota() with a delay of REST_MS, for units whose old holder may
 * still have work running for up to REST_MS after it accepts no more.
 */
uint32_t upstream_quota_after(const struct quotas *qs, uint64_t id,
			      uint32_t total, uint64_t rest_ms,
			      uint64_t now_ms);

/* Like upstream_quota() without a delay, by the last division alone. */
uint32_t upstream_quota_without_delay(const struct quotas *qs, uint64_t id,
				      uint32_t total);

#endif
