#include "request/claims.h"

#include <glib.h>
#include <string.h>

#include "request/claim-state.h"

static void free_claim(gpointer item)
{
	struct claim *c = item;

	if (c->answer)
		g_bytes_unref(c->answer);
	g_free(c);
}

struct claims *create_claims(const struct view *view, uint64_t incarnation,
			     bool only_member, uint64_t now_ms)
{
	struct claims *cs = g_new0(struct claims, 1);

	cs->view = view;
	cs->incarnation = incarnation;
	cs->next_number = 1;
	cs->replicas = create_key_replicas(view, only_member, now_ms);
	cs->records = create_key_records();
	cs->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   free_claim);
	cs->by_request = g_hash_table_new(NULL, NULL);
	g_queue_init(&cs->ended);
	g_queue_init(&cs->with_stored_answer);
	cs->hello_interval_ms = HELLO_INTERVAL_MIN_MS;
	return cs;
}

void destroy_claims(struct claims *cs)
{
	if (!cs)
		return;
	g_queue_clear(&cs->ended);
	g_queue_clear(&cs->with_stored_answer);
	g_hash_table_destroy(cs->by_request);
	g_hash_table_destroy(cs->claims);
	destroy_key_records(cs->records);
	destroy_key_replicas(cs->replicas);
	g_free(cs);
}

void release_claim_actions(struct claim_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->items[i].data);
	g_free(as->items);
	memset(as, 0, sizeof(*as));
}

