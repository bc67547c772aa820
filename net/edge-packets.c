/*
 * The edge's UDP sockets: packets from callers, packets relayed by other
 * instances, heartbeats and store updates.
 */

#include <string.h>

#include "net/edge-state.h"
#include "platform/packet.h"

/*
 * First byte of a relayed packet. Heartbeats and store updates are MessagePack
 * arrays, which never begin with this byte.
 */
#define RELAY_MARKER 0x01

#define FLOW_TEXT_MAX_BYTES 64

/*
 * Packets that arrive before the first read of the store, or before members have
 * told of split flows, are queued until then if no member can steer them. A read
 * takes some 50 ms; callers retransmit a dropped packet only after 200 ms, and
 * later ones at growing intervals.
 */
#define EARLY_PACKETS_MAX 512
#define EARLY_PACKET_MAX_AGE_MS 1000 /* older ones have been retransmitted */

struct early_packet {
	uint64_t received_ms; /* the earliest that it may have been received */
	bool relayed;	      /* by another instance */
	size_t len;
	uint8_t data[];
};

static const char *format_flow(const struct flow_key *k,
			       char text[FLOW_TEXT_MAX_BYTES])
{
	g_snprintf(text, FLOW_TEXT_MAX_BYTES, "%u.%u.%u.%u:%u-%u.%u.%u.%u:%u",
		   k->caller_ip >> 24, k->caller_ip >> 16 & 255,
		   k->caller_ip >> 8 & 255, k->caller_ip & 255, k->caller_port,
		   k->service_ip >> 24, k->service_ip >> 16 & 255,
		   k->service_ip >> 8 & 255, k->service_ip & 255,
		   k->service_port);
	return text;
}

static const char *upstream_label(const struct edge *e, upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);

	return up ? up->report.name : "none";
}

static void send_reset(struct edge *e, const struct flow_key *key, uint32_t seq)
{
	struct cookie_packet p = { .key = *key };
	uint8_t data[PLATFORM_HEADER_BYTES];

	write_platform_reset(&p, seq, data);
	queue_datagram(e->packet_socket, key->caller_ip,
		       e->settings.packets.port, data, sizeof(data), NULL, 0);
}

void send_edge_resets(struct edge *e, const GArray *resets)
{
	char flow[FLOW_TEXT_MAX_BYTES];
	char evidence[EVIDENCE_TEXT_BYTES];

	if (!resets->len)
		return;
	for (guint i = 0; i < resets->len; i++) {
		const struct cookie_reset *r =
			&g_array_index(resets, struct cookie_reset, i);

		send_reset(e, &r->key, r->seq);
		count(&e->counters, COUNT_FLOW_GIVEN_UP);
		log_event(e->log, EVENT_FLOW_RESET,
			  "flow=%s upstream=%s reason=%s waited_ms=%llu "
			  "version=%llu %s",
			  format_flow(&r->key, flow),
			  upstream_label(e, r->upstream),
			  cookie_reason_name(r->reason),
			  (unsigned long long)r->waited_ms,
			  (unsigned long long)catalog_version(e->catalog),
			  format_reset_evidence(e, r->reason, r->upstream,
						evidence));
	}
	flush_datagrams(e->packet_socket);
}

static void send_to_upstream(struct edge *e, upstream_index_t nr,
			     uint32_t cookie, uint8_t *data, size_t len)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);
	const struct endpoint *at = &up->report.address;
	uint8_t prefix[PLATFORM_PREFIX_BYTES];

	write_platform_cookie(data, cookie);
	write_platform_prefix(prefix, up->report.id);
	queue_datagram(e->packet_socket, endpoint_ipv4(at), at->port, prefix,
		       sizeof(prefix), data, len);
	count(&e->counters, COUNT_FLOW_FORWARDED);
}

/* Sends a packet to the NR other instances at TO. */
static void relay_packet_to(struct edge *e, const uint8_t *data, size_t len,
			    const struct endpoint *to, size_t nr)
{
	uint8_t mark = RELAY_MARKER;

	for (size_t i = 0; i < nr; i++)
		queue_datagram(e->peer_socket, endpoint_ipv4(&to[i]),
			       to[i].port, &mark, 1, data, len);
	flush_datagrams(e->peer_socket);
	count_n(&e->counters, COUNT_FLOW_HOPS, nr);
}

