/*
 * What an instance does between packets: passes marks on, looks through the
 * flows that it remembers, and hands copies to new keepers, all within
 * FLOW_CONTROL_BUDGET.
 */

#include <string.h>

#include "flow/state.h"

#define SWEEP_MS 10000	   /* one look through the whole table */
#define LEAVE_SWEEP_MS 500 /* the same while this instance leaves */
#define CONFIRM_S 10 /* left to packets to confirm an entry to its keepers */
#define EXPIRE_MARKS_MS 10000 /* between two removals of old marks */
#define CONTROL_BURST (8 * FLOW_CONTROL_BUDGET) /* bytes */
#define LEARN_BURST (8 * FLOW_LEARN_BUDGET)	/* bytes */
#define MARK_FIELDS 3				/* of one mark on the wire */
#define COPY_FIELDS 4				/* of one entry on the wire */
#define MARKS_PER_MESSAGE 40
#define COPIES_PER_MESSAGE 30
#define COPY_BYTES 32  /* of one entry, about */
#define TELL_AT_ONCE 4 /* peers told of marks in one tick, large fleet */
#define SMALL_FLEET 16 /* others all told at once */
#define BATCHES_MAX 16 /* new keepers served in one tick */

/* Copies collected in one tick for one new keeper. */
struct batch {
	uint64_t member;
	size_t nr;
	struct flow_entry at[COPIES_PER_MESSAGE];
};

static struct flow_actions *control_out(struct flows *fs,
					struct flow_actions *out)
{
	return fs->control_tokens > 0 && out->nr < FLOW_ACTIONS_MAX ? out
								    : NULL;
}

/* Sends the array in W as the body of M to member ID. */
static void send_list(struct flows *fs, uint64_t id, struct flow_message *m,
		      const struct wire_writer *w, struct flow_actions *out)
{
	struct flow_action *a;

	if (out->nr == FLOW_ACTIONS_MAX || w->buf.size > FLOW_BODY_MAX)
		return;
	m->data = out->body[out->nr];
	m->len = w->buf.size;
	if (m->len)
		memcpy(out->body[out->nr], w->buf.data, m->len);
	if (!send_to_member(fs, id, m, out))
		return;
	a = &out->at[out->nr - 1];
	fs->control_tokens -= (int64_t)(a->header_len + a->len);
	count_n(fs->counters, COUNT_FLOW_CONTROL_BYTES, a->header_len + a->len);
}

/* Marks collected for one message. */
struct mark_list {
	struct {
		uint64_t service;
		struct mark *mark;
	} at[MARKS_PER_MESSAGE];
	size_t nr;
	size_t skip; /* marks still to be passed over */
	bool all;    /* not only those that are to be told */
};

static bool collect_mark(uint64_t service, struct mark *m, void *user)
{
	struct mark_list *list = user;

	if (!list->all && !m->tell_nr)
		return true;
	if (list->skip) {
		list->skip--;
		return true;
	}
	list->at[list->nr].service = service;
	list->at[list->nr].mark = m;
	return ++list->nr < MARKS_PER_MESSAGE;
}

static void send_marks(struct flows *fs, uint64_t id,
		       const struct mark_list *list, bool last, uint64_t now_ms,
		       struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_MARKS, .flag = last };
	struct wire_writer w;

	init_wire_writer(&w);
	put_array(&w, list->nr * MARK_FIELDS);
	for (size_t i = 0; i < list->nr; i++) {
		put_uint(&w, list->at[i].service);
		put_uint(&w, list->at[i].mark->upstream);
		put_uint(&w, (list->at[i].mark->until - now_ms) / 1000);
	}
	send_list(fs, id, &m, &w, out);
	release_wire_writer(&w);
}

/* Ids of the other live members, or of TELL_AT_ONCE of them at random. */
static GArray *choose_peers(struct flows *fs)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *ms;
	size_t nr;

	ms = view_members(fs->view, &nr);
	for (size_t i = 0; i < nr; i++)
		if (ms[i].id != fs->self && ms[i].state != MEMBER_DEAD)
			g_array_append_val(ids, ms[i].id);
	if (ids->len <= SMALL_FLEET)
		return ids;
	for (guint i = 0; i < TELL_AT_ONCE; i++) {
		guint k = (guint)g_rand_int_range(fs->rand, (gint32)i,
						  (gint32)ids->len);
		uint64_t t = g_array_index(ids, uint64_t, i);

		g_array_index(ids, uint64_t, i) =
			g_array_index(ids, uint64_t, k);
		g_array_index(ids, uint64_t, k) = t;
	}
	g_array_set_size(ids, TELL_AT_ONCE);
	return ids;
}

