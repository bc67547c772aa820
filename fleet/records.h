#ifndef FLEET_RECORDS_H
#define FLEET_RECORDS_H

/*
 * A set of versioned records, kept alike at all instances. Of two records
 * with one key the higher version wins, so the order of arrival does not
 * matter and a record may be sent any number of times. Keys fall into buckets
 * by their highest bits; the digest of a bucket is equal at two instances
 * that hold the same records in it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct record {
	uint64_t key;
	uint64_t version;
	uint64_t taken; /* ms when it was put here; not part of the record */
	bool hidden;	/* left out of digests: the same as no record */
	uint32_t len;
	uint8_t body[];
};

struct records;

/* A set of 2^BITS buckets, at most 2^8. */
struct records *create_records(unsigned int bits);
void destroy_records(struct records *rs);

/*
 * Puts a record if its version is higher than the one held. Returns the
 * record, or NULL if it was not taken.
 */
const struct record *put_record(struct records *rs, const struct record *head,
				const void *body);
void remove_record(struct records *rs, uint64_t key);
const struct record *find_record(const struct records *rs, uint64_t key);

size_t record_nr(const struct records *rs);
size_t bucket_nr(const struct records *rs);
size_t bucket_of(const struct records *rs, uint64_t key);

/* The records (struct record *) of bucket I, sorted by key. */
const GPtrArray *record_bucket(const struct records *rs, size_t i);

uint32_t bucket_digest(const struct records *rs, size_t i);
uint32_t records_digest(const struct records *rs);

#endif
