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
	h->judges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	h->reach =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->judged = g_ptr_array_new();
	h->watched = g_ptr_array_new();
	h->dropped = g_ptr_array_new();
	h->interval = HEALTH_PROBE_MS;
	return h;
}

void destroy_health(struct health *h)
{
	if (!h)
		return;
	unref_snapshot(h->snapshot);
	unref_snapshot(h->assigned_of);
	destroy_probers(h->probers);
	g_rand_free(h->rand);
	g_ptr_array_free(h->judged, TRUE);
	g_ptr_array_free(h->watched, TRUE);
	g_ptr_array_free(h->dropped, TRUE);
	g_hash_table_destroy(h->judges);
	g_hash_table_destroy(h->reach);
	g_free(h);
}

void release_health_actions(struct health_actions *as)
{
	g_free(as->at);
	memset(as, 0, sizeof(*as));
}

struct health_action *add_health_action(struct health_actions *as,
					enum health_action_kind kind,
					const struct judge *j)
{
	struct health_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->at = g_renew(struct health_action, as->at, as->alloc);
	}
	a = &as->at[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->service = j->service;
	a->upstream = j->upstream;
	a->state = j->state;
	return a;
}

size_t probed_nr(const struct health *h)
{
	return h->probed_nr;
}

uint64_t probe_interval_ms(const struct health *h)
{
	return h->interval;
}

bool is_probed_kind(const struct service *sv, const struct upstream *up)
{
	return sv->kind == SERVICE_REQUESTS || up->health.family;
}

const struct service *service_of_id(const struct health *h, uint64_t id)
{
	return h->snapshot ? find_service(h->snapshot, id) : NULL;
}

const struct upstream *upstream_of_judge(const struct health *h,
					 const struct judge *j)
{
	const struct service *sv = service_of_id(h, j->service);

	return sv ? find_upstream(sv, j->upstream) : NULL;
}

static struct judge *find_health_judge(const struct health *h,
				       uint64_t upstream)
{
	return g_hash_table_lookup(h->judges, &upstream);
}

