#include "config/restored-records.h"

#include <string.h>

struct known_record {
	enum record_class class;
	bool present; /* in force, or would be but for its own content */
	struct record_order order;
	bool held;	      /* the store has something else */
	bool written;	      /* by its owner, since this instance started */
	uint64_t hold_end_ms; /* of a record that the store lacks; 0: none */
	uint64_t removed_ms;  /* when it was removed; if not present */
};

struct restored_records {
	GHashTable *records; /* key -> struct known_record */
	struct record_hold_times times;
	uint32_t removed_nr; /* records that are not present */
	uint64_t pruned_ms;
};

struct restored_records *create_restored_records(void)
{
	struct restored_records *rr = g_new0(struct restored_records, 1);

	rr->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return rr;
}

void destroy_restored_records(struct restored_records *rr)
{
	if (!rr)
		return;
	g_hash_table_destroy(rr->records);
	g_free(rr);
}

void set_record_hold_times(struct restored_records *rr,
			   const struct record_hold_times *times)
{
	rr->times = *times;
}

static bool is_newer(struct record_order a, struct record_order b)
{
	return a.started_at_ms != b.started_at_ms
		       ? a.started_at_ms > b.started_at_ms
		       : a.write_count > b.write_count;
}

static bool is_same_order(struct record_order a, struct record_order b)
{
	return a.started_at_ms == b.started_at_ms &&
	       a.write_count == b.write_count;
}

static struct known_record *get_or_create_record(struct restored_records *rr,
						 const char *key,
						 enum record_class class)
{
	struct known_record *k = g_hash_table_lookup(rr->records, key);

	if (!k) {
		k = g_new0(struct known_record, 1);
		k->class = class;
		g_hash_table_insert(rr->records, g_strdup(key), k);
	}
	return k;
}

/* Forgets removals that are so old that no copy can lack them. */
static void prune_removals(struct restored_records *rr, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (now_ms - rr->pruned_ms < RESTORED_REMOVAL_MEMORY_MS / 4 &&
	    rr->removed_nr < RESTORED_REMOVALS_MAX)
		return;
	rr->pruned_ms = now_ms;
	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known_record *k = value;

		if (k->present || k->held ||
		    now_ms - k->removed_ms < RESTORED_REMOVAL_MEMORY_MS)
			continue;
		rr->removed_nr--;
		g_hash_table_iter_remove(&it);
	}
}

static void end_hold(struct known_record *k)
{
	k->held = false;
	k->hold_end_ms = 0;
}

static void set_present(struct restored_records *rr, struct known_record *k,
			bool present, uint64_t now_ms)
{
	end_hold(k);
	if (!present) {
		rr->removed_nr += k->present || !k->removed_ms;
		k->removed_ms = now_ms;
	} else if (k->removed_ms) {
		rr->removed_nr--;
		k->removed_ms = 0;
	}
	k->present = present;
}

/* Decides about a record of which the restored store has a writing. */
static enum record_verdict admit_restored_writing(const struct known_record *k,
						  struct record_order order)
{
	if (k->class != RECORD_CLASS_UPSTREAM)
		return RECORD_APPLY;
	/* its last writings before it left may not have been seen here */
	if (!k->present)
		return order.started_at_ms > k->order.started_at_ms
			       ? RECORD_APPLY
			       : RECORD_HOLD;
	return is_newer(order, k->order) ? RECORD_APPLY : RECORD_HOLD;
}

/* Starts to hold K, which the restored store lacks. */
static void hold_missing_record(const struct restored_records *rr,
				struct known_record *k, uint64_t now_ms)
{
	k->held = true;
	k->hold_end_ms = now_ms + (k->class == RECORD_CLASS_DOMAIN_OUT
					   ? rr->times.operator_ms
					   : rr->times.upstream_ms);
}

/* Starts to hold back the restored store's writing of K. */
static void hold_writing_back(const struct restored_records *rr,
			      struct known_record *k, uint64_t now_ms)
{
	k->held = true;
	k->hold_end_ms = k->present ? 0 : now_ms + rr->times.lapse_ms;
}

