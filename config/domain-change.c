#include "config/domain-change.h"

#include <inttypes.h>
#include <string.h>

#include "base/backoff.h"
#include "config/commit.h"

#define TRIES_MAX 10 /* reads that failed and commits that lost a race */
#define WAIT_MS 50   /* before the second try */
#define WAIT_MAX_MS 2000

enum domain_step {
	DOMAIN_START,
	DOMAIN_READING,
	DOMAIN_COMMITTING,
	DOMAIN_ASKING_WHO
};

struct domain_change {
	struct domain_intent intent;
	char id[PUBLISH_ID_MAX];
	char who[AUDIT_WHO_MAX];
	char why[AUDIT_TEXT_MAX];
	enum domain_step step;
	unsigned int tries;
	bool read_once;
	struct domain_record first; /* as it was at the first read */
	struct domain_record now;   /* as another operator left it */
	struct heads heads;
	struct txn *txn;
	struct commit commit;
	char key[AUDIT_KEY_MAX]; /* of the audit entry asked for */
	uint64_t epoch;
	bool made;
	struct status status;
	GRand *rand;
};

struct domain_change *create_domain_change(const struct domain_intent *intent,
					   uint32_t seed)
{
	struct domain_change *dc = g_new0(struct domain_change, 1);

	dc->intent = *intent;
	g_strlcpy(dc->id, intent->id, sizeof(dc->id));
	g_strlcpy(dc->who, intent->who, sizeof(dc->who));
	g_strlcpy(dc->why, intent->why, sizeof(dc->why));
	dc->txn = create_txn();
	dc->rand = g_rand_new_with_seed(seed);
	return dc;
}

void destroy_domain_change(struct domain_change *dc)
{
	if (!dc)
		return;
	release_heads(&dc->heads);
	destroy_txn(dc->txn);
	g_rand_free(dc->rand);
	g_free(dc);
}

const struct status *domain_change_status(const struct domain_change *dc)
{
	return &dc->status;
}

uint64_t domain_change_epoch(const struct domain_change *dc)
{
	return dc->epoch;
}

bool domain_change_made(const struct domain_change *dc)
{
	return dc->made;
}

static const char *direction(bool out)
{
	return out ? "out" : "back";
}

static void read_again(struct domain_change *dc, struct change_action *out)
{
	dc->step = DOMAIN_START;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(++dc->tries, WAIT_MS, WAIT_MAX_MS, dc->rand);
}

static struct domain_record current_record(const struct domain_change *dc)
{
	const struct domain_record *rec =
		find_domain(&dc->heads.domains, dc->intent.name);
	struct domain_record none = { .epoch = 0 };

	g_strlcpy(none.name, dc->intent.name, sizeof(none.name));
	return rec ? *rec : none;
}

/* Whether some domain of the configuration but NAME is in service. */
static bool another_is_in(const struct heads *h, const char *name)
{
	for (size_t i = 0; h->pointer && i < h->pointer->domain_nr; i++) {
		const char *other = h->pointer->domains[i];
		const struct domain_record *rec =
			find_domain(&h->domains, other);

		if (strcmp(other, name) != 0 && !(rec && rec->out))
			return true;
	}
	return false;
}

static char *list_domains(const struct heads *h)
{
	GString *s = g_string_new(NULL);

	for (size_t i = 0; h->pointer && i < h->pointer->domain_nr; i++)
		g_string_append_printf(s, "%s%s", i ? ", " : "",
				       h->pointer->domains[i]);
	return g_string_free(s, FALSE);
}

/* Whether the change may be made; fills the status if not. */
static bool is_allowed(struct domain_change *dc)
{
	const struct domain_intent *in = &dc->intent;
	const struct heads *h = &dc->heads;
	char *known;

	if (in->force)
		return true;
	if (!find_domain(&h->domains, in->name) &&
	    !(h->pointer && pointer_has_domain(h->pointer, in->name))) {
		known = list_domains(h);
		set_status(&dc->status, STATUS_NOT_FOUND,
			   "no upstream of the configuration is in domain "
			   "'%s'; known are: %s",
			   in->name, *known ? known : "none");
		g_free(known);
		return false;
	}
	if (!in->out || another_is_in(h, in->name))
		return true;
	set_status(&dc->status, STATUS_INVALID,
		   "'%s' is the last domain that is not out; --force takes it "
		   "out all the same",
		   in->name);
	return false;
}

static void compare_domain(struct domain_change *dc, const char *name)
{
	char key[AUDIT_KEY_MAX];
	int i = domain_index(&dc->heads, name);

	add_compare(dc->txn, domain_key(name, key),
		    i < 0 ? 0 : dc->heads.domain_revision[i]);
}

/* Holds fast what the decision to take a domain out rests on. */
static void compare_others(struct domain_change *dc)
{
	const struct pointer *p = dc->heads.pointer;

	for (size_t i = 0; p && i < p->domain_nr; i++)
		if (strcmp(p->domains[i], dc->intent.name) != 0)
			compare_domain(dc, p->domains[i]);
}

