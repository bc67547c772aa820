/*
 * Properties of following the store: a few instances, some of them readers,
 * over a store that is published to, loses calls, has watches that go silent
 * and comes back older. Time is simulated by steps of one tick.
 */

#include <glib.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "config/follow.h"
#include "config/store-heads.h"
#include "config/keys.h"
#include "config/domain-change.h"
#include "config/publish.h"
#include "store/etcd-json.h"
#include "t/fake-store.h"
}

namespace
{

constexpr unsigned follower_nr = 3; /* the last is no reader */
constexpr unsigned settle_ms = 5000;
constexpr unsigned recover_ms = FOLLOW_BACKOFF_MAX_MS + settle_ms;

struct event {
	unsigned kind;
	unsigned arg;
};

enum event_kind {
	EV_WAIT,    /* ARG ticks */
	EV_PUBLISH, /* with ARG slots */
	EV_DOMAIN,  /* out or back */
	EV_DOWN,    /* for ARG ticks */
	EV_SILENT,  /* watches deliver nothing from now on, or again */
	EV_SAVE,
	EV_RESTORE,
	EV_RESTART /* follower ARG, with nothing */
};

/* One instance: what it has in force, and its driver. */
struct follower {
	struct follow *f;
	bool reader;
	std::map<std::string, uint64_t> domain_epochs;
	uint64_t epoch = 0;
	uint32_t slots = 0;
	bool watching = false;
	bool deaf = false; /* this watch will deliver nothing */
	uint64_t watch_revision = 0;
	std::vector<struct follow_action> calls;

	follower(uint32_t seed, bool is_reader)
		: f(create_follow(seed)), reader(is_reader)
	{
	}
	follower(const follower &) = delete;
	follower &operator=(const follower &) = delete;
	~follower()
	{
		destroy_follow(f);
	}
};

class world
{
	std::unique_ptr<fake_store, void (*)(fake_store *)> store{
		create_fake(FAKE_SOUND), destroy_fake
	};
	std::vector<std::unique_ptr<follower>> followers;
	uint64_t now = 1000;
	unsigned down = 0; /* ticks */
	bool silent = false;
	unsigned ids = 0;
	uint64_t best = 0; /* highest epoch that was in force anywhere */
	uint32_t best_slots = 0;
	std::map<std::string, uint64_t> best_domains;

	void take(follower &fl, const struct follow_action &a)
	{
		switch (a.kind) {
		case FOLLOW_RANGE:
		case FOLLOW_COMMIT:
			fl.calls.push_back(a);
			break;
		case FOLLOW_WATCH:
			RC_ASSERT(fl.reader);
			fl.watching = true;
			fl.deaf = silent;
			fl.watch_revision = a.revision;
			break;
		case FOLLOW_STOP_WATCH:
			fl.watching = false;
			break;
		case FOLLOW_SNAPSHOT:
			RC_ASSERT(snapshot_epoch(a.snapshot) > fl.epoch);
			fl.epoch = snapshot_epoch(a.snapshot);
			fl.slots = snapshot_service(a.snapshot, 0)
					   ->upstreams[0]
					   .slots;
			if (fl.epoch > best) {
				best = fl.epoch;
				best_slots = fl.slots;
			}
			RC_ASSERT(fl.epoch < best || fl.slots == best_slots);
			break;
		case FOLLOW_DOMAIN:
			RC_ASSERT(a.domain.epoch >
				  fl.domain_epochs[a.domain.name]);
			fl.domain_epochs[a.domain.name] = a.domain.epoch;
			best_domains[a.domain.name] = std::max(
				best_domains[a.domain.name], a.domain.epoch);
			break;
		}
	}

	void step(follower &fl, const struct follow_event &ev)
	{
		struct follow_actions as;

		step_follow(fl.f, &ev, now, &as);
		for (size_t i = 0; i < as.nr; i++)
			take(fl, as.at[i]);
	}

	void answer_calls(follower &fl)
	{
		while (!fl.calls.empty()) {
			struct follow_action a = fl.calls.back();
			struct change_action act = {};
			struct store_answer answer = {};
			struct follow_event ev = {};

			fl.calls.pop_back();
			act.kind = a.kind == FOLLOW_RANGE ? CHANGE_RANGE
							  : CHANGE_COMMIT;
			act.range = a.range;
			act.txn = a.txn;
			call_fake(store.get(), &act,
				  down ? FAKE_DOWN : FAKE_NONE, &answer);
			ev.kind = FOLLOW_ANSWER;
			ev.answer = &answer;
			step(fl, ev);
			release_store_answer(&answer);
		}
	}

