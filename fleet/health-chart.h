#ifndef FLEET_HEALTH_CHART_H
#define FLEET_HEALTH_CHART_H

/*
 * The state machine of one upstream's health, defined in charts/upstream.ini.
 * Its states are enum upstream_state.
 */

#include "base/chart.h"
#include "fleet/view.h"

enum upstream_event {
	UPSTREAM_RECOVERED,	/* enough good probes, or down long enough */
	UPSTREAM_FAILED,	/* enough failures in a row */
	UPSTREAM_RESTARTED,	/* its start id or age shows a new process */
	UPSTREAM_SHED_BURST,	/* it shed or lost several recent requests */
	UPSTREAM_LATENCY_JUMP,	/* several answers took far longer than usual */
	UPSTREAM_REPORTED_COLD, /* its own report says that it is cold */
	UPSTREAM_COLD_DONE,	/* cold start passed without a bad answer */
	UPSTREAM_RAMP_DONE,	/* warming passed without a bad answer */
	UPSTREAM_DRAIN,		/* published or reported as draining */
	UPSTREAM_DRAIN_OVER,
	UPSTREAM_DOMAIN_OUT,
	UPSTREAM_DOMAIN_BACK,
	UPSTREAM_EVENT_NR
};

/* Builds the chart; NULL, with the reasons in PS, if its file is wrong. */
struct chart *create_upstream_chart(struct problems *ps);

/* Like create_upstream_chart(), but from TEXT in place of the built-in file. */
struct chart *parse_upstream_chart(const char *text, struct problems *ps);

const char *upstream_event_name(enum upstream_event e);

#endif
