#include "config/mirror-state.h"

#include <string.h>
#include <xxhash.h>

#include "base/backoff.h"

static void free_item(gpointer data)
{
	struct item *it = data;

	g_free(it->value);
	g_free(it);
}

struct mirror *create_mirror(uint32_t seed)
{
	struct mirror *m = g_new0(struct mirror, 1);

	m->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_item);
	m->dead = g_ptr_array_new_with_free_func(g_free);
	m->bases = g_array_new(FALSE, TRUE, sizeof(struct mirror_base));
	m->rand = g_rand_new_with_seed(seed);
	m->read_next = true;
	m->reader = true;
	return m;
}

void destroy_mirror(struct mirror *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->items);
	g_ptr_array_free(m->dead, TRUE);
	g_array_free(m->bases, TRUE);
	g_rand_free(m->rand);
	g_free(m->wanted);
	g_free(m);
}

struct mirror_action *act_mirror(GArray *out, enum mirror_action_kind kind)
{
	struct mirror_action a = { .kind = kind };

	g_array_append_val(out, a);
	return &g_array_index(out, struct mirror_action, out->len - 1);
}

static void start_read(struct mirror *m, GArray *out)
{
	m->state = STATE_READING;
	act_mirror(out, MIRROR_DO_READ);
}

static void start_watch(struct mirror *m, GArray *out)
{
	m->state = STATE_WATCHING;
	act_mirror(out, MIRROR_DO_WATCH)->revision = m->revision + 1;
}

/* Whether a peer has seen more of the store. */
static bool is_behind(const struct mirror *m)
{
	return m->hint > m->revision;
}

/* Goes on from the revision: by watching, or by taking news. */
static void follow(struct mirror *m, GArray *out)
{
	m->helping_self = false;
	if (m->reader)
		start_watch(m, out);
	else
		m->state = STATE_TAKING;
}

static void note_contact(struct mirror *m, uint64_t now_ms, GArray *out)
{
	m->contact_ms = now_ms;
	m->failures = 0;
	if (m->well_since)
		return;
	m->well_since = now_ms;
	act_mirror(out, MIRROR_REGAINED);
}

static void note_failure(struct mirror *m, uint64_t now_ms, GArray *out)
{
	if (m->well_since || !m->lost_ms) {
		m->lost_ms = now_ms;
		act_mirror(out, MIRROR_LOST);
	}
	m->well_since = 0;
	m->failures++;
	m->state = STATE_WAITING;
	m->retry_ms = now_ms + backoff_ms(m->failures, MIRROR_BACKOFF_MS,
					  MIRROR_BACKOFF_MAX_MS, m->rand);
}

uint64_t hold_until(const struct mirror *m, uint64_t now_ms)
{
	uint64_t until = m->well_since + MIRROR_RETURN_MS;

	return m->lost_ms && now_ms < until ? until : 0;
}

/* What an entry adds to the digest; the same again takes it out. */
static uint64_t item_hash(const char *key, uint64_t revision)
{
	return XXH3_64bits_withSeed(key, strlen(key), revision);
}

void change_item(struct mirror *m, const struct store_entry *e, GArray *out)
{
	struct item *it = g_hash_table_lookup(m->items, e->key);
	struct mirror_action *a;

	if (it && e->mod_revision <= it->revision) {
		it->seen = true;
		return;
	}
	if (!it) {
		it = g_new0(struct item, 1);
		g_hash_table_insert(m->items, g_strdup(e->key), it);
	} else if (!it->gone_ms) {
		m->digest ^= item_hash(e->key, it->revision);
	}
	m->digest ^= item_hash(e->key, e->mod_revision);
	g_free(it->value);
	it->value = g_memdup2(e->value, e->len);
	it->len = e->len;
	it->revision = e->mod_revision;
	it->gone_ms = 0;
	it->seen = true;
	a = act_mirror(out, MIRROR_CHANGED);
	a->key = e->key;
	a->value = it->value;
	a->len = it->len;
	a->revision = it->revision;
}

/* The caller takes the item out of the table. */
static void tell_removed(struct mirror *m, char *key, const struct item *it,
			 GArray *out)
{
	struct mirror_action *a = act_mirror(out, MIRROR_REMOVED);

	g_ptr_array_add(m->dead, key);
	a->key = key;
	a->revision = it->revision;
}

