#include "fleet/health-judge.h"

#include <string.h>

#define LATENCY_UNIT 16	      /* 1 ms in the units of mean and deviate */
#define SLOW_FACTOR 4	      /* of the mean */
#define SLOW_DEVIATIONS 6     /* from the mean */
#define SLOW_FLOOR_MS 20      /* smaller jumps mean nothing */
#define AVERAGE_WEIGHT 16     /* answers that an average looks back on */
#define LATENCY_MAX_MS 600000 /* keeps the arithmetic within 32 bits */
#define COUNT_MAX 255

static void bump(uint8_t *n)
{
	if (*n < COUNT_MAX)
		(*n)++;
}

void init_judge(struct judge *j, uint64_t service, uint64_t upstream,
		enum upstream_state state, uint64_t now_ms)
{
	memset(j, 0, sizeof(*j));
	j->service = service;
	j->upstream = upstream;
	j->state = state;
	j->since = now_ms;
}

/* Starts the evidence for the next step anew. */
static void restart_evidence(struct judge *j, uint64_t now_ms)
{
	j->since = now_ms;
	j->use_good = 0;
	j->probe_good = 0;
}

static void begin_down(struct judge *j, uint64_t now_ms)
{
	uint64_t hold = (uint64_t)HEALTH_HOLD_MS << j->relapses;

	if (hold > HEALTH_HOLD_MAX_MS)
		hold = HEALTH_HOLD_MAX_MS;
	else
		j->relapses++;
	j->down_until = now_ms + hold;
}

/* Enters STATE, in which all evidence begins anew. */
static void enter_state(struct judge *j, enum upstream_state state,
			uint64_t now_ms)
{
	if (j->state == UPSTREAM_WARM &&
	    now_ms - j->since >= HEALTH_HOLD_MAX_MS)
		j->relapses = 0;
	j->state = state;
	restart_evidence(j, now_ms);
	j->sheds = 0;
	j->losses = 0;
	j->slow = 0;
	j->sheds_since = 0;
	j->empty_reports = 0;
	j->probe_failures = 0;
	if (state == UPSTREAM_DOWN)
		j->use_failures = 0;
	if (state == UPSTREAM_WARM)
		j->distrusted = false;
	if (state == UPSTREAM_DOWN)
		begin_down(j, now_ms);
}

void adopt_state(struct judge *j, enum upstream_state state, uint64_t now_ms)
{
	enter_state(j, state, now_ms);
	j->reported_draining = state == UPSTREAM_DRAINING;
}

void move_judge(struct judge *j, const struct chart *ch, enum upstream_event e,
		uint64_t now_ms)
{
	enum upstream_state to =
		(enum upstream_state)chart_next(ch, (int)j->state, (int)e);

	if (to != j->state)
		enter_state(j, to, now_ms);
}

static unsigned int limit_latency(uint32_t ms)
{
	return (ms < LATENCY_MAX_MS ? ms : LATENCY_MAX_MS) * LATENCY_UNIT;
}

static bool is_slow(const struct judge *j, uint32_t x)
{
	uint32_t far = j->mean + SLOW_DEVIATIONS * j->deviate;
	uint32_t limit = SLOW_FACTOR * j->mean;

	if (j->answers < HEALTH_WINDOW)
		return false;
	if (far > limit)
		limit = far;
	return x > limit + SLOW_FLOOR_MS * LATENCY_UNIT;
}

static uint32_t approach(uint32_t from, uint32_t to)
{
	int64_t step = ((int64_t)to - from) / AVERAGE_WEIGHT;

	return (uint32_t)(from + step);
}

static void learn_latency(struct judge *j, uint32_t x)
{
	uint32_t off = x > j->mean ? x - j->mean : j->mean - x;

	if (!j->answers)
		j->mean = x;
	else
		j->deviate = approach(j->deviate, off);
	j->mean = approach(j->mean, x);
	if (j->answers < HEALTH_WINDOW)
		j->answers++;
}

static int count_bits(uint8_t bits)
{
	return __builtin_popcount(bits);
}

enum answer_kind { ANSWER_GOOD, ANSWER_SLOW, ANSWER_SHED, ANSWER_LOST };

static void slide_window(struct judge *j, enum answer_kind kind)
{
	j->slow = (uint8_t)(j->slow << 1 | (kind == ANSWER_SLOW));
	j->sheds = (uint8_t)(j->sheds << 1 | (kind == ANSWER_SHED));
	j->losses = (uint8_t)(j->losses << 1 | (kind == ANSWER_LOST));
}

static void take_success(struct judge *j, uint64_t now_ms)
{
	j->last_success = now_ms;
	j->probe_failures = 0;
}

