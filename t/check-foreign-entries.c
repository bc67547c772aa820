/*
 * Tests of entries that another writer left beside those of upstreams, or over
 * one: of a service that is not configured, or unreadable. Guards against open
 * flows that such an entry moves or ends, upstreams that get no flows because of
 * it, and instances that decide differently after a restart.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/health-notice.h"
#include "t/edge-harness.h"

#define OWN TEST_ENTRY("board", "10.0.0.1:9000", "north", "1000", "1")
#define AGENT TEST_ENTRY("host-agent", "10.0.0.1:9100", "north", "900", "1")
#define CLONE TEST_ENTRY("staging", "10.0.0.2:9000", "south", "2000", "1")
#define ID 0xa1
#define PORT 8443

static struct edge_instance ei;

static void setup(void)
{
	init_edge_instance(&ei);
}

static void teardown(void)
{
	release_edge_instance(&ei);
}

/* Entries that name no upstream. */
static const char *const foreign[] = {
	AGENT,
	CLONE,
	"{\"service\":\"board\",\"addr\":\"10.0.0.2:9000\",\"zone\":\"north\","
	"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
	"\"warmupLeftMs\":0,\"seq\":1}",
	"{\"service\":\"board\",\"addr\":\"10.0.0.2:9000\",\"zone\":\"north\","
	"\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1,"
	"\"born\":900}",
	"{\"service\":\"board\",\"addr\":\"10.0.0.2:9000\",\"zone\":\"north\","
	"\"version\":\"v1\",\"slots\":3,\"state\":\"resting\","
	"\"warmupLeftMs\":0,\"seq\":1,\"born\":900}",
	TEST_ENTRY("board", "10.0.0.2:9000", "north", "\"900\"", "1"),
	"\xff\xfe",
	"",
};

static void assert_own_upstream_is_used(void)
{
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(takes_new_flows(&ei, ID));
}

/*
 * Open flows of living upstreams were reset, and no new ones placed, since an
 * agent's entry with the upstream's number was older (review/1).
 */
START_TEST(other_key_takes_neither_open_nor_new_flows)
{
	write_entry(&ei, "agent-a1", foreign[_i]);
	ck_assert_str_eq(open_flow_address(&ei, ID), "none");
	write_entry(&ei, "i-a1", OWN);
	assert_own_upstream_is_used();
	write_entry(&ei, "agent-a1", NULL);
	write_entry(&ei, "agent-a1", foreign[_i]);
	assert_own_upstream_is_used();
	ck_assert_uint_eq(catalog_upstream_count(ei.e->catalog), 1);
	ck_assert_uint_eq(catalog_domain_count(ei.e->catalog), 1);
}
END_TEST

/* A foreign entry over the upstream's own moves nothing, whoever wrote last. */
START_TEST(own_key_is_the_upstreams_again_with_its_next_entry)
{
	/* as read by an instance that starts while the other writer wrote */
	write_entry(&ei, "i-a1", foreign[_i]);
	ck_assert_str_eq(open_flow_address(&ei, ID), "none");
	for (int i = 0; i < 3; i++) {
		write_entry(&ei, "i-a1", OWN);
		assert_own_upstream_is_used();
		write_entry(&ei, "i-a1", foreign[_i]);
		ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
		ck_assert(!takes_new_flows(&ei, ID));
		ei.e->now_ms += TEST_LAPSE_MS;
		tick_edge_records(ei.e);
		ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	}
}
END_TEST

/* An upstream that drains or has left keeps its flows beside such an entry. */
START_TEST(upstream_that_leaves_keeps_its_flows)
{
	write_entry(&ei, "i-a1", OWN);
	write_entry(&ei, "i-a1",
		    "{\"service\":\"board\",\"addr\":\"10.0.0.1:9000\","
		    "\"zone\":\"north\",\"version\":\"v1\",\"slots\":3,"
		    "\"state\":\"draining\",\"warmupLeftMs\":0,\"seq\":2,"
		    "\"born\":1000}");
	write_entry(&ei, "agent-a1", foreign[_i]);
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	write_entry(&ei, "i-a1", NULL);
	write_entry(&ei, "agent-a1", foreign[_i]);
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(!takes_new_flows(&ei, ID));
}
END_TEST

