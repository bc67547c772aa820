/* Tests of the charts in charts/ and of how the view overrides their states. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "charts/builtin.h"
#include "fleet/health-chart.h"

static struct chart *builtin_chart(void)
{
	struct problems *ps = create_problems();
	struct chart *ch = create_upstream_chart(ps);

	ck_assert_ptr_nonnull(ch);
	ck_assert_uint_eq(problem_count(ps), 0);
	destroy_problems(ps);
	return ch;
}

START_TEST(builtin_chart_is_complete)
{
	struct chart *ch = builtin_chart();

	ck_assert_int_eq(chart_initial(ch), UPSTREAM_UNKNOWN);
	destroy_chart(ch);
}
END_TEST

/* Replaces FROM by TO in the built-in chart and returns its problems. */
static struct problems *problems_of_broken_chart(const char *from,
						 const char *to)
{
	struct problems *ps = create_problems();
	const char *at = strstr(builtin_upstream_chart, from);
	char text[8192];

	ck_assert_ptr_nonnull(at);
	snprintf(text, sizeof(text), "%.*s%s%s",
		 (int)(at - builtin_upstream_chart), builtin_upstream_chart, to,
		 at + strlen(from));
	ck_assert_ptr_null(parse_upstream_chart(text, ps));
	return ps;
}

START_TEST(a_wrong_chart_is_refused_with_its_file_and_word)
{
	struct problems *ps =
		problems_of_broken_chart("failed = down", "failed = dwn");

	ck_assert_ptr_nonnull(strstr(problem_at(ps, 0), "charts/upstream.ini"));
	ck_assert_ptr_nonnull(strstr(problem_at(ps, 0), "'dwn'"));
	destroy_problems(ps);
	ps = problems_of_broken_chart("shed-burst = cold\n", "");
	ck_assert_ptr_nonnull(strstr(problem_at(ps, 0), "'shed-burst'"));
	destroy_problems(ps);
}
END_TEST

START_TEST(only_the_end_of_a_ramp_leads_to_warm)
{
	struct chart *ch = builtin_chart();

	for (int s = 0; s < UPSTREAM_STATE_NR; s++)
		for (int e = 0; e < UPSTREAM_EVENT_NR; e++)
			if (chart_next(ch, s, e) == UPSTREAM_WARM &&
			    s != UPSTREAM_WARM)
				ck_assert(s == UPSTREAM_WARMING &&
					  e == UPSTREAM_RAMP_DONE);
	destroy_chart(ch);
}
END_TEST

START_TEST(only_its_domain_brings_an_upstream_back)
{
	struct chart *ch = builtin_chart();

	for (int e = 0; e < UPSTREAM_EVENT_NR; e++)
		ck_assert_int_eq(chart_next(ch, UPSTREAM_OUT, e),
				 e == UPSTREAM_DOMAIN_BACK ? UPSTREAM_COLD
							   : UPSTREAM_OUT);
	for (int s = 0; s < UPSTREAM_STATE_NR; s++)
		ck_assert_int_eq(chart_next(ch, s, UPSTREAM_DOMAIN_OUT),
				 UPSTREAM_OUT);
	destroy_chart(ch);
}
END_TEST

/*
 * The precedence of upstream_state() in the view is out, down, draining, then
 * the assessed state; the chart must have the same.
 */
START_TEST(chart_has_the_precedence_of_the_view)
{
	struct chart *ch = builtin_chart();
	struct upstream up = { .id = 7, .domain = "north" };

	for (int s = 0; s < UPSTREAM_DRAINING; s++) {
		struct view *v = create_view(1);

		set_upstream_state(v, up.id, (enum upstream_state)s);
		up.draining = true;
		ck_assert_int_eq(upstream_state(v, &up),
				 chart_next(ch, s, UPSTREAM_DRAIN));
		set_upstream_state(v, up.id, UPSTREAM_DOWN);
		ck_assert_int_eq(
			upstream_state(v, &up),
			chart_next(ch, UPSTREAM_DRAINING, UPSTREAM_FAILED));
		set_domain_out(v, up.domain, true);
		ck_assert_int_eq(upstream_state(v, &up),
				 chart_next(ch, s, UPSTREAM_DOMAIN_OUT));
		up.draining = false;
		destroy_view(v);
	}
	destroy_chart(ch);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("chart");
	TCase *tc = tcase_create("chart");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, builtin_chart_is_complete);
	tcase_add_test(tc, a_wrong_chart_is_refused_with_its_file_and_word);
	tcase_add_test(tc, only_the_end_of_a_ramp_leads_to_warm);
	tcase_add_test(tc, only_its_domain_brings_an_upstream_back);
	tcase_add_test(tc, chart_has_the_precedence_of_the_view);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
