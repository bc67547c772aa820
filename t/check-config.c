/* Tests of config/: service files, settings, snapshots. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/ini.h"
#include "config/service-file.h"
#include "config/settings.h"
#include "config/snapshot.h"

#define GOOD                                                                   \
	"[service]\nname = desk\nkind = requests\n"                            \
	"address = 192.0.2.1:80\ndeadline = 5s\n[upstream a]\n"                \
	"address = 192.0.2.2:80\ndomain = north\nslots = 3\n"

static struct problems *ps;

static void setup(void)
{
	ps = create_problems();
}

static void teardown(void)
{
	destroy_problems(ps);
}

static struct service *parse(const char *text)
{
	return parse_service_file("f.ini", text, strlen(text), ps);
}

START_TEST(valid_service_file_is_parsed)
{
	struct service *sv = parse(GOOD);

	ck_assert_ptr_nonnull(sv);
	ck_assert_uint_eq(sv->deadline_ms, 5000);
	ck_assert_uint_eq(sv->upstreams[0].slots, 3);
	ck_assert_uint_eq(sv->upstreams[0].cold_slots, 1);
	unref_service(sv);
}
END_TEST

/* A line added to GOOD, and text that the error must contain. */
static const char *const bad_lines[][2] = {
	{ "colour = red", "unknown key" },
	{ "slots = 4", "duplicate key" },
	{ "cold-slots = 0", "not a number from 1" },
	{ "connections = 99999999", "not a number from 1" },
	{ "cold-slots = 4", "exceeds slots" },
	{ "state = asleep", "must be 'active' or 'draining'" },
	{ "[upstream b]\naddress = 1.2.3.4:1", "domain is missing" },
	{ "[upstream b]\naddress = host:1\ndomain = x",
	  "not a numeric IP address" },
	{ "[upstream B]\nslots = 1", "an upstream's name" },
	{ "[other]\na = b", "unknown section" },
	{ "just words", "expected [section]" },
};

START_TEST(each_invalid_line_is_reported)
{
	char *text = g_strdup_printf("%s%s\n", GOOD, bad_lines[_i][0]);

	ck_assert_ptr_null(parse(text));
	ck_assert_uint_eq(problem_count(ps), 1);
	ck_assert_msg(strstr(problem_at(ps, 0), bad_lines[_i][1]) &&
			      g_str_has_prefix(problem_at(ps, 0), "f.ini:"),
		      "%s", problem_at(ps, 0));
	g_free(text);
}
END_TEST

START_TEST(all_errors_are_reported_in_one_pass)
{
	ck_assert_ptr_null(parse("[service]\nname = Desk\nkind = x\n"
				 "deadline = 5\naddress = a\n"));
	ck_assert_uint_eq(problem_count(ps), 4);
}
END_TEST

START_TEST(empty_binary_and_huge_files_are_refused)
{
	char *big = g_strnfill(INT16_MAX * 40, 'x');

	ck_assert_ptr_null(parse(""));
	ck_assert_ptr_null(parse("\x01\xff\xfe garbage \x80"));
	ck_assert_ptr_null(parse_service_file("f", "a\0b", 3, ps));
	ck_assert_ptr_null(parse(big));
	ck_assert_uint_ge(problem_count(ps), 4);
	g_free(big);
}
END_TEST

/* A file, and text that the error must contain; NULL: the file is valid. */
static const char *const unusual_files[][2] = {
	{ "", "file is empty" },
	{ "\n\n; nothing\n", "name is missing" },
	{ "name = desk\n" GOOD,
	  "f.ini:1: name: key before the first [section]" },
	{ GOOD "[service]\nidle = 5s\n",
	  "[service] repeated; first in line 1" },
	{ GOOD "[upstream a]\nconnections = 5\n", "[upstream a] repeated" },
	{ GOOD "connections = 5 ; five\n", NULL },
	{ GOOD "connections = 5;five\n", "not a number" },
	{ "\xef\xbb\xbf" GOOD, NULL },
	{ "[service\nname = desk\n", "f.ini:1: expected [section]" },
	{ GOOD "connections = 5\n  6\n", "a value must fit on one line" },
	{ "one\ntwo\nthree\n", "f.ini:1: expected" },
	{ GOOD "connections =\n", "not a number" },
	{ GOOD "domain = north south\n", "duplicate key" },
	{ "\xff\xfe[\0s", "not a text file" },
	{ "\x7f"
	  "ELF\x02\x01\x01",
	  "expected [section]" },
};

