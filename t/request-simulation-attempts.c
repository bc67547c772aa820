/* Request simulation: sends, attempts, runs and answers. */

#include "t/request-simulation-state.h"

#include <glib.h>
#include <string.h>

void cancel_sim_attempt(struct request_sim *sim, struct sim_request *rq)
{
	struct request_sim_event *event;

	if (!rq->attempt)
		return;
	event = add_request_sim_event(
		sim, sim->now_us + request_sim_network_delay(sim),
		SIM_EVENT_CANCEL, 0);
	event->attempt = rq->attempt;
	rq->attempt = NULL;
}

static void start_sim_attempt(struct request_sim *sim, struct sim_request *rq,
			      const struct request_action *a)
{
	struct sim_attempt *at = g_new0(struct sim_attempt, 1);
	unsigned int u = 0;

	cancel_sim_attempt(sim, rq);
	find_sim_upstream(sim, a->upstream, &u);
	g_ptr_array_add(sim->attempts, at);
	at->request = rq;
	at->upstream = u;
	rq->attempt = at;
	add_request_sim_event(sim, sim->now_us + request_sim_network_delay(sim),
			      SIM_EVENT_ATTEMPT, u)
		->attempt = at;
}

static void record_outcome(struct request_sim *sim, struct sim_request *rq,
			   enum outcome o)
{
	if (rq->outcomes++)
		sim->report.duplicate_outcomes++;
	switch (o) {
	case OUTCOME_NOT_RUN:
		sim->report.not_run++;
		rq->got_not_run = true;
		break;
	case OUTCOME_UNKNOWN:
		sim->report.unknown++;
		break;
	case OUTCOME_IN_PROGRESS:
		sim->report.in_progress++;
		break;
	case OUTCOME_DONE:
		sim->report.done++;
		break;
	case OUTCOME_KEY_REUSED:
		sim->report.key_reused++;
		break;
	default:
		break;
	}
}

static void record_answer(struct request_sim *sim, struct sim_request *rq,
			  uint32_t operation)
{
	double wait = (double)(rq->first_run_at_us - rq->sent_at_us) / MS;

	if (rq->outcomes++)
		sim->report.duplicate_outcomes++;
	if (operation != rq->send.operation)
		sim->report.wrong_answers++;
	if (sim->now_us >
	    rq->sent_at_us + (uint64_t)sim->options.deadline_ms * MS) {
		sim->report.answered_late++;
		return;
	}
	sim->report.answered++;
	if (rq->first_run_at_us)
		g_array_append_val(sim->waits_ms, wait);
}

static void send_message(struct request_sim *sim, unsigned int from,
			 const struct request_action *a)
{
	int copies = request_sim_chance(sim, sim->options.loss_percent) ? 0 : 1;

	copies += request_sim_chance(sim, sim->options.loss_percent);
	while (copies--) {
		uint64_t delay = request_sim_network_delay(sim);
		struct request_sim_event *event;

		if (request_sim_chance(sim, sim->options.delayed_percent))
			delay += (uint64_t)g_rand_int_range(sim->rng, 0,
							    3000 * MS);
		event = add_request_sim_event(sim, sim->now_us + delay,
					      SIM_EVENT_PEER_MESSAGE,
					      a->address.ip[3]);
		event->subject = from;
		event->data = g_memdup2(a->data, a->len);
		event->len = a->len;
	}
}

/* Carries out A for instance I. */
static void apply_action(struct request_sim *sim, unsigned int i,
			 const struct request_action *a)
{
	struct sim_instance *in = &sim->instances[i];
	struct sim_request *rq = g_hash_table_lookup(
		in->requests_by_handle, GUINT_TO_POINTER(a->request));

	if (a->kind == REQUEST_SEND_PEER) {
		send_message(sim, i, a);
		return;
	}
	if (!rq)
		return;
	if (a->is_final) {
		g_hash_table_remove(in->requests_by_handle,
				    GUINT_TO_POINTER(a->request));
		rq->handle = 0;
	}
	switch (a->kind) {
	case REQUEST_ATTEMPT:
		start_sim_attempt(sim, rq, a);
		break;
	case REQUEST_RELAY:
		record_answer(sim, rq, rq->send.operation);
		break;
	case REQUEST_REPLAY:
		sim->report.replayed++;
		record_answer(sim, rq, *(const uint32_t *)a->data);
		break;
	case REQUEST_REFUSE:
		cancel_sim_attempt(sim, rq);
		if (!rq->caller_left)
			record_outcome(sim, rq, a->outcome);
		break;
	case REQUEST_CANCEL:
		cancel_sim_attempt(sim, rq);
		break;
	default:
		break;
	}
}

handle_t step_sim_instance(struct request_sim *sim, unsigned int i,
			   const struct request_event *ev,
			   struct sim_request *arriving)
{
	struct sim_instance *in = &sim->instances[i];
	struct request_actions as = { 0 };
	handle_t h = step_requests(in->requests, ev, request_sim_ms(sim), &as);

	if (arriving && h) {
		arriving->handle = h;
		g_hash_table_insert(in->requests_by_handle, GUINT_TO_POINTER(h),
				    arriving);
	}
	for (size_t n = 0; n < as.nr; n++)
		apply_action(sim, i, &as.items[n]);
	release_request_actions(&as);
	return h;
}

