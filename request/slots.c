#include "request/slots.h"

#define BACKOFF_MIN_MS 5 /* after one shed */
#define BACKOFF_DOUBLINGS_MAX 6
#define QUOTA_BACKOFF_DOUBLINGS_MAX 3	/* after sheds within the quota */
#define SERVICE_BACKOFF_DOUBLINGS_MAX 3 /* of a service's borrowing */
#define LOAD_REPORT_LIFETIME_MS 1000	/* older reports are ignored */
#define LOAD_CHOICES 3 /* upstreams compared by SLOT_LOWEST_REPORTED_LOAD */

/* Nothing is sent before UNTIL_MS; the delay doubles with each failure. */
struct backoff {
	uint64_t until_ms;
	uint32_t consecutive; /* failures, up to the limit of doublings */
};

struct upstream_usage {
	uint64_t upstream;
	uint32_t in_flight; /* sent and not ended */
	/* of uint64_t: when each cancelled request ceases to use a slot */
	GArray *cancelled_until_ms;
	struct backoff send_backoff;
	struct backoff borrowing_backoff;
	uint32_t reported_running;
	uint32_t reported_slots;
	uint64_t reported_at_ms;
	bool has_report;
	uint32_t acquired_since_report;
	uint64_t last_acquired; /* slots.acquired at that time */
};

struct slots {
	const struct view *view;
	GRand *rng;
	enum slot_policy policy;
	struct quotas *quotas;
	GHashTable *usage_by_upstream;	  /* id -> struct upstream_usage */
	GHashTable *borrowing_by_service; /* id -> struct backoff */
	slot_limit_fn limit;
	void *limit_data;
	uint64_t acquired; /* slots acquired so far, to order them */
};

/* The limit by UP's state in the view, without a warm-up ramp. */
static uint32_t limit_by_view_state(const struct service *sv,
				    const struct upstream *up, uint64_t now_ms,
				    void *data)
{
	const struct slots *ss = data;

	(void)sv;
	(void)now_ms;
	switch (upstream_state(ss->view, up)) {
	case UPSTREAM_WARM:
		return up->slots;
	case UPSTREAM_UNKNOWN:
	case UPSTREAM_COLD:
	case UPSTREAM_WARMING:
		return up->cold_slots;
	default:
		return 0;
	}
}

static void free_usage(gpointer item)
{
	struct upstream_usage *u = item;

	g_array_free(u->cancelled_until_ms, TRUE);
	g_free(u);
}

struct slots *create_slots(const struct view *view, GRand *rng,
			   enum slot_policy policy)
{
	struct slots *ss = g_new0(struct slots, 1);

	ss->view = view;
	ss->rng = rng;
	ss->policy = policy;
	ss->quotas = create_quotas(view);
	ss->usage_by_upstream = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_usage);
	ss->borrowing_by_service = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	ss->limit = limit_by_view_state;
	ss->limit_data = ss;
	return ss;
}

void destroy_slots(struct slots *ss)
{
	if (!ss)
		return;
	destroy_quotas(ss->quotas);
	g_hash_table_destroy(ss->usage_by_upstream);
	g_hash_table_destroy(ss->borrowing_by_service);
	g_free(ss);
}

void set_slot_limit(struct slots *ss, slot_limit_fn fn, void *data)
{
	ss->limit = fn;
	ss->limit_data = data;
}

void start_slots_as_only_member(struct slots *ss, uint64_t now_ms)
{
	update_quotas(ss->quotas, now_ms);
	skip_quota_delay(ss->quotas);
}

void update_slots(struct slots *ss, uint64_t now_ms)
{
	update_quotas(ss->quotas, now_ms);
}

static struct upstream_usage *get_or_create_usage(struct slots *ss, uint64_t id)
{
	struct upstream_usage *u =
		g_hash_table_lookup(ss->usage_by_upstream, &id);

	if (u)
		return u;
	u = g_new0(struct upstream_usage, 1);
	u->upstream = id;
	u->cancelled_until_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(ss->usage_by_upstream, &u->upstream, u);
	return u;
}

static void expire_cancelled(struct upstream_usage *u, uint64_t now_ms)
{
	for (guint i = u->cancelled_until_ms->len; i-- > 0;)
		if (g_array_index(u->cancelled_until_ms, uint64_t, i) <= now_ms)
			g_array_remove_index_fast(u->cancelled_until_ms, i);
}

static uint32_t slots_in_use(const struct upstream_usage *u)
{
	return u->in_flight + u->cancelled_until_ms->len;
}

