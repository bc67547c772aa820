/*
 * Properties of several instances that steer by cookie, under generated events
 * in which their views of live members and cold upstreams differ.
 */

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "t/cookie-harness.h"
}

#define INSTANCES 5
#define UPSTREAMS 4
#define CALLER 0x64400000

/* Allowed new flows a second of a cold upstream: limit * factor + slack. */
#define COLD_FACTOR 1.5
#define COLD_SLACK 5

struct fleet {
	struct cookie_instance instances[INSTANCES];
	bool alive[INSTANCES];
	upstream_index_t upstreams[INSTANCES][UPSTREAMS];
	uint64_t now_ms;

	fleet() : now_ms(0)
	{
		for (int i = 0; i < INSTANCES; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "front-%d", i);
			init_cookie_instance(&instances[i], name,
					     i % 2 ? "a" : "b");
			alive[i] = true;
			for (int k = 0; k < INSTANCES; k++)
				set_member(i, k, MEMBER_ALIVE);
			update_quotas(instances[i].quotas, 0);
		}
	}

	~fleet()
	{
		for (int i = 0; i < INSTANCES; i++)
			release_cookie_instance(&instances[i]);
	}

	/* Sets the state of member K to S in the view of instance I. */
	void set_member(int i, int k, enum member_state s)
	{
		char name[16];

		g_snprintf(name, sizeof(name), "front-%d", k);
		if (i != k)
			set_test_member(&instances[i], name, k % 2 ? "a" : "b",
					s);
	}

	void remove_dead_members(int i)
	{
		size_t known;
		const struct member *ms =
			view_members(instances[i].view, &known);
		std::vector<uint64_t> dead;

		for (size_t k = 0; k < known; k++)
			if (ms[k].state == MEMBER_DEAD)
				dead.push_back(ms[k].id);
		for (uint64_t id : dead)
			remove_member(instances[i].view, id);
	}

	struct upstream_report report(int u)
	{
		char name[16];

		g_snprintf(name, sizeof(name), "u-%d", u);
		return make_upstream_report(name, u % 2 ? "a" : "b");
	}

	void put_upstream(int u, uint32_t cold_ms)
	{
		for (int i = 0; i < INSTANCES; i++) {
			struct upstream_report r = report(u);

			r.cold_left_ms = cold_ms;
			upstreams[i][u] =
				put_test_upstream(&instances[i], &r, now_ms);
		}
	}
};

/*
 * A random number of at least LOW and below HIGH. Each case draws from one
 * generated seed, since RapidCheck generators for each step would take minutes.
 */
static int draw(GRand *rand, int low, int high)
{
	return g_rand_int_range(rand, low, high);
}

/* The highest number of TIMES (sorted) within any second. */
static size_t max_per_second(const std::vector<uint64_t> &times)
{
	size_t most = 0;
	size_t first = 0;

	for (size_t i = 0; i < times.size(); i++) {
		while (times[i] - times[first] >= 1000)
			first++;
		most = std::max(most, i - first + 1);
	}
	return most;
}

/* Updates of members' states that have not reached their instances yet. */
struct update_schedule {
	std::multimap<uint64_t, std::pair<std::pair<int, int>, bool>> updates;
	uint64_t last[INSTANCES][INSTANCES];

	update_schedule() : last()
	{
	}

	/* Schedules an update of I about K at AT, after the previous one. */
	void add(int i, int k, bool alive, uint64_t at)
	{
		at = std::max(at, last[i][k] + 1);
		last[i][k] = at;
		updates.insert({ at, { { i, k }, alive } });
	}

	void deliver(struct fleet *f)
	{
		while (!updates.empty() &&
		       updates.begin()->first <= f->now_ms) {
			auto n = updates.begin()->second;

			f->set_member(n.first.first, n.first.second,
				      n.second ? MEMBER_ALIVE : MEMBER_DEAD);
			updates.erase(updates.begin());
		}
	}
};