struct judge *need_health_judge(struct health *h, const struct service *sv,
				const struct upstream *up, uint64_t now_ms)
{
	struct judge *j = find_health_judge(h, up->id);

	if (j)
		return j;
	j = g_new(struct judge, 1);
	init_judge(j, sv->id, up->id, UPSTREAM_WARM, now_ms);
	g_hash_table_insert(h->judges, &j->upstream, j);
	return j;
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

void watch_judge(struct health *h, struct judge *j)
{
	if (j->watched)
		return;
	j->watched = true;
	g_ptr_array_add(h->watched, j);
}

static void send_probe(struct health *h, struct judge *j,
		       const struct upstream *up, uint64_t now_ms,
		       struct health_actions *out)
{
	uint64_t wait = h->interval;
	struct health_action *a;

	if (j->role == HEALTH_STANDBY)
		wait *= HEALTH_STANDBY_EACH;
	j->asked = now_ms < j->next_probe;
	j->next_probe = now_ms + jitter_probe(h, wait);
	j->probed_at = now_ms;
	j->in_flight = true;
	a = add_health_action(out, HEALTH_PROBE, j);
	a->address = up->health.family ? up->health : up->address;
	a->timeout_ms = HEALTH_TIMEOUT_MS;
	a->ask_load = ++j->probe_nr % HEALTH_LOAD_EACH == 0;
	count(h->counters, COUNT_HEALTH_PROBES);
}

/* Sheds bring one probe forward between two that come by time. */
static bool is_due(const struct judge *j, uint64_t now_ms)
{
	if (now_ms >= j->next_probe)
		return true;
	return j->role == HEALTH_PRIMARY && !j->asked && wants_probe(j) &&
	       now_ms >= j->probed_at + HEALTH_ASK_AGAIN_MS;
}

/* A domain that is out gets no packet, hence no probe either. */
static void probe_due(struct health *h, uint64_t now_ms,
		      struct health_actions *out)
{
	for (guint i = 0; i < h->judged->len; i++) {
		struct judge *j = g_ptr_array_index(h->judged, i);
		const struct upstream *up = upstream_of_judge(h, j);

		if (!up || j->unprobed || j->in_flight || !is_due(j, now_ms))
			continue;
		if (!is_domain_out(h->view, up->domain))
			send_probe(h, j, up, now_ms, out);
	}
}

static void tick_judge(struct health *h, struct judge *j, uint64_t now_ms,
		       struct health_actions *out)
{
	const struct upstream *up = upstream_of_judge(h, j);
	enum upstream_state before = j->state;

	if (!up)
		return;
	if (j->role != HEALTH_PASSIVE) {
		heed_fleet_state(h, j, up, now_ms);
		apply_health_orders(h, j, up, now_ms);
	}
	judge_tick(j, h->chart, now_ms);
	report_health_change(h, j, before, out);
	publish_health(h, j, now_ms, out);
}

static bool needs_watch(const struct judge *j)
{
	return j->role != HEALTH_PASSIVE || j->state != UPSTREAM_WARM;
}

static void tick_judges(struct health *h, uint64_t now_ms,
			struct health_actions *out)
{
	for (guint i = h->watched->len; i-- > 0;) {
		struct judge *j = g_ptr_array_index(h->watched, i);

		if (needs_watch(j)) {
			tick_judge(h, j, now_ms, out);
			continue;
		}
		j->watched = false;
		g_ptr_array_remove_index_fast(h->watched, i);
	}
}

static void tick(struct health *h, uint64_t now_ms, struct health_actions *out)
{
	if (!h->snapshot)
		return;
	look_at_health_members(h, now_ms);
	tick_judges(h, now_ms, out);
	probe_due(h, now_ms, out);
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

static void observe(struct health *h, const struct health_event *ev,
		    uint64_t now_ms, struct health_actions *out)
{
	const struct service *sv = service_of_id(h, ev->service);
	const struct upstream *up = NULL;
	enum upstream_state before;
	struct judge *j;

	if (sv)
		up = find_upstream(sv, ev->upstream);
	if (!up)
		return;
	j = need_health_judge(h, sv, up, now_ms);
	before = j->state;
	if (ends_probe(ev->kind))
		j->in_flight = false;
	if (ev->kind == HEALTH_PROBE_FAILED)
		count(h->counters, COUNT_HEALTH_PROBE_FAILURES);
	if (is_success(ev->kind))
		note_domain_reach(h, up->domain, now_ms);
	judge_event(j, h->chart, ev, now_ms);
	if (j->role != HEALTH_PASSIVE)
		apply_health_orders(h, j, up, now_ms);
	if (needs_watch(j))
		watch_judge(h, j);
	report_health_change(h, j, before, out);
	publish_health(h, j, now_ms, out);
}

void step_health(struct health *h, const struct health_event *ev,
		 uint64_t now_ms, struct health_actions *out)
{
	if (ev->kind == HEALTH_TICK)
		tick(h, now_ms, out);
	else
		observe(h, ev, now_ms, out);
}

static bool has_own_success(const struct judge *j, uint64_t now_ms)
{
	return j && j->last_success && j->last_success > j->last_failure &&
	       now_ms - j->last_success < HEALTH_OWN_SUCCESS_MS;
}

enum upstream_state used_state(const struct health *h, const struct service *sv,
			       const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);
	const struct judge *j = find_health_judge(h, up->id);
	enum upstream_state own = j ? j->state : UPSTREAM_WARM;

	if (seen == UPSTREAM_OUT)
		return seen;
	if (seen == UPSTREAM_DOWN && own != UPSTREAM_DOWN &&
	    (has_own_success(j, now_ms) || is_service_in_panic(h, sv, 0)))
		seen = up->draining ? UPSTREAM_DRAINING : UPSTREAM_COLD;
	return own != UPSTREAM_OUT && is_worse_state(own, seen) ? own : seen;
}
