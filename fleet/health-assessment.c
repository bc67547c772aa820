#include "fleet/health-assessment.h"

#include <string.h>

#define LATENCY_UNITS_PER_MS 16 /* the averages count in 1/16 ms */
#define SLOW_FACTOR 4		/* slow: longer than 4 times the mean, */
#define SLOW_DEVIATIONS 6	/* than the mean plus 6 deviations, */
#define SLOW_MIN_EXCESS_MS 20	/* and by at least this much */
#define AVERAGE_DIVISOR 16	/* an answer moves an average by 1/16 */
#define LATENCY_MAX_MS 600000	/* keeps the arithmetic within 32 bits */
#define COUNT_MAX 255

static void increment_saturating(uint8_t *n)
{
	if (*n < COUNT_MAX)
		(*n)++;
}

void init_assessment(struct health_assessment *ha, uint64_t service,
		     uint64_t upstream, enum upstream_state state,
		     uint64_t now_ms)
{
	memset(ha, 0, sizeof(*ha));
	ha->service = service;
	ha->upstream = upstream;
	ha->state = state;
	ha->evidence_since_ms = now_ms;
}

/* Discards the evidence for the next step of warming. */
static void restart_evidence(struct health_assessment *ha, uint64_t now_ms)
{
	ha->evidence_since_ms = now_ms;
	ha->request_successes = 0;
	ha->probe_successes = 0;
}

static void start_down_hold(struct health_assessment *ha, uint64_t now_ms)
{
	uint64_t hold = (uint64_t)HEALTH_DOWN_HOLD_MS << ha->relapses;

	if (hold > HEALTH_DOWN_HOLD_MAX_MS)
		hold = HEALTH_DOWN_HOLD_MAX_MS;
	else
		ha->relapses++;
	ha->down_until_ms = now_ms + hold;
}

/* Enters STATE and discards the evidence collected in the state before. */
static void enter_state(struct health_assessment *ha, enum upstream_state state,
			uint64_t now_ms)
{
	if (ha->state == UPSTREAM_WARM &&
	    now_ms - ha->evidence_since_ms >= HEALTH_DOWN_HOLD_MAX_MS)
		ha->relapses = 0;
	ha->state = state;
	restart_evidence(ha, now_ms);
	ha->shed_bits = 0;
	ha->loss_bits = 0;
	ha->slow_bits = 0;
	ha->sheds_since_load = 0;
	ha->idle_reports = 0;
	ha->probe_failures = 0;
	if (state == UPSTREAM_DOWN)
		ha->request_failures = 0;
	if (state == UPSTREAM_WARM)
		ha->probes_distrusted = false;
	if (state == UPSTREAM_DOWN)
		start_down_hold(ha, now_ms);
}

void adopt_state(struct health_assessment *ha, enum upstream_state state,
		 uint64_t now_ms)
{
	enter_state(ha, state, now_ms);
	ha->reported_draining = state == UPSTREAM_DRAINING;
}

void apply_chart_event(struct health_assessment *ha, const struct chart *ch,
		       enum upstream_event e, uint64_t now_ms)
{
	enum upstream_state to =
		(enum upstream_state)chart_next(ch, (int)ha->state, (int)e);

	if (to != ha->state)
		enter_state(ha, to, now_ms);
}

static unsigned int to_latency_units(uint32_t ms)
{
	return (ms < LATENCY_MAX_MS ? ms : LATENCY_MAX_MS) *
	       LATENCY_UNITS_PER_MS;
}

static bool is_slow(const struct health_assessment *ha, uint32_t x)
{
	uint32_t deviation_limit =
		ha->latency_mean + SLOW_DEVIATIONS * ha->latency_deviation;
	uint32_t limit = SLOW_FACTOR * ha->latency_mean;

	if (ha->latency_samples < HEALTH_WINDOW_REQUESTS)
		return false;
	if (deviation_limit > limit)
		limit = deviation_limit;
	return x > limit + SLOW_MIN_EXCESS_MS * LATENCY_UNITS_PER_MS;
}

static uint32_t move_average(uint32_t from, uint32_t to)
{
	int64_t step = ((int64_t)to - from) / AVERAGE_DIVISOR;

	return (uint32_t)(from + step);
}

