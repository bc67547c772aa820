#include "fleet/health.h"

#include <glib.h>
#include <string.h>

#include "fleet/health-probers.h"

#define MEMBERS_MS 1000 /* between two looks at the members */
#define JITTER 0.2	/* share of the interval, to either side */
#define PURGE_MS 600000 /* between two removals of unpublished ones */
#define PANIC_DIVISOR 2 /* more than 1 / this of a service down */

struct health {
	const struct view *view;
	const struct chart *chart;
	struct counters *counters;
	struct snapshot *snapshot;
	struct snapshot *assigned_of; /* whose probes are assigned; or NULL */
	struct probers *probers;
	GRand *rand;
	GHashTable *judges; /* upstream id -> struct judge */
	GHashTable *reach;  /* domain -> uint64_t ms of the last success */
	GPtrArray *judged;  /* of struct judge, not passive */
	GPtrArray *watched; /* of struct judge, not simply warm */
	GPtrArray *dropped; /* of struct judge, while assigning */
	size_t probed_nr;   /* of them, those that can be probed */
	uint64_t interval;  /* ms between two probes of one upstream */
	uint64_t members_at;
	uint64_t purged_at;
};

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

static struct health_action *add_action(struct health_actions *as,
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

static const struct service *service_of(const struct health *h, uint64_t id)
{
	return h->snapshot ? find_service(h->snapshot, id) : NULL;
}

static const struct upstream *upstream_of(const struct health *h,
					  const struct judge *j)
{
	const struct service *sv = service_of(h, j->service);

	return sv ? find_upstream(sv, j->upstream) : NULL;
}

static struct judge *find_judge(const struct health *h, uint64_t upstream)
{
	return g_hash_table_lookup(h->judges, &upstream);
}

/* The judge of UP; a new one has nothing to say against it. */
static struct judge *need_judge(struct health *h, const struct service *sv,
				const struct upstream *up, uint64_t now_ms)
{
	struct judge *j = find_judge(h, up->id);

	if (j)
		return j;
	j = g_new(struct judge, 1);
	init_judge(j, sv->id, up->id, UPSTREAM_WARM, now_ms);
	g_hash_table_insert(h->judges, &j->upstream, j);
	return j;
}

/* True if the health state A lets an upstream do less than B. */
static bool is_worse(enum upstream_state a, enum upstream_state b)
{
	static const int rank[UPSTREAM_STATE_NR] = {
		[UPSTREAM_OUT] = 0,	 [UPSTREAM_DOWN] = 1,
		[UPSTREAM_DRAINING] = 2, [UPSTREAM_UNKNOWN] = 3,
		[UPSTREAM_COLD] = 3,	 [UPSTREAM_WARMING] = 4,
		[UPSTREAM_WARM] = 5,
	};

	return rank[a] < rank[b];
}

static uint64_t jitter(struct health *h, uint64_t ms)
{
	double share = g_rand_double_range(h->rand, 1 - JITTER, 1 + JITTER);

	return (uint64_t)((double)ms * share);
}

/* Takes over the fleet's opinion when this instance begins to probe. */
static void begin_probing(struct health *h, struct judge *j,
			  const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen != UPSTREAM_OUT && is_worse(seen, j->state))
		adopt_state(j, seen, now_ms);
	j->seen = seen;
	j->in_flight = false;
	j->next_probe = 0;
}

/* Leaves J with what this instance found itself. */
static void end_probing(struct judge *j, uint64_t now_ms)
{
	j->role = HEALTH_PASSIVE;
	if (j->state == UPSTREAM_UNKNOWN || j->state == UPSTREAM_DRAINING ||
	    j->state == UPSTREAM_OUT)
		adopt_state(j, UPSTREAM_WARM, now_ms);
}

static void watch(struct health *h, struct judge *j)
{
	if (j->watched)
		return;
	j->watched = true;
	g_ptr_array_add(h->watched, j);
}

/* Lets this instance probe UP if that is its role. */
static void set_role(struct health *h, const struct service *sv,
		     const struct upstream *up, uint64_t now_ms)
{
	enum health_role role = prober_role(h->probers, up);
	struct judge *j;

	if (role == HEALTH_PASSIVE)
		return;
	j = need_judge(h, sv, up, now_ms);
	if (j->kept)
		return;
	if (j->role == HEALTH_PASSIVE)
		begin_probing(h, j, up, now_ms);
	j->role = role;
	j->unprobed = !is_probed_kind(sv, up);
	j->kept = true;
	watch(h, j);
	g_ptr_array_add(h->judged, j);
}

