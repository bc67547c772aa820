/*
 * store-stand-in: the platform's key-value store for tests and the demo.
 * Implements the part of the etcd v3 JSON gateway that the system uses. Faults
 * are set by POST /stand-in/fault with a JSON object:
 *
 *	slow-ms N	answers are delayed by N milliseconds
 *	down BOOL	calls are dropped without an effect
 *	drop-after N	the next N writes are applied, but their connections
 *			are closed without an answer
 *	die-after BOOL	the next write is applied and saved to the file given
 *			on the command line; then the process exits
 *	silent-watch BOOL	watches deliver no events
 *	lapse-lease ID	ends a lease; 0 ends all
 *	save BOOL	saves a copy of all keys
 *	restore BOOL	restores that copy
 *
 * GET /stand-in/calls returns the number of calls so far; a watch counts once.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http-server.h"
#include "stand-in/kv.h"

#define BODY_MAX (8 * 1024 * 1024) /* bytes */
#define EXPIRE_INTERVAL_MS 100	   /* of leases */

struct faults {
	uint64_t slow_ms;
	bool down;
	uint64_t drop_after;
	bool die_after;
	bool silent_watch;
};

struct server {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct kv *kv;
	struct faults faults;
	json_t *saved;	  /* copy of all keys, or NULL */
	const char *file; /* to load at the start; NULL: none */
	GHashTable *watches;
	uint64_t calls;
};

struct watch {
	struct server *s;
	struct http_exchange *ex;
	json_t *create;	   /* the create_request */
	uint64_t revision; /* first revision not delivered yet */
};

/* An answer delayed by slow-ms. */
struct delayed_answer {
	uv_timer_t timer;
	struct http_exchange *ex; /* NULL: the caller disconnected */
	struct http_message *answer;
};

/* What an exchange waits for: events of a watch, or a delayed answer. */
struct pending {
	struct watch *watch;
	struct delayed_answer *delayed;
};

static struct http_message *json_answer(const json_t *j)
{
	struct http_message *m = create_http_message();
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	m->code = text ? 200 : 400;
	set_http_body(m, text ? text : "{}");
	free(text);
	return m;
}

static void free_delayed_answer(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_delay_over(uv_timer_t *timer)
{
	struct delayed_answer *delayed = timer->data;

	if (delayed->ex) {
		g_free(get_exchange_data(delayed->ex));
		set_exchange_data(delayed->ex, NULL);
		answer_http(delayed->ex, delayed->answer);
	} else {
		destroy_http_message(delayed->answer);
	}
	uv_close((uv_handle_t *)timer, free_delayed_answer);
}

static void answer(struct server *s, struct http_exchange *ex, const json_t *j)
{
	struct http_message *m = json_answer(j);
	struct pending *p;

	if (!s->faults.slow_ms) {
		answer_http(ex, m);
		return;
	}
	p = g_new0(struct pending, 1);
	p->delayed = g_new0(struct delayed_answer, 1);
	p->delayed->ex = ex;
	p->delayed->answer = m;
	set_exchange_data(ex, p);
	uv_timer_init(s->loop, &p->delayed->timer);
	p->delayed->timer.data = p->delayed;
	uv_timer_start(&p->delayed->timer, on_delay_over, s->faults.slow_ms, 0);
}

static void send_line(struct http_exchange *ex, const json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *chunk =
		g_strdup_printf("%zx\r\n%s\n\r\n", strlen(text) + 1, text);

	write_http_unframed(ex, chunk, strlen(chunk));
	g_free(chunk);
	free(text);
}

static void deliver_events(struct watch *w)
{
	json_t *events = kv_events(w->s->kv, w->create, &w->revision);

	if (events && !w->s->faults.silent_watch)
		send_line(w->ex, events);
	json_decref(events);
}

static void deliver_all_events(struct server *s)
{
	GHashTableIter it;
	gpointer w;

	g_hash_table_iter_init(&it, s->watches);
	while (g_hash_table_iter_next(&it, &w, NULL))
		deliver_events(w);
}

static void start_watch(struct server *s, struct http_exchange *ex,
			const json_t *body)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Type: application/json\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	struct watch *w = g_new0(struct watch, 1);
	struct pending *p = g_new0(struct pending, 1);
	const char *from;
	json_t *created;

	w->s = s;
	w->ex = ex;
	w->create = json_incref(json_object_get(body, "create_request"));
	from = json_string_value(json_object_get(w->create, "start_revision"));
	w->revision = from ? strtoull(from, NULL, 10) : kv_revision(s->kv) + 1;
	p->watch = w;
	set_exchange_data(ex, p);
	g_hash_table_add(s->watches, w);
	write_http_unframed(ex, head, strlen(head));
	created =
		json_pack("{s:{s:{s:I}, s:b}}", "result", "header", "revision",
			  (json_int_t)kv_revision(s->kv), "created", 1);
	send_line(ex, created);
	json_decref(created);
	deliver_events(w);
}

static void on_caller_left(struct http_exchange *ex, void *data)
{
	struct pending *p = get_exchange_data(ex);
	struct server *s = data;

	if (!p)
		return;
	if (p->delayed)
		p->delayed->ex = NULL;
	if (p->watch) {
		g_hash_table_remove(s->watches, p->watch);
		json_decref(p->watch->create);
		g_free(p->watch);
	}
	g_free(p);
}

