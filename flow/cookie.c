#include "flow/cookie.h"

#include <string.h>
#include <xxhash.h>

#include "flow/cookie-state.h"

#define HANDSHAKE_WEIGHT 0.05 /* of the newest in the running mean */

/* Serial number arithmetic: A comes after B. */
static bool is_after(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b) > 0;
}

static struct cookie_decision decide(enum cookie_verdict verdict,
				     enum cookie_reason reason)
{
	struct cookie_decision d = { .verdict = verdict,
				     .reason = reason,
				     .upstream = CATALOG_NONE };

	return d;
}

static struct cookie_decision reset_for(const struct cookie_packet *p,
					enum cookie_reason reason)
{
	struct cookie_decision d = decide(COOKIE_RESET, reason);

	if (p->flags & TCP_RST)
		d.verdict = COOKIE_DROP;
	d.reset_seq = is_cookie_syn(p) ? 0 : p->ack;
	return d;
}

/* The service that the flow's hash falls to, by the route's weights. */
static service_nr_t pick_service(const struct catalog_route *route,
				 const struct flow_key *key)
{
	uint64_t total = 0;
	uint64_t at;

	for (uint32_t i = 0; i < route->share_nr; i++)
		total += route->shares[i].weight;
	if (!total)
		return CATALOG_NONE;
	at = XXH3_64bits(key, sizeof(*key)) % total;
	for (uint32_t i = 0; i < route->share_nr; i++) {
		if (at < route->shares[i].weight)
			return route->shares[i].service;
		at -= route->shares[i].weight;
	}
	return CATALOG_NONE;
}

static struct cookie_decision steer_to(struct cookie_steering *cs,
				       upstream_nr_t nr,
				       enum cookie_reason reason)
{
	struct cookie_decision d = decide(COOKIE_TO_UPSTREAM, reason);

	d.upstream = nr;
	d.cookie = get_upstream(cs->cat, nr)->cookie;
	return d;
}

static void add_avoided(upstream_nr_t *avoid, size_t *nr, upstream_nr_t up)
{
	for (size_t i = 0; i < *nr; i++)
		if (avoid[i] == up)
			return;
	if (*nr < COOKIE_AVOID_MAX)
		avoid[(*nr)++] = up;
}

/*
 * The upstreams that F is to be kept away from: those that got its SYN
 * before, and those where the same caller's flows lately got nowhere. A dead
 * one resets callers at once, which is not seen here, and they come again
 * within milliseconds; with no load it would get them all.
 */
static size_t list_avoided(const struct cookie_steering *cs,
			   const struct flow *f, uint64_t now_ms,
			   upstream_nr_t avoid[COOKIE_AVOID_MAX])
{
	const struct flow *o = first_flow_of_caller(cs, f->key.caller_ip);
	size_t nr = 0;

	for (uint8_t i = 0; i < f->tried_nr; i++)
		add_avoided(avoid, &nr, f->tried[i]);
	for (; o; o = o->caller_next) {
		bool stuck = o->phase == PHASE_OPENING ||
			     (o->phase == PHASE_OPEN && o->waiting);
		uint64_t since = o->waiting ? o->sent_ms : o->syn_ms;

		if (o == f || o->upstream == CATALOG_NONE || !stuck ||
		    now_ms - since > COOKIE_AGAIN_MS ||
		    has_lived_since(cs->placing, o->upstream, since))
			continue;
		add_avoided(avoid, &nr, o->upstream);
	}
	return nr;
}

/* Whether callers may have used up tries while nobody was here. */
static bool has_just_started(const struct cookie_steering *cs, uint64_t now_ms)
{
	return now_ms - cs->first_ms < COOKIE_STARTED_MS;
}

/*
 * Right after a start all callers come with what they are behind with; what
 * matters then is that upstreams shed nothing, not how late they answer.
 */
enum syn_verdict judge_syn(const struct placement *at, uint32_t copy,
			   bool gives_way, bool just_started)
{
	bool crowded = at->reason == PLACE_FULL ||
		       (at->reason == PLACE_CROWDED && !just_started);

	if (!crowded || !gives_way)
		return SYN_PLACE;
	if (copy < COOKIE_COPIES)
		return SYN_LEAVE;
	return just_started ? SYN_PLACE : SYN_REFUSE;
}

