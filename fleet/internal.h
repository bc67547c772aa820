#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

/*
 * What the parts of the fleet module share. Nothing outside fleet/ includes
 * this. Every part gets the whole struct fleet; each has its own section.
 *
 * Every message is an array [type, sender's id, sender's endpoint, ...], so
 * that the receiver can answer a sender that it does not know yet.
 */

#include <glib.h>

#include "fleet/domain-heartbeats.h"
#include "fleet/fleet.h"
#include "fleet/records.h"

#define FLEET_LOCAL_RINGS 3 /* watched members of the own failure domain */
#define FLEET_CROSS_RINGS 2 /* links into other failure domains */
#define FLEET_LINK_MAX (FLEET_LOCAL_RINGS + FLEET_CROSS_RINGS)
#define FLEET_ROUTINE_LOCAL 2 /* of those, rings that carry every record; */
#define FLEET_ROUTINE_CROSS 1 /* the others domain records and deltas only */
#define FLEET_REPLY_MAX (64 * 1024) /* bytes; a reply stops growing there */

enum fleet_message_type {
	FLEET_PING,	   /* sequence, heads */
	FLEET_ACK,	   /* sequence, subject, heads */
	FLEET_INDIRECT,	   /* sequence, subject, its endpoint: ping it for me */
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

/* The member, domain record or upstream a change is about. */
struct change {
	enum fleet_set set;
	uint64_t key;
};

struct sender {
	uint64_t id;
	struct endpoint at;
};

enum link_state {
	LINK_IDLE,   /* answered last time */
	LINK_PINGED, /* a direct ping is out */
	LINK_ASKED,  /* other members were asked to ping it */
	LINK_FAILED, /* neither way brought an answer */
	LINK_STATE_NR
};

/* A member that this instance pings and pushes changes to. */
struct link {
	uint64_t id;
	struct endpoint at;
	bool watched; /* of the own domain: its death is judged here */
	bool routine; /* changes of members and upstreams are pushed to it */
	enum link_state state;
	uint32_t sequence; /* of the last ping */
	uint64_t due;	   /* ms of the next step */
	uint64_t failed;   /* ms when it became LINK_FAILED */
};

/* A ping sent on behalf of another member. */
struct errand {
	uint32_t own_sequence;
	uint32_t sequence; /* of the one who asked */
	struct sender for_whom;
	uint64_t expires; /* ms */
};

/* Progress of the comparison of one set with peers. */
struct compare_state {
	uint64_t next;	  /* ms before which no new one starts */
	uint64_t backoff; /* ms */
	uint64_t taken;	  /* records taken since the last one started */
	struct endpoint with;
	bool again; /* it brought something: go on with the same peer */
};

struct config_sync;

struct fleet {
	struct view *view;
	struct counters *counters;
	GRand *rand;
	struct member self;
	uint64_t now; /* ms; of the event being handled */
	struct fleet_actions *out;

	/* records and their spreading */
	struct records *sets[FLEET_SET_NR];
	struct domain_set domains;
	struct compare_state compare[FLEET_SET_NR];
	GArray *changes; /* of struct change: to push on after this step */
	uint64_t changes_from; /* member that is not told again; 0: none */
	bool changes_urgent;   /* a domain record is among them */

	/* membership */
	struct domain_heartbeats *domain_heartbeats;
	GArray *hints; /* of struct endpoint: seeds, and what is listed */
	struct link links[FLEET_LINK_MAX];
	size_t link_nr;
	GArray *errands;
	GHashTable *avoided; /* member id -> uint64_t ms until when */
	uint32_t sequence;
	bool links_stale; /* members changed */
	bool started;
	bool gone;	  /* said that it ends */
	uint64_t ticked;  /* ms of the last tick; 0: none yet */
	uint64_t heard;	  /* ms of the last message */
	uint64_t woken;	  /* ms of the start or the end of the last pause */
	uint64_t contact; /* ms of the next ping outside of the links */
	uint64_t swept;	  /* ms of the last look for what to forget */
	uint32_t fresh;	  /* pings from this sequence on were sent awake */
	uint8_t silence[DOMAINS_MAX]; /* enum domain_level, as last shown */
	/* Members that came or died: uint64_t id -> uint64_t ms when to look
	 * again at what they judged. */
	GHashTable *judges;

