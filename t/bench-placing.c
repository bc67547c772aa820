/* The table of ways to place flows, for docs/design/platform.md. */

#include <stdio.h>

#include "t/placing-world.h"

struct load {
	const char *name;
	double requests_s;
	double long_flows;
	double skew;
	uint32_t gap_ms;
	bool no_defer;
	bool admit_last;
	unsigned int lost_domains;
};

static void play_row(const struct load *ld, enum placing_way way, double far)
{
	struct placing_options opt;
	struct placing_result r;

	init_site_options(&opt);
	opt.way = way;
	opt.far_cost = far;
	opt.requests_s = ld->requests_s;
	opt.long_flows = ld->long_flows;
	opt.skew = ld->skew;
	opt.length_ms = 30000;
	opt.no_defer = ld->no_defer;
	opt.gap_ms = ld->gap_ms;
	opt.admit_last = ld->admit_last;
	opt.lost_domains = ld->lost_domains;
	opt.lost_ms = 6000;
	play_placing(&opt, &r);
	printf("%-14s %-12s %5.1f %7u %7.4f %7.4f %6u %6u %7u %8u %6u %6.3f "
	       "%7u\n",
	       ld->name, placing_way_name(way), far, r.asked,
	       (double)r.in_aim / r.asked, placing_worth(&r, 0.3), r.late,
	       r.shed, r.refused, r.deferred, r.failed, (double)r.far / r.asked,
	       r.p99_ms);
}

int main(void)
{
	static const struct load loads[] = {
		{ "usual", 150, 300, 1.0, 0, false, false, 0 },
		{ "heavy", 400, 450, 1.0, 0, false, false, 0 },
		{ "heavy, skewed", 400, 450, 1.8, 0, false, false, 0 },
		{ "after a gap", 300, 300, 1.0, 2000, false, false, 0 },
		{ "gap, no defer", 300, 300, 1.0, 2000, true, false, 0 },
		{ "half lost", 300, 400, 1.0, 0, false, false, 2 },
		{ "lost, admit", 300, 400, 1.0, 0, false, true, 2 },
		{ "lost, no defer", 300, 400, 1.0, 0, true, false, 2 },
	};
	static const double far[] = { 0, 0.3, 0.7, 1.0, 2.0, 5.0 };

	printf("load           way            far   asked  in aim   worth   "
	       "late   shed refused deferred failed    far  p99 ms\n");
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		for (int way = 0; way < PLACING_WAY_NR; way++)
			play_row(&loads[i], (enum placing_way)way, 0.7);
		for (size_t k = 0; k < sizeof(far) / sizeof(far[0]); k++)
			if (far[k] != 0.7)
				play_row(&loads[i], WAY_FULL_SCAN, far[k]);
	}
	return 0;
}
