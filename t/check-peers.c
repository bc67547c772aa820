/* Tests of net/peers over real ZeroMQ connections on loopback. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "net/peers.h"

#define WAIT_MS 5000	   /* longest wait for expected messages */
#define MESSAGE_COUNT 100  /* fewer than a link's queue holds */
#define BURST_COUNT 100000 /* more than any queue holds */

static uv_loop_t loop;
static uv_timer_t timer;
static struct counters counters[2];
static struct peers *peers[2];
static struct endpoint addresses[2];
static size_t received_count;
static size_t received_bytes;
static bool in_order;

static void on_message(const void *data, size_t len, void *user)
{
	uint32_t number = 0;

	(void)user;
	memcpy(&number, data, MIN(len, sizeof(number)));
	in_order &= number == received_count;
	received_count++;
	received_bytes += len;
}

static void on_wait_over(uv_timer_t *t)
{
	uv_stop(t->loop);
}

/* Runs the loop until NUMBER messages have arrived; false after WAIT_MS. */
static bool wait_for(size_t number)
{
	uint64_t end;

	uv_update_time(&loop);
	end = uv_now(&loop) + WAIT_MS;
	uv_timer_start(&timer, on_wait_over, WAIT_MS, 0);
	while (received_count < number && uv_now(&loop) < end)
		uv_run(&loop, UV_RUN_ONCE);
	uv_timer_stop(&timer);
	return received_count >= number;
}

static struct peers *open_peers(size_t i)
{
	const char *net = g_getenv("BV_TEST_NET");
	char *text =
		g_strdup_printf("127.%s.81.%zu:7401", net ? net : "0", i + 1);
	struct status st;
	struct peers *ps;

	ck_assert_uint_eq(parse_endpoint(text, &addresses[i], &st), STATUS_OK);
	ps = create_peers(&loop, &addresses[i], &counters[i], &st);
	ck_assert_msg(ps != NULL, "%s: %s", text, st.message);
	set_peer_handler(ps, PEER_FLOWS, on_message, NULL);
	g_free(text);
	return ps;
}

static void setup(void)
{
	uv_loop_init(&loop);
	uv_timer_init(&loop, &timer);
	received_count = 0;
	received_bytes = 0;
	in_order = true;
	for (size_t i = 0; i < 2; i++)
		peers[i] = open_peers(i);
}

static void teardown(void)
{
	destroy_peers(peers[0]);
	destroy_peers(peers[1]);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}

static void send_numbers(uint32_t number)
{
	for (uint32_t i = 0; i < number; i++)
		send_peer(peers[0], &addresses[1], PEER_FLOWS, &i, sizeof(i));
}

START_TEST(messages_arrive_in_order)
{
	send_numbers(MESSAGE_COUNT);
	ck_assert(wait_for(MESSAGE_COUNT));
	ck_assert(in_order);
	ck_assert_uint_eq(counters[1].value[COUNT_PEER_RECEIVED],
			  MESSAGE_COUNT);
	ck_assert_uint_eq(counters[0].value[COUNT_PEER_LINKS], 1);
}
END_TEST

START_TEST(largest_message_arrives_and_larger_is_dropped)
{
	uint8_t *data = g_malloc0(PEER_MESSAGE_MAX + 1);

	send_peer(peers[0], &addresses[1], PEER_FLOWS, data, PEER_MESSAGE_MAX);
	ck_assert(wait_for(1));
	ck_assert_uint_eq(received_bytes, PEER_MESSAGE_MAX);
	send_peer(peers[0], &addresses[1], PEER_FLOWS, data,
		  PEER_MESSAGE_MAX + 1);
	ck_assert_uint_eq(counters[0].value[COUNT_PEER_DROPPED], 1);
	g_free(data);
}
END_TEST

START_TEST(queue_to_absent_peer_is_bounded)
{
	struct endpoint absent = addresses[1];

	absent.port = 7999;
	for (uint32_t i = 0; i < BURST_COUNT; i++)
		send_peer(peers[0], &absent, PEER_FLOWS, &i, sizeof(i));
	ck_assert_uint_gt(counters[0].value[COUNT_PEER_DROPPED],
			  BURST_COUNT * 9 / 10);
}
END_TEST

START_TEST(reset_peer_opens_a_new_connection)
{
	uint32_t number = 1;

	send_numbers(1);
	ck_assert(wait_for(1));
	reset_peer(peers[0], &addresses[1]);
	send_peer(peers[0], &addresses[1], PEER_FLOWS, &number, sizeof(number));
	ck_assert(wait_for(2));
	ck_assert_uint_eq(counters[0].value[COUNT_PEER_LINKS], 2);
}
END_TEST

START_TEST(message_without_handler_is_counted_as_malformed)
{
	uint32_t number = 0;

	send_peer(peers[0], &addresses[1], PEER_REQUESTS, &number,
		  sizeof(number));
	send_numbers(1);
	ck_assert(wait_for(1));
	ck_assert_uint_eq(counters[1].value[COUNT_PEER_MALFORMED], 1);
}
END_TEST

START_TEST(sending_to_more_peers_than_links_works)
{
	uint32_t number = 0;

	for (uint16_t port = 7500; port < 7700; port++) {
		struct endpoint to = addresses[1];

		to.port = port;
		send_peer(peers[0], &to, PEER_FLOWS, &number, sizeof(number));
		ck_assert_uint_le(peer_link_count(peers[0]), PEER_LINKS_MAX);
	}
	ck_assert_uint_eq(peer_link_count(peers[0]), PEER_LINKS_MAX);
	send_numbers(1);
	ck_assert(wait_for(1));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peers");
	TCase *t = tcase_create("loopback");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, messages_arrive_in_order);
	tcase_add_test(t, largest_message_arrives_and_larger_is_dropped);
	tcase_add_test(t, queue_to_absent_peer_is_bounded);
	tcase_add_test(t, reset_peer_opens_a_new_connection);
	tcase_add_test(t, message_without_handler_is_counted_as_malformed);
	tcase_add_test(t, sending_to_more_peers_than_links_works);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
