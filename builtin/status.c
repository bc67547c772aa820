/* baobabvalve status: prints the status of instances. */

#include "builtin/builtin.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/counters.h"
#include "builtin/instances.h"

static const char *string_member(const json_t *j, const char *key)
{
	const char *text = json_string_value(json_object_get(j, key));

	return text ? text : "?";
}

static long long integer_member(const json_t *j, const char *key)
{
	return json_integer_value(json_object_get(j, key));
}

static void print_upstreams(const json_t *service)
{
	const json_t *up;
	size_t i;

	json_array_foreach(json_object_get(service, "upstreams"), i, up)
		printf("    %-20s %-10s %s\n", string_member(up, "name"),
		       string_member(up, "domain"), string_member(up, "state"));
}

static void print_services(const json_t *j)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "services"), i, item)
	{
		printf("  service %s\n", string_member(item, "name"));
		print_upstreams(item);
	}
}

static void print_store(const json_t *j)
{
	const json_t *age = json_object_get(j, "store-age-ms");

	if (json_is_integer(age))
		printf("  store answered %lld ms ago%s\n",
		       (long long)json_integer_value(age),
		       json_is_true(json_object_get(j, "reader"))
			       ? "; reads it for its domain"
			       : "");
	else
		printf("  store has not answered yet\n");
	if (json_object_get(j, "store-era"))
		printf("  store era %lld, revision %lld, %lld records held\n",
		       integer_member(j, "store-era"),
		       integer_member(j, "store-revision"),
		       integer_member(j, "records-held"));
}

static void print_domains(const json_t *j)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "domains"), i, item) printf(
		"  domain %-20s %-4s epoch %lld\n", string_member(item, "name"),
		json_is_true(json_object_get(item, "out")) ? "out" : "in",
		integer_member(item, "epoch"));
}

static void print_members(const json_t *j)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(j, "members"), i, item) printf(
		"  member %-20s %-10s %s\n", string_member(item, "name"),
		string_member(item, "domain"), string_member(item, "state"));
}

static void print_counters(const json_t *j)
{
	json_t *counters = json_object_get(j, "counters");
	const json_t *value;
	const char *name;

	json_object_foreach(counters, name, value)
	{
		if (json_integer_value(value))
			printf("  %-24s %lld\n", name,
			       (long long)json_integer_value(value));
	}
}

static void print_status(const char *address, const json_t *j)
{
	printf("%s: instance %s, domain %s, epoch %lld\n", address,
	       string_member(j, "name"), string_member(j, "domain"),
	       integer_member(j, "epoch"));
	print_store(j);
	printf("  %lld open requests\n", integer_member(j, "open-requests"));
	print_domains(j);
	print_members(j);
	print_services(j);
	print_counters(j);
}

static void print_json(const json_t *j)
{
	char *text = json_dumps(j, JSON_INDENT(1));

	puts(text);
	free(text);
}

/* Prints all counters as a Markdown table, for docs/COUNTERS.md. */
static void print_counter_list(void)
{
	printf("| Counter | One unit is |\n|---|---|\n");
	for (int i = 0; i < COUNTER_NR; i++)
		printf("| `%s` | %s |\n", counter_name((enum counter)i),
		       counter_doc((enum counter)i));
}

static int show_status(const char *const *addresses, size_t nr, bool json)
{
	GArray *answers = query_instances(addresses, nr);
	int code = answers ? 0 : EXIT_USAGE;

	for (guint i = 0; answers && i < answers->len; i++) {
		const struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		if (!ia->status) {
			fprintf(stderr, "%s: no answer\n", ia->address);
			code = EXIT_REFUSED;
		} else if (json) {
			print_json(ia->status);
		} else {
			print_status(ia->address, ia->status);
		}
	}
	free_instance_answers(answers);
	return code;
}

int cmd_status(int argc, char **argv)
{
	char *format = NULL;
	gboolean list = FALSE;
	GOptionEntry entries[] = {
		OPTION_FORMAT(&format),
		{ "list-counters", 0, 0, G_OPTION_ARG_NONE, &list,
		  "List every counter and its meaning; query no instance",
		  NULL },
		G_OPTION_ENTRY_NULL
	};
	int code = EXIT_USAGE;
	bool json;

	argc = parse_command(
		argc, argv, entries, "ADDRESS:PORT...",
		"Queries the status of instances at their admin ports.");
	if (argc && list) {
		print_counter_list();
		code = 0;
	} else if (argc == 1)
		usage_error("status", "no ADDRESS:PORT of an instance given");
	else if (argc && parse_format(format, &json))
		code = show_status((const char *const *)argv + 1,
				   (size_t)argc - 1, json);
	g_free(format);
	return code;
}
