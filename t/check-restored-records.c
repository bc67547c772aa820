/* Tests of which records of a restored store are believed, and for how long. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "config/restored-records.h"
#include "fleet/start-check.h"

#define UPSTREAM "servers/i-1"
#define OUT "op/evacuate/north"

static const struct record_hold_times times = { .operator_ms = 12000,
						.upstream_ms = 2300,
						.lapse_ms = 6000 };
static const struct record_order no_order;
static struct restored_records *rr;
static GPtrArray *ended;

static void setup(void)
{
	rr = create_restored_records();
	set_record_hold_times(rr, &times);
	ended = g_ptr_array_new_with_free_func(g_free);
}

static void teardown(void)
{
	destroy_restored_records(rr);
	g_ptr_array_free(ended, TRUE);
}

static enum record_verdict admit_upstream(bool present, uint64_t started_at_ms,
					  uint64_t write_count,
					  enum mirror_source source,
					  uint64_t now_ms)
{
	struct record_order order = { started_at_ms, write_count };

	return admit_record(rr, UPSTREAM, RECORD_CLASS_UPSTREAM, present, order,
			    source, now_ms);
}

static enum record_verdict admit_out(bool out, enum mirror_source source,
				     uint64_t now_ms)
{
	return admit_record(rr, OUT, RECORD_CLASS_DOMAIN_OUT, out, no_order,
			    source, now_ms);
}

static guint ended_at(uint64_t now_ms)
{
	g_ptr_array_set_size(ended, 0);
	end_record_holds(rr, now_ms, ended);
	return ended->len;
}

START_TEST(missing_upstream_stays_until_it_would_have_written)
{
	admit_upstream(true, 5, 1, MIRROR_WRITTEN, 1000);
	ck_assert_int_eq(admit_upstream(false, 0, 0, MIRROR_RESTORED, 2000),
			 RECORD_HOLD);
	ck_assert_uint_eq(held_record_count(rr), 1);
	ck_assert_uint_eq(ended_at(4299), 0);
	ck_assert_uint_eq(ended_at(4300), 1);
	ck_assert_str_eq(g_ptr_array_index(ended, 0), UPSTREAM);
	ck_assert_uint_eq(held_record_count(rr), 0);
	ck_assert_uint_eq(ended_at(9999), 0);
}
END_TEST

START_TEST(upstream_that_left_stays_away_until_it_writes)
{
	admit_upstream(true, 5, 1, MIRROR_WRITTEN, 1000);
	admit_upstream(false, 0, 0, MIRROR_WRITTEN, 1500);
	/* also by a writing of its last start that was not seen here */
	ck_assert_int_eq(admit_upstream(true, 5, 2, MIRROR_RESTORED, 2000),
			 RECORD_HOLD);
	ck_assert_int_eq(admit_upstream(true, 5, 3, MIRROR_WRITTEN, 2100),
			 RECORD_APPLY);
	ck_assert_uint_eq(held_record_count(rr), 0);
}
END_TEST

START_TEST(new_start_of_an_upstream_that_left_is_used)
{
	admit_upstream(true, 5, 1, MIRROR_WRITTEN, 1000);
	admit_upstream(false, 0, 0, MIRROR_WRITTEN, 1500);
	ck_assert_int_eq(admit_upstream(true, 9, 1, MIRROR_RESTORED, 2000),
			 RECORD_APPLY);
}
END_TEST

START_TEST(entry_that_did_not_lapse_is_believed_in_the_end)
{
	/* never seen: it was not in the store right before */
	ck_assert_int_eq(admit_upstream(true, 5, 1, MIRROR_RESTORED, 2000),
			 RECORD_HOLD);
	ck_assert_uint_eq(ended_at(7999), 0);
	ck_assert_uint_eq(ended_at(8000), 1);
}
END_TEST