/* An upstream was unknown if its entry was read before its configuration. */
START_TEST(entry_read_before_its_service_is_configured_is_used)
{
	write_entry(&ei, "i-a2",
		    TEST_ENTRY("desk", "10.0.0.2:9000", "north", "1", "1"));
	ck_assert_uint_eq(catalog_upstream_count(ei.e->catalog), 0);
	write_configuration(&ei, 2, PORT, "desk");
	ck_assert(takes_new_flows(&ei, 0xa2));
	/* a configuration that changes nothing for the service */
	write_configuration(&ei, 3, PORT, "desk");
	ck_assert(takes_new_flows(&ei, 0xa2));
}
END_TEST

/* Two configurations at once hid that the first names a new service. */
START_TEST(service_of_an_earlier_configuration_of_one_answer_is_new)
{
	char key[] = "op/config";
	struct store_entry se[2];

	for (int i = 0; i < 2; i++) {
		char *text = g_strdup_printf(
			"{\"version\":%d,\"routes\":[],\"services\":"
			"[{\"name\":\"desk\"}]}",
			i + 2);

		se[i] = (struct store_entry){ .key = key,
					      .value = text,
					      .len = strlen(text),
					      .mod_revision =
						      ei.revision + 2 + i };
	}
	write_entry(&ei, "i-a2",
		    TEST_ENTRY("desk", "10.0.0.2:9000", "north", "1", "1"));
	ei.revision += 2;
	answer_edge_instance(&ei, MIRROR_WATCH_ANSWER, 1, se, 2);
	ck_assert_uint_eq(catalog_version(ei.e->catalog), 3);
	ck_assert(takes_new_flows(&ei, 0xa2));
	for (int i = 0; i < 2; i++)
		g_free(se[i].value);
}
END_TEST

/* Open flows were lost with the service that a configuration left out. */
START_TEST(service_that_is_left_out_keeps_its_open_flows)
{
	write_entry(&ei, "i-a1", OWN);
	write_configuration(&ei, 2, PORT, "desk");
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	ck_assert(!takes_new_flows(&ei, ID));
	/* still reports, and other writers change nothing about it */
	write_entry(&ei, "i-a1",
		    TEST_ENTRY("board", "10.0.0.1:9000", "north", "1000", "2"));
	write_entry(&ei, "agent-a1", foreign[_i]);
	write_entry(&ei, "i-a1", foreign[_i]);
	ei.e->now_ms += TEST_ENTRY_TTL_MS;
	expire_catalog(ei.e->catalog, ei.e->now_ms);
	ck_assert_str_eq(open_flow_address(&ei, ID), "10.0.0.1:9000");
	write_entry(&ei, "i-a1", OWN);
	ei.e->now_ms += 1;
	expire_catalog(ei.e->catalog, ei.e->now_ms);
	ck_assert_str_eq(open_flow_address(&ei, ID), "none");
	write_configuration(&ei, 3, PORT, "board");
	assert_own_upstream_is_used();
}
END_TEST

/* An instance with an older configuration asks the others about such a flow. */
START_TEST(cookie_of_a_service_configured_elsewhere_is_asked_about)
{
	struct cookie_packet p =
		make_cookie_packet(7, 1024, TCP_ACK, make_cookie(0xa2));

	write_entry(&ei, "i-a2",
		    TEST_ENTRY("desk", "10.0.0.2:9000", "north", "1", "1"));
	ck_assert_int_eq(
		steer_cookie_packet(ei.cookie.steering, &p, false, 10000)
			.verdict,
		COOKIE_TO_PEER);
}
END_TEST

/* An entry of a restored copy is held although its service is new. */
START_TEST(held_entry_is_not_used_for_a_new_service)
{
	char key[] = "servers/i-a2";
	const char *entry =
		TEST_ENTRY("desk", "10.0.0.2:9000", "north", "1000", "1");
	struct store_entry se = { .key = key,
				  .value = (void *)entry,
				  .len = strlen(entry),
				  .mod_revision = 5 };

	ei.revision = 5;
	step_edge_instance(
		&ei, &(struct mirror_event){ .kind = MIRROR_PROCESS_RESUMED });
	answer_edge_instance(&ei, MIRROR_WATCH_ANSWER, 2, NULL, 0);
	answer_edge_instance(&ei, MIRROR_READ_DONE, 2, &se, 1);
	ei.revision = 6;
	se.key = (char *)"op/config";
	se.value = (void *)"{\"version\":2,\"routes\":[],\"services\":"
			   "[{\"name\":\"desk\"}]}";
	se.len = strlen(se.value);
	se.mod_revision = 6;
	answer_edge_instance(&ei, MIRROR_WATCH_ANSWER, 2, &se, 1);
	ck_assert_uint_eq(catalog_version(ei.e->catalog), 2);
	ck_assert(!takes_new_flows(&ei, 0xa2));
	ei.e->now_ms += TEST_LAPSE_MS;
	tick_edge_records(ei.e);
	ck_assert(takes_new_flows(&ei, 0xa2));
}
END_TEST

