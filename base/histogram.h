#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

/*
 * Counts of durations in buckets that double: up to 1, 2, 4, ... units, and
 * one for all above. No C library for this is packaged.
 */

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 16 /* the last but one ends at 2^14 units */

struct histogram {
	uint64_t bucket[HISTOGRAM_BUCKETS];
	uint64_t sum; /* of all durations, in units */
};

/* Counts one duration of UNITS. */
void add_duration(struct histogram *h, uint64_t units);

/* Durations counted. */
uint64_t duration_nr(const struct histogram *h);

/*
 * Appends H in the text format of common collectors, as metric NAME with
 * LABELS (without braces; may be empty).
 */
void print_histogram(GString *out, const char *name, const char *labels,
		     const struct histogram *h);

#endif
