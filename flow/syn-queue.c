#include "flow/syn-queue.h"

#include <string.h>

#define RATE_BUCKETS 5
#define RATE_BUCKET_MS (SYN_RATE_SPAN_MS / RATE_BUCKETS)

/* What happened within RATE_BUCKET_MS. */
struct rate_bucket {
	uint32_t placed;  /* SYNs of the lowest priority */
	uint32_t arrived; /* the same */
	uint32_t urgent;  /* arrived SYNs of higher priorities */
	uint32_t crowded; /* of those that arrived, those that had to wait */
};

/* When SYNs of one priority were placed and refused last; 0: never. */
struct priority_times {
	uint32_t priority;
	uint64_t placed_ms;
	uint64_t refused_ms;
};

/* Waiting SYNs and recent events of one service. */
struct service_queue {
	/* of struct queued_syn: lowest priority first, then oldest first */
	GQueue waiting;
	GArray *times; /* of struct priority_times, one for each priority */
	uint32_t limited_nr; /* of these, limited by the rate */
	uint64_t bucket_nr;  /* number of the newest bucket, since time 0 */
	struct rate_bucket buckets[RATE_BUCKETS];
};

struct queued_syn {
	struct waiting_syn syn; /* first: handles point to it */
	GList link;
};

struct syn_queue {
	GPtrArray *services; /* of struct service_queue, by index */
	size_t waiting_nr;
};

enum syn_verdict decide_syn(const struct placement *best,
			    bool is_lowest_priority, bool just_started)
{
	switch (best->reason) {
	case PLACE_ALL_COLD: /* the quotas are renewed within a second */
	case PLACE_FULL:
		return SYN_WAIT;
	case PLACE_CROWDED:
		return is_lowest_priority && !just_started ? SYN_WAIT
							   : SYN_PLACE;
	default:
		return best->upstream == CATALOG_NONE ? SYN_REFUSE : SYN_PLACE;
	}
}

enum syn_verdict decide_overdue_syn(const struct placement *best,
				    bool just_started)
{
	if (best->upstream == CATALOG_NONE)
		return SYN_REFUSE;
	return best->reason == PLACE_FULL && !just_started ? SYN_REFUSE
							   : SYN_PLACE;
}

struct syn_limits get_syn_limits(uint32_t target_ms, uint32_t syn_copy,
				 bool just_started)
{
	static const uint32_t sent_before_ms[] = { 0, 200, 600 };
	uint32_t sent_ms =
		sent_before_ms[MIN(syn_copy, G_N_ELEMENTS(sent_before_ms) - 1)];
	uint32_t wait_ms = SYN_WAIT_MAX_MS;

	if (target_ms && !just_started)
		wait_ms = MIN(wait_ms, (uint32_t)(SYN_WAIT_SHARE * target_ms));
	return (struct syn_limits){ .wait_ms = wait_ms > sent_ms
						       ? wait_ms - sent_ms
						       : 0,
				    .abandon_ms = SYN_ABANDON_MS - sent_ms };
}

static struct service_queue *create_service_queue(void)
{
	struct service_queue *sq = g_new0(struct service_queue, 1);

	sq->times = g_array_new(FALSE, TRUE, sizeof(struct priority_times));
	return sq;
}

static void destroy_service_queue(gpointer data)
{
	struct service_queue *sq = data;
	GList *l;

	while ((l = g_queue_pop_head_link(&sq->waiting)))
		g_free(l->data);
	g_array_free(sq->times, TRUE);
	g_free(sq);
}

struct syn_queue *create_syn_queue(void)
{
	struct syn_queue *q = g_new0(struct syn_queue, 1);

	q->services = g_ptr_array_new_with_free_func(destroy_service_queue);
	return q;
}

static struct service_queue *find_service_queue(const struct syn_queue *q,
						service_index_t service)
{
	return service < q->services->len
		       ? g_ptr_array_index(q->services, service)
		       : NULL;
}

static struct service_queue *
get_or_create_service_queue(struct syn_queue *q, service_index_t service)
{
	while (q->services->len <= service)
		g_ptr_array_add(q->services, create_service_queue());
	return g_ptr_array_index(q->services, service);
}

