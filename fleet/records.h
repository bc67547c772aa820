#ifndef FLEET_RECORDS_H
#define FLEET_RECORDS_H

/*
 * A set of versioned records, replicated at all instances. Of two records with
 * the same key the higher version wins, so records may arrive in any order and
 * any number of times. Keys are divided into buckets by their highest bits. Two
 * instances with equal records (keys and versions) in a bucket compute equal
 * digests of it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct record {
	uint64_t key;
	uint64_t version;
	uint64_t stored_at_ms; /* local time; not sent */
	bool hidden; /* left out of digests, as if there were no record */
	uint32_t len;
	uint8_t body[];
};

struct records;

/* A set of 2^BITS buckets, at most 2^8. */
struct records *create_records(unsigned int bits);
void destroy_records(struct records *rs);

/*
 * Stores a record of HEAD and BODY if its version is higher than that of the
 * stored one. Returns the stored record, or NULL if it is not newer.
 */
const struct record *put_record(struct records *rs, const struct record *head,
				const void *body);
void remove_record(struct records *rs, uint64_t key);
const struct record *find_record(const struct records *rs, uint64_t key);

size_t record_count(const struct records *rs);
size_t bucket_count(const struct records *rs);
size_t bucket_of(const struct records *rs, uint64_t key);

/* The records (struct record *) of bucket I, sorted by key. */
const GPtrArray *record_bucket(const struct records *rs, size_t i);

uint32_t bucket_digest(const struct records *rs, size_t i);
uint32_t records_digest(const struct records *rs);

#endif
