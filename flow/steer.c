/* Decides what to do with one packet. */

#include <string.h>

#include "flow/gue.h"
#include "flow/reset.h"
#include "flow/state.h"

#define RENEWALS_PER_IDLE_TIME 4 /* of a record at the replicas */

static bool is_syn(const struct packet *p)
{
	return p->protocol == FLOW_TCP && p->flags & TCP_SYN &&
	       !(p->flags & TCP_ACK);
}

static bool is_fin_or_rst(const struct packet *p)
{
	return p->protocol == FLOW_TCP && p->flags & (TCP_FIN | TCP_RST);
}

static bool is_down_or_out(enum upstream_state s)
{
	return s == UPSTREAM_DOWN || s == UPSTREAM_OUT;
}

static struct flow_action *add_action(struct flow_actions *out,
				      enum flow_action_kind kind)
{
	struct flow_action *a = &out->actions[out->nr];

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
	m->sender = fs->self_id;
	m->epoch = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;
	a->to = mb->address;
	a->to.port = mb->flow_port;
	a->service = m->service;
	a->upstream = m->upstream;
	a->header_len = write_flow_message(&fs->writer, m, a->header);
	a->data = m->body;
	a->data_len = m->body_len;
	return true;
}

bool forward_packet(struct packet_job *j, uint64_t id,
		    enum flow_message_kind kind, uint8_t rank,
		    uint64_t upstream)
{
	struct flow_message m = { .kind = kind,
				  .hops = j->hops,
				  .rank = rank,
				  .origin = j->origin_id,
				  .service = route_service(j->route)->id,
				  .upstream = upstream,
				  .body = j->data,
				  .body_len = j->len };

	if (!send_to_member(j->fs, id, &m, j->out))
		return false;
	count(j->fs->counters, COUNT_FLOW_HOPS);
	return true;
}

bool send_learn(struct packet_job *j, uint64_t id, uint64_t upstream,
		bool is_recorded)
{
	struct flow_message m = { .kind = FLOW_LEARN,
				  .flag = is_recorded,
				  .service = route_service(j->route)->id,
				  .upstream = upstream,
				  .hash = j->packet.hash };
	struct flow_action *a;

	if (id == j->fs->self_id || !send_to_member(j->fs, id, &m, j->out))
		return false;
	a = &j->out->actions[j->out->nr - 1];
	j->fs->learn_tokens -= (int64_t)a->header_len;
	count_n(j->fs->counters, COUNT_FLOW_LEARN_BYTES, a->header_len);
	return true;
}

void send_learn_to_origin(struct packet_job *j, uint64_t upstream,
			  bool is_recorded)
{
	if (j->fs->learn_tokens > 0)
		send_learn(j, j->origin_id, upstream, is_recorded);
}

/* Resets a flow that is lost and counts COUNTER; a SYN is only dropped. */
static void reject_packet(struct packet_job *j, enum counter counter)
{
	struct flow_action *a;
	uint8_t *body;

	if (is_syn(&j->packet)) {
		count(j->fs->counters, COUNT_FLOW_NO_UPSTREAM);
		return;
	}
	count(j->fs->counters, counter);
	a = add_action(j->out, FLOW_TO_CALLER);
	if (!a)
		return;
	body = j->out->body[j->out->nr - 1];
	a->service = route_service(j->route)->id;
	a->data = body;
	a->data_len = write_reset(&j->packet, body);
	write_gue_header(a->header, body[0]);
	a->header_len = GUE_HEADER_LEN;
	if (!a->data_len)
		j->out->nr--;
}

static void send_to_upstream(struct packet_job *j, const struct upstream *up)
{
	struct flow_action *a = add_action(j->out, FLOW_TO_UPSTREAM);

	if (!a)
		return;
	count(j->fs->counters, COUNT_FLOW_FORWARDED);
	a->to = up->address;
	a->service = route_service(j->route)->id;
	a->upstream = up->id;
	a->data = j->data;
	a->data_len = j->len;
	write_gue_header(a->header, j->data[0]);
	a->header_len = GUE_HEADER_LEN;
}

static void forget_flow(struct packet_job *j)
{
	struct flow_entry *e = find_flow(j->fs->table, j->packet.hash,
					 route_service(j->route)->id);

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
	e->last_packet_s = now_s;
	e->renewed_s = now_s;
	e->kind = MAX(e->kind, (uint8_t)kind);
	e->replicas_fingerprint =
		find_flow_replicas(fs->replicas, service, flow_slot(hash))
			.fingerprint;
	return e;
}

/* Whether member ID is suspect, so that a packet sent to it may be lost. */
static bool is_suspect(const struct flows *fs, uint64_t id)
{
	const struct member *mb = find_member(fs->view, id);

	return mb && mb->state == MEMBER_SUSPECT;
}

