/*
 * Transfer of a snapshot in parts. A peer with a later epoch sends the digests
 * of all buckets of its services and then those buckets that are requested
 * because they differ; several peers get requests at once. So a transfer
 * resumes when a peer is lost or when the next epoch arrives, and an instance
 * that missed many epochs receives only the buckets that changed. The result is
 * verified by the digest of its epoch.
 */

#include "fleet/config-sync.h"

#include <string.h>
#include <xxhash.h>

#define CONFIG_BUCKET_SHIFT 56
#define REQUEST_SOURCES 4	    /* peers that get requests in one round */
#define REQUEST_BUCKETS 16	    /* buckets requested in one round */
#define PART_MAX_BYTES (256 * 1024) /* no bucket is added beyond this size */
#define TARGET_TIMEOUT_MS 5000	    /* a target without progress is dropped */
#define PART_FIELD_NR 5

void drop_target(struct target *t)
{
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		if (t->services[b])
			g_ptr_array_free(t->services[b], TRUE);
	memset(t, 0, sizeof(*t));
}

void expire_target(struct fleet *f)
{
	struct target *t = &f->config->target;

	if (t->epoch && f->now_ms - t->last_progress_ms >= TARGET_TIMEOUT_MS)
		drop_target(t);
}

/*
 * Writes the next buckets that differ from the target's, at most MAX, to
 * BUCKETS. Returns their number.
 */
static size_t next_buckets(struct target *t, uint8_t *buckets, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < CONFIG_BUCKETS && n < max; i++) {
		size_t b = t->next_bucket++ % CONFIG_BUCKETS;

		if (t->received_digests[b] != t->target_digests[b])
			buckets[n++] = (uint8_t)b;
	}
	return n;
}

/* The sources that have the target's epoch or a later one. */
static size_t find_target_sources(const struct config_sync *cs,
				  const struct source **out)
{
	size_t nr = 0;

	for (size_t i = 0; i < cs->source_nr; i++)
		if (cs->sources[i].epoch >= cs->target.epoch)
			out[nr++] = &cs->sources[i];
	return nr;
}

void request_missing_buckets(struct fleet *f)
{
	struct config_sync *cs = f->config;
	const struct source *sources[SOURCE_MAX];
	size_t nr = find_target_sources(cs, sources);
	size_t start = (size_t)g_rand_int_range(f->rand, 0, SOURCE_MAX);
	size_t request_count = nr < REQUEST_SOURCES ? nr : REQUEST_SOURCES;

	for (size_t i = 0; i < request_count; i++) {
		uint8_t buckets[REQUEST_BUCKETS];
		size_t n = next_buckets(&cs->target, buckets,
					REQUEST_BUCKETS / request_count);

		if (n)
			request_from_source(f, sources[(start + i) % nr],
					    buckets, n);
	}
}

static size_t bucket_of_service(const struct service *sv)
{
	return (size_t)(sv->id >> CONFIG_BUCKET_SHIFT);
}

static uint32_t add_service_digest(uint32_t h, const struct service *sv)
{
	return (uint32_t)XXH64(&sv->digest, sizeof(sv->digest), h);
}

/* Computes the digest and the first service of each bucket. */
static void index_buckets(const struct snapshot *sn, uint32_t *digests,
			  size_t *starts)
{
	size_t b = 0;

	memset(digests, 0, CONFIG_BUCKETS * sizeof(*digests));
	for (size_t i = 0; i < snapshot_service_count(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);

		while (b <= bucket_of_service(sv))
			starts[b++] = i;
		digests[b - 1] = add_service_digest(digests[b - 1], sv);
	}
	while (b <= CONFIG_BUCKETS)
		starts[b++] = snapshot_service_count(sn);
}

static void encode_bucket(struct wire_writer *w, const struct snapshot *sn,
			  size_t b, const size_t *starts)
{
	write_array(w, 2);
	write_uint(w, b);
	write_array(w, starts[b + 1] - starts[b]);
	for (size_t i = starts[b]; i < starts[b + 1]; i++)
		encode_service(w, snapshot_service(sn, i));
}

/* Encodes buckets until PART_MAX_BYTES is exceeded; returns their number. */
static size_t encode_buckets(struct wire_writer *w, const struct snapshot *sn,
			     const uint8_t *buckets, size_t nr,
			     const size_t *starts)
{
	size_t n = 0;

	for (; n < nr && w->buf.size < PART_MAX_BYTES; n++)
		encode_bucket(w, sn, buckets[n], starts);
	return n;
}

void send_part(struct fleet *f, const uint8_t *buckets, size_t nr,
	       const struct endpoint *to)
{
	const struct snapshot *sn = f->config->current;
	uint32_t digests[CONFIG_BUCKETS];
	size_t starts[CONFIG_BUCKETS + 1];
	struct wire_writer body;
	struct wire_writer w;

	index_buckets(sn, digests, starts);
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		digests[b] = GUINT32_TO_BE(digests[b]);
	init_wire_writer(&body);
	nr = encode_buckets(&body, sn, buckets, nr, starts);
	begin_message(&w, f, FLEET_CONFIG_PART, PART_FIELD_NR);
	write_uint(&w, snapshot_epoch(sn));
	write_uint(&w, snapshot_digest(sn));
	write_str(&w, snapshot_publish_id(sn));
	write_bin(&w, digests, sizeof(digests));
	write_array(&w, nr);
	msgpack_sbuffer_write(&w.buf, body.buf.data, body.buf.size);
	release_wire_writer(&body);
	end_message(f, &w, to);
}