/* 70,000 made-up entries left no room for an upstream. */
START_TEST(many_entries_leave_room_for_upstreams)
{
	char name[32];

	for (int i = 0; i < 70000; i++) {
		g_snprintf(name, sizeof(name), "agent-%x", i + 0x100);
		write_entry(&ei, name, AGENT);
	}
	write_entry(&ei, "i-a1", OWN);
	assert_own_upstream_is_used();
	ck_assert_uint_eq(catalog_upstream_count(ei.e->catalog), 1);
}
END_TEST

/* A build that uses such entries tells that the upstream is dead. */
START_TEST(verdict_on_another_entry_with_the_number_is_checked_first)
{
	struct health_notices *hn = create_health_notices(ei.cookie.view);
	struct health_notice n = { .kind = NOTICE_VERDICT,
				   .cookie = make_cookie(ID),
				   .upstream_id = ID,
				   .health = HEALTH_DEAD,
				   .silent_ms = HEALTH_NEVER_MS,
				   .check_ms = 1 };

	g_strlcpy(n.sender, "in-2", sizeof(n.sender));
	g_strlcpy(n.domain, "north", sizeof(n.domain));
	set_placer_notices(ei.cookie.placer, hn);
	write_entry(&ei, "i-a1", OWN);
	write_entry(&ei, _i ? "i-a1" : "agent-a1", _i ? CLONE : AGENT);
	if (_i)
		write_entry(&ei, "i-a1", OWN);
	ck_assert_int_eq(
		handle_health_notice(ei.cookie.placer, &n, ei.e->now_ms),
		VERDICT_CONTESTED);
	write_entry(&ei, "agent-a1", NULL);
	ei.e->now_ms += 60000;
	ck_assert_int_eq(
		handle_health_notice(ei.cookie.placer, &n, ei.e->now_ms),
		VERDICT_ADOPTED);
	destroy_health_notices(hn);
}
END_TEST

/*
 * Histories of upstreams and configurations, with and without entries of other
 * writers.
 */

#define HISTORIES 60
#define HISTORY_STEPS 60
#define UPSTREAMS 6
#define FIRST_ID 0xa0
#define SERVICE_NR 3

static const char *const services[SERVICE_NR] = { "board", "desk", "hall" };

struct history {
	GRand *rand;
	struct edge_instance with;    /* reads all entries */
	struct edge_instance without; /* reads those of upstreams */
	uint64_t version;
	uint64_t born[UPSTREAMS]; /* 0: never started */
};

static char *format_upstream(struct history *h, int nr)
{
	return g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"10.0.%d.%u:9000\","
		"\"zone\":\"z-%d\",\"version\":\"v1\",\"slots\":3,\"state\":"
		"\"%s\",\"warmupLeftMs\":%d,\"seq\":1,\"born\":%llu}",
		services[nr % SERVICE_NR], nr,
		(unsigned int)(h->born[nr] % 200) + 1, nr % 2,
		g_rand_int_range(h->rand, 0, 4) ? "ready" : "draining",
		g_rand_int_range(h->rand, 0, 4) ? 0 : 500,
		(unsigned long long)h->born[nr]);
}

static void report_upstream(struct history *h)
{
	int nr = g_rand_int_range(h->rand, 0, UPSTREAMS);
	bool gone = h->born[nr] && !g_rand_int_range(h->rand, 0, 6);
	char name[16];
	char *text = NULL;

	if (!gone) {
		if (!h->born[nr] || !g_rand_int_range(h->rand, 0, 4))
			h->born[nr] +=
				10 + (guint)g_rand_int_range(h->rand, 0, 90);
		text = format_upstream(h, nr);
	}
	g_snprintf(name, sizeof(name), "i-%x", FIRST_ID + nr);
	write_entry(&h->with, name, text);
	write_entry(&h->without, name, text);
	g_free(text);
}

