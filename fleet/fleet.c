#include "fleet/internal.h"

#include <string.h>
#include <xxhash.h>

#define PAUSE_DETECTION_MS 1500 /* a later tick means the process was paused */
#define SETTLE_WITHOUT_PEER_MS 3000 /* settles if no peer sent anything */
#define SETTLE_MAX_MS 10000	    /* settles even if peers have newer state */
#define KNOWN_ENDPOINTS_MAX 64	    /* endpoints where members may be */
#define HEADER_FIELD_NR 3

void release_fleet_actions(struct fleet_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->items[i].data);
	g_free(as->items);
	memset(as, 0, sizeof(*as));
}

struct fleet_action *add_action(struct fleet *f, enum fleet_action_kind kind)
{
	struct fleet_actions *as = f->out;
	struct fleet_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? as->alloc * 2 : 8;
		as->items = g_renew(struct fleet_action, as->items, as->alloc);
	}
	a = &as->items[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

void begin_message(struct wire_writer *w, const struct fleet *f,
		   enum fleet_message_type type, size_t field_nr)
{
	struct endpoint own = member_endpoint(&f->self);

	init_wire_writer(w);
	write_array(w, HEADER_FIELD_NR + field_nr);
	write_uint(w, type);
	write_uint(w, f->self.id);
	write_endpoint(w, &own);
}

void end_message(struct fleet *f, struct wire_writer *w,
		 const struct endpoint *to)
{
	struct fleet_action *a = add_action(f, FLEET_SEND);

	a->to = *to;
	a->len = w->buf.size;
	a->data = g_memdup2(w->buf.data, w->buf.size);
	release_wire_writer(w);
}

static void add_known_endpoint(struct fleet *f, const struct endpoint *at)
{
	for (guint i = 0; i < f->known_endpoints->len; i++)
		if (same_endpoint(&g_array_index(f->known_endpoints,
						 struct endpoint, i),
				  at))
			return;
	if (f->known_endpoints->len < KNOWN_ENDPOINTS_MAX)
		g_array_append_val(f->known_endpoints, *at);
}

struct fleet *create_fleet(const struct member *self, struct view *view,
			   const struct endpoint *seeds, size_t seed_nr,
			   uint32_t seed, struct counters *counters)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->view = view;
	f->counters = counters;
	f->rand = g_rand_new_with_seed(seed);
	f->self = *self;
	f->self.state = MEMBER_ALIVE;
	f->self.incarnation = 1;
	f->self.start_number = g_rand_int(f->rand);
	f->heartbeats = create_domain_heartbeats(self->domain);
	f->known_endpoints = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	f->relayed_pings =
		g_array_new(FALSE, FALSE, sizeof(struct relayed_ping));
	f->avoided_until = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	f->publisher_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	f->config = create_config_sync();
	init_gossip(f);
	set_view_member(view, &f->self);
	for (size_t i = 0; i < seed_nr; i++)
		add_known_endpoint(f, &seeds[i]);
	return f;
}

void destroy_fleet(struct fleet *f)
{
	if (!f)
		return;
	release_gossip(f);
	destroy_config_sync(f->config);
	destroy_domain_heartbeats(f->heartbeats);
	g_array_free(f->known_endpoints, TRUE);
	g_array_free(f->relayed_pings, TRUE);
	g_hash_table_destroy(f->avoided_until);
	g_hash_table_destroy(f->publisher_checks);
	g_rand_free(f->rand);
	g_free(f);
}

const struct snapshot *fleet_snapshot(const struct fleet *f)
{
	return current_snapshot(f->config);
}

const struct domain_set *fleet_domains(const struct fleet *f)
{
	return &f->domains;
}

/*
 * Called at start and after a pause. Earlier measurements are void, and changes
 * that other instances made meanwhile must be received before this instance
 * takes its roles again.
 */
static void start_resync(struct fleet *f)
{
	set_view_settled(f->view, false);
	f->awake_since_ms = f->now_ms;
	f->first_awake_sequence = ++f->last_sequence;
	reset_domain_silence(f->heartbeats, f->now_ms);
	restart_pings(f);
	for (int s = 0; s < FLEET_SET_NR; s++)
		f->compare[s].next_at_ms = f->now_ms;
}

static void detect_pause(struct fleet *f)
{
	if (!f->started) {
		f->started = true;
		f->last_tick_ms = f->now_ms;
		start_resync(f);
		announce_self(f, MEMBER_ALIVE);
	} else if (f->now_ms - f->last_tick_ms > PAUSE_DETECTION_MS) {
		f->last_tick_ms = f->now_ms;
		count(f->counters, COUNT_FLEET_PAUSED);
		start_resync(f);
	}
}

