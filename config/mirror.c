#include "config/mirror-state.h"

#include <string.h>
#include <xxhash.h>

#include "base/backoff.h"

#define BOUND_MS_DEFAULT 3000
#define WATCH_WAIT_MIN_MS 500
#define WATCH_WAIT_MAX_MS 10000
#define WATCH_PAUSE_MAX_MS 1000

/* A copy of the LEN bytes at VALUE, also of none; NULL stands for no value. */
static void *copy_value(const void *value, size_t len)
{
	char *copy = g_malloc(len + 1);

	if (len)
		memcpy(copy, value, len);
	copy[len] = '\0';
	return copy;
}

/* Keeps VALUE, which actions of this step may point to, until the next one. */
static void retire_value(struct mirror *m, void *value)
{
	g_ptr_array_add(m->step_memory, value);
}

static void free_mirror_item(gpointer data)
{
	struct mirror_item *it = data;

	g_free(it->value);
	g_free(it);
}

struct mirror *create_mirror(uint32_t seed)
{
	struct mirror *m = g_new0(struct mirror, 1);

	m->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_mirror_item);
	m->step_memory = g_ptr_array_new_with_free_func(g_free);
	m->bases = g_array_new(FALSE, TRUE, sizeof(struct mirror_entry));
	m->rand = g_rand_new_with_seed(seed);
	m->pace = choose_watch_pace(BOUND_MS_DEFAULT);
	m->needs_full_read = true;
	m->is_store_reader = true;
	return m;
}

struct watch_pace choose_watch_pace(uint32_t bound_ms)
{
	struct watch_pace pace = {
		.wait_ms =
			(uint32_t)CLAMP((uint64_t)bound_ms * 2 / 3,
					WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS),
		.pause_ms = MIN(bound_ms / 6, WATCH_PAUSE_MAX_MS)
	};

	return pace;
}

void set_mirror_watch_pace(struct mirror *m, struct watch_pace pace)
{
	m->pace = pace;
}

void destroy_mirror(struct mirror *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->items);
	g_ptr_array_free(m->step_memory, TRUE);
	g_array_free(m->bases, TRUE);
	g_rand_free(m->rand);
	g_free(m->missing_key);
	g_free(m);
}

struct mirror_action *add_mirror_action(GArray *out,
					enum mirror_action_kind kind)
{
	struct mirror_action a = { .kind = kind };

	g_array_append_val(out, a);
	return &g_array_index(out, struct mirror_action, out->len - 1);
}

static void start_read(struct mirror *m, GArray *out)
{
	m->state = MIRROR_STATE_READING;
	add_mirror_action(out, MIRROR_DO_READ)->may_be_stale =
		!m->position.revision;
}

static void start_watch(struct mirror *m, GArray *out)
{
	m->state = MIRROR_STATE_WATCHING;
	add_mirror_action(out, MIRROR_DO_WATCH)->revision =
		m->position.revision + 1;
}

/* Whether a peer has reached a later position. */
static bool is_behind_peers(const struct mirror *m)
{
	return compare_store_positions(m->peer_position, m->position) > 0;
}

/* Continues at the current revision: by a watch, or with peers' updates. */
static void enter_following_state(struct mirror *m, GArray *out)
{
	m->watching_to_catch_up = false;
	if (m->is_store_reader)
		start_watch(m, out);
	else
		m->state = MIRROR_STATE_PEER_UPDATES;
}

static void note_store_answer(struct mirror *m, uint64_t now_ms, GArray *out)
{
	m->last_answer_ms = now_ms;
	m->failures = 0;
	if (m->store_up_since_ms)
		return;
	m->store_up_since_ms = now_ms;
	add_mirror_action(out, MIRROR_STORE_REGAINED);
}

