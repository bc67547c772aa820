/*
 * Measures messages, bytes, processor time and memory of the fleet module of
 * one instance. The messages of its peers are generated at the rates of fleets
 * of 81, 729 and 5,300 instances.
 */

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "fleet/internal.h"
#include "t/benchmark.h"
#include "t/fleet-simulation.h"

#define DOMAIN_NR 7
#define RUN_S 300 /* simulated seconds of each row */
#define DAY_S 86400.0
#define TARGET_NR 5300 /* instances at target size */
#define TARGET_SERVICES 18000
#define TARGET_CHANGES 16000.0 /* of configuration, per day */
#define TARGET_RESTARTS 7678.0 /* of instances, failures included, per day */
#define RESTART_RECORDS 4      /* leaving, dead, alive, refuted alive */
#define UPSTREAM_CHANGES 4.0   /* of each upstream's state, per day */
#define WIRE_OVERHEAD 82 /* bytes: IP, TCP, ZMTP, and the acknowledgement */
#define SEED 20261203
#define PUSH_LINKS (FLEET_LOCAL_PUSH_RINGS + FLEET_CROSS_PUSH_RINGS)

struct load {
	size_t nr;	   /* instances */
	bool all_links;	   /* every link carries all records */
	size_t service_nr; /* each of two upstreams */
	double changes;	   /* of configuration, per day */
	double restarts;   /* per day */
	double upstreams;  /* changes of upstream states, per day */
};

struct cost {
	uint64_t out; /* messages sent */
	uint64_t out_bytes;
	uint64_t in; /* messages received */
	uint64_t in_bytes;
	double cpu_s;
};

struct bench {
	struct load load;
	struct fleet *fleet;
	struct view *view;
	struct counters counters;
	struct fleet_actions out;
	struct member *members;
	struct snapshot *snapshot;
	uint64_t now_ms;
	uint64_t epoch;
	uint64_t version;
	struct cost cost;
	GRand *rand;
	GArray *pings; /* not used */
	uint32_t sequences[4096];
};

/* Passes EV to the fleet module and adds up its processor time. */
static void step(struct bench *b, const struct fleet_event *ev)
{
	double start = cpu_seconds();

	step_fleet(b->fleet, ev, b->now_ms, &b->out);
	b->cost.cpu_s += cpu_seconds() - start;
}

static void begin_from(struct wire_writer *w, const struct member *m,
		       enum fleet_message_type type, size_t field_nr)
{
	struct endpoint at = member_endpoint(m);

	init_wire_writer(w);
	write_array(w, 3 + field_nr);
	write_uint(w, type);
	write_uint(w, m->id);
	write_endpoint(w, &at);
}

static void deliver(struct bench *b, struct wire_writer *w)
{
	struct fleet_event ev = { .kind = FLEET_MESSAGE,
				  .message = { w->buf.data, w->buf.size } };

	b->cost.in++;
	b->cost.in_bytes += w->buf.size;
	step(b, &ev);
	release_wire_writer(w);
}

static const struct member *member_at(const struct bench *b,
				      const struct endpoint *ep)
{
	return &b->members[(size_t)ep->ip[2] << 8 | ep->ip[3]];
}

static void answer_ping(struct bench *b, const struct fleet_action *a)
{
	const struct member *m = member_at(b, &a->to);
	struct wire_message msg;
	struct wire_writer w;
	struct wire_reader r;
	struct endpoint at;
	uint64_t sequence;

	if (!open_wire_message(&msg, &r, a->data, a->len) ||
	    read_uint(&r, UINT64_MAX) != FLEET_PING) {
		release_wire_message(&msg);
		return;
	}
	read_uint(&r, UINT64_MAX);
	read_endpoint(&r, &at);
	sequence = read_uint(&r, UINT32_MAX);
	release_wire_message(&msg);
	begin_from(&w, m, FLEET_ACK, 2 + SUMMARY_FIELD_NR);
	write_uint(&w, sequence);
	write_uint(&w, m->id);
	write_summary(&w, b->fleet);
	deliver(b, &w);
}

