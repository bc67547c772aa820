#ifndef CONFIG_SERVICE_H
#define CONFIG_SERVICE_H

/*
 * One service and its upstreams, as its owner published them. A service is
 * immutable once created and shared by reference count, so that successive
 * snapshots share what did not change.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "base/wire.h"

#define CONFIG_NAME_MAX 40 /* bytes of a name, with the NUL */

enum service_kind {
	SERVICE_FLOWS,	  /* steer packets; state is in the caller's flow */
	SERVICE_REQUESTS, /* whole HTTP request in, whole answer back */
	SERVICE_KIND_NR
};

enum flow_protocol {
	FLOW_TCP = 6, /* IP protocol numbers */
	FLOW_UDP = 17
};

struct upstream {
	uint64_t id; /* hash of "service/upstream"; stable over epochs */
	char name[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX];
	struct endpoint address;
	struct endpoint health;	   /* of its health endpoints, or unset */
	uint32_t slots;		   /* requests it runs at once when warm */
	uint32_t cold_slots;	   /* the same in cold start */
	uint32_t connections;	   /* flows it holds when warm */
	uint32_t cold_connections; /* the same in cold start */
	bool draining;		   /* takes no new work */
	uint64_t joined_s; /* since 1970; 0: was there from the first publish */
	uint64_t removed_s; /* since 1970, deleted but still listed; 0: not */
};

struct service {
	unsigned int refs;
	uint64_t id;	 /* hash of the name; stable over epochs */
	uint64_t digest; /* hash of everything published about it */
	char name[CONFIG_NAME_MAX];
	enum service_kind kind;
	enum flow_protocol protocol; /* of flows; FLOW_TCP for requests */
	struct endpoint address;     /* where callers reach it */
	uint32_t deadline_ms;	     /* longest a request may take */
	uint32_t max_body;	     /* bytes of a request's body */
	uint32_t idle_ms;	     /* a flow silent for longer has ended */
	size_t upstream_nr;
	struct upstream *upstreams; /* sorted by id */
};

/* A new service called NAME with defaults and no upstream; refs is 1. */
struct service *create_service(const char *name);
struct service *ref_service(const struct service *sv);
void unref_service(struct service *sv);

/* Appends a copy of UP, whose id is filled in. */
void add_upstream(struct service *sv, const struct upstream *up);

/* Sorts the upstreams and computes the digest; the service is then final. */
void seal_service(struct service *sv);

/* The upstream with ID, or NULL. */
const struct upstream *find_upstream(const struct service *sv, uint64_t id);

/* Stable ids; both are never 0. */
uint64_t service_id(const char *service);
uint64_t upstream_id(const char *service, const char *upstream);

void encode_service(struct wire_writer *w, const struct service *sv);

/* Reads one service; NULL, and R is bad, if it is malformed. */
struct service *decode_service(struct wire_reader *r);

/* True if NAME is 1 to 39 of a-z, 0-9 and '-', starting with a letter. */
bool valid_name(const char *name);

#endif
