#ifndef NET_FLOW_PORT_H
#define NET_FLOW_PORT_H

/*
 * The UDP port for flows: unwraps what the fabric sends, asks the deciding
 * code and sends the packet on, wrapped again, to an upstream or to another
 * instance. Packets for callers go, wrapped, to the sender of the last packet
 * that came from the fabric, which passes them on.
 */

#include <uv.h>

#include "flow/flows.h"

struct flow_port;

/* NULL with ST filled if the port cannot be had. */
struct flow_port *create_flow_port(uv_loop_t *loop, const struct endpoint *at,
				   struct flows *flows,
				   struct counters *counters,
				   struct status *st);
void destroy_flow_port(struct flow_port *fp);

#endif
