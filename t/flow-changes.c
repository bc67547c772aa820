/* Changes to the instances and upstreams of a flow harness. */

#include <glib.h>

#include "t/flow-harness.h"

#define REACTION_DELAY_MS 200	/* from an update to an instance's action */
#define DETECTION_DELAY_MS 1000 /* of a dead instance or upstream */

/* Marks the open flows of UPSTREAM as lost with it, not broken by steering. */
static void mark_flows_lost(struct flow_harness *h, uint64_t upstream)
{
	for (guint i = 0; i < h->flows->len; i++) {
		struct harness_flow *f = harness_flow_at(h, i);

		if (f->opened && f->upstream == upstream)
			f->lost_with_upstream = true;
	}
}

void drain_harness_upstream(struct flow_harness *h, uint32_t service, int i,
			    bool draining)
{
	struct harness_upstream *up = &h->upstreams[service][i];

	up->config.draining = draining;
	up->drain_since_ms = h->now_ms;
	publish_harness_config(h);
}

void join_harness_upstream(struct flow_harness *h, uint32_t service, bool cold)
{
	enum upstream_state s = cold ? UPSTREAM_COLD : UPSTREAM_WARM;

	if (h->upstream_nr[service] == HARNESS_UPSTREAM_MAX)
		return;
	add_harness_upstream(h, service, s);
	publish_harness_config(h);
	schedule_update(
		h, ALL_INSTANCES, EV_UPSTREAM,
		upstream_event_arg(service, h->upstream_nr[service] - 1), 0);
}

void remove_harness_upstream(struct flow_harness *h, uint32_t service, int i)
{
	h->upstreams[service][i].listed = false;
	publish_harness_config(h);
}

void kill_harness_upstream(struct flow_harness *h, uint32_t service, int i)
{
	h->upstreams[service][i].dead = true;
	mark_flows_lost(h, h->upstreams[service][i].config.id);
	schedule_update(h, ALL_INSTANCES, EV_UPSTREAM,
			upstream_event_arg(service, i), DETECTION_DELAY_MS);
}

void set_harness_upstream_state(struct flow_harness *h, uint32_t service, int i,
				enum upstream_state s)
{
	struct harness_upstream *up = &h->upstreams[service][i];

	up->state = s;
	if (s == UPSTREAM_COLD && !up->cold) {
		up->cold_flows = 0;
		up->cold_from_ms = h->now_ms + h->opt.update_delay_max_ms +
				   REACTION_DELAY_MS;
	}
	up->cold = s == UPSTREAM_COLD;
	schedule_update(h, ALL_INSTANCES, EV_UPSTREAM,
			upstream_event_arg(service, i), 0);
}

void set_harness_domain_out(struct flow_harness *h, int domain, bool out)
{
	h->domain_out[domain] = out;
	for (uint32_t s = 0; s < (uint32_t)h->opt.service_nr; s++) {
		for (int i = domain; i < h->upstream_nr[s];
		     i += h->opt.domain_nr) {
			h->upstreams[s][i].out = out;
			h->upstreams[s][i].out_since_ms = h->now_ms;
			if (out)
				mark_flows_lost(h,
						h->upstreams[s][i].config.id);
		}
	}
	schedule_update(h, ALL_INSTANCES, EV_DOMAIN, (uint64_t)domain, 0);
}

void kill_harness_instance(struct flow_harness *h, int i)
{
	h->instances[i].alive = false;
	schedule_update(h, ALL_INSTANCES, EV_MEMBER, (uint64_t)i,
			DETECTION_DELAY_MS);
}

void announce_harness_instance_leave(struct flow_harness *h, int i)
{
	struct member self = h->instances[i].member;

	self.state = MEMBER_LEAVING;
	set_view_member(h->instances[i].view, &self);
	h->instances[i].leaving = true;
	schedule_update(h, ALL_INSTANCES, EV_MEMBER, (uint64_t)i, 0);
	if (h->instances[i].flows)
		start_flow_handover(h->instances[i].flows, h->now_ms);
}

bool can_harness_instance_end(struct flow_harness *h, int i)
{
	return !h->instances[i].flows ||
	       is_flow_handover_done(h->instances[i].flows, h->now_ms);
}

void join_harness_instance(struct flow_harness *h, int i)
{
	start_harness_instance(h, i);
	schedule_all_updates(h, i, 0);
	schedule_update(h, ALL_INSTANCES, EV_MEMBER, (uint64_t)i, 0);
}

void catch_up_harness_instance(struct flow_harness *h, int i)
{
	h->instances[i].stale = false;
	schedule_update(h, i, EV_SNAPSHOT, 0, 0);
}

void partition_flow_harness(struct flow_harness *h, int domain)
{
	h->partition_domain = domain;
	schedule_all_updates(h, ALL_INSTANCES, DETECTION_DELAY_MS);
}

void heal_flow_harness(struct flow_harness *h)
{
	h->partition_domain = 0;
	schedule_all_updates(h, ALL_INSTANCES, 0);
}

struct harness_outcome sum_harness_outcomes(struct flow_harness *h)
{
	struct harness_outcome o = { 0 };

	for (guint i = 0; i < h->flows->len; i++) {
		const struct harness_flow *f = harness_flow_at(h, i);

		o.opened += f->opened;
		o.wrong_service += f->wrong_service;
		o.lost_with_upstream += f->lost_with_upstream;
		o.broken += f->broken && !f->lost_with_upstream;
	}
	return o;
}

uint64_t sum_harness_counter(const struct flow_harness *h, enum counter c)
{
	uint64_t sum = h->past_counters.value[c];

	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++)
		sum += h->instances[i].counters.value[c];
	return sum;
}

double harness_imbalance(struct flow_harness *h, uint32_t service)
{
	uint32_t open[HARNESS_UPSTREAM_MAX] = { 0 };
	uint32_t max = 0;
	uint32_t sum = 0;
	int nr = 0;

	for (guint n = 0; n < h->flows->len; n++)
		for (int i = 0; i < h->upstream_nr[service]; i++)
			open[i] += !harness_flow_at(h, n)->broken &&
				   harness_flow_at(h, n)->upstream ==
					   h->upstreams[service][i].config.id;
	for (int i = 0; i < h->upstream_nr[service]; i++) {
		const struct harness_upstream *up = &h->upstreams[service][i];

		if (up->dead || up->out || up->cold || up->config.draining)
			continue;
		max = MAX(max, open[i]);
		sum += open[i];
		nr++;
	}
	return sum ? (double)max * nr / sum : 0;
}
