#ifndef NET_EVENT_LOG_H
#define NET_EVENT_LOG_H

/*
 * Structured log on standard output through log4c: one event a line, as
 * key=value. docs/LOGS.md lists the events and their fields.
 *
 * Each kind of event has a budget of lines a second; lines beyond it are
 * counted and reported by an event=suppressed line. Lines are queued in a ring
 * buffer and written without blocking. While nobody reads them and the buffer
 * is full, new lines are dropped and counted as lost.
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

/* A log that writes to FD, which becomes non-blocking. */
struct event_log *create_event_log(int fd);
void destroy_event_log(struct event_log *el);

/* Queues one line; FMT gives the fields after time and event. */
void log_event(struct event_log *el, enum event_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Writes queued lines and, once a second, renews the budgets. NOW_MS may be
 * the time of any clock, but of the same clock in all calls.
 */
void flush_event_log(struct event_log *el, uint64_t now_ms);

/* Number of lines dropped: over budget, or because the buffer was full. */
uint64_t suppressed_event_count(const struct event_log *el);
uint64_t lost_event_count(const struct event_log *el);

/* Name and documentation of KIND. */
const char *event_name(enum event_kind kind);
const char *event_doc(enum event_kind kind);

/* Budget of KIND, in lines a second. */
uint32_t event_lines_per_s(enum event_kind kind);

#endif
