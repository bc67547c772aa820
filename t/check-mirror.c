/* Tests of config/mirror: what of the store's answers is believed, and when. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/mirror.h"

static struct mirror *m;
static GArray *out;

static void setup(void)
{
	m = create_mirror(1);
	out = g_array_new(FALSE, FALSE, sizeof(struct mirror_action));
}

static void teardown(void)
{
	destroy_mirror(m);
	g_array_free(out, TRUE);
}

static struct store_entry entry(const char *key, const char *value,
				uint64_t revision)
{
	struct store_entry e = { .key = (char *)key,
				 .value = (void *)value,
				 .len = value ? strlen(value) : 0,
				 .mod_revision = revision,
				 .deleted = !value };

	return e;
}

static void answer(enum mirror_event_kind kind, enum status_kind status,
		   uint64_t revision, struct store_entry *es, size_t nr,
		   uint64_t now_ms)
{
	struct store_answer a = { .revision = revision,
				  .entries = es,
				  .entry_nr = nr };
	struct mirror_event ev = { .kind = kind, .answer = &a };

	a.status.kind = status;
	step_mirror(m, &ev, now_ms, out);
}

static void tick(uint64_t now_ms)
{
	struct mirror_event ev = { .kind = MIRROR_TICK };

	step_mirror(m, &ev, now_ms, out);
}

static void hint(uint64_t revision, uint64_t now_ms)
{
	struct mirror_event ev = { .kind = MIRROR_HINT, .revision = revision };

	step_mirror(m, &ev, now_ms, out);
}

/* The action of KIND in the last step (about KEY, unless NULL), or NULL. */
static const struct mirror_action *find(enum mirror_action_kind kind,
					const char *key)
{
	for (guint i = 0; i < out->len; i++) {
		const struct mirror_action *a =
			&g_array_index(out, struct mirror_action, i);

		if (a->kind == kind && (!key || !strcmp(a->key, key)))
			return a;
	}
	return NULL;
}

/* Reads A and B at revision 10 and watches from there. */
static void start(uint64_t now_ms)
{
	struct store_entry es[] = { entry("a", "1", 5), entry("b", "2", 10) };

	tick(now_ms);
	ck_assert(find(MIRROR_DO_READ, NULL));
	answer(MIRROR_READ, STATUS_OK, 10, es, 2, now_ms);
}

START_TEST(all_is_read_and_then_watched_from_there)
{
	start(1000);
	ck_assert(find(MIRROR_CHANGED, "a") && find(MIRROR_CHANGED, "b"));
	ck_assert_uint_eq(find(MIRROR_DO_WATCH, NULL)->revision, 11);
	ck_assert_uint_eq(mirror_revision(m), 10);
	ck_assert_uint_eq(mirror_well_since(m), 1000);
}
END_TEST

START_TEST(an_older_change_is_no_news)
{
	struct store_entry old = entry("b", "old", 9);

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 12, &old, 1, 1100);
	ck_assert_ptr_null(find(MIRROR_CHANGED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 12);
}
END_TEST

START_TEST(a_removal_is_believed_at_once_while_the_store_is_well)
{
	struct store_entry gone = entry("a", NULL, 11);

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 11, &gone, 1, 9000);
	ck_assert(find(MIRROR_REMOVED, "a"));
}
END_TEST

START_TEST(lapsed_entries_get_time_to_come_back)
{
	struct store_entry gone[] = { entry("a", NULL, 11),
				      entry("b", NULL, 12) };
	struct store_entry back = entry("a", "1", 13);

	start(1000);
	answer(MIRROR_WATCHED, STATUS_UNAVAILABLE, 0, NULL, 0, 2000);
	ck_assert(find(MIRROR_LOST, NULL));
	tick(4000);
	ck_assert(find(MIRROR_DO_WATCH, NULL));
	answer(MIRROR_WATCHED, STATUS_OK, 12, gone, 2, 8000);
	ck_assert(find(MIRROR_REGAINED, NULL));
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
	answer(MIRROR_WATCHED, STATUS_OK, 13, &back, 1, 9000);
	tick(8000 + MIRROR_RETURN_MS - 1);
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
	tick(8000 + MIRROR_RETURN_MS);
	ck_assert_ptr_null(find(MIRROR_REMOVED, "a"));
	ck_assert(find(MIRROR_REMOVED, "b"));
}
END_TEST

