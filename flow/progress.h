#ifndef FLOW_PROGRESS_H
#define FLOW_PROGRESS_H

/*
 * Finds flows that have gone silent. Upstreams answer callers directly, so an
 * instance sees only what callers send: a caller that still sends the same
 * bytes SILENT_MS after it first did has had no acknowledgement in between.
 * Keep-alive and window probes carry at most one byte and are ignored, since
 * they repeat while all is well. A caller that sends nothing cannot be judged.
 */

#include "flow/packet.h"

#define SILENT_MS 10000 /* the same bytes sent again after this: silent */

struct progress;

/* Follows as many flows as SLOT_NR, rounded up to a power of two. */
struct progress *create_progress(size_t slot_nr);
void destroy_progress(struct progress *pg);

/* Notes P, seen at NOW_MS; true if its flow has been silent too long. */
bool note_progress(struct progress *pg, const struct packet *p,
		   uint64_t now_ms);

#endif
