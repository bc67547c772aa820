#include "fleet/health-notice.h"

#include <string.h>
#include <xxhash.h>

#define NOTICE_FIELDS 9
#define UPSTREAMS_MAX 1024 /* upstreams remembered; older ones are dropped */

/* Differs from the seeds of other rendezvous hashes. */
#define ASSESSOR_HASH_SEED 0x617373657373

#define WITNESSES_MAX 8 /* for one upstream; more prove no more */

/* An instance that has a packet without an answer. */
struct witness {
	uint64_t member_id;
	uint32_t unanswered_ms; /* when it was heard */
	uint64_t heard_ms;
};

/* The last notices about an upstream, those sent and those received. */
struct upstream_notices {
	uint64_t upstream_id;
	uint64_t sent_ms[NOTICE_KIND_NR]; /* 0: never */
	uint32_t check_ms[NOTICE_KIND_NR];
	enum upstream_health health[NOTICE_KIND_NR];
	struct witness witnesses[WITNESSES_MAX];
	unsigned int witness_nr;
};

struct health_notices {
	const struct view *view;
	GArray *outgoing;      /* of struct outgoing_notice */
	GHashTable *upstreams; /* upstream id -> struct upstream_notices */
	uint64_t last_tick_ms;
	uint64_t paused_ms;  /* length of the last pause */
	uint64_t resumed_ms; /* when it ended; 0: there was none */
	notice_link_fn is_link_doubtful;
	void *link_user;
};

void write_health_notice(struct wire_writer *w, const struct health_notice *n)
{
	write_array(w, NOTICE_FIELDS);
	write_uint(w, HEALTH_NOTICE_FORMAT);
	write_uint(w, n->kind);
	write_str(w, n->sender);
	write_str(w, n->domain);
	write_uint(w, n->cookie);
	write_uint(w, n->upstream_id);
	write_uint(w, n->health);
	write_uint(w, n->silent_ms);
	write_uint(w, n->check_ms);
}

bool read_health_notice(const void *data, size_t len, struct health_notice *n)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len) &&
		  r.remaining == NOTICE_FIELDS &&
		  read_uint(&r, UINT8_MAX) == HEALTH_NOTICE_FORMAT;

	if (ok) {
		n->kind = (enum health_notice_kind)read_uint(
			&r, NOTICE_KIND_NR - 1);
		read_str(&r, n->sender, sizeof(n->sender));
		read_str(&r, n->domain, sizeof(n->domain));
		n->cookie = (uint32_t)read_uint(&r, UINT32_MAX);
		n->upstream_id = read_uint(&r, UINT64_MAX);
		n->health = (enum upstream_health)read_uint(&r, HEALTH_DEAD);
		n->silent_ms = (uint32_t)read_uint(&r, UINT32_MAX);
		n->check_ms = (uint32_t)read_uint(&r, UINT32_MAX);
		ok = !r.malformed && !r.remaining && n->sender[0] &&
		     n->domain[0];
	}
	if (ok && n->health != HEALTH_GOOD &&
	    (n->kind == NOTICE_SUSPICION) != (n->health == HEALTH_SUSPECTED))
		ok = false;
	release_wire_message(&msg);
	return ok;
}

bool is_stale_notice(const struct health_notice *n, uint64_t held_ms)
{
	return n->check_ms + held_ms > HEALTH_NOTICE_MAX_AGE_MS;
}

struct health_notices *create_health_notices(const struct view *view)
{
	struct health_notices *hn = g_new0(struct health_notices, 1);

	hn->view = view;
	hn->outgoing =
		g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	hn->upstreams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return hn;
}

void destroy_health_notices(struct health_notices *hn)
{
	if (!hn)
		return;
	g_array_free(hn->outgoing, TRUE);
	g_hash_table_destroy(hn->upstreams);
	g_free(hn);
}

void set_notice_link_test(struct health_notices *hn, notice_link_fn fn,
			  void *user)
{
	hn->is_link_doubtful = fn;
	hn->link_user = user;
}

bool is_notice_link_doubtful(const struct health_notices *hn,
			     const char *domain)
{
	return hn->is_link_doubtful &&
	       hn->is_link_doubtful(domain, hn->link_user);
}

