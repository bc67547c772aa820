#ifndef BUILTIN_SESSION_H
#define BUILTIN_SESSION_H

/* Store calls for commands: each waits for its answer on a loop of its own. */

#include "store/store.h"

struct session;

/* ENDPOINTS is "ADDRESS:PORT[,...]"; NULL with a message if it is wrong. */
struct session *create_session(const char *endpoints);
void destroy_session(struct session *s);

/* Tries each endpoint, and twice more. The answer lives until the next call. */
const struct store_answer *wait_range(struct session *s,
				      const struct store_range *r);

typedef void (*change_fn)(void *change, const struct store_answer *a,
			  struct change_action *out);

/* Runs a change to its end. */
void run_change(struct session *s, change_fn step, void *change);

/* Parses "ADDRESS:PORT[,...]" given as OPTION; false with a message. */
bool parse_endpoints(const char *option, const char *text,
		     struct endpoint_list *l);

#endif
