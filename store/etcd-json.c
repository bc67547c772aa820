#include "store/etcd-json.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

static json_t *base64_bytes_json(const void *data, size_t len)
{
	char *text = g_base64_encode(data, len);
	json_t *j = json_string(text);

	g_free(text);
	return j;
}

static json_t *base64_text_json(const char *text)
{
	return base64_bytes_json(text, strlen(text));
}

static json_t *uint_json(uint64_t v)
{
	return json_sprintf("%llu", (unsigned long long)v);
}

static char *dump_and_free(json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text;
}

/* {"key": ..., "range_end": ...} */
static json_t *keys_json(const char *key, const char *end)
{
	json_t *j = json_pack("{s:o}", "key", base64_text_json(key));

	if (end)
		json_object_set_new(j, "range_end", base64_text_json(end));
	return j;
}

char *write_range_json(const struct store_range *r)
{
	json_t *j = keys_json(r->key, r->end);

	if (r->limit)
		json_object_set_new(j, "limit", uint_json(r->limit));
	return dump_and_free(j);
}

char *write_watch_json(const struct store_range *r, uint64_t revision)
{
	json_t *j = keys_json(r->key, r->end);

	json_object_set_new(j, "start_revision", uint_json(revision));
	return dump_and_free(json_pack("{s:o}", "create_request", j));
}

char *write_grant_json(uint32_t ttl_s)
{
	return dump_and_free(json_pack("{s:o}", "TTL", uint_json(ttl_s)));
}

char *write_lease_json(uint64_t lease)
{
	return dump_and_free(json_pack("{s:o}", "ID", uint_json(lease)));
}

static json_t *comparison_json(const struct store_compare *c)
{
	return json_pack("{s:o, s:s, s:s, s:o}", "key",
			 base64_text_json(c->key), "target", "MOD", "result",
			 "EQUAL", "mod_revision", uint_json(c->mod_revision));
}

static json_t *op_json(const struct store_op *op)
{
	json_t *put;

	if (op->kind == STORE_DELETE)
		return json_pack("{s:o}", "request_delete_range",
				 keys_json(op->key, op->end));
	if (op->kind == STORE_GET)
		return json_pack("{s:o}", "request_range",
				 keys_json(op->key, op->end));
	put = json_pack("{s:o, s:o}", "key", base64_text_json(op->key), "value",
			base64_bytes_json(op->value, op->len));
	if (op->lease_id)
		json_object_set_new(put, "lease", uint_json(op->lease_id));
	return json_pack("{s:o}", "request_put", put);
}

char *write_txn_json(const struct store_txn *txn)
{
	json_t *compares = json_array();
	json_t *ops = json_array();

	for (size_t i = 0; i < txn->compare_nr; i++)
		json_array_append_new(compares,
				      comparison_json(&txn->compares[i]));
	for (size_t i = 0; i < txn->op_nr; i++)
		json_array_append_new(ops, op_json(&txn->ops[i]));
	return dump_and_free(
		json_pack("{s:o, s:o}", "compare", compares, "success", ops));
}

/* The gateway writes 64-bit numbers as strings; plain numbers work too. */
static uint64_t json_uint(const json_t *j)
{
	if (json_is_string(j))
		return g_ascii_strtoull(json_string_value(j), NULL, 10);
	return json_is_integer(j) ? (uint64_t)json_integer_value(j) : 0;
}

/* False if J is malformed. E has no key if that has a NUL. */
static bool read_entry(const json_t *j, struct store_entry *e)
{
	const char *key = json_string_value(json_object_get(j, "key"));
	const char *value = json_string_value(json_object_get(j, "value"));
	gsize len;
	guchar *raw;

	memset(e, 0, sizeof(*e));
	if (!key)
		return false;
	raw = g_base64_decode(key, &len);
	/* its text ends at a NUL, where it may be the key of another entry */
	if (!memchr(raw, '\0', len))
		e->key = g_strndup((const char *)raw, len);
	g_free(raw);
	e->value = g_base64_decode(value ? value : "", &len);
	e->len = len;
	e->mod_revision = json_uint(json_object_get(j, "mod_revision"));
	e->lease_id = json_uint(json_object_get(j, "lease"));
	return true;
}

