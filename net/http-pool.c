#include "net/http-pool.h"

#include <netinet/tcp.h>
#include <string.h>

#define READ_BUFFER_BYTES 65536
#define SCAN_INTERVAL_MS 100

struct http_pool {
	uv_loop_t *loop;
	uv_timer_t scan_timer;
	size_t max_answer_body;
	GHashTable *connections; /* all open struct pool_call, as a set */
	unsigned int ref_count;
	char read_buffer[READ_BUFFER_BYTES];
};

/* A connection and the call that runs on it, if any. */
struct pool_call {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct http_pool *pool;
	struct endpoint upstream_endpoint;
	struct http_reader *reader;
	const struct pool_call_handler *handler; /* NULL while idle */
	void *data;
	GByteArray *unsent_bytes; /* queued until connected */
	uint64_t request_length;
	uint64_t last_progress_ms; /* loop time */
	bool connected;
	bool reused;
	bool body_ended;
	bool head_received;
	bool silence_reported;
	bool keep_alive;
	bool paused;
	bool closing;
};

struct call_write {
	uv_write_t req;
	GByteArray *bytes;
};

static void unref_pool(struct http_pool *p)
{
	if (--p->ref_count)
		return;
	g_hash_table_destroy(p->connections);
	g_free(p);
}

static void free_connection(uv_handle_t *handle)
{
	struct pool_call *c = handle->data;

	destroy_http_reader(c->reader);
	g_byte_array_free(c->unsent_bytes, TRUE);
	unref_pool(c->pool);
	g_free(c);
}

static void close_connection(struct pool_call *c)
{
	if (c->closing)
		return;
	c->closing = true;
	c->handler = NULL;
	g_hash_table_remove(c->pool->connections, c);
	uv_close((uv_handle_t *)&c->tcp, free_connection);
}

void cancel_pool_call(struct pool_call *c)
{
	close_connection(c);
}

static void fail_call(struct pool_call *c)
{
	const struct pool_call_handler *h = c->handler;
	void *data = c->data;
	bool sent = c->connected;
	bool reused = c->reused;

	close_connection(c);
	if (h)
		h->on_failed(sent, reused, data);
}

static uint64_t loop_now(const struct pool_call *c)
{
	return uv_now(c->pool->loop);
}

static void on_written(uv_write_t *req, int status)
{
	struct call_write *w = req->data;
	struct pool_call *c = req->handle->data;

	g_byte_array_free(w->bytes, TRUE);
	g_free(w);
	if (c->closing)
		return;
	c->last_progress_ms = loop_now(c);
	if (status < 0)
		fail_call(c);
	else if (c->handler && c->handler->on_drained)
		c->handler->on_drained(c->data);
}

static void send_bytes(struct pool_call *c, GByteArray *bytes)
{
	struct call_write *w = g_new0(struct call_write, 1);
	uv_buf_t buf = uv_buf_init((char *)bytes->data, bytes->len);

	w->bytes = bytes;
	w->req.data = w;
	/* a connection that cannot write also fails to read, from the loop */
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) <
	    0) {
		g_byte_array_free(bytes, TRUE);
		g_free(w);
	}
}

