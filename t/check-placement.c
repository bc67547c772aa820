/* Tests of placement: load, health of upstreams, cold starts, simulations. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/cookie-harness.h"
#include "t/placement-simulation.h"

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

static bool is_check_requested(upstream_index_t nr, uint64_t now_ms)
{
	g_array_set_size(checks, 0);
	tick_placer(in.placer, now_ms, checks);
	for (guint i = 0; i < checks->len; i++)
		if (g_array_index(checks, upstream_index_t, i) == nr)
			return true;
	return false;
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
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 9, 30, 0, HEALTH_GOOD, 0
	};

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
		note_upstream_alive(in.placer, b, t + 100);
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
				  SIM_TARGET_MS / 4 + COOKIE_TICK_MS);
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
					     .target_ms = 150 };

	for (int i = 0; i < 9; i++) {
		ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
				 PLACE_LEAST_LOADED);
		note_flow_open(in.placer, a);
		note_request_start(in.placer, a);
	}
	/* three requests for each slot, of 50 ms each */
	ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
			 PLACE_CROWDED);
	request.target_ms = 500;
	ck_assert_int_eq(place_new_flow(in.placer, &request, 0).reason,
			 PLACE_LEAST_LOADED);
}
END_TEST

/*
 * A fifth of the upstreams is six times as slow for eight seconds. They must
 * get less work before their queues show it, and work again afterwards.
 */
START_TEST(slow_upstreams_get_less_work)
{
	struct placement_sim_result by_load = { 0 };
	struct placement_sim_result sum = { 0 };

	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result r;

		init_fleet_options(&opt);
		opt.seed = seed;
		opt.slow_upstreams = 12;
		opt.slow_factor = 6;
		simulate_placement(&opt, &r);
		by_load.impaired_requests += r.impaired_requests;
		by_load.recovered_requests += r.recovered_requests;
		by_load.late_new += r.late_new;
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		sum.impaired_requests += r.impaired_requests;
		sum.recovered_requests += r.recovered_requests;
		sum.late_new += r.late_new;
	}
	ck_assert_uint_lt(5 * sum.impaired_requests,
			  4 * by_load.impaired_requests);
	ck_assert_uint_gt(sum.impaired_requests, 0);
	ck_assert_uint_lt(sum.late_new, by_load.late_new);
	ck_assert_uint_ge(3 * sum.recovered_requests,
			  2 * by_load.recovered_requests);
}
END_TEST

/*
 * A fifth of the upstreams answers half of its requests with an error after
 * 3 ms for eight seconds, and looks idle. Requests that are not retried must
 * not be lost by it, and the upstreams must be used again afterwards.
 */
START_TEST(failing_upstreams_get_few_unsafe_requests)
{
	struct placement_sim_result by_load = { 0 };
	struct placement_sim_result sum = { 0 };

	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result r;

		init_fleet_options(&opt);
		opt.seed = seed;
		opt.failing_upstreams = 12;
		opt.failing_share = 0.5;
		simulate_placement(&opt, &r);
		by_load.unsafe_failed += r.unsafe_failed;
		by_load.recovered_requests += r.recovered_requests;
		by_load.late += r.late;
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		sum.unsafe_failed += r.unsafe_failed;
		sum.recovered_requests += r.recovered_requests;
		sum.late += r.late;
	}
	ck_assert_uint_lt(3 * sum.unsafe_failed, by_load.unsafe_failed);
	ck_assert_uint_ge(3 * sum.recovered_requests,
			  2 * by_load.recovered_requests);
	ck_assert_uint_lt(10 * sum.late, 12 * by_load.late);
}
END_TEST

/* Reports that half of the responses of NR were suspicious, the last now. */
static void receive_suspicious_report(uint64_t member, upstream_index_t nr,
				      uint64_t now_ms)
{
	/* typical times, 8 responses, 4 suspicious ones, age 0 */
	struct upstream_load_row row = { get_upstream(in.catalog, nr)->cookie,
					 0,
					 0,
					 0,
					 HEALTH_GOOD,
					 0x4810 };

	handle_peer_loads(in.placer, member, &row, 1, now_ms);
	tick_placer(in.placer, now_ms, checks);
}

/* Number of 40 new flows that are placed on NR. */
static unsigned int count_flows_to(upstream_index_t nr, bool repeatable,
				   uint64_t now_ms)
{
	struct placement_request request = { .service = board,
					     .deadline_ms = TEST_DEADLINE_MS,
					     .repeatable = repeatable };
	unsigned int n = 0;

	for (int i = 0; i < 40; i++)
		n += place_new_flow(in.placer, &request, now_ms).upstream == nr;
	return n;
}

