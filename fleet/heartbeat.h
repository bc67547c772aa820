#ifndef FLEET_HEARTBEAT_H
#define FLEET_HEARTBEAT_H

/*
 * Heartbeats: small datagrams that instances send each other several times a
 * second with their membership data, the configuration in force and the load
 * that they observe at upstreams. A lost heartbeat is not resent, since the
 * next one replaces it; so no message waits for a connection that hangs. Writes
 * the members into the view. Times are in ms of a monotonic clock. No I/O.
 */

#include "base/wire.h"
#include "config/store-position.h"
#include "fleet/load.h"
#include "fleet/view.h"

#define HEARTBEAT_TICK_MS 50
#define HEARTBEAT_INTERVAL_MS 150 /* interval in domains of up to ten members */
#define HEARTBEAT_PER_MEMBER_MS 8 /* added for each member beyond ten */
#define HEARTBEAT_SMALL_DOMAIN_MEMBERS 10
#define HEARTBEAT_URGENT_MS 30	  /* shortest interval, with urgent changes */
#define HEARTBEAT_DEAD_MISSES 6	  /* consecutive misses that mean dead */
#define HEARTBEAT_SEARCH_MS 1000  /* interval to addresses that are silent */
#define HEARTBEAT_FORGET_MS 30000 /* a member silent for longer is removed */
#define HEARTBEAT_SETTLE_MS 1000  /* from start or pause to a settled view */
#define HEARTBEAT_ROWS_MAX 110	  /* upstreams in one datagram */

/*
 * A new instance takes no store reader role before it could have received its
 * peers' heartbeats: for STORE_READER_DELAY_MS or STORE_READER_DELAY_INTERVALS
 * heartbeat intervals, whichever is longer.
 */
#define STORE_READER_DELAY_MS 400
#define STORE_READER_DELAY_INTERVALS 2

/*
 * In fleets of more than HEARTBEAT_REMOTE_FLEET_MEMBERS live members, a member
 * of another domain gets only one in HEARTBEAT_REMOTE_FACTOR heartbeats.
 */
#define HEARTBEAT_REMOTE_FACTOR 6
#define HEARTBEAT_REMOTE_FLEET_MEMBERS 20

/* Routers use other domains only if all instances of a domain are away. */
#define TAKEOVER_DOMAIN_MIN 3
/*
 * Members of each other domain that are told of a domain's split flows. They
 * are chosen by rendezvous hashing, so that all members choose alike.
 */
#define TAKEOVER_KEEPERS 2
/*
 * A domain is away if none of its members that is ready was heard for so long
 * and for so many expected heartbeats. Routers turn to other domains 500 ms or
 * later after they first miss its members.
 */
#define TAKEOVER_AWAY_MS 400
#define TAKEOVER_AWAY_MISSES 2
#define TAKEOVER_KEPT_CHECK_MS 1000 /* between looks whether keepers changed */

enum heartbeat_flag {
	HEARTBEAT_LEAVING = 1,
	HEARTBEAT_READY = 2,	   /* has a configuration and upstreams */
	HEARTBEAT_READS_STORE = 4, /* reads the store, and the store answers */
	/* understands notices of split flows; earlier builds do not */
	HEARTBEAT_SPLIT_FLOWS = 8,
	/* understands marked cookies, see flow/cookie.h; earlier builds do not */
	HEARTBEAT_MARKED_COOKIES = 16,
	/* has missed no notice of a split flow that may be in use */
	HEARTBEAT_KNOWS_SPLIT_FLOWS = 32
};

struct heartbeat_message {
	struct member member;
	uint8_t flags;
	uint64_t config_version;
	struct store_position store_position;
	uint64_t store_digest; /* of the store's content at that position */
	GArray *rows;	       /* of struct upstream_load_row */
};

/* Appends HM to W, which the caller releases. */
void write_heartbeat(struct wire_writer *w, const struct heartbeat_message *hm);

/* True if DATA, a message of another instance, begins like a heartbeat. */
bool is_heartbeat(const uint8_t *data, size_t len);

/* Reads a heartbeat; appends its rows to HM->rows. False if malformed. */
bool read_heartbeat(const void *data, size_t len, struct heartbeat_message *hm);

struct heartbeat_tracker;

/* SELF describes this instance; it is added to VIEW. */
struct heartbeat_tracker *create_heartbeat_tracker(const struct member *self,
						   struct view *view,
						   uint64_t now_ms);
void destroy_heartbeat_tracker(struct heartbeat_tracker *ht);

/* Adds an address where an instance may be, from settings or the store. */
void add_heartbeat_address(struct heartbeat_tracker *ht,
			   const struct endpoint *at);

/* Updates the tracker and the view from HM, received at NOW_MS. */
void handle_heartbeat(struct heartbeat_tracker *ht,
		      const struct heartbeat_message *hm, uint64_t now_ms);

