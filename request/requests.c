#include "request/requests.h"

#include <glib.h>
#include <string.h>

#include "request/budget.h"
#include "request/queue.h"

#define UNKNOWN_RETRY_MS 2000 /* when to ask again about an outcome */

enum request_state {
	REQUEST_CLAIMING, /* waits for its key; nothing sent */
	REQUEST_QUEUED,	  /* waits for a slot; nothing sent */
	REQUEST_OFFERED,  /* some byte may have been sent */
	REQUEST_REPLAYING /* waits for its body, to compare it with the first */
};

struct request {
	handle_t handle;
	uint64_t service;
	enum request_state state;
	uint64_t upstream; /* offered to */
	bool loan;	   /* in a slot that was borrowed */
	uint64_t deadline; /* ms */
	uint64_t offered;  /* ms, of the present offer */
	unsigned int offers;
	bool idempotent;
	bool has_key;
	bool fresh;	   /* only on a connection not used before */
	bool may_have_run; /* in an earlier offer */
	bool begun;	   /* its answer is being relayed */
	bool caller_gone;
	bool body_read;
	uint64_t age_ms;
	uint64_t body_digest;
	uint64_t first_digest; /* of the body of the send that ran */
	void *kept;	       /* the answer that it got */
	size_t kept_len;
};

/* What is kept for each service. */
struct service_load {
	uint64_t id;
	struct queue *queue;
	struct retry_budget budget;
};

struct requests {
	const struct view *view;
	struct counters *counters;
	struct snapshot *snapshot;
	struct handles *open; /* of struct request */
	GHashTable *all;      /* the same, as a set */
	GHashTable *timed;    /* those that wait, but not in a queue */
	GHashTable *loads;    /* service id -> struct service_load */
	struct slots *slots;
	struct claims *claims;
	GRand *rng;
	offer_end_fn observe;
	void *observe_data;
};

static void free_load(gpointer item)
{
	struct service_load *l = item;

	destroy_queue(l->queue);
	g_free(l);
}

struct requests *create_requests(const struct view *view,
				 struct counters *counters,
				 const struct request_options *options,
				 uint64_t now_ms)
{
	struct requests *rs = g_new0(struct requests, 1);

	rs->view = view;
	rs->counters = counters;
	rs->open = create_handles();
	rs->all = g_hash_table_new(NULL, NULL);
	rs->timed = g_hash_table_new(NULL, NULL);
	rs->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  free_load);
	rs->rng = g_rand_new_with_seed(options->seed);
	rs->slots = create_slots(view, rs->rng, options->policy);
	rs->claims = create_claims(view, options->incarnation, options->alone,
				   now_ms);
	if (options->alone)
		start_alone(rs->slots, now_ms);
	else
		update_slots(rs->slots, now_ms);
	return rs;
}

static void free_request(struct requests *rs, struct request *rq)
{
	remove_handle(rs->open, rq->handle);
	g_hash_table_remove(rs->timed, rq);
	g_hash_table_remove(rs->all, rq);
	g_free(rq->kept);
	g_free(rq);
}

static void free_open(struct requests *rs)
{
	GList *all = g_hash_table_get_keys(rs->all);

	for (GList *l = all; l; l = l->next)
		free_request(rs, l->data);
	g_list_free(all);
}

void destroy_requests(struct requests *rs)
{
	if (!rs)
		return;
	free_open(rs);
	unref_snapshot(rs->snapshot);
	destroy_handles(rs->open);
	g_hash_table_destroy(rs->timed);
	g_hash_table_destroy(rs->all);
	g_hash_table_destroy(rs->loads);
	destroy_slots(rs->slots);
	destroy_claims(rs->claims);
	g_rand_free(rs->rng);
	g_free(rs);
}

void set_request_limit(struct requests *rs, slot_limit_fn fn, void *data)
{
	set_slot_limit(rs->slots, fn, data);
}

