/* Asks seeds which members they know, and answers instances that ask. */

#include "net/edge-state.h"

void answer_introduction_request(struct edge *e, const struct endpoint *from)
{
	struct peer_target to = { e, from };

	count(&e->counters, COUNT_PEER_INTRODUCED);
	write_introduction(e->view, from, send_to_target, &to);
	flush_datagrams(e->peer_socket);
}

void handle_introduction(struct edge *e, const uint8_t *data, size_t len,
			 const struct endpoint *from)
{
	GArray *addresses = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	if (read_introduction(data, len, addresses))
		note_introduction_answer(e->introduction, from);
	else
		count(&e->counters, COUNT_PEER_MALFORMED);
	for (guint i = 0; i < addresses->len; i++)
		add_heartbeat_address(
			e->instance_heartbeats,
			&g_array_index(addresses, struct endpoint, i));
	g_array_free(addresses, TRUE);
}

void tick_edge_introduction(struct edge *e)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	struct wire_writer w;

	tick_introduction(e->introduction, e->now_ms, to);
	init_wire_writer(&w);
	write_introduction_request(&w);
	for (guint i = 0; i < to->len; i++)
		send_to_peer(e, &g_array_index(to, struct endpoint, i),
			     w.buf.data, w.buf.size);
	if (to->len)
		flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
	g_array_free(to, TRUE);
}
