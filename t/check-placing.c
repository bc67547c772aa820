/* Tests of placing: load, doubt, cold starts, and whole days of load. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "t/cookie-bed.h"
#include "t/placing-world.h"

static struct bed_instance in;
static service_nr_t board;
static GArray *checks;

static void setup(void)
{
	init_bed_instance(&in, "front-1", "north");
	board = intern_service(in.catalog, "board");
	update_shares(in.shares, 0);
	checks = g_array_new(FALSE, FALSE, sizeof(upstream_nr_t));
}

static void teardown(void)
{
	release_bed_instance(&in);
	g_array_free(checks, TRUE);
}

static upstream_nr_t put(const char *name, const char *domain, uint64_t now_ms)
{
	struct upstream_report r = bed_report(name, domain);

	return bed_put(&in, &r, now_ms);
}

static upstream_nr_t put_cold(const char *name, uint32_t cold_ms,
			      uint64_t now_ms)
{
	struct upstream_report r = bed_report(name, "north");

	r.cold_ms = cold_ms;
	return bed_put(&in, &r, now_ms);
}

static struct placement place(uint64_t now_ms)
{
	struct placement_request wish = { .service = board,
					  .deadline_ms = BED_DEADLINE_MS };

	return place_new_flow(in.placing, &wish, now_ms);
}

static bool is_check_due(upstream_nr_t nr, uint64_t now_ms)
{
	g_array_set_size(checks, 0);
	tick_placing(in.placing, now_ms, checks);
	for (guint i = 0; i < checks->len; i++)
		if (g_array_index(checks, upstream_nr_t, i) == nr)
			return true;
	return false;
}

START_TEST(the_own_domain_goes_first_until_it_is_loaded)
{
	upstream_nr_t near = put("u-a", "north", 0);
	upstream_nr_t far = put("u-b", "south", 0);

	ck_assert_uint_eq(place(10).upstream, near);
	for (int i = 0; i < 3; i++) {
		note_flow_open(in.placing, near);
		note_request_start(in.placing, near);
	}
	ck_assert_uint_eq(place(10).upstream, far);
}
END_TEST

START_TEST(peers_load_counts_while_they_are_heard)
{
	upstream_nr_t a = put("u-a", "north", 0);
	upstream_nr_t b = put("u-b", "north", 0);
	struct load_row row = { get_upstream(in.catalog, a)->cookie, 9, 30, 0,
				HEALTH_GOOD };

	take_peer_loads(in.placing, 42, &row, 1, 1000);
	for (uint64_t t = 1000; t < 3000; t += PLACEMENT_MEANS_INTERVAL_MS)
		tick_placing(in.placing, t, checks);
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(place(3000).upstream, b);
	for (uint64_t t = 3000; t < 9000; t += PLACEMENT_MEANS_INTERVAL_MS)
		tick_placing(in.placing, t, checks);
	note_flow_open(in.placing, b);
	ck_assert_uint_eq(place(9000).upstream, a);
}
END_TEST

START_TEST(what_cannot_be_answered_in_time_is_refused)
{
	upstream_nr_t a = put("u-a", "north", 0);
	struct placement at;

	for (int i = 0; i < 100; i++)
		note_answer(in.placing, a, 100, 1000);
	for (int i = 0; i < 3 * 35; i++) {
		note_flow_open(in.placing, a);
		note_request_start(in.placing, a);
	}
	at = place(1000);
	ck_assert_uint_eq(at.upstream, CATALOG_NONE);
	ck_assert_int_eq(at.reason, PLACE_OVERLOADED);
	for (int i = 0; i < 3 * 10; i++)
		note_request_end(in.placing, a);
	ck_assert_uint_eq(place(1000).upstream, a);
}
END_TEST

START_TEST(a_cold_upstream_gets_no_more_than_it_bears)
{
	unsigned int placed = 0;

	put_cold("u-a", 60000, 0);
	bed_routes(in.catalog, 2, &(uint16_t){ BED_ROUTE_PORT }, 1, 7);
	for (uint64_t t = 5000; t < 15000; t += 5)
		placed += place(t).upstream != CATALOG_NONE;
	/* ten seconds, at most 7 in each */
	ck_assert_uint_le(placed, 70);
	ck_assert_uint_ge(placed, 50);
	ck_assert_int_eq(place(15000).reason, PLACE_ALL_COLD);
}
END_TEST

