#ifndef FLOW_STATE_H
#define FLOW_STATE_H

/* Private to flow/flows.c, flow/steer.c and flow/periodic.c. */

#include <glib.h>

#include "flow/flows.h"
#include "flow/partition.h"
#include "flow/replicas.h"
#include "flow/route.h"
#include "flow/stall.h"
#include "flow/table.h"
#include "flow/unsettled-marks.h"

#define SYN_REPEAT_S 3	      /* a SYN within this time is a retransmission */
#define CLOSING_TIMEOUT_S 300 /* idle time after a FIN or RST */
#define CACHE_TTL_S 60	      /* use of a replica's answer without renewal */

struct flows {
	const struct view *view;
	struct counters *counters;
	struct snapshot *snapshot; /* NULL before the first */
	GHashTable *routes;	   /* service id -> struct route */
	struct flow_table *table;
	size_t table_limit;
	struct unsettled_marks *unsettled_marks;
	struct stall_detector *stall_detector;
	struct quotas *quotas;
	struct flow_replicas *replicas;
	struct partition_watch *partitions;
	GRand *rand;
	struct wire_writer writer;
	uint64_t self_id;	 /* member id */
	uint64_t wall_offset_ms; /* time of day, ms, when now_ms was 0 */
	/* before this, peers may know flows and marks that are unknown here */
	uint64_t too_young_until_ms;
	uint64_t newest_epoch;	 /* highest epoch seen of other instances */
	uint64_t newer_epoch_ms; /* when an epoch above the own became known */
	bool marks_synced;	 /* all marks of a peer were received */
	bool leaving;		 /* this instance hands its records over */
	uint64_t leaving_since_ms;
	size_t sweep_index; /* next table entry of the sweep */
	uint64_t last_tick_ms;
	uint64_t marks_expired_ms;  /* when expired marks were last removed */
	int64_t control_tokens;	    /* bytes of marks and copies to send now */
	int64_t learn_tokens;	    /* bytes of FLOW_LEARN to send now */
	GArray *sync_requester_ids; /* members still to be sent all marks */
	size_t sync_sent_marks;	    /* sent to the first of these so far */
};

/* A packet that is being processed. */
struct packet_job {
	struct flows *fs;
	struct flow_actions *out;
	const uint8_t *data;
	size_t len;
	struct packet packet;
	struct route *route;
	uint32_t slot;
	uint64_t now_ms;
	uint64_t origin_id; /* member that got the packet from the fabric */
	uint64_t sender_id; /* member that forwarded it here; 0: none */
	uint8_t hops;
	bool delegated; /* decide here, do not delegate to a replica */
};

static inline uint32_t job_now_s(const struct packet_job *j)
{
	return (uint32_t)(j->now_ms / 1000);
}

/* Steers a packet about which no other instance has decided. */
void steer_job(struct packet_job *j);

/* Steers a packet of an unknown flow; queries the holders from RANK on. */
void steer_unknown_flow(struct packet_job *j, uint8_t rank);

/* Records that the flow is on UPSTREAM, also at replicas, and delivers. */
void replicate_flow(struct packet_job *j, uint64_t upstream);

/*
 * Sends the packet as FLOW_REPLICATE to the first replica of PAIR that lacks
 * the record E; false if there is none. RANK is 1 if another replica has the
 * record; then the packet's origin, which has it too, is skipped.
 */
bool forward_to_replica(struct packet_job *j, const struct replica_pair *pair,
			uint8_t rank, uint64_t upstream, struct flow_entry *e);

/*
 * Sends the packet to UPSTREAM. If UPSTREAM is not listed here, forwards the
 * packet to an instance that may have it listed. If UPSTREAM is down or out,
 * resets the flow, unless its domain may only be partitioned: then the packet
 * is dropped.
 */
void deliver_packet(struct packet_job *j, uint64_t upstream);

/*
 * Records that flow HASH is on UPSTREAM, as an entry of KIND, or of its present
 * kind if that is higher.
 */
struct flow_entry *store_flow(struct flows *fs, uint64_t hash,
			      const struct route *rt, uint64_t upstream,
			      enum flow_entry_kind kind, uint64_t now_ms);

/* Sends M to member ID; false if it is not in the view or OUT is full. */
bool send_to_member(struct flows *fs, uint64_t id, struct flow_message *m,
		    struct flow_actions *out);

/* Forwards the packet to member ID in a message of KIND; false as above. */
bool forward_packet(struct packet_job *j, uint64_t id,
		    enum flow_message_kind kind, uint8_t rank,
		    uint64_t upstream);

/* Sends member ID a FLOW_LEARN: the flow is on UPSTREAM. False as above. */
bool send_learn(struct packet_job *j, uint64_t id, uint64_t upstream,
		bool is_recorded);

/* Sends the packet's origin a FLOW_LEARN, if the budget allows. */
void send_learn_to_origin(struct packet_job *j, uint64_t upstream,
			  bool is_recorded);

/* True if peers may have records or marks that are unknown here. */
bool may_lack_updates(const struct flows *fs, uint64_t now_ms);

/* The route of SV, created if needed; by id, NULL if there is no service. */
struct route *find_route(struct flows *fs, const struct service *sv,
			 uint64_t now_ms);
struct route *find_route_by_id(struct flows *fs, uint64_t service,
			       uint64_t now_ms);
struct route_inputs route_inputs(const struct flows *fs, uint64_t now_ms);

/* Handlers of messages without a packet. */
void handle_learn(struct flows *fs, const struct flow_message *m,
		  uint64_t now_ms);
void handle_copies(struct flows *fs, const struct flow_message *m,
		   uint64_t now_ms);
void handle_unsettled(struct flows *fs, const struct flow_message *m,
		      uint64_t now_ms);
void handle_sync_request(struct flows *fs, const struct flow_message *m);

#endif
