/*
 * Tests of config/mirror: which store answers and updates are applied, when
 * removals are delayed, and which calls are made. Guards against entries that
 * are missed or outdated, upstreams that are removed because of a store outage,
 * and needless store calls.
 */

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

static struct store_entry make_entry(const char *key, const char *value,
				     uint64_t revision)
{
	struct store_entry e = { .key = (char *)key,
				 .value = (void *)value,
				 .len = value ? strlen(value) : 0,
				 .mod_revision = revision,
				 .deleted = !value };

	return e;
}

static void send_answer(enum mirror_event_kind kind, enum status_kind status,
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

static void send_tick(uint64_t now_ms)
{
	struct mirror_event ev = { .kind = MIRROR_TICK };

	step_mirror(m, &ev, now_ms, out);
}

static void send_peer_revision(uint64_t revision, uint64_t now_ms)
{
	struct mirror_peer_state h = { .position = { 0, revision } };
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE, .peer = &h };

	step_mirror(m, &ev, now_ms, out);
}

/* Reports a store reader's state: its copy at REVISION has DIGEST. */
static void send_reader_digest(uint64_t revision, uint64_t digest,
			       uint64_t now_ms)
{
	struct mirror_peer_state h = { { 0, revision }, digest, true };
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE, .peer = &h };

	step_mirror(m, &ev, now_ms, out);
}

/* The last step's action of KIND, for KEY unless that is NULL; or NULL. */
static const struct mirror_action *find_action(enum mirror_action_kind kind,
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

static void send_role(bool reader, uint64_t now_ms)
{
	struct mirror_event ev = { .kind = MIRROR_ROLE_CHANGED,
				   .is_store_reader = reader };

	step_mirror(m, &ev, now_ms, out);
}

/* Reads A and B at revision 10 and watches from there. */
static void read_initial_entries(uint64_t now_ms)
{
	struct store_entry es[] = { make_entry("a", "1", 5),
				    make_entry("b", "2", 10) };

	send_tick(now_ms);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	send_answer(MIRROR_READ_DONE, STATUS_OK, 10, es, 2, now_ms);
}

START_TEST(starts_with_a_full_read_then_watches)
{
	read_initial_entries(1000);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "a") &&
		  find_action(MIRROR_KEY_CHANGED, "b"));
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 11);
	ck_assert_uint_eq(mirror_revision(m), 10);
	ck_assert_uint_eq(mirror_store_up_since_ms(m), 1000);
}
END_TEST

START_TEST(ignores_a_change_older_than_its_entry)
{
	struct store_entry old = make_entry("b", "old", 9);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, &old, 1, 1100);
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 12);
}
END_TEST

START_TEST(applies_a_removal_at_once_if_the_store_was_up)
{
	struct store_entry gone = make_entry("a", NULL, 11);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 11, &gone, 1, 9000);
	ck_assert(find_action(MIRROR_KEY_REMOVED, "a"));
}
END_TEST

START_TEST(delays_removals_after_a_store_outage)
{
	struct store_entry gone[] = { make_entry("a", NULL, 11),
				      make_entry("b", NULL, 12) };
	struct store_entry back = make_entry("a", "1", 13);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_UNAVAILABLE, 0, NULL, 0, 2000);
	ck_assert(find_action(MIRROR_STORE_LOST, NULL));
	send_tick(4000);
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, gone, 2, 8000);
	ck_assert(find_action(MIRROR_STORE_REGAINED, NULL));
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 13, &back, 1, 9000);
	send_tick(8000 + MIRROR_REMOVAL_HOLD_MS - 1);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	send_tick(8000 + MIRROR_REMOVAL_HOLD_MS);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, "a"));
	ck_assert(find_action(MIRROR_KEY_REMOVED, "b"));
}
END_TEST

START_TEST(delayed_removals_wait_during_another_outage)
{
	struct store_entry gone = make_entry("a", NULL, 11);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_UNKNOWN, 0, NULL, 0, 2000);
	send_tick(3000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 11, &gone, 1, 3100);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_UNKNOWN, 0, NULL, 0, 3200);
	send_tick(3100 + MIRROR_REMOVAL_HOLD_MS + 1000);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
}
END_TEST

START_TEST(reads_everything_after_history_was_compacted)
{
	struct store_entry es[] = { make_entry("b", "2", 10),
				    make_entry("c", "3", 30) };

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_NOT_FOUND, 0, NULL, 0, 5000);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	send_answer(MIRROR_READ_DONE, STATUS_OK, 31, es, 2, 5010);
	ck_assert(find_action(MIRROR_KEY_REMOVED, "a"));
	ck_assert(find_action(MIRROR_KEY_CHANGED, "c"));
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, "b"));
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 32);
}
END_TEST

START_TEST(an_outdated_read_removes_nothing)
{
	struct store_entry new = make_entry("c", "3", 40);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 40, &new, 1, 2000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_NOT_FOUND, 0, NULL, 0, 2100);
	send_answer(MIRROR_READ_DONE, STATUS_OK, 12, NULL, 0, 2200);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 40);
}
END_TEST

