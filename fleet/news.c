#include "fleet/news.h"

#include <string.h>

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

static void write_changes(struct wire_writer *w, uint64_t from, uint64_t to,
			  uint32_t hold_ms, const struct store_entry *es,
			  size_t nr)
{
	put_array(w, 4 + 4 * nr);
	put_uint(w, NEWS_CHANGES);
	put_uint(w, from);
	put_uint(w, to);
	put_uint(w, hold_ms);
	for (size_t i = 0; i < nr; i++) {
		bool whole = !es[i].deleted && es[i].value &&
			     es[i].len <= NEWS_VALUE_MAX;

		put_str(w, es[i].key);
		put_bool(w, es[i].deleted);
		put_bool(w, whole);
		put_bin(w, es[i].value, whole ? es[i].len : 0);
	}
}

const void *add_news(struct news_log *nl, uint64_t from, uint64_t to,
		     uint32_t hold_ms, const struct store_entry *entries,
		     size_t nr, size_t *len)
{
	struct wire_writer w;
	struct kept *k;

	if (nr > NEWS_ENTRIES_MAX) {
		clear_news(nl);
		return NULL;
	}
	init_wire_writer(&w);
	write_changes(&w, from, to, hold_ms, entries, nr);
	if (w.buf.size > NEWS_BYTES_MAX) {
		release_wire_writer(&w);
		clear_news(nl);
		return NULL;
	}
	k = g_new0(struct kept, 1);
	k->from = from;
	k->to = to;
	k->datagram = g_bytes_new(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	g_queue_push_tail(&nl->kept, k);
	if (nl->kept.length > NEWS_KEPT_MAX)
		free_kept(g_queue_pop_head(&nl->kept));
	return g_bytes_get_data(k->datagram, len);
}

bool resend_news(const struct news_log *nl, uint64_t since,
		 void (*send)(const void *data, size_t len, void *user),
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
	while (!r->bad && r->left >= 4 && n->nr < NEWS_ENTRIES_MAX) {
		struct news_entry *e = &n->entries[n->nr++];
		bool whole;

		take_str(r, e->key, sizeof(e->key));
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
