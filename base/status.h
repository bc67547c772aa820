#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/*
 * The closed list of error kinds, and a status: a kind with a message.
 *
 * Functions that can fail return an enum status_kind and, if a user may read
 * the reason, fill a struct status. One table maps each kind to an exit code,
 * an HTTP status code and whether a caller may resend.
 */

#include <stdbool.h>

#define STATUS_MESSAGE_MAX 400 /* bytes, with the terminating NUL */

enum status_kind {
	STATUS_OK,
	STATUS_USAGE,	    /* the command line is wrong */
	STATUS_INVALID,	    /* input breaks a rule of its format */
	STATUS_TOO_LARGE,   /* input exceeds a documented limit */
	STATUS_NOT_FOUND,   /* the named thing does not exist */
	STATUS_CONFLICT,    /* another writer changed it first */
	STATUS_NOT_RUN,	    /* the request was not run anywhere */
	STATUS_IN_PROGRESS, /* the same request is still running */
	STATUS_UNKNOWN,	    /* the request may or may not have run */
	STATUS_UNAVAILABLE, /* the other side cannot be reached */
	STATUS_TIMEOUT,	    /* the other side did not answer in time */
	STATUS_CORRUPT,	    /* a message or value cannot be decoded */
	STATUS_INTERNAL,    /* a system call failed unexpectedly */
	STATUS_KIND_NR
};

struct status {
	enum status_kind kind;
	char message[STATUS_MESSAGE_MAX];
};

/* How a kind is shown outside of this process; one row per kind. */
struct status_row {
	const char *name; /* stable, lower case, used in logs and JSON */
	int exit_code;	  /* 0 done, 1 refused or failed, 129 usage */
	int http_code;	  /* HTTP status code */
	bool resend_safe; /* a caller may resend without an idempotency key */
};

/* Returns the row of KIND; never NULL. */
const struct status_row *find_status_row(enum status_kind kind);

/* Sets ST (which may be NULL) and returns KIND. */
enum status_kind set_status(struct status *st, enum status_kind kind,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
