#include "net/entry.h"

#include <glib.h>
#include <string.h>

#include "net/http-client.h"
#include "net/http-server.h"
#include "net/log.h"

#define ANSWER_BODY_MAX (64 * 1024 * 1024) /* bytes */
#define HEADER_DEADLINE "Baobabvalve-Deadline"
#define HEADER_OUTCOME "Baobabvalve-Outcome"
#define DEADLINE_MS_MAX (10 * 60 * 1000)

struct entry {
	uv_loop_t *loop;
	const struct settings *settings;
	struct requests *requests;
	GHashTable *listeners; /* service id -> struct listener */
	GHashTable *open;      /* handle -> struct open_request */
	bool stopping;
	uv_timer_t *tick;
};

struct listener {
	struct entry *en;
	uint64_t service;
	struct endpoint at;
	struct http_server *server;
};

struct open_request {
	struct entry *en;
	handle_t handle;
	struct http_exchange *ex;
	const struct http_message *message;
	struct http_call *call;		   /* while offered */
	const struct http_message *answer; /* while relayed */
};

static void step(struct entry *en, const struct request_event *ev,
		 struct open_request *arriving);

static struct http_message *outcome_answer(const struct request_action *a)
{
	const struct outcome_row *row = find_outcome_row(a->outcome);
	struct http_message *m = create_http_message();
	char seconds[16];

	m->code = row->code;
	add_http_header(m, HEADER_OUTCOME, row->name);
	add_http_header(m, "Content-Type", "text/plain");
	if (a->retry_after_ms) {
		g_snprintf(seconds, sizeof(seconds), "%u",
			   (a->retry_after_ms + 999) / 1000);
		add_http_header(m, "Retry-After", seconds);
	}
	set_http_body(m, row->text);
	g_byte_array_append(m->body, (const guint8 *)"\n", 1);
	return m;
}

static struct http_message *copy_answer(const struct http_message *from)
{
	struct http_message *m = create_http_message();

	m->code = from->code;
	for (guint i = 0; i < from->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(from->headers, struct http_header, i);

		add_http_header(m, h->name, h->value);
	}
	g_byte_array_append(m->body, from->body->data, from->body->len);
	return m;
}

static bool is_shed(const struct http_message *answer)
{
	const char *outcome = find_http_header(answer, HEADER_OUTCOME);

	return answer->code == 503 && outcome &&
	       !strcmp(outcome, find_outcome_row(OUTCOME_NOT_RUN)->name);
}

static void on_call_done(const struct http_call_result *r, void *data)
{
	struct open_request *o = data;
	struct request_event ev = { .request = o->handle, .repeatable = true };

	o->call = NULL;
	o->answer = r->answer;
	if (r->kind == STATUS_OK)
		ev.kind = is_shed(r->answer) ? REQUEST_SHED : REQUEST_ANSWERED;
	else
		ev.kind = r->kind == STATUS_UNAVAILABLE ? REQUEST_NOT_SENT
							: REQUEST_LOST;
	step(o->en, &ev, NULL);
}

static void start_offer(struct open_request *o, const struct request_action *a)
{
	o->answer = NULL;
	o->call = start_http_call(o->en->loop, &a->address, o->message,
				  a->timeout_ms, ANSWER_BODY_MAX, on_call_done,
				  o);
}

static void end_request(struct open_request *o, struct http_message *answer)
{
	struct http_exchange *ex = o->ex;

	if (o->call)
		cancel_http_call(o->call);
	if (ex)
		set_exchange_data(ex, NULL);
	g_hash_table_remove(o->en->open, GUINT_TO_POINTER(o->handle));
	if (ex && answer)
		answer_http(ex, answer);
}

static void carry_out(struct open_request *o, const struct request_action *a)
{
	switch (a->kind) {
	case REQUEST_OFFER:
		start_offer(o, a);
		break;
	case REQUEST_RELAY:
		end_request(o, copy_answer(o->answer));
		break;
	case REQUEST_REFUSE:
		end_request(o, outcome_answer(a));
		break;
	case REQUEST_CANCEL:
	case REQUEST_CUT:
		end_request(o, NULL);
		break;
	case REQUEST_REPLAY:
	case REQUEST_READ_ON:
	case REQUEST_SEND_PEER:
		break;
	}
}

/* Hands EV over and carries out what comes back. */
static void step(struct entry *en, const struct request_event *ev,
		 struct open_request *arriving)
{
	struct request_actions as = { 0 };
	handle_t h = step_requests(en->requests, ev, uv_now(en->loop), &as);

	if (arriving) {
		arriving->handle = h;
		g_hash_table_insert(en->open, GUINT_TO_POINTER(h), arriving);
	}
	for (size_t i = 0; i < as.nr; i++) {
		struct open_request *o = g_hash_table_lookup(
			en->open, GUINT_TO_POINTER(as.at[i].request));

		if (o)
			carry_out(o, &as.at[i]);
	}
	release_request_actions(&as);
}

