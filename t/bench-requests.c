/*
 * Compares ways to pick an upstream: nine instances, 14 and 4 upstreams of 3
 * slots each, Poisson arrivals from a fixed seed, open loop. Run times are 50
 * to 150 ms; a tenth of the requests are keyed and not idempotent. Prints one
 * row for each way, load and trouble; BENCH_SEED overrides the seed.
 */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "t/request-world.h"

#define INSTANCES 9
#define UPSTREAMS 14
#define UPSTREAMS_2 4
#define SLOTS 3u
#define RUN_MEAN_MS 100
#define DEADLINE_MS 1000
#define WARM_UP_MS 10000 /* until shares of new instances have rested */
#define LENGTH_MS 10000
#define KEYED_PERCENT 10

enum trouble {
	TROUBLE_NONE,
	TROUBLE_COLD_JOIN,
	TROUBLE_GONE_COLD,
	TROUBLE_LYING,
	TROUBLE_DOMAIN
};

static const char *const trouble_names[] = { "none", "cold join", "gone cold",
					     "lying load", "domain out" };

struct way {
	const char *name;
	enum slot_policy policy;
};

static const struct way ways[] = {
	{ "least in flight", SLOT_LEAST_IN_FLIGHT },
	{ "two random", SLOT_TWO_RANDOM },
	{ "probes", SLOT_LOWEST_REPORTED_LOAD },
	{ "own shares only", SLOT_QUOTA_ONLY },
	{ "shares, borrowing", SLOT_QUOTA_BORROWING },
};

/* Requests a second that UPSTREAM_NR upstreams can run. */
static double capacity(unsigned int upstream_nr)
{
	return upstream_nr * SLOTS * 1000.0 / RUN_MEAN_MS;
}

static void add_arrivals(struct request_world *w, GRand *rng,
			 unsigned int service, double per_s, uint32_t *next)
{
	double at = WARM_UP_MS;

	while (at < WARM_UP_MS + LENGTH_MS) {
		struct world_send s = { .operation = (*next)++,
					.service = service };

		at += -log(1.0 - g_rand_double(rng)) * 1000 / per_s;
		s.instance = (unsigned int)g_rand_int_range(rng, 0, INSTANCES);
		s.has_key = g_rand_int_range(rng, 0, 100) < KEYED_PERCENT;
		s.idempotent = !s.has_key;
		s.tells_age = true;
		add_world_send(w, (uint64_t)(at * 1000), &s);
	}
}

static void add_trouble(struct request_world *w, enum trouble t)
{
	const uint64_t begin = (WARM_UP_MS + 2000) * MS;
	const uint64_t end = (WARM_UP_MS + 6000) * MS;

	switch (t) {
	case TROUBLE_NONE:
		break;
	case TROUBLE_COLD_JOIN:
		add_world_fault(w, 0, FAULT_COLD, 0, 0);
		add_world_fault(w, end, FAULT_WARM, 0, 0);
		break;
	case TROUBLE_GONE_COLD:
		add_world_fault(w, begin, FAULT_SILENT_COLD, 0, 0);
		add_world_fault(w, end, FAULT_WARM, 0, 0);
		break;
	case TROUBLE_LYING:
		add_world_fault(w, 0, FAULT_LYING_LOAD, 0, 0);
		break;
	case TROUBLE_DOMAIN:
		add_world_fault(w, begin, FAULT_DOMAIN_OUT, 0, 0);
		add_world_fault(w, end, FAULT_DOMAIN_BACK, 0, 0);
		break;
	}
}

static void run_row(const struct way *way, double load, enum trouble t,
		    uint32_t seed, struct request_world_report *r)
{
	struct request_world_options o = { .seed = seed,
					   .instances = INSTANCES,
					   .domains = 3,
					   .upstreams = UPSTREAMS,
					   .upstreams_2 = UPSTREAMS_2,
					   .slots = SLOTS,
					   .service_us = RUN_MEAN_MS * 1000,
					   .deadline_ms = DEADLINE_MS,
					   .policy = way->policy };
	struct request_world *w = create_request_world(&o);
	GRand *rng = g_rand_new_with_seed(seed);
	uint32_t operation = 0;

	add_arrivals(w, rng, 0, load * capacity(UPSTREAMS), &operation);
	add_arrivals(w, rng, 1, load * capacity(UPSTREAMS_2), &operation);
	add_trouble(w, t);
	run_request_world(w, (WARM_UP_MS + LENGTH_MS + 2000) * MS);
	report_request_world(w, r);
	destroy_request_world(w);
	g_rand_free(rng);
}

static void print_row(const struct way *way, double load, enum trouble t,
		      const struct request_world_report *r)
{
	double seconds = LENGTH_MS / 1000.0;

	printf("%-18s %4.1f %-10s %7.1f %7.1f %5u %5u %7.0f %7.0f %4u/%u "
	       "%5.2f %6.3f %6.3f %6.0f\n",
	       way->name, load, trouble_names[t], r->answered / seconds,
	       r->not_run / seconds, r->unknown, r->late, r->wait_p50_ms,
	       r->wait_p99_ms, r->most_in_flight, SLOTS, r->imbalance,
	       (double)r->retries / r->sends, (double)r->sheds / r->sends,
	       (double)r->key_bytes / INSTANCES / seconds);
}

static void print_head(void)
{
	printf("%-18s %4s %-10s %7s %7s %5s %5s %7s %7s %6s %5s %6s %6s %6s\n",
	       "way", "load", "trouble", "good/s", "ref./s", "unkn.", "late",
	       "p50 ms", "p99 ms", "peak", "m/m", "retry", "sheds", "B/s");
}

/* Goodput at three times capacity against that at 0.9, scaled to capacity. */
static int compare_goodput(const double *answered)
{
	double ratio = answered[1] / (answered[0] / 0.9);

	printf("goodput at 3.0 over that at 0.9 scaled to capacity: %.3f\n\n",
	       ratio);
	return ratio >= 0.95;
}

int main(void)
{
	static const double loads[] = { 0.5, 0.9, 1.2, 3.0 };
	const char *text = g_getenv("BENCH_SEED");
	uint32_t seed = text ? (uint32_t)strtoul(text, NULL, 10) : 20261203;
	struct request_world_report r;

	printf("requests: %d instances, %d+%d upstreams of %u slots, capacity "
	       "%.0f/s, deadline %d ms, seed %u\n",
	       INSTANCES, UPSTREAMS, UPSTREAMS_2, SLOTS,
	       capacity(UPSTREAMS + UPSTREAMS_2), DEADLINE_MS, seed);
	print_head();
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		double answered[2] = { 0 };

		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			run_row(&ways[i], loads[l], TROUBLE_NONE, seed, &r);
			print_row(&ways[i], loads[l], TROUBLE_NONE, &r);
			if (loads[l] == 0.9)
				answered[0] = r.answered;
			if (loads[l] == 3.0)
				answered[1] = r.answered;
		}
		compare_goodput(answered);
	}
	for (int t = TROUBLE_COLD_JOIN; t <= TROUBLE_DOMAIN; t++)
		for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
			run_row(&ways[i], 0.9, (enum trouble)t, seed, &r);
			print_row(&ways[i], 0.9, (enum trouble)t, &r);
		}
	return 0;
}
