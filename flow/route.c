#include "flow/route.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define UNCACHED_UPSTREAMS_MAX 12 /* routes with more cache their slots */
#define INDEX_BITS 14
#define NO_INDEX ((1U << INDEX_BITS) - 1)
#define RAMP_STEPS 16

/*
 * An upstream that joined becomes a base the idle time and this margin later,
 * and all flows on its slots are recorded for another margin after that. Clocks
 * of instances and publishers may differ by half of the margin.
 */
#define JOIN_MARGIN_S 60

struct route_upstream {
	const struct upstream *upstream;
	enum upstream_state state;
	uint64_t should_take_since_ms; /* when should_take last changed */
	uint64_t ramp_start_ms;
	uint32_t cold_flows;	 /* placed here since it turned cold */
	uint32_t cold_allowance; /* limit of cold_flows unless all are cold */
	uint32_t cold_quota;	 /* this instance's part of the cold limit */
	uint8_t ramp_step;	 /* RAMP_STEPS: all of its slots are used */
	bool should_take;	 /* its state allows new flows */
	bool takes_new_flows;	 /* follows should_take after SETTLE_MS */
	bool may_be_base;
	bool joining; /* all flows on its slots are recorded */
	bool cold;
	bool known_before_cold; /* this instance has seen it when not cold */
	bool has_mark;
};

/* The result of compute_slot(). */
struct cached_slot {
	uint32_t base : INDEX_BITS;
	uint32_t target : INDEX_BITS;
	uint32_t unsettled : 1;
	uint32_t record_all : 1;
	uint32_t is_computed : 1;
};

struct route {
	struct service *service;
	size_t upstream_nr;
	struct route_upstream *upstreams;
	GArray *unlisted_marked;    /* ids of upstreams with a mark only */
	uint64_t marks_fingerprint; /* of the marks that were applied last */
	struct cached_slot *slot_cache;
	uint64_t updated_ms;
	bool all_cold; /* all upstreams that take new flows */
};

static bool allows_new_flows(enum upstream_state s)
{
	return s != UPSTREAM_DRAINING && s != UPSTREAM_DOWN &&
	       s != UPSTREAM_OUT;
}

/* An upstream without a health assessment is cold for a while after joining. */
static bool is_cold(enum upstream_state s, const struct upstream *up,
		    uint64_t wall_s)
{
	if (s == UPSTREAM_UNKNOWN)
		return up->joined_at_s &&
		       wall_s < up->joined_at_s + UNASSESSED_COLD_S;
	return s == UPSTREAM_COLD;
}

static bool is_down_or_out(enum upstream_state s)
{
	return s == UPSTREAM_DOWN || s == UPSTREAM_OUT;
}

static void clear_slot_cache(struct route *rt)
{
	if (rt->upstream_nr <= UNCACHED_UPSTREAMS_MAX) {
		g_free(rt->slot_cache);
		rt->slot_cache = NULL;
	} else if (rt->slot_cache)
		memset(rt->slot_cache, 0,
		       ROUTE_SLOTS * sizeof(*rt->slot_cache));
}

static struct route_upstream *find_route_upstream(const struct route *rt,
						  uint64_t id)
{
	size_t low = 0;
	size_t high = rt->upstream_nr;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (rt->upstreams[mid].upstream->id < id)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == rt->upstream_nr || rt->upstreams[low].upstream->id != id)
		return NULL;
	return &rt->upstreams[low];
}

/*
 * Sets whether RU takes new flows by its state, after SETTLE_MS. True if that
 * changed, as for the functions below.
 */
static bool update_takes_new(struct route_upstream *ru,
			     const struct route_inputs *in)
{
	bool allowed = allows_new_flows(ru->state);

	if (allowed != ru->should_take) {
		ru->should_take = allowed;
		ru->should_take_since_ms = in->changed_ms;
	}
	if (allowed == ru->takes_new_flows)
		return false;
	if (!is_down_or_out(ru->state) &&
	    in->now_ms - ru->should_take_since_ms < SETTLE_MS)
		return false;
	ru->takes_new_flows = allowed;
	ru->ramp_start_ms = in->now_ms;
	return true;
}

static bool update_ramp(struct route_upstream *ru, uint64_t now_ms)
{
	uint64_t ramping_ms = now_ms - ru->ramp_start_ms;
	uint64_t step = 1 + ramping_ms * RAMP_STEPS / RAMP_MS;
	uint8_t ramp = (uint8_t)MIN(step, RAMP_STEPS);

	if (!ru->takes_new_flows)
		ramp = 0;
	if (ramp == ru->ramp_step)
		return false;
	ru->ramp_step = ramp;
	return true;
}

