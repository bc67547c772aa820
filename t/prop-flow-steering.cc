/*
 * Properties of steering by nine instances in one process, under generated
 * sequences of packets, configuration changes, deaths, stale instances and
 * partitions.
 *
 * Set BV_FLOW_WAY to A or B to see another steering strategy fail.
 */

#include <glib.h>

#include <cstdlib>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "t/flow-harness.h"
}

#define FLOWS 60

/* Generated changes, of one upstream, instance or failure domain each. */
enum change {
	DRAIN,
	UNDRAIN,
	JOIN,
	REMOVE,
	STALE,	    /* an instance gets no more configurations */
	CATCH_UP,   /* no instance is stale any more */
	REPLACE,    /* an instance dies; a new process takes its place */
	KILL,	    /* an upstream dies */
	TAKE_OUT,   /* a failure domain goes out of service */
	BRING_BACK, /* a failure domain returns to service */
	PARTITION,
	HEAL,
	TURN_COLD,
	CHANGE_NR
};

static enum steering_strategy strategy_under_test()
{
	const char *way = getenv("BV_FLOW_WAY");

	if (way && *way == 'A')
		return STRATEGY_HASH_ONLY;
	if (way && *way == 'B')
		return STRATEGY_LOCAL_TABLE;
	return STRATEGY_RECORD_NEW;
}

static struct flow_harness *make_harness(int service_nr, bool udp,
					 uint32_t cold)
{
	struct harness_options opt = {};

	opt.seed = *rc::gen::arbitrary<uint32_t>();
	opt.instance_nr = 9;
	opt.domain_nr = 4;
	opt.upstream_nr = 8;
	opt.service_nr = service_nr;
	opt.udp = udp;
	opt.strategy = strategy_under_test();
	opt.idle_ms = 3600 * 1000;
	opt.cold_connections = cold;
	opt.update_delay_max_ms = 800;
	struct flow_harness *h = create_flow_harness(&opt);
	run_flow_harness(h, *rc::gen::element<uint64_t>(3000, 130000));
	return h;
}

static void open_flows(struct flow_harness *h, int n)
{
	for (int i = 0; i < n; i++)
		open_harness_flow(h, (uint32_t)(i % h->opt.service_nr));
}

/* Sends one packet of each flow, spread over about MS. */
static void send_flows(struct flow_harness *h, int ms)
{
	guint nr = h->flows->len;

	for (guint i = 0; i < nr; i++) {
		if (i % 8 == 0)
			run_flow_harness(h, h->now_ms + (uint64_t)ms * 8 / nr);
		send_harness_packet(h, i, TCP_ACK);
	}
	run_flow_harness(h, h->now_ms + 10);
}

static int taking_upstream_count(struct flow_harness *h)
{
	int nr = 0;

	for (int i = 0; i < h->upstream_nr[0]; i++) {
		const struct harness_upstream *up = &h->upstreams[0][i];

		nr += up->listed && !up->config.draining && !up->dead &&
		      !up->out;
	}
	return nr;
}

static void make_change(struct flow_harness *h, enum change c, int arg)
{
	int up = arg % h->upstream_nr[0];
	int domain = arg % h->opt.domain_nr;
	int instance = arg % h->opt.instance_nr;

	switch (c) {
	case DRAIN:
		if (taking_upstream_count(h) > 2)
			drain_harness_upstream(h, 0, up, true);
		break;
	case UNDRAIN:
		if (h->upstreams[0][up].listed)
			drain_harness_upstream(h, 0, up, false);
		break;
	case JOIN:
		join_harness_upstream(h, 0, arg % 2);
		break;
	case REMOVE:
		if (taking_upstream_count(h) > 2)
			remove_harness_upstream(h, 0, up);
		break;
	case STALE:
		h->instances[instance].stale = true;
		break;
	case CATCH_UP:
		for (int i = 0; i < h->opt.instance_nr; i++)
			catch_up_harness_instance(h, i);
		break;
	case REPLACE:
		kill_harness_instance(h, instance);
		join_harness_instance(h, instance);
		break;
	case KILL:
		if (taking_upstream_count(h) > 2)
			kill_harness_upstream(h, 0, up);
		break;
	case TAKE_OUT:
		if (taking_upstream_count(h) > 4)
			set_harness_domain_out(h, domain, true);
		break;
	case BRING_BACK:
		set_harness_domain_out(h, domain, false);
		break;
	case PARTITION:
		partition_flow_harness(h, 2);
		break;
	case HEAL:
		heal_flow_harness(h);
		break;
	case TURN_COLD:
		set_harness_upstream_state(h, 0, up, UPSTREAM_COLD);
		break;
	case CHANGE_NR:
		break;
	}
}

using change_sequence = std::vector<std::pair<int, int>>;

/* Generates a sequence of up to six changes out of CHANGES. */
static change_sequence make_change_sequence(const std::vector<int> &changes)
{
	auto step = rc::gen::pair(rc::gen::elementOf(changes),
				  rc::gen::inRange(0, 1000));

	return *rc::gen::resize(6, rc::gen::container<change_sequence>(step));
}

/* Makes the changes of STEPS, with packets and new flows in between. */
static void run_changes(struct flow_harness *h, const change_sequence &steps,
			int gap_ms)
{
	open_flows(h, FLOWS);
	send_flows(h, 100);
	for (const auto &step : steps) {
		make_change(h, (enum change)step.first, step.second);
		for (int i = 0; i < 3; i++) {
			send_flows(h, gap_ms / 3);
			open_flows(h, FLOWS / 6);
		}
	}
	send_flows(h, 2000);
	send_flows(h, 4000);
}

