/*
 * Tests of links between failure domains. They simulate one instance of domain
 * "north", its upstreams and callers, and guard against flows that are reset,
 * and callers that are refused, because a link is cut.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "flow/isolation.h"
#include "t/cookie-harness.h"

#define STEP_MS 10
#define START_MS 1000
#define ROUND_TRIP_MS 10
#define SYN_INTERVAL_MS 20
#define BUSY_FLOW_SHARE 10 /* one flow in so many sends more than one request */
#define REQUEST_INTERVAL_MS 50
#define UPSTREAMS_MAX 40
#define FLOWS_MAX 2000
#define CHECK_CONNECT_MS 350
#define LAST_COPY 2 /* of a SYN */
#define FIRST_COPY_MS 200
#define LAST_COPY_MS 600

enum path_state { PATH_OPEN, PATH_REFUSING, PATH_SILENT };

/* What lies between the instance and one failure domain, its own or another. */
struct path {
	const char *domain;
	size_t members;	       /* instances there, without this one */
	uint64_t interval_ms;  /* between two heartbeats of one of them */
	enum path_state there; /* for what this instance sends */
	enum path_state back;  /* for what is sent to this instance */
	bool members_dead;
};

struct test_upstream {
	struct path *path;
	upstream_index_t nr;
	bool dead;
	bool dark; /* without power: nothing is answered, nor refused */
	uint64_t refused_ms; /* first refused check; 0: none */
	uint64_t found_dead_ms;
};

struct test_flow {
	upstream_index_t upstream; /* CATALOG_NONE: not opened yet */
	uint32_t cookie;
	uint32_t seq;
	uint32_t ack;
	uint64_t opened_ms; /* 0: the SYN was not answered */
	uint64_t syn_ms;    /* when the first SYN was sent */
	bool answered;	    /* the last request */
	bool idle;	    /* the caller sends nothing */
	bool ended;
};

struct running_check {
	upstream_index_t nr;
	uint64_t started_ms;
};

static struct cookie_instance in;
static struct isolation is;
static uint64_t now_ms;
static struct domain_links *links;
static struct path paths[3];
static struct test_upstream upstreams[UPSTREAMS_MAX];
static size_t upstream_nr;
static struct test_flow flows[FLOWS_MAX];
static size_t flow_nr;
static GArray *running; /* struct running_check */
static GArray *changes;
static uint64_t isolated_ms; /* when isolation began first; 0: never */
static unsigned int dead_nr;
static unsigned int reset_nr;
static unsigned int refused_nr;
static unsigned int last_copies_refused;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	memset(&is, 0, sizeof(is));
	memset(paths, 0, sizeof(paths));
	memset(flows, 0, sizeof(flows));
	memset(upstreams, 0, sizeof(upstreams));
	running = g_array_new(FALSE, FALSE, sizeof(struct running_check));
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	now_ms = START_MS;
	isolated_ms = 0;
	links = create_domain_links(intern_domain(in.catalog, "north"));
	set_placer_links(in.placer, links);
	upstream_nr = flow_nr = 0;
	dead_nr = reset_nr = refused_nr = last_copies_refused = 0;
}

static void teardown(void)
{
	g_array_free(running, TRUE);
	g_array_free(changes, TRUE);
	release_cookie_instance(&in);
	destroy_domain_links(links);
}

/* A site of three domains with MEMBERS instances and UPS upstreams each. */
static void make_site(size_t members, uint64_t interval_ms, size_t ups)
{
	static const char *const names[] = { "north", "south", "east" };

	for (size_t d = 0; d < G_N_ELEMENTS(paths); d++) {
		paths[d].domain = names[d];
		paths[d].members = d ? members : members - 1;
		paths[d].interval_ms = interval_ms;
		for (size_t i = 0; i < ups; i++) {
			char *name = g_strdup_printf("%s-%zu", names[d], i);
			struct upstream_report r =
				make_upstream_report(name, names[d]);

			upstreams[upstream_nr].path = &paths[d];
			upstreams[upstream_nr++].nr =
				put_test_upstream(&in, &r, now_ms);
			g_free(name);
		}
	}
	update_quotas(in.quotas, now_ms);
}

static struct test_upstream *find_test_upstream(upstream_index_t nr)
{
	for (size_t i = 0; i < upstream_nr; i++)
		if (upstreams[i].nr == nr)
			return &upstreams[i];
	ck_abort_msg("no upstream has index %u", nr);
	return NULL;
}

