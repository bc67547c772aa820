/* Unit tests of request/ and fleet/quota. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/quota.h"
#include "request/budget.h"
#include "request/claims.h"
#include "request/outcome.h"
#include "request/queue.h"

#define MEMBERS 9

static struct member member_at(unsigned int i)
{
	struct member m = { .state = MEMBER_ALIVE, .peer_port = 7401 };

	snprintf(m.name, sizeof(m.name), "in-%u", i);
	snprintf(m.domain, sizeof(m.domain), "domain-%u", i % 3);
	m.id = service_id(m.name);
	m.address.family = 4;
	m.address.ip[0] = 127;
	m.address.ip[3] = (uint8_t)i;
	return m;
}

static struct view *view_of(unsigned int self, unsigned int nr)
{
	struct view *v = create_view(member_at(self).id);

	for (unsigned int i = 0; i < nr; i++) {
		struct member m = member_at(i);

		set_view_member(v, &m);
	}
	return v;
}

START_TEST(every_outcome_has_a_name_and_an_error_code)
{
	for (int o = 0; o < OUTCOME_NR; o++) {
		const struct outcome_row *row = find_outcome_row(o);

		ck_assert_ptr_nonnull(row->name);
		ck_assert(row->code >= 400 || o == OUTCOME_ANSWERED);
	}
	ck_assert_int_eq(find_outcome_row(OUTCOME_UNKNOWN)->resend,
			 RESEND_SAME_KEY);
}
END_TEST

START_TEST(cold_slot_is_in_the_quota_of_only_one_instance)
{
	for (uint64_t upstream = 1; upstream < 50; upstream++) {
		uint32_t sum = 0;

		for (unsigned int i = 0; i < MEMBERS; i++) {
			struct view *v = view_of(i, MEMBERS);
			struct quotas *qs = create_quotas(v);

			update_quotas(qs, 1000);
			ck_assert_uint_eq(upstream_quota(qs, upstream, 1, 1001),
					  0);
			sum += upstream_quota(qs, upstream, 1,
					      1000 + QUOTA_DELAY_MS);
			destroy_quotas(qs);
			destroy_view(v);
		}
		ck_assert_uint_eq(sum, 1);
	}
}
END_TEST

/*
 * A second membership change during the delay after a quota grew: the quota
 * gained by the first change must not become usable early.
 */
START_TEST(second_member_change_does_not_shorten_quota_delay)
{
	struct view *v = view_of(0, 1);
	struct quotas *qs = create_quotas(v);
	struct member m = member_at(1);

	update_quotas(qs, 1000);
	set_view_member(v, &m);
	update_quotas(qs, 1100);
	remove_member(v, m.id);
	update_quotas(qs, 1200);
	ck_assert_uint_eq(upstream_quota(qs, 7, 3, 1300), 0);
	ck_assert_uint_eq(upstream_quota(qs, 7, 3, 1200 + QUOTA_DELAY_MS), 3);
	destroy_quotas(qs);
	destroy_view(v);
}
END_TEST

START_TEST(retries_stay_below_a_percentage_of_requests)
{
	struct retry_budget b;
	unsigned int spent = 0;

	init_retry_budget(&b);
	for (int i = 0; i < 1000; i++) {
		earn_retry(&b);
		spent += spend_retry(&b);
	}
	ck_assert_uint_le(spent,
			  1000 * RETRY_PERCENT / 100 + RETRIES_SAVED_MAX);
	ck_assert_uint_ge(spent, 1000 * RETRY_PERCENT / 100);
}
END_TEST

START_TEST(queue_orders_by_deadline_and_refuses_late_requests)
{
	GRand *rng = g_rand_new_with_seed(1);
	struct queue *q = create_queue(rng);
	uint32_t first;
	bool differs = false;

	push_queue(q, 1, 900, 0);
	push_queue(q, 2, 500, 0);
	push_queue(q, 3, 700, 0);
	ck_assert_uint_eq(queue_head(q, NULL), 2);
	remove_from_queue(q, 2, true, 100);
	ck_assert_uint_eq(queue_head(q, NULL), 3);
	remove_from_queue(q, 3, true, 200);
	push_queue(q, 4, 2000, 200);
	ck_assert(!can_enter_queue(q, 350, 200));
	ck_assert(can_enter_queue(q, 2000, 200));
	first = retry_after_ms(q, 200);
	ck_assert_uint_ge(first, RETRY_AFTER_MIN_MS);
	for (int i = 0; i < 10; i++)
		differs |= retry_after_ms(q, 200) != first;
	ck_assert(differs);
	destroy_queue(q);
	g_rand_free(rng);
}
END_TEST

/* Delivers the messages in AS to instance INDEX; drops all others. */
static void deliver(struct claims *into, unsigned int index,
		    const struct claim_actions *as, uint64_t now,
		    struct claim_actions *out)
{
	for (size_t i = 0; i < as->nr; i++)
		if (as->items[i].kind == CLAIM_SEND &&
		    as->items[i].to.ip[3] == index)
			ck_assert(handle_claim_message(into, as->items[i].data,
						       as->items[i].len, now,
						       out));
}

static enum claim_decision decided(const struct claim_actions *as, bool *any)
{
	*any = false;
	for (size_t i = 0; i < as->nr; i++)
		if (as->items[i].kind == CLAIM_DECIDED) {
			*any = true;
			return as->items[i].decision;
		}
	return CLAIM_FAILED;
}

