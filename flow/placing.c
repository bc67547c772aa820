#include "flow/placing.h"

#include <string.h>

/* Weight of the newest sample in the running means. */
#define MEAN_WEIGHT 0.1
#define PEER_WEIGHT 0.1
#define ANSWER_MS_START 50.0 /* until answers were seen */
#define BUSY_RATIO_START 0.5 /* share of open flows with a request */

struct peer_load {
	uint64_t member;
	uint64_t heard_ms;
	GArray *rows; /* of struct peer_row */
};

struct peer_row {
	upstream_nr_t nr;
	uint16_t busy;
	uint16_t open;
	bool dead;
};

struct row {
	uint64_t id;	 /* of the upstream that this is about */
	uint32_t starts; /* and which of its starts */
	uint32_t busy;
	uint32_t open;
	uint32_t peer_busy;
	uint32_t peer_open;
	double peer_mean;   /* of peer_busy; a sum is old within one request */
	uint32_t peer_dead; /* peers that found nothing listening */
	uint64_t life_ms;
	uint64_t doubt_ms; /* since when it is doubted; 0: it is not */
	uint32_t doubt_nr; /* signs of silence since then */
	enum upstream_health health;
	bool checking;
	uint32_t unreachable; /* checks in vain, one after the other */
	uint64_t check_ms;    /* no check before */
	uint64_t started_ms;  /* when the check under way began */
	uint64_t cold[PLACING_COLD_MAX]; /* times of the last flows */
	uint32_t cold_at;
};

struct service_mean {
	double answer_ms;
	double busy_ratio;
	struct histogram answers; /* ms */
};

struct placing {
	const struct catalog *cat;
	const struct view *view;
	struct shares *shares;
	char *domain;
	double far_cost;
	GRand *rand;
	GPtrArray *rows;    /* of struct row, by handle */
	GArray *services;   /* of struct service_mean, by handle */
	GArray *peers;	    /* of struct peer_load */
	uint64_t means_ms;  /* when the means were updated */
	bool in_doubt;	    /* some upstream is not in good health */
	uint64_t life_ms;   /* when any upstream last showed life here */
	uint32_t busy;	    /* own requests in flight, all upstreams together */
	uint32_t told_busy; /* the same when peers were last told */
	GArray *changes;    /* of struct health_change, not taken yet */
	double cold_factor;
	double cold_slack;
};

struct placing *create_placing(const struct catalog *cat,
			       const struct view *view, struct shares *shares,
			       const char *domain, uint32_t seed)
{
	struct placing *pl = g_new0(struct placing, 1);

	pl->cat = cat;
	pl->view = view;
	pl->shares = shares;
	pl->domain = g_strdup(domain);
	pl->far_cost = PLACING_FAR_COST;
	pl->cold_factor = 1;
	pl->rand = g_rand_new_with_seed(seed);
	pl->rows = g_ptr_array_new_with_free_func(g_free);
	pl->services = g_array_new(FALSE, TRUE, sizeof(struct service_mean));
	pl->peers = g_array_new(FALSE, FALSE, sizeof(struct peer_load));
	pl->changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	return pl;
}

void set_cold_bounds(struct placing *pl, double factor, double slack)
{
	pl->cold_factor = factor;
	pl->cold_slack = slack;
}

void set_far_cost(struct placing *pl, double cost)
{
	pl->far_cost = cost;
}

void destroy_placing(struct placing *pl)
{
	if (!pl)
		return;
	for (guint i = 0; i < pl->peers->len; i++)
		g_array_free(g_array_index(pl->peers, struct peer_load, i).rows,
			     TRUE);
	g_array_free(pl->peers, TRUE);
	g_array_free(pl->changes, TRUE);
	g_array_free(pl->services, TRUE);
	g_ptr_array_free(pl->rows, TRUE);
	g_rand_free(pl->rand);
	g_free(pl->domain);
	g_free(pl);
}

