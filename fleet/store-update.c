#include "fleet/store-update.h"

#include <string.h>

#include "base/patch.h"

#define UPDATE_HEADER_FIELDS 6
#define UPDATE_ENTRY_FIELDS 5
/* keys have at most 200 bytes */
#define HELD_RECORDS_PER_DATAGRAM 5
#define UPDATE_HEADER_BYTES 50 /* limit for all before the entries */
#define UPDATE_ENTRY_BYTES 33  /* limit for an entry without key and value */

struct kept_datagram {
	struct store_position from;
	struct store_position to;
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

static void write_change(struct wire_writer *w, const struct encoded_change *ec)
{
	const void *value = ec->encoding == UPDATE_PATCH
				    ? g_bytes_get_data(ec->patch, NULL)
				    : ec->entry->value;

	write_str(w, ec->entry->key);
	write_uint(w, ec->entry->mod_revision);
	write_uint(w, ec->encoding);
	write_uint(w, ec->base_revision);
	write_bin(w, value, encoded_value_len(ec));
}

static void keep_datagram(struct update_log *ul, struct store_position from,
			  struct store_position to, GBytes *datagram)
{
	struct kept_datagram *k = g_new0(struct kept_datagram, 1);

	k->from = from;
	k->to = to;
	k->datagram = datagram;
	g_queue_push_tail(&ul->datagrams, k);
	if (ul->datagrams.length > UPDATE_KEPT_DATAGRAMS)
		free_kept_datagram(g_queue_pop_head(&ul->datagrams));
}

void keep_update(struct update_log *ul, const struct store_update *su,
		 const void *data, size_t len)
{
	keep_datagram(ul, su->from, su->to, g_bytes_new(data, len));
}

static void write_position(struct wire_writer *w, struct store_position at)
{
	write_uint(w, at.era);
	write_uint(w, at.revision);
}

static struct store_position read_position(struct wire_reader *r)
{
	struct store_position at;

