#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

/*
 * An HTTP/1.1 server on the loop. A handler gets one request at a time from
 * each connection, complete through on_request or in parts through on_head,
 * on_body and on_end, and may answer it at any later time. Pipelined requests
 * wait unparsed, in at most about one read buffer for each connection.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "net/http-message.h"

#define HTTP_HEAD_TIMEOUT_MS                                                   \
	10000			  /* from the first byte of a head to its end */
#define HTTP_BODY_PERIOD_MS 10000 /* in each period of this length ... */
#define HTTP_BODY_MIN_BYTES 1024  /* ... at least this much body must arrive */
#define HTTP_IDLE_TIMEOUT_MS 60000 /* for a connection without a request */
#define HTTP_LINGER_MS 2000 /* for the caller to close after the last answer */

struct http_server;

/* A request and its answer. */
struct http_exchange;

struct http_handler {
	/* A complete request; M is valid until the exchange is answered. */
	void (*on_request)(struct http_exchange *ex,
			   const struct http_message *m, void *data);
	/* The caller disconnected unanswered; EX is invalid afterwards. */
	void (*on_caller_left)(struct http_exchange *ex, void *data);
	void *data;
	/* In place of on_request; M as above, with an empty body. */
	void (*on_head)(struct http_exchange *ex, const struct http_message *m,
			void *data);
	void (*on_body)(struct http_exchange *ex, const char *part, size_t len,
			void *data);
	void (*on_end)(struct http_exchange *ex, void *data);
	/* A write of the answer has been completed. */
	void (*on_drained)(struct http_exchange *ex, void *data);
	/* Fills the answer to a request that is refused while it is read. Its
	 * code is preset to CODE and may be changed; on_caller_left follows.
	 * May be NULL. */
	void (*on_error)(struct http_exchange *ex, unsigned int code,
			 struct http_message *answer);
};

/* Listens at EP. NULL with ST filled if that fails. */
struct http_server *
create_http_server(uv_loop_t *loop, const struct endpoint *ep, size_t max_body,
		   const struct http_handler *handler, struct status *st);

/* Accepts no new connections and closes idle ones; requests continue. */
void stop_http_server(struct http_server *s);

/* Closes all connections; memory is freed when the loop runs next. */
void destroy_http_server(struct http_server *s);

/* Number of requests passed to the handler and not yet answered. */
size_t http_server_running_requests(const struct http_server *s);

/* Takes ownership of ANSWER, sends it and ends EX. */
void answer_http(struct http_exchange *ex, struct http_message *answer);

/* Closes the connection of EX without an answer. */
void close_http_exchange(struct http_exchange *ex);

/* Sends LEN bytes without framing, as part of an answer that never ends. */
void write_http_unframed(struct http_exchange *ex, const void *data,
			 size_t len);

/* Takes ownership of ANSWER and sends its head; its body of LENGTH bytes, or
 * in chunks if that is HTTP_LENGTH_UNKNOWN, follows in parts. */
void begin_http_answer(struct http_exchange *ex, struct http_message *answer,
		       uint64_t length);
void add_http_answer(struct http_exchange *ex, const void *part, size_t len);
void end_http_answer(struct http_exchange *ex);

/* Bytes of the answer that are not sent yet. */
size_t http_answer_backlog(const struct http_exchange *ex);

/* Closes the connection since the answer that was begun cannot be completed. */
void abort_http_answer(struct http_exchange *ex);

/* Stops and resumes reading the request's body. */
void pause_http_request(struct http_exchange *ex);
void resume_http_request(struct http_exchange *ex);

/* A pointer that the handler may attach to an exchange. */
void set_exchange_data(struct http_exchange *ex, void *data);
void *get_exchange_data(const struct http_exchange *ex);

#endif
