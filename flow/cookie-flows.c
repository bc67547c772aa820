/* The flows that steering by cookie follows: opened, observed, ended. */

#include <string.h>
#include <xxhash.h>

#include "flow/cookie-state.h"

#define SWEEP_MS 500 /* between two looks at all flows */

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

void link_cookie_flow(struct cookie_steering *cs, struct flow *f,
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

void unlink_cookie_flow(struct cookie_steering *cs, struct flow *f)
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

struct flow *find_cookie_flow(const struct cookie_steering *cs,
			      const struct flow_key *key)
{
	return g_hash_table_lookup(cs->flows, key);
}

struct flow *first_flow_of_caller(const struct cookie_steering *cs, uint32_t ip)
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
	f->caller_next = first_flow_of_caller(cs, f->key.caller_ip);
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

struct flow *add_cookie_flow(struct cookie_steering *cs,
			     const struct cookie_packet *p,
			     const struct catalog_route *route, uint64_t now_ms)
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

void remove_cookie_flow(struct cookie_steering *cs, struct flow *f)
{
	unlink_cookie_flow(cs, f);
	unlink_caller(cs, f);
	g_hash_table_remove(cs->flows, &f->key);
}

void end_cookie_request(struct cookie_steering *cs, struct flow *f)
{
	if (!f->waiting)
		return;
	f->waiting = false;
	note_request_end(cs->placing, f->upstream);
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
			remove_cookie_flow(cs, f);
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
		unlink_cookie_flow(cs, f);
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

/* How long a handshake may take before it tells something. */
static uint64_t handshake_limit(const struct cookie_steering *cs)
{
	double limit = COOKIE_HANDSHAKE_FACTOR * cs->handshake_ms;

	return (uint64_t)MAX(limit, COOKIE_HANDSHAKE_MIN_MS);
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
		f = find_cookie_flow(cs, &o->key);
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
			end_cookie_request(cs, f);
		if (!has_ended(cs, f, now_ms))
			continue;
		unlink_cookie_flow(cs, f);
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