/*
 * Sends a packet to at most NR (up to RELAY_TARGETS_MAX) other instances that
 * are ready and may know its flow. False if none is known.
 */
static bool relay_packet(struct edge *e, const uint8_t *data, size_t len,
			 size_t nr)
{
	struct endpoint to[RELAY_TARGETS_MAX];
	size_t n =
		pick_knowing_members(e->instance_heartbeats, e->rand, to, nr);

	relay_packet_to(e, data, len, to, n);
	return n;
}

/*
 * Sends a SYN to an instance that knows a later configuration. To one only, so
 * that the flow is placed once. False if none is known.
 */
static bool relay_syn(struct edge *e, const uint8_t *data, size_t len)
{
	struct endpoint to;

	if (!pick_member_configured_after(e->instance_heartbeats,
					  catalog_version(e->catalog), e->rand,
					  &to))
		return false;
	relay_packet_to(e, data, len, &to, 1);
	return true;
}

/* A packet of an open flow was answered with a reset. */
static void log_packet_reset(struct edge *e, const struct cookie_packet *p,
			     const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX_BYTES];
	char evidence[EVIDENCE_TEXT_BYTES];

	log_event(e->log, EVENT_FLOW_RESET,
		  "flow=%s upstream=%s reason=%s waited_ms=0 version=%llu "
		  "cookie=%08x store_revision=%llu store_age_ms=%llu %s",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  cookie_reason_name(d->reason),
		  (unsigned long long)catalog_version(e->catalog), p->cookie,
		  (unsigned long long)mirror_revision(e->mirror),
		  (unsigned long long)edge_store_age_ms(e),
		  format_reset_evidence(e, d->reason, d->upstream, evidence));
}

/* WAITED_MS: how long a SYN waited for room before. */
static void log_refusal(struct edge *e, const struct cookie_packet *p,
			const struct cookie_decision *d, uint64_t waited_ms)
{
	char flow[FLOW_TEXT_MAX_BYTES];

	if (!is_cookie_syn(p)) {
		log_packet_reset(e, p, d);
		return;
	}
	log_event(e->log, EVENT_FLOW_REFUSED,
		  "flow=%s upstream=%s reason=%s placing=%s waited_ms=%llu "
		  "version=%llu store_revision=%llu store_age_ms=%llu",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  cookie_reason_name(d->reason),
		  d->reason == COOKIE_REFUSED
			  ? place_reason_name(d->placement.reason)
			  : "none",
		  (unsigned long long)waited_ms,
		  (unsigned long long)catalog_version(e->catalog),
		  (unsigned long long)mirror_revision(e->mirror),
		  (unsigned long long)edge_store_age_ms(e));
}

/* WAITED_MS as of log_refusal(). */
static void log_placement(struct edge *e, const struct cookie_packet *p,
			  const struct cookie_decision *d, uint64_t waited_ms)
{
	char flow[FLOW_TEXT_MAX_BYTES];
	enum event_kind kind = d->reason == COOKIE_OPENED ? EVENT_FLOW_OPENED
							  : EVENT_FLOW_REOPENED;

	log_event(e->log, kind,
		  "flow=%s upstream=%s syn=%u reason=%s load=%.2f "
		  "waited_ms=%llu version=%llu",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  p->ack, place_reason_name(d->placement.reason),
		  d->placement.load, (unsigned long long)waited_ms,
		  (unsigned long long)catalog_version(e->catalog));
}

static void log_waiting_syn(struct edge *e, const struct cookie_packet *p,
			    const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX_BYTES];

	count(&e->counters, COUNT_FLOW_QUEUED);
	log_event(
		e->log, EVENT_FLOW_QUEUED,
		"flow=%s syn=%u placing=%s load=%.2f waiting=%zu version=%llu",
		format_flow(&p->key, flow), p->ack,
		place_reason_name(d->placement.reason), d->placement.load,
		cookie_waiting_syn_count(e->steering),
		(unsigned long long)catalog_version(e->catalog));
}

