/*
 * baobabvalve-edge: the daemon for cookie steering only. It does without the
 * libraries of the etcd client and of the peer sockets, whose loading takes
 * most of the time that baobabvalved needs to start.
 */

#include <stdio.h>

#include "net/edge.h"
#include "net/program.h"

#define PROGRAM "baobabvalve-edge"

static int run_instance(const char *path, const struct settings *settings)
{
	if (settings->steering == STEER_BY_COOKIE)
		return run_edge(path, settings);
	fprintf(stderr,
		PROGRAM ": %s: [flows] steering is not 'cookie'; "
			"baobabvalved runs such an instance\n",
		path);
	return find_status_row(STATUS_USAGE)->exit_code;
}

int main(int argc, char **argv)
{
	return run_instance_program(argc, argv, PROGRAM, run_instance);
}
