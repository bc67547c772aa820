#ifndef CONFIG_MIRROR_STATE_H
#define CONFIG_MIRROR_STATE_H

/* Private to config/mirror.c and config/mirror-update.c. */

#include "config/mirror.h"

enum mirror_state {
	MIRROR_STATE_INITIAL,	   /* nothing was read yet */
	MIRROR_STATE_READING,	   /* a read of all entries is under way */
	MIRROR_STATE_WATCHING,	   /* a watch is open */
	MIRROR_STATE_PEER_UPDATES, /* applies updates from store readers */
	MIRROR_STATE_BACKOFF	   /* waits after a failed call */
};

struct mirror_item {
	void *value;
	size_t len;
	uint64_t revision;
	uint64_t removal_due_ms; /* when a delayed removal applies; 0: none */
	bool in_last_read;	 /* used while a read is processed */
};

struct mirror {
	enum mirror_state state;
	GHashTable *items;	/* key -> struct mirror_item */
	GPtrArray *step_memory; /* frees what this step's actions point to */
	GArray *bases; /* of struct mirror_entry, for this step's update */
	GRand *rand;
	struct store_position position;
	uint64_t digest; /* of the items without a delayed removal */
	/* start of a lasting mismatch with a store reader's digest; 0: none */
	uint64_t digest_mismatch_since_ms;
	uint64_t last_repair_ms; /* last whole read after a mismatch */
	uint64_t last_answer_ms;
	uint64_t store_up_since_ms; /* 0: the last call failed */
	uint64_t store_lost_at_ms;  /* first failure of the last outage */
	uint64_t retry_at_ms;	    /* end of MIRROR_STATE_BACKOFF */
	unsigned int failures;
	struct watch_pace pace;
	bool needs_full_read;	   /* changes since POSITION were missed */
	bool is_store_reader;	   /* watches the store; else applies updates */
	bool watching_to_catch_up; /* is no store reader, but lags behind */
	struct store_position peer_position; /* highest that a peer reported */
	/* start of the lag, or the last applied update if later */
	uint64_t behind_since_ms;
	uint64_t last_query_ms;
	uint64_t last_rewatch_ms;
	char *missing_key; /* its value was left out of an update; or NULL */
	uint64_t missing_key_revision;
	uint64_t key_read_allowed_ms; /* earliest time to read MISSING_KEY */
	bool reading_key;
	unsigned int key_tries;	    /* to get the value of MISSING_KEY */
	uint64_t key_peer_until_ms; /* a peer may answer; 0: none was asked */
};

/* Appends an action of KIND; the caller fills in the rest. */
struct mirror_action *add_mirror_action(GArray *out,
					enum mirror_action_kind kind);

/* When a removal that is learned now applies; 0: at once. */
uint64_t removal_hold_until_ms(const struct mirror *m, uint64_t now_ms);

/* Records that a peer has reached POSITION. */
void note_peer_position(struct mirror *m, struct store_position position,
			uint64_t now_ms);

/*
 * Makes the copy equal to the content of the restored store, whose entries that
 * differ are in ENTRIES; deleted ones are not in the store.
 */
void apply_restored_entries(struct mirror *m, const struct store_entry *entries,
			    size_t nr, GArray *out);

/* Lets any revision of KEY replace its item. */
void void_item_revision(struct mirror *m, const char *key);

/*
 * Records the current entries of the long values that ENTRIES change, in
 * m->bases. A key that changes several times gets one only for its last change.
 */
void record_bases(struct mirror *m, const struct store_entry *entries,
		  size_t nr);

/* Stores E, unless the item with its key is at least as new. */
void update_mirror_item(struct mirror *m, const struct store_entry *e,
			GArray *out);

/* Removes KEY as of REVISION: at the time HOLD_UNTIL_MS, or at once if 0. */
void remove_mirror_item(struct mirror *m, const char *key, uint64_t revision,
			uint64_t hold_until_ms, GArray *out);

/*
 * Passes on the changes in the watch answer A: a store reader sends them to all
 * other instances, another instance stores them for peers that ask.
 */
void forward_changes(struct mirror *m, const struct store_answer *a,
		     uint64_t now_ms, GArray *out);

/* Applies the update N if it continues at the revision of M. */
void handle_update(struct mirror *m, const struct mirror_update *n,
		   uint64_t now_ms, GArray *out);

/* Applies A, the answer to MIRROR_DO_READ_KEY. */
void handle_key_read(struct mirror *m, const struct store_answer *a,
		     uint64_t now_ms, GArray *out);

#endif
