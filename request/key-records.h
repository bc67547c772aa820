#ifndef REQUEST_KEY_RECORDS_H
#define REQUEST_KEY_RECORDS_H

/*
 * A replica's records of keys: which claim holds each key and its state. A
 * record expires KEY_LIFETIME_MS after its claim. The table is bounded; when it
 * is full it refuses new keys, since evicting a record early could let a
 * request run twice.
 */

#include <stdbool.h>
#include <stddef.h>

#include "request/key-replicas.h"

#define KEY_LIFETIME_MS (5 * 60 * 1000)
#define KEY_RECORDS_MAX 65536

/* Identifies one attempt to claim a key; unique, also across restarts. */
struct claim_id {
	uint64_t owner_id;    /* member id */
	uint64_t incarnation; /* of the owner, random at its start */
	uint64_t number;      /* counted by the owner */
};

bool same_claim(const struct claim_id *a, const struct claim_id *b);

enum key_state {
	KEY_IN_PROGRESS, /* claimed; the request may be running */
	KEY_UNKNOWN,	 /* the request may have run */
	KEY_DONE,	 /* the request ran and was answered */
	KEY_STATE_NR
};

struct key_record {
	struct request_key key;
	struct claim_id claim;
	uint64_t request_digest;
	enum key_state state;
	uint64_t expires_ms;
};

struct key_records;

struct key_records *create_key_records(void);
void destroy_key_records(struct key_records *rs);

/* The record of KEY that has not expired at NOW_MS, or NULL. */
struct key_record *find_key_record(struct key_records *rs,
				   const struct request_key *key,
				   uint64_t now_ms);

/* Adds a record of KEY, which must have none; NULL if the table is full. */
struct key_record *add_key_record(struct key_records *rs,
				  const struct request_key *key,
				  const struct claim_id *claim, uint64_t digest,
				  uint64_t now_ms);

/* Removes the record of KEY if CLAIM made it and is in progress. */
void remove_key_record(struct key_records *rs, const struct request_key *key,
		       const struct claim_id *claim);

size_t key_record_count(const struct key_records *rs);

/* GLib hash table functions of struct request_key. */
unsigned int hash_key(const void *key);
int equal_keys(const void *a, const void *b);

#endif
