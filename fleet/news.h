#ifndef FLEET_NEWS_H
#define FLEET_NEWS_H

/*
 * What readers pass on of the store: the changes of some revisions in one
 * datagram, each naming the revision it follows, so that a receiver notices
 * what it missed and asks for it. Values that are too long are left out and
 * only named. Whoever takes news keeps the latest for those that ask.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/store-call.h"

#define NEWS_BYTES_MAX 1300 /* of one datagram */
#define NEWS_VALUE_MAX 900  /* bytes of a value that is passed on */
#define NEWS_ENTRIES_MAX 64 /* changes in one datagram */
#define NEWS_KEPT_MAX 400   /* datagrams that a reader keeps */
#define NEWS_RESENT_MAX 40  /* datagrams sent for one question */

/* First elements of the messages; a beacon's is BEACON_FORMAT. */
enum news_format {
	NEWS_ASK = 3,  /* what followed a revision? */
	NEWS_GONE = 4, /* that is no longer known; read the store */
	NEWS_CHANGES = 5
};

/* One change; VALUE points into the message. */
struct news_entry {
	char key[256];
	uint64_t revision;
	const void *value; /* NULL: removed, or left out */
	size_t len;
	bool removed;
};

struct news {
	enum news_format format;
	uint64_t from;	  /* revision that this follows; of an ask: known */
	uint64_t to;	  /* all changes up to this revision are told */
	uint32_t hold_ms; /* removals may be lapses: hold them so long */
	struct news_entry entries[NEWS_ENTRIES_MAX];
	size_t nr;
};

/* Reads a message; false if it is none of these. MSG owns what N points to. */
bool read_news(struct wire_message *msg, struct news *n, const void *data,
	       size_t len);

/* Writes a question or its refusal. */
void write_news_mark(struct wire_writer *w, enum news_format format,
		     uint64_t from);

struct news_log;

struct news_log *create_news_log(void);
void destroy_news_log(struct news_log *nl);

/* Gets one datagram, which lives until the next call with the log. */
typedef void (*news_fn)(const void *data, size_t len, void *user);

/*
 * Adds the NR changes that lead from revision FROM to TO, in the order of their
 * revisions, and calls SEND (unless NULL) for each datagram that tells them.
 * False if the changes of one revision do not fit a datagram: those before are
 * forgotten, and receivers are to read the store.
 */
bool add_news(struct news_log *nl, uint64_t from, uint64_t to, uint32_t hold_ms,
	      const struct store_entry *entries, size_t nr, news_fn send,
	      void *user);

/* Forgets all: something was read whose parts are not known. */
void clear_news(struct news_log *nl);

/*
 * Calls SEND for each datagram that someone at revision SINCE lacks, in
 * order. False if they are no longer known.
 */
bool resend_news(const struct news_log *nl, uint64_t since, news_fn send,
		 void *user);

#endif
