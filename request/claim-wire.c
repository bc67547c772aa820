#include "request/claim-wire.h"

#include <string.h>

static void write_key(struct wire_writer *w, const struct request_key *key)
{
	put_uint(w, key->hi);
	put_uint(w, key->lo);
}

static void read_key(struct wire_reader *r, struct request_key *key)
{
	key->hi = take_uint(r, UINT64_MAX);
	key->lo = take_uint(r, UINT64_MAX);
}

static void write_claim(struct wire_writer *w, const struct claim_id *c)
{
	put_uint(w, c->owner_id);
	put_uint(w, c->incarnation);
	put_uint(w, c->number);
}

static void read_claim(struct wire_reader *r, struct claim_id *c)
{
	c->owner_id = take_uint(r, UINT64_MAX);
	c->incarnation = take_uint(r, UINT64_MAX);
	c->number = take_uint(r, UINT64_MAX);
}

static void write_member(struct wire_writer *w, const struct member *m)
{
	put_uint(w, m->id);
	put_str(w, m->name);
	put_str(w, m->domain);
	put_endpoint(w, &m->address);
	put_uint(w, m->peer_port);
}

static void read_member(struct wire_reader *r, struct member *m)
{
	m->id = take_uint(r, UINT64_MAX);
	take_str(r, m->name, sizeof(m->name));
	take_str(r, m->domain, sizeof(m->domain));
	take_endpoint(r, &m->address);
	m->peer_port = (uint16_t)take_uint(r, UINT16_MAX);
	m->state = MEMBER_ALIVE;
}

static void write_replica_group(struct wire_writer *w,
				const struct key_replica_group *g)
{
	put_array(w, g->nr);
	for (size_t i = 0; i < g->nr; i++)
		put_uint(w, g->id[i]);
}

static void read_replica_group(struct wire_reader *r,
			       struct key_replica_group *g)
{
	struct wire_reader sub;

	g->nr = take_array(r, &sub);
	if (r->malformed || g->nr > KEY_REPLICAS_MAX) {
		g->nr = 0;
		r->malformed = true;
		return;
	}
	for (size_t i = 0; i < g->nr; i++)
		g->id[i] = take_uint(&sub, UINT64_MAX);
	r->malformed |= sub.malformed;
}

/* Elements of a message after its kind, sender, key and claim. */
static size_t kind_field_count(enum claim_message_kind kind)
{
	static const size_t nr[CLAIM_MESSAGE_NR] = { 5, 1, 4, 5, 0, 2, 1, 4 };

	return nr[kind];
}

#define COMMON_FIELD_COUNT 7

void encode_claim_message(struct wire_writer *w, const struct claim_message *m)
{
	put_array(w, COMMON_FIELD_COUNT + kind_field_count(m->kind));
	put_uint(w, m->kind);
	put_uint(w, m->sender);
	write_key(w, &m->key);
	write_claim(w, &m->claim);
	switch (m->kind) {
	case CLAIM_HELLO:
		write_member(w, &m->member);
		break;
	case CLAIM_HELLO_ACK:
		put_uint(w, m->candidates_digest);
		break;
	case CLAIM_VOTE_REQUEST:
		put_endpoint(w, &m->reply_to);
		put_uint(w, m->request_digest);
		put_uint(w, m->required_history_ms);
		write_replica_group(w, &m->replicas);
		break;
	case CLAIM_VOTE:
		put_uint(w, m->vote | (uint64_t)m->state << 8);
		write_claim(w, &m->held_by);
		put_uint(w, m->request_digest);
		break;
	case CLAIM_RESULT:
		put_uint(w, m->state);
		put_uint(w, m->request_digest);
		break;
	case CLAIM_FETCH:
		put_endpoint(w, &m->reply_to);
		break;
	case CLAIM_FETCH_REPLY:
		put_bool(w, m->found);
		put_uint(w, m->state);
		put_uint(w, m->body_digest);
		put_bin(w, m->answer ? m->answer : "",
			m->answer ? m->answer_len : 0);
		break;
	case CLAIM_RELEASE:
	case CLAIM_MESSAGE_NR:
		break;
	}
}

static void read_vote(struct wire_reader *r, struct claim_message *m)
{
	uint64_t both = take_uint(r, UINT16_MAX);

	m->vote = (enum claim_vote)(both & 0xff);
	m->state = (enum key_state)(both >> 8);
	r->malformed |= m->vote >= VOTE_NR || m->state >= KEY_STATE_NR;
	read_claim(r, &m->held_by);
	m->request_digest = take_uint(r, UINT64_MAX);
}

static void read_fetch_reply(struct wire_reader *r, struct claim_message *m)
{
	m->found = take_bool(r);
	m->state = (enum key_state)take_uint(r, KEY_STATE_NR - 1);
	m->body_digest = take_uint(r, UINT64_MAX);
	m->answer_len = take_bin(r, &m->answer);
	if (!m->answer_len)
		m->answer = NULL;
	r->malformed |= m->answer_len > KEPT_ANSWER_MAX;
}

bool decode_claim_message(struct wire_reader *r, struct claim_message *m)
{
	memset(m, 0, sizeof(*m));
	m->kind = (enum claim_message_kind)take_uint(r, CLAIM_MESSAGE_NR - 1);
	m->sender = take_uint(r, UINT64_MAX);
	read_key(r, &m->key);
	read_claim(r, &m->claim);
	if (r->malformed || r->remaining != kind_field_count(m->kind))
		return false;
	switch (m->kind) {
	case CLAIM_HELLO:
		read_member(r, &m->member);
		break;
	case CLAIM_HELLO_ACK:
		m->candidates_digest = take_uint(r, UINT64_MAX);
		break;
	case CLAIM_VOTE_REQUEST:
		take_endpoint(r, &m->reply_to);
		m->request_digest = take_uint(r, UINT64_MAX);
		m->required_history_ms = take_uint(r, UINT64_MAX);
		read_replica_group(r, &m->replicas);
		break;
	case CLAIM_VOTE:
		read_vote(r, m);
		break;
	case CLAIM_RESULT:
		m->state = (enum key_state)take_uint(r, KEY_STATE_NR - 1);
		m->request_digest = take_uint(r, UINT64_MAX);
		break;
	case CLAIM_FETCH:
		take_endpoint(r, &m->reply_to);
		break;
	case CLAIM_FETCH_REPLY:
		read_fetch_reply(r, m);
		break;
	case CLAIM_RELEASE:
	case CLAIM_MESSAGE_NR:
		break;
	}
	return !r->malformed;
}