	at.era = read_uint(r, UINT64_MAX);
	at.revision = read_uint(r, UINT64_MAX);
	return at;
}

/* Encodes NR changes as one datagram, keeps it and passes it to SEND. */
static void send_changes(struct update_log *ul, enum peer_format format,
			 struct store_position from, struct store_position to,
			 uint32_t hold_ms, const struct encoded_change *ecs,
			 size_t nr, send_update_fn send, void *user)
{
	struct wire_writer w;
	GBytes *datagram;

	init_wire_writer(&w);
	write_array(&w, UPDATE_HEADER_FIELDS + UPDATE_ENTRY_FIELDS * nr);
	write_uint(&w, format);
	write_position(&w, from);
	write_position(&w, to);
	write_uint(&w, hold_ms);
	for (size_t i = 0; i < nr; i++)
		write_change(&w, &ecs[i]);
	datagram = g_bytes_new(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	keep_datagram(ul, from, to, datagram);
	if (send)
		send(g_bytes_get_data(datagram, NULL),
		     g_bytes_get_size(datagram), user);
}

/*
 * Number of changes that fit one datagram; in complete revisions if these are
 * SORTED.
 */
static size_t count_fitting(const struct encoded_change *ecs, size_t nr,
			    bool sorted)
{
	size_t bytes = UPDATE_HEADER_BYTES;
	size_t fitting = 0;

	for (size_t i = 0; i < nr && i < UPDATE_ENTRIES_MAX; i++) {
		bytes += strlen(ecs[i].entry->key) + UPDATE_ENTRY_BYTES +
			 encoded_value_len(&ecs[i]);
		if (bytes > UPDATE_DATAGRAM_MAX)
			break;
		if (!sorted || i + 1 == nr ||
		    ecs[i + 1].entry->mod_revision !=
			    ecs[i].entry->mod_revision)
			fitting = i + 1;
	}
	return fitting;
}

/* Sends the changes of one era. */
static bool send_changes_of_era(struct update_log *ul,
				const struct mirror_update *changes,
				const struct encoded_change *ec,
				send_update_fn send, void *user)
{
	struct store_position from = changes->from;
	size_t nr = changes->entry_nr;
	bool all = true;
	size_t at = 0;

	while (at < nr) {
		size_t n = count_fitting(&ec[at], nr - at, true);
		struct store_position to = { from.era,
					     ec[at].entry->mod_revision };

		if (n) {
			at += n;
			to.revision = at == nr ? changes->to.revision
					       : ec[at - 1].entry->mod_revision;
			send_changes(ul, UPDATE_CHANGES, from, to,
				     changes->removal_hold_ms, &ec[at - n], n,
				     send, user);
		} else {
			clear_updates(ul);
			all = false;
			while (at < nr &&
			       ec[at].entry->mod_revision == to.revision)
				at++;
		}
		from = to;
	}
	if (compare_store_positions(changes->to, from) > 0)
		send_changes(ul, UPDATE_CHANGES, from, changes->to,
			     changes->removal_hold_ms, NULL, 0, send, user);
	return all;
}

/*
 * Sends the differences after a restore. Its parts lead to the revisions 1, 2
 * and so on of the new era, which are below any that the store has then; the
 * last part leads to the store's position.
 */
static bool send_differences(struct update_log *ul,
			     const struct mirror_update *changes,
			     const struct encoded_change *ec,
			     send_update_fn send, void *user)
{
	struct store_position from = changes->from;
	size_t at = 0;

	do {
		size_t n =
			count_fitting(&ec[at], changes->entry_nr - at, false);
		struct store_position to = { changes->to.era,
					     from.era == changes->to.era
						     ? from.revision + 1
						     : 1 };

		if (at + n == changes->entry_nr)
			to = changes->to;
		if ((!n && changes->entry_nr) ||
		    compare_store_positions(to, changes->to) > 0) {
			clear_updates(ul);
			return false;
		}
		send_changes(ul, UPDATE_RESTORED, from, to, 0, &ec[at], n, send,
			     user);
		at += n;
		from = to;
	} while (at < changes->entry_nr);
	return true;
}

bool add_updates(struct update_log *ul, const struct mirror_update *changes,
		 send_update_fn send, void *user)
{
	GArray *ecs = g_array_new(FALSE, FALSE, sizeof(struct encoded_change));
	const struct encoded_change *ec;
	bool all;

	g_array_set_clear_func(ecs, free_encoded_change);
	for (size_t i = 0; i < changes->entry_nr; i++) {
		struct encoded_change one = choose_encoding(
			&changes->entries[i],
			changes->bases ? &changes->bases[i] : NULL);

		g_array_append_val(ecs, one);
	}
	ec = (const struct encoded_change *)(void *)ecs->data;
	all = changes->restored
		      ? send_differences(ul, changes, ec, send, user)
		      : send_changes_of_era(ul, changes, ec, send, user);
	g_array_free(ecs, TRUE);
	return all;
}

bool resend_updates(const struct update_log *ul, struct store_position since,
		    send_update_fn send, void *user)
{
	const struct kept_datagram *first =
		g_queue_peek_head((GQueue *)&ul->datagrams);
	size_t sent = 0;

	if (!first || compare_store_positions(since, first->from) < 0)
		return false;
	for (GList *l = ul->datagrams.head; l && sent < UPDATE_RESEND_DATAGRAMS;
	     l = l->next) {
		const struct kept_datagram *k = l->data;
		size_t len;
		const void *data = g_bytes_get_data(k->datagram, &len);

		if (compare_store_positions(k->to, since) <= 0)
			continue;
		send(data, len, user);
		sent++;
	}
	return true;
}

void write_update_control(struct wire_writer *w, enum peer_format format,
			  struct store_position from)
{
	write_array(w, 3);
	write_uint(w, format);
	write_position(w, from);
}

void write_held_records(struct store_position at, const GArray *held,
			send_update_fn send, void *user)
{
	guint parts = MAX(1, (held->len + HELD_RECORDS_PER_DATAGRAM - 1) /
				     HELD_RECORDS_PER_DATAGRAM);

	for (guint part = 0; part < parts; part++) {
		guint first = part * HELD_RECORDS_PER_DATAGRAM;
		guint nr = MIN(held->len - first, HELD_RECORDS_PER_DATAGRAM);
		struct wire_writer w;

		init_wire_writer(&w);
		write_array(&w,
			    UPDATE_HEADER_FIELDS + UPDATE_ENTRY_FIELDS * nr);
		write_uint(&w, UPDATE_HELD);
		write_position(&w, at);
		write_position(&w, at);
		write_uint(&w, parts - 1 - part);
		for (guint i = 0; i < nr; i++) {
			const struct held_record *h = &g_array_index(
				held, struct held_record, first + i);

			write_str(&w, h->key);
			write_uint(&w, 0);
			write_uint(&w, h->present ? UPDATE_OMITTED
						  : UPDATE_REMOVED);
			write_uint(&w, h->left_ms);
			write_bin(&w, NULL, 0);
		}
		send(w.buf.data, w.buf.size, user);
		release_wire_writer(&w);
	}
}

static void read_changes(struct wire_reader *r, struct store_update *su)
{
	su->to = read_position(r);
	su->hold_ms = (uint32_t)read_uint(r, UINT32_MAX);
	while (!r->malformed && r->remaining >= UPDATE_ENTRY_FIELDS &&
	       su->nr < UPDATE_ENTRIES_MAX) {
		struct update_entry *e = &su->entries[su->nr++];

		read_str(r, e->key, sizeof(e->key));
		e->revision = read_uint(r, UINT64_MAX);
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
	su->format = (enum peer_format)read_uint(&r, UINT8_MAX);
	su->from = read_position(&r);
	switch (su->format) {
	case UPDATE_CHANGES:
	case UPDATE_RESTORED:
	case UPDATE_HELD:
		read_changes(&r, su);
		break;
	case UPDATE_REQUEST:
	case UPDATE_NOT_KEPT:
	case UPDATE_HELD_REQUEST:
		break;
	default:
		return false;
	}
	return !r.malformed && !r.remaining;
}
