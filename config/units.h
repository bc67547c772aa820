#ifndef CONFIG_UNITS_H
#define CONFIG_UNITS_H

/* Parses numbers with units, as written in settings and service files. */

#include <stdint.h>

#include "base/status.h"

/* Parses "250ms", "5s" or "2m" as milliseconds, 1 to MAX_MS. */
enum status_kind parse_duration(const char *text, uint32_t max_ms, uint32_t *ms,
				struct status *st);

/* Which way a time that is no whole number of milliseconds is rounded. */
enum bound_rounding { BOUND_ROUND_DOWN, BOUND_ROUND_UP };

/*
 * Parses a bound that a platform fills in: a number of 0 or more, with or
 * without decimals or an exponent, and the unit of a duration, as in "5.5s" or
 * "1e3ms". Returns
 * STATUS_TOO_LARGE and sets *MS to UINT32_MAX if it exceeds that,
 * STATUS_NOT_FOUND if there is a unit and no such number ("trues", "s", "-1s"),
 * STATUS_INVALID if it is neither.
 */
enum status_kind parse_bound(const char *text, enum bound_rounding rounding,
			     uint32_t *ms, struct status *st);

/*
 * Parses a factor or a rate that a platform fills in, a number as above without
 * a unit. A word or no text at all is STATUS_NOT_FOUND.
 */
enum status_kind parse_figure(const char *text, double *n, struct status *st);

/* Parses "512B", "64KB" or "1MB" (powers of 1024) as bytes, 1 to MAX. */
enum status_kind parse_size(const char *text, uint32_t max, uint32_t *bytes,
			    struct status *st);

/* Parses a number without a unit, MIN to MAX. */
enum status_kind parse_number(const char *text, uint32_t min, uint32_t max,
			      uint32_t *n, struct status *st);

#endif
