#include "flow/in-flight.h"

#include <glib.h>
#include <math.h>

/* Bucket I holds ages of 2^(I/4) - 1 to 2^((I+1)/4) - 1 ms. */
#define BUCKETS_PER_OCTAVE 4
#define BUCKETS 64
#define MEAN_WEIGHT 0.05 /* of the newest sample */

/*
 * Sums decay by a common factor. Samples are added with a weight that grows
 * instead; it is scaled back before it exceeds WEIGHT_MAX.
 */
#define WEIGHT_MAX 1e9
#define WEIGHT_LOG2_MAX 500 /* keeps sums of weights finite */

struct in_flight_estimator {
	double answered[BUCKETS]; /* weights of samples, by response time */
	double answered_sum;
	double unseen_sum;
	double mean_ms;	  /* of samples, not decayed with time */
	uint64_t base_ms; /* when a sample had weight 1 */
};

struct in_flight_estimator *create_in_flight_estimator(void)
{
	struct in_flight_estimator *e = g_new0(struct in_flight_estimator, 1);

	e->mean_ms = IN_FLIGHT_INITIAL_MS;
	return e;
}

void destroy_in_flight_estimator(struct in_flight_estimator *e)
{
	g_free(e);
}

/* Weight of a sample at NOW_MS, relative to one at E->base_ms. */
static double weight_at(const struct in_flight_estimator *e, uint64_t now_ms)
{
	double age_ms = (double)(now_ms - MIN(now_ms, e->base_ms));

	return exp2(MIN(age_ms / IN_FLIGHT_HALF_LIFE_MS, WEIGHT_LOG2_MAX));
}

/* Weight of a sample that is added now. */
static double new_sample_weight(struct in_flight_estimator *e, uint64_t now_ms)
{
	double weight = weight_at(e, now_ms);

	if (weight <= WEIGHT_MAX)
		return weight;
	for (guint i = 0; i < BUCKETS; i++)
		e->answered[i] /= weight;
	e->answered_sum /= weight;
	e->unseen_sum /= weight;
	e->base_ms = now_ms;
	return 1;
}

/* Position of AGE_MS on the scale of buckets. */
static double bucket_position(uint64_t age_ms)
{
	return MIN(BUCKETS_PER_OCTAVE * log2((double)age_ms + 1), BUCKETS - 1);
}

void note_answered(struct in_flight_estimator *e, uint64_t age_ms,
		   uint64_t now_ms)
{
	double weight = new_sample_weight(e, now_ms);

	e->answered[(guint)bucket_position(age_ms)] += weight;
	e->answered_sum += weight;
	e->mean_ms += MEAN_WEIGHT * ((double)age_ms - e->mean_ms);
}

void note_unseen_end(struct in_flight_estimator *e, uint64_t now_ms)
{
	e->unseen_sum += new_sample_weight(e, now_ms);
}

void note_late_answered(struct in_flight_estimator *e, uint64_t age_ms,
			uint64_t now_ms)
{
	note_answered(e, age_ms, now_ms);
	e->unseen_sum -= MIN(e->unseen_sum, weight_at(e, now_ms));
}

/* Share of responses that take longer than AGE_MS. */
static double survival(const struct in_flight_estimator *e, uint64_t age_ms,
		       uint64_t now_ms)
{
	double samples_min = IN_FLIGHT_SAMPLES_MIN * weight_at(e, now_ms);
	double position = bucket_position(age_ms);
	guint own = (guint)position;
	double longer = e->answered[own] * (own + 1 - position);

	for (guint i = own + 1; i < BUCKETS; i++)
		longer += e->answered[i];
	if (e->answered_sum >= samples_min)
		return longer / e->answered_sum;
	longer += (samples_min - e->answered_sum) *
		  exp(-(double)age_ms / MAX(e->mean_ms, 1));
	return longer / samples_min;
}

double pending_probability(const struct in_flight_estimator *e, uint64_t age_ms,
			   uint64_t now_ms)
{
	double s = survival(e, age_ms, now_ms);
	double ends = MAX(e->answered_sum + e->unseen_sum,
			  IN_FLIGHT_SAMPLES_MIN * weight_at(e, now_ms));
	double unseen = CLAMP(e->unseen_sum / ends, IN_FLIGHT_UNSEEN_MIN,
			      IN_FLIGHT_UNSEEN_MAX);

	return s / ((1 - unseen) * s + unseen);
}

uint8_t in_flight_weight(double probability)
{
	return (uint8_t)lround(IN_FLIGHT_WEIGHT_ONE * probability);
}

/* What remains of a running sum after AGE_MS. */
static double decay_factor(uint64_t age_ms, uint64_t half_life_ms)
{
	return exp2(-(double)age_ms / (double)half_life_ms);
}

void sample_route_activity(struct route_activity *ra, double busy,
			   uint32_t open, uint64_t now_ms)
{
	double kept = decay_factor(now_ms - MIN(now_ms, ra->sampled_ms),
				   ROUTE_SHARE_HALF_LIFE_MS);

	ra->sampled_ms = now_ms;
	/* with no open flow there is nothing to learn, or to forget for */
	if (!open)
		return;
	ra->busy = kept * ra->busy + MIN(busy, open);
	ra->open = kept * ra->open + open;
}

double route_busy_share(const struct route_activity *ra)
{
	return (ra->busy + ROUTE_SHARE_INITIAL) / (ra->open + 1);
}

static void decay_route_counts(struct route_activity *ra, uint64_t now_ms)
{
	double kept = decay_factor(now_ms - MIN(now_ms, ra->counted_ms),
				   ROUTE_ENDS_HALF_LIFE_MS);

	ra->counted_ms = now_ms;
	ra->responses *= kept;
	ra->ends *= kept;
}

void note_route_response(struct route_activity *ra, uint64_t now_ms)
{
	decay_route_counts(ra, now_ms);
	ra->responses++;
}

void note_route_flow_end(struct route_activity *ra, uint64_t now_ms)
{
	decay_route_counts(ra, now_ms);
	ra->ends++;
}

bool has_flow_per_request(const struct route_activity *ra)
{
	return ra->ends >= ROUTE_ENDS_MIN &&
	       ra->responses <= ROUTE_SHORT_RESPONSES * ra->ends;
}
