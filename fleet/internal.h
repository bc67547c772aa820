#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

/*
 * Internals of the fleet module, not included outside fleet/ and its
 * benchmarks. All files work on one struct fleet, whose fields are grouped by
 * the file that maintains them.
 *
 * Every message is a MessagePack array [type, sender's id, sender's endpoint,
 * ...]: the endpoint lets the receiver answer an unknown sender. Times are in
 * ms of a monotonic clock.
 */

#include <glib.h>

#include "fleet/domain-heartbeats.h"
#include "fleet/fleet.h"
#include "fleet/records.h"

#define FLEET_LOCAL_RINGS 3 /* links to members of the own failure domain */
#define FLEET_CROSS_RINGS 2 /* links to members of other failure domains */
#define FLEET_LINK_MAX (FLEET_LOCAL_RINGS + FLEET_CROSS_RINGS)

/*
 * Local and cross rings that carry every record. The others carry domain
 * records and configuration deltas only.
 */
#define FLEET_LOCAL_PUSH_RINGS 2
#define FLEET_CROSS_PUSH_RINGS 1

/* Bytes after which nothing more is added to a reply. */
#define FLEET_REPLY_MAX_BYTES (64 * 1024)

enum fleet_message_type {
	FLEET_PING,	   /* sequence, summary */
	FLEET_ACK,	   /* sequence, subject, summary */
	FLEET_INDIRECT,	   /* sequence, subject, its endpoint: relay a ping */
	FLEET_RECORDS,	   /* pushed, records */
	FLEET_COMPARE,	   /* set, digest of each bucket */
	FLEET_LIST,	   /* set, [bucket, keys and versions]... */
	FLEET_WANT,	   /* set, keys */
	FLEET_DELTAS,	   /* deltas */
	FLEET_CONFIG_WANT, /* epoch, buckets */
	FLEET_CONFIG_PART, /* epoch, digest, publish id, digests, services */
	FLEET_MESSAGE_NR
};

enum fleet_set { SET_MEMBERS, SET_DOMAINS, SET_UPSTREAMS, FLEET_SET_NR };

/* The member, domain or upstream whose record changed. */
struct record_change {
	enum fleet_set set;
	uint64_t key;
};

struct sender {
	uint64_t id;
	struct endpoint endpoint;
};

enum link_state {
	LINK_IDLE,    /* the last ping was answered */
	LINK_PINGED,  /* waits for the answer to a direct ping */
	LINK_RELAYED, /* waits for the answer to relayed pings */
	LINK_FAILED,  /* neither was answered */
	LINK_STATE_NR
};

/* A member that this instance pings and pushes changes to. */
struct link {
	uint64_t id;
	struct endpoint address;
	bool watched; /* own domain: this instance detects its death */
	bool carries_all_records; /* else domain records and deltas only */
	enum link_state state;
	uint32_t sequence;     /* of the last ping */
	uint64_t due_at_ms;    /* time of the next step */
	uint64_t failed_at_ms; /* time when it became LINK_FAILED */
};

/* A ping relayed for another member. */
struct relayed_ping {
	uint32_t own_sequence;
	uint32_t requester_sequence; /* in the requester's own ping */
	struct sender requester;
	uint64_t expires_at_ms;
};

/* Progress of the anti-entropy comparison of one set with a peer. */
struct compare_state {
	uint64_t next_at_ms; /* earliest start of the next comparison */
	uint64_t backoff_ms;
	uint64_t records_received; /* since the last comparison started */
	struct endpoint peer;
	bool again; /* not used */
};

struct config_sync;

struct fleet {
	struct view *view;
	struct counters *counters;
	GRand *rand;
	struct member self;
	uint64_t now_ms; /* time of the event being handled */
	struct fleet_actions *out;

	/* records and gossip */
	struct records *sets[FLEET_SET_NR];
	struct domain_set domains;
	struct compare_state compare[FLEET_SET_NR];
	/* of struct record_change, pushed at the end of the step */
	GArray *changes;
	uint64_t changes_sender; /* they are not pushed back to it; 0: none */
	bool changes_urgent;	 /* a domain record is among them */

	/* membership */
	struct domain_heartbeats *heartbeats;
	GArray *known_endpoints; /* struct endpoint: seeds, listed instances */
	struct link links[FLEET_LINK_MAX];
	size_t link_nr;
	GArray *relayed_pings; /* of struct relayed_ping */
	/* member id -> uint64_t time until which it gets no cross link */
	GHashTable *avoided_until;
	uint32_t last_sequence; /* of the last ping */
	bool links_stale;	/* links have to be chosen again */
	bool started;
	bool gone_announced;
	uint64_t last_tick_ms; /* 0: none yet */
	uint64_t last_message_ms;
	uint64_t awake_since_ms;       /* start, or end of the last pause */
	uint64_t next_search_ms;       /* next ping outside of the links */
	uint64_t swept_at_ms;	       /* last removal of old members */
	uint32_t first_awake_sequence; /* first ping since awake_since_ms */
	/* enum domain_liveness as applied to the view, by heartbeat index */
	uint8_t domain_liveness[DOMAINS_MAX];
	/*
	 * Members that appeared or died: uint64_t id -> uint64_t time at which
	 * the upstream states that they published are evaluated again.
	 */
	GHashTable *publisher_checks;

