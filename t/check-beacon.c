/* Tests of beacons and news: who lives, who reads, what is passed on. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/patch.h"
#include "fleet/beacon.h"
#include "fleet/news.h"

static struct view *view;
static struct beacons *bs;
static GArray *to;

static struct member make_member(const char *name, const char *domain,
				 uint16_t port)
{
	struct member m = { .peer_port = port, .state = MEMBER_ALIVE };

	m.id = service_id(name);
	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.domain, domain, sizeof(m.domain));
	parse_address("127.0.0.1", &m.address, NULL);
	return m;
}

static void setup(void)
{
	struct member self = make_member("a", "north", 1);

	view = create_view(self.id);
	bs = create_beacons(&self, view, 1000);
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
}

static void teardown(void)
{
	destroy_beacons(bs);
	destroy_view(view);
	g_array_free(to, TRUE);
}

static bool tick(uint64_t now_ms)
{
	g_array_set_size(to, 0);
	return tick_beacons(bs, now_ms, false, to);
}

static void hear(const char *name, const char *domain, uint16_t port,
		 uint8_t flags, uint64_t now_ms)
{
	struct beacon b = { .member = make_member(name, domain, port),
			    .flags = flags };

	take_beacon(bs, &b, now_ms);
}

static void hear_revision(const char *name, const char *domain, uint16_t port,
			  uint64_t revision, uint64_t now_ms)
{
	struct beacon b = { .member = make_member(name, domain, port),
			    .store_revision = revision };

	take_beacon(bs, &b, now_ms);
}

static enum member_state state_of(const char *name)
{
	return find_member(view, service_id(name))->state;
}

START_TEST(a_beacon_survives_the_wire)
{
	struct beacon b = { .member = make_member("b", "south", 77),
			    .flags = BEACON_READY,
			    .config_version = 7,
			    .store_revision = 99 };
	struct beacon got = { 0 };
	struct load_row row = { 1, 2, 3, 4, HEALTH_DEAD };
	struct wire_writer w;

	b.rows = g_array_new(FALSE, FALSE, sizeof(row));
	got.rows = g_array_new(FALSE, FALSE, sizeof(row));
	g_array_append_val(b.rows, row);
	b.member.strength = 10;
	init_wire_writer(&w);
	write_beacon(&w, &b);
	ck_assert(is_beacon((const uint8_t *)w.buf.data, w.buf.size));
	ck_assert(read_beacon(w.buf.data, w.buf.size, &got));
	ck_assert_str_eq(got.member.name, "b");
	ck_assert_uint_eq(got.member.id, b.member.id);
	ck_assert_uint_eq(got.member.strength, 10);
	ck_assert_uint_eq(got.store_revision, 99);
	ck_assert_uint_eq(got.rows->len, 1);
	ck_assert_mem_eq(got.rows->data, &row, sizeof(row));
	for (size_t len = 0; len < w.buf.size; len++) {
		g_array_set_size(got.rows, 0);
		ck_assert(!read_beacon(w.buf.data, len, &got));
	}
	release_wire_writer(&w);
	g_array_free(b.rows, TRUE);
	g_array_free(got.rows, TRUE);
}
END_TEST

START_TEST(a_silent_member_is_dead_and_comes_back)
{
	hear("b", "north", 2, 0, 1000);
	tick(1000 + BEACON_MISSES * BEACON_MS);
	ck_assert_int_eq(state_of("b"), MEMBER_ALIVE);
	tick(1001 + BEACON_MISSES * BEACON_MS);
	ck_assert_int_eq(state_of("b"), MEMBER_DEAD);
	hear("b", "north", 2, 0, 3000);
	ck_assert_int_eq(state_of("b"), MEMBER_ALIVE);
	hear("b", "north", 2, BEACON_LEAVING, 3100);
	ck_assert_int_eq(state_of("b"), MEMBER_LEAVING);
}
END_TEST

START_TEST(addresses_without_an_answer_are_tried_rarely)
{
	struct endpoint at;
	unsigned int tries = 0;

	parse_endpoint("127.0.0.9:5", &at, NULL);
	add_beacon_address(bs, &at);
	add_beacon_address(bs, &at);
	for (uint64_t t = 1000; t < 11000; t += BEACON_TICK_MS)
		if (tick(t))
			tries += to->len;
	ck_assert_uint_le(tries, 10000 / BEACON_SEARCH_MS);
	ck_assert_uint_ge(tries, 10000 / BEACON_SEARCH_MS / 2);
}
END_TEST

START_TEST(a_member_that_is_heard_gets_every_beacon)
{
	unsigned int sent = 0;

	for (uint64_t t = 1000; t < 4000; t += BEACON_TICK_MS) {
		hear("b", "south", 2, 0, t);
		if (tick(t))
			sent += to->len;
	}
	ck_assert_uint_ge(sent, 3000 / BEACON_MS - 1);
}
END_TEST

START_TEST(urgent_news_do_not_wait_for_the_interval)
{
	hear("b", "south", 2, 0, 1000);
	ck_assert(tick(1000));
	ck_assert(!tick_beacons(bs, 1000 + BEACON_URGENT_MS - 1, true, to));
	ck_assert(tick_beacons(bs, 1000 + BEACON_URGENT_MS, true, to));
	ck_assert(!tick(1000 + BEACON_URGENT_MS + BEACON_MS - 1));
}
END_TEST

START_TEST(nobody_is_a_reader_before_peers_were_heard)
{
	ck_assert(!wants_reading(bs, 1000 + BEACON_ROLE_MS - 1));
	ck_assert(wants_reading(bs, 1000 + BEACON_ROLE_MS));
}
END_TEST

/* Two more members of the domain, of which B outranks this instance. */
static void hear_stronger(uint8_t flags, uint64_t now_ms)
{
	struct beacon b = { .member = make_member("b", "north", 2),
			    .flags = flags };

	b.member.strength = 100;
	take_beacon(bs, &b, now_ms);
	hear("c", "south", 3, BEACON_WATCHING, now_ms);
}

