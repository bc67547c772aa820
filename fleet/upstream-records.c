/*
 * Upstream states as records: any instance that judges an upstream raises its
 * version; of two that do so at once the higher member id wins everywhere. A
 * state is believed while the one who judged it lives, and ORPHAN_MS longer,
 * so that whoever probes the upstream next has time to judge it.
 */

#include "fleet/internal.h"

#define ORPHAN_MS 10000
#define JUDGE_BITS 24 /* of the judge's id, below the version's count */
#define UPSTREAM_FIELD_NR 2

struct verdict {
	enum upstream_state state;
	uint64_t judge;
};

static bool read_verdict(const struct record *rec, struct verdict *v)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire(&msg, &r, rec->body, rec->len);

	if (ok) {
		v->state = (enum upstream_state)take_uint(
			&r, UPSTREAM_STATE_NR - 1);
		v->judge = take_uint(&r, UINT64_MAX);
	}
	release_wire(&msg);
	return ok && !r.bad;
}

/* True if JUDGE lives, or died less than ORPHAN_MS ago. */
static bool is_believed(const struct fleet *f, uint64_t judge)
{
	const struct member *m = find_member(f->view, judge);
	const uint64_t *due = g_hash_table_lookup(f->judges, &judge);

	return (m && m->state != MEMBER_DEAD) || (due && f->now < *due);
}

static void show_upstream(struct fleet *f, const struct record *rec)
{
	struct verdict v;

	if (!read_verdict(rec, &v)) {
		count(f->counters, COUNT_PEER_MALFORMED);
		return;
	}
	if (!is_believed(f, v.judge))
		v.state = UPSTREAM_UNKNOWN;
	if (v.state == judged_upstream_state(f->view, rec->key))
		return;
	set_upstream_state(f->view, rec->key, v.state);
	add_action(f, FLEET_UPSTREAM_CHANGED)->id = rec->key;
}

void take_upstream(struct fleet *f, const struct record *rec)
{
	show_upstream(f, rec);
}

static bool is_judge_dead(const struct fleet *f, uint64_t judge)
{
	const struct member *m = find_member(f->view, judge);

	return !m || m->state == MEMBER_DEAD;
}

/* True if REC says STATE already, on the word of an instance that lives. */
static bool is_known(const struct fleet *f, const struct record *rec,
		     enum upstream_state state)
{
	struct verdict v;

	return rec && read_verdict(rec, &v) && v.state == state &&
	       !is_judge_dead(f, v.judge);
}

void judge_upstream(struct fleet *f, uint64_t id, enum upstream_state state)
{
	const struct record *rec = find_record(f->sets[SET_UPSTREAMS], id);
	uint64_t judge = f->self.id >> (64 - JUDGE_BITS);
	uint64_t nr = rec ? rec->version >> JUDGE_BITS : 0;
	struct wire_writer w;

	if (is_known(f, rec, state))
		return;
	init_wire_writer(&w);
	put_array(&w, UPSTREAM_FIELD_NR);
	put_uint(&w, state);
	put_uint(&w, f->self.id);
	publish_record(f, SET_UPSTREAMS, id, (nr + 1) << JUDGE_BITS | judge,
		       &w);
	release_wire_writer(&w);
}

void note_judge(struct fleet *f, uint64_t judge, bool dead)
{
	uint64_t due = f->now + (dead ? ORPHAN_MS : 0);

	g_hash_table_insert(f->judges, g_memdup2(&judge, sizeof(judge)),
			    g_memdup2(&due, sizeof(due)));
}

/* Takes the judges whose time has come out of the table. */
static GHashTable *take_due_judges(struct fleet *f)
{
	GHashTable *due = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	GHashTableIter it;
	gpointer judge;
	gpointer at;

	g_hash_table_iter_init(&it, f->judges);
	while (g_hash_table_iter_next(&it, &judge, &at)) {
		if (f->now < *(const uint64_t *)at)
			continue;
		g_hash_table_iter_steal(&it);
		g_hash_table_insert(due, judge, at);
	}
	return due;
}

static void show_judged(struct fleet *f, const struct record *rec,
			GHashTable *judges)
{
	struct verdict v;

	if (read_verdict(rec, &v) && g_hash_table_contains(judges, &v.judge))
		show_upstream(f, rec);
}

/* Shows again what members judged that came or are dead for a while. */
void tick_upstreams(struct fleet *f)
{
	const struct records *rs = f->sets[SET_UPSTREAMS];
	GHashTable *due;

	if (!g_hash_table_size(f->judges))
		return;
	due = take_due_judges(f);
	for (size_t b = 0; g_hash_table_size(due) && b < bucket_nr(rs); b++) {
		const GPtrArray *at = record_bucket(rs, b);

		for (guint i = 0; i < at->len; i++)
			show_judged(f, g_ptr_array_index(at, i), due);
	}
	g_hash_table_destroy(due);
}
