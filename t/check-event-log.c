/* Tests of net/event-log: budgets, a stalled reader, the page of events. */

#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <log4c.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/event-log.h"

static struct event_log *el;
static int fds[2];

static size_t count_lines(const char *text)
{
	size_t n = 0;

	for (; *text; text++)
		n += *text == '\n';
	return n;
}

static void setup(void)
{
	log4c_init();
	ck_assert(!pipe(fds));
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	el = create_event_log(fds[1]);
}

static void teardown(void)
{
	destroy_event_log(el);
	close(fds[0]);
	close(fds[1]);
	log4c_fini();
}

/* The text written since the last call; the caller frees it. */
static char *read_all(void)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	while ((n = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(text, buf, n);
	return g_string_free(text, FALSE);
}

START_TEST(foreign_text_makes_no_line_of_its_own)
{
	char *text;

	log_event(el, EVENT_UPSTREAM_INVALID, "upstream=%s revision=%d",
		  "x\nt=1 event=flow-reset\r\x1b[2J\x7f", 7);
	flush_event_log(el, 1000);
	text = read_all();
	ck_assert_uint_eq(count_lines(text), 1);
	ck_assert_ptr_nonnull(strstr(
		text, "upstream=x?t=1 event=flow-reset??[2J? revision=7\n"));
	g_free(text);
}
END_TEST

START_TEST(log_line_has_time_event_and_fields)
{
	char *text;

	log_event(el, EVENT_ROUTES, "version=%d", 7);
	flush_event_log(el, 1000);
	text = read_all();
	ck_assert(g_str_has_prefix(text, "t="));
	ck_assert(g_str_has_suffix(text, " event=routes version=7\n"));
	g_free(text);
}
END_TEST

START_TEST(lines_over_budget_are_dropped_and_reported)
{
	char *text;

	flush_event_log(el, 1000);
	for (int i = 0; i < 100; i++)
		log_event(el, EVENT_ROUTES, "version=%d", i);
	flush_event_log(el, 1500);
	text = read_all();
	ck_assert_uint_eq(count_lines(text), 10);
	g_free(text);
	flush_event_log(el, 2000);
	text = read_all();
	ck_assert(strstr(text, "event=suppressed kind=routes count=90\n"));
	ck_assert_uint_eq(suppressed_event_count(el), 90);
	g_free(text);
}
END_TEST

/* Nobody reads the pipe for ten seconds: lines are lost, no write blocks. */
START_TEST(stalled_reader_loses_lines_without_blocking)
{
	char *text;

	for (uint64_t t = 1000; t < 11000; t += 10) {
		for (int i = 0; i < 5; i++)
			log_event(el, EVENT_FLOW_RESET,
				  "flow=%d padding=%0200d", i, 0);
		flush_event_log(el, t);
	}
	ck_assert_uint_gt(lost_event_count(el), 0);
	text = read_all();
	ck_assert(g_str_has_prefix(text, "t="));
	g_free(text);
	flush_event_log(el, 11000);
	text = read_all();
	ck_assert_uint_gt(strlen(text), 0);
	g_free(text);
}
END_TEST

/* Asserts that PAGE describes each field KEY=... in the source file PATH. */
static void check_fields_documented(const char *path, const char *page)
{
	GRegex *field =
		g_regex_new("\\b([a-z_]+)=(%|[a-z0-9]+[ \"\\\\])", 0, 0, NULL);
	GMatchInfo *match;
	char *code;

	ck_assert(g_file_get_contents(path, &code, NULL, NULL));
	for (g_regex_match(field, code, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL)) {
		char *name = g_match_info_fetch(match, 1);
		char *cell = g_strdup_printf("`%s`", name);

		ck_assert_msg(strstr(page, cell),
			      "docs/LOGS.md lacks the field %s of %s", cell,
			      path);
		g_free(cell);
		g_free(name);
	}
	g_match_info_free(match);
	g_regex_unref(field);
	g_free(code);
}

START_TEST(docs_page_describes_every_field)
{
	GDir *dir = g_dir_open("net", 0, NULL);
	const char *name;
	unsigned int files = 0;
	char *page;
	char *fields;

	ck_assert(g_file_get_contents("docs/LOGS.md", &page, NULL, NULL));
	fields = strstr(page, "| Field |");
	ck_assert_ptr_nonnull(fields);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename("net", name, NULL);

		if (g_str_has_prefix(name, "edge") &&
		    g_str_has_suffix(name, ".c")) {
			check_fields_documented(path, fields);
			files++;
		}
		g_free(path);
	}
	ck_assert_uint_gt(files, 0);
	g_dir_close(dir);
	g_free(page);
}
END_TEST

START_TEST(docs_page_lists_every_event)
{
	char *page;

	ck_assert(g_file_get_contents("docs/LOGS.md", &page, NULL, NULL));
	for (int i = 0; i < EVENT_KIND_NR; i++) {
		char *row = g_strdup_printf(
			"| `%s` | %u | %s |", event_name((enum event_kind)i),
			event_lines_per_s((enum event_kind)i),
			event_doc((enum event_kind)i));

		ck_assert_msg(strstr(page, row), "docs/LOGS.md lacks: %s", row);
		g_free(row);
	}
	g_free(page);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("event-log");
	TCase *tc = tcase_create("event-log");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, log_line_has_time_event_and_fields);
	tcase_add_test(tc, foreign_text_makes_no_line_of_its_own);
	tcase_add_test(tc, lines_over_budget_are_dropped_and_reported);
	tcase_add_test(tc, stalled_reader_loses_lines_without_blocking);
	tcase_add_test(tc, docs_page_lists_every_event);
	tcase_add_test(tc, docs_page_describes_every_field);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
