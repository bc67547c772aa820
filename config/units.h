#ifndef CONFIG_UNITS_H
#define CONFIG_UNITS_H

/* Parses numbers with units, as written in settings and service files. */

#include <stdint.h>

#include "base/status.h"

/* Parses "250ms", "5s" or "2m" as milliseconds, 1 to MAX_MS. */
enum status_kind parse_duration(const char *text, uint32_t max_ms, uint32_t *ms,
				struct status *st);

/* Parses "512B", "64KB" or "1MB" (powers of 1024) as bytes, 1 to MAX. */
enum status_kind parse_size(const char *text, uint32_t max, uint32_t *bytes,
			    struct status *st);

/* Parses a number without a unit, MIN to MAX. */
enum status_kind parse_number(const char *text, uint32_t min, uint32_t max,
			      uint32_t *n, struct status *st);

#endif
