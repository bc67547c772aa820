/*
 * Tests of publishing and of domain changes over the fake store: parts, their
 * retirement, lost answers, conflicts, limits and messages to operators. Guards
 * against publishes that are applied twice or revert another one, parts that
 * are deleted in use or never, and all domains being out of service.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/domain-change.h"
#include "config/keys.h"
#include "config/parts.h"
#include "config/publish.h"
#include "store/etcd-json.h"
#include "t/fake-store.h"

static struct fake_store *store;

static void setup(void)
{
	store = create_fake_store(FAKE_NO_FLAW);
}

static void teardown(void)
{
	destroy_fake_store(store);
}

/* A service with UPSTREAM_NR upstreams of SLOTS each. */
static struct service *make_service(const char *name, unsigned int slots,
				    unsigned int upstream_nr)
{
	struct service *sv = create_service(name);
	char at[ENDPOINT_TEXT_MAX];

	sv->kind = SERVICE_REQUESTS;
	g_snprintf(at, sizeof(at), "10.%u.%u.%u:80",
		   (unsigned int)(sv->id & 255),
		   (unsigned int)(sv->id >> 8 & 255),
		   (unsigned int)(sv->id >> 16 & 255));
	parse_endpoint(at, &sv->address, NULL);
	for (unsigned int i = 0; i < upstream_nr; i++) {
		struct upstream up = { .slots = slots };

		g_snprintf(up.name, sizeof(up.name), "up-%u", i);
		g_strlcpy(up.domain, i % 2 ? "south" : "north",
			  sizeof(up.domain));
		up.address = sv->address;
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

static void step_publish_change(void *change, const struct store_answer *a,
				struct change_action *out)
{
	step_publish(change, a, out);
}

static void step_domain(void *change, const struct store_answer *a,
			struct change_action *out)
{
	step_domain_change(change, a, out);
}

typedef void (*step_fn)(void *change, const struct store_answer *a,
			struct change_action *out);

/* Runs CHANGE to its end. Its commits get the FAULTS in order; NULL: none. */
static void run_change(step_fn step, void *change,
		       const enum fake_fault *faults)
{
	struct change_action act;

	step(change, NULL, &act);
	while (act.kind != CHANGE_DONE) {
		struct store_answer a = { .entries = NULL };
		enum fake_fault fault = FAKE_NONE;

		if (faults && act.kind == CHANGE_COMMIT && *faults)
			fault = *faults++;
		if (act.kind != CHANGE_WAIT)
			call_fake_store(store, &act, fault, &a);
		step(change, act.kind == CHANGE_WAIT ? NULL : &a, &act);
		release_store_answer(&a);
	}
}

static struct publish_intent make_intent(struct service **svs, size_t nr,
					 bool only, const char *id)
{
	struct publish_intent in = { .id = id, .who = "ann", .why = "test" };

	in.change.services = svs;
	in.change.service_nr = nr;
	in.change.only = only;
	return in;
}

/* Publishes SVS, which it unreferences, and returns the status. */
static struct status publish(struct service **svs, size_t nr, bool only,
			     const char *id)
{
	struct publish_intent in = make_intent(svs, nr, only, id);
	struct publish *p = create_publish(&in, 1);
	struct status st;

	run_change(step_publish_change, p, NULL);
	st = *publish_status(p);
	destroy_publish(p);
	for (size_t i = 0; i < nr; i++)
		unref_service(svs[i]);
	return st;
}

static enum status_kind publish_one(const char *name, unsigned int slots,
				    const char *id)
{
	struct service *sv = make_service(name, slots, 4);

	return publish(&sv, 1, true, id).kind;
}

static void read_keys(const char *key, const char *end, struct store_answer *a)
{
	struct change_action act = { .kind = CHANGE_RANGE,
				     .range = { key, end, 0 } };

	call_fake_store(store, &act, FAKE_NONE, a);
}

static size_t count_keys(const char *key, const char *end)
{
	struct store_answer a;
	size_t n;

	read_keys(key, end, &a);
	n = a.entry_nr;
	release_store_answer(&a);
	return n;
}

static struct store_head read_current_head(void)
{
	struct store_answer a;
	struct store_head h;

	read_keys(KEY_HEAD_PREFIX, KEY_HEAD_END, &a);
	ck_assert_int_eq(decode_store_head(&h, &a, NULL), STATUS_OK);
	release_store_answer(&a);
	return h;
}

static bool part_exists(const struct part_ref *part)
{
	char key[PART_KEY_MAX];

	return count_keys(part_key(part, key), NULL);
}

START_TEST(one_changed_service_writes_one_part)
{
	struct store_head h;
	uint64_t first;

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	ck_assert_int_eq(publish_one("b", 1, "2"), STATUS_OK);
	first = count_keys(KEY_PART_PREFIX, "/baobabvalve/part0");
	ck_assert_uint_eq(first, 2);
	ck_assert_int_eq(publish_one("b", 2, "3"), STATUS_OK);
	ck_assert_uint_eq(count_keys(KEY_PART_PREFIX, "/baobabvalve/part0"),
			  first + 1);
	h = read_current_head();
	ck_assert_uint_eq(h.pointer->epoch, 3);
	ck_assert_uint_eq(h.pointer->retired->len, 1);
	release_store_head(&h);
}
END_TEST

START_TEST(a_part_used_again_is_not_deleted)
{
	struct part_ref part;
	struct store_head h;
	char id[16];

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	h = read_current_head();
	part = g_array_index(h.pointer->parts, struct part_ref, 0);
	release_store_head(&h);
	ck_assert_int_eq(publish_one("a", 2, "2"), STATUS_OK);
	ck_assert_int_eq(publish_one("a", 1, "3"), STATUS_OK);
	for (unsigned int i = 0; i < 2 * RETIRED_PART_EPOCHS; i++) {
		g_snprintf(id, sizeof(id), "n%u", i);
		ck_assert_int_eq(publish_one("b", i + 1, id), STATUS_OK);
		ck_assert(part_exists(&part));
	}
	/* parts of a and b, and those retired in the last epochs */
	ck_assert_uint_le(count_keys(KEY_PART_PREFIX, "/baobabvalve/part0"),
			  RETIRED_PART_EPOCHS + 2);
}
END_TEST

START_TEST(retired_parts_do_not_accumulate)
{
	struct service *svs[200];
	struct status st;
	struct store_head h;
	char name[32];

	for (unsigned int round = 1; round < 2 * RETIRED_PART_EPOCHS; round++) {
		for (unsigned int i = 0; i < 200; i++) {
			g_snprintf(name, sizeof(name), "service-%u", i);
			svs[i] = make_service(name, round, 1);
		}
		g_snprintf(name, sizeof(name), "%u", round);
		st = publish(svs, 200, false, name);
		ck_assert_msg(st.kind == STATUS_OK, "%s", st.message);
	}
	h = read_current_head();
	ck_assert_uint_le(h.pointer->retired->len,
			  (RETIRED_PART_EPOCHS + 1) * h.pointer->parts->len);
	release_store_head(&h);
}
END_TEST

START_TEST(parts_of_a_dead_publisher_are_deleted)
{
	struct service *svs[200];
	struct publish_intent in = make_intent(svs, 200, false, "bulk");
	struct change_action act;
	struct publish *p;
	char name[32];

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	for (unsigned int i = 0; i < 200; i++) {
		g_snprintf(name, sizeof(name), "service-%u", i);
		svs[i] = make_service(name, 1, 1);
	}
	in.allow_removal = true;
	p = create_publish(&in, 1);
	step_publish(p, NULL, &act);
	for (int calls = 0; calls < 7; calls++) {
		struct store_answer a;

		ck_assert_int_ne(act.kind, CHANGE_DONE);
		call_fake_store(store, &act, FAKE_NONE, &a);
		step_publish(p, &a, &act);
		release_store_answer(&a);
	}
	ck_assert_uint_ge(count_keys(KEY_PART_PREFIX, "/baobabvalve/part0"),
			  80);
	destroy_publish(p);
	for (unsigned int i = 0; i < 200; i++)
		unref_service(svs[i]);
	for (unsigned int i = 0; i < 2 * RETIRED_PART_EPOCHS; i++) {
		g_snprintf(name, sizeof(name), "n%u", i);
		ck_assert_int_eq(publish_one("a", i + 2, name), STATUS_OK);
	}
	ck_assert_uint_le(count_keys(KEY_PART_PREFIX, "/baobabvalve/part0"),
			  RETIRED_PART_EPOCHS + 1);
}
END_TEST

START_TEST(a_lost_answer_does_not_publish_twice)
{
	static const enum fake_fault faults[] = { FAKE_ANSWER_LOST,
						  FAKE_REQUEST_LOST,
						  FAKE_DELAYED, FAKE_SENT_TWICE,
						  FAKE_UNREACHABLE };
	enum fake_fault list[] = { faults[_i], FAKE_NONE };
	struct service *sv = make_service("a", 1, 2);
	struct publish_intent in = make_intent(&sv, 1, false, "x");
	struct publish *p = create_publish(&in, 1);

	run_change(step_publish_change, p, list);
	apply_delayed_calls(store);
	ck_assert_int_eq(publish_status(p)->kind, STATUS_OK);
	ck_assert(publish_committed(p));
	ck_assert_uint_eq(publish_epoch(p), 1);
	ck_assert_uint_eq(count_keys(KEY_AUDIT_PREFIX, KEY_AUDIT_END), 1);
	destroy_publish(p);
	unref_service(sv);
}
END_TEST

START_TEST(lasting_store_failure_sets_the_right_status)
{
	static const enum fake_fault lost[] = {
		FAKE_REQUEST_LOST, FAKE_REQUEST_LOST, FAKE_REQUEST_LOST,
		FAKE_REQUEST_LOST, FAKE_REQUEST_LOST, FAKE_REQUEST_LOST,
		FAKE_REQUEST_LOST, FAKE_REQUEST_LOST, FAKE_REQUEST_LOST,
		FAKE_NONE
	};
	static const enum fake_fault down[] = {
		FAKE_UNREACHABLE, FAKE_UNREACHABLE, FAKE_UNREACHABLE,
		FAKE_UNREACHABLE, FAKE_UNREACHABLE, FAKE_UNREACHABLE,
		FAKE_UNREACHABLE, FAKE_UNREACHABLE, FAKE_UNREACHABLE,
		FAKE_NONE
	};
	struct service *sv = make_service("a", 1, 2);
	struct publish_intent in = make_intent(&sv, 1, false, "x");
	struct publish *p = create_publish(&in, 1);

	run_change(step_publish_change, p, _i ? down : lost);
	ck_assert_int_eq(publish_status(p)->kind,
			 _i ? STATUS_UNAVAILABLE : STATUS_UNKNOWN);
	destroy_publish(p);
	unref_service(sv);
}
END_TEST

/* Publishes MINE; OTHER is published between its reads and its writes. */
static struct status publish_during_another(const char *mine, const char *other)
{
	struct service *sv = make_service(mine, 7, 4);
	struct publish_intent in = make_intent(&sv, 1, true, "late");
	struct publish *p;
	struct store_answer a;
	struct change_action act;
	struct status st;

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	in.who = "bob";
	p = create_publish(&in, 1);
	step_publish(p, NULL, &act);
	call_fake_store(store, &act, FAKE_NONE, &a);
	step_publish(p, &a, &act);
	release_store_answer(&a);
	call_fake_store(store, &act, FAKE_NONE, &a); /* reads parts */
	step_publish(p, &a, &act);
	release_store_answer(&a);
	ck_assert_int_eq(publish_one(other, 5, "2"), STATUS_OK);
	while (act.kind != CHANGE_DONE) {
		bool call = act.kind != CHANGE_WAIT;

		memset(&a, 0, sizeof(a));
		if (call)
			call_fake_store(store, &act, FAKE_NONE, &a);
		step_publish(p, call ? &a : NULL, &act);
		release_store_answer(&a);
	}
	st = *publish_status(p);
	destroy_publish(p);
	unref_service(sv);
	return st;
}

START_TEST(publishes_of_different_services_both_succeed)
{
	struct store_head h;

	ck_assert_int_eq(publish_during_another("b", "c").kind, STATUS_OK);
	h = read_current_head();
	ck_assert_uint_eq(h.pointer->epoch, 3);
	ck_assert_uint_eq(h.pointer->service_nr, 3);
	release_store_head(&h);
}
END_TEST

START_TEST(second_publish_of_a_service_gets_a_conflict)
{
	struct status st = publish_during_another("a", "a");

	ck_assert_int_eq(st.kind, STATUS_CONFLICT);
	ck_assert_msg(strstr(st.message, "ann changed service 'a' (epoch 2"),
		      "%s", st.message);
}
END_TEST

START_TEST(removing_most_upstreams_needs_the_option)
{
	struct service *sv = make_service("a", 1, 1);
	struct publish_intent in = make_intent(&sv, 1, true, "x");
	struct publish *p;

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	p = create_publish(&in, 1);
	run_change(step_publish_change, p, NULL);
	ck_assert_int_eq(publish_status(p)->kind, STATUS_INVALID);
	ck_assert_msg(strstr(problem_at(publish_problems(p), 0),
			     "3 of 4 upstreams would be removed"),
		      "%s", problem_at(publish_problems(p), 0));
	destroy_publish(p);
	in.allow_removal = true;
	p = create_publish(&in, 1);
	run_change(step_publish_change, p, NULL);
	ck_assert_int_eq(publish_status(p)->kind, STATUS_OK);
	destroy_publish(p);
	unref_service(sv);
}
END_TEST

START_TEST(a_restored_store_gets_no_lower_epoch)
{
	struct service *sv = make_service("a", 9, 4);
	struct publish_intent in = make_intent(&sv, 1, true, "x");
	struct publish *p;

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	in.known_epoch = 7;
	p = create_publish(&in, 1);
	run_change(step_publish_change, p, NULL);
	ck_assert_int_eq(publish_status(p)->kind, STATUS_CONFLICT);
	destroy_publish(p);
	in.change.only = false;
	p = create_publish(&in, 1);
	run_change(step_publish_change, p, NULL);
	ck_assert_int_eq(publish_status(p)->kind, STATUS_OK);
	ck_assert_uint_eq(publish_epoch(p), 8);
	destroy_publish(p);
	unref_service(sv);
}
END_TEST

START_TEST(two_services_at_one_address_are_refused_across_publishes)
{
	struct service *sv = make_service("a", 1, 2);
	struct service *twin = create_service("twin");
	struct status st;

	twin->kind = sv->kind;
	twin->address = sv->address;
	add_upstream(twin, &sv->upstreams[0]);
	seal_service(twin);
	ck_assert_int_eq(publish(&sv, 1, true, "1").kind, STATUS_OK);
	st = publish(&twin, 1, true, "2");
	ck_assert_int_eq(st.kind, STATUS_INVALID);
}
END_TEST

/* Takes NAME out of service or back; FORCE is the option --force. */
static struct status change_domain(const char *name, bool out, bool force,
				   const char *id)
{
	struct domain_intent in = { .out = out, .force = force, .id = id };
	struct domain_change *dc;
	struct status st;

	g_strlcpy(in.name, name, sizeof(in.name));
	in.who = "ann";
	in.why = "flood";
	dc = create_domain_change(&in, 1);
	run_change(step_domain, dc, NULL);
	st = *domain_change_status(dc);
	destroy_domain_change(dc);
	return st;
}

START_TEST(the_last_domain_is_not_taken_out)
{
	struct status st;

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	ck_assert_int_eq(change_domain("west", true, false, "2").kind,
			 STATUS_NOT_FOUND);
	ck_assert_int_eq(change_domain("north", true, false, "3").kind,
			 STATUS_OK);
	st = change_domain("north", true, false, "4");
	ck_assert_int_eq(st.kind, STATUS_OK);
	ck_assert_msg(strstr(st.message, "already: epoch 1 by ann: flood"),
		      "%s", st.message);
	ck_assert_int_eq(change_domain("south", true, false, "5").kind,
			 STATUS_INVALID);
	ck_assert_int_eq(change_domain("south", true, true, "6").kind,
			 STATUS_OK);
	ck_assert_int_eq(change_domain("north", false, false, "7").kind,
			 STATUS_OK);
	ck_assert_uint_eq(count_keys(KEY_AUDIT_PREFIX, KEY_AUDIT_END), 4);
}
END_TEST

START_TEST(old_audit_entries_are_deleted)
{
	char id[16];

	ck_assert_int_eq(publish_one("a", 1, "1"), STATUS_OK);
	for (unsigned int i = 0; i < AUDIT_DOMAIN_ENTRIES_MAX + 20; i++) {
		g_snprintf(id, sizeof(id), "d%u", i);
		ck_assert_int_eq(
			change_domain("north", !(i % 2), false, id).kind,
			STATUS_OK);
	}
	ck_assert_uint_eq(count_keys(KEY_AUDIT_PREFIX, KEY_AUDIT_END),
			  AUDIT_DOMAIN_ENTRIES_MAX + 1);
}
END_TEST

START_TEST(pointers_round_trip_and_truncation_fails)
{
	struct pointer *p = create_pointer(8);
	struct part_ref part = { 3, 99 };
	struct retired_part old = { { 3, 98 }, 4 };
	struct pointer *back;
	struct wire_writer w;

	p->epoch = 5;
	add_pointer_domain(p, "north");
	g_array_append_val(p->parts, part);
	g_array_append_val(p->retired, old);
	init_wire_writer(&w);
	encode_pointer(&w, p);
	back = decode_pointer(w.buf.data, w.buf.size, NULL);
	ck_assert_ptr_nonnull(back);
	ck_assert_uint_eq(back->epoch, 5);
	ck_assert_uint_eq(find_part(back, 3)->digest, 99);
	for (size_t cut = 0; cut < w.buf.size; cut++)
		ck_assert_ptr_null(decode_pointer(w.buf.data, cut, NULL));
	destroy_pointer(back);
	destroy_pointer(p);
	release_wire_writer(&w);
}
END_TEST

START_TEST(a_part_with_a_wrong_digest_is_refused)
{
	struct service *sv = make_service("a", 1, 2);
	struct snapshot *sn = create_snapshot(1, "x", &sv, 1);
	GArray *parts = split_snapshot(sn, 4);
	struct part *part = &g_array_index(parts, struct part, 0);
	struct part_cache *cache = create_part_cache();

	ck_assert(add_cached_part(cache, &part->ref, part->bytes.buf.data,
				  part->bytes.buf.size));
	part->bytes.buf.data[4] ^= 1;
	ck_assert(!add_cached_part(cache, &part->ref, part->bytes.buf.data,
				   part->bytes.buf.size));
	destroy_part_cache(cache);
	free_parts(parts);
	unref_snapshot(sn);
	unref_service(sv);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("publish");
	TCase *tc = tcase_create("publish");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, one_changed_service_writes_one_part);
	tcase_add_test(tc, a_part_used_again_is_not_deleted);
	tcase_add_test(tc, retired_parts_do_not_accumulate);
	tcase_add_test(tc, parts_of_a_dead_publisher_are_deleted);
	tcase_add_loop_test(tc, a_lost_answer_does_not_publish_twice, 0, 5);
	tcase_add_loop_test(tc, lasting_store_failure_sets_the_right_status, 0,
			    2);
	tcase_add_test(tc, publishes_of_different_services_both_succeed);
	tcase_add_test(tc, second_publish_of_a_service_gets_a_conflict);
	tcase_add_test(tc, removing_most_upstreams_needs_the_option);
	tcase_add_test(tc, a_restored_store_gets_no_lower_epoch);
	tcase_add_test(
		tc, two_services_at_one_address_are_refused_across_publishes);
	tcase_add_test(tc, the_last_domain_is_not_taken_out);
	tcase_add_test(tc, old_audit_entries_are_deleted);
	tcase_add_test(tc, pointers_round_trip_and_truncation_fails);
	tcase_add_test(tc, a_part_with_a_wrong_digest_is_refused);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
