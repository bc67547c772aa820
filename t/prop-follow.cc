/*
 * Properties of config/follow: several instances, some of them store readers,
 * follow a store that gets publishes, loses calls, has watches that stop
 * delivering and is restored to older states. Time advances in steps of one
 * tick. Guards against an instance that misses a change or goes back to an
 * older epoch, and against a publish with an epoch that was in force before.
 */

#include <glib.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "config/follow.h"
#include "config/store-head.h"
#include "config/keys.h"
#include "config/domain-change.h"
#include "config/publish.h"
#include "store/etcd-json.h"
#include "t/fake-store.h"
}

namespace
{

constexpr unsigned follower_nr = 3; /* the last is not a store reader */
constexpr unsigned propagation_max_ms = 5000;
constexpr unsigned recovery_max_ms = FOLLOW_BACKOFF_MAX_MS + propagation_max_ms;

struct event {
	unsigned kind;
	unsigned arg;
};

enum event_kind {
	EV_WAIT,	  /* ARG ticks */
	EV_PUBLISH,	  /* with ARG slots */
	EV_DOMAIN,	  /* taken out if ARG is odd, else back */
	EV_STORE_DOWN,	  /* for ARG ticks */
	EV_BREAK_WATCHES, /* start or stop: watches deliver nothing */
	EV_SAVE,
	EV_RESTORE,
	EV_RESTART /* follower ARG, which loses its state */
};

/* One instance: the records it has in force, its watch and pending calls. */
struct follower {
	struct store_follower *f;
	bool reader;
	std::map<std::string, uint64_t> domain_epochs;
	uint64_t epoch = 0;
	uint32_t slots = 0;
	bool watching = false;
	bool watch_broken = false; /* this watch delivers nothing */
	uint64_t watch_revision = 0;
	std::vector<struct follow_action> calls;

	follower(uint32_t seed, bool is_store_reader)
		: f(create_store_follower(seed)), reader(is_store_reader)
	{
	}
	follower(const follower &) = delete;
	follower &operator=(const follower &) = delete;
	~follower()
	{
		destroy_store_follower(f);
	}
};

class simulation
{
	std::unique_ptr<fake_store, void (*)(fake_store *)> store{
		create_fake_store(FAKE_NO_FLAW), destroy_fake_store
	};
	std::vector<std::unique_ptr<follower>> followers;
	uint64_t now_ms = 1000;
	unsigned store_down_ticks = 0; /* remaining */
	bool watches_broken = false;
	unsigned next_id = 0;
	uint64_t highest_epoch = 0; /* that was in force on any instance */
	uint32_t highest_epoch_slots = 0;
	std::map<std::string, uint64_t> highest_domain_epochs;

	void handle_action(follower &fl, const struct follow_action &a)
	{
		switch (a.kind) {
		case FOLLOW_READ_RANGE:
		case FOLLOW_COMMIT_TXN:
			fl.calls.push_back(a);
			break;
		case FOLLOW_WATCH:
			RC_ASSERT(fl.reader);
			fl.watching = true;
			fl.watch_broken = watches_broken;
			fl.watch_revision = a.revision;
			break;
		case FOLLOW_STOP_WATCH:
			fl.watching = false;
			break;
		case FOLLOW_SNAPSHOT_READ:
			RC_ASSERT(snapshot_epoch(a.snapshot) > fl.epoch);
			fl.epoch = snapshot_epoch(a.snapshot);
			fl.slots = snapshot_service(a.snapshot, 0)
					   ->upstreams[0]
					   .slots;
			if (fl.epoch > highest_epoch) {
				highest_epoch = fl.epoch;
				highest_epoch_slots = fl.slots;
			}
			RC_ASSERT(fl.epoch < highest_epoch ||
				  fl.slots == highest_epoch_slots);
			break;
		case FOLLOW_DOMAIN_READ:
			RC_ASSERT(a.domain.epoch >
				  fl.domain_epochs[a.domain.name]);
			fl.domain_epochs[a.domain.name] = a.domain.epoch;
			highest_domain_epochs[a.domain.name] =
				std::max(highest_domain_epochs[a.domain.name],
					 a.domain.epoch);
			break;
		}
	}

	void step(follower &fl, const struct follow_event &ev)
	{
		struct follow_actions as;

		step_store_follower(fl.f, &ev, now_ms, &as);
		for (size_t i = 0; i < as.nr; i++)
			handle_action(fl, as.at[i]);
	}