/* Passes on marks that peers are still to be told of. */
static void tell_marks(struct flows *fs, uint64_t now_ms,
		       struct flow_actions *out)
{
	struct mark_list list = { .nr = 0 };
	GArray *peers;

	if (!control_out(fs, out))
		return;
	each_mark(fs->marks, now_ms, collect_mark, &list);
	if (!list.nr)
		return;
	peers = choose_peers(fs);
	for (guint i = 0; i < peers->len; i++)
		send_marks(fs, g_array_index(peers, uint64_t, i), &list, false,
			   now_ms, out);
	for (size_t i = 0; i < list.nr; i++) {
		struct mark *m = list.at[i].mark;

		m->tell_nr -= (uint8_t)MIN(m->tell_nr, peers->len);
	}
	g_array_free(peers, TRUE);
}

/* Sends all marks to a member that asked, over as many ticks as it takes. */
static void answer_sync(struct flows *fs, uint64_t now_ms,
			struct flow_actions *out)
{
	while (fs->sync_to->len && control_out(fs, out)) {
		struct mark_list list = { .all = true, .skip = fs->sync_skip };
		uint64_t id = g_array_index(fs->sync_to, uint64_t, 0);
		bool last;

		each_mark(fs->marks, now_ms, collect_mark, &list);
		last = list.nr < MARKS_PER_MESSAGE;
		send_marks(fs, id, &list, last, now_ms, out);
		fs->sync_skip = last ? 0 : fs->sync_skip + list.nr;
		if (last)
			g_array_remove_index(fs->sync_to, 0);
	}
}

/* Asks another member for its marks until one has answered. */
static void ask_sync(struct flows *fs, struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_SYNC };
	struct wire_writer w;
	GArray *peers;

	if (fs->synced)
		return;
	peers = choose_peers(fs);
	init_wire_writer(&w);
	if (peers->len && control_out(fs, out)) {
		guint i = (guint)g_rand_int_range(fs->rand, 0,
						  (gint32)peers->len);

		send_list(fs, g_array_index(peers, uint64_t, i), &m, &w, out);
	}
	release_wire_writer(&w);
	g_array_free(peers, TRUE);
}

static struct batch *find_batch(GArray *batches, uint64_t member)
{
	struct batch fresh = { .member = member };

	for (guint i = 0; i < batches->len; i++) {
		struct batch *b = &g_array_index(batches, struct batch, i);

		if (b->member == member)
			return b->nr < COPIES_PER_MESSAGE ? b : NULL;
	}
	if (batches->len == BATCHES_MAX)
		return NULL;
	g_array_append_val(batches, fresh);
	return &g_array_index(batches, struct batch, batches->len - 1);
}

/* Queues copies of E for its present keepers; false if there is no room. */
static bool hand_over(struct flows *fs, struct flow_entry *e,
		      const struct keeper_pair *pair, GArray *batches,
		      uint64_t now_ms)
{
	for (uint8_t i = 0; i < pair->nr; i++) {
		struct batch *b;

		if (pair->id[i] == fs->self)
			continue;
		b = find_batch(batches, pair->id[i]);
		if (!b || fs->control_tokens <= 0)
			return false;
		b->at[b->nr++] = *e;
		fs->control_tokens -= COPY_BYTES;
		count(fs->counters, COUNT_FLOW_COPIED);
	}
	e->keepers = pair->print;
	e->renewed_s = (uint32_t)(now_ms / 1000);
	if (!is_keeper(pair, fs->self))
		e->kind = ENTRY_CACHED;
	return true;
}

/*
 * Looks after one entry: removes it if the flow has ended, else renews the
 * mark of its slot and hands it to new keepers. False if the table changed.
 */
