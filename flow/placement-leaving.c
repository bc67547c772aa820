/*
 * Upstreams that may have stopped listening while they serve their open flows.
 * A refused check does not show that such an upstream is gone.
 */

#include "flow/placement-state.h"

void set_placer_drain_time(struct placer *pl, uint64_t drain_ms)
{
	pl->drain_ms = drain_ms;
}

void note_store_current(struct placer *pl, uint64_t at_ms)
{
	pl->store_current_ms = MAX(pl->store_current_ms, at_ms);
}

uint64_t store_current_ms(const struct placer *pl)
{
	return pl->store_current_ms;
}

bool may_serve_unlistening(const struct placer *pl, upstream_index_t nr,
			   uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	if (!up)
		return false;
	/* an entry ends when its upstream has left */
	if (!up->has_entry)
		return up->overwritten;
	if (up->report.draining)
		return true;
	/* its report that it drains may not have come here yet */
	return pl->drain_ms &&
	       now_ms - MIN(now_ms, pl->store_current_ms) >= pl->drain_ms;
}

/*
 * Whether NR showed life after SINCE_MS. A packet sent at SINCE_MS itself may
 * acknowledge what came before.
 */
static bool was_alive_after(const struct placer *pl, upstream_index_t nr,
			    uint64_t since_ms)
{
	return was_alive_since(pl, nr, since_ms + 1);
}

/* Longest time in which requests to the service of UP should be answered. */
static uint64_t longest_target_ms(const struct placer *pl,
				  const struct catalog_upstream *up)
{
	const struct catalog_service *sv =
		get_service(pl->catalog, up->service);

	return sv ? sv->longest_target_ms : 0;
}

bool is_unlistening_silent(const struct placer *pl, upstream_index_t nr,
			   uint64_t since_ms, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	/* after a pause answers may be unread */
	if (!up || (pl->notices && notice_held_ms(pl->notices, now_ms)))
		return false;
	return is_unlistening(pl, nr) &&
	       now_ms - since_ms >=
		       PLACEMENT_REPEATS_MS + longest_target_ms(pl, up) &&
	       !was_alive_after(pl, nr, since_ms) &&
	       was_link_open_since(pl, nr, since_ms);
}

bool is_unlistening(const struct placer *pl, upstream_index_t nr)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return ul && ul->unlistening && ul->health == HEALTH_SUSPECTED;
}

bool has_unlistening_upstream(const struct placer *pl)
{
	for (guint i = 0; pl->has_unhealthy && i < pl->upstream_loads->len; i++)
		if (is_unlistening(pl, (upstream_index_t)i))
			return true;
	return false;
}

void note_unproved_refusal(struct placer *pl, upstream_index_t nr,
			   struct upstream_load *ul, uint64_t now_ms)
{
	ul->unlistening = true;
	set_upstream_health(pl, nr, ul, HEALTH_SUSPECTED, now_ms);
	if (!ul->suspect_since_ms)
		ul->suspect_since_ms = now_ms;
}

bool is_check_pointless(const struct placer *pl, upstream_index_t nr,
			const struct upstream_load *ul, uint64_t now_ms)
{
	return ul->unlistening && may_serve_unlistening(pl, nr, now_ms);
}
