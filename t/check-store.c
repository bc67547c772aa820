/*
 * Tests of store/etcd-json: requests that it encodes are handled by the store
 * stand-in's state, whose answers it decodes.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/txn.h"
#include "stand-in/kv.h"
#include "store/etcd-json.h"

static struct kv *kv;

static void setup(void)
{
	kv = create_kv();
}

static void teardown(void)
{
	destroy_kv(kv);
}

typedef enum status_kind (*read_fn)(const char *text, size_t len,
				    struct store_answer *a);

/* Decodes the stand-in's answer J, which it frees, with FN. */
static void decode(json_t *j, read_fn fn, struct store_answer *a)
{
	char *text = json_dumps(j, JSON_COMPACT);

	fn(text, strlen(text), a);
	free(text);
	json_decref(j);
}

static json_t *parse(char *text)
{
	json_t *j = json_loads(text, 0, NULL);

	free(text);
	return j;
}

static void commit(const struct txn *t, struct store_answer *a)
{
	struct store_txn v = view_txn(t);
	json_t *body = parse(write_txn_json(&v));

	decode(kv_txn(kv, body), read_kv_json, a);
	json_decref(body);
}

static void put(const char *key, const char *value)
{
	struct txn *t = create_txn();
	struct store_answer a;

	add_put(t, key, value, strlen(value));
	commit(t, &a);
	ck_assert(a.succeeded);
	release_store_answer(&a);
	destroy_txn(t);
}

static void range(const char *key, const char *end, uint32_t limit,
		  struct store_answer *a)
{
	struct store_range r = { .key = key, .end = end, .limit = limit };
	json_t *body = parse(write_range_json(&r));

	decode(kv_range(kv, body), read_kv_json, a);
	json_decref(body);
}

START_TEST(failed_comparison_prevents_the_transaction)
{
	struct txn *t = create_txn();
	struct store_answer a;

	put("/a", "1");
	add_compare(t, "/a", 0);
	add_put(t, "/a", "2", 1);
	commit(t, &a);
	ck_assert(!a.succeeded);
	release_store_answer(&a);
	range("/a", NULL, 0, &a);
	ck_assert_uint_eq(a.entry_nr, 1);
	ck_assert_mem_eq(a.entries[0].value, "1", 1);
	clear_txn(t);
	add_compare(t, "/a", a.entries[0].mod_revision);
	add_put(t, "/a", "2", 1);
	release_store_answer(&a);
	commit(t, &a);
	ck_assert(a.succeeded);
	release_store_answer(&a);
	destroy_txn(t);
}
END_TEST

#define HEADER "\"header\":{\"revision\":\"9\"}"
#define KV(key, value)                                                         \
	"{\"key\":\"" key "\",\"value\":\"" value "\",\"mod_revision\":\"3\"}"

/* FN reads "/a" from TEXT and leaves out "/a\0x". */
static void check_key_with_nul(read_fn fn, const char *text)
{
	struct store_answer a;

	ck_assert_int_eq(fn(text, strlen(text), &a), STATUS_OK);
	ck_assert_uint_eq(a.entry_nr, 1);
	ck_assert_uint_eq(a.unreadable_nr, 1);
	ck_assert_str_eq(a.entries[0].key, "/a");
	ck_assert_mem_eq(a.entries[0].value, "1", 1);
	release_store_answer(&a);
}

START_TEST(key_with_a_nul_is_not_taken_for_its_first_part)
{
	check_key_with_nul(read_kv_json,
			   "{" HEADER
			   ",\"kvs\":[" KV("L2EAeA==",
					   "Mg==") "," KV("L2E=", "MQ==") "]}");
	check_key_with_nul(
		read_watch_json,
		"{\"result\":{" HEADER
		",\"events\":[{\"kv\":" KV("L2EAeA==", "Mg==") "},{\"kv\":" KV(
			"L2E=", "MQ==") "}]}}");
}
END_TEST

START_TEST(transaction_gets_keys_and_deletes_a_range)
{
	struct txn *t = create_txn();
	struct store_answer a;

	put("/a/1", "1");
	put("/a/2", "2");
	put("/b", "3");
	add_get(t, "/b");
	add_get(t, "/none");
	add_get(t, "/a/2");
	commit(t, &a);
	ck_assert_uint_eq(a.entry_nr, 2);
	ck_assert_mem_eq(find_store_entry(&a, "/a/2")->value, "2", 1);
	ck_assert_ptr_null(find_store_entry(&a, "/none"));
	release_store_answer(&a);
	clear_txn(t);
	add_delete(t, "/a/", "/a0");
	commit(t, &a);
	release_store_answer(&a);
	range("/", "0", 0, &a);
	ck_assert_uint_eq(a.entry_nr, 1);
	release_store_answer(&a);
	destroy_txn(t);
}
END_TEST

START_TEST(range_returns_at_most_the_limit)
{
	struct store_answer a;

	put("/a/1", "1");
	put("/a/2", "2");
	put("/a/3", "3");
	range("/a/", "/a0", 2, &a);
	ck_assert_uint_eq(a.entry_nr, 2);
	ck_assert_str_eq(a.entries[1].key, "/a/2");
	release_store_answer(&a);
}
END_TEST

