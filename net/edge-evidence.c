/* Log lines that tell what verdicts on upstreams and resets of flows rest on. */

#include "net/edge-state.h"

#define AGE_TEXT_BYTES 24

static const char *format_age(uint64_t age_ms, char text[AGE_TEXT_BYTES])
{
	if (age_ms == EVIDENCE_NEVER_MS)
		return "never";
	g_snprintf(text, AGE_TEXT_BYTES, "%llu", (unsigned long long)age_ms);
	return text;
}

/* The instance whose verdict HE is, or its id if it is unknown now. */
static const char *format_sender(const struct edge *e,
				 const struct health_evidence *he,
				 char text[CONFIG_NAME_MAX])
{
	const struct member *m;

	if (he->kind != EVIDENCE_ADOPTED)
		return "none";
	m = find_member(e->view, he->peer.member_id);
	if (m)
		return m->name;
	g_snprintf(text, CONFIG_NAME_MAX, "%016llx",
		   (unsigned long long)he->peer.member_id);
	return text;
}

uint64_t edge_loop_lag_ms(const struct edge *e)
{
	return recent_loop_lag_ms(&e->loop_lag, COOKIE_TICK_MS, e->now_ms);
}

/* Fields of the reset of a flow of an upstream that is dead or cut off. */
static void format_health_evidence(const struct edge *e, upstream_index_t nr,
				   char text[EVIDENCE_TEXT_BYTES])
{
	struct health_evidence he =
		describe_health(e->placement, nr, e->now_ms);
	char sender[CONFIG_NAME_MAX];
	char verdict[AGE_TEXT_BYTES];
	char check[AGE_TEXT_BYTES];
	char own[AGE_TEXT_BYTES];
	char peer[AGE_TEXT_BYTES];

	g_snprintf(text, EVIDENCE_TEXT_BYTES,
		   "evidence=%s from=%s verdict_age_ms=%s check_age_ms=%s "
		   "own_alive_ms=%s peer_alive_ms=%s loop_late_ms=%llu",
		   evidence_kind_name(he.kind), format_sender(e, &he, sender),
		   format_age(he.verdict_age_ms, verdict),
		   format_age(he.check_age_ms, check),
		   format_age(he.own_alive_ms, own),
		   format_age(he.peer_alive_ms, peer),
		   (unsigned long long)edge_loop_lag_ms(e));
}

/* Fields of the reset of a flow of an upstream behind a cut link. */
static void format_link_evidence(const struct edge *e, upstream_index_t nr,
				 char text[EVIDENCE_TEXT_BYTES])
{
	struct link_evidence le =
		describe_upstream_link(e->placement, nr, e->now_ms);
	struct health_evidence he =
		describe_health(e->placement, nr, e->now_ms);
	char check[AGE_TEXT_BYTES];
	char own[AGE_TEXT_BYTES];
	char peer[AGE_TEXT_BYTES];

	g_snprintf(text, EVIDENCE_TEXT_BYTES,
		   "evidence=cut-link link=%s link_age_ms=%llu heard_ms=%llu "
		   "silent_ms=%llu failed_checks=%u control_failed=%d "
		   "check_age_ms=%s own_alive_ms=%s peer_alive_ms=%s "
		   "loop_late_ms=%llu",
		   link_state_name(le.state), (unsigned long long)le.state_ms,
		   (unsigned long long)le.heard_ms,
		   (unsigned long long)le.member_heard_ms, le.failed_checks,
		   le.control_failed, format_age(he.link_check_ms, check),
		   format_age(he.own_alive_ms, own),
		   format_age(he.peer_alive_ms, peer),
		   (unsigned long long)edge_loop_lag_ms(e));
}

const char *format_reset_evidence(const struct edge *e,
				  enum cookie_reason reason,
				  upstream_index_t nr,
				  char text[EVIDENCE_TEXT_BYTES])
{
	switch (reason) {
	case COOKIE_UPSTREAM_DEAD:
	case COOKIE_UPSTREAM_SILENT:
		format_health_evidence(e, nr, text);
		break;
	case COOKIE_LINK_LOST:
		format_link_evidence(e, nr, text);
		break;
	case COOKIE_NO_ROUTE:
	case COOKIE_ROUTE_GONE:
		g_snprintf(text, EVIDENCE_TEXT_BYTES, "evidence=configuration");
		break;
	default:
		g_snprintf(text, EVIDENCE_TEXT_BYTES, "evidence=none");
		break;
	}
	return text;
}

void log_lost_upstream(struct edge *e, const struct health_change *ch)
{
	const struct catalog_upstream *up =
		get_upstream(e->catalog, ch->upstream);
	const struct health_evidence *he = &ch->evidence;
	bool adopted = he->kind == EVIDENCE_ADOPTED;
	char sender[CONFIG_NAME_MAX];
	char check[AGE_TEXT_BYTES];
	char ended[AGE_TEXT_BYTES];
	char own[AGE_TEXT_BYTES];
	char peer[AGE_TEXT_BYTES];

	log_event(e->log, EVENT_UPSTREAM_LOST,
		  "upstream=%s health=%s evidence=%s from=%s check_age_ms=%s "
		  "check_ended_ms=%s unreachable_checks=%u unanswered=%u "
		  "own_alive_ms=%s peer_alive_ms=%s signs=%u loop_late_ms=%llu",
		  up ? up->report.name : "none", upstream_health_name(ch->to),
		  evidence_kind_name(he->kind), format_sender(e, he, sender),
		  format_age(he->check_age_ms, check),
		  adopted ? "never" : format_age(he->own.check_ended_ms, ended),
		  adopted ? 0 : he->own.unreachable_checks,
		  adopted ? 0 : he->own.unanswered,
		  format_age(he->own_alive_ms, own),
		  format_age(he->peer_alive_ms, peer), ch->silence_count,
		  (unsigned long long)edge_loop_lag_ms(e));
}

void log_peer_verdict(struct edge *e, const struct health_notice *n,
		      upstream_index_t nr, enum verdict_outcome outcome)
{
	enum event_kind kind = outcome == VERDICT_ADOPTED
				       ? EVENT_VERDICT
				       : EVENT_VERDICT_IGNORED;
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);
	struct health_evidence he =
		describe_health(e->placement, nr, e->now_ms);
	char own[AGE_TEXT_BYTES];
	char peer[AGE_TEXT_BYTES];

	log_event(e->log, kind,
		  "upstream=%s reason=%s health=%s from=%s from_domain=%s "
		  "check_ms=%u own_alive_ms=%s peer_alive_ms=%s "
		  "loop_late_ms=%llu",
		  up ? up->report.name : "none", verdict_outcome_name(outcome),
		  upstream_health_name(n->health), n->sender, n->domain,
		  n->check_ms, format_age(he.own_alive_ms, own),
		  format_age(he.peer_alive_ms, peer),
		  (unsigned long long)edge_loop_lag_ms(e));
}
