/* Tests of part 4 of docs/design/hard-load.md: slow and failing upstreams. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/cookie-harness.h"
#include "t/placement-simulation.h"

static struct cookie_instance in;
static service_index_t board;
static GArray *checks;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	board = intern_service(in.catalog, "board");
	update_quotas(in.quotas, 0);
	checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
}

static void teardown(void)
{
	release_cookie_instance(&in);
	g_array_free(checks, TRUE);
}

static upstream_index_t put_upstream(const char *name, const char *domain,
				     uint64_t now_ms)
{
	struct upstream_report r = make_upstream_report(name, domain);

	return put_test_upstream(&in, &r, now_ms);
}

/* Reports that half of the responses of NR were suspicious, the last now. */
static void receive_suspicious_report(uint64_t member, upstream_index_t nr,
				      uint64_t now_ms)
{
	/* typical times, 8 responses, 4 suspicious ones, age 0 */
	struct upstream_load_row row = { get_upstream(in.catalog, nr)->cookie,
					 0,
					 0,
					 0,
					 HEALTH_GOOD,
					 0x4810 };

	handle_peer_loads(in.placer, member, &row, 1, now_ms);
	tick_placer(in.placer, now_ms, checks);
}

/* Number of 40 new flows that are placed on NR. */
static unsigned int count_flows_to(upstream_index_t nr, bool repeatable,
				   uint64_t now_ms)
{
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS,
					     .repeatable = repeatable };
	unsigned int n = 0;

	for (int i = 0; i < 40; i++)
		n += place_new_flow(in.placer, &request, now_ms).upstream == nr;
	return n;
}

static void put_compared_upstreams(upstream_index_t up[4])
{
	static const char *const names[] = { "u-a", "u-b", "u-c", "u-d" };

	set_placer_quality(in.placer, true);
	set_test_member(&in, "front-2", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-3", "south", MEMBER_ALIVE);
	set_test_member(&in, "front-4", "south", MEMBER_ALIVE);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		up[i] = put_upstream(names[i], "north", 0);
}

/* One instance may mistake usual responses; two hardly do at once. */
START_TEST(one_instance_alone_makes_no_upstream_failing)
{
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_suspicious_report(42, up[0], 1000);
	ck_assert_uint_gt(count_flows_to(up[0], false, 1000), 0);
	receive_suspicious_report(43, up[0], 1100);
	ck_assert_uint_eq(count_flows_to(up[0], false, 1100), 0);
	ck_assert_uint_lt(count_flows_to(up[0], true, 1100), 8);
}
END_TEST

/* Without new errors a verdict ends, so that a recovered one is used again. */
START_TEST(failing_upstream_is_used_again_without_errors)
{
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_suspicious_report(42, up[0], 1000);
	receive_suspicious_report(43, up[0], 1000);
	tick_placer(in.placer, 2400, checks);
	ck_assert_uint_eq(count_flows_to(up[0], false, 2400), 0);
	tick_placer(in.placer, 2600, checks);
	ck_assert_uint_gt(count_flows_to(up[0], false, 2600), 0);
}
END_TEST

/* MEMBER reports about UP. */
static void receive_reports(uint64_t member, const upstream_index_t up[4],
			    const uint32_t reports[4], uint64_t now_ms)
{
	struct upstream_load_row rows[4] = { { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		rows[i].cookie = get_upstream(in.catalog, up[i])->cookie;
		rows[i].quality = reports[i];
	}
	handle_peer_loads(in.placer, member, rows, 4, now_ms);
	tick_placer(in.placer, now_ms, checks);
}

/*
 * Two of 30 responses are many if the others have none, and few if these have
 * two of 90. Guards against verdicts by chance on routes of various sizes.
 */
START_TEST(few_suspicious_responses_count_if_the_others_have_none)
{
	static const uint32_t one_of_first[4] = { 0x1f10, 0x0f10, 0x0f10,
						  0x0f10 };
	static const uint32_t one_of_three[4] = { 0x1f10, 0x1f10, 0x1f10,
						  0x0f10 };
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_reports(42, up, one_of_three, 900);
	receive_reports(43, up, one_of_first, 1000);
	ck_assert_uint_gt(count_flows_to(up[0], false, 1000), 0);
	receive_reports(42, up, one_of_first, 1100);
	ck_assert_uint_eq(count_flows_to(up[0], false, 1100), 0);
}
END_TEST

/* A second verdict lasts longer, but a recovered one is used within 2 s. */
START_TEST(upstream_that_fails_again_is_avoided_longer)
{
	static const uint32_t fails[4] = { 0x4810, 0x0f10, 0x0f10, 0x0f10 };
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_reports(42, up, fails, 900);
	receive_reports(43, up, fails, 1000);
	tick_placer(in.placer, 2600, checks);
	ck_assert_uint_gt(count_flows_to(up[0], false, 2600), 0);
	receive_reports(42, up, fails, 2900);
	receive_reports(43, up, fails, 3000);
	tick_placer(in.placer, 4600, checks);
	ck_assert_uint_eq(count_flows_to(up[0], false, 4600), 0);
	tick_placer(in.placer, 4700, checks);
	ck_assert_uint_gt(count_flows_to(up[0], false, 4700), 0);
}
END_TEST

/* If half of the upstreams fail, the others cannot bear the load. */
START_TEST(many_failing_upstreams_are_used_alike)
{
	upstream_index_t up[4];
	unsigned int placed;

	put_compared_upstreams(up);
	for (uint64_t member = 42; member <= 43; member++) {
		struct upstream_load_row rows[2] = { { 0 } };

		for (size_t i = 0; i < 2; i++) {
			rows[i].cookie =
				get_upstream(in.catalog, up[i])->cookie;
			rows[i].quality = 0x4810;
		}
		handle_peer_loads(in.placer, member, rows, 2, 1000);
	}
	tick_placer(in.placer, 1000, checks);
	placed = count_flows_to(up[0], false, 1000) +
		 count_flows_to(up[1], false, 1000);
	ck_assert_uint_gt(placed, 8);
}
END_TEST

/* Without slow upstreams no choice may differ. */
START_TEST(usual_upstreams_are_chosen_by_load_only)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result by_load;
		struct placement_sim_result r;

		init_quality_options(&opt);
		opt.seed = seed;
		simulate_placement(&opt, &by_load);
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		ck_assert_mem_eq(&r, &by_load, sizeof(r));
	}
}
END_TEST

