#ifndef CONFIG_AUDIT_H
#define CONFIG_AUDIT_H

/*
 * The audit trail: one entry for each accepted change, written in the same
 * transaction as the change and never modified. Each record (the configuration
 * and each failure domain) has its own entries, keyed by the new epoch. The
 * transaction that adds an entry deletes those that are older by
 * AUDIT_CONFIG_ENTRIES_MAX or AUDIT_DOMAIN_ENTRIES_MAX epochs.
 */

#include "base/wire.h"
#include "config/service.h"
#include "config/snapshot.h"
#include "config/txn.h"

#define AUDIT_CONFIG_ENTRIES_MAX 65536 /* entries kept of the configuration */
#define AUDIT_DOMAIN_ENTRIES_MAX 1024  /* entries kept of each failure domain */
#define AUDIT_WHO_MAX 64	       /* bytes, with the NUL */
#define AUDIT_TEXT_MAX 400	       /* bytes, with the NUL */
#define AUDIT_KEY_MAX 128	       /* bytes, with the NUL */

enum audit_what {
	AUDIT_PUBLISH,
	AUDIT_DOMAIN_OUT,
	AUDIT_DOMAIN_BACK,
	AUDIT_WHAT_NR
};

struct audit_entry {
	char id[PUBLISH_ID_MAX]; /* unique for each change */
	uint64_t when_ms;	 /* Unix time, of the operator's machine */
	char who[AUDIT_WHO_MAX];
	enum audit_what what;
	char subject[AUDIT_TEXT_MAX]; /* names of services, or a domain */
	char why[AUDIT_TEXT_MAX];
	uint64_t old_epoch; /* of the record that changed */
	uint64_t new_epoch;
};

/* "publish", "domain-out" or "domain-back". */
const char *audit_what_name(enum audit_what w);

/*
 * Writes the key of the entry for EPOCH of DOMAIN (NULL: of the configuration)
 * into BUF and returns BUF.
 */
const char *audit_key(const char *domain, uint64_t epoch,
		      char buf[AUDIT_KEY_MAX]);

/*
 * Adds E to T: a put of a key that must not exist yet, and a delete of entries
 * that are too old. DOMAIN is NULL for the configuration.
 */
void add_audit(struct txn *t, const char *domain, const struct audit_entry *e);

/* Decodes one entry; false if DATA is malformed. */
bool decode_audit(const void *data, size_t len, struct audit_entry *e);

#endif