/* Sets the interval at which this instance sends what it may at most. */
static void set_interval(struct health *h)
{
	uint64_t units = 0; /* probes in HEALTH_STANDBY_EACH intervals */
	uint64_t ms;

	h->probed_nr = 0;
	for (guint i = 0; i < h->judged->len; i++) {
		const struct judge *j = g_ptr_array_index(h->judged, i);

		if (j->unprobed)
			continue;
		h->probed_nr++;
		units += j->role == HEALTH_PRIMARY ? HEALTH_STANDBY_EACH : 1;
	}
	ms = units * 1000 / (HEALTH_STANDBY_EACH * HEALTH_PROBES_PER_S);
	h->interval = ms > HEALTH_PROBE_MS ? ms : HEALTH_PROBE_MS;
}

/* First probes come over one interval, not all at once. */
static void spread_first_probes(struct health *h, uint64_t now_ms)
{
	for (guint i = 0; i < h->judged->len; i++) {
		struct judge *j = g_ptr_array_index(h->judged, i);

		if (!j->next_probe)
			j->next_probe = now_ms + (uint64_t)g_rand_double_range(
							 h->rand, 1,
							 (double)h->interval);
	}
}

static gboolean is_unpublished(gpointer key, gpointer value, gpointer data)
{
	const struct health *h = data;

	(void)key;
	return !upstream_of(h, value);
}

/* Forgets upstreams that are no longer published. */
static void purge_judges(struct health *h)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(h->watched, 0);
	g_ptr_array_set_size(h->judged, 0);
	g_hash_table_foreach_remove(h->judges, is_unpublished, h);
	g_hash_table_iter_init(&it, h->judges);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct judge *j = value;

		j->watched = false;
		watch(h, j);
		if (j->role != HEALTH_PASSIVE)
			g_ptr_array_add(h->judged, j);
	}
}

static void assign_service(struct health *h, const struct service *sv,
			   uint64_t now_ms)
{
	for (size_t u = 0; u < sv->upstream_nr; u++)
		set_role(h, sv, &sv->upstreams[u], now_ms);
}

static bool same_service(const struct service *a, const struct service *b)
{
	return a == b || (a->id == b->id && a->digest == b->digest);
}

/* Of the services of the snapshot, those that BEFORE (or NULL) lacks. */
static void assign_services(struct health *h, const struct snapshot *before,
			    uint64_t now_ms)
{
	size_t old_nr = before ? snapshot_service_nr(before) : 0;
	size_t o = 0;

	for (size_t s = 0; s < snapshot_service_nr(h->snapshot); s++) {
		const struct service *sv = snapshot_service(h->snapshot, s);

		while (o < old_nr && snapshot_service(before, o)->id < sv->id)
			o++;
		if (o == old_nr ||
		    !same_service(snapshot_service(before, o), sv))
			assign_service(h, sv, now_ms);
	}
}

/* True if this instance still has the role towards J's upstream. */
static bool keeps_role(const struct health *h, const struct judge *j)
{
	const struct service *sv = service_of(h, j->service);
	const struct upstream *up = sv ? find_upstream(sv, j->upstream) : NULL;

	return up && is_probed_kind(sv, up) != j->unprobed &&
	       prober_role(h->probers, up) == j->role;
}

static void drop_lost_probes(struct health *h)
{
	GPtrArray *before = h->judged;

	h->judged = g_ptr_array_new();
	for (guint i = 0; i < before->len; i++) {
		struct judge *j = g_ptr_array_index(before, i);

		j->kept = keeps_role(h, j);
		if (j->kept)
			g_ptr_array_add(h->judged, j);
	}
	for (guint i = 0; i < before->len; i++) {
		struct judge *j = g_ptr_array_index(before, i);

		if (!j->kept)
			g_ptr_array_add(h->dropped, j);
	}
	g_ptr_array_free(before, TRUE);
}

/*
 * Finds again which upstreams this instance probes; only among the services
 * that changed if the MEMBERS are the same.
 */
