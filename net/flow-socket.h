#ifndef NET_FLOW_SOCKET_H
#define NET_FLOW_SOCKET_H

/*
 * The UDP socket for flows. Decapsulates (GUE) the packets that the fabric
 * sends, has flow/flows.h steer them and sends them, encapsulated again, to an
 * upstream or another instance. Packets for callers go, encapsulated, to the
 * sender of the last packet from the fabric, which forwards them.
 */

#include <uv.h>

#include "flow/flows.h"

struct flow_socket;

/* Listens at AT. NULL with ST filled if that fails. */
struct flow_socket *create_flow_socket(uv_loop_t *loop,
				       const struct endpoint *at,
				       struct flows *flows,
				       struct counters *counters,
				       struct status *st);
void destroy_flow_socket(struct flow_socket *fs);

#endif
