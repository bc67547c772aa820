/*
 * Properties of the fleet module over random runs of nine to 27 instances:
 * messages are lost, duplicated and reordered, domains and instances are
 * partitioned, instances are paused, killed, restarted or leave, and any
 * instance reads snapshots and domain records in any order.
 */

#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "t/fleet-simulation.h"
}

namespace
{

constexpr uint64_t JOIN_MS = 6000;
constexpr uint64_t IN_FORCE_MS = 5000; /* limit until a change is in force */
constexpr uint64_t DEATH_MS = 15000;   /* until deaths are in all views */
constexpr size_t DOMAINS = 3;

enum class Act {
	publish,    /* one instance reads the next epoch */
	read_older, /* from a restored backup of the store, or a stale read */
	domain_out,
	domain_back,
	kill,
	restart,
	pause,
	leave,
	partition,
	heal,
	partition_one,
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
	static const char *const names[] = {
		"publish",   "read-older", "out",	    "back",
		"kill",	     "restart",	   "pause",	    "leave",
		"partition", "heal",	   "partition-one", "wait"
	};

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
						   { 2, Act::partition },
						   { 2, Act::heal },
						   { 2, Act::partition_one },
						   { 4, Act::wait } })),
		rc::gen::set(&Step::who, rc::gen::inRange<size_t>(0, 27)),
		rc::gen::set(&Step::other, rc::gen::inRange<size_t>(0, 27)),
		rc::gen::set(&Step::ms, rc::gen::inRange<uint64_t>(10, 8000)));
}

struct Simulation {
	struct fleet_simulation_options options {
	};
	struct fleet_simulation *fs;
	uint64_t epoch = 0;
	std::map<std::string, std::pair<uint64_t, bool>> domains;

	Simulation(uint32_t seed, size_t nr, unsigned int loss)
	{
		options.seed = seed;
		options.nr = nr;
		options.domain_nr = DOMAINS;
		options.loss_pct = loss;
		options.duplicate_pct = 5;
		options.delay_min_ms = 1;
		options.delay_max_ms = 40;
		options.seed_nr = 3;
		fs = create_fleet_simulation(&options);
		for (size_t i = 0; i < nr; i++)
			start_instance(fs, i);
		run_fleets(fs, JOIN_MS);
	}

	~Simulation()
	{
		destroy_fleet_simulation(fs);
	}

	Simulation(const Simulation &) = delete;
	Simulation &operator=(const Simulation &) = delete;

	size_t nr() const
	{
		return options.nr;
	}

	void write_domain(size_t who, size_t d, bool out)
	{
		const char *name = simulated_domain(d % DOMAINS);
		auto &rec = domains[name];

		if (!is_running(fs, who))
			return;
		rec.first++;
		rec.second = out;
		read_domain_from_store(fs, who, name, rec.first, out);
	}

	void act(const Step &s)
	{
		size_t who = s.who % nr();

		switch (s.act) {
		case Act::publish:
			if (is_running(fs, who))
				read_epoch_from_store(fs, who, ++epoch);
			break;
		case Act::read_older:
			if (epoch)
				read_epoch_from_store(fs, who,
						      1 + s.other % epoch);
			break;
		case Act::domain_out:
		case Act::domain_back:
			write_domain(who, s.other, s.act == Act::domain_out);
			break;
		case Act::kill:
			kill_instance(fs, who);
			break;
		case Act::restart:
			start_instance(fs, who);
			break;
		case Act::pause:
			pause_instance(fs, who, s.ms * 2);
			break;
		case Act::leave:
			leave_instance(fs, who, s.ms);
			break;
		case Act::partition:
			partition_domains(fs, s.who % DOMAINS,
					  s.other % DOMAINS,
					  s.who % DOMAINS != s.other % DOMAINS);
			break;
		case Act::heal:
			heal_partitions(fs);
			break;
		case Act::partition_one:
			partition_instance(fs, who, true);
			break;
		case Act::wait:
			break;
		}
		run_fleets(fs, s.ms);
	}

