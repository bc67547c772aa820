#ifndef NET_EVENT_LOG_H
#define NET_EVENT_LOG_H

/*
 * Structured lines on standard output: one event a line, key=value, through
 * log4c. docs/LOGS.md lists the events and their fields.
 *
 * Each kind has a budget of lines a second; what exceeds it is counted and
 * told as event=suppressed. Lines wait in a ring and are written without
 * blocking; when nobody reads, the oldest are kept and the newest counted as
 * lost.
 */

#include <stdint.h>
#include <sys/types.h>

enum event_kind {
#define EVENT(id, name, budget, doc) EVENT_##id,
#include "net/event-list.h"
#undef EVENT
	EVENT_KIND_NR
};

struct event_log;

/* Writes to FD, which is made non-blocking. */
struct event_log *create_event_log(int fd);
void destroy_event_log(struct event_log *el);

/* Writes one line; FMT gives the fields behind time and event. */
void log_event(struct event_log *el, enum event_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Hands lines to the kernel and renews the budgets; NOW_MS is any clock. */
void flush_event_log(struct event_log *el, uint64_t now_ms);

/* Lines that were over budget, or found the ring full. */
uint64_t suppressed_events(const struct event_log *el);
uint64_t lost_events(const struct event_log *el);

/* Name and meaning of KIND. */
const char *event_name(enum event_kind kind);
const char *event_doc(enum event_kind kind);

/* Lines of KIND that are written in a second. */
uint32_t event_budget(enum event_kind kind);

#endif
