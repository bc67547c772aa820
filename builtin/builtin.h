#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

/*
 * Commands of "baobabvalve". Each gets its own command line, with the command's
 * name as argv[0], and returns an exit code: 0 success, EXIT_REFUSED if the
 * change was refused or failed, EXIT_USAGE for a wrong command line.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/problems.h"
#include "base/status.h"

int cmd_audit(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_domain(int argc, char **argv);
int cmd_publish(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_version(int argc, char **argv);

#define EXIT_REFUSED 1
#define EXIT_USAGE 129

/*
 * Parses ARGV by ENTRIES; ARGUMENTS and SUMMARY go into --help. Returns the
 * number of words left in ARGV, including the command's name, or 0 after
 * printing an error.
 */
int parse_command(int argc, char **argv, const GOptionEntry *entries,
		  const char *arguments, const char *summary);

/* Prints "baobabvalve NAME: MESSAGE (see ... --help)"; returns EXIT_USAGE. */
int usage_error(const char *name, const char *message);

/* Prints every message of PS and their number to standard error. */
void print_problems(const struct problems *ps);

/* Parses the value of --format into JSON; false after printing an error. */
bool parse_format(const char *format, bool *json);

/*
 * Prints the result of a command: as one JSON object, or as its message, which
 * goes to standard error unless it is STATUS_OK. PS may be NULL.
 */
void print_result(bool json, const struct status *st, const struct problems *ps,
		  uint64_t epoch, const char *id);

/* Returns WHO or, if NULL, the name of the user who runs the command. */
const char *operator_name(const char *who);

#define OPTION_STORE(variable)                                                 \
	{                                                                      \
		"store", 0, 0, G_OPTION_ARG_STRING, variable,                  \
			"Endpoints of the platform's store",                   \
			"ADDRESS:PORT[,...]"                                   \
	}
#define OPTION_FORMAT(variable)                                                \
	{                                                                      \
		"format", 0, 0, G_OPTION_ARG_STRING, variable,                 \
			"'text' or 'json'; default: text", "FORMAT"            \
	}
#define OPTION_WHY(variable)                                                   \
	{                                                                      \
		"why", 0, 0, G_OPTION_ARG_STRING, variable,                    \
			"Reason, for the audit trail", "TEXT"                  \
	}
#define OPTION_WHO(variable)                                                   \
	{                                                                      \
		"who", 0, 0, G_OPTION_ARG_STRING, variable,                    \
			"Operator, for the audit trail; default: the user",    \
			"NAME"                                                 \
	}
#define OPTION_INSTANCES(variable)                                             \
	{                                                                      \
		"instances", 0, 0, G_OPTION_ARG_STRING, variable,              \
			"Admin endpoints of instances to query",               \
			"ADDRESS:PORT[,...]"                                   \
	}
#define OPTION_WAIT(variable)                                                  \
	{                                                                      \
		"wait", 0, 0, G_OPTION_ARG_NONE, variable,                     \
			"Wait until the instances apply the change", NULL      \
	}
#define OPTION_TIMEOUT(variable)                                               \
	{                                                                      \
		"timeout", 0, 0, G_OPTION_ARG_STRING, variable,                \
			"Longest wait; default: 10s", "DURATION"               \
	}

/* Options shared by the commands that change something in the store. */
struct change_options {
	char *store;
	char *format;
	char *why;
	char *who;
	char *instances;
	char *timeout;
	gboolean wait;
	/* parsed by check_change_options(): */
	bool json;
	uint32_t timeout_ms;
};

/* Checks and parses O for command NAME: 0, or EXIT_USAGE after an error. */
int check_change_options(struct change_options *o, const char *name);
void free_change_options(struct change_options *o);

#endif
