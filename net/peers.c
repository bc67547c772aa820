#include "net/peers.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

#define LINK_QUEUE_MAX 128	/* messages queued on one link */
#define RECEIVE_BATCH 256	/* messages handled in one loop iteration */
#define LINK_IDLE_MS 20000	/* a link unused this long is closed */
#define SWEEP_INTERVAL_MS 5000	/* between two checks for unused links */
#define CONNECT_TIMEOUT_MS 2000 /* of one attempt to connect */
#define RECONNECT_MIN_MS 200	/* wait before the second attempt */
#define RECONNECT_MAX_MS 2000	/* longest wait before another attempt */
#define RETRANSMIT_MAX_MS 10000 /* unacknowledged for this long: closed */
#define CLOSE_LINGER_MS 100	/* time to send queued messages at the end */
#define ADDRESS_MAX (ENDPOINT_TEXT_MAX + 8)

struct peer_link {
	struct endpoint to;    /* key in struct peers, LINKS */
	void *socket;	       /* ZMQ_PUSH */
	uint64_t last_used_ms; /* loop time of the last message */
};

struct channel_handler {
	peer_message_fn fn;
	void *user;
};

struct peers {
	uv_loop_t *loop;
	struct counters *counters;
	void *context;
	void *inbox; /* ZMQ_PULL */
	uv_poll_t inbox_poll;
	uv_idle_t inbox_drain; /* active while messages may wait */
	uv_timer_t sweep_timer;
	int open_handles;
	GHashTable *links; /* struct endpoint -> struct peer_link */
	struct channel_handler handlers[PEER_CHANNEL_NR];
};

static guint hash_endpoint(gconstpointer key)
{
	const struct endpoint *ep = key;
	guint h = ep->port;

	for (size_t i = 0; i < sizeof(ep->ip); i++)
		h = h * 31 + ep->ip[i];
	return h;
}

static gboolean equal_endpoint(gconstpointer a, gconstpointer b)
{
	return same_endpoint(a, b);
}

static void set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void free_link(gpointer item)
{
	struct peer_link *l = item;

	zmq_close(l->socket);
	g_free(l);
}

static const char *zmq_address(const struct endpoint *ep, char *buf)
{
	char text[ENDPOINT_TEXT_MAX];

	g_snprintf(buf, ADDRESS_MAX, "tcp://%s", format_endpoint(ep, text));
	return buf;
}

static void dispatch_message(struct peers *ps, zmq_msg_t *msg)
{
	const uint8_t *data = zmq_msg_data(msg);
	size_t len = zmq_msg_size(msg);

	count(ps->counters, COUNT_PEER_RECEIVED);
	count_n(ps->counters, COUNT_PEER_RECEIVED_BYTES, len);
	if (!len || data[0] >= PEER_CHANNEL_NR || !ps->handlers[data[0]].fn) {
		count(ps->counters, COUNT_PEER_MALFORMED);
		return;
	}
	ps->handlers[data[0]].fn(data + 1, len - 1, ps->handlers[data[0]].user);
}

/* Handles at most RECEIVE_BATCH messages; true if more may be waiting. */
static bool receive_batch(struct peers *ps)
{
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		zmq_msg_t msg;

		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, ps->inbox, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return false;
		}
		dispatch_message(ps, &msg);
		zmq_msg_close(&msg);
	}
	return true;
}

static void on_inbox_drain(uv_idle_t *idle)
{
	if (!receive_batch(idle->data))
		uv_idle_stop(idle);
}

/*
 * ZMQ_FD is edge-triggered: it becomes readable once, however many messages
 * are waiting. So the inbox is emptied, over several loop iterations if need
 * be.
 */
static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct peers *ps = poll->data;

	(void)status;
	(void)events;
	if (receive_batch(ps))
		uv_idle_start(&ps->inbox_drain, on_inbox_drain);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	const struct peer_link *l = value;
	const uint64_t *now = data;

	(void)key;
	return *now - l->last_used_ms > LINK_IDLE_MS;
}

static void on_sweep(uv_timer_t *timer)
{
	struct peers *ps = timer->data;
	uint64_t now = uv_now(ps->loop);

	g_hash_table_foreach_remove(ps->links, is_idle, &now);
}

static bool open_inbox(struct peers *ps, const struct endpoint *at,
		       struct status *st)
{
	char address[ADDRESS_MAX];
	int64_t size = PEER_MESSAGE_MAX + 1;

	ps->inbox = zmq_socket(ps->context, ZMQ_PULL);
	set_int_option(ps->inbox, ZMQ_LINGER, 0);
	set_int_option(ps->inbox, ZMQ_RCVHWM, LINK_QUEUE_MAX);
	set_int_option(ps->inbox, ZMQ_IPV6, at->family == 6);
	zmq_setsockopt(ps->inbox, ZMQ_MAXMSGSIZE, &size, sizeof(size));
	if (!zmq_bind(ps->inbox, zmq_address(at, address)))
		return true;
	set_status(st, STATUS_UNAVAILABLE, "%s: %s", address,
		   zmq_strerror(errno));
	return false;
}

