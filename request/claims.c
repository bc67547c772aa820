#include "request/claims.h"

#include <glib.h>
#include <string.h>

#define HELLO_MIN_MS 250
#define HELLO_MAX_MS 32000
/* An ended claim is remembered for longer than any keeper remembers it. */
#define ENDED_LIFE_MS (3 * KEY_LIFE_MS)

enum claim_phase {
	CLAIM_ASKING,	/* for votes */
	CLAIM_FETCHING, /* the end of the claim that holds the key */
	CLAIM_RUNNING,	/* won; its request may be offered */
	CLAIM_ENDED	/* done or unknown */
};

struct ballot {
	bool voted;
	enum claim_vote vote;
	struct claim_id held;
	enum key_state state;
	uint64_t digest;
};

struct claim {
	struct claim_id id;
	struct claim_request request;
	enum claim_phase phase;
	struct keeper_group group;
	struct ballot ballots[KEEPERS_MAX];
	struct claim_id holder; /* asked while fetching */
	uint64_t begun;		/* ms, of the phase */
	uint64_t sent;
	uint64_t first_begun;
	/* once ended: */
	enum key_state state;
	uint64_t body_digest;
	GBytes *answer;
	uint64_t expires;
};

struct claims {
	const struct view *view;
	struct key_keepers *keepers;
	struct key_records *records;
	uint64_t incarnation;
	uint64_t next_number;
	bool leaving;
	GHashTable *claims;	/* number -> struct claim */
	GHashTable *by_request; /* handle -> struct claim, until ended */
	GQueue ended;		/* struct claim, by expiry */
	size_t answer_bytes;
	GQueue with_answer; /* struct claim, the oldest first */
	uint64_t hello_sent;
	uint64_t hello_gap;
	uint64_t hello_members; /* key_keepers_digest() at the last hello */
};

static void free_claim(gpointer item)
{
	struct claim *c = item;

	if (c->answer)
		g_bytes_unref(c->answer);
	g_free(c);
}

struct claims *create_claims(const struct view *view, uint64_t incarnation,
			     bool alone, uint64_t now_ms)
{
	struct claims *cs = g_new0(struct claims, 1);

	cs->view = view;
	cs->incarnation = incarnation;
	cs->next_number = 1;
	cs->keepers = create_key_keepers(view, alone, now_ms);
	cs->records = create_key_records();
	cs->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   free_claim);
	cs->by_request = g_hash_table_new(NULL, NULL);
	g_queue_init(&cs->ended);
	g_queue_init(&cs->with_answer);
	cs->hello_gap = HELLO_MIN_MS;
	return cs;
}

void destroy_claims(struct claims *cs)
{
	if (!cs)
		return;
	g_queue_clear(&cs->ended);
	g_queue_clear(&cs->with_answer);
	g_hash_table_destroy(cs->by_request);
	g_hash_table_destroy(cs->claims);
	destroy_key_records(cs->records);
	destroy_key_keepers(cs->keepers);
	g_free(cs);
}

void release_claim_actions(struct claim_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->at[i].data);
	g_free(as->at);
	memset(as, 0, sizeof(*as));
}

