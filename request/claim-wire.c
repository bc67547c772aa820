#include "request/claim-wire.h"

#include <string.h>

static void write_key(struct wire_writer *w, const struct request_key *key)
{
	write_uint(w, key->hi);
	write_uint(w, key->lo);
}

static void read_key(struct wire_reader *r, struct request_key *key)
{
	key->hi = read_uint(r, UINT64_MAX);
	key->lo = read_uint(r, UINT64_MAX);
}

static void write_claim(struct wire_writer *w, const struct claim_id *c)
{
	write_uint(w, c->owner_id);
	write_uint(w, c->incarnation);
	write_uint(w, c->number);
}

static void read_claim(struct wire_reader *r, struct claim_id *c)
{
	c->owner_id = read_uint(r, UINT64_MAX);
	c->incarnation = read_uint(r, UINT64_MAX);
	c->number = read_uint(r, UINT64_MAX);
}

static void write_member(struct wire_writer *w, const struct member *m)
{
	write_uint(w, m->id);
	write_str(w, m->name);
	write_str(w, m->domain);
	write_endpoint(w, &m->address);
	write_uint(w, m->peer_port);
}

static void read_member(struct wire_reader *r, struct member *m)
{
	m->id = read_uint(r, UINT64_MAX);
	read_str(r, m->name, sizeof(m->name));
	read_str(r, m->domain, sizeof(m->domain));
	read_endpoint(r, &m->address);
	m->peer_port = (uint16_t)read_uint(r, UINT16_MAX);
	m->state = MEMBER_ALIVE;
}

static void write_replica_group(struct wire_writer *w,
				const struct key_replica_group *g)
{
	write_array(w, g->nr);
	for (size_t i = 0; i < g->nr; i++)
		write_uint(w, g->id[i]);
}

static void read_replica_group(struct wire_reader *r,
			       struct key_replica_group *g)
{
	struct wire_reader sub;

	g->nr = read_array(r, &sub);
	if (r->malformed || g->nr > KEY_REPLICAS_MAX) {
		g->nr = 0;
		r->malformed = true;
		return;
	}
	for (size_t i = 0; i < g->nr; i++)
		g->id[i] = read_uint(&sub, UINT64_MAX);
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
	write_array(w, COMMON_FIELD_COUNT + kind_field_count(m->kind));
	write_uint(w, m->kind);
	write_uint(w, m->sender);
	write_key(w, &m->key);
	write_claim(w, &m->claim);
	switch (m->kind) {
	case CLAIM_HELLO:
		write_member(w, &m->member);
		break;
	case CLAIM_HELLO_ACK:
		write_uint(w, m->candidates_digest);
		break;
	case CLAIM_VOTE_REQUEST:
		write_endpoint(w, &m->reply_to);
		write_uint(w, m->request_digest);
		write_uint(w, m->required_history_ms);
		write_replica_group(w, &m->replicas);
		break;
	case CLAIM_VOTE:
		write_uint(w, m->vote | (uint64_t)m->state << 8);
		write_claim(w, &m->held_by);
		write_uint(w, m->request_digest);
		break;
	case CLAIM_RESULT:
		write_uint(w, m->state);
		write_uint(w, m->request_digest);
		break;
	case CLAIM_FETCH:
		write_endpoint(w, &m->reply_to);
		break;
	case CLAIM_FETCH_REPLY:
		write_bool(w, m->found);
		write_uint(w, m->state);
		write_uint(w, m->body_digest);
		write_bin(w, m->answer ? m->answer : "",
			  m->answer ? m->answer_len : 0);
		break;
	case CLAIM_RELEASE:
	case CLAIM_MESSAGE_NR:
		break;
	}
}

static void read_vote(struct wire_reader *r, struct claim_message *m)
{
	uint64_t both = read_uint(r, UINT16_MAX);

	m->vote = (enum claim_vote)(both & 0xff);
	m->state = (enum key_state)(both >> 8);
	r->malformed |= m->vote >= VOTE_NR || m->state >= KEY_STATE_NR;
	read_claim(r, &m->held_by);
	m->request_digest = read_uint(r, UINT64_MAX);
}

static void read_fetch_reply(struct wire_reader *r, struct claim_message *m)
{
	m->found = read_bool(r);
	m->state = (enum key_state)read_uint(r, KEY_STATE_NR - 1);
	m->body_digest = read_uint(r, UINT64_MAX);
	m->answer_len = read_bin(r, &m->answer);
	if (!m->answer_len)
		m->answer = NULL;
	r->malformed |= m->answer_len > STORED_ANSWER_MAX_BYTES;
}

bool decode_claim_message(struct wire_reader *r, struct claim_message *m)
{
	memset(m, 0, sizeof(*m));
	m->kind = (enum claim_message_kind)read_uint(r, CLAIM_MESSAGE_NR - 1);
	m->sender = read_uint(r, UINT64_MAX);
	read_key(r, &m->key);
	read_claim(r, &m->claim);
	if (r->malformed || r->remaining != kind_field_count(m->kind))
		return false;
	switch (m->kind) {
	case CLAIM_HELLO:
		read_member(r, &m->member);
		break;
	case CLAIM_HELLO_ACK:
		m->candidates_digest = read_uint(r, UINT64_MAX);
		break;
	case CLAIM_VOTE_REQUEST:
		read_endpoint(r, &m->reply_to);
		m->request_digest = read_uint(r, UINT64_MAX);
		m->required_history_ms = read_uint(r, UINT64_MAX);
		read_replica_group(r, &m->replicas);
		break;
	case CLAIM_VOTE:
		read_vote(r, m);
		break;
	case CLAIM_RESULT:
		m->state = (enum key_state)read_uint(r, KEY_STATE_NR - 1);
		m->request_digest = read_uint(r, UINT64_MAX);
		break;
	case CLAIM_FETCH:
		read_endpoint(r, &m->reply_to);
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
