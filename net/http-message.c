#include "net/http-message.h"

#include <string.h>

struct http_reader {
	http_parser parser;
	struct http_message *m; /* the message being parsed */
	GString *header_name;
	GString *header_value;
	GString *target;
	size_t head_bytes; /* of this message so far */
	size_t max_body;
	unsigned int error_code; /* HTTP status; 0: none */
	void (*on_message)(struct http_message *m, void *user);
	/* NULL: ON_MESSAGE gets complete messages instead */
	const struct http_part_callbacks *part_callbacks;
	uint64_t body_bytes; /* of this message so far */
	bool answer_has_no_body;
	bool bad_header_name; /* one is malformed; see is_valid_header_name() */
	bool in_message;
	void *user;
};

static void clear_header(void *item)
{
	struct http_header *h = item;

	g_free(h->name);
	g_free(h->value);
}

struct http_message *create_http_message(void)
{
	struct http_message *m = g_new0(struct http_message, 1);

	m->headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	g_array_set_clear_func(m->headers, clear_header);
	m->body = g_byte_array_new();
	return m;
}

void destroy_http_message(struct http_message *m)
{
	if (!m)
		return;
	g_array_free(m->headers, TRUE);
	g_byte_array_free(m->body, TRUE);
	g_free(m->target);
	g_free(m);
}

const char *find_http_header(const struct http_message *m, const char *name)
{
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(m->headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, name))
			return h->value;
	}
	return NULL;
}

void add_http_header(struct http_message *m, const char *name,
		     const char *value)
{
	struct http_header h = { g_strdup(name), g_strdup(value) };

	g_array_append_val(m->headers, h);
}

void remove_http_header(struct http_message *m, const char *name)
{
	for (guint i = m->headers->len; i-- > 0;)
		if (!g_ascii_strcasecmp(
			    g_array_index(m->headers, struct http_header, i)
				    .name,
			    name))
			g_array_remove_index(m->headers, i);
}

void set_http_body(struct http_message *m, const char *text)
{
	g_byte_array_set_size(m->body, 0);
	g_byte_array_append(m->body, (const guint8 *)text, (guint)strlen(text));
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

/* True for hop-by-hop headers and headers that this module writes itself. */
static bool is_hop_by_hop_header(const char *name)
{
	static const char *const hop[] = { "Connection",
					   "Keep-Alive",
					   "Transfer-Encoding",
					   "Content-Length",
					   "Host",
					   "Upgrade",
					   "TE",
					   "Expect",
					   "Proxy-Connection",
					   "Trailer" };

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(hop[i], name))
			return true;
	return false;
}

static bool is_content_length(const char *name)
{
	return !g_ascii_strcasecmp(name, "Content-Length");
}

static void write_headers(const struct http_message *m, bool keep_length,
			  GByteArray *out)
{
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(m->headers, struct http_header, i);

		if (is_hop_by_hop_header(h->name) &&
		    !(keep_length && is_content_length(h->name)))
			continue;
		append_text(out, h->name);
		append_text(out, ": ");
		append_text(out, h->value);
		append_text(out, "\r\n");
	}
}

static void write_body_framing(uint64_t length, GByteArray *out)
{
	char *line;

	if (length == HTTP_LENGTH_UNKNOWN) {
		append_text(out, "Transfer-Encoding: chunked\r\n\r\n");
		return;
	}
	line = g_strdup_printf("Content-Length: %llu\r\n\r\n",
			       (unsigned long long)length);
	append_text(out, line);
	g_free(line);
}

void write_request_head(const struct http_message *m, const char *host,
			uint64_t length, GByteArray *out)
{
	char *line = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\n",
		http_method_str((enum http_method)m->method), m->target, host);

	append_text(out, line);
	g_free(line);
	write_headers(m, false, out);
	write_body_framing(length, out);
}

void write_answer_head(const struct http_message *m, uint64_t length,
		       bool no_body, GByteArray *out)
{
	char *line =
		g_strdup_printf("HTTP/1.1 %u %s\r\n%s", m->code,
				http_status_str((enum http_status)m->code),
				m->keep_alive ? "" : "Connection: close\r\n");

	append_text(out, line);
	g_free(line);
	write_headers(m, no_body, out);
	if (no_body)
		append_text(out, "\r\n");
	else
		write_body_framing(length, out);
}

void write_http_chunk(const void *data, size_t len, GByteArray *out)
{
	char *line = g_strdup_printf("%zx\r\n", len);

	append_text(out, line);
	g_free(line);
	g_byte_array_append(out, data, (guint)len);
	append_text(out, "\r\n");
}

void write_last_chunk(GByteArray *out)
{
	append_text(out, "0\r\n\r\n");
}

void write_http_request(const struct http_message *m, const char *host,
			GByteArray *out)
{
	write_request_head(m, host, m->body->len, out);
	g_byte_array_append(out, m->body->data, m->body->len);
}

void write_http_answer(const struct http_message *m, GByteArray *out)
{
	write_answer_head(m, m->body->len, false, out);
	g_byte_array_append(out, m->body->data, m->body->len);
}

static int set_error(struct http_reader *r, unsigned int code)
{
	r->error_code = code;
	return -1; /* to on_headers_complete, values above 0 are no error */
}

static int add_to_head(struct http_reader *r, GString *to, const char *at,
		       size_t len)
{
	r->head_bytes += len;
	if (r->head_bytes > HTTP_HEAD_MAX_BYTES)
		return set_error(r, 431);
	g_string_append_len(to, at, (gssize)len);
	return 0;
}