START_TEST(restarts_a_watch_that_lags_behind_peers)
{
	read_initial_entries(1000);
	send_peer_revision(15, 5000);
	send_tick(5000 + MIRROR_WATCH_LAG_MS - 1);
	ck_assert_ptr_null(find_action(MIRROR_DO_STOP_WATCH, NULL));
	send_tick(5000 + MIRROR_WATCH_LAG_MS);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 11);
	send_tick(5000 + MIRROR_WATCH_LAG_MS + 50);
	ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
}
END_TEST

/*
 * Peers are ahead by more changes than arrive before the next restart: another
 * watch would begin anew each time.
 */
START_TEST(watch_that_is_restarted_in_vain_ends_in_a_read)
{
	uint64_t restart_ms = 5000 + MIRROR_WATCH_LAG_MS;

	read_initial_entries(1000);
	send_peer_revision(900, 5000);
	send_tick(restart_ms);
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
	send_tick(restart_ms + MIRROR_REWATCH_INTERVAL_MS - 1);
	ck_assert_uint_eq(out->len, 0);
	send_tick(restart_ms + MIRROR_REWATCH_INTERVAL_MS);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	ck_assert(!find_action(MIRROR_DO_READ, NULL)->may_be_stale);
}
END_TEST

/* The same for the watch by which an instance catches up without peers. */
START_TEST(catch_up_without_an_answer_ends_in_a_read)
{
	uint64_t watch_ms = 5000 + MIRROR_STORE_FALLBACK_MS;

	read_initial_entries(1000);
	send_role(false, 1100);
	send_peer_revision(900, 5000);
	send_tick(watch_ms);
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
	send_tick(watch_ms + MIRROR_TICK_MS);
	ck_assert_uint_eq(out->len, 0);
	send_tick(watch_ms + MIRROR_REWATCH_INTERVAL_MS);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
}
END_TEST

START_TEST(bounds_the_retry_rate_of_a_failing_store)
{
	uint64_t now;
	uint64_t calls = 0;

	for (now = 1000; now < 61000; now += MIRROR_TICK_MS) {
		send_tick(now);
		if (!find_action(MIRROR_DO_READ, NULL))
			continue;
		calls++;
		send_answer(MIRROR_READ_DONE, STATUS_UNAVAILABLE, 0, NULL, 0,
			    now);
	}
	/* 1 to 2 calls per maximum wait; the first waits are shorter */
	ck_assert_uint_ge(calls, 60000 / (MIRROR_BACKOFF_MAX_MS + 50));
	ck_assert_uint_le(calls, 60000 / (MIRROR_BACKOFF_MAX_MS / 2) + 8);
}
END_TEST

START_TEST(restarts_the_watch_after_a_suspend)
{
	struct mirror_event resumed = { .kind = MIRROR_PROCESS_RESUMED };

	read_initial_entries(1000);
	step_mirror(m, &resumed, 9000, out);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
}
END_TEST

/* A watch answer may hold several changes of a key, also its removal. */
START_TEST(every_change_of_an_answer_keeps_its_value)
{
	struct store_entry es[] = { make_entry("a", "first", 11),
				    make_entry("a", "second", 12),
				    make_entry("a", NULL, 13) };
	const char *expected[] = { "first", "second" };
	size_t seen = 0;

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 13, es, 3, 2000);
	for (guint i = 0; i < out->len; i++) {
		const struct mirror_action *a =
			&g_array_index(out, struct mirror_action, i);

		if (a->kind != MIRROR_KEY_CHANGED)
			continue;
		ck_assert_uint_lt(seen, 2);
		ck_assert_mem_eq(a->value, expected[seen], a->len);
		seen++;
	}
	ck_assert_uint_eq(seen, 2);
	ck_assert(find_action(MIRROR_KEY_REMOVED, "a"));
}
END_TEST

static void send_update(uint64_t from, uint64_t to, struct store_entry *es,
			size_t nr, uint32_t hold_ms, uint64_t now_ms)
{
	struct mirror_update n = { .from = { 0, from },
				   .to = { 0, to },
				   .removal_hold_ms = hold_ms,
				   .entries = es,
				   .entry_nr = nr };
	struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE, .update = &n };

	step_mirror(m, &ev, now_ms, out);
}

/* The watch that follows the first read brings nothing, and ends. */
static void end_first_watch(uint64_t revision, uint64_t now_ms)
{
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, revision, NULL, 0, now_ms);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
}

/* Reads A and B at revision 10; then applies updates from there. */
static void start_with_peer_updates(uint64_t now_ms)
{
	send_role(false, now_ms);
	read_initial_entries(now_ms);
	end_first_watch(10, now_ms);
}

