#include "flow/cookie.h"

#include <string.h>
#include <xxhash.h>

#include "flow/cookie-state.h"

#define HANDSHAKE_MEAN_WEIGHT 0.05 /* of the newest sample */

/* True if sequence number A follows B, in serial number arithmetic. */
static bool is_seq_after(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b) > 0;
}

/* True if A and B may be numbers in consecutive packets of one flow. */
static bool is_seq_near(uint32_t a, uint32_t b)
{
	int32_t distance = (int32_t)(a - b);

	return distance <= COOKIE_SEQ_WINDOW && distance >= -COOKIE_SEQ_WINDOW;
}

/*
 * True if P, by its numbers, belongs to the flow F of its key. A later flow may
 * begin near the end of F by chance.
 */
static bool is_packet_of_flow(const struct cookie_flow *f,
			      const struct cookie_packet *p)
{
	if (!is_seq_near(p->seq, f->caller_next_seq))
		return false;
	if (f->phase != PHASE_CLOSING)
		return true;
	if (is_cookie_syn(p))
		return !f->saw_syn || p->seq + 1 == f->first_seq;
	return is_seq_near(p->ack, f->caller_ack);
}

static struct cookie_decision make_decision(enum cookie_verdict verdict,
					    enum cookie_reason reason)
{
	struct cookie_decision d = { .verdict = verdict,
				     .reason = reason,
				     .upstream = CATALOG_NONE };

	return d;
}

static struct cookie_decision make_reset_decision(const struct cookie_packet *p,
						  enum cookie_reason reason)
{
	struct cookie_decision d = make_decision(COOKIE_RESET, reason);

	if (p->flags & TCP_RST)
		d.verdict = COOKIE_DROP;
	d.reset_seq = is_cookie_syn(p) ? 0 : p->ack;
	return d;
}

/* Picks a service by the flow's hash, in proportion to the weights. */
static service_index_t pick_service(const struct catalog_route *route,
				    const struct flow_key *key)
{
	uint64_t total = 0;
	uint64_t point;

	for (uint32_t i = 0; i < route->target_nr; i++)
		total += route->targets[i].weight;
	if (!total)
		return CATALOG_NONE;
	point = XXH3_64bits(key, sizeof(*key)) % total;
	for (uint32_t i = 0; i < route->target_nr; i++) {
		if (point < route->targets[i].weight)
			return route->targets[i].service;
		point -= route->targets[i].weight;
	}
	return CATALOG_NONE;
}

static struct cookie_decision steer_to(struct cookie_steering *cs,
				       upstream_index_t nr,
				       enum cookie_reason reason)
{
	struct cookie_decision d = make_decision(COOKIE_TO_UPSTREAM, reason);

	d.upstream = nr;
	d.cookie = get_upstream(cs->catalog, nr)->cookie;
	return d;
}

static bool is_upstream_dead_or_cut_off(const struct cookie_steering *cs,
					upstream_index_t nr)
{
	enum upstream_health h = assessed_health(cs->placer, nr);

	return h == HEALTH_DEAD || h == HEALTH_UNREACHABLE;
}

/* The marked form of COOKIE; of a marked one, the plain form. */
static uint32_t toggle_mark(uint32_t cookie)
{
	return cookie ^ COOKIE_MARK;
}

/* The cookie of NR for a SYN; plain if it must be. */
static uint32_t mark_cookie(const struct cookie_steering *cs,
			    upstream_index_t nr)
{
	uint32_t cookie = get_upstream(cs->catalog, nr)->cookie;
	uint32_t marked = toggle_mark(cookie);

	if (!cs->marks_cookies || !marked ||
	    find_upstream_by_cookie(cs->catalog, marked) != CATALOG_NONE)
		return cookie;
	return marked;
}

static struct cookie_decision steer_syn_to(struct cookie_steering *cs,
					   upstream_index_t nr,
					   enum cookie_reason reason)
{
	struct cookie_decision d = steer_to(cs, nr, reason);

	d.cookie = mark_cookie(cs, nr);
	return d;
}

/* Replaces a marked cookie of P by the plain one of its upstream. */
static void remove_mark(const struct cookie_steering *cs,
			struct cookie_packet *p)
{
	uint32_t plain = toggle_mark(p->cookie);

