/*
 * Properties of the fleet over generated runs: nine to 27 fleets, messages
 * lost, doubled and reordered, domains and instances cut off, instances
 * paused, killed, restarted and leaving, snapshots and domain records read by
 * any of them in any order.
 */

#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "t/fleet-world.h"
}

namespace
{

constexpr uint64_t JOIN_MS = 6000;
constexpr uint64_t IN_FORCE_MS = 5000; /* from the bound */
constexpr uint64_t DEATH_MS = 15000;   /* until everybody's view is right */
constexpr size_t DOMAINS = 3;

enum class Act {
	publish,    /* one instance reads the next epoch */
	read_older, /* the store came back older, or a reader lags */
	domain_out,
	domain_back,
	kill,
	restart,
	pause,
	leave,
	cut,
	heal,
	cut_one,
	wait
};

struct Step {
	Act act;
	size_t who;
	size_t other;
	uint64_t ms;
};

std::ostream &operator<<(std::ostream &os, const Step &s)
{
	static const char *const names[] = { "publish", "read-older", "out",
					     "back",	"kill",	      "restart",
					     "pause",	"leave",      "cut",
					     "heal",	"cut-one",    "wait" };

	return os << names[static_cast<int>(s.act)] << " " << s.who << " "
		  << s.other << " " << s.ms;
}

rc::Gen<Step> genStep()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::act, rc::gen::weightedElement<Act>(
						 { { 6, Act::publish },
						   { 2, Act::read_older },
						   { 2, Act::domain_out },
						   { 2, Act::domain_back },
						   { 3, Act::kill },
						   { 4, Act::restart },
						   { 3, Act::pause },
						   { 2, Act::leave },
						   { 2, Act::cut },
						   { 2, Act::heal },
						   { 2, Act::cut_one },
						   { 4, Act::wait } })),
		rc::gen::set(&Step::who, rc::gen::inRange<size_t>(0, 27)),
		rc::gen::set(&Step::other, rc::gen::inRange<size_t>(0, 27)),
		rc::gen::set(&Step::ms, rc::gen::inRange<uint64_t>(10, 8000)));
}

struct World {
	struct world_options options {
	};
	struct world *w;
	uint64_t epoch = 0;
	std::map<std::string, std::pair<uint64_t, bool>> domains;

	World(uint32_t seed, size_t nr, unsigned int loss)
	{
		options.seed = seed;
		options.nr = nr;
		options.domain_nr = DOMAINS;
		options.loss_pct = loss;
		options.duplicate_pct = 5;
		options.delay_min_ms = 1;
		options.delay_max_ms = 40;
		options.seed_nr = 3;
		w = create_world(&options);
		for (size_t i = 0; i < nr; i++)
			start_instance(w, i);
		run_world(w, JOIN_MS);
	}

	~World()
	{
		destroy_world(w);
	}

	World(const World &) = delete;
	World &operator=(const World &) = delete;

	size_t nr() const
	{
		return options.nr;
	}

	void write_domain(size_t who, size_t d, bool out)
	{
		const char *name = world_domain(d % DOMAINS);
		auto &rec = domains[name];

		if (!is_running(w, who))
			return;
		rec.first++;
		rec.second = out;
		offer_domain(w, who, name, rec.first, out);
	}

	void act(const Step &s)
	{
		size_t who = s.who % nr();

		switch (s.act) {
		case Act::publish:
			if (is_running(w, who))
				offer_epoch(w, who, ++epoch);
			break;
		case Act::read_older:
			if (epoch)
				offer_epoch(w, who, 1 + s.other % epoch);
			break;
		case Act::domain_out:
		case Act::domain_back:
			write_domain(who, s.other, s.act == Act::domain_out);
			break;
		case Act::kill:
			kill_instance(w, who);
			break;
		case Act::restart:
			start_instance(w, who);
			break;
		case Act::pause:
			pause_instance(w, who, s.ms * 2);
			break;
		case Act::leave:
			leave_instance(w, who, s.ms);
			break;
		case Act::cut:
			cut_domains(w, s.who % DOMAINS, s.other % DOMAINS,
				    s.who % DOMAINS != s.other % DOMAINS);
			break;
		case Act::heal:
			heal_world(w);
			break;
		case Act::cut_one:
			cut_instance(w, who, true);
			break;
		case Act::wait:
			break;
		}
		run_world(w, s.ms);
	}

	/* Ends every failure but the dead ones' death. */
	void calm()
	{
		run_world(w, 20000);
		heal_world(w);
	}

	/*
	 * The last accepted change may have died with its only reader, so the
	 * store's readers read again, as they do in an outage's end.
	 */
	void read_store()
	{
		for (size_t i = 0; i < nr(); i++) {
			if (!is_running(w, i))
				continue;
			if (epoch)
				offer_epoch(w, i, epoch);
			for (auto &d : domains)
				if (d.second.first)
					offer_domain(w, i, d.first.c_str(),
						     d.second.first,
						     d.second.second);
			return;
		}
	}

	void expect_in_force()
	{
		for (size_t i = 0; i < nr(); i++) {
			if (!is_running(w, i))
				continue;
			RC_ASSERT(world_epoch(w, i) == epoch);
			for (auto &d : domains)
				RC_ASSERT(is_domain_out(world_view(w, i),
							d.first.c_str()) ==
					  d.second.second);
		}
	}

	void expect_true_views()
	{
		for (size_t i = 0; i < nr(); i++)
			for (size_t j = 0; is_running(w, i) && j < nr(); j++)
				expect_true_view(i, j);
	}

