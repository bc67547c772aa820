#ifndef CONFIG_CATALOG_H
#define CONFIG_CATALOG_H

/*
 * The data behind steering by cookie: the routes in force, the upstreams that
 * registered in the platform's store, and the failure domains taken out of
 * service. Filled from the store (platform/records.h), read by flow/. No I/O.
 *
 * An upstream whose entry was removed, or whose service is no longer configured,
 * is kept for as long as flows to it may be open. Routes are replaced as a whole
 * and never by an older version.
 *
 * An entry names an upstream only if the configuration names its service. What
 * is decided about one depends on the configuration and the entries as they are
 * now, not on the order in which they were read, so that all instances decide
 * alike, also those that have just started.
 *
 * Ids of two upstreams may give the same cookie. The one that started first owns
 * it, and the other ones get no flows until its flows are over. When that order
 * changes, since the first one started again, the owner keeps the cookie for as
 * long as flows to it may be open, and none of them gets new ones.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/status.h"

/*
 * Indexes in the catalog's tables. They stay valid, except that the index of an
 * upstream may be reused after expire_catalog() has dropped that upstream.
 */
typedef uint16_t upstream_index_t;
typedef uint16_t service_index_t;
typedef uint16_t domain_index_t;
#define CATALOG_NONE UINT16_MAX

#define CATALOG_NAME_MAX 201 /* bytes, with the NUL; a key has at most 200 */

/* An upstream's own entry in the store, decoded. */
struct upstream_report {
	char name[CATALOG_NAME_MAX];
	uint64_t id; /* sent before each packet to it */
	char service[CATALOG_NAME_MAX];
	char domain[CATALOG_NAME_MAX];
	struct endpoint address;
	uint32_t slots;		/* requests it runs at once */
	bool draining;		/* takes no new flows */
	uint32_t cold_left_ms;	/* remaining time of its cold start */
	uint64_t started_at_ms; /* Unix time, by its own clock; 0: unknown */
	uint64_t write_count;	/* its writings since then, as it counts */
};

struct catalog_upstream {
	struct upstream_report report;
	/* the one before REPORT, of another start or place; id 0: none */
	struct upstream_report replaced;
	uint32_t cookie;		 /* identifies it in packets; never 0 */
	upstream_index_t next_of_cookie; /* another one with COOKIE, or NONE */
	service_index_t service;
	domain_index_t domain;
	bool has_entry;	  /* its entry exists and names it */
	bool overwritten; /* lately, by another writer: it may come back */
	bool ambiguous;	  /* another upstream owns its cookie */
	/* has its entry and its cookie, and its service is configured */
	bool listed;
	uint64_t owner_since_ms; /* of its cookie; 0: is not */
	/* another upstream should own the cookie since then; 0: does not */
	uint64_t yields_since_ms;
	uint64_t revision;	 /* store revision of its entry */
	uint64_t reported_at_ms; /* when REPORT was received */
	uint64_t cold_until_ms;	 /* end of its cold start */
	uint64_t removed_at_ms;	 /* when its entry was removed; 0: listed */
	uint64_t disputed_at_ms; /* see dispute_upstream_report(); 0: is not */
	uint64_t overwritten_ms; /* last entry of another writer; 0: none */
	uint32_t restart_count;	 /* restarts of its process that were seen */
};

struct catalog_service {
	char name[CATALOG_NAME_MAX];
	char health_path[CATALOG_NAME_MAX];
	uint32_t cold_ms;	 /* length of an upstream's cold start */
	double cold_flows_per_s; /* limit of new flows/s to a cold upstream */
	uint32_t max_flows;	 /* limit of open flows to one upstream */
	uint64_t version;	 /* the last configuration that names it */
	uint64_t since_version; /* first of those without a gap up to VERSION */
	uint64_t left_at_ms;	/* a configuration left it out; 0: did not */
	uint32_t lowest_priority;   /* of its routes: the largest number */
	uint32_t longest_target_ms; /* of its routes, to answer a request */
	GArray *upstreams;	    /* of upstream_index_t */
};

/* A service that new flows of a route go to, and its weight. */
struct route_target {
	service_index_t service;
	uint32_t weight;
};

/* Maps one address that callers use to the services that get its flows. */
struct catalog_route {
	uint32_t ip; /* host order */
	uint16_t port;
	uint32_t deadline_ms; /* of a request */
	uint32_t slo_ms;      /* target for the time to answer a request */
	uint32_t priority;    /* 0 is highest */
	bool repeatable;      /* callers resend a request after any loss */
	uint32_t target_nr;
	struct route_target *targets;
};

struct catalog;

struct catalog *create_catalog(uint64_t flow_ttl_ms);
void destroy_catalog(struct catalog *c);

/* Index of NAME, added on first use; CATALOG_NONE if the table is full. */
service_index_t intern_service(struct catalog *c, const char *name);
domain_index_t intern_domain(struct catalog *c, const char *name);

/*
 * Replaces the routes. Configured from now on are the services that ROUTES lead
 * to and SERVICES (of service_index_t, or NULL). Takes over ROUTES (of struct
 * catalog_route, whose targets are freed with g_free). A flow without packets
 * for IDLE_MS counts as ended. Returns false and changes nothing if VERSION is
 * not above the one in force.
 */
