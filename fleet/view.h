#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

/*
 * One instance's view of the fleet: the members and their states, the failure
 * domains that operators took out, and the state of each upstream. Written by
 * the fleet module and the heartbeats, read by flows and requests. The views of
 * two instances differ until a change has reached both.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/snapshot.h"

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* did not answer; still counted as live */
	MEMBER_LEAVING, /* announced that it stops; takes no new role */
	MEMBER_DEAD,
	MEMBER_STATE_NR
};

struct member {
	uint64_t id; /* hash of the name; stable over restarts */
	char name[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX];
	struct endpoint address; /* port 0 */
	uint16_t peer_port;
	uint16_t flow_port;
	uint16_t admin_port;
	enum member_state state;
	uint32_t incarnation;  /* grows when it refutes or restarts */
	uint32_t start_number; /* random number of its process */
	uint32_t link_mbps;    /* Mbit/s; the fastest become store readers */
};

enum upstream_state {
	UPSTREAM_UNKNOWN, /* not assessed yet; treated as cold */
	UPSTREAM_COLD,
	UPSTREAM_WARMING,
	UPSTREAM_WARM,
	UPSTREAM_DRAINING, /* keeps its requests and flows, gets no new ones */
	UPSTREAM_DOWN,
	UPSTREAM_OUT, /* its failure domain was taken out */
	UPSTREAM_STATE_NR
};

struct view;

/* An empty view of the instance whose own member id is SELF. */
struct view *create_view(uint64_t self);
void destroy_view(struct view *v);

uint64_t view_self(const struct view *v);

/* Adds or replaces the member with M's id. */
void set_view_member(struct view *v, const struct member *m);
void remove_member(struct view *v, uint64_t id);

/* The members sorted by id; the pointer is valid until the next change. */
const struct member *view_members(const struct view *v, size_t *nr);
const struct member *find_member(const struct view *v, uint64_t id);

/* The endpoint where M receives messages of its peers. */
struct endpoint member_endpoint(const struct member *m);

/* True if M is alive or suspect. */
bool is_live_member(const struct member *m);

/* Number of members that are live. */
size_t live_member_count(const struct view *v);

/* The sorted ids of live members, uint64_t; the caller unrefs the array. */
GArray *list_live_members(const struct view *v);

/*
 * False from start, and again when this instance finds that it was paused,
 * until it has compared its state with a peer (or found no peer for some
 * seconds). Until then it must not use quotas or replica roles from before:
 * other instances may have them now.
 */
bool is_view_settled(const struct view *v);
void set_view_settled(struct view *v, bool settled);

/* Marks DOMAIN as taken out or brought back. */
void set_domain_out(struct view *v, const char *domain, bool out);
bool is_domain_out(const struct view *v, const char *domain);

void set_upstream_state(struct view *v, uint64_t id, enum upstream_state s);

/* The published state of upstream ID, without upstream_state()'s overrides. */
enum upstream_state published_upstream_state(const struct view *v, uint64_t id);

/*
 * The state of UP, with overrides applied: out if its domain is out, else down
 * if it is down, else draining if the configuration says so.
 */
enum upstream_state upstream_state(const struct view *v,
				   const struct upstream *up);

/* Name of S, as shown in status. */
const char *upstream_state_name(enum upstream_state s);
const char *member_state_name(enum member_state s);

/*
 * Writes up to NR live members to OUT, those with the highest rendezvous weight
 * for KEY first. A second member of a failure domain follows only when every
 * domain with live members has one in OUT. Returns the number written.
 */
size_t rank_members(const struct view *v, uint64_t key,
		    const struct member **out, size_t nr);

#endif
