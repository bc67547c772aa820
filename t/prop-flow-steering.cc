/*
 * Properties of steering by nine instances in one process, under generated
 * histories of packets, changes, deaths, stale tables and cuts.
 *
 * Set BV_FLOW_WAY to A or B to see a losing way fail.
 */

#include <glib.h>

#include <cstdlib>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "t/flow-bed.h"
}

#define FLOWS 60

/* A change that a history may hold; ARG picks what it befalls. */
enum change {
	DRAIN,
	UNDRAIN,
	JOIN,
	REMOVE,
	STALE,
	CATCH_UP,
	LEAVE,	  /* one instance is replaced; the others live on */
	KILL,	  /* an upstream dies */
	TAKE_OUT, /* a failure domain */
	BRING_BACK,
	CUT,
	HEAL,
	TURN_COLD,
	CHANGE_NR
};

static enum bed_way way_under_test()
{
	const char *way = getenv("BV_FLOW_WAY");

	if (way && *way == 'A')
		return WAY_NOTHING;
	if (way && *way == 'B')
		return WAY_LOCAL;
	return WAY_REMEMBER_NEW;
}

static struct bed *make_bed(int service_nr, bool udp, uint32_t cold)
{
	struct bed_options opt = {};

	opt.seed = *rc::gen::arbitrary<uint32_t>();
	opt.instance_nr = 9;
	opt.domain_nr = 4;
	opt.upstream_nr = 8;
	opt.service_nr = service_nr;
	opt.udp = udp;
	opt.way = way_under_test();
	opt.idle_ms = 3600 * 1000;
	opt.cold_connections = cold;
	opt.news_ms = 800;
	struct bed *b = create_flow_bed(&opt);
	run_flow_bed(b, *rc::gen::element<uint64_t>(3000, 130000));
	return b;
}

static void open_flows(struct bed *b, int n)
{
	for (int i = 0; i < n; i++)
		open_bed_flow(b, (uint32_t)(i % b->opt.service_nr));
}

/* Every flow sends a packet or two while MS pass. */
static void send_flows(struct bed *b, int ms)
{
	guint nr = b->flows->len;

	for (guint i = 0; i < nr; i++) {
		if (i % 8 == 0)
			run_flow_bed(b, b->now + (uint64_t)ms * 8 / nr);
		send_bed_packet(b, i, TCP_ACK);
	}
	run_flow_bed(b, b->now + 10);
}

static int upstreams_taking(struct bed *b)
{
	int nr = 0;

	for (int i = 0; i < b->upstream_nr[0]; i++) {
		const struct bed_upstream *up = &b->ups[0][i];

		nr += up->listed && !up->config.draining && !up->dead &&
		      !up->out;
	}
	return nr;
}

static void make_change(struct bed *b, enum change c, int arg)
{
	int up = arg % b->upstream_nr[0];
	int domain = arg % b->opt.domain_nr;
	int instance = arg % b->opt.instance_nr;

	switch (c) {
	case DRAIN:
		if (upstreams_taking(b) > 2)
			drain_bed_upstream(b, 0, up, true);
		break;
	case UNDRAIN:
		if (b->ups[0][up].listed)
			drain_bed_upstream(b, 0, up, false);
		break;
	case JOIN:
		join_bed_upstream(b, 0, arg % 2);
		break;
	case REMOVE:
		if (upstreams_taking(b) > 2)
			remove_bed_upstream(b, 0, up);
		break;
	case STALE:
		b->at[instance].stale = true;
		break;
	case CATCH_UP:
		for (int i = 0; i < b->opt.instance_nr; i++)
			catch_up_flow_bed(b, i);
		break;
	case LEAVE:
		kill_bed_instance(b, instance);
		join_bed_instance(b, instance);
		break;
	case KILL:
		if (upstreams_taking(b) > 2)
			kill_bed_upstream(b, 0, up);
		break;
	case TAKE_OUT:
		if (upstreams_taking(b) > 4)
			take_bed_domain(b, domain, true);
		break;
	case BRING_BACK:
		take_bed_domain(b, domain, false);
		break;
	case CUT:
		cut_flow_bed(b, 2);
		break;
	case HEAL:
		heal_flow_bed(b);
		break;
	case TURN_COLD:
		set_flow_bed_state(b, 0, up, UPSTREAM_COLD);
		break;
	case CHANGE_NR:
		break;
	}
}

using history = std::vector<std::pair<int, int>>;

/* Histories of up to six of the CHANGES given. */
static history make_history(const std::vector<int> &changes)
{
	auto step = rc::gen::pair(rc::gen::elementOf(changes),
				  rc::gen::inRange(0, 1000));

	return *rc::gen::resize(6, rc::gen::container<history>(step));
}

/* Plays H with packets and newborn flows between its changes. */
static void play(struct bed *b, const history &h, int gap_ms)
{
	open_flows(b, FLOWS);
	send_flows(b, 100);
	for (const auto &step : h) {
		make_change(b, (enum change)step.first, step.second);
		for (int i = 0; i < 3; i++) {
			send_flows(b, gap_ms / 3);
			open_flows(b, FLOWS / 6);
		}
	}
	send_flows(b, 2000);
	send_flows(b, 4000);
}

