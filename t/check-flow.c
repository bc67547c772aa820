/* Tests of the flow table, stall and partition detection, and routes. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "flow/partition.h"
#include "flow/packet.h"
#include "flow/stall.h"
#include "flow/route.h"
#include "flow/table.h"

#define SERVICE 7
#define WALL_S 1000000

START_TEST(full_table_evicts_replica_records_last)
{
	struct flow_table *t = create_flow_table(60);
	struct flow_entry *e;
	bool lost;

	for (uint64_t i = 1; i <= 60; i++) {
		e = add_flow(t, i, SERVICE, 100, &lost);
		e->kind = i <= 20   ? ENTRY_REPLICA
			  : i <= 40 ? ENTRY_CACHED
				    : ENTRY_AT_BASE;
	}
	for (uint64_t i = 1001; i <= 1040; i++) {
		e = add_flow(t, i, SERVICE, 200, &lost);
		e->kind = ENTRY_REPLICA;
		ck_assert(!lost);
	}
	for (uint64_t i = 1; i <= 20; i++)
		ck_assert_ptr_nonnull(find_flow(t, i, SERVICE));
	add_flow(t, 2000, SERVICE, 300, &lost);
	ck_assert(lost);
	ck_assert_uint_eq(flow_table_count(t), 60);
	destroy_flow_table(t);
}
END_TEST

START_TEST(removal_keeps_other_entries_findable)
{
	struct flow_table *t = create_flow_table(5000);
	bool lost;

	/* all hash to one of four indexes, so that probe sequences overlap */
	for (uint64_t i = 1; i <= 2000; i++)
		add_flow(t, i << 20 | (i & 3), SERVICE, 0, &lost);
	for (uint64_t i = 1; i <= 2000; i += 2)
		remove_flow(t, find_flow(t, i << 20 | (i & 3), SERVICE));
	for (uint64_t i = 1; i <= 2000; i++)
		ck_assert((find_flow(t, i << 20 | (i & 3), SERVICE) != NULL) ==
			  (i % 2 == 0));
	ck_assert_ptr_null(find_flow(t, 2 << 20 | 2, SERVICE + 1));
	destroy_flow_table(t);
}
END_TEST

static bool detect_stall_of_data(struct stall_detector *sd, uint32_t seq,
				 uint16_t payload, uint64_t now_ms)
{
	struct packet p = { .protocol = FLOW_TCP,
			    .flags = TCP_ACK,
			    .seq = seq,
			    .payload_len = payload,
			    .hash = 0x1234567890abcdefULL };

	return detect_stall(sd, &p, now_ms);
}

START_TEST(only_late_retransmissions_are_a_stall)
{
	struct stall_detector *sd = create_stall_detector(64);

	ck_assert(!detect_stall_of_data(sd, 100, 10, 1000));
	ck_assert(!detect_stall_of_data(sd, 100, 10, 1000 + STALL_MS / 2));
	ck_assert(!detect_stall_of_data(sd, 110, 10, 1000 + STALL_MS));
	ck_assert(!detect_stall_of_data(sd, 110, 10, 2000 + STALL_MS));
	ck_assert(!detect_stall_of_data(sd, 119, 1, 90000)); /* a keep-alive */
	ck_assert(!detect_stall_of_data(sd, 119, 0, 90000));
	ck_assert(detect_stall_of_data(sd, 110, 10, 90000));
	destroy_stall_detector(sd);
}
END_TEST

static void put_test_member(struct view *v, const char *name,
			    const char *domain, enum member_state state)
{
	struct member m = { .state = state };

	m.id = service_id(name);
	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.domain, domain, sizeof(m.domain));
	set_view_member(v, &m);
}

START_TEST(domain_without_live_members_is_partitioned)
{
	struct view *v = create_view(service_id("a"));
	struct partition_watch *pw = create_partition_watch();

	put_test_member(v, "a", "north", MEMBER_ALIVE);
	put_test_member(v, "b", "south", MEMBER_DEAD);
	put_test_member(v, "c", "south", MEMBER_ALIVE);
	update_partition_watch(pw, v, 1000);
	ck_assert(!is_partitioned(pw, "south", 1000));
	put_test_member(v, "c", "south", MEMBER_DEAD);
	update_partition_watch(pw, v, 2000);
	ck_assert(is_partitioned(pw, "south", 2000));
	ck_assert(!is_partitioned(pw, "north", 2000));
	put_test_member(v, "c", "south", MEMBER_ALIVE);
	update_partition_watch(pw, v, 3000);
	ck_assert(is_partitioned(pw, "south", 2000 + PARTITION_GRACE_MS));
	ck_assert(!is_partitioned(pw, "south", 2001 + PARTITION_GRACE_MS));
	destroy_partition_watch(pw);
	destroy_view(v);
}
END_TEST

