#include "fleet/health.h"

#include <glib.h>
#include <string.h>

#include "fleet/health-state.h"

struct health *create_health(const struct view *view, const struct chart *chart,
			     uint32_t seed, struct counters *counters)
{
	struct health *h = g_new0(struct health, 1);

	h->view = view;
	h->chart = chart;
	h->counters = counters;
	h->probers = create_probers(view);
	h->rand = g_rand_new_with_seed(seed);
	h->assessments = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	h->domain_success_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->assigned = g_ptr_array_new();
	h->watched = g_ptr_array_new();
	h->unassigned = g_ptr_array_new();
	h->probe_interval_ms = HEALTH_PROBE_INTERVAL_MS;
	return h;
}

void destroy_health(struct health *h)
{
	if (!h)
		return;
	unref_snapshot(h->snapshot);
	unref_snapshot(h->assigned_snapshot);
	destroy_probers(h->probers);
	g_rand_free(h->rand);
	g_ptr_array_free(h->assigned, TRUE);
	g_ptr_array_free(h->watched, TRUE);
	g_ptr_array_free(h->unassigned, TRUE);
	g_hash_table_destroy(h->assessments);
	g_hash_table_destroy(h->domain_success_ms);
	g_free(h);
}

void release_health_actions(struct health_actions *as)
{
	g_free(as->items);
	memset(as, 0, sizeof(*as));
}

struct health_action *add_health_action(struct health_actions *as,
					enum health_action_kind kind,
					const struct health_assessment *ha)
{
	struct health_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->items = g_renew(struct health_action, as->items, as->alloc);
	}
	a = &as->items[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->service = ha->service;
	a->upstream = ha->upstream;
	a->state = ha->state;
	return a;
}

size_t probed_upstream_count(const struct health *h)
{
	return h->probed_count;
}

uint64_t probe_interval_ms(const struct health *h)
{
	return h->probe_interval_ms;
}

bool is_probeable(const struct service *sv, const struct upstream *up)
{
	return sv->kind == SERVICE_REQUESTS || up->health.family;
}

const struct service *service_of_id(const struct health *h, uint64_t id)
{
	return h->snapshot ? find_service(h->snapshot, id) : NULL;
}

const struct upstream *
upstream_of_assessment(const struct health *h,
		       const struct health_assessment *ha)
{
	const struct service *sv = service_of_id(h, ha->service);

	return sv ? find_upstream(sv, ha->upstream) : NULL;
}

static struct health_assessment *find_assessment(const struct health *h,
						 uint64_t upstream)
{
	return g_hash_table_lookup(h->assessments, &upstream);
}

struct health_assessment *get_or_create_assessment(struct health *h,
						   const struct service *sv,
						   const struct upstream *up,
						   uint64_t now_ms)
{
	struct health_assessment *ha = find_assessment(h, up->id);

	if (ha)
		return ha;
	ha = g_new(struct health_assessment, 1);
	init_assessment(ha, sv->id, up->id, UPSTREAM_WARM, now_ms);
	g_hash_table_insert(h->assessments, &ha->upstream, ha);
	return ha;
}

bool is_worse_state(enum upstream_state a, enum upstream_state b)
{
	static const int rank[UPSTREAM_STATE_NR] = {
		[UPSTREAM_OUT] = 0,	 [UPSTREAM_DOWN] = 1,
		[UPSTREAM_DRAINING] = 2, [UPSTREAM_UNKNOWN] = 3,
		[UPSTREAM_COLD] = 3,	 [UPSTREAM_WARMING] = 4,
		[UPSTREAM_WARM] = 5,
	};

	return rank[a] < rank[b];
}

void watch_assessment(struct health *h, struct health_assessment *ha)
{
	if (ha->watched)
		return;
	ha->watched = true;
	g_ptr_array_add(h->watched, ha);
}

static void send_probe(struct health *h, struct health_assessment *ha,
		       const struct upstream *up, uint64_t now_ms,
		       struct health_actions *out)
{
	uint64_t wait = h->probe_interval_ms;
	struct health_action *a;

	if (ha->role == HEALTH_STANDBY)
		wait *= HEALTH_STANDBY_FACTOR;
	ha->early_probe_sent = now_ms < ha->next_probe_ms;
	ha->next_probe_ms = now_ms + jitter_probe(h, wait);
	ha->probed_at_ms = now_ms;
	ha->probe_in_flight = true;
	a = add_health_action(out, HEALTH_PROBE, ha);
	a->address = up->health.family ? up->health : up->address;
	a->timeout_ms = HEALTH_PROBE_TIMEOUT_MS;
	a->query_load = ++ha->probe_count % HEALTH_LOAD_EVERY == 0;
	count(h->counters, COUNT_HEALTH_PROBES);
}

/* True if HA's next probe is due; sheds make at most one in two come early. */
static bool is_due(const struct health_assessment *ha, uint64_t now_ms)
{
	if (now_ms >= ha->next_probe_ms)
		return true;
	return ha->role == HEALTH_PRIMARY && !ha->early_probe_sent &&
	       wants_early_probe(ha) &&
	       now_ms >= ha->probed_at_ms + HEALTH_EARLY_PROBE_MS;
}