/* It became known that the split flow of P is open at the upstream of D. */
static void log_split_flow(struct edge *e, const struct cookie_packet *p,
			   const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX_BYTES];

	count(&e->counters, COUNT_FLOW_SPLIT);
	log_event(e->log, EVENT_FLOW_SPLIT, "flow=%s upstream=%s cookie=%08x",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  p->cookie);
}

static void log_stale_syn(struct edge *e, const struct cookie_packet *p)
{
	char flow[FLOW_TEXT_MAX_BYTES];

	log_event(e->log, EVENT_SYN_STALE, "flow=%s syn=%u unread_ms=%u",
		  format_flow(&p->key, flow), p->ack, p->age_ms);
}

static void log_unknown_flow(struct edge *e, const struct cookie_packet *p,
			     const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX_BYTES];

	log_event(e->log, EVENT_FLOW_UNKNOWN, "flow=%s reason=%s cookie=%08x",
		  format_flow(&p->key, flow), cookie_reason_name(d->reason),
		  p->cookie);
}

/* Executes D about P, received as DATA. WAITED_MS as of log_refusal(). */
static void execute_decision(struct edge *e, const struct cookie_packet *p,
			     const struct cookie_decision *d, uint8_t *data,
			     size_t len, uint64_t waited_ms)
{
	switch (d->verdict) {
	case COOKIE_TO_UPSTREAM:
		if (d->reason != COOKIE_STEERED)
			log_placement(e, p, d, waited_ms);
		send_to_upstream(e, d->upstream, d->cookie, data, len);
		break;
	case COOKIE_TO_PEER:
		if (!(is_cookie_syn(p)
			      ? relay_syn(e, data, len)
			      : relay_packet(e, data, len, RELAY_TARGETS_MAX)))
			log_unknown_flow(e, p, d);
		break;
	case COOKIE_RESET:
		log_refusal(e, p, d, waited_ms);
		send_reset(e, &p->key, d->reset_seq);
		count(&e->counters, COUNT_FLOW_NO_UPSTREAM);
		break;
	case COOKIE_WAIT:
		log_waiting_syn(e, p, d);
		break;
	case COOKIE_DROP:
		if (d->reason == COOKIE_STALE_SYN)
			log_stale_syn(e, p);
		/* a needless copy of a SYN, or a counted drop */
		else if (d->reason != COOKIE_CROWDED &&
			 d->reason != COOKIE_LATE_COPY &&
			 d->reason != COOKIE_ISOLATED)
			log_unknown_flow(e, p, d);
		break;
	}
}

