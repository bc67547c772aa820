#ifndef STAND_IN_KV_H
#define STAND_IN_KV_H

/*
 * In-memory state of the store stand-in: keys with revisions, leases and a
 * history of changes for watches. Requests and answers are JSON bodies of the
 * etcd v3 gateway. No I/O.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct kv;

struct kv *create_kv(void);
void destroy_kv(struct kv *kv);

/*
 * Each carries out one call of the gateway and returns the answer to BODY, a
 * new reference. kv_range returns NULL if BODY has no key. NOW_MS is the time
 * of any clock that does not go back.
 */
json_t *kv_range(struct kv *kv, const json_t *body);
json_t *kv_txn(struct kv *kv, const json_t *body);
json_t *kv_grant_lease(struct kv *kv, const json_t *body, uint64_t now_ms);
json_t *kv_keep_lease_alive(struct kv *kv, const json_t *body, uint64_t now_ms);

/* Ends expired leases and deletes their keys. */
void kv_expire(struct kv *kv, uint64_t now_ms);

/* Ends LEASE now and deletes its keys; 0 ends all leases. */
void kv_end_leases(struct kv *kv, uint64_t lease);

/*
 * The events of revision *REVISION and later in the range of CREATE, the
 * create_request of a watch. Advances *REVISION to the next revision. NULL if
 * there are none.
 */
json_t *kv_events(const struct kv *kv, const json_t *create,
		  uint64_t *revision);

uint64_t kv_revision(const struct kv *kv);

/* Saves all keys and the revision as JSON, and restores them. */
json_t *kv_to_json(const struct kv *kv);
void kv_from_json(struct kv *kv, const json_t *dump);

#endif