	/* Ends pauses, leaves and partitions; restarts no killed instance. */
	void end_failures()
	{
		run_fleets(fs, 20000);
		heal_partitions(fs);
	}

	/*
	 * The first running instance reads the store again, as after an outage:
	 * the only instance that had read the last change may have been killed.
	 */
	void read_store()
	{
		for (size_t i = 0; i < nr(); i++) {
			if (!is_running(fs, i))
				continue;
			if (epoch)
				read_epoch_from_store(fs, i, epoch);
			for (auto &d : domains)
				if (d.second.first)
					read_domain_from_store(fs, i,
							       d.first.c_str(),
							       d.second.first,
							       d.second.second);
			return;
		}
	}

	void expect_in_force()
	{
		for (size_t i = 0; i < nr(); i++) {
			if (!is_running(fs, i))
				continue;
			RC_ASSERT(epoch_in_force(fs, i) == epoch);
			for (auto &d : domains)
				RC_ASSERT(is_domain_out(simulated_view(fs, i),
							d.first.c_str()) ==
					  d.second.second);
		}
	}

	void expect_correct_views()
	{
		for (size_t i = 0; i < nr(); i++)
			for (size_t j = 0; is_running(fs, i) && j < nr(); j++)
				expect_correct_view(i, j);
	}

	void expect_correct_view(size_t i, size_t j)
	{
		enum member_state s = seen_member_state(fs, i, j);

		if (is_running(fs, j))
			RC_ASSERT(s == MEMBER_ALIVE || s == MEMBER_LEAVING);
		else
			RC_ASSERT(s == MEMBER_DEAD || s == MEMBER_STATE_NR ||
				  s == MEMBER_LEAVING);
	}
};

std::unique_ptr<Simulation> run_steps(unsigned int loss_max, int steps_max)
{
	auto seed = *rc::gen::arbitrary<uint32_t>();
	auto nr = *rc::gen::element<size_t>(9, 18, 27);
	auto loss = *rc::gen::inRange<unsigned int>(0, loss_max + 1);
	auto steps = *rc::gen::resize(
		steps_max, rc::gen::container<std::vector<Step>>(genStep()));
	auto sim = std::make_unique<Simulation>(seed, nr, loss);

	for (const Step &s : steps)
		sim->act(s);
	return sim;
}

bool check_convergence()
{
	return rc::check("5 s after the last partition or change all changes "
			 "are in force, and no epoch ever decreased",
			 [] {
				 auto sim = run_steps(10, 20);

				 sim->end_failures();
				 sim->read_store();
				 run_fleets(sim->fs, IN_FORCE_MS);
				 sim->expect_in_force();
				 RC_ASSERT(!has_epoch_decreased(sim->fs));
			 });
}

bool check_without_partitions()
{
	return rc::check(
		"without partitions a change is in force 5 s after one "
		"instance read it, and a domain record after 3 s, at 10 % loss",
		[] {
			Simulation sim(*rc::gen::arbitrary<uint32_t>(),
				       *rc::gen::element<size_t>(9, 27), 10);
			auto reader = *rc::gen::inRange<size_t>(0, 9);
			auto out = *rc::gen::arbitrary<bool>();

			read_epoch_from_store(sim.fs, reader, ++sim.epoch);
			run_fleets(sim.fs, IN_FORCE_MS);
			sim.expect_in_force();
			sim.write_domain(reader, reader, out);
			run_fleets(sim.fs, 3000);
			sim.expect_in_force();
		});
}

bool check_views()
{
	return rc::check(
		"without further failures every view has running "
		"instances alive and killed ones dead, and is settled",
		[] {
			auto sim = run_steps(5, 12);

			sim->end_failures();
			run_fleets(sim->fs, DEATH_MS);
			set_message_loss(sim->fs, 0);
			run_fleets(sim->fs, IN_FORCE_MS);
			sim->expect_correct_views();
			for (size_t i = 0; i < sim->nr(); i++)
				if (is_running(sim->fs, i))
					RC_ASSERT(is_view_settled(
						simulated_view(sim->fs, i)));
		});
}

