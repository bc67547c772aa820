#include "t/request-world.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "t/event-queue.h"

#define NET_US 1000	   /* one way between instances and upstreams */
#define TICK_US (10 * MS)  /* of the instances */
#define LOAD_US (200 * MS) /* between two load reports */
#define VIEW_MIN_US (300 * MS)
#define VIEW_MAX_US (2000 * MS) /* until the last view shows a change */

enum item_kind {
	ITEM_SEND,   /* a caller's request reaches its instance */
	ITEM_LEAVES, /* the caller of a send leaves */
	ITEM_FAULT,
	ITEM_PEER,    /* a message reaches an instance */
	ITEM_OFFER,   /* a call reaches its upstream */
	ITEM_RUN_END, /* a run ends */
	ITEM_ANSWER,  /* what became of a call reaches its instance */
	ITEM_CANCEL,  /* a cancellation reaches the upstream */
	ITEM_TICK,
	ITEM_VIEW,  /* an instance learns of a member's state */
	ITEM_STATE, /* an instance learns of an upstream's state */
	ITEM_LOAD,  /* load reports reach all instances */
	ITEM_COLD   /* an upstream that all know to be cold bears less */
};

/* One send, and what its caller was told. */
struct sent {
	struct world_send s;
	uint64_t at;
	uint64_t age_ms;
	unsigned int incarnation; /* of the instance, when it arrived */
	handle_t handle;
	struct call *call; /* the present offer */
	uint64_t ran_at;
	unsigned int runs;
	unsigned int outcomes;
	bool told_not_run;
	bool left;
	bool arrived;
};

/* One offer. */
struct call {
	struct sent *sent;
	unsigned int upstream;
	bool running;
	bool cancelled;
	enum request_event_kind result;
};

struct item {
	enum item_kind kind;
	unsigned int a; /* instance or upstream */
	unsigned int b;
	unsigned int c;
	struct sent *sent;
	struct call *call;
	void *data;
	size_t len;
	enum world_fault fault;
};

struct instance {
	bool alive;
	bool leaving;
	unsigned int incarnation;
	struct view *view;
	struct counters counters;
	struct requests *requests;
	GHashTable *sent;		  /* handle -> struct sent */
	size_t seen[WORLD_INSTANCES_MAX]; /* latest news of each member */
};

struct stand_in {
	struct upstream *up; /* in the service */
	unsigned int domain;
	unsigned int limit;
	bool cold;	/* views are told so */
	bool cold_told; /* every view has had time to show it cold */
	unsigned int running;
	unsigned int runs;
	unsigned int most;
	unsigned int excess;
	bool lies;
	uint64_t sheds_until;
	GHashTable *calls; /* struct call that run */
};

struct operation {
	unsigned int runs;
	uint64_t first_sent;
	bool sent;
};

struct request_world {
	struct request_world_options o;
	GRand *rng;
	struct event_queue *queue;
	uint64_t now;
	size_t news; /* of members, numbered */
	struct service *services[2];
	struct snapshot *snapshot;
	struct instance in[WORLD_INSTANCES_MAX];
	struct member members[WORLD_INSTANCES_MAX];
	struct stand_in ups[WORLD_UPSTREAMS_MAX];
	unsigned int upstream_nr;
	int cut_off; /* domain, -1: none */
	GPtrArray *sends;
	GPtrArray *calls; /* every struct call ever made */
	GArray *operations;
	GArray *waits; /* double ms */
	struct counters dead_counters;
	struct request_world_report r;
};

static uint64_t ms(const struct request_world *w)
{
	return w->now / MS + 1;
}

static struct item *add_item(struct request_world *w, uint64_t at,
			     enum item_kind kind, unsigned int a)
{
	struct item *it = g_new0(struct item, 1);

	it->kind = kind;
	it->a = a;
	push_event(w->queue, at, it);
	return it;
}

static void free_item(struct item *it)
{
	g_free(it->data);
	g_free(it);
}

static unsigned int domain_of(const struct request_world *w, unsigned int i)
{
	return i % w->o.domains;
}

static bool chance(struct request_world *w, unsigned int percent)
{
	return percent && g_rand_int_range(w->rng, 0, 100) < (int)percent;
}

static uint64_t net_delay(struct request_world *w)
{
	return NET_US / 2 + (uint64_t)g_rand_int_range(w->rng, 0, NET_US);
}

