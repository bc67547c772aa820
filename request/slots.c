#include "request/slots.h"

#define PAUSE_MIN_MS 5		  /* after one shed */
#define PAUSE_DOUBLINGS_MAX 6	  /* of the pause, by sheds in a row */
#define OWN_DOUBLINGS_MAX 3	  /* the same for slots of the own share */
#define BORROWING_DOUBLINGS_MAX 3 /* the same for all borrowing */
#define REPORT_LIFE_MS 1000 /* a load report older than this says nothing */
#define PROBES 3	    /* upstreams compared by SLOT_PROBE */

/* A time during which something gets nothing, longer with each shed in a row. */
struct pause {
	uint64_t until; /* ms */
	uint32_t sheds; /* in a row */
};

struct slot_record {
	uint64_t id;
	uint32_t in_flight; /* offered and not ended */
	GArray *lingering;  /* uint64_t ms until which a cancelled one counts */
	struct pause own;
	struct pause loans;
	uint32_t reported;
	uint32_t reported_slots;
	uint64_t reported_at;
	bool has_report;
	uint32_t sent_since; /* the report */
	uint64_t last_taken;
};

struct slots {
	const struct view *view;
	GRand *rng;
	enum slot_policy policy;
	struct shares *shares;
	GHashTable *records;   /* upstream id -> struct slot_record */
	GHashTable *borrowing; /* service id -> struct pause */
	slot_limit_fn limit;
	void *limit_data;
	uint64_t taken; /* requests sent so far, to tell the order */
};

/* Limits by the state that the view tells, without a ramp. */
static uint32_t view_limit(const struct service *sv, const struct upstream *up,
			   uint64_t now_ms, void *data)
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

static void free_record(gpointer item)
{
	struct slot_record *r = item;

	g_array_free(r->lingering, TRUE);
	g_free(r);
}

struct slots *create_slots(const struct view *view, GRand *rng,
			   enum slot_policy policy)
{
	struct slots *ss = g_new0(struct slots, 1);

	ss->view = view;
	ss->rng = rng;
	ss->policy = policy;
	ss->shares = create_shares(view);
	ss->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_record);
	ss->borrowing = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	ss->limit = view_limit;
	ss->limit_data = ss;
	return ss;
}

void destroy_slots(struct slots *ss)
{
	if (!ss)
		return;
	destroy_shares(ss->shares);
	g_hash_table_destroy(ss->records);
	g_hash_table_destroy(ss->borrowing);
	g_free(ss);
}

void set_slot_limit(struct slots *ss, slot_limit_fn fn, void *data)
{
	ss->limit = fn;
	ss->limit_data = data;
}

void start_alone(struct slots *ss, uint64_t now_ms)
{
	update_shares(ss->shares, now_ms);
	trust_shares(ss->shares);
}

void update_slots(struct slots *ss, uint64_t now_ms)
{
	update_shares(ss->shares, now_ms);
}

static struct slot_record *get_record(struct slots *ss, uint64_t id)
{
	struct slot_record *r = g_hash_table_lookup(ss->records, &id);

	if (r)
		return r;
	r = g_new0(struct slot_record, 1);
	r->id = id;
	r->lingering = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(ss->records, &r->id, r);
	return r;
}

static void end_lingering(struct slot_record *r, uint64_t now_ms)
{
	for (guint i = r->lingering->len; i-- > 0;)
		if (g_array_index(r->lingering, uint64_t, i) <= now_ms)
			g_array_remove_index_fast(r->lingering, i);
}

static uint32_t in_use(const struct slot_record *r)
{
	return r->in_flight + r->lingering->len;
}

/* An upstream that bears less than when it is warm. */
static bool is_cold(const struct slots *ss, const struct upstream *up,
		    uint32_t limit)
{
	return limit < up->slots ||
	       upstream_state(ss->view, up) != UPSTREAM_WARM;
}