static struct row *find_row(const struct placing *pl, upstream_nr_t nr)
{
	return nr < pl->rows->len ? g_ptr_array_index(pl->rows, nr) : NULL;
}

static struct row *need_row(struct placing *pl, upstream_nr_t nr)
{
	while (pl->rows->len <= nr)
		g_ptr_array_add(pl->rows, NULL);
	if (!g_ptr_array_index(pl->rows, nr))
		g_ptr_array_index(pl->rows, nr) = g_new0(struct row, 1);
	return g_ptr_array_index(pl->rows, nr);
}

static struct service_mean *need_mean(struct placing *pl, service_nr_t sv)
{
	struct service_mean start = { .answer_ms = ANSWER_MS_START,
				      .busy_ratio = BUSY_RATIO_START };

	while (pl->services->len <= sv)
		g_array_append_val(pl->services, start);
	return &g_array_index(pl->services, struct service_mean, sv);
}

static void set_health(struct placing *pl, upstream_nr_t nr, struct row *r,
		       enum upstream_health to, uint64_t now_ms)
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

static void clear_doubt(struct placing *pl, upstream_nr_t nr, struct row *r,
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
	struct row *r = need_row(pl, nr);

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

static double row_load(const struct row *r, double busy_ratio)
{
	double busy = r->busy + r->peer_mean;
	double idle = (double)r->open + r->peer_open - busy;

	return busy + (idle > 0 ? busy_ratio * idle : 0);
}

/* Flows that this instance has sent to the cold upstream of R in a window. */
static uint32_t recent_cold_flows(const struct row *r, uint64_t now_ms)
{
	uint32_t n = 0;

	for (size_t i = 0; i < PLACING_COLD_MAX; i++)
		n += r->cold[i] && now_ms - r->cold[i] < PLACING_COLD_WINDOW_MS;
	return n;
}

/* Whether most of the members that were heard lately still live. */
static bool sees_majority(const struct placing *pl)
{
	size_t known;

	view_members(pl->view, &known);
	return 2 * live_member_nr(pl->view) > known;
}

static bool may_take_cold(const struct placing *pl, upstream_nr_t nr,
			  const struct row *r, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);
	const struct catalog_service *sv = get_service(pl->cat, up->service);
	double half = (sv->cold_per_s * pl->cold_factor + pl->cold_slack) / 2;
	uint32_t bears = (uint32_t)MIN(MIN(sv->cold_per_s, half),
				       (double)PLACING_COLD_MAX);

	/* the shares of a view that lacks most members are others' too */
	if (!is_view_settled(pl->view) || !sees_majority(pl))
		return false;
	return recent_cold_flows(r, now_ms) <
	       upstream_share(pl->shares, up->report.id, bears, now_ms);
}

static bool was_tried(const upstream_nr_t *tried, size_t nr, upstream_nr_t up)
{
	for (size_t i = 0; i < nr; i++)
		if (tried[i] == up)
			return true;
	return false;
}

/* Whether an upstream in health H is out of the question. */
static bool is_unusable(const struct row *r)
{
	return r->health == HEALTH_DEAD || r->health == HEALTH_CUT_OFF;
}

static double far_cost(const struct placing *pl,
		       const struct catalog_upstream *up)
{
	return strcmp(domain_name(pl->cat, up->domain), pl->domain) != 0
		       ? pl->far_cost
		       : 0;
}

/* Requests in flight for each slot of NR as last told, without averaging. */
static double present_load(const struct placing *pl, upstream_nr_t nr)
{
	const struct row *r = find_row(pl, nr);

	return (double)(r->busy + r->peer_busy) /
	       get_upstream(pl->cat, nr)->report.slots;
}

/*
 * Expected wait for a slot at LOAD, in requests for each slot, is that of
 * the requests ahead beyond those that run.
 */
static bool is_too_late(double load, double answer_ms, uint32_t deadline_ms)
{
	return load > 1 && (load - 1) * answer_ms > deadline_ms;
}