/* AGE_MS: longest time that the packet may have waited here before. */
static void handle_flow_packet(struct edge *e, uint8_t *data, size_t len,
			       uint32_t age_ms, bool relayed)
{
	struct cookie_packet p;
	struct cookie_decision d;

	if (!read_platform_packet(data, len, &p)) {
		count(&e->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	p.datagram = data;
	p.datagram_len = len;
	p.age_ms = age_ms;
	d = steer_cookie_packet(e->steering, &p, relayed, e->now_ms);
	if (relayed && d.verdict == COOKIE_TO_PEER)
		d.verdict = COOKIE_DROP;
	if (d.moved_in)
		note_moved_in(e->moved_flows, &p.key);
	if (d.settled)
		log_split_flow(e, &p, &d);
	execute_decision(e, &p, &d, data, len, 0);
}

void tick_edge_waiting_syns(struct edge *e)
{
	GArray *released;

	if (!cookie_waiting_syn_count(e->steering))
		return;
	released = g_array_new(FALSE, FALSE, sizeof(struct released_syn));
	release_waiting_syns(e->steering, e->now_ms, released);
	for (guint i = 0; i < released->len; i++) {
		struct released_syn *r =
			&g_array_index(released, struct released_syn, i);

		execute_decision(e, &r->packet, &r->decision, r->datagram,
				 r->packet.datagram_len, r->waited_ms);
	}
	g_array_free(released, TRUE);
	flush_datagrams(e->packet_socket);
}

/*
 * What becomes of a packet now. SYNs need all that decides about new flows, but
 * for stale ones, which go nowhere; packets of open flows at least the entries.
 * TO and *NR as in decide_edge_packet().
 */
static enum unknown_packet decide_early_packet(struct edge *e,
					       const uint8_t *data, size_t len,
					       uint32_t age_ms, bool relayed,
					       struct endpoint *to, size_t *nr)
{
	struct cookie_packet p;
	bool may_steer;

	*nr = 0;
	if (!read_platform_packet(data, len, &p))
		return UNKNOWN_STEER; /* it is counted and dropped */
	p.age_ms = age_ms;
	may_steer = is_cookie_syn(&p)
			    ? may_place_flows(e) || is_stale_syn(&p)
			    : e->synced && catalog_version(e->catalog);
	if (may_steer)
		return is_cookie_syn(&p)
			       ? UNKNOWN_STEER
			       : decide_edge_packet(e, &p, relayed, to, nr);
	if (!relayed)
		*nr = pick_relays(e->instance_heartbeats, e->rand, to, 1);
	return *nr ? UNKNOWN_RELAY : UNKNOWN_WAIT;
}

/* Does with a packet what was decided; false if it has to wait. */
static bool execute_early_packet(struct edge *e, enum unknown_packet decision,
				 uint8_t *data, size_t len, uint32_t age_ms,
				 bool relayed, const struct endpoint *to,
				 size_t nr)
{
	switch (decision) {
	case UNKNOWN_STEER:
		handle_flow_packet(e, data, len, age_ms, relayed);
		return true;
	case UNKNOWN_RELAY:
		relay_packet_to(e, data, len, to, nr);
		return true;
	case UNKNOWN_WAIT:
		break;
	}
	return false;
}

static void queue_early_packet(struct edge *e, const uint8_t *data, size_t len,
			       uint32_t age_ms, bool relayed)
{
	struct early_packet *ep;

	if (e->early_packets.length >= EARLY_PACKETS_MAX)
		return;
	ep = g_malloc(sizeof(*ep) + len);
	ep->received_ms = e->now_ms - age_ms;
	ep->relayed = relayed;
	ep->len = len;
	memcpy(ep->data, data, len);
	g_queue_push_tail(&e->early_packets, ep);
}

void steer_early_packets(struct edge *e)
{
	struct endpoint to[RELAY_TARGETS_MAX];
	size_t nr;

	for (guint n = e->early_packets.length; n; n--) {
		struct early_packet *ep = g_queue_pop_head(&e->early_packets);
		uint32_t age_ms = (uint32_t)(e->now_ms - ep->received_ms);
		enum unknown_packet decision = decide_early_packet(
			e, ep->data, ep->len, age_ms, ep->relayed, to, &nr);

		if (age_ms <= EARLY_PACKET_MAX_AGE_MS &&
		    !execute_early_packet(e, decision, ep->data, ep->len,
					  age_ms, ep->relayed, to, nr))
			g_queue_push_tail(&e->early_packets, ep);
		else
			g_free(ep);
	}
	flush_datagrams(e->packet_socket);
}

/* Handles a packet; before it is relayed, those that could not be before. */
static void receive_flow_packet(struct edge *e, uint8_t *data, size_t len,
				uint32_t age_ms, bool relayed)
{
	struct endpoint to[RELAY_TARGETS_MAX];
	size_t nr;
	enum unknown_packet decision =
		decide_early_packet(e, data, len, age_ms, relayed, to, &nr);

	if (decision == UNKNOWN_RELAY && e->early_packets.length)
		steer_early_packets(e);
	if (!execute_early_packet(e, decision, data, len, age_ms, relayed, to,
				  nr))
		queue_early_packet(e, data, len, age_ms, relayed);
}

/*
 * This process was delayed. What members have told meanwhile decides about the
 * packets of callers that waited, too.
 */
static void read_peers_first(struct edge *e)
{
	if (e->now_ms - e->peers_read_ms < COOKIE_TICK_MS)
		return;
	e->peers_read_ms = e->now_ms;
	receive_datagrams(e->peer_socket);
	e->now_ms = edge_clock_ms();
}

static void on_caller_packet(uint8_t *data, size_t len,
			     const struct endpoint *from, void *user)
{
	struct edge *e = user;
	uint32_t age_ms = datagram_age_ms(e->packet_socket);

	(void)from;
	e->now_ms = edge_clock_ms();
	if (age_ms > COOKIE_LATE_TICK_MS)
		read_peers_first(e);
	e->last_packet_ms = e->now_ms;
	receive_flow_packet(e, data, len, age_ms, false);
}

static void log_member_change(struct edge *e, const struct member *before,
			      const struct member *m)
{
	if (before && before->state == m->state &&
	    before->start_number == m->start_number)
		return;
	log_event(e->log, EVENT_MEMBER, "instance=%s domain=%s state=%s",
		  m->name, m->domain, member_state_name(m->state));
}

/* What B, a store reader's heartbeat, shows of the entries that are known here. */
static void note_reader_position(struct edge *e,
				 const struct heartbeat_message *b)
{
	if (b->flags & HEARTBEAT_READS_STORE &&
	    compare_store_positions(mirror_position(e->mirror),
				    b->store_position) >= 0)
		note_store_current(
			e->placement,
			e->now_ms -
				MIN(e->now_ms, mirror_watch_age_ms(e->mirror)));
}

static void on_heartbeat_datagram(struct edge *e, const uint8_t *data,
				  size_t len)
{
	struct heartbeat_message b = { 0 };
	struct mirror_peer_state peer_state;
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE,
				   .peer = &peer_state };
	const struct member *known;
	struct member before;

	b.rows = g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));
	if (!read_heartbeat(data, len, &b)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
		g_array_free(b.rows, TRUE);
		return;
	}
	count(&e->counters, COUNT_PEER_RECEIVED);
	known = find_member(e->view, b.member.id);
	if (known)
		before = *known;
	handle_heartbeat(e->instance_heartbeats, &b, e->now_ms);
	log_member_change(e, known ? &before : NULL,
			  find_member(e->view, b.member.id));
	if (b.member.id != view_self(e->view)) {
		handle_peer_loads(
			e->placement, b.member.id,
			(const struct upstream_load_row *)(void *)b.rows->data,
			b.rows->len, e->now_ms);
		peer_state.position = b.store_position;
		peer_state.digest = b.store_digest;
		peer_state.watching = b.flags & HEARTBEAT_READS_STORE;
		step_edge_mirror(e, &ev);
		note_reader_position(e, &b);
	}
	g_array_free(b.rows, TRUE);
}