/* True if UP is not warm, or LIMIT, its current limit, is below its slots. */
static bool has_cold_limit(const struct slots *ss, const struct upstream *up,
			   uint32_t limit)
{
	return limit < up->slots ||
	       upstream_state(ss->view, up) != UPSTREAM_WARM;
}

/* This instance's quota of the LIMIT slots of UP. */
static uint32_t quota_of(const struct slots *ss, const struct service *sv,
			 const struct upstream *up, uint32_t limit,
			 uint64_t now_ms)
{
	if (!has_cold_limit(ss, up, limit))
		return upstream_quota_without_delay(ss->quotas, up->id, limit);
	return upstream_quota_after(ss->quotas, up->id, limit,
				    QUOTA_DELAY_MS + sv->deadline_ms, now_ms);
}

/* An upstream that may get the next request. */
struct candidate {
	const struct upstream *up;
	struct upstream_usage *usage;
	uint32_t limit;
};

/* Fills C; false if UP may get no request now. */
static bool init_candidate(struct slots *ss, const struct service *sv,
			   const struct upstream *up, uint64_t now_ms,
			   struct candidate *c)
{
	c->up = up;
	c->limit = ss->limit(sv, up, now_ms, ss->limit_data);
	if (!c->limit)
		return false;
	c->usage = get_or_create_usage(ss, up->id);
	expire_cancelled(c->usage, now_ms);
	return c->usage->send_backoff.until_ms <= now_ms;
}

/* True if A uses less of its limit than B or, on a tie, was used earlier. */
static bool is_less_loaded(const struct candidate *a, const struct candidate *b)
{
	uint64_t x = (uint64_t)slots_in_use(a->usage) * b->limit;
	uint64_t y = (uint64_t)slots_in_use(b->usage) * a->limit;

	if (x != y)
		return x < y;
	return a->usage->last_acquired < b->usage->last_acquired;
}

static bool has_free_quota(const struct slots *ss, const struct service *sv,
			   const struct candidate *c, uint64_t now_ms)
{
	return slots_in_use(c->usage) <
	       quota_of(ss, sv, c->up, c->limit, now_ms);
}

static bool is_reported_full(const struct upstream_usage *u, uint64_t now_ms)
{
	return u->has_report &&
	       now_ms - u->reported_at_ms < LOAD_REPORT_LIFETIME_MS &&
	       u->reported_running >= u->reported_slots;
}

static bool may_borrow(const struct slots *ss, const struct candidate *c,
		       uint64_t now_ms)
{
	return !has_cold_limit(ss, c->up, c->limit) &&
	       slots_in_use(c->usage) < c->limit &&
	       !is_reported_full(c->usage, now_ms);
}

static bool find_within_quota(struct slots *ss, const struct service *sv,
			      uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (init_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    has_free_quota(ss, sv, &c, now_ms) &&
		    (!best->up || is_less_loaded(&c, best)))
			*best = c;
	return best->up != NULL;
}

/* The candidate that was left alone for longest among those to borrow from. */
static bool find_to_borrow(struct slots *ss, const struct service *sv,
			   uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (init_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    may_borrow(ss, &c, now_ms) &&
		    (!best->up || is_less_loaded(&c, best)))
			*best = c;
	return best->up != NULL;
}

static bool has_free_slot(const struct candidate *c)
{
	return slots_in_use(c->usage) < c->limit;
}

static bool find_least_in_flight(struct slots *ss, const struct service *sv,
				 uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (init_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    has_free_slot(&c) &&
		    (!best->up || is_less_loaded(&c, best)))
			*best = c;
	return best->up != NULL;
}

static const struct upstream *random_upstream(struct slots *ss,
					      const struct service *sv)
{
	return &sv->upstreams[g_rand_int_range(ss->rng, 0,
					       (gint32)sv->upstream_nr)];
}

/* Reported load of C plus the slots acquired since the report. */
static uint32_t estimated_load(const struct candidate *c)
{
	if (!c->usage->has_report)
		return slots_in_use(c->usage);
	return c->usage->reported_running + c->usage->acquired_since_report;
}

static bool find_random(struct slots *ss, const struct service *sv,
			uint64_t now_ms, struct candidate *best)
{
	bool by_reported_load = ss->policy == SLOT_LOWEST_REPORTED_LOAD;
	int tries = by_reported_load ? LOAD_CHOICES : 2;
	struct candidate c;

	best->up = NULL;
	for (int i = 0; i < tries; i++) {
		if (!init_candidate(ss, sv, random_upstream(ss, sv), now_ms,
				    &c) ||
		    !has_free_slot(&c))
			continue;
		if (!best->up ||
		    (by_reported_load
			     ? estimated_load(&c) < estimated_load(best)
			     : is_less_loaded(&c, best)))
			*best = c;
	}
	return best->up != NULL;
}

