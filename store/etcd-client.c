/* The etcd client: libcurl's multi interface driven by the libuv loop. */

#include "store/etcd-client.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "store/curl-library.h"
#include "store/etcd-json.h"

#define CALL_TIMEOUT_MIN_MS 3000L  /* also the initial one */
#define CALL_TIMEOUT_MAX_MS 12000L /* after calls that timed out */
#define CONNECT_TIMEOUT_MS 1000L
#define URL_MAX_BYTES 128

struct etcd_client {
	uv_loop_t *loop;
	const struct curl_library *curl;
	uv_timer_t curl_timer;
	CURLM *multi;
	struct curl_slist *headers;
	struct endpoint_list endpoints;
	size_t current_endpoint; /* index; advances after a failure */
	long timeout_ms;	 /* of the next call */
	struct counters *counters;
	GHashTable *calls;	 /* running struct store_call, as a set */
	GPtrArray *watches;	 /* those of CALLS that are watches */
	bool delivering_watches; /* cancelled watches are freed afterwards */
};

enum call_kind { CALL_KV, CALL_LEASE, CALL_WATCH };

/* A running call; a watch delivers several answers until it ends. */
struct store_call {
	struct etcd_client *client;
	enum call_kind kind;
	CURL *easy;
	char *body;
	GByteArray *answer_bytes; /* of a watch: those not delivered yet */
	store_answer_fn fn;
	void *data;
	bool cancelled;
};

/* A watch is a call too; its own type prevents confusing the two. */
struct etcd_watch {
	struct store_call call;
};

struct poll_handle {
	uv_poll_t poll;
	struct etcd_client *client;
	curl_socket_t fd;
};

static void free_call(struct store_call *c)
{
	c->client->curl->multi_remove_handle(c->client->multi, c->easy);
	c->client->curl->easy_cleanup(c->easy);
	free(c->body);
	g_byte_array_free(c->answer_bytes, TRUE);
	g_free(c);
}

static void remove_call(struct store_call *c)
{
	g_hash_table_remove(c->client->calls, c);
	g_ptr_array_remove(c->client->watches, c);
	free_call(c);
}

static void decode_ok_answer(const struct store_call *c, struct store_answer *a)
{
	const char *text = (const char *)c->answer_bytes->data;

	if (c->kind == CALL_LEASE)
		read_lease_json(text, c->answer_bytes->len, a);
	else
		read_kv_json(text, c->answer_bytes->len, a);
}

/*
 * Doubles the timeout, up to a limit, when a call times out; halves it when an
 * answer takes less than a quarter of it.
 */
static void adapt_timeout(struct store_call *c, CURLcode code)
{
	struct etcd_client *s = c->client;
	curl_off_t us = 0;

	c->client->curl->easy_getinfo(c->easy, CURLINFO_TOTAL_TIME_T, &us);
	if (code == CURLE_OPERATION_TIMEDOUT)
		s->timeout_ms = MIN(2 * s->timeout_ms, CALL_TIMEOUT_MAX_MS);
	else if (code == CURLE_OK && us / 1000 < s->timeout_ms / 4)
		s->timeout_ms = MAX(s->timeout_ms / 2, CALL_TIMEOUT_MIN_MS);
}

static void decode_result(struct store_call *c, CURLcode code,
			  struct store_answer *a)
{
	long http = 0;
	long sent = 0;

	c->client->curl->easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &http);
	c->client->curl->easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &sent);
	memset(a, 0, sizeof(*a));
	if (c->kind != CALL_WATCH)
		adapt_timeout(c, code);
	if (code == CURLE_OK && http == 200 && c->kind != CALL_WATCH) {
		decode_ok_answer(c, a);
		return;
	}
	count(c->client->counters, COUNT_STORE_FAILURES);
	c->client->current_endpoint =
		(c->client->current_endpoint + 1) % c->client->endpoints.nr;
	if (c->kind == CALL_WATCH)
		set_status(&a->status, STATUS_UNAVAILABLE,
			   "the watch has ended");
	else if (code == CURLE_OK)
		set_status(&a->status, STATUS_UNKNOWN,
			   "the store answered HTTP %ld", http);
	else
		set_status(&a->status,
			   sent ? STATUS_UNKNOWN : STATUS_UNAVAILABLE,
			   "no answer from the store: %s",
			   c->client->curl->easy_strerror(code));
}

static void finish_call(struct store_call *c, CURLcode code)
{
	struct store_answer a;
	store_answer_fn fn = c->fn;
	void *data = c->data;

	decode_result(c, code, &a);
	remove_call(c);
	fn(&a, data);
	release_store_answer(&a);
}

