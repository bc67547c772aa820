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
	STEER_BY_SLOT,	/* IP packets encapsulated in GUE; see flow/flows.h */
	STEER_BY_COOKIE /* a flow's cookie names its upstream; flow/cookie.h */
};

/* Bounds given by the platform, for steering by cookie; docs/OPERATORS.md. */
struct steering_bounds {
	uint32_t heartbeat_ms; /* interval at which upstreams renew entries */
	uint32_t flow_lifetime_ms; /* longest lifetime of a flow */
	uint32_t kill_after_ms; /* from SIGTERM until the process is killed */
	/*
	 * A cold upstream may get new flows at its cold limit * COLD_FACTOR +
	 * COLD_SLACK, per second.
	 */
	double cold_factor;
	double cold_slack;
	/* a change in the store must be in force within this time */
	uint32_t change_ms;
	uint32_t drain_ms;
	/* operators write again what a restored store lacks within this time */
	uint32_t operator_rewrite_ms;
};

struct settings {
	char name[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX];
	struct endpoint address;  /* of this instance; its port is 0 */
	uint16_t admin_port;	  /* status over HTTP */
	uint16_t peer_port;	  /* ZeroMQ */
	uint16_t flow_port;	  /* UDP encapsulation */
	uint32_t stop_timeout_ms; /* maximum duration of a graceful stop */
	bool bind_service;	  /* listen at the services' addresses */
	enum steering steering;
	struct endpoint packets; /* UDP; receives callers' packets */
	struct endpoint ready;	 /* HTTP; readiness for packets */
	struct endpoint metrics; /* HTTP; counters as text */
	struct steering_bounds bounds;
	bool compare_upstreams; /* [upstreams] capabilities has "health" */
	uint32_t link_mbps;	/* bandwidth of the instance; 0: unknown */
	struct endpoint_list store;
	struct endpoint_list seeds; /* peers to contact at start */
	char directory[256];	    /* of local service files; "" if none */
};

/*
 * Parses TEXT (LEN bytes) into S. Adds every error to PS under the name FILE
 * and returns false if there is one. A figure of [bounds] that means nothing, as
 * "true" for a time, is added to PS too, but no error: the figure of FALLBACK is
 * used, or the default if that is NULL. The same goes for link-mbps, an empty
 * peer-port and single seeds, see docs/OPERATORS.md.
 */
bool parse_settings(const char *file, const char *text, size_t len,
		    const struct steering_bounds *fallback, struct settings *s,
		    struct problems *ps);

#endif
