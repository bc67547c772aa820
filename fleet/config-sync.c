/*
 * The snapshot in force and how it travels. A new epoch goes to every link as
 * a delta. Who missed some asks a peer that is ahead: it gets the deltas if
 * the peer still has them all, else the digest of each bucket of services and
 * then, bucket by bucket and from several peers, the services of those that
 * differ. So a transfer goes on where it stood when a peer is lost or when
 * the next epoch arrives, and one that missed much fetches only what changed.
 * What was put together is checked against the digest of its epoch.
 */

#include "fleet/internal.h"

#include <string.h>
#include <xxhash.h>

#define CONFIG_BUCKETS 256 /* by the highest 8 bits of a service's id */
#define CONFIG_BUCKET_SHIFT 56
#define DELTA_MAX (64 * 1024)	 /* bytes; a larger one is not kept */
#define HISTORY_MAX (512 * 1024) /* bytes of deltas kept */
#define SOURCE_MAX 8		 /* peers known to be ahead */
#define SOURCE_MS 10000		 /* a source not heard of is dropped */
#define ASK_MS 200		 /* between two rounds of questions */
#define ASK_SOURCES 4		 /* peers asked in one round */
#define ASK_BUCKETS 16		 /* buckets asked for in one round */
#define PART_MAX (256 * 1024)	 /* bytes; a part stops growing there */
#define TARGET_MS 5000		 /* a target without progress is given up */
#define PART_FIELD_NR 5

struct stored_delta {
	uint64_t from;
	uint64_t to;
	size_t len;
	char *data; /* encoded */
};

struct source {
	struct sender peer;
	uint64_t epoch;
	uint64_t heard; /* ms */
};

/* A snapshot that is being put together from parts. */
struct target {
	uint64_t epoch; /* 0: none */
	uint64_t digest;
	uint64_t progress; /* ms of the last bucket */
	char publish_id[PUBLISH_ID_MAX];
	uint32_t digests[CONFIG_BUCKETS];
	uint32_t have[CONFIG_BUCKETS];	 /* digests of what is in pile */
	GPtrArray *pile[CONFIG_BUCKETS]; /* of struct service, by id */
	size_t next;			 /* bucket to ask for next */
};

struct config_sync {
	struct snapshot *current;
	uint32_t digest;    /* of current, shortened */
	GQueue history;	    /* of struct stored_delta, oldest first */
	size_t history_len; /* bytes */
	struct source sources[SOURCE_MAX];
	size_t source_nr;
	uint64_t asked; /* ms of the last round of questions */
	bool diverged; /* a delta did not fit what is in force: ask for parts */
	struct target target;
};

static void free_stored(gpointer item)
{
	struct stored_delta *sd = item;

	g_free(sd->data);
	g_free(sd);
}

static void drop_target(struct target *t)
{
	for (size_t b = 0; b < CONFIG_BUCKETS; b++)
		if (t->pile[b])
			g_ptr_array_free(t->pile[b], TRUE);
	memset(t, 0, sizeof(*t));
}

struct config_sync *create_config_sync(void)
{
	struct config_sync *cs = g_new0(struct config_sync, 1);

	g_queue_init(&cs->history);
	return cs;
}

void destroy_config_sync(struct config_sync *cs)
{
	drop_target(&cs->target);
	g_queue_clear_full(&cs->history, free_stored);
	unref_snapshot(cs->current);
	g_free(cs);
}

const struct snapshot *current_snapshot(const struct config_sync *cs)
{
	return cs->current;
}

uint32_t current_digest(const struct config_sync *cs)
{
	return cs->digest;
}

static uint64_t current_epoch(const struct config_sync *cs)
{
	return cs->current ? snapshot_epoch(cs->current) : 0;
}

