#include "config/restored-records.h"

#include <string.h>

/* What this instance knows of a record, whatever a restored store has. */
struct known_record {
	enum record_class class;
	bool present;
	struct record_order order; /* of its last writing */
	bool written;		   /* since this instance started */
	bool held;		   /* the store has something else */
	/* when the store is believed; 0: not before the owner writes */
	uint64_t hold_end_ms;
	uint64_t removed_ms; /* when it was removed; 0: it is present */
};

struct restored_records {
	GHashTable *records; /* key -> struct known_record */
	struct record_hold_times times;
	uint32_t removed_nr; /* records that are not present */
	uint32_t held_nr;    /* records that are held */
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

/* END_MS as known_record.hold_end_ms. */
static void begin_hold(struct restored_records *rr, struct known_record *k,
		       uint64_t end_ms)
{
	rr->held_nr += !k->held;
	k->held = true;
	k->hold_end_ms = end_ms;
}

static void end_hold(struct restored_records *rr, struct known_record *k)
{
	rr->held_nr -= k->held;
	k->held = false;
	k->hold_end_ms = 0;
}

static void set_present(struct restored_records *rr, struct known_record *k,
			bool present, uint64_t now_ms)
{
	end_hold(rr, k);
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
static void hold_missing_record(struct restored_records *rr,
				struct known_record *k, uint64_t now_ms)
{
	begin_hold(rr, k,
		   now_ms + (k->class == RECORD_CLASS_DOMAIN_OUT
				     ? rr->times.operator_ms
				     : rr->times.upstream_ms));
}

/* Starts to hold back the restored store's writing of K. */
static void hold_writing_back(struct restored_records *rr,
			      struct known_record *k, uint64_t now_ms)
{
	begin_hold(rr, k, k->present ? 0 : now_ms + rr->times.lapse_ms);
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

/* Decides about K, of which a restored store has a writing or nothing. */
static enum record_verdict
admit_restored_record(struct restored_records *rr, struct known_record *k,
		      bool present, struct record_order order, uint64_t now_ms)
{
	if (!present) {
		if (!k->present)
			return RECORD_APPLY;
		hold_missing_record(rr, k, now_ms);
		return RECORD_HOLD;
	}
	if (admit_restored_writing(k, order) == RECORD_APPLY)
		return RECORD_APPLY;
	/* the known writing again is no reason to wait for another */
	if (k->present && is_same_order(order, k->order))
		end_hold(rr, k);
	else
		hold_writing_back(rr, k, now_ms);
	return RECORD_HOLD;
}

enum record_verdict admit_record(struct restored_records *rr, const char *key,
				 enum record_class cls, bool present,
				 struct record_order order,
				 enum mirror_source source, uint64_t now_ms)
{
	struct known_record *k = g_hash_table_lookup(rr->records, key);
	bool restored = source == MIRROR_RESTORED;

	if (cls == RECORD_CLASS_OTHER || (!k && !present))
		return RECORD_APPLY;
	prune_removals(rr, now_ms);
	k = g_hash_table_lookup(rr->records, key);
	if (restored && !k && cls == RECORD_CLASS_UPSTREAM) {
		/* one that was never seen is taken for one that left */
		k = get_or_create_record(rr, key, cls);
		set_present(rr, k, false, now_ms);
		k->order = order;
	}
	if (restored && k &&
	    admit_restored_record(rr, k, present, order, now_ms) == RECORD_HOLD)
		return RECORD_HOLD;
	k = get_or_create_record(rr, key, cls);
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

	if (!rr->held_nr)
		return;
	g_hash_table_iter_init(&it, rr->records);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct known_record *k = value;

		if (!k->hold_end_ms || now_ms < k->hold_end_ms)
			continue;
		end_hold(rr, k);
		g_ptr_array_add(keys, g_strdup(key));
	}
}

bool is_record_held(const struct restored_records *rr, const char *key)
{
	const struct known_record *k = g_hash_table_lookup(rr->records, key);

	return k && k->held;
}

size_t held_record_count(const struct restored_records *rr)
{
	return rr->held_nr;
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
				      enum record_class cls, uint64_t now_ms)
{
	struct known_record *k = g_hash_table_lookup(rr->records, h->key);

	if (k && (k->written || k->held))
		return RECORD_HOLD;
	switch (cls) {
	case RECORD_CLASS_DOMAIN_OUT:
		if (!h->present || (k && k->present))
			return RECORD_HOLD;
		k = get_or_create_record(rr, h->key, cls);
		set_present(rr, k, true, now_ms);
		begin_hold(rr, k, now_ms + h->left_ms);
		return RECORD_APPLY;
	case RECORD_CLASS_UPSTREAM:
		/* one that the store lacks is not known by its content here */
		if (h->present)
			return RECORD_HOLD;
		if (!k) {
			k = get_or_create_record(rr, h->key, cls);
			k->order.started_at_ms = UINT64_MAX; /* not known */
		}
		set_present(rr, k, false, now_ms);
		begin_hold(rr, k,
			   now_ms + (h->left_ms ? h->left_ms
						: rr->times.lapse_ms));
		return RECORD_APPLY;
	case RECORD_CLASS_OTHER:
		break;
	}
	return RECORD_HOLD;
}
