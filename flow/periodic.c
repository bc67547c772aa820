/*
 * Periodic work: gossips marks, sweeps the flow table and sends copies of
 * records to new replicas, all within FLOW_CONTROL_BUDGET. Also handles the
 * messages of this work.
 */

#include <string.h>

#include "flow/state.h"

#define SWEEP_PERIOD_MS 10000	     /* for one sweep of the flow table */
#define HANDOVER_SWEEP_PERIOD_MS 500 /* for one sweep while leaving */
#define CONFIRMATION_WAIT_S 10 /* before copies of an unsure record are sent */
#define MARK_EXPIRY_INTERVAL_MS 10000
#define CONTROL_BURST (8 * FLOW_CONTROL_BUDGET) /* bytes */
#define LEARN_BURST (8 * FLOW_LEARN_BUDGET)	/* bytes */
#define MARK_FIELDS 3				/* of a mark on the wire */
#define COPY_FIELDS 4				/* of a record on the wire */
#define MARKS_PER_MESSAGE 40
#define COPIES_PER_MESSAGE 30
#define COPY_BYTES_ESTIMATE 32	  /* of a record on the wire */
#define NOTIFY_PER_TICK 4	  /* peers sent marks in a large fleet */
#define SMALL_FLEET_OTHERS_MAX 16 /* up to this many, all are sent marks */
#define COPY_BATCHES_MAX 16	  /* in one tick */

/* Copies of records collected in one tick for one replica. */
struct copy_batch {
	uint64_t member_id;
	size_t entry_nr;
	struct flow_entry entries[COPIES_PER_MESSAGE];
};

/* OUT if the budget and OUT have room for a control message, else NULL. */
static struct flow_actions *may_send_control(struct flows *fs,
					     struct flow_actions *out)
{
	return fs->control_tokens > 0 && out->nr < FLOW_ACTIONS_MAX ? out
								    : NULL;
}

/* Sends the array in W as the body of M to member ID. */
static void send_array(struct flows *fs, uint64_t id, struct flow_message *m,
		       const struct wire_writer *w, struct flow_actions *out)
{
	struct flow_action *a;

	if (out->nr == FLOW_ACTIONS_MAX || w->buf.size > FLOW_BODY_MAX)
		return;
	m->body = out->body[out->nr];
	m->body_len = w->buf.size;
	if (m->body_len)
		memcpy(out->body[out->nr], w->buf.data, m->body_len);
	if (!send_to_member(fs, id, m, out))
		return;
	a = &out->actions[out->nr - 1];
	fs->control_tokens -= (int64_t)(a->header_len + a->data_len);
	count_n(fs->counters, COUNT_FLOW_CONTROL_BYTES,
		a->header_len + a->data_len);
}

/* Marks collected for one message. */
struct mark_list {
	struct {
		uint64_t service;
		struct unsettled_mark *mark;
	} marks[MARKS_PER_MESSAGE];
	size_t mark_nr;
	size_t skip_nr; /* marks still to be skipped, as they were sent */
	bool all_marks; /* not only those with peers_to_notify */
};

static bool collect_mark(uint64_t service, struct unsettled_mark *m, void *user)
{
	struct mark_list *list = user;

	if (!list->all_marks && !m->peers_to_notify)
		return true;
	if (list->skip_nr) {
		list->skip_nr--;
		return true;
	}
	list->marks[list->mark_nr].service = service;
	list->marks[list->mark_nr].mark = m;
	return ++list->mark_nr < MARKS_PER_MESSAGE;
}

static void send_marks(struct flows *fs, uint64_t id,
		       const struct mark_list *list, bool last, uint64_t now_ms,
		       struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_UNSETTLED, .flag = last };
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, list->mark_nr * MARK_FIELDS);
	for (size_t i = 0; i < list->mark_nr; i++) {
		write_uint(&w, list->marks[i].service);
		write_uint(&w, list->marks[i].mark->upstream);
		write_uint(&w, (list->marks[i].mark->until_ms - now_ms) / 1000);
	}
	send_array(fs, id, &m, &w, out);
	release_wire_writer(&w);
}

