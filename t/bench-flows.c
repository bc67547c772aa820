/*
 * bench-flows: broken flows and cost of each steering strategy in each
 * scenario, then time per packet and memory of the strategy in use.
 */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "t/flow-harness.h"
#include "t/flow-packets.h"
#include "t/flow-strategies.h"

#define SEED 20261203
#define INSTANCE_NR 9
#define DOMAIN_NR 4
#define UPSTREAM_NR 14
#define COLD_CONNECTIONS 50U	/* limit of an upstream that joins cold */
#define UPDATE_DELAY_MAX_MS 800 /* until an instance gets an update */
#define STEP_MS 10
#define WARM_UP_MS 400000 /* until unsettled marks of the start have expired */
#define OPEN_MS 2000	  /* time in which the first flows are opened */
#define FIRST_CHANGE_MS (WARM_UP_MS + 3000)
#define SECOND_CHANGE_MS (FIRST_CHANGE_MS + 3000)
#define END_MS (FIRST_CHANGE_MS + 12000)
#define PACKETS_PER_FLOW 8 /* mean, from FIRST_CHANGE_MS to END_MS */

enum scenario {
	STEADY,
	DRAIN,
	COLD_JOIN,
	DRAIN_AND_INSTANCE_DEATH,
	REPLICA_DEATH,
	TWO_REPLICA_DEATHS,
	STALE_INSTANCE,
	DRAIN_AND_JOIN,
	PARTITION,
	DOMAIN_OUT_BACK,
	REPLACE_ALL,
	REPLACE_ALL_ANNOUNCED,
	SCENARIO_NR
};

static const char *const scenario_names[SCENARIO_NR] = {
	"no change",
	"drain",
	"cold join",
	"drain + instance death",
	"drain, keeper death",
	"drain, two keepers die",
	"drain, one stale",
	"drain + join overlap",
	"drain, cut, heal",
	"domain out and back",
	"all instances replaced",
	"all replaced, leaving"
};

static const char *const strategy_names[STRATEGY_NR] = {
	"A nothing",	  "B local table",  "C remember old",
	"D remember new", "E remember all", "F cookie"
};

struct run {
	enum scenario scenario;
	struct flow_harness *harness;
	int flow_nr;
	/* counts at FIRST_CHANGE_MS */
	uint64_t start_hops;
	uint64_t start_packets;
	uint64_t start_control_bytes;
	uint64_t start_learn_bytes;
	int replaced_nr;      /* instances replaced so far */
	bool leave_announced; /* by the next instance to be replaced */
};

static uint64_t hop_count(const struct flow_harness *h)
{
	return h->hops + sum_harness_counter(h, COUNT_FLOW_HOPS);
}

static uint64_t control_byte_count(const struct flow_harness *h)
{
	return h->control_bytes +
	       sum_harness_counter(h, COUNT_FLOW_CONTROL_BYTES);
}

static void make_first_change(struct run *r)
{
	struct flow_harness *h = r->harness;

	switch (r->scenario) {
	case STEADY:
	case REPLACE_ALL:
	case REPLACE_ALL_ANNOUNCED:
	case SCENARIO_NR:
		break;
	case STALE_INSTANCE:
		h->instances[4].stale = true;
		drain_harness_upstream(h, 0, 3, true);
		break;
	case COLD_JOIN:
		h->opt.cold_connections = COLD_CONNECTIONS;
		join_harness_upstream(h, 0, true);
		break;
	case DRAIN_AND_INSTANCE_DEATH:
		drain_harness_upstream(h, 0, 3, true);
		kill_harness_instance(h, 2);
		break;
	case DRAIN:
	case REPLICA_DEATH:
	case TWO_REPLICA_DEATHS:
	case DRAIN_AND_JOIN:
	case PARTITION:
		drain_harness_upstream(h, 0, 3, true);
		break;
	case DOMAIN_OUT_BACK:
		set_harness_domain_out(h, 1, true);
		break;
	}
}

