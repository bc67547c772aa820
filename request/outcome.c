#include "request/outcome.h"

static const struct outcome_row rows[OUTCOME_NR] = {
	[OUTCOME_ANSWERED] = { "answered", 0, RESEND_NEEDLESS, "" },
	[OUTCOME_NOT_RUN] = { "not-run", 503, RESEND_FREELY,
			      "The request was not run. Come back later." },
	[OUTCOME_UNKNOWN] = { "outcome-unknown", 502, RESEND_SAME_KEY,
			      "The request may or may not have run." },
	[OUTCOME_IN_PROGRESS] = { "in-progress", 409, RESEND_SAME_KEY,
				  "An earlier send of this key still runs." },
	[OUTCOME_DONE] = { "done", 409, RESEND_NEVER,
			   "The request ran once; its answer is not kept." },
	[OUTCOME_KEY_REUSED] = { "key-reused", 422, RESEND_CHANGED,
				 "This key was used for another request." },
	[OUTCOME_MALFORMED] = { "malformed", 400, RESEND_CHANGED,
				"The request is not valid HTTP/1.1." },
	[OUTCOME_TOO_SLOW] = { "too-slow", 408, RESEND_FREELY,
			       "The request arrived too slowly; not run." },
	[OUTCOME_TOO_LARGE] = { "too-large", 413, RESEND_CHANGED,
				"The body exceeds this service's limit." },
	[OUTCOME_HEAD_TOO_LARGE] = { "head-too-large", 431, RESEND_CHANGED,
				     "The head exceeds its limit." },
};

const struct outcome_row *find_outcome_row(enum outcome o)
{
	return &rows[o < OUTCOME_NR ? o : OUTCOME_UNKNOWN];
}

const char *resend_name(enum resend r)
{
	static const char *const names[] = { "needless", "freely", "same-key",
					     "never", "changed" };

	return names[r];
}

enum outcome outcome_of_parse_error(unsigned int code)
{
	switch (code) {
	case 408:
		return OUTCOME_TOO_SLOW;
	case 413:
		return OUTCOME_TOO_LARGE;
	case 431:
		return OUTCOME_HEAD_TOO_LARGE;
	default:
		return OUTCOME_MALFORMED;
	}
}
