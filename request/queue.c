#include "request/queue.h"

#include <math.h>

#define MOVING_AVERAGE_DIVISOR 16 /* a sample weighs 1/16 */
#define REFUSAL_WINDOW_MS 1000	  /* refusals are counted per window */

struct queue_entry {
	uint64_t deadline_ms;
	handle_t request;
};

struct queue {
	GRand *rng;
	GSequence *entries; /* of struct queue_entry, by deadline */
	GHashTable *entries_by_request;
	double departure_interval_ms; /* average between departures; 0: none */
	uint64_t last_departure_ms; /* or when the empty queue got a request */
	double run_deviation_ms;    /* average deviation from run_ms */
	double run_ms;		    /* average run time at an upstream */
	uint64_t window_start_ms;   /* of the refusal window */
	uint32_t refused_in_window;
	uint32_t refused_in_last_window;
};

struct queue *create_queue(GRand *rng)
{
	struct queue *q = g_new0(struct queue, 1);

	q->rng = rng;
	q->entries = g_sequence_new(g_free);
	q->entries_by_request = g_hash_table_new(NULL, NULL);
	return q;
}

void destroy_queue(struct queue *q)
{
	if (!q)
		return;
	g_sequence_free(q->entries);
	g_hash_table_destroy(q->entries_by_request);
	g_free(q);
}

size_t queue_length(const struct queue *q)
{
	return g_hash_table_size(q->entries_by_request);
}

static int compare_entries(const void *a, const void *b, void *data)
{
	const struct queue_entry *x = a;
	const struct queue_entry *y = b;

	(void)data;
	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return x->request < y->request ? -1 : x->request > y->request;
}

void push_queue(struct queue *q, handle_t h, uint64_t deadline_ms,
		uint64_t now_ms)
{
	struct queue_entry *e = g_new0(struct queue_entry, 1);

	if (!queue_length(q))
		q->last_departure_ms = now_ms;
	e->deadline_ms = deadline_ms;
	e->request = h;
	g_hash_table_insert(
		q->entries_by_request, GUINT_TO_POINTER(h),
		g_sequence_insert_sorted(q->entries, e, compare_entries, NULL));
}

handle_t queue_head(const struct queue *q, uint64_t *deadline_ms)
{
	const struct queue_entry *e;

	if (!queue_length(q))
		return 0;
	e = g_sequence_get(g_sequence_get_begin_iter(q->entries));
	if (deadline_ms)
		*deadline_ms = e->deadline_ms;
	return e->request;
}

static void update_moving_average(double *mean, double sample)
{
	if (*mean <= 0)
		*mean = sample;
	else
		*mean += (sample - *mean) / MOVING_AVERAGE_DIVISOR;
}

void remove_from_queue(struct queue *q, handle_t h, bool got_slot,
		       uint64_t now_ms)
{
	GSequenceIter *it =
		g_hash_table_lookup(q->entries_by_request, GUINT_TO_POINTER(h));

	if (!it)
		return;
	g_sequence_remove(it);
	g_hash_table_remove(q->entries_by_request, GUINT_TO_POINTER(h));
	if (!got_slot)
		return;
	update_moving_average(&q->departure_interval_ms,
			      (double)(now_ms - q->last_departure_ms));
	q->last_departure_ms = now_ms;
}

void record_run_time(struct queue *q, uint64_t run_ms)
{
	update_moving_average(&q->run_ms, (double)run_ms);
	update_moving_average(&q->run_deviation_ms,
			      fabs((double)run_ms - q->run_ms));
}

uint64_t high_run_time_ms(const struct queue *q)
{
	return (uint64_t)(q->run_ms + 2 * q->run_deviation_ms);
}

/* The average interval, or half the time since the last departure if longer. */
static double current_departure_interval_ms(const struct queue *q,
					    uint64_t now_ms)
{
	double idle = (double)(now_ms - q->last_departure_ms) / 2;

	return queue_length(q) && idle > q->departure_interval_ms
		       ? idle
		       : q->departure_interval_ms;
}

uint64_t expected_wait_ms(const struct queue *q, uint64_t now_ms)
{
	return (uint64_t)((double)queue_length(q) *
			  current_departure_interval_ms(q, now_ms));
}

bool can_enter_queue(const struct queue *q, uint64_t deadline_ms,
		     uint64_t now_ms)
{
	uint64_t wait = expected_wait_ms(q, now_ms);

	if (queue_length(q) >= QUEUE_MAX)
		return false;
	if (!queue_length(q))
		return now_ms + high_run_time_ms(q) < deadline_ms;
	return wait <= QUEUE_WAIT_MAX_MS &&
	       now_ms + wait + high_run_time_ms(q) < deadline_ms;
}

static void advance_refusal_window(struct queue *q, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - q->window_start_ms;

	if (elapsed_ms < REFUSAL_WINDOW_MS)
		return;
	q->refused_in_last_window =
		elapsed_ms < 2 * REFUSAL_WINDOW_MS ? q->refused_in_window : 0;
	q->refused_in_window = 0;
	q->window_start_ms = now_ms;
}

uint32_t retry_after_ms(struct queue *q, uint64_t now_ms)
{
	double base;

	advance_refusal_window(q, now_ms);
	q->refused_in_window++;
	base = (double)MAX(q->refused_in_window, q->refused_in_last_window) *
		       current_departure_interval_ms(q, now_ms) +
	       (double)expected_wait_ms(q, now_ms);
	base = CLAMP(base, 2 * RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS / 1.5);
	return (uint32_t)g_rand_double_range(q->rng, base / 2, base * 1.5);
}