START_TEST(store_reader_sends_only_new_changes)
{
	struct store_entry es[] = { make_entry("a", "1", 10),
				    make_entry("a", "2", 12),
				    make_entry("c", "1", 12),
				    make_entry("b", NULL, 14) };
	const struct mirror_action *a;

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 15, es, 4, 2000);
	a = find_action(MIRROR_DO_SEND_UPDATE, NULL);
	ck_assert_ptr_nonnull(a);
	ck_assert_uint_eq(a->update.from.revision, 10);
	ck_assert_uint_eq(a->update.to.revision, 15);
	/* without the entry that the store reader already had */
	ck_assert_uint_eq(a->update.entry_nr, 3);
	ck_assert_uint_eq(a->update.entries[0].mod_revision, 12);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 15, NULL, 0, 3000);
	ck_assert_ptr_null(find_action(MIRROR_DO_SEND_UPDATE, NULL));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 17, NULL, 0, 4000);
	ck_assert_uint_eq(
		find_action(MIRROR_DO_SEND_UPDATE, NULL)->update.to.revision,
		17);
}
END_TEST

START_TEST(sends_the_previous_value_with_a_long_value)
{
	char *first = g_strnfill(MIRROR_INLINE_VALUE_MAX + 1, 'a');
	char *second = g_strnfill(MIRROR_INLINE_VALUE_MAX + 1, 'b');
	char *third = g_strnfill(MIRROR_INLINE_VALUE_MAX + 1, 'c');
	struct store_entry before = make_entry("config", first, 11);
	struct store_entry es[] = { make_entry("config", second, 12),
				    make_entry("a", "2", 13),
				    make_entry("config", third, 14) };
	const struct mirror_update *n;

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 11, &before, 1, 2000);
	n = &find_action(MIRROR_DO_SEND_UPDATE, NULL)->update;
	ck_assert_ptr_null(n->bases[0].value);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 14, es, 3, 3000);
	n = &find_action(MIRROR_DO_SEND_UPDATE, NULL)->update;
	/* receivers do not have the values in between */
	ck_assert_ptr_null(n->bases[0].value);
	ck_assert_ptr_null(n->bases[1].value);
	ck_assert_uint_eq(n->bases[2].revision, 11);
	ck_assert_int_eq(memcmp(n->bases[2].value, first, n->bases[2].len), 0);
	ck_assert_uint_eq(find_mirror_entry(m, "config").revision, 14);
	ck_assert_ptr_null(find_mirror_entry(m, "none").value);
	g_free(first);
	g_free(second);
	g_free(third);
}
END_TEST

START_TEST(does_not_read_a_long_value_it_has)
{
	struct store_entry whole = make_entry("config", "long", 12);
	struct store_entry left_out = { .key = (char *)"config",
					.mod_revision = 12 };

	start_with_peer_updates(1000);
	send_update(10, 12, &whole, 1, 0, 2000);
	/* overlaps with the first update */
	send_update(10, 13, &left_out, 1, 0, 2010);
	ck_assert_uint_eq(mirror_revision(m), 13);
	send_tick(2050);
	ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(does_not_read_a_long_value_that_an_update_has)
{
	struct store_entry left_out = { .key = (char *)"config",
					.mod_revision = 11 };
	struct store_entry whole = make_entry("config", "long", 12);

	start_with_peer_updates(1000);
	send_update(10, 11, &left_out, 1, 0, 2000);
	send_update(11, 12, &whole, 1, 0, 2010);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "config"));
	send_tick(2050);
	ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(does_not_send_updates_while_catching_up)
{
	struct store_entry a2 = make_entry("a", "2", 12);

	start_with_peer_updates(1000);
	send_peer_revision(12, 5000);
	send_tick(5000 + MIRROR_STORE_FALLBACK_MS);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, &a2, 1, 5800);
	ck_assert_ptr_null(find_action(MIRROR_DO_SEND_UPDATE, NULL));
	ck_assert_uint_eq(
		find_action(MIRROR_DO_KEEP_UPDATE, NULL)->update.to.revision,
		12);
}
END_TEST

START_TEST(does_not_watch_the_store_while_peers_answer)
{
	start_with_peer_updates(1000);
	for (uint64_t r = 11; r < 60; r++) {
		uint64_t now_ms = 5000 + r * MIRROR_STORE_FALLBACK_MS / 2;

		send_peer_revision(100, now_ms);
		send_update(r - 1, r, NULL, 0, 0, now_ms);
		send_tick(now_ms + MIRROR_PEER_QUERY_MS);
		ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
		ck_assert_uint_eq(find_action(MIRROR_DO_QUERY_PEER, NULL)
					  ->position.revision,
				  r);
	}
}
END_TEST

START_TEST(applies_updates_in_order_and_queries_gaps)
{
	struct store_entry a2 = make_entry("a", "2", 11);
	struct store_entry gone = make_entry("b", NULL, 13);

	start_with_peer_updates(1000);
	send_update(10, 11, &a2, 1, 0, 2000);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "a"));
	send_update(12, 13, &gone, 1, 0, 2100);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 11);
	send_tick(2100 + MIRROR_PEER_QUERY_MS);
	ck_assert_uint_eq(
		find_action(MIRROR_DO_QUERY_PEER, NULL)->position.revision, 11);
	send_update(11, 12, NULL, 0, 0, 2300);
	send_update(12, 13, &gone, 1, 0, 2300);
	ck_assert(find_action(MIRROR_KEY_REMOVED, "b"));
	ck_assert_uint_eq(mirror_revision(m), 13);
}
END_TEST

