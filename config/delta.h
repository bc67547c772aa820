#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

/*
 * The difference between two snapshots: the services that changed or came,
 * and the ids of those that went. Peers pass deltas on, since a whole
 * snapshot is too large to send for each change.
 */

#include "config/snapshot.h"

struct delta;

/* What turns FROM into TO; both stay the caller's. */
struct delta *create_delta(const struct snapshot *from,
			   const struct snapshot *to);
void destroy_delta(struct delta *d);

uint64_t delta_from(const struct delta *d); /* epoch it applies to */
uint64_t delta_to(const struct delta *d);   /* epoch it leads to */

/*
 * The snapshot that D makes of BASE. NULL if BASE has another epoch than
 * delta_from() or the outcome is not what the sender had.
 */
struct snapshot *apply_delta(const struct snapshot *base,
			     const struct delta *d);

void encode_delta(struct wire_writer *w, const struct delta *d);

/* Reads one delta; NULL, and R is bad, if it is malformed. */
struct delta *decode_delta(struct wire_reader *r);

#endif
