#ifndef CONFIG_MERGE_H
#define CONFIG_MERGE_H

/*
 * Merges a publish into the configuration in force, and checks how much the
 * result removes and whether another publish changed the same services.
 */

#include "config/snapshot.h"

struct publish_change {
	struct service *const *services; /* to be added or replaced */
	size_t service_nr;
	bool only;		    /* keep other services; else drop them */
	const char *const *removed; /* with ONLY: names to remove */
	size_t removed_nr;
};

/* BASE (NULL for none) with CHANGE applied, at EPOCH. */
struct snapshot *merge_publish(const struct snapshot *base,
			       const struct publish_change *change,
			       uint64_t epoch, const char *publish_id);

/*
 * Adds a problem for each service of BASE that is not in NEXT or loses more
 * than half of its upstreams, and one if all services together lose more than
 * half of theirs.
 */
void check_removals(const struct snapshot *base, const struct snapshot *next,
		    struct problems *ps);

/*
 * Writes the names of services that differ between BASE (NULL for none) and
 * NEXT into BUF, as many as fit, and returns how many there are.
 */
size_t list_changes(const struct snapshot *base, const struct snapshot *next,
		    char *buf, size_t size);

/*
 * The name of a service that CHANGE covers and that differs between FIRST and
 * NOW (either may be NULL); NULL if there is none. CHANGE covers the services
 * that it adds, replaces or removes; without ONLY, every service.
 */
const char *find_conflicting_service(const struct publish_change *change,
				     const struct snapshot *first,
				     const struct snapshot *now);

#endif
