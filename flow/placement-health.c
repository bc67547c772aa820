/* Health of upstreams: signs of life, silences, and checks of suspects. */

#include <string.h>

#include "flow/placement-state.h"

void set_upstream_health(struct placer *pl, upstream_index_t nr,
			 struct upstream_load *ul, enum upstream_health to,
			 uint64_t now_ms)
{
	struct health_change ch = { .upstream = nr,
				    .from = ul->health,
				    .to = to,
				    .silence_count = ul->silence_count };

	if (ul->health == to)
		return;
	if (ul->last_alive_ms)
		ch.silent_ms = now_ms - MIN(now_ms, ul->last_alive_ms);
	ul->health = to;
	ch.evidence = describe_health(pl, nr, now_ms);
	g_array_append_val(pl->health_changes, ch);
}

void note_verdict(struct upstream_load *ul, struct verdict v, uint64_t now_ms)
{
	v.lost_since_ms =
		is_dead_or_cut_off(ul) ? ul->verdict.lost_since_ms : now_ms;
	ul->verdict = v;
}

/* Notes a verdict of this instance about the check that ended or still runs. */
static void note_own_verdict(struct upstream_load *ul, enum evidence_kind kind,
			     uint64_t now_ms)
{
	struct verdict v = { .kind = kind,
			     .check_began_ms = ul->check_started_ms,
			     .check_ended_ms = ul->check_running ? 0 : now_ms };

	note_verdict(ul, v, now_ms);
}

/* Time since T_MS; 0 as T_MS: never. */
static uint64_t age_ms(uint64_t t_ms, uint64_t now_ms)
{
	return t_ms ? now_ms - MIN(now_ms, t_ms) : EVIDENCE_NEVER_MS;
}

struct health_evidence describe_health(const struct placer *pl,
				       upstream_index_t nr, uint64_t now_ms)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);
	struct health_evidence he = { .check_age_ms = EVIDENCE_NEVER_MS,
				      .verdict_age_ms = EVIDENCE_NEVER_MS,
				      .own_alive_ms = EVIDENCE_NEVER_MS,
				      .peer_alive_ms = EVIDENCE_NEVER_MS,
				      .link_check_ms = EVIDENCE_NEVER_MS };
	const struct verdict *v;

	if (!ul)
		return he;
	he.health = ul->health;
	he.own_alive_ms = age_ms(ul->own_alive_ms, now_ms);
	he.peer_alive_ms = age_ms(ul->peer_alive_ms, now_ms);
	he.link_check_ms = age_ms(ul->link_failed_ms, now_ms);
	if (!is_dead_or_cut_off(ul))
		return he;
	v = &ul->verdict;
	he.kind = v->kind;
	he.verdict_age_ms = age_ms(v->lost_since_ms, now_ms);
	he.check_age_ms = age_ms(v->check_began_ms, now_ms);
	switch (v->kind) {
	case EVIDENCE_ADOPTED:
		he.peer.member_id = v->member_id;
		break;
	case EVIDENCE_REFUSED:
	case EVIDENCE_REPLACED:
	case EVIDENCE_UNREACHABLE:
	case EVIDENCE_UNANSWERED:
		he.own.check_ended_ms = age_ms(v->check_ended_ms, now_ms);
		he.own.unreachable_checks = v->unreachable_checks;
		he.own.unanswered = v->unanswered;
		break;
	case EVIDENCE_NONE:
	case EVIDENCE_KIND_NR:
		break;
	}
	return he;
}

void pop_health_changes(struct placer *pl, GArray *changes)
{
	g_array_append_vals(changes, pl->health_changes->data,
			    pl->health_changes->len);
	g_array_set_size(pl->health_changes, 0);
}

void clear_suspicion(struct placer *pl, upstream_index_t nr,
		     struct upstream_load *ul, uint64_t now_ms)
{
	set_upstream_health(pl, nr, ul, HEALTH_GOOD, now_ms);
	ul->suspect_since_ms = 0;
	ul->silence_count = 0;
	ul->unreachable_checks = 0;
	ul->refused_ms = 0;
	ul->adopted = false;
	ul->flow_in_doubt = false;
	ul->check_unproved = false;
	withdraw_suspicion(pl, nr, ul, now_ms);
}

