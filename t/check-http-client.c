/* Tests of net/http-client: how a call ends that gets no answer. */

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "net/check-result.h"
#include "net/http-client.h"

#define TIMEOUT_MS 100
#define CONNECT_TIMEOUT_MS 20
#define ACCEPT_DELAY_MS 20 /* the request has arrived by then */
#define ANSWER_MAX_BYTES 4096

static uv_loop_t loop;
static uv_timer_t timer;
static struct http_call_result result;
static struct endpoint server;
static int listener;

static void on_done(const struct http_call_result *r, void *data)
{
	(void)data;
	result = *r;
}

static void setup(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_ge(listener, 0);
	ck_assert(!bind(listener, (struct sockaddr *)&sa, sizeof(sa)));
	ck_assert(!getsockname(listener, (struct sockaddr *)&sa, &len));
	ck_assert(!listen(listener, 1));
	parse_address("127.0.0.1", &server, NULL);
	server.port = ntohs(sa.sin_port);
	uv_loop_init(&loop);
	uv_timer_init(&loop, &timer);
}

static void teardown(void)
{
	close(listener);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert(!uv_loop_close(&loop));
}

static struct http_call *start_call(void)
{
	struct http_message *m = create_http_message();
	struct http_call *c;

	m->method = HTTP_GET;
	m->target = g_strdup("/health");
	c = start_http_call(&loop, &server, m, TIMEOUT_MS, ANSWER_MAX_BYTES,
			    on_done, NULL);
	destroy_http_message(m);
	return c;
}

/* Sends a request to the server until its call ends. */
static void run_call(void)
{
	start_call();
	uv_run(&loop, UV_RUN_DEFAULT);
}

/* Accepts the connection, reads the request and sends TIMER's text. */
static void serve(uv_timer_t *t)
{
	const char *text = t->data;
	char request[1024];
	int fd = accept(listener, NULL, NULL);

	ck_assert_int_ge(fd, 0);
	if (text) {
		ck_assert_int_gt(read(fd, request, sizeof(request)), 0);
		ck_assert_int_eq(write(fd, text, strlen(text)),
				 (ssize_t)strlen(text));
	}
	close(fd); /* with unread data the kernel sends a reset */
}

static void run_served_call(const char *text)
{
	timer.data = (void *)text;
	uv_timer_start(&timer, serve, ACCEPT_DELAY_MS, 0);
	run_call();
}

START_TEST(refused_connection_is_told)
{
	close(listener);
	run_call();
	ck_assert_int_eq(result.kind, STATUS_UNAVAILABLE);
	ck_assert_int_eq(result.error, UV_ECONNREFUSED);
}
END_TEST

/* Leaves no descriptor to this process; returns the limit before. */
static struct rlimit take_descriptors(void)
{
	struct rlimit old;
	struct rlimit none;
	int next = dup(listener);

	close(next);
	ck_assert(!getrlimit(RLIMIT_NOFILE, &old));
	none = old;
	none.rlim_cur = (rlim_t)next;
	ck_assert(!setrlimit(RLIMIT_NOFILE, &none));
	return old;
}

/* Guards against a local fault that looks like a connect that takes long. */
START_TEST(call_that_cannot_connect_ends_before_its_connect_timeout)
{
	struct rlimit old = take_descriptors();
	uint64_t start_ms = uv_now(&loop);

	set_http_connect_timeout(start_call(), TIMEOUT_MS);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert(!setrlimit(RLIMIT_NOFILE, &old));
	ck_assert_int_eq(result.error, UV_EMFILE);
	ck_assert_uint_lt(uv_now(&loop) - start_ms, TIMEOUT_MS);
}
END_TEST

/* Guards against a lack of descriptors here that looks like a refusal. */
START_TEST(lack_of_descriptors_is_told)
{
	struct rlimit old = take_descriptors();

	run_call();
	ck_assert(!setrlimit(RLIMIT_NOFILE, &old));
	ck_assert_int_eq(result.kind, STATUS_UNAVAILABLE);
	ck_assert_int_eq(result.error, UV_EMFILE);
}
END_TEST

