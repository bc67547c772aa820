#include "request/key-records.h"

#include <glib.h>

struct key_records {
	GHashTable *records; /* struct request_key -> struct key_record */
	GQueue by_expiry;    /* struct expiry, the earliest first */
};

struct expiry {
	struct request_key key;
	uint64_t expires_ms;
};

bool same_claim(const struct claim_id *a, const struct claim_id *b)
{
	return a->owner_id == b->owner_id && a->incarnation == b->incarnation &&
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
	g_queue_init(&rs->by_expiry);
	return rs;
}

void destroy_key_records(struct key_records *rs)
{
	if (!rs)
		return;
	g_hash_table_destroy(rs->records);
	g_queue_clear_full(&rs->by_expiry, g_free);
	g_free(rs);
}

static void expire_records(struct key_records *rs, uint64_t now_ms)
{
	struct expiry *e;

	while ((e = g_queue_peek_head(&rs->by_expiry)) &&
	       e->expires_ms <= now_ms) {
		const struct key_record *r =
			g_hash_table_lookup(rs->records, &e->key);

		if (r && r->expires_ms <= now_ms)
			g_hash_table_remove(rs->records, &e->key);
		g_free(g_queue_pop_head(&rs->by_expiry));
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
	if (key_record_count(rs) >= KEY_RECORDS_MAX ||
	    g_queue_get_length(&rs->by_expiry) >= 2 * KEY_RECORDS_MAX)
		return NULL;
	r = g_new0(struct key_record, 1);
	r->key = *key;
	r->claim = *claim;
	r->request_digest = digest;
	r->expires_ms = now_ms + KEY_LIFETIME_MS;
	g_hash_table_insert(rs->records, &r->key, r);
	e = g_new0(struct expiry, 1);
	e->key = *key;
	e->expires_ms = r->expires_ms;
	g_queue_push_tail(&rs->by_expiry, e);
	return r;
}

void remove_key_record(struct key_records *rs, const struct request_key *key,
		       const struct claim_id *claim)
{
	const struct key_record *r = g_hash_table_lookup(rs->records, key);

	if (r && r->state == KEY_IN_PROGRESS && same_claim(&r->claim, claim))
		g_hash_table_remove(rs->records, key);
}

size_t key_record_count(const struct key_records *rs)
{
	return g_hash_table_size(rs->records);
}