void remove_item(struct mirror *m, const char *key, uint64_t revision,
		 uint64_t hold_ms, GArray *out)
{
	struct item *it = g_hash_table_lookup(m->items, key);
	gpointer owned;

	if (!it || revision < it->revision)
		return;
	if (!it->gone_ms)
		m->digest ^= item_hash(key, it->revision);
	it->revision = revision;
	if (it->gone_ms)
		return;
	it->gone_ms = hold_ms;
	if (it->gone_ms)
		return;
	tell_removed(m, g_strdup(key), it, out);
	g_hash_table_steal_extended(m->items, key, &owned, NULL);
	g_free(owned);
	free_item(it);
}

/* Drops the items whose removal was held back long enough. */
static void drop_held(struct mirror *m, uint64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (m->reader && !m->well_since)
		return;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct item *it = value;

		if (!it->gone_ms || now_ms < it->gone_ms)
			continue;
		tell_removed(m, g_strdup(key), it, out);
		g_hash_table_iter_remove(&iter);
	}
}

/* What the read did not bring is gone. */
static void remove_unseen(struct mirror *m, uint64_t revision, uint64_t now_ms,
			  GArray *out)
{
	uint64_t hold = hold_until(m, now_ms);
	GList *keys = g_hash_table_get_keys(m->items);

	for (GList *l = keys; l; l = l->next) {
		const struct item *it = g_hash_table_lookup(m->items, l->data);

		if (!it->seen)
			remove_item(m, l->data, revision, hold, out);
	}
	g_list_free(keys);
}

static void take_read(struct mirror *m, const struct store_answer *a,
		      uint64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	if (a->status.kind != STATUS_OK) {
		note_failure(m, now_ms, out);
		return;
	}
	note_contact(m, now_ms, out);
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct item *)value)->seen = false;
	for (size_t i = 0; i < a->entry_nr; i++)
		change_item(m, &a->entries[i], out);
	if (a->revision >= m->revision)
		remove_unseen(m, a->revision, now_ms, out);
	m->revision = MAX(m->revision, a->revision);
	m->read_next = false;
	act_mirror(out, MIRROR_TELL_NONE);
	follow(m, out);
}

void note_newer(struct mirror *m, uint64_t revision, uint64_t now_ms)
{
	if (revision <= m->revision || revision <= m->hint)
		return;
	if (m->hint <= m->revision)
		m->hint_ms = now_ms;
	m->hint = revision;
}

/* Compares with a reader that has seen the same of the store. */
static void compare_digest(struct mirror *m, uint64_t digest, uint64_t now_ms)
{
	if (digest == m->digest) {
		m->differs_ms = 0;
		return;
	}
	if (!m->differs_ms)
		m->differs_ms = now_ms;
	if (now_ms - m->differs_ms < MIRROR_DIFFER_MS ||
	    now_ms - m->repaired_ms < MIRROR_REPAIR_MS)
		return;
	m->repaired_ms = now_ms;
	m->differs_ms = 0;
	m->read_next = true;
}

static void take_hint(struct mirror *m, const struct mirror_hint *h,
		      uint64_t now_ms)
{
	note_newer(m, h->revision, now_ms);
	if (h->watching && m->state == STATE_TAKING &&
	    h->revision == m->revision)
		compare_digest(m, h->digest, now_ms);
}

static void take_watched(struct mirror *m, const struct store_answer *a,
			 uint64_t now_ms, GArray *out)
{
	if (m->state != STATE_WATCHING)
		return;
	if (a->status.kind == STATUS_NOT_FOUND) {
		m->read_next = true;
		start_read(m, out);
		return;
	}
	if (a->status.kind != STATUS_OK) {
		note_failure(m, now_ms, out);
		return;
	}
	note_contact(m, now_ms, out);
	tell_changes(m, a, now_ms, out);
	for (size_t i = 0; i < a->entry_nr; i++) {
		const struct store_entry *e = &a->entries[i];

		if (e->deleted)
			remove_item(m, e->key, e->mod_revision,
				    hold_until(m, now_ms), out);
		else
			change_item(m, e, out);
	}
	m->revision = MAX(m->revision, a->revision);
	if (m->helping_self && !is_behind(m)) {
		act_mirror(out, MIRROR_DO_STOP_WATCH);
		follow(m, out);
	}
}

