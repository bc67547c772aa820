#ifndef CONFIG_STORE_HEAD_H
#define CONFIG_STORE_HEAD_H

/*
 * The head records, all under KEY_HEAD_PREFIX and read by one call: the pointer
 * to the configuration, the domain records, and the highest configuration epoch
 * that an instance has seen. Instances write the last one when the store was
 * restored to an older state, so that the next publish gets a higher epoch.
 */

#include "config/pointer.h"

struct store_head {
	struct pointer *pointer;   /* NULL before the first publish */
	uint64_t pointer_revision; /* 0 if there is none */
	uint64_t seen_epoch;	   /* 0 if never written */
	uint64_t seen_epoch_revision;
	struct domain_set domains;
	uint64_t domain_revisions[DOMAINS_MAX]; /* in the order of DOMAINS */
	uint64_t revision;			/* store revision of the read */
};

/* The range of all head records. */
struct store_range store_head_range(void);

/*
 * Decodes the entries of A into H; STATUS_CORRUPT, with ST set, if one is
 * malformed. Call release_store_head() in either case.
 */
enum status_kind decode_store_head(struct store_head *h,
				   const struct store_answer *a,
				   struct status *st);
void release_store_head(struct store_head *h);

/* Index of the record of domain NAME in H, or -1. */
int find_domain_index(const struct store_head *h, const char *name);

/* Writes the key of domain NAME into BUF and returns BUF. */
const char *domain_key(const char *name, char buf[AUDIT_KEY_MAX]);

/* Adds a put of EPOCH under KEY_SEEN_EPOCH to T. */
void add_seen_epoch_put(struct txn *t, uint64_t epoch);

/* Adds a put of REC to T. */
void add_domain_put(struct txn *t, const struct domain_record *rec);

#endif
