/*
 * Tests of the notices about flows that moved between instances. They guard
 * against requests that count as load at an instance that cannot see their end,
 * and against notices that flood a large failure domain.
 */

#include <check.h>
#include <stdlib.h>

#include "fleet/heartbeat.h"
#include "flow/moved-flows.h"
#include "fleet/peer-format.h"
#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */

static struct cookie_instance first;
static struct cookie_instance second;
static struct moved_flows *mf;
static GArray *keys;

static void setup(void)
{
	init_cookie_instance(&first, "front-1", "north");
	init_cookie_instance(&second, "front-2", "north");
	mf = create_moved_flows();
	keys = g_array_new(FALSE, FALSE, sizeof(struct flow_key));
}

static void teardown(void)
{
	release_cookie_instance(&first);
	release_cookie_instance(&second);
	destroy_moved_flows(mf);
	g_array_free(keys, TRUE);
}

static struct cookie_decision send_packet(struct cookie_instance *in,
					  uint16_t port, uint32_t cookie,
					  uint16_t len, uint32_t ack,
					  uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, port, TCP_ACK, cookie);

	p.seq = 1001;
	p.payload_len = len;
	p.ack = ack;
	return steer_cookie_packet(in->steering, &p, false, now_ms);
}

/* Opens a flow at the first instance and sends a request there. */
static uint32_t open_flow(uint16_t port)
{
	struct cookie_packet syn = make_cookie_packet(CALLER, port, TCP_SYN, 0);
	struct cookie_decision d =
		steer_cookie_packet(first.steering, &syn, false, 1000);

	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert(!d.moved_in);
	send_packet(&first, port, d.cookie, 0, 500, 1008);
	ck_assert(
		!send_packet(&first, port, d.cookie, 100, 500, 1009).moved_in);
	return d.cookie;
}

START_TEST(request_of_moved_flow_counts_at_one_instance_only)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct cookie_decision d;
	struct flow_key key;
	uint32_t cookie;

	put_test_upstream(&first, &r, 0);
	put_test_upstream(&second, &r, 0);
	cookie = open_flow(4001);
	ck_assert_uint_eq(busy_request_count(first.placer), 1);
	d = send_packet(&second, 4001, cookie, 0, 900, 1100);
	ck_assert(d.moved_in);
	key = make_cookie_packet(CALLER, 4001, TCP_ACK, cookie).key;
	ck_assert(release_moved_flow(first.steering, &key));
	ck_assert_uint_eq(busy_request_count(first.placer), 0);
	ck_assert_uint_eq(cookie_flow_count(first.steering), 0);
	ck_assert_uint_eq(cookie_flow_count(second.steering), 1);
	/* only the first packet of a flow is news */
	ck_assert(!send_packet(&second, 4001, cookie, 0, 901, 1110).moved_in);
	ck_assert(!release_moved_flow(first.steering, &key));
}
END_TEST

START_TEST(relayed_packet_does_not_move_its_flow)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct cookie_packet p;

	put_test_upstream(&second, &r, 0);
	p = make_cookie_packet(CALLER, 4002, TCP_ACK, make_cookie(r.id));
	ck_assert(
		!steer_cookie_packet(second.steering, &p, true, 1000).moved_in);
}
END_TEST

START_TEST(notice_is_read_as_written_and_malformed_ones_are_refused)
{
	struct flow_key key = { CALLER, TEST_ROUTE_IP, 4001, TEST_ROUTE_PORT };
	GArray *read = g_array_new(FALSE, FALSE, sizeof(struct flow_key));
	const uint8_t *data;
	struct wire_writer w;

	for (int i = 0; i < MOVED_FLOWS_PER_DATAGRAM; i++) {
		key.caller_port = (uint16_t)(60000 + i);
		g_array_append_val(keys, key);
	}
	init_wire_writer(&w);
	write_moved_flows(&w, keys);
	data = (const uint8_t *)w.buf.data;
	ck_assert_uint_le(w.buf.size, 1400);
	ck_assert(has_peer_format(data, w.buf.size, FLOWS_MOVED));
	ck_assert(!is_heartbeat(data, w.buf.size));
	ck_assert(read_moved_flows(data, w.buf.size, read));
	ck_assert_uint_eq(read->len, keys->len);
	ck_assert_mem_eq(read->data, keys->data, sizeof(key) * keys->len);
	ck_assert(!read_moved_flows(data, w.buf.size - 1, read));
	release_wire_writer(&w);
	init_wire_writer(&w);
	write_array(&w, 3);
	write_uint(&w, FLOWS_MOVED);
	write_uint(&w, CALLER);
	write_uint(&w, UINT16_MAX + 1);
	ck_assert(!read_moved_flows(w.buf.data, w.buf.size, read));
	release_wire_writer(&w);
	g_array_free(read, TRUE);
}
END_TEST

START_TEST(notices_are_paced_by_the_number_of_members)
{
	struct flow_key key = { CALLER, TEST_ROUTE_IP, 4001, TEST_ROUTE_PORT };

	for (int i = 0; i < 2 * MOVED_FLOWS_PENDING_MAX; i++)
		note_moved_in(mf, &key);
	ck_assert(pop_moved_flows(mf, 100, 1000, keys));
	ck_assert_uint_eq(keys->len, MOVED_FLOWS_PER_DATAGRAM);
	ck_assert(!pop_moved_flows(mf, 100, 1399, keys));
	ck_assert(pop_moved_flows(mf, 100, 1400, keys));
	ck_assert(!pop_moved_flows(mf, 2, 1449, keys));
	ck_assert(pop_moved_flows(mf, 2, 1450, keys));
	for (uint64_t t = 2000; has_moved_flows(mf); t += 1000)
		ck_assert(pop_moved_flows(mf, 2, t, keys));
	ck_assert_uint_eq(keys->len, MOVED_FLOWS_PENDING_MAX);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("moved-flows");
	TCase *tc = tcase_create("moved-flows");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, request_of_moved_flow_counts_at_one_instance_only);
	tcase_add_test(tc, relayed_packet_does_not_move_its_flow);
	tcase_add_test(
		tc, notice_is_read_as_written_and_malformed_ones_are_refused);
	tcase_add_test(tc, notices_are_paced_by_the_number_of_members);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
