/* The table of flows that cookie steering tracks, and their timeouts. */

#include <string.h>
#include <xxhash.h>

#include "flow/cookie-state.h"

#define RESPONSE_PAUSE_MS 250 /* without packets: the response has ended */
#define SWEEP_INTERVAL_MS 500 /* between two scans of all flows for timeouts */

static void free_cookie_flow(gpointer data)
{
	struct cookie_flow *f = data;

	g_free(f->held_syn);
	g_free(f);
}

struct cookie_steering *create_cookie_steering(const struct catalog *cat,
					       struct placer *pl,
					       struct counters *counters)
{
	struct cookie_steering *cs = g_new0(struct cookie_steering, 1);

	cs->catalog = cat;
	cs->placer = pl;
	cs->counters = counters;
	cs->flows = g_hash_table_new_full(hash_flow_key, flow_keys_equal, NULL,
					  free_cookie_flow);
	cs->flows_by_upstream = g_ptr_array_new();
	cs->flows_by_caller = g_hash_table_new(NULL, NULL);
	cs->pending_handshakes =
		g_array_new(FALSE, FALSE, sizeof(struct pending_handshake));
	cs->pending_flows = g_ptr_array_new();
	cs->syn_queue = create_syn_queue();
	cs->split_flows = create_split_flows();
	set_split_flow_lifetime(cs->split_flows, catalog_flow_ttl_ms(cat));
	cs->mean_handshake_ms = COOKIE_HANDSHAKE_INITIAL_MS;
	return cs;
}

void destroy_cookie_steering(struct cookie_steering *cs)
{
	if (!cs)
		return;
	g_hash_table_destroy(cs->flows);
	g_ptr_array_free(cs->flows_by_upstream, TRUE);
	g_hash_table_destroy(cs->flows_by_caller);
	g_array_free(cs->pending_handshakes, TRUE);
	g_ptr_array_free(cs->pending_flows, TRUE);
	destroy_syn_queue(cs->syn_queue);
	destroy_split_flows(cs->split_flows);
	g_free(cs);
}

void assign_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f,
			upstream_index_t nr)
{
	while (cs->flows_by_upstream->len <= nr)
		g_ptr_array_add(cs->flows_by_upstream, NULL);
	f->upstream = nr;
	f->upstream_prev = NULL;
	f->upstream_next = g_ptr_array_index(cs->flows_by_upstream, nr);
	if (f->upstream_next)
		f->upstream_next->upstream_prev = f;
	g_ptr_array_index(cs->flows_by_upstream, nr) = f;
	add_flow_load(cs->placer, nr, &f->load);
}

void unassign_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f)
{
	if (f->upstream == CATALOG_NONE)
		return;
	if (f->upstream_prev)
		f->upstream_prev->upstream_next = f->upstream_next;
	else
		g_ptr_array_index(cs->flows_by_upstream, f->upstream) =
			f->upstream_next;
	if (f->upstream_next)
		f->upstream_next->upstream_prev = f->upstream_prev;
	remove_flow_load(cs->placer, f->upstream, &f->load);
	f->upstream = CATALOG_NONE;
}

struct cookie_flow *find_cookie_flow(const struct cookie_steering *cs,
				     const struct flow_key *key)
{
	return g_hash_table_lookup(cs->flows, key);
}

struct cookie_flow *first_flow_of_caller(const struct cookie_steering *cs,
					 uint32_t ip)
{
	return g_hash_table_lookup(cs->flows_by_caller, GUINT_TO_POINTER(ip));
}

static void set_first_flow_of_caller(struct cookie_steering *cs, uint32_t ip,
				     struct cookie_flow *f)
{
	if (f)
		g_hash_table_insert(cs->flows_by_caller, GUINT_TO_POINTER(ip),
				    f);
	else
		g_hash_table_remove(cs->flows_by_caller, GUINT_TO_POINTER(ip));
}