	p->marked = p->cookie && plain &&
		    find_upstream_by_cookie(cs->catalog, p->cookie) ==
			    CATALOG_NONE &&
		    find_upstream_by_cookie(cs->catalog, plain) != CATALOG_NONE;
	if (p->marked)
		p->cookie = plain;
}

static void add_avoided_upstream(upstream_index_t *avoid, size_t *nr,
				 upstream_index_t up)
{
	for (size_t i = 0; i < *nr; i++)
		if (avoid[i] == up)
			return;
	if (*nr < COOKIE_AVOIDED_MAX)
		avoid[(*nr)++] = up;
}

/*
 * Lists the upstreams that F must not be placed on: those that its SYN was sent
 * to before, and those where recent flows of the same caller made no progress.
 * A dead upstream resets callers at once. Resets are not seen here, callers
 * retry within milliseconds, and the dead upstream, which has no load, would
 * get all of them.
 */
static size_t list_avoided_upstreams(const struct cookie_steering *cs,
				     const struct cookie_flow *f,
				     uint64_t now_ms,
				     upstream_index_t avoid[COOKIE_AVOIDED_MAX])
{
	const struct cookie_flow *o =
		first_flow_of_caller(cs, f->key.caller_ip);
	size_t nr = 0;

	for (uint8_t i = 0; i < f->syn_upstream_nr; i++)
		add_avoided_upstream(avoid, &nr, f->syn_upstreams[i]);
	for (; o; o = o->caller_next) {
		bool stuck = o->phase == PHASE_OPENING ||
			     (o->phase == PHASE_OPEN && o->request_pending);
		uint64_t since_ms =
			o->request_pending ? o->request_sent_ms : o->syn_ms;

		if (o == f || o->upstream == CATALOG_NONE || !stuck ||
		    now_ms - since_ms > COOKIE_AVOID_MS ||
		    was_alive_since(cs->placer, o->upstream, since_ms))
			continue;
		add_avoided_upstream(avoid, &nr, o->upstream);
	}
	return nr;
}

/*
 * Whether this instance started so recently that callers may have used up
 * attempts while no instance answered.
 */
static bool has_just_started(const struct cookie_steering *cs, uint64_t now_ms)
{
	return now_ms - cs->first_packet_ms < COOKIE_STARTUP_MS;
}

bool is_stale_syn(const struct cookie_packet *p)
{
	return p->age_ms >= COOKIE_SYN_INTERVAL_MS(p->ack);
}

/* The best upstream for F now, one of those to avoid if all others are worse. */
static struct placement find_placement(struct cookie_steering *cs,
				       const struct cookie_flow *f,
				       const struct catalog_route *route,
				       service_index_t service, uint64_t now_ms)
{
	upstream_index_t avoided[COOKIE_AVOIDED_MAX];
	size_t avoided_nr = list_avoided_upstreams(cs, f, now_ms, avoided);
	struct placement_request request = { .service = service,
					     .deadline_ms = route->deadline_ms,
					     .target_ms = route->slo_ms,
					     .repeatable = route->repeatable,
					     .excluded = avoided,
					     .excluded_nr = avoided_nr };
	struct placement best;

	if (is_lowest_priority(cs->catalog, route, service))
		request.urgent_share =
			urgent_syn_share(cs->syn_queue, service, now_ms);
	best = place_new_flow(cs->placer, &request, now_ms);
	if (best.upstream == CATALOG_NONE && avoided_nr) {
		request.excluded_nr = 0;
		best = place_new_flow(cs->placer, &request, now_ms);
	}
	return best;
}

/* Where SYNs of ROUTE stand among those of SERVICE. */
static struct syn_rank get_syn_rank(const struct cookie_steering *cs,
				    const struct catalog_route *route,
				    service_index_t service)
{
	return (struct syn_rank){ .priority = route->priority,
				  .is_lowest = is_lowest_priority(
					  cs->catalog, route, service) };
}

static struct cookie_decision
refuse_syn(struct cookie_steering *cs, struct cookie_flow *f,
	   const struct cookie_packet *p, service_index_t service,
	   struct syn_rank rank, const struct placement *best, uint64_t now_ms)
{
	struct cookie_decision d = make_reset_decision(p, COOKIE_REFUSED);

