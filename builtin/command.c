#include "builtin/builtin.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/instances.h"

int parse_command(int argc, char **argv, const GOptionEntry *entries,
		  const char *arguments, const char *summary)
{
	GOptionContext *ctx = g_option_context_new(arguments);
	char *name = g_strdup_printf("baobabvalve %s", argv[0]);
	GError *err = NULL;

	g_set_prgname(name);
	if (entries)
		g_option_context_add_main_entries(ctx, entries, NULL);
	g_option_context_set_summary(ctx, summary);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "%s: %s (see '%s --help')\n", name,
			err->message, name);
		g_error_free(err);
		argc = 0;
	}
	g_option_context_free(ctx);
	g_free(name);
	return argc;
}

int usage_error(const char *name, const char *message)
{
	fprintf(stderr, "baobabvalve %s: %s (see 'baobabvalve %s --help')\n",
		name, message, name);
	return EXIT_USAGE;
}

void print_problems(const struct problems *ps)
{
	for (size_t i = 0; problem_at(ps, i); i++)
		fprintf(stderr, "error: %s\n", problem_at(ps, i));
	fprintf(stderr, "%zu error(s)\n", problem_count(ps));
}

bool parse_format(const char *format, bool *json)
{
	*json = format && !strcmp(format, "json");
	if (!format || *json || !strcmp(format, "text"))
		return true;
	fprintf(stderr, "--format: '%s' is not 'text' or 'json'\n", format);
	return false;
}

static json_t *problems_json(const struct problems *ps)
{
	json_t *list = json_array();

	for (size_t i = 0; ps && problem_at(ps, i); i++)
		json_array_append_new(list, json_string(problem_at(ps, i)));
	return list;
}

static void print_result_json(const struct status *st,
			      const struct problems *ps, uint64_t epoch,
			      const char *id)
{
	json_t *j = json_pack("{s:s, s:s, s:I, s:s, s:o}", "status",
			      find_status_row(st->kind)->name, "message",
			      st->message, "epoch", (json_int_t)epoch, "id", id,
			      "problems", problems_json(ps));
	char *text = json_dumps(j, JSON_INDENT(1));

	puts(text);
	free(text);
	json_decref(j);
}

void print_result(bool json, const struct status *st, const struct problems *ps,
		  uint64_t epoch, const char *id)
{
	if (json) {
		print_result_json(st, ps, epoch, id);
		return;
	}
	if (ps && problem_count(ps))
		print_problems(ps);
	fprintf(st->kind == STATUS_OK ? stdout : stderr, "%s\n", st->message);
	fflush(stdout);
}

const char *operator_name(const char *who)
{
	return who ? who : g_get_user_name();
}

int check_change_options(struct change_options *o, const char *name)
{
	if (o->wait && !o->instances)
		return usage_error(name, "--wait needs --instances");
	if (!parse_format(o->format, &o->json) ||
	    !parse_timeout(o->timeout, &o->timeout_ms))
		return EXIT_USAGE;
	return 0;
}

void free_change_options(struct change_options *o)
{
	g_free(o->store);
	g_free(o->format);
	g_free(o->why);
	g_free(o->who);
	g_free(o->instances);
	g_free(o->timeout);
}
