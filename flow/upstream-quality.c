#include "flow/upstream-quality.h"

#include <math.h>
#include <string.h>

#define BUCKETS_PER_OCTAVE 4
#define TIME_BUCKETS 64	    /* up to 2^16 ms */
#define SIZE_BUCKETS 96	    /* up to 2^24 bytes */
#define SMALLEST_USUAL 0.05 /* quantile of sizes */
/*
 * Weight of a response that may be an error in what is typical: if a sixth of
 * all responses are errors, these must stay below SMALLEST_USUAL.
 */
#define DOUBTFUL_WEIGHT 0.125
#define MUCH_SMALLER 0.5      /* times the smallest usual size: suspicious */
#define SOMEWHAT_SMALLER 0.8  /* the same, if the response is much faster */
#define MUCH_FASTER 0.25      /* times the typical time */
#define NEWS_SUSPICIOUS 1.5   /* decayed count that peers are told at once */
#define DECAY_INTERVAL_MS 500 /* between two decays of a route's buckets */
#define DEVIATION_START 1.3   /* octaves, until observed; exponential: 1.2 */
#define DEVIATION_MIN 0.5     /* octaves */
#define DEVIATION_MEAN_WEIGHT 0.02 /* of the newest sample */
#define RATIO_UNIT 16.0		   /* of the ratio in reports */

/* What is typical of one route. */
struct route_quality {
	float times[TIME_BUCKETS];
	double time_count; /* the sum of TIMES */
	float sizes[SIZE_BUCKETS];
	double size_count;
	uint64_t decayed_ms;
};

/* The sum of reports about one upstream. Ratios are added as octaves. */
struct report_sum {
	uint32_t responses;
	double octaves; /* responses, each times its ratio's logarithm */
	/* of the peers' report with the largest sum of octaves */
	uint32_t worst_responses;
	double worst_octaves;
	uint32_t suspicious;
	/* of the report with most of these */
	uint32_t most_suspicious;
	uint32_t most_responses;
	uint64_t last_suspicious_ms;
};

struct quality_entry {
	/* observed by this instance, decayed up to UPDATED_MS */
	double responses;
	double octaves;
	double suspicious;
	uint64_t updated_ms;
	uint64_t last_suspicious_ms;
	struct report_sum sum;
	double ratio; /* assessed; 1: usual */
	bool failing;
	bool failing_again;	  /* since less than the probation */
	uint64_t last_failing_ms; /* 0: never */
	bool avoided;		  /* as long as not too many are failing */
};

struct quality_report {
	upstream_index_t upstream;
	uint32_t report;
};

struct peer_reports {
	uint64_t member_id;
	uint64_t received_ms;
	GArray *reports; /* of struct quality_report */
};

struct upstream_quality {
	GArray *entries;	      /* of struct quality_entry, by upstream */
	GHashTable *routes;	      /* key -> struct route_quality */
	GPtrArray *peers;	      /* of struct peer_reports */
	struct peer_reports *current; /* of the last begin_peer_reports() */
	GArray *changes;	      /* of struct quality_change */
	double mean_square; /* of the deviation of response times, octaves */
	bool has_news;	    /* a suspicious response that peers do not know */
};

static void free_peer_reports(gpointer data)
{
	struct peer_reports *p = data;

	g_array_free(p->reports, TRUE);
	g_free(p);
}

struct upstream_quality *create_upstream_quality(void)
{
	struct upstream_quality *uq = g_new0(struct upstream_quality, 1);

	uq->entries = g_array_new(FALSE, TRUE, sizeof(struct quality_entry));
	uq->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	uq->peers = g_ptr_array_new_with_free_func(free_peer_reports);
	uq->changes = g_array_new(FALSE, FALSE, sizeof(struct quality_change));
	uq->mean_square = DEVIATION_START * DEVIATION_START;
	return uq;
}

void destroy_upstream_quality(struct upstream_quality *uq)
{
	if (!uq)
		return;
	g_array_free(uq->entries, TRUE);
	g_hash_table_destroy(uq->routes);
	g_ptr_array_free(uq->peers, TRUE);
	g_array_free(uq->changes, TRUE);
	g_free(uq);
}

