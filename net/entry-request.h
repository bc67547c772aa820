#ifndef NET_ENTRY_REQUEST_H
#define NET_ENTRY_REQUEST_H

/* One request at the entry: its caller, its body, its offer, its answer. */

#include <uv.h>

#include "net/http-pool.h"
#include "net/http-server.h"
#include "request/requests.h"

struct entry_request;

/* What open requests share with the entry that holds them. */
struct entry_core {
	uv_loop_t *loop;
	struct requests *requests;
	struct http_pool *pool;
	GHashTable *open; /* handle -> struct entry_request */
	/* Hands EV over; H, if not NULL, receives an arriving handle. */
	void (*step)(struct entry_core *core, const struct request_event *ev,
		     struct entry_request *arriving);
};

/* A request whose head is M arrives at EX for SERVICE. */
void open_entry_request(struct entry_core *core, uint64_t service,
			struct http_exchange *ex, const struct http_message *m);
void take_request_body(struct entry_request *o, const char *part, size_t len);
void take_request_end(struct entry_request *o);
void take_caller_gone(struct entry_request *o);
void take_answer_drained(struct entry_request *o);

/* True once a byte of O may have reached an upstream. */
bool is_request_offered(const struct entry_request *o);

/* Notes the handle that the deciding code gave O. */
void set_request_handle(struct entry_request *o, handle_t h);

/* Refuses O, which the deciding code had no room for. */
void refuse_unopened(struct entry_request *o);

/* Carries A, which is about O, out. */
void carry_out_action(struct entry_request *o, const struct request_action *a);

/* Fills ANSWER to tell OUTCOME. */
void fill_outcome_answer(struct http_message *answer, enum outcome outcome,
			 uint32_t retry_after_ms);

#endif
