#include "flow/packet.h"

#include <string.h>
#include <xxhash.h>

#define IPV4_HEADER_MIN 20 /* bytes */
#define IPV4_TTL_OFFSET 8  /* bytes from the start of the header */
#define IPV4_CHECKSUM_OFFSET 10
#define IPV4_MULTICAST_MIN 224 /* first byte of multicast addresses and above */
#define IPV6_HEADER_LEN 40
#define IPV6_HOP_LIMIT_OFFSET 7
#define IPV6_FRAGMENT_HEADER 44 /* next-header number */
#define IPV6_MULTICAST 0xff
#define TCP_HEADER_MIN 20
#define UDP_HEADER_LEN 8
#define IPV4_RESERVED_FLAG 0x8000
#define IPV4_FRAGMENT_MASK 0x3fff /* more-fragments bit and offset */

static uint16_t read_u16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t read_u32(const uint8_t *p)
{
	return (uint32_t)read_u16(p) << 16 | read_u16(p + 2);
}

uint16_t internet_checksum(const uint8_t *data, size_t len, uint32_t sum)
{
	for (size_t i = 0; i + 1 < len; i += 2)
		sum += read_u16(data + i);
	if (len & 1)
		sum += (uint32_t)data[len - 1] << 8;
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

/* True if TCP never sends FLAGS in one packet. */
static bool has_invalid_flags(uint8_t flags)
{
	if (flags & TCP_SYN)
		return flags & (TCP_FIN | TCP_RST);
	return !(flags & (TCP_FIN | TCP_RST | TCP_ACK));
}

static enum packet_fault read_tcp(const uint8_t *data, size_t len,
				  struct packet *p)
{
	size_t header;

	if (len < TCP_HEADER_MIN)
		return PACKET_TRUNCATED;
	header = (size_t)(data[12] >> 4) * 4;
	if (header < TCP_HEADER_MIN)
		return PACKET_MALFORMED;
	if (header > len)
		return PACKET_TRUNCATED;
	p->flags = data[13];
	p->seq = read_u32(data + 4);
	p->ack = read_u32(data + 8);
	p->payload_len = (uint16_t)(len - header);
	return has_invalid_flags(p->flags) ? PACKET_MALFORMED : PACKET_OK;
}

static enum packet_fault read_udp(const uint8_t *data, size_t len,
				  struct packet *p)
{
	if (len < UDP_HEADER_LEN || read_u16(data + 4) > len)
		return PACKET_TRUNCATED;
	if (read_u16(data + 4) != len)
		return PACKET_MALFORMED;
	p->payload_len = (uint16_t)(len - UDP_HEADER_LEN);
	return PACKET_OK;
}

static enum packet_fault read_transport(const uint8_t *data, size_t len,
					struct packet *p)
{
	enum packet_fault fault = PACKET_MALFORMED;

	if (p->protocol == FLOW_UDP)
		fault = read_udp(data, len, p);
	else if (p->protocol == FLOW_TCP)
		fault = read_tcp(data, len, p);
	if (fault != PACKET_OK)
		return fault;
	p->caller.port = read_u16(data);
	p->service.port = read_u16(data + 2);
	if (!p->caller.port || !p->service.port)
		return PACKET_MALFORMED;
	return PACKET_OK;
}

static enum packet_fault read_ipv4(const uint8_t *data, size_t len,
				   struct packet *p)
{
	size_t header;

	if (len < IPV4_HEADER_MIN)
		return PACKET_TRUNCATED;
	header = (size_t)(data[0] & 0xf) * 4;
	if (header < IPV4_HEADER_MIN)
		return PACKET_MALFORMED;
	if (read_u16(data + 2) > len || header > len)
		return PACKET_TRUNCATED;
	if (read_u16(data + 2) != len || internet_checksum(data, header, 0) ||
	    read_u16(data + 6) & IPV4_RESERVED_FLAG)
		return PACKET_MALFORMED;
	if (read_u16(data + 6) & IPV4_FRAGMENT_MASK)
		return PACKET_FRAGMENT;
	if (data[IPV4_TTL_OFFSET] < 2)
		return PACKET_EXPIRED;
	if (!data[12] || data[12] >= IPV4_MULTICAST_MIN)
		return PACKET_MALFORMED;
	p->caller.family = p->service.family = 4;
	memcpy(p->caller.ip, data + 12, 4);
	memcpy(p->service.ip, data + 16, 4);
	p->protocol = (enum flow_protocol)data[9];
	return read_transport(data + header, len - header, p);
}

static enum packet_fault read_ipv6(const uint8_t *data, size_t len,
				   struct packet *p)
{
	static const uint8_t unspecified[16];

	if (len < IPV6_HEADER_LEN || read_u16(data + 4) > len - IPV6_HEADER_LEN)
		return PACKET_TRUNCATED;
	if (read_u16(data + 4) != len - IPV6_HEADER_LEN)
		return PACKET_MALFORMED;
	if (data[6] == IPV6_FRAGMENT_HEADER)
		return PACKET_FRAGMENT;
	if (data[IPV6_HOP_LIMIT_OFFSET] < 2)
		return PACKET_EXPIRED;
	if (data[8] == IPV6_MULTICAST || !memcmp(data + 8, unspecified, 16))
		return PACKET_MALFORMED;
	p->caller.family = p->service.family = 6;
	memcpy(p->caller.ip, data + 8, 16);
	memcpy(p->service.ip, data + 24, 16);
	p->protocol = (enum flow_protocol)data[6];
	return read_transport(data + IPV6_HEADER_LEN, len - IPV6_HEADER_LEN, p);
}

static enum packet_fault read_ip(const uint8_t *data, size_t len,
				 struct packet *p)
{
	if (!len)
		return PACKET_TRUNCATED;
	if (len > FLOW_PACKET_MAX)
		return PACKET_OVERSIZED;
	if (data[0] >> 4 == 4)
		return read_ipv4(data, len, p);
	if (data[0] >> 4 == 6)
		return read_ipv6(data, len, p);
	return PACKET_MALFORMED;
}

static uint64_t hash_packet(const struct packet *p)
{
	uint8_t raw[2 * 16 + 2 * 2 + 1];
	uint64_t h;

	memcpy(raw, p->caller.ip, 16);
	memcpy(raw + 16, p->service.ip, 16);
	memcpy(raw + 32, &p->caller.port, 2);
	memcpy(raw + 34, &p->service.port, 2);
	raw[36] = (uint8_t)p->protocol;
	h = XXH64(raw, sizeof(raw), 0);
	return h ? h : 1;
}

bool read_packet(const uint8_t *data, size_t len, struct packet *p)
{
	memset(p, 0, sizeof(*p));
	p->fault = read_ip(data, len, p);
	if (p->fault == PACKET_OK && same_endpoint(&p->caller, &p->service))
		p->fault = PACKET_MALFORMED;
	if (p->fault != PACKET_OK)
		return false;
	p->hash = hash_packet(p);
	return true;
}

void lower_hop_limit(uint8_t *data)
{
	size_t header = (size_t)(data[0] & 0xf) * 4;
	uint16_t sum;

	if (data[0] >> 4 == 6) {
		data[IPV6_HOP_LIMIT_OFFSET]--;
		return;
	}
	data[IPV4_TTL_OFFSET]--;
	memset(data + IPV4_CHECKSUM_OFFSET, 0, 2);
	sum = internet_checksum(data, header, 0);
	data[IPV4_CHECKSUM_OFFSET] = (uint8_t)(sum >> 8);
	data[IPV4_CHECKSUM_OFFSET + 1] = (uint8_t)sum;
}
