/*
 * Tells members at which upstreams split flows are open, asks for that after a
 * start or a pause, and answers members that ask.
 */

#include "net/edge-state.h"

static void send_rows(struct edge *e, enum split_flows_part part,
		      const struct split_flow *rows, size_t nr,
		      const GArray *to)
{
	struct wire_writer w;

	init_wire_writer(&w);
	write_split_flows(&w, part, rows, nr);
	for (guint i = 0; i < to->len; i++)
		send_to_peer(e, &g_array_index(to, struct endpoint, i),
			     w.buf.data, w.buf.size);
	flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
}

static void tell_split_flows(struct edge *e)
{
	struct split_flows *sf = cookie_split_flows(e->steering);
	bool is_stopping = e->stop_began_ms;
	GArray *rows;
	GArray *to;

	if (!has_untold_split_flows(sf, is_stopping, e->now_ms))
		return;
	rows = g_array_new(FALSE, FALSE, sizeof(struct split_flow));
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	list_takeover_endpoints(e->instance_heartbeats, to);
	if (pop_split_flows(sf, to->len, is_stopping, e->now_ms, rows))
		send_rows(e, SPLIT_FLOWS_NOTICE,
			  (struct split_flow *)(void *)rows->data, rows->len,
			  to);
	g_array_free(to, TRUE);
	g_array_free(rows, TRUE);
}

static void send_request(struct edge *e, const struct endpoint *to, size_t nr)
{
	struct wire_writer w;

	init_wire_writer(&w);
	write_split_flows_request(&w);
	for (size_t i = 0; i < nr; i++)
		send_to_peer(e, &to[i], w.buf.data, w.buf.size);
	flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
}

/* The members that know what the inquiry is about; returns their number. */
static size_t pick_asked(struct edge *e, const struct split_inquiry *si,
			 struct endpoint to[SPLIT_INQUIRY_TARGETS])
{
	G_STATIC_ASSERT(TAKEOVER_KEEPERS <= SPLIT_INQUIRY_TARGETS);

	return si->domain[0]
		       ? pick_keepers(e->instance_heartbeats, si->domain, to)
		       : pick_neighbours(e->instance_heartbeats, e->rand, to,
					 SPLIT_INQUIRY_TARGETS);
}

static void ask_for_split_flows(struct edge *e)
{
	struct split_inquiry *si = &e->split_inquiry;
	struct endpoint to[SPLIT_INQUIRY_TARGETS];
	size_t nr = pick_asked(e, si, to);

	if (!tick_split_inquiry(si, nr, e->now_ms))
		return;
	for (size_t i = 0; i < nr; i++)
		note_split_question(si, &to[i]);
	send_request(e, to, nr);
}

/* Asks its keepers about the flows of a domain that is away. */
static void ask_about_away_domain(struct edge *e)
{
	const char *domain =
		next_away_domain(e->instance_heartbeats, e->now_ms);
	struct endpoint keepers[TAKEOVER_KEEPERS];

	if (!domain)
		return;
	log_event(e->log, EVENT_DOMAIN_AWAY, "domain=%s", domain);
	if (!pick_keepers(e->instance_heartbeats, domain, keepers))
		return;
	e->split_inquiry = (struct split_inquiry){ 0 };
	g_strlcpy(e->split_inquiry.domain, domain,
		  sizeof(e->split_inquiry.domain));
}

/* Asks members of a domain whose flows are to be kept here now. */
static void ask_about_kept_domain(struct edge *e)
{
	const char *domain =
		next_kept_domain(e->instance_heartbeats, e->now_ms);
	struct endpoint to[TAKEOVER_KEEPERS];

	if (domain)
		send_request(e, to,
			     pick_members_of(e->instance_heartbeats, domain,
					     e->rand, to, TAKEOVER_KEEPERS));
}

bool knows_all_split_flows(const struct edge *e)
{
	return e->split_inquiry.done &&
	       are_all_splits_known(&e->split_knowledge,
				    catalog_idle_ms(e->catalog), e->now_ms);
}

