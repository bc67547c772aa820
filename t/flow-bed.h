#ifndef T_FLOW_BED_H
#define T_FLOW_BED_H

/*
 * Several instances in one process, with callers and upstreams as plain
 * records: for tests and benchmarks of flow steering. Each instance has a
 * view of its own, which learns of changes after a delay of its own.
 */

#include <glib.h>

#include "flow/flows.h"
#include "t/event-queue.h"

#define BED_INSTANCE_MAX 16
#define BED_UPSTREAM_MAX 32 /* of one service */
#define BED_DOMAIN_MAX 8
#define BED_SERVICE_MAX 2
#define BED_HOP_MS 1 /* one way between two instances */

/* Which steering decides; the losing ones are models in t/flow-ways.c. */
enum bed_way {
	WAY_NOTHING,	  /* A: hash over the present upstreams */
	WAY_LOCAL,	  /* B: a flow table of each instance alone */
	WAY_REMEMBER_OLD, /* C: old flows told to keepers at each move */
	WAY_REMEMBER_NEW, /* D: flow/ as it ships */
	WAY_REMEMBER_ALL, /* E: flow/ with every slot unsettled */
	WAY_COOKIE,	  /* F: packets name their upstream; flow/cookie.h */
	WAY_NR
};

struct bed_flow {
	uint32_t service;
	bool opened;   /* its first packet has reached an upstream */
	bool broken;   /* a packet went astray, or a reset without cause */
	bool given_up; /* its upstream died or was taken out */
	bool wrong;    /* a packet reached an upstream of another service */
	bool ended;
	uint8_t side;	   /* of a cut, on which its caller is */
	uint64_t upstream; /* id */
	uint32_t seq;
};

struct bed_upstream {
	struct upstream config;
	bool listed;
	enum upstream_state state; /* as health would judge it */
	uint64_t drain_since;	   /* ms; when its drain was published */
	bool dead;
	bool out;
	uint64_t out_since; /* ms */
	bool cold;	    /* its cold_connections bind */
	uint64_t cold_from; /* ms; when every instance knows */
	uint32_t open_nr;   /* flows opened since then */
	uint32_t cold_peak; /* the most it ever had while cold */
};

struct bed_instance {
	struct view *view;
	struct flows *flows;
	struct counters counters;
	struct member member;
	bool alive;
	bool leaving;	     /* has told the others that it will end */
	bool stale;	     /* gets no news of configuration */
	struct model *model; /* of a losing way */
};

struct bed_options {
	uint32_t seed;
	int instance_nr;
	int domain_nr;
	int upstream_nr; /* of each service */
	int service_nr;
	bool udp; /* the last service is one of UDP */
	enum bed_way way;
	uint32_t idle_ms;
	uint32_t cold_connections;
	uint64_t news_ms; /* longest delay until an instance hears news */
};

struct bed {
	struct bed_options opt;
	GRand *rand;
	uint64_t now;
	uint64_t epoch;
	int cut_domain; /* domains below are cut off from the rest; 0: none */
	struct event_queue *queue;
	struct snapshot *snapshot;
	struct bed_instance at[BED_INSTANCE_MAX];
	struct bed_upstream ups[BED_SERVICE_MAX][BED_UPSTREAM_MAX];
	int upstream_nr[BED_SERVICE_MAX];
	bool domain_out[BED_DOMAIN_MAX];
	GArray *flows;	      /* of struct bed_flow */
	GHashTable *cookies;  /* flow hash -> upstream id, as packets carry */
	struct counters past; /* of instances that were replaced */
	uint64_t packets;
	uint64_t hops;
	uint64_t late_new;	/* flows opened past a drain's bound */
	uint64_t late_out;	/* packets past the bound of a domain's exit */
	uint64_t learn_bytes;	/* of models */
	uint64_t control_bytes; /* of models */
	struct flow_actions actions;
};

#define BED_UNLIMITED 1000000 /* connections */

/* Bounds of the brief's "a few seconds". */
#define BED_BOUND_MS 3000

struct bed *create_flow_bed(const struct bed_options *opt);
void destroy_flow_bed(struct bed *b);

/* Lets time pass until UNTIL. */
void run_flow_bed(struct bed *b, uint64_t until);

/* Opens a flow through a random live instance; returns its number. */
uint32_t open_bed_flow(struct bed *b, uint32_t service);

/* Sends a packet of flow I through a random live instance. */
void send_bed_packet(struct bed *b, uint32_t i, uint8_t flags);

struct bed_flow *flow_at(struct bed *b, uint32_t i);

/* What instances may be told; ARG of each is given in brackets. */
enum bed_event {
	EV_TICK,
	EV_MESSAGE,  /* data (index of the sender) */
	EV_SNAPSHOT, /* the newest configuration */
	EV_MEMBER,   /* how an instance is (its index) */
	EV_UPSTREAM, /* how an upstream is (upstream_arg) */
	EV_DOMAIN    /* whether a domain is out (its number) */
};
#define ALL_INSTANCES (-1)

static inline uint64_t upstream_arg(uint32_t service, int i)
{
	return service * BED_UPSTREAM_MAX + (uint64_t)i;
}

/* Tells instance WHO, or all, between FLOOR_MS and FLOOR_MS + news_ms. */
void tell_flow_bed(struct bed *b, int who, enum bed_event kind, uint64_t arg,
		   uint64_t floor_ms);

/* The same about everything there is to know. */
void tell_flow_bed_all(struct bed *b, int who, uint64_t floor_ms);

/* Publishes the upstreams as they are listed. */
void publish_flow_bed(struct bed *b);
void start_bed_instance(struct bed *b, int i);
void add_bed_upstream(struct bed *b, uint32_t service,
		      enum upstream_state state);

/* Changes, which instances hear of within news_ms. */
void drain_bed_upstream(struct bed *b, uint32_t service, int i, bool draining);
void join_bed_upstream(struct bed *b, uint32_t service, bool cold);
void remove_bed_upstream(struct bed *b, uint32_t service, int i);
void kill_bed_upstream(struct bed *b, uint32_t service, int i);
void set_flow_bed_state(struct bed *b, uint32_t service, int i,
			enum upstream_state s);
void take_bed_domain(struct bed *b, int domain, bool out);
void kill_bed_instance(struct bed *b, int i);
void join_bed_instance(struct bed *b, int i);

/* Instance I says that it leaves; it lives on until it is killed. */
void leave_bed_instance(struct bed *b, int i);

/* Whether instance I may end without loss. */
bool may_bed_instance_end(struct bed *b, int i);

/* Cuts domains below DOMAIN off from the others. */
void cut_flow_bed(struct bed *b, int domain);
void heal_flow_bed(struct bed *b);

/* Publishes again to an instance that was stale. */
void catch_up_flow_bed(struct bed *b, int i);

/* What went wrong over all flows. */
struct bed_outcome {
	uint32_t broken;
	uint32_t given_up;
	uint32_t wrong;
	uint32_t opened;
};
struct bed_outcome judge_flow_bed(struct bed *b);

uint64_t flow_bed_counter(const struct bed *b, enum counter c);

/*
 * The most open flows on one upstream against the mean, over the upstreams
 * that take new flows freely.
 */
double flow_bed_balance(struct bed *b, uint32_t service);

#endif
