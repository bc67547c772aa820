/*
 * Tests of upstreams that stop listening at the end of their drain and serve
 * their open flows. They guard against resets of flows that are served, after a
 * refused check, and against callers that wait for an upstream that is gone.
 */

#include <check.h>
#include <stdlib.h>

#include "fleet/health-notice.h"
#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */
#define DRAIN_MS 3000
#define PORT 4000

static struct cookie_instance in;
static struct health_notices *notices;
static GArray *resets;
static GArray *checks;
static upstream_index_t leaving;
static struct upstream_report report;
static enum check_result check_result;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	set_test_member(&in, "front-2", "north", MEMBER_ALIVE);
	notices = create_health_notices(in.view);
	set_placer_notices(in.placer, notices);
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
	checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	report = make_upstream_report("u-a", "north");
	leaving = put_test_upstream(&in, &report, 0);
	check_result = CHECK_REFUSED;
}

static void teardown(void)
{
	release_cookie_instance(&in);
	destroy_health_notices(notices);
	g_array_free(resets, TRUE);
	g_array_free(checks, TRUE);
}

static void send_request(uint16_t port, uint32_t seq, uint32_t ack,
			 uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, port, TCP_ACK,
				   get_upstream(in.catalog, leaving)->cookie);

	p.seq = seq;
	p.payload_len = 100;
	p.ack = ack;
	steer_cookie_packet(in.steering, &p, false, now_ms);
}

/* Opens a flow from PORT, whose request is answered. */
static void open_flow(uint16_t port)
{
	struct cookie_packet p = make_cookie_packet(CALLER, port, TCP_SYN, 0);

	steer_cookie_packet(in.steering, &p, false, 1000);
	send_request(port, 1001, 500, 1010);
	send_request(port, 1101, 600, 1100);
	send_request(port, 1201, 700, 1200);
}

static void drain(uint64_t now_ms)
{
	report.draining = true;
	put_test_upstream(&in, &report, now_ms);
}

/*
 * Ticks from FROM_MS to TO_MS, every check ends with CHECK_RESULT. Returns the
 * number of checks; RESETS gets those of the flows of the upstream.
 */
static unsigned int tick(uint64_t from_ms, uint64_t to_ms)
{
	unsigned int check_nr = 0;

	for (uint64_t t = from_ms; t < to_ms; t += COOKIE_TICK_MS) {
		g_array_set_size(checks, 0);
		tick_cookie_steering(in.steering, t);
		tick_health_notices(notices, t);
		tick_placer(in.placer, t, checks);
		check_nr += checks->len;
		/* CHECK_RESULT_NR: checks go on */
		for (guint i = 0;
		     check_result != CHECK_RESULT_NR && i < checks->len; i++)
			note_check_result(
				in.placer,
				g_array_index(checks, upstream_index_t, i),
				check_result, t);
		if (may_end_flows(in.placer, leaving, t))
			end_upstream_flows(in.steering, leaving, t, resets);
		end_silent_flows(in.steering, t, resets);
	}
	return check_nr;
}

/*
 * A request of the flow from PORT, sent at T_MS and repeated 0.2, 0.6 and 1.4 s
 * later without an answer, until a fourth repeat is due.
 */
static unsigned int repeat_request_of(uint16_t port, uint64_t t_ms)
{
	static const uint64_t sent_ms[] = { 0, 200, 600, 1400, 3000 };
	unsigned int check_nr = 0;

	for (size_t i = 0; i + 1 < G_N_ELEMENTS(sent_ms); i++) {
		send_request(port, 1301, 800, t_ms + sent_ms[i]);
		check_nr += tick(t_ms + sent_ms[i], t_ms + sent_ms[i + 1]);
	}
	return check_nr;
}

/* The same for a request that is sent at 10 s. */
static unsigned int repeat_request(void)
{
	return repeat_request_of(PORT, 10000);
}

/* Callers lost requests that ran at an upstream that drained. */
START_TEST(refused_check_of_a_draining_upstream_resets_nothing)
{
	open_flow(PORT);
	open_flow(PORT + 1);
	drain(6000);
	repeat_request();
	ck_assert_uint_eq(resets->len, 0);
	/* the answer comes, and the flow goes on */
	send_request(PORT, 1401, 900, 13100);
	tick(13100, 16000);
	ck_assert_uint_eq(resets->len, 0);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 2);
}
END_TEST

/* Checks are billed; one that was refused once is refused again. */
START_TEST(upstream_that_does_not_listen_is_not_checked_again)
{
	open_flow(PORT);
	drain(6000);
	ck_assert_uint_eq(repeat_request(), 1);
}
END_TEST

