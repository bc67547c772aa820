/* Tests of placement: load, health of upstreams, cold starts, simulations. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "flow/in-flight.h"
#include "flow/placement-limit.h"
#include "t/cookie-harness.h"
#include "t/placement-simulation.h"

/* Sheds by upstreams in the fleet's overload before SYNs waited by priority. */
#define FLEET_SHED_BEFORE 38809

static struct cookie_instance in;
static service_index_t board;
static GArray *checks;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	board = intern_service(in.catalog, "board");
	update_quotas(in.quotas, 0);
	checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
}

static void teardown(void)
{
	release_cookie_instance(&in);
	g_array_free(checks, TRUE);
}

static upstream_index_t put_upstream(const char *name, const char *domain,
				     uint64_t now_ms)
{
	struct upstream_report r = make_upstream_report(name, domain);

	return put_test_upstream(&in, &r, now_ms);
}

static upstream_index_t put_cold_upstream(const char *name, uint32_t cold_ms,
					  uint64_t now_ms)
{
	struct upstream_report r = make_upstream_report(name, "north");

	r.cold_left_ms = cold_ms;
	return put_test_upstream(&in, &r, now_ms);
}

static struct placement place_flow(uint64_t now_ms)
{
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS };

	return place_new_flow(in.placer, &request, now_ms);
}

/* Whether the last tick requested a check of NR. */
static bool is_check_listed(upstream_index_t nr)
{
	for (guint i = 0; i < checks->len; i++)
		if (g_array_index(checks, upstream_index_t, i) == nr)
			return true;
	return false;
}

static bool is_check_requested(upstream_index_t nr, uint64_t now_ms)
{
	g_array_set_size(checks, 0);
	tick_placer(in.placer, now_ms, checks);
	return is_check_listed(nr);
}

START_TEST(own_domain_is_preferred_until_loaded)
{
	upstream_index_t near = put_upstream("u-a", "north", 0);
	upstream_index_t far = put_upstream("u-b", "south", 0);

	ck_assert_uint_eq(place_flow(10).upstream, near);
	for (int i = 0; i < 3; i++) {
		note_flow_open(in.placer, near);
		note_request_start(in.placer, near);
	}
	ck_assert_uint_eq(place_flow(10).upstream, far);
}
END_TEST

START_TEST(peer_load_counts_until_it_times_out)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);
	struct upstream_load_row row = { get_upstream(in.catalog, a)->cookie,
					 9 * IN_FLIGHT_WEIGHT_ONE,
					 12 * IN_FLIGHT_WEIGHT_ONE,
					 0,
					 HEALTH_GOOD,
					 0 };

	handle_peer_loads(in.placer, 42, &row, 1, 1000);
	for (uint64_t t = 1000; t < 3000; t += PLACEMENT_MEANS_INTERVAL_MS)
		tick_placer(in.placer, t, checks);
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(place_flow(3000).upstream, b);
	for (uint64_t t = 3000; t < 9000; t += PLACEMENT_MEANS_INTERVAL_MS)
		tick_placer(in.placer, t, checks);
	note_flow_open(in.placer, b);
	ck_assert_uint_eq(place_flow(9000).upstream, a);
}
END_TEST

/* Expected flows of NR, sixteenths, as sent to peers. */
static uint16_t expected_weight(upstream_index_t nr, uint64_t now_ms)
{
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));
	uint32_t cookie = get_upstream(in.catalog, nr)->cookie;
	uint16_t weight = 0;

	list_own_loads(in.placer, now_ms, rows);
	for (guint i = 0; i < rows->len; i++) {
		const struct upstream_load_row *row =
			&g_array_index(rows, struct upstream_load_row, i);

		if (row->cookie == cookie)
			weight = row->expected_flows;
	}
	g_array_free(rows, TRUE);
	return weight;
}

/*
 * Long flows that pause half of the time, or for more. Counting each busy flow
 * fully and its idle neighbours with their usual share besides makes upstreams
 * look crowded too early. By Little's law the load is arrivals times response
 * time; the estimate must agree with it in the mean.
 */