START_TEST(a_domain_whose_reader_follows_needs_no_other)
{
	hear_stronger(BEACON_WATCHING, 5000);
	ck_assert(!wants_reading(bs, 5100));
}
END_TEST

START_TEST(a_domain_without_others_has_two_readers)
{
	struct beacon b = { .member = make_member("b", "north", 2),
			    .flags = BEACON_WATCHING };

	b.member.strength = 100;
	take_beacon(bs, &b, 5000);
	ck_assert(wants_reading(bs, 5100));
	hear("c", "south", 3, BEACON_WATCHING, 5100);
	ck_assert(!wants_reading(bs, 5100));
}
END_TEST

START_TEST(a_reader_that_does_not_reach_the_store_is_replaced)
{
	hear_stronger(BEACON_WATCHING, 5000);
	for (uint64_t t = 5000; t < 7000; t += BEACON_MS)
		hear_stronger(0, t);
	ck_assert(wants_reading(bs, 7000));
}
END_TEST

START_TEST(a_frozen_reader_is_replaced)
{
	hear_stronger(BEACON_WATCHING, 5000);
	tick(5000 + BEACON_MISSES * BEACON_MS);
	ck_assert(wants_reading(bs, 5000 + BEACON_MISSES * BEACON_MS));
}
END_TEST

START_TEST(a_pause_unsettles_the_view)
{
	tick(1000 + BEACON_SETTLE_MS);
	ck_assert(is_view_settled(view));
	restart_beacons(bs, 9000);
	ck_assert(!is_view_settled(view));
	tick(9000 + BEACON_SETTLE_MS - 1);
	ck_assert(!is_view_settled(view));
	tick(9000 + BEACON_SETTLE_MS);
	ck_assert(is_view_settled(view));
}
END_TEST

START_TEST(packets_are_handed_to_those_that_are_ready)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct endpoint got[4];

	hear("b", "north", 2, BEACON_READY, 1000);
	hear("c", "north", 3, 0, 1000);
	hear("d", "north", 4, BEACON_READY | BEACON_LEAVING, 1000);
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_eq(pick_relays(bs, rand, got, 2), 1);
		ck_assert_uint_eq(got[0].port, 2);
	}
	g_rand_free(rand);
}
END_TEST

struct resent {
	uint64_t to[8];
	size_t nr;
};

static void note_resent(const void *data, size_t len, void *user)
{
	struct resent *rs = user;
	struct wire_message msg;
	struct news n;

	ck_assert(read_news(&msg, &n, data, len));
	rs->to[rs->nr++] = n.to;
	release_wire(&msg);
}

static bool add_one(struct news_log *nl, uint64_t from, uint64_t until,
		    struct store_entry *e)
{
	struct mirror_news n = {
		.from = from, .to = until, .entries = e, .entry_nr = 1
	};

	e->mod_revision = until;
	return add_news(nl, &n, NULL, NULL);
}

START_TEST(news_are_kept_for_those_that_missed_them)
{
	struct news_log *nl = create_news_log();
	struct store_entry e = { .key = (char *)"k",
				 .value = (void *)"v",
				 .len = 1 };
	struct resent rs = { .nr = 0 };

	ck_assert(!resend_news(nl, 10, note_resent, &rs));
	for (uint64_t r = 10; r < 14; r++)
		ck_assert(add_one(nl, r, r + 1, &e));
	ck_assert(resend_news(nl, 12, note_resent, &rs));
	ck_assert_uint_eq(rs.nr, 2);
	ck_assert_uint_eq(rs.to[0], 13);
	ck_assert_uint_eq(rs.to[1], 14);
	ck_assert(!resend_news(nl, 9, note_resent, &rs));
	clear_news(nl);
	ck_assert(!resend_news(nl, 12, note_resent, &rs));
	destroy_news_log(nl);
}
END_TEST

