#include "config/publish.h"

#include <inttypes.h>
#include <string.h>

#include "base/backoff.h"
#include "config/retain.h"
#include "config/commit.h"
#include "config/keys.h"
#include "config/publish-plan.h"

#define RETRIES_MAX 10	     /* after failed reads and conflicts */
#define RETRY_WAIT_MIN_MS 50 /* before the first retry */
#define RETRY_WAIT_MAX_MS 2000
#define PARTS_PER_READ_MAX 64

enum publish_step {
	PUBLISH_START,
	PUBLISH_READING,	  /* the head records */
	PUBLISH_FETCHING,	  /* parts of the configuration in force */
	PUBLISH_UPLOADING,	  /* new parts, before the pointer */
	PUBLISH_UPDATING_RETIRED, /* the pointer's list of retired parts */
	PUBLISH_COMMITTING
};

struct publish {
	struct publish_intent intent;
	char id[PUBLISH_ID_MAX];
	char who[AUDIT_WHO_MAX];
	char why[AUDIT_TEXT_MAX];
	enum publish_step step;
	unsigned int retries;
	struct store_head head;
	struct part_cache *part_cache;
	GArray *requested_parts; /* of struct part_ref: the pending fetch */
	bool has_read;
	struct snapshot *first_base; /* in force at the first read */
	struct snapshot *base;	     /* in force at the last read */
	struct snapshot *next;	     /* to be put in force */
	struct publish_plan plan_writes;
	char subject[AUDIT_TEXT_MAX];
	struct txn *txn;
	struct commit commit;
	struct problems *problems;
	struct status status;
	bool committed;
	GRand *rand;
};

struct publish *create_publish(const struct publish_intent *intent,
			       uint32_t seed)
{
	struct publish *p = g_new0(struct publish, 1);

	p->intent = *intent;
	g_strlcpy(p->id, intent->id, sizeof(p->id));
	g_strlcpy(p->who, intent->who, sizeof(p->who));
	g_strlcpy(p->why, intent->why, sizeof(p->why));
	p->part_cache = create_part_cache();
	p->txn = create_txn();
	p->problems = create_problems();
	p->rand = g_rand_new_with_seed(seed);
	return p;
}

/* Frees all data that was derived from the last read. */
static void drop_plan(struct publish *p)
{
	unref_snapshot(p->next);
	p->next = NULL;
	release_publish_plan(&p->plan_writes);
}

void destroy_publish(struct publish *p)
{
	if (!p)
		return;
	drop_plan(p);
	release_store_head(&p->head);
	destroy_part_cache(p->part_cache);
	if (p->requested_parts)
		g_array_free(p->requested_parts, TRUE);
	unref_snapshot(p->first_base);
	unref_snapshot(p->base);
	destroy_txn(p->txn);
	destroy_problems(p->problems);
	g_rand_free(p->rand);
	g_free(p);
}

const struct status *publish_status(const struct publish *p)
{
	return &p->status;
}

const struct problems *publish_problems(const struct publish *p)
{
	return p->problems;
}

uint64_t publish_epoch(const struct publish *p)
{
	if (p->committed)
		return snapshot_epoch(p->next);
	return p->base ? snapshot_epoch(p->base) : 0;
}

const char *publish_subject(const struct publish *p)
{
	return p->subject;
}

bool publish_committed(const struct publish *p)
{
	return p->committed;
}

const struct snapshot *publish_base(const struct publish *p)
{
	return p->base;
}

static void read_head_records(struct publish *p, struct change_action *out)
{
	drop_plan(p);
	p->step = PUBLISH_READING;
	out->kind = CHANGE_RANGE;
	out->range = store_head_range();
}

/* Starts over after a wait; after RETRIES_MAX ends with the current status. */
static void wait_and_start_over(struct publish *p, struct change_action *out)
{
	if (++p->retries > RETRIES_MAX)
		return;
	drop_plan(p);
	p->step = PUBLISH_START;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(p->retries, RETRY_WAIT_MIN_MS,
				  RETRY_WAIT_MAX_MS, p->rand);
}

static void fill_audit(const struct publish *p, struct audit_entry *e)
{
	memset(e, 0, sizeof(*e));
	g_strlcpy(e->id, p->id, sizeof(e->id));
	g_strlcpy(e->who, p->who, sizeof(e->who));
	g_strlcpy(e->why, p->why, sizeof(e->why));
	g_strlcpy(e->subject, p->subject, sizeof(e->subject));
	e->when_ms = p->intent.when_ms;
	e->what = AUDIT_PUBLISH;
	e->old_epoch = p->base ? snapshot_epoch(p->base) : 0;
	e->new_epoch = p->plan_writes.pointer->epoch;
}

static void commit_pointer(struct publish *p, struct change_action *out)
{
	char key[AUDIT_KEY_MAX];
	struct audit_entry e;
	struct store_txn txn;

	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->head.pointer_revision);
	add_compare(p->txn, KEY_SEEN_EPOCH, p->head.seen_epoch_revision);
	add_part_puts(&p->plan_writes, p->txn);
	add_pointer_swap(p->txn, p->plan_writes.pointer);
	fill_audit(p, &e);
	add_audit(p->txn, NULL, &e);
	txn = view_txn(p->txn);
	p->step = PUBLISH_COMMITTING;
	start_commit(&p->commit, &txn, audit_key(NULL, e.new_epoch, key), p->id,
		     p->rand, out);
}