static void answer_actions(struct bench *b)
{
	struct fleet_actions as = b->out;

	memset(&b->out, 0, sizeof(b->out));
	for (size_t i = 0; i < as.nr; i++) {
		if (as.items[i].kind != FLEET_SEND)
			continue;
		b->cost.out++;
		b->cost.out_bytes += as.items[i].len;
		answer_ping(b, &as.items[i]);
	}
	release_fleet_actions(&as);
	if (b->out.nr)
		answer_actions(b);
}

/* The I-th of the members that have a link to the instance under test. */
static const struct member *linked_member(const struct bench *b, size_t i)
{
	return &b->members[1 + (i * 37 + 5) % (b->load.nr - 1)];
}

static void ping_from(struct bench *b, size_t i)
{
	struct wire_writer w;

	begin_from(&w, linked_member(b, i), FLEET_PING, 1 + SUMMARY_FIELD_NR);
	write_uint(&w, b->now_ms);
	write_summary(&w, b->fleet);
	deliver(b, &w);
}

/* Increments the heartbeats of the other domains, as their members would. */
static void advance_domain_heartbeats(struct bench *b)
{
	for (size_t i = 1; i < domain_heartbeat_count(b->fleet->heartbeats);
	     i++)
		update_domain_heartbeat(
			b->fleet->heartbeats,
			heartbeat_domain_hash(b->fleet->heartbeats, i),
			domain_heartbeat_value(b->fleet->heartbeats, i) + 1,
			b->now_ms);
}

static void push_record(struct bench *b, size_t from, enum fleet_set set,
			uint64_t key, uint64_t version, const void *body,
			size_t len)
{
	struct wire_writer w;

	begin_from(&w, linked_member(b, from), FLEET_RECORDS, 2);
	write_bool(&w, true);
	write_array(&w, 1);
	write_array(&w, 4);
	write_uint(&w, set);
	write_uint(&w, key);
	write_uint(&w, version);
	write_bin(&w, body, len);
	deliver(b, &w);
}

/* Delivers a record once from each link that carries it. */
static void push_from_all(struct bench *b, enum fleet_set set, uint64_t key,
			  uint64_t version, const struct wire_writer *body)
{
	for (size_t i = 0;
	     i < (b->load.all_links ? FLEET_LINK_MAX : PUSH_LINKS); i++)
		push_record(b, i, set, key, version, body->buf.data,
			    body->buf.size);
}

static void write_member_body(struct wire_writer *w, const struct member *m)
{
	init_wire_writer(w);
	write_array(w, 6);
	write_str(w, m->name);
	write_str(w, m->domain);
	write_endpoint(w, &m->address);
	write_uint(w, m->peer_port);
	write_uint(w, m->flow_port);
	write_uint(w, m->admin_port);
}

static void change_member(struct bench *b)
{
	size_t i = (size_t)g_rand_int_range(b->rand, 1, (gint32)b->load.nr);
	struct member *m = &b->members[i];
	struct wire_writer body;

	write_member_body(&body, m);
	m->incarnation++;
	push_from_all(b, SET_MEMBERS, m->id,
		      (uint64_t)m->incarnation << 34 | (uint64_t)m->start_number
							       << 2,
		      &body);
	release_wire_writer(&body);
}

static void write_published_state(struct wire_writer *w,
				  enum upstream_state state, uint64_t publisher)
{
	init_wire_writer(w);
	write_array(w, 2);
	write_uint(w, state);
	write_uint(w, publisher);
}

static const struct upstream *random_upstream(const struct bench *b)
{
	size_t s = (size_t)g_rand_int_range(b->rand, 0,
					    (gint32)b->load.service_nr);
	const struct service *sv = snapshot_service(b->snapshot, s);

	return &sv->upstreams[g_rand_int_range(b->rand, 0, 2)];
}

static void change_upstream(struct bench *b)
{
	struct wire_writer body;

	write_published_state(&body,
			      (enum upstream_state)g_rand_int_range(
				      b->rand, UPSTREAM_COLD, UPSTREAM_DOWN),
			      linked_member(b, 3)->id);
	push_from_all(b, SET_UPSTREAMS, random_upstream(b)->id,
		      ++b->version << 24, &body);
	release_wire_writer(&body);
}

