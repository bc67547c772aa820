/*
 * Tests of an instance whose configuration is older than that of others. They
 * guard against resets of flows whose route is in force but not known here yet.
 */

#include <check.h>
#include <stdlib.h>

#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */
#define NEW_PORT 9000	  /* of the route that others know already */
#define FLOW_PORT 4000

static struct cookie_instance in;
static GArray *resets;
static upstream_index_t upstream;

static const uint16_t with_new[] = { TEST_ROUTE_PORT, NEW_PORT };

static void setup(void)
{
	struct upstream_report r = make_upstream_report("u-a", "north");

	init_cookie_instance(&in, "front-1", "north");
	upstream = put_test_upstream(&in, &r, 0);
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
}

static void teardown(void)
{
	release_cookie_instance(&in);
	g_array_free(resets, TRUE);
}

/* A packet of a flow to PORT that other instances forwarded before. */
static struct cookie_decision receive_moved(uint16_t port, uint32_t seq,
					    uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, FLOW_PORT, TCP_ACK,
				   get_upstream(in.catalog, upstream)->cookie);

	p.key.service_port = port;
	p.seq = seq;
	p.payload_len = 100;
	p.ack = 500 + seq;
	return steer_cookie_packet(in.steering, &p, false, now_ms);
}

static void apply_routes(uint64_t version, size_t port_nr, uint64_t now_ms)
{
	set_test_routes(in.catalog, version, with_new, port_nr, 20);
	end_flows_without_route(in.steering, now_ms, resets);
}

/* An instance that applied a storm version by version reset new flows. */
START_TEST(versions_before_the_one_with_its_route_end_no_flow)
{
	receive_moved(NEW_PORT, 5000, 1000);
	for (uint64_t version = 2; version < 9; version++)
		apply_routes(version, 1, 1000 + 10 * version);
	apply_routes(9, 2, 1100);
	ck_assert_uint_eq(resets->len, 0);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 1);
	ck_assert_int_eq(receive_moved(NEW_PORT, 5100, 1110).verdict,
			 COOKIE_TO_UPSTREAM);
}
END_TEST

START_TEST(flow_ends_when_its_late_route_is_dropped)
{
	receive_moved(NEW_PORT, 5000, 1000);
	apply_routes(2, 1, 1010);
	apply_routes(3, 2, 1020);
	apply_routes(4, 1, 1030);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert_int_eq(g_array_index(resets, struct cookie_reset, 0).reason,
			 COOKIE_ROUTE_GONE);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 0);
}
END_TEST

/* The version that added the route and the one that dropped it were skipped. */
START_TEST(flow_ends_once_a_later_copy_of_the_store_lacks_its_route)
{
	receive_moved(NEW_PORT, 5000, 1000);
	note_routes_current(in.steering, 1000);
	apply_routes(2, 1, 2000);
	ck_assert_uint_eq(resets->len, 0);
	ck_assert(!may_end_unknown_routes(in.steering));
	note_routes_current(in.steering, 1001);
	ck_assert(may_end_unknown_routes(in.steering));
	end_flows_without_route(in.steering, 2010, resets);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert(!may_end_unknown_routes(in.steering));
}
END_TEST

/* Callers were refused whom a member would have served. */
START_TEST(syn_of_an_unknown_route_goes_to_a_member_that_is_ahead)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, FLOW_PORT, TCP_SYN, 0);
	struct cookie_decision d;

	p.key.service_port = NEW_PORT;
	set_cookie_routes_behind(in.steering, true);
	d = steer_cookie_packet(in.steering, &p, false, 1000);
	ck_assert_int_eq(d.verdict, COOKIE_TO_PEER);
	ck_assert_int_eq(d.reason, COOKIE_NOT_READY);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 0);
	set_cookie_routes_behind(in.steering, false);
	d = steer_cookie_packet(in.steering, &p, false, 1010);
	ck_assert_int_eq(d.verdict, COOKIE_RESET);
	ck_assert_int_eq(d.reason, COOKIE_NO_ROUTE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("late-routes");
	TCase *tc = tcase_create("late-routes");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, versions_before_the_one_with_its_route_end_no_flow);
	tcase_add_test(tc, flow_ends_when_its_late_route_is_dropped);
	tcase_add_test(
		tc, flow_ends_once_a_later_copy_of_the_store_lacks_its_route);
	tcase_add_test(tc,
		       syn_of_an_unknown_route_goes_to_a_member_that_is_ahead);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
