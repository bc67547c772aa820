#ifndef NET_PROBE_H
#define NET_PROBE_H

/*
 * Sends the health probes that fleet/health.h requests, and runs its ticks. An
 * upstream answers GET /health with
 *
 *	{"start-id": "any text", "state": "warm" | "cold" | "draining"}
 *
 * and GET /load with {"running": N, "slots": N, "cold": true | false}. All keys
 * are optional, and so are both paths: an answer with a status below 500, and
 * no other, shows that the upstream is alive.
 */

#include <uv.h>

#include "fleet/health.h"

struct prober;

/* Calls ON_CHANGE for every action that is not a probe. */
struct prober *create_prober(uv_loop_t *loop, struct health *health,
			     void (*on_change)(const struct health_action *a,
					       void *data),
			     void *data);

/* Cancels running probes and sends no more. */
void destroy_prober(struct prober *p);

/* Passes EV, such as the end of an attempt, to the health assessment. */
void observe_upstream(struct prober *p, const struct health_event *ev);

/* Fills EV from the JSON text that answers GET /health or GET /load. */
bool read_health_answer(const char *text, size_t len, struct health_event *ev);
bool read_load_answer(const char *text, size_t len, struct health_event *ev);

#endif
