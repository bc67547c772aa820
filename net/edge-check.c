/* Health checks of suspected upstreams: one HTTP request each. */

#include "net/check-result.h"
#include "net/edge-state.h"
#include "net/http-client.h"

/*
 * An upstream whose slots are all busy answers a check only after the requests
 * in its queue. An upstream that takes longer than this to answer a check is of
 * no use to callers either.
 */
#define CHECK_TIMEOUT_MS 600
/*
 * A working upstream's kernel accepts a connection at once, but its packets may
 * be queued on a congested link: two checks in a row tolerate half a second of
 * queueing.
 */
#define CHECK_CONNECT_MS 350
#define CHECK_ANSWER_MAX_BYTES 4096

struct health_check {
	struct edge *e;
	upstream_index_t upstream;
	uint64_t upstream_id; /* UPSTREAM may be reused for another meanwhile */
	uint64_t started_ms;
	struct http_call *call;
};

void reset_flows_if_unusable(struct edge *e, upstream_index_t nr)
{
	GArray *resets;

	if (!may_end_flows(e->placement, nr, e->now_ms))
		return;
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
	end_upstream_flows(e->steering, nr, e->now_ms, resets);
	send_edge_resets(e, resets);
	g_array_free(resets, TRUE);
}

static void on_check_done(const struct http_call_result *r, void *data)
{
	struct health_check *hc = data;
	struct edge *e = hc->e;
	const struct catalog_upstream *up =
		get_upstream(e->catalog, hc->upstream);
	enum check_result result = CHECK_RESULT_NR;

	e->now_ms = edge_clock_ms();
	if (up && up->report.id == hc->upstream_id) {
		result = classify_check(r, up->report.name,
					e->now_ms - hc->started_ms);
		note_check_result(e->placement, hc->upstream, result,
				  e->now_ms);
		if (result != CHECK_GOOD)
			count(&e->counters, COUNT_HEALTH_PROBE_FAILURES);
		log_event(e->log, EVENT_CHECK,
			  "upstream=%s result=%s error=%s took_ms=%llu "
			  "health=%s",
			  up->report.name, check_result_name(result),
			  r->error ? uv_err_name(r->error) : "none",
			  (unsigned long long)(e->now_ms - hc->started_ms),
			  upstream_health_name(
				  assessed_health(e->placement, hc->upstream)));
		reset_flows_if_unusable(e, hc->upstream);
		send_edge_notices(e);
	}
	g_hash_table_remove(e->health_checks, hc);
	g_free(hc);
}

static void on_check_connected(void *data)
{
	const struct health_check *hc = data;
	struct edge *e = hc->e;
	const struct catalog_upstream *up =
		get_upstream(e->catalog, hc->upstream);

	if (up && up->report.id == hc->upstream_id)
		note_check_connected(e->placement, hc->upstream);
}

static void start_health_check(struct edge *e, upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);
	const struct catalog_service *sv = get_service(e->catalog, up->service);
	struct http_message *m = create_http_message();
	struct health_check *hc = g_new0(struct health_check, 1);

	hc->e = e;
	hc->upstream = nr;
	hc->upstream_id = up->report.id;
	hc->started_ms = e->now_ms;
	m->method = HTTP_GET;
	m->target = g_strdup(sv->health_path[0] ? sv->health_path : "/health");
	count(&e->counters, COUNT_HEALTH_PROBES);
	g_hash_table_add(e->health_checks, hc);
	hc->call = start_http_call(&e->loop, &up->report.address, m,
				   CHECK_TIMEOUT_MS, CHECK_ANSWER_MAX_BYTES,
				   on_check_done, hc);
	set_http_connect_timeout(hc->call, CHECK_CONNECT_MS);
	set_http_connect_callback(hc->call, on_check_connected);
	destroy_http_message(m);
}

void start_health_checks(struct edge *e, const GArray *checks)
{
	for (guint i = 0; i < checks->len; i++)
		start_health_check(e,
				   g_array_index(checks, upstream_index_t, i));
}

void cancel_health_checks(struct edge *e)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, e->health_checks);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct health_check *hc = key;

		cancel_http_call(hc->call);
		g_free(hc);
		g_hash_table_iter_remove(&it);
	}
}
