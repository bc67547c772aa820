/*
 * Tests of which members know of flows that routers may bring to them from
 * another failure domain. They guard against a lost domain whose flows nobody
 * elsewhere knows, and against members that ask too often, or too late.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/heartbeat.h"
#include "flow/split-flows.h"

#define DOMAINS 3
#define MEMBERS 8 /* in each domain */
#define HEARD_MS 2000
#define SETTLED_MS 3500

static const char *const domain_names[DOMAINS] = { "north", "south", "west" };

/* One instance of each domain, the first there, knows all others. */
static struct view *views[DOMAINS];
static struct heartbeat_tracker *trackers[DOMAINS];
static GArray *to;
static GRand *rnd;

static struct member make_member(int d, int nr)
{
	struct member m = { .peer_port = (uint16_t)(100 * (d + 1) + nr),
			    .state = MEMBER_ALIVE };

	g_snprintf(m.name, sizeof(m.name), "%s-%d", domain_names[d], nr);
	g_strlcpy(m.domain, domain_names[d], sizeof(m.domain));
	m.id = service_id(m.name);
	parse_address("127.0.0.1", &m.address, NULL);
	return m;
}

static void receive(struct heartbeat_tracker *ht, int d, int nr, uint8_t flags,
		    uint64_t now_ms)
{
	struct heartbeat_message hm = { .member = make_member(d, nr),
					.flags = flags };

	handle_heartbeat(ht, &hm, now_ms);
}

/* All members of domain D but its first are heard, with FLAGS. */
static void receive_domain(struct heartbeat_tracker *ht, int d, uint8_t flags,
			   uint64_t now_ms)
{
	for (int nr = 0; nr < MEMBERS; nr++)
		receive(ht, d, nr, flags, now_ms);
}

static const uint8_t ready = HEARTBEAT_READY | HEARTBEAT_SPLIT_FLOWS;

static void setup(void)
{
	for (int d = 0; d < DOMAINS; d++) {
		struct member self = make_member(d, 0);

		views[d] = create_view(self.id);
		trackers[d] = create_heartbeat_tracker(&self, views[d], 1000);
		for (int k = 0; k < DOMAINS; k++)
			receive_domain(trackers[d], k, ready, HEARD_MS);
	}
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	rnd = g_rand_new_with_seed(7);
}

static void teardown(void)
{
	for (int d = 0; d < DOMAINS; d++) {
		destroy_heartbeat_tracker(trackers[d]);
		destroy_view(views[d]);
	}
	g_array_free(to, TRUE);
	g_rand_free(rnd);
}

/* The ports of domain D among those that domain FROM tells of its flows. */
static size_t list_told(int from, int d, uint16_t ports[MEMBERS])
{
	size_t nr = 0;

	g_array_set_size(to, 0);
	list_takeover_endpoints(trackers[from], to);
	for (guint i = 0; i < to->len; i++) {
		uint16_t port = g_array_index(to, struct endpoint, i).port;

		if (port / 100 == d + 1)
			ports[nr++] = port;
	}
	return nr;
}

static bool is_listed(uint16_t port, const uint16_t *ports, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		if (ports[i] == port)
			return true;
	return false;
}

/* Undisturbed instances of other domains did not know flows of a lost one. */
START_TEST(members_of_a_domain_ask_those_that_another_one_tells)
{
	for (int from = 0; from < DOMAINS; from++)
		for (int d = 0; d < DOMAINS; d++) {
			struct endpoint asked[TAKEOVER_KEEPERS];
			uint16_t told[MEMBERS];
			size_t nr = list_told(from, d, told);
			size_t asked_nr;

			if (from == d) {
				ck_assert_uint_eq(nr, MEMBERS - 1);
				continue;
			}
			ck_assert_uint_eq(nr, TAKEOVER_KEEPERS);
			asked_nr = pick_keepers(trackers[d], domain_names[from],
						asked);
			/* one that was told itself asks nobody */
			ck_assert_uint_eq(
				asked_nr,
				is_listed((uint16_t)(100 * (d + 1)), told, nr)
					? 0
					: TAKEOVER_KEEPERS);
			for (size_t i = 0; i < asked_nr; i++)
				ck_assert(is_listed(asked[i].port, told, nr));
		}
}
END_TEST

START_TEST(builds_that_do_not_understand_notices_are_no_keepers)
{
	struct endpoint asked[TAKEOVER_KEEPERS];
	uint16_t told[MEMBERS];

	for (int nr = 0; nr < MEMBERS; nr++)
		receive(trackers[0], 1, nr, nr == 3 ? ready : HEARTBEAT_READY,
			HEARD_MS);
	ck_assert_uint_eq(list_told(0, 1, told), 1);
	ck_assert_uint_eq(told[0], 203);
	for (int nr = 1; nr < MEMBERS; nr++)
		receive(trackers[1], 1, nr, HEARTBEAT_READY, HEARD_MS);
	ck_assert_uint_eq(pick_keepers(trackers[1], "north", asked), 0);
}
END_TEST

