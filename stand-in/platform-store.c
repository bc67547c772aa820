/*
 * platform-store-stand-in: the users' metadata store for tests, in memory, at
 * ADDRESS:PORT. Implements the protocol of platform/store-client.c, and:
 *
 *   PUT /entry?KEY      sets KEY to the body, as operators and upstreams do
 *   DELETE /entry?KEY   deletes KEY
 *   POST /fault/WORD    fault of all further calls: well (none), busy (503),
 *                       silent (no answer), lossy (writes are applied but not
 *                       answered), forget (deletes the history, once; the
 *                       current fault stays), copy (copies the content),
 *                       restore (comes back from that copy, in the next era),
 *                       stale (calls are answered as before the restore, by
 *                       the era before, until "well"), bad-era (answers
 *                       have an era that is not a number), odd (all
 *                       further reads also have items that can't be read; the
 *                       current fault stays), huge (like odd, and all further
 *                       events are longer than clients read)
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http-server.h"

#define BODY_MAX (2 * 1024 * 1024) /* bytes */
#define TICK_MS 20
#define LAPSE_MS 3600 /* three heartbeats of an upstream */

enum fault {
	FAULT_NONE,
	FAULT_BUSY,
	FAULT_SILENT,
	FAULT_LOSSY,
	FAULT_STALE,
	FAULT_BAD_ERA
};

struct lease {
	uint64_t id;
	uint64_t ttl_ms;
	uint64_t expires_ms; /* loop time */
};

/* A long poll for changes after AFTER_REVISION. */
struct pending_watch {
	struct http_exchange *ex;
	char *prefix;
	json_int_t after_revision;
	uint64_t until_ms; /* loop time */
};

struct platform_stand_in {
	uv_loop_t *loop;
	uv_timer_t timer;
	json_t *items;	 /* key -> item */
	json_t *history; /* events, oldest first */
	json_int_t revision;
	json_int_t forgotten_revision; /* no history up to this revision */
	uint64_t last_lease_id;
	GList *leases;		/* of struct lease */
	GList *pending_watches; /* of struct pending_watch */
	enum fault fault;
	json_int_t era;
	/* content to come back from, and the content before that */
	json_t *copy;
	json_t *before;
	json_int_t copy_revision;
	json_int_t before_revision;
	json_t *unconfirmed; /* upstreams' keys not written since the restore */
	uint64_t lapse_at_ms; /* when these lapse; loop time */
};

static json_int_t answered_era; /* of the answers given now; -1: unreadable */
static bool adds_odd_items;	/* to the answers given now */
static size_t odd_event_depth = 100000; /* nesting of such an event */

/* TEXT, an answer, with items that can't be read put before those of LIST. */
static char *insert_odd_items(char *text, const char *list, size_t depth)
{
	static const char odd[] =
		"{\"key\":\"servers/\\u0000\",\"value\":\"\",\"rev\":1},"
		"{\"key\":\"servers/\\ud800\",\"value\":\"\",\"rev\":1},"
		"{\"key\":\"servers/\xff\",\"value\":\"\",\"rev\":1},"
		"{\"key\":\"servers/n\",\"value\":\"\",\"rev\":1e400},"
		"{\"key\":\"servers/v\",\"value\":{},\"rev\":1},"
		"{\"value\":\"\",\"rev\":1},{},null";
	const char *at = strstr(text, list);
	const char *rest;
	char *deep;
	char *whole;

	if (!at)
		return text;
	rest = at + strlen(list);
	deep = g_strnfill(depth, '[');
	whole = g_strdup_printf("%.*s{\"key\":%s", (int)(rest - text), text,
				deep);
	g_free(deep);
	deep = g_strnfill(depth, ']');
	at = g_strconcat(whole, deep, "},", odd, *rest == ']' ? "" : ",", rest,
			 NULL);
	g_free(deep);
	g_free(whole);
	free(text);
	return (char *)at;
}