bool forward_to_replica(struct packet_job *j, const struct replica_pair *pair,
			uint8_t rank, uint64_t upstream, struct flow_entry *e)
{
	for (uint8_t i = 0; i < pair->nr; i++) {
		uint64_t id = pair->id[i];

		bool has_record = rank && id == j->origin_id && !j->delegated;

		if (id == j->fs->self_id || has_record)
			continue;
		if (is_suspect(j->fs, id))
			/* a suspect replica may lack E: renew it soon */
			e->replicas_fingerprint = 0;
		else if (forward_packet(j, id, FLOW_REPLICATE, rank, upstream))
			return true;
	}
	return false;
}

void replicate_flow(struct packet_job *j, uint64_t upstream)
{
	struct flows *fs = j->fs;
	struct replica_pair pair = find_flow_replicas(
		fs->replicas, route_service(j->route)->id, j->slot);
	bool own = is_flow_replica(&pair, fs->self_id);
	struct flow_entry *e;

	e = store_flow(fs, j->packet.hash, j->route, upstream,
		       own ? ENTRY_REPLICA : ENTRY_CACHED, j->now_ms);
	e->closing |= is_fin_or_rst(&j->packet);
	/* the SYN may be lost on its way: send the record again soon */
	if (is_syn(&j->packet))
		e->replicas_fingerprint = 0;
	if (!forward_to_replica(j, &pair, own, upstream, e))
		deliver_packet(j, upstream);
}

/* Whether E is too old to be used. */
static bool has_expired(const struct packet_job *j, const struct flow_entry *e)
{
	uint32_t idle_for_s = job_now_s(j) - e->last_packet_s;
	uint32_t idle_s = route_service(j->route)->idle_ms / 1000;

	if (e->kind == ENTRY_AT_BASE &&
	    job_now_s(j) - e->renewed_s > CACHE_TTL_S)
		return true;
	return idle_for_s >
	       (e->closing ? MIN(CLOSING_TIMEOUT_S, idle_s) : idle_s);
}

/* Whether E is to be sent to the replicas again. */
static bool is_renewal_due(const struct packet_job *j,
			   const struct flow_entry *e)
{
	uint32_t idle_s = route_service(j->route)->idle_ms / 1000;
	uint32_t after_s = idle_s / RENEWALS_PER_IDLE_TIME;
	struct replica_pair pair;

	if (e->kind == ENTRY_AT_BASE)
		return false;
	if (e->kind == ENTRY_CACHED)
		after_s = MIN(after_s, CACHE_TTL_S);
	pair = find_flow_replicas(j->fs->replicas, e->service, j->slot);
	return e->replicas_fingerprint != pair.fingerprint ||
	       job_now_s(j) - e->renewed_s >= after_s;
}

static void continue_flow(struct packet_job *j, struct flow_entry *e)
{
	bool ending = is_fin_or_rst(&j->packet);
	bool is_repeat = is_syn(&j->packet); /* replicas may lack the flow */
	uint64_t upstream = e->upstream;

	e->last_packet_s = job_now_s(j);
	e->closing |= ending;
	if (e->kind != ENTRY_AT_BASE &&
	    (ending || is_repeat || is_renewal_due(j, e)))
		replicate_flow(j, upstream);
	else
		deliver_packet(j, upstream);
}

/*
 * Forwards the packet to the first of HOLDERS from RANK on that was not queried
 * yet and is suspect or not, as SUSPECT says; false if there is none.
 */
static bool query_holders_from(struct packet_job *j,
			       const struct member *const *holders, size_t nr,
			       uint8_t rank, bool suspect)
{
	for (size_t i = rank; i < nr; i++) {
		uint64_t id = holders[i]->id;

		if (id == j->fs->self_id || id == j->origin_id ||
		    id == j->sender_id || is_suspect(j->fs, id) != suspect)
			continue;
		if (forward_packet(j, id, FLOW_QUERY, (uint8_t)i, 0))
			return true;
	}
	return false;
}

/* Queries the next holder; a suspect holder only if no other was queried. */
static bool query_holders(struct packet_job *j, uint8_t rank)
{
	const struct member *holders[FLOW_HOLDERS_MAX];
	size_t nr = rank_record_holders(j->fs->replicas,
					route_service(j->route)->id, j->slot,
					j->now_ms, holders);

	if (j->hops + 1 >= FLOW_HOPS_MAX)
		return false;
	if (rank && (rank > nr || holders[rank - 1]->id != j->fs->self_id))
		rank = 0; /* the sender ranks the holders differently */
	return query_holders_from(j, holders, nr, rank, false) ||
	       (!rank && query_holders_from(j, holders, nr, rank, true));
}