static void note_store_failure(struct mirror *m, uint64_t now_ms, GArray *out)
{
	if (m->store_up_since_ms || !m->store_lost_at_ms) {
		m->store_lost_at_ms = now_ms;
		add_mirror_action(out, MIRROR_STORE_LOST);
	}
	m->store_up_since_ms = 0;
	m->failures++;
	m->state = MIRROR_STATE_BACKOFF;
	m->retry_at_ms = now_ms + backoff_ms(m->failures, MIRROR_BACKOFF_MIN_MS,
					     MIRROR_BACKOFF_MAX_MS, m->rand);
}

uint64_t removal_hold_until_ms(const struct mirror *m, uint64_t now_ms)
{
	uint64_t until = m->store_up_since_ms + MIRROR_REMOVAL_HOLD_MS;

	return m->store_lost_at_ms && now_ms < until ? until : 0;
}

/* Hash of one item. Entries are added to and removed from the digest by XOR. */
static uint64_t item_digest(const char *key, uint64_t revision)
{
	return XXH3_64bits_withSeed(key, strlen(key), revision);
}

void update_mirror_item(struct mirror *m, const struct store_entry *e,
			GArray *out)
{
	struct mirror_item *it = g_hash_table_lookup(m->items, e->key);
	struct mirror_action *a;

	if (it && e->mod_revision <= it->revision) {
		it->in_last_read = true;
		return;
	}
	if (!it) {
		it = g_new0(struct mirror_item, 1);
		g_hash_table_insert(m->items, g_strdup(e->key), it);
	} else if (!it->removal_due_ms) {
		m->digest ^= item_digest(e->key, it->revision);
	}
	m->digest ^= item_digest(e->key, e->mod_revision);
	retire_value(m, it->value);
	it->value = copy_value(e->value, e->len);
	it->len = e->len;
	it->revision = e->mod_revision;
	it->removal_due_ms = 0;
	it->in_last_read = true;
	a = add_mirror_action(out, MIRROR_KEY_CHANGED);
	a->key = e->key;
	a->value = it->value;
	a->len = it->len;
	a->revision = it->revision;
}

/* Appends MIRROR_KEY_REMOVED and takes over KEY. The caller drops IT. */
static void report_removed(struct mirror *m, char *key,
			   const struct mirror_item *it, GArray *out)
{
	struct mirror_action *a = add_mirror_action(out, MIRROR_KEY_REMOVED);

	g_ptr_array_add(m->step_memory, key);
	a->key = key;
	a->revision = it->revision;
}

void remove_mirror_item(struct mirror *m, const char *key, uint64_t revision,
			uint64_t hold_until_ms, GArray *out)
{
	struct mirror_item *it = g_hash_table_lookup(m->items, key);
	gpointer owned;

	if (m->missing_key && !strcmp(m->missing_key, key) &&
	    revision >= m->missing_key_revision)
		g_clear_pointer(&m->missing_key, g_free);
	if (!it || revision < it->revision)
		return;
	if (!it->removal_due_ms)
		m->digest ^= item_digest(key, it->revision);
	it->revision = revision;
	if (it->removal_due_ms)
		return;
	it->removal_due_ms = hold_until_ms;
	if (it->removal_due_ms)
		return;
	report_removed(m, g_strdup(key), it, out);
	g_hash_table_steal_extended(m->items, key, &owned, NULL);
	g_free(owned);
	retire_value(m, it->value);
	it->value = NULL;
	free_mirror_item(it);
}

bool mirror_hears_changes(const struct mirror *m)
{
	return !m->is_store_reader || m->store_up_since_ms;
}

/* Applies the delayed removals that are due. */
static void apply_due_removals(struct mirror *m, uint64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (!mirror_hears_changes(m))
		return;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct mirror_item *it = value;

		if (!it->removal_due_ms || now_ms < it->removal_due_ms)
			continue;
		report_removed(m, g_strdup(key), it, out);
		g_hash_table_iter_remove(&iter);
	}
}

