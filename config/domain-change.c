#include "config/domain-change.h"

#include <inttypes.h>
#include <string.h>

#include "base/backoff.h"
#include "config/commit.h"

#define RETRIES_MAX 10	     /* after failed reads and conflicts */
#define RETRY_WAIT_MIN_MS 50 /* before the first retry */
#define RETRY_WAIT_MAX_MS 2000

enum domain_step {
	DOMAIN_START,
	DOMAIN_READING,
	DOMAIN_COMMITTING,
	DOMAIN_READING_AUDIT
};

struct domain_change {
	struct domain_intent intent;
	char id[PUBLISH_ID_MAX];
	char who[AUDIT_WHO_MAX];
	char why[AUDIT_TEXT_MAX];
	enum domain_step step;
	unsigned int retries;
	bool has_read;
	struct domain_record first_record; /* at the first read */
	struct domain_record last_record;  /* at the last read */
	struct store_head head;
	struct txn *txn;
	struct commit commit;
	char read_audit_key[AUDIT_KEY_MAX]; /* for DOMAIN_READING_AUDIT */
	uint64_t epoch;
	bool committed;
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
	release_store_head(&dc->head);
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

bool domain_change_committed(const struct domain_change *dc)
{
	return dc->committed;
}

static const char *direction_name(bool out)
{
	return out ? "out" : "back";
}

static void wait_and_start_over(struct domain_change *dc,
				struct change_action *out)
{
	dc->step = DOMAIN_START;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(++dc->retries, RETRY_WAIT_MIN_MS,
				  RETRY_WAIT_MAX_MS, dc->rand);
}

static struct domain_record current_record(const struct domain_change *dc)
{
	const struct domain_record *rec =
		find_domain(&dc->head.domains, dc->intent.name);
	struct domain_record none = { .epoch = 0 };

	g_strlcpy(none.name, dc->intent.name, sizeof(none.name));
	return rec ? *rec : none;
}

/* Whether a domain of the configuration other than NAME is in service. */
static bool another_domain_in_service(const struct store_head *h,
				      const char *name)
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

static char *list_domains(const struct store_head *h)
{
	GString *s = g_string_new(NULL);

	for (size_t i = 0; h->pointer && i < h->pointer->domain_nr; i++)
		g_string_append_printf(s, "%s%s", i ? ", " : "",
				       h->pointer->domains[i]);
	return g_string_free(s, FALSE);
}

/* Whether the change is allowed; sets the status if not. */
static bool is_allowed(struct domain_change *dc)
{
	const struct domain_intent *in = &dc->intent;
	const struct store_head *h = &dc->head;
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
	if (!in->out || another_domain_in_service(h, in->name))
		return true;
	set_status(&dc->status, STATUS_INVALID,
		   "'%s' is the last domain that is not out; use --force to "
		   "take it out anyway",
		   in->name);
	return false;
}

static void compare_domain(struct domain_change *dc, const char *name)
{
	char key[AUDIT_KEY_MAX];
	int i = find_domain_index(&dc->head, name);

	add_compare(dc->txn, domain_key(name, key),
		    i < 0 ? 0 : dc->head.domain_revisions[i]);
}

/* Makes the commit fail if another domain changes after it was checked. */
static void compare_other_domains(struct domain_change *dc)
{
	const struct pointer *p = dc->head.pointer;

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
	rec.epoch = MAX(rec.epoch, dc->intent.known_epoch) + 1;
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
		compare_other_domains(dc);
	add_domain_put(dc->txn, &rec);
	add_audit(dc->txn, rec.name, &e);
	txn = view_txn(dc->txn);
	dc->epoch = rec.epoch;
	dc->step = DOMAIN_COMMITTING;
	start_commit(&dc->commit, &txn, audit_key(rec.name, rec.epoch, key),
		     dc->id, dc->rand, out);
}

/* Reads the audit entry of the change that led to the current record. */
static void read_last_audit_entry(struct domain_change *dc,
				  struct change_action *out)
{
	struct store_range r = { .key = dc->read_audit_key };