	if (cs->isolated && p->ack < COOKIE_SYN_LAST_COPY) {
		d = make_decision(COOKIE_DROP, COOKIE_ISOLATED);
		count(cs->counters, COUNT_FLOW_DROPPED_ISOLATED);
	} else {
		note_syn_refused(cs->syn_queue, service, rank.priority, now_ms);
		if (!rank.is_lowest)
			count(cs->counters, COUNT_FLOW_REFUSED_URGENT);
	}
	d.placement = *best;
	remove_cookie_flow(cs, f);
	return d;
}

static bool was_syn_sent_to(const struct cookie_flow *f, upstream_index_t nr)
{
	for (uint8_t i = 0; i < f->syn_upstream_nr; i++)
		if (f->syn_upstreams[i] == nr)
			return true;
	return false;
}

/* Notes that F is split; COOKIE: of the upstream where it is open, 0: unknown. */
static bool note_cookie_split_flow(struct cookie_steering *cs,
				   const struct cookie_flow *f, uint32_t cookie,
				   uint64_t now_ms)
{
	struct split_flow flow = { .key = f->key,
				   .first_seq = f->first_seq,
				   .saw_syn = f->saw_syn,
				   .cookie = cookie };

	return note_split_flow(cs->split_flows, &flow, now_ms);
}

static struct cookie_decision
send_syn_to(struct cookie_steering *cs, struct cookie_flow *f,
	    const struct cookie_packet *p, service_index_t service,
	    struct syn_rank rank, const struct placement *best, uint64_t now_ms)
{
	struct pending_handshake pending = { p->key, now_ms };
	struct cookie_decision d = steer_syn_to(
		cs, best->upstream,
		f->syn_upstream_nr ? COOKIE_REOPENED : COOKIE_OPENED);

	d.placement = *best;
	note_syn_placed(cs->syn_queue, service, rank, now_ms);
	f->may_be_split |=
		f->syn_upstream_nr && !was_syn_sent_to(f, best->upstream);
	if (f->may_be_split)
		note_cookie_split_flow(cs, f, 0, now_ms);
	unassign_cookie_flow(cs, f);
	assign_cookie_flow(cs, f, best->upstream);
	f->syn_upstreams[f->syn_upstream_nr++ % COOKIE_SYN_UPSTREAMS_MAX] =
		best->upstream;
	f->syn_upstream_nr = MIN(f->syn_upstream_nr, COOKIE_SYN_UPSTREAMS_MAX);
	f->syn_ms = now_ms;
	start_flow_load(cs, f);
	g_array_append_val(cs->pending_handshakes, pending);
	return d;
}

/* Makes P the SYN that waits, or the newest copy of it that has come. */
static void keep_held_syn(struct held_syn *held, const struct cookie_packet *p,
			  uint64_t now_ms)
{
	held->packet = *p;
	held->packet.datagram = NULL;
	if (p->datagram_len)
		memcpy(held->datagram, p->datagram, p->datagram_len);
	held->sent_ms = now_ms - p->age_ms;
}

/*
 * Whether the next copy of HELD was due and has not come: another instance may
 * have it.
 */
static bool is_copy_elsewhere(const struct held_syn *held, uint64_t now_ms)
{
	return held->packet.ack < COOKIE_SYN_LAST_COPY &&
	       now_ms - held->sent_ms >=
		       COOKIE_SYN_INTERVAL_MS(held->packet.ack) +
			       COOKIE_SYN_COPY_SLACK_MS;
}

/* Lets the SYN P of F wait until an upstream of SERVICE has room. */
static struct cookie_decision
hold_syn(struct cookie_steering *cs, struct cookie_flow *f,
	 const struct cookie_packet *p, const struct catalog_route *route,
	 service_index_t service, const struct placement *best, uint64_t now_ms)
{
	bool just_started = has_just_started(cs, now_ms);
	struct syn_rank rank = get_syn_rank(cs, route, service);
	struct syn_limits limits = get_ranked_syn_limits(
		cs->syn_queue, service, rank, route->slo_ms, p->ack,
		just_started, now_ms);
	struct cookie_decision d = make_decision(COOKIE_WAIT, COOKIE_CROWDED);
	struct waiting_syn *place = NULL;
	struct held_syn *held;

	if (p->datagram_len <= COOKIE_SYN_DATAGRAM_MAX)
		place = queue_syn(cs->syn_queue, service, rank, limits,
				  just_started, f, now_ms);
	if (!place && best->upstream != CATALOG_NONE &&
	    !may_refuse_syn(cs->syn_queue, service, rank.priority, now_ms))
		return send_syn_to(cs, f, p, service, rank, best, now_ms);
	if (!place)
		return refuse_syn(cs, f, p, service, rank, best, now_ms);
	held = g_new0(struct held_syn, 1);
	keep_held_syn(held, p, now_ms);
	held->place = place;
	f->held_syn = held;
	d.placement = *best;
	return d;
}

