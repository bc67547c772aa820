#ifndef CONFIG_MIRROR_H
#define CONFIG_MIRROR_H

/*
 * A local copy of all store entries under one prefix. Decides when to read the
 * whole prefix, when to watch it, which entries of an answer are new, and when
 * to apply a removal. Takes events and the current time and returns actions;
 * performs no I/O.
 *
 * Store readers watch the store. The other instances apply the updates that
 * store readers send them. They call the store only at start, to read a value
 * that was too long for an update, and when they lag behind and no peer
 * answers.
 *
 * The first read may be answered with content that is seconds old, since it is
 * followed by a watch from the revision of that content on, at all instances.
 *
 * While the store is unavailable, entries of live upstreams may expire.
 * Removals that are learned within MIRROR_REMOVAL_HOLD_MS of its return are
 * therefore delayed until that time is over, and canceled if the entry
 * reappears.
 *
 * A store that was restored from an older copy begins a new era. The copy is
 * then read as a whole by store readers, which send the others the differences
 * from what they had. Answers of earlier eras are ignored. These changes are
 * marked as restored; config/restored-records.h decides what to believe.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/store-call.h"
#include "config/store-position.h"

#define MIRROR_TICK_MS 50 /* interval of MIRROR_TICK */

/* Upstreams renew expired entries within 2 s; the rest allows for delivery. */
#define MIRROR_REMOVAL_HOLD_MS 2300

#define MIRROR_BACKOFF_MIN_MS 150 /* wait after the first failure */
/* Limits the number of priced calls; changes may take seconds to arrive. */
#define MIRROR_BACKOFF_MAX_MS 1000

/* A watch that lags behind a peer's revision for this long is restarted. */
#define MIRROR_WATCH_LAG_MS 300
#define MIRROR_REWATCH_INTERVAL_MS 1000 /* minimum between such restarts */

/* Lag after which peers are asked for updates, and the interval of retries. */
#define MIRROR_PEER_QUERY_MS 120
/* Lag after which the store is watched until this instance has caught up. */
#define MIRROR_STORE_FALLBACK_MS 700

/*
 * Minimum time between two reads of a single long value. Of a burst of changes
 * only the last one matters, and it is due within seconds.
 */
#define MIRROR_KEY_READ_INTERVAL_MS 600

/*
 * How often a peer is asked for such a value, each MIRROR_PEER_QUERY_MS, before
 * it is read from the store: all instances miss it at the same time.
 */
#define MIRROR_KEY_PEER_TRIES 2

enum mirror_event_kind {
	MIRROR_TICK,	       /* every MIRROR_TICK_MS */
	MIRROR_READ_DONE,      /* ANSWER to the last MIRROR_DO_READ */
	MIRROR_WATCH_ANSWER,   /* ANSWER of the watch; if failed, it ended */
	MIRROR_KEY_READ_DONE,  /* ANSWER to the last MIRROR_DO_READ_KEY */
	MIRROR_PEER_STATE,     /* PEER: state of a peer's copy */
	MIRROR_PEER_UPDATE,    /* UPDATE, sent by a store reader */
	MIRROR_NO_UPDATES,     /* a peer no longer has the updates asked for */
	MIRROR_ROLE_CHANGED,   /* IS_STORE_READER was set or cleared */
	MIRROR_PROCESS_RESUMED /* after a suspend: connections may be dead */
};

/*
 * An instance that applies updates compares its digest with that of a store
 * reader at the same revision. If they differ for this long, an update was
 * missed and the whole prefix is read.
 */
#define MIRROR_DIGEST_MISMATCH_MS 600
#define MIRROR_REPAIR_INTERVAL_MS 2000 /* minimum between two such reads */

/* State of a peer's copy of the store. */
struct mirror_peer_state {
	struct store_position position;
	uint64_t digest; /* of its entries at POSITION */
	bool watching;	 /* it watches the store itself */
};

/* An entry of the copy; VALUE is NULL if there is none. */
struct mirror_entry {
	const void *value;
	size_t len;
	uint64_t revision;
};

/*
 * In bytes. Longer values are sent as a patch against the previous value, or
 * left out, so that an update fits in a datagram.
 */
#define MIRROR_INLINE_VALUE_MAX 900

/*
 * An update: the changes between two positions of one era, sorted by revision.
 * RESTORED: the differences between the content at FROM and that of the store
 * after it was restored, at TO in a later era; it applies only at FROM.
 */
struct mirror_update {
	struct store_position from;
	struct store_position to;
	bool restored;
	uint32_t removal_hold_ms; /* delay of removals, after a store outage */
	const struct store_entry *entries; /* NULL value: it was left out */
	size_t entry_nr;
	/* from a watch: for each entry with a long value, the previous one */
	const struct mirror_entry *bases;
};