static void commit_change(struct domain_change *dc, struct change_action *out)
{
	struct domain_record rec = current_record(dc);
	struct audit_entry e = { .when_ms = dc->intent.when_ms };
	char key[AUDIT_KEY_MAX];
	struct store_txn txn;

	e.old_epoch = rec.epoch;
	rec.epoch = MAX(rec.epoch, dc->intent.floor) + 1;
	rec.out = dc->intent.out;
	e.new_epoch = rec.epoch;
	e.what = rec.out ? AUDIT_DOMAIN_OUT : AUDIT_DOMAIN_BACK;
	g_strlcpy(e.id, dc->id, sizeof(e.id));
	g_strlcpy(e.who, dc->who, sizeof(e.who));
	g_strlcpy(e.why, dc->why, sizeof(e.why));
	g_strlcpy(e.subject, rec.name, sizeof(e.subject));
	clear_txn(dc->txn);
	compare_domain(dc, rec.name);
	if (rec.out && !dc->intent.force)
		compare_others(dc);
	add_domain(dc->txn, &rec);
	add_audit(dc->txn, rec.name, &e);
	txn = view_txn(dc->txn);
	dc->epoch = rec.epoch;
	dc->step = DOMAIN_COMMITTING;
	start_commit(&dc->commit, &txn, audit_key(rec.name, rec.epoch, key),
		     dc->id, dc->rand, out);
}

/* Asks the audit trail who brought the record to where it is. */
static void ask_who(struct domain_change *dc, struct change_action *out)
{
	struct store_range r = { .key = dc->key };

	audit_key(dc->intent.name, dc->now.epoch, dc->key);
	dc->step = DOMAIN_ASKING_WHO;
	out->kind = CHANGE_RANGE;
	out->range = r;
}

static void tell_who(struct domain_change *dc, const struct store_answer *a)
{
	const struct store_entry *entry = find_entry(a, dc->key);
	struct audit_entry e = { .who = "someone" };

	if (entry)
		decode_audit(entry->value, entry->len, &e);
	dc->epoch = dc->now.epoch;
	if (dc->now.out == dc->intent.out)
		set_status(&dc->status, STATUS_OK,
			   "domain %s is %s already: epoch %" PRIu64
			   " by %s: %s",
			   dc->now.name, direction(dc->now.out), dc->now.epoch,
			   e.who, e.why);
	else
		set_status(&dc->status, STATUS_CONFLICT,
			   "not done: meanwhile %s brought domain %s %s (epoch "
			   "%" PRIu64 "): %s",
			   e.who, dc->now.name, direction(dc->now.out),
			   dc->now.epoch, e.why);
}

/* Whether the record is as wanted already, or another operator changed it. */
static bool is_settled(const struct domain_change *dc)
{
	if (dc->now.epoch != dc->first.epoch)
		return true;
	return dc->now.out == dc->intent.out && dc->now.epoch &&
	       dc->now.epoch >= dc->intent.floor;
}

static void on_heads(struct domain_change *dc, const struct store_answer *a,
		     struct change_action *out)
{
	release_heads(&dc->heads);
	if (read_heads(&dc->heads, a, &dc->status) != STATUS_OK)
		return;
	dc->now = current_record(dc);
	if (!dc->read_once)
		dc->first = dc->now;
	dc->read_once = true;
	if (is_settled(dc))
		ask_who(dc, out);
	else if (!dc->now.epoch && !dc->intent.out && !dc->intent.floor &&
		 is_allowed(dc))
		set_status(&dc->status, STATUS_OK, "domain %s was never out",
			   dc->now.name);
	else if (is_allowed(dc))
		commit_change(dc, out);
}

static void on_commit(struct domain_change *dc, const struct store_answer *a,
		      struct change_action *out)
{
	step_commit(&dc->commit, a, out);
	switch (dc->commit.outcome) {
	case COMMIT_OPEN:
		break;
	case COMMIT_ACCEPTED:
		dc->made = true;
		set_status(&dc->status, STATUS_OK,
			   "domain %s is %s: epoch %" PRIu64, dc->intent.name,
			   direction(dc->intent.out), dc->epoch);
		break;
	case COMMIT_CONFLICT:
		if (dc->tries < TRIES_MAX)
			read_again(dc, out);
		else
			set_status(&dc->status, STATUS_CONFLICT,
				   "not done: other operators kept changing "
				   "domains; look and try again");
		break;
	case COMMIT_UNAVAILABLE:
		set_status(&dc->status, STATUS_UNAVAILABLE,
			   "not done: the store cannot be reached");
		break;
	case COMMIT_UNKNOWN:
		set_status(&dc->status, STATUS_UNKNOWN,
			   "may or may not be done: the store's answer was "
			   "lost; look for id %s in 'baobabvalve audit'",
			   dc->id);
		break;
	}
}

static void start_reading(struct domain_change *dc, struct change_action *out)
{
	dc->step = DOMAIN_READING;
	out->kind = CHANGE_RANGE;
	out->range = heads_range();
}

void step_domain_change(struct domain_change *dc, const struct store_answer *a,
			struct change_action *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = CHANGE_DONE;
	if (dc->step == DOMAIN_START) {
		start_reading(dc, out);
	} else if (dc->step == DOMAIN_COMMITTING) {
		on_commit(dc, a, out);
	} else if (a->status.kind != STATUS_OK) {
		dc->status = a->status;
		if (dc->tries < TRIES_MAX)
			read_again(dc, out);
	} else if (dc->step == DOMAIN_READING) {
		on_heads(dc, a, out);
	} else {
		tell_who(dc, a);
	}
}