/* Replaces each instance in turn once it has handed over its records. */
static void replace_all_instances(struct flow_harness *h)
{
	for (int i = 0; i < h->opt.instance_nr; i++) {
		announce_harness_instance_leave(h, i);
		for (int n = 0; n < 60 && !can_harness_instance_end(h, i);
		     n++) {
			send_flows(h, 500);
			open_flows(h, FLOWS / 12);
		}
		RC_ASSERT(can_harness_instance_end(h, i));
		kill_harness_instance(h, i);
		join_harness_instance(h, i);
		send_flows(h, 1000);
	}
	send_flows(h, 4000);
}

static const std::vector<int> planned_changes = { DRAIN, UNDRAIN, JOIN,
						  REMOVE };
static const std::vector<int> all_changes = {
	DRAIN, UNDRAIN,	 JOIN,	     REMOVE,	STALE, CATCH_UP, REPLACE,
	KILL,  TAKE_OUT, BRING_BACK, PARTITION, HEAL,  TURN_COLD
};

static bool check_planned_changes()
{
	bool ok = rc::check(
		"an established flow keeps its upstream under planned changes",
		[] {
			struct flow_harness *h =
				make_harness(1, false, HARNESS_UNLIMITED);
			struct harness_outcome outcome;

			run_changes(h, make_change_sequence(planned_changes),
				    *rc::gen::inRange(300, 6000));
			outcome = sum_harness_outcomes(h);
			destroy_flow_harness(h);
			RC_ASSERT(outcome.broken == 0U);
			RC_ASSERT(outcome.lost_with_upstream == 0U);
		});
	ok &= rc::check(
		"an established flow keeps its upstream while one instance "
		"is stale and one is replaced",
		[] {
			struct flow_harness *h =
				make_harness(1, false, HARNESS_UNLIMITED);
			change_sequence steps =
				make_change_sequence(planned_changes);
			struct harness_outcome outcome;
			int at = *rc::gen::inRange(0, (int)steps.size() + 1);

			steps.insert(steps.begin() + at, { STALE, 3 });
			steps.push_back({ CATCH_UP, 0 });
			steps.push_back({ REPLACE, 5 });
			run_changes(h, steps, *rc::gen::inRange(2000, 6000));
			outcome = sum_harness_outcomes(h);
			destroy_flow_harness(h);
			RC_ASSERT(outcome.broken == 0U);
		});
	ok &= rc::check(
		"an established flow keeps its upstream while every instance "
		"leaves and is replaced",
		[] {
			struct flow_harness *h =
				make_harness(1, *rc::gen::arbitrary<bool>(),
					     HARNESS_UNLIMITED);
			struct harness_outcome outcome;

			run_changes(h, make_change_sequence(planned_changes),
				    600);
			replace_all_instances(h);
			outcome = sum_harness_outcomes(h);
			destroy_flow_harness(h);
			RC_ASSERT(outcome.broken == 0U);
		});
	ok &= rc::check(
		"UDP flows keep their upstream under planned changes", [] {
			struct flow_harness *h =
				make_harness(1, true, HARNESS_UNLIMITED);
			struct harness_outcome outcome;

			run_changes(h, make_change_sequence(planned_changes),
				    *rc::gen::inRange(300, 6000));
			outcome = sum_harness_outcomes(h);
			destroy_flow_harness(h);
			RC_ASSERT(outcome.broken == 0U);
		});
	return ok;
}

static bool check_all_changes()
{
	return rc::check(
		"no packet reaches another service, or a domain out of "
		"service after 3 s, under any changes",
		[] {
			struct flow_harness *h =
				make_harness(2, true, HARNESS_UNLIMITED);
			struct harness_outcome outcome;
			uint64_t late_out;

			run_changes(h, make_change_sequence(all_changes),
				    *rc::gen::inRange(300, 6000));
			outcome = sum_harness_outcomes(h);
			late_out = h->late_out_packets;
			destroy_flow_harness(h);
			RC_ASSERT(outcome.wrong_service == 0U);
			RC_ASSERT(late_out == 0U);
		});
}

static bool check_drain_delay()
{
	const std::vector<int> changes = { DRAIN,    UNDRAIN, JOIN,
					   TAKE_OUT, REPLACE, KILL };

	return rc::check("a draining upstream gets no new flow after 3 s", [=] {
		struct flow_harness *h =
			make_harness(1, false, HARNESS_UNLIMITED);
		uint64_t late_new;

		run_changes(h, make_change_sequence(changes),
			    *rc::gen::inRange(300, 6000));
		late_new = h->late_new_flows;
		destroy_flow_harness(h);
		RC_ASSERT(late_new == 0U);
	});
}

static bool check_cold_limit()
{
	const std::vector<int> changes = { DRAIN, JOIN, REPLACE, TURN_COLD,
					   STALE };

	return rc::check("a cold upstream stays within its limit", [=] {
		uint32_t limit = (uint32_t)*rc::gen::inRange(5, 30);
		struct flow_harness *h = make_harness(1, false, limit);
		uint32_t peak = 0;

		run_changes(h, make_change_sequence(changes),
			    *rc::gen::inRange(300, 6000));
		for (int i = 0; i < h->upstream_nr[0]; i++)
			peak = MAX(peak, h->upstreams[0][i].cold_flows_max);
		destroy_flow_harness(h);
		RC_ASSERT(peak <= limit);
	});
}

int main()
{
	bool ok = check_planned_changes();

	ok &= check_all_changes();
	ok &= check_drain_delay();
	ok &= check_cold_limit();
	return ok ? 0 : 1;
}
