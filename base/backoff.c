#include "base/backoff.h"

uint32_t backoff_ms(unsigned int failures, uint32_t first_ms, uint32_t max_ms,
		    GRand *rand)
{
	uint64_t limit_ms = first_ms;

	for (unsigned int i = 1; i < failures && limit_ms < max_ms; i++)
		limit_ms *= 2;
	if (limit_ms > max_ms)
		limit_ms = max_ms;
	return (uint32_t)g_rand_double_range(rand, (double)limit_ms / 2,
					     (double)limit_ms);
}