static void reply(struct http_exchange *ex, unsigned int code, json_t *j)
{
	struct http_message *m = create_http_message();
	char *text = json_dumps(j, JSON_COMPACT);
	char era[24];

	if (adds_odd_items) {
		text = insert_odd_items(text, "\"items\":[", 100000);
		text = insert_odd_items(text, "\"events\":[", odd_event_depth);
	}
	m->code = code;
	if (answered_era < 0)
		g_strlcpy(era, "soon", sizeof(era));
	else
		g_snprintf(era, sizeof(era), "%lld", (long long)answered_era);
	add_http_header(m, "Store-Era", era);
	add_http_header(m, "Content-Type", "application/json");
	set_http_body(m, text);
	free(text);
	json_decref(j);
	answer_http(ex, m);
}

static void reply_error(struct http_exchange *ex, unsigned int code,
			const char *why)
{
	reply(ex, code, json_pack("{s:s}", "error", why));
}

/* The unescaped value of NAME in the query of TARGET, or NULL. */
static char *query_value(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **parts = g_strsplit(query ? query + 1 : "", "&", -1);
	size_t n = strlen(name);
	char *value = NULL;

	for (char **p = parts; *p && !value; p++)
		if (!strncmp(*p, name, n) && (*p)[n] == '=')
			value = g_uri_unescape_string(*p + n + 1, NULL);
	g_strfreev(parts);
	return value;
}

static json_int_t query_number(const char *target, const char *name)
{
	char *text = query_value(target, name);
	json_int_t n = text ? atoll(text) : 0;

	g_free(text);
	return n;
}

static void put_item(struct platform_stand_in *s, const char *key,
		     const char *value, json_int_t lease)
{
	const json_t *old = json_object_get(s->items, key);
	json_int_t created =
		old ? json_integer_value(json_object_get(old, "createRev"))
		    : s->revision;
	json_t *item = json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key,
				 "value", value, "rev", s->revision,
				 "createRev", created, "lease", lease);

	json_object_set(s->items, key, item);
	json_array_append_new(s->history, item);
}

static void remove_item(struct platform_stand_in *s, const char *key)
{
	if (json_object_del(s->items, key))
		return;
	json_array_append_new(s->history,
			      json_pack("{s:s, s:I, s:b}", "key", key, "rev",
					s->revision, "removed", 1));
}

static bool has_prefix(const json_t *item, const char *prefix)
{
	const char *key = json_string_value(json_object_get(item, "key"));

	return !strncmp(key, prefix, strlen(prefix));
}

/* Events after revision AFTER under PREFIX, in a new array. */
static json_t *events_after(const struct platform_stand_in *s,
			    const char *prefix, json_int_t after)
{
	json_t *list = json_array();
	json_t *ev;
	size_t i;

	json_array_foreach(s->history, i, ev)
	{
		if (json_integer_value(json_object_get(ev, "rev")) > after &&
		    has_prefix(ev, prefix))
			json_array_append(list, ev);
	}
	return list;
}

static void free_pending_watch(struct pending_watch *w)
{
	g_free(w->prefix);
	g_free(w);
}

/* Answers watches with events, those timed out and those without history. */
static void answer_ready_watches(struct platform_stand_in *s)
{
	GList *next;

	for (GList *l = s->pending_watches; l; l = next) {
		struct pending_watch *w = l->data;
		json_t *events;

		next = l->next;
		if (s->fault == FAULT_SILENT)
			continue;
		if (w->after_revision < s->forgotten_revision ||
		    w->after_revision > s->revision) {
			reply_error(w->ex, 410, "history is gone");
		} else {
			events = events_after(s, w->prefix, w->after_revision);
			if (!json_array_size(events) &&
			    uv_now(s->loop) < w->until_ms) {
				json_decref(events);
				continue;
			}
			reply(w->ex, 200,
			      json_pack("{s:o, s:I}", "events", events,
					"storeRevision", s->revision));
		}
		s->pending_watches = g_list_delete_link(s->pending_watches, l);
		free_pending_watch(w);
	}
}

