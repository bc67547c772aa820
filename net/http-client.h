#ifndef NET_HTTP_CLIENT_H
#define NET_HTTP_CLIENT_H

/*
 * One HTTP/1.1 request to one endpoint, on a connection of its own. Unlike a
 * general client it never sends anything twice and reports whether a byte may
 * have left, since only then may a request be called "not run".
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "net/http-message.h"

struct http_call;

struct http_call_result {
	/*
	 * STATUS_OK: ANSWER is whole. STATUS_UNAVAILABLE: no byte was sent.
	 * STATUS_UNKNOWN: some may have been, and no whole answer came.
	 */
	enum status_kind kind;
	const struct http_message *answer;
};

/*
 * Sends M to EP. FN is called once unless the call is cancelled, also after
 * TIMEOUT_MS without a whole answer.
 */
struct http_call *start_http_call(
	uv_loop_t *loop, const struct endpoint *ep,
	const struct http_message *m, uint64_t timeout_ms, size_t max_answer,
	void (*fn)(const struct http_call_result *r, void *data), void *data);

/* Gives up if there is no connection within MS from now. */
void limit_http_connect(struct http_call *c, uint64_t ms);

/* Closes the connection; FN is not called. */
void cancel_http_call(struct http_call *c);

#endif
