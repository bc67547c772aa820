#ifndef CONFIG_MIRROR_H
#define CONFIG_MIRROR_H

/*
 * Keeps a copy of the store's entries under one prefix: when to read all, when
 * to watch, what of an answer is news, and which removals to believe. Events
 * and the present time go in, actions come out; no I/O.
 *
 * Entries of upstreams that live may lapse while the store is away. Removals
 * learned within MIRROR_RETURN_MS of its return are therefore held back that
 * long, and forgotten if the entry comes back.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/store-call.h"

#define MIRROR_TICK_MS 50 /* between two ticks */

/* Lapsed entries are back within two seconds; the rest is for the way here. */
#define MIRROR_RETURN_MS 2300

#define MIRROR_BACKOFF_MS 150	  /* first wait after a failure */
#define MIRROR_BACKOFF_MAX_MS 1000 /* calls are priced, news are seconds */

/* A peer may know a newer revision this long before the watch is doubted. */
#define MIRROR_HINT_MS 300
#define MIRROR_REWATCH_MS 1000 /* least time between two such doubts */

enum mirror_event_kind {
	MIRROR_TICK,	/* every MIRROR_TICK_MS */
	MIRROR_READ,	/* ANSWER to the last MIRROR_DO_READ */
	MIRROR_WATCHED, /* ANSWER of the watch; not STATUS_OK: it ended */
	MIRROR_HINT,	/* a peer has seen REVISION of the store */
	MIRROR_WOKEN	/* this process stood still; connections may be old */
};

struct mirror_event {
	enum mirror_event_kind kind;
	union {
		const struct store_answer *answer;
		uint64_t revision;
	};
};

enum mirror_action_kind {
	MIRROR_DO_READ,	      /* read all entries */
	MIRROR_DO_WATCH,      /* watch from REVISION on */
	MIRROR_DO_STOP_WATCH, /* end the watch */
	MIRROR_CHANGED,	      /* KEY has VALUE, LEN */
	MIRROR_REMOVED,	      /* KEY is gone */
	MIRROR_LOST,	      /* the store does not answer */
	MIRROR_REGAINED	      /* it answers again */
};

/* Pointers live until the next step. */
struct mirror_action {
	enum mirror_action_kind kind;
	uint64_t revision;
	const char *key;
	const void *value;
	size_t len;
};

struct mirror;

struct mirror *create_mirror(uint32_t seed);
void destroy_mirror(struct mirror *m);

/* Replaces the content of OUT (of struct mirror_action) by what is to do. */
void step_mirror(struct mirror *m, const struct mirror_event *ev,
		 uint64_t now_ms, GArray *out);

/* The newest revision that is taken in; 0 before the first answer. */
uint64_t mirror_revision(const struct mirror *m);

/* Since when the store has answered without a failure; 0: it does not. */
uint64_t mirror_well_since(const struct mirror *m);

/* When the store last answered; 0 if never. */
uint64_t mirror_contact_ms(const struct mirror *m);

#endif