static struct upstream_notices *get_or_create_notices(struct health_notices *hn,
						      uint64_t id)
{
	struct upstream_notices *un = g_hash_table_lookup(hn->upstreams, &id);

	if (un)
		return un;
	if (g_hash_table_size(hn->upstreams) >= UPSTREAMS_MAX)
		g_hash_table_remove_all(hn->upstreams);
	un = g_new0(struct upstream_notices, 1);
	un->upstream_id = id;
	g_hash_table_insert(hn->upstreams, &un->upstream_id, un);
	return un;
}

static uint64_t repeat_ms(enum health_notice_kind kind)
{
	switch (kind) {
	case NOTICE_SUSPICION:
		return HEALTH_SUSPICION_REPEAT_MS;
	case NOTICE_VERDICT:
	case NOTICE_LINK_CHECK:
		return HEALTH_VERDICT_REPEAT_MS;
	case NOTICE_KIND_NR:
		break;
	}
	return 0;
}

bool holds_in_all_domains(enum upstream_health health, const char *sender,
			  const char *upstream)
{
	switch (health) {
	case HEALTH_GOOD:
		return true;
	case HEALTH_DEAD:
		return !strcmp(sender, upstream);
	case HEALTH_SUSPECTED:
	case HEALTH_UNREACHABLE:
		break;
	}
	return false;
}

static bool was_sent(const struct upstream_notices *un,
		     const struct health_notice *n, uint64_t now_ms)
{
	/* from then on it counts like a check */
	if (n->kind == NOTICE_SUSPICION &&
	    n->check_ms >= HEALTH_UNANSWERED_MS &&
	    un->check_ms[n->kind] < HEALTH_UNANSWERED_MS)
		return false;
	return un->sent_ms[n->kind] && un->health[n->kind] == n->health &&
	       now_ms - un->sent_ms[n->kind] < repeat_ms(n->kind);
}

static void note_sent(struct upstream_notices *un,
		      const struct health_notice *n, uint64_t now_ms)
{
	un->sent_ms[n->kind] = now_ms;
	un->check_ms[n->kind] = n->check_ms;
	un->health[n->kind] = n->health;
}

bool concerns_link(enum health_notice_kind k)
{
	return k == NOTICE_LINK_CHECK;
}

void post_health_notice(struct health_notices *hn,
			const struct health_notice *n, const char *domain,
			uint64_t now_ms)
{
	const struct member *self = find_member(hn->view, view_self(hn->view));
	struct upstream_notices *un = get_or_create_notices(hn, n->upstream_id);
	struct outgoing_notice on = { .notice = *n };

	if (!self ||
	    (!concerns_link(n->kind) && is_notice_link_doubtful(hn, domain)) ||
	    was_sent(un, n, now_ms))
		return;
	note_sent(un, n, now_ms);
	memcpy(on.notice.sender, self->name, sizeof(on.notice.sender));
	memcpy(on.notice.domain, self->domain, sizeof(on.notice.domain));
	on.to_all = n->kind == NOTICE_VERDICT &&
		    holds_in_all_domains(n->health, self->domain, domain);
	g_array_append_val(hn->outgoing, on);
}

void note_received_notice(struct health_notices *hn,
			  const struct health_notice *n, uint64_t now_ms)
{
	const struct member *self = find_member(hn->view, view_self(hn->view));

	/* others of this domain have it too */
	if (self && n->kind == NOTICE_VERDICT &&
	    !strcmp(self->domain, n->domain))
		note_sent(get_or_create_notices(hn, n->upstream_id), n, now_ms);
}

bool note_witness(struct health_notices *hn, uint64_t id, uint64_t member,
		  uint32_t unanswered_ms, uint64_t now_ms)
{
	struct upstream_notices *un = get_or_create_notices(hn, id);
	unsigned int i = 0;
	bool new;

	while (i < un->witness_nr && un->witnesses[i].member_id != member)
		i++;
	new = i == un->witness_nr;
	if (i == WITNESSES_MAX)
		return true;
	un->witnesses[i] = (struct witness){ member, unanswered_ms, now_ms };
	un->witness_nr += new;
	return new;
}

void forget_witnesses(struct health_notices *hn, uint64_t id)
{
	struct upstream_notices *un = g_hash_table_lookup(hn->upstreams, &id);

	if (un)
		un->witness_nr = 0;
}