static void make_second_change(struct run *r)
{
	struct flow_harness *h = r->harness;

	switch (r->scenario) {
	case STEADY:
	case DRAIN:
	case COLD_JOIN:
	case DRAIN_AND_INSTANCE_DEATH:
	case REPLACE_ALL:
	case REPLACE_ALL_ANNOUNCED:
	case SCENARIO_NR:
		break;
	case STALE_INSTANCE:
		catch_up_harness_instance(h, 4);
		break;
	case TWO_REPLICA_DEATHS:
		kill_harness_instance(h, 2);
		kill_harness_instance(h, 3);
		break;
	case REPLICA_DEATH:
		kill_harness_instance(h, 2);
		break;
	case DRAIN_AND_JOIN:
		join_harness_upstream(h, 0, false);
		drain_harness_upstream(h, 0, 7, true);
		break;
	case PARTITION:
		partition_flow_harness(h, 2);
		break;
	case DOMAIN_OUT_BACK:
		set_harness_domain_out(h, 1, false);
		break;
	}
}

/* Announces that the next instance leaves; replaces it after its handover. */
static void replace_announced(struct run *r)
{
	struct flow_harness *h = r->harness;

	if (r->replaced_nr == INSTANCE_NR)
		return;
	if (!r->leave_announced) {
		if (!r->replaced_nr)
			drain_harness_upstream(h, 0, 3, true);
		announce_harness_instance_leave(h, r->replaced_nr);
		r->leave_announced = true;
	} else if (can_harness_instance_end(h, r->replaced_nr)) {
		kill_harness_instance(h, r->replaced_nr);
		join_harness_instance(h, r->replaced_nr++);
		r->leave_announced = false;
	}
}

/* Called every second from FIRST_CHANGE_MS on. */
static void make_periodic_change(struct run *r)
{
	struct flow_harness *h = r->harness;

	if (r->scenario == PARTITION && h->now_ms == SECOND_CHANGE_MS + 4000)
		heal_flow_harness(h);
	if (r->scenario == REPLACE_ALL_ANNOUNCED)
		replace_announced(r);
	if (r->scenario != REPLACE_ALL || r->replaced_nr == INSTANCE_NR)
		return;
	if (!r->replaced_nr)
		drain_harness_upstream(h, 0, 3, true);
	kill_harness_instance(h, r->replaced_nr);
	join_harness_instance(h, r->replaced_nr++);
}

static void save_start_counts(struct run *r)
{
	r->start_hops = hop_count(r->harness);
	r->start_packets = r->harness->packets;
	r->start_control_bytes = control_byte_count(r->harness);
	r->start_learn_bytes =
		sum_harness_counter(r->harness, COUNT_FLOW_LEARN_BYTES);
}

/* Opens N flows and sends M packets of random flows. */
static void send_packets(struct flow_harness *h, int n, int m)
{
	while (n-- > 0)
		open_harness_flow(h, 0);
	while (m-- > 0) {
		gint32 i = g_rand_int_range(h->rand, 0, (gint32)h->flows->len);

		if (!harness_flow_at(h, (uint32_t)i)->lost_with_upstream)
			send_harness_packet(h, (uint32_t)i, TCP_ACK);
	}
}

static void run_scenario(struct run *r)
{
	struct flow_harness *h = r->harness;
	int first_flows_per_step = r->flow_nr / (OPEN_MS / STEP_MS);
	int new_flows_per_step =
		r->flow_nr / 10 * STEP_MS / (END_MS - FIRST_CHANGE_MS) + 1;
	int packets_per_step = r->flow_nr /
			       ((END_MS - FIRST_CHANGE_MS) / STEP_MS) *
			       PACKETS_PER_FLOW;

	run_flow_harness(h, WARM_UP_MS);
	for (; h->now_ms < END_MS; run_flow_harness(h, h->now_ms + STEP_MS)) {
		if (h->now_ms < WARM_UP_MS + OPEN_MS) {
			send_packets(h, first_flows_per_step, 0);
			continue;
		}
		if (h->now_ms == FIRST_CHANGE_MS) {
			save_start_counts(r);
			make_first_change(r);
		}
		if (h->now_ms == SECOND_CHANGE_MS)
			make_second_change(r);
		if (h->now_ms >= FIRST_CHANGE_MS && h->now_ms % 1000 == 0)
			make_periodic_change(r);
		send_packets(
			h, h->now_ms < FIRST_CHANGE_MS ? 0 : new_flows_per_step,
			packets_per_step);
	}
}

