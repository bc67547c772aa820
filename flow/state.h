#ifndef FLOW_STATE_H
#define FLOW_STATE_H

/* What the files of the flow module share; for no one else. */

#include <glib.h>

#include "flow/cut.h"
#include "flow/flows.h"
#include "flow/keepers.h"
#include "flow/marks.h"
#include "flow/progress.h"
#include "flow/route.h"
#include "flow/table.h"

/* A packet that opens a flow again so soon after is a repeat, seconds. */
#define REPEAT_S 3
#define CLOSING_S 300 /* a flow with FIN or RST that stays silent has ended */
#define CACHE_S 60    /* how long an answer of a keeper is believed */

struct flows {
	const struct view *view;
	struct counters *counters;
	struct snapshot *snapshot; /* NULL before the first */
	GHashTable *routes;	   /* service id -> struct route */
	struct flow_table *table;
	size_t table_limit;
	struct marks *marks;
	struct progress *progress;
	struct shares *shares;
	struct keepers *keepers;
	struct cut_watch *cuts;
	GRand *rand;
	struct wire_writer writer;
	uint64_t self;		/* member id */
	uint64_t wall_at_0;	/* wall clock, ms, when now_ms was 0 */
	uint64_t fresh_until;	/* ms; too young to judge alone before */
	uint64_t newest_epoch;	/* heard of from any instance */
	uint64_t newer_since;	/* ms when an epoch above the own was heard */
	bool synced;		/* has the marks of some other instance */
	bool leaving;		/* hands over what it remembers */
	uint64_t left;		/* ms when that began */
	size_t sweep;		/* next place of the table to look at */
	uint64_t ticked;	/* ms */
	uint64_t expired_marks; /* ms */
	int64_t control_tokens; /* bytes that may be sent now */
	int64_t learn_tokens;	/* the same for answers to asking instances */
	GArray *sync_to;	/* ids of members that are to get all marks */
	size_t sync_skip;	/* marks that the first of them has got */
};

/* One packet that is being decided about. */
struct job {
	struct flows *fs;
	struct flow_actions *out;
	const uint8_t *data;
	size_t len;
	struct packet p;
	struct route *route;
	uint32_t slot;
	uint64_t now_ms;
	uint64_t origin; /* member that got the packet from the fabric */
	uint64_t sender; /* member that passed it on; 0 for none */
	uint8_t hops;
	bool decided; /* another instance left the decision to this one */
};

static inline uint32_t job_now_s(const struct job *j)
{
	return (uint32_t)(j->now_ms / 1000);
}

/* Steering of a packet that no other instance has judged. */
void steer_job(struct job *j);

/* The packet of a flow that nobody asked so far knows; asks from STEP on. */
void steer_unknown(struct job *j, uint8_t step);

/* Remembers that the flow lives at UPSTREAM, tells keepers, and delivers. */
void keep_flow(struct job *j, uint64_t upstream);

/*
 * Sends the job's packet to the next keeper of PAIR that is to remember E;
 * false if there is none. STEP 1 passes over the packet's origin.
 */
bool pass_to_keeper(struct job *j, const struct keeper_pair *pair, uint8_t step,
		    uint64_t upstream, struct flow_entry *e);

/* Hands the packet to UPSTREAM, or answers for it if that is lost. */
void deliver(struct job *j, uint64_t upstream);

/* Stores where the job's flow lives; ENTRY_KEPT is not lowered. */
struct flow_entry *store_flow(struct flows *fs, uint64_t hash,
			      const struct route *rt, uint64_t upstream,
			      enum flow_entry_kind kind, uint64_t now_ms);

/* Sends M to the member at place ID; false if it is not in the view. */
bool send_to_member(struct flows *fs, uint64_t id, struct flow_message *m,
		    struct flow_actions *out);

/* Sends the job's packet on to member ID as a message of KIND. */
bool pass_on(struct job *j, uint64_t id, enum flow_message_kind kind,
	     uint8_t step, uint64_t upstream);

/* Tells member ID where the flow lives; false if that is not possible. */
bool teach_member(struct job *j, uint64_t id, uint64_t upstream,
		  bool remembered);

/* The same to the packet's origin, if the budget allows. */
void teach_origin(struct job *j, uint64_t upstream, bool remembered);

/* True if FS may lack news about where flows live. */
bool is_doubtful(const struct flows *fs, uint64_t now_ms);

/* The route of the service, created if needed; NULL if there is none. */
struct route *find_route(struct flows *fs, const struct service *sv,
			 uint64_t now_ms);
struct route *find_route_by_id(struct flows *fs, uint64_t service,
			       uint64_t now_ms);
struct route_inputs route_inputs(const struct flows *fs, uint64_t now_ms);

/* Messages without a packet. */
void take_learn(struct flows *fs, const struct flow_message *m,
		uint64_t now_ms);
void take_copy(struct flows *fs, const struct flow_message *m, uint64_t now_ms);
void take_marks(struct flows *fs, const struct flow_message *m,
		uint64_t now_ms);
void take_sync(struct flows *fs, const struct flow_message *m);

#endif
