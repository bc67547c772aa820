#include "net/stored-answer.h"

#include <string.h>

#define CONTENT_TYPE_MAX 200 /* bytes, with the NUL */

void encode_stored_answer(struct wire_writer *w, const struct http_message *m)
{
	const char *type = find_http_header(m, "Content-Type");

	write_array(w, 3);
	write_uint(w, m->code);
	write_str(w, type && strlen(type) < CONTENT_TYPE_MAX ? type : "");
	write_bin(w, m->body->data, m->body->len);
}

struct http_message *decode_stored_answer(const void *data, size_t len)
{
	struct http_message *m = create_http_message();
	char type[CONTENT_TYPE_MAX];
	struct wire_message msg;
	struct wire_reader r;
	const void *body;
	size_t body_len;

	open_wire_message(&msg, &r, data, len);
	m->code = (unsigned int)read_uint(&r, 999);
	read_str(&r, type, sizeof(type));
	body_len = read_bin(&r, &body);
	if (r.malformed || r.remaining) {
		destroy_http_message(m);
		m = NULL;
	} else {
		if (*type)
			add_http_header(m, "Content-Type", type);
		g_byte_array_append(m->body, body, (guint)body_len);
	}
	release_wire_message(&msg);
	return m;
}
