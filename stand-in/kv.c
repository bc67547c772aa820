#include "stand-in/kv.h"

#include <glib.h>
#include <string.h>

#define HISTORY_MAX 100000 /* changes */

/* Keys and values are stored in base64, as received. */
struct record {
	char *key; /* decoded */
	char *key64;
	char *value64;
	uint64_t mod_revision;
	uint64_t lease;
};

struct change {
	struct record *record; /* a copy; value64 is NULL if deleted */
	uint64_t revision;
};

struct kv {
	GTree *records; /* key -> struct record */
	uint64_t revision;
	GQueue history;	    /* of struct change, oldest first */
	GHashTable *leases; /* id -> struct lease */
	uint64_t next_lease;
};

struct lease {
	uint64_t id;
	uint64_t ttl_s;
	uint64_t expires_ms;
};

static void free_record(gpointer item)
{
	struct record *r = item;

	g_free(r->key);
	g_free(r->key64);
	g_free(r->value64);
	g_free(r);
}

static void free_change(gpointer item)
{
	struct change *c = item;

	free_record(c->record);
	g_free(c);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct kv *create_kv(void)
{
	struct kv *kv = g_new0(struct kv, 1);

	kv->records = g_tree_new_full(compare_keys, NULL, NULL, free_record);
	kv->revision = 1;
	g_queue_init(&kv->history);
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	kv->next_lease = 1;
	return kv;
}

void destroy_kv(struct kv *kv)
{
	g_tree_destroy(kv->records);
	g_queue_clear_full(&kv->history, free_change);
	g_hash_table_destroy(kv->leases);
	g_free(kv);
}

uint64_t kv_revision(const struct kv *kv)
{
	return kv->revision;
}

static char *decode_base64(const json_t *j)
{
	const char *text = json_string_value(j);
	gsize len;
	guchar *raw;
	char *s;

	if (!text)
		return NULL;
	raw = g_base64_decode(text, &len);
	s = g_strndup((const char *)raw, len);
	g_free(raw);
	return s;
}

static char *decode_field(const json_t *j, const char *name)
{
	return decode_base64(json_object_get(j, name));
}

static json_t *uint_json(uint64_t v)
{
	return json_sprintf("%llu", (unsigned long long)v);
}

static uint64_t read_json_uint(const json_t *j)
{
	if (json_is_string(j))
		return g_ascii_strtoull(json_string_value(j), NULL, 10);
	return json_is_integer(j) ? (uint64_t)json_integer_value(j) : 0;
}

static json_t *header_json(const struct kv *kv)
{
	return json_pack("{s:o}", "revision", uint_json(kv->revision));
}

static json_t *record_json(const struct record *r)
{
	return json_pack("{s:s, s:s, s:o}", "key", r->key64, "value",
			 r->value64 ? r->value64 : "", "mod_revision",
			 uint_json(r->mod_revision));
}

struct range {
	const char *from;
	const char *end; /* exclusive; NULL: only the key FROM */
	size_t limit;	 /* 0: no limit */
	GPtrArray *found;
};

static bool is_in_range(const char *key, const char *from, const char *end)
{
	if (!end)
		return !strcmp(key, from);
	return strcmp(key, from) >= 0 && strcmp(key, end) < 0;
}

static gboolean add_in_range(gpointer key, gpointer value, gpointer data)
{
	struct range *r = data;

	if (is_in_range(key, r->from, r->end))
		g_ptr_array_add(r->found, value);
	return r->limit && r->found->len == r->limit;
}

/* The records in the range of BODY's key and range_end; NULL without a key. */
static GPtrArray *find_range(const struct kv *kv, const json_t *body)
{
	char *key = decode_field(body, "key");
	char *end = decode_field(body, "range_end");
	struct range r = { key, end,
			   read_json_uint(json_object_get(body, "limit")),
			   g_ptr_array_new() };

	if (key && end)
		g_tree_foreach(kv->records, add_in_range, &r);
	else if (key && g_tree_lookup(kv->records, key))
		g_ptr_array_add(r.found, g_tree_lookup(kv->records, key));
	if (!key) {
		g_ptr_array_free(r.found, TRUE);
		r.found = NULL;
	}
	g_free(key);
	g_free(end);
	return r.found;
}

static json_t *range_json(const struct kv *kv, const json_t *body)
{
	GPtrArray *found = find_range(kv, body);
	json_t *kvs = json_array();

	if (!found) {
		json_decref(kvs);
		return NULL;
	}
	for (guint i = 0; i < found->len; i++)
		json_array_append_new(kvs,
				      record_json(g_ptr_array_index(found, i)));
	g_ptr_array_free(found, TRUE);
	return json_pack("{s:o, s:o}", "header", header_json(kv), "kvs", kvs);
}

json_t *kv_range(struct kv *kv, const json_t *body)
{
	return range_json(kv, body);
}

static void record_change(struct kv *kv, const struct record *r, bool deleted)
{
	struct change *c = g_new0(struct change, 1);

	c->revision = kv->revision;
	c->record = g_memdup2(r, sizeof(*r));
	c->record->key = g_strdup(r->key);
	c->record->key64 = g_strdup(r->key64);
	c->record->value64 = deleted ? NULL : g_strdup(r->value64);
	g_queue_push_tail(&kv->history, c);
	if (g_queue_get_length(&kv->history) > HISTORY_MAX)
		free_change(g_queue_pop_head(&kv->history));
}

static bool comparison_holds(const struct kv *kv, const json_t *compare)
{
	char *key = decode_field(compare, "key");
	const struct record *r = key ? g_tree_lookup(kv->records, key) : NULL;
	uint64_t have = r ? r->mod_revision : 0;

	g_free(key);
	return have == read_json_uint(json_object_get(compare, "mod_revision"));
}

static void put_record(struct kv *kv, const json_t *op)
{
	struct record *r = g_new0(struct record, 1);

	r->key = decode_field(op, "key");
	r->key64 = g_strdup(json_string_value(json_object_get(op, "key")));
	r->value64 = g_strdup(json_string_value(json_object_get(op, "value")));
	if (!r->value64)
		r->value64 = g_strdup("");
	r->mod_revision = kv->revision;
	r->lease = read_json_uint(json_object_get(op, "lease"));
	if (!r->key) {
		free_record(r);
		return;
	}
	record_change(kv, r, false);
	g_tree_replace(kv->records, r->key, r);
}

static void delete_records(struct kv *kv, GPtrArray *found)
{
	for (guint i = 0; i < found->len; i++) {
		const struct record *r = g_ptr_array_index(found, i);

		record_change(kv, r, true);
		g_tree_remove(kv->records, r->key);
	}
	g_ptr_array_free(found, TRUE);
}

/* Applies OP, a part of a transaction; returns the gateway's answer to OP. */
static json_t *apply_operation(struct kv *kv, const json_t *op)
{
	const json_t *del = json_object_get(op, "request_delete_range");
	const json_t *get = json_object_get(op, "request_range");
	GPtrArray *found = del ? find_range(kv, del) : NULL;

	if (found)
		delete_records(kv, found);
	if (json_object_get(op, "request_put"))
		put_record(kv, json_object_get(op, "request_put"));
	if (get)
		return json_pack("{s:o}", "response_range",
				 range_json(kv, get));
	return json_object();
}

static bool has_write(const json_t *ops)
{
	for (size_t i = 0; i < json_array_size(ops); i++)
		if (!json_object_get(json_array_get(ops, i), "request_range"))
			return true;
	return false;
}

json_t *kv_txn(struct kv *kv, const json_t *body)
{
	const json_t *compares = json_object_get(body, "compare");
	const json_t *ops = json_object_get(body, "success");
	json_t *responses = json_array();
	bool ok = true;

	for (size_t i = 0; i < json_array_size(compares); i++)
		ok = ok && comparison_holds(kv, json_array_get(compares, i));
	if (ok && has_write(ops))
		kv->revision++;
	for (size_t i = 0; ok && i < json_array_size(ops); i++)
		json_array_append_new(
			responses, apply_operation(kv, json_array_get(ops, i)));
	return json_pack("{s:o, s:b, s:o}", "header", header_json(kv),
			 "succeeded", ok, "responses", responses);
}

static json_t *lease_json(const struct kv *kv, uint64_t id, uint64_t ttl_s)
{
	return json_pack("{s:o, s:o, s:o}", "header", header_json(kv), "ID",
			 uint_json(id), "TTL", uint_json(ttl_s));
}

json_t *kv_grant_lease(struct kv *kv, const json_t *body, uint64_t now_ms)
{
	struct lease *l = g_new0(struct lease, 1);

	l->id = kv->next_lease++;
	l->ttl_s = read_json_uint(json_object_get(body, "TTL"));
	l->expires_ms = now_ms + l->ttl_s * 1000;
	g_hash_table_insert(kv->leases, &l->id, l);
	return lease_json(kv, l->id, l->ttl_s);
}

json_t *kv_keep_lease_alive(struct kv *kv, const json_t *body, uint64_t now_ms)
{
	uint64_t id = read_json_uint(json_object_get(body, "ID"));
	struct lease *l = g_hash_table_lookup(kv->leases, &id);

	if (l)
		l->expires_ms = now_ms + l->ttl_s * 1000;
	return json_pack("{s:o}", "result",
			 lease_json(kv, id, l ? l->ttl_s : 0));
}

struct lease_search {
	uint64_t lease;
	GPtrArray *found;
};

static gboolean add_leased(gpointer key, gpointer value, gpointer data)
{
	const struct record *r = value;
	struct lease_search *s = data;

	(void)key;
	if (r->lease == s->lease)
		g_ptr_array_add(s->found, value);
	return FALSE;
}

static void end_lease(struct kv *kv, uint64_t id)
{
	struct lease_search s = { id, g_ptr_array_new() };

	g_tree_foreach(kv->records, add_leased, &s);
	if (s.found->len)
		kv->revision++;
	delete_records(kv, s.found);
	g_hash_table_remove(kv->leases, &id);
}

static void end_leases(struct kv *kv, uint64_t lease, uint64_t now_ms)
{
	GList *all = g_hash_table_get_values(kv->leases);

	for (GList *l = all; l; l = l->next) {
		const struct lease *at = l->data;

		if ((lease && at->id == lease) || at->expires_ms <= now_ms)
			end_lease(kv, at->id);
	}
	g_list_free(all);
}

void kv_expire(struct kv *kv, uint64_t now_ms)
{
	end_leases(kv, 0, now_ms);
}

void kv_end_leases(struct kv *kv, uint64_t lease)
{
	end_leases(kv, lease, lease ? 0 : UINT64_MAX);
}

static json_t *event_json(const struct change *c)
{
	json_t *j = json_pack("{s:o}", "kv", record_json(c->record));

	if (!c->record->value64)
		json_object_set_new(j, "type", json_string("DELETE"));
	return j;
}

json_t *kv_events(const struct kv *kv, const json_t *create, uint64_t *revision)
{
	char *key = decode_field(create, "key");
	char *end = decode_field(create, "range_end");
	json_t *events = json_array();

	for (GList *l = kv->history.tail; l; l = l->prev) {
		const struct change *c = l->data;

		if (c->revision < *revision)
			break;
		if (key && is_in_range(c->record->key, key, end))
			json_array_insert_new(events, 0, event_json(c));
	}
	g_free(key);
	g_free(end);
	if (*revision <= kv->revision)
		*revision = kv->revision + 1;
	if (json_array_size(events))
		return json_pack("{s:{s:o, s:o}}", "result", "header",
				 header_json(kv), "events", events);
	json_decref(events);
	return NULL;
}

static gboolean dump_record(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	json_array_append_new(data, record_json(value));
	return FALSE;
}

json_t *kv_to_json(const struct kv *kv)
{
	json_t *kvs = json_array();

	g_tree_foreach(kv->records, dump_record, kvs);
	return json_pack("{s:o, s:o}", "header", header_json(kv), "kvs", kvs);
}

void kv_from_json(struct kv *kv, const json_t *dump)
{
	const json_t *kvs = json_object_get(dump, "kvs");
	const json_t *header = json_object_get(dump, "header");

	g_tree_remove_all(kv->records);
	g_queue_clear_full(&kv->history, free_change);
	for (size_t i = 0; i < json_array_size(kvs); i++) {
		const json_t *j = json_array_get(kvs, i);

		kv->revision =
			read_json_uint(json_object_get(j, "mod_revision"));
		put_record(kv, j);
	}
	g_queue_clear_full(&kv->history, free_change);
	kv->revision = read_json_uint(json_object_get(header, "revision"));
}
