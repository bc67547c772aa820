/*
 * Snapshots put together from parts. A peer that is ahead sends the digest of
 * each bucket of its services and then, bucket by bucket, those that differ;
 * several peers are asked at once. So a transfer goes on where it stood when a
 * peer is lost or when the next epoch arrives, and an instance that missed
 * much fetches only what changed. The outcome is checked against the digest
 * of its epoch.
 */

#include "fleet/config-sync.h"

#include <string.h>
#include <xxhash.h>

#define CONFIG_BUCKET_SHIFT 56
#define ASK_SOURCES 4	      /* peers asked in one round */
#define ASK_BUCKETS 16	      /* buckets asked for in one round */
#define PART_MAX (256 * 1024) /* bytes; a part stops growing there */
#define TARGET_MS 5000	      /* a target without progress is given up */
#define PART_FIELD_NR 5

void drop_target(struct target *t)
{
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		if (t->pile[b])
			g_ptr_array_free(t->pile[b], TRUE);
	memset(t, 0, sizeof(*t));
}

void check_target(struct fleet *f)
{
	struct target *t = &f->config->target;

	if (t->epoch && f->now - t->progress >= TARGET_MS)
		drop_target(t);
}

/* The next buckets that differ from the target's; returns how many. */
static size_t next_buckets(struct target *t, uint8_t *buckets, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < CONFIG_BUCKETS && n < max; i++) {
		size_t b = t->next++ % CONFIG_BUCKETS;

		if (t->have[b] != t->digests[b])
			buckets[n++] = (uint8_t)b;
	}
	return n;
}

/* The sources that have the target's epoch or a later one. */
static size_t find_holders(const struct config_sync *cs,
			   const struct source **out)
{
	size_t nr = 0;

	for (size_t i = 0; i < cs->source_nr; i++)
		if (cs->sources[i].epoch >= cs->target.epoch)
			out[nr++] = &cs->sources[i];
	return nr;
}

