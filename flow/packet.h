#ifndef FLOW_PACKET_H
#define FLOW_PACKET_H

/*
 * Reads the headers of an IPv4 or IPv6 packet that carries TCP or UDP. What
 * is truncated, fragmented or otherwise not whole is refused, never guessed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "config/service.h"

#define FLOW_PACKET_MAX 9216 /* bytes of one inner packet */

enum tcp_flags {
	TCP_FIN = 0x01,
	TCP_SYN = 0x02,
	TCP_RST = 0x04,
	TCP_ACK = 0x10
};

/* Why a packet was refused. */
enum packet_fault {
	PACKET_WHOLE,
	PACKET_TRUNCATED, /* shorter than its headers say */
	PACKET_FRAGMENT,
	PACKET_OVERSIZED, /* longer than FLOW_PACKET_MAX */
	PACKET_EXPIRED,	  /* its hop limit is used up */
	PACKET_MALFORMED, /* fields that contradict each other */
	PACKET_FAULT_NR
};

struct packet {
	struct endpoint caller;	 /* source */
	struct endpoint service; /* destination */
	enum flow_protocol protocol;
	uint8_t flags;	  /* of TCP; 0 for UDP */
	uint32_t seq;	  /* of TCP */
	uint32_t ack;	  /* of TCP */
	uint16_t payload; /* bytes after the transport header */
	uint64_t hash;	  /* of both endpoints and the protocol; never 0 */
	enum packet_fault fault;
};

/*
 * Reads LEN bytes at DATA into P; false, with P's fault set, if they are no
 * such packet.
 */
bool read_packet(const uint8_t *data, size_t len, struct packet *p);

/*
 * Takes one from the hop limit of the whole packet at DATA, as a router does;
 * an IPv4 checksum is brought up to date.
 */
void lower_hop_limit(uint8_t *data);

/* The Internet checksum over LEN bytes at DATA, starting from SUM. */
uint16_t internet_checksum(const uint8_t *data, size_t len, uint32_t sum);

#endif