/* Counts E, which was read to the end of A's entries, unless it has no key. */
static void add_read_entry(struct store_answer *a, const struct store_entry *e)
{
	if (e->key) {
		a->entry_nr++;
		return;
	}
	g_free(e->value);
	a->unreadable_nr++;
}

/* Appends the entries in KVS to A; false if one is malformed. */
static bool add_entries(const json_t *kvs, struct store_answer *a)
{
	size_t n = json_array_size(kvs);

	a->entries =
		g_renew(struct store_entry, a->entries, a->entry_nr + n + 1);
	for (size_t i = 0; i < n; i++) {
		if (!read_entry(json_array_get(kvs, i),
				&a->entries[a->entry_nr]))
			return false;
		add_read_entry(a, &a->entries[a->entry_nr]);
	}
	return true;
}

/* Appends the entries that the gets of a transaction returned. */
static bool add_responses(const json_t *responses, struct store_answer *a)
{
	bool ok = true;

	for (size_t i = 0; ok && i < json_array_size(responses); i++) {
		const json_t *range = json_object_get(
			json_array_get(responses, i), "response_range");

		if (range)
			ok = add_entries(json_object_get(range, "kvs"), a);
	}
	return ok;
}

static bool read_header(const json_t *root, struct store_answer *a)
{
	const json_t *header = json_object_get(root, "header");

	a->revision = json_uint(json_object_get(header, "revision"));
	return json_is_object(header);
}

static enum status_kind set_read_status(bool ok, struct store_answer *a)
{
	if (ok)
		return STATUS_OK;
	return set_status(&a->status, STATUS_CORRUPT,
			  "the store's answer is malformed");
}

enum status_kind read_kv_json(const char *text, size_t len,
			      struct store_answer *a)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	bool ok;

	memset(a, 0, sizeof(*a));
	ok = read_header(root, a) &&
	     add_entries(json_object_get(root, "kvs"), a) &&
	     add_responses(json_object_get(root, "responses"), a);
	a->succeeded = json_is_true(json_object_get(root, "succeeded"));
	json_decref(root);
	return set_read_status(ok, a);
}

static bool add_event(const json_t *event, struct store_answer *a)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	struct store_entry *e;

	a->entries = g_renew(struct store_entry, a->entries, a->entry_nr + 1);
	e = &a->entries[a->entry_nr];
	if (!read_entry(json_object_get(event, "kv"), e))
		return false;
	e->deleted = type && !strcmp(type, "DELETE");
	add_read_entry(a, e);
	return true;
}

enum status_kind read_watch_json(const char *text, size_t len,
				 struct store_answer *a)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const json_t *result = json_object_get(root, "result");
	const json_t *events = json_object_get(result, "events");
	bool ok;

	memset(a, 0, sizeof(*a));
	ok = read_header(result, a);
	for (size_t i = 0; ok && i < json_array_size(events); i++)
		ok = add_event(json_array_get(events, i), a);
	if (ok && json_is_true(json_object_get(result, "canceled")))
		set_status(&a->status, STATUS_UNAVAILABLE,
			   "the store ended the watch");
	json_decref(root);
	return set_read_status(ok, a);
}

enum status_kind read_lease_json(const char *text, size_t len,
				 struct store_answer *a)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const json_t *result = json_object_get(root, "result");
	const json_t *lease = result ? result : root;
	bool ok;

	memset(a, 0, sizeof(*a));
	ok = read_header(lease, a);
	a->lease_id = json_uint(json_object_get(lease, "ID"));
	if (ok && !json_uint(json_object_get(lease, "TTL")))
		set_status(&a->status, STATUS_NOT_FOUND,
			   "the lease has expired");
	json_decref(root);
	return set_read_status(ok, a);
}

void release_store_answer(struct store_answer *a)
{
	for (size_t i = 0; i < a->entry_nr; i++) {
		g_free(a->entries[i].key);
		g_free(a->entries[i].value);
	}
	g_free(a->entries);
	memset(a, 0, sizeof(*a));
}