/* True if no other member is known, from records or as an endpoint. */
static bool is_alone(const struct fleet *f)
{
	struct endpoint own = member_endpoint(&f->self);

	if (record_count(f->sets[SET_MEMBERS]) > 1)
		return false;
	for (guint i = 0; i < f->known_endpoints->len; i++)
		if (!same_endpoint(&g_array_index(f->known_endpoints,
						  struct endpoint, i),
				   &own))
			return false;
	return true;
}

/* Settles the view without a peer's state if no peer provides it in time. */
static void settle_by_timeout(struct fleet *f)
{
	uint64_t awake_ms = f->now_ms - f->awake_since_ms;
	bool has_received = f->last_message_ms >= f->awake_since_ms;

	if (is_view_settled(f->view))
		return;
	if (awake_ms >= SETTLE_MAX_MS ||
	    (!has_received && awake_ms >= SETTLE_WITHOUT_PEER_MS) ||
	    is_alone(f))
		set_view_settled(f->view, true);
}

static void tick(struct fleet *f)
{
	f->last_tick_ms = f->now_ms;
	tick_members(f);
	if (f->links_stale)
		choose_links(f);
	tick_pings(f);
	tick_gossip(f);
	tick_config(f);
	tick_upstreams(f);
	settle_by_timeout(f);
}

static void dispatch(struct fleet *f, const struct sender *from,
		     unsigned int type, struct wire_reader *r)
{
	static void (*const handlers[FLEET_MESSAGE_NR])(
		struct fleet *, const struct sender *, struct wire_reader *) = {
		[FLEET_PING] = on_ping,
		[FLEET_ACK] = on_ack,
		[FLEET_INDIRECT] = on_indirect,
		[FLEET_RECORDS] = on_records,
		[FLEET_COMPARE] = on_compare,
		[FLEET_LIST] = on_list,
		[FLEET_WANT] = on_want,
		[FLEET_DELTAS] = on_deltas,
		[FLEET_CONFIG_WANT] = on_config_want,
		[FLEET_CONFIG_PART] = on_config_part,
	};

	handlers[type](f, from, r);
}

static void handle_message(struct fleet *f, const void *data, size_t len)
{
	struct wire_message msg;
	struct wire_reader r;
	struct sender from;
	unsigned int type;

	open_wire_message(&msg, &r, data, len);
	type = (unsigned int)read_uint(&r, FLEET_MESSAGE_NR - 1);
	from.id = read_uint(&r, UINT64_MAX);
	read_endpoint(&r, &from.endpoint);
	if (!r.malformed && from.endpoint.family && from.id != f->self.id) {
		f->last_message_ms = f->now_ms;
		dispatch(f, &from, type, &r);
	}
	if (r.malformed)
		count(f->counters, COUNT_PEER_MALFORMED);
	release_wire_message(&msg);
}

static void handle_store_domain(struct fleet *f, const struct domain_record *d)
{
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, 1);
	encode_domain_record(&w, d);
	publish_record(f, SET_DOMAINS, service_id(d->name), d->epoch, &w);
	release_wire_writer(&w);
}

/* The platform's list lags: it is used for endpoints, not for liveness. */
static void handle_listed_instance(struct fleet *f, const struct member *m)
{
	struct endpoint at = member_endpoint(m);

	if (m->id == f->self.id || find_member(f->view, m->id))
		return;
	add_known_endpoint(f, &at);
}

static void announce_gone(struct fleet *f)
{
	f->gone_announced = true;
	announce_self(f, MEMBER_DEAD);
}

void step_fleet(struct fleet *f, const struct fleet_event *ev, uint64_t now_ms,
		struct fleet_actions *out)
{
	f->now_ms = now_ms;
	f->out = out;
	detect_pause(f);
	switch (ev->kind) {
	case FLEET_TICK:
		tick(f);
		break;
	case FLEET_MESSAGE:
		handle_message(f, ev->message.data, ev->message.len);
		break;
	case FLEET_SNAPSHOT:
		apply_newer_snapshot(f, ev->snapshot, NULL, 0);
		break;
	case FLEET_DOMAIN:
		handle_store_domain(f, ev->domain);
		break;
	case FLEET_UPSTREAM:
		publish_upstream_state(f, ev->upstream.id, ev->upstream.state);
		break;
	case FLEET_LISTED:
		handle_listed_instance(f, ev->member);
		break;
	case FLEET_LEAVE:
		announce_self(f, MEMBER_LEAVING);
		break;
	case FLEET_GONE:
		announce_gone(f);
		break;
	}
	if (f->links_stale)
		choose_links(f);
	push_changes(f);
	f->out = NULL;
}
