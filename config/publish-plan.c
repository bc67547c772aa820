#include "config/publish-plan.h"

#include <string.h>

#include "config/keys.h"

#define PUTS_MAX 40		   /* parts written by one call */
#define PUT_BYTES_MAX (700 * 1000) /* of the parts written by one call */
#define DELETES_MAX 40		   /* retired parts deleted by one call */

static bool same_part(const struct part_ref *a, const struct part_ref *b)
{
	return a && b && a->bucket == b->bucket && a->digest == b->digest;
}

/* Carries over what OLD retired and retires what only OLD names. */
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

static bool add_domains_of(struct pointer *p, const struct service *sv)
{
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (!add_pointer_domain(p, sv->upstreams[i].domain))
			return false;
	return true;
}

static void fill_domains(struct pointer *p, const struct snapshot *next,
			 struct problems *ps)
{
	for (size_t i = 0; i < snapshot_service_nr(next); i++) {
		const struct service *sv = snapshot_service(next, i);

		if (add_domains_of(p, sv))
			continue;
		add_problem(ps, sv->name, 0,
			    "more than %d failure domains in all", DOMAINS_MAX);
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
			g_array_append_val(pl->fresh, i);
	}
}

void make_plan(struct publish_plan *pl, const struct pointer *old,
	       const struct snapshot *next, uint32_t bucket_nr,
	       struct problems *ps)
{
	struct pointer *p = create_pointer(old ? old->bucket_nr : bucket_nr);

	p->epoch = snapshot_epoch(next);
	p->service_nr = snapshot_service_nr(next);
	p->upstream_nr = snapshot_upstream_nr(next);
	g_strlcpy(p->publish_id, snapshot_publish_id(next),
		  sizeof(p->publish_id));
	pl->pointer = p;
	pl->parts = split_snapshot(next, p->bucket_nr);
	pl->fresh = g_array_new(FALSE, FALSE, sizeof(guint));
	list_parts(pl, old, ps);
	if (old)
		retire_parts(p, old);
	fill_domains(p, next, ps);
}

void release_plan(struct publish_plan *pl)
{
	free_parts(pl->parts);
	if (pl->fresh)
		g_array_free(pl->fresh, TRUE);
	destroy_pointer(pl->pointer);
	memset(pl, 0, sizeof(*pl));
}

static void put_pointer(struct txn *t, const struct pointer *p)
{
	struct wire_writer w;

	init_wire_writer(&w);
	encode_pointer(&w, p);
	add_put(t, KEY_CONFIG, w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

static const struct part_ref *fresh_part(const struct publish_plan *pl, guint i)
{
	return &g_array_index(pl->parts, struct part,
			      g_array_index(pl->fresh, guint, i))
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

bool is_announced(const struct publish_plan *pl, const struct pointer *old)
{
	for (guint i = 0; i < pl->fresh->len; i++)
		if (!is_retired(old, fresh_part(pl, i)))
			return false;
	return true;
}

void add_announcement(const struct publish_plan *pl, const struct pointer *old,
		      struct txn *t)
{
	struct pointer *p = copy_pointer(old);

	for (guint i = 0; i < pl->fresh->len; i++) {
		struct retired_part part = { *fresh_part(pl, i), p->epoch };

		if (!is_retired(old, &part.part))
			g_array_append_val(p->retired, part);
	}
	put_pointer(t, p);
	destroy_pointer(p);
}

bool upload_is_due(const struct publish_plan *pl)
{
	size_t bytes = 0;

	for (guint i = pl->uploaded; i < pl->fresh->len; i++)
		bytes += g_array_index(pl->parts, struct part,
				       g_array_index(pl->fresh, guint, i))
				 .bytes.buf.size;
	return pl->fresh->len - pl->uploaded > PUTS_MAX ||
	       bytes > PUT_BYTES_MAX;
}

void add_uploads(struct publish_plan *pl, struct txn *t)
{
	char key[PART_KEY_MAX];

	while (pl->uploaded < pl->fresh->len && txn_op_nr(t) < PUTS_MAX) {
		const struct part *part = &g_array_index(
			pl->parts, struct part,
			g_array_index(pl->fresh, guint, pl->uploaded));

		if (txn_op_nr(t) &&
		    txn_size(t) + part->bytes.buf.size > PUT_BYTES_MAX)
			break;
		add_put(t, part_key(&part->ref, key), part->bytes.buf.data,
			part->bytes.buf.size);
		pl->uploaded++;
	}
}

/* Whether more retired parts are due than one pointer's swap deletes. */
bool sweep_is_due(const struct pointer *old)
{
	const struct retired_part *at;

	if (!old || old->retired->len <= DELETES_MAX)
		return false;
	at = &g_array_index(old->retired, struct retired_part, DELETES_MAX);
	return at->epoch + PART_KEEP_EPOCHS <= old->epoch;
}

/* Deletes retired parts that no reader can need at P's epoch, a few at a time. */
static void delete_retired(struct txn *t, struct pointer *p)
{
	char key[PART_KEY_MAX];
	guint n = 0;

	while (n < p->retired->len && n < DELETES_MAX) {
		const struct retired_part *old =
			&g_array_index(p->retired, struct retired_part, n);

		if (old->epoch + PART_KEEP_EPOCHS > p->epoch)
			break;
		add_delete(t, part_key(&old->part, key), NULL);
		n++;
	}
	if (n)
		g_array_remove_range(p->retired, 0, n);
}

void add_swap(struct txn *t, struct pointer *p)
{
	delete_retired(t, p);
	put_pointer(t, p);
}
