#include "config/units.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A product that differs from a whole number by less than this part is one. */
#define BOUND_EPSILON 1e-12

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

/*
 * Reads a number, a word that may stand for one, or neither, at the start of
 * TEXT and sets *END after it. STATUS_NOT_FOUND: there is no number of 0 or
 * more. STATUS_INVALID: it is malformed.
 */
static enum status_kind read_figure(const char *text, double *n,
				    const char **end)
{
	static const char *const words[] = { "true", "false", "null" };
	size_t len = strspn(text, "0123456789.eE+-");
	char *after;

	*end = text + len;
	*n = g_ascii_strtod(text, &after);
	if (len && after != *end)
		return STATUS_INVALID;
	if (len)
		return *n >= 0 ? STATUS_OK : STATUS_NOT_FOUND;
	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		if (g_str_has_prefix(text, words[i]))
			*end = text + strlen(words[i]);
	return STATUS_NOT_FOUND;
}

/* N as a whole number. */
static double round_bound(double n, enum bound_rounding rounding)
{
	double nearest = round(n);

	if (fabs(n - nearest) <= nearest * BOUND_EPSILON)
		return nearest;
	return rounding == BOUND_ROUND_UP ? ceil(n) : floor(n);
}

enum status_kind parse_bound(const char *text, enum bound_rounding rounding,
			     uint32_t *ms, struct status *st)
{
	const char *end;
	double n;
	enum status_kind kind = read_figure(text, &n, &end);
	const struct unit *u = find_unit(durations, end);

	if (!u || kind == STATUS_INVALID)
		return set_status(st, STATUS_INVALID,
				  "'%s' is not a number with a unit; "
				  "write for example 250ms, 5.5s or 2m",
				  text);
	if (kind != STATUS_OK)
		return set_status(st, kind, "'%s' has no number of 0 or more",
				  text);
	n = round_bound(n * (double)u->factor, rounding);
	*ms = n < UINT32_MAX ? (uint32_t)n : UINT32_MAX;
	return n > UINT32_MAX ? set_status(st, STATUS_TOO_LARGE,
					   "'%s' is out of range", text)
			      : STATUS_OK;
}

enum status_kind parse_figure(const char *text, double *n, struct status *st)
{
	const char *end;
	enum status_kind kind = read_figure(text, n, &end);

	if (kind == STATUS_OK && !*end)
		return kind;
	return set_status(st, *end ? STATUS_INVALID : kind,
			  "'%s' is not a number of 0 or more", text);
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
