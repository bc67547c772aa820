#ifndef FLOW_COOKIE_PACKET_H
#define FLOW_COOKIE_PACKET_H

/* A caller's packet that carries a cookie, as steering sees it. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/packet.h" /* enum tcp_flags */

/* Identifies a flow; IPv4 addresses and ports in host order. */
struct flow_key {
	uint32_t caller_ip;
	uint32_t service_ip;
	uint16_t caller_port;
	uint16_t service_port;
};

struct cookie_packet {
	struct flow_key key;
	uint8_t flags;	  /* of enum tcp_flags */
	uint16_t payload; /* bytes of data */
	uint32_t cookie;  /* names the flow's upstream; 0: none yet */
	uint32_t seq;	  /* of the first byte of data */
	uint32_t ack;	  /* next byte that the caller expects; in a SYN, how
			   * often the caller has sent it before */
};

/* True if P asks to open a flow. */
static inline bool is_cookie_syn(const struct cookie_packet *p)
{
	return p->flags & TCP_SYN && !(p->flags & TCP_ACK);
}

#endif