static void link_caller_flow(struct cookie_steering *cs, struct cookie_flow *f)
{
	f->caller_next = first_flow_of_caller(cs, f->key.caller_ip);
	if (f->caller_next)
		f->caller_next->caller_prev = f;
	set_first_flow_of_caller(cs, f->key.caller_ip, f);
}

static void unlink_caller_flow(struct cookie_steering *cs,
			       struct cookie_flow *f)
{
	if (f->caller_next)
		f->caller_next->caller_prev = f->caller_prev;
	if (f->caller_prev)
		f->caller_prev->caller_next = f->caller_next;
	else
		set_first_flow_of_caller(cs, f->key.caller_ip, f->caller_next);
}

struct cookie_flow *add_cookie_flow(struct cookie_steering *cs,
				    const struct cookie_packet *p,
				    const struct catalog_route *route,
				    uint64_t now_ms)
{
	struct cookie_flow *f;

	if (g_hash_table_size(cs->flows) >= COOKIE_FLOWS_MAX)
		return NULL;
	f = g_new0(struct cookie_flow, 1);
	f->key = p->key;
	f->upstream = CATALOG_NONE;
	f->load.counted = true;
	f->route_known = route;
	if (!route && !cs->unknown_route_ms)
		cs->unknown_route_ms = MAX(now_ms, 1);
	if (route)
		f->load.route =
			get_placer_route(cs->placer, route->ip, route->port);
	f->caller_next_seq = p->seq;
	f->saw_syn = is_cookie_syn(p);
	f->first_seq = p->seq + f->saw_syn;
	f->deadline_ms =
		route ? route->deadline_ms : catalog_idle_ms(cs->catalog);
	f->added_ms = now_ms;
	f->last_packet_ms = now_ms;
	g_hash_table_insert(cs->flows, &f->key, f);
	link_caller_flow(cs, f);
	return f;
}

void cancel_held_syn(struct cookie_steering *cs, struct cookie_flow *f)
{
	if (!f->held_syn)
		return;
	remove_waiting_syn(cs->syn_queue, f->held_syn->place);
	g_free(f->held_syn);
	f->held_syn = NULL;
}

/* Ends all that refers to F, so that it can leave the table of flows. */
static void detach_cookie_flow(struct cookie_steering *cs,
			       struct cookie_flow *f)
{
	cancel_held_syn(cs, f);
	end_flow_load(cs, f);
	unassign_cookie_flow(cs, f);
	unlink_caller_flow(cs, f);
}

void remove_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f)
{
	detach_cookie_flow(cs, f);
	g_hash_table_remove(cs->flows, &f->key);
}

uint64_t route_key(const struct flow_key *key)
{
	return (uint64_t)key->service_ip << 16 | key->service_port;
}

void note_response_end(struct cookie_steering *cs, struct cookie_flow *f,
		       uint64_t now_ms)
{
	if (!f->response_ms)
		return;
	note_response_size(cs->placer, f->upstream, route_key(&f->key),
			   f->response_ms, f->caller_ack - f->request_ack,
			   now_ms);
	f->response_ms = 0;
}

bool release_moved_flow(struct cookie_steering *cs, const struct flow_key *key)
{
	struct cookie_flow *f = find_cookie_flow(cs, key);

	if (!f || f->upstream == CATALOG_NONE)
		return false;
	remove_cookie_flow(cs, f);
	return true;
}

void add_cookie_reset(struct cookie_flow *f, enum cookie_reason reason,
		      uint64_t now_ms, GArray *resets)
{
	struct cookie_reset r = { .key = f->key,
				  .seq = f->caller_ack,
				  .reason = reason,
				  .upstream = f->upstream,
				  .waited_ms =
					  f->request_pending
						  ? now_ms - f->request_sent_ms
						  : 0 };

	if (f->phase != PHASE_CLOSING)
		g_array_append_val(resets, r);
}

