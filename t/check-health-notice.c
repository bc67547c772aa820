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
START_TEST(callers_of_failed_upstream_are_reset_within_a_second)
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
	ck_assert_uint_le(sp.median_ms, 500);
	ck_assert_uint_le(sp.p99_ms, 1000);
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

/* Guards against adopted verdicts that logs cannot tell from own ones. */
START_TEST(adopted_verdict_tells_its_sender_and_check)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 300);
	struct health_evidence he;

	note_upstream_alive(in.placer, board_a, 900);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1300),
			 VERDICT_ADOPTED);
	he = describe_health(in.placer, board_a, 1400);
	ck_assert_int_eq(he.kind, EVIDENCE_ADOPTED);
	ck_assert_int_eq(he.health, HEALTH_DEAD);
	ck_assert_uint_eq(he.peer.member_id, service_id("front-1"));
	ck_assert_uint_eq(he.verdict_age_ms, 100);
	ck_assert_uint_eq(he.check_age_ms, 400);
	ck_assert_uint_eq(he.own_alive_ms, 500);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1400),
			 VERDICT_KNOWN);
}
END_TEST

static bool is_north(const char *domain, void *user);

START_TEST(verdict_that_is_not_adopted_has_a_reason)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 300);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	note_upstream_alive(in.placer, board_a, 1000);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1300),
			 VERDICT_DISPROVED);
	n.check_ms = HEALTH_NOTICE_MAX_AGE_MS + 1;
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1300),
			 VERDICT_STALE);
	n = make_verdict("south", HEALTH_DEAD, 100);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1300),
			 VERDICT_OTHER_DOMAIN);
	n = make_verdict("north", HEALTH_DEAD, 100);
	n.upstream_id++;
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1300),
			 VERDICT_NO_UPSTREAM);
	n = make_verdict("north", HEALTH_DEAD, 100);
	tick_placer(in.placer, 1300, checks);
	tick_placer(in.placer, 1800, checks);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1800),
			 VERDICT_PAUSED);
	set_notice_link_test(notices, is_north, NULL);
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1800),
			 VERDICT_LINK_DOUBTFUL);
	n.health = HEALTH_GOOD;
	ck_assert_int_eq(handle_health_notice(in.placer, &n, 1800),
			 VERDICT_NONE);
	ck_assert_int_eq(describe_health(in.placer, board_a, 1800).kind,
			 EVIDENCE_NONE);
	g_array_free(checks, TRUE);
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
	struct upstream_load_row row = { n.cookie, 0, 1, 20, HEALTH_GOOD, 0 };
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

/* Sends a request, or repeats it, on a flow of the upstream at SEQ. */
static enum cookie_verdict send_request(uint32_t seq, uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(0x64400007, 4000, TCP_ACK,
				   get_upstream(in.catalog, board_a)->cookie);

	p.seq = seq;
	p.ack = 500;
	p.payload_len = 100;
	return steer_cookie_packet(in.steering, &p, false, now_ms).verdict;
}

/* Guards against resets by a verdict whose sender has left and renews nothing. */
START_TEST(adopted_verdict_that_is_not_renewed_resets_no_flow)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 20);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	note_upstream_silent(in.placer, board_a, 900, 950);
	ck_assert_int_eq(health_after(&n, 1000), HEALTH_DEAD);
	if (_i) /* the sender has checked again */
		ck_assert_int_eq(health_after(&n, 5000), HEALTH_DEAD);
	ck_assert_int_eq(send_request(1001, 6500),
			 _i ? COOKIE_RESET : COOKIE_TO_UPSTREAM);
	tick_placer(in.placer, 6510, checks);
	ck_assert_uint_eq(checks->len, !_i);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against resets of flows that progress, if only the sender is cut off. */
START_TEST(verdict_soon_after_sign_of_life_is_checked_first)
{
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 2);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	note_upstream_alive(in.placer, board_a, 1000);
	ck_assert_int_eq(health_after(&n, 1000 + PLACEMENT_QUIET_MS),
			 HEALTH_SUSPECTED);
	tick_placer(in.placer, 1000 + PLACEMENT_QUIET_MS, checks);
	ck_assert_uint_eq(checks->len, 1);
	note_check_result(in.placer, board_a, CHECK_REFUSED,
			  1002 + PLACEMENT_QUIET_MS);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_DEAD);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against verdicts on the start before, at its old address. */
