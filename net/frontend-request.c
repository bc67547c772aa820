#include "net/frontend-request.h"

#include <string.h>
#include <xxhash.h>

#include "net/frontend.h"
#include "net/stored-answer.h"

#define HEADER_DEADLINE "Baobabvalve-Deadline"
#define HEADER_OUTCOME "Baobabvalve-Outcome"
#define HEADER_RESEND "Baobabvalve-Resend"
#define HEADER_REPLAYED "Baobabvalve-Replayed"
#define HEADER_RETRY_MS "Baobabvalve-Retry-After-Ms"
#define HEADER_KEY "Idempotency-Key"
#define HEADER_KEY_AGE "Baobabvalve-Key-Age"
#define DEADLINE_MS_MAX (10 * 60 * 1000)
#define UNOPENED_RETRY_MS 5000 /* Retry-After if too many requests are open */
#define KEY_AGE_MS_MAX (24 * 60 * 60 * 1000)

struct frontend_request {
	struct frontend_core *core;
	uint64_t service_id;
	handle_t handle; /* of the request logic; 0 until reported to it */
	struct http_exchange *ex;  /* NULL once the caller has left */
	struct http_message *head; /* as sent to the upstream */
	GByteArray *body;	 /* buffered for a retry; see body_overflowed */
	XXH3_state_t *body_hash; /* of the whole body */
	bool body_complete;	 /* the caller has sent all of it */
	bool body_overflowed; /* too long for BODY: it cannot be sent again */
	bool attempted;	      /* sent to an upstream at least once */
	bool discarding_body; /* further body bytes are hashed, not sent */
	struct pool_call *call;
	struct http_message *answer; /* head and buffered part of the body */
	uint64_t answer_length; /* bytes of body, as the upstream announced */
	bool relaying_answer;	/* its head has been sent to the caller */
};

static void step_request(struct frontend_request *fr, struct request_event *ev)
{
	ev->request = fr->handle;
	ev->body_repeatable = !fr->body_overflowed;
	fr->core->step(fr->core, ev, NULL);
}

static void free_request(struct frontend_request *fr)
{
	if (fr->call)
		cancel_pool_call(fr->call);
	if (fr->ex)
		set_exchange_data(fr->ex, NULL);
	if (fr->handle)
		g_hash_table_remove(fr->core->open_requests,
				    GUINT_TO_POINTER(fr->handle));
	destroy_http_message(fr->head);
	destroy_http_message(fr->answer);
	g_byte_array_free(fr->body, TRUE);
	XXH3_freeState(fr->body_hash);
	g_free(fr);
}

void fill_outcome_answer(struct http_message *m, enum outcome outcome,
			 uint32_t retry_after_ms)
{
	const struct outcome_row *row = find_outcome_row(outcome);
	char text[16];

	m->code = row->code;
	add_http_header(m, HEADER_OUTCOME, row->name);
	add_http_header(m, HEADER_RESEND, resend_name(row->resend));
	add_http_header(m, "Content-Type", "text/plain");
	if (retry_after_ms) {
		g_snprintf(text, sizeof(text), "%u",
			   (retry_after_ms + 999) / 1000);
		add_http_header(m, "Retry-After", text);
		g_snprintf(text, sizeof(text), "%u", retry_after_ms);
		add_http_header(m, HEADER_RETRY_MS, text);
	}
	set_http_body(m, row->text);
	g_byte_array_append(m->body, (const guint8 *)"\n", 1);
}

static struct http_message *copy_head(const struct http_message *from)
{
	struct http_message *m = create_http_message();

	m->method = from->method;
	m->code = from->code;
	m->target = g_strdup(from->target);
	m->length = from->length;
	for (guint i = 0; i < from->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(from->headers, struct http_header, i);

		add_http_header(m, h->name, h->value);
	}
	return m;
}

static bool is_idempotent(const struct http_message *m)
{
	switch (m->method) {
	case HTTP_GET:
	case HTTP_HEAD:
	case HTTP_PUT:
	case HTTP_DELETE:
	case HTTP_OPTIONS:
		return true;
	default:
		return false;
	}
}

