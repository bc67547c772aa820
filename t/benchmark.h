#ifndef T_BENCHMARK_H
#define T_BENCHMARK_H

/* Helpers shared by benchmarks. */

#include "fleet/view.h"

#define BENCH_DOMAIN_NR 7

/* Member I of a fleet of target size, in one of BENCH_DOMAIN_NR domains. */
struct member make_bench_member(size_t i);

/* Processor time of this process so far, in seconds. */
double cpu_seconds(void);

#endif