/* Decides about P, the SYN of F, which does not wait. */
static struct cookie_decision place_syn(struct cookie_steering *cs,
					struct cookie_flow *f,
					const struct cookie_packet *p,
					const struct catalog_route *route,
					uint64_t now_ms)
{
	service_index_t service = pick_service(route, &p->key);
	struct placement best = find_placement(cs, f, route, service, now_ms);
	struct syn_rank rank = get_syn_rank(cs, route, service);
	enum syn_verdict verdict =
		decide_ranked_syn(cs->syn_queue, service, rank, &best,
				  has_just_started(cs, now_ms), now_ms);

	note_syn_arrival(cs->syn_queue, service, rank, verdict == SYN_WAIT,
			 now_ms);
	/* the upstream that got it before may still answer */
	if (verdict == SYN_WAIT && f->syn_upstream_nr &&
	    best.upstream != CATALOG_NONE)
		verdict = SYN_PLACE;
	switch (verdict) {
	case SYN_PLACE:
		return send_syn_to(cs, f, p, service, rank, &best, now_ms);
	case SYN_WAIT:
		return hold_syn(cs, f, p, route, service, &best, now_ms);
	case SYN_REFUSE:
		break;
	}
	return refuse_syn(cs, f, p, service, rank, &best, now_ms);
}

/* Starts the decision about the SYN of F, which leaves the queue. */
static struct released_syn take_held_syn(struct cookie_steering *cs,
					 struct cookie_flow *f, uint64_t now_ms)
{
	struct released_syn r = { .packet = f->held_syn->packet };

	r.waited_ms = now_ms - f->held_syn->place->queued_ms;
	f->may_be_split |= is_copy_elsewhere(f->held_syn, now_ms);
	memcpy(r.datagram, f->held_syn->datagram, sizeof(r.datagram));
	cancel_held_syn(cs, f);
	return r;
}

/*
 * Places a waiting SYN of SERVICE, the newest or one whose wait has ended; false
 * if there is none or it has to wait on.
 */
static bool release_syn(struct cookie_steering *cs, service_index_t service,
			uint64_t now_ms, GArray *released)
{
	struct waiting_syn *overdue =
		next_overdue_syn(cs->syn_queue, service, now_ms);
	struct waiting_syn *w =
		overdue ? overdue : next_waiting_syn(cs->syn_queue, service);
	bool just_started = has_just_started(cs, now_ms);
	const struct catalog_route *route;
	struct released_syn r;
	struct syn_rank rank;
	struct placement best;
	struct cookie_flow *f;
	enum syn_verdict verdict;

	if (!w)
		return false;
	f = w->owner;
	route = find_catalog_route(cs->catalog, f->key.service_ip,
				   f->key.service_port);
	if (!route) {
		r = take_held_syn(cs, f, now_ms);
		r.decision = make_reset_decision(&r.packet, COOKIE_NO_ROUTE);
		remove_cookie_flow(cs, f);
		g_array_append_val(released, r);
		return true;
	}
	/* the route may have changed since */
	service = pick_service(route, &f->key);
	rank = get_syn_rank(cs, route, service);
	best = find_placement(cs, f, route, service, now_ms);
	verdict = decide_ranked_syn(cs->syn_queue, service, rank, &best,
				    just_started, now_ms);
	if (verdict == SYN_WAIT && overdue &&
	    !must_syn_yield(cs->syn_queue, service, rank.priority, now_ms))
		verdict = decide_overdue_syn(&best, just_started);
	if (verdict == SYN_WAIT)
		return false;
	r = take_held_syn(cs, f, now_ms);
	r.decision = verdict == SYN_PLACE
			     ? send_syn_to(cs, f, &r.packet, service, rank,
					   &best, now_ms)
			     : refuse_syn(cs, f, &r.packet, service, rank,
					  &best, now_ms);
	g_array_append_val(released, r);
	return true;
}

