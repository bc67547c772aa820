/*
 * bench-flows: broken flows and cost of each way of steering under each
 * event, then the time per packet and the memory of the shipped one.
 */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "t/flow-bed.h"
#include "t/flow-packets.h"
#include "t/flow-ways.h"

#define SEED 20261203
#define INSTANCE_NR 9
#define DOMAIN_NR 4
#define UPSTREAM_NR 14
#define COLD_BEARS 50U /* connections of an upstream that joins cold */
#define NEWS_MS 800    /* until the last instance hears of a change */
#define STEP_MS 10
#define WARM_UP_MS 400000 /* marks and changes of the start are over */
#define OPEN_MS 2000	  /* over which the first flows are opened */
#define EVENT_MS (WARM_UP_MS + 3000) /* when the first change is made */
#define SECOND_MS (EVENT_MS + 3000)  /* when the second is */
#define END_MS (EVENT_MS + 12000)
#define PACKETS_PER_FLOW 8 /* from EVENT_MS to END_MS */

enum scenario {
	STEADY,
	DRAIN,
	COLD_JOIN,
	DRAIN_AND_DEATH,
	KEEPER_DEATH,
	KEEPERS_DEATH,
	STALE,
	OVERLAP,
	PARTITION,
	DOMAIN_OUT_BACK,
	ROLLING,
	ROLLING_TOLD,
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

static const char *const way_names[WAY_NR] = {
	"A nothing",	  "B local table",  "C remember old",
	"D remember new", "E remember all", "F cookie"
};

struct run {
	enum scenario scenario;
	struct bed *bed;
	int flow_nr;
	uint64_t hops;	  /* when the change was made */
	uint64_t packets; /* the same */
	uint64_t control; /* the same */
	uint64_t learned; /* the same */
	int replaced;	  /* instances, so far */
	bool told;	  /* the next to be replaced has said so */
};

static uint64_t hops_of(const struct bed *b)
{
	return b->hops + flow_bed_counter(b, COUNT_FLOW_HOPS);
}

static uint64_t control_of(const struct bed *b)
{
	return b->control_bytes + flow_bed_counter(b, COUNT_FLOW_CONTROL_BYTES);
}

static void change_first(struct run *r)
{
	struct bed *b = r->bed;

	switch (r->scenario) {
	case STEADY:
	case ROLLING:
	case ROLLING_TOLD:
	case SCENARIO_NR:
		break;
	case STALE:
		b->at[4].stale = true;
		drain_bed_upstream(b, 0, 3, true);
		break;
	case COLD_JOIN:
		b->opt.cold_connections = COLD_BEARS;
		join_bed_upstream(b, 0, true);
		break;
	case DRAIN_AND_DEATH:
		drain_bed_upstream(b, 0, 3, true);
		kill_bed_instance(b, 2);
		break;
	case DRAIN:
	case KEEPER_DEATH:
	case KEEPERS_DEATH:
	case OVERLAP:
	case PARTITION:
		drain_bed_upstream(b, 0, 3, true);
		break;
	case DOMAIN_OUT_BACK:
		take_bed_domain(b, 1, true);
		break;
	}
}

static void change_second(struct run *r)
{
	struct bed *b = r->bed;

	switch (r->scenario) {
	case STEADY:
	case DRAIN:
	case COLD_JOIN:
	case DRAIN_AND_DEATH:
	case ROLLING:
	case ROLLING_TOLD:
	case SCENARIO_NR:
		break;
	case STALE:
		catch_up_flow_bed(b, 4);
		break;
	case KEEPERS_DEATH:
		kill_bed_instance(b, 2);
		kill_bed_instance(b, 3);
		break;
	case KEEPER_DEATH:
		kill_bed_instance(b, 2);
		break;
	case OVERLAP:
		join_bed_upstream(b, 0, false);
		drain_bed_upstream(b, 0, 7, true);
		break;
	case PARTITION:
		cut_flow_bed(b, 2);
		break;
	case DOMAIN_OUT_BACK:
		take_bed_domain(b, 1, false);
		break;
	}
}

/* Replaces the next instance once it has handed over what it keeps. */
static void replace_told(struct run *r)
{
	struct bed *b = r->bed;

	if (r->replaced == INSTANCE_NR)
		return;
	if (!r->told) {
		if (!r->replaced)
			drain_bed_upstream(b, 0, 3, true);
		leave_bed_instance(b, r->replaced);
		r->told = true;
	} else if (may_bed_instance_end(b, r->replaced)) {
		kill_bed_instance(b, r->replaced);
		join_bed_instance(b, r->replaced++);
		r->told = false;
	}
}

/* What is done every second. */
static void change_on(struct run *r)
{
	struct bed *b = r->bed;

	if (r->scenario == PARTITION && b->now == SECOND_MS + 4000)
		heal_flow_bed(b);
	if (r->scenario == ROLLING_TOLD)
		replace_told(r);
	if (r->scenario != ROLLING || r->replaced == INSTANCE_NR)
		return;
	if (!r->replaced)
		drain_bed_upstream(b, 0, 3, true);
	kill_bed_instance(b, r->replaced);
	join_bed_instance(b, r->replaced++);
}

static void mark_start(struct run *r)
{
	r->hops = hops_of(r->bed);
	r->packets = r->bed->packets;
	r->control = control_of(r->bed);
	r->learned = flow_bed_counter(r->bed, COUNT_FLOW_LEARN_BYTES);
}

/* Opens N flows and sends M packets of random flows. */
static void send_some(struct bed *b, int n, int m)
{
	while (n-- > 0)
		open_bed_flow(b, 0);
	while (m-- > 0) {
		gint32 i = g_rand_int_range(b->rand, 0, (gint32)b->flows->len);

		if (!flow_at(b, (uint32_t)i)->given_up)
			send_bed_packet(b, (uint32_t)i, TCP_ACK);
	}
}

static void run_scenario(struct run *r)
{
	struct bed *b = r->bed;
	int opened = r->flow_nr / (OPEN_MS / STEP_MS);
	int newborn = r->flow_nr / 10 * STEP_MS / (END_MS - EVENT_MS) + 1;
	int sent =
		r->flow_nr / ((END_MS - EVENT_MS) / STEP_MS) * PACKETS_PER_FLOW;

	run_flow_bed(b, WARM_UP_MS);
	for (; b->now < END_MS; run_flow_bed(b, b->now + STEP_MS)) {
		if (b->now < WARM_UP_MS + OPEN_MS) {
			send_some(b, opened, 0);
			continue;
		}
		if (b->now == EVENT_MS) {
			mark_start(r);
			change_first(r);
		}
		if (b->now == SECOND_MS)
			change_second(r);
		if (b->now >= EVENT_MS && b->now % 1000 == 0)
			change_on(r);
		send_some(b, b->now < EVENT_MS ? 0 : newborn, sent);
	}
}

static size_t memory_of(const struct bed *b)
{
	size_t bytes = 0;

	for (int i = 0; i < BED_INSTANCE_MAX; i++) {
		if (b->at[i].alive && b->at[i].flows)
			bytes += flow_memory(b->at[i].flows);
		else if (b->at[i].alive)
			bytes += model_memory(b->at[i].model);
	}
	return bytes;
}

static uint32_t cold_peak(const struct bed *b)
{
	uint32_t peak = 0;

	for (int i = UPSTREAM_NR; i < b->upstream_nr[0]; i++)
		peak = MAX(peak, b->ups[0][i].cold_peak);
	return peak;
}

static void print_row(struct run *r, enum bed_way way)
{
	struct bed *b = r->bed;
	struct bed_outcome o = judge_flow_bed(b);
	double seconds = (END_MS - EVENT_MS) / 1000.0;
	double packets = (double)(b->packets - r->packets);

	printf("%-23s %-15s %6u %6u %5u %7.1f %7.0f %7.0f %8.1f %7.2f",
	       scenario_names[r->scenario], way_names[way], o.broken,
	       o.given_up, o.wrong,
	       (double)(hops_of(b) - r->hops) * 1000 / packets,
	       (double)(control_of(b) - r->control) / seconds / INSTANCE_NR,
	       (double)(flow_bed_counter(b, COUNT_FLOW_LEARN_BYTES) -
			r->learned) /
		       seconds / INSTANCE_NR,
	       (double)memory_of(b) / INSTANCE_NR / 1024 * 1000 / b->flows->len,
	       flow_bed_balance(b, 0));
	if (r->scenario == COLD_JOIN)
		printf(" %4u/%u", cold_peak(b), COLD_BEARS);
	if (b->late_new || b->late_out)
		printf(" late: %lu flows, %lu packets",
		       (unsigned long)b->late_new, (unsigned long)b->late_out);
	printf("\n");
	fflush(stdout);
}

static void bench_one(enum scenario s, enum bed_way way, int flow_nr)
{
	struct bed_options opt = { .seed = SEED,
				   .instance_nr = INSTANCE_NR,
				   .domain_nr = DOMAIN_NR,
				   .upstream_nr = UPSTREAM_NR,
				   .service_nr = 1,
				   .way = way,
				   .idle_ms = 3600 * 1000,
				   .cold_connections = BED_UNLIMITED,
				   .news_ms = NEWS_MS };
	struct run r = { .scenario = s, .flow_nr = flow_nr };

	r.bed = create_flow_bed(&opt);
	run_scenario(&r);
	print_row(&r, way);
	destroy_flow_bed(r.bed);
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

/* Steers packets of FLOW_NR flows at one instance; ns for each. */
static double time_packets(struct bed *b, uint32_t flow_nr, uint8_t flags)
{
	struct test_packet tp = { .protocol = FLOW_TCP,
				  .flags = flags,
				  .hop_limit = 64 };
	uint8_t data[TEST_PACKET_MAX];
	uint64_t spent = 0;
	size_t len;

	tp.from.family = 4;
	tp.to = snapshot_service(b->snapshot, 0)->address;
	for (uint32_t i = 0; i < TIMED_PACKETS; i++) {
		uint32_t f = i * 2654435761U % flow_nr;
		uint64_t start;

		memcpy(tp.from.ip, &f, sizeof(f));
		tp.from.ip[0] = 11;
		tp.from.port = (uint16_t)(1024 + f % 50000);
		len = write_test_packet(&tp, data);
		start = clock_ns();
		steer_packet(b->at[0].flows, data, len, b->now, &b->actions);
		spent += clock_ns() - start;
	}
	return (double)spent / TIMED_PACKETS;
}

/* What reading the clock twice adds to each measurement, ns. */
static double clock_cost(void)
{
	uint64_t spent = 0;

	for (int i = 0; i < TIMED_PACKETS; i++) {
		uint64_t start = clock_ns();

		spent += clock_ns() - start;
	}
	return (double)spent / TIMED_PACKETS;
}

static void bench_time(uint32_t flow_nr, double base)
{
	struct bed_options opt = { .seed = SEED,
				   .instance_nr = 1,
				   .domain_nr = 1,
				   .upstream_nr = UPSTREAM_NR,
				   .service_nr = 1,
				   .way = WAY_REMEMBER_NEW,
				   .idle_ms = 3600 * 1000,
				   .cold_connections = 100000000 };
	struct bed *b = create_flow_bed(&opt);
	double settled;
	double unsettled;
	size_t before;

	run_flow_bed(b, WARM_UP_MS);
	settled = time_packets(b, flow_nr, TCP_ACK) - base;
	before = flow_memory(b->at[0].flows);
	for (int i = 0; i < UPSTREAM_NR; i++)
		set_flow_bed_state(b, 0, i, UPSTREAM_COLD);
	run_flow_bed(b, WARM_UP_MS + 3000);
	time_packets(b, flow_nr, TCP_SYN);
	unsettled = time_packets(b, flow_nr, TCP_ACK) - base;
	printf("%9u %12.0f %14.0f %16.1f\n", flow_nr, settled, unsettled,
	       (double)(flow_memory(b->at[0].flows) - before) / 1024 * 1000 /
		       flow_nr);
	destroy_flow_bed(b);
}

int main(void)
{
	double base = clock_cost();

	print_head(28000);
	for (int s = 0; s < SCENARIO_NR; s++)
		for (int w = 0; w < WAY_NR; w++)
			bench_one((enum scenario)s, (enum bed_way)w, 28000);
	print_head(200000);
	for (int s = 0; s < SCENARIO_NR; s++)
		bench_one((enum scenario)s, WAY_REMEMBER_NEW, 200000);
	printf("\nns per steered packet at one instance; KiB per 1000 flows "
	       "remembered\n%9s %12s %14s %16s\n",
	       "flows", "settled", "all remembered", "KiB/1000");
	for (uint32_t n = 1000; n <= 1000000; n *= 10)
		bench_time(n, base);
	return 0;
}
