#include "net/flow-port.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "flow/gue.h"

#define DATAGRAM_MAX 65536 /* bytes */

struct flow_port {
	uv_udp_t udp;
	uv_timer_t tick;
	struct flows *flows;
	struct counters *counters;
	struct endpoint fabric; /* that handed in the last packet */
	int closing;		/* handles still open after destroy */
	struct flow_actions actions;
	uint8_t buffer[DATAGRAM_MAX];
};

static void carry_out(struct flow_port *fp, const struct flow_action *a)
{
	const struct endpoint *to = &a->to;
	struct sockaddr_storage ss;
	uv_buf_t bufs[2];

	if (a->kind == FLOW_TO_UPSTREAM)
		lower_hop_limit((uint8_t *)a->data);
	if (a->kind == FLOW_TO_CALLER)
		to = &fp->fabric;
	if (!to->family)
		return;
	bufs[0] = uv_buf_init((char *)a->header, (unsigned int)a->header_len);
	bufs[1] = uv_buf_init((char *)a->data, (unsigned int)a->len);
	endpoint_to_sockaddr(to, &ss);
	uv_udp_try_send(&fp->udp, bufs, 2, (struct sockaddr *)&ss);
}

static void carry_out_all(struct flow_port *fp)
{
	for (size_t i = 0; i < fp->actions.nr; i++)
		carry_out(fp, &fp->actions.at[i]);
}

static void take_from_fabric(struct flow_port *fp, const uint8_t *data,
			     size_t n, const struct endpoint *from)
{
	const uint8_t *inner;
	size_t len;

	inner = read_gue(data, n, &len);
	if (!inner) {
		count(fp->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	fp->fabric = *from;
	steer_packet(fp->flows, inner, len, uv_now(fp->udp.loop), &fp->actions);
	carry_out_all(fp);
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *sa, unsigned int flags)
{
	struct flow_port *fp = udp->data;
	const uint8_t *data = (const uint8_t *)buf->base;
	struct endpoint from;

	if (n <= 0 || !sa)
		return;
	endpoint_from_sockaddr(&from, sa);
	if (flags & UV_UDP_PARTIAL) {
		count(fp->counters, COUNT_FLOW_OVERSIZED);
	} else if (is_flow_message(data, (size_t)n)) {
		take_flow_message(fp->flows, &from, data, (size_t)n,
				  uv_now(udp->loop), &fp->actions);
		carry_out_all(fp);
	} else
		take_from_fabric(fp, data, (size_t)n, &from);
}

static void on_tick(uv_timer_t *timer)
{
	struct flow_port *fp = timer->data;
	struct timespec ts;
	uint64_t wall_ms;

	clock_gettime(CLOCK_REALTIME, &ts);
	wall_ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	set_flow_wall_clock(fp->flows, wall_ms, uv_now(timer->loop));
	tick_flows(fp->flows, uv_now(timer->loop), &fp->actions);
	carry_out_all(fp);
}

static void give_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct flow_port *fp = handle->data;

	(void)size;
	*buf = uv_buf_init((char *)fp->buffer, sizeof(fp->buffer));
}

static void on_closed(uv_handle_t *handle)
{
	struct flow_port *fp = handle->data;

	if (!--fp->closing)
		g_free(fp);
}

struct flow_port *create_flow_port(uv_loop_t *loop, const struct endpoint *at,
				   struct flows *flows,
				   struct counters *counters, struct status *st)
{
	struct flow_port *fp = g_new0(struct flow_port, 1);
	struct sockaddr_storage ss;
	char text[ENDPOINT_TEXT_MAX];
	int err;

	fp->flows = flows;
	fp->counters = counters;
	uv_udp_init(loop, &fp->udp);
	fp->udp.data = fp;
	uv_timer_init(loop, &fp->tick);
	fp->tick.data = fp;
	uv_timer_start(&fp->tick, on_tick, 0, FLOW_TICK_MS);
	endpoint_to_sockaddr(at, &ss);
	err = uv_udp_bind(&fp->udp, (struct sockaddr *)&ss, 0);
	if (!err)
		err = uv_udp_recv_start(&fp->udp, give_buffer, on_datagram);
	if (!err)
		return fp;
	set_status(st, STATUS_UNAVAILABLE, "cannot use UDP port %s: %s",
		   format_endpoint(at, text), uv_strerror(err));
	destroy_flow_port(fp);
	return NULL;
}

void destroy_flow_port(struct flow_port *fp)
{
	if (!fp)
		return;
	fp->closing = 2;
	uv_close((uv_handle_t *)&fp->udp, on_closed);
	uv_close((uv_handle_t *)&fp->tick, on_closed);
}