static const struct cookie_reset *get_reset(guint i)
{
	return &g_array_index(resets, struct cookie_reset, i);
}

/*
 * Callers of a draining upstream that crashes would wait until their deadlines.
 * What one flow shows ends no other flow.
 */
START_TEST(silence_of_a_draining_upstream_ends_the_flows_that_show_it)
{
	open_flow(PORT);
	open_flow(PORT + 1);
	drain(6000);
	repeat_request();
	ck_assert_uint_eq(resets->len, 0);
	send_request(PORT, 1301, 800, 13000);
	tick(13000, 13100);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert_uint_eq(get_reset(0)->key.caller_port, PORT);
	ck_assert_int_eq(get_reset(0)->reason, COOKIE_UPSTREAM_SILENT);
	ck_assert(!may_end_flows(in.placer, leaving, 13100));
	repeat_request_of(PORT + 1, 14000);
	ck_assert_uint_eq(resets->len, 1);
	send_request(PORT + 1, 1301, 800, 17000);
	tick(17000, 17100);
	ck_assert_uint_eq(resets->len, 2);
	ck_assert_uint_eq(get_reset(1)->key.caller_port, PORT + 1);
}
END_TEST

/* An upstream answers at the latest when its callers may expect it. */
START_TEST(silence_takes_the_time_of_an_answer)
{
	const uint16_t port = TEST_ROUTE_PORT;
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));
	struct catalog_route r = { .ip = TEST_ROUTE_IP,
				   .port = port,
				   .deadline_ms = TEST_DEADLINE_MS,
				   .slo_ms = 250,
				   .target_nr = 1 };

	r.targets = g_new0(struct route_target, 1);
	r.targets[0].service = intern_service(in.catalog, "board");
	r.targets[0].weight = 1;
	g_array_append_val(routes, r);
	set_catalog_routes(in.catalog, 2, routes, NULL, TEST_IDLE_MS, 1);
	open_flow(PORT);
	drain(6000);
	repeat_request();
	send_request(PORT, 1301, 800, 13000);
	tick(13000, 13240);
	ck_assert_uint_eq(resets->len, 0);
	tick(13240, 13300);
	ck_assert_uint_eq(resets->len, 1);
}
END_TEST

