/* Tests of the fleet: what some instances make of each other's messages. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/fleet-world.h"

static struct world *w;

static void start_world(size_t nr, size_t domain_nr)
{
	struct world_options o = { .seed = 7,
				   .nr = nr,
				   .domain_nr = domain_nr,
				   .delay_min_ms = 1,
				   .delay_max_ms = 3,
				   .seed_nr = 3 };

	w = create_world(&o);
	for (size_t i = 0; i < nr; i++)
		start_instance(w, i);
	run_world(w, 5000);
}

static void teardown(void)
{
	if (w)
		destroy_world(w);
	w = NULL;
}

/* Every running instance sees every running one alive. */
static void expect_all_alive(size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		for (size_t j = 0; is_running(w, i) && j < nr; j++)
			if (is_running(w, j))
				ck_assert_msg(seen_state(w, i, j) ==
						      MEMBER_ALIVE,
					      "%zu sees %zu as %d", i, j,
					      (int)seen_state(w, i, j));
}

static void expect_epoch(size_t nr, uint64_t epoch)
{
	for (size_t i = 0; i < nr; i++)
		if (is_running(w, i))
			ck_assert_uint_eq(world_epoch(w, i), epoch);
}

START_TEST(instances_find_each_other)
{
	start_world(27, 3);
	expect_all_alive(27);
	for (size_t i = 0; i < 27; i++)
		ck_assert(is_view_settled(world_view(w, i)));
}
END_TEST

START_TEST(change_reaches_all_at_once)
{
	start_world(27, 3);
	offer_epoch(w, 5, 1);
	run_world(w, 3000);
	expect_epoch(27, 1);
	offer_epoch(w, 9, 2);
	run_world(w, 100);
	expect_epoch(27, 2);
}
END_TEST

START_TEST(newcomer_learns_from_peers)
{
	start_world(9, 3);
	kill_instance(w, 8);
	offer_epoch(w, 1, 4);
	offer_domain(w, 1, "domain-2", 1, true);
	run_world(w, 1000);
	start_instance(w, 8);
	run_world(w, 3000);
	ck_assert_uint_eq(world_epoch(w, 8), 4);
	ck_assert(is_domain_out(world_view(w, 8), "domain-2"));
	ck_assert(is_view_settled(world_view(w, 8)));
}
END_TEST

START_TEST(large_snapshot_travels_in_parts)
{
	start_world(9, 3);
	kill_instance(w, 8);
	set_service_nr(w, 18000);
	offer_epoch(w, 0, 1);
	run_world(w, 30000);
	expect_epoch(8, 1);
	start_instance(w, 8);
	for (uint64_t epoch = 2; epoch < 6; epoch++) {
		run_world(w, 1000);
		offer_epoch(w, epoch % 8, epoch);
	}
	run_world(w, 10000);
	ck_assert_uint_eq(world_epoch(w, 8), 5);
	ck_assert_uint_gt(world_counters(w, 8)->value[COUNT_CONFIG_PARTS], 200);
}
END_TEST

START_TEST(older_and_contradicting_offers_change_nothing)
{
	struct snapshot *other = make_snapshot(3, 2);
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = other };

	start_world(9, 3);
	offer_epoch(w, 0, 3);
	run_world(w, 3000);
	offer_epoch(w, 4, 2);
	offer_event(w, 5, &ev);
	run_world(w, 3000);
	expect_epoch(9, 3);
	ck_assert(!epoch_went_back(w));
	for (size_t i = 0; i < 9; i++)
		ck_assert_uint_eq(
			snapshot_service_nr(fleet_snapshot(world_fleet(w, i))),
			6);
	ck_assert_uint_ge(world_counters(w, 5)->value[COUNT_CONFIG_CONFLICT],
			  1);
	ck_assert_uint_ge(world_counters(w, 4)->value[COUNT_CONFIG_STALE], 1);
	unref_snapshot(other);
}
END_TEST

START_TEST(killed_instance_is_found_dead)
{
	start_world(27, 3);
	kill_instance(w, 4);
	run_world(w, 8000);
	for (size_t i = 0; i < 27; i++)
		if (is_running(w, i))
			ck_assert_uint_eq(seen_state(w, i, 4), MEMBER_DEAD);
	expect_all_alive(27);
}
END_TEST

START_TEST(leaving_instance_is_known_at_once)
{
	start_world(27, 3);
	leave_instance(w, 4, 2000);
	run_world(w, 100);
	for (size_t i = 0; i < 27; i++)
		ck_assert_uint_eq(seen_state(w, i, 4), MEMBER_LEAVING);
	run_world(w, 2100);
	for (size_t i = 0; i < 27; i++)
		if (is_running(w, i))
			ck_assert_uint_eq(seen_state(w, i, 4), MEMBER_DEAD);
}
END_TEST

START_TEST(paused_instance_steps_back)
{
	start_world(9, 3);
	pause_instance(w, 4, 20000);
	run_world(w, 10000);
	ck_assert_uint_eq(seen_state(w, 0, 4), MEMBER_DEAD);
	offer_epoch(w, 0, 1);
	run_world(w, 10000);
	ck_assert(!is_view_settled(world_view(w, 4)) || world_epoch(w, 4) == 1);
	run_world(w, 2000);
	ck_assert_uint_eq(world_epoch(w, 4), 1);
	ck_assert(is_view_settled(world_view(w, 4)));
	ck_assert_uint_eq(world_counters(w, 4)->value[COUNT_FLEET_PAUSED], 1);
	expect_all_alive(9);
}
END_TEST

