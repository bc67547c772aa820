/* Tests of the evidence about links between failure domains; see KNOWN-RED. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "t/cookie-harness.h"

static struct cookie_instance in;
static struct health_notices *notices;
static upstream_index_t board_a;

static void setup(void)
{
	struct upstream_report r = make_upstream_report("u-a", "north");

	init_cookie_instance(&in, "front-0", "north");
	set_test_member(&in, "front-1", "north", MEMBER_ALIVE);
	set_test_member(&in, "front-2", "south", MEMBER_ALIVE);
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
	struct health_notice n = { .kind = NOTICE_VERDICT,
				   .sender = "front-1",
				   .silent_ms = HEALTH_NEVER_MS };

	g_strlcpy(n.domain, domain, sizeof(n.domain));
	n.cookie = up->cookie;
	n.upstream_id = up->report.id;
	n.health = health;
	n.check_ms = check_ms;
	return n;
}

/* Guards against old verdicts kept in force by a refusal on a cut link. */
START_TEST(unconfirmed_check_renews_no_verdict)
{
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "south"));
	domain_index_t north = intern_domain(in.catalog, "north");
	struct upstream_report r = make_upstream_report("u-b", "south");
	struct health_notice n = make_verdict("north", HEALTH_DEAD, 20);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	upstream_index_t other;

	set_placer_links(in.placer, dl);
	other = put_test_upstream(&in, &r, 0);
	note_domain_heard(dl, north, 900, 10);
	note_upstream_silent(in.placer, board_a, 900, 950);
	handle_health_notice(in.placer, &n, 1000);
	ck_assert_int_eq(assessed_health(in.placer, board_a), HEALTH_DEAD);
	note_flow_in_doubt(in.placer, board_a, 6500);
	tick_placer(in.placer, 6500, checks);
	ck_assert_uint_ge(checks->len, 1);
	/* nothing is heard of the domain any more */
	note_upstream_answer(in.placer, other, 6530, 6540);
	note_check_result(in.placer, board_a,
			  _i ? CHECK_UNREACHABLE : CHECK_REFUSED,
			  _i ? 6850 : 6550);
	ck_assert(!may_end_flows(in.placer, board_a, 6900));
	g_array_free(checks, TRUE);
	destroy_domain_links(dl);
}
END_TEST

/* Guards against links that peers call cut as nobody answers one instance. */
START_TEST(check_while_nothing_is_answered_tells_peers_nothing)
{
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "south"));
	domain_index_t north = intern_domain(in.catalog, "north");
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));

	set_placer_links(in.placer, dl);
	note_domain_heard(dl, north, 1000, 10);
	note_domain_failed_check(dl, north, board_a, true);
	update_domain_links(dl, 3000);
	ck_assert_int_ne(domain_link_state(dl, north), LINK_UP);
	note_check_result(in.placer, board_a, CHECK_UNREACHABLE, 3350);
	pop_health_notices(notices, out);
	ck_assert_uint_eq(out->len, 0);
	g_array_free(out, TRUE);
	destroy_domain_links(dl);
}
END_TEST

/* Guards against resets by the checks of a peer alone, which may be cut off. */
START_TEST(link_checks_of_one_peer_reset_no_flow)
{
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "north"));
	domain_index_t south = intern_domain(in.catalog, "south");
	struct upstream_report r = make_upstream_report("u-far", "south");
	upstream_index_t far[2];
	struct health_notice n = make_verdict("north", HEALTH_UNREACHABLE, 350);

	far[0] = put_test_upstream(&in, &r, 0);
	r = make_upstream_report("u-far2", "south");
	far[1] = put_test_upstream(&in, &r, 0);
	set_placer_links(in.placer, dl);
	note_domain_heard(dl, south, 1000, 10);
	/* its instances were stopped; its upstreams run */
	n.kind = NOTICE_LINK_CHECK;
	update_domain_links(dl, 3000);
	for (int i = 0; i < 2; i++) {
		const struct catalog_upstream *up =
			get_upstream(in.catalog, far[i]);

		n.cookie = up->cookie;
		n.upstream_id = up->report.id;
		handle_health_notice(in.placer, &n, 3010);
	}
	update_domain_links(dl, 3020);
	ck_assert(!is_behind_cut_link(in.placer, far[0], 3030));
	destroy_domain_links(dl);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("link-evidence");
	TCase *tc = tcase_create("link-evidence");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, unconfirmed_check_renews_no_verdict, 0, 2);
	tcase_add_test(tc, check_while_nothing_is_answered_tells_peers_nothing);
	tcase_add_test(tc, link_checks_of_one_peer_reset_no_flow);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
