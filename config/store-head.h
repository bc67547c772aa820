#ifndef CONFIG_STORE_HEADS_H
#define CONFIG_STORE_HEADS_H

/*
 * Everything under KEY_HEAD_PREFIX, read by one call: the pointer to the
 * configuration, the domain records, and the highest configuration epoch that
 * an instance saw. The last is written by instances when the store came back
 * older than they are, and keeps the next publish above them.
 */

#include "config/pointer.h"

struct heads {
	struct pointer *pointer;   /* NULL before the first publish */
	uint64_t pointer_revision; /* 0 if there is none */
	uint64_t seen;		   /* epoch; 0 if never written */
	uint64_t seen_revision;
	struct domain_set domains;
	uint64_t domain_revision[DOMAINS_MAX]; /* in the order of DOMAINS */
	uint64_t revision;		       /* of the store */
};

/* The call that reads the heads. */
struct store_range heads_range(void);

/* Decodes A into H; release_heads() frees what H holds in any case. */
enum status_kind read_heads(struct heads *h, const struct store_answer *a,
			    struct status *st);
void release_heads(struct heads *h);

/* Index of the record of domain NAME in H, or -1. */
int domain_index(const struct heads *h, const char *name);

/* Writes the key of domain NAME into BUF and returns BUF. */
const char *domain_key(const char *name, char buf[AUDIT_KEY_MAX]);

/* Adds a put of the seen EPOCH to T. */
void add_seen(struct txn *t, uint64_t epoch);

/* Adds a put of REC to T. */
void add_domain(struct txn *t, const struct domain_record *rec);

#endif
