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
	struct mirror_hint h = { .revision = revision };
	struct mirror_event ev = { .kind = MIRROR_HINT, .hint = &h };

	step_mirror(m, &ev, now_ms, out);
}

/* A reader holds what DIGEST stands for at REVISION. */
static void reader_holds(uint64_t revision, uint64_t digest, uint64_t now_ms)
{
	struct mirror_hint h = { revision, digest, true };
	struct mirror_event ev = { .kind = MIRROR_HINT, .hint = &h };

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

static void set_role(bool reader, uint64_t now_ms)
{
	struct mirror_event ev = { .kind = MIRROR_ROLE, .reader = reader };

	step_mirror(m, &ev, now_ms, out);
}

static void news(uint64_t from, uint64_t to, struct store_entry *es, size_t nr,
		 uint32_t hold_ms, uint64_t now_ms)
{
	struct mirror_news n = { from, to, hold_ms, es, nr, NULL };
	struct mirror_event ev = { .kind = MIRROR_NEWS, .news = &n };

	step_mirror(m, &ev, now_ms, out);
}

/* Has read revision 10 and takes news from there. */
static void start_taking(uint64_t now_ms)
{
	set_role(false, now_ms);
	start(now_ms);
	ck_assert_ptr_null(find(MIRROR_DO_WATCH, NULL));
}

START_TEST(a_reader_passes_on_what_it_learns)
{
	struct store_entry es[] = { entry("a", "1", 10), entry("a", "2", 12),
				    entry("c", "1", 12), entry("b", NULL, 14) };
	const struct mirror_action *a;

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 15, es, 4, 2000);
	a = find(MIRROR_TELL, NULL);
	ck_assert_ptr_nonnull(a);
	ck_assert_uint_eq(a->news.from, 10);
	ck_assert_uint_eq(a->news.to, 15);
	/* without what was known before */
	ck_assert_uint_eq(a->news.entry_nr, 3);
	ck_assert_uint_eq(a->news.entries[0].mod_revision, 12);
	answer(MIRROR_WATCHED, STATUS_OK, 15, NULL, 0, 3000);
	ck_assert_ptr_null(find(MIRROR_TELL, NULL));
	answer(MIRROR_WATCHED, STATUS_OK, 17, NULL, 0, 4000);
	ck_assert_uint_eq(find(MIRROR_TELL, NULL)->news.to, 17);
}
END_TEST

START_TEST(long_values_are_passed_on_with_what_was_before)
{
	char *first = g_strnfill(MIRROR_LONG_VALUE + 1, 'a');
	char *second = g_strnfill(MIRROR_LONG_VALUE + 1, 'b');
	char *third = g_strnfill(MIRROR_LONG_VALUE + 1, 'c');
	struct store_entry before = entry("config", first, 11);
	struct store_entry es[] = { entry("config", second, 12),
				    entry("a", "2", 13),
				    entry("config", third, 14) };
	const struct mirror_news *n;

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 11, &before, 1, 2000);
	n = &find(MIRROR_TELL, NULL)->news;
	ck_assert_ptr_null(n->bases[0].value);
	answer(MIRROR_WATCHED, STATUS_OK, 14, es, 3, 3000);
	n = &find(MIRROR_TELL, NULL)->news;
	/* receivers hold none of those in between */
	ck_assert_ptr_null(n->bases[0].value);
	ck_assert_ptr_null(n->bases[1].value);
	ck_assert_uint_eq(n->bases[2].revision, 11);
	ck_assert_int_eq(memcmp(n->bases[2].value, first, n->bases[2].len), 0);
	ck_assert_uint_eq(mirror_value(m, "config").revision, 14);
	ck_assert_ptr_null(mirror_value(m, "none").value);
	g_free(first);
	g_free(second);
	g_free(third);
}
END_TEST