/* Sends a SYN to instance I; adds its time to the PLACED of a cold upstream. */
static void send_syn(struct fleet *f, int i, uint32_t caller,
		     std::vector<uint64_t> *placed)
{
	struct cookie_packet p = make_cookie_packet(caller, 1000, TCP_SYN, 0);

	update_quotas(f->instances[i].quotas, f->now_ms);
	struct cookie_decision d = steer_cookie_packet(f->instances[i].steering,
						       &p, false, f->now_ms);
	for (int u = 0; u < 2 && d.verdict == COOKIE_TO_UPSTREAM; u++)
		if (f->upstreams[i][u] == d.upstream &&
		    is_cold_upstream(f->instances[i].catalog, d.upstream,
				     f->now_ms))
			placed[u].push_back(f->now_ms);
}

/* Sets up two cold upstreams with LIMIT new flows a second, and no others. */
static void set_up_cold_upstreams(struct fleet *f, double limit)
{
	const uint16_t port = TEST_ROUTE_PORT;

	for (int i = 0; i < INSTANCES; i++)
		set_test_routes(f->instances[i].catalog, 2, &port, 1, limit);
	f->now_ms = 4000;
	f->put_upstream(0, 60000);
	f->put_upstream(1, 60000);
}

static void check_cold_limit(const std::vector<uint64_t> *placed, double limit)
{
	for (int u = 0; u < 2; u++)
		RC_ASSERT(max_per_second(placed[u]) <=
			  limit * COLD_FACTOR + COLD_SLACK);
}

/*
 * Members die and return. Each instance learns of it after a random delay of up
 * to 1.5 s, as by the heartbeats of a large fleet.
 */
static void cold_limit_holds_while_members_die()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	const double limit = draw(rand, 0, 40);
	std::vector<uint64_t> placed[2];
	struct update_schedule schedule;
	struct fleet f;

	set_up_cold_upstreams(&f, limit);
	for (uint32_t step = 0; step < 2000; step++) {
		int i = draw(rand, 0, INSTANCES);

		f.now_ms += (uint64_t)draw(rand, 1, 12);
		if (draw(rand, 0, 100) == 0) {
			f.alive[i] = !f.alive[i];
			for (int k = 0; k < INSTANCES; k++)
				schedule.add(k, i, f.alive[i],
					     f.now_ms + (uint64_t)draw(rand, 0,
								       1500));
		}
		schedule.deliver(&f);
		if (f.alive[i])
			send_syn(&f, i, CALLER + step, placed);
	}
	g_rand_free(rand);
	check_cold_limit(placed, limit);
}

/*
 * A partition: all sides stay alive, and each considers the others dead after a
 * while. With two sides the limit holds even after dead members were removed
 * from the views.
 */
static void cold_limit_holds_in_a_partition()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	const double limit = draw(rand, 0, 40);
	std::vector<uint64_t> placed[2];
	struct update_schedule schedule;
	struct fleet f;
	bool removes_dead = draw(rand, 0, 2) != 0;
	int side[INSTANCES];

	for (int i = 0; i < INSTANCES; i++)
		side[i] = draw(rand, 0, removes_dead ? 2 : 3);
	set_up_cold_upstreams(&f, limit);
	for (int i = 0; i < INSTANCES; i++)
		for (int k = 0; k < INSTANCES; k++)
			if (side[i] != side[k])
				schedule.add(
					i, k, false,
					f.now_ms + 2000 +
						(uint64_t)draw(rand, 0, 1500));
	for (uint32_t step = 0; step < 2000; step++) {
		f.now_ms += (uint64_t)draw(rand, 1, 12);
		schedule.deliver(&f);
		/* in a long partition dead members are removed */
		if (removes_dead && step == 1000)
			for (int i = 0; i < INSTANCES; i++)
				f.remove_dead_members(i);
		send_syn(&f, draw(rand, 0, INSTANCES), CALLER + step, placed);
	}
	g_rand_free(rand);
	check_cold_limit(placed, limit);
}

/* A flow as its caller and upstream see it. */
struct client_flow {
	uint16_t port;
	int upstream;
	uint32_t seq;
	bool open;
};

/*
 * Packets of open flows, at any instance, go to the flow's upstream and are
 * never reset while it is alive and its route exists, whatever upstreams are
 * suspect, draining or out of service. Only dead upstreams refuse checks.
 */