START_TEST(only_member_grants_a_key_only_once)
{
	struct view *v = view_of(0, 1);
	struct claims *cs = create_claims(v, 1, true, 1000);
	struct claim_request cr = { 1, { 5, 6 }, 77, 0 };
	struct claim_actions as = { 0 };
	bool any;

	begin_claim(cs, &cr, 1000, &as);
	ck_assert_int_eq(decided(&as, &any), CLAIM_WON);
	release_claim_actions(&as);
	cr.request = 2;
	begin_claim(cs, &cr, 1001, &as);
	ck_assert_int_eq(decided(&as, &any), CLAIM_HELD_IN_PROGRESS);
	release_claim_actions(&as);
	finish_claim(cs, 1, KEY_DONE, 9, "answer", 6, 1002, &as);
	cr.request = 3;
	begin_claim(cs, &cr, 1003, &as);
	ck_assert_int_eq(decided(&as, &any), CLAIM_HELD_DONE);
	ck_assert_uint_eq(as.items[as.nr - 1].len, 6);
	release_claim_actions(&as);
	cr.request = 4;
	cr.request_digest = 78;
	begin_claim(cs, &cr, 1004, &as);
	ck_assert_int_eq(decided(&as, &any), CLAIM_KEY_REUSED);
	release_claim_actions(&as);
	destroy_claims(cs);
	destroy_view(v);
}
END_TEST

START_TEST(new_instance_of_a_fleet_grants_nothing)
{
	struct view *v = view_of(0, 1);
	struct claims *cs = create_claims(v, 1, false, 1000);
	struct claim_request cr = { 1, { 5, 6 }, 77, 0 };
	struct claim_actions as = { 0 };
	bool any;

	begin_claim(cs, &cr, 1000, &as);
	ck_assert_int_eq(decided(&as, &any), CLAIM_FAILED);
	ck_assert(any);
	release_claim_actions(&as);
	destroy_claims(cs);
	destroy_view(v);
}
END_TEST

START_TEST(replica_refuses_claim_for_other_replicas)
{
	struct view *view_of_three = view_of(0, 3);
	struct view *view_of_two = view_of(1, 2);
	struct claims *claimant = create_claims(view_of_three, 1, false, 1000);
	struct claims *replica = create_claims(view_of_two, 2, false, 1000);
	struct claim_request cr = { 1, { 5, 6 }, 77, 0 };
	struct claim_actions vote_requests = { 0 };
	struct claim_actions votes = { 0 };

	begin_claim(claimant, &cr, 1000, &vote_requests);
	deliver(replica, 1, &vote_requests, 1001, &votes);
	ck_assert_uint_eq(votes.nr, 1);
	ck_assert_uint_eq(replicated_key_count(replica), 0);
	release_claim_actions(&vote_requests);
	release_claim_actions(&votes);
	destroy_claims(claimant);
	destroy_claims(replica);
	destroy_view(view_of_three);
	destroy_view(view_of_two);
}
END_TEST

/*
 * The owner of a claim that is still undecided reports it as in progress. If
 * it reported that the claim never ran, a second run could start.
 */
START_TEST(undecided_claim_is_not_reported_as_never_run)
{
	struct view *v = view_of(0, 3);
	struct view *w = view_of(1, 3);
	struct claims *owner = create_claims(v, 1, false, 1000);
	struct claims *other = create_claims(w, 2, false, 1000);
	struct claim_request cr = { 1, { 5, 6 }, 77, 0 };
	struct claim_actions vote_requests = { 0 };
	struct claim_actions fetch = { 0 };
	struct claim_actions replies = { 0 };
	struct claim_actions end = { 0 };
	bool any;

	begin_claim(owner, &cr, 1000, &vote_requests);
	deliver(other, 1, &vote_requests, 1001, &replies);
	release_claim_actions(&replies);
	begin_claim(other, &cr, 1002, &fetch);
	tick_claims(other, 1002 + CLAIM_VOTE_TIMEOUT_MS, &fetch);
	deliver(owner, 0, &fetch, 1500, &replies);
	deliver(other, 1, &replies, 1501, &end);
	ck_assert_int_eq(decided(&end, &any), CLAIM_HELD_IN_PROGRESS);
	ck_assert(any);
	release_claim_actions(&vote_requests);
	release_claim_actions(&fetch);
	release_claim_actions(&replies);
	release_claim_actions(&end);
	destroy_claims(owner);
	destroy_claims(other);
	destroy_view(v);
	destroy_view(w);
}
END_TEST

START_TEST(truncated_messages_are_refused)
{
	struct view *v = view_of(0, 3);
	struct claims *cs = create_claims(v, 1, false, 1000);
	struct claim_request cr = { 1, { 5, 6 }, 77, 0 };
	struct claim_actions as = { 0 };
	struct claim_actions none = { 0 };

	begin_claim(cs, &cr, 1000, &as);
	ck_assert_uint_ge(as.nr, 2);
	for (size_t len = 0; len < as.items[0].len; len++)
		ck_assert(!handle_claim_message(cs, as.items[0].data, len, 1000,
						&none));
	release_claim_actions(&as);
	release_claim_actions(&none);
	destroy_claims(cs);
	destroy_view(v);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("requests");
	TCase *tc = tcase_create("requests");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, every_outcome_has_a_name_and_an_error_code);
	tcase_add_test(tc, cold_slot_is_in_the_quota_of_only_one_instance);
	tcase_add_test(tc, second_member_change_does_not_shorten_quota_delay);
	tcase_add_test(tc, retries_stay_below_a_percentage_of_requests);
	tcase_add_test(tc, queue_orders_by_deadline_and_refuses_late_requests);
	tcase_add_test(tc, only_member_grants_a_key_only_once);
	tcase_add_test(tc, new_instance_of_a_fleet_grants_nothing);
	tcase_add_test(tc, replica_refuses_claim_for_other_replicas);
	tcase_add_test(tc, undecided_claim_is_not_reported_as_never_run);
	tcase_add_test(tc, truncated_messages_are_refused);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
