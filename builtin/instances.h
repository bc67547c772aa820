#ifndef BUILTIN_INSTANCES_H
#define BUILTIN_INSTANCES_H

/* Asks instances at their admin ports, all at once. */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct instance_answer {
	char *at;	/* "ADDRESS:PORT" */
	json_t *status; /* NULL: no answer */
};

/*
 * Asks each of the NR instances in AT for its status. An array of struct
 * instance_answer in that order, or NULL with a message if an address is
 * wrong; to be freed with free_instances().
 */
GArray *ask_instances(const char *const *at, size_t nr);
void free_instances(GArray *answers);

/* Splits "ADDRESS:PORT,..."; to be freed with g_strfreev(). */
char **split_instances(const char *text);

/* Whether the instance that gave STATUS obeys what is waited for. */
typedef bool (*obeys_fn)(const json_t *status, const void *data);

/*
 * Asks the instances named in LIST until all obey or TIMEOUT_MS is over, and
 * prints how many do and which have not answered. True if all do.
 */
bool wait_for_instances(const char *list, uint32_t timeout_ms, obeys_fn obeys,
			const void *data);

/* Reads "10s" and the like given as --timeout; false with a message. */
bool parse_timeout(const char *text, uint32_t *ms);

#endif