void end_upstream_flows(struct cookie_steering *cs, upstream_index_t nr,
			uint64_t now_ms, GArray *resets)
{
	struct cookie_flow *f =
		nr < cs->flows_by_upstream->len
			? g_ptr_array_index(cs->flows_by_upstream, nr)
			: NULL;

	while (f) {
		struct cookie_flow *next = f->upstream_next;

		/* the caller of an opening flow retransmits its SYN */
		if (f->phase != PHASE_OPENING) {
			add_cookie_reset(f, COOKIE_UPSTREAM_DEAD, now_ms,
					 resets);
			remove_cookie_flow(cs, f);
		}
		f = next;
	}
}

void forget_expired_upstreams(struct cookie_steering *cs)
{
	for (guint i = 0; i < cs->flows_by_upstream->len; i++) {
		struct cookie_flow *f;

		if (get_upstream(cs->catalog, (upstream_index_t)i))
			continue;
		while ((f = g_ptr_array_index(cs->flows_by_upstream, i)))
			remove_cookie_flow(cs, f);
	}
}

bool is_better_repeated(const struct cookie_steering *cs,
			const struct flow_key *key, upstream_index_t nr,
			uint64_t now_ms)
{
	const struct catalog_route *route;

	if (cs->isolated || !is_behind_cut_link(cs->placer, nr, now_ms) ||
	    reaches_no_upstream(cs->placer))
		return false;
	route = find_catalog_route(cs->catalog, key->service_ip,
				   key->service_port);
	return route && route->repeatable;
}

void end_flows_behind_cut_links(struct cookie_steering *cs, uint64_t now_ms,
				GArray *resets)
{
	if (!has_lost_link(cs->placer))
		return;
	for (guint i = 0; i < cs->flows_by_upstream->len; i++) {
		upstream_index_t nr = (upstream_index_t)i;
		struct cookie_flow *f =
			g_ptr_array_index(cs->flows_by_upstream, i);

		if (!f || !is_behind_cut_link(cs->placer, nr, now_ms))
			continue;
		while (f) {
			struct cookie_flow *next = f->upstream_next;

			if (f->request_pending &&
			    is_better_repeated(cs, &f->key, nr, now_ms)) {
				add_cookie_reset(f, COOKIE_LINK_LOST, now_ms,
						 resets);
				remove_cookie_flow(cs, f);
			}
			f = next;
		}
	}
}

/* The route of F, which came from another instance, is known here now. */
static void set_late_route(struct cookie_steering *cs, struct cookie_flow *f,
			   const struct catalog_route *route)
{
	f->route_known = true;
	f->deadline_ms = route->deadline_ms;
	if (f->upstream != CATALOG_NONE)
		remove_flow_load(cs->placer, f->upstream, &f->load);
	f->load.route = get_placer_route(cs->placer, route->ip, route->port);
	if (f->upstream != CATALOG_NONE)
		add_flow_load(cs->placer, f->upstream, &f->load);
}

void note_routes_current(struct cookie_steering *cs, uint64_t at_ms)
{
	cs->routes_current_ms = MAX(cs->routes_current_ms, at_ms);
}

bool may_end_unknown_routes(const struct cookie_steering *cs)
{
	return cs->unknown_route_ms &&
	       cs->routes_current_ms > cs->unknown_route_ms;
}

void end_flows_without_route(struct cookie_steering *cs, uint64_t now_ms,
			     GArray *resets)
{
	GHashTableIter it;
	gpointer value;

	cs->unknown_route_ms = 0;
	g_hash_table_iter_init(&it, cs->flows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cookie_flow *f = value;
		const struct catalog_route *route = find_catalog_route(
			cs->catalog, f->key.service_ip, f->key.service_port);

		if (route) {
			if (!f->route_known)
				set_late_route(cs, f, route);
			continue;
		}
		/* it was in force before the flow came here */
		if (!f->route_known && cs->routes_current_ms <= f->added_ms) {
			cs->unknown_route_ms =
				cs->unknown_route_ms
					? MIN(cs->unknown_route_ms, f->added_ms)
					: MAX(f->added_ms, 1);
			continue;
		}
		add_cookie_reset(f, COOKIE_ROUTE_GONE, now_ms, resets);
		detach_cookie_flow(cs, f);
		g_hash_table_iter_remove(&it);
	}
}