/* One instance whose observations are wrong must not divert all others. */
START_TEST(one_instance_alone_makes_no_upstream_slow)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 0, 0, 0, HEALTH_GOOD, 0xfff
	};

	set_placer_quality(in.placer, true);
	set_test_member(&in, "front-2", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-3", "south", MEMBER_ALIVE);
	set_test_member(&in, "front-4", "south", MEMBER_ALIVE);
	put_upstream("u-b", "north", 0);
	handle_peer_loads(in.placer, 42, &row, 1, 1000);
	tick_placer(in.placer, 1000, checks);
	ck_assert_double_eq(upstream_slowness(in.placer, a), 1);
	handle_peer_loads(in.placer, 43, &row, 1, 1100);
	tick_placer(in.placer, 1100, checks);
	ck_assert_double_gt(upstream_slowness(in.placer, a), 4);
	/* what peers reported is forgotten with them */
	tick_placer(in.placer, 9000, checks);
	ck_assert_double_eq(upstream_slowness(in.placer, a), 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("upstream-quality");
	TCase *tc = tcase_create("upstream-quality");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	/* six simulations of 24 s under sanitizers */
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, one_instance_alone_makes_no_upstream_failing);
	tcase_add_test(tc, failing_upstream_is_used_again_without_errors);
	tcase_add_test(tc,
		       few_suspicious_responses_count_if_the_others_have_none);
	tcase_add_test(tc, upstream_that_fails_again_is_avoided_longer);
	tcase_add_test(tc, many_failing_upstreams_are_used_alike);
	tcase_add_test(tc, usual_upstreams_are_chosen_by_load_only);
	tcase_add_test(tc, one_instance_alone_makes_no_upstream_slow);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
