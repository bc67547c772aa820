/*
 * Tests of upstreams whose ids give the same cookie. They guard against packets
 * of open flows that go to another upstream with that cookie, on an instance
 * that has run before or one that has just started.
 */

#include <check.h>
#include <stdlib.h>

#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */
#define UPSTREAMS 3

/* All have the same cookie; the one that starts first has not the lowest id. */
static const struct {
	const char *name;
	uint64_t id;
	uint64_t started_at_ms;
} upstreams[UPSTREAMS] = { { "i-05c0ffee31", 0x05c0ffee31, 100 },
			   { "i-01c0ffee35", 0x01c0ffee35, 200 },
			   { "i-03c0ffee37", 0x03c0ffee37, 300 } };

static struct cookie_instance in;
static uint64_t started_at_ms[UPSTREAMS];
static uint32_t cookie;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	cookie = make_cookie(upstreams[0].id);
	for (int i = 0; i < UPSTREAMS; i++) {
		started_at_ms[i] = upstreams[i].started_at_ms;
		ck_assert_uint_eq(make_cookie(upstreams[i].id), cookie);
	}
}

/* The entry of upstream NR is read. */
static void put(int nr, uint64_t now_ms)
{
	struct upstream_report r =
		make_upstream_report(upstreams[nr].name, "north");

	r.id = upstreams[nr].id;
	r.started_at_ms = started_at_ms[nr];
	put_test_upstream(&in, &r, now_ms);
}

static void teardown(void)
{
	release_cookie_instance(&in);
}

/* The name of the upstream that gets packets of open flows with the cookie. */
static const char *steered_to(uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, 4000, TCP_ACK, cookie);
	struct cookie_decision d =
		steer_cookie_packet(in.steering, &p, false, now_ms);

	if (d.verdict != COOKIE_TO_UPSTREAM)
		return "none";
	return get_upstream(in.catalog, d.upstream)->report.name;
}

/* The name of the upstream that gets a new flow. */
static const char *placed_on(uint64_t now_ms)
{
	static uint16_t port = 5000;
	struct cookie_packet p = make_cookie_packet(CALLER, port++, TCP_SYN, 0);
	struct cookie_decision d =
		steer_cookie_packet(in.steering, &p, false, now_ms);

	if (d.verdict != COOKIE_TO_UPSTREAM)
		return "none";
	return get_upstream(in.catalog, d.upstream)->report.name;
}

static void expect(const char *steered, const char *placed, uint64_t now_ms)
{
	ck_assert_str_eq(steered_to(now_ms), steered);
	ck_assert_str_eq(placed_on(now_ms), placed);
}

static void expire(uint64_t now_ms)
{
	expire_catalog(in.catalog, now_ms);
	forget_expired_upstreams(in.steering);
}

/* A release started an upstream that got all open flows of another one. */
START_TEST(newcomer_takes_no_flows_of_an_upstream_with_its_number)
{
	put(0, 1000);
	expect("i-05c0ffee31", "i-05c0ffee31", 5000);
	put(1, 6000);
	expect("i-05c0ffee31", "i-05c0ffee31", 6000);
	put(2, 7000);
	expect("i-05c0ffee31", "i-05c0ffee31", 90000);
}
END_TEST

/* All instances decide alike that start when the entries are there. */
START_TEST(first_one_has_the_number_in_any_order_of_reading)
{
	int first = _i / 2;
	int second = (first + 1 + _i % 2) % UPSTREAMS;

	put(first, 1000);
	put(second, 1010);
	put(UPSTREAMS - first - second, 1020);
	expect("i-05c0ffee31", "i-05c0ffee31", 1030);
}
END_TEST

/* The store was away, and entries lapsed. */
START_TEST(upstream_whose_entry_lapses_keeps_its_number)
{
	put(0, 1000);
	put(1, 1000);
	remove_catalog_upstream(in.catalog, upstreams[0].name, 5000);
	expect("i-05c0ffee31", "none", 5000);
	expire(5000 + TEST_ENTRY_TTL_MS);
	expect("i-05c0ffee31", "none", 5000 + TEST_ENTRY_TTL_MS);
	put(0, 5000 + TEST_ENTRY_TTL_MS);
	expect("i-05c0ffee31", "i-05c0ffee31", 5000 + TEST_ENTRY_TTL_MS);
}
END_TEST

START_TEST(number_of_an_upstream_that_left_is_free_after_its_flows)
{
	put(0, 1000);
	put(1, 1000);
	remove_catalog_upstream(in.catalog, upstreams[0].name, 5000);
	expire(5001 + TEST_ENTRY_TTL_MS);
	expect("i-01c0ffee35", "i-01c0ffee35", 5001 + TEST_ENTRY_TTL_MS);
}
END_TEST

/*
 * By its new start it is the later one. Its flows may be open until all that
 * were placed before that was known are over; then the other one follows, as on
 * instances that start meanwhile.
 */
START_TEST(upstream_that_starts_again_keeps_its_number_for_its_flows)
{
	put(0, 1000);
	put(1, 1000);
	started_at_ms[0] = 900;
	put(0, 5000);
	expect("i-05c0ffee31", "none", 5000);
	expire(5000 + TEST_ENTRY_TTL_MS);
	expect("i-05c0ffee31", "none", 5000 + TEST_ENTRY_TTL_MS);
	expire(5001 + TEST_ENTRY_TTL_MS);
	expect("i-01c0ffee35", "i-01c0ffee35", 5001 + TEST_ENTRY_TTL_MS);
}
END_TEST

START_TEST(instance_that_starts_after_that_follows_the_later_owner)
{
	started_at_ms[0] = 900;
	put(_i, 1000);
	put(1 - _i, 1010);
	expect("i-01c0ffee35", "i-01c0ffee35", 1020);
}
END_TEST

/* Clocks differ: an upstream may seem to have started before it did. */
START_TEST(newcomer_that_seems_older_waits_for_the_flows_to_end)
{
	put(1, 1000);
	put(0, 5000);
	expect("i-01c0ffee35", "none", 5000);
	/* the one that waits leaves again */
	remove_catalog_upstream(in.catalog, upstreams[0].name, 6000);
	expire(6001 + TEST_ENTRY_TTL_MS);
	expect("i-01c0ffee35", "i-01c0ffee35", 6001 + TEST_ENTRY_TTL_MS);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("shared-numbers");
	TCase *tc = tcase_create("shared-numbers");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc,
		       newcomer_takes_no_flows_of_an_upstream_with_its_number);
	tcase_add_loop_test(tc,
			    first_one_has_the_number_in_any_order_of_reading, 0,
			    2 * UPSTREAMS);
	tcase_add_test(tc, upstream_whose_entry_lapses_keeps_its_number);
	tcase_add_test(tc,
		       number_of_an_upstream_that_left_is_free_after_its_flows);
	tcase_add_test(
		tc, upstream_that_starts_again_keeps_its_number_for_its_flows);
	tcase_add_loop_test(
		tc, instance_that_starts_after_that_follows_the_later_owner, 0,
		2);
	tcase_add_test(tc,
		       newcomer_that_seems_older_waits_for_the_flows_to_end);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
