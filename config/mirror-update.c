/* Updates: the changes that a mirror sends to peers and applies from them. */

#include <string.h>

#include "config/mirror-state.h"

struct mirror_entry find_mirror_entry(const struct mirror *m, const char *key)
{
	const struct mirror_item *it = g_hash_table_lookup(m->items, key);
	struct mirror_entry b = { NULL, 0, 0 };

	if (it && !it->removal_due_ms) {
		b.value = it->value;
		b.len = it->len;
		b.revision = it->revision;
	}
	return b;
}

GPtrArray *list_mirror_keys(const struct mirror *m)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, m->items);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_ptr_array_add(keys, g_strdup(key));
	return keys;
}

void record_bases(struct mirror *m, const struct store_entry *entries,
		  size_t nr)
{
	g_array_set_size(m->bases, 0);
	g_array_set_size(m->bases, (guint)nr);
	for (size_t i = nr; i > 0; i--) {
		const struct store_entry *e = &entries[i - 1];
		struct mirror_entry *b =
			&g_array_index(m->bases, struct mirror_entry, i - 1);
		bool last = true;

		if (e->deleted || e->len <= MIRROR_INLINE_VALUE_MAX)
			continue;
		for (size_t k = i; k < nr && last; k++)
			last = strcmp(entries[k].key, e->key) != 0;
		if (!last)
			continue;
		*b = find_mirror_entry(m, e->key);
		/* a later value that was applied ahead is no base */
		if (b->revision >= e->mod_revision)
			*b = (struct mirror_entry){ 0 };
		if (!b->value)
			continue;
		b->value = g_memdup2(b->value, b->len);
		g_ptr_array_add(m->step_memory, (gpointer)b->value);
	}
}

/*
 * An instance that watches only to catch up stores the changes for peers that
 * ask: if every lagging instance sent them, the links would be congested.
 */
void forward_changes(struct mirror *m, const struct store_answer *a,
		     uint64_t now_ms, GArray *out)
{
	uint64_t hold_until_ms = removal_hold_until_ms(m, now_ms);
	size_t already_known = 0;
	struct mirror_update *n;

	if (a->revision <= m->position.revision)
		return;
	while (already_known < a->entry_nr &&
	       a->entries[already_known].mod_revision <= m->position.revision)
		already_known++;
	n = &add_mirror_action(out, m->is_store_reader ? MIRROR_DO_SEND_UPDATE
						       : MIRROR_DO_KEEP_UPDATE)
		     ->update;
	n->from = m->position;
	n->to = (struct store_position){ a->era, a->revision };
	n->removal_hold_ms =
		hold_until_ms ? (uint32_t)(hold_until_ms - now_ms) : 0;
	n->entries = &a->entries[already_known];
	n->entry_nr = a->entry_nr - already_known;
	record_bases(m, n->entries, n->entry_nr);
	n->bases = (const struct mirror_entry *)(void *)m->bases->data;
}

/* Applies E; clears m->missing_key if E has the missing value. */
static void apply_value(struct mirror *m, const struct store_entry *e,
			GArray *out)
{
	update_mirror_item(m, e, out);
	if (m->missing_key && !strcmp(e->key, m->missing_key) &&
	    e->mod_revision >= m->missing_key_revision)
		g_clear_pointer(&m->missing_key, g_free);
}

void handle_key_read(struct mirror *m, const struct store_answer *a,
		     uint64_t now_ms, GArray *out)
{
	m->reading_key = false;
	m->key_peer_until_ms = 0;
	m->key_read_allowed_ms = now_ms + MIRROR_KEY_READ_INTERVAL_MS;
	if (a->status.kind != STATUS_OK)
		return;
	if (a->era != m->position.era) {
		m->needs_full_read |= a->era > m->position.era;
		return;
	}
	for (size_t i = 0; i < a->entry_nr; i++)
		if (m->missing_key &&
		    !strcmp(a->entries[i].key, m->missing_key))
			apply_value(m, &a->entries[i], out);
}

/* Records that an update left out the value of KEY, which was too long. */
static void note_missing_value(struct mirror *m, const char *key,
			       uint64_t revision)
{
	const struct mirror_item *it = g_hash_table_lookup(m->items, key);

	if (it && it->revision >= revision)
		return;
	m->key_tries = 0;
	if (m->missing_key && !strcmp(m->missing_key, key)) {
		m->missing_key_revision = revision;
		return;
	}
	if (m->missing_key) {
		/* only one key is tracked: with two, read everything */
		m->needs_full_read = true;
		return;
	}
	m->missing_key = g_strdup(key);
	m->missing_key_revision = revision;
}

/* Whether N leads on from a copy at position AT. */
static bool continues_at(const struct mirror_update *n,
			 struct store_position at)
{
	if (n->restored)
		return !compare_store_positions(n->from, at);
	return n->from.era == at.era && n->from.revision <= at.revision;
}

static void apply_change(struct mirror *m, const struct store_entry *e,
			 uint64_t hold_until_ms, GArray *out)
{
	if (e->deleted)
		remove_mirror_item(m, e->key, e->mod_revision, hold_until_ms,
				   out);
	else if (e->value)
		apply_value(m, e, out);
	else
		note_missing_value(m, e->key, e->mod_revision);
}

/* Applies a part of the differences from the content before a restore. */
static void handle_restored_update(struct mirror *m,
				   const struct mirror_update *n, GArray *out)
{
	if (n->from.era != n->to.era) {
		add_mirror_action(out, MIRROR_ERA_BEGAN)->position =
			m->position;
		g_clear_pointer(&m->missing_key, g_free);
	}
	for (size_t i = 0; i < n->entry_nr; i++) {
		const struct store_entry *e = &n->entries[i];

		if (e->value || e->deleted) {
			apply_restored_entries(m, e, 1, out);
			continue;
		}
		/* its value was left out and is read next */
		void_item_revision(m, e->key);
		note_missing_value(m, e->key, e->mod_revision);
	}
}

/*
 * Applies the values of N although changes before it are missing. The position
 * stays, so that the missing ones are still fetched; those of them that are
 * older than their item are then ignored. Removals wait: a missing older value
 * would bring their item back. A store reader does not do this, as the patches
 * that it sends start from the values of its own position.
 */
static void apply_ahead(struct mirror *m, const struct mirror_update *n,
			GArray *out)
{
	if (m->is_store_reader || !m->position.revision || n->restored ||
	    n->from.era != m->position.era)
		return;
	for (size_t i = 0; i < n->entry_nr; i++)
		if (n->entries[i].value && !n->entries[i].deleted)
			apply_value(m, &n->entries[i], out);
}

void handle_update(struct mirror *m, const struct mirror_update *n,
		   uint64_t now_ms, GArray *out)
{
	uint64_t hold_until_ms =
		n->removal_hold_ms ? now_ms + n->removal_hold_ms : 0;

	if (compare_store_positions(n->to, m->position) <= 0)
		return;
	if (m->state != MIRROR_STATE_PEER_UPDATES) {
		apply_ahead(m, n, out);
		return;
	}
	if (!continues_at(n, m->position)) {
		apply_ahead(m, n, out);
		note_peer_position(m, n->to, now_ms);
		return;
	}
	if (n->restored) {
		handle_restored_update(m, n, out);
	} else {
		for (size_t i = 0; i < n->entry_nr; i++)
			apply_change(m, &n->entries[i], hold_until_ms, out);
	}
	m->position = n->to;
	m->digest_mismatch_since_ms = 0;
	m->behind_since_ms = now_ms; /* peers answer: no need for the store */
}
