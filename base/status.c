#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

static const struct status_row rows[STATUS_KIND_NR] = {
	[STATUS_OK] = { "ok", 0, 200, false },
	[STATUS_USAGE] = { "usage", 129, 400, true },
	[STATUS_INVALID] = { "invalid", 1, 400, true },
	[STATUS_TOO_LARGE] = { "too-large", 1, 413, true },
	[STATUS_NOT_FOUND] = { "not-found", 1, 404, true },
	[STATUS_CONFLICT] = { "conflict", 1, 409, true },
	[STATUS_NOT_RUN] = { "not-run", 1, 503, true },
	[STATUS_IN_PROGRESS] = { "in-progress", 1, 409, false },
	[STATUS_UNKNOWN] = { "outcome-unknown", 1, 502, false },
	[STATUS_UNAVAILABLE] = { "unavailable", 1, 503, false },
	[STATUS_TIMEOUT] = { "timeout", 1, 504, false },
	[STATUS_CORRUPT] = { "corrupt", 1, 502, false },
	[STATUS_INTERNAL] = { "internal", 1, 500, false },
};

const struct status_row *find_status_row(enum status_kind kind)
{
	if (kind >= STATUS_KIND_NR)
		kind = STATUS_INTERNAL;
	return &rows[kind];
}

enum status_kind set_status(struct status *st, enum status_kind kind,
			    const char *fmt, ...)
{
	va_list ap;

	if (!st)
		return kind;
	st->kind = kind;
	va_start(ap, fmt);
	vsnprintf(st->message, sizeof(st->message), fmt, ap);
	va_end(ap);
	return kind;
}