/* Writes new parts until the rest fits in the pointer's transaction. */
static void upload_or_commit(struct publish *p, struct change_action *out)
{
	if (!needs_upload(&p->plan_writes)) {
		commit_pointer(p, out);
		return;
	}
	clear_txn(p->txn);
	add_part_puts(&p->plan_writes, p->txn);
	p->step = PUBLISH_UPLOADING;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

static void commit_retired_update(struct publish *p, struct change_action *out)
{
	p->step = PUBLISH_UPDATING_RETIRED;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

/* Deletes retired parts that are due, without a change of epoch. */
static void delete_due_parts(struct publish *p, struct change_action *out)
{
	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->head.pointer_revision);
	add_pointer_swap(p->txn, p->head.pointer);
	commit_retired_update(p, out);
}

/* Lists the parts to be uploaded as retired, without a change of epoch. */
static void announce_upload(struct publish *p, struct change_action *out)
{
	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->head.pointer_revision);
	add_announcement_put(&p->plan_writes, p->head.pointer, p->txn);
	commit_retired_update(p, out);
}

static bool needs_announcement(const struct publish *p)
{
	const struct pointer *old = p->head.pointer;

	return old && needs_upload(&p->plan_writes) &&
	       !is_upload_announced(&p->plan_writes, old);
}

static void plan_writes(struct publish *p)
{
	uint32_t bucket_nr = p->intent.bucket_nr;

	make_publish_plan(&p->plan_writes, p->head.pointer, p->next,
			  bucket_nr ? bucket_nr : BUCKET_NR_DEFAULT,
			  p->problems);
	p->plan_writes.pointer->when_ms = p->intent.when_ms;
	g_strlcpy(p->plan_writes.pointer->who, p->who,
		  sizeof(p->plan_writes.pointer->who));
}

static void check_next_snapshot(struct publish *p)
{
	size_t before;

	check_snapshot(p->next, p->problems);
	before = problem_count(p->problems);
	if (p->intent.allow_removal)
		return;
	check_removals(p->base, p->next, p->problems);
	if (problem_count(p->problems) != before)
		add_problem(p->problems, "publish", 0,
			    "use --allow-removal to publish this anyway");
}

/*
 * Sets p->next: merges the change into the base, checks the result, then adds
 * to it the data that is retained of the base (config/retain.h).
 */
static void build_next_snapshot(struct publish *p, uint64_t epoch)
{
	p->next = merge_publish(p->base, &p->intent.change, epoch, p->id);
	check_next_snapshot(p);
	p->next = retain_from_previous(p->base, p->next,
				       p->intent.when_ms / 1000);
}

static void refuse_invalid(struct publish *p)
{
	set_status(&p->status, STATUS_INVALID,
		   "nothing published: %zu problem(s)",
		   problem_count(p->problems));
}

/* Whether another publish conflicts with this one; sets the status if so. */
static bool has_conflict(struct publish *p)
{
	const struct pointer *ptr = p->head.pointer;
	uint64_t epoch = ptr ? ptr->epoch : 0;
	const char *name;

	if (p->intent.base_epoch && epoch != p->intent.base_epoch) {
		set_status(&p->status, STATUS_CONFLICT,
			   "not published: epoch %" PRIu64 " by %s is in "
			   "force, not %" PRIu64,
			   epoch, ptr ? ptr->who : "nobody",
			   p->intent.base_epoch);
		return true;
	}
	if (!p->has_read)
		return false;
	name = find_conflicting_service(&p->intent.change, p->first_base,
					p->base);
	if (!name)
		return false;
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: meanwhile %s changed service '%s' (epoch "
		   "%" PRIu64 ", id %s); check and try again",
		   ptr ? ptr->who : "someone", name, epoch,
		   ptr ? ptr->publish_id : "none");
	return true;
}

/*
 * Whether the store was restored to an older epoch than instances have. Then
 * its other services are outdated, and a partial publish would put these old
 * versions in force.
 */
static bool store_is_stale(struct publish *p, uint64_t known_epoch)
{
	uint64_t epoch = p->base ? snapshot_epoch(p->base) : 0;

	if (known_epoch <= epoch || !p->intent.change.only)
		return false;
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: the store holds epoch %" PRIu64 " but "
		   "instances have %" PRIu64 "; publish all services, without "
		   "--only, so that nothing reverts",
		   epoch, known_epoch);
	return true;
}