static void open_flows_keep_their_upstream()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	std::vector<struct client_flow> flows;
	bool dead[UPSTREAMS] = {};
	struct fleet f;
	GArray *resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));

	f.now_ms = 1000;
	for (int u = 0; u < UPSTREAMS; u++)
		f.put_upstream(u, 0);
	for (int step = 0; step < 400; step++) {
		int i = draw(rand, 0, INSTANCES);
		int u = draw(rand, 0, UPSTREAMS);
		struct cookie_instance *in = &f.instances[i];

		f.now_ms += (uint64_t)draw(rand, 1, 80);
		switch (draw(rand, 0, 8)) {
		case 0: {
			uint16_t port = (uint16_t)(1000 + flows.size());
			struct cookie_packet p =
				make_cookie_packet(CALLER, port, TCP_SYN, 0);
			struct cookie_decision d = steer_cookie_packet(
				in->steering, &p, false, f.now_ms);

			if (d.verdict != COOKIE_TO_UPSTREAM)
				break;
			for (int k = 0; k < UPSTREAMS; k++)
				if (f.upstreams[i][k] == d.upstream && !dead[k])
					flows.push_back(
						{ port, k, 1001, true });
			break;
		}
		case 1:
			note_upstream_silent(in->placer, f.upstreams[i][u],
					     f.now_ms - 200, f.now_ms);
			break;
		case 2:
			note_check_result(in->placer, f.upstreams[i][u],
					  dead[u] ? CHECK_REFUSED
						  : CHECK_SILENT,
					  f.now_ms);
			if (assessed_health(in->placer, f.upstreams[i][u]) ==
			    HEALTH_DEAD)
				end_upstream_flows(in->steering,
						   f.upstreams[i][u], f.now_ms,
						   resets);
			break;
		case 3: {
			struct upstream_report r = f.report(u);

			r.draining = draw(rand, 0, 2) != 0;
			put_test_upstream(in, &r, f.now_ms);
			break;
		}
		case 4:
			if (draw(rand, 0, 10) == 0)
				dead[u] = true;
			else
				set_catalog_domain_out(
					in->catalog, u % 2 ? "a" : "b",
					draw(rand, 0, 2) != 0, 0, f.now_ms);
			break;
		default:
			if (flows.empty())
				break;
			struct client_flow &fl =
				flows[draw(rand, 0, flows.size())];
			struct cookie_packet p = make_cookie_packet(
				CALLER, fl.port, TCP_ACK,
				make_cookie(f.report(fl.upstream).id));

			if (dead[fl.upstream])
				break;
			p.seq = fl.seq;
			p.payload_len = (uint16_t)draw(rand, 0, 100);
			p.ack = 500 + fl.seq;
			if (draw(rand, 0, 2) != 0)
				fl.seq += p.payload_len; /* else sent again */
			struct cookie_decision d = steer_cookie_packet(
				in->steering, &p, false, f.now_ms);
			RC_ASSERT(d.verdict == COOKIE_TO_UPSTREAM);
			RC_ASSERT(d.upstream == f.upstreams[i][fl.upstream]);
		}
		tick_cookie_steering(in->steering, f.now_ms);
	}
	for (guint k = 0; k < resets->len; k++) {
		const struct cookie_reset *r =
			&g_array_index(resets, struct cookie_reset, k);
		auto fl = std::find_if(flows.begin(), flows.end(),
				       [&](const struct client_flow &x) {
					       return x.port ==
						      r->key.caller_port;
				       });

		if (fl != flows.end())
			RC_ASSERT(dead[fl->upstream]);
	}
	g_array_free(resets, TRUE);
	g_rand_free(rand);
}

/* A caller's attempt in a simulated restart of all instances. */
struct attempt {
	uint16_t port;
	int upstream; /* -1: its SYN was not forwarded */
	int syn_copy;
	uint64_t syn_ms;
	uint64_t next_ms; /* of its next packet */
	enum { SYN, REQUEST, RUNNING, END, GONE } phase;
};

#define SLOTS 3	     /* of each upstream */
#define RUN_MS 55    /* mean run time of a request */
#define ARRIVALS 120 /* a second: 0.55 of all slots */
#define RETURN_MS 3000
#define LOW_USE 0.7 /* of all slots */

