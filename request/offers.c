/* From the queue to an upstream, and what comes of an offer. */

#include "request/internal.h"

#include <glib.h>

static void offer_request(struct requests *rs, struct request *rq,
			  const struct upstream *up, uint64_t now_ms,
			  struct request_actions *out)
{
	struct request_action *a =
		add_request_action(out, REQUEST_OFFER, rq->handle);
	uint64_t left = rq->deadline - now_ms;

	if (rq->offers++)
		count(rs->counters, COUNT_REQUEST_RETRIED);
	else
		earn_retry(&service_load_of(rs, rq->service)->budget);
	rq->state = REQUEST_OFFERED;
	rq->upstream = up->id;
	rq->offered = now_ms;
	g_hash_table_add(rs->timed, rq);
	a->upstream = up->id;
	a->address = up->address;
	a->fresh = rq->fresh || !rq->idempotent;
	a->timeout_ms = (uint32_t)(left > HOP_MS ? left - HOP_MS : 1);
}

static bool is_hopeless(const struct queue *q, const struct request *rq,
			uint64_t now_ms)
{
	return now_ms + long_run_ms(q) + HOP_MS >= rq->deadline;
}

void pump_request_queue(struct requests *rs, struct service_load *l,
			uint64_t now_ms, struct request_actions *out)
{
	const struct service *sv =
		rs->snapshot ? find_service(rs->snapshot, l->id) : NULL;
	handle_t h;

	while ((h = first_in_queue(l->queue, NULL))) {
		struct request *rq = find_handle(rs->open, h);
		const struct upstream *up;

		if (!sv || is_hopeless(l->queue, rq, now_ms)) {
			leave_queue(l->queue, h, false, now_ms);
			refuse_unsent(rs, rq, now_ms, out);
			continue;
		}
		up = take_slot(rs->slots, sv, now_ms, &rq->loan);
		if (!up)
			break;
		leave_queue(l->queue, h, true, now_ms);
		offer_request(rs, rq, up, now_ms, out);
	}
}

void enter_request(struct requests *rs, struct request *rq, bool again,
		   uint64_t now_ms, struct request_actions *out)
{
	struct service_load *l = service_load_of(rs, rq->service);
	const struct service *sv = service_of_request(rs, rq);
	const struct upstream *up = NULL;

	rq->state = REQUEST_QUEUED;
	g_hash_table_remove(rs->timed, rq);
	if (!sv || rq->offers >= OFFERS_MAX || now_ms >= rq->deadline ||
	    (!again && !may_enter_queue(l->queue, rq->deadline, now_ms))) {
		refuse_unsent(rs, rq, now_ms, out);
		return;
	}
	if (!queue_length(l->queue))
		up = take_slot(rs->slots, sv, now_ms, &rq->loan);
	if (up)
		offer_request(rs, rq, up, now_ms, out);
	else
		push_queue(l->queue, rq->handle, rq->deadline, now_ms);
}

void observe_offer_end(struct requests *rs, const struct request *rq,
		       enum request_event_kind how, uint64_t now_ms)
{
	if (rs->observe)
		rs->observe(rq->service, rq->upstream, how,
			    now_ms - rq->offered, now_ms, rs->observe_data);
}

void end_request_offer(struct requests *rs, struct request *rq,
		       enum slot_end end, uint64_t now_ms)
{
	struct taken_slot t = { rq->service, rq->upstream, rq->loan };
	uint64_t until =
		MIN(rq->deadline + CANCEL_SLACK_MS, now_ms + CANCEL_SEEN_MS);

	give_slot_back(rs->slots, &t, end, until, now_ms);
	g_hash_table_remove(rs->timed, rq);
	if (end == SLOT_DONE)
		note_run_time(service_load_of(rs, rq->service)->queue,
			      now_ms - rq->offered);
}

static void take_answer(struct requests *rs, struct request *rq,
			const struct request_event *ev, uint64_t now_ms,
			struct request_actions *out)
{
	struct request_action *a;

