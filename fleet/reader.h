#ifndef FLEET_READER_H
#define FLEET_READER_H

/*
 * Which instances follow the store: READERS_PER_DOMAIN of each failure
 * domain, by rendezvous over the live view. Views differ for a while, so that
 * a domain may have a reader more or less than that; nothing rests on the
 * number being exact.
 */

#include <stdbool.h>

#include "fleet/view.h"

#define READERS_PER_DOMAIN 2

/* Whether the view's own instance is a reader of its domain. */
bool is_reader(const struct view *v);

#endif
