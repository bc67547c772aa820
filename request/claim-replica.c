/* Votes and records of an instance as a replica of keys; stored answers. */

#include "request/claim-state.h"

#include <glib.h>
#include <string.h>

void vote_on_claim(struct claims *cs, struct claim_message *m, uint64_t now_ms)
{
	const struct key_record *r;
	struct key_replica_group own;

	m->vote = VOTE_REFUSED;
	find_key_replicas(cs->replicas, &m->key, &own);
	if (cs->leaving || !same_key_replicas(&own, &m->replicas))
		return;
	r = find_key_record(cs->records, &m->key, now_ms);
	if (r && !same_claim(&r->claim, &m->claim)) {
		m->vote = VOTE_HELD;
		m->held_by = r->claim;
		m->state = r->state;
		m->request_digest = r->request_digest;
		return;
	}
	if (!r && !add_key_record(cs->records, &m->key, &m->claim,
				  m->request_digest, now_ms))
		return;
	m->vote = has_complete_key_history(cs->replicas, &m->key, &own,
					   m->required_history_ms, now_ms)
			  ? VOTE_GRANTED
			  : VOTE_UNCERTAIN;
}

/* Drops the oldest stored answers until the rest fits. */
static void evict_stored_answers(struct claims *cs)
{
	while (cs->stored_answer_bytes > STORED_ANSWERS_MAX_BYTES) {
		struct claim *c = g_queue_pop_head(&cs->with_stored_answer);

		cs->stored_answer_bytes -= g_bytes_get_size(c->answer);
		g_bytes_unref(c->answer);
		c->answer = NULL;
	}
}

void store_key_answer(struct claims *cs, struct claim *c, const void *answer,
		      size_t len)
{
	if (!answer || !len || len > STORED_ANSWER_MAX_BYTES)
		return;
	c->answer = g_bytes_new(answer, len);
	cs->stored_answer_bytes += len;
	g_queue_push_tail(&cs->with_stored_answer, c);
	evict_stored_answers(cs);
}

void record_key_result(struct claims *cs, const struct request_key *key,
		       const struct claim_id *id, uint64_t digest,
		       enum key_state state, uint64_t now_ms)
{
	struct key_record *r = find_key_record(cs->records, key, now_ms);

	if (!r)
		r = add_key_record(cs->records, key, id, digest, now_ms);
	if (!r || (r->state != KEY_IN_PROGRESS && !same_claim(&r->claim, id)))
		return;
	r->claim = *id;
	r->request_digest = digest;
	r->state = state;
}

void handle_vote_request(struct claims *cs, struct claim_message *m,
			 uint64_t now_ms, struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	vote_on_claim(cs, m, now_ms);
	m->kind = CLAIM_VOTE;
	m->sender = claims_self_id(cs);
	send_claim_message(out, &to, m);
}

void handle_claim_fetch(const struct claims *cs, struct claim_message *m,
			struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	fill_claim_state(cs, &m->claim, m);
	m->kind = CLAIM_FETCH_REPLY;
	m->sender = claims_self_id(cs);
	send_claim_message(out, &to, m);
}

void expire_ended_claims(struct claims *cs, uint64_t now_ms)
{
	struct claim *c;

	while ((c = g_queue_peek_head(&cs->ended)) && c->expires_ms <= now_ms) {
		g_queue_pop_head(&cs->ended);
		if (c->answer) {
			cs->stored_answer_bytes -= g_bytes_get_size(c->answer);
			g_queue_remove(&cs->with_stored_answer, c);
		}
		g_hash_table_remove(cs->claims, &c->id.number);
	}
}
