#include "config/commit.h"

#include <string.h>

#include "base/backoff.h"

#define COMMIT_FAILURES_MAX 8
#define COMMIT_BACKOFF_MIN_MS 50 /* wait after the first failure */
#define COMMIT_BACKOFF_MAX_MS 2000

static void send_txn(struct commit *c, struct change_action *out)
{
	c->state = COMMIT_SENT;
	out->kind = CHANGE_COMMIT;
	out->txn = c->txn;
}

static void read_back(struct commit *c, struct change_action *out)
{
	struct store_range r = { .key = c->audit_key };

	c->state = COMMIT_READING_BACK;
	out->kind = CHANGE_RANGE;
	out->range = r;
}

/* Waits, then continues with RESUME; ends after COMMIT_FAILURES_MAX. */
static void wait_and_resume(struct commit *c, enum commit_state resume,
			    struct change_action *out)
{
	if (++c->failures >= COMMIT_FAILURES_MAX) {
		c->outcome =
			c->answer_lost ? COMMIT_UNKNOWN : COMMIT_UNAVAILABLE;
		return;
	}
	c->state = COMMIT_BACKOFF;
	c->state_after_wait = resume;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(c->failures, COMMIT_BACKOFF_MIN_MS,
				  COMMIT_BACKOFF_MAX_MS, c->rand);
}

void start_commit(struct commit *c, const struct store_txn *txn,
		  const char *audit_key, const char *id, GRand *rand,
		  struct change_action *out)
{
	memset(c, 0, sizeof(*c));
	c->txn = *txn;
	c->rand = rand;
	g_strlcpy(c->audit_key, audit_key, sizeof(c->audit_key));
	g_strlcpy(c->id, id, sizeof(c->id));
	send_txn(c, out);
}

static void handle_txn_answer(struct commit *c, const struct store_answer *a,
			      struct change_action *out)
{
	switch (a->status.kind) {
	case STATUS_OK:
		c->refused = !a->succeeded;
		if (a->succeeded)
			c->outcome = COMMIT_ACCEPTED;
		else
			read_back(c, out);
		return;
	case STATUS_UNAVAILABLE:
		wait_and_resume(c, COMMIT_SENT, out);
		return;
	default:
		c->answer_lost = true;
		wait_and_resume(c, COMMIT_READING_BACK, out);
	}
}

static bool is_own_entry(const struct commit *c, const struct store_answer *a)
{
	const struct store_entry *e = find_store_entry(a, c->audit_key);
	struct audit_entry entry;

	return e && decode_audit(e->value, e->len, &entry) &&
	       !strcmp(entry.id, c->id);
}

static void handle_audit_entry(struct commit *c, const struct store_answer *a,
			       struct change_action *out)
{
	if (a->status.kind != STATUS_OK)
		wait_and_resume(c, COMMIT_READING_BACK, out);
	else if (is_own_entry(c, a))
		c->outcome = COMMIT_ACCEPTED;
	else if (c->refused)
		c->outcome = COMMIT_CONFLICT;
	else
		send_txn(c, out);
}

void step_commit(struct commit *c, const struct store_answer *a,
		 struct change_action *out)
{
	switch (c->state) {
	case COMMIT_SENT:
		handle_txn_answer(c, a, out);
		break;
	case COMMIT_READING_BACK:
		handle_audit_entry(c, a, out);
		break;
	case COMMIT_BACKOFF:
		if (c->state_after_wait == COMMIT_SENT)
			send_txn(c, out);
		else
			read_back(c, out);
		break;
	}
}