START_TEST(watches_the_store_if_no_peer_answers)
{
	struct store_entry a2 = make_entry("a", "2", 12);

	start_with_peer_updates(1000);
	send_peer_revision(12, 5000);
	send_tick(5000 + MIRROR_STORE_FALLBACK_MS - 1);
	ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
	send_tick(5000 + MIRROR_STORE_FALLBACK_MS);
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 11);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, &a2, 1, 5800);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "a"));
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
}
END_TEST

START_TEST(reads_everything_if_no_peer_has_the_updates)
{
	struct mirror_event none = { .kind = MIRROR_NO_UPDATES };

	start_with_peer_updates(1000);
	send_peer_revision(500, 5000);
	step_mirror(m, &none, 5100, out);
	send_tick(5150);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
}
END_TEST

START_TEST(reads_a_long_value_left_out_of_an_update)
{
	struct store_entry left_out = { .key = (char *)"config",
					.mod_revision = 11 };
	struct store_entry whole = make_entry("config", "long", 11);
	struct store_entry next = { .key = (char *)"config",
				    .mod_revision = 12 };

	start_with_peer_updates(1000);
	send_update(10, 11, &left_out, 1, 0, 2000);
	send_tick(2050);
	ck_assert_str_eq(find_action(MIRROR_DO_READ_KEY, NULL)->key, "config");
	send_answer(MIRROR_KEY_READ_DONE, STATUS_UNAVAILABLE, 0, NULL, 0, 2100);
	send_tick(2100 + MIRROR_KEY_READ_INTERVAL_MS);
	ck_assert(find_action(MIRROR_DO_READ_KEY, NULL));
	send_answer(MIRROR_KEY_READ_DONE, STATUS_OK, 11, &whole, 1, 3000);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "config"));
	/* changes in quick succession lead to one read */
	send_update(11, 12, &next, 1, 0, 3010);
	send_tick(3050);
	ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
	send_tick(3000 + MIRROR_KEY_READ_INTERVAL_MS);
	ck_assert(find_action(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(asks_peers_for_a_long_value_before_the_store)
{
	struct store_entry left_out = { .key = (char *)"config",
					.mod_revision = 11 };
	uint64_t ms = 2050;

	start_with_peer_updates(1000);
	send_update(10, 11, &left_out, 1, 0, 2000);
	for (unsigned int i = 0; i < MIRROR_KEY_PEER_TRIES; i++) {
		send_tick(ms);
		ck_assert(find_action(MIRROR_DO_READ_KEY, NULL)->from_peer);
		ck_assert_uint_eq(
			find_action(MIRROR_DO_READ_KEY, NULL)->revision, 11);
		send_tick(ms + MIRROR_PEER_QUERY_MS - 1);
		ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
		ms += MIRROR_PEER_QUERY_MS;
	}
	send_tick(ms);
	ck_assert(!find_action(MIRROR_DO_READ_KEY, NULL)->from_peer);
	/* the store is not asked again while it may answer */
	send_tick(ms + 1000);
	ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(events_that_cannot_be_read_are_passed_by_a_whole_read)
{
	struct store_entry a = make_entry("a", "2", 12);

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_CORRUPT, 0, NULL, 0, 2000);
	send_tick(2000 + MIRROR_BACKOFF_MAX_MS);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	send_answer(MIRROR_READ_DONE, STATUS_OK, 13, &a, 1, 3100);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "a"));
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 14);
}
END_TEST

START_TEST(a_long_value_that_is_gone_is_not_read_for_ever)
{
	struct store_entry omitted = { .key = (char *)"odd",
				       .mod_revision = 11 };
	struct store_entry gone = make_entry("odd", NULL, 12);
	uint64_t ms = 2000 + MIRROR_KEY_READ_INTERVAL_MS;

	start_with_peer_updates(1000);
	send_update(10, 11, &omitted, 1, 0, 2000);
	send_tick(2010);
	ck_assert_str_eq(find_action(MIRROR_DO_READ_KEY, NULL)->key, "odd");
	send_answer(MIRROR_KEY_READ_DONE, STATUS_OK, 12, NULL, 0, 2020);
	if (_i)
		send_answer(MIRROR_READ_DONE, STATUS_OK, 12, NULL, 0, 2030);
	else
		send_update(11, 12, &gone, 1, 0, 2030);
	for (int i = 1; i <= 5; i++) {
		send_tick(ms + 1000 * (uint64_t)i);
		ck_assert_ptr_null(find_action(MIRROR_DO_READ_KEY, NULL));
	}
}
END_TEST

START_TEST(an_empty_value_is_a_value)
{
	struct store_entry e = { .key = (char *)"odd",
				 .value = (void *)"",
				 .mod_revision = 11 };

	start_with_peer_updates(1000);
	send_update(10, 11, &e, 1, 0, 2000);
	ck_assert_ptr_nonnull(find_action(MIRROR_KEY_CHANGED, "odd")->value);
	ck_assert_ptr_nonnull(find_mirror_entry(m, "odd").value);
	ck_assert_uint_eq(find_mirror_entry(m, "odd").len, 0);
}
END_TEST