static struct claim_action *add_claim_action(struct claim_actions *as,
					     enum claim_action_kind kind)
{
	struct claim_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->items = g_renew(struct claim_action, as->items, as->alloc);
	}
	a = &as->items[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

void send_claim_message(struct claim_actions *out, const struct endpoint *to,
			const struct claim_message *m)
{
	struct claim_action *a = add_claim_action(out, CLAIM_SEND);
	struct wire_writer w;

	init_wire_writer(&w);
	encode_claim_message(&w, m);
	a->to = *to;
	a->len = w.buf.size;
	a->data = g_memdup2(w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

uint64_t claims_self_id(const struct claims *cs)
{
	return view_self(cs->view);
}

struct endpoint claims_self_endpoint(const struct claims *cs)
{
	struct endpoint ep = { 0 };

	key_replica_endpoint(cs->replicas, claims_self_id(cs), &ep);
	return ep;
}

struct claim *find_claim(const struct claims *cs, const struct claim_id *id)
{
	if (id->owner_id != claims_self_id(cs) ||
	    id->incarnation != cs->incarnation)
		return NULL;
	return g_hash_table_lookup(cs->claims, &id->number);
}

static struct claim *find_request_claim(const struct claims *cs,
					handle_t request)
{
	return g_hash_table_lookup(cs->by_request, GUINT_TO_POINTER(request));
}

/* Sends M, which is about C, to the replicas of C other than this instance. */
static void send_to_replicas(const struct claims *cs, const struct claim *c,
			     struct claim_message *m, struct claim_actions *out)
{
	m->sender = claims_self_id(cs);
	m->key = c->request.key;
	m->claim = c->id;
	for (size_t i = 0; i < c->replicas.nr; i++) {
		struct endpoint to;

		if (c->replicas.id[i] != claims_self_id(cs) &&
		    key_replica_endpoint(cs->replicas, c->replicas.id[i], &to))
			send_claim_message(out, &to, m);
	}
}

static void remove_claim(struct claims *cs, struct claim *c)
{
	g_hash_table_remove(cs->by_request,
			    GUINT_TO_POINTER(c->request.request));
	g_hash_table_remove(cs->claims, &c->id.number);
}

void release_claim(struct claims *cs, const struct claim *c,
		   struct claim_actions *out)
{
	struct claim_message m = { .kind = CLAIM_RELEASE };

	remove_key_record(cs->records, &c->request.key, &c->id);
	send_to_replicas(cs, c, &m, out);
}

struct claim_action *decide_claim(struct claims *cs, struct claim *c,
				  enum claim_decision decision,
				  struct claim_actions *out)
{
	struct claim_action *a = add_claim_action(out, CLAIM_DECIDED);

	a->request = c->request.request;
	a->decision = decision;
	if (decision == CLAIM_WON)
		c->phase = CLAIM_RUNNING;
	else
		remove_claim(cs, c);
	return a;
}

void begin_claim(struct claims *cs, const struct claim_request *cr,
		 uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = g_new0(struct claim, 1);
	struct claim_message m = { 0 };

	c->request = *cr;
	c->id.owner_id = claims_self_id(cs);
	c->id.incarnation = cs->incarnation;
	c->id.number = cs->next_number++;
	c->phase_started_ms = now_ms;
	c->started_ms = now_ms;
	g_hash_table_insert(cs->claims, &c->id.number, c);
	g_hash_table_insert(cs->by_request, GUINT_TO_POINTER(cr->request), c);
	if (cr->key_age_ms >= KEY_LIFETIME_MS &&
	    cr->key_age_ms != KEY_AGE_UNKNOWN) {
		decide_claim(cs, c, CLAIM_HELD_UNKNOWN, out);
		return;
	}
	update_key_replicas(cs->replicas, now_ms);
	find_key_replicas(cs->replicas, &cr->key, &c->replicas);
	request_missing_votes(cs, c, now_ms, out);
	if (is_key_replica(&c->replicas, claims_self_id(cs))) {
		fill_vote_request(cs, c, &m, now_ms);
		vote_on_claim(cs, &m, now_ms);
		record_claim_vote(c, claims_self_id(cs), &m);
	}
	tally_claim_votes(cs, c, false, now_ms, out);
}

void abandon_claim(struct claims *cs, handle_t request, uint64_t now_ms,
		   struct claim_actions *out)
{
	struct claim *c = find_request_claim(cs, request);

	(void)now_ms;
	if (!c)
		return;
	release_claim(cs, c, out);
	remove_claim(cs, c);
}

void finish_claim(struct claims *cs, handle_t request, enum key_state state,
		  uint64_t body_digest, const void *answer, size_t len,
		  uint64_t now_ms, struct claim_actions *out)
{
	struct claim *c = find_request_claim(cs, request);
	struct claim_message m = { .kind = CLAIM_RESULT, .state = state };

	if (!c)
		return;
	g_hash_table_remove(cs->by_request, GUINT_TO_POINTER(request));
	c->phase = CLAIM_ENDED;
	c->state = state;
	c->body_digest = body_digest;
	c->expires_ms = now_ms + ENDED_CLAIM_LIFETIME_MS;
	g_queue_push_tail(&cs->ended, c);
	store_key_answer(cs, c, answer, len);
	m.request_digest = c->request.request_digest;
	if (is_key_replica(&c->replicas, claims_self_id(cs)))
		record_key_result(cs, &c->request.key, &c->id,
				  c->request.request_digest, state, now_ms);
	send_to_replicas(cs, c, &m, out);
}

static void handle_hello(struct claims *cs, const struct claim_message *m,
			 struct claim_actions *out)
{
	struct claim_message ack = { .kind = CLAIM_HELLO_ACK,
				     .sender = claims_self_id(cs),
				     .claim = m->claim };
	struct endpoint to = m->member.address;

	if (cs->leaving || m->member.id == claims_self_id(cs))
		return;
	add_key_replica_candidate(cs->replicas, &m->member);
	ack.candidates_digest = key_replica_candidates_digest(cs->replicas);
	to.port = m->member.peer_port;
	send_claim_message(out, &to, &ack);
}

static void handle_message(struct claims *cs, struct claim_message *m,
			   uint64_t now_ms, struct claim_actions *out)
{
	switch (m->kind) {
	case CLAIM_HELLO:
		handle_hello(cs, m, out);
		break;
	case CLAIM_HELLO_ACK:
		if (m->claim.incarnation == cs->incarnation)
			record_key_replica_ack(cs->replicas, m->sender,
					       m->candidates_digest, now_ms);
		break;
	case CLAIM_VOTE_REQUEST:
		handle_vote_request(cs, m, now_ms, out);
		break;
	case CLAIM_VOTE:
		handle_peer_vote(cs, m, now_ms, out);
		break;
	case CLAIM_RELEASE:
		remove_key_record(cs->records, &m->key, &m->claim);
		break;
	case CLAIM_RESULT:
		record_key_result(cs, &m->key, &m->claim, m->request_digest,
				  m->state, now_ms);
		break;
	case CLAIM_FETCH:
		handle_claim_fetch(cs, m, out);
		break;
	case CLAIM_FETCH_REPLY:
		handle_fetch_reply(cs, m, out);
		break;
	case CLAIM_MESSAGE_NR:
		break;
	}
}

bool handle_claim_message(struct claims *cs, const void *data, size_t len,
			  uint64_t now_ms, struct claim_actions *out)
{
	struct wire_message msg;
	struct wire_reader r;
	struct claim_message m;
	bool ok = open_wire_message(&msg, &r, data, len) &&
		  decode_claim_message(&r, &m);

	if (ok) {
		update_key_replicas(cs->replicas, now_ms);
		handle_message(cs, &m, now_ms, out);
	}
	release_wire_message(&msg);
	return ok;
}

struct hello_context {
	struct claim_message m;
	struct claim_actions *out;
};

static void send_hello(const struct endpoint *ep, void *data)
{
	struct hello_context *h = data;

	send_claim_message(h->out, ep, &h->m);
}

/* Announces this instance to the members that have not acknowledged it. */
static void send_hellos(struct claims *cs, uint64_t now_ms,
			struct claim_actions *out)
{
	struct hello_context h = { .m = { .kind = CLAIM_HELLO,
					  .sender = claims_self_id(cs) },
				   .out = out };
	const struct member *self = find_member(cs->view, claims_self_id(cs));
	uint64_t digest = key_replica_candidates_digest(cs->replicas);

	if (digest != cs->hello_candidates_digest)
		cs->hello_interval_ms = HELLO_INTERVAL_MIN_MS;
	if (!self || cs->leaving ||
	    (cs->hello_sent_ms &&
	     now_ms - cs->hello_sent_ms < cs->hello_interval_ms))
		return;
	cs->hello_candidates_digest = digest;
	cs->hello_sent_ms = MAX(now_ms, 1);
	cs->hello_interval_ms =
		MIN(2 * cs->hello_interval_ms, HELLO_INTERVAL_MAX_MS);
	h.m.claim.incarnation = cs->incarnation;
	h.m.member = *self;
	for_each_unacknowledged(cs->replicas, send_hello, &h);
}

void tick_claims(struct claims *cs, uint64_t now_ms, struct claim_actions *out)
{
	GList *open = g_hash_table_get_values(cs->by_request);

	update_key_replicas(cs->replicas, now_ms);
	send_hellos(cs, now_ms, out);
	for (GList *l = open; l; l = l->next)
		tick_one_claim(cs, l->data, now_ms, out);
	g_list_free(open);
	expire_ended_claims(cs, now_ms);
}

void leave_claims(struct claims *cs, uint64_t now_ms)
{
	cs->leaving = true;
	leave_key_replicas(cs->replicas, now_ms);
}

size_t undecided_claim_count(const struct claims *cs)
{
	GHashTableIter it;
	gpointer item;
	size_t n = 0;

	g_hash_table_iter_init(&it, cs->by_request);
	while (g_hash_table_iter_next(&it, NULL, &item))
		n += ((const struct claim *)item)->phase < CLAIM_RUNNING;
	return n;
}

size_t replicated_key_count(const struct claims *cs)
{
	return key_record_count(cs->records);
}
