/*
 * Goals of docs/design/hard-load.md for slow and failing upstreams, in a program
 * of their own since KNOWN-RED.txt lists it.
 */

#include <check.h>
#include <stdlib.h>

#include "t/placement-simulation.h"

/*
 * A fifth of the upstreams is six times as slow for eight seconds. They must
 * get less work before their queues show it, and work again afterwards.
 */
START_TEST(slow_upstreams_get_less_work)
{
	struct placement_sim_result by_load = { 0 };
	struct placement_sim_result sum = { 0 };

	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result r;

		init_quality_options(&opt);
		opt.seed = seed;
		opt.slow_upstream_share = 0.2;
		opt.slow_factor = 6;
		simulate_placement(&opt, &r);
		by_load.impaired_requests += r.impaired_requests;
		by_load.recovered_requests += r.recovered_requests;
		by_load.late_new += r.late_new;
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		sum.impaired_requests += r.impaired_requests;
		sum.recovered_requests += r.recovered_requests;
		sum.late_new += r.late_new;
	}
	ck_assert_uint_le(3 * sum.impaired_requests,
			  2 * by_load.impaired_requests);
	ck_assert_uint_gt(sum.impaired_requests, 0);
	ck_assert_uint_lt(sum.late_new, by_load.late_new);
	ck_assert_uint_ge(3 * sum.recovered_requests,
			  2 * by_load.recovered_requests);
}
END_TEST

/*
 * A fifth of the upstreams answers half of its requests with an error after
 * 3 ms for eight seconds, and looks idle. Requests that are not retried must
 * not be lost by it, and the upstreams must be used again afterwards.
 */
START_TEST(failing_upstreams_get_few_unsafe_requests)
{
	struct placement_sim_result by_load = { 0 };
	struct placement_sim_result sum = { 0 };

	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result r;

		init_quality_options(&opt);
		opt.seed = seed;
		opt.failing_upstream_share = 0.2;
		opt.error_share = 0.5;
		simulate_placement(&opt, &r);
		by_load.unsafe_failed += r.unsafe_failed;
		by_load.recovered_requests += r.recovered_requests;
		by_load.late += r.late;
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		sum.unsafe_failed += r.unsafe_failed;
		sum.recovered_requests += r.recovered_requests;
		sum.late += r.late;
	}
	/* the goal of docs/design/hard-load.md, part 4: 80 % fewer */
	ck_assert_msg(5 * sum.unsafe_failed <= by_load.unsafe_failed,
		      "%u unsafe requests lost, %u by load only",
		      sum.unsafe_failed, by_load.unsafe_failed);
	ck_assert_uint_ge(3 * sum.recovered_requests,
			  2 * by_load.recovered_requests);
	ck_assert_uint_lt(10 * sum.late, 12 * by_load.late);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quality-goals");
	TCase *tc = tcase_create("quality-goals");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, slow_upstreams_get_less_work);
	tcase_add_test(tc, failing_upstreams_get_few_unsafe_requests);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