void handle_send_event(struct request_sim *sim, struct sim_request *rq)
{
	struct sim_instance *in = &sim->instances[rq->send.instance];
	struct sim_operation *op =
		get_or_create_sim_operation(sim, rq->send.operation);
	struct request_event ev = { .kind = REQUEST_ARRIVED };
	char key[32];

	rq->age_ms =
		op->was_sent ? (sim->now_us - op->first_sent_us) / MS + 1 : 0;
	if (!op->was_sent)
		op->first_sent_us = sim->now_us;
	op->was_sent = true;
	if (!in->alive || in->leaving) {
		rq->caller_left = true;
		return;
	}
	sim->report.sends++;
	rq->arrived = true;
	rq->incarnation = in->incarnation;
	g_snprintf(key, sizeof(key), "key-%u", rq->send.operation);
	ev.service = sim->services[rq->send.service]->id;
	ev.idempotent = rq->send.idempotent;
	ev.has_key = rq->send.has_key;
	ev.key = hash_request_key(ev.service, key);
	ev.key_age_ms = rq->send.states_key_age ? rq->age_ms : KEY_AGE_UNKNOWN;
	ev.request_digest = rq->send.other_request ? 2 : 1;
	ev.deadline_ms = sim->options.deadline_ms;
	if (!step_sim_instance(sim, rq->send.instance, &ev, rq) || !rq->handle)
		return;
	ev.kind = REQUEST_BODY_READ;
	ev.request = rq->handle;
	ev.body_digest = ev.request_digest;
	step_sim_instance(sim, rq->send.instance, &ev, NULL);
}

/* True if the instance that got RQ is still running and has not ended RQ. */
static bool is_open_at_instance(const struct request_sim *sim,
				const struct sim_request *rq)
{
	const struct sim_instance *in = &sim->instances[rq->send.instance];

	return rq->arrived && rq->handle && in->alive &&
	       rq->incarnation == in->incarnation;
}

void handle_caller_leaves_event(struct request_sim *sim, struct sim_request *rq)
{
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT,
				    .request = rq->handle };

	if (rq->caller_left || !is_open_at_instance(sim, rq))
		return;
	rq->caller_left = true;
	step_sim_instance(sim, rq->send.instance, &ev, NULL);
}

void schedule_attempt_end(struct request_sim *sim, struct sim_attempt *at,
			  enum request_event_kind kind)
{
	struct request_sim_event *event;

	at->end_event = kind;
	if (kind == REQUEST_ANSWERED &&
	    request_sim_chance(sim, sim->options.lost_answer_percent)) {
		if (request_sim_chance(sim, 50))
			return; /* no end arrives before the deadline */
		at->end_event = REQUEST_LOST;
	}
	event = add_request_sim_event(
		sim, sim->now_us + request_sim_network_delay(sim),
		SIM_EVENT_ATTEMPT_END, 0);
	event->attempt = at;
}

static void start_run(struct request_sim *sim, struct sim_upstream *u,
		      struct sim_attempt *at)
{
	struct sim_request *rq = at->request;
	struct sim_operation *op =
		get_or_create_sim_operation(sim, rq->send.operation);
	double us = sim->options.mean_run_us * (0.5 + g_rand_double(sim->rng));

	at->running = true;
	rq->runs++;
	if (!rq->first_run_at_us)
		rq->first_run_at_us = sim->now_us;
	u->running++;
	u->runs++;
	if (!rq->send.idempotent && op->runs++)
		sim->report.duplicate_runs++;
	g_hash_table_add(u->running_attempts, at);
	add_request_sim_event(sim, sim->now_us + (uint64_t)us,
			      SIM_EVENT_RUN_END, at->upstream)
		->attempt = at;
}

void handle_attempt_event(struct request_sim *sim, struct sim_attempt *at)
{
	struct sim_upstream *u = &sim->upstreams[at->upstream];
	unsigned int load = u->running + 1;

	if (at->cancelled)
		return;
	u->peak_load = MAX(u->peak_load, load);
	if (u->cold_known_to_all && load > u->slot_limit)
		u->peak_over_cold_limit =
			MAX(u->peak_over_cold_limit, load - u->slot_limit);
	if (u->running >= u->slot_limit || sim->now_us < u->sheds_until_us) {
		sim->report.sheds++;
		schedule_attempt_end(sim, at, REQUEST_SHED);
	} else {
		start_run(sim, u, at);
	}
}

void end_upstream_run(struct request_sim *sim, struct sim_attempt *at)
{
	struct sim_upstream *u = &sim->upstreams[at->upstream];

	if (!at->running)
		return;
	at->running = false;
	u->running--;
	g_hash_table_remove(u->running_attempts, at);
}

void handle_run_end_event(struct request_sim *sim, struct sim_attempt *at)
{
	if (!at->running)
		return;
	end_upstream_run(sim, at);
	schedule_attempt_end(sim, at, REQUEST_ANSWERED);
}

void handle_cancel_event(struct request_sim *sim, struct sim_attempt *at)
{
	at->cancelled = true;
	end_upstream_run(sim, at);
}

void handle_attempt_end_event(struct request_sim *sim, struct sim_attempt *at)
{
	struct sim_request *rq = at->request;
	struct request_event ev = { .kind = at->end_event,
				    .body_repeatable = true };

	if (!is_open_at_instance(sim, rq) || rq->attempt != at)
		return;
	ev.request = rq->handle;
	ev.data = &rq->send.operation;
	ev.len = sizeof(rq->send.operation);
	rq->attempt = NULL;
	step_sim_instance(sim, rq->send.instance, &ev, NULL);
}