void tick_edge_split_flows(struct edge *e)
{
	tell_split_flows(e);
	if (e->split_inquiry.done) {
		ask_about_away_domain(e);
		ask_about_kept_domain(e);
	}
	if (!e->split_inquiry.done) {
		ask_for_split_flows(e);
		if (e->split_inquiry.done)
			note_inquiry_end(&e->split_knowledge, &e->split_inquiry,
					 e->now_ms);
	}
	e->has_known_split_flows |= e->split_inquiry.may_serve;
	set_cookie_splits_known(e->steering, knows_all_split_flows(e));
}

/* Members that know more than this instance while its inquiry is open. */
static size_t list_knowing_members(struct edge *e,
				   struct endpoint to[RELAY_TARGETS_MAX])
{
	const struct split_inquiry *si = &e->split_inquiry;
	/* one of two keepers may have been lost with its domain's flows */
	size_t nr = MIN(si->asked_nr, si->domain[0] ? RELAY_TARGETS_MAX : 1);

	if (!e->has_known_split_flows)
		return pick_neighbours(e->instance_heartbeats, e->rand, to, 1);
	for (size_t i = 0; i < nr; i++)
		to[i] = si->asked[si->asked_nr - 1 - i];
	return nr;
}

enum unknown_packet
decide_edge_packet(struct edge *e, const struct cookie_packet *p, bool relayed,
		   struct endpoint to[RELAY_TARGETS_MAX], size_t *nr)
{
	*nr = 0;
	if (e->split_inquiry.done ||
	    knows_packet_upstream(e->steering, p, e->now_ms))
		return UNKNOWN_STEER;
	*nr = list_knowing_members(e, to);
	return decide_unknown_packet(&e->split_inquiry,
				     e->has_known_split_flows, relayed, *nr);
}

void restart_split_inquiry(struct edge *e)
{
	e->split_inquiry = (struct split_inquiry){ 0 };
}

void handle_split_flows(struct edge *e, const uint8_t *data, size_t len,
			const struct endpoint *from)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct split_flow));
	uint32_t unread_ms = datagram_age_ms(e->peer_socket);
	enum split_flows_part part;

	if (!is_member_address(e->instance_heartbeats, from)) {
		count(&e->counters, COUNT_FLOW_STRANGER);
	} else if (!read_split_flows(data, len, &part, rows)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
	} else {
		count(&e->counters, COUNT_PEER_RECEIVED);
		for (guint i = 0; i < rows->len; i++) {
			struct split_flow *row =
				&g_array_index(rows, struct split_flow, i);

			row->age_ms += MIN(UINT32_MAX - row->age_ms, unread_ms);
			learn_cookie_split_flow(e->steering, row, e->now_ms);
		}
		if (part == SPLIT_FLOWS_ANSWER_END)
			note_split_answer(
				&e->split_inquiry, from,
				knows_split_flows(e->instance_heartbeats,
						  from));
	}
	g_array_free(rows, TRUE);
}

void answer_split_flows_request(struct edge *e, const struct endpoint *from)
{
	GArray *rows;
	GArray *to;
	size_t max =
		(size_t)SPLIT_FLOWS_PER_DATAGRAM * SPLIT_FLOWS_ANSWER_DATAGRAMS;
	size_t at = 0;
	bool is_last;

	/* one that has just started knows too little itself */
	if (!e->split_inquiry.done ||
	    !is_member_address(e->instance_heartbeats, from))
		return;
	rows = g_array_new(FALSE, FALSE, sizeof(struct split_flow));
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	g_array_append_val(to, *from);
	list_split_flows(cookie_split_flows(e->steering), e->now_ms, rows);
	if (rows->len > max)
		g_array_set_size(rows, (guint)max);
	do {
		size_t nr = MIN(rows->len - at, SPLIT_FLOWS_PER_DATAGRAM);

		is_last = at + nr == rows->len;
		send_rows(e,
			  is_last ? SPLIT_FLOWS_ANSWER_END
				  : SPLIT_FLOWS_ANSWER_PART,
			  (struct split_flow *)(void *)rows->data + at, nr, to);
		at += nr;
	} while (!is_last);
	g_array_free(to, TRUE);
	g_array_free(rows, TRUE);
}