/* Input from which one instance computes routes. */
struct route_env {
	struct view *view;
	struct quotas *quotas;
	struct unsettled_marks *marks;
	struct route_inputs in;
};

static void init_route_env(struct route_env *env, uint64_t wall_s)
{
	env->view = create_view(service_id("a"));
	put_test_member(env->view, "a", "north", MEMBER_ALIVE);
	env->quotas = create_quotas(env->view);
	env->marks = create_unsettled_marks();
	env->in = (struct route_inputs){ .view = env->view,
					 .quotas = env->quotas,
					 .unsettled_marks = env->marks,
					 .now_ms = 100000,
					 .changed_ms = 100000,
					 .wall_s = wall_s };
}

static void release_route_env(struct route_env *env)
{
	destroy_unsettled_marks(env->marks);
	destroy_quotas(env->quotas);
	destroy_view(env->view);
}

/* A service of u0 to u3; u0 drains if DRAINING, u3 joined at JOINED_S. */
static struct service *make_service(bool draining, uint64_t joined_s)
{
	struct service *sv = create_service("board");

	sv->kind = SERVICE_FLOWS;
	sv->idle_ms = 3600 * 1000;
	for (int i = 0; i < 4; i++) {
		struct upstream up = { .domain = "north" };

		g_snprintf(up.name, sizeof(up.name), "u%d", i);
		up.draining = draining && i == 0;
		up.joined_at_s = i == 3 ? joined_s : 0;
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

START_TEST(fresh_instance_computes_base_of_every_slot)
{
	struct service *sv = make_service(true, WALL_S);
	uint64_t drained = upstream_id("board", "u0");
	uint64_t joiner = upstream_id("board", "u3");
	int drained_bases = 0;
	int joiner_targets = 0;
	struct route_env env;
	struct route *rt;

	init_route_env(&env, WALL_S + 10);
	rt = create_route(sv, &env.in);
	for (uint32_t s = 0; s < ROUTE_SLOTS; s++) {
		struct slot_upstreams c = choose_slot_upstreams(rt, s);

		ck_assert_uint_ne(c.base->id, joiner);
		ck_assert_uint_ne(c.target->id, drained);
		ck_assert(c.unsettled || c.base == c.target);
		ck_assert(c.unsettled || c.target->id != joiner);
		drained_bases += c.base->id == drained;
		joiner_targets += c.target->id == joiner;
	}
	ck_assert_int_gt(drained_bases, 0);
	ck_assert_int_gt(joiner_targets, 0);
	destroy_route(rt);
	release_route_env(&env);
	unref_service(sv);
}
END_TEST

START_TEST(joined_upstream_becomes_base_after_idle_time)
{
	struct service *sv = make_service(false, WALL_S);
	uint64_t joiner = upstream_id("board", "u3");
	int bases = 0;
	struct route_env env;
	struct route *rt;

	init_route_env(&env, WALL_S + 2 * 3600);
	rt = create_route(sv, &env.in);
	for (uint32_t s = 0; s < ROUTE_SLOTS; s++) {
		struct slot_upstreams c = choose_slot_upstreams(rt, s);

		bases += c.base->id == joiner;
		ck_assert_ptr_eq(c.base, c.target);
		ck_assert(!c.unsettled && !c.record_all);
	}
	ck_assert_int_gt(bases, 0);
	destroy_route(rt);
	release_route_env(&env);
	unref_service(sv);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("flow");
	TCase *tc = tcase_create("flow");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, full_table_evicts_replica_records_last);
	tcase_add_test(tc, removal_keeps_other_entries_findable);
	tcase_add_test(tc, only_late_retransmissions_are_a_stall);
	tcase_add_test(tc, domain_without_live_members_is_partitioned);
	tcase_add_test(tc, fresh_instance_computes_base_of_every_slot);
	tcase_add_test(tc, joined_upstream_becomes_base_after_idle_time);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
