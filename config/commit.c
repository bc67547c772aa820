#include "config/commit.h"

#include <string.h>

#include "base/backoff.h"

#define COMMIT_TRIES_MAX 8 /* lost or failed calls */
#define COMMIT_WAIT_MS 50  /* before the second try */
#define COMMIT_WAIT_MAX_MS 2000

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

/* Waits, then goes on with RESUME; gives up after too many failures. */
static void rest(struct commit *c, enum commit_state resume,
		 struct change_action *out)
{
	if (++c->tries >= COMMIT_TRIES_MAX) {
		c->outcome = c->doubtful ? COMMIT_UNKNOWN : COMMIT_UNAVAILABLE;
		return;
	}
	c->state = COMMIT_RESTING;
	c->resume = resume;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(c->tries, COMMIT_WAIT_MS, COMMIT_WAIT_MAX_MS,
				  c->rand);
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

static void on_sent(struct commit *c, const struct store_answer *a,
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
		rest(c, COMMIT_SENT, out);
		return;
	default:
		c->doubtful = true;
		rest(c, COMMIT_READING_BACK, out);
	}
}

static bool is_ours(const struct commit *c, const struct store_answer *a)
{
	const struct store_entry *e = find_entry(a, c->audit_key);
	struct audit_entry entry;

	return e && decode_audit(e->value, e->len, &entry) &&
	       !strcmp(entry.id, c->id);
}

static void on_read_back(struct commit *c, const struct store_answer *a,
			 struct change_action *out)
{
	if (a->status.kind != STATUS_OK)
		rest(c, COMMIT_READING_BACK, out);
	else if (is_ours(c, a))
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
		on_sent(c, a, out);
		break;
	case COMMIT_READING_BACK:
		on_read_back(c, a, out);
		break;
	case COMMIT_RESTING:
		if (c->resume == COMMIT_SENT)
			send_txn(c, out);
		else
			read_back(c, out);
		break;
	}
}