static struct operation *operation_of(struct request_world *w, uint32_t id)
{
	if (id >= w->operations->len)
		g_array_set_size(w->operations, id + 1);
	return &g_array_index(w->operations, struct operation, id);
}

static struct endpoint instance_endpoint(unsigned int i)
{
	struct endpoint ep = { .family = 4, .ip = { 127, 0, 0, (uint8_t)i } };

	ep.port = 7401;
	return ep;
}

static void add_upstreams(struct request_world *w, unsigned int service,
			  unsigned int nr)
{
	struct service *sv = create_service(service ? "intake" : "desk");

	sv->kind = SERVICE_REQUESTS;
	sv->deadline_ms = w->o.deadline_ms;
	for (unsigned int i = 0; i < nr; i++) {
		struct upstream up = { .slots = w->o.slots, .cold_slots = 1 };

		g_snprintf(up.name, sizeof(up.name), "up-%u", i);
		g_snprintf(up.domain, sizeof(up.domain), "domain-%u",
			   i % w->o.domains);
		up.address.family = 4;
		up.address.ip[0] = 10;
		up.address.ip[3] = (uint8_t)(w->upstream_nr + i);
		add_upstream(sv, &up);
	}
	seal_service(sv);
	for (size_t i = 0; i < sv->upstream_nr; i++) {
		struct stand_in *u = &w->ups[w->upstream_nr + i];

		u->up = &sv->upstreams[i];
		u->domain = (unsigned int)(u->up->domain[7] - '0');
		u->limit = w->o.slots;
		u->calls = g_hash_table_new(NULL, NULL);
	}
	w->upstream_nr += nr;
	w->services[service] = sv;
}

static struct stand_in *stand_in_of(struct request_world *w, uint64_t id,
				    unsigned int *index)
{
	for (unsigned int i = 0; i < w->upstream_nr; i++)
		if (w->ups[i].up->id == id) {
			*index = i;
			return &w->ups[i];
		}
	return NULL;
}

static void start_instance(struct request_world *w, unsigned int i)
{
	struct instance *in = &w->in[i];
	struct request_options ro = { .seed = w->o.seed + i,
				      .policy = w->o.policy };

	in->alive = true;
	in->leaving = false;
	in->incarnation++;
	ro.incarnation = in->incarnation * 1000 + i;
	in->view = create_view(w->members[i].id);
	in->sent = g_hash_table_new(NULL, NULL);
	put_member(in->view, &w->members[i]);
	for (unsigned int u = 0; u < w->upstream_nr; u++)
		set_upstream_state(in->view, w->ups[u].up->id,
				   w->ups[u].cold ? UPSTREAM_COLD
						  : UPSTREAM_WARM);
	in->requests = create_requests(in->view, &in->counters, &ro, ms(w));
	set_request_snapshot(in->requests, w->snapshot, ms(w));
}

static void cancel_call(struct request_world *w, struct sent *s)
{
	struct item *it;

	if (!s->call)
		return;
	it = add_item(w, w->now + net_delay(w), ITEM_CANCEL, 0);
	it->call = s->call;
	s->call = NULL;
}

static void stop_instance(struct request_world *w, unsigned int i)
{
	struct instance *in = &w->in[i];
	GHashTableIter it;
	gpointer s;

	if (!in->alive)
		return;
	g_hash_table_iter_init(&it, in->sent);
	while (g_hash_table_iter_next(&it, NULL, &s)) {
		((struct sent *)s)->left = true;
		cancel_call(w, s);
	}
	g_hash_table_destroy(in->sent);
	destroy_requests(in->requests);
	destroy_view(in->view);
	in->alive = false;
}

/* Instance I learns soon that member M is in STATE. */
static void tell_view(struct request_world *w, unsigned int i, unsigned int m,
		      enum member_state state)
{
	uint64_t delay = w->o.instant_views
				 ? 0
				 : (uint64_t)g_rand_int_range(
					   w->rng, VIEW_MIN_US, VIEW_MAX_US);
	struct item *it;

	if (i == m)
		return;
	it = add_item(w, w->now + delay, ITEM_VIEW, i);
	it->len = ++w->news;
	it->b = m;
	it->c = state;
}

static void tell_views(struct request_world *w, unsigned int m,
		       enum member_state state)
{
	for (unsigned int i = 0; i < w->o.instances; i++)
		tell_view(w, i, m, state);
}

