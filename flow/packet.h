#ifndef FLOW_PACKET_H
#define FLOW_PACKET_H

/*
 * Parses the headers of an IPv4 or IPv6 packet that carries TCP or UDP.
 * Truncated, fragmented and otherwise invalid packets are refused.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "config/service.h"

#define FLOW_PACKET_MAX 9216 /* bytes */

enum tcp_flags {
	TCP_FIN = 0x01,
	TCP_SYN = 0x02,
	TCP_RST = 0x04,
	TCP_ACK = 0x10
};

/* Why a packet was refused. */
enum packet_fault {
	PACKET_OK,
	PACKET_TRUNCATED, /* shorter than its headers say */
	PACKET_FRAGMENT,
	PACKET_OVERSIZED, /* longer than FLOW_PACKET_MAX */
	PACKET_EXPIRED,	  /* hop limit (TTL) below 2 */
	PACKET_MALFORMED, /* invalid or contradictory fields */
	PACKET_FAULT_NR
};

struct packet {
	struct endpoint caller;	 /* source */
	struct endpoint service; /* destination */
	enum flow_protocol protocol;
	uint8_t flags;	      /* enum tcp_flags; 0 for UDP */
	uint32_t seq;	      /* of TCP */
	uint32_t ack;	      /* of TCP */
	uint16_t payload_len; /* length after the transport header, bytes */
	uint64_t hash;	      /* of both endpoints and the protocol; never 0 */
	enum packet_fault fault;
};

/* Parses LEN bytes at DATA into P; false, with P's fault set, if refused. */
bool read_packet(const uint8_t *data, size_t len, struct packet *p);

/*
 * Decrements the hop limit of the valid packet at DATA, as a router does, and
 * updates the IPv4 checksum.
 */
void lower_hop_limit(uint8_t *data);

/* The Internet checksum of LEN bytes at DATA, starting from SUM. */
uint16_t internet_checksum(const uint8_t *data, size_t len, uint32_t sum);

#endif