void deliver_packet(struct packet_job *j, uint64_t upstream)
{
	enum upstream_state state;
	const struct upstream *up =
		find_listed_upstream(j->route, upstream, &state);

	if (up && !is_down_or_out(state)) {
		send_to_upstream(j, up);
		return;
	}
	if (!up && j->origin_id != j->fs->self_id &&
	    forward_packet(j, j->origin_id, FLOW_DELIVER, 0, upstream))
		return;
	if (!up && may_lack_updates(j->fs, j->now_ms) && query_holders(j, 0))
		return;
	if (up && state == UPSTREAM_DOWN &&
	    is_partitioned(j->fs->partitions, up->domain, j->now_ms)) {
		count(j->fs->counters, COUNT_FLOW_CUT_OFF);
		return;
	}
	forget_flow(j);
	reject_packet(j, COUNT_FLOW_GIVEN_UP);
}

static void open_flow(struct packet_job *j);

/*
 * Sends a packet of a flow without a record to the base of its slot. A UDP flow
 * without a record is new, since all UDP flows are recorded.
 */
static void steer_to_base(struct packet_job *j, const struct slot_upstreams *c)
{
	if (j->now_ms < j->fs->too_young_until_ms) {
		count(j->fs->counters, COUNT_FLOW_TOO_YOUNG);
		return;
	}
	if (j->packet.protocol == FLOW_UDP) {
		j->delegated = true;
		open_flow(j);
		return;
	}
	if (!c->base) {
		reject_packet(j, COUNT_FLOW_GIVEN_UP);
		return;
	}
	if (c->record_all) {
		send_learn_to_origin(j, c->base->id, true);
		replicate_flow(j, c->base->id);
		return;
	}
	if (c->unsettled || j->origin_id != j->fs->self_id) {
		send_learn_to_origin(j, c->base->id, false);
		store_flow(j->fs, j->packet.hash, j->route, c->base->id,
			   ENTRY_AT_BASE, j->now_ms);
	}
	deliver_packet(j, c->base->id);
}

void steer_unknown_flow(struct packet_job *j, uint8_t rank)
{
	struct slot_upstreams c = choose_slot_upstreams(j->route, j->slot);
	bool query = rank || c.unsettled || c.record_all ||
		     j->packet.protocol == FLOW_UDP ||
		     may_lack_updates(j->fs, j->now_ms);

	if (!query || !query_holders(j, rank))
		steer_to_base(j, &c);
}

/* Delegates the decision to a replica; false if there is none. */
static bool delegate_decision(struct packet_job *j)
{
	struct replica_pair pair = find_flow_replicas(
		j->fs->replicas, route_service(j->route)->id, j->slot);

	for (uint8_t i = 0; i < pair.nr; i++)
		if (pair.id[i] != j->fs->self_id &&
		    !is_suspect(j->fs, pair.id[i]) &&
		    forward_packet(j, pair.id[i], FLOW_DECIDE, 0, 0))
			return true;
	return false;
}

static void open_flow(struct packet_job *j)
{
	struct slot_upstreams c = choose_slot_upstreams(j->route, j->slot);
	const struct upstream *up;

	if (!j->delegated && may_lack_updates(j->fs, j->now_ms) &&
	    delegate_decision(j))
		return;
	up = place_flow(j->route, j->slot);
	if (!up) {
		count(j->fs->counters, COUNT_FLOW_NO_UPSTREAM);
		return;
	}
	if (!c.unsettled && !c.record_all && j->packet.protocol == FLOW_TCP) {
		send_to_upstream(j, up);
		return;
	}
	count(j->fs->counters, COUNT_FLOW_PLACED);
	if (j->origin_id != j->fs->self_id)
		send_learn_to_origin(j, up->id, true);
	replicate_flow(j, up->id);
}

/* The entry of the packet's flow; NULL, and removed, if it is outdated. */
static struct flow_entry *find_valid_entry(struct packet_job *j)
{
	struct flow_table *t = j->fs->table;
	struct flow_entry *e =
		find_flow(t, j->packet.hash, route_service(j->route)->id);
	bool stale;

	if (!e)
		return NULL;
	stale = has_expired(j, e);
	if (is_syn(&j->packet) &&
	    (job_now_s(j) - e->last_packet_s > SYN_REPEAT_S || e->closing ||
	     e->kind == ENTRY_AT_BASE ||
	     !takes_new_flows(j->route, e->upstream)))
		stale = true;
	if (!stale)
		return e;
	remove_flow(t, e);
	return NULL;
}

void steer_job(struct packet_job *j)
{
	struct flow_entry *e;

	if (j->now_ms < j->fs->too_young_until_ms &&
	    !other_live_count(j->fs->replicas)) {
		count(j->fs->counters, COUNT_FLOW_TOO_YOUNG);
		return;
	}
	if (!j->hops &&
	    detect_stall(j->fs->stall_detector, &j->packet, j->now_ms)) {
		forget_flow(j);
		reject_packet(j, COUNT_FLOW_SILENT);
		return;
	}
	e = find_valid_entry(j);
	if (e)
		continue_flow(j, e);
	else if (is_syn(&j->packet))
		open_flow(j);
	else
		steer_unknown_flow(j, 0);
}