static void update_latency_averages(struct health_assessment *ha, uint32_t x)
{
	uint32_t off = x > ha->latency_mean ? x - ha->latency_mean
					    : ha->latency_mean - x;

	if (!ha->latency_samples)
		ha->latency_mean = x;
	else
		ha->latency_deviation =
			move_average(ha->latency_deviation, off);
	ha->latency_mean = move_average(ha->latency_mean, x);
	if (ha->latency_samples < HEALTH_WINDOW_REQUESTS)
		ha->latency_samples++;
}

static int count_bits(uint8_t bits)
{
	return __builtin_popcount(bits);
}

enum request_outcome { OUTCOME_GOOD, OUTCOME_SLOW, OUTCOME_SHED, OUTCOME_LOST };

static void push_outcome(struct health_assessment *ha,
			 enum request_outcome kind)
{
	ha->slow_bits = (uint8_t)(ha->slow_bits << 1 | (kind == OUTCOME_SLOW));
	ha->shed_bits = (uint8_t)(ha->shed_bits << 1 | (kind == OUTCOME_SHED));
	ha->loss_bits = (uint8_t)(ha->loss_bits << 1 | (kind == OUTCOME_LOST));
}

static void note_success(struct health_assessment *ha, uint64_t now_ms)
{
	ha->last_success_ms = now_ms;
	ha->probe_failures = 0;
}

static void handle_answer(struct health_assessment *ha, const struct chart *ch,
			  const struct health_event *ev, uint64_t now_ms)
{
	uint32_t x = to_latency_units(ev->latency_ms);
	bool slow = is_slow(ha, x);

	note_success(ha, now_ms);
	ha->request_failures = 0;
	push_outcome(ha, slow ? OUTCOME_SLOW : OUTCOME_GOOD);
	if (!slow)
		increment_saturating(&ha->request_successes);
	if (!slow || ha->state != UPSTREAM_WARM)
		update_latency_averages(ha, x);
	if (ha->state == UPSTREAM_WARM &&
	    count_bits(ha->slow_bits) >= HEALTH_COLD_SLOW) {
		ha->probes_distrusted = true;
		apply_chart_event(ha, ch, UPSTREAM_LATENCY_JUMP, now_ms);
	}
}

static bool has_bad_window(const struct health_assessment *ha)
{
	if (ha->state == UPSTREAM_WARM)
		return count_bits(ha->loss_bits) >= HEALTH_COLD_LOSSES;
	return count_bits(ha->loss_bits | ha->shed_bits) >= HEALTH_COLD_SHEDS;
}

/* A request was lost or shed; several in the window turn the upstream cold. */
static void handle_bad_outcome(struct health_assessment *ha,
			       const struct chart *ch,
			       enum request_outcome kind, uint64_t now_ms)
{
	push_outcome(ha, kind);
	if (kind == OUTCOME_LOST || ha->state != UPSTREAM_WARM)
		ha->last_bad_ms = now_ms;
	if (ha->state == UPSTREAM_COLD)
		restart_evidence(ha, now_ms);
	if (!has_bad_window(ha))
		return;
	ha->probes_distrusted = true;
	apply_chart_event(ha, ch, UPSTREAM_SHED_BURST, now_ms);
}

static void handle_shed(struct health_assessment *ha, const struct chart *ch,
			uint64_t now_ms)
{
	note_success(ha, now_ms);
	ha->request_failures = 0;
	increment_saturating(&ha->sheds_since_load);
	handle_bad_outcome(ha, ch, OUTCOME_SHED, now_ms);
}

bool wants_early_probe(const struct health_assessment *ha)
{
	return ha->state == UPSTREAM_WARM && ha->sheds_since_load &&
	       count_bits(ha->shed_bits) >= HEALTH_EARLY_PROBE_SHEDS;
}

/*
 * Turns cold an upstream that sheds between its load reports while these say
 * that half of its slots are free.
 */