void update_placer_upstream(struct placer *pl, upstream_index_t nr,
			    uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (!up)
		return;
	if (ul->upstream_id != up->report.id) {
		clear_own_load(pl, nr);
		if (pl->quality)
			reset_upstream_quality(pl->quality, nr);
		memset(ul, 0, sizeof(*ul));
		ul->upstream_id = up->report.id;
		ul->starts = up->restart_count;
	} else if (ul->starts != up->restart_count) {
		ul->starts = up->restart_count;
		ul->restarted_ms = now_ms;
		if (pl->quality)
			reset_upstream_quality(pl->quality, nr);
		clear_suspicion(pl, nr, ul, now_ms);
		ul->unlistening = false;
	}
	/* a new entry shows that it runs, not that it is reachable */
	if (up->listed && ul->health == HEALTH_DEAD &&
	    up->reported_at_ms == now_ms) {
		set_upstream_health(pl, nr, ul, HEALTH_SUSPECTED, now_ms);
		ul->suspect_since_ms = now_ms;
		ul->next_check_ms = now_ms;
	}
}

void note_upstream_alive(struct placer *pl, upstream_index_t nr,
			 uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	ul->last_alive_ms = now_ms;
	ul->own_alive_ms = now_ms;
	ul->link_failed_ms = 0;
	note_progress_on_link(pl, nr, now_ms);
	if (ul->suspect_since_ms || ul->health != HEALTH_GOOD)
		clear_suspicion(pl, nr, ul, now_ms);
}

void note_upstream_alive_at(struct placer *pl, upstream_index_t nr,
			    uint64_t alive_ms, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	bool is_told = ul->unanswered_since_ms;

	ul->last_alive_ms = MAX(ul->last_alive_ms, alive_ms);
	ul->own_alive_ms = MAX(ul->own_alive_ms, alive_ms);
	if (ul->health != HEALTH_SUSPECTED || alive_ms <= ul->suspect_since_ms)
		return;
	clear_suspicion(pl, nr, ul, now_ms);
	if (is_told)
		post_sign_of_life(pl, nr, now_ms);
}

void note_upstream_answer(struct placer *pl, upstream_index_t nr,
			  uint64_t sent_ms, uint64_t now_ms)
{
	pl->answered_sent_ms = MAX(pl->answered_sent_ms, sent_ms);
	note_upstream_alive(pl, nr, now_ms);
}

bool was_answered_since(const struct placer *pl, uint64_t since_ms)
{
	return pl->answered_sent_ms > since_ms;
}

bool was_alive_since(const struct placer *pl, upstream_index_t nr,
		     uint64_t since_ms)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return ul && ul->last_alive_ms && ul->last_alive_ms >= since_ms;
}

void note_silence(struct placer *pl, upstream_index_t nr, uint64_t sent_ms,
		  uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (was_alive_since(pl, nr, sent_ms))
		return;
	ul->silence_count++;
	if (ul->suspect_since_ms) {
		if (ul->silence_count == PLACEMENT_SHORT_DELAY_SILENCES)
			ul->next_check_ms =
				MIN(ul->next_check_ms,
				    now_ms + PLACEMENT_SHORT_CHECK_DELAY_MS);
		return;
	}
	ul->suspect_since_ms = now_ms;
	ul->next_check_ms =
		MAX(ul->next_check_ms, now_ms + PLACEMENT_CHECK_DELAY_MS);
	if (ul->health == HEALTH_GOOD)
		set_upstream_health(pl, nr, ul, HEALTH_SUSPECTED, now_ms);
	pl->has_unhealthy = true;
}

void note_upstream_silent(struct placer *pl, upstream_index_t nr,
			  uint64_t sent_ms, uint64_t now_ms)
{
	if (was_alive_since(pl, nr, sent_ms))
		return;
	note_silence(pl, nr, sent_ms, now_ms);
	note_unanswered_packet(pl, nr, get_or_create_upstream_load(pl, nr),
			       sent_ms, now_ms);
}

/* Whether the last sign of life is old; false if there never was one. */
static bool is_quiet(const struct upstream_load *ul, uint64_t now_ms)
{
	return ul->last_alive_ms &&
	       now_ms > ul->last_alive_ms + PLACEMENT_QUIET_MS;
}

