#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

/*
 * A histogram of durations, in a unit that the caller chooses. The upper bounds
 * of its buckets are 1, 2, 4, ... units; the last bucket counts all longer
 * durations. Written here since no C library for it is packaged.
 */

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 16 /* bounds of 1 to 2^14 units, and the last */

struct histogram {
	uint64_t bucket[HISTOGRAM_BUCKETS];
	uint64_t sum; /* of all durations, in units */
};

/* Counts one duration of UNITS. */
void add_duration(struct histogram *h, uint64_t units);

/* Number of durations counted. */
uint64_t duration_count(const struct histogram *h);

/*
 * Appends H to OUT in the Prometheus text format, as metric NAME with LABELS
 * (without braces; may be empty).
 */
void print_histogram(GString *out, const char *name, const char *labels,
		     const struct histogram *h);

#endif
