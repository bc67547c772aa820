#include "fleet/limits.h"

#include <glib.h>

/* An upstream that is not warm, or warm but not yet at its full limit. */
struct ramp {
	enum upstream_state state;
	uint64_t since_ms;     /* ms at which STATE was first seen */
	bool below_full_limit; /* warm, but below its full limit */
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

static bool gets_no_load(enum upstream_state s)
{
	return s == UPSTREAM_OUT || s == UPSTREAM_DOWN ||
	       s == UPSTREAM_DRAINING;
}

static struct ramp *start_ramp(struct limits *ls, uint64_t id,
			       enum upstream_state s, uint64_t now_ms)
{
	struct ramp *r = g_new0(struct ramp, 1);

	r->state = s;
	r->since_ms = now_ms;
	g_hash_table_insert(ls->ramps, g_memdup2(&id, sizeof(id)), r);
	return r;
}

/*
 * The ramp of upstream ID, which is in state S; NULL if its limit is the full
 * one. An upstream that had no load and is warm at once gets a ramp too, since
 * a return to its full limit would load it at once.
 */
static const struct ramp *update_ramp(struct limits *ls, uint64_t id,
				      enum upstream_state s, uint64_t now_ms)
{
	struct ramp *r = g_hash_table_lookup(ls->ramps, &id);

	if (!r)
		return s == UPSTREAM_WARM ? NULL
					  : start_ramp(ls, id, s, now_ms);
	if (r->state != s) {
		r->below_full_limit =
			s == UPSTREAM_WARM && gets_no_load(r->state);
		r->state = s;
		r->since_ms = now_ms;
	}
	if (s == UPSTREAM_WARM &&
	    (!r->below_full_limit ||
	     now_ms - r->since_ms >= HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS)) {
		g_hash_table_remove(ls->ramps, &id);
		return NULL;
	}
	return r;
}

/* The limit after MS of warming, in steps from COLD to below FULL. */
static uint32_t ramp_limit_at(uint32_t cold, uint32_t full, uint64_t ms)
{
	uint64_t step = ms * LIMIT_STEPS / HEALTH_RAMP_MS;

	if (step >= LIMIT_STEPS)
		step = LIMIT_STEPS - 1;
	return cold + (uint32_t)((full - cold) * step / LIMIT_STEPS);
}

/* Like ramp_limit_at(), after the shortest stay in cold. */
static uint32_t ramp_limit_from_cold(uint32_t cold, uint32_t full, uint64_t ms)
{
	if (ms < HEALTH_COLD_MIN_MS)
		return cold;
	return ramp_limit_at(cold, full, ms - HEALTH_COLD_MIN_MS);
}

/* Like ramp_limit_from_cold(), then FULL: unprobed upstreams warm by time. */
static uint32_t ramp_limit_unprobed(uint32_t cold, uint32_t full, uint64_t ms)
{
	if (ms >= HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS)
		return full;
	return ramp_limit_from_cold(cold, full, ms);
}

static uint32_t current_limit(struct limits *ls, const struct service *sv,
			      const struct upstream *up, uint32_t cold,
			      uint32_t full, uint64_t now_ms)
{
	enum upstream_state s =
		ls->health
			? effective_upstream_state(ls->health, sv, up, now_ms)
			: upstream_state(ls->view, up);
	const struct ramp *r = update_ramp(ls, up->id, s, now_ms);

	if (!r)
		return full;
	switch (s) {
	case UPSTREAM_WARM:
		return ramp_limit_from_cold(cold, full, now_ms - r->since_ms);
	case UPSTREAM_WARMING:
		return ramp_limit_at(cold, full, now_ms - r->since_ms);
	case UPSTREAM_UNKNOWN:
		if (is_probeable(sv, up))
			return cold;
		return ramp_limit_unprobed(cold, full, now_ms - r->since_ms);
	case UPSTREAM_COLD:
		return cold;
	default:
		return 0;
	}
}

uint32_t upstream_slots(struct limits *ls, const struct service *sv,
			const struct upstream *up, uint64_t now_ms)
{
	return current_limit(ls, sv, up, up->cold_slots, up->slots, now_ms);
}

uint32_t upstream_connections(struct limits *ls, const struct service *sv,
			      const struct upstream *up, uint64_t now_ms)
{
	return current_limit(ls, sv, up, up->cold_connections, up->connections,
			     now_ms);
}
