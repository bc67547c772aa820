/* Tests of the estimate of requests in flight whose end was not seen. */

#include <check.h>
#include <stdlib.h>

#include "flow/in-flight.h"

static struct in_flight_estimator *e;

static void setup(void)
{
	e = create_in_flight_estimator();
}

static void teardown(void)
{
	destroy_in_flight_estimator(e);
}

/* NR responses, of MIN_MS to MAX_MS in equal steps, until NOW_MS. */
static void answer(uint32_t nr, uint64_t min_ms, uint64_t max_ms,
		   uint64_t now_ms)
{
	for (uint32_t i = 0; i < nr; i++)
		note_answered(e, min_ms + (max_ms - min_ms) * i / nr,
			      now_ms - nr + i);
}

/* Age at which a request is taken as ended. */
static uint64_t longest_age_ms(uint64_t now_ms)
{
	uint64_t age_ms = 0;

	while (pending_probability(e, age_ms, now_ms) >= IN_FLIGHT_ENDED)
		age_ms++;
	return age_ms;
}

/* Else requests sent a moment ago would not count against full upstreams. */
START_TEST(new_request_counts_fully)
{
	ck_assert_double_eq(pending_probability(e, 0, 1000), 1);
	answer(40, 20, 60, 1000);
	for (int i = 0; i < 100; i++)
		note_unseen_end(e, 1000);
	ck_assert_double_ge(pending_probability(e, 0, 1000), 0.99);
	ck_assert_double_ge(pending_probability(e, 19, 1000), 0.99);
}
END_TEST

START_TEST(request_older_than_all_responses_has_ended)
{
	uint64_t initial_ms = longest_age_ms(1000);
	double last = 1;

	ck_assert_uint_ge(initial_ms, 200);
	ck_assert_uint_le(initial_ms, 500);
	answer(200, 20, 60, 1000);
	ck_assert_uint_ge(longest_age_ms(1000), 55);
	ck_assert_uint_le(longest_age_ms(1000), 75);
	for (uint64_t age_ms = 0; age_ms < 70000; age_ms += 7) {
		double p = pending_probability(e, age_ms, 1000);

		ck_assert_double_ge(p, 0);
		ck_assert_double_le(p, last);
		last = p;
	}
}
END_TEST

/* While no end is lost, an old request is a slow one. */
START_TEST(lost_ends_shorten_the_count_of_others)
{
	double before;

	answer(200, 20, 220, 1000);
	before = pending_probability(e, 200, 1000);
	ck_assert_double_ge(before, 0.8);
	for (int i = 0; i < 100; i++)
		note_unseen_end(e, 1000);
	ck_assert_double_le(pending_probability(e, 200, 1000), before / 2);
	/* most of them were slow */
	for (int i = 0; i < 100; i++)
		note_late_answered(e, 300, 1000);
	ck_assert_double_ge(pending_probability(e, 200, 1000), 0.9);
}
END_TEST

/* Upstreams that turn slow must not look idle for long. */
START_TEST(slower_responses_are_learned_within_seconds)
{
	answer(200, 20, 60, 1000);
	for (uint64_t t = 1000; t < 5000; t += 20) {
		note_unseen_end(e, t);
		note_late_answered(e, 400, t);
	}
	ck_assert_double_ge(pending_probability(e, 350, 5000), 0.5);
}
END_TEST

/* With few samples a service of slow responses must not look idle. */
START_TEST(mean_response_of_rarely_used_service_is_kept)
{
	for (uint64_t t = 0; t < 1000; t++)
		note_answered(e, 1500, t);
	ck_assert_double_ge(pending_probability(e, 1500, 3600000), 0.5);
}
END_TEST

/*
 * One response in forty takes six times as long. If the last one were forgotten
 * within seconds, the next would be taken as ended while it runs.
 */
START_TEST(rare_slow_requests_are_not_taken_as_ended)
{
	uint64_t now_ms = 1000;

	for (int i = 0; i < 800; i++, now_ms += 100)
		note_answered(e, i % 40 ? 30 : 180, now_ms);
	/* the last slow one was four seconds ago */
	ck_assert_double_ge(pending_probability(e, 100, now_ms), 0.2);
	ck_assert_double_le(pending_probability(e, 400, now_ms),
			    IN_FLIGHT_ENDED);
	for (int i = 0; i < 20; i++)
		note_unseen_end(e, now_ms);
	ck_assert_double_le(pending_probability(e, 100, now_ms),
			    IN_FLIGHT_ENDED);
}
END_TEST

START_TEST(route_with_a_flow_for_each_request_is_told_from_others)
{
	struct route_activity ra = { 0 };

	ck_assert(!has_flow_per_request(&ra));
	ck_assert_double_eq(route_busy_share(&ra), ROUTE_SHARE_INITIAL);
	for (uint64_t t = 0; t < 5000; t += 100) {
		note_route_response(&ra, t);
		note_route_flow_end(&ra, t);
		sample_route_activity(&ra, 2, 10, t);
	}
	ck_assert(has_flow_per_request(&ra));
	ck_assert_double_eq_tol(route_busy_share(&ra), 0.2, 0.01);
	/* the same callers keep their flows open from now on */
	for (uint64_t t = 5000; t < 35000; t += 100) {
		note_route_response(&ra, t);
		sample_route_activity(&ra, 1, 10, t);
	}
	ck_assert(!has_flow_per_request(&ra));
	ck_assert_double_eq_tol(route_busy_share(&ra), 0.1, 0.01);
}
END_TEST

/* Instances run for months. */
START_TEST(estimate_is_finite_at_any_time)
{
	uint64_t now_ms = 1;

	for (int i = 0; i < 40; i++, now_ms *= 2) {
		double p = pending_probability(e, 30, now_ms);

		ck_assert(p >= 0 && p <= 1);
		answer(100, 20, 60, now_ms + 100);
		note_unseen_end(e, now_ms + 100);
		p = pending_probability(e, 30, now_ms + 100);
		ck_assert(p >= 0.5 && p <= 1);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("in-flight");
	TCase *tc = tcase_create("in-flight");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, new_request_counts_fully);
	tcase_add_test(tc, request_older_than_all_responses_has_ended);
	tcase_add_test(tc, lost_ends_shorten_the_count_of_others);
	tcase_add_test(tc, slower_responses_are_learned_within_seconds);
	tcase_add_test(tc, mean_response_of_rarely_used_service_is_kept);
	tcase_add_test(tc, rare_slow_requests_are_not_taken_as_ended);
	tcase_add_test(tc,
		       route_with_a_flow_for_each_request_is_told_from_others);
	tcase_add_test(tc, estimate_is_finite_at_any_time);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
