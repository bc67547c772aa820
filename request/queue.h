#ifndef REQUEST_QUEUE_H
#define REQUEST_QUEUE_H

/*
 * The queue of one service: short, bounded and ordered by deadline. From the
 * rate at which it drains it tells how long a newcomer would wait, so that a
 * request which would not make it is refused at entry, with the time after
 * which its place would be free.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/handles.h"

#define QUEUE_MAX 256	      /* requests */
#define QUEUE_WAIT_MAX_MS 500 /* longest expected wait admitted */
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_MAX_MS 30000

struct queue;

/* RNG, for the jitter of retry_after_ms(), outlives the queue. */
struct queue *create_queue(GRand *rng);
void destroy_queue(struct queue *q);

size_t queue_length(const struct queue *q);

/* Adds H, which must leave before DEADLINE_MS. */
void push_queue(struct queue *q, handle_t h, uint64_t deadline_ms,
		uint64_t now_ms);

/* The request with the earliest deadline, 0 if there is none. */
handle_t first_in_queue(const struct queue *q, uint64_t *deadline_ms);

/* Takes H out; OFFERED if a slot was found for it. */
void leave_queue(struct queue *q, handle_t h, bool offered, uint64_t now_ms);

/* Notes that a request of the service took RUN_MS at an upstream. */
void note_run_time(struct queue *q, uint64_t run_ms);

/* A run time that few requests exceed. */
uint64_t long_run_ms(const struct queue *q);

/* Time until a request that is queued now would leave the queue. */
uint64_t expected_wait_ms(const struct queue *q, uint64_t now_ms);

/* False if a request with DEADLINE_MS would not make it, or waits too long. */
bool may_enter_queue(const struct queue *q, uint64_t deadline_ms,
		     uint64_t now_ms);

/*
 * When a refused caller should come back: the time in which the requests
 * refused lately could be served, spread by half of it to either side. Counts
 * the refusal.
 */
uint32_t retry_after_ms(struct queue *q, uint64_t now_ms);

#endif