static void on_health_notice(struct edge *e, const uint8_t *data, size_t len)
{
	struct health_notice n;
	enum verdict_outcome outcome;
	upstream_index_t nr;

	if (!read_health_notice(data, len, &n)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
		return;
	}
	count(&e->counters, COUNT_PEER_RECEIVED);
	count(&e->counters, COUNT_HEALTH_NOTICES_RECEIVED);
	outcome = handle_health_notice(e->placement, &n, e->now_ms);
	if (outcome == VERDICT_NONE || outcome == VERDICT_KNOWN)
		return;
	nr = find_upstream_by_cookie(e->catalog, n.cookie);
	log_peer_verdict(e, &n, nr, outcome);
	if (outcome != VERDICT_ADOPTED)
		return;
	count(&e->counters, COUNT_HEALTH_VERDICTS_ADOPTED);
	reset_flows_if_unusable(e, nr);
}

static void on_store_update(struct edge *e, const uint8_t *data, size_t len,
			    const struct endpoint *from)
{
	struct wire_message msg;
	struct store_update n;

	if (read_store_update(&msg, &n, data, len))
		handle_edge_update(e, &n, data, len, from);
	else
		count(&e->counters, COUNT_PEER_MALFORMED);
	release_wire_message(&msg);
}

static void on_value_request(struct edge *e, const uint8_t *data, size_t len,
			     const struct endpoint *from)
{
	struct value_request r;

	if (read_value_request(data, len, &r))
		answer_value_request(e, &r, from);
	else
		count(&e->counters, COUNT_PEER_MALFORMED);
}

