/* What links between failure domains mean for upstreams behind them. */

#include "flow/domain-link.h"
#include "flow/placement-state.h"

/*
 * Between two control checks of a domain: while the link is up and a refusal
 * waits for confirmation, while it is doubtful, while it is lost. The first is
 * short since callers wait for the verdict; all checks are billed.
 */
#define CONTROL_UP_MS 40
#define CONTROL_DOUBTFUL_MS 500
#define CONTROL_LOST_MS PLACEMENT_DEAD_RECHECK_MS

/*
 * A link that is doubtful for longer than by a few late heartbeats is surveyed:
 * the members of this domain share out the upstreams behind it and check each
 * of them, so that the verdict is known before flows are moved here.
 */
#define SURVEY_DELAY_MS 100
#define SURVEY_REPEAT_MS PLACEMENT_DEAD_RECHECK_MS
#define SURVEY_CHECKS_MAX 8 /* that one tick starts */

void set_placer_links(struct placer *pl, struct domain_links *links)
{
	pl->links = links;
}

/* The domain of NR if there is a link to it, else CATALOG_NONE. */
static domain_index_t linked_domain(const struct placer *pl,
				    upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	return pl->links && up ? up->domain : CATALOG_NONE;
}

bool is_behind_lost_link(const struct placer *pl, upstream_index_t nr)
{
	domain_index_t domain = linked_domain(pl, nr);

	return domain != CATALOG_NONE &&
	       domain_link_state(pl->links, domain) == LINK_LOST;
}

enum upstream_health reached_health(const struct placer *pl,
				    upstream_index_t nr)
{
	enum upstream_health h = assessed_health(pl, nr);

	return h != HEALTH_DEAD && is_behind_lost_link(pl, nr)
		       ? HEALTH_UNREACHABLE
		       : h;
}

bool is_behind_cut_link(const struct placer *pl, upstream_index_t nr,
			uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	/* a single upstream may be reached although the others are not */
	return domain != CATALOG_NONE && ul &&
	       ul->link_failed_ms > domain_member_heard_ms(pl->links, domain) &&
	       is_domain_link_cut(pl->links, domain, now_ms);
}

struct link_evidence describe_upstream_link(const struct placer *pl,
					    upstream_index_t nr,
					    uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);

	if (domain == CATALOG_NONE)
		return (struct link_evidence){ 0 };
	return describe_domain_link(pl->links, domain, now_ms);
}

bool has_lost_link(const struct placer *pl)
{
	size_t n = pl->links ? domain_link_count(pl->links) : 0;

	for (size_t i = 0; i < n; i++)
		if (domain_link_state(pl->links, (domain_index_t)i) ==
		    LINK_LOST)
			return true;
	return false;
}

void note_progress_on_link(struct placer *pl, upstream_index_t nr,
			   uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);

	if (domain != CATALOG_NONE)
		note_domain_progress(pl->links, domain, now_ms);
}

void note_failed_link_check(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);

	if (domain == CATALOG_NONE)
		return;
	ul->link_failed_ms = now_ms;
	/* that a dead one does not answer says nothing of the link */
	if (!is_dead_or_cut_off(ul))
		note_domain_failed_check(pl->links, domain, nr,
					 ul->is_control ||
						 ul->health == HEALTH_GOOD);
}

void note_check_on_link(struct placer *pl, upstream_index_t nr,
			enum check_result result, uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);
	struct upstream_load *ul = find_upstream_load(pl, nr);

	if (domain == CATALOG_NONE)
		return;
	switch (result) {
	case CHECK_GOOD:
	case CHECK_BAD:
	case CHECK_REPLACED:
		note_domain_answer(pl->links, domain, now_ms);
		break;
	case CHECK_REFUSED:
	case CHECK_UNREACHABLE:
		if (domain_link_state(pl->links, domain) != LINK_UP) {
			note_failed_link_check(pl, nr, ul, now_ms);
			post_failed_link_check(pl, nr, ul, now_ms);
		} else if (!is_dead_or_cut_off(ul)) {
			note_domain_failed_check(pl->links, domain, nr,
						 ul->is_control);
		}
		break;
	case CHECK_SILENT:
	case CHECK_NOT_MADE:
	case CHECK_RESULT_NR:
		break;
	}
}