static void write_foreign_entry(struct history *h)
{
	static const char *const prefixes[] = { "a-", "agent-", "z-00", "" };
	char *name = g_strdup_printf(
		"%s%X", prefixes[g_rand_int_range(h->rand, 0, 4)],
		FIRST_ID + g_rand_int_range(h->rand, 0, UPSTREAMS));

	write_entry(&h->with, name,
		    g_rand_int_range(h->rand, 0, 5)
			    ? foreign[g_rand_int_range(h->rand, 0,
						       G_N_ELEMENTS(foreign))]
			    : NULL);
	g_free(name);
}

static void configure(struct history *h)
{
	const char *service =
		services[g_rand_int_range(h->rand, 0, SERVICE_NR)];

	h->version++;
	write_configuration(&h->with, h->version, PORT, service);
	write_configuration(&h->without, h->version, PORT, service);
}

static void pass_time(struct history *h)
{
	uint64_t ms = (uint64_t)g_rand_int_range(h->rand, 1, 20000);

	h->with.e->now_ms += ms;
	h->without.e->now_ms += ms;
	tick_edge_records(h->with.e);
	tick_edge_records(h->without.e);
	expire_catalog(h->with.e->catalog, h->with.e->now_ms);
	expire_catalog(h->without.e->catalog, h->without.e->now_ms);
}

static const struct catalog_upstream *
find_by_id(const struct edge_instance *instance, uint64_t id)
{
	return get_upstream(
		instance->e->catalog,
		find_upstream_by_cookie(instance->e->catalog, make_cookie(id)));
}

static void assert_same_decisions(const struct history *h, int history,
				  int step)
{
	for (int nr = 0; nr < UPSTREAMS; nr++) {
		uint64_t id = (uint64_t)(FIRST_ID + nr);
		const struct catalog_upstream *a = find_by_id(&h->with, id);
		const struct catalog_upstream *b = find_by_id(&h->without, id);
		char *with = g_strdup(open_flow_address(&h->with, id));

		ck_assert_msg(!strcmp(with, open_flow_address(&h->without, id)),
			      "history %d step %d: %llx at %s, not at %s",
			      history, step, (unsigned long long)id, with,
			      open_flow_address(&h->without, id));
		g_free(with);
		ck_assert_msg(takes_new_flows(&h->with, id) ==
				      takes_new_flows(&h->without, id),
			      "history %d step %d: new flows of %llx", history,
			      step, (unsigned long long)id);
		if (!a)
			continue;
		ck_assert_uint_eq(a->listed, b->listed);
		ck_assert_uint_eq(a->cold_until_ms, b->cold_until_ms);
		ck_assert_uint_eq(a->restart_count, b->restart_count);
	}
	ck_assert_uint_eq(catalog_upstream_count(h->with.e->catalog),
			  catalog_upstream_count(h->without.e->catalog));
	ck_assert_uint_eq(catalog_domain_count(h->with.e->catalog),
			  catalog_domain_count(h->without.e->catalog));
	ck_assert_uint_eq(catalog_service_count(h->with.e->catalog),
			  catalog_service_count(h->without.e->catalog));
}

START_TEST(entries_of_other_writers_change_no_decision)
{
	struct history h = { .rand = g_rand_new_with_seed((guint32)_i + 1),
			     .version = 1 };

	init_edge_instance(&h.with);
	init_edge_instance(&h.without);
	for (int step = 0; step < HISTORY_STEPS; step++) {
		switch (g_rand_int_range(h.rand, 0, 8)) {
		case 0:
		case 1:
		case 2:
			report_upstream(&h);
			break;
		case 3:
		case 4:
		case 5:
			write_foreign_entry(&h);
			break;
		case 6:
			configure(&h);
			break;
		default:
			pass_time(&h);
			break;
		}
		assert_same_decisions(&h, _i, step);
	}
	release_edge_instance(&h.with);
	release_edge_instance(&h.without);
	g_rand_free(h.rand);
}
END_TEST

/*
 * Instances that read the same entries in other orders, and some of them after a
 * restart, send the flows of a number that entries share to the same one.
 */