/* Makes a check due at once, as a peer has checked before. */
static void schedule_check_for_peer(struct upstream_load *ul, uint64_t now_ms)
{
	if (ul->peer_check_ms &&
	    now_ms - ul->peer_check_ms < PLACEMENT_PEER_RECHECK_MS)
		return;
	ul->peer_check_ms = now_ms;
	ul->next_check_ms = MIN(ul->next_check_ms, now_ms);
}

void note_moved_flow(struct placer *pl, upstream_index_t nr, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (!is_quiet(ul, now_ms) || ul->suspect_since_ms)
		return;
	note_silence(pl, nr, now_ms - PLACEMENT_QUIET_MS, now_ms);
	if (ul->peers_dead_or_cut_off)
		schedule_check_for_peer(ul, now_ms);
}

void check_for_peer(struct placer *pl, upstream_index_t nr,
		    struct upstream_load *ul, uint64_t now_ms)
{
	if (is_dead_or_cut_off(ul) ||
	    (ul->peer_check_ms &&
	     now_ms - ul->peer_check_ms < PLACEMENT_PEER_RECHECK_MS))
		return;
	note_silence(pl, nr, now_ms, now_ms);
	schedule_check_for_peer(ul, now_ms);
}

void note_peer_assessment(struct placer *pl, upstream_index_t nr,
			  struct upstream_load *ul, uint64_t now_ms)
{
	uint64_t quiet_since_ms = now_ms - MIN(now_ms, PLACEMENT_QUIET_MS);

	/* without flows here nobody is affected, and checks are billed */
	if (!ul->open_flows || is_dead_or_cut_off(ul) ||
	    was_alive_since(pl, nr, quiet_since_ms) ||
	    (ul->peer_check_ms &&
	     now_ms - ul->peer_check_ms < PLACEMENT_PEER_RECHECK_MS))
		return;
	note_silence(pl, nr, quiet_since_ms, now_ms);
	schedule_check_for_peer(ul, now_ms);
}

bool is_dead_or_cut_off(const struct upstream_load *ul)
{
	return ul->health == HEALTH_DEAD || ul->health == HEALTH_UNREACHABLE;
}

static bool is_check_due(const struct placer *pl, upstream_index_t nr,
			 const struct upstream_load *ul, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	if (!up || ul->check_running || now_ms < ul->next_check_ms)
		return false;
	if (ul->health == HEALTH_GOOD)
		return false;
	if (is_dead_or_cut_off(ul))
		return up->listed || ul->flow_in_doubt;
	if (is_check_pointless(pl, nr, ul, now_ms))
		return false;
	return ul->suspect_since_ms &&
	       (ul->flow_in_doubt ||
		!is_own_check_deferred(pl, nr, ul, now_ms));
}

/* The upstream that answered last, if it is neither suspect nor checked. */
static upstream_index_t pick_answering_upstream(const struct placer *pl)
{
	upstream_index_t best = CATALOG_NONE;
	uint64_t best_ms = 0;

	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		const struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);
		upstream_index_t nr = (upstream_index_t)i;

		if (!ul || ul->own_alive_ms <= best_ms ||
		    ul->health != HEALTH_GOOD || ul->check_running ||
		    !accepts_flows(pl->catalog, nr))
			continue;
		best = nr;
		best_ms = ul->own_alive_ms;
	}
	return best;
}

/*
 * Lists a check of another upstream beside the running one of UL, so that its
 * connection shows whether packets leave this instance's link: where requests
 * take longer than a check, their answers cannot.
 */
static void list_proving_check(struct placer *pl, struct upstream_load *ul,
			       uint64_t now_ms, GArray *checks)
{
	upstream_index_t nr;

	if (!ul->check_unproved || !ul->check_running ||
	    now_ms <= ul->check_started_ms ||
	    was_answered_since(pl, ul->check_started_ms))
		return;
	ul->check_unproved = false;
	nr = pick_answering_upstream(pl);
	if (nr != CATALOG_NONE)
		start_control_check(pl, nr, now_ms, checks);
}