START_TEST(idle_flows_are_not_counted_twice)
{
	enum { FLOWS = 24, LENGTH_MS = 60000, ANSWER_MS = 50 };
	static const gint32 pauses_ms[] = { 50, 150, 450 };
	upstream_index_t nr = put_upstream("u-a", "north", 0);
	GRand *rand = g_rand_new_with_seed(20261204);
	uint64_t end_ms[FLOWS] = { 0 };
	uint32_t arrivals = 0;
	uint32_t samples = 0;
	double placed = 0;
	double expected = 0;
	double true_load;

	for (int i = 0; i < FLOWS; i++)
		note_flow_open(in.placer, nr);
	for (uint64_t t = 1; t <= LENGTH_MS; t++) {
		for (int i = 0; i < FLOWS; i++) {
			if (end_ms[i] == t)
				note_request_end(in.placer, nr);
			if (end_ms[i] > t ||
			    g_rand_int_range(rand, 0, pauses_ms[_i]))
				continue;
			end_ms[i] = t + ANSWER_MS;
			note_request_start(in.placer, nr);
			arrivals += t > LENGTH_MS / 2;
		}
		if (t % PLACEMENT_MEANS_INTERVAL_MS)
			continue;
		tick_placer(in.placer, t, checks);
		if (t <= LENGTH_MS / 2)
			continue;
		placed += 3 * place_flow(t).load;
		expected += expected_weight(nr, t);
		samples++;
	}
	g_rand_free(rand);
	true_load = (double)arrivals * ANSWER_MS / (LENGTH_MS / 2.0);
	ck_assert_double_eq_tol(placed / samples, true_load, 0.3);
	ck_assert_double_eq_tol(expected / samples / IN_FLIGHT_WEIGHT_ONE,
				true_load, 0.3);
}
END_TEST

START_TEST(flow_that_would_miss_deadline_is_refused)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct placement at;

	for (int i = 0; i < 100; i++)
		note_answer(in.placer, a, 100, 1000);
	for (int i = 0; i < 3 * 35; i++) {
		note_flow_open(in.placer, a);
		note_request_start(in.placer, a);
	}
	at = place_flow(1000);
	ck_assert_uint_eq(at.upstream, CATALOG_NONE);
	ck_assert_int_eq(at.reason, PLACE_OVERLOADED);
	for (int i = 0; i < 3 * 10; i++)
		note_request_end(in.placer, a);
	ck_assert_uint_eq(place_flow(1000).upstream, a);
}
END_TEST

START_TEST(cold_upstream_stays_within_its_limit)
{
	unsigned int placed = 0;

	put_cold_upstream("u-a", 60000, 0);
	set_test_routes(in.catalog, 2, &(uint16_t){ TEST_ROUTE_PORT }, 1, 7);
	for (uint64_t t = 5000; t < 15000; t += 5)
		placed += place_flow(t).upstream != CATALOG_NONE;
	/* ten seconds, at most 7 in each */
	ck_assert_uint_le(placed, 70);
	ck_assert_uint_ge(placed, 50);
	ck_assert_int_eq(place_flow(15000).reason, PLACE_ALL_COLD);
}
END_TEST

START_TEST(cold_upstream_warms_up_after_reported_time)
{
	put_cold_upstream("u-a", 2000, 0);
	set_test_routes(in.catalog, 2, &(uint16_t){ TEST_ROUTE_PORT }, 1, 0);
	ck_assert_uint_eq(place_flow(1999).upstream, CATALOG_NONE);
	ck_assert_uint_ne(place_flow(2000).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(upstream_is_cold_after_domain_returns)
{
	put_upstream("u-a", "north", 0);
	set_test_routes(in.catalog, 2, &(uint16_t){ TEST_ROUTE_PORT }, 1, 0);
	set_catalog_domain_out(in.catalog, "north", true, 2600, 1000);
	ck_assert_int_eq(place_flow(2000).reason, PLACE_NONE_LISTED);
	set_catalog_domain_out(in.catalog, "north", false, 2600, 5000);
	ck_assert_int_eq(place_flow(5001).reason, PLACE_ALL_COLD);
	ck_assert_uint_ne(place_flow(7600).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(unsettled_view_grants_no_cold_quota)
{
	put_cold_upstream("u-a", 60000, 0);
	set_view_settled(in.view, false);
	ck_assert_uint_eq(place_flow(10000).upstream, CATALOG_NONE);
	set_view_settled(in.view, true);
	ck_assert_uint_ne(place_flow(10000).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(suspect_upstream_is_avoided_until_alive)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "south", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert_uint_eq(place_flow(1200).upstream, b);
	note_upstream_alive(in.placer, a, 1210);
	ck_assert_uint_eq(place_flow(1210).upstream, a);
	/* silence about data sent before the last sign of life is ignored */
	note_upstream_silent(in.placer, a, 1100, 1300);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
}
END_TEST

START_TEST(sign_of_life_at_peer_clears_suspicion)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 0, 1, 20, HEALTH_GOOD, 0
	};

	note_upstream_silent(in.placer, a, 1000, 1200);
	handle_peer_loads(in.placer, 42, &row, 1, 1300);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
}
END_TEST

/*
 * Guards against signs of life that are passed on from instance to instance and
 * become younger by each delay: an upstream would never be silent for long.
 */
START_TEST(sign_of_life_is_not_passed_on)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 0, 1, 20, HEALTH_GOOD, 0
	};
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));

	note_flow_open(in.placer, a);
	note_upstream_alive(in.placer, a, 1000);
	handle_peer_loads(in.placer, 42, &row, 1, 1300);
	list_own_loads(in.placer, 1310, rows);
	ck_assert_uint_eq(rows->len, 1);
	ck_assert_uint_eq(
		g_array_index(rows, struct upstream_load_row, 0).silent_ms,
		310);
	g_array_free(rows, TRUE);
}
END_TEST

