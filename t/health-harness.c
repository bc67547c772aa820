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

static void add_members(struct health_harness *hh, size_t domains,
			size_t instances)
{
	struct member m = { .state = MEMBER_ALIVE };

	for (size_t d = 0; d < domains; d++)
		for (size_t i = 0; i < instances; i++) {
			format_name(m.name, "in", d, i);
			format_domain(m.domain, d);
			m.id = service_id(m.name);
			set_view_member(hh->view, &m);
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
	struct health_harness *hh = g_new0(struct health_harness, 1);
	struct service *sv = make_service(domains, upstreams);
	struct problems *ps = create_problems();

	hh->view = create_view(service_id("in-0-0"));
	set_view_settled(hh->view, true);
	add_members(hh, domains, instances);
	hh->chart = create_upstream_chart(ps);
	destroy_problems(ps);
	hh->health =
		create_health(hh->view, hh->chart, HARNESS_SEED, &hh->counters);
	hh->limits = create_limits(hh->view, hh->health);
	hh->snapshot = create_snapshot(1, "harness", &sv, 1);
	unref_service(sv);
	hh->now_ms = HARNESS_START_MS;
	hh->upstream_nr = domains * upstreams;
	for (size_t u = 0; u < HARNESS_UPSTREAMS_MAX; u++) {
		hh->upstreams[u].start_id = 1;
		hh->upstreams[u].shortest_change_gap_ms = UINT64_MAX;
	}
	set_health_snapshot(hh->health, hh->snapshot, hh->now_ms);
	return hh;
}

void destroy_health_harness(struct health_harness *hh)
{
	destroy_limits(hh->limits);
	destroy_health(hh->health);
	destroy_chart(hh->chart);
	unref_snapshot(hh->snapshot);
	destroy_view(hh->view);
	g_free(hh);
}

const struct upstream *nth_health_upstream(const struct health_harness *hh,
					   size_t u)
{
	return &snapshot_service(hh->snapshot, 0)->upstreams[u];
}

static size_t upstream_index(const struct health_harness *hh, uint64_t id)
{
	size_t u = 0;

	while (nth_health_upstream(hh, u)->id != id)
		u++;
	return u;
}

static void apply_health_event(struct health_harness *hh,
			       struct health_event *ev);

static void answer_probe(struct health_harness *hh,
			 const struct health_action *a)
{
	size_t u = upstream_index(hh, a->upstream);
	struct simulated_upstream *t = &hh->upstreams[u];
	struct health_event ev = { .upstream = a->upstream,
				   .report = t->report };

	t->probe_count++;
	if (strcmp(nth_health_upstream(hh, u)->domain, "domain-0") != 0)
		hh->remote_probe_count++;
	if (t->dead)
		ev.kind = HEALTH_PROBE_FAILED;
	else
		ev.kind = a->query_load ? HEALTH_LOAD : HEALTH_PROBE_OK;
	if (ev.kind == HEALTH_PROBE_OK)
		ev.start_id = t->start_id;
	ev.running = t->running;
	ev.slots = HARNESS_SLOTS;
	apply_health_event(hh, &ev);
}

static void apply_publication(struct health_harness *hh,
			      const struct health_action *a)
{
	struct simulated_upstream *t =
		&hh->upstreams[upstream_index(hh, a->upstream)];

	if (published_upstream_state(hh->view, a->upstream) == a->state) {
		t->repeated_count++;
		return;
	}
	if (t->change_count++ &&
	    hh->now_ms - t->changed_at_ms < t->shortest_change_gap_ms)
		t->shortest_change_gap_ms = hh->now_ms - t->changed_at_ms;
	t->changed_at_ms = hh->now_ms;
	set_upstream_state(hh->view, a->upstream, a->state);
}

static void apply_health_event(struct health_harness *hh,
			       struct health_event *ev)
{
	struct health_actions as = { 0 };

	ev->service = snapshot_service(hh->snapshot, 0)->id;
	step_health(hh->health, ev, hh->now_ms, &as);
	for (size_t i = 0; i < as.nr; i++) {
		if (as.items[i].kind == HEALTH_PROBE)
			answer_probe(hh, &as.items[i]);
		else if (as.items[i].kind == HEALTH_PUBLISH)
			apply_publication(hh, &as.items[i]);
	}
	release_health_actions(&as);
}

void run_health(struct health_harness *hh, uint64_t ms)
{
	for (uint64_t end = hh->now_ms + ms; hh->now_ms < end;) {
		struct health_event ev = { .kind = HEALTH_TICK };

		hh->now_ms += HEALTH_TICK_MS;
		apply_health_event(hh, &ev);
	}
}

void observe_request(struct health_harness *hh, size_t u,
		     enum health_event_kind kind, uint32_t latency_ms)
{
	struct health_event ev = { .kind = kind,
				   .upstream = nth_health_upstream(hh, u)->id,
				   .latency_ms = latency_ms };

	apply_health_event(hh, &ev);
}

enum upstream_state effective_state(const struct health_harness *hh, size_t u)
{
	return effective_upstream_state(hh->health,
					snapshot_service(hh->snapshot, 0),
					nth_health_upstream(hh, u), hh->now_ms);
}

uint32_t effective_slots(struct health_harness *hh, size_t u)
{
	return upstream_slots(hh->limits, snapshot_service(hh->snapshot, 0),
			      nth_health_upstream(hh, u), hh->now_ms);
}

size_t nth_primary_upstream(struct health_harness *hh, size_t n)
{
	struct probers *ps = create_probers(hh->view);
	size_t u = 0;

	update_probers(ps);
	while (prober_role(ps, nth_health_upstream(hh, u)) != HEALTH_PRIMARY ||
	       n--)
		u++;
	destroy_probers(ps);
	return u;
}

size_t find_remote_upstream(const struct health_harness *hh)
{
	size_t u = 0;

	while (!strcmp(nth_health_upstream(hh, u)->domain, "domain-0"))
		u++;
	return u;
}

void kill_domain_members(struct health_harness *hh, const char *domain)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(hh->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct member m = ms[i];

		if (strcmp(m.domain, domain) != 0)
			continue;
		m.state = MEMBER_DEAD;
		set_view_member(hh->view, &m);
	}
}
