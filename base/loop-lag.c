#include "base/loop-lag.h"

#include <glib.h>

/* Delay at NOW_MS of the tick after the last one. */
static uint64_t next_tick_delay_ms(const struct loop_lag *lag,
				   uint64_t interval_ms, uint64_t now_ms)
{
	uint64_t due_ms = lag->last_tick_ms + interval_ms;

	return lag->last_tick_ms && now_ms > due_ms ? now_ms - due_ms : 0;
}

void note_loop_tick(struct loop_lag *lag, uint64_t interval_ms, uint64_t now_ms)
{
	uint64_t delay_ms = next_tick_delay_ms(lag, interval_ms, now_ms);

	if (now_ms - lag->period_began_ms >= LOOP_LAG_PERIOD_MS) {
		lag->largest_before_ms =
			now_ms - lag->period_began_ms < 2 * LOOP_LAG_PERIOD_MS
				? lag->largest_ms
				: 0;
		lag->period_began_ms = now_ms;
		lag->largest_ms = 0;
	}
	lag->largest_ms = MAX(lag->largest_ms, delay_ms);
	lag->last_tick_ms = now_ms;
}

uint64_t recent_loop_lag_ms(const struct loop_lag *lag, uint64_t interval_ms,
			    uint64_t now_ms)
{
	uint64_t delay_ms = next_tick_delay_ms(lag, interval_ms, now_ms);

	delay_ms = MAX(delay_ms, lag->largest_ms);
	return MAX(delay_ms, lag->largest_before_ms);
}
