#include "t/benchmark.h"

#include <time.h>

#include "t/fleet-simulation.h"

struct member make_bench_member(size_t i)
{
	struct member m = { .id = simulated_member_id(i),
			    .peer_port = 7401,
			    .incarnation = 1,
			    .start_number = (uint32_t)i };

	g_snprintf(m.name, sizeof(m.name), "in-%zu", i);
	g_strlcpy(m.domain, simulated_domain(i % BENCH_DOMAIN_NR),
		  sizeof(m.domain));
	m.address.family = 4;
	m.address.ip[0] = 10;
	m.address.ip[2] = (uint8_t)(i >> 8);
	m.address.ip[3] = (uint8_t)i;
	return m;
}

double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}