struct placement place_new_flow(struct placing *pl, service_nr_t service,
				uint32_t deadline_ms,
				const upstream_nr_t *tried, size_t tried_nr,
				uint64_t now_ms)
{
	const struct catalog_service *sv = get_service(pl->cat, service);
	struct placement best = { CATALOG_NONE, PLACE_NONE_LISTED, 0 };
	const struct service_mean *mean = need_mean(pl, service);
	double best_score = 0;
	bool best_doubted = false;

	for (guint i = 0; sv && i < sv->upstreams->len; i++) {
		upstream_nr_t nr =
			g_array_index(sv->upstreams, upstream_nr_t, i);
		const struct catalog_upstream *up = get_upstream(pl->cat, nr);
		struct row *r = need_row(pl, nr);
		bool cold = is_cold_upstream(pl->cat, nr, now_ms);
		bool doubted = r->health == HEALTH_DOUBTED || r->peer_dead;
		double load;
		double score;

		if (!accepts_flows(pl->cat, nr))
			continue;
		if (is_unusable(r) || was_tried(tried, tried_nr, nr)) {
			if (best.upstream == CATALOG_NONE &&
			    best.reason == PLACE_NONE_LISTED)
				best.reason = PLACE_ALL_DEAD;
			continue;
		}
		if (cold && !may_take_cold(pl, nr, r, now_ms)) {
			if (best.upstream == CATALOG_NONE)
				best.reason = PLACE_ALL_COLD;
			continue;
		}
		load = row_load(r, mean->busy_ratio) / up->report.slots;
		score = load + far_cost(pl, up) +
			g_rand_double(pl->rand) * 0.01; /* ties */
		if (best.upstream != CATALOG_NONE &&
		    (doubted > best_doubted ||
		     (doubted == best_doubted && score >= best_score)))
			continue;
		best.upstream = nr;
		best.reason = doubted ? PLACE_DOUBTED
			      : cold  ? PLACE_COLD
				      : PLACE_LEAST_LOADED;
		best.load = load;
		best_score = score;
		best_doubted = doubted;
	}
	if (best.upstream == CATALOG_NONE)
		return best;
	if (is_too_late(best.load, mean->answer_ms, deadline_ms)) {
		best.upstream = CATALOG_NONE;
		best.reason = PLACE_OVERLOADED;
		return best;
	}
	if (present_load(pl, best.upstream) >= PLACING_FULL_LOAD)
		best.reason = PLACE_FULL;
	if (is_cold_upstream(pl->cat, best.upstream, now_ms)) {
		struct row *r = find_row(pl, best.upstream);

		r->cold[r->cold_at++ % PLACING_COLD_MAX] = now_ms;
	}
	return best;
}

void note_flow_open(struct placing *pl, upstream_nr_t nr)
{
	need_row(pl, nr)->open++;
}

void note_flow_end(struct placing *pl, upstream_nr_t nr)
{
	struct row *r = need_row(pl, nr);

	if (r->open)
		r->open--;
}

void note_request(struct placing *pl, upstream_nr_t nr)
{
	need_row(pl, nr)->busy++;
	pl->busy++;
}

void note_request_end(struct placing *pl, upstream_nr_t nr)
{
	struct row *r = need_row(pl, nr);

	if (!r->busy)
		return;
	r->busy--;
	pl->busy--;
}

void note_life(struct placing *pl, upstream_nr_t nr, uint64_t now_ms)
{
	struct row *r = need_row(pl, nr);

	if (r->doubt_ms || r->health != HEALTH_GOOD)
		clear_doubt(pl, nr, r, now_ms);
	r->life_ms = now_ms;
	pl->life_ms = now_ms;
}

