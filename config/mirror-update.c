/* What a mirror passes on to others, and takes from them as news. */

#include <string.h>

#include "config/mirror-state.h"

struct mirror_base mirror_value(const struct mirror *m, const char *key)
{
	const struct item *it = g_hash_table_lookup(m->items, key);
	struct mirror_base b = { NULL, 0, 0 };

	if (it && !it->gone_ms) {
		b.value = it->value;
		b.len = it->len;
		b.revision = it->revision;
	}
	return b;
}

/*
 * Notes what was held of the long values that ENTRIES change. The last change
 * of a key stands for those before it.
 */
static void note_bases(struct mirror *m, const struct store_entry *entries,
		       size_t nr)
{
	g_array_set_size(m->bases, 0);
	g_array_set_size(m->bases, (guint)nr);
	for (size_t i = nr; i > 0; i--) {
		const struct store_entry *e = &entries[i - 1];
		struct mirror_base *b =
			&g_array_index(m->bases, struct mirror_base, i - 1);
		bool last = true;

		if (e->deleted || e->len <= MIRROR_LONG_VALUE)
			continue;
		for (size_t k = i; k < nr && last; k++)
			last = strcmp(entries[k].key, e->key) != 0;
		if (!last)
			continue;
		*b = mirror_value(m, e->key);
		if (!b->value)
			continue;
		b->value = g_memdup2(b->value, b->len);
		g_ptr_array_add(m->dead, (gpointer)b->value);
	}
}

/*
 * Passes the changes in A on. One that watches only to catch up keeps them: if
 * all that are behind passed on what they learn, none would get through.
 */
void tell_changes(struct mirror *m, const struct store_answer *a,
		  uint64_t now_ms, GArray *out)
{
	uint64_t hold = hold_until(m, now_ms);
	size_t known = 0;
	struct mirror_news *n;

	if (a->revision <= m->revision)
		return;
	while (known < a->entry_nr &&
	       a->entries[known].mod_revision <= m->revision)
		known++;
	n = &act_mirror(out, m->reader ? MIRROR_TELL : MIRROR_KEEP)->news;
	n->from = m->revision;
	n->to = a->revision;
	n->hold_ms = hold ? (uint32_t)(hold - now_ms) : 0;
	n->entries = &a->entries[known];
	n->entry_nr = a->entry_nr - known;
	note_bases(m, n->entries, n->entry_nr);
	n->bases = (const struct mirror_base *)(void *)m->bases->data;
}

/* Takes in a value that may be the one that was left out before. */
static void take_value(struct mirror *m, const struct store_entry *e,
		       GArray *out)
{
	change_item(m, e, out);
	if (m->wanted && !strcmp(e->key, m->wanted) &&
	    e->mod_revision >= m->wanted_revision)
		g_clear_pointer(&m->wanted, g_free);
}

void take_key(struct mirror *m, const struct store_answer *a, uint64_t now_ms,
	      GArray *out)
{
	m->reading_key = false;
	m->wanted_ms = now_ms + MIRROR_KEY_MS;
	if (a->status.kind != STATUS_OK)
		return;
	for (size_t i = 0; i < a->entry_nr; i++)
		if (m->wanted && !strcmp(a->entries[i].key, m->wanted))
			take_value(m, &a->entries[i], out);
}

/* Remembers that KEY has a value that was too long to be passed on. */
static void want_key(struct mirror *m, const char *key, uint64_t revision)
{
	const struct item *it = g_hash_table_lookup(m->items, key);

	if (it && it->revision >= revision)
		return;
	if (m->wanted && !strcmp(m->wanted, key)) {
		m->wanted_revision = revision;
		return;
	}
	if (m->wanted) {
		/* two of them: only a whole read brings both */
		m->read_next = true;
		return;
	}
	m->wanted = g_strdup(key);
	m->wanted_revision = revision;
}

void take_news(struct mirror *m, const struct mirror_news *n, uint64_t now_ms,
	       GArray *out)
{
	uint64_t hold = n->hold_ms ? now_ms + n->hold_ms : 0;

	if (m->state != STATE_TAKING || n->to <= m->revision)
		return;
	if (n->from > m->revision) {
		note_newer(m, n->to, now_ms);
		return;
	}
	for (size_t i = 0; i < n->entry_nr; i++) {
		const struct store_entry *e = &n->entries[i];

		if (e->deleted)
			remove_item(m, e->key, e->mod_revision, hold, out);
		else if (e->value)
			take_value(m, e, out);
		else
			want_key(m, e->key, e->mod_revision);
	}
	m->revision = n->to;
	m->differs_ms = 0;
	m->hint_ms = now_ms; /* peers do help */
}