/* Routers turn to other domains 500 ms after they miss all its instances. */
START_TEST(domain_without_ready_members_is_away_before_routers_turn)
{
	struct heartbeat_tracker *ht = trackers[0];

	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + TAKEOVER_AWAY_MS));
	receive(ht, 2, 5, ready, HEARD_MS + 100);
	ck_assert_str_eq(next_away_domain(ht, HEARD_MS + 499), "south");
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 500));
	ck_assert_str_eq(next_away_domain(ht, HEARD_MS + 599), "west");
	/* once, until it is heard again */
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 2000));
	receive(ht, 1, 5, ready, HEARD_MS + 2000);
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 2100));
	ck_assert_str_eq(next_away_domain(ht, HEARD_MS + 2500), "south");
}
END_TEST

/* They are alive, and routers do not use them. */
START_TEST(domain_whose_members_are_not_ready_is_away)
{
	struct heartbeat_tracker *ht = trackers[0];

	receive_domain(ht, 1, HEARTBEAT_SPLIT_FLOWS, HEARD_MS + 450);
	receive_domain(ht, 2, ready, HEARD_MS + 450);
	ck_assert_str_eq(next_away_domain(ht, HEARD_MS + 460), "south");
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 460));
}
END_TEST

/* This process stood still, the domain did not. */
START_TEST(paused_instance_takes_no_domain_for_away)
{
	struct heartbeat_tracker *ht = trackers[0];

	restart_heartbeats(ht, HEARD_MS + 5000);
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 5000));
}
END_TEST

/* A domain's keepers change when its members do. */
START_TEST(new_keeper_asks_the_domain_once)
{
	struct heartbeat_tracker *ht = trackers[0];
	const char *kept[DOMAINS] = { NULL };
	struct endpoint asked[TAKEOVER_KEEPERS];
	size_t nr = 0;
	const char *name;

	/* a view that has not settled has few members, so keeps everything */
	ck_assert_ptr_null(next_kept_domain(ht, HEARD_MS));
	set_view_settled(views[0], true);
	while ((name = next_kept_domain(ht, SETTLED_MS)))
		kept[nr++] = name;
	for (size_t i = 0; i < nr; i++)
		ck_assert_uint_eq(pick_keepers(ht, kept[i], asked), 0);
	/* the others of its domain are lost: it keeps all that is left */
	for (int i = 1; i < MEMBERS; i++) {
		struct member m = make_member(0, i);

		m.state = MEMBER_DEAD;
		set_view_member(views[0], &m);
	}
	ck_assert_ptr_null(next_kept_domain(ht, SETTLED_MS + 10));
	while ((name = next_kept_domain(ht, SETTLED_MS + 1000))) {
		ck_assert_uint_eq(
			pick_members_of(ht, name, rnd, asked, TAKEOVER_KEEPERS),
			TAKEOVER_KEEPERS);
		nr++;
	}
	ck_assert_uint_eq(nr, DOMAINS - 1);
	ck_assert_ptr_null(next_kept_domain(ht, SETTLED_MS + 5000));
}
END_TEST

/* All members of a small fleet are told everything. */
START_TEST(small_fleet_asks_nobody)
{
	struct view *view = create_view(service_id("north-0"));
	struct member self = make_member(0, 0);
	struct heartbeat_tracker *ht =
		create_heartbeat_tracker(&self, view, 1000);

	receive_domain(ht, 0, ready, HEARD_MS);
	receive_domain(ht, 1, ready, HEARD_MS);
	set_view_settled(view, true);
	ck_assert_ptr_null(next_away_domain(ht, HEARD_MS + 900));
	ck_assert_ptr_null(next_kept_domain(ht, SETTLED_MS));
	destroy_heartbeat_tracker(ht);
	destroy_view(view);
}
END_TEST

/* Another member's answer does not end the wait for one that knows. */
START_TEST(only_those_asked_answer_an_inquiry)
{
	struct split_inquiry si = { .domain = "south" };
	struct endpoint keeper = { .family = 4, .port = 7 };
	struct endpoint other = { .family = 4, .port = 8 };

	ck_assert(tick_split_inquiry(&si, true, 1000));
	note_split_question(&si, &keeper);
	note_split_answer(&si, &other, true);
	tick_split_inquiry(&si, true, 1010);
	ck_assert(!si.done && !si.told_all);
	note_split_answer(&si, &keeper, false);
	tick_split_inquiry(&si, true, 1020);
	ck_assert(si.done && !si.told_all);
	note_split_answer(&si, &keeper, true);
	ck_assert(si.told_all);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("takeover");
	TCase *tc = tcase_create("takeover");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc,
		       members_of_a_domain_ask_those_that_another_one_tells);
	tcase_add_test(tc,
		       builds_that_do_not_understand_notices_are_no_keepers);
	tcase_add_test(
		tc, domain_without_ready_members_is_away_before_routers_turn);
	tcase_add_test(tc, domain_whose_members_are_not_ready_is_away);
	tcase_add_test(tc, paused_instance_takes_no_domain_for_away);
	tcase_add_test(tc, new_keeper_asks_the_domain_once);
	tcase_add_test(tc, small_fleet_asks_nobody);
	tcase_add_test(tc, only_those_asked_answer_an_inquiry);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
