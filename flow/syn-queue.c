#include "flow/syn-queue.h"

#include <string.h>

#define RATE_BUCKETS 5
#define RATE_BUCKET_MS (SYN_RATE_SPAN_MS / RATE_BUCKETS)

/* What happened within RATE_BUCKET_MS. */
struct rate_bucket {
	uint32_t placed;
	uint32_t arrived; /* SYNs that yield to others */
	uint32_t crowded; /* of these, those that had to wait */
};

/* Waiting SYNs and recent events of one service. */
struct service_queue {
	GQueue waiting;	     /* of struct queued_syn, oldest first */
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
	case PLACE_ALL_COLD:
		return SYN_WAIT; /* the quotas are renewed within a second */
	case PLACE_FULL:
		return is_lowest_priority ? SYN_WAIT : SYN_PLACE;
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

struct syn_queue *create_syn_queue(void)
{
	struct syn_queue *q = g_new0(struct syn_queue, 1);

	q->services = g_ptr_array_new_with_free_func(g_free);
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
		g_ptr_array_add(q->services, g_new0(struct service_queue, 1));
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
	for (guint i = 0; i < q->services->len; i++) {
		struct service_queue *sq = g_ptr_array_index(q->services, i);

		GList *l;

		while ((l = g_queue_pop_head_link(&sq->waiting)))
			g_free(l->data);
	}
	g_ptr_array_free(q->services, TRUE);
	g_free(q);
}

struct waiting_syn *queue_syn(struct syn_queue *q, service_index_t service,
			      struct syn_limits limits, bool just_started,
			      void *owner, uint64_t now_ms)
{
	struct service_queue *sq = get_or_create_service_queue(q, service);
	struct queued_syn *qs;

	if (q->waiting_nr >= SYN_QUEUE_MAX)
		return NULL;
	qs = g_new0(struct queued_syn, 1);
	qs->syn.service = service;
	qs->syn.queued_ms = now_ms;
	qs->syn.due_ms = now_ms + limits.wait_ms;
	qs->syn.abandon_ms = now_ms + limits.abandon_ms;
	qs->syn.limited_by_rate = !just_started;
	qs->syn.owner = owner;
	qs->link.data = qs;
	g_queue_push_tail_link(&sq->waiting, &qs->link);
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

/* The SYN of SQ whose wait ends first. */
static struct waiting_syn *first_due_syn(const struct service_queue *sq)
{
	struct waiting_syn *first = sq->waiting.head->data;

	for (GList *l = sq->waiting.head->next; l; l = l->next) {
		struct waiting_syn *w = l->data;

		if (w->due_ms < first->due_ms)
			first = w;
	}
	return first;
}

static bool is_overloaded(const struct service_queue *sq, uint64_t now_ms)
{
	struct rate_bucket sum = recent_events(sq, now_ms);

	return sum.crowded >= SYN_OVERLOAD_MIN &&
	       sum.crowded >= SYN_OVERLOAD_SHARE * sum.arrived;
}

/* True if W, the first of SQ that is due, is to be refused. */
static bool is_to_be_refused(const struct service_queue *sq,
			     const struct waiting_syn *w, uint64_t now_ms)
{
	if (now_ms >= w->abandon_ms)
		return true;
	if (!is_overloaded(sq, now_ms))
		return false;
	return now_ms >= w->due_ms ||
	       (w->limited_by_rate &&
		sq->limited_nr >
			placeable_count(sq, w->due_ms - w->queued_ms, now_ms));
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

		if (!sq->waiting.length)
			continue;
		w = first_due_syn(sq);
		if (is_to_be_refused(sq, w, now_ms))
			return w;
	}
	return NULL;
}

void note_syn_placed(struct syn_queue *q, service_index_t service,
		     uint64_t now_ms)
{
	struct service_queue *sq = get_or_create_service_queue(q, service);

	current_bucket(sq, now_ms)->placed++;
}

void note_syn_arrival(struct syn_queue *q, service_index_t service,
		      bool crowded, uint64_t now_ms)
{
	struct rate_bucket *b =
		current_bucket(get_or_create_service_queue(q, service), now_ms);

	b->arrived++;
	b->crowded += crowded;
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
	w = first_due_syn(sq);
	return w->due_ms <= now_ms ? w : NULL;
}

size_t syn_queue_service_count(const struct syn_queue *q)
{
	return q->services->len;
}

size_t waiting_syn_count(const struct syn_queue *q)
{
	return q->waiting_nr;
}
