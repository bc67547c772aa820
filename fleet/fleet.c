#include "fleet/internal.h"

#include <string.h>
#include <xxhash.h>

#define PAUSE_MS 1500	     /* a tick later than this: the process slept */
#define SETTLE_ALONE_MS 3000 /* nobody answered: go on alone */
#define SETTLE_MAX_MS 10000  /* somebody did, but never caught up with it */
#define HINT_MAX 64	     /* endpoints to look for members at */
#define HEADER_FIELD_NR 3

void release_fleet_actions(struct fleet_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->at[i].data);
	g_free(as->at);
	memset(as, 0, sizeof(*as));
}

struct fleet_action *add_action(struct fleet *f, enum fleet_action_kind kind)
{
	struct fleet_actions *as = f->out;
	struct fleet_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? as->alloc * 2 : 8;
		as->at = g_renew(struct fleet_action, as->at, as->alloc);
	}
	a = &as->at[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

void begin_message(struct wire_writer *w, const struct fleet *f,
		   enum fleet_message_type type, size_t field_nr)
{
	struct endpoint own = member_endpoint(&f->self);

	init_wire_writer(w);
	put_array(w, HEADER_FIELD_NR + field_nr);
	put_uint(w, type);
	put_uint(w, f->self.id);
	put_endpoint(w, &own);
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

static void add_hint(struct fleet *f, const struct endpoint *at)
{
	for (guint i = 0; i < f->hints->len; i++)
		if (same_endpoint(&g_array_index(f->hints, struct endpoint, i),
				  at))
			return;
	if (f->hints->len < HINT_MAX)
		g_array_append_val(f->hints, *at);
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
	f->self.start = g_rand_int(f->rand);
	f->domain_heartbeats = create_domain_heartbeats(self->domain);
	f->hints = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	f->errands = g_array_new(FALSE, FALSE, sizeof(struct errand));
	f->avoided = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	f->judges = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	f->config = create_config_sync();
	init_spread(f);
	put_member(view, &f->self);
	for (size_t i = 0; i < seed_nr; i++)
		add_hint(f, &seeds[i]);
	return f;
}

void destroy_fleet(struct fleet *f)
{
	if (!f)
		return;
	release_spread(f);
	destroy_config_sync(f->config);
	destroy_domain_heartbeats(f->domain_heartbeats);
	g_array_free(f->hints, TRUE);
	g_array_free(f->errands, TRUE);
	g_hash_table_destroy(f->avoided);
	g_hash_table_destroy(f->judges);
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
 * Starts to listen, at first or after a pause: whatever was measured before
 * says nothing about the others, and what others decided meanwhile must be
 * read before roles are taken up again.
 */
static void wake(struct fleet *f)
{
	set_view_settled(f->view, false);
	f->woken = f->now;
	f->fresh = ++f->sequence;
	reset_domain_silence(f->domain_heartbeats, f->now);
	restart_probes(f);
	for (int s = 0; s < FLEET_SET_NR; s++)
		f->compare[s].next = f->now;
}

static void notice_time(struct fleet *f)
{
	if (!f->started) {
		f->started = true;
		f->ticked = f->now;
		wake(f);
		announce_self(f, MEMBER_ALIVE);
	} else if (f->now - f->ticked > PAUSE_MS) {
		f->ticked = f->now;
		count(f->counters, COUNT_FLEET_PAUSED);
		wake(f);
	}
}

/* True if there is no trace of any other member. */
static bool is_alone(const struct fleet *f)
{
	struct endpoint own = member_endpoint(&f->self);

	if (record_nr(f->sets[SET_MEMBERS]) > 1)
		return false;
	for (guint i = 0; i < f->hints->len; i++)
		if (!same_endpoint(&g_array_index(f->hints, struct endpoint, i),
				   &own))
			return false;
	return true;
}

/* Goes on without having caught up with a peer if there is none. */
static void settle_alone(struct fleet *f)
{
	uint64_t awake = f->now - f->woken;
	bool heard = f->heard >= f->woken;

	if (is_view_settled(f->view))
		return;
	if (awake >= SETTLE_MAX_MS || (!heard && awake >= SETTLE_ALONE_MS) ||
	    is_alone(f))
		set_view_settled(f->view, true);
}

static void tick(struct fleet *f)
{
	f->ticked = f->now;
	tick_members(f);
	if (f->links_stale)
		choose_links(f);
	tick_probes(f);
	tick_spread(f);
	tick_config(f);
	tick_upstreams(f);
	settle_alone(f);
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

static void take_message(struct fleet *f, const void *data, size_t len)
{
	struct wire_message msg;
	struct wire_reader r;
	struct sender from;
	unsigned int type;

	open_wire(&msg, &r, data, len);
	type = (unsigned int)take_uint(&r, FLEET_MESSAGE_NR - 1);
	from.id = take_uint(&r, UINT64_MAX);
	take_endpoint(&r, &from.at);
	if (!r.bad && from.at.family && from.id != f->self.id) {
		f->heard = f->now;
		dispatch(f, &from, type, &r);
	}
	if (r.bad)
		count(f->counters, COUNT_PEER_MALFORMED);
	release_wire(&msg);
}

static void take_store_domain(struct fleet *f, const struct domain_record *d)
{
	struct wire_writer w;

	init_wire_writer(&w);
	put_array(&w, 1);
	encode_domain_record(&w, d);
	publish_record(f, SET_DOMAINS, service_id(d->name), d->epoch, &w);
	release_wire_writer(&w);
}

/* The platform's list lags: it says where to look, not who lives. */
static void take_listed(struct fleet *f, const struct member *m)
{
	struct endpoint at = member_endpoint(m);

	if (m->id == f->self.id || find_member(f->view, m->id))
		return;
	add_hint(f, &at);
}

static void say_gone(struct fleet *f)
{
	f->gone = true;
	announce_self(f, MEMBER_DEAD);
}

void step_fleet(struct fleet *f, const struct fleet_event *ev, uint64_t now_ms,
		struct fleet_actions *out)
{
	f->now = now_ms;
	f->out = out;
	notice_time(f);
	switch (ev->kind) {
	case FLEET_TICK:
		tick(f);
		break;
	case FLEET_MESSAGE:
		take_message(f, ev->message.data, ev->message.len);
		break;
	case FLEET_SNAPSHOT:
		offer_snapshot(f, ev->snapshot, NULL, 0);
		break;
	case FLEET_DOMAIN:
		take_store_domain(f, ev->domain);
		break;
	case FLEET_UPSTREAM:
		judge_upstream(f, ev->upstream.id, ev->upstream.state);
		break;
	case FLEET_LISTED:
		take_listed(f, ev->member);
		break;
	case FLEET_LEAVE:
		announce_self(f, MEMBER_LEAVING);
		break;
	case FLEET_GONE:
		say_gone(f);
		break;
	}
	if (f->links_stale)
		choose_links(f);
	push_changes(f);
	f->out = NULL;
}