/* Removes the items that the last read did not contain. */
static void remove_items_not_read(struct mirror *m, uint64_t revision,
				  uint64_t now_ms, GArray *out)
{
	uint64_t hold_until_ms = removal_hold_until_ms(m, now_ms);
	GList *keys = g_hash_table_get_keys(m->items);

	for (GList *l = keys; l; l = l->next) {
		const struct mirror_item *it =
			g_hash_table_lookup(m->items, l->data);

		if (!it->in_last_read)
			remove_mirror_item(m, l->data, revision, hold_until_ms,
					   out);
	}
	g_list_free(keys);
}

/* Whether IT is just what E, of a restored store, says. */
static bool is_same_item(const struct mirror_item *it,
			 const struct store_entry *e)
{
	return it->revision == e->mod_revision && !it->removal_due_ms &&
	       it->len == e->len &&
	       (!e->len || !memcmp(it->value, e->value, e->len));
}

/* Replaces the item of E, whatever its revision, with E or nothing. */
static void replace_mirror_item(struct mirror *m, const struct store_entry *e,
				GArray *out)
{
	struct mirror_item *it = g_hash_table_lookup(m->items, e->key);

	if (it ? !e->deleted && is_same_item(it, e) : e->deleted)
		return;
	if (it) {
		if (!it->removal_due_ms)
			m->digest ^= item_digest(e->key, it->revision);
		if (e->deleted)
			report_removed(m, g_strdup(e->key), it, out);
		retire_value(m, it->value);
		it->value = NULL;
		g_hash_table_remove(m->items, e->key);
	}
	if (!e->deleted)
		update_mirror_item(m, e, out);
	g_array_index(out, struct mirror_action, out->len - 1).source =
		MIRROR_RESTORED;
}

void void_item_revision(struct mirror *m, const char *key)
{
	struct mirror_item *it = g_hash_table_lookup(m->items, key);

	if (!it)
		return;
	if (!it->removal_due_ms)
		m->digest ^=
			item_digest(key, it->revision) ^ item_digest(key, 0);
	it->revision = 0;
}

void apply_restored_entries(struct mirror *m, const struct store_entry *entries,
			    size_t nr, GArray *out)
{
	for (size_t i = 0; i < nr; i++)
		replace_mirror_item(m, &entries[i], out);
}

/*
 * Lists the differences between the items and the whole content A of a restored
 * store. The entries belong to A and to the items.
 */
static GArray *list_differences(struct mirror *m, const struct store_answer *a)
{
	GArray *differences =
		g_array_new(FALSE, TRUE, sizeof(struct store_entry));
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct mirror_item *)value)->in_last_read = false;
	for (size_t i = 0; i < a->entry_nr; i++) {
		struct mirror_item *it =
			g_hash_table_lookup(m->items, a->entries[i].key);

		if (it)
			it->in_last_read = true;
		if (it && is_same_item(it, &a->entries[i]))
			continue;
		g_array_append_val(differences, a->entries[i]);
	}
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct store_entry removed = { .mod_revision = a->revision,
					       .deleted = true };

		if (((struct mirror_item *)value)->in_last_read)
			continue;
		removed.key = g_strdup(key);
		g_ptr_array_add(m->step_memory, removed.key);
		g_array_append_val(differences, removed);
	}
	return differences;
}

/* Applies A, the whole content of a store that was restored since. */
static void handle_restored_read(struct mirror *m, const struct store_answer *a,
				 GArray *out)
{
	struct store_position to = { a->era, a->revision };
	GArray *differences = list_differences(m, a);
	size_t nr = differences->len;
	const struct store_entry *entries =
		(const struct store_entry *)(void *)differences->data;
	struct mirror_update *n;

	add_mirror_action(out, MIRROR_ERA_BEGAN)->position = m->position;
	g_clear_pointer(&m->missing_key, g_free);
	record_bases(m, entries, nr);
	n = &add_mirror_action(out, m->is_store_reader ? MIRROR_DO_SEND_UPDATE
						       : MIRROR_DO_KEEP_UPDATE)
		     ->update;
	n->from = m->position;
	n->to = to;
	n->restored = true;
	n->entries = entries;
	n->entry_nr = nr;
	n->bases = (const struct mirror_entry *)(void *)m->bases->data;
	g_ptr_array_add(m->step_memory, g_array_free(differences, FALSE));
	apply_restored_entries(m, entries, nr, out);
	m->position = to;
}

