#ifndef REQUEST_QUEUE_H
#define REQUEST_QUEUE_H

/*
 * The queue of one service: short, bounded and ordered by deadline. It
 * estimates the wait of a new request from the rate of departures, so that a
 * request which would miss its deadline is refused at admission, with a time
 * after which to retry.
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

/* Adds H, which must leave the queue before DEADLINE_MS. */
void push_queue(struct queue *q, handle_t h, uint64_t deadline_ms,
		uint64_t now_ms);

/* The request with the earliest deadline, 0 if there is none. */
handle_t queue_head(const struct queue *q, uint64_t *deadline_ms);

/* Removes H. GOT_SLOT: it is sent to an upstream; counts as a departure. */
void remove_from_queue(struct queue *q, handle_t h, bool got_slot,
		       uint64_t now_ms);

/* Records that a request of the service took RUN_MS at an upstream. */
void record_run_time(struct queue *q, uint64_t run_ms);

/* Mean run time plus twice its mean deviation; few requests exceed it. */
uint64_t high_run_time_ms(const struct queue *q);

/* Time that a request queued now would spend in the queue. */
uint64_t expected_wait_ms(const struct queue *q, uint64_t now_ms);

/*
 * False if the queue is full, or if a request queued now would miss
 * DEADLINE_MS or wait longer than QUEUE_WAIT_MAX_MS.
 */
bool can_enter_queue(const struct queue *q, uint64_t deadline_ms,
		     uint64_t now_ms);

/*
 * Counts a refusal and returns the time after which to retry: the time that it
 * would take to serve the recently refused requests, with a jitter of 50% to
 * either side so that the retries spread.
 */
uint32_t retry_after_ms(struct queue *q, uint64_t now_ms);

#endif