	void answer_calls(follower &fl)
	{
		while (!fl.calls.empty()) {
			struct follow_action a = fl.calls.back();
			struct change_action act = {};
			struct store_answer answer = {};
			struct follow_event ev = {};

			fl.calls.pop_back();
			act.kind = a.kind == FOLLOW_READ_RANGE ? CHANGE_RANGE
							       : CHANGE_COMMIT;
			act.range = a.range;
			act.txn = a.txn;
			call_fake_store(store.get(), &act,
					store_down_ticks ? FAKE_UNREACHABLE
							 : FAKE_NONE,
					&answer);
			ev.kind = FOLLOW_ANSWER;
			ev.answer = &answer;
			step(fl, ev);
			release_store_answer(&answer);
		}
	}

	void deliver_watch(follower &fl)
	{
		struct store_range r = store_head_range();
		struct store_answer answer = {};
		struct follow_event ev = {};

		if (!fl.watching || fl.watch_broken || store_down_ticks)
			return;
		if (!watch_fake_store(store.get(), &r, &fl.watch_revision,
				      &answer))
			return;
		ev.kind = FOLLOW_WATCH_ANSWER;
		ev.answer = &answer;
		step(fl, ev);
		release_store_answer(&answer);
	}

	void tick()
	{
		now_ms += FOLLOW_TICK_MS;
		for (auto &fl : followers) {
			struct follow_event role = {};
			struct follow_event ev = {};

			role.kind = FOLLOW_ROLE_CHANGED;
			role.is_store_reader = fl->reader;
			step(*fl, role);
			ev.kind = FOLLOW_TICK;
			step(*fl, ev);
			answer_calls(*fl);
			deliver_watch(*fl);
			answer_calls(*fl);
		}
		store_down_ticks -= store_down_ticks > 0;
	}

	template <typename Step> void run_change(Step stepper)
	{
		struct change_action act = {};
		struct store_answer a = {};

		stepper(nullptr, &act);
		while (act.kind != CHANGE_DONE) {
			bool call = act.kind != CHANGE_WAIT;

			a = {};
			if (call)
				call_fake_store(store.get(), &act, FAKE_NONE,
						&a);
			stepper(call ? &a : nullptr, &act);
			release_store_answer(&a);
		}
	}

	void publish(unsigned slots)
	{
		std::string id = "p" + std::to_string(next_id++);
		struct service *sv = create_service("desk");
		struct upstream up = {};
		struct publish_intent in = {};

		parse_endpoint("10.0.0.1:80", &sv->address, nullptr);
		g_strlcpy(up.name, "a", sizeof(up.name));
		g_strlcpy(up.domain, "north", sizeof(up.domain));
		up.address = sv->address;
		up.slots = slots + 1;
		add_upstream(sv, &up);
		g_strlcpy(up.name, "b", sizeof(up.name));
		g_strlcpy(up.domain, "south", sizeof(up.domain));
		add_upstream(sv, &up);
		seal_service(sv);
		in.change.services = &sv;
		in.change.service_nr = 1;
		in.id = id.c_str();
		in.who = in.why = "test";
		in.allow_removal = true;
		struct publish *p = create_publish(&in, next_id);
		run_change([p](const struct store_answer *a,
			       struct change_action *out) {
			step_publish(p, a, out);
		});
		RC_ASSERT(publish_status(p)->kind == STATUS_OK);
		destroy_publish(p);
		unref_service(sv);
	}

	void change_domain(bool out)
	{
		std::string id = "d" + std::to_string(next_id++);
		struct domain_intent in = {};

		g_strlcpy(in.name, "north", sizeof(in.name));
		in.out = out;
		in.force = true;
		in.id = id.c_str();
		in.who = in.why = "test";
		struct domain_change *dc = create_domain_change(&in, next_id);
		run_change([dc](const struct store_answer *a,
				struct change_action *act) {
			step_domain_change(dc, a, act);
		});
		destroy_domain_change(dc);
	}

	void restart(unsigned i)
	{
		bool reader = followers[i]->reader;

		followers[i] = std::make_unique<follower>(next_id++, reader);
	}

	struct store_head read_heads_now()
	{
		struct change_action act = {};
		struct store_answer a = {};
		struct store_head h;
		struct status st;