static bool look_after(struct flows *fs, struct flow_entry *e, GArray *batches,
		       uint64_t now_ms)
{
	struct route *rt = find_route_by_id(fs, e->service, now_ms);
	uint32_t silent_s = (uint32_t)(now_ms / 1000) - e->seen_s;
	struct route_inputs in = route_inputs(fs, now_ms);
	uint32_t slot = flow_slot(e->hash);
	struct keeper_pair pair;
	struct slot_choice c;

	if (!rt || silent_s > route_service(rt)->idle_ms / 1000 ||
	    (e->closing && silent_s > CLOSING_S) ||
	    (e->kind == ENTRY_BASE && silent_s > CACHE_S)) {
		remove_flow(fs->table, e);
		return false;
	}
	if (e->kind != ENTRY_KEPT)
		return true;
	c = choose_slot(rt, slot);
	if (!c.base || c.base->id != e->upstream)
		set_mark(fs->marks, e->service, slot_owner(rt, slot),
			 now_ms + MARK_MS, now_ms, in.tell_nr);
	pair = find_keepers(fs->keepers, e->service, slot);
	if (!fs->leaving && !e->keepers &&
	    now_ms / 1000 - e->renewed_s < CONFIRM_S)
		return true;
	if (e->keepers != pair.print && fs->control_tokens > 0)
		hand_over(fs, e, &pair, batches, now_ms);
	return true;
}

static void send_copies(struct flows *fs, const struct batch *b,
			uint64_t now_ms, struct flow_actions *out)
{
	struct flow_message m = { .kind = FLOW_COPY };
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct wire_writer w;

	init_wire_writer(&w);
	put_array(&w, b->nr * COPY_FIELDS);
	for (size_t i = 0; i < b->nr; i++) {
		put_uint(&w, b->at[i].service);
		put_uint(&w, b->at[i].hash);
		put_uint(&w, b->at[i].upstream);
		put_uint(&w, now_s - b->at[i].seen_s);
	}
	fs->control_tokens += (int64_t)(b->nr * COPY_BYTES);
	send_list(fs, b->member, &m, &w, out);
	release_wire_writer(&w);
}

/* Looks through the part of the table that is due after DT_MS. */
static void sweep(struct flows *fs, uint64_t dt_ms, uint64_t now_ms,
		  struct flow_actions *out)
{
	GArray *batches = g_array_new(FALSE, TRUE, sizeof(struct batch));
	size_t capacity = flow_table_capacity(fs->table);
	uint64_t period_ms = fs->leaving ? LEAVE_SWEEP_MS : SWEEP_MS;
	size_t nr = (size_t)(capacity * dt_ms / period_ms) + 1;

	nr = MIN(nr, capacity);
	while (nr--) {
		struct flow_entry *e;

		fs->sweep = fs->sweep < capacity ? fs->sweep : 0;
		e = flow_table_at(fs->table, fs->sweep);
		if (!e || look_after(fs, e, batches, now_ms))
			fs->sweep++;
	}
	for (guint i = 0; i < batches->len; i++)
		send_copies(fs, &g_array_index(batches, struct batch, i),
			    now_ms, out);
	g_array_free(batches, TRUE);
}

static void refill_tokens(struct flows *fs, uint64_t dt_ms)
{
	int64_t budget = fs->leaving ? FLOW_LEAVE_BUDGET : FLOW_CONTROL_BUDGET;

	fs->control_tokens += budget * (int64_t)dt_ms / 1000;
	fs->control_tokens =
		MIN(fs->control_tokens, MAX(CONTROL_BURST, budget));
	fs->learn_tokens += (int64_t)(FLOW_LEARN_BUDGET * dt_ms / 1000);
	fs->learn_tokens = MIN(fs->learn_tokens, LEARN_BURST);
}

/* Members that came get all marks, since a cut may have hidden them. */
static void greet_members(struct flows *fs, uint64_t now_ms)
{
	uint64_t ids[SMALL_FLEET];
	size_t nr = newly_live(fs->keepers, now_ms, ids, SMALL_FLEET);

	for (size_t i = 0; i < nr; i++)
		if (ids[i] != fs->self)
			g_array_append_val(fs->sync_to, ids[i]);
}

void tick_flows(struct flows *fs, uint64_t now_ms, struct flow_actions *out)
{
	uint64_t dt = MIN(now_ms - fs->ticked, SWEEP_MS);

	size_t others = other_live_nr(fs->keepers);

	out->nr = 0;
	fs->ticked = now_ms;
	refill_tokens(fs, dt);
	update_shares(fs->shares, now_ms);
	update_cut_watch(fs->cuts, fs->view, now_ms);
	if (update_keepers(fs->keepers, now_ms)) {
		if (!others && other_live_nr(fs->keepers))
			fs->fresh_until = now_ms + SETTLE_MS;
		greet_members(fs, now_ms);
	}
	ask_sync(fs, out);
	tell_marks(fs, now_ms, out);
	answer_sync(fs, now_ms, out);
	sweep(fs, dt, now_ms, out);
	if (now_ms - fs->expired_marks < EXPIRE_MARKS_MS)
		return;
	fs->expired_marks = now_ms;
	expire_marks(fs->marks, now_ms);
}

