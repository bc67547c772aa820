#include "config/parts.h"

#include <string.h>
#include <xxhash.h>

#define PART_FIELD_NR 2
#define PART_FORMAT 1

struct part_cache {
	GHashTable *parts; /* bucket + 1 -> struct cached_part */
};

struct cached_part {
	uint64_t digest;
	GPtrArray *services;
};

uint32_t service_bucket(uint64_t id, uint32_t bucket_nr)
{
	return (uint32_t)(id % bucket_nr);
}

static void encode_part(struct part *part, const GPtrArray *services)
{
	struct wire_writer *w = &part->bytes;

	init_wire_writer(w);
	write_array(w, PART_FIELD_NR);
	write_uint(w, PART_FORMAT);
	write_array(w, services->len);
	for (guint i = 0; i < services->len; i++)
		encode_service(w, g_ptr_array_index(services, i));
	part->ref.digest = XXH64(w->buf.data, w->buf.size, 0);
}

GArray *split_snapshot(const struct snapshot *sn, uint32_t bucket_nr)
{
	GPtrArray **buckets = g_new0(GPtrArray *, bucket_nr);
	GArray *parts = g_array_new(FALSE, TRUE, sizeof(struct part));

	for (size_t i = 0; i < snapshot_service_count(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);
		uint32_t b = service_bucket(sv->id, bucket_nr);

		if (!buckets[b])
			buckets[b] = g_ptr_array_new();
		g_ptr_array_add(buckets[b], (gpointer)sv);
	}
	for (uint32_t b = 0; b < bucket_nr; b++) {
		struct part part = { .ref = { .bucket = b } };

		if (!buckets[b])
			continue;
		encode_part(&part, buckets[b]);
		g_array_append_val(parts, part);
		g_ptr_array_free(buckets[b], TRUE);
	}
	g_free(buckets);
	return parts;
}

void free_parts(GArray *parts)
{
	if (!parts)
		return;
	for (guint i = 0; i < parts->len; i++)
		release_wire_writer(
			&g_array_index(parts, struct part, i).bytes);
	g_array_free(parts, TRUE);
}

static void free_cached_part(gpointer item)
{
	struct cached_part *cached = item;

	g_ptr_array_free(cached->services, TRUE);
	g_free(cached);
}

struct part_cache *create_part_cache(void)
{
	struct part_cache *pc = g_new0(struct part_cache, 1);

	pc->parts = g_hash_table_new_full(NULL, NULL, NULL, free_cached_part);
	return pc;
}

void destroy_part_cache(struct part_cache *pc)
{
	if (!pc)
		return;
	g_hash_table_destroy(pc->parts);
	g_free(pc);
}

static const struct cached_part *find_cached_part(const struct part_cache *pc,
						  const struct part_ref *part)
{
	const struct cached_part *cached = g_hash_table_lookup(
		pc->parts, GUINT_TO_POINTER(part->bucket + 1));

	return cached && cached->digest == part->digest ? cached : NULL;
}

GArray *missing_parts(const struct part_cache *pc, const struct pointer *p)
{
	GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct part_ref));

	for (guint i = 0; i < p->parts->len; i++) {
		const struct part_ref *part =
			&g_array_index(p->parts, struct part_ref, i);

		if (!find_cached_part(pc, part))
			g_array_append_val(missing, *part);
	}
	return missing;
}

static bool decode_part(struct wire_reader *r, GPtrArray *services)
{
	struct wire_reader list;

	if (read_uint(r, UINT64_MAX) != PART_FORMAT)
		return false;
	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		struct service *sv = decode_service(&list);

		if (sv)
			g_ptr_array_add(services, sv);
	}
	return !list.malformed && !r->malformed && !r->remaining;
}

bool add_cached_part(struct part_cache *pc, const struct part_ref *part,
		     const void *data, size_t len)
{
	GPtrArray *services =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	struct wire_message msg;
	struct wire_reader r;
	struct cached_part *cached;
	bool ok = XXH64(data, len, 0) == part->digest;

	if (ok) {
		ok = open_wire_message(&msg, &r, data, len) &&
		     decode_part(&r, services);
		release_wire_message(&msg);
	}
	if (!ok) {
		g_ptr_array_free(services, TRUE);
		return false;
	}
	cached = g_new0(struct cached_part, 1);
	cached->digest = part->digest;
	cached->services = services;
	g_hash_table_replace(pc->parts, GUINT_TO_POINTER(part->bucket + 1),
			     cached);
	return true;
}

struct snapshot *assemble_snapshot(const struct part_cache *pc,
				   const struct pointer *p)
{
	GPtrArray *list = g_ptr_array_new();
	struct snapshot *sn = NULL;
	bool whole = true;

	for (guint i = 0; whole && i < p->parts->len; i++) {
		const struct cached_part *cached = find_cached_part(
			pc, &g_array_index(p->parts, struct part_ref, i));

		whole = cached != NULL;
		for (guint k = 0; cached && k < cached->services->len; k++)
			g_ptr_array_add(list,
					g_ptr_array_index(cached->services, k));
	}
	if (whole)
		sn = create_snapshot(p->epoch, p->publish_id,
				     (struct service *const *)list->pdata,
				     list->len);
	g_ptr_array_free(list, TRUE);
	return sn;
}
