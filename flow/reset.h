#ifndef FLOW_RESET_H
#define FLOW_RESET_H

/*
 * Makes the TCP reset that tells a caller at once that its flow has been
 * given up, so that it can connect again.
 */

#include "flow/packet.h"

#define RESET_MAX 60 /* bytes: an IPv6 and a TCP header */

/*
 * Writes a whole IP packet that answers P, which was read from a TCP packet,
 * with a reset that the caller accepts. Returns its length, 0 if P needs no
 * answer (it is a reset itself, or not TCP).
 */
size_t write_reset(const struct packet *p, uint8_t out[RESET_MAX]);

#endif