START_TEST(persistent_suspicion_is_checked)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert(!is_check_requested(a, 1200 + PLACEMENT_CHECK_DELAY_MS - 1));
	ck_assert(is_check_requested(a, 1200 + PLACEMENT_CHECK_DELAY_MS));
	ck_assert(!is_check_requested(a, 1210 + PLACEMENT_CHECK_DELAY_MS));
	note_check_result(in.placer, a, CHECK_REFUSED, 1500);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_DEAD);
	ck_assert_int_eq(place_flow(1500).reason, PLACE_ALL_DEAD);
}
END_TEST

START_TEST(health_changes_are_reported_once)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));
	const struct health_change *ch;

	note_upstream_alive(in.placer, a, 900);
	note_upstream_silent(in.placer, a, 1000, 1200);
	note_upstream_silent(in.placer, a, 1000, 1250);
	is_check_requested(a, 1200 + PLACEMENT_CHECK_DELAY_MS);
	note_check_result(in.placer, a, CHECK_REFUSED, 1500);
	note_upstream_alive(in.placer, a, 1600);
	pop_health_changes(in.placer, changes);
	ck_assert_uint_eq(changes->len, 3);
	ch = (const struct health_change *)(void *)changes->data;
	ck_assert_int_eq(ch[0].to, HEALTH_SUSPECTED);
	ck_assert_int_eq(ch[1].to, HEALTH_DEAD);
	ck_assert_uint_eq(ch[1].silence_count, 2);
	ck_assert_uint_eq(ch[1].silent_ms, 600);
	ck_assert_int_eq(ch[2].to, HEALTH_GOOD);
	g_array_set_size(changes, 0);
	pop_health_changes(in.placer, changes);
	ck_assert_uint_eq(changes->len, 0);
	g_array_free(changes, TRUE);
}
END_TEST

START_TEST(several_silences_shorten_check_delay)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	for (int i = 0; i < PLACEMENT_SHORT_DELAY_SILENCES; i++)
		note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert(is_check_requested(a, 1200 + PLACEMENT_SHORT_CHECK_DELAY_MS));
}
END_TEST

START_TEST(flow_progress_outweighs_refused_check)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert(is_check_requested(a, 1200 + PLACEMENT_CHECK_DELAY_MS));
	note_upstream_alive(in.placer, a, 1450);
	note_check_result(in.placer, a, CHECK_REFUSED, 1460);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
}
END_TEST

/* Runs a check of NR at START_MS that gets no connection. */
static void fail_check_as_unreachable(upstream_index_t nr, uint64_t start_ms)
{
	ck_assert(is_check_requested(nr, start_ms));
	note_check_result(in.placer, nr, CHECK_UNREACHABLE, start_ms + 350);
}

START_TEST(unreachable_upstream_is_cut_off_if_others_answer)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	for (uint64_t t = 1400; t < 2100; t += 351) {
		ck_assert_int_eq(assessed_health(in.placer, a),
				 HEALTH_SUSPECTED);
		note_upstream_answer(in.placer, b, t + 90, t + 100);
		fail_check_as_unreachable(a, t);
	}
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_UNREACHABLE);
}
END_TEST

static void receive_peer_health(upstream_index_t nr,
				enum upstream_health health, uint64_t now_ms)
{
	struct upstream_load_row row = { get_upstream(in.catalog, nr)->cookie,
					 0,
					 1,
					 2000,
					 (uint8_t)health,
					 0 };

	handle_peer_loads(in.placer, 42, &row, 1, now_ms);
}

/* The change to a verdict that is dead or cut off; CHANGES are freed. */
static struct health_evidence pop_verdict_evidence(void)
{
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));
	struct health_evidence he = { 0 };

	pop_health_changes(in.placer, changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct health_change *ch =
			&g_array_index(changes, struct health_change, i);

		if (ch->to == HEALTH_DEAD || ch->to == HEALTH_UNREACHABLE)
			he = ch->evidence;
		else
			ck_assert_int_eq(ch->evidence.kind, EVIDENCE_NONE);
	}
	g_array_free(changes, TRUE);
	return he;
}

