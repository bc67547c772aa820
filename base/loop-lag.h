#ifndef BASE_LOOP_LAG_H
#define BASE_LOOP_LAG_H

/* How late an event loop runs, by the ticks of a timer. Times are in ms. */

#include <stdint.h>

#define LOOP_LAG_PERIOD_MS 1000

struct loop_lag {
	uint64_t last_tick_ms; /* 0: there was none */
	uint64_t period_began_ms;
	uint64_t largest_ms; /* in this period, and in the one before */
	uint64_t largest_before_ms;
};

/* A tick, due INTERVAL_MS after the last one, came at NOW_MS. */
void note_loop_tick(struct loop_lag *lag, uint64_t interval_ms,
		    uint64_t now_ms);

/*
 * The longest delay of a tick in the last LOOP_LAG_PERIOD_MS, or up to twice
 * that, with that of the next tick so far.
 */
uint64_t recent_loop_lag_ms(const struct loop_lag *lag, uint64_t interval_ms,
			    uint64_t now_ms);

#endif
