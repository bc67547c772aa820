#include "config/service.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define DEADLINE_MS_DEFAULT 10000
#define MAX_BODY_DEFAULT (1024 * 1024) /* bytes */
#define IDLE_MS_DEFAULT (3600 * 1000)

#define SERVICE_FIELD_NR 8
#define UPSTREAM_FIELD_NR 11

static uint64_t hash_name(const char *name, uint64_t seed)
{
	uint64_t id = XXH64(name, strlen(name), seed);

	return id ? id : 1;
}

uint64_t service_id(const char *service)
{
	return hash_name(service, 0);
}

uint64_t upstream_id(const char *service, const char *upstream)
{
	return hash_name(upstream, service_id(service));
}

bool valid_name(const char *name)
{
	size_t len = strlen(name);

	if (!len || len >= CONFIG_NAME_MAX || !g_ascii_islower(name[0]))
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
		    name[i] != '-')
			return false;
	return true;
}

struct service *create_service(const char *name)
{
	struct service *sv = g_new0(struct service, 1);

	sv->refs = 1;
	g_strlcpy(sv->name, name, sizeof(sv->name));
	sv->id = service_id(sv->name);
	sv->protocol = FLOW_TCP;
	sv->deadline_ms = DEADLINE_MS_DEFAULT;
	sv->max_body_bytes = MAX_BODY_DEFAULT;
	sv->idle_ms = IDLE_MS_DEFAULT;
	return sv;
}

struct service *ref_service(const struct service *sv)
{
	struct service *s = (struct service *)sv;

	s->refs++;
	return s;
}

void unref_service(struct service *sv)
{
	if (!sv || --sv->refs)
		return;
	g_free(sv->upstreams);
	g_free(sv);
}

void add_upstream(struct service *sv, const struct upstream *up)
{
	sv->upstreams =
		g_renew(struct upstream, sv->upstreams, sv->upstream_nr + 1);
	sv->upstreams[sv->upstream_nr] = *up;
	sv->upstreams[sv->upstream_nr].id = upstream_id(sv->name, up->name);
	sv->upstream_nr++;
}

static int compare_upstreams(const void *a, const void *b)
{
	const struct upstream *ua = a;
	const struct upstream *ub = b;

	return (ua->id > ub->id) - (ua->id < ub->id);
}

void seal_service(struct service *sv)
{
	struct wire_writer w;

	if (sv->upstream_nr)
		qsort(sv->upstreams, sv->upstream_nr, sizeof(*sv->upstreams),
		      compare_upstreams);
	init_wire_writer(&w);
	encode_service(&w, sv);
	sv->digest = XXH64(w.buf.data, w.buf.size, 0);
	release_wire_writer(&w);
}

const struct upstream *find_upstream(const struct service *sv, uint64_t id)
{
	struct upstream key = { .id = id };

	if (!sv->upstream_nr)
		return NULL;
	return bsearch(&key, sv->upstreams, sv->upstream_nr,
		       sizeof(*sv->upstreams), compare_upstreams);
}

static void encode_upstream(struct wire_writer *w, const struct upstream *up)
{
	write_array(w, UPSTREAM_FIELD_NR);
	write_str(w, up->name);
	write_str(w, up->domain);
	write_endpoint(w, &up->address);
	write_endpoint(w, &up->health);
	write_uint(w, up->slots);
	write_uint(w, up->cold_slots);
	write_uint(w, up->connections);
	write_uint(w, up->cold_connections);
	write_bool(w, up->draining);
	write_uint(w, up->joined_at_s);
	write_uint(w, up->removed_at_s);
}

void encode_service(struct wire_writer *w, const struct service *sv)
{
	write_array(w, SERVICE_FIELD_NR);
	write_str(w, sv->name);
	write_uint(w, sv->kind);
	write_uint(w, sv->protocol);
	write_endpoint(w, &sv->address);
	write_uint(w, sv->deadline_ms);
	write_uint(w, sv->max_body_bytes);
	write_uint(w, sv->idle_ms);
	write_array(w, sv->upstream_nr);
	for (size_t i = 0; i < sv->upstream_nr; i++)
		encode_upstream(w, &sv->upstreams[i]);
}

static bool decode_upstream(struct wire_reader *r, struct upstream *up)
{
	struct wire_reader f;

	memset(up, 0, sizeof(*up));
	read_array(r, &f);
	read_str(&f, up->name, sizeof(up->name));
	read_str(&f, up->domain, sizeof(up->domain));
	read_endpoint(&f, &up->address);
	read_endpoint(&f, &up->health);
	up->slots = (uint32_t)read_uint(&f, UINT32_MAX);
	up->cold_slots = (uint32_t)read_uint(&f, UINT32_MAX);
	up->connections = (uint32_t)read_uint(&f, UINT32_MAX);
	up->cold_connections = (uint32_t)read_uint(&f, UINT32_MAX);
	up->draining = read_bool(&f);
	up->joined_at_s = read_uint(&f, UINT32_MAX);
	up->removed_at_s = read_uint(&f, UINT32_MAX);
	return !f.malformed && !f.remaining && valid_name(up->name) &&
	       valid_name(up->domain);
}

static void decode_service_fields(struct wire_reader *f, struct service *sv)
{
	struct wire_reader list;
	struct upstream up;

	sv->kind = (enum service_kind)read_uint(f, SERVICE_KIND_NR - 1);
	sv->protocol = (enum flow_protocol)read_uint(f, FLOW_UDP);
	read_endpoint(f, &sv->address);
	sv->deadline_ms = (uint32_t)read_uint(f, UINT32_MAX);
	sv->max_body_bytes = (uint32_t)read_uint(f, UINT32_MAX);
	sv->idle_ms = (uint32_t)read_uint(f, UINT32_MAX);
	read_array(f, &list);
	while (list.remaining && !list.malformed) {
		if (decode_upstream(&list, &up))
			add_upstream(sv, &up);
		else
			list.malformed = true;
	}
	f->malformed |= list.malformed;
}

struct service *decode_service(struct wire_reader *r)
{
	struct wire_reader f;
	char name[CONFIG_NAME_MAX];
	struct service *sv;

	read_array(r, &f);
	read_str(&f, name, sizeof(name));
	sv = create_service(name);
	decode_service_fields(&f, sv);
	if (f.malformed || f.remaining || !valid_name(name)) {
		r->malformed = true;
		unref_service(sv);
		return NULL;
	}
	seal_service(sv);
	return sv;
}
