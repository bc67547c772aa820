#ifndef NET_HTTP_POOL_H
#define NET_HTTP_POOL_H

/*
 * HTTP/1.1 calls to upstreams, in parts, on connections that are used again.
 * A call never sends anything twice and reports whether a byte may have left,
 * since only then may a request be called "not run". A call that must not be
 * doubled asks for a fresh connection: on a reused one it could not be told
 * whether a connection that broke had taken the request.
 *
 * A reused connection is judged by its own progress: one that brings nothing
 * for HTTP_SILENT_MS after the request is reported as silent, and is dropped
 * with its call.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "net/http-message.h"

#define POOL_IDLE_MS 4000 /* an idle connection is closed after this */
#define HTTP_CONNECT_MS 1000
#define HTTP_SILENT_MS 1000
#define HTTP_UNACKED_MS 2000 /* TCP_USER_TIMEOUT */

struct http_pool;
struct pool_call;

struct pool_call_handler {
	void (*on_head)(const struct http_message *m, void *data);
	void (*on_body)(const char *part, size_t len, void *data);
	void (*on_end)(void *data); /* the call is gone after it */
	/* It broke off; SENT: a byte may have left. Gone after it. */
	void (*on_failed)(bool sent, bool reused, void *data);
	void (*on_silent)(void *data);	/* see above; the call goes on */
	void (*on_drained)(void *data); /* what was written has left */
};

struct http_pool *create_http_pool(uv_loop_t *loop, size_t max_answer);
void destroy_http_pool(struct http_pool *p);

/*
 * Sends the head of M to EP; LENGTH bytes of body follow, or chunks. HANDLER
 * lives as long as the call.
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

/* Closes the connection, which cancels; nothing more is reported. */
void cancel_pool_call(struct pool_call *c);

#endif