START_TEST(verdict_on_restarted_upstream_is_checked_first)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 20);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	r.started_at_ms = 2;
	put_test_upstream(&in, &r, 1000);
	ck_assert_int_eq(health_after(&n, 7000), HEALTH_SUSPECTED);
	tick_placer(in.placer, 7000 + HEALTH_ASSESSOR_WAIT_MS, checks);
	ck_assert_uint_eq(checks->len, 1);
	note_check_result(in.placer, board_a, CHECK_GOOD, 7700);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_GOOD);
	for (uint64_t t = 7700; t <= 1000 + HEALTH_START_UNKNOWN_MS; t += 10)
		tick_placer(in.placer, t, checks);
	ck_assert_int_eq(health_after(&n, 1001 + HEALTH_START_UNKNOWN_MS),
			 HEALTH_DEAD);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against verdicts that outlast life seen after their check began. */
START_TEST(adopted_verdict_ends_with_life_after_its_check_began)
{
	struct health_notice n = make_verdict("north", HEALTH_UNREACHABLE, 300);
	struct upstream_load_row row = { n.cookie, 0, 1, 310, HEALTH_GOOD, 0 };

	ck_assert_int_eq(health_after(&n, 1300), HEALTH_UNREACHABLE);
	/* a peer's heartbeat was sent before the notice, and arrives later */
	handle_peer_loads(in.placer, 42, &row, 1, 1305);
	ck_assert_int_eq(assessed_health(in.placer, board_a),
			 HEALTH_UNREACHABLE);
	row.silent_ms = 100;
	handle_peer_loads(in.placer, 42, &row, 1, 1305);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_GOOD);
}
END_TEST

/* Guards against verdicts at peers for a check that proved nothing. */
START_TEST(check_that_proves_nothing_posts_no_verdict)
{
	static const enum check_result results[] = { CHECK_REFUSED,
						     CHECK_NOT_MADE,
						     CHECK_UNREACHABLE };
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	note_upstream_silent(in.placer, board_a, 900, 950);
	note_check_result(in.placer, board_a, CHECK_REFUSED, 1000);
	pop_health_notices(notices, out);
	g_array_set_size(out, 0);
	for (uint64_t t = 1000; t <= 4000; t += 10)
		tick_placer(in.placer, t, checks);
	ck_assert_uint_ge(checks->len, 1);
	note_check_result(in.placer, board_a, results[_i], 4010);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_DEAD);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, results[_i] == CHECK_REFUSED);
	g_array_free(checks, TRUE);
	g_array_free(out, TRUE);
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

/* A suspicion of front-NR, whose packet was not answered for CHECK_MS. */
static struct health_notice make_suspicion(int nr, uint32_t check_ms)
{
	struct health_notice n =
		make_verdict("north", HEALTH_SUSPECTED, check_ms);

	n.kind = NOTICE_SUSPICION;
	g_snprintf(n.sender, sizeof(n.sender), "front-%d", nr);
	return n;
}

/* Gives or takes the role of the assessor, by the other member's state. */
static void set_assessor(bool is_assessor)
{
	set_test_member(&in, "front-1", "north",
			is_assessor ? MEMBER_DEAD : MEMBER_ALIVE);
	for (int i = 0; !is_assessor && i < 20; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "north-%d", i);
		set_test_member(&in, name, "north", MEMBER_ALIVE);
	}
	ck_assert(is_upstream_assessor(
			  notices,
			  get_upstream(in.catalog, board_a)->report.id) ==
		  is_assessor);
}

/* The first time from FROM_MS on at which a check of the upstream is due. */
static uint64_t next_check_ms(uint64_t from_ms)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	uint64_t t = from_ms;

	for (; !checks->len && t < from_ms + 3000; t += 10)
		tick_placer(in.placer, t, checks);
	g_array_free(checks, TRUE);
	return t - 10;
}

/* Guards against checks of the same upstream by every instance. */
START_TEST(assessor_checks_first)
{
	set_assessor(_i);
	note_upstream_silent(in.placer, board_a, 975, 1000);
	ck_assert_uint_eq(next_check_ms(1000),
			  1000 + PLACEMENT_CHECK_DELAY_MS +
				  (_i ? 0 : HEALTH_ASSESSOR_WAIT_MS));
}
END_TEST

