#include "fleet/health-chart.h"

#include "charts/builtin.h"

static const char *const event_names[UPSTREAM_EVENT_NR] = {
	[UPSTREAM_RECOVERED] = "recovered",
	[UPSTREAM_FAILED] = "failed",
	[UPSTREAM_RESTARTED] = "restarted",
	[UPSTREAM_SHED_BURST] = "shed-burst",
	[UPSTREAM_LATENCY_JUMP] = "latency-jump",
	[UPSTREAM_REPORTED_COLD] = "reported-cold",
	[UPSTREAM_COLD_DONE] = "cold-done",
	[UPSTREAM_RAMP_DONE] = "ramp-done",
	[UPSTREAM_DRAIN] = "drain",
	[UPSTREAM_DRAIN_OVER] = "drain-over",
	[UPSTREAM_DOMAIN_OUT] = "domain-out",
	[UPSTREAM_DOMAIN_BACK] = "domain-back",
};

struct chart *parse_upstream_chart(const char *text, struct problems *ps)
{
	const char *states[UPSTREAM_STATE_NR];

	for (int s = 0; s < UPSTREAM_STATE_NR; s++)
		states[s] = upstream_state_name((enum upstream_state)s);
	return create_chart("charts/upstream.ini", text, states,
			    UPSTREAM_STATE_NR, event_names, UPSTREAM_EVENT_NR,
			    ps);
}

struct chart *create_upstream_chart(struct problems *ps)
{
	return parse_upstream_chart(builtin_upstream_chart, ps);
}

const char *upstream_event_name(enum upstream_event e)
{
	return event_names[e];
}