static size_t total_memory(const struct flow_harness *h)
{
	size_t bytes = 0;

	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++) {
		if (h->instances[i].alive && h->instances[i].flows)
			bytes += flow_memory(h->instances[i].flows);
		else if (h->instances[i].alive)
			bytes += strategy_memory(h->instances[i].model);
	}
	return bytes;
}

static uint32_t max_cold_flows(const struct flow_harness *h)
{
	uint32_t peak = 0;

	for (int i = UPSTREAM_NR; i < h->upstream_nr[0]; i++)
		peak = MAX(peak, h->upstreams[0][i].cold_flows_max);
	return peak;
}

static void print_row(struct run *r, enum steering_strategy strategy)
{
	struct flow_harness *h = r->harness;
	struct harness_outcome o = sum_harness_outcomes(h);
	double seconds = (END_MS - FIRST_CHANGE_MS) / 1000.0;
	double packets = (double)(h->packets - r->start_packets);

	printf("%-23s %-15s %6u %6u %5u %7.1f %7.0f %7.0f %8.1f %7.2f",
	       scenario_names[r->scenario], strategy_names[strategy], o.broken,
	       o.lost_with_upstream, o.wrong_service,
	       (double)(hop_count(h) - r->start_hops) * 1000 / packets,
	       (double)(control_byte_count(h) - r->start_control_bytes) /
		       seconds / INSTANCE_NR,
	       (double)(sum_harness_counter(h, COUNT_FLOW_LEARN_BYTES) -
			r->start_learn_bytes) /
		       seconds / INSTANCE_NR,
	       (double)total_memory(h) / INSTANCE_NR / 1024 * 1000 /
		       h->flows->len,
	       harness_imbalance(h, 0));
	if (r->scenario == COLD_JOIN)
		printf(" %4u/%u", max_cold_flows(h), COLD_CONNECTIONS);
	if (h->late_new_flows || h->late_out_packets)
		printf(" late: %lu flows, %lu packets",
		       (unsigned long)h->late_new_flows,
		       (unsigned long)h->late_out_packets);
	printf("\n");
	fflush(stdout);
}

static void bench_scenario(enum scenario s, enum steering_strategy strategy,
			   int flow_nr)
{
	struct harness_options opt = { .seed = SEED,
				       .instance_nr = INSTANCE_NR,
				       .domain_nr = DOMAIN_NR,
				       .upstream_nr = UPSTREAM_NR,
				       .service_nr = 1,
				       .strategy = strategy,
				       .idle_ms = 3600 * 1000,
				       .cold_connections = HARNESS_UNLIMITED,
				       .update_delay_max_ms =
					       UPDATE_DELAY_MAX_MS };
	struct run r = { .scenario = s, .flow_nr = flow_nr };

	r.harness = create_flow_harness(&opt);
	run_scenario(&r);
	print_row(&r, strategy);
	destroy_flow_harness(r.harness);
}

static void print_head(int flow_nr)
{
	printf("\n%d flows, %d upstreams, %d instances, %d domains, seed %d\n",
	       flow_nr, UPSTREAM_NR, INSTANCE_NR, DOMAIN_NR, SEED);
	printf("%-23s %-15s %6s %6s %5s %7s %7s %7s %8s %7s %s\n", "event",
	       "way", "broken", "given", "wrong", "hops", "ctl B/s", "lrn B/s",
	       "KiB", "max/", "cold");
	printf("%-23s %-15s %6s %6s %5s %7s %7s %7s %8s %7s %s\n", "", "", "",
	       "up", "svc", "/1000", "/inst", "/inst", "/1000 fl", "mean",
	       "peak");
}