/* True if A is of an era that has ended; such answers are ignored. */
static bool is_old_answer(const struct mirror *m, const struct store_answer *a,
			  GArray *out)
{
	struct store_position at = { a->era, a->revision };

	if (a->status.kind != STATUS_OK || a->era >= m->position.era)
		return false;
	add_mirror_action(out, MIRROR_OLD_ANSWER)->position = at;
	return true;
}

static void handle_read(struct mirror *m, const struct store_answer *a,
			uint64_t now_ms, GArray *out)
{
	bool first = !m->position.revision;
	GHashTableIter iter;
	gpointer value;

	if (a->status.kind != STATUS_OK || is_old_answer(m, a, out)) {
		note_store_failure(m, now_ms, out);
		return;
	}
	note_store_answer(m, now_ms, out);
	m->needs_full_read = false;
	if (m->position.revision && a->era > m->position.era) {
		handle_restored_read(m, a, out);
		enter_following_state(m, out);
		return;
	}
	m->position.era = a->era;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct mirror_item *)value)->in_last_read = false;
	for (size_t i = 0; i < a->entry_nr; i++)
		update_mirror_item(m, &a->entries[i], out);
	if (first)
		for (guint i = 0; i < out->len; i++)
			g_array_index(out, struct mirror_action, i).source =
				MIRROR_FIRST_READ;
	if (a->revision >= m->position.revision)
		remove_items_not_read(m, a->revision, now_ms, out);
	if (a->revision >= m->missing_key_revision)
		g_clear_pointer(&m->missing_key, g_free);
	m->position.revision = MAX(m->position.revision, a->revision);
	add_mirror_action(out, MIRROR_DO_DROP_UPDATES);
	if (first && !m->is_store_reader) {
		start_watch(m, out);
		m->watching_to_catch_up = true;
		return;
	}
	enter_following_state(m, out);
}

void note_peer_position(struct mirror *m, struct store_position position,
			uint64_t now_ms)
{
	if (compare_store_positions(position, m->position) <= 0 ||
	    compare_store_positions(position, m->peer_position) <= 0)
		return;
	if (!is_behind_peers(m))
		m->behind_since_ms = now_ms;
	m->peer_position = position;
}

/* Compares DIGEST of a store reader at the same revision with that of M. */
static void compare_digest(struct mirror *m, uint64_t digest, uint64_t now_ms)
{
	if (digest == m->digest) {
		m->digest_mismatch_since_ms = 0;
		return;
	}
	if (!m->digest_mismatch_since_ms)
		m->digest_mismatch_since_ms = now_ms;
	if (now_ms - m->digest_mismatch_since_ms < MIRROR_DIGEST_MISMATCH_MS ||
	    now_ms - m->last_repair_ms < MIRROR_REPAIR_INTERVAL_MS)
		return;
	m->last_repair_ms = now_ms;
	m->digest_mismatch_since_ms = 0;
	m->needs_full_read = true;
}

static void handle_peer_state(struct mirror *m,
			      const struct mirror_peer_state *h,
			      uint64_t now_ms)
{
	note_peer_position(m, h->position, now_ms);
	if (h->watching && m->state == MIRROR_STATE_PEER_UPDATES &&
	    !compare_store_positions(h->position, m->position))
		compare_digest(m, h->digest, now_ms);
}