static bool is_idempotent(const struct http_message *m)
{
	switch (m->method) {
	case HTTP_GET:
	case HTTP_HEAD:
	case HTTP_PUT:
	case HTTP_DELETE:
	case HTTP_OPTIONS:
		return true;
	default:
		return false;
	}
}

static uint32_t read_deadline(const struct http_message *m)
{
	const char *text = find_http_header(m, HEADER_DEADLINE);
	guint64 ms;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 1, DEADLINE_MS_MAX,
						 &ms, NULL))
		return 0;
	return (uint32_t)ms;
}

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct listener *l = data;
	struct open_request *o = g_new0(struct open_request, 1);
	struct request_event ev = { .kind = REQUEST_ARRIVED,
				    .service = l->service,
				    .idempotent = is_idempotent(m),
				    .deadline_ms = read_deadline(m) };

	o->en = l->en;
	o->ex = ex;
	o->message = m;
	set_exchange_data(ex, o);
	step(l->en, &ev, o);
}

static void on_gone(struct http_exchange *ex, void *data)
{
	struct open_request *o = exchange_data(ex);
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT };

	(void)data;
	if (!o)
		return;
	o->ex = NULL;
	ev.request = o->handle;
	step(o->en, &ev, NULL);
}

static void free_listener(gpointer item)
{
	struct listener *l = item;

	if (l->server)
		destroy_http_server(l->server);
	g_free(l);
}

static void on_tick(uv_timer_t *timer)
{
	struct request_event ev = { .kind = REQUEST_TICK };
	struct entry *en = timer->data;

	step(en, &ev, NULL);
	uv_timer_start(timer, on_tick, next_request_tick(en->requests), 0);
}

struct entry *create_entry(uv_loop_t *loop, const struct settings *settings,
			   struct requests *requests)
{
	struct entry *en = g_new0(struct entry, 1);

	en->loop = loop;
	en->settings = settings;
	en->requests = requests;
	en->listeners = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_listener);
	en->open = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	en->tick = g_new0(uv_timer_t, 1);
	uv_timer_init(loop, en->tick);
	en->tick->data = en;
	uv_timer_start(en->tick, on_tick, 0, 0);
	return en;
}

static struct endpoint listen_endpoint(const struct entry *en,
				       const struct service *sv)
{
	struct endpoint at = sv->address;

	if (!en->settings->bind_service) {
		at = en->settings->address;
		at.port = sv->address.port;
	}
	return at;
}

static void start_listener(struct entry *en, const struct service *sv)
{
	struct listener *l = g_new0(struct listener, 1);
	struct http_handler handler = { on_request, on_gone, l };
	char at[ENDPOINT_TEXT_MAX];
	struct status st;

	l->en = en;
	l->service = sv->id;
	l->at = listen_endpoint(en, sv);
	l->server = create_http_server(en->loop, &l->at, sv->max_body, &handler,
				       &st);
	if (!l->server) {
		log_problem("service %s: %s", sv->name, st.message);
		g_free(l);
		return;
	}
	log_change("service %s: serving at %s", sv->name,
		   format_endpoint(&l->at, at));
	g_hash_table_insert(en->listeners, &l->service, l);
}

static gboolean is_unwanted(gpointer key, gpointer value, gpointer data)
{
	const struct listener *l = value;
	const struct service *sv = find_service(data, l->service);
	struct endpoint at;

	(void)key;
	if (!sv || sv->kind != SERVICE_REQUESTS)
		return TRUE;
	at = listen_endpoint(l->en, sv);
	return !same_endpoint(&at, &l->at);
}

void set_entry_snapshot(struct entry *en, const struct snapshot *sn)
{
	if (en->stopping)
		return;
	g_hash_table_foreach_remove(en->listeners, is_unwanted, (gpointer)sn);
	for (size_t i = 0; i < snapshot_service_nr(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);

		if (sv->kind == SERVICE_REQUESTS &&
		    !g_hash_table_contains(en->listeners, &sv->id))
			start_listener(en, sv);
	}
}

void stop_entry(struct entry *en)
{
	GHashTableIter it;
	gpointer l;

	en->stopping = true;
	g_hash_table_iter_init(&it, en->listeners);
	while (g_hash_table_iter_next(&it, NULL, &l))
		stop_http_server(((struct listener *)l)->server);
}

bool entry_is_idle(const struct entry *en)
{
	return g_hash_table_size(en->open) == 0;
}

void destroy_entry(struct entry *en)
{
	if (!en)
		return;
	uv_close((uv_handle_t *)en->tick, (uv_close_cb)g_free);
	g_hash_table_destroy(en->listeners);
	g_hash_table_destroy(en->open);
	g_free(en);
}
