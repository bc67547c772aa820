#ifndef CONFIG_MIRROR_H
#define CONFIG_MIRROR_H

/*
 * Keeps a copy of the store's entries under one prefix: when to read all, when
 * to watch, what of an answer is news, and which removals to believe. Events
 * and the present time go in, actions come out; no I/O.
 *
 * A reader watches the store. The others take from readers, as news, what
 * those saw, and ask the store only when they start, when a value is too long
 * to be passed on, or when they are behind and no peer can help.
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

#define MIRROR_BACKOFF_MS 150	   /* first wait after a failure */
#define MIRROR_BACKOFF_MAX_MS 1000 /* calls are priced, news are seconds */

/* A peer may know a newer revision this long before the watch is doubted. */
#define MIRROR_HINT_MS 300
#define MIRROR_REWATCH_MS 1000 /* least time between two such doubts */

/* One that takes news is behind so long before it asks peers, and again. */
#define MIRROR_ASK_MS 120
#define MIRROR_HELP_MS 700 /* and before it asks the store */

/*
 * Least time between two reads of one long value: in a series of changes only
 * the last counts, and the bound for it is seconds.
 */
#define MIRROR_KEY_MS 600

enum mirror_event_kind {
	MIRROR_TICK,	 /* every MIRROR_TICK_MS */
	MIRROR_READ,	 /* ANSWER to the last MIRROR_DO_READ */
	MIRROR_WATCHED,	 /* ANSWER of the watch; not STATUS_OK: it ended */
	MIRROR_KEY_READ, /* ANSWER to the last MIRROR_DO_READ_KEY */
	MIRROR_HINT,	 /* a peer has seen REVISION of the store */
	MIRROR_NEWS,	 /* a reader passed NEWS on */
	MIRROR_NO_NEWS,	 /* a peer no longer knows what was asked for */
	MIRROR_ROLE,	 /* this instance is a READER or not */
	MIRROR_WOKEN	 /* this process stood still; connections may be old */
};

/*
 * One that takes news compares what it holds with a reader at the same
 * revision. A difference that lasts so long is mended by a whole read, since
 * something was missed.
 */
#define MIRROR_DIFFER_MS 600
#define MIRROR_REPAIR_MS 2000 /* least time between two such reads */

/* What a peer has seen of the store. */
struct mirror_hint {
	uint64_t revision;
	uint64_t digest; /* of what it holds at that revision */
	bool watching;	 /* it reads the store itself */
};

/* A value that others hold, too; NULL if there is none. */
struct mirror_base {
	const void *value;
	size_t len;
	uint64_t revision;
};

/* Values longer than this are told as a difference, or left out. */
#define MIRROR_LONG_VALUE 900 /* bytes, so that a datagram holds a change */

/* Changes that lead from revision FROM to TO, in order of their revisions. */
struct mirror_news {
	uint64_t from;
	uint64_t to;
	uint32_t hold_ms; /* removals may be lapses: hold them back so long */
	const struct store_entry *entries; /* a value of NULL was left out */
	size_t entry_nr;
	/* of a reader's: what was held before each entry with a long value */
	const struct mirror_base *bases;
};

struct mirror_event {
	enum mirror_event_kind kind;
	union {
		const struct store_answer *answer;
		const struct mirror_news *news;
		const struct mirror_hint *hint;
		bool reader;
	};
};

enum mirror_action_kind {
	MIRROR_DO_READ,	      /* read all entries */
	MIRROR_DO_READ_KEY,   /* read KEY */
	MIRROR_DO_ASK,	      /* ask a peer what followed REVISION */
	MIRROR_TELL,	      /* pass NEWS on */
	MIRROR_KEEP,	      /* keep NEWS for those that ask */
	MIRROR_TELL_NONE,     /* news before this point cannot be passed on */
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
	struct mirror_news news;
};

struct mirror;

struct mirror *create_mirror(uint32_t seed);
void destroy_mirror(struct mirror *m);

/* Replaces the content of OUT (of struct mirror_action) by what is to do. */
void step_mirror(struct mirror *m, const struct mirror_event *ev,
		 uint64_t now_ms, GArray *out);

/* The newest revision that is taken in; 0 before the first answer. */
uint64_t mirror_revision(const struct mirror *m);

/* Hash of the keys and revisions of all entries held. */
uint64_t mirror_digest(const struct mirror *m);

/* Since when the store has answered without a failure; 0: it does not. */
uint64_t mirror_well_since(const struct mirror *m);

/* True if this mirror watches the store and the store has answered lately. */
bool mirror_is_watching(const struct mirror *m, uint64_t now_ms);
#define MIRROR_CONTACT_MS 2700 /* a watch answers every two seconds */

/* What is held of KEY, until the next step; its value is NULL if nothing is. */
struct mirror_base mirror_value(const struct mirror *m, const char *key);

/* When the store last answered; 0 if never. */
uint64_t mirror_contact_ms(const struct mirror *m);

#endif
