#ifndef NET_PROBE_H
#define NET_PROBE_H

/*
 * Carries out the probes that fleet/health.h asks for, and its ticks. An
 * upstream answers GET /health with
 *
 *	{"start-id": "any text", "state": "warm" | "cold" | "draining"}
 *
 * and GET /load with {"running": N, "slots": N, "cold": true | false}. Every
 * key may be missing, and so may the endpoints: any answer with a code below
 * 500 shows that the upstream lives, and none other does.
 */

#include <uv.h>

#include "fleet/health.h"

struct prober;

/* Calls ON_CHANGE for every action that is not a probe. */
struct prober *create_prober(uv_loop_t *loop, struct health *health,
			     void (*on_change)(const struct health_action *a,
					       void *data),
			     void *data);

/* Sends no more probes; what runs is cut. */
void destroy_prober(struct prober *p);

/* Tells the health that an offer to an upstream ended. */
void observe_upstream(struct prober *p, const struct health_event *ev);

/* Fills EV from the JSON text that answers GET /health or GET /load. */
bool read_health_answer(const char *text, size_t len, struct health_event *ev);
bool read_load_answer(const char *text, size_t len, struct health_event *ev);

#endif