/* Reads events of "/a/" from *REVISION on, which advances; false if none. */
static bool poll_events(uint64_t *revision, struct store_answer *a)
{
	struct store_range r = { .key = "/a/", .end = "/a0" };
	json_t *body = parse(write_watch_json(&r, *revision));
	json_t *events = kv_events(kv, json_object_get(body, "create_request"),
				   revision);
	bool has_events = events;

	json_decref(body);
	if (has_events)
		decode(events, read_watch_json, a);
	return has_events;
}

START_TEST(watch_delivers_each_change_once)
{
	struct txn *t = create_txn();
	struct store_answer a;
	uint64_t revision = kv_revision(kv) + 1;

	put("/a/1", "1");
	put("/b", "x");
	put("/a/1", "2");
	ck_assert(poll_events(&revision, &a));
	ck_assert_uint_eq(a.entry_nr, 2);
	ck_assert_mem_eq(a.entries[1].value, "2", 1);
	release_store_answer(&a);
	ck_assert(!poll_events(&revision, &a));
	add_delete(t, "/a/1", NULL);
	commit(t, &a);
	release_store_answer(&a);
	ck_assert(poll_events(&revision, &a));
	ck_assert(a.entries[0].deleted);
	release_store_answer(&a);
	destroy_txn(t);
}
END_TEST

START_TEST(cancelled_watch_is_an_error)
{
	const char *text = "{\"result\":{\"header\":{\"revision\":\"9\"},"
			   "\"canceled\":true,\"compact_revision\":\"5\"}}";
	struct store_answer a;

	read_watch_json(text, strlen(text), &a);
	ck_assert_int_eq(a.status.kind, STATUS_UNAVAILABLE);
	release_store_answer(&a);
}
END_TEST

static uint64_t grant(uint64_t now_ms)
{
	json_t *body = parse(write_grant_json(5));
	struct store_answer a;

	decode(kv_grant_lease(kv, body, now_ms), read_lease_json, &a);
	ck_assert_int_eq(a.status.kind, STATUS_OK);
	ck_assert_uint_ne(a.lease_id, 0);
	json_decref(body);
	return a.lease_id;
}

static enum status_kind renew(uint64_t lease, uint64_t now_ms)
{
	json_t *body = parse(write_lease_json(lease));
	struct store_answer a;

	decode(kv_keep_lease_alive(kv, body, now_ms), read_lease_json, &a);
	json_decref(body);
	return a.status.kind;
}

static void put_leased(const char *key, uint64_t lease)
{
	struct store_op op = { .kind = STORE_PUT,
			       .key = key,
			       .value = "x",
			       .len = 1,
			       .lease_id = lease };
	struct store_txn txn = { .ops = &op, .op_nr = 1 };
	json_t *body = parse(write_txn_json(&txn));

	json_decref(kv_txn(kv, body));
	json_decref(body);
}

START_TEST(expired_lease_deletes_its_keys)
{
	struct store_answer a;
	uint64_t lease = grant(1000);

	put_leased("/a/held", lease);
	put("/a/free", "x");
	kv_expire(kv, 5999);
	ck_assert_int_eq(renew(lease, 5999), STATUS_OK);
	kv_expire(kv, 10998);
	range("/a/", "/a0", 0, &a);
	ck_assert_uint_eq(a.entry_nr, 2);
	release_store_answer(&a);
	kv_expire(kv, 10999);
	range("/a/", "/a0", 0, &a);
	ck_assert_uint_eq(a.entry_nr, 1);
	release_store_answer(&a);
	ck_assert_int_eq(renew(lease, 11000), STATUS_NOT_FOUND);
}
END_TEST

START_TEST(malformed_answer_is_corrupt)
{
	static const char *const malformed[] = {
		"",	"{}",
		"[1]",	"{",
		"null", "{\"header\":1}",
		"\x80", "{\"header\":{},\"kvs\":[{}]}"
	};
	struct store_answer a;

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		read_kv_json(malformed[i], strlen(malformed[i]), &a);
		ck_assert_int_eq(a.status.kind, STATUS_CORRUPT);
		release_store_answer(&a);
		read_watch_json(malformed[i], strlen(malformed[i]), &a);
		ck_assert_int_eq(a.status.kind, STATUS_CORRUPT);
		release_store_answer(&a);
	}
}
END_TEST

START_TEST(state_is_restored_from_a_dump)
{
	struct store_answer a;
	json_t *dump;

	put("/a/1", "1");
	dump = kv_to_json(kv);
	put("/a/1", "2");
	kv_from_json(kv, dump);
	json_decref(dump);
	range("/a/1", NULL, 0, &a);
	ck_assert_mem_eq(a.entries[0].value, "1", 1);
	ck_assert_uint_eq(a.revision, 2);
	release_store_answer(&a);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("store");
	TCase *tc = tcase_create("store");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, failed_comparison_prevents_the_transaction);
	tcase_add_test(tc, key_with_a_nul_is_not_taken_for_its_first_part);
	tcase_add_test(tc, transaction_gets_keys_and_deletes_a_range);
	tcase_add_test(tc, range_returns_at_most_the_limit);
	tcase_add_test(tc, watch_delivers_each_change_once);
	tcase_add_test(tc, cancelled_watch_is_an_error);
	tcase_add_test(tc, expired_lease_deletes_its_keys);
	tcase_add_test(tc, malformed_answer_is_corrupt);
	tcase_add_test(tc, state_is_restored_from_a_dump);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
