#ifndef T_PLACEMENT_SIMULATION_H
#define T_PLACEMENT_SIMULATION_H

/*
 * Simulates a load on the placement code of several instances. Callers open
 * flows at the instances of their failure domain; upstreams have slots and a
 * queue and shed requests beyond these. Counts the outcomes of requests.
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
	enum quality_strategy quality;
	/* these upstreams are slow, or fail, half-way for lost_ms */
	unsigned int slow_upstreams;
	double slow_factor; /* times the usual run time */
	unsigned int failing_upstreams;
	double failing_share; /* of their responses that are errors */
	double unsafe_share;  /* of short flows whose callers do not retry */
};

struct placement_sim_result {
	uint32_t requests;
	uint32_t in_time;	/* answered within SIM_TARGET_MS */
	uint32_t late;		/* answered after that */
	uint32_t shed;		/* refused by an upstream, not run */
	uint32_t refused;	/* refused by an instance */
	uint32_t waited;	/* SYNs that had to wait, or come again */
	uint32_t failed;	/* requests that used up their attempts */
	uint32_t remote_domain; /* sent to an upstream of another domain */
	uint32_t p99_ms;
	uint32_t urgent_requests;
	uint32_t urgent_failed;
	uint32_t errors;	/* responses that were errors */
	uint32_t unsafe_failed; /* requests lost by an error, not retried */
	uint32_t late_new;	/* answered late, on short flows */
	/* short flows at slow or failing upstreams, without two seconds */
	uint32_t impaired_requests;
	/* the same, from two to four seconds after lost_ms */
	uint32_t recovered_requests;
	uint32_t refusal_p95_ms; /* time from a refused SYN to its refusal */
};

#define SIM_TARGET_MS 200
#define SIM_ERROR_MS 3 /* until an upstream answers with an error */
#define SIM_ERROR_BYTES 140
#define SIM_RESPONSE_BYTES 900 /* mean; half to one and a half times */
#define SIM_REQUEST_MS 45      /* mean run time, exponentially distributed */

/* Eight instances and sixteen upstreams in four domains, as deployed. */
void init_site_options(struct placement_sim_options *opt);

/*
 * 45 instances, most of which see no response of an upstream for seconds, and
 * 60 upstreams. Two thirds of the requests use long flows, which stay where
 * they are. Impaired upstreams are so for eight seconds.
 */
void init_fleet_options(struct placement_sim_options *opt);

/* Share of requests answered in time; a late answer counts LATE, not 1. */
double placement_score(const struct placement_sim_result *res, double late);

void simulate_placement(const struct placement_sim_options *opt,
			struct placement_sim_result *res);

const char *pick_strategy_name(enum pick_strategy strategy);
const char *quality_strategy_name(enum quality_strategy strategy);
const char *overload_strategy_name(enum overload_strategy strategy);

#endif
