#include "flow/cookie.h"

#include <string.h>
#include <xxhash.h>

#define HANDSHAKE_WEIGHT 0.05 /* of the newest in the running mean */
#define SWEEP_MS 500	      /* between two looks at all flows */

enum flow_phase {
	PHASE_OPENING, /* no answer of the upstream was seen */
	PHASE_OPEN,
	PHASE_CLOSING /* the caller has sent its last byte */
};

struct flow {
	struct flow_key key;
	struct flow *next; /* flows of the same upstream */
	struct flow *prev;
	struct flow *caller_next; /* flows of the same caller */
	struct flow *caller_prev;
	upstream_nr_t upstream;
	upstream_nr_t tried[COOKIE_TRIED_MAX]; /* got the SYN */
	uint8_t tried_nr;
	enum flow_phase phase;
	bool waiting;	      /* a request has no answer yet */
	uint32_t seq_end;     /* behind the last byte that the caller sent */
	uint32_t ack;	      /* last acknowledgement of the caller */
	uint32_t deadline_ms; /* longest a request may take */
	uint64_t syn_ms;      /* when the upstream got the SYN */
	uint64_t sent_ms;     /* when the request was sent first */
	uint64_t seen_ms;
};

/* A SYN that was passed on; its handshake should end soon. */
struct opening {
	struct flow_key key;
	uint64_t syn_ms;
};

struct cookie_steering {
	const struct catalog *cat;
	struct placing *placing;
	struct counters *counters;
	GHashTable *flows;	/* of struct flow */
	GPtrArray *of_upstream; /* first struct flow, by handle */
	GHashTable *of_caller;	/* caller's address -> first struct flow */
	GArray *opening;	/* of struct opening, oldest first */
	uint64_t swept_ms;
	uint64_t ticked_ms;
	struct histogram handshakes; /* ms */
	double handshake_ms;	     /* mean from SYN to the next packet */
};

static guint hash_flow(gconstpointer data)
{
	return (guint)XXH3_64bits(data, sizeof(struct flow_key));
}

static gboolean same_flow(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

struct cookie_steering *create_cookie_steering(const struct catalog *cat,
					       struct placing *pl,
					       struct counters *counters)
{
	struct cookie_steering *cs = g_new0(struct cookie_steering, 1);

	cs->cat = cat;
	cs->placing = pl;
	cs->counters = counters;
	cs->flows = g_hash_table_new_full(hash_flow, same_flow, NULL, g_free);
	cs->of_upstream = g_ptr_array_new();
	cs->of_caller = g_hash_table_new(NULL, NULL);
	cs->opening = g_array_new(FALSE, FALSE, sizeof(struct opening));
	cs->handshake_ms = COOKIE_HANDSHAKE_MS;
	return cs;
}

void destroy_cookie_steering(struct cookie_steering *cs)
{
	if (!cs)
		return;
	g_hash_table_destroy(cs->flows);
	g_ptr_array_free(cs->of_upstream, TRUE);
	g_hash_table_destroy(cs->of_caller);
	g_array_free(cs->opening, TRUE);
	g_free(cs);
}

/* Serial number arithmetic: A comes after B. */
static bool is_after(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b) > 0;
}

static void link_flow(struct cookie_steering *cs, struct flow *f,
		      upstream_nr_t nr)
{
	while (cs->of_upstream->len <= nr)
		g_ptr_array_add(cs->of_upstream, NULL);
	f->upstream = nr;
	f->prev = NULL;
	f->next = g_ptr_array_index(cs->of_upstream, nr);
	if (f->next)
		f->next->prev = f;
	g_ptr_array_index(cs->of_upstream, nr) = f;
	if (f->phase != PHASE_CLOSING)
		note_flow_open(cs->placing, nr);
	if (f->waiting)
		note_request(cs->placing, nr);
}

static void unlink_flow(struct cookie_steering *cs, struct flow *f)
{
	if (f->upstream == CATALOG_NONE)
		return;
	if (f->prev)
		f->prev->next = f->next;
	else
		g_ptr_array_index(cs->of_upstream, f->upstream) = f->next;
	if (f->next)
		f->next->prev = f->prev;
	if (f->phase != PHASE_CLOSING)
		note_flow_end(cs->placing, f->upstream);
	if (f->waiting)
		note_request_end(cs->placing, f->upstream);
	f->upstream = CATALOG_NONE;
}

static struct flow *find_flow_entry(const struct cookie_steering *cs,
				    const struct flow_key *key)
{
	return g_hash_table_lookup(cs->flows, key);
}

static struct flow *first_of_caller(const struct cookie_steering *cs,
				    uint32_t ip)
{
	return g_hash_table_lookup(cs->of_caller, GUINT_TO_POINTER(ip));
}

