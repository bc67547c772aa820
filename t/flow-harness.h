#ifndef T_FLOW_HARNESS_H
#define T_FLOW_HARNESS_H

/*
 * Several instances in one process, with callers and upstreams as plain
 * records, for tests and benchmarks of flow steering. Each instance has a view
 * of its own, which receives updates after a random delay.
 */

#include <glib.h>

#include "flow/flows.h"
#include "t/event-queue.h"

#define HARNESS_INSTANCE_MAX 16
#define HARNESS_UPSTREAM_MAX 32 /* of one service */
#define HARNESS_DOMAIN_MAX 8
#define HARNESS_SERVICE_MAX 2
#define HARNESS_HOP_MS 1 /* delay of a message between instances */

/* How packets are steered; all but D and E by a model (flow-strategies.h). */
enum steering_strategy {
	STRATEGY_HASH_ONLY,   /* A: by hash over the present upstreams */
	STRATEGY_LOCAL_TABLE, /* B: a flow table of each instance alone */
	STRATEGY_RECORD_OLD,  /* C: on changes, sends old flows to replicas */
	STRATEGY_RECORD_NEW,  /* D: flow/ in its normal use */
	STRATEGY_RECORD_ALL,  /* E: flow/ with every slot unsettled */
	STRATEGY_COOKIE,      /* F: packets carry their upstream's cookie */
	STRATEGY_NR
};

struct harness_flow {
	uint32_t service;
	bool opened;		 /* its first packet reached an upstream */
	bool broken;		 /* misdelivered or reset without cause */
	bool lost_with_upstream; /* its upstream died or went out of service */
	bool wrong_service;	 /* a packet reached another service */
	bool ended;
	uint8_t partition_side; /* of its caller */
	uint64_t upstream;	/* id */
	uint32_t seq;
};

struct harness_upstream {
	struct upstream config;
	bool listed;
	enum upstream_state state; /* as assessed by health checks */
	uint64_t drain_since_ms;   /* when draining last changed */
	bool dead;
	bool out;
	uint64_t out_since_ms;
	bool cold;		 /* its cold_connections limit applies */
	uint64_t cold_from_ms;	 /* when every instance has learned it */
	uint32_t cold_flows;	 /* flows opened on it since then */
	uint32_t cold_flows_max; /* highest cold_flows so far */
};

struct harness_instance {
	struct view *view;
	struct flows *flows;
	struct counters counters;
	struct member member;
	bool alive;
	bool leaving;		      /* has announced that it will end */
	bool stale;		      /* receives no configuration updates */
	struct strategy_model *model; /* NULL for D and E */
};

struct harness_options {
	uint32_t seed;
	int instance_nr;
	int domain_nr;
	int upstream_nr; /* of each service */
	int service_nr;
	bool udp; /* the last service is a UDP service */
	enum steering_strategy strategy;
	uint32_t idle_ms;
	uint32_t cold_connections;
	uint64_t update_delay_max_ms; /* of an update to an instance */
};

struct flow_harness {
	struct harness_options opt;
	GRand *rand;
	uint64_t now_ms;
	uint64_t epoch;
	/* domains below this one cannot reach the others; 0: no partition */
	int partition_domain;
	struct event_queue *event_queue;
	struct snapshot *snapshot;
	struct harness_instance instances[HARNESS_INSTANCE_MAX];
	struct harness_upstream upstreams[HARNESS_SERVICE_MAX]
					 [HARNESS_UPSTREAM_MAX];
	int upstream_nr[HARNESS_SERVICE_MAX];
	bool domain_out[HARNESS_DOMAIN_MAX];
	GArray *flows;		       /* of struct harness_flow */
	GHashTable *cookies;	       /* of F: flow hash -> upstream id */
	struct counters past_counters; /* of replaced instances */
	uint64_t packets;
	uint64_t hops;
	uint64_t late_new_flows;   /* opened too late after a drain */
	uint64_t late_out_packets; /* too late after a domain went out */
	uint64_t learn_bytes;	   /* of models */
	uint64_t control_bytes;	   /* of models */
	struct flow_actions actions;
};

