/* Properties of fleet/health and fleet/limits over generated histories. */

#include <rapidcheck.h>
#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "fleet/health-probers.h"
#include "t/health-bed.h"
}

/* What happens to one upstream, and how long it is quiet afterwards. */
struct happening {
	int kind;
	size_t target;
	uint64_t wait_ms;
};

enum {
	DIES,
	REVIVES,
	RESTARTS,
	SAYS_COLD,
	SAYS_WARM,
	SAYS_DRAINING,
	SHEDS,
	LOSES,
	ANSWERS,
	ANSWERS_SLOWLY,
	DOMAIN_OUT,
	DOMAIN_BACK,
	HAPPENING_NR
};

static void showValue(const happening &h, std::ostream &os)
{
	static const char *const names[HAPPENING_NR] = {
		"dies",	     "revives",	       "restarts",   "says cold",
		"says warm", "says draining",  "sheds",	     "loses",
		"answers",   "answers slowly", "domain out", "domain back"
	};

	os << h.target << " " << names[h.kind] << ", " << h.wait_ms << " ms";
}

static rc::Gen<happening> any_happening()
{
	return rc::gen::map(
		rc::gen::tuple(
			rc::gen::inRange(0, (int)HAPPENING_NR),
			rc::gen::inRange<size_t>(0, 12),
			rc::gen::element<uint64_t>(0, 200, 800, 3000, 12000)),
		[](const std::tuple<int, size_t, uint64_t> &t) {
			return happening{ std::get<0>(t), std::get<1>(t),
					  std::get<2>(t) };
		});
}

static void happen(health_bed *b, const happening &h)
{
	bed_target *t = &b->target[h.target];

	switch (h.kind) {
	case DIES:
		t->dead = true;
		break;
	case RESTARTS:
		t->start_id++;
		t->dead = false;
		break;
	case REVIVES:
		t->dead = false;
		break;
	case SAYS_COLD:
		t->report = REPORT_COLD;
		break;
	case SAYS_WARM:
		t->report = REPORT_WARM;
		break;
	case SAYS_DRAINING:
		t->report = REPORT_DRAINING;
		break;
	case SHEDS:
		bed_observe(b, h.target, HEALTH_SHED, 0);
		break;
	case LOSES:
		bed_observe(b, h.target, HEALTH_LOST, 0);
		break;
	case ANSWERS:
		bed_observe(b, h.target, HEALTH_ANSWERED, 10);
		break;
	case ANSWERS_SLOWLY:
		bed_observe(b, h.target, HEALTH_ANSWERED, 500);
		break;
	case DOMAIN_OUT:
		set_domain_out(b->view, bed_upstream(b, h.target)->domain,
			       true);
		break;
	case DOMAIN_BACK:
		set_domain_out(b->view, bed_upstream(b, h.target)->domain,
			       false);
		break;
	}
	run_bed(b, h.wait_ms);
}

struct bed {
	health_bed *b = create_health_bed(3, 2, 4);
	~bed()
	{
		destroy_health_bed(b);
	}
};

static std::vector<happening> any_history()
{
	return *rc::gen::container<std::vector<happening>>(any_happening());
}

static bool turns_cold_at_once()
{
	return rc::check(
		"losses make a used upstream cold within 8 answers", [] {
			bed x;
			size_t u = *rc::gen::inRange<size_t>(0, 12);
			int n = 0;

			for (const happening &h : any_history())
				happen(x.b, h);
			while (bed_used(x.b, u) == UPSTREAM_WARM && n < 100) {
				bed_observe(x.b, u, HEALTH_LOST, 0);
				n++;
			}
			RC_ASSERT(n <= HEALTH_WINDOW);
		});
}