START_TEST(unusual_files_are_read_or_explained)
{
	struct service *sv = parse(unusual_files[_i][0]);
	const char *want = unusual_files[_i][1];

	if (want)
		ck_assert_msg(problem_at(ps, 0) &&
				      strstr(problem_at(ps, 0), want),
			      "%s", problem_at(ps, 0));
	else
		ck_assert_msg(sv != NULL, "%s", problem_at(ps, 0));
	ck_assert((sv == NULL) == (want != NULL));
	unref_service(sv);
}
END_TEST

START_TEST(every_malformed_line_is_reported)
{
	ck_assert_ptr_null(parse("[service]\none\ntwo\n[open\nthree\n"));
	ck_assert_uint_eq(problem_count(ps), 4);
}
END_TEST

START_TEST(crlf_line_ends_are_accepted)
{
	GString *text = g_string_new(GOOD);
	struct service *sv;

	g_string_replace(text, "\n", "\r\n", 0);
	sv = parse(text->str);
	ck_assert_msg(sv != NULL, "%s", problem_at(ps, 0));
	ck_assert_str_eq(sv->name, "desk");
	unref_service(sv);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(an_oversized_file_gives_one_error)
{
	char *big = g_malloc(INI_FILE_MAX + 2);

	memset(big, '\n', INI_FILE_MAX + 1);
	big[INI_FILE_MAX + 1] = '\0';
	ck_assert_ptr_null(parse(big));
	ck_assert_uint_eq(problem_count(ps), 1);
	ck_assert(strstr(problem_at(ps, 0), "at most 1048576"));
	g_free(big);
}
END_TEST

START_TEST(two_services_on_one_address_are_refused)
{
	struct service *svs[2] = { parse(GOOD), parse(GOOD) };
	struct snapshot *sn = create_snapshot(1, "id", svs, 2);

	check_snapshot(sn, ps);
	ck_assert_uint_ge(problem_count(ps), 1);
	unref_snapshot(sn);
	unref_service(svs[0]);
	unref_service(svs[1]);
}
END_TEST

START_TEST(snapshot_round_trips_and_truncation_fails)
{
	struct service *sv = parse(GOOD);
	struct snapshot *sn = create_snapshot(7, "id", &sv, 1);
	struct snapshot *back;
	struct wire_writer w;

	init_wire_writer(&w);
	encode_snapshot(&w, sn);
	back = decode_snapshot(w.buf.data, w.buf.size, NULL);
	ck_assert_ptr_nonnull(back);
	ck_assert_uint_eq(snapshot_epoch(back), 7);
	ck_assert_uint_eq(snapshot_digest(back), snapshot_digest(sn));
	ck_assert_ptr_null(decode_snapshot(w.buf.data, w.buf.size - 1, NULL));
	unref_snapshot(back);
	unref_snapshot(sn);
	unref_service(sv);
	release_wire_writer(&w);
}
END_TEST

START_TEST(invalid_settings_are_refused)
{
	const char *good = "[instance]\nname = a\ndomain = n\n"
			   "address = 127.0.0.1\n"
			   "[store]\nendpoints = 127.0.0.1:1, 127.0.0.1:2\n";
	const char *bad = "[instance]\nname = a\nadmin-port = 0\n";
	struct settings s;

	ck_assert(parse_settings("s", good, strlen(good), NULL, &s, ps));
	ck_assert_uint_eq(s.store.nr, 2);
	ck_assert(!parse_settings("s", bad, strlen(bad), NULL, &s, ps));
}
END_TEST

#define EDGE_SETTINGS                                                          \
	"[instance]\nname = front-1\ndomain = north\n"                         \
	"address = 10.1.0.10\npeer-port = 7720\nlink-mbps = 1000.0\n"          \
	"[listen]\npackets = 10.1.0.10:8172\nready = 10.1.0.10:8167\n"         \
	"metrics = \n[flows]\nsteering = cookie\n"                             \
	"[store]\nendpoints = 10.200.1.7:8169\n[peers]\nseeds = \n"            \
	"[bounds]\nheartbeat = 1200ms\nflow-lifetime = 60s\nstop = 6s\n"

START_TEST(invalid_cookie_steering_settings_are_refused)
{
	static const char *const broken[][2] = {
		{ "steering = cookie", "steering = cookies" },
		{ "ready = 10.1.0.10:8167", "ready = here" },
		{ "ready = 10.1.0.10:8167", "" },
		{ "link-mbps = 1000.0", "link-mbps = fast" },
		{ "heartbeat = 1200ms", "heartbeat = 1200" },
		{ "heartbeat = 1200ms", "heartbeat = 1200h" },
		{ "heartbeat = 1200ms", "heartbeat = 0x10ms" },
		{ "heartbeat = 1200ms", "heartbeat = 1.2.0ms" },
		{ "heartbeat = 1200ms", "heartbeat = soon" },
		{ "stop = 6s", "halt = 6s" },
	};
	struct settings s;

	ck_assert(parse_settings("s", EDGE_SETTINGS, strlen(EDGE_SETTINGS),
				 NULL, &s, ps));
	ck_assert_int_eq(s.steering, STEER_BY_COOKIE);
	ck_assert_uint_eq(s.packets.port, 8172);
	ck_assert_uint_eq(s.metrics.family, 0);
	ck_assert_uint_eq(s.link_mbps, 1000);
	ck_assert_uint_eq(s.bounds.heartbeat_ms, 1200);
	ck_assert_uint_eq(s.bounds.kill_after_ms, 6000);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
		char **parts = g_strsplit(EDGE_SETTINGS, broken[i][0], 2);
		char *text = g_strjoinv(broken[i][1], parts);
		size_t before = problem_count(ps);

		ck_assert(
			!parse_settings("s", text, strlen(text), NULL, &s, ps));
		ck_assert_uint_gt(problem_count(ps), before);
		g_strfreev(parts);
		g_free(text);
	}
}
END_TEST

