#include "t/placement-simulation.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "fleet/heartbeat.h"
#include "flow/in-flight.h"
#include "flow/syn-queue.h"
#include "t/cookie-harness.h"

#define DEADLINE_MS 3000
#define ATTEMPTS_MAX 3 /* of one request */
#define IDLE_SHARE 0.7 /* of slots in use, below which none is refused */
#define PRIORITY_SPAN_MS 100
#define SIM_ROUTE_KEY 1 /* of the responses of all requests */

/* When a SYN and its copies are sent, and when the caller gives up, ms. */
static const uint32_t syn_copy_at_ms[] = { 0, 200, 600, 1400 };

struct long_flow {
	unsigned int instance;
	unsigned int upstream; /* index; upstream_nr: not open */
	bool opening;	       /* its caller sends SYNs */
};

/* A request that waits for its caller to send a SYN. */
struct pending_syn {
	uint64_t requested_ms; /* when the caller first sent it */
	uint64_t syn_ms;       /* first SYN of this attempt */
	uint64_t next_syn_ms;
	unsigned int syn_copy;
	unsigned int attempts;
	struct long_flow *flow; /* opened by the SYN; NULL: a short flow */
	bool urgent;		/* does not yield to others */
	bool unsafe;		/* its caller does not retry after an error */
	unsigned int domain;	/* of its caller */
	unsigned int instance;	/* where it waits */
	struct waiting_syn *waiting;
};

/* One request at an upstream. */
struct sim_request {
	uint64_t requested_ms; /* when the caller first sent it */
	uint32_t remaining_ms;
	uint64_t started_ms;
	double started_load; /* of the upstream, as known to the instance */
	unsigned int instance;
	unsigned int attempts;
	unsigned int domain; /* of its caller */
	bool urgent;
	bool unsafe;
	struct long_flow *flow; /* NULL: a flow for this request only */
};

struct sim_upstream {
	GQueue running; /* of struct sim_request */
	GQueue waiting;
	GQueue errors; /* requests to be answered with an error, in no slot */
};

/* When an instance last decided about SYNs, 0: never. */
struct last_decisions {
	uint64_t usual_placed_ms;
	uint64_t urgent_refused_ms;
};

struct placement_sim {
	const struct placement_sim_options *opt;
	struct placement_sim_result *result;
	GRand *rand;
	unsigned int instance_nr;
	unsigned int upstream_nr;
	struct cookie_instance *instances;
	struct syn_queue **syn_queues;	/* by instance */
	struct last_decisions *last;	/* by instance */
	unsigned int *heartbeat_rounds; /* by instance */
	unsigned int running;		/* requests at all upstreams */
	GArray *refusal_times_ms;	/* of uint32_t */
	upstream_index_t *handles; /* of upstreams, the same at all instances */
	struct sim_upstream *upstreams;
	struct long_flow *long_flows;
	GArray *answer_times_ms; /* of uint32_t */
	GArray *pending_syns;	 /* of struct pending_syn */
	uint64_t now_ms;
};

static const struct flow_load short_flow = { .counted = true,
					     .weight = IN_FLIGHT_WEIGHT_ONE };

static unsigned int domain_of_instance(const struct placement_sim *sim,
				       unsigned int i)
{
	return i / sim->opt->instances_per_domain;
}

static unsigned int domain_of_upstream(const struct placement_sim *sim,
				       unsigned int i)
{
	return i / sim->opt->upstreams_per_domain;
}

/* Adds upstream S to the catalogs of all instances. */
static void put_upstream(struct placement_sim *sim, unsigned int s)
{
	struct upstream_report r;
	char domain[16];
	char name[16];

	g_snprintf(domain, sizeof(domain), "d%u", domain_of_upstream(sim, s));
	g_snprintf(name, sizeof(name), "u%u", s);
	r = make_upstream_report(name, domain);
	r.slots = sim->opt->slots;
	for (unsigned int i = 0; i < sim->instance_nr; i++)
		sim->handles[s] =
			put_test_upstream(&sim->instances[i], &r, sim->now_ms);
}

static void create_instances(struct placement_sim *sim)
{
	char domain[16];
	char name[16];

	for (unsigned int i = 0; i < sim->instance_nr; i++) {
		g_snprintf(domain, sizeof(domain), "d%u",
			   domain_of_instance(sim, i));
		g_snprintf(name, sizeof(name), "i%u", i);
		init_cookie_instance(&sim->instances[i], name, domain);
		set_remote_domain_cost(sim->instances[i].placer,
				       sim->opt->remote_domain_cost);
		set_placer_quality(sim->instances[i].placer,
				   sim->opt->quality != QUALITY_IGNORED);
		sim->syn_queues[i] = create_syn_queue();
	}
	for (unsigned int s = 0; s < sim->upstream_nr; s++)
		put_upstream(sim, s);
}

