/*
 * Prints the table of docs/design/platform.md: the outcomes of each placement
 * strategy under each load, and of PICK_BEST_OF_ALL with other costs of an
 * upstream in a remote domain. A second table has slow and failing upstreams,
 * see part 4 of docs/design/hard-load.md.
 */

#include <stdio.h>

#include "t/placement-simulation.h"

/* Options of the placement simulation, see t/placement-simulation.h. */
struct bench_load {
	const char *name;
	double requests_s;
	double long_flows;
	double first_domain_load;
	uint32_t outage_ms;
	enum overload_strategy overload;
	unsigned int lost_domains;
};

static void print_row(const struct bench_load *load,
		      enum pick_strategy strategy, double remote_cost)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;

	init_site_options(&opt);
	opt.strategy = strategy;
	opt.remote_domain_cost = remote_cost;
	opt.requests_per_s = load->requests_s;
	opt.long_flows = load->long_flows;
	opt.first_domain_load = load->first_domain_load;
	opt.length_ms = 30000;
	opt.overload = load->overload;
	opt.outage_ms = load->outage_ms;
	opt.lost_domains = load->lost_domains;
	opt.lost_ms = 6000;
	simulate_placement(&opt, &r);
	printf("%-14s %-12s %5.1f %7u %7.4f %7.4f %6u %6u %7u %8u %6u %6.3f "
	       "%7u\n",
	       load->name, pick_strategy_name(strategy), remote_cost,
	       r.requests, (double)r.in_time / r.requests,
	       placement_score(&r, 0.3), r.late, r.shed, r.refused, r.waited,
	       r.failed, (double)r.remote_domain / r.requests, r.p99_ms);
}

/* A fleet whose upstreams are partly slow or failing for eight seconds. */
static void print_quality_row(const char *name, enum pick_strategy pick,
			      enum quality_strategy quality, double slow,
			      double failing)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;

	init_quality_options(&opt);
	opt.strategy = pick;
	opt.quality = quality;
	opt.slow_upstream_share = slow;
	opt.slow_factor = 6;
	opt.failing_upstream_share = failing;
	opt.error_share = 0.5;
	simulate_placement(&opt, &r);
	printf("%-14s %-12s %-10s %7u %6u %6u %6u %6u %8u %7u\n", name,
	       pick_strategy_name(pick), quality_strategy_name(quality),
	       r.requests, r.late, r.late_new, r.errors, r.unsafe_failed,
	       r.impaired_requests, r.p99_ms);
}

static void print_quality_rows(const char *name, double slow, double failing)
{
	static const struct {
		enum pick_strategy pick;
		enum quality_strategy quality;
	} ways[] = {
		{ PICK_BEST_OF_ALL, QUALITY_IGNORED },
		{ PICK_BEST_OF_ALL, QUALITY_COMPLETION },
		{ PICK_BEST_OF_TWO, QUALITY_IGNORED },
		{ PICK_BEST_OF_TWO, QUALITY_COMPLETION },
		{ PICK_BEST_OF_ALL, QUALITY_EJECTION },
	};

	for (size_t i = 0; i < sizeof(ways) / sizeof(ways[0]); i++)
		print_quality_row(name, ways[i].pick, ways[i].quality, slow,
				  failing);
}

int main(void)
{
	static const struct bench_load loads[] = {
		{ "usual", 150, 300, 1.0, 0, OVERLOAD_QUEUE, 0 },
		{ "heavy", 400, 450, 1.0, 0, OVERLOAD_QUEUE, 0 },
		{ "heavy, skewed", 400, 450, 1.8, 0, OVERLOAD_QUEUE, 0 },
		{ "after a gap", 300, 300, 1.0, 2000, OVERLOAD_QUEUE, 0 },
		{ "gap, place all", 300, 300, 1.0, 2000, OVERLOAD_PLACE, 0 },
		{ "half lost", 300, 400, 1.0, 0, OVERLOAD_QUEUE, 2 },
		{ "lost, admit", 300, 400, 1.0, 0, OVERLOAD_DEFER_ADMIT, 2 },
		{ "lost, place", 300, 400, 1.0, 0, OVERLOAD_PLACE, 2 },
	};
	static const double remote_costs[] = { 0, 0.3, 0.7, 1.0, 2.0, 5.0 };

	printf("load           way            far   asked  in aim   worth   "
	       "late   shed refused   waited failed    far  p99 ms\n");
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		for (int strategy = 0; strategy < PICK_STRATEGY_NR; strategy++)
			print_row(&loads[i], (enum pick_strategy)strategy, 0.7);
		for (size_t k = 0;
		     k < sizeof(remote_costs) / sizeof(remote_costs[0]); k++)
			if (remote_costs[k] != 0.7)
				print_row(&loads[i], PICK_BEST_OF_ALL,
					  remote_costs[k]);
	}
	printf("\nload           way          quality      asked   late  short "
	       "errors   lost impaired  p99 ms\n");
	print_quality_rows("all usual", 0, 0);
	print_quality_rows("fifth slow", 0.2, 0);
	print_quality_rows("fifth failing", 0, 0.2);
	return 0;
}