void restart_record_holds(struct restored_records *rr, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct known_record *k = value;

		if (k->hold_end_ms && k->present)
			hold_missing_record(rr, k, now_ms);
		else if (k->hold_end_ms)
			hold_writing_back(rr, k, now_ms);
	}
}

enum record_verdict admit_record(struct restored_records *rr, const char *key,
				 enum record_class class, bool present,
				 struct record_order order,
				 enum mirror_source source, uint64_t now_ms)
{
	struct known_record *k = g_hash_table_lookup(rr->records, key);
	bool restored = source == MIRROR_RESTORED;

	if (class == RECORD_CLASS_OTHER)
		return RECORD_APPLY;
	prune_removals(rr, now_ms);
	if (restored && !k && present && class == RECORD_CLASS_UPSTREAM) {
		k = get_or_create_record(rr, key, class);
		set_present(rr, k, false, now_ms);
		k->order = order;
	}
	if (restored && k && present &&
	    admit_restored_writing(k, order) == RECORD_HOLD) {
		/* the known writing again is no reason to wait for another */
		if (k->present && is_same_order(order, k->order))
			end_hold(k);
		else
			hold_writing_back(rr, k, now_ms);
		return RECORD_HOLD;
	}
	if (restored && k && !present && k->present) {
		hold_missing_record(rr, k, now_ms);
		return RECORD_HOLD;
	}
	if (!k && !present)
		return RECORD_APPLY;
	k = get_or_create_record(rr, key, class);
	k->written |= source == MIRROR_WRITTEN;
	if (present)
		k->order = order;
	set_present(rr, k, present, now_ms);
	return RECORD_APPLY;
}

void end_record_holds(struct restored_records *rr, uint64_t now_ms,
		      GPtrArray *keys)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct known_record *k = value;

		if (!k->hold_end_ms || now_ms < k->hold_end_ms)
			continue;
		end_hold(k);
		g_ptr_array_add(keys, g_strdup(key));
	}
}

size_t held_record_count(const struct restored_records *rr)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((const struct known_record *)value)->held;
	return n;
}

void list_held_records(const struct restored_records *rr, uint64_t now_ms,
		       GArray *held)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct known_record *k = value;
		struct held_record h = { .key = key, .present = k->present };

		if (!k->held)
			continue;
		if (k->hold_end_ms)
			h.left_ms =
				k->hold_end_ms - MIN(k->hold_end_ms, now_ms);
		/* an older writing of an upstream: the copy's is not used */
		if (k->class == RECORD_CLASS_UPSTREAM && !k->hold_end_ms)
			h.present = false;
		g_array_append_val(held, h);
	}
}

enum record_verdict adopt_held_record(struct restored_records *rr,
				      const struct held_record *h,
				      enum record_class class, uint64_t now_ms)
{
	struct known_record *k = g_hash_table_lookup(rr->records, h->key);

	if (k && (k->written || k->held))
		return RECORD_HOLD;
	switch (class) {
	case RECORD_CLASS_DOMAIN_OUT:
		if (!h->present || (k && k->present))
			return RECORD_HOLD;
		k = get_or_create_record(rr, h->key, class);
		set_present(rr, k, true, now_ms);
		k->held = true;
		k->hold_end_ms = now_ms + h->left_ms;
		return RECORD_APPLY;
	case RECORD_CLASS_UPSTREAM:
		/* one that the store lacks is not known by its content here */
		if (h->present)
			return RECORD_HOLD;
		if (!k) {
			k = get_or_create_record(rr, h->key, class);
			k->order.started_at_ms = UINT64_MAX; /* not known */
		}
		set_present(rr, k, false, now_ms);
		k->held = true;
		k->hold_end_ms =
			now_ms + (h->left_ms ? h->left_ms : rr->times.lapse_ms);
		return RECORD_APPLY;
	case RECORD_CLASS_OTHER:
		break;
	}
	return RECORD_HOLD;
}