void ask_for_parts(struct fleet *f)
{
	struct config_sync *cs = f->config;
	const struct source *holders[SOURCE_MAX];
	size_t nr = find_holders(cs, holders);
	size_t start = (size_t)g_rand_int_range(f->rand, 0, SOURCE_MAX);
	size_t asked = nr < ASK_SOURCES ? nr : ASK_SOURCES;

	for (size_t i = 0; i < asked; i++) {
		uint8_t buckets[ASK_BUCKETS];
		size_t n =
			next_buckets(&cs->target, buckets, ASK_BUCKETS / asked);

		if (n)
			ask_source(f, holders[(start + i) % nr], buckets, n);
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

/* Digest of each bucket, and where each starts among the services. */
static void survey_snapshot(const struct snapshot *sn, uint32_t *digests,
			    size_t *starts)
{
	size_t b = 0;

	memset(digests, 0, CONFIG_BUCKETS * sizeof(*digests));
	for (size_t i = 0; i < snapshot_service_nr(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);

		while (b <= bucket_of_service(sv))
			starts[b++] = i;
		digests[b - 1] = add_service_digest(digests[b - 1], sv);
	}
	while (b <= CONFIG_BUCKETS)
		starts[b++] = snapshot_service_nr(sn);
}

static void put_bucket(struct wire_writer *w, const struct snapshot *sn,
		       size_t b, const size_t *starts)
{
	put_array(w, 2);
	put_uint(w, b);
	put_array(w, starts[b + 1] - starts[b]);
	for (size_t i = starts[b]; i < starts[b + 1]; i++)
		encode_service(w, snapshot_service(sn, i));
}

/* Encodes the buckets that fit; returns how many those are. */
static size_t encode_buckets(struct wire_writer *w, const struct snapshot *sn,
			     const uint8_t *buckets, size_t nr,
			     const size_t *starts)
{
	size_t n = 0;

	for (; n < nr && w->buf.size < PART_MAX; n++)
		put_bucket(w, sn, buckets[n], starts);
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

	survey_snapshot(sn, digests, starts);
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		digests[b] = GUINT32_TO_BE(digests[b]);
	init_wire_writer(&body);
	nr = encode_buckets(&body, sn, buckets, nr, starts);
	begin_message(&w, f, FLEET_CONFIG_PART, PART_FIELD_NR);
	put_uint(&w, snapshot_epoch(sn));
	put_uint(&w, snapshot_digest(sn));
	put_str(&w, snapshot_publish_id(sn));
	put_bin(&w, digests, sizeof(digests));
	put_array(&w, nr);
	msgpack_sbuffer_write(&w.buf, body.buf.data, body.buf.size);
	release_wire_writer(&body);
	end_message(f, &w, to);
}

/* Sorts what is in force into the target's pile, to start from that. */
static void fill_pile(struct target *t, const struct snapshot *sn)
{
	for (size_t b = 0; b < CONFIG_BUCKETS; b++) {
		t->pile[b] = g_ptr_array_new_with_free_func(
			(GDestroyNotify)unref_service);
		t->have[b] = 0;
	}
	for (size_t i = 0; sn && i < snapshot_service_nr(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);
		size_t b = bucket_of_service(sv);

		g_ptr_array_add(t->pile[b], ref_service(sv));
		t->have[b] = add_service_digest(t->have[b], sv);
	}
}

struct part {
	uint64_t epoch;
	uint64_t digest;
	char publish_id[PUBLISH_ID_MAX];
	uint32_t digests[CONFIG_BUCKETS];
};

/* Makes the snapshot of PART the one to put together, if it is newer. */
static void aim_at(struct fleet *f, const struct part *p)
{
	struct target *t = &f->config->target;

	if (p->epoch <= t->epoch)
		return;
	if (!t->epoch)
		fill_pile(t, f->config->current);
	t->epoch = p->epoch;
	t->digest = p->digest;
	t->progress = f->now;
	memcpy(t->publish_id, p->publish_id, sizeof(t->publish_id));
	memcpy(t->digests, p->digests, sizeof(t->digests));
}

static void take_bucket(struct fleet *f, size_t b, struct wire_reader *list)
{
	struct target *t = &f->config->target;
	GPtrArray *new =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	uint32_t h = 0;

	while (list->left && !list->bad) {
		struct service *sv = decode_service(list);

		if (!sv)
			continue;
		g_ptr_array_add(new, sv);
		h = add_service_digest(h, sv);
	}
	if (list->bad || h != t->digests[b] || h == t->have[b]) {
		g_ptr_array_free(new, TRUE);
		return;
	}
	g_ptr_array_free(t->pile[b], TRUE);
	t->pile[b] = new;
	t->have[b] = h;
	t->progress = f->now;
	count(f->counters, COUNT_CONFIG_PARTS);
}

static void read_buckets(struct fleet *f, struct wire_reader *list)
{
	while (list->left && !list->bad) {
		struct wire_reader r;
		struct wire_reader services;
		size_t b;

		take_array(list, &r);
		b = (size_t)take_uint(&r, CONFIG_BUCKETS - 1);
		take_array(&r, &services);
		if (!r.bad)
			take_bucket(f, b, &services);
		list->bad |= r.bad || services.bad;
	}
}

static struct snapshot *build_target(const struct target *t)
{
	GPtrArray *all = g_ptr_array_new();
	struct snapshot *sn;

	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		for (guint i = 0; i < t->pile[b]->len; i++)
			g_ptr_array_add(all, g_ptr_array_index(t->pile[b], i));
	sn = create_snapshot(t->epoch, t->publish_id,
			     (struct service *const *)all->pdata, all->len);
	g_ptr_array_free(all, TRUE);
	return sn;
}

static void finish_target(struct fleet *f, uint64_t from)
{
	struct target *t = &f->config->target;
	struct snapshot *sn;

	if (memcmp(t->have, t->digests, sizeof(t->have)) != 0)
		return;
	sn = build_target(t);
	if (snapshot_digest(sn) == t->digest)
		offer_snapshot(f, sn, NULL, from);
	else
		count(f->counters, COUNT_CONFIG_CORRUPT);
	drop_target(t);
	unref_snapshot(sn);
}

static bool read_part(struct wire_reader *r, struct part *p)
{
	const void *raw;
	size_t len;

	p->epoch = take_uint(r, UINT64_MAX);
	p->digest = take_uint(r, UINT64_MAX);
	take_str(r, p->publish_id, sizeof(p->publish_id));
	len = take_bin(r, &raw);
	if (r->bad || len != sizeof(p->digests)) {
		r->bad = true;
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
	aim_at(f, &p);
	take_array(r, &list);
	read_buckets(f, &list);
	r->bad |= list.bad;
	note_epoch(f, from, p.epoch, 0);
	finish_target(f, from->id);
}