void remove_waiting_syn(struct syn_queue *q, struct waiting_syn *w)
{
	struct queued_syn *qs = (struct queued_syn *)(void *)w;
	struct service_queue *sq = find_service_queue(q, w->service);

	g_queue_unlink(&sq->waiting, &qs->link);
	sq->limited_nr -= w->limited_by_rate;
	q->waiting_nr--;
	g_free(qs);
}

void destroy_syn_queue(struct syn_queue *q)
{
	if (!q)
		return;
	g_ptr_array_free(q->services, TRUE);
	g_free(q);
}

/* Whether A is to be placed before B, which was queued before it. */
static bool goes_before(const struct waiting_syn *a,
			const struct waiting_syn *b)
{
	return a->rank.priority <= b->rank.priority;
}

static void insert_waiting_syn(struct service_queue *sq, struct queued_syn *qs)
{
	GList *l = sq->waiting.tail;

	while (l && !goes_before(&qs->syn, l->data))
		l = l->prev;
	g_queue_insert_after_link(&sq->waiting, l, &qs->link);
}

struct waiting_syn *queue_syn(struct syn_queue *q, service_index_t service,
			      struct syn_rank rank, struct syn_limits limits,
			      bool just_started, void *owner, uint64_t now_ms)
{
	struct service_queue *sq = get_or_create_service_queue(q, service);
	struct queued_syn *qs;

	if (q->waiting_nr >= SYN_QUEUE_MAX)
		return NULL;
	qs = g_new0(struct queued_syn, 1);
	qs->syn.service = service;
	qs->syn.rank = rank;
	qs->syn.queued_ms = now_ms;
	qs->syn.due_ms = now_ms + limits.wait_ms;
	qs->syn.abandon_ms = now_ms + limits.abandon_ms;
	qs->syn.limited_by_rate = !just_started && rank.is_lowest;
	qs->syn.owner = owner;
	qs->link.data = qs;
	insert_waiting_syn(sq, qs);
	sq->limited_nr += qs->syn.limited_by_rate;
	q->waiting_nr++;
	return &qs->syn;
}

struct waiting_syn *next_waiting_syn(const struct syn_queue *q,
				     service_index_t service)
{
	const struct service_queue *sq = find_service_queue(q, service);

	return sq && sq->waiting.tail ? sq->waiting.tail->data : NULL;
}

struct waiting_syn *oldest_waiting_syn(const struct syn_queue *q,
				       service_index_t service)
{
	const struct service_queue *sq = find_service_queue(q, service);

	return sq && sq->waiting.head ? sq->waiting.head->data : NULL;
}

enum syn_verdict decide_ranked_syn(const struct syn_queue *q,
				   service_index_t service,
				   struct syn_rank rank,
				   const struct placement *best,
				   bool just_started, uint64_t now_ms)
{
	enum syn_verdict verdict =
		decide_syn(best, rank.is_lowest, just_started);

	if (verdict == SYN_PLACE &&
	    must_syn_yield(q, service, rank.priority, now_ms))
		return SYN_WAIT;
	if (verdict == SYN_REFUSE &&
	    !may_refuse_syn(q, service, rank.priority, now_ms))
		return SYN_WAIT;
	return verdict;
}

/* Sums of the last SYN_RATE_SPAN_MS. */
static struct rate_bucket recent_events(const struct service_queue *sq,
					uint64_t now_ms)
{
	uint64_t now_nr = now_ms / RATE_BUCKET_MS;
	struct rate_bucket sum = { 0 };

	for (uint64_t i = 0; i < RATE_BUCKETS && i <= sq->bucket_nr; i++) {
		uint64_t nr = sq->bucket_nr - i;
		const struct rate_bucket *b = &sq->buckets[nr % RATE_BUCKETS];

		if (nr + RATE_BUCKETS <= now_nr)
			break;
		sum.placed += b->placed;
		sum.arrived += b->arrived;
		sum.urgent += b->urgent;
		sum.crowded += b->crowded;
	}
	return sum;
}

/* The bucket of NOW_MS; clears those between it and the newest one. */
static struct rate_bucket *current_bucket(struct service_queue *sq,
					  uint64_t now_ms)
{
	uint64_t nr = now_ms / RATE_BUCKET_MS;

	for (uint64_t i = 1; i <= RATE_BUCKETS && sq->bucket_nr + i <= nr; i++)
		memset(&sq->buckets[(sq->bucket_nr + i) % RATE_BUCKETS], 0,
		       sizeof(sq->buckets[0]));
	sq->bucket_nr = MAX(sq->bucket_nr, nr);
	return &sq->buckets[nr % RATE_BUCKETS];
}