struct mirror_event {
	enum mirror_event_kind kind;
	union {
		const struct store_answer *answer;
		const struct mirror_update *update;
		const struct mirror_peer_state *peer;
		bool is_store_reader;
	};
};

/* How a change became known. */
enum mirror_source {
	MIRROR_WRITTEN,	   /* its owner made it */
	MIRROR_FIRST_READ, /* by the first read, at some time before */
	MIRROR_RESTORED	   /* by the first read of a restored store */
};

enum mirror_action_kind {
	MIRROR_DO_READ,		/* read all entries; see MAY_BE_STALE */
	MIRROR_DO_READ_KEY,	/* read KEY; see FROM_PEER */
	MIRROR_DO_QUERY_PEER,	/* ask a peer for the updates after REVISION */
	MIRROR_DO_SEND_UPDATE,	/* send UPDATE to all other instances */
	MIRROR_DO_KEEP_UPDATE,	/* keep UPDATE for peers that ask */
	MIRROR_DO_DROP_UPDATES, /* drop kept updates: a gap follows them */
	MIRROR_DO_WATCH,	/* watch from REVISION on */
	MIRROR_DO_STOP_WATCH,	/* end the watch */
	MIRROR_KEY_CHANGED,	/* KEY now has VALUE of LEN bytes */
	MIRROR_KEY_REMOVED,	/* KEY was removed */
	MIRROR_STORE_LOST,	/* the store stopped answering */
	MIRROR_STORE_REGAINED,	/* the store answers again */
	MIRROR_ERA_BEGAN,	/* the store was restored; POSITION: before */
	MIRROR_OLD_ANSWER	/* an answer of era POSITION.era was ignored */
};

/* Pointers are valid until the next step. */
struct mirror_action {
	enum mirror_action_kind kind;
	uint64_t revision;
	const char *key;
	const void *value;
	size_t len;
	struct store_position position;
	enum mirror_source source; /* of KEY_CHANGED and KEY_REMOVED */
	bool may_be_stale;	   /* of MIRROR_DO_READ: a cheap read will do */
	/* of MIRROR_DO_READ_KEY: ask a peer that has REVISION of KEY or a later
	 * one; without MIRROR_KEY_READ_DONE soon another peer or the store
	 * follows */
	bool from_peer;
	struct mirror_update update;
};

struct mirror;

struct mirror *create_mirror(uint32_t seed);
void destroy_mirror(struct mirror *m);

/* Replaces the content of OUT (of struct mirror_action) with the actions. */
void step_mirror(struct mirror *m, const struct mirror_event *ev,
		 uint64_t now_ms, GArray *out);

/* Position that the copy has reached; revision 0 before the first read. */
struct store_position mirror_position(const struct mirror *m);

/* The revision of mirror_position(). */
uint64_t mirror_revision(const struct mirror *m);

/* Hash of the keys and revisions of all entries. */
uint64_t mirror_digest(const struct mirror *m);

/* Start of the current run of successful store calls; 0 after a failure. */
uint64_t mirror_store_up_since_ms(const struct mirror *m);

/* Whether the value of a key is not here yet that changed up to the position. */
bool mirror_lacks_value(const struct mirror *m);

/*
 * True if this mirror watches the store, which answered when the watch's pace
 * says, within MIRROR_WATCH_SLACK_MS.
 */
bool mirror_is_watching(const struct mirror *m, uint64_t now_ms);

/*
 * Pace of a watch for changes that must be in force within BOUND_MS. Each poll
 * is a priced call. A watch whose path fails silently is noticed a call's
 * time-out after the wait, before bounds apply again (contactMs, which is no
 * shorter than the bound).
 */
struct watch_pace choose_watch_pace(uint32_t bound_ms);
void set_mirror_watch_pace(struct mirror *m, struct watch_pace pace);

/* A watch that answers this much later than its wait is not relied on. */
#define MIRROR_WATCH_SLACK_MS 700

/*
 * Longest time since a store that a mirror with this one's pace watches has
 * answered it.
 */
uint64_t mirror_watch_age_ms(const struct mirror *m);

/*
 * False while this mirror watches the store and the store does not answer: it
 * would not learn that what it is about to remove came back.
 */
bool mirror_hears_changes(const struct mirror *m);

/* The entry of KEY; valid until the next step. */
struct mirror_entry find_mirror_entry(const struct mirror *m, const char *key);

/* The keys of all entries (char *), in no order; the caller frees the array. */
GPtrArray *list_mirror_keys(const struct mirror *m);

/* When the store last answered; 0 if never. */
uint64_t mirror_last_answer_ms(const struct mirror *m);

#endif
