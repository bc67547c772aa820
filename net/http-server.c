#include "net/http-server.h"

#include <string.h>

#define LISTEN_BACKLOG 511
#define READ_BUFFER_BYTES 65536
#define SCAN_INTERVAL_MS 500 /* between two checks for slow callers */

struct http_server {
	uv_tcp_t tcp;
	uv_timer_t scan_timer;
	struct http_handler handler;
	size_t max_body;
	size_t running_requests;
	bool stopping;
	bool listener_closed;
	unsigned int ref_count; /* owner, two handles and connections */
	GHashTable *connections;
};

/* A connection and the request that is handled on it, if any. */
struct http_exchange {
	uv_tcp_t tcp;
	struct http_server *server;
	struct http_reader *reader;
	const struct http_message *request; /* NULL unless one is unanswered */
	GByteArray *unparsed;		    /* bytes read but not parsed yet */
	uint64_t answer_length;	     /* bytes of body, of the answer begun */
	uint64_t wait_began_ms;	     /* loop time; see check_timeouts() */
	uint64_t body_bytes_in_wait; /* received since WAIT_BEGAN_MS */
	bool receiving_request;	     /* the request is incomplete */
	bool request_paused;	     /* the handler has paused its body */
	bool reading;
	bool parsing;
	bool answer_has_no_body;
	bool lingering;
	bool closing;
	void *handler_data;
	char *read_buffer; /* NULL except during a read */
};

struct http_write {
	uv_write_t req;
	GByteArray *bytes;
	bool close_after;
};

static void unref_server(struct http_server *s)
{
	if (--s->ref_count)
		return;
	g_hash_table_destroy(s->connections);
	g_free(s);
}

static void free_exchange(uv_handle_t *handle)
{
	struct http_exchange *ex = handle->data;

	destroy_http_reader(ex->reader);
	g_byte_array_free(ex->unparsed, TRUE);
	unref_server(ex->server);
	g_free(ex);
}

static void close_exchange(struct http_exchange *ex)
{
	if (ex->closing)
		return;
	ex->closing = true;
	g_hash_table_remove(ex->server->connections, ex);
	if (ex->request) {
		ex->server->running_requests--;
		if (ex->server->handler.on_caller_left)
			ex->server->handler.on_caller_left(
				ex, ex->server->handler.data);
	}
	uv_close((uv_handle_t *)&ex->tcp, free_exchange);
}

static uint64_t loop_now(const struct http_exchange *ex)
{
	return uv_now(ex->tcp.loop);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/*
 * Allocates a buffer for one read. A permanent one in each server would add up,
 * since there may be a server for each service.
 */
static void alloc_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct http_exchange *ex = handle->data;

	(void)size;
	ex->read_buffer = g_malloc(READ_BUFFER_BYTES);
	*buf = uv_buf_init(ex->read_buffer, READ_BUFFER_BYTES);
}

/*
 * Starts or stops reading: stopped while the handler has paused the request or
 * a full buffer of bytes is unparsed. Goes on while the request waits for its
 * answer, to detect that the caller leaves.
 */
static void update_reading(struct http_exchange *ex)
{
	bool should_read =
		!ex->closing &&
		(ex->lingering || (!ex->request_paused &&
				   ex->unparsed->len < READ_BUFFER_BYTES));

	if (should_read == ex->reading)
		return;
	ex->reading = should_read;
	ex->wait_began_ms = loop_now(ex);
	ex->body_bytes_in_wait = 0;
	if (should_read)
		uv_read_start((uv_stream_t *)&ex->tcp, alloc_buffer, on_read);
	else if (!ex->closing)
		uv_read_stop((uv_stream_t *)&ex->tcp);
}

static void on_shutdown(uv_shutdown_t *req, int status)
{
	(void)status;
	g_free(req);
}

/*
 * Shuts down sending, and closes the connection only when the caller does or
 * HTTP_LINGER_MS have passed: a close with unread input would reset the
 * connection before the caller has read the answer.
 */
static void start_linger(struct http_exchange *ex)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	if (ex->closing || ex->lingering) {
		g_free(req);
		return;
	}
	ex->lingering = true;
	g_byte_array_set_size(ex->unparsed, 0);
	if (uv_shutdown(req, (uv_stream_t *)&ex->tcp, on_shutdown) < 0) {
		g_free(req);
		close_exchange(ex);
		return;
	}
	update_reading(ex);
	ex->wait_began_ms = loop_now(ex);
}

static void on_written(uv_write_t *req, int status)
{
	struct http_write *w = req->data;
	struct http_exchange *ex = req->handle->data;

	if (status < 0)
		close_exchange(ex);
	else if (w->close_after)
		start_linger(ex);
	else if (ex->request && !ex->closing && ex->server->handler.on_drained)
		ex->server->handler.on_drained(ex, ex->server->handler.data);
	g_byte_array_free(w->bytes, TRUE);
	g_free(w);
}

