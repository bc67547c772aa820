#ifndef T_FLOW_PACKETS_H
#define T_FLOW_PACKETS_H

/* Writes whole IP packets for tests. */

#include "flow/packet.h"

#define TEST_PACKET_MAX 1600 /* bytes */

struct test_packet {
	struct endpoint from;
	struct endpoint to; /* of the same family */
	enum flow_protocol protocol;
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
	uint16_t payload; /* bytes */
	uint8_t hop_limit;
};

/* Writes TP with its IPv4 checksum right; returns its length. */
size_t write_test_packet(const struct test_packet *tp,
			 uint8_t out[TEST_PACKET_MAX]);

#endif
