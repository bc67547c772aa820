#ifndef NET_ENTRY_H
#define NET_ENTRY_H

/*
 * The entry for requests: listens for each request service, hands events to
 * the deciding code and carries its actions out. Bodies pass through in
 * bounded memory. docs/HTTP.md is its contract with callers and upstreams.
 */

#include <uv.h>

#include "config/settings.h"
#include "net/peers.h"
#include "request/requests.h"

#define ENTRY_BODY_KEPT (64 * 1024)   /* bytes of a body kept for a retry */
#define ENTRY_ANSWER_KEPT (64 * 1024) /* bytes of an answer before it streams */
#define ENTRY_BACKLOG_MAX (256 * 1024) /* unsent bytes, then reading stops */

struct entry;

struct entry *create_entry(uv_loop_t *loop, const struct settings *settings,
			   struct requests *requests);

/* Sends and takes messages about keys through PS. */
void set_entry_peers(struct entry *en, struct peers *ps);

/* Listens for the services of SN and no others. */
void set_entry_snapshot(struct entry *en, const struct snapshot *sn);

/* Takes no more requests; those accepted go on. */
void stop_entry(struct entry *en);

/* True once nothing accepted is without its answer. */
bool entry_is_idle(const struct entry *en);
void destroy_entry(struct entry *en);

#endif
