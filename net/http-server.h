#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

/*
 * An HTTP/1.1 server on the loop. A handler gets one request at a time from
 * each connection and answers it whenever it can: whole through on_request, or
 * in parts through on_head, on_body and on_end. No more is read from a
 * connection while its request is unanswered and whole, so a caller that
 * pipelines holds no memory here but one buffer.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "net/http-message.h"

#define HTTP_HEAD_MS 10000   /* longest from a head's first byte to its last */
#define HTTP_BODY_MS 10000   /* in each such time ... */
#define HTTP_BODY_BYTES 1024 /* ... a body must bring so much */
#define HTTP_IDLE_MS 60000   /* a connection without a request is closed */
#define HTTP_LINGER_MS 2000  /* unread input is drained so long after a close */

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
	/* In place of on_request; M as above, its body stays empty. */
	void (*on_head)(struct http_exchange *ex, const struct http_message *m,
			void *data);
	void (*on_body)(struct http_exchange *ex, const char *part, size_t len,
			void *data);
	void (*on_end)(struct http_exchange *ex, void *data);
	/* What was written has left. */
	void (*on_drained)(struct http_exchange *ex, void *data);
	/* Fills the answer, with HTTP CODE unless changed, to a request that is
	 * refused while it is read; on_gone follows. May be NULL. */
	void (*on_error)(struct http_exchange *ex, unsigned int code,
			 struct http_message *answer);
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

/* Sends the head of ANSWER, whose body of LENGTH bytes follows in parts. */
void begin_http_answer(struct http_exchange *ex, struct http_message *answer,
		       uint64_t length);
void add_http_answer(struct http_exchange *ex, const void *part, size_t len);
void end_http_answer(struct http_exchange *ex);

/* Bytes of the answer that wait to be sent. */
size_t http_answer_backlog(const struct http_exchange *ex);

/* Closes the connection: the answer that was begun cannot be ended. */
void cut_http_answer(struct http_exchange *ex);

/* Stops and resumes reading the request's body. */
void pause_http_request(struct http_exchange *ex);
void resume_http_request(struct http_exchange *ex);

/* Per-exchange pointer of the handler's. */
void set_exchange_data(struct http_exchange *ex, void *data);
void *exchange_data(const struct http_exchange *ex);

#endif
