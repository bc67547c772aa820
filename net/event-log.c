#include "net/event-log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <log4c.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define RING_BYTES (64 * 1024) /* of lines that wait to be written */
#define LINE_MAX_BYTES 600
#define BUDGET_PERIOD_MS 1000 /* budgets are in lines a second */
#define EVENT_CATEGORY "baobabvalve.events"

struct event_log {
	int fd;
	log4c_category_t *category;
	char ring[RING_BYTES];
	size_t ring_start; /* first byte not written yet */
	size_t ring_len;
	uint32_t lines_written[EVENT_KIND_NR]; /* in this period */
	uint32_t lines_suppressed[EVENT_KIND_NR];
	uint64_t budget_renewed_ms;
	uint64_t suppressed_total;
	uint64_t lost_total;
};

struct event_row {
	const char *name;
	uint32_t lines_per_s;
	const char *doc;
};

static const struct event_row rows[EVENT_KIND_NR] = {
#define EVENT(id, name, budget, doc) { name, budget, doc },
#include "net/event-list.h"
#undef EVENT
};

static void append_line(struct event_log *el, const char *text, size_t len)
{
	if (el->ring_len + len > RING_BYTES) {
		el->lost_total++;
		return;
	}
	for (size_t i = 0; i < len; i++)
		el->ring[(el->ring_start + el->ring_len + i) % RING_BYTES] =
			text[i];
	el->ring_len += len;
}

static int append_event(log4c_appender_t *a, const log4c_logging_event_t *event)
{
	struct event_log *el = log4c_appender_get_udata(a);

	if (el)
		append_line(el, event->evt_msg, strlen(event->evt_msg));
	return 0;
}

static int ignore_appender_call(log4c_appender_t *a)
{
	(void)a;
	return 0;
}

static const log4c_appender_type_t appender_type = {
	.name = "baobabvalve.ring",
	.open = ignore_appender_call,
	.append = append_event,
	.close = ignore_appender_call,
};

struct event_log *create_event_log(int fd)
{
	struct event_log *el = g_new0(struct event_log, 1);
	log4c_appender_t *a;
	int flags = fcntl(fd, F_GETFL);

	el->fd = fd;
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log4c_appender_type_set(&appender_type);
	a = log4c_appender_get("baobabvalve.events");
	log4c_appender_set_type(a, &appender_type);
	log4c_appender_set_udata(a, el);
	el->category = log4c_category_get(EVENT_CATEGORY);
	log4c_category_set_appender(el->category, a);
	log4c_category_set_additivity(el->category, 0);
	log4c_category_set_priority(el->category, LOG4C_PRIORITY_INFO);
	return el;
}

void destroy_event_log(struct event_log *el)
{
	if (!el)
		return;
	flush_event_log(el, el->budget_renewed_ms);
	log4c_appender_set_udata(log4c_appender_get("baobabvalve.events"),
				 NULL);
	g_free(el);
}

static uint64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Replaces control characters, which names of other writers may contain. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if (g_ascii_iscntrl(*text))
			*text = '?';
}

void log_event(struct event_log *el, enum event_kind kind, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	size_t n;
	va_list ap;

	if (el->lines_written[kind] >= rows[kind].lines_per_s) {
		el->lines_suppressed[kind]++;
		el->suppressed_total++;
		return;
	}
	el->lines_written[kind]++;
	n = (size_t)g_snprintf(line, sizeof(line), "t=%llu event=%s ",
			       (unsigned long long)wall_ms(), rows[kind].name);
	va_start(ap, fmt);
	g_vsnprintf(line + n, (gulong)(sizeof(line) - n - 1), fmt, ap);
	va_end(ap);
	replace_control_characters(line);
	n = strlen(line);
	line[n] = '\n';
	line[n + 1] = '\0';
	log4c_category_log(el->category, LOG4C_PRIORITY_INFO, "%s", line);
}

static void renew_budgets(struct event_log *el)
{
	for (int i = 0; i < EVENT_KIND_NR; i++) {
		uint32_t n = el->lines_suppressed[i];

		el->lines_written[i] = 0;
		el->lines_suppressed[i] = 0;
		if (n)
			log_event(el, EVENT_SUPPRESSED, "kind=%s count=%u",
				  rows[i].name, n);
	}
}

void flush_event_log(struct event_log *el, uint64_t now_ms)
{
	if (now_ms - el->budget_renewed_ms >= BUDGET_PERIOD_MS) {
		el->budget_renewed_ms = now_ms;
		renew_budgets(el);
	}
	while (el->ring_len) {
		size_t n = MIN(el->ring_len, RING_BYTES - el->ring_start);
		ssize_t done = write(el->fd, el->ring + el->ring_start, n);

		if (done <= 0)
			return;
		el->ring_start = (el->ring_start + (size_t)done) % RING_BYTES;
		el->ring_len -= (size_t)done;
	}
}

uint64_t suppressed_event_count(const struct event_log *el)
{
	return el->suppressed_total;
}

uint64_t lost_event_count(const struct event_log *el)
{
	return el->lost_total;
}

const char *event_name(enum event_kind kind)
{
	return rows[kind].name;
}

const char *event_doc(enum event_kind kind)
{
	return rows[kind].doc;
}

uint32_t event_lines_per_s(enum event_kind kind)
{
	return rows[kind].lines_per_s;
}
