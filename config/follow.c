#include "config/follow.h"

#include <glib.h>
#include <string.h>

#include "base/backoff.h"
#include "config/store-heads.h"
#include "config/keys.h"
#include "config/parts.h"

#define GETS_MAX 64 /* parts read by one call */

/* What the call under way is for. */
enum follow_call { CALL_NONE, CALL_HEADS, CALL_PARTS, CALL_REPAIR };

struct follow {
	GRand *rand;
	bool reader;
	enum follow_call call;
	bool watching;
	uint64_t revision; /* of the heads last read or watched */
	uint64_t next_read;
	bool timed;	       /* next_read is set */
	unsigned int failures; /* of reads, in a row */
	uint64_t next_watch;
	unsigned int watch_failures;
	uint64_t contact;
	uint64_t corrupt;
	uint64_t epoch;			 /* in force here */
	char publish_id[PUBLISH_ID_MAX]; /* of the same */
	struct domain_set domains;
	struct pointer *pointer; /* being fetched or last taken */
	GArray *asked;		 /* of struct part_ref */
	struct assembly *assembly;
	struct snapshot *snapshot; /* last handed out */
	struct heads heads;	   /* last read whole */
	struct txn *txn;
};

struct follow *create_follow(uint32_t seed)
{
	struct follow *f = g_new0(struct follow, 1);

	f->rand = g_rand_new_with_seed(seed);
	f->assembly = create_assembly();
	f->txn = create_txn();
	f->reader = true;
	return f;
}

void destroy_follow(struct follow *f)
{
	if (!f)
		return;
	g_rand_free(f->rand);
	destroy_pointer(f->pointer);
	if (f->asked)
		g_array_free(f->asked, TRUE);
	destroy_assembly(f->assembly);
	unref_snapshot(f->snapshot);
	release_heads(&f->heads);
	destroy_txn(f->txn);
	g_free(f);
}

uint64_t follow_contact_ms(const struct follow *f)
{
	return f->contact;
}

uint64_t follow_corrupt_nr(const struct follow *f)
{
	return f->corrupt;
}

