/*
 * Properties of fleet/health and fleet/limits over random event sequences. They
 * guard against a cold or failing upstream that gets full load, publications
 * that are too frequent or follow from a partition, and too many probes.
 */

#include <rapidcheck.h>
#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "fleet/health-probers.h"
#include "t/health-harness.h"
}

/* An event of one upstream, and the time without events after it. */
struct health_step {
	int kind;
	size_t target;
	uint64_t wait_ms;
};

enum {
	DIE,
	REVIVE,
	RESTART,
	START_REPORTING_COLD,
	START_REPORTING_WARM,
	START_REPORTING_DRAINING,
	SHED,
	LOSE,
	ANSWER,
	ANSWER_SLOWLY,
	DOMAIN_OUT,
	DOMAIN_BACK,
	STEP_NR
};

static void showValue(const health_step &h, std::ostream &os)
{
	static const char *const names[STEP_NR] = {
		"dies",		  "revives",	  "restarts",
		"reports cold",	  "reports warm", "reports draining",
		"sheds",	  "loses",	  "answers",
		"answers slowly", "domain out",	  "domain back"
	};

	os << h.target << " " << names[h.kind] << ", " << h.wait_ms << " ms";
}

static rc::Gen<health_step> random_step()
{
	return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, (int)STEP_NR),
					   rc::gen::inRange<size_t>(0, 12),
					   rc::gen::element<uint64_t>(
						   0, 200, 800, 3000, 12000)),
			    [](const std::tuple<int, size_t, uint64_t> &t) {
				    return health_step{ std::get<0>(t),
							std::get<1>(t),
							std::get<2>(t) };
			    });
}

static void apply_event(health_harness *hh, const health_step &h)
{
	simulated_upstream *t = &hh->upstreams[h.target];

	switch (h.kind) {
	case DIE:
		t->dead = true;
		break;
	case RESTART:
		t->start_id++;
		t->dead = false;
		break;
	case REVIVE:
		t->dead = false;
		break;
	case START_REPORTING_COLD:
		t->report = REPORT_COLD;
		break;
	case START_REPORTING_WARM:
		t->report = REPORT_WARM;
		break;
	case START_REPORTING_DRAINING:
		t->report = REPORT_DRAINING;
		break;
	case SHED:
		observe_request(hh, h.target, HEALTH_SHED, 0);
		break;
	case LOSE:
		observe_request(hh, h.target, HEALTH_LOST, 0);
		break;
	case ANSWER:
		observe_request(hh, h.target, HEALTH_ANSWERED, 10);
		break;
	case ANSWER_SLOWLY:
		observe_request(hh, h.target, HEALTH_ANSWERED, 500);
		break;
	case DOMAIN_OUT:
		set_domain_out(hh->view,
			       nth_health_upstream(hh, h.target)->domain, true);
		break;
	case DOMAIN_BACK:
		set_domain_out(hh->view,
			       nth_health_upstream(hh, h.target)->domain,
			       false);
		break;
	}
	run_health(hh, h.wait_ms);
}

struct harness {
	health_harness *hh = create_health_harness(3, 2, 4);
	~harness()
	{
		destroy_health_harness(hh);
	}
};

static std::vector<health_step> random_events()
{
	return *rc::gen::container<std::vector<health_step>>(random_step());
}

static bool losses_turn_an_upstream_cold()
{
	return rc::check(
		"losses make a used upstream cold within 8 answers", [] {
			harness x;
			size_t u = *rc::gen::inRange<size_t>(0, 12);
			int n = 0;

			for (const health_step &h : random_events())
				apply_event(x.hh, h);
			while (effective_state(x.hh, u) == UPSTREAM_WARM &&
			       n < 100) {
				observe_request(x.hh, u, HEALTH_LOST, 0);
				n++;
			}
			RC_ASSERT(n <= HEALTH_WINDOW_REQUESTS);
		});
}

