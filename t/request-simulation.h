#ifndef T_REQUEST_SIMULATION_H
#define T_REQUEST_SIMULATION_H

/*
 * Discrete-event simulation of several instances' request code, the upstreams
 * that they share and the network between them, for the property tests and the
 * benchmark of request/. Times without a unit in their name are microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

#include "request/requests.h"

#define REQUEST_SIM_INSTANCES_MAX 12
#define REQUEST_SIM_UPSTREAMS_MAX 32
#define MS 1000ull /* one millisecond in microseconds */

struct request_sim_options {
	uint32_t seed;
	unsigned int instances;
	unsigned int domains;
	unsigned int first_service_upstreams;
	unsigned int second_service_upstreams;
	unsigned int slots; /* per upstream */
	unsigned int mean_run_us;
	unsigned int deadline_ms;
	/* of messages between instances; as many are duplicated as lost */
	unsigned int loss_percent;
	/* of messages between instances: delayed by another 0 to 3 s */
	unsigned int delayed_percent;
	unsigned int lost_answer_percent; /* of answers of upstreams */
	enum slot_policy policy;
	bool instant_views; /* views are updated without delay */
};

struct request_sim;

struct request_sim *create_request_sim(const struct request_sim_options *o);
void destroy_request_sim(struct request_sim *sim);

/* One send by a caller. All sends of an operation use the same key. */
struct request_sim_send {
	uint32_t operation;
	unsigned int instance;
	unsigned int service; /* 0 or 1 */
	bool idempotent;
	bool has_key;
	bool states_key_age;	  /* the caller sends the age of its key */
	bool other_request;	  /* reuses the key for a different request */
	uint32_t leaves_after_ms; /* 0: the caller waits for its answer */
};
void add_request_sim_send(struct request_sim *sim, uint64_t at,
			  const struct request_sim_send *s);

enum request_sim_fault {
	FAULT_KILL,	 /* instance A */
	FAULT_RESTART,	 /* instance A, without its former state */
	FAULT_LEAVE,	 /* instance A stops gracefully */
	FAULT_PARTITION, /* domain A is separated from the other domains */
	FAULT_HEAL,
	FAULT_COLD,		  /* upstream A; the views are updated */
	FAULT_COLD_UNANNOUNCED,	  /* upstream A; the views are not updated */
	FAULT_WARM,		  /* upstream A; the views are updated */
	FAULT_FALSE_LOAD_REPORTS, /* upstream A reports that it is idle */
	FAULT_DOMAIN_OUT, /* domain A: no new requests to its upstreams */
	FAULT_DOMAIN_BACK,
	FAULT_SHED_ALL,	 /* all upstreams disconnect, then shed for 2 * B ms */
	FAULT_DISCONNECT /* upstream A: all its connections break */
};
void add_request_sim_fault(struct request_sim *sim, uint64_t at,
			   enum request_sim_fault f, unsigned int a,
			   unsigned int b);

void run_request_sim(struct request_sim *sim, uint64_t until);

struct request_sim_report {
	/* violations; each count must be 0: */
	uint32_t duplicate_runs;   /* non-idempotent runs beyond the first */
	uint32_t false_not_run;	   /* sends that got "not run" but ran */
	uint32_t wrong_answers;	   /* answers to another operation */
	uint32_t missing_outcomes; /* sends without one on a live instance */
	uint32_t duplicate_outcomes;
	uint32_t cold_limit_excess; /* peak in flight above a cold limit */
	/* statistics: */
	uint32_t sends;
	uint32_t answered; /* in time, replays included */
	uint32_t replayed;
	uint32_t answered_late;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t in_progress;
	uint32_t done;
	uint32_t key_reused;
	uint32_t retries;
	uint32_t sheds;
	uint32_t peak_in_flight; /* at any upstream */
	double imbalance;	 /* runs per upstream, maximum over mean */
	uint64_t key_bytes;
	/* from the send to the start of the first run, if answered in time */
	double wait_p50_ms;
	double wait_p99_ms;
};
void report_request_sim(struct request_sim *sim, struct request_sim_report *r);

#endif
