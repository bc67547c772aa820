#ifndef FLOW_SPLIT_FLOWS_H
#define FLOW_SPLIT_FLOWS_H

/*
 * Split flows: those whose SYN may have gone to more than one upstream, since
 * an answer was lost or late, or copies of the SYN came to several instances.
 * Each of these upstreams answers the caller, whose packets then carry the
 * cookie of the one that answered last. Only an instance that saw the end of
 * the handshake, or progress, knows where the flow is open. It tells the
 * members that routers may choose instead of it, so that the flow keeps its
 * upstream when they do. An instance that starts asks others for what they
 * know. No I/O.
 *
 * Notices are sent twice, as datagrams may be lost.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/wire.h"
#include "config/service.h"
#include "flow/cookie-packet.h"

#define SPLIT_FLOWS_MAX 16384 /* known at once */
/* Of these, how many may be open nowhere yet: a flood of SYNs makes such. */
#define SPLIT_FLOWS_UNSETTLED_MAX 4096
#define SPLIT_FLOWS_PENDING_MAX 1024 /* that wait to be told */
#define SPLIT_FLOWS_PER_DATAGRAM 32
#define SPLIT_FLOWS_ANSWER_DATAGRAMS 128 /* in one; the rest is left out */
#define SPLIT_FLOWS_REPEAT_MS 300	 /* until a notice is sent again */

/*
 * Shortest time between the notices of one instance, and what each receiver
 * adds to it, as in flow/moved-flows.h.
 */
#define SPLIT_FLOWS_INTERVAL_MS 20
#define SPLIT_FLOWS_PER_MEMBER_MS 4

/*
 * How long a flow that is open nowhere yet is remembered. Upstreams repeat an
 * answer that nobody acknowledges for 9.4 s.
 */
#define SPLIT_FLOW_UNSETTLED_MS 10000
/*
 * A packet that is further than this, in bytes, behind the first one of a flow
 * is taken for one of a later flow with the same addresses and ports.
 */
#define SPLIT_FLOW_BYTES (1 << 20)

/* Between two questions, and the end of the wait for an answer. */
#define SPLIT_INQUIRY_ASK_MS 100
#define SPLIT_INQUIRY_ALONE_MS 150 /* without a ready member */
#define SPLIT_INQUIRY_MAX_MS 300
#define SPLIT_INQUIRY_TARGETS 3 /* that are asked at once */
#define SPLIT_INQUIRY_ASKED_MAX 9

struct split_flow {
	struct flow_key key;
	/* of the caller's first byte, or of a later one if that was not seen */
	uint32_t first_seq;
	bool saw_syn;	 /* FIRST_SEQ is that of the first byte */
	uint32_t cookie; /* of the upstream where it is open; 0: not known */
	uint32_t age_ms; /* since a member noted it */
};

struct split_flows;

struct split_flows *create_split_flows(void);
void destroy_split_flows(struct split_flows *sf);

/*
 * This instance has learned FLOW; members are to be told. False if it was known
 * or cannot be kept. What became known first, of where a flow is open, stays.
 */
bool note_split_flow(struct split_flows *sf, const struct split_flow *flow,
		     uint64_t now_ms);

/*
 * The same for what another member has told. Of two flows with the same
 * addresses and ports the one that was noted later is kept.
 */
bool learn_split_flow(struct split_flows *sf, const struct split_flow *flow,
		      uint64_t now_ms);

/* Flows live no longer than LIFETIME_MS, and are forgotten then. */
void set_split_flow_lifetime(struct split_flows *sf, uint64_t lifetime_ms);

/* The split flow of KEY whose caller may send SEQ; NULL if there is none. */
const struct split_flow *find_split_flow(const struct split_flows *sf,
					 const struct flow_key *key,
					 uint32_t seq, uint64_t now_ms);

/* The split flow that SYN opens; NULL if there is none. */
const struct split_flow *find_split_flow_of_syn(const struct split_flows *sf,
						const struct cookie_packet *syn,
						uint64_t now_ms);

/*
 * Forgets a flow of the addresses and ports of SYN that is not the one that SYN
 * opens. True if there was one: other members may know it, too.
 */
