/*
 * Measures how changes and deaths spread: the transfer to a new instance, the
 * rounds in which a push reaches all instances over the links in use and over
 * alternative link topologies, and the time from a kill until the member is
 * dead in the views.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/internal.h"
#include "t/benchmark.h"
#include "t/fleet-simulation.h"

#define DOMAIN_NR 7
#define TARGET_NR 5300
#define TARGET_SERVICES 18000
#define SEED 20261203
#define PUSH_LINKS (FLEET_LOCAL_PUSH_RINGS + FLEET_CROSS_PUSH_RINGS)
#define KILL_NR 20

/* Prints bytes and time until a new instance has a snapshot of target size. */
static void print_transfer_to_new_instance(void)
{
	struct fleet_simulation_options o = { .seed = SEED,
					      .nr = 8,
					      .domain_nr = 2,
					      .delay_min_ms = 1,
					      .delay_max_ms = 3,
					      .seed_nr = 3 };
	struct fleet_simulation *fs = create_fleet_simulation(&o);
	uint64_t before;
	uint64_t ms = 0;
	double cpu;

	for (size_t i = 0; i < 7; i++)
		start_instance(fs, i);
	run_fleets(fs, 5000);
	set_service_count(fs, TARGET_SERVICES);
	read_epoch_from_store(fs, 0, 1);
	run_fleets(fs, 20000);
	before = sent_byte_count(fs);
	cpu = cpu_seconds();
	start_instance(fs, 7);
	while (!epoch_in_force(fs, 7) && ms < 60000) {
		run_fleets(fs, 100);
		ms += 100;
	}
	printf("join: %d services of two upstreams: %.1f MB in %.1f s, %.0f "
	       "ms of processor time at all peers and the newcomer\n",
	       TARGET_SERVICES, (double)(sent_byte_count(fs) - before) / 1e6,
	       (double)ms / 1000, (cpu_seconds() - cpu) * 1000);
	destroy_fleet_simulation(fs);
}

/* Links of NR instances, DEGREE each; TO has the indices of the linked ones. */
struct graph {
	size_t nr;
	size_t degree;
	uint16_t *to;
};

enum topology {
	TOPOLOGY_RINGS,
	TOPOLOGY_PUSH_RINGS,
	TOPOLOGY_SUCCESSORS,
	TOPOLOGY_FINGERS,
	TOPOLOGY_RANDOM,
	TOPOLOGY_NR
};

static void copy_links(struct graph *g, size_t i, const struct fleet *f,
		       bool push_only)
{
	uint16_t *to = &g->to[i * g->degree];
	size_t n = 0;

	for (size_t l = 0; l < g->degree; l++)
		to[l] = (uint16_t)i;
	for (size_t l = 0; l < f->link_nr; l++) {
		const struct endpoint *at = &f->links[l].address;

		if (!push_only || f->links[l].carries_all_records)
			to[n++] = (uint16_t)(at->ip[2] << 8 | at->ip[3]);
	}
}

static void link_by_rings(struct graph *g, bool push_only)
{
	struct member *members = g_new0(struct member, g->nr);
	struct counters counters = { 0 };
	struct view *view = create_view(simulated_member_id(0));
	struct fleet *f;

	for (size_t i = 0; i < g->nr; i++) {
		members[i] = make_bench_member(i);
		set_view_member(view, &members[i]);
	}
	f = create_fleet(&members[0], view, NULL, 0, SEED, &counters);
	for (size_t i = 0; i < g->nr; i++) {
		f->self = members[i];
		f->link_nr = 0;
		choose_links(f);
		copy_links(g, i, f, push_only);
	}
	destroy_fleet(f);
	destroy_view(view);
	g_free(members);
}