	struct config_sync *config;
};

/* fleet.c */
struct fleet_action *add_action(struct fleet *f, enum fleet_action_kind kind);
void begin_message(struct wire_writer *w, const struct fleet *f,
		   enum fleet_message_type type, size_t field_nr);
/* Sends what W holds to TO and releases W. */
void end_message(struct fleet *f, struct wire_writer *w,
		 const struct endpoint *to);

/* spread.c: versioned records */
void init_spread(struct fleet *f);
void release_spread(struct fleet *f);
/* Puts a record that was made here and pushes it. */
void publish_record(struct fleet *f, enum fleet_set set, uint64_t key,
		    uint64_t version, const struct wire_writer *body);
/* Pushes the changes of this step to all links. */
void push_changes(struct fleet *f);
void send_record(struct fleet *f, enum fleet_set set, uint64_t key,
		 const struct endpoint *to);
/* Compares SET with TO's unless one is under way or useless. */
void compare_set(struct fleet *f, enum fleet_set set,
		 const struct endpoint *to);
void tick_spread(struct fleet *f);
void on_records(struct fleet *f, const struct sender *from,
		struct wire_reader *r);
void on_compare(struct fleet *f, const struct sender *from,
		struct wire_reader *r);
void on_list(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_want(struct fleet *f, const struct sender *from, struct wire_reader *r);

/* member.c: what member records mean */
void announce_self(struct fleet *f, enum member_state state);
void judge_member(struct fleet *f, uint64_t id, enum member_state state);
bool decode_member(const struct record *rec, struct member *m);
/* Brings the view up to date with the record of member ID. */
void show_member(struct fleet *f, uint64_t id);
void show_domain_members(struct fleet *f, const char *domain);
void take_member(struct fleet *f, const struct record *rec);
void tick_members(struct fleet *f);
/* False for a record that would bring back what was forgotten. */
bool is_member_news(const struct fleet *f, const struct record *head);
enum member_state record_state(const struct record *rec);

/* links.c: which members this instance keeps links to */
void choose_links(struct fleet *f);
struct link *find_link(struct fleet *f, uint64_t id);

/* probe.c: pings, and what follows from silence */
void tick_probes(struct fleet *f);
void restart_probes(struct fleet *f);
void send_ping(struct fleet *f, const struct endpoint *to, uint32_t sequence);
void on_ping(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_ack(struct fleet *f, const struct sender *from, struct wire_reader *r);
void on_indirect(struct fleet *f, const struct sender *from,
		 struct wire_reader *r);

/* heads.c: what a ping and its answer say about the sender's state */
#define HEADS_FIELD_NR 6
void put_heads(struct wire_writer *w, const struct fleet *f);
/* True if the sender has nothing that this instance must still learn. */
bool take_heads(struct fleet *f, const struct sender *from,
		struct wire_reader *r);

/* upstream-records.c */
void judge_upstream(struct fleet *f, uint64_t id, enum upstream_state state);
void take_upstream(struct fleet *f, const struct record *rec);
void note_judge(struct fleet *f, uint64_t judge, bool dead);
void tick_upstreams(struct fleet *f);

/* config-sync.c: the snapshot in force and how it travels */
struct config_sync *create_config_sync(void);
void destroy_config_sync(struct config_sync *cs);
const struct snapshot *current_snapshot(const struct config_sync *cs);
uint32_t current_digest(const struct config_sync *cs);
/*
 * Puts SN in force if its epoch is higher. D, if not NULL, led to it; FROM is
 * not told again.
 */
void offer_snapshot(struct fleet *f, const struct snapshot *sn,
		    const struct delta *d, uint64_t from);
/* A peer has EPOCH with DIGEST. */
void note_epoch(struct fleet *f, const struct sender *from, uint64_t epoch,
		uint32_t digest);
void tick_config(struct fleet *f);
void on_deltas(struct fleet *f, const struct sender *from,
	       struct wire_reader *r);
void on_config_want(struct fleet *f, const struct sender *from,
		    struct wire_reader *r);
void on_config_part(struct fleet *f, const struct sender *from,
		    struct wire_reader *r);

#endif