	audit_key(dc->intent.name, dc->last_record.epoch, dc->read_audit_key);
	dc->step = DOMAIN_READING_AUDIT;
	out->kind = CHANGE_RANGE;
	out->range = r;
}

static void report_last_change(struct domain_change *dc,
			       const struct store_answer *a)
{
	const struct store_entry *entry =
		find_store_entry(a, dc->read_audit_key);
	struct audit_entry e = { .who = "someone" };

	if (entry)
		decode_audit(entry->value, entry->len, &e);
	dc->epoch = dc->last_record.epoch;
	if (dc->last_record.out == dc->intent.out)
		set_status(&dc->status, STATUS_OK,
			   "domain %s is %s already: epoch %" PRIu64
			   " by %s: %s",
			   dc->last_record.name,
			   direction_name(dc->last_record.out),
			   dc->last_record.epoch, e.who, e.why);
	else
		set_status(&dc->status, STATUS_CONFLICT,
			   "not done: meanwhile %s took domain %s %s (epoch "
			   "%" PRIu64 "): %s",
			   e.who, dc->last_record.name,
			   direction_name(dc->last_record.out),
			   dc->last_record.epoch, e.why);
}

/* Whether the record is as wanted or another operator changed it meanwhile. */
static bool needs_no_commit(const struct domain_change *dc)
{
	if (dc->last_record.epoch != dc->first_record.epoch)
		return true;
	return dc->last_record.out == dc->intent.out && dc->last_record.epoch &&
	       dc->last_record.epoch >= dc->intent.known_epoch;
}

static void handle_store_head(struct domain_change *dc,
			      const struct store_answer *a,
			      struct change_action *out)
{
	release_store_head(&dc->head);
	if (decode_store_head(&dc->head, a, &dc->status) != STATUS_OK)
		return;
	dc->last_record = current_record(dc);
	if (!dc->has_read)
		dc->first_record = dc->last_record;
	dc->has_read = true;
	if (needs_no_commit(dc))
		read_last_audit_entry(dc, out);
	else if (!dc->last_record.epoch && !dc->intent.out &&
		 !dc->intent.known_epoch && is_allowed(dc))
		set_status(&dc->status, STATUS_OK, "domain %s was never out",
			   dc->last_record.name);
	else if (is_allowed(dc))
		commit_change(dc, out);
}

static void handle_commit_answer(struct domain_change *dc,
				 const struct store_answer *a,
				 struct change_action *out)
{
	step_commit(&dc->commit, a, out);
	switch (dc->commit.outcome) {
	case COMMIT_PENDING:
		break;
	case COMMIT_ACCEPTED:
		dc->committed = true;
		set_status(&dc->status, STATUS_OK,
			   "domain %s is %s: epoch %" PRIu64, dc->intent.name,
			   direction_name(dc->intent.out), dc->epoch);
		break;
	case COMMIT_CONFLICT:
		if (dc->retries < RETRIES_MAX)
			wait_and_start_over(dc, out);
		else
			set_status(&dc->status, STATUS_CONFLICT,
				   "not done: other operators kept changing "
				   "domains; check and try again");
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

static void read_store_head(struct domain_change *dc, struct change_action *out)
{
	dc->step = DOMAIN_READING;
	out->kind = CHANGE_RANGE;
	out->range = store_head_range();
}

void step_domain_change(struct domain_change *dc, const struct store_answer *a,
			struct change_action *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = CHANGE_DONE;
	if (dc->step == DOMAIN_START) {
		read_store_head(dc, out);
	} else if (dc->step == DOMAIN_COMMITTING) {
		handle_commit_answer(dc, a, out);
	} else if (a->status.kind != STATUS_OK) {
		dc->status = a->status;
		if (dc->retries < RETRIES_MAX)
			wait_and_start_over(dc, out);
	} else if (dc->step == DOMAIN_READING) {
		handle_store_head(dc, a, out);
	} else {
		report_last_change(dc, a);
	}
}