static void take_answer(struct judge *j, const struct chart *ch,
			const struct health_event *ev, uint64_t now_ms)
{
	uint32_t x = limit_latency(ev->latency_ms);
	bool slow = is_slow(j, x);

	take_success(j, now_ms);
	j->use_failures = 0;
	slide_window(j, slow ? ANSWER_SLOW : ANSWER_GOOD);
	if (!slow)
		bump(&j->use_good);
	if (!slow || j->state != UPSTREAM_WARM)
		learn_latency(j, x);
	if (j->state == UPSTREAM_WARM && count_bits(j->slow) >= HEALTH_SLOW) {
		j->distrusted = true;
		move_judge(j, ch, UPSTREAM_LATENCY_JUMP, now_ms);
	}
}

static bool has_bad_window(const struct judge *j)
{
	if (j->state == UPSTREAM_WARM)
		return count_bits(j->losses) >= HEALTH_LOSSES;
	return count_bits(j->losses | j->sheds) >= HEALTH_SHEDS_RAMP;
}

/* A request was not answered; several of the last make the upstream cold. */
static void take_bad_answer(struct judge *j, const struct chart *ch,
			    enum answer_kind kind, uint64_t now_ms)
{
	slide_window(j, kind);
	if (kind == ANSWER_LOST || j->state != UPSTREAM_WARM)
		j->last_bad = now_ms;
	if (j->state == UPSTREAM_COLD)
		restart_evidence(j, now_ms);
	if (!has_bad_window(j))
		return;
	j->distrusted = true;
	move_judge(j, ch, UPSTREAM_SHED_BURST, now_ms);
}

static void take_shed(struct judge *j, const struct chart *ch, uint64_t now_ms)
{
	take_success(j, now_ms);
	j->use_failures = 0;
	bump(&j->sheds_since);
	take_bad_answer(j, ch, ANSWER_SHED, now_ms);
}

bool wants_probe(const struct judge *j)
{
	return j->state == UPSTREAM_WARM && j->sheds_since &&
	       count_bits(j->sheds) >= HEALTH_SHEDS_WARM;
}

/* Sheds again and again from one that reports half its slots as free. */
static void take_load(struct judge *j, const struct chart *ch,
		      const struct health_event *ev, uint64_t now_ms)
{
	bool sheds = j->sheds_since >= HEALTH_SHEDS_WARM;

	j->sheds_since = 0;
	if (!ev->slots)
		return;
	if (sheds && 2 * (uint64_t)ev->running <= ev->slots)
		bump(&j->empty_reports);
	else
		j->empty_reports = 0;
	if (j->empty_reports < HEALTH_EMPTY_REPORTS)
		return;
	j->distrusted = true;
	move_judge(j, ch, UPSTREAM_SHED_BURST, now_ms);
}

static void take_failure(struct judge *j, const struct chart *ch,
			 uint8_t *in_a_row, uint64_t now_ms)
{
	j->last_failure = now_ms;
	j->probe_good = 0;
	bump(in_a_row);
	if (*in_a_row >= HEALTH_FALL)
		move_judge(j, ch, UPSTREAM_FAILED, now_ms);
}

/* A failed probe agrees with failed requests, so probes tell the truth. */
static void take_probe_failure(struct judge *j, const struct chart *ch,
			       uint64_t now_ms)
{
	j->distrusted = false;
	take_failure(j, ch, &j->probe_failures, now_ms);
}

static void take_use_failure(struct judge *j, const struct chart *ch,
			     uint64_t now_ms)
{
	take_failure(j, ch, &j->use_failures, now_ms);
	take_bad_answer(j, ch, ANSWER_LOST, now_ms);
}

/* Without a connection there was nothing for probes to be wrong about. */
static void take_refusal(struct judge *j, const struct chart *ch,
			 uint64_t now_ms)
{
	j->distrusted |= j->role != HEALTH_PASSIVE;
	take_use_failure(j, ch, now_ms);
}

static void take_loss(struct judge *j, const struct chart *ch, uint64_t now_ms)
{
	j->distrusted = true;
	take_use_failure(j, ch, now_ms);
}

static void take_report(struct judge *j, const struct chart *ch,
			enum health_report report, uint64_t now_ms)
{
	if (report == REPORT_NONE)
		return;
	j->reported_draining = report == REPORT_DRAINING;
	if (j->reported_draining) {
		move_judge(j, ch, UPSTREAM_DRAIN, now_ms);
		return;
	}
	if (j->state == UPSTREAM_DRAINING)
		move_judge(j, ch, UPSTREAM_DRAIN_OVER, now_ms);
	if (report == REPORT_WARM) {
		j->reported_since = 0;
		j->discounted = false;
		return;
	}
	if (!j->reported_since)
		j->reported_since = now_ms;
	if (!j->discounted)
		move_judge(j, ch, UPSTREAM_REPORTED_COLD, now_ms);
}