static struct path *path_of(upstream_index_t nr)
{
	return find_test_upstream(nr)->path;
}

static domain_index_t domain_of(const struct path *p)
{
	return intern_domain(in.catalog, p->domain);
}

/* The first NR upstreams of P are gone; their machines refuse connections. */
static void kill_upstreams(const struct path *p, size_t nr)
{
	for (size_t i = 0; i < upstream_nr; i++) {
		if (upstreams[i].path != p || !nr)
			continue;
		upstreams[i].dead = true;
		nr--;
	}
}

/* Open flows to upstreams of P. */
static size_t path_flow_count(const struct path *p)
{
	size_t n = 0;

	for (size_t i = 0; i < flow_nr; i++)
		n += flows[i].opened_ms && path_of(flows[i].upstream) == p;
	return n;
}

static bool is_path_cut(const struct path *p)
{
	return p->there != PATH_OPEN || p->back != PATH_OPEN;
}

static void cut_path(struct path *p, enum path_state how)
{
	p->there = p->back = how;
}

/* Heartbeats of the members of P that arrive in this step. */
static void receive_heartbeats(struct path *p)
{
	for (size_t i = 0; i < p->members; i++) {
		uint64_t phase = i * p->interval_ms / p->members;

		if (p->back != PATH_OPEN || p->members_dead ||
		    (now_ms + phase) % p->interval_ms >= STEP_MS)
			continue;
		note_domain_heard(links, domain_of(p), now_ms,
				  p->interval_ms / p->members);
	}
}

static void end_flows_of(upstream_index_t nr)
{
	GArray *resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));

	end_upstream_flows(in.steering, nr, now_ms, resets);
	reset_nr += resets->len;
	g_array_free(resets, TRUE);
}

/* The outcome of C as the network is now; CHECK_RESULT_NR: none yet. */
static enum check_result check_outcome(const struct running_check *c)
{
	const struct path *p = path_of(c->nr);

	if (p->there == PATH_SILENT || p->back == PATH_SILENT ||
	    find_test_upstream(c->nr)->dark)
		return now_ms - c->started_ms >= CHECK_CONNECT_MS
			       ? CHECK_UNREACHABLE
			       : CHECK_RESULT_NR;
	if (is_path_cut(p) || find_test_upstream(c->nr)->dead)
		return CHECK_REFUSED;
	return CHECK_GOOD;
}

static void run_checks(void)
{
	GArray *due = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	tick_placer(in.placer, now_ms, due);
	for (guint i = 0; i < due->len; i++) {
		struct running_check c = {
			g_array_index(due, upstream_index_t, i), now_ms
		};

		g_array_append_val(running, c);
	}
	g_array_free(due, TRUE);
	for (guint i = running->len; i > 0; i--) {
		struct running_check c =
			g_array_index(running, struct running_check, i - 1);
		enum check_result result = check_outcome(&c);

		if (c.started_ms == now_ms || result == CHECK_RESULT_NR)
			continue;
		if (result == CHECK_REFUSED &&
		    !find_test_upstream(c.nr)->refused_ms)
			find_test_upstream(c.nr)->refused_ms = now_ms;
		note_check_result(in.placer, c.nr, result, now_ms);
		g_array_remove_index_fast(running, i - 1);
	}
	g_array_set_size(changes, 0);
	pop_health_changes(in.placer, changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct health_change *ch =
			&g_array_index(changes, struct health_change, i);

		if (ch->to != HEALTH_DEAD && ch->to != HEALTH_UNREACHABLE)
			continue;
		dead_nr++;
		find_test_upstream(ch->upstream)->found_dead_ms = now_ms;
		end_flows_of(ch->upstream);
	}
}

static struct cookie_decision send_packet(size_t flow, uint8_t flags,
					  uint32_t copy, uint16_t len)
{
	struct test_flow *f = &flows[flow];
	struct cookie_packet p =
		make_cookie_packet((uint32_t)(0x0a000000 + flow),
				   (uint16_t)(2000 + flow), flags, f->cookie);

	p.seq = f->seq;
	p.ack = flags & TCP_SYN ? copy : f->ack;
	p.payload_len = len;
	return steer_cookie_packet(in.steering, &p, false, now_ms);
}

/* Whether the upstream of F answers what is sent now. */
static bool is_answered(const struct test_flow *f)
{
	const struct test_upstream *u = find_test_upstream(f->upstream);

	return u->path->there == PATH_OPEN && !u->dead && !u->dark;
}

