#include "config/delta.h"

#include <glib.h>
#include <string.h>

#define DELTA_FIELD_NR 6

struct delta {
	uint64_t from;
	uint64_t to;
	uint64_t digest; /* of the resulting snapshot */
	char publish_id[PUBLISH_ID_MAX];
	GPtrArray *changed; /* of struct service */
	GArray *removed;    /* of uint64_t ids */
};

static struct delta *alloc_delta(void)
{
	struct delta *d = g_new0(struct delta, 1);

	d->changed =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	d->removed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return d;
}

void destroy_delta(struct delta *d)
{
	if (!d)
		return;
	g_ptr_array_free(d->changed, TRUE);
	g_array_free(d->removed, TRUE);
	g_free(d);
}

struct delta *create_delta(const struct snapshot *from,
			   const struct snapshot *to)
{
	struct delta *d = alloc_delta();

	d->from = snapshot_epoch(from);
	d->to = snapshot_epoch(to);
	d->digest = snapshot_digest(to);
	g_strlcpy(d->publish_id, snapshot_publish_id(to),
		  sizeof(d->publish_id));
	for (size_t i = 0; i < snapshot_service_count(to); i++) {
		const struct service *sv = snapshot_service(to, i);
		const struct service *old = find_service(from, sv->id);

		if (!old || old->digest != sv->digest)
			g_ptr_array_add(d->changed, ref_service(sv));
	}
	for (size_t i = 0; i < snapshot_service_count(from); i++) {
		uint64_t id = snapshot_service(from, i)->id;

		if (!find_service(to, id))
			g_array_append_val(d->removed, id);
	}
	return d;
}

uint64_t delta_from(const struct delta *d)
{
	return d->from;
}

uint64_t delta_to(const struct delta *d)
{
	return d->to;
}

/* True if D replaces or removes the service with ID. */
static bool changes_service(const struct delta *d, uint64_t id)
{
	for (guint i = 0; i < d->removed->len; i++)
		if (g_array_index(d->removed, uint64_t, i) == id)
			return true;
	for (guint i = 0; i < d->changed->len; i++) {
		const struct service *sv = g_ptr_array_index(d->changed, i);

		if (sv->id == id)
			return true;
	}
	return false;
}

struct snapshot *apply_delta(const struct snapshot *base, const struct delta *d)
{
	GPtrArray *list;
	struct snapshot *sn;

	if (snapshot_epoch(base) != d->from || d->to <= d->from)
		return NULL;
	list = g_ptr_array_new();
	for (size_t i = 0; i < snapshot_service_count(base); i++) {
		const struct service *sv = snapshot_service(base, i);

		if (!changes_service(d, sv->id))
			g_ptr_array_add(list, (gpointer)sv);
	}
	for (guint i = 0; i < d->changed->len; i++)
		g_ptr_array_add(list, g_ptr_array_index(d->changed, i));
	sn = create_snapshot(d->to, d->publish_id,
			     (struct service *const *)list->pdata, list->len);
	g_ptr_array_free(list, TRUE);
	if (snapshot_digest(sn) == d->digest)
		return sn;
	unref_snapshot(sn);
	return NULL;
}

void encode_delta(struct wire_writer *w, const struct delta *d)
{
	write_array(w, DELTA_FIELD_NR);
	write_uint(w, d->from);
	write_uint(w, d->to);
	write_uint(w, d->digest);
	write_str(w, d->publish_id);
	write_array(w, d->changed->len);
	for (guint i = 0; i < d->changed->len; i++)
		encode_service(w, g_ptr_array_index(d->changed, i));
	write_array(w, d->removed->len);
	for (guint i = 0; i < d->removed->len; i++)
		write_uint(w, g_array_index(d->removed, uint64_t, i));
}

struct delta *decode_delta(struct wire_reader *r)
{
	struct delta *d = alloc_delta();
	struct wire_reader f;
	struct wire_reader list;

	read_array(r, &f);
	d->from = read_uint(&f, UINT64_MAX);
	d->to = read_uint(&f, UINT64_MAX);
	d->digest = read_uint(&f, UINT64_MAX);
	read_str(&f, d->publish_id, sizeof(d->publish_id));
	read_array(&f, &list);
	while (list.remaining && !list.malformed) {
		struct service *sv = decode_service(&list);

		if (sv)
			g_ptr_array_add(d->changed, sv);
	}
	f.malformed |= list.malformed;
	read_array(&f, &list);
	while (list.remaining && !list.malformed) {
		uint64_t id = read_uint(&list, UINT64_MAX);

		g_array_append_val(d->removed, id);
	}
	if (!f.malformed && !f.remaining && !list.malformed)
		return d;
	r->malformed = true;
	destroy_delta(d);
	return NULL;
}
