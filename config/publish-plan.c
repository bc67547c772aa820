#include "config/publish-plan.h"

#include <string.h>

#include "config/keys.h"

#define PART_PUTS_PER_TXN_MAX 40
#define PART_BYTES_PER_TXN_MAX (700 * 1000) /* of all parts put */
#define PART_DELETES_PER_TXN_MAX 40

static bool same_part(const struct part_ref *a, const struct part_ref *b)
{
	return a && b && a->bucket == b->bucket && a->digest == b->digest;
}

/* Copies the retired parts of OLD and retires parts that only OLD uses. */
static void retire_parts(struct pointer *p, const struct pointer *old)
{
	for (guint i = 0; i < old->retired->len; i++) {
		struct retired_part gone =
			g_array_index(old->retired, struct retired_part, i);

		if (!same_part(find_part(p, gone.part.bucket), &gone.part))
			g_array_append_val(p->retired, gone);
	}
	for (guint i = 0; i < old->parts->len; i++) {
		struct retired_part gone = {
			g_array_index(old->parts, struct part_ref, i), p->epoch
		};

		if (!same_part(find_part(p, gone.part.bucket), &gone.part))
			g_array_append_val(p->retired, gone);
	}
}

static bool list_service_domains(struct pointer *p, const struct service *sv)
{
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (!add_pointer_domain(p, sv->upstreams[i].domain))
			return false;
	return true;
}

static void list_domains(struct pointer *p, const struct snapshot *next,
			 struct problems *ps)
{
	for (size_t i = 0; i < snapshot_service_count(next); i++) {
		const struct service *sv = snapshot_service(next, i);

		if (list_service_domains(p, sv))
			continue;
		add_problem(ps, sv->name, 0,
			    "more than %d failure domains in total",
			    DOMAINS_MAX);
		return;
	}
}

static void list_parts(struct publish_plan *pl, const struct pointer *old,
		       struct problems *ps)
{
	for (guint i = 0; i < pl->parts->len; i++) {
		const struct part *part =
			&g_array_index(pl->parts, struct part, i);

		if (part->bytes.buf.size > STORE_VALUE_MAX)
			add_problem(ps, "all services", 0,
				    "bucket %u has %zu bytes; the store holds "
				    "values up to %d",
				    part->ref.bucket, part->bytes.buf.size,
				    STORE_VALUE_MAX);
		g_array_append_val(pl->pointer->parts, part->ref);
		if (!old ||
		    !same_part(find_part(old, part->ref.bucket), &part->ref))
			g_array_append_val(pl->new_parts, i);
	}
}

void make_publish_plan(struct publish_plan *pl, const struct pointer *old,
		       const struct snapshot *next, uint32_t bucket_nr,
		       struct problems *ps)
{
	struct pointer *p = create_pointer(old ? old->bucket_nr : bucket_nr);

	p->epoch = snapshot_epoch(next);
	p->service_nr = snapshot_service_count(next);
	p->upstream_nr = snapshot_upstream_count(next);
	g_strlcpy(p->publish_id, snapshot_publish_id(next),
		  sizeof(p->publish_id));
	pl->pointer = p;
	pl->parts = split_snapshot(next, p->bucket_nr);
	pl->new_parts = g_array_new(FALSE, FALSE, sizeof(guint));
	list_parts(pl, old, ps);
	if (old)
		retire_parts(p, old);
	list_domains(p, next, ps);
}

void release_publish_plan(struct publish_plan *pl)
{
	free_parts(pl->parts);
	if (pl->new_parts)
		g_array_free(pl->new_parts, TRUE);
	destroy_pointer(pl->pointer);
	memset(pl, 0, sizeof(*pl));
}

static void add_pointer_put(struct txn *t, const struct pointer *p)
{
	struct wire_writer w;

	init_wire_writer(&w);
	encode_pointer(&w, p);
	add_put(t, KEY_CONFIG, w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

static const struct part_ref *new_part_ref(const struct publish_plan *pl,
					   guint i)
{
	return &g_array_index(pl->parts, struct part,
			      g_array_index(pl->new_parts, guint, i))
			.ref;
}

static bool is_retired(const struct pointer *p, const struct part_ref *part)
{
	for (guint i = 0; i < p->retired->len; i++)
		if (same_part(&g_array_index(p->retired, struct retired_part, i)
				       .part,
			      part))
			return true;
	return false;
}

bool is_upload_announced(const struct publish_plan *pl,
			 const struct pointer *old)
{
	for (guint i = 0; i < pl->new_parts->len; i++)
		if (!is_retired(old, new_part_ref(pl, i)))
			return false;
	return true;
}

void add_announcement_put(const struct publish_plan *pl,
			  const struct pointer *old, struct txn *t)
{
	struct pointer *p = copy_pointer(old);

	for (guint i = 0; i < pl->new_parts->len; i++) {
		struct retired_part part = { *new_part_ref(pl, i), p->epoch };

		if (!is_retired(old, &part.part))
			g_array_append_val(p->retired, part);
	}
	add_pointer_put(t, p);
	destroy_pointer(p);
}

bool needs_upload(const struct publish_plan *pl)
{
	size_t bytes = 0;

	for (guint i = pl->uploaded_nr; i < pl->new_parts->len; i++)
		bytes += g_array_index(pl->parts, struct part,
				       g_array_index(pl->new_parts, guint, i))
				 .bytes.buf.size;
	return pl->new_parts->len - pl->uploaded_nr > PART_PUTS_PER_TXN_MAX ||
	       bytes > PART_BYTES_PER_TXN_MAX;
}

void add_part_puts(struct publish_plan *pl, struct txn *t)
{
	char key[PART_KEY_MAX];

	while (pl->uploaded_nr < pl->new_parts->len &&
	       txn_op_count(t) < PART_PUTS_PER_TXN_MAX) {
		const struct part *part = &g_array_index(
			pl->parts, struct part,
			g_array_index(pl->new_parts, guint, pl->uploaded_nr));

		if (txn_op_count(t) &&
		    txn_value_bytes(t) + part->bytes.buf.size >
			    PART_BYTES_PER_TXN_MAX)
			break;
		add_put(t, part_key(&part->ref, key), part->bytes.buf.data,
			part->bytes.buf.size);
		pl->uploaded_nr++;
	}
}

bool needs_part_deletion(const struct pointer *old)
{
	const struct retired_part *at;

	if (!old || old->retired->len <= PART_DELETES_PER_TXN_MAX)
		return false;
	at = &g_array_index(old->retired, struct retired_part,
			    PART_DELETES_PER_TXN_MAX);
	return at->epoch + RETIRED_PART_EPOCHS <= old->epoch;
}

/* Deletes up to PART_DELETES_PER_TXN_MAX parts that no reader needs anymore. */
static void delete_retired(struct txn *t, struct pointer *p)
{
	char key[PART_KEY_MAX];
	guint n = 0;

	while (n < p->retired->len && n < PART_DELETES_PER_TXN_MAX) {
		const struct retired_part *old =
			&g_array_index(p->retired, struct retired_part, n);

		if (old->epoch + RETIRED_PART_EPOCHS > p->epoch)
			break;
		add_delete(t, part_key(&old->part, key), NULL);
		n++;
	}
	if (n)
		g_array_remove_range(p->retired, 0, n);
}

void add_pointer_swap(struct txn *t, struct pointer *p)
{
	delete_retired(t, p);
	add_pointer_put(t, p);
}