/* Makes all instances known to each other: their number decides on reports. */
static void introduce_instances(struct placement_sim *sim)
{
	char domain[16];
	char name[16];

	for (unsigned int i = 0; i < sim->instance_nr; i++) {
		g_snprintf(domain, sizeof(domain), "d%u",
			   domain_of_instance(sim, i));
		g_snprintf(name, sizeof(name), "i%u", i);
		for (unsigned int k = 0; k < sim->instance_nr; k++)
			if (k != i)
				set_test_member(&sim->instances[k], name,
						domain, MEMBER_ALIVE);
	}
}

static unsigned int upstream_index(const struct placement_sim *sim,
				   upstream_index_t nr)
{
	for (unsigned int s = 0; s < sim->upstream_nr; s++)
		if (sim->handles[s] == nr)
			return s;
	return sim->upstream_nr;
}

static unsigned int random_upstream(const struct placement_sim *sim)
{
	return (unsigned int)g_rand_int_range(sim->rand, 0,
					      (gint32)sim->upstream_nr);
}

/* Lists the upstreams to exclude: all but one, or but two if TWO, at random. */
static size_t list_excluded(const struct placement_sim *sim, bool two,
			    upstream_index_t *out)
{
	unsigned int first = random_upstream(sim);
	unsigned int second = two ? random_upstream(sim) : first;
	size_t n = 0;

	for (unsigned int s = 0; s < sim->upstream_nr; s++)
		if (s != first && s != second)
			out[n++] = sim->handles[s];
	return n;
}

/* Lists the upstreams that INSTANCE finds twice as slow as usual. */
static size_t list_ejected(const struct placement_sim *sim,
			   unsigned int instance, upstream_index_t *out)
{
	size_t n = 0;

	for (unsigned int s = 0; s < sim->upstream_nr; s++)
		if (upstream_slowness(sim->instances[instance].placer,
				      sim->handles[s]) >= 2)
			out[n++] = sim->handles[s];
	return n;
}

/* Chooses an upstream for SYN; NULL: for a long flow of usual requests. */
static struct placement choose_upstream(struct placement_sim *sim,
					unsigned int instance,
					const struct pending_syn *syn)
{
	struct cookie_instance *in = &sim->instances[instance];
	struct placement_request request = {
		.service = intern_service(in->catalog, "board"),
		.deadline_ms = DEADLINE_MS,
		.target_ms = sim->opt->target_ms,
		.repeatable = !syn || !syn->unsafe
	};
	upstream_index_t *excluded = g_new(upstream_index_t, sim->upstream_nr);
	struct placement best;
	size_t n = 0;

	if (sim->opt->strategy == PICK_RANDOM)
		n = list_excluded(sim, false, excluded);
	else if (sim->opt->strategy == PICK_BEST_OF_TWO)
		n = list_excluded(sim, true, excluded);
	else if (sim->opt->quality == QUALITY_EJECTION)
		n = list_ejected(sim, instance, excluded);
	if (!syn || !syn->urgent)
		request.urgent_share =
			urgent_syn_share(sim->syn_queues[instance],
					 request.service, sim->now_ms);
	request.excluded = excluded;
	request.excluded_nr = n;
	best = place_new_flow(in->placer, &request, sim->now_ms);
	g_free(excluded);
	return best;
}

/*
 * Whether requests of REQUESTED_MS count in the outcomes: not those that may
 * have no outcome yet when the simulation ends.
 */
static bool is_counted(const struct placement_sim *sim, uint64_t requested_ms)
{
	return requested_ms >= sim->opt->length_ms / 2 &&
	       requested_ms + DEADLINE_MS < sim->opt->length_ms;
}

/* Adds 1 to FIELD of the outcomes of the request's route and domain. */
#define COUNT_OUTCOME(sim, rq, field)                                          \
	do {                                                                   \
		if (!is_counted(sim, (rq)->requested_ms))                      \
			break;                                                 \
		(sim)->result->by_route[(rq)->urgent].field++;                 \
		(sim)->result->by_domain[(rq)->domain].field++;                \
	} while (0)

/* When slow upstreams are usual again and failing ones fail no more. */
static uint64_t impaired_until_ms(const struct placement_sim *sim)
{
	return sim->opt->impaired_ms
		       ? sim->opt->length_ms / 2 + sim->opt->impaired_ms
		       : sim->opt->length_ms;
}

static bool is_impaired_time(const struct placement_sim *sim)
{
	return sim->now_ms >= sim->opt->length_ms / 2 &&
	       sim->now_ms < impaired_until_ms(sim);
}

/* Whether upstream S is in SHARE, of which each domain has its part. */
static bool is_in_share(unsigned int s, double share)
{
	return (unsigned int)((s + 1) * share) > (unsigned int)(s * share);
}

static bool is_slow(const struct placement_sim *sim, unsigned int s)
{
	return is_in_share(s, sim->opt->slow_upstream_share);
}

static bool is_failing(const struct placement_sim *sim, unsigned int s)
{
	return is_in_share(s, sim->opt->failing_upstream_share);
}

