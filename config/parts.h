#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

/*
 * Splits a snapshot into parts for the store, one for each bucket of service
 * ids, and assembles a snapshot from parts. Decoded parts are cached, so that a
 * part that several pointers refer to is read and decoded once.
 */

#include "config/pointer.h"

/* Bucket of the service with ID, from 0 to BUCKET_NR - 1. */
uint32_t service_bucket(uint64_t id, uint32_t bucket_nr);

/* One bucket, encoded for the store. */
struct part {
	struct part_ref ref;
	struct wire_writer bytes; /* bytes.buf.data, bytes.buf.size */
};

/*
 * Encodes SN in BUCKET_NR buckets; empty ones are left out. Returns an array of
 * struct part, sorted by bucket; free it with free_parts().
 */
GArray *split_snapshot(const struct snapshot *sn, uint32_t bucket_nr);
void free_parts(GArray *parts);

/* A cache of decoded parts: of each bucket, the one that was added last. */
struct part_cache;

struct part_cache *create_part_cache(void);
void destroy_part_cache(struct part_cache *pc);

/* The parts of P that are not in PC; an array of struct part_ref. */
GArray *missing_parts(const struct part_cache *pc, const struct pointer *p);

/* Decodes and adds PART; false if DATA is malformed or has another digest. */
bool add_cached_part(struct part_cache *pc, const struct part_ref *part,
		     const void *data, size_t len);

/* The configuration of P; NULL if a part of it is missing. */
struct snapshot *assemble_snapshot(const struct part_cache *pc,
				   const struct pointer *p);

#endif
