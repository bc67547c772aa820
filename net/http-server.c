#include "net/http-server.h"

#include <string.h>

#define LISTEN_BACKLOG 511
#define READ_BUFFER 65536 /* bytes */
#define SCAN_MS 500	  /* between two looks for slow connections */

struct http_server {
	uv_tcp_t tcp;
	uv_timer_t scan;
	struct http_handler handler;
	size_t max_body;
	size_t running;
	bool stopping;
	bool closed;
	unsigned int refs; /* owner, two handles and connections */
	GHashTable *connections;
};

/* A connection, and the one exchange that may run on it. */
struct http_exchange {
	uv_tcp_t tcp;
	struct http_server *server;
	struct http_reader *reader;
	const struct http_message *request; /* from its head to its answer */
	GByteArray *rest;		    /* read, but not parsed yet */
	uint64_t length;		    /* of the answer begun */
	uint64_t since; /* loop time at which the present wait began */
	uint64_t bytes; /* of the body since then */
	bool receiving; /* the request is not whole */
	bool paused;	/* by the handler */
	bool reading;
	bool parsing;
	bool bodiless; /* the answer has no body */
	bool lingering;
	bool closing;
	void *data;
	char *buffer; /* during one read */
};

struct http_write {
	uv_write_t req;
	GByteArray *bytes;
	bool close_after;
};

static void unref_server(struct http_server *s)
{
	if (--s->refs)
		return;
	g_hash_table_destroy(s->connections);
	g_free(s);
}

static void free_exchange(uv_handle_t *handle)
{
	struct http_exchange *ex = handle->data;

	destroy_http_reader(ex->reader);
	g_byte_array_free(ex->rest, TRUE);
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
		ex->server->running--;
		if (ex->server->handler.on_gone)
			ex->server->handler.on_gone(ex,
						    ex->server->handler.data);
	}
	uv_close((uv_handle_t *)&ex->tcp, free_exchange);
}

static uint64_t loop_now(const struct http_exchange *ex)
{
	return uv_now(ex->tcp.loop);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* A buffer for one read, since there may be a server for each service. */
static void give_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct http_exchange *ex = handle->data;

	(void)size;
	ex->buffer = g_malloc(READ_BUFFER);
	*buf = uv_buf_init(ex->buffer, READ_BUFFER);
}

/*
 * Reads from the connection while it can be parsed or kept. Goes on while the
 * request waits for its answer, so as to see that the caller leaves.
 */
static void set_reading(struct http_exchange *ex)
{
	bool want =
		!ex->closing &&
		(ex->lingering || (!ex->paused && ex->rest->len < READ_BUFFER));

	if (want == ex->reading)
		return;
	ex->reading = want;
	ex->since = loop_now(ex);
	ex->bytes = 0;
	if (want)
		uv_read_start((uv_stream_t *)&ex->tcp, give_buffer, on_read);
	else if (!ex->closing)
		uv_read_stop((uv_stream_t *)&ex->tcp);
}

static void on_shutdown(uv_shutdown_t *req, int status)
{
	(void)status;
	g_free(req);
}

/* Closes after what was written, and lets the caller read it first. */
static void linger(struct http_exchange *ex)
{
	uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);

	if (ex->closing || ex->lingering) {
		g_free(req);
		return;
	}
	ex->lingering = true;
	g_byte_array_set_size(ex->rest, 0);
	if (uv_shutdown(req, (uv_stream_t *)&ex->tcp, on_shutdown) < 0) {
		g_free(req);
		close_exchange(ex);
		return;
	}
	set_reading(ex);
	ex->since = loop_now(ex);
}

static void on_written(uv_write_t *req, int status)
{
	struct http_write *w = req->data;
	struct http_exchange *ex = req->handle->data;

	if (status < 0)
		close_exchange(ex);
	else if (w->close_after)
		linger(ex);
	else if (ex->request && !ex->closing && ex->server->handler.on_drained)
		ex->server->handler.on_drained(ex, ex->server->handler.data);
	g_byte_array_free(w->bytes, TRUE);
	g_free(w);
}

/* Sends BYTES, which are taken over. */
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

static void parse_rest(struct http_exchange *ex);

