/* What this instance tells the fleet of upstreams, and what it holds back. */

#include "fleet/health-state.h"

#include <glib.h>
#include <string.h>

void note_domain_reach(struct health *h, const char *domain, uint64_t now_ms)
{
	uint64_t *at = g_hash_table_lookup(h->reach, domain);

	if (!at) {
		at = g_new(uint64_t, 1);
		g_hash_table_insert(h->reach, g_strdup(domain), at);
	}
	*at = now_ms;
}

/* True if something in UP's domain answered after UP last failed. */
static bool domain_is_reached(const struct health *h, const struct upstream *up,
			      const struct judge *j)
{
	const uint64_t *at = g_hash_table_lookup(h->reach, up->domain);

	return at && *at > j->last_failure;
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
			const struct upstream *up, const struct judge *j)
{
	if (j->state != UPSTREAM_DOWN)
		return true;
	if (domain_is_reached(h, up, j) && !is_service_in_panic(h, sv, 1))
		return true;
	count(h->counters, COUNT_HEALTH_DOWN_HELD);
	return false;
}

/* The fleet's own word on UP without what operators put over it. */
static bool differs_from_view(const struct health *h, const struct upstream *up,
			      const struct judge *j)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == UPSTREAM_OUT)
		return false;
	if (up->draining && j->state != UPSTREAM_DOWN && seen != UPSTREAM_DOWN)
		return false;
	return seen != j->state;
}

void heed_fleet_state(const struct health *h, struct judge *j,
		      const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen == j->seen)
		return;
	j->seen = seen;
	if (seen != UPSTREAM_OUT && seen != UPSTREAM_DRAINING &&
	    seen != UPSTREAM_UNKNOWN && is_worse_state(seen, j->state))
		adopt_state(j, seen, now_ms);
}

/* True if J has a state that fleets share. */
static bool is_publishable(const struct judge *j)
{
	return j->state != UPSTREAM_UNKNOWN && j->state != UPSTREAM_OUT;
}

static bool is_pausing(uint64_t last, uint64_t pause_ms, uint64_t now_ms)
{
	return last && now_ms < last + pause_ms;
}

/* Stands for what the fleet says already, in place of one who died. */
static void restate(const struct health *h, struct judge *j,
		    const struct upstream *up, uint64_t now_ms,
		    struct health_actions *out)
{
	if (!is_own_domain(h->probers, up->domain) ||
	    is_pausing(j->stated_at, HEALTH_RESTATE_MS, now_ms))
		return;
	j->stated_at = now_ms;
	add_health_action(out, HEALTH_PUBLISH, j);
}

void publish_health(struct health *h, struct judge *j, uint64_t now_ms,
		    struct health_actions *out)
{
	const struct service *sv = service_of_id(h, j->service);
	const struct upstream *up = sv ? find_upstream(sv, j->upstream) : NULL;

	if (!up || j->role != HEALTH_PRIMARY || !is_publishable(j) ||
	    is_pausing(j->published_at, HEALTH_PUBLISH_MS, now_ms) ||
	    !is_view_settled(h->view))
		return;
	if (judged_upstream_state(h->view, up->id) == j->state) {
		restate(h, j, up, now_ms, out);
		return;
	}
	if (!differs_from_view(h, up, j) || !may_publish(h, sv, up, j))
		return;
	count(h->counters, COUNT_HEALTH_PUBLISHED);
	j->published_at = now_ms;
	j->stated_at = now_ms;
	add_health_action(out, HEALTH_PUBLISH, j);
}

void apply_health_orders(struct health *h, struct judge *j,
			 const struct upstream *up, uint64_t now_ms)
{
	if (is_domain_out(h->view, up->domain))
		move_judge(j, h->chart, UPSTREAM_DOMAIN_OUT, now_ms);
	else if (j->state == UPSTREAM_OUT)
		move_judge(j, h->chart, UPSTREAM_DOMAIN_BACK, now_ms);
	if (up->draining)
		move_judge(j, h->chart, UPSTREAM_DRAIN, now_ms);
	else if (j->state == UPSTREAM_DRAINING && !j->reported_draining)
		move_judge(j, h->chart, UPSTREAM_DRAIN_OVER, now_ms);
}

void report_health_change(struct health *h, const struct judge *j,
			  enum upstream_state before,
			  struct health_actions *out)
{
	if (j->state == before)
		return;
	count(h->counters, COUNT_HEALTH_CHANGED);
	if (before == UPSTREAM_WARM && j->state == UPSTREAM_COLD)
		count(h->counters, COUNT_HEALTH_SUDDEN_COLD);
	add_health_action(out, HEALTH_CHANGED, j);
}
