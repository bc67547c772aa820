#ifndef T_COOKIE_HARNESS_H
#define T_COOKIE_HARNESS_H

/* Set-up shared by the tests of cookie steering and placement. */

#include "config/catalog.h"
#include "flow/cookie.h"

#define TEST_ENTRY_TTL_MS 60000
#define TEST_IDLE_MS 15000
#define TEST_DEADLINE_MS 3000
#define TEST_ROUTE_IP 0xc6120001 /* 198.18.0.1 */
#define TEST_ROUTE_PORT 8443

/* A report of upstream NAME of service "board" in DOMAIN, with 3 slots. */
struct upstream_report make_upstream_report(const char *name,
					    const char *domain);

/* Puts VERSION in force: PORTS (PORT_NR of them) lead to service "board". */
void set_test_routes(struct catalog *c, uint64_t version, const uint16_t *ports,
		     size_t port_nr, double cold_per_s);

/*
 * Puts VERSION in force, with one route, whose requests callers may repeat if
 * REPEATABLE.
 */
void set_test_route_repeatable(struct catalog *c, uint64_t version,
			       bool repeatable);

/* One instance: all state that decides about its packets. */
struct cookie_instance {
	struct catalog *catalog;
	struct view *view;
	struct quotas *quotas;
	struct placer *placer;
	struct counters counters;
	struct cookie_steering *steering;
};

/* An instance called NAME in DOMAIN, with one route and no upstream. */
void init_cookie_instance(struct cookie_instance *in, const char *name,
			  const char *domain);
void release_cookie_instance(struct cookie_instance *in);

/* Adds or replaces R in IN's catalog at NOW_MS. */
upstream_index_t put_test_upstream(struct cookie_instance *in,
				   const struct upstream_report *r,
				   uint64_t now_ms);

/* Sets the state of another instance in IN's view. */
void set_test_member(struct cookie_instance *in, const char *name,
		     const char *domain, enum member_state state);

/* A packet of the flow from CALLER's PORT, with seq 1000. */
struct cookie_packet make_cookie_packet(uint32_t caller, uint16_t port,
					uint8_t flags, uint32_t cookie);

#endif