/* Counts a short flow to upstream S. */
static void count_impaired_request(struct placement_sim *sim, unsigned int s)
{
	uint64_t end_ms = impaired_until_ms(sim);

	if (!is_slow(sim, s) && !is_failing(sim, s))
		return;
	if (sim->now_ms >= sim->opt->length_ms / 2 + 2000 &&
	    sim->now_ms < end_ms)
		sim->result->impaired_requests++;
	if (sim->now_ms >= end_ms + 2000 && sim->now_ms < end_ms + 4000)
		sim->result->recovered_requests++;
}

static void count_answer(struct placement_sim *sim,
			 const struct sim_request *rq)
{
	uint32_t took_ms = (uint32_t)(sim->now_ms - rq->requested_ms);

	g_array_append_val(sim->answer_times_ms, took_ms);
	if (took_ms <= sim->opt->target_ms) {
		sim->result->in_time++;
		COUNT_OUTCOME(sim, rq, in_time);
	} else {
		sim->result->late++;
		COUNT_OUTCOME(sim, rq, late);
		sim->result->late_new += !rq->flow;
	}
}

static void end_request(struct placement_sim *sim, unsigned int upstream,
			struct sim_request *rq)
{
	struct placer *pl = sim->instances[rq->instance].placer;

	if (rq->flow)
		note_request_end(pl, sim->handles[upstream]);
	else
		remove_flow_load(pl, sim->handles[upstream], &short_flow);
	g_free(rq);
}

/* Schedules the attempt that follows LAST, if any is left. */
static void schedule_retry(struct placement_sim *sim,
			   const struct pending_syn *last,
			   struct long_flow *flow)
{
	uint64_t at_ms = sim->now_ms + sim->opt->retry_delay_ms;
	struct pending_syn syn = { .requested_ms = last->requested_ms,
				   .syn_ms = at_ms,
				   .next_syn_ms = at_ms,
				   .attempts = last->attempts + 1,
				   .domain = last->domain,
				   .urgent = last->urgent,
				   .unsafe = last->unsafe,
				   .flow = flow };

	if (syn.attempts < ATTEMPTS_MAX &&
	    sim->now_ms - last->requested_ms < DEADLINE_MS) {
		if (flow)
			flow->opening = true;
		g_array_append_val(sim->pending_syns, syn);
		return;
	}
	sim->result->failed++;
	sim->result->urgent_failed += last->urgent;
	COUNT_OUTCOME(sim, last, lost);
	if (flow)
		flow->opening = false;
}

/* Ends RQ, which upstream S did not complete; its caller retries. */
static void retry_request(struct placement_sim *sim, unsigned int s,
			  struct sim_request *rq)
{
	struct pending_syn last = { .requested_ms = rq->requested_ms,
				    .attempts = rq->attempts,
				    .domain = rq->domain,
				    .urgent = rq->urgent,
				    .unsafe = rq->unsafe };

	end_request(sim, s, rq);
	schedule_retry(sim, &last, NULL);
}

static void send_request(struct placement_sim *sim, unsigned int upstream,
			 unsigned int instance, const struct pending_syn *syn)
{
	struct sim_upstream *up = &sim->upstreams[upstream];
	struct placer *pl = sim->instances[instance].placer;
	struct sim_request *rq = g_new0(struct sim_request, 1);
	double u = g_rand_double_range(sim->rand, 1e-6, 1);
	double mean_ms = syn->urgent ? sim->opt->urgent_request_ms
				     : sim->opt->request_ms;

	if (is_impaired_time(sim) && is_slow(sim, upstream))
		mean_ms *= sim->opt->slow_factor;
	rq->requested_ms = syn->requested_ms;
	rq->attempts = syn->attempts;
	rq->urgent = syn->urgent;
	rq->unsafe = syn->unsafe;
	rq->domain = syn->domain;
	rq->remaining_ms = 1 + (uint32_t)(-log(u) * mean_ms);
	rq->instance = instance;
	rq->started_ms = sim->now_ms;
	rq->flow = syn->flow;
	if (syn->flow)
		note_request_start(pl, sim->handles[upstream]);
	else
		add_flow_load(pl, sim->handles[upstream], &short_flow);
	if (domain_of_instance(sim, instance) !=
	    domain_of_upstream(sim, upstream))
		sim->result->remote_domain++;
	if (!syn->flow)
		count_impaired_request(sim, upstream);
	rq->started_load = current_load(pl, sim->handles[upstream]);
	if (is_impaired_time(sim) && is_failing(sim, upstream) &&
	    g_rand_double(sim->rand) < sim->opt->error_share) {
		rq->remaining_ms = SIM_ERROR_MS;
		g_queue_push_tail(&up->errors, rq);
	} else if (up->running.length < sim->opt->slots) {
		g_queue_push_tail(&up->running, rq);
	} else if (up->waiting.length < sim->opt->queue_length) {
		g_queue_push_tail(&up->waiting, rq);
	} else {
		sim->result->shed++;
		retry_request(sim, upstream, rq);
	}
}

/* Differs between requests, without a number from sim->rand. */
static uint32_t response_bytes(const struct sim_request *rq)
{
	uint64_t mixed = (rq->started_ms + rq->instance) * 2654435761U;

	return SIM_RESPONSE_BYTES / 2 +
	       (uint32_t)((mixed >> 8) % SIM_RESPONSE_BYTES);
}

