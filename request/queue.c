#include "request/queue.h"

#include <math.h>

#define SMOOTHING 16	       /* weight of the past in a moving average */
#define REFUSAL_WINDOW_MS 1000 /* over which refusals are counted */

struct place {
	uint64_t deadline;
	handle_t request;
};

struct queue {
	GRand *rng;
	GSequence *places; /* of struct place, by deadline */
	GHashTable *places_by_request;
	double gap_ms; /* moving average between two departures; 0: none */
	uint64_t
		last_left; /* of the last departure, or when it began to fill */
	double run_dev_ms; /* moving average of its distance from run_ms */
	double run_ms;	   /* moving average of an upstream's work */
	uint64_t window;   /* start of the refusal window */
	uint32_t refused;  /* in the window */
	uint32_t refused_before; /* in the one before */
};

struct queue *create_queue(GRand *rng)
{
	struct queue *q = g_new0(struct queue, 1);

	q->rng = rng;
	q->places = g_sequence_new(g_free);
	q->places_by_request = g_hash_table_new(NULL, NULL);
	return q;
}

void destroy_queue(struct queue *q)
{
	if (!q)
		return;
	g_sequence_free(q->places);
	g_hash_table_destroy(q->places_by_request);
	g_free(q);
}

size_t queue_length(const struct queue *q)
{
	return g_hash_table_size(q->places_by_request);
}

static int compare_places(const void *a, const void *b, void *data)
{
	const struct place *x = a;
	const struct place *y = b;

	(void)data;
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline ? -1 : 1;
	return x->request < y->request ? -1 : x->request > y->request;
}

void push_queue(struct queue *q, handle_t h, uint64_t deadline_ms,
		uint64_t now_ms)
{
	struct place *p = g_new0(struct place, 1);

	if (!queue_length(q))
		q->last_left = now_ms;
	p->deadline = deadline_ms;
	p->request = h;
	g_hash_table_insert(
		q->places_by_request, GUINT_TO_POINTER(h),
		g_sequence_insert_sorted(q->places, p, compare_places, NULL));
}

handle_t first_in_queue(const struct queue *q, uint64_t *deadline_ms)
{
	const struct place *p;

	if (!queue_length(q))
		return 0;
	p = g_sequence_get(g_sequence_get_begin_iter(q->places));
	if (deadline_ms)
		*deadline_ms = p->deadline;
	return p->request;
}

static void average(double *mean, double sample)
{
	if (*mean <= 0)
		*mean = sample;
	else
		*mean += (sample - *mean) / SMOOTHING;
}

void leave_queue(struct queue *q, handle_t h, bool offered, uint64_t now_ms)
{
	GSequenceIter *it =
		g_hash_table_lookup(q->places_by_request, GUINT_TO_POINTER(h));

	if (!it)
		return;
	g_sequence_remove(it);
	g_hash_table_remove(q->places_by_request, GUINT_TO_POINTER(h));
	if (!offered)
		return;
	average(&q->gap_ms, (double)(now_ms - q->last_left));
	q->last_left = now_ms;
}

void note_run_time(struct queue *q, uint64_t run_ms)
{
	average(&q->run_ms, (double)run_ms);
	average(&q->run_dev_ms, fabs((double)run_ms - q->run_ms));
}

uint64_t long_run_ms(const struct queue *q)
{
	return (uint64_t)(q->run_ms + 2 * q->run_dev_ms);
}

/* The average gap, or the present one if that is already far longer. */
static double present_gap(const struct queue *q, uint64_t now_ms)
{
	double idle = (double)(now_ms - q->last_left) / 2;

	return queue_length(q) && idle > q->gap_ms ? idle : q->gap_ms;
}

uint64_t expected_wait_ms(const struct queue *q, uint64_t now_ms)
{
	return (uint64_t)((double)queue_length(q) * present_gap(q, now_ms));
}

bool may_enter_queue(const struct queue *q, uint64_t deadline_ms,
		     uint64_t now_ms)
{
	uint64_t wait = expected_wait_ms(q, now_ms);

	if (queue_length(q) >= QUEUE_MAX)
		return false;
	if (!queue_length(q))
		return now_ms + long_run_ms(q) < deadline_ms;
	return wait <= QUEUE_WAIT_MAX_MS &&
	       now_ms + wait + long_run_ms(q) < deadline_ms;
}

static void roll_window(struct queue *q, uint64_t now_ms)
{
	uint64_t gone = now_ms - q->window;

	if (gone < REFUSAL_WINDOW_MS)
		return;
	q->refused_before = gone < 2 * REFUSAL_WINDOW_MS ? q->refused : 0;
	q->refused = 0;
	q->window = now_ms;
}

uint32_t retry_after_ms(struct queue *q, uint64_t now_ms)
{
	double base;

	roll_window(q, now_ms);
	q->refused++;
	base = (double)MAX(q->refused, q->refused_before) *
		       present_gap(q, now_ms) +
	       (double)expected_wait_ms(q, now_ms);
	base = CLAMP(base, 2 * RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS / 1.5);
	return (uint32_t)g_rand_double_range(q->rng, base / 2, base * 1.5);
}
