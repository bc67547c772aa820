/* Tests of the queue of SYNs that wait for room at an upstream. */

#include <check.h>
#include <stdlib.h>

#include "flow/syn-queue.h"

#define SERVICE 2

static const struct syn_limits limits = { .wait_ms = 100, .abandon_ms = 1200 };
static const struct syn_rank usual = { .priority = 2, .is_lowest = true };
static const struct syn_rank urgent = { .priority = 1 };
static struct syn_queue *q;

static void setup(void)
{
	q = create_syn_queue();
}

static void teardown(void)
{
	destroy_syn_queue(q);
}

static struct waiting_syn *add(uint64_t now_ms)
{
	return queue_syn(q, SERVICE, usual, limits, false, NULL, now_ms);
}

/* Makes the service overloaded for SYN_RATE_SPAN_MS. */
static void overload(uint64_t now_ms)
{
	for (int i = 0; i < 100; i++)
		note_syn_arrival(q, SERVICE, usual, true, now_ms);
}

START_TEST(newest_is_placed_first)
{
	struct waiting_syn *first = add(1000);
	struct waiting_syn *second = add(1010);

	ck_assert_ptr_null(next_waiting_syn(q, SERVICE + 1));
	ck_assert_ptr_eq(next_waiting_syn(q, SERVICE), second);
	ck_assert_ptr_eq(oldest_waiting_syn(q, SERVICE), first);
	remove_waiting_syn(q, second);
	ck_assert_ptr_eq(next_waiting_syn(q, SERVICE), first);
	remove_waiting_syn(q, first);
	ck_assert_ptr_null(next_waiting_syn(q, SERVICE));
	ck_assert_uint_eq(waiting_syn_count(q), 0);
}
END_TEST

START_TEST(wait_ends_with_refusal_only_in_overload)
{
	struct waiting_syn *w = add(1000);

	ck_assert_ptr_null(next_overdue_syn(q, SERVICE, 1099));
	ck_assert_ptr_null(next_syn_to_refuse(q, 1100));
	ck_assert_ptr_eq(next_overdue_syn(q, SERVICE, 1100), w);
	overload(1100);
	ck_assert(is_service_overloaded(q, SERVICE, 1100));
	ck_assert_ptr_null(next_overdue_syn(q, SERVICE, 1100));
	ck_assert_ptr_null(next_syn_to_refuse(q, 1099));
	ck_assert_ptr_eq(next_syn_to_refuse(q, 1100), w);
}
END_TEST

START_TEST(syn_whose_caller_may_have_left_is_refused)
{
	struct waiting_syn *w = add(1000);

	ck_assert_ptr_null(next_syn_to_refuse(q, 2199));
	ck_assert_ptr_eq(next_syn_to_refuse(q, 2200), w);
}
END_TEST

START_TEST(overload_ends_when_most_syns_need_not_wait)
{
	for (int i = 0; i < SYN_OVERLOAD_MIN - 1; i++)
		note_syn_arrival(q, SERVICE, usual, true, 1000);
	ck_assert(!is_service_overloaded(q, SERVICE, 1000));
	note_syn_arrival(q, SERVICE, usual, true, 1000);
	ck_assert(is_service_overloaded(q, SERVICE, 1000));
	ck_assert(!is_service_overloaded(q, SERVICE + 1, 1000));
	/* within the span, by others that find room */
	note_syn_arrival(q, SERVICE, usual, false, 1100);
	ck_assert(is_service_overloaded(q, SERVICE, 1100));
	for (int i = 0; i < SYN_OVERLOAD_MIN; i++)
		note_syn_arrival(q, SERVICE, usual, false, 1100);
	ck_assert(!is_service_overloaded(q, SERVICE, 1100));
	/* after the span, also if none comes */
	overload(1200);
	ck_assert(is_service_overloaded(q, SERVICE, 1200));
	ck_assert(!is_service_overloaded(q, SERVICE, 1200 + SYN_RATE_SPAN_MS));
}
END_TEST