static void handle_watch_answer(struct mirror *m, const struct store_answer *a,
				uint64_t now_ms, GArray *out)
{
	if (m->state != MIRROR_STATE_WATCHING)
		return;
	if (a->status.kind == STATUS_NOT_FOUND) {
		m->needs_full_read = true;
		start_read(m, out);
		return;
	}
	if (a->status.kind != STATUS_OK) {
		/* the same watch again would bring the same events */
		m->needs_full_read |= a->status.kind == STATUS_CORRUPT;
		note_store_failure(m, now_ms, out);
		return;
	}
	if (is_old_answer(m, a, out)) {
		add_mirror_action(out, MIRROR_DO_STOP_WATCH);
		note_store_failure(m, now_ms, out);
		return;
	}
	note_store_answer(m, now_ms, out);
	if (a->era > m->position.era) {
		/* its revisions do not continue those of this copy */
		add_mirror_action(out, MIRROR_DO_STOP_WATCH);
		start_read(m, out);
		return;
	}
	forward_changes(m, a, now_ms, out);
	for (size_t i = 0; i < a->entry_nr; i++) {
		const struct store_entry *e = &a->entries[i];

		if (e->deleted)
			remove_mirror_item(m, e->key, e->mod_revision,
					   removal_hold_until_ms(m, now_ms),
					   out);
		else
			update_mirror_item(m, e, out);
	}
	m->position.revision = MAX(m->position.revision, a->revision);
	if (m->watching_to_catch_up && !is_behind_peers(m)) {
		add_mirror_action(out, MIRROR_DO_STOP_WATCH);
		enter_following_state(m, out);
	}
}

static void set_store_reader(struct mirror *m, bool reader, GArray *out)
{
	if (m->is_store_reader == reader)
		return;
	m->is_store_reader = reader;
	if (m->state == MIRROR_STATE_WATCHING && !reader) {
		add_mirror_action(out, MIRROR_DO_STOP_WATCH);
		enter_following_state(m, out);
	} else if (m->state == MIRROR_STATE_PEER_UPDATES && reader) {
		enter_following_state(m, out);
	}
}

static void resume_after_backoff(struct mirror *m, GArray *out)
{
	if (m->needs_full_read)
		start_read(m, out);
	else
		enter_following_state(m, out);
}

/*
 * Whether the watch has brought nothing since it was restarted because of its
 * lag. It may have to tell of more changes than the link carries in that time,
 * while a read brings only the present values.
 */
static bool was_restarted_in_vain(const struct mirror *m)
{
	return m->last_rewatch_ms && m->last_answer_ms < m->last_rewatch_ms;
}

static void restart_watch(struct mirror *m, uint64_t now_ms, GArray *out)
{
	bool in_vain = was_restarted_in_vain(m) && is_behind_peers(m);

	m->last_rewatch_ms = now_ms;
	add_mirror_action(out, MIRROR_DO_STOP_WATCH);
	/* a watch does not lead from one era to the next */
	if (in_vain || m->peer_position.era > m->position.era)
		start_read(m, out);
	else
		start_watch(m, out);
}

/* Fetches missed changes: from peers first, then from the store. */
static void catch_up(struct mirror *m, uint64_t now_ms, GArray *out)
{
	if (m->needs_full_read) {
		start_read(m, out);
		return;
	}
	if (!is_behind_peers(m) ||
	    now_ms - m->behind_since_ms < MIRROR_PEER_QUERY_MS)
		return;
	if (now_ms - m->behind_since_ms >= MIRROR_STORE_FALLBACK_MS &&
	    m->peer_position.era > m->position.era) {
		start_read(m, out);
	} else if (now_ms - m->behind_since_ms >= MIRROR_STORE_FALLBACK_MS) {
		start_watch(m, out);
		m->last_rewatch_ms = now_ms;
		m->watching_to_catch_up = true;
	} else if (now_ms - m->last_query_ms >= MIRROR_PEER_QUERY_MS) {
		m->last_query_ms = now_ms;
		add_mirror_action(out, MIRROR_DO_QUERY_PEER)->position =
			m->position;
	}
}

