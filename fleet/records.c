#include "fleet/records.h"

#include <string.h>
#include <xxhash.h>

struct bucket {
	GPtrArray *records; /* of struct record, sorted by key */
	uint32_t digest;
};

struct records {
	unsigned int bits;
	size_t nr;
	uint32_t digest;
	struct bucket *buckets;
};

struct records *create_records(unsigned int bits)
{
	struct records *rs = g_new0(struct records, 1);

	rs->bits = bits;
	rs->buckets = g_new0(struct bucket, bucket_count(rs));
	for (size_t i = 0; i < bucket_count(rs); i++)
		rs->buckets[i].records = g_ptr_array_new_with_free_func(g_free);
	return rs;
}

void destroy_records(struct records *rs)
{
	if (!rs)
		return;
	for (size_t i = 0; i < bucket_count(rs); i++)
		g_ptr_array_free(rs->buckets[i].records, TRUE);
	g_free(rs->buckets);
	g_free(rs);
}

size_t record_count(const struct records *rs)
{
	return rs->nr;
}

size_t bucket_count(const struct records *rs)
{
	return (size_t)1 << rs->bits;
}

size_t bucket_of(const struct records *rs, uint64_t key)
{
	return rs->bits ? (size_t)(key >> (64 - rs->bits)) : 0;
}

/* Index of the first record of B whose key is not below KEY. */
static guint record_index(const struct bucket *b, uint64_t key)
{
	guint low = 0;
	guint high = b->records->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const struct record *r = g_ptr_array_index(b->records, mid);

		if (r->key < key)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static const struct record *record_at(const struct bucket *b, guint i,
				      uint64_t key)
{
	const struct record *r;

	if (i == b->records->len)
		return NULL;
	r = g_ptr_array_index(b->records, i);
	return r->key == key ? r : NULL;
}

const struct record *find_record(const struct records *rs, uint64_t key)
{
	const struct bucket *b = &rs->buckets[bucket_of(rs, key)];

	return record_at(b, record_index(b, key), key);
}

/* Adds R to the digests or removes it, which by XOR is one operation. */
static void xor_digest(struct records *rs, struct bucket *b,
		       const struct record *r)
{
	uint32_t h = (uint32_t)XXH64(&r->key, sizeof(r->key), r->version);

	if (r->hidden)
		return;
	b->digest ^= h;
	rs->digest ^= h;
}

static struct record *new_record(const struct record *head, const void *body)
{
	struct record *r = g_malloc(sizeof(*r) + head->len);

	memcpy(r, head, sizeof(*r));
	if (head->len)
		memcpy(r->body, body, head->len);
	return r;
}

const struct record *put_record(struct records *rs, const struct record *head,
				const void *body)
{
	struct bucket *b = &rs->buckets[bucket_of(rs, head->key)];
	guint i = record_index(b, head->key);
	const struct record *old = record_at(b, i, head->key);
	struct record *r;

	if (old && old->version >= head->version)
		return NULL;
	r = new_record(head, body);
	if (old) {
		xor_digest(rs, b, old);
		g_free(g_ptr_array_index(b->records, i));
		g_ptr_array_index(b->records, i) = r;
	} else {
		g_ptr_array_insert(b->records, (gint)i, r);
		rs->nr++;
	}
	xor_digest(rs, b, r);
	return r;
}

void remove_record(struct records *rs, uint64_t key)
{
	struct bucket *b = &rs->buckets[bucket_of(rs, key)];
	guint i = record_index(b, key);
	const struct record *r = record_at(b, i, key);

	if (!r)
		return;
	xor_digest(rs, b, r);
	g_ptr_array_remove_index(b->records, i);
	rs->nr--;
}

const GPtrArray *record_bucket(const struct records *rs, size_t i)
{
	return rs->buckets[i].records;
}

uint32_t bucket_digest(const struct records *rs, size_t i)
{
	return rs->buckets[i].digest;
}

uint32_t records_digest(const struct records *rs)
{
	return rs->digest;
}