/* Reads the last datagram that was sent. */
struct last_sent {
	struct wire_message msg;
	struct news n;
	size_t nr;
	uint64_t to; /* of the one before */
};

static void note_sent(const void *data, size_t len, void *user)
{
	struct last_sent *ls = user;

	if (ls->nr++) {
		ls->to = ls->n.to;
		release_wire(&ls->msg);
	}
	ck_assert_uint_le(len, NEWS_BYTES_MAX);
	ck_assert(read_news(&ls->msg, &ls->n, data, len));
	if (ls->nr > 1)
		ck_assert_uint_eq(ls->n.from, ls->to);
}

/* Adds ES as the changes from revision FROM to UNTIL, noting what is sent. */
static bool add_all(struct news_log *nl, uint64_t from, uint64_t until,
		    const struct store_entry *es, size_t nr,
		    struct last_sent *ls)
{
	struct mirror_news n = { .from = from,
				 .to = until,
				 .hold_ms = 500,
				 .entries = es,
				 .entry_nr = nr };

	return add_news(nl, &n, note_sent, ls);
}

START_TEST(long_values_are_named_and_long_lists_are_not_passed_on)
{
	struct news_log *nl = create_news_log();
	char *value = g_malloc0(NEWS_VALUE_MAX + 1);
	struct last_sent ls = { .nr = 0 };
	struct store_entry es[8];

	for (int i = 0; i < 8; i++)
		es[i] = (struct store_entry){ .key = (char *)"k",
					      .value = value,
					      .len = NEWS_VALUE_MAX,
					      .mod_revision = 2 };
	ck_assert(!add_all(nl, 1, 2, es, 8, &ls));
	ck_assert_uint_eq(ls.nr, 0);
	es[0].len = NEWS_VALUE_MAX + 1;
	es[0].mod_revision = 3;
	ck_assert(add_all(nl, 2, 3, es, 1, &ls));
	ck_assert_uint_eq(ls.nr, 1);
	ck_assert_ptr_null(ls.n.entries[0].value);
	ck_assert_int_eq(ls.n.entries[0].form, NEWS_NAMED);
	ck_assert_uint_eq(ls.n.hold_ms, 500);
	release_wire(&ls.msg);
	g_free(value);
	destroy_news_log(nl);
}
END_TEST

START_TEST(many_changes_are_told_in_few_datagrams)
{
	enum { NR = 300 };
	struct news_log *nl = create_news_log();
	struct last_sent ls = { .nr = 0 };
	struct store_entry es[NR];
	char value[200] = "";

	/* two changes to a revision, which stay together */
	for (int i = 0; i < NR; i++)
		es[i] = (struct store_entry){ .key = (char *)"servers/u",
					      .value = value,
					      .len = sizeof(value),
					      .mod_revision = 11 + i / 2 };
	ck_assert(add_all(nl, 10, 400, es, NR, &ls));
	ck_assert_uint_eq(ls.n.to, 400);
	ck_assert_uint_eq(ls.n.entries[ls.n.nr - 1].revision, 10 + NR / 2);
	ck_assert_uint_eq(ls.n.nr % 2, 0);
	ck_assert_uint_le(ls.nr, NR * 250 / (NEWS_BYTES_MAX - 500));
	release_wire(&ls.msg);
	destroy_news_log(nl);
}
END_TEST

START_TEST(a_long_value_is_told_as_a_difference)
{
	struct news_log *nl = create_news_log();
	struct last_sent ls = { .nr = 0 };
	GString *old = g_string_new(NULL);
	GString *new;
	struct mirror_base base = { .revision = 7 };
	struct store_entry e = { .key = (char *)"config", .mod_revision = 9 };
	struct mirror_news n = {
		.from = 8, .to = 9, .entries = &e, .entry_nr = 1, .bases = &base
	};
	GBytes *got;

	for (int i = 0; i < 400; i++)
		g_string_append_printf(old, "{\"route\":\"r-%x\"},",
				       i * 2654435761u);
	new = g_string_new_len(old->str, (gssize)old->len);
	g_string_insert(new, 3000, "{\"route\":\"new\"},");
	base.value = old->str;
	base.len = old->len;
	e.value = new->str;
	e.len = new->len;
	ck_assert(add_news(nl, &n, note_sent, &ls));
	ck_assert_int_eq(ls.n.entries[0].form, NEWS_PATCH);
	ck_assert_uint_eq(ls.n.entries[0].base, 7);
	got = apply_patch(old->str, old->len, ls.n.entries[0].value,
			  ls.n.entries[0].len, NEWS_PATCHED_MAX);
	ck_assert_ptr_nonnull(got);
	ck_assert_uint_eq(g_bytes_get_size(got), new->len);
	ck_assert_int_eq(
		memcmp(g_bytes_get_data(got, NULL), new->str, new->len), 0);
	g_bytes_unref(got);
	release_wire(&ls.msg);
	g_string_free(old, TRUE);
	g_string_free(new, TRUE);
	destroy_news_log(nl);
}
END_TEST

