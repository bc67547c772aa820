#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

/*
 * All outcomes of a request that a caller can receive, and the table from
 * outcome to HTTP answer. docs/HTTP.md has the same table.
 */

#include <stdbool.h>

enum outcome {
	OUTCOME_ANSWERED,    /* the upstream's own answer follows */
	OUTCOME_NOT_RUN,     /* no upstream ran it */
	OUTCOME_UNKNOWN,     /* it may have run */
	OUTCOME_IN_PROGRESS, /* an earlier send of the same key is running */
	OUTCOME_DONE,	     /* it ran once; its answer is not stored */
	OUTCOME_KEY_REUSED,  /* the key belongs to another request */
	OUTCOME_MALFORMED,   /* not valid HTTP, or ambiguous; not run */
	OUTCOME_TOO_SLOW,    /* the caller sent too slowly; not run */
	OUTCOME_TOO_LARGE,   /* the body exceeds the service's limit; not run */
	OUTCOME_HEAD_TOO_LARGE, /* the head exceeds its limit; not run */
	OUTCOME_NR
};

/* Whether the caller may send the same request again. */
enum resend {
	RESEND_NEEDLESS, /* not needed: it has its answer */
	RESEND_FREELY,	 /* unchanged, after Retry-After if there is one */
	RESEND_SAME_KEY, /* only with the same key; without one, check first */
	RESEND_NEVER,	 /* it has run */
	RESEND_CHANGED	 /* only after correcting the request */
};

struct outcome_row {
	const char *name;  /* value of the Baobabvalve-Outcome header */
	unsigned int code; /* of HTTP; 0: the upstream's own */
	enum resend resend;
	const char *text; /* body, for humans */
};

/* The row of O; never NULL. */
const struct outcome_row *find_outcome_row(enum outcome o);

/* Value of the Baobabvalve-Resend header. */
const char *resend_name(enum resend r);

/* The outcome of a request that fails to parse with HTTP code CODE. */
enum outcome outcome_of_parse_error(unsigned int code);

#endif