static void note_response(struct placement_sim *sim, unsigned int s,
			  const struct sim_request *rq, uint32_t bytes)
{
	struct placer *pl = sim->instances[rq->instance].placer;
	uint64_t took_ms = sim->now_ms - rq->started_ms;

	note_response_time(pl, sim->handles[s], SIM_ROUTE_KEY, rq->started_load,
			   took_ms, sim->now_ms);
	note_response_size(pl, sim->handles[s], SIM_ROUTE_KEY, took_ms, bytes,
			   sim->now_ms);
	note_answer(pl, sim->handles[s], took_ms, sim->now_ms);
}

/* Answers the requests of S that fail. Callers retry those that are safe. */
static void answer_with_errors(struct placement_sim *sim, unsigned int s)
{
	GQueue *errors = &sim->upstreams[s].errors;
	guint n = errors->length;

	for (guint i = 0; i < n; i++) {
		struct sim_request *rq = g_queue_pop_head(errors);

		if (--rq->remaining_ms) {
			g_queue_push_tail(errors, rq);
			continue;
		}
		sim->result->errors++;
		note_response(sim, s, rq, SIM_ERROR_BYTES);
		if (!rq->unsafe) {
			retry_request(sim, s, rq);
			continue;
		}
		sim->result->failed++;
		sim->result->unsafe_failed++;
		sim->result->urgent_failed += rq->urgent;
		COUNT_OUTCOME(sim, rq, lost);
		end_request(sim, s, rq);
	}
}

static void run_upstreams(struct placement_sim *sim)
{
	sim->running = 0;
	for (unsigned int s = 0; s < sim->upstream_nr; s++) {
		struct sim_upstream *up = &sim->upstreams[s];
		guint n = up->running.length;

		for (guint i = 0; i < n; i++) {
			struct sim_request *rq = g_queue_pop_head(&up->running);

			if (--rq->remaining_ms) {
				g_queue_push_tail(&up->running, rq);
				continue;
			}
			count_answer(sim, rq);
			note_response(sim, s, rq, response_bytes(rq));
			end_request(sim, s, rq);
		}
		answer_with_errors(sim, s);
		while (up->running.length < sim->opt->slots &&
		       up->waiting.length)
			g_queue_push_tail(&up->running,
					  g_queue_pop_head(&up->waiting));
		sim->running += up->running.length;
	}
}

static unsigned int pick_instance_of(struct placement_sim *sim,
				     unsigned int domain)
{
	return domain * sim->opt->instances_per_domain +
	       (unsigned int)g_rand_int_range(
		       sim->rand, 0, (gint32)sim->opt->instances_per_domain);
}

/* A random instance; first_domain_load weights those of the first domain. */
static unsigned int pick_instance(struct placement_sim *sim)
{
	unsigned int domain = (unsigned int)g_rand_int_range(
		sim->rand, 0, (gint32)sim->opt->domain_nr);
	double extra =
		(sim->opt->first_domain_load - 1) / (sim->opt->domain_nr - 1);

	if (domain && g_rand_double(sim->rand) < extra)
		domain = 0;
	return pick_instance_of(sim, domain);
}

static void place_long_flow(struct placement_sim *sim, struct long_flow *f,
			    unsigned int instance, unsigned int upstream)
{
	f->instance = instance;
	f->upstream = upstream;
	f->opening = false;
	if (upstream < sim->upstream_nr)
		note_flow_open(sim->instances[instance].placer,
			       sim->handles[upstream]);
}

/* Whether the outage of the instances has just ended. */
static bool has_just_started(const struct placement_sim *sim)
{
	uint64_t end_ms = sim->opt->length_ms / 2 + sim->opt->outage_ms;

	return sim->opt->outage_ms && sim->now_ms >= end_ms &&
	       sim->now_ms < end_ms + COOKIE_STARTUP_MS;
}

/* Whether BEST is too loaded for a SYN that yields to others. */
static bool is_crowded(const struct placement *best, bool just_started)
{
	return best->reason == PLACE_FULL ||
	       (best->reason == PLACE_CROWDED && !just_started);
}

static struct syn_rank get_rank(const struct pending_syn *syn)
{
	return (struct syn_rank){ .priority = syn->urgent ? 1 : 2,
				  .is_lowest = !syn->urgent };
}

static enum syn_verdict decide(const struct placement_sim *sim,
			       const struct pending_syn *syn,
			       const struct placement *best)
{
	bool just_started = has_just_started(sim);
	bool crowded = is_crowded(best, just_started) && !syn->urgent;
	bool last = syn->syn_copy >= G_N_ELEMENTS(syn_copy_at_ms) - 2;

	if (best->upstream == CATALOG_NONE)
		return SYN_REFUSE;
	switch (sim->opt->overload) {
	case OVERLOAD_QUEUE:
	case OVERLOAD_QUEUE_OLDEST:
		return decide_ranked_syn(
			sim->syn_queues[syn->instance],
			intern_service(sim->instances[syn->instance].catalog,
				       "board"),
			get_rank(syn), best, just_started, sim->now_ms);
	case OVERLOAD_REFUSE:
		return crowded ? SYN_REFUSE : SYN_PLACE;
	case OVERLOAD_DEFER:
	case OVERLOAD_DEFER_ADMIT:
		if (!crowded)
			return SYN_PLACE;
		if (!last)
			return SYN_WAIT;
		return just_started || sim->opt->overload ==
					       OVERLOAD_DEFER_ADMIT
			       ? SYN_PLACE
			       : SYN_REFUSE;
	default:
		return SYN_PLACE;
	}
}

