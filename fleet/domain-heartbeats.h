#ifndef FLEET_DOMAIN_HEARTBEATS_H
#define FLEET_DOMAIN_HEARTBEATS_H

/*
 * One heartbeat counter for each failure domain, shared by all its members. A
 * member increments its domain's counter when that has not changed for
 * DOMAIN_HEARTBEAT_MS; every instance passes on the highest value that it has
 * received. So the counter grows while any path leads to any member. When the
 * counter stops, the domain is dead or unreachable, which is detected without a
 * message for each of its members.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/domains.h"

#define DOMAIN_HEARTBEAT_MS 1000
#define DOMAIN_SUSPECT_MS 6000 /* its members become suspect */
#define DOMAIN_DEAD_MS 12000   /* its members count as dead */

struct domain_heartbeats;

/* OWN is the domain of this instance. */
struct domain_heartbeats *create_domain_heartbeats(const char *own);
void destroy_domain_heartbeats(struct domain_heartbeats *dh);

/* Adds a domain that has members; its silence counts from NOW_MS. */
void add_heartbeat_domain(struct domain_heartbeats *dh, const char *domain,
			  uint64_t now_ms);

/*
 * Updates the counter of the domain whose name has HASH to VALUE. True if the
 * domain is known and VALUE is higher than before.
 */
bool update_domain_heartbeat(struct domain_heartbeats *dh, uint32_t hash,
			     uint64_t value, uint64_t now_ms);

/* Increments the own domain's counter if it is due. */
void advance_own_heartbeat(struct domain_heartbeats *dh, uint64_t now_ms);

/* Restarts silence at NOW_MS: this process was paused and missed updates. */
void reset_domain_silence(struct domain_heartbeats *dh, uint64_t now_ms);

size_t domain_heartbeat_count(const struct domain_heartbeats *dh);
uint32_t heartbeat_domain_hash(const struct domain_heartbeats *dh, size_t i);
uint64_t domain_heartbeat_value(const struct domain_heartbeats *dh, size_t i);
const char *heartbeat_domain(const struct domain_heartbeats *dh, size_t i);

/* Time since DOMAIN's counter last grew; 0 for the own and unknown domains. */
uint64_t domain_silence_ms(const struct domain_heartbeats *dh,
			   const char *domain, uint64_t now_ms);

#endif
