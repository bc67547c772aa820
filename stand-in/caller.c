/*
 * caller-stand-in: opens flows through the fabric. Each flow sends PACKETS TCP
 * segments, at most one every GAP-MS, and resends a segment until it is
 * answered, as TCP does. All answers must come from the upstream that answered
 * first. Prints a line of counts and one "flow on UPSTREAM" for each flow; exits 1 if a flow moved to another upstream,
 * was reset or did not get all answers.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/endpoint.h"
#include "flow/gue.h"
#include "flow/packet.h"

#define PAYLOAD_BYTES 2 /* of a segment, so that sequence numbers advance */
/* GUE, IPv4 and TCP headers and the payload */
#define DATAGRAM_BYTES (GUE_HEADER_LEN + 20 + 20 + PAYLOAD_BYTES)
#define SENDS_MAX 50  /* of one segment */
#define RESEND_GAPS 4 /* gaps between two sends of a segment */

struct caller;

struct flow {
	struct caller *c;
	uv_udp_t udp;
	struct endpoint own;
	char upstream[64];	  /* name of the upstream that answered first */
	unsigned int segment;	  /* number of the segment being sent */
	unsigned int answered;	  /* segments answered */
	unsigned int gaps_waited; /* gaps since the segment was last sent */
	unsigned int resent;
	unsigned int tries; /* sends of the current segment */
	bool moved;
	bool reset;
	char buffer[2048];
};

struct caller {
	uv_timer_t timer;
	struct endpoint fabric;
	struct endpoint service;
	struct flow *flows;
	unsigned int flow_nr;
	unsigned int packet_nr;
};

static void write_be16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void write_be32(uint8_t *p, uint32_t v)
{
	write_be16(p, (uint16_t)(v >> 16));
	write_be16(p + 2, (uint16_t)v);
}

/* Writes the segment that F is sending, encapsulated in GUE. */
static void write_segment(uint8_t *p, const struct flow *f)
{
	const struct endpoint *to = &f->c->service;

	memset(p, 0, DATAGRAM_BYTES);
	p[GUE_HEADER_LEN] = 0x45;
	write_gue_header(p, p[GUE_HEADER_LEN]);
	p += GUE_HEADER_LEN;
	write_be16(p + 2, DATAGRAM_BYTES - GUE_HEADER_LEN);
	p[8] = 64;
	p[9] = FLOW_TCP;
	memcpy(p + 12, f->own.ip, 4);
	memcpy(p + 16, to->ip, 4);
	write_be16(p + 10, internet_checksum(p, 20, 0));
	p += 20;
	write_be16(p, f->own.port);
	write_be16(p + 2, to->port);
	write_be32(p + 4, 1000 + f->segment * PAYLOAD_BYTES);
	p[12] = 5 << 4;
	p[13] = f->segment ? TCP_ACK : TCP_SYN;
}

static void send_segment(struct flow *f)
{
	uint8_t datagram[DATAGRAM_BYTES];
	struct sockaddr_storage ss;
	uv_buf_t buf = uv_buf_init((char *)datagram, sizeof(datagram));

	write_segment(datagram, f);
	endpoint_to_sockaddr(&f->c->fabric, &ss);
	uv_udp_try_send(&f->udp, &buf, 1, (struct sockaddr *)&ss);
	f->resent += f->tries > 0;
	f->tries++;
	f->gaps_waited = 0;
}

/* True if the datagram is a GUE packet with a TCP reset. */
static bool is_reset(const char *data, size_t n)
{
	const uint8_t *inner = read_gue((const uint8_t *)data, n, &n);
	struct packet p;

	return inner && read_packet(inner, n, &p) && p.flags & TCP_RST;
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct flow *f = udp->data;
	char name[sizeof(f->upstream)] = { 0 };

	(void)flags;
	if (n <= 0 || !from || (size_t)n >= sizeof(name))
		return;
	if (is_reset(buf->base, (size_t)n)) {
		f->reset = true;
		return;
	}
	memcpy(name, buf->base, (size_t)n);
	if (!f->answered)
		memcpy(f->upstream, name, sizeof(name));
	else if (strcmp(f->upstream, name) != 0)
		f->moved = true;
	if (f->answered == f->segment)
		f->answered++;
}

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
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
	endpoint_from_sockaddr(&f->own, (struct sockaddr *)&ss);
	return !uv_udp_recv_start(&f->udp, provide_buffer, on_datagram);
}

/* Sends or resends the segment of F if it is due; false if F is finished. */
static bool advance_flow(struct flow *f)
{
	if (f->answered > f->segment) {
		f->segment++;
		f->tries = 0;
	}
	if (f->reset || f->moved || f->segment == f->c->packet_nr ||
	    f->tries == SENDS_MAX)
		return false;
	if (!f->tries || ++f->gaps_waited >= RESEND_GAPS)
		send_segment(f);
	return true;
}

static void on_gap_timer(uv_timer_t *timer)
{
	struct caller *c = timer->data;
	bool busy = false;

	for (unsigned int i = 0; i < c->flow_nr; i++)
		busy |= advance_flow(&c->flows[i]);
	if (!busy)
		uv_stop(timer->loop);
}

static int report(const struct caller *c)
{
	unsigned int answered = 0;
	unsigned int resent = 0;
	unsigned int moved = 0;
	unsigned int reset = 0;

	for (unsigned int i = 0; i < c->flow_nr; i++) {
		answered += c->flows[i].answered;
		resent += c->flows[i].resent;
		moved += c->flows[i].moved;
		reset += c->flows[i].reset;
	}
	printf("%u flows: %u of %u segments answered, %u sent again, "
	       "%u flows moved, %u reset\n",
	       c->flow_nr, answered, c->flow_nr * c->packet_nr, resent, moved,
	       reset);
	for (unsigned int i = 0; i < c->flow_nr; i++)
		printf("flow on %s\n", c->flows[i].upstream);
	return moved || reset || answered < c->flow_nr * c->packet_nr;
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
	uv_timer_start(&c.timer, on_gap_timer, 0, gap);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	return report(&c);
}
