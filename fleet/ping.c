/*
 * Pings along the links, and failure detection. If a linked member does not
 * answer within PING_TIMEOUT_MS, its connection is reopened and it is pinged
 * through two other members. If these get no answer either and the link is a
 * watched one, its member becomes suspect. The suspicion spreads like any
 * record and so reaches the member on any path that is left; the member refutes
 * it by raising its incarnation. If it does not, it is declared dead after
 * SUSPECT_TO_DEAD_MS.
 *
 * Cost: each instance sends FLEET_LINK_MAX pings and as many answers every
 * LINK_PING_MS, whatever the size of the fleet.
 */

#include "fleet/internal.h"

#define LINK_PING_MS 2000	/* between two pings along one link */
#define PING_TIMEOUT_MS 600	/* timeout of a direct ping */
#define RELAY_TIMEOUT_MS 900	/* timeout of relayed pings */
#define FAILED_PING_MS 600	/* between two pings of a failed link */
#define SUSPECT_TO_DEAD_MS 3000 /* from suspicion to death */

/*
 * An instance that received nothing for ISOLATED_MS may be isolated itself. It
 * waits ISOLATED_SUSPECT_FACTOR times SUSPECT_TO_DEAD_MS before it declares a
 * member dead.
 */
#define ISOLATED_MS 2000
#define ISOLATED_SUSPECT_FACTOR 3

#define AVOID_LINK_MS 10000  /* a failed cross link is avoided */
#define RELAYED_PING_MS 2000 /* timeout of a ping relayed for another member */
#define RELAYED_PINGS_MAX 64 /* concurrent pings relayed for others */
#define PING_RELAYS 2	     /* members that relay pings to a silent one */

/*
 * Interval of pings outside of the links: SEARCH_PER_MEMBER_MS for each live
 * member, but at least SEARCH_MIN_MS.
 */
#define SEARCH_MIN_MS 1000
#define SEARCH_PER_MEMBER_MS 50

static void write_ping(struct fleet *f, const struct endpoint *to,
		       enum fleet_message_type type, uint32_t sequence,
		       uint64_t subject)
{
	struct wire_writer w;

	begin_message(&w, f, type,
		      (type == FLEET_ACK ? 2 : 1) + SUMMARY_FIELD_NR);
	write_uint(&w, sequence);
	if (type == FLEET_ACK)
		write_uint(&w, subject);
	write_summary(&w, f);
	end_message(f, &w, to);
}

void send_ping(struct fleet *f, const struct endpoint *to, uint32_t sequence)
{
	write_ping(f, to, FLEET_PING, sequence, 0);
}

/* Sends member ID its record unless that says alive, for ID to refute it. */
static void send_subject_its_record(struct fleet *f, uint64_t id,
				    const struct endpoint *at)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], id);

	if (rec && record_state(rec) != MEMBER_ALIVE)
		send_record(f, SET_MEMBERS, id, at);
}

static void ping_link(struct fleet *f, struct link *l)
{
	send_ping(f, &l->address, l->sequence);
	send_subject_its_record(f, l->id, &l->address);
}

static void request_relayed_pings(struct fleet *f, const struct link *l)
{
	size_t start = (size_t)g_rand_int_range(f->rand, 0, FLEET_LINK_MAX);
	size_t relay_count = 0;

	for (size_t i = 0; i < f->link_nr && relay_count < PING_RELAYS; i++) {
		const struct link *relay = &f->links[(start + i) % f->link_nr];
		struct wire_writer w;

		if (relay->id == l->id || relay->state == LINK_FAILED)
			continue;
		begin_message(&w, f, FLEET_INDIRECT, 3);
		write_uint(&w, l->sequence);
		write_uint(&w, l->id);
		write_endpoint(&w, &l->address);
		end_message(f, &w, &relay->address);
		relay_count++;
	}
}

static void reset_link(struct fleet *f, const struct link *l)
{
	struct fleet_action *a = add_action(f, FLEET_RESET);

	a->to = l->address;
}

static void avoid_link(struct fleet *f, const struct link *l)
{
	uint64_t until = f->now_ms + AVOID_LINK_MS;

	g_hash_table_insert(f->avoided_until, g_memdup2(&l->id, sizeof(l->id)),
			    g_memdup2(&until, sizeof(until)));
	f->links_stale = true;
}

static uint64_t suspect_to_dead_ms(const struct fleet *f)
{
	if (f->now_ms - f->last_message_ms > ISOLATED_MS)
		return (uint64_t)SUSPECT_TO_DEAD_MS * ISOLATED_SUSPECT_FACTOR;
	return SUSPECT_TO_DEAD_MS;
}

/* Marks the unreachable member of L as suspect, and later as dead. */
static void escalate_silence(struct fleet *f, const struct link *l)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], l->id);

	if (!rec)
		return;
	if (record_state(rec) == MEMBER_ALIVE) {
		publish_member_state(f, l->id, MEMBER_SUSPECT);
	} else if (record_state(rec) == MEMBER_SUSPECT &&
		   f->now_ms - l->failed_at_ms >= suspect_to_dead_ms(f)) {
		publish_member_state(f, l->id, MEMBER_DEAD);
	}
}