static void send_syn(size_t flow, uint32_t copy)
{
	struct test_flow *f = &flows[flow];
	struct cookie_decision d = send_packet(flow, TCP_SYN, copy, 0);

	if (d.verdict == COOKIE_RESET) {
		if (copy < LAST_COPY)
			refused_nr++;
		else
			last_copies_refused++;
		f->ended = true;
	}
	if (d.verdict != COOKIE_TO_UPSTREAM)
		return;
	f->upstream = d.upstream;
	f->cookie = 0;
	if (is_answered(f))
		f->opened_ms = now_ms;
}

static void open_test_flow(void)
{
	ck_assert_uint_lt(flow_nr, FLOWS_MAX);
	flows[flow_nr].upstream = CATALOG_NONE;
	flows[flow_nr].seq = 1000;
	flows[flow_nr].ack = 500;
	flows[flow_nr].syn_ms = now_ms;
	send_syn(flow_nr++, 0);
}

/* The caller of an open flow acknowledges an answer and sends a request. */
static void step_open_flow(size_t flow)
{
	struct test_flow *f = &flows[flow];
	struct cookie_decision d;

	if (now_ms == f->opened_ms + ROUND_TRIP_MS) {
		f->cookie = get_upstream(in.catalog, f->upstream)->cookie;
		f->seq = 1001;
	} else if (f->idle || (now_ms - f->opened_ms) % REQUEST_INTERVAL_MS) {
		return;
	} else if (f->answered) {
		f->ack += 100;
		f->idle = flow % BUSY_FLOW_SHARE;
	}
	d = send_packet(flow, TCP_ACK, 0, f->idle ? 0 : 100);
	if (d.verdict != COOKIE_TO_UPSTREAM) {
		reset_nr += d.verdict == COOKIE_RESET;
		f->ended = true;
		return;
	}
	f->answered = is_answered(f);
	if (f->answered && !f->idle)
		f->seq += 100;
}

static void step_flows(void)
{
	for (size_t i = 0; i < flow_nr; i++) {
		if (flows[i].ended)
			continue;
		if (flows[i].opened_ms)
			step_open_flow(i);
		else if (now_ms == flows[i].syn_ms + FIRST_COPY_MS)
			send_syn(i, 1);
		else if (now_ms == flows[i].syn_ms + LAST_COPY_MS)
			send_syn(i, LAST_COPY);
	}
}

static void update_own_isolation(void)
{
	update_isolation(&is, links, in.placer, now_ms);
	set_cookie_isolated(in.steering, is.isolated);
	if (is.isolated && !isolated_ms)
		isolated_ms = now_ms;
}

/* Callers open a flow every SYN_INTERVAL_MS if WITH_CALLERS. */
static void run_until(uint64_t end_ms, bool with_callers)
{
	for (; now_ms < end_ms; now_ms += STEP_MS) {
		for (size_t d = 0; d < G_N_ELEMENTS(paths); d++)
			receive_heartbeats(&paths[d]);
		step_flows();
		if (with_callers && now_ms % SYN_INTERVAL_MS == 0)
			open_test_flow();
		tick_cookie_steering(in.steering, now_ms);
		run_checks();
		update_own_isolation();
	}
}

/* The instances of a large site send one in six heartbeats to other domains. */
static void make_large_site(void)
{
	make_site(20, 1380, 10);
}

static void cut_other_domains(enum path_state how)
{
	cut_path(&paths[1], how);
	cut_path(&paths[2], how);
}

static void take_own_domain_out(void)
{
	set_catalog_domain_out(in.catalog, "north", true, 0, now_ms);
}

static size_t open_flow_count(void)
{
	size_t n = 0;

	for (size_t i = 0; i < flow_nr; i++)
		n += flows[i].opened_ms && !flows[i].ended;
	return n;
}

/* The own domain is out of service and cut off from the others. */
static void check_evacuated_domain(enum path_state how, uint64_t limit_ms)
{
	take_own_domain_out();
	run_until(3000, true);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
	cut_other_domains(how);
	run_until(6000, true);
	ck_assert_uint_gt(isolated_ms, 3000);
	ck_assert_uint_le(isolated_ms, 3000 + limit_ms);
	ck_assert(is.isolated);
	ck_assert_uint_eq(dead_nr, 0);
	ck_assert_uint_eq(reset_nr, 0);
	ck_assert_uint_eq(refused_nr, 0);
	ck_assert_uint_gt(last_copies_refused, 0);
	ck_assert_uint_gt(in.counters.value[COUNT_FLOW_DROPPED_ISOLATED], 100);
}