void release_waiting_syns(struct cookie_steering *cs, uint64_t now_ms,
			  GArray *released)
{
	const struct placement crowded = { CATALOG_NONE, PLACE_CROWDED, 0 };
	struct waiting_syn *w;

	/* refusals first: after a delay the callers may be gone */
	while ((w = next_syn_to_refuse(cs->syn_queue, now_ms))) {
		struct cookie_flow *f = w->owner;
		service_index_t service = w->service;
		struct syn_rank rank = w->rank;
		struct released_syn r = take_held_syn(cs, f, now_ms);

		r.decision = refuse_syn(cs, f, &r.packet, service, rank,
					&crowded, now_ms);
		g_array_append_val(released, r);
	}
	if (!waiting_syn_count(cs->syn_queue))
		return;
	for (size_t i = 0; i < syn_queue_service_count(cs->syn_queue); i++)
		while (release_syn(cs, (service_index_t)i, now_ms, released))
			;
}

/*
 * Whether P, a copy of the SYN of F, goes where the SYN went. The first copy
 * does as long as nothing else speaks against the upstream: if only its answer
 * was lost, another upstream would answer as well, and the caller's packets
 * could carry the cookie of either.
 */
static bool may_answer_syn(struct cookie_steering *cs,
			   const struct cookie_flow *f,
			   const struct cookie_packet *p, uint64_t now_ms)
{
	bool is_first_copy = p->ack == 1 && f->syn_upstream_nr == 1;
	/* both waited unread: the upstream has had no time to answer */
	bool is_early = now_ms - f->syn_ms < handshake_limit_ms(cs);

	if (f->upstream == CATALOG_NONE)
		return false;
	if (!is_early)
		note_upstream_silent(cs->placer, f->upstream, f->syn_ms,
				     now_ms);
	/* an upstream that answered other flows lost only this SYN */
	return (is_early || is_first_copy ||
		was_alive_since(cs->placer, f->upstream, f->syn_ms)) &&
	       accepts_flows(cs->catalog, f->upstream) &&
	       !is_upstream_dead_or_cut_off(cs, f->upstream);
}

static struct cookie_decision handle_syn(struct cookie_steering *cs,
					 const struct cookie_packet *p,
					 uint64_t now_ms)
{
	const struct catalog_route *route = find_catalog_route(
		cs->catalog, p->key.service_ip, p->key.service_port);
	struct cookie_flow *f = find_cookie_flow(cs, &p->key);
	const struct split_flow *split;

	if (is_stale_syn(p)) {
		count(cs->counters, COUNT_FLOW_STALE_SYN);
		return make_decision(COOKIE_DROP, COOKIE_STALE_SYN);
	}
	if (!catalog_version(cs->catalog))
		return make_decision(COOKIE_TO_PEER, COOKIE_NOT_READY);
	if (!route && cs->routes_behind)
		return make_decision(COOKIE_TO_PEER, COOKIE_NOT_READY);
	if (!route)
		return make_reset_decision(p, COOKIE_NO_ROUTE);
	if (f && !is_packet_of_flow(f, p)) {
		remove_cookie_flow(cs, f);
		f = NULL;
	}
	split = find_split_flow_of_syn(cs->split_flows, p, now_ms);
	if ((f && f->phase != PHASE_OPENING) || (split && split->cookie))
		return make_decision(COOKIE_DROP, COOKIE_LATE_COPY);
	if (f && f->held_syn) {
		if (p->datagram_len <= COOKIE_SYN_DATAGRAM_MAX)
			keep_held_syn(f->held_syn, p, now_ms);
		return make_decision(COOKIE_DROP, COOKIE_CROWDED);
	}
	if (!f) {
		f = add_cookie_flow(cs, p, route, now_ms);
		if (!f)
			return make_decision(COOKIE_DROP, COOKIE_REFUSED);
		/*
		 * The SYN itself may have gone through another instance, or
		 * members may take the flow for an earlier one.
		 */
		f->may_be_split =
			p->ack > 0 ||
			forget_earlier_split_flow(cs->split_flows, p, now_ms);
	}
	f->last_packet_ms = now_ms;
	f->caller_next_seq = p->seq + 1;
	if (may_answer_syn(cs, f, p, now_ms))
		return steer_syn_to(cs, f->upstream, COOKIE_REOPENED);
	return place_syn(cs, f, p, route, now_ms);
}

