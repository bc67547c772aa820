#include "t/health-bed.h"

#include <glib.h>
#include <string.h>

#include "fleet/health-probers.h"

#define BED_START_MS 100000
#define BED_SEED 20261203
#define BED_SLOTS 12

static void name_thing(char *name, const char *kind, size_t d, size_t i)
{
	g_snprintf(name, CONFIG_NAME_MAX, "%s-%zu-%zu", kind, d, i);
}

static void name_domain(char *name, size_t d)
{
	g_snprintf(name, CONFIG_NAME_MAX, "domain-%zu", d);
}

static void add_members(struct health_bed *b, size_t domains, size_t instances)
{
	struct member m = { .state = MEMBER_ALIVE };

	for (size_t d = 0; d < domains; d++)
		for (size_t i = 0; i < instances; i++) {
			name_thing(m.name, "in", d, i);
			name_domain(m.domain, d);
			m.id = service_id(m.name);
			put_member(b->view, &m);
		}
}

static struct service *make_service(size_t domains, size_t upstreams)
{
	struct service *sv = create_service("permit-desk");
	struct upstream up = { .slots = BED_SLOTS,
			       .cold_slots = 1,
			       .connections = 2000,
			       .cold_connections = 100 };

	sv->kind = SERVICE_REQUESTS;
	for (size_t d = 0; d < domains; d++)
		for (size_t u = 0; u < upstreams; u++) {
			name_thing(up.name, "up", d, u);
			name_domain(up.domain, d);
			add_upstream(sv, &up);
		}
	seal_service(sv);
	return sv;
}

struct health_bed *create_health_bed(size_t domains, size_t instances,
				     size_t upstreams)
{
	struct health_bed *b = g_new0(struct health_bed, 1);
	struct service *sv = make_service(domains, upstreams);
	struct problems *ps = create_problems();

	b->view = create_view(service_id("in-0-0"));
	set_view_settled(b->view, true);
	add_members(b, domains, instances);
	b->chart = create_upstream_chart(ps);
	destroy_problems(ps);
	b->health = create_health(b->view, b->chart, BED_SEED, &b->counters);
	b->limits = create_limits(b->view, b->health);
	b->snapshot = create_snapshot(1, "bed", &sv, 1);
	unref_service(sv);
	b->now = BED_START_MS;
	b->upstream_nr = domains * upstreams;
	for (size_t u = 0; u < BED_TARGETS_MAX; u++) {
		b->target[u].start_id = 1;
		b->target[u].shortest_gap = UINT64_MAX;
	}
	set_health_snapshot(b->health, b->snapshot, b->now);
	return b;
}

void destroy_health_bed(struct health_bed *b)
{
	destroy_limits(b->limits);
	destroy_health(b->health);
	destroy_chart(b->chart);
	unref_snapshot(b->snapshot);
	destroy_view(b->view);
	g_free(b);
}

const struct upstream *bed_upstream(const struct health_bed *b, size_t u)
{
	return &snapshot_service(b->snapshot, 0)->upstreams[u];
}

static size_t find_target(const struct health_bed *b, uint64_t id)
{
	size_t u = 0;

	while (bed_upstream(b, u)->id != id)
		u++;
	return u;
}

static void put_event(struct health_bed *b, struct health_event *ev);

static void answer_probe(struct health_bed *b, const struct health_action *a)
{
	size_t u = find_target(b, a->upstream);
	struct bed_target *t = &b->target[u];
	struct health_event ev = { .upstream = a->upstream,
				   .report = t->report };

	t->probes++;
	if (strcmp(bed_upstream(b, u)->domain, "domain-0") != 0)
		b->probed_elsewhere++;
	if (t->dead)
		ev.kind = HEALTH_PROBE_FAILED;
	else
		ev.kind = a->ask_load ? HEALTH_LOAD : HEALTH_PROBE_OK;
	if (ev.kind == HEALTH_PROBE_OK)
		ev.start_id = t->start_id;
	ev.running = t->running;
	ev.slots = BED_SLOTS;
	put_event(b, &ev);
}

static void note_published(struct health_bed *b, const struct health_action *a)
{
	struct bed_target *t = &b->target[find_target(b, a->upstream)];

	if (judged_upstream_state(b->view, a->upstream) == a->state) {
		t->restated++;
		return;
	}
	if (t->published++ && b->now - t->published_at < t->shortest_gap)
		t->shortest_gap = b->now - t->published_at;
	t->published_at = b->now;
	set_upstream_state(b->view, a->upstream, a->state);
}

static void put_event(struct health_bed *b, struct health_event *ev)
{
	struct health_actions as = { 0 };

	ev->service = snapshot_service(b->snapshot, 0)->id;
	step_health(b->health, ev, b->now, &as);
	for (size_t i = 0; i < as.nr; i++) {
		if (as.at[i].kind == HEALTH_PROBE)
			answer_probe(b, &as.at[i]);
		else if (as.at[i].kind == HEALTH_PUBLISH)
			note_published(b, &as.at[i]);
	}
	release_health_actions(&as);
}

void run_bed(struct health_bed *b, uint64_t ms)
{
	for (uint64_t end = b->now + ms; b->now < end;) {
		struct health_event ev = { .kind = HEALTH_TICK };

		b->now += HEALTH_TICK_MS;
		put_event(b, &ev);
	}
}

void bed_observe(struct health_bed *b, size_t u, enum health_event_kind kind,
		 uint32_t latency_ms)
{
	struct health_event ev = { .kind = kind,
				   .upstream = bed_upstream(b, u)->id,
				   .latency_ms = latency_ms };

	put_event(b, &ev);
}

enum upstream_state bed_used(const struct health_bed *b, size_t u)
{
	return used_state(b->health, snapshot_service(b->snapshot, 0),
			  bed_upstream(b, u), b->now);
}

uint32_t bed_slots(struct health_bed *b, size_t u)
{
	return upstream_slots(b->limits, snapshot_service(b->snapshot, 0),
			      bed_upstream(b, u), b->now);
}

size_t bed_primary(struct health_bed *b, size_t n)
{
	struct probers *ps = create_probers(b->view);
	size_t u = 0;

	update_probers(ps);
	while (prober_role(ps, bed_upstream(b, u)) != HEALTH_PRIMARY || n--)
		u++;
	destroy_probers(ps);
	return u;
}

size_t bed_elsewhere(const struct health_bed *b)
{
	size_t u = 0;

	while (!strcmp(bed_upstream(b, u)->domain, "domain-0"))
		u++;
	return u;
}

void kill_bed_domain(struct health_bed *b, const char *domain)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(b->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct member m = ms[i];

		if (strcmp(m.domain, domain) != 0)
			continue;
		m.state = MEMBER_DEAD;
		put_member(b->view, &m);
	}
}
