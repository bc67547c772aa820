/* Tests of fleet/health: probes, sudden cold, misleading reports, limits. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/limits.h"
#include "t/health-bed.h"

static struct health_bed *bed;

static void setup(void)
{
	bed = create_health_bed(3, 2, 4);
}

static void teardown(void)
{
	destroy_health_bed(bed);
}

static enum upstream_state published(size_t u)
{
	return upstream_state(bed->view, bed_upstream(bed, u));
}

START_TEST(a_new_upstream_warms_in_steps)
{
	size_t u = bed_primary(bed, 0);
	uint64_t start = bed->now;

	run_bed(bed, 1500);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
	ck_assert_uint_eq(bed_slots(bed, u), 1);
	run_bed(bed, HEALTH_COLD_MS);
	ck_assert_int_eq(published(u), UPSTREAM_WARMING);
	ck_assert_uint_lt(bed_slots(bed, u), 12);
	run_bed(bed, HEALTH_RAMP_MS + 2000);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	ck_assert_uint_eq(bed_slots(bed, u), 12);
	ck_assert_uint_ge(bed->now - start, HEALTH_COLD_MS + HEALTH_RAMP_MS);
}
END_TEST

START_TEST(a_new_start_id_is_cold_at_the_next_probe)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	bed->target[u].start_id++;
	run_bed(bed, 3 * HEALTH_PROBE_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

/* SHEDS of upstream U in each of the next SECONDS. */
static void shed_for(size_t u, int seconds, int sheds)
{
	for (int s = 0; s < seconds; s++) {
		for (int i = 0; i < sheds; i++)
			bed_observe(bed, u, HEALTH_SHED, 0);
		bed_observe(bed, u, HEALTH_ANSWERED, 10);
		run_bed(bed, 1000);
	}
}

START_TEST(sheds_of_one_that_says_cold_are_heard_at_once)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	bed->target[u].report = REPORT_COLD;
	for (int i = 0; i < HEALTH_SHEDS_WARM; i++)
		bed_observe(bed, u, HEALTH_SHED, 0);
	run_bed(bed, HEALTH_ASK_AGAIN_MS + HEALTH_TICK_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(sheds_outweigh_a_report_of_free_slots)
{
	size_t u = bed_primary(bed, 0);
	int seconds = 2 * HEALTH_EMPTY_REPORTS * HEALTH_LOAD_EACH;

	run_bed(bed, 30000);
	bed->target[u].report = REPORT_WARM;
	bed->target[u].running = 0;
	shed_for(u, seconds, HEALTH_SHEDS_WARM);
	ck_assert_int_ne(published(u), UPSTREAM_WARM);
}
END_TEST

START_TEST(a_busy_upstream_that_sheds_borrowers_stays_warm)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	bed->target[u].report = REPORT_WARM;
	bed->target[u].running = 12;
	shed_for(u, 300, 20);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	ck_assert_int_eq(bed_used(bed, u), UPSTREAM_WARM);
}
END_TEST

START_TEST(a_latency_jump_turns_a_warm_upstream_cold)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	for (int i = 0; i < 40; i++)
		bed_observe(bed, u, HEALTH_ANSWERED, 10 + i % 3);
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	for (int i = 0; i < HEALTH_SLOW; i++)
		bed_observe(bed, u, HEALTH_ANSWERED, 200);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(good_health_does_not_outweigh_failing_requests)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	for (int i = 0; i < 300; i++) {
		bed_observe(bed, u, HEALTH_LOST, 0);
		run_bed(bed, 1000);
		if (i + 1 >= HEALTH_FALL)
			ck_assert_int_ne(bed_used(bed, u), UPSTREAM_WARM);
	}
}
END_TEST

START_TEST(an_upstream_that_fails_every_other_request_is_not_warm)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	for (int i = 0; i < 200; i++) {
		bed_observe(bed, u, i % 2 ? HEALTH_LOST : HEALTH_ANSWERED, 10);
		run_bed(bed, 200);
		if (i > HEALTH_WINDOW)
			ck_assert_int_ne(bed_used(bed, u), UPSTREAM_WARM);
	}
}
END_TEST

START_TEST(a_report_of_cold_is_not_believed_for_ever)
{
	size_t u = bed_primary(bed, 0);

	bed->target[u].report = REPORT_COLD;
	for (int i = 0; i < 50; i++) {
		run_bed(bed, 1000);
		bed_observe(bed, u, HEALTH_ANSWERED, 10);
	}
	ck_assert_int_eq(published(u), UPSTREAM_WARM);
	bed->target[u].report = REPORT_WARM;
	run_bed(bed, 5000);
	bed->target[u].report = REPORT_COLD;
	run_bed(bed, 5000);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
}
END_TEST

START_TEST(a_dead_upstream_is_down_and_comes_back_cold)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	bed->target[u].dead = true;
	run_bed(bed, (HEALTH_FALL + 2) * (HEALTH_PROBE_MS + HEALTH_TIMEOUT_MS));
	ck_assert_int_eq(published(u), UPSTREAM_DOWN);
	ck_assert_uint_eq(bed_slots(bed, u), 0);
	bed->target[u].dead = false;
	bed->target[u].start_id++;
	for (int i = 0; published(u) == UPSTREAM_DOWN && i < 100; i++)
		run_bed(bed, HEALTH_TICK_MS);
	ck_assert_int_eq(published(u), UPSTREAM_COLD);
	ck_assert_uint_eq(bed_slots(bed, u), 1);
}
END_TEST