/* Of several callers one gets answers: the others' requests wait. */
START_TEST(progress_of_another_flow_ends_the_silence)
{
	open_flow(PORT);
	open_flow(PORT + 1);
	drain(6000);
	send_request(PORT + 1, 1301, 800, 10000);
	repeat_request();
	send_request(PORT + 1, 1401, 900, 12990);
	send_request(PORT, 1301, 800, 13000);
	tick(13000, 14600);
	send_request(PORT, 1301, 800, 14600);
	tick(14600, 15900);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

/* Packets that were lost once, far apart, are no silence. */
START_TEST(repeats_of_different_requests_do_not_add_up)
{
	open_flow(PORT);
	drain(6000);
	send_request(PORT, 1301, 800, 10000);
	send_request(PORT, 1301, 800, 10200);
	tick(10200, 12500);
	send_request(PORT, 1301, 800, 12500);
	tick(12500, 13500);
	send_request(PORT, 1301, 800, 13500);
	tick(13500, 14000);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

START_TEST(upstream_whose_entry_ended_is_gone_with_a_refused_check)
{
	open_flow(PORT);
	drain(6000);
	remove_catalog_upstream(in.catalog, "u-a", 9000);
	update_placer_upstream(in.placer, leaving, 9000);
	repeat_request();
	ck_assert_uint_eq(resets->len, 1);
}
END_TEST

/* The store is away: the report that the upstream drains is not known here. */
START_TEST(refusal_proves_nothing_while_a_report_may_be_unread)
{
	set_placer_drain_time(in.placer, DRAIN_MS);
	open_flow(PORT);
	note_store_current(in.placer, 10000 - DRAIN_MS);
	repeat_request();
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

/* It would listen for the drain time after a report that is not known yet. */
START_TEST(crashed_upstream_is_found_dead_by_a_refusal)
{
	set_placer_drain_time(in.placer, DRAIN_MS);
	open_flow(PORT);
	note_store_current(in.placer, 11000 - DRAIN_MS);
	repeat_request();
	ck_assert_uint_eq(resets->len, 1);
}
END_TEST

static enum verdict_outcome receive_verdict(uint32_t check_ms, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(in.catalog, leaving);
	struct health_notice n = { .kind = NOTICE_VERDICT,
				   .sender = "front-2",
				   .domain = "north",
				   .cookie = up->cookie,
				   .upstream_id = up->report.id,
				   .health = HEALTH_DEAD,
				   .silent_ms = HEALTH_NEVER_MS,
				   .check_ms = check_ms };

	return handle_health_notice(in.placer, &n, now_ms);
}

/*
 * Earlier builds tell verdicts that rest on one refused check, or that are made
 * to look 900 ms old as they rest on repeats of some flows, too.
 */
START_TEST(verdict_of_a_peer_on_a_leaving_upstream_is_not_adopted)
{
	open_flow(PORT);
	drain(6000);
	ck_assert_int_eq(receive_verdict(20, 10000), VERDICT_LEAVING);
	tick(10000, 12000);
	ck_assert(!may_end_flows(in.placer, leaving, 12000));
	ck_assert_int_eq(receive_verdict(900, 12000), VERDICT_LEAVING);
	tick(12000, 14000);
	ck_assert(!may_end_flows(in.placer, leaving, 14000));
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

/* Once the link is back, the refusal says that the upstream is reached. */
START_TEST(refusal_does_not_renew_the_verdict_of_a_cut_link)
{
	open_flow(PORT);
	for (int i = 0; i < PLACEMENT_UNREACHABLE_CHECKS; i++) {
		struct cookie_packet p = make_cookie_packet(
			CALLER, PORT + 1 + (uint16_t)i, TCP_SYN, 0);

		steer_cookie_packet(in.steering, &p, false, 5000);
		note_upstream_silent(in.placer, leaving, 5000, 5030);
		tick_placer(in.placer, 5300, checks);
		note_upstream_answer(in.placer, CATALOG_NONE - 1, 5301, 5302);
		note_check_result(in.placer, leaving, CHECK_UNREACHABLE, 5650);
	}
	ck_assert_int_eq(assessed_health(in.placer, leaving),
			 HEALTH_UNREACHABLE);
	drain(6000);
	note_check_result(in.placer, leaving, CHECK_REFUSED, 8000);
	ck_assert(!may_end_flows(in.placer, leaving, 9000));
}
END_TEST

START_TEST(new_start_is_checked_as_any_upstream)
{
	open_flow(PORT);
	drain(6000);
	repeat_request();
	report.draining = false;
	report.started_at_ms = 2;
	put_test_upstream(&in, &report, 12000);
	send_request(PORT, 1301, 800, 13000);
	send_request(PORT, 1301, 800, 13200);
	send_request(PORT, 1301, 800, 13600);
	ck_assert_uint_ge(tick(13600, 14400), 1);
	ck_assert_int_eq(assessed_health(in.placer, leaving), HEALTH_DEAD);
}
END_TEST

/* That the start before did not listen says nothing of this one. */
START_TEST(new_start_that_drains_and_listens_is_not_gone)
{
	open_flow(PORT);
	drain(6000);
	note_upstream_silent(in.placer, leaving, 7000, 7000);
	ck_assert_uint_eq(tick(7000, 7300), 1);
	report.started_at_ms = 2;
	put_test_upstream(&in, &report, 8000);
	check_result = CHECK_BAD;
	repeat_request();
	send_request(PORT, 1301, 800, 13000);
	tick(13000, 13100);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

/* The upstream acknowledges a packet that was repeated twice, and works on it. */
START_TEST(caller_that_waits_without_repeating_keeps_its_flow)
{
	open_flow(PORT);
	drain(6000);
	note_upstream_silent(in.placer, leaving, 7000, 7000);
	ck_assert_uint_eq(tick(7000, 7300), 1);
	send_request(PORT, 1301, 800, 10000);
	tick(10000, 10200);
	send_request(PORT, 1301, 800, 10200);
	tick(10200, 10600);
	send_request(PORT, 1301, 800, 10600);
	tick(10600, 13000);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

/*
 * Sends and repeats the packets of an upload, one each PACE_MS from 10 s to
 * END_MS, at an upstream that acknowledges every second one: the first that is
 * missing is repeated 0.2, 0.6 and 1.4 s after it was sent.
 */
static void upload(uint16_t port, uint64_t pace_ms, uint64_t end_ms)
{
	static const uint64_t repeats_ms[] = { 200, 600, 1400 };
	uint64_t sent_nr = 0;
	uint64_t missing = 0;

	for (uint64_t t = 10000; t < end_ms; t += COOKIE_TICK_MS) {
		uint64_t sent_ms = 10000 + missing * pace_ms;

		for (size_t i = 0; i < G_N_ELEMENTS(repeats_ms); i++)
			if (missing < sent_nr && t == sent_ms + repeats_ms[i])
				send_request(port,
					     1301 + (uint32_t)missing * 100,
					     800, t);
		if (t == 10000 + sent_nr * pace_ms) {
			send_request(port, 1301 + (uint32_t)sent_nr * 100, 800,
				     t);
			if (++sent_nr % 2 == 0)
				missing = sent_nr;
		}
		tick(t, t + COOKIE_TICK_MS);
	}
}

/* Uploads at an upstream that drained and stopped listening were reset. */
START_TEST(slow_upload_to_an_upstream_that_does_not_listen_is_no_silence)
{
	open_flow(PORT);
	open_flow(PORT + 1);
	drain(6000);
	upload(PORT, 220, 15500);
	ck_assert_uint_eq(resets->len, 0);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 2);
}
END_TEST

/* So were those of callers that send a packet each second or two. */
START_TEST(very_slow_upload_is_no_silence)
{
	open_flow(PORT);
	drain(6000);
	upload(PORT, 1500, 18000);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

static enum verdict_outcome receive_suspicion(uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(in.catalog, leaving);
	struct health_notice n = { .kind = NOTICE_SUSPICION,
				   .sender = "front-2",
				   .domain = "north",
				   .cookie = up->cookie,
				   .upstream_id = up->report.id,
				   .health = HEALTH_SUSPECTED,
				   .silent_ms = HEALTH_NEVER_MS,
				   .check_ms = HEALTH_UNANSWERED_MS + 100 };

	return handle_health_notice(in.placer, &n, now_ms);
}

/*
 * A member that has slow uploads, too, finds packets unanswered, and a check
 * finds the queue of new connections full: sound upstreams were cut off.
 */
START_TEST(full_queue_of_connections_cuts_off_no_upstream_with_slow_uploads)
{
	struct upstream_report r = make_upstream_report("u-b", "north");
	upstream_index_t other = put_test_upstream(&in, &r, 0);

	open_flow(PORT);
	open_flow(PORT + 1);
	/* most requests are answered soon, so nobody waits for the upload's */
	for (uint32_t i = 0; i < 200; i++)
		send_request(PORT + 1, 1301 + i * 100, 800 + i * 100,
			     2000 + i * 20);
	check_result = CHECK_GOOD;
	upload(PORT, 220, 11000);
	check_result = CHECK_RESULT_NR;
	for (uint64_t t = 11000; t < 13200; t += COOKIE_TICK_MS) {
		uint32_t nr = (uint32_t)(t - 10000) / 220;
		uint64_t since_ms = (t - 10000) % 220;

		if (since_ms < COOKIE_TICK_MS ||
		    since_ms / COOKIE_TICK_MS == 200 / COOKIE_TICK_MS)
			send_request(PORT, 1301 + nr * 100, 800, t);
		note_upstream_answer(in.placer, other, t, t);
		receive_suspicion(t);
		tick(t, t + COOKIE_TICK_MS);
		ck_assert_int_ne(assessed_health(in.placer, leaving),
				 HEALTH_UNREACHABLE);
	}
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leaving-upstream");
	TCase *tc = tcase_create("leaving-upstream");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, refused_check_of_a_draining_upstream_resets_nothing);
	tcase_add_test(tc, upstream_that_does_not_listen_is_not_checked_again);
	tcase_add_test(
		tc, silence_of_a_draining_upstream_ends_the_flows_that_show_it);
	tcase_add_test(tc, silence_takes_the_time_of_an_answer);
	tcase_add_test(tc, progress_of_another_flow_ends_the_silence);
	tcase_add_test(tc, repeats_of_different_requests_do_not_add_up);
	tcase_add_test(tc,
		       upstream_whose_entry_ended_is_gone_with_a_refused_check);
	tcase_add_test(tc, refusal_proves_nothing_while_a_report_may_be_unread);
	tcase_add_test(tc, crashed_upstream_is_found_dead_by_a_refusal);
	tcase_add_test(tc,
		       verdict_of_a_peer_on_a_leaving_upstream_is_not_adopted);
	tcase_add_test(tc, refusal_does_not_renew_the_verdict_of_a_cut_link);
	tcase_add_test(tc, new_start_is_checked_as_any_upstream);
	tcase_add_test(tc, new_start_that_drains_and_listens_is_not_gone);
	tcase_add_test(tc, caller_that_waits_without_repeating_keeps_its_flow);
	tcase_add_test(
		tc,
		slow_upload_to_an_upstream_that_does_not_listen_is_no_silence);
	tcase_add_test(tc, very_slow_upload_is_no_silence);
	tcase_add_test(
		tc,
		full_queue_of_connections_cuts_off_no_upstream_with_slow_uploads);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
