/* Requests with an idempotency key: their claims and what these decide. */

#include "request/internal.h"

#include <glib.h>

void give_claim_up(struct requests *rs, const struct request *rq,
		   uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	drop_claim(rs->claims, rq->handle, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
}

void settle_claim(struct requests *rs, const struct request *rq,
		  enum key_state state, const struct request_event *ev,
		  uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	end_claim(rs->claims, rq->handle, state, rq->body_digest,
		  ev ? ev->data : NULL, ev ? ev->len : 0, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
}

void refuse_claim(struct requests *rs, struct request *rq, enum claim_end end,
		  uint64_t now_ms, struct request_actions *out)
{
	switch (end) {
	case CLAIM_HELD_OPEN:
		refuse_request(rs, rq, OUTCOME_IN_PROGRESS, now_ms, out);
		break;
	case CLAIM_HELD_DONE:
		refuse_request(rs, rq, OUTCOME_DONE, now_ms, out);
		break;
	case CLAIM_KEY_REUSED:
		refuse_request(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		break;
	case CLAIM_FAILED:
		if (!rq->age_ms) {
			refuse_request(rs, rq, OUTCOME_NOT_RUN, now_ms, out);
			break;
		}
		/* fall through */
	default:
		refuse_request(rs, rq, OUTCOME_UNKNOWN, now_ms, out);
		break;
	}
}

void try_request_replay(struct requests *rs, struct request *rq,
			uint64_t now_ms, struct request_actions *out)
{
	struct request_action *a;

	if (!rq->body_read)
		return;
	if (rq->body_digest != rq->first_digest) {
		refuse_request(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		return;
	}
	a = add_request_action(out, REQUEST_REPLAY, rq->handle);
	a->ends = true;
	a->data = g_steal_pointer(&rq->kept);
	a->len = rq->kept_len;
	count(rs->counters, COUNT_REQUEST_REPLAYED);
	free_request(rs, rq);
}

static void start_replay(struct requests *rs, struct request *rq,
			 struct claim_action *ca, uint64_t now_ms,
			 struct request_actions *out)
{
	rq->state = REQUEST_REPLAYING;
	rq->kept = g_steal_pointer(&ca->data);
	rq->kept_len = ca->len;
	rq->first_digest = ca->body_digest;
	if (!rq->body_read)
		add_request_action(out, REQUEST_READ_ON, rq->handle);
	g_hash_table_add(rs->timed, rq);
	try_request_replay(rs, rq, now_ms, out);
}

static void take_claim_end(struct requests *rs, struct claim_action *ca,
			   uint64_t now_ms, struct request_actions *out)
{
	struct request *rq = find_handle(rs->open, ca->request);

	if (!rq)
		return;
	if (ca->end == CLAIM_WON)
		enter_request(rs, rq, false, now_ms, out);
	else if (ca->end == CLAIM_HELD_DONE && ca->data)
		start_replay(rs, rq, ca, now_ms, out);
	else
		refuse_claim(rs, rq, ca->end, now_ms, out);
}

void take_claim_actions(struct requests *rs, struct claim_actions *as,
			uint64_t now_ms, struct request_actions *out)
{
	for (size_t i = 0; i < as->nr; i++) {
		struct claim_action *ca = &as->at[i];
		struct request_action *a;

		if (ca->kind == CLAIM_DECIDED) {
			take_claim_end(rs, ca, now_ms, out);
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

void claim_key(struct requests *rs, struct request *rq,
	       const struct request_event *ev, uint64_t now_ms,
	       struct request_actions *out)
{
	struct claim_request cr = { rq->handle, ev->key, ev->digest,
				    ev->age_ms };
	struct claim_actions as = { 0 };

	rq->state = REQUEST_CLAIMING;
	g_hash_table_add(rs->timed, rq);
	begin_claim(rs->claims, &cr, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
}
