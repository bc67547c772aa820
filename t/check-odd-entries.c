/*
 * Tests of net/edge-records with entries of upstreams from other writers than
 * these. Guards against open flows that move to another address, upstreams that
 * stay unused after their own next entry, and a list that is not followed on.
 */

#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/edge-state.h"
#include "t/cookie-harness.h"

#define HEARTBEAT_MS 1000
#define LAPSE_MS (3 * HEARTBEAT_MS + MIRROR_REMOVAL_HOLD_MS)
#define ENTRY(service, addr, zone, born, seq)                                  \
	"{\"service\":\"" service "\",\"addr\":\"" addr "\",\"zone\":\"" zone  \
	"\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","               \
	"\"warmupLeftMs\":0,\"seq\":" seq ",\"born\":" born "}"
#define GOOD ENTRY("board", "10.0.0.1:9000", "north", "1000", "1")
#define ID 0xa1

static struct cookie_instance in;
static struct edge *e;
static uint64_t revision;

/* Passes EV to the mirror and applies the changes that follow from it. */
static void step(const struct mirror_event *ev)
{
	GArray *actions =
		g_array_new(FALSE, FALSE, sizeof(struct mirror_action));

	step_mirror(e->mirror, ev, e->now_ms, actions);
	for (guint i = 0; i < actions->len; i++) {
		const struct mirror_action *a =
			&g_array_index(actions, struct mirror_action, i);

		if (a->kind == MIRROR_KEY_CHANGED ||
		    a->kind == MIRROR_KEY_REMOVED)
			apply_edge_change(e, a);
	}
	g_array_free(actions, TRUE);
}

/* The store answers to a read (KIND) of ERA, or tells a change of E. */
static void answer(enum mirror_event_kind kind, uint64_t era,
		   struct store_entry *se)
{
	struct store_answer a = { .era = era,
				  .revision = revision,
				  .entries = se,
				  .entry_nr = se ? 1 : 0 };

	step(&(struct mirror_event){ .kind = kind, .answer = &a });
}

/* Writes VALUE as the entry of upstream NAME, or removes it if VALUE is NULL */
static void write_entry(const char *name, const char *value)
{
	char key[64];
	struct store_entry se = { .key = key,
				  .value = (void *)value,
				  .len = value ? strlen(value) : 0,
				  .mod_revision = ++revision,
				  .deleted = !value };

	g_snprintf(key, sizeof(key), "servers/%s", name);
	answer(MIRROR_WATCH_ANSWER, 1, &se);
}

static void setup(void)
{
	init_cookie_instance(&in, "in-1", "north");
	e = g_new0(struct edge, 1);
	e->log = create_event_log(open("/dev/null", O_WRONLY | O_CLOEXEC));
	e->catalog = in.catalog;
	e->placement = in.placer;
	e->steering = in.steering;
	e->mirror = create_mirror(1);
	e->restored_records = create_restored_records();
	e->settings.bounds.heartbeat_ms = HEARTBEAT_MS;
	set_edge_hold_times(e);
	e->now_ms = 10000;
	revision = 10;
	step(&(struct mirror_event){ .kind = MIRROR_TICK });
	answer(MIRROR_READ_DONE, 1, NULL);
	write_entry("i-a1", GOOD);
}

static void teardown(void)
{
	destroy_restored_records(e->restored_records);
	destroy_mirror(e->mirror);
	destroy_event_log(e->log);
	g_free(e);
	release_cookie_instance(&in);
}

/* Where packets of open flows of the upstream with ID go. */
static const char *open_flow_address(uint64_t id)
{
	static char text[ENDPOINT_TEXT_MAX];
	const struct catalog_upstream *up = get_upstream(
		e->catalog,
		find_upstream_by_cookie(e->catalog, make_cookie(id)));

	ck_assert_ptr_nonnull(up);
	ck_assert_uint_eq(up->report.id, id);
	return format_endpoint(&up->report.address, text);
}

static bool takes_new_flows(uint64_t id)
{
	return accepts_flows(e->catalog, find_upstream_by_cookie(
						 e->catalog, make_cookie(id)));
}

static const char *const unreadable[] = {
	"",
	"\xff\xfe",
	"[]",
	"{}",
	"{\"service\":\"board\"",
	ENTRY("board", "10.0.0.1:99999", "north", "1000", "2"),
	ENTRY("board", "10.0.0.1:-1", "north", "1000", "2"),
	ENTRY("board", "[2001:db8::1]:9000", "north", "1000", "2"),
	ENTRY("board", "10.0.0.2:9000", "north", "-1000", "2"),
	ENTRY("board", "10.0.0.2:9000", "north", "1e400", "2"),
	ENTRY("board", "10.0.0.2:9000", "north", "99999999999999999999", "2"),
	ENTRY("board", "10.0.0.2:9000", "north", "1000", "\"2\""),
	ENTRY("bo\\u0000ard", "10.0.0.2:9000", "north", "1000", "2"),
};

START_TEST(unreadable_entry_neither_moves_open_flows_nor_lasts)
{
	ck_assert(takes_new_flows(ID));
	write_entry("i-a1", unreadable[_i]);
	ck_assert(!takes_new_flows(ID));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
	write_entry("i-a2", ENTRY("board", "10.0.0.2:9000", "north", "7", "1"));
	ck_assert(takes_new_flows(0xa2));
	write_entry("i-a1", GOOD);
	ck_assert(takes_new_flows(ID));
	write_entry("i-a1", NULL);
	ck_assert(!takes_new_flows(ID));
}
END_TEST

