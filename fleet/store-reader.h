#ifndef FLEET_STORE_READER_H
#define FLEET_STORE_READER_H

/*
 * Store readers: the instances that read and watch the store for the others.
 * Each failure domain has STORE_READERS_PER_DOMAIN; a domain of fewer than
 * SECOND_READER_DOMAIN_MEMBERS members has one while other domains have live
 * members. The members with the fastest links are chosen, among equals those
 * with the highest rendezvous weight. While views differ a domain may have
 * more or fewer readers; nothing depends on the exact number.
 */

#include <stdbool.h>

#include "fleet/view.h"

#define STORE_READERS_PER_DOMAIN 2

/*
 * In smaller domains a second reader is not worth its store calls: while the
 * only reader is replaced (about a second), heartbeats of other domains show
 * new store revisions, and the store readers there send the changes.
 */
#define SECOND_READER_DOMAIN_MEMBERS 8

/* True if the view's own instance is a store reader of its domain. */
bool is_store_reader(const struct view *v);

/*
 * The same with the number of readers doubled DOUBLINGS times, since those that
 * are chosen do not report an answering store. If all members took their place
 * at once, a store that refuses calls beyond its limit would answer none.
 */
bool is_store_reader_after(const struct view *v, unsigned int doublings);

#endif
