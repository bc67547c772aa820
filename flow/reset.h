#ifndef FLOW_RESET_H
#define FLOW_RESET_H

/*
 * Builds the TCP reset that is sent to a caller whose flow is lost, so that it
 * can reconnect without waiting for a timeout.
 */

#include "flow/packet.h"

#define RESET_MAX 60 /* bytes of an IPv6 and a TCP header */

/*
 * Writes an IP packet that answers P with a TCP reset that the caller accepts.
 * Returns its length; 0 if P needs no answer (it is a reset or not TCP).
 */
size_t write_reset(const struct packet *p, uint8_t out[RESET_MAX]);

#endif
