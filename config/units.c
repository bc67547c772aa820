#include "config/units.h"

#include <glib.h>
#include <string.h>

struct unit {
	const char *suffix;
	uint64_t factor;
};

static const struct unit durations[] = {
	{ "ms", 1 }, { "s", 1000 }, { "m", 60 * 1000 }, { NULL, 0 }
};
static const struct unit sizes[] = {
	{ "B", 1 }, { "KB", 1024 }, { "MB", 1024 * 1024 }, { NULL, 0 }
};

static const struct unit *find_unit(const struct unit *units, const char *text)
{
	for (; units->suffix; units++)
		if (!strcmp(units->suffix, text))
			return units;
	return NULL;
}

/* Parses leading digits; *END is set after them, to TEXT if there are none. */
static uint64_t read_digits(const char *text, char **end)
{
	*end = (char *)text;
	if (!g_ascii_isdigit(*text))
		return 0;
	return g_ascii_strtoull(text, end, 10);
}

static enum status_kind parse_with_unit(const char *text,
					const struct unit *units,
					const char *example, uint32_t max,
					uint32_t *out, struct status *st)
{
	char *end;
	uint64_t n = read_digits(text, &end);
	const struct unit *u = find_unit(units, end);

	if (end == text || !u)
		return set_status(st, STATUS_INVALID,
				  "'%s' is not a number with a unit; "
				  "write for example %s",
				  text, example);
	if (!n || n > max / u->factor)
		return set_status(st, STATUS_INVALID,
				  "'%s' is out of range; at most %u%s", text,
				  (unsigned int)(max / u->factor), u->suffix);
	*out = (uint32_t)(n * u->factor);
	return STATUS_OK;
}

enum status_kind parse_duration(const char *text, uint32_t max_ms, uint32_t *ms,
				struct status *st)
{
	return parse_with_unit(text, durations, "250ms, 5s or 2m", max_ms, ms,
			       st);
}

enum status_kind parse_size(const char *text, uint32_t max, uint32_t *bytes,
			    struct status *st)
{
	return parse_with_unit(text, sizes, "512B, 64KB or 1MB", max, bytes,
			       st);
}

enum status_kind parse_number(const char *text, uint32_t min, uint32_t max,
			      uint32_t *n, struct status *st)
{
	char *end;
	uint64_t v = read_digits(text, &end);

	if (end == text || *end || v < min || v > max)
		return set_status(st, STATUS_INVALID,
				  "'%s' is not a number from %u to %u", text,
				  min, max);
	*n = (uint32_t)v;
	return STATUS_OK;
}