static uint64_t clock_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000ULL + (uint64_t)ts.tv_nsec;
}

#define TIMED_PACKETS 2000000

/* Steers packets of FLOW_NR flows at one instance; ns per packet. */
static double measure_packet_ns(struct flow_harness *h, uint32_t flow_nr,
				uint8_t flags)
{
	struct test_packet tp = { .protocol = FLOW_TCP,
				  .flags = flags,
				  .hop_limit = 64 };
	uint8_t data[TEST_PACKET_MAX];
	uint64_t spent = 0;
	size_t len;

	tp.from.family = 4;
	tp.to = snapshot_service(h->snapshot, 0)->address;
	for (uint32_t i = 0; i < TIMED_PACKETS; i++) {
		uint32_t f = i * 2654435761U % flow_nr;
		uint64_t start;

		memcpy(tp.from.ip, &f, sizeof(f));
		tp.from.ip[0] = 11;
		tp.from.port = (uint16_t)(1024 + f % 50000);
		len = write_test_packet(&tp, data);
		start = clock_ns();
		steer_packet(h->instances[0].flows, data, len, h->now_ms,
			     &h->actions);
		spent += clock_ns() - start;
	}
	return (double)spent / TIMED_PACKETS;
}

/* Time of reading the clock twice, which each measurement includes, ns. */
static double measure_clock_ns(void)
{
	uint64_t spent = 0;

	for (int i = 0; i < TIMED_PACKETS; i++) {
		uint64_t start = clock_ns();

		spent += clock_ns() - start;
	}
	return (double)spent / TIMED_PACKETS;
}

/* Prints the time per packet, less CLOCK_READ_NS for reading the clock. */
static void bench_packet_time(uint32_t flow_nr, double clock_read_ns)
{
	struct harness_options opt = { .seed = SEED,
				       .instance_nr = 1,
				       .domain_nr = 1,
				       .upstream_nr = UPSTREAM_NR,
				       .service_nr = 1,
				       .strategy = STRATEGY_RECORD_NEW,
				       .idle_ms = 3600 * 1000,
				       .cold_connections = 100000000 };
	struct flow_harness *h = create_flow_harness(&opt);
	double settled;
	double unsettled;
	size_t before;

	run_flow_harness(h, WARM_UP_MS);
	settled = measure_packet_ns(h, flow_nr, TCP_ACK) - clock_read_ns;
	before = flow_memory(h->instances[0].flows);
	for (int i = 0; i < UPSTREAM_NR; i++)
		set_harness_upstream_state(h, 0, i, UPSTREAM_COLD);
	run_flow_harness(h, WARM_UP_MS + 3000);
	measure_packet_ns(h, flow_nr, TCP_SYN);
	unsettled = measure_packet_ns(h, flow_nr, TCP_ACK) - clock_read_ns;
	printf("%9u %12.0f %14.0f %16.1f\n", flow_nr, settled, unsettled,
	       (double)(flow_memory(h->instances[0].flows) - before) / 1024 *
		       1000 / flow_nr);
	destroy_flow_harness(h);
}

int main(void)
{
	double clock_read_ns = measure_clock_ns();

	print_head(28000);
	for (int s = 0; s < SCENARIO_NR; s++)
		for (int w = 0; w < STRATEGY_NR; w++)
			bench_scenario((enum scenario)s,
				       (enum steering_strategy)w, 28000);
	print_head(200000);
	for (int s = 0; s < SCENARIO_NR; s++)
		bench_scenario((enum scenario)s, STRATEGY_RECORD_NEW, 200000);
	printf("\nns per steered packet at one instance; KiB per 1000 flows "
	       "remembered\n%9s %12s %14s %16s\n",
	       "flows", "settled", "all remembered", "KiB/1000");
	for (uint32_t n = 1000; n <= 1000000; n *= 10)
		bench_packet_time(n, clock_read_ns);
	return 0;
}
