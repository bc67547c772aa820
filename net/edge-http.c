/* Readiness, which decides whether packets come here, and metrics. */

#include <string.h>

#include "net/edge-state.h"

#define BODY_MAX 4096 /* bytes of a request; none is used */

bool is_edge_ready(const struct edge *e)
{
	return catalog_version(e->catalog) && e->synced && !e->stopping_ms;
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

/* "flow.packets" is baobabvalve_flow_packets. */
static void add_metric(GString *text, const char *name, const char *type,
		       const char *doc, uint64_t value)
{
	char *plain = g_strdelimit(g_strdup(name), ".-", '_');

	g_string_append_printf(text,
			       "# HELP baobabvalve_%s %s\n"
			       "# TYPE baobabvalve_%s %s\n"
			       "baobabvalve_%s %llu\n",
			       plain, doc, plain, type, plain,
			       (unsigned long long)value);
	g_free(plain);
}

static char *metrics_text(const struct edge *e)
{
	GString *text = g_string_new(NULL);
	uint64_t now = edge_clock_ms();

	for (int i = 0; i < COUNTER_NR; i++)
		add_metric(text, counter_name((enum counter)i), "counter",
			   counter_doc((enum counter)i), e->counters.value[i]);
	add_metric(text, "flows", "gauge", "flows followed",
		   cookie_flow_nr(e->steering));
	add_metric(text, "config-version", "gauge",
		   "version of the routes in force",
		   catalog_version(e->catalog));
	add_metric(text, "store-age-ms", "gauge",
		   "since the store last answered",
		   e->mirror ? now - mirror_contact_ms(e->mirror) : 0);
	add_metric(text, "members", "gauge", "instances that live",
		   live_member_nr(e->view));
	add_metric(text, "log-suppressed", "counter",
		   "log lines over their budget", suppressed_events(e->log));
	add_metric(text, "log-lost", "counter",
		   "log lines that nobody read in time", lost_events(e->log));
	return g_string_free(text, FALSE);
}

static void on_metrics(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct http_message *answer = create_http_message();
	char *text;

	if (m->method == HTTP_GET && !strcmp(m->target, "/metrics")) {
		text = metrics_text(data);
		answer->code = 200;
		add_http_header(answer, "Content-Type",
				"text/plain; version=0.0.4");
		set_http_body(answer, text);
		g_free(text);
	} else {
		answer->code = 404;
		set_http_body(answer, "GET /metrics is all there is\n");
	}
	answer_http(ex, answer);
}

bool open_edge_http(struct edge *e, struct status *st)
{
	struct http_handler ready = { .on_request = on_ready, .data = e };
	struct http_handler metrics = { .on_request = on_metrics, .data = e };

	e->ready = create_http_server(&e->loop, &e->settings.ready, BODY_MAX,
				      &ready, st);
	if (!e->ready)
		return false;
	if (!e->settings.metrics.family)
		return true;
	e->metrics = create_http_server(&e->loop, &e->settings.metrics,
					BODY_MAX, &metrics, st);
	return e->metrics;
}