static void on_caller_left(struct http_exchange *ex, void *data)
{
	struct platform_stand_in *s = data;

	for (GList *l = s->pending_watches; l; l = l->next) {
		struct pending_watch *w = l->data;

		if (w->ex != ex)
			continue;
		s->pending_watches = g_list_delete_link(s->pending_watches, l);
		free_pending_watch(w);
		return;
	}
}

static void handle_watch(struct platform_stand_in *s, struct http_exchange *ex,
			 const char *target)
{
	struct pending_watch *w = g_new0(struct pending_watch, 1);

	w->ex = ex;
	w->prefix = query_value(target, "prefix");
	if (!w->prefix)
		w->prefix = g_strdup("");
	w->after_revision = query_number(target, "after");
	w->until_ms =
		uv_now(s->loop) + (uint64_t)query_number(target, "waitMs");
	s->pending_watches = g_list_append(s->pending_watches, w);
	answer_ready_watches(s);
}

static void handle_range(const struct platform_stand_in *s,
			 struct http_exchange *ex, const char *target)
{
	char *prefix = query_value(target, "prefix");
	json_t *items = json_array();
	const char *key;
	json_t *item;

	json_object_foreach(s->items, key, item)
	{
		if (has_prefix(item, prefix ? prefix : ""))
			json_array_append(items, item);
	}
	g_free(prefix);
	reply(ex, 200,
	      json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0,
			"storeRevision", s->revision));
}

static struct lease *find_lease(const struct platform_stand_in *s, uint64_t id)
{
	for (GList *l = s->leases; l; l = l->next)
		if (((struct lease *)l->data)->id == id)
			return l->data;
	return NULL;
}

/* Answers a write, unless the fault is "lossy". */
static void reply_write(const struct platform_stand_in *s,
			struct http_exchange *ex, json_t *j)
{
	if (s->fault == FAULT_LOSSY) {
		json_decref(j);
		close_http_exchange(ex);
	} else {
		reply(ex, 200, j);
	}
}

static void handle_txn(struct platform_stand_in *s, struct http_exchange *ex,
		       const json_t *body)
{
	const json_t *puts = json_object_get(body, "puts");
	json_t *put;
	size_t i;

	json_array_foreach(puts, i, put)
	{
		json_int_t lease =
			json_integer_value(json_object_get(put, "lease"));

		if (!lease || find_lease(s, (uint64_t)lease))
			continue;
		reply_error(ex, 404, "no such lease");
		return;
	}
	s->revision++;
	json_array_foreach(puts, i, put)
	{
		put_item(s, json_string_value(json_object_get(put, "key")),
			 json_string_value(json_object_get(put, "value")),
			 json_integer_value(json_object_get(put, "lease")));
	}
	reply_write(s, ex, json_pack("{s:I}", "rev", s->revision));
	answer_ready_watches(s);
}

static void handle_lease_grant(struct platform_stand_in *s,
			       struct http_exchange *ex, const json_t *body)
{
	struct lease *l = g_new0(struct lease, 1);

	l->id = ++s->last_lease_id;
	l->ttl_ms =
		(uint64_t)json_integer_value(json_object_get(body, "ttlMs"));
	l->expires_ms = uv_now(s->loop) + l->ttl_ms;
	s->leases = g_list_append(s->leases, l);
	reply_write(s, ex,
		    json_pack("{s:I, s:I}", "lease", (json_int_t)l->id, "ttlMs",
			      (json_int_t)l->ttl_ms));
}

static void handle_keepalive(struct platform_stand_in *s,
			     struct http_exchange *ex, const char *target)
{
	struct lease *l = find_lease(s, (uint64_t)atoll(target + 9));

	if (!l) {
		reply_error(ex, 404, "no such lease");
		return;
	}
	l->expires_ms = uv_now(s->loop) + l->ttl_ms;
	reply_write(s, ex, json_pack("{s:I}", "ttlMs", (json_int_t)l->ttl_ms));
}

/* The text without the field that counts writings. */
static char *without_count(const char *base64)
{
	gsize len;
	guchar *text = g_base64_decode(base64, &len);
	json_t *j = json_loadb((const char *)text, len, 0, NULL);
	char *out;

	json_object_del(j, "seq");
	out = j ? json_dumps(j, JSON_SORT_KEYS) : NULL;
	json_decref(j);
	g_free(text);
	return out;
}

