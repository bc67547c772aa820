#ifndef NET_FRONTEND_H
#define NET_FRONTEND_H

/*
 * The HTTP frontend: listens for each request service, reports events to the
 * request logic of request/requests.h and executes its actions. Bodies are
 * streamed in bounded memory. docs/HTTP.md is its contract with callers and
 * upstreams.
 */

#include <uv.h>

#include "config/settings.h"
#include "net/peers.h"
#include "request/requests.h"

/* Bytes of a request body buffered for a retry; a longer one is sent once. */
#define FRONTEND_RETRY_BODY_MAX (64 * 1024)
/* Bytes of an answer buffered before it is streamed to the caller. */
#define FRONTEND_ANSWER_BUFFER_MAX (64 * 1024)
/* Unsent bytes of a request or answer beyond which reading pauses. */
#define FRONTEND_BACKLOG_MAX (256 * 1024)

struct frontend;

struct frontend *create_frontend(uv_loop_t *loop,
				 const struct settings *settings,
				 struct requests *requests);

/* Exchanges messages about idempotency keys with other instances over PS. */
void set_frontend_peers(struct frontend *fe, struct peers *ps);

/* Starts and stops listeners so that they match the services of SN. */
void set_frontend_snapshot(struct frontend *fe, const struct snapshot *sn);

/* Accepts no new requests; those already accepted continue. */
void stop_frontend(struct frontend *fe);

/* True if all accepted requests are answered. */
bool is_frontend_idle(const struct frontend *fe);
void destroy_frontend(struct frontend *fe);

#endif