static void place_syn(struct placement_sim *sim, struct pending_syn *syn,
		      const struct placement *best)
{
	struct cookie_instance *in = &sim->instances[syn->instance];
	unsigned int upstream = upstream_index(sim, best->upstream);

	note_syn_placed(sim->syn_queues[syn->instance],
			intern_service(in->catalog, "board"), get_rank(syn),
			sim->now_ms);
	if (!syn->urgent) {
		struct last_decisions *last = &sim->last[syn->instance];

		last->usual_placed_ms = sim->now_ms;
		if (last->urgent_refused_ms &&
		    sim->now_ms - last->urgent_refused_ms < PRIORITY_SPAN_MS)
			sim->result->refused_before_less_urgent++;
	}
	if (syn->flow)
		place_long_flow(sim, syn->flow, syn->instance, upstream);
	send_request(sim, upstream, syn->instance, syn);
}

static void refuse_syn(struct placement_sim *sim, const struct pending_syn *syn)
{
	uint32_t held_ms = (uint32_t)(sim->now_ms - syn->syn_ms);

	note_syn_refused(
		sim->syn_queues[syn->instance],
		intern_service(sim->instances[syn->instance].catalog, "board"),
		get_rank(syn).priority, sim->now_ms);
	sim->result->refused++;
	g_array_append_val(sim->refusal_times_ms, held_ms);
	COUNT_OUTCOME(sim, syn, refused);
	/* one tick later is in time, too */
	if (held_ms <= sim->opt->target_ms / 4 + COOKIE_TICK_MS)
		COUNT_OUTCOME(sim, syn, refused_soon);
	if (sim->running < IDLE_SHARE * sim->upstream_nr * sim->opt->slots)
		sim->result->refused_idle++;
	if (syn->urgent) {
		struct last_decisions *last = &sim->last[syn->instance];

		last->urgent_refused_ms = sim->now_ms;
		if (last->usual_placed_ms &&
		    sim->now_ms - last->usual_placed_ms < PRIORITY_SPAN_MS)
			sim->result->refused_before_less_urgent++;
	}
	schedule_retry(sim, syn, syn->flow);
}

static void drop_syn(struct placement_sim *sim, struct pending_syn *syn)
{
	syn->syn_copy++;
	syn->next_syn_ms = syn->syn_ms + syn_copy_at_ms[syn->syn_copy];
	sim->result->waited++;
	g_array_append_val(sim->pending_syns, *syn);
}

static void hold_syn(struct placement_sim *sim, const struct pending_syn *syn)
{
	struct cookie_instance *in = &sim->instances[syn->instance];
	bool just_started = has_just_started(sim);
	struct syn_limits limits = get_ranked_syn_limits(
		sim->syn_queues[syn->instance],
		intern_service(in->catalog, "board"), get_rank(syn),
		sim->opt->target_ms, 0, just_started, sim->now_ms);
	struct pending_syn *copy = g_memdup2(syn, sizeof(*syn));

	if (sim->opt->wait_limit_ms && !just_started)
		limits.wait_ms = sim->opt->wait_limit_ms;
	copy->waiting =
		queue_syn(sim->syn_queues[syn->instance],
			  intern_service(in->catalog, "board"), get_rank(syn),
			  limits, just_started, copy, sim->now_ms);
	sim->result->waited++;
	if (!copy->waiting) {
		refuse_syn(sim, copy);
		g_free(copy);
	}
}

/* A SYN arrives at a random instance. */
static void handle_syn(struct placement_sim *sim, struct pending_syn *syn)
{
	struct placement best;
	enum syn_verdict verdict;

	if (sim->opt->callers_keep_domain && syn->attempts)
		syn->instance = pick_instance_of(sim, syn->domain);
	else
		syn->instance = pick_instance(sim);
	syn->domain = domain_of_instance(sim, syn->instance);
	if (!syn->attempts && !syn->syn_copy)
		COUNT_OUTCOME(sim, syn, requests);
	best = choose_upstream(sim, syn->instance, syn);
	verdict = decide(sim, syn, &best);
	note_syn_arrival(
		sim->syn_queues[syn->instance],
		intern_service(sim->instances[syn->instance].catalog, "board"),
		get_rank(syn), verdict == SYN_WAIT, sim->now_ms);
	switch (verdict) {
	case SYN_WAIT:
		if (sim->opt->overload == OVERLOAD_DEFER ||
		    sim->opt->overload == OVERLOAD_DEFER_ADMIT)
			drop_syn(sim, syn);
		else
			hold_syn(sim, syn);
		break;
	case SYN_PLACE:
		place_syn(sim, syn, &best);
		break;
	case SYN_REFUSE:
		refuse_syn(sim, syn);
		break;
	}
}