/* Starts the target from the services of SN, the snapshot in force or NULL. */
static void init_target_services(struct target *t, const struct snapshot *sn)
{
	for (size_t b = 0; b < CONFIG_BUCKETS; b++) {
		t->services[b] = g_ptr_array_new_with_free_func(
			(GDestroyNotify)unref_service);
		t->received_digests[b] = 0;
	}
	for (size_t i = 0; sn && i < snapshot_service_count(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);
		size_t b = bucket_of_service(sv);

		g_ptr_array_add(t->services[b], ref_service(sv));
		t->received_digests[b] =
			add_service_digest(t->received_digests[b], sv);
	}
}

struct part {
	uint64_t epoch;
	uint64_t digest;
	char publish_id[PUBLISH_ID_MAX];
	uint32_t digests[CONFIG_BUCKETS];
};

/* Makes the snapshot of part P the target if it is newer. */
static void set_target(struct fleet *f, const struct part *p)
{
	struct target *t = &f->config->target;

	if (p->epoch <= t->epoch)
		return;
	if (!t->epoch)
		init_target_services(t, f->config->current);
	t->epoch = p->epoch;
	t->digest = p->digest;
	t->last_progress_ms = f->now_ms;
	memcpy(t->publish_id, p->publish_id, sizeof(t->publish_id));
	memcpy(t->target_digests, p->digests, sizeof(t->target_digests));
}

static void receive_bucket(struct fleet *f, size_t b, struct wire_reader *list)
{
	struct target *t = &f->config->target;
	GPtrArray *new =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	uint32_t digest = 0;

	while (list->remaining && !list->malformed) {
		struct service *sv = decode_service(list);

		if (!sv)
			continue;
		g_ptr_array_add(new, sv);
		digest = add_service_digest(digest, sv);
	}
	if (list->malformed || digest != t->target_digests[b] ||
	    digest == t->received_digests[b]) {
		g_ptr_array_free(new, TRUE);
		return;
	}
	g_ptr_array_free(t->services[b], TRUE);
	t->services[b] = new;
	t->received_digests[b] = digest;
	t->last_progress_ms = f->now_ms;
	count(f->counters, COUNT_CONFIG_PARTS);
}

static void read_buckets(struct fleet *f, struct wire_reader *list)
{
	while (list->remaining && !list->malformed) {
		struct wire_reader r;
		struct wire_reader services;
		size_t b;

		read_array(list, &r);
		b = (size_t)read_uint(&r, CONFIG_BUCKETS - 1);
		read_array(&r, &services);
		if (!r.malformed)
			receive_bucket(f, b, &services);
		list->malformed |= r.malformed || services.malformed;
	}
}

static struct snapshot *build_target(const struct target *t)
{
	GPtrArray *all = g_ptr_array_new();
	struct snapshot *sn;

	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		for (guint i = 0; i < t->services[b]->len; i++)
			g_ptr_array_add(all,
					g_ptr_array_index(t->services[b], i));
	sn = create_snapshot(t->epoch, t->publish_id,
			     (struct service *const *)all->pdata, all->len);
	g_ptr_array_free(all, TRUE);
	return sn;
}

static void finish_target(struct fleet *f, uint64_t from)
{
	struct target *t = &f->config->target;
	struct snapshot *sn;

	if (memcmp(t->received_digests, t->target_digests,
		   sizeof(t->received_digests)) != 0)
		return;
	sn = build_target(t);
	if (snapshot_digest(sn) == t->digest)
		apply_newer_snapshot(f, sn, NULL, from);
	else
		count(f->counters, COUNT_CONFIG_CORRUPT);
	drop_target(t);
	unref_snapshot(sn);
}

static bool read_part(struct wire_reader *r, struct part *p)
{
	const void *raw;
	size_t len;

	p->epoch = read_uint(r, UINT64_MAX);
	p->digest = read_uint(r, UINT64_MAX);
	read_str(r, p->publish_id, sizeof(p->publish_id));
	len = read_bin(r, &raw);
	if (r->malformed || len != sizeof(p->digests)) {
		r->malformed = true;
		return false;
	}
	memcpy(p->digests, raw, len);
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		p->digests[b] = GUINT32_FROM_BE(p->digests[b]);
	return true;
}

void on_config_part(struct fleet *f, const struct sender *from,
		    struct wire_reader *r)
{
	struct wire_reader list;
	struct part p;

	if (!read_part(r, &p) || p.epoch <= current_epoch(f->config))
		return;
	set_target(f, &p);
	read_array(r, &list);
	read_buckets(f, &list);
	r->malformed |= list.malformed;
	record_peer_epoch(f, from, p.epoch, 0);
	finish_target(f, from->id);
}
