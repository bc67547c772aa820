#ifndef FLEET_BEACON_H
#define FLEET_BEACON_H

/*
 * Small datagrams by which instances tell each other several times a second
 * that they live, what they have in force and how loaded they see upstreams.
 * A lost one is made good by the next; nothing waits on a connection that may
 * have gone silent. Writes the members into the view. No I/O.
 */

#include "base/wire.h"
#include "fleet/load.h"
#include "fleet/view.h"

#define BEACON_TICK_MS 50
#define BEACON_MS 150	       /* between two beacons in a small domain */
#define BEACON_PER_MEMBER_MS 8 /* on top, for each member beyond ten */
#define BEACON_SMALL_DOMAIN 10
#define BEACON_URGENT_MS 30    /* least time between two */
#define BEACON_MISSES 6	       /* beacons missed in a row: dead */
#define BEACON_SEARCH_MS 1000  /* between two to an address that is silent */
#define BEACON_FORGET_MS 30000 /* a member silent for longer is forgotten */
#define BEACON_ROLE_MS 400     /* after start: peers have been heard */
#define BEACON_ROLE_ROUNDS 2   /* the same in rounds of beacons, if longer */
#define BEACON_FAR_FACTOR 6    /* other domains hear less often ... */
#define BEACON_FAR_FLEET 20    /* ... in fleets larger than this */
#define BEACON_SETTLE_MS 1000  /* after start or a pause: peers have spoken */
#define BEACON_ROWS_MAX 110    /* upstreams in one datagram */

enum beacon_flag {
	BEACON_LEAVING = 1,
	BEACON_READY = 2,   /* has a configuration and upstreams */
	BEACON_WATCHING = 4 /* follows the store, which answers */
};

struct beacon {
	struct member member;
	uint8_t flags;
	uint64_t config_version;
	uint64_t store_revision;
	uint64_t store_digest; /* of what is held at that revision */
	GArray *rows;	       /* of struct load_row */
};

/* Writes B; the caller releases W. */
void write_beacon(struct wire_writer *w, const struct beacon *b);

/* Whether a message of another instance begins as a beacon does. */
bool is_beacon(const uint8_t *data, size_t len);

/* Reads a beacon; its rows are appended to B->rows. False if malformed. */
bool read_beacon(const void *data, size_t len, struct beacon *b);

struct beacons;

/* SELF as others are to see it; the view gets it as a member too. */
struct beacons *create_beacons(const struct member *self, struct view *view,
			       uint64_t now_ms);
void destroy_beacons(struct beacons *bs);

/* An address where an instance may be, from settings or the store. */
void add_beacon_address(struct beacons *bs, const struct endpoint *at);

/* Takes in B, received at NOW_MS. */
void take_beacon(struct beacons *bs, const struct beacon *b, uint64_t now_ms);

/* This process stood still: nobody is known to live until heard again. */
void restart_beacons(struct beacons *bs, uint64_t now_ms);

/*
 * Notes members that went silent; true if a beacon is due, sooner if there is
 * something URGENT to tell. It is to be sent to the addresses put into TO (of
 * struct endpoint).
 */
bool tick_beacons(struct beacons *bs, uint64_t now_ms, bool urgent, GArray *to);

/*
 * Whether this instance is to follow the store: it is one of its domain's
 * readers, or hears of none in its domain whom the store answers.
 */
bool wants_reading(const struct beacons *bs, uint64_t now_ms);

/* Addresses of the members of the own domain, appended to TO. */
void list_domain_addresses(const struct beacons *bs, GArray *to);

/*
 * A live member that has seen more of the store than REVISION, at random, of
 * the own domain if there is one; false if none is known.
 */
bool pick_informed(const struct beacons *bs, uint64_t revision, GRand *rand,
		   struct endpoint *at);

/* Up to NR live and ready members, in random order, for packets relayed. */
size_t pick_relays(const struct beacons *bs, GRand *rand, struct endpoint *to,
		   size_t nr);

#endif
