/*
 * Tests of membership, failure detection, and the distribution of
 * configuration, domain and upstream records among simulated instances. They
 * guard against views that stay different, deaths that are missed or wrongly
 * declared, epochs that decrease, and changes that spread too slowly.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/fleet-simulation.h"

static struct fleet_simulation *fs;

static void start_fleets(size_t nr, size_t domain_nr)
{
	struct fleet_simulation_options o = { .seed = 7,
					      .nr = nr,
					      .domain_nr = domain_nr,
					      .delay_min_ms = 1,
					      .delay_max_ms = 3,
					      .seed_nr = 3 };

	fs = create_fleet_simulation(&o);
	for (size_t i = 0; i < nr; i++)
		start_instance(fs, i);
	run_fleets(fs, 5000);
}

static void teardown(void)
{
	if (fs)
		destroy_fleet_simulation(fs);
	fs = NULL;
}

/* Expects every running instance to see all running instances as alive. */
static void expect_all_alive(size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		for (size_t j = 0; is_running(fs, i) && j < nr; j++)
			if (is_running(fs, j))
				ck_assert_msg(seen_member_state(fs, i, j) ==
						      MEMBER_ALIVE,
					      "%zu sees %zu as %d", i, j,
					      (int)seen_member_state(fs, i, j));
}

static void expect_epoch(size_t nr, uint64_t epoch)
{
	for (size_t i = 0; i < nr; i++)
		if (is_running(fs, i))
			ck_assert_uint_eq(epoch_in_force(fs, i), epoch);
}

START_TEST(all_instances_find_each_other_through_seeds)
{
	start_fleets(27, 3);
	expect_all_alive(27);
	for (size_t i = 0; i < 27; i++)
		ck_assert(is_view_settled(simulated_view(fs, i)));
}
END_TEST

START_TEST(a_change_reaches_all_instances_within_100_ms)
{
	start_fleets(27, 3);
	read_epoch_from_store(fs, 5, 1);
	run_fleets(fs, 3000);
	expect_epoch(27, 1);
	read_epoch_from_store(fs, 9, 2);
	run_fleets(fs, 100);
	expect_epoch(27, 2);
}
END_TEST

START_TEST(a_new_instance_gets_its_state_from_peers)
{
	start_fleets(9, 3);
	kill_instance(fs, 8);
	read_epoch_from_store(fs, 1, 4);
	read_domain_from_store(fs, 1, "domain-2", 1, true);
	run_fleets(fs, 1000);
	start_instance(fs, 8);
	run_fleets(fs, 3000);
	ck_assert_uint_eq(epoch_in_force(fs, 8), 4);
	ck_assert(is_domain_out(simulated_view(fs, 8), "domain-2"));
	ck_assert(is_view_settled(simulated_view(fs, 8)));
}
END_TEST

START_TEST(a_large_snapshot_is_transferred_in_parts)
{
	start_fleets(9, 3);
	kill_instance(fs, 8);
	set_service_count(fs, 18000);
	read_epoch_from_store(fs, 0, 1);
	run_fleets(fs, 30000);
	expect_epoch(8, 1);
	start_instance(fs, 8);
	for (uint64_t epoch = 2; epoch < 6; epoch++) {
		run_fleets(fs, 1000);
		read_epoch_from_store(fs, epoch % 8, epoch);
	}
	run_fleets(fs, 10000);
	ck_assert_uint_eq(epoch_in_force(fs, 8), 5);
	ck_assert_uint_gt(simulated_counters(fs, 8)->value[COUNT_CONFIG_PARTS],
			  200);
}
END_TEST

START_TEST(older_and_conflicting_snapshots_are_ignored)
{
	struct snapshot *other = make_snapshot(3, 2);
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = other };

	start_fleets(9, 3);
	read_epoch_from_store(fs, 0, 3);
	run_fleets(fs, 3000);
	read_epoch_from_store(fs, 4, 2);
	apply_fleet_event(fs, 5, &ev);
	run_fleets(fs, 3000);
	expect_epoch(9, 3);
	ck_assert(!has_epoch_decreased(fs));
	for (size_t i = 0; i < 9; i++)
		ck_assert_uint_eq(snapshot_service_count(fleet_snapshot(
					  simulated_fleet(fs, i))),
				  6);
	ck_assert_uint_ge(
		simulated_counters(fs, 5)->value[COUNT_CONFIG_CONFLICT], 1);
	ck_assert_uint_ge(simulated_counters(fs, 4)->value[COUNT_CONFIG_STALE],
			  1);
	unref_snapshot(other);
}
END_TEST

