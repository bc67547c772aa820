#ifndef STAND_IN_KV_H
#define STAND_IN_KV_H

/*
 * The state of the store stand-in: keys with revisions, leases and a history
 * for watches, in memory, changed by the JSON bodies of the published gateway
 * protocol. No I/O.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct kv;

struct kv *create_kv(void);
void destroy_kv(struct kv *kv);

/* Each answers BODY with a new JSON value, or NULL if BODY is malformed. */
json_t *kv_range(struct kv *kv, const json_t *body);
json_t *kv_txn(struct kv *kv, const json_t *body);
json_t *kv_grant(struct kv *kv, const json_t *body, uint64_t now_ms);
json_t *kv_keep(struct kv *kv, const json_t *body, uint64_t now_ms);

/* Ends leases whose time is over, with their keys. */
void kv_expire(struct kv *kv, uint64_t now_ms);

/* Ends LEASE now; 0 ends all. */
void kv_lapse(struct kv *kv, uint64_t lease);

/*
 * What a watch of CREATE (a create_request) has to deliver of the changes
 * from *REVISION on, which moves past them. NULL if there are none.
 */
json_t *kv_events(const struct kv *kv, const json_t *create,
		  uint64_t *revision);

uint64_t kv_revision(const struct kv *kv);

/* All keys and the revision as JSON, and back. */
json_t *kv_dump(const struct kv *kv);
void kv_load(struct kv *kv, const json_t *dump);

#endif
