/* What follows from health notices of peers, and which ones to send. */

#include <string.h>

#include "flow/placement-state.h"

void set_placer_notices(struct placer *pl, struct health_notices *hn)
{
	pl->notices = hn;
}

void post_verdict(struct placer *pl, upstream_index_t nr,
		  const struct upstream_load *ul, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	struct health_notice n = { .kind = NOTICE_VERDICT,
				   .health = ul->health,
				   .silent_ms = HEALTH_NEVER_MS };

	if (!pl->notices || !up)
		return;
	n.cookie = up->cookie;
	n.upstream_id = up->report.id;
	if (ul->last_alive_ms)
		n.silent_ms = (uint32_t)MIN(now_ms - ul->last_alive_ms,
					    HEALTH_NEVER_MS - 1);
	n.check_ms = (uint32_t)MIN(now_ms - ul->check_started_ms, UINT32_MAX);
	post_health_notice(pl->notices, &n,
			   domain_name(pl->catalog, up->domain), now_ms);
}

static bool holds_here(const struct placer *pl,
		       const struct catalog_upstream *up,
		       const struct health_notice *n)
{
	return !strcmp(n->domain, pl->domain) ||
	       holds_in_all_domains(n->health, n->domain,
				    domain_name(pl->catalog, up->domain));
}

static bool adopt_verdict(struct placer *pl, upstream_index_t nr,
			  const struct health_notice *n, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (was_alive_since(pl, nr, now_ms - MIN(now_ms, n->check_ms)))
		return false;
	/* after a pause signs of life may be unread */
	if (!holds_here(pl, up, n) || notice_held_ms(pl->notices, now_ms)) {
		/* this domain's assessor checks; others wait for it */
		if (ul->open_flows ||
		    is_upstream_assessor(pl->notices, up->report.id))
			check_for_peer(pl, nr, ul, now_ms);
		return false;
	}
	if (is_dead_or_cut_off(ul))
		return false;
	set_upstream_health(pl, nr, ul, n->health, now_ms);
	pl->has_unhealthy = true;
	ul->adopted = true;
	ul->suspect_since_ms = now_ms;
	ul->next_check_ms = now_ms + PLACEMENT_ADOPTED_RECHECK_MS;
	return true;
}

static bool handle_verdict(struct placer *pl, upstream_index_t nr,
			   const struct health_notice *n, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	switch (n->health) {
	case HEALTH_GOOD:
		if (ul->adopted)
			clear_suspicion(pl, nr, ul, now_ms);
		return false;
	case HEALTH_UNREACHABLE:
	case HEALTH_DEAD:
		return adopt_verdict(pl, nr, n, now_ms);
	case HEALTH_SUSPECTED:
		break;
	}
	return false;
}

bool handle_health_notice(struct placer *pl, const struct health_notice *n,
			  uint64_t now_ms)
{
	upstream_index_t nr = find_upstream_by_cookie(pl->catalog, n->cookie);
	const struct catalog_upstream *up;

	if (nr == CATALOG_NONE || !pl->notices ||
	    is_stale_notice(n, notice_held_ms(pl->notices, now_ms)))
		return false;
	up = get_upstream(pl->catalog, nr);
	if (up->report.id != n->upstream_id ||
	    is_notice_link_doubtful(pl->notices,
				    domain_name(pl->catalog, up->domain)))
		return false;
	note_received_notice(pl->notices, n, now_ms);
	switch (n->kind) {
	case NOTICE_VERDICT:
		return handle_verdict(pl, nr, n, now_ms);
	case NOTICE_KIND_NR:
		break;
	}
	return false;
}