START_TEST(verdict_of_one_check_tells_its_evidence)
{
	static const enum evidence_kind kinds[] = { EVIDENCE_REFUSED,
						    EVIDENCE_REPLACED };
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct health_evidence he;

	note_upstream_alive(in.placer, a, 900);
	note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert(is_check_requested(a, 1400));
	ck_assert_int_eq(describe_health(in.placer, a, 1450).kind,
			 EVIDENCE_NONE);
	note_check_result(in.placer, a, _i ? CHECK_REPLACED : CHECK_REFUSED,
			  1500);
	he = pop_verdict_evidence();
	ck_assert_int_eq(he.kind, kinds[_i]);
	ck_assert_uint_eq(he.verdict_age_ms, 0);
	ck_assert_uint_eq(he.own.check_ended_ms, 0);
	he = describe_health(in.placer, a, 1600);
	ck_assert_int_eq(he.kind, kinds[_i]);
	ck_assert_int_eq(he.health, HEALTH_DEAD);
	ck_assert_uint_eq(he.verdict_age_ms, 100);
	ck_assert_uint_eq(he.check_age_ms, 200);
	ck_assert_uint_eq(he.own.check_ended_ms, 100);
	ck_assert_uint_eq(he.own_alive_ms, 700);
	ck_assert_uint_eq(he.peer_alive_ms, EVIDENCE_NEVER_MS);
	/* a later check confirms it */
	ck_assert(is_check_requested(a, 3500));
	note_check_result(in.placer, a, CHECK_REFUSED, 3510);
	he = describe_health(in.placer, a, 3600);
	ck_assert_int_eq(he.kind, EVIDENCE_REFUSED);
	ck_assert_uint_eq(he.verdict_age_ms, 2100);
	ck_assert_uint_eq(he.check_age_ms, 100);
	note_upstream_alive(in.placer, a, 3700);
	he = describe_health(in.placer, a, 3710);
	ck_assert_int_eq(he.kind, EVIDENCE_NONE);
	ck_assert_uint_eq(he.own_alive_ms, 10);
}
END_TEST

START_TEST(verdict_of_several_checks_tells_their_number)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);
	struct health_evidence he;

	note_upstream_silent(in.placer, a, 1000, 1200);
	for (uint64_t t = 1400; t < 2100; t += 351) {
		note_upstream_answer(in.placer, b, t + 90, t + 100);
		fail_check_as_unreachable(a, t);
	}
	he = describe_health(in.placer, a, 2201);
	ck_assert_int_eq(he.kind, EVIDENCE_UNREACHABLE);
	ck_assert_uint_eq(he.own.unreachable_checks, 2);
	ck_assert_uint_eq(he.own.unanswered, 0);
	ck_assert_uint_eq(he.verdict_age_ms, 100);
	ck_assert_uint_eq(he.check_age_ms, 450);
	ck_assert_uint_eq(he.own_alive_ms, EVIDENCE_NEVER_MS);
	note_upstream_answer(in.placer, b, 4190, 4200);
	fail_check_as_unreachable(a, 4150);
	he = describe_health(in.placer, a, 4500);
	ck_assert_uint_eq(he.own.unreachable_checks, 3);
	ck_assert_uint_eq(he.verdict_age_ms, 2399);
}
END_TEST

/* Guards against resets of flows that peers see make progress, untold by logs. */
START_TEST(sign_of_life_at_peer_after_verdict_is_told)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 0, 1, 30, HEALTH_GOOD, 0
	};
	struct health_evidence he;

	note_upstream_silent(in.placer, a, 1000, 1200);
	ck_assert(is_check_requested(a, 1400));
	note_check_result(in.placer, a, CHECK_REFUSED, 1500);
	handle_peer_loads(in.placer, 42, &row, 1, 2000);
	he = describe_health(in.placer, a, 2000);
	ck_assert_int_eq(he.kind, EVIDENCE_REFUSED);
	ck_assert_uint_eq(he.verdict_age_ms, 500);
	ck_assert_uint_eq(he.peer_alive_ms, 30);
	ck_assert_uint_eq(he.own_alive_ms, EVIDENCE_NEVER_MS);
}
END_TEST

START_TEST(upstream_lost_at_peer_is_checked_at_once)
{
	static const enum upstream_health verdicts[] = { HEALTH_DEAD,
							 HEALTH_UNREACHABLE };

	for (size_t i = 0; i < G_N_ELEMENTS(verdicts); i++) {
		char name[] = { 'u', '-', (char)('a' + i), '\0' };
		upstream_index_t a = put_upstream(name, "north", 0);

		note_upstream_alive(in.placer, a, 1000);
		note_flow_open(in.placer, a);
		receive_peer_health(a, verdicts[i], 1500);
		ck_assert_int_eq(assessed_health(in.placer, a),
				 HEALTH_SUSPECTED);
		ck_assert(is_check_requested(a, 1500));
		note_check_result(in.placer, a, CHECK_REFUSED, 1510);
		ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_DEAD);
	}
}
END_TEST

START_TEST(peer_report_causes_no_check_without_flows)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_upstream_alive(in.placer, a, 1000);
	receive_peer_health(a, HEALTH_UNREACHABLE, 1500);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
	note_moved_flow(in.placer, a, 1600);
	ck_assert(is_check_requested(a, 1600));
}
END_TEST

START_TEST(flow_progress_outweighs_peer_report)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_flow_open(in.placer, a);
	note_upstream_alive(in.placer, a, 1400);
	receive_peer_health(a, HEALTH_UNREACHABLE, 1500);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
}
END_TEST