/* Ids of the other members, or of a random NOTIFY_PER_TICK in a large fleet. */
static GArray *choose_peers(struct flows *fs)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *ms;
	size_t nr;

	ms = view_members(fs->view, &nr);
	for (size_t i = 0; i < nr; i++)
		if (ms[i].id != fs->self_id && ms[i].state != MEMBER_DEAD)
			g_array_append_val(ids, ms[i].id);
	if (ids->len <= SMALL_FLEET_OTHERS_MAX)
		return ids;
	for (guint i = 0; i < NOTIFY_PER_TICK; i++) {
		guint k = (guint)g_rand_int_range(fs->rand, (gint32)i,
						  (gint32)ids->len);
		uint64_t t = g_array_index(ids, uint64_t, i);

		g_array_index(ids, uint64_t, i) =
			g_array_index(ids, uint64_t, k);
		g_array_index(ids, uint64_t, k) = t;
	}
	g_array_set_size(ids, NOTIFY_PER_TICK);
	return ids;
}

/* Sends marks that have peers left to notify. */
static void gossip_marks(struct flows *fs, uint64_t now_ms,
			 struct flow_actions *out)
{
	struct mark_list list = { .mark_nr = 0 };
	GArray *peers;

	if (!may_send_control(fs, out))
		return;
	for_each_mark(fs->unsettled_marks, now_ms, collect_mark, &list);
	if (!list.mark_nr)
		return;
	peers = choose_peers(fs);
	for (guint i = 0; i < peers->len; i++)
		send_marks(fs, g_array_index(peers, uint64_t, i), &list, false,
			   now_ms, out);
	for (size_t i = 0; i < list.mark_nr; i++) {
		struct unsettled_mark *m = list.marks[i].mark;

		m->peers_to_notify -=
			(uint8_t)MIN(m->peers_to_notify, peers->len);
	}
	g_array_free(peers, TRUE);
}

/* Sends all marks to the requesters, over as many ticks as the budget needs. */
static void answer_sync_requests(struct flows *fs, uint64_t now_ms,
				 struct flow_actions *out)
{
	while (fs->sync_requester_ids->len && may_send_control(fs, out)) {
		struct mark_list list = { .all_marks = true,
					  .skip_nr = fs->sync_sent_marks };
		uint64_t id =
			g_array_index(fs->sync_requester_ids, uint64_t, 0);
		bool last;

		for_each_mark(fs->unsettled_marks, now_ms, collect_mark, &list);
		last = list.mark_nr < MARKS_PER_MESSAGE;
		send_marks(fs, id, &list, last, now_ms, out);
		fs->sync_sent_marks =
			last ? 0 : fs->sync_sent_marks + list.mark_nr;
		if (last)
			g_array_remove_index(fs->sync_requester_ids, 0);
	}
}

/* Requests all marks of another member, until a member has sent them. */
static void request_sync(struct flows *fs, struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_SYNC };
	struct wire_writer w;
	GArray *peers;

	if (fs->marks_synced)
		return;
	peers = choose_peers(fs);
	init_wire_writer(&w);
	if (peers->len && may_send_control(fs, out)) {
		guint i = (guint)g_rand_int_range(fs->rand, 0,
						  (gint32)peers->len);

		send_array(fs, g_array_index(peers, uint64_t, i), &m, &w, out);
	}
	release_wire_writer(&w);
	g_array_free(peers, TRUE);
}

static struct copy_batch *get_or_create_batch(GArray *batches, uint64_t member)
{
	struct copy_batch fresh = { .member_id = member };