/* Guards against verdicts on upstreams for what this process lacks. */
START_TEST(check_that_could_not_be_made_proves_nothing)
{
	static const int errors[] = { UV_EMFILE, UV_ENFILE, UV_ENOBUFS,
				      UV_ENOMEM, UV_EACCES, UV_EADDRNOTAVAIL };
	struct http_call_result r = { .kind = STATUS_UNAVAILABLE,
				      .error = errors[_i] };

	ck_assert_int_eq(classify_check(&r, "u-a", 2), CHECK_NOT_MADE);
	ck_assert_int_eq(classify_check(&r, "u-a", 355), CHECK_NOT_MADE);
}
END_TEST

/* Guards against a reset of the connect that is taken for a closed port. */
START_TEST(only_a_refusal_says_that_nothing_listens)
{
	static const int errors[] = { UV_ECONNRESET, UV_EHOSTUNREACH,
				      UV_ENETUNREACH, UV_ETIMEDOUT };
	struct http_call_result r = { .kind = STATUS_UNAVAILABLE,
				      .error = errors[_i] };

	ck_assert_int_eq(classify_check(&r, "u-a", 2), CHECK_UNREACHABLE);
	r.error = UV_ECONNREFUSED;
	ck_assert_int_eq(classify_check(&r, "u-a", 2), CHECK_REFUSED);
	ck_assert_int_eq(classify_check(&r, "u-a", CHECK_REFUSED_MS + 1),
			 CHECK_UNREACHABLE);
}
END_TEST

static void stall(uv_prepare_t *p)
{
	(void)p;
	uv_sleep(3 * CONNECT_TIMEOUT_MS);
}

/*
 * Guards against a connection that is made in time and read late, once or
 * before each time that the loop polls, and that counts as missing.
 */
START_TEST(connection_made_during_a_pause_is_seen)
{
	uv_prepare_t prepare;

	uv_prepare_init(&loop, &prepare);
	set_http_connect_timeout(start_call(), CONNECT_TIMEOUT_MS);
	uv_sleep(3 * CONNECT_TIMEOUT_MS);
	if (_i)
		uv_prepare_start(&prepare, stall);
	uv_unref((uv_handle_t *)&prepare);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(result.kind, STATUS_UNKNOWN);
	uv_close((uv_handle_t *)&prepare, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
}
END_TEST

START_TEST(missing_answer_is_told)
{
	run_call();
	ck_assert_int_eq(result.kind, STATUS_UNKNOWN);
	ck_assert_int_eq(result.error, UV_ETIMEDOUT);
}
END_TEST

START_TEST(broken_connection_is_told)
{
	static const struct {
		const char *text;
		int error;
	} cases[] = { { NULL, UV_ECONNRESET },
		      { "", UV_EOF },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
			UV_EOF },
		      { "no HTTP\r\n\r\n", UV_EPROTO } };

	run_served_call(cases[_i].text);
	ck_assert_int_eq(result.kind, STATUS_UNKNOWN);
	ck_assert_int_eq(result.error, cases[_i].error);
}
END_TEST

START_TEST(answered_call_has_no_error)
{
	run_served_call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	ck_assert_int_eq(result.kind, STATUS_OK);
	ck_assert_int_eq(result.error, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-client");
	TCase *tc = tcase_create("http-client");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, refused_connection_is_told);
	tcase_add_test(tc, lack_of_descriptors_is_told);
	tcase_add_test(
		tc, call_that_cannot_connect_ends_before_its_connect_timeout);
	tcase_add_loop_test(tc, check_that_could_not_be_made_proves_nothing, 0,
			    6);
	tcase_add_loop_test(tc, only_a_refusal_says_that_nothing_listens, 0, 4);
	tcase_add_loop_test(tc, connection_made_during_a_pause_is_seen, 0, 2);
	tcase_add_test(tc, missing_answer_is_told);
	tcase_add_loop_test(tc, broken_connection_is_told, 0, 4);
	tcase_add_test(tc, answered_call_has_no_error);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