static bool sheds_are_asked_about()
{
	return rc::check(
		"one that sheds and says cold is cold after the next probe",
		[] {
			bed x;
			size_t u = bed_primary(x.b, 0);

			for (const happening &h : any_history())
				if (h.target != u)
					happen(x.b, h);
			run_bed(x.b, *rc::gen::inRange(0, 60) * 1000u);
			x.b->target[u].report = REPORT_COLD;
			for (int i = 0; i < HEALTH_SHEDS_WARM; i++)
				bed_observe(x.b, u, HEALTH_SHED, 0);
			run_bed(x.b, HEALTH_ASK_AGAIN_MS + HEALTH_TICK_MS);
			RC_ASSERT(bed_used(x.b, u) != UPSTREAM_WARM);
		});
}

static bool lies_do_not_warm()
{
	return rc::check(
		"an upstream that fails its requests is not warm, whatever it "
		"says",
		[] {
			bed x;
			size_t u = *rc::gen::inRange<size_t>(0, 12);
			uint64_t gap = *rc::gen::element<uint64_t>(
				200, 1000, 4000, 12000, 25000);

			run_bed(x.b, 30000);
			x.b->target[u].report = REPORT_WARM;
			for (int i = 0; i < 100; i++) {
				bed_observe(x.b, u, HEALTH_LOST, 0);
				run_bed(x.b, gap);
				if (i < HEALTH_WINDOW)
					continue;
				RC_ASSERT(bed_used(x.b, u) != UPSTREAM_WARM);
				RC_ASSERT(bed_slots(x.b, u) <= 1);
			}
		});
}

static bool does_not_flap()
{
	return rc::check(
		"one instance publishes an upstream at most every 3 s", [] {
			bed x;

			for (const happening &h : any_history())
				happen(x.b, h);
			for (const happening &h : any_history())
				happen(x.b, h);
			for (size_t u = 0; u < x.b->upstream_nr; u++)
				RC_ASSERT(x.b->target[u].shortest_gap >=
					  HEALTH_PUBLISH_MS);
		});
}

static bool cut_says_nothing()
{
	return rc::check(
		"an instance that is cut off publishes no down that it judged "
		"in the cut",
		[] {
			bed x;
			std::vector<bool> was;

			for (const happening &h : any_history())
				happen(x.b, h);
			for (size_t u = 0; u < x.b->upstream_nr; u++) {
				x.b->target[u].dead = true;
				was.push_back(bed_used(x.b, u) ==
					      UPSTREAM_DOWN);
			}
			run_bed(x.b, 60000);
			for (size_t u = 0; u < x.b->upstream_nr; u++)
				RC_ASSERT(
					was[u] ||
					upstream_state(x.b->view,
						       bed_upstream(x.b, u)) !=
						UPSTREAM_DOWN);
		});
}

/* What is known of one upstream's limit while a history runs. */
struct climb {
	uint64_t idle_at; /* when it last had no more than a cold one bears */
	uint64_t cold_at; /* when it was last seen to turn cold */
	enum upstream_state was; /* at the last look */
};

static void check_climb(health_bed *b, size_t u, climb *c)
{
	uint32_t n = bed_slots(b, u);
	enum upstream_state is = bed_used(b, u);

	if (is == UPSTREAM_COLD && c->was != UPSTREAM_COLD)
		c->cold_at = b->now;
	c->was = is;
	if (n <= 1)
		c->idle_at = b->now;
	if (c->cold_at && b->now < c->cold_at + HEALTH_COLD_MS)
		RC_ASSERT(n <= 1u);
	if (b->now < c->idle_at + HEALTH_RAMP_MS / 4)
		RC_ASSERT(n <= 3u);
	if (b->now < c->idle_at + HEALTH_RAMP_MS / 2)
		RC_ASSERT(n <= 6u);
}

static bool climbs_slowly()
{
	return rc::check(
		"a limit stays at cold for 5 s and then grows in steps", [] {
			bed x;
			climb start = { x.b->now, 0, UPSTREAM_UNKNOWN };
			std::vector<climb> cs(x.b->upstream_nr, start);

			for (happening h : any_history()) {
				uint64_t wait = h.wait_ms;

				h.wait_ms = 0;
				happen(x.b, h);
				for (uint64_t t = 0; t <= wait;
				     t += HEALTH_TICK_MS) {
					run_bed(x.b, HEALTH_TICK_MS);
					for (size_t u = 0; u < cs.size(); u++)
						check_climb(x.b, u, &cs[u]);
				}
			}
		});
}