START_TEST(newer_report_of_an_upstream_stays_in_force)
{
	admit_upstream(true, 5, 7, MIRROR_WRITTEN, 1000);
	ck_assert_int_eq(admit_upstream(true, 5, 3, MIRROR_RESTORED, 2000),
			 RECORD_HOLD);
	ck_assert_uint_eq(ended_at(900000), 0);
	ck_assert_int_eq(admit_upstream(true, 5, 8, MIRROR_WRITTEN, 900000),
			 RECORD_APPLY);
	/* the same writing again changes nothing, and nothing is awaited */
	ck_assert_int_eq(admit_upstream(true, 5, 8, MIRROR_RESTORED, 900000),
			 RECORD_HOLD);
	ck_assert_uint_eq(held_record_count(rr), 0);
	/* one that is newer than the known one is taken from the copy */
	ck_assert_int_eq(admit_upstream(true, 5, 9, MIRROR_RESTORED, 900001),
			 RECORD_APPLY);
}
END_TEST

START_TEST(domain_stays_out_until_the_operator_would_have_written)
{
	admit_out(true, MIRROR_WRITTEN, 1000);
	ck_assert_int_eq(admit_out(false, MIRROR_RESTORED, 2000), RECORD_HOLD);
	ck_assert_uint_eq(ended_at(13999), 0);
	ck_assert_uint_eq(ended_at(14000), 1);
}
END_TEST

START_TEST(domain_is_taken_back_by_a_newer_writing)
{
	admit_out(true, MIRROR_WRITTEN, 1000);
	admit_out(false, MIRROR_RESTORED, 2000);
	admit_out(true, MIRROR_WRITTEN, 2500);
	ck_assert_int_eq(admit_out(false, MIRROR_WRITTEN, 3000), RECORD_APPLY);
	ck_assert_uint_eq(held_record_count(rr), 0);
}
END_TEST

START_TEST(second_restore_begins_holds_anew)
{
	admit_out(true, MIRROR_WRITTEN, 1000);
	admit_out(false, MIRROR_RESTORED, 2000);
	restart_record_holds(rr, 9000);
	ck_assert_uint_eq(ended_at(20999), 0);
	ck_assert_uint_eq(ended_at(21000), 1);
}
END_TEST

START_TEST(removals_are_forgotten_after_a_while)
{
	admit_upstream(true, 5, 1, MIRROR_WRITTEN, 1000);
	admit_upstream(false, 0, 0, MIRROR_WRITTEN, 1500);
	admit_out(true, MIRROR_WRITTEN, 1500 + RESTORED_REMOVAL_MEMORY_MS);
	/* as one that was never seen */
	ck_assert_int_eq(admit_upstream(true, 5, 2, MIRROR_RESTORED,
					1600 + RESTORED_REMOVAL_MEMORY_MS),
			 RECORD_HOLD);
	ck_assert_uint_eq(ended_at(1600 + RESTORED_REMOVAL_MEMORY_MS + 6000),
			  1);
}
END_TEST

/* The record that is decided about may be the one that is forgotten. */
START_TEST(record_is_forgotten_while_it_is_decided_about)
{
	admit_upstream(true, 5, 1, MIRROR_WRITTEN, 1000);
	admit_upstream(false, 0, 0, MIRROR_WRITTEN, 1500);
	ck_assert_int_eq(admit_upstream(true, 5, 2, MIRROR_RESTORED,
					1500 + RESTORED_REMOVAL_MEMORY_MS),
			 RECORD_HOLD);
	ck_assert_uint_eq(held_record_count(rr), 1);
}
END_TEST

