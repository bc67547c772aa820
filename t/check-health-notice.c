/* Tests of health notices: their format, their rules, a simulated fleet. */

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/heartbeat.h"
#include "t/cookie-harness.h"
#include "t/notice-simulation.h"

#define RUNS 6 /* failures simulated for each size of the fleet */

struct spread {
	uint32_t median_ms;
	uint32_t p99_ms;
	double checks;
	double first_checks;
	double notices;
	double remote_notices;
};

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Simulates failures with OPT and prints and returns the times to resets. */
static struct spread measure_failures(struct notice_sim_options opt)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct spread sp = { 0 };

	for (uint32_t run = 0; run < RUNS; run++) {
		struct notice_sim_result r;

		opt.seed = 1 + run;
		simulate_notices(&opt, &r);
		g_array_append_vals(times, r.reset_ms, NOTICE_SIM_CALLERS);
		sp.checks += (double)r.checks / RUNS;
		sp.first_checks += (double)r.first_checks / RUNS;
		sp.notices += (double)r.notices / RUNS;
		sp.remote_notices += (double)r.remote_notices / RUNS;
		ck_assert_uint_eq(r.wrong, 0);
	}
	g_array_sort(times, compare_ms);
	sp.median_ms = g_array_index(times, uint32_t, times->len / 2);
	sp.p99_ms = g_array_index(times, uint32_t, times->len * 99 / 100);
	printf("%s instances=%u fault=%d p10=%u median=%u p90=%u p99=%u ms, "
	       "for each failure: checks=%.1f (%.1f until the last reset) "
	       "notices=%.0f (%.0f to other domains)\n",
	       opt.no_notices ? "heartbeats" : "notices   ", opt.instance_nr,
	       opt.fault, g_array_index(times, uint32_t, times->len / 10),
	       sp.median_ms,
	       g_array_index(times, uint32_t, times->len * 9 / 10), sp.p99_ms,
	       sp.checks, sp.first_checks, sp.notices, sp.remote_notices);
	fflush(stdout);
	g_array_free(times, TRUE);
	return sp;
}

/*
 * Guards against callers that wait for seconds at an upstream that no longer
 * responds, while each instance finds that out on its own.
 */
START_TEST(callers_of_failed_upstream_are_reset_earlier)
{
	static const unsigned int sizes[] = { 62, 295 };
	static const enum notice_sim_fault faults[] = { NOTICE_SIM_SILENT,
							NOTICE_SIM_REFUSED };

	struct notice_sim_options opt = {
		.instance_nr = sizes[_i / 2],
		.fault = faults[_i % 2],
		.flows_per_s = 14,
		.length_ms = 4000,
		.no_notices = true,
	};
	struct spread before = measure_failures(opt);
	struct spread sp;

	opt.no_notices = false;
	sp = measure_failures(opt);
	ck_assert_uint_lt(sp.median_ms, before.median_ms);
	ck_assert_uint_lt(sp.p99_ms, before.p99_ms);
	ck_assert_double_lt(sp.checks, before.checks);
	ck_assert_double_lt(sp.first_checks, before.first_checks);
}
END_TEST

static const struct health_notice sample = { .kind = NOTICE_VERDICT,
					     .sender = "front-1",
					     .domain = "north",
					     .cookie = 7,
					     .upstream_id = 1ULL << 60,
					     .health = HEALTH_DEAD,
					     .silent_ms = HEALTH_NEVER_MS,
					     .check_ms = 300 };