static void on_flows_moved(struct edge *e, const uint8_t *data, size_t len)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct flow_key));

	if (!read_moved_flows(data, len, keys)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
		g_array_set_size(keys, 0);
	}
	for (guint i = 0; i < keys->len; i++)
		if (release_moved_flow(
			    e->steering,
			    &g_array_index(keys, struct flow_key, i)))
			count(&e->counters, COUNT_FLOW_MOVED_AWAY);
	g_array_free(keys, TRUE);
}

static void on_peer_datagram(uint8_t *data, size_t len,
			     const struct endpoint *from, void *user)
{
	struct edge *e = user;

	e->now_ms = edge_clock_ms();
	count_n(&e->counters, COUNT_PEER_RECEIVED_BYTES, len);
	if (len && data[0] == RELAY_MARKER) {
		receive_flow_packet(e, data + 1, len - 1,
				    datagram_age_ms(e->peer_socket), true);
		flush_datagrams(e->packet_socket);
	} else if (len && is_heartbeat(data, len)) {
		on_heartbeat_datagram(e, data, len);
	} else if (has_peer_format(data, len, FLOWS_MOVED)) {
		on_flows_moved(e, data, len);
	} else if (has_peer_format(data, len, SPLIT_FLOWS)) {
		handle_split_flows(e, data, len, from);
	} else if (has_peer_format(data, len, SPLIT_FLOWS_REQUEST)) {
		answer_split_flows_request(e, from);
	} else if (has_peer_format(data, len, HEALTH_NOTICE_FORMAT)) {
		on_health_notice(e, data, len);
	} else if (has_peer_format(data, len, INTRODUCTION_REQUEST)) {
		answer_introduction_request(e, from);
	} else if (has_peer_format(data, len, VALUE_REQUEST)) {
		on_value_request(e, data, len, from);
	} else if (has_peer_format(data, len, VALUE_PART)) {
		handle_value_part(e, data, len);
	} else if (has_peer_format(data, len, INTRODUCTION)) {
		handle_introduction(e, data, len, from);
	} else {
		on_store_update(e, data, len, from);
	}
}

static void fill_own_heartbeat(struct edge *e, struct heartbeat_message *b)
{
	const struct member *self = find_member(e->view, view_self(e->view));

	b->member = *self;
	b->flags = (e->stop_began_ms ? HEARTBEAT_LEAVING : 0) |
		   (is_edge_ready(e) ? HEARTBEAT_READY : 0) |
		   (mirror_is_watching(e->mirror, e->now_ms)
			    ? HEARTBEAT_READS_STORE
			    : 0) |
		   HEARTBEAT_SPLIT_FLOWS | HEARTBEAT_MARKED_COOKIES |
		   (knows_all_split_flows(e) ? HEARTBEAT_KNOWS_SPLIT_FLOWS : 0);
	b->config_version = catalog_version(e->catalog);
	b->store_position = mirror_position(e->mirror);
	b->store_digest = mirror_digest(e->mirror);
	list_own_loads(e->placement, e->now_ms, b->rows);
	if (b->rows->len > HEARTBEAT_ROWS_MAX)
		g_array_set_size(b->rows, HEARTBEAT_ROWS_MAX);
}

void send_to_peer(struct edge *e, const struct endpoint *to, const void *data,
		  size_t len)
{
	queue_datagram(e->peer_socket, endpoint_ipv4(to), to->port, NULL, 0,
		       data, len);
	count(&e->counters, COUNT_PEER_SENT);
	count_n(&e->counters, COUNT_PEER_SENT_BYTES, len);
}

void send_to_target(const void *data, size_t len, void *user)
{
	const struct peer_target *t = user;

	send_to_peer(t->e, t->to, data, len);
}