static void assign_probes(struct health *h, bool members, uint64_t now_ms)
{
	if (now_ms >= h->purged_at + PURGE_MS) {
		purge_judges(h);
		h->purged_at = now_ms;
	}
	drop_lost_probes(h);
	assign_services(h, members ? NULL : h->assigned_of, now_ms);
	for (guint i = 0; i < h->dropped->len; i++) {
		struct judge *j = g_ptr_array_index(h->dropped, i);

		if (!j->kept)
			end_probing(j, now_ms);
	}
	g_ptr_array_set_size(h->dropped, 0);
	set_interval(h);
	spread_first_probes(h, now_ms);
	unref_snapshot(h->assigned_of);
	h->assigned_of = ref_snapshot(h->snapshot);
}

void set_health_snapshot(struct health *h, const struct snapshot *sn,
			 uint64_t now_ms)
{
	unref_snapshot(h->snapshot);
	h->snapshot = ref_snapshot(sn);
	h->members_at = now_ms;
}

static void look_at_members(struct health *h, uint64_t now_ms)
{
	bool fresh = h->assigned_of != h->snapshot;
	bool members = false;

	if (fresh || now_ms >= h->members_at + MEMBERS_MS) {
		members = update_probers(h->probers);
		h->members_at = now_ms;
	}
	if (fresh || members)
		assign_probes(h, members, now_ms);
}

static void note_reach(struct health *h, const char *domain, uint64_t now_ms)
{
	uint64_t *at = g_hash_table_lookup(h->reach, domain);

	if (!at) {
		at = g_new(uint64_t, 1);
		g_hash_table_insert(h->reach, g_strdup(domain), at);
	}
	*at = now_ms;
}

/* True if something in UP's domain answered after UP last failed. */
static bool domain_is_reached(const struct health *h, const struct upstream *up,
			      const struct judge *j)
{
	const uint64_t *at = g_hash_table_lookup(h->reach, up->domain);

	return at && *at > j->last_failure;
}

/* True if SV has more than its half down, PLUS further ones counted in. */
static bool in_panic(const struct health *h, const struct service *sv,
		     size_t plus)
{
	size_t down = plus;

	for (size_t i = 0; i < sv->upstream_nr; i++)
		down += upstream_state(h->view, &sv->upstreams[i]) ==
			UPSTREAM_DOWN;
	return down * PANIC_DIVISOR > sv->upstream_nr;
}

static bool may_publish(struct health *h, const struct service *sv,
			const struct upstream *up, const struct judge *j)
{
	if (j->state != UPSTREAM_DOWN)
		return true;
	if (domain_is_reached(h, up, j) && !in_panic(h, sv, 1))
		return true;
	count(h->counters, COUNT_HEALTH_DOWN_HELD);
	return false;
}

/* The fleet's own word on UP without what operators put over it. */
static bool differs_from_view(const struct health *h, const struct upstream *up,
			      const struct judge *j)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == UPSTREAM_OUT)
		return false;
	if (up->draining && j->state != UPSTREAM_DOWN && seen != UPSTREAM_DOWN)
		return false;
	return seen != j->state;
}

/*
 * When somebody else found UP worse than J does, J starts again from there:
 * two instances that both take themselves for the first prober must not
 * contradict each other in turns.
 */
static void heed_fleet(const struct health *h, struct judge *j,
		       const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == j->seen)
		return;
	j->seen = seen;
	if (seen != UPSTREAM_OUT && seen != UPSTREAM_DRAINING &&
	    seen != UPSTREAM_UNKNOWN && is_worse(seen, j->state))
		adopt_state(j, seen, now_ms);
}

/* True if J has a state that fleets share. */
static bool is_publishable(const struct judge *j)
{
	return j->state != UPSTREAM_UNKNOWN && j->state != UPSTREAM_OUT;
}

static bool is_pausing(uint64_t last, uint64_t pause_ms, uint64_t now_ms)
{
	return last && now_ms < last + pause_ms;
}

/* Stands for what the fleet says already, in place of one who died. */
static void restate(const struct health *h, struct judge *j,
		    const struct upstream *up, uint64_t now_ms,
		    struct health_actions *out)
{
	if (!is_own_domain(h->probers, up->domain) ||
	    is_pausing(j->stated_at, HEALTH_RESTATE_MS, now_ms))
		return;
	j->stated_at = now_ms;
	add_action(out, HEALTH_PUBLISH, j);
}

static void publish(struct health *h, struct judge *j, uint64_t now_ms,
		    struct health_actions *out)
{
	const struct service *sv = service_of(h, j->service);
	const struct upstream *up = sv ? find_upstream(sv, j->upstream) : NULL;

