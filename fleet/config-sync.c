/*
 * The snapshot in force and how its successors travel. A new epoch goes to
 * every link as a delta. Who missed some asks a peer that is ahead: it gets
 * the deltas if the peer still has them all, else parts (config-parts.c).
 */

#include "fleet/config-sync.h"

#define DELTA_MAX (64 * 1024)	 /* bytes; a larger one is not kept */
#define HISTORY_MAX (512 * 1024) /* bytes of deltas kept */
#define SOURCE_MS 10000		 /* a source not heard of is dropped */
#define ASK_MS 200		 /* between two rounds of questions */

static void free_stored(gpointer item)
{
	struct stored_delta *sd = item;

	g_free(sd->data);
	g_free(sd);
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

uint64_t current_epoch(const struct config_sync *cs)
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

void ask_source(struct fleet *f, const struct source *src,
		const uint8_t *buckets, size_t nr)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_CONFIG_WANT, 2);
	put_uint(&w, f->config->diverged ? 0 : current_epoch(f->config));
	put_bin(&w, buckets, nr);
	end_message(f, &w, &src->peer.at);
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
		ask_source(f,
			   &cs->sources[g_rand_int_range(
				   f->rand, 0, (gint32)cs->source_nr)],
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
	check_target(f);
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