static void tell_state(struct request_world *w, unsigned int u,
		       enum upstream_state state)
{
	for (unsigned int i = 0; i < w->o.instances; i++) {
		struct item *it = add_item(
			w, w->now + (w->o.instant_views ? 0 : 200 * MS),
			ITEM_STATE, i);

		it->b = u;
		it->c = state;
	}
}

struct request_world *
create_request_world(const struct request_world_options *o)
{
	struct request_world *w = g_new0(struct request_world, 1);

	w->o = *o;
	w->cut_off = -1;
	w->rng = g_rand_new_with_seed(o->seed);
	w->queue = create_event_queue();
	w->sends = g_ptr_array_new_with_free_func(g_free);
	w->calls = g_ptr_array_new_with_free_func(g_free);
	w->operations = g_array_new(FALSE, TRUE, sizeof(struct operation));
	w->waits = g_array_new(FALSE, FALSE, sizeof(double));
	add_upstreams(w, 0, o->upstreams);
	add_upstreams(w, 1, o->upstreams_2);
	w->snapshot = create_snapshot(1, "world", w->services, 2);
	for (unsigned int i = 0; i < o->instances; i++) {
		struct member *m = &w->members[i];

		g_snprintf(m->name, sizeof(m->name), "in-%u", i);
		g_snprintf(m->domain, sizeof(m->domain), "domain-%u",
			   domain_of(w, i));
		m->id = service_id(m->name);
		m->address = instance_endpoint(i);
		m->peer_port = m->address.port;
	}
	for (unsigned int i = 0; i < o->instances; i++) {
		start_instance(w, i);
		for (unsigned int m = 0; m < o->instances; m++)
			put_member(w->in[i].view, &w->members[m]);
		add_item(w, (uint64_t)i * MS, ITEM_TICK, i);
	}
	add_item(w, LOAD_US, ITEM_LOAD, 0);
	return w;
}

static void count_dead(struct request_world *w, const struct instance *in)
{
	for (int c = 0; c < COUNTER_NR; c++)
		w->dead_counters.value[c] += in->counters.value[c];
}

void destroy_request_world(struct request_world *w)
{
	struct item *it;

	while ((it = pop_event(w->queue)))
		free_item(it);
	destroy_event_queue(w->queue);
	for (unsigned int i = 0; i < w->o.instances; i++)
		stop_instance(w, i);
	for (unsigned int u = 0; u < w->upstream_nr; u++)
		g_hash_table_destroy(w->ups[u].calls);
	unref_snapshot(w->snapshot);
	unref_service(w->services[0]);
	unref_service(w->services[1]);
	g_ptr_array_free(w->sends, TRUE);
	g_ptr_array_free(w->calls, TRUE);
	g_array_free(w->operations, TRUE);
	g_array_free(w->waits, TRUE);
	g_rand_free(w->rng);
	g_free(w);
}

void add_world_send(struct request_world *w, uint64_t at,
		    const struct world_send *s)
{
	struct sent *sent = g_new0(struct sent, 1);

	sent->s = *s;
	sent->at = at;
	g_ptr_array_add(w->sends, sent);
	add_item(w, at, ITEM_SEND, s->instance)->sent = sent;
	if (s->leaves_after_ms)
		add_item(w, at + s->leaves_after_ms * MS, ITEM_LEAVES,
			 s->instance)
			->sent = sent;
}

void add_world_fault(struct request_world *w, uint64_t at, enum world_fault f,
		     unsigned int a, unsigned int b)
{
	struct item *it = add_item(w, at, ITEM_FAULT, a);

	it->fault = f;
	it->b = b;
}

static void start_call(struct request_world *w, struct sent *s,
		       const struct request_action *a)
{
	struct call *c = g_new0(struct call, 1);
	unsigned int u = 0;

	cancel_call(w, s);
	stand_in_of(w, a->upstream, &u);
	g_ptr_array_add(w->calls, c);
	c->sent = s;
	c->upstream = u;
	s->call = c;
	add_item(w, w->now + net_delay(w), ITEM_OFFER, u)->call = c;
}

