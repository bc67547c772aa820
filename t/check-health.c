/*
 * Tests of fleet/health and fleet/limits. They guard against full load on an
 * upstream that is not warm, a cold or failing upstream that keeps its load,
 * trust in reports that requests contradict, and a partitioned instance that
 * publishes healthy upstreams as down.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/limits.h"
#include "t/health-harness.h"

static struct health_harness *harness;

static void setup(void)
{
	harness = create_health_harness(3, 2, 4);
}

static void teardown(void)
{
	destroy_health_harness(harness);
}

static enum upstream_state published(size_t u)
{
	return upstream_state(harness->view, nth_health_upstream(harness, u));
}

START_TEST(a_new_upstream_warms_in_steps)
{
	size_t u = nth_primary_upstream(harness, 0);
	uint64_t start = harness->now_ms;

	run_health(harness, 1500);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
	ck_assert_uint_eq(effective_slots(harness, u), 1);
	run_health(harness, HEALTH_COLD_MIN_MS);
	ck_assert_int_eq(published(u), UPSTREAM_WARMING);
	ck_assert_uint_lt(effective_slots(harness, u), 12);
	run_health(harness, HEALTH_RAMP_MS + 2000);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	ck_assert_uint_eq(effective_slots(harness, u), 12);
	ck_assert_uint_ge(harness->now_ms - start,
			  HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS);
}
END_TEST

START_TEST(a_new_start_id_is_cold_at_the_next_probe)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	harness->upstreams[u].start_id++;
	run_health(harness, 3 * HEALTH_PROBE_INTERVAL_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

/* In each of the next SECONDS, U sheds SHEDS requests and answers one. */
static void shed_for(size_t u, int seconds, int sheds)
{
	for (int s = 0; s < seconds; s++) {
		for (int i = 0; i < sheds; i++)
			observe_request(harness, u, HEALTH_SHED, 0);
		observe_request(harness, u, HEALTH_ANSWERED, 10);
		run_health(harness, 1000);
	}
}

START_TEST(sheds_trigger_a_probe_that_finds_cold)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	harness->upstreams[u].report = REPORT_COLD;
	for (int i = 0; i < HEALTH_EARLY_PROBE_SHEDS; i++)
		observe_request(harness, u, HEALTH_SHED, 0);
	run_health(harness, HEALTH_EARLY_PROBE_MS + HEALTH_TICK_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(sheds_outweigh_reports_of_free_slots)
{
	size_t u = nth_primary_upstream(harness, 0);
	int seconds = 2 * HEALTH_COLD_IDLE_REPORTS * HEALTH_LOAD_EVERY;

	run_health(harness, 30000);
	harness->upstreams[u].report = REPORT_WARM;
	harness->upstreams[u].running = 0;
	shed_for(u, seconds, HEALTH_EARLY_PROBE_SHEDS);
	ck_assert_int_ne(published(u), UPSTREAM_WARM);
}
END_TEST

START_TEST(a_busy_upstream_that_sheds_stays_warm)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	harness->upstreams[u].report = REPORT_WARM;
	harness->upstreams[u].running = 12;
	shed_for(u, 300, 20);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	ck_assert_int_eq(effective_state(harness, u), UPSTREAM_WARM);
}
END_TEST

START_TEST(a_latency_jump_turns_a_warm_upstream_cold)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	for (int i = 0; i < 40; i++)
		observe_request(harness, u, HEALTH_ANSWERED, 10 + i % 3);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	for (int i = 0; i < HEALTH_COLD_SLOW; i++)
		observe_request(harness, u, HEALTH_ANSWERED, 200);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(good_probes_do_not_outweigh_failing_requests)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	for (int i = 0; i < 300; i++) {
		observe_request(harness, u, HEALTH_LOST, 0);
		run_health(harness, 1000);
		if (i + 1 >= HEALTH_FALL_FAILURES)
			ck_assert_int_ne(effective_state(harness, u),
					 UPSTREAM_WARM);
	}
}
END_TEST