/* Delivers the first complete line of a watch; false if there is none. */
static bool deliver_line(struct store_call *c)
{
	const guint8 *end;
	struct store_answer a;
	size_t len;

	if (!c->answer_bytes->len || c->cancelled)
		return false;
	end = memchr(c->answer_bytes->data, '\n', c->answer_bytes->len);
	if (!end)
		return false;
	len = (size_t)(end - c->answer_bytes->data);
	if (len) {
		read_watch_json((const char *)c->answer_bytes->data, len, &a);
		if (a.status.kind != STATUS_OK)
			c->cancelled = true;
		c->fn(&a, c->data);
		release_store_answer(&a);
	}
	g_byte_array_remove_range(c->answer_bytes, 0, (guint)len + 1);
	return true;
}

static void deliver_watches(struct etcd_client *s)
{
	s->delivering_watches = true;
	for (guint i = 0; i < s->watches->len; i++) {
		struct store_call *c = g_ptr_array_index(s->watches, i);

		while (deliver_line(c))
			;
	}
	s->delivering_watches = false;
	for (guint i = s->watches->len; i > 0; i--) {
		struct store_call *c = g_ptr_array_index(s->watches, i - 1);

		if (c->cancelled)
			remove_call(c);
	}
}

static void deliver_results(struct etcd_client *s)
{
	CURLMsg *msg;
	int left;

	deliver_watches(s);
	while ((msg = s->curl->multi_info_read(s->multi, &left))) {
		struct store_call *c = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		s->curl->easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		if (c->cancelled)
			remove_call(c);
		else
			finish_call(c, msg->data.result);
	}
}

static void on_curl_timer(uv_timer_t *timer)
{
	struct etcd_client *s = timer->data;
	int running;

	s->curl->multi_socket_action(s->multi, CURL_SOCKET_TIMEOUT, 0,
				     &running);
	deliver_results(s);
}

static int on_curl_timer_change(CURLM *multi, long timeout_ms, void *data)
{
	struct etcd_client *s = data;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&s->curl_timer);
	else
		uv_timer_start(&s->curl_timer, on_curl_timer,
			       (uint64_t)timeout_ms, 0);
	return 0;
}

static void on_socket_event(uv_poll_t *poll, int status, int events)
{
	struct poll_handle *ph = poll->data;
	struct etcd_client *s = ph->client;
	int flags = 0;
	int running;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	s->curl->multi_socket_action(s->multi, ph->fd, flags, &running);
	deliver_results(s);
}

static void free_poll_handle(uv_handle_t *handle)
{
	g_free(handle->data);
}

static int on_curl_socket_change(CURL *easy, curl_socket_t fd, int what,
				 void *data, void *socket_data)
{
	struct etcd_client *s = data;
	struct poll_handle *ph = socket_data;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (!ph)
			return 0;
		uv_poll_stop(&ph->poll);
		uv_close((uv_handle_t *)&ph->poll, free_poll_handle);
		s->curl->multi_assign(s->multi, fd, NULL);
		return 0;
	}
	if (!ph) {
		ph = g_new0(struct poll_handle, 1);
		ph->client = s;
		ph->fd = fd;
		uv_poll_init_socket(s->loop, &ph->poll, fd);
		ph->poll.data = ph;
		s->curl->multi_assign(s->multi, fd, ph);
	}
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	uv_poll_start(&ph->poll, events, on_socket_event);
	return 0;
}

struct etcd_client *create_etcd_client(uv_loop_t *loop,
				       const struct endpoint_list *endpoints,
				       struct counters *counters)
{
	struct etcd_client *s = g_new0(struct etcd_client, 1);

	s->loop = loop;
	s->curl = load_curl_library();
	s->endpoints = *endpoints;
	s->timeout_ms = CALL_TIMEOUT_MIN_MS;
	s->counters = counters;
	s->calls = g_hash_table_new(NULL, NULL);
	s->watches = g_ptr_array_new();
	uv_timer_init(loop, &s->curl_timer);
	s->curl_timer.data = s;
	s->headers =
		s->curl->slist_append(NULL, "Content-Type: application/json");
	/* else libcurl waits a second for 100 Continue before a large body */
	s->headers = s->curl->slist_append(s->headers, "Expect:");
	s->multi = s->curl->multi_init();
	s->curl->multi_setopt(s->multi, CURLMOPT_SOCKETFUNCTION,
			      on_curl_socket_change);
	s->curl->multi_setopt(s->multi, CURLMOPT_SOCKETDATA, s);
	s->curl->multi_setopt(s->multi, CURLMOPT_TIMERFUNCTION,
			      on_curl_timer_change);
	s->curl->multi_setopt(s->multi, CURLMOPT_TIMERDATA, s);
	return s;
}

