/*
 * Compares policies for choosing an upstream: nine instances, 14 and 4
 * upstreams of 3 slots each, Poisson arrivals from a fixed seed, open loop. Run
 * times are 50 to 150 ms; a tenth of the requests have a key and are not
 * idempotent. Prints one row per policy, load and disturbance; BENCH_SEED
 * overrides the seed.
 */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "t/request-simulation.h"

#define INSTANCES 9
#define UPSTREAMS 14
#define UPSTREAMS_2 4
#define SLOTS 3u
#define MEAN_RUN_MS 100
#define DEADLINE_MS 1000
#define WARM_UP_MS 10000 /* after it, new instances may use their quotas */
#define MEASURED_MS 10000
#define KEYED_PERCENT 10

enum disturbance {
	DISTURBANCE_NONE,
	DISTURBANCE_COLD_JOIN,
	DISTURBANCE_GONE_COLD,
	DISTURBANCE_FALSE_LOAD,
	DISTURBANCE_DOMAIN_OUT
};

static const char *const disturbance_names[] = { "none", "cold join",
						 "gone cold", "false load",
						 "domain out" };

struct policy_row {
	const char *name;
	enum slot_policy policy;
};

static const struct policy_row policy_rows[] = {
	{ "least in flight", SLOT_LEAST_IN_FLIGHT },
	{ "two random", SLOT_TWO_RANDOM },
	{ "reported load", SLOT_LOWEST_REPORTED_LOAD },
	{ "quota only", SLOT_QUOTA_ONLY },
	{ "quota, borrowing", SLOT_QUOTA_BORROWING },
};

/* Requests per second that this number of warm upstreams can run. */
static double capacity(unsigned int upstream_nr)
{
	return upstream_nr * SLOTS * 1000.0 / MEAN_RUN_MS;
}

static void add_arrivals(struct request_sim *sim, GRand *rng,
			 unsigned int service, double per_s, uint32_t *next)
{
	double at = WARM_UP_MS;

	while (at < WARM_UP_MS + MEASURED_MS) {
		struct request_sim_send s = { .operation = (*next)++,
					      .service = service };

		at += -log(1.0 - g_rand_double(rng)) * 1000 / per_s;
		s.instance = (unsigned int)g_rand_int_range(rng, 0, INSTANCES);
		s.has_key = g_rand_int_range(rng, 0, 100) < KEYED_PERCENT;
		s.idempotent = !s.has_key;
		s.states_key_age = true;
		add_request_sim_send(sim, (uint64_t)(at * 1000), &s);
	}
}

static void add_disturbance(struct request_sim *sim, enum disturbance d)
{
	const uint64_t begin = (WARM_UP_MS + 2000) * MS;
	const uint64_t end = (WARM_UP_MS + 6000) * MS;

	switch (d) {
	case DISTURBANCE_NONE:
		break;
	case DISTURBANCE_COLD_JOIN:
		add_request_sim_fault(sim, 0, FAULT_COLD, 0, 0);
		add_request_sim_fault(sim, end, FAULT_WARM, 0, 0);
		break;
	case DISTURBANCE_GONE_COLD:
		add_request_sim_fault(sim, begin, FAULT_COLD_UNANNOUNCED, 0, 0);
		add_request_sim_fault(sim, end, FAULT_WARM, 0, 0);
		break;
	case DISTURBANCE_FALSE_LOAD:
		add_request_sim_fault(sim, 0, FAULT_FALSE_LOAD_REPORTS, 0, 0);
		break;
	case DISTURBANCE_DOMAIN_OUT:
		add_request_sim_fault(sim, begin, FAULT_DOMAIN_OUT, 0, 0);
		add_request_sim_fault(sim, end, FAULT_DOMAIN_BACK, 0, 0);
		break;
	}
}

static void run_row(const struct policy_row *row, double load,
		    enum disturbance d, uint32_t seed,
		    struct request_sim_report *r)
{
	struct request_sim_options o = { .seed = seed,
					 .instances = INSTANCES,
					 .domains = 3,
					 .first_service_upstreams = UPSTREAMS,
					 .second_service_upstreams =
						 UPSTREAMS_2,
					 .slots = SLOTS,
					 .mean_run_us = MEAN_RUN_MS * 1000,
					 .deadline_ms = DEADLINE_MS,
					 .policy = row->policy };
	struct request_sim *sim = create_request_sim(&o);
	GRand *rng = g_rand_new_with_seed(seed);
	uint32_t operation = 0;

	add_arrivals(sim, rng, 0, load * capacity(UPSTREAMS), &operation);
	add_arrivals(sim, rng, 1, load * capacity(UPSTREAMS_2), &operation);
	add_disturbance(sim, d);
	run_request_sim(sim, (WARM_UP_MS + MEASURED_MS + 2000) * MS);
	report_request_sim(sim, r);
	destroy_request_sim(sim);
	g_rand_free(rng);
}

static void print_row(const struct policy_row *row, double load,
		      enum disturbance d, const struct request_sim_report *r)
{
	double seconds = MEASURED_MS / 1000.0;

	printf("%-18s %4.1f %-10s %7.1f %7.1f %5u %5u %7.0f %7.0f %4u/%u "
	       "%5.2f %6.3f %6.3f %6.0f\n",
	       row->name, load, disturbance_names[d], r->answered / seconds,
	       r->not_run / seconds, r->unknown, r->answered_late,
	       r->wait_p50_ms, r->wait_p99_ms, r->peak_in_flight, SLOTS,
	       r->imbalance, (double)r->retries / r->sends,
	       (double)r->sheds / r->sends,
	       (double)r->key_bytes / INSTANCES / seconds);
}

static void print_head(void)
{
	printf("%-18s %4s %-10s %7s %7s %5s %5s %7s %7s %6s %5s %6s %6s %6s\n",
	       "policy", "load", "disturbed", "good/s", "ref./s", "unkn.",
	       "late", "p50 ms", "p99 ms", "peak", "m/m", "retry", "sheds",
	       "B/s");
}

/*
 * Prints the goodput at load 3.0 over that at 0.9 scaled to capacity. Returns 1
 * if it is at least 0.95.
 */
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
	struct request_sim_report r;

	printf("requests: %d instances, %d+%d upstreams of %u slots, capacity "
	       "%.0f/s, deadline %d ms, seed %u\n",
	       INSTANCES, UPSTREAMS, UPSTREAMS_2, SLOTS,
	       capacity(UPSTREAMS + UPSTREAMS_2), DEADLINE_MS, seed);
	print_head();
	for (size_t i = 0; i < G_N_ELEMENTS(policy_rows); i++) {
		double answered[2] = { 0 };

		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			run_row(&policy_rows[i], loads[l], DISTURBANCE_NONE,
				seed, &r);
			print_row(&policy_rows[i], loads[l], DISTURBANCE_NONE,
				  &r);
			if (loads[l] == 0.9)
				answered[0] = r.answered;
			if (loads[l] == 3.0)
				answered[1] = r.answered;
		}
		compare_goodput(answered);
	}
	for (int d = DISTURBANCE_COLD_JOIN; d <= DISTURBANCE_DOMAIN_OUT; d++)
		for (size_t i = 0; i < G_N_ELEMENTS(policy_rows); i++) {
			run_row(&policy_rows[i], 0.9, (enum disturbance)d, seed,
				&r);
			print_row(&policy_rows[i], 0.9, (enum disturbance)d,
				  &r);
		}
	return 0;
}