static void link_by_rule(struct graph *g, enum topology topology, GRand *rand)
{
	for (size_t i = 0; i < g->nr; i++)
		for (size_t l = 0; l < g->degree; l++) {
			size_t step = l + 1;

			if (topology == TOPOLOGY_FINGERS)
				step = g->nr >> (l + 1);
			if (topology == TOPOLOGY_RANDOM)
				step = (size_t)g_rand_int_range(rand, 1,
								(gint32)g->nr);
			g->to[i * g->degree + l] =
				(uint16_t)((i + step) % g->nr);
		}
}

/*
 * Counts the rounds of pushes, from instance 0 on, that reach further
 * instances. SHARE gets the fraction of live instances that were reached.
 */
static unsigned int count_push_rounds(const struct graph *g, const bool *dead,
				      double *share)
{
	unsigned int *reached_in = g_new0(unsigned int, g->nr);
	unsigned int round = 1;
	size_t live = 0;
	size_t reached = 1;
	bool more = true;

	reached_in[0] = 1;
	for (size_t i = 0; i < g->nr; i++)
		live += !dead[i];
	while (more) {
		more = false;
		for (size_t i = 0; i < g->nr; i++)
			for (size_t l = 0;
			     reached_in[i] == round && l < g->degree; l++) {
				size_t to = g->to[i * g->degree + l];

				if (reached_in[to] || dead[to])
					continue;
				reached_in[to] = round + 1;
				reached++;
				more = true;
			}
		round += more;
	}
	g_free(reached_in);
	*share = (double)reached / (double)live;
	return round - 1;
}

static void print_topology(size_t nr, enum topology topology, size_t degree,
			   const char *name)
{
	struct graph g = { nr, degree, g_new0(uint16_t, nr * degree) };
	GRand *rand = g_rand_new_with_seed(SEED);
	bool *dead = g_new0(bool, nr);
	unsigned int rounds;
	unsigned int rounds_dead;
	double share;
	double share_dead;

	if (topology == TOPOLOGY_RINGS || topology == TOPOLOGY_PUSH_RINGS)
		link_by_rings(&g, topology == TOPOLOGY_PUSH_RINGS);
	else
		link_by_rule(&g, topology, rand);
	rounds = count_push_rounds(&g, dead, &share);
	for (size_t i = 1; i < nr; i++)
		dead[i] = g_rand_int_range(rand, 0, 10) == 0;
	rounds_dead = count_push_rounds(&g, dead, &share_dead);
	printf("%6zu  %-26s %6zu %7u %8.2f%% %7u %8.2f%%\n", nr, name, degree,
	       rounds, share * 100, rounds_dead, share_dead * 100);
	g_free(dead);
	g_free(g.to);
	g_rand_free(rand);
}

static void print_topologies(void)
{
	static const size_t sizes[] = { 27, 81, 243, 729, TARGET_NR };

	printf("\npushes over fixed links only: rounds, and share reached, "
	       "with "
	       "all live and with a tenth dead but still linked\n");
	printf("%6s  %-26s %6s %7s %9s %7s %9s\n", "nr", "links", "degree",
	       "rounds", "reached", "rounds", "reached");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		size_t nr = sizes[i];

		print_topology(nr, TOPOLOGY_RINGS, FLEET_LINK_MAX,
			       "3 local + 2 cross");
		print_topology(nr, TOPOLOGY_PUSH_RINGS, PUSH_LINKS,
			       "2 local + 1 cross");
		print_topology(nr, TOPOLOGY_SUCCESSORS, FLEET_LINK_MAX,
			       "5 successors on one ring");
		print_topology(nr, TOPOLOGY_RANDOM, FLEET_LINK_MAX,
			       "5 drawn at random");
		print_topology(nr, TOPOLOGY_FINGERS, (size_t)log2((double)nr),
			       "fingers at nr/2, nr/4, ...");
	}
}

static int compare_ms(const void *a, const void *b)
{
	return (*(const int *)a > *(const int *)b) -
	       (*(const int *)a < *(const int *)b);
}