/* Keeps D for those who ask; NULL if it is too large to keep. */
static const struct stored_delta *store_delta(struct config_sync *cs,
					      const struct delta *d)
{
	struct stored_delta *sd;
	struct wire_writer w;

	init_wire_writer(&w);
	encode_delta(&w, d);
	if (w.buf.size > DELTA_MAX) {
		release_wire_writer(&w);
		return NULL;
	}
	sd = g_new0(struct stored_delta, 1);
	sd->from = delta_from(d);
	sd->to = delta_to(d);
	sd->len = w.buf.size;
	sd->data = g_memdup2(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	g_queue_push_tail(&cs->history, sd);
	cs->history_len += sd->len;
	while (cs->history_len > HISTORY_MAX) {
		struct stored_delta *old = g_queue_pop_head(&cs->history);

		cs->history_len -= old->len;
		free_stored(old);
	}
	return sd;
}

static void send_delta(struct fleet *f, const struct stored_delta *sd,
		       const struct endpoint *to)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_DELTAS, 1);
	put_array(&w, 1);
	msgpack_sbuffer_write(&w.buf, sd->data, sd->len);
	end_message(f, &w, to);
}

/* Tells every link but FROM: the delta, or only that there is an epoch. */
static void push_epoch(struct fleet *f, const struct stored_delta *sd,
		       uint64_t from)
{
	for (size_t i = 0; i < f->link_nr; i++) {
		if (f->links[i].id == from)
			continue;
		if (sd)
			send_delta(f, sd, &f->links[i].at);
		else
			send_ping(f, &f->links[i].at, ++f->sequence);
	}
}

static const struct stored_delta *keep_history(struct config_sync *cs,
					       const struct snapshot *sn,
					       const struct delta *d)
{
	const struct stored_delta *sd;
	struct delta *own;

	if (d)
		return store_delta(cs, d);
	if (!cs->current)
		return NULL;
	own = create_delta(cs->current, sn);
	sd = store_delta(cs, own);
	destroy_delta(own);
	return sd;
}

/* One action for all epochs of a step: the last is the one in force. */
static void show_snapshot(struct fleet *f)
{
	struct fleet_actions *as = f->out;

	for (size_t i = as->nr; i-- > 0;)
		if (as->at[i].kind == FLEET_APPLY) {
			as->at[i].snapshot = f->config->current;
			return;
		}
	add_action(f, FLEET_APPLY)->snapshot = f->config->current;
}

static void apply(struct fleet *f, const struct snapshot *sn)
{
	struct config_sync *cs = f->config;

	unref_snapshot(cs->current);
	cs->current = ref_snapshot(sn);
	cs->digest = (uint32_t)snapshot_digest(sn);
	if (cs->target.epoch <= snapshot_epoch(sn))
		drop_target(&cs->target);
	cs->diverged = false;
	show_snapshot(f);
	count(f->counters, COUNT_CONFIG_APPLIED);
}

void offer_snapshot(struct fleet *f, const struct snapshot *sn,
		    const struct delta *d, uint64_t from)
{
	struct config_sync *cs = f->config;
	uint64_t epoch = snapshot_epoch(sn);
	const struct stored_delta *sd;

	if (cs->current && epoch <= current_epoch(cs)) {
		if (epoch < current_epoch(cs))
			count(f->counters, COUNT_CONFIG_STALE);
		else if ((uint32_t)snapshot_digest(sn) != cs->digest)
			count(f->counters, COUNT_CONFIG_CONFLICT);
		return;
	}
	sd = keep_history(cs, sn, d);
	apply(f, sn);
	push_epoch(f, sd, from);
}

static void ask(struct fleet *f, const struct source *src,
		const uint8_t *buckets, size_t nr)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_CONFIG_WANT, 2);
	put_uint(&w, f->config->diverged ? 0 : current_epoch(f->config));
	put_bin(&w, buckets, nr);
	end_message(f, &w, &src->peer.at);
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

static void ask_for_parts(struct fleet *f)
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
			ask(f, holders[(start + i) % nr], buckets, n);
	}
}

static void drop_sources(struct fleet *f)
{
	struct config_sync *cs = f->config;

	for (size_t i = cs->source_nr; i-- > 0;)
		if (cs->sources[i].epoch <= current_epoch(cs) ||
		    f->now - cs->sources[i].heard >= SOURCE_MS)
			cs->sources[i] = cs->sources[--cs->source_nr];
}

static void ask_sources(struct fleet *f)
{
	struct config_sync *cs = f->config;

	drop_sources(f);
	if (!cs->source_nr || f->now - cs->asked < ASK_MS)
		return;
	cs->asked = f->now;
	if (cs->target.epoch)
		ask_for_parts(f);
	else
		ask(f,
		    &cs->sources[g_rand_int_range(f->rand, 0,
						  (gint32)cs->source_nr)],
		    NULL, 0);
}