static struct waiting_syn *next_to_place(const struct placement_sim *sim,
					 unsigned int instance,
					 service_index_t service)
{
	struct waiting_syn *w =
		next_waiting_syn(sim->syn_queues[instance], service);

	if (w && sim->opt->overload == OVERLOAD_QUEUE_OLDEST)
		w = oldest_waiting_syn(sim->syn_queues[instance], service);
	return w;
}

/* Places and refuses SYNs that wait at INSTANCE. */
static void release_syns_at(struct placement_sim *sim, unsigned int instance)
{
	struct syn_queue *q = sim->syn_queues[instance];
	service_index_t service =
		intern_service(sim->instances[instance].catalog, "board");
	struct waiting_syn *w;

	while ((w = next_syn_to_refuse(q, sim->now_ms))) {
		struct pending_syn *syn = w->owner;

		remove_waiting_syn(q, w);
		refuse_syn(sim, syn);
		g_free(syn);
	}
	while ((w = next_to_place(sim, instance, service))) {
		struct waiting_syn *overdue =
			next_overdue_syn(q, service, sim->now_ms);
		struct pending_syn *syn = overdue ? overdue->owner : w->owner;
		struct placement best = choose_upstream(sim, instance, syn);
		enum syn_verdict verdict = decide(sim, syn, &best);

		if (verdict == SYN_WAIT && overdue &&
		    !must_syn_yield(q, service, get_rank(syn).priority,
				    sim->now_ms))
			verdict = decide_overdue_syn(&best,
						     has_just_started(sim));
		if (verdict == SYN_WAIT)
			break;
		remove_waiting_syn(q, syn->waiting);
		if (verdict == SYN_PLACE)
			place_syn(sim, syn, &best);
		else
			refuse_syn(sim, syn);
		g_free(syn);
	}
}

static void send_first_syn(struct placement_sim *sim, uint64_t requested_ms)
{
	struct pending_syn syn = { .requested_ms = requested_ms,
				   .syn_ms = sim->now_ms,
				   .next_syn_ms = sim->now_ms };

	syn.urgent = g_rand_double(sim->rand) < sim->opt->urgent_share;
	if (sim->opt->unsafe_share > 0)
		syn.unsafe = g_rand_double(sim->rand) < sim->opt->unsafe_share;
	sim->result->requests++;
	sim->result->urgent_requests += syn.urgent;
	handle_syn(sim, &syn);
}

/* Sends the SYNs that are due. */
static void send_due_syns(struct placement_sim *sim)
{
	for (guint i = sim->pending_syns->len; i > 0; i--) {
		struct pending_syn syn = g_array_index(
			sim->pending_syns, struct pending_syn, i - 1);

		if (syn.next_syn_ms > sim->now_ms)
			continue;
		g_array_remove_index_fast(sim->pending_syns, i - 1);
		handle_syn(sim, &syn);
	}
}

static void open_long_flows(struct placement_sim *sim)
{
	unsigned int n = (unsigned int)sim->opt->long_flows;

	sim->long_flows = g_new0(struct long_flow, n ? n : 1);
	for (unsigned int i = 0; i < n; i++) {
		unsigned int instance = pick_instance(sim);

		place_long_flow(
			sim, &sim->long_flows[i], instance,
			upstream_index(
				sim,
				choose_upstream(sim, instance, NULL).upstream));
	}
}

static void send_long_flow_requests(struct placement_sim *sim)
{
	unsigned int n = (unsigned int)sim->opt->long_flows;

	for (unsigned int i = 0; i < n; i++) {
		struct long_flow *f = &sim->long_flows[i];
		struct pending_syn syn = { .requested_ms = sim->now_ms,
					   .syn_ms = sim->now_ms,
					   .next_syn_ms = sim->now_ms,
					   .flow = f };

		if (f->opening || g_rand_double(sim->rand) >= 0.001)
			continue;
		sim->result->requests++;
		if (f->upstream < sim->upstream_nr) {
			send_request(sim, f->upstream, f->instance, &syn);
			continue;
		}
		f->opening = true;
		g_array_append_val(sim->pending_syns, syn);
	}
}

/* Drops REQUESTS, which upstream S has; their callers retry. */
static void lose_requests(struct placement_sim *sim, unsigned int s,
			  GQueue *requests)
{
	struct sim_request *rq;

	while ((rq = g_queue_pop_head(requests)))
		retry_request(sim, s, rq);
}

static void lose_upstream(struct placement_sim *sim, unsigned int s)
{
	char name[16];

	lose_requests(sim, s, &sim->upstreams[s].running);
	lose_requests(sim, s, &sim->upstreams[s].waiting);
	lose_requests(sim, s, &sim->upstreams[s].errors);
	for (unsigned int i = 0; i < (unsigned int)sim->opt->long_flows; i++) {
		struct long_flow *f = &sim->long_flows[i];

		if (f->upstream != s)
			continue;
		note_flow_end(sim->instances[f->instance].placer,
			      sim->handles[s]);
		f->upstream = sim->upstream_nr;
	}
	g_snprintf(name, sizeof(name), "u%u", s);
	for (unsigned int i = 0; i < sim->instance_nr; i++) {
		remove_catalog_upstream(sim->instances[i].catalog, name,
					sim->now_ms);
		update_placer_upstream(sim->instances[i].placer,
				       sim->handles[s], sim->now_ms);
	}
}