/* Places the flow F, which its caller asks to open. */
static struct cookie_decision place(struct cookie_steering *cs, struct flow *f,
				    const struct cookie_packet *p,
				    const struct catalog_route *route,
				    uint64_t now_ms)
{
	service_nr_t service = pick_service(route, &p->key);
	struct opening o = { p->key, now_ms };
	upstream_nr_t avoid[COOKIE_AVOID_MAX];
	size_t avoid_nr = list_avoided(cs, f, now_ms, avoid);
	struct place_wish wish = { .service = service,
				   .deadline_ms = route->deadline_ms,
				   .aim_ms = route->aim_ms,
				   .tried = avoid,
				   .tried_nr = avoid_nr };
	enum syn_verdict verdict;
	struct cookie_decision d;
	struct placement at;

	at = place_new_flow(cs->placing, &wish, now_ms);
	if (at.upstream == CATALOG_NONE && avoid_nr) {
		wish.tried_nr = 0;
		at = place_new_flow(cs->placing, &wish, now_ms);
	}
	if (at.upstream == CATALOG_NONE) {
		remove_cookie_flow(cs, f);
		d = reset_for(p, COOKIE_REFUSED);
		d.placement = at;
		return d;
	}
	verdict = judge_syn(&at, p->ack, gives_way(cs->cat, route, service),
			    has_just_started(cs, now_ms));
	if (verdict != SYN_PLACE) {
		remove_cookie_flow(cs, f);
		d = verdict == SYN_LEAVE ? decide(COOKIE_DROP, COOKIE_DEFERRED)
					 : reset_for(p, COOKIE_REFUSED);
		d.placement = at;
		return d;
	}
	d = steer_to(cs, at.upstream,
		     f->tried_nr ? COOKIE_REOPENED : COOKIE_OPENED);
	d.placement = at;
	unlink_cookie_flow(cs, f);
	link_cookie_flow(cs, f, at.upstream);
	f->tried[f->tried_nr++ % COOKIE_TRIED_MAX] = at.upstream;
	f->tried_nr = MIN(f->tried_nr, COOKIE_TRIED_MAX);
	f->syn_ms = now_ms;
	g_array_append_val(cs->opening, o);
	return d;
}

static struct cookie_decision open_cookie_flow(struct cookie_steering *cs,
					       const struct cookie_packet *p,
					       uint64_t now_ms)
{
	const struct catalog_route *route = find_catalog_route(
		cs->cat, p->key.service_ip, p->key.service_port);
	struct flow *f = find_cookie_flow(cs, &p->key);

	if (!catalog_version(cs->cat))
		return decide(COOKIE_TO_PEER, COOKIE_NOT_READY);
	if (!route)
		return reset_for(p, COOKIE_NO_ROUTE);
	if (f && f->phase != PHASE_OPENING) {
		remove_cookie_flow(cs, f);
		f = NULL;
	}
	if (!f)
		f = add_cookie_flow(cs, p, route, now_ms);
	if (!f)
		return decide(COOKIE_DROP, COOKIE_REFUSED);
	f->seen_ms = now_ms;
	f->seq_end = p->seq + 1;
	if (f->upstream != CATALOG_NONE) {
		note_silence(cs->placing, f->upstream, f->syn_ms, now_ms);
		/* one that answers others meanwhile has only lost a packet */
		if (has_lived_since(cs->placing, f->upstream, f->syn_ms) &&
		    accepts_flows(cs->cat, f->upstream))
			return steer_to(cs, f->upstream, COOKIE_REOPENED);
	}
	return place(cs, f, p, route, now_ms);
}

static bool was_tried_for(const struct flow *f, upstream_nr_t nr)
{
	for (uint8_t i = 0; i < f->tried_nr; i++)
		if (f->tried[i] == nr)
			return true;
	return false;
}

/*
 * The upstream of a packet that is no SYN. The first one after the SYN was
 * sent to several upstreams settles which of them has the flow; later cookies
 * of the others are those of late answers to copies of the SYN.
 */
static upstream_nr_t find_upstream_of(struct cookie_steering *cs,
				      const struct cookie_packet *p,
				      struct flow *f)
{
	upstream_nr_t named =
		p->cookie ? find_by_cookie(cs->cat, p->cookie) : CATALOG_NONE;

	if (!f || f->upstream == CATALOG_NONE)
		return named;
	if (named == CATALOG_NONE)
		return p->cookie ? CATALOG_NONE : f->upstream;
	if (f->phase != PHASE_OPENING && f->tried_nr > 1 &&
	    was_tried_for(f, named))
		return f->upstream;
	return named;
}

