#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

/*
 * Services in buckets by id: encoded as parts for the store, and put together
 * again from parts. What stays the same between two pointers is decoded once.
 */

#include "config/pointer.h"

/* Bucket of the service with ID, of BUCKET_NR. */
uint32_t service_bucket(uint64_t id, uint32_t bucket_nr);

/* One bucket as it stands in the store. */
struct part {
	struct part_ref ref;
	struct wire_writer bytes; /* bytes.buf.data, bytes.buf.size */
};

/* Encodes SN in BUCKET_NR buckets; empty ones are left out. An array of
 * struct part, sorted by bucket, to be freed with free_parts(). */
GArray *split_snapshot(const struct snapshot *sn, uint32_t bucket_nr);
void free_parts(GArray *parts);

/* Holds decoded parts, the newest of each bucket. */
struct assembly;

struct assembly *create_assembly(void);
void destroy_assembly(struct assembly *as);

/* The parts that P names and AS does not hold: of struct part_ref. */
GArray *missing_parts(const struct assembly *as, const struct pointer *p);

/* Takes the bytes of PART; false if they are not what PART names. */
bool add_part(struct assembly *as, const struct part_ref *part,
	      const void *data, size_t len);

/* The configuration P names; NULL while parts of it are missing. */
struct snapshot *assemble(const struct assembly *as, const struct pointer *p);

#endif
