#ifndef BUILTIN_SESSION_H
#define BUILTIN_SESSION_H

/* Synchronous store calls for commands, on an event loop of their own. */

#include "store/store.h"

struct session;

/* ENDPOINTS is "ADDRESS:PORT[,...]"; NULL after printing an error. */
struct session *create_session(const char *endpoints);
void destroy_session(struct session *s);

/*
 * Reads R, with at most two more tries than there are endpoints. The answer is
 * valid until the next call.
 */
const struct store_answer *read_store_range(struct session *s,
					    const struct store_range *r);

typedef void (*step_change_fn)(void *change, const struct store_answer *a,
			       struct change_action *out);

/* Carries out the store calls of CHANGE, which STEP requests, to the end. */
void run_change(struct session *s, step_change_fn step, void *change);

/* Parses the value of OPTION, "ADDRESS:PORT[,...]"; false after an error. */
bool parse_endpoints(const char *option, const char *text,
		     struct endpoint_list *l);

#endif
