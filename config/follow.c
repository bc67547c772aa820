#include "config/follow.h"

#include <glib.h>
#include <string.h>

#include "base/backoff.h"
#include "config/store-head.h"
#include "config/keys.h"
#include "config/parts.h"

#define PARTS_PER_READ_MAX 64
#define NEW_READER_READ_MS 100 /* delay of a new store reader's first read */

/* The pending store call. */
enum follow_call { CALL_NONE, CALL_HEADS, CALL_PARTS, CALL_REPAIR };

struct store_follower {
	GRand *rand;
	bool is_store_reader;
	enum follow_call pending_call;
	bool watching;
	uint64_t head_revision; /* of the last read or watch answer */
	uint64_t next_read_ms;
	bool first_read_planned;    /* next_read_ms is set */
	unsigned int read_failures; /* consecutive */
	uint64_t next_watch_ms;
	unsigned int watch_failures; /* consecutive */
	uint64_t last_answer_ms;
	uint64_t corrupt_count;
	uint64_t epoch_in_force; /* on this instance */
	char publish_id_in_force[PUBLISH_ID_MAX];
	struct domain_set domains_in_force;
	struct pointer *pointer; /* whose parts are being or were last read */
	GArray *requested_parts; /* of struct part_ref */
	struct part_cache *part_cache;
	struct snapshot *snapshot;   /* of the last FOLLOW_SNAPSHOT_READ */
	struct store_head last_head; /* last complete read */
	struct txn *txn;
};

struct store_follower *create_store_follower(uint32_t seed)
{
	struct store_follower *f = g_new0(struct store_follower, 1);

	f->rand = g_rand_new_with_seed(seed);
	f->part_cache = create_part_cache();
	f->txn = create_txn();
	f->is_store_reader = true;
	return f;
}

void destroy_store_follower(struct store_follower *f)
{
	if (!f)
		return;
	g_rand_free(f->rand);
	destroy_pointer(f->pointer);
	if (f->requested_parts)
		g_array_free(f->requested_parts, TRUE);
	destroy_part_cache(f->part_cache);
	unref_snapshot(f->snapshot);
	release_store_head(&f->last_head);
	destroy_txn(f->txn);
	g_free(f);
}

uint64_t follow_last_answer_ms(const struct store_follower *f)
{
	return f->last_answer_ms;
}

uint64_t follow_corrupt_count(const struct store_follower *f)
{
	return f->corrupt_count;
}

