#include "fleet/value-transfer.h"

#include <string.h>

#include "base/patch.h"
#include "fleet/peer-format.h"

/* The value that is being received, as a patch of the empty value. */
struct value_receiver {
	char key[256];
	struct store_position at;
	uint8_t *packed;
	size_t packed_len; /* 0: no part was received */
	uint64_t received; /* a bit for each part */
};

/* One part as sent. */
struct value_part {
	char key[256];
	struct store_position at;
	size_t packed_len; /* of all parts */
	size_t offset;
	const void *bytes;
	size_t len;
};

static void write_head(struct wire_writer *w, size_t nr,
		       enum peer_format format, const char *key,
		       struct store_position at)
{
	write_array(w, nr);
	write_uint(w, format);
	write_str(w, key);
	write_uint(w, at.era);
	write_uint(w, at.revision);
}

static void read_key_position(struct wire_reader *r, char *key, size_t size,
			      struct store_position *at)
{
	read_str(r, key, size);
	at->era = read_uint(r, UINT64_MAX);
	at->revision = read_uint(r, UINT64_MAX);
}

void write_value_request(struct wire_writer *w, const struct value_request *r)
{
	write_head(w, 4, VALUE_REQUEST, r->key, r->at);
}

bool read_value_request(const void *data, size_t len, struct value_request *r)
{
	struct wire_message msg;
	struct wire_reader rd;
	bool ok = open_wire_message(&msg, &rd, data, len);

	if (ok && read_uint(&rd, UINT8_MAX) != VALUE_REQUEST)
		ok = false;
	if (ok)
		read_key_position(&rd, r->key, sizeof(r->key), &r->at);
	ok = ok && !rd.malformed && !rd.remaining;
	release_wire_message(&msg);
	return ok;
}

bool send_value(const char *key, struct store_position at, const void *value,
		size_t len, send_part_fn send, void *user)
{
	GBytes *packed = make_patch("", 0, value, len);
	const uint8_t *bytes;
	size_t total;

	if (!packed)
		return false;
	bytes = g_bytes_get_data(packed, &total);
	if (total > (size_t)VALUE_PARTS_MAX * VALUE_PART_BYTES ||
	    len > VALUE_BYTES_MAX) {
		g_bytes_unref(packed);
		return false;
	}
	for (size_t offset = 0; offset < total; offset += VALUE_PART_BYTES) {
		struct wire_writer w;

		init_wire_writer(&w);
		write_head(&w, 7, VALUE_PART, key, at);
		write_uint(&w, total);
		write_uint(&w, offset);
		write_bin(&w, bytes + offset,
			  MIN(VALUE_PART_BYTES, total - offset));
		send(w.buf.data, w.buf.size, user);
		release_wire_writer(&w);
	}
	g_bytes_unref(packed);
	return true;
}

struct value_receiver *create_value_receiver(void)
{
	return g_new0(struct value_receiver, 1);
}

void destroy_value_receiver(struct value_receiver *vr)
{
	if (!vr)
		return;
	g_free(vr->packed);
	g_free(vr);
}

/* Reads a part whose offset and length agree with the length of all parts. */
static bool read_part(struct wire_reader *r, struct value_part *p)
{
	const size_t max = (size_t)VALUE_PARTS_MAX * VALUE_PART_BYTES;

	if (read_uint(r, UINT8_MAX) != VALUE_PART)
		return false;
	read_key_position(r, p->key, sizeof(p->key), &p->at);
	p->packed_len = read_uint(r, max);
	p->offset = read_uint(r, max);
	p->len = read_bin(r, &p->bytes);
	return !r->malformed && !r->remaining && p->len &&
	       p->offset % VALUE_PART_BYTES == 0 && p->offset < p->packed_len &&
	       p->len == MIN(VALUE_PART_BYTES, p->packed_len - p->offset);
}

/* Drops what was received if P is of another value. */
static void begin_value(struct value_receiver *vr, const struct value_part *p)
{
	if (vr->packed_len == p->packed_len && !strcmp(vr->key, p->key) &&
	    !compare_store_positions(vr->at, p->at))
		return;
	g_strlcpy(vr->key, p->key, sizeof(vr->key));
	vr->at = p->at;
	vr->packed = g_realloc(vr->packed, p->packed_len);
	vr->packed_len = p->packed_len;
	vr->received = 0;
}

/* A bit for each part of LEN bytes. */
static uint64_t all_parts(size_t len)
{
	size_t nr = (len + VALUE_PART_BYTES - 1) / VALUE_PART_BYTES;

	return nr == 64 ? UINT64_MAX : (UINT64_C(1) << nr) - 1;
}

bool add_value_part(struct value_receiver *vr, const void *data, size_t len,
		    struct received_value *rv)
{
	struct wire_message msg;
	struct wire_reader r;
	struct value_part p;
	bool ok = open_wire_message(&msg, &r, data, len) && read_part(&r, &p);

	rv->value = NULL;
	if (ok) {
		begin_value(vr, &p);
		memcpy(vr->packed + p.offset, p.bytes, p.len);
		vr->received |= UINT64_C(1) << (p.offset / VALUE_PART_BYTES);
	}
	release_wire_message(&msg);
	if (!ok || vr->received != all_parts(vr->packed_len))
		return ok;
	rv->key = vr->key;
	rv->at = vr->at;
	rv->value =
		apply_patch("", 0, vr->packed, vr->packed_len, VALUE_BYTES_MAX);
	vr->packed_len = 0;
	return rv->value;
}