/* Guards against a delay that suits lost packets when three instances agree. */
START_TEST(three_witnesses_shorten_the_delay)
{
	set_assessor(true);
	for (int i = 0; i < 6; i++) {
		struct health_notice n = make_suspicion(_i ? i : i % 2, 25);

		handle_health_notice(in.placer, &n, 1000);
	}
	ck_assert_uint_eq(next_check_ms(1000),
			  1000 + (_i ? PLACEMENT_SHORT_CHECK_DELAY_MS
				     : PLACEMENT_CHECK_DELAY_MS));
}
END_TEST

/* Guards against checks due to what a later sign of life has disproved. */
START_TEST(suspicion_ends_with_sign_of_life)
{
	struct health_notice old = make_suspicion(2, HEALTH_UNANSWERED_MS);
	struct health_notice n = make_suspicion(1, 25);

	set_assessor(true);
	note_upstream_alive(in.placer, board_a, 990);
	ck_assert_int_eq(health_after(&old, 1000), HEALTH_GOOD);
	ck_assert_uint_eq(
		unanswered_witness_count(notices, n.upstream_id, 1000), 0);
	ck_assert_int_eq(health_after(&n, 1000), HEALTH_GOOD);
	ck_assert_int_eq(health_after(&n, 1100), HEALTH_SUSPECTED);
	n.health = HEALTH_GOOD;
	n.silent_ms = 0;
	ck_assert_int_eq(health_after(&n, 1150), HEALTH_GOOD);
}
END_TEST

/* Health 150 ms after a check began that has no answer yet. */
static enum upstream_health health_during_check(const uint32_t *unanswered_ms,
						int nr, bool others_answer,
						bool connected)
{
	struct upstream_report r = make_upstream_report("u-b", "north");
	upstream_index_t other = put_test_upstream(&in, &r, 0);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	struct health_notice n = make_suspicion(9, 25);
	uint64_t t;

	set_assessor(true);
	handle_health_notice(in.placer, &n, 1000);
	t = next_check_ms(1000);
	if (others_answer)
		note_upstream_answer(in.placer, other, t + 5, t + 10);
	for (int i = 0; i < nr; i++) {
		n = make_suspicion(i, unanswered_ms[i]);
		handle_health_notice(in.placer, &n, t + 20);
	}
	if (connected)
		note_check_connected(in.placer, board_a);
	for (uint64_t end = t + HEALTH_CONFIRMED_CHECK_MS; t <= end; t += 10)
		tick_placer(in.placer, t, checks);
	g_array_free(checks, TRUE);
	return assessed_health(in.placer, board_a);
}

/*
 * Guards against waiting for a second check when others have waited as long,
 * and against verdicts with less than two attempts that others made.
 */
START_TEST(unanswered_packets_of_others_confirm_a_check)
{
	static const uint32_t ages_ms[][2] = { { 300, 300 }, { 300, 290 } };

	ck_assert_int_eq(health_during_check(ages_ms[_i], 2, true, false),
			 _i ? HEALTH_SUSPECTED : HEALTH_UNREACHABLE);
}
END_TEST

START_TEST(verdict_confirmed_by_others_tells_their_number)
{
	static const uint32_t ages_ms[] = { 300, 300, 400 };
	struct health_evidence he;

	health_during_check(ages_ms, 3, true, false);
	he = describe_health(in.placer, board_a, 2000);
	ck_assert_int_eq(he.kind, EVIDENCE_UNANSWERED);
	ck_assert_uint_eq(he.own.unanswered, 3);
	ck_assert_uint_eq(he.own.unreachable_checks, 0);
	/* the check still ran */
	ck_assert_uint_eq(he.own.check_ended_ms, EVIDENCE_NEVER_MS);
	ck_assert_uint_eq(he.check_age_ms,
			  he.verdict_age_ms + HEALTH_CONFIRMED_CHECK_MS);
}
END_TEST

/*
 * Guards against resets of the flows of an upstream that is full: it answers no
 * SYN, and a check only when a slot is free, but it accepts the connection.
 */