START_TEST(a_domain_that_returns_climbs_from_cold)
{
	size_t u = bed_primary(bed, 0);
	const struct upstream *up = bed_upstream(bed, u);
	size_t sent;

	run_bed(bed, 30000);
	set_domain_out(bed->view, up->domain, true);
	ck_assert_uint_eq(bed_slots(bed, u), 0);
	run_bed(bed, 1000);
	sent = bed->target[u].probes;
	run_bed(bed, 10000);
	ck_assert_uint_eq(bed->target[u].probes, sent);
	set_domain_out(bed->view, up->domain, false);
	ck_assert_uint_eq(bed_slots(bed, u), 1);
	run_bed(bed, 2000);
	ck_assert_uint_eq(bed_slots(bed, u), 1);
	run_bed(bed, 30000);
	ck_assert_uint_eq(bed_slots(bed, u), 12);
}
END_TEST

START_TEST(an_upstream_that_says_draining_gets_nothing_new)
{
	size_t u = bed_primary(bed, 0);

	run_bed(bed, 30000);
	bed->target[u].report = REPORT_DRAINING;
	run_bed(bed, 3 * HEALTH_PROBE_MS);
	ck_assert_int_eq(published(u), UPSTREAM_DRAINING);
	ck_assert_uint_eq(bed_slots(bed, u), 0);
}
END_TEST

START_TEST(a_cut_instance_does_not_publish_down)
{
	run_bed(bed, 30000);
	for (size_t u = 0; u < bed->upstream_nr; u++)
		bed->target[u].dead = true;
	run_bed(bed, 60000);
	for (size_t u = 0; u < bed->upstream_nr; u++) {
		ck_assert_int_ne(published(u), UPSTREAM_DOWN);
		if (bed->target[u].probes)
			ck_assert_int_eq(bed_used(bed, u), UPSTREAM_DOWN);
	}
}
END_TEST

START_TEST(a_domain_without_instances_is_probed_by_others)
{
	size_t u = bed_elsewhere(bed);

	run_bed(bed, 5000);
	ck_assert_uint_eq(bed->target[u].probes, 0);
	kill_bed_domain(bed, bed_upstream(bed, u)->domain);
	run_bed(bed, 60000);
	ck_assert_uint_gt(bed->probed_elsewhere, 0);
}
END_TEST

START_TEST(an_unprobed_upstream_is_warm_after_its_cold_time)
{
	struct limits *ls = create_limits(bed->view, NULL);
	const struct service *sv = snapshot_service(bed->snapshot, 0);
	struct service flows = *sv;
	const struct upstream *up = &sv->upstreams[0];

	flows.kind = SERVICE_FLOWS;
	ck_assert_uint_eq(upstream_connections(ls, &flows, up, 1000),
			  up->cold_connections);
	ck_assert_uint_eq(
		upstream_connections(ls, &flows, up,
				     1000 + HEALTH_COLD_MS + HEALTH_RAMP_MS),
		up->connections);
	ck_assert_uint_eq(upstream_slots(ls, sv, up, 900000), up->cold_slots);
	destroy_limits(ls);
}
END_TEST

START_TEST(an_upstream_that_nobody_can_probe_warms_by_time)
{
	struct judge j;

	init_judge(&j, 1, 2, UPSTREAM_UNKNOWN, 1000);
	j.role = HEALTH_PRIMARY;
	j.unprobed = true;
	for (uint64_t t = 1000; t < 1000 + HEALTH_COLD_MS; t += 200) {
		judge_tick(&j, bed->chart, t);
		ck_assert_int_eq(j.state, UPSTREAM_UNKNOWN);
	}
	judge_tick(&j, bed->chart, 1000 + HEALTH_COLD_MS);
	ck_assert_int_eq(j.state, UPSTREAM_WARMING);
	judge_tick(&j, bed->chart, 1000 + HEALTH_COLD_MS + HEALTH_RAMP_MS);
	ck_assert_int_eq(j.state, UPSTREAM_WARM);
}
END_TEST

START_TEST(a_new_first_prober_states_again_what_the_dead_one_said)
{
	size_t u = bed_primary(bed, 0);
	size_t before;

	run_bed(bed, 30000);
	before = bed->target[u].restated;
	run_bed(bed, 3 * HEALTH_RESTATE_MS);
	ck_assert_uint_ge(bed->target[u].restated, before + 2);
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
	tcase_add_test(tc, sheds_of_one_that_says_cold_are_heard_at_once);
	tcase_add_test(tc, sheds_outweigh_a_report_of_free_slots);
	tcase_add_test(tc, a_busy_upstream_that_sheds_borrowers_stays_warm);
	tcase_add_test(tc, a_latency_jump_turns_a_warm_upstream_cold);
	tcase_add_test(tc, good_health_does_not_outweigh_failing_requests);
	tcase_add_test(tc,
		       an_upstream_that_fails_every_other_request_is_not_warm);
	tcase_add_test(tc, a_report_of_cold_is_not_believed_for_ever);
	tcase_add_test(tc, a_dead_upstream_is_down_and_comes_back_cold);
	tcase_add_test(tc, a_domain_that_returns_climbs_from_cold);
	tcase_add_test(tc, an_upstream_that_says_draining_gets_nothing_new);
	tcase_add_test(tc, a_cut_instance_does_not_publish_down);
	tcase_add_test(tc, a_domain_without_instances_is_probed_by_others);
	tcase_add_test(tc, an_unprobed_upstream_is_warm_after_its_cold_time);
	tcase_add_test(tc, an_upstream_that_nobody_can_probe_warms_by_time);
	tcase_add_test(tc,
		       a_new_first_prober_states_again_what_the_dead_one_said);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
