#include "stand-in/cookie-wire.h"

#include <string.h>
#include <xxhash.h>

#include "base/bytes.h"

static uint32_t packet_sum(const uint8_t *data, size_t len)
{
	uint8_t copy[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX_BYTES];

	memcpy(copy, data, len);
	memset(copy + 1, 0, 9); /* padding, cookie and the checksum itself */
	return (uint32_t)XXH3_64bits_withSeed(copy, len, 0x5eed);
}

bool has_valid_packet_checksum(const uint8_t *data, size_t len)
{
	uint8_t sum[4];

	set_be32(sum, packet_sum(data, len));
	return !memcmp(sum, data + 6, sizeof(sum));
}

static uint8_t wire_flags(uint8_t flags)
{
	return (uint8_t)((flags & TCP_SYN ? 128 : 0) |
			 (flags & TCP_ACK ? 64 : 0) |
			 (flags & TCP_FIN ? 32 : 0) |
			 (flags & TCP_RST ? 2 : 0));
}

size_t write_cookie_packet(const struct cookie_packet *p, const void *data,
			   uint8_t *out)
{
	size_t len = PLATFORM_HEADER_BYTES + (size_t)p->payload_len;

	memset(out, 0, PLATFORM_HEADER_BYTES);
	out[0] = wire_flags(p->flags);
	set_be32(out + 2, p->cookie);
	set_be16(out + 10, p->key.service_port);
	set_be32(out + 12, p->key.caller_ip);
	set_be16(out + 16, p->key.caller_port);
	set_be32(out + 18, p->key.service_ip);
	set_be32(out + 22, p->seq);
	set_be32(out + 26, p->ack);
	set_be16(out + 30, p->payload_len);
	if (p->payload_len)
		memcpy(out + PLATFORM_HEADER_BYTES, data, p->payload_len);
	set_be32(out + 6, packet_sum(out, len));
	return len;
}

struct cookie_packet reply_to_packet(const struct cookie_packet *p)
{
	struct cookie_packet a = { .flags = TCP_ACK,
				   .cookie = p->cookie,
				   .ack = p->seq + p->payload_len };

	a.key.caller_ip = p->key.service_ip;
	a.key.caller_port = p->key.service_port;
	a.key.service_ip = p->key.caller_ip;
	a.key.service_port = p->key.caller_port;
	return a;
}
