#ifndef CONFIG_STORE_POSITION_H
#define CONFIG_STORE_POSITION_H

/*
 * A position in the store's history. A store that is restored from an older
 * copy begins a new era: its revisions go back and are given out again, so that
 * revisions of different eras cannot be compared.
 */

#include <stdint.h>

struct store_position {
	uint64_t era; /* 0: the store does not number its eras */
	uint64_t revision;
};

/* Below, equal to or above 0 if A is before, at or after B. */
static inline int compare_store_positions(struct store_position a,
					  struct store_position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return a.revision < b.revision ? -1 : a.revision > b.revision;
}

#endif