void list_due_checks(struct placer *pl, uint64_t now_ms, GArray *checks)
{
	pl->has_unhealthy = false;
	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);
		upstream_index_t nr = (upstream_index_t)i;

		if (!ul || ul->health == HEALTH_GOOD)
			continue;
		pl->has_unhealthy = true;
		hasten_confirming_check(pl, nr, ul, now_ms);
		advance_suspicion(pl, nr, ul, now_ms);
		list_proving_check(pl, ul, now_ms, checks);
		if (!is_check_due(pl, nr, ul, now_ms))
			continue;
		ul->check_running = true;
		ul->flow_in_doubt = false;
		ul->check_started_ms = now_ms;
		g_array_append_val(checks, nr);
	}
}

/* Notes what proves that NR is unreachable, before it counts as such. */
static void note_unreachable_verdict(const struct placer *pl,
				     upstream_index_t nr,
				     struct upstream_load *ul, uint64_t now_ms)
{
	/* once this instance has cut it off, that is no count any more */
	uint32_t checks = ul->health == HEALTH_UNREACHABLE && !ul->adopted
				  ? ul->verdict.unreachable_checks + 1
				  : ul->unreachable_checks;

	note_own_verdict(ul,
			 checks >= PLACEMENT_UNREACHABLE_CHECKS
				 ? EVIDENCE_UNREACHABLE
				 : EVIDENCE_UNANSWERED,
			 now_ms);
	ul->verdict.unreachable_checks = checks;
	ul->verdict.unanswered = unanswered_attempts(pl, nr, ul, now_ms);
}

void set_verdict(struct placer *pl, upstream_index_t nr,
		 struct upstream_load *ul, enum upstream_health health,
		 bool adopted, uint64_t now_ms)
{
	set_upstream_health(pl, nr, ul, health, now_ms);
	ul->adopted = adopted;
	ul->proved_ms = now_ms;
	ul->next_check_ms = now_ms + (adopted ? PLACEMENT_ADOPTED_RECHECK_MS
					      : PLACEMENT_DEAD_RECHECK_MS);
}

bool may_end_flows(const struct placer *pl, upstream_index_t nr,
		   uint64_t now_ms)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return ul && is_dead_or_cut_off(ul) &&
	       now_ms - ul->proved_ms <= PLACEMENT_VERDICT_MAX_AGE_MS;
}

void note_flow_in_doubt(struct placer *pl, upstream_index_t nr, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	ul->flow_in_doubt = true;
	pl->has_unhealthy = true;
	schedule_check_for_peer(ul, now_ms);
}

void note_unreachable(struct placer *pl, upstream_index_t nr,
		      struct upstream_load *ul, uint64_t now_ms)
{
	note_unreachable_verdict(pl, nr, ul, now_ms);
	set_verdict(pl, nr, ul, HEALTH_UNREACHABLE, false, now_ms);
	ul->unreachable_checks = PLACEMENT_UNREACHABLE_CHECKS;
}

void note_peer_sign_of_life(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t alive_ms,
			    uint64_t now_ms)
{
	ul->last_alive_ms = MAX(ul->last_alive_ms, alive_ms);
	ul->peer_alive_ms = MAX(ul->peer_alive_ms, alive_ms);
	if ((ul->health == HEALTH_SUSPECTED || ul->adopted) &&
	    ul->last_alive_ms > ul->suspect_since_ms)
		clear_suspicion(pl, nr, ul, now_ms);
}

bool is_check_outdated(const struct upstream_load *ul)
{
	return ul->restarted_ms && ul->check_started_ms <= ul->restarted_ms;
}

void note_check_connected(struct placer *pl, upstream_index_t nr)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	ul->check_connected = ul->check_running;
	if (ul->check_running)
		pl->answered_sent_ms =
			MAX(pl->answered_sent_ms, ul->check_started_ms);
	ul->unreachable_checks = 0;
}

/* Keeps the verdict on NR as long as checks of it fail like before. */
static void renew_verdict(const struct placer *pl, struct upstream_load *ul,
			  enum check_result result, uint64_t now_ms)
{
	if (is_dead_or_cut_off(ul) &&
	    (result == CHECK_REFUSED ||
	     (result == CHECK_UNREACHABLE &&
	      was_answered_since(pl, ul->check_started_ms))))
		ul->proved_ms = now_ms;
}