START_TEST(more_than_can_be_placed_in_time_are_refused_at_once)
{
	struct waiting_syn *oldest;
	unsigned int refused = 0;

	/* 40 a second, so that 4 can be placed within the limit */
	for (uint64_t ms = 1000; ms < 2000; ms += 25)
		note_syn_placed(q, SERVICE, usual, ms);
	overload(2000);
	for (uint64_t i = 0; i < SYN_QUEUE_MIN; i++)
		add(2000 + i);
	ck_assert_ptr_null(next_syn_to_refuse(q, 2010));
	oldest = oldest_waiting_syn(q, SERVICE);
	add(2011);
	ck_assert_ptr_eq(next_syn_to_refuse(q, 2011), oldest);
	remove_waiting_syn(q, oldest);
	ck_assert_ptr_null(next_syn_to_refuse(q, 2011));
	/* at 400 a second the queue may hold 40 */
	for (uint64_t i = 0; i < 400; i++)
		note_syn_placed(q, SERVICE, usual, 2012 + i * 5 / 2);
	overload(3012);
	for (uint64_t i = 0; i < 60; i++)
		add(3012);
	for (struct waiting_syn *w; (w = next_syn_to_refuse(q, 3012));) {
		remove_waiting_syn(q, w);
		refused++;
	}
	ck_assert_uint_ge(waiting_syn_count(q), 30);
	ck_assert_uint_le(waiting_syn_count(q), 40);
	ck_assert_uint_ge(refused, 20);
}
END_TEST

START_TEST(rate_is_forgotten_when_nothing_is_placed)
{
	for (uint64_t i = 0; i < 1000; i++)
		note_syn_placed(q, SERVICE, usual, 1000 + i);
	overload(1999);
	for (uint64_t i = 0; i < 50; i++)
		add(1999);
	ck_assert_ptr_null(next_syn_to_refuse(q, 1999));
	note_syn_placed(q, SERVICE, usual, 900000);
	overload(900000);
	for (uint64_t i = 0; i < 50; i++)
		add(900000);
	ck_assert_ptr_nonnull(next_syn_to_refuse(q, 900000));
}
END_TEST

START_TEST(right_after_start_the_length_is_not_limited_by_rate)
{
	for (uint64_t i = 0; i < 200; i++)
		queue_syn(q, SERVICE, usual, limits, true, NULL, 1000);
	overload(1000);
	ck_assert_ptr_null(next_syn_to_refuse(q, 1099));
	ck_assert_uint_eq(waiting_syn_count(q), 200);
}
END_TEST

START_TEST(number_of_waiting_syns_is_bounded)
{
	for (int i = 0; i < SYN_QUEUE_MAX; i++)
		ck_assert_ptr_nonnull(add(1000));
	ck_assert_ptr_null(add(1000));
}
END_TEST

START_TEST(wait_is_limited_by_aim_and_by_time_since_first_syn)
{
	ck_assert_uint_eq(get_syn_limits(200, 0, false).wait_ms, 50);
	ck_assert_uint_eq(get_syn_limits(0, 0, false).wait_ms, SYN_WAIT_MAX_MS);
	ck_assert_uint_eq(get_syn_limits(200, 0, true).wait_ms,
			  SYN_WAIT_MAX_MS);
	ck_assert_uint_eq(get_syn_limits(200, 1, true).wait_ms,
			  SYN_WAIT_MAX_MS - 200);
	ck_assert_uint_eq(get_syn_limits(200, 1, false).wait_ms, 0);
	ck_assert_uint_eq(get_syn_limits(0, 99, false).wait_ms, 0);
	ck_assert_uint_eq(get_syn_limits(200, 0, false).abandon_ms,
			  SYN_ABANDON_MS);
	ck_assert_uint_eq(get_syn_limits(200, 2, true).abandon_ms,
			  SYN_ABANDON_MS - 600);
}
END_TEST

START_TEST(overdue_syn_is_placed_unless_it_would_be_shed)
{
	struct placement full = { 1, PLACE_FULL, 5 };
	struct placement crowded = { 1, PLACE_CROWDED, 3 };
	struct placement none = { CATALOG_NONE, PLACE_ALL_COLD, 0 };

	ck_assert_int_eq(decide_overdue_syn(&crowded, false), SYN_PLACE);
	ck_assert_int_eq(decide_overdue_syn(&full, false), SYN_REFUSE);
	ck_assert_int_eq(decide_overdue_syn(&full, true), SYN_PLACE);
	ck_assert_int_eq(decide_overdue_syn(&none, true), SYN_REFUSE);
}
END_TEST

