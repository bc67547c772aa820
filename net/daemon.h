#ifndef NET_DAEMON_H
#define NET_DAEMON_H

/*
 * One instance as a process: connects the decision logic, which does no I/O, to
 * sockets, timers and the configuration source.
 */

#include "config/settings.h"

/* Runs until a graceful stop has ended. Returns the process's exit code. */
int run_daemon(const struct settings *settings);

#endif
