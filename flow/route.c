#include "flow/route.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define DIRECT_MAX 12 /* services with fewer upstreams need no table */
#define INDEX_BITS 14
#define NO_INDEX ((1U << INDEX_BITS) - 1)
#define RAMP_STEPS 16

/*
 * A joiner becomes a base this long after the idle time, and flows on its
 * slots are all remembered for this long after that; clocks of instances and
 * publishers may differ by half of it.
 */
#define JOIN_MARGIN_S 60

struct route_upstream {
	const struct upstream *up;
	enum upstream_state state;
	uint64_t wants_changed; /* ms */
	uint64_t ramp_start;	/* ms */
	uint32_t births;	/* flows placed here since it turned cold */
	uint32_t allowance;	/* births that this instance may place */
	uint32_t share;		/* the same if nobody had placed any */
	uint8_t ramp;		/* 0 to RAMP_STEPS: part of its slots in use */
	bool wants;		/* its state allows new flows */
	bool takes;		/* gets new flows from here */
	bool established;	/* may be a base */
	bool joining;		/* flows on its slots are all remembered */
	bool cold;
	bool watched; /* since before it was cold */
	bool marked;
};

/* What choose_slot found; a table of these caches it. */
struct slot_cell {
	uint32_t base : INDEX_BITS;
	uint32_t target : INDEX_BITS;
	uint32_t unsettled : 1;
	uint32_t remember_all : 1;
	uint32_t filled : 1;
};

struct route {
	struct service *service;
	size_t nr;
	struct route_upstream *ups;
	GArray *gone;	      /* ids of marked upstreams that are not listed */
	uint64_t marks_print; /* of the marks taken in */
	struct slot_cell *table;
	uint64_t updated; /* ms */
	bool all_cold;	  /* of those that take new flows */
};

static bool allows_new_flows(enum upstream_state s)
{
	return s != UPSTREAM_DRAINING && s != UPSTREAM_DOWN &&
	       s != UPSTREAM_OUT;
}

/* An upstream that nobody has judged is cold for a while after it joined. */
static bool is_cold(enum upstream_state s, const struct upstream *up,
		    uint64_t wall_s)
{
	if (s == UPSTREAM_UNKNOWN)
		return up->joined_s && wall_s < up->joined_s + COLD_START_S;
	return s == UPSTREAM_COLD;
}

static bool is_lost(enum upstream_state s)
{
	return s == UPSTREAM_DOWN || s == UPSTREAM_OUT;
}

static void forget_choices(struct route *rt)
{
	if (rt->nr <= DIRECT_MAX) {
		g_free(rt->table);
		rt->table = NULL;
	} else if (rt->table)
		memset(rt->table, 0, ROUTE_SLOTS * sizeof(*rt->table));
}

static struct route_upstream *lookup(const struct route *rt, uint64_t id)
{
	size_t low = 0;
	size_t high = rt->nr;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (rt->ups[mid].up->id < id)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == rt->nr || rt->ups[low].up->id != id)
		return NULL;
	return &rt->ups[low];
}

/* Moves RU to what its state wants, when it is time. */
static bool follow_state(struct route_upstream *ru,
			 const struct route_inputs *in)
{
	bool wants = allows_new_flows(ru->state);

	if (wants != ru->wants) {
		ru->wants = wants;
		ru->wants_changed = in->changed_ms;
	}
	if (wants == ru->takes)
		return false;
	if (!is_lost(ru->state) && in->now_ms - ru->wants_changed < SETTLE_MS)
		return false;
	ru->takes = wants;
	ru->ramp_start = in->now_ms;
	return true;
}

static bool follow_ramp(struct route_upstream *ru, uint64_t now)
{
	uint64_t since = now - ru->ramp_start;
	uint64_t step = 1 + since * RAMP_STEPS / RAMP_MS;
	uint8_t ramp = (uint8_t)MIN(step, RAMP_STEPS);

	if (!ru->takes)
		ramp = 0;
	if (ramp == ru->ramp)
		return false;
	ru->ramp = ramp;
	return true;
}