/* Replaces one instance after the other, each once it may end. */
static void replace_all(struct bed *b)
{
	for (int i = 0; i < b->opt.instance_nr; i++) {
		leave_bed_instance(b, i);
		for (int n = 0; n < 60 && !may_bed_instance_end(b, i); n++) {
			send_flows(b, 500);
			open_flows(b, FLOWS / 12);
		}
		RC_ASSERT(may_bed_instance_end(b, i));
		kill_bed_instance(b, i);
		join_bed_instance(b, i);
		send_flows(b, 1000);
	}
	send_flows(b, 4000);
}

static const std::vector<int> planned = { DRAIN, UNDRAIN, JOIN, REMOVE };
static const std::vector<int> everything = {
	DRAIN, UNDRAIN,	 JOIN,	     REMOVE, STALE, CATCH_UP, LEAVE,
	KILL,  TAKE_OUT, BRING_BACK, CUT,    HEAL,  TURN_COLD
};

static bool check_planned()
{
	bool ok = rc::check(
		"an established flow keeps its upstream under planned changes",
		[] {
			struct bed *b = make_bed(1, false, BED_UNLIMITED);
			struct bed_outcome o;

			play(b, make_history(planned),
			     *rc::gen::inRange(300, 6000));
			o = judge_flow_bed(b);
			destroy_flow_bed(b);
			RC_ASSERT(o.broken == 0U);
			RC_ASSERT(o.given_up == 0U);
		});
	ok &= rc::check(
		"the same while one instance is stale and one is replaced", [] {
			struct bed *b = make_bed(1, false, BED_UNLIMITED);
			history h = make_history(planned);
			struct bed_outcome o;
			int at = *rc::gen::inRange(0, (int)h.size() + 1);

			h.insert(h.begin() + at, { STALE, 3 });
			h.push_back({ CATCH_UP, 0 });
			h.push_back({ LEAVE, 5 });
			play(b, h, *rc::gen::inRange(2000, 6000));
			o = judge_flow_bed(b);
			destroy_flow_bed(b);
			RC_ASSERT(o.broken == 0U);
		});
	ok &= rc::check(
		"the same while every instance says that it leaves and is "
		"replaced",
		[] {
			struct bed *b = make_bed(1, *rc::gen::arbitrary<bool>(),
						 BED_UNLIMITED);
			struct bed_outcome o;

			play(b, make_history(planned), 600);
			replace_all(b);
			o = judge_flow_bed(b);
			destroy_flow_bed(b);
			RC_ASSERT(o.broken == 0U);
		});
	ok &= rc::check("flows of UDP keep their upstream likewise", [] {
		struct bed *b = make_bed(1, true, BED_UNLIMITED);
		struct bed_outcome o;

		play(b, make_history(planned), *rc::gen::inRange(300, 6000));
		o = judge_flow_bed(b);
		destroy_flow_bed(b);
		RC_ASSERT(o.broken == 0U);
	});
	return ok;
}

static bool check_always()
{
	return rc::check("whatever happens, no packet reaches another service "
			 "and bounds hold",
			 [] {
				 struct bed *b =
					 make_bed(2, true, BED_UNLIMITED);
				 struct bed_outcome o;
				 uint64_t late_out;

				 play(b, make_history(everything),
				      *rc::gen::inRange(300, 6000));
				 o = judge_flow_bed(b);
				 late_out = b->late_out;
				 destroy_flow_bed(b);
				 RC_ASSERT(o.wrong == 0U);
				 RC_ASSERT(late_out == 0U);
			 });
}

static bool check_bounds()
{
	const std::vector<int> changes = { DRAIN,    UNDRAIN, JOIN,
					   TAKE_OUT, LEAVE,   KILL };

	return rc::check("a draining upstream gets no new flow after 3 s", [=] {
		struct bed *b = make_bed(1, false, BED_UNLIMITED);
		uint64_t late_new;

		play(b, make_history(changes), *rc::gen::inRange(300, 6000));
		late_new = b->late_new;
		destroy_flow_bed(b);
		RC_ASSERT(late_new == 0U);
	});
}

static bool check_cold()
{
	const std::vector<int> changes = { DRAIN, JOIN, LEAVE, TURN_COLD,
					   STALE };

	return rc::check("a cold upstream gets no more than it bears", [=] {
		uint32_t bears = (uint32_t)*rc::gen::inRange(5, 30);
		struct bed *b = make_bed(1, false, bears);
		uint32_t peak = 0;

		play(b, make_history(changes), *rc::gen::inRange(300, 6000));
		for (int i = 0; i < b->upstream_nr[0]; i++)
			peak = MAX(peak, b->ups[0][i].cold_peak);
		destroy_flow_bed(b);
		RC_ASSERT(peak <= bears);
	});
}

int main()
{
	bool ok = check_planned();

	ok &= check_always();
	ok &= check_bounds();
	ok &= check_cold();
	return ok ? 0 : 1;
}
