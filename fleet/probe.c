/*
 * Pings along the links and what follows from silence. A link that does not
 * answer within ACK_MS has its connection reopened and is pinged through two
 * other members; if that fails too and it is watched, its member is suspect.
 * The suspicion spreads like any record and so reaches the member on any path
 * that is left; it refutes by raising its incarnation. Otherwise it is
 * declared dead after SUSPECT_MS.
 *
 * Cost: each instance sends FLEET_LINK_MAX pings and as many answers every
 * PROBE_MS, whatever the size of the fleet.
 */

#include "fleet/internal.h"

#define PROBE_MS 2000	  /* between two pings along one link */
#define ACK_MS 600	  /* longest wait for a direct answer */
#define INDIRECT_MS 900	  /* longest wait for an indirect one */
#define RETRY_MS 600	  /* between two pings of a failed link */
#define SUSPECT_MS 3000	  /* between suspicion and death */
#define DOUBT_MS 2000	  /* nobody heard for so long: doubt yourself */
#define DOUBT_FACTOR 3	  /* suspicion then lasts longer */
#define AVOID_MS 10000	  /* a failed link into another domain is replaced */
#define ERRAND_MS 2000	  /* a ping for another member may take so long */
#define ERRAND_MAX 64	  /* pings for others under way */
#define INDIRECT_NR 2	  /* members asked to ping a silent one */
#define CONTACT_MS 1000	  /* between two pings outside of the links */
#define CONTACT_PER_MS 50 /* the same, for each live member */

static void put_ping(struct fleet *f, const struct endpoint *to,
		     enum fleet_message_type type, uint32_t sequence,
		     uint64_t subject)
{
	struct wire_writer w;

	begin_message(&w, f, type,
		      (type == FLEET_ACK ? 2 : 1) + HEADS_FIELD_NR);
	put_uint(&w, sequence);
	if (type == FLEET_ACK)
		put_uint(&w, subject);
	put_heads(&w, f);
	end_message(f, &w, to);
}

void send_ping(struct fleet *f, const struct endpoint *to, uint32_t sequence)
{
	put_ping(f, to, FLEET_PING, sequence, 0);
}

/* Tells a member what is said of it, unless that is that it lives. */
static void confront(struct fleet *f, uint64_t id, const struct endpoint *at)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], id);

	if (rec && record_state(rec) != MEMBER_ALIVE)
		send_record(f, SET_MEMBERS, id, at);
}

static void ping_link(struct fleet *f, struct link *l)
{
	send_ping(f, &l->at, l->sequence);
	confront(f, l->id, &l->at);
}

static void ask_others(struct fleet *f, const struct link *l)
{
	size_t start = (size_t)g_rand_int_range(f->rand, 0, FLEET_LINK_MAX);
	size_t asked = 0;

	for (size_t i = 0; i < f->link_nr && asked < INDIRECT_NR; i++) {
		const struct link *o = &f->links[(start + i) % f->link_nr];
		struct wire_writer w;

		if (o->id == l->id || o->state == LINK_FAILED)
			continue;
		begin_message(&w, f, FLEET_INDIRECT, 3);
		put_uint(&w, l->sequence);
		put_uint(&w, l->id);
		put_endpoint(&w, &l->at);
		end_message(f, &w, &o->at);
		asked++;
	}
}

static void reset_link(struct fleet *f, const struct link *l)
{
	struct fleet_action *a = add_action(f, FLEET_RESET);

	a->to = l->at;
}

static void avoid_link(struct fleet *f, const struct link *l)
{
	uint64_t until = f->now + AVOID_MS;

	g_hash_table_insert(f->avoided, g_memdup2(&l->id, sizeof(l->id)),
			    g_memdup2(&until, sizeof(until)));
	f->links_stale = true;
}

static uint64_t suspect_ms(const struct fleet *f)
{
	if (f->now - f->heard > DOUBT_MS)
		return (uint64_t)SUSPECT_MS * DOUBT_FACTOR;
	return SUSPECT_MS;
}

/* Nobody reaches the member of L: suspects it, then declares it dead. */
static void judge_silence(struct fleet *f, const struct link *l)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], l->id);

	if (!rec)
		return;
	if (record_state(rec) == MEMBER_ALIVE) {
		judge_member(f, l->id, MEMBER_SUSPECT);
	} else if (record_state(rec) == MEMBER_SUSPECT &&
		   f->now - l->failed >= suspect_ms(f)) {
		judge_member(f, l->id, MEMBER_DEAD);
	}
}

/* The answer to the last step of L did not come in time. */
static void step_link(struct fleet *f, struct link *l)
{
	switch (l->state) {
	case LINK_IDLE:
		l->state = LINK_PINGED;
		l->sequence = ++f->sequence;
		l->due = f->now + ACK_MS;
		break;
	case LINK_PINGED:
		l->state = LINK_ASKED;
		l->due = f->now + INDIRECT_MS;
		reset_link(f, l);
		ask_others(f, l);
		break;
	case LINK_ASKED:
		l->state = LINK_FAILED;
		l->failed = f->now;
		l->due = f->now + RETRY_MS;
		if (!l->watched)
			avoid_link(f, l);
		break;
	case LINK_FAILED:
	default:
		l->due = f->now + RETRY_MS;
		ask_others(f, l);
		break;
	}
	if (l->state == LINK_FAILED && l->watched)
		judge_silence(f, l);
	ping_link(f, l);
}

