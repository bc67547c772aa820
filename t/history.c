/*
 * history: sends requests with keys, and resends, to several instances, some
 * of them twice at the same time, then compares the outcomes with what the
 * upstreams executed. Exits 1 if a key ran twice, an answered one did not run,
 * one whose only outcome was "not run" did run, an answer belonged to another
 * operation, or a live instance returned no outcome.
 *
 * history INSTANCE-PREFIX INSTANCES PORT UPSTREAM-PREFIX UPSTREAMS PORT
 *         OPERATIONS VICTIM
 *
 * Addresses are PREFIX.1, PREFIX.2, ...; instance VICTIM may be killed.
 */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http-client.h"

#define START_INTERVAL_MS 10 /* between two operations */
#define RESEND_DELAY_MS 300  /* after an outcome that is not final */
#define SENDS_MAX 12	     /* per operation */
#define CALL_TIMEOUT_MS 8000
#define ANSWER_MAX_BYTES (1024 * 1024)

struct operation {
	unsigned int number;
	unsigned int sends;
	unsigned int in_flight;
	unsigned int answered;
	unsigned int not_run;
	unsigned int other_outcomes; /* any other outcome, or none */
	unsigned int ran;
	bool wrong;
	uint64_t first_sent_ms; /* loop time */
	uv_timer_t timer;
};

struct send {
	struct operation *op;
	unsigned int instance;
	struct http_message *m;
};

static uv_loop_t *loop;
static GRand *rng;
static const char *instance_prefix;
static const char *upstream_prefix;
static unsigned int instance_nr;
static unsigned int upstream_nr;
static unsigned int instance_port;
static unsigned int upstream_port;
static unsigned int operation_nr;
static unsigned int victim;
static struct operation *operations;
static unsigned int started_nr;
static unsigned int sends_without_outcome; /* to instances other than VICTIM */
static unsigned int upstreams_read;
static uv_timer_t start_timer;

static struct endpoint endpoint_of(const char *prefix, unsigned int i,
				   unsigned int port)
{
	struct endpoint ep;
	char text[ENDPOINT_TEXT_MAX];

	g_snprintf(text, sizeof(text), "%s.%u:%u", prefix, i, port);
	if (parse_endpoint(text, &ep, NULL) != STATUS_OK)
		exit(2);
	return ep;
}

static void on_resend(uv_timer_t *timer);

static bool is_settled(const struct operation *op)
{
	return op->answered || op->sends >= SENDS_MAX;
}

static void record_outcome(struct operation *op, const struct http_message *a)
{
	const char *outcome = find_http_header(a, "Baobabvalve-Outcome");
	char expected[64];
	int n = g_snprintf(expected, sizeof(expected), "POST /dig/%u from ",
			   op->number);

	if (!outcome || !strcmp(outcome, "answered")) {
		op->answered++;
		op->wrong |= a->code != 200 || a->body->len < (guint)n ||
			     memcmp(a->body->data, expected, (size_t)n) != 0;
	} else if (!strcmp(outcome, "not-run")) {
		op->not_run++;
	} else {
		op->other_outcomes++;
	}
}

static void on_answer(const struct http_call_result *r, void *data)
{
	struct send *s = data;
	struct operation *op = s->op;

	op->in_flight--;
	if (r->kind == STATUS_OK)
		record_outcome(op, r->answer);
	else if (r->kind == STATUS_UNAVAILABLE)
		op->not_run++;
	else
		op->other_outcomes++;
	if (r->kind != STATUS_OK && s->instance != victim)
		sends_without_outcome++;
	destroy_http_message(s->m);
	g_free(s);
	if (!op->in_flight && !is_settled(op))
		uv_timer_start(&op->timer, on_resend, RESEND_DELAY_MS, 0);
}

static struct http_message *create_operation_message(const struct operation *op)
{
	struct http_message *m = create_http_message();
	char text[64];

	m->method = HTTP_POST;
	m->target = g_strdup_printf("/dig/%u", op->number);
	g_snprintf(text, sizeof(text), "key-%u", op->number);
	add_http_header(m, "Idempotency-Key", text);
	g_snprintf(
		text, sizeof(text), "%u",
		op->sends ? (unsigned int)(uv_now(loop) - op->first_sent_ms) + 1
			  : 0);
	add_http_header(m, "Baobabvalve-Key-Age", text);
	set_http_body(m, "trench");
	return m;
}