/* Takes ownership of BYTES and sends them. */
static void send_bytes(struct http_exchange *ex, GByteArray *bytes,
		       bool close_after)
{
	struct http_write *w = g_new0(struct http_write, 1);
	uv_buf_t buf = uv_buf_init((char *)bytes->data, bytes->len);

	w->bytes = bytes;
	w->close_after = close_after;
	w->req.data = w;
	if (ex->closing || uv_write(&w->req, (uv_stream_t *)&ex->tcp, &buf, 1,
				    on_written) < 0) {
		g_byte_array_free(bytes, TRUE);
		g_free(w);
		close_exchange(ex);
	}
}

static void parse_buffered(struct http_exchange *ex);

/* Ends the current request, which is answered; MORE: parses the next one. */
static void end_exchange(struct http_exchange *ex, bool more)
{
	ex->server->running_requests--;
	ex->request = NULL;
	ex->request_paused = false;
	ex->wait_began_ms = loop_now(ex);
	if (more && !ex->parsing)
		parse_buffered(ex);
	else if (!more)
		g_byte_array_set_size(ex->unparsed, 0);
	update_reading(ex);
}

static bool may_keep_alive(const struct http_exchange *ex)
{
	return ex->request->keep_alive && !ex->receiving_request &&
	       !ex->server->stopping;
}

static bool has_no_body(const struct http_exchange *ex, unsigned int code)
{
	return ex->request->method == HTTP_HEAD || code == 204 || code == 304;
}

void begin_http_answer(struct http_exchange *ex, struct http_message *answer,
		       uint64_t length)
{
	GByteArray *out = g_byte_array_new();

	answer->keep_alive = may_keep_alive(ex);
	ex->answer_has_no_body = has_no_body(ex, answer->code);
	ex->answer_length = length;
	write_answer_head(answer, length, ex->answer_has_no_body, out);
	destroy_http_message(answer);
	send_bytes(ex, out, false);
}

void add_http_answer(struct http_exchange *ex, const void *part, size_t len)
{
	GByteArray *out;

	if (ex->answer_has_no_body || !len)
		return;
	out = g_byte_array_new();
	if (ex->answer_length == HTTP_LENGTH_UNKNOWN)
		write_http_chunk(part, len, out);
	else
		g_byte_array_append(out, part, (guint)len);
	send_bytes(ex, out, false);
}

void end_http_answer(struct http_exchange *ex)
{
	bool more = may_keep_alive(ex);
	GByteArray *out = g_byte_array_new();

	if (ex->answer_length == HTTP_LENGTH_UNKNOWN && !ex->answer_has_no_body)
		write_last_chunk(out);
	send_bytes(ex, out, !more);
	if (!ex->closing)
		end_exchange(ex, more);
}

void answer_http(struct http_exchange *ex, struct http_message *answer)
{
	bool more = may_keep_alive(ex);
	bool bodiless = has_no_body(ex, answer->code);
	GByteArray *out = g_byte_array_new();

	answer->keep_alive = more;
	write_answer_head(answer, answer->body->len, bodiless, out);
	if (!bodiless)
		g_byte_array_append(out, answer->body->data, answer->body->len);
	destroy_http_message(answer);
	end_exchange(ex, false);
	send_bytes(ex, out, !more);
	if (more && !ex->parsing)
		parse_buffered(ex);
	update_reading(ex);
}

void close_http_exchange(struct http_exchange *ex)
{
	close_exchange(ex);
}

void write_http_unframed(struct http_exchange *ex, const void *data, size_t len)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, data, (guint)len);
	send_bytes(ex, bytes, false);
}

size_t http_answer_backlog(const struct http_exchange *ex)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&ex->tcp);
}

void abort_http_answer(struct http_exchange *ex)
{
	ex->server->running_requests--;
	ex->request = NULL;
	close_exchange(ex);
}

void pause_http_request(struct http_exchange *ex)
{
	ex->request_paused = true;
	update_reading(ex);
}

void resume_http_request(struct http_exchange *ex)
{
	ex->request_paused = false;
	if (!ex->parsing)
		parse_buffered(ex);
	update_reading(ex);
}

