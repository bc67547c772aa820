/* Requests with an idempotency key: their claims, and answers to resends. */

#include "request/internal.h"

#include <glib.h>

void abandon_request_claim(struct requests *rs, const struct request *rq,
			   uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	abandon_claim(rs->claims, rq->handle, now_ms, &as);
	apply_claim_actions(rs, &as, now_ms, out);
}

void finish_request_claim(struct requests *rs, const struct request *rq,
			  enum key_state state, const struct request_event *ev,
			  uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	finish_claim(rs->claims, rq->handle, state, rq->body_digest,
		     ev ? ev->data : NULL, ev ? ev->len : 0, now_ms, &as);
	apply_claim_actions(rs, &as, now_ms, out);
}

void refuse_by_claim_decision(struct requests *rs, struct request *rq,
			      enum claim_decision decision, uint64_t now_ms,
			      struct request_actions *out)
{
	switch (decision) {
	case CLAIM_HELD_IN_PROGRESS:
		refuse_request(rs, rq, OUTCOME_IN_PROGRESS, now_ms, out);
		break;
	case CLAIM_HELD_DONE:
		refuse_request(rs, rq, OUTCOME_DONE, now_ms, out);
		break;
	case CLAIM_KEY_REUSED:
		refuse_request(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		break;
	case CLAIM_FAILED:
		if (!rq->key_age_ms) {
			refuse_request(rs, rq, OUTCOME_NOT_RUN, now_ms, out);
			break;
		}
		/* fall through */
	default:
		refuse_request(rs, rq, OUTCOME_UNKNOWN, now_ms, out);
		break;
	}
}

void replay_when_body_matches(struct requests *rs, struct request *rq,
			      uint64_t now_ms, struct request_actions *out)
{
	struct request_action *a;

	if (!rq->body_read)
		return;
	if (rq->body_digest != rq->stored_body_digest) {
		refuse_request(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		return;
	}
	a = add_request_action(out, REQUEST_REPLAY, rq->handle);
	a->is_final = true;
	a->data = g_steal_pointer(&rq->stored_answer);
	a->len = rq->stored_answer_len;
	count(rs->counters, COUNT_REQUEST_REPLAYED);
	free_request(rs, rq);
}

static void start_replay(struct requests *rs, struct request *rq,
			 struct claim_action *ca, uint64_t now_ms,
			 struct request_actions *out)
{
	rq->state = REQUEST_REPLAYING;
	rq->stored_answer = g_steal_pointer(&ca->data);
	rq->stored_answer_len = ca->len;
	rq->stored_body_digest = ca->body_digest;
	if (!rq->body_read)
		add_request_action(out, REQUEST_DISCARD_BODY, rq->handle);
	g_hash_table_add(rs->unqueued, rq);
	replay_when_body_matches(rs, rq, now_ms, out);
}

static void handle_claim_decision(struct requests *rs, struct claim_action *ca,
				  uint64_t now_ms, struct request_actions *out)
{
	struct request *rq = find_handle(rs->by_handle, ca->request);

	if (!rq)
		return;
	if (ca->decision == CLAIM_WON)
		send_or_queue_request(rs, rq, false, now_ms, out);
	else if (ca->decision == CLAIM_HELD_DONE && ca->data)
		start_replay(rs, rq, ca, now_ms, out);
	else
		refuse_by_claim_decision(rs, rq, ca->decision, now_ms, out);
}

void apply_claim_actions(struct requests *rs, struct claim_actions *as,
			 uint64_t now_ms, struct request_actions *out)
{
	for (size_t i = 0; i < as->nr; i++) {
		struct claim_action *ca = &as->items[i];
		struct request_action *a;

		if (ca->kind == CLAIM_DECIDED) {
			handle_claim_decision(rs, ca, now_ms, out);
			continue;
		}
		a = add_request_action(out, REQUEST_SEND_PEER, 0);
		a->address = ca->to;
		a->data = g_steal_pointer(&ca->data);
		a->len = ca->len;
		count(rs->counters, COUNT_REQUEST_KEY_SENT);
		count_n(rs->counters, COUNT_REQUEST_KEY_SENT_BYTES, a->len);
	}
	release_claim_actions(as);
}

void start_key_claim(struct requests *rs, struct request *rq,
		     const struct request_event *ev, uint64_t now_ms,
		     struct request_actions *out)
{
	struct claim_request cr = { rq->handle, ev->key, ev->request_digest,
				    ev->key_age_ms };
	struct claim_actions as = { 0 };

	rq->state = REQUEST_CLAIMING;
	g_hash_table_add(rs->unqueued, rq);
	begin_claim(rs->claims, &cr, now_ms, &as);
	apply_claim_actions(rs, &as, now_ms, out);
}
