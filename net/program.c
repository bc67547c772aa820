#include "net/program.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "base/version.h"
#include "net/files.h"
#include "net/log.h"

static bool read_settings(const char *name, const char *path,
			  struct settings *s)
{
	struct problems *ps = create_problems();
	bool ok = load_settings(path, NULL, s, ps);

	for (size_t i = 0; problem_at(ps, i); i++)
		fprintf(stderr, "%s: %s\n", name, problem_at(ps, i));
	destroy_problems(ps);
	return ok;
}

/* SHOW_VERSION: the version is to be printed, and no instance to be run. */
static enum status_kind parse_options(int argc, char **argv, const char *name,
				      char **path, gboolean *show_version)
{
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, path,
		  "Settings file of this instance", "FILE" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx =
		g_option_context_new("- one instance of the load balancer");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", name, err->message);
		g_error_free(err);
		return STATUS_USAGE;
	}
	if (argc > 1 || (!*path && !*show_version)) {
		fprintf(stderr, "usage: %s --config=FILE\n", name);
		return STATUS_USAGE;
	}
	return STATUS_OK;
}

int run_instance_program(int argc, char **argv, const char *name,
			 run_instance_fn run)
{
	static struct settings settings;
	gboolean show_version = FALSE;
	char *path = NULL;
	int code = find_status_row(STATUS_USAGE)->exit_code;

	if (parse_options(argc, argv, name, &path, &show_version) !=
	    STATUS_OK) {
		/* the reason has been printed */
	} else if (show_version) {
		printf("%s %s build=%s\n", name, VERSION, build_id());
		code = 0;
	} else {
		code = 1;
		if (read_settings(name, path, &settings)) {
			signal(SIGPIPE, SIG_IGN);
			open_log();
			code = run(path, &settings);
			close_log();
		}
	}
	g_free(path);
	return code;
}