/* Sends the datagram in W to all of TO (of struct endpoint). */
static void send_to_peers(struct edge *e, const struct wire_writer *w,
			  const GArray *to)
{
	for (guint i = 0; i < to->len; i++) {
		const struct endpoint *ep =
			&g_array_index(to, struct endpoint, i);

		queue_datagram(e->peer_socket, endpoint_ipv4(ep), ep->port,
			       NULL, 0, w->buf.data, w->buf.size);
	}
	flush_datagrams(e->peer_socket);
	count_n(&e->counters, COUNT_PEER_SENT, to->len);
	count_n(&e->counters, COUNT_PEER_SENT_BYTES, to->len * w->buf.size);
}

static void send_own_heartbeat(struct edge *e, const GArray *to)
{
	struct heartbeat_message b = {
		.rows = g_array_new(FALSE, FALSE,
				    sizeof(struct upstream_load_row))
	};
	struct wire_writer w;

	fill_own_heartbeat(e, &b);
	init_wire_writer(&w);
	write_heartbeat(&w, &b);
	/* rows at the end matter least */
	while (w.buf.size > DATAGRAM_MAX && b.rows->len) {
		release_wire_writer(&w);
		g_array_set_size(b.rows, b.rows->len * 3 / 4);
		init_wire_writer(&w);
		write_heartbeat(&w, &b);
	}
	send_to_peers(e, &w, to);
	release_wire_writer(&w);
	g_array_free(b.rows, TRUE);
}

void tick_edge_moved_flows(struct edge *e)
{
	GArray *keys;
	GArray *to;

	if (!has_moved_flows(e->moved_flows))
		return;
	keys = g_array_new(FALSE, FALSE, sizeof(struct flow_key));
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	list_domain_endpoints(e->instance_heartbeats, to);
	if (pop_moved_flows(e->moved_flows, to->len, e->now_ms, keys)) {
		struct wire_writer w;

		init_wire_writer(&w);
		write_moved_flows(&w, keys);
		send_to_peers(e, &w, to);
		release_wire_writer(&w);
	}
	g_array_free(to, TRUE);
	g_array_free(keys, TRUE);
}

static void send_health_notice(struct edge *e, const struct outgoing_notice *on)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct member *));
	struct wire_writer w;

	list_notice_receivers(e->health_notices, on, to);
	init_wire_writer(&w);
	write_health_notice(&w, &on->notice);
	for (guint i = 0; i < to->len; i++) {
		struct endpoint at = member_endpoint(
			g_array_index(to, const struct member *, i));

		queue_datagram(e->peer_socket, endpoint_ipv4(&at), at.port,
			       NULL, 0, w.buf.data, w.buf.size);
	}
	flush_datagrams(e->peer_socket);
	count_n(&e->counters, COUNT_PEER_SENT, to->len);
	count_n(&e->counters, COUNT_PEER_SENT_BYTES, to->len * w.buf.size);
	count_n(&e->counters, COUNT_HEALTH_NOTICES_SENT, to->len);
	release_wire_writer(&w);
	g_array_free(to, TRUE);
}

void send_edge_notices(struct edge *e)
{
	GArray *notices =
		g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));

	pop_health_notices(e->health_notices, notices);
	for (guint i = 0; i < notices->len; i++)
		send_health_notice(
			e, &g_array_index(notices, struct outgoing_notice, i));
	g_array_free(notices, TRUE);
}

void tick_edge_heartbeats(struct edge *e)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	if (tick_heartbeats(e->instance_heartbeats, e->now_ms,
			    has_load_changed(e->placement), to))
		send_own_heartbeat(e, to);
	g_array_free(to, TRUE);
}

bool open_edge_ports(struct edge *e, struct status *st)
{
	struct endpoint peer_at = e->settings.address;

	peer_at.port = e->settings.peer_port;
	e->packet_socket = create_datagrams(&e->loop, &e->settings.packets,
					    on_caller_packet, e, st);
	if (!e->packet_socket)
		return false;
	e->peer_socket =
		create_datagrams(&e->loop, &peer_at, on_peer_datagram, e, st);
	return e->peer_socket;
}
