/* Decides claims: by the replicas' votes, or by the state of the holder. */

#include "request/claim-state.h"

#include <glib.h>
#include <string.h>

static void decide_by_holder_state(struct claims *cs, struct claim *c,
				   const struct claim_message *m,
				   struct claim_actions *out)
{
	struct claim_action *a;

	if (!m->found) {
		decide_claim(cs, c, CLAIM_FAILED, out);
		return;
	}
	switch (m->state) {
	case KEY_IN_PROGRESS:
		decide_claim(cs, c, CLAIM_HELD_IN_PROGRESS, out);
		break;
	case KEY_DONE:
		a = decide_claim(cs, c, CLAIM_HELD_DONE, out);
		a->body_digest = m->body_digest;
		a->len = m->answer ? m->answer_len : 0;
		a->data = m->answer ? g_memdup2(m->answer, a->len) : NULL;
		break;
	default:
		decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
		break;
	}
}

void fill_claim_state(const struct claims *cs, const struct claim_id *id,
		      struct claim_message *m)
{
	const struct claim *c = find_claim(cs, id);
	gsize len = 0;

	m->found = true;
	m->state = KEY_UNKNOWN;
	if (id->incarnation != cs->incarnation)
		return;
	m->found = c != NULL;
	if (!c)
		return;
	m->state = c->phase == CLAIM_ENDED ? c->state : KEY_IN_PROGRESS;
	m->body_digest = c->body_digest;
	if (c->answer)
		m->answer = g_bytes_get_data(c->answer, &len);
	m->answer_len = len;
}

static void send_fetch(struct claims *cs, struct claim *c, uint64_t now_ms,
		       struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_FETCH,
				   .sender = claims_self_id(cs),
				   .key = c->request.key,
				   .claim = c->holder,
				   .reply_to = claims_self_endpoint(cs) };
	struct endpoint to;

	c->last_sent_ms = now_ms;
	if (key_replica_endpoint(cs->replicas, c->holder.owner_id, &to))
		send_claim_message(out, &to, &m);
}

/* Removes the records of the claim that holds C's key, which never runs. */
static void release_holder_claim(struct claims *cs, const struct claim *c,
				 struct claim_actions *out)
{
	struct claim stale = *c;

	stale.id = c->holder;
	release_claim(cs, &stale, out);
}

static void fetch_holder_state(struct claims *cs, struct claim *c,
			       const struct claim_id *holder, uint64_t now_ms,
			       struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_FETCH_REPLY };

	c->phase = CLAIM_FETCHING;
	c->holder = *holder;
	c->phase_started_ms = now_ms;
	if (holder->owner_id != claims_self_id(cs)) {
		send_fetch(cs, c, now_ms, out);
		return;
	}
	fill_claim_state(cs, holder, &m);
	if (!m.found)
		release_holder_claim(cs, c, out);
	decide_by_holder_state(cs, c, &m, out);
}

/*
 * A ballot that names the holder of the key, preferably a claim that has ended;
 * NULL if there is none.
 */
static const struct ballot *find_held_ballot(const struct claim *c)
{
	const struct ballot *held = NULL;

	for (size_t i = 0; i < c->replicas.nr; i++) {
		const struct ballot *b = &c->ballots[i];

		if (b->voted && b->vote == VOTE_HELD &&
		    (!held || held->state == KEY_IN_PROGRESS))
			held = b;
	}
	return held;
}

/* Decides C, which got no majority, or fetches the state of the holder. */
static void resolve_lost_claim(struct claims *cs, struct claim *c,
			       uint64_t now_ms, struct claim_actions *out)
{
	const struct ballot *held = find_held_ballot(c);

	release_claim(cs, c, out);
	if (!held)
		decide_claim(cs, c, CLAIM_FAILED, out);
	else if (held->request_digest != c->request.request_digest)
		decide_claim(cs, c, CLAIM_KEY_REUSED, out);
	else if (held->state == KEY_UNKNOWN)
		decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
	else
		fetch_holder_state(cs, c, &held->held_by, now_ms, out);
}