/* Guards against notices that are misread, or taken for heartbeats. */
START_TEST(notice_is_read_as_written_and_strictly)
{
	struct health_notice n = { 0 };
	struct wire_writer w;
	uint8_t data[256];
	size_t len;

	init_wire_writer(&w);
	write_health_notice(&w, &sample);
	len = w.buf.size;
	memcpy(data, w.buf.data, len);
	release_wire_writer(&w);
	ck_assert(has_peer_format(data, len, HEALTH_NOTICE_FORMAT));
	ck_assert(!is_heartbeat(data, len));
	ck_assert(read_health_notice(data, len, &n));
	ck_assert_int_eq(n.kind, sample.kind);
	ck_assert_str_eq(n.sender, sample.sender);
	ck_assert_str_eq(n.domain, sample.domain);
	ck_assert_uint_eq(n.cookie, sample.cookie);
	ck_assert_uint_eq(n.upstream_id, sample.upstream_id);
	ck_assert_int_eq(n.health, sample.health);
	ck_assert_uint_eq(n.silent_ms, sample.silent_ms);
	ck_assert_uint_eq(n.check_ms, sample.check_ms);
	for (size_t cut = 1; cut < len; cut++)
		ck_assert(!read_health_notice(data, cut, &n));
	data[2] = 0x7f; /* an unknown kind */
	ck_assert(!read_health_notice(data, len, &n));
}
END_TEST

static struct cookie_instance in;
static struct health_notices *notices;
static upstream_index_t board_a;

static void setup(void)
{
	struct upstream_report r = make_upstream_report("u-a", "north");

	init_cookie_instance(&in, "front-0", "north");
	set_test_member(&in, "front-1", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-2", "south", MEMBER_ALIVE);
	set_test_member(&in, "front-3", "south", MEMBER_ALIVE);
	notices = create_health_notices(in.view);
	set_placer_notices(in.placer, notices);
	board_a = put_test_upstream(&in, &r, 0);
	note_flow_open(in.placer, board_a);
}

static void teardown(void)
{
	release_cookie_instance(&in);
	destroy_health_notices(notices);
}

/* A verdict HEALTH of an instance of DOMAIN, whose check took CHECK_MS. */
static struct health_notice
make_verdict(const char *domain, enum upstream_health health, uint32_t check_ms)
{
	const struct catalog_upstream *up = get_upstream(in.catalog, board_a);
	struct health_notice n = sample;

	g_strlcpy(n.domain, domain, sizeof(n.domain));
	n.cookie = up->cookie;
	n.upstream_id = up->report.id;
	n.health = health;
	n.check_ms = check_ms;
	return n;
}

static enum upstream_health health_after(const struct health_notice *n,
					 uint64_t now_ms)
{
	handle_health_notice(in.placer, n, now_ms);
	return assessed_health(in.placer, board_a);
}

/* Guards against resets of flows that made progress during the check. */
START_TEST(verdict_is_not_adopted_after_sign_of_life)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 300);

	note_upstream_alive(in.placer, board_a, 1000);
	ck_assert_int_eq(health_after(&n, 1300), HEALTH_GOOD);
	ck_assert_int_eq(health_after(&n, 1301), HEALTH_DEAD);
}
END_TEST

/*
 * Guards against resets due to a link that only the sender's domain has lost:
 * only instances that share the sender's or the upstream's links believe it.
 */
START_TEST(verdict_over_a_link_between_domains_is_not_adopted)
{
	struct health_notice n = make_verdict("south", HEALTH_UNREACHABLE, 300);

	ck_assert_int_eq(health_after(&n, 1000), HEALTH_SUSPECTED);
	n.health = HEALTH_DEAD;
	ck_assert_int_eq(health_after(&n, 1010), HEALTH_SUSPECTED);
	n = make_verdict("north", HEALTH_UNREACHABLE, 300);
	ck_assert_int_eq(health_after(&n, 1020), HEALTH_UNREACHABLE);
}
END_TEST

static bool is_north(const char *domain, void *user)
{
	(void)user;
	return !strcmp(domain, "north");
}

/* Guards against verdicts about upstreams behind a link that is in doubt. */
START_TEST(verdict_behind_doubtful_link_is_neither_sent_nor_adopted)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 300);

	set_notice_link_test(notices, is_north, NULL);
	ck_assert_int_eq(health_after(&n, 1000), HEALTH_GOOD);
	post_health_notice(notices, &n, "north", 1000);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, 0);
	post_health_notice(notices, &n, "south", 1000);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, 1);
	g_array_free(out, TRUE);
}
END_TEST

