#ifndef FLEET_NEWS_H
#define FLEET_NEWS_H

/*
 * What readers pass on of the store: the changes of some revisions in one
 * datagram, each naming the revision it follows, so that a receiver notices
 * what it missed and asks for it. Values that are too long are told as the
 * difference from the one before, or only named. Whoever takes news keeps the
 * latest for those that ask.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/mirror.h"

#define NEWS_BYTES_MAX 1300		 /* of one datagram */
#define NEWS_VALUE_MAX MIRROR_LONG_VALUE /* bytes of a value told whole */
#define NEWS_PATCH_MAX 1000	 /* bytes of a difference that is told */
#define NEWS_PATCHED_MAX 1048576 /* bytes of a value in the store, at most */
#define NEWS_ENTRIES_MAX 64	 /* changes in one datagram */
#define NEWS_KEPT_MAX 400	 /* datagrams that a reader keeps */
#define NEWS_RESENT_MAX 40	 /* datagrams sent for one question */

/* First elements of the messages; a beacon's is BEACON_FORMAT. */
enum news_format {
	NEWS_ASK = 3,  /* what followed a revision? */
	NEWS_GONE = 4, /* that is no longer known; read the store */
	NEWS_CHANGES = 6
};

/* How a change is told. */
enum news_form {
	NEWS_REMOVED,
	NEWS_NAMED, /* its value is left out */
	NEWS_WHOLE,
	NEWS_PATCH /* the difference from the value of BASE, base/patch.h */
};

/* One change; VALUE points into the message, and is NULL if there is none. */
struct news_entry {
	char key[256];
	uint64_t revision;
	enum news_form form;
	uint64_t base;
	const void *value;
	size_t len;
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
 * Adds CHANGES and calls SEND for each datagram that tells them. False if the
 * changes of one revision do not fit a datagram: those before are forgotten,
 * and receivers are to read the store.
 */
bool add_news(struct news_log *nl, const struct mirror_news *changes,
	      news_fn send, void *user);

/* Keeps a datagram that was received, N as read from it. */
void keep_news(struct news_log *nl, const struct news *n, const void *data,
	       size_t len);

/* Forgets all: something was read whose parts are not known. */
void clear_news(struct news_log *nl);

/*
 * Calls SEND for each datagram that someone at revision SINCE lacks, in
 * order. False if they are no longer known.
 */
bool resend_news(const struct news_log *nl, uint64_t since, news_fn send,
		 void *user);

#endif
