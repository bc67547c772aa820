#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

/* Exponential back-off with jitter. */

#include <glib.h>
#include <stdint.h>

/*
 * Milliseconds to wait after FAILURES consecutive failures (1 or more): a
 * uniform random number from half of to all of FIRST_MS * 2^(FAILURES - 1),
 * capped at MAX_MS.
 */
uint32_t backoff_ms(unsigned int failures, uint32_t first_ms, uint32_t max_ms,
		    GRand *rand);

#endif
