#include "request/requests.h"

#include <glib.h>
#include <string.h>

#include "request/internal.h"

static void free_admission(gpointer item)
{
	struct service_admission *sa = item;

	destroy_queue(sa->queue);
	g_free(sa);
}

struct requests *create_requests(const struct view *view,
				 struct counters *counters,
				 const struct request_options *options,
				 uint64_t now_ms)
{
	struct requests *rs = g_new0(struct requests, 1);

	rs->view = view;
	rs->counters = counters;
	rs->by_handle = create_handles();
	rs->all = g_hash_table_new(NULL, NULL);
	rs->unqueued = g_hash_table_new(NULL, NULL);
	rs->admissions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_admission);
	rs->rng = g_rand_new_with_seed(options->seed);
	rs->slots = create_slots(view, rs->rng, options->policy);
	rs->claims = create_claims(view, options->incarnation,
				   options->only_member, now_ms);
	if (options->only_member)
		start_slots_as_only_member(rs->slots, now_ms);
	else
		update_slots(rs->slots, now_ms);
	return rs;
}

static void free_open_requests(struct requests *rs)
{
	GList *all = g_hash_table_get_keys(rs->all);

	for (GList *l = all; l; l = l->next)
		free_request(rs, l->data);
	g_list_free(all);
}

void destroy_requests(struct requests *rs)
{
	if (!rs)
		return;
	free_open_requests(rs);
	unref_snapshot(rs->snapshot);
	destroy_handles(rs->by_handle);
	g_hash_table_destroy(rs->unqueued);
	g_hash_table_destroy(rs->all);
	g_hash_table_destroy(rs->admissions);
	destroy_slots(rs->slots);
	destroy_claims(rs->claims);
	g_rand_free(rs->rng);
	g_free(rs);
}

void set_request_slot_limit(struct requests *rs, slot_limit_fn fn, void *data)
{
	set_slot_limit(rs->slots, fn, data);
}

void set_attempt_observer(struct requests *rs, attempt_end_fn fn, void *data)
{
	rs->attempt_observer = fn;
	rs->attempt_observer_data = data;
}

size_t open_request_count(const struct requests *rs)
{
	return handle_count(rs->by_handle);
}

void release_request_actions(struct request_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->items[i].data);
	g_free(as->items);
	memset(as, 0, sizeof(*as));
}

static struct request *create_request(struct requests *rs,
				      const struct request_event *ev,
				      uint64_t now_ms)
{
	struct request *rq = g_new0(struct request, 1);
	uint32_t deadline_ms = ev->deadline_ms;
	const struct service *sv;

	rq->service = ev->service;
	rq->idempotent = ev->idempotent;
	rq->has_key = ev->has_key && !ev->idempotent;
	rq->key_age_ms = ev->key_age_ms;
	sv = service_of_request(rs, rq);
	if (sv && (!deadline_ms || deadline_ms > sv->deadline_ms))
		deadline_ms = sv->deadline_ms;
	rq->deadline_ms = now_ms + deadline_ms;
	rq->handle = add_handle(rs->by_handle, rq);
	g_hash_table_add(rs->all, rq);
	return rq;
}

static handle_t handle_arrival(struct requests *rs,
			       const struct request_event *ev, uint64_t now_ms,
			       struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, ev->service);
	struct request *rq;
	handle_t h;

	if (handle_count(rs->by_handle) >= REQUESTS_OPEN_MAX)
		return 0;
	rq = create_request(rs, ev, now_ms);
	h = rq->handle;
	count(rs->counters, COUNT_REQUEST_ACCEPTED);
	if (!rq->has_key)
		send_or_queue_request(rs, rq, false, now_ms, out);
	else if (!rq->key_age_ms &&
		 !can_enter_queue(sa->queue, rq->deadline_ms, now_ms))
		refuse_request(rs, rq, OUTCOME_NOT_RUN, now_ms, out);
	else
		start_key_claim(rs, rq, ev, now_ms, out);
	return h;
}

static void handle_caller_left(struct requests *rs, struct request *rq,
			       uint64_t now_ms, struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, rq->service);

	if (rq->state == REQUEST_IN_FLIGHT && rq->has_key && rq->body_read) {
		rq->caller_gone = true;
		return;
	}
	if (rq->state == REQUEST_IN_FLIGHT) {
		end_request_attempt(rs, rq, SLOT_CANCELLED, now_ms);
		finish_request_claim(rs, rq, KEY_UNKNOWN, NULL, now_ms, out);
	} else {
		remove_from_queue(sa->queue, rq->handle, false, now_ms);
		abandon_request_claim(rs, rq, now_ms, out);
	}
	count(rs->counters, COUNT_REQUEST_CALLER_LEFT);
	add_request_action(out, REQUEST_CANCEL, rq->handle)->is_final = true;
	free_request(rs, rq);
}

static void handle_body_read(struct requests *rs, struct request *rq,
			     const struct request_event *ev, uint64_t now_ms,
			     struct request_actions *out)
{
	rq->body_read = true;
	rq->body_digest = ev->body_digest;
	if (rq->state == REQUEST_REPLAYING)
		replay_when_body_matches(rs, rq, now_ms, out);
}

