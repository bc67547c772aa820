/* What peers say of upstreams' load, and the means that follow from it. */

#include "flow/placing-state.h"

/* Weight of the newest sample in the running means. */
#define RATIO_WEIGHT 0.1
#define PEER_WEIGHT 0.1

static struct peer_load *need_peer(struct placing *pl, uint64_t member)
{
	struct peer_load new = { .member = member };

	for (guint i = 0; i < pl->peers->len; i++) {
		struct peer_load *p =
			&g_array_index(pl->peers, struct peer_load, i);

		if (p->member == member)
			return p;
	}
	new.rows = g_array_new(FALSE, FALSE, sizeof(struct peer_row));
	g_array_append_val(pl->peers, new);
	return &g_array_index(pl->peers, struct peer_load, pl->peers->len - 1);
}

/* Takes what P said out of the sums. */
static void retract_peer(struct placing *pl, struct peer_load *p)
{
	for (guint i = 0; i < p->rows->len; i++) {
		const struct peer_row *pr =
			&g_array_index(p->rows, struct peer_row, i);
		struct upstream_load *r = need_load_row(pl, pr->nr);

		r->peer_busy -= MIN(r->peer_busy, pr->busy);
		r->peer_open -= MIN(r->peer_open, pr->open);
		r->peer_dead -= MIN(r->peer_dead, (uint32_t)pr->dead);
		r->peer_lost -= MIN(r->peer_lost, (uint32_t)pr->lost);
	}
	g_array_set_size(p->rows, 0);
}

void take_peer_loads(struct placing *pl, uint64_t member,
		     const struct load_row *rows, size_t nr, uint64_t now_ms)
{
	struct peer_load *p = need_peer(pl, member);

	retract_peer(pl, p);
	p->heard_ms = now_ms;
	for (size_t i = 0; i < nr; i++) {
		struct peer_row pr = { find_by_cookie(pl->cat, rows[i].cookie),
				       rows[i].busy, rows[i].open,
				       rows[i].health == HEALTH_DEAD,
				       rows[i].health == HEALTH_DEAD ||
					       rows[i].health ==
						       HEALTH_CUT_OFF };
		uint64_t lived = now_ms - MIN(now_ms, rows[i].life_ms);
		struct upstream_load *r;

		if (pr.nr == CATALOG_NONE)
			continue;
		r = need_load_row(pl, pr.nr);
		r->peer_busy += pr.busy;
		r->peer_open += pr.open;
		r->peer_dead += pr.dead;
		r->peer_lost += pr.lost;
		if (rows[i].life_ms < UINT16_MAX)
			r->life_ms = MAX(r->life_ms, lived);
		if (r->health == HEALTH_DOUBTED && r->life_ms > r->doubt_ms)
			clear_doubt(pl, pr.nr, r, now_ms);
		if (pr.lost)
			note_peer_verdict(pl, pr.nr, r, now_ms);
		g_array_append_val(p->rows, pr);
	}
}

uint32_t busy_request_nr(const struct placing *pl)
{
	return pl->busy;
}

bool has_load_moved(const struct placing *pl)
{
	uint32_t moved = pl->busy > pl->told_busy ? pl->busy - pl->told_busy
						  : pl->told_busy - pl->busy;

	return moved >= PLACING_TELL_LEAST && 2 * moved >= pl->told_busy;
}

void list_own_loads(struct placing *pl, uint64_t now_ms, GArray *rows)
{
	pl->told_busy = pl->busy;
	for (guint i = 0; i < pl->rows->len; i++) {
		const struct upstream_load *r = g_ptr_array_index(pl->rows, i);
		const struct catalog_upstream *up =
			get_upstream(pl->cat, (upstream_nr_t)i);
		struct load_row lr;

		if (!r || !up || (!r->open && r->health == HEALTH_GOOD))
			continue;
		lr.cookie = up->cookie;
		lr.busy = (uint16_t)MIN(r->busy, UINT16_MAX);
		lr.open = (uint16_t)MIN(r->open, UINT16_MAX);
		lr.life_ms = r->life_ms ? (uint16_t)MIN(now_ms - r->life_ms,
							UINT16_MAX)
					: UINT16_MAX;
		lr.health = (uint8_t)r->health;
		g_array_append_val(rows, lr);
	}
}

static void update_busy_ratio(struct placing *pl, service_nr_t service)
{
	const struct catalog_service *sv = get_service(pl->cat, service);
	struct service_mean *mean = need_service_mean(pl, service);
	uint32_t busy = 0;
	uint32_t open = 0;

	for (guint i = 0; i < sv->upstreams->len; i++) {
		struct upstream_load *r = need_load_row(
			pl, g_array_index(sv->upstreams, upstream_nr_t, i));

		r->peer_mean += PEER_WEIGHT * (r->peer_busy - r->peer_mean);
		busy += r->busy + r->peer_busy;
		open += r->open + r->peer_open;
	}
	if (open)
		mean->busy_ratio +=
			RATIO_WEIGHT *
			((double)MIN(busy, open) / open - mean->busy_ratio);
}

void tick_placing(struct placing *pl, uint64_t now_ms, GArray *checks)
{
	for (guint i = pl->peers->len; i > 0; i--) {
		struct peer_load *p =
			&g_array_index(pl->peers, struct peer_load, i - 1);

		if (now_ms - p->heard_ms < PLACING_PEER_MS)
			continue;
		retract_peer(pl, p);
		g_array_free(p->rows, TRUE);
		g_array_remove_index_fast(pl->peers, i - 1);
	}
	if (now_ms - pl->means_ms >= PLACING_MEANS_MS) {
		pl->means_ms = now_ms;
		for (size_t i = 0; i < catalog_service_nr(pl->cat); i++)
			update_busy_ratio(pl, (service_nr_t)i);
	}
	if (pl->in_doubt)
		list_checks(pl, now_ms, checks);
}
