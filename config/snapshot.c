#include "config/snapshot.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SNAPSHOT_FORMAT 1
#define SNAPSHOT_FIELD_NR 4

struct snapshot {
	unsigned int refs;
	uint64_t epoch;
	char publish_id[PUBLISH_ID_MAX];
	size_t service_nr;
	size_t upstream_nr;
	struct service **services; /* sorted by id */
	GHashTable *by_address;	   /* struct service -> itself */
};

static guint hash_address(gconstpointer key)
{
	const struct service *sv = key;
	uint64_t h =
		XXH64(sv->address.ip, sizeof(sv->address.ip), sv->address.port);

	return (guint)h ^ (guint)sv->protocol;
}

static gboolean equal_address(gconstpointer a, gconstpointer b)
{
	const struct service *sa = a;
	const struct service *sb = b;

	return sa->protocol == sb->protocol &&
	       same_endpoint(&sa->address, &sb->address);
}

static int compare_services(const void *a, const void *b)
{
	const struct service *sa = *(struct service *const *)a;
	const struct service *sb = *(struct service *const *)b;

	return (sa->id > sb->id) - (sa->id < sb->id);
}

struct snapshot *create_snapshot(uint64_t epoch, const char *publish_id,
				 struct service *const *services, size_t nr)
{
	struct snapshot *sn = g_new0(struct snapshot, 1);

	sn->refs = 1;
	sn->epoch = epoch;
	g_strlcpy(sn->publish_id, publish_id, sizeof(sn->publish_id));
	sn->service_nr = nr;
	sn->services = g_new0(struct service *, nr + 1);
	sn->by_address = g_hash_table_new(hash_address, equal_address);
	for (size_t i = 0; i < nr; i++) {
		sn->services[i] = ref_service(services[i]);
		sn->upstream_nr += services[i]->upstream_nr;
		g_hash_table_add(sn->by_address, services[i]);
	}
	if (nr)
		qsort(sn->services, nr, sizeof(*sn->services),
		      compare_services);
	return sn;
}

struct snapshot *ref_snapshot(const struct snapshot *sn)
{
	struct snapshot *s = (struct snapshot *)sn;

	s->refs++;
	return s;
}

void unref_snapshot(struct snapshot *sn)
{
	if (!sn || --sn->refs)
		return;
	for (size_t i = 0; i < sn->service_nr; i++)
		unref_service(sn->services[i]);
	g_free(sn->services);
	g_hash_table_destroy(sn->by_address);
	g_free(sn);
}

uint64_t snapshot_epoch(const struct snapshot *sn)
{
	return sn->epoch;
}

const char *snapshot_publish_id(const struct snapshot *sn)
{
	return sn->publish_id;
}

size_t snapshot_service_count(const struct snapshot *sn)
{
	return sn->service_nr;
}

size_t snapshot_upstream_count(const struct snapshot *sn)
{
	return sn->upstream_nr;
}

const struct service *snapshot_service(const struct snapshot *sn, size_t i)
{
	return sn->services[i];
}

const struct service *find_service(const struct snapshot *sn, uint64_t id)
{
	struct service key = { .id = id };
	struct service *const k = &key;
	struct service **found;

	if (!sn->service_nr)
		return NULL;
	found = bsearch(&k, sn->services, sn->service_nr, sizeof(*sn->services),
			compare_services);
	return found ? *found : NULL;
}

const struct service *find_service_at(const struct snapshot *sn,
				      enum flow_protocol protocol,
				      const struct endpoint *ep)
{
	struct service key = { .protocol = protocol, .address = *ep };

	return g_hash_table_lookup(sn->by_address, &key);
}

void check_snapshot(const struct snapshot *sn, struct problems *ps)
{
	char text[ENDPOINT_TEXT_MAX];

	for (size_t i = 0; i < sn->service_nr; i++) {
		const struct service *sv = sn->services[i];
		const struct service *at =
			find_service_at(sn, sv->protocol, &sv->address);

		if (i && sn->services[i - 1]->id == sv->id)
			add_problem(ps, sv->name, 0,
				    "two services have this name");
		else if (at != sv)
			add_problem(ps, sv->name, 0,
				    "service '%s' has the same address %s",
				    at->name,
				    format_endpoint(&sv->address, text));
		for (size_t u = 1; u < sv->upstream_nr; u++)
			if (sv->upstreams[u].id == sv->upstreams[u - 1].id)
				add_problem(ps, sv->name, 0,
					    "upstreams '%s' and '%s' have the "
					    "same id; rename one",
					    sv->upstreams[u - 1].name,
					    sv->upstreams[u].name);
	}
}

uint64_t snapshot_digest(const struct snapshot *sn)
{
	uint64_t h = 0;

	for (size_t i = 0; i < sn->service_nr; i++)
		h = XXH64(&sn->services[i]->digest,
			  sizeof(sn->services[i]->digest), h);
	return h;
}

void encode_snapshot(struct wire_writer *w, const struct snapshot *sn)
{
	write_array(w, SNAPSHOT_FIELD_NR);
	write_uint(w, SNAPSHOT_FORMAT);
	write_uint(w, sn->epoch);
	write_str(w, sn->publish_id);
	write_array(w, sn->service_nr);
	for (size_t i = 0; i < sn->service_nr; i++)
		encode_service(w, sn->services[i]);
}

static struct snapshot *decode_snapshot_fields(struct wire_reader *r)
{
	char publish_id[PUBLISH_ID_MAX];
	GPtrArray *list =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	struct wire_reader services;
	struct snapshot *sn = NULL;
	uint64_t epoch;

	read_uint(r, SNAPSHOT_FORMAT);
	epoch = read_uint(r, UINT64_MAX);
	read_str(r, publish_id, sizeof(publish_id));
	read_array(r, &services);
	while (services.remaining && !services.malformed) {
		struct service *sv = decode_service(&services);

		if (sv)
			g_ptr_array_add(list, sv);
	}
	if (!r->malformed && !r->remaining && !services.malformed)
		sn = create_snapshot(epoch, publish_id,
				     (struct service *const *)list->pdata,
				     list->len);
	g_ptr_array_free(list, TRUE);
	return sn;
}

struct snapshot *decode_snapshot(const void *data, size_t len,
				 struct status *st)
{
	struct wire_message msg;
	struct wire_reader r;
	struct snapshot *sn = NULL;

	if (open_wire_message(&msg, &r, data, len))
		sn = decode_snapshot_fields(&r);
	release_wire_message(&msg);
	if (!sn)
		set_status(st, STATUS_CORRUPT,
			   "value of %zu bytes is not a snapshot", len);
	return sn;
}
