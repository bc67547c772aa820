#ifndef STAND_IN_COOKIE_WIRE_H
#define STAND_IN_COOKIE_WIRE_H

/* Encodes packets of the users' platform, as its callers and upstreams do. */

#include "platform/packet.h"

/* Data of all packets of an upload but the last one. */
#define COOKIE_PART_TEXT "+part----"

/*
 * Writes the packet P with P->payload_len bytes at DATA into OUT, which has
 * room for PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX_BYTES bytes. Returns its
 * length. The checksum covers all but cookie and padding, so that the receiver
 * detects any change in transit.
 */
size_t write_cookie_packet(const struct cookie_packet *p, const void *data,
			   uint8_t *out);

/* True if the checksum of the packet of LEN bytes at DATA is valid. */
bool has_valid_packet_checksum(const uint8_t *data, size_t len);

/* An acknowledgement of P, in the opposite direction of its flow. */
struct cookie_packet reply_to_packet(const struct cookie_packet *p);

#endif
