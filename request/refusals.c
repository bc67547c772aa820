/* Refuses requests; also has the functions that other request/ files share. */

#include "request/internal.h"

#include <glib.h>

#define UNKNOWN_RETRY_AFTER_MS                                                 \
	2000 /* mean delay of a resend that queries the outcome */

struct request_action *add_request_action(struct request_actions *as,
					  enum request_action_kind kind,
					  handle_t h)
{
	struct request_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->items =
			g_renew(struct request_action, as->items, as->alloc);
	}
	a = &as->items[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->request = h;
	return a;
}

const struct service *service_of_request(const struct requests *rs,
					 const struct request *rq)
{
	return rs->snapshot ? find_service(rs->snapshot, rq->service) : NULL;
}

struct service_admission *get_or_create_admission(struct requests *rs,
						  uint64_t service)
{
	struct service_admission *sa =
		g_hash_table_lookup(rs->admissions, &service);

	if (sa)
		return sa;
	sa = g_new0(struct service_admission, 1);
	sa->service = service;
	sa->queue = create_queue(rs->rng);
	init_retry_budget(&sa->budget);
	g_hash_table_insert(rs->admissions, &sa->service, sa);
	return sa;
}

void free_request(struct requests *rs, struct request *rq)
{
	remove_handle(rs->by_handle, rq->handle);
	g_hash_table_remove(rs->unqueued, rq);
	g_hash_table_remove(rs->all, rq);
	g_free(rq->stored_answer);
	g_free(rq);
}

static enum counter outcome_counter(enum outcome o)
{
	switch (o) {
	case OUTCOME_NOT_RUN:
		return COUNT_REQUEST_NOT_RUN;
	case OUTCOME_IN_PROGRESS:
		return COUNT_REQUEST_IN_PROGRESS;
	case OUTCOME_DONE:
		return COUNT_REQUEST_DONE;
	case OUTCOME_KEY_REUSED:
		return COUNT_REQUEST_KEY_REUSED;
	default:
		return COUNT_REQUEST_UNKNOWN;
	}
}

void refuse_request(struct requests *rs, struct request *rq,
		    enum outcome outcome, uint64_t now_ms,
		    struct request_actions *out)
{
	struct service_admission *sa = get_or_create_admission(rs, rq->service);
	struct request_action *a =
		add_request_action(out, REQUEST_REFUSE, rq->handle);

	a->outcome = outcome;
	a->is_final = true;
	if (outcome == OUTCOME_NOT_RUN)
		a->retry_after_ms = retry_after_ms(sa->queue, now_ms);
	else if (outcome == OUTCOME_UNKNOWN || outcome == OUTCOME_IN_PROGRESS)
		a->retry_after_ms =
			UNKNOWN_RETRY_AFTER_MS / 2 +
			g_rand_int_range(rs->rng, 0, UNKNOWN_RETRY_AFTER_MS);
	count(rs->counters, outcome_counter(outcome));
	free_request(rs, rq);
}

void refuse_idle_request(struct requests *rs, struct request *rq,
			 uint64_t now_ms, struct request_actions *out)
{
	abandon_request_claim(rs, rq, now_ms, out);
	refuse_request(rs, rq,
		       rq->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		       now_ms, out);
}

void refuse_with_unknown_outcome(struct requests *rs, struct request *rq,
				 uint64_t now_ms, struct request_actions *out)
{
	finish_request_claim(rs, rq, KEY_UNKNOWN, NULL, now_ms, out);
	refuse_request(rs, rq, OUTCOME_UNKNOWN, now_ms, out);
}
