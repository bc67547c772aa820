/* baobabvalve: dispatches to the commands in builtin/. */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
};

static const struct command commands[] = {
	{ "audit", cmd_audit, "list accepted changes" },
	{ "check", cmd_check, "check service files" },
	{ "domain", cmd_domain,
	  "take failure domains out of service and back" },
	{ "publish", cmd_publish, "put service files in force" },
	{ "status", cmd_status, "show the status of instances" },
	{ "version", cmd_version, "print the version" },
};

static void print_usage(FILE *out)
{
	fprintf(out, "usage: baobabvalve COMMAND [--help] [ARGUMENT...]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_usage(stdout);
		return 0;
	}
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	if (argc > 1)
		fprintf(stderr, "baobabvalve: '%s' is not a command\n",
			argv[1]);
	print_usage(stderr);
	return EXIT_USAGE;
}
