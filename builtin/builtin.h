#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

/*
 * Commands of "baobabvalve". Each takes its own command line, argv[0] being
 * the command's name, and returns an exit code: 0 done, 1 refused or failed,
 * 129 usage.
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
 * number of words left in ARGV, its name included, or 0 after telling what is
 * wrong.
 */
int parse_command(int argc, char **argv, const GOptionEntry *entries,
		  const char *arguments, const char *summary);

/* Prints "baobabvalve NAME: MESSAGE (see ... --help)"; returns EXIT_USAGE. */
int usage_error(const char *name, const char *message);

/* Prints every message of PS to standard error. */
void print_problems(const struct problems *ps);

/* Reads --format: sets JSON, or returns false with a message. */
bool parse_format(const char *format, bool *json);

/*
 * Prints what came of a change: as one JSON object, or the message, to
 * standard error unless it is STATUS_OK. PS may be NULL.
 */
void print_result(bool json, const struct status *st, const struct problems *ps,
		  uint64_t epoch, const char *id);

/* WHO, or the name of the user who runs the command. */
const char *who_or_user(const char *who);

#define OPTION_STORE(variable)                                                 \
	{                                                                      \
		"store", 0, 0, G_OPTION_ARG_STRING, variable,                  \
			"Endpoints of the platform's store",                   \
			"ADDRESS:PORT[,...]"                                   \
	}
#define OPTION_FORMAT(variable)                                                \
	{                                                                      \
		"format", 0, 0, G_OPTION_ARG_STRING, variable,                 \
			"'text' or 'json'; text if not given", "FORMAT"        \
	}
#define OPTION_WHY(variable)                                                   \
	{                                                                      \
		"why", 0, 0, G_OPTION_ARG_STRING, variable,                    \
			"Reason, for the audit trail", "TEXT"                  \
	}
#define OPTION_WHO(variable)                                                   \
	{                                                                      \
		"who", 0, 0, G_OPTION_ARG_STRING, variable,                    \
			"Operator, for the audit trail; the user if not "      \
			"given",                                               \
			"NAME"                                                 \
	}
#define OPTION_INSTANCES(variable)                                             \
	{                                                                      \
		"instances", 0, 0, G_OPTION_ARG_STRING, variable,              \
			"Admin ports of instances to ask",                     \
			"ADDRESS:PORT[,...]"                                   \
	}
#define OPTION_WAIT(variable)                                                  \
	{                                                                      \
		"wait", 0, 0, G_OPTION_ARG_NONE, variable,                     \
			"Wait until the instances obey", NULL                  \
	}
#define OPTION_TIMEOUT(variable)                                               \
	{                                                                      \
		"timeout", 0, 0, G_OPTION_ARG_STRING, variable,                \
			"Longest wait; 10s if not given", "DURATION"           \
	}

/* Options that every command has which changes something. */
struct change_options {
	char *store;
	char *format;
	char *why;
	char *who;
	char *instances;
	char *timeout;
	gboolean wait;
	/* from the texts above: */
	bool json;
	uint32_t timeout_ms;
};

/* Checks them for command NAME: 0, or EXIT_USAGE after telling. */
int check_change_options(struct change_options *o, const char *name);
void free_change_options(struct change_options *o);

#endif
