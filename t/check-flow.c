/* Tests of the parts of flow/: table, progress, cuts, routes. */

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

START_TEST(a_full_table_drops_what_can_be_asked_for_first)
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

START_TEST(removal_keeps_every_other_entry_findable)
{
	struct flow_table *t = create_flow_table(5000);
	bool lost;

	/* all start in one of four places, so that runs overlap */
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

static bool note_bytes(struct stall_detector *pg, uint32_t seq,
		       uint16_t payload, uint64_t now_ms)
{
	struct packet p = { .protocol = FLOW_TCP,
			    .flags = TCP_ACK,
			    .seq = seq,
			    .payload = payload,
			    .hash = 0x1234567890abcdefULL };

	return detect_stall(pg, &p, now_ms);
}

START_TEST(only_bytes_sent_again_late_are_silence)
{
	struct stall_detector *pg = create_stall_detector(64);

	ck_assert(!note_bytes(pg, 100, 10, 1000));
	ck_assert(!note_bytes(pg, 100, 10, 1000 + STALL_MS / 2));
	ck_assert(!note_bytes(pg, 110, 10, 1000 + STALL_MS));
	ck_assert(!note_bytes(pg, 110, 10, 2000 + STALL_MS));
	ck_assert(!note_bytes(pg, 119, 1, 90000)); /* a keep-alive */
	ck_assert(!note_bytes(pg, 119, 0, 90000));
	ck_assert(note_bytes(pg, 110, 10, 90000));
	destroy_stall_detector(pg);
}
END_TEST

static void put_one(struct view *v, const char *name, const char *domain,
		    enum member_state state)
{
	struct member m = { .state = state };

	m.id = service_id(name);
	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.domain, domain, sizeof(m.domain));
	put_member(v, &m);
}

START_TEST(a_domain_without_reachable_instances_is_cut_off)
{
	struct view *v = create_view(service_id("a"));
	struct partition_watch *cw = create_partition_watch();

	put_one(v, "a", "north", MEMBER_ALIVE);
	put_one(v, "b", "south", MEMBER_DEAD);
	put_one(v, "c", "south", MEMBER_ALIVE);
	update_partition_watch(cw, v, 1000);
	ck_assert(!is_partitioned(cw, "south", 1000));
	put_one(v, "c", "south", MEMBER_DEAD);
	update_partition_watch(cw, v, 2000);
	ck_assert(is_partitioned(cw, "south", 2000));
	ck_assert(!is_partitioned(cw, "north", 2000));
	put_one(v, "c", "south", MEMBER_ALIVE);
	update_partition_watch(cw, v, 3000);
	ck_assert(is_partitioned(cw, "south", 2000 + PARTITION_GRACE_MS));
	ck_assert(!is_partitioned(cw, "south", 2001 + PARTITION_GRACE_MS));
	destroy_partition_watch(cw);
	destroy_view(v);
}
END_TEST

/* What one instance computes routes from. */
struct place {
	struct view *view;
	struct shares *shares;
	struct unsettled_marks *marks;
	struct route_inputs in;
};

static void init_place(struct place *pl, uint64_t wall_s)
{
	pl->view = create_view(service_id("a"));
	put_one(pl->view, "a", "north", MEMBER_ALIVE);
	pl->shares = create_shares(pl->view);
	pl->marks = create_unsettled_marks();
	pl->in = (struct route_inputs){ .view = pl->view,
					.shares = pl->shares,
					.unsettled_marks = pl->marks,
					.now_ms = 100000,
					.changed_ms = 100000,
					.wall_s = wall_s };
}

static void release_place(struct place *pl)
{
	destroy_unsettled_marks(pl->marks);
	destroy_shares(pl->shares);
	destroy_view(pl->view);
}

/* A service of upstreams u0 to u3; u0 drains and u3 joined at JOINED_S. */
static struct service *make_service(bool draining, uint64_t joined_s)
{
	struct service *sv = create_service("board");

	sv->kind = SERVICE_FLOWS;
	sv->idle_ms = 3600 * 1000;
	for (int i = 0; i < 4; i++) {
		struct upstream up = { .domain = "north" };

		g_snprintf(up.name, sizeof(up.name), "u%d", i);
		up.draining = draining && i == 0;
		up.joined_s = i == 3 ? joined_s : 0;
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

START_TEST(a_fresh_instance_knows_the_base_of_every_slot)
{
	struct service *sv = make_service(true, WALL_S);
	uint64_t drained = upstream_id("board", "u0");
	uint64_t joiner = upstream_id("board", "u3");
	int drained_bases = 0;
	int joiner_targets = 0;
	struct place pl;
	struct route *rt;

	init_place(&pl, WALL_S + 10);
	rt = create_route(sv, &pl.in);
	for (uint32_t s = 0; s < ROUTE_SLOTS; s++) {
		struct slot_choice c = choose_slot(rt, s);

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
	release_place(&pl);
	unref_service(sv);
}
END_TEST

START_TEST(a_joiner_becomes_a_base_after_the_idle_time)
{
	struct service *sv = make_service(false, WALL_S);
	uint64_t joiner = upstream_id("board", "u3");
	int bases = 0;
	struct place pl;
	struct route *rt;

	init_place(&pl, WALL_S + 2 * 3600);
	rt = create_route(sv, &pl.in);
	for (uint32_t s = 0; s < ROUTE_SLOTS; s++) {
		struct slot_choice c = choose_slot(rt, s);

		bases += c.base->id == joiner;
		ck_assert_ptr_eq(c.base, c.target);
		ck_assert(!c.unsettled && !c.record_all);
	}
	ck_assert_int_gt(bases, 0);
	destroy_route(rt);
	release_place(&pl);
	unref_service(sv);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("flow");
	TCase *tc = tcase_create("flow");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, a_full_table_drops_what_can_be_asked_for_first);
	tcase_add_test(tc, removal_keeps_every_other_entry_findable);
	tcase_add_test(tc, only_bytes_sent_again_late_are_silence);
	tcase_add_test(tc, a_domain_without_reachable_instances_is_cut_off);
	tcase_add_test(tc, a_fresh_instance_knows_the_base_of_every_slot);
	tcase_add_test(tc, a_joiner_becomes_a_base_after_the_idle_time);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