START_TEST(a_killed_instance_is_dead_in_all_views)
{
	start_fleets(27, 3);
	kill_instance(fs, 4);
	run_fleets(fs, 8000);
	for (size_t i = 0; i < 27; i++)
		if (is_running(fs, i))
			ck_assert_uint_eq(seen_member_state(fs, i, 4),
					  MEMBER_DEAD);
	expect_all_alive(27);
}
END_TEST

START_TEST(a_leaving_instance_is_known_within_100_ms)
{
	start_fleets(27, 3);
	leave_instance(fs, 4, 2000);
	run_fleets(fs, 100);
	for (size_t i = 0; i < 27; i++)
		ck_assert_uint_eq(seen_member_state(fs, i, 4), MEMBER_LEAVING);
	run_fleets(fs, 2100);
	for (size_t i = 0; i < 27; i++)
		if (is_running(fs, i))
			ck_assert_uint_eq(seen_member_state(fs, i, 4),
					  MEMBER_DEAD);
}
END_TEST

START_TEST(a_paused_instance_is_unsettled_until_it_caught_up)
{
	start_fleets(9, 3);
	pause_instance(fs, 4, 20000);
	run_fleets(fs, 10000);
	ck_assert_uint_eq(seen_member_state(fs, 0, 4), MEMBER_DEAD);
	read_epoch_from_store(fs, 0, 1);
	run_fleets(fs, 10000);
	ck_assert(!is_view_settled(simulated_view(fs, 4)) ||
		  epoch_in_force(fs, 4) == 1);
	run_fleets(fs, 2000);
	ck_assert_uint_eq(epoch_in_force(fs, 4), 1);
	ck_assert(is_view_settled(simulated_view(fs, 4)));
	ck_assert_uint_eq(simulated_counters(fs, 4)->value[COUNT_FLEET_PAUSED],
			  1);
	expect_all_alive(9);
}
END_TEST

START_TEST(a_restarted_instance_has_another_start_number)
{
	const struct member *m;
	uint32_t start;

	start_fleets(9, 3);
	start = find_member(simulated_view(fs, 0), simulated_member_id(4))
			->start_number;
	kill_instance(fs, 4);
	start_instance(fs, 4);
	run_fleets(fs, 5000);
	expect_all_alive(9);
	for (size_t i = 0; i < 9; i++) {
		m = find_member(simulated_view(fs, i), simulated_member_id(4));
		ck_assert_uint_ne(m->start_number, start);
	}
}
END_TEST

START_TEST(many_instances_killed_at_once_are_found_dead)
{
	start_fleets(81, 3);
	for (size_t i = 0; i < 60; i += 3)
		kill_instance(fs, i);
	run_fleets(fs, 15000);
	for (size_t i = 0; i < 81; i++)
		for (size_t j = 0; is_running(fs, i) && j < 60; j += 3)
			ck_assert_uint_eq(seen_member_state(fs, i, j),
					  MEMBER_DEAD);
	expect_all_alive(81);
}
END_TEST

START_TEST(a_lost_domain_is_dead_without_member_records)
{
	uint64_t died = 0;

	start_fleets(27, 3);
	for (size_t i = 0; i < 27; i += 3)
		kill_instance(fs, i);
	run_fleets(fs, 16000);
	for (size_t i = 0; i < 27; i++) {
		for (size_t j = 0; is_running(fs, i) && j < 27; j += 3)
			ck_assert_uint_eq(seen_member_state(fs, i, j),
					  MEMBER_DEAD);
		if (is_running(fs, i))
			died += simulated_counters(fs, i)
					->value[COUNT_FLEET_DIED];
	}
	ck_assert_uint_eq(died, 0);
}
END_TEST

