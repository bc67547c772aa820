#include "fleet/share.h"

#include <glib.h>
#include <xxhash.h>

#define HANDOVER_MS 2000 /* rest of a unit that changes its holder */

struct shares {
	const struct view *view;
	uint64_t fingerprint; /* of the live members */
	uint64_t changed;     /* ms when the fingerprint last changed */
	GArray *live;	      /* ids of live members, sorted */
	GArray *before;	      /* the same before the last change */
};

struct shares *create_shares(const struct view *view)
{
	struct shares *sh = g_new0(struct shares, 1);

	sh->view = view;
	sh->live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	sh->before = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return sh;
}

void destroy_shares(struct shares *sh)
{
	if (!sh)
		return;
	g_array_free(sh->live, TRUE);
	g_array_free(sh->before, TRUE);
	g_free(sh);
}

void update_shares(struct shares *sh, uint64_t now_ms)
{
	GArray *live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *ms;
	uint64_t print = 0;
	size_t nr;

	ms = view_members(sh->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		if (ms[i].state != MEMBER_ALIVE &&
		    ms[i].state != MEMBER_SUSPECT)
			continue;
		g_array_append_val(live, ms[i].id);
		print = XXH64(&ms[i].id, sizeof(ms[i].id), print + 1);
	}
	if (print == sh->fingerprint) {
		g_array_free(live, TRUE);
		return;
	}
	g_array_free(sh->before, TRUE);
	sh->before = sh->live;
	sh->live = live;
	sh->fingerprint = print;
	sh->changed = now_ms;
}

/* How many of LIVE outrank MEMBER for the upstream ID. */
static uint32_t rank_of(const GArray *live, uint64_t id, uint64_t member)
{
	uint64_t own = XXH64(&member, sizeof(member), id);
	uint32_t rank = 0;

	for (guint i = 0; i < live->len; i++) {
		uint64_t other = g_array_index(live, uint64_t, i);
		uint64_t weight = XXH64(&other, sizeof(other), id);

		rank += weight > own || (weight == own && other > member);
	}
	return rank;
}

static uint32_t share_among(const GArray *live, uint64_t id, uint64_t member,
			    uint32_t total)
{
	uint32_t rank;

	if (!live->len)
		return 0;
	rank = rank_of(live, id, member);
	return total / live->len + (rank < total % live->len);
}

uint32_t upstream_share(const struct shares *sh, uint64_t id, uint32_t total,
			uint64_t now_ms)
{
	uint64_t self = view_self(sh->view);
	uint32_t now = share_among(sh->live, id, self, total);
	uint32_t before = share_among(sh->before, id, self, total);

	if (now_ms - sh->changed < HANDOVER_MS && before < now)
		return before;
	return now;
}