/* Takes ownership of BYTES and sends them as soon as C is connected. */
static void send_when_connected(struct pool_call *c, GByteArray *bytes)
{
	if (c->connected) {
		send_bytes(c, bytes);
		return;
	}
	g_byte_array_append(c->unsent_bytes, bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
}

static void on_answer_head(struct http_message *m, void *user)
{
	struct pool_call *c = user;

	if (m->code < 200 || !c->handler)
		return;
	c->head_received = true;
	c->keep_alive = m->keep_alive;
	c->handler->on_head(m, c->data);
}

static void on_answer_body(const char *part, size_t len, void *user)
{
	struct pool_call *c = user;

	if (c->handler && c->head_received)
		c->handler->on_body(part, len, c->data);
}

/* Ends the call; the connection stays open for another if it can be reused. */
static void finish_call(struct pool_call *c)
{
	const struct pool_call_handler *h = c->handler;
	void *data = c->data;

	c->handler = NULL;
	c->last_progress_ms = loop_now(c);
	if (!c->keep_alive || !c->body_ended || c->paused)
		close_connection(c);
	h->on_end(data);
}

static void on_answer_end(void *user)
{
	struct pool_call *c = user;

	if (c->handler && c->head_received)
		finish_call(c);
}

static const struct http_part_callbacks answer_parts = { on_answer_head,
							 on_answer_body,
							 on_answer_end };

static void parse_answer(struct pool_call *c, const char *data, size_t len)
{
	while (len && !c->closing) {
		unsigned int error;
		size_t used = 0;

		if (!c->handler) {
			close_connection(c); /* bytes without a request */
			return;
		}
		error = feed_http_parts(c->reader, data, len, &used,
					&answer_parts, c);
		if (error && !c->closing) {
			fail_call(c);
			return;
		}
		data += used;
		len -= used;
	}
}

/* The upstream closed: ends an answer without length, fails any other. */
static void handle_close(struct pool_call *c)
{
	size_t used;

	if (c->handler && c->head_received)
		feed_http_parts(c->reader, NULL, 0, &used, &answer_parts, c);
	if (c->closing)
		return;
	if (c->handler)
		fail_call(c);
	else
		close_connection(c);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct pool_call *c = stream->data;

	if (!n)
		return;
	c->last_progress_ms = loop_now(c);
	if (n == UV_EOF) {
		c->keep_alive = false;
		handle_close(c);
	} else if (n < 0) {
		fail_call(c);
	} else {
		parse_answer(c, buf->base, (size_t)n);
	}
}

static void alloc_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	const struct pool_call *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->pool->read_buffer, READ_BUFFER_BYTES);
}