START_TEST(evacuated_domain_is_isolated_by_resets)
{
	make_large_site();
	check_evacuated_domain(PATH_REFUSING, 600);
}
END_TEST

START_TEST(evacuated_domain_is_isolated_by_packet_loss)
{
	make_large_site();
	check_evacuated_domain(PATH_SILENT, 600);
}
END_TEST

/* Sites of one, two and three instances in each domain. */
START_TEST(small_domains_are_isolated)
{
	make_site((size_t)_i + 1, 150, 4);
	check_evacuated_domain(PATH_REFUSING, DOMAIN_LINK_SILENCE_MAX_MS + 100);
}
END_TEST

START_TEST(small_domains_are_isolated_by_packet_loss)
{
	make_site((size_t)_i + 1, 150, 4);
	check_evacuated_domain(PATH_SILENT, DOMAIN_LINK_SILENCE_MAX_MS + 100);
}
END_TEST

/* The flows of a cut domain go on, and its upstreams are used at once. */
static void check_return(enum path_state how, uint64_t cut_ms)
{
	size_t open_flows;

	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	open_flows = open_flow_count();
	cut_other_domains(how);
	run_until(3000 + cut_ms, false);
	cut_other_domains(PATH_OPEN);
	run_until(now_ms + 200, false);
	ck_assert(!is.isolated);
	/* those behind a link that was lost are good at once */
	for (size_t i = 0; i < upstream_nr && cut_ms >= 600; i++)
		ck_assert_int_eq(assessed_health(in.placer, upstreams[i].nr),
				 HEALTH_GOOD);
	run_until(now_ms + 1000, true);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
	ck_assert_uint_ge(open_flow_count(), open_flows + 45);
}

START_TEST(upstreams_are_used_when_link_returns)
{
	/* shorter than detection, around it, and much longer */
	static const uint64_t cut_ms[] = { 100, 300, 420, 600, 3000, 20000 };

	check_return(_i % 2 ? PATH_REFUSING : PATH_SILENT, cut_ms[_i / 2]);
}
END_TEST

/* Cuts and returns of both links in any order kill and reset nothing. */
START_TEST(random_cuts_reset_no_flow)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);

	if (_i % 2)
		make_large_site();
	else
		make_site((size_t)_i / 2 % 3 + 1, 150, 4);
	take_own_domain_out();
	run_until(3000, true);
	for (size_t i = 0; i < 12; i++) {
		struct path *p = &paths[g_rand_int_range(rand, 1, 3)];

		cut_path(p, (enum path_state)g_rand_int_range(rand, 0, 3));
		run_until(now_ms + (uint64_t)g_rand_int_range(rand, 5, 120) *
					   STEP_MS,
			  true);
		ck_assert_uint_eq(dead_nr + reset_nr, 0);
	}
	cut_other_domains(PATH_OPEN);
	run_until(now_ms + 1500, true);
	ck_assert(!is.isolated);
	ck_assert_uint_eq(dead_nr + reset_nr, 0);
	for (size_t i = 0; i < upstream_nr; i++)
		ck_assert_int_eq(assessed_health(in.placer, upstreams[i].nr),
				 HEALTH_GOOD);
	g_rand_free(rand);
}
END_TEST

/* One domain stays reached: it serves, and the instance is not isolated. */
START_TEST(flows_go_to_the_domain_that_is_reached)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	cut_path(&paths[1], _i ? PATH_REFUSING : PATH_SILENT);
	run_until(3600, true);
	ck_assert_int_eq(domain_link_state(links, domain_of(&paths[1])),
			 LINK_LOST);
	ck_assert_int_eq(domain_link_state(links, domain_of(&paths[2])),
			 LINK_UP);
	for (size_t i = 0; i < upstream_nr; i++)
		ck_assert_int_eq(reached_health(in.placer, upstreams[i].nr) ==
					 HEALTH_UNREACHABLE,
				 upstreams[i].path == &paths[1]);
	for (size_t first = flow_nr; now_ms < 6000;) {
		run_until(now_ms + SYN_INTERVAL_MS, true);
		ck_assert_ptr_eq(path_of(flows[flow_nr - 1].upstream),
				 &paths[2]);
		ck_assert_uint_ge(flow_nr, first);
	}
	ck_assert_uint_eq(isolated_ms, 0);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
}
END_TEST

