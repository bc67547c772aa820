/* What an instance does as keeper of keys and as holder of answers. */

#include "request/claim-state.h"

#include <glib.h>
#include <string.h>

void vote_on_claim(struct claims *cs, struct claim_message *m, uint64_t now_ms)
{
	const struct key_record *r;
	struct keeper_group own;

	m->vote = VOTE_REFUSED;
	find_key_keepers(cs->keepers, &m->key, &own);
	if (cs->leaving || !same_key_keepers(&own, &m->group))
		return;
	r = find_key_record(cs->records, &m->key, now_ms);
	if (r && !same_claim(&r->claim, &m->claim)) {
		m->vote = VOTE_HELD;
		m->held = r->claim;
		m->state = r->state;
		m->digest = r->digest;
		return;
	}
	if (!r &&
	    !add_key_record(cs->records, &m->key, &m->claim, m->digest, now_ms))
		return;
	m->vote = remembers_key(cs->keepers, &m->key, &own, m->age_ms, now_ms)
			  ? VOTE_GRANTED
			  : VOTE_DOUBTFUL;
}

/* Drops the oldest kept answers until the rest fits. */
static void bound_key_answers(struct claims *cs)
{
	while (cs->answer_bytes > KEPT_ANSWERS_MAX) {
		struct claim *c = g_queue_pop_head(&cs->with_answer);

		cs->answer_bytes -= g_bytes_get_size(c->answer);
		g_bytes_unref(c->answer);
		c->answer = NULL;
	}
}

void keep_key_answer(struct claims *cs, struct claim *c, const void *answer,
		     size_t len)
{
	if (!answer || !len || len > KEPT_ANSWER_MAX)
		return;
	c->answer = g_bytes_new(answer, len);
	cs->answer_bytes += len;
	g_queue_push_tail(&cs->with_answer, c);
	bound_key_answers(cs);
}

void record_key_result(struct claims *cs, const struct request_key *key,
		       const struct claim_id *id, uint64_t digest,
		       enum key_state state, uint64_t now_ms)
{
	struct key_record *r = find_key_record(cs->records, key, now_ms);

	if (!r)
		r = add_key_record(cs->records, key, id, digest, now_ms);
	if (!r || (r->state != KEY_OPEN && !same_claim(&r->claim, id)))
		return;
	r->claim = *id;
	r->digest = digest;
	r->state = state;
}

void answer_claim_ask(struct claims *cs, struct claim_message *m,
		      uint64_t now_ms, struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	vote_on_claim(cs, m, now_ms);
	m->kind = CLAIM_VOTE;
	m->sender = claims_self(cs);
	send_claim_message(out, &to, m);
}

void answer_claim_fetch(const struct claims *cs, struct claim_message *m,
			struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	tell_claim_end(cs, &m->claim, m);
	m->kind = CLAIM_FETCHED;
	m->sender = claims_self(cs);
	send_claim_message(out, &to, m);
}

void forget_ended_claims(struct claims *cs, uint64_t now_ms)
{
	struct claim *c;

	while ((c = g_queue_peek_head(&cs->ended)) && c->expires <= now_ms) {
		g_queue_pop_head(&cs->ended);
		if (c->answer) {
			cs->answer_bytes -= g_bytes_get_size(c->answer);
			g_queue_remove(&cs->with_answer, c);
		}
		g_hash_table_remove(cs->claims, &c->id.number);
	}
}