static void send_operation(struct operation *op)
{
	struct send *s = g_new0(struct send, 1);
	struct endpoint ep;

	s->op = op;
	s->instance =
		1 + (unsigned int)g_rand_int_range(rng, 0, (gint32)instance_nr);
	s->m = create_operation_message(op);
	if (!op->sends++)
		op->first_sent_ms = uv_now(loop);
	op->in_flight++;
	ep = endpoint_of(instance_prefix, s->instance, instance_port);
	start_http_call(loop, &ep, s->m, CALL_TIMEOUT_MS, ANSWER_MAX_BYTES,
			on_answer, s);
}

static void on_resend(uv_timer_t *timer)
{
	send_operation(timer->data);
}

static void on_start(uv_timer_t *timer)
{
	struct operation *op;

	if (started_nr == operation_nr) {
		uv_timer_stop(timer);
		return;
	}
	op = &operations[started_nr];
	op->number = started_nr++;
	uv_timer_init(loop, &op->timer);
	op->timer.data = op;
	send_operation(op);
	if (g_rand_int_range(rng, 0, 5) == 0)
		send_operation(op);
	if (started_nr == operation_nr / 2) {
		printf("half of the operations have been sent\n");
		fflush(stdout);
	}
}

static void on_executions(const struct http_call_result *r, void *data)
{
	json_t *list = NULL;
	size_t i;
	json_t *e;

	(void)data;
	if (r->kind == STATUS_OK)
		list = json_loadb((const char *)r->answer->body->data,
				  r->answer->body->len, 0, NULL);
	if (!list)
		return;
	upstreams_read++;
	json_array_foreach(list, i, e)
	{
		const char *key = json_string_value(json_object_get(e, "key"));

		if (key && g_str_has_prefix(key, "key-"))
			operations[strtoul(key + 4, NULL, 10)].ran++;
	}
	json_decref(list);
}

static void count_executions(void)
{
	struct http_message *m = create_http_message();

	m->method = HTTP_GET;
	m->target = g_strdup("/executions");
	for (unsigned int i = 1; i <= upstream_nr; i++) {
		struct endpoint ep =
			endpoint_of(upstream_prefix, i, upstream_port);

		start_http_call(loop, &ep, m, CALL_TIMEOUT_MS, ANSWER_MAX_BYTES,
				on_executions, NULL);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	destroy_http_message(m);
}

static int report(void)
{
	unsigned int sends = 0, answered = 0, unanswered = 0, ran_twice = 0,
		     answered_without_run = 0;
	unsigned int false_not_run = 0, wrong = 0, not_run = 0,
		     other_outcomes = 0;

	for (unsigned int i = 0; i < operation_nr; i++) {
		const struct operation *op = &operations[i];

		sends += op->sends;
		answered += op->answered > 0;
		unanswered += !op->answered;
		not_run += op->not_run;
		other_outcomes += op->other_outcomes;
		ran_twice += op->ran > 1;
		answered_without_run += op->answered && !op->ran;
		false_not_run += op->not_run == op->sends && op->ran;
		wrong += op->wrong;
	}
	printf("%u operations, %u sends: %u answered, %u not answered; %u ran "
	       "twice, %u answered without a run, %u ran despite not-run, %u "
	       "wrong answers, %u without an outcome\n",
	       operation_nr, sends, answered, unanswered, ran_twice,
	       answered_without_run, false_not_run, wrong,
	       sends_without_outcome);
	printf("sends not run or not connected: %u; with another outcome or "
	       "none: %u\n",
	       not_run, other_outcomes);
	return ran_twice || answered_without_run || false_not_run || wrong ||
	       sends_without_outcome || upstreams_read < upstream_nr;
}

int main(int argc, char **argv)
{
	if (argc != 9) {
		fprintf(stderr, "usage: history PREFIX INSTANCES PORT PREFIX "
				"UPSTREAMS PORT OPERATIONS VICTIM\n");
		return 2;
	}
	instance_prefix = argv[1];
	instance_nr = (unsigned int)strtoul(argv[2], NULL, 10);
	instance_port = (unsigned int)strtoul(argv[3], NULL, 10);
	upstream_prefix = argv[4];
	upstream_nr = (unsigned int)strtoul(argv[5], NULL, 10);
	upstream_port = (unsigned int)strtoul(argv[6], NULL, 10);
	operation_nr = (unsigned int)strtoul(argv[7], NULL, 10);
	victim = (unsigned int)strtoul(argv[8], NULL, 10);
	operations = g_new0(struct operation, operation_nr);
	rng = g_rand_new_with_seed(20261203);
	loop = uv_default_loop();
	uv_timer_init(loop, &start_timer);
	uv_timer_start(&start_timer, on_start, 0, START_INTERVAL_MS);
	uv_run(loop, UV_RUN_DEFAULT);
	count_executions();
	g_rand_free(rng);
	return report();
}
