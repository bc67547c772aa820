/* Asks seeds which members they know, and answers instances that ask. */

#include "net/edge-state.h"

struct reply {
	struct edge *e;
	const struct endpoint *to;
};

static void send_reply(const void *data, size_t len, void *user)
{
	const struct reply *r = user;

	queue_datagram(r->e->peer_socket, endpoint_ipv4(r->to), r->to->port,
		       NULL, 0, data, len);
	count(&r->e->counters, COUNT_PEER_SENT);
	count_n(&r->e->counters, COUNT_PEER_SENT_BYTES, len);
}

void answer_introduction_request(struct edge *e, const struct endpoint *from)
{
	struct reply r = { e, from };

	count(&e->counters, COUNT_PEER_INTRODUCED);
	write_introduction(e->view, from, send_reply, &r);
	flush_datagrams(e->peer_socket);
}

void handle_introduction(struct edge *e, const uint8_t *data, size_t len,
			 const struct endpoint *from)
{
	GArray *addresses = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	if (read_introduction(data, len, addresses)) {
		note_introduction_answer(e->introduction, from);
		for (guint i = 0; i < addresses->len; i++)
			add_heartbeat_address(
				e->instance_heartbeats,
				&g_array_index(addresses, struct endpoint, i));
	} else {
		count(&e->counters, COUNT_PEER_MALFORMED);
	}
	g_array_free(addresses, TRUE);
}

void tick_edge_introduction(struct edge *e)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	struct wire_writer w;

	tick_introduction(e->introduction, e->now_ms, to);
	init_wire_writer(&w);
	write_introduction_request(&w);
	for (guint i = 0; i < to->len; i++) {
		struct reply r = { e, &g_array_index(to, struct endpoint, i) };

		send_reply(w.buf.data, w.buf.size, &r);
	}
	if (to->len)
		flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
	g_array_free(to, TRUE);
}