/* Nobody there sends heartbeats, but the flows to upstreams there go on. */
START_TEST(loss_of_all_instances_of_a_domain_is_no_cut)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	paths[1].members_dead = true;
	run_until(8000, true);
	ck_assert_int_ne(domain_link_state(links, domain_of(&paths[1])),
			 LINK_LOST);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
	ck_assert_uint_gt(path_flow_count(&paths[1]), flow_nr / 3);
	/* a real crash there is still found */
	kill_upstreams(&paths[1], 1);
	run_until(9000, true);
	ck_assert_uint_eq(dead_nr, 1);
	ck_assert_int_ne(domain_link_state(links, domain_of(&paths[1])),
			 LINK_LOST);
}
END_TEST

/* With little traffic one dead upstream must not cost the whole domain. */
START_TEST(quiet_domain_without_instances_is_not_lost)
{
	size_t flows_before;

	make_large_site();
	take_own_domain_out();
	run_until(1400, true);
	flows_before = flow_nr;
	for (size_t i = 0; i < flow_nr; i++)
		flows[i].idle = true;
	paths[1].members_dead = true;
	kill_upstreams(&paths[1], 1);
	run_until(5000, false);
	for (size_t i = 0; i < flows_before; i++) {
		flows[i].idle = !find_test_upstream(flows[i].upstream)->dead;
		flows[i].answered = false;
	}
	run_until(7000, false);
	ck_assert_uint_eq(dead_nr, 1);
	ck_assert_int_ne(domain_link_state(links, domain_of(&paths[1])),
			 LINK_LOST);
}
END_TEST

/* The one live upstream of a domain without instances is found again. */
START_TEST(live_upstream_among_dead_ones_is_found)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	paths[1].members_dead = true;
	kill_upstreams(&paths[1], 9);
	for (size_t i = 0; i < flow_nr; i++)
		flows[i].idle = !find_test_upstream(flows[i].upstream)->dead;
	run_until(12000, false);
	ck_assert_int_ne(domain_link_state(links, domain_of(&paths[1])),
			 LINK_LOST);
	for (size_t i = 0; i < upstream_nr; i++)
		ck_assert(upstreams[i].dead ||
			  assessed_health(in.placer, upstreams[i].nr) ==
				  HEALTH_GOOD);
}
END_TEST

/*
 * Half of a domain's upstreams crash while its instances are heard. Without
 * links the first refused check is the verdict. Besides the control check and
 * the confirming one, which take a step and a tick each, only the interval
 * between control checks may delay it.
 */
START_TEST(crash_is_found_as_fast_as_without_links)
{
	uint64_t start_ms = 3000 + 170 * (uint64_t)_i;

	make_large_site();
	take_own_domain_out();
	run_until(start_ms, true);
	kill_upstreams(&paths[1], 5);
	run_until(start_ms + 5000, true);
	ck_assert_uint_eq(dead_nr, 5);
	for (size_t i = 0; i < upstream_nr; i++) {
		const struct test_upstream *u = &upstreams[i];

		if (!u->dead)
			continue;
		ck_assert_uint_gt(u->refused_ms, 0);
		ck_assert_uint_le(u->found_dead_ms,
				  u->refused_ms + 6 * STEP_MS);
	}
}
END_TEST

/* All upstreams of a domain crash at once; its instances are heard. */
START_TEST(crash_of_all_upstreams_is_found)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	kill_upstreams(&paths[1], 10);
	run_until(4000, true);
	ck_assert_uint_eq(dead_nr, 10);
	ck_assert_int_eq(domain_link_state(links, domain_of(&paths[1])),
			 LINK_UP);
}
END_TEST

/* Heartbeats do not arrive, but what is sent there does. */
START_TEST(cut_of_the_way_back_resets_no_flow)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	paths[1].back = _i ? PATH_REFUSING : PATH_SILENT;
	run_until(6000, true);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
	ck_assert_int_eq(domain_link_state(links, domain_of(&paths[1])),
			 LINK_DOUBTFUL);
}
END_TEST

/*
 * Heartbeats arrive, but what is sent there does not. Nothing tells this from a
 * crash of all upstreams there; they are used again once a check is answered.
 */
