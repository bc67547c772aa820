/* Signs of life and silence of upstreams, and the checks that settle them. */

#include <string.h>

#include "flow/placing-state.h"

static void set_health(struct placing *pl, upstream_nr_t nr,
		       struct upstream_load *r, enum upstream_health to,
		       uint64_t now_ms)
{
	struct health_change ch = { .upstream = nr,
				    .from = r->health,
				    .to = to,
				    .signs = r->doubt_nr };

	if (r->health == to)
		return;
	if (r->life_ms)
		ch.silent_ms = now_ms - MIN(now_ms, r->life_ms);
	r->health = to;
	g_array_append_val(pl->changes, ch);
}

void take_health_changes(struct placing *pl, GArray *changes)
{
	g_array_append_vals(changes, pl->changes->data, pl->changes->len);
	g_array_set_size(pl->changes, 0);
}

void clear_doubt(struct placing *pl, upstream_nr_t nr, struct upstream_load *r,
		 uint64_t now_ms)
{
	set_health(pl, nr, r, HEALTH_GOOD, now_ms);
	r->doubt_ms = 0;
	r->doubt_nr = 0;
	r->unreachable = 0;
}

void update_placing(struct placing *pl, upstream_nr_t nr, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);
	struct upstream_load *r = need_load_row(pl, nr);

	if (!up)
		return;
	if (r->id != up->report.id) {
		pl->busy -= r->busy;
		memset(r, 0, sizeof(*r));
		r->id = up->report.id;
		r->starts = up->starts;
	} else if (r->starts != up->starts) {
		r->starts = up->starts;
		clear_doubt(pl, nr, r, now_ms);
	}
	/* a new entry is a sign of life, though not that it can be reached */
	if (up->listed && r->health == HEALTH_DEAD &&
	    up->learned_ms == now_ms) {
		set_health(pl, nr, r, HEALTH_DOUBTED, now_ms);
		r->doubt_ms = now_ms;
		r->check_ms = now_ms;
	}
}

void note_life(struct placing *pl, upstream_nr_t nr, uint64_t now_ms)
{
	struct upstream_load *r = need_load_row(pl, nr);

	if (r->doubt_ms || r->health != HEALTH_GOOD)
		clear_doubt(pl, nr, r, now_ms);
	r->life_ms = now_ms;
	pl->life_ms = now_ms;
}

bool has_lived_since(const struct placing *pl, upstream_nr_t nr,
		     uint64_t since_ms)
{
	const struct upstream_load *r = find_load_row(pl, nr);

	return r && r->life_ms && r->life_ms >= since_ms;
}

void note_silence(struct placing *pl, upstream_nr_t nr, uint64_t sent_ms,
		  uint64_t now_ms)
{
	struct upstream_load *r = need_load_row(pl, nr);

	if (has_lived_since(pl, nr, sent_ms))
		return;
	r->doubt_nr++;
	if (r->doubt_ms) {
		if (r->doubt_nr == PLACING_DOUBT_SOON_NR)
			r->check_ms = MIN(r->check_ms,
					  now_ms + PLACING_DOUBT_SOON_MS);
		return;
	}
	r->doubt_ms = now_ms;
	r->check_ms = MAX(r->check_ms, now_ms + PLACING_DOUBT_MS);
	if (r->health == HEALTH_GOOD)
		set_health(pl, nr, r, HEALTH_DOUBTED, now_ms);
	pl->in_doubt = true;
}

/* Whether NR was alive, though not for a while; unknown is not quiet. */
static bool is_quiet(const struct upstream_load *r, uint64_t now_ms)
{
	return r->life_ms && now_ms > r->life_ms + PLACING_QUIET_MS;
}

/* A peer has checked before: there is nothing to wait for. */
static void check_told(struct upstream_load *r, uint64_t now_ms)
{
	if (r->told_ms && now_ms - r->told_ms < PLACING_TOLD_AGAIN_MS)
		return;
	r->told_ms = now_ms;
	r->check_ms = MIN(r->check_ms, now_ms);
}

