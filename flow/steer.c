/* Decides about one packet. */

#include <string.h>

#include "flow/gue.h"
#include "flow/reset.h"
#include "flow/state.h"

#define RENEW_PARTS 4 /* keepers hear of a flow so often per idle time */

static bool is_opening(const struct packet *p)
{
	return p->protocol == FLOW_TCP && p->flags & TCP_SYN &&
	       !(p->flags & TCP_ACK);
}

static bool is_ending(const struct packet *p)
{
	return p->protocol == FLOW_TCP && p->flags & (TCP_FIN | TCP_RST);
}

static bool is_lost(enum upstream_state s)
{
	return s == UPSTREAM_DOWN || s == UPSTREAM_OUT;
}

static struct flow_action *add_action(struct flow_actions *out,
				      enum flow_action_kind kind)
{
	struct flow_action *a = &out->at[out->nr];

	if (out->nr == FLOW_ACTIONS_MAX)
		return NULL;
	out->nr++;
	a->kind = kind;
	a->service = 0;
	a->upstream = 0;
	a->header_len = 0;
	return a;
}

bool send_to_member(struct flows *fs, uint64_t id, struct flow_message *m,
		    struct flow_actions *out)
{
	const struct member *mb = find_member(fs->view, id);
	struct flow_action *a = mb ? add_action(out, FLOW_TO_PEER) : NULL;

	if (!a)
		return false;
	m->sender = fs->self;
	m->epoch = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;
	a->to = mb->address;
	a->to.port = mb->flow_port;
	a->service = m->service;
	a->upstream = m->upstream;
	a->header_len = write_flow_message(&fs->writer, m, a->header);
	a->data = m->data;
	a->len = m->len;
	return true;
}

bool pass_on(struct job *j, uint64_t id, enum flow_message_kind kind,
	     uint8_t step, uint64_t upstream)
{
	struct flow_message m = { .kind = kind,
				  .hops = j->hops,
				  .step = step,
				  .origin = j->origin,
				  .service = route_service(j->route)->id,
				  .upstream = upstream,
				  .data = j->data,
				  .len = j->len };

	if (!send_to_member(j->fs, id, &m, j->out))
		return false;
	count(j->fs->counters, COUNT_FLOW_HOPS);
	return true;
}

bool teach_member(struct job *j, uint64_t id, uint64_t upstream,
		  bool remembered)
{
	struct flow_message m = { .kind = FLOW_LEARN,
				  .flag = remembered,
				  .service = route_service(j->route)->id,
				  .upstream = upstream,
				  .hash = j->p.hash };
	struct flow_action *a;

	if (id == j->fs->self || !send_to_member(j->fs, id, &m, j->out))
		return false;
	a = &j->out->at[j->out->nr - 1];
	j->fs->learn_tokens -= (int64_t)a->header_len;
	count_n(j->fs->counters, COUNT_FLOW_LEARN_BYTES, a->header_len);
	return true;
}

void teach_origin(struct job *j, uint64_t upstream, bool remembered)
{
	if (j->fs->learn_tokens > 0)
		teach_member(j, j->origin, upstream, remembered);
}

/* Answers a caller whose flow is lost; an opening packet is only dropped. */
static void give_up(struct job *j, enum counter why)
{
	struct flow_action *a;
	uint8_t *body;

	if (is_opening(&j->p)) {
		count(j->fs->counters, COUNT_FLOW_NO_UPSTREAM);
		return;
	}
	count(j->fs->counters, why);
	a = add_action(j->out, FLOW_TO_CALLER);
	if (!a)
		return;
	body = j->out->body[j->out->nr - 1];
	a->service = route_service(j->route)->id;
	a->data = body;
	a->len = write_reset(&j->p, body);
	write_gue(a->header, body[0]);
	a->header_len = GUE_HEADER;
	if (!a->len)
		j->out->nr--;
}

static void to_upstream(struct job *j, const struct upstream *up)
{
	struct flow_action *a = add_action(j->out, FLOW_TO_UPSTREAM);

	if (!a)
		return;
	count(j->fs->counters, COUNT_FLOW_FORWARDED);
	a->to = up->address;
	a->service = route_service(j->route)->id;
	a->upstream = up->id;
	a->data = j->data;
	a->len = j->len;
	write_gue(a->header, j->data[0]);
	a->header_len = GUE_HEADER;
}

static void forget_flow(struct job *j)
{
	struct flow_entry *e =
		find_flow(j->fs->table, j->p.hash, route_service(j->route)->id);

	if (e)
		remove_flow(j->fs->table, e);
}

struct flow_entry *store_flow(struct flows *fs, uint64_t hash,
			      const struct route *rt, uint64_t upstream,
			      enum flow_entry_kind kind, uint64_t now_ms)
{
	uint64_t service = route_service(rt)->id;
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	struct flow_entry *e;
	bool lost;

