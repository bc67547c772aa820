#ifndef CONFIG_POINTER_H
#define CONFIG_POINTER_H

/*
 * The record that refers to the configuration in force. The services are stored
 * in content-addressed parts, one for each bucket of service ids. The pointer
 * lists the parts and is replaced last, so that a publish is visible as a whole
 * or not at all. A part that the newest pointer no longer lists is retired: it
 * is kept for RETIRED_PART_EPOCHS more epochs, for readers that still use an
 * older pointer.
 */

#include <glib.h>

#include "config/audit.h"
#include "config/domains.h"
#include "config/snapshot.h"

#define BUCKET_NR_DEFAULT 512
#define BUCKET_NR_MAX 65536
#define RETIRED_PART_EPOCHS 16
#define PART_KEY_MAX 64 /* bytes, with the NUL */

struct part_ref {
	uint32_t bucket;
	uint64_t digest; /* of the part's bytes */
};

struct retired_part {
	struct part_ref part;
	uint64_t epoch; /* first epoch without it */
};

struct pointer {
	uint64_t epoch;
	char publish_id[PUBLISH_ID_MAX];
	char who[AUDIT_WHO_MAX];
	uint64_t when_ms; /* Unix time, of the publisher's machine */
	uint32_t bucket_nr;
	uint64_t service_nr;
	uint64_t upstream_nr;
	char domains[DOMAINS_MAX][CONFIG_NAME_MAX]; /* of all upstreams */
	size_t domain_nr;
	GArray *parts;	 /* of struct part_ref, sorted by bucket */
	GArray *retired; /* of struct retired_part, oldest first */
};

struct pointer *create_pointer(uint32_t bucket_nr);
struct pointer *copy_pointer(const struct pointer *p);
void destroy_pointer(struct pointer *p);

/* The part of BUCKET, or NULL. */
const struct part_ref *find_part(const struct pointer *p, uint32_t bucket);

bool pointer_has_domain(const struct pointer *p, const char *name);

/* Adds NAME unless it is listed; false if DOMAINS_MAX others are. */
bool add_pointer_domain(struct pointer *p, const char *name);

/* Writes the store key of PART into BUF and returns BUF. */
const char *part_key(const struct part_ref *part, char buf[PART_KEY_MAX]);

void encode_pointer(struct wire_writer *w, const struct pointer *p);

/* Decodes a pointer; NULL with ST set if DATA is malformed. */
struct pointer *decode_pointer(const void *data, size_t len, struct status *st);

#endif
