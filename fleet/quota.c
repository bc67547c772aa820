#include "fleet/quota.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define DIVISIONS_MAX 32 /* divisions kept */

/* The live members from a point in time until the next division. */
struct quota_division {
	uint64_t since_ms; /* ms */
	GArray *live_ids;  /* uint64_t ids, sorted */
};

struct quotas {
	const struct view *view;
	GArray *divisions; /* of struct quota_division, the oldest first */
};

static void free_division(void *item)
{
	struct quota_division *d = item;

	g_array_free(d->live_ids, TRUE);
}

struct quotas *create_quotas(const struct view *view)
{
	struct quotas *qs = g_new0(struct quotas, 1);
	struct quota_division none = { 0, g_array_new(FALSE, FALSE,
						      sizeof(uint64_t)) };

	qs->view = view;
	qs->divisions =
		g_array_new(FALSE, FALSE, sizeof(struct quota_division));
	g_array_set_clear_func(qs->divisions, free_division);
	g_array_append_val(qs->divisions, none);
	return qs;
}

void destroy_quotas(struct quotas *qs)
{
	if (!qs)
		return;
	g_array_free(qs->divisions, TRUE);
	g_free(qs);
}

static const struct quota_division *division_at(const struct quotas *qs,
						guint i)
{
	return &g_array_index(qs->divisions, struct quota_division, i);
}

static const struct quota_division *present_division(const struct quotas *qs)
{
	return division_at(qs, qs->divisions->len - 1);
}

static bool same_members(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	       (!a->len ||
		!memcmp(a->data, b->data, a->len * sizeof(uint64_t)));
}

void update_quotas(struct quotas *qs, uint64_t now_ms)
{
	struct quota_division next = { MAX(now_ms, 1),
				       list_live_members(qs->view) };

	if (same_members(next.live_ids, present_division(qs)->live_ids)) {
		g_array_free(next.live_ids, TRUE);
		return;
	}
	g_array_append_val(qs->divisions, next);
	if (qs->divisions->len > DIVISIONS_MAX)
		g_array_remove_index(qs->divisions, 0);
}

void skip_quota_delay(struct quotas *qs)
{
	guint last = qs->divisions->len - 1;

	g_array_index(qs->divisions, struct quota_division, last).since_ms = 0;
	if (last)
		g_array_remove_range(qs->divisions, 0, last);
}

/* Rank of MEMBER in LIVE for upstream ID from 0 up; UINT32_MAX: absent. */
static uint32_t member_rank(const GArray *live, uint64_t id, uint64_t member)
{
	uint64_t own = XXH64(&member, sizeof(member), id);
	uint32_t rank = 0;
	bool found = false;

	for (guint i = 0; i < live->len; i++) {
		uint64_t other = g_array_index(live, uint64_t, i);
		uint64_t weight = XXH64(&other, sizeof(other), id);

		found |= other == member;
		rank += weight > own || (weight == own && other > member);
	}
	return found ? rank : UINT32_MAX;
}

static uint32_t quota_among(const GArray *live, uint64_t id, uint64_t member,
			    uint32_t total)
{
	uint32_t rank = member_rank(live, id, member);

	if (rank == UINT32_MAX)
		return 0;
	return total / live->len + (rank < total % live->len);
}

uint32_t upstream_quota_after(const struct quotas *qs, uint64_t id,
			      uint32_t total, uint64_t rest_ms, uint64_t now_ms)
{
	uint64_t self = view_self(qs->view);
	uint32_t least = UINT32_MAX;

	for (guint i = qs->divisions->len; i-- > 0;) {
		const struct quota_division *d = division_at(qs, i);

		least = MIN(least, quota_among(d->live_ids, id, self, total));
		if (!least || !d->since_ms || now_ms - d->since_ms >= rest_ms)
			return least;
	}
	return 0; /* the division before the oldest one is not known */
}

uint32_t upstream_quota(const struct quotas *qs, uint64_t id, uint32_t total,
			uint64_t now_ms)
{
	return upstream_quota_after(qs, id, total, QUOTA_DELAY_MS, now_ms);
}

uint32_t upstream_quota_without_delay(const struct quotas *qs, uint64_t id,
				      uint32_t total)
{
	return quota_among(present_division(qs)->live_ids, id,
			   view_self(qs->view), total);
}
