#include "base/wire.h"

#include <string.h>

void init_wire_writer(struct wire_writer *w)
{
	msgpack_sbuffer_init(&w->buf);
	msgpack_packer_init(&w->packer, &w->buf, msgpack_sbuffer_write);
}

void release_wire_writer(struct wire_writer *w)
{
	msgpack_sbuffer_destroy(&w->buf);
}

void write_array(struct wire_writer *w, size_t n)
{
	msgpack_pack_array(&w->packer, n);
}

void write_uint(struct wire_writer *w, uint64_t v)
{
	msgpack_pack_uint64(&w->packer, v);
}

void write_bool(struct wire_writer *w, bool v)
{
	if (v)
		msgpack_pack_true(&w->packer);
	else
		msgpack_pack_false(&w->packer);
}

void write_str(struct wire_writer *w, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(&w->packer, len);
	msgpack_pack_str_body(&w->packer, s, len);
}

void write_bin(struct wire_writer *w, const void *data, size_t len)
{
	msgpack_pack_bin(&w->packer, len);
	msgpack_pack_bin_body(&w->packer, data, len);
}

void write_endpoint(struct wire_writer *w, const struct endpoint *ep)
{
	uint8_t raw[18];
	size_t n = ep->family == 6 ? 16 : 4;

	memcpy(raw, ep->ip, n);
	raw[n] = (uint8_t)(ep->port >> 8);
	raw[n + 1] = (uint8_t)ep->port;
	write_bin(w, raw, ep->family ? n + 2 : 0);
}

/* The types 0xc0 to 0xdf: bytes of the length, and of what follows it. */
static const struct {
	uint8_t length;
	uint8_t body;
} long_types[] = { { 0, 0 },  { 0, 0 }, { 0, 0 }, { 0, 0 }, /* nil, booleans */
		   { 1, 0 },  { 2, 0 }, { 4, 0 },	    /* binary data */
		   { 1, 1 },  { 2, 1 }, { 4, 1 },	    /* extensions */
		   { 0, 4 },  { 0, 8 },			    /* floats */
		   { 0, 1 },  { 0, 2 }, { 0, 4 }, { 0, 8 }, /* unsigned */
		   { 0, 1 },  { 0, 2 }, { 0, 4 }, { 0, 8 }, /* signed */
		   { 0, 2 },  { 0, 3 }, { 0, 5 }, { 0, 9 },
		   { 0, 17 }, { 1, 0 }, { 2, 0 }, { 4, 0 }, /* strings */
		   { 2, 0 },  { 4, 0 },			    /* arrays */
		   { 2, 0 },  { 4, 0 } };		    /* maps */

static uint64_t read_big_endian(const uint8_t *p, size_t len)
{
	uint64_t v = 0;

	for (size_t i = 0; i < len; i++)
		v = v << 8 | p[i];
	return v;
}

/*
 * Reads the head of the value at P, of up to LEN bytes. Returns the bytes from
 * P to the next value, or to the first element of an array or map; sets
 * *ELEMENTS to the number of these.
 */
static uint64_t read_value_head(const uint8_t *p, size_t len,
				uint64_t *elements)
{
	uint8_t type = *p;
	uint64_t n;

	*elements = 0;
	if (type < 0x80 || type >= 0xe0)
		return 1;
	if (type < 0xa0) {
		*elements = (type & 0x0f) * (type < 0x90 ? 2 : 1);
		return 1;
	}
	if (type < 0xc0)
		return 1 + (type & 0x1f);
	if (long_types[type - 0xc0].length >= len)
		return UINT64_MAX;
	n = read_big_endian(p + 1, long_types[type - 0xc0].length);
	if (type >= 0xdc) {
		*elements = type < 0xde ? n : 2 * n;
		n = 0;
	}
	return 1 + long_types[type - 0xc0].length + n +
	       long_types[type - 0xc0].body;
}

/*
 * Whether DATA is as long as the values that it announces. The library reserves
 * memory for all elements of an array before it reads the first.
 */
static bool is_complete(const uint8_t *data, size_t len)
{
	uint64_t missing = 1;

	while (missing && missing <= len) {
		uint64_t elements;
		uint64_t size = read_value_head(data, len, &elements);

		if (size > len)
			return false;
		data += size;
		len -= size;
		missing += elements - 1;
	}
	return !missing;
}

bool open_wire_message(struct wire_message *msg, struct wire_reader *r,
		       const void *data, size_t len)
{
	size_t off = 0;
	msgpack_unpack_return ret;

	memset(r, 0, sizeof(*r));
	msgpack_unpacked_init(&msg->unpacked);
	ret = is_complete(data, len)
		      ? msgpack_unpack_next(&msg->unpacked, data, len, &off)
		      : MSGPACK_UNPACK_PARSE_ERROR;
	if (ret != MSGPACK_UNPACK_SUCCESS || off != len ||
	    msg->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		r->malformed = true;
		return false;
	}
	r->next = msg->unpacked.data.via.array.ptr;
	r->remaining = msg->unpacked.data.via.array.size;
	return true;
}

void release_wire_message(struct wire_message *msg)
{
	msgpack_unpacked_destroy(&msg->unpacked);
}

/* The next element if it has TYPE; otherwise NULL, and R is malformed. */
static const msgpack_object *next_element(struct wire_reader *r,
					  msgpack_object_type type)
{
	if (r->malformed || !r->remaining || r->next->type != type) {
		r->malformed = true;
		return NULL;
	}
	r->remaining--;
	return r->next++;
}

uint64_t read_uint(struct wire_reader *r, uint64_t max)
{
	const msgpack_object *o =
		next_element(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o && o->via.u64 <= max)
		return o->via.u64;
	r->malformed = true;
	return 0;
}

bool read_bool(struct wire_reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

void read_str(struct wire_reader *r, char *buf, size_t size)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);

	buf[0] = '\0';
	if (!o || !o->via.str.size)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->malformed = true;
		return;
	}
	memcpy(buf, o->via.str.ptr, o->via.str.size);
	buf[o->via.str.size] = '\0';
}

size_t read_bin(struct wire_reader *r, const void **data)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_BIN);

	*data = o ? o->via.bin.ptr : NULL;
	return o ? o->via.bin.size : 0;
}

void read_endpoint(struct wire_reader *r, struct endpoint *ep)
{
	const void *data;
	size_t len = read_bin(r, &data);
	const uint8_t *raw = data;

	memset(ep, 0, sizeof(*ep));
	if (!len)
		return;
	if (len != 6 && len != 18) {
		r->malformed = true;
		return;
	}
	ep->family = len == 18 ? 6 : 4;
	memcpy(ep->ip, raw, len - 2);
	ep->port = (uint16_t)(raw[len - 2] << 8 | raw[len - 1]);
}

size_t read_array(struct wire_reader *r, struct wire_reader *sub)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_ARRAY);

	memset(sub, 0, sizeof(*sub));
	if (!o) {
		sub->malformed = true;
		return 0;
	}
	sub->next = o->via.array.ptr;
	sub->remaining = o->via.array.size;
	return sub->remaining;
}
