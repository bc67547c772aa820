#ifndef CONFIG_SERVICE_H
#define CONFIG_SERVICE_H

/*
 * One service and its upstreams, as its owner published them. A service is
 * immutable once sealed and has a reference count, so that successive snapshots
 * share the services that did not change.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/status.h"
#include "base/wire.h"

#define CONFIG_NAME_MAX 40 /* bytes of a name, with the NUL */

enum service_kind {
	SERVICE_FLOWS,	  /* forwards the packets of callers' flows */
	SERVICE_REQUESTS, /* forwards whole HTTP requests and answers */
	SERVICE_KIND_NR
};

enum flow_protocol {
	FLOW_TCP = 6, /* IP protocol numbers */
	FLOW_UDP = 17
};

struct upstream {
	uint64_t id; /* hash of both names; the same in all epochs */
	char name[CONFIG_NAME_MAX];
	char domain[CONFIG_NAME_MAX];
	struct endpoint address;
	struct endpoint health;	   /* of its health endpoints, or unset */
	uint32_t slots;		   /* concurrent requests when warm */
	uint32_t cold_slots;	   /* concurrent requests in cold start */
	uint32_t connections;	   /* open flows when warm */
	uint32_t cold_connections; /* open flows in cold start */
	bool draining;		   /* gets no new requests or flows */
	uint64_t joined_at_s; /* Unix time; 0: in the service's first publish */
	uint64_t
		removed_at_s; /* Unix time: deleted, but may have flows; or 0 */
};

struct service {
	unsigned int refs;
	uint64_t id;	 /* hash of the name; the same in all epochs */
	uint64_t digest; /* hash of the whole encoded service */
	char name[CONFIG_NAME_MAX];
	enum service_kind kind;
	enum flow_protocol protocol; /* of flows; FLOW_TCP for requests */
	struct endpoint address;     /* that callers use */
	uint32_t deadline_ms;	     /* maximum duration of a request */
	uint32_t max_body_bytes;     /* bytes of a request's body */
	uint32_t idle_ms; /* a flow without packets for this long has ended */
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

/* Ids, hashed from the names; never 0. */
uint64_t service_id(const char *service);
uint64_t upstream_id(const char *service, const char *upstream);

void encode_service(struct wire_writer *w, const struct service *sv);

/* Decodes one service; if malformed, returns NULL and marks R so. */
struct service *decode_service(struct wire_reader *r);

/* True if NAME is 1 to 39 of a-z, 0-9 and '-', starting with a letter. */
bool valid_name(const char *name);

#endif