/*
 * True if KEY has this value already, or one that counts fewer writings; such a
 * heartbeat is not a change.
 */
static bool is_unchanged(const struct platform_stand_in *s, const char *key,
			 const char *value)
{
	const json_t *old = json_object_get(s->items, key);
	const char *had = json_string_value(json_object_get(old, "value"));
	bool same = false;

	if (had) {
		char *before = without_count(had);
		char *after = without_count(value);

		same = before && after && !strcmp(before, after);
		free(before);
		free(after);
	}
	return same;
}

static void handle_entry(struct platform_stand_in *s, struct http_exchange *ex,
			 const struct http_message *m)
{
	const char *key = strchr(m->target, '?');
	char *value;

	if (!key || !key[1]) {
		reply_error(ex, 400, "PUT or DELETE /entry?KEY");
		return;
	}
	if (s->unconfirmed)
		json_object_del(s->unconfirmed, key + 1);
	if (m->method == HTTP_DELETE) {
		s->revision++;
		remove_item(s, key + 1);
	} else {
		value = g_base64_encode(m->body->data, m->body->len);
		if (!is_unchanged(s, key + 1, value)) {
			s->revision++;
			put_item(s, key + 1, value, 0);
		}
		g_free(value);
	}
	reply(ex, 200, json_pack("{s:I}", "rev", s->revision));
	answer_ready_watches(s);
}

/* Upstreams that do not write again within LAPSE_MS lapse. */
static void note_unconfirmed(struct platform_stand_in *s)
{
	const char *key;
	json_t *item;

	json_decref(s->unconfirmed);
	s->unconfirmed = json_object();
	s->lapse_at_ms = uv_now(s->loop) + LAPSE_MS;
	json_object_foreach(s->items, key, item)
	{
		if (g_str_has_prefix(key, "servers/"))
			json_object_set_new(s->unconfirmed, key, json_true());
	}
}

static void expire_unconfirmed(struct platform_stand_in *s)
{
	const char *key;
	json_t *item;

	if (!s->unconfirmed || uv_now(s->loop) < s->lapse_at_ms)
		return;
	json_object_foreach(s->unconfirmed, key, item)
	{
		s->revision++;
		remove_item(s, key);
	}
	json_decref(s->unconfirmed);
	s->unconfirmed = NULL;
}

/* Comes back from the copy: what was written since is gone, leases too. */
static void restore_copy(struct platform_stand_in *s)
{
	GList *watches;

	if (!s->copy)
		return;
	json_decref(s->before);
	s->before = s->items;
	s->before_revision = s->revision;
	s->items = json_deep_copy(s->copy);
	s->revision = s->copy_revision;
	s->forgotten_revision = s->revision;
	json_array_clear(s->history);
	g_list_free_full(s->leases, g_free);
	s->leases = NULL;
	s->last_lease_id = 0;
	s->era++;
	note_unconfirmed(s);
	answered_era = s->era;
	/* calls under way are cut: nobody tells them what became of them */
	watches = g_steal_pointer(&s->pending_watches);
	for (GList *l = watches; l; l = l->next) {
		struct pending_watch *w = l->data;

		close_http_exchange(w->ex);
		free_pending_watch(w);
	}
	g_list_free(watches);
}

static void handle_fault(struct platform_stand_in *s, struct http_exchange *ex,
			 const char *word)
{
	static const char *const words[] = { "well",  "busy",  "silent",
					     "lossy", "stale", "bad-era" };

	if (!strcmp(word, "forget")) {
		s->forgotten_revision = s->revision;
		json_array_clear(s->history);
	}
	if (!strcmp(word, "copy")) {
		json_decref(s->copy);
		s->copy = json_deep_copy(s->items);
		s->copy_revision = s->revision;
	}
	if (!strcmp(word, "restore"))
		restore_copy(s);
	if (!strcmp(word, "huge"))
		odd_event_depth = 5000000;
	adds_odd_items |= !strcmp(word, "odd") || !strcmp(word, "huge");
	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		if (!strcmp(word, words[i]))
			s->fault = (enum fault)i;
	answered_era = s->fault == FAULT_STALE	   ? s->era - 1
		       : s->fault == FAULT_BAD_ERA ? -1
						   : s->era;
	reply(ex, 200, json_object());
	answer_ready_watches(s);
}