unsigned int unanswered_witness_count(const struct health_notices *hn,
				      uint64_t id, uint64_t now_ms)
{
	const struct upstream_notices *un =
		g_hash_table_lookup(hn->upstreams, &id);
	unsigned int n = 0;

	for (unsigned int i = 0; un && i < un->witness_nr; i++)
		n += un->witnesses[i].unanswered_ms >= HEALTH_UNANSWERED_MS &&
		     now_ms - un->witnesses[i].heard_ms <=
			     HEALTH_NOTICE_MAX_AGE_MS;
	return n;
}

bool tick_health_notices(struct health_notices *hn, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - hn->last_tick_ms;
	bool paused = hn->last_tick_ms && gap_ms > HEALTH_PAUSE_MS;
	GHashTableIter it;
	gpointer un;

	hn->last_tick_ms = now_ms;
	if (!paused)
		return false;
	hn->paused_ms = gap_ms;
	hn->resumed_ms = now_ms;
	g_hash_table_iter_init(&it, hn->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &un))
		((struct upstream_notices *)un)->witness_nr = 0;
	return true;
}

uint64_t notice_held_ms(const struct health_notices *hn, uint64_t now_ms)
{
	uint64_t gap_ms = hn->last_tick_ms ? now_ms - hn->last_tick_ms : 0;

	if (hn->resumed_ms && now_ms - hn->resumed_ms < HEALTH_HELD_MS)
		return MAX(gap_ms, hn->paused_ms);
	return gap_ms > HEALTH_PAUSE_MS ? gap_ms : 0;
}

void pop_health_notices(struct health_notices *hn, GArray *out)
{
	g_array_append_vals(out, hn->outgoing->data, hn->outgoing->len);
	g_array_set_size(hn->outgoing, 0);
}

static bool outranks(const struct member *a, const struct member *b,
		     uint64_t id)
{
	uint64_t x = XXH64(&a->id, sizeof(a->id), id ^ ASSESSOR_HASH_SEED);
	uint64_t y = XXH64(&b->id, sizeof(b->id), id ^ ASSESSOR_HASH_SEED);

	return x > y || (x == y && a->id > b->id);
}

/* Appends the assessor of upstream ID in each failure domain to TO. */
static void list_assessors(const struct health_notices *hn, uint64_t id,
			   GArray *to)
{
	guint first = to->len;
	const struct member *ms;
	size_t nr;

	ms = view_members(hn->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		const struct member *m = &ms[i];
		guint k = first;

		if (!is_live_member(m))
			continue;
		while (k < to->len &&
		       strcmp(g_array_index(to, const struct member *, k)
				      ->domain,
			      m->domain) != 0)
			k++;
		if (k == to->len)
			g_array_append_val(to, m);
		else if (outranks(m,
				  g_array_index(to, const struct member *, k),
				  id))
			g_array_index(to, const struct member *, k) = m;
	}
}

bool is_upstream_assessor(const struct health_notices *hn, uint64_t id)
{
	const struct member *self = find_member(hn->view, view_self(hn->view));
	const struct member *ms;
	size_t nr;

	if (!self)
		return true;
	ms = view_members(hn->view, &nr);
	for (size_t i = 0; i < nr; i++)
		if (ms[i].id != self->id && is_live_member(&ms[i]) &&
		    !strcmp(ms[i].domain, self->domain) &&
		    outranks(&ms[i], self, id))
			return false;
	return true;
}

void list_notice_receivers(const struct health_notices *hn,
			   const struct outgoing_notice *on, GArray *to)
{
	const struct health_notice *n = &on->notice;
	bool to_assessors = n->kind == NOTICE_SUSPICION;
	guint first = to->len;
	const struct member *ms;
	size_t nr;

	if (!on->to_all && !concerns_link(n->kind))
		list_assessors(hn, n->upstream_id, to);
	for (guint i = to->len; i > first; i--) {
		const struct member *m =
			g_array_index(to, const struct member *, i - 1);

		if (to_assessors ? m->id == view_self(hn->view)
				 : !strcmp(m->domain, n->domain))
			g_array_remove_index_fast(to, i - 1);
	}
	if (to_assessors)
		return;
	ms = view_members(hn->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		const struct member *m = &ms[i];

		if (m->id != view_self(hn->view) && m->state != MEMBER_DEAD &&
		    (on->to_all || !strcmp(m->domain, n->domain)))
			g_array_append_val(to, m);
	}
}
