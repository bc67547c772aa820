#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

/*
 * Settings of one instance, from the INI file given by --config. See
 * docs/OPERATORS.md for each key.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/problems.h"
#include "config/service.h"

#define SETTINGS_LIST_MAX 16 /* endpoints in one list */

struct endpoint_list {
	struct endpoint at[SETTINGS_LIST_MAX];
	size_t nr;
};

/* How packets of flows reach this instance and leave it. */
enum steering {
	STEER_BY_SLOT,	/* GUE around IP packets; see flow/flows.h */
	STEER_BY_COOKIE /* the flow's cookie names its upstream; flow/cookie.h */
};

/* Bounds that hold for steering by cookie; see docs/OPERATORS.md. */
struct steering_bounds {
	uint32_t heartbeat_ms; /* upstreams renew their entries so often */
	uint32_t flow_ttl_ms;  /* no flow is older */
	uint32_t stop_ms;      /* killed so long after SIGTERM */
	double cold_factor; /* new flows a second that a cold upstream may get:
			     * what it bears, times this, ... */
	double cold_slack;  /* ... and so many more */
};

struct settings {
	char name[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX];
	struct endpoint address; /* port 0: the instance's own address */
	uint16_t admin_port;	 /* status over HTTP */
	uint16_t peer_port;	 /* ZeroMQ */
	uint16_t flow_port;	 /* UDP encapsulation */
	uint32_t stop_ms;	 /* longest a graceful stop may take */
	bool bind_service;	 /* listen at the service's own address */
	enum steering steering;
	struct endpoint packets; /* UDP; callers' packets arrive here */
	struct endpoint ready;	 /* HTTP; whether packets may be sent here */
	struct endpoint metrics; /* HTTP; counters as text */
	struct steering_bounds bounds;
	uint32_t link_mbps; /* of the instance; 0: not said */
	struct endpoint_list store;
	struct endpoint_list seeds; /* peer endpoints known at start */
	char directory[256];	    /* local service files; "" if none */
};

/*
 * Parses TEXT (LEN bytes) into S. Adds every error to PS under the name FILE
 * and returns false if there was one.
 */
bool parse_settings(const char *file, const char *text, size_t len,
		    struct settings *s, struct problems *ps);

#endif
