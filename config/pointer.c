#include "config/pointer.h"

#include <string.h>

#include "config/keys.h"

#define POINTER_FORMAT 2
#define POINTER_FIELD_NR 11

struct pointer *create_pointer(uint32_t bucket_nr)
{
	struct pointer *p = g_new0(struct pointer, 1);

	p->bucket_nr = bucket_nr;
	p->parts = g_array_new(FALSE, FALSE, sizeof(struct part_ref));
	p->retired = g_array_new(FALSE, FALSE, sizeof(struct retired_part));
	return p;
}

struct pointer *copy_pointer(const struct pointer *p)
{
	struct pointer *c = g_memdup2(p, sizeof(*p));

	c->parts = g_array_copy(p->parts);
	c->retired = g_array_copy(p->retired);
	return c;
}

void destroy_pointer(struct pointer *p)
{
	if (!p)
		return;
	g_array_free(p->parts, TRUE);
	g_array_free(p->retired, TRUE);
	g_free(p);
}

const struct part_ref *find_part(const struct pointer *p, uint32_t bucket)
{
	guint low = 0;
	guint high = p->parts->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const struct part_ref *at =
			&g_array_index(p->parts, struct part_ref, mid);

		if (at->bucket == bucket)
			return at;
		if (at->bucket < bucket)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

bool pointer_has_domain(const struct pointer *p, const char *name)
{
	for (size_t i = 0; i < p->domain_nr; i++)
		if (!strcmp(p->domains[i], name))
			return true;
	return false;
}

bool add_pointer_domain(struct pointer *p, const char *name)
{
	if (pointer_has_domain(p, name))
		return true;
	if (p->domain_nr == DOMAINS_MAX)
		return false;
	g_strlcpy(p->domains[p->domain_nr++], name, CONFIG_NAME_MAX);
	return true;
}

const char *part_key(const struct part_ref *part, char buf[PART_KEY_MAX])
{
	g_snprintf(buf, PART_KEY_MAX,
		   KEY_PART_PREFIX "%05u-%016" G_GINT64_MODIFIER "x",
		   part->bucket, part->digest);
	return buf;
}

void encode_pointer(struct wire_writer *w, const struct pointer *p)
{
	write_array(w, POINTER_FIELD_NR);
	write_uint(w, POINTER_FORMAT);
	write_uint(w, p->epoch);
	write_str(w, p->publish_id);
	write_str(w, p->who);
	write_uint(w, p->when_ms);
	write_uint(w, p->bucket_nr);
	write_uint(w, p->service_nr);
	write_uint(w, p->upstream_nr);
	write_array(w, p->domain_nr);
	for (size_t i = 0; i < p->domain_nr; i++)
		write_str(w, p->domains[i]);
	write_array(w, (size_t)p->parts->len * 2);
	for (guint i = 0; i < p->parts->len; i++) {
		const struct part_ref *part =
			&g_array_index(p->parts, struct part_ref, i);

		write_uint(w, part->bucket);
		write_uint(w, part->digest);
	}
	write_array(w, (size_t)p->retired->len * 3);
	for (guint i = 0; i < p->retired->len; i++) {
		const struct retired_part *old =
			&g_array_index(p->retired, struct retired_part, i);

		write_uint(w, old->part.bucket);
		write_uint(w, old->part.digest);
		write_uint(w, old->epoch);
	}
}

static void decode_domains(struct wire_reader *r, struct pointer *p)
{
	struct wire_reader list;
	char name[CONFIG_NAME_MAX];

	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		read_str(&list, name, sizeof(name));
		if (!valid_name(name) || !add_pointer_domain(p, name))
			list.malformed = true;
	}
	r->malformed |= list.malformed;
}

static void decode_part_ref(struct wire_reader *r, const struct pointer *p,
			    struct part_ref *part)
{
	part->bucket = (uint32_t)read_uint(r, p->bucket_nr - 1);
	part->digest = read_uint(r, UINT64_MAX);
}

static void decode_parts(struct wire_reader *r, struct pointer *p)
{
	struct wire_reader list;
	struct part_ref part;

	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		const struct part_ref *last =
			p->parts->len
				? &g_array_index(p->parts, struct part_ref,
						 p->parts->len - 1)
				: NULL;

		decode_part_ref(&list, p, &part);
		if (last && part.bucket <= last->bucket)
			list.malformed = true;
		else
			g_array_append_val(p->parts, part);
	}
	r->malformed |= list.malformed;
}

static void decode_retired(struct wire_reader *r, struct pointer *p)
{
	struct wire_reader list;
	struct retired_part old;

	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		decode_part_ref(&list, p, &old.part);
		old.epoch = read_uint(&list, UINT64_MAX);
		g_array_append_val(p->retired, old);
	}
	r->malformed |= list.malformed;
}

static bool decode_pointer_fields(struct wire_reader *r, struct pointer *p)
{
	if (read_uint(r, UINT64_MAX) != POINTER_FORMAT)
		return false;
	p->epoch = read_uint(r, UINT64_MAX);
	read_str(r, p->publish_id, sizeof(p->publish_id));
	read_str(r, p->who, sizeof(p->who));
	p->when_ms = read_uint(r, UINT64_MAX);
	p->bucket_nr = (uint32_t)read_uint(r, BUCKET_NR_MAX);
	p->service_nr = read_uint(r, UINT64_MAX);
	p->upstream_nr = read_uint(r, UINT64_MAX);
	if (r->malformed || !p->bucket_nr)
		return false;
	decode_domains(r, p);
	decode_parts(r, p);
	decode_retired(r, p);
	return !r->malformed && !r->remaining;
}

struct pointer *decode_pointer(const void *data, size_t len, struct status *st)
{
	struct pointer *p = create_pointer(1);
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len) &&
		  decode_pointer_fields(&r, p);

	release_wire_message(&msg);
	if (ok)
		return p;
	destroy_pointer(p);
	set_status(st, STATUS_CORRUPT,
		   "value of %zu bytes is not a configuration pointer", len);
	return NULL;
}
