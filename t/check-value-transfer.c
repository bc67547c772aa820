/*
 * Tests of long values and of lists of members that instances send each other.
 * Guards against a value put together from parts of different ones, and against
 * malformed datagrams that are believed.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/introduction.h"
#include "fleet/value-transfer.h"

#define VALUE_BYTES 20000

static GPtrArray *datagrams; /* of GBytes */

static void collect(const void *data, size_t len, void *user)
{
	(void)user;
	g_ptr_array_add(datagrams, g_bytes_new(data, len));
}

static void setup(void)
{
	datagrams =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

static void teardown(void)
{
	g_ptr_array_free(datagrams, TRUE);
}

/* LEN bytes that do not compress. */
static char *make_value(uint32_t seed, size_t len)
{
	GRand *rand = g_rand_new_with_seed(seed);
	char *value = g_malloc(len);

	for (size_t i = 0; i < len; i++)
		value[i] = (char)g_rand_int_range(rand, 0, 256);
	g_rand_free(rand);
	return value;
}

static void send_made_value(uint32_t seed, uint64_t revision)
{
	char *value = make_value(seed, VALUE_BYTES);

	ck_assert(send_value("k", (struct store_position){ 1, revision }, value,
			     VALUE_BYTES, collect, NULL));
	g_free(value);
}

/* Adds datagram I; returns what it completes. */
static GBytes *add(struct value_receiver *vr, guint i)
{
	GBytes *b = g_ptr_array_index(datagrams, i);
	struct received_value rv;
	size_t len;
	const void *data = g_bytes_get_data(b, &len);

	ck_assert(add_value_part(vr, data, len, &rv));
	return rv.value;
}

static void assert_value(GBytes *got, uint32_t seed)
{
	char *value = make_value(seed, VALUE_BYTES);
	size_t len;
	const void *data;

	ck_assert_ptr_nonnull(got);
	data = g_bytes_get_data(got, &len);
	ck_assert_uint_eq(len, VALUE_BYTES);
	ck_assert_mem_eq(data, value, len);
	g_bytes_unref(got);
	g_free(value);
}

START_TEST(a_value_is_complete_with_its_last_part_in_any_order)
{
	struct value_receiver *vr = create_value_receiver();

	send_made_value(1, 7);
	for (guint i = datagrams->len - 1; i > 0; i--)
		ck_assert_ptr_null(add(vr, i));
	ck_assert_ptr_null(add(vr, 1)); /* a second copy */
	assert_value(add(vr, 0), 1);
	destroy_value_receiver(vr);
}
END_TEST

START_TEST(parts_of_two_revisions_are_not_mixed)
{
	struct value_receiver *vr = create_value_receiver();
	guint nr;

	send_made_value(1, 7);
	nr = datagrams->len;
	send_made_value(2, 8);
	for (guint i = 0; i + 1 < nr; i++)
		ck_assert_ptr_null(add(vr, i));
	for (guint i = nr; i + 1 < 2 * nr; i++)
		ck_assert_ptr_null(add(vr, i));
	/* the last part of the first value, whose others were dropped */
	ck_assert_ptr_null(add(vr, nr - 1));
	for (guint i = nr; i + 1 < 2 * nr; i++)
		ck_assert_ptr_null(add(vr, i));
	assert_value(add(vr, 2 * nr - 1), 2);
	destroy_value_receiver(vr);
}
END_TEST

START_TEST(malformed_parts_are_refused)
{
	struct value_receiver *vr = create_value_receiver();
	struct received_value rv;
	GBytes *first;
	size_t len;
	const uint8_t *data;

	send_made_value(1, 7);
	first = g_ptr_array_index(datagrams, 0);
	data = g_bytes_get_data(first, &len);
	for (size_t cut = 0; cut < len; cut++)
		ck_assert(!add_value_part(vr, data, cut, &rv));
	/* any byte changed: refused, or not taken for the value */
	for (size_t at = 0; at < len; at++) {
		uint8_t *bad = g_memdup2(data, len);

		bad[at] ^= 0x55;
		if (add_value_part(vr, bad, len, &rv))
			ck_assert_ptr_null(rv.value);
		g_free(bad);
	}
	destroy_value_receiver(vr);
}
END_TEST

START_TEST(a_damaged_value_is_refused)
{
	struct value_receiver *vr = create_value_receiver();
	struct received_value rv;
	GBytes *last;
	const void *data;
	uint8_t *bad;
	size_t len;

	send_made_value(1, 7);
	for (guint i = 0; i + 1 < datagrams->len; i++)
		ck_assert_ptr_null(add(vr, i));
	last = g_ptr_array_index(datagrams, datagrams->len - 1);
	data = g_bytes_get_data(last, &len);
	bad = g_memdup2(data, len);
	bad[len - 20] ^= 1;
	ck_assert(!add_value_part(vr, bad, len, &rv));
	ck_assert_ptr_null(rv.value);
	g_free(bad);
	destroy_value_receiver(vr);
}
END_TEST

START_TEST(a_value_beyond_the_limit_is_not_sent)
{
	size_t len = (size_t)VALUE_PARTS_MAX * VALUE_PART_BYTES;
	char *value = make_value(1, len);

	ck_assert(!send_value("k", (struct store_position){ 1, 1 }, value, len,
			      collect, NULL));
	ck_assert_uint_eq(datagrams->len, 0);
	g_free(value);
}
END_TEST

START_TEST(a_value_request_is_read_as_written)
{
	struct value_request r = { .key = "op/config", .at = { 2, 9 } };
	struct value_request got;
	struct wire_writer w;

	init_wire_writer(&w);
	write_value_request(&w, &r);
	ck_assert(read_value_request(w.buf.data, w.buf.size, &got));
	ck_assert_str_eq(got.key, r.key);
	ck_assert_int_eq(compare_store_positions(got.at, r.at), 0);
	for (size_t len = 0; len < w.buf.size; len++)
		ck_assert(!read_value_request(w.buf.data, len, &got));
	release_wire_writer(&w);
}
END_TEST

static struct member make_member(unsigned int i, enum member_state state)
{
	struct member m = { .peer_port = (uint16_t)(i + 1), .state = state };

	g_snprintf(m.name, sizeof(m.name), "m%u", i);
	g_strlcpy(m.domain, "north", sizeof(m.domain));
	m.id = service_id(m.name);
	parse_address("127.0.0.1", &m.address, NULL);
	return m;
}

START_TEST(an_introduction_names_all_live_members_but_the_one_that_asks)
{
	struct member self = make_member(0, MEMBER_ALIVE);
	struct member asking = make_member(1, MEMBER_ALIVE);
	struct endpoint to = member_endpoint(&asking);
	struct view *v = create_view(self.id);
	GArray *got = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	set_view_member(v, &self);
	set_view_member(v, &asking);
	for (unsigned int i = 2; i < 300; i++) {
		struct member m =
			make_member(i, i % 3 ? MEMBER_ALIVE : MEMBER_DEAD);

		set_view_member(v, &m);
	}
	write_introduction(v, &to, collect, NULL);
	for (guint i = 0; i < datagrams->len; i++) {
		size_t len;
		const void *data =
			g_bytes_get_data(g_ptr_array_index(datagrams, i), &len);

		ck_assert_uint_le(len, 1300);
		for (size_t cut = 0; cut < len; cut++) {
			GArray *none = g_array_new(FALSE, FALSE,
						   sizeof(struct endpoint));

			ck_assert(!read_introduction(data, cut, none));
			g_array_free(none, TRUE);
		}
		ck_assert(read_introduction(data, len, got));
	}
	ck_assert_uint_eq(got->len, live_member_count(v) - 1);
	for (guint i = 0; i < got->len; i++)
		ck_assert(!same_endpoint(
			&g_array_index(got, struct endpoint, i), &to));
	g_array_free(got, TRUE);
	destroy_view(v);
}
END_TEST

START_TEST(seeds_are_asked_until_they_answer)
{
	struct introduction *in = create_introduction(1000);
	struct member m = make_member(0, MEMBER_ALIVE);
	struct endpoint seed = member_endpoint(&m);
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	add_introduction_seed(in, &seed);
	add_introduction_seed(in, &seed);
	tick_introduction(in, 1000, to);
	ck_assert_uint_eq(to->len, 1);
	tick_introduction(in, 1000 + INTRODUCTION_RETRY_MS - 1, to);
	ck_assert_uint_eq(to->len, 1);
	tick_introduction(in, 1000 + INTRODUCTION_RETRY_MS, to);
	ck_assert_uint_eq(to->len, 2);
	note_introduction_answer(in, &seed);
	tick_introduction(in, 1000 + 2 * INTRODUCTION_RETRY_MS, to);
	ck_assert_uint_eq(to->len, 2);
	g_array_free(to, TRUE);
	destroy_introduction(in);
}
END_TEST

START_TEST(a_seed_that_is_down_is_not_asked_for_ever)
{
	struct introduction *in = create_introduction(1000);
	struct member m = make_member(0, MEMBER_ALIVE);
	struct endpoint seed = member_endpoint(&m);
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	add_introduction_seed(in, &seed);
	tick_introduction(in, 1000 + INTRODUCTION_SPAN_MS, to);
	ck_assert_uint_eq(to->len, 0);
	g_array_free(to, TRUE);
	destroy_introduction(in);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("value-transfer");
	TCase *tc = tcase_create("value-transfer");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_value_is_complete_with_its_last_part_in_any_order);
	tcase_add_test(tc, parts_of_two_revisions_are_not_mixed);
	tcase_add_test(tc, malformed_parts_are_refused);
	tcase_add_test(tc, a_damaged_value_is_refused);
	tcase_add_test(tc, a_value_beyond_the_limit_is_not_sent);
	tcase_add_test(tc, a_value_request_is_read_as_written);
	tcase_add_test(
		tc,
		an_introduction_names_all_live_members_but_the_one_that_asks);
	tcase_add_test(tc, seeds_are_asked_until_they_answer);
	tcase_add_test(tc, a_seed_that_is_down_is_not_asked_for_ever);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
