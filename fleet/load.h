#ifndef FLEET_LOAD_H
#define FLEET_LOAD_H

/* Load and reachability of upstreams, as instances send them in heartbeats. */

#include <stdint.h>

enum upstream_health {
	HEALTH_GOOD,
	HEALTH_SUSPECTED,   /* did not answer in time */
	HEALTH_UNREACHABLE, /* unreachable from this instance */
	HEALTH_DEAD	    /* no listener, or another one, at its address */
};

/* Largest report of flow/upstream-quality.h, which has 20 bits. */
#define UPSTREAM_QUALITY_MAX 0xfffff

/* One upstream as one instance observes it. */
struct upstream_load_row {
	uint32_t cookie;     /* identifies the upstream */
	uint16_t busy_flows; /* flows with a request in flight, sixteenths */
	/* flows that will have one by the time a new request gets its turn,
	 * sixteenths */
	uint16_t expected_flows;
	uint16_t silent_ms; /* since it last sent anything; at most 65535 */
	uint8_t health;	    /* enum upstream_health */
	/* report of flow/upstream-quality.h; 0: none */
	uint32_t quality;
};

/* Name of H, as shown in logs. */
const char *upstream_health_name(enum upstream_health h);

#endif