/*
 * The upstream of P, a packet of F that is no SYN. The cookie of the first
 * packet after the SYN decides which of the upstreams that got the SYN has the
 * flow. The SYN may have gone to some of them through other instances, and
 * their late answers change the caller's cookie again until the flow's own
 * upstream sends something. So once the upstream is known, here or to a member
 * that told so in SPLIT, other cookies are ignored. Without F and SPLIT (each
 * may be NULL) all that there is to go by is the cookie.
 */
static upstream_index_t find_packet_upstream(struct cookie_steering *cs,
					     const struct cookie_packet *p,
					     const struct cookie_flow *f,
					     const struct split_flow *split)
{
	bool has_upstream = f && f->upstream != CATALOG_NONE;
	upstream_index_t by_cookie =
		p->cookie ? find_upstream_by_cookie(cs->catalog, p->cookie)
			  : CATALOG_NONE;

	if (has_upstream && f->upstream_known)
		return f->upstream;
	if (split && split->cookie)
		return find_upstream_by_cookie(cs->catalog, split->cookie);
	if (!has_upstream)
		return by_cookie;
	/* a packet came with the cookie that the open flow has */
	if (!p->cookie || (p->marked && f->phase != PHASE_OPENING))
		return f->upstream;
	if (f->phase != PHASE_OPENING && was_syn_sent_to(f, by_cookie))
		return f->upstream;
	return by_cookie;
}

bool knows_packet_upstream(const struct cookie_steering *cs,
			   const struct cookie_packet *p, uint64_t now_ms)
{
	const struct cookie_flow *f = find_cookie_flow(cs, &p->key);
	const struct split_flow *split =
		find_split_flow(cs->split_flows, &p->key, p->seq, now_ms);

	if (split && split->cookie)
		return true;
	return f && is_packet_of_flow(f, p) && f->upstream != CATALOG_NONE &&
	       (f->upstream_known || f->saw_syn);
}

/*
 * Whether P, sent by the caller with the first byte of its data or before it,
 * shows at which upstream F is open: no packet of F brought another cookie yet.
 */
static bool completes_handshake(const struct cookie_flow *f,
				const struct cookie_packet *p,
				const struct split_flow *split)
{
	bool is_first = (f->saw_syn && p->seq == f->first_seq) ||
			(split && split->saw_syn && p->seq == split->first_seq);

	return is_first && p->cookie && p->cookie == f->first_cookie;
}

/*
 * Whether P shows at which upstream F is open: it completes the handshake, or
 * acknowledges data that brought the cookie of the upstream that F has already,
 * or a member knows of SPLIT, the split flow (NULL: it is none).
 */
static bool proves_upstream(const struct cookie_steering *cs,
			    const struct cookie_flow *f,
			    const struct cookie_packet *p,
			    const struct split_flow *split)
{
	if ((split && split->cookie) || completes_handshake(f, p, split))
		return true;
	/* data brings a plain cookie */
	return f->phase != PHASE_OPENING && f->upstream != CATALOG_NONE &&
	       !p->marked &&
	       p->cookie == get_upstream(cs->catalog, f->upstream)->cookie &&
	       is_seq_after(p->ack, f->caller_ack);
}

/*
 * Tells members where F is open if its packets may carry the cookies of other
 * upstreams, as P does or as SPLIT tells (NULL: it does not). False if there is
 * nothing to tell.
 */
static bool settle_split_flow(struct cookie_steering *cs, struct cookie_flow *f,
			      const struct cookie_packet *p,
			      const struct split_flow *split, uint64_t now_ms)
{
	uint32_t cookie = get_upstream(cs->catalog, f->upstream)->cookie;
	bool is_split =
		f->may_be_split || split || (p->cookie && p->cookie != cookie);

	if (!f->upstream_known || !is_split || (split && split->cookie))
		return false;
	f->may_be_split = false;
	return note_cookie_split_flow(cs, f, cookie, now_ms);
}