START_TEST(checks_after_peer_reports_are_rate_limited)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_flow_open(in.placer, a);
	receive_peer_health(a, HEALTH_UNREACHABLE, 1500);
	ck_assert(is_check_requested(a, 1500));
	note_check_result(in.placer, a, CHECK_GOOD, 1510);
	for (uint64_t t = 1900; t < 1500 + PLACEMENT_PEER_RECHECK_MS; t += 50) {
		receive_peer_health(a, HEALTH_UNREACHABLE, t);
		ck_assert(!is_check_requested(a, t));
	}
	receive_peer_health(a, HEALTH_UNREACHABLE,
			    1500 + PLACEMENT_PEER_RECHECK_MS);
	ck_assert(is_check_requested(a, 1500 + PLACEMENT_PEER_RECHECK_MS));
}
END_TEST

START_TEST(instance_that_reaches_no_upstream_cuts_off_none)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	for (uint64_t t = 1400; t < 9000; t += 900)
		fail_check_as_unreachable(a, t);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_SUSPECTED);
}
END_TEST

START_TEST(checks_that_could_not_be_made_cut_off_no_upstream)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	for (uint64_t t = 1400; t < 4000; t += 600) {
		ck_assert(is_check_requested(a, t));
		note_upstream_answer(in.placer, b, t + 1, t + 2);
		note_check_result(in.placer, a, CHECK_NOT_MADE, t + 5);
		ck_assert_int_eq(assessed_health(in.placer, a),
				 HEALTH_SUSPECTED);
	}
}
END_TEST

/* Guards against verdicts by a check of the start before, at its old address. */
START_TEST(check_that_began_before_a_restart_proves_nothing)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);
	struct upstream_report r = make_upstream_report("u-a", "north");

	note_upstream_silent(in.placer, a, 1000, 1200);
	note_upstream_silent(in.placer, a, 1010, 1210);
	note_upstream_silent(in.placer, a, 1020, 1220);
	ck_assert(is_check_requested(a, 1300));
	r.started_at_ms = 2;
	put_test_upstream(&in, &r, 1310);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
	/* the new start is busy and answers a SYN late */
	note_upstream_silent(in.placer, a, 1312, 1340);
	note_upstream_answer(in.placer, b, 1305, 1310);
	note_check_result(in.placer, a, _i ? CHECK_REPLACED : CHECK_REFUSED,
			  1350);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_SUSPECTED);
	ck_assert(is_check_requested(a, 1900));
	note_check_result(in.placer, a, CHECK_REFUSED, 1902);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_DEAD);
}
END_TEST

START_TEST(restarted_upstream_is_healthy_again)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	upstream_index_t a = put_test_upstream(&in, &r, 0);

	note_upstream_silent(in.placer, a, 1000, 1200);
	is_check_requested(a, 1200 + PLACEMENT_CHECK_DELAY_MS);
	note_check_result(in.placer, a, CHECK_REFUSED, 1500);
	r.started_at_ms = 2;
	put_test_upstream(&in, &r, 4000);
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_GOOD);
}
END_TEST

START_TEST(cookie_collision_gives_flows_to_one_upstream)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct upstream_report q = make_upstream_report("u-b", "north");
	upstream_index_t a;
	upstream_index_t b;

	r.id = 0x100000005;
	q.id = 0x400000000;
	ck_assert_uint_eq(make_cookie(r.id), make_cookie(q.id));
	b = put_test_upstream(&in, &q, 0);
	a = put_test_upstream(&in, &r, 0);
	for (int i = 0; i < 50; i++)
		ck_assert_uint_eq(place_flow(10).upstream, a);
	ck_assert_uint_eq(
		find_upstream_by_cookie(in.catalog, make_cookie(r.id)), a);
	ck_assert(!accepts_flows(in.catalog, b));
}
END_TEST

/* Guards against instances that disagree on whose flows have a shared cookie. */
START_TEST(shared_cookie_has_one_owner_at_all_instances)
{
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct upstream_report q = make_upstream_report("u-b", "north");
	struct cookie_instance later;
	uint32_t cookie;

	r.id = 0x100000005;
	q.id = 0x400000000;
	cookie = make_cookie(r.id);
	r.started_at_ms = 10;
	q.started_at_ms = 20;
	put_test_upstream(&in, &r, 0);
	put_test_upstream(&in, &q, 0);
	r.started_at_ms = 30;
	put_test_upstream(&in, &r, 100);
	/* this one starts now */
	init_cookie_instance(&later, "front-2", "north");
	put_test_upstream(&later, &r, 200);
	put_test_upstream(&later, &q, 200);
	ck_assert_str_eq(
		get_upstream(in.catalog,
			     find_upstream_by_cookie(in.catalog, cookie))
			->report.name,
		get_upstream(later.catalog,
			     find_upstream_by_cookie(later.catalog, cookie))
			->report.name);
	release_cookie_instance(&later);
}
END_TEST

