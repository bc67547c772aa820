#include "t/request-simulation.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "t/request-simulation-state.h"

uint64_t request_sim_ms(const struct request_sim *sim)
{
	return sim->now_us / MS + 1;
}

struct request_sim_event *
add_request_sim_event(struct request_sim *sim, uint64_t at,
		      enum request_sim_event_kind kind, unsigned int a)
{
	struct request_sim_event *event = g_new0(struct request_sim_event, 1);

	event->kind = kind;
	event->target = a;
	push_event(sim->queue, at, event);
	return event;
}

static void free_event(struct request_sim_event *event)
{
	g_free(event->data);
	g_free(event);
}

unsigned int request_sim_domain_of(const struct request_sim *sim,
				   unsigned int i)
{
	return i % sim->options.domains;
}

bool request_sim_chance(struct request_sim *sim, unsigned int percent)
{
	return percent && g_rand_int_range(sim->rng, 0, 100) < (int)percent;
}

uint64_t request_sim_network_delay(struct request_sim *sim)
{
	return NETWORK_DELAY_US / 2 +
	       (uint64_t)g_rand_int_range(sim->rng, 0, NETWORK_DELAY_US);
}

struct sim_operation *get_or_create_sim_operation(struct request_sim *sim,
						  uint32_t id)
{
	if (id >= sim->operations->len)
		g_array_set_size(sim->operations, id + 1);
	return &g_array_index(sim->operations, struct sim_operation, id);
}

static struct endpoint instance_endpoint(unsigned int i)
{
	struct endpoint ep = { .family = 4, .ip = { 127, 0, 0, (uint8_t)i } };

	ep.port = 7401;
	return ep;
}

static void add_upstreams(struct request_sim *sim, unsigned int service,
			  unsigned int nr)
{
	struct service *sv = create_service(service ? "intake" : "desk");

	sv->kind = SERVICE_REQUESTS;
	sv->deadline_ms = sim->options.deadline_ms;
	for (unsigned int i = 0; i < nr; i++) {
		struct upstream up = { .slots = sim->options.slots,
				       .cold_slots = 1 };

		g_snprintf(up.name, sizeof(up.name), "up-%u", i);
		g_snprintf(up.domain, sizeof(up.domain), "domain-%u",
			   i % sim->options.domains);
		up.address.family = 4;
		up.address.ip[0] = 10;
		up.address.ip[3] = (uint8_t)(sim->upstream_nr + i);
		add_upstream(sv, &up);
	}
	seal_service(sv);
	for (size_t i = 0; i < sv->upstream_nr; i++) {
		struct sim_upstream *u = &sim->upstreams[sim->upstream_nr + i];

		u->up = &sv->upstreams[i];
		u->domain = (unsigned int)(u->up->domain[7] - '0');
		u->slot_limit = sim->options.slots;
		u->running_attempts = g_hash_table_new(NULL, NULL);
	}
	sim->upstream_nr += nr;
	sim->services[service] = sv;
}

struct sim_upstream *find_sim_upstream(struct request_sim *sim, uint64_t id,
				       unsigned int *index)
{
	for (unsigned int i = 0; i < sim->upstream_nr; i++)
		if (sim->upstreams[i].up->id == id) {
			*index = i;
			return &sim->upstreams[i];
		}
	return NULL;
}

void start_sim_instance(struct request_sim *sim, unsigned int i)
{
	struct sim_instance *in = &sim->instances[i];
	struct request_options ro = { .seed = sim->options.seed + i,
				      .policy = sim->options.policy };

	in->alive = true;
	in->leaving = false;
	in->incarnation++;
	ro.incarnation = in->incarnation * 1000 + i;
	in->view = create_view(sim->members[i].id);
	in->requests_by_handle = g_hash_table_new(NULL, NULL);
	set_view_member(in->view, &sim->members[i]);
	for (unsigned int u = 0; u < sim->upstream_nr; u++)
		set_upstream_state(in->view, sim->upstreams[u].up->id,
				   sim->upstreams[u].announced_cold
					   ? UPSTREAM_COLD
					   : UPSTREAM_WARM);
	in->requests = create_requests(in->view, &in->counters, &ro,
				       request_sim_ms(sim));
	set_request_snapshot(in->requests, sim->snapshot, request_sim_ms(sim));
}

void stop_sim_instance(struct request_sim *sim, unsigned int i)
{
	struct sim_instance *in = &sim->instances[i];
	GHashTableIter it;
	gpointer s;

	if (!in->alive)
		return;
	g_hash_table_iter_init(&it, in->requests_by_handle);
	while (g_hash_table_iter_next(&it, NULL, &s)) {
		((struct sim_request *)s)->caller_left = true;
		cancel_sim_attempt(sim, s);
	}
	g_hash_table_destroy(in->requests_by_handle);
	destroy_requests(in->requests);
	destroy_view(in->view);
	in->alive = false;
}