/* Slots of UP, which bears LIMIT, that this instance may use by itself. */
static uint32_t own_slots(const struct slots *ss, const struct service *sv,
			  const struct upstream *up, uint32_t limit,
			  uint64_t now_ms)
{
	if (!is_cold(ss, up, limit))
		return upstream_share_now(ss->shares, up->id, limit);
	return upstream_share_after(ss->shares, up->id, limit,
				    SHARE_REST_MS + sv->deadline_ms, now_ms);
}

/* An upstream that might be chosen. */
struct candidate {
	const struct upstream *up;
	struct slot_record *record;
	uint32_t limit;
};

/* False if UP may get nothing now. */
static bool open_candidate(struct slots *ss, const struct service *sv,
			   const struct upstream *up, uint64_t now_ms,
			   struct candidate *c)
{
	c->up = up;
	c->limit = ss->limit(sv, up, now_ms, ss->limit_data);
	if (!c->limit)
		return false;
	c->record = get_record(ss, up->id);
	end_lingering(c->record, now_ms);
	return c->record->own.until <= now_ms;
}

/* True if A should get the next request rather than B. */
static bool is_emptier(const struct candidate *a, const struct candidate *b)
{
	uint64_t x = (uint64_t)in_use(a->record) * b->limit;
	uint64_t y = (uint64_t)in_use(b->record) * a->limit;

	if (x != y)
		return x < y;
	return a->record->last_taken < b->record->last_taken;
}

static bool may_own(const struct slots *ss, const struct service *sv,
		    const struct candidate *c, uint64_t now_ms)
{
	return in_use(c->record) < own_slots(ss, sv, c->up, c->limit, now_ms);
}

static bool is_reported_full(const struct slot_record *r, uint64_t now_ms)
{
	return r->has_report && now_ms - r->reported_at < REPORT_LIFE_MS &&
	       r->reported >= r->reported_slots;
}

static bool may_borrow(const struct slots *ss, const struct candidate *c,
		       uint64_t now_ms)
{
	return !is_cold(ss, c->up, c->limit) && in_use(c->record) < c->limit &&
	       !is_reported_full(c->record, now_ms);
}

static bool find_own(struct slots *ss, const struct service *sv,
		     uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (open_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    may_own(ss, sv, &c, now_ms) &&
		    (!best->up || is_emptier(&c, best)))
			*best = c;
	return best->up != NULL;
}

/* The candidate that was left alone for longest among those to borrow from. */
static bool find_loan(struct slots *ss, const struct service *sv,
		      uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (open_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    may_borrow(ss, &c, now_ms) &&
		    (!best->up || is_emptier(&c, best)))
			*best = c;
	return best->up != NULL;
}

static bool has_room(const struct candidate *c)
{
	return in_use(c->record) < c->limit;
}

static bool find_least(struct slots *ss, const struct service *sv,
		       uint64_t now_ms, struct candidate *best)
{
	struct candidate c;

	best->up = NULL;
	for (size_t i = 0; i < sv->upstream_nr; i++)
		if (open_candidate(ss, sv, &sv->upstreams[i], now_ms, &c) &&
		    has_room(&c) && (!best->up || is_emptier(&c, best)))
			*best = c;
	return best->up != NULL;
}

static const struct upstream *random_upstream(struct slots *ss,
					      const struct service *sv)
{
	return &sv->upstreams[g_rand_int_range(ss->rng, 0,
					       (gint32)sv->upstream_nr)];
}

/* Load of C as reported, corrected by what was sent since. */
static uint32_t probed_load(const struct candidate *c)
{
	if (!c->record->has_report)
		return in_use(c->record);
	return c->record->reported + c->record->sent_since;
}

static bool find_random(struct slots *ss, const struct service *sv,
			uint64_t now_ms, struct candidate *best)
{
	bool probe = ss->policy == SLOT_PROBE;
	int tries = probe ? PROBES : 2;
	struct candidate c;

	best->up = NULL;
	for (int i = 0; i < tries; i++) {
		if (!open_candidate(ss, sv, random_upstream(ss, sv), now_ms,
				    &c) ||
		    !has_room(&c))
			continue;
		if (!best->up || (probe ? probed_load(&c) < probed_load(best)
					: is_emptier(&c, best)))
			*best = c;
	}
	return best->up != NULL;
}