/* Sends the probes that are due; none to domains that are out. */
static void send_due_probes(struct health *h, uint64_t now_ms,
			    struct health_actions *out)
{
	for (guint i = 0; i < h->assigned->len; i++) {
		struct health_assessment *ha =
			g_ptr_array_index(h->assigned, i);
		const struct upstream *up = upstream_of_assessment(h, ha);

		if (!up || ha->unprobeable || ha->probe_in_flight ||
		    !is_due(ha, now_ms))
			continue;
		if (!is_domain_out(h->view, up->domain))
			send_probe(h, ha, up, now_ms, out);
	}
}

static void tick_assessment(struct health *h, struct health_assessment *ha,
			    uint64_t now_ms, struct health_actions *out)
{
	const struct upstream *up = upstream_of_assessment(h, ha);
	enum upstream_state before = ha->state;

	if (!up)
		return;
	if (ha->role != HEALTH_PASSIVE) {
		adopt_worse_fleet_state(h, ha, up, now_ms);
		apply_operator_orders(h, ha, up, now_ms);
	}
	assess_tick(ha, h->chart, now_ms);
	report_state_change(h, ha, before, out);
	publish_health(h, ha, now_ms, out);
}

static bool needs_watch(const struct health_assessment *ha)
{
	return ha->role != HEALTH_PASSIVE || ha->state != UPSTREAM_WARM;
}

static void tick_watched(struct health *h, uint64_t now_ms,
			 struct health_actions *out)
{
	for (guint i = h->watched->len; i-- > 0;) {
		struct health_assessment *ha = g_ptr_array_index(h->watched, i);

		if (needs_watch(ha)) {
			tick_assessment(h, ha, now_ms, out);
			continue;
		}
		ha->watched = false;
		g_ptr_array_remove_index_fast(h->watched, i);
	}
}

static void tick(struct health *h, uint64_t now_ms, struct health_actions *out)
{
	if (!h->snapshot)
		return;
	update_health_roles(h, now_ms);
	tick_watched(h, now_ms, out);
	send_due_probes(h, now_ms, out);
}

static bool is_success(enum health_event_kind kind)
{
	return kind == HEALTH_PROBE_OK || kind == HEALTH_LOAD ||
	       kind == HEALTH_ANSWERED || kind == HEALTH_SHED;
}

static bool ends_probe(enum health_event_kind kind)
{
	return kind == HEALTH_PROBE_OK || kind == HEALTH_PROBE_FAILED ||
	       kind == HEALTH_LOAD;
}

static void handle_upstream_event(struct health *h,
				  const struct health_event *ev,
				  uint64_t now_ms, struct health_actions *out)
{
	const struct service *sv = service_of_id(h, ev->service);
	const struct upstream *up = NULL;
	enum upstream_state before;
	struct health_assessment *ha;

	if (sv)
		up = find_upstream(sv, ev->upstream);
	if (!up)
		return;
	ha = get_or_create_assessment(h, sv, up, now_ms);
	before = ha->state;
	if (ends_probe(ev->kind))
		ha->probe_in_flight = false;
	if (ev->kind == HEALTH_PROBE_FAILED)
		count(h->counters, COUNT_HEALTH_PROBE_FAILURES);
	if (is_success(ev->kind))
		record_domain_success(h, up->domain, now_ms);
	assess_event(ha, h->chart, ev, now_ms);
	if (ha->role != HEALTH_PASSIVE)
		apply_operator_orders(h, ha, up, now_ms);
	if (needs_watch(ha))
		watch_assessment(h, ha);
	report_state_change(h, ha, before, out);
	publish_health(h, ha, now_ms, out);
}

void step_health(struct health *h, const struct health_event *ev,
		 uint64_t now_ms, struct health_actions *out)
{
	if (ev->kind == HEALTH_TICK)
		tick(h, now_ms, out);
	else
		handle_upstream_event(h, ev, now_ms, out);
}

static bool has_own_success(const struct health_assessment *ha, uint64_t now_ms)
{
	return ha && ha->last_success_ms &&
	       ha->last_success_ms > ha->last_failure_ms &&
	       now_ms - ha->last_success_ms < HEALTH_OWN_SUCCESS_MS;
}

enum upstream_state effective_upstream_state(const struct health *h,
					     const struct service *sv,
					     const struct upstream *up,
					     uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);
	const struct health_assessment *ha = find_assessment(h, up->id);
	enum upstream_state own = ha ? ha->state : UPSTREAM_WARM;

	if (seen == UPSTREAM_OUT)
		return seen;
	if (seen == UPSTREAM_DOWN && own != UPSTREAM_DOWN &&
	    (has_own_success(ha, now_ms) || is_service_in_panic(h, sv, 0)))
		seen = up->draining ? UPSTREAM_DRAINING : UPSTREAM_COLD;
	return own != UPSTREAM_OUT && is_worse_state(own, seen) ? own : seen;
}
