#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

/*
 * The shared state of all instances, spread by gossip and anti-entropy: the
 * members, the configuration in force, the failure domains that operators took
 * out, and the states of upstreams. Takes events and the present time (ms of a
 * monotonic clock), returns actions; no I/O. Writes the view, which flows and
 * requests read.
 *
 * The epoch in force never decreases, whether a lower one comes from a peer,
 * the store, or a store that was restored to an older state.
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
	FLEET_UPSTREAM, /* this instance assessed UPSTREAM as STATE */
	FLEET_LISTED,	/* the platform lists an instance: MEMBER */
	FLEET_LEAVE,	/* this instance begins its graceful stop */
	FLEET_GONE	/* this instance stops now */
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
	FLEET_RESET,		/* reopen the connection to TO, which hangs */
	FLEET_APPLY,		/* SNAPSHOT is in force now */
	FLEET_DOMAIN_CHANGED,	/* DOMAIN was taken out or brought back */
	FLEET_UPSTREAM_CHANGED, /* UPSTREAM has another state in the view */
	FLEET_MEMBER_CHANGED	/* MEMBER has another state in the view */
};

struct fleet_action {
	enum fleet_action_kind kind;
	struct endpoint to;
	void *data; /* owned by the list */
	size_t len;
	const struct snapshot *snapshot; /* valid while it is in force */
	uint64_t id;			 /* of an upstream or a member */
	char domain[CONFIG_NAME_MAX];
};

struct fleet_actions {
	struct fleet_action *items;
	size_t nr;
	size_t alloc;
};
void release_fleet_actions(struct fleet_actions *as);

/*
 * Creates the fleet state of instance SELF. SEEDS are peer endpoints to contact
 * at start. SEED initialises the random number generator. VIEW and COUNTERS
 * must outlive the result.
 */
struct fleet *create_fleet(const struct member *self, struct view *view,
			   const struct endpoint *seeds, size_t seed_nr,
			   uint32_t seed, struct counters *counters);
void destroy_fleet(struct fleet *f);

/* Handles EV at NOW_MS and appends the actions that follow to OUT. */
void step_fleet(struct fleet *f, const struct fleet_event *ev, uint64_t now_ms,
		struct fleet_actions *out);

/* The configuration in force, or NULL before the first. */
const struct snapshot *fleet_snapshot(const struct fleet *f);
const struct domain_set *fleet_domains(const struct fleet *f);

#endif
