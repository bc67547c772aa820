/* baobabvalve check: parses service files and prints every error. */

#include "builtin/builtin.h"

#include <stdio.h>

#include "net/files.h"
#include "platform/records.h"

static int check_services(const char *const *paths, size_t nr, bool json)
{
	struct problems *ps = create_problems();
	struct snapshot *sn = load_services(paths, nr, 0, "check", ps);
	struct status st;

	if (sn)
		set_status(&st, STATUS_OK, "%zu services, %zu upstreams: ok",
			   snapshot_service_count(sn),
			   snapshot_upstream_count(sn));
	else
		set_status(&st, STATUS_INVALID,
			   "the service files are not valid");
	print_result(json, &st, ps, 0, "");
	destroy_problems(ps);
	unref_snapshot(sn);
	return find_status_row(st.kind)->exit_code;
}

static int report_result(bool json, const struct status *st,
			 struct problems *ps)
{
	print_result(json, st, ps, 0, "");
	destroy_problems(ps);
	return find_status_row(st->kind)->exit_code;
}

/* Checks an instance's settings file. */
static int check_settings_file(const char *path, bool json)
{
	struct problems *ps = create_problems();
	struct settings s;
	struct status st;

	if (load_settings(path, NULL, &s, ps))
		set_status(&st, STATUS_OK, "settings of instance %s: ok",
			   s.name);
	else
		set_status(&st, STATUS_INVALID, "the settings are not valid");
	return report_result(json, &st, ps);
}

/* Checks a configuration in the format of the platform's store. */
static int check_operator_file(const char *path, bool json)
{
	struct problems *ps = create_problems();
	struct catalog *c = create_catalog(0);
	struct status st;
	GError *err = NULL;
	char *text;
	size_t len;

	if (!g_file_get_contents(path, &text, &len, &err)) {
		add_problem(ps, path, 0, "%s", err->message);
		set_status(&st, STATUS_INVALID, "the file cannot be read");
		g_error_free(err);
	} else {
		if (read_operator_config(c, text, len, 0, &st) == STATUS_OK)
			set_status(&st, STATUS_OK,
				   "version %llu, %zu routes: ok",
				   (unsigned long long)catalog_version(c),
				   catalog_route_count(c));
		else
			add_problem(ps, path, 0, "%s", st.message);
		g_free(text);
	}
	destroy_catalog(c);
	return report_result(json, &st, ps);
}

int cmd_check(int argc, char **argv)
{
	char *format = NULL;
	char *settings = NULL;
	char *operator_file = NULL;
	GOptionEntry entries[] = {
		OPTION_FORMAT(&format),
		{ "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
		  "Check an instance's settings file instead", "FILE" },
		{ "platform-config", 0, 0, G_OPTION_ARG_FILENAME,
		  &operator_file,
		  "Check a configuration of the platform's store instead",
		  "FILE" },
		G_OPTION_ENTRY_NULL
	};
	int code = EXIT_USAGE;
	bool json;

	argc = parse_command(
		argc, argv, entries, "FILE|DIR...",
		"Checks service files together, as one configuration.");
	if (argc && !parse_format(format, &json))
		argc = 0;
	if (argc && settings)
		code = check_settings_file(settings, json);
	else if (argc && operator_file)
		code = check_operator_file(operator_file, json);
	else if (argc == 1)
		usage_error("check", "no file or directory given");
	else if (argc)
		code = check_services((const char *const *)argv + 1,
				      (size_t)argc - 1, json);
	g_free(format);
	g_free(settings);
	g_free(operator_file);
	return code;
}
