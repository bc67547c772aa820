#include "net/entry-request.h"

#include <string.h>
#include <xxhash.h>

#include "net/entry.h"
#include "net/kept-answer.h"

#define HEADER_DEADLINE "Baobabvalve-Deadline"
#define HEADER_OUTCOME "Baobabvalve-Outcome"
#define HEADER_RESEND "Baobabvalve-Resend"
#define HEADER_REPLAYED "Baobabvalve-Replayed"
#define HEADER_RETRY_MS "Baobabvalve-Retry-After-Ms"
#define HEADER_KEY "Idempotency-Key"
#define HEADER_KEY_AGE "Baobabvalve-Key-Age"
#define DEADLINE_MS_MAX (10 * 60 * 1000)
#define UNOPENED_RETRY_MS 5000 /* when too many requests are open */
#define KEY_AGE_MS_MAX (24 * 60 * 60 * 1000)

struct entry_request {
	struct entry_core *core;
	uint64_t service;
	handle_t handle;	   /* 0 until it has arrived */
	struct http_exchange *ex;  /* NULL once the caller is gone */
	struct http_message *head; /* as passed on to the upstream */
	GByteArray *body;	   /* its first ENTRY_BODY_KEPT bytes */
	XXH3_state_t *hash;	   /* over the body */
	bool body_whole;	   /* the caller has sent all of it */
	bool body_passed;	   /* more than is kept went to the upstream */
	bool offered;		   /* at least once */
	bool discarding;	   /* the body is only hashed */
	struct pool_call *call;
	struct http_message *answer; /* head and first part of the body */
	uint64_t answer_length;
	bool relaying; /* the answer streams to the caller */
};

static void step(struct entry_request *o, struct request_event *ev)
{
	ev->request = o->handle;
	ev->repeatable = !o->body_passed;
	o->core->step(o->core, ev, NULL);
}

static void free_request(struct entry_request *o)
{
	if (o->call)
		cancel_pool_call(o->call);
	if (o->ex)
		set_exchange_data(o->ex, NULL);
	if (o->handle)
		g_hash_table_remove(o->core->open, GUINT_TO_POINTER(o->handle));
	destroy_http_message(o->head);
	destroy_http_message(o->answer);
	g_byte_array_free(o->body, TRUE);
	XXH3_freeState(o->hash);
	g_free(o);
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
			   guint64 min, guint64 max, guint64 otherwise)
{
	const char *text = find_http_header(m, name);
	guint64 n;

	if (!text || !g_ascii_string_to_unsigned(text, 10, min, max, &n, NULL))
		return otherwise;
	return n;
}

/* Hash of what tells one request from another under the same key. */
static uint64_t digest_request(const struct entry_request *o)
{
	const char *type = find_http_header(o->head, "Content-Type");
	uint64_t digest = XXH64(o->head->target, strlen(o->head->target),
				o->head->method);

	digest = XXH64(type ? type : "", type ? strlen(type) : 0, digest);
	return XXH64(o->body->data, o->body->len, digest);
}

/* Hands the request to the deciding code. */
static void arrive(struct entry_request *o)
{
	const char *key = find_http_header(o->head, HEADER_KEY);
	struct request_event ev = {
		.kind = REQUEST_ARRIVED,
		.service = o->service,
		.idempotent = is_idempotent(o->head),
		.has_key = key && *key,
		.deadline_ms = (uint32_t)read_number(o->head, HEADER_DEADLINE,
						     1, DEADLINE_MS_MAX, 0),
		.age_ms = read_number(o->head, HEADER_KEY_AGE, 0,
				      KEY_AGE_MS_MAX, KEY_AGE_UNKNOWN),
	};

	if (ev.has_key) {
		ev.key = hash_request_key(o->service, key);
		ev.digest = digest_request(o);
	}
	o->core->step(o->core, &ev, o);
}

static void tell_body_read(struct entry_request *o)
{
	struct request_event ev = { .kind = REQUEST_BODY_READ,
				    .body_digest =
					    XXH3_64bits_digest(o->hash) };

	step(o, &ev);
}

void set_request_handle(struct entry_request *o, handle_t h)
{
	o->handle = h;
	g_hash_table_insert(o->core->open, GUINT_TO_POINTER(h), o);
}

void open_entry_request(struct entry_core *core, uint64_t service,
			struct http_exchange *ex, const struct http_message *m)
{
	struct entry_request *o = g_new0(struct entry_request, 1);

