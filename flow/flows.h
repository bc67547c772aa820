#ifndef FLOW_FLOWS_H
#define FLOW_FLOWS_H

/*
 * Steering of flows by one instance: a packet, a message of another instance
 * or a tick, and the present time, go in; what to send comes out. No I/O.
 *
 * Most packets need no memory: their slot has one upstream, which every
 * instance computes from the configuration. On unsettled slots (flow/route.h)
 * an unknown flow lives at the slot's base, and flows opened meanwhile are
 * remembered by the slot's keepers, through which their first packet passes.
 */

#include "base/counters.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "flow/message.h"
#include "flow/packet.h"

#define FLOW_TICK_MS 200	 /* between two ticks */
#define FLOW_ACTIONS_MAX 24	 /* of one call */
#define FLOW_BODY_MAX 1200	 /* bytes of a message without a packet */
#define FLOW_TABLE_LIMIT 1000000 /* entries, unless limited further */

/* Bytes a second for marks and copies, on average over a few seconds. */
#define FLOW_CONTROL_BUDGET 1024

/*
 * The same for answers of keepers to instances that asked. Without an answer
 * the next packet of the flow takes the same hop again.
 */
#define FLOW_LEARN_BUDGET 1024

/* Bytes a second of copies that an instance sends while it leaves. */
#define FLOW_LEAVE_BUDGET (256 * 1024)
#define FLOW_LEAVE_MS 2500 /* news reaches all, and keepers are asked on */

struct flows;

enum flow_action_kind {
	FLOW_TO_UPSTREAM, /* the packet itself; its hop limit is to be lowered */
	FLOW_TO_PEER,	  /* to the flow port of another instance */
	FLOW_TO_CALLER	  /* a packet of our own, by way of the fabric */
};

/* Send HEADER and then DATA to the UDP endpoint TO (unset for callers). */
struct flow_action {
	enum flow_action_kind kind;
	struct endpoint to;
	uint64_t service;
	uint64_t upstream;
	uint8_t header[FLOW_HEADER_MAX];
	size_t header_len;
	const uint8_t *data;
	size_t len;
};

/* Lives until the next call that fills it; DATA may lie in the input. */
struct flow_actions {
	struct flow_action at[FLOW_ACTIONS_MAX];
	size_t nr;
	uint8_t body[FLOW_ACTIONS_MAX][FLOW_BODY_MAX];
};

/* COUNTERS and VIEW outlive the flows. */
struct flows *create_flows(const struct view *view, struct counters *counters);
void destroy_flows(struct flows *fs);

/* Remembers no more than LIMIT flows. */
void limit_flow_table(struct flows *fs, size_t limit);

/* Tells the time of day, in ms since 1970, at NOW_MS. */
void set_flow_wall_clock(struct flows *fs, uint64_t wall_ms, uint64_t now_ms);

/* Puts SN in force; the flows take a reference. */
void set_flow_snapshot(struct flows *fs, const struct snapshot *sn,
		       uint64_t now_ms);

/* Decides about the inner packet at DATA, received at NOW_MS. */
void steer_packet(struct flows *fs, const uint8_t *data, size_t len,
		  uint64_t now_ms, struct flow_actions *out);

/* Takes the datagram at DATA that another instance sent FROM. */
void take_flow_message(struct flows *fs, const struct endpoint *from,
		       const uint8_t *data, size_t len, uint64_t now_ms,
		       struct flow_actions *out);

/* Does what is due, FLOW_TICK_MS after the last time. */
void tick_flows(struct flows *fs, uint64_t now_ms, struct flow_actions *out);

/* Flows remembered, and bytes held for them and for routes. */
size_t remembered_flow_nr(const struct flows *fs);
size_t flow_memory(const struct flows *fs);

/*
 * This instance is about to end, and its view says so: from now on it hands
 * what it remembers to the keepers that follow it, within FLOW_LEAVE_BUDGET.
 */
void leave_flows(struct flows *fs, uint64_t now_ms);

/*
 * True once the others have had FLOW_LEAVE_MS to learn that this instance
 * leaves, and nothing is left that it keeps.
 */
bool flows_handed_over(const struct flows *fs, uint64_t now_ms);

#endif
