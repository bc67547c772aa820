/* Callers' packets, packets that instances relay, and beacons. */

#include <string.h>

#include "net/edge-state.h"
#include "platform/packet.h"

#define RELAY_MARK 0x01 /* first byte of a relayed packet; no array begins so */
#define RELAYS 2	/* instances that are asked about an unknown flow */

#define FLOW_TEXT_MAX 64

/*
 * Packets that come before the store was read wait for that: a read takes
 * some 50 ms, while callers would send them again after 200 ms at first and
 * then ever later.
 */
#define EARLY_MAX 512	  /* packets */
#define EARLY_AGE_MS 1000 /* older ones were sent again meanwhile */

struct early_packet {
	uint64_t at_ms;
	size_t len;
	uint8_t data[];
};

static const char *format_flow(const struct flow_key *k,
			       char text[FLOW_TEXT_MAX])
{
	g_snprintf(text, FLOW_TEXT_MAX, "%u.%u.%u.%u:%u-%u.%u.%u.%u:%u",
		   k->caller_ip >> 24, k->caller_ip >> 16 & 255,
		   k->caller_ip >> 8 & 255, k->caller_ip & 255, k->caller_port,
		   k->service_ip >> 24, k->service_ip >> 16 & 255,
		   k->service_ip >> 8 & 255, k->service_ip & 255,
		   k->service_port);
	return text;
}

static const char *upstream_label(const struct edge *e, upstream_nr_t nr)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);

	return up ? up->report.name : "none";
}

static void send_reset(struct edge *e, const struct flow_key *key, uint32_t seq)
{
	struct cookie_packet p = { .key = *key };
	uint8_t data[PLATFORM_HEADER];

	write_platform_reset(&p, seq, data);
	queue_datagram(e->packets, key->caller_ip, e->settings.packets.port,
		       data, sizeof(data), NULL, 0);
}

void send_edge_resets(struct edge *e, const GArray *resets)
{
	char flow[FLOW_TEXT_MAX];

	for (guint i = 0; i < resets->len; i++) {
		const struct cookie_reset *r =
			&g_array_index(resets, struct cookie_reset, i);

		send_reset(e, &r->key, r->seq);
		count(&e->counters, COUNT_FLOW_GIVEN_UP);
		log_event(e->log, EVENT_FLOW_RESET,
			  "flow=%s upstream=%s reason=%s waited_ms=%llu "
			  "version=%llu",
			  format_flow(&r->key, flow),
			  upstream_label(e, r->upstream),
			  cookie_reason_name(r->reason),
			  (unsigned long long)r->waited_ms,
			  (unsigned long long)catalog_version(e->catalog));
	}
	flush_datagrams(e->packets);
}

static void send_upstream(struct edge *e, const struct cookie_decision *d,
			  uint8_t *data, size_t len)
{
	const struct catalog_upstream *up =
		get_upstream(e->catalog, d->upstream);
	const struct endpoint *at = &up->report.address;
	uint8_t prefix[PLATFORM_PREFIX];

	write_platform_cookie(data, d->cookie);
	write_platform_prefix(prefix, up->report.id);
	queue_datagram(e->packets, endpoint_ipv4(at), at->port, prefix,
		       sizeof(prefix), data, len);
	count(&e->counters, COUNT_FLOW_FORWARDED);
}

/* Hands a packet to at most NR (up to RELAYS) instances that are ready. */
static bool relay(struct edge *e, const uint8_t *data, size_t len, size_t nr)
{
	struct endpoint to[RELAYS];
	size_t n = pick_relays(e->beacons, e->rand, to, nr);
	uint8_t mark = RELAY_MARK;

	for (size_t i = 0; i < n; i++)
		queue_datagram(e->peers, endpoint_ipv4(&to[i]), to[i].port,
			       &mark, 1, data, len);
	flush_datagrams(e->peers);
	count_n(&e->counters, COUNT_FLOW_HOPS, n);
	return n;
}

static void log_refusal(struct edge *e, const struct cookie_packet *p,
			const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX];
	enum event_kind kind =
		is_cookie_syn(p) ? EVENT_FLOW_REFUSED : EVENT_FLOW_RESET;

	log_event(e->log, kind,
		  "flow=%s upstream=%s reason=%s placing=%s version=%llu "
		  "store_revision=%llu store_age_ms=%llu",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  cookie_reason_name(d->reason),
		  d->reason == COOKIE_REFUSED
			  ? place_reason_name(d->placement.reason)
			  : "none",
		  (unsigned long long)catalog_version(e->catalog),
		  (unsigned long long)mirror_revision(e->mirror),
		  (unsigned long long)edge_store_age_ms(e));
}