static void follow_cold(struct route_upstream *ru,
			const struct route_inputs *in)
{
	bool cold = is_cold(ru->state, ru->up, in->wall_s);

	if (ru->state == UPSTREAM_DRAINING) /* hides whether it is cold */
		cold = ru->cold;
	if (!cold && ru->cold && !is_lost(ru->state))
		ru->ramp_start = in->now_ms;
	if (cold) {
		ru->share =
			upstream_share(in->shares, ru->up->id,
				       ru->up->cold_connections, in->now_ms);
		if (!ru->cold) {
			ru->births = 0;
			ru->allowance = ru->watched ? ru->share : 0;
		}
		ru->allowance = MIN(ru->allowance, ru->share);
	}
	ru->cold = cold;
	ru->watched |= !cold && ru->state != UPSTREAM_UNKNOWN;
}

static bool follow_age(struct route_upstream *ru, uint32_t idle_ms,
		       uint64_t wall_s)
{
	uint64_t joined = ru->up->joined_s;
	uint64_t ready = joined + idle_ms / 1000 + JOIN_MARGIN_S;
	bool established = !joined || wall_s >= ready;
	bool joining = joined && wall_s < ready + JOIN_MARGIN_S;
	bool changed = joining != ru->joining;

	ru->joining = joining;
	if (!established || ru->established)
		return changed;
	ru->established = true;
	return true;
}

/* Whether flows of RU's slots may be placed elsewhere now. */
static bool is_unsettled(const struct route_upstream *ru)
{
	return !ru->wants || !ru->takes || ru->ramp < RAMP_STEPS ||
	       ru->joining || !ru->established || ru->cold;
}

static bool update_upstream(struct route *rt, struct route_upstream *ru,
			    const struct route_inputs *in)
{
	bool changed;

	ru->state = upstream_state(in->view, ru->up);
	follow_cold(ru, in);
	changed = follow_state(ru, in);
	changed |= follow_ramp(ru, in->now_ms);
	changed |= follow_age(ru, rt->service->idle_ms, in->wall_s);
	if (is_unsettled(ru))
		set_mark(in->marks, rt->service->id, ru->up->id,
			 in->now_ms + MARK_MS, in->now_ms, in->tell_nr);
	return changed;
}

/* A hash of the marks of the service that have not expired. */
static uint64_t marks_fingerprint(const struct mark *ms, size_t nr,
				  uint64_t now)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < nr; i++)
		if (ms[i].until > now)
			sum += XXH64(&ms[i].upstream, sizeof(uint64_t), 0);
	return sum;
}

/* Takes in the marks; true if they differ from those known. */
static bool update_marks(struct route *rt, const struct route_inputs *in)
{
	const struct mark *ms;
	uint64_t print;
	size_t nr;

	ms = service_marks(in->marks, rt->service->id, &nr);
	print = marks_fingerprint(ms, nr, in->now_ms);
	if (print == rt->marks_print)
		return false;
	rt->marks_print = print;
	g_array_set_size(rt->gone, 0);
	for (size_t i = 0; i < rt->nr; i++)
		rt->ups[i].marked = false;
	for (size_t i = 0; i < nr; i++) {
		struct route_upstream *ru = lookup(rt, ms[i].upstream);

		if (ms[i].until <= in->now_ms)
			continue;
		if (ru)
			ru->marked = true;
		else
			g_array_append_val(rt->gone, ms[i].upstream);
	}
	return true;
}

static void refresh(struct route *rt, const struct route_inputs *in)
{
	bool changed = false;

	rt->updated = in->now_ms;
	rt->all_cold = true;
	for (size_t i = 0; i < rt->nr; i++) {
		struct route_upstream *ru = &rt->ups[i];

		changed |= update_upstream(rt, ru, in);
		rt->all_cold &= !ru->takes || ru->cold;
	}
	changed |= update_marks(rt, in);
	if (changed)
		forget_choices(rt);
}

void update_route(struct route *rt, const struct route_inputs *in)
{
	if (in->now_ms - rt->updated >= ROUTE_REFRESH_MS)
		refresh(rt, in);
}

