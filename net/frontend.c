#include "net/frontend.h"

#include <glib.h>
#include <string.h>

#include "net/frontend-request.h"
#include "net/http-server.h"
#include "net/log.h"

#define ANSWER_BODY_MAX_BYTES SIZE_MAX /* unlimited: answers are streamed */

struct frontend {
	struct frontend_core core;
	const struct settings *settings;
	struct peers *peers;
	GHashTable *listeners; /* service id -> struct listener */
	uv_timer_t tick_timer;
	uint64_t tick_interval_ms; /* current interval of TICK_TIMER */
	bool stopping;
};

struct listener {
	struct frontend *frontend;
	uint64_t service_id;
	struct endpoint address;
	struct http_server *server;
};

static struct frontend *frontend_of(struct frontend_core *core)
{
	return (struct frontend *)core;
}

static void execute_action(struct frontend *fe, const struct request_action *a)
{
	struct frontend_request *fr;

	if (a->kind == REQUEST_SEND_PEER) {
		if (fe->peers)
			send_peer(fe->peers, &a->address, PEER_REQUESTS,
				  a->data, a->len);
		return;
	}
	fr = g_hash_table_lookup(fe->core.open_requests,
				 GUINT_TO_POINTER(a->request));
	if (fr)
		execute_request_action(fr, a);
}

static void on_tick(uv_timer_t *timer);

/* Sets the timer to the tick interval that the request logic wants. */
static void update_tick_timer(struct frontend *fe)
{
	uint64_t interval_ms = next_request_tick(fe->core.requests);

	if (interval_ms == fe->tick_interval_ms)
		return;
	fe->tick_interval_ms = interval_ms;
	uv_timer_start(&fe->tick_timer, on_tick, interval_ms, interval_ms);
}

static void step_frontend(struct frontend_core *core,
			  const struct request_event *ev,
			  struct frontend_request *arriving)
{
	struct frontend *fe = frontend_of(core);
	struct request_actions as = { 0 };
	handle_t h = step_requests(core->requests, ev, uv_now(core->loop), &as);

	if (arriving && h)
		set_request_handle(arriving, h);
	else if (arriving)
		refuse_unopened_request(arriving);
	for (size_t i = 0; i < as.nr; i++)
		execute_action(fe, &as.items[i]);
	release_request_actions(&as);
	update_tick_timer(fe);
}

static void on_tick(uv_timer_t *timer)
{
	struct frontend *fe = timer->data;
	struct request_event ev = { .kind = REQUEST_TICK };

	step_frontend(&fe->core, &ev, NULL);
}

static void on_peer_message(const void *data, size_t len, void *user)
{
	struct frontend *fe = user;
	struct request_event ev = { .kind = REQUEST_PEER_MESSAGE,
				    .data = data,
				    .len = len };

	step_frontend(&fe->core, &ev, NULL);
}

void set_frontend_peers(struct frontend *fe, struct peers *ps)
{
	fe->peers = ps;
	set_peer_handler(ps, PEER_REQUESTS, on_peer_message, fe);
}

static void on_head(struct http_exchange *ex, const struct http_message *m,
		    void *data)
{
	struct listener *l = data;

	open_frontend_request(&l->frontend->core, l->service_id, ex, m);
}

static void on_body(struct http_exchange *ex, const char *part, size_t len,
		    void *data)
{
	(void)data;
	if (get_exchange_data(ex))
		handle_request_body(get_exchange_data(ex), part, len);
}

static void on_end(struct http_exchange *ex, void *data)
{
	(void)data;
	if (get_exchange_data(ex))
		handle_request_end(get_exchange_data(ex));
}

static void on_caller_left(struct http_exchange *ex, void *data)
{
	(void)data;
	if (get_exchange_data(ex))
		handle_caller_gone(get_exchange_data(ex));
}

static void on_drained(struct http_exchange *ex, void *data)
{
	(void)data;
	if (get_exchange_data(ex))
		handle_answer_drained(get_exchange_data(ex));
}

/*
 * If a part of the request was sent to an upstream, the request may have been
 * run, so its outcome is unknown.
 */
static void on_error(struct http_exchange *ex, unsigned int code,
		     struct http_message *answer)
{
	const struct frontend_request *fr = get_exchange_data(ex);
	enum outcome outcome = outcome_of_parse_error(code);

