/*
 * HTTP endpoints of the edge: readiness, by which routers decide whether to
 * send packets to this instance, metrics and status.
 */

#include <stdlib.h>
#include <string.h>

#include "net/edge-state.h"

#define REQUEST_BODY_MAX_BYTES 4096 /* larger bodies get 413; none is used */

bool may_place_flows(const struct edge *e)
{
	return catalog_version(e->catalog) && e->synced && e->start_check.done;
}

bool is_edge_ready(const struct edge *e)
{
	return may_place_flows(e) && e->has_known_split_flows &&
	       !e->stop_began_ms && !e->isolation.isolated;
}

static void on_ready(struct http_exchange *ex, const struct http_message *m,
		     void *data)
{
	struct http_message *answer = create_http_message();
	const struct edge *e = data;

	(void)m;
	answer->code = is_edge_ready(e) ? 200 : 503;
	set_http_body(answer, answer->code == 200 ? "{}"
						  : "{\"error\":\"not "
						    "ready\"}");
	add_http_header(answer, "Content-Type", "application/json");
	answer_http(ex, answer);
}

/* Converts NAME: "flow.packets" becomes baobabvalve_flow_packets. */
static void add_metric(GString *text, const char *name, const char *type,
		       const char *doc, uint64_t value)
{
	char *metric = g_strdelimit(g_strdup(name), ".-", '_');

	g_string_append_printf(text,
			       "# HELP baobabvalve_%s %s\n"
			       "# TYPE baobabvalve_%s %s\n"
			       "baobabvalve_%s %llu\n",
			       metric, doc, metric, type, metric,
			       (unsigned long long)value);
	g_free(metric);
}

/* Limits the number of time series, one set for each service. */
#define SERVICE_LABELS_MAX 50

static void add_answer_time_histograms(GString *text, const struct edge *e)
{
	size_t service_count =
		MIN(catalog_service_count(e->catalog), SERVICE_LABELS_MAX);

	g_string_append(text, "# HELP baobabvalve_answer_ms time from a request"
			      " to the first acknowledged byte of its answer\n"
			      "# TYPE baobabvalve_answer_ms histogram\n");
	for (size_t i = 0; i < service_count; i++) {
		const struct histogram *h =
			answer_times(e->placement, (service_index_t)i);
		char *labels;

		if (!h || !duration_count(h))
			continue;
		labels = g_strdup_printf(
			"service=\"%s\"",
			get_service(e->catalog, (service_index_t)i)->name);
		print_histogram(text, "baobabvalve_answer_ms", labels, h);
		g_free(labels);
	}
}

static void add_histograms(GString *text, const struct edge *e)
{
	g_string_append(text, "# HELP baobabvalve_handshake_ms time from a "
			      "forwarded SYN to the caller's next packet\n"
			      "# TYPE baobabvalve_handshake_ms histogram\n");
	print_histogram(text, "baobabvalve_handshake_ms", "",
			handshake_times(e->steering));
	add_answer_time_histograms(text, e);
}

/* Adds the number of upstreams by health, and of those that accept flows. */
static void add_upstream_gauges(GString *text, const struct edge *e)
{
	uint64_t by_health[HEALTH_DEAD + 1] = { 0 };
	uint64_t taking = 0;

	for (size_t i = 0; i < catalog_upstream_count(e->catalog); i++) {
		upstream_index_t up = (upstream_index_t)i;

		if (!get_upstream(e->catalog, up) ||
		    !get_upstream(e->catalog, up)->listed)
			continue;
		by_health[reached_health(e->placement, up)]++;
		taking += accepts_flows(e->catalog, up);
	}
	g_string_append(text, "# HELP baobabvalve_upstreams upstreams listed, "
			      "by health as assessed here\n"
			      "# TYPE baobabvalve_upstreams gauge\n");
	for (int h = 0; h <= HEALTH_DEAD; h++)
		g_string_append_printf(
			text, "baobabvalve_upstreams{health=\"%s\"} %llu\n",
			upstream_health_name((enum upstream_health)h),
			(unsigned long long)by_health[h]);
	add_metric(text, "upstreams-taking-flows", "gauge",
		   "upstreams that may get new flows", taking);
}

static char *format_metrics(const struct edge *e)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < COUNTER_NR; i++)
		add_metric(text, counter_name((enum counter)i), "counter",
			   counter_doc((enum counter)i), e->counters.value[i]);
	add_metric(text, "flows", "gauge", "flows tracked",
		   cookie_flow_count(e->steering));
	add_metric(text, "split-flows", "gauge",
		   "flows known whose SYN may have gone to several upstreams",
		   split_flow_count(cookie_split_flows(e->steering)));
	add_metric(text, "config-version", "gauge",
		   "version of the routes in force",
		   catalog_version(e->catalog));
	add_metric(text, "store-era", "gauge",
		   "era of the store, counts its restores",
		   mirror_position(e->mirror).era);
	add_metric(text, "store-revision", "gauge",
		   "revision of the store that was reached",
		   mirror_position(e->mirror).revision);
	add_metric(text, "records-held", "gauge",
		   "records of a restored store that are not believed yet",
		   held_record_count(e->restored_records));
	add_metric(text, "store-age-ms", "gauge",
		   "time since the store last answered", edge_store_age_ms(e));
	add_metric(text, "members", "gauge", "live instances",
		   live_member_count(e->view));
	add_metric(text, "log-suppressed", "counter",
		   "log lines dropped over their budget",
		   suppressed_event_count(e->log));
	add_metric(text, "log-lost", "counter",
		   "log lines lost because nobody read them",
		   lost_event_count(e->log));
	add_upstream_gauges(text, e);
	add_histograms(text, e);
	return g_string_free(text, FALSE);
}

static void on_metrics(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct http_message *answer = create_http_message();
	char *text;

	if (m->method == HTTP_GET && !strcmp(m->target, "/metrics")) {
		text = format_metrics(data);
		answer->code = 200;
		add_http_header(answer, "Content-Type",
				"text/plain; version=0.0.4");
		set_http_body(answer, text);
		g_free(text);
	} else if (m->method == HTTP_GET && !strcmp(m->target, "/status")) {
		text = format_edge_status(data);
		answer->code = 200;
		add_http_header(answer, "Content-Type", "application/json");
		set_http_body(answer, text);
		free(text);
	} else {
		answer->code = 404;
		set_http_body(answer,
			      "not found; use GET /metrics or GET /status\n");
	}
	answer_http(ex, answer);
}

bool open_edge_http(struct edge *e, struct status *st)
{
	struct http_handler ready = { .on_request = on_ready, .data = e };
	struct http_handler metrics = { .on_request = on_metrics, .data = e };

	e->ready_server =
		create_http_server(&e->loop, &e->settings.ready,
				   REQUEST_BODY_MAX_BYTES, &ready, st);
	if (!e->ready_server)
		return false;
	if (!e->settings.metrics.family)
		return true;
	e->metrics_server =
		create_http_server(&e->loop, &e->settings.metrics,
				   REQUEST_BODY_MAX_BYTES, &metrics, st);
	return e->metrics_server;
}
