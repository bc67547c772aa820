/* Dispatches requests to upstreams and handles the results of attempts. */

#include "request/internal.h"

#include <glib.h>

static void start_attempt(struct requests *rs, struct request *rq,
			  const struct upstream *up, uint64_t now_ms,
			  struct request_actions *out)
{
	struct request_action *a =
		add_request_action(out, REQUEST_ATTEMPT, rq->handle);
	uint64_t left_ms = rq->deadline_ms - now_ms;

	if (rq->attempts++)
		count(rs->counters, COUNT_REQUEST_RETRIED);
	else
		earn_retry(&get_or_create_admission(rs, rq->service)->budget);
	rq->state = REQUEST_IN_FLIGHT;
	rq->upstream = up->id;
	rq->attempt_started_ms = now_ms;
	g_hash_table_add(rs->unqueued, rq);
	a->upstream = up->id;
	a->address = up->address;
	a->needs_new_connection = rq->needs_new_connection || !rq->idempotent;
	a->timeout_ms = (uint32_t)(left_ms > RELAY_RESERVE_MS
					   ? left_ms - RELAY_RESERVE_MS
					   : 1);
}

static bool cannot_meet_deadline(const struct queue *q,
				 const struct request *rq, uint64_t now_ms)
{
	return now_ms + high_run_time_ms(q) + RELAY_RESERVE_MS >=
	       rq->deadline_ms;
}

void dispatch_request_queue(struct requests *rs, struct service_admission *sa,
			    uint64_t now_ms, struct request_actions *out)
{
	const struct service *sv =
		rs->snapshot ? find_service(rs->snapshot, sa->service) : NULL;
	handle_t h;

	while ((h = queue_head(sa->queue, NULL))) {
		struct request *rq = find_handle(rs->by_handle, h);
		const struct upstream *up;

		if (!sv || cannot_meet_deadline(sa->queue, rq, now_ms)) {
			remove_from_queue(sa->queue, h, false, now_ms);
			refuse_idle_request(rs, rq, now_ms, out);
			continue;
		}
		up = acquire_slot(rs->slots, sv, now_ms, &rq->slot_is_borrowed);
		if (!up)
			break;
		remove_from_queue(sa->queue, h, true, now_ms);
		start_attempt(rs, rq, up, now_ms, out);
	}
}

void send_or_queue_request(struct requests *rs, struct request *rq,
			   bool is_retry, uint64_t now_ms,
			   struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, rq->service);
	const struct service *sv = service_of_request(rs, rq);
	const struct upstream *up = NULL;

	rq->state = REQUEST_QUEUED;
	g_hash_table_remove(rs->unqueued, rq);
	if (!sv || rq->attempts >= REQUEST_ATTEMPTS_MAX ||
	    now_ms >= rq->deadline_ms ||
	    (!is_retry &&
	     !can_enter_queue(sa->queue, rq->deadline_ms, now_ms))) {
		refuse_idle_request(rs, rq, now_ms, out);
		return;
	}
	if (!queue_length(sa->queue))
		up = acquire_slot(rs->slots, sv, now_ms, &rq->slot_is_borrowed);
	if (up)
		start_attempt(rs, rq, up, now_ms, out);
	else
		push_queue(sa->queue, rq->handle, rq->deadline_ms, now_ms);
}

void report_attempt_end(struct requests *rs, const struct request *rq,
			enum request_event_kind end_kind, uint64_t now_ms)
{
	if (rs->attempt_observer)
		rs->attempt_observer(rq->service, rq->upstream, end_kind,
				     now_ms - rq->attempt_started_ms, now_ms,
				     rs->attempt_observer_data);
}

void end_request_attempt(struct requests *rs, struct request *rq,
			 enum slot_result result, uint64_t now_ms)
{
	struct acquired_slot t = { rq->service, rq->upstream,
				   rq->slot_is_borrowed };
	uint64_t runs_until_ms = MIN(rq->deadline_ms + CANCEL_DEADLINE_SLACK_MS,
				     now_ms + CANCEL_NOTICE_MAX_MS);

	release_slot(rs->slots, &t, result, runs_until_ms, now_ms);
	g_hash_table_remove(rs->unqueued, rq);
	if (result == SLOT_DONE)
		record_run_time(get_or_create_admission(rs, rq->service)->queue,
				now_ms - rq->attempt_started_ms);
}