static void log_placement(struct edge *e, const struct cookie_packet *p,
			  const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX];
	enum event_kind kind = d->reason == COOKIE_OPENED ? EVENT_FLOW_OPENED
							  : EVENT_FLOW_REOPENED;

	log_event(e->log, kind,
		  "flow=%s upstream=%s syn=%u reason=%s load=%.2f version=%llu",
		  format_flow(&p->key, flow), upstream_label(e, d->upstream),
		  p->ack, place_reason_name(d->placement.reason),
		  d->placement.load,
		  (unsigned long long)catalog_version(e->catalog));
}

static void log_deferral(struct edge *e, const struct cookie_packet *p,
			 const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX];

	count(&e->counters, COUNT_FLOW_DEFERRED);
	log_event(e->log, EVENT_FLOW_DEFERRED,
		  "flow=%s syn=%u placing=%s load=%.2f version=%llu",
		  format_flow(&p->key, flow), p->ack,
		  place_reason_name(d->placement.reason), d->placement.load,
		  (unsigned long long)catalog_version(e->catalog));
}

static void log_unknown(struct edge *e, const struct cookie_packet *p,
			const struct cookie_decision *d)
{
	char flow[FLOW_TEXT_MAX];

	log_event(e->log, EVENT_FLOW_UNKNOWN, "flow=%s reason=%s cookie=%08x",
		  format_flow(&p->key, flow), cookie_reason_name(d->reason),
		  p->cookie);
}

static void carry_out(struct edge *e, const struct cookie_packet *p,
		      const struct cookie_decision *d, uint8_t *data,
		      size_t len)
{
	switch (d->verdict) {
	case COOKIE_TO_UPSTREAM:
		if (d->reason != COOKIE_STEERED)
			log_placement(e, p, d);
		send_upstream(e, d, data, len);
		break;
	case COOKIE_TO_PEER:
		if (!relay(e, data, len, RELAYS))
			log_unknown(e, p, d);
		break;
	case COOKIE_RESET:
		log_refusal(e, p, d);
		send_reset(e, &p->key, d->reset_seq);
		count(&e->counters, COUNT_FLOW_NO_UPSTREAM);
		break;
	case COOKIE_DROP:
		if (d->reason == COOKIE_DEFERRED) {
			log_deferral(e, p, d);
			break;
		}
		log_unknown(e, p, d);
		break;
	}
}

