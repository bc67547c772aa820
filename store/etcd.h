#ifndef STORE_ETCD_H
#define STORE_ETCD_H

/* The etcd v3 JSON gateway as one variant of struct store; see store.h. */

#include "store/store.h"

struct etcd_store;
struct etcd_watch;

struct etcd_store *create_etcd(uv_loop_t *loop,
			       const struct endpoint_list *endpoints,
			       struct counters *counters);
void destroy_etcd_store(struct etcd_store *s);
void set_etcd_endpoints(struct etcd_store *s,
			const struct endpoint_list *endpoints);
void range_etcd(struct etcd_store *s, const struct store_range *r, store_fn fn,
		void *data);
void commit_etcd(struct etcd_store *s, const struct store_txn *txn, store_fn fn,
		 void *data);
void grant_etcd(struct etcd_store *s, uint32_t ttl_s, store_fn fn, void *data);
void keep_etcd(struct etcd_store *s, uint64_t lease, store_fn fn, void *data);
struct etcd_watch *watch_etcd(struct etcd_store *s, const struct store_range *r,
			      uint64_t revision, store_fn fn, void *data);
void cancel_etcd_watch(struct etcd_watch *w);

#endif