	struct config_sync *config;
};

/* fleet.c */
struct fleet_action *add_action(struct fleet *f, enum fleet_action_kind kind);
void begin_message(struct wire_writer *w, const struct fleet *f,
		   enum fleet_message_type type, size_t field_nr);
/* Sends the message in W to TO and releases W. */
void end_message(struct fleet *f, struct wire_writer *w,
		 const struct endpoint *to);

/* gossip.c: push and comparison of versioned records */
void init_gossip(struct fleet *f);
void release_gossip(struct fleet *f);
/* Stores a record that this instance made, and pushes it. */
void publish_record(struct fleet *f, enum fleet_set set, uint64_t key,
		    uint64_t version, const struct wire_writer *body);
/* Pushes the changes of this step along the links that carry them. */
void push_changes(struct fleet *f);
void send_record(struct fleet *f, enum fleet_set set, uint64_t key,
		 const struct endpoint *to);
/* Starts a comparison of SET with the peer at TO, unless backing off. */
void compare_set(struct fleet *f, enum fleet_set set,
		 const struct endpoint *to);
void tick_gossip(struct fleet *f);
void on_records(struct fleet *f, const struct sender *from,
		struct wire_reader *r);
void on_compare(struct fleet *f, const struct sender *from,
		struct wire_reader *r);
void on_list(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_want(struct fleet *f, const struct sender *from, struct wire_reader *r);

/* member.c: member records */
void announce_self(struct fleet *f, enum member_state state);
void publish_member_state(struct fleet *f, uint64_t id,
			  enum member_state state);
bool decode_member(const struct record *rec, struct member *m);
/* Updates the view from the stored record of member ID. */
void update_view_member(struct fleet *f, uint64_t id);
void update_view_domain(struct fleet *f, const char *domain);
void apply_member_record(struct fleet *f, const struct record *rec);
void tick_members(struct fleet *f);
/* False for the record of a dead member that is not stored (forgotten). */
bool is_member_record_wanted(const struct fleet *f, const struct record *head);
enum member_state record_state(const struct record *rec);

/* links.c: which members this instance keeps links to */
void choose_links(struct fleet *f);
struct link *find_link(struct fleet *f, uint64_t id);

/* ping.c: pings and failure detection */
void tick_pings(struct fleet *f);
void restart_pings(struct fleet *f);
void send_ping(struct fleet *f, const struct endpoint *to, uint32_t sequence);
void on_ping(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_ack(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_indirect(struct fleet *f, const struct sender *from,
		 struct wire_reader *r);

/* ping-summary.c: the sender's state in pings and their answers */
#define SUMMARY_FIELD_NR 6
void write_summary(struct wire_writer *w, const struct fleet *f);
/* True if the sender has no later epoch and the same domain records. */
bool read_summary(struct fleet *f, const struct sender *from,
		  struct wire_reader *r);

/* upstream-records.c */
void publish_upstream_state(struct fleet *f, uint64_t id,
			    enum upstream_state state);
void apply_upstream_record(struct fleet *f, const struct record *rec);
void schedule_publisher_check(struct fleet *f, uint64_t publisher, bool dead);
void tick_upstreams(struct fleet *f);

/* config-sync.c: the snapshot in force and its distribution */
struct config_sync *create_config_sync(void);
void destroy_config_sync(struct config_sync *cs);
const struct snapshot *current_snapshot(const struct config_sync *cs);
uint32_t current_digest(const struct config_sync *cs);
/*
 * Puts SN in force and pushes it if its epoch is higher than that in force. D
 * is the delta from which SN was built, or NULL. FROM is the member that sent
 * it, or 0; nothing is pushed to that member.
 */
void apply_newer_snapshot(struct fleet *f, const struct snapshot *sn,
			  const struct delta *d, uint64_t from);
/* Records that peer FROM has EPOCH with DIGEST. */
void record_peer_epoch(struct fleet *f, const struct sender *from,
		       uint64_t epoch, uint32_t digest);
void tick_config(struct fleet *f);
void on_deltas(struct fleet *f, const struct sender *from,
	       struct wire_reader *r);
void on_config_want(struct fleet *f, const struct sender *from,
		    struct wire_reader *r);
void on_config_part(struct fleet *f, const struct sender *from,
		    struct wire_reader *r);

#endif