	o->core = core;
	o->service = service;
	o->ex = ex;
	o->head = copy_head(m);
	o->body = g_byte_array_new();
	o->hash = XXH3_createState();
	XXH3_64bits_reset(o->hash);
	set_exchange_data(ex, o);
}

void take_request_body(struct entry_request *o, const char *part, size_t len)
{
	size_t room = ENTRY_BODY_KEPT - o->body->len;

	XXH3_64bits_update(o->hash, part, len);
	if (o->discarding)
		return;
	if (o->call)
		add_call_body(o->call, part, len);
	if (!o->body_passed && (len <= room || !o->call))
		g_byte_array_append(o->body, (const guint8 *)part, (guint)len);
	else
		o->body_passed = true;
	if (o->call && call_backlog(o->call) > ENTRY_BACKLOG_MAX)
		pause_http_request(o->ex);
	if (o->call || o->body->len < ENTRY_BODY_KEPT)
		return;
	pause_http_request(o->ex);
	if (!o->handle)
		arrive(o);
}

void take_request_end(struct entry_request *o)
{
	struct http_exchange *ex = o->ex;

	o->body_whole = true;
	if (!o->handle)
		arrive(o);
	/* The request may be answered by now, and gone. */
	if (exchange_data(ex) != o)
		return;
	if (o->call)
		end_call_body(o->call);
	tell_body_read(o);
}

bool is_request_offered(const struct entry_request *o)
{
	return o->offered;
}

void take_caller_gone(struct entry_request *o)
{
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT };

	o->ex = NULL;
	if (o->handle)
		step(o, &ev);
	else
		free_request(o);
}

void take_answer_drained(struct entry_request *o)
{
	if (o->call && o->relaying &&
	    http_answer_backlog(o->ex) < ENTRY_BACKLOG_MAX / 2)
		resume_call(o->call);
}

static bool is_shed(const struct http_message *answer)
{
	const char *outcome = find_http_header(answer, HEADER_OUTCOME);

	return answer->code == 503 && outcome &&
	       !strcmp(outcome, find_outcome_row(OUTCOME_NOT_RUN)->name);
}

static void on_call_head(const struct http_message *m, void *data)
{
	struct entry_request *o = data;

	destroy_http_message(o->answer);
	o->answer = copy_head(m);
	o->answer_length = m->length;
}

static void start_relaying(struct entry_request *o)
{
	struct request_event ev = { .kind = REQUEST_BEGUN };

	step(o, &ev);
}

static void on_call_body(const char *part, size_t len, void *data)
{
	struct entry_request *o = data;

	if (!o->relaying) {
		g_byte_array_append(o->answer->body, (const guint8 *)part,
				    (guint)len);
		if (o->answer->body->len >= ENTRY_ANSWER_KEPT &&
		    !is_shed(o->answer))
			start_relaying(o);
		return;
	}
	if (!o->ex)
		return;
	add_http_answer(o->ex, part, len);
	/* Sending may find the caller gone, and end the request. */
	if (o->ex && http_answer_backlog(o->ex) > ENTRY_BACKLOG_MAX && o->call)
		pause_call(o->call);
}

/* Tells of a whole answer, with what is kept of it for resends. */
static void tell_answered(struct entry_request *o)
{
	struct request_event ev = { .kind = REQUEST_ANSWERED };
	struct wire_writer w;

	init_wire_writer(&w);
	if (find_http_header(o->head, HEADER_KEY) &&
	    o->answer->body->len < KEPT_ANSWER_MAX) {
		encode_kept_answer(&w, o->answer);
		ev.data = w.buf.data;
		ev.len = w.buf.size;
	}
	step(o, &ev);
	release_wire_writer(&w);
}

static void on_call_end(void *data)
{
	struct entry_request *o = data;
	struct request_event ev = { .kind = REQUEST_SHED };

	o->call = NULL;
	if (o->relaying) {
		ev.kind = REQUEST_ENDED;
		step(o, &ev);
	} else if (is_shed(o->answer)) {
		step(o, &ev);
	} else {
		tell_answered(o);
	}
}

static void on_call_failed(bool sent, bool reused, void *data)
{
	struct entry_request *o = data;
	struct request_event ev = { .kind = sent ? REQUEST_LOST
						 : REQUEST_NOT_SENT,
				    .reused = reused };

	o->call = NULL;
	step(o, &ev);
}

static void on_call_silent(void *data)
{
	struct request_event ev = { .kind = REQUEST_SILENT };

	step(data, &ev);
}

