#ifndef NET_FLEET_PORT_H
#define NET_FLEET_PORT_H

/*
 * Runs the fleet on the loop: its messages go to and come from peers, its
 * ticks from a timer, and the changes that it finds go to a listener.
 */

#include <uv.h>

#include "config/settings.h"
#include "fleet/fleet.h"
#include "net/peers.h"

struct fleet_port;

/* Called for every action but FLEET_SEND and FLEET_RESET. */
typedef void (*fleet_fn)(const struct fleet_action *a, void *data);

/*
 * Listens at the settings' peer port as SELF. NULL with ST filled if that
 * fails. VIEW and COUNTERS outlive it.
 */
struct fleet_port *create_fleet_port(uv_loop_t *loop,
				     const struct settings *settings,
				     const struct member *self,
				     struct view *view,
				     struct counters *counters, fleet_fn fn,
				     void *data, struct status *st);

/* Says that this instance ends; memory goes when the loop has run. */
void destroy_fleet_port(struct fleet_port *fp);

/* Hands EV to the fleet and carries out what comes back. */
void step_fleet_port(struct fleet_port *fp, const struct fleet_event *ev);

const struct fleet *port_fleet(const struct fleet_port *fp);

/* For the other channels. */
struct peers *port_peers(const struct fleet_port *fp);

#endif
