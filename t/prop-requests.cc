/*
 * Properties of request/ over generated interleavings: nine instances, eight
 * upstreams, lost, late and doubled messages, callers that resend anywhere,
 * instances that die, leave and come back with an empty memory, partitions.
 */

#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

extern "C" {
#include "t/request-world.h"
}

#define OPERATIONS 40
#define RUN_MS 12000
#define SETTLE_MS 8000

struct step {
	uint32_t at_ms;
	uint32_t what;
	uint32_t a;
	uint32_t b;
};

static rc::Gen<std::vector<step>> steps(size_t nr)
{
	return rc::gen::container<std::vector<step>>(
		nr,
		rc::gen::build<step>(
			rc::gen::set(&step::at_ms,
				     rc::gen::inRange(0u, unsigned(RUN_MS))),
			rc::gen::set(&step::what, rc::gen::inRange(0u, 1000u)),
			rc::gen::set(&step::a, rc::gen::inRange(0u, 360u)),
			rc::gen::set(&step::b, rc::gen::inRange(0u, 1000u))));
}

static struct request_world_options options()
{
	struct request_world_options o = {};

	o.seed = *rc::gen::inRange(1u, 1000000u);
	o.instances = 9;
	o.domains = 3;
	o.upstreams = 6;
	o.upstreams_2 = 2;
	o.slots = 3;
	o.service_us = 60000;
	o.deadline_ms = 1500;
	o.loss_percent = 5;
	o.late_percent = 5;
	o.lost_answers = 5;
	o.policy = SLOT_QUOTA_BORROWING;
	return o;
}

/* Adds NR sends at random; they come from a seed, so as not to be shrunk. */
static void add_sends(struct request_world *w, uint32_t seed, unsigned int nr)
{
	GRand *rng = g_rand_new_with_seed(seed);

	for (unsigned int i = 0; i < nr; i++) {
		bool keyed = g_rand_int_range(rng, 0, 100) < 70;
		int leaves = g_rand_int_range(rng, 0, 8);
		struct world_send ws = {};

		ws.operation =
			keyed ? (uint32_t)g_rand_int_range(rng, 0, OPERATIONS)
			      : OPERATIONS + i;
		ws.instance = (unsigned int)g_rand_int_range(rng, 0, 9);
		ws.has_key = keyed;
		ws.idempotent = !keyed && g_rand_boolean(rng);
		ws.tells_age = g_rand_int_range(rng, 0, 3) > 0;
		ws.other_body = g_rand_int_range(rng, 0, 50) == 1;
		if (!leaves)
			ws.leaves_after_ms =
				(uint32_t)g_rand_int_range(rng, 1, 1000);
		uint64_t at = (uint64_t)g_rand_int_range(rng, 0, RUN_MS) * MS;

		add_world_send(w, at, &ws);
		if (!keyed || g_rand_boolean(rng))
			continue;
		ws.instance = (unsigned int)g_rand_int_range(rng, 0, 9);
		add_world_send(w,
			       at + (uint64_t)g_rand_int_range(rng, 0, 30 * MS),
			       &ws);
	}
	g_rand_free(rng);
}

static const enum world_fault faults[] = {
	FAULT_KILL,	FAULT_KILL,  FAULT_RESTART,    FAULT_RESTART,
	FAULT_RESTART,	FAULT_LEAVE, FAULT_PARTITION,  FAULT_HEAL,
	FAULT_SHED_ALL, FAULT_BREAK, FAULT_SILENT_COLD
};

static void add_faults(struct request_world *w, const std::vector<step> &ss)
{
	for (const step &s : ss)
		add_world_fault(
			w, s.at_ms * MS,
			faults[s.what % (sizeof(faults) / sizeof(faults[0]))],
			s.a % 9, s.b);
}

static struct request_world_report run(struct request_world_options o,
				       const std::vector<step> &troubles)
{
	struct request_world *w = create_request_world(&o);
	struct request_world_report r;

	add_sends(w, o.seed, 300);
	add_faults(w, troubles);
	run_request_world(w, (RUN_MS + SETTLE_MS) * MS);
	report_request_world(w, &r);
	destroy_request_world(w);
	if (getenv("BV_SHOW"))
		std::cerr << "sends " << r.sends << " answered " << r.answered
			  << " replayed " << r.replayed << " not-run "
			  << r.not_run << " unknown " << r.unknown
			  << " progress " << r.in_progress << " done " << r.done
			  << " reused " << r.key_reused << "\n";
	return r;
}

static void check(const struct request_world_report &r)
{
	RC_ASSERT(r.doubled == 0u);
	RC_ASSERT(r.false_not_run == 0u);
	RC_ASSERT(r.wrong_answer == 0u);
	RC_ASSERT(r.two_outcomes == 0u);
	RC_ASSERT(r.no_outcome == 0u);
}

int main()
{
	bool ok = rc::check("no doubled run and no false outcome", []() {
		struct request_world_options o = options();

		check(run(o, *steps(12)));
	});
	ok &= rc::check("without faults every first try is answered", []() {
		struct request_world_options o = options();

		o.loss_percent = 0;
		o.late_percent = 0;
		o.lost_answers = 0;
		struct request_world *w = create_request_world(&o);
		struct request_world_report r;

		for (unsigned int i = 0; i < 60; i++) {
			struct world_send ws = {};

			ws.operation = i;
			ws.instance = *rc::gen::inRange(0u, 9u);
			ws.has_key = true;
			ws.tells_age = true;
			add_world_send(w, (2000 + i * 50) * MS, &ws);
		}
		run_request_world(w, 10000 * MS);
		report_request_world(w, &r);
		destroy_request_world(w);
		RC_ASSERT(r.answered == 60u);
		check(r);
	});
	ok &= rc::check("a cold upstream never gets more than it bears", []() {
		struct request_world_options o = options();
		const std::vector<step> moves = *steps(4);

		o.lost_answers = 0;
		o.upstreams = 1;
		o.upstreams_2 = 1;
		struct request_world *w = create_request_world(&o);
		struct request_world_report r;

		add_world_fault(w, 0, FAULT_COLD, 0, 0);
		for (const step &s : moves)
			add_world_fault(w, s.at_ms * MS,
					s.what % 3 ? FAULT_KILL : FAULT_RESTART,
					s.a % 9, 0);
		for (unsigned int i = 0; i < 400; i++) {
			struct world_send ws = {};

			ws.operation = i;
			ws.instance = i * 7 % 9;
			add_world_send(w, i * (RUN_MS / 400) * MS, &ws);
		}
		run_request_world(w, (RUN_MS + SETTLE_MS) * MS);
		report_request_world(w, &r);
		destroy_request_world(w);
		RC_ASSERT(r.cold_excess == 0u);
		check(r);
	});
	return ok ? 0 : 1;
}