START_TEST(a_connected_check_proves_that_nothing_is_cut_off)
{
	static const uint32_t ages_ms[] = { 300, 300, 400 };

	ck_assert_int_eq(health_during_check(ages_ms, 3, true, true),
			 HEALTH_SUSPECTED);
}
END_TEST

/* Guards against verdicts of an instance that is cut off itself. */
START_TEST(instance_that_hears_no_upstream_confirms_none)
{
	static const uint32_t ages_ms[] = { 300, 300, 400 };

	ck_assert_int_eq(health_during_check(ages_ms, 3, false, false),
			 HEALTH_SUSPECTED);
}
END_TEST

/* Guards against packets that seem unanswered since the process was paused. */
START_TEST(pause_makes_no_witness)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	tick_placer(in.placer, 1000, checks);
	note_upstream_silent(in.placer, board_a, 975, 1000);
	tick_placer(in.placer, 1800, checks);
	note_upstream_silent(in.placer, board_a, 975, 1800);
	pop_health_notices(notices, out);
	ck_assert_uint_gt(out->len, 0);
	for (guint i = 0; i < out->len; i++)
		ck_assert_uint_lt(g_array_index(out, struct outgoing_notice, i)
					  .notice.check_ms,
				  HEALTH_UNANSWERED_MS);
	g_array_free(out, TRUE);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against traffic between domains that changes nothing there. */
START_TEST(other_domains_get_only_what_they_use)
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
	g_array_set_size(to, 0);
	on.to_all = false;
	on.notice.kind = NOTICE_SUSPICION;
	set_assessor(false);
	list_notice_receivers(notices, &on, to);
	ck_assert_uint_eq(to->len, 2);
	g_array_set_size(to, 0);
	ck_assert(holds_in_all_domains(HEALTH_DEAD, "north", "north"));
	ck_assert(!holds_in_all_domains(HEALTH_DEAD, "north", "south"));
	ck_assert(!holds_in_all_domains(HEALTH_UNREACHABLE, "north", "north"));
	g_array_free(to, TRUE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("health-notice");
	TCase *failures = tcase_create("failures");
	TCase *tc = tcase_create("rules");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(failures, 240);
	tcase_add_loop_test(
		failures, callers_of_failed_upstream_are_reset_within_a_second,
		0, 4);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, notice_is_read_as_written_and_strictly);
	tcase_add_test(tc, verdict_is_not_adopted_after_sign_of_life);
	tcase_add_test(tc, adopted_verdict_tells_its_sender_and_check);
	tcase_add_test(tc, verdict_that_is_not_adopted_has_a_reason);
	tcase_add_test(tc, verdict_confirmed_by_others_tells_their_number);
	tcase_add_test(tc, verdict_over_a_link_between_domains_is_not_adopted);
	tcase_add_test(
		tc, verdict_behind_doubtful_link_is_neither_sent_nor_adopted);
	tcase_add_test(tc, paused_instance_adopts_no_verdict);
	tcase_add_test(tc, adopted_verdict_ends_with_recovery);
	tcase_add_test(tc, verdict_soon_after_sign_of_life_is_checked_first);
	tcase_add_test(tc, verdict_on_restarted_upstream_is_checked_first);
	tcase_add_test(tc,
		       adopted_verdict_ends_with_life_after_its_check_began);
	tcase_add_loop_test(
		tc, adopted_verdict_that_is_not_renewed_resets_no_flow, 0, 2);
	tcase_add_loop_test(tc, check_that_proves_nothing_posts_no_verdict, 0,
			    3);
	tcase_add_test(tc, verdict_is_repeated_only_after_a_while);
	tcase_add_loop_test(tc, assessor_checks_first, 0, 2);
	tcase_add_loop_test(tc, three_witnesses_shorten_the_delay, 0, 2);
	tcase_add_test(tc, suspicion_ends_with_sign_of_life);
	tcase_add_loop_test(tc, unanswered_packets_of_others_confirm_a_check, 0,
			    2);
	tcase_add_test(tc, a_connected_check_proves_that_nothing_is_cut_off);
	tcase_add_test(tc, instance_that_hears_no_upstream_confirms_none);
	tcase_add_test(tc, pause_makes_no_witness);
	tcase_add_test(tc, other_domains_get_only_what_they_use);
	suite_add_tcase(s, failures);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
