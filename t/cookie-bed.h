#ifndef T_COOKIE_BED_H
#define T_COOKIE_BED_H

/* What tests of steering by cookie are set up from. */

#include "config/catalog.h"
#include "flow/cookie.h"

#define BED_TTL_MS 60000
#define BED_IDLE_MS 15000
#define BED_DEADLINE_MS 3000
#define BED_ROUTE_IP 0xc6120001 /* 198.18.0.1 */
#define BED_ROUTE_PORT 8443

/* Reports upstream NAME of service "board" in DOMAIN; slots is 3. */
struct upstream_report bed_report(const char *name, const char *domain);

/* Puts a configuration in force: PORTS (PORT_NR) lead to service "board". */
void bed_routes(struct catalog *c, uint64_t version, const uint16_t *ports,
		size_t port_nr, double cold_per_s);

/* One instance: everything that decides about its packets. */
struct bed_instance {
	struct catalog *catalog;
	struct view *view;
	struct shares *shares;
	struct placing *placing;
	struct counters counters;
	struct cookie_steering *steering;
};

/* An instance called NAME in DOMAIN, with one route and no upstream. */
void init_bed_instance(struct bed_instance *in, const char *name,
		       const char *domain);
void release_bed_instance(struct bed_instance *in);

upstream_nr_t bed_put(struct bed_instance *in, const struct upstream_report *r,
		      uint64_t now_ms);

/* Another instance that lives, as IN's view has it. */
void bed_member(struct bed_instance *in, const char *name, const char *domain,
		enum member_state state);

/* A packet of caller CALLER's flow from PORT. */
struct cookie_packet bed_packet(uint32_t caller, uint16_t port, uint8_t flags,
				uint32_t cookie);

#endif