/* One that takes news passes them on as they came. */
START_TEST(what_was_received_is_passed_on_unchanged)
{
	struct news_log *nl = create_news_log();
	struct news_log *other = create_news_log();
	struct store_entry e = { .key = (char *)"config", .mod_revision = 2 };
	struct last_sent ls = { .nr = 0 };
	struct last_sent again = { .nr = 0 };
	struct wire_writer w;

	ck_assert(add_all(nl, 1, 2, &e, 1, &ls));
	ck_assert_int_eq(ls.n.entries[0].form, NEWS_NAMED);
	init_wire_writer(&w);
	write_news_mark(&w, NEWS_ASK, 1); /* any bytes */
	keep_news(other, &ls.n, w.buf.data, w.buf.size);
	ck_assert(resend_news(other, 1, note_sent, &again));
	ck_assert_int_eq(again.n.format, NEWS_ASK);
	release_wire_writer(&w);
	release_wire(&again.msg);
	release_wire(&ls.msg);
	destroy_news_log(other);
	destroy_news_log(nl);
}
END_TEST

START_TEST(questions_go_to_any_that_know_more_near_ones_first)
{
	GRand *rand = g_rand_new_with_seed(20261204);
	unsigned int asked[6] = { 0 };
	struct endpoint at;

	ck_assert(!pick_informed(bs, 7, rand, &at));
	hear_revision("far", "south", 5, 9, 1000);
	ck_assert(pick_informed(bs, 7, rand, &at));
	hear_revision("b", "north", 2, 8, 1000);
	hear_revision("c", "north", 3, 9, 1000);
	hear_revision("d", "north", 4, 7, 1000);
	for (int i = 0; i < 200; i++) {
		ck_assert(pick_informed(bs, 7, rand, &at));
		asked[at.port]++;
	}
	ck_assert_uint_gt(asked[2], 60);
	ck_assert_uint_gt(asked[3], 60);
	ck_assert_uint_eq(asked[2] + asked[3], 200);
	g_rand_free(rand);
}
END_TEST

START_TEST(in_a_large_domain_more_rounds_are_heard_before_roles)
{
	char name[8];

	for (unsigned int i = 2; i < 60; i++) {
		g_snprintf(name, sizeof(name), "m%u", i);
		hear(name, "north", (uint8_t)i, 0, 1000);
	}
	ck_assert(!wants_reading(bs, 1000 + BEACON_ROLE_MS));
	ck_assert(!wants_reading(bs, 1000 + 900));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("beacon");
	TCase *tc = tcase_create("beacon");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_beacon_survives_the_wire);
	tcase_add_test(tc, a_silent_member_is_dead_and_comes_back);
	tcase_add_test(tc, addresses_without_an_answer_are_tried_rarely);
	tcase_add_test(tc, a_member_that_is_heard_gets_every_beacon);
	tcase_add_test(tc, urgent_news_do_not_wait_for_the_interval);
	tcase_add_test(tc, nobody_is_a_reader_before_peers_were_heard);
	tcase_add_test(tc, a_domain_whose_reader_follows_needs_no_other);
	tcase_add_test(tc, a_domain_without_others_has_two_readers);
	tcase_add_test(tc, a_reader_that_does_not_reach_the_store_is_replaced);
	tcase_add_test(tc, a_frozen_reader_is_replaced);
	tcase_add_test(tc, a_pause_unsettles_the_view);
	tcase_add_test(tc, packets_are_handed_to_those_that_are_ready);
	tcase_add_test(tc, news_are_kept_for_those_that_missed_them);
	tcase_add_test(tc,
		       long_values_are_named_and_long_lists_are_not_passed_on);
	tcase_add_test(tc, a_long_value_is_told_as_a_difference);
	tcase_add_test(tc, what_was_received_is_passed_on_unchanged);
	tcase_add_test(tc, many_changes_are_told_in_few_datagrams);
	tcase_add_test(tc, questions_go_to_any_that_know_more_near_ones_first);
	tcase_add_test(tc,
		       in_a_large_domain_more_rounds_are_heard_before_roles);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
