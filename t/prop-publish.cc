/*
 * Properties of publishing and of taking failure domains out and back: several
 * operators run step by step, in a generated order, over a store that loses
 * calls and answers. Guards against changes that are lost, applied twice or in
 * part, or missing in the audit trail.
 *
 * BV_FLAW (0 to 4) selects a faulty store, to check that the properties fail.
 */

#include <glib.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "config/domain-change.h"
#include "config/keys.h"
#include "config/parts.h"
#include "config/publish.h"
#include "store/etcd-json.h"
#include "t/fake-store.h"
}

namespace
{

constexpr unsigned service_nr = 6;
constexpr unsigned many_service_nr = 70; /* needs several transactions */
constexpr uint32_t bucket_nr = 64;
constexpr unsigned step_max = 20000;

const char *const domain_names[] = { "north", "south", "west" };

enum op_kind {
	OP_PUBLISH_ONE,
	OP_PUBLISH_ALL,
	OP_PUBLISH_MANY,
	OP_DOMAIN_OUT,
	OP_DOMAIN_BACK,
	OP_KIND_NR
};

struct op_plan {
	unsigned kind;
	unsigned target_nr; /* number of the service or domain */
	unsigned slots;
	unsigned start_step; /* earliest step */
};

struct step_plan {
	unsigned actor;
	unsigned fault;
	bool apply_delayed;
};

std::string service_name(unsigned i)
{
	return "service-" + std::to_string(i);
}

struct service *make_service(unsigned i, unsigned slots)
{
	std::string name = service_name(i);
	struct service *sv = create_service(name.c_str());

