/*
 * A store that is restored from older copies, under all orders of a few events
 * at two instances, and under random longer ones at four. Guards against
 * records that go back with the store: configurations, domains that were taken
 * out, upstreams that drained or left. See t/restore-simulation.h.
 */

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "t/restore-simulation.h"

#define DEPTH_MAX 8
#define DEPTH_DEFAULT 5 /* unless BV_RESTORE_DEPTH is set */
#define STATES_MAX 1000000
#define RESTORES_MAX 2
#define RANDOM_RUNS 400
#define RANDOM_STEPS 60

struct path {
	uint8_t events[DEPTH_MAX];
	uint8_t nr;
	uint8_t restores;
};

static char *format_path(const struct path *p)
{
	GString *s = g_string_new(NULL);

	for (uint8_t i = 0; i < p->nr; i++)
		g_string_append_printf(
			s, " %s",
			restore_event_name((enum restore_event)p->events[i]));
	return g_string_free(s, FALSE);
}

/* What an exploration found. */
struct exploration {
	size_t states;
	char *violation; /* NULL: none */
	struct path path;
};

/* Adds the state after P to PATHS unless it was seen; checks it. */
static void visit(struct exploration *ex, GHashTable *seen, GArray *paths,
		  const struct path *p, bool believe_copy)
{
	struct restore_sim *sim = create_restore_sim(2, believe_copy);
	gint64 *hash;
	bool enabled = true;

	for (uint8_t i = 0; i < p->nr; i++)
		enabled =
			step_restore_sim(sim, (enum restore_event)p->events[i]);
	if (!enabled) {
		destroy_restore_sim(sim);
		return;
	}
	hash = g_new(gint64, 1);
	*hash = (gint64)hash_restore_sim(sim);
	if (!g_hash_table_add(seen, hash)) {
		destroy_restore_sim(sim);
		return;
	}
	g_array_append_val(paths, *p);
	ex->states++;
	settle_restore_sim(sim);
	if (!ex->violation && restore_violation(sim)) {
		ex->violation = g_strdup(restore_violation(sim));
		ex->path = *p;
	}
	destroy_restore_sim(sim);
}

static uint8_t exploration_depth(void)
{
	const char *text = getenv("BV_RESTORE_DEPTH");
	int depth = text ? atoi(text) : DEPTH_DEFAULT;

	return (uint8_t)CLAMP(depth, 1, DEPTH_MAX);
}

static struct exploration explore(bool believe_copy)
{
	struct exploration ex = { 0 };
	GHashTable *seen = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	GArray *paths = g_array_new(FALSE, FALSE, sizeof(struct path));
	struct path empty = { 0 };
	uint8_t depth = exploration_depth();

	g_array_append_val(paths, empty);
	for (guint i = 0; i < paths->len && !ex.violation; i++) {
		struct path p = g_array_index(paths, struct path, i);

		if (p.nr >= depth)
			break;
		for (int ev = 0; ev < RESTORE_EVENT_NR; ev++) {
			struct path next = p;

			next.restores += ev == RESTORE_RESTORE;
			if (next.restores > RESTORES_MAX)
				continue;
			next.events[next.nr++] = (uint8_t)ev;
			visit(&ex, seen, paths, &next, believe_copy);
		}
		if (ex.states > STATES_MAX)
			break;
	}
	g_array_free(paths, TRUE);
	g_hash_table_destroy(seen);
	return ex;
}

START_TEST(nothing_goes_back_in_any_order_of_events)
{
	struct exploration ex = explore(false);
	char *path = format_path(&ex.path);

	printf("%zu states explored to depth %u\n", ex.states,
	       exploration_depth());
	ck_assert_msg(!ex.violation, "%s after:%s", ex.violation, path);
	ck_assert_uint_gt(ex.states, 1000);
	g_free(path);
}
END_TEST

START_TEST(believing_the_copy_is_noticed)
{
	struct exploration ex = explore(true);

	ck_assert_ptr_nonnull(ex.violation);
	g_free(ex.violation);
}
END_TEST

START_TEST(nothing_goes_back_in_long_random_runs)
{
	for (guint32 seed = 1; seed <= RANDOM_RUNS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct restore_sim *sim = create_restore_sim(4, false);

		for (int i = 0; i < RANDOM_STEPS; i++)
			step_restore_sim(sim,
					 (enum restore_event)g_rand_int_range(
						 rand, 0, RESTORE_EVENT_NR));
		settle_restore_sim(sim);
		ck_assert_msg(!restore_violation(sim), "seed %u: %s", seed,
			      restore_violation(sim));
		destroy_restore_sim(sim);
		g_rand_free(rand);
	}
}
END_TEST

/* Others are told what changed, in a domain of any size; one reads. */
START_TEST(only_the_reader_reads_after_a_restore)
{
	static const unsigned int sizes[] = { 9, 300 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct restore_sim *sim = create_restore_sim(sizes[i], false);
		unsigned int before;

		step_restore_sim(sim, RESTORE_COPY);
		step_restore_sim(sim, RESTORE_CONFIG);
		step_restore_sim(sim, RESTORE_WATCH);
		step_restore_sim(sim, RESTORE_UPDATES);
		before = restore_read_count(sim);
		step_restore_sim(sim, RESTORE_RESTORE);
		step_restore_sim(sim, RESTORE_WATCH);
		step_restore_sim(sim, RESTORE_UPDATES);
		settle_restore_sim(sim);
		ck_assert_ptr_null(restore_violation(sim));
		ck_assert_uint_eq(restore_read_count(sim), before + 1);
		destroy_restore_sim(sim);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("restore");
	TCase *tc = tcase_create("restore");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 300);
	tcase_add_test(tc, nothing_goes_back_in_any_order_of_events);
	tcase_add_test(tc, believing_the_copy_is_noticed);
	tcase_add_test(tc, nothing_goes_back_in_long_random_runs);
	tcase_add_test(tc, only_the_reader_reads_after_a_restore);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