/* An upstream of which this instance knows no earlier state. */
static void init_upstream(struct route_upstream *ru, const struct upstream *up,
			  const struct route_inputs *in)
{
	memset(ru, 0, sizeof(*ru));
	ru->up = up;
	ru->state = upstream_state(in->view, up);
	ru->wants = allows_new_flows(ru->state);
	ru->wants_changed = in->changed_ms;
	ru->takes = ru->wants;
	ru->ramp_start = in->now_ms - MIN(in->now_ms, RAMP_MS);
	ru->ramp = ru->takes ? RAMP_STEPS : 0;
	ru->cold = is_cold(ru->state, up, in->wall_s);
}

struct route *create_route(const struct service *sv,
			   const struct route_inputs *in)
{
	struct route *rt = g_new0(struct route, 1);

	rt->service = ref_service(sv);
	rt->nr = sv->upstream_nr;
	rt->ups = g_new0(struct route_upstream, rt->nr + 1);
	rt->gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (size_t i = 0; i < rt->nr; i++)
		init_upstream(&rt->ups[i], &sv->upstreams[i], in);
	refresh(rt, in);
	return rt;
}

void destroy_route(struct route *rt)
{
	if (!rt)
		return;
	unref_service(rt->service);
	g_array_free(rt->gone, TRUE);
	g_free(rt->table);
	g_free(rt->ups);
	g_free(rt);
}

const struct service *route_service(const struct route *rt)
{
	return rt->service;
}

/* An upstream that joined while this instance watched: not yet in use. */
static void init_joiner(struct route_upstream *ru, const struct upstream *up,
			const struct route_inputs *in)
{
	init_upstream(ru, up, in);
	ru->takes = false;
	ru->ramp = 0;
	ru->cold = false; /* so that it is seen to turn cold */
	ru->watched = true;
}

void set_route_service(struct route *rt, const struct service *sv,
		       const struct route_inputs *in)
{
	struct route_upstream *ups =
		g_new0(struct route_upstream, sv->upstream_nr + 1);

	for (size_t i = 0; i < sv->upstream_nr; i++) {
		const struct upstream *up = &sv->upstreams[i];
		const struct route_upstream *old = lookup(rt, up->id);

		if (old) {
			ups[i] = *old;
			ups[i].up = up;
		} else
			init_joiner(&ups[i], up, in);
	}
	g_free(rt->ups);
	rt->ups = ups;
	rt->nr = sv->upstream_nr;
	ref_service(sv);
	unref_service(rt->service);
	rt->service = (struct service *)sv;
	rt->marks_print = 0;
	forget_choices(rt);
	refresh(rt, in);
}

static uint64_t weigh(uint64_t upstream, uint32_t slot)
{
	return XXH64(&upstream, sizeof(upstream), slot);
}

/* The best of one class of upstreams so far. */
struct best {
	uint64_t weight;
	uint32_t index;
};

static void offer(struct best *b, uint64_t weight, size_t index)
{
	if (b->index != NO_INDEX && weight <= b->weight)
		return;
	b->weight = weight;
	b->index = (uint32_t)index;
}

/* Whether RU uses the slot on which it has this weight. */
static bool ramp_covers(const struct route_upstream *ru, uint64_t weight)
{
	return weight % RAMP_STEPS < ru->ramp;
}

/* The heaviest upstream on SLOT of those that are marked but not listed. */
static uint64_t heaviest_gone(const struct route *rt, uint32_t slot,
			      uint64_t *id)
{
	uint64_t best = 0;

	for (guint i = 0; i < rt->gone->len; i++) {
		uint64_t upstream = g_array_index(rt->gone, uint64_t, i);
		uint64_t weight = weigh(upstream, slot);

		if (weight > best) {
			best = weight;
			*id = upstream;
		}
	}
	return best;
}

static struct slot_cell compute_cell(const struct route *rt, uint32_t slot)
{
	struct best all = { 0, NO_INDEX };
	struct best base = all;
	struct best settled = all;
	struct best joining = all;
	struct best target = all;
	struct best any_target = all;
	struct slot_cell cell = { .filled = 1 };
	uint64_t gone;