void restart_probes(struct fleet *f)
{
	for (size_t i = 0; i < f->link_nr; i++) {
		f->links[i].state = LINK_IDLE;
		f->links[i].due = f->now;
	}
	g_array_set_size(f->errands, 0);
	g_hash_table_remove_all(f->avoided);
	f->contact = f->now;
}

static bool is_live_endpoint(const struct fleet *f, const struct endpoint *at)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(f->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint ep = member_endpoint(&ms[i]);

		if (same_endpoint(&ep, at))
			return ms[i].state == MEMBER_ALIVE ||
			       ms[i].id == f->self.id;
	}
	return false;
}

static void ping_outside(struct fleet *f, const struct endpoint *at)
{
	if (!is_live_endpoint(f, at))
		send_ping(f, at, ++f->sequence);
}

/* Pings one member that is held dead or suspect, drawn at random. */
static void ping_lost(struct fleet *f)
{
	const struct member *ms;
	const struct member *pick = NULL;
	struct endpoint at;
	guint32 seen = 0;
	size_t nr;

	ms = view_members(f->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		if (ms[i].state == MEMBER_ALIVE || ms[i].id == f->self.id)
			continue;
		seen++;
		if (!g_rand_int_range(f->rand, 0, (gint32)seen))
			pick = &ms[i];
	}
	if (!pick)
		return;
	at = member_endpoint(pick);
	send_ping(f, &at, ++f->sequence);
	confront(f, pick->id, &at);
}

static void ping_hint(struct fleet *f)
{
	guint i;

	if (!f->hints->len)
		return;
	i = (guint)g_rand_int_range(f->rand, 0, (gint32)f->hints->len);
	ping_outside(f, &g_array_index(f->hints, struct endpoint, i));
}

/*
 * Looks for members that no link leads to: those of the seeds that are not
 * known, and those held dead, who may live beyond a cut that has healed. The
 * fleet as a whole sends at most 2000 / CONTACT_PER_MS such pings a second.
 */
static void contact_others(struct fleet *f)
{
	uint64_t wait = (uint64_t)live_member_nr(f->view) * CONTACT_PER_MS;

	if (f->now < f->contact)
		return;
	if (wait < CONTACT_MS)
		wait = CONTACT_MS;
	wait += (uint64_t)g_rand_int_range(f->rand, 0, (gint32)wait / 4);
	f->contact = f->now + wait;
	if (!f->link_nr)
		for (guint i = 0; i < f->hints->len; i++)
			ping_outside(f, &g_array_index(f->hints,
						       struct endpoint, i));
	else
		ping_hint(f);
	ping_lost(f);
}

static void drop_errands(struct fleet *f)
{
	for (guint i = f->errands->len; i-- > 0;)
		if (f->now >=
		    g_array_index(f->errands, struct errand, i).expires)
			g_array_remove_index_fast(f->errands, i);
}

void tick_probes(struct fleet *f)
{
	drop_errands(f);
	for (size_t i = 0; i < f->link_nr; i++)
		if (f->now >= f->links[i].due)
			step_link(f, &f->links[i]);
	contact_others(f);
}

void on_ping(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	uint32_t sequence = (uint32_t)take_uint(r, UINT32_MAX);

	take_heads(f, from, r);
	if (r->bad || f->gone)
		return;
	put_ping(f, &from->at, FLEET_ACK, sequence, f->self.id);
	confront(f, from->id, &from->at);
}

static void pass_ack(struct fleet *f, uint32_t sequence, uint64_t subject)
{
	for (guint i = 0; i < f->errands->len; i++) {
		struct errand e = g_array_index(f->errands, struct errand, i);

		if (e.own_sequence != sequence)
			continue;
		g_array_remove_index_fast(f->errands, i);
		put_ping(f, &e.for_whom.at, FLEET_ACK, e.sequence, subject);
		return;
	}
}

void on_ack(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	uint32_t sequence = (uint32_t)take_uint(r, UINT32_MAX);
	uint64_t subject = take_uint(r, UINT64_MAX);
	bool level = take_heads(f, from, r);
	struct link *l;

	if (r->bad)
		return;
	if (level && sequence >= f->fresh)
		set_view_settled(f->view, true);
	l = find_link(f, subject);
	if (l && l->sequence == sequence) {
		l->state = LINK_IDLE;
		l->due = f->now + PROBE_MS;
	}
	pass_ack(f, sequence, subject);
	confront(f, from->id, &from->at);
}

void on_indirect(struct fleet *f, const struct sender *from,
		 struct wire_reader *r)
{
	struct errand e = { .for_whom = *from, .expires = f->now + ERRAND_MS };
	struct endpoint at;

	e.sequence = (uint32_t)take_uint(r, UINT32_MAX);
	take_uint(r, UINT64_MAX);
	take_endpoint(r, &at);
	if (r->bad || !at.family || f->errands->len >= ERRAND_MAX)
		return;
	e.own_sequence = ++f->sequence;
	g_array_append_val(f->errands, e);
	send_ping(f, &at, e.own_sequence);
}
