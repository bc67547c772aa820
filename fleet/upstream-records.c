/*
 * Records of upstream states. An instance that publishes a state raises the
 * record's version; of two that do so concurrently the higher member id wins
 * everywhere. A state is valid while its publisher lives and PUBLISHER_GRACE_MS
 * longer, so that the next prober of the upstream has time to assess it.
 */

#include "fleet/internal.h"

#define PUBLISHER_GRACE_MS 10000
#define PUBLISHER_BITS 24 /* of the publisher's id, the low bits of a version */
#define UPSTREAM_FIELD_NR 2

struct published_state {
	enum upstream_state state;
	uint64_t publisher;
};

static bool read_published_state(const struct record *rec,
				 struct published_state *ps)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, rec->body, rec->len);

	if (ok) {
		ps->state = (enum upstream_state)read_uint(
			&r, UPSTREAM_STATE_NR - 1);
		ps->publisher = read_uint(&r, UINT64_MAX);
	}
	release_wire_message(&msg);
	return ok && !r.malformed;
}

/* True if the publisher lives, or died less than PUBLISHER_GRACE_MS ago. */
static bool is_publisher_valid(const struct fleet *f, uint64_t publisher)
{
	const struct member *m = find_member(f->view, publisher);
	const uint64_t *due =
		g_hash_table_lookup(f->publisher_checks, &publisher);

	return (m && m->state != MEMBER_DEAD) || (due && f->now_ms < *due);
}

static void update_view_upstream(struct fleet *f, const struct record *rec)
{
	struct published_state ps;

	if (!read_published_state(rec, &ps)) {
		count(f->counters, COUNT_PEER_MALFORMED);
		return;
	}
	if (!is_publisher_valid(f, ps.publisher))
		ps.state = UPSTREAM_UNKNOWN;
	if (ps.state == published_upstream_state(f->view, rec->key))
		return;
	set_upstream_state(f->view, rec->key, ps.state);
	add_action(f, FLEET_UPSTREAM_CHANGED)->id = rec->key;
}

void apply_upstream_record(struct fleet *f, const struct record *rec)
{
	update_view_upstream(f, rec);
}

static bool is_publisher_dead(const struct fleet *f, uint64_t publisher)
{
	const struct member *m = find_member(f->view, publisher);

	return !m || m->state == MEMBER_DEAD;
}

/* True if REC has STATE already and its publisher lives. */
static bool is_published(const struct fleet *f, const struct record *rec,
			 enum upstream_state state)
{
	struct published_state ps;

	return rec && read_published_state(rec, &ps) && ps.state == state &&
	       !is_publisher_dead(f, ps.publisher);
}

void publish_upstream_state(struct fleet *f, uint64_t id,
			    enum upstream_state state)
{
	const struct record *rec = find_record(f->sets[SET_UPSTREAMS], id);
	uint64_t publisher = f->self.id >> (64 - PUBLISHER_BITS);
	uint64_t sequence = rec ? rec->version >> PUBLISHER_BITS : 0;
	struct wire_writer w;

	if (is_published(f, rec, state))
		return;
	init_wire_writer(&w);
	write_array(&w, UPSTREAM_FIELD_NR);
	write_uint(&w, state);
	write_uint(&w, f->self.id);
	publish_record(f, SET_UPSTREAMS, id,
		       (sequence + 1) << PUBLISHER_BITS | publisher, &w);
	release_wire_writer(&w);
}

void schedule_publisher_check(struct fleet *f, uint64_t publisher, bool dead)
{
	uint64_t due = f->now_ms + (dead ? PUBLISHER_GRACE_MS : 0);

	g_hash_table_insert(f->publisher_checks,
			    g_memdup2(&publisher, sizeof(publisher)),
			    g_memdup2(&due, sizeof(due)));
}

/* Removes the publishers that are due from the table and returns them. */
static GHashTable *take_due_publishers(struct fleet *f)
{
	GHashTable *due = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	GHashTableIter it;
	gpointer publisher;
	gpointer at;

	g_hash_table_iter_init(&it, f->publisher_checks);
	while (g_hash_table_iter_next(&it, &publisher, &at)) {
		if (f->now_ms < *(const uint64_t *)at)
			continue;
		g_hash_table_iter_steal(&it);
		g_hash_table_insert(due, publisher, at);
	}
	return due;
}

static void update_view_of_publishers(struct fleet *f, const struct record *rec,
				      GHashTable *publishers)
{
	struct published_state ps;

	if (read_published_state(rec, &ps) &&
	    g_hash_table_contains(publishers, &ps.publisher))
		update_view_upstream(f, rec);
}

/* Evaluates states again whose publishers appeared, or died a while ago. */
void tick_upstreams(struct fleet *f)
{
	const struct records *rs = f->sets[SET_UPSTREAMS];
	GHashTable *due;

	if (!g_hash_table_size(f->publisher_checks))
		return;
	due = take_due_publishers(f);
	for (size_t b = 0; g_hash_table_size(due) && b < bucket_count(rs);
	     b++) {
		const GPtrArray *bucket = record_bucket(rs, b);

		for (guint i = 0; i < bucket->len; i++)
			update_view_of_publishers(
				f, g_ptr_array_index(bucket, i), due);
	}
	g_hash_table_destroy(due);
}
