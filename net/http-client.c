#include "net/http-client.h"

#include <string.h>

#define READ_BUFFER_BYTES 65536
#define TIMEOUT_GRACE_MS 5 /* enough for the loop to poll its sockets once */

struct http_call {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	struct http_reader *reader;
	struct http_message *answer;
	GByteArray *request_bytes;
	bool maybe_sent; /* connected, so that bytes may have been sent */
	bool malformed;	 /* the answer, as far as it arrived */
	uint64_t timeout_ms;
	bool timeout_deferred; /* it has expired once; see on_timeout() */
	bool closing;
	int open_handles;
	void (*on_done)(const struct http_call_result *r, void *data);
	void (*on_connect)(void *data); /* may be NULL */
	void *data;
	char buffer[READ_BUFFER_BYTES];
};

static void on_closed(uv_handle_t *handle)
{
	struct http_call *c = handle->data;

	if (--c->open_handles)
		return;
	destroy_http_reader(c->reader);
	destroy_http_message(c->answer);
	g_byte_array_free(c->request_bytes, TRUE);
	g_free(c);
}

void cancel_http_call(struct http_call *c)
{
	if (c->closing)
		return;
	c->closing = true;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->timer, on_closed);
}

static void finish_call(struct http_call *c)
{
	struct http_call_result r = { .kind = STATUS_OK,
				      .malformed = c->malformed,
				      .answer = c->answer };

	if (c->closing)
		return;
	if (!c->answer)
		r.kind = c->maybe_sent ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
	cancel_http_call(c);
	c->on_done(&r, c->data);
}

static void on_message(struct http_message *m, void *user)
{
	struct http_call *c = user;

	if (c->answer || m->code < 200)
		destroy_http_message(m);
	else
		c->answer = m;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_call *c = stream->data;
	unsigned int error;

	if (!n) /* nothing to read; the parser treats 0 bytes as EOF */
		return;
	if (n < 0)
		error = n == UV_EOF ? feed_http_eof(c->reader, on_message, c)
				    : 1;
	else
		error = feed_http(c->reader, buf->base, (size_t)n, on_message,
				  c);
	c->malformed = n > 0 && error && !c->answer;
	if (c->answer || error || n < 0)
		finish_call(c);
}

static void alloc_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct http_call *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->buffer, READ_BUFFER_BYTES);
}

static void on_written(uv_write_t *req, int status)
{
	if (status < 0)
		finish_call(req->data);
}

/*
 * After a pause of this process, libuv runs expired timers before it reads the
 * data that arrived meanwhile. So the first expiry only starts a short grace
 * period, in which such an answer is still read.
 */
static void on_timeout(uv_timer_t *timer)
{
	struct http_call *c = timer->data;

	if (c->timeout_deferred) {
		finish_call(c);
		return;
	}
	c->timeout_deferred = true;
	uv_timer_start(timer, on_timeout, TIMEOUT_GRACE_MS, 0);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct http_call *c = req->data;
	uv_buf_t buf;

	if (c->closing)
		return;
	if (status < 0) {
		finish_call(c);
		return;
	}
	c->maybe_sent = true;
	c->timeout_deferred = false;
	if (c->on_connect)
		c->on_connect(c->data);
	uv_timer_start(&c->timer, on_timeout, c->timeout_ms, 0);
	buf = uv_buf_init((char *)c->request_bytes->data,
			  c->request_bytes->len);
	uv_tcp_nodelay(&c->tcp, 1);
	c->write.data = c;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) <
		    0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, alloc_buffer, on_read) < 0)
		finish_call(c);
}

/* Reports a connect that failed at once from the loop, not from the caller. */
static void schedule_failure(struct http_call *c)
{
	uv_timer_start(&c->timer, on_timeout, 0, 0);
}

struct http_call *start_http_call(
	uv_loop_t *loop, const struct endpoint *ep,
	const struct http_message *m, uint64_t timeout_ms, size_t max_body,
	void (*fn)(const struct http_call_result *r, void *data), void *data)
{
	struct http_call *c = g_new0(struct http_call, 1);
	struct sockaddr_storage ss;
	char host[ENDPOINT_TEXT_MAX];

	c->on_done = fn;
	c->data = data;
	c->reader = create_http_reader(HTTP_READ_ANSWERS, max_body);
	c->request_bytes = g_byte_array_new();
	write_http_request(m, format_endpoint(ep, host), c->request_bytes);
	uv_tcp_init(loop, &c->tcp);
	uv_timer_init(loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c;
	c->timer.data = c;
	c->connect.data = c;
	endpoint_to_sockaddr(ep, &ss);
	c->timeout_ms = timeout_ms;
	if (uv_tcp_connect(&c->connect, &c->tcp, (struct sockaddr *)&ss,
			   on_connected) < 0)
		schedule_failure(c);
	else
		uv_timer_start(&c->timer, on_timeout, timeout_ms, 0);
	return c;
}

void set_http_connect_callback(struct http_call *c, void (*fn)(void *data))
{
	c->on_connect = fn;
}

void set_http_connect_timeout(struct http_call *c, uint64_t ms)
{
	if (!c->maybe_sent && !c->closing)
		uv_timer_start(&c->timer, on_timeout, ms, 0);
}
