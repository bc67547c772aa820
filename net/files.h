#ifndef NET_FILES_H
#define NET_FILES_H

/* Reads settings and service files from the file system. */

#include "base/problems.h"
#include "config/service-file.h"
#include "config/settings.h"
#include "config/snapshot.h"

/* Reads the settings file PATH, see parse_settings(). */
bool load_settings(const char *path, const struct steering_bounds *fallback,
		   struct settings *s, struct problems *ps);

/*
 * Reads the service files in PATHS, each a file or a directory whose "*.ini"
 * files are read. Returns a validated snapshot of EPOCH, or NULL after adding
 * every error of every file to PS.
 */
struct snapshot *load_services(const char *const *paths, size_t path_count,
			       uint64_t epoch, const char *publish_id,
			       struct problems *ps);

#endif