void schedule_view_update(struct request_sim *sim, unsigned int i,
			  unsigned int m, enum member_state state)
{
	uint64_t delay = sim->options.instant_views
				 ? 0
				 : (uint64_t)g_rand_int_range(
					   sim->rng, VIEW_DELAY_MIN_US,
					   VIEW_DELAY_MAX_US);
	struct request_sim_event *event;

	if (i == m)
		return;
	event = add_request_sim_event(sim, sim->now_us + delay,
				      SIM_EVENT_VIEW_UPDATE, i);
	event->len = ++sim->view_updates;
	event->subject = m;
	event->state = state;
}

void schedule_view_updates(struct request_sim *sim, unsigned int m,
			   enum member_state state)
{
	for (unsigned int i = 0; i < sim->options.instances; i++)
		schedule_view_update(sim, i, m, state);
}

void schedule_upstream_state(struct request_sim *sim, unsigned int u,
			     enum upstream_state state)
{
	for (unsigned int i = 0; i < sim->options.instances; i++) {
		struct request_sim_event *event = add_request_sim_event(
			sim,
			sim->now_us +
				(sim->options.instant_views ? 0 : 200 * MS),
			SIM_EVENT_UPSTREAM_STATE, i);

		event->subject = u;
		event->state = state;
	}
}

struct request_sim *create_request_sim(const struct request_sim_options *o)
{
	struct request_sim *sim = g_new0(struct request_sim, 1);

	sim->options = *o;
	sim->partitioned_domain = -1;
	sim->rng = g_rand_new_with_seed(o->seed);
	sim->queue = create_event_queue();
	sim->requests = g_ptr_array_new_with_free_func(g_free);
	sim->attempts = g_ptr_array_new_with_free_func(g_free);
	sim->operations =
		g_array_new(FALSE, TRUE, sizeof(struct sim_operation));
	sim->waits_ms = g_array_new(FALSE, FALSE, sizeof(double));
	add_upstreams(sim, 0, o->first_service_upstreams);
	add_upstreams(sim, 1, o->second_service_upstreams);
	sim->snapshot = create_snapshot(1, "world", sim->services, 2);
	for (unsigned int i = 0; i < o->instances; i++) {
		struct member *m = &sim->members[i];

		g_snprintf(m->name, sizeof(m->name), "in-%u", i);
		g_snprintf(m->domain, sizeof(m->domain), "domain-%u",
			   request_sim_domain_of(sim, i));
		m->id = service_id(m->name);
		m->address = instance_endpoint(i);
		m->peer_port = m->address.port;
	}
	for (unsigned int i = 0; i < o->instances; i++) {
		start_sim_instance(sim, i);
		for (unsigned int m = 0; m < o->instances; m++)
			set_view_member(sim->instances[i].view,
					&sim->members[m]);
		add_request_sim_event(sim, (uint64_t)i * MS, SIM_EVENT_TICK, i);
	}
	add_request_sim_event(sim, LOAD_REPORT_INTERVAL_US,
			      SIM_EVENT_LOAD_REPORTS, 0);
	return sim;
}

void add_instance_counters(struct request_sim *sim,
			   const struct sim_instance *in)
{
	for (int c = 0; c < COUNTER_NR; c++)
		sim->counter_totals.value[c] += in->counters.value[c];
}

void destroy_request_sim(struct request_sim *sim)
{
	struct request_sim_event *event;

	while ((event = pop_event(sim->queue)))
		free_event(event);
	destroy_event_queue(sim->queue);
	for (unsigned int i = 0; i < sim->options.instances; i++)
		stop_sim_instance(sim, i);
	for (unsigned int u = 0; u < sim->upstream_nr; u++)
		g_hash_table_destroy(sim->upstreams[u].running_attempts);
	unref_snapshot(sim->snapshot);
	unref_service(sim->services[0]);
	unref_service(sim->services[1]);
	g_ptr_array_free(sim->requests, TRUE);
	g_ptr_array_free(sim->attempts, TRUE);
	g_array_free(sim->operations, TRUE);
	g_array_free(sim->waits_ms, TRUE);
	g_rand_free(sim->rng);
	g_free(sim);
}

