#include "fleet/health-notice.h"

#include <string.h>
#include <xxhash.h>

#define NOTICE_FIELDS 9
#define SENT_NOTICES_MAX 1024 /* upstreams remembered; older ones are dropped */

/* Differs from the seeds of other rendezvous hashes. */
#define ASSESSOR_HASH_SEED 0x617373657373

/* When a notice about an upstream was last sent. */
struct sent_notice {
	uint64_t upstream_id;
	uint64_t sent_ms[NOTICE_KIND_NR]; /* 0: never */
	enum upstream_health health[NOTICE_KIND_NR];
};

struct health_notices {
	const struct view *view;
	GArray *outgoing; /* of struct outgoing_notice */
	GHashTable *sent; /* upstream id -> struct sent_notice */
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
	if (ok && n->kind == NOTICE_VERDICT && n->health == HEALTH_SUSPECTED)
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
	hn->sent = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	return hn;
}

void destroy_health_notices(struct health_notices *hn)
{
	if (!hn)
		return;
	g_array_free(hn->outgoing, TRUE);
	g_hash_table_destroy(hn->sent);
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

static struct sent_notice *get_or_create_sent(struct health_notices *hn,
					      uint64_t id)
{
	struct sent_notice *sn = g_hash_table_lookup(hn->sent, &id);

	if (sn)
		return sn;
	if (g_hash_table_size(hn->sent) >= SENT_NOTICES_MAX)
		g_hash_table_remove_all(hn->sent);
	sn = g_new0(struct sent_notice, 1);
	sn->upstream_id = id;
	g_hash_table_insert(hn->sent, &sn->upstream_id, sn);
	return sn;
}

static uint64_t repeat_ms(enum health_notice_kind kind)
{
	switch (kind) {
	case NOTICE_VERDICT:
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

static bool was_sent(const struct sent_notice *sn,
		     const struct health_notice *n, uint64_t now_ms)
{
	return sn->sent_ms[n->kind] && sn->health[n->kind] == n->health &&
	       now_ms - sn->sent_ms[n->kind] < repeat_ms(n->kind);
}

static void note_sent(struct sent_notice *sn, const struct health_notice *n,
		      uint64_t now_ms)
{
	sn->sent_ms[n->kind] = now_ms;
	sn->health[n->kind] = n->health;
}

void post_health_notice(struct health_notices *hn,
			const struct health_notice *n, const char *domain,
			uint64_t now_ms)
{
	const struct member *self = find_member(hn->view, view_self(hn->view));
	struct sent_notice *sn = get_or_create_sent(hn, n->upstream_id);
	struct outgoing_notice on = { .notice = *n };

	if (!self || is_notice_link_doubtful(hn, domain) ||
	    was_sent(sn, n, now_ms))
		return;
	note_sent(sn, n, now_ms);
	memcpy(on.notice.sender, self->name, sizeof(on.notice.sender));
	memcpy(on.notice.domain, self->domain, sizeof(on.notice.domain));
	on.to_all = holds_in_all_domains(n->health, self->domain, domain);
	g_array_append_val(hn->outgoing, on);
}

void note_received_notice(struct health_notices *hn,
			  const struct health_notice *n, uint64_t now_ms)
{
	const struct member *self = find_member(hn->view, view_self(hn->view));

	/* others of this domain have it too */
	if (self && n->kind == NOTICE_VERDICT &&
	    !strcmp(self->domain, n->domain))
		note_sent(get_or_create_sent(hn, n->upstream_id), n, now_ms);
}

void tick_health_notices(struct health_notices *hn, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - hn->last_tick_ms;

	if (hn->last_tick_ms && gap_ms > HEALTH_PAUSE_MS) {
		hn->paused_ms = gap_ms;
		hn->resumed_ms = now_ms;
	}
	hn->last_tick_ms = now_ms;
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
	guint first = to->len;
	const struct member *ms;
	size_t nr;

	if (!on->to_all)
		list_assessors(hn, n->upstream_id, to);
	for (guint i = to->len; i > first; i--)
		if (!strcmp(g_array_index(to, const struct member *, i - 1)
				    ->domain,
			    n->domain))
			g_array_remove_index_fast(to, i - 1);
	ms = view_members(hn->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		const struct member *m = &ms[i];

		if (m->id != view_self(hn->view) && m->state != MEMBER_DEAD &&
		    (on->to_all || !strcmp(m->domain, n->domain)))
			g_array_append_val(to, m);
	}
}