static struct source *find_source(struct config_sync *cs, uint64_t id)
{
	for (size_t i = 0; i < cs->source_nr; i++)
		if (cs->sources[i].peer.id == id)
			return &cs->sources[i];
	return NULL;
}

void note_epoch(struct fleet *f, const struct sender *from, uint64_t epoch,
		uint32_t digest)
{
	struct config_sync *cs = f->config;
	struct source *src = find_source(cs, from->id);

	if (epoch && epoch == current_epoch(cs) && digest != cs->digest)
		count(f->counters, COUNT_CONFIG_CONFLICT);
	if (epoch <= current_epoch(cs))
		return;
	if (!src && cs->source_nr < SOURCE_MAX)
		src = &cs->sources[cs->source_nr++];
	if (src) {
		src->peer = *from;
		src->epoch = epoch;
		src->heard = f->now;
	}
	ask_sources(f);
}

void tick_config(struct fleet *f)
{
	struct target *t = &f->config->target;

	if (t->epoch && f->now - t->progress >= TARGET_MS)
		drop_target(t);
	ask_sources(f);
}

static void take_delta(struct fleet *f, const struct sender *from,
		       const struct delta *d)
{
	struct config_sync *cs = f->config;
	struct snapshot *sn;

	if (delta_to(d) <= current_epoch(cs))
		return;
	sn = cs->current ? apply_delta(cs->current, d) : NULL;
	if (!sn) {
		cs->diverged = delta_from(d) == current_epoch(cs);
		note_epoch(f, from, delta_to(d), 0);
		return;
	}
	count(f->counters, COUNT_CONFIG_DELTAS);
	offer_snapshot(f, sn, d, from->id);
	unref_snapshot(sn);
}

void on_deltas(struct fleet *f, const struct sender *from,
	       struct wire_reader *r)
{
	struct wire_reader list;

	take_array(r, &list);
	while (list.left && !list.bad) {
		struct delta *d = decode_delta(&list);

		if (d)
			take_delta(f, from, d);
		destroy_delta(d);
	}
	r->bad |= list.bad;
}

/* The stored delta that starts from EPOCH and leads furthest, or NULL. */
static const struct stored_delta *find_delta(const struct config_sync *cs,
					     uint64_t epoch)
{
	const struct stored_delta *best = NULL;

	for (const GList *l = cs->history.head; l; l = l->next) {
		const struct stored_delta *sd = l->data;

		if (sd->from == epoch && (!best || sd->to > best->to))
			best = sd;
	}
	return best;
}

/* Sends what leads from EPOCH on; false if the history lacks it. */
static bool send_history(struct fleet *f, uint64_t epoch,
			 const struct endpoint *to)
{
	const struct config_sync *cs = f->config;
	GPtrArray *list = g_ptr_array_new();
	struct wire_writer w;
	size_t bytes = 0;
	bool found;

	while (epoch < current_epoch(cs) && bytes < FLEET_REPLY_MAX) {
		const struct stored_delta *sd = find_delta(cs, epoch);

		if (!sd)
			break;
		g_ptr_array_add(list, (gpointer)sd);
		bytes += sd->len;
		epoch = sd->to;
	}
	found = epoch == current_epoch(cs) || bytes >= FLEET_REPLY_MAX;
	if (found) {
		begin_message(&w, f, FLEET_DELTAS, 1);
		put_array(&w, list->len);
		for (guint i = 0; i < list->len; i++) {
			const struct stored_delta *sd =
				g_ptr_array_index(list, i);

			msgpack_sbuffer_write(&w.buf, sd->data, sd->len);
		}
		end_message(f, &w, to);
	}
	g_ptr_array_free(list, TRUE);
	return found;
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

static void send_part(struct fleet *f, const uint8_t *buckets, size_t nr,
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

void on_config_want(struct fleet *f, const struct sender *from,
		    struct wire_reader *r)
{
	uint64_t epoch = take_uint(r, UINT64_MAX);
	const void *buckets;
	size_t nr = take_bin(r, &buckets);

	if (r->bad || current_epoch(f->config) <= epoch)
		return;
	if (nr || !send_history(f, epoch, &from->at))
		send_part(f, buckets, nr, &from->at);
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
