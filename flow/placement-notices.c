/* What follows from health notices of peers, and which ones to send. */

#include <string.h>

#include "flow/placement-state.h"

void set_placer_notices(struct placer *pl, struct health_notices *hn)
{
	pl->notices = hn;
}

/* Sends a notice about NR that says HEALTH. */
static void post_notice(struct placer *pl, upstream_index_t nr,
			enum health_notice_kind kind,
			enum upstream_health health, uint64_t check_ms,
			uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	const struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	struct health_notice n = { .kind = kind,
				   .health = health,
				   .silent_ms = HEALTH_NEVER_MS };

	if (!pl->notices || !up)
		return;
	n.cookie = up->cookie;
	n.upstream_id = up->report.id;
	if (ul->own_alive_ms)
		n.silent_ms = (uint32_t)MIN(now_ms - ul->own_alive_ms,
					    HEALTH_NEVER_MS - 1);
	n.check_ms = (uint32_t)MIN(check_ms, UINT32_MAX);
	post_health_notice(pl->notices, &n,
			   domain_name(pl->catalog, up->domain), now_ms);
}

void post_verdict(struct placer *pl, upstream_index_t nr,
		  const struct upstream_load *ul, uint64_t now_ms)
{
	post_notice(pl, nr, NOTICE_VERDICT, ul->health,
		    now_ms - ul->check_started_ms, now_ms);
}

void post_failed_link_check(struct placer *pl, upstream_index_t nr,
			    const struct upstream_load *ul, uint64_t now_ms)
{
	post_notice(pl, nr, NOTICE_LINK_CHECK, HEALTH_UNREACHABLE,
		    now_ms - ul->check_started_ms, now_ms);
}

bool is_checked_here(const struct placer *pl, upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	return !pl->notices || is_upstream_assessor(pl->notices, up->report.id);
}

void note_unanswered_packet(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t sent_ms,
			    uint64_t now_ms)
{
	if (is_dead_or_cut_off(ul))
		return;
	/* after a pause the answer may be unread */
	if (pl->notices && notice_held_ms(pl->notices, now_ms))
		sent_ms = now_ms;
	if (!ul->unanswered_since_ms)
		ul->unanswered_since_ms = MAX(sent_ms, 1);
	post_notice(pl, nr, NOTICE_SUSPICION, HEALTH_SUSPECTED,
		    now_ms - ul->unanswered_since_ms, now_ms);
}

void post_sign_of_life(struct placer *pl, upstream_index_t nr, uint64_t now_ms)
{
	post_notice(pl, nr, NOTICE_SUSPICION, HEALTH_GOOD, 0, now_ms);
}

void withdraw_suspicion(struct placer *pl, upstream_index_t nr,
			struct upstream_load *ul, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	bool was_unanswered = ul->unanswered_since_ms;

	ul->unanswered_since_ms = 0;
	if (!pl->notices || !up)
		return;
	forget_witnesses(pl->notices, up->report.id);
	if (!was_unanswered)
		return;
	/* others hear of signs of life from those who saw them */
	if (ul->own_alive_ms == now_ms)
		post_sign_of_life(pl, nr, now_ms);
}

void forget_unanswered_packets(struct placer *pl)
{
	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);

		if (ul)
			ul->unanswered_since_ms = 0;
	}
}

unsigned int unanswered_attempts(const struct placer *pl, upstream_index_t nr,
				 const struct upstream_load *ul,
				 uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	unsigned int n;

	if (!pl->notices || !up || notice_held_ms(pl->notices, now_ms) ||
	    was_alive_since(pl, nr, now_ms - MIN(now_ms, HEALTH_UNANSWERED_MS)))
		return 0;
	n = unanswered_witness_count(pl->notices, up->report.id, now_ms);
	/* own losses may have one cause, on this side */
	return n && ul->unanswered_since_ms &&
			       now_ms - ul->unanswered_since_ms >=
				       HEALTH_UNANSWERED_MS
		       ? n + 1
		       : n;
}

bool is_proved_unreachable(const struct placer *pl, upstream_index_t nr,
			   const struct upstream_load *ul, uint64_t now_ms)
{
	unsigned int unanswered = unanswered_attempts(pl, nr, ul, now_ms);

	/* else only its queue of new connections may be full */
	if (!ul->unanswered_since_ms && !unanswered)
		return false;
	/* else the fault, or a queue, is likely on this side */
	if (!was_answered_since(pl, ul->check_started_ms) ||
	    !was_link_open_since(pl, nr, ul->check_started_ms))
		return false;
	return ul->unreachable_checks + unanswered >=
	       PLACEMENT_UNREACHABLE_CHECKS;
}

