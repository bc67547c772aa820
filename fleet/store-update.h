#ifndef FLEET_STORE_UPDATE_H
#define FLEET_STORE_UPDATE_H

/*
 * Store updates: datagrams by which store readers pass on changes of the store.
 * Each holds the changes of some revisions and the revision that it follows, so
 * that a receiver detects a gap and requests the missing changes. A value that
 * is too long is sent as a patch of the previous value, or left out. Every
 * receiver keeps the latest datagrams to answer such requests.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/mirror.h"
#include "config/restored-records.h"
#include "fleet/peer-format.h"

#define UPDATE_DATAGRAM_MAX 1300 /* bytes of one datagram */
/* bytes of a value sent whole */
#define UPDATE_VALUE_MAX MIRROR_INLINE_VALUE_MAX
#define UPDATE_PATCH_MAX 1000	   /* bytes of a patch */
#define UPDATE_PATCHED_MAX 1048576 /* bytes of a patched value */
#define UPDATE_ENTRIES_MAX 64	   /* changes in one datagram */
#define UPDATE_KEPT_DATAGRAMS 400  /* datagrams kept to be sent again */
#define UPDATE_RESEND_DATAGRAMS 40 /* datagrams sent for one request */

/* How the value of a change is encoded. */
enum update_encoding {
	UPDATE_REMOVED,
	UPDATE_OMITTED, /* the value is not sent */
	UPDATE_WHOLE,
	UPDATE_PATCH /* of the value at BASE_REVISION; base/patch.h */
};

/* One change; VALUE points into the message, or is NULL if there is none. */
struct update_entry {
	char key[256];
	uint64_t revision;
	enum update_encoding encoding;
	uint64_t base_revision;
	const void *value;
	size_t len;
};

/*
 * Of an UPDATE_HELD message, each entry is a record that the sender does not
 * take from the restored store: UPDATE_REMOVED if it is not in force there,
 * UPDATE_OMITTED if it is, then with the time left in its base_revision, ms.
 * HOLD_MS is the number of messages that follow.
 */
struct store_update {
	enum peer_format format;
	struct store_position from; /* changes after it are sent or requested */
	struct store_position to;   /* all changes up to it are included */
	uint32_t hold_ms; /* delay of removals: may be expired leases */
	struct update_entry entries[UPDATE_ENTRIES_MAX];
	size_t nr;
};

/*
 * Reads a message; false if it is malformed or of another format. Values in SU
 * point into MSG, which must be released in either case.
 */
bool read_store_update(struct wire_message *msg, struct store_update *su,
		       const void *data, size_t len);

/* Writes a message without changes: UPDATE_REQUEST or UPDATE_NOT_KEPT. */
void write_update_control(struct wire_writer *w, enum peer_format format,
			  struct store_position from);

/* Receives one datagram, which is valid during the call. */
typedef void (*send_update_fn)(const void *data, size_t len, void *user);

/*
 * Calls SEND for each datagram of an answer to UPDATE_HELD_REQUEST: the records
 * in HELD (of struct held_record) that an instance at position AT holds.
 */
void write_held_records(struct store_position at, const GArray *held,
			send_update_fn send, void *user);

struct update_log;

struct update_log *create_update_log(void);
void destroy_update_log(struct update_log *ul);

/*
 * Adds CHANGES and calls SEND for each datagram made of them. False if the
 * changes of one revision do not fit a datagram: these are skipped, the log
 * drops all earlier datagrams, and receivers have to read the store.
 */
bool add_updates(struct update_log *ul, const struct mirror_update *changes,
		 send_update_fn send, void *user);

/* Keeps a received datagram; SU is what read_store_update() read from it. */
void keep_update(struct update_log *ul, const struct store_update *su,
		 const void *data, size_t len);

/* Drops all datagrams, after the store was read as a whole. */
void clear_updates(struct update_log *ul);

/*
 * Calls SEND for the datagrams that an instance at position SINCE lacks, in
 * order, up to UPDATE_RESEND_DATAGRAMS. False if they are no longer kept.
 */
bool resend_updates(const struct update_log *ul, struct store_position since,
		    send_update_fn send, void *user);

#endif