bool is_refusal_confirmed(struct placer *pl, upstream_index_t nr,
			  struct upstream_load *ul, uint64_t now_ms)
{
	domain_index_t domain = linked_domain(pl, nr);

	if (domain == CATALOG_NONE ||
	    was_domain_heard_since(pl->links, domain,
				   ul->refused_ms ? ul->refused_ms : now_ms)) {
		ul->refused_ms = 0;
		return true;
	}
	if (!ul->refused_ms)
		ul->refused_ms = now_ms;
	return false;
}

bool was_link_open_since(const struct placer *pl, upstream_index_t nr,
			 uint64_t since_ms)
{
	domain_index_t domain = linked_domain(pl, nr);

	return domain == CATALOG_NONE ||
	       was_domain_heard_since(pl->links, domain, since_ms);
}

void hasten_confirming_check(const struct placer *pl, upstream_index_t nr,
			     struct upstream_load *ul, uint64_t now_ms)
{
	if (ul->refused_ms && was_link_open_since(pl, nr, ul->refused_ms))
		ul->next_check_ms = MIN(ul->next_check_ms, now_ms);
}

/* Updates what the upstreams of each domain show about its link. */
static void review_domains(struct placer *pl)
{
	GArray *dcs = pl->domain_controls;

	for (guint i = 0; i < dcs->len; i++)
		g_array_index(dcs, struct domain_control, i).upstreams =
			(struct domain_upstreams){ 0 };
	/* without suspects nothing here counts */
	if (!pl->has_unhealthy)
		return;
	for (size_t i = 0; i < catalog_upstream_count(pl->catalog); i++) {
		upstream_index_t nr = (upstream_index_t)i;
		const struct catalog_upstream *up =
			get_upstream(pl->catalog, nr);
		const struct upstream_load *ul = find_upstream_load(pl, nr);
		struct domain_upstreams *du;

		if (!up || !up->listed || up->domain >= dcs->len)
			continue;
		du = &g_array_index(dcs, struct domain_control, up->domain)
			      .upstreams;
		du->accepting += accepts_flows(pl->catalog, nr) &&
				 !(ul && is_dead_or_cut_off(ul));
		du->suspect += ul && ul->health == HEALTH_SUSPECTED;
		du->refusal_waits |= ul && ul->refused_ms;
	}
}

/*
 * The upstream of DOMAIN that is most likely alive, by its last sign of life;
 * CATALOG_NONE if all are suspect or checked now.
 */
static upstream_index_t pick_control(const struct placer *pl,
				     domain_index_t domain)
{
	upstream_index_t best = CATALOG_NONE;
	uint64_t best_ms = 0;

	for (size_t i = 0; i < catalog_upstream_count(pl->catalog); i++) {
		upstream_index_t nr = (upstream_index_t)i;
		const struct catalog_upstream *up =
			get_upstream(pl->catalog, nr);
		const struct upstream_load *ul = find_upstream_load(pl, nr);
		uint64_t alive_ms = ul ? ul->last_alive_ms : 0;

		if (!up || up->domain != domain || !up->listed ||
		    (ul && (ul->health != HEALTH_GOOD || ul->check_running)) ||
		    (best != CATALOG_NONE && alive_ms <= best_ms))
			continue;
		best = nr;
		best_ms = alive_ms;
	}
	return best;
}

bool end_control_check(struct placer *pl, upstream_index_t nr,
		       struct upstream_load *ul, enum check_result result,
		       uint64_t now_ms)
{
	bool only_control = ul->is_control && ul->health == HEALTH_GOOD &&
			    result != CHECK_BAD;

	ul->is_control = false;
	/* the next control check goes to another upstream */
	if (only_control &&
	    (result == CHECK_REFUSED || result == CHECK_UNREACHABLE))
		note_silence(pl, nr, ul->check_started_ms, now_ms);
	return only_control;
}

void start_control_check(struct placer *pl, upstream_index_t nr,
			 uint64_t now_ms, GArray *checks)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	ul->check_running = true;
	ul->is_control = ul->health == HEALTH_GOOD;
	ul->check_started_ms = now_ms;
	g_array_append_val(checks, nr);
}