START_TEST(a_cold_upstream_warms_up_by_its_own_word)
{
	put_cold("u-a", 2000, 0);
	bed_routes(in.catalog, 2, &(uint16_t){ BED_ROUTE_PORT }, 1, 0);
	ck_assert_uint_eq(place(1999).upstream, CATALOG_NONE);
	ck_assert_uint_ne(place(2000).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(what_comes_back_from_being_out_counts_as_cold)
{
	put("u-a", "north", 0);
	bed_routes(in.catalog, 2, &(uint16_t){ BED_ROUTE_PORT }, 1, 0);
	set_catalog_domain_out(in.catalog, "north", true, 2600, 1000);
	ck_assert_int_eq(place(2000).reason, PLACE_NONE_LISTED);
	set_catalog_domain_out(in.catalog, "north", false, 2600, 5000);
	ck_assert_int_eq(place(5001).reason, PLACE_ALL_COLD);
	ck_assert_uint_ne(place(7600).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(one_that_woke_up_uses_no_share)
{
	put_cold("u-a", 60000, 0);
	set_view_settled(in.view, false);
	ck_assert_uint_eq(place(10000).upstream, CATALOG_NONE);
	set_view_settled(in.view, true);
	ck_assert_uint_ne(place(10000).upstream, CATALOG_NONE);
}
END_TEST

START_TEST(doubt_goes_behind_and_ends_with_life)
{
	upstream_nr_t a = put("u-a", "north", 0);
	upstream_nr_t b = put("u-b", "south", 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	ck_assert_uint_eq(place(1200).upstream, b);
	note_upstream_alive(in.placing, a, 1210);
	ck_assert_uint_eq(place(1210).upstream, a);
	/* what was sent before the last sign of life proves nothing */
	note_upstream_silent(in.placing, a, 1100, 1300);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
}
END_TEST

START_TEST(life_seen_by_a_peer_ends_a_doubt)
{
	upstream_nr_t a = put("u-a", "north", 0);
	struct load_row row = { get_upstream(in.catalog, a)->cookie, 0, 1, 20,
				HEALTH_GOOD };

	note_upstream_silent(in.placing, a, 1000, 1200);
	take_peer_loads(in.placing, 42, &row, 1, 1300);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
}
END_TEST

START_TEST(a_doubt_that_stays_is_checked)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	ck_assert(!is_check_due(a, 1200 + PLACEMENT_CHECK_DELAY_MS - 1));
	ck_assert(is_check_due(a, 1200 + PLACEMENT_CHECK_DELAY_MS));
	ck_assert(!is_check_due(a, 1210 + PLACEMENT_CHECK_DELAY_MS));
	note_check(in.placing, a, CHECK_REFUSED, 1500);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_DEAD);
	ck_assert_int_eq(place(1500).reason, PLACE_ALL_DEAD);
}
END_TEST

START_TEST(each_change_of_health_is_told_once)
{
	upstream_nr_t a = put("u-a", "north", 0);
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));
	const struct health_change *ch;

	note_upstream_alive(in.placing, a, 900);
	note_upstream_silent(in.placing, a, 1000, 1200);
	note_upstream_silent(in.placing, a, 1000, 1250);
	is_check_due(a, 1200 + PLACEMENT_CHECK_DELAY_MS);
	note_check(in.placing, a, CHECK_REFUSED, 1500);
	note_upstream_alive(in.placing, a, 1600);
	take_health_changes(in.placing, changes);
	ck_assert_uint_eq(changes->len, 3);
	ch = (const struct health_change *)(void *)changes->data;
	ck_assert_int_eq(ch[0].to, HEALTH_DOUBTED);
	ck_assert_int_eq(ch[1].to, HEALTH_DEAD);
	ck_assert_uint_eq(ch[1].signs, 2);
	ck_assert_uint_eq(ch[1].silent_ms, 600);
	ck_assert_int_eq(ch[2].to, HEALTH_GOOD);
	g_array_set_size(changes, 0);
	take_health_changes(in.placing, changes);
	ck_assert_uint_eq(changes->len, 0);
	g_array_free(changes, TRUE);
}
END_TEST

START_TEST(several_silent_flows_are_checked_sooner)
{
	upstream_nr_t a = put("u-a", "north", 0);

	for (int i = 0; i < PLACEMENT_SHORT_DELAY_SILENCES; i++)
		note_upstream_silent(in.placing, a, 1000, 1200);
	ck_assert(is_check_due(a, 1200 + PLACEMENT_SHORT_CHECK_DELAY_MS));
}
END_TEST

START_TEST(flows_that_go_on_outweigh_a_refused_check)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	ck_assert(is_check_due(a, 1200 + PLACEMENT_CHECK_DELAY_MS));
	note_upstream_alive(in.placing, a, 1450);
	note_check(in.placing, a, CHECK_REFUSED, 1460);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
}
END_TEST