static guint64 read_number(const struct http_message *m, const char *name,
			   guint64 min, guint64 max, guint64 fallback)
{
	const char *text = find_http_header(m, name);
	guint64 n;

	if (!text || !g_ascii_string_to_unsigned(text, 10, min, max, &n, NULL))
		return fallback;
	return n;
}

/*
 * Hash of method, target, content type and buffered body, to detect an
 * idempotency key that is reused for another request.
 */
static uint64_t digest_request(const struct frontend_request *fr)
{
	const char *type = find_http_header(fr->head, "Content-Type");
	uint64_t digest = XXH64(fr->head->target, strlen(fr->head->target),
				fr->head->method);

	digest = XXH64(type ? type : "", type ? strlen(type) : 0, digest);
	return XXH64(fr->body->data, fr->body->len, digest);
}

/* Reports the request to the request logic. */
static void report_arrival(struct frontend_request *fr)
{
	const char *key = find_http_header(fr->head, HEADER_KEY);
	struct request_event ev = {
		.kind = REQUEST_ARRIVED,
		.service = fr->service_id,
		.idempotent = is_idempotent(fr->head),
		.has_key = key && *key,
		.deadline_ms = (uint32_t)read_number(fr->head, HEADER_DEADLINE,
						     1, DEADLINE_MS_MAX, 0),
		.key_age_ms = read_number(fr->head, HEADER_KEY_AGE, 0,
					  KEY_AGE_MS_MAX, KEY_AGE_UNKNOWN),
	};

	if (ev.has_key) {
		ev.key = hash_request_key(fr->service_id, key);
		ev.request_digest = digest_request(fr);
	}
	fr->core->step(fr->core, &ev, fr);
}

static void report_body_read(struct frontend_request *fr)
{
	struct request_event ev = { .kind = REQUEST_BODY_READ,
				    .body_digest =
					    XXH3_64bits_digest(fr->body_hash) };

	step_request(fr, &ev);
}

void set_request_handle(struct frontend_request *fr, handle_t h)
{
	fr->handle = h;
	g_hash_table_insert(fr->core->open_requests, GUINT_TO_POINTER(h), fr);
}

void open_frontend_request(struct frontend_core *core, uint64_t service,
			   struct http_exchange *ex,
			   const struct http_message *m)
{
	struct frontend_request *fr = g_new0(struct frontend_request, 1);

	fr->core = core;
	fr->service_id = service;
	fr->ex = ex;
	fr->head = copy_head(m);
	fr->body = g_byte_array_new();
	fr->body_hash = XXH3_createState();
	XXH3_64bits_reset(fr->body_hash);
	set_exchange_data(ex, fr);
}

bool keeps_body_part(size_t kept, size_t len, bool call_started)
{
	if (!call_started)
		return true;
	/* the last part before the call may have passed the limit */
	return kept < FRONTEND_RETRY_BODY_MAX &&
	       len <= FRONTEND_RETRY_BODY_MAX - kept;
}

void handle_request_body(struct frontend_request *fr, const char *part,
			 size_t len)
{
	XXH3_64bits_update(fr->body_hash, part, len);
	if (fr->discarding_body)
		return;
	if (fr->call)
		add_call_body(fr->call, part, len);
	if (!fr->body_overflowed &&
	    keeps_body_part(fr->body->len, len, fr->call))
		g_byte_array_append(fr->body, (const guint8 *)part, (guint)len);
	else
		fr->body_overflowed = true;
	if (fr->call && call_backlog(fr->call) > FRONTEND_BACKLOG_MAX)
		pause_http_request(fr->ex);
	if (fr->call || fr->body->len < FRONTEND_RETRY_BODY_MAX)
		return;
	pause_http_request(fr->ex);
	if (!fr->handle)
		report_arrival(fr);
}

void handle_request_end(struct frontend_request *fr)
{
	struct http_exchange *ex = fr->ex;

	fr->body_complete = true;
	if (!fr->handle)
		report_arrival(fr);
	/* the call above may have answered and freed the request */
	if (get_exchange_data(ex) != fr)
		return;
	if (fr->call)
		end_call_body(fr->call);
	report_body_read(fr);
}