void note_check_result(struct placer *pl, upstream_index_t nr,
		       enum check_result result, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	enum upstream_health before = ul->health;

	pl->has_unhealthy = true;
	ul->check_running = false;
	ul->check_connected = false;
	if (is_check_outdated(ul))
		result = CHECK_NOT_MADE;
	note_check_on_link(pl, nr, result, now_ms);
	if (end_control_check(pl, nr, ul, result, now_ms))
		return;
	ul->next_check_ms = now_ms + (is_behind_lost_link(pl, nr)
					      ? PLACEMENT_DEAD_RECHECK_MS
					      : PLACEMENT_RECHECK_MS);
	/* progress of flows outweighs all but an answer of bad health */
	if (ul->health == HEALTH_GOOD && result != CHECK_BAD)
		return;
	renew_verdict(pl, ul, result, now_ms);
	switch (result) {
	case CHECK_GOOD:
		note_upstream_answer(pl, nr, ul->check_started_ms, now_ms);
		break;
	case CHECK_BAD:
	case CHECK_SILENT:
		ul->unreachable_checks = 0;
		set_upstream_health(pl, nr, ul, HEALTH_SUSPECTED, now_ms);
		if (!ul->suspect_since_ms)
			ul->suspect_since_ms = now_ms;
		break;
	case CHECK_REFUSED:
		if (ul->health != HEALTH_DEAD &&
		    may_serve_unlistening(pl, nr, now_ms)) {
			note_unproved_refusal(pl, nr, ul, now_ms);
			break;
		}
		if (!is_refusal_confirmed(pl, nr, ul, now_ms))
			break;
		/* fall through */
	case CHECK_REPLACED:
		note_own_verdict(ul,
				 result == CHECK_REFUSED ? EVIDENCE_REFUSED
							 : EVIDENCE_REPLACED,
				 now_ms);
		set_verdict(pl, nr, ul, HEALTH_DEAD, false, now_ms);
		break;
	case CHECK_UNREACHABLE:
		/* else the fault, or a queue, is likely on this side */
		ul->check_unproved =
			!was_answered_since(pl, ul->check_started_ms);
		if (ul->check_unproved ||
		    !was_link_open_since(pl, nr, ul->check_started_ms))
			break;
		ul->unreachable_checks++;
		if (!is_proved_unreachable(pl, nr, ul, now_ms)) {
			ul->next_check_ms = now_ms;
			break;
		}
		note_unreachable(pl, nr, ul, now_ms);
		break;
	case CHECK_NOT_MADE:
	case CHECK_RESULT_NR:
		break;
	}
	/* a verdict that this check has proved, or the end of one */
	if ((is_dead_or_cut_off(ul) && ul->proved_ms == now_ms) ||
	    (before >= HEALTH_UNREACHABLE && ul->health == HEALTH_GOOD))
		post_verdict(pl, nr, ul, now_ms);
}

bool reaches_no_upstream(const struct placer *pl)
{
	bool any_accepts = false;

	for (size_t i = 0; i < catalog_upstream_count(pl->catalog); i++) {
		upstream_index_t nr = (upstream_index_t)i;
		const struct upstream_load *ul = find_upstream_load(pl, nr);

		if (!accepts_flows(pl->catalog, nr))
			continue;
		if ((!ul || !is_dead_or_cut_off(ul)) &&
		    !is_behind_lost_link(pl, nr))
			return false;
		any_accepts = true;
	}
	return any_accepts;
}

enum upstream_health assessed_health(const struct placer *pl,
				     upstream_index_t nr)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return ul ? ul->health : HEALTH_GOOD;
}

const char *evidence_kind_name(enum evidence_kind k)
{
	static const char *const names[EVIDENCE_KIND_NR] = {
		"none",	       "refused-check", "replaced",
		"unreachable", "unanswered",	"peer-verdict"
	};

	return names[k];
}

const char *check_result_name(enum check_result r)
{
	static const char *const names[CHECK_RESULT_NR] = {
		"good",	    "bad",	   "silent",  "refused",
		"replaced", "unreachable", "not-made"
	};

	return names[r];
}