START_TEST(applies_values_ahead_of_missing_changes)
{
	struct store_entry es[] = { make_entry("config", "new", 20),
				    make_entry("b", NULL, 21) };
	struct store_entry older[] = { make_entry("config", "old", 15),
				       make_entry("b", NULL, 18),
				       make_entry("config", "new", 20),
				       make_entry("b", "3", 21) };

	start_with_peer_updates(1000);
	/* changes 11 to 19 are missing: values apply, removals wait */
	send_update(19, 21, es, 2, 0, 2000);
	ck_assert_uint_eq(find_action(MIRROR_KEY_CHANGED, "config")->revision,
			  20);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	ck_assert_uint_eq(mirror_revision(m), 10);
	/* an older value that comes later does not replace it */
	send_update(10, 21, older, 4, 0, 2100);
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, "config"));
	ck_assert(find_action(MIRROR_KEY_REMOVED, "b"));
	ck_assert(find_action(MIRROR_KEY_CHANGED, "b"));
	ck_assert_uint_eq(mirror_revision(m), 21);
}
END_TEST

START_TEST(a_store_reader_applies_nothing_ahead)
{
	struct store_entry change = make_entry("config", "new", 20);

	read_initial_entries(1000);
	send_update(19, 20, &change, 1, 0, 2000);
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, NULL));
}
END_TEST

START_TEST(a_value_applied_ahead_is_no_base_of_an_older_one)
{
	char *first = g_strnfill(MIRROR_INLINE_VALUE_MAX + 1, 'a');
	char *second = g_strnfill(MIRROR_INLINE_VALUE_MAX + 1, 'b');
	struct store_entry ahead = make_entry("config", second, 20);
	struct store_entry es[] = { make_entry("config", first, 15),
				    make_entry("config", second, 20) };
	const struct mirror_action *a;

	send_role(false, 1000);
	read_initial_entries(1000);
	ck_assert(find_action(MIRROR_DO_WATCH, NULL));
	send_update(19, 20, &ahead, 1, 0, 1005);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "config"));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 20, es, 2, 1010);
	a = find_action(MIRROR_DO_KEEP_UPDATE, NULL);
	ck_assert_uint_eq(a->update.entry_nr, 2);
	ck_assert_ptr_null(a->update.bases[0].value);
	ck_assert_ptr_null(a->update.bases[1].value);
	g_free(first);
	g_free(second);
}
END_TEST

START_TEST(rereads_a_long_value_changed_during_its_read)
{
	struct store_entry first = { .key = (char *)"config",
				     .mod_revision = 11 };
	struct store_entry second = { .key = (char *)"config",
				      .mod_revision = 12 };
	struct store_entry whole = make_entry("config", "first", 11);

	start_with_peer_updates(1000);
	send_update(10, 11, &first, 1, 0, 2000);
	send_tick(2050);
	ck_assert(find_action(MIRROR_DO_READ_KEY, NULL));
	send_update(11, 12, &second, 1, 0, 2060);
	send_answer(MIRROR_KEY_READ_DONE, STATUS_OK, 11, &whole, 1, 2070);
	send_tick(2070 + MIRROR_KEY_READ_INTERVAL_MS);
	ck_assert(find_action(MIRROR_DO_READ_KEY, NULL));
}
END_TEST

START_TEST(reads_everything_after_a_lasting_digest_mismatch)
{
	struct store_entry b2 = make_entry("b", "2", 11);
	uint64_t reader_digest;

	start_with_peer_updates(1000);
	send_update(10, 11, &b2, 1, 0, 1500);
	reader_digest = mirror_digest(m);
	teardown();
	setup();
	start_with_peer_updates(1000);
	send_update(10, 11, NULL, 0, 0, 1500);
	send_reader_digest(11, reader_digest, 3000);
	send_reader_digest(11, reader_digest,
			   3000 + MIRROR_DIGEST_MISMATCH_MS - 1);
	send_tick(3000 + MIRROR_DIGEST_MISMATCH_MS);
	ck_assert_ptr_null(find_action(MIRROR_DO_READ, NULL));
	send_reader_digest(11, reader_digest, 3000 + MIRROR_DIGEST_MISMATCH_MS);
	send_tick(3000 + MIRROR_DIGEST_MISMATCH_MS);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
}
END_TEST

START_TEST(digest_depends_only_on_the_entries)
{
	struct store_entry a2 = make_entry("a", "2", 11);
	struct store_entry gone = make_entry("b", NULL, 12);
	struct store_entry es[] = { make_entry("a", "2", 11) };
	uint64_t digest;

	read_initial_entries(1000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 11, &a2, 1, 2000);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, &gone, 1, 2100);
	digest = mirror_digest(m);
	teardown();
	setup();
	send_tick(1000);
	send_answer(MIRROR_READ_DONE, STATUS_OK, 12, es, 1, 1000);
	ck_assert_uint_eq(mirror_digest(m), digest);
}
END_TEST