void learn_cookie_split_flow(struct cookie_steering *cs,
			     const struct split_flow *flow, uint64_t now_ms)
{
	struct cookie_flow *f = find_cookie_flow(cs, &flow->key);

	learn_split_flow(cs->split_flows, flow, now_ms);
	if (!f || flow->cookie || f->phase == PHASE_OPENING ||
	    f->upstream == CATALOG_NONE ||
	    !find_split_flow(cs->split_flows, &f->key, f->first_seq, now_ms))
		return;
	if (f->upstream_known)
		note_cookie_split_flow(
			cs, f, get_upstream(cs->catalog, f->upstream)->cookie,
			now_ms);
	else if (f->first_cookie && f->first_seq == flow->first_seq)
		/* it completed the handshake */
		note_cookie_split_flow(cs, f, f->first_cookie, now_ms);
}

/* Updates F and its upstream's load and health from P. */
static void observe_packet(struct cookie_steering *cs, struct cookie_flow *f,
			   const struct cookie_packet *p, uint64_t now_ms)
{
	uint32_t next_seq = p->seq + p->payload_len;

	if (f->phase == PHASE_OPENING) {
		f->phase = PHASE_OPEN;
		f->caller_ack = p->ack;
		if (f->syn_ms) {
			double took_ms = (double)(now_ms - f->syn_ms);

			/* of several SYNs the answered one is not known */
			note_upstream_answer(cs->placer, f->upstream,
					     f->syn_upstream_nr == 1 ? f->syn_ms
								     : 0,
					     now_ms);
			add_duration(&cs->handshake_histogram,
				     now_ms - f->syn_ms);
			cs->mean_handshake_ms +=
				HANDSHAKE_MEAN_WEIGHT *
				(MIN(took_ms, COOKIE_HANDSHAKE_SAMPLE_MAX_MS) -
				 cs->mean_handshake_ms);
		}
	}
	if (is_seq_after(p->ack, f->caller_ack)) {
		f->caller_ack = p->ack;
		if (f->request_pending) {
			f->response_ms = MAX(now_ms - f->request_sent_ms, 1);
			note_response_time(cs->placer, f->upstream,
					   route_key(&f->key), f->request_load,
					   now_ms - f->request_sent_ms, now_ms);
		}
		observe_answer(cs, f, p, now_ms);
		forget_repeats(f);
	}
	if (!p->payload_len)
		return;
	if (!is_seq_after(next_seq, f->caller_next_seq)) {
		observe_repeat(cs, f, p, now_ms);
		return;
	}
	observe_new_data(f, now_ms);
	f->caller_next_seq = next_seq;
	if (!f->request_pending) {
		note_response_end(cs, f, now_ms);
		f->request_ack = f->caller_ack;
		start_request(cs, f, now_ms);
		f->request_load = current_load(cs->placer, f->upstream);
	}
}

/* Closes F if P has FIN or RST: its caller sends no more data. */
static void observe_fin_or_rst(struct cookie_steering *cs,
			       struct cookie_flow *f,
			       const struct cookie_packet *p, uint64_t now_ms)
{
	if (p->flags & TCP_RST)
		f->response_ms = 0; /* it may have been cut short */
	if (f->phase == PHASE_CLOSING || !(p->flags & (TCP_FIN | TCP_RST)))
		return;
	note_response_end(cs, f, now_ms);
	f->phase = PHASE_CLOSING;
	end_flow_load(cs, f);
	note_flow_end_on_route(cs->placer, f->load.route, now_ms);
}

/* Ends F (which may be NULL), whose upstream NR cannot be reached for REASON. */
static struct cookie_decision
reset_unreachable_flow(struct cookie_steering *cs, struct cookie_flow *f,
		       const struct cookie_packet *p, upstream_index_t nr,
		       enum cookie_reason reason)
{
	struct cookie_decision d = make_reset_decision(p, reason);

	d.upstream = nr;
	if (f)
		remove_cookie_flow(cs, f);
	return d;
}

void set_cookie_isolated(struct cookie_steering *cs, bool isolated)
{
	cs->isolated = isolated;
}

void set_cookie_routes_behind(struct cookie_steering *cs, bool behind)
{
	cs->routes_behind = behind;
}

void set_cookie_marks(struct cookie_steering *cs, bool enabled)
{
	cs->marks_cookies = enabled;
}

