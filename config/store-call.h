#ifndef CONFIG_STORE_CALL_H
#define CONFIG_STORE_CALL_H

/*
 * Calls to the platform's key-value store and their answers, as plain data.
 * Modules without I/O request calls and process answers; store/ makes the
 * calls.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#define STORE_VALUE_MAX (1000 * 1000) /* bytes of one value */
#define STORE_TXN_MAX 100	      /* operations in one transaction */

struct store_entry {
	char *key;
	void *value;
	size_t len;
	uint64_t mod_revision; /* store revision of its last change */
	uint64_t lease_id;     /* 0: it has none */
	bool deleted;	       /* in watch answers only */
};

/*
 * An answer; valid during the callback. STATUS is STATUS_OK if the store
 * answered, STATUS_UNAVAILABLE if the call had no effect, STATUS_UNKNOWN if
 * it may have had one.
 */
struct store_answer {
	struct status status;
	bool succeeded;	   /* transactions: all comparisons held */
	uint64_t revision; /* of the store when it answered */
	uint64_t era;	   /* of that revision, see config/store-position.h */
	uint64_t lease_id; /* id of a granted lease */
	struct store_entry *entries;
	size_t entry_nr;
	size_t unreadable_nr; /* further entries, which can't be read */
};

/* How often a watch asks. */
struct watch_pace {
	uint32_t wait_ms;  /* the store may hold its answer for so long */
	uint32_t pause_ms; /* after an answer with changes, to collect more */
};

/* An answer with so many events is followed by more: it needs no pause. */
#define WATCH_BACKLOG_EVENTS 100

/* Keys from KEY up to but without END; KEY alone if END is NULL. */
struct store_range {
	const char *key;
	const char *end;
	uint32_t limit; /* maximum number of entries; 0 for no limit */
	/* any replica may answer, with content that is seconds old */
	bool may_be_stale;
	struct watch_pace pace; /* of a watch that polls */
};

enum store_op_kind { STORE_PUT, STORE_DELETE, STORE_GET };

struct store_op {
	enum store_op_kind kind;
	const char *key;
	const char *end;   /* of a delete or get: end of a range, or NULL */
	const void *value; /* of a put */
	size_t len;
	uint64_t lease_id; /* id, of a put; 0 for none */
};

struct store_compare {
	const char *key;
	uint64_t mod_revision; /* 0: the key must not exist */
};

struct store_txn {
	const struct store_compare *compares;
	size_t compare_nr;
	const struct store_op *ops;
	size_t op_nr;
};

/* The next action of a change (config/publish.h, config/domain-change.h). */
enum change_kind {
	CHANGE_RANGE,  /* read RANGE, then step with the answer */
	CHANGE_COMMIT, /* commit TXN, then step with the answer */
	CHANGE_WAIT,   /* step without an answer after WAIT_MS */
	CHANGE_DONE    /* the change has ended */
};

/* Pointers are valid until the change's next step. */
struct change_action {
	enum change_kind kind;
	struct store_range range;
	struct store_txn txn;
	uint32_t wait_ms;
};

/* The entry of A with KEY, or NULL. */
const struct store_entry *find_store_entry(const struct store_answer *a,
					   const char *key);

#endif