static void handle_load_report(struct health_assessment *ha,
			       const struct chart *ch,
			       const struct health_event *ev, uint64_t now_ms)
{
	bool sheds = ha->sheds_since_load >= HEALTH_EARLY_PROBE_SHEDS;

	ha->sheds_since_load = 0;
	if (!ev->slots)
		return;
	if (sheds && 2 * (uint64_t)ev->running <= ev->slots)
		increment_saturating(&ha->idle_reports);
	else
		ha->idle_reports = 0;
	if (ha->idle_reports < HEALTH_COLD_IDLE_REPORTS)
		return;
	ha->probes_distrusted = true;
	apply_chart_event(ha, ch, UPSTREAM_SHED_BURST, now_ms);
}

static void handle_failure(struct health_assessment *ha, const struct chart *ch,
			   uint8_t *consecutive, uint64_t now_ms)
{
	ha->last_failure_ms = now_ms;
	ha->probe_successes = 0;
	increment_saturating(consecutive);
	if (*consecutive >= HEALTH_FALL_FAILURES)
		apply_chart_event(ha, ch, UPSTREAM_FAILED, now_ms);
}

/* A failed probe agrees with failed requests, so probes are trusted again. */
static void handle_probe_failure(struct health_assessment *ha,
				 const struct chart *ch, uint64_t now_ms)
{
	ha->probes_distrusted = false;
	handle_failure(ha, ch, &ha->probe_failures, now_ms);
}

static void handle_request_failure(struct health_assessment *ha,
				   const struct chart *ch, uint64_t now_ms)
{
	handle_failure(ha, ch, &ha->request_failures, now_ms);
	handle_bad_outcome(ha, ch, OUTCOME_LOST, now_ms);
}

/* A passive instance has no probes that a refused connection contradicts. */
static void handle_refused_connection(struct health_assessment *ha,
				      const struct chart *ch, uint64_t now_ms)
{
	ha->probes_distrusted |= ha->role != HEALTH_PASSIVE;
	handle_request_failure(ha, ch, now_ms);
}

static void handle_lost_request(struct health_assessment *ha,
				const struct chart *ch, uint64_t now_ms)
{
	ha->probes_distrusted = true;
	handle_request_failure(ha, ch, now_ms);
}

static void handle_report(struct health_assessment *ha, const struct chart *ch,
			  enum health_report report, uint64_t now_ms)
{
	if (report == REPORT_NONE)
		return;
	ha->reported_draining = report == REPORT_DRAINING;
	if (ha->reported_draining) {
		apply_chart_event(ha, ch, UPSTREAM_DRAIN, now_ms);
		return;
	}
	if (ha->state == UPSTREAM_DRAINING)
		apply_chart_event(ha, ch, UPSTREAM_DRAIN_OVER, now_ms);
	if (report == REPORT_WARM) {
		ha->cold_reported_since_ms = 0;
		ha->cold_report_distrusted = false;
		return;
	}
	if (!ha->cold_reported_since_ms)
		ha->cold_reported_since_ms = now_ms;
	if (!ha->cold_report_distrusted)
		apply_chart_event(ha, ch, UPSTREAM_REPORTED_COLD, now_ms);
}

static bool is_restarted(const struct health_assessment *ha,
			 const struct health_event *ev)
{
	if (ev->start_id && ha->start_id && ev->start_id != ha->start_id)
		return true;
	return ev->age_ms && ev->age_ms < ha->age_ms;
}

static void handle_probe_answer(struct health_assessment *ha,
				const struct chart *ch,
				const struct health_event *ev, uint64_t now_ms)
{
	bool restarted = is_restarted(ha, ev);

	note_success(ha, now_ms);
	increment_saturating(&ha->probe_successes);
	if (ev->start_id)
		ha->start_id = ev->start_id;
	ha->age_ms = ev->age_ms;
	if (restarted) {
		ha->probes_distrusted = false;
		ha->cold_report_distrusted = false;
		ha->cold_reported_since_ms = 0;
		if (ha->state == UPSTREAM_COLD)
			restart_evidence(ha, now_ms);
		apply_chart_event(ha, ch, UPSTREAM_RESTARTED, now_ms);
	}
	if (ha->state == UPSTREAM_UNKNOWN)
		apply_chart_event(ha, ch, UPSTREAM_RECOVERED, now_ms);
	handle_report(ha, ch, ev->report, now_ms);
}