/*
 * False for a name with a space or control character. http_parser accepts
 * spaces in its lenient mode, but other parsers may read such a line as another
 * header.
 */
static bool is_valid_header_name(const char *name)
{
	for (; *name; name++)
		if (*name <= ' ' || *name == 0x7f)
			return false;
	return true;
}

static void finish_header(struct http_reader *r)
{
	if (!is_valid_header_name(r->header_name->str))
		r->bad_header_name = true;
	if (r->header_name->len)
		add_http_header(r->m, r->header_name->str,
				r->header_value->str);
	g_string_truncate(r->header_name, 0);
	g_string_truncate(r->header_value, 0);
}

static int on_begin(http_parser *p)
{
	struct http_reader *r = p->data;

	destroy_http_message(r->m);
	r->m = create_http_message();
	r->head_bytes = 0;
	r->body_bytes = 0;
	r->in_message = true;
	r->bad_header_name = false;
	g_string_truncate(r->target, 0);
	g_string_truncate(r->header_name, 0);
	g_string_truncate(r->header_value, 0);
	return 0;
}

static int on_target(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	return add_to_head(r, r->target, at, len);
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	if (r->header_value->len) {
		finish_header(r);
		if (r->m->headers->len >= HTTP_HEADER_LINES_MAX)
			return set_error(r, 431);
	}
	return add_to_head(r, r->header_name, at, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	return add_to_head(r, r->header_value, at, len);
}

/* HTTP/1.1 requires exactly one Host; HTTP/1.0 has none or one. */
static bool has_one_host(const struct http_message *m, const http_parser *p)
{
	unsigned int hosts = 0;

	for (guint i = 0; i < m->headers->len; i++)
		hosts += !g_ascii_strcasecmp(
			g_array_index(m->headers, struct http_header, i).name,
			"Host");
	return hosts == 1 || (!hosts && p->http_major == 1 && !p->http_minor);
}

static int on_head_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	finish_header(r);
	if (r->bad_header_name ||
	    (p->type == HTTP_REQUEST && !has_one_host(r->m, p)))
		return set_error(r, 400);
	r->m->method = p->method;
	r->m->code = p->status_code;
	r->m->target = g_strdup(r->target->str);
	r->m->keep_alive = http_should_keep_alive(p);
	r->m->length = p->content_length;
	if (p->content_length == UINT64_MAX && !(p->flags & F_CHUNKED) &&
	    p->type == HTTP_REQUEST)
		r->m->length = 0;
	if (!r->answer_has_no_body && p->content_length != UINT64_MAX &&
	    p->content_length > r->max_body)
		return set_error(r, 413);
	if (r->part_callbacks)
		r->part_callbacks->on_head(r->m, r->user);
	return r->answer_has_no_body;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	r->body_bytes += len;
	if (r->body_bytes > r->max_body)
		return set_error(r, 413);
	if (r->part_callbacks) {
		r->part_callbacks->on_body(at, len, r->user);
		return 0;
	}
	g_byte_array_append(r->m->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http_reader *r = p->data;
	struct http_message *m = r->m;

	r->in_message = false;
	if (r->part_callbacks) {
		http_parser_pause(p, 1);
		r->part_callbacks->on_end(r->user);
		return 0;
	}
	r->m = NULL;
	r->on_message(m, r->user);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

struct http_reader *create_http_reader(enum http_reader_kind kind,
				       size_t max_body)
{
	struct http_reader *r = g_new0(struct http_reader, 1);

	http_parser_init(&r->parser, kind == HTTP_READ_REQUESTS
					     ? HTTP_REQUEST
					     : HTTP_RESPONSE);
	r->parser.data = r;
	r->max_body = max_body;
	r->header_name = g_string_new(NULL);
	r->header_value = g_string_new(NULL);
	r->target = g_string_new(NULL);
	return r;
}

void destroy_http_reader(struct http_reader *r)
{
	if (!r)
		return;
	destroy_http_message(r->m);
	g_string_free(r->header_name, TRUE);
	g_string_free(r->header_value, TRUE);
	g_string_free(r->target, TRUE);
	g_free(r);
}

unsigned int feed_http(struct http_reader *r, const char *data, size_t len,
		       void (*on_message)(struct http_message *m, void *user),
		       void *user)
{
	size_t used;

	r->on_message = on_message;
	r->user = user;
	used = http_parser_execute(&r->parser, &parser_settings, data, len);
	if (r->error_code)
		return r->error_code;
	if (r->parser.upgrade || used != len ||
	    HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		return 400;
	return 0;
}

unsigned int feed_http_parts(struct http_reader *r, const char *data,
			     size_t len, size_t *used,
			     const struct http_part_callbacks *parts,
			     void *user)
{
	r->part_callbacks = parts;
	r->user = user;
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED)
		http_parser_pause(&r->parser, 0);
	*used = http_parser_execute(&r->parser, &parser_settings, data, len);
	if (r->error_code)
		return r->error_code;
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED)
		return 0;
	if (r->parser.upgrade || *used != len ||
	    HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		return 400;
	return 0;
}

void set_answer_has_body(struct http_reader *r, bool body)
{
	r->answer_has_no_body = !body;
}

bool is_inside_message(const struct http_reader *r)
{
	return r->in_message;
}

unsigned int feed_http_eof(struct http_reader *r,
			   void (*on_message)(struct http_message *m,
					      void *user),
			   void *user)
{
	return feed_http(r, NULL, 0, on_message, user);
}
