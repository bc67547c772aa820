#ifndef STORE_ETCD_CLIENT_H
#define STORE_ETCD_CLIENT_H

/*
 * A client of the etcd v3 JSON gateway, one of the protocols behind
 * store/store.h, which documents the calls.
 */

#include "store/store.h"

struct etcd_client;
struct etcd_watch;

struct etcd_client *create_etcd_client(uv_loop_t *loop,
				       const struct endpoint_list *endpoints,
				       struct counters *counters);
void destroy_etcd_client(struct etcd_client *s);
void set_etcd_endpoints(struct etcd_client *s,
			const struct endpoint_list *endpoints);
void read_etcd_range(struct etcd_client *s, const struct store_range *r,
		     store_answer_fn fn, void *data);
void commit_etcd_txn(struct etcd_client *s, const struct store_txn *txn,
		     store_answer_fn fn, void *data);
void grant_etcd_lease(struct etcd_client *s, uint32_t ttl_s, store_answer_fn fn,
		      void *data);
void renew_etcd_lease(struct etcd_client *s, uint64_t lease, store_answer_fn fn,
		      void *data);
struct etcd_watch *watch_etcd(struct etcd_client *s,
			      const struct store_range *r, uint64_t revision,
			      store_answer_fn fn, void *data);
void cancel_etcd_watch(struct etcd_watch *w);

#endif
