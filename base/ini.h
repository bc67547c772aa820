#ifndef BASE_INI_H
#define BASE_INI_H

/*
 * Parses INI text with libinih. Also reports, with line numbers and in one
 * pass, errors that libinih accepts or misreads: duplicate keys and sections,
 * binary input and lines that are too long.
 */

#include <stddef.h>

#include "base/problems.h"

#define INI_LINE_MAX 198 /* bytes; limit of Debian's build of libinih */
#define INI_FILE_MAX (1024 * 1024) /* bytes */

/* One "key = value" line; the strings are valid during the callback. */
struct ini_entry {
	const char *section;
	const char *key;
	const char *value;
	int line;
};

/*
 * Calls ON_ENTRY for every well-formed entry of TEXT (LEN bytes). Adds all
 * errors to PS under the name FILE.
 */
void read_ini(const char *file, const char *text, size_t len,
	      void (*on_entry)(const struct ini_entry *e, void *data),
	      void *data, struct problems *ps);

#endif