/* Lets the check of NR that began at START_MS end in vain. */
static void check_in_vain(upstream_nr_t nr, uint64_t start_ms)
{
	ck_assert(is_check_due(nr, start_ms));
	note_check(in.placing, nr, CHECK_UNREACHABLE, start_ms + 350);
}

START_TEST(an_upstream_out_of_reach_is_cut_off_if_others_answer)
{
	upstream_nr_t a = put("u-a", "north", 0);
	upstream_nr_t b = put("u-b", "north", 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	for (uint64_t t = 1400; t < 2100; t += 351) {
		ck_assert_int_eq(placing_health(in.placing, a), HEALTH_DOUBTED);
		note_upstream_alive(in.placing, b, t + 100);
		check_in_vain(a, t);
	}
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_CUT_OFF);
}
END_TEST

static void hear_verdict(upstream_nr_t nr, enum upstream_health health,
			 uint64_t now_ms)
{
	struct load_row row = { get_upstream(in.catalog, nr)->cookie, 0, 1,
				2000, (uint8_t)health };

	take_peer_loads(in.placing, 42, &row, 1, now_ms);
}

START_TEST(what_a_peer_found_dead_is_checked_at_once)
{
	static const enum upstream_health verdicts[] = { HEALTH_DEAD,
							 HEALTH_CUT_OFF };

	for (size_t i = 0; i < G_N_ELEMENTS(verdicts); i++) {
		char name[] = { 'u', '-', (char)('a' + i), '\0' };
		upstream_nr_t a = put(name, "north", 0);

		note_upstream_alive(in.placing, a, 1000);
		note_flow_open(in.placing, a);
		hear_verdict(a, verdicts[i], 1500);
		ck_assert_int_eq(placing_health(in.placing, a), HEALTH_DOUBTED);
		ck_assert(is_check_due(a, 1500));
		note_check(in.placing, a, CHECK_REFUSED, 1510);
		ck_assert_int_eq(placing_health(in.placing, a), HEALTH_DEAD);
	}
}
END_TEST

START_TEST(a_peers_verdict_waits_for_a_flow_that_needs_it)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_upstream_alive(in.placing, a, 1000);
	hear_verdict(a, HEALTH_CUT_OFF, 1500);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
	note_moved_flow(in.placing, a, 1600);
	ck_assert(is_check_due(a, 1600));
}
END_TEST

START_TEST(flows_that_go_on_outweigh_a_peers_verdict)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_flow_open(in.placing, a);
	note_upstream_alive(in.placing, a, 1400);
	hear_verdict(a, HEALTH_CUT_OFF, 1500);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
}
END_TEST

