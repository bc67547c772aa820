/*
 * Tests of the age of datagrams. They guard against packets that waited while
 * the process did not run and are taken for new ones.
 */

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/datagrams.h"

#define PORT 7793
#define DELAY_MS 300
#define TOLERANCE_MS 100 /* of a busy machine */
#define FDS_MAX 64

static uv_loop_t loop;
static struct datagrams *dg;
static struct endpoint at;
static uint32_t ages_ms[8];
static int age_nr;

static void on_datagram(uint8_t *data, size_t len, const struct endpoint *from,
			void *user)
{
	(void)data;
	(void)len;
	(void)from;
	(void)user;
	ck_assert_int_lt(age_nr, 8);
	ages_ms[age_nr++] = datagram_age_ms(dg);
}

static void setup(void)
{
	struct status st;

	ck_assert_int_eq(parse_endpoint("127.0.94.1:7793", &at, &st),
			 STATUS_OK);
	uv_loop_init(&loop);
	dg = create_datagrams(&loop, &at, on_datagram, NULL, &st);
	ck_assert_ptr_nonnull(dg);
	age_nr = 0;
	uv_run(&loop, UV_RUN_NOWAIT);
}

static void teardown(void)
{
	destroy_datagrams(dg);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

static struct sockaddr_in socket_address(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(PORT) };

	sa.sin_addr.s_addr = htonl(endpoint_ipv4(&at));
	return sa;
}

static void send_datagram(void)
{
	struct sockaddr_in sa = socket_address();
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(
		sendto(fd, "x", 1, 0, (struct sockaddr *)&sa, sizeof(sa)), 1);
	close(fd);
}

/* Makes the system tell no time of receipt, as some systems do. */
static void turn_off_times_of_receipt(void)
{
	struct sockaddr_in sa = socket_address();
	int off = 0;
	int found = 0;

	for (int fd = 0; fd < FDS_MAX; fd++) {
		struct sockaddr_in bound = { 0 };
		socklen_t len = sizeof(bound);

		if (getsockname(fd, (struct sockaddr *)&bound, &len) ||
		    bound.sin_port != sa.sin_port ||
		    bound.sin_addr.s_addr != sa.sin_addr.s_addr)
			continue;
		ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS,
					    &off, sizeof(off)),
				 0);
		found++;
	}
	ck_assert_int_eq(found, 1);
}

static void sleep_ms(unsigned int ms)
{
	usleep(ms * 1000);
}

/* The kernel begins to note times of receipt a moment after it was asked to. */
static void await_times_of_receipt(void)
{
	for (int i = 0; i < 100; i++) {
		age_nr = 0;
		sleep_ms(2 * TOLERANCE_MS / 10);
		send_datagram();
		uv_run(&loop, UV_RUN_NOWAIT);
		if (age_nr && ages_ms[0] < TOLERANCE_MS / 10)
			break;
	}
	ck_assert_int_eq(age_nr, 1);
	ck_assert_uint_lt(ages_ms[0], TOLERANCE_MS / 10);
	age_nr = 0;
}

START_TEST(datagram_that_waited_unread_has_its_age)
{
	await_times_of_receipt();
	send_datagram();
	sleep_ms(DELAY_MS);
	send_datagram();
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(age_nr, 2);
	ck_assert_uint_ge(ages_ms[0], DELAY_MS - 1);
	ck_assert_uint_le(ages_ms[1], TOLERANCE_MS);
}
END_TEST

START_TEST(age_without_time_of_receipt_is_the_time_since_the_socket_was_empty)
{
	turn_off_times_of_receipt();
	uv_run(&loop, UV_RUN_NOWAIT);
	send_datagram();
	sleep_ms(DELAY_MS);
	send_datagram();
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(age_nr, 2);
	ck_assert_uint_ge(ages_ms[0], DELAY_MS - 1);
	ck_assert_uint_ge(ages_ms[1], DELAY_MS - 1);
	/* the loop has seen the socket empty since */
	for (int i = 0; i < 3; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	send_datagram();
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(age_nr, 3);
	ck_assert_uint_le(ages_ms[2], TOLERANCE_MS);
}
END_TEST

START_TEST(socket_that_was_read_before_the_loop_did_is_empty)
{
	turn_off_times_of_receipt();
	uv_run(&loop, UV_RUN_NOWAIT);
	send_datagram();
	sleep_ms(DELAY_MS);
	/* before the loop finds the socket readable */
	receive_datagrams(dg);
	ck_assert_int_eq(age_nr, 1);
	ck_assert_uint_ge(ages_ms[0], DELAY_MS - 1);
	send_datagram();
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(age_nr, 2);
	ck_assert_uint_le(ages_ms[1], TOLERANCE_MS);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("datagrams");
	TCase *tc = tcase_create("datagrams");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, datagram_that_waited_unread_has_its_age);
	tcase_add_test(
		tc,
		age_without_time_of_receipt_is_the_time_since_the_socket_was_empty);
	tcase_add_test(tc, socket_that_was_read_before_the_loop_did_is_empty);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