/* True if F has seen no packet for the longest time that its phase allows. */
static bool has_timed_out(const struct cookie_steering *cs,
			  const struct cookie_flow *f, uint64_t now_ms)
{
	uint64_t idle_ms = now_ms - f->last_packet_ms;

	switch (f->phase) {
	case PHASE_OPENING:
		return idle_ms > COOKIE_OPENING_TIMEOUT_MS;
	case PHASE_OPEN:
		return idle_ms > catalog_idle_ms(cs->catalog);
	case PHASE_CLOSING:
		return idle_ms > COOKIE_CLOSING_TIMEOUT_MS;
	}
	return true;
}

uint64_t handshake_limit_ms(const struct cookie_steering *cs)
{
	double limit_ms = COOKIE_HANDSHAKE_LIMIT_FACTOR * cs->mean_handshake_ms;

	return (uint64_t)MAX(limit_ms, COOKIE_HANDSHAKE_LIMIT_MIN_MS);
}

/* Notes silence of the upstreams whose handshakes are overdue. */
static void note_slow_handshakes(struct cookie_steering *cs, uint64_t now_ms)
{
	uint64_t limit_ms = handshake_limit_ms(cs);
	uint64_t since_tick_ms = now_ms - cs->last_tick_ms;
	guint checked = 0;

	cs->last_tick_ms = now_ms;
	/* this process was delayed: packets may still be unread */
	if (since_tick_ms > COOKIE_LATE_TICK_MS) {
		g_array_set_size(cs->pending_handshakes, 0);
		return;
	}

	for (; checked < cs->pending_handshakes->len; checked++) {
		const struct pending_handshake *pending =
			&g_array_index(cs->pending_handshakes,
				       struct pending_handshake, checked);
		struct cookie_flow *f;

		if (now_ms - pending->syn_ms < limit_ms)
			break;
		f = find_cookie_flow(cs, &pending->key);
		if (!f || f->phase != PHASE_OPENING ||
		    f->syn_ms != pending->syn_ms)
			continue;
		note_upstream_silent(cs->placer, f->upstream, f->syn_ms,
				     now_ms);
	}
	if (checked)
		g_array_remove_range(cs->pending_handshakes, 0, checked);
}

void tick_cookie_steering(struct cookie_steering *cs, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	note_slow_handshakes(cs, now_ms);
	update_flow_loads(cs, now_ms);

	if (now_ms - cs->last_sweep_ms < SWEEP_INTERVAL_MS)
		return;
	cs->last_sweep_ms = now_ms;
	set_split_flow_lifetime(cs->split_flows,
				catalog_flow_ttl_ms(cs->catalog));
	expire_split_flows(cs->split_flows, now_ms);
	g_hash_table_iter_init(&it, cs->flows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cookie_flow *f = value;

		if (now_ms - f->last_packet_ms > RESPONSE_PAUSE_MS)
			note_response_end(cs, f, now_ms);
		if (!has_timed_out(cs, f, now_ms))
			continue;
		detach_cookie_flow(cs, f);
		g_hash_table_iter_remove(&it);
	}
}

size_t cookie_flow_count(const struct cookie_steering *cs)
{
	return g_hash_table_size(cs->flows);
}

const struct histogram *handshake_times(const struct cookie_steering *cs)
{
	return &cs->handshake_histogram;
}

struct split_flows *cookie_split_flows(struct cookie_steering *cs)
{
	return cs->split_flows;
}

size_t cookie_waiting_syn_count(const struct cookie_steering *cs)
{
	return waiting_syn_count(cs->syn_queue);
}