static struct claim_action *add_action(struct claim_actions *as,
				       enum claim_action_kind kind)
{
	struct claim_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->at = g_renew(struct claim_action, as->at, as->alloc);
	}
	a = &as->at[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

static void send_to(struct claim_actions *out, const struct endpoint *to,
		    const struct claim_message *m)
{
	struct claim_action *a = add_action(out, CLAIM_SEND);
	struct wire_writer w;

	init_wire_writer(&w);
	encode_claim_message(&w, m);
	a->to = *to;
	a->len = w.buf.size;
	a->data = g_memdup2(w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

static uint64_t self_id(const struct claims *cs)
{
	return view_self(cs->view);
}

static struct endpoint self_endpoint(const struct claims *cs)
{
	struct endpoint ep = { 0 };

	keeper_endpoint(cs->keepers, self_id(cs), &ep);
	return ep;
}

static struct claim *find_claim(const struct claims *cs,
				const struct claim_id *id)
{
	if (id->owner != self_id(cs) || id->incarnation != cs->incarnation)
		return NULL;
	return g_hash_table_lookup(cs->claims, &id->number);
}

static struct claim *claim_of(const struct claims *cs, handle_t request)
{
	return g_hash_table_lookup(cs->by_request, GUINT_TO_POINTER(request));
}

/* Sends M, which is about C, to the keepers of C but not to this instance. */
static void send_to_group(const struct claims *cs, const struct claim *c,
			  struct claim_message *m, struct claim_actions *out)
{
	m->sender = self_id(cs);
	m->key = c->request.key;
	m->claim = c->id;
	for (size_t i = 0; i < c->group.nr; i++) {
		struct endpoint to;

		if (c->group.id[i] != self_id(cs) &&
		    keeper_endpoint(cs->keepers, c->group.id[i], &to))
			send_to(out, &to, m);
	}
}

static void remove_claim(struct claims *cs, struct claim *c)
{
	g_hash_table_remove(cs->by_request,
			    GUINT_TO_POINTER(c->request.request));
	g_hash_table_remove(cs->claims, &c->id.number);
}

/* Takes back what the keepers recorded of C, which never runs. */
static void release_claim(struct claims *cs, const struct claim *c,
			  struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_RELEASE };

	remove_key_record(cs->records, &c->request.key, &c->id);
	send_to_group(cs, c, &m, out);
}

static struct claim_action *decide(struct claims *cs, struct claim *c,
				   enum claim_end end,
				   struct claim_actions *out)
{
	struct claim_action *a = add_action(out, CLAIM_DECIDED);

	a->request = c->request.request;
	a->end = end;
	if (end == CLAIM_WON)
		c->phase = CLAIM_RUNNING;
	else
		remove_claim(cs, c);
	return a;
}

static void take_holder_end(struct claims *cs, struct claim *c,
			    const struct claim_message *m,
			    struct claim_actions *out)
{
	struct claim_action *a;

	if (!m->found) {
		decide(cs, c, CLAIM_FAILED, out);
		return;
	}
	switch (m->state) {
	case KEY_OPEN:
		decide(cs, c, CLAIM_HELD_OPEN, out);
		break;
	case KEY_DONE:
		a = decide(cs, c, CLAIM_HELD_DONE, out);
		a->body_digest = m->body_digest;
		a->len = m->answer ? m->answer_len : 0;
		a->data = m->answer ? g_memdup2(m->answer, a->len) : NULL;
		break;
	default:
		decide(cs, c, CLAIM_HELD_UNKNOWN, out);
		break;
	}
}

/* Fills M with how this instance's claim ID ended. */
static void tell_end(const struct claims *cs, const struct claim_id *id,
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
				   .sender = self_id(cs),
				   .key = c->request.key,
				   .claim = c->holder,
				   .reply_to = self_endpoint(cs) };
	struct endpoint to;

	c->sent = now_ms;
	if (keeper_endpoint(cs->keepers, c->holder.owner, &to))
		send_to(out, &to, &m);
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
	if (holder->owner != self_id(cs)) {
		send_fetch(cs, c, now_ms, out);
		return;
	}
	tell_end(cs, holder, &m);
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
		decide(cs, c, CLAIM_FAILED, out);
	else if (held->digest != c->request.digest)
		decide(cs, c, CLAIM_KEY_REUSED, out);
	else if (held->state == KEY_UNKNOWN)
		decide(cs, c, CLAIM_HELD_UNKNOWN, out);
	else
		start_fetch(cs, c, &held->held, now_ms, out);
}

/* Decides C if its votes allow it; FINAL: no more are waited for. */
static void count_votes(struct claims *cs, struct claim *c, bool final,
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
		decide(cs, c, CLAIM_WON, out);
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

/* Fills M with this instance's vote on the claim that M asks for. */
static void vote(struct claims *cs, struct claim_message *m, uint64_t now_ms)
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

static void take_vote(struct claim *c, uint64_t voter,
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

static void fill_ask(const struct claims *cs, const struct claim *c,
		     struct claim_message *m, uint64_t now_ms)
{
	m->kind = CLAIM_ASK;
	m->sender = self_id(cs);
	m->key = c->request.key;
	m->claim = c->id;
	m->reply_to = self_endpoint(cs);
	m->digest = c->request.digest;
	m->age_ms = needed_age(c, now_ms);
	m->group = c->group;
}

/* Asks the keepers that have not voted. */
static void ask_keepers(struct claims *cs, struct claim *c, uint64_t now_ms,
			struct claim_actions *out)
{
	struct claim_message m = { 0 };

	fill_ask(cs, c, &m, now_ms);
	c->sent = now_ms;
	for (size_t i = 0; i < c->group.nr; i++) {
		struct endpoint to;

		if (!c->ballots[i].voted && c->group.id[i] != self_id(cs) &&
		    keeper_endpoint(cs->keepers, c->group.id[i], &to))
			send_to(out, &to, &m);
	}
}

void begin_claim(struct claims *cs, const struct claim_request *cr,
		 uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = g_new0(struct claim, 1);
	struct claim_message m = { 0 };

	c->request = *cr;
	c->id.owner = self_id(cs);
	c->id.incarnation = cs->incarnation;
	c->id.number = cs->next_number++;
	c->begun = now_ms;
	c->first_begun = now_ms;
	g_hash_table_insert(cs->claims, &c->id.number, c);
	g_hash_table_insert(cs->by_request, GUINT_TO_POINTER(cr->request), c);
	if (cr->age_ms >= KEY_LIFE_MS && cr->age_ms != KEY_AGE_UNKNOWN) {
		decide(cs, c, CLAIM_HELD_UNKNOWN, out);
		return;
	}
	update_key_keepers(cs->keepers, now_ms);
	find_key_keepers(cs->keepers, &cr->key, &c->group);
	ask_keepers(cs, c, now_ms, out);
	if (is_key_keeper(&c->group, self_id(cs))) {
		fill_ask(cs, c, &m, now_ms);
		vote(cs, &m, now_ms);
		take_vote(c, self_id(cs), &m);
	}
	count_votes(cs, c, false, now_ms, out);
}

void drop_claim(struct claims *cs, handle_t request, uint64_t now_ms,
		struct claim_actions *out)
{
	struct claim *c = claim_of(cs, request);

	(void)now_ms;
	if (!c)
		return;
	release_claim(cs, c, out);
	remove_claim(cs, c);
}

/* Drops the oldest kept answers until the rest fits. */
static void bound_answers(struct claims *cs)
{
	while (cs->answer_bytes > KEPT_ANSWERS_MAX) {
		struct claim *c = g_queue_pop_head(&cs->with_answer);

		cs->answer_bytes -= g_bytes_get_size(c->answer);
		g_bytes_unref(c->answer);
		c->answer = NULL;
	}
}

static void keep_answer(struct claims *cs, struct claim *c, const void *answer,
			size_t len)
{
	if (!answer || !len || len > KEPT_ANSWER_MAX)
		return;
	c->answer = g_bytes_new(answer, len);
	cs->answer_bytes += len;
	g_queue_push_tail(&cs->with_answer, c);
	bound_answers(cs);
}

static void record_result(struct claims *cs, const struct request_key *key,
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

void end_claim(struct claims *cs, handle_t request, enum key_state state,
	       uint64_t body_digest, const void *answer, size_t len,
	       uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = claim_of(cs, request);
	struct claim_message m = { .kind = CLAIM_RESULT, .state = state };

	if (!c)
		return;
	g_hash_table_remove(cs->by_request, GUINT_TO_POINTER(request));
	c->phase = CLAIM_ENDED;
	c->state = state;
	c->body_digest = body_digest;
	c->expires = now_ms + ENDED_LIFE_MS;
	g_queue_push_tail(&cs->ended, c);
	keep_answer(cs, c, answer, len);
	m.digest = c->request.digest;
	if (is_key_keeper(&c->group, self_id(cs)))
		record_result(cs, &c->request.key, &c->id, c->request.digest,
			      state, now_ms);
	send_to_group(cs, c, &m, out);
}

static void take_hello(struct claims *cs, const struct claim_message *m,
		       struct claim_actions *out)
{
	struct claim_message ack = { .kind = CLAIM_HELLO_ACK,
				     .sender = self_id(cs),
				     .claim = m->claim };
	struct endpoint to = m->member.address;

	if (cs->leaving || m->member.id == self_id(cs))
		return;
	note_keeper(cs->keepers, &m->member);
	ack.members = key_keepers_digest(cs->keepers);
	to.port = m->member.peer_port;
	send_to(out, &to, &ack);
}

static void answer_ask(struct claims *cs, struct claim_message *m,
		       uint64_t now_ms, struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	vote(cs, m, now_ms);
	m->kind = CLAIM_VOTE;
	m->sender = self_id(cs);
	send_to(out, &to, m);
}

static void take_peer_vote(struct claims *cs, const struct claim_message *m,
			   uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = find_claim(cs, &m->claim);

	if (c && c->phase == CLAIM_ASKING) {
		take_vote(c, m->sender, m);
		count_votes(cs, c, false, now_ms, out);
	}
}

static void answer_fetch(const struct claims *cs, struct claim_message *m,
			 struct claim_actions *out)
{
	struct endpoint to = m->reply_to;

	tell_end(cs, &m->claim, m);
	m->kind = CLAIM_FETCHED;
	m->sender = self_id(cs);
	send_to(out, &to, m);
}

static void take_fetched(struct claims *cs, const struct claim_message *m,
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

static void take_message(struct claims *cs, struct claim_message *m,
			 uint64_t now_ms, struct claim_actions *out)
{
	switch (m->kind) {
	case CLAIM_HELLO:
		take_hello(cs, m, out);
		break;
	case CLAIM_HELLO_ACK:
		if (m->claim.incarnation == cs->incarnation)
			note_keeper_ack(cs->keepers, m->sender, m->members,
					now_ms);
		break;
	case CLAIM_ASK:
		answer_ask(cs, m, now_ms, out);
		break;
	case CLAIM_VOTE:
		take_peer_vote(cs, m, now_ms, out);
		break;
	case CLAIM_RELEASE:
		remove_key_record(cs->records, &m->key, &m->claim);
		break;
	case CLAIM_RESULT:
		record_result(cs, &m->key, &m->claim, m->digest, m->state,
			      now_ms);
		break;
	case CLAIM_FETCH:
		answer_fetch(cs, m, out);
		break;
	case CLAIM_FETCHED:
		take_fetched(cs, m, out);
		break;
	case CLAIM_MESSAGE_NR:
		break;
	}
}

bool take_claim_message(struct claims *cs, const void *data, size_t len,
			uint64_t now_ms, struct claim_actions *out)
{
	struct wire_message msg;
	struct wire_reader r;
	struct claim_message m;
	bool ok =
		open_wire(&msg, &r, data, len) && decode_claim_message(&r, &m);

	if (ok) {
		update_key_keepers(cs->keepers, now_ms);
		take_message(cs, &m, now_ms, out);
	}
	release_wire(&msg);
	return ok;
}

struct hello {
	struct claim_message m;
	struct claim_actions *out;
};

static void send_hello(const struct endpoint *ep, void *data)
{
	struct hello *h = data;

	send_to(h->out, ep, &h->m);
}

/* Makes this instance known to the members that have not acknowledged it. */
static void say_hello(struct claims *cs, uint64_t now_ms,
		      struct claim_actions *out)
{
	struct hello h = { .m = { .kind = CLAIM_HELLO, .sender = self_id(cs) },
			   .out = out };
	const struct member *self = find_member(cs->view, self_id(cs));
	uint64_t members = key_keepers_digest(cs->keepers);

	if (members != cs->hello_members)
		cs->hello_gap = HELLO_MIN_MS;
	if (!self || cs->leaving ||
	    (cs->hello_sent && now_ms - cs->hello_sent < cs->hello_gap))
		return;
	cs->hello_members = members;
	cs->hello_sent = MAX(now_ms, 1);
	cs->hello_gap = MIN(2 * cs->hello_gap, HELLO_MAX_MS);
	h.m.claim.incarnation = cs->incarnation;
	h.m.member = *self;
	each_unacknowledged(cs->keepers, send_hello, &h);
}

static void tick_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		       struct claim_actions *out)
{
	bool resend = now_ms - c->sent >= CLAIM_RESEND_MS;

	if (c->phase == CLAIM_ASKING) {
		if (now_ms - c->begun >= CLAIM_WAIT_MS)
			count_votes(cs, c, true, now_ms, out);
		else if (resend)
			ask_keepers(cs, c, now_ms, out);
	} else if (c->phase == CLAIM_FETCHING) {
		if (now_ms - c->begun >= FETCH_WAIT_MS)
			decide(cs, c, CLAIM_HELD_UNKNOWN, out);
		else if (resend)
			send_fetch(cs, c, now_ms, out);
	}
}

static void forget_ended(struct claims *cs, uint64_t now_ms)
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

void tick_claims(struct claims *cs, uint64_t now_ms, struct claim_actions *out)
{
	GList *open = g_hash_table_get_values(cs->by_request);

	update_key_keepers(cs->keepers, now_ms);
	say_hello(cs, now_ms, out);
	for (GList *l = open; l; l = l->next)
		tick_claim(cs, l->data, now_ms, out);
	g_list_free(open);
	forget_ended(cs, now_ms);
}

void leave_claims(struct claims *cs, uint64_t now_ms)
{
	cs->leaving = true;
	leave_key_keepers(cs->keepers, now_ms);
}

size_t undecided_claim_nr(const struct claims *cs)
{
	GHashTableIter it;
	gpointer item;
	size_t n = 0;

	g_hash_table_iter_init(&it, cs->by_request);
	while (g_hash_table_iter_next(&it, NULL, &item))
		n += ((const struct claim *)item)->phase < CLAIM_RUNNING;
	return n;
}

size_t kept_key_nr(const struct claims *cs)
{
	return key_record_nr(cs->records);
}
