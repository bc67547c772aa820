#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

/*
 * The difference between two snapshots: the services that were added or
 * changed, and the ids of those that were removed. Peers send deltas to each
 * other, since a whole snapshot is too large to send for each change.
 */

#include "config/snapshot.h"

struct delta;

/* The delta that turns FROM into TO. */
struct delta *create_delta(const struct snapshot *from,
			   const struct snapshot *to);
void destroy_delta(struct delta *d);

uint64_t delta_from(const struct delta *d); /* epoch that it applies to */
uint64_t delta_to(const struct delta *d);   /* epoch of the result */

/*
 * BASE with D applied. NULL if BASE's epoch is not delta_from() or the digest
 * of the result differs from that of the sender's snapshot.
 */
struct snapshot *apply_delta(const struct snapshot *base,
			     const struct delta *d);

void encode_delta(struct wire_writer *w, const struct delta *d);

/* Decodes one delta; if malformed, returns NULL and marks R as malformed. */
struct delta *decode_delta(struct wire_reader *r);

#endif
