#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

/*
 * One HTTP/1.1 request to one endpoint, on a connection of its own. Unlike a
 * general client it never sends a request twice, and it reports whether any
 * byte may have been sent: only a request of which no byte was sent can be
 * reported to callers as "not run".
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "net/http-message.h"

struct http_call;

struct http_call_result {
	/*
 * STATUS_OK: ANSWER is complete. STATUS_UNAVAILABLE: no byte was sent.
 * STATUS_UNKNOWN: bytes may have been sent, but no complete answer arrived.
 */
	enum status_kind kind;
	/* of STATUS_UNKNOWN: what arrived is no answer, or too long */
	bool malformed;
	const struct http_message *answer;
};

/*
 * Sends M to EP and calls FN once, unless the call is cancelled before. It
 * fails after TIMEOUT_MS without a connection, or TIMEOUT_MS after the connect
 * without a complete answer. An answer with a body over MAX_BODY bytes is an
 * error.
 */
struct http_call *start_http_call(
	uv_loop_t *loop, const struct endpoint *ep,
	const struct http_message *m, uint64_t timeout_ms, size_t max_body,
	void (*fn)(const struct http_call_result *r, void *data), void *data);

/* Fails the call if it is not connected within MS from now. */
void set_http_connect_timeout(struct http_call *c, uint64_t ms);

/* Calls FN when the call is connected. */
void set_http_connect_callback(struct http_call *c, void (*fn)(void *data));

/* Closes the connection; FN is not called. */
void cancel_http_call(struct http_call *c);

#endif