START_TEST(deeply_nested_entry_is_refused)
{
	char *deep = g_strnfill(200000, '[');

	write_entry("i-a1", deep);
	ck_assert(!takes_new_flows(ID));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
	write_entry("i-a1", GOOD);
	ck_assert(takes_new_flows(ID));
	g_free(deep);
}
END_TEST

static const char *const elsewhere[] = {
	ENTRY("board", "10.0.0.2:9000", "north", "1000", "2"),
	ENTRY("board", "10.0.0.1:9001", "north", "1000", "2"),
	ENTRY("nobody", "10.0.0.1:9000", "north", "1000", "2"),
	ENTRY("board", "10.0.0.1:9000", "nowhere", "1000", "2"),
	ENTRY("nobody", "10.0.0.2:9000", "nowhere", "999", "2"),
	ENTRY("nobody", "10.0.0.2:9000", "north", "2000", "1"),
};

START_TEST(entry_without_a_new_start_moves_no_open_flow)
{
	for (int i = 0; i < 3; i++) {
		write_entry("i-a1", elsewhere[_i]);
		ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
		ck_assert(!takes_new_flows(ID));
		e->now_ms += LAPSE_MS - 1;
		tick_edge_records(e);
		write_entry("i-a1", GOOD);
		ck_assert(takes_new_flows(ID));
		ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
		e->now_ms += LAPSE_MS;
		tick_edge_records(e);
		ck_assert(takes_new_flows(ID));
	}
}
END_TEST

START_TEST(entry_that_outlasts_a_lapse_is_used)
{
	write_entry("i-a1", elsewhere[0]);
	e->now_ms += LAPSE_MS - 1;
	tick_edge_records(e);
	ck_assert(!takes_new_flows(ID));
	e->now_ms++;
	tick_edge_records(e);
	ck_assert(takes_new_flows(ID));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.2:9000");
	write_entry("i-a1", unreadable[0]);
	e->now_ms += LAPSE_MS;
	tick_edge_records(e);
	ck_assert(!takes_new_flows(ID));
}
END_TEST

START_TEST(restarted_upstream_is_used_at_its_new_address)
{
	write_entry("i-a1", unreadable[5]);
	write_entry("i-a1",
		    ENTRY("board", "10.0.0.3:9000", "south", "1001", "1"));
	ck_assert(takes_new_flows(ID));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.3:9000");
}
END_TEST

/* Guards against flows that stay moved after their upstream's own next entry. */
START_TEST(entry_of_the_owner_ends_one_of_another_writer_that_is_used)
{
	if (_i) {
		write_entry("i-a1", elsewhere[0]);
		e->now_ms += LAPSE_MS;
		tick_edge_records(e);
	} else {
		write_entry("i-a1", ENTRY("board", "10.0.0.2:9000", "north",
					  "9000000", "1"));
	}
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.2:9000");
	e->now_ms += HEARTBEAT_MS;
	write_entry("i-a1",
		    ENTRY("board", "10.0.0.1:9000", "north", "1000", "3"));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(ID));
	/* the other writer does not get it back in the same way */
	write_entry("i-a1", elsewhere[0]);
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
}
END_TEST

START_TEST(other_name_for_an_id_takes_no_flows_of_the_first)
{
	static const char *const names[] = { "b-a1", "x-00A1", "a1" };
	const char *other =
		ENTRY("board", "10.0.0.2:9000", "north", "2000", "1");

	/* the index of i-a9, before that of i-a1, becomes free */
	write_entry("i-a1", NULL);
	e->now_ms += TEST_ENTRY_TTL_MS + 1;
	expire_catalog(e->catalog, e->now_ms);
	write_entry("i-a9", GOOD);
	write_entry("i-a1", GOOD);
	write_entry("i-a9", NULL);
	e->now_ms += TEST_ENTRY_TTL_MS + 1;
	expire_catalog(e->catalog, e->now_ms);
	write_entry(names[_i], other);
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(ID));
	write_entry(names[_i], NULL);
	ck_assert(takes_new_flows(ID));
	write_entry(names[_i], other);
	write_entry("i-a1",
		    ENTRY("board", "10.0.0.3:9000", "north", "3000", "1"));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.3:9000");
	ck_assert(takes_new_flows(ID));
}
END_TEST

START_TEST(other_name_for_a_start_takes_no_flows_of_the_first)
{
	write_entry("a-a1",
		    ENTRY("board", "10.0.0.2:9000", "north", "1000", "1"));
	ck_assert_str_eq(open_flow_address(ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(ID));
}
END_TEST

START_TEST(entry_of_a_restored_store_follows_an_unreadable_one)
{
	char key[] = "servers/i-a1";
	struct store_entry se = { .key = key,
				  .value = (void *)GOOD,
				  .len = strlen(GOOD),
				  .mod_revision = 5 };

	write_entry("i-a1", unreadable[8]);
	revision = 5;
	step(&(struct mirror_event){ .kind = MIRROR_PROCESS_RESUMED });
	answer(MIRROR_WATCH_ANSWER, 2, NULL);
	answer(MIRROR_READ_DONE, 2, &se);
	ck_assert(takes_new_flows(ID));
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
