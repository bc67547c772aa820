#include "flow/table.h"

#include <glib.h>

#define CAPACITY_MIN 1024 /* entries, a power of two */
#define EVICT_SCAN 64	  /* places looked at to make room */
#define EVICT_REST 4096	  /* short looks after a whole one was in vain */

struct flow_table {
	size_t limit; /* entries */
	size_t count;
	size_t mask; /* capacity - 1 */
	size_t hand; /* where the next search for room starts */
	size_t rest; /* short looks left until a whole one is worth it */
	struct flow_entry *at;
};

struct flow_table *create_flow_table(size_t limit)
{
	struct flow_table *t = g_new0(struct flow_table, 1);

	t->limit = limit ? limit : 1;
	t->mask = CAPACITY_MIN - 1;
	t->at = g_new0(struct flow_entry, CAPACITY_MIN);
	return t;
}

void destroy_flow_table(struct flow_table *t)
{
	if (!t)
		return;
	g_free(t->at);
	g_free(t);
}

/* The place of the flow, or the free place where it would go. */
static size_t find_place(const struct flow_table *t, uint64_t hash,
			 uint64_t service)
{
	size_t i = hash & t->mask;

	while (t->at[i].hash &&
	       (t->at[i].hash != hash || t->at[i].service != service))
		i = (i + 1) & t->mask;
	return i;
}

struct flow_entry *find_flow(const struct flow_table *t, uint64_t hash,
			     uint64_t service)
{
	struct flow_entry *e = &t->at[find_place(t, hash, service)];

	return e->hash ? e : NULL;
}

static void grow(struct flow_table *t)
{
	struct flow_entry *old = t->at;
	size_t nr = t->mask + 1;

	t->mask = nr * 2 - 1;
	t->at = g_new0(struct flow_entry, nr * 2);
	for (size_t i = 0; i < nr; i++)
		if (old[i].hash)
			t->at[find_place(t, old[i].hash, old[i].service)] =
				old[i];
	g_free(old);
}

void remove_flow(struct flow_table *t, struct flow_entry *e)
{
	size_t hole = (size_t)(e - t->at);
	size_t i = hole;

	for (;;) {
		size_t home;

		i = (i + 1) & t->mask;
		if (!t->at[i].hash)
			break;
		home = t->at[i].hash & t->mask;
		if (((i - home) & t->mask) < ((i - hole) & t->mask))
			continue;
		t->at[hole] = t->at[i];
		hole = i;
	}
	t->at[hole].hash = 0;
	t->count--;
}

/* True if A should make room before B. */
static bool goes_before(const struct flow_entry *a, const struct flow_entry *b)
{
	if (a->closing != b->closing)
		return a->closing;
	if (a->kind != b->kind)
		return a->kind < b->kind;
	return a->seen_s < b->seen_s;
}

static bool is_live_copy(const struct flow_entry *e)
{
	return e->kind == ENTRY_KEPT && !e->closing;
}

/*
 * The best entry to drop of the next EVICT_SCAN places, or beyond them as long
 * as only live copies were found, unless a whole look was in vain lately.
 */
static struct flow_entry *find_victim(struct flow_table *t)
{
	struct flow_entry *victim = NULL;
	size_t n;

	for (n = 0; n <= t->mask || !victim; n++) {
		struct flow_entry *e = &t->at[t->hand];

		if (n >= EVICT_SCAN && victim &&
		    (t->rest || !is_live_copy(victim)))
			break;
		t->hand = (t->hand + 1) & t->mask;
		if (e->hash && (!victim || goes_before(e, victim)))
			victim = e;
	}
	if (t->rest)
		t->rest--;
	else if (n > t->mask && is_live_copy(victim))
		t->rest = EVICT_REST;
	return victim;
}

static bool make_room(struct flow_table *t)
{
	struct flow_entry *victim = find_victim(t);
	bool lost = is_live_copy(victim);

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
	if (t->count >= t->limit)
		*lost = make_room(t);
	if (t->count * 4 >= (t->mask + 1) * 3)
		grow(t);
	e = &t->at[find_place(t, hash, service)];
	e->hash = hash;
	e->service = service;
	e->upstream = 0;
	e->seen_s = now_s;
	e->renewed_s = now_s;
	e->keepers = 0;
	e->kind = ENTRY_BASE;
	e->closing = false;
	t->count++;
	return e;
}

size_t flow_table_count(const struct flow_table *t)
{
	return t->count;
}

size_t flow_table_capacity(const struct flow_table *t)
{
	return t->mask + 1;
}

size_t flow_table_bytes(const struct flow_table *t)
{
	return (t->mask + 1) * sizeof(*t->at);
}

struct flow_entry *flow_table_at(const struct flow_table *t, size_t i)
{
	return t->at[i].hash ? &t->at[i] : NULL;
}