	for (guint i = 0; i < batches->len; i++) {
		struct copy_batch *b =
			&g_array_index(batches, struct copy_batch, i);

		if (b->member_id == member)
			return b->entry_nr < COPIES_PER_MESSAGE ? b : NULL;
	}
	if (batches->len == COPY_BATCHES_MAX)
		return NULL;
	g_array_append_val(batches, fresh);
	return &g_array_index(batches, struct copy_batch, batches->len - 1);
}

/* Queues copies of E for its replicas; false if there is no room. */
static bool queue_copies(struct flows *fs, struct flow_entry *e,
			 const struct replica_pair *pair, GArray *batches,
			 uint64_t now_ms)
{
	for (uint8_t i = 0; i < pair->nr; i++) {
		struct copy_batch *b;

		if (pair->id[i] == fs->self_id)
			continue;
		b = get_or_create_batch(batches, pair->id[i]);
		if (!b || fs->control_tokens <= 0)
			return false;
		b->entries[b->entry_nr++] = *e;
		fs->control_tokens -= COPY_BYTES_ESTIMATE;
		count(fs->counters, COUNT_FLOW_COPIED);
	}
	e->replicas_fingerprint = pair->fingerprint;
	e->renewed_s = (uint32_t)(now_ms / 1000);
	if (!is_flow_replica(pair, fs->self_id))
		e->kind = ENTRY_CACHED;
	return true;
}

/*
 * Removes E if the flow has ended or is idle. Else renews the mark of its slot
 * and queues copies for new replicas. False if E was removed.
 */
static bool maintain_entry(struct flows *fs, struct flow_entry *e,
			   GArray *batches, uint64_t now_ms)
{
	struct route *rt = find_route_by_id(fs, e->service, now_ms);
	uint32_t idle_for_s = (uint32_t)(now_ms / 1000) - e->last_packet_s;
	struct route_inputs in = route_inputs(fs, now_ms);
	uint32_t slot = flow_slot(e->hash);
	struct replica_pair pair;
	struct slot_upstreams c;

	if (!rt || idle_for_s > route_service(rt)->idle_ms / 1000 ||
	    (e->closing && idle_for_s > CLOSING_TIMEOUT_S) ||
	    (e->kind == ENTRY_AT_BASE && idle_for_s > CACHE_TTL_S)) {
		remove_flow(fs->table, e);
		return false;
	}
	if (e->kind != ENTRY_REPLICA)
		return true;
	c = choose_slot_upstreams(rt, slot);
	if (!c.base || c.base->id != e->upstream)
		set_unsettled_mark(fs->unsettled_marks, e->service,
				   slot_mark_upstream(rt, slot),
				   now_ms + MARK_LIFETIME_MS, now_ms,
				   in.peers_to_notify);
	pair = find_flow_replicas(fs->replicas, e->service, slot);
	if (!fs->leaving && !e->replicas_fingerprint &&
	    now_ms / 1000 - e->renewed_s < CONFIRMATION_WAIT_S)
		return true;
	if (e->replicas_fingerprint != pair.fingerprint &&
	    fs->control_tokens > 0)
		queue_copies(fs, e, &pair, batches, now_ms);
	return true;
}

static void send_copies(struct flows *fs, const struct copy_batch *b,
			uint64_t now_ms, struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_COPY };
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, b->entry_nr * COPY_FIELDS);
	for (size_t i = 0; i < b->entry_nr; i++) {
		write_uint(&w, b->entries[i].service);
		write_uint(&w, b->entries[i].hash);
		write_uint(&w, b->entries[i].upstream);
		write_uint(&w, now_s - b->entries[i].last_packet_s);
	}
	fs->control_tokens += (int64_t)(b->entry_nr * COPY_BYTES_ESTIMATE);
	send_array(fs, b->member_id, &m, &w, out);
	release_wire_writer(&w);
}