bool set_catalog_routes(struct catalog *c, uint64_t version, GArray *routes,
			const GArray *services, uint32_t idle_ms,
			uint64_t now_ms);

/* Sets the settings of one service. */
void set_catalog_service(struct catalog *c, service_index_t nr,
			 const struct catalog_service *settings);

/*
 * True if SERVICE is configured, but was not in all versions from VERSION on.
 * Entries of upstreams that named none before do so now.
 */
bool is_new_service(const struct catalog *c, const char *service,
		    uint64_t version);

/* True if there is such a service. */
bool has_new_services(const struct catalog *c, uint64_t version);

/*
 * Whether R names an upstream: its service is configured, or was until so lately
 * that flows to its upstreams may be open.
 */
bool names_upstream(const struct catalog *c, const struct upstream_report *r,
		    uint64_t now_ms);

/* True if the report in force of the upstream NAME is of REVISION. */
bool is_report_in_force(const struct catalog *c, const char *name,
			uint64_t revision);

/*
 * Notes that the entry NAME, with ID in its key, names no upstream (any more).
 * Unlists the upstream that it named. CATALOG_NONE if that was not listed.
 */
upstream_index_t ignore_upstream_entry(struct catalog *c, const char *name,
				       uint64_t id, uint64_t now_ms);

/*
 * True if another writer lately left an entry with the cookie of upstream NR:
 * what a peer says of that cookie may be about the other one.
 */
bool is_contested(const struct catalog *c, upstream_index_t nr,
		  uint64_t now_ms);

/* Adds or updates an upstream; CATALOG_NONE if a table is full. */
upstream_index_t update_catalog_upstream(struct catalog *c,
					 const struct upstream_report *r,
					 uint64_t revision, uint64_t now_ms);

/*
 * True if R gives a known upstream another address, service or domain although
 * it did not start anew: such a report may be from another writer, and open
 * flows stay where they are. The upstream is then unlisted. A report that its
 * owner has not replaced for HOLD_MS is no longer disputed, nor is a return to
 * what was reported before.
 */
bool dispute_upstream_report(struct catalog *c, const struct upstream_report *r,
			     uint64_t hold_ms, uint64_t now_ms);

/* Appends the names (char *) of upstreams disputed for HOLD_MS to NAMES. */
void list_settled_disputes(const struct catalog *c, uint64_t hold_ms,
			   uint64_t now_ms, GPtrArray *names);

/*
 * Unlists the upstream NAME, whose entry was removed. CATALOG_NONE if it had
 * none.
 */
upstream_index_t remove_catalog_upstream(struct catalog *c, const char *name,
					 uint64_t now_ms);

/*
 * Takes DOMAIN out of service or back. Upstreams of a domain that comes back
 * may have restarted without a report yet: they count as cold for
 * ASSUME_COLD_MS, for as long as a cold start of their service lasts if that is
 * longer, or until their next report.
 */
void set_catalog_domain_out(struct catalog *c, const char *domain, bool out,
			    uint64_t assume_cold_ms, uint64_t now_ms);

/* The longest lifetime of a flow, ms. */
void set_catalog_flow_ttl(struct catalog *c, uint64_t flow_ttl_ms);

/*
 * Drops upstreams that were removed, or whose service was left out of the
 * configuration, so long ago that no flow can be open.
 */
void expire_catalog(struct catalog *c, uint64_t now_ms);

/*
 * Whether R has the lowest priority of all routes to SERVICE, so that its
 * flows yield to others. This compares with the lowest and not the highest
 * priority, since the routes of highest priority may have no traffic at all.
 */
bool is_lowest_priority(const struct catalog *c, const struct catalog_route *r,
			service_index_t service);

/* Version of the routes in force; 0: none yet. */
uint64_t catalog_version(const struct catalog *c);
uint32_t catalog_idle_ms(const struct catalog *c);
/* As set by set_catalog_flow_ttl(). */
uint64_t catalog_flow_ttl_ms(const struct catalog *c);

const struct catalog_route *find_catalog_route(const struct catalog *c,
					       uint32_t ip, uint16_t port);
size_t catalog_route_count(const struct catalog *c);

/* The upstream that COOKIE names; CATALOG_NONE if unknown. */
upstream_index_t find_upstream_by_cookie(const struct catalog *c,
					 uint32_t cookie);

const struct catalog_upstream *get_upstream(const struct catalog *c,
					    upstream_index_t nr);
size_t catalog_upstream_count(const struct catalog *c);
const struct catalog_service *get_service(const struct catalog *c,
					  service_index_t nr);
size_t catalog_service_count(const struct catalog *c);
size_t catalog_domain_count(const struct catalog *c);
const char *domain_name(const struct catalog *c, domain_index_t nr);
bool is_catalog_domain_out(const struct catalog *c, domain_index_t nr);

/* True if NR may get new flows; load and health are not considered. */
bool accepts_flows(const struct catalog *c, upstream_index_t nr);

/* True if NR is in cold start. */
bool is_cold_upstream(const struct catalog *c, upstream_index_t nr,
		      uint64_t now_ms);

/* The cookie that identifies the upstream with ID in packets. */
uint32_t make_cookie(uint64_t id);

#endif
