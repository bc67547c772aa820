#ifndef FLOW_MESSAGE_H
#define FLOW_MESSAGE_H

/*
 * What instances send each other over the flow port: mostly packets on their
 * way, with a header in MessagePack before them. Its first byte, that of an
 * array, begins no GUE header of version 0 or 1.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/wire.h"

#define FLOW_HEADER_MAX 80 /* bytes before the body */
#define FLOW_HOPS_MAX 12   /* instances that one packet passes at most */

enum flow_message_kind {
	FLOW_ASK,     /* packet of an unknown flow: where does it live? */
	FLOW_KEEP,    /* packet of a flow that lives at UPSTREAM: remember */
	FLOW_DECIDE,  /* packet that the sender is too young to judge */
	FLOW_DELIVER, /* packet to hand to UPSTREAM, unknown to the sender */
	FLOW_LEARN,   /* the flow HASH lives at UPSTREAM */
	FLOW_COPY,    /* entries for a new keeper */
	FLOW_MARKS,   /* unsettled upstreams */
	FLOW_SYNC,    /* send me all marks */
	FLOW_MESSAGE_KIND_NR
};

struct flow_message {
	enum flow_message_kind kind;
	uint8_t hops;	   /* instances passed */
	uint8_t step;	   /* place of the receiver in the slot's ranking */
	bool flag;	   /* LEARN: remembered; MARKS: the last of all */
	uint64_t sender;   /* member ids */
	uint64_t origin;   /* that got the packet from the fabric */
	uint64_t epoch;	   /* of the sender's configuration */
	uint64_t service;  /* 0 for COPY, MARKS and SYNC */
	uint64_t upstream; /* of KEEP, DELIVER and LEARN */
	uint64_t hash;	   /* of LEARN */
	const uint8_t *data;
	size_t len; /* bytes of the body */
};

/* True if a datagram of LEN bytes at DATA is from an instance. */
bool is_flow_message(const uint8_t *data, size_t len);

/* Writes M's header; the body follows it on the wire. Returns its length. */
size_t write_flow_message(struct wire_writer *w, const struct flow_message *m,
			  uint8_t header[FLOW_HEADER_MAX]);

/* Reads a message; its body lies in DATA. False if it is malformed. */
bool read_flow_message(const uint8_t *data, size_t len, struct flow_message *m);

#endif
