/*
 * Tests of net/edge-records with entries of upstreams from other writers than
 * these. Guards against open flows that move to another address, upstreams that
 * stay unused after their own next entry, and a list that is not followed on.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "t/edge-harness.h"

#define GOOD TEST_ENTRY("board", "10.0.0.1:9000", "north", "1000", "1")
#define ID 0xa1

static struct edge_instance ei;

static void setup(void)
{
	init_edge_instance(&ei);
	write_entry(&ei, "i-a1", GOOD);
}

static void teardown(void)
{
	release_edge_instance(&ei);
}

static const char *const unreadable[] = {
	"",
	"\xff\xfe",
	"[]",
	"{}",
	"{\"service\":\"board\"",
	TEST_ENTRY("board", "10.0.0.1:99999", "north", "1000", "2"),
	TEST_ENTRY("board", "10.0.0.1:-1", "north", "1000", "2"),
	TEST_ENTRY("board", "[2001:db8::1]:9000", "north", "1000", "2"),
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "-1000", "2"),
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "1e400", "2"),
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "99999999999999999999",
		   "2"),
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "1000", "\"2\""),
	TEST_ENTRY("bo\\u0000ard", "10.0.0.2:9000", "north", "1000", "2"),
};

START_TEST(unreadable_entry_neither_moves_open_flows_nor_lasts)
{
	ck_assert(takes_new_flows(&ei, ID));
	write_entry(&ei, "i-a1", unreadable[_i]);
	ck_assert(!takes_new_flows(&ei, ID));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	write_entry(&ei, "i-a2",
		    TEST_ENTRY("board", "10.0.0.2:9000", "north", "7", "1"));
	ck_assert(takes_new_flows(&ei, 0xa2));
	write_entry(&ei, "i-a1", GOOD);
	ck_assert(takes_new_flows(&ei, ID));
	write_entry(&ei, "i-a1", NULL);
	ck_assert(!takes_new_flows(&ei, ID));
}
END_TEST

START_TEST(deeply_nested_entry_is_refused)
{
	char *deep = g_strnfill(200000, '[');

	write_entry(&ei, "i-a1", deep);
	ck_assert(!takes_new_flows(&ei, ID));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	write_entry(&ei, "i-a1", GOOD);
	ck_assert(takes_new_flows(&ei, ID));
	g_free(deep);
}
END_TEST

static const char *const elsewhere[] = {
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "1000", "2"),
	TEST_ENTRY("board", "10.0.0.1:9001", "north", "1000", "2"),
	TEST_ENTRY("nobody", "10.0.0.1:9000", "north", "1000", "2"),
	TEST_ENTRY("board", "10.0.0.1:9000", "nowhere", "1000", "2"),
	TEST_ENTRY("nobody", "10.0.0.2:9000", "nowhere", "999", "2"),
	TEST_ENTRY("nobody", "10.0.0.2:9000", "north", "2000", "1"),
};

START_TEST(entry_without_a_new_start_moves_no_open_flow)
{
	for (int i = 0; i < 3; i++) {
		write_entry(&ei, "i-a1", elsewhere[_i]);
		ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
		ck_assert(!takes_new_flows(&ei, ID));
		ei.e->now_ms += TEST_LAPSE_MS - 1;
		tick_edge_records(ei.e);
		write_entry(&ei, "i-a1", GOOD);
		ck_assert(takes_new_flows(&ei, ID));
		ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
		ei.e->now_ms += TEST_LAPSE_MS;
		tick_edge_records(ei.e);
		ck_assert(takes_new_flows(&ei, ID));
	}
}
END_TEST

START_TEST(entry_that_outlasts_a_lapse_is_used)
{
	write_entry(&ei, "i-a1", elsewhere[0]);
	ei.e->now_ms += TEST_LAPSE_MS - 1;
	tick_edge_records(ei.e);
	ck_assert(!takes_new_flows(&ei, ID));
	ei.e->now_ms++;
	tick_edge_records(ei.e);
	ck_assert(takes_new_flows(&ei, ID));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.2:9000");
	write_entry(&ei, "i-a1", unreadable[0]);
	ei.e->now_ms += TEST_LAPSE_MS;
	tick_edge_records(ei.e);
	ck_assert(!takes_new_flows(&ei, ID));
}
END_TEST

START_TEST(restarted_upstream_is_used_at_its_new_address)
{
	write_entry(&ei, "i-a1", unreadable[5]);
	write_entry(&ei, "i-a1",
		    TEST_ENTRY("board", "10.0.0.3:9000", "south", "1001", "1"));
	ck_assert(takes_new_flows(&ei, ID));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.3:9000");
}
END_TEST

/* Guards against flows that stay moved after their upstream's own next entry. */
START_TEST(entry_of_the_owner_ends_one_of_another_writer_that_is_used)
{
	if (_i) {
		write_entry(&ei, "i-a1", elsewhere[0]);
		ei.e->now_ms += TEST_LAPSE_MS;
		tick_edge_records(ei.e);
	} else {
		write_entry(&ei, "i-a1",
			    TEST_ENTRY("board", "10.0.0.2:9000", "north",
				       "9000000", "1"));
	}
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.2:9000");
	ei.e->now_ms += TEST_HEARTBEAT_MS;
	write_entry(&ei, "i-a1",
		    TEST_ENTRY("board", "10.0.0.1:9000", "north", "1000", "3"));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(&ei, ID));
	/* the other writer does not get it back in the same way */
	write_entry(&ei, "i-a1", elsewhere[0]);
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
}
END_TEST

