#ifndef T_BENCHMARK_H
#define T_BENCHMARK_H

/* What several benchmarks need. */

#include "fleet/view.h"

#define BENCH_DOMAIN_NR 7

/* Member I of a fleet of target size, in one of BENCH_DOMAIN_NR domains. */
struct member make_bench_member(size_t i);

/* Processor time that this process has used so far. */
double cpu_seconds(void);

#endif