/* Sweeps the part of the table that is due DT_MS after the last call. */
static void sweep(struct flows *fs, uint64_t dt_ms, uint64_t now_ms,
		  struct flow_actions *out)
{
	GArray *batches = g_array_new(FALSE, TRUE, sizeof(struct copy_batch));
	size_t capacity = flow_table_capacity(fs->table);
	uint64_t period_ms =
		fs->leaving ? HANDOVER_SWEEP_PERIOD_MS : SWEEP_PERIOD_MS;
	size_t nr = (size_t)(capacity * dt_ms / period_ms) + 1;

	nr = MIN(nr, capacity);
	while (nr--) {
		struct flow_entry *e;

		fs->sweep_index =
			fs->sweep_index < capacity ? fs->sweep_index : 0;
		e = flow_table_at(fs->table, fs->sweep_index);
		if (!e || maintain_entry(fs, e, batches, now_ms))
			fs->sweep_index++;
	}
	for (guint i = 0; i < batches->len; i++)
		send_copies(fs, &g_array_index(batches, struct copy_batch, i),
			    now_ms, out);
	g_array_free(batches, TRUE);
}

static void refill_tokens(struct flows *fs, uint64_t dt_ms)
{
	int64_t budget =
		fs->leaving ? FLOW_HANDOVER_BUDGET : FLOW_CONTROL_BUDGET;

	fs->control_tokens += budget * (int64_t)dt_ms / 1000;
	fs->control_tokens =
		MIN(fs->control_tokens, MAX(CONTROL_BURST, budget));
	fs->learn_tokens += (int64_t)(FLOW_LEARN_BUDGET * dt_ms / 1000);
	fs->learn_tokens = MIN(fs->learn_tokens, LEARN_BURST);
}

/* Queues all marks for joined members: after a partition they may lack some. */
static void queue_sync_for_joined(struct flows *fs, uint64_t now_ms)
{
	uint64_t ids[SMALL_FLEET_OTHERS_MAX];
	size_t nr = list_joined_members(fs->replicas, now_ms, ids,
					SMALL_FLEET_OTHERS_MAX);

	for (size_t i = 0; i < nr; i++)
		if (ids[i] != fs->self_id)
			g_array_append_val(fs->sync_requester_ids, ids[i]);
}

void tick_flows(struct flows *fs, uint64_t now_ms, struct flow_actions *out)
{
	uint64_t dt_ms = MIN(now_ms - fs->last_tick_ms, SWEEP_PERIOD_MS);

	size_t others = other_live_count(fs->replicas);

	out->nr = 0;
	fs->last_tick_ms = now_ms;
	refill_tokens(fs, dt_ms);
	update_quotas(fs->quotas, now_ms);
	update_partition_watch(fs->partitions, fs->view, now_ms);
	if (update_flow_replicas(fs->replicas, now_ms)) {
		if (!others && other_live_count(fs->replicas))
			fs->too_young_until_ms = now_ms + SETTLE_MS;
		queue_sync_for_joined(fs, now_ms);
	}
	request_sync(fs, out);
	gossip_marks(fs, now_ms, out);
	answer_sync_requests(fs, now_ms, out);
	sweep(fs, dt_ms, now_ms, out);
	if (now_ms - fs->marks_expired_ms < MARK_EXPIRY_INTERVAL_MS)
		return;
	fs->marks_expired_ms = now_ms;
	remove_expired_marks(fs->unsettled_marks, now_ms);
}

void start_flow_handover(struct flows *fs, uint64_t now_ms)
{
	fs->leaving = true;
	fs->leaving_since_ms = now_ms;
}

/* True if the present replicas of E may lack it. */
static bool lacks_replicas(const struct flows *fs, const struct flow_entry *e)
{
	uint32_t slot = flow_slot(e->hash);

	return e->kind == ENTRY_REPLICA &&
	       find_flow_replicas(fs->replicas, e->service, slot).fingerprint !=
		       e->replicas_fingerprint;
}

