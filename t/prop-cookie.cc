/*
 * Properties of several instances that steer by cookie, under generated
 * histories in which they disagree about who lives and what is cold.
 */

#include <glib.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "t/cookie-bed.h"
}

#define INSTANCES 5
#define UPSTREAMS 4
#define CALLER 0x64400000

/* As the platform's pages have them: factor and slack over what it bears. */
#define COLD_FACTOR 1.5
#define COLD_SLACK 5

struct fleet {
	struct bed_instance at[INSTANCES];
	bool alive[INSTANCES];
	upstream_nr_t nr[INSTANCES][UPSTREAMS];
	uint64_t now;

	fleet() : now(0)
	{
		for (int i = 0; i < INSTANCES; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "front-%d", i);
			init_bed_instance(&at[i], name, i % 2 ? "a" : "b");
			alive[i] = true;
			for (int k = 0; k < INSTANCES; k++)
				tell(i, k, MEMBER_ALIVE);
			update_shares(at[i].shares, 0);
		}
	}

	~fleet()
	{
		for (int i = 0; i < INSTANCES; i++)
			release_bed_instance(&at[i]);
	}

	/* Instance I learns that K is in state S. */
	void tell(int i, int k, enum member_state s)
	{
		char name[16];

		g_snprintf(name, sizeof(name), "front-%d", k);
		if (i != k)
			bed_member(&at[i], name, k % 2 ? "a" : "b", s);
	}

	void forget_dead(int i)
	{
		size_t known;
		const struct member *ms = view_members(at[i].view, &known);
		std::vector<uint64_t> dead;

		for (size_t k = 0; k < known; k++)
			if (ms[k].state == MEMBER_DEAD)
				dead.push_back(ms[k].id);
		for (uint64_t id : dead)
			remove_member(at[i].view, id);
	}

	struct upstream_report report(int u)
	{
		char name[16];

		g_snprintf(name, sizeof(name), "u-%d", u);
		return bed_report(name, u % 2 ? "a" : "b");
	}

	void put(int u, uint32_t cold_ms)
	{
		for (int i = 0; i < INSTANCES; i++) {
			struct upstream_report r = report(u);

			r.cold_ms = cold_ms;
			nr[i][u] = bed_put(&at[i], &r, now);
		}
	}
};

/*
 * From LOW up to but without HIGH. One generated seed decides a history: a
 * generator for each of its steps would take minutes.
 */
static int draw(GRand *rand, int low, int high)
{
	return g_rand_int_range(rand, low, high);
}

/* Most of TIMES (sorted) within any second. */
static size_t most_in_a_second(const std::vector<uint64_t> &times)
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

/* When each instance learns what. */
struct grapevine {
	std::multimap<uint64_t, std::pair<std::pair<int, int>, bool>> news;
	uint64_t last[INSTANCES][INSTANCES];

	grapevine() : last()
	{
	}

	/* Instance I learns at AT, and after what it was to learn before. */
	void add(int i, int k, bool alive, uint64_t at)
	{
		at = std::max(at, last[i][k] + 1);
		last[i][k] = at;
		news.insert({ at, { { i, k }, alive } });
	}

	void deliver(struct fleet *f)
	{
		while (!news.empty() && news.begin()->first <= f->now) {
			auto n = news.begin()->second;

			f->tell(n.first.first, n.first.second,
				n.second ? MEMBER_ALIVE : MEMBER_DEAD);
			news.erase(news.begin());
		}
	}
};

/* A SYN at instance I; its time if a cold upstream of the first two got it. */
static void open_one(struct fleet *f, int i, uint32_t caller,
		     std::vector<uint64_t> *placed)
{
	struct cookie_packet p = bed_packet(caller, 1000, TCP_SYN, 0);

	update_shares(f->at[i].shares, f->now);
	struct cookie_decision d =
		steer_cookie(f->at[i].steering, &p, false, f->now);
	for (int u = 0; u < 2 && d.verdict == COOKIE_TO_UPSTREAM; u++)
		if (f->nr[i][u] == d.upstream &&
		    is_cold_upstream(f->at[i].catalog, d.upstream, f->now))
			placed[u].push_back(f->now);
}

/* Two cold upstreams that bear BEARS a second, and nothing else. */
static void make_cold(struct fleet *f, double bears)
{
	const uint16_t port = BED_ROUTE_PORT;

	for (int i = 0; i < INSTANCES; i++)
		bed_routes(f->at[i].catalog, 2, &port, 1, bears);
	f->now = 4000;
	f->put(0, 60000);
	f->put(1, 60000);
}

static void check_cold(const std::vector<uint64_t> *placed, double bears)
{
	for (int u = 0; u < 2; u++)
		RC_ASSERT(most_in_a_second(placed[u]) <=
			  bears * COLD_FACTOR + COLD_SLACK);
}

/*
 * Members die and come back; each instance learns it after a delay of its own
 * of up to a second and a half, as beacons of a large fleet do.
 */
static void cold_limit_holds_while_members_die()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	const double bears = draw(rand, 0, 40);
	std::vector<uint64_t> placed[2];
	struct grapevine vine;
	struct fleet f;

	make_cold(&f, bears);
	for (uint32_t step = 0; step < 2000; step++) {
		int i = draw(rand, 0, INSTANCES);

		f.now += (uint64_t)draw(rand, 1, 12);
		if (draw(rand, 0, 100) == 0) {
			f.alive[i] = !f.alive[i];
			for (int k = 0; k < INSTANCES; k++)
				vine.add(k, i, f.alive[i],
					 f.now + (uint64_t)draw(rand, 0, 1500));
		}
		vine.deliver(&f);
		if (f.alive[i])
			open_one(&f, i, CALLER + step, placed);
	}
	g_rand_free(rand);
	check_cold(placed, bears);
}

