#include "t/fake-store.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/keys.h"
#include "stand-in/kv.h"
#include "store/etcd-json.h"

#define LOST_PUT_TXN_MIN 3

struct fake_store {
	enum fake_flaw flaw;
	struct kv *kv;
	json_t *saved;
	json_t *state_before_last_write; /* for FAKE_STALE_READS */
	GPtrArray *delayed;		 /* transactions, of json_t */
	uint64_t calls;
};

static void free_json(gpointer j)
{
	json_decref(j);
}

struct fake_store *create_fake_store(enum fake_flaw flaw)
{
	struct fake_store *f = g_new0(struct fake_store, 1);

	f->flaw = flaw;
	f->kv = create_kv();
	f->delayed = g_ptr_array_new_with_free_func(free_json);
	return f;
}

void destroy_fake_store(struct fake_store *f)
{
	destroy_kv(f->kv);
	json_decref(f->saved);
	json_decref(f->state_before_last_write);
	g_ptr_array_free(f->delayed, TRUE);
	g_free(f);
}

uint64_t fake_store_call_count(const struct fake_store *f)
{
	return f->calls;
}

static json_t *parse_and_free(char *text)
{
	json_t *j = json_loads(text, 0, NULL);

	free(text);
	return j;
}

static size_t count_puts(const json_t *ops)
{
	size_t n = 0;

	for (size_t i = 0; i < json_array_size(ops); i++)
		n += json_object_get(json_array_get(ops, i), "request_put") !=
		     NULL;
	return n;
}

/* Drops the first put of several: a part that the pointer refers to. */
static void drop_first_put(json_t *txn)
{
	json_t *ops = json_object_get(txn, "success");

	if (count_puts(ops) < LOST_PUT_TXN_MIN)
		return;
	for (size_t i = 0; i < json_array_size(ops); i++)
		if (json_object_get(json_array_get(ops, i), "request_put")) {
			json_array_remove(ops, i);
			return;
		}
}

/* Adds a copy of each audit entry under another key. */
static void duplicate_audit_entries(json_t *txn)
{
	json_t *ops = json_object_get(txn, "success");
	size_t n = json_array_size(ops);

	for (size_t i = 0; i < n; i++) {
		const json_t *op = json_array_get(ops, i);
		json_t *put = json_object_get(op, "request_put");
		const char *key64 =
			json_string_value(json_object_get(put, "key"));
		gsize len;
		char *key = key64 ? (char *)g_base64_decode(key64, &len) : NULL;
		char *text = key ? g_strndup(key, len) : NULL;

		if (text && g_str_has_prefix(text, KEY_AUDIT_PREFIX)) {
			char *twin = g_strconcat(text, "x", NULL);
			char *twin64 = g_base64_encode((const guchar *)twin,
						       strlen(twin));
			json_t *copy = json_deep_copy(op);

			json_object_set_new(
				json_object_get(copy, "request_put"), "key",
				json_string(twin64));
			json_array_append_new(ops, copy);
			g_free(twin64);
			g_free(twin);
		}
		g_free(text);
		g_free(key);
	}
}

static json_t *apply_txn(struct fake_store *f, json_t *txn)
{
	switch (f->flaw) {
	case FAKE_NO_COMPARE:
		json_array_clear(json_object_get(txn, "compare"));
		break;
	case FAKE_LOST_PUT:
		drop_first_put(txn);
		break;
	case FAKE_AUDIT_TWICE:
		duplicate_audit_entries(txn);
		break;
	case FAKE_STALE_READS:
		json_decref(f->state_before_last_write);
		f->state_before_last_write = kv_to_json(f->kv);
		break;
	case FAKE_NO_FLAW:
		break;
	}
	return kv_txn(f->kv, txn);
}

static json_t *read_stale(const struct fake_store *f, const json_t *body)
{
	struct kv *old = create_kv();
	json_t *j;

	kv_from_json(old, f->state_before_last_write);
	j = kv_range(old, body);
	destroy_kv(old);
	return j;
}

static json_t *read_range(struct fake_store *f, const struct store_range *r)
{
	json_t *body = parse_and_free(write_range_json(r));
	json_t *j = f->flaw == FAKE_STALE_READS && f->state_before_last_write
			    ? read_stale(f, body)
			    : kv_range(f->kv, body);

	json_decref(body);
	return j;
}

static void decode(json_t *j, struct store_answer *a)
{
	char *text = json_dumps(j, JSON_COMPACT);

	read_kv_json(text, strlen(text), a);
	free(text);
	json_decref(j);
}

static void set_lost_answer(enum fake_fault fault, struct store_answer *a)
{
	memset(a, 0, sizeof(*a));
	set_status(&a->status,
		   fault == FAKE_UNREACHABLE ? STATUS_UNAVAILABLE
					     : STATUS_UNKNOWN,
		   "no answer from the store");
}

static void commit(struct fake_store *f, const struct store_txn *t,
		   enum fake_fault fault, struct store_answer *a)
{
	json_t *txn = parse_and_free(write_txn_json(t));

	if (fault == FAKE_DELAYED) {
		g_ptr_array_add(f->delayed, txn);
		set_lost_answer(fault, a);
		return;
	}
	if (fault == FAKE_SENT_TWICE)
		json_decref(apply_txn(f, txn));
	decode(apply_txn(f, txn), a);
	json_decref(txn);
	if (fault != FAKE_ANSWER_LOST)
		return;
	release_store_answer(a);
	set_lost_answer(fault, a);
}

void call_fake_store(struct fake_store *f, const struct change_action *act,
		     enum fake_fault fault, struct store_answer *a)
{
	bool commits = act->kind == CHANGE_COMMIT;
	bool reached = fault != FAKE_UNREACHABLE && fault != FAKE_REQUEST_LOST;

	f->calls++;
	if (commits && reached)
		commit(f, &act->txn, fault, a);
	else if (fault == FAKE_NONE || fault == FAKE_SENT_TWICE)
		decode(read_range(f, &act->range), a);
	else
		set_lost_answer(fault, a);
}

void apply_delayed_calls(struct fake_store *f)
{
	for (guint i = 0; i < f->delayed->len; i++)
		json_decref(apply_txn(f, g_ptr_array_index(f->delayed, i)));
	g_ptr_array_set_size(f->delayed, 0);
}

void save_fake_store(struct fake_store *f)
{
	json_decref(f->saved);
	f->saved = kv_to_json(f->kv);
}

void restore_fake_store(struct fake_store *f)
{
	if (f->saved)
		kv_from_json(f->kv, f->saved);
}

bool watch_fake_store(struct fake_store *f, const struct store_range *range,
		      uint64_t *revision, struct store_answer *a)
{
	json_t *body = parse_and_free(write_watch_json(range, *revision));
	json_t *events = kv_events(
		f->kv, json_object_get(body, "create_request"), revision);
	bool any = events != NULL;
	char *text = any ? json_dumps(events, JSON_COMPACT) : NULL;

	if (any)
		read_watch_json(text, strlen(text), a);
	free(text);
	json_decref(events);
	json_decref(body);
	return any;
}
