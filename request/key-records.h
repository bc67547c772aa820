#ifndef REQUEST_KEY_RECORDS_H
#define REQUEST_KEY_RECORDS_H

/*
 * What a keeper remembers of each key: who claimed it and how it ended. A
 * record lives KEY_LIFE_MS from its claim; the table is bounded and refuses
 * new keys when it is full rather than forget one early.
 */

#include <stdbool.h>
#include <stddef.h>

#include "request/key-keepers.h"

#define KEY_LIFE_MS (5 * 60 * 1000)
#define KEY_RECORDS_MAX 65536

/* One act of claiming a key; unique, also over restarts. */
struct claim_id {
	uint64_t owner;	      /* member id */
	uint64_t incarnation; /* of the owner, random at its start */
	uint64_t number;      /* counted by the owner */
};

bool same_claim(const struct claim_id *a, const struct claim_id *b);

enum key_state {
	KEY_OPEN,    /* claimed; it may run now */
	KEY_UNKNOWN, /* it may have run */
	KEY_DONE,    /* it ran and was answered */
	KEY_STATE_NR
};

struct key_record {
	struct request_key key;
	struct claim_id claim;
	uint64_t digest; /* of the request */
	enum key_state state;
	uint64_t expires; /* ms */
};

struct key_records;

struct key_records *create_key_records(void);
void destroy_key_records(struct key_records *rs);

/* The record of KEY at NOW_MS, or NULL. */
struct key_record *find_key_record(struct key_records *rs,
				   const struct request_key *key,
				   uint64_t now_ms);

/* Adds a record of a key that has none; NULL if the table is full. */
struct key_record *add_key_record(struct key_records *rs,
				  const struct request_key *key,
				  const struct claim_id *claim, uint64_t digest,
				  uint64_t now_ms);

/* Removes the record of KEY if CLAIM made it. */
void remove_key_record(struct key_records *rs, const struct request_key *key,
		       const struct claim_id *claim);

size_t key_record_nr(const struct key_records *rs);

/* GLib hash table functions of struct request_key. */
unsigned int hash_key(const void *key);
int equal_keys(const void *a, const void *b);

#endif
