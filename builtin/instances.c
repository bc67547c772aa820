#include "builtin/instances.h"

#include <stdio.h>
#include <string.h>

#include "config/units.h"
#include "net/http-client.h"

#define ASK_TIMEOUT_MS 2000
#define ASK_AGAIN_MS 200
#define ASK_ANSWER_MAX (64 * 1024 * 1024) /* bytes */
#define WAIT_MS_DEFAULT 10000
#define WAIT_MS_MAX (60 * 60 * 1000)

static void on_answer(const struct http_call_result *r, void *data)
{
	struct instance_answer *ia = data;
	const GByteArray *body;

	if (r->kind != STATUS_OK || r->answer->code != 200)
		return;
	body = r->answer->body;
	ia->status = json_loadb((const char *)body->data, body->len, 0, NULL);
}

static void start_asking(uv_loop_t *loop, GArray *answers,
			 const struct endpoint *eps,
			 const struct http_message *m)
{
	for (guint i = 0; i < answers->len; i++)
		start_http_call(
			loop, &eps[i], m, ASK_TIMEOUT_MS, ASK_ANSWER_MAX,
			on_answer,
			&g_array_index(answers, struct instance_answer, i));
}

static void ask_all(GArray *answers, const struct endpoint *eps)
{
	struct http_message *m = create_http_message();
	uv_loop_t loop;

	m->method = HTTP_GET;
	m->target = g_strdup("/status");
	uv_loop_init(&loop);
	start_asking(&loop, answers, eps, m);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	destroy_http_message(m);
}

GArray *ask_instances(const char *const *at, size_t nr)
{
	struct endpoint *eps = g_new0(struct endpoint, nr + 1);
	GArray *answers =
		g_array_new(FALSE, TRUE, sizeof(struct instance_answer));
	struct status st = { .kind = STATUS_OK };

	for (size_t i = 0; i < nr && st.kind == STATUS_OK; i++) {
		struct instance_answer ia = { g_strdup(at[i]), NULL };

		g_array_append_val(answers, ia);
		st.kind = parse_endpoint(at[i], &eps[i], &st);
	}
	if (st.kind == STATUS_OK) {
		ask_all(answers, eps);
	} else {
		fprintf(stderr, "%s\n", st.message);
		free_instances(answers);
		answers = NULL;
	}
	g_free(eps);
	return answers;
}

void free_instances(GArray *answers)
{
	if (!answers)
		return;
	for (guint i = 0; i < answers->len; i++) {
		struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		g_free(ia->at);
		json_decref(ia->status);
	}
	g_array_free(answers, TRUE);
}

char **split_instances(const char *text)
{
	return g_strsplit(text ? text : "", ",", -1);
}

bool parse_timeout(const char *text, uint32_t *ms)
{
	struct status st;

	*ms = WAIT_MS_DEFAULT;
	if (!text || parse_duration(text, WAIT_MS_MAX, ms, &st) == STATUS_OK)
		return true;
	fprintf(stderr, "--timeout: %s\n", st.message);
	return false;
}

/* How many obey; names those that do not in SILENT and BEHIND. */
static guint count_obeying(const GArray *answers, obeys_fn obeys,
			   const void *data, GString *silent, GString *behind)
{
	guint n = 0;

	g_string_truncate(silent, 0);
	g_string_truncate(behind, 0);
	for (guint i = 0; i < answers->len; i++) {
		const struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		if (!ia->status)
			g_string_append_printf(silent, " %s", ia->at);
		else if (!obeys(ia->status, data))
			g_string_append_printf(behind, " %s", ia->at);
		else
			n++;
	}
	return n;
}

static void print_obeying(guint n, guint all, const GString *silent,
			  const GString *behind)
{
	fprintf(stderr, "%u of %u instances obey\n", n, all);
	if (behind->len)
		fprintf(stderr, "not yet:%s\n", behind->str);
	if (silent->len)
		fprintf(stderr, "no answer:%s\n", silent->str);
}

bool wait_for_instances(const char *list, uint32_t timeout_ms, obeys_fn obeys,
			const void *data)
{
	char **at = split_instances(list);
	guint all = g_strv_length(at);
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	GString *silent = g_string_new(NULL);
	GString *behind = g_string_new(NULL);
	guint n = 0;
	GArray *answers;

	while ((answers = ask_instances((const char *const *)at, all))) {
		n = count_obeying(answers, obeys, data, silent, behind);
		free_instances(answers);
		if (n == all || g_get_monotonic_time() >= end)
			break;
		g_usleep(ASK_AGAIN_MS * 1000);
	}
	print_obeying(n, all, silent, behind);
	g_string_free(silent, TRUE);
	g_string_free(behind, TRUE);
	g_strfreev(at);
	return all && n == all;
}