	for (size_t i = 0; i < rt->nr; i++) {
		const struct route_upstream *ru = &rt->ups[i];
		uint64_t weight = weigh(ru->up->id, slot);

		offer(&all, weight, i);
		if (ru->established)
			offer(&base, weight, i);
		if (ru->joining)
			offer(&joining, weight, i);
		else if (ru->established)
			offer(&settled, weight, i);
		if (ru->takes)
			offer(&any_target, weight, i);
		if (ru->takes && ramp_covers(ru, weight))
			offer(&target, weight, i);
	}
	cell.base = base.index != NO_INDEX ? base.index : all.index;
	cell.target =
		target.index != NO_INDEX ? target.index : any_target.index;
	cell.remember_all =
		joining.index != NO_INDEX && joining.weight > settled.weight;
	cell.unsettled = cell.base != cell.target ||
			 (all.index != NO_INDEX && rt->ups[all.index].marked);
	gone = heaviest_gone(rt, slot, &(uint64_t){ 0 });
	cell.unsettled |= gone > all.weight;
	return cell;
}

static struct slot_cell find_cell(struct route *rt, uint32_t slot)
{
	if (rt->nr <= DIRECT_MAX)
		return compute_cell(rt, slot);
	if (!rt->table)
		rt->table = g_new0(struct slot_cell, ROUTE_SLOTS);
	if (!rt->table[slot].filled)
		rt->table[slot] = compute_cell(rt, slot);
	return rt->table[slot];
}

struct slot_choice choose_slot(struct route *rt, uint32_t slot)
{
	struct slot_cell cell = find_cell(rt, slot);
	struct slot_choice c = { .unsettled = cell.unsettled,
				 .remember_all = cell.remember_all };

	if (cell.base != NO_INDEX)
		c.base = rt->ups[cell.base].up;
	if (cell.target != NO_INDEX)
		c.target = rt->ups[cell.target].up;
	return c;
}

/*
 * Whether RU may get one more flow. An instance that found RU cold cannot
 * know what others placed there before, and uses its share only if every
 * upstream is cold.
 */
static bool has_room(const struct route *rt, const struct route_upstream *ru)
{
	if (!ru->cold)
		return true;
	return ru->births < (rt->all_cold ? ru->share : ru->allowance);
}

static const struct upstream *place(struct route_upstream *ru)
{
	if (ru->cold)
		ru->births++;
	return ru->up;
}

/* The best upstream on SLOT that has room. */
static const struct upstream *place_elsewhere(struct route *rt, uint32_t slot)
{
	struct best best = { 0, NO_INDEX };

	for (size_t i = 0; i < rt->nr; i++) {
		const struct route_upstream *ru = &rt->ups[i];

		if (ru->takes && has_room(rt, ru))
			offer(&best, weigh(ru->up->id, slot), i);
	}
	return best.index != NO_INDEX ? place(&rt->ups[best.index]) : NULL;
}

const struct upstream *place_flow(struct route *rt, uint32_t slot)
{
	struct slot_cell cell = find_cell(rt, slot);
	struct route_upstream *ru;

	if (cell.target == NO_INDEX)
		return NULL;
	ru = &rt->ups[cell.target];
	if (has_room(rt, ru))
		return place(ru);
	return place_elsewhere(rt, slot);
}

const struct upstream *route_upstream(const struct route *rt, uint64_t id,
				      enum upstream_state *state)
{
	const struct route_upstream *ru = lookup(rt, id);

	if (!ru)
		return NULL;
	*state = ru->state;
	return ru->up;
}

bool takes_new_flows(const struct route *rt, uint64_t id)
{
	const struct route_upstream *ru = lookup(rt, id);

	return ru && ru->takes;
}

uint64_t slot_owner(const struct route *rt, uint32_t slot)
{
	struct best all = { 0, NO_INDEX };
	uint64_t id = 0;

	for (size_t i = 0; i < rt->nr; i++)
		offer(&all, weigh(rt->ups[i].up->id, slot), i);
	if (heaviest_gone(rt, slot, &id) > all.weight || all.index == NO_INDEX)
		return id;
	return rt->ups[all.index].up->id;
}

size_t route_bytes(const struct route *rt)
{
	size_t bytes = sizeof(*rt) + rt->nr * sizeof(*rt->ups) +
		       rt->gone->len * sizeof(uint64_t);

	return rt->table ? bytes + ROUTE_SLOTS * sizeof(*rt->table) : bytes;
}
