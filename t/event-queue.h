#ifndef T_EVENT_QUEUE_H
#define T_EVENT_QUEUE_H

/*
 * A queue of events ordered by time, and by arrival at equal times, for tests
 * and benchmarks that drive deciding code through a made-up time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event {
	uint64_t at;  /* ms */
	uint64_t seq; /* set by push_event */
	int kind;     /* meaning is the user's */
	int who;
	uint64_t arg;
	void *data; /* owned by the queue until popped */
	size_t len;
};

struct event_queue;

struct event_queue *create_event_queue(void);

/* Frees the queue with g_free() on the data of what is left. */
void destroy_event_queue(struct event_queue *q);

void push_event(struct event_queue *q, const struct event *ev);

/* Takes the first event whose time is no later than UNTIL. */
bool pop_event(struct event_queue *q, uint64_t until, struct event *ev);

#endif
