#ifndef STAND_IN_COOKIE_WIRE_H
#define STAND_IN_COOKIE_WIRE_H

/* Packets of the users' platform as its callers and upstreams write them. */

#include "platform/packet.h"

/*
 * Writes the packet P with P->payload bytes at DATA into OUT, which has room
 * for PLATFORM_HEADER + PLATFORM_DATA_MAX bytes. Returns its length. The sum
 * is over all but cookie and padding, so that a change on the way shows.
 */
size_t write_cookie_packet(const struct cookie_packet *p, const void *data,
			   uint8_t *out);

/* True if the sum of the packet of LEN bytes at DATA is right. */
bool has_right_sum(const uint8_t *data, size_t len);

/* The two directions of a flow. */
struct cookie_packet answer_to(const struct cookie_packet *p);

#endif
