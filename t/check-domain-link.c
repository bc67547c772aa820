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
#define REQUEST_INTERVAL_MS 50
#define UPSTREAMS_MAX 40
#define FLOWS_MAX 600
#define CHECK_CONNECT_MS 350
#define LAST_COPY 2 /* of a SYN */

enum path_state { PATH_OPEN, PATH_REFUSING, PATH_SILENT };

/* What lies between the instance and one failure domain, its own or another. */
struct path {
	const char *domain;
	size_t members;	       /* instances there, without this one */
	uint64_t interval_ms;  /* between two heartbeats of one of them */
	enum path_state there; /* for what this instance sends */
	enum path_state back;  /* for what is sent to this instance */
	size_t upstream_nr;
	bool upstreams_dead;
};

struct test_upstream {
	upstream_index_t nr;
	struct path *path;
};

struct test_flow {
	upstream_index_t upstream; /* CATALOG_NONE: not opened yet */
	uint32_t cookie;
	uint32_t seq;
	uint32_t ack;
	uint64_t opened_ms; /* 0: the SYN was not answered */
	uint64_t sent_ms;   /* when the last request was sent */
	bool answered;
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

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	memset(&is, 0, sizeof(is));
	memset(paths, 0, sizeof(paths));
	memset(flows, 0, sizeof(flows));
	running = g_array_new(FALSE, FALSE, sizeof(struct running_check));
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	now_ms = START_MS;
	isolated_ms = 0;
	links = create_domain_links(intern_domain(in.catalog, "north"));
	set_placer_links(in.placer, links);
	upstream_nr = flow_nr = 0;
	dead_nr = reset_nr = refused_nr = 0;
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
		paths[d].upstream_nr = ups;
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

static struct path *path_of(upstream_index_t nr)
{
	for (size_t i = 0; i < upstream_nr; i++)
		if (upstreams[i].nr == nr)
			return upstreams[i].path;
	return NULL;
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

		if (p->back != PATH_OPEN ||
		    (now_ms + phase) % p->interval_ms >= STEP_MS)
			continue;
		note_domain_heard(links, intern_domain(in.catalog, p->domain),
				  now_ms, p->interval_ms / p->members);
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

	if (p->there == PATH_SILENT || p->back == PATH_SILENT)
		return now_ms - c->started_ms >= CHECK_CONNECT_MS
			       ? CHECK_UNREACHABLE
			       : CHECK_RESULT_NR;
	if (is_path_cut(p) || p->upstreams_dead)
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
	const struct path *p = path_of(f->upstream);

	return p->there == PATH_OPEN && !p->upstreams_dead;
}

static void send_syn(size_t flow, uint32_t copy)
{
	struct test_flow *f = &flows[flow];
	struct cookie_decision d = send_packet(flow, TCP_SYN, copy, 0);

	if (d.verdict == COOKIE_RESET) {
		refused_nr++;
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
	} else if ((now_ms - f->opened_ms) % REQUEST_INTERVAL_MS) {
		return;
	} else if (f->answered) {
		f->ack += 100;
	}
	d = send_packet(flow, TCP_ACK, 0, 100);
	if (d.verdict != COOKIE_TO_UPSTREAM) {
		reset_nr += d.verdict == COOKIE_RESET;
		f->ended = true;
		return;
	}
	f->answered = is_answered(f);
	if (f->answered)
		f->seq += 100;
}

static void step_flows(void)
{
	for (size_t i = 0; i < flow_nr; i++)
		if (!flows[i].ended && flows[i].opened_ms)
			step_open_flow(i);
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

/* The own domain is out of service and cut off from the others. */
static void check_evacuated_domain(enum path_state how)
{
	make_large_site();
	set_catalog_domain_out(in.catalog, "north", true, 0, now_ms);
	run_until(3000, true);
	ck_assert_uint_eq(dead_nr + reset_nr + refused_nr, 0);
	cut_other_domains(how);
	run_until(6000, true);
	printf("isolated after %lld, dead %u, reset %u, refused %u\n",
	       (long long)(isolated_ms - 3000), dead_nr, reset_nr, refused_nr);
	ck_assert_uint_gt(isolated_ms, 3000);
	ck_assert_uint_le(isolated_ms, 3600);
	ck_assert_uint_eq(dead_nr, 0);
	ck_assert_uint_eq(reset_nr, 0);
	ck_assert_uint_eq(refused_nr, 0);
}

START_TEST(evacuated_domain_is_isolated_by_resets)
{
	check_evacuated_domain(PATH_REFUSING);
}
END_TEST

START_TEST(evacuated_domain_is_isolated_by_packet_loss)
{
	check_evacuated_domain(PATH_SILENT);
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
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
