#ifndef T_EVENT_QUEUE_H
#define T_EVENT_QUEUE_H

/*
 * A priority queue of items by time, first in first out among equal times, for
 * simulations. The caller chooses the unit of time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_queue;

struct event_queue *create_event_queue(void);

/* Frees the queue, but not its items. */
void destroy_event_queue(struct event_queue *q);

void push_event(struct event_queue *q, uint64_t at, void *item);

/* Time of the earliest item; UINT64_MAX if there is none. */
uint64_t next_event_time(const struct event_queue *q);

/* Removes and returns the earliest item; NULL if there is none. */
void *pop_event(struct event_queue *q);

/* Number of items. */
size_t event_nr(const struct event_queue *q);

#endif