	void deliver_watch(follower &fl)
	{
		struct store_range r = heads_range();
		struct store_answer answer = {};
		struct follow_event ev = {};

		if (!fl.watching || fl.deaf || down)
			return;
		if (!watch_fake(store.get(), &r, &fl.watch_revision, &answer))
			return;
		ev.kind = FOLLOW_WATCHED;
		ev.answer = &answer;
		step(fl, ev);
		release_store_answer(&answer);
	}

	void tick()
	{
		now += FOLLOW_TICK_MS;
		for (auto &fl : followers) {
			struct follow_event role = {};
			struct follow_event ev = {};

			role.kind = FOLLOW_ROLE;
			role.reader = fl->reader;
			step(*fl, role);
			ev.kind = FOLLOW_TICK;
			step(*fl, ev);
			answer_calls(*fl);
			deliver_watch(*fl);
			answer_calls(*fl);
		}
		down -= down > 0;
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
				call_fake(store.get(), &act, FAKE_NONE, &a);
			stepper(call ? &a : nullptr, &act);
			release_store_answer(&a);
		}
	}

	void publish(unsigned slots)
	{
		std::string id = "p" + std::to_string(ids++);
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
		struct publish *p = create_publish(&in, ids);
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
		std::string id = "d" + std::to_string(ids++);
		struct domain_intent in = {};

		g_strlcpy(in.name, "north", sizeof(in.name));
		in.out = out;
		in.force = true;
		in.id = id.c_str();
		in.who = in.why = "test";
		struct domain_change *dc = create_domain_change(&in, ids);
		run_change([dc](const struct store_answer *a,
				struct change_action *act) {
			step_domain_change(dc, a, act);
		});
		destroy_domain_change(dc);
	}

	void restart(unsigned i)
	{
		bool reader = followers[i]->reader;

		followers[i] = std::make_unique<follower>(ids++, reader);
	}

	struct heads read_heads_now()
	{
		struct change_action act = {};
		struct store_answer a = {};
		struct heads h;
		struct status st;

		act.kind = CHANGE_RANGE;
		act.range = heads_range();
		call_fake(store.get(), &act, FAKE_NONE, &a);
		RC_ASSERT(read_heads(&h, &a, &st) == STATUS_OK);
		release_store_answer(&a);
		return h;
	}

      public:
	world()
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
		case EV_DOWN:
			down = e.arg;
			break;
		case EV_SILENT:
			silent = !silent;
			for (auto &fl : followers)
				fl->deaf |= silent;
			break;
		case EV_SAVE:
			save_fake(store.get());
			break;
		case EV_RESTORE:
			restore_fake(store.get());
			/* the store's own watches end with it */
			wait(recover_ms);
			break;
		case EV_RESTART:
			restart(e.arg % follower_nr);
			break;
		}
	}

	/* Calls a second while nothing happens, over a minute. */
	double idle_rate()
	{
		uint64_t before = fake_calls(store.get());

		wait(60000);
		return (double)(fake_calls(store.get()) - before) / 60;
	}

	void check_settled()
	{
		struct heads h;

		wait(recover_ms);
		h = read_heads_now();
		if (h.pointer)
			RC_ASSERT(std::max(h.pointer->epoch, h.seen) >= best);
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
		release_heads(&h);
		/* what is published now is above all that was in force */
		publish(40);
		publish(41);
		wait(settle_ms);
		h = read_heads_now();
		RC_ASSERT(h.pointer->epoch > best || best_slots == 42U);
		for (auto &fl : followers)
			if (fl->reader)
				RC_ASSERT(fl->epoch == h.pointer->epoch);
		release_heads(&h);
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
						     { 1, EV_DOWN },
						     { 1, EV_SILENT },
						     { 1, EV_SAVE },
						     { 1, EV_RESTORE },
						     { 1, EV_RESTART } })),
		rc::gen::set(&event::arg, rc::gen::inRange(0U, 30U)));
}

} // namespace

int main()
{
	bool ok = rc::check(
		"readers never go back, and have the news within 5 s", []() {
			auto events = *rc::gen::container<std::vector<event>>(
				*rc::gen::inRange(1, 30), event_gen());
			world w;

			for (const auto &e : events)
				w.apply(e);
			w.check_settled();
		});
	ok &= rc::check(
		"two readers and another call at most 1.4 times a second",
		[]() {
			world w;

			w.apply({ EV_PUBLISH, 1 });
			w.wait(settle_ms);
			RC_ASSERT(w.idle_rate() <= 1.4);
		});
	return ok ? 0 : 1;
}