static void update_cold(struct route_upstream *ru,
			const struct route_inputs *in)
{
	bool cold = is_cold(ru->state, ru->upstream, in->wall_s);

	/* this state hides whether RU is cold: keep the last answer */
	if (ru->state == UPSTREAM_DRAINING)
		cold = ru->cold;
	if (!cold && ru->cold && !is_down_or_out(ru->state))
		ru->ramp_start_ms = in->now_ms;
	if (cold) {
		ru->cold_quota = upstream_quota(in->quotas, ru->upstream->id,
						ru->upstream->cold_connections,
						in->now_ms);
		if (!ru->cold) {
			ru->cold_flows = 0;
			ru->cold_allowance =
				ru->known_before_cold ? ru->cold_quota : 0;
		}
		ru->cold_allowance = MIN(ru->cold_allowance, ru->cold_quota);
	}
	ru->cold = cold;
	ru->known_before_cold |= !cold && ru->state != UPSTREAM_UNKNOWN;
}

static bool update_age(struct route_upstream *ru, uint32_t idle_ms,
		       uint64_t wall_s)
{
	uint64_t joined_s = ru->upstream->joined_at_s;
	uint64_t ready_s = joined_s + idle_ms / 1000 + JOIN_MARGIN_S;
	bool old_enough = !joined_s || wall_s >= ready_s;
	bool joining = joined_s && wall_s < ready_s + JOIN_MARGIN_S;
	bool changed = joining != ru->joining;

	ru->joining = joining;
	if (!old_enough || ru->may_be_base)
		return changed;
	ru->may_be_base = true;
	return true;
}

/* Whether flows of RU's slots may be placed on other upstreams now. */
static bool is_unsettled(const struct route_upstream *ru)
{
	return !ru->should_take || !ru->takes_new_flows ||
	       ru->ramp_step < RAMP_STEPS || ru->joining || !ru->may_be_base ||
	       ru->cold;
}

static bool update_upstream(struct route *rt, struct route_upstream *ru,
			    const struct route_inputs *in)
{
	bool changed;

	ru->state = upstream_state(in->view, ru->upstream);
	update_cold(ru, in);
	changed = update_takes_new(ru, in);
	changed |= update_ramp(ru, in->now_ms);
	changed |= update_age(ru, rt->service->idle_ms, in->wall_s);
	if (is_unsettled(ru))
		set_unsettled_mark(in->unsettled_marks, rt->service->id,
				   ru->upstream->id,
				   in->now_ms + MARK_LIFETIME_MS, in->now_ms,
				   in->peers_to_notify);
	return changed;
}

/* A hash of the marks that have not expired, whatever their order. */
static uint64_t marks_fingerprint(const struct unsettled_mark *ms, size_t nr,
				  uint64_t now_ms)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < nr; i++)
		if (ms[i].until_ms > now_ms)
			sum += XXH64(&ms[i].upstream, sizeof(uint64_t), 0);
	return sum;
}

/* Applies the marks of the service; true if they changed. */
static bool update_route_marks(struct route *rt, const struct route_inputs *in)
{
	const struct unsettled_mark *ms;
	uint64_t fingerprint;
	size_t nr;

	ms = list_service_marks(in->unsettled_marks, rt->service->id, &nr);
	fingerprint = marks_fingerprint(ms, nr, in->now_ms);
	if (fingerprint == rt->marks_fingerprint)
		return false;
	rt->marks_fingerprint = fingerprint;
	g_array_set_size(rt->unlisted_marked, 0);
	for (size_t i = 0; i < rt->upstream_nr; i++)
		rt->upstreams[i].has_mark = false;
	for (size_t i = 0; i < nr; i++) {
		struct route_upstream *ru =
			find_route_upstream(rt, ms[i].upstream);

		if (ms[i].until_ms <= in->now_ms)
			continue;
		if (ru)
			ru->has_mark = true;
		else
			g_array_append_val(rt->unlisted_marked, ms[i].upstream);
	}
	return true;
}

static void refresh_route(struct route *rt, const struct route_inputs *in)
{
	bool changed = false;

	rt->updated_ms = in->now_ms;
	rt->all_cold = true;
	for (size_t i = 0; i < rt->upstream_nr; i++) {
		struct route_upstream *ru = &rt->upstreams[i];

		changed |= update_upstream(rt, ru, in);
		rt->all_cold &= !ru->takes_new_flows || ru->cold;
	}
	changed |= update_route_marks(rt, in);
	if (changed)
		clear_slot_cache(rt);
}

void update_route(struct route *rt, const struct route_inputs *in)
{
	if (in->now_ms - rt->updated_ms >= ROUTE_REFRESH_MS)
		refresh_route(rt, in);
}

