/* Tests of base/: patches, status table, endpoints, handles, charts, wire. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/patch.h"
#include "base/chart.h"
#include "base/counters.h"
#include "base/endpoint.h"
#include "base/handles.h"
#include "base/loop-lag.h"
#include "base/wire.h"

START_TEST(patch_fails_on_another_base_or_damage)
{
	static const char old[] = "one two three four five six seven eight";
	static const char new[] = "one two three FOUR five six seven eight";
	static const char other[] = "nine ten eleven twelve thirteen fourteen";
	GBytes *patch = make_patch(old, sizeof(old), new, sizeof(new));
	size_t len;
	const guint8 *data = g_bytes_get_data(patch, &len);
	guint8 *broken = g_memdup2(data, len);
	GBytes *got = apply_patch(old, sizeof(old), data, len, sizeof(new));

	ck_assert_ptr_nonnull(got);
	ck_assert_uint_eq(g_bytes_get_size(got), sizeof(new));
	ck_assert_str_eq(g_bytes_get_data(got, NULL), new);
	g_bytes_unref(got);
	ck_assert_ptr_null(
		apply_patch(old, sizeof(old), data, len, sizeof(new) - 1));
	ck_assert_ptr_null(
		apply_patch(other, sizeof(other), data, len, sizeof(new)));
	for (size_t cut = 0; cut < len; cut++)
		ck_assert_ptr_null(
			apply_patch(old, sizeof(old), data, cut, sizeof(new)));
	for (size_t i = 0; i < 8 * len; i++) {
		broken[i / 8] ^= (guint8)(1 << i % 8);
		got = apply_patch(old, sizeof(old), broken, len, sizeof(new));
		/* some bits of the frame's header do not affect the result */
		if (got)
			ck_assert_str_eq(g_bytes_get_data(got, NULL), new);
		g_clear_pointer(&got, g_bytes_unref);
		broken[i / 8] ^= (guint8)(1 << i % 8);
	}
	g_free(broken);
	g_bytes_unref(patch);
}
END_TEST

START_TEST(loop_lag_is_the_longest_delay_of_late)
{
	struct loop_lag lag = { 0 };
	uint64_t t = 5000;

	ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, 5000), 0);
	for (; t < 8000; t += 10)
		note_loop_tick(&lag, 10, t);
	ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, 8000), 0);
	/* before the late tick runs */
	ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, 8140), 140);
	for (t = 8140; t < 9140; t += 10) {
		note_loop_tick(&lag, 10, t);
		ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, t), 140);
	}
	for (; t < 8140 + 2 * LOOP_LAG_PERIOD_MS + 10; t += 10)
		note_loop_tick(&lag, 10, t);
	ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, t), 0);
	/* a long pause counts in the period that it ends */
	note_loop_tick(&lag, 10, t + 60000);
	ck_assert_uint_eq(recent_loop_lag_ms(&lag, 10, t + 60000), 60000);
}
END_TEST

START_TEST(every_status_kind_has_a_row)
{
	for (int k = 0; k < STATUS_KIND_NR; k++) {
		const struct status_row *row =
			find_status_row((enum status_kind)k);

		ck_assert_ptr_nonnull(row->name);
		ck_assert_int_ge(row->http_code, 200);
	}
	ck_assert(find_status_row(STATUS_NOT_RUN)->resend_safe);
	ck_assert(!find_status_row(STATUS_UNKNOWN)->resend_safe);
}
END_TEST

START_TEST(counter_names_are_unique)
{
	for (int i = 0; i < COUNTER_NR; i++)
		for (int j = 0; j < i; j++)
			ck_assert_str_ne(counter_name((enum counter)i),
					 counter_name((enum counter)j));
}
END_TEST

START_TEST(endpoints_round_trip)
{
	static const char *const good[] = { "192.0.2.1:80", "[2001:db8::1]:9",
					    "127.0.0.1:65535" };
	char text[ENDPOINT_TEXT_MAX];
	struct endpoint ep;

	for (size_t i = 0; i < 3; i++) {
		ck_assert_int_eq(parse_endpoint(good[i], &ep, NULL), STATUS_OK);
		ck_assert_str_eq(format_endpoint(&ep, text), good[i]);
	}
}
END_TEST

START_TEST(bad_endpoints_are_refused)
{
	static const char *const bad[] = {
		"",	     "localhost:80",  "1.2.3.4",
		"1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4: 1",
		"::1:80",    "[::1:80",	      "1.2.3:4",
		"1.2.3.4:8x"
	};
	struct endpoint ep;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(parse_endpoint(bad[i], &ep, NULL),
				 STATUS_INVALID);
}
END_TEST

START_TEST(released_handles_find_nothing)
{
	struct handles *hs = create_handles();
	int a;
	int b;
	handle_t ha = add_handle(hs, &a);
	handle_t hb;

	ck_assert_ptr_eq(find_handle(hs, ha), &a);
	ck_assert_ptr_eq(remove_handle(hs, ha), &a);
	ck_assert_ptr_null(find_handle(hs, ha));
	hb = add_handle(hs, &b);
	ck_assert_uint_ne(ha, hb);
	ck_assert_ptr_null(remove_handle(hs, ha));
	ck_assert_ptr_eq(find_handle(hs, hb), &b);
	ck_assert_uint_eq(handle_count(hs), 1);
	destroy_handles(hs);
}
END_TEST

static const char *const states[] = { "a", "b" };
static const char *const events[] = { "go", "stop" };