static struct quality_entry *get_entry(struct upstream_quality *uq,
				       upstream_index_t nr)
{
	const struct quality_entry usual = { .ratio = 1 };

	while (uq->entries->len <= nr)
		g_array_append_val(uq->entries, usual);
	return &g_array_index(uq->entries, struct quality_entry, nr);
}

void reset_upstream_quality(struct upstream_quality *uq, upstream_index_t nr)
{
	*get_entry(uq, nr) = (struct quality_entry){ .ratio = 1 };
	for (guint i = 0; i < uq->peers->len; i++) {
		struct peer_reports *p = g_ptr_array_index(uq->peers, i);

		for (guint k = p->reports->len; k > 0; k--)
			if (g_array_index(p->reports, struct quality_report,
					  k - 1)
				    .upstream == nr)
				g_array_remove_index_fast(p->reports, k - 1);
	}
}

static double decay_factor(uint64_t elapsed_ms, double half_life_ms)
{
	return exp2(-(double)elapsed_ms / half_life_ms);
}

static void decay_entry(struct quality_entry *e, uint64_t now_ms)
{
	double f = decay_factor(now_ms - MIN(now_ms, e->updated_ms),
				QUALITY_HALF_LIFE_MS);

	e->responses *= f;
	e->octaves *= f;
	e->suspicious *= f;
	e->updated_ms = now_ms;
}

/* Scales BUCKETS (NR of them) by F and returns their sum. */
static double scale_buckets(float *buckets, size_t nr, double f)
{
	double sum = 0;

	for (size_t i = 0; i < nr; i++) {
		buckets[i] = (float)(buckets[i] * f);
		sum += buckets[i];
	}
	return sum;
}

static struct route_quality *get_route(struct upstream_quality *uq,
				       uint64_t key, uint64_t now_ms)
{
	struct route_quality *r = g_hash_table_lookup(uq->routes, &key);
	uint64_t elapsed_ms;

	if (!r) {
		/* routes that are gone keep their entries until then */
		if (g_hash_table_size(uq->routes) >= QUALITY_ROUTES_MAX)
			g_hash_table_remove_all(uq->routes);
		r = g_new0(struct route_quality, 1);
		r->decayed_ms = now_ms;
		g_hash_table_insert(uq->routes, g_memdup2(&key, sizeof(key)),
				    r);
	}
	elapsed_ms = now_ms - r->decayed_ms;
	if (elapsed_ms >= DECAY_INTERVAL_MS) {
		double f = decay_factor(elapsed_ms, QUALITY_ROUTE_HALF_LIFE_MS);

		r->time_count = scale_buckets(r->times, TIME_BUCKETS, f);
		r->size_count = scale_buckets(r->sizes, SIZE_BUCKETS, f);
		r->decayed_ms = now_ms;
	}
	return r;
}

static size_t find_bucket(double value, size_t nr)
{
	double at = BUCKETS_PER_OCTAVE * log2(MAX(value, 1));

	return MIN((size_t)at, nr - 1);
}

/* The bucket that holds quantile Q of BUCKETS, whose sum is SUM. */
static size_t find_quantile(const float *buckets, size_t nr, double sum,
			    double q)
{
	double below = 0;

	for (size_t i = 0; i < nr; i++) {
		below += buckets[i];
		if (below >= q * sum)
			return i;
	}
	return nr - 1;
}

/* The median response time of R; 0 if too few responses are known. */
static double typical_ms(const struct route_quality *r)
{
	size_t i;

	if (r->time_count < QUALITY_ROUTE_SAMPLES_MIN)
		return 0;
	i = find_quantile(r->times, TIME_BUCKETS, r->time_count, 0.5);
	return exp2(((double)i + 0.5) / BUCKETS_PER_OCTAVE);
}