static void set_reader(struct mirror *m, bool reader, GArray *out)
{
	if (m->reader == reader)
		return;
	m->reader = reader;
	if (m->state == STATE_WATCHING && !reader) {
		act_mirror(out, MIRROR_DO_STOP_WATCH);
		follow(m, out);
	} else if (m->state == STATE_TAKING && reader) {
		follow(m, out);
	}
}

static void resume(struct mirror *m, GArray *out)
{
	if (m->read_next)
		start_read(m, out);
	else
		follow(m, out);
}

static void restart_watch(struct mirror *m, uint64_t now_ms, GArray *out)
{
	m->rewatch_ms = now_ms;
	act_mirror(out, MIRROR_DO_STOP_WATCH);
	start_watch(m, out);
}

/* Asks for news that were missed: peers first, then the store. */
static void catch_up(struct mirror *m, uint64_t now_ms, GArray *out)
{
	if (m->read_next) {
		start_read(m, out);
		return;
	}
	if (!is_behind(m) || now_ms - m->hint_ms < MIRROR_ASK_MS)
		return;
	if (now_ms - m->hint_ms >= MIRROR_HELP_MS) {
		start_watch(m, out);
		m->helping_self = true;
	} else if (now_ms - m->asked_ms >= MIRROR_ASK_MS) {
		m->asked_ms = now_ms;
		act_mirror(out, MIRROR_DO_ASK)->revision = m->revision;
	}
}

static void tick(struct mirror *m, uint64_t now_ms, GArray *out)
{
	drop_held(m, now_ms, out);
	if (m->wanted && !m->reading_key && now_ms >= m->wanted_ms) {
		m->reading_key = true;
		act_mirror(out, MIRROR_DO_READ_KEY)->key = m->wanted;
	}
	if (m->state == STATE_TAKING)
		catch_up(m, now_ms, out);
	else if (m->state == STATE_START)
		start_read(m, out);
	else if (m->state == STATE_WAITING && now_ms >= m->retry_ms)
		resume(m, out);
	else if (m->state == STATE_WATCHING && m->hint > m->revision &&
		 now_ms - m->hint_ms >= MIRROR_HINT_MS &&
		 now_ms - m->rewatch_ms >= MIRROR_REWATCH_MS)
		restart_watch(m, now_ms, out);
}

void step_mirror(struct mirror *m, const struct mirror_event *ev,
		 uint64_t now_ms, GArray *out)
{
	g_array_set_size(out, 0);
	g_ptr_array_set_size(m->dead, 0);
	switch (ev->kind) {
	case MIRROR_TICK:
		tick(m, now_ms, out);
		break;
	case MIRROR_READ:
		take_read(m, ev->answer, now_ms, out);
		break;
	case MIRROR_WATCHED:
		take_watched(m, ev->answer, now_ms, out);
		break;
	case MIRROR_KEY_READ:
		take_key(m, ev->answer, now_ms, out);
		break;
	case MIRROR_HINT:
		take_hint(m, ev->hint, now_ms);
		break;
	case MIRROR_NEWS:
		take_news(m, ev->news, now_ms, out);
		break;
	case MIRROR_NO_NEWS:
		m->read_next = m->read_next || m->state == STATE_TAKING;
		break;
	case MIRROR_ROLE:
		set_reader(m, ev->reader, out);
		break;
	case MIRROR_WOKEN:
		if (m->state == STATE_WATCHING)
			restart_watch(m, now_ms, out);
		break;
	}
}

uint64_t mirror_revision(const struct mirror *m)
{
	return m->revision;
}

uint64_t mirror_digest(const struct mirror *m)
{
	return m->digest;
}

uint64_t mirror_well_since(const struct mirror *m)
{
	return m->well_since;
}

bool mirror_is_watching(const struct mirror *m, uint64_t now_ms)
{
	return m->state == STATE_WATCHING && m->well_since &&
	       now_ms - m->contact_ms < MIRROR_CONTACT_MS;
}

uint64_t mirror_contact_ms(const struct mirror *m)
{
	return m->contact_ms;
}