/* Guards against cut-off upstreams that keep flows as all answers take long. */
START_TEST(unreachable_upstream_is_cut_off_if_others_answer_slowly)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	upstream_index_t b = put_upstream("u-b", "north", 0);
	uint64_t started_ms = 0;

	note_upstream_silent(in.placer, a, 1000, 1200);
	for (uint64_t t = 1400; t < 12000; t += 10) {
		/* requests on open flows, each answered after 400 ms */
		if (!(t % 50))
			note_upstream_answer(in.placer, b, t - 400, t);
		if (started_ms && t == started_ms + 350) {
			started_ms = 0;
			note_check_result(in.placer, a, CHECK_UNREACHABLE, t);
		}
		if (is_check_requested(a, t))
			started_ms = t;
		if (is_check_listed(b)) {
			note_check_connected(in.placer, b);
			note_check_result(in.placer, b, CHECK_GOOD, t + 2);
		}
	}
	ck_assert_int_eq(assessed_health(in.placer, a), HEALTH_UNREACHABLE);
}
END_TEST

/*
 * The heaviest load: half of the slots busy on average, and one domain with
 * nearly twice the callers of the others. At least 95 % of the requests must
 * be answered in time, the users' target.
 */
START_TEST(heaviest_load_is_answered_in_time)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;
	struct placement_sim_result random;

	init_site_options(&opt);
	opt.requests_per_s = 400;
	opt.long_flows = 450;
	opt.first_domain_load = 1.8;
	simulate_placement(&opt, &r);
	ck_assert_uint_ge(r.in_time, r.requests * 95 / 100);
	ck_assert_uint_le(r.shed + r.refused, r.requests / 200);
	opt.strategy = PICK_RANDOM;
	simulate_placement(&opt, &random);
	ck_assert_uint_gt(r.in_time, random.in_time);
	ck_assert_uint_lt(r.remote_domain, random.remote_domain / 2);
}
END_TEST

/*
 * After an outage all callers return at once. Holding SYNs back must lose fewer
 * requests than letting upstreams shed them, and no more than leaving them to
 * their copies.
 */
START_TEST(waiting_syns_lose_fewer_requests_after_outage)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;
	struct placement_sim_result left_to_copies;
	struct placement_sim_result all_placed;

	init_site_options(&opt);
	opt.requests_per_s = 300;
	opt.long_flows = 300;
	opt.outage_ms = 2000;
	simulate_placement(&opt, &r);
	opt.overload = OVERLOAD_DEFER;
	simulate_placement(&opt, &left_to_copies);
	opt.overload = OVERLOAD_PLACE;
	simulate_placement(&opt, &all_placed);
	ck_assert_uint_lt(r.failed, all_placed.failed);
	ck_assert_uint_ge(r.in_time + r.late,
			  all_placed.in_time + all_placed.late);
	ck_assert_uint_le(r.failed, left_to_copies.failed);
}
END_TEST

/*
 * A fleet's callers compete for too little capacity: 2.5 times the usual demand
 * while some upstreams are slow. Guards against answers that come too late to
 * count, urgent requests that are shed by full upstreams or refused in favour
 * of others, refusals while slots are free, and callers who are told late.
 */
START_TEST(overloaded_fleet_answers_in_time_and_urgent_first)
{
	struct placement_sim_options opt;
	struct placement_sim_result r;
	const struct sim_outcome *usual = &r.by_route[SIM_USUAL];
	const struct sim_outcome *urgent = &r.by_route[SIM_URGENT];
	double least = 1;
	double most = 0;

	init_fleet_options(&opt);
	simulate_placement(&opt, &r);
	ck_assert_uint_eq(r.refused_before_less_urgent, 0);
	ck_assert_uint_eq(r.refused_idle, 0);
	ck_assert_uint_le(r.shed, FLEET_SHED_BEFORE / 5);
	ck_assert_double_le(urgent->lost, 0.02 * urgent->requests);
	ck_assert_double_ge(usual->in_time + urgent->in_time,
			    0.85 * (usual->in_time + usual->late +
				    urgent->in_time + urgent->late));
	ck_assert_uint_eq(usual->refused_soon, usual->refused);
	ck_assert_uint_eq(urgent->refused_soon, urgent->refused);
	for (size_t i = 0; i < opt.domain_nr; i++) {
		const struct sim_outcome *o = &r.by_domain[i];
		double share = (double)o->in_time / o->requests;

		least = MIN(least, share);
		most = MAX(most, share);
	}
	ck_assert_double_le(most - least, 0.03);
	/* without the slow upstreams */
	opt.slow_upstream_share = 0;
	simulate_placement(&opt, &r);
	ck_assert_uint_eq(r.refused_before_less_urgent, 0);
	ck_assert_uint_eq(r.refused_idle, 0);
	ck_assert_double_ge(usual->in_time + urgent->in_time,
			    0.95 * (usual->in_time + usual->late +
				    urgent->in_time + urgent->late));
}
END_TEST

