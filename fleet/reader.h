#ifndef FLEET_READER_H
#define FLEET_READER_H

/*
 * Which instances follow the store: READERS_PER_DOMAIN of each failure
 * domain, one in domains of fewer than READERS_DOMAIN_MIN members if other
 * domains live, the strongest first and by rendezvous over the live view among
 * equals. Views differ for a while, so that a domain may have a reader more or
 * less than that; nothing rests on the number being exact.
 */

#include <stdbool.h>

#include "fleet/view.h"

#define READERS_PER_DOMAIN 2

/*
 * In domains smaller than this a second reader costs more calls than it is
 * worth: while the only one is replaced (about a second), beacons of other
 * domains tell that there is news, and their readers give it.
 */
#define READERS_DOMAIN_MIN 8

/* Whether the view's own instance is a reader of its domain. */
bool is_reader(const struct view *v);

#endif