/*
 * Runs SIM for MS. No running instance may be dead in any view for BOUND ms or
 * longer.
 */
void expect_brief_false_death(Simulation &sim, uint64_t ms, uint64_t bound)
{
	std::map<std::pair<size_t, size_t>, uint64_t> since;

	for (uint64_t now = 0; now < ms; now += 200) {
		run_fleets(sim.fs, 200);
		for (size_t i = 0; i < sim.nr(); i++)
			for (size_t j = 0; j < sim.nr(); j++) {
				auto key = std::make_pair(i, j);

				if (seen_member_state(sim.fs, i, j) !=
				    MEMBER_DEAD)
					since.erase(key);
				else
					since.emplace(key, now);
				if (since.count(key))
					RC_ASSERT(now - since[key] < bound);
			}
	}
}

bool check_no_false_death()
{
	return rc::check(
		"no running instance is dead in a view at 10 % loss", [] {
			Simulation sim(*rc::gen::arbitrary<uint32_t>(),
				       *rc::gen::element<size_t>(9, 18), 10);

			expect_brief_false_death(sim, 30000, 1);
		});
}

bool check_brief_false_death()
{
	return rc::check("a running instance is dead in a view for 5 s at "
			 "most, at 40 % loss",
			 [] {
				 Simulation sim(
					 *rc::gen::arbitrary<uint32_t>(),
					 *rc::gen::element<size_t>(9, 18), 40);

				 expect_brief_false_death(sim, 30000, 5000);
			 });
}

bool check_leaving()
{
	return rc::check(
		"a leaving instance is leaving in all views within 1 s", [] {
			Simulation sim(*rc::gen::arbitrary<uint32_t>(), 27, 0);
			auto who = *rc::gen::inRange<size_t>(0, 27);

			leave_instance(sim.fs, who, 5000);
			run_fleets(sim.fs, 1000);
			for (size_t i = 0; i < sim.nr(); i++)
				RC_ASSERT(seen_member_state(sim.fs, i, who) ==
					  MEMBER_LEAVING);
		});
}

bool check_pause()
{
	return rc::check(
		"after a pause the view is unsettled until it has the changes "
		"made meanwhile",
		[] {
			Simulation sim(*rc::gen::arbitrary<uint32_t>(), 9,
				       *rc::gen::inRange<unsigned int>(0, 6));
			auto who = *rc::gen::inRange<size_t>(1, 9);
			auto ms = *rc::gen::inRange<uint64_t>(2000, 30000);

			read_epoch_from_store(sim.fs, 0, ++sim.epoch);
			run_fleets(sim.fs, 2000);
			pause_instance(sim.fs, who, ms);
			run_fleets(sim.fs, ms / 2);
			read_epoch_from_store(sim.fs, 0, ++sim.epoch);
			sim.write_domain(0, 1, true);
			run_fleets(sim.fs, ms - ms / 2 - 1);
			for (int i = 0; i < 5000; i++) {
				run_fleets(sim.fs, 1);
				if (!is_running(sim.fs, who) ||
				    !is_view_settled(
					    simulated_view(sim.fs, who)))
					continue;
				RC_ASSERT(epoch_in_force(sim.fs, who) ==
					  sim.epoch);
				RC_ASSERT(is_domain_out(
					simulated_view(sim.fs, who),
					simulated_domain(1)));
			}
		});
}

} /* namespace */

int main()
{
	bool ok = check_convergence();

	ok &= check_without_partitions();
	ok &= check_views();
	ok &= check_no_false_death();
	ok &= check_brief_false_death();
	ok &= check_leaving();
	ok &= check_pause();
	return ok ? 0 : 1;
}
