#ifndef CONFIG_MERGE_H
#define CONFIG_MERGE_H

/*
 * What a publish makes of the configuration in force: the services it states,
 * with or without those it does not mention, and how much that takes away.
 */

#include "config/snapshot.h"

struct publish_change {
	struct service *const *services; /* as they shall be */
	size_t service_nr;
	bool only;		    /* leave services not mentioned alone */
	const char *const *removed; /* with ONLY: names of services to go */
	size_t removed_nr;
};

/* BASE (NULL for none) with CHANGE made, at EPOCH. */
struct snapshot *merge_publish(const struct snapshot *base,
			       const struct publish_change *change,
			       uint64_t epoch, const char *publish_id);

/*
 * Adds a problem for each service, and for the whole, that loses more than
 * half of its upstreams between BASE and NEXT.
 */
void check_removal(const struct snapshot *base, const struct snapshot *next,
		   struct problems *ps);

/*
 * Writes the names of services that differ between BASE (NULL for none) and
 * NEXT into BUF, as many as fit, and returns how many there are.
 */
size_t list_changes(const struct snapshot *base, const struct snapshot *next,
		    char *buf, size_t size);

/*
 * The name of a service that CHANGE mentions and that differs between FIRST
 * and NOW (either may be NULL); NULL if there is none. Without ONLY, every
 * service is mentioned.
 */
const char *find_overlap(const struct publish_change *change,
			 const struct snapshot *first,
			 const struct snapshot *now);

#endif