	sv->kind = SERVICE_REQUESTS;
	std::string at = "10.0." + std::to_string(i / 200) + "." +
			 std::to_string(i % 200 + 1) + ":80";
	parse_endpoint(at.c_str(), &sv->address, nullptr);
	for (unsigned u = 0; u < 3; u++) {
		struct upstream up = {};

		g_snprintf(up.name, sizeof(up.name), "up-%u", u);
		g_strlcpy(up.domain, domain_names[u], sizeof(up.domain));
		up.address = sv->address;
		up.slots = slots;
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

/* One operator's command. */
struct actor {
	op_plan plan;
	std::string id;
	std::vector<struct service *> services;
	struct publish *publish = nullptr;
	struct domain_change *domain = nullptr;
	struct change_action act = {};
	bool started = false;
	bool done = false;
	unsigned first_step = 0;
	unsigned last_step = 0;
	int64_t read_epoch = -1; /* of the first complete read; -1: none */

	actor(const op_plan &p, unsigned i)
		: plan(p), id("op-" + std::to_string(i))
	{
		unsigned nr = p.kind == OP_PUBLISH_MANY ? many_service_nr
							: service_nr;

		if (p.kind >= OP_DOMAIN_OUT) {
			start_domain(i);
			return;
		}
		if (p.kind == OP_PUBLISH_ONE) {
			services.push_back(make_service(
				p.target_nr % service_nr, p.slots));
		} else {
			for (unsigned k = 0; k < nr; k++)
				services.push_back(make_service(k, p.slots));
		}
		start_publish(i);
	}

	actor(const actor &) = delete;
	actor &operator=(const actor &) = delete;

	~actor()
	{
		destroy_publish(publish);
		destroy_domain_change(domain);
		for (auto *sv : services)
			unref_service(sv);
	}

	void start_publish(unsigned i)
	{
		struct publish_intent in = {};

		in.change.services = services.data();
		in.change.service_nr = services.size();
		in.change.only = plan.kind == OP_PUBLISH_ONE;
		in.id = id.c_str();
		in.who = "someone";
		in.why = "test";
		in.allow_removal = true;
		in.bucket_nr = bucket_nr;
		publish = create_publish(&in, i);
	}

	void start_domain(unsigned i)
	{
		struct domain_intent in = {};

		g_strlcpy(in.name, domain_name(), sizeof(in.name));
		in.out = plan.kind == OP_DOMAIN_OUT;
		in.id = id.c_str();
		in.who = "someone";
		in.why = "test";
		domain = create_domain_change(&in, i);
	}

	const char *domain_name() const
	{
		return domain_names[plan.target_nr % 3];
	}

	enum status_kind status() const
	{
		return publish ? publish_status(publish)->kind
			       : domain_change_status(domain)->kind;
	}

	bool committed() const
	{
		return publish ? publish_committed(publish)
			       : domain_change_committed(domain);
	}

	uint64_t epoch() const
	{
		return publish ? publish_epoch(publish)
			       : domain_change_epoch(domain);
	}

	void note_first_read(const struct store_answer *a)
	{
		struct store_head h = {};
		struct status st;

		if (a->status.kind != STATUS_OK)
			return;
		RC_ASSERT(decode_store_head(&h, a, &st) == STATUS_OK);
		if (!h.pointer)
			read_epoch = 0;
		release_store_head(&h);
	}

	void step(struct fake_store *f, enum fake_fault fault, unsigned step_no)
	{
		struct store_answer a = {};
		bool call = started && act.kind != CHANGE_WAIT;

		if (!started)
			first_step = step_no;
		started = true;
		if (call)
			call_fake_store(f, &act, fault, &a);
		if (call && act.kind == CHANGE_RANGE && read_epoch < 0)
			note_first_read(&a);
		if (publish)
			step_publish(publish, call ? &a : nullptr, &act);
		else
			step_domain_change(domain, call ? &a : nullptr, &act);
		release_store_answer(&a);
		if (publish && publish_base(publish) && read_epoch < 0)
			read_epoch =
				(int64_t)snapshot_epoch(publish_base(publish));
		if (act.kind != CHANGE_DONE)
			return;
		done = true;
		last_step = step_no;
	}
};

void read_keys(struct fake_store *f, const char *key, const char *end,
	       struct store_answer *a)
{
	struct change_action act = {};

	act.kind = CHANGE_RANGE;
	act.range.key = key;
	act.range.end = end;
	call_fake_store(f, &act, FAKE_NONE, a);
}

/* Checks after each step what a reader of the store can see. */
class store_observer
{
	uint64_t epoch = 0;
	std::map<std::string, uint64_t> domain_epochs;
	std::map<uint64_t, std::set<std::string>> pointers; /* by epoch */

	void check_parts(struct fake_store *f)
	{
		struct store_answer a;
		std::set<std::string> keys;

		read_keys(f, KEY_PART_PREFIX, "/baobabvalve/part0", &a);
		for (size_t i = 0; i < a.entry_nr; i++)
			keys.insert(a.entries[i].key);
		release_store_answer(&a);
		for (const auto &p : pointers)
			if (p.first + RETIRED_PART_EPOCHS > epoch)
				for (const auto &key : p.second)
					RC_ASSERT(keys.count(key));
	}

	void record_pointer(const struct pointer *p)
	{
		char key[PART_KEY_MAX];

		RC_ASSERT(p->epoch >= epoch);
		epoch = p->epoch;
		for (guint i = 0; i < p->parts->len; i++)
			pointers[epoch].insert(part_key(
				&g_array_index(p->parts, struct part_ref, i),
				key));
	}

      public:
	void check_store(struct fake_store *f)
	{
		struct store_answer a;
		struct store_head h;
		struct status st;

		read_keys(f, KEY_HEAD_PREFIX, KEY_HEAD_END, &a);
		RC_ASSERT(decode_store_head(&h, &a, &st) == STATUS_OK);
		if (h.pointer && h.pointer->epoch != epoch)
			record_pointer(h.pointer);
		for (size_t i = 0; i < h.domains.nr; i++) {
			auto &last = domain_epochs[h.domains.at[i].name];

			RC_ASSERT(h.domains.at[i].epoch >= last);
			last = h.domains.at[i].epoch;
		}
		release_store_head(&h);
		release_store_answer(&a);
		check_parts(f);
	}
};

using audit_trail = std::map<std::string, std::vector<struct audit_entry>>;

/* The audit trail by record ("" for the configuration), in epoch order. */
audit_trail read_audit_trail(struct fake_store *f)
{
	struct store_answer a;
	audit_trail t;

	read_keys(f, KEY_AUDIT_PREFIX, KEY_AUDIT_END, &a);
	for (size_t i = 0; i < a.entry_nr; i++) {
		struct audit_entry e;

		RC_ASSERT(
			decode_audit(a.entries[i].value, a.entries[i].len, &e));
		t[e.what == AUDIT_PUBLISH ? "" : e.subject].push_back(e);
	}
	release_store_answer(&a);
	return t;
}

using actors = std::vector<std::unique_ptr<actor>>;

const actor *find_actor(const actors &as, const char *id)
{
	for (const auto &a : as)
		if (a->id == id)
			return a.get();
	return nullptr;
}

/* Each committed change has one audit entry, and no other change has one. */
void check_audit_trail(const actors &as, const audit_trail &t)
{
	std::map<std::string, unsigned> seen;

	for (const auto &record : t)
		for (const auto &e : record.second)
			seen[e.id]++;
	for (const auto &a : as) {
		unsigned n = seen[a->id];

		if (a->status() == STATUS_UNKNOWN)
			RC_ASSERT(n <= 1U);
		else
			RC_ASSERT(n == (a->committed() ? 1U : 0U));
	}
}

/*
 * The changes of each record have consecutive epochs, and no change has a
 * higher epoch than a change that started after it had ended.
 */
void check_order(const actors &as, const audit_trail &t)
{
	for (const auto &record : t) {
		uint64_t epoch = 0;

		for (const auto &e : record.second) {
			const actor *a = find_actor(as, e.id);

			RC_ASSERT((a != nullptr));
			RC_ASSERT(e.old_epoch == epoch);
			RC_ASSERT(e.new_epoch == epoch + 1);
			if (a->committed())
				RC_ASSERT(a->epoch() == e.new_epoch);
			epoch = e.new_epoch;
			for (const auto &later : record.second) {
				const actor *b = find_actor(as, later.id);

				if (later.new_epoch > e.new_epoch && b->done &&
				    b->status() != STATUS_UNKNOWN)
					RC_ASSERT(a->first_step <=
						  b->last_step);
			}
		}
	}
}

using slots_by_service = std::map<std::string, unsigned>;

/* Slots of the service NAME; 0 if M does not have it. */
unsigned slots_in(const slots_by_service &m, const char *name)
{
	auto at = m.find(name);

	return at == m.end() ? 0 : at->second;
}

/* The store holds the result of the audit trail's changes in order. */
void check_content(struct fake_store *f, const actors &as, audit_trail &t)
{
	slots_by_service model;
	std::vector<slots_by_service> models = { model };
	struct store_answer a;
	struct store_head h;
	struct status st;

	for (const auto &e : t[""]) {
		const actor *op = find_actor(as, e.id);

		/* no other publish changed its services after its read */
		for (const auto *sv : op->services)
			RC_ASSERT(slots_in(models[(size_t)op->read_epoch],
					   sv->name) ==
				  slots_in(model, sv->name));
		if (op->plan.kind != OP_PUBLISH_ONE)
			model.clear();
		for (const auto *sv : op->services)
			model[sv->name] = op->plan.slots;
		models.push_back(model);
	}
	read_keys(f, KEY_HEAD_PREFIX, KEY_HEAD_END, &a);
	RC_ASSERT(decode_store_head(&h, &a, &st) == STATUS_OK);
	release_store_answer(&a);
	for (size_t i = 0; i < h.domains.nr; i++) {
		const auto &chain = t[h.domains.at[i].name];

		RC_ASSERT(!chain.empty());
		RC_ASSERT(h.domains.at[i].out ==
			  (chain.back().what == AUDIT_DOMAIN_OUT));
	}
	RC_ASSERT(((h.pointer != nullptr) == !model.empty()));
	if (h.pointer) {
		struct part_cache *part_cache = create_part_cache();
		struct snapshot *sn;

		read_keys(f, KEY_PART_PREFIX, "/baobabvalve/part0", &a);
		for (guint i = 0; i < h.pointer->parts->len; i++) {
			const struct part_ref *ref = &g_array_index(
				h.pointer->parts, struct part_ref, i);
			char key[PART_KEY_MAX];
			const struct store_entry *e =
				find_store_entry(&a, part_key(ref, key));

			RC_ASSERT((e != nullptr));
			RC_ASSERT(add_cached_part(part_cache, ref, e->value,
						  e->len));
		}
		release_store_answer(&a);
		sn = assemble_snapshot(part_cache, h.pointer);
		RC_ASSERT((sn != nullptr));
		RC_ASSERT(snapshot_service_count(sn) == model.size());
		for (size_t i = 0; i < snapshot_service_count(sn); i++) {
			const struct service *sv = snapshot_service(sn, i);

			RC_ASSERT(model.count(sv->name) == 1U);
			RC_ASSERT(sv->upstreams[0].slots == model[sv->name]);
		}
		unref_snapshot(sn);
		destroy_part_cache(part_cache);
	}
	release_store_head(&h);
}

/* At least one domain of the configuration is in service. */
void check_last_domain(struct fake_store *f)
{
	struct store_answer a;
	struct store_head h;
	struct status st;
	unsigned out = 0;

	read_keys(f, KEY_HEAD_PREFIX, KEY_HEAD_END, &a);
	RC_ASSERT(decode_store_head(&h, &a, &st) == STATUS_OK);
	for (size_t i = 0; i < h.domains.nr; i++)
		out += h.domains.at[i].out;
	RC_ASSERT(out < 3U);
	release_store_head(&h);
	release_store_answer(&a);
}

void run_operators(const std::vector<op_plan> &ops,
		   const std::vector<step_plan> &steps, enum fake_flaw flaw)
{
	std::unique_ptr<fake_store, void (*)(fake_store *)> f(
		create_fake_store(flaw), destroy_fake_store);
	store_observer seen;
	actors as;
	unsigned step_no = 0;

	for (unsigned i = 0; i < ops.size(); i++)
		as.push_back(std::make_unique<actor>(ops[i], i));
	for (const auto &s : steps) {
		actor &a = *as[s.actor % as.size()];

		step_no++;
		if (s.apply_delayed)
			apply_delayed_calls(f.get());
		if (!a.done && step_no >= a.plan.start_step)
			a.step(f.get(), (enum fake_fault)s.fault, step_no);
		seen.check_store(f.get());
		check_last_domain(f.get());
	}
	for (auto &a : as)
		while (!a->done && step_no < step_max)
			a->step(f.get(), FAKE_NONE, ++step_no);
	apply_delayed_calls(f.get());
	seen.check_store(f.get());
	audit_trail t = read_audit_trail(f.get());
	for (const auto &a : as)
		RC_ASSERT(a->done);
	check_audit_trail(as, t);
	check_order(as, t);
	check_content(f.get(), as, t);
	check_last_domain(f.get());
}

rc::Gen<op_plan> op_gen()
{
	return rc::gen::build<op_plan>(
		rc::gen::set(&op_plan::kind,
			     rc::gen::weightedElement<unsigned>(
				     { { 6, OP_PUBLISH_ONE },
				       { 2, OP_PUBLISH_ALL },
				       { 1, OP_PUBLISH_MANY },
				       { 4, OP_DOMAIN_OUT },
				       { 2, OP_DOMAIN_BACK } })),
		rc::gen::set(&op_plan::target_nr, rc::gen::inRange(0U, 6U)),
		rc::gen::set(&op_plan::slots, rc::gen::inRange(1U, 6U)),
		rc::gen::set(&op_plan::start_step, rc::gen::inRange(0U, 80U)));
}

/* Operators who take domains out at the same time. */
rc::Gen<op_plan> out_gen()
{
	return rc::gen::build<op_plan>(
		rc::gen::set(&op_plan::kind,
			     rc::gen::weightedElement<unsigned>(
				     { { 4, OP_DOMAIN_OUT },
				       { 1, OP_DOMAIN_BACK } })),
		rc::gen::set(&op_plan::target_nr, rc::gen::inRange(0U, 3U)),
		rc::gen::set(&op_plan::slots, rc::gen::just(1U)),
		rc::gen::set(&op_plan::start_step, rc::gen::inRange(5U, 12U)));
}

rc::Gen<step_plan> step_gen()
{
	return rc::gen::build<step_plan>(
		rc::gen::set(&step_plan::actor, rc::gen::inRange(0U, 64U)),
		rc::gen::set(&step_plan::fault,
			     rc::gen::weightedElement<unsigned>(
				     { { 12, FAKE_NONE },
				       { 1, FAKE_UNREACHABLE },
				       { 1, FAKE_REQUEST_LOST },
				       { 2, FAKE_ANSWER_LOST },
				       { 2, FAKE_DELAYED },
				       { 1, FAKE_SENT_TWICE } })),
		rc::gen::set(&step_plan::apply_delayed,
			     rc::gen::weightedElement<bool>(
				     { { 3, false }, { 1, true } })));
}

} // namespace

int main()
{
	const char *text = std::getenv("BV_FLAW");
	auto flaw = (enum fake_flaw)(text ? std::atoi(text) : 0);
	bool ok = rc::check(
		"committed changes are complete, ordered, and audited once",
		[flaw]() {
			auto ops = *rc::gen::container<std::vector<op_plan>>(
				*rc::gen::inRange(2, 12), op_gen());
			auto steps =
				*rc::gen::container<std::vector<step_plan>>(
					*rc::gen::inRange(20, 200), step_gen());
			run_operators(ops, steps, flaw);
		});

	ok &= rc::check("operators never take out the last domain", [flaw]() {
		auto ops = *rc::gen::container<std::vector<op_plan>>(
			*rc::gen::inRange(3, 7), out_gen());
		auto steps = *rc::gen::container<std::vector<step_plan>>(
			*rc::gen::inRange(20, 100), step_gen());

		/* domains become known with the first publish */
		ops.insert(ops.begin(), { OP_PUBLISH_ALL, 0, 1, 0 });
		steps.insert(steps.begin(), 5, { 0, FAKE_NONE, false });
		run_operators(ops, steps, flaw);
	});
	return ok ? 0 : 1;
}