void note_quality_time(struct upstream_quality *uq, upstream_index_t nr,
		       uint64_t route, double took_ms, uint64_t now_ms)
{
	struct route_quality *r = get_route(uq, route, now_ms);
	struct quality_entry *e = get_entry(uq, nr);
	double typical = typical_ms(r);
	double octaves = 0;
	double deviation;

	if (typical > 0) {
		octaves =
			CLAMP(log2(MAX(took_ms, 1) / typical),
			      log2(QUALITY_RATIO_MIN), log2(QUALITY_RATIO_MAX));
		/* slow upstreams differ in their means, not by chance */
		deviation = octaves;
		if (e->sum.responses)
			deviation -= e->sum.octaves / e->sum.responses;
		uq->mean_square += DEVIATION_MEAN_WEIGHT *
				   (deviation * deviation - uq->mean_square);
	}
	decay_entry(e, now_ms);
	e->responses++;
	e->octaves += octaves;
	r->times[find_bucket(took_ms, TIME_BUCKETS)]++;
	r->time_count++;
}

/* The size that quantile Q of the responses of R reaches, bytes. */
static double usual_bytes(const struct route_quality *r, double q)
{
	size_t i = find_quantile(r->sizes, SIZE_BUCKETS, r->size_count, q);

	return exp2((double)i / BUCKETS_PER_OCTAVE);
}

/* Whether a response may be an error, by its size and speed. */
static bool is_suspicious(const struct route_quality *r, double took_ms,
			  uint32_t bytes)
{
	double smallest = usual_bytes(r, SMALLEST_USUAL);

	if (r->size_count < QUALITY_ROUTE_SAMPLES_MIN)
		return false;
	if (bytes < MUCH_SMALLER * smallest)
		return true;
	return bytes < SOMEWHAT_SMALLER * smallest &&
	       took_ms < MUCH_FASTER * typical_ms(r);
}

void note_quality_size(struct upstream_quality *uq, upstream_index_t nr,
		       uint64_t route, double took_ms, uint32_t bytes,
		       bool may_shed, uint64_t now_ms)
{
	struct route_quality *r = get_route(uq, route, now_ms);
	struct quality_entry *e = get_entry(uq, nr);
	bool suspicious = is_suspicious(r, took_ms, bytes);
	bool much_smaller =
		bytes < MUCH_SMALLER * usual_bytes(r, SMALLEST_USUAL);
	/* the first responses of a route may be those of a failing upstream */
	bool doubtful =
		suspicious || (bytes < MUCH_SMALLER * usual_bytes(r, 0.5) &&
			       took_ms < MUCH_FASTER * typical_ms(r));
	double weight = doubtful ? DOUBTFUL_WEIGHT : 1;

	r->sizes[find_bucket(bytes, SIZE_BUCKETS)] += (float)weight;
	r->size_count += weight;
	if (!suspicious || may_shed)
		return;
	decay_entry(e, now_ms);
	e->suspicious++;
	e->last_suspicious_ms = now_ms;
	/* a single one that is only somewhat smaller often is usual */
	uq->has_news |= !e->failing &&
			(e->suspicious >= NEWS_SUSPICIOUS || much_smaller);
}

bool has_quality_news(const struct upstream_quality *uq)
{
	return uq->has_news;
}

void clear_quality_news(struct upstream_quality *uq)
{
	uq->has_news = false;
}

/* Age of the last suspicious response of E in units of reports. */
static uint32_t suspicious_age(const struct quality_entry *e, uint64_t now_ms)
{
	uint64_t age = (now_ms - MIN(now_ms, e->last_suspicious_ms)) /
		       QUALITY_AGE_UNIT_MS;

	return (uint32_t)MIN(age, QUALITY_AGE_MAX);
}

