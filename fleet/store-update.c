#include "fleet/store-update.h"

#include <string.h>

#include "base/patch.h"

#define UPDATE_ENTRY_FIELDS 5
#define UPDATE_HEADER_BYTES 32 /* limit for all before the entries */
#define UPDATE_ENTRY_BYTES 33  /* limit for an entry without key and value */

struct kept_datagram {
	uint64_t from_revision;
	uint64_t to_revision;
	GBytes *datagram;
};

struct update_log {
	GQueue datagrams; /* of struct kept_datagram, oldest first */
};

struct update_log *create_update_log(void)
{
	struct update_log *ul = g_new0(struct update_log, 1);

	g_queue_init(&ul->datagrams);
	return ul;
}

static void free_kept_datagram(gpointer data)
{
	struct kept_datagram *k = data;

	g_bytes_unref(k->datagram);
	g_free(k);
}

void clear_updates(struct update_log *ul)
{
	g_queue_clear_full(&ul->datagrams, free_kept_datagram);
}

void destroy_update_log(struct update_log *ul)
{
	if (!ul)
		return;
	clear_updates(ul);
	g_free(ul);
}

/* A change and the encoding of its value. */
struct encoded_change {
	const struct store_entry *entry;
	enum update_encoding encoding;
	uint64_t base_revision;
	GBytes *patch; /* of UPDATE_PATCH */
};

static void free_encoded_change(gpointer data)
{
	struct encoded_change *ec = data;

	if (ec->patch)
		g_bytes_unref(ec->patch);
}

static struct encoded_change choose_encoding(const struct store_entry *e,
					     const struct mirror_entry *base)
{
	struct encoded_change ec = { .entry = e, .encoding = UPDATE_OMITTED };

	if (e->deleted) {
		ec.encoding = UPDATE_REMOVED;
	} else if (e->value && e->len <= UPDATE_VALUE_MAX) {
		ec.encoding = UPDATE_WHOLE;
	} else if (e->value && base && base->value) {
		ec.patch = make_patch(base->value, base->len, e->value, e->len);
		if (ec.patch &&
		    g_bytes_get_size(ec.patch) <= UPDATE_PATCH_MAX) {
			ec.encoding = UPDATE_PATCH;
			ec.base_revision = base->revision;
		}
	}
	return ec;
}

static size_t encoded_value_len(const struct encoded_change *ec)
{
	switch (ec->encoding) {
	case UPDATE_WHOLE:
		return ec->entry->len;
	case UPDATE_PATCH:
		return g_bytes_get_size(ec->patch);
	case UPDATE_REMOVED:
	case UPDATE_OMITTED:
		break;
	}
	return 0;
}

static void write_change(struct wire_writer *w, const struct encoded_change *ec,
			 uint64_t from)
{
	const void *value = ec->encoding == UPDATE_PATCH
				    ? g_bytes_get_data(ec->patch, NULL)
				    : ec->entry->value;

	write_str(w, ec->entry->key);
	write_uint(w, ec->entry->mod_revision - from);
	write_uint(w, ec->encoding);
	write_uint(w, ec->base_revision);
	write_bin(w, value, encoded_value_len(ec));
}

static void keep_datagram(struct update_log *ul, uint64_t from, uint64_t to,
			  GBytes *datagram)
{
	struct kept_datagram *k = g_new0(struct kept_datagram, 1);

	k->from_revision = from;
	k->to_revision = to;
	k->datagram = datagram;
	g_queue_push_tail(&ul->datagrams, k);
	if (ul->datagrams.length > UPDATE_KEPT_DATAGRAMS)
		free_kept_datagram(g_queue_pop_head(&ul->datagrams));
}

void keep_update(struct update_log *ul, const struct store_update *su,
		 const void *data, size_t len)
{
	keep_datagram(ul, su->from_revision, su->to_revision,
		      g_bytes_new(data, len));
}

