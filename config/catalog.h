#ifndef CONFIG_CATALOG_H
#define CONFIG_CATALOG_H

/*
 * What steering by cookie knows of the world: the routes in force, every
 * upstream that announced itself, and the failure domains taken out. Written
 * from the platform's store (platform/records.h), read by flow/. No I/O.
 *
 * An upstream that left stays known for as long as flows to it may be open.
 * Routes are replaced as a whole and never by an older version.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/status.h"

/* Small handles into the catalog's tables; they stay valid while it lives. */
typedef uint16_t upstream_nr_t;
typedef uint16_t service_nr_t;
typedef uint16_t domain_nr_t;
#define CATALOG_NONE UINT16_MAX

#define CATALOG_NAME_MAX 201 /* bytes, with the NUL; a key has at most 200 */

/* What an upstream says of itself, as decoded from its entry. */
struct upstream_report {
	char name[CATALOG_NAME_MAX];
	uint64_t id; /* written before each packet to it */
	char service[CATALOG_NAME_MAX];
	char domain[CATALOG_NAME_MAX];
	struct endpoint address;
	uint32_t slots;	   /* requests it runs at once */
	bool draining;	   /* takes no new flows */
	uint32_t cold_ms;  /* how much longer it stays cold */
	uint64_t start_ms; /* since 1970, by its own clock; 0: unknown */
};

struct catalog_upstream {
	struct upstream_report report;
	uint32_t cookie; /* names it in packets; never 0 */
	service_nr_t service;
	domain_nr_t domain;
	bool listed;		/* its entry exists */
	bool ambiguous;		/* another upstream has the same cookie */
	uint64_t revision;	/* of the store, of its entry */
	uint64_t learned_ms;	/* when that came */
	uint64_t cold_until_ms; /* cold before */
	uint64_t gone_ms;	/* when its entry went; 0: listed */
	uint32_t starts;	/* grows when it was started anew */
};

struct catalog_service {
	char name[CATALOG_NAME_MAX];
	char health_path[CATALOG_NAME_MAX];
	uint32_t cold_ms;	/* an upstream is cold so long after start */
	double cold_per_s;	/* new flows a second that a cold one bears */
	uint32_t connections;	/* flows that one upstream holds */
	bool listed;		/* in the routes in force */
	uint32_t last_priority; /* of its least urgent routes */
	GArray *upstreams;	/* of upstream_nr_t */
};

/* One of the services that new flows of a route go to. */
struct route_share {
	service_nr_t service;
	uint32_t weight;
};

/* Where flows to one address of callers go. */
struct catalog_route {
	uint32_t ip; /* host order */
	uint16_t port;
	uint32_t deadline_ms; /* of a request */
	uint32_t aim_ms;      /* a request should be answered within */
	uint32_t priority;    /* 0 is highest */
	bool repeatable;      /* callers send a request again after any loss */
	uint32_t share_nr;
	struct route_share *shares;
};

struct catalog;

struct catalog *create_catalog(uint64_t flow_ttl_ms);
void destroy_catalog(struct catalog *c);

/* Handles of names, made on first use; CATALOG_NONE if the table is full. */
service_nr_t intern_service(struct catalog *c, const char *name);
domain_nr_t intern_domain(struct catalog *c, const char *name);

/*
 * Replaces the routes and the services' settings. Takes over ROUTES (of
 * struct catalog_route, whose shares are freed with g_free). False, and
 * nothing changes, if VERSION is not above the one in force.
 */
bool set_catalog_routes(struct catalog *c, uint64_t version, GArray *routes,
			uint32_t idle_ms);

/* Settings of one service; those not set again after routes are unlisted. */
void set_catalog_service(struct catalog *c, service_nr_t nr,
			 const struct catalog_service *settings);

/* Takes in an entry; its handle, or CATALOG_NONE if the table is full. */
upstream_nr_t put_catalog_upstream(struct catalog *c,
				   const struct upstream_report *r,
				   uint64_t revision, uint64_t now_ms);

/* The entry called NAME is gone or names no upstream. */
upstream_nr_t remove_catalog_upstream(struct catalog *c, const char *name,
				      uint64_t now_ms);

/*
 * Takes DOMAIN out or back. What comes back may be cold and not have said so
 * yet: it counts as cold until DOUBT_MS have passed or it reports again.
 */
void set_catalog_domain_out(struct catalog *c, const char *domain, bool out,
			    uint64_t doubt_ms, uint64_t now_ms);

/* Forgets upstreams that left so long ago that no flow can be open. */
void expire_catalog(struct catalog *c, uint64_t now_ms);

/*
 * Whether R gives way to others at SERVICE: no route there is less urgent.
 * Routes that see no traffic may be the most urgent of all, which must not
 * push those aside that do.
 */
bool gives_way(const struct catalog *c, const struct catalog_route *r,
	       service_nr_t service);

/* Version of the routes in force; 0: none yet. */
uint64_t catalog_version(const struct catalog *c);
uint32_t catalog_idle_ms(const struct catalog *c);

const struct catalog_route *find_catalog_route(const struct catalog *c,
					       uint32_t ip, uint16_t port);
size_t catalog_route_nr(const struct catalog *c);

/* The upstream that COOKIE names; CATALOG_NONE if unknown. */
upstream_nr_t find_by_cookie(const struct catalog *c, uint32_t cookie);

const struct catalog_upstream *get_upstream(const struct catalog *c,
					    upstream_nr_t nr);
size_t catalog_upstream_nr(const struct catalog *c);
const struct catalog_service *get_service(const struct catalog *c,
					  service_nr_t nr);
size_t catalog_service_nr(const struct catalog *c);
size_t catalog_domain_nr(const struct catalog *c);
const char *domain_name(const struct catalog *c, domain_nr_t nr);
bool is_catalog_domain_out(const struct catalog *c, domain_nr_t nr);

/* True if NR may get new flows, whatever its load and health. */
bool accepts_flows(const struct catalog *c, upstream_nr_t nr);

/* True if NR is in cold start. */
bool is_cold_upstream(const struct catalog *c, upstream_nr_t nr,
		      uint64_t now_ms);

/* The number by which packets name the upstream with ID. */
uint32_t make_cookie(uint64_t id);

#endif
