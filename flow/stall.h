#ifndef FLOW_STALL_H
#define FLOW_STALL_H

/*
 * Detects stalled flows. Upstreams answer callers directly, so an instance sees
 * only what callers send. A caller that retransmits the same bytes STALL_MS
 * after it first sent them has received no acknowledgment for them. Keep-alive
 * and window probes carry at most one byte and are ignored, since healthy flows
 * repeat them. Flows whose caller sends nothing are not detected.
 */

#include "flow/packet.h"

#define STALL_MS 10000 /* a retransmission after this means a stall */

struct stall_detector;

/* Tracks up to FLOW_NR flows, rounded up to a power of two. */
struct stall_detector *create_stall_detector(size_t flow_nr);
void destroy_stall_detector(struct stall_detector *sd);

/* Updates the flow of P, received at NOW_MS; true if it has stalled. */
bool detect_stall(struct stall_detector *sd, const struct packet *p,
		  uint64_t now_ms);

#endif