	if (!up || j->role != HEALTH_PRIMARY || !is_publishable(j) ||
	    is_pausing(j->published_at, HEALTH_PUBLISH_MS, now_ms) ||
	    !is_view_settled(h->view))
		return;
	if (judged_upstream_state(h->view, up->id) == j->state) {
		restate(h, j, up, now_ms, out);
		return;
	}
	if (!differs_from_view(h, up, j) || !may_publish(h, sv, up, j))
		return;
	count(h->counters, COUNT_HEALTH_PUBLISHED);
	j->published_at = now_ms;
	j->stated_at = now_ms;
	add_action(out, HEALTH_PUBLISH, j);
}

/* Applies what operators said about UP to the chart. */
static void apply_orders(struct health *h, struct judge *j,
			 const struct upstream *up, uint64_t now_ms)
{
	if (is_domain_out(h->view, up->domain))
		move_judge(j, h->chart, UPSTREAM_DOMAIN_OUT, now_ms);
	else if (j->state == UPSTREAM_OUT)
		move_judge(j, h->chart, UPSTREAM_DOMAIN_BACK, now_ms);
	if (up->draining)
		move_judge(j, h->chart, UPSTREAM_DRAIN, now_ms);
	else if (j->state == UPSTREAM_DRAINING && !j->reported_draining)
		move_judge(j, h->chart, UPSTREAM_DRAIN_OVER, now_ms);
}

static void report_change(struct health *h, const struct judge *j,
			  enum upstream_state before,
			  struct health_actions *out)
{
	if (j->state == before)
		return;
	count(h->counters, COUNT_HEALTH_CHANGED);
	if (before == UPSTREAM_WARM && j->state == UPSTREAM_COLD)
		count(h->counters, COUNT_HEALTH_SUDDEN_COLD);
	add_action(out, HEALTH_CHANGED, j);
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
	j->next_probe = now_ms + jitter(h, wait);
	j->probed_at = now_ms;
	j->in_flight = true;
	a = add_action(out, HEALTH_PROBE, j);
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
		const struct upstream *up = upstream_of(h, j);

		if (!up || j->unprobed || j->in_flight || !is_due(j, now_ms))
			continue;
		if (!is_domain_out(h->view, up->domain))
			send_probe(h, j, up, now_ms, out);
	}
}

static void tick_judge(struct health *h, struct judge *j, uint64_t now_ms,
		       struct health_actions *out)
{
	const struct upstream *up = upstream_of(h, j);
	enum upstream_state before = j->state;

	if (!up)
		return;
	if (j->role != HEALTH_PASSIVE) {
		heed_fleet(h, j, up, now_ms);
		apply_orders(h, j, up, now_ms);
	}
	judge_tick(j, h->chart, now_ms);
	report_change(h, j, before, out);
	publish(h, j, now_ms, out);
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
	look_at_members(h, now_ms);
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
	const struct service *sv = service_of(h, ev->service);
	const struct upstream *up = NULL;
	enum upstream_state before;
	struct judge *j;

	if (sv)
		up = find_upstream(sv, ev->upstream);
	if (!up)
		return;
	j = need_judge(h, sv, up, now_ms);
	before = j->state;
	if (ends_probe(ev->kind))
		j->in_flight = false;
	if (ev->kind == HEALTH_PROBE_FAILED)
		count(h->counters, COUNT_HEALTH_PROBE_FAILURES);
	if (is_success(ev->kind))
		note_reach(h, up->domain, now_ms);
	judge_event(j, h->chart, ev, now_ms);
	if (j->role != HEALTH_PASSIVE)
		apply_orders(h, j, up, now_ms);
	if (needs_watch(j))
		watch(h, j);
	report_change(h, j, before, out);
	publish(h, j, now_ms, out);
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
	const struct judge *j = find_judge(h, up->id);
	enum upstream_state own = j ? j->state : UPSTREAM_WARM;

	if (seen == UPSTREAM_OUT)
		return seen;
	if (seen == UPSTREAM_DOWN && own != UPSTREAM_DOWN &&
	    (has_own_success(j, now_ms) || in_panic(h, sv, 0)))
		seen = up->draining ? UPSTREAM_DRAINING : UPSTREAM_COLD;
	return own != UPSTREAM_OUT && is_worse(own, seen) ? own : seen;
}