START_TEST(a_check_that_contradicts_a_peer_is_not_repeated_for_a_while)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_flow_open(in.placing, a);
	hear_verdict(a, HEALTH_CUT_OFF, 1500);
	ck_assert(is_check_due(a, 1500));
	note_check(in.placing, a, CHECK_GOOD, 1510);
	for (uint64_t t = 1900; t < 1500 + PLACEMENT_PEER_RECHECK_MS; t += 50) {
		hear_verdict(a, HEALTH_CUT_OFF, t);
		ck_assert(!is_check_due(a, t));
	}
	hear_verdict(a, HEALTH_CUT_OFF, 1500 + PLACEMENT_PEER_RECHECK_MS);
	ck_assert(is_check_due(a, 1500 + PLACEMENT_PEER_RECHECK_MS));
}
END_TEST

START_TEST(an_instance_that_reaches_nobody_doubts_itself)
{
	upstream_nr_t a = put("u-a", "north", 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	for (uint64_t t = 1400; t < 9000; t += 900)
		check_in_vain(a, t);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_DOUBTED);
}
END_TEST

START_TEST(another_start_begins_without_blame)
{
	struct upstream_report r = bed_report("u-a", "north");
	upstream_nr_t a = bed_put(&in, &r, 0);

	note_upstream_silent(in.placing, a, 1000, 1200);
	is_check_due(a, 1200 + PLACEMENT_CHECK_DELAY_MS);
	note_check(in.placing, a, CHECK_REFUSED, 1500);
	r.start_ms = 2;
	bed_put(&in, &r, 4000);
	ck_assert_int_eq(placing_health(in.placing, a), HEALTH_GOOD);
}
END_TEST

START_TEST(two_ids_with_one_cookie_do_not_both_get_flows)
{
	struct upstream_report r = bed_report("u-a", "north");
	struct upstream_report q = bed_report("u-b", "north");
	upstream_nr_t a;
	upstream_nr_t b;

	r.id = 0x100000005;
	q.id = 0x400000000;
	ck_assert_uint_eq(make_cookie(r.id), make_cookie(q.id));
	b = bed_put(&in, &q, 0);
	a = bed_put(&in, &r, 0);
	for (int i = 0; i < 50; i++)
		ck_assert_uint_eq(place(10).upstream, a);
	ck_assert_uint_eq(find_by_cookie(in.catalog, make_cookie(r.id)), a);
	ck_assert(!accepts_flows(in.catalog, b));
}
END_TEST

/*
 * The heaviest load of the sites: half of the slots busy on average, a domain
 * with nearly twice the callers of the others. The bound is the users' aim
 * for the worth of a day.
 */
START_TEST(the_heaviest_load_is_served_in_time)
{
	struct placing_options opt;
	struct placing_result r;
	struct placing_result random;

	init_site_options(&opt);
	opt.requests_s = 400;
	opt.long_flows = 450;
	opt.skew = 1.8;
	play_placing(&opt, &r);
	ck_assert_uint_ge(r.in_aim, r.asked * 95 / 100);
	ck_assert_uint_le(r.shed + r.refused, r.asked / 200);
	opt.way = WAY_RANDOM;
	play_placing(&opt, &random);
	ck_assert_uint_gt(r.in_aim, random.in_aim);
	ck_assert_uint_lt(r.far, random.far / 2);
}
END_TEST

/*
 * After an outage all callers come back at once. Leaving SYNs to their copies
 * must lose fewer requests than letting upstreams shed them.
 */
START_TEST(after_an_outage_fewer_requests_are_lost)
{
	struct placing_options opt;
	struct placing_result r;
	struct placing_result shedding;

	init_site_options(&opt);
	opt.requests_s = 300;
	opt.long_flows = 300;
	opt.gap_ms = 2000;
	play_placing(&opt, &r);
	opt.no_defer = true;
	play_placing(&opt, &shedding);
	ck_assert_uint_lt(r.failed, shedding.failed);
	ck_assert_uint_ge(r.in_aim + r.late, shedding.in_aim + shedding.late);
}
END_TEST

/*
 * Half of the upstreams are lost for six seconds while callers ask for a third
 * more than the others bear.
 */