/* The backoff of borrowing for SERVICE, from any upstream. */
static struct backoff *get_or_create_borrowing_backoff(struct slots *ss,
						       uint64_t service)
{
	struct backoff *b =
		g_hash_table_lookup(ss->borrowing_by_service, &service);

	if (b)
		return b;
	b = g_new0(struct backoff, 1);
	g_hash_table_insert(ss->borrowing_by_service,
			    g_memdup2(&service, sizeof(service)), b);
	return b;
}

static bool find_candidate(struct slots *ss, const struct service *sv,
			   uint64_t now_ms, struct candidate *c, bool *borrowed)
{
	*borrowed = false;
	switch (ss->policy) {
	case SLOT_QUOTA_BORROWING:
		if (find_within_quota(ss, sv, now_ms, c))
			return true;
		*borrowed = true;
		return get_or_create_borrowing_backoff(ss, sv->id)->until_ms <=
			       now_ms &&
		       find_to_borrow(ss, sv, now_ms, c);
	case SLOT_QUOTA_ONLY:
		return find_within_quota(ss, sv, now_ms, c);
	case SLOT_LEAST_IN_FLIGHT:
		return find_least_in_flight(ss, sv, now_ms, c);
	case SLOT_TWO_RANDOM:
	case SLOT_LOWEST_REPORTED_LOAD:
		return sv->upstream_nr && find_random(ss, sv, now_ms, c);
	}
	return false;
}

const struct upstream *acquire_slot(struct slots *ss, const struct service *sv,
				    uint64_t now_ms, bool *borrowed)
{
	struct candidate c;

	if (!find_candidate(ss, sv, now_ms, &c, borrowed))
		return NULL;
	c.usage->in_flight++;
	c.usage->acquired_since_report++;
	c.usage->last_acquired = ++ss->acquired;
	return c.up;
}

static void extend_backoff(struct backoff *b, uint32_t doublings_max,
			   uint64_t now_ms)
{
	b->until_ms = now_ms + ((uint64_t)BACKOFF_MIN_MS << b->consecutive);
	if (b->consecutive < doublings_max)
		b->consecutive++;
}

static void handle_shed(struct slots *ss, struct upstream_usage *u,
			const struct acquired_slot *t, uint64_t now_ms)
{
	if (!t->borrowed) {
		extend_backoff(&u->send_backoff, QUOTA_BACKOFF_DOUBLINGS_MAX,
			       now_ms);
		return;
	}
	extend_backoff(&u->borrowing_backoff, BACKOFF_DOUBLINGS_MAX, now_ms);
	extend_backoff(get_or_create_borrowing_backoff(ss, t->service),
		       SERVICE_BACKOFF_DOUBLINGS_MAX, now_ms);
}

static void handle_success(struct slots *ss, struct upstream_usage *u,
			   const struct acquired_slot *t)
{
	u->send_backoff.consecutive = 0;
	if (!t->borrowed)
		return;
	u->borrowing_backoff.consecutive = 0;
	get_or_create_borrowing_backoff(ss, t->service)->consecutive = 0;
}

void release_slot(struct slots *ss, const struct acquired_slot *t,
		  enum slot_result result, uint64_t runs_until_ms,
		  uint64_t now_ms)
{
	struct upstream_usage *u = get_or_create_usage(ss, t->upstream);

	if (u->in_flight)
		u->in_flight--;
	switch (result) {
	case SLOT_DONE:
		handle_success(ss, u, t);
		break;
	case SLOT_SHED:
		handle_shed(ss, u, t, now_ms);
		break;
	case SLOT_FAILED:
		extend_backoff(&u->send_backoff, BACKOFF_DOUBLINGS_MAX, now_ms);
		break;
	case SLOT_CANCELLED:
		if (runs_until_ms > now_ms)
			g_array_append_val(u->cancelled_until_ms,
					   runs_until_ms);
		break;
	}
}

void record_load_report(struct slots *ss, uint64_t upstream, uint32_t running,
			uint32_t slots, uint64_t now_ms)
{
	struct upstream_usage *u = get_or_create_usage(ss, upstream);

	u->reported_running = running;
	u->reported_slots = slots;
	u->reported_at_ms = now_ms;
	u->has_report = true;
	u->acquired_since_report = 0;
}