/* Refuses a request with CODE while it is being read, and closes. */
static void refuse_request(struct http_exchange *ex, unsigned int code)
{
	struct http_server *s = ex->server;
	struct http_message *m = create_http_message();
	GByteArray *out = g_byte_array_new();

	m->code = code;
	if (s->handler.on_error)
		s->handler.on_error(ex, code, m);
	else
		set_http_body(m, http_status_str((enum http_status)code));
	if (ex->request) {
		s->running_requests--;
		ex->request = NULL;
		if (s->handler.on_caller_left)
			s->handler.on_caller_left(ex, s->handler.data);
		ex->handler_data = NULL;
	}
	g_byte_array_set_size(ex->unparsed, 0);
	ex->request_paused = true;
	update_reading(ex);
	write_http_answer(m, out);
	destroy_http_message(m);
	send_bytes(ex, out, true);
}

static void send_continue(struct http_exchange *ex)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	GByteArray *out = g_byte_array_new();

	g_byte_array_append(out, (const guint8 *)text, sizeof(text) - 1);
	send_bytes(ex, out, false);
}

static void on_request_head(struct http_message *m, void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;
	const char *expect = find_http_header(m, "Expect");

	ex->request = m;
	ex->receiving_request = true;
	ex->wait_began_ms = loop_now(ex);
	ex->body_bytes_in_wait = 0;
	s->running_requests++;
	if (expect && m->length && !g_ascii_strcasecmp(expect, "100-continue"))
		send_continue(ex);
	if (s->handler.on_head && !ex->closing)
		s->handler.on_head(ex, m, s->handler.data);
}

static void on_request_body(const char *part, size_t len, void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;

	if (!ex->request || ex->closing)
		return;
	ex->body_bytes_in_wait += len;
	if (s->handler.on_body)
		s->handler.on_body(ex, part, len, s->handler.data);
	else
		g_byte_array_append(ex->request->body, (const guint8 *)part,
				    (guint)len);
}

static void on_request_end(void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;

	ex->receiving_request = false;
	if (!ex->request || ex->closing)
		return;
	if (s->handler.on_end)
		s->handler.on_end(ex, s->handler.data);
	else
		s->handler.on_request(ex, ex->request, s->handler.data);
}

static const struct http_part_callbacks request_parts = { on_request_head,
							  on_request_body,
							  on_request_end };

/*
 * Parses up to the end of one request and returns the number of bytes consumed.
 * A malformed request is refused, which consumes all.
 */
static size_t parse_request(struct http_exchange *ex, const char *data,
			    size_t len)
{
	unsigned int error;
	size_t used = 0;

	ex->parsing = true;
	error = feed_http_parts(ex->reader, data, len, &used, &request_parts,
				ex);
	ex->parsing = false;
	if (!error)
		return used;
	if (!ex->closing && !ex->lingering)
		refuse_request(ex, error);
	return len;
}

/* Parses bytes that were read while a request was unanswered or paused. */
static void parse_buffered(struct http_exchange *ex)
{
	while (ex->unparsed->len && !ex->closing && !ex->lingering &&
	       !ex->request_paused && (!ex->request || ex->receiving_request)) {
		GByteArray *data = ex->unparsed;
		size_t used;

		ex->unparsed = g_byte_array_new();
		used = parse_request(ex, (const char *)data->data, data->len);
		if (used < data->len)
			g_byte_array_append(ex->unparsed, data->data + used,
					    data->len - (guint)used);
		g_byte_array_free(data, TRUE);
	}
}

static void handle_read(struct http_exchange *ex, ssize_t n,
			const uv_buf_t *buf)
{
	size_t used;

	if (!n) /* nothing to read; the parser treats 0 bytes as EOF */
		return;
	if (n < 0) {
		close_exchange(ex);
		return;
	}
	if (ex->lingering)
		return;
	if (ex->unparsed->len || (ex->request && !ex->receiving_request)) {
		g_byte_array_append(ex->unparsed, (const guint8 *)buf->base,
				    (guint)n);
		update_reading(ex);
		return;
	}
	if (!ex->request && !is_inside_message(ex->reader))
		ex->wait_began_ms = loop_now(ex);
	used = parse_request(ex, buf->base, (size_t)n);
	if (ex->closing)
		return;
	if (used < (size_t)n && !ex->lingering) {
		g_byte_array_append(ex->unparsed,
				    (const guint8 *)buf->base + used,
				    (guint)((size_t)n - used));
		parse_buffered(ex);
	}
	update_reading(ex);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_exchange *ex = stream->data;

	handle_read(ex, n, buf);
	g_free(ex->read_buffer);
	ex->read_buffer = NULL;
}