/* Initializes an upstream of which no earlier state is known. */
static void init_route_upstream(struct route_upstream *ru,
				const struct upstream *up,
				const struct route_inputs *in)
{
	memset(ru, 0, sizeof(*ru));
	ru->upstream = up;
	ru->state = upstream_state(in->view, up);
	ru->should_take = allows_new_flows(ru->state);
	ru->should_take_since_ms = in->changed_ms;
	ru->takes_new_flows = ru->should_take;
	ru->ramp_start_ms = in->now_ms - MIN(in->now_ms, RAMP_MS);
	ru->ramp_step = ru->takes_new_flows ? RAMP_STEPS : 0;
	ru->cold = is_cold(ru->state, up, in->wall_s);
}

struct route *create_route(const struct service *sv,
			   const struct route_inputs *in)
{
	struct route *rt = g_new0(struct route, 1);

	rt->service = ref_service(sv);
	rt->upstream_nr = sv->upstream_nr;
	rt->upstreams = g_new0(struct route_upstream, rt->upstream_nr + 1);
	rt->unlisted_marked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (size_t i = 0; i < rt->upstream_nr; i++)
		init_route_upstream(&rt->upstreams[i], &sv->upstreams[i], in);
	refresh_route(rt, in);
	return rt;
}

void destroy_route(struct route *rt)
{
	if (!rt)
		return;
	unref_service(rt->service);
	g_array_free(rt->unlisted_marked, TRUE);
	g_free(rt->slot_cache);
	g_free(rt->upstreams);
	g_free(rt);
}

const struct service *route_service(const struct route *rt)
{
	return rt->service;
}

/* Initializes an upstream that was just listed and is not in use yet. */
static void init_joined_upstream(struct route_upstream *ru,
				 const struct upstream *up,
				 const struct route_inputs *in)
{
	init_route_upstream(ru, up, in);
	ru->takes_new_flows = false;
	ru->ramp_step = 0;
	ru->cold = false; /* update_cold() then detects that it turns cold */
	ru->known_before_cold = true;
}

void set_route_service(struct route *rt, const struct service *sv,
		       const struct route_inputs *in)
{
	struct route_upstream *ups =
		g_new0(struct route_upstream, sv->upstream_nr + 1);

	for (size_t i = 0; i < sv->upstream_nr; i++) {
		const struct upstream *up = &sv->upstreams[i];
		const struct route_upstream *old =
			find_route_upstream(rt, up->id);

		if (old) {
			ups[i] = *old;
			ups[i].upstream = up;
		} else
			init_joined_upstream(&ups[i], up, in);
	}
	g_free(rt->upstreams);
	rt->upstreams = ups;
	rt->upstream_nr = sv->upstream_nr;
	ref_service(sv);
	unref_service(rt->service);
	rt->service = (struct service *)sv;
	rt->marks_fingerprint = 0;
	clear_slot_cache(rt);
	refresh_route(rt, in);
}

static uint64_t slot_weight(uint64_t upstream, uint32_t slot)
{
	return XXH64(&upstream, sizeof(upstream), slot);
}

/* The upstream of the highest weight so far among those considered. */
struct heaviest {
	uint64_t weight;
	uint32_t index;
};

static void consider(struct heaviest *b, uint64_t weight, size_t index)
{
	if (b->index != NO_INDEX && weight <= b->weight)
		return;
	b->weight = weight;
	b->index = (uint32_t)index;
}

/* Whether RU's ramp has reached the slot on which it has WEIGHT. */
static bool ramp_covers(const struct route_upstream *ru, uint64_t weight)
{
	return weight % RAMP_STEPS < ru->ramp_step;
}

/* Highest weight on SLOT of a marked upstream that is not listed; sets ID. */
static uint64_t heaviest_unlisted(const struct route *rt, uint32_t slot,
				  uint64_t *id)
{
	uint64_t best = 0;

	for (guint i = 0; i < rt->unlisted_marked->len; i++) {
		uint64_t upstream =
			g_array_index(rt->unlisted_marked, uint64_t, i);
		uint64_t weight = slot_weight(upstream, slot);

		if (weight > best) {
			best = weight;
			*id = upstream;
		}
	}
	return best;
}

static struct cached_slot compute_slot(const struct route *rt, uint32_t slot)
{
	struct heaviest all = { 0, NO_INDEX };
	struct heaviest base = all;
	struct heaviest settled = all;
	struct heaviest joining = all;
	struct heaviest target = all;
	struct heaviest any_target = all;
	struct cached_slot found = { .is_computed = 1 };
	uint64_t unlisted_weight;