START_TEST(a_value_that_is_held_already_is_not_read)
{
	struct store_entry whole = entry("config", "long", 12);
	struct store_entry named = { .key = (char *)"config",
				     .mod_revision = 12 };

	start_taking(1000);
	news(10, 12, &whole, 1, 0, 2000);
	/* the same told again, with more */
	news(10, 13, &named, 1, 0, 2010);
	ck_assert_uint_eq(mirror_revision(m), 13);
	tick(2050);
	ck_assert_ptr_null(find(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(a_value_that_comes_after_all_is_not_read)
{
	struct store_entry named = { .key = (char *)"config",
				     .mod_revision = 11 };
	struct store_entry whole = entry("config", "long", 12);

	start_taking(1000);
	news(10, 11, &named, 1, 0, 2000);
	news(11, 12, &whole, 1, 0, 2010);
	ck_assert(find(MIRROR_CHANGED, "config"));
	tick(2050);
	ck_assert_ptr_null(find(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(one_that_only_catches_up_passes_nothing_on)
{
	struct store_entry a2 = entry("a", "2", 12);

	start_taking(1000);
	hint(12, 5000);
	tick(5000 + MIRROR_HELP_MS);
	answer(MIRROR_WATCHED, STATUS_OK, 12, &a2, 1, 5800);
	ck_assert_ptr_null(find(MIRROR_TELL, NULL));
	ck_assert_uint_eq(find(MIRROR_KEEP, NULL)->news.to, 12);
}
END_TEST

START_TEST(while_peers_help_the_store_is_left_alone)
{
	start_taking(1000);
	for (uint64_t r = 11; r < 60; r++) {
		uint64_t now_ms = 5000 + r * MIRROR_HELP_MS / 2;

		hint(100, now_ms);
		news(r - 1, r, NULL, 0, 0, now_ms);
		tick(now_ms + MIRROR_ASK_MS);
		ck_assert_ptr_null(find(MIRROR_DO_WATCH, NULL));
		ck_assert_uint_eq(find(MIRROR_DO_ASK, NULL)->revision, r);
	}
}
END_TEST

START_TEST(news_in_order_are_taken_and_others_asked_for)
{
	struct store_entry a2 = entry("a", "2", 11);
	struct store_entry gone = entry("b", NULL, 13);

	start_taking(1000);
	news(10, 11, &a2, 1, 0, 2000);
	ck_assert(find(MIRROR_CHANGED, "a"));
	news(12, 13, &gone, 1, 0, 2100);
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 11);
	tick(2100 + MIRROR_ASK_MS);
	ck_assert_uint_eq(find(MIRROR_DO_ASK, NULL)->revision, 11);
	news(11, 12, NULL, 0, 0, 2300);
	news(12, 13, &gone, 1, 0, 2300);
	ck_assert(find(MIRROR_REMOVED, "b"));
	ck_assert_uint_eq(mirror_revision(m), 13);
}
END_TEST

START_TEST(whoever_gets_no_help_turns_to_the_store)
{
	struct store_entry a2 = entry("a", "2", 12);

	start_taking(1000);
	hint(12, 5000);
	tick(5000 + MIRROR_HELP_MS - 1);
	ck_assert_ptr_null(find(MIRROR_DO_WATCH, NULL));
	tick(5000 + MIRROR_HELP_MS);
	ck_assert_uint_eq(find(MIRROR_DO_WATCH, NULL)->revision, 11);
	answer(MIRROR_WATCHED, STATUS_OK, 12, &a2, 1, 5800);
	ck_assert(find(MIRROR_CHANGED, "a"));
	ck_assert(find(MIRROR_DO_STOP_WATCH, NULL));
}
END_TEST

START_TEST(news_that_no_peer_keeps_are_read_whole)
{
	struct mirror_event none = { .kind = MIRROR_NO_NEWS };

	start_taking(1000);
	hint(500, 5000);
	step_mirror(m, &none, 5100, out);
	tick(5150);
	ck_assert(find(MIRROR_DO_READ, NULL));
}
END_TEST

START_TEST(a_long_value_is_read_when_it_is_named)
{
	struct store_entry named = { .key = (char *)"config",
				     .mod_revision = 11 };
	struct store_entry whole = entry("config", "long", 11);
	struct store_entry next = { .key = (char *)"config",
				    .mod_revision = 12 };

	start_taking(1000);
	news(10, 11, &named, 1, 0, 2000);
	tick(2050);
	ck_assert_str_eq(find(MIRROR_DO_READ_KEY, NULL)->key, "config");
	answer(MIRROR_KEY_READ, STATUS_UNAVAILABLE, 0, NULL, 0, 2100);
	tick(2100 + MIRROR_KEY_MS);
	ck_assert(find(MIRROR_DO_READ_KEY, NULL));
	answer(MIRROR_KEY_READ, STATUS_OK, 11, &whole, 1, 3000);
	ck_assert(find(MIRROR_CHANGED, "config"));
	/* a quick series of changes costs one read */
	news(11, 12, &next, 1, 0, 3010);
	tick(3050);
	ck_assert_ptr_null(find(MIRROR_DO_READ_KEY, NULL));
	tick(3000 + MIRROR_KEY_MS);
	ck_assert(find(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(a_long_value_that_changes_while_it_is_read_is_read_again)
{
	struct store_entry first = { .key = (char *)"config",
				     .mod_revision = 11 };
	struct store_entry second = { .key = (char *)"config",
				      .mod_revision = 12 };
	struct store_entry whole = entry("config", "first", 11);

	start_taking(1000);
	news(10, 11, &first, 1, 0, 2000);
	tick(2050);
	ck_assert(find(MIRROR_DO_READ_KEY, NULL));
	news(11, 12, &second, 1, 0, 2060);
	answer(MIRROR_KEY_READ, STATUS_OK, 11, &whole, 1, 2070);
	tick(2070 + MIRROR_KEY_MS);
	ck_assert(find(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(what_was_missed_unnoticed_is_mended)
{
	struct store_entry b2 = entry("b", "2", 11);
	uint64_t at_reader;

	start_taking(1000);
	news(10, 11, &b2, 1, 0, 1500);
	at_reader = mirror_digest(m);
	teardown();
	setup();
	start_taking(1000);
	news(10, 11, NULL, 0, 0, 1500);
	reader_holds(11, at_reader, 3000);
	reader_holds(11, at_reader, 3000 + MIRROR_DIFFER_MS - 1);
	tick(3000 + MIRROR_DIFFER_MS);
	ck_assert_ptr_null(find(MIRROR_DO_READ, NULL));
	reader_holds(11, at_reader, 3000 + MIRROR_DIFFER_MS);
	tick(3000 + MIRROR_DIFFER_MS);
	ck_assert(find(MIRROR_DO_READ, NULL));
}
END_TEST

START_TEST(the_digest_is_that_of_what_is_held)
{
	struct store_entry a2 = entry("a", "2", 11);
	struct store_entry gone = entry("b", NULL, 12);
	struct store_entry es[] = { entry("a", "2", 11) };
	uint64_t digest;

	start(1000);
	answer(MIRROR_WATCHED, STATUS_OK, 11, &a2, 1, 2000);
	answer(MIRROR_WATCHED, STATUS_OK, 12, &gone, 1, 2100);
	digest = mirror_digest(m);
	teardown();
	setup();
	tick(1000);
	answer(MIRROR_READ, STATUS_OK, 12, es, 1, 1000);
	ck_assert_uint_eq(mirror_digest(m), digest);
}
END_TEST

START_TEST(a_reader_that_steps_down_and_up_goes_on_where_it_was)
{
	start(1000);
	set_role(false, 2000);
	ck_assert(find(MIRROR_DO_STOP_WATCH, NULL));
	set_role(true, 3000);
	ck_assert_uint_eq(find(MIRROR_DO_WATCH, NULL)->revision, 11);
}
END_TEST

START_TEST(news_of_a_lapse_are_held_as_the_reader_holds_them)
{
	struct store_entry gone = entry("b", NULL, 11);

	start_taking(1000);
	news(10, 11, &gone, 1, 700, 2000);
	tick(2699);
	ck_assert_ptr_null(find(MIRROR_REMOVED, NULL));
	tick(2700);
	ck_assert(find(MIRROR_REMOVED, "b"));
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
	tcase_add_test(tc, a_reader_passes_on_what_it_learns);
	tcase_add_test(tc, long_values_are_passed_on_with_what_was_before);
	tcase_add_test(tc, a_value_that_is_held_already_is_not_read);
	tcase_add_test(tc, a_value_that_comes_after_all_is_not_read);
	tcase_add_test(tc, one_that_only_catches_up_passes_nothing_on);
	tcase_add_test(tc, while_peers_help_the_store_is_left_alone);
	tcase_add_test(tc, news_in_order_are_taken_and_others_asked_for);
	tcase_add_test(tc, whoever_gets_no_help_turns_to_the_store);
	tcase_add_test(
		tc, a_long_value_that_changes_while_it_is_read_is_read_again);
	tcase_add_test(tc, what_was_missed_unnoticed_is_mended);
	tcase_add_test(tc, the_digest_is_that_of_what_is_held);
	tcase_add_test(tc, news_that_no_peer_keeps_are_read_whole);
	tcase_add_test(tc, a_long_value_is_read_when_it_is_named);
	tcase_add_test(tc,
		       a_reader_that_steps_down_and_up_goes_on_where_it_was);
	tcase_add_test(tc, news_of_a_lapse_are_held_as_the_reader_holds_them);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