static void set_unacked_timeout(struct pool_call *c)
{
	unsigned int ms = HTTP_UNACKED_TIMEOUT_MS;
	uv_os_fd_t fd;

	if (!uv_fileno((uv_handle_t *)&c->tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void on_connected(uv_connect_t *req, int status)
{
	struct pool_call *c = req->data;
	GByteArray *first;

	if (c->closing)
		return;
	if (status < 0) {
		fail_call(c);
		return;
	}
	c->connected = true;
	c->last_progress_ms = loop_now(c);
	uv_tcp_nodelay(&c->tcp, 1);
	set_unacked_timeout(c);
	first = c->unsent_bytes;
	c->unsent_bytes = g_byte_array_new();
	uv_read_start((uv_stream_t *)&c->tcp, alloc_buffer, on_read);
	send_bytes(c, first);
}

static struct pool_call *find_idle(const struct http_pool *p,
				   const struct endpoint *ep)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, p->connections);
	while (g_hash_table_iter_next(&it, &item, NULL)) {
		struct pool_call *c = item;

		if (!c->handler && same_endpoint(&c->upstream_endpoint, ep))
			return c;
	}
	return NULL;
}

static struct pool_call *open_connection(struct http_pool *p,
					 const struct endpoint *ep)
{
	struct pool_call *c = g_new0(struct pool_call, 1);
	struct sockaddr_storage ss;

	c->pool = p;
	c->upstream_endpoint = *ep;
	c->unsent_bytes = g_byte_array_new();
	c->reader = create_http_reader(HTTP_READ_ANSWERS, p->max_answer_body);
	p->ref_count++;
	uv_tcp_init(p->loop, &c->tcp);
	c->tcp.data = c;
	c->connect.data = c;
	g_hash_table_add(p->connections, c);
	endpoint_to_sockaddr(ep, &ss);
	/* if this fails at once, check_connection() times it out */
	uv_tcp_connect(&c->connect, &c->tcp, (struct sockaddr *)&ss,
		       on_connected);
	return c;
}

struct pool_call *
start_pool_call(struct http_pool *p, const struct endpoint *ep,
		const struct http_message *m, uint64_t length, bool fresh,
		const struct pool_call_handler *handler, void *data)
{
	struct pool_call *c = fresh ? NULL : find_idle(p, ep);
	GByteArray *out = g_byte_array_new();
	char host[ENDPOINT_TEXT_MAX];

	if (c)
		c->reused = true;
	else
		c = open_connection(p, ep);
	c->handler = handler;
	c->data = data;
	c->request_length = length;
	c->last_progress_ms = loop_now(c);
	c->body_ended = c->head_received = c->silence_reported = false;
	set_answer_has_body(c->reader, m->method != HTTP_HEAD);
	write_request_head(m, format_endpoint(ep, host), length, out);
	send_when_connected(c, out);
	return c;
}

void add_call_body(struct pool_call *c, const void *part, size_t len)
{
	GByteArray *out;

	if (!len)
		return;
	out = g_byte_array_new();
	if (c->request_length == HTTP_LENGTH_UNKNOWN)
		write_http_chunk(part, len, out);
	else
		g_byte_array_append(out, part, (guint)len);
	send_when_connected(c, out);
}

void end_call_body(struct pool_call *c)
{
	GByteArray *out;

	c->body_ended = true;
	c->last_progress_ms = loop_now(c);
	if (c->request_length != HTTP_LENGTH_UNKNOWN)
		return;
	out = g_byte_array_new();
	write_last_chunk(out);
	send_when_connected(c, out);
}

size_t call_backlog(const struct pool_call *c)
{
	return c->unsent_bytes->len +
	       uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
}

void pause_call(struct pool_call *c)
{
	if (c->paused || c->closing)
		return;
	c->paused = true;
	uv_read_stop((uv_stream_t *)&c->tcp);
}

void resume_call(struct pool_call *c)
{
	if (!c->paused || c->closing)
		return;
	c->paused = false;
	c->last_progress_ms = loop_now(c);
	uv_read_start((uv_stream_t *)&c->tcp, alloc_buffer, on_read);
}

static void check_connection(struct pool_call *c)
{
	uint64_t waited = loop_now(c) - c->last_progress_ms;

	if (!c->handler) {
		if (waited >= POOL_IDLE_TIMEOUT_MS)
			close_connection(c);
	} else if (!c->connected) {
		if (waited >= HTTP_CONNECT_TIMEOUT_MS)
			fail_call(c);
	} else if (c->reused && c->body_ended && !c->head_received &&
		   !c->silence_reported && waited >= HTTP_SILENT_MS) {
		c->silence_reported = true;
		c->handler->on_silent(c->data);
	}
}

static void on_scan_timer(uv_timer_t *timer)
{
	struct http_pool *p = timer->data;
	GList *all = g_hash_table_get_keys(p->connections);

	for (GList *l = all; l; l = l->next)
		if (g_hash_table_contains(p->connections, l->data))
			check_connection(l->data);
	g_list_free(all);
}

struct http_pool *create_http_pool(uv_loop_t *loop, size_t max_body)
{
	struct http_pool *p = g_new0(struct http_pool, 1);

	p->loop = loop;
	p->max_answer_body = max_body;
	p->ref_count = 2;
	p->connections = g_hash_table_new(NULL, NULL);
	uv_timer_init(loop, &p->scan_timer);
	p->scan_timer.data = p;
	uv_timer_start(&p->scan_timer, on_scan_timer, SCAN_INTERVAL_MS,
		       SCAN_INTERVAL_MS);
	uv_unref((uv_handle_t *)&p->scan_timer);
	return p;
}

static void on_scan_closed(uv_handle_t *handle)
{
	unref_pool(handle->data);
}

void destroy_http_pool(struct http_pool *p)
{
	GList *all = g_hash_table_get_keys(p->connections);

	for (GList *l = all; l; l = l->next)
		close_connection(l->data);
	g_list_free(all);
	uv_close((uv_handle_t *)&p->scan_timer, on_scan_closed);
	unref_pool(p);
}