/* The pause of all borrowing for SERVICE. */
static struct pause *borrowing_pause(struct slots *ss, uint64_t service)
{
	struct pause *p = g_hash_table_lookup(ss->borrowing, &service);

	if (p)
		return p;
	p = g_new0(struct pause, 1);
	g_hash_table_insert(ss->borrowing, g_memdup2(&service, sizeof(service)),
			    p);
	return p;
}

static bool find_candidate(struct slots *ss, const struct service *sv,
			   uint64_t now_ms, struct candidate *c, bool *loan)
{
	*loan = false;
	switch (ss->policy) {
	case SLOT_SHARES:
		if (find_own(ss, sv, now_ms, c))
			return true;
		*loan = true;
		return borrowing_pause(ss, sv->id)->until <= now_ms &&
		       find_loan(ss, sv, now_ms, c);
	case SLOT_OWN_ONLY:
		return find_own(ss, sv, now_ms, c);
	case SLOT_LEAST:
		return find_least(ss, sv, now_ms, c);
	case SLOT_TWO_RANDOM:
	case SLOT_PROBE:
		return sv->upstream_nr && find_random(ss, sv, now_ms, c);
	}
	return false;
}

const struct upstream *take_slot(struct slots *ss, const struct service *sv,
				 uint64_t now_ms, bool *loan)
{
	struct candidate c;

	if (!find_candidate(ss, sv, now_ms, &c, loan))
		return NULL;
	c.record->in_flight++;
	c.record->sent_since++;
	c.record->last_taken = ++ss->taken;
	return c.up;
}

static void lengthen_pause(struct pause *p, uint32_t doublings_max,
			   uint64_t now_ms)
{
	p->until = now_ms + ((uint64_t)PAUSE_MIN_MS << p->sheds);
	if (p->sheds < doublings_max)
		p->sheds++;
}

static void take_shed(struct slots *ss, struct slot_record *r,
		      const struct taken_slot *t, uint64_t now_ms)
{
	if (!t->loan) {
		lengthen_pause(&r->own, OWN_DOUBLINGS_MAX, now_ms);
		return;
	}
	lengthen_pause(&r->loans, PAUSE_DOUBLINGS_MAX, now_ms);
	lengthen_pause(borrowing_pause(ss, t->service), BORROWING_DOUBLINGS_MAX,
		       now_ms);
}

static void take_success(struct slots *ss, struct slot_record *r,
			 const struct taken_slot *t)
{
	r->own.sheds = 0;
	if (!t->loan)
		return;
	r->loans.sheds = 0;
	borrowing_pause(ss, t->service)->sheds = 0;
}

void give_slot_back(struct slots *ss, const struct taken_slot *t,
		    enum slot_end end, uint64_t runs_until_ms, uint64_t now_ms)
{
	struct slot_record *r = get_record(ss, t->upstream);

	if (r->in_flight)
		r->in_flight--;
	switch (end) {
	case SLOT_DONE:
		take_success(ss, r, t);
		break;
	case SLOT_SHED:
		take_shed(ss, r, t, now_ms);
		break;
	case SLOT_FAILED:
		lengthen_pause(&r->own, PAUSE_DOUBLINGS_MAX, now_ms);
		break;
	case SLOT_CANCELLED:
		if (runs_until_ms > now_ms)
			g_array_append_val(r->lingering, runs_until_ms);
		break;
	}
}

void note_load(struct slots *ss, uint64_t upstream, uint32_t running,
	       uint32_t slots, uint64_t now_ms)
{
	struct slot_record *r = get_record(ss, upstream);

	r->reported = running;
	r->reported_slots = slots;
	r->reported_at = now_ms;
	r->has_report = true;
	r->sent_since = 0;
}
