/*
 * Prints the table of docs/design/platform.md on overload: the outcomes of each
 * way to treat SYNs while all upstreams are crowded.
 */

#include <stdio.h>

#include "t/placement-simulation.h"

struct bench_load {
	const char *name;
	double requests_per_s;
	double long_flows;
	unsigned int lost_domains;
	unsigned int lost_upstreams;
	double burst;
	uint32_t outage_ms;
};

static void print_row(const struct bench_load *load,
		      enum overload_strategy overload, uint32_t wait_limit_ms)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;

	init_site_options(&opt);
	opt.overload = overload;
	opt.wait_limit_ms = wait_limit_ms;
	opt.requests_per_s = load->requests_per_s;
	opt.long_flows = load->long_flows;
	opt.lost_domains = load->lost_domains;
	opt.lost_upstreams = load->lost_upstreams;
	opt.lost_ms = 8000;
	opt.burst = load->burst;
	opt.urgent_share = 0.25;
	opt.outage_ms = load->outage_ms;
	opt.length_ms = 30000;
	simulate_placement(&opt, &r);
	printf("%-12s %-13s %5u %7u %7.4f %7.4f %6u %6u %7u %6u %6u %7u %7u\n",
	       load->name, overload_strategy_name(overload), wait_limit_ms,
	       r.requests, (double)r.in_time / r.requests,
	       placement_score(&r, 0.3), r.late, r.shed, r.refused, r.failed,
	       r.urgent_failed, r.refusal_p95_ms, r.p99_ms);
}

static void print_outcome(const char *name, const struct sim_outcome *o)
{
	printf("  %-10s %6u %7.4f %6u %6u %7u %7.4f\n", name, o->requests,
	       (double)o->in_time / o->requests, o->late, o->lost, o->refused,
	       o->refused ? (double)o->refused_soon / o->refused : 1.0);
}

/* The outcomes of the fleet's overload, by route and by failure domain. */
static void print_fleet(const char *name,
			const struct placement_sim_options *opt)
{
	static const char *const domains[] = { "domain 0", "domain 1",
					       "domain 2" };
	struct placement_sim_result r;
	const struct sim_outcome *usual = &r.by_route[SIM_USUAL];
	const struct sim_outcome *urgent = &r.by_route[SIM_URGENT];
	uint32_t in_time;
	uint32_t late;

	simulate_placement(opt, &r);
	in_time = usual->in_time + urgent->in_time;
	late = usual->late + urgent->late;
	printf("%s: %.4f of the answers in aim, worth %.4f, shed %u, "
	       "refused while idle %u, before less urgent ones %u, "
	       "other domain %.3f\n",
	       name, (double)in_time / (in_time + late),
	       (usual->in_time + 0.1 * usual->late +
		2 * (urgent->in_time + 0.1 * urgent->late)) /
		       (usual->requests + 2.0 * urgent->requests),
	       r.shed, r.refused_idle, r.refused_before_less_urgent,
	       (double)r.remote_domain / r.requests);
	print_outcome("usual", usual);
	print_outcome("urgent", urgent);
	for (size_t i = 0; i < sizeof(domains) / sizeof(domains[0]); i++)
		print_outcome(domains[i], &r.by_domain[i]);
}

static void print_fleet_rows(void)
{
	struct placement_sim_options opt;

	printf("\n  route       asked  in aim   late   lost refused  told "
	       "within a quarter of the target\n");
	init_fleet_options(&opt);
	print_fleet("fleet, x 2.5, some slow", &opt);
	opt.slow_upstream_share = 0;
	print_fleet("fleet, x 2.5", &opt);
	opt.burst = 1;
	print_fleet("fleet, usual demand", &opt);
}

int main(void)
{
	static const struct bench_load loads[] = {
		{ "burst", 300, 300, 0, 0, 2.5, 0 },
		{ "burst, lost", 250, 300, 1, 3, 2.5, 0 },
		{ "half lost", 300, 400, 2, 0, 1, 0 },
		{ "after a gap", 300, 300, 0, 0, 1, 2000 },
	};
	static const uint32_t wait_limits_ms[] = { 50, 200, 400, 800, 1200 };

	printf("load         way           limit   asked  in aim   worth   "
	       "late "
	       "  shed refused failed urgent told p95  p99 ms\n");
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		for (int way = 0; way < OVERLOAD_STRATEGY_NR; way++)
			print_row(&loads[i], (enum overload_strategy)way, 0);
		for (size_t k = 0;
		     k < sizeof(wait_limits_ms) / sizeof(wait_limits_ms[0]);
		     k++) {
			print_row(&loads[i], OVERLOAD_QUEUE, wait_limits_ms[k]);
			print_row(&loads[i], OVERLOAD_QUEUE_OLDEST,
				  wait_limits_ms[k]);
		}
	}
	print_fleet_rows();
	return 0;
}
