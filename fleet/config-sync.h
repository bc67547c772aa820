#ifndef FLEET_CONFIG_SYNC_H
#define FLEET_CONFIG_SYNC_H

/*
 * What config-sync.c (epochs and deltas) and config-parts.c (snapshots put
 * together from parts) share.
 */

#include "fleet/internal.h"

#define CONFIG_BUCKETS 256 /* by the highest 8 bits of a service's id */
#define SOURCE_MAX 8	   /* peers known to be ahead */

struct stored_delta {
	uint64_t from;
	uint64_t to;
	size_t len;
	char *data; /* encoded */
};

struct source {
	struct sender peer;
	uint64_t epoch;
	uint64_t heard; /* ms */
};

/* A snapshot that is being put together from parts. */
struct target {
	uint64_t epoch; /* 0: none */
	uint64_t digest;
	uint64_t progress; /* ms of the last bucket */
	char publish_id[PUBLISH_ID_MAX];
	uint32_t digests[CONFIG_BUCKETS];
	uint32_t have[CONFIG_BUCKETS];	 /* digests of what is in pile */
	GPtrArray *pile[CONFIG_BUCKETS]; /* of struct service, by id */
	size_t next;			 /* bucket to ask for next */
};

struct config_sync {
	struct snapshot *current;
	uint32_t digest;    /* of current, shortened */
	GQueue history;	    /* of struct stored_delta, oldest first */
	size_t history_len; /* bytes */
	struct source sources[SOURCE_MAX];
	size_t source_nr;
	uint64_t asked; /* ms of the last round of questions */
	bool diverged; /* a delta did not fit what is in force: ask for parts */
	struct target target;
};

/* config-sync.c */
uint64_t current_epoch(const struct config_sync *cs);
/* Asks SRC for the NR BUCKETS; none: for whatever leads to its epoch. */
void ask_source(struct fleet *f, const struct source *src,
		const uint8_t *buckets, size_t nr);

/* config-parts.c */
void drop_target(struct target *t);
/* Asks those who hold the target's epoch for buckets that differ. */
void ask_for_parts(struct fleet *f);
void send_part(struct fleet *f, const uint8_t *buckets, size_t nr,
	       const struct endpoint *to);
/* Gives up a target that nobody seems to hold any more. */
void check_target(struct fleet *f);

#endif
