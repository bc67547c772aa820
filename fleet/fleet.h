#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

/*
 * What instances tell each other: who lives, which configuration is in force,
 * which failure domains are out, and how upstreams are. Events and the
 * present time go in, actions come out; no I/O. The fleet writes the view;
 * flows and requests read it.
 *
 * Epochs never go back, whoever offers what: the store, a peer, or a store
 * that came back older.
 */

#include "base/counters.h"
#include "config/delta.h"
#include "config/domains.h"
#include "fleet/view.h"

struct fleet;

enum fleet_event_kind {
	FLEET_TICK,	/* at least every FLEET_TICK_MS */
	FLEET_MESSAGE,	/* from a peer: DATA, LEN */
	FLEET_SNAPSHOT, /* read from the store or a directory: SNAPSHOT */
	FLEET_DOMAIN,	/* read from the store: DOMAIN */
	FLEET_UPSTREAM, /* this instance judged UPSTREAM to be in STATE */
	FLEET_LISTED,	/* the platform lists an instance: MEMBER */
	FLEET_LEAVE,	/* this instance begins its graceful stop */
	FLEET_GONE	/* this instance ends now */
};

#define FLEET_TICK_MS 200

struct fleet_event {
	enum fleet_event_kind kind;
	union {
		struct {
			const void *data;
			size_t len;
		} message;
		const struct snapshot *snapshot;
		const struct domain_record *domain;
		struct {
			uint64_t id;
			enum upstream_state state;
		} upstream;
		const struct member *member;
	};
};

enum fleet_action_kind {
	FLEET_SEND,		/* send DATA, LEN to the peer at TO */
	FLEET_RESET,		/* the connection to TO makes no progress */
	FLEET_APPLY,		/* SNAPSHOT is in force now */
	FLEET_DOMAIN_CHANGED,	/* DOMAIN went out or came back */
	FLEET_UPSTREAM_CHANGED, /* UPSTREAM has another state in the view */
	FLEET_MEMBER_CHANGED	/* MEMBER has another state in the view */
};

struct fleet_action {
	enum fleet_action_kind kind;
	struct endpoint to;
	void *data; /* owned by the list */
	size_t len;
	const struct snapshot *snapshot; /* lives as long as the fleet's */
	uint64_t id;			 /* of an upstream or a member */
	char domain[CONFIG_NAME_MAX];
};

struct fleet_actions {
	struct fleet_action *at;
	size_t nr;
	size_t alloc;
};
void release_fleet_actions(struct fleet_actions *as);

/*
 * The fleet as SELF sees it. SEEDS are peer endpoints to ask first. SEED is
 * for its random choices. VIEW and COUNTERS outlive it.
 */
struct fleet *create_fleet(const struct member *self, struct view *view,
			   const struct endpoint *seeds, size_t seed_nr,
			   uint32_t seed, struct counters *counters);
void destroy_fleet(struct fleet *f);

void step_fleet(struct fleet *f, const struct fleet_event *ev, uint64_t now_ms,
		struct fleet_actions *out);

/* The configuration in force, or NULL before the first. */
const struct snapshot *fleet_snapshot(const struct fleet *f);
const struct domain_set *fleet_domains(const struct fleet *f);

#endif
