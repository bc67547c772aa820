#ifndef NET_PROGRAM_H
#define NET_PROGRAM_H

/* What the programs that run an instance have in common. */

#include "config/settings.h"

/* Runs an instance with SETTINGS, read from PATH; returns the exit code. */
typedef int (*run_instance_fn)(const char *path,
			       const struct settings *settings);

/*
 * Main function of the program NAME: parses its options, reads the settings
 * file that they name and calls RUN. Errors go to standard error. Returns the
 * exit code.
 */
int run_instance_program(int argc, char **argv, const char *name,
			 run_instance_fn run);

#endif
