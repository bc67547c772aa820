#include "fleet/news.h"

#include <string.h>

#define ENTRY_FIELDS 5
#define HEAD_BYTES 32  /* at most, before the entries */
#define ENTRY_BYTES 24 /* at most, of an entry besides key and value */

struct kept {
	uint64_t from;
	uint64_t to;
	GBytes *datagram;
};

struct news_log {
	GQueue kept; /* of struct kept, oldest first */
};

struct news_log *create_news_log(void)
{
	struct news_log *nl = g_new0(struct news_log, 1);

	g_queue_init(&nl->kept);
	return nl;
}

static void free_kept(gpointer data)
{
	struct kept *k = data;

	g_bytes_unref(k->datagram);
	g_free(k);
}

void clear_news(struct news_log *nl)
{
	g_queue_clear_full(&nl->kept, free_kept);
}

void destroy_news_log(struct news_log *nl)
{
	if (!nl)
		return;
	clear_news(nl);
	g_free(nl);
}

/* Whether the value of E is passed on, not only named. */
static bool is_told_whole(const struct store_entry *e)
{
	return !e->deleted && e->value && e->len <= NEWS_VALUE_MAX;
}

static void write_changes(struct wire_writer *w, uint64_t from, uint64_t to,
			  uint32_t hold_ms, const struct store_entry *es,
			  size_t nr)
{
	put_array(w, 4 + ENTRY_FIELDS * nr);
	put_uint(w, NEWS_CHANGES);
	put_uint(w, from);
	put_uint(w, to);
	put_uint(w, hold_ms);
	for (size_t i = 0; i < nr; i++) {
		bool whole = is_told_whole(&es[i]);

		put_str(w, es[i].key);
		put_uint(w, es[i].mod_revision - from);
		put_bool(w, es[i].deleted);
		put_bool(w, whole);
		put_bin(w, es[i].value, whole ? es[i].len : 0);
	}
}

static void keep(struct news_log *nl, uint64_t from, uint64_t to,
		 uint32_t hold_ms, const struct store_entry *es, size_t nr,
		 news_fn send, void *user)
{
	struct kept *k = g_new0(struct kept, 1);
	struct wire_writer w;
	const void *data;
	size_t len;

	init_wire_writer(&w);
	write_changes(&w, from, to, hold_ms, es, nr);
	k->from = from;
	k->to = to;
	k->datagram = g_bytes_new(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	g_queue_push_tail(&nl->kept, k);
	if (nl->kept.length > NEWS_KEPT_MAX)
		free_kept(g_queue_pop_head(&nl->kept));
	data = g_bytes_get_data(k->datagram, &len);
	if (send)
		send(data, len, user);
}

/* How many of the changes, by whole revisions, fit one datagram. */
static size_t count_fitting(const struct store_entry *es, size_t nr)
{
	size_t bytes = HEAD_BYTES;
	size_t fitting = 0;

	for (size_t i = 0; i < nr && i < NEWS_ENTRIES_MAX; i++) {
		bytes += strlen(es[i].key) + ENTRY_BYTES;
		if (is_told_whole(&es[i]))
			bytes += es[i].len;
		if (bytes > NEWS_BYTES_MAX)
			break;
		if (i + 1 == nr || es[i + 1].mod_revision != es[i].mod_revision)
			fitting = i + 1;
	}
	return fitting;
}

bool add_news(struct news_log *nl, uint64_t from, uint64_t to, uint32_t hold_ms,
	      const struct store_entry *entries, size_t nr, news_fn send,
	      void *user)
{
	bool all = true;
	size_t at = 0;

	while (at < nr) {
		size_t n = count_fitting(&entries[at], nr - at);
		uint64_t revision = entries[at].mod_revision;

		if (n) {
			uint64_t last =
				at + n == nr ? to
					     : entries[at + n - 1].mod_revision;

			keep(nl, from, last, hold_ms, &entries[at], n, send,
			     user);
			from = last;
			at += n;
			continue;
		}
		clear_news(nl);
		all = false;
		from = revision;
		while (at < nr && entries[at].mod_revision == revision)
			at++;
	}
	if (to > from)
		keep(nl, from, to, hold_ms, NULL, 0, send, user);
	return all;
}

bool resend_news(const struct news_log *nl, uint64_t since, news_fn send,
		 void *user)
{
	const struct kept *first = g_queue_peek_head((GQueue *)&nl->kept);
	size_t sent = 0;

	if (!first || since < first->from)
		return false;
	for (GList *l = nl->kept.head; l && sent < NEWS_RESENT_MAX;
	     l = l->next) {
		const struct kept *k = l->data;
		size_t len;
		const void *data = g_bytes_get_data(k->datagram, &len);

		if (k->to <= since)
			continue;
		send(data, len, user);
		sent++;
	}
	return true;
}

void write_news_mark(struct wire_writer *w, enum news_format format,
		     uint64_t from)
{
	put_array(w, 2);
	put_uint(w, format);
	put_uint(w, from);
}

static void read_changes(struct wire_reader *r, struct news *n)
{
	n->to = take_uint(r, UINT64_MAX);
	n->hold_ms = (uint32_t)take_uint(r, UINT32_MAX);
	while (!r->bad && r->left >= ENTRY_FIELDS && n->nr < NEWS_ENTRIES_MAX) {
		struct news_entry *e = &n->entries[n->nr++];
		bool whole;

		take_str(r, e->key, sizeof(e->key));
		e->revision = n->from + take_uint(r, UINT32_MAX);
		e->removed = take_bool(r);
		whole = take_bool(r);
		e->len = take_bin(r, &e->value);
		if (!whole)
			e->value = NULL;
	}
}

bool read_news(struct wire_message *msg, struct news *n, const void *data,
	       size_t len)
{
	struct wire_reader r;

	n->nr = 0;
	if (!open_wire(msg, &r, data, len))
		return false;
	n->format = (enum news_format)take_uint(&r, UINT8_MAX);
	n->from = take_uint(&r, UINT64_MAX);
	switch (n->format) {
	case NEWS_CHANGES:
		read_changes(&r, n);
		break;
	case NEWS_ASK:
	case NEWS_GONE:
		break;
	default:
		return false;
	}
	return !r.bad && !r.left;
}