void note_answer(struct placing *pl, upstream_nr_t nr, uint64_t took_ms,
		 uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);

	if (up) {
		struct service_mean *mean = need_mean(pl, up->service);

		add_duration(&mean->answers, took_ms);
		mean->answer_ms +=
			MEAN_WEIGHT * ((double)took_ms - mean->answer_ms);
	}
	note_life(pl, nr, now_ms);
}

bool has_lived_since(const struct placing *pl, upstream_nr_t nr,
		     uint64_t since_ms)
{
	const struct row *r = find_row(pl, nr);

	return r && r->life_ms && r->life_ms >= since_ms;
}

void note_silence(struct placing *pl, upstream_nr_t nr, uint64_t sent_ms,
		  uint64_t now_ms)
{
	struct row *r = need_row(pl, nr);

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
		struct row *r = need_row(pl, pr->nr);

		r->peer_busy -= MIN(r->peer_busy, pr->busy);
		r->peer_open -= MIN(r->peer_open, pr->open);
		r->peer_dead -= MIN(r->peer_dead, (uint32_t)pr->dead);
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
				       rows[i].health == HEALTH_DEAD };
		uint64_t lived = now_ms - MIN(now_ms, rows[i].life_ms);
		struct row *r;

		if (pr.nr == CATALOG_NONE)
			continue;
		r = need_row(pl, pr.nr);
		r->peer_busy += pr.busy;
		r->peer_open += pr.open;
		r->peer_dead += pr.dead;
		if (rows[i].life_ms < UINT16_MAX)
			r->life_ms = MAX(r->life_ms, lived);
		if (r->health == HEALTH_DOUBTED && r->life_ms > r->doubt_ms)
			clear_doubt(pl, pr.nr, r, now_ms);
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
		const struct row *r = g_ptr_array_index(pl->rows, i);
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
	struct service_mean *mean = need_mean(pl, service);
	uint32_t busy = 0;
	uint32_t open = 0;

	for (guint i = 0; i < sv->upstreams->len; i++) {
		struct row *r = need_row(
			pl, g_array_index(sv->upstreams, upstream_nr_t, i));

		r->peer_mean += PEER_WEIGHT * (r->peer_busy - r->peer_mean);
		busy += r->busy + r->peer_busy;
		open += r->open + r->peer_open;
	}
	if (open)
		mean->busy_ratio +=
			MEAN_WEIGHT *
			((double)MIN(busy, open) / open - mean->busy_ratio);
}

static bool wants_check(const struct placing *pl, upstream_nr_t nr,
			const struct row *r, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);

	if (!up || r->checking || now_ms < r->check_ms)
		return false;
	if (r->health == HEALTH_GOOD)
		return false;
	if (is_unusable(r))
		return up->listed;
	return r->doubt_ms;
}

static void list_checks(struct placing *pl, uint64_t now_ms, GArray *checks)
{
	pl->in_doubt = false;
	for (guint i = 0; i < pl->rows->len; i++) {
		struct row *r = g_ptr_array_index(pl->rows, i);
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

void note_check(struct placing *pl, upstream_nr_t nr, enum check_result result,
		uint64_t now_ms)
{
	struct row *r = need_row(pl, nr);

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

const struct histogram *answer_times(const struct placing *pl,
				     service_nr_t service)
{
	return service < pl->services->len
		       ? &g_array_index(pl->services, struct service_mean,
					service)
				  .answers
		       : NULL;
}

enum upstream_health placing_health(const struct placing *pl, upstream_nr_t nr)
{
	const struct row *r = find_row(pl, nr);

	return r ? r->health : HEALTH_GOOD;
}

const char *place_reason_name(enum place_reason r)
{
	static const char *const names[PLACE_REASON_NR] = {
		"least-loaded", "cold",	    "doubted", "none-listed",
		"all-dead",	"all-cold", "full",    "overloaded"
	};

	return names[r];
}

const char *check_result_name(enum check_result r)
{
	static const char *const names[CHECK_RESULT_NR] = {
		"good", "bad", "silent", "refused", "replaced", "unreachable"
	};

	return names[r];
}