static void tell_outcome(struct request_world *w, struct sent *s,
			 enum outcome o)
{
	if (s->outcomes++)
		w->r.two_outcomes++;
	switch (o) {
	case OUTCOME_NOT_RUN:
		w->r.not_run++;
		s->told_not_run = true;
		break;
	case OUTCOME_UNKNOWN:
		w->r.unknown++;
		break;
	case OUTCOME_IN_PROGRESS:
		w->r.in_progress++;
		break;
	case OUTCOME_DONE:
		w->r.done++;
		break;
	case OUTCOME_KEY_REUSED:
		w->r.key_reused++;
		break;
	default:
		break;
	}
}

static void tell_answer(struct request_world *w, struct sent *s,
			uint32_t operation)
{
	double wait = (double)(s->ran_at - s->at) / MS;

	if (s->outcomes++)
		w->r.two_outcomes++;
	if (operation != s->s.operation)
		w->r.wrong_answer++;
	if (w->now > s->at + (uint64_t)w->o.deadline_ms * MS) {
		w->r.late++;
		return;
	}
	w->r.answered++;
	if (s->ran_at)
		g_array_append_val(w->waits, wait);
}

static void send_message(struct request_world *w, unsigned int from,
			 const struct request_action *a)
{
	int copies = chance(w, w->o.loss_percent) ? 0 : 1;

	copies += chance(w, w->o.loss_percent);
	while (copies--) {
		uint64_t delay = net_delay(w);
		struct item *it;

		if (chance(w, w->o.late_percent))
			delay += (uint64_t)g_rand_int_range(w->rng, 0,
							    3000 * MS);
		it = add_item(w, w->now + delay, ITEM_PEER, a->address.ip[3]);
		it->b = from;
		it->data = g_memdup2(a->data, a->len);
		it->len = a->len;
	}
}

/* Carries out A for instance I; SENT is the send that just arrives. */
static void carry_out(struct request_world *w, unsigned int i,
		      const struct request_action *a)
{
	struct instance *in = &w->in[i];
	struct sent *s =
		g_hash_table_lookup(in->sent, GUINT_TO_POINTER(a->request));

	if (a->kind == REQUEST_SEND_PEER) {
		send_message(w, i, a);
		return;
	}
	if (!s)
		return;
	if (a->ends) {
		g_hash_table_remove(in->sent, GUINT_TO_POINTER(a->request));
		s->handle = 0;
	}
	switch (a->kind) {
	case REQUEST_OFFER:
		start_call(w, s, a);
		break;
	case REQUEST_RELAY:
		tell_answer(w, s, s->s.operation);
		break;
	case REQUEST_REPLAY:
		w->r.replayed++;
		tell_answer(w, s, *(const uint32_t *)a->data);
		break;
	case REQUEST_REFUSE:
		cancel_call(w, s);
		if (!s->left)
			tell_outcome(w, s, a->outcome);
		break;
	case REQUEST_CANCEL:
		cancel_call(w, s);
		break;
	default:
		break;
	}
}

static handle_t step(struct request_world *w, unsigned int i,
		     const struct request_event *ev, struct sent *arriving)
{
	struct instance *in = &w->in[i];
	struct request_actions as = { 0 };
	handle_t h = step_requests(in->requests, ev, ms(w), &as);

	if (arriving && h) {
		arriving->handle = h;
		g_hash_table_insert(in->sent, GUINT_TO_POINTER(h), arriving);
	}
	for (size_t n = 0; n < as.nr; n++)
		carry_out(w, i, &as.at[n]);
	release_request_actions(&as);
	return h;
}

static void take_send(struct request_world *w, struct sent *s)
{
	struct instance *in = &w->in[s->s.instance];
	struct operation *op = operation_of(w, s->s.operation);
	struct request_event ev = { .kind = REQUEST_ARRIVED };
	char key[32];

	s->age_ms = op->sent ? (w->now - op->first_sent) / MS + 1 : 0;
	if (!op->sent)
		op->first_sent = w->now;
	op->sent = true;
	if (!in->alive || in->leaving) {
		s->left = true;
		return;
	}
	w->r.sends++;
	s->arrived = true;
	s->incarnation = in->incarnation;
	g_snprintf(key, sizeof(key), "key-%u", s->s.operation);
	ev.service = w->services[s->s.service]->id;
	ev.idempotent = s->s.idempotent;
	ev.has_key = s->s.has_key;
	ev.key = hash_request_key(ev.service, key);
	ev.age_ms = s->s.tells_age ? s->age_ms : KEY_AGE_UNKNOWN;
	ev.digest = s->s.other_body ? 2 : 1;
	ev.deadline_ms = w->o.deadline_ms;
	if (!step(w, s->s.instance, &ev, s) || !s->handle)
		return;
	ev.kind = REQUEST_BODY_READ;
	ev.request = s->handle;
	ev.body_digest = ev.digest;
	step(w, s->s.instance, &ev, NULL);
}

