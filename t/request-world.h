#ifndef T_REQUEST_WORLD_H
#define T_REQUEST_WORLD_H

/*
 * Several instances' request code, the upstreams that they share and a network
 * between them, in a loop over events in order of time. For the properties
 * and the benchmark of request/. Times are microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

#include "request/requests.h"

#define WORLD_INSTANCES_MAX 12
#define WORLD_UPSTREAMS_MAX 32
#define MS 1000ull

struct request_world_options {
	uint32_t seed;
	unsigned int instances;
	unsigned int domains;
	unsigned int upstreams;	  /* of the first service */
	unsigned int upstreams_2; /* of the second */
	unsigned int slots;
	unsigned int service_us; /* mean run time */
	unsigned int deadline_ms;
	unsigned int loss_percent; /* of messages between instances */
	unsigned int late_percent; /* of these: up to 3 s late */
	unsigned int lost_answers; /* percent of answers that never come */
	enum slot_policy policy;
	bool instant_views; /* views follow without delay, as for benchmarks */
};

struct request_world;

struct request_world *
create_request_world(const struct request_world_options *o);
void destroy_request_world(struct request_world *w);

/* One send of a caller. Sends of one OPERATION share its key. */
struct world_send {
	uint32_t operation;
	unsigned int instance;
	unsigned int service; /* 0 or 1 */
	bool idempotent;
	bool has_key;
	bool tells_age;
	bool other_body;	  /* the same key on another request */
	uint32_t leaves_after_ms; /* 0: the caller stays */
};
void add_world_send(struct request_world *w, uint64_t at,
		    const struct world_send *s);

enum world_fault {
	FAULT_KILL,	 /* instance A */
	FAULT_RESTART,	 /* instance A, with an empty memory */
	FAULT_LEAVE,	 /* instance A stops gracefully */
	FAULT_PARTITION, /* domain A cut off from the other instances */
	FAULT_HEAL,
	FAULT_COLD,	   /* upstream A, everybody is told */
	FAULT_SILENT_COLD, /* upstream A, nobody is told */
	FAULT_WARM,	   /* upstream A, everybody is told */
	FAULT_LYING_LOAD,  /* upstream A reports that it is idle */
	FAULT_DOMAIN_OUT,  /* domain A: upstreams get nothing new */
	FAULT_DOMAIN_BACK,
	FAULT_SHED_ALL, /* all upstreams break off and shed for 2 * B ms */
	FAULT_BREAK	/* upstream A: connections break now */
};
void add_world_fault(struct request_world *w, uint64_t at, enum world_fault f,
		     unsigned int a, unsigned int b);

void run_request_world(struct request_world *w, uint64_t until);

struct request_world_report {
	/* what must never be seen; each is a number of cases */
	uint32_t doubled;	/* non-idempotent runs beyond the first */
	uint32_t false_not_run; /* "not run" told of a send that ran */
	uint32_t wrong_answer;	/* answers that belong to another operation */
	uint32_t no_outcome;	/* open past the deadline on a live instance */
	uint32_t two_outcomes;
	uint32_t cold_excess; /* most in flight on a cold upstream over it */
	/* what happened */
	uint32_t sends;
	uint32_t answered; /* in time, replays included */
	uint32_t replayed;
	uint32_t late;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t in_progress;
	uint32_t done;
	uint32_t key_reused;
	uint32_t retries;
	uint32_t sheds;
	uint32_t most_in_flight; /* on any upstream */
	double imbalance;	 /* of runs, most over mean */
	uint64_t key_bytes;
	double wait_p50_ms; /* from arrival until it ran, of those answered */
	double wait_p99_ms;
};
void report_request_world(struct request_world *w,
			  struct request_world_report *r);

#endif