	if (fr && is_request_attempted(fr))
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

struct frontend *create_frontend(uv_loop_t *loop,
				 const struct settings *settings,
				 struct requests *requests)
{
	struct frontend *fe = g_new0(struct frontend, 1);

	fe->core.loop = loop;
	fe->core.requests = requests;
	fe->core.step = step_frontend;
	fe->core.pool = create_http_pool(loop, ANSWER_BODY_MAX_BYTES);
	fe->core.open_requests = g_hash_table_new(NULL, NULL);
	fe->settings = settings;
	uv_timer_init(loop, &fe->tick_timer);
	fe->tick_timer.data = fe;
	fe->listeners = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_listener);
	update_tick_timer(fe);
	return fe;
}

static struct endpoint listen_endpoint(const struct frontend *fe,
				       const struct service *sv)
{
	struct endpoint at = sv->address;

	if (!fe->settings->bind_service) {
		at = fe->settings->address;
		at.port = sv->address.port;
	}
	return at;
}

static void start_listener(struct frontend *fe, const struct service *sv)
{
	struct listener *l = g_new0(struct listener, 1);
	struct http_handler handler = { .on_caller_left = on_caller_left,
					.data = l,
					.on_head = on_head,
					.on_body = on_body,
					.on_end = on_end,
					.on_drained = on_drained,
					.on_error = on_error };
	char at[ENDPOINT_TEXT_MAX];
	struct status st;

	l->frontend = fe;
	l->service_id = sv->id;
	l->address = listen_endpoint(fe, sv);
	l->server = create_http_server(fe->core.loop, &l->address,
				       sv->max_body_bytes, &handler, &st);
	if (!l->server) {
		log_warning("service %s: %s", sv->name, st.message);
		g_free(l);
		return;
	}
	log_info("service %s: serving at %s", sv->name,
		 format_endpoint(&l->address, at));
	g_hash_table_insert(fe->listeners, &l->service_id, l);
}

static gboolean is_obsolete_listener(gpointer key, gpointer value,
				     gpointer data)
{
	const struct listener *l = value;
	const struct service *sv = find_service(data, l->service_id);
	struct endpoint at;

	(void)key;
	if (!sv || sv->kind != SERVICE_REQUESTS)
		return TRUE;
	at = listen_endpoint(l->frontend, sv);
	return !same_endpoint(&at, &l->address);
}

void set_frontend_snapshot(struct frontend *fe, const struct snapshot *sn)
{
	if (fe->stopping)
		return;
	g_hash_table_foreach_remove(fe->listeners, is_obsolete_listener,
				    (gpointer)sn);
	for (size_t i = 0; i < snapshot_service_count(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);

		if (sv->kind == SERVICE_REQUESTS &&
		    !g_hash_table_contains(fe->listeners, &sv->id))
			start_listener(fe, sv);
	}
}

void stop_frontend(struct frontend *fe)
{
	GHashTableIter it;
	gpointer l;

	struct request_event ev = { .kind = REQUEST_LEAVE };

	fe->stopping = true;
	step_frontend(&fe->core, &ev, NULL);
	g_hash_table_iter_init(&it, fe->listeners);
	while (g_hash_table_iter_next(&it, NULL, &l))
		stop_http_server(((struct listener *)l)->server);
}

/* Number of requests whose head has arrived and that are not answered. */
static size_t running_requests(const struct frontend *fe)
{
	GHashTableIter it;
	gpointer l;
	size_t n = 0;

	g_hash_table_iter_init(&it, fe->listeners);
	while (g_hash_table_iter_next(&it, NULL, &l))
		n += http_server_running_requests(
			((struct listener *)l)->server);
	return n;
}

bool is_frontend_idle(const struct frontend *fe)
{
	return open_request_count(fe->core.requests) == 0 &&
	       g_hash_table_size(fe->core.open_requests) == 0 &&
	       running_requests(fe) == 0;
}

static void on_ticks_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void destroy_frontend(struct frontend *fe)
{
	if (!fe)
		return;
	g_hash_table_destroy(fe->listeners);
	g_hash_table_destroy(fe->core.open_requests);
	destroy_http_pool(fe->core.pool);
	uv_close((uv_handle_t *)&fe->tick_timer, on_ticks_closed);
}
