#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

/*
 * What one instance believes about the fleet: which instances live, which
 * failure domains operators took out, and the state of each upstream. The
 * fleet module writes it; flows and requests read it. Views of different
 * instances differ for a while after each change.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/snapshot.h"

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* missed probes; still counted as live */
	MEMBER_LEAVING, /* said that it stops; takes no new role */
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
	uint32_t incarnation; /* grows when it refutes or restarts */
	uint32_t start;	      /* random; another after each restart */
	uint32_t
		strength; /* Mbit/s of its link; stronger ones do more for all */
};

enum upstream_state {
	UPSTREAM_UNKNOWN, /* no news yet; treated as cold */
	UPSTREAM_COLD,
	UPSTREAM_WARMING,
	UPSTREAM_WARM,
	UPSTREAM_DRAINING, /* keeps what it has, gets nothing new */
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
void put_member(struct view *v, const struct member *m);
void remove_member(struct view *v, uint64_t id);

/* Members sorted by id; the pointer lives until the next change. */
const struct member *view_members(const struct view *v, size_t *nr);
const struct member *find_member(const struct view *v, uint64_t id);

/* Where M takes messages of its peers. */
struct endpoint member_endpoint(const struct member *m);

/* True if M is alive or suspect: a suspect still counts as live. */
bool is_live_member(const struct member *m);

/* Number of members that are live. */
size_t live_member_nr(const struct view *v);

/* Their ids, sorted; the caller unrefs the array of uint64_t. */
GArray *list_live_members(const struct view *v);

/*
 * False from start, and again from the moment this instance notices that it
 * was paused, until it has compared what it knows with a peer (or found none
 * for some seconds). Until then it must not use shares or keeper roles that
 * it remembers: others may have them.
 */
bool is_view_settled(const struct view *v);
void set_view_settled(struct view *v, bool settled);

/* Marks DOMAIN as taken out, or as back. */
void set_domain_out(struct view *v, const char *domain, bool out);
bool is_domain_out(const struct view *v, const char *domain);

void set_upstream_state(struct view *v, uint64_t id, enum upstream_state s);

/* What was judged about upstream ID, whatever overrides it. */
enum upstream_state judged_upstream_state(const struct view *v, uint64_t id);

/*
 * The state of UP with what overrides its health taken into account: out if
 * its domain is out, else down if it is down, else draining if published so.
 */
enum upstream_state upstream_state(const struct view *v,
				   const struct upstream *up);

/* Name of S, as shown in status. */
const char *upstream_state_name(enum upstream_state s);
const char *member_state_name(enum member_state s);

/*
 * The live members with the highest rendezvous weight for KEY, best first, at
 * most NR and no two in one failure domain while another domain has one.
 * Returns how many were written to OUT.
 */
size_t rank_members(const struct view *v, uint64_t key,
		    const struct member **out, size_t nr);

#endif