START_TEST(role_changes_keep_the_revision)
{
	read_initial_entries(1000);
	send_role(false, 2000);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	send_role(true, 3000);
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 11);
}
END_TEST

START_TEST(delays_removals_as_long_as_the_update_says)
{
	struct store_entry gone = make_entry("b", NULL, 11);

	start_with_peer_updates(1000);
	send_update(10, 11, &gone, 1, 700, 2000);
	send_tick(2699);
	ck_assert_ptr_null(find_action(MIRROR_KEY_REMOVED, NULL));
	send_tick(2700);
	ck_assert(find_action(MIRROR_KEY_REMOVED, "b"));
}
END_TEST

static void send_answer_of_era(enum mirror_event_kind kind, uint64_t era,
			       uint64_t revision, struct store_entry *es,
			       size_t nr, uint64_t now_ms)
{
	struct store_answer a = {
		.era = era, .revision = revision, .entries = es, .entry_nr = nr
	};
	struct mirror_event ev = { .kind = kind, .answer = &a };

	step_mirror(m, &ev, now_ms, out);
}

/* A and B at revision 10 and C at revision 20, in era 3. */
static void read_before_restore(uint64_t now_ms)
{
	struct store_entry es[] = { make_entry("a", "1", 5),
				    make_entry("b", "2", 10),
				    make_entry("c", "3", 20) };

	send_tick(now_ms);
	send_answer_of_era(MIRROR_READ_DONE, 3, 20, es, 3, now_ms);
}

/*
 * The copy is from revision 12, when B was not written again yet and C did not
 * exist. D was written since, with a revision that was given out before.
 */
static void read_after_restore(uint64_t now_ms)
{
	struct store_entry es[] = { make_entry("a", "1", 5),
				    make_entry("b", "old", 8),
				    make_entry("d", "4", 13) };

	send_answer_of_era(MIRROR_READ_DONE, 4, 13, es, 3, now_ms);
}

START_TEST(restored_store_is_read_and_its_differences_are_sent)
{
	const struct mirror_update *n;

	read_before_restore(1000);
	/* a watch does not lead from one era to the next */
	send_answer_of_era(MIRROR_WATCH_ANSWER, 4, 25, NULL, 0, 2000);
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	ck_assert_uint_eq(mirror_revision(m), 20);
	read_after_restore(2010);
	ck_assert_uint_eq(find_action(MIRROR_ERA_BEGAN, NULL)->position.era, 3);
	ck_assert_uint_eq(mirror_position(m).era, 4);
	ck_assert_uint_eq(mirror_position(m).revision, 13);
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, "a"));
	ck_assert_int_eq(find_action(MIRROR_KEY_CHANGED, "b")->source,
			 MIRROR_RESTORED);
	ck_assert_int_eq(find_action(MIRROR_KEY_REMOVED, "c")->source,
			 MIRROR_RESTORED);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "d"));
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 14);
	n = &find_action(MIRROR_DO_SEND_UPDATE, NULL)->update;
	ck_assert(n->restored);
	ck_assert_uint_eq(n->from.revision, 20);
	ck_assert_uint_eq(n->to.era, 4);
	ck_assert_uint_eq(n->entry_nr, 3);
}
END_TEST

START_TEST(revisions_given_out_again_are_applied)
{
	struct store_entry again = make_entry("b", "new", 14);

	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 4, 25, NULL, 0, 2000);
	read_after_restore(2010);
	/* lower than the revisions of the era before */
	send_answer_of_era(MIRROR_WATCH_ANSWER, 4, 14, &again, 1, 3000);
	ck_assert_int_eq(find_action(MIRROR_KEY_CHANGED, "b")->source,
			 MIRROR_WRITTEN);
	ck_assert_uint_eq(mirror_revision(m), 14);
}
END_TEST

START_TEST(late_answers_of_an_earlier_era_are_ignored)
{
	struct store_entry late = make_entry("c", "late", 30);

	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 4, 25, NULL, 0, 2000);
	read_after_restore(2010);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 3, 30, &late, 1, 2020);
	ck_assert(find_action(MIRROR_OLD_ANSWER, NULL));
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, NULL));
	/* a store that no longer tells its era */
	send_tick(9000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 0, 99, &late, 1, 9010);
	ck_assert(find_action(MIRROR_OLD_ANSWER, NULL));
	ck_assert_uint_eq(mirror_position(m).era, 4);
	ck_assert_uint_eq(mirror_revision(m), 13);
}
END_TEST

static void send_restored_update(struct store_position from,
				 struct store_position to,
				 struct store_entry *es, size_t nr,
				 uint64_t now_ms)
{
	struct mirror_update n = { .from = from,
				   .to = to,
				   .restored = true,
				   .entries = es,
				   .entry_nr = nr };
	struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE, .update = &n };

	step_mirror(m, &ev, now_ms, out);
}

