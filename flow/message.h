#ifndef FLOW_MESSAGE_H
#define FLOW_MESSAGE_H

/*
 * Messages between instances over the flow port: a MessagePack header and a
 * body, which is mostly a forwarded packet. The first byte, that of a
 * MessagePack array, cannot begin a GUE header of version 0 or 1.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/wire.h"

#define FLOW_HEADER_MAX 80 /* bytes of the header */
#define FLOW_HOPS_MAX 12   /* instances that forward one packet */

enum flow_message_kind {
	FLOW_QUERY,	/* packet of an unknown flow, for a possible holder */
	FLOW_REPLICATE, /* packet of a flow on UPSTREAM, to be recorded */
	FLOW_DECIDE,  /* packet of a new flow, as the sender may lack updates */
	FLOW_DELIVER, /* packet for UPSTREAM, unknown to the sender */
	FLOW_LEARN,   /* the flow HASH is on UPSTREAM */
	FLOW_COPY,    /* flow records for a new replica */
	FLOW_UNSETTLED, /* marks (flow/unsettled-marks.h) */
	FLOW_SYNC,	/* requests all marks */
	FLOW_MESSAGE_KIND_NR
};

struct flow_message {
	enum flow_message_kind kind;
	uint8_t hops; /* instances that forwarded the packet */
	/* QUERY: rank of the receiver among the record holders;
	 * REPLICATE: 1 if another replica has the record, else 0 */
	uint8_t rank;
	bool flag;	   /* LEARN: is recorded; UNSETTLED: last message */
	uint64_t sender;   /* member id */
	uint64_t origin;   /* member that got the packet from the fabric */
	uint64_t epoch;	   /* of the sender's configuration */
	uint64_t service;  /* id; 0 for COPY, UNSETTLED and SYNC */
	uint64_t upstream; /* id, of REPLICATE, DELIVER and LEARN */
	uint64_t hash;	   /* of LEARN */
	const uint8_t *body;
	size_t body_len; /* bytes */
};

/* True if the datagram at DATA may be a message, by its first byte. */
bool is_flow_message(const uint8_t *data, size_t len);

/* Writes M's header, which the body follows; returns the header's length. */
size_t write_flow_message(struct wire_writer *w, const struct flow_message *m,
			  uint8_t header[FLOW_HEADER_MAX]);

/* Reads a message, whose body points into DATA. False if malformed. */
bool read_flow_message(const uint8_t *data, size_t len, struct flow_message *m);

#endif
