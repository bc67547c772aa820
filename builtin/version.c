/* baobabvalve version: prints the version. */

#include "builtin/builtin.h"

#include <stdio.h>

#define VERSION "0.1.0"

int cmd_version(int argc, char **argv)
{
	argc = parse_command(argc, argv, NULL, "", "Prints the version.");
	if (argc != 1)
		return EXIT_USAGE;
	printf("baobabvalve %s\n", VERSION);
	return 0;
}
