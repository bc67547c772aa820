/* Changes to the instances and upstreams of a bed. */

#include <glib.h>

#include "t/flow-bed.h"

#define NOTICE_MS 200  /* until an instance acts on news */
#define DETECT_MS 1000 /* until a dead instance or upstream is noticed */

/* Flows at an upstream that is lost end with it. */
static void give_up_flows(struct bed *b, uint64_t upstream)
{
	for (guint i = 0; i < b->flows->len; i++) {
		struct bed_flow *f = flow_at(b, i);

		if (f->opened && f->upstream == upstream)
			f->given_up = true;
	}
}

void drain_bed_upstream(struct bed *b, uint32_t service, int i, bool draining)
{
	struct bed_upstream *up = &b->ups[service][i];

	up->config.draining = draining;
	up->drain_since = b->now;
	publish_flow_bed(b);
}

void join_bed_upstream(struct bed *b, uint32_t service, bool cold)
{
	enum upstream_state s = cold ? UPSTREAM_COLD : UPSTREAM_WARM;

	if (b->upstream_nr[service] == BED_UPSTREAM_MAX)
		return;
	add_bed_upstream(b, service, s);
	publish_flow_bed(b);
	tell_flow_bed(b, ALL_INSTANCES, EV_UPSTREAM,
		      upstream_arg(service, b->upstream_nr[service] - 1), 0);
}

void remove_bed_upstream(struct bed *b, uint32_t service, int i)
{
	b->ups[service][i].listed = false;
	publish_flow_bed(b);
}

void kill_bed_upstream(struct bed *b, uint32_t service, int i)
{
	b->ups[service][i].dead = true;
	give_up_flows(b, b->ups[service][i].config.id);
	tell_flow_bed(b, ALL_INSTANCES, EV_UPSTREAM, upstream_arg(service, i),
		      DETECT_MS);
}

void set_flow_bed_state(struct bed *b, uint32_t service, int i,
			enum upstream_state s)
{
	struct bed_upstream *up = &b->ups[service][i];

	up->state = s;
	if (s == UPSTREAM_COLD && !up->cold) {
		up->open_nr = 0;
		up->cold_from = b->now + b->opt.news_ms + NOTICE_MS;
	}
	up->cold = s == UPSTREAM_COLD;
	tell_flow_bed(b, ALL_INSTANCES, EV_UPSTREAM, upstream_arg(service, i),
		      0);
}

void take_bed_domain(struct bed *b, int domain, bool out)
{
	b->domain_out[domain] = out;
	for (uint32_t s = 0; s < (uint32_t)b->opt.service_nr; s++) {
		for (int i = domain; i < b->upstream_nr[s];
		     i += b->opt.domain_nr) {
			b->ups[s][i].out = out;
			b->ups[s][i].out_since = b->now;
			if (out)
				give_up_flows(b, b->ups[s][i].config.id);
		}
	}
	tell_flow_bed(b, ALL_INSTANCES, EV_DOMAIN, (uint64_t)domain, 0);
}

void kill_bed_instance(struct bed *b, int i)
{
	b->at[i].alive = false;
	tell_flow_bed(b, ALL_INSTANCES, EV_MEMBER, (uint64_t)i, DETECT_MS);
}

void leave_bed_instance(struct bed *b, int i)
{
	struct member self = b->at[i].member;

	self.state = MEMBER_LEAVING;
	put_member(b->at[i].view, &self);
	b->at[i].leaving = true;
	tell_flow_bed(b, ALL_INSTANCES, EV_MEMBER, (uint64_t)i, 0);
	if (b->at[i].flows)
		leave_flows(b->at[i].flows, b->now);
}

bool may_bed_instance_end(struct bed *b, int i)
{
	return !b->at[i].flows || flows_handed_over(b->at[i].flows, b->now);
}

void join_bed_instance(struct bed *b, int i)
{
	start_bed_instance(b, i);
	tell_flow_bed_all(b, i, 0);
	tell_flow_bed(b, ALL_INSTANCES, EV_MEMBER, (uint64_t)i, 0);
}

void catch_up_flow_bed(struct bed *b, int i)
{
	b->at[i].stale = false;
	tell_flow_bed(b, i, EV_SNAPSHOT, 0, 0);
}

void cut_flow_bed(struct bed *b, int domain)
{
	b->cut_domain = domain;
	tell_flow_bed_all(b, ALL_INSTANCES, DETECT_MS);
}

void heal_flow_bed(struct bed *b)
{
	b->cut_domain = 0;
	tell_flow_bed_all(b, ALL_INSTANCES, 0);
}

struct bed_outcome judge_flow_bed(struct bed *b)
{
	struct bed_outcome o = { 0 };

	for (guint i = 0; i < b->flows->len; i++) {
		const struct bed_flow *f = flow_at(b, i);

		o.opened += f->opened;
		o.wrong += f->wrong;
		o.given_up += f->given_up;
		o.broken += f->broken && !f->given_up;
	}
	return o;
}

uint64_t flow_bed_counter(const struct bed *b, enum counter c)
{
	uint64_t sum = b->past.value[c];

	for (int i = 0; i < BED_INSTANCE_MAX; i++)
		sum += b->at[i].counters.value[c];
	return sum;
}

double flow_bed_balance(struct bed *b, uint32_t service)
{
	uint32_t open[BED_UPSTREAM_MAX] = { 0 };
	uint32_t max = 0;
	uint32_t sum = 0;
	int nr = 0;

	for (guint n = 0; n < b->flows->len; n++)
		for (int i = 0; i < b->upstream_nr[service]; i++)
			open[i] += !flow_at(b, n)->broken &&
				   flow_at(b, n)->upstream ==
					   b->ups[service][i].config.id;
	for (int i = 0; i < b->upstream_nr[service]; i++) {
		const struct bed_upstream *up = &b->ups[service][i];

		if (up->dead || up->out || up->cold || up->config.draining)
			continue;
		max = MAX(max, open[i]);
		sum += open[i];
		nr++;
	}
	return sum ? (double)max * nr / sum : 0;
}