START_TEST(starting_instance_adopts_what_a_peer_holds)
{
	struct held_record left = { .key = UPSTREAM, .left_ms = 3000 };
	struct held_record out = { .key = OUT,
				   .present = true,
				   .left_ms = 500 };
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_record));

	admit_upstream(true, 5, 1, MIRROR_FIRST_READ, 1000);
	ck_assert_int_eq(
		adopt_held_record(rr, &left, RECORD_CLASS_UPSTREAM, 1100),
		RECORD_APPLY);
	ck_assert_int_eq(
		adopt_held_record(rr, &out, RECORD_CLASS_DOMAIN_OUT, 1100),
		RECORD_APPLY);
	list_held_records(rr, 1200, held);
	ck_assert_uint_eq(held->len, 2);
	ck_assert_uint_eq(ended_at(1600), 1);
	ck_assert_str_eq(g_ptr_array_index(ended, 0), OUT);
	/* its owner has written since: the peer knows less */
	admit_upstream(true, 5, 2, MIRROR_WRITTEN, 1700);
	ck_assert_int_eq(
		adopt_held_record(rr, &left, RECORD_CLASS_UPSTREAM, 1800),
		RECORD_HOLD);
	g_array_free(held, TRUE);
}
END_TEST

START_TEST(start_waits_for_a_peer_and_its_configuration)
{
	struct start_check sc = { 0 };
	struct start_check_state state = { .store_era = 2,
					   .has_ready_peer = true,
					   .config_version = 4,
					   .highest_peer_version = 5 };

	ck_assert(tick_start_check(&sc, &state, 1000));
	ck_assert(!tick_start_check(&sc, &state, 1050));
	ck_assert(tick_start_check(&sc, &state, 1100));
	sc.answered = true;
	ck_assert(!tick_start_check(&sc, &state, 1150));
	ck_assert(!sc.done);
	state.config_version = 5;
	ck_assert(!tick_start_check(&sc, &state, 1200));
	ck_assert(sc.done);
}
END_TEST

START_TEST(start_alone_or_without_eras_does_not_wait)
{
	struct start_check sc = { 0 };
	struct start_check no_eras = { 0 };
	struct start_check_state state = { .store_era = 2 };

	ck_assert(!tick_start_check(&sc, &state, 1000));
	ck_assert(!tick_start_check(&sc, &state, 1299));
	ck_assert(!sc.done);
	tick_start_check(&sc, &state, 1300);
	ck_assert(sc.done);
	state.store_era = 0;
	state.has_ready_peer = true;
	ck_assert(!tick_start_check(&no_eras, &state, 1000));
	ck_assert(no_eras.done);
}
END_TEST

START_TEST(start_without_an_answer_ends)
{
	struct start_check sc = { 0 };
	struct start_check_state state = { .store_era = 2,
					   .has_ready_peer = true };

	for (uint64_t ms = 1000; ms < 1000 + START_CHECK_MAX_MS; ms += 50) {
		tick_start_check(&sc, &state, ms);
		ck_assert(!sc.done);
	}
	tick_start_check(&sc, &state, 1000 + START_CHECK_MAX_MS);
	ck_assert(sc.done);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("restored-records");
	TCase *tc = tcase_create("restored-records");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, missing_upstream_stays_until_it_would_have_written);
	tcase_add_test(tc, upstream_that_left_stays_away_until_it_writes);
	tcase_add_test(tc, new_start_of_an_upstream_that_left_is_used);
	tcase_add_test(tc, entry_that_did_not_lapse_is_believed_in_the_end);
	tcase_add_test(tc, newer_report_of_an_upstream_stays_in_force);
	tcase_add_test(tc,
		       domain_stays_out_until_the_operator_would_have_written);
	tcase_add_test(tc, domain_is_taken_back_by_a_newer_writing);
	tcase_add_test(tc, second_restore_begins_holds_anew);
	tcase_add_test(tc, removals_are_forgotten_after_a_while);
	tcase_add_test(tc, record_is_forgotten_while_it_is_decided_about);
	tcase_add_test(tc, starting_instance_adopts_what_a_peer_holds);
	tcase_add_test(tc, start_waits_for_a_peer_and_its_configuration);
	tcase_add_test(tc, start_alone_or_without_eras_does_not_wait);
	tcase_add_test(tc, start_without_an_answer_ends);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
