/* How a claim is decided: by votes of keepers, or by asking its holder. */

#include "request/claim-state.h"

#include <glib.h>
#include <string.h>

static void take_holder_end(struct claims *cs, struct claim *c,
			    const struct claim_message *m,
			    struct claim_actions *out)
{
	struct claim_action *a;

	if (!m->found) {
		decide_claim(cs, c, CLAIM_FAILED, out);
		return;
	}
	switch (m->state) {
	case KEY_OPEN:
		decide_claim(cs, c, CLAIM_HELD_OPEN, out);
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

void tell_claim_end(const struct claims *cs, const struct claim_id *id,
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
	m->state = c->phase == CLAIM_ENDED ? c->state : KEY_OPEN;
	m->body_digest = c->body_digest;
	if (c->answer)
		m->answer = g_bytes_get_data(c->answer, &len);
	m->answer_len = len;
}

static void send_fetch(struct claims *cs, struct claim *c, uint64_t now_ms,
		       struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_FETCH,
				   .sender = claims_self(cs),
				   .key = c->request.key,
				   .claim = c->holder,
				   .reply_to = claims_endpoint(cs) };
	struct endpoint to;

	c->sent = now_ms;
	if (keeper_endpoint(cs->keepers, c->holder.owner, &to))
		send_claim_message(out, &to, &m);
}

/* The claim that holds the key of C does not run: its keepers may forget it. */
static void release_holder(struct claims *cs, const struct claim *c,
			   struct claim_actions *out)
{
	struct claim stale = *c;

	stale.id = c->holder;
	release_claim(cs, &stale, out);
}

static void start_fetch(struct claims *cs, struct claim *c,
			const struct claim_id *holder, uint64_t now_ms,
			struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_FETCHED };

	c->phase = CLAIM_FETCHING;
	c->holder = *holder;
	c->begun = now_ms;
	if (holder->owner != claims_self(cs)) {
		send_fetch(cs, c, now_ms, out);
		return;
	}
	tell_claim_end(cs, holder, &m);
	if (!m.found)
		release_holder(cs, c, out);
	take_holder_end(cs, c, &m, out);
}

/* The ballot that tells most about the claim that holds the key, or NULL. */
static const struct ballot *find_held(const struct claim *c)
{
	const struct ballot *held = NULL;

	for (size_t i = 0; i < c->group.nr; i++) {
		const struct ballot *b = &c->ballots[i];

		if (b->voted && b->vote == VOTE_HELD &&
		    (!held || held->state == KEY_OPEN))
			held = b;
	}
	return held;
}

/* C did not get its majority. */
static void lose_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		       struct claim_actions *out)
{
	const struct ballot *held = find_held(c);

	release_claim(cs, c, out);
	if (!held)
		decide_claim(cs, c, CLAIM_FAILED, out);
	else if (held->digest != c->request.digest)
		decide_claim(cs, c, CLAIM_KEY_REUSED, out);
	else if (held->state == KEY_UNKNOWN)
		decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
	else
		start_fetch(cs, c, &held->held, now_ms, out);
}

void count_claim_votes(struct claims *cs, struct claim *c, bool final,
		       uint64_t now_ms, struct claim_actions *out)
{
	size_t granted = 0;
	size_t voted = 0;

	for (size_t i = 0; i < c->group.nr; i++) {
		const struct ballot *b = &c->ballots[i];

		voted += b->voted;
		granted += b->voted && b->vote == VOTE_GRANTED;
	}
	if (is_majority(&c->group, granted))
		decide_claim(cs, c, CLAIM_WON, out);
	else if (final || voted == c->group.nr ||
		 (find_held(c) && is_majority(&c->group, voted - granted)))
		lose_claim(cs, c, now_ms, out);
}

/* How far back a keeper's memory must reach for C. */
static uint64_t needed_age(const struct claim *c, uint64_t now_ms)
{
	uint64_t age = c->request.age_ms;

	if (!age)
		return 0;
	if (age >= KEY_LIFE_MS)
		return KEY_LIFE_MS;
	return age + KEY_AGE_SLACK_MS + (now_ms - c->first_begun);
}

void take_claim_vote(struct claim *c, uint64_t voter,
		     const struct claim_message *m)
{
	for (size_t i = 0; i < c->group.nr; i++) {
		struct ballot *b = &c->ballots[i];

		if (c->group.id[i] != voter)
			continue;
		b->voted = true;
		b->vote = m->vote;
		b->held = m->held;
		b->state = m->state;
		b->digest = m->digest;
	}
}

void fill_claim_ask(const struct claims *cs, const struct claim *c,
		    struct claim_message *m, uint64_t now_ms)
{
	m->kind = CLAIM_ASK;
	m->sender = claims_self(cs);
	m->key = c->request.key;
	m->claim = c->id;
	m->reply_to = claims_endpoint(cs);
	m->digest = c->request.digest;
	m->age_ms = needed_age(c, now_ms);
	m->group = c->group;
}

void ask_key_keepers(struct claims *cs, struct claim *c, uint64_t now_ms,
		     struct claim_actions *out)
{
	struct claim_message m = { 0 };

	fill_claim_ask(cs, c, &m, now_ms);
	c->sent = now_ms;
	for (size_t i = 0; i < c->group.nr; i++) {
		struct endpoint to;

		if (!c->ballots[i].voted && c->group.id[i] != claims_self(cs) &&
		    keeper_endpoint(cs->keepers, c->group.id[i], &to))
			send_claim_message(out, &to, &m);
	}
}

void take_peer_vote(struct claims *cs, const struct claim_message *m,
		    uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = find_claim(cs, &m->claim);

	if (c && c->phase == CLAIM_ASKING) {
		take_claim_vote(c, m->sender, m);
		count_claim_votes(cs, c, false, now_ms, out);
	}
}

void take_fetched_answer(struct claims *cs, const struct claim_message *m,
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
			release_holder(cs, c, out);
		take_holder_end(cs, c, m, out);
	}
	g_ptr_array_free(waiting, TRUE);
}

void tick_one_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		    struct claim_actions *out)
{
	bool resend = now_ms - c->sent >= CLAIM_RESEND_MS;

	if (c->phase == CLAIM_ASKING) {
		if (now_ms - c->begun >= CLAIM_WAIT_MS)
			count_claim_votes(cs, c, true, now_ms, out);
		else if (resend)
			ask_key_keepers(cs, c, now_ms, out);
	} else if (c->phase == CLAIM_FETCHING) {
		if (now_ms - c->begun >= FETCH_WAIT_MS)
			decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
		else if (resend)
			send_fetch(cs, c, now_ms, out);
	}
}