START_TEST(when_upstreams_are_lost_those_that_are_served_are_in_time)
{
	struct placing_options opt;
	struct placing_result r;
	struct placing_result admitting;
	struct placing_result shedding;

	init_site_options(&opt);
	opt.requests_s = 300;
	opt.long_flows = 400;
	opt.lost_domains = 2;
	opt.lost_ms = 6000;
	play_placing(&opt, &r);
	opt.admit_last = true;
	play_placing(&opt, &admitting);
	opt.no_defer = true;
	play_placing(&opt, &shedding);
	ck_assert_uint_gt(r.in_aim, admitting.in_aim);
	ck_assert_uint_gt(r.in_aim, shedding.in_aim);
	ck_assert_double_gt(placing_worth(&r, 0.3),
			    placing_worth(&admitting, 0.3));
	ck_assert_double_gt(placing_worth(&r, 0.3),
			    placing_worth(&shedding, 0.3));
	ck_assert_uint_lt(r.failed, shedding.failed);
	ck_assert_uint_lt(10 * r.shed, shedding.shed);
}
END_TEST

START_TEST(an_upstream_is_crowded_where_its_answer_would_be_late)
{
	upstream_nr_t a = put("u-a", "north", 0);
	struct placement_request wish = { .service = board,
					  .deadline_ms = BED_DEADLINE_MS,
					  .aim_ms = 150 };

	for (int i = 0; i < 9; i++) {
		ck_assert_int_eq(place_new_flow(in.placing, &wish, 0).reason,
				 PLACE_LEAST_LOADED);
		note_flow_open(in.placing, a);
		note_request_start(in.placing, a);
	}
	/* three requests a slot, of 50 ms each */
	ck_assert_int_eq(place_new_flow(in.placing, &wish, 0).reason,
			 PLACE_CROWDED);
	wish.aim_ms = 500;
	ck_assert_int_eq(place_new_flow(in.placing, &wish, 0).reason,
			 PLACE_LEAST_LOADED);
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
	tcase_add_test(tc, the_own_domain_goes_first_until_it_is_loaded);
	tcase_add_test(tc, peers_load_counts_while_they_are_heard);
	tcase_add_test(tc, what_cannot_be_answered_in_time_is_refused);
	tcase_add_test(tc, a_cold_upstream_gets_no_more_than_it_bears);
	tcase_add_test(tc, a_cold_upstream_warms_up_by_its_own_word);
	tcase_add_test(tc, what_comes_back_from_being_out_counts_as_cold);
	tcase_add_test(tc, one_that_woke_up_uses_no_share);
	tcase_add_test(tc, doubt_goes_behind_and_ends_with_life);
	tcase_add_test(tc, life_seen_by_a_peer_ends_a_doubt);
	tcase_add_test(tc, a_doubt_that_stays_is_checked);
	tcase_add_test(tc, each_change_of_health_is_told_once);
	tcase_add_test(tc, several_silent_flows_are_checked_sooner);
	tcase_add_test(tc, flows_that_go_on_outweigh_a_refused_check);
	tcase_add_test(tc,
		       an_upstream_out_of_reach_is_cut_off_if_others_answer);
	tcase_add_test(tc, what_a_peer_found_dead_is_checked_at_once);
	tcase_add_test(tc, a_peers_verdict_waits_for_a_flow_that_needs_it);
	tcase_add_test(tc, flows_that_go_on_outweigh_a_peers_verdict);
	tcase_add_test(
		tc,
		a_check_that_contradicts_a_peer_is_not_repeated_for_a_while);
	tcase_add_test(tc, an_instance_that_reaches_nobody_doubts_itself);
	tcase_add_test(tc, another_start_begins_without_blame);
	tcase_add_test(tc, two_ids_with_one_cookie_do_not_both_get_flows);
	tcase_add_test(tc, the_heaviest_load_is_served_in_time);
	tcase_add_test(tc, after_an_outage_fewer_requests_are_lost);
	tcase_add_test(
		tc, when_upstreams_are_lost_those_that_are_served_are_in_time);
	tcase_add_test(tc,
		       an_upstream_is_crowded_where_its_answer_would_be_late);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
