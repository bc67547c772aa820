#ifndef T_REQUEST_WORLD_STATE_H
#define T_REQUEST_WORLD_STATE_H

/* What the files behind t/request-world.h share; for no one else. */

#include <glib.h>

#include "t/event-queue.h"
#include "t/request-world.h"

#define NET_US 1000	   /* one way between instances and upstreams */
#define TICK_US (10 * MS)  /* of the instances */
#define LOAD_US (200 * MS) /* between two load reports */
#define VIEW_MIN_US (300 * MS)
#define VIEW_MAX_US (2000 * MS) /* until the last view shows a change */

enum item_kind {
	ITEM_SEND,   /* a caller's request reaches its instance */
	ITEM_LEAVES, /* the caller of a send leaves */
	ITEM_FAULT,
	ITEM_PEER,    /* a message reaches an instance */
	ITEM_OFFER,   /* a call reaches its upstream */
	ITEM_RUN_END, /* a run ends */
	ITEM_ANSWER,  /* what became of a call reaches its instance */
	ITEM_CANCEL,  /* a cancellation reaches the upstream */
	ITEM_TICK,
	ITEM_VIEW,  /* an instance learns of a member's state */
	ITEM_STATE, /* an instance learns of an upstream's state */
	ITEM_LOAD,  /* load reports reach all instances */
	ITEM_COLD   /* an upstream that all know to be cold bears less */
};

/* One send, and what its caller was told. */
struct sent {
	struct world_send s;
	uint64_t at;
	uint64_t age_ms;
	unsigned int incarnation; /* of the instance, when it arrived */
	handle_t handle;
	struct call *call; /* the present offer */
	uint64_t ran_at;
	unsigned int runs;
	unsigned int outcomes;
	bool told_not_run;
	bool left;
	bool arrived;
};

/* One offer. */
struct call {
	struct sent *sent;
	unsigned int upstream;
	bool running;
	bool cancelled;
	enum request_event_kind result;
};

struct item {
	enum item_kind kind;
	unsigned int a; /* instance or upstream */
	unsigned int b;
	unsigned int c;
	struct sent *sent;
	struct call *call;
	void *data;
	size_t len;
	enum world_fault fault;
};

struct instance {
	bool alive;
	bool leaving;
	unsigned int incarnation;
	struct view *view;
	struct counters counters;
	struct requests *requests;
	GHashTable *sent;		  /* handle -> struct sent */
	size_t seen[WORLD_INSTANCES_MAX]; /* latest news of each member */
};

struct stand_in {
	struct upstream *up; /* in the service */
	unsigned int domain;
	unsigned int limit;
	bool cold;	/* views are told so */
	bool cold_told; /* every view has had time to show it cold */
	unsigned int running;
	unsigned int runs;
	unsigned int most;
	unsigned int excess;
	bool lies;
	uint64_t sheds_until;
	GHashTable *calls; /* struct call that run */
};

struct operation {
	unsigned int runs;
	uint64_t first_sent;
	bool sent;
};

struct request_world {
	struct request_world_options o;
	GRand *rng;
	struct event_queue *queue;
	uint64_t now;
	size_t news; /* of members, numbered */
	struct service *services[2];
	struct snapshot *snapshot;
	struct instance in[WORLD_INSTANCES_MAX];
	struct member members[WORLD_INSTANCES_MAX];
	struct stand_in ups[WORLD_UPSTREAMS_MAX];
	unsigned int upstream_nr;
	int cut_off; /* domain, -1: none */
	GPtrArray *sends;
	GPtrArray *calls; /* every struct call ever made */
	GArray *operations;
	GArray *waits; /* double ms */
	struct counters dead_counters;
	struct request_world_report r;
};

/* t/request-world.c */

/* The present time as the code under test sees it. */
uint64_t world_ms(const struct request_world *w);

/* Schedules an item about A at AT and returns it. */
struct item *add_world_item(struct request_world *w, uint64_t at,
			    enum item_kind kind, unsigned int a);

/* The failure domain of instance I. */
unsigned int world_domain_of(const struct request_world *w, unsigned int i);

/* True in PERCENT of a hundred cases. */
bool world_chance(struct request_world *w, unsigned int percent);

/* A random time that a message takes. */
uint64_t world_net_delay(struct request_world *w);

/* The operation with number ID. */
struct operation *world_operation(struct request_world *w, uint32_t id);

/* The upstream with ID; its place goes to *INDEX. */
struct stand_in *world_stand_in(struct request_world *w, uint64_t id,
				unsigned int *index);

/* Starts instance I with an empty memory. */
void start_world_instance(struct request_world *w, unsigned int i);

/* Ends instance I at once. */
void stop_world_instance(struct request_world *w, unsigned int i);

/* Lets instance I learn, later, that member M is in STATE. */
void tell_world_view(struct request_world *w, unsigned int i, unsigned int m,
		     enum member_state state);

/* Lets every instance learn that member M is in STATE. */
void tell_world_views(struct request_world *w, unsigned int m,
		      enum member_state state);

/* Lets every instance learn that upstream U is in STATE. */
void tell_world_state(struct request_world *w, unsigned int u,
		      enum upstream_state state);

/* Adds the counters of IN, which ends. */
void count_world_dead(struct request_world *w, const struct instance *in);

/* t/request-world-calls.c */

/* Sends a cancellation after the present offer of S. */
void cancel_world_call(struct request_world *w, struct sent *s);

/* Gives EV to instance I and carries out what comes back. */
handle_t step_world_instance(struct request_world *w, unsigned int i,
			     const struct request_event *ev,
			     struct sent *arriving);

/* Handles item IT of this kind. */
void take_world_send(struct request_world *w, struct sent *s);

/* Handles item IT of this kind. */
void take_world_leaves(struct request_world *w, struct sent *s);

/* Lets the instance of C learn that it ended so. */
void answer_world_call(struct request_world *w, struct call *c,
		       enum request_event_kind how);

/* Handles item IT of this kind. */
void take_world_offer(struct request_world *w, struct call *c);

/* Ends the run of C. */
void end_world_run(struct request_world *w, struct call *c);

/* Handles item IT of this kind. */
void take_world_run_end(struct request_world *w, struct call *c);

/* Handles item IT of this kind. */
void take_world_cancel(struct request_world *w, struct call *c);

/* Handles item IT of this kind. */
void take_world_answer(struct request_world *w, struct call *c);

/* t/request-world-faults.c */

/* Handles item IT of this kind. */
void take_world_peer(struct request_world *w, const struct item *it);

/* Handles item IT of this kind. */
void take_world_tick(struct request_world *w, unsigned int i);

/* Handles item IT of this kind. */
void take_world_view(struct request_world *w, const struct item *it);

/* Handles item IT of this kind. */
void take_world_state(struct request_world *w, const struct item *it);

/* Handles item IT of this kind. */
void take_world_load(struct request_world *w);

/* Handles item IT of this kind. */
void take_world_fault(struct request_world *w, const struct item *it);

#endif
