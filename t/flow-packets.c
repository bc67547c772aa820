#include "t/flow-packets.h"

#include <string.h>

static void put_u16(uint8_t *p, size_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put_u32(uint8_t *p, uint32_t v)
{
	put_u16(p, v >> 16);
	put_u16(p + 2, v & 0xffff);
}

static size_t write_transport(const struct test_packet *tp, uint8_t *p)
{
	size_t header = tp->protocol == FLOW_TCP ? 20 : 8;

	put_u16(p, tp->from.port);
	put_u16(p + 2, tp->to.port);
	if (tp->protocol == FLOW_TCP) {
		put_u32(p + 4, tp->seq);
		put_u32(p + 8, tp->ack);
		p[12] = 5 << 4;
		p[13] = tp->flags;
	} else
		put_u16(p + 4, header + tp->payload);
	return header + tp->payload;
}

size_t write_test_packet(const struct test_packet *tp,
			 uint8_t out[TEST_PACKET_MAX])
{
	size_t header = tp->to.family == 6 ? 40 : 20;
	size_t len;

	memset(out, 0, TEST_PACKET_MAX);
	len = write_transport(tp, out + header);
	if (tp->to.family == 6) {
		out[0] = 0x60;
		put_u16(out + 4, len);
		out[6] = (uint8_t)tp->protocol;
		out[7] = tp->hop_limit;
		memcpy(out + 8, tp->from.ip, 16);
		memcpy(out + 24, tp->to.ip, 16);
		return header + len;
	}
	out[0] = 0x45;
	put_u16(out + 2, header + len);
	out[8] = tp->hop_limit;
	out[9] = (uint8_t)tp->protocol;
	memcpy(out + 12, tp->from.ip, 4);
	memcpy(out + 16, tp->to.ip, 4);
	put_u16(out + 10, internet_checksum(out, header, 0));
	return header + len;
}