static bool sheds_trigger_an_early_probe()
{
	return rc::check(
		"an upstream that sheds and reports cold is cold after the "
		"next probe",
		[] {
			harness x;
			size_t u = nth_primary_upstream(x.hh, 0);

			for (const health_step &h : random_events())
				if (h.target != u)
					apply_event(x.hh, h);
			run_health(x.hh, *rc::gen::inRange(0, 60) * 1000u);
			x.hh->upstreams[u].report = REPORT_COLD;
			for (int i = 0; i < HEALTH_EARLY_PROBE_SHEDS; i++)
				observe_request(x.hh, u, HEALTH_SHED, 0);
			run_health(x.hh,
				   HEALTH_EARLY_PROBE_MS + HEALTH_TICK_MS);
			RC_ASSERT(effective_state(x.hh, u) != UPSTREAM_WARM);
		});
}

static bool reports_do_not_warm_a_failing_upstream()
{
	return rc::check(
		"an upstream that fails its requests is not warm, whatever it "
		"reports",
		[] {
			harness x;
			size_t u = *rc::gen::inRange<size_t>(0, 12);
			uint64_t gap = *rc::gen::element<uint64_t>(
				200, 1000, 4000, 12000, 25000);

			run_health(x.hh, 30000);
			x.hh->upstreams[u].report = REPORT_WARM;
			for (int i = 0; i < 100; i++) {
				observe_request(x.hh, u, HEALTH_LOST, 0);
				run_health(x.hh, gap);
				if (i < HEALTH_WINDOW_REQUESTS)
					continue;
				RC_ASSERT(effective_state(x.hh, u) !=
					  UPSTREAM_WARM);
				RC_ASSERT(effective_slots(x.hh, u) <= 1);
			}
		});
}

static bool publications_are_rate_limited()
{
	return rc::check(
		"one instance publishes an upstream at most every 3 s", [] {
			harness x;

			for (const health_step &h : random_events())
				apply_event(x.hh, h);
			for (const health_step &h : random_events())
				apply_event(x.hh, h);
			for (size_t u = 0; u < x.hh->upstream_nr; u++)
				RC_ASSERT(x.hh->upstreams[u]
						  .shortest_change_gap_ms >=
					  HEALTH_PUBLISH_INTERVAL_MS);
		});
}

static bool partition_publishes_no_down()
{
	return rc::check(
		"a partitioned instance publishes no upstream as down because "
		"of the partition",
		[] {
			harness x;
			std::vector<bool> was;

			for (const health_step &h : random_events())
				apply_event(x.hh, h);
			for (size_t u = 0; u < x.hh->upstream_nr; u++) {
				x.hh->upstreams[u].dead = true;
				was.push_back(effective_state(x.hh, u) ==
					      UPSTREAM_DOWN);
			}
			run_health(x.hh, 60000);
			for (size_t u = 0; u < x.hh->upstream_nr; u++)
				RC_ASSERT(was[u] ||
					  upstream_state(x.hh->view,
							 nth_health_upstream(
								 x.hh, u)) !=
						  UPSTREAM_DOWN);
		});
}

/* Times that bound one upstream's limit over a sequence of events. */
struct limit_history {
	uint64_t cold_limit_at_ms; /* last time at the cold limit or less */
	uint64_t cold_since_ms;	   /* last change to cold */
	enum upstream_state last_state; /* at the previous check */
};

static void check_limit(health_harness *hh, size_t u, limit_history *c)
{
	uint32_t slots = effective_slots(hh, u);
	enum upstream_state state = effective_state(hh, u);

	if (state == UPSTREAM_COLD && c->last_state != UPSTREAM_COLD)
		c->cold_since_ms = hh->now_ms;
	c->last_state = state;
	if (slots <= 1)
		c->cold_limit_at_ms = hh->now_ms;
	if (c->cold_since_ms &&
	    hh->now_ms < c->cold_since_ms + HEALTH_COLD_MIN_MS)
		RC_ASSERT(slots <= 1u);
	if (hh->now_ms < c->cold_limit_at_ms + HEALTH_RAMP_MS / 4)
		RC_ASSERT(slots <= 3u);
	if (hh->now_ms < c->cold_limit_at_ms + HEALTH_RAMP_MS / 2)
		RC_ASSERT(slots <= 6u);
}

static bool limit_grows_in_steps()
{
	return rc::check(
		"a limit stays at cold for 5 s and then grows in steps", [] {
			harness x;
			limit_history start = { x.hh->now_ms, 0,
						UPSTREAM_UNKNOWN };
			std::vector<limit_history> cs(x.hh->upstream_nr, start);

			for (health_step h : random_events()) {
				uint64_t wait = h.wait_ms;

				h.wait_ms = 0;
				apply_event(x.hh, h);
				for (uint64_t t = 0; t <= wait;
				     t += HEALTH_TICK_MS) {
					run_health(x.hh, HEALTH_TICK_MS);
					for (size_t u = 0; u < cs.size(); u++)
						check_limit(x.hh, u, &cs[u]);
				}
			}
		});
}