/* Callers, upstreams and rotation while all instances are restarted. */
struct restart {
	struct fleet f;
	GRand *rand;
	bool ready[INSTANCES];
	uint64_t returns_ms[INSTANCES];
	std::vector<struct attempt> attempts;
	std::vector<std::pair<size_t, uint64_t>> running[UPSTREAMS];
	std::vector<size_t> queued[UPSTREAMS];
	uint64_t used_ms; /* when LOW_USE of the slots was last in use */
	GArray *released;
	GArray *checks;
	int refused_in_vain;

	explicit restart(GRand *r) : rand(r), used_ms(0), refused_in_vain(0)
	{
		released =
			g_array_new(FALSE, FALSE, sizeof(struct released_syn));
		checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
		f.now_ms = 1;
		for (int u = 0; u < UPSTREAMS; u++)
			f.put_upstream(u, 0);
		for (int i = 0; i < INSTANCES; i++) {
			ready[i] = true;
			returns_ms[i] =
				RETURN_MS + (uint64_t)draw(rand, 0, 1500);
		}
	}

	~restart()
	{
		g_array_free(released, TRUE);
		g_array_free(checks, TRUE);
	}

	void start_again(int i)
	{
		char name[16];

		g_snprintf(name, sizeof(name), "front-%d", i);
		release_cookie_instance(&f.instances[i]);
		init_cookie_instance(&f.instances[i], name, i % 2 ? "a" : "b");
		for (int k = 0; k < INSTANCES; k++)
			f.set_member(i, k, MEMBER_ALIVE);
		for (int u = 0; u < UPSTREAMS; u++) {
			struct upstream_report r = f.report(u);

			f.upstreams[i][u] = put_test_upstream(&f.instances[i],
							      &r, f.now_ms);
		}
		ready[i] = true;
	}

	/* The instance that gets packets of PORT now; -1: none is ready. */
	int route(uint16_t port)
	{
		int ready_nr = (int)std::count(ready, ready + INSTANCES, true);
		int n = ready_nr ? port * 31 / 7 % ready_nr : 0;

		for (int i = 0; i < INSTANCES; i++)
			if (ready[i] && n-- == 0)
				return i;
		return -1;
	}

	void decide(int i, struct attempt *a, const struct cookie_decision *d)
	{
		if (d->verdict == COOKIE_RESET) {
			refused_in_vain += f.now_ms - used_ms > 300;
			a->phase = attempt::GONE;
		} else if (d->verdict == COOKIE_TO_UPSTREAM) {
			for (int u = 0; u < UPSTREAMS; u++)
				if (f.upstreams[i][u] == d->upstream)
					a->upstream = u;
			a->phase = attempt::REQUEST;
			a->next_ms = f.now_ms + 6;
		}
	}

	/* Sends a packet of A; false if no instance is ready. */
	bool send(struct attempt *a, uint8_t flags, uint32_t seq, uint16_t len,
		  uint32_t ack)
	{
		int i = route(a->port);
		struct cookie_packet p = make_cookie_packet(
			CALLER + a->port, a->port, flags,
			a->upstream < 0
				? 0
				: make_cookie(f.report(a->upstream).id));
		struct cookie_decision d;

		if (i < 0)
			return false;
		p.seq = seq;
		p.payload_len = len;
		p.ack = ack;
		update_quotas(f.instances[i].quotas, f.now_ms);
		d = steer_cookie_packet(f.instances[i].steering, &p, false,
					f.now_ms);
		if (flags == TCP_SYN)
			decide(i, a, &d);
		return true;
	}

	void step_caller(size_t nr)
	{
		static const uint32_t copies_ms[] = { 200, 600, 1400 };
		struct attempt *a = &attempts[nr];
		int u = a->upstream;

		if (a->next_ms > f.now_ms)
			return;
		switch (a->phase) {
		case attempt::SYN:
			if (a->syn_copy == 3) {
				a->phase = attempt::GONE;
				break;
			}
			send(a, TCP_SYN, 1000, 0, (uint32_t)a->syn_copy);
			if (a->phase == attempt::SYN)
				a->next_ms =
					a->syn_ms + copies_ms[a->syn_copy++];
			break;
		case attempt::REQUEST:
			a->next_ms += 200;
			if (!send(a, TCP_ACK, 1001, 0, 500))
				break;
			send(a, TCP_ACK, 1001, 100, 500);
			a->phase = attempt::RUNNING;
			queued[u].push_back(nr);
			break;
		case attempt::RUNNING:
			break;
		case attempt::END:
			a->next_ms += 200;
			if (send(a, TCP_ACK | TCP_FIN, 1101, 0, 900))
				a->phase = attempt::GONE;
			break;
		case attempt::GONE:
			break;
		}
	}