void advance_suspicion(struct placer *pl, upstream_index_t nr,
		       struct upstream_load *ul, uint64_t now_ms)
{
	uint64_t unanswered_ms = now_ms - ul->unanswered_since_ms;

	if (!pl->notices || ul->health != HEALTH_SUSPECTED)
		return;
	if (ul->unanswered_since_ms && unanswered_ms >= HEALTH_UNANSWERED_MS)
		post_notice(pl, nr, NOTICE_SUSPICION, HEALTH_SUSPECTED,
			    unanswered_ms, now_ms);
	if (!ul->check_running || ul->check_connected ||
	    is_check_outdated(ul) ||
	    now_ms - ul->check_started_ms < HEALTH_CONFIRMED_CHECK_MS ||
	    !is_proved_unreachable(pl, nr, ul, now_ms))
		return;
	note_unreachable(pl, nr, ul, now_ms);
	post_notice(pl, nr, NOTICE_VERDICT, HEALTH_UNREACHABLE,
		    HEALTH_UNANSWERED_MS, now_ms);
}

bool is_own_check_deferred(const struct placer *pl, upstream_index_t nr,
			   const struct upstream_load *ul, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	return pl->notices && ul->health == HEALTH_SUSPECTED &&
	       !ul->unreachable_checks &&
	       now_ms < ul->next_check_ms + HEALTH_ASSESSOR_WAIT_MS &&
	       !is_upstream_assessor(pl->notices, up->report.id);
}

static bool holds_here(const struct placer *pl,
		       const struct catalog_upstream *up,
		       const struct health_notice *n)
{
	return !strcmp(n->domain, pl->domain) ||
	       holds_in_all_domains(n->health, n->domain,
				    domain_name(pl->catalog, up->domain));
}

/* Why N, a verdict, is to be checked here first; VERDICT_ADOPTED if it is not. */
static enum verdict_outcome
doubt_verdict(const struct placer *pl, upstream_index_t nr,
	      const struct catalog_upstream *up, const struct upstream_load *ul,
	      const struct health_notice *n, uint64_t now_ms)
{
	if (!holds_here(pl, up, n))
		return VERDICT_OTHER_DOMAIN;
	/* after a pause signs of life may be unread */
	if (notice_held_ms(pl->notices, now_ms))
		return VERDICT_PAUSED;
	if (ul->restarted_ms &&
	    now_ms - ul->restarted_ms <= HEALTH_START_UNKNOWN_MS)
		return VERDICT_RESTARTED;
	/* builds that use such entries may have checked the other address */
	if (is_contested(pl->catalog, nr, now_ms))
		return VERDICT_CONTESTED;
	/* it rests on a refused check, or on the silence of some flows */
	if (n->health == HEALTH_DEAD && may_serve_unlistening(pl, nr, now_ms))
		return VERDICT_LEAVING;
	/* a refusal takes one round trip, and the sender alone may be cut off */
	if (ul->open_flows &&
	    was_alive_since(pl, nr, now_ms - MIN(now_ms, PLACEMENT_QUIET_MS)))
		return VERDICT_ALIVE_LATELY;
	return VERDICT_ADOPTED;
}

static enum verdict_outcome adopt_verdict(struct placer *pl,
					  upstream_index_t nr,
					  const struct health_notice *n,
					  uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	uint64_t check_began_ms = now_ms - MIN(now_ms, n->check_ms);
	struct verdict v = { .kind = EVIDENCE_ADOPTED,
			     .check_began_ms = check_began_ms,
			     .member_id = service_id(n->sender) };
	enum verdict_outcome outcome = doubt_verdict(pl, nr, up, ul, n, now_ms);

	if (was_alive_since(pl, nr, check_began_ms))
		return VERDICT_DISPROVED;
	if (outcome != VERDICT_ADOPTED) {
		/* this domain's assessor checks; others wait for it */
		note_witness(pl->notices, up->report.id, service_id(n->sender),
			     MAX(n->check_ms, HEALTH_UNANSWERED_MS), now_ms);
		if (ul->open_flows ||
		    is_upstream_assessor(pl->notices, up->report.id))
			check_for_peer(pl, nr, ul, now_ms);
		/* unless they know more of it than the assessor */
		if (outcome == VERDICT_ALIVE_LATELY &&
		    ul->health == HEALTH_SUSPECTED)
			ul->flow_in_doubt = true;
		return outcome;
	}
	if (is_dead_or_cut_off(ul)) {
		ul->proved_ms = now_ms;
		return VERDICT_KNOWN;
	}
	note_verdict(ul, v, now_ms);
	set_verdict(pl, nr, ul, n->health, true, now_ms);
	pl->has_unhealthy = true;
	ul->suspect_since_ms = MAX(check_began_ms, 1);
	return outcome;
}

