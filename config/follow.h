#ifndef CONFIG_FOLLOW_H
#define CONFIG_FOLLOW_H

/*
 * Keeps one instance up to date with the store. Decides when to read the head
 * records, which parts to fetch, when to watch, and which records are newer
 * than those in force. Takes events and the current time and returns actions;
 * performs no I/O.
 *
 * A store reader watches the head records and also polls them every
 * FOLLOW_READER_POLL_MS, in case the watch no longer delivers. The other
 * instances get changes from their peers and poll only every
 * FOLLOW_OTHER_POLL_MS. Both add jitter to their polls and back off while the
 * store does not answer.
 *
 * Calls per second: 1000 / FOLLOW_READER_POLL_MS and one open watch for a
 * store reader, 1000 / FOLLOW_OTHER_POLL_MS for another instance, and one more
 * call for each change and each 64 of its parts.
 */

#include "config/domains.h"
#include "config/snapshot.h"
#include "config/store-call.h"

#define FOLLOW_READER_POLL_MS 2000
#define FOLLOW_OTHER_POLL_MS 120000
#define FOLLOW_FIRST_READ_MAX_MS 200 /* after start, at a random time */
#define FOLLOW_BACKOFF_MIN_MS 250    /* wait after the first failure */
#define FOLLOW_BACKOFF_MAX_MS 10000

enum follow_event_kind {
	FOLLOW_TICK,		  /* at least every FOLLOW_TICK_MS */
	FOLLOW_ANSWER,		  /* ANSWER to the last read or commit */
	FOLLOW_WATCH_ANSWER,	  /* ANSWER of the watch; if failed, it ended */
	FOLLOW_ROLE_CHANGED,	  /* IS_STORE_READER was set or cleared */
	FOLLOW_SNAPSHOT_IN_FORCE, /* SNAPSHOT was put in force here */
	FOLLOW_DOMAIN_IN_FORCE	  /* DOMAIN was put in force here */
};

#define FOLLOW_TICK_MS 100

struct follow_event {
	enum follow_event_kind kind;
	union {
		const struct store_answer *answer;
		bool is_store_reader;
		const struct snapshot *snapshot;
		const struct domain_record *domain;
	};
};

enum follow_action_kind {
	FOLLOW_READ_RANGE, /* read RANGE */
	FOLLOW_COMMIT_TXN, /* commit TXN */
	FOLLOW_WATCH,	   /* watch RANGE from REVISION on */
	FOLLOW_STOP_WATCH, /* end the watch; no FOLLOW_WATCH_ANSWER follows */
	FOLLOW_SNAPSHOT_READ, /* a newer SNAPSHOT was read: put it in force */
	FOLLOW_DOMAIN_READ    /* a newer DOMAIN record was read: likewise */
};

/* Pointers are valid until the next step. */
struct follow_action {
	enum follow_action_kind kind;
	struct store_range range;
	uint64_t revision;
	struct store_txn txn;
	const struct snapshot *snapshot;
	struct domain_record domain;
};

#define FOLLOW_ACTIONS_MAX (DOMAINS_MAX + 4)

struct follow_actions {
	struct follow_action at[FOLLOW_ACTIONS_MAX];
	size_t nr;
};

struct store_follower;

/* SEED is for jitter and must differ between instances. */
struct store_follower *create_store_follower(uint32_t seed);
void destroy_store_follower(struct store_follower *f);

/* Replaces the content of OUT with the actions. */
void step_store_follower(struct store_follower *f,
			 const struct follow_event *ev, uint64_t now_ms,
			 struct follow_actions *out);

/* When the store last answered, on the clock of NOW_MS; 0 if never. */
uint64_t follow_last_answer_ms(const struct store_follower *f);

/* Number of store values that failed to decode. */
uint64_t follow_corrupt_count(const struct store_follower *f);

#endif