struct odd_figure {
	const char *line;
	const char *rendered;
	bool meaningful;
	struct steering_bounds expected; /* 0: as in EDGE_SETTINGS */
};

static const struct odd_figure odd_figures[] = {
	{ "stop = 6s", "stop = 5.5s", true, { .kill_after_ms = 5500 } },
	{ "stop = 6s", "stop = 6.0s", true, { .kill_after_ms = 6000 } },
	{ "stop = 6s", "stop = 1.0059s", true, { .kill_after_ms = 1005 } },
	{ "stop = 6s", "stop = 1.005s", true, { .kill_after_ms = 1005 } },
	{ "stop = 6s", "stop = 2e1s", true, { .kill_after_ms = 20000 } },
	{ "stop = 6s", "stop = 7200s", true, { .kill_after_ms = 7200000 } },
	{ "stop = 6s", "stop = 1e30s", false, { .kill_after_ms = UINT32_MAX } },
	{ "stop = 6s", "stop = trues", false, { .kill_after_ms = 7 } },
	{ "stop = 6s", "stop = s", false, { .kill_after_ms = 7 } },
	{ "stop = 6s", "stop = -3s", false, { .kill_after_ms = 7 } },
	{ "flow-lifetime = 60s",
	  "flow-lifetime = 1.0001s",
	  true,
	  { .flow_lifetime_ms = 1001 } },
	{ "heartbeat = 1200ms",
	  "heartbeat = 1e-05ms",
	  true,
	  { .heartbeat_ms = 1 } },
	{ "heartbeat = 1200ms",
	  "heartbeat = 0ms",
	  false,
	  { .heartbeat_ms = 8 } },
	{ "heartbeat = 1200ms",
	  "heartbeat = falsems",
	  false,
	  { .heartbeat_ms = 8 } },
	{ "stop = 6s",
	  "stop = 6s\ncold-factor = true",
	  false,
	  { .cold_factor = 2.5 } },
	{ "stop = 6s",
	  "stop = 6s\ncold-factor = 1.25e0",
	  true,
	  { .cold_factor = 1.25 } },
	{ "stop = 6s",
	  "stop = 6s\ncold-slack =",
	  false,
	  { .cold_slack = 3.5 } },
	{ "link-mbps = 1000.0", "link-mbps = -1", false, { 0 } },
	{ "link-mbps = 1000.0", "link-mbps = 0", false, { 0 } },
	{ "link-mbps = 1000.0", "link-mbps =", false, { 0 } },
	{ "peer-port = 7720", "peer-port =", false, { 0 } },
	{ "seeds = ", "seeds = 10.1.0.11:8166,somewhere", false, { 0 } },
};