void add_request_sim_send(struct request_sim *sim, uint64_t at,
			  const struct request_sim_send *s)
{
	struct sim_request *sent = g_new0(struct sim_request, 1);

	sent->send = *s;
	sent->sent_at_us = at;
	g_ptr_array_add(sim->requests, sent);
	add_request_sim_event(sim, at, SIM_EVENT_SEND, s->instance)->request =
		sent;
	if (s->leaves_after_ms)
		add_request_sim_event(sim, at + s->leaves_after_ms * MS,
				      SIM_EVENT_CALLER_LEAVES, s->instance)
			->request = sent;
}

void add_request_sim_fault(struct request_sim *sim, uint64_t at,
			   enum request_sim_fault f, unsigned int a,
			   unsigned int b)
{
	struct request_sim_event *event =
		add_request_sim_event(sim, at, SIM_EVENT_FAULT, a);

	event->fault = f;
	event->subject = b;
}

static void handle_event(struct request_sim *sim,
			 struct request_sim_event *event)
{
	switch (event->kind) {
	case SIM_EVENT_SEND:
		handle_send_event(sim, event->request);
		break;
	case SIM_EVENT_CALLER_LEAVES:
		handle_caller_leaves_event(sim, event->request);
		break;
	case SIM_EVENT_FAULT:
		handle_fault_event(sim, event);
		break;
	case SIM_EVENT_PEER_MESSAGE:
		handle_peer_message_event(sim, event);
		break;
	case SIM_EVENT_ATTEMPT:
		handle_attempt_event(sim, event->attempt);
		break;
	case SIM_EVENT_RUN_END:
		handle_run_end_event(sim, event->attempt);
		break;
	case SIM_EVENT_ATTEMPT_END:
		handle_attempt_end_event(sim, event->attempt);
		break;
	case SIM_EVENT_CANCEL:
		handle_cancel_event(sim, event->attempt);
		break;
	case SIM_EVENT_TICK:
		handle_tick_event(sim, event->target);
		break;
	case SIM_EVENT_VIEW_UPDATE:
		handle_view_update_event(sim, event);
		break;
	case SIM_EVENT_UPSTREAM_STATE:
		handle_upstream_state_event(sim, event);
		break;
	case SIM_EVENT_LOAD_REPORTS:
		handle_load_reports_event(sim);
		break;
	case SIM_EVENT_COLD_LIMIT:
		sim->upstreams[event->target].slot_limit = 1;
		sim->upstreams[event->target].cold_known_to_all = true;
		break;
	}
}

void run_request_sim(struct request_sim *sim, uint64_t until)
{
	struct request_sim_event *event;

	while (next_event_time(sim->queue) <= until) {
		sim->now_us = next_event_time(sim->queue);
		event = pop_event(sim->queue);
		handle_event(sim, event);
		free_event(event);
	}
	sim->now_us = until;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The value at the fraction P (0 to 1) of SORTED, or 0 if it is empty. */
static double percentile(const GArray *sorted, double p)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, double,
			     (guint)(p * (double)(sorted->len - 1)));
}

static void count_wrong_outcomes(struct request_sim *sim)
{
	for (guint i = 0; i < sim->requests->len; i++) {
		const struct sim_request *s =
			g_ptr_array_index(sim->requests, i);

		if (s->got_not_run && s->runs)
			sim->report.false_not_run++;
		if (s->arrived && !s->caller_left && !s->outcomes)
			sim->report.missing_outcomes++;
	}
}

static void summarize_upstreams(struct request_sim *sim)
{
	double runs = 0;
	unsigned int most = 0;

	for (unsigned int u = 0; u < sim->upstream_nr; u++) {
		const struct sim_upstream *s = &sim->upstreams[u];

		runs += s->runs;
		most = MAX(most, s->runs);
		sim->report.peak_in_flight =
			MAX(sim->report.peak_in_flight, s->peak_load);
		sim->report.cold_limit_excess = MAX(
			sim->report.cold_limit_excess, s->peak_over_cold_limit);
	}
	sim->report.imbalance = runs > 0 ? most * sim->upstream_nr / runs : 0;
}

void report_request_sim(struct request_sim *sim, struct request_sim_report *r)
{
	for (unsigned int i = 0; i < sim->options.instances; i++)
		add_instance_counters(sim, &sim->instances[i]);
	count_wrong_outcomes(sim);
	summarize_upstreams(sim);
	g_array_sort(sim->waits_ms, compare_doubles);
	sim->report.wait_p50_ms = percentile(sim->waits_ms, 0.5);
	sim->report.wait_p99_ms = percentile(sim->waits_ms, 0.99);
	sim->report.retries =
		(uint32_t)sim->counter_totals.value[COUNT_REQUEST_RETRIED];
	sim->report.key_bytes =
		sim->counter_totals.value[COUNT_REQUEST_KEY_SENT_BYTES];
	*r = sim->report;
}