/* A read that is answered with the content before the restore. */
static bool answer_stale_read(struct platform_stand_in *s,
			      struct http_exchange *ex, const char *target)
{
	json_t *items = s->items;
	json_int_t revision = s->revision;

	if (s->fault != FAULT_STALE || !s->before ||
	    !g_str_has_prefix(target, "/kv-range?"))
		return false;
	s->items = s->before;
	s->revision = s->before_revision;
	handle_range(s, ex, target);
	s->items = items;
	s->revision = revision;
	return true;
}

static void handle_call(struct platform_stand_in *s, struct http_exchange *ex,
			const struct http_message *m)
{
	json_t *body =
		json_loadb((const char *)m->body->data, m->body->len, 0, NULL);

	if (answer_stale_read(s, ex, m->target)) {
		json_decref(body);
		return;
	}
	if (g_str_has_prefix(m->target, "/kv-range?"))
		handle_range(s, ex, m->target);
	else if (g_str_has_prefix(m->target, "/kv-watch?"))
		handle_watch(s, ex, m->target);
	else if (!strcmp(m->target, "/kv-txn"))
		handle_txn(s, ex, body);
	else if (!strcmp(m->target, "/kv-lease"))
		handle_lease_grant(s, ex, body);
	else if (g_str_has_prefix(m->target, "/kv-keep/"))
		handle_keepalive(s, ex, m->target);
	else
		reply_error(ex, 404, "no such call");
	json_decref(body);
}

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct platform_stand_in *s = data;

	if (g_str_has_prefix(m->target, "/entry"))
		handle_entry(s, ex, m);
	else if (g_str_has_prefix(m->target, "/fault/"))
		handle_fault(s, ex, m->target + strlen("/fault/"));
	else if (s->fault == FAULT_BUSY)
		reply_error(ex, 503, "busy");
	else if (s->fault != FAULT_SILENT)
		handle_call(s, ex, m);
}

/* Ends expired leases and deletes their keys. */
static void expire_leases(struct platform_stand_in *s)
{
	GList *next;

	for (GList *l = s->leases; l; l = next) {
		struct lease *le = l->data;
		const char *key;
		json_t *item;
		void *tmp;

		next = l->next;
		if (uv_now(s->loop) < le->expires_ms)
			continue;
		s->revision++;
		json_object_foreach_safe(s->items, tmp, key, item)
		{
			if ((uint64_t)json_integer_value(
				    json_object_get(item, "lease")) == le->id)
				remove_item(s, key);
		}
		s->leases = g_list_delete_link(s->leases, l);
		g_free(le);
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct platform_stand_in *s = timer->data;

	expire_leases(s);
	expire_unconfirmed(s);
	answer_ready_watches(s);
}

int main(int argc, char **argv)
{
	struct platform_stand_in s = { .revision = 1, .era = 1 };
	struct http_handler handler = { .on_request = on_request,
					.on_caller_left = on_caller_left,
					.data = &s };
	struct endpoint at;
	struct status st;

	if (argc != 2 || parse_endpoint(argv[1], &at, &st) != STATUS_OK) {
		fprintf(stderr, "usage: platform-store-stand-in "
				"ADDRESS:PORT\n");
		return 1;
	}
	answered_era = s.era;
	s.loop = uv_default_loop();
	s.items = json_object();
	s.history = json_array();
	if (!create_http_server(s.loop, &at, BODY_MAX, &handler, &st)) {
		fprintf(stderr, "platform-store-stand-in: %s\n", st.message);
		return 1;
	}
	uv_timer_init(s.loop, &s.timer);
	s.timer.data = &s;
	uv_timer_start(&s.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(s.loop, UV_RUN_DEFAULT);
}
