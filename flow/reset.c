#include "flow/reset.h"

#include <string.h>

#define HOP_LIMIT 64
#define TCP_HEADER 20 /* bytes */

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put_u32(uint8_t *p, uint32_t v)
{
	put_u16(p, (uint16_t)(v >> 16));
	put_u16(p + 2, (uint16_t)v);
}

/* Sequence number that follows P (RFC 9293, 3.10.7.1). */
static uint32_t end_of_segment(const struct packet *p)
{
	uint32_t end = p->seq + p->payload_len;

	end += (p->flags & TCP_SYN) != 0;
	return end + ((p->flags & TCP_FIN) != 0);
}

static void write_tcp(const struct packet *p, uint8_t *tcp)
{
	put_u16(tcp, p->service.port);
	put_u16(tcp + 2, p->caller.port);
	tcp[12] = (TCP_HEADER / 4) << 4;
	if (p->flags & TCP_ACK) {
		put_u32(tcp + 4, p->ack);
		tcp[13] = TCP_RST;
	} else {
		put_u32(tcp + 8, end_of_segment(p));
		tcp[13] = TCP_RST | TCP_ACK;
	}
}

/* Sum of the pseudo header; ADDRESSES: source and destination, LEN bytes. */
static uint32_t pseudo_sum(const uint8_t *addresses, size_t len)
{
	uint32_t sum = TCP_HEADER + FLOW_TCP;

	return sum + (uint16_t)~internet_checksum(addresses, len, 0);
}

static size_t write_ipv4(const struct packet *p, uint8_t *ip)
{
	const size_t header = 20;

	ip[0] = 0x45;
	put_u16(ip + 2, (uint16_t)(header + TCP_HEADER));
	put_u16(ip + 6, 0x4000); /* do not fragment */
	ip[8] = HOP_LIMIT;
	ip[9] = FLOW_TCP;
	memcpy(ip + 12, p->service.ip, 4);
	memcpy(ip + 16, p->caller.ip, 4);
	put_u16(ip + 10, internet_checksum(ip, header, 0));
	write_tcp(p, ip + header);
	put_u16(ip + header + 16, internet_checksum(ip + header, TCP_HEADER,
						    pseudo_sum(ip + 12, 8)));
	return header + TCP_HEADER;
}

static size_t write_ipv6(const struct packet *p, uint8_t *ip)
{
	const size_t header = 40;

	ip[0] = 0x60;
	put_u16(ip + 4, TCP_HEADER);
	ip[6] = FLOW_TCP;
	ip[7] = HOP_LIMIT;
	memcpy(ip + 8, p->service.ip, 16);
	memcpy(ip + 24, p->caller.ip, 16);
	write_tcp(p, ip + header);
	put_u16(ip + header + 16, internet_checksum(ip + header, TCP_HEADER,
						    pseudo_sum(ip + 8, 32)));
	return header + TCP_HEADER;
}

size_t write_reset(const struct packet *p, uint8_t out[RESET_MAX])
{
	if (p->protocol != FLOW_TCP || p->flags & TCP_RST)
		return 0;
	memset(out, 0, RESET_MAX);
	return p->service.family == 6 ? write_ipv6(p, out) : write_ipv4(p, out);
}
