#ifndef STORE_ETCD_JSON_H
#define STORE_ETCD_JSON_H

/*
 * Messages of the etcd v3 JSON gateway, as its documentation specifies: bodies
 * of POST requests under /v3/kv, /v3/lease and /v3/watch, with keys and values
 * in base64 and 64-bit numbers as decimal strings.
 */

#include "store/store.h"

/* Each returns a request body that the caller frees with free(). */
char *write_range_json(const struct store_range *r);
char *write_txn_json(const struct store_txn *txn);
char *write_watch_json(const struct store_range *r, uint64_t revision);
char *write_grant_json(uint32_t ttl_s);
char *write_lease_json(uint64_t lease);

/*
 * Each decodes an answer into A and returns STATUS_CORRUPT if it is malformed.
 * The caller frees its memory with release_store_answer().
 */
enum status_kind read_kv_json(const char *text, size_t len,
			      struct store_answer *a);
enum status_kind read_watch_json(const char *text, size_t len,
				 struct store_answer *a);
enum status_kind read_lease_json(const char *text, size_t len,
				 struct store_answer *a);
void release_store_answer(struct store_answer *a);

#endif