static void watch_inbox(struct peers *ps)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(ps->inbox, ZMQ_FD, &fd, &len);
	uv_poll_init(ps->loop, &ps->inbox_poll, fd);
	uv_idle_init(ps->loop, &ps->inbox_drain);
	uv_timer_init(ps->loop, &ps->sweep_timer);
	ps->inbox_poll.data = ps;
	ps->inbox_drain.data = ps;
	ps->sweep_timer.data = ps;
	ps->open_handles = 3;
	uv_poll_start(&ps->inbox_poll, UV_READABLE, on_readable);
	uv_idle_start(&ps->inbox_drain, on_inbox_drain);
	uv_timer_start(&ps->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
}

static void free_peers(struct peers *ps)
{
	g_hash_table_destroy(ps->links);
	if (ps->inbox)
		zmq_close(ps->inbox);
	zmq_ctx_term(ps->context);
	g_free(ps);
}

struct peers *create_peers(uv_loop_t *loop, const struct endpoint *at,
			   struct counters *counters, struct status *st)
{
	struct peers *ps = g_new0(struct peers, 1);

	ps->loop = loop;
	ps->counters = counters;
	ps->context = zmq_ctx_new();
	ps->links = g_hash_table_new_full(hash_endpoint, equal_endpoint, NULL,
					  free_link);
	if (!open_inbox(ps, at, st)) {
		free_peers(ps);
		return NULL;
	}
	watch_inbox(ps);
	return ps;
}

static void on_closed(uv_handle_t *handle)
{
	struct peers *ps = handle->data;

	if (!--ps->open_handles)
		free_peers(ps);
}

void destroy_peers(struct peers *ps)
{
	GHashTableIter it;
	gpointer l;

	if (!ps)
		return;
	g_hash_table_iter_init(&it, ps->links);
	while (g_hash_table_iter_next(&it, NULL, &l))
		set_int_option(((struct peer_link *)l)->socket, ZMQ_LINGER,
			       CLOSE_LINGER_MS);
	uv_close((uv_handle_t *)&ps->inbox_poll, on_closed);
	uv_close((uv_handle_t *)&ps->inbox_drain, on_closed);
	uv_close((uv_handle_t *)&ps->sweep_timer, on_closed);
}

void set_peer_handler(struct peers *ps, enum peer_channel c, peer_message_fn fn,
		      void *user)
{
	ps->handlers[c].fn = fn;
	ps->handlers[c].user = user;
}

size_t peer_link_count(const struct peers *ps)
{
	return g_hash_table_size(ps->links);
}

static void drop_oldest_link(struct peers *ps)
{
	const struct peer_link *oldest = NULL;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, ps->links);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct peer_link *l = item;

		if (!oldest || l->last_used_ms < oldest->last_used_ms)
			oldest = l;
	}
	if (oldest)
		g_hash_table_remove(ps->links, &oldest->to);
}

static struct peer_link *open_link(struct peers *ps, const struct endpoint *to)
{
	struct peer_link *l = g_new0(struct peer_link, 1);
	char address[ADDRESS_MAX];

	if (g_hash_table_size(ps->links) >= PEER_LINKS_MAX)
		drop_oldest_link(ps);
	l->to = *to;
	l->socket = zmq_socket(ps->context, ZMQ_PUSH);
	set_int_option(l->socket, ZMQ_LINGER, 0);
	set_int_option(l->socket, ZMQ_SNDHWM, LINK_QUEUE_MAX);
	set_int_option(l->socket, ZMQ_IPV6, to->family == 6);
	set_int_option(l->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int_option(l->socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option(l->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int_option(l->socket, ZMQ_TCP_MAXRT, RETRANSMIT_MAX_MS);
	zmq_connect(l->socket, zmq_address(to, address));
	count(ps->counters, COUNT_PEER_LINKS);
	g_hash_table_insert(ps->links, &l->to, l);
	return l;
}

void send_peer(struct peers *ps, const struct endpoint *to, enum peer_channel c,
	       const void *data, size_t len)
{
	struct peer_link *l = g_hash_table_lookup(ps->links, to);
	uint8_t *raw;
	zmq_msg_t msg;

	if (len > PEER_MESSAGE_MAX) {
		count(ps->counters, COUNT_PEER_DROPPED);
		return;
	}
	if (!l)
		l = open_link(ps, to);
	l->last_used_ms = uv_now(ps->loop);
	zmq_msg_init_size(&msg, len + 1);
	raw = zmq_msg_data(&msg);
	raw[0] = (uint8_t)c;
	if (len)
		memcpy(raw + 1, data, len);
	if (zmq_msg_send(&msg, l->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		count(ps->counters, COUNT_PEER_DROPPED);
		return;
	}
	count(ps->counters, COUNT_PEER_SENT);
	count_n(ps->counters, COUNT_PEER_SENT_BYTES, len + 1);
}

void reset_peer(struct peers *ps, const struct endpoint *to)
{
	g_hash_table_remove(ps->links, to);
}