/* Time between two control checks of DOMAIN; 0: none is needed. */
static uint64_t control_interval_ms(const struct placer *pl,
				    domain_index_t domain,
				    const struct domain_upstreams *du)
{
	switch (domain_link_state(pl->links, domain)) {
	case LINK_UP:
		return du->refusal_waits ? CONTROL_UP_MS : 0;
	case LINK_DOUBTFUL:
		return du->suspect ? CONTROL_DOUBTFUL_MS : 0;
	case LINK_LOST:
		return CONTROL_LOST_MS;
	case LINK_STATE_NR:
		break;
	}
	return 0;
}

/*
 * Lists a check of an upstream of DOMAIN that is not suspect, to tell a cut
 * link from a dead upstream. Heartbeats cannot if no instance runs there.
 */
static void list_control_check(struct placer *pl, domain_index_t domain,
			       const struct domain_upstreams *du,
			       uint64_t now_ms, GArray *checks)
{
	struct domain_control *dc = &g_array_index(
		pl->domain_controls, struct domain_control, domain);
	uint64_t interval_ms = control_interval_ms(pl, domain, du);
	upstream_index_t nr;

	if (!interval_ms || now_ms - dc->checked_ms < interval_ms)
		return;
	nr = pick_control(pl, domain);
	if (nr == CATALOG_NONE)
		return;
	dc->checked_ms = now_ms;
	start_control_check(pl, nr, now_ms, checks);
}

/* Lists checks of the upstreams of DOMAIN that this instance is to survey. */
static void list_survey_checks(struct placer *pl, domain_index_t domain,
			       uint64_t now_ms, GArray *checks)
{
	unsigned int started = 0;

	if (domain_doubtful_ms(pl->links, domain, now_ms) < SURVEY_DELAY_MS)
		return;
	for (size_t i = 0; i < catalog_upstream_count(pl->catalog) &&
			   started < SURVEY_CHECKS_MAX;
	     i++) {
		upstream_index_t nr = (upstream_index_t)i;
		const struct catalog_upstream *up =
			get_upstream(pl->catalog, nr);
		struct upstream_load *ul;

		if (!up || up->domain != domain || !up->listed)
			continue;
		ul = get_or_create_upstream_load(pl, nr);
		if (ul->check_running || is_dead_or_cut_off(ul) ||
		    (ul->surveyed_ms &&
		     now_ms - ul->surveyed_ms < SURVEY_REPEAT_MS))
			continue;
		ul->surveyed_ms = now_ms;
		if (!is_checked_here(pl, nr))
			continue;
		start_control_check(pl, nr, now_ms, checks);
		started++;
	}
}

/* Makes the upstreams of DOMAIN, whose link was lost, usable again. */
static void restore_domain(struct placer *pl, domain_index_t domain,
			   uint64_t now_ms)
{
	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);
		upstream_index_t nr = (upstream_index_t)i;

		if (!ul || linked_domain(pl, nr) != domain)
			continue;
		if (is_dead_or_cut_off(ul))
			ul->next_check_ms = MIN(ul->next_check_ms, now_ms);
		else if (ul->health == HEALTH_SUSPECTED)
			clear_suspicion(pl, nr, ul, now_ms);
	}
}

void tick_placer_links(struct placer *pl, uint64_t now_ms, GArray *checks)
{
	size_t n = pl->links ? domain_link_count(pl->links) : 0;

	if (pl->domain_controls->len < n)
		g_array_set_size(pl->domain_controls, (guint)n);
	review_domains(pl);
	for (size_t i = 0; i < n; i++) {
		domain_index_t domain = (domain_index_t)i;
		const struct domain_upstreams *du =
			&g_array_index(pl->domain_controls,
				       struct domain_control, i)
				 .upstreams;

		set_domain_upstreams(pl->links, domain, du->accepting,
				     du->suspect);
		list_control_check(pl, domain, du, now_ms, checks);
		list_survey_checks(pl, domain, now_ms, checks);
	}
	if (n)
		update_domain_links(pl->links, now_ms);
	for (size_t i = 0; i < n; i++) {
		struct domain_control *dc = &g_array_index(
			pl->domain_controls, struct domain_control, i);
		bool lost = domain_link_state(pl->links, (domain_index_t)i) ==
			    LINK_LOST;

		if (dc->lost && !lost)
			restore_domain(pl, (domain_index_t)i, now_ms);
		dc->lost = lost;
	}
}
