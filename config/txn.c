#include "config/txn.h"

#include <glib.h>
#include <string.h>

struct txn {
	GArray *compares;  /* of struct store_compare */
	GArray *ops;	   /* of struct store_op */
	GPtrArray *memory; /* keys and values */
	size_t value_bytes;
};

struct txn *create_txn(void)
{
	struct txn *t = g_new0(struct txn, 1);

	t->compares = g_array_new(FALSE, TRUE, sizeof(struct store_compare));
	t->ops = g_array_new(FALSE, TRUE, sizeof(struct store_op));
	t->memory = g_ptr_array_new_with_free_func(g_free);
	return t;
}

void destroy_txn(struct txn *t)
{
	if (!t)
		return;
	g_array_free(t->compares, TRUE);
	g_array_free(t->ops, TRUE);
	g_ptr_array_free(t->memory, TRUE);
	g_free(t);
}

void clear_txn(struct txn *t)
{
	g_array_set_size(t->compares, 0);
	g_array_set_size(t->ops, 0);
	g_ptr_array_set_size(t->memory, 0);
	t->value_bytes = 0;
}

static const char *copy_string(struct txn *t, const char *text)
{
	char *copy = g_strdup(text);

	if (copy)
		g_ptr_array_add(t->memory, copy);
	return copy;
}

void add_compare(struct txn *t, const char *key, uint64_t mod_revision)
{
	struct store_compare c = { copy_string(t, key), mod_revision };

	g_array_append_val(t->compares, c);
}

void add_put(struct txn *t, const char *key, const void *value, size_t len)
{
	struct store_op op = { .kind = STORE_PUT, .len = len };
	void *copy = g_memdup2(value, len);

	op.key = copy_string(t, key);
	op.value = copy;
	if (copy)
		g_ptr_array_add(t->memory, copy);
	t->value_bytes += len;
	g_array_append_val(t->ops, op);
}

void add_delete(struct txn *t, const char *key, const char *end)
{
	struct store_op op = { .kind = STORE_DELETE };

	op.key = copy_string(t, key);
	op.end = copy_string(t, end);
	g_array_append_val(t->ops, op);
}

void add_get(struct txn *t, const char *key)
{
	struct store_op op = { .kind = STORE_GET };

	op.key = copy_string(t, key);
	g_array_append_val(t->ops, op);
}

size_t txn_op_count(const struct txn *t)
{
	return t->ops->len;
}

size_t txn_value_bytes(const struct txn *t)
{
	return t->value_bytes;
}

struct store_txn view_txn(const struct txn *t)
{
	struct store_txn v = {
		(const struct store_compare *)(void *)t->compares->data,
		t->compares->len, (const struct store_op *)(void *)t->ops->data,
		t->ops->len
	};

	return v;
}

const struct store_entry *find_store_entry(const struct store_answer *a,
					   const char *key)
{
	for (size_t i = 0; i < a->entry_nr; i++)
		if (!strcmp(a->entries[i].key, key))
			return &a->entries[i];
	return NULL;
}