/* A harness of one domain; each other instance is missing 1 time in 4. */
static health_harness *random_harness(size_t instances, size_t upstreams)
{
	health_harness *hh = create_health_harness(1, instances, upstreams);
	std::vector<uint64_t> ids;
	size_t nr;
	const member *ms = view_members(hh->view, &nr);

	for (size_t i = 0; i < nr; i++)
		if (ms[i].id != view_self(hh->view))
			ids.push_back(ms[i].id);
	for (uint64_t id : ids)
		if (*rc::gen::inRange(0, 4) == 0)
			remove_member(hh->view, id);
	return hh;
}

static bool probes_are_bounded()
{
	return rc::check(
		"an instance sends at most 3 probes a second, 6 amid sheds",
		[] {
			size_t instances = *rc::gen::inRange<size_t>(1, 30);
			size_t upstreams = *rc::gen::inRange<size_t>(
				1, HARNESS_UPSTREAMS_MAX);
			health_harness *hh =
				random_harness(instances, upstreams);
			size_t sent = 0;
			size_t early = 0; /* in the first 5 s */
			bool idle = *rc::gen::arbitrary<bool>();
			bool shed = *rc::gen::arbitrary<bool>();
			size_t most = 60 * HEALTH_PROBES_PER_S;

			for (size_t u = 0; u < upstreams; u++)
				hh->upstreams[u].dead = idle;
			for (int t = 0; t < 60; t++) {
				for (size_t u = 0; shed && u < upstreams; u++)
					for (int i = 0; i < 4; i++)
						observe_request(hh, u,
								HEALTH_SHED, 0);
				run_health(hh, 1000);
				for (size_t u = 0; t == 4 && u < upstreams; u++)
					early += hh->upstreams[u].probe_count;
			}
			for (size_t u = 0; u < upstreams; u++)
				sent += hh->upstreams[u].probe_count;
			destroy_health_harness(hh);
			/* jitter: up to a fifth of the interval either way */
			RC_ASSERT(early <= 2 * 5 * HEALTH_PROBES_PER_S + 4u);
			RC_ASSERT(sent <= most * (shed ? 2 : 1) * 5 / 4 + 4);
		});
}

static bool one_primary_and_one_standby()
{
	return rc::check(
		"by equal views one instance is primary and one standby", [] {
			size_t n = *rc::gen::inRange<size_t>(2, 40);
			std::vector<int> primaries(8, 0);
			std::vector<int> standbys(8, 0);

			for (size_t self = 0; self < n; self++) {
				std::string name = "in-" + std::to_string(self);
				view *v = create_view(service_id(name.c_str()));
				member m = {};

				m.state = MEMBER_ALIVE;
				strcpy(m.domain, "north");
				for (size_t i = 0; i < n; i++) {
					name = "in-" + std::to_string(i);
					m.id = service_id(name.c_str());
					set_view_member(v, &m);
				}
				probers *ps = create_probers(v);

				update_probers(ps);
				for (size_t u = 0; u < primaries.size(); u++) {
					upstream up = {};
					health_role r;

					up.id = 1000 + u;
					strcpy(up.domain, "north");
					r = prober_role(ps, &up);
					primaries[u] += r == HEALTH_PRIMARY;
					standbys[u] += r == HEALTH_STANDBY;
				}
				destroy_probers(ps);
				destroy_view(v);
			}
			for (size_t u = 0; u < primaries.size(); u++) {
				RC_ASSERT(primaries[u] == 1);
				RC_ASSERT(standbys[u] == 1);
			}
		});
}

int main()
{
	bool ok = losses_turn_an_upstream_cold();

	ok &= sheds_trigger_an_early_probe();
	ok &= reports_do_not_warm_a_failing_upstream();
	ok &= publications_are_rate_limited();
	ok &= partition_publishes_no_down();
	ok &= limit_grows_in_steps();
	ok &= probes_are_bounded();
	ok &= one_primary_and_one_standby();
	return ok ? 0 : 1;
}
