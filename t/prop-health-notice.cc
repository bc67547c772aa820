/*
 * Property of health notices: while an upstream responds, no instance that can
 * reach it takes it for dead or unreachable, under lost and late messages,
 * false suspicions, paused instances and partitions between failure domains.
 */

#include <rapidcheck.h>

extern "C" {
#include "t/notice-simulation.h"
}

static struct notice_sim_options undisturbed()
{
	struct notice_sim_options opt = {};

	opt.seed = *rc::gen::inRange(1, 1 << 30);
	opt.instance_nr = *rc::gen::inRange(4, 40);
	opt.flows_per_s = *rc::gen::inRange(2, 30);
	opt.length_ms = 3000;
	return opt;
}

int main()
{
	bool ok = true;

	ok &= rc::check("disturbed fleets keep upstreams that respond", [] {
		struct notice_sim_options opt = undisturbed();
		struct notice_sim_result res;

		opt.delay_ms = *rc::gen::inRange(0, 300);
		opt.false_suspicion_s = *rc::gen::inRange(0, 40);
		opt.pauses_s = *rc::gen::inRange(0, 10);
		opt.cut_domain = *rc::gen::inRange(0, NOTICE_SIM_DOMAINS);
		opt.cut_by_resets = *rc::gen::arbitrary<bool>();
		simulate_notices(&opt, &res);
		RC_ASSERT(res.wrong == 0U);
	});
	ok &= rc::check("slow upstreams are not taken for unreachable", [] {
		struct notice_sim_options opt = undisturbed();
		struct notice_sim_result res;

		opt.reply_ms = *rc::gen::inRange(0, 280);
		opt.delay_ms = *rc::gen::inRange(0, 100);
		simulate_notices(&opt, &res);
		RC_ASSERT(res.wrong == 0U);
	});
	ok &= rc::check("losses hide no sign of life in sight", [] {
		struct notice_sim_options opt = undisturbed();
		struct notice_sim_result res;

		opt.loss = *rc::gen::inRange(1, 40) / 100.0;
		opt.false_suspicion_s = *rc::gen::inRange(0, 40);
		simulate_notices(&opt, &res);
		RC_ASSERT(res.wrong_in_sight == 0U);
	});
	ok &= rc::check("partitions with losses spare who sees life", [] {
		struct notice_sim_options opt = undisturbed();
		struct notice_sim_result res;

		opt.loss = *rc::gen::inRange(0, 20) / 100.0;
		opt.delay_ms = *rc::gen::inRange(0, 300);
		opt.pauses_s = *rc::gen::inRange(0, 10);
		opt.cut_domain = *rc::gen::inRange(0, NOTICE_SIM_DOMAINS);
		opt.cut_by_resets = *rc::gen::arbitrary<bool>();
		simulate_notices(&opt, &res);
		RC_ASSERT(res.wrong_in_sight == 0U);
	});
	return ok ? 0 : 1;
}