void set_offer_observer(struct requests *rs, offer_end_fn fn, void *data)
{
	rs->observe = fn;
	rs->observe_data = data;
}

size_t open_request_nr(const struct requests *rs)
{
	return handle_count(rs->open);
}

uint32_t upstream_in_flight(const struct requests *rs, uint64_t upstream)
{
	return slots_in_use(rs->slots, upstream);
}

void release_request_actions(struct request_actions *as)
{
	for (size_t i = 0; i < as->nr; i++)
		g_free(as->at[i].data);
	g_free(as->at);
	memset(as, 0, sizeof(*as));
}

static struct request_action *add_action(struct request_actions *as,
					 enum request_action_kind kind,
					 handle_t h)
{
	struct request_action *a;

	if (as->nr == as->alloc) {
		as->alloc = as->alloc ? 2 * as->alloc : 8;
		as->at = g_renew(struct request_action, as->at, as->alloc);
	}
	a = &as->at[as->nr++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->request = h;
	return a;
}

static const struct service *service_of(const struct requests *rs,
					const struct request *rq)
{
	return rs->snapshot ? find_service(rs->snapshot, rq->service) : NULL;
}

static struct service_load *get_load(struct requests *rs, uint64_t service)
{
	struct service_load *l = g_hash_table_lookup(rs->loads, &service);

	if (l)
		return l;
	l = g_new0(struct service_load, 1);
	l->id = service;
	l->queue = create_queue(rs->rng);
	init_retry_budget(&l->budget);
	g_hash_table_insert(rs->loads, &l->id, l);
	return l;
}

static void take_claim_actions(struct requests *rs, struct claim_actions *as,
			       uint64_t now_ms, struct request_actions *out);

/* The claim of RQ will not be used: nothing of it ran. */
static void give_claim_up(struct requests *rs, const struct request *rq,
			  uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	drop_claim(rs->claims, rq->handle, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
}

/* The claim of RQ ended in STATE, with the answer in EV if there is one. */
static void settle_claim(struct requests *rs, const struct request *rq,
			 enum key_state state, const struct request_event *ev,
			 uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!rq->has_key)
		return;
	end_claim(rs->claims, rq->handle, state, rq->body_digest,
		  ev ? ev->data : NULL, ev ? ev->len : 0, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
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

/* Ends RQ with OUTCOME. Its slot and its claim are settled already. */
static void refuse(struct requests *rs, struct request *rq,
		   enum outcome outcome, uint64_t now_ms,
		   struct request_actions *out)
{
	struct service_load *l = get_load(rs, rq->service);
	struct request_action *a = add_action(out, REQUEST_REFUSE, rq->handle);

	a->outcome = outcome;
	a->ends = true;
	if (outcome == OUTCOME_NOT_RUN)
		a->retry_after_ms = retry_after_ms(l->queue, now_ms);
	else if (outcome == OUTCOME_UNKNOWN || outcome == OUTCOME_IN_PROGRESS)
		a->retry_after_ms =
			UNKNOWN_RETRY_MS / 2 +
			g_rand_int_range(rs->rng, 0, UNKNOWN_RETRY_MS);
	count(rs->counters, outcome_counter(outcome));
	free_request(rs, rq);
}

/* Ends RQ, which is not offered now. */
static void refuse_unsent(struct requests *rs, struct request *rq,
			  uint64_t now_ms, struct request_actions *out)
{
	give_claim_up(rs, rq, now_ms, out);
	refuse(rs, rq, rq->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
	       now_ms, out);
}

/* Ends RQ, which may have run. */
static void refuse_unknown(struct requests *rs, struct request *rq,
			   uint64_t now_ms, struct request_actions *out)
{
	settle_claim(rs, rq, KEY_UNKNOWN, NULL, now_ms, out);
	refuse(rs, rq, OUTCOME_UNKNOWN, now_ms, out);
}

static void offer(struct requests *rs, struct request *rq,
		  const struct upstream *up, uint64_t now_ms,
		  struct request_actions *out)
{
	struct request_action *a = add_action(out, REQUEST_OFFER, rq->handle);
	uint64_t left = rq->deadline - now_ms;

	if (rq->offers++)
		count(rs->counters, COUNT_REQUEST_RETRIED);
	else
		earn_retry(&get_load(rs, rq->service)->budget);
	rq->state = REQUEST_OFFERED;
	rq->upstream = up->id;
	rq->offered = now_ms;
	g_hash_table_add(rs->timed, rq);
	a->upstream = up->id;
	a->address = up->address;
	a->fresh = rq->fresh || !rq->idempotent;
	a->timeout_ms = (uint32_t)(left > HOP_MS ? left - HOP_MS : 1);
}

static bool is_hopeless(const struct queue *q, const struct request *rq,
			uint64_t now_ms)
{
	return now_ms + long_run_ms(q) + HOP_MS >= rq->deadline;
}

/* Offers what the queue of L holds, as long as there are slots for it. */
static void pump_queue(struct requests *rs, struct service_load *l,
		       uint64_t now_ms, struct request_actions *out)
{
	const struct service *sv =
		rs->snapshot ? find_service(rs->snapshot, l->id) : NULL;
	handle_t h;

	while ((h = first_in_queue(l->queue, NULL))) {
		struct request *rq = find_handle(rs->open, h);
		const struct upstream *up;

		if (!sv || is_hopeless(l->queue, rq, now_ms)) {
			leave_queue(l->queue, h, false, now_ms);
			refuse_unsent(rs, rq, now_ms, out);
			continue;
		}
		up = take_slot(rs->slots, sv, now_ms, &rq->loan);
		if (!up)
			break;
		leave_queue(l->queue, h, true, now_ms);
		offer(rs, rq, up, now_ms, out);
	}
}

/* Offers RQ at once if a slot is free and nobody waits; queues it else. */
static void enter(struct requests *rs, struct request *rq, bool again,
		  uint64_t now_ms, struct request_actions *out)
{
	struct service_load *l = get_load(rs, rq->service);
	const struct service *sv = service_of(rs, rq);
	const struct upstream *up = NULL;

	rq->state = REQUEST_QUEUED;
	g_hash_table_remove(rs->timed, rq);
	if (!sv || rq->offers >= OFFERS_MAX || now_ms >= rq->deadline ||
	    (!again && !may_enter_queue(l->queue, rq->deadline, now_ms))) {
		refuse_unsent(rs, rq, now_ms, out);
		return;
	}
	if (!queue_length(l->queue))
		up = take_slot(rs->slots, sv, now_ms, &rq->loan);
	if (up)
		offer(rs, rq, up, now_ms, out);
	else
		push_queue(l->queue, rq->handle, rq->deadline, now_ms);
}

/* The key of RQ is held, or nothing can be learnt of it. */
static void refuse_claim(struct requests *rs, struct request *rq,
			 enum claim_end end, uint64_t now_ms,
			 struct request_actions *out)
{
	switch (end) {
	case CLAIM_HELD_OPEN:
		refuse(rs, rq, OUTCOME_IN_PROGRESS, now_ms, out);
		break;
	case CLAIM_HELD_DONE:
		refuse(rs, rq, OUTCOME_DONE, now_ms, out);
		break;
	case CLAIM_KEY_REUSED:
		refuse(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		break;
	case CLAIM_FAILED:
		if (!rq->age_ms) {
			refuse(rs, rq, OUTCOME_NOT_RUN, now_ms, out);
			break;
		}
		/* fall through */
	default:
		refuse(rs, rq, OUTCOME_UNKNOWN, now_ms, out);
		break;
	}
}

/* Gives RQ the first send's answer, once its body is known to be the same. */
static void try_replay(struct requests *rs, struct request *rq, uint64_t now_ms,
		       struct request_actions *out)
{
	struct request_action *a;

	if (!rq->body_read)
		return;
	if (rq->body_digest != rq->first_digest) {
		refuse(rs, rq, OUTCOME_KEY_REUSED, now_ms, out);
		return;
	}
	a = add_action(out, REQUEST_REPLAY, rq->handle);
	a->ends = true;
	a->data = g_steal_pointer(&rq->kept);
	a->len = rq->kept_len;
	count(rs->counters, COUNT_REQUEST_REPLAYED);
	free_request(rs, rq);
}

static void start_replay(struct requests *rs, struct request *rq,
			 struct claim_action *ca, uint64_t now_ms,
			 struct request_actions *out)
{
	rq->state = REQUEST_REPLAYING;
	rq->kept = g_steal_pointer(&ca->data);
	rq->kept_len = ca->len;
	rq->first_digest = ca->body_digest;
	if (!rq->body_read)
		add_action(out, REQUEST_READ_ON, rq->handle);
	g_hash_table_add(rs->timed, rq);
	try_replay(rs, rq, now_ms, out);
}

static void take_claim_end(struct requests *rs, struct claim_action *ca,
			   uint64_t now_ms, struct request_actions *out)
{
	struct request *rq = find_handle(rs->open, ca->request);

	if (!rq)
		return;
	if (ca->end == CLAIM_WON)
		enter(rs, rq, false, now_ms, out);
	else if (ca->end == CLAIM_HELD_DONE && ca->data)
		start_replay(rs, rq, ca, now_ms, out);
	else
		refuse_claim(rs, rq, ca->end, now_ms, out);
}

/* Carries out what the claims ask for, and releases AS. */
static void take_claim_actions(struct requests *rs, struct claim_actions *as,
			       uint64_t now_ms, struct request_actions *out)
{
	for (size_t i = 0; i < as->nr; i++) {
		struct claim_action *ca = &as->at[i];
		struct request_action *a;

		if (ca->kind == CLAIM_DECIDED) {
			take_claim_end(rs, ca, now_ms, out);
			continue;
		}
		a = add_action(out, REQUEST_SEND_PEER, 0);
		a->address = ca->to;
		a->data = g_steal_pointer(&ca->data);
		a->len = ca->len;
		count(rs->counters, COUNT_REQUEST_KEY_SENT);
		count_n(rs->counters, COUNT_REQUEST_KEY_SENT_BYTES, a->len);
	}
	release_claim_actions(as);
}

static struct request *create_request(struct requests *rs,
				      const struct request_event *ev,
				      uint64_t now_ms)
{
	struct request *rq = g_new0(struct request, 1);
	uint32_t deadline_ms = ev->deadline_ms;
	const struct service *sv;

	rq->service = ev->service;
	rq->idempotent = ev->idempotent;
	rq->has_key = ev->has_key && !ev->idempotent;
	rq->age_ms = ev->age_ms;
	sv = service_of(rs, rq);
	if (sv && (!deadline_ms || deadline_ms > sv->deadline_ms))
		deadline_ms = sv->deadline_ms;
	rq->deadline = now_ms + deadline_ms;
	rq->handle = add_handle(rs->open, rq);
	g_hash_table_add(rs->all, rq);
	return rq;
}

static void claim_key(struct requests *rs, struct request *rq,
		      const struct request_event *ev, uint64_t now_ms,
		      struct request_actions *out)
{
	struct claim_request cr = { rq->handle, ev->key, ev->digest,
				    ev->age_ms };
	struct claim_actions as = { 0 };

	rq->state = REQUEST_CLAIMING;
	g_hash_table_add(rs->timed, rq);
	begin_claim(rs->claims, &cr, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
}

static handle_t arrive(struct requests *rs, const struct request_event *ev,
		       uint64_t now_ms, struct request_actions *out)
{
	struct service_load *l = get_load(rs, ev->service);
	struct request *rq;
	handle_t h;

	if (handle_count(rs->open) >= REQUESTS_OPEN_MAX)
		return 0;
	rq = create_request(rs, ev, now_ms);
	h = rq->handle;
	count(rs->counters, COUNT_REQUEST_ACCEPTED);
	if (!rq->has_key)
		enter(rs, rq, false, now_ms, out);
	else if (!rq->age_ms &&
		 !may_enter_queue(l->queue, rq->deadline, now_ms))
		refuse(rs, rq, OUTCOME_NOT_RUN, now_ms, out);
	else
		claim_key(rs, rq, ev, now_ms, out);
	return h;
}

static void observe(struct requests *rs, const struct request *rq,
		    enum request_event_kind how, uint64_t now_ms)
{
	if (rs->observe)
		rs->observe(rq->service, rq->upstream, how,
			    now_ms - rq->offered, now_ms, rs->observe_data);
}

/* Gives the slot of RQ's present offer back. */
static void end_offer(struct requests *rs, struct request *rq,
		      enum slot_end end, uint64_t now_ms)
{
	struct taken_slot t = { rq->service, rq->upstream, rq->loan };
	uint64_t until =
		MIN(rq->deadline + CANCEL_SLACK_MS, now_ms + CANCEL_SEEN_MS);

	give_slot_back(rs->slots, &t, end, until, now_ms);
	g_hash_table_remove(rs->timed, rq);
	if (end == SLOT_DONE)
		note_run_time(get_load(rs, rq->service)->queue,
			      now_ms - rq->offered);
}

static void take_answer(struct requests *rs, struct request *rq,
			const struct request_event *ev, uint64_t now_ms,
			struct request_actions *out)
{
	struct request_action *a;

	observe(rs, rq, REQUEST_ANSWERED, now_ms);
	end_offer(rs, rq, SLOT_DONE, now_ms);
	settle_claim(rs, rq, KEY_DONE, ev, now_ms, out);
	count(rs->counters, COUNT_REQUEST_ANSWERED);
	a = add_action(out, rq->caller_gone ? REQUEST_CANCEL : REQUEST_RELAY,
		       rq->handle);
	a->ends = true;
	free_request(rs, rq);
}

static void begin_answer(struct request *rq, struct request_actions *out)
{
	if (rq->begun)
		return;
	rq->begun = true;
	if (!rq->caller_gone)
		add_action(out, REQUEST_RELAY, rq->handle);
}

static void cut_answer(struct requests *rs, struct request *rq, uint64_t now_ms,
		       struct request_actions *out)
{
	settle_claim(rs, rq, KEY_DONE, NULL, now_ms, out);
	add_action(out, REQUEST_CUT, rq->handle)->ends = true;
	count(rs->counters, COUNT_REQUEST_CUT);
	free_request(rs, rq);
}

static void take_shed(struct requests *rs, struct request *rq,
		      const struct request_event *ev, uint64_t now_ms,
		      struct request_actions *out)
{
	bool sent = ev->kind == REQUEST_SHED;

	observe(rs, rq, ev->kind, now_ms);
	end_offer(rs, rq, sent ? SLOT_SHED : SLOT_FAILED, now_ms);
	count(rs->counters, sent ? COUNT_REQUEST_SHED : COUNT_REQUEST_NOT_SENT);
	if (ev->repeatable && !rq->caller_gone)
		enter(rs, rq, true, now_ms, out);
	else
		refuse_unsent(rs, rq, now_ms, out);
}

static void take_loss(struct requests *rs, struct request *rq,
		      const struct request_event *ev, uint64_t now_ms,
		      struct request_actions *out)
{
	struct service_load *l = get_load(rs, rq->service);

	if (!ev->reused)
		observe(rs, rq, REQUEST_LOST, now_ms);
	end_offer(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	count(rs->counters, COUNT_REQUEST_LOST);
	if (rq->begun)
		cut_answer(rs, rq, now_ms, out);
	else if (rq->idempotent && ev->repeatable && !rq->caller_gone &&
		 rq->offers < OFFERS_MAX && now_ms < rq->deadline &&
		 spend_retry(&l->budget))
		enter(rs, rq, true, now_ms, out);
	else
		refuse_unknown(rs, rq, now_ms, out);
}

/* Tries a fresh connection if the budget has a retry; waits on otherwise. */
static void take_silence(struct requests *rs, struct request *rq,
			 const struct request_event *ev, uint64_t now_ms,
			 struct request_actions *out)
{
	struct service_load *l = get_load(rs, rq->service);

	if (!rq->idempotent || !ev->repeatable || rq->begun || rq->fresh ||
	    !spend_retry(&l->budget))
		return;
	count(rs->counters, COUNT_REQUEST_SILENT);
	end_offer(rs, rq, SLOT_CANCELLED, now_ms);
	rq->may_have_run = true;
	rq->fresh = true;
	enter(rs, rq, true, now_ms, out);
}

static void take_caller_left(struct requests *rs, struct request *rq,
			     uint64_t now_ms, struct request_actions *out)
{
	struct service_load *l = get_load(rs, rq->service);

	if (rq->state == REQUEST_OFFERED && rq->has_key && rq->body_read) {
		rq->caller_gone = true;
		return;
	}
	if (rq->state == REQUEST_OFFERED) {
		end_offer(rs, rq, SLOT_CANCELLED, now_ms);
		settle_claim(rs, rq, KEY_UNKNOWN, NULL, now_ms, out);
	} else {
		leave_queue(l->queue, rq->handle, false, now_ms);
		give_claim_up(rs, rq, now_ms, out);
	}
	count(rs->counters, COUNT_REQUEST_CALLER_LEFT);
	add_action(out, REQUEST_CANCEL, rq->handle)->ends = true;
	free_request(rs, rq);
}

static void take_body_read(struct requests *rs, struct request *rq,
			   const struct request_event *ev, uint64_t now_ms,
			   struct request_actions *out)
{
	rq->body_read = true;
	rq->body_digest = ev->body_digest;
	if (rq->state == REQUEST_REPLAYING)
		try_replay(rs, rq, now_ms, out);
}

static void step_offered(struct requests *rs, struct request *rq,
			 const struct request_event *ev, uint64_t now_ms,
			 struct request_actions *out)
{
	switch (ev->kind) {
	case REQUEST_ANSWERED:
	case REQUEST_ENDED:
		take_answer(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_BEGUN:
		begin_answer(rq, out);
		break;
	case REQUEST_SHED:
	case REQUEST_NOT_SENT:
		take_shed(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_LOST:
		take_loss(rs, rq, ev, now_ms, out);
		break;
	case REQUEST_SILENT:
		take_silence(rs, rq, ev, now_ms, out);
		break;
	default:
		break;
	}
}

static void step_request(struct requests *rs, const struct request_event *ev,
			 uint64_t now_ms, struct request_actions *out)
{
	struct request *rq = find_handle(rs->open, ev->request);
	struct service_load *l;

	if (!rq) {
		count(rs->counters, COUNT_REQUEST_LATE);
		return;
	}
	l = get_load(rs, rq->service);
	if (ev->kind == REQUEST_CALLER_LEFT)
		take_caller_left(rs, rq, now_ms, out);
	else if (ev->kind == REQUEST_BODY_READ)
		take_body_read(rs, rq, ev, now_ms, out);
	else if (rq->state == REQUEST_OFFERED)
		step_offered(rs, rq, ev, now_ms, out);
	else
		count(rs->counters, COUNT_REQUEST_LATE);
	pump_queue(rs, l, now_ms, out);
}

/* Ends what is past its deadline. */
static void end_late(struct requests *rs, struct request *rq, uint64_t now_ms,
		     struct request_actions *out)
{
	if (rq->state == REQUEST_REPLAYING) {
		refuse(rs, rq, OUTCOME_DONE, now_ms, out);
		return;
	}
	if (rq->state == REQUEST_CLAIMING) {
		give_claim_up(rs, rq, now_ms, out);
		refuse_claim(rs, rq, CLAIM_FAILED, now_ms, out);
		return;
	}
	observe(rs, rq, REQUEST_LOST, now_ms);
	end_offer(rs, rq, SLOT_CANCELLED, now_ms);
	if (rq->begun)
		cut_answer(rs, rq, now_ms, out);
	else
		refuse_unknown(rs, rq, now_ms, out);
}

static void check_deadlines(struct requests *rs, uint64_t now_ms,
			    struct request_actions *out)
{
	GList *timed = g_hash_table_get_keys(rs->timed);

	for (GList *l = timed; l; l = l->next) {
		struct request *rq = l->data;

		if (rq->deadline <= now_ms)
			end_late(rs, rq, now_ms, out);
	}
	g_list_free(timed);
}

static void pump_all(struct requests *rs, uint64_t now_ms,
		     struct request_actions *out)
{
	GHashTableIter it;
	gpointer l;

	g_hash_table_iter_init(&it, rs->loads);
	while (g_hash_table_iter_next(&it, NULL, &l))
		pump_queue(rs, l, now_ms, out);
}

static void tick(struct requests *rs, uint64_t now_ms,
		 struct request_actions *out)
{
	struct claim_actions as = { 0 };

	update_slots(rs->slots, now_ms);
	tick_claims(rs->claims, now_ms, &as);
	take_claim_actions(rs, &as, now_ms, out);
	check_deadlines(rs, now_ms, out);
	pump_all(rs, now_ms, out);
}

static void take_peer(struct requests *rs, const struct request_event *ev,
		      uint64_t now_ms, struct request_actions *out)
{
	struct claim_actions as = { 0 };

	if (!take_claim_message(rs->claims, ev->data, ev->len, now_ms, &as))
		count(rs->counters, COUNT_PEER_MALFORMED);
	take_claim_actions(rs, &as, now_ms, out);
}

void set_request_snapshot(struct requests *rs, const struct snapshot *sn,
			  uint64_t now_ms)
{
	unref_snapshot(rs->snapshot);
	rs->snapshot = ref_snapshot(sn);
	update_slots(rs->slots, now_ms);
}

handle_t step_requests(struct requests *rs, const struct request_event *ev,
		       uint64_t now_ms, struct request_actions *out)
{
	switch (ev->kind) {
	case REQUEST_ARRIVED:
		return arrive(rs, ev, now_ms, out);
	case REQUEST_TICK:
		tick(rs, now_ms, out);
		break;
	case REQUEST_PEER:
		take_peer(rs, ev, now_ms, out);
		break;
	case REQUEST_LOAD:
		note_load(rs->slots, ev->upstream, ev->running, ev->slots,
			  now_ms);
		break;
	case REQUEST_LEAVE:
		leave_claims(rs->claims, now_ms);
		break;
	default:
		step_request(rs, ev, now_ms, out);
		break;
	}
	return 0;
}

uint64_t next_request_tick(const struct requests *rs)
{
	GHashTableIter it;
	gpointer item;

	if (undecided_claim_nr(rs->claims))
		return REQUEST_TICK_BUSY_MS;
	g_hash_table_iter_init(&it, rs->loads);
	while (g_hash_table_iter_next(&it, NULL, &item))
		if (queue_length(((struct service_load *)item)->queue))
			return REQUEST_TICK_BUSY_MS;
	return g_hash_table_size(rs->timed) ? 2 * REQUEST_TICK_BUSY_MS
					    : REQUEST_TICK_IDLE_MS;
}
