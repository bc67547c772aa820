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
	put_array(w, HEADER_FIELD_NR);
	put_uint(w, m->kind);
	put_uint(w, m->hops);
	put_uint(w, m->rank);
	put_bool(w, m->flag);
	put_uint(w, m->sender);
	put_uint(w, m->origin);
	put_uint(w, m->epoch);
	put_uint(w, m->service);
	put_uint(w, m->upstream);
	put_uint(w, m->hash);
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
	open_wire(&msg, &r, data, len);
	m->kind =
		(enum flow_message_kind)take_uint(&r, FLOW_MESSAGE_KIND_NR - 1);
	m->hops = (uint8_t)take_uint(&r, UINT8_MAX);
	m->rank = (uint8_t)take_uint(&r, UINT8_MAX);
	m->flag = take_bool(&r);
	m->sender = take_uint(&r, UINT64_MAX);
	m->origin = take_uint(&r, UINT64_MAX);
	m->epoch = take_uint(&r, UINT64_MAX);
	m->service = take_uint(&r, UINT64_MAX);
	m->upstream = take_uint(&r, UINT64_MAX);
	m->hash = take_uint(&r, UINT64_MAX);
	m->body_len = take_bin(&r, &body);
	complete = !r.malformed && !r.remaining;
	release_wire(&msg);
	m->body = data + len - m->body_len;
	return complete && m->body_len <= len;
}
