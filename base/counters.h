#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

/*
 * Counters of one instance: a fixed set of monotonic 64-bit numbers, listed
 * with their meaning in base/counter-list.h.
 */

#include <stdint.h>

enum counter {
#define COUNTER(id, name, doc) COUNT_##id,
#include "base/counter-list.h"
#undef COUNTER
	COUNTER_NR
};

struct counters {
	uint64_t value[COUNTER_NR];
};

/* Adds one to counter C. */
static inline void count(struct counters *cs, enum counter c)
{
	cs->value[c]++;
}

/* Adds N to counter C. */
static inline void count_n(struct counters *cs, enum counter c, uint64_t n)
{
	cs->value[c] += n;
}

/* Stable dotted name of counter C, as shown by "baobabvalve status". */
const char *counter_name(enum counter c);

/* One line that describes counter C. */
const char *counter_doc(enum counter c);

#endif