START_TEST(others_follow_the_differences_without_a_call)
{
	struct store_position before = { 3, 20 };
	struct store_position part = { 4, 1 };
	struct store_position after = { 4, 13 };
	struct store_entry es[] = { make_entry("b", "old", 8),
				    make_entry("c", NULL, 13),
				    make_entry("d", "4", 13) };
	struct store_entry write = make_entry("a", "5", 14);
	struct mirror_update next = {
		.from = after, .to = { 4, 14 }, .entries = &write, .entry_nr = 1
	};
	struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE,
				   .update = &next };

	send_role(false, 1000);
	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 3, 20, NULL, 0, 1010);
	/* the second part does not apply before the first one */
	send_restored_update(part, after, &es[2], 1, 2000);
	ck_assert_uint_eq(mirror_position(m).era, 3);
	send_restored_update(before, part, es, 2, 2010);
	ck_assert(find_action(MIRROR_ERA_BEGAN, NULL));
	ck_assert_int_eq(find_action(MIRROR_KEY_REMOVED, "c")->source,
			 MIRROR_RESTORED);
	send_restored_update(part, after, &es[2], 1, 2020);
	ck_assert_ptr_null(find_action(MIRROR_ERA_BEGAN, NULL));
	ck_assert_uint_eq(mirror_revision(m), 13);
	step_mirror(m, &ev, 2030, out);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "a"));
	for (uint64_t ms = 2050; ms < 5000; ms += MIRROR_TICK_MS) {
		send_tick(ms);
		ck_assert_ptr_null(find_action(MIRROR_DO_READ, NULL));
		ck_assert_ptr_null(find_action(MIRROR_DO_WATCH, NULL));
	}
}
END_TEST

START_TEST(updates_of_an_earlier_era_are_refused)
{
	struct store_entry late = make_entry("c", "late", 30);

	send_role(false, 1000);
	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 3, 20, NULL, 0, 1010);
	send_restored_update((struct store_position){ 3, 20 },
			     (struct store_position){ 4, 13 }, NULL, 0, 2000);
	ck_assert_uint_eq(mirror_position(m).era, 4);
	{
		struct mirror_update n = { .from = { 3, 20 },
					   .to = { 3, 30 },
					   .entries = &late,
					   .entry_nr = 1 };
		struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE,
					   .update = &n };

		step_mirror(m, &ev, 2010, out);
	}
	ck_assert_ptr_null(find_action(MIRROR_KEY_CHANGED, NULL));
	ck_assert_uint_eq(mirror_position(m).era, 4);
}
END_TEST

START_TEST(who_misses_the_differences_asks_peers_and_then_reads)
{
	struct mirror_peer_state h = { { 4, 13 }, 1, true };
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE, .peer = &h };
	bool asked = false;

	send_role(false, 1000);
	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 3, 20, NULL, 0, 1010);
	step_mirror(m, &ev, 2000, out);
	for (uint64_t ms = 2000; ms < 2000 + MIRROR_STORE_FALLBACK_MS;
	     ms += MIRROR_TICK_MS) {
		send_tick(ms);
		asked |= find_action(MIRROR_DO_QUERY_PEER, NULL) != NULL;
		ck_assert_ptr_null(find_action(MIRROR_DO_READ, NULL));
	}
	ck_assert(asked);
	send_tick(2000 + MIRROR_STORE_FALLBACK_MS);
	ck_assert(find_action(MIRROR_DO_READ, NULL));
	read_after_restore(3000);
	ck_assert_uint_eq(mirror_position(m).era, 4);
}
END_TEST

START_TEST(copies_are_alike_after_a_restore)
{
	struct store_entry es[] = { make_entry("b", "old", 8),
				    make_entry("c", NULL, 13),
				    make_entry("d", "4", 13) };
	uint64_t read_digest;

	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 4, 25, NULL, 0, 2000);
	read_after_restore(2010);
	read_digest = mirror_digest(m);
	destroy_mirror(m);
	m = create_mirror(2);
	send_role(false, 1000);
	read_before_restore(1000);
	send_answer_of_era(MIRROR_WATCH_ANSWER, 3, 20, NULL, 0, 1010);
	send_restored_update((struct store_position){ 3, 20 },
			     (struct store_position){ 4, 13 }, es, 3, 2000);
	ck_assert_uint_eq(mirror_digest(m), read_digest);
}
END_TEST

START_TEST(first_read_may_be_stale_and_is_followed_by_a_watch)
{
	struct store_entry read = make_entry("b", "2", 10);
	struct store_entry missed = make_entry("b", "3", 12);

	send_role(false, 1000);
	send_tick(1000);
	ck_assert(find_action(MIRROR_DO_READ, NULL)->may_be_stale);
	send_answer(MIRROR_READ_DONE, STATUS_OK, 10, &read, 1, 1000);
	ck_assert_uint_eq(find_action(MIRROR_DO_WATCH, NULL)->revision, 11);
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 12, &missed, 1, 1010);
	ck_assert(find_action(MIRROR_KEY_CHANGED, "b"));
	ck_assert(find_action(MIRROR_DO_STOP_WATCH, NULL));
	/* later reads are not stale: what was missed is older than that */
	for (uint64_t ms = 2000; ms <= 3000; ms += 100)
		send_reader_digest(12, 99, ms);
	send_tick(3050);
	ck_assert(!find_action(MIRROR_DO_READ, NULL)->may_be_stale);
}
END_TEST