/* Removes the upstreams of the lost domains, and later restores them. */
static void change_upstreams(struct placement_sim *sim)
{
	uint64_t lost_at_ms = sim->opt->length_ms / 2;

	for (unsigned int s = 0; s < sim->upstream_nr; s++) {
		bool lost =
			domain_of_upstream(sim, s) < sim->opt->lost_domains ||
			s + sim->opt->lost_upstreams >= sim->upstream_nr;

		if (!lost)
			continue;
		if (sim->now_ms == lost_at_ms)
			lose_upstream(sim, s);
		else if (sim->now_ms == lost_at_ms + sim->opt->lost_ms)
			put_upstream(sim, s);
	}
}

static bool is_heartbeat_sent(const struct placement_sim *sim,
			      unsigned int from, unsigned int to)
{
	uint32_t factor = sim->opt->remote_heartbeat_factor;

	return !factor ||
	       domain_of_instance(sim, from) == domain_of_instance(sim, to) ||
	       (sim->heartbeat_rounds[from] + to) % factor == 0;
}

static void send_heartbeat(struct placement_sim *sim, unsigned int from)
{
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));

	sim->heartbeat_rounds[from]++;
	list_own_loads(sim->instances[from].placer, sim->now_ms, rows);
	for (unsigned int i = 0; i < sim->instance_nr; i++)
		if (i != from && is_heartbeat_sent(sim, from, i))
			handle_peer_loads(
				sim->instances[i].placer, from + 1,
				(const struct upstream_load_row *)(void *)
					rows->data,
				rows->len, sim->now_ms);
	g_array_free(rows, TRUE);
}

static void tick_instances(struct placement_sim *sim)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	for (unsigned int i = 0; i < sim->instance_nr; i++) {
		bool due = (sim->now_ms + i * 13) % sim->opt->heartbeat_ms == 0;

		due |= has_load_changed(sim->instances[i].placer) &&
		       (sim->now_ms + i * 13) % HEARTBEAT_URGENT_MS == 0;
		if (sim->opt->strategy != PICK_BY_OWN_LOADS && due)
			send_heartbeat(sim, i);
		if (sim->now_ms % COOKIE_TICK_MS == 0)
			release_syns_at(sim, i);
		if (sim->now_ms % PLACEMENT_MEANS_INTERVAL_MS == 0)
			tick_placer(sim->instances[i].placer, sim->now_ms,
				    checks);
	}
	g_array_free(checks, TRUE);
}

static void run_simulation(struct placement_sim *sim)
{
	const struct placement_sim_options *opt = sim->opt;
	uint64_t outage_at_ms = opt->length_ms / 2;
	double due = 0;
	uint32_t backlog = 0;

	for (sim->now_ms = 1; sim->now_ms <= opt->length_ms; sim->now_ms++) {
		bool in_outage = sim->now_ms >= outage_at_ms &&
				 sim->now_ms < outage_at_ms + opt->outage_ms;

		bool in_burst = sim->now_ms >= outage_at_ms &&
				sim->now_ms < outage_at_ms + opt->lost_ms;

		due += opt->requests_per_s / 1000 *
		       (in_burst && opt->burst > 0 ? opt->burst : 1);
		while (due >= 1) {
			due -= 1;
			if (in_outage)
				backlog++;
			else
				send_first_syn(sim, sim->now_ms);
		}
		change_upstreams(sim);
		if (in_outage)
			continue;
		for (; backlog; backlog--)
			send_first_syn(sim, sim->now_ms);
		send_due_syns(sim);
		send_long_flow_requests(sim);
		run_upstreams(sim);
		tick_instances(sim);
	}
}