static void put_compared_upstreams(upstream_index_t up[4])
{
	static const char *const names[] = { "u-a", "u-b", "u-c", "u-d" };

	set_placer_quality(in.placer, true);
	set_test_member(&in, "front-2", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-3", "south", MEMBER_ALIVE);
	set_test_member(&in, "front-4", "south", MEMBER_ALIVE);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		up[i] = put_upstream(names[i], "north", 0);
}

/* One instance may mistake usual responses; two hardly do at once. */
START_TEST(one_instance_alone_makes_no_upstream_failing)
{
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_suspicious_report(42, up[0], 1000);
	ck_assert_uint_gt(count_flows_to(up[0], false, 1000), 0);
	receive_suspicious_report(43, up[0], 1100);
	ck_assert_uint_eq(count_flows_to(up[0], false, 1100), 0);
	ck_assert_uint_lt(count_flows_to(up[0], true, 1100), 8);
}
END_TEST

/* Without new errors a verdict ends, so that a recovered one is used again. */
START_TEST(failing_upstream_is_used_again_without_errors)
{
	upstream_index_t up[4];

	put_compared_upstreams(up);
	receive_suspicious_report(42, up[0], 1000);
	receive_suspicious_report(43, up[0], 1000);
	tick_placer(in.placer, 2400, checks);
	ck_assert_uint_eq(count_flows_to(up[0], false, 2400), 0);
	tick_placer(in.placer, 2600, checks);
	ck_assert_uint_gt(count_flows_to(up[0], false, 2600), 0);
}
END_TEST

/* If half of the upstreams fail, the others cannot bear the load. */
START_TEST(many_failing_upstreams_are_used_alike)
{
	upstream_index_t up[4];
	unsigned int placed;

	put_compared_upstreams(up);
	for (uint64_t member = 42; member <= 43; member++) {
		struct upstream_load_row rows[2] = { { 0 } };

		for (size_t i = 0; i < 2; i++) {
			rows[i].cookie =
				get_upstream(in.catalog, up[i])->cookie;
			rows[i].quality = 0x4810;
		}
		handle_peer_loads(in.placer, member, rows, 2, 1000);
	}
	tick_placer(in.placer, 1000, checks);
	placed = count_flows_to(up[0], false, 1000) +
		 count_flows_to(up[1], false, 1000);
	ck_assert_uint_gt(placed, 8);
}
END_TEST

/* Without slow upstreams no choice may differ. */
START_TEST(usual_upstreams_are_chosen_by_load_only)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct placement_sim_options opt;
		struct placement_sim_result by_load;
		struct placement_sim_result r;

		init_fleet_options(&opt);
		opt.seed = seed;
		simulate_placement(&opt, &by_load);
		opt.quality = QUALITY_COMPLETION;
		simulate_placement(&opt, &r);
		ck_assert_mem_eq(&r, &by_load, sizeof(r));
	}
}
END_TEST

/* One instance whose observations are wrong must not divert all others. */
START_TEST(one_instance_alone_makes_no_upstream_slow)
{
	upstream_index_t a = put_upstream("u-a", "north", 0);
	struct upstream_load_row row = {
		get_upstream(in.catalog, a)->cookie, 0, 0, 0, HEALTH_GOOD, 0xfff
	};

	set_placer_quality(in.placer, true);
	set_test_member(&in, "front-2", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-3", "south", MEMBER_ALIVE);
	set_test_member(&in, "front-4", "south", MEMBER_ALIVE);
	put_upstream("u-b", "north", 0);
	handle_peer_loads(in.placer, 42, &row, 1, 1000);
	tick_placer(in.placer, 1000, checks);
	ck_assert_double_eq(upstream_slowness(in.placer, a), 1);
	handle_peer_loads(in.placer, 43, &row, 1, 1100);
	tick_placer(in.placer, 1100, checks);
	ck_assert_double_gt(upstream_slowness(in.placer, a), 4);
	/* what peers reported is forgotten with them */
	tick_placer(in.placer, 9000, checks);
	ck_assert_double_eq(upstream_slowness(in.placer, a), 1);
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
	tcase_add_test(tc, flow_that_would_miss_deadline_is_refused);
	tcase_add_test(tc, cold_upstream_stays_within_its_limit);
	tcase_add_test(tc, cold_upstream_warms_up_after_reported_time);
	tcase_add_test(tc, upstream_is_cold_after_domain_returns);
	tcase_add_test(tc, unsettled_view_grants_no_cold_quota);
	tcase_add_test(tc, suspect_upstream_is_avoided_until_alive);
	tcase_add_test(tc, sign_of_life_at_peer_clears_suspicion);
	tcase_add_test(tc, persistent_suspicion_is_checked);
	tcase_add_test(tc, health_changes_are_reported_once);
	tcase_add_test(tc, several_silences_shorten_check_delay);
	tcase_add_test(tc, flow_progress_outweighs_refused_check);
	tcase_add_test(tc, slow_upstreams_get_less_work);
	tcase_add_test(tc, failing_upstreams_get_few_unsafe_requests);
	tcase_add_test(tc, one_instance_alone_makes_no_upstream_failing);
	tcase_add_test(tc, failing_upstream_is_used_again_without_errors);
	tcase_add_test(tc, many_failing_upstreams_are_used_alike);
	tcase_add_test(tc, usual_upstreams_are_chosen_by_load_only);
	tcase_add_test(tc, one_instance_alone_makes_no_upstream_slow);
	tcase_add_test(tc, unreachable_upstream_is_cut_off_if_others_answer);
	tcase_add_test(tc, upstream_lost_at_peer_is_checked_at_once);
	tcase_add_test(tc, peer_report_causes_no_check_without_flows);
	tcase_add_test(tc, flow_progress_outweighs_peer_report);
	tcase_add_test(tc, checks_after_peer_reports_are_rate_limited);
	tcase_add_test(tc, instance_that_reaches_no_upstream_cuts_off_none);
	tcase_add_test(tc, restarted_upstream_is_healthy_again);
	tcase_add_test(tc, cookie_collision_gives_flows_to_one_upstream);
	tcase_add_test(tc, heaviest_load_is_answered_in_time);
	tcase_add_test(tc, waiting_syns_lose_fewer_requests_after_outage);
	tcase_add_test(tc, refused_callers_are_told_early_in_overload);
	tcase_add_test(tc, admitted_requests_are_in_time_after_upstream_loss);
	tcase_add_test(tc, upstream_is_crowded_if_answers_would_be_late);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