/* The answer to the present request is out; takes up the next one. */
static void end_exchange(struct http_exchange *ex, bool more)
{
	ex->server->running--;
	ex->request = NULL;
	ex->paused = false;
	ex->since = loop_now(ex);
	if (more && !ex->parsing)
		parse_rest(ex);
	else if (!more)
		g_byte_array_set_size(ex->rest, 0);
	set_reading(ex);
}

static bool may_go_on(const struct http_exchange *ex)
{
	return ex->request->keep_alive && !ex->receiving &&
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

	answer->keep_alive = may_go_on(ex);
	ex->bodiless = has_no_body(ex, answer->code);
	ex->length = length;
	write_answer_head(answer, length, ex->bodiless, out);
	destroy_http_message(answer);
	send_bytes(ex, out, false);
}

void add_http_answer(struct http_exchange *ex, const void *part, size_t len)
{
	GByteArray *out;

	if (ex->bodiless || !len)
		return;
	out = g_byte_array_new();
	if (ex->length == HTTP_LENGTH_UNKNOWN)
		write_http_chunk(part, len, out);
	else
		g_byte_array_append(out, part, (guint)len);
	send_bytes(ex, out, false);
}

void end_http_answer(struct http_exchange *ex)
{
	bool more = may_go_on(ex);
	GByteArray *out = g_byte_array_new();

	if (ex->length == HTTP_LENGTH_UNKNOWN && !ex->bodiless)
		write_last_chunk(out);
	send_bytes(ex, out, !more);
	if (!ex->closing)
		end_exchange(ex, more);
}

void answer_http(struct http_exchange *ex, struct http_message *answer)
{
	bool more = may_go_on(ex);
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
		parse_rest(ex);
	set_reading(ex);
}

void drop_http(struct http_exchange *ex)
{
	close_exchange(ex);
}

void write_http_raw(struct http_exchange *ex, const void *data, size_t len)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, data, (guint)len);
	send_bytes(ex, bytes, false);
}

size_t http_answer_backlog(const struct http_exchange *ex)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&ex->tcp);
}

void cut_http_answer(struct http_exchange *ex)
{
	ex->server->running--;
	ex->request = NULL;
	close_exchange(ex);
}

void pause_http_request(struct http_exchange *ex)
{
	ex->paused = true;
	set_reading(ex);
}

void resume_http_request(struct http_exchange *ex)
{
	ex->paused = false;
	if (!ex->parsing)
		parse_rest(ex);
	set_reading(ex);
}

/* Answers a request that is refused with CODE while it is read, and closes. */
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
		s->running--;
		ex->request = NULL;
		if (s->handler.on_gone)
			s->handler.on_gone(ex, s->handler.data);
		ex->data = NULL;
	}
	g_byte_array_set_size(ex->rest, 0);
	ex->paused = true;
	set_reading(ex);
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

static void take_head(struct http_message *m, void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;
	const char *expect = find_http_header(m, "Expect");

	ex->request = m;
	ex->receiving = true;
	ex->since = loop_now(ex);
	ex->bytes = 0;
	s->running++;
	if (expect && m->length && !g_ascii_strcasecmp(expect, "100-continue"))
		send_continue(ex);
	if (s->handler.on_head && !ex->closing)
		s->handler.on_head(ex, m, s->handler.data);
}

static void take_body(const char *part, size_t len, void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;

	if (!ex->request || ex->closing)
		return;
	ex->bytes += len;
	if (s->handler.on_body)
		s->handler.on_body(ex, part, len, s->handler.data);
	else
		g_byte_array_append(ex->request->body, (const guint8 *)part,
				    (guint)len);
}

static void take_end(void *user)
{
	struct http_exchange *ex = user;
	struct http_server *s = ex->server;

	ex->receiving = false;
	if (!ex->request || ex->closing)
		return;
	if (s->handler.on_end)
		s->handler.on_end(ex, s->handler.data);
	else
		s->handler.on_request(ex, ex->request, s->handler.data);
}

static const struct http_parts request_parts = { take_head, take_body,
						 take_end };

/*
 * Parses up to the end of one request. Returns the bytes used, or refuses the
 * request.
 */
static size_t parse(struct http_exchange *ex, const char *data, size_t len)
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

