#include "net/entry.h"

#include <glib.h>
#include <string.h>

#include "net/entry-request.h"
#include "net/http-server.h"
#include "net/log.h"

#define ANSWER_BODY_MAX SIZE_MAX /* answers stream, whatever their size */

struct entry {
	struct entry_core core;
	const struct settings *settings;
	struct peers *peers;
	GHashTable *listeners; /* service id -> struct listener */
	uv_timer_t ticks;
	uint64_t tick_ms; /* present interval of TICKS */
	bool stopping;
};

struct listener {
	struct entry *en;
	uint64_t service;
	struct endpoint at;
	struct http_server *server;
};

static struct entry *entry_of(struct entry_core *core)
{
	return (struct entry *)core;
}

static void carry_out(struct entry *en, const struct request_action *a)
{
	struct entry_request *o;

	if (a->kind == REQUEST_SEND_PEER) {
		if (en->peers)
			send_peer(en->peers, &a->address, PEER_REQUESTS,
				  a->data, a->len);
		return;
	}
	o = g_hash_table_lookup(en->core.open, GUINT_TO_POINTER(a->request));
	if (o)
		carry_out_action(o, a);
}

static void on_tick(uv_timer_t *timer);

/* Ticks as often as the deciding code wants. */
static void set_ticks(struct entry *en)
{
	uint64_t want = next_request_tick(en->core.requests);

	if (want == en->tick_ms)
		return;
	en->tick_ms = want;
	uv_timer_start(&en->ticks, on_tick, want, want);
}

static void step(struct entry_core *core, const struct request_event *ev,
		 struct entry_request *arriving)
{
	struct entry *en = entry_of(core);
	struct request_actions as = { 0 };
	handle_t h = step_requests(core->requests, ev, uv_now(core->loop), &as);

	if (arriving && h)
		set_request_handle(arriving, h);
	else if (arriving)
		refuse_unopened(arriving);
	for (size_t i = 0; i < as.nr; i++)
		carry_out(en, &as.at[i]);
	release_request_actions(&as);
	set_ticks(en);
}

static void on_tick(uv_timer_t *timer)
{
	struct entry *en = timer->data;
	struct request_event ev = { .kind = REQUEST_TICK };

	step(&en->core, &ev, NULL);
}

static void on_peer(const void *data, size_t len, void *user)
{
	struct entry *en = user;
	struct request_event ev = { .kind = REQUEST_PEER,
				    .data = data,
				    .len = len };

	step(&en->core, &ev, NULL);
}

void set_entry_peers(struct entry *en, struct peers *ps)
{
	en->peers = ps;
	set_peer_handler(ps, PEER_REQUESTS, on_peer, en);
}

static void on_head(struct http_exchange *ex, const struct http_message *m,
		    void *data)
{
	struct listener *l = data;

	open_entry_request(&l->en->core, l->service, ex, m);
}

static void on_body(struct http_exchange *ex, const char *part, size_t len,
		    void *data)
{
	(void)data;
	if (exchange_data(ex))
		take_request_body(exchange_data(ex), part, len);
}

static void on_end(struct http_exchange *ex, void *data)
{
	(void)data;
	if (exchange_data(ex))
		take_request_end(exchange_data(ex));
}

static void on_gone(struct http_exchange *ex, void *data)
{
	(void)data;
	if (exchange_data(ex))
		take_caller_gone(exchange_data(ex));
}

static void on_drained(struct http_exchange *ex, void *data)
{
	(void)data;
	if (exchange_data(ex))
		take_answer_drained(exchange_data(ex));
}

/* A request that is offered while it is read may have begun to run. */
static void on_error(struct http_exchange *ex, unsigned int code,
		     struct http_message *answer)
{
	const struct entry_request *o = exchange_data(ex);
	enum outcome outcome = outcome_of_parse_error(code);

	if (o && is_request_offered(o))
		outcome = OUTCOME_UNKNOWN;
	fill_outcome_answer(answer, outcome, 0);
}

static void free_listener(gpointer item)
{
	struct listener *l = item;

	if (l->server)
		destroy_http_server(l->server);
	g_free(l);
}

struct entry *create_entry(uv_loop_t *loop, const struct settings *settings,
			   struct requests *requests)
{
	struct entry *en = g_new0(struct entry, 1);

	en->core.loop = loop;
	en->core.requests = requests;
	en->core.step = step;
	en->core.pool = create_http_pool(loop, ANSWER_BODY_MAX);
	en->core.open = g_hash_table_new(NULL, NULL);
	en->settings = settings;
	uv_timer_init(loop, &en->ticks);
	en->ticks.data = en;
	en->listeners = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_listener);
	set_ticks(en);
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
	struct http_handler handler = { .on_gone = on_gone,
					.data = l,
					.on_head = on_head,
					.on_body = on_body,
					.on_end = on_end,
					.on_drained = on_drained,
					.on_error = on_error };
	char at[ENDPOINT_TEXT_MAX];
	struct status st;

	l->en = en;
	l->service = sv->id;
	l->at = listen_endpoint(en, sv);
	l->server = create_http_server(en->core.loop, &l->at, sv->max_body,
				       &handler, &st);
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

	struct request_event ev = { .kind = REQUEST_LEAVE };

	en->stopping = true;
	step(&en->core, &ev, NULL);
	g_hash_table_iter_init(&it, en->listeners);
	while (g_hash_table_iter_next(&it, NULL, &l))
		stop_http_server(((struct listener *)l)->server);
}

/* Requests whose head has arrived and that are not answered. */
static size_t running_requests(const struct entry *en)
{
	GHashTableIter it;
	gpointer l;
	size_t n = 0;

	g_hash_table_iter_init(&it, en->listeners);
	while (g_hash_table_iter_next(&it, NULL, &l))
		n += http_server_running(((struct listener *)l)->server);
	return n;
}

bool entry_is_idle(const struct entry *en)
{
	return open_request_nr(en->core.requests) == 0 &&
	       g_hash_table_size(en->core.open) == 0 &&
	       running_requests(en) == 0;
}

static void on_ticks_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void destroy_entry(struct entry *en)
{
	if (!en)
		return;
	g_hash_table_destroy(en->listeners);
	g_hash_table_destroy(en->core.open);
	destroy_http_pool(en->core.pool);
	uv_close((uv_handle_t *)&en->ticks, on_ticks_closed);
}