void assess_event(struct health_assessment *ha, const struct chart *ch,
		  const struct health_event *ev, uint64_t now_ms)
{
	switch (ev->kind) {
	case HEALTH_PROBE_OK:
		handle_probe_answer(ha, ch, ev, now_ms);
		break;
	case HEALTH_PROBE_FAILED:
		handle_probe_failure(ha, ch, now_ms);
		break;
	case HEALTH_LOAD:
		note_success(ha, now_ms);
		handle_load_report(ha, ch, ev, now_ms);
		handle_report(ha, ch, ev->report, now_ms);
		break;
	case HEALTH_ANSWERED:
		handle_answer(ha, ch, ev, now_ms);
		break;
	case HEALTH_SHED:
		handle_shed(ha, ch, now_ms);
		break;
	case HEALTH_LOST:
		handle_lost_request(ha, ch, now_ms);
		break;
	case HEALTH_REFUSED:
		handle_refused_connection(ha, ch, now_ms);
		break;
	case HEALTH_TICK:
		break;
	}
}

/*
 * True while the upstream's own report of cold is trusted: half as long when
 * requests succeed meanwhile.
 */
static bool trusts_cold_report(struct health_assessment *ha, uint64_t now_ms)
{
	uint64_t limit = ha->request_successes >= HEALTH_STEP_ANSWERS
				 ? HEALTH_TRUST_COLD_MS
				 : 2 * HEALTH_TRUST_COLD_MS;

	if (!ha->cold_reported_since_ms || ha->cold_report_distrusted)
		return false;
	if (now_ms - ha->cold_reported_since_ms < limit)
		return true;
	ha->cold_report_distrusted = true;
	return false;
}

/* True if this instance has no probe results for HA. */
static bool has_no_probes(const struct health_assessment *ha)
{
	return ha->role == HEALTH_PASSIVE || ha->unprobeable;
}

static bool has_recovery_evidence(const struct health_assessment *ha,
				  uint64_t now_ms)
{
	unsigned int good = ha->request_successes;

	if (!ha->probes_distrusted && has_no_probes(ha))
		return true;
	if (!ha->probes_distrusted)
		good += ha->probe_successes;
	if (good >= HEALTH_STEP_ANSWERS)
		return true;
	return now_ms - ha->evidence_since_ms >= HEALTH_QUIET_MS &&
	       (!ha->last_bad_ms ||
		now_ms - ha->last_bad_ms >= HEALTH_QUIET_MS) &&
	       (has_no_probes(ha) || ha->probe_successes >= HEALTH_RISE_PROBES);
}

static bool may_leave_down(const struct health_assessment *ha, uint64_t now_ms)
{
	if (now_ms < ha->down_until_ms)
		return false;
	return has_no_probes(ha) || ha->probe_successes >= HEALTH_RISE_PROBES;
}

void assess_tick(struct health_assessment *ha, const struct chart *ch,
		 uint64_t now_ms)
{
	uint64_t stay = now_ms - ha->evidence_since_ms;

	switch (ha->state) {
	case UPSTREAM_UNKNOWN:
		if (ha->unprobeable && stay >= HEALTH_COLD_MIN_MS)
			apply_chart_event(ha, ch, UPSTREAM_COLD_DONE, now_ms);
		break;
	case UPSTREAM_COLD:
		if (!trusts_cold_report(ha, now_ms) &&
		    stay >= HEALTH_COLD_MIN_MS &&
		    has_recovery_evidence(ha, now_ms))
			apply_chart_event(ha, ch, UPSTREAM_COLD_DONE, now_ms);
		break;
	case UPSTREAM_WARMING:
		if (stay >= HEALTH_RAMP_MS && has_recovery_evidence(ha, now_ms))
			apply_chart_event(ha, ch, UPSTREAM_RAMP_DONE, now_ms);
		break;
	case UPSTREAM_DOWN:
		if (may_leave_down(ha, now_ms))
			apply_chart_event(ha, ch, UPSTREAM_RECOVERED, now_ms);
		break;
	default:
		break;
	}
}