/* Parses what was read while the connection could not take it. */
static void parse_rest(struct http_exchange *ex)
{
	while (ex->rest->len && !ex->closing && !ex->lingering && !ex->paused &&
	       (!ex->request || ex->receiving)) {
		GByteArray *data = ex->rest;
		size_t used;

		ex->rest = g_byte_array_new();
		used = parse(ex, (const char *)data->data, data->len);
		if (used < data->len)
			g_byte_array_append(ex->rest, data->data + used,
					    data->len - (guint)used);
		g_byte_array_free(data, TRUE);
	}
}

static void take_read(struct http_exchange *ex, ssize_t n, const uv_buf_t *buf)
{
	size_t used;

	if (!n) /* nothing to read now; to the parser it would mean the end */
		return;
	if (n < 0) {
		close_exchange(ex);
		return;
	}
	if (ex->lingering)
		return;
	if (ex->rest->len || (ex->request && !ex->receiving)) {
		g_byte_array_append(ex->rest, (const guint8 *)buf->base,
				    (guint)n);
		set_reading(ex);
		return;
	}
	if (!ex->request && !is_inside_message(ex->reader))
		ex->since = loop_now(ex);
	used = parse(ex, buf->base, (size_t)n);
	if (ex->closing)
		return;
	if (used < (size_t)n && !ex->lingering) {
		g_byte_array_append(ex->rest, (const guint8 *)buf->base + used,
				    (guint)((size_t)n - used));
		parse_rest(ex);
	}
	set_reading(ex);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_exchange *ex = stream->data;

	take_read(ex, n, buf);
	g_free(ex->buffer);
	ex->buffer = NULL;
}

/* Looks whether EX waits for its caller for too long. */
static void scan_exchange(struct http_exchange *ex)
{
	uint64_t waited = loop_now(ex) - ex->since;

	if (ex->lingering) {
		if (waited >= HTTP_LINGER_MS)
			close_exchange(ex);
	} else if (!ex->reading || (ex->request && !ex->receiving)) {
		return;
	} else if (ex->receiving && ex->request) {
		if (waited < HTTP_BODY_MS)
			return;
		if (ex->bytes < HTTP_BODY_BYTES) {
			refuse_request(ex, 408);
			return;
		}
		ex->since = loop_now(ex);
		ex->bytes = 0;
	} else if (is_inside_message(ex->reader)) {
		if (waited >= HTTP_HEAD_MS)
			refuse_request(ex, 408);
	} else if (waited >= HTTP_IDLE_MS) {
		close_exchange(ex);
	}
}

static void on_scan(uv_timer_t *timer)
{
	struct http_server *s = timer->data;
	GList *all = g_hash_table_get_keys(s->connections);

	for (GList *l = all; l; l = l->next)
		scan_exchange(l->data);
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
	ex->rest = g_byte_array_new();
	s->refs++;
	uv_tcp_init(stream->loop, &ex->tcp);
	ex->tcp.data = ex;
	g_hash_table_add(s->connections, ex);
	if (uv_accept(stream, (uv_stream_t *)&ex->tcp) < 0) {
		close_exchange(ex);
		return;
	}
	uv_tcp_nodelay(&ex->tcp, 1);
	set_reading(ex);
}

static void on_server_closed(uv_handle_t *handle)
{
	unref_server(handle->data);
}

static void start_scan(uv_loop_t *loop, struct http_server *s)
{
	uv_timer_init(loop, &s->scan);
	s->scan.data = s;
	uv_timer_start(&s->scan, on_scan, SCAN_MS, SCAN_MS);
	uv_unref((uv_handle_t *)&s->scan);
}

struct http_server *
create_http_server(uv_loop_t *loop, const struct endpoint *ep, size_t max_body,
		   const struct http_handler *handler, struct status *st)
{
	struct http_server *s = g_new0(struct http_server, 1);
	struct sockaddr_storage ss;
	char text[ENDPOINT_TEXT_MAX];
	int err;

	s->refs = 3;
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
	if (!s->closed) {
		s->closed = true;
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
	uv_close((uv_handle_t *)&s->scan, on_server_closed);
	left = g_hash_table_get_keys(s->connections);
	for (GList *l = left; l; l = l->next)
		close_exchange(l->data);
	g_list_free(left);
	unref_server(s);
}

size_t http_server_running(const struct http_server *s)
{
	return s->running;
}

void set_exchange_data(struct http_exchange *ex, void *data)
{
	ex->data = data;
}

void *exchange_data(const struct http_exchange *ex)
{
	return ex->data;
}
