/* baobabvalve check: reads service files and tells everything wrong. */

#include "builtin/builtin.h"

#include <stdio.h>

#include "net/files.h"

static int check(const char *const *paths, size_t nr, bool json)
{
	struct problems *ps = create_problems();
	struct snapshot *sn = load_services(paths, nr, 0, "check", ps);
	struct status st;

	if (sn)
		set_status(&st, STATUS_OK, "%zu services, %zu upstreams: ok",
			   snapshot_service_nr(sn), snapshot_upstream_nr(sn));
	else
		set_status(&st, STATUS_INVALID, "the files are not right");
	print_result(json, &st, ps, 0, "");
	destroy_problems(ps);
	unref_snapshot(sn);
	return find_status_row(st.kind)->exit_code;
}

int cmd_check(int argc, char **argv)
{
	char *format = NULL;
	GOptionEntry entries[] = { OPTION_FORMAT(&format),
				   G_OPTION_ENTRY_NULL };
	int code = EXIT_USAGE;
	bool json;

	argc = parse_command(argc, argv, entries, "FILE|DIR...",
			     "Checks service files as one whole.");
	if (argc == 1)
		usage_error("check", "no file or directory given");
	else if (argc && parse_format(format, &json))
		code = check((const char *const *)argv + 1, (size_t)argc - 1,
			     json);
	g_free(format);
	return code;
}
