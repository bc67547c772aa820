/* Publishes upstream states to the fleet, and holds back doubtful ones. */

#include "fleet/health-state.h"

#include <glib.h>
#include <string.h>

void record_domain_success(struct health *h, const char *domain,
			   uint64_t now_ms)
{
	uint64_t *at = g_hash_table_lookup(h->domain_success_ms, domain);

	if (!at) {
		at = g_new(uint64_t, 1);
		g_hash_table_insert(h->domain_success_ms, g_strdup(domain), at);
	}
	*at = now_ms;
}

/*
 * True if something in UP's domain answered after UP last failed, so that the
 * failure is not one of the network to that domain.
 */
static bool domain_answered_since_failure(const struct health *h,
					  const struct upstream *up,
					  const struct health_assessment *ha)
{
	const uint64_t *at =
		g_hash_table_lookup(h->domain_success_ms, up->domain);

	return at && *at > ha->last_failure_ms;
}

bool is_service_in_panic(const struct health *h, const struct service *sv,
			 size_t plus)
{
	size_t down = plus;

	for (size_t i = 0; i < sv->upstream_nr; i++)
		down += upstream_state(h->view, &sv->upstreams[i]) ==
			UPSTREAM_DOWN;
	return down * PANIC_DIVISOR > sv->upstream_nr;
}

static bool may_publish(struct health *h, const struct service *sv,
			const struct upstream *up,
			const struct health_assessment *ha)
{
	if (ha->state != UPSTREAM_DOWN)
		return true;
	if (domain_answered_since_failure(h, up, ha) &&
	    !is_service_in_panic(h, sv, 1))
		return true;
	count(h->counters, COUNT_HEALTH_DOWN_HELD);
	return false;
}

/* True if HA contradicts the view, apart from what operators ordered for UP. */
static bool differs_from_view(const struct health *h, const struct upstream *up,
			      const struct health_assessment *ha)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == UPSTREAM_OUT)
		return false;
	if (up->draining && ha->state != UPSTREAM_DOWN && seen != UPSTREAM_DOWN)
		return false;
	return seen != ha->state;
}

void adopt_worse_fleet_state(const struct health *h,
			     struct health_assessment *ha,
			     const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == ha->fleet_state)
		return;
	ha->fleet_state = seen;
	if (seen != UPSTREAM_OUT && seen != UPSTREAM_DRAINING &&
	    seen != UPSTREAM_UNKNOWN && is_worse_state(seen, ha->state))
		adopt_state(ha, seen, now_ms);
}

/* True if the state of HA is one that is published. */
static bool is_publishable(const struct health_assessment *ha)
{
	return ha->state != UPSTREAM_UNKNOWN && ha->state != UPSTREAM_OUT;
}

static bool is_within(uint64_t last, uint64_t pause_ms, uint64_t now_ms)
{
	return last && now_ms < last + pause_ms;
}

/*
 * Publishes again the state that the fleet has already, since the fleet
 * forgets it when the instance that published it dies.
 */
static void republish(const struct health *h, struct health_assessment *ha,
		      const struct upstream *up, uint64_t now_ms,
		      struct health_actions *out)
{
	if (!is_self_domain(h->probers, up->domain) ||
	    is_within(ha->repeated_at_ms, HEALTH_REPUBLISH_MS, now_ms))
		return;
	ha->repeated_at_ms = now_ms;
	add_health_action(out, HEALTH_PUBLISH, ha);
}

void publish_health(struct health *h, struct health_assessment *ha,
		    uint64_t now_ms, struct health_actions *out)
{
	const struct service *sv = service_of_id(h, ha->service);
	const struct upstream *up = sv ? find_upstream(sv, ha->upstream) : NULL;

	if (!up || ha->role != HEALTH_PRIMARY || !is_publishable(ha) ||
	    is_within(ha->published_at_ms, HEALTH_PUBLISH_INTERVAL_MS,
		      now_ms) ||
	    !is_view_settled(h->view))
		return;
	if (published_upstream_state(h->view, up->id) == ha->state) {
		republish(h, ha, up, now_ms, out);
		return;
	}
	if (!differs_from_view(h, up, ha) || !may_publish(h, sv, up, ha))
		return;
	count(h->counters, COUNT_HEALTH_PUBLISHED);
	ha->published_at_ms = now_ms;
	ha->repeated_at_ms = now_ms;
	add_health_action(out, HEALTH_PUBLISH, ha);
}

void apply_operator_orders(struct health *h, struct health_assessment *ha,
			   const struct upstream *up, uint64_t now_ms)
{
	if (is_domain_out(h->view, up->domain))
		apply_chart_event(ha, h->chart, UPSTREAM_DOMAIN_OUT, now_ms);
	else if (ha->state == UPSTREAM_OUT)
		apply_chart_event(ha, h->chart, UPSTREAM_DOMAIN_BACK, now_ms);
	if (up->draining)
		apply_chart_event(ha, h->chart, UPSTREAM_DRAIN, now_ms);
	else if (ha->state == UPSTREAM_DRAINING && !ha->reported_draining)
		apply_chart_event(ha, h->chart, UPSTREAM_DRAIN_OVER, now_ms);
}

void report_state_change(struct health *h, const struct health_assessment *ha,
			 enum upstream_state before, struct health_actions *out)
{
	if (ha->state == before)
		return;
	count(h->counters, COUNT_HEALTH_CHANGED);
	if (before == UPSTREAM_WARM && ha->state == UPSTREAM_COLD)
		count(h->counters, COUNT_HEALTH_SUDDEN_COLD);
	add_health_action(out, HEALTH_CHANGED, ha);
}
