#ifndef T_EDGE_HARNESS_H
#define T_EDGE_HARNESS_H

/* An instance that applies what a store has, without sockets. */

#include "net/edge-state.h"
#include "t/cookie-harness.h"

#define TEST_HEARTBEAT_MS 1000
#define TEST_LAPSE_MS (3 * TEST_HEARTBEAT_MS + MIRROR_REMOVAL_HOLD_MS)

#define TEST_ENTRY(service, addr, zone, born, seq)                             \
	"{\"service\":\"" service "\",\"addr\":\"" addr "\",\"zone\":\"" zone  \
	"\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","               \
	"\"warmupLeftMs\":0,\"seq\":" seq ",\"born\":" born "}"

struct edge_instance {
	struct cookie_instance cookie;
	struct edge *e;
	uint64_t revision; /* of the store */
};

/* An instance with one route to "board", which has read an empty store. */
void init_edge_instance(struct edge_instance *ei);
void release_edge_instance(struct edge_instance *ei);

/* Passes EV to the mirror and applies the changes that follow from it. */
void step_edge_instance(struct edge_instance *ei,
			const struct mirror_event *ev);

/* The store answers to a read or watch (KIND) of ERA with the NR entries SE. */
void answer_edge_instance(struct edge_instance *ei, enum mirror_event_kind kind,
			  uint64_t era, struct store_entry *se, size_t nr);

/* Writes VALUE at KEY, or removes KEY if VALUE is NULL. */
void write_store_key(struct edge_instance *ei, const char *key,
		     const char *value);

/* The same for the entry of upstream NAME. */
void write_entry(struct edge_instance *ei, const char *name, const char *value);

/*
 * Puts VERSION in force: a route to SERVICE, of PORT, and no other service; none
 * at all if SERVICE is NULL.
 */
void write_configuration(struct edge_instance *ei, uint64_t version,
			 uint16_t port, const char *service);

/* Where packets of open flows of the upstream with ID go; "none". */
const char *open_flow_address(const struct edge_instance *ei, uint64_t id);

/* Whether the upstream that owns the cookie of ID may get new flows. */
bool takes_new_flows(const struct edge_instance *ei, uint64_t id);

#endif
