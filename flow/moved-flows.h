#ifndef FLOW_MOVED_FLOWS_H
#define FLOW_MOVED_FLOWS_H

/*
 * Notices of flows whose packets routers hand to another instance than before,
 * since instances joined or left. The instance that gets them tells the members
 * of its failure domain, and the one that had the flow stops counting it as
 * load: it would not see the end of a pending request. Answers the change of
 * rotation after an outage, when most flows move within a second. No I/O.
 *
 * A lost notice is not sent again: the request then counts until its end has
 * become likely.
 */

#include <glib.h>

#include "base/wire.h"
#include "flow/cookie-packet.h"

#define MOVED_FLOWS_PER_DATAGRAM 64
#define MOVED_FLOWS_PENDING_MAX 1024 /* flows that wait to be told */

/*
 * Shortest time between the notices of one instance, and what each member that
 * gets them adds to it, which bounds the datagrams that a member receives to
 * one in MOVED_FLOWS_PER_MEMBER_MS while all members send.
 */
#define MOVED_FLOWS_INTERVAL_MS 50
#define MOVED_FLOWS_PER_MEMBER_MS 4

struct moved_flows;

struct moved_flows *create_moved_flows(void);
void destroy_moved_flows(struct moved_flows *mf);

/* Notes that the first packet of flow KEY arrived that was no SYN. */
void note_moved_in(struct moved_flows *mf, const struct flow_key *key);

/* True if flows wait to be told. */
bool has_moved_flows(const struct moved_flows *mf);

/*
 * True if flows are to be told now to MEMBER_NR members. Then appends up to
 * MOVED_FLOWS_PER_DATAGRAM of them to KEYS (of struct flow_key).
 */
bool pop_moved_flows(struct moved_flows *mf, size_t member_nr, uint64_t now_ms,
		     GArray *keys);

/* Appends a notice of KEYS to W. */
void write_moved_flows(struct wire_writer *w, const GArray *keys);

/* Reads a notice; appends its flows to KEYS. False if malformed. */
bool read_moved_flows(const void *data, size_t len, GArray *keys);

#endif
