#include "t/health-harness.h"

#include <glib.h>
#include <string.h>

#include "fleet/health-probers.h"

#define HARNESS_START_MS 100000
#define HARNESS_SEED 20261203
#define HARNESS_SLOTS 12

static void format_name(char *name, const char *kind, size_t d, size_t i)
{
	g_snprintf(name, CONFIG_NAME_MAX, "%s-%zu-%zu", kind, d, i);
}

static void format_domain(char *name, size_t d)
{
	g_snprintf(name, CONFIG_NAME_MAX, "domain-%zu", d);
}

static void add_members(struct health_harness *b, size_t domains,
			size_t instances)
{
	struct member m = { .state = MEMBER_ALIVE };

	for (size_t d = 0; d < domains; d++)
		for (size_t i = 0; i < instances; i++) {
			format_name(m.name, "in", d, i);
			format_domain(m.domain, d);
			m.id = service_id(m.name);
			set_view_member(b->view, &m);
		}
}

static struct service *make_service(size_t domains, size_t upstreams)
{
	struct service *sv = create_service("permit-desk");
	struct upstream up = { .slots = HARNESS_SLOTS,
			       .cold_slots = 1,
			       .connections = 2000,
			       .cold_connections = 100 };

	sv->kind = SERVICE_REQUESTS;
	for (size_t d = 0; d < domains; d++)
		for (size_t u = 0; u < upstreams; u++) {
			format_name(up.name, "up", d, u);
			format_domain(up.domain, d);
			add_upstream(sv, &up);
		}
	seal_service(sv);
	return sv;
}

struct health_harness *create_health_harness(size_t domains, size_t instances,
					     size_t upstreams)
{
	struct health_harness *b = g_new0(struct health_harness, 1);
	struct service *sv = make_service(domains, upstreams);
	struct problems *ps = create_problems();

	b->view = create_view(service_id("in-0-0"));
	set_view_settled(b->view, true);
	add_members(b, domains, instances);
	b->chart = create_upstream_chart(ps);
	destroy_problems(ps);
	b->health =
		create_health(b->view, b->chart, HARNESS_SEED, &b->counters);
	b->limits = create_limits(b->view, b->health);
	b->snapshot = create_snapshot(1, "harness", &sv, 1);
	unref_service(sv);
	b->now_ms = HARNESS_START_MS;
	b->upstream_nr = domains * upstreams;
	for (size_t u = 0; u < HARNESS_UPSTREAMS_MAX; u++) {
		b->upstreams[u].start_id = 1;
		b->upstreams[u].shortest_change_gap_ms = UINT64_MAX;
	}
	set_health_snapshot(b->health, b->snapshot, b->now_ms);
	return b;
}

void destroy_health_harness(struct health_harness *b)
{
	destroy_limits(b->limits);
	destroy_health(b->health);
	destroy_chart(b->chart);
	unref_snapshot(b->snapshot);
	destroy_view(b->view);
	g_free(b);
}

const struct upstream *nth_health_upstream(const struct health_harness *b,
					   size_t u)
{
	return &snapshot_service(b->snapshot, 0)->upstreams[u];
}

static size_t upstream_index(const struct health_harness *b, uint64_t id)
{
	size_t u = 0;

	while (nth_health_upstream(b, u)->id != id)
		u++;
	return u;
}

static void apply_health_event(struct health_harness *b,
			       struct health_event *ev);

static void answer_probe(struct health_harness *b,
			 const struct health_action *a)
{
	size_t u = upstream_index(b, a->upstream);
	struct simulated_upstream *t = &b->upstreams[u];
	struct health_event ev = { .upstream = a->upstream,
				   .report = t->report };

	t->probe_count++;
	if (strcmp(nth_health_upstream(b, u)->domain, "domain-0") != 0)
		b->remote_probe_count++;
	if (t->dead)
		ev.kind = HEALTH_PROBE_FAILED;
	else
		ev.kind = a->query_load ? HEALTH_LOAD : HEALTH_PROBE_OK;
	if (ev.kind == HEALTH_PROBE_OK)
		ev.start_id = t->start_id;
	ev.running = t->running;
	ev.slots = HARNESS_SLOTS;
	apply_health_event(b, &ev);
}

static void apply_publication(struct health_harness *b,
			      const struct health_action *a)
{
	struct simulated_upstream *t =
		&b->upstreams[upstream_index(b, a->upstream)];

	if (published_upstream_state(b->view, a->upstream) == a->state) {
		t->repeated_count++;
		return;
	}
	if (t->change_count++ &&
	    b->now_ms - t->changed_at_ms < t->shortest_change_gap_ms)
		t->shortest_change_gap_ms = b->now_ms - t->changed_at_ms;
	t->changed_at_ms = b->now_ms;
	set_upstream_state(b->view, a->upstream, a->state);
}

static void apply_health_event(struct health_harness *b,
			       struct health_event *ev)
{
	struct health_actions as = { 0 };

	ev->service = snapshot_service(b->snapshot, 0)->id;
	step_health(b->health, ev, b->now_ms, &as);
	for (size_t i = 0; i < as.nr; i++) {
		if (as.items[i].kind == HEALTH_PROBE)
			answer_probe(b, &as.items[i]);
		else if (as.items[i].kind == HEALTH_PUBLISH)
			apply_publication(b, &as.items[i]);
	}
	release_health_actions(&as);
}

void run_health(struct health_harness *b, uint64_t ms)
{
	for (uint64_t end = b->now_ms + ms; b->now_ms < end;) {
		struct health_event ev = { .kind = HEALTH_TICK };

		b->now_ms += HEALTH_TICK_MS;
		apply_health_event(b, &ev);
	}
}

void observe_request(struct health_harness *b, size_t u,
		     enum health_event_kind kind, uint32_t latency_ms)
{
	struct health_event ev = { .kind = kind,
				   .upstream = nth_health_upstream(b, u)->id,
				   .latency_ms = latency_ms };

	apply_health_event(b, &ev);
}

enum upstream_state effective_state(const struct health_harness *b, size_t u)
{
	return effective_upstream_state(b->health,
					snapshot_service(b->snapshot, 0),
					nth_health_upstream(b, u), b->now_ms);
}

uint32_t effective_slots(struct health_harness *b, size_t u)
{
	return upstream_slots(b->limits, snapshot_service(b->snapshot, 0),
			      nth_health_upstream(b, u), b->now_ms);
}

size_t nth_primary_upstream(struct health_harness *b, size_t n)
{
	struct probers *ps = create_probers(b->view);
	size_t u = 0;

	update_probers(ps);
	while (prober_role(ps, nth_health_upstream(b, u)) != HEALTH_PRIMARY ||
	       n--)
		u++;
	destroy_probers(ps);
	return u;
}

size_t find_remote_upstream(const struct health_harness *b)
{
	size_t u = 0;

	while (!strcmp(nth_health_upstream(b, u)->domain, "domain-0"))
		u++;
	return u;
}

void kill_domain_members(struct health_harness *b, const char *domain)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(b->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct member m = ms[i];

		if (strcmp(m.domain, domain) != 0)
			continue;
		m.state = MEMBER_DEAD;
		set_view_member(b->view, &m);
	}
}
