/*
 * The snapshot in force and the distribution of later ones. A new epoch is
 * pushed along every link as a delta. An instance that missed deltas sends a
 * request to a peer with a later epoch. The peer answers with the deltas if it
 * still has all of them, else with parts (config-parts.c).
 */

#include "fleet/config-sync.h"

#define DELTA_MAX_BYTES (64 * 1024)    /* bytes; a larger one is not kept */
#define HISTORY_MAX_BYTES (512 * 1024) /* bytes of deltas kept */
#define SOURCE_EXPIRY_MS 10000	/* a source silent for so long is dropped */
#define REQUEST_INTERVAL_MS 200 /* between two rounds of requests */

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
	return cs->current_digest;
}

uint64_t current_epoch(const struct config_sync *cs)
{
	return cs->current ? snapshot_epoch(cs->current) : 0;
}

/* Keeps D to answer later requests; NULL if it is too large to keep. */
static const struct stored_delta *store_delta(struct config_sync *cs,
					      const struct delta *d)
{
	struct stored_delta *sd;
	struct wire_writer w;

	init_wire_writer(&w);
	encode_delta(&w, d);
	if (w.buf.size > DELTA_MAX_BYTES) {
		release_wire_writer(&w);
		return NULL;
	}
	sd = g_new0(struct stored_delta, 1);
	sd->from_epoch = delta_from(d);
	sd->to_epoch = delta_to(d);
	sd->len = w.buf.size;
	sd->data = g_memdup2(w.buf.data, w.buf.size);
	release_wire_writer(&w);
	g_queue_push_tail(&cs->history, sd);
	cs->history_bytes += sd->len;
	while (cs->history_bytes > HISTORY_MAX_BYTES) {
		struct stored_delta *old = g_queue_pop_head(&cs->history);

		cs->history_bytes -= old->len;
		free_stored(old);
	}
	return sd;
}

static void send_delta(struct fleet *f, const struct stored_delta *sd,
		       const struct endpoint *to)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_DELTAS, 1);
	write_array(&w, 1);
	msgpack_sbuffer_write(&w.buf, sd->data, sd->len);
	end_message(f, &w, to);
}

/*
 * Sends the delta along every link but that to FROM; without one, a ping, whose
 * summary shows the new epoch.
 */
static void push_epoch(struct fleet *f, const struct stored_delta *sd,
		       uint64_t from)
{
	for (size_t i = 0; i < f->link_nr; i++) {
		if (f->links[i].id == from)
			continue;
		if (sd)
			send_delta(f, sd, &f->links[i].address);
		else
			send_ping(f, &f->links[i].address, ++f->last_sequence);
	}
}

/* Stores D or, if it is NULL, a delta from the present snapshot to SN. */
static const struct stored_delta *store_delta_to(struct config_sync *cs,
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

/* Adds FLEET_APPLY or, if this step has added one already, updates that. */
static void report_snapshot(struct fleet *f)
{
	struct fleet_actions *as = f->out;

	for (size_t i = as->nr; i-- > 0;)
		if (as->items[i].kind == FLEET_APPLY) {
			as->items[i].snapshot = f->config->current;
			return;
		}
	add_action(f, FLEET_APPLY)->snapshot = f->config->current;
}

static void put_in_force(struct fleet *f, const struct snapshot *sn)
{
	struct config_sync *cs = f->config;

	unref_snapshot(cs->current);
	cs->current = ref_snapshot(sn);
	cs->current_digest = (uint32_t)snapshot_digest(sn);
	if (cs->target.epoch <= snapshot_epoch(sn))
		drop_target(&cs->target);
	cs->diverged = false;
	report_snapshot(f);
	count(f->counters, COUNT_CONFIG_APPLIED);
}

void apply_newer_snapshot(struct fleet *f, const struct snapshot *sn,
			  const struct delta *d, uint64_t from)
{
	struct config_sync *cs = f->config;
	uint64_t epoch = snapshot_epoch(sn);
	const struct stored_delta *sd;

	if (cs->current && epoch <= current_epoch(cs)) {
		if (epoch < current_epoch(cs))
			count(f->counters, COUNT_CONFIG_STALE);
		else if ((uint32_t)snapshot_digest(sn) != cs->current_digest)
			count(f->counters, COUNT_CONFIG_CONFLICT);
		return;
	}
	sd = store_delta_to(cs, sn, d);
	put_in_force(f, sn);
	push_epoch(f, sd, from);
}

void request_from_source(struct fleet *f, const struct source *src,
			 const uint8_t *buckets, size_t nr)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_CONFIG_WANT, 2);
	write_uint(&w, f->config->diverged ? 0 : current_epoch(f->config));
	write_bin(&w, buckets, nr);
	end_message(f, &w, &src->peer.endpoint);
}

