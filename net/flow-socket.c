#include "net/flow-socket.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "flow/gue.h"

#define DATAGRAM_MAX_BYTES 65536

struct flow_socket {
	uv_udp_t udp;
	uv_timer_t tick_timer;
	struct flows *flows;
	struct counters *counters;
	struct endpoint fabric_sender; /* of the last packet from the fabric */
	int open_handles; /* still to be closed, after destroy_flow_socket() */
	struct flow_actions actions;
	uint8_t receive_buffer[DATAGRAM_MAX_BYTES];
};

static void execute_action(struct flow_socket *fs, const struct flow_action *a)
{
	const struct endpoint *to = &a->to;
	struct sockaddr_storage ss;
	uv_buf_t bufs[2];

	if (a->kind == FLOW_TO_UPSTREAM)
		lower_hop_limit((uint8_t *)a->data);
	if (a->kind == FLOW_TO_CALLER)
		to = &fs->fabric_sender;
	if (!to->family)
		return;
	bufs[0] = uv_buf_init((char *)a->header, (unsigned int)a->header_len);
	bufs[1] = uv_buf_init((char *)a->data, (unsigned int)a->data_len);
	endpoint_to_sockaddr(to, &ss);
	uv_udp_try_send(&fs->udp, bufs, 2, (struct sockaddr *)&ss);
}

static void execute_actions(struct flow_socket *fs)
{
	for (size_t i = 0; i < fs->actions.nr; i++)
		execute_action(fs, &fs->actions.actions[i]);
}

static void handle_fabric_packet(struct flow_socket *fs, const uint8_t *data,
				 size_t n, const struct endpoint *from)
{
	const uint8_t *inner;
	size_t len;

	inner = read_gue(data, n, &len);
	if (!inner) {
		count(fs->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	fs->fabric_sender = *from;
	steer_packet(fs->flows, inner, len, uv_now(fs->udp.loop), &fs->actions);
	execute_actions(fs);
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *sa, unsigned int flags)
{
	struct flow_socket *fs = udp->data;
	const uint8_t *data = (const uint8_t *)buf->base;
	struct endpoint from;

	if (n <= 0 || !sa)
		return;
	endpoint_from_sockaddr(&from, sa);
	if (flags & UV_UDP_PARTIAL) {
		count(fs->counters, COUNT_FLOW_OVERSIZED);
	} else if (is_flow_message(data, (size_t)n)) {
		handle_flow_message(fs->flows, &from, data, (size_t)n,
				    uv_now(udp->loop), &fs->actions);
		execute_actions(fs);
	} else
		handle_fabric_packet(fs, data, (size_t)n, &from);
}

static void on_tick(uv_timer_t *timer)
{
	struct flow_socket *fs = timer->data;
	struct timespec ts;
	uint64_t wall_ms;

	clock_gettime(CLOCK_REALTIME, &ts);
	wall_ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	set_flow_wall_clock(fs->flows, wall_ms, uv_now(timer->loop));
	tick_flows(fs->flows, uv_now(timer->loop), &fs->actions);
	execute_actions(fs);
}

static void alloc_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct flow_socket *fs = handle->data;

	(void)size;
	*buf = uv_buf_init((char *)fs->receive_buffer,
			   sizeof(fs->receive_buffer));
}

static void on_closed(uv_handle_t *handle)
{
	struct flow_socket *fs = handle->data;

	if (!--fs->open_handles)
		g_free(fs);
}

struct flow_socket *create_flow_socket(uv_loop_t *loop,
				       const struct endpoint *at,
				       struct flows *flows,
				       struct counters *counters,
				       struct status *st)
{
	struct flow_socket *fs = g_new0(struct flow_socket, 1);
	struct sockaddr_storage ss;
	char text[ENDPOINT_TEXT_MAX];
	int err;

	fs->flows = flows;
	fs->counters = counters;
	uv_udp_init(loop, &fs->udp);
	fs->udp.data = fs;
	uv_timer_init(loop, &fs->tick_timer);
	fs->tick_timer.data = fs;
	uv_timer_start(&fs->tick_timer, on_tick, 0, FLOW_TICK_MS);
	endpoint_to_sockaddr(at, &ss);
	err = uv_udp_bind(&fs->udp, (struct sockaddr *)&ss, 0);
	if (!err)
		err = uv_udp_recv_start(&fs->udp, alloc_buffer, on_datagram);
	if (!err)
		return fs;
	set_status(st, STATUS_UNAVAILABLE, "cannot use UDP port %s: %s",
		   format_endpoint(at, text), uv_strerror(err));
	destroy_flow_socket(fs);
	return NULL;
}

void destroy_flow_socket(struct flow_socket *fs)
{
	if (!fs)
		return;
	fs->open_handles = 2;
	uv_close((uv_handle_t *)&fs->udp, on_closed);
	uv_close((uv_handle_t *)&fs->tick_timer, on_closed);
}
