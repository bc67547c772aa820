#ifndef FLOW_GUE_H
#define FLOW_GUE_H

/*
 * Generic UDP Encapsulation, version 0, as an ordinary kernel decapsulates it:
 * a four-byte header before the inner IP packet.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GUE_HEADER_LEN 4 /* bytes, without optional fields */

/*
 * Returns the inner packet of the UDP payload at DATA. NULL if DATA is not GUE,
 * has optional fields or does not carry IPv4 or IPv6.
 */
const uint8_t *read_gue(const uint8_t *data, size_t len, size_t *inner_len);

/* Writes the header for the inner packet that begins with byte FIRST. */
void write_gue_header(uint8_t header[GUE_HEADER_LEN], uint8_t first);

#endif