/*
 * A cut: all sides live on, and each believes the others dead after a while.
 * With two sides the bound holds even after they have forgotten each other.
 */
static void cold_limit_holds_in_a_cut()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	const double bears = draw(rand, 0, 40);
	std::vector<uint64_t> placed[2];
	struct grapevine vine;
	struct fleet f;
	bool forgotten = draw(rand, 0, 2) != 0;
	int side[INSTANCES];

	for (int i = 0; i < INSTANCES; i++)
		side[i] = draw(rand, 0, forgotten ? 2 : 3);
	make_cold(&f, bears);
	for (int i = 0; i < INSTANCES; i++)
		for (int k = 0; k < INSTANCES; k++)
			if (side[i] != side[k])
				vine.add(i, k, false,
					 f.now + 2000 +
						 (uint64_t)draw(rand, 0, 1500));
	for (uint32_t step = 0; step < 2000; step++) {
		f.now += (uint64_t)draw(rand, 1, 12);
		vine.deliver(&f);
		/* after a long cut each side has forgotten the other */
		if (forgotten && step == 1000)
			for (int i = 0; i < INSTANCES; i++)
				f.forget_dead(i);
		open_one(&f, draw(rand, 0, INSTANCES), CALLER + step, placed);
	}
	g_rand_free(rand);
	check_cold(placed, bears);
}

/* A flow as its two ends see it. */
struct client_flow {
	uint16_t port;
	int upstream;
	uint32_t seq;
	bool open;
};

/*
 * Packets of open flows, at any instance, go to the upstream that has the
 * flow and are never reset while it lives and its route stands, whatever is
 * doubted, found unreachable or announced; checks are refused only when an
 * upstream is dead.
 */
static void open_flows_keep_their_upstream()
{
	GRand *rand = g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
	std::vector<struct client_flow> flows;
	bool dead[UPSTREAMS] = {};
	struct fleet f;
	GArray *resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));

	f.now = 1000;
	for (int u = 0; u < UPSTREAMS; u++)
		f.put(u, 0);
	for (int step = 0; step < 400; step++) {
		int i = draw(rand, 0, INSTANCES);
		int u = draw(rand, 0, UPSTREAMS);
		struct bed_instance *in = &f.at[i];

		f.now += (uint64_t)draw(rand, 1, 80);
		switch (draw(rand, 0, 8)) {
		case 0: {
			uint16_t port = (uint16_t)(1000 + flows.size());
			struct cookie_packet p =
				bed_packet(CALLER, port, TCP_SYN, 0);
			struct cookie_decision d =
				steer_cookie(in->steering, &p, false, f.now);

			if (d.verdict != COOKIE_TO_UPSTREAM)
				break;
			for (int k = 0; k < UPSTREAMS; k++)
				if (f.nr[i][k] == d.upstream && !dead[k])
					flows.push_back(
						{ port, k, 1001, true });
			break;
		}
		case 1:
			note_upstream_silent(in->placing, f.nr[i][u],
					     f.now - 200, f.now);
			break;
		case 2:
			note_check(in->placing, f.nr[i][u],
				   dead[u] ? CHECK_REFUSED : CHECK_SILENT,
				   f.now);
			if (placing_health(in->placing, f.nr[i][u]) ==
			    HEALTH_DEAD)
				end_flows_of(in->steering, f.nr[i][u], f.now,
					     resets);
			break;
		case 3: {
			struct upstream_report r = f.report(u);

			r.draining = draw(rand, 0, 2) != 0;
			bed_put(in, &r, f.now);
			break;
		}
		case 4:
			if (draw(rand, 0, 10) == 0)
				dead[u] = true;
			else
				set_catalog_domain_out(
					in->catalog, u % 2 ? "a" : "b",
					draw(rand, 0, 2) != 0, 0, f.now);
			break;
		default:
			if (flows.empty())
				break;
			struct client_flow &fl =
				flows[draw(rand, 0, flows.size())];
			struct cookie_packet p = bed_packet(
				CALLER, fl.port, TCP_ACK,
				make_cookie(f.report(fl.upstream).id));

			if (dead[fl.upstream])
				break;
			p.seq = fl.seq;
			p.payload = (uint16_t)draw(rand, 0, 100);
			p.ack = 500 + fl.seq;
			if (draw(rand, 0, 2) != 0)
				fl.seq += p.payload; /* else sent again */
			struct cookie_decision d =
				steer_cookie(in->steering, &p, false, f.now);
			RC_ASSERT(d.verdict == COOKIE_TO_UPSTREAM);
			RC_ASSERT(d.upstream == f.nr[i][fl.upstream]);
		}
		tick_cookie(in->steering, f.now);
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

int main()
{
	bool ok = true;

	ok &= rc::check("cold limits hold while members die",
			cold_limit_holds_while_members_die);
	ok &= rc::check("cold limits hold on all sides of a cut",
			cold_limit_holds_in_a_cut);
	ok &= rc::check("open flows keep their upstream and are not reset",
			open_flows_keep_their_upstream);
	return !ok;
}