	void step_upstream(int u)
	{
		auto *run = &running[u];

		for (size_t k = run->size(); k-- > 0;) {
			if ((*run)[k].second > f.now_ms)
				continue;
			attempts[(*run)[k].first].phase = attempt::END;
			attempts[(*run)[k].first].next_ms = f.now_ms + 3;
			run->erase(run->begin() + (long)k);
		}
		while (run->size() < SLOTS && !queued[u].empty()) {
			double x = g_rand_double_range(rand, 1e-6, 1);

			run->push_back(
				{ queued[u].front(),
				  f.now_ms + 1 +
					  (uint64_t)(-log(x) * RUN_MS) });
			queued[u].erase(queued[u].begin());
		}
	}

	void send_heartbeat(int i)
	{
		GArray *rows = g_array_new(FALSE, FALSE,
					   sizeof(struct upstream_load_row));

		list_own_loads(f.instances[i].placer, f.now_ms, rows);
		for (int k = 0; k < INSTANCES; k++)
			if (k != i && ready[k])
				handle_peer_loads(
					f.instances[k].placer, (uint64_t)i + 1,
					(struct upstream_load_row *)rows->data,
					rows->len, f.now_ms);
		g_array_free(rows, TRUE);
	}

	void step_instance(int i)
	{
		struct cookie_instance *in = &f.instances[i];

		if (!ready[i])
			return;
		if ((f.now_ms + 31 * (uint64_t)i) % 150 == 0)
			send_heartbeat(i);
		if (f.now_ms % COOKIE_TICK_MS)
			return;
		tick_cookie_steering(in->steering, f.now_ms);
		tick_placer(in->placer, f.now_ms, checks);
		g_array_set_size(released, 0);
		release_waiting_syns(in->steering, f.now_ms, released);
		for (guint k = 0; k < released->len; k++) {
			struct released_syn *rs = &g_array_index(
				released, struct released_syn, k);

			for (auto &a : attempts)
				if (a.port == rs->packet.key.caller_port &&
				    a.phase == attempt::SYN)
					decide(i, &a, &rs->decision);
		}
	}

	void step()
	{
		size_t used = 0;

		f.now_ms++;
		for (int i = 0; i < INSTANCES; i++) {
			if (f.now_ms == RETURN_MS - 1000)
				ready[i] = false;
			if (f.now_ms == returns_ms[i])
				start_again(i);
		}
		if (draw(rand, 0, 1000) < ARRIVALS)
			attempts.push_back({ (uint16_t)(1000 + attempts.size()),
					     -1, 0, f.now_ms, f.now_ms,
					     attempt::SYN });
		for (size_t k = 0; k < attempts.size(); k++)
			step_caller(k);
		for (int u = 0; u < UPSTREAMS; u++) {
			step_upstream(u);
			used += running[u].size();
		}
		if (used >= LOW_USE * SLOTS * UPSTREAMS)
			used_ms = f.now_ms;
		for (int i = 0; i < INSTANCES; i++)
			step_instance(i);
	}
};

/*
 * All instances are away for a second and return one after the other, so that
 * packets of flows move between them. Requests whose end is seen elsewhere must
 * not make instances refuse callers while upstreams have free slots.
 */
static void restart_refuses_no_caller_in_vain()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	int refused;
	{
		struct restart r(rand);

		while (r.f.now_ms < RETURN_MS + 4000)
			r.step();
		refused = r.refused_in_vain;
	}
	g_rand_free(rand);
	RC_ASSERT(refused == 0);
}

int main()
{
	bool ok = true;

	ok &= rc::check("cold limits hold while members die",
			cold_limit_holds_while_members_die);
	ok &= rc::check("cold limits hold on all sides of a partition",
			cold_limit_holds_in_a_partition);
	ok &= rc::check("open flows keep their upstream and are not reset",
			open_flows_keep_their_upstream);
	ok &= rc::check("restart refuses no caller in vain",
			restart_refuses_no_caller_in_vain);
	return !ok;
}
