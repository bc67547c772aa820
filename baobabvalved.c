/* baobabvalved: the daemon; one process is one instance. */

#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "net/daemon.h"
#include "net/edge.h"
#include "net/files.h"
#include "net/log.h"

static bool read_settings(const char *path, struct settings *s)
{
	struct problems *ps = create_problems();
	bool ok = load_settings(path, s, ps);

	for (size_t i = 0; problem_at(ps, i); i++)
		fprintf(stderr, "baobabvalved: %s\n", problem_at(ps, i));
	destroy_problems(ps);
	return ok;
}

static enum status_kind parse_options(int argc, char **argv, char **path)
{
	GOptionEntry entries[] = { { "config", 'c', 0, G_OPTION_ARG_FILENAME,
				     path, "Settings file of this instance",
				     "FILE" },
				   G_OPTION_ENTRY_NULL };
	GOptionContext *ctx =
		g_option_context_new("- one instance of the load balancer");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "baobabvalved: %s\n", err->message);
		g_error_free(err);
		return STATUS_USAGE;
	}
	if (argc > 1 || !*path) {
		fprintf(stderr, "usage: baobabvalved --config=FILE\n");
		return STATUS_USAGE;
	}
	return STATUS_OK;
}

int main(int argc, char **argv)
{
	static struct settings settings;
	char *path = NULL;
	int code = find_status_row(STATUS_USAGE)->exit_code;

	if (parse_options(argc, argv, &path) == STATUS_OK) {
		code = 1;
		if (read_settings(path, &settings)) {
			signal(SIGPIPE, SIG_IGN);
			open_log();
			code = settings.steering == STEER_BY_COOKIE
				       ? run_edge(path, &settings)
				       : run_daemon(&settings);
			close_log();
		}
	}
	g_free(path);
	return code;
}