#define SHARED_ENTRIES 12

/* Exchanges the NR entries at SE at random. */
static void shuffle(struct store_entry *se, size_t nr, GRand *rand)
{
	for (size_t i = nr; i > 1; i--) {
		size_t k = g_rand_int(rand) % i;
		struct store_entry last = se[i - 1];

		se[i - 1] = se[k];
		se[k] = last;
	}
}

START_TEST(entries_are_used_alike_whatever_order_they_are_read_in)
{
	static const char *const prefixes[] = { "i-", "a-", "z-", "i-0" };
	GRand *rand = g_rand_new_with_seed((guint32)_i + 1);
	struct store_entry entries[SHARED_ENTRIES];
	struct edge_instance other;

	init_edge_instance(&other);
	for (int i = 0; i < SHARED_ENTRIES; i++) {
		struct store_entry *se = &entries[i];

		memset(se, 0, sizeof(*se));
		se->key = g_strdup_printf("servers/%s%x", prefixes[i % 4],
					  FIRST_ID + i / 4);
		se->value = g_strdup_printf(
			"{\"service\":\"%s\",\"addr\":\"10.0.1.%d:9000\","
			"\"zone\":\"north\",\"version\":\"v1\",\"slots\":3,"
			"\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1,"
			"\"born\":%d}",
			"board", i + 1, g_rand_int_range(rand, 1, 4));
		se->len = strlen(se->value);
	}
	/* one has seen each of them come and go before, and some leave */
	for (int round = 0; round < 3; round++) {
		shuffle(entries, SHARED_ENTRIES, rand);
		for (int i = 0; i < SHARED_ENTRIES; i++) {
			bool gone = round == 1 || (round == 2 && i % 4 == 0);

			write_store_key(&ei, entries[i].key,
					gone ? NULL : entries[i].value);
		}
	}
	for (int i = 0; i < SHARED_ENTRIES; i += 4)
		entries[i].deleted = true;
	shuffle(entries, SHARED_ENTRIES, rand);
	for (int i = 0; i < SHARED_ENTRIES; i++)
		if (!entries[i].deleted)
			write_store_key(&other, entries[i].key,
					entries[i].value);
	for (uint64_t id = FIRST_ID; id < FIRST_ID + SHARED_ENTRIES / 4; id++) {
		char *at = g_strdup(open_flow_address(&ei, id));

		/* a restarted instance knows none that left */
		if (find_by_id(&other, id))
			ck_assert_str_eq(at, open_flow_address(&other, id));
		ck_assert_int_eq(takes_new_flows(&ei, id),
				 takes_new_flows(&other, id));
		g_free(at);
	}
	for (int i = 0; i < SHARED_ENTRIES; i++) {
		g_free(entries[i].key);
		g_free(entries[i].value);
	}
	release_edge_instance(&other);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("foreign entries");
	TCase *tc = tcase_create("foreign entries");
	SRunner *sr = srunner_create(s);
	const int forms = G_N_ELEMENTS(foreign);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, other_key_takes_neither_open_nor_new_flows, 0,
			    forms);
	tcase_add_loop_test(tc,
			    own_key_is_the_upstreams_again_with_its_next_entry,
			    0, forms);
	tcase_add_loop_test(tc, upstream_that_leaves_keeps_its_flows, 0, forms);
	tcase_add_test(tc, entry_read_before_its_service_is_configured_is_used);
	tcase_add_test(
		tc, service_of_an_earlier_configuration_of_one_answer_is_new);
	tcase_add_loop_test(tc, service_that_is_left_out_keeps_its_open_flows,
			    0, forms);
	tcase_add_test(tc,
		       cookie_of_a_service_configured_elsewhere_is_asked_about);
	tcase_add_test(tc, held_entry_is_not_used_for_a_new_service);
	tcase_add_test(tc, many_entries_leave_room_for_upstreams);
	tcase_add_loop_test(
		tc, verdict_on_another_entry_with_the_number_is_checked_first,
		0, 2);
	tcase_add_loop_test(tc, entries_of_other_writers_change_no_decision, 0,
			    HISTORIES);
	tcase_add_loop_test(
		tc, entries_are_used_alike_whatever_order_they_are_read_in, 0,
		HISTORIES);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