/* Plans the change on top of p->base and starts to write it. */
static void plan_and_write(struct publish *p, struct change_action *out)
{
	uint64_t known_epoch = MAX(p->head.seen_epoch, p->intent.known_epoch);
	uint64_t epoch = p->base ? snapshot_epoch(p->base) : 0;

	if (has_conflict(p) || store_is_stale(p, known_epoch))
		return;
	if (!p->has_read)
		p->first_base = p->base ? ref_snapshot(p->base) : NULL;
	p->has_read = true;
	build_next_snapshot(p, MAX(epoch, known_epoch) + 1);
	if (!list_changes(p->base, p->next, p->subject, sizeof(p->subject)) &&
	    epoch >= known_epoch && p->base) {
		set_status(&p->status, STATUS_OK,
			   "nothing to change: epoch %" PRIu64 " by %s "
			   "already has this content",
			   epoch, p->head.pointer->who);
		return;
	}
	if (!problem_count(p->problems))
		plan_writes(p);
	if (problem_count(p->problems))
		refuse_invalid(p);
	else if (p->head.pointer && needs_part_deletion(p->head.pointer))
		delete_due_parts(p, out);
	else if (needs_announcement(p))
		announce_upload(p, out);
	else
		upload_or_commit(p, out);
}

/* Reads the parts in force that are missing, then plans and writes. */
static void fetch_or_write(struct publish *p, struct change_action *out)
{
	char key[PART_KEY_MAX];

	unref_snapshot(p->base);
	p->base = NULL;
	if (!p->head.pointer) {
		plan_and_write(p, out);
		return;
	}
	if (p->requested_parts)
		g_array_free(p->requested_parts, TRUE);
	p->requested_parts = missing_parts(p->part_cache, p->head.pointer);
	if (!p->requested_parts->len) {
		p->base = assemble_snapshot(p->part_cache, p->head.pointer);
		plan_and_write(p, out);
		return;
	}
	clear_txn(p->txn);
	for (guint i = 0; i < p->requested_parts->len && i < PARTS_PER_READ_MAX;
	     i++)
		add_get(p->txn, part_key(&g_array_index(p->requested_parts,
							struct part_ref, i),
					 key));
	p->step = PUBLISH_FETCHING;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

static void handle_store_head(struct publish *p, const struct store_answer *a,
			      struct change_action *out)
{
	release_store_head(&p->head);
	if (decode_store_head(&p->head, a, &p->status) == STATUS_OK)
		fetch_or_write(p, out);
}

static void handle_parts(struct publish *p, const struct store_answer *a,
			 struct change_action *out)
{
	char key[PART_KEY_MAX];

	for (guint i = 0; i < p->requested_parts->len && i < PARTS_PER_READ_MAX;
	     i++) {
		const struct part_ref *part =
			&g_array_index(p->requested_parts, struct part_ref, i);
		const struct store_entry *e =
			find_store_entry(a, part_key(part, key));

		if (e && add_cached_part(p->part_cache, part, e->value, e->len))
			continue;
		set_status(&p->status, STATUS_CORRUPT,
			   "the part at %s is missing or corrupt", key);
		wait_and_start_over(p, out);
		return;
	}
	fetch_or_write(p, out);
}

static void handle_conflict(struct publish *p, struct change_action *out)
{
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: other publishes kept coming first; try "
		   "again");
	wait_and_start_over(p, out);
}

static void handle_commit_answer(struct publish *p,
				 const struct store_answer *a,
				 struct change_action *out)
{
	step_commit(&p->commit, a, out);
	switch (p->commit.outcome) {
	case COMMIT_PENDING:
		break;
	case COMMIT_ACCEPTED:
		p->committed = true;
		set_status(&p->status, STATUS_OK, "epoch %" PRIu64 " published",
			   p->plan_writes.pointer->epoch);
		break;
	case COMMIT_CONFLICT:
		handle_conflict(p, out);
		break;
	case COMMIT_UNAVAILABLE:
		set_status(&p->status, STATUS_UNAVAILABLE,
			   "not published: the store cannot be reached");
		break;
	case COMMIT_UNKNOWN:
		set_status(&p->status, STATUS_UNKNOWN,
			   "may or may not be published: the store's answer "
			   "was lost; look for id %s in 'baobabvalve audit'",
			   p->id);
		break;
	}
}

static void handle_answer(struct publish *p, const struct store_answer *a,
			  struct change_action *out)
{
	if (a->status.kind != STATUS_OK) {
		p->status = a->status;
		wait_and_start_over(p, out);
		return;
	}
	switch (p->step) {
	case PUBLISH_READING:
		handle_store_head(p, a, out);
		break;
	case PUBLISH_FETCHING:
		handle_parts(p, a, out);
		break;
	case PUBLISH_UPLOADING:
		upload_or_commit(p, out);
		break;
	case PUBLISH_UPDATING_RETIRED:
		if (a->succeeded)
			read_head_records(p, out);
		else
			handle_conflict(p, out);
		break;
	case PUBLISH_START:
	case PUBLISH_COMMITTING:
		break;
	}
}

void step_publish(struct publish *p, const struct store_answer *a,
		  struct change_action *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = CHANGE_DONE;
	if (p->step == PUBLISH_START)
		read_head_records(p, out);
	else if (p->step == PUBLISH_COMMITTING)
		handle_commit_answer(p, a, out);
	else
		handle_answer(p, a, out);
}