static void handle_answer(struct requests *rs, struct request *rq,
			  const struct request_event *ev, uint64_t now_ms,
			  struct request_actions *out)
{
	struct request_action *a;

	report_attempt_end(rs, rq, REQUEST_ANSWERED, now_ms);
	end_request_attempt(rs, rq, SLOT_DONE, now_ms);
	finish_request_claim(rs, rq, KEY_DONE, ev, now_ms, out);
	count(rs->counters, COUNT_REQUEST_ANSWERED);
	a = add_request_action(out,
			       rq->caller_gone ? REQUEST_CANCEL : REQUEST_RELAY,
			       rq->handle);
	a->is_final = true;
	free_request(rs, rq);
}

static void start_answer_relay(struct request *rq, struct request_actions *out)
{
	if (rq->answer_started)
		return;
	rq->answer_started = true;
	if (!rq->caller_gone)
		add_request_action(out, REQUEST_RELAY, rq->handle);
}

void abort_relayed_answer(struct requests *rs, struct request *rq,
			  uint64_t now_ms, struct request_actions *out)
{
	finish_request_claim(rs, rq, KEY_DONE, NULL, now_ms, out);
	add_request_action(out, REQUEST_CUT, rq->handle)->is_final = true;
	count(rs->counters, COUNT_REQUEST_CUT);
	free_request(rs, rq);
}

static void handle_not_run(struct requests *rs, struct request *rq,
			   const struct request_event *ev, uint64_t now_ms,
			   struct request_actions *out)
{
	bool sent = ev->kind == REQUEST_SHED;

	report_attempt_end(rs, rq, ev->kind, now_ms);
	end_request_attempt(rs, rq, sent ? SLOT_SHED : SLOT_FAILED, now_ms);
	count(rs->counters, sent ? COUNT_REQUEST_SHED : COUNT_REQUEST_NOT_SENT);
	if (ev->body_repeatable && !rq->caller_gone)
		send_or_queue_request(rs, rq, true, now_ms, out);
	else
		refuse_idle_request(rs, rq, now_ms, out);
}

static void handle_lost_attempt(struct requests *rs, struct request *rq,
				const struct request_event *ev, uint64_t now_ms,
				struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, rq->service);

	if (!ev->connection_reused)
		report_attempt_end(rs, rq, REQUEST_LOST, now_ms);
	end_request_attempt(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	count(rs->counters, COUNT_REQUEST_LOST);
	if (rq->answer_started)
		abort_relayed_answer(rs, rq, now_ms, out);
	else if (rq->idempotent && ev->body_repeatable && !rq->caller_gone &&
		 rq->attempts < REQUEST_ATTEMPTS_MAX &&
		 now_ms < rq->deadline_ms && spend_retry(&sa->budget))
		send_or_queue_request(rs, rq, true, now_ms, out);
	else
		refuse_with_unknown_outcome(rs, rq, now_ms, out);
}

/*
 * A reused connection makes no progress: retries on a new one if the retry
 * budget allows it, else keeps waiting.
 */
static void handle_stall(struct requests *rs, struct request *rq,
			 const struct request_event *ev, uint64_t now_ms,
			 struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, rq->service);

	if (!rq->idempotent || !ev->body_repeatable || rq->answer_started ||
	    rq->needs_new_connection || !spend_retry(&sa->budget))
		return;
	count(rs->counters, COUNT_REQUEST_SILENT);
	end_request_attempt(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	rq->needs_new_connection = true;
	send_or_queue_request(rs, rq, true, now_ms, out);
}

void step_in_flight_request(struct requests *rs, struct request *rq,
			    const struct request_event *ev, uint64_t now_ms,
			    struct request_actions *out)
{
	switch (ev->kind) {
	case REQUEST_ANSWERED:
	case REQUEST_ANSWER_ENDED:
		handle_answer(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_ANSWER_STARTED:
		start_answer_relay(rq, out);
		break;
	case REQUEST_SHED:
	case REQUEST_NOT_SENT:
		handle_not_run(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_LOST:
		handle_lost_attempt(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_SILENT:
		handle_stall(rs, rq, ev, now_ms, out);
		break;
	default:
		break;
	}
}
