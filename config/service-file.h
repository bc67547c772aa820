#ifndef CONFIG_SERVICE_FILE_H
#define CONFIG_SERVICE_FILE_H

/*
 * Service files: INI text that describes one service, the addresses of its
 * upstreams and the load limits of each. docs/SERVICE-FILES.md has the format.
 */

#include <stddef.h>

#include "base/problems.h"
#include "config/service.h"

/*
 * Parses TEXT (LEN bytes). Returns a sealed service, or NULL after adding
 * every error to PS under the name FILE.
 */
struct service *parse_service_file(const char *file, const char *text,
				   size_t len, struct problems *ps);

#endif