static bool is_current(const struct request_world *w, const struct sent *s)
{
	const struct instance *in = &w->in[s->s.instance];

	return s->arrived && s->handle && in->alive &&
	       s->incarnation == in->incarnation;
}

static void take_leaves(struct request_world *w, struct sent *s)
{
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT,
				    .request = s->handle };

	if (s->left || !is_current(w, s))
		return;
	s->left = true;
	step(w, s->s.instance, &ev, NULL);
}

static void answer(struct request_world *w, struct call *c,
		   enum request_event_kind how)
{
	struct item *it;

	c->result = how;
	if (how == REQUEST_ANSWERED && chance(w, w->o.lost_answers)) {
		if (chance(w, 50))
			return; /* silence until the deadline */
		c->result = REQUEST_LOST;
	}
	it = add_item(w, w->now + net_delay(w), ITEM_ANSWER, 0);
	it->call = c;
}

static void start_run(struct request_world *w, struct stand_in *u,
		      struct call *c)
{
	struct sent *s = c->sent;
	struct operation *op = operation_of(w, s->s.operation);
	double us = w->o.service_us * (0.5 + g_rand_double(w->rng));

	c->running = true;
	s->runs++;
	if (!s->ran_at)
		s->ran_at = w->now;
	u->running++;
	u->runs++;
	if (!s->s.idempotent && op->runs++)
		w->r.doubled++;
	g_hash_table_add(u->calls, c);
	add_item(w, w->now + (uint64_t)us, ITEM_RUN_END, c->upstream)->call = c;
}

static void take_offer(struct request_world *w, struct call *c)
{
	struct stand_in *u = &w->ups[c->upstream];
	unsigned int load = u->running + 1;

	if (c->cancelled)
		return;
	u->most = MAX(u->most, load);
	if (u->cold_told && load > u->limit)
		u->excess = MAX(u->excess, load - u->limit);
	if (u->running >= u->limit || w->now < u->sheds_until) {
		w->r.sheds++;
		answer(w, c, REQUEST_SHED);
	} else {
		start_run(w, u, c);
	}
}

static void end_run(struct request_world *w, struct call *c)
{
	struct stand_in *u = &w->ups[c->upstream];

	if (!c->running)
		return;
	c->running = false;
	u->running--;
	g_hash_table_remove(u->calls, c);
}

static void take_run_end(struct request_world *w, struct call *c)
{
	if (!c->running)
		return;
	end_run(w, c);
	answer(w, c, REQUEST_ANSWERED);
}

static void take_cancel(struct request_world *w, struct call *c)
{
	c->cancelled = true;
	end_run(w, c);
}

static void take_answer(struct request_world *w, struct call *c)
{
	struct sent *s = c->sent;
	struct request_event ev = { .kind = c->result, .repeatable = true };

	if (!is_current(w, s) || s->call != c)
		return;
	ev.request = s->handle;
	ev.data = &s->s.operation;
	ev.len = sizeof(s->s.operation);
	s->call = NULL;
	step(w, s->s.instance, &ev, NULL);
}

static bool is_cut(const struct request_world *w, unsigned int a,
		   unsigned int b)
{
	int x = (int)domain_of(w, a);
	int y = (int)domain_of(w, b);

	return x != y && (x == w->cut_off || y == w->cut_off);
}

static void take_peer(struct request_world *w, const struct item *it)
{
	struct request_event ev = { .kind = REQUEST_PEER,
				    .data = it->data,
				    .len = it->len };

	if (w->in[it->a].alive && !is_cut(w, it->a, it->b))
		step(w, it->a, &ev, NULL);
}

static void take_tick(struct request_world *w, unsigned int i)
{
	struct instance *in = &w->in[i];
	struct request_event ev = { .kind = REQUEST_TICK };

	add_item(w, w->now + TICK_US, ITEM_TICK, i);
	if (!in->alive)
		return;
	step(w, i, &ev, NULL);
	if (in->leaving && !open_request_nr(in->requests))
		stop_instance(w, i);
}