/* Closes EX, or refuses its request, if its caller is too slow. */
static void check_timeouts(struct http_exchange *ex)
{
	uint64_t waited = loop_now(ex) - ex->wait_began_ms;

	if (ex->lingering) {
		if (waited >= HTTP_LINGER_MS)
			close_exchange(ex);
	} else if (!ex->reading || (ex->request && !ex->receiving_request)) {
		return;
	} else if (ex->receiving_request && ex->request) {
		if (waited < HTTP_BODY_PERIOD_MS)
			return;
		if (ex->body_bytes_in_wait < HTTP_BODY_MIN_BYTES) {
			refuse_request(ex, 408);
			return;
		}
		ex->wait_began_ms = loop_now(ex);
		ex->body_bytes_in_wait = 0;
	} else if (is_inside_message(ex->reader)) {
		if (waited >= HTTP_HEAD_TIMEOUT_MS)
			refuse_request(ex, 408);
	} else if (waited >= HTTP_IDLE_TIMEOUT_MS) {
		close_exchange(ex);
	}
}

static void on_scan_timer(uv_timer_t *timer)
{
	struct http_server *s = timer->data;
	GList *all = g_hash_table_get_keys(s->connections);

	for (GList *l = all; l; l = l->next)
		check_timeouts(l->data);
	g_list_free(all);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct http_server *s = stream->data;
	struct http_exchange *ex;

	if (status < 0)
		return;
	ex = g_new0(struct http_exchange, 1);
	ex->server = s;
	ex->reader = create_http_reader(HTTP_READ_REQUESTS, s->max_body);
	ex->unparsed = g_byte_array_new();
	s->ref_count++;
	uv_tcp_init(stream->loop, &ex->tcp);
	ex->tcp.data = ex;
	g_hash_table_add(s->connections, ex);
	if (uv_accept(stream, (uv_stream_t *)&ex->tcp) < 0) {
		close_exchange(ex);
		return;
	}
	uv_tcp_nodelay(&ex->tcp, 1);
	update_reading(ex);
}

static void on_server_closed(uv_handle_t *handle)
{
	unref_server(handle->data);
}

static void start_scan(uv_loop_t *loop, struct http_server *s)
{
	uv_timer_init(loop, &s->scan_timer);
	s->scan_timer.data = s;
	uv_timer_start(&s->scan_timer, on_scan_timer, SCAN_INTERVAL_MS,
		       SCAN_INTERVAL_MS);
	uv_unref((uv_handle_t *)&s->scan_timer);
}

struct http_server *
create_http_server(uv_loop_t *loop, const struct endpoint *ep, size_t max_body,
		   const struct http_handler *handler, struct status *st)
{
	struct http_server *s = g_new0(struct http_server, 1);
	struct sockaddr_storage ss;
	char text[ENDPOINT_TEXT_MAX];
	int err;

	s->ref_count = 3;
	s->handler = *handler;
	s->max_body = max_body;
	s->connections = g_hash_table_new(NULL, NULL);
	uv_tcp_init(loop, &s->tcp);
	s->tcp.data = s;
	start_scan(loop, s);
	endpoint_to_sockaddr(ep, &ss);
	err = uv_tcp_bind(&s->tcp, (struct sockaddr *)&ss, 0);
	if (!err)
		err = uv_listen((uv_stream_t *)&s->tcp, LISTEN_BACKLOG,
				on_connection);
	if (!err)
		return s;
	set_status(st, STATUS_UNAVAILABLE, "cannot listen at %s: %s",
		   format_endpoint(ep, text), uv_strerror(err));
	destroy_http_server(s);
	return NULL;
}

void stop_http_server(struct http_server *s)
{
	GHashTableIter it;
	gpointer ex;
	GPtrArray *idle = g_ptr_array_new();

	s->stopping = true;
	if (!s->listener_closed) {
		s->listener_closed = true;
		uv_close((uv_handle_t *)&s->tcp, on_server_closed);
	}
	g_hash_table_iter_init(&it, s->connections);
	while (g_hash_table_iter_next(&it, &ex, NULL))
		if (!((struct http_exchange *)ex)->request &&
		    !((struct http_exchange *)ex)->lingering &&
		    !http_answer_backlog(ex))
			g_ptr_array_add(idle, ex);
	for (guint i = 0; i < idle->len; i++)
		close_exchange(g_ptr_array_index(idle, i));
	g_ptr_array_free(idle, TRUE);
}

void destroy_http_server(struct http_server *s)
{
	GList *left;

	if (!s)
		return;
	stop_http_server(s);
	uv_close((uv_handle_t *)&s->scan_timer, on_server_closed);
	left = g_hash_table_get_keys(s->connections);
	for (GList *l = left; l; l = l->next)
		close_exchange(l->data);
	g_list_free(left);
	unref_server(s);
}

size_t http_server_running_requests(const struct http_server *s)
{
	return s->running_requests;
}

void set_exchange_data(struct http_exchange *ex, void *data)
{
	ex->handler_data = data;
}

void *get_exchange_data(const struct http_exchange *ex)
{
	return ex->handler_data;
}
