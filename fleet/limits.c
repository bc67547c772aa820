#include "fleet/limits.h"

#include <glib.h>

/* An upstream that is not simply warm. */
struct ramp {
	enum upstream_state state;
	uint64_t since; /* ms at which STATE was first seen */
	bool climbing;	/* warm for the fleet, on the way up here */
};

struct limits {
	const struct view *view;
	const struct health *health;
	GHashTable *ramps; /* upstream id -> struct ramp */
};

struct limits *create_limits(const struct view *view,
			     const struct health *health)
{
	struct limits *ls = g_new0(struct limits, 1);

	ls->view = view;
	ls->health = health;
	ls->ramps = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	return ls;
}

void destroy_limits(struct limits *ls)
{
	if (!ls)
		return;
	g_hash_table_destroy(ls->ramps);
	g_free(ls);
}

static bool gets_nothing(enum upstream_state s)
{
	return s == UPSTREAM_OUT || s == UPSTREAM_DOWN ||
	       s == UPSTREAM_DRAINING;
}

static struct ramp *start_ramp(struct limits *ls, uint64_t id,
			       enum upstream_state s, uint64_t now_ms)
{
	struct ramp *r = g_new0(struct ramp, 1);

	r->state = s;
	r->since = now_ms;
	g_hash_table_insert(ls->ramps, g_memdup2(&id, sizeof(id)), r);
	return r;
}

/*
 * The ramp of upstream ID, which is in state S; NULL if it bears all. One that
 * got nothing and is warm at once climbs all the same, since it comes back
 * without its callers.
 */
static const struct ramp *follow_ramp(struct limits *ls, uint64_t id,
				      enum upstream_state s, uint64_t now_ms)
{
	struct ramp *r = g_hash_table_lookup(ls->ramps, &id);

	if (!r)
		return s == UPSTREAM_WARM ? NULL
					  : start_ramp(ls, id, s, now_ms);
	if (r->state != s) {
		r->climbing = s == UPSTREAM_WARM && gets_nothing(r->state);
		r->state = s;
		r->since = now_ms;
	}
	if (s == UPSTREAM_WARM &&
	    (!r->climbing ||
	     now_ms - r->since >= HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS)) {
		g_hash_table_remove(ls->ramps, &id);
		return NULL;
	}
	return r;
}

/* Of what lies between cold and full after MS of warming. */
static uint32_t limit_history(uint32_t cold, uint32_t full, uint64_t ms)
{
	uint64_t step = ms * LIMIT_STEPS / HEALTH_RAMP_MS;

	if (step >= LIMIT_STEPS)
		step = LIMIT_STEPS - 1;
	return cold + (uint32_t)((full - cold) * step / LIMIT_STEPS);
}

/* As limit_history(), after as long in cold as any upstream stays there. */
static uint32_t climb_from_cold(uint32_t cold, uint32_t full, uint64_t ms)
{
	if (ms < HEALTH_COLD_MIN_MS)
		return cold;
	return limit_history(cold, full, ms - HEALTH_COLD_MIN_MS);
}

/* An upstream that nobody probes is taken for warm after its cold time. */
static uint32_t climb_unprobed(uint32_t cold, uint32_t full, uint64_t ms)
{
	if (ms >= HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS)
		return full;
	return climb_from_cold(cold, full, ms);
}

static uint32_t find_limit(struct limits *ls, const struct service *sv,
			   const struct upstream *up, uint32_t cold,
			   uint32_t full, uint64_t now_ms)
{
	enum upstream_state s =
		ls->health
			? effective_upstream_state(ls->health, sv, up, now_ms)
			: upstream_state(ls->view, up);
	const struct ramp *r = follow_ramp(ls, up->id, s, now_ms);

	if (!r)
		return full;
	switch (s) {
	case UPSTREAM_WARM:
		return climb_from_cold(cold, full, now_ms - r->since);
	case UPSTREAM_WARMING:
		return limit_history(cold, full, now_ms - r->since);
	case UPSTREAM_UNKNOWN:
		if (is_probeable(sv, up))
			return cold;
		return climb_unprobed(cold, full, now_ms - r->since);
	case UPSTREAM_COLD:
		return cold;
	default:
		return 0;
	}
}

uint32_t upstream_slots(struct limits *ls, const struct service *sv,
			const struct upstream *up, uint64_t now_ms)
{
	return find_limit(ls, sv, up, up->cold_slots, up->slots, now_ms);
}

uint32_t upstream_connections(struct limits *ls, const struct service *sv,
			      const struct upstream *up, uint64_t now_ms)
{
	return find_limit(ls, sv, up, up->cold_connections, up->connections,
			  now_ms);
}