bool is_request_attempted(const struct frontend_request *fr)
{
	return fr->attempted;
}

void handle_caller_gone(struct frontend_request *fr)
{
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT };

	fr->ex = NULL;
	if (fr->handle)
		step_request(fr, &ev);
	else
		free_request(fr);
}

void handle_answer_drained(struct frontend_request *fr)
{
	if (fr->call && fr->relaying_answer &&
	    http_answer_backlog(fr->ex) < FRONTEND_BACKLOG_MAX / 2)
		resume_call(fr->call);
}

static bool is_shed_answer(const struct http_message *answer)
{
	const char *outcome = find_http_header(answer, HEADER_OUTCOME);

	return answer->code == 503 && outcome &&
	       !strcmp(outcome, find_outcome_row(OUTCOME_NOT_RUN)->name);
}

static void on_call_head(const struct http_message *m, void *data)
{
	struct frontend_request *fr = data;

	destroy_http_message(fr->answer);
	fr->answer = copy_head(m);
	fr->answer_length = m->length;
}

static void report_answer_begun(struct frontend_request *fr)
{
	struct request_event ev = { .kind = REQUEST_ANSWER_STARTED };

	step_request(fr, &ev);
}

static void on_call_body(const char *part, size_t len, void *data)
{
	struct frontend_request *fr = data;

	if (!fr->relaying_answer) {
		g_byte_array_append(fr->answer->body, (const guint8 *)part,
				    (guint)len);
		if (fr->answer->body->len >= FRONTEND_ANSWER_BUFFER_MAX &&
		    !is_shed_answer(fr->answer))
			report_answer_begun(fr);
		return;
	}
	if (!fr->ex)
		return;
	add_http_answer(fr->ex, part, len);
	/* sending may detect that the caller has left, and end the request */
	if (fr->ex && http_answer_backlog(fr->ex) > FRONTEND_BACKLOG_MAX &&
	    fr->call)
		pause_call(fr->call);
}

/*
 * Reports a complete answer; that of a keyed request is encoded, if it is short
 * enough, so that replicas can replay it when the caller resends the request.
 */
static void report_answered(struct frontend_request *fr)
{
	struct request_event ev = { .kind = REQUEST_ANSWERED };
	struct wire_writer w;

	init_wire_writer(&w);
	if (find_http_header(fr->head, HEADER_KEY) &&
	    fr->answer->body->len < STORED_ANSWER_MAX_BYTES) {
		encode_stored_answer(&w, fr->answer);
		ev.data = w.buf.data;
		ev.len = w.buf.size;
	}
	step_request(fr, &ev);
	release_wire_writer(&w);
}

static void on_call_end(void *data)
{
	struct frontend_request *fr = data;
	struct request_event ev = { .kind = REQUEST_SHED };

	fr->call = NULL;
	if (fr->relaying_answer) {
		ev.kind = REQUEST_ANSWER_ENDED;
		step_request(fr, &ev);
	} else if (is_shed_answer(fr->answer)) {
		step_request(fr, &ev);
	} else {
		report_answered(fr);
	}
}

static void on_call_failed(bool sent, bool reused, void *data)
{
	struct frontend_request *fr = data;
	struct request_event ev = { .kind = sent ? REQUEST_LOST
						 : REQUEST_NOT_SENT,
				    .connection_reused = reused };

	fr->call = NULL;
	step_request(fr, &ev);
}

static void on_call_silent(void *data)
{
	struct request_event ev = { .kind = REQUEST_SILENT };

	step_request(data, &ev);
}

static void on_call_drained(void *data)
{
	struct frontend_request *fr = data;

	if (fr->ex && !fr->body_complete && fr->call &&
	    call_backlog(fr->call) < FRONTEND_BACKLOG_MAX / 2)
		resume_http_request(fr->ex);
}

static const struct pool_call_handler call_handler = {
	on_call_head,	on_call_body,	on_call_end,
	on_call_failed, on_call_silent, on_call_drained
};

/* Replaces the caller's deadline with the time that remains of it. */
static void set_deadline(struct http_message *m, uint32_t ms)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", ms);
	remove_http_header(m, HEADER_DEADLINE);
	add_http_header(m, HEADER_DEADLINE, text);
}