	observe_offer_end(rs, rq, REQUEST_ANSWERED, now_ms);
	end_request_offer(rs, rq, SLOT_DONE, now_ms);
	settle_claim(rs, rq, KEY_DONE, ev, now_ms, out);
	count(rs->counters, COUNT_REQUEST_ANSWERED);
	a = add_request_action(out,
			       rq->caller_gone ? REQUEST_CANCEL : REQUEST_RELAY,
			       rq->handle);
	a->ends = true;
	free_request(rs, rq);
}

static void begin_answer(struct request *rq, struct request_actions *out)
{
	if (rq->begun)
		return;
	rq->begun = true;
	if (!rq->caller_gone)
		add_request_action(out, REQUEST_RELAY, rq->handle);
}

void cut_request_answer(struct requests *rs, struct request *rq,
			uint64_t now_ms, struct request_actions *out)
{
	settle_claim(rs, rq, KEY_DONE, NULL, now_ms, out);
	add_request_action(out, REQUEST_CUT, rq->handle)->ends = true;
	count(rs->counters, COUNT_REQUEST_CUT);
	free_request(rs, rq);
}

static void take_shed(struct requests *rs, struct request *rq,
		      const struct request_event *ev, uint64_t now_ms,
		      struct request_actions *out)
{
	bool sent = ev->kind == REQUEST_SHED;

	observe_offer_end(rs, rq, ev->kind, now_ms);
	end_request_offer(rs, rq, sent ? SLOT_SHED : SLOT_FAILED, now_ms);
	count(rs->counters, sent ? COUNT_REQUEST_SHED : COUNT_REQUEST_NOT_SENT);
	if (ev->repeatable && !rq->caller_gone)
		enter_request(rs, rq, true, now_ms, out);
	else
		refuse_unsent(rs, rq, now_ms, out);
}

static void take_loss(struct requests *rs, struct request *rq,
		      const struct request_event *ev, uint64_t now_ms,
		      struct request_actions *out)
{
	struct service_load *l = service_load_of(rs, rq->service);

	if (!ev->reused)
		observe_offer_end(rs, rq, REQUEST_LOST, now_ms);
	end_request_offer(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	count(rs->counters, COUNT_REQUEST_LOST);
	if (rq->begun)
		cut_request_answer(rs, rq, now_ms, out);
	else if (rq->idempotent && ev->repeatable && !rq->caller_gone &&
		 rq->offers < OFFERS_MAX && now_ms < rq->deadline &&
		 spend_retry(&l->budget))
		enter_request(rs, rq, true, now_ms, out);
	else
		refuse_unknown(rs, rq, now_ms, out);
}

/* Tries a fresh connection if the budget has a retry; waits on otherwise. */
static void take_silence(struct requests *rs, struct request *rq,
			 const struct request_event *ev, uint64_t now_ms,
			 struct request_actions *out)
{
	struct service_load *l = service_load_of(rs, rq->service);

	if (!rq->idempotent || !ev->repeatable || rq->begun || rq->fresh ||
	    !spend_retry(&l->budget))
		return;
	count(rs->counters, COUNT_REQUEST_SILENT);
	end_request_offer(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	rq->fresh = true;
	enter_request(rs, rq, true, now_ms, out);
}

void step_offered_request(struct requests *rs, struct request *rq,
			  const struct request_event *ev, uint64_t now_ms,
			  struct request_actions *out)
{
	switch (ev->kind) {
	case REQUEST_ANSWERED:
	case REQUEST_ENDED:
		take_answer(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_BEGUN:
		begin_answer(rq, out);
		break;
	case REQUEST_SHED:
	case REQUEST_NOT_SENT:
		take_shed(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_LOST:
		take_loss(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_SILENT:
		take_silence(rs, rq, ev, now_ms, out);
		break;
	default:
		break;
	}
}
