#ifndef CONFIG_MIRROR_STATE_H
#define CONFIG_MIRROR_STATE_H

/* What config/mirror.c and config/mirror-news.c share; for no one else. */

#include "config/mirror.h"

enum mirror_state {
	STATE_START,	/* nothing was asked yet */
	STATE_READING,	/* a read of all entries is under way */
	STATE_WATCHING, /* a watch stands */
	STATE_TAKING,	/* news come from peers */
	STATE_WAITING	/* after a failure */
};

struct item {
	void *value;
	size_t len;
	uint64_t revision;
	uint64_t gone_ms; /* removal held back until; 0: it is there */
	bool seen;	  /* in the read that is being taken in */
};

struct mirror {
	enum mirror_state state;
	GHashTable *items; /* key -> struct item */
	GPtrArray *dead;   /* keys and values that this step's actions name */
	GArray *bases;	   /* of struct mirror_base, of the news of this step */
	GRand *rand;
	uint64_t revision;
	uint64_t digest;      /* of the items that are not gone */
	uint64_t differs_ms;  /* since when a reader's digest differs */
	uint64_t repaired_ms; /* when that was last mended */
	uint64_t contact_ms;
	uint64_t well_since; /* 0: the store does not answer */
	uint64_t lost_ms;    /* first failure of the last outage */
	uint64_t retry_ms;   /* end of STATE_WAITING */
	unsigned int failures;
	bool read_next;	   /* the watch cannot go on from the revision */
	bool reader;	   /* watches; else takes news */
	bool helping_self; /* no reader, but behind: watches until it is not */
	uint64_t hint;	   /* newest revision known to a peer */
	uint64_t hint_ms;
	uint64_t asked_ms;
	uint64_t rewatch_ms;
	char *wanted; /* key whose value was left out; NULL: none */
	uint64_t wanted_revision;
	uint64_t wanted_ms; /* when it may be read */
	bool reading_key;
};

/* Appends an action of KIND, to be filled in. */
struct mirror_action *act_mirror(GArray *out, enum mirror_action_kind kind);

/* Until when a removal learned now is held back; 0: believe it. */
uint64_t hold_until(const struct mirror *m, uint64_t now_ms);

/* A peer has seen REVISION. */
void note_newer(struct mirror *m, uint64_t revision, uint64_t now_ms);

void change_item(struct mirror *m, const struct store_entry *e, GArray *out);

/* Removes KEY as of REVISION, at HOLD_MS if that is not 0. */
void remove_item(struct mirror *m, const char *key, uint64_t revision,
		 uint64_t hold_ms, GArray *out);

/* Passes the changes in A, of the watch, on to others. */
void tell_changes(struct mirror *m, const struct store_answer *a,
		  uint64_t now_ms, GArray *out);

void take_news(struct mirror *m, const struct mirror_news *n, uint64_t now_ms,
	       GArray *out);

/* Takes in A, the answer to MIRROR_DO_READ_KEY. */
void take_key(struct mirror *m, const struct store_answer *a, uint64_t now_ms,
	      GArray *out);

#endif