START_TEST(held_removals_wait_while_the_store_is_away_again)
{
	struct store_entry gone = entry("a", NULL, 11);

	start(1000);
	answer(MIRROR_WATCHED, STATUS_UNKNOWN, 0, NULL, 0, 2000);
	tick(3000);
	answer(MIRROR_WATCHED, STATUS_OK, 11, &gone, 1, 3100);
	answer(MIRROR_WATCHED, STATUS_UNKNOWN, 0, NULL, 0, 3200);
	tick(3100 + MIRROR_RETURN_MS + 1000);
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
}
END_TEST

START_TEST(a_lost_history_is_made_good_by_a_whole_read)
{
	struct store_entry es[] = { entry("b", "2", 10), entry("c", "3", 30) };

	start(1000);
	answer(MIRROR_WATCHED, STATUS_NOT_FOUND, 0, NULL, 0, 5000);
	ck_assert(find(MIRROR_DO_READ, NULL));
	answer(MIRROR_READ, STATUS_OK, 31, es, 2, 5010);
	ck_assert(find(MIRROR_REMOVED, "a"));
	ck_assert(find(MIRROR_CHANGED, "c"));
	ck_assert_ptr_null(find(MIRROR_CHANGED, "b"));
	ck_assert_uint_eq(find(MIRROR_DO_WATCH, NULL)->revision, 32);
}
END_TEST

START_TEST(a_read_older_than_what_is_known_removes_nothing)
{
	struct store_entry new = entry("c", "3", 40);

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 40, &new, 1, 2000);
	answer(MIRROR_WATCHED, STATUS_NOT_FOUND, 0, NULL, 0, 2100);
	answer(MIRROR_READ, STATUS_OK, 12, NULL, 0, 2200);
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 40);
}
END_TEST

START_TEST(a_silent_watch_is_replaced_when_peers_know_more)
{
	start(1000);
	hint(15, 5000);
	tick(5000 + MIRROR_HINT_MS - 1);
	ck_assert_ptr_null(find(MIRROR_DO_STOP_WATCH, NULL));
	tick(5000 + MIRROR_HINT_MS);
	ck_assert(find(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert_uint_eq(find(MIRROR_DO_WATCH, NULL)->revision, 11);
	tick(5000 + MIRROR_HINT_MS + 50);
	ck_assert_ptr_null(find(MIRROR_DO_WATCH, NULL));
}
END_TEST

START_TEST(failures_are_spaced_by_a_bounded_back_off)
{
	uint64_t now;
	uint64_t calls = 0;

	for (now = 1000; now < 61000; now += MIRROR_TICK_MS) {
		tick(now);
		if (!find(MIRROR_DO_READ, NULL))
			continue;
		calls++;
		answer(MIRROR_READ, STATUS_UNAVAILABLE, 0, NULL, 0, now);
	}
	/* no fewer than one in the longest wait, at most two */
	ck_assert_uint_ge(calls, 60000 / (MIRROR_BACKOFF_MAX_MS + 50));
	ck_assert_uint_le(calls, 60000 / (MIRROR_BACKOFF_MAX_MS / 2) + 8);
}
END_TEST

START_TEST(waking_up_renews_the_watch_at_once)
{
	struct mirror_event woken = { .kind = MIRROR_WOKEN };

	start(1000);
	step_mirror(m, &woken, 9000, out);
	ck_assert(find(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert(find(MIRROR_DO_WATCH, NULL));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("mirror");
	TCase *tc = tcase_create("mirror");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, all_is_read_and_then_watched_from_there);
	tcase_add_test(tc, an_older_change_is_no_news);
	tcase_add_test(tc,
		       a_removal_is_believed_at_once_while_the_store_is_well);
	tcase_add_test(tc, lapsed_entries_get_time_to_come_back);
	tcase_add_test(tc, held_removals_wait_while_the_store_is_away_again);
	tcase_add_test(tc, a_lost_history_is_made_good_by_a_whole_read);
	tcase_add_test(tc, a_read_older_than_what_is_known_removes_nothing);
	tcase_add_test(tc, a_silent_watch_is_replaced_when_peers_know_more);
	tcase_add_test(tc, failures_are_spaced_by_a_bounded_back_off);
	tcase_add_test(tc, waking_up_renews_the_watch_at_once);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