static void set_first_of_caller(struct cookie_steering *cs, uint32_t ip,
				struct flow *f)
{
	if (f)
		g_hash_table_insert(cs->of_caller, GUINT_TO_POINTER(ip), f);
	else
		g_hash_table_remove(cs->of_caller, GUINT_TO_POINTER(ip));
}

static void link_caller(struct cookie_steering *cs, struct flow *f)
{
	f->caller_next = first_of_caller(cs, f->key.caller_ip);
	if (f->caller_next)
		f->caller_next->caller_prev = f;
	set_first_of_caller(cs, f->key.caller_ip, f);
}

static void unlink_caller(struct cookie_steering *cs, struct flow *f)
{
	if (f->caller_next)
		f->caller_next->caller_prev = f->caller_prev;
	if (f->caller_prev)
		f->caller_prev->caller_next = f->caller_next;
	else
		set_first_of_caller(cs, f->key.caller_ip, f->caller_next);
}

static struct flow *add_flow_entry(struct cookie_steering *cs,
				   const struct cookie_packet *p,
				   const struct catalog_route *route,
				   uint64_t now_ms)
{
	struct flow *f;

	if (g_hash_table_size(cs->flows) >= COOKIE_FLOWS_MAX)
		return NULL;
	f = g_new0(struct flow, 1);
	f->key = p->key;
	f->upstream = CATALOG_NONE;
	f->seq_end = p->seq;
	f->deadline_ms = route ? route->deadline_ms : catalog_idle_ms(cs->cat);
	f->seen_ms = now_ms;
	g_hash_table_insert(cs->flows, &f->key, f);
	link_caller(cs, f);
	return f;
}

static void remove_flow_entry(struct cookie_steering *cs, struct flow *f)
{
	unlink_flow(cs, f);
	unlink_caller(cs, f);
	g_hash_table_remove(cs->flows, &f->key);
}

static void end_request(struct cookie_steering *cs, struct flow *f)
{
	if (!f->waiting)
		return;
	f->waiting = false;
	note_request_end(cs->placing, f->upstream);
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

/* How long a handshake may take before it tells something. */
static uint64_t handshake_limit(const struct cookie_steering *cs)
{
	double limit = COOKIE_HANDSHAKE_FACTOR * cs->handshake_ms;

	return (uint64_t)MAX(limit, COOKIE_HANDSHAKE_MIN_MS);
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
	const struct flow *o = first_of_caller(cs, f->key.caller_ip);
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
	struct cookie_decision d;
	struct placement at;

	at = place_new_flow(cs->placing, service, route->deadline_ms, avoid,
			    avoid_nr, now_ms);
	if (at.upstream == CATALOG_NONE && avoid_nr)
		at = place_new_flow(cs->placing, service, route->deadline_ms,
				    NULL, 0, now_ms);
	if (at.upstream == CATALOG_NONE) {
		remove_flow_entry(cs, f);
		d = reset_for(p, COOKIE_REFUSED);
		d.placement = at;
		return d;
	}
	if (at.reason == PLACE_FULL && p->ack < COOKIE_COPIES &&
	    gives_way(cs->cat, route)) {
		remove_flow_entry(cs, f);
		d = decide(COOKIE_DROP, COOKIE_DEFERRED);
		d.placement = at;
		return d;
	}
	d = steer_to(cs, at.upstream,
		     f->tried_nr ? COOKIE_REOPENED : COOKIE_OPENED);
	d.placement = at;
	unlink_flow(cs, f);
	link_flow(cs, f, at.upstream);
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
	struct flow *f = find_flow_entry(cs, &p->key);

	if (!catalog_version(cs->cat))
		return decide(COOKIE_TO_PEER, COOKIE_NOT_READY);
	if (!route)
		return reset_for(p, COOKIE_NO_ROUTE);
	if (f && f->phase != PHASE_OPENING) {
		remove_flow_entry(cs, f);
		f = NULL;
	}
	if (!f)
		f = add_flow_entry(cs, p, route, now_ms);
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
			end_request(cs, f);
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
	end_request(cs, f);
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
		remove_flow_entry(cs, f);
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
	if (is_cookie_syn(p))
		return open_cookie_flow(cs, p, now_ms);
	f = find_flow_entry(cs, &p->key);
	nr = find_upstream_of(cs, p, f);
	if (nr == CATALOG_NONE)
		return decide(relayed ? COOKIE_DROP : COOKIE_TO_PEER,
			      COOKIE_UNKNOWN);
	if (is_dead(cs, nr))
		return reset_dead(cs, f, p, nr);
	if (!f) {
		f = add_flow_entry(cs, p,
				   find_catalog_route(cs->cat,
						      p->key.service_ip,
						      p->key.service_port),
				   now_ms);
		if (f) {
			f->phase = PHASE_OPEN;
			f->ack = p->ack;
		}
	}
	if (!f)
		return steer_to(cs, nr, COOKIE_STEERED);
	if (f->upstream != nr) {
		unlink_flow(cs, f);
		link_flow(cs, f, nr);
	}
	observe_packet(cs, f, p, now_ms);
	observe_end(cs, f, p);
	f->seen_ms = now_ms;
	return steer_to(cs, nr, COOKIE_STEERED);
}

static void add_reset(struct flow *f, enum cookie_reason reason,
		      uint64_t now_ms, GArray *resets)
{
	struct cookie_reset r = { .key = f->key,
				  .seq = f->ack,
				  .reason = reason,
				  .upstream = f->upstream,
				  .waited_ms = f->waiting ? now_ms - f->sent_ms
							  : 0 };

	if (f->phase != PHASE_CLOSING)
		g_array_append_val(resets, r);
}

void end_flows_of(struct cookie_steering *cs, upstream_nr_t nr, uint64_t now_ms,
		  GArray *resets)
{
	struct flow *f = nr < cs->of_upstream->len
				 ? g_ptr_array_index(cs->of_upstream, nr)
				 : NULL;

	while (f) {
		struct flow *next = f->next;

		/* an opening flow's caller sends its SYN again by itself */
		if (f->phase != PHASE_OPENING) {
			add_reset(f, COOKIE_UPSTREAM_DEAD, now_ms, resets);
			remove_flow_entry(cs, f);
		}
		f = next;
	}
}

void end_routeless_flows(struct cookie_steering *cs, uint64_t now_ms,
			 GArray *resets)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, cs->flows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct flow *f = value;

		if (find_catalog_route(cs->cat, f->key.service_ip,
				       f->key.service_port))
			continue;
		add_reset(f, COOKIE_ROUTE_GONE, now_ms, resets);
		unlink_flow(cs, f);
		unlink_caller(cs, f);
		g_hash_table_iter_remove(&it);
	}
}