/* The snapshot of the next epoch, in which one service has another deadline. */
static struct snapshot *next_snapshot(struct bench *b)
{
	size_t nr = snapshot_service_count(b->snapshot);
	struct service **list = g_new0(struct service *, nr);
	size_t changed = (size_t)g_rand_int_range(b->rand, 0, (gint32)nr);
	struct wire_writer w;
	struct wire_message msg;
	struct wire_reader r;
	struct snapshot *sn;

	for (size_t i = 0; i < nr; i++)
		list[i] = (struct service *)snapshot_service(b->snapshot, i);
	init_wire_writer(&w);
	write_array(&w, 1);
	encode_service(&w, list[changed]);
	open_wire_message(&msg, &r, w.buf.data, w.buf.size);
	list[changed] = decode_service(&r);
	release_wire_message(&msg);
	release_wire_writer(&w);
	list[changed]->deadline_ms = (uint32_t)(1000 + ++b->epoch);
	seal_service(list[changed]);
	sn = create_snapshot(b->epoch, "publish", list, nr);
	unref_service(list[changed]);
	g_free(list);
	return sn;
}

static void change_config(struct bench *b)
{
	struct snapshot *next = next_snapshot(b);
	struct delta *d = create_delta(b->snapshot, next);

	for (size_t i = 0; i < FLEET_LINK_MAX; i++) {
		struct wire_writer w;

		begin_from(&w, linked_member(b, i), FLEET_DELTAS, 1);
		write_array(&w, 1);
		encode_delta(&w, d);
		deliver(b, &w);
	}
	destroy_delta(d);
	unref_snapshot(b->snapshot);
	b->snapshot = next;
}

/* True at random in a step of STEP_MS, RATE times per day on average. */
static bool happens_at_rate(struct bench *b, double rate, uint64_t step_ms)
{
	double p = rate / DAY_S * (double)step_ms / 1000;

	return g_rand_double(b->rand) < p;
}

static void run_step(struct bench *b, uint64_t step_ms)
{
	struct fleet_event tick = { .kind = FLEET_TICK };

	b->now_ms += step_ms;
	advance_domain_heartbeats(b);
	for (size_t i = 0; b->load.all_links && i < b->fleet->link_nr; i++)
		b->fleet->links[i].carries_all_records = true;
	step(b, &tick);
	if (b->now_ms / step_ms % 2 == 0)
		ping_from(b, b->now_ms / step_ms / 2 % FLEET_LINK_MAX);
	if (happens_at_rate(b, b->load.restarts * RESTART_RECORDS, step_ms))
		change_member(b);
	if (happens_at_rate(b, b->load.changes, step_ms))
		change_config(b);
	if (happens_at_rate(b, b->load.upstreams, step_ms))
		change_upstream(b);
	answer_actions(b);
}

/* Fills the instance with all members, services and upstream states. */
static void fill_instance(struct bench *b)
{
	struct wire_writer body;
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT };

	b->snapshot = make_snapshot(++b->epoch, b->load.service_nr);
	ev.snapshot = b->snapshot;
	step(b, &ev);
	for (size_t i = 1; i < b->load.nr; i++) {
		write_member_body(&body, &b->members[i]);
		push_record(b, 0, SET_MEMBERS, b->members[i].id,
			    (uint64_t)1 << 34 |
				    (uint64_t)b->members[i].start_number << 2,
			    body.buf.data, body.buf.size);
		release_wire_writer(&body);
		release_fleet_actions(&b->out);
	}
	write_published_state(&body, UPSTREAM_WARM, b->members[1].id);
	for (size_t s = 0; s < b->load.service_nr; s++)
		for (size_t u = 0; u < 2; u++) {
			push_record(b, 0, SET_UPSTREAMS,
				    snapshot_service(b->snapshot, s)
					    ->upstreams[u]
					    .id,
				    ++b->version << 24, body.buf.data,
				    body.buf.size);
			release_fleet_actions(&b->out);
		}
	release_wire_writer(&body);
}