START_TEST(pace_of_a_watch_follows_the_bound)
{
	ck_assert_uint_eq(choose_watch_pace(3000).wait_ms, 2000);
	ck_assert_uint_eq(choose_watch_pace(3000).pause_ms, 500);
	ck_assert_uint_eq(choose_watch_pace(6000).wait_ms, 4000);
	ck_assert_uint_eq(choose_watch_pace(6000).pause_ms, 1000);
	/* what was learned before a pause has the rest of the bound */
	for (uint32_t bound_ms = 1000; bound_ms <= 60000; bound_ms += 1000)
		ck_assert_uint_le(choose_watch_pace(bound_ms).pause_ms,
				  bound_ms / 6);
	read_initial_entries(1000);
	set_mirror_watch_pace(m, choose_watch_pace(6000));
	send_answer(MIRROR_WATCH_ANSWER, STATUS_OK, 10, NULL, 0, 2000);
	ck_assert(mirror_is_watching(m, 2000 + 4000));
	ck_assert(!mirror_is_watching(m, 2000 + 4000 + MIRROR_WATCH_SLACK_MS));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("mirror");
	TCase *tc = tcase_create("mirror");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, starts_with_a_full_read_then_watches);
	tcase_add_test(tc, ignores_a_change_older_than_its_entry);
	tcase_add_test(tc, applies_a_removal_at_once_if_the_store_was_up);
	tcase_add_test(tc, delays_removals_after_a_store_outage);
	tcase_add_test(tc, delayed_removals_wait_during_another_outage);
	tcase_add_test(tc, reads_everything_after_history_was_compacted);
	tcase_add_test(tc, an_outdated_read_removes_nothing);
	tcase_add_test(tc, restarts_a_watch_that_lags_behind_peers);
	tcase_add_test(tc, watch_that_is_restarted_in_vain_ends_in_a_read);
	tcase_add_test(tc, catch_up_without_an_answer_ends_in_a_read);
	tcase_add_test(tc, bounds_the_retry_rate_of_a_failing_store);
	tcase_add_test(tc, restarts_the_watch_after_a_suspend);
	tcase_add_test(tc, store_reader_sends_only_new_changes);
	tcase_add_test(tc, sends_the_previous_value_with_a_long_value);
	tcase_add_test(tc, does_not_read_a_long_value_it_has);
	tcase_add_test(tc, does_not_read_a_long_value_that_an_update_has);
	tcase_add_test(tc, does_not_send_updates_while_catching_up);
	tcase_add_test(tc, does_not_watch_the_store_while_peers_answer);
	tcase_add_test(tc, applies_updates_in_order_and_queries_gaps);
	tcase_add_test(tc, watches_the_store_if_no_peer_answers);
	tcase_add_test(tc, rereads_a_long_value_changed_during_its_read);
	tcase_add_test(tc, asks_peers_for_a_long_value_before_the_store);
	tcase_add_test(tc,
		       events_that_cannot_be_read_are_passed_by_a_whole_read);
	tcase_add_loop_test(tc, a_long_value_that_is_gone_is_not_read_for_ever,
			    0, 2);
	tcase_add_test(tc, an_empty_value_is_a_value);
	tcase_add_test(tc, applies_values_ahead_of_missing_changes);
	tcase_add_test(tc, a_store_reader_applies_nothing_ahead);
	tcase_add_test(tc, a_value_applied_ahead_is_no_base_of_an_older_one);
	tcase_add_test(tc, reads_everything_after_a_lasting_digest_mismatch);
	tcase_add_test(tc, digest_depends_only_on_the_entries);
	tcase_add_test(tc, reads_everything_if_no_peer_has_the_updates);
	tcase_add_test(tc, reads_a_long_value_left_out_of_an_update);
	tcase_add_test(tc, role_changes_keep_the_revision);
	tcase_add_test(tc, delays_removals_as_long_as_the_update_says);
	tcase_add_test(tc, every_change_of_an_answer_keeps_its_value);
	tcase_add_test(tc, restored_store_is_read_and_its_differences_are_sent);
	tcase_add_test(tc, revisions_given_out_again_are_applied);
	tcase_add_test(tc, late_answers_of_an_earlier_era_are_ignored);
	tcase_add_test(tc, others_follow_the_differences_without_a_call);
	tcase_add_test(tc, updates_of_an_earlier_era_are_refused);
	tcase_add_test(tc,
		       who_misses_the_differences_asks_peers_and_then_reads);
	tcase_add_test(tc, copies_are_alike_after_a_restore);
	tcase_add_test(tc, first_read_may_be_stale_and_is_followed_by_a_watch);
	tcase_add_test(tc, pace_of_a_watch_follows_the_bound);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