static void expire_sources(struct fleet *f)
{
	struct config_sync *cs = f->config;

	for (size_t i = cs->source_nr; i-- > 0;)
		if (cs->sources[i].epoch <= current_epoch(cs) ||
		    f->now_ms - cs->sources[i].last_heard_ms >=
			    SOURCE_EXPIRY_MS)
			cs->sources[i] = cs->sources[--cs->source_nr];
}

static void request_config(struct fleet *f)
{
	struct config_sync *cs = f->config;

	expire_sources(f);
	if (!cs->source_nr ||
	    f->now_ms - cs->requested_at_ms < REQUEST_INTERVAL_MS)
		return;
	cs->requested_at_ms = f->now_ms;
	if (cs->target.epoch)
		request_missing_buckets(f);
	else
		request_from_source(f,
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

void record_peer_epoch(struct fleet *f, const struct sender *from,
		       uint64_t epoch, uint32_t digest)
{
	struct config_sync *cs = f->config;
	struct source *src = find_source(cs, from->id);

	if (epoch && epoch == current_epoch(cs) && digest != cs->current_digest)
		count(f->counters, COUNT_CONFIG_CONFLICT);
	if (epoch <= current_epoch(cs))
		return;
	if (!src && cs->source_nr < SOURCE_MAX)
		src = &cs->sources[cs->source_nr++];
	if (src) {
		src->peer = *from;
		src->epoch = epoch;
		src->last_heard_ms = f->now_ms;
	}
	request_config(f);
}

void tick_config(struct fleet *f)
{
	expire_target(f);
	request_config(f);
}

static void handle_delta(struct fleet *f, const struct sender *from,
			 const struct delta *d)
{
	struct config_sync *cs = f->config;
	struct snapshot *sn;

	if (delta_to(d) <= current_epoch(cs))
		return;
	sn = cs->current ? apply_delta(cs->current, d) : NULL;
	if (!sn) {
		cs->diverged = delta_from(d) == current_epoch(cs);
		record_peer_epoch(f, from, delta_to(d), 0);
		return;
	}
	count(f->counters, COUNT_CONFIG_DELTAS);
	apply_newer_snapshot(f, sn, d, from->id);
	unref_snapshot(sn);
}

void on_deltas(struct fleet *f, const struct sender *from,
	       struct wire_reader *r)
{
	struct wire_reader list;

	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		struct delta *d = decode_delta(&list);

		if (d)
			handle_delta(f, from, d);
		destroy_delta(d);
	}
	r->malformed |= list.malformed;
}

/* The stored delta from EPOCH to the latest epoch, or NULL. */
static const struct stored_delta *find_delta(const struct config_sync *cs,
					     uint64_t epoch)
{
	const struct stored_delta *best = NULL;

	for (const GList *l = cs->history.head; l; l = l->next) {
		const struct stored_delta *sd = l->data;

		if (sd->from_epoch == epoch &&
		    (!best || sd->to_epoch > best->to_epoch))
			best = sd;
	}
	return best;
}

/* Sends the deltas that follow EPOCH; false if the history lacks one. */
static bool send_history(struct fleet *f, uint64_t epoch,
			 const struct endpoint *to)
{
	const struct config_sync *cs = f->config;
	GPtrArray *list = g_ptr_array_new();
	struct wire_writer w;
	size_t bytes = 0;
	bool found;

	while (epoch < current_epoch(cs) && bytes < FLEET_REPLY_MAX_BYTES) {
		const struct stored_delta *sd = find_delta(cs, epoch);

		if (!sd)
			break;
		g_ptr_array_add(list, (gpointer)sd);
		bytes += sd->len;
		epoch = sd->to_epoch;
	}
	found = epoch == current_epoch(cs) || bytes >= FLEET_REPLY_MAX_BYTES;
	if (found) {
		begin_message(&w, f, FLEET_DELTAS, 1);
		write_array(&w, list->len);
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
	uint64_t epoch = read_uint(r, UINT64_MAX);
	const void *buckets;
	size_t nr = read_bin(r, &buckets);

	if (r->malformed || current_epoch(f->config) <= epoch)
		return;
	if (nr || !send_history(f, epoch, &from->endpoint))
		send_part(f, buckets, nr, &from->endpoint);
}