static struct bench *create_bench(const struct load *load)
{
	struct bench *b = g_new0(struct bench, 1);

	b->load = *load;
	b->now_ms = SIMULATION_START_MS;
	b->rand = g_rand_new_with_seed(SEED);
	b->members = g_new0(struct member, load->nr);
	for (size_t i = 0; i < load->nr; i++)
		b->members[i] = make_bench_member(i);
	b->view = create_view(b->members[0].id);
	b->fleet = create_fleet(&b->members[0], b->view, NULL, 0, SEED,
				&b->counters);
	return b;
}

static void destroy_bench(struct bench *b)
{
	destroy_fleet(b->fleet);
	destroy_view(b->view);
	unref_snapshot(b->snapshot);
	release_fleet_actions(&b->out);
	g_free(b->members);
	g_rand_free(b->rand);
	g_free(b);
}

static void print_cost(const struct bench *b, double megabytes)
{
	const struct cost *c = &b->cost;
	double out = (double)c->out_bytes / RUN_S;
	double in = (double)c->in_bytes / RUN_S;
	double wire = WIRE_OVERHEAD / (double)RUN_S;

	printf("%6zu %5s %8zu %8.0f %8.0f | %6.1f %6.1f %7.0f %7.0f %7.0f "
	       "%7.0f "
	       "| %7.1f %6.3f %6.1f\n",
	       b->load.nr, b->load.all_links ? "5" : "3", b->load.service_nr,
	       b->load.changes, b->load.upstreams, (double)c->out / RUN_S,
	       (double)c->in / RUN_S, out, in, out + (double)c->out * wire,
	       in + (double)c->in * wire, c->cpu_s / (double)c->in * 1e6,
	       c->cpu_s / RUN_S * 100, megabytes);
}

static void run_load(const struct load *load)
{
	size_t before = mallinfo2().uordblks;
	struct bench *b = create_bench(load);
	double megabytes;

	fill_instance(b);
	megabytes = (double)(mallinfo2().uordblks - before) / 1e6;
	memset(&b->cost, 0, sizeof(b->cost));
	for (uint64_t ms = 0; ms < RUN_S * 1000; ms += FLEET_TICK_MS)
		run_step(b, FLEET_TICK_MS);
	print_cost(b, megabytes);
	destroy_bench(b);
}

static void print_loads(void)
{
	double upstreams = TARGET_SERVICES * 2 * UPSTREAM_CHANGES;
	const struct load loads[] = {
		{ 81, false, 275, 245, 117, upstreams * 81 / TARGET_NR },
		{ 729, false, 2476, 2200, 1056, upstreams * 729 / TARGET_NR },
		{ TARGET_NR, false, TARGET_SERVICES, TARGET_CHANGES,
		  TARGET_RESTARTS, upstreams },
		{ TARGET_NR, true, TARGET_SERVICES, TARGET_CHANGES,
		  TARGET_RESTARTS, upstreams },
		{ TARGET_NR, false, TARGET_SERVICES, 0, 0, 0 },
		{ TARGET_NR, false, TARGET_SERVICES, TARGET_CHANGES, 0, 0 },
		{ TARGET_NR, false, TARGET_SERVICES, 0, TARGET_RESTARTS, 0 },
		{ TARGET_NR, false, TARGET_SERVICES, 0, 0, upstreams },
		{ 81, false, TARGET_SERVICES, 0, 0, 0 },
		{ TARGET_NR, false, 275, 0, 0, 0 },
	};

	printf("one instance, %d s, two upstreams a service; a day: changes "
	       "of configuration, of upstream states\n",
	       RUN_S);
	printf("%6s %5s %8s %8s %8s | %6s %6s %7s %7s %7s %7s | %7s %6s %6s\n",
	       "nr", "links", "services", "config", "upstr", "out/s", "in/s",
	       "outB/s", "inB/s", "wire-o", "wire-i", "us/msg", "cpu-%", "MB");
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++)
		run_load(&loads[i]);
}

int main(void)
{
	print_loads();
	return 0;
}
