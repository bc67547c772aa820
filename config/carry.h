#ifndef CONFIG_CARRY_H
#define CONFIG_CARRY_H

/*
 * What a snapshot keeps of the one before it, so that an instance can tell
 * from the configuration alone where flows opened earlier may live: when an
 * upstream joined its service, and upstreams that owners have deleted but
 * that may still hold flows.
 */

#include "config/snapshot.h"

/* How long a deleted upstream stays listed as draining. */
#define CARRY_REMOVED_S (24 * 3600)

/*
 * Returns AFTER with what it inherits from BEFORE (NULL if there was none),
 * published at NOW_S, in seconds since 1970. Takes over the caller's reference
 * on AFTER.
 */
struct snapshot *carry_snapshot(const struct snapshot *before,
				struct snapshot *after, uint64_t now_s);

#endif
