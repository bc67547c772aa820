#ifndef STORE_STORE_H
#define STORE_STORE_H

/*
 * The platform's key-value service as the rest of the system sees it: ranges,
 * transactions that compare and swap, leases and watches. Calls return at
 * once; the answer comes to a callback on the loop. A protocol is one variant
 * of struct store.
 */

#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/status.h"
#include "config/settings.h"
#include "config/store-call.h"

struct store;

typedef void (*store_fn)(const struct store_answer *a, void *data);

/* A client of the etcd v3 JSON gateway at ENDPOINTS, on LOOP. */
struct store *create_etcd_store(uv_loop_t *loop,
				const struct endpoint_list *endpoints,
				struct counters *counters);

/* A client of the users' platform at ENDPOINTS; see platform/store.h. */
struct store *create_platform_store(uv_loop_t *loop,
				    const struct endpoint_list *endpoints,
				    struct counters *counters);

/* Drops all calls without calling back; memory goes when the loop has run. */
void destroy_store(struct store *s);

/* Later calls go to ENDPOINTS; those under way go on. */
void set_store_endpoints(struct store *s,
			 const struct endpoint_list *endpoints);

void range_store(struct store *s, const struct store_range *r, store_fn fn,
		 void *data);

void commit_store(struct store *s, const struct store_txn *txn, store_fn fn,
		  void *data);

/* A lease of TTL_S seconds; the answer holds its number. */
void grant_lease(struct store *s, uint32_t ttl_s, store_fn fn, void *data);

/* Renews LEASE. STATUS_NOT_FOUND if it has lapsed. */
void keep_lease(struct store *s, uint64_t lease, store_fn fn, void *data);

struct store_watch;

/*
 * Watches R from REVISION on. FN gets each change, and at last an answer that
 * is not STATUS_OK when the watch has ended by itself: STATUS_NOT_FOUND if the
 * store no longer has the changes since REVISION. A watch that stays
 * quiet may be broken: whoever relies on it reads again now and then.
 */
struct store_watch *watch_store(struct store *s, const struct store_range *r,
				uint64_t revision, store_fn fn, void *data);

/* Ends the watch; FN is not called again. */
void cancel_store_watch(struct store_watch *w);

#endif
