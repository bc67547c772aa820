#ifndef T_REQUEST_SIMULATION_STATE_H
#define T_REQUEST_SIMULATION_STATE_H

/*
 * State and functions shared by the files that implement the simulation in
 * t/request-simulation.h. Times without a unit in their name are microseconds.
 */

#include <glib.h>

#include "t/event-queue.h"
#include "t/request-simulation.h"

#define NETWORK_DELAY_US 1000	   /* mean, one way */
#define TICK_INTERVAL_US (10 * MS) /* of the instances */
#define LOAD_REPORT_INTERVAL_US (200 * MS)
#define VIEW_DELAY_MIN_US (300 * MS)
#define VIEW_DELAY_MAX_US (2000 * MS) /* until a view shows a change */

enum request_sim_event_kind {
	SIM_EVENT_SEND,		 /* a caller's request reaches its instance */
	SIM_EVENT_CALLER_LEAVES, /* the caller of a send disconnects */
	SIM_EVENT_FAULT,
	SIM_EVENT_PEER_MESSAGE, /* a message reaches an instance */
	SIM_EVENT_ATTEMPT,	/* an attempt reaches its upstream */
	SIM_EVENT_RUN_END,	/* a run ends */
	SIM_EVENT_ATTEMPT_END,	/* the end of an attempt reaches its instance */
	SIM_EVENT_CANCEL,	/* a cancellation reaches the upstream */
	SIM_EVENT_TICK,
	SIM_EVENT_VIEW_UPDATE,	  /* an instance learns of a member's state */
	SIM_EVENT_UPSTREAM_STATE, /* an instance gets an upstream's state */
	SIM_EVENT_LOAD_REPORTS,	  /* load reports reach all instances */
	SIM_EVENT_COLD_LIMIT /* a cold upstream starts to enforce its limit */
};

/* One send, and the outcomes that its caller received. */
struct sim_request {
	struct request_sim_send send;
	uint64_t sent_at_us;
	uint64_t age_ms;	  /* of the operation's key */
	unsigned int incarnation; /* of the instance, when it arrived */
	handle_t handle;
	struct sim_attempt *attempt; /* current attempt, or NULL */
	uint64_t first_run_at_us;
	unsigned int runs;
	unsigned int outcomes;
	bool got_not_run;
	bool caller_left;
	bool arrived;
};

/* One attempt to run a request at an upstream. */
struct sim_attempt {
	struct sim_request *request;
	unsigned int upstream;
	bool running;
	bool cancelled;
	enum request_event_kind end_event;
};

struct request_sim_event {
	enum request_sim_event_kind kind;
	unsigned int target;  /* instance or upstream */
	unsigned int subject; /* member, upstream, sender or argument */
	unsigned int state;   /* of SUBJECT */
	struct sim_request *request;
	struct sim_attempt *attempt;
	void *data;
	size_t len; /* of DATA; for view updates: sequence number */
	enum request_sim_fault fault;
};

struct sim_instance {
	bool alive;
	bool leaving;
	unsigned int incarnation;
	struct view *view;
	struct counters counters;
	struct requests *requests;
	GHashTable *requests_by_handle; /* handle -> struct sim_request */
	/* sequence number of the newest view update of each member */
	size_t newest_view_update[REQUEST_SIM_INSTANCES_MAX];
};

struct sim_upstream {
	struct upstream *up; /* its entry in the service */
	unsigned int domain;
	unsigned int slot_limit;
	bool announced_cold;	/* its state in views is cold */
	bool cold_known_to_all; /* all views show it as cold by now */
	unsigned int running;
	unsigned int runs;
	unsigned int peak_load;
	unsigned int peak_over_cold_limit;
	bool reports_idle;
	uint64_t sheds_until_us;
	GHashTable *running_attempts; /* set of struct sim_attempt */
};

struct sim_operation {
	unsigned int runs;
	uint64_t first_sent_us;
	bool was_sent;
};

struct request_sim {
	struct request_sim_options options;
	GRand *rng;
	struct event_queue *queue;
	uint64_t now_us;
	size_t view_updates; /* last sequence number of a view update */
	struct service *services[2];
	struct snapshot *snapshot;
	struct sim_instance instances[REQUEST_SIM_INSTANCES_MAX];
	struct member members[REQUEST_SIM_INSTANCES_MAX];
	struct sim_upstream upstreams[REQUEST_SIM_UPSTREAMS_MAX];
	unsigned int upstream_nr;
	int partitioned_domain; /* -1: none */
	GPtrArray *requests;
	GPtrArray *attempts; /* all struct sim_attempt so far */
	GArray *operations;
	GArray *waits_ms; /* of double */
	struct counters counter_totals;
	struct request_sim_report report;
};

