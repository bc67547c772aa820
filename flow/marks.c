#include "flow/marks.h"

#include <glib.h>

struct marks {
	GHashTable *services; /* uint64_t id -> GArray of struct mark */
};

static void free_list(gpointer list)
{
	g_array_free(list, TRUE);
}

struct marks *create_marks(void)
{
	struct marks *ms = g_new0(struct marks, 1);

	ms->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, free_list);
	return ms;
}

void destroy_marks(struct marks *ms)
{
	if (!ms)
		return;
	g_hash_table_destroy(ms->services);
	g_free(ms);
}

static struct mark *find_mark(GArray *list, uint64_t upstream)
{
	for (guint i = 0; i < list->len; i++) {
		struct mark *m = &g_array_index(list, struct mark, i);

		if (m->upstream == upstream)
			return m;
	}
	return NULL;
}

static GArray *service_list(struct marks *ms, uint64_t service)
{
	GArray *list = g_hash_table_lookup(ms->services, &service);

	if (list)
		return list;
	list = g_array_new(FALSE, TRUE, sizeof(struct mark));
	g_hash_table_insert(ms->services, g_memdup2(&service, sizeof(service)),
			    list);
	return list;
}

bool set_mark(struct marks *ms, uint64_t service, uint64_t upstream,
	      uint64_t until, uint64_t now_ms, uint8_t tell_nr)
{
	GArray *list = service_list(ms, service);
	struct mark *m = find_mark(list, upstream);
	struct mark fresh = { .upstream = upstream };
	bool marked;

	if (!m) {
		g_array_append_val(list, fresh);
		m = &g_array_index(list, struct mark, list->len - 1);
	}
	marked = m->until > now_ms;
	if (marked && until < m->until + MARK_RENEW_MS)
		return false;
	if (until <= m->until)
		return false;
	m->until = until;
	m->tell_nr = tell_nr;
	return !marked;
}

const struct mark *service_marks(const struct marks *ms, uint64_t service,
				 size_t *nr)
{
	const GArray *list = g_hash_table_lookup(ms->services, &service);

	*nr = list ? list->len : 0;
	return list ? (const struct mark *)(void *)list->data : NULL;
}

void each_mark(struct marks *ms, uint64_t now_ms, mark_fn each, void *user)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, ms->services);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		GArray *list = value;

		for (guint i = 0; i < list->len; i++) {
			struct mark *m = &g_array_index(list, struct mark, i);

			if (m->until > now_ms &&
			    !each(*(uint64_t *)key, m, user))
				return;
		}
	}
}

void expire_marks(struct marks *ms, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, ms->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		GArray *list = value;

		for (guint i = list->len; i-- > 0;) {
			if (g_array_index(list, struct mark, i).until > now_ms)
				continue;
			g_array_remove_index_fast(list, i);
		}
		if (!list->len)
			g_hash_table_iter_remove(&it);
	}
}
