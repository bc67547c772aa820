#include "flow/unsettled-marks.h"

#include <glib.h>

struct unsettled_marks {
	/* service id -> GArray of struct unsettled_mark */
	GHashTable *marks_by_service;
};

static void free_list(gpointer list)
{
	g_array_free(list, TRUE);
}

struct unsettled_marks *create_unsettled_marks(void)
{
	struct unsettled_marks *ms = g_new0(struct unsettled_marks, 1);

	ms->marks_by_service = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, free_list);
	return ms;
}

void destroy_unsettled_marks(struct unsettled_marks *ms)
{
	if (!ms)
		return;
	g_hash_table_destroy(ms->marks_by_service);
	g_free(ms);
}

static struct unsettled_mark *find_upstream_mark(GArray *list,
						 uint64_t upstream)
{
	for (guint i = 0; i < list->len; i++) {
		struct unsettled_mark *m =
			&g_array_index(list, struct unsettled_mark, i);

		if (m->upstream == upstream)
			return m;
	}
	return NULL;
}

static GArray *get_or_create_service_marks(struct unsettled_marks *ms,
					   uint64_t service)
{
	GArray *list = g_hash_table_lookup(ms->marks_by_service, &service);

	if (list)
		return list;
	list = g_array_new(FALSE, TRUE, sizeof(struct unsettled_mark));
	g_hash_table_insert(ms->marks_by_service,
			    g_memdup2(&service, sizeof(service)), list);
	return list;
}

bool set_unsettled_mark(struct unsettled_marks *ms, uint64_t service,
			uint64_t upstream, uint64_t until_ms, uint64_t now_ms,
			uint8_t peers_to_notify)
{
	GArray *list = get_or_create_service_marks(ms, service);
	struct unsettled_mark *m = find_upstream_mark(list, upstream);
	struct unsettled_mark fresh = { .upstream = upstream };
	bool marked;

	if (!m) {
		g_array_append_val(list, fresh);
		m = &g_array_index(list, struct unsettled_mark, list->len - 1);
	}
	marked = m->until_ms > now_ms;
	if (marked && until_ms < m->until_ms + MARK_RENEWAL_MIN_MS)
		return false;
	if (until_ms <= m->until_ms)
		return false;
	m->until_ms = until_ms;
	m->peers_to_notify = peers_to_notify;
	return !marked;
}

const struct unsettled_mark *
list_service_marks(const struct unsettled_marks *ms, uint64_t service,
		   size_t *nr)
{
	const GArray *list =
		g_hash_table_lookup(ms->marks_by_service, &service);

	*nr = list ? list->len : 0;
	return list ? (const struct unsettled_mark *)(void *)list->data : NULL;
}

void for_each_mark(struct unsettled_marks *ms, uint64_t now_ms, mark_fn each,
		   void *user)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, ms->marks_by_service);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		GArray *list = value;

		for (guint i = 0; i < list->len; i++) {
			struct unsettled_mark *m =
				&g_array_index(list, struct unsettled_mark, i);

			if (m->until_ms > now_ms &&
			    !each(*(uint64_t *)key, m, user))
				return;
		}
	}
}

void remove_expired_marks(struct unsettled_marks *ms, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, ms->marks_by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		GArray *list = value;

		for (guint i = list->len; i-- > 0;) {
			if (g_array_index(list, struct unsettled_mark, i)
				    .until_ms > now_ms)
				continue;
			g_array_remove_index_fast(list, i);
		}
		if (!list->len)
			g_hash_table_iter_remove(&it);
	}
}