START_TEST(only_routes_that_yield_wait_while_crowded)
{
	struct placement full = { 1, PLACE_FULL, 5 };
	struct placement crowded = { 1, PLACE_CROWDED, 3 };
	struct placement cold = { CATALOG_NONE, PLACE_ALL_COLD, 0 };
	struct placement dead = { CATALOG_NONE, PLACE_ALL_DEAD, 0 };
	struct placement late = { CATALOG_NONE, PLACE_OVERLOADED, 9 };

	ck_assert_int_eq(decide_syn(&full, true, false), SYN_WAIT);
	ck_assert_int_eq(decide_syn(&full, true, true), SYN_WAIT);
	/* a full upstream would shed it or answer late */
	ck_assert_int_eq(decide_syn(&full, false, false), SYN_WAIT);
	ck_assert_int_eq(decide_syn(&crowded, true, false), SYN_WAIT);
	ck_assert_int_eq(decide_syn(&crowded, true, true), SYN_PLACE);
	ck_assert_int_eq(decide_syn(&crowded, false, false), SYN_PLACE);
	/* quotas of cold upstreams are renewed soon, for all routes */
	ck_assert_int_eq(decide_syn(&cold, false, false), SYN_WAIT);
	ck_assert_int_eq(decide_syn(&dead, true, false), SYN_REFUSE);
	ck_assert_int_eq(decide_syn(&late, false, false), SYN_REFUSE);
}
END_TEST

static struct waiting_syn *add_urgent(uint64_t now_ms)
{
	return queue_syn(q, SERVICE, urgent, limits, false, NULL, now_ms);
}

/* Guards against less urgent SYNs that take the room of urgent ones. */
START_TEST(higher_priority_is_placed_first)
{
	struct waiting_syn *first = add_urgent(1000);
	struct waiting_syn *second = add_urgent(1001);
	struct waiting_syn *last = add(1002);

	ck_assert(must_syn_yield(q, SERVICE, 2, 1002));
	ck_assert(!must_syn_yield(q, SERVICE, 1, 1002));
	ck_assert(!must_syn_yield(q, SERVICE + 1, 2, 1002));
	ck_assert_ptr_eq(next_waiting_syn(q, SERVICE), second);
	ck_assert_ptr_eq(oldest_waiting_syn(q, SERVICE), last);
	remove_waiting_syn(q, second);
	ck_assert_ptr_eq(next_waiting_syn(q, SERVICE), first);
	remove_waiting_syn(q, first);
	ck_assert_ptr_eq(next_waiting_syn(q, SERVICE), last);
	ck_assert(!must_syn_yield(q, SERVICE, 2, 1002));
}
END_TEST

/* Guards against urgent SYNs that are refused to keep a queue short. */
START_TEST(lowest_priority_is_refused_first)
{
	struct waiting_syn *w;

	overload(1000);
	for (uint64_t i = 0; i < 2 * SYN_QUEUE_MIN; i++) {
		add_urgent(1000);
		add(1001);
	}
	while ((w = next_syn_to_refuse(q, 1002))) {
		ck_assert(w->rank.is_lowest);
		remove_waiting_syn(q, w);
	}
	ck_assert_uint_eq(waiting_syn_count(q), 3 * SYN_QUEUE_MIN);
}
END_TEST