static struct follow_action *add_action(struct follow_actions *out,
					enum follow_action_kind kind)
{
	struct follow_action *a = &out->at[out->nr++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

/* MS and up to a quarter more or less. */
static uint64_t jitter(struct follow *f, uint64_t ms)
{
	return (uint64_t)g_rand_double_range(f->rand, 0.75 * (double)ms,
					     1.25 * (double)ms);
}

static void plan_read(struct follow *f, uint64_t now)
{
	f->next_read =
		now + jitter(f, f->reader ? FOLLOW_READ_MS : FOLLOW_RARE_MS);
}

/* A reader tries again soon; the others have the news from their peers. */
static void fail(struct follow *f, uint64_t now)
{
	f->failures++;
	if (f->reader)
		f->next_read = now + backoff_ms(f->failures, FOLLOW_BACKOFF_MS,
						FOLLOW_BACKOFF_MAX_MS, f->rand);
	else
		plan_read(f, now);
}

static void read_store(struct follow *f, struct follow_actions *out)
{
	f->call = CALL_HEADS;
	add_action(out, FOLLOW_RANGE)->range = heads_range();
}

static void note_in_force(struct follow *f, const struct snapshot *sn)
{
	if (snapshot_epoch(sn) <= f->epoch)
		return;
	f->epoch = snapshot_epoch(sn);
	g_strlcpy(f->publish_id, snapshot_publish_id(sn),
		  sizeof(f->publish_id));
}

static void hand_out(struct follow *f, struct follow_actions *out)
{
	unref_snapshot(f->snapshot);
	f->snapshot = assemble(f->assembly, f->pointer);
	note_in_force(f, f->snapshot);
	add_action(out, FOLLOW_SNAPSHOT)->snapshot = f->snapshot;
}

/* Fetches what is missing of f->pointer, or hands the whole out. */
static void fetch_parts(struct follow *f, struct follow_actions *out)
{
	char key[PART_KEY_MAX];

	if (f->asked)
		g_array_free(f->asked, TRUE);
	f->asked = missing_parts(f->assembly, f->pointer);
	if (!f->asked->len) {
		hand_out(f, out);
		return;
	}
	clear_txn(f->txn);
	for (guint i = 0; i < f->asked->len && i < GETS_MAX; i++)
		add_get(f->txn,
			part_key(&g_array_index(f->asked, struct part_ref, i),
				 key));
	f->call = CALL_PARTS;
	add_action(out, FOLLOW_COMMIT)->txn = view_txn(f->txn);
}

static void take_domains(struct follow *f, const struct heads *h,
			 struct follow_actions *out)
{
	for (size_t i = 0; i < h->domains.nr; i++)
		if (merge_domain_record(&f->domains, &h->domains.at[i]))
			add_action(out, FOLLOW_DOMAIN)->domain =
				h->domains.at[i];
}

/*
 * The epoch that the store must know of, so that the next publish is above
 * what is in force here. If the store holds another publish of the very epoch
 * that is in force, it came back older and was published to before any reader
 * told it; one more epoch makes the next publisher see that.
 */
static uint64_t epoch_to_tell(const struct follow *f, const struct heads *h)
{
	const struct pointer *p = h->pointer;

	if (p && p->epoch == f->epoch &&
	    strcmp(p->publish_id, f->publish_id) != 0)
		return f->epoch + 1;
	return f->epoch;
}

static bool knows_epoch(const struct follow *f, const struct heads *h)
{
	uint64_t epoch = h->pointer ? h->pointer->epoch : 0;

	return MAX(epoch, h->seen) >= epoch_to_tell(f, h);
}

/* Whether H holds an older record than is in force here. */
static bool is_older(const struct follow *f, const struct heads *h)
{
	if (!knows_epoch(f, h))
		return true;
	for (size_t i = 0; i < f->domains.nr; i++) {
		const struct domain_record *rec = &f->domains.at[i];
		const struct domain_record *theirs =
			find_domain(&h->domains, rec->name);

		if ((theirs ? theirs->epoch : 0) < rec->epoch)
			return true;
	}
	return false;
}

/* Tells a store that came back older what is in force. */
static void repair_store(struct follow *f, const struct heads *h,
			 struct follow_actions *out)
{
	char key[AUDIT_KEY_MAX];

	clear_txn(f->txn);
	if (!knows_epoch(f, h)) {
		add_compare(f->txn, KEY_SEEN, h->seen_revision);
		add_seen(f->txn, epoch_to_tell(f, h));
	}
	for (size_t i = 0; i < f->domains.nr; i++) {
		const struct domain_record *rec = &f->domains.at[i];
		int k = domain_index(h, rec->name);

		if (k >= 0 && h->domains.at[k].epoch >= rec->epoch)
			continue;
		add_compare(f->txn, domain_key(rec->name, key),
			    k < 0 ? 0 : h->domain_revision[k]);
		add_domain(f->txn, rec);
	}
	f->call = CALL_REPAIR;
	add_action(out, FOLLOW_COMMIT)->txn = view_txn(f->txn);
}

static void take_pointer(struct follow *f, struct heads *h,
			 struct follow_actions *out)
{
	if (!h->pointer || h->pointer->epoch <= f->epoch)
		return;
	destroy_pointer(f->pointer);
	f->pointer = h->pointer;
	h->pointer = NULL;
	fetch_parts(f, out);
}

/* Ends the watch; it is opened anew by the next tick. */
static void stop_watch(struct follow *f, struct follow_actions *out)
{
	add_action(out, FOLLOW_STOP_WATCH);
	f->watching = false;
}

/*
 * News that the watch did not bring ends it: it may be silent for good. So
 * does a store that came back with a lower revision, which it waits for.
 */
static void on_heads(struct follow *f, const struct store_answer *a,
		     uint64_t now, struct follow_actions *out)
{
	struct status st;

	release_heads(&f->heads);
	if (read_heads(&f->heads, a, &st) != STATUS_OK) {
		f->corrupt++;
		fail(f, now);
		return;
	}
	f->failures = 0;
	plan_read(f, now);
	take_domains(f, &f->heads, out);
	if (f->reader && is_older(f, &f->heads))
		repair_store(f, &f->heads, out);
	else
		take_pointer(f, &f->heads, out);
	if (f->watching && (out->nr || a->revision < f->revision))
		stop_watch(f, out);
	f->revision = a->revision;
}

static void on_parts(struct follow *f, const struct store_answer *a,
		     uint64_t now, struct follow_actions *out)
{
	char key[PART_KEY_MAX];

	for (guint i = 0; i < f->asked->len && i < GETS_MAX; i++) {
		const struct part_ref *part =
			&g_array_index(f->asked, struct part_ref, i);
		const struct store_entry *e =
			find_entry(a, part_key(part, key));

		if (e && add_part(f->assembly, part, e->value, e->len))
			continue;
		if (e)
			f->corrupt++;
		fail(f, now);
		return;
	}
	if (f->pointer->epoch > f->epoch)
		fetch_parts(f, out);
}

static void on_answer(struct follow *f, const struct store_answer *a,
		      uint64_t now, struct follow_actions *out)
{
	enum follow_call call = f->call;

	f->call = CALL_NONE;
	if (a->status.kind != STATUS_OK) {
		fail(f, now);
		return;
	}
	f->contact = now;
	if (call == CALL_HEADS)
		on_heads(f, a, now, out);
	else if (call == CALL_PARTS)
		on_parts(f, a, now, out);
	else if (f->heads.pointer)
		take_pointer(f, &f->heads, out);
}

/* News of a watch holds only the keys that changed. */
static void on_watched(struct follow *f, const struct store_answer *a,
		       uint64_t now, struct follow_actions *out)
{
	struct heads h;
	struct status st;

	if (a->status.kind != STATUS_OK) {
		f->watching = false;
		f->watch_failures++;
		f->next_watch =
			now + backoff_ms(f->watch_failures, FOLLOW_BACKOFF_MS,
					 FOLLOW_BACKOFF_MAX_MS, f->rand);
		return;
	}
	f->watch_failures = 0;
	f->contact = now;
	if (read_heads(&h, a, &st) == STATUS_OK) {
		f->revision = MAX(f->revision, a->revision);
		take_domains(f, &h, out);
		if (f->call == CALL_NONE)
			take_pointer(f, &h, out);
		else if (h.pointer)
			f->next_read = now;
	} else {
		f->corrupt++;
		f->next_read = now;
	}
	release_heads(&h);
}

static void on_role(struct follow *f, bool reader, uint64_t now,
		    struct follow_actions *out)
{
	if (f->reader == reader)
		return;
	f->reader = reader;
	if (reader) {
		f->next_read = MIN(f->next_read, now + jitter(f, 100));
		return;
	}
	if (f->contact && !f->failures)
		plan_read(f, now);
	if (f->watching)
		stop_watch(f, out);
}

static void on_tick(struct follow *f, uint64_t now, struct follow_actions *out)
{
	struct follow_action *a;

	if (!f->timed) {
		f->timed = true;
		f->next_read = now + (uint64_t)g_rand_int_range(
					     f->rand, 0, FOLLOW_FIRST_MS);
	}
	if (f->call == CALL_NONE && now >= f->next_read)
		read_store(f, out);
	if (!f->reader || f->watching || !f->revision || f->failures ||
	    now < f->next_watch)
		return;
	f->watching = true;
	a = add_action(out, FOLLOW_WATCH);
	a->range = heads_range();
	a->revision = f->revision + 1;
}

void step_follow(struct follow *f, const struct follow_event *ev,
		 uint64_t now_ms, struct follow_actions *out)
{
	out->nr = 0;
	switch (ev->kind) {
	case FOLLOW_TICK:
		on_tick(f, now_ms, out);
		break;
	case FOLLOW_ANSWER:
		on_answer(f, ev->answer, now_ms, out);
		break;
	case FOLLOW_WATCHED:
		on_watched(f, ev->answer, now_ms, out);
		break;
	case FOLLOW_ROLE:
		on_role(f, ev->reader, now_ms, out);
		break;
	case FOLLOW_IN_FORCE:
		note_in_force(f, ev->snapshot);
		break;
	case FOLLOW_RECORD:
		merge_domain_record(&f->domains, ev->domain);
		break;
	}
}