bool forget_earlier_split_flow(struct split_flows *sf,
			       const struct cookie_packet *syn,
			       uint64_t now_ms);

size_t split_flow_count(const struct split_flows *sf);

/* Forgets flows whose time has ended. */
void expire_split_flows(struct split_flows *sf, uint64_t now_ms);

/*
 * True if flows may be due to be told, now or again, to however many members.
 * AT_ONCE as for pop_split_flows().
 */
bool has_untold_split_flows(const struct split_flows *sf, bool at_once,
			    uint64_t now_ms);

/*
 * True if flows are to be told now to MEMBER_NR members; then appends up to
 * SPLIT_FLOWS_PER_DATAGRAM of them to ROWS (of struct split_flow). AT_ONCE: the
 * instance stops, all that waits is due.
 */
bool pop_split_flows(struct split_flows *sf, size_t member_nr, bool at_once,
		     uint64_t now_ms, GArray *rows);

/* Appends the flows that are known to ROWS (of struct split_flow). */
void list_split_flows(const struct split_flows *sf, uint64_t now_ms,
		      GArray *rows);

enum split_flows_part {
	SPLIT_FLOWS_NOTICE,
	SPLIT_FLOWS_ANSWER_PART,
	SPLIT_FLOWS_ANSWER_END
};

/* Writes the NR flows at ROWS. */
void write_split_flows(struct wire_writer *w, enum split_flows_part part,
		       const struct split_flow *rows, size_t nr);
/* Appends the flows in DATA to ROWS; none and false if malformed. */
bool read_split_flows(const void *data, size_t len, enum split_flows_part *part,
		      GArray *rows);
void write_split_flows_request(struct wire_writer *w);

/*
 * The questions of an instance that starts, was paused, or may get the flows of
 * another failure domain. One that starts is not ready before they are
 * answered, or have been asked for long enough.
 */
struct split_inquiry {
	char domain[CONFIG_NAME_MAX]; /* about that one's flows; "": the own */
	struct endpoint asked[SPLIT_INQUIRY_ASKED_MAX];
	size_t asked_nr;
	uint64_t began_ms; /* 0: not yet */
	uint64_t asked_ms; /* 0: not yet */
	bool answered;	   /* by a member that was asked */
	bool told_all;	   /* one of those that answered knew all */
	bool may_serve;	   /* one that starts need not wait any longer */
	bool done;
};

/*
 * Advances SI. HAS_READY_PEER: a member is known that may know all. True if it
 * is to be asked now.
 */
bool tick_split_inquiry(struct split_inquiry *si, bool has_ready_peer,
			uint64_t now_ms);

/* Whether a member may have missed notices of split flows. */
struct split_knowledge {
	uint64_t missed_ms; /* the last time that it may have; 0: never */
};

/*
 * The inquiry SI has ended: what was missed before is known now if one that knew
 * all has answered.
 */
void note_inquiry_end(struct split_knowledge *sk,
		      const struct split_inquiry *si, uint64_t now_ms);

/*
 * Whether all split flows are known that callers may still use. They pause for
 * IDLE_MS at most after the last answer to a SYN has come.
 */
bool are_all_splits_known(const struct split_knowledge *sk, uint64_t idle_ms,
			  uint64_t now_ms);

/* What becomes of a packet of a flow of which only the cookie is known. */
enum unknown_packet {
	UNKNOWN_STEER, /* by its cookie */
	UNKNOWN_RELAY, /* a member that knows more steers it */
	UNKNOWN_WAIT   /* until the inquiry ends */
};

/*
 * Decides about such a packet. STARTED: an inquiry has ended before, so this is
 * no instance that has just started. RELAYED: another member sent it, which
 * knows even less. HAS_TARGET: a member is known that may know more.
 */
enum unknown_packet decide_unknown_packet(const struct split_inquiry *si,
					  bool started, bool relayed,
					  bool has_target);

/* The member at TO is asked. */
void note_split_question(struct split_inquiry *si, const struct endpoint *to);

/*
 * Notes the end of an answer of FROM, which KNOWS_ALL split flows or not. Others
 * than those asked know too little.
 */
void note_split_answer(struct split_inquiry *si, const struct endpoint *from,
		       bool knows_all);

#endif