bool is_flow_handover_done(const struct flows *fs, uint64_t now_ms)
{
	size_t capacity = flow_table_capacity(fs->table);

	if (!other_live_count(fs->replicas))
		return true;
	if (!fs->leaving ||
	    now_ms < fs->leaving_since_ms + FLOW_HANDOVER_MIN_MS)
		return false;
	for (size_t i = 0; i < capacity; i++) {
		const struct flow_entry *e = flow_table_at(fs->table, i);

		if (e && lacks_replicas(fs, e))
			return false;
	}
	return true;
}

void handle_learn(struct flows *fs, const struct flow_message *m,
		  uint64_t now_ms)
{
	struct route *rt = find_route_by_id(fs, m->service, now_ms);

	if (!rt || !m->hash) {
		count(fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	count(fs->counters, COUNT_FLOW_LEARNED);
	store_flow(fs, m->hash, rt, m->upstream,
		   m->flag ? ENTRY_CACHED : ENTRY_AT_BASE, now_ms);
}

static bool open_array(struct wire_message *msg, struct wire_reader *r,
		       const struct flow_message *m, size_t fields)
{
	return open_wire_message(msg, r, m->body, m->body_len) &&
	       r->remaining % fields == 0;
}

/* Stores one copied record, unless the one here is newer. */
static void handle_copied_entry(struct flows *fs, struct wire_reader *r,
				uint64_t now_ms)
{
	uint64_t service = read_uint(r, UINT64_MAX);
	uint64_t hash = read_uint(r, UINT64_MAX);
	uint64_t upstream = read_uint(r, UINT64_MAX);
	uint32_t idle_for_s = (uint32_t)read_uint(r, UINT32_MAX);
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct route *rt = find_route_by_id(fs, service, now_ms);
	struct flow_entry *e;

	if (r->malformed || !rt || !hash) {
		count(fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	e = find_flow(fs->table, hash, service);
	if (e && e->kind == ENTRY_REPLICA &&
	    now_s - e->last_packet_s <= idle_for_s)
		return;
	e = store_flow(fs, hash, rt, upstream, ENTRY_REPLICA, now_ms);
	e->last_packet_s = now_s - MIN(idle_for_s, now_s);
}

void handle_copies(struct flows *fs, const struct flow_message *m,
		   uint64_t now_ms)
{
	struct wire_message msg;
	struct wire_reader r;

	if (!open_array(&msg, &r, m, COPY_FIELDS))
		count(fs->counters, COUNT_FLOW_MALFORMED);
	else
		while (r.remaining && !r.malformed)
			handle_copied_entry(fs, &r, now_ms);
	release_wire_message(&msg);
}

static void handle_mark(struct flows *fs, struct wire_reader *r,
			uint64_t now_ms)
{
	struct route_inputs in = route_inputs(fs, now_ms);
	uint64_t service = read_uint(r, UINT64_MAX);
	uint64_t upstream = read_uint(r, UINT64_MAX);
	uint64_t remaining_ms = read_uint(r, MARK_LIFETIME_MS / 1000) * 1000;
	uint8_t peers_to_notify = in.peers_to_notify;

	if (r->malformed)
		return;
	if (other_live_count(fs->replicas) <= SMALL_FLEET_OTHERS_MAX)
		peers_to_notify = 0;
	set_unsettled_mark(fs->unsettled_marks, service, upstream,
			   now_ms + remaining_ms, now_ms, peers_to_notify);
}

void handle_unsettled(struct flows *fs, const struct flow_message *m,
		      uint64_t now_ms)
{
	struct wire_message msg;
	struct wire_reader r;

	if (!open_array(&msg, &r, m, MARK_FIELDS))
		count(fs->counters, COUNT_FLOW_MALFORMED);
	else
		while (r.remaining && !r.malformed)
			handle_mark(fs, &r, now_ms);
	fs->marks_synced |= m->flag && !r.malformed;
	release_wire_message(&msg);
}

void handle_sync_request(struct flows *fs, const struct flow_message *m)
{
	g_array_append_val(fs->sync_requester_ids, m->sender);
}
