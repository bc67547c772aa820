/*
 * Tests of net/http-server: a body whose pieces fill the read buffer exactly.
 * The loop then reports a read of 0 bytes, which must not be taken for the end
 * of the connection.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "net/frontend-request.h"
#include "net/frontend.h"
#include "net/http-server.h"

#define BODY_LEN (3 * 65536)
#define PIECE_LEN 65536 /* bytes; READ_BUFFER_BYTES of the server */
#define PIECE_GAP_MS 20
#define PORT 22979

static uv_loop_t loop;
static struct http_server *server;
static uv_tcp_t caller;
static uv_connect_t connecting;
static uv_write_t write_req;
static uv_timer_t timer;
static char body[BODY_LEN];
static size_t sent;	/* bytes of the body */
static size_t received; /* bytes of the body that reached the handler */
static char answer_text[64];

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct http_message *a = create_http_message();

	(void)data;
	received = m->body->len;
	a->code = 200;
	answer_http(ex, a);
}

static void alloc_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[1024];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void finish(void)
{
	uv_timer_stop(&timer);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_close((uv_handle_t *)&caller, NULL);
	destroy_http_server(server);
}

static void on_answer(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	(void)stream;
	if (!n)
		return;
	if (n > 0)
		g_strlcpy(answer_text, buf->base,
			  MIN(sizeof(answer_text), (size_t)n + 1));
	finish();
}

static void send_piece(uv_timer_t *t)
{
	uv_buf_t buf = uv_buf_init(body + sent, PIECE_LEN);

	(void)t;
	if (sent == BODY_LEN)
		return;
	sent += PIECE_LEN;
	uv_write(&write_req, (uv_stream_t *)&caller, &buf, 1, NULL);
}

static void on_connected(uv_connect_t *req, int status)
{
	static char head[100];
	static uv_write_t head_req;
	uv_buf_t buf;

	(void)req;
	ck_assert_int_eq(status, 0);
	snprintf(head, sizeof(head),
		 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n",
		 BODY_LEN);
	buf = uv_buf_init(head, (unsigned int)strlen(head));
	uv_write(&head_req, (uv_stream_t *)&caller, &buf, 1, NULL);
	uv_read_start((uv_stream_t *)&caller, alloc_buffer, on_answer);
	uv_timer_start(&timer, send_piece, PIECE_GAP_MS, PIECE_GAP_MS);
}

START_TEST(body_in_buffer_sized_pieces_is_not_cut_short)
{
	struct http_handler handler = { .on_request = on_request };
	struct sockaddr_storage ss;
	struct endpoint address;
	struct status st;
	char text[ENDPOINT_TEXT_MAX];
	const char *test_net = g_getenv("BV_TEST_NET");

	snprintf(text, sizeof(text), "127.%s.0.1:%d", test_net ? test_net : "0",
		 PORT);
	ck_assert_int_eq(parse_endpoint(text, &address, &st), STATUS_OK);
	endpoint_to_sockaddr(&address, &ss);
	uv_loop_init(&loop);
	server = create_http_server(&loop, &address, BODY_LEN, &handler, &st);
	ck_assert_msg(server != NULL, "%s", st.message);
	uv_timer_init(&loop, &timer);
	uv_tcp_init(&loop, &caller);
	uv_tcp_connect(&connecting, &caller, (struct sockaddr *)&ss,
		       on_connected);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	ck_assert_uint_eq(received, BODY_LEN);
	ck_assert(g_str_has_prefix(answer_text, "HTTP/1.1 200"));
}
END_TEST

/*
 * A body may pass the limit with the last part before its call starts. What
 * follows must not be kept without a bound.
 */
START_TEST(body_kept_for_a_retry_is_bounded)
{
	ck_assert(keeps_body_part(FRONTEND_RETRY_BODY_MAX - 1, 65536, false));
	ck_assert(!keeps_body_part(FRONTEND_RETRY_BODY_MAX + 65535, 1, true));
	ck_assert(!keeps_body_part(FRONTEND_RETRY_BODY_MAX, 1, true));
	ck_assert(keeps_body_part(FRONTEND_RETRY_BODY_MAX - 1, 1, true));
	ck_assert(!keeps_body_part(FRONTEND_RETRY_BODY_MAX - 1, 2, true));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-server");
	TCase *tc = tcase_create("http-server");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, body_in_buffer_sized_pieces_is_not_cut_short);
	tcase_add_test(tc, body_kept_for_a_retry_is_bounded);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