static enum verdict_outcome handle_verdict(struct placer *pl,
					   upstream_index_t nr,
					   const struct health_notice *n,
					   uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	switch (n->health) {
	case HEALTH_GOOD:
		if (ul->adopted)
			clear_suspicion(pl, nr, ul, now_ms);
		return VERDICT_NONE;
	case HEALTH_UNREACHABLE:
	case HEALTH_DEAD:
		return adopt_verdict(pl, nr, n, now_ms);
	case HEALTH_SUSPECTED:
		break;
	}
	return VERDICT_NONE;
}

static void handle_suspicion(struct placer *pl, upstream_index_t nr,
			     const struct health_notice *n, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	uint64_t sent_ms = now_ms - MIN(now_ms, n->check_ms);
	bool new;

	if (n->health == HEALTH_GOOD) {
		note_peer_sign_of_life(
			pl, nr, ul, now_ms - MIN(now_ms, n->silent_ms), now_ms);
		return;
	}
	if (is_dead_or_cut_off(ul) || was_alive_since(pl, nr, sent_ms))
		return;
	new = note_witness(pl->notices, n->upstream_id, service_id(n->sender),
			   n->check_ms, now_ms);
	if (new || !ul->suspect_since_ms)
		note_silence(pl, nr, sent_ms, now_ms);
}

static void handle_link_check(struct placer *pl, upstream_index_t nr,
			      const struct health_notice *n, uint64_t now_ms)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	/* other domains have links of their own */
	if (pl->links && !strcmp(n->domain, pl->domain) &&
	    !was_alive_since(pl, nr, now_ms - MIN(now_ms, n->check_ms)))
		note_failed_link_check(pl, nr, ul, now_ms);
}

/* OUTCOME, if N has a verdict that an upstream is dead or cut off. */
static enum verdict_outcome ignore_verdict(const struct health_notice *n,
					   enum verdict_outcome outcome)
{
	return n->kind == NOTICE_VERDICT && n->health != HEALTH_GOOD
		       ? outcome
		       : VERDICT_NONE;
}

enum verdict_outcome handle_health_notice(struct placer *pl,
					  const struct health_notice *n,
					  uint64_t now_ms)
{
	upstream_index_t nr = find_upstream_by_cookie(pl->catalog, n->cookie);
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	if (!pl->notices)
		return VERDICT_NONE;
	if (!up || up->report.id != n->upstream_id)
		return ignore_verdict(n, VERDICT_NO_UPSTREAM);
	if (is_stale_notice(n, notice_held_ms(pl->notices, now_ms)))
		return ignore_verdict(n, VERDICT_STALE);
	if (!concerns_link(n->kind) &&
	    is_notice_link_doubtful(pl->notices,
				    domain_name(pl->catalog, up->domain)))
		return ignore_verdict(n, VERDICT_LINK_DOUBTFUL);
	note_received_notice(pl->notices, n, now_ms);
	switch (n->kind) {
	case NOTICE_SUSPICION:
		handle_suspicion(pl, nr, n, now_ms);
		break;
	case NOTICE_VERDICT:
		return handle_verdict(pl, nr, n, now_ms);
	case NOTICE_LINK_CHECK:
		handle_link_check(pl, nr, n, now_ms);
		break;
	case NOTICE_KIND_NR:
		break;
	}
	return VERDICT_NONE;
}

const char *verdict_outcome_name(enum verdict_outcome o)
{
	static const char *const names[VERDICT_OUTCOME_NR] = {
		"none",	  "adopted",	   "known",	   "no-upstream",
		"stale",  "link-doubtful", "alive-since",  "other-domain",
		"paused", "restarted",	   "alive-lately", "contested",
		"leaving"
	};

	return names[o];
}
