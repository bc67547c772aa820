#include "net/http-server.h"

#include <string.h>

#define LISTEN_BACKLOG 511
#define READ_BUFFER 65536 /* bytes */

struct http_server {
	uv_tcp_t tcp;
	struct http_handler handler;
	size_t max_body;
	size_t running;
	bool stopping;
	bool closed;
	unsigned int refs; /* owner, listening handle and connections */
	GHashTable *connections;
	char buffer[READ_BUFFER];
};

/* A connection, and the one exchange that may run on it. */
struct http_exchange {
	uv_tcp_t tcp;
	struct http_server *server;
	struct http_reader *reader;
	struct http_message *request; /* being answered */
	GQueue waiting;		      /* further whole requests */
	unsigned int error;	      /* answer with this code, then close */
	bool closing;
	void *data;
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

static void destroy_message_item(gpointer m)
{
	destroy_http_message(m);
}

static void free_exchange(uv_handle_t *handle)
{
	struct http_exchange *ex = handle->data;

	destroy_http_reader(ex->reader);
	destroy_http_message(ex->request);
	g_queue_clear_full(&ex->waiting, destroy_message_item);
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

static void start_next(struct http_exchange *ex)
{
	if (ex->request || ex->closing || g_queue_is_empty(&ex->waiting))
		return;
	ex->request = g_queue_pop_head(&ex->waiting);
	ex->server->running++;
	ex->server->handler.on_request(ex, ex->request,
				       ex->server->handler.data);
}

static void on_written(uv_write_t *req, int status)
{
	struct http_write *w = req->data;
	struct http_exchange *ex = req->handle->data;

	if (status < 0 || w->close_after)
		close_exchange(ex);
	g_byte_array_free(w->bytes, TRUE);
	g_free(w);
}

/* Writes BYTES, which it takes over. */
static void send_bytes(struct http_exchange *ex, GByteArray *bytes,
		       bool close_after)
{
	struct http_write *w = g_new0(struct http_write, 1);
	uv_buf_t buf;

	w->bytes = bytes;
	w->close_after = close_after;
	w->req.data = w;
	buf = uv_buf_init((char *)w->bytes->data, w->bytes->len);
	if (uv_write(&w->req, (uv_stream_t *)&ex->tcp, &buf, 1, on_written) <
	    0) {
		g_byte_array_free(w->bytes, TRUE);
		g_free(w);
		close_exchange(ex);
	}
}

static void send_answer(struct http_exchange *ex, struct http_message *answer)
{
	GByteArray *bytes = g_byte_array_new();
	bool close_after = !answer->keep_alive;

	write_http_answer(answer, bytes);
	destroy_http_message(answer);
	send_bytes(ex, bytes, close_after);
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

/* Answers a request that could not be read, and closes. */
static void send_error(struct http_exchange *ex)
{
	struct http_message *m = create_http_message();

	m->code = ex->error;
	set_http_body(m, http_status_str((enum http_status)ex->error));
	uv_read_stop((uv_stream_t *)&ex->tcp);
	send_answer(ex, m);
}

void answer_http(struct http_exchange *ex, struct http_message *answer)
{
	bool more =
		ex->request->keep_alive && !ex->server->stopping && !ex->error;

	answer->keep_alive = more;
	ex->server->running--;
	destroy_http_message(ex->request);
	ex->request = NULL;
	send_answer(ex, answer);
	if (more)
		start_next(ex);
}

static void take_request(struct http_message *m, void *user)
{
	struct http_exchange *ex = user;

	g_queue_push_tail(&ex->waiting, m);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_exchange *ex = stream->data;

	if (!n) /* nothing to read now; to the parser it would mean the end */
		return;
	if (n < 0) {
		close_exchange(ex);
		return;
	}
	ex->error =
		feed_http(ex->reader, buf->base, (size_t)n, take_request, ex);
	start_next(ex);
	if (ex->error && !ex->request && !ex->closing)
		send_error(ex);
}

static void give_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	const struct http_exchange *ex = handle->data;

	(void)size;
	*buf = uv_buf_init(ex->server->buffer, READ_BUFFER);
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
	g_queue_init(&ex->waiting);
	s->refs++;
	uv_tcp_init(stream->loop, &ex->tcp);
	ex->tcp.data = ex;
	g_hash_table_add(s->connections, ex);
	if (uv_accept(stream, (uv_stream_t *)&ex->tcp) < 0) {
		close_exchange(ex);
		return;
	}
	uv_tcp_nodelay(&ex->tcp, 1);
	uv_read_start((uv_stream_t *)&ex->tcp, give_buffer, on_read);
}

static void on_server_closed(uv_handle_t *handle)
{
	unref_server(handle->data);
}

struct http_server *
create_http_server(uv_loop_t *loop, const struct endpoint *ep, size_t max_body,
		   const struct http_handler *handler, struct status *st)
{
	struct http_server *s = g_new0(struct http_server, 1);
	struct sockaddr_storage ss;
	char text[ENDPOINT_TEXT_MAX];
	int err;

	s->refs = 2;
	s->handler = *handler;
	s->max_body = max_body;
	s->connections = g_hash_table_new(NULL, NULL);
	uv_tcp_init(loop, &s->tcp);
	s->tcp.data = s;
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
		if (!((struct http_exchange *)ex)->request)
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
