#include "flow/moved-flows.h"

#include "fleet/peer-format.h"

#define KEY_FIELDS 4 /* of a flow on the wire */

struct moved_flows {
	GArray *pending; /* of struct flow_key */
	uint64_t sent_ms;
};

struct moved_flows *create_moved_flows(void)
{
	struct moved_flows *mf = g_new0(struct moved_flows, 1);

	mf->pending = g_array_new(FALSE, FALSE, sizeof(struct flow_key));
	return mf;
}

void destroy_moved_flows(struct moved_flows *mf)
{
	if (!mf)
		return;
	g_array_free(mf->pending, TRUE);
	g_free(mf);
}

void note_moved_in(struct moved_flows *mf, const struct flow_key *key)
{
	if (mf->pending->len < MOVED_FLOWS_PENDING_MAX)
		g_array_append_val(mf->pending, *key);
}

bool has_moved_flows(const struct moved_flows *mf)
{
	return mf->pending->len;
}

bool pop_moved_flows(struct moved_flows *mf, size_t member_nr, uint64_t now_ms,
		     GArray *keys)
{
	uint64_t interval_ms = MAX((uint64_t)MOVED_FLOWS_INTERVAL_MS,
				   MOVED_FLOWS_PER_MEMBER_MS * member_nr);
	guint nr = MIN(mf->pending->len, MOVED_FLOWS_PER_DATAGRAM);

	if (!nr || now_ms - mf->sent_ms < interval_ms)
		return false;
	mf->sent_ms = now_ms;
	g_array_append_vals(keys, mf->pending->data, nr);
	g_array_remove_range(mf->pending, 0, nr);
	return true;
}

void write_moved_flows(struct wire_writer *w, const GArray *keys)
{
	write_array(w, 1 + KEY_FIELDS * keys->len);
	write_uint(w, FLOWS_MOVED);
	for (guint i = 0; i < keys->len; i++) {
		const struct flow_key *k =
			&g_array_index(keys, struct flow_key, i);

		write_uint(w, k->caller_ip);
		write_uint(w, k->caller_port);
		write_uint(w, k->service_ip);
		write_uint(w, k->service_port);
	}
}

bool read_moved_flows(const void *data, size_t len, GArray *keys)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len) &&
		  read_uint(&r, UINT8_MAX) == FLOWS_MOVED;

	while (ok && !r.malformed && r.remaining) {
		struct flow_key k = { 0 };

		k.caller_ip = (uint32_t)read_uint(&r, UINT32_MAX);
		k.caller_port = (uint16_t)read_uint(&r, UINT16_MAX);
		k.service_ip = (uint32_t)read_uint(&r, UINT32_MAX);
		k.service_port = (uint16_t)read_uint(&r, UINT16_MAX);
		if (!r.malformed)
			g_array_append_val(keys, k);
	}
	ok = ok && !r.malformed;
	release_wire_message(&msg);
	return ok;
}