static size_t chart_problems(const char *text)
{
	struct problems *ps = create_problems();
	struct chart *ch = create_chart("test", text, states, 2, events, 2, ps);
	size_t n = problem_count(ps);

	ck_assert((n == 0) == (ch != NULL));
	destroy_chart(ch);
	destroy_problems(ps);
	return n;
}

START_TEST(incomplete_charts_are_refused)
{
	const char *head = "[chart]\ninitial = a\n";
	char text[200];

	snprintf(text, sizeof(text), "%s[a]\ngo=b\nstop=a\n[b]\ngo=b\nstop=a",
		 head);
	ck_assert_uint_eq(chart_problems(text), 0);
	snprintf(text, sizeof(text), "%s[a]\ngo=c\nstop=a\n[b]\ngo=b\nstop=a",
		 head);
	ck_assert_uint_ge(chart_problems(text), 1);
	snprintf(text, sizeof(text), "%s[a]\ngo=a\nstop=a\n[b]\ngo=b\nstop=a",
		 head);
	ck_assert_uint_eq(chart_problems(text), 1);
	snprintf(text, sizeof(text), "%s[a]\ngo=b\nstop=a\n[b]\ngo=b", head);
	ck_assert_uint_eq(chart_problems(text), 1);
}
END_TEST

START_TEST(wire_refuses_wrong_types_and_trailing_bytes)
{
	struct wire_writer w;
	struct wire_message msg;
	struct wire_reader r;
	char text[4];

	init_wire_writer(&w);
	write_array(&w, 2);
	write_uint(&w, 7);
	write_str(&w, "long");
	ck_assert(open_wire_message(&msg, &r, w.buf.data, w.buf.size));
	ck_assert_uint_eq(read_uint(&r, 7), 7);
	read_str(&r, text, sizeof(text));
	ck_assert(r.malformed);
	release_wire_message(&msg);
	write_uint(&w, 1);
	ck_assert(!open_wire_message(&msg, &r, w.buf.data, w.buf.size));
	release_wire_message(&msg);
	release_wire_writer(&w);
}
END_TEST

START_TEST(wire_reserves_no_memory_for_elements_that_are_missing)
{
	static const struct {
		uint8_t data[8];
		size_t len;
	} messages[] = {
		{ { 0xdd, 0xff, 0xff, 0xff, 0xff }, 5 },
		{ { 0xdc, 0xff, 0xff, 0x01 }, 4 },
		{ { 0x91, 0xdf, 0xff, 0xff, 0xff, 0xff }, 6 },
		{ { 0x91, 0xc6, 0xff, 0xff, 0xff, 0xff, 0x01 }, 7 },
		{ { 0x91, 0xdb, 0xff, 0xff }, 4 },
		{ { 0x92, 0x01 }, 2 },
		{ { 0x81 }, 1 },
		{ { 0 }, 0 },
	};
	uint8_t deep[1400];
	struct wire_message msg;
	struct wire_reader r;

	for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
		ck_assert(!open_wire_message(&msg, &r, messages[i].data,
					     messages[i].len));
		release_wire_message(&msg);
	}
	memset(deep, 0x91, sizeof(deep));
	deep[sizeof(deep) - 1] = 0x90;
	ck_assert(!open_wire_message(&msg, &r, deep, sizeof(deep)));
	release_wire_message(&msg);
}
END_TEST

START_TEST(wire_reads_values_of_all_lengths)
{
	static const size_t lengths[] = { 0,  1,   15,	  16,	 31,
					  32, 255, 65535, 65536, 70000 };

	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		char *text = g_strnfill(lengths[i], 'x');
		char *copy = g_malloc(lengths[i] + 1);
		struct wire_writer w;
		struct wire_message msg;
		struct wire_reader r;
		struct wire_reader sub;
		const void *data;

		init_wire_writer(&w);
		write_array(&w, 5);
		write_str(&w, text);
		write_bin(&w, text, lengths[i]);
		write_array(&w, lengths[i]);
		for (size_t k = 0; k < lengths[i]; k++)
			write_uint(&w, k);
		write_bool(&w, true);
		write_uint(&w, UINT64_MAX);
		ck_assert(open_wire_message(&msg, &r, w.buf.data, w.buf.size));
		read_str(&r, copy, lengths[i] + 1);
		ck_assert_str_eq(copy, text);
		ck_assert_uint_eq(read_bin(&r, &data), lengths[i]);
		ck_assert_uint_eq(read_array(&r, &sub), lengths[i]);
		for (size_t k = 0; k < lengths[i]; k++)
			ck_assert_uint_eq(read_uint(&sub, k), k);
		ck_assert(read_bool(&r));
		ck_assert_uint_eq(read_uint(&r, UINT64_MAX), UINT64_MAX);
		ck_assert(!r.malformed && !r.remaining);
		release_wire_message(&msg);
		release_wire_writer(&w);
		g_free(copy);
		g_free(text);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *tc = tcase_create("base");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, patch_fails_on_another_base_or_damage);
	tcase_add_test(tc, loop_lag_is_the_longest_delay_of_late);
	tcase_add_test(tc, every_status_kind_has_a_row);
	tcase_add_test(tc, counter_names_are_unique);
	tcase_add_test(tc, endpoints_round_trip);
	tcase_add_test(tc, bad_endpoints_are_refused);
	tcase_add_test(tc, released_handles_find_nothing);
	tcase_add_test(tc, incomplete_charts_are_refused);
	tcase_add_test(tc, wire_refuses_wrong_types_and_trailing_bytes);
	tcase_add_test(tc,
		       wire_reserves_no_memory_for_elements_that_are_missing);
	tcase_add_test(tc, wire_reads_values_of_all_lengths);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