void leave_flows(struct flows *fs, uint64_t now_ms)
{
	fs->leaving = true;
	fs->left = now_ms;
}

/* True if the present keepers of E may not know of it. */
static bool is_untold(const struct flows *fs, const struct flow_entry *e)
{
	uint32_t slot = flow_slot(e->hash);

	return e->kind == ENTRY_KEPT &&
	       find_keepers(fs->keepers, e->service, slot).print != e->keepers;
}

bool flows_handed_over(const struct flows *fs, uint64_t now_ms)
{
	size_t capacity = flow_table_capacity(fs->table);

	if (!other_live_nr(fs->keepers))
		return true;
	if (!fs->leaving || now_ms < fs->left + FLOW_LEAVE_MS)
		return false;
	for (size_t i = 0; i < capacity; i++) {
		const struct flow_entry *e = flow_table_at(fs->table, i);

		if (e && is_untold(fs, e))
			return false;
	}
	return true;
}

void take_learn(struct flows *fs, const struct flow_message *m, uint64_t now_ms)
{
	struct route *rt = find_route_by_id(fs, m->service, now_ms);

	if (!rt || !m->hash) {
		count(fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	count(fs->counters, COUNT_FLOW_LEARNED);
	store_flow(fs, m->hash, rt, m->upstream,
		   m->flag ? ENTRY_CACHED : ENTRY_BASE, now_ms);
}

static bool open_list(struct wire_message *msg, struct wire_reader *r,
		      const struct flow_message *m, size_t fields)
{
	return open_wire(msg, r, m->data, m->len) && r->left % fields == 0;
}

/* Takes one entry of a copy, unless what is known here is newer. */
static void take_copied(struct flows *fs, struct wire_reader *r,
			uint64_t now_ms)
{
	uint64_t service = take_uint(r, UINT64_MAX);
	uint64_t hash = take_uint(r, UINT64_MAX);
	uint64_t upstream = take_uint(r, UINT64_MAX);
	uint32_t silent_s = (uint32_t)take_uint(r, UINT32_MAX);
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct route *rt = find_route_by_id(fs, service, now_ms);
	struct flow_entry *e;

	if (r->bad || !rt || !hash) {
		count(fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	e = find_flow(fs->table, hash, service);
	if (e && e->kind == ENTRY_KEPT && now_s - e->seen_s <= silent_s)
		return;
	e = store_flow(fs, hash, rt, upstream, ENTRY_KEPT, now_ms);
	e->seen_s = now_s - MIN(silent_s, now_s);
}

void take_copy(struct flows *fs, const struct flow_message *m, uint64_t now_ms)
{
	struct wire_message msg;
	struct wire_reader r;

	if (!open_list(&msg, &r, m, COPY_FIELDS))
		count(fs->counters, COUNT_FLOW_MALFORMED);
	else
		while (r.left && !r.bad)
			take_copied(fs, &r, now_ms);
	release_wire(&msg);
}

static void take_mark(struct flows *fs, struct wire_reader *r, uint64_t now_ms)
{
	struct route_inputs in = route_inputs(fs, now_ms);
	uint64_t service = take_uint(r, UINT64_MAX);
	uint64_t upstream = take_uint(r, UINT64_MAX);
	uint64_t left_ms = take_uint(r, MARK_MS / 1000) * 1000;
	uint8_t tell_nr = in.tell_nr;

	if (r->bad)
		return;
	if (other_live_nr(fs->keepers) <= SMALL_FLEET)
		tell_nr = 0;
	set_mark(fs->marks, service, upstream, now_ms + left_ms, now_ms,
		 tell_nr);
}

void take_marks(struct flows *fs, const struct flow_message *m, uint64_t now_ms)
{
	struct wire_message msg;
	struct wire_reader r;

	if (!open_list(&msg, &r, m, MARK_FIELDS))
		count(fs->counters, COUNT_FLOW_MALFORMED);
	else
		while (r.left && !r.bad)
			take_mark(fs, &r, now_ms);
	fs->synced |= m->flag && !r.bad;
	release_wire(&msg);
}

void take_sync(struct flows *fs, const struct flow_message *m)
{
	g_array_append_val(fs->sync_to, m->sender);
}
