/* baobabvalved: the daemon; one process is one instance. */

#include "net/daemon.h"
#include "net/edge.h"
#include "net/program.h"

static int run_instance(const char *path, const struct settings *settings)
{
	return settings->steering == STEER_BY_COOKIE ? run_edge(path, settings)
						     : run_daemon(settings);
}

int main(int argc, char **argv)
{
	return run_instance_program(argc, argv, "baobabvalved", run_instance);
}
