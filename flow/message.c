#include "flow/message.h"

#include <string.h>

#define HEADER_FIELD_NR 11
#define FIXARRAY 0x90 /* MessagePack: array of up to 15 elements */

bool is_flow_message(const uint8_t *data, size_t len)
{
	return len && data[0] == (FIXARRAY | HEADER_FIELD_NR);
}

size_t write_flow_message(struct wire_writer *w, const struct flow_message *m,
			  uint8_t header[FLOW_HEADER_MAX])
{
	msgpack_sbuffer_clear(&w->buf);
	write_array(w, HEADER_FIELD_NR);
	write_uint(w, m->kind);
	write_uint(w, m->hops);
	write_uint(w, m->rank);
	write_bool(w, m->flag);
	write_uint(w, m->sender);
	write_uint(w, m->origin);
	write_uint(w, m->epoch);
	write_uint(w, m->service);
	write_uint(w, m->upstream);
	write_uint(w, m->hash);
	msgpack_pack_bin(&w->packer, m->body_len);
	memcpy(header, w->buf.data, w->buf.size);
	return w->buf.size;
}

bool read_flow_message(const uint8_t *data, size_t len, struct flow_message *m)
{
	struct wire_message msg;
	struct wire_reader r;
	const void *body = NULL;
	bool complete;

	memset(m, 0, sizeof(*m));
	open_wire_message(&msg, &r, data, len);
	m->kind =
		(enum flow_message_kind)read_uint(&r, FLOW_MESSAGE_KIND_NR - 1);
	m->hops = (uint8_t)read_uint(&r, UINT8_MAX);
	m->rank = (uint8_t)read_uint(&r, UINT8_MAX);
	m->flag = read_bool(&r);
	m->sender = read_uint(&r, UINT64_MAX);
	m->origin = read_uint(&r, UINT64_MAX);
	m->epoch = read_uint(&r, UINT64_MAX);
	m->service = read_uint(&r, UINT64_MAX);
	m->upstream = read_uint(&r, UINT64_MAX);
	m->hash = read_uint(&r, UINT64_MAX);
	m->body_len = read_bin(&r, &body);
	complete = !r.malformed && !r.remaining;
	release_wire_message(&msg);
	m->body = data + len - m->body_len;
	return complete && m->body_len <= len;
}