static void load_saved(struct server *s)
{
	if (s->saved)
		kv_from_json(s->kv, s->saved);
}

static void set_fault(struct server *s, const char *name, const json_t *value)
{
	uint64_t n = (uint64_t)json_integer_value(value);
	bool on = json_is_true(value);

	if (!strcmp(name, "slow-ms"))
		s->faults.slow_ms = n;
	else if (!strcmp(name, "down"))
		s->faults.down = on;
	else if (!strcmp(name, "drop-after"))
		s->faults.drop_after = n;
	else if (!strcmp(name, "die-after"))
		s->faults.die_after = on;
	else if (!strcmp(name, "silent-watch"))
		s->faults.silent_watch = on;
	else if (!strcmp(name, "lapse-lease"))
		kv_end_leases(s->kv, n);
	else if (!strcmp(name, "restore"))
		load_saved(s);
	else if (!strcmp(name, "save")) {
		json_decref(s->saved);
		s->saved = kv_to_json(s->kv);
	}
}

static void set_faults(struct server *s, struct http_exchange *ex, json_t *body)
{
	json_t *done = json_object();
	const char *name;
	const json_t *value;

	json_object_foreach(body, name, value) set_fault(s, name, value);
	answer_http(ex, json_answer(done));
	json_decref(done);
}

static void answer_call_count(const struct server *s, struct http_exchange *ex)
{
	json_t *j = json_pack("{s:I}", "calls", (json_int_t)s->calls);

	answer_http(ex, json_answer(j));
	json_decref(j);
}

static json_t *handle_kv_call(struct server *s, const char *target,
			      const json_t *body)
{
	uint64_t now = uv_now(s->loop);

	if (!strcmp(target, "/v3/kv/range"))
		return kv_range(s->kv, body);
	if (!strcmp(target, "/v3/kv/txn"))
		return kv_txn(s->kv, body);
	if (!strcmp(target, "/v3/lease/grant"))
		return kv_grant_lease(s->kv, body, now);
	if (!strcmp(target, "/v3/lease/keepalive"))
		return kv_keep_lease_alive(s->kv, body, now);
	return NULL;
}

static void exit_saving_state(const struct server *s)
{
	json_t *dump = kv_to_json(s->kv);

	if (s->file)
		json_dump_file(dump, s->file, JSON_COMPACT);
	json_decref(dump);
	_Exit(0);
}

static void handle_call(struct server *s, struct http_exchange *ex,
			const char *target, const json_t *body)
{
	uint64_t before = kv_revision(s->kv);
	json_t *j = handle_kv_call(s, target, body);
	bool written = kv_revision(s->kv) != before;

	if (written && s->faults.die_after)
		exit_saving_state(s);
	if (written)
		deliver_all_events(s);
	if (written && s->faults.drop_after) {
		s->faults.drop_after--;
		close_http_exchange(ex);
	} else {
		answer(s, ex, j);
	}
	json_decref(j);
}

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct server *s = data;
	json_t *body =
		json_loadb((const char *)m->body->data, m->body->len, 0, NULL);

	if (!strcmp(m->target, "/stand-in/fault")) {
		set_faults(s, ex, body);
	} else if (!strcmp(m->target, "/stand-in/calls")) {
		answer_call_count(s, ex);
	} else if (s->faults.down) {
		close_http_exchange(ex);
	} else {
		s->calls++;
		if (!strcmp(m->target, "/v3/watch"))
			start_watch(s, ex, body);
		else
			handle_call(s, ex, m->target, body);
	}
	json_decref(body);
}

static void on_expire_timer(uv_timer_t *timer)
{
	struct server *s = timer->data;
	uint64_t before = kv_revision(s->kv);

	kv_expire(s->kv, uv_now(s->loop));
	if (kv_revision(s->kv) != before)
		deliver_all_events(s);
}

static void load_file(const struct server *s)
{
	json_t *dump = json_load_file(s->file, 0, NULL);

	if (dump)
		kv_from_json(s->kv, dump);
	json_decref(dump);
}

int main(int argc, char **argv)
{
	static struct server s;
	struct http_handler handler = { .on_request = on_request,
					.on_caller_left = on_caller_left,
					.data = &s };
	struct endpoint at;
	struct status st;

	s.loop = uv_default_loop();
	s.kv = create_kv();
	s.watches = g_hash_table_new(NULL, NULL);
	if ((argc != 2 && argc != 3) ||
	    parse_endpoint(argv[1], &at, &st) != STATUS_OK ||
	    !create_http_server(s.loop, &at, BODY_MAX, &handler, &st)) {
		fprintf(stderr, "usage: store-stand-in ADDRESS:PORT [FILE]\n");
		return 1;
	}
	s.file = argc == 3 ? argv[2] : NULL;
	if (s.file)
		load_file(&s);
	uv_timer_init(s.loop, &s.timer);
	s.timer.data = &s;
	uv_timer_start(&s.timer, on_expire_timer, EXPIRE_INTERVAL_MS,
		       EXPIRE_INTERVAL_MS);
	return uv_run(s.loop, UV_RUN_DEFAULT);
}