void note_moved_flow(struct placing *pl, upstream_nr_t nr, uint64_t now_ms)
{
	struct upstream_load *r = need_load_row(pl, nr);

	if (!is_quiet(r, now_ms) || r->doubt_ms)
		return;
	note_silence(pl, nr, now_ms - PLACING_QUIET_MS, now_ms);
	if (r->peer_lost)
		check_told(r, now_ms);
}

void note_peer_verdict(struct placing *pl, upstream_nr_t nr,
		       struct upstream_load *r, uint64_t now_ms)
{
	uint64_t since = now_ms - MIN(now_ms, PLACING_QUIET_MS);

	/* without flows here there is no one to tell, and checks are priced */
	if (!r->open || is_out_of_question(r) ||
	    has_lived_since(pl, nr, since) ||
	    (r->told_ms && now_ms - r->told_ms < PLACING_TOLD_AGAIN_MS))
		return;
	note_silence(pl, nr, since, now_ms);
	check_told(r, now_ms);
}

bool is_out_of_question(const struct upstream_load *r)
{
	return r->health == HEALTH_DEAD || r->health == HEALTH_CUT_OFF;
}

static bool wants_check(const struct placing *pl, upstream_nr_t nr,
			const struct upstream_load *r, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);

	if (!up || r->checking || now_ms < r->check_ms)
		return false;
	if (r->health == HEALTH_GOOD)
		return false;
	if (is_out_of_question(r))
		return up->listed;
	return r->doubt_ms;
}

void list_checks(struct placing *pl, uint64_t now_ms, GArray *checks)
{
	pl->in_doubt = false;
	for (guint i = 0; i < pl->rows->len; i++) {
		struct upstream_load *r = g_ptr_array_index(pl->rows, i);
		upstream_nr_t nr = (upstream_nr_t)i;

		if (!r || r->health == HEALTH_GOOD)
			continue;
		pl->in_doubt = true;
		if (!wants_check(pl, nr, r, now_ms))
			continue;
		r->checking = true;
		r->started_ms = now_ms;
		g_array_append_val(checks, nr);
	}
}

void note_check(struct placing *pl, upstream_nr_t nr, enum check_result result,
		uint64_t now_ms)
{
	struct upstream_load *r = need_load_row(pl, nr);

	pl->in_doubt = true;
	r->checking = false;
	r->check_ms = now_ms + PLACING_CHECK_AGAIN_MS;
	/* flows that go on outweigh a check that does not come through */
	if (r->health == HEALTH_GOOD && result != CHECK_BAD)
		return;
	switch (result) {
	case CHECK_GOOD:
		note_life(pl, nr, now_ms);
		break;
	case CHECK_BAD:
	case CHECK_SILENT:
		r->unreachable = 0;
		set_health(pl, nr, r, HEALTH_DOUBTED, now_ms);
		if (!r->doubt_ms)
			r->doubt_ms = now_ms;
		break;
	case CHECK_REFUSED:
	case CHECK_REPLACED:
		set_health(pl, nr, r, HEALTH_DEAD, now_ms);
		r->check_ms = now_ms + PLACING_DEAD_AGAIN_MS;
		break;
	case CHECK_UNREACHABLE:
		/* if nobody answers, the trouble is likely on this side */
		if (pl->life_ms <= r->started_ms)
			break;
		if (++r->unreachable < PLACING_UNREACHABLE_NR) {
			r->check_ms = now_ms;
			break;
		}
		set_health(pl, nr, r, HEALTH_CUT_OFF, now_ms);
		r->check_ms = now_ms + PLACING_DEAD_AGAIN_MS;
		break;
	case CHECK_RESULT_NR:
		break;
	}
}

enum upstream_health placing_health(const struct placing *pl, upstream_nr_t nr)
{
	const struct upstream_load *r = find_load_row(pl, nr);

	return r ? r->health : HEALTH_GOOD;
}

const char *check_result_name(enum check_result r)
{
	static const char *const names[CHECK_RESULT_NR] = {
		"good", "bad", "silent", "refused", "replaced", "unreachable"
	};

	return names[r];
}
