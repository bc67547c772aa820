/* Checks of upstreams that are in doubt: one HTTP request each. */

#include <string.h>

#include "net/edge-state.h"
#include "net/http-client.h"
#include "platform/records.h"

/*
 * An upstream whose slots are all busy answers after its queue; beyond that
 * callers have no use for it either.
 */
#define CHECK_TIMEOUT_MS 600
/*
 * An upstream's kernel answers at once or not at all, but packets may wait on
 * a full link; two checks together outlast half a second of that.
 */
#define CHECK_CONNECT_MS 350
/* A refused connection comes back within a round trip; longer is no answer. */
#define CHECK_REFUSED_MS 120
#define CHECK_ANSWER_MAX 4096 /* bytes */

struct check {
	struct edge *e;
	upstream_nr_t nr;
	uint64_t id; /* of the upstream, should the handle be used again */
	uint64_t started_ms;
	struct http_call *call;
};

static enum check_result read_answer(const struct catalog_upstream *up,
				     const struct http_message *m)
{
	const char *name = find_http_header(m, PLATFORM_UPSTREAM_HEADER);

	if (name && strcmp(name, up->report.name) != 0)
		return CHECK_REPLACED;
	return m->code == 200 ? CHECK_GOOD : CHECK_BAD;
}

static enum check_result read_result(const struct check *ck,
				     const struct catalog_upstream *up,
				     const struct http_call_result *r,
				     uint64_t now_ms)
{
	switch (r->kind) {
	case STATUS_OK:
		return read_answer(up, r->answer);
	case STATUS_UNKNOWN:
		return CHECK_SILENT;
	default:
		return now_ms - ck->started_ms <= CHECK_REFUSED_MS
			       ? CHECK_REFUSED
			       : CHECK_UNREACHABLE;
	}
}

static void end_dead_flows(struct edge *e, upstream_nr_t nr)
{
	enum upstream_health h = placing_health(e->placing, nr);
	GArray *resets;

	if (h != HEALTH_DEAD && h != HEALTH_CUT_OFF)
		return;
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
	end_flows_of(e->steering, nr, e->now_ms, resets);
	send_edge_resets(e, resets);
	g_array_free(resets, TRUE);
}

static void on_checked(const struct http_call_result *r, void *data)
{
	struct check *ck = data;
	struct edge *e = ck->e;
	const struct catalog_upstream *up = get_upstream(e->catalog, ck->nr);
	enum check_result result = CHECK_RESULT_NR;

	e->now_ms = edge_clock_ms();
	if (up && up->report.id == ck->id) {
		result = read_result(ck, up, r, e->now_ms);
		note_check(e->placing, ck->nr, result, e->now_ms);
		if (result != CHECK_GOOD)
			count(&e->counters, COUNT_HEALTH_PROBE_FAILURES);
		log_event(e->log, EVENT_CHECK,
			  "upstream=%s result=%s took_ms=%llu health=%s",
			  up->report.name, check_result_name(result),
			  (unsigned long long)(e->now_ms - ck->started_ms),
			  upstream_health_name(
				  placing_health(e->placing, ck->nr)));
		end_dead_flows(e, ck->nr);
	}
	g_hash_table_remove(e->checks, ck);
	g_free(ck);
}

static void start_check(struct edge *e, upstream_nr_t nr)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);
	const struct catalog_service *sv = get_service(e->catalog, up->service);
	struct http_message *m = create_http_message();
	struct check *ck = g_new0(struct check, 1);

	ck->e = e;
	ck->nr = nr;
	ck->id = up->report.id;
	ck->started_ms = e->now_ms;
	m->method = HTTP_GET;
	m->target = g_strdup(sv->health_path[0] ? sv->health_path : "/health");
	count(&e->counters, COUNT_HEALTH_PROBES);
	g_hash_table_add(e->checks, ck);
	ck->call = start_http_call(&e->loop, &up->report.address, m,
				   CHECK_TIMEOUT_MS, CHECK_ANSWER_MAX,
				   on_checked, ck);
	limit_http_connect(ck->call, CHECK_CONNECT_MS);
	destroy_http_message(m);
}

void check_upstreams(struct edge *e, const GArray *checks)
{
	for (guint i = 0; i < checks->len; i++)
		start_check(e, g_array_index(checks, upstream_nr_t, i));
}

void cancel_checks(struct edge *e)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, e->checks);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct check *ck = key;

		cancel_http_call(ck->call);
		g_free(ck);
		g_hash_table_iter_remove(&it);
	}
}