void tally_claim_votes(struct claims *cs, struct claim *c, bool final,
		       uint64_t now_ms, struct claim_actions *out)
{
	size_t granted = 0;
	size_t voted = 0;

	for (size_t i = 0; i < c->replicas.nr; i++) {
		const struct ballot *b = &c->ballots[i];

		voted += b->voted;
		granted += b->voted && b->vote == VOTE_GRANTED;
	}
	if (is_key_replica_majority(&c->replicas, granted))
		decide_claim(cs, c, CLAIM_WON, out);
	else if (final || voted == c->replicas.nr ||
		 (find_held_ballot(c) &&
		  is_key_replica_majority(&c->replicas, voted - granted)))
		resolve_lost_claim(cs, c, now_ms, out);
}

/* How many ms back a replica must know every claim of C's key. */
static uint64_t required_history_ms(const struct claim *c, uint64_t now_ms)
{
	uint64_t age = c->request.key_age_ms;

	if (!age)
		return 0;
	if (age >= KEY_LIFETIME_MS)
		return KEY_LIFETIME_MS;
	return age + KEY_AGE_SLACK_MS + (now_ms - c->started_ms);
}

void record_claim_vote(struct claim *c, uint64_t voter,
		       const struct claim_message *m)
{
	for (size_t i = 0; i < c->replicas.nr; i++) {
		struct ballot *b = &c->ballots[i];

		if (c->replicas.id[i] != voter)
			continue;
		b->voted = true;
		b->vote = m->vote;
		b->held_by = m->held_by;
		b->state = m->state;
		b->request_digest = m->request_digest;
	}
}

void fill_vote_request(const struct claims *cs, const struct claim *c,
		       struct claim_message *m, uint64_t now_ms)
{
	m->kind = CLAIM_VOTE_REQUEST;
	m->sender = claims_self_id(cs);
	m->key = c->request.key;
	m->claim = c->id;
	m->reply_to = claims_self_endpoint(cs);
	m->request_digest = c->request.request_digest;
	m->required_history_ms = required_history_ms(c, now_ms);
	m->replicas = c->replicas;
}

void request_missing_votes(struct claims *cs, struct claim *c, uint64_t now_ms,
			   struct claim_actions *out)
{
	struct claim_message m = { 0 };

	fill_vote_request(cs, c, &m, now_ms);
	c->last_sent_ms = now_ms;
	for (size_t i = 0; i < c->replicas.nr; i++) {
		struct endpoint to;

		if (!c->ballots[i].voted &&
		    c->replicas.id[i] != claims_self_id(cs) &&
		    key_replica_endpoint(cs->replicas, c->replicas.id[i], &to))
			send_claim_message(out, &to, &m);
	}
}

void handle_peer_vote(struct claims *cs, const struct claim_message *m,
		      uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = find_claim(cs, &m->claim);

	if (c && c->phase == CLAIM_VOTING) {
		record_claim_vote(c, m->sender, m);
		tally_claim_votes(cs, c, false, now_ms, out);
	}
}

void handle_fetch_reply(struct claims *cs, const struct claim_message *m,
			struct claim_actions *out)
{
	GHashTableIter it;
	gpointer item;
	GPtrArray *waiting = g_ptr_array_new();

	g_hash_table_iter_init(&it, cs->by_request);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct claim *c = item;

		if (c->phase == CLAIM_FETCHING &&
		    same_claim(&c->holder, &m->claim))
			g_ptr_array_add(waiting, c);
	}
	for (guint i = 0; i < waiting->len; i++) {
		struct claim *c = g_ptr_array_index(waiting, i);

		if (!m->found)
			release_holder_claim(cs, c, out);
		decide_by_holder_state(cs, c, m, out);
	}
	g_ptr_array_free(waiting, TRUE);
}

void tick_one_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		    struct claim_actions *out)
{
	bool resend = now_ms - c->last_sent_ms >= CLAIM_RESEND_INTERVAL_MS;

	if (c->phase == CLAIM_VOTING) {
		if (now_ms - c->phase_started_ms >= CLAIM_VOTE_TIMEOUT_MS)
			tally_claim_votes(cs, c, true, now_ms, out);
		else if (resend)
			request_missing_votes(cs, c, now_ms, out);
	} else if (c->phase == CLAIM_FETCHING) {
		if (now_ms - c->phase_started_ms >= CLAIM_FETCH_TIMEOUT_MS)
			decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
		else if (resend)
			send_fetch(cs, c, now_ms, out);
	}
}