static int compare_ms(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t percentile(GArray *times_ms, unsigned int percent)
{
	if (!times_ms->len)
		return 0;
	g_array_sort(times_ms, compare_ms);
	return g_array_index(times_ms, uint32_t, times_ms->len * percent / 100);
}

static void release_simulation(struct placement_sim *sim)
{
	for (unsigned int s = 0; s < sim->upstream_nr; s++) {
		g_queue_clear_full(&sim->upstreams[s].running, g_free);
		g_queue_clear_full(&sim->upstreams[s].waiting, g_free);
		g_queue_clear_full(&sim->upstreams[s].errors, g_free);
	}
	for (unsigned int i = 0; i < sim->instance_nr; i++) {
		struct waiting_syn *w;

		while ((w = next_waiting_syn(sim->syn_queues[i], 0))) {
			g_free(w->owner);
			remove_waiting_syn(sim->syn_queues[i], w);
		}
		destroy_syn_queue(sim->syn_queues[i]);
		release_cookie_instance(&sim->instances[i]);
	}
	g_array_free(sim->refusal_times_ms, TRUE);
	g_free(sim->syn_queues);
	g_free(sim->last);
	g_free(sim->heartbeat_rounds);
	g_free(sim->instances);
	g_free(sim->upstreams);
	g_free(sim->handles);
	g_free(sim->long_flows);
	g_array_free(sim->answer_times_ms, TRUE);
	g_array_free(sim->pending_syns, TRUE);
	g_rand_free(sim->rand);
}

void init_site_options(struct placement_sim_options *opt)
{
	*opt = (struct placement_sim_options){
		.strategy = PICK_BEST_OF_ALL,
		.remote_domain_cost = PLACEMENT_REMOTE_DOMAIN_COST,
		.seed = 20261204,
		.domain_nr = 4,
		.instances_per_domain = 2,
		.upstreams_per_domain = 4,
		.slots = 3,
		.queue_length = 12,
		.first_domain_load = 1,
		.heartbeat_ms = HEARTBEAT_INTERVAL_MS,
		.length_ms = 15000,
		.target_ms = 200,
		.request_ms = 45,
		.urgent_request_ms = 45,
		.retry_delay_ms = 15
	};
}

void init_fleet_options(struct placement_sim_options *opt)
{
	init_site_options(opt);
	opt->domain_nr = 3;
	opt->instances_per_domain = 21;
	opt->upstreams_per_domain = 40;
	opt->slots = 2;
	opt->queue_length = 8;
	opt->requests_per_s = 1687;
	opt->urgent_share = 0.22;
	opt->target_ms = 400;
	opt->request_ms = 55;
	opt->urgent_request_ms = 72;
	opt->retry_delay_ms = 3;
	opt->heartbeat_ms =
		HEARTBEAT_INTERVAL_MS + 11 * HEARTBEAT_PER_MEMBER_MS;
	opt->remote_heartbeat_factor = HEARTBEAT_REMOTE_FACTOR;
	opt->callers_keep_domain = true;
	opt->length_ms = 22000;
	opt->lost_ms = 8000;
	opt->burst = 2.5;
	opt->slow_upstream_share = 0.3;
	opt->slow_factor = 4;
}

void init_quality_options(struct placement_sim_options *opt)
{
	init_site_options(opt);
	opt->domain_nr = 3;
	opt->instances_per_domain = 15;
	opt->upstreams_per_domain = 20;
	opt->slots = 2;
	opt->queue_length = 8;
	opt->heartbeat_ms = 400;
	opt->remote_heartbeat_factor = HEARTBEAT_REMOTE_FACTOR;
	opt->requests_per_s = 200;
	opt->long_flows = 400;
	opt->unsafe_share = 0.3;
	opt->impaired_ms = 8000;
	opt->length_ms = 24000;
}

double placement_score(const struct placement_sim_result *res, double late)
{
	return (res->in_time + late * res->late) / res->requests;
}

void simulate_placement(const struct placement_sim_options *opt,
			struct placement_sim_result *res)
{
	struct placement_sim sim = { .opt = opt, .result = res };

	memset(res, 0, sizeof(*res));
	sim.instance_nr = opt->domain_nr * opt->instances_per_domain;
	sim.upstream_nr = opt->domain_nr * opt->upstreams_per_domain;
	sim.instances = g_new0(struct cookie_instance, sim.instance_nr);
	sim.syn_queues = g_new0(struct syn_queue *, sim.instance_nr);
	sim.last = g_new0(struct last_decisions, sim.instance_nr);
	sim.heartbeat_rounds = g_new0(unsigned int, sim.instance_nr);
	sim.refusal_times_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	sim.upstreams = g_new0(struct sim_upstream, sim.upstream_nr);
	sim.handles = g_new0(upstream_index_t, sim.upstream_nr);
	sim.answer_times_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	sim.pending_syns =
		g_array_new(FALSE, FALSE, sizeof(struct pending_syn));
	sim.rand = g_rand_new_with_seed(opt->seed);
	create_instances(&sim);
	if (opt->quality != QUALITY_IGNORED)
		introduce_instances(&sim);
	open_long_flows(&sim);
	run_simulation(&sim);
	res->p99_ms = percentile(sim.answer_times_ms, 99);
	res->refusal_p95_ms = percentile(sim.refusal_times_ms, 95);
	release_simulation(&sim);
}

const char *pick_strategy_name(enum pick_strategy strategy)
{
	static const char *const names[PICK_STRATEGY_NR] = {
		"random", "own view", "two choices", "full scan"
	};

	return names[strategy];
}

const char *quality_strategy_name(enum quality_strategy strategy)
{
	static const char *const names[QUALITY_STRATEGY_NR] = { "load only",
								"completion",
								"ejection" };

	return names[strategy];
}

const char *overload_strategy_name(enum overload_strategy strategy)
{
	static const char *const names[OVERLOAD_STRATEGY_NR] = {
		"queue", "oldest first", "refuse",
		"defer", "defer, admit", "place all"
	};

	return names[strategy];
}