/*
 * Half of the upstreams are lost for six seconds, while the load is a third
 * above the capacity of the others. Admitting all SYNs, or the last copies,
 * would make the answers late.
 */
START_TEST(admitted_requests_are_in_time_after_upstream_loss)
{
	static const enum overload_strategy others[] = { OVERLOAD_DEFER,
							 OVERLOAD_DEFER_ADMIT,
							 OVERLOAD_PLACE };
	struct placement_sim_options opt;
	struct placement_sim_result r;

	init_site_options(&opt);
	opt.requests_per_s = 300;
	opt.long_flows = 400;
	opt.lost_domains = 2;
	opt.lost_ms = 6000;
	simulate_placement(&opt, &r);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct placement_sim_result other;

		opt.overload = others[i];
		simulate_placement(&opt, &other);
		ck_assert_uint_gt(r.in_time, other.in_time);
		ck_assert_double_gt(placement_score(&r, 0.3),
				    placement_score(&other, 0.3));
		if (others[i] == OVERLOAD_PLACE)
			ck_assert_uint_lt(10 * r.shed, other.shed);
	}
}
END_TEST

/*
 * A domain and three upstreams of the others are lost while two and a half
 * times as many callers come. Of those that are not served, 95 % must know
 * within a quarter of the time in which their route aims to answer, and the
 * route that does not yield must lose none.
 */
START_TEST(refused_callers_are_told_early_in_overload)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result r;
		struct placement_sim_result left_to_copies;

		init_site_options(&opt);
		opt.seed = seed;
		opt.requests_per_s = 250;
		opt.long_flows = 300;
		opt.lost_domains = 1;
		opt.lost_upstreams = 3;
		opt.lost_ms = 8000;
		opt.burst = 2.5;
		opt.urgent_share = 0.25;
		opt.length_ms = 30000;
		simulate_placement(&opt, &r);
		opt.overload = OVERLOAD_DEFER;
		simulate_placement(&opt, &left_to_copies);
		ck_assert_uint_gt(r.failed, 0);
		ck_assert_uint_le(r.refusal_p95_ms,
				  opt.target_ms / 4 + COOKIE_TICK_MS);
		ck_assert_uint_le(r.urgent_failed, r.urgent_requests / 1000);
		ck_assert_uint_gt(r.in_time, left_to_copies.in_time);
		ck_assert_double_gt(placement_score(&r, 0.3),
				    placement_score(&left_to_copies, 0.3));
	}
}
END_TEST

START_TEST(upstream_is_crowded_if_answers_would_be_late)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS,
					     .target_ms = 375 };

	for (int i = 0; i < 9; i++) {
		ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
				 PLACE_LEAST_LOADED);
		note_flow_open(in.placer, a);
		note_request_start(in.placer, a);
	}
	/* three requests for each slot, of 50 ms each: 0.4 of the target */
	ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
			 PLACE_CROWDED);
	request.target_ms = 400;
	ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
			 PLACE_LEAST_LOADED);
}
END_TEST

/* Guards against slow upstreams that are filled like others, and idle slots. */
START_TEST(limit_of_load_follows_target_and_slowness)
{
	struct service_stats stats = { .mean_unqueued_ms = 50 };
	struct load_limits limits = get_load_limits(&stats, 150, 1, 0, true);

	ck_assert_double_eq(limits.crowded, 3);
	ck_assert_double_eq(limits.full, PLACEMENT_FULL_LOAD);
	limits = get_load_limits(&stats, 150, 2, 0, true);
	ck_assert_double_eq(limits.crowded, 1.5);
	ck_assert_double_eq(limits.full, 2.5);
	limits = get_load_limits(&stats, 150, 16, 0, true);
	ck_assert_double_eq(limits.crowded, 1);
	ck_assert_double_eq(limits.full, 2);
	/* room for urgent requests, but never so much that slots are idle */
	limits = get_load_limits(&stats, 150, 1, 0.5, true);
	ck_assert_double_eq(limits.crowded, 2.25);
	ck_assert_double_eq(limits.full, PLACEMENT_FULL_LOAD);
	limits = get_mean_load_limits(&stats, 150, 0.9);
	ck_assert_double_eq(limits.crowded, PLACEMENT_CROWDED_LOAD_MIN);
	ck_assert_double_eq(limits.full, PLACEMENT_MEAN_LOAD_MAX);
}
END_TEST

/*
 * Guards against a large fleet that places more than its upstreams bear because
 * reports are old, and against one whose instances all hold back at once.
 */
