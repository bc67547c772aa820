#include "store/store.h"

#include <glib.h>

#include "platform/store-client.h"
#include "store/etcd-client.h"

enum store_protocol { STORE_ETCD, STORE_PLATFORM };

struct store {
	enum store_protocol protocol;
	union {
		struct etcd_client *etcd;
		struct platform_client *platform;
	};
};

struct store_watch {
	enum store_protocol protocol;
	union {
		struct etcd_watch *etcd;
		struct platform_watch *platform;
	};
	store_answer_fn fn;
	void *data;
};

struct store *create_etcd_store(uv_loop_t *loop,
				const struct endpoint_list *endpoints,
				struct counters *counters)
{
	struct store *s = g_new0(struct store, 1);

	s->protocol = STORE_ETCD;
	s->etcd = create_etcd_client(loop, endpoints, counters);
	return s;
}

struct store *create_platform_store(uv_loop_t *loop,
				    const struct endpoint_list *endpoints,
				    struct counters *counters)
{
	struct store *s = g_new0(struct store, 1);

	s->protocol = STORE_PLATFORM;
	s->platform = create_platform_client(loop, endpoints, counters);
	return s;
}

void destroy_store(struct store *s)
{
	if (!s)
		return;
	switch (s->protocol) {
	case STORE_ETCD:
		destroy_etcd_client(s->etcd);
		break;
	case STORE_PLATFORM:
		destroy_platform_client(s->platform);
		break;
	}
	g_free(s);
}

void set_store_endpoints(struct store *s, const struct endpoint_list *endpoints)
{
	switch (s->protocol) {
	case STORE_ETCD:
		set_etcd_endpoints(s->etcd, endpoints);
		break;
	case STORE_PLATFORM:
		set_platform_endpoints(s->platform, endpoints);
		break;
	}
}

void query_store_range(struct store *s, const struct store_range *r,
		       store_answer_fn fn, void *data)
{
	switch (s->protocol) {
	case STORE_ETCD:
		read_etcd_range(s->etcd, r, fn, data);
		break;
	case STORE_PLATFORM:
		read_platform_range(s->platform, r, fn, data);
		break;
	}
}

void commit_store_txn(struct store *s, const struct store_txn *txn,
		      store_answer_fn fn, void *data)
{
	switch (s->protocol) {
	case STORE_ETCD:
		commit_etcd_txn(s->etcd, txn, fn, data);
		break;
	case STORE_PLATFORM:
		commit_platform_txn(s->platform, txn, fn, data);
		break;
	}
}

void grant_lease(struct store *s, uint32_t ttl_s, store_answer_fn fn,
		 void *data)
{
	switch (s->protocol) {
	case STORE_ETCD:
		grant_etcd_lease(s->etcd, ttl_s, fn, data);
		break;
	case STORE_PLATFORM:
		grant_platform_lease(s->platform, ttl_s, fn, data);
		break;
	}
}

void renew_lease(struct store *s, uint64_t lease, store_answer_fn fn,
		 void *data)
{
	switch (s->protocol) {
	case STORE_ETCD:
		renew_etcd_lease(s->etcd, lease, fn, data);
		break;
	case STORE_PLATFORM:
		renew_platform_lease(s->platform, lease, fn, data);
		break;
	}
}

/* Forwards an answer; the first that is not STATUS_OK ends the watch. */
static void on_watch_answer(const struct store_answer *a, void *data)
{
	struct store_watch *w = data;
	store_answer_fn fn = w->fn;
	void *user = w->data;

	if (a->status.kind != STATUS_OK)
		g_free(w);
	fn(a, user);
}

struct store_watch *watch_store(struct store *s, const struct store_range *r,
				uint64_t revision, store_answer_fn fn,
				void *data)
{
	struct store_watch *w = g_new0(struct store_watch, 1);

	w->protocol = s->protocol;
	w->fn = fn;
	w->data = data;
	switch (s->protocol) {
	case STORE_ETCD:
		w->etcd = watch_etcd(s->etcd, r, revision, on_watch_answer, w);
		break;
	case STORE_PLATFORM:
		w->platform = watch_platform(s->platform, r, revision,
					     on_watch_answer, w);
		break;
	}
	return w;
}

void cancel_store_watch(struct store_watch *w)
{
	switch (w->protocol) {
	case STORE_ETCD:
		cancel_etcd_watch(w->etcd);
		break;
	case STORE_PLATFORM:
		cancel_platform_watch(w->platform);
		break;
	}
	g_free(w);
}
