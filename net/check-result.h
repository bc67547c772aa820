#ifndef NET_CHECK_RESULT_H
#define NET_CHECK_RESULT_H

/* What the end of a health check's call says about its upstream. */

#include "flow/placement.h"
#include "net/http-client.h"

/*
 * A refusal (RST) arrives within a round trip; a connect that is refused later
 * than this counts as unreachable.
 */
#define CHECK_REFUSED_MS 120

/* R: of a check of upstream NAME, TOOK_MS after it began. */
enum check_result classify_check(const struct http_call_result *r,
				 const char *name, uint64_t took_ms);

#endif