static bool is_restarted(const struct judge *j, const struct health_event *ev)
{
	if (ev->start_id && j->start_id && ev->start_id != j->start_id)
		return true;
	return ev->age_ms && ev->age_ms < j->age_ms;
}

static void take_probe(struct judge *j, const struct chart *ch,
		       const struct health_event *ev, uint64_t now_ms)
{
	bool restarted = is_restarted(j, ev);

	take_success(j, now_ms);
	bump(&j->probe_good);
	if (ev->start_id)
		j->start_id = ev->start_id;
	j->age_ms = ev->age_ms;
	if (restarted) {
		j->distrusted = false;
		j->discounted = false;
		j->reported_since = 0;
		if (j->state == UPSTREAM_COLD)
			restart_evidence(j, now_ms);
		move_judge(j, ch, UPSTREAM_RESTARTED, now_ms);
	}
	if (j->state == UPSTREAM_UNKNOWN)
		move_judge(j, ch, UPSTREAM_RECOVERED, now_ms);
	take_report(j, ch, ev->report, now_ms);
}

void judge_event(struct judge *j, const struct chart *ch,
		 const struct health_event *ev, uint64_t now_ms)
{
	switch (ev->kind) {
	case HEALTH_PROBE_OK:
		take_probe(j, ch, ev, now_ms);
		break;
	case HEALTH_PROBE_FAILED:
		take_probe_failure(j, ch, now_ms);
		break;
	case HEALTH_LOAD:
		take_success(j, now_ms);
		take_load(j, ch, ev, now_ms);
		take_report(j, ch, ev->report, now_ms);
		break;
	case HEALTH_ANSWERED:
		take_answer(j, ch, ev, now_ms);
		break;
	case HEALTH_SHED:
		take_shed(j, ch, now_ms);
		break;
	case HEALTH_LOST:
		take_loss(j, ch, now_ms);
		break;
	case HEALTH_REFUSED:
		take_refusal(j, ch, now_ms);
		break;
	case HEALTH_TICK:
		break;
	}
}

/* True while the upstream's own report of cold is still believed. */
static bool holds_claim(struct judge *j, uint64_t now_ms)
{
	uint64_t limit = j->use_good >= HEALTH_GOOD ? HEALTH_CLAIM_MS
						    : 2 * HEALTH_CLAIM_MS;

	if (!j->reported_since || j->discounted)
		return false;
	if (now_ms - j->reported_since < limit)
		return true;
	j->discounted = true;
	return false;
}

/* True if J has to do without probes. */
static bool needs_no_probe(const struct judge *j)
{
	return j->role == HEALTH_PASSIVE || j->unprobed;
}

static bool has_evidence(const struct judge *j, uint64_t now_ms)
{
	unsigned int good = j->use_good;

	if (!j->distrusted && needs_no_probe(j))
		return true;
	if (!j->distrusted)
		good += j->probe_good;
	if (good >= HEALTH_GOOD)
		return true;
	return now_ms - j->since >= HEALTH_QUIET_MS &&
	       (!j->last_bad || now_ms - j->last_bad >= HEALTH_QUIET_MS) &&
	       (needs_no_probe(j) || j->probe_good >= HEALTH_RISE);
}

static bool is_back(const struct judge *j, uint64_t now_ms)
{
	if (now_ms < j->down_until)
		return false;
	return needs_no_probe(j) || j->probe_good >= HEALTH_RISE;
}

void judge_tick(struct judge *j, const struct chart *ch, uint64_t now_ms)
{
	uint64_t stay = now_ms - j->since;

	switch (j->state) {
	case UPSTREAM_UNKNOWN:
		if (j->unprobed && stay >= HEALTH_COLD_MS)
			move_judge(j, ch, UPSTREAM_COLD_DONE, now_ms);
		break;
	case UPSTREAM_COLD:
		if (!holds_claim(j, now_ms) && stay >= HEALTH_COLD_MS &&
		    has_evidence(j, now_ms))
			move_judge(j, ch, UPSTREAM_COLD_DONE, now_ms);
		break;
	case UPSTREAM_WARMING:
		if (stay >= HEALTH_RAMP_MS && has_evidence(j, now_ms))
			move_judge(j, ch, UPSTREAM_RAMP_DONE, now_ms);
		break;
	case UPSTREAM_DOWN:
		if (is_back(j, now_ms))
			move_judge(j, ch, UPSTREAM_RECOVERED, now_ms);
		break;
	default:
		break;
	}
}