START_TEST(other_name_for_an_id_takes_no_flows_of_the_first)
{
	static const char *const names[] = { "b-a1", "x-00A1", "a1" };
	const char *other =
		TEST_ENTRY("board", "10.0.0.2:9000", "north", "2000", "1");

	/* the index of i-a9, before that of i-a1, becomes free */
	write_entry(&ei, "i-a1", NULL);
	ei.e->now_ms += TEST_ENTRY_TTL_MS + 1;
	expire_catalog(ei.e->catalog, ei.e->now_ms);
	write_entry(&ei, "i-a9", GOOD);
	write_entry(&ei, "i-a1", GOOD);
	write_entry(&ei, "i-a9", NULL);
	ei.e->now_ms += TEST_ENTRY_TTL_MS + 1;
	expire_catalog(ei.e->catalog, ei.e->now_ms);
	write_entry(&ei, names[_i], other);
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(&ei, ID));
	write_entry(&ei, names[_i], NULL);
	ck_assert(takes_new_flows(&ei, ID));
	write_entry(&ei, "i-a1", NULL);
	write_entry(&ei, names[_i], other);
	write_entry(&ei, "i-a1",
		    TEST_ENTRY("board", "10.0.0.3:9000", "north", "1500", "1"));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.3:9000");
	ck_assert(takes_new_flows(&ei, ID));
}
END_TEST

START_TEST(other_name_for_a_start_takes_no_flows_of_the_first)
{
	write_entry(&ei, "a-a1",
		    TEST_ENTRY("board", "10.0.0.2:9000", "north", "1000", "1"));
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(&ei, ID));
}
END_TEST

START_TEST(entry_of_a_restored_store_follows_an_unreadable_one)
{
	char key[] = "servers/i-a1";
	struct store_entry se = { .key = key,
				  .value = (void *)GOOD,
				  .len = strlen(GOOD),
				  .mod_revision = 5 };

	write_entry(&ei, "i-a1", unreadable[8]);
	ei.revision = 5;
	step_edge_instance(
		&ei, &(struct mirror_event){ .kind = MIRROR_PROCESS_RESUMED });
	answer_edge_instance(&ei, MIRROR_WATCH_ANSWER, 2, NULL, 0);
	answer_edge_instance(&ei, MIRROR_READ_DONE, 2, &se, 1);
	ck_assert(takes_new_flows(&ei, ID));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("odd entries");
	TCase *tc = tcase_create("odd entries");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc,
			    unreadable_entry_neither_moves_open_flows_nor_lasts,
			    0, G_N_ELEMENTS(unreadable));
	tcase_add_test(tc, deeply_nested_entry_is_refused);
	tcase_add_loop_test(tc, entry_without_a_new_start_moves_no_open_flow, 0,
			    G_N_ELEMENTS(elsewhere));
	tcase_add_test(tc, entry_that_outlasts_a_lapse_is_used);
	tcase_add_test(tc, restarted_upstream_is_used_at_its_new_address);
	tcase_add_loop_test(
		tc, entry_of_the_owner_ends_one_of_another_writer_that_is_used,
		0, 2);
	tcase_add_loop_test(
		tc, other_name_for_an_id_takes_no_flows_of_the_first, 0, 3);
	tcase_add_test(tc, other_name_for_a_start_takes_no_flows_of_the_first);
	tcase_add_test(tc, entry_of_a_restored_store_follows_an_unreadable_one);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