static struct follow_action *add_action(struct follow_actions *out,
					enum follow_action_kind kind)
{
	struct follow_action *a = &out->at[out->nr++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

/* MS, randomly up to 25% shorter or longer. */
static uint64_t jitter(struct store_follower *f, uint64_t ms)
{
	return (uint64_t)g_rand_double_range(f->rand, 0.75 * (double)ms,
					     1.25 * (double)ms);
}

static void plan_read(struct store_follower *f, uint64_t now_ms)
{
	f->next_read_ms =
		now_ms + jitter(f, f->is_store_reader ? FOLLOW_READER_POLL_MS
						      : FOLLOW_OTHER_POLL_MS);
}

/* A store reader retries soon; other instances get changes from peers. */
static void plan_retry(struct store_follower *f, uint64_t now_ms)
{
	f->read_failures++;
	if (f->is_store_reader)
		f->next_read_ms =
			now_ms + backoff_ms(f->read_failures,
					    FOLLOW_BACKOFF_MIN_MS,
					    FOLLOW_BACKOFF_MAX_MS, f->rand);
	else
		plan_read(f, now_ms);
}

static void read_store_head(struct store_follower *f,
			    struct follow_actions *out)
{
	f->pending_call = CALL_HEADS;
	add_action(out, FOLLOW_READ_RANGE)->range = store_head_range();
}

static void set_in_force(struct store_follower *f, const struct snapshot *sn)
{
	if (snapshot_epoch(sn) <= f->epoch_in_force)
		return;
	f->epoch_in_force = snapshot_epoch(sn);
	g_strlcpy(f->publish_id_in_force, snapshot_publish_id(sn),
		  sizeof(f->publish_id_in_force));
}

static void emit_snapshot(struct store_follower *f, struct follow_actions *out)
{
	unref_snapshot(f->snapshot);
	f->snapshot = assemble_snapshot(f->part_cache, f->pointer);
	set_in_force(f, f->snapshot);
	add_action(out, FOLLOW_SNAPSHOT_READ)->snapshot = f->snapshot;
}

/* Reads missing parts of f->pointer; emits the snapshot if there are none. */
static void fetch_parts(struct store_follower *f, struct follow_actions *out)
{
	char key[PART_KEY_MAX];

	if (f->requested_parts)
		g_array_free(f->requested_parts, TRUE);
	f->requested_parts = missing_parts(f->part_cache, f->pointer);
	if (!f->requested_parts->len) {
		emit_snapshot(f, out);
		return;
	}
	clear_txn(f->txn);
	for (guint i = 0; i < f->requested_parts->len && i < PARTS_PER_READ_MAX;
	     i++)
		add_get(f->txn, part_key(&g_array_index(f->requested_parts,
							struct part_ref, i),
					 key));
	f->pending_call = CALL_PARTS;
	add_action(out, FOLLOW_COMMIT_TXN)->txn = view_txn(f->txn);
}

static void apply_domain_records(struct store_follower *f,
				 const struct store_head *h,
				 struct follow_actions *out)
{
	for (size_t i = 0; i < h->domains.nr; i++)
		if (merge_domain_record(&f->domains_in_force,
					&h->domains.at[i]))
			add_action(out, FOLLOW_DOMAIN_READ)->domain =
				h->domains.at[i];
}

/*
 * The epoch that the store must record, so that the next publish gets a higher
 * epoch than the one in force here. If the store holds a different publish
 * with the same epoch as the one in force, the store was restored from an
 * older state and published to before a store reader could repair it. An epoch
 * higher by one then makes the next publisher detect this.
 */
static uint64_t required_store_epoch(const struct store_follower *f,
				     const struct store_head *h)
{
	const struct pointer *p = h->pointer;

	if (p && p->epoch == f->epoch_in_force &&
	    strcmp(p->publish_id, f->publish_id_in_force) != 0)
		return f->epoch_in_force + 1;
	return f->epoch_in_force;
}

static bool store_has_epoch(const struct store_follower *f,
			    const struct store_head *h)
{
	uint64_t epoch = h->pointer ? h->pointer->epoch : 0;

	return MAX(epoch, h->seen_epoch) >= required_store_epoch(f, h);
}

/* Whether some record of H is older than the one in force here. */
static bool store_is_older(const struct store_follower *f,
			   const struct store_head *h)
{
	if (!store_has_epoch(f, h))
		return true;
	for (size_t i = 0; i < f->domains_in_force.nr; i++) {
		const struct domain_record *rec = &f->domains_in_force.at[i];
		const struct domain_record *theirs =
			find_domain(&h->domains, rec->name);

		if ((theirs ? theirs->epoch : 0) < rec->epoch)
			return true;
	}
	return false;
}

/* Writes the records in force to a store that was restored to older ones. */
static void repair_store(struct store_follower *f, const struct store_head *h,
			 struct follow_actions *out)
{
	char key[AUDIT_KEY_MAX];

	clear_txn(f->txn);
	if (!store_has_epoch(f, h)) {
		add_compare(f->txn, KEY_SEEN_EPOCH, h->seen_epoch_revision);
		add_seen_epoch_put(f->txn, required_store_epoch(f, h));
	}
	for (size_t i = 0; i < f->domains_in_force.nr; i++) {
		const struct domain_record *rec = &f->domains_in_force.at[i];
		int k = find_domain_index(h, rec->name);

		if (k >= 0 && h->domains.at[k].epoch >= rec->epoch)
			continue;
		add_compare(f->txn, domain_key(rec->name, key),
			    k < 0 ? 0 : h->domain_revisions[k]);
		add_domain_put(f->txn, rec);
	}
	f->pending_call = CALL_REPAIR;
	add_action(out, FOLLOW_COMMIT_TXN)->txn = view_txn(f->txn);
}

static void adopt_newer_pointer(struct store_follower *f, struct store_head *h,
				struct follow_actions *out)
{
	if (!h->pointer || h->pointer->epoch <= f->epoch_in_force)
		return;
	destroy_pointer(f->pointer);
	f->pointer = h->pointer;
	h->pointer = NULL;
	fetch_parts(f, out);
}

/* Ends the watch; the next tick opens a new one. */
static void stop_watch(struct store_follower *f, struct follow_actions *out)
{
	add_action(out, FOLLOW_STOP_WATCH);
	f->watching = false;
}

/*
 * The watch is replaced if the read has changes that it did not deliver, since
 * it may be broken without an error, and if the store was restored to a lower
 * revision, since the watch would deliver nothing until the store's revision
 * exceeds the one before.
 */
static void handle_store_head(struct store_follower *f,
			      const struct store_answer *a, uint64_t now_ms,
			      struct follow_actions *out)
{
	struct status st;

	release_store_head(&f->last_head);
	if (decode_store_head(&f->last_head, a, &st) != STATUS_OK) {
		f->corrupt_count++;
		plan_retry(f, now_ms);
		return;
	}
	f->read_failures = 0;
	plan_read(f, now_ms);
	apply_domain_records(f, &f->last_head, out);
	if (f->is_store_reader && store_is_older(f, &f->last_head))
		repair_store(f, &f->last_head, out);
	else
		adopt_newer_pointer(f, &f->last_head, out);
	if (f->watching && (out->nr || a->revision < f->head_revision))
		stop_watch(f, out);
	f->head_revision = a->revision;
}

static void handle_parts(struct store_follower *f, const struct store_answer *a,
			 uint64_t now_ms, struct follow_actions *out)
{
	char key[PART_KEY_MAX];

	for (guint i = 0; i < f->requested_parts->len && i < PARTS_PER_READ_MAX;
	     i++) {
		const struct part_ref *part =
			&g_array_index(f->requested_parts, struct part_ref, i);
		const struct store_entry *e =
			find_store_entry(a, part_key(part, key));

		if (e && add_cached_part(f->part_cache, part, e->value, e->len))
			continue;
		if (e)
			f->corrupt_count++;
		plan_retry(f, now_ms);
		return;
	}
	if (f->pointer->epoch > f->epoch_in_force)
		fetch_parts(f, out);
}

static void handle_answer(struct store_follower *f,
			  const struct store_answer *a, uint64_t now_ms,
			  struct follow_actions *out)
{
	enum follow_call call = f->pending_call;

	f->pending_call = CALL_NONE;
	if (a->status.kind != STATUS_OK) {
		plan_retry(f, now_ms);
		return;
	}
	f->last_answer_ms = now_ms;
	if (call == CALL_HEADS)
		handle_store_head(f, a, now_ms, out);
	else if (call == CALL_PARTS)
		handle_parts(f, a, now_ms, out);
	else if (f->last_head.pointer)
		adopt_newer_pointer(f, &f->last_head, out);
}

/* An answer of the watch holds only the keys that changed. */
static void handle_watch_answer(struct store_follower *f,
				const struct store_answer *a, uint64_t now_ms,
				struct follow_actions *out)
{
	struct store_head h;
	struct status st;

	if (a->status.kind != STATUS_OK) {
		f->watching = false;
		f->watch_failures++;
		f->next_watch_ms =
			now_ms + backoff_ms(f->watch_failures,
					    FOLLOW_BACKOFF_MIN_MS,
					    FOLLOW_BACKOFF_MAX_MS, f->rand);
		return;
	}
	f->watch_failures = 0;
	f->last_answer_ms = now_ms;
	if (decode_store_head(&h, a, &st) == STATUS_OK) {
		f->head_revision = MAX(f->head_revision, a->revision);
		apply_domain_records(f, &h, out);
		if (f->pending_call == CALL_NONE)
			adopt_newer_pointer(f, &h, out);
		else if (h.pointer)
			f->next_read_ms = now_ms;
	} else {
		f->corrupt_count++;
		f->next_read_ms = now_ms;
	}
	release_store_head(&h);
}

static void handle_role(struct store_follower *f, bool reader, uint64_t now_ms,
			struct follow_actions *out)
{
	if (f->is_store_reader == reader)
		return;
	f->is_store_reader = reader;
	if (reader) {
		f->next_read_ms = MIN(f->next_read_ms,
				      now_ms + jitter(f, NEW_READER_READ_MS));
		return;
	}
	if (f->last_answer_ms && !f->read_failures)
		plan_read(f, now_ms);
	if (f->watching)
		stop_watch(f, out);
}

static void handle_tick(struct store_follower *f, uint64_t now_ms,
			struct follow_actions *out)
{
	struct follow_action *a;

	if (!f->first_read_planned) {
		f->first_read_planned = true;
		f->next_read_ms =
			now_ms + (uint64_t)g_rand_int_range(
					 f->rand, 0, FOLLOW_FIRST_READ_MAX_MS);
	}
	if (f->pending_call == CALL_NONE && now_ms >= f->next_read_ms)
		read_store_head(f, out);
	if (!f->is_store_reader || f->watching || !f->head_revision ||
	    f->read_failures || now_ms < f->next_watch_ms)
		return;
	f->watching = true;
	a = add_action(out, FOLLOW_WATCH);
	a->range = store_head_range();
	a->revision = f->head_revision + 1;
}

void step_store_follower(struct store_follower *f,
			 const struct follow_event *ev, uint64_t now_ms,
			 struct follow_actions *out)
{
	out->nr = 0;
	switch (ev->kind) {
	case FOLLOW_TICK:
		handle_tick(f, now_ms, out);
		break;
	case FOLLOW_ANSWER:
		handle_answer(f, ev->answer, now_ms, out);
		break;
	case FOLLOW_WATCH_ANSWER:
		handle_watch_answer(f, ev->answer, now_ms, out);
		break;
	case FOLLOW_ROLE_CHANGED:
		handle_role(f, ev->is_store_reader, now_ms, out);
		break;
	case FOLLOW_SNAPSHOT_IN_FORCE:
		set_in_force(f, ev->snapshot);
		break;
	case FOLLOW_DOMAIN_IN_FORCE:
		merge_domain_record(&f->domains_in_force, ev->domain);
		break;
	}
}