/* Guards against old notices that a paused process reads late. */
START_TEST(paused_instance_adopts_no_verdict)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 300);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	tick_placer(in.placer, 1000, checks);
	tick_placer(in.placer, 1800, checks);
	ck_assert_int_eq(health_after(&n, 1800), HEALTH_GOOD);
	n.check_ms = 100;
	ck_assert_int_eq(health_after(&n, 1800), HEALTH_SUSPECTED);
	for (uint64_t t = 1810; t < 2000; t += 10)
		tick_placer(in.placer, t, checks);
	ck_assert_int_eq(health_after(&n, 2000), HEALTH_DEAD);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against an upstream that stays avoided after it has recovered. */
START_TEST(adopted_verdict_ends_with_recovery)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 20);
	struct upstream_load_row row = { n.cookie, 0, 1, 20, HEALTH_GOOD };
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	ck_assert_int_eq(health_after(&n, 1000), HEALTH_DEAD);
	n.health = HEALTH_GOOD;
	ck_assert_int_eq(health_after(&n, 1500), HEALTH_GOOD);
	n.health = HEALTH_DEAD;
	ck_assert_int_eq(health_after(&n, 2000), HEALTH_DEAD);
	handle_peer_loads(in.placer, 42, &row, 1, 2500);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_GOOD);
	ck_assert_int_eq(health_after(&n, 3000), HEALTH_DEAD);
	tick_placer(in.placer, 2999 + PLACEMENT_ADOPTED_RECHECK_MS, checks);
	ck_assert_uint_eq(checks->len, 0);
	tick_placer(in.placer, 3000 + PLACEMENT_ADOPTED_RECHECK_MS, checks);
	ck_assert_uint_eq(checks->len, 1);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against floods of notices about one upstream. */
START_TEST(verdict_is_repeated_only_after_a_while)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 20);

	post_health_notice(notices, &n, "north", 1000);
	post_health_notice(notices, &n, "north",
			   1000 + HEALTH_VERDICT_REPEAT_MS - 1);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, 1);
	post_health_notice(notices, &n, "north",
			   1000 + HEALTH_VERDICT_REPEAT_MS);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, 2);
	g_array_free(out, TRUE);
}
END_TEST

/* Guards against traffic between domains that changes nothing there. */
START_TEST(local_verdict_goes_to_assessors_of_other_domains)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct member *));
	struct outgoing_notice on = {
		.notice = make_verdict("north", HEALTH_UNREACHABLE, 20)
	};

	list_notice_receivers(notices, &on, to);
	ck_assert_uint_eq(to->len, 2);
	g_array_set_size(to, 0);
	on.to_all = true;
	list_notice_receivers(notices, &on, to);
	ck_assert_uint_eq(to->len, 3);
	ck_assert(holds_in_all_domains(HEALTH_DEAD, "north", "north"));
	ck_assert(!holds_in_all_domains(HEALTH_DEAD, "north", "south"));
	ck_assert(!holds_in_all_domains(HEALTH_UNREACHABLE, "north", "north"));
	g_array_free(to, TRUE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("health-notice");
	TCase *tc = tcase_create("health-notice");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 240);
	tcase_add_loop_test(tc, callers_of_failed_upstream_are_reset_earlier, 0,
			    4);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, notice_is_read_as_written_and_strictly);
	tcase_add_test(tc, verdict_is_not_adopted_after_sign_of_life);
	tcase_add_test(tc, verdict_over_a_link_between_domains_is_not_adopted);
	tcase_add_test(
		tc, verdict_behind_doubtful_link_is_neither_sent_nor_adopted);
	tcase_add_test(tc, paused_instance_adopts_no_verdict);
	tcase_add_test(tc, adopted_verdict_ends_with_recovery);
	tcase_add_test(tc, verdict_is_repeated_only_after_a_while);
	tcase_add_test(tc, local_verdict_goes_to_assessors_of_other_domains);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