START_TEST(a_partitioned_domain_recovers_after_it_heals)
{
	start_fleets(27, 3);
	partition_domains(fs, 0, 1, true);
	partition_domains(fs, 0, 2, true);
	run_fleets(fs, 20000);
	ck_assert_uint_eq(seen_member_state(fs, 0, 3), MEMBER_ALIVE);
	ck_assert_uint_eq(seen_member_state(fs, 0, 1), MEMBER_DEAD);
	ck_assert_uint_eq(seen_member_state(fs, 1, 0), MEMBER_DEAD);
	read_epoch_from_store(fs, 1, 7);
	run_fleets(fs, 3000);
	ck_assert_uint_eq(epoch_in_force(fs, 0), 0);
	heal_partitions(fs);
	run_fleets(fs, 5000);
	expect_epoch(27, 7);
	expect_all_alive(27);
}
END_TEST

START_TEST(dead_members_are_removed_from_views)
{
	size_t nr;

	start_fleets(9, 3);
	kill_instance(fs, 4);
	run_fleets(fs, 11 * 60 * 1000);
	view_members(simulated_view(fs, 0), &nr);
	ck_assert_uint_eq(nr, 8);
	ck_assert_uint_eq(seen_member_state(fs, 0, 4), MEMBER_STATE_NR);
	start_instance(fs, 4);
	run_fleets(fs, 5000);
	expect_all_alive(9);
}
END_TEST

static void publish_state(size_t i, uint64_t id, enum upstream_state state)
{
	struct fleet_event ev = { .kind = FLEET_UPSTREAM };

	ev.upstream.id = id;
	ev.upstream.state = state;
	apply_fleet_event(fs, i, &ev);
}

static void expect_upstream(uint64_t id, enum upstream_state state)
{
	for (size_t i = 0; i < 9; i++)
		if (is_running(fs, i))
			ck_assert_uint_eq(published_upstream_state(
						  simulated_view(fs, i), id),
					  state);
}

START_TEST(an_upstream_state_outlives_its_publisher_briefly)
{
	start_fleets(9, 3);
	publish_state(4, 77, UPSTREAM_WARM);
	publish_state(4, 78, UPSTREAM_WARM);
	run_fleets(fs, 500);
	expect_upstream(77, UPSTREAM_WARM);
	kill_instance(fs, 4);
	run_fleets(fs, 9000);
	expect_upstream(77, UPSTREAM_WARM);
	publish_state(5, 77, UPSTREAM_WARM);
	run_fleets(fs, 15000);
	expect_upstream(77, UPSTREAM_WARM);
	expect_upstream(78, UPSTREAM_UNKNOWN);
}
END_TEST

START_TEST(malformed_messages_are_counted)
{
	static const char junk[] = "\x93\x01\x02\x03";
	struct fleet_event ev = { .kind = FLEET_MESSAGE };

	start_fleets(3, 1);
	ev.message.data = junk;
	ev.message.len = sizeof(junk) - 1;
	apply_fleet_event(fs, 0, &ev);
	ck_assert_uint_eq(
		simulated_counters(fs, 0)->value[COUNT_PEER_MALFORMED], 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *t = tcase_create("fleet");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(t, NULL, teardown);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, all_instances_find_each_other_through_seeds);
	tcase_add_test(t, a_change_reaches_all_instances_within_100_ms);
	tcase_add_test(t, a_new_instance_gets_its_state_from_peers);
	tcase_add_test(t, a_large_snapshot_is_transferred_in_parts);
	tcase_add_test(t, older_and_conflicting_snapshots_are_ignored);
	tcase_add_test(t, a_killed_instance_is_dead_in_all_views);
	tcase_add_test(t, a_leaving_instance_is_known_within_100_ms);
	tcase_add_test(t, a_paused_instance_is_unsettled_until_it_caught_up);
	tcase_add_test(t, a_restarted_instance_has_another_start_number);
	tcase_add_test(t, many_instances_killed_at_once_are_found_dead);
	tcase_add_test(t, a_lost_domain_is_dead_without_member_records);
	tcase_add_test(t, a_partitioned_domain_recovers_after_it_heals);
	tcase_add_test(t, dead_members_are_removed_from_views);
	tcase_add_test(t, an_upstream_state_outlives_its_publisher_briefly);
	tcase_add_test(t, malformed_messages_are_counted);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
