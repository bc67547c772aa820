#ifndef T_PLACEMENT_SIMULATION_H
#define T_PLACEMENT_SIMULATION_H

/*
 * Simulates a load on the placement code of several instances. Callers open
 * flows at the instances of their failure domain; upstreams have slots and a
 * queue and shed requests beyond these. Counts the outcomes of requests, by
 * route and by failure domain of the caller.
 */

#include <stdbool.h>
#include <stdint.h>

/* How an instance chooses an upstream. */
enum pick_strategy {
	PICK_RANDOM,	   /* any upstream that takes flows */
	PICK_BY_OWN_LOADS, /* the best of all by the own loads only */
	PICK_BEST_OF_TWO,  /* the better of two random ones by all loads */
	PICK_BEST_OF_ALL,  /* the best of all by all loads */
	PICK_STRATEGY_NR
};

/* How an instance uses what it observes of responses. */
enum quality_strategy {
	QUALITY_IGNORED,    /* placement by load only */
	QUALITY_COMPLETION, /* flow/upstream-quality.h: expected completion */
	QUALITY_EJECTION,   /* the same; those twice as slow get no flows */
	QUALITY_STRATEGY_NR
};

/* What an instance does with SYNs while all upstreams are crowded. */
enum overload_strategy {
	OVERLOAD_QUEUE,	       /* flow/syn-queue.h: newest first */
	OVERLOAD_QUEUE_OLDEST, /* the same, oldest first */
	OVERLOAD_REFUSE,       /* refused at once */
	OVERLOAD_DEFER,	       /* dropped; the last copy is refused */
	OVERLOAD_DEFER_ADMIT,  /* dropped; the last copy is placed */
	OVERLOAD_PLACE,	       /* placed; upstreams shed */
	OVERLOAD_STRATEGY_NR
};

#define SIM_DOMAINS_MAX 4

struct placement_sim_options {
	enum pick_strategy strategy;
	enum overload_strategy overload;
	uint32_t wait_limit_ms; /* of waiting SYNs; 0: syn_wait_limit_ms() */
	double remote_domain_cost;
	uint32_t seed;
	unsigned int domain_nr;
	unsigned int instances_per_domain;
	unsigned int upstreams_per_domain;
	unsigned int slots;	   /* of each upstream */
	unsigned int queue_length; /* of each upstream, for waiting requests */
	double requests_per_s;	   /* of all callers, each in a new flow */
	double long_flows; /* number of flows with one request a second */
	double first_domain_load; /* relative to the mean of domains */
	uint32_t heartbeat_ms;	  /* between an instance's heartbeats */
	uint32_t length_ms;
	double urgent_share; /* of short flows, which yield to no others */
	double burst;	     /* times the short flows, while domains are lost */
	unsigned int lost_upstreams; /* number lost, besides lost_domains */
	unsigned int lost_domains;   /* number that lose upstreams half-way */
	uint32_t lost_ms;	     /* how long these are lost */
	uint32_t outage_ms; /* of all instances, half-way; callers return at
			     * once afterwards */
	uint32_t target_ms;
	uint32_t request_ms; /* mean run time, exponentially distributed */
	uint32_t urgent_request_ms;    /* the same, of the urgent route */
	uint32_t retry_delay_ms;       /* from a refusal to the next attempt */
	double slow_upstream_share;    /* from half-way on, for impaired_ms */
	double slow_factor;	       /* times their run times */
	double failing_upstream_share; /* the same time */
	double error_share;   /* of the responses of failing upstreams */
	uint32_t impaired_ms; /* 0: until the end */
	double unsafe_share;  /* of short flows whose callers do not retry */
	enum quality_strategy quality;
	/* other domains get one in so many heartbeats of an instance */
	uint32_t remote_heartbeat_factor;
	bool callers_keep_domain; /* else each attempt goes to any domain */
};

/*
 * What callers of a route or of a domain got, from half-way on to DEADLINE_MS
 * before the end.
 */
struct sim_outcome {
	uint32_t requests;
	uint32_t in_time;
	uint32_t late;
	uint32_t lost;	       /* used up their attempts */
	uint32_t refused;      /* attempts refused by an instance */
	uint32_t refused_soon; /* of these, within a quarter of the target */
};

enum sim_route { SIM_USUAL, SIM_URGENT, SIM_ROUTE_NR };

struct placement_sim_result {
	uint32_t requests;
	uint32_t in_time;	/* answered within the target */
	uint32_t late;		/* answered after that */
	uint32_t shed;		/* refused by an upstream, not run */
	uint32_t refused;	/* refused by an instance */
	uint32_t waited;	/* SYNs that had to wait, or come again */
	uint32_t failed;	/* requests that used up their attempts */
	uint32_t remote_domain; /* sent to an upstream of another domain */
	uint32_t p99_ms;
	uint32_t urgent_requests;
	uint32_t urgent_failed;
	uint32_t refusal_p95_ms; /* time from a refused SYN to its refusal */
	struct sim_outcome by_route[SIM_ROUTE_NR];
	struct sim_outcome by_domain[SIM_DOMAINS_MAX];
	/* refused while fewer than 0.7 of the slots ran a request */
	uint32_t refused_idle;
	/* urgent ones refused within 100 ms of an admission of a less urgent
	 * one at the same instance */
	uint32_t refused_before_less_urgent;
	uint32_t errors;	/* responses that were errors */
	uint32_t unsafe_failed; /* requests lost by an error, not retried */
	uint32_t late_new;	/* answered late, on short flows */
	/* short flows at impaired upstreams, from two seconds on */
	uint32_t impaired_requests;
	/* the same, from two to four seconds after impaired_ms */
	uint32_t recovered_requests;
};

#define SIM_ERROR_MS 3 /* until an upstream answers with an error */
#define SIM_ERROR_BYTES 140
#define SIM_RESPONSE_BYTES 900 /* mean; half to one and a half times */

/* Eight instances and sixteen upstreams in four domains, as deployed. */
void init_site_options(struct placement_sim_options *opt);

/*
 * 62 instances and 120 upstreams in three domains; an urgent route beside the
 * usual one, each request in a flow of its own. Half-way the demand rises to
 * 2.5 times for 8 s and 30 % of the upstreams get four times as slow.
 */
void init_fleet_options(struct placement_sim_options *opt);

/*
 * 45 instances, most of which see no response of an upstream for seconds, and
 * 60 upstreams in three domains. Two thirds of the requests use long flows,
 * which stay where they are; 30 % of the others are not retried after an error.
 * Impaired upstreams are so for eight seconds.
 */
void init_quality_options(struct placement_sim_options *opt);

/* Share of requests answered in time; a late answer counts LATE, not 1. */
double placement_score(const struct placement_sim_result *res, double late);

void simulate_placement(const struct placement_sim_options *opt,
			struct placement_sim_result *res);

const char *pick_strategy_name(enum pick_strategy strategy);
const char *quality_strategy_name(enum quality_strategy strategy);
const char *overload_strategy_name(enum overload_strategy strategy);

#endif
