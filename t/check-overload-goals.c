/*
 * Goals of admission: those that docs/design/hard-load.md states for a fleet
 * whose callers want 2.5 times the usual while 30 % of the upstreams are four
 * times as slow, and that of docs/design/shifted-work.md for callers who want
 * 1.11 times what the slots bear. They are tests of their own since
 * KNOWN-RED.txt lists some of them, and must not hide other failures.
 */

#include <check.h>
#include <stdlib.h>

#include "t/placement-simulation.h"

#define SEEDS 3

static struct placement_sim_result simulate_fleet(uint32_t seed)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;

	init_fleet_options(&opt);
	opt.seed = seed;
	simulate_placement(&opt, &r);
	return r;
}

/* Guards against urgent requests that wait behind others or are shed. */
START_TEST(urgent_requests_are_answered_in_target)
{
	struct placement_sim_result r = simulate_fleet((uint32_t)_i);
	const struct sim_outcome *urgent = &r.by_route[SIM_URGENT];

	ck_assert_double_ge(urgent->in_time, 0.97 * urgent->requests);
}
END_TEST

/* Guards against refusals because of loads that are not there any more. */
START_TEST(nobody_is_refused_while_slots_are_idle)
{
	ck_assert_uint_eq(simulate_fleet((uint32_t)_i).refused_idle, 0);
}
END_TEST

/* Guards against a domain whose callers are refused more than others. */
START_TEST(domains_get_the_same_share)
{
	struct placement_sim_result r = simulate_fleet((uint32_t)_i);
	struct placement_sim_options opt;
	double least = 1;
	double most = 0;

	init_fleet_options(&opt);
	for (size_t i = 0; i < opt.domain_nr; i++) {
		const struct sim_outcome *o = &r.by_domain[i];
		double share = (double)o->in_time / o->requests;

		least = share < least ? share : least;
		most = share > most ? share : most;
	}
	ck_assert_double_le(most - least, 0.03);
}
END_TEST

/* Guards against urgent callers who are refused as often as the others. */
START_TEST(urgent_requests_go_first_in_slight_overload)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;
	const struct sim_outcome *urgent = &r.by_route[SIM_URGENT];
	double slots;

	init_fleet_options(&opt);
	opt.seed = (uint32_t)_i;
	opt.slow_upstream_share = 0;
	opt.burst = 1;
	opt.lost_ms = 0;
	opt.urgent_share = 0.4;
	opt.target_ms = 700;
	opt.request_ms = 170;
	opt.urgent_request_ms = 230;
	slots = opt.domain_nr * opt.upstreams_per_domain * opt.slots;
	opt.requests_per_s = 1.11 * slots * 1000 /
			     ((1 - opt.urgent_share) * opt.request_ms +
			      opt.urgent_share * opt.urgent_request_ms);
	simulate_placement(&opt, &r);
	ck_assert_double_ge(urgent->in_time, 0.85 * urgent->requests);
	ck_assert_uint_eq(r.refused_idle, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("overload-goals");
	TCase *tc = tcase_create("overload-goals");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, urgent_requests_are_answered_in_target, 1,
			    SEEDS + 1);
	tcase_add_loop_test(tc, nobody_is_refused_while_slots_are_idle, 1,
			    SEEDS + 1);
	tcase_add_loop_test(tc, domains_get_the_same_share, 1, SEEDS + 1);
	tcase_add_loop_test(tc, urgent_requests_go_first_in_slight_overload, 1,
			    SEEDS + 1);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