/* Moves L to its next step, as the last one timed out or a ping is due. */
static void advance_link(struct fleet *f, struct link *l)
{
	switch (l->state) {
	case LINK_IDLE:
		l->state = LINK_PINGED;
		l->sequence = ++f->last_sequence;
		l->due_at_ms = f->now_ms + PING_TIMEOUT_MS;
		break;
	case LINK_PINGED:
		l->state = LINK_RELAYED;
		l->due_at_ms = f->now_ms + RELAY_TIMEOUT_MS;
		reset_link(f, l);
		request_relayed_pings(f, l);
		break;
	case LINK_RELAYED:
		l->state = LINK_FAILED;
		l->failed_at_ms = f->now_ms;
		l->due_at_ms = f->now_ms + FAILED_PING_MS;
		if (!l->watched)
			avoid_link(f, l);
		break;
	case LINK_FAILED:
	default:
		l->due_at_ms = f->now_ms + FAILED_PING_MS;
		request_relayed_pings(f, l);
		break;
	}
	if (l->state == LINK_FAILED && l->watched)
		escalate_silence(f, l);
	ping_link(f, l);
}

void restart_pings(struct fleet *f)
{
	for (size_t i = 0; i < f->link_nr; i++) {
		f->links[i].state = LINK_IDLE;
		f->links[i].due_at_ms = f->now_ms;
	}
	g_array_set_size(f->relayed_pings, 0);
	g_hash_table_remove_all(f->avoided_until);
	f->next_search_ms = f->now_ms;
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

static void ping_if_not_live(struct fleet *f, const struct endpoint *at)
{
	if (!is_live_endpoint(f, at))
		send_ping(f, at, ++f->last_sequence);
}

/* Pings one random member that is not alive in the view. */
static void ping_random_dead(struct fleet *f)
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
	send_ping(f, &at, ++f->last_sequence);
	send_subject_its_record(f, pick->id, &at);
}

static void ping_random_known_endpoint(struct fleet *f)
{
	guint i;

	if (!f->known_endpoints->len)
		return;
	i = (guint)g_rand_int_range(f->rand, 0,
				    (gint32)f->known_endpoints->len);
	ping_if_not_live(
		f, &g_array_index(f->known_endpoints, struct endpoint, i));
}

/*
 * Pings members that no link leads to: unknown ones at seeds, and dead ones,
 * which may be alive behind a partition that has healed. The whole fleet sends
 * at most 2000 / SEARCH_PER_MEMBER_MS such pings per second.
 */
static void search_members(struct fleet *f)
{
	uint64_t wait =
		(uint64_t)live_member_count(f->view) * SEARCH_PER_MEMBER_MS;

	if (f->now_ms < f->next_search_ms)
		return;
	if (wait < SEARCH_MIN_MS)
		wait = SEARCH_MIN_MS;
	wait += (uint64_t)g_rand_int_range(f->rand, 0, (gint32)wait / 4);
	f->next_search_ms = f->now_ms + wait;
	if (!f->link_nr)
		for (guint i = 0; i < f->known_endpoints->len; i++)
			ping_if_not_live(f, &g_array_index(f->known_endpoints,
							   struct endpoint, i));
	else
		ping_random_known_endpoint(f);
	ping_random_dead(f);
}

static void expire_relayed_pings(struct fleet *f)
{
	for (guint i = f->relayed_pings->len; i-- > 0;)
		if (f->now_ms >=
		    g_array_index(f->relayed_pings, struct relayed_ping, i)
			    .expires_at_ms)
			g_array_remove_index_fast(f->relayed_pings, i);
}

void tick_pings(struct fleet *f)
{
	expire_relayed_pings(f);
	for (size_t i = 0; i < f->link_nr; i++)
		if (f->now_ms >= f->links[i].due_at_ms)
			advance_link(f, &f->links[i]);
	search_members(f);
}

void on_ping(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	uint32_t sequence = (uint32_t)read_uint(r, UINT32_MAX);

	read_summary(f, from, r);
	if (r->malformed || f->gone_announced)
		return;
	write_ping(f, &from->endpoint, FLEET_ACK, sequence, f->self.id);
	send_subject_its_record(f, from->id, &from->endpoint);
}

static void relay_ack(struct fleet *f, uint32_t sequence, uint64_t subject)
{
	for (guint i = 0; i < f->relayed_pings->len; i++) {
		struct relayed_ping rp =
			g_array_index(f->relayed_pings, struct relayed_ping, i);

		if (rp.own_sequence != sequence)
			continue;
		g_array_remove_index_fast(f->relayed_pings, i);
		write_ping(f, &rp.requester.endpoint, FLEET_ACK,
			   rp.requester_sequence, subject);
		return;
	}
}

void on_ack(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	uint32_t sequence = (uint32_t)read_uint(r, UINT32_MAX);
	uint64_t subject = read_uint(r, UINT64_MAX);
	bool nothing_newer = read_summary(f, from, r);
	struct link *l;

	if (r->malformed)
		return;
	if (nothing_newer && sequence >= f->first_awake_sequence)
		set_view_settled(f->view, true);
	l = find_link(f, subject);
	if (l && l->sequence == sequence) {
		l->state = LINK_IDLE;
		l->due_at_ms = f->now_ms + LINK_PING_MS;
	}
	relay_ack(f, sequence, subject);
	send_subject_its_record(f, from->id, &from->endpoint);
}

void on_indirect(struct fleet *f, const struct sender *from,
		 struct wire_reader *r)
{
	struct relayed_ping rp = { .requester = *from,
				   .expires_at_ms =
					   f->now_ms + RELAYED_PING_MS };
	struct endpoint at;

	rp.requester_sequence = (uint32_t)read_uint(r, UINT32_MAX);
	read_uint(r, UINT64_MAX);
	read_endpoint(r, &at);
	if (r->malformed || !at.family ||
	    f->relayed_pings->len >= RELAYED_PINGS_MAX)
		return;
	rp.own_sequence = ++f->last_sequence;
	g_array_append_val(f->relayed_pings, rp);
	send_ping(f, &at, rp.own_sequence);
}
