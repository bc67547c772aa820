/* baobabvalve version: prints the version. */

#include "builtin/builtin.h"

#include <stdio.h>

#include "base/version.h"

int cmd_version(int argc, char **argv)
{
	argc = parse_command(argc, argv, NULL, "", "Prints the version.");
	if (argc != 1)
		return EXIT_USAGE;
	printf("baobabvalve %s build=%s\n", VERSION, build_id());
	return 0;
}
