#ifndef FLEET_CONFIG_SYNC_H
#define FLEET_CONFIG_SYNC_H

/*
 * Internals shared by config-sync.c (epochs and deltas) and config-parts.c
 * (snapshots transferred bucket by bucket).
 */

#include "fleet/internal.h"

#define CONFIG_BUCKETS 256 /* by the highest 8 bits of a service's id */
#define SOURCE_MAX 8	   /* peers with a later epoch */

struct stored_delta {
	uint64_t from_epoch;
	uint64_t to_epoch;
	size_t len;
	char *data; /* encoded */
};

struct source {
	struct sender peer;
	uint64_t epoch;
	uint64_t last_heard_ms;
};

/* A snapshot that is being received in parts. */
struct target {
	uint64_t epoch; /* 0: none */
	uint64_t digest;
	uint64_t last_progress_ms; /* time of the last bucket received */
	char publish_id[PUBLISH_ID_MAX];
	uint32_t target_digests[CONFIG_BUCKETS];   /* of the target's buckets */
	uint32_t received_digests[CONFIG_BUCKETS]; /* of those in services */
	GPtrArray *services[CONFIG_BUCKETS]; /* of struct service, by id */
	size_t next_bucket;		     /* bucket to request next */
};

struct config_sync {
	struct snapshot *current;
	uint32_t current_digest; /* low 32 bits of CURRENT's digest */
	GQueue history;		 /* of struct stored_delta, oldest first */
	size_t history_bytes;	 /* bytes */
	struct source sources[SOURCE_MAX];
	size_t source_nr;
	uint64_t requested_at_ms; /* time of the last requests */
	bool diverged; /* a delta did not apply to current: request parts */
	struct target target;
};

/* config-sync.c */
uint64_t current_epoch(const struct config_sync *cs);
/*
 * Requests the NR BUCKETS from SRC. With NR 0, requests the missing deltas, in
 * place of which SRC sends its bucket digests if it no longer keeps them all.
 */
void request_from_source(struct fleet *f, const struct source *src,
			 const uint8_t *buckets, size_t nr);

/* config-parts.c */
void drop_target(struct target *t);
/*
 * Requests the buckets that differ from the target's, from peers that have the
 * target's epoch or a later one.
 */
void request_missing_buckets(struct fleet *f);
void send_part(struct fleet *f, const uint8_t *buckets, size_t nr,
	       const struct endpoint *to);
/* Drops the target if no bucket arrived for some time. */
void expire_target(struct fleet *f);

#endif