/* Views of INSTANCES members in which random ones are missing or dead. */
static health_bed *random_bed(size_t instances, size_t upstreams)
{
	health_bed *b = create_health_bed(1, instances, upstreams);
	std::vector<uint64_t> ids;
	size_t nr;
	const member *ms = view_members(b->view, &nr);

	for (size_t i = 0; i < nr; i++)
		if (ms[i].id != view_self(b->view))
			ids.push_back(ms[i].id);
	for (uint64_t id : ids)
		if (*rc::gen::inRange(0, 4) == 0)
			remove_member(b->view, id);
	return b;
}

static bool probes_are_bounded()
{
	return rc::check(
		"an instance sends at most 3 probes a second, 6 amid sheds",
		[] {
			size_t instances = *rc::gen::inRange<size_t>(1, 30);
			size_t upstreams =
				*rc::gen::inRange<size_t>(1, BED_TARGETS_MAX);
			health_bed *b = random_bed(instances, upstreams);
			size_t sent = 0;
			size_t early = 0; /* in the first 5 s */
			bool idle = *rc::gen::arbitrary<bool>();
			bool shed = *rc::gen::arbitrary<bool>();
			size_t most = 60 * HEALTH_PROBES_PER_S;

			for (size_t u = 0; u < upstreams; u++)
				b->target[u].dead = idle;
			for (int t = 0; t < 60; t++) {
				for (size_t u = 0; shed && u < upstreams; u++)
					for (int i = 0; i < 4; i++)
						bed_observe(b, u, HEALTH_SHED,
							    0);
				run_bed(b, 1000);
				for (size_t u = 0; t == 4 && u < upstreams; u++)
					early += b->target[u].probes;
			}
			for (size_t u = 0; u < upstreams; u++)
				sent += b->target[u].probes;
			destroy_health_bed(b);
			/* a fifth of jitter to either side */
			RC_ASSERT(early <= 2 * 5 * HEALTH_PROBES_PER_S + 4u);
			RC_ASSERT(sent <= most * (shed ? 2 : 1) * 5 / 4 + 4);
		});
}

static bool few_probe_one()
{
	return rc::check(
		"of equal views one instance is first and one second", [] {
			size_t n = *rc::gen::inRange<size_t>(2, 40);
			std::vector<int> first(8, 0);
			std::vector<int> second(8, 0);

			for (size_t self = 0; self < n; self++) {
				std::string name = "in-" + std::to_string(self);
				view *v = create_view(service_id(name.c_str()));
				member m = {};

				m.state = MEMBER_ALIVE;
				strcpy(m.domain, "north");
				for (size_t i = 0; i < n; i++) {
					name = "in-" + std::to_string(i);
					m.id = service_id(name.c_str());
					put_member(v, &m);
				}
				probers *ps = create_probers(v);

				update_probers(ps);
				for (size_t u = 0; u < first.size(); u++) {
					upstream up = {};
					health_role r;

					up.id = 1000 + u;
					strcpy(up.domain, "north");
					r = prober_role(ps, &up);
					first[u] += r == HEALTH_PRIMARY;
					second[u] += r == HEALTH_STANDBY;
				}
				destroy_probers(ps);
				destroy_view(v);
			}
			for (size_t u = 0; u < first.size(); u++) {
				RC_ASSERT(first[u] == 1);
				RC_ASSERT(second[u] == 1);
			}
		});
}

int main()
{
	bool ok = turns_cold_at_once();

	ok &= sheds_are_asked_about();
	ok &= lies_do_not_warm();
	ok &= does_not_flap();
	ok &= cut_says_nothing();
	ok &= climbs_slowly();
	ok &= probes_are_bounded();
	ok &= few_probe_one();
	return ok ? 0 : 1;
}
