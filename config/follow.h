#ifndef CONFIG_FOLLOW_H
#define CONFIG_FOLLOW_H

/*
 * Follows the store for one instance: when to read it, what to fetch, when to
 * watch, and what of it is news. Events and the present time go in, actions
 * come out.
 *
 * A reader watches the heads and reads them again every FOLLOW_READ_MS, in
 * case the watch has gone silent. The other instances have the news from
 * their peers and read only every FOLLOW_RARE_MS. Both spread their calls by
 * jitter and back off from a store that does not answer.
 *
 * Cost in calls a second: a reader 1000 / FOLLOW_READ_MS, and one waiting
 * watch; another instance 1000 / FOLLOW_RARE_MS; one call for each change and
 * 64 parts.
 */

#include "config/domains.h"
#include "config/snapshot.h"
#include "config/store-call.h"

#define FOLLOW_READ_MS 2000
#define FOLLOW_RARE_MS 120000
#define FOLLOW_FIRST_MS 200   /* the first read comes within */
#define FOLLOW_BACKOFF_MS 250 /* first wait after a failure */
#define FOLLOW_BACKOFF_MAX_MS 10000

enum follow_event_kind {
	FOLLOW_TICK,	 /* at least every FOLLOW_TICK_MS */
	FOLLOW_ANSWER,	 /* ANSWER to the last FOLLOW_RANGE or FOLLOW_COMMIT */
	FOLLOW_WATCHED,	 /* ANSWER that the watch delivered; failed: it ended */
	FOLLOW_ROLE,	 /* this instance is a reader or not, by READER */
	FOLLOW_IN_FORCE, /* SNAPSHOT is in force here, whoever brought it */
	FOLLOW_RECORD	 /* DOMAIN is in force here, whoever brought it */
};

#define FOLLOW_TICK_MS 100

struct follow_event {
	enum follow_event_kind kind;
	union {
		const struct store_answer *answer;
		bool reader;
		const struct snapshot *snapshot;
		const struct domain_record *domain;
	};
};

enum follow_action_kind {
	FOLLOW_RANGE,	   /* read RANGE */
	FOLLOW_COMMIT,	   /* commit TXN */
	FOLLOW_WATCH,	   /* watch RANGE from REVISION on */
	FOLLOW_STOP_WATCH, /* end the watch, without an event */
	FOLLOW_SNAPSHOT,   /* SNAPSHOT was read */
	FOLLOW_DOMAIN	   /* DOMAIN was read */
};

/* Pointers live until the next step. */
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

struct follow;

/* SEED is for the jitter; it differs between instances. */
struct follow *create_follow(uint32_t seed);
void destroy_follow(struct follow *f);

/* Replaces the content of OUT by what is to be done. */
void step_follow(struct follow *f, const struct follow_event *ev,
		 uint64_t now_ms, struct follow_actions *out);

/* When the store last answered, by NOW_MS; 0 if never. */
uint64_t follow_contact_ms(const struct follow *f);

/* Values that failed to decode. */
uint64_t follow_corrupt_nr(const struct follow *f);

#endif