static void start_attempt(struct frontend_request *fr,
			  const struct request_action *a)
{
	uint64_t length = fr->body_complete ? fr->body->len : fr->head->length;

	if (fr->call)
		cancel_pool_call(fr->call);
	destroy_http_message(fr->answer);
	fr->answer = NULL;
	fr->attempted = true;
	set_deadline(fr->head, a->timeout_ms);
	fr->call =
		start_pool_call(fr->core->pool, &a->address, fr->head, length,
				a->needs_new_connection, &call_handler, fr);
	add_call_body(fr->call, fr->body->data, fr->body->len);
	if (fr->body_complete)
		end_call_body(fr->call);
	else if (fr->ex)
		resume_http_request(fr->ex);
}

static void set_outcome_answered(struct http_message *m)
{
	remove_http_header(m, HEADER_OUTCOME);
	add_http_header(m, HEADER_OUTCOME,
			find_outcome_row(OUTCOME_ANSWERED)->name);
}

/* Sends the head of the answer and the part of its body received so far. */
static void begin_answer_relay(struct frontend_request *fr, uint64_t length)
{
	struct http_message *head = copy_head(fr->answer);
	struct http_exchange *ex = fr->ex;

	fr->relaying_answer = true;
	if (!ex)
		return;
	set_outcome_answered(head);
	begin_http_answer(ex, head, length);
	if (fr->ex)
		add_http_answer(ex, fr->answer->body->data,
				fr->answer->body->len);
	g_byte_array_set_size(fr->answer->body, 0);
}

static void relay_answer(struct frontend_request *fr,
			 const struct request_action *a)
{
	struct http_exchange *ex;

	if (!fr->relaying_answer)
		begin_answer_relay(fr, a->is_final ? fr->answer->body->len
						   : fr->answer_length);
	if (!a->is_final)
		return;
	ex = fr->ex;
	free_request(fr);
	if (ex)
		end_http_answer(ex);
}

static void answer_and_free(struct frontend_request *fr, struct http_message *m)
{
	struct http_exchange *ex = fr->ex;

	free_request(fr);
	if (ex)
		answer_http(ex, m);
	else
		destroy_http_message(m);
}

static void replay_answer(struct frontend_request *fr,
			  const struct request_action *a)
{
	struct http_message *m = decode_stored_answer(a->data, a->len);

	if (!m) {
		m = create_http_message();
		fill_outcome_answer(m, OUTCOME_DONE, 0);
	} else {
		set_outcome_answered(m);
		add_http_header(m, HEADER_REPLAYED, "true");
	}
	answer_and_free(fr, m);
}

static void refuse_request(struct frontend_request *fr,
			   const struct request_action *a)
{
	struct http_message *m = create_http_message();

	fill_outcome_answer(m, a->outcome, a->retry_after_ms);
	answer_and_free(fr, m);
}

static void abort_answer(struct frontend_request *fr)
{
	struct http_exchange *ex = fr->ex;

	free_request(fr);
	if (ex)
		abort_http_answer(ex);
}

void refuse_unopened_request(struct frontend_request *fr)
{
	struct request_action a = { .kind = REQUEST_REFUSE,
				    .outcome = OUTCOME_NOT_RUN,
				    .retry_after_ms = UNOPENED_RETRY_MS };

	refuse_request(fr, &a);
}

void execute_request_action(struct frontend_request *fr,
			    const struct request_action *a)
{
	switch (a->kind) {
	case REQUEST_ATTEMPT:
		start_attempt(fr, a);
		break;
	case REQUEST_RELAY:
		relay_answer(fr, a);
		break;
	case REQUEST_REPLAY:
		replay_answer(fr, a);
		break;
	case REQUEST_REFUSE:
		refuse_request(fr, a);
		break;
	case REQUEST_DISCARD_BODY:
		fr->discarding_body = true;
		if (fr->ex)
			resume_http_request(fr->ex);
		break;
	case REQUEST_CUT:
		abort_answer(fr);
		break;
	case REQUEST_CANCEL:
		free_request(fr);
		break;
	case REQUEST_SEND_PEER:
		break;
	}
}