static void take_packet(struct edge *e, uint8_t *data, size_t len, bool relayed)
{
	struct cookie_packet p;
	struct cookie_decision d;

	if (!read_platform_packet(data, len, &p)) {
		count(&e->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	d = steer_cookie(e->steering, &p, relayed, e->now_ms);
	if (relayed && d.verdict == COOKIE_TO_PEER)
		d.verdict = COOKIE_DROP;
	carry_out(e, &p, &d, data, len);
}

/* Lets another instance decide; false if none is known to be ready. */
static bool forward_early(struct edge *e, const uint8_t *data, size_t len)
{
	return relay(e, data, len, 1);
}

static void keep_early(struct edge *e, const uint8_t *data, size_t len)
{
	struct early_packet *ep;

	if (e->early.length >= EARLY_MAX)
		return;
	ep = g_malloc(sizeof(*ep) + len);
	ep->at_ms = e->now_ms;
	ep->len = len;
	memcpy(ep->data, data, len);
	g_queue_push_tail(&e->early, ep);
}

void release_early_packets(struct edge *e)
{
	struct early_packet *ep;

	while ((ep = g_queue_pop_head(&e->early))) {
		if (e->now_ms - ep->at_ms <= EARLY_AGE_MS)
			take_packet(e, ep->data, ep->len, false);
		g_free(ep);
	}
	flush_datagrams(e->packets);
}

static void on_packet(uint8_t *data, size_t len, const struct endpoint *from,
		      void *user)
{
	struct edge *e = user;

	(void)from;
	e->now_ms = edge_clock_ms();
	e->packet_ms = e->now_ms;
	if (e->synced && catalog_version(e->catalog))
		take_packet(e, data, len, false);
	else if (!forward_early(e, data, len))
		keep_early(e, data, len);
}

static void log_member(struct edge *e, const struct member *before,
		       const struct member *m)
{
	if (before && before->state == m->state && before->start == m->start)
		return;
	log_event(e->log, EVENT_MEMBER, "instance=%s domain=%s state=%s",
		  m->name, m->domain, member_state_name(m->state));
}

static void on_beacon(struct edge *e, const uint8_t *data, size_t len)
{
	struct beacon b = { 0 };
	struct mirror_hint seen;
	struct mirror_event hint = { .kind = MIRROR_HINT, .hint = &seen };
	const struct member *known;
	struct member before;

	b.rows = g_array_new(FALSE, FALSE, sizeof(struct load_row));
	if (!read_beacon(data, len, &b)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
		g_array_free(b.rows, TRUE);
		return;
	}
	count(&e->counters, COUNT_PEER_RECEIVED);
	known = find_member(e->view, b.member.id);
	if (known)
		before = *known;
	take_beacon(e->beacons, &b, e->now_ms);
	log_member(e, known ? &before : NULL,
		   find_member(e->view, b.member.id));
	if (b.member.id != view_self(e->view)) {
		take_peer_loads(e->placing, b.member.id,
				(const struct load_row *)(void *)b.rows->data,
				b.rows->len, e->now_ms);
		seen.revision = b.store_revision;
		seen.digest = b.store_digest;
		seen.watching = b.flags & BEACON_WATCHING;
		step_edge_mirror(e, &hint);
	}
	g_array_free(b.rows, TRUE);
}

static void on_news(struct edge *e, const uint8_t *data, size_t len,
		    const struct endpoint *from)
{
	struct wire_message msg;
	struct news n;

	if (read_news(&msg, &n, data, len))
		take_edge_news(e, &n, data, len, from);
	else
		count(&e->counters, COUNT_PEER_MALFORMED);
	release_wire(&msg);
}

static void on_peer(uint8_t *data, size_t len, const struct endpoint *from,
		    void *user)
{
	struct edge *e = user;

	e->now_ms = edge_clock_ms();
	count_n(&e->counters, COUNT_PEER_RECEIVED_BYTES, len);
	if (len && data[0] == RELAY_MARK) {
		take_packet(e, data + 1, len - 1, true);
		flush_datagrams(e->packets);
	} else if (len && is_beacon(data, len)) {
		on_beacon(e, data, len);
	} else {
		on_news(e, data, len, from);
	}
}

static void fill_beacon(struct edge *e, struct beacon *b)
{
	const struct member *self = find_member(e->view, view_self(e->view));

	b->member = *self;
	b->flags = (e->stopping_ms ? BEACON_LEAVING : 0) |
		   (is_edge_ready(e) ? BEACON_READY : 0) |
		   (mirror_is_watching(e->mirror, e->now_ms) ? BEACON_WATCHING
							     : 0);
	b->config_version = catalog_version(e->catalog);
	b->store_revision = mirror_revision(e->mirror);
	b->store_digest = mirror_digest(e->mirror);
	list_own_loads(e->placing, e->now_ms, b->rows);
	if (b->rows->len > BEACON_ROWS_MAX)
		g_array_set_size(b->rows, BEACON_ROWS_MAX);
}

static void send_beacon(struct edge *e, const GArray *to)
{
	struct beacon b = { .rows = g_array_new(FALSE, FALSE,
						sizeof(struct load_row)) };
	struct wire_writer w;

	fill_beacon(e, &b);
	init_wire_writer(&w);
	write_beacon(&w, &b);
	for (guint i = 0; i < to->len; i++) {
		const struct endpoint *ep =
			&g_array_index(to, struct endpoint, i);

		queue_datagram(e->peers, endpoint_ipv4(ep), ep->port, NULL, 0,
			       w.buf.data, w.buf.size);
	}
	flush_datagrams(e->peers);
	count_n(&e->counters, COUNT_PEER_SENT, to->len);
	count_n(&e->counters, COUNT_PEER_SENT_BYTES, to->len * w.buf.size);
	release_wire_writer(&w);
	g_array_free(b.rows, TRUE);
}

void tick_edge_beacons(struct edge *e)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	if (tick_beacons(e->beacons, e->now_ms, has_load_moved(e->placing), to))
		send_beacon(e, to);
	g_array_free(to, TRUE);
}

bool open_edge_ports(struct edge *e, struct status *st)
{
	struct endpoint peer_at = e->settings.address;

	peer_at.port = e->settings.peer_port;
	e->packets = create_datagrams(&e->loop, &e->settings.packets, on_packet,
				      e, st);
	if (!e->packets)
		return false;
	e->peers = create_datagrams(&e->loop, &peer_at, on_peer, e, st);
	return e->peers;
}
