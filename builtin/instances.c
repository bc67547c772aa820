#include "builtin/instances.h"

#include <stdio.h>
#include <string.h>

#include "config/units.h"
#include "net/http-client.h"

#define QUERY_TIMEOUT_MS 2000
#define POLL_INTERVAL_MS 200
#define ANSWER_MAX_BYTES (64 * 1024 * 1024) /* bytes */
#define WAIT_DEFAULT_MS 10000
#define WAIT_MAX_MS (60 * 60 * 1000)

static void on_answer(const struct http_call_result *r, void *data)
{
	struct instance_answer *ia = data;
	const GByteArray *body;

	if (r->kind != STATUS_OK || r->answer->code != 200)
		return;
	body = r->answer->body;
	ia->status = json_loadb((const char *)body->data, body->len, 0, NULL);
}

static void start_queries(uv_loop_t *loop, GArray *answers,
			  const struct endpoint *eps,
			  const struct http_message *m)
{
	for (guint i = 0; i < answers->len; i++)
		start_http_call(
			loop, &eps[i], m, QUERY_TIMEOUT_MS, ANSWER_MAX_BYTES,
			on_answer,
			&g_array_index(answers, struct instance_answer, i));
}

static void query_all(GArray *answers, const struct endpoint *eps)
{
	struct http_message *m = create_http_message();
	uv_loop_t loop;

	m->method = HTTP_GET;
	m->target = g_strdup("/status");
	uv_loop_init(&loop);
	start_queries(&loop, answers, eps, m);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	destroy_http_message(m);
}

GArray *query_instances(const char *const *addresses, size_t nr)
{
	struct endpoint *eps = g_new0(struct endpoint, nr + 1);
	GArray *answers =
		g_array_new(FALSE, TRUE, sizeof(struct instance_answer));
	struct status st = { .kind = STATUS_OK };

	for (size_t i = 0; i < nr && st.kind == STATUS_OK; i++) {
		struct instance_answer ia = { g_strdup(addresses[i]), NULL };

		g_array_append_val(answers, ia);
		st.kind = parse_endpoint(addresses[i], &eps[i], &st);
	}
	if (st.kind == STATUS_OK) {
		query_all(answers, eps);
	} else {
		fprintf(stderr, "%s\n", st.message);
		free_instance_answers(answers);
		answers = NULL;
	}
	g_free(eps);
	return answers;
}

void free_instance_answers(GArray *answers)
{
	if (!answers)
		return;
	for (guint i = 0; i < answers->len; i++) {
		struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		g_free(ia->address);
		json_decref(ia->status);
	}
	g_array_free(answers, TRUE);
}

char **split_instance_list(const char *text)
{
	return g_strsplit(text ? text : "", ",", -1);
}

bool parse_timeout(const char *text, uint32_t *ms)
{
	struct status st;

	*ms = WAIT_DEFAULT_MS;
	if (!text || parse_duration(text, WAIT_MAX_MS, ms, &st) == STATUS_OK)
		return true;
	fprintf(stderr, "--timeout: %s\n", st.message);
	return false;
}

/*
 * Number of instances that have applied the change. Fills BEHIND with the
 * addresses of those that have not, SILENT with those that do not answer.
 */
static guint count_applied(const GArray *answers, change_applied_fn applied,
			   const void *data, GString *silent, GString *behind)
{
	guint n = 0;

	g_string_truncate(silent, 0);
	g_string_truncate(behind, 0);
	for (guint i = 0; i < answers->len; i++) {
		const struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		if (!ia->status)
			g_string_append_printf(silent, " %s", ia->address);
		else if (!applied(ia->status, data))
			g_string_append_printf(behind, " %s", ia->address);
		else
			n++;
	}
	return n;
}

static void print_applied(guint n, guint all, const GString *silent,
			  const GString *behind)
{
	fprintf(stderr, "%u of %u instances have applied the change\n", n, all);
	if (behind->len)
		fprintf(stderr, "not yet:%s\n", behind->str);
	if (silent->len)
		fprintf(stderr, "no answer:%s\n", silent->str);
}

bool wait_for_instances(const char *list, uint32_t timeout_ms,
			change_applied_fn applied, const void *data)
{
	char **addresses = split_instance_list(list);
	guint all = g_strv_length(addresses);
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	GString *silent = g_string_new(NULL);
	GString *behind = g_string_new(NULL);
	guint n = 0;
	GArray *answers;

	while ((answers =
			query_instances((const char *const *)addresses, all))) {
		n = count_applied(answers, applied, data, silent, behind);
		free_instance_answers(answers);
		if (n == all || g_get_monotonic_time() >= end)
			break;
		g_usleep(POLL_INTERVAL_MS * 1000);
	}
	print_applied(n, all, silent, behind);
	g_string_free(silent, TRUE);
	g_string_free(behind, TRUE);
	g_strfreev(addresses);
	return all && n == all;
}
