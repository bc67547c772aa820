#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

/*
 * An HTTP/1.1 server on the loop. A handler gets one whole request at a time
 * from each connection and answers it whenever it can.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "net/http-message.h"

struct http_server;

/* One request that waits for its answer. */
struct http_exchange;

struct http_handler {
	/* A whole request; M lives until the exchange is answered. */
	void (*on_request)(struct http_exchange *ex,
			   const struct http_message *m, void *data);
	/* The caller left before the answer; EX is gone after the call. */
	void (*on_gone)(struct http_exchange *ex, void *data);
	void *data;
};

/* Listens at EP. NULL with ST filled if that fails. */
struct http_server *
create_http_server(uv_loop_t *loop, const struct endpoint *ep, size_t max_body,
		   const struct http_handler *handler, struct status *st);

/* Stops taking connections and closes idle ones; running requests go on. */
void stop_http_server(struct http_server *s);

/* Closes everything; memory goes when the loop has run. */
void destroy_http_server(struct http_server *s);

/* Requests handed out and not yet answered. */
size_t http_server_running(const struct http_server *s);

/* Sends ANSWER (taken over) and ends EX. */
void answer_http(struct http_exchange *ex, struct http_message *answer);

/* Closes the connection of EX without an answer. */
void drop_http(struct http_exchange *ex);

/* Sends LEN bytes as they are, as part of an answer that never ends. */
void write_http_raw(struct http_exchange *ex, const void *data, size_t len);

/* Per-exchange pointer of the handler's. */
void set_exchange_data(struct http_exchange *ex, void *data);
void *exchange_data(const struct http_exchange *ex);

#endif