		act.kind = CHANGE_RANGE;
		act.range = store_head_range();
		call_fake_store(store.get(), &act, FAKE_NONE, &a);
		RC_ASSERT(decode_store_head(&h, &a, &st) == STATUS_OK);
		release_store_answer(&a);
		return h;
	}

      public:
	simulation()
	{
		for (unsigned i = 0; i < follower_nr; i++)
			followers.push_back(std::make_unique<follower>(
				i, i + 1 < follower_nr));
	}

	void wait(unsigned ms)
	{
		for (unsigned t = 0; t < ms; t += FOLLOW_TICK_MS)
			tick();
	}

	void apply(const event &e)
	{
		switch (e.kind) {
		case EV_WAIT:
			wait(e.arg * FOLLOW_TICK_MS);
			break;
		case EV_PUBLISH:
			publish(e.arg);
			break;
		case EV_DOMAIN:
			change_domain(e.arg % 2);
			break;
		case EV_STORE_DOWN:
			store_down_ticks = e.arg;
			break;
		case EV_BREAK_WATCHES:
			watches_broken = !watches_broken;
			for (auto &fl : followers)
				fl->watch_broken |= watches_broken;
			break;
		case EV_SAVE:
			save_fake_store(store.get());
			break;
		case EV_RESTORE:
			restore_fake_store(store.get());
			/* let followers replace watches of the old state */
			wait(recovery_max_ms);
			break;
		case EV_RESTART:
			restart(e.arg % follower_nr);
			break;
		}
	}

	/* Calls per second without changes, over a minute. */
	double idle_rate()
	{
		uint64_t before = fake_store_call_count(store.get());

		wait(60000);
		return (double)(fake_store_call_count(store.get()) - before) /
		       60;
	}

	void check_settled()
	{
		struct store_head h;

		wait(recovery_max_ms);
		h = read_heads_now();
		if (h.pointer)
			RC_ASSERT(std::max(h.pointer->epoch, h.seen_epoch) >=
				  highest_epoch);
		for (auto &fl : followers) {
			if (!fl->reader)
				continue;
			if (h.pointer)
				RC_ASSERT(fl->epoch >= h.pointer->epoch);
			for (size_t i = 0; i < h.domains.nr; i++)
				RC_ASSERT(fl->domain_epochs[h.domains.at[i]
								    .name] ==
					  h.domains.at[i].epoch);
		}
		release_store_head(&h);
		/* a new publish gets an epoch above all that were in force */
		publish(40);
		publish(41);
		wait(propagation_max_ms);
		h = read_heads_now();
		RC_ASSERT(h.pointer->epoch > highest_epoch ||
			  highest_epoch_slots == 42U);
		for (auto &fl : followers)
			if (fl->reader)
				RC_ASSERT(fl->epoch == h.pointer->epoch);
		release_store_head(&h);
		for (auto &fl : followers)
			if (fl->reader)
				RC_ASSERT(fl->slots == 42U);
	}
};

rc::Gen<event> event_gen()
{
	return rc::gen::build<event>(
		rc::gen::set(&event::kind, rc::gen::weightedElement<unsigned>(
						   { { 5, EV_WAIT },
						     { 5, EV_PUBLISH },
						     { 3, EV_DOMAIN },
						     { 1, EV_STORE_DOWN },
						     { 1, EV_BREAK_WATCHES },
						     { 1, EV_SAVE },
						     { 1, EV_RESTORE },
						     { 1, EV_RESTART } })),
		rc::gen::set(&event::arg, rc::gen::inRange(0U, 30U)));
}

} // namespace

int main()
{
	bool ok = rc::check(
		"store readers never go back to an older epoch and get "
		"changes within 5 s",
		[]() {
			auto events = *rc::gen::container<std::vector<event>>(
				*rc::gen::inRange(1, 30), event_gen());
			simulation w;

			for (const auto &e : events)
				w.apply(e);
			w.check_settled();
		});
	ok &= rc::check(
		"two store readers and another instance make at most 1.4 "
		"calls per second",
		[]() {
			simulation w;

			w.apply({ EV_PUBLISH, 1 });
			w.wait(propagation_max_ms);
			RC_ASSERT(w.idle_rate() <= 1.4);
		});
	return ok ? 0 : 1;
}
