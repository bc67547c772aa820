#include "config/publish.h"

#include <inttypes.h>
#include <string.h>

#include "base/backoff.h"
#include "config/carry.h"
#include "config/commit.h"
#include "config/keys.h"
#include "config/publish-plan.h"

#define TRIES_MAX 10 /* reads that failed and commits that lost a race */
#define WAIT_MS 50   /* before the second try */
#define WAIT_MAX_MS 2000
#define GETS_MAX 64 /* parts read by one call */

enum publish_step {
	PUBLISH_START,
	PUBLISH_READING,   /* the heads */
	PUBLISH_FETCHING,  /* parts of the configuration in force */
	PUBLISH_UPLOADING, /* new parts, ahead of the pointer */
	PUBLISH_PREPARING, /* the pointer for parts that come or go */
	PUBLISH_COMMITTING
};

struct publish {
	struct publish_intent intent;
	char id[PUBLISH_ID_MAX];
	char who[AUDIT_WHO_MAX];
	char why[AUDIT_TEXT_MAX];
	enum publish_step step;
	unsigned int tries;
	struct heads heads;
	struct assembly *assembly;
	GArray *asked; /* of struct part_ref: the fetch under way */
	bool read_once;
	struct snapshot *first; /* in force at the first read */
	struct snapshot *base;	/* in force at the last read */
	struct snapshot *next;	/* as it shall be */
	struct publish_plan plan;
	char subject[AUDIT_TEXT_MAX];
	struct txn *txn;
	struct commit commit;
	struct problems *problems;
	struct status status;
	bool made;
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
	p->assembly = create_assembly();
	p->txn = create_txn();
	p->problems = create_problems();
	p->rand = g_rand_new_with_seed(seed);
	return p;
}

/* Forgets what was built on the last read. */
static void drop_plan(struct publish *p)
{
	unref_snapshot(p->next);
	p->next = NULL;
	release_plan(&p->plan);
}

void destroy_publish(struct publish *p)
{
	if (!p)
		return;
	drop_plan(p);
	release_heads(&p->heads);
	destroy_assembly(p->assembly);
	if (p->asked)
		g_array_free(p->asked, TRUE);
	unref_snapshot(p->first);
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
	if (p->made)
		return snapshot_epoch(p->next);
	return p->base ? snapshot_epoch(p->base) : 0;
}

const char *publish_subject(const struct publish *p)
{
	return p->subject;
}

bool publish_made(const struct publish *p)
{
	return p->made;
}

const struct snapshot *publish_base(const struct publish *p)
{
	return p->base;
}

static void read_heads_again(struct publish *p, struct change_action *out)
{
	drop_plan(p);
	p->step = PUBLISH_READING;
	out->kind = CHANGE_RANGE;
	out->range = heads_range();
}

/* Starts over after a wait; gives up with the present status at last. */
static void start_over(struct publish *p, struct change_action *out)
{
	if (++p->tries > TRIES_MAX)
		return;
	drop_plan(p);
	p->step = PUBLISH_START;
	out->kind = CHANGE_WAIT;
	out->wait_ms = backoff_ms(p->tries, WAIT_MS, WAIT_MAX_MS, p->rand);
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
	e->new_epoch = p->plan.pointer->epoch;
}

static void commit_pointer(struct publish *p, struct change_action *out)
{
	char key[AUDIT_KEY_MAX];
	struct audit_entry e;
	struct store_txn txn;

	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->heads.pointer_revision);
	add_compare(p->txn, KEY_SEEN, p->heads.seen_revision);
	add_uploads(&p->plan, p->txn);
	add_swap(p->txn, p->plan.pointer);
	fill_audit(p, &e);
	add_audit(p->txn, NULL, &e);
	txn = view_txn(p->txn);
	p->step = PUBLISH_COMMITTING;
	start_commit(&p->commit, &txn, audit_key(NULL, e.new_epoch, key), p->id,
		     p->rand, out);
}

