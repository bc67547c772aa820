#ifndef FLEET_BEATS_H
#define FLEET_BEATS_H

/*
 * One heartbeat number for each failure domain, kept alive by whichever of
 * its members are reached. A member of the domain raises the number when it
 * has stood still for BEAT_MS; everyone passes on the highest one seen. While
 * any path leads to any member the number grows; when it stands still the
 * domain is dead or cut off, and that costs no message for each of its
 * members.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/domains.h"

#define BEAT_MS 1000
#define DOMAIN_SILENT_MS 6000 /* its members are suspect */
#define DOMAIN_DEAD_MS 12000  /* its members are held dead */

struct beats;

/* OWN is the domain whose number this instance raises. */
struct beats *create_beats(const char *own);
void destroy_beats(struct beats *b);

/* Notes that a domain has a member. */
void add_beat_domain(struct beats *b, const char *domain, uint64_t now_ms);

/* Number I is at AT; true if that is news of a domain known here. */
bool take_beat(struct beats *b, uint32_t hash, uint64_t at, uint64_t now_ms);

/* Raises the own domain's number if it is time. */
void raise_beat(struct beats *b, uint64_t now_ms);

/* Forgets silence: this process was not there to listen. */
void restart_beats(struct beats *b, uint64_t now_ms);

size_t beat_nr(const struct beats *b);
uint32_t beat_hash(const struct beats *b, size_t i);
uint64_t beat_value(const struct beats *b, size_t i);
const char *beat_domain(const struct beats *b, size_t i);

/* How long DOMAIN has been silent; 0 for the own and for unknown ones. */
uint64_t domain_silence(const struct beats *b, const char *domain,
			uint64_t now_ms);

#endif