void set_cookie_splits_known(struct cookie_steering *cs, bool known)
{
	cs->splits_known = known;
}

/*
 * Whether P, whose cookie was marked, may go by it. F and SPLIT (each may be
 * NULL) are what is known of its flow: that it was placed here, or that it has
 * just been opened, as members told. Else the flow may be open elsewhere, unless
 * members would have told that.
 */
static bool may_follow_mark(const struct cookie_steering *cs,
			    const struct cookie_packet *p,
			    const struct cookie_flow *f,
			    const struct split_flow *split)
{
	if (f)
		return true;
	if (!split)
		return cs->splits_known;
	return split->cookie || p->seq == split->first_seq;
}

struct cookie_decision steer_cookie_packet(struct cookie_steering *cs,
					   const struct cookie_packet *received,
					   bool relayed, uint64_t now_ms)
{
	struct cookie_packet plain = *received;
	const struct cookie_packet *p = &plain;
	struct cookie_decision d;
	const struct split_flow *split;
	struct cookie_flow *f;
	upstream_index_t nr;
	bool moved_in;
	bool settled;

	remove_mark(cs, &plain);
	count(cs->counters, COUNT_FLOW_PACKETS);
	if (!cs->first_packet_ms)
		cs->first_packet_ms = now_ms;
	if (is_cookie_syn(p))
		return handle_syn(cs, p, now_ms);
	f = find_cookie_flow(cs, &p->key);
	if (f && !is_packet_of_flow(f, p)) {
		remove_cookie_flow(cs, f);
		f = NULL;
	}
	if (f)
		cancel_held_syn(cs, f); /* opened through another instance */
	split = find_split_flow(cs->split_flows, &p->key, p->seq, now_ms);
	nr = find_packet_upstream(cs, p, f, split);
	if (p->marked && !may_follow_mark(cs, p, f, split))
		nr = CATALOG_NONE;
	if (nr == CATALOG_NONE)
		return make_decision(relayed ? COOKIE_DROP : COOKIE_TO_PEER,
				     COOKIE_UNKNOWN);
	if (may_end_flows(cs->placer, nr, now_ms))
		return reset_unreachable_flow(cs, f, p, nr,
					      COOKIE_UPSTREAM_DEAD);
	if (is_upstream_dead_or_cut_off(cs, nr))
		note_flow_in_doubt(cs->placer, nr, now_ms);
	if (p->payload_len && is_better_repeated(cs, &p->key, nr, now_ms))
		return reset_unreachable_flow(cs, f, p, nr, COOKIE_LINK_LOST);
	/* later packets of a relayed flow go to the instance that relays it */
	moved_in = !f && !relayed;
	if (!f) {
		f = add_cookie_flow(cs, p,
				    find_catalog_route(cs->catalog,
						       p->key.service_ip,
						       p->key.service_port),
				    now_ms);
		if (f) {
			f->phase = PHASE_OPEN;
			f->caller_ack = p->ack;
			f->load.established = true;
			if (p->payload_len)
				note_moved_flow(cs->placer, nr, now_ms);
		}
	}
	if (!f)
		return steer_to(cs, nr, COOKIE_STEERED);
	if (!f->first_cookie)
		f->first_cookie = p->cookie;
	f->upstream_known |= proves_upstream(cs, f, p, split);
	if (f->upstream != nr) {
		unassign_cookie_flow(cs, f);
		f->response_ms = 0;
		assign_cookie_flow(cs, f, nr);
	}
	settled = settle_split_flow(cs, f, p, split, now_ms);
	observe_packet(cs, f, p, now_ms);
	observe_fin_or_rst(cs, f, p, now_ms);
	f->last_packet_ms = now_ms;
	d = steer_to(cs, nr, COOKIE_STEERED);
	d.moved_in = moved_in;
	d.settled = settled;
	return d;
}

const char *cookie_reason_name(enum cookie_reason r)
{
	static const char *const names[COOKIE_REASON_NR] = {
		"opened",	   "reopened",	"steered",  "no-route",
		"route-gone",	   "crowded",	"refused",  "upstream-dead",
		"upstream-silent", "link-lost", "unknown",  "not-ready",
		"isolated",	   "late-copy", "stale-syn"
	};

	return names[r];
}