/* Whether nothing more can come of F. */
static bool has_ended(const struct cookie_steering *cs, const struct flow *f,
		      uint64_t now_ms)
{
	uint64_t idle = now_ms - f->seen_ms;

	switch (f->phase) {
	case PHASE_OPENING:
		return idle > COOKIE_OPENING_MS;
	case PHASE_OPEN:
		return idle > catalog_idle_ms(cs->cat);
	case PHASE_CLOSING:
		return idle > COOKIE_CLOSING_MS;
	}
	return true;
}

/* Doubts the upstreams whose part of a handshake is overdue. */
static void note_slow_handshakes(struct cookie_steering *cs, uint64_t now_ms)
{
	uint64_t limit = handshake_limit(cs);
	uint64_t late = now_ms - cs->ticked_ms;
	guint done = 0;

	cs->ticked_ms = now_ms;
	/* this process was slow or stood still: it proves nothing */
	if (late > COOKIE_LATE_MS) {
		g_array_set_size(cs->opening, 0);
		return;
	}

	for (; done < cs->opening->len; done++) {
		const struct opening *o =
			&g_array_index(cs->opening, struct opening, done);
		struct flow *f;

		if (now_ms - o->syn_ms < limit)
			break;
		f = find_flow_entry(cs, &o->key);
		if (!f || f->phase != PHASE_OPENING || f->syn_ms != o->syn_ms)
			continue;
		note_silence(cs->placing, f->upstream, f->syn_ms, now_ms);
	}
	if (done)
		g_array_remove_range(cs->opening, 0, done);
}

void tick_cookie(struct cookie_steering *cs, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	note_slow_handshakes(cs, now_ms);

	if (now_ms - cs->swept_ms < SWEEP_MS)
		return;
	cs->swept_ms = now_ms;
	g_hash_table_iter_init(&it, cs->flows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct flow *f = value;

		/* the caller has given up, and told nobody */
		if (f->waiting && now_ms - f->sent_ms > f->deadline_ms)
			end_request(cs, f);
		if (!has_ended(cs, f, now_ms))
			continue;
		unlink_flow(cs, f);
		unlink_caller(cs, f);
		g_hash_table_iter_remove(&it);
	}
}

size_t cookie_flow_nr(const struct cookie_steering *cs)
{
	return g_hash_table_size(cs->flows);
}

const struct histogram *handshake_times(const struct cookie_steering *cs)
{
	return &cs->handshakes;
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
