/*
 * Measures for docs/CAPACITY.md: bytes, memory and CPU time per instance, at
 * three sizes up to the target. Each row is one measure at one size; all inputs
 * are generated from fixed seeds.
 *
 * Other benchmarks measure steering (bench-flows), messages of the fleet
 * (bench-fleet), requests (bench-requests) and publishing (bench-config).
 */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "config/delta.h"
#include "fleet/limits.h"
#include "t/edge-harness.h"

#define TARGET_MEMBERS 5300
#define TARGET_SERVICES 18000
#define TARGET_UPSTREAMS 41000
#define TARGET_DOMAINS 7
#define SEED 20261203
#define DAY_S 86400.0
#define CHANGES_PER_DAY 16000
/* 7,600 planned restarts and 78 failures, each a departure and a join. */
#define MEMBER_EVENTS_PER_DAY (2 * (7600 + 78))

struct sizes {
	size_t members;
	size_t services;
	size_t upstreams;
};

static const struct sizes all_sizes[] = {
	{ 9, 16, 36 },
	{ 729, 2400, 5600 },
	{ TARGET_MEMBERS, TARGET_SERVICES, TARGET_UPSTREAMS },
};

#define SIZE_NR (sizeof(all_sizes) / sizeof(all_sizes[0]))

static double cpu_time_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks + mallinfo2().hblkhd;
}

static void print_row(const char *measure, const struct sizes *s, double value,
		      const char *unit)
{
	printf("| %-44s | %4zu/%5zu/%5zu | %12.2f | %-10s |\n", measure,
	       s->members, s->services, s->upstreams, value, unit);
}

static void write_domain_name(char *name, size_t i)
{
	snprintf(name, CONFIG_NAME_MAX, "region-%zu-domain-%zu",
		 i % TARGET_DOMAINS / 3, i % TARGET_DOMAINS);
}

static struct endpoint make_endpoint(uint32_t n, uint16_t port)
{
	struct endpoint ep = { .family = 4, .port = port };

	ep.ip[0] = 10;
	ep.ip[1] = (uint8_t)(n >> 16);
	ep.ip[2] = (uint8_t)(n >> 8);
	ep.ip[3] = (uint8_t)n;
	return ep;
}

static struct service *make_service(size_t s, const struct sizes *size)
{
	char name[CONFIG_NAME_MAX];
	struct service *sv;