static void free_client(uv_handle_t *timer)
{
	g_free(timer->data);
}

void destroy_etcd_client(struct etcd_client *s)
{
	GHashTableIter it;
	gpointer c;

	if (!s)
		return;
	g_hash_table_iter_init(&it, s->calls);
	while (g_hash_table_iter_next(&it, &c, NULL))
		free_call(c);
	g_hash_table_destroy(s->calls);
	g_ptr_array_free(s->watches, TRUE);
	s->curl->multi_cleanup(s->multi);
	s->curl->slist_free_all(s->headers);
	uv_timer_stop(&s->curl_timer);
	uv_close((uv_handle_t *)&s->curl_timer, free_client);
}

static size_t on_answer_bytes(char *data, size_t size, size_t n, void *user)
{
	struct store_call *c = user;

	g_byte_array_append(c->answer_bytes, (const guint8 *)data,
			    (guint)(size * n));
	return size * n;
}

static struct store_call *create_call(struct etcd_client *s,
				      enum call_kind kind, char *body,
				      store_answer_fn fn, void *data)
{
	struct etcd_watch *w = g_new0(struct etcd_watch, 1);
	struct store_call *c = &w->call;

	c->client = s;
	c->kind = kind;
	c->body = body;
	c->answer_bytes = g_byte_array_new();
	c->fn = fn;
	c->data = data;
	c->easy = s->curl->easy_init();
	return c;
}

static void set_options(struct store_call *c, const char *url)
{
	const struct curl_library *curl = c->client->curl;

	curl->easy_setopt(c->easy, CURLOPT_URL, url);
	curl->easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->client->headers);
	curl->easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
	curl->easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE,
			  (long)strlen(c->body));
	curl->easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_answer_bytes);
	curl->easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl->easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl->easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl->easy_setopt(c->easy, CURLOPT_NOPROXY, "*");
	curl->easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
			  CONNECT_TIMEOUT_MS);
	if (c->kind != CALL_WATCH)
		curl->easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
				  c->client->timeout_ms);
}

/* Posts BODY, which it takes ownership of, to PATH at the current endpoint. */
static struct store_call *start_call(struct etcd_client *s, enum call_kind kind,
				     const char *path, char *body,
				     store_answer_fn fn, void *data)
{
	struct store_call *c = create_call(s, kind, body, fn, data);
	char at[ENDPOINT_TEXT_MAX];
	char url[URL_MAX_BYTES];

	format_endpoint(&s->endpoints.at[s->current_endpoint], at);
	g_snprintf(url, sizeof(url), "http://%s%s", at, path);
	set_options(c, url);
	count(s->counters, COUNT_STORE_CALLS);
	g_hash_table_add(s->calls, c);
	if (kind == CALL_WATCH)
		g_ptr_array_add(s->watches, c);
	s->curl->multi_add_handle(s->multi, c->easy);
	return c;
}

void set_etcd_endpoints(struct etcd_client *s,
			const struct endpoint_list *endpoints)
{
	s->endpoints = *endpoints;
	s->current_endpoint = 0;
}

void read_etcd_range(struct etcd_client *s, const struct store_range *r,
		     store_answer_fn fn, void *data)
{
	start_call(s, CALL_KV, "/v3/kv/range", write_range_json(r), fn, data);
}

void commit_etcd_txn(struct etcd_client *s, const struct store_txn *txn,
		     store_answer_fn fn, void *data)
{
	start_call(s, CALL_KV, "/v3/kv/txn", write_txn_json(txn), fn, data);
}

void grant_etcd_lease(struct etcd_client *s, uint32_t ttl_s, store_answer_fn fn,
		      void *data)
{
	start_call(s, CALL_LEASE, "/v3/lease/grant", write_grant_json(ttl_s),
		   fn, data);
}

void renew_etcd_lease(struct etcd_client *s, uint64_t lease, store_answer_fn fn,
		      void *data)
{
	start_call(s, CALL_LEASE, "/v3/lease/keepalive",
		   write_lease_json(lease), fn, data);
}

struct etcd_watch *watch_etcd(struct etcd_client *s,
			      const struct store_range *r, uint64_t revision,
			      store_answer_fn fn, void *data)
{
	return (struct etcd_watch *)start_call(s, CALL_WATCH, "/v3/watch",
					       write_watch_json(r, revision),
					       fn, data);
}

void cancel_etcd_watch(struct etcd_watch *w)
{
	if (w->call.client->delivering_watches)
		w->call.cancelled = true;
	else
		remove_call(&w->call);
}