/* Writes new parts until the rest fits into the pointer's transaction. */
static void upload_or_commit(struct publish *p, struct change_action *out)
{
	if (!upload_is_due(&p->plan)) {
		commit_pointer(p, out);
		return;
	}
	clear_txn(p->txn);
	add_uploads(&p->plan, p->txn);
	p->step = PUBLISH_UPLOADING;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

static void start_preparing(struct publish *p, struct change_action *out)
{
	p->step = PUBLISH_PREPARING;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

/* Swaps the pointer for itself with fewer retired parts. */
static void sweep(struct publish *p, struct change_action *out)
{
	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->heads.pointer_revision);
	add_swap(p->txn, p->heads.pointer);
	start_preparing(p, out);
}

/* Swaps the pointer for itself with the parts to come listed as retired. */
static void announce(struct publish *p, struct change_action *out)
{
	clear_txn(p->txn);
	add_compare(p->txn, KEY_CONFIG, p->heads.pointer_revision);
	add_announcement(&p->plan, p->heads.pointer, p->txn);
	start_preparing(p, out);
}

static bool announcement_is_due(const struct publish *p)
{
	const struct pointer *old = p->heads.pointer;

	return old && upload_is_due(&p->plan) && !is_announced(&p->plan, old);
}

static void plan(struct publish *p)
{
	uint32_t bucket_nr = p->intent.bucket_nr;

	make_plan(&p->plan, p->heads.pointer, p->next,
		  bucket_nr ? bucket_nr : BUCKET_NR_DEFAULT, p->problems);
	p->plan.pointer->when_ms = p->intent.when_ms;
	g_strlcpy(p->plan.pointer->who, p->who, sizeof(p->plan.pointer->who));
}

static void check_next(struct publish *p)
{
	size_t before;

	check_snapshot(p->next, p->problems);
	before = problem_count(p->problems);
	if (p->intent.allow_removal)
		return;
	check_removal(p->base, p->next, p->problems);
	if (problem_count(p->problems) != before)
		add_problem(p->problems, "publish", 0,
			    "--allow-removal publishes this all the same");
}

/* Fills p->next: checked, then with what it inherits from the base. */
static void merge(struct publish *p, uint64_t epoch)
{
	p->next = merge_publish(p->base, &p->intent.change, epoch, p->id);
	check_next(p);
	p->next = carry_snapshot(p->base, p->next, p->intent.when_ms / 1000);
}

static void refuse_invalid(struct publish *p)
{
	set_status(&p->status, STATUS_INVALID,
		   "nothing published: %zu problem(s)",
		   problem_count(p->problems));
}

/* Whether this publish was overtaken by another; fills the status if so. */
static bool is_overtaken(struct publish *p)
{
	const struct pointer *ptr = p->heads.pointer;
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
	if (!p->read_once)
		return false;
	name = find_overlap(&p->intent.change, p->first, p->base);
	if (!name)
		return false;
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: meanwhile %s changed service '%s' (epoch "
		   "%" PRIu64 ", id %s); look and try again",
		   ptr ? ptr->who : "someone", name, epoch,
		   ptr ? ptr->publish_id : "none");
	return true;
}

/* The store came back older than instances are: its content is stale. */
static bool is_behind(struct publish *p, uint64_t floor)
{
	uint64_t epoch = p->base ? snapshot_epoch(p->base) : 0;

	if (floor <= epoch || !p->intent.change.only)
		return false;
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: the store holds epoch %" PRIu64 " but "
		   "instances have %" PRIu64 "; publish all services, without "
		   "--only, so that nothing reverts",
		   epoch, floor);
	return true;
}

