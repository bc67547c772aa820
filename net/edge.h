#ifndef NET_EDGE_H
#define NET_EDGE_H

/*
 * One instance that steers flows by cookie on the users' platform, as a
 * process: connects the decision logic, which does no I/O, to sockets, timers
 * and the store.
 */

#include "config/settings.h"

/*
 * Runs until SIGTERM or SIGINT. PATH is the settings file, which is read again
 * on SIGHUP and when it changes. Returns the process's exit code.
 */
int run_edge(const char *path, const struct settings *settings);

#endif