START_TEST(an_upstream_that_fails_every_other_request_is_not_warm)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	for (int i = 0; i < 200; i++) {
		observe_request(harness, u,
				i % 2 ? HEALTH_LOST : HEALTH_ANSWERED, 10);
		run_health(harness, 200);
		if (i > HEALTH_WINDOW_REQUESTS)
			ck_assert_int_ne(effective_state(harness, u),
					 UPSTREAM_WARM);
	}
}
END_TEST

START_TEST(a_report_of_cold_is_not_trusted_forever)
{
	size_t u = nth_primary_upstream(harness, 0);

	harness->upstreams[u].report = REPORT_COLD;
	for (int i = 0; i < 50; i++) {
		run_health(harness, 1000);
		observe_request(harness, u, HEALTH_ANSWERED, 10);
	}
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	harness->upstreams[u].report = REPORT_WARM;
	run_health(harness, 5000);
	harness->upstreams[u].report = REPORT_COLD;
	run_health(harness, 5000);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(a_dead_upstream_is_down_and_comes_back_cold)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	harness->upstreams[u].dead = true;
	run_health(harness,
		   (HEALTH_FALL_FAILURES + 2) * (HEALTH_PROBE_INTERVAL_MS +
						 HEALTH_PROBE_TIMEOUT_MS));
	ck_assert_int_eq(published(u), UPSTREAM_DOWN);
	ck_assert_uint_eq(effective_slots(harness, u), 0);
	harness->upstreams[u].dead = false;
	harness->upstreams[u].start_id++;
	for (int i = 0; published(u) == UPSTREAM_DOWN && i < 100; i++)
		run_health(harness, HEALTH_TICK_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
	ck_assert_uint_eq(effective_slots(harness, u), 1);
}
END_TEST

START_TEST(a_domain_that_returns_ramps_up_from_cold)
{
	size_t u = nth_primary_upstream(harness, 0);
	const struct upstream *up = nth_health_upstream(harness, u);
	size_t sent;

	run_health(harness, 30000);
	set_domain_out(harness->view, up->domain, true);
	ck_assert_uint_eq(effective_slots(harness, u), 0);
	run_health(harness, 1000);
	sent = harness->upstreams[u].probe_count;
	run_health(harness, 10000);
	ck_assert_uint_eq(harness->upstreams[u].probe_count, sent);
	set_domain_out(harness->view, up->domain, false);
	ck_assert_uint_eq(effective_slots(harness, u), 1);
	run_health(harness, 2000);
	ck_assert_uint_eq(effective_slots(harness, u), 1);
	run_health(harness, 30000);
	ck_assert_uint_eq(effective_slots(harness, u), 12);
}
END_TEST

START_TEST(an_upstream_that_reports_draining_gets_no_requests)
{
	size_t u = nth_primary_upstream(harness, 0);

	run_health(harness, 30000);
	harness->upstreams[u].report = REPORT_DRAINING;
	run_health(harness, 3 * HEALTH_PROBE_INTERVAL_MS);
	ck_assert_int_eq(published(u), UPSTREAM_DRAINING);
	ck_assert_uint_eq(effective_slots(harness, u), 0);
}
END_TEST

START_TEST(a_partitioned_instance_does_not_publish_down)
{
	run_health(harness, 30000);
	for (size_t u = 0; u < harness->upstream_nr; u++)
		harness->upstreams[u].dead = true;
	run_health(harness, 60000);
	for (size_t u = 0; u < harness->upstream_nr; u++) {
		ck_assert_int_ne(published(u), UPSTREAM_DOWN);
		if (harness->upstreams[u].probe_count)
			ck_assert_int_eq(effective_state(harness, u),
					 UPSTREAM_DOWN);
	}
}
END_TEST

START_TEST(a_domain_without_instances_is_probed_by_others)
{
	size_t u = find_remote_upstream(harness);

	run_health(harness, 5000);
	ck_assert_uint_eq(harness->upstreams[u].probe_count, 0);
	kill_domain_members(harness, nth_health_upstream(harness, u)->domain);
	run_health(harness, 60000);
	ck_assert_uint_gt(harness->remote_probe_count, 0);
}
END_TEST

START_TEST(an_unprobed_flow_upstream_reaches_its_full_limit)
{
	struct limits *ls = create_limits(harness->view, NULL);
	const struct service *sv = snapshot_service(harness->snapshot, 0);
	struct service flows = *sv;
	const struct upstream *up = &sv->upstreams[0];

	flows.kind = SERVICE_FLOWS;
	ck_assert_uint_eq(upstream_connections(ls, &flows, up, 1000),
			  up->cold_connections);
	ck_assert_uint_eq(upstream_connections(ls, &flows, up,
					       1000 + HEALTH_COLD_MIN_MS +
						       HEALTH_RAMP_MS),
			  up->connections);
	ck_assert_uint_eq(upstream_slots(ls, sv, up, 900000), up->cold_slots);
	destroy_limits(ls);
}
END_TEST

START_TEST(an_unprobeable_upstream_warms_by_time)
{
	struct health_assessment ha;

	init_assessment(&ha, 1, 2, UPSTREAM_UNKNOWN, 1000);
	ha.role = HEALTH_PRIMARY;
	ha.unprobeable = true;
	for (uint64_t t = 1000; t < 1000 + HEALTH_COLD_MIN_MS; t += 200) {
		assess_tick(&ha, harness->chart, t);
		ck_assert_int_eq(ha.state, UPSTREAM_UNKNOWN);
	}
	assess_tick(&ha, harness->chart, 1000 + HEALTH_COLD_MIN_MS);
	ck_assert_int_eq(ha.state, UPSTREAM_WARMING);
	assess_tick(&ha, harness->chart,
		    1000 + HEALTH_COLD_MIN_MS + HEALTH_RAMP_MS);
	ck_assert_int_eq(ha.state, UPSTREAM_WARM);
}
END_TEST

START_TEST(a_primary_repeats_an_unchanged_state)
{
	size_t u = nth_primary_upstream(harness, 0);
	size_t before;

	run_health(harness, 30000);
	before = harness->upstreams[u].repeated_count;
	run_health(harness, 3 * HEALTH_REPUBLISH_MS);
	ck_assert_uint_ge(harness->upstreams[u].repeated_count, before + 2);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("health");
	TCase *tc = tcase_create("health");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_new_upstream_warms_in_steps);
	tcase_add_test(tc, a_new_start_id_is_cold_at_the_next_probe);
	tcase_add_test(tc, sheds_trigger_a_probe_that_finds_cold);
	tcase_add_test(tc, sheds_outweigh_reports_of_free_slots);
	tcase_add_test(tc, a_busy_upstream_that_sheds_stays_warm);
	tcase_add_test(tc, a_latency_jump_turns_a_warm_upstream_cold);
	tcase_add_test(tc, good_probes_do_not_outweigh_failing_requests);
	tcase_add_test(tc,
		       an_upstream_that_fails_every_other_request_is_not_warm);
	tcase_add_test(tc, a_report_of_cold_is_not_trusted_forever);
	tcase_add_test(tc, a_dead_upstream_is_down_and_comes_back_cold);
	tcase_add_test(tc, a_domain_that_returns_ramps_up_from_cold);
	tcase_add_test(tc, an_upstream_that_reports_draining_gets_no_requests);
	tcase_add_test(tc, a_partitioned_instance_does_not_publish_down);
	tcase_add_test(tc, a_domain_without_instances_is_probed_by_others);
	tcase_add_test(tc, an_unprobed_flow_upstream_reaches_its_full_limit);
	tcase_add_test(tc, an_unprobeable_upstream_warms_by_time);
	tcase_add_test(tc, a_primary_repeats_an_unchanged_state);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