START_TEST(restarted_instance_is_told_apart)
{
	const struct member *m;
	uint32_t start;

	start_world(9, 3);
	start = find_member(world_view(w, 0), world_member_id(4))->start;
	kill_instance(w, 4);
	start_instance(w, 4);
	run_world(w, 5000);
	expect_all_alive(9);
	for (size_t i = 0; i < 9; i++) {
		m = find_member(world_view(w, i), world_member_id(4));
		ck_assert_uint_ne(m->start, start);
	}
}
END_TEST

START_TEST(rack_that_dies_at_once_is_found)
{
	start_world(81, 3);
	for (size_t i = 0; i < 60; i += 3)
		kill_instance(w, i);
	run_world(w, 15000);
	for (size_t i = 0; i < 81; i++)
		for (size_t j = 0; is_running(w, i) && j < 60; j += 3)
			ck_assert_uint_eq(seen_state(w, i, j), MEMBER_DEAD);
	expect_all_alive(81);
}
END_TEST

START_TEST(lost_domain_is_dead_without_a_record)
{
	uint64_t died = 0;

	start_world(27, 3);
	for (size_t i = 0; i < 27; i += 3)
		kill_instance(w, i);
	run_world(w, 16000);
	for (size_t i = 0; i < 27; i++) {
		for (size_t j = 0; is_running(w, i) && j < 27; j += 3)
			ck_assert_uint_eq(seen_state(w, i, j), MEMBER_DEAD);
		if (is_running(w, i))
			died += world_counters(w, i)->value[COUNT_FLEET_DIED];
	}
	ck_assert_uint_eq(died, 0);
}
END_TEST

START_TEST(cut_domain_goes_on_and_returns)
{
	start_world(27, 3);
	cut_domains(w, 0, 1, true);
	cut_domains(w, 0, 2, true);
	run_world(w, 20000);
	ck_assert_uint_eq(seen_state(w, 0, 3), MEMBER_ALIVE);
	ck_assert_uint_eq(seen_state(w, 0, 1), MEMBER_DEAD);
	ck_assert_uint_eq(seen_state(w, 1, 0), MEMBER_DEAD);
	offer_epoch(w, 1, 7);
	run_world(w, 3000);
	ck_assert_uint_eq(world_epoch(w, 0), 0);
	heal_world(w);
	run_world(w, 5000);
	expect_epoch(27, 7);
	expect_all_alive(27);
}
END_TEST

START_TEST(dead_members_are_forgotten)
{
	size_t nr;

	start_world(9, 3);
	kill_instance(w, 4);
	run_world(w, 11 * 60 * 1000);
	view_members(world_view(w, 0), &nr);
	ck_assert_uint_eq(nr, 8);
	ck_assert_uint_eq(seen_state(w, 0, 4), MEMBER_STATE_NR);
	start_instance(w, 4);
	run_world(w, 5000);
	expect_all_alive(9);
}
END_TEST

static void judge(size_t i, uint64_t id, enum upstream_state state)
{
	struct fleet_event ev = { .kind = FLEET_UPSTREAM };

	ev.upstream.id = id;
	ev.upstream.state = state;
	offer_event(w, i, &ev);
}

static void expect_upstream(uint64_t id, enum upstream_state state)
{
	for (size_t i = 0; i < 9; i++)
		if (is_running(w, i))
			ck_assert_uint_eq(
				judged_upstream_state(world_view(w, i), id),
				state);
}

START_TEST(upstream_state_lasts_as_long_as_its_judge)
{
	start_world(9, 3);
	judge(4, 77, UPSTREAM_WARM);
	judge(4, 78, UPSTREAM_WARM);
	run_world(w, 500);
	expect_upstream(77, UPSTREAM_WARM);
	kill_instance(w, 4);
	run_world(w, 9000);
	expect_upstream(77, UPSTREAM_WARM);
	judge(5, 77, UPSTREAM_WARM);
	run_world(w, 15000);
	expect_upstream(77, UPSTREAM_WARM);
	expect_upstream(78, UPSTREAM_UNKNOWN);
}
END_TEST

START_TEST(malformed_messages_are_counted)
{
	static const char junk[] = "\x93\x01\x02\x03";
	struct fleet_event ev = { .kind = FLEET_MESSAGE };

	start_world(3, 1);
	ev.message.data = junk;
	ev.message.len = sizeof(junk) - 1;
	offer_event(w, 0, &ev);
	ck_assert_uint_eq(world_counters(w, 0)->value[COUNT_PEER_MALFORMED], 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *t = tcase_create("world");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(t, NULL, teardown);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, instances_find_each_other);
	tcase_add_test(t, change_reaches_all_at_once);
	tcase_add_test(t, newcomer_learns_from_peers);
	tcase_add_test(t, large_snapshot_travels_in_parts);
	tcase_add_test(t, older_and_contradicting_offers_change_nothing);
	tcase_add_test(t, killed_instance_is_found_dead);
	tcase_add_test(t, leaving_instance_is_known_at_once);
	tcase_add_test(t, paused_instance_steps_back);
	tcase_add_test(t, restarted_instance_is_told_apart);
	tcase_add_test(t, rack_that_dies_at_once_is_found);
	tcase_add_test(t, lost_domain_is_dead_without_a_record);
	tcase_add_test(t, cut_domain_goes_on_and_returns);
	tcase_add_test(t, dead_members_are_forgotten);
	tcase_add_test(t, upstream_state_lasts_as_long_as_its_judge);
	tcase_add_test(t, malformed_messages_are_counted);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
