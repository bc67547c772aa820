#include "fleet/share.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define HISTORY_MAX 32 /* changes of members remembered */

/* The live members from one moment until the next division. */
struct division {
	uint64_t since; /* ms */
	GArray *live;	/* uint64_t ids, sorted */
};

struct shares {
	const struct view *view;
	GArray *history; /* of struct division, the oldest first */
};

static void clear_division(void *item)
{
	struct division *d = item;

	g_array_free(d->live, TRUE);
}

struct shares *create_shares(const struct view *view)
{
	struct shares *sh = g_new0(struct shares, 1);
	struct division none = { 0,
				 g_array_new(FALSE, FALSE, sizeof(uint64_t)) };

	sh->view = view;
	sh->history = g_array_new(FALSE, FALSE, sizeof(struct division));
	g_array_set_clear_func(sh->history, clear_division);
	g_array_append_val(sh->history, none);
	return sh;
}

void destroy_shares(struct shares *sh)
{
	if (!sh)
		return;
	g_array_free(sh->history, TRUE);
	g_free(sh);
}

static const struct division *division_at(const struct shares *sh, guint i)
{
	return &g_array_index(sh->history, struct division, i);
}

static const struct division *last_division(const struct shares *sh)
{
	return division_at(sh, sh->history->len - 1);
}

static bool same_members(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	       (!a->len ||
		!memcmp(a->data, b->data, a->len * sizeof(uint64_t)));
}

void update_shares(struct shares *sh, uint64_t now_ms)
{
	struct division next = { MAX(now_ms, 1), list_live_members(sh->view) };

	if (same_members(next.live, last_division(sh)->live)) {
		g_array_free(next.live, TRUE);
		return;
	}
	g_array_append_val(sh->history, next);
	if (sh->history->len > HISTORY_MAX)
		g_array_remove_index(sh->history, 0);
}

void trust_shares(struct shares *sh)
{
	guint last = sh->history->len - 1;

	g_array_index(sh->history, struct division, last).since = 0;
	if (last)
		g_array_remove_range(sh->history, 0, last);
}

/* How many of LIVE outrank MEMBER for the upstream ID; UINT32_MAX if absent. */
static uint32_t rank_of(const GArray *live, uint64_t id, uint64_t member)
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

static uint32_t share_among(const GArray *live, uint64_t id, uint64_t member,
			    uint32_t total)
{
	uint32_t rank = rank_of(live, id, member);

	if (rank == UINT32_MAX)
		return 0;
	return total / live->len + (rank < total % live->len);
}

uint32_t upstream_share_after(const struct shares *sh, uint64_t id,
			      uint32_t total, uint64_t rest_ms, uint64_t now_ms)
{
	uint64_t self = view_self(sh->view);
	uint32_t least = UINT32_MAX;

	for (guint i = sh->history->len; i-- > 0;) {
		const struct division *d = division_at(sh, i);

		least = MIN(least, share_among(d->live, id, self, total));
		if (!least || !d->since || now_ms - d->since >= rest_ms)
			return least;
	}
	return 0; /* what held before the oldest division is not known */
}

uint32_t upstream_share(const struct shares *sh, uint64_t id, uint32_t total,
			uint64_t now_ms)
{
	return upstream_share_after(sh, id, total, SHARE_REST_MS, now_ms);
}

uint32_t upstream_share_now(const struct shares *sh, uint64_t id,
			    uint32_t total)
{
	return share_among(last_division(sh)->live, id, view_self(sh->view),
			   total);
}