	for (size_t i = 0; i < rt->upstream_nr; i++) {
		const struct route_upstream *ru = &rt->upstreams[i];
		uint64_t weight = slot_weight(ru->upstream->id, slot);

		consider(&all, weight, i);
		if (ru->may_be_base)
			consider(&base, weight, i);
		if (ru->joining)
			consider(&joining, weight, i);
		else if (ru->may_be_base)
			consider(&settled, weight, i);
		if (ru->takes_new_flows)
			consider(&any_target, weight, i);
		if (ru->takes_new_flows && ramp_covers(ru, weight))
			consider(&target, weight, i);
	}
	found.base = base.index != NO_INDEX ? base.index : all.index;
	found.target =
		target.index != NO_INDEX ? target.index : any_target.index;
	found.record_all =
		joining.index != NO_INDEX && joining.weight > settled.weight;
	found.unsettled =
		found.base != found.target ||
		(all.index != NO_INDEX && rt->upstreams[all.index].has_mark);
	unlisted_weight = heaviest_unlisted(rt, slot, &(uint64_t){ 0 });
	found.unsettled |= unlisted_weight > all.weight;
	return found;
}

static struct cached_slot get_or_compute_slot(struct route *rt, uint32_t slot)
{
	if (rt->upstream_nr <= UNCACHED_UPSTREAMS_MAX)
		return compute_slot(rt, slot);
	if (!rt->slot_cache)
		rt->slot_cache = g_new0(struct cached_slot, ROUTE_SLOTS);
	if (!rt->slot_cache[slot].is_computed)
		rt->slot_cache[slot] = compute_slot(rt, slot);
	return rt->slot_cache[slot];
}

struct slot_upstreams choose_slot_upstreams(struct route *rt, uint32_t slot)
{
	struct cached_slot found = get_or_compute_slot(rt, slot);
	struct slot_upstreams c = { .unsettled = found.unsettled,
				    .record_all = found.record_all };

	if (found.base != NO_INDEX)
		c.base = rt->upstreams[found.base].upstream;
	if (found.target != NO_INDEX)
		c.target = rt->upstreams[found.target].upstream;
	return c;
}

/*
 * Whether RU may get one more flow. An instance that first saw RU when it was
 * cold does not know what others placed there before; it uses its quota only
 * if all upstreams are cold.
 */
static bool has_cold_room(const struct route *rt,
			  const struct route_upstream *ru)
{
	if (!ru->cold)
		return true;
	return ru->cold_flows <
	       (rt->all_cold ? ru->cold_quota : ru->cold_allowance);
}

static const struct upstream *count_placed(struct route_upstream *ru)
{
	if (ru->cold)
		ru->cold_flows++;
	return ru->upstream;
}

/* The heaviest upstream on SLOT that may get one more flow. */
static const struct upstream *place_on_any(struct route *rt, uint32_t slot)
{
	struct heaviest best = { 0, NO_INDEX };

	for (size_t i = 0; i < rt->upstream_nr; i++) {
		const struct route_upstream *ru = &rt->upstreams[i];

		if (ru->takes_new_flows && has_cold_room(rt, ru))
			consider(&best, slot_weight(ru->upstream->id, slot), i);
	}
	return best.index != NO_INDEX ? count_placed(&rt->upstreams[best.index])
				      : NULL;
}

const struct upstream *place_flow(struct route *rt, uint32_t slot)
{
	struct cached_slot found = get_or_compute_slot(rt, slot);
	struct route_upstream *ru;

	if (found.target == NO_INDEX)
		return NULL;
	ru = &rt->upstreams[found.target];
	if (has_cold_room(rt, ru))
		return count_placed(ru);
	return place_on_any(rt, slot);
}

const struct upstream *find_listed_upstream(const struct route *rt, uint64_t id,
					    enum upstream_state *state)
{
	const struct route_upstream *ru = find_route_upstream(rt, id);

	if (!ru)
		return NULL;
	*state = ru->state;
	return ru->upstream;
}

bool takes_new_flows(const struct route *rt, uint64_t id)
{
	const struct route_upstream *ru = find_route_upstream(rt, id);

	return ru && ru->takes_new_flows;
}

uint64_t slot_mark_upstream(const struct route *rt, uint32_t slot)
{
	struct heaviest all = { 0, NO_INDEX };
	uint64_t id = 0;

	for (size_t i = 0; i < rt->upstream_nr; i++)
		consider(&all, slot_weight(rt->upstreams[i].upstream->id, slot),
			 i);
	if (heaviest_unlisted(rt, slot, &id) > all.weight ||
	    all.index == NO_INDEX)
		return id;
	return rt->upstreams[all.index].upstream->id;
}

size_t route_bytes(const struct route *rt)
{
	size_t bytes = sizeof(*rt) + rt->upstream_nr * sizeof(*rt->upstreams) +
		       rt->unlisted_marked->len * sizeof(uint64_t);

	return rt->slot_cache ? bytes + ROUTE_SLOTS * sizeof(*rt->slot_cache)
			      : bytes;
}
