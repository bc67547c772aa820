/* Tests of when an instance asks routers to use other instances. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "flow/isolation.h"
#include "t/cookie-harness.h"

#define STEP_MS 10
#define HEARD_INTERVAL_MS 100 /* between heartbeats of the other domain */
#define SILENCE_MS (DOMAIN_LINK_MISSES * HEARD_INTERVAL_MS)

static struct cookie_instance in;
static struct isolation is;
static struct domain_links *links;
static uint64_t last_heard_ms; /* of another domain */
static uint64_t updated_ms;
static upstream_index_t own;
static upstream_index_t remote;

static void setup(void)
{
	struct upstream_report r = make_upstream_report("u-own", "north");

	init_cookie_instance(&in, "front-1", "north");
	memset(&is, 0, sizeof(is));
	own = put_test_upstream(&in, &r, 1);
	r = make_upstream_report("u-remote", "south");
	remote = put_test_upstream(&in, &r, 1);
	last_heard_ms = 0;
	updated_ms = 1000;
	links = create_domain_links(intern_domain(in.catalog, "north"));
	set_placer_links(in.placer, links);
}

static void teardown(void)
{
	release_cookie_instance(&in);
	destroy_domain_links(links);
}

static void update_at(uint64_t now_ms)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	if (last_heard_ms)
		note_domain_heard(links, intern_domain(in.catalog, "south"),
				  last_heard_ms, HEARD_INTERVAL_MS);
	tick_placer(in.placer, now_ms, checks);
	g_array_free(checks, TRUE);
	update_isolation(&is, links, in.placer, now_ms);
}

static bool isolated_at(uint64_t now_ms)
{
	while (updated_ms + STEP_MS < now_ms)
		update_at(updated_ms += STEP_MS);
	update_at(updated_ms = now_ms);
	return is.isolated;
}

static void fail_check(upstream_index_t nr, uint64_t now_ms)
{
	note_upstream_silent(in.placer, nr, now_ms, now_ms);
	note_check_result(in.placer, nr, CHECK_REFUSED, now_ms);
}

/* NR is found dead while the other domain is heard, until NOW_MS. */
static void lose_upstream(upstream_index_t nr, uint64_t now_ms)
{
	fail_check(nr, now_ms - 20);
	if (last_heard_ms) {
		last_heard_ms = now_ms;
		update_at(now_ms);
	}
	fail_check(nr, now_ms);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_DEAD);
}

/* The other domain falls silent at NOW_MS, and the own upstreams are out. */
static void cut_off(uint64_t now_ms)
{
	last_heard_ms = now_ms;
	ck_assert(!isolated_at(now_ms));
	set_catalog_domain_out(in.catalog, "north", true, 0, now_ms);
	fail_check(remote, now_ms);
	ck_assert_int_eq(assessed_health(in.placer, remote), HEALTH_SUSPECTED);
}

START_TEST(isolated_without_other_domains_and_upstreams)
{
	cut_off(1000);
	ck_assert(!isolated_at(1000 + SILENCE_MS - 1));
	ck_assert(isolated_at(1000 + SILENCE_MS));
	ck_assert(isolated_at(60000));
}
END_TEST

START_TEST(own_upstreams_suffice)
{
	cut_off(1000);
	set_catalog_domain_out(in.catalog, "north", false, 0, 1000);
	ck_assert(!isolated_at(2000));
}
END_TEST

/* If all upstreams are lost everywhere, no instance is better than others. */
START_TEST(lost_upstreams_alone_do_not_isolate)
{
	last_heard_ms = 1000;
	lose_upstream(own, 1000);
	lose_upstream(remote, 1000);
	for (; last_heard_ms < 1500; last_heard_ms += HEARD_INTERVAL_MS)
		ck_assert(!isolated_at(last_heard_ms));
}
END_TEST

START_TEST(fleet_of_one_domain_is_never_isolated)
{
	lose_upstream(own, 1000);
	lose_upstream(remote, 1000);
	ck_assert(!isolated_at(5000));
}
END_TEST

START_TEST(ends_when_link_returns)
{
	cut_off(1000);
	ck_assert(isolated_at(2000));
	last_heard_ms = 2010;
	ck_assert(!isolated_at(2020));
}
END_TEST

/* The other domain's upstreams were dead before it fell silent. */
static void cut_off_without_upstreams(uint64_t now_ms)
{
	last_heard_ms = now_ms - 100;
	lose_upstream(remote, now_ms);
	ck_assert(!isolated_at(now_ms));
	set_catalog_domain_out(in.catalog, "north", true, 0, now_ms);
}

START_TEST(ends_when_upstreams_are_reached)
{
	cut_off_without_upstreams(1000);
	ck_assert(isolated_at(2000));
	last_heard_ms = 2010;
	ck_assert(isolated_at(2020));
	note_upstream_alive(in.placer, remote, 2030);
	ck_assert(!isolated_at(2040));
}
END_TEST

START_TEST(ends_soon_after_other_domains_are_heard)
{
	uint64_t end_ms = 2000 + ISOLATION_END_MS;

	cut_off_without_upstreams(1000);
	ck_assert(isolated_at(2000));
	for (last_heard_ms = 2000; last_heard_ms < end_ms;
	     last_heard_ms += HEARD_INTERVAL_MS)
		ck_assert(isolated_at(last_heard_ms));
	ck_assert(isolated_at(end_ms - 1));
	ck_assert(!isolated_at(end_ms));
	/* it does not begin again while they are heard */
	ck_assert(!isolated_at(end_ms + 100));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("isolation");
	TCase *tc = tcase_create("isolation");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, isolated_without_other_domains_and_upstreams);
	tcase_add_test(tc, own_upstreams_suffice);
	tcase_add_test(tc, lost_upstreams_alone_do_not_isolate);
	tcase_add_test(tc, fleet_of_one_domain_is_never_isolated);
	tcase_add_test(tc, ends_when_link_returns);
	tcase_add_test(tc, ends_when_upstreams_are_reached);
	tcase_add_test(tc, ends_soon_after_other_domains_are_heard);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