uint32_t own_quality_report(const struct upstream_quality *uq,
			    upstream_index_t nr, uint64_t now_ms)
{
	struct quality_entry e;
	uint32_t responses;
	uint32_t suspicious;
	uint32_t ratio;

	if (nr >= uq->entries->len)
		return 0;
	e = g_array_index(uq->entries, struct quality_entry, nr);
	decay_entry(&e, now_ms);
	if (e.responses < 0.5)
		return 0;
	responses = (uint32_t)MIN(lround(e.responses),
				  QUALITY_REPORT_RESPONSES_MAX);
	suspicious = (uint32_t)MIN(
		lround(responses * e.suspicious / e.responses), responses);
	ratio = (uint32_t)MIN(
		lround(RATIO_UNIT * exp2(e.octaves / e.responses)), UINT8_MAX);
	if (!suspicious)
		return ratio | responses << 8;
	return ratio | responses << 8 | suspicious << 12 |
	       suspicious_age(&e, now_ms) << 16;
}

static struct peer_reports *get_peer(struct upstream_quality *uq,
				     uint64_t member)
{
	struct peer_reports *new;

	for (guint i = 0; i < uq->peers->len; i++) {
		struct peer_reports *p = g_ptr_array_index(uq->peers, i);

		if (p->member_id == member)
			return p;
	}
	new = g_new0(struct peer_reports, 1);
	new->member_id = member;
	new->reports = g_array_new(FALSE, FALSE, sizeof(struct quality_report));
	g_ptr_array_add(uq->peers, new);
	return new;
}

void begin_peer_reports(struct upstream_quality *uq, uint64_t member,
			uint64_t now_ms)
{
	uq->current = get_peer(uq, member);
	uq->current->received_ms = now_ms;
	g_array_set_size(uq->current->reports, 0);
}

void add_peer_report(struct upstream_quality *uq, upstream_index_t nr,
		     uint32_t report)
{
	struct quality_report q = { nr, report };

	if (report && report <= UPSTREAM_QUALITY_MAX && uq->current)
		g_array_append_val(uq->current->reports, q);
}

static void add_suspicious(struct report_sum *sum, uint32_t responses,
			   uint32_t suspicious, uint64_t last_ms)
{
	if (!suspicious)
		return;
	sum->suspicious += suspicious;
	sum->last_suspicious_ms = MAX(sum->last_suspicious_ms, last_ms);
	if (suspicious > sum->most_suspicious) {
		sum->most_suspicious = suspicious;
		sum->most_responses = responses;
	}
}

/* Adds a report about NR, received at RECEIVED_MS. */
static void add_report(struct upstream_quality *uq, upstream_index_t nr,
		       uint32_t report, bool own, uint64_t received_ms)
{
	struct report_sum *sum = &get_entry(uq, nr)->sum;
	uint32_t responses = report >> 8 & QUALITY_REPORT_RESPONSES_MAX;
	double ratio = CLAMP((report & UINT8_MAX) / RATIO_UNIT,
			     QUALITY_RATIO_MIN, QUALITY_RATIO_MAX);
	double octaves = responses * log2(ratio);

	add_suspicious(sum, responses, MIN(report >> 12 & 15, responses),
		       received_ms - MIN(received_ms,
					 (report >> 16 & QUALITY_AGE_MAX) *
						 QUALITY_AGE_UNIT_MS));
	sum->responses += responses;
	sum->octaves += octaves;
	if (!own && octaves > sum->worst_octaves) {
		sum->worst_octaves = octaves;
		sum->worst_responses = responses;
	}
}

static void drop_old_reports(struct upstream_quality *uq, uint64_t now_ms)
{
	for (guint i = uq->peers->len; i > 0; i--) {
		const struct peer_reports *p =
			g_ptr_array_index(uq->peers, i - 1);

		if (now_ms - p->received_ms < QUALITY_REPORT_TIMEOUT_MS)
			continue;
		if (p == uq->current)
			uq->current = NULL;
		g_ptr_array_remove_index_fast(uq->peers, i - 1);
	}
}