static void read_missing_key(struct mirror *m, uint64_t now_ms, GArray *out)
{
	struct mirror_action *a;

	if (m->key_peer_until_ms && now_ms >= m->key_peer_until_ms)
		m->reading_key = false;
	if (m->reading_key || now_ms < m->key_read_allowed_ms)
		return;
	m->reading_key = true;
	m->key_tries++;
	a = add_mirror_action(out, MIRROR_DO_READ_KEY);
	a->key = m->missing_key;
	a->revision = m->missing_key_revision;
	a->position.era = m->position.era;
	a->position.revision = m->missing_key_revision;
	a->from_peer = m->key_tries <= MIRROR_KEY_PEER_TRIES;
	m->key_peer_until_ms = a->from_peer ? now_ms + MIRROR_PEER_QUERY_MS : 0;
}

static void tick(struct mirror *m, uint64_t now_ms, GArray *out)
{
	apply_due_removals(m, now_ms, out);
	if (m->missing_key)
		read_missing_key(m, now_ms, out);
	if (m->state == MIRROR_STATE_PEER_UPDATES)
		catch_up(m, now_ms, out);
	else if (m->state == MIRROR_STATE_INITIAL)
		start_read(m, out);
	else if (m->state == MIRROR_STATE_BACKOFF && now_ms >= m->retry_at_ms)
		resume_after_backoff(m, out);
	else if (m->state == MIRROR_STATE_WATCHING && is_behind_peers(m) &&
		 now_ms - m->behind_since_ms >= MIRROR_WATCH_LAG_MS &&
		 now_ms - m->last_rewatch_ms >= MIRROR_REWATCH_INTERVAL_MS)
		restart_watch(m, now_ms, out);
}

void step_mirror(struct mirror *m, const struct mirror_event *ev,
		 uint64_t now_ms, GArray *out)
{
	g_array_set_size(out, 0);
	g_ptr_array_set_size(m->step_memory, 0);
	switch (ev->kind) {
	case MIRROR_TICK:
		tick(m, now_ms, out);
		break;
	case MIRROR_READ_DONE:
		handle_read(m, ev->answer, now_ms, out);
		break;
	case MIRROR_WATCH_ANSWER:
		handle_watch_answer(m, ev->answer, now_ms, out);
		break;
	case MIRROR_KEY_READ_DONE:
		handle_key_read(m, ev->answer, now_ms, out);
		break;
	case MIRROR_PEER_STATE:
		handle_peer_state(m, ev->peer, now_ms);
		break;
	case MIRROR_PEER_UPDATE:
		handle_update(m, ev->update, now_ms, out);
		break;
	case MIRROR_NO_UPDATES:
		m->needs_full_read = m->needs_full_read ||
				     m->state == MIRROR_STATE_PEER_UPDATES;
		break;
	case MIRROR_ROLE_CHANGED:
		set_store_reader(m, ev->is_store_reader, out);
		break;
	case MIRROR_PROCESS_RESUMED:
		if (m->state == MIRROR_STATE_WATCHING)
			restart_watch(m, now_ms, out);
		break;
	}
}

struct store_position mirror_position(const struct mirror *m)
{
	return m->position;
}

uint64_t mirror_revision(const struct mirror *m)
{
	return m->position.revision;
}

uint64_t mirror_digest(const struct mirror *m)
{
	return m->digest;
}

uint64_t mirror_store_up_since_ms(const struct mirror *m)
{
	return m->store_up_since_ms;
}

bool mirror_lacks_value(const struct mirror *m)
{
	return m->missing_key;
}

bool mirror_is_watching(const struct mirror *m, uint64_t now_ms)
{
	return m->state == MIRROR_STATE_WATCHING && m->store_up_since_ms &&
	       now_ms - m->last_answer_ms < mirror_watch_age_ms(m);
}

uint64_t mirror_watch_age_ms(const struct mirror *m)
{
	return (uint64_t)m->pace.wait_ms + MIRROR_WATCH_SLACK_MS;
}

uint64_t mirror_last_answer_ms(const struct mirror *m)
{
	return m->last_answer_ms;
}
