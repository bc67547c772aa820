#include "base/backoff.h"

uint32_t backoff_ms(unsigned int tries, uint32_t first_ms, uint32_t max_ms,
		    GRand *rand)
{
	uint64_t whole = first_ms;

	for (unsigned int i = 1; i < tries && whole < max_ms; i++)
		whole *= 2;
	if (whole > max_ms)
		whole = max_ms;
	return (uint32_t)g_rand_double_range(rand, (double)whole / 2,
					     (double)whole);
}
