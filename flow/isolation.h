#ifndef FLOW_ISOLATION_H
#define FLOW_ISOLATION_H

/*
 * Whether this instance is cut off from all that it could place flows on, so
 * that callers are better served by instances of other failure domains. For a
 * domain that is partitioned from the others while its own upstreams are gone
 * or taken out of service. No I/O.
 */

#include <stdbool.h>
#include <stdint.h>

#include "flow/domain-link.h"
#include "flow/placement.h"

/*
 * An instance that hears other domains again stays isolated for this long at
 * most, while upstreams there are checked again.
 */
#define ISOLATION_END_MS (PLACEMENT_DEAD_RECHECK_MS + 500)

struct isolation {
	uint64_t unheard_ms; /* last time that no other domain was heard; 0 */
	bool isolated;
};

/*
 * Updates IS from LINKS and the upstreams of PL. Isolated is who has heard
 * other domains before and hears none now, while upstreams accept flows but all
 * of them are dead, cut off or behind lost links.
 */
void update_isolation(struct isolation *is, const struct domain_links *links,
		      const struct placer *pl, uint64_t now_ms);

#endif
