#ifndef STORE_STORE_H
#define STORE_STORE_H

/*
 * A client of a key-value store: ranges, compare-and-swap transactions, leases
 * and watches, over one of several protocols. Calls return at once; the answer
 * is passed to a callback on the loop. For errors see struct store_answer.
 */

#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/status.h"
#include "config/settings.h"
#include "config/store-call.h"

struct store;

typedef void (*store_answer_fn)(const struct store_answer *a, void *data);

/* A client of the etcd v3 JSON gateway at ENDPOINTS, on LOOP. */
struct store *create_etcd_store(uv_loop_t *loop,
				const struct endpoint_list *endpoints,
				struct counters *counters);

/* A client of the platform's store; see platform/store-client.h. */
struct store *create_platform_store(uv_loop_t *loop,
				    const struct endpoint_list *endpoints,
				    struct counters *counters);

/* Cancels all calls; no callback follows. Memory is freed by the loop. */
void destroy_store(struct store *s);

/* Later calls go to ENDPOINTS; running ones continue. */
void set_store_endpoints(struct store *s,
			 const struct endpoint_list *endpoints);

void query_store_range(struct store *s, const struct store_range *r,
		       store_answer_fn fn, void *data);

void commit_store_txn(struct store *s, const struct store_txn *txn,
		      store_answer_fn fn, void *data);

/* Requests a lease of TTL_S seconds; the answer holds its id. */
void grant_lease(struct store *s, uint32_t ttl_s, store_answer_fn fn,
		 void *data);

/* Renews LEASE. The answer is STATUS_NOT_FOUND if it has expired. */
void renew_lease(struct store *s, uint64_t lease, store_answer_fn fn,
		 void *data);

struct store_watch;

/*
 * Watches R from REVISION on. FN gets each change. If the watch ends other than
 * by cancel_store_watch(), FN gets a last answer that is not STATUS_OK:
 * STATUS_NOT_FOUND if the store no longer has the changes since REVISION. A
 * watch without changes may also be broken, so callers must read the range
 * again from time to time.
 */
struct store_watch *watch_store(struct store *s, const struct store_range *r,
				uint64_t revision, store_answer_fn fn,
				void *data);

/* Ends the watch; FN is not called again. */
void cancel_store_watch(struct store_watch *w);

#endif