/* Encodes NR changes as one datagram, keeps it and passes it to SEND. */
static void send_changes(struct update_log *ul, uint64_t from, uint64_t to,
			 uint32_t hold_ms, const struct encoded_change *ecs,
			 size_t nr, send_update_fn send, void *user)
{
	struct wire_writer w;
	GBytes *datagram;

	init_wire_writer(&w);
	write_array(&w, 4 + UPDATE_ENTRY_FIELDS * nr);
	write_uint(&w, UPDATE_CHANGES);
	write_uint(&w, from);
	write_uint(&w, to);
	write_uint(&w, hold_ms);
	for (size_t i = 0; i < nr; i++)
		write_change(&w, &ecs[i], from);
	datagram = g_bytes_new(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	keep_datagram(ul, from, to, datagram);
	if (send)
		send(g_bytes_get_data(datagram, NULL),
		     g_bytes_get_size(datagram), user);
}

/* Number of changes, in complete revisions, that fit one datagram. */
static size_t count_fitting(const struct encoded_change *ecs, size_t nr)
{
	size_t bytes = UPDATE_HEADER_BYTES;
	size_t fitting = 0;

	for (size_t i = 0; i < nr && i < UPDATE_ENTRIES_MAX; i++) {
		bytes += strlen(ecs[i].entry->key) + UPDATE_ENTRY_BYTES +
			 encoded_value_len(&ecs[i]);
		if (bytes > UPDATE_DATAGRAM_MAX)
			break;
		if (i + 1 == nr || ecs[i + 1].entry->mod_revision !=
					   ecs[i].entry->mod_revision)
			fitting = i + 1;
	}
	return fitting;
}

bool add_updates(struct update_log *ul, const struct mirror_update *changes,
		 send_update_fn send, void *user)
{
	GArray *ecs = g_array_new(FALSE, FALSE, sizeof(struct encoded_change));
	size_t nr = changes->entry_nr;
	uint64_t from = changes->from;
	const struct encoded_change *ec;
	bool all = true;
	size_t at = 0;

	g_array_set_clear_func(ecs, free_encoded_change);
	for (size_t i = 0; i < nr; i++) {
		struct encoded_change one = choose_encoding(
			&changes->entries[i],
			changes->bases ? &changes->bases[i] : NULL);

		g_array_append_val(ecs, one);
	}
	ec = (const struct encoded_change *)(void *)ecs->data;
	while (at < nr) {
		size_t n = count_fitting(&ec[at], nr - at);
		uint64_t to = ec[at].entry->mod_revision;

		if (n) {
			at += n;
			to = at == nr ? changes->to
				      : ec[at - 1].entry->mod_revision;
			send_changes(ul, from, to, changes->removal_hold_ms,
				     &ec[at - n], n, send, user);
		} else {
			clear_updates(ul);
			all = false;
			while (at < nr && ec[at].entry->mod_revision == to)
				at++;
		}
		from = to;
	}
	if (changes->to > from)
		send_changes(ul, from, changes->to, changes->removal_hold_ms,
			     NULL, 0, send, user);
	g_array_free(ecs, TRUE);
	return all;
}

bool resend_updates(const struct update_log *ul, uint64_t since,
		    send_update_fn send, void *user)
{
	const struct kept_datagram *first =
		g_queue_peek_head((GQueue *)&ul->datagrams);
	size_t sent = 0;

	if (!first || since < first->from_revision)
		return false;
	for (GList *l = ul->datagrams.head; l && sent < UPDATE_RESEND_DATAGRAMS;
	     l = l->next) {
		const struct kept_datagram *k = l->data;
		size_t len;
		const void *data = g_bytes_get_data(k->datagram, &len);

		if (k->to_revision <= since)
			continue;
		send(data, len, user);
		sent++;
	}
	return true;
}

void write_update_control(struct wire_writer *w, enum update_format format,
			  uint64_t from)
{
	write_array(w, 2);
	write_uint(w, format);
	write_uint(w, from);
}

static void read_changes(struct wire_reader *r, struct store_update *su)
{
	su->to_revision = read_uint(r, UINT64_MAX);
	su->hold_ms = (uint32_t)read_uint(r, UINT32_MAX);
	while (!r->malformed && r->remaining >= UPDATE_ENTRY_FIELDS &&
	       su->nr < UPDATE_ENTRIES_MAX) {
		struct update_entry *e = &su->entries[su->nr++];

		read_str(r, e->key, sizeof(e->key));
		e->revision = su->from_revision + read_uint(r, UINT32_MAX);
		e->encoding = (enum update_encoding)read_uint(r, UPDATE_PATCH);
		e->base_revision = read_uint(r, UINT64_MAX);
		e->len = read_bin(r, &e->value);
		if (e->encoding != UPDATE_WHOLE && e->encoding != UPDATE_PATCH)
			e->value = NULL;
	}
}

bool read_store_update(struct wire_message *msg, struct store_update *su,
		       const void *data, size_t len)
{
	struct wire_reader r;

	su->nr = 0;
	if (!open_wire_message(msg, &r, data, len))
		return false;
	su->format = (enum update_format)read_uint(&r, UINT8_MAX);
	su->from_revision = read_uint(&r, UINT64_MAX);
	switch (su->format) {
	case UPDATE_CHANGES:
		read_changes(&r, su);
		break;
	case UPDATE_REQUEST:
	case UPDATE_NOT_KEPT:
		break;
	default:
		return false;
	}
	return !r.malformed && !r.remaining;
}