/* How many SYNs can be placed within LIMIT_MS at the observed rate. */
static uint32_t placeable_count(const struct service_queue *sq,
				uint64_t limit_ms, uint64_t now_ms)
{
	uint64_t n =
		recent_events(sq, now_ms).placed * limit_ms / SYN_RATE_SPAN_MS;

	return (uint32_t)MAX(n, SYN_QUEUE_MIN);
}

/* When a SYN of a lower priority than PRIORITY was placed last; 0: never. */
static uint64_t last_lower_placed_ms(const struct service_queue *sq,
				     uint32_t priority)
{
	uint64_t last_ms = 0;

	for (guint i = 0; i < sq->times->len; i++) {
		const struct priority_times *t =
			&g_array_index(sq->times, struct priority_times, i);

		if (t->priority > priority)
			last_ms = MAX(last_ms, t->placed_ms);
	}
	return last_ms;
}

static bool may_refuse(const struct service_queue *sq, uint32_t priority,
		       uint64_t now_ms)
{
	uint64_t last_ms = last_lower_placed_ms(sq, priority);

	return !last_ms || now_ms - last_ms >= SYN_PRIORITY_SPAN_MS;
}

/* When the wait of W ends, extended until it may be refused. */
static uint64_t wait_end_ms(const struct service_queue *sq,
			    const struct waiting_syn *w)
{
	uint64_t last_ms = last_lower_placed_ms(sq, w->rank.priority);

	return last_ms ? MAX(w->due_ms, last_ms + SYN_PRIORITY_SPAN_MS)
		       : w->due_ms;
}

/* The SYN whose wait ends first of those with the priority of W. */
static struct waiting_syn *first_due_like(const struct service_queue *sq,
					  const struct waiting_syn *w)
{
	struct waiting_syn *first = NULL;

	for (GList *l = sq->waiting.head; l; l = l->next) {
		struct waiting_syn *other = l->data;

		if (other->rank.priority == w->rank.priority &&
		    (!first || other->due_ms < first->due_ms))
			first = other;
	}
	return first;
}

static bool is_overloaded(const struct service_queue *sq, uint64_t now_ms)
{
	struct rate_bucket sum = recent_events(sq, now_ms);

	return sum.crowded >= SYN_OVERLOAD_MIN &&
	       sum.crowded >= SYN_OVERLOAD_SHARE * sum.arrived;
}

static bool must_yield(const struct service_queue *sq, uint32_t priority,
		       uint64_t now_ms)
{
	const struct queued_syn *next =
		sq->waiting.tail ? sq->waiting.tail->data : NULL;

	if (next && next->syn.rank.priority < priority)
		return true;
	for (guint i = 0; i < sq->times->len; i++) {
		const struct priority_times *t =
			&g_array_index(sq->times, struct priority_times, i);

		if (t->priority < priority && t->refused_ms &&
		    now_ms - t->refused_ms < SYN_PRIORITY_SPAN_MS)
			return true;
	}
	return false;
}

/* The SYN of SQ that is to be refused; NULL: none. */
static struct waiting_syn *find_syn_to_refuse(const struct service_queue *sq,
					      uint64_t now_ms)
{
	bool overloaded = is_overloaded(sq, now_ms);
	struct waiting_syn *w;

	for (GList *l = sq->waiting.head; l; l = l->next) {
		w = l->data;
		if (now_ms >= w->abandon_ms)
			return w;
		/* one that must yield would otherwise be told too late */
		if (now_ms >= wait_end_ms(sq, w) &&
		    (overloaded || must_yield(sq, w->rank.priority, now_ms)))
			return w;
	}
	if (!overloaded || !sq->waiting.head)
		return NULL;
	w = first_due_like(sq, sq->waiting.head->data);
	return w->limited_by_rate &&
			       sq->limited_nr >
				       placeable_count(sq,
						       w->due_ms - w->queued_ms,
						       now_ms)
		       ? w
		       : NULL;
}

