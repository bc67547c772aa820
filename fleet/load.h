#ifndef FLEET_LOAD_H
#define FLEET_LOAD_H

/* What instances tell each other about upstreams, as plain data. */

#include <stdint.h>

enum upstream_health {
	HEALTH_GOOD,
	HEALTH_DOUBTED, /* something sent to it was not answered in time */
	HEALTH_CUT_OFF, /* cannot be reached from here */
	HEALTH_DEAD	/* its address has no listener, or another one */
};

/* One instance's view of one upstream, as peers tell each other. */
struct load_row {
	uint32_t cookie;
	uint16_t busy;	  /* flows with a request in flight */
	uint16_t open;	  /* flows, busy ones included */
	uint16_t life_ms; /* since it last showed life there; at most 65535 */
	uint8_t health;	  /* enum upstream_health */
};

/* Name of H, as shown in logs. */
const char *upstream_health_name(enum upstream_health h);

#endif