START_TEST(cut_of_the_way_there_looks_like_a_crash)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	paths[1].there = PATH_REFUSING;
	run_until(5000, true);
	ck_assert_uint_eq(dead_nr, 10);
	ck_assert_int_eq(domain_link_state(links, domain_of(&paths[1])),
			 LINK_UP);
	paths[1].there = PATH_OPEN;
	run_until(5000 + PLACEMENT_DEAD_RECHECK_MS + 100, true);
	for (size_t i = 0; i < upstream_nr; i++)
		ck_assert_int_eq(assessed_health(in.placer, upstreams[i].nr),
				 HEALTH_GOOD);
}
END_TEST

/* The instances of P and its upstreams, but for SPARED, lose power. */
static void power_off(struct path *p, const struct test_upstream *spared)
{
	p->members_dead = true;
	for (size_t i = 0; i < upstream_nr; i++)
		upstreams[i].dark =
			upstreams[i].path == p && &upstreams[i] != spared;
}

/* Data of a flow of upstream NR that another instance forwarded before. */
static enum cookie_verdict send_moved_data(upstream_index_t nr)
{
	struct cookie_packet p =
		make_cookie_packet(0x0b000000 + nr, 3000, TCP_ACK,
				   get_upstream(in.catalog, nr)->cookie);

	p.seq = 5000;
	p.ack = 700;
	p.payload_len = 100;
	return steer_cookie_packet(in.steering, &p, false, now_ms).verdict;
}

/*
 * A domain loses power while nothing is sent there. Routers move its callers'
 * flows to this instance later: those whose request may be repeated are to be
 * told at once then.
 */
START_TEST(upstreams_of_dark_domain_are_known_before_flows_move)
{
	make_large_site();
	set_test_route_repeatable(in.catalog, 2, true);
	run_until(3000, false);
	power_off(&paths[1], NULL);
	run_until(4000, false);
	for (size_t i = 0; i < upstream_nr; i++)
		ck_assert_int_eq(send_moved_data(upstreams[i].nr),
				 upstreams[i].path == &paths[1]
					 ? COOKIE_RESET
					 : COOKIE_TO_UPSTREAM);
}
END_TEST

/*
 * Flows of dark upstreams move here and prove that the link is lost, before one
 * of an upstream that still runs does.
 */
START_TEST(first_moved_flow_of_live_upstream_is_kept)
{
	struct test_upstream *survivor = &upstreams[19];

	make_large_site();
	ck_assert_ptr_eq(survivor->path, &paths[1]);
	set_test_route_repeatable(in.catalog, 2, true);
	run_until(3000, false);
	power_off(&paths[1], survivor);
	run_until(3900, false);
	for (size_t i = 11; i < 19; i++)
		send_moved_data(upstreams[i].nr);
	while (now_ms < 6000 &&
	       !is_domain_link_cut(links, domain_of(&paths[1]), now_ms))
		run_until(now_ms + STEP_MS, false);
	ck_assert(is_domain_link_cut(links, domain_of(&paths[1]), now_ms));
	ck_assert_int_eq(send_moved_data(survivor->nr), COOKIE_TO_UPSTREAM);
}
END_TEST

/*
 * One upstream of a dark domain still runs. While others' checks fail, its link
 * is found lost again and again; none of its flows may be reset.
 */
START_TEST(upstream_that_outlives_its_domain_keeps_its_flows)
{
	upstream_index_t survivor;

	make_large_site();
	set_test_route_repeatable(in.catalog, 2, true);
	take_own_domain_out();
	run_until(3000, true);
	ck_assert_ptr_eq(upstreams[10].path, &paths[1]);
	survivor = upstreams[10].nr;
	power_off(&paths[1], &upstreams[10]);
	for (; now_ms < 8000;) {
		run_until(now_ms + 50, true);
		ck_assert_int_eq(send_moved_data(survivor), COOKIE_TO_UPSTREAM);
	}
	for (size_t i = 0; i < flow_nr; i++)
		ck_assert(flows[i].upstream != survivor || !flows[i].ended);
	for (size_t i = 0; i < upstream_nr; i++)
		if (upstreams[i].dark)
			ck_assert_int_eq(send_moved_data(upstreams[i].nr),
					 COOKIE_RESET);
}
END_TEST

static struct health_notice make_link_check(upstream_index_t nr,
					    const char *domain)
{
	const struct catalog_upstream *up = get_upstream(in.catalog, nr);
	struct health_notice n = { .kind = NOTICE_LINK_CHECK,
				   .sender = "front-2",
				   .cookie = up->cookie,
				   .upstream_id = up->report.id,
				   .health = HEALTH_UNREACHABLE,
				   .silent_ms = HEALTH_NEVER_MS,
				   .check_ms = CHECK_CONNECT_MS };

	g_strlcpy(n.domain, domain, sizeof(n.domain));
	return n;
}

