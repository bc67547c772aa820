#include "net/check-result.h"

#include <string.h>

#include "platform/records.h"

static enum check_result classify_answer(const char *name,
					 const struct http_message *m)
{
	const char *sender = find_http_header(m, PLATFORM_UPSTREAM_HEADER);

	if (sender && strcmp(sender, name) != 0)
		return CHECK_REPLACED;
	return m->code == 200 ? CHECK_GOOD : CHECK_BAD;
}

/* ERROR: of libuv, why there was no connection. */
static enum check_result classify_connect(int error, uint64_t took_ms)
{
	switch (error) {
	case UV_ECONNREFUSED:
		return took_ms <= CHECK_REFUSED_MS ? CHECK_REFUSED
						   : CHECK_UNREACHABLE;
	case UV_ECONNRESET:
	case UV_EHOSTUNREACH:
	case UV_ENETUNREACH:
	case UV_ETIMEDOUT:
		return CHECK_UNREACHABLE;
	default:
		return CHECK_NOT_MADE;
	}
}

enum check_result classify_check(const struct http_call_result *r,
				 const char *name, uint64_t took_ms)
{
	switch (r->kind) {
	case STATUS_OK:
		return classify_answer(name, r->answer);
	case STATUS_UNKNOWN:
		return CHECK_SILENT;
	default:
		return classify_connect(r->error, took_ms);
	}
}
