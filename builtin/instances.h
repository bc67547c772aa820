#ifndef BUILTIN_INSTANCES_H
#define BUILTIN_INSTANCES_H

/* Queries the status of instances at their admin ports, all in parallel. */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct instance_answer {
	char *address;	/* "ADDRESS:PORT" */
	json_t *status; /* NULL: no answer */
};

/*
 * Queries the status of each of the NR instances at ADDRESSES. Returns an array
 * of struct instance_answer in that order, or NULL after printing an error if
 * an address is not valid; to be freed with free_instance_answers().
 */
GArray *query_instances(const char *const *addresses, size_t nr);
void free_instance_answers(GArray *answers);

/* Splits "ADDRESS:PORT,..."; to be freed with g_strfreev(). */
char **split_instance_list(const char *text);

/* True if the instance that returned STATUS has applied the change in DATA. */
typedef bool (*change_applied_fn)(const json_t *status, const void *data);

/*
 * Polls the instances in LIST ("ADDRESS:PORT,...") until all have applied the
 * change or TIMEOUT_MS is over. Prints how many have, and which have not or do
 * not answer. True if all have.
 */
bool wait_for_instances(const char *list, uint32_t timeout_ms,
			change_applied_fn applied, const void *data);

/* Parses the value of --timeout, as "10s"; false after printing an error. */
bool parse_timeout(const char *text, uint32_t *ms);

#endif