static void take_view(struct request_world *w, const struct item *it)
{
	struct instance *in = &w->in[it->a];
	struct member m = w->members[it->b];

	if (!in->alive || it->len < in->seen[it->b])
		return; /* later news of this member was there first */
	in->seen[it->b] = it->len;
	m.state = (enum member_state)it->c;
	if (m.state == MEMBER_STATE_NR)
		remove_member(in->view, m.id);
	else
		put_member(in->view, &m);
}

static void take_state(struct request_world *w, const struct item *it)
{
	if (w->in[it->a].alive)
		set_upstream_state(w->in[it->a].view, w->ups[it->b].up->id,
				   (enum upstream_state)it->c);
}

static void take_load(struct request_world *w)
{
	for (unsigned int u = 0; u < w->upstream_nr; u++) {
		const struct stand_in *s = &w->ups[u];
		struct request_event ev = { .kind = REQUEST_LOAD,
					    .upstream = s->up->id,
					    .running = s->lies ? 0 : s->running,
					    .slots = s->lies ? w->o.slots
							     : s->limit };

		for (unsigned int i = 0; i < w->o.instances; i++)
			if (w->in[i].alive)
				step(w, i, &ev, NULL);
	}
	add_item(w, w->now + LOAD_US, ITEM_LOAD, 0);
}

static void cut(struct request_world *w, int domain)
{
	w->cut_off = domain;
	for (unsigned int i = 0; i < w->o.instances; i++)
		for (unsigned int m = 0; m < w->o.instances; m++)
			if (is_cut(w, i, m))
				tell_view(w, i, m, MEMBER_DEAD);
}

static void heal(struct request_world *w)
{
	w->cut_off = -1;
	for (unsigned int m = 0; m < w->o.instances; m++)
		if (w->in[m].alive)
			tell_views(w, m, MEMBER_ALIVE);
}

static void restart(struct request_world *w, unsigned int i)
{
	count_dead(w, &w->in[i]);
	memset(&w->in[i].counters, 0, sizeof(w->in[i].counters));
	start_instance(w, i);
	tell_views(w, i, MEMBER_ALIVE);
	for (unsigned int m = 0; m < w->o.instances; m++)
		if (w->in[m].alive)
			tell_view(w, i, m, MEMBER_ALIVE);
}

static void break_calls(struct request_world *w, unsigned int u)
{
	GList *calls = g_hash_table_get_keys(w->ups[u].calls);

	for (GList *l = calls; l; l = l->next) {
		struct call *c = l->data;

		end_run(w, c);
		answer(w, c, REQUEST_LOST);
	}
	g_list_free(calls);
}

static void set_domain(struct request_world *w, unsigned int domain, bool out)
{
	char name[CONFIG_NAME_MAX];

	g_snprintf(name, sizeof(name), "domain-%u", domain);
	for (unsigned int i = 0; i < w->o.instances; i++)
		if (w->in[i].alive)
			set_domain_out(w->in[i].view, name, out);
}

static void take_instance_fault(struct request_world *w, const struct item *it)
{
	struct instance *in = &w->in[it->a % w->o.instances];
	unsigned int i = it->a % w->o.instances;
	struct request_event ev = { .kind = REQUEST_LEAVE };

	if (it->fault == FAULT_KILL && in->alive) {
		stop_instance(w, i);
		tell_views(w, i, MEMBER_DEAD);
	} else if (it->fault == FAULT_LEAVE && in->alive && !in->leaving) {
		in->leaving = true;
		step(w, i, &ev, NULL);
		tell_views(w, i, MEMBER_LEAVING);
	} else if (it->fault == FAULT_RESTART && !in->alive) {
		restart(w, i);
	}
}