void sum_quality_reports(struct upstream_quality *uq, uint64_t now_ms)
{
	drop_old_reports(uq, now_ms);
	for (guint i = 0; i < uq->entries->len; i++) {
		struct quality_entry *e = get_entry(uq, (upstream_index_t)i);

		memset(&e->sum, 0, sizeof(e->sum));
		add_report(uq, (upstream_index_t)i,
			   own_quality_report(uq, (upstream_index_t)i, now_ms),
			   true, now_ms);
	}
	for (guint i = 0; i < uq->peers->len; i++) {
		const struct peer_reports *p = g_ptr_array_index(uq->peers, i);

		for (guint k = 0; k < p->reports->len; k++) {
			const struct quality_report *q = &g_array_index(
				p->reports, struct quality_report, k);

			add_report(uq, q->upstream, q->report, false,
				   p->received_ms);
		}
	}
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Mean of OCTAVES over RESPONSES and some typical ones. */
static double shrunk_mean(double octaves, double responses)
{
	return octaves / (responses + QUALITY_PRIOR_SAMPLES);
}

/* Median of the upstreams' mean ratios, octaves; of two the lower one. */
static double median_octaves(struct upstream_quality *uq,
			     const upstream_index_t *upstreams, size_t nr)
{
	GArray *means = g_array_new(FALSE, FALSE, sizeof(double));
	double median = 0;

	for (size_t i = 0; i < nr; i++) {
		const struct report_sum *sum =
			&get_entry(uq, upstreams[i])->sum;
		double mean = shrunk_mean(sum->octaves, sum->responses);

		g_array_append_val(means, mean);
	}
	g_array_sort(means, compare_doubles);
	if (means->len)
		median = g_array_index(means, double, (means->len - 1) / 2);
	g_array_free(means, TRUE);
	return median;
}

/*
 * Whether it is found slow without the peers' worst report as well. The own
 * observations need no confirmation: most requests may come through this
 * instance, if it has long flows of the upstream.
 */
static bool is_slow_for_others(const struct report_sum *sum, double median)
{
	double responses = sum->responses - sum->worst_responses;
	double octaves = sum->octaves - sum->worst_octaves - median * responses;

	return shrunk_mean(octaves, responses) >= log2(QUALITY_USUAL_RATIO);
}

/* The ratio of E, whose service has the median MEDIAN, octaves. */
static double assess_ratio(const struct upstream_quality *uq,
			   const struct quality_entry *e, double median,
			   size_t instances)
{
	double responses = e->sum.responses;
	double octaves =
		shrunk_mean(e->sum.octaves - median * responses, responses);
	double deviation = MAX(sqrt(uq->mean_square), DEVIATION_MIN);
	double least;

	if (responses < 1)
		return 1;
	least = MAX(log2(QUALITY_SLOW_RATIO),
		    QUALITY_STANDARD_ERRORS * deviation / sqrt(responses));
	/* one that is avoided has few responses: it stays slow with fewer */
	if (e->ratio > 1)
		least = log2(QUALITY_USUAL_RATIO);
	else if (octaves > 0 && instances > QUALITY_SMALL_FLEET &&
		 !is_slow_for_others(&e->sum, median))
		return 1;
	if (fabs(octaves) < least)
		return 1;
	return CLAMP(exp2(octaves), QUALITY_RATIO_MIN, QUALITY_RATIO_MAX);
}

/* Whether E was failing recently, or is. */
static bool is_on_probation(const struct quality_entry *e, uint64_t now_ms)
{
	return e->last_failing_ms &&
	       now_ms < e->last_failing_ms + QUALITY_PROBATION_MS;
}

/*
 * Whether the responses of E show that it is failing, while the share
 * SERVICE_SHARE of those of the service's usual upstreams is suspicious.
 */
static bool assess_failing(const struct quality_entry *e, double service_share,
			   size_t instances, uint64_t now_ms)
{
	const struct report_sum *sum = &e->sum;
	double least = MAX(QUALITY_FAILING_SHARE,
			   QUALITY_FAILING_FACTOR * service_share);
	uint32_t others = sum->suspicious - sum->most_suspicious;

	double expected = service_share * sum->responses;
	uint64_t limit_ms = e->failing_again ? QUALITY_FAILING_AGAIN_MS
					     : QUALITY_FAILING_MS;

	if (!sum->suspicious || now_ms >= sum->last_suspicious_ms + limit_ms)
		return false;
	if (is_on_probation(e, now_ms))
		return sum->suspicious >= QUALITY_USUAL_SHARE * sum->responses;
	if (sum->responses < QUALITY_FAILING_RESPONSES ||
	    sum->suspicious < least * sum->responses)
		return false;
	/* of widely spread sizes, some are suspicious by chance */
	if (sum->suspicious <
	    expected + QUALITY_FAILING_DEVIATIONS * sqrt(expected))
		return false;
	/* one instance that mistakes usual responses does not decide alone */
	return instances <= QUALITY_SMALL_FLEET ||
	       (others &&
		others >= least * (sum->responses - sum->most_responses));
}

/* Assesses which of UPSTREAMS are failing, and whether to avoid these. */
static void assess_failures(struct upstream_quality *uq,
			    const upstream_index_t *upstreams, size_t nr,
			    size_t instances, uint64_t now_ms)
{
	double responses = 0;
	double suspicious = 0;
	size_t failing = 0;

	for (size_t i = 0; i < nr; i++) {
		const struct quality_entry *e = get_entry(uq, upstreams[i]);

		if (e->failing)
			continue;
		responses += e->sum.responses;
		suspicious += e->sum.suspicious;
	}
	for (size_t i = 0; i < nr; i++) {
		struct quality_entry *e = get_entry(uq, upstreams[i]);

		bool was_failing = e->failing;
		/* those of failing ones are not in the sums */
		double own_responses = was_failing ? 0 : e->sum.responses;
		double own_suspicious = was_failing ? 0 : e->sum.suspicious;

		e->failing = assess_failing(
			e,
			(suspicious - own_suspicious) /
				MAX(responses - own_responses, 1),
			instances, now_ms);
		if (e->failing && !was_failing)
			e->failing_again = is_on_probation(e, now_ms);
		failing += e->failing;
		if (e->failing)
			e->last_failing_ms = now_ms;
	}
	for (size_t i = 0; i < nr; i++) {
		struct quality_entry *e = get_entry(uq, upstreams[i]);

		e->avoided =
			e->failing &&
			(double)failing <= QUALITY_PANIC_SHARE * (double)nr;
	}
}

void assess_service_quality(struct upstream_quality *uq,
			    const upstream_index_t *upstreams, size_t nr,
			    size_t instances, uint64_t now_ms)
{
	double median = median_octaves(uq, upstreams, nr);
	GArray *before = g_array_new(FALSE, FALSE, sizeof(bool));

	for (size_t i = 0; i < nr; i++)
		g_array_append_val(before,
				   get_entry(uq, upstreams[i])->failing);
	assess_failures(uq, upstreams, nr, instances, now_ms);

	for (size_t i = 0; i < nr; i++) {
		struct quality_entry *e = get_entry(uq, upstreams[i]);
		bool was_slow = e->ratio > 1;
		struct quality_change ch = { .upstream = upstreams[i] };

		e->ratio = assess_ratio(uq, e, median, instances);
		ch.slow = e->ratio > 1;
		ch.failing = e->failing;
		ch.ratio = e->ratio;
		ch.responses = e->sum.responses;
		ch.suspicious = e->sum.suspicious;
		if (ch.slow != was_slow ||
		    ch.failing != g_array_index(before, bool, i))
			g_array_append_val(uq->changes, ch);
	}
	g_array_free(before, TRUE);
}

bool is_failing_upstream(const struct upstream_quality *uq, upstream_index_t nr)
{
	return nr < uq->entries->len &&
	       g_array_index(uq->entries, struct quality_entry, nr).avoided;
}

double quality_ratio(const struct upstream_quality *uq, upstream_index_t nr)
{
	return nr < uq->entries->len
		       ? g_array_index(uq->entries, struct quality_entry, nr)
				 .ratio
		       : 1;
}

void pop_quality_changes(struct upstream_quality *uq, GArray *changes)
{
	g_array_append_vals(changes, uq->changes->data, uq->changes->len);
	g_array_set_size(uq->changes, 0);
}