	void expect_true_view(size_t i, size_t j)
	{
		enum member_state s = seen_state(w, i, j);

		if (is_running(w, j))
			RC_ASSERT(s == MEMBER_ALIVE || s == MEMBER_LEAVING);
		else
			RC_ASSERT(s == MEMBER_DEAD || s == MEMBER_STATE_NR ||
				  s == MEMBER_LEAVING);
	}
};

std::unique_ptr<World> run_steps(unsigned int loss_max, int steps_max)
{
	auto seed = *rc::gen::arbitrary<uint32_t>();
	auto nr = *rc::gen::element<size_t>(9, 18, 27);
	auto loss = *rc::gen::inRange<unsigned int>(0, loss_max + 1);
	auto steps = *rc::gen::resize(
		steps_max, rc::gen::container<std::vector<Step>>(genStep()));
	auto w = std::make_unique<World>(seed, nr, loss);

	for (const Step &s : steps)
		w->act(s);
	return w;
}

bool check_spread()
{
	return rc::check("5 s after the last cut or change all that was "
			 "accepted is in force, and no epoch ever went back",
			 [] {
				 auto w = run_steps(10, 20);

				 w->calm();
				 w->read_store();
				 run_world(w->w, IN_FORCE_MS);
				 w->expect_in_force();
				 RC_ASSERT(!epoch_went_back(w->w));
			 });
}

bool check_no_cut()
{
	return rc::check(
		"with no cut a change is in force 5 s after one instance read "
		"it, and a domain record after 3 s, at 10 % loss",
		[] {
			World w(*rc::gen::arbitrary<uint32_t>(),
				*rc::gen::element<size_t>(9, 27), 10);
			auto reader = *rc::gen::inRange<size_t>(0, 9);
			auto out = *rc::gen::arbitrary<bool>();

			offer_epoch(w.w, reader, ++w.epoch);
			run_world(w.w, IN_FORCE_MS);
			w.expect_in_force();
			w.write_domain(reader, reader, out);
			run_world(w.w, 3000);
			w.expect_in_force();
		});
}

bool check_views()
{
	return rc::check("once calm, every view names the living alive and the "
			 "dead dead, and all have caught up",
			 [] {
				 auto w = run_steps(5, 12);

				 w->calm();
				 run_world(w->w, DEATH_MS);
				 set_world_loss(w->w, 0);
				 run_world(w->w, IN_FORCE_MS);
				 w->expect_true_views();
				 for (size_t i = 0; i < w->nr(); i++)
					 if (is_running(w->w, i))
						 RC_ASSERT(is_view_settled(
							 world_view(w->w, i)));
			 });
}

/* Runs W for MS; no live one may be held dead for more than BOUND ms. */
void expect_briefly_dead(World &w, uint64_t ms, uint64_t bound)
{
	std::map<std::pair<size_t, size_t>, uint64_t> since;

	for (uint64_t now = 0; now < ms; now += 200) {
		run_world(w.w, 200);
		for (size_t i = 0; i < w.nr(); i++)
			for (size_t j = 0; j < w.nr(); j++) {
				auto key = std::make_pair(i, j);

				if (seen_state(w.w, i, j) != MEMBER_DEAD)
					since.erase(key);
				else
					since.emplace(key, now);
				if (since.count(key))
					RC_ASSERT(now - since[key] < bound);
			}
	}
}

bool check_not_dead()
{
	return rc::check("a live instance is not held dead at all at 10 % loss",
			 [] {
				 World w(*rc::gen::arbitrary<uint32_t>(),
					 *rc::gen::element<size_t>(9, 18), 10);

				 expect_briefly_dead(w, 30000, 1);
			 });
}

bool check_briefly_dead()
{
	return rc::check("a live instance is held dead for 5 s at most, "
			 "at 40 % loss",
			 [] {
				 World w(*rc::gen::arbitrary<uint32_t>(),
					 *rc::gen::element<size_t>(9, 18), 40);

				 expect_briefly_dead(w, 30000, 5000);
			 });
}

bool check_leaving()
{
	return rc::check(
		"one that says it leaves is known to leave within 1 s", [] {
			World w(*rc::gen::arbitrary<uint32_t>(), 27, 0);
			auto who = *rc::gen::inRange<size_t>(0, 27);

			leave_instance(w.w, who, 5000);
			run_world(w.w, 1000);
			for (size_t i = 0; i < w.nr(); i++)
				RC_ASSERT(seen_state(w.w, i, who) ==
					  MEMBER_LEAVING);
		});
}

bool check_pause()
{
	return rc::check(
		"one that was paused has no role until it knows what the "
		"others decided meanwhile",
		[] {
			World w(*rc::gen::arbitrary<uint32_t>(), 9,
				*rc::gen::inRange<unsigned int>(0, 6));
			auto who = *rc::gen::inRange<size_t>(1, 9);
			auto ms = *rc::gen::inRange<uint64_t>(2000, 30000);

			offer_epoch(w.w, 0, ++w.epoch);
			run_world(w.w, 2000);
			pause_instance(w.w, who, ms);
			run_world(w.w, ms / 2);
			offer_epoch(w.w, 0, ++w.epoch);
			w.write_domain(0, 1, true);
			run_world(w.w, ms - ms / 2 - 1);
			for (int i = 0; i < 5000; i++) {
				run_world(w.w, 1);
				if (!is_running(w.w, who) ||
				    !is_view_settled(world_view(w.w, who)))
					continue;
				RC_ASSERT(world_epoch(w.w, who) == w.epoch);
				RC_ASSERT(is_domain_out(world_view(w.w, who),
							world_domain(1)));
			}
		});
}

} /* namespace */

int main()
{
	bool ok = check_spread();

	ok &= check_no_cut();
	ok &= check_views();
	ok &= check_not_dead();
	ok &= check_briefly_dead();
	ok &= check_leaving();
	ok &= check_pause();
	return ok ? 0 : 1;
}