/* What a member of this domain found counts; other domains have own links. */
START_TEST(failed_checks_are_shared_in_the_domain)
{
	struct health_notices *hn = create_health_notices(in.view);
	const char *sender = _i ? "east" : "north";

	make_large_site();
	set_test_route_repeatable(in.catalog, 2, true);
	set_placer_notices(in.placer, hn);
	run_until(3000, false);
	paths[1].members_dead = true;
	for (; now_ms < 3000 + DOMAIN_LINK_SILENCE_MAX_MS; now_ms += STEP_MS) {
		receive_heartbeats(&paths[0]);
		tick_health_notices(hn, now_ms);
		update_domain_links(links, now_ms);
	}
	for (size_t i = 0; i < upstream_nr; i++) {
		struct health_notice n;

		if (upstreams[i].path != &paths[1])
			continue;
		n = make_link_check(upstreams[i].nr, sender);
		handle_health_notice(in.placer, &n, now_ms);
	}
	update_domain_links(links, now_ms);
	ck_assert_int_eq(send_moved_data(upstreams[10].nr),
			 _i ? COOKIE_TO_UPSTREAM : COOKIE_RESET);
	set_placer_notices(in.placer, NULL);
	destroy_health_notices(hn);
}
END_TEST

/* This instance hears nobody, of its own domain either. */
START_TEST(instance_that_is_cut_off_alone_is_isolated)
{
	make_large_site();
	run_until(3000, true);
	cut_path(&paths[0], PATH_REFUSING);
	cut_other_domains(PATH_REFUSING);
	run_until(6000, true);
	ck_assert(is.isolated);
	for (size_t i = 0; i < upstream_nr; i++)
		if (upstreams[i].path != &paths[0])
			ck_assert_int_ne(
				assessed_health(in.placer, upstreams[i].nr),
				HEALTH_DEAD);
}
END_TEST

/* Missing heartbeats alone, also of the own domain, change nothing. */
START_TEST(missing_heartbeats_alone_lose_no_link)
{
	make_large_site();
	run_until(3000, true);
	for (size_t d = 0; d < G_N_ELEMENTS(paths); d++)
		paths[d].members_dead = true;
	run_until(6000, true);
	for (size_t d = 1; d < G_N_ELEMENTS(paths); d++)
		ck_assert_int_eq(domain_link_state(links, domain_of(&paths[d])),
				 LINK_DOUBTFUL);
	ck_assert_uint_eq(isolated_ms, 0);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
}
END_TEST

/* What was not heard because the process did not run is no silence. */
START_TEST(pause_of_this_process_is_no_silence)
{
	make_large_site();
	take_own_domain_out();
	run_until(3000, true);
	now_ms += 2000;
	update_domain_links(links, now_ms);
	for (size_t d = 1; d < G_N_ELEMENTS(paths); d++)
		ck_assert_int_eq(domain_link_state(links, domain_of(&paths[d])),
				 LINK_UP);
}
END_TEST

static struct link_change pop_link_change(void)
{
	GArray *got = g_array_new(FALSE, FALSE, sizeof(struct link_change));
	struct link_change ch;

	pop_link_changes(links, got);
	ck_assert_uint_eq(got->len, 1);
	ch = g_array_index(got, struct link_change, 0);
	g_array_free(got, TRUE);
	return ch;
}

START_TEST(link_changes_are_reported)
{
	domain_index_t south = intern_domain(in.catalog, "south");
	struct link_change ch;

	note_domain_heard(links, south, 1000, 100);
	set_domain_upstreams(links, south, 3, 0);
	for (now_ms = 1000; now_ms <= 1600; now_ms += STEP_MS)
		update_domain_links(links, now_ms);
	ch = pop_link_change();
	ck_assert_int_eq(ch.to, LINK_DOUBTFUL);
	ck_assert_uint_eq(ch.silent_ms, 600);
	/* two checks of one upstream are not enough */
	note_domain_failed_check(links, south, 1, true);
	note_domain_failed_check(links, south, 1, true);
	update_domain_links(links, 1610);
	ck_assert_int_eq(domain_link_state(links, south), LINK_DOUBTFUL);
	note_domain_failed_check(links, south, 2, true);
	update_domain_links(links, 1620);
	ch = pop_link_change();
	ck_assert_int_eq(ch.from, LINK_DOUBTFUL);
	ck_assert_int_eq(ch.to, LINK_LOST);
	note_domain_answer(links, south, 1630);
	update_domain_links(links, 1640);
	ch = pop_link_change();
	ck_assert_int_eq(ch.to, LINK_UP);
}
END_TEST

