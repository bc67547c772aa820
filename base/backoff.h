#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

/* Waits between attempts: exponential, with jitter. */

#include <glib.h>
#include <stdint.h>

/*
 * Milliseconds to wait after TRIES failures (1 or more): uniform between half
 * of and the whole of FIRST_MS * 2^(TRIES - 1), which is capped at MAX_MS.
 */
uint32_t backoff_ms(unsigned int tries, uint32_t first_ms, uint32_t max_ms,
		    GRand *rand);

#endif