	e = add_flow(fs->table, hash, service, now_s, &lost);
	if (lost)
		count(fs->counters, COUNT_FLOW_LOST);
	if (e->upstream != upstream)
		e->closing = false;
	e->upstream = upstream;
	e->seen_s = now_s;
	e->renewed_s = now_s;
	e->kind = MAX(e->kind, (uint8_t)kind);
	e->keepers = find_keepers(fs->keepers, service, flow_slot(hash)).print;
	return e;
}

/* Whether member ID has missed probes, so that a packet may be lost there. */
static bool is_suspect(const struct flows *fs, uint64_t id)
{
	const struct member *mb = find_member(fs->view, id);

	return mb && mb->state == MEMBER_SUSPECT;
}

bool pass_to_keeper(struct job *j, const struct keeper_pair *pair, uint8_t step,
		    uint64_t upstream, struct flow_entry *e)
{
	for (uint8_t i = 0; i < pair->nr; i++) {
		uint64_t id = pair->id[i];

		bool has_it = step && id == j->origin && !j->decided;

		if (id == j->fs->self || has_it)
			continue;
		if (is_suspect(j->fs, id))
			e->keepers = 0; /* it may lack the copy: renew soon */
		else if (pass_on(j, id, FLOW_KEEP, step, upstream))
			return true;
	}
	return false;
}

void keep_flow(struct job *j, uint64_t upstream)
{
	struct flows *fs = j->fs;
	struct keeper_pair pair =
		find_keepers(fs->keepers, route_service(j->route)->id, j->slot);
	bool own = is_keeper(&pair, fs->self);
	struct flow_entry *e;

	e = store_flow(fs, j->p.hash, j->route, upstream,
		       own ? ENTRY_KEPT : ENTRY_CACHED, j->now_ms);
	e->closing |= is_ending(&j->p);
	if (is_opening(&j->p)) /* may be lost on its way: renew to confirm */
		e->keepers = 0;
	if (!pass_to_keeper(j, &pair, own, upstream, e))
		deliver(j, upstream);
}

/* Whether E is too old to be believed. */
static bool has_expired(const struct job *j, const struct flow_entry *e)
{
	uint32_t silent_s = job_now_s(j) - e->seen_s;
	uint32_t idle_s = route_service(j->route)->idle_ms / 1000;

	if (e->kind == ENTRY_BASE && job_now_s(j) - e->renewed_s > CACHE_S)
		return true;
	return silent_s > (e->closing ? MIN(CLOSING_S, idle_s) : idle_s);
}

/* Whether the keepers should hear of E again. */
static bool is_renewal_due(const struct job *j, const struct flow_entry *e)
{
	uint32_t idle_s = route_service(j->route)->idle_ms / 1000;
	uint32_t after_s = idle_s / RENEW_PARTS;
	struct keeper_pair pair;

	if (e->kind == ENTRY_BASE)
		return false;
	if (e->kind == ENTRY_CACHED)
		after_s = MIN(after_s, CACHE_S);
	pair = find_keepers(j->fs->keepers, e->service, j->slot);
	return e->keepers != pair.print ||
	       job_now_s(j) - e->renewed_s >= after_s;
}

static void continue_flow(struct job *j, struct flow_entry *e)
{
	bool ending = is_ending(&j->p);
	bool again = is_opening(&j->p); /* the keepers may have missed it */
	uint64_t upstream = e->upstream;

	e->seen_s = job_now_s(j);
	e->closing |= ending;
	if (e->kind != ENTRY_BASE && (ending || again || is_renewal_due(j, e)))
		keep_flow(j, upstream);
	else
		deliver(j, upstream);
}

/* Asks the holders from place STEP on; false if none is left to ask. */
static bool ask_from(struct job *j, const struct member *const *holders,
		     size_t nr, uint8_t step, bool suspects)
{
	for (size_t i = step; i < nr; i++) {
		uint64_t id = holders[i]->id;

		if (id == j->fs->self || id == j->origin || id == j->sender ||
		    is_suspect(j->fs, id) != suspects)
			continue;
		if (pass_on(j, id, FLOW_ASK, (uint8_t)i, 0))
			return true;
	}
	return false;
}

/* The same, asking a suspect only if nobody better was asked. */
static bool ask_holders(struct job *j, uint8_t step)
{
	const struct member *holders[KEEPER_WALK_MAX];
	size_t nr = rank_holders(j->fs->keepers, route_service(j->route)->id,
				 j->slot, j->now_ms, holders);

	if (j->hops + 1 >= FLOW_HOPS_MAX)
		return false;
	if (step && (step > nr || holders[step - 1]->id != j->fs->self))
		step = 0; /* the asking instance has another view */
	return ask_from(j, holders, nr, step, false) ||
	       (!step && ask_from(j, holders, nr, step, true));
}

