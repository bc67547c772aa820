#ifndef NET_FRONTEND_REQUEST_H
#define NET_FRONTEND_REQUEST_H

/*
 * One HTTP request at the frontend: connects its caller's exchange, the call to
 * an upstream and the request logic of request/requests.h.
 */

#include <uv.h>

#include "net/http-pool.h"
#include "net/http-server.h"
#include "request/requests.h"

struct frontend_request;

/* The part of a frontend that its open requests use. */
struct frontend_core {
	uv_loop_t *loop;
	struct requests *requests;
	struct http_pool *pool;
	GHashTable *open_requests; /* handle -> struct frontend_request */
	/* Reports EV to the request logic and executes its actions; an ARRIVING
	 * request gets its handle, or is refused if it gets none. */
	void (*step)(struct frontend_core *core, const struct request_event *ev,
		     struct frontend_request *arriving);
};

/* Opens a request for SERVICE, whose head M arrived on EX. */
void open_frontend_request(struct frontend_core *core, uint64_t service,
			   struct http_exchange *ex,
			   const struct http_message *m);
void handle_request_body(struct frontend_request *fr, const char *part,
			 size_t len);
void handle_request_end(struct frontend_request *fr);
void handle_caller_gone(struct frontend_request *fr);
void handle_answer_drained(struct frontend_request *fr);

/*
 * Whether a part of LEN bytes joins the KEPT bytes of a body that is kept to be
 * sent again. Before the call to an upstream starts all parts are kept, as none
 * was sent; reading pauses then at FRONTEND_RETRY_BODY_MAX.
 */
bool keeps_body_part(size_t kept, size_t len, bool call_started);

/* True once a byte of FR may have reached an upstream. */
bool is_request_attempted(const struct frontend_request *fr);

/* Stores the handle that the request logic assigned to FR. */
void set_request_handle(struct frontend_request *fr, handle_t h);

/* Refuses FR, since the request logic has too many open requests. */
void refuse_unopened_request(struct frontend_request *fr);

/* Executes A, an action for FR; may free FR. */
void execute_request_action(struct frontend_request *fr,
			    const struct request_action *a);

/* Fills ANSWER with the code, headers and text of OUTCOME. */
void fill_outcome_answer(struct http_message *answer, enum outcome outcome,
			 uint32_t retry_after_ms);

#endif