static void step_request(struct requests *rs, const struct request_event *ev,
			 uint64_t now_ms, struct request_actions *out)
{
	struct request *rq = find_handle(rs->by_handle, ev->request);
	struct service_admission *sa;

	if (!rq) {
		count(rs->counters, COUNT_REQUEST_LATE);
		return;
	}
	sa = get_or_create_admission(rs, rq->service);
	if (ev->kind == REQUEST_CALLER_LEFT)
		handle_caller_left(rs, rq, now_ms, out);
	else if (ev->kind == REQUEST_BODY_READ)
		handle_body_read(rs, rq, ev, now_ms, out);
	else if (rq->state == REQUEST_IN_FLIGHT)
		step_in_flight_request(rs, rq, ev, now_ms, out);
	else
		count(rs->counters, COUNT_REQUEST_LATE);
	dispatch_request_queue(rs, sa, now_ms, out);
}

/* Ends RQ, which is past its deadline. */
static void end_expired_request(struct requests *rs, struct request *rq,
				uint64_t now_ms, struct request_actions *out)
{
	if (rq->state == REQUEST_REPLAYING) {
		refuse_request(rs, rq, OUTCOME_DONE, now_ms, out);
		return;
	}
	if (rq->state == REQUEST_CLAIMING) {
		abandon_request_claim(rs, rq, now_ms, out);
		refuse_by_claim_decision(rs, rq, CLAIM_FAILED, now_ms, out);
		return;
	}
	report_attempt_end(rs, rq, REQUEST_LOST, now_ms);
	end_request_attempt(rs, rq, SLOT_CANCELLED, now_ms);
	if (rq->answer_started)
		abort_relayed_answer(rs, rq, now_ms, out);
	else
		refuse_with_unknown_outcome(rs, rq, now_ms, out);
}

static void check_deadlines(struct requests *rs, uint64_t now_ms,
			    struct request_actions *out)
{
	GList *unqueued = g_hash_table_get_keys(rs->unqueued);

	for (GList *l = unqueued; l; l = l->next) {
		struct request *rq = l->data;

		if (rq->deadline_ms <= now_ms)
			end_expired_request(rs, rq, now_ms, out);
	}
	g_list_free(unqueued);
}

static void dispatch_all_queues(struct requests *rs, uint64_t now_ms,
				struct request_actions *out)
{
	GHashTableIter it;
	gpointer sa;

	g_hash_table_iter_init(&it, rs->admissions);
	while (g_hash_table_iter_next(&it, NULL, &sa))
		dispatch_request_queue(rs, sa, now_ms, out);
}

static void tick(struct requests *rs, uint64_t now_ms,
		 struct request_actions *out)
{
	struct claim_actions as = { 0 };

	update_slots(rs->slots, now_ms);
	tick_claims(rs->claims, now_ms, &as);
	apply_claim_actions(rs, &as, now_ms, out);
	check_deadlines(rs, now_ms, out);
	dispatch_all_queues(rs, now_ms, out);
}

static void handle_peer_message(struct requests *rs,
				const struct request_event *ev, uint64_t now_ms,
				struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!handle_claim_message(rs->claims, ev->data, ev->len, now_ms, &as))
		count(rs->counters, COUNT_PEER_MALFORMED);
	apply_claim_actions(rs, &as, now_ms, out);
}

void set_request_snapshot(struct requests *rs, const struct snapshot *sn,
			  uint64_t now_ms)
{
	unref_snapshot(rs->snapshot);
	rs->snapshot = ref_snapshot(sn);
	update_slots(rs->slots, now_ms);
}

handle_t step_requests(struct requests *rs, const struct request_event *ev,
		       uint64_t now_ms, struct request_actions *out)
{
	switch (ev->kind) {
	case REQUEST_ARRIVED:
		return handle_arrival(rs, ev, now_ms, out);
	case REQUEST_TICK:
		tick(rs, now_ms, out);
		break;
	case REQUEST_PEER_MESSAGE:
		handle_peer_message(rs, ev, now_ms, out);
		break;
	case REQUEST_LOAD_REPORT:
		record_load_report(rs->slots, ev->upstream, ev->running,
				   ev->slots, now_ms);
		break;
	case REQUEST_LEAVE:
		leave_claims(rs->claims, now_ms);
		break;
	default:
		step_request(rs, ev, now_ms, out);
		break;
	}
	return 0;
}

uint64_t next_request_tick(const struct requests *rs)
{
	GHashTableIter it;
	gpointer item;

	if (undecided_claim_count(rs->claims))
		return REQUEST_TICK_BUSY_MS;
	g_hash_table_iter_init(&it, rs->admissions);
	while (g_hash_table_iter_next(&it, NULL, &item))
		if (queue_length(((struct service_admission *)item)->queue))
			return REQUEST_TICK_BUSY_MS;
	return g_hash_table_size(rs->unqueued) ? 2 * REQUEST_TICK_BUSY_MS
					       : REQUEST_TICK_IDLE_MS;
}
