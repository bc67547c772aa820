#ifndef CONFIG_RESTORED_RECORDS_H
#define CONFIG_RESTORED_RECORDS_H

/*
 * Decides which records of a restored store to believe. A store that comes back
 * from an older copy lacks what was written last, also removals; operators and
 * upstreams write their records again in their own time. Until then what an
 * instance knows from before goes before the copy:
 *
 * | record            | known          | in the copy | what is in force        |
 * | domain out        | out            | missing     | out, for operator_ms    |
 * | domain out        | taken back     | present     | out: the safe side      |
 * | upstream          | left, or never | present     | not listed, until it    |
 * |                   | seen           |             | writes, for lapse_ms    |
 * | upstream          | newer writing  | older one   | the newer one, until    |
 * |                   |                |             | it writes               |
 * | upstream          | listed         | missing     | listed, for upstream_ms |
 *
 * The configuration needs no rule: its version decides, and a lower one than
 * that in force is refused in any case.
 *
 * An upstream that this instance never saw was not in the store right before,
 * or has come since. If it is gone, its entry lapses within lapse_ms.
 *
 * Writings of an upstream are ordered by the start of its process and then by
 * its own count. A change that was made after the restore is always believed.
 * Works on keys and orders only. No I/O.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/mirror.h"

/* Removals are remembered for this long, longer than copies are old. */
#define RESTORED_REMOVAL_MEMORY_MS 120000
#define RESTORED_REMOVALS_MAX 20000 /* remembered at once */

enum record_class {
	RECORD_CLASS_OTHER, /* believed as it is */
	RECORD_CLASS_DOMAIN_OUT,
	RECORD_CLASS_UPSTREAM
};

/* Orders the writings of an upstream; the higher is newer. */
struct record_order {
	uint64_t started_at_ms; /* start of its process */
	uint64_t write_count;	/* since then */
};

enum record_verdict {
	RECORD_APPLY,
	RECORD_HOLD /* what was known before stays in force */
};

struct restored_records;

struct restored_records *create_restored_records(void);
void destroy_restored_records(struct restored_records *rr);

/* How long records are held after a restore, ms. */
struct record_hold_times {
	uint64_t operator_ms; /* operators write again what the store lacks */
	uint64_t upstream_ms; /* upstreams do */
	uint64_t lapse_ms;    /* entries of upstreams that left lapse */
};

void set_record_hold_times(struct restored_records *rr,
			   const struct record_hold_times *times);

/*
 * The store was restored once more: what it lacked may have been written and
 * lost again, so that holds begin anew.
 */
void restart_record_holds(struct restored_records *rr, uint64_t now_ms);

/* Decides about KEY, which was written (PRESENT, with ORDER) or removed. */
enum record_verdict admit_record(struct restored_records *rr, const char *key,
				 enum record_class cls, bool present,
				 struct record_order order,
				 enum mirror_source source, uint64_t now_ms);

/*
 * Appends the keys (char *) of the records whose hold has ended to KEYS: what
 * the store has now, or that it has nothing, goes into force as if it had just
 * been written. The caller frees them.
 */
void end_record_holds(struct restored_records *rr, uint64_t now_ms,
		      GPtrArray *keys);

/*
 * A record that this instance does not take from the restored store, as told to
 * instances that started after the restore.
 */
struct held_record {
	const char *key;
	bool present;	  /* in force here, though the store lacks it */
	uint64_t left_ms; /* time until the hold ends; 0: none is set */
};

/* True if the record at KEY is held. */
bool is_record_held(const struct restored_records *rr, const char *key);

/* Number of records that are held. */
size_t held_record_count(const struct restored_records *rr);

/* Appends the records that are held to HELD (of struct held_record). */
void list_held_records(const struct restored_records *rr, uint64_t now_ms,
		       GArray *held);

/*
 * Takes over H from a peer that knew the store before the restore, at an
 * instance that did not. CLS is that of its key. RECORD_APPLY: what H says
 * goes into force now (a domain is out, an upstream left); RECORD_HOLD: it was
 * known already, or its owner has written since.
 */
enum record_verdict adopt_held_record(struct restored_records *rr,
				      const struct held_record *h,
				      enum record_class cls, uint64_t now_ms);

#endif