/* The configuration in force is in p->base. */
static void build(struct publish *p, struct change_action *out)
{
	uint64_t floor = MAX(p->heads.seen, p->intent.floor);
	uint64_t epoch = p->base ? snapshot_epoch(p->base) : 0;

	if (is_overtaken(p) || is_behind(p, floor))
		return;
	if (!p->read_once)
		p->first = p->base ? ref_snapshot(p->base) : NULL;
	p->read_once = true;
	merge(p, MAX(epoch, floor) + 1);
	if (!list_changes(p->base, p->next, p->subject, sizeof(p->subject)) &&
	    epoch >= floor && p->base) {
		set_status(&p->status, STATUS_OK,
			   "nothing to change: epoch %" PRIu64 " by %s holds "
			   "it already",
			   epoch, p->heads.pointer->who);
		return;
	}
	if (!problem_count(p->problems))
		plan(p);
	if (problem_count(p->problems))
		refuse_invalid(p);
	else if (p->heads.pointer && sweep_is_due(p->heads.pointer))
		sweep(p, out);
	else if (announcement_is_due(p))
		announce(p, out);
	else
		upload_or_commit(p, out);
}

/* Reads the parts in force that are not here yet, then builds. */
static void fetch_or_build(struct publish *p, struct change_action *out)
{
	char key[PART_KEY_MAX];

	unref_snapshot(p->base);
	p->base = NULL;
	if (!p->heads.pointer) {
		build(p, out);
		return;
	}
	if (p->asked)
		g_array_free(p->asked, TRUE);
	p->asked = missing_parts(p->assembly, p->heads.pointer);
	if (!p->asked->len) {
		p->base = assemble(p->assembly, p->heads.pointer);
		build(p, out);
		return;
	}
	clear_txn(p->txn);
	for (guint i = 0; i < p->asked->len && i < GETS_MAX; i++)
		add_get(p->txn,
			part_key(&g_array_index(p->asked, struct part_ref, i),
				 key));
	p->step = PUBLISH_FETCHING;
	out->kind = CHANGE_COMMIT;
	out->txn = view_txn(p->txn);
}

static void on_heads(struct publish *p, const struct store_answer *a,
		     struct change_action *out)
{
	release_heads(&p->heads);
	if (read_heads(&p->heads, a, &p->status) == STATUS_OK)
		fetch_or_build(p, out);
}

static void on_parts(struct publish *p, const struct store_answer *a,
		     struct change_action *out)
{
	char key[PART_KEY_MAX];

	for (guint i = 0; i < p->asked->len && i < GETS_MAX; i++) {
		const struct part_ref *part =
			&g_array_index(p->asked, struct part_ref, i);
		const struct store_entry *e =
			find_entry(a, part_key(part, key));

		if (e && add_part(p->assembly, part, e->value, e->len))
			continue;
		set_status(&p->status, STATUS_CORRUPT,
			   "the store does not hold what %s names", key);
		start_over(p, out);
		return;
	}
	fetch_or_build(p, out);
}

static void on_lost_race(struct publish *p, struct change_action *out)
{
	set_status(&p->status, STATUS_CONFLICT,
		   "not published: others kept publishing; try again");
	start_over(p, out);
}

static void on_commit(struct publish *p, const struct store_answer *a,
		      struct change_action *out)
{
	step_commit(&p->commit, a, out);
	switch (p->commit.outcome) {
	case COMMIT_OPEN:
		break;
	case COMMIT_ACCEPTED:
		p->made = true;
		set_status(&p->status, STATUS_OK, "epoch %" PRIu64 " published",
			   p->plan.pointer->epoch);
		break;
	case COMMIT_CONFLICT:
		on_lost_race(p, out);
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

static void on_answer(struct publish *p, const struct store_answer *a,
		      struct change_action *out)
{
	if (a->status.kind != STATUS_OK) {
		p->status = a->status;
		start_over(p, out);
		return;
	}
	switch (p->step) {
	case PUBLISH_READING:
		on_heads(p, a, out);
		break;
	case PUBLISH_FETCHING:
		on_parts(p, a, out);
		break;
	case PUBLISH_UPLOADING:
		upload_or_commit(p, out);
		break;
	case PUBLISH_PREPARING:
		if (a->succeeded)
			read_heads_again(p, out);
		else
			on_lost_race(p, out);
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
		read_heads_again(p, out);
	else if (p->step == PUBLISH_COMMITTING)
		on_commit(p, a, out);
	else
		on_answer(p, a, out);
}
