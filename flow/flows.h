#ifndef FLOW_FLOWS_H
#define FLOW_FLOWS_H

/*
 * Flow steering of one instance. Input: packets, messages of other instances
 * and ticks, with the current time. Output: what to send. No I/O.
 *
 * Most packets need no flow table: their slot has one upstream, which every
 * instance computes from the configuration. On unsettled slots (flow/route.h)
 * a flow without a record belongs to the slot's base. Flows opened while a slot
 * is unsettled are recorded by the slot's replicas (flow/replicas.h), through
 * which their first packet is forwarded.
 */

#include "base/counters.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "flow/message.h"
#include "flow/packet.h"

#define FLOW_TICK_MS 200	 /* between two ticks */
#define FLOW_ACTIONS_MAX 24	 /* actions of one call */
#define FLOW_BODY_MAX 1200	 /* bytes of a message without a packet */
#define FLOW_TABLE_LIMIT 1000000 /* entries, see limit_flow_table() */

/* Bytes a second for marks and copies of records, over a few seconds. */
#define FLOW_CONTROL_BUDGET 1024

/*
 * Bytes a second for FLOW_LEARN messages. If a message is not sent, the next
 * packet of its flow takes the same extra hop again.
 */
#define FLOW_LEARN_BUDGET 1024

/* Bytes a second for copies of records while the instance leaves. */
#define FLOW_HANDOVER_BUDGET (256 * 1024)
/* Shortest handover: by then all peers have stopped querying the instance. */
#define FLOW_HANDOVER_MIN_MS 2500

struct flows;

enum flow_action_kind {
	FLOW_TO_UPSTREAM, /* the packet, after lower_hop_limit() */
	FLOW_TO_PEER,	  /* a message to another instance's flow port */
	FLOW_TO_CALLER	  /* a reset, sent by way of the fabric */
};

/* Send HEADER followed by DATA to the UDP endpoint TO (unset for callers). */
struct flow_action {
	enum flow_action_kind kind;
	struct endpoint to;
	uint64_t service;
	uint64_t upstream;
	uint8_t header[FLOW_HEADER_MAX];
	size_t header_len;
	const uint8_t *data;
	size_t data_len;
};

/* Valid until the next call that fills it; DATA may point into the input. */
struct flow_actions {
	struct flow_action actions[FLOW_ACTIONS_MAX];
	size_t nr;
	uint8_t body[FLOW_ACTIONS_MAX][FLOW_BODY_MAX];
};

/* VIEW and COUNTERS must outlive the flows. */
struct flows *create_flows(const struct view *view, struct counters *counters);
void destroy_flows(struct flows *fs);

/* Limits the flow table to LIMIT entries; drops all present ones. */
void limit_flow_table(struct flows *fs, size_t limit);

/* Sets the time of day at NOW_MS, in ms since 1970. */
void set_flow_wall_clock(struct flows *fs, uint64_t wall_ms, uint64_t now_ms);

/* Puts configuration SN in force; takes a reference. */
void set_flow_snapshot(struct flows *fs, const struct snapshot *sn,
		       uint64_t now_ms);

/* Decides about the inner packet at DATA, received at NOW_MS. */
void steer_packet(struct flows *fs, const uint8_t *data, size_t len,
		  uint64_t now_ms, struct flow_actions *out);

/* Handles the datagram at DATA that another instance sent from FROM. */
void handle_flow_message(struct flows *fs, const struct endpoint *from,
			 const uint8_t *data, size_t len, uint64_t now_ms,
			 struct flow_actions *out);

/* Does periodic work; to be called every FLOW_TICK_MS. */
void tick_flows(struct flows *fs, uint64_t now_ms, struct flow_actions *out);

/* Entries of the flow table; bytes held by it and by the routes. */
size_t flow_entry_count(const struct flows *fs);
size_t flow_memory(const struct flows *fs);

/*
 * Called when this instance is about to end and its view says so: from now on
 * it hands its records to the replicas that take over, within
 * FLOW_HANDOVER_BUDGET.
 */
void start_flow_handover(struct flows *fs, uint64_t now_ms);

/*
 * True once the handover has lasted FLOW_HANDOVER_MIN_MS and all records held
 * as a replica have been sent to the present replicas, or if there is no other
 * live instance.
 */
bool is_flow_handover_done(const struct flows *fs, uint64_t now_ms);

#endif
