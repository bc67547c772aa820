/* Tests of what a snapshot retains of the one before it. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "config/retain.h"

#define NOW_S 1000000

static struct snapshot *snapshot_of(uint64_t epoch, const char *const *names)
{
	struct service *sv = create_service("board");
	struct snapshot *sn;

	for (size_t i = 0; names[i]; i++) {
		struct upstream up = { .domain = "north" };

		g_strlcpy(up.name, names[i], sizeof(up.name));
		add_upstream(sv, &up);
	}
	seal_service(sv);
	sn = create_snapshot(epoch, "id", &sv, 1);
	unref_service(sv);
	return sn;
}

static const struct upstream *upstream_in(const struct snapshot *sn,
					  const char *name)
{
	return find_upstream(snapshot_service(sn, 0),
			     upstream_id("board", name));
}

static const char *const two[] = { "a", "b", NULL };
static const char *const three[] = { "a", "b", "c", NULL };

START_TEST(first_publish_sets_no_join_time)
{
	struct snapshot *sn =
		retain_from_previous(NULL, snapshot_of(1, two), NOW_S);

	ck_assert_uint_eq(upstream_in(sn, "a")->joined_at_s, 0);
	unref_snapshot(sn);
}
END_TEST

START_TEST(join_time_is_kept_over_publishes)
{
	struct snapshot *one = snapshot_of(1, two);
	struct snapshot *sn =
		retain_from_previous(one, snapshot_of(2, three), NOW_S);
	struct snapshot *next =
		retain_from_previous(sn, snapshot_of(3, three), NOW_S + 60);

	ck_assert_uint_eq(upstream_in(sn, "a")->joined_at_s, 0);
	ck_assert_uint_eq(upstream_in(sn, "c")->joined_at_s, NOW_S);
	ck_assert_uint_eq(upstream_in(next, "c")->joined_at_s, NOW_S);
	ck_assert_uint_eq(snapshot_digest(sn), snapshot_digest(next));
	ck_assert_uint_eq(snapshot_epoch(next), 3);
	unref_snapshot(one);
	unref_snapshot(sn);
	unref_snapshot(next);
}
END_TEST

START_TEST(deleted_upstream_drains_until_its_time_is_over)
{
	struct snapshot *one = snapshot_of(1, three);
	struct snapshot *sn =
		retain_from_previous(one, snapshot_of(2, two), NOW_S);
	struct snapshot *back =
		retain_from_previous(sn, snapshot_of(3, three), NOW_S + 9);
	struct snapshot *late = retain_from_previous(
		sn, snapshot_of(3, two), NOW_S + REMOVED_UPSTREAM_KEEP_S);

	ck_assert(upstream_in(sn, "c")->draining);
	ck_assert_uint_eq(upstream_in(sn, "c")->removed_at_s, NOW_S);
	ck_assert(!upstream_in(back, "c")->draining);
	ck_assert_uint_eq(upstream_in(back, "c")->joined_at_s, 0);
	ck_assert_uint_eq(upstream_in(back, "c")->removed_at_s, 0);
	ck_assert_ptr_null(upstream_in(late, "c"));
	unref_snapshot(one);
	unref_snapshot(sn);
	unref_snapshot(back);
	unref_snapshot(late);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("carry");
	TCase *tc = tcase_create("carry");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, first_publish_sets_no_join_time);
	tcase_add_test(tc, join_time_is_kept_over_publishes);
	tcase_add_test(tc, deleted_upstream_drains_until_its_time_is_over);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