START_TEST(large_fleet_limits_mean_load)
{
	upstream_index_t up = put_upstream("u-a", "north", 0);
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS };
	struct upstream_load_row row = {
		.cookie = get_upstream(in.catalog, up)->cookie,
		.busy_flows = IN_FLIGHT_WEIGHT_ONE,
		.expected_flows = IN_FLIGHT_WEIGHT_ONE
	};
	uint64_t now_ms = 0;

	put_upstream("u-b", "north", 0);
	/* three requests for each of the six slots, in reports of 24 peers */
	while (now_ms < 10000) {
		now_ms += PLACEMENT_MEANS_INTERVAL_MS;
		for (uint64_t member = 100; member < 124; member++)
			handle_peer_loads(in.placer, member, &row, member < 118,
					  now_ms);
		tick_placer(in.placer, now_ms, checks);
	}
	/* this instance has none: less than its share */
	ck_assert_int_eq(place_new_flow(in.placer, &request, now_ms).reason,
			 PLACE_LEAST_LOADED);
	note_flow_open(in.placer, up);
	note_request_start(in.placer, up);
	ck_assert_int_eq(place_new_flow(in.placer, &request, now_ms).reason,
			 PLACE_FULL);
}
END_TEST

/*
 * Guards against a choice by the running mean alone, which does not show for a
 * second that peers have filled an upstream.
 */
START_TEST(large_fleet_avoids_upstream_that_filled_up)
{
	upstream_index_t full = put_upstream("u-a", "north", 0);
	upstream_index_t idle = put_upstream("u-b", "north", 0);
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS };
	struct upstream_load_row row = {
		.cookie = get_upstream(in.catalog, full)->cookie,
		.busy_flows = IN_FLIGHT_WEIGHT_ONE,
		.expected_flows = IN_FLIGHT_WEIGHT_ONE
	};

	for (uint64_t member = 100; member < 124; member++)
		handle_peer_loads(in.placer, member, &row, 1, 1000);
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(
			place_new_flow(in.placer, &request, 1000).upstream,
			idle);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("placement");
	TCase *tc = tcase_create("placement");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, own_domain_is_preferred_until_loaded);
	tcase_add_test(tc, peer_load_counts_until_it_times_out);
	tcase_add_loop_test(tc, idle_flows_are_not_counted_twice, 0, 3);
	tcase_add_test(tc, flow_that_would_miss_deadline_is_refused);
	tcase_add_test(tc, cold_upstream_stays_within_its_limit);
	tcase_add_test(tc, cold_upstream_warms_up_after_reported_time);
	tcase_add_test(tc, upstream_is_cold_after_domain_returns);
	tcase_add_test(tc, unsettled_view_grants_no_cold_quota);
	tcase_add_test(tc, suspect_upstream_is_avoided_until_alive);
	tcase_add_test(tc, sign_of_life_at_peer_clears_suspicion);
	tcase_add_test(tc, sign_of_life_is_not_passed_on);
	tcase_add_test(tc, persistent_suspicion_is_checked);
	tcase_add_test(tc, health_changes_are_reported_once);
	tcase_add_test(tc, several_silences_shorten_check_delay);
	tcase_add_test(tc, flow_progress_outweighs_refused_check);
	tcase_add_test(tc, unreachable_upstream_is_cut_off_if_others_answer);
	tcase_add_loop_test(tc, verdict_of_one_check_tells_its_evidence, 0, 2);
	tcase_add_test(tc, verdict_of_several_checks_tells_their_number);
	tcase_add_test(tc, sign_of_life_at_peer_after_verdict_is_told);
	tcase_add_test(tc, upstream_lost_at_peer_is_checked_at_once);
	tcase_add_test(tc, peer_report_causes_no_check_without_flows);
	tcase_add_test(tc, flow_progress_outweighs_peer_report);
	tcase_add_test(tc, checks_after_peer_reports_are_rate_limited);
	tcase_add_test(tc, instance_that_reaches_no_upstream_cuts_off_none);
	tcase_add_test(tc, checks_that_could_not_be_made_cut_off_no_upstream);
	tcase_add_loop_test(
		tc, check_that_began_before_a_restart_proves_nothing, 0, 2);
	tcase_add_test(tc, restarted_upstream_is_healthy_again);
	tcase_add_test(tc, cookie_collision_gives_flows_to_one_upstream);
	tcase_add_test(tc, shared_cookie_has_one_owner_at_all_instances);
	tcase_add_test(tc,
		       unreachable_upstream_is_cut_off_if_others_answer_slowly);
	tcase_add_test(tc, heaviest_load_is_answered_in_time);
	tcase_add_test(tc, waiting_syns_lose_fewer_requests_after_outage);
	tcase_add_test(tc, refused_callers_are_told_early_in_overload);
	tcase_add_test(tc, overloaded_fleet_answers_in_time_and_urgent_first);
	tcase_add_test(tc, admitted_requests_are_in_time_after_upstream_loss);
	tcase_add_test(tc, upstream_is_crowded_if_answers_would_be_late);
	tcase_add_test(tc, limit_of_load_follows_target_and_slowness);
	tcase_add_test(tc, large_fleet_limits_mean_load);
	tcase_add_test(tc, large_fleet_avoids_upstream_that_filled_up);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
