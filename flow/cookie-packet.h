#ifndef FLOW_COOKIE_PACKET_H
#define FLOW_COOKIE_PACKET_H

/* The fields of a caller's packet that cookie steering uses. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/flow-key.h"
#include "flow/packet.h" /* enum tcp_flags */

struct cookie_packet {
	struct flow_key key;
	uint8_t flags;	      /* enum tcp_flags */
	uint16_t payload_len; /* length of the data, bytes */
	uint32_t cookie;      /* identifies the flow's upstream; 0: none yet */
	bool marked;	      /* COOKIE was; set while the packet is steered */
	uint32_t seq;	      /* of the first byte of data */
	uint32_t ack; /* next byte that the caller expects; in a SYN, the
			   * number of times it was sent before */
	/* longest time that it may have waited before it was read, ms */
	uint32_t age_ms;
	/* The packet as received, valid during the call; NULL if not kept. */
	const uint8_t *datagram;
	size_t datagram_len; /* bytes */
};

/* True if P is the SYN that opens a flow. */
static inline bool is_cookie_syn(const struct cookie_packet *p)
{
	return p->flags & TCP_SYN && !(p->flags & TCP_ACK);
}

#endif
