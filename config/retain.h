#ifndef CONFIG_RETAIN_H
#define CONFIG_RETAIN_H

/*
 * What a snapshot retains of the one before it: when an upstream joined its
 * service, and upstreams that owners have deleted but that may still have
 * flows. This lets an instance find out from the configuration alone which
 * upstreams may have flows that were opened earlier.
 */

#include "config/snapshot.h"

/* Seconds that a deleted upstream stays in the snapshot, as draining. */
#define REMOVED_UPSTREAM_KEEP_S (24 * 3600)

/*
 * Returns AFTER with what it retains of BEFORE (NULL if there was none). NOW_S
 * is the time of the publish in seconds since 1970. Takes over the caller's
 * reference on AFTER.
 */
struct snapshot *retain_from_previous(const struct snapshot *before,
				      struct snapshot *after, uint64_t now_s);

#endif