static void on_call_drained(void *data)
{
	struct entry_request *o = data;

	if (o->ex && !o->body_whole && o->call &&
	    call_backlog(o->call) < ENTRY_BACKLOG_MAX / 2)
		resume_http_request(o->ex);
}

static const struct pool_call_handler call_handler = {
	on_call_head,	on_call_body,	on_call_end,
	on_call_failed, on_call_silent, on_call_drained
};

/* Replaces the caller's deadline with what is left of it for the upstream. */
static void set_deadline(struct http_message *m, uint32_t ms)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", ms);
	remove_http_header(m, HEADER_DEADLINE);
	add_http_header(m, HEADER_DEADLINE, text);
}

static void start_offer(struct entry_request *o, const struct request_action *a)
{
	uint64_t length = o->body_whole ? o->body->len : o->head->length;

	if (o->call)
		cancel_pool_call(o->call);
	destroy_http_message(o->answer);
	o->answer = NULL;
	o->offered = true;
	set_deadline(o->head, a->timeout_ms);
	o->call = start_pool_call(o->core->pool, &a->address, o->head, length,
				  a->fresh, &call_handler, o);
	add_call_body(o->call, o->body->data, o->body->len);
	if (o->body_whole)
		end_call_body(o->call);
	else if (o->ex)
		resume_http_request(o->ex);
}

static void mark_answered(struct http_message *m)
{
	remove_http_header(m, HEADER_OUTCOME);
	add_http_header(m, HEADER_OUTCOME,
			find_outcome_row(OUTCOME_ANSWERED)->name);
}

/* Sends the head of the answer and what there is of its body. */
static void begin_relay(struct entry_request *o, uint64_t length)
{
	struct http_message *head = copy_head(o->answer);
	struct http_exchange *ex = o->ex;

	o->relaying = true;
	if (!ex)
		return;
	mark_answered(head);
	begin_http_answer(ex, head, length);
	if (o->ex)
		add_http_answer(ex, o->answer->body->data,
				o->answer->body->len);
	g_byte_array_set_size(o->answer->body, 0);
}

static void relay(struct entry_request *o, const struct request_action *a)
{
	struct http_exchange *ex;

	if (!o->relaying)
		begin_relay(o,
			    a->ends ? o->answer->body->len : o->answer_length);
	if (!a->ends)
		return;
	ex = o->ex;
	free_request(o);
	if (ex)
		end_http_answer(ex);
}

static void answer_and_free(struct entry_request *o, struct http_message *m)
{
	struct http_exchange *ex = o->ex;

	free_request(o);
	if (ex)
		answer_http(ex, m);
	else
		destroy_http_message(m);
}

static void replay(struct entry_request *o, const struct request_action *a)
{
	struct http_message *m = decode_kept_answer(a->data, a->len);

	if (!m) {
		m = create_http_message();
		fill_outcome_answer(m, OUTCOME_DONE, 0);
	} else {
		mark_answered(m);
		add_http_header(m, HEADER_REPLAYED, "true");
	}
	answer_and_free(o, m);
}

static void refuse(struct entry_request *o, const struct request_action *a)
{
	struct http_message *m = create_http_message();

	fill_outcome_answer(m, a->outcome, a->retry_after_ms);
	answer_and_free(o, m);
}

static void cut(struct entry_request *o)
{
	struct http_exchange *ex = o->ex;

	free_request(o);
	if (ex)
		cut_http_answer(ex);
}

void refuse_unopened(struct entry_request *o)
{
	struct request_action a = { .kind = REQUEST_REFUSE,
				    .outcome = OUTCOME_NOT_RUN,
				    .retry_after_ms = UNOPENED_RETRY_MS };

	refuse(o, &a);
}

void carry_out_action(struct entry_request *o, const struct request_action *a)
{
	switch (a->kind) {
	case REQUEST_OFFER:
		start_offer(o, a);
		break;
	case REQUEST_RELAY:
		relay(o, a);
		break;
	case REQUEST_REPLAY:
		replay(o, a);
		break;
	case REQUEST_REFUSE:
		refuse(o, a);
		break;
	case REQUEST_READ_ON:
		o->discarding = true;
		if (o->ex)
			resume_http_request(o->ex);
		break;
	case REQUEST_CUT:
		cut(o);
		break;
	case REQUEST_CANCEL:
		free_request(o);
		break;
	case REQUEST_SEND_PEER:
		break;
	}
}