/* Flows that go on outweigh failed checks and suspects. */
START_TEST(link_with_progress_is_not_lost)
{
	domain_index_t south = intern_domain(in.catalog, "south");

	note_domain_heard(links, south, 1000, 100);
	set_domain_upstreams(links, south, 5, DOMAIN_LINK_SUSPECTS);
	for (now_ms = 1000; now_ms < 3000; now_ms += STEP_MS) {
		if (now_ms % 500 == 0)
			note_domain_progress(links, south, now_ms);
		note_domain_failed_check(links, south, 1, true);
		note_domain_failed_check(links, south, 2, true);
		update_domain_links(links, now_ms);
		ck_assert_int_ne(domain_link_state(links, south), LINK_LOST);
	}
	ck_assert_int_eq(domain_link_state(links, south), LINK_DOUBTFUL);
}
END_TEST

/* Suspects count only while the own domain is heard. */
START_TEST(suspects_lose_no_link_if_own_domain_is_silent)
{
	domain_index_t north = intern_domain(in.catalog, "north");
	domain_index_t south = intern_domain(in.catalog, "south");

	note_domain_heard(links, north, 1000, 100);
	note_domain_heard(links, south, 1000, 100);
	set_domain_upstreams(links, south, 5, DOMAIN_LINK_SUSPECTS);
	for (now_ms = 1000; now_ms <= 2000; now_ms += STEP_MS)
		update_domain_links(links, now_ms);
	ck_assert_int_eq(domain_link_state(links, south), LINK_DOUBTFUL);
	note_domain_heard(links, north, 2000, 100);
	update_domain_links(links, 2010);
	ck_assert_int_eq(domain_link_state(links, south), LINK_LOST);
	/* it stays so until there is a sign, even without suspects */
	set_domain_upstreams(links, south, 5, 0);
	update_domain_links(links, 2020);
	ck_assert_int_eq(domain_link_state(links, south), LINK_LOST);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("domain-link");
	TCase *tc = tcase_create("domain-link");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, evacuated_domain_is_isolated_by_resets);
	tcase_add_test(tc, evacuated_domain_is_isolated_by_packet_loss);
	tcase_add_loop_test(tc, small_domains_are_isolated, 0, 3);
	tcase_add_loop_test(tc, small_domains_are_isolated_by_packet_loss, 0,
			    3);
	tcase_add_loop_test(tc, upstreams_are_used_when_link_returns, 0, 12);
	tcase_add_loop_test(tc, random_cuts_reset_no_flow, 0, 30);
	tcase_add_loop_test(tc, flows_go_to_the_domain_that_is_reached, 0, 2);
	tcase_add_test(tc, loss_of_all_instances_of_a_domain_is_no_cut);
	tcase_add_test(tc, quiet_domain_without_instances_is_not_lost);
	tcase_add_test(tc, live_upstream_among_dead_ones_is_found);
	tcase_add_loop_test(tc, crash_is_found_as_fast_as_without_links, 0, 8);
	tcase_add_test(tc, crash_of_all_upstreams_is_found);
	tcase_add_loop_test(tc, cut_of_the_way_back_resets_no_flow, 0, 2);
	tcase_add_test(tc, cut_of_the_way_there_looks_like_a_crash);
	tcase_add_test(tc, instance_that_is_cut_off_alone_is_isolated);
	tcase_add_test(tc,
		       upstreams_of_dark_domain_are_known_before_flows_move);
	tcase_add_test(tc, first_moved_flow_of_live_upstream_is_kept);
	tcase_add_test(tc, upstream_that_outlives_its_domain_keeps_its_flows);
	tcase_add_loop_test(tc, failed_checks_are_shared_in_the_domain, 0, 2);
	tcase_add_test(tc, missing_heartbeats_alone_lose_no_link);
	tcase_add_test(tc, pause_of_this_process_is_no_silence);
	tcase_add_test(tc, link_changes_are_reported);
	tcase_add_test(tc, link_with_progress_is_not_lost);
	tcase_add_test(tc, suspects_lose_no_link_if_own_domain_is_silent);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
