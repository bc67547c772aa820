/*
 * caller-stand-in: opens flows through the fabric. Each flow sends PACKETS
 * TCP segments, one every GAP-MS, and every answer must come from the
 * upstream that answered first. Prints a line of counts; exits 1 if a flow
 * moved or a packet got no answer.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/endpoint.h"
#include "flow/gue.h"
#include "flow/packet.h"

#define HEADERS (GUE_HEADER + 20 + 20) /* bytes: GUE, IPv4, TCP */
#define SETTLE_MS 500		       /* wait for the last answers */

struct caller;

struct flow {
	struct caller *c;
	uv_udp_t udp;
	struct endpoint self;
	char upstream[64]; /* that answered first */
	unsigned int sent;
	unsigned int answered;
	bool moved;
	char buffer[2048];
};

struct caller {
	uv_timer_t timer;
	struct endpoint fabric;
	struct endpoint service;
	struct flow *flows;
	unsigned int flow_nr;
	unsigned int packet_nr;
	unsigned int round;
};

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

/* Writes a GUE datagram around one TCP segment without payload. */
static void write_segment(uint8_t *p, const struct flow *f, uint8_t flags)
{
	const struct endpoint *to = &f->c->service;

	memset(p, 0, HEADERS);
	p[GUE_HEADER] = 0x45;
	write_gue(p, p[GUE_HEADER]);
	p += GUE_HEADER;
	put_u16(p + 2, 40);
	p[8] = 64;
	p[9] = FLOW_TCP;
	memcpy(p + 12, f->self.ip, 4);
	memcpy(p + 16, to->ip, 4);
	put_u16(p + 10, internet_checksum(p, 20, 0));
	p += 20;
	put_u16(p, f->self.port);
	put_u16(p + 2, to->port);
	p[12] = 5 << 4;
	p[13] = flags;
}

static void send_segment(struct flow *f)
{
	uint8_t datagram[HEADERS];
	struct sockaddr_storage ss;
	uv_buf_t buf = uv_buf_init((char *)datagram, sizeof(datagram));

	write_segment(datagram, f, f->sent ? TCP_ACK : TCP_SYN);
	endpoint_to_sockaddr(&f->c->fabric, &ss);
	if (uv_udp_try_send(&f->udp, &buf, 1, (struct sockaddr *)&ss) > 0)
		f->sent++;
}

static void on_answer(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned int flags)
{
	struct flow *f = udp->data;
	char name[sizeof(f->upstream)] = { 0 };

	(void)flags;
	if (n <= 0 || !from || (size_t)n >= sizeof(name))
		return;
	memcpy(name, buf->base, (size_t)n);
	if (!f->answered++)
		memcpy(f->upstream, name, sizeof(name));
	else if (strcmp(f->upstream, name) != 0)
		f->moved = true;
}

static void give_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct flow *f = handle->data;

	(void)size;
	*buf = uv_buf_init(f->buffer, sizeof(f->buffer));
}

static bool open_flow(struct caller *c, struct flow *f)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct endpoint at;

	f->c = c;
	parse_address("127.0.0.1", &at, NULL);
	endpoint_to_sockaddr(&at, &ss);
	uv_udp_init(uv_default_loop(), &f->udp);
	f->udp.data = f;
	if (uv_udp_bind(&f->udp, (struct sockaddr *)&ss, 0) ||
	    uv_udp_getsockname(&f->udp, (struct sockaddr *)&ss, &len))
		return false;
	endpoint_from_sockaddr(&f->self, (struct sockaddr *)&ss);
	return !uv_udp_recv_start(&f->udp, give_buffer, on_answer);
}

static void on_settled(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void on_round(uv_timer_t *timer)
{
	struct caller *c = timer->data;

	if (c->round++ >= c->packet_nr) {
		uv_timer_start(timer, on_settled, SETTLE_MS, 0);
		return;
	}
	for (unsigned int i = 0; i < c->flow_nr; i++)
		send_segment(&c->flows[i]);
}

static int report(const struct caller *c)
{
	unsigned int sent = 0;
	unsigned int answered = 0;
	unsigned int moved = 0;

	for (unsigned int i = 0; i < c->flow_nr; i++) {
		sent += c->flows[i].sent;
		answered += c->flows[i].answered;
		moved += c->flows[i].moved;
	}
	printf("%u flows: %u packets sent, %u answered, %u flows moved\n",
	       c->flow_nr, sent, answered, moved);
	return moved || answered < sent;
}

int main(int argc, char **argv)
{
	static struct caller c;
	unsigned int gap;

	if (argc != 6 || parse_endpoint(argv[1], &c.fabric, NULL) ||
	    parse_endpoint(argv[2], &c.service, NULL)) {
		fprintf(stderr, "usage: caller-stand-in FABRIC SERVICE FLOWS "
				"PACKETS GAP-MS\n");
		return 1;
	}
	c.flow_nr = (unsigned int)strtoul(argv[3], NULL, 10);
	c.packet_nr = (unsigned int)strtoul(argv[4], NULL, 10);
	gap = (unsigned int)strtoul(argv[5], NULL, 10);
	c.flows = g_new0(struct flow, c.flow_nr);
	for (unsigned int i = 0; i < c.flow_nr; i++)
		if (!open_flow(&c, &c.flows[i]))
			return 1;
	uv_timer_init(uv_default_loop(), &c.timer);
	c.timer.data = &c;
	uv_timer_start(&c.timer, on_round, 0, gap);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	return report(&c);
}