	snprintf(name, sizeof(name), "permit-desk-%zu", s);
	sv = create_service(name);
	sv->kind = s % 2 ? SERVICE_FLOWS : SERVICE_REQUESTS;
	sv->address = make_endpoint((uint32_t)s, 443);
	for (size_t u = s; u < size->upstreams; u += size->services) {
		struct upstream up = { .slots = 3,
				       .cold_slots = 1,
				       .connections = 2000,
				       .cold_connections = 100 };

		snprintf(up.name, sizeof(up.name), "target-%zu", u);
		write_domain_name(up.domain, u);
		up.address = make_endpoint((uint32_t)u, 8080);
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

/* A snapshot in which the first CHANGED services have a draining upstream. */
static struct snapshot *make_snapshot(const struct sizes *size, uint64_t epoch,
				      size_t changed)
{
	struct service **list = g_new(struct service *, size->services);
	struct snapshot *sn;

	for (size_t s = 0; s < size->services; s++) {
		list[s] = make_service(s, size);
		if (s < changed)
			list[s]->upstreams[0].draining = true;
		seal_service(list[s]);
	}
	sn = create_snapshot(epoch, "bench", list, size->services);
	for (size_t s = 0; s < size->services; s++)
		unref_service(list[s]);
	g_free(list);
	return sn;
}

static struct view *make_view(const struct sizes *size)
{
	struct view *v = NULL;
	struct member m = { .state = MEMBER_ALIVE };

	for (size_t i = 0; i < size->members; i++) {
		snprintf(m.name, sizeof(m.name), "instance-%zu", i);
		write_domain_name(m.domain, i);
		m.id = service_id(m.name);
		m.address = make_endpoint((uint32_t)i, 0);
		if (!v) {
			v = create_view(m.id);
			set_view_settled(v, true);
		}
		set_view_member(v, &m);
	}
	return v;
}

static void measure_delta(const struct sizes *size, const struct snapshot *sn)
{
	struct snapshot *next = make_snapshot(size, 2, 1);
	struct delta *d = create_delta(sn, next);
	struct snapshot *applied;
	struct wire_writer w;
	double start;
	double spent;

	init_wire_writer(&w);
	encode_delta(&w, d);
	print_row("delta of one service", size, (double)w.buf.size, "B");
	release_wire_writer(&w);
	start = cpu_time_us();
	applied = apply_delta(sn, d);
	spent = cpu_time_us() - start;
	print_row("apply a delta of one service", size, spent / 1000, "ms");
	print_row("the same, 16,000 a day", size,
		  spent * CHANGES_PER_DAY / DAY_S / 1e4, "% of core");
	unref_snapshot(applied);
	destroy_delta(d);
	unref_snapshot(next);
}

static void measure_snapshot(const struct sizes *size)
{
	size_t before = heap_bytes();
	struct snapshot *sn = make_snapshot(size, 1, 0);
	size_t snapshot_bytes = heap_bytes() - before;
	struct snapshot *decoded;
	struct wire_writer w;
	double start = cpu_time_us();
	double encode_us;

	init_wire_writer(&w);
	encode_snapshot(&w, sn);
	encode_us = cpu_time_us() - start;
	start = cpu_time_us();
	decoded = decode_snapshot(w.buf.data, w.buf.size, NULL);
	print_row("snapshot held", size, (double)snapshot_bytes / 1e6, "MB");
	print_row("snapshot encoded", size, (double)w.buf.size, "B");
	print_row("encode a snapshot", size, encode_us / 1000, "ms");
	print_row("decode a snapshot", size, (cpu_time_us() - start) / 1000,
		  "ms");
	release_wire_writer(&w);
	measure_delta(size, sn);
	unref_snapshot(decoded);
	unref_snapshot(sn);
}

static void measure_view(const struct sizes *size, const struct snapshot *sn)
{
	size_t before = heap_bytes();
	struct view *v = make_view(size);
	size_t members = heap_bytes() - before;
	double start;
	size_t nr = 0;

	for (size_t s = 0; s < size->services; s++) {
		const struct service *sv = snapshot_service(sn, s);

		for (size_t u = 0; u < sv->upstream_nr; u++)
			set_upstream_state(v, sv->upstreams[u].id,
					   UPSTREAM_WARM);
	}
	print_row("view: one member", size,
		  (double)members / (double)size->members, "B");
	print_row("view: one upstream's state", size,
		  (double)(heap_bytes() - before - members) /
			  (double)size->upstreams,
		  "B");
	start = cpu_time_us();
	for (size_t s = 0; s < size->services; s++) {
		const struct service *sv = snapshot_service(sn, s);

		for (size_t u = 0; u < sv->upstream_nr; u++)
			nr += upstream_state(v, &sv->upstreams[u]) ==
			      UPSTREAM_WARM;
	}
	print_row("view: look an upstream's state up", size,
		  (cpu_time_us() - start) * 1000 / (double)nr, "ns");
	destroy_view(v);
}

/* Runs a tick and reports its probes as answered; returns their number. */
static size_t answer_probes(struct health *h, uint64_t now_ms)
{
	struct health_event tick = { .kind = HEALTH_TICK };
	struct health_actions as = { 0 };
	struct health_actions none = { 0 };
	size_t probes = 0;

	step_health(h, &tick, now_ms, &as);
	for (size_t i = 0; i < as.nr; i++) {
		struct health_event ev = { .kind = HEALTH_PROBE_OK,
					   .service = as.items[i].service,
					   .upstream = as.items[i].upstream,
					   .start_id = 1 };

		if (as.items[i].kind != HEALTH_PROBE)
			continue;
		probes++;
		step_health(h, &ev, now_ms, &none);
	}
	release_health_actions(&as);
	release_health_actions(&none);
	return probes;
}

/* Measures one minute of ticks and answered probes. */
static void measure_probing(const struct sizes *size, struct health *h,
			    uint64_t now_ms)
{
	double start = cpu_time_us();
	size_t probes = 0;

	for (uint64_t t = 0; t < 60000; t += HEALTH_TICK_MS)
		probes += answer_probes(h, now_ms + t);
	print_row("health: upstreams probed by one instance", size,
		  (double)probed_upstream_count(h), "upstreams");
	print_row("health: time between two probes of one", size,
		  (double)probe_interval_ms(h), "ms");
	print_row("health: probes sent by one instance", size,
		  (double)probes / 60, "/s");
	print_row("health: deciding about probes, each minute", size,
		  (cpu_time_us() - start) / 60e6 * 100, "% of core");
}

static void observe_all(struct health *h, const struct snapshot *sn,
			enum health_event_kind kind)
{
	struct health_actions as = { 0 };

	for (size_t s = 0; s < snapshot_service_count(sn); s++) {
		const struct service *sv = snapshot_service(sn, s);

		for (size_t u = 0; u < sv->upstream_nr; u++) {
			struct health_event ev = { .kind = kind,
						   .service = sv->id,
						   .upstream =
							   sv->upstreams[u].id,
						   .latency_ms = 10 };

			step_health(h, &ev, 200000, &as);
		}
	}
	release_health_actions(&as);
}

static void measure_observing(const struct sizes *size, struct health *h,
			      const struct snapshot *sn)
{
	size_t before = heap_bytes();
	double start;

	observe_all(h, sn, HEALTH_ANSWERED);
	print_row("health: one upstream that was used", size,
		  (double)(heap_bytes() - before) / (double)size->upstreams,
		  "B");
	start = cpu_time_us();
	observe_all(h, sn, HEALTH_ANSWERED);
	print_row("health: take one answered request", size,
		  (cpu_time_us() - start) * 1000 / (double)size->upstreams,
		  "ns");
	start = cpu_time_us();
	answer_probes(h, 200200);
	print_row("health: a tick when all were used", size,
		  cpu_time_us() - start, "us");
}

/* A copy of SN with one service changed, made by a delta. */
static struct snapshot *change_one_service(const struct sizes *size,
					   const struct snapshot *sn)
{
	struct snapshot *next = make_snapshot(size, 2, 1);
	struct delta *d = create_delta(sn, next);
	struct snapshot *applied = apply_delta(sn, d);

	destroy_delta(d);
	unref_snapshot(next);
	return applied;
}

static void measure_reassigning(const struct sizes *size, struct health *h,
				struct view *v, struct snapshot *sn)
{
	struct snapshot *next = change_one_service(size, sn);
	struct member dead;
	size_t nr;
	double start;
	double spent;

	dead = view_members(v, &nr)[nr / 2];
	dead.state = MEMBER_DEAD;
	set_view_member(v, &dead);
	start = cpu_time_us();
	answer_probes(h, 400000);
	spent = cpu_time_us() - start;
	print_row("health: after one member changed", size, spent, "us");
	print_row("health: the same, 15,356 a day", size,
		  spent * MEMBER_EVENTS_PER_DAY / DAY_S / 1e4, "% of core");
	set_health_snapshot(h, next, 402000);
	unref_snapshot(next);
	start = cpu_time_us();
	answer_probes(h, 402000);
	spent = cpu_time_us() - start;
	print_row("health: after a new epoch", size, spent, "us");
	print_row("health: the same, 16,000 a day", size,
		  spent * CHANGES_PER_DAY / DAY_S / 1e4, "% of core");
}

static void measure_health(const struct sizes *size, struct snapshot *sn)
{
	struct problems *ps = create_problems();
	struct chart *ch = create_upstream_chart(ps);
	struct counters counters = { 0 };
	struct view *v = make_view(size);
	struct health *h = create_health(v, ch, SEED, &counters);

	set_health_snapshot(h, sn, 100000);
	measure_probing(size, h, 100000);
	measure_observing(size, h, sn);
	measure_reassigning(size, h, v, sn);
	destroy_health(h);
	destroy_view(v);
	destroy_chart(ch);
	destroy_problems(ps);
}

static void measure_limits(const struct sizes *size, const struct snapshot *sn)
{
	struct view *v = make_view(size);
	struct limits *ls = create_limits(v, NULL);
	size_t before = heap_bytes();
	double start = cpu_time_us();
	uint64_t sum = 0;

	for (size_t s = 0; s < size->services; s++) {
		const struct service *sv = snapshot_service(sn, s);

		for (size_t u = 0; u < sv->upstream_nr; u++)
			sum += upstream_slots(ls, sv, &sv->upstreams[u], 1000);
	}
	print_row("limits: first look at a cold upstream", size,
		  (cpu_time_us() - start) * 1000 / (double)size->upstreams,
		  "ns");
	print_row("limits: one upstream that is not warm", size,
		  (double)(heap_bytes() - before) / (double)size->upstreams,
		  "B");
	if (sum < size->upstreams)
		puts("limits: too few slots");
	destroy_limits(ls);
	destroy_view(v);
}

/* Entries in the store that were read before their service was configured. */
static void measure_new_service(const struct sizes *size)
{
	struct edge_instance ei;
	char text[512];
	char name[32];
	double start;

	init_edge_instance(&ei);
	for (size_t i = 0; i < size->upstreams; i++) {
		snprintf(name, sizeof(name), "i-%zx", i + 1);
		snprintf(text, sizeof(text),
			 TEST_ENTRY("desk", "10.%zu.%zu.%zu:9000", "north",
				    "1000", "1"),
			 i >> 16, i >> 8 & 255, i & 255);
		write_entry(&ei, name, text);
	}
	start = cpu_time_us();
	write_configuration(&ei, 2, 8443, "desk");
	print_row("apply a configuration that adds a service", size,
		  (cpu_time_us() - start) / 1000, "ms");
	start = cpu_time_us();
	write_configuration(&ei, 3, 8443, "desk");
	print_row("apply a configuration that adds none", size,
		  (cpu_time_us() - start) / 1000, "ms");
	release_edge_instance(&ei);
}

int main(void)
{
	printf("seed %d; sizes are members/services/upstreams\n", SEED);
	printf("| %-44s | %-16s | %12s | %-10s |\n", "what", "size", "value",
	       "unit");
	printf("| --- | --- | ---: | --- |\n");
	for (size_t i = 0; i < SIZE_NR; i++) {
		struct snapshot *sn = make_snapshot(&all_sizes[i], 1, 0);

		measure_snapshot(&all_sizes[i]);
		measure_view(&all_sizes[i], sn);
		measure_health(&all_sizes[i], sn);
		measure_limits(&all_sizes[i], sn);
		measure_new_service(&all_sizes[i]);
		unref_snapshot(sn);
	}
	return 0;
}