#define HARNESS_UNLIMITED 1000000 /* connections */

/* Longest time until a drain, or a domain out of service, takes effect. */
#define HARNESS_REACTION_MS 3000

struct flow_harness *create_flow_harness(const struct harness_options *opt);
void destroy_flow_harness(struct flow_harness *h);

/* Runs all events until UNTIL (ms). */
void run_flow_harness(struct flow_harness *h, uint64_t until);

/* Opens a flow through a random live instance; returns its number. */
uint32_t open_harness_flow(struct flow_harness *h, uint32_t service);

/* Sends a packet of flow I through a random live instance. */
void send_harness_packet(struct flow_harness *h, uint32_t i, uint8_t flags);

struct harness_flow *harness_flow_at(struct flow_harness *h, uint32_t i);

/* Events of an instance; the meaning of ARG is given in brackets. */
enum harness_event {
	EV_TICK,
	EV_MESSAGE,  /* a message arrives (index of its sender) */
	EV_SNAPSHOT, /* update to the newest configuration */
	EV_MEMBER,   /* update of a member's state (its index) */
	EV_UPSTREAM, /* update of an upstream (upstream_event_arg) */
	EV_DOMAIN    /* update whether a domain is out (its number) */
};
#define ALL_INSTANCES (-1)

static inline uint64_t upstream_event_arg(uint32_t service, int i)
{
	return service * HARNESS_UPSTREAM_MAX + (uint64_t)i;
}

/*
 * Schedules an update of INSTANCE, or of all, after FLOOR_MS and a random delay
 * of up to update_delay_max_ms.
 */
void schedule_update(struct flow_harness *h, int instance,
		     enum harness_event kind, uint64_t arg, uint64_t floor_ms);

/* Schedules updates of everything that instances learn, as above. */
void schedule_all_updates(struct flow_harness *h, int instance,
			  uint64_t floor_ms);

/* Publishes a configuration with the listed upstreams. */
void publish_harness_config(struct flow_harness *h);
void start_harness_instance(struct flow_harness *h, int i);
void add_harness_upstream(struct flow_harness *h, uint32_t service,
			  enum upstream_state state);

/* Changes; each schedules the updates of instances that it requires. */
void drain_harness_upstream(struct flow_harness *h, uint32_t service, int i,
			    bool draining);
void join_harness_upstream(struct flow_harness *h, uint32_t service, bool cold);
void remove_harness_upstream(struct flow_harness *h, uint32_t service, int i);
void kill_harness_upstream(struct flow_harness *h, uint32_t service, int i);
void set_harness_upstream_state(struct flow_harness *h, uint32_t service, int i,
				enum upstream_state s);
void set_harness_domain_out(struct flow_harness *h, int domain, bool out);
void kill_harness_instance(struct flow_harness *h, int i);
void join_harness_instance(struct flow_harness *h, int i);

/* Instance I announces that it leaves; it runs until it is killed. */
void announce_harness_instance_leave(struct flow_harness *h, int i);

/* Whether instance I has handed over its records. */
bool can_harness_instance_end(struct flow_harness *h, int i);

/* Partitions domains below DOMAIN from the others. */
void partition_flow_harness(struct flow_harness *h, int domain);
void heal_flow_harness(struct flow_harness *h);

/* Makes instance I, which was stale, receive configuration updates again. */
void catch_up_harness_instance(struct flow_harness *h, int i);

/* Numbers of flows with each outcome (see struct harness_flow). */
struct harness_outcome {
	uint32_t broken;
	uint32_t lost_with_upstream;
	uint32_t wrong_service;
	uint32_t opened;
};
struct harness_outcome sum_harness_outcomes(struct flow_harness *h);

uint64_t sum_harness_counter(const struct flow_harness *h, enum counter c);

/*
 * The highest number of open flows on one upstream divided by the mean, over
 * the upstreams that take new flows without limit.
 */
double harness_imbalance(struct flow_harness *h, uint32_t service);

#endif