/* t/request-simulation.c */

/* The current time in ms, as passed to the code under test. */
uint64_t request_sim_ms(const struct request_sim *sim);

/* Schedules an event for instance or upstream A at AT and returns it. */
struct request_sim_event *
add_request_sim_event(struct request_sim *sim, uint64_t at,
		      enum request_sim_event_kind kind, unsigned int a);

/* The failure domain of instance I. */
unsigned int request_sim_domain_of(const struct request_sim *sim,
				   unsigned int i);

/* True with a probability of PERCENT. */
bool request_sim_chance(struct request_sim *sim, unsigned int percent);

/* A random one-way delay. */
uint64_t request_sim_network_delay(struct request_sim *sim);

/* The operation with number ID, which is created at its first use. */
struct sim_operation *get_or_create_sim_operation(struct request_sim *sim,
						  uint32_t id);

/* The upstream with ID, whose index is set in *INDEX; NULL if unknown. */
struct sim_upstream *find_sim_upstream(struct request_sim *sim, uint64_t id,
				       unsigned int *index);

/* Starts instance I without any former state. */
void start_sim_instance(struct request_sim *sim, unsigned int i);

/* Stops instance I at once. */
void stop_sim_instance(struct request_sim *sim, unsigned int i);

/* Schedules the update of member M to STATE in the view of instance I. */
void schedule_view_update(struct request_sim *sim, unsigned int i,
			  unsigned int m, enum member_state state);

/* Schedules the update of member M to STATE in all views. */
void schedule_view_updates(struct request_sim *sim, unsigned int m,
			   enum member_state state);

/* Schedules the update of upstream U to STATE in all views. */
void schedule_upstream_state(struct request_sim *sim, unsigned int u,
			     enum upstream_state state);

/* Adds the counters of IN to the totals. */
void add_instance_counters(struct request_sim *sim,
			   const struct sim_instance *in);

/* t/request-simulation-attempts.c */

/* Cancels the current attempt of RQ, if there is one. */
void cancel_sim_attempt(struct request_sim *sim, struct sim_request *rq);

/*
 * Passes EV to instance I and carries out the resulting actions. ARRIVING is
 * the request that EV announces, or NULL. Returns its handle, 0 for none.
 */
handle_t step_sim_instance(struct request_sim *sim, unsigned int i,
			   const struct request_event *ev,
			   struct sim_request *arriving);

/* Handles the arrival of RQ at its instance. */
void handle_send_event(struct request_sim *sim, struct sim_request *rq);

/* Tells the instance of RQ that the caller disconnected. */
void handle_caller_leaves_event(struct request_sim *sim,
				struct sim_request *rq);

/* Schedules the arrival of the end of AT, of kind KIND, at its instance. */
void schedule_attempt_end(struct request_sim *sim, struct sim_attempt *at,
			  enum request_event_kind kind);

/* Handles the arrival of AT at its upstream, which runs or sheds it. */
void handle_attempt_event(struct request_sim *sim, struct sim_attempt *at);

/* Ends the run of AT at its upstream, if it is running. */
void end_upstream_run(struct request_sim *sim, struct sim_attempt *at);

/* Handles the end of the run of AT with an answer. */
void handle_run_end_event(struct request_sim *sim, struct sim_attempt *at);

/* Handles the arrival of the cancellation of AT at its upstream. */
void handle_cancel_event(struct request_sim *sim, struct sim_attempt *at);

/* Handles the arrival of the end of AT at its instance. */
void handle_attempt_end_event(struct request_sim *sim, struct sim_attempt *at);

/* t/request-simulation-faults.c */

/* Handles the arrival of a message between instances. */
void handle_peer_message_event(struct request_sim *sim,
			       const struct request_sim_event *event);

/* Gives instance I a tick and schedules the next. */
void handle_tick_event(struct request_sim *sim, unsigned int i);

/* Updates the state of a member in an instance's view. */
void handle_view_update_event(struct request_sim *sim,
			      const struct request_sim_event *event);

/* Updates the state of an upstream in an instance's view. */
void handle_upstream_state_event(struct request_sim *sim,
				 const struct request_sim_event *event);

/* Gives all instances load reports and schedules the next. */
void handle_load_reports_event(struct request_sim *sim);

/* Injects the fault in EVENT. */
void handle_fault_event(struct request_sim *sim,
			const struct request_sim_event *event);

#endif