void deliver(struct job *j, uint64_t upstream)
{
	enum upstream_state state;
	const struct upstream *up = route_upstream(j->route, upstream, &state);

	if (up && !is_lost(state)) {
		to_upstream(j, up);
		return;
	}
	if (!up && j->origin != j->fs->self &&
	    pass_on(j, j->origin, FLOW_DELIVER, 0, upstream))
		return;
	if (!up && is_doubtful(j->fs, j->now_ms) && ask_holders(j, 0))
		return;
	if (up && state == UPSTREAM_DOWN &&
	    is_cut_off(j->fs->cuts, up->domain, j->now_ms)) {
		count(j->fs->counters, COUNT_FLOW_CUT_OFF);
		return;
	}
	forget_flow(j);
	give_up(j, COUNT_FLOW_GIVEN_UP);
}

static void open_flow(struct job *j);

/*
 * Nobody knows the flow: it lives at the base of its slot. One of UDP is new,
 * since all of them are remembered.
 */
static void assume_base(struct job *j, const struct slot_choice *c)
{
	if (j->now_ms < j->fs->fresh_until) {
		count(j->fs->counters, COUNT_FLOW_TOO_YOUNG);
		return;
	}
	if (j->p.protocol == FLOW_UDP) {
		j->decided = true;
		open_flow(j);
		return;
	}
	if (!c->base) {
		give_up(j, COUNT_FLOW_GIVEN_UP);
		return;
	}
	if (c->remember_all) {
		teach_origin(j, c->base->id, true);
		keep_flow(j, c->base->id);
		return;
	}
	if (c->unsettled || j->origin != j->fs->self) {
		teach_origin(j, c->base->id, false);
		store_flow(j->fs, j->p.hash, j->route, c->base->id, ENTRY_BASE,
			   j->now_ms);
	}
	deliver(j, c->base->id);
}

void steer_unknown(struct job *j, uint8_t step)
{
	struct slot_choice c = choose_slot(j->route, j->slot);
	bool ask = step || c.unsettled || c.remember_all ||
		   j->p.protocol == FLOW_UDP || is_doubtful(j->fs, j->now_ms);

	if (!ask || !ask_holders(j, step))
		assume_base(j, &c);
}

/* Leaves the decision to a keeper; false if there is none. */
static bool leave_decision(struct job *j)
{
	struct keeper_pair pair = find_keepers(
		j->fs->keepers, route_service(j->route)->id, j->slot);

	for (uint8_t i = 0; i < pair.nr; i++)
		if (pair.id[i] != j->fs->self &&
		    !is_suspect(j->fs, pair.id[i]) &&
		    pass_on(j, pair.id[i], FLOW_DECIDE, 0, 0))
			return true;
	return false;
}

static void open_flow(struct job *j)
{
	struct slot_choice c = choose_slot(j->route, j->slot);
	const struct upstream *up;

	if (!j->decided && is_doubtful(j->fs, j->now_ms) && leave_decision(j))
		return;
	up = place_flow(j->route, j->slot);
	if (!up) {
		count(j->fs->counters, COUNT_FLOW_NO_UPSTREAM);
		return;
	}
	if (!c.unsettled && !c.remember_all && j->p.protocol == FLOW_TCP) {
		to_upstream(j, up);
		return;
	}
	count(j->fs->counters, COUNT_FLOW_PLACED);
	if (j->origin != j->fs->self)
		teach_origin(j, up->id, true);
	keep_flow(j, up->id);
}

/* The entry of the job's flow, if it may still be believed. */
static struct flow_entry *find_entry(struct job *j)
{
	struct flow_table *t = j->fs->table;
	struct flow_entry *e =
		find_flow(t, j->p.hash, route_service(j->route)->id);
	bool stale;

	if (!e)
		return NULL;
	stale = has_expired(j, e);
	if (is_opening(&j->p) &&
	    (job_now_s(j) - e->seen_s > REPEAT_S || e->closing ||
	     e->kind == ENTRY_BASE || !takes_new_flows(j->route, e->upstream)))
		stale = true;
	if (!stale)
		return e;
	remove_flow(t, e);
	return NULL;
}

void steer_job(struct job *j)
{
	struct flow_entry *e;

	if (j->now_ms < j->fs->fresh_until && !other_live_nr(j->fs->keepers)) {
		count(j->fs->counters, COUNT_FLOW_TOO_YOUNG);
		return;
	}
	if (!j->hops && note_progress(j->fs->progress, &j->p, j->now_ms)) {
		forget_flow(j);
		give_up(j, COUNT_FLOW_SILENT);
		return;
	}
	e = find_entry(j);
	if (e)
		continue_flow(j, e);
	else if (is_opening(&j->p))
		open_flow(j);
	else
		steer_unknown(j, 0);
}