/* Learns from the acknowledgement and the data of P. */
static void observe_packet(struct cookie_steering *cs, struct flow *f,
			   const struct cookie_packet *p, uint64_t now_ms)
{
	uint32_t end = p->seq + p->payload;

	if (f->phase == PHASE_OPENING) {
		f->phase = PHASE_OPEN;
		f->ack = p->ack;
		if (f->syn_ms) {
			double took = (double)(now_ms - f->syn_ms);

			note_life(cs->placing, f->upstream, now_ms);
			add_duration(&cs->handshakes, now_ms - f->syn_ms);
			cs->handshake_ms +=
				HANDSHAKE_WEIGHT *
				(MIN(took, COOKIE_HANDSHAKE_MAX_MS) -
				 cs->handshake_ms);
		}
	}
	if (is_after(p->ack, f->ack)) {
		f->ack = p->ack;
		if (f->waiting) {
			note_answer(cs->placing, f->upstream,
				    now_ms - f->sent_ms, now_ms);
			end_cookie_request(cs, f);
		} else {
			note_life(cs->placing, f->upstream, now_ms);
		}
	}
	if (!p->payload)
		return;
	if (!is_after(end, f->seq_end)) {
		note_silence(cs->placing, f->upstream, f->seen_ms, now_ms);
		return;
	}
	f->seq_end = end;
	if (!f->waiting) {
		f->waiting = true;
		f->sent_ms = now_ms;
		note_request(cs->placing, f->upstream);
	}
}

/* Notes that the caller will send nothing more. */
static void observe_end(struct cookie_steering *cs, struct flow *f,
			const struct cookie_packet *p)
{
	if (f->phase == PHASE_CLOSING || !(p->flags & (TCP_FIN | TCP_RST)))
		return;
	end_cookie_request(cs, f);
	note_flow_end(cs->placing, f->upstream);
	f->phase = PHASE_CLOSING;
}

/* The flow's upstream is dead: ends the flow. */
static struct cookie_decision reset_dead(struct cookie_steering *cs,
					 struct flow *f,
					 const struct cookie_packet *p,
					 upstream_nr_t nr)
{
	struct cookie_decision d = reset_for(p, COOKIE_UPSTREAM_DEAD);

	d.upstream = nr;
	if (f)
		remove_cookie_flow(cs, f);
	return d;
}

static bool is_dead(const struct cookie_steering *cs, upstream_nr_t nr)
{
	enum upstream_health h = placing_health(cs->placing, nr);

	return h == HEALTH_DEAD || h == HEALTH_CUT_OFF;
}

struct cookie_decision steer_cookie(struct cookie_steering *cs,
				    const struct cookie_packet *p, bool relayed,
				    uint64_t now_ms)
{
	struct flow *f;
	upstream_nr_t nr;

	count(cs->counters, COUNT_FLOW_PACKETS);
	if (!cs->first_ms)
		cs->first_ms = now_ms;
	if (is_cookie_syn(p))
		return open_cookie_flow(cs, p, now_ms);
	f = find_cookie_flow(cs, &p->key);
	nr = find_upstream_of(cs, p, f);
	if (nr == CATALOG_NONE)
		return decide(relayed ? COOKIE_DROP : COOKIE_TO_PEER,
			      COOKIE_UNKNOWN);
	if (is_dead(cs, nr))
		return reset_dead(cs, f, p, nr);
	if (!f) {
		f = add_cookie_flow(cs, p,
				    find_catalog_route(cs->cat,
						       p->key.service_ip,
						       p->key.service_port),
				    now_ms);
		if (f) {
			f->phase = PHASE_OPEN;
			f->ack = p->ack;
			if (p->payload)
				note_moved_flow(cs->placing, nr, now_ms);
		}
	}
	if (!f)
		return steer_to(cs, nr, COOKIE_STEERED);
	if (f->upstream != nr) {
		unlink_cookie_flow(cs, f);
		link_cookie_flow(cs, f, nr);
	}
	observe_packet(cs, f, p, now_ms);
	observe_end(cs, f, p);
	f->seen_ms = now_ms;
	return steer_to(cs, nr, COOKIE_STEERED);
}

const char *cookie_reason_name(enum cookie_reason r)
{
	static const char *const names[COOKIE_REASON_NR] = {
		"opened",     "reopened", "steered", "no-route",
		"route-gone", "deferred", "refused", "upstream-dead",
		"unknown",    "not-ready"
	};

	return names[r];
}
