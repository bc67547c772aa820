#include "net/peers.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

#define QUEUE_MAX 128		/* messages waiting on one link */
#define RECEIVE_BATCH 256	/* messages handled before the loop goes on */
#define LINK_MAX 96		/* outgoing connections */
#define LINK_IDLE_MS 20000	/* an unused link is closed after this */
#define SWEEP_MS 5000		/* between two looks for unused links */
#define CONNECT_MS 2000		/* longest attempt to connect */
#define RECONNECT_MS 200	/* first wait before another attempt */
#define RECONNECT_MAX_MS 2000	/* longest wait before another attempt */
#define RETRANSMIT_MAX_MS 10000 /* unacknowledged data ends a connection */
#define CLOSE_LINGER_MS 100	/* last messages may leave for so long */
#define ADDRESS_MAX (ENDPOINT_TEXT_MAX + 8)

struct link {
	struct endpoint to; /* the key */
	void *socket;	    /* ZMQ_PUSH */
	uint64_t used;	    /* loop time of the last message */
};

struct handler {
	peer_fn fn;
	void *user;
};

struct peers {
	uv_loop_t *loop;
	struct counters *counters;
	void *context;
	void *inbox; /* ZMQ_PULL */
	uv_poll_t poll;
	uv_idle_t more; /* runs while messages may be left in the inbox */
	uv_timer_t sweep;
	int open_handles;
	GHashTable *links; /* struct endpoint -> struct link */
	struct handler handlers[PEER_CHANNEL_NR];
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

static void set_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void free_link(gpointer item)
{
	struct link *l = item;

	zmq_close(l->socket);
	g_free(l);
}

static const char *zmq_address(const struct endpoint *ep, char *buf)
{
	char text[ENDPOINT_TEXT_MAX];

	g_snprintf(buf, ADDRESS_MAX, "tcp://%s", format_endpoint(ep, text));
	return buf;
}

static void hand_over(struct peers *ps, zmq_msg_t *msg)
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

/* Handles at most one batch; true if messages may be left. */
static bool receive_batch(struct peers *ps)
{
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		zmq_msg_t msg;

		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, ps->inbox, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return false;
		}
		hand_over(ps, &msg);
		zmq_msg_close(&msg);
	}
	return true;
}

static void on_more(uv_idle_t *idle)
{
	if (!receive_batch(idle->data))
		uv_idle_stop(idle);
}

/*
 * ZMQ_FD is edge-triggered: it becomes readable once, however many messages
 * wait. So the inbox is emptied, over several turns of the loop if need be.
 */
static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct peers *ps = poll->data;

	(void)status;
	(void)events;
	if (receive_batch(ps))
		uv_idle_start(&ps->more, on_more);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	const struct link *l = value;
	const uint64_t *now = data;

	(void)key;
	return *now - l->used > LINK_IDLE_MS;
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
	set_option(ps->inbox, ZMQ_LINGER, 0);
	set_option(ps->inbox, ZMQ_RCVHWM, QUEUE_MAX);
	set_option(ps->inbox, ZMQ_IPV6, at->family == 6);
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
	uv_poll_init(ps->loop, &ps->poll, fd);
	uv_idle_init(ps->loop, &ps->more);
	uv_timer_init(ps->loop, &ps->sweep);
	ps->poll.data = ps;
	ps->more.data = ps;
	ps->sweep.data = ps;
	ps->open_handles = 3;
	uv_poll_start(&ps->poll, UV_READABLE, on_readable);
	uv_idle_start(&ps->more, on_more);
	uv_timer_start(&ps->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
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
		set_option(((struct link *)l)->socket, ZMQ_LINGER,
			   CLOSE_LINGER_MS);
	uv_close((uv_handle_t *)&ps->poll, on_closed);
	uv_close((uv_handle_t *)&ps->more, on_closed);
	uv_close((uv_handle_t *)&ps->sweep, on_closed);
}

void set_peer_handler(struct peers *ps, enum peer_channel c, peer_fn fn,
		      void *user)
{
	ps->handlers[c].fn = fn;
	ps->handlers[c].user = user;
}

static void drop_oldest_link(struct peers *ps)
{
	const struct link *oldest = NULL;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, ps->links);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct link *l = item;

		if (!oldest || l->used < oldest->used)
			oldest = l;
	}
	if (oldest)
		g_hash_table_remove(ps->links, &oldest->to);
}

static struct link *open_link(struct peers *ps, const struct endpoint *to)
{
	struct link *l = g_new0(struct link, 1);
	char address[ADDRESS_MAX];

	if (g_hash_table_size(ps->links) >= LINK_MAX)
		drop_oldest_link(ps);
	l->to = *to;
	l->socket = zmq_socket(ps->context, ZMQ_PUSH);
	set_option(l->socket, ZMQ_LINGER, 0);
	set_option(l->socket, ZMQ_SNDHWM, QUEUE_MAX);
	set_option(l->socket, ZMQ_IPV6, to->family == 6);
	set_option(l->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_MS);
	set_option(l->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_option(l->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_option(l->socket, ZMQ_TCP_MAXRT, RETRANSMIT_MAX_MS);
	zmq_connect(l->socket, zmq_address(to, address));
	count(ps->counters, COUNT_PEER_LINKS);
	g_hash_table_insert(ps->links, &l->to, l);
	return l;
}

void send_peer(struct peers *ps, const struct endpoint *to, enum peer_channel c,
	       const void *data, size_t len)
{
	struct link *l = g_hash_table_lookup(ps->links, to);
	uint8_t *raw;
	zmq_msg_t msg;

	if (len > PEER_MESSAGE_MAX) {
		count(ps->counters, COUNT_PEER_DROPPED);
		return;
	}
	if (!l)
		l = open_link(ps, to);
	l->used = uv_now(ps->loop);
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