static void take_upstream_fault(struct request_world *w, const struct item *it)
{
	unsigned int u = it->a % w->upstream_nr;
	struct stand_in *s = &w->ups[u];

	switch (it->fault) {
	case FAULT_COLD:
		s->cold = true;
		tell_state(w, u, UPSTREAM_COLD);
		add_item(w, w->now + (uint64_t)w->o.deadline_ms * MS + 300 * MS,
			 ITEM_COLD, u);
		break;
	case FAULT_SILENT_COLD:
		s->limit = 1;
		break;
	case FAULT_WARM:
		s->limit = w->o.slots;
		s->cold = false;
		s->cold_told = false;
		tell_state(w, u, UPSTREAM_WARM);
		break;
	case FAULT_LYING_LOAD:
		s->lies = true;
		break;
	case FAULT_SHED_ALL:
		for (unsigned int i = 0; i < w->upstream_nr; i++) {
			w->ups[i].sheds_until = w->now + 2 * it->b * MS;
			break_calls(w, i);
		}
		break;
	case FAULT_BREAK:
		break_calls(w, u);
		break;
	default:
		break;
	}
}

static void take_fault(struct request_world *w, const struct item *it)
{
	switch (it->fault) {
	case FAULT_KILL:
	case FAULT_RESTART:
	case FAULT_LEAVE:
		take_instance_fault(w, it);
		break;
	case FAULT_PARTITION:
		cut(w, (int)(it->a % w->o.domains));
		break;
	case FAULT_HEAL:
		heal(w);
		break;
	case FAULT_DOMAIN_OUT:
	case FAULT_DOMAIN_BACK:
		set_domain(w, it->a, it->fault == FAULT_DOMAIN_OUT);
		break;
	default:
		take_upstream_fault(w, it);
		break;
	}
}

static void take_item(struct request_world *w, struct item *it)
{
	switch (it->kind) {
	case ITEM_SEND:
		take_send(w, it->sent);
		break;
	case ITEM_LEAVES:
		take_leaves(w, it->sent);
		break;
	case ITEM_FAULT:
		take_fault(w, it);
		break;
	case ITEM_PEER:
		take_peer(w, it);
		break;
	case ITEM_OFFER:
		take_offer(w, it->call);
		break;
	case ITEM_RUN_END:
		take_run_end(w, it->call);
		break;
	case ITEM_ANSWER:
		take_answer(w, it->call);
		break;
	case ITEM_CANCEL:
		take_cancel(w, it->call);
		break;
	case ITEM_TICK:
		take_tick(w, it->a);
		break;
	case ITEM_VIEW:
		take_view(w, it);
		break;
	case ITEM_STATE:
		take_state(w, it);
		break;
	case ITEM_LOAD:
		take_load(w);
		break;
	case ITEM_COLD:
		w->ups[it->a].limit = 1;
		w->ups[it->a].cold_told = true;
		break;
	}
}

void run_request_world(struct request_world *w, uint64_t until)
{
	struct item *it;

	while (next_event_ms(w->queue) <= until) {
		w->now = next_event_ms(w->queue);
		it = pop_event(w->queue);
		take_item(w, it);
		free_item(it);
	}
	w->now = until;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double percentile(const GArray *sorted, double p)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, double,
			     (guint)(p * (double)(sorted->len - 1)));
}

static void check_sends(struct request_world *w)
{
	for (guint i = 0; i < w->sends->len; i++) {
		const struct sent *s = g_ptr_array_index(w->sends, i);

		if (s->told_not_run && s->runs)
			w->r.false_not_run++;
		if (s->arrived && !s->left && !s->outcomes)
			w->r.no_outcome++;
	}
}

static void check_upstreams(struct request_world *w)
{
	double runs = 0;
	unsigned int most = 0;

	for (unsigned int u = 0; u < w->upstream_nr; u++) {
		const struct stand_in *s = &w->ups[u];

		runs += s->runs;
		most = MAX(most, s->runs);
		w->r.most_in_flight = MAX(w->r.most_in_flight, s->most);
		w->r.cold_excess = MAX(w->r.cold_excess, s->excess);
	}
	w->r.imbalance = runs > 0 ? most * w->upstream_nr / runs : 0;
}

void report_request_world(struct request_world *w,
			  struct request_world_report *r)
{
	for (unsigned int i = 0; i < w->o.instances; i++)
		count_dead(w, &w->in[i]);
	check_sends(w);
	check_upstreams(w);
	g_array_sort(w->waits, compare_doubles);
	w->r.wait_p50_ms = percentile(w->waits, 0.5);
	w->r.wait_p99_ms = percentile(w->waits, 0.99);
	w->r.retries = (uint32_t)w->dead_counters.value[COUNT_REQUEST_RETRIED];
	w->r.key_bytes = w->dead_counters.value[COUNT_REQUEST_KEY_SENT_BYTES];
	*r = w->r;
}