/* A machine never started again with a bound of 5.5 seconds (review/5). */
START_TEST(odd_figure_is_used_or_told_and_the_rest_of_the_file_applies)
{
	static const struct steering_bounds running = { .kill_after_ms = 7,
							.heartbeat_ms = 8,
							.cold_factor = 2.5,
							.cold_slack = 3.5 };
	const struct odd_figure *f = &odd_figures[_i];
	const struct steering_bounds *x = &f->expected;
	char **parts = g_strsplit(EDGE_SETTINGS, f->line, 2);
	char *text = g_strjoinv(f->rendered, parts);
	struct settings s;

	ck_assert_ptr_nonnull(parts[1]);
	ck_assert(parse_settings("s", text, strlen(text), &running, &s, ps));
	ck_assert_uint_eq(problem_count(ps), f->meaningful ? 0 : 1);
	ck_assert_str_eq(s.name, "front-1");
	ck_assert_uint_eq(s.packets.port, 8172);
	ck_assert_uint_eq(s.bounds.kill_after_ms,
			  x->kill_after_ms ? x->kill_after_ms : 6000);
	ck_assert_uint_eq(s.bounds.flow_lifetime_ms,
			  x->flow_lifetime_ms ? x->flow_lifetime_ms : 60000);
	ck_assert_uint_eq(s.bounds.heartbeat_ms,
			  x->heartbeat_ms ? x->heartbeat_ms : 1200);
	ck_assert(s.bounds.cold_factor ==
		  (x->cold_factor > 0 ? x->cold_factor : 1.5));
	ck_assert(s.bounds.cold_slack ==
		  (x->cold_slack > 0 ? x->cold_slack : 5));
	/* without figures that are in force the defaults are used */
	ck_assert(parse_settings("s", text, strlen(text), NULL, &s, ps));
	g_strfreev(parts);
	g_free(text);
}
END_TEST

/* The platform may list words that mean nothing here, in several forms. */
START_TEST(upstreams_are_compared_only_if_health_is_listed)
{
	static const struct {
		const char *list;
		bool compared;
	} cases[] = {
		{ "", false },
		{ "[upstreams]\ncapabilities =\n", false },
		{ "[upstreams]\ncapabilities = healthy, retries\n", false },
		{ "[upstreams]\ncapabilities = health\n", true },
		{ "[upstreams]\ncapabilities = retries, health\n", true },
		{ "[upstreams]\ncapabilities = [\"retries\",\"health\"]\n",
		  true },
	};
	struct settings s;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strconcat(EDGE_SETTINGS, cases[i].list, NULL);

		ck_assert(
			parse_settings("s", text, strlen(text), NULL, &s, ps));
		ck_assert_int_eq(s.compare_upstreams, cases[i].compared);
		g_free(text);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("config");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, valid_service_file_is_parsed);
	tcase_add_loop_test(tc, each_invalid_line_is_reported, 0,
			    sizeof(bad_lines) / sizeof(bad_lines[0]));
	tcase_add_test(tc, all_errors_are_reported_in_one_pass);
	tcase_add_test(tc, empty_binary_and_huge_files_are_refused);
	tcase_add_loop_test(tc, unusual_files_are_read_or_explained, 0,
			    sizeof(unusual_files) / sizeof(unusual_files[0]));
	tcase_add_test(tc, every_malformed_line_is_reported);
	tcase_add_test(tc, crlf_line_ends_are_accepted);
	tcase_add_test(tc, an_oversized_file_gives_one_error);
	tcase_add_test(tc, two_services_on_one_address_are_refused);
	tcase_add_test(tc, snapshot_round_trips_and_truncation_fails);
	tcase_add_test(tc, invalid_settings_are_refused);
	tcase_add_test(tc, invalid_cookie_steering_settings_are_refused);
	tcase_add_loop_test(
		tc, odd_figure_is_used_or_told_and_the_rest_of_the_file_applies,
		0, G_N_ELEMENTS(odd_figures));
	tcase_add_test(tc, upstreams_are_compared_only_if_health_is_listed);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
