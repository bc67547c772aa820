/*
 * Properties of request/ under generated interleavings: nine instances, eight
 * upstreams, lost, delayed and duplicated messages, callers that resend to any
 * instance, instances that crash, leave and restart without state, partitions.
 */

#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

extern "C" {
#include "t/request-simulation.h"
}

#define KEYED_OPERATIONS 40
#define FAULTS_MS 12000 /* of sends and faults */
#define SETTLE_MS 8000	/* afterwards, without either */

struct fault_step {
	uint32_t at_ms;
	uint32_t fault;
	uint32_t target;
	uint32_t argument;
};

static rc::Gen<std::vector<fault_step>> fault_steps(size_t nr)
{
	return rc::gen::container<std::vector<fault_step>>(
		nr,
		rc::gen::build<fault_step>(
			rc::gen::set(&fault_step::at_ms,
				     rc::gen::inRange(0u, unsigned(FAULTS_MS))),
			rc::gen::set(&fault_step::fault,
				     rc::gen::inRange(0u, 1000u)),
			rc::gen::set(&fault_step::target,
				     rc::gen::inRange(0u, 360u)),
			rc::gen::set(&fault_step::argument,
				     rc::gen::inRange(0u, 1000u))));
}

static struct request_sim_options options()
{
	struct request_sim_options o = {};

	o.seed = *rc::gen::inRange(1u, 1000000u);
	o.instances = 9;
	o.domains = 3;
	o.first_service_upstreams = 6;
	o.second_service_upstreams = 2;
	o.slots = 3;
	o.mean_run_us = 60000;
	o.deadline_ms = 1500;
	o.loss_percent = 5;
	o.delayed_percent = 5;
	o.lost_answer_percent = 5;
	o.policy = SLOT_QUOTA_BORROWING;
	return o;
}

/* Adds NR random sends, drawn from a seed so that they are not shrunk. */
static void add_sends(struct request_sim *sim, uint32_t seed, unsigned int nr)
{
	GRand *rng = g_rand_new_with_seed(seed);

	for (unsigned int i = 0; i < nr; i++) {
		bool keyed = g_rand_int_range(rng, 0, 100) < 70;
		int leaves = g_rand_int_range(rng, 0, 8);
		struct request_sim_send send = {};

		send.operation = keyed ? (uint32_t)g_rand_int_range(
						 rng, 0, KEYED_OPERATIONS)
				       : KEYED_OPERATIONS + i;
		send.instance = (unsigned int)g_rand_int_range(rng, 0, 9);
		send.has_key = keyed;
		send.idempotent = !keyed && g_rand_boolean(rng);
		send.states_key_age = g_rand_int_range(rng, 0, 3) > 0;
		send.other_request = g_rand_int_range(rng, 0, 50) == 1;
		if (!leaves)
			send.leaves_after_ms =
				(uint32_t)g_rand_int_range(rng, 1, 1000);
		uint64_t at =
			(uint64_t)g_rand_int_range(rng, 0, FAULTS_MS) * MS;

		add_request_sim_send(sim, at, &send);
		if (!keyed || g_rand_boolean(rng))
			continue;
		send.instance = (unsigned int)g_rand_int_range(rng, 0, 9);
		add_request_sim_send(
			sim, at + (uint64_t)g_rand_int_range(rng, 0, 30 * MS),
			&send);
	}
	g_rand_free(rng);
}

static const enum request_sim_fault faults[] = {
	FAULT_KILL,	FAULT_KILL,	  FAULT_RESTART,	 FAULT_RESTART,
	FAULT_RESTART,	FAULT_LEAVE,	  FAULT_PARTITION,	 FAULT_HEAL,
	FAULT_SHED_ALL, FAULT_DISCONNECT, FAULT_COLD_UNANNOUNCED
};

static void add_faults(struct request_sim *sim,
		       const std::vector<fault_step> &ss)
{
	for (const fault_step &s : ss)
		add_request_sim_fault(
			sim, s.at_ms * MS,
			faults[s.fault % (sizeof(faults) / sizeof(faults[0]))],
			s.target % 9, s.argument);
}

static struct request_sim_report run(struct request_sim_options o,
				     const std::vector<fault_step> &faults_at)
{
	struct request_sim *sim = create_request_sim(&o);
	struct request_sim_report r;

	add_sends(sim, o.seed, 300);
	add_faults(sim, faults_at);
	run_request_sim(sim, (FAULTS_MS + SETTLE_MS) * MS);
	report_request_sim(sim, &r);
	destroy_request_sim(sim);
	if (getenv("BV_SHOW"))
		std::cerr << "sends " << r.sends << " answered " << r.answered
			  << " replayed " << r.replayed << " not-run "
			  << r.not_run << " unknown " << r.unknown
			  << " progress " << r.in_progress << " done " << r.done
			  << " reused " << r.key_reused << "\n";
	return r;
}

static void check(const struct request_sim_report &r)
{
	RC_ASSERT(r.duplicate_runs == 0u);
	RC_ASSERT(r.false_not_run == 0u);
	RC_ASSERT(r.wrong_answers == 0u);
	RC_ASSERT(r.duplicate_outcomes == 0u);
	RC_ASSERT(r.missing_outcomes == 0u);
}

int main()
{
	bool ok = rc::check(
		"no non-idempotent run is repeated and no outcome is false",
		[]() {
			struct request_sim_options o = options();

			check(run(o, *fault_steps(12)));
		});
	ok &= rc::check("without faults every first send is answered", []() {
		struct request_sim_options o = options();

		o.loss_percent = 0;
		o.delayed_percent = 0;
		o.lost_answer_percent = 0;
		struct request_sim *sim = create_request_sim(&o);
		struct request_sim_report r;

		for (unsigned int i = 0; i < 60; i++) {
			struct request_sim_send send = {};

			send.operation = i;
			send.instance = *rc::gen::inRange(0u, 9u);
			send.has_key = true;
			send.states_key_age = true;
			add_request_sim_send(sim, (2000 + i * 50) * MS, &send);
		}
		run_request_sim(sim, 10000 * MS);
		report_request_sim(sim, &r);
		destroy_request_sim(sim);
		RC_ASSERT(r.answered == 60u);
		check(r);
	});
	ok &= rc::check(
		"a cold upstream never gets more requests than its limit",
		[]() {
			struct request_sim_options o = options();
			const std::vector<fault_step> faults_at =
				*fault_steps(4);

			o.lost_answer_percent = 0;
			o.first_service_upstreams = 1;
			o.second_service_upstreams = 1;
			struct request_sim *sim = create_request_sim(&o);
			struct request_sim_report r;

			add_request_sim_fault(sim, 0, FAULT_COLD, 0, 0);
			for (const fault_step &s : faults_at)
				add_request_sim_fault(sim, s.at_ms * MS,
						      s.fault % 3
							      ? FAULT_KILL
							      : FAULT_RESTART,
						      s.target % 9, 0);
			for (unsigned int i = 0; i < 400; i++) {
				struct request_sim_send send = {};

				send.operation = i;
				send.instance = i * 7 % 9;
				add_request_sim_send(
					sim, i * (FAULTS_MS / 400) * MS, &send);
			}
			run_request_sim(sim, (FAULTS_MS + SETTLE_MS) * MS);
			report_request_sim(sim, &r);
			destroy_request_sim(sim);
			RC_ASSERT(r.cold_limit_excess == 0u);
			check(r);
		});
	return ok ? 0 : 1;
}
