#ifndef T_EVENT_QUEUE_H
#define T_EVENT_QUEUE_H

/*
 * Items ordered by time; those of one time come out in the order in which
 * they went in. For tests and benchmarks that step deciding code.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_queue;

struct event_queue *create_event_queue(void);

/* Frees the queue but no item. */
void destroy_event_queue(struct event_queue *q);

void push_event(struct event_queue *q, uint64_t at_ms, void *item);

/* Time of the first item; UINT64_MAX if there is none. */
uint64_t next_event_ms(const struct event_queue *q);

/* Takes the first item out; NULL if there is none. */
void *pop_event(struct event_queue *q);
size_t event_nr(const struct event_queue *q);

#endif
