#ifndef NET_FLEET_RUNNER_H
#define NET_FLEET_RUNNER_H

/*
 * Runs the fleet logic of fleet/fleet.h on the loop: exchanges its messages
 * with peers, ticks it from a timer and passes its other actions to a callback.
 */

#include <uv.h>

#include "config/settings.h"
#include "fleet/fleet.h"
#include "net/peers.h"

struct fleet_runner;

/* Called for every action but FLEET_SEND and FLEET_RESET. */
typedef void (*fleet_action_fn)(const struct fleet_action *a, void *data);

/*
 * Listens at the settings' peer port as SELF. NULL with ST filled if that
 * fails. VIEW and COUNTERS must outlive the runner.
 */
struct fleet_runner *
create_fleet_runner(uv_loop_t *loop, const struct settings *settings,
		    const struct member *self, struct view *view,
		    struct counters *counters, fleet_action_fn fn, void *data,
		    struct status *st);

/*
 * Notifies peers that this instance ends. Memory is freed when the loop runs
 * next.
 */
void destroy_fleet_runner(struct fleet_runner *fr);

/* Passes EV to the fleet and executes the actions that follow. */
void step_fleet_runner(struct fleet_runner *fr, const struct fleet_event *ev);

const struct fleet *runner_fleet(const struct fleet_runner *fr);

/* The connections to peers, which other message channels use too. */
struct peers *runner_peers(const struct fleet_runner *fr);

#endif
