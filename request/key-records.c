#include "request/key-records.h"

#include <glib.h>

struct key_records {
	GHashTable *records; /* struct request_key -> struct key_record */
	GQueue order;	     /* struct expiry, the earliest first */
};

struct expiry {
	struct request_key key;
	uint64_t expires;
};

bool same_claim(const struct claim_id *a, const struct claim_id *b)
{
	return a->owner == b->owner && a->incarnation == b->incarnation &&
	       a->number == b->number;
}

unsigned int hash_key(const void *key)
{
	const struct request_key *k = key;

	return (unsigned int)(k->lo ^ k->lo >> 32);
}

int equal_keys(const void *a, const void *b)
{
	const struct request_key *x = a;
	const struct request_key *y = b;

	return x->hi == y->hi && x->lo == y->lo;
}

struct key_records *create_key_records(void)
{
	struct key_records *rs = g_new0(struct key_records, 1);

	rs->records = g_hash_table_new_full(hash_key, equal_keys, NULL, g_free);
	g_queue_init(&rs->order);
	return rs;
}

void destroy_key_records(struct key_records *rs)
{
	if (!rs)
		return;
	g_hash_table_destroy(rs->records);
	g_queue_clear_full(&rs->order, g_free);
	g_free(rs);
}

static void expire_records(struct key_records *rs, uint64_t now_ms)
{
	struct expiry *e;

	while ((e = g_queue_peek_head(&rs->order)) && e->expires <= now_ms) {
		const struct key_record *r =
			g_hash_table_lookup(rs->records, &e->key);

		if (r && r->expires <= now_ms)
			g_hash_table_remove(rs->records, &e->key);
		g_free(g_queue_pop_head(&rs->order));
	}
}

struct key_record *find_key_record(struct key_records *rs,
				   const struct request_key *key,
				   uint64_t now_ms)
{
	expire_records(rs, now_ms);
	return g_hash_table_lookup(rs->records, key);
}

struct key_record *add_key_record(struct key_records *rs,
				  const struct request_key *key,
				  const struct claim_id *claim, uint64_t digest,
				  uint64_t now_ms)
{
	struct key_record *r;
	struct expiry *e;

	expire_records(rs, now_ms);
	if (key_record_nr(rs) >= KEY_RECORDS_MAX ||
	    g_queue_get_length(&rs->order) >= 2 * KEY_RECORDS_MAX)
		return NULL;
	r = g_new0(struct key_record, 1);
	r->key = *key;
	r->claim = *claim;
	r->digest = digest;
	r->expires = now_ms + KEY_LIFE_MS;
	g_hash_table_insert(rs->records, &r->key, r);
	e = g_new0(struct expiry, 1);
	e->key = *key;
	e->expires = r->expires;
	g_queue_push_tail(&rs->order, e);
	return r;
}

void remove_key_record(struct key_records *rs, const struct request_key *key,
		       const struct claim_id *claim)
{
	const struct key_record *r = g_hash_table_lookup(rs->records, key);

	if (r && r->state == KEY_OPEN && same_claim(&r->claim, claim))
		g_hash_table_remove(rs->records, key);
}

size_t key_record_nr(const struct key_records *rs)
{
	return g_hash_table_size(rs->records);
}
