#include "t/request-world.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "t/request-world-state.h"

uint64_t world_ms(const struct request_world *w)
{
	return w->now / MS + 1;
}

struct item *add_world_item(struct request_world *w, uint64_t at,
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

unsigned int world_domain_of(const struct request_world *w, unsigned int i)
{
	return i % w->o.domains;
}

bool world_chance(struct request_world *w, unsigned int percent)
{
	return percent && g_rand_int_range(w->rng, 0, 100) < (int)percent;
}

uint64_t world_net_delay(struct request_world *w)
{
	return NET_US / 2 + (uint64_t)g_rand_int_range(w->rng, 0, NET_US);
}

struct operation *world_operation(struct request_world *w, uint32_t id)
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

struct stand_in *world_stand_in(struct request_world *w, uint64_t id,
				unsigned int *index)
{
	for (unsigned int i = 0; i < w->upstream_nr; i++)
		if (w->ups[i].up->id == id) {
			*index = i;
			return &w->ups[i];
		}
	return NULL;
}

void start_world_instance(struct request_world *w, unsigned int i)
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
	in->requests =
		create_requests(in->view, &in->counters, &ro, world_ms(w));
	set_request_snapshot(in->requests, w->snapshot, world_ms(w));
}

void stop_world_instance(struct request_world *w, unsigned int i)
{
	struct instance *in = &w->in[i];
	GHashTableIter it;
	gpointer s;

	if (!in->alive)
		return;
	g_hash_table_iter_init(&it, in->sent);
	while (g_hash_table_iter_next(&it, NULL, &s)) {
		((struct sent *)s)->left = true;
		cancel_world_call(w, s);
	}
	g_hash_table_destroy(in->sent);
	destroy_requests(in->requests);
	destroy_view(in->view);
	in->alive = false;
}

void tell_world_view(struct request_world *w, unsigned int i, unsigned int m,
		     enum member_state state)
{
	uint64_t delay = w->o.instant_views
				 ? 0
				 : (uint64_t)g_rand_int_range(
					   w->rng, VIEW_MIN_US, VIEW_MAX_US);
	struct item *it;

	if (i == m)
		return;
	it = add_world_item(w, w->now + delay, ITEM_VIEW, i);
	it->len = ++w->news;
	it->b = m;
	it->c = state;
}

void tell_world_views(struct request_world *w, unsigned int m,
		      enum member_state state)
{
	for (unsigned int i = 0; i < w->o.instances; i++)
		tell_world_view(w, i, m, state);
}

void tell_world_state(struct request_world *w, unsigned int u,
		      enum upstream_state state)
{
	for (unsigned int i = 0; i < w->o.instances; i++) {
		struct item *it = add_world_item(
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
			   world_domain_of(w, i));
		m->id = service_id(m->name);
		m->address = instance_endpoint(i);
		m->peer_port = m->address.port;
	}
	for (unsigned int i = 0; i < o->instances; i++) {
		start_world_instance(w, i);
		for (unsigned int m = 0; m < o->instances; m++)
			put_member(w->in[i].view, &w->members[m]);
		add_world_item(w, (uint64_t)i * MS, ITEM_TICK, i);
	}
	add_world_item(w, LOAD_US, ITEM_LOAD, 0);
	return w;
}

void count_world_dead(struct request_world *w, const struct instance *in)
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
		stop_world_instance(w, i);
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
	add_world_item(w, at, ITEM_SEND, s->instance)->sent = sent;
	if (s->leaves_after_ms)
		add_world_item(w, at + s->leaves_after_ms * MS, ITEM_LEAVES,
			       s->instance)
			->sent = sent;
}

void add_world_fault(struct request_world *w, uint64_t at, enum world_fault f,
		     unsigned int a, unsigned int b)
{
	struct item *it = add_world_item(w, at, ITEM_FAULT, a);

	it->fault = f;
	it->b = b;
}

static void take_item(struct request_world *w, struct item *it)
{
	switch (it->kind) {
	case ITEM_SEND:
		take_world_send(w, it->sent);
		break;
	case ITEM_LEAVES:
		take_world_leaves(w, it->sent);
		break;
	case ITEM_FAULT:
		take_world_fault(w, it);
		break;
	case ITEM_PEER:
		take_world_peer(w, it);
		break;
	case ITEM_OFFER:
		take_world_offer(w, it->call);
		break;
	case ITEM_RUN_END:
		take_world_run_end(w, it->call);
		break;
	case ITEM_ANSWER:
		take_world_answer(w, it->call);
		break;
	case ITEM_CANCEL:
		take_world_cancel(w, it->call);
		break;
	case ITEM_TICK:
		take_world_tick(w, it->a);
		break;
	case ITEM_VIEW:
		take_world_view(w, it);
		break;
	case ITEM_STATE:
		take_world_state(w, it);
		break;
	case ITEM_LOAD:
		take_world_load(w);
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
		count_world_dead(w, &w->in[i]);
	check_sends(w);
	check_upstreams(w);
	g_array_sort(w->waits, compare_doubles);
	w->r.wait_p50_ms = percentile(w->waits, 0.5);
	w->r.wait_p99_ms = percentile(w->waits, 0.99);
	w->r.retries = (uint32_t)w->dead_counters.value[COUNT_REQUEST_RETRIED];
	w->r.key_bytes = w->dead_counters.value[COUNT_REQUEST_KEY_SENT_BYTES];
	*r = w->r;
}