/* Prints rounds: each message takes 1 ms, so a millisecond is a round. */
static void print_spread_rounds(size_t nr)
{
	struct fleet_simulation_options o = { .seed = SEED,
					      .nr = nr,
					      .domain_nr = DOMAIN_NR,
					      .delay_min_ms = 1,
					      .delay_max_ms = 1,
					      .seed_nr = 7 };
	struct fleet_simulation *fs = create_fleet_simulation(&o);
	int *applied_ms = g_new0(int, nr);
	size_t applied = 0;

	for (size_t i = 0; i < nr; i++)
		start_instance(fs, i);
	run_fleets(fs, 10000);
	read_epoch_from_store(fs, 0, 1);
	run_fleets(fs, 10000);
	read_epoch_from_store(fs, nr / 2, 2);
	for (int ms = 0; applied < nr && ms < 10000; ms++) {
		applied = 0;
		for (size_t i = 0; i < nr; i++) {
			applied += epoch_in_force(fs, i) == 2;
			if (epoch_in_force(fs, i) == 2 && !applied_ms[i])
				applied_ms[i] = ms + 1;
		}
		run_fleets(fs, 1);
	}
	qsort(applied_ms, nr, sizeof(*applied_ms), compare_ms);
	printf("%6zu %7d %7d %8.2f%%\n", nr, applied_ms[nr / 2] - 1,
	       applied_ms[nr - 1] - 1, (double)applied / (double)nr * 100);
	g_free(applied_ms);
	destroy_fleet_simulation(fs);
}

/*
 * Kills KILL_NR of NR instances in turn, and prints the ms from each kill until
 * that instance is dead in the first view and in all views.
 */
static void print_death_detection(size_t nr)
{
	struct fleet_simulation_options o = { .seed = SEED,
					      .nr = nr,
					      .domain_nr = 3,
					      .delay_min_ms = 1,
					      .delay_max_ms = 3,
					      .seed_nr = 3 };
	struct fleet_simulation *fs = nr ? create_fleet_simulation(&o) : NULL;
	int first[KILL_NR];
	int all[KILL_NR];

	if (!fs)
		return;
	for (size_t i = 0; i < nr; i++)
		start_instance(fs, i);
	run_fleets(fs, 10000);
	for (size_t k = 0; k < KILL_NR; k++) {
		size_t who = (k * 7 + 4) % nr;
		size_t dead = 0;

		first[k] = -1;
		kill_instance(fs, who);
		for (all[k] = 0; dead < nr - 1; all[k] += 10) {
			run_fleets(fs, 10);
			dead = 0;
			for (size_t i = 0; i < nr; i++)
				dead += i != who &&
					seen_member_state(fs, i, who) ==
						MEMBER_DEAD;
			if (dead && first[k] < 0)
				first[k] = all[k] + 10;
		}
		start_instance(fs, who);
		run_fleets(fs, 10370);
	}
	qsort(first, KILL_NR, sizeof(*first), compare_ms);
	qsort(all, KILL_NR, sizeof(*all), compare_ms);
	printf("%6zu %7d %7d %7d %7d\n", nr, first[KILL_NR / 2],
	       first[KILL_NR - 1], all[KILL_NR / 2], all[KILL_NR - 1]);
	destroy_fleet_simulation(fs);
}

int main(void)
{
	static const size_t sizes[] = { 27, 81, 243, 729 };

	print_transfer_to_new_instance();
	print_topologies();
	printf("\nwhole fleets, a delta pushed, 1 ms a message: rounds\n");
	printf("%6s %7s %7s %9s\n", "nr", "median", "worst", "reached");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		print_spread_rounds(sizes[i]);
	printf("\n%d kills, three domains: ms until one, and all, hold it "
	       "dead\n",
	       KILL_NR);
	printf("%6s %7s %7s %7s %7s\n", "nr", "median", "worst", "median",
	       "worst");
	for (size_t i = 0; i < 3; i++)
		print_death_detection(sizes[i]);
	return 0;
}
