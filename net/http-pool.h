#ifndef NET_HTTP_POOL_H
#define NET_HTTP_POOL_H

/*
 * HTTP/1.1 calls to upstreams over reused connections; requests and answers are
 * streamed in parts. A call never sends a request twice, and it reports whether
 * any byte may have been sent: only a request of which no byte was sent can be
 * reported to callers as "not run". A call that must not run twice needs a
 * fresh connection: if a reused one breaks, it is unknown whether the upstream
 * had received the request.
 *
 * A reused connection that delivers nothing for HTTP_SILENT_MS after the end of
 * the request is reported as silent, once. The call continues; cancelling it
 * closes the connection.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "net/http-message.h"

#define POOL_IDLE_TIMEOUT_MS 4000 /* then an idle connection is closed */
#define HTTP_CONNECT_TIMEOUT_MS 1000
#define HTTP_SILENT_MS 1000
#define HTTP_UNACKED_TIMEOUT_MS 2000 /* TCP_USER_TIMEOUT */

struct http_pool;
struct pool_call;

struct pool_call_handler {
	void (*on_head)(const struct http_message *m, void *data);
	void (*on_body)(const char *part, size_t len, void *data);
	void (*on_end)(void *data); /* the call is invalid afterwards */
	/* The call failed and is invalid afterwards; SENT: a byte of the
 * request may have been sent, REUSED: on a reused connection. */
	void (*on_failed)(bool sent, bool reused, void *data);
	void (*on_silent)(void *data);	/* see above; the call continues */
	void (*on_drained)(void *data); /* a write has been completed */
};

struct http_pool *create_http_pool(uv_loop_t *loop, size_t max_body);
void destroy_http_pool(struct http_pool *p);

/*
 * Sends the head of M to EP; the body follows with add_call_body(), LENGTH
 * bytes or chunks if LENGTH is HTTP_LENGTH_UNKNOWN. FRESH: not on a reused
 * connection. HANDLER must live as long as the call.
 */
struct pool_call *
start_pool_call(struct http_pool *p, const struct endpoint *ep,
		const struct http_message *m, uint64_t length, bool fresh,
		const struct pool_call_handler *handler, void *data);
void add_call_body(struct pool_call *c, const void *part, size_t len);
void end_call_body(struct pool_call *c);

/* Bytes of the request that wait to be sent. */
size_t call_backlog(const struct pool_call *c);

/* Stops and resumes reading the answer. */
void pause_call(struct pool_call *c);
void resume_call(struct pool_call *c);

/* Cancels the call by closing its connection; HANDLER is not called again. */
void cancel_pool_call(struct pool_call *c);

#endif
