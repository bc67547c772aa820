#ifndef FLOW_PARTITION_H
#define FLOW_PARTITION_H

/*
 * Detects failure domains that a network partition makes unreachable. While no
 * instance of a domain can be reached, its upstreams appear down here but may
 * be alive, and their flows may continue through other instances. Such flows
 * are not reset at once; a flow that makes no progress is (flow/stall.h).
 */

#include "fleet/view.h"

#define PARTITION_GRACE_MS 5000 /* for updates after a partition has healed */

struct partition_watch;

struct partition_watch *create_partition_watch(void);
void destroy_partition_watch(struct partition_watch *pw);

/* Applies the states of the members in V at NOW_MS. */
void update_partition_watch(struct partition_watch *pw, const struct view *v,
			    uint64_t now_ms);

/* Whether DOMAIN is unreachable, or was until PARTITION_GRACE_MS ago. */
bool is_partitioned(const struct partition_watch *pw, const char *domain,
		    uint64_t now_ms);

#endif