/* Guards against a refusal soon after, or before, a less urgent placement. */
START_TEST(urgent_syn_is_not_refused_while_others_are_placed)
{
	struct placement full = { 1, PLACE_FULL, 5 };
	struct placement room = { 1, PLACE_LEAST_LOADED, 0 };
	struct placement late = { CATALOG_NONE, PLACE_OVERLOADED, 9 };
	struct waiting_syn *w;

	note_syn_placed(q, SERVICE, usual, 1050);
	ck_assert(!may_refuse_syn(q, SERVICE, 1, 1149));
	ck_assert(may_refuse_syn(q, SERVICE, 1, 1150));
	ck_assert(may_refuse_syn(q, SERVICE, 2, 1060));
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, urgent, &late, false, 1149),
		SYN_WAIT);
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, urgent, &late, false, 1150),
		SYN_REFUSE);
	w = queue_syn(q, SERVICE, urgent,
		      (struct syn_limits){ .wait_ms = 0, .abandon_ms = 600 },
		      false, NULL, 1060);
	ck_assert_ptr_null(next_overdue_syn(q, SERVICE, 1149));
	ck_assert_ptr_eq(next_overdue_syn(q, SERVICE, 1150), w);
	overload(1060);
	ck_assert_ptr_null(next_syn_to_refuse(q, 1149));
	ck_assert_ptr_eq(next_syn_to_refuse(q, 1150), w);
	remove_waiting_syn(q, w);
	note_syn_refused(q, SERVICE, 1, 1150);
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, usual, &room, false, 1249),
		SYN_WAIT);
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, urgent, &room, false, 1249),
		SYN_PLACE);
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, usual, &room, false, 1250),
		SYN_PLACE);
	ck_assert_int_eq(
		decide_ranked_syn(q, SERVICE, urgent, &full, false, 1250),
		SYN_WAIT);
}
END_TEST

/* Guards against room that stays reserved when no urgent SYNs come. */
START_TEST(urgent_share_is_of_the_last_second)
{
	ck_assert_double_eq(urgent_syn_share(q, SERVICE, 1000), 0);
	for (int i = 0; i < 30; i++)
		note_syn_arrival(q, SERVICE, usual, true, 1000);
	ck_assert_double_eq(urgent_syn_share(q, SERVICE, 1000), 0);
	for (int i = 0; i < 10; i++)
		note_syn_arrival(q, SERVICE, urgent, true, 1100);
	ck_assert_double_eq(urgent_syn_share(q, SERVICE, 1100), 0.25);
	note_syn_arrival(q, SERVICE, usual, true, 2200);
	ck_assert_double_eq(urgent_syn_share(q, SERVICE, 2200), 0);
}
END_TEST

/* Guards against callers who wait long for room that others will get. */
START_TEST(syn_that_yields_waits_half_as_long_and_is_told_in_time)
{
	struct waiting_syn *w;

	ck_assert_uint_eq(
		get_ranked_syn_limits(q, SERVICE, usual, 400, 0, false, 1000)
			.wait_ms,
		100);
	note_syn_arrival(q, SERVICE, urgent, true, 1000);
	ck_assert_uint_eq(
		get_ranked_syn_limits(q, SERVICE, usual, 400, 0, false, 1000)
			.wait_ms,
		50);
	ck_assert_uint_eq(
		get_ranked_syn_limits(q, SERVICE, urgent, 400, 0, false, 1000)
			.wait_ms,
		100);
	/* the service is not overloaded, but the room is not for it */
	w = add(1000);
	add_urgent(1050);
	ck_assert_ptr_null(next_syn_to_refuse(q, 1099));
	ck_assert_ptr_eq(next_syn_to_refuse(q, 1100), w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("syn-queue");
	TCase *tc = tcase_create("syn-queue");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, newest_is_placed_first);
	tcase_add_test(tc, wait_ends_with_refusal_only_in_overload);
	tcase_add_test(tc, syn_whose_caller_may_have_left_is_refused);
	tcase_add_test(tc, overload_ends_when_most_syns_need_not_wait);
	tcase_add_test(tc, overdue_syn_is_placed_unless_it_would_be_shed);
	tcase_add_test(tc, more_than_can_be_placed_in_time_are_refused_at_once);
	tcase_add_test(tc, rate_is_forgotten_when_nothing_is_placed);
	tcase_add_test(tc, right_after_start_the_length_is_not_limited_by_rate);
	tcase_add_test(tc, number_of_waiting_syns_is_bounded);
	tcase_add_test(tc, wait_is_limited_by_aim_and_by_time_since_first_syn);
	tcase_add_test(tc, only_routes_that_yield_wait_while_crowded);
	tcase_add_test(tc, higher_priority_is_placed_first);
	tcase_add_test(tc, lowest_priority_is_refused_first);
	tcase_add_test(tc, urgent_syn_is_not_refused_while_others_are_placed);
	tcase_add_test(tc, urgent_share_is_of_the_last_second);
	tcase_add_test(tc,
		       syn_that_yields_waits_half_as_long_and_is_told_in_time);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
