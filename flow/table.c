#include "flow/table.h"

#include <glib.h>

#define CAPACITY_MIN 1024      /* entries, a power of two */
#define EVICT_SCAN_ENTRIES 64  /* length of a short scan for eviction */
#define EVICT_SHORT_SCANS 4096 /* after a full scan without a good victim */

struct flow_table {
	size_t entry_limit;
	size_t entry_nr;
	size_t index_mask;	 /* capacity - 1 */
	size_t evict_index;	 /* where the next scan for eviction starts */
	size_t short_scans_left; /* until a full scan is allowed again */
	struct flow_entry *entries;
};

struct flow_table *create_flow_table(size_t limit)
{
	struct flow_table *t = g_new0(struct flow_table, 1);

	t->entry_limit = limit ? limit : 1;
	t->index_mask = CAPACITY_MIN - 1;
	t->entries = g_new0(struct flow_entry, CAPACITY_MIN);
	return t;
}

void destroy_flow_table(struct flow_table *t)
{
	if (!t)
		return;
	g_free(t->entries);
	g_free(t);
}

/* The index of the flow, or the unused index where it belongs. */
static size_t find_index(const struct flow_table *t, uint64_t hash,
			 uint64_t service)
{
	size_t i = hash & t->index_mask;

	while (t->entries[i].hash &&
	       (t->entries[i].hash != hash || t->entries[i].service != service))
		i = (i + 1) & t->index_mask;
	return i;
}

struct flow_entry *find_flow(const struct flow_table *t, uint64_t hash,
			     uint64_t service)
{
	struct flow_entry *e = &t->entries[find_index(t, hash, service)];

	return e->hash ? e : NULL;
}

static void grow(struct flow_table *t)
{
	struct flow_entry *old = t->entries;
	size_t nr = t->index_mask + 1;

	t->index_mask = nr * 2 - 1;
	t->entries = g_new0(struct flow_entry, nr * 2);
	for (size_t i = 0; i < nr; i++)
		if (old[i].hash)
			t->entries[find_index(t, old[i].hash, old[i].service)] =
				old[i];
	g_free(old);
}

void remove_flow(struct flow_table *t, struct flow_entry *e)
{
	size_t hole = (size_t)(e - t->entries);
	size_t i = hole;

	for (;;) {
		size_t first_index;

		i = (i + 1) & t->index_mask;
		if (!t->entries[i].hash)
			break;
		first_index = t->entries[i].hash & t->index_mask;
		if (((i - first_index) & t->index_mask) <
		    ((i - hole) & t->index_mask))
			continue;
		t->entries[hole] = t->entries[i];
		hole = i;
	}
	t->entries[hole].hash = 0;
	t->entry_nr--;
}

/* True if A is to be evicted rather than B. */
static bool evicts_before(const struct flow_entry *a,
			  const struct flow_entry *b)
{
	if (a->closing != b->closing)
		return a->closing;
	if (a->kind != b->kind)
		return a->kind < b->kind;
	return a->last_packet_s < b->last_packet_s;
}

static bool is_open_replica_record(const struct flow_entry *e)
{
	return e->kind == ENTRY_REPLICA && !e->closing;
}

/*
 * Chooses the entry to evict among the next EVICT_SCAN_ENTRIES. If these are
 * all records of open flows held as a replica, scans on, unless a recent full
 * scan found nothing else.
 */
static struct flow_entry *find_victim(struct flow_table *t)
{
	struct flow_entry *victim = NULL;
	size_t n;

	for (n = 0; n <= t->index_mask || !victim; n++) {
		struct flow_entry *e = &t->entries[t->evict_index];

		if (n >= EVICT_SCAN_ENTRIES && victim &&
		    (t->short_scans_left || !is_open_replica_record(victim)))
			break;
		t->evict_index = (t->evict_index + 1) & t->index_mask;
		if (e->hash && (!victim || evicts_before(e, victim)))
			victim = e;
	}
	if (t->short_scans_left)
		t->short_scans_left--;
	else if (n > t->index_mask && is_open_replica_record(victim))
		t->short_scans_left = EVICT_SHORT_SCANS;
	return victim;
}

static bool evict_entry(struct flow_table *t)
{
	struct flow_entry *victim = find_victim(t);
	bool lost = is_open_replica_record(victim);

	remove_flow(t, victim);
	return lost;
}

struct flow_entry *add_flow(struct flow_table *t, uint64_t hash,
			    uint64_t service, uint32_t now_s, bool *lost)
{
	struct flow_entry *e = find_flow(t, hash, service);

	*lost = false;
	if (e)
		return e;
	if (t->entry_nr >= t->entry_limit)
		*lost = evict_entry(t);
	if (t->entry_nr * 4 >= (t->index_mask + 1) * 3)
		grow(t);
	e = &t->entries[find_index(t, hash, service)];
	e->hash = hash;
	e->service = service;
	e->upstream = 0;
	e->last_packet_s = now_s;
	e->renewed_s = now_s;
	e->replicas_fingerprint = 0;
	e->kind = ENTRY_AT_BASE;
	e->closing = false;
	t->entry_nr++;
	return e;
}

size_t flow_table_count(const struct flow_table *t)
{
	return t->entry_nr;
}

size_t flow_table_capacity(const struct flow_table *t)
{
	return t->index_mask + 1;
}

size_t flow_table_bytes(const struct flow_table *t)
{
	return (t->index_mask + 1) * sizeof(*t->entries);
}

struct flow_entry *flow_table_at(const struct flow_table *t, size_t i)
{
	return t->entries[i].hash ? &t->entries[i] : NULL;
}