/*
 * Call after this process was paused: the view is unsettled again, and no
 * peer is declared dead for heartbeats that were missed meanwhile.
 */
void restart_heartbeats(struct heartbeat_tracker *ht, uint64_t now_ms);

/*
 * Marks silent members as dead. Returns true if a heartbeat is due, and then
 * appends its receivers to TO (of struct endpoint). The interval is shorter if
 * URGENT, for changes that must not wait.
 */
bool tick_heartbeats(struct heartbeat_tracker *ht, uint64_t now_ms, bool urgent,
		     GArray *to);

/* Highest configuration version of live members that are ready; 0: none. */
uint64_t highest_ready_config_version(const struct heartbeat_tracker *ht);

/* What is heard of the other members of one failure domain. */
struct heard_domain {
	char name[CONFIG_NAME_MAX];
	uint64_t last_heard_ms; /* last heartbeat of any of them */
	uint64_t last_ready_ms; /* last one of a ready member; 0: none */
	bool away; /* no ready member is heard any more; see next_away_domain() */
	bool kept; /* this instance keeps its split flows */
	/* mean time between the heartbeats that its live members send to this
	 * instance, all together; 0: none is known to be alive */
	uint64_t expected_ms;
};

/* Appends the domains of which a member was heard (struct heard_domain). */
void list_heard_domains(const struct heartbeat_tracker *ht, GArray *to);

/*
 * True if this instance is to read and watch the store: it is one of its
 * domain's store readers, or none there reports an answering store. In that
 * case the number of readers doubles with each heartbeat interval.
 */
bool should_read_store(const struct heartbeat_tracker *ht, uint64_t now_ms);

/* Appends the addresses of the other live members of the own domain to TO. */
void list_domain_endpoints(const struct heartbeat_tracker *ht, GArray *to);

/*
 * The same for the members that routers may choose instead of this instance and
 * that understand notices of split flows: those of its domain, and of other
 * domains where either side is small; else the domain's keepers. All in a small
 * fleet.
 */
void list_takeover_endpoints(const struct heartbeat_tracker *ht, GArray *to);

/*
 * The name of a domain that has become away since the last call, so that its
 * flows may come here; NULL if there is none. Valid until the next heartbeat.
 */
const char *next_away_domain(struct heartbeat_tracker *ht, uint64_t now_ms);

/*
 * The keepers of DOMAIN's split flows in the own domain, to ask; 0 if this
 * instance is one of them. Returns their number.
 */
size_t pick_keepers(const struct heartbeat_tracker *ht, const char *domain,
		    struct endpoint to[TAKEOVER_KEEPERS]);

/*
 * The name of a domain whose split flows this instance has to keep since
 * lately; NULL if there is none. Valid until the next heartbeat.
 */
const char *next_kept_domain(struct heartbeat_tracker *ht, uint64_t now_ms);

/* Picks up to NR ready members of DOMAIN that understand notices; their number. */
size_t pick_members_of(const struct heartbeat_tracker *ht, const char *domain,
		       GRand *rand, struct endpoint *to, size_t nr);

/* Whether all members that are not known to be dead understand marked cookies. */
bool all_members_take_marks(const struct heartbeat_tracker *ht);

/* Whether AT is the address of a member, also of one that fell silent lately. */
bool is_member_address(const struct heartbeat_tracker *ht,
		       const struct endpoint *at);

/*
 * Picks a live member whose store position is later than POSITION, at random,
 * in the own domain if there is one. False if none is known.
 */
bool pick_member_ahead(const struct heartbeat_tracker *ht,
		       struct store_position position, GRand *rand,
		       struct endpoint *at);

/* The same for a ready member whose configuration is later than VERSION. */
bool pick_member_configured_after(const struct heartbeat_tracker *ht,
				  uint64_t version, GRand *rand,
				  struct endpoint *at);

/*
 * Picks up to NR members that are alive and ready, starting at a random one,
 * to relay packets to. Returns their number.
 */
size_t pick_relays(const struct heartbeat_tracker *ht, GRand *rand,
		   struct endpoint *to, size_t nr);

/*
 * The same for a packet whose upstream is not known here: first a member that
 * knows all split flows, then others of the own domain, which may have its flow,
 * then any.
 */
size_t pick_knowing_members(const struct heartbeat_tracker *ht, GRand *rand,
			    struct endpoint *to, size_t nr);

/* Whether the member at AT knows all split flows. */
bool knows_split_flows(const struct heartbeat_tracker *ht,
		       const struct endpoint *at);

/*
 * The same for members that understand notices of split flows, of the own domain
 * if any is ready there.
 */
size_t pick_neighbours(const struct heartbeat_tracker *ht, GRand *rand,
		       struct endpoint *to, size_t nr);

#endif