struct waiting_syn *next_syn_to_refuse(const struct syn_queue *q,
				       uint64_t now_ms)
{
	if (!q->waiting_nr)
		return NULL;
	for (guint i = 0; i < q->services->len; i++) {
		const struct service_queue *sq =
			g_ptr_array_index(q->services, i);
		struct waiting_syn *w;

		w = find_syn_to_refuse(sq, now_ms);
		if (w)
			return w;
	}
	return NULL;
}

static struct priority_times *
get_or_create_priority_times(struct service_queue *sq, uint32_t priority)
{
	struct priority_times new_times = { .priority = priority };

	for (guint i = 0; i < sq->times->len; i++) {
		struct priority_times *t =
			&g_array_index(sq->times, struct priority_times, i);

		if (t->priority == priority)
			return t;
	}
	g_array_append_val(sq->times, new_times);
	return &g_array_index(sq->times, struct priority_times,
			      sq->times->len - 1);
}

void note_syn_placed(struct syn_queue *q, service_index_t service,
		     struct syn_rank rank, uint64_t now_ms)
{
	struct service_queue *sq = get_or_create_service_queue(q, service);

	if (rank.is_lowest)
		current_bucket(sq, now_ms)->placed++;
	get_or_create_priority_times(sq, rank.priority)->placed_ms = now_ms;
}

void note_syn_refused(struct syn_queue *q, service_index_t service,
		      uint32_t priority, uint64_t now_ms)
{
	struct service_queue *sq = get_or_create_service_queue(q, service);

	get_or_create_priority_times(sq, priority)->refused_ms = now_ms;
}

bool may_refuse_syn(const struct syn_queue *q, service_index_t service,
		    uint32_t priority, uint64_t now_ms)
{
	const struct service_queue *sq = find_service_queue(q, service);

	return !sq || may_refuse(sq, priority, now_ms);
}

bool must_syn_yield(const struct syn_queue *q, service_index_t service,
		    uint32_t priority, uint64_t now_ms)
{
	const struct service_queue *sq = find_service_queue(q, service);

	return sq && must_yield(sq, priority, now_ms);
}

void note_syn_arrival(struct syn_queue *q, service_index_t service,
		      struct syn_rank rank, bool crowded, uint64_t now_ms)
{
	struct rate_bucket *b =
		current_bucket(get_or_create_service_queue(q, service), now_ms);

	if (!rank.is_lowest) {
		b->urgent++;
		return;
	}
	b->arrived++;
	b->crowded += crowded;
}

double urgent_syn_share(const struct syn_queue *q, service_index_t service,
			uint64_t now_ms)
{
	const struct service_queue *sq = find_service_queue(q, service);
	struct rate_bucket sum;

	if (!sq)
		return 0;
	sum = recent_events(sq, now_ms);
	return sum.urgent ? (double)sum.urgent / (sum.urgent + sum.arrived) : 0;
}

bool is_service_overloaded(const struct syn_queue *q, service_index_t service,
			   uint64_t now_ms)
{
	const struct service_queue *sq = find_service_queue(q, service);

	return sq && is_overloaded(sq, now_ms);
}

struct waiting_syn *next_overdue_syn(const struct syn_queue *q,
				     service_index_t service, uint64_t now_ms)
{
	const struct service_queue *sq = find_service_queue(q, service);
	struct waiting_syn *w;

	if (!sq || !sq->waiting.length || is_overloaded(sq, now_ms))
		return NULL;
	w = first_due_like(sq, sq->waiting.tail->data);
	return wait_end_ms(sq, w) <= now_ms ? w : NULL;
}

struct syn_limits get_ranked_syn_limits(const struct syn_queue *q,
					service_index_t service,
					struct syn_rank rank,
					uint32_t target_ms, uint32_t syn_copy,
					bool just_started, uint64_t now_ms)
{
	struct syn_limits limits =
		get_syn_limits(target_ms, syn_copy, just_started);

	if (rank.is_lowest && !just_started &&
	    urgent_syn_share(q, service, now_ms) > 0)
		limits.wait_ms =
			(uint32_t)(SYN_YIELDING_WAIT_FACTOR * limits.wait_ms);
	return limits;
}

size_t syn_queue_service_count(const struct syn_queue *q)
{
	return q->services->len;
}

size_t waiting_syn_count(const struct syn_queue *q)
{
	return q->waiting_nr;
}
