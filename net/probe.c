#include "net/probe.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "net/http-client.h"

#define PROBE_ANSWER_MAX_BYTES 4096
#define FAILURE_HTTP_CODE_MIN 500

struct prober {
	uv_loop_t *loop;
	uv_timer_t tick_timer;
	struct health *health;
	GHashTable *running_probes; /* struct probe, as a set */
	void (*on_change)(const struct health_action *a, void *data);
	void *data;
};

struct probe {
	struct prober *owner;
	struct http_call *call;
	uint64_t service;
	uint64_t upstream;
	bool query_load;
};

static enum health_report read_state(const char *text)
{
	if (!strcmp(text, "warm"))
		return REPORT_WARM;
	if (!strcmp(text, "cold"))
		return REPORT_COLD;
	if (!strcmp(text, "draining"))
		return REPORT_DRAINING;
	return REPORT_NONE;
}

bool read_health_answer(const char *text, size_t len, struct health_event *ev)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	const char *id = json_string_value(json_object_get(j, "start-id"));
	const char *state = json_string_value(json_object_get(j, "state"));
	json_int_t age = json_integer_value(json_object_get(j, "age-ms"));
	bool ok = json_is_object(j);

	if (id)
		ev->start_id = XXH64(id, strlen(id), 0);
	if (state)
		ev->report = read_state(state);
	if (age > 0)
		ev->age_ms = (uint64_t)age;
	json_decref(j);
	return ok;
}

bool read_load_answer(const char *text, size_t len, struct health_event *ev)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	json_t *cold = json_object_get(j, "cold");
	json_int_t running = json_integer_value(json_object_get(j, "running"));
	json_int_t slots = json_integer_value(json_object_get(j, "slots"));
	bool ok = json_is_object(j);

	if (json_is_boolean(cold))
		ev->report = json_is_true(cold) ? REPORT_COLD : REPORT_WARM;
	if (running >= 0 && running <= UINT32_MAX && slots > 0 &&
	    slots <= UINT32_MAX) {
		ev->running = (uint32_t)running;
		ev->slots = (uint32_t)slots;
	}
	json_decref(j);
	return ok;
}

/* Fills EV from the answer M; one without JSON only shows a live upstream. */
static enum health_event_kind read_answer(const struct probe *pr,
					  const struct http_message *m,
					  struct health_event *ev)
{
	const char *text = (const char *)m->body->data;

	if (m->code == 200 && pr->query_load)
		read_load_answer(text, m->body->len, ev);
	else if (m->code == 200)
		read_health_answer(text, m->body->len, ev);
	if (m->code >= FAILURE_HTTP_CODE_MIN)
		return HEALTH_PROBE_FAILED;
	return pr->query_load ? HEALTH_LOAD : HEALTH_PROBE_OK;
}

static void on_probe_done(const struct http_call_result *r, void *data)
{
	struct probe *pr = data;
	struct prober *p = pr->owner;
	struct health_event ev = { .service = pr->service,
				   .upstream = pr->upstream };

	if (r->kind == STATUS_OK)
		ev.kind = read_answer(pr, r->answer, &ev);
	else
		ev.kind = HEALTH_PROBE_FAILED;
	g_hash_table_remove(p->running_probes, pr);
	observe_upstream(p, &ev);
}

static void start_probe(struct prober *p, const struct health_action *a)
{
	struct probe *pr = g_new0(struct probe, 1);
	struct http_message *m = create_http_message();

	pr->owner = p;
	pr->service = a->service;
	pr->upstream = a->upstream;
	pr->query_load = a->query_load;
	m->method = HTTP_GET;
	m->target = g_strdup(a->query_load ? "/load" : "/health");
	g_hash_table_add(p->running_probes, pr);
	pr->call = start_http_call(p->loop, &a->address, m, a->timeout_ms,
				   PROBE_ANSWER_MAX_BYTES, on_probe_done, pr);
	destroy_http_message(m);
}

void observe_upstream(struct prober *p, const struct health_event *ev)
{
	struct health_actions as = { 0 };

	step_health(p->health, ev, uv_now(p->loop), &as);
	for (size_t i = 0; i < as.nr; i++) {
		if (as.items[i].kind == HEALTH_PROBE)
			start_probe(p, &as.items[i]);
		else
			p->on_change(&as.items[i], p->data);
	}
	release_health_actions(&as);
}

static void on_tick(uv_timer_t *timer)
{
	struct health_event ev = { .kind = HEALTH_TICK };

	observe_upstream(timer->data, &ev);
}

struct prober *create_prober(uv_loop_t *loop, struct health *health,
			     void (*on_change)(const struct health_action *a,
					       void *data),
			     void *data)
{
	struct prober *p = g_new0(struct prober, 1);

	p->loop = loop;
	p->health = health;
	p->on_change = on_change;
	p->data = data;
	p->running_probes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	uv_timer_init(loop, &p->tick_timer);
	p->tick_timer.data = p;
	uv_timer_start(&p->tick_timer, on_tick, HEALTH_TICK_MS, HEALTH_TICK_MS);
	return p;
}

static void free_prober(uv_handle_t *handle)
{
	g_free(handle->data);
}

void destroy_prober(struct prober *p)
{
	GHashTableIter it;
	gpointer pr;

	if (!p)
		return;
	g_hash_table_iter_init(&it, p->running_probes);
	while (g_hash_table_iter_next(&it, &pr, NULL))
		cancel_http_call(((struct probe *)pr)->call);
	g_hash_table_destroy(p->running_probes);
	uv_close((uv_handle_t *)&p->tick_timer, free_prober);
}
