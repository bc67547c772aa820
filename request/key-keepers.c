#include "request/key-keepers.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Members that must know of an instance before it counts as a keeper: those
 * that were keepers of a key before others joined, as long as no more than one
 * joins in each failure domain at a time.
 */
#define WITNESSES_MAX 8
#define WITNESSES_EACH 2 /* of one failure domain */

/* A member that takes part in the choice, or did until DROPPED. */
struct candidate {
	struct member m;
	uint64_t acked;	  /* ms at which it acknowledged; 0: not yet */
	uint64_t missing; /* ms since when the view lacks it; 0: it is there */
	uint64_t dropped; /* ms at which it left the choice; 0: takes part */
};

struct key_keepers {
	const struct view *view;
	bool alone;
	bool leaving;
	uint64_t started;
	GArray *all; /* of struct candidate */
};

struct request_key hash_request_key(uint64_t service, const char *text)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(text, strlen(text), service);
	struct request_key key = { h.high64, h.low64 };

	return key;
}

static struct candidate *candidate_at(const struct key_keepers *ks, guint i)
{
	return &g_array_index(ks->all, struct candidate, i);
}

static struct candidate *find_candidate(const struct key_keepers *ks,
					uint64_t id)
{
	for (guint i = 0; i < ks->all->len; i++)
		if (candidate_at(ks, i)->m.id == id)
			return candidate_at(ks, i);
	return NULL;
}

/* Times are kept above 0, which means "never". */
static uint64_t mark(uint64_t now_ms)
{
	return MAX(now_ms, 1);
}

struct key_keepers *create_key_keepers(const struct view *view, bool alone,
				       uint64_t now_ms)
{
	struct key_keepers *ks = g_new0(struct key_keepers, 1);

	ks->view = view;
	ks->alone = alone;
	ks->started = now_ms;
	ks->all = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	update_key_keepers(ks, now_ms);
	return ks;
}

void destroy_key_keepers(struct key_keepers *ks)
{
	if (!ks)
		return;
	g_array_free(ks->all, TRUE);
	g_free(ks);
}

static void drop(struct candidate *c, uint64_t now_ms)
{
	if (!c->dropped)
		c->dropped = mark(now_ms);
}

static void take_member(struct key_keepers *ks, const struct member *m,
			uint64_t now_ms)
{
	struct candidate *c = find_candidate(ks, m->id);
	bool self = m->id == view_self(ks->view);

	if (!c) {
		struct candidate fresh = { .m = *m };

		g_array_append_val(ks->all, fresh);
		c = candidate_at(ks, ks->all->len - 1);
	}
	c->m = *m;
	c->missing = 0;
	if (m->state == MEMBER_LEAVING || (self && ks->leaving))
		drop(c, now_ms);
	else if (m->state == MEMBER_ALIVE)
		c->dropped = 0;
}

/* Drops members that the view has not had for too long. */
static void check_missing(struct key_keepers *ks, struct candidate *c,
			  uint64_t now_ms)
{
	if (find_member(ks->view, c->m.id))
		return;
	if (!c->missing)
		c->missing = mark(now_ms);
	if (now_ms - c->missing >= KEEPER_MISSING_MS)
		drop(c, now_ms);
}

/* Forgets members that were dropped long ago. */
static void forget_dropped(struct key_keepers *ks, uint64_t now_ms)
{
	for (guint i = ks->all->len; i-- > 0;) {
		const struct candidate *c = candidate_at(ks, i);

		if (c->dropped && now_ms - c->dropped > KEEPER_MISSING_MS &&
		    !find_member(ks->view, c->m.id))
			g_array_remove_index_fast(ks->all, i);
	}
}

void update_key_keepers(struct key_keepers *ks, uint64_t now_ms)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(ks->view, &nr);
	for (size_t i = 0; i < nr; i++)
		take_member(ks, &ms[i], now_ms);
	for (guint i = 0; i < ks->all->len; i++)
		check_missing(ks, candidate_at(ks, i), now_ms);
	forget_dropped(ks, now_ms);
}

void leave_key_keepers(struct key_keepers *ks, uint64_t now_ms)
{
	ks->leaving = true;
	update_key_keepers(ks, now_ms);
}

void note_keeper(struct key_keepers *ks, const struct member *m)
{
	struct candidate fresh = { .m = *m };

	if (!find_candidate(ks, m->id))
		g_array_append_val(ks->all, fresh);
}

void note_keeper_ack(struct key_keepers *ks, uint64_t id, uint64_t digest,
		     uint64_t now_ms)
{
	struct candidate *c = find_candidate(ks, id);

	if (c && !c->acked && digest == key_keepers_digest(ks))
		c->acked = mark(now_ms);
}

uint64_t key_keepers_digest(const struct key_keepers *ks)
{
	uint64_t digest = 0;

	for (guint i = 0; i < ks->all->len; i++) {
		const struct candidate *c = candidate_at(ks, i);

		if (!c->dropped)
			digest ^= XXH64(&c->m.id, sizeof(c->m.id), 0);
	}
	return digest;
}

/* True if OUT holds C, or already EACH members of its domain. */
static bool is_taken(const struct candidate *const *out, size_t nr,
		     const struct candidate *c, size_t each)
{
	size_t same = 0;

	for (size_t i = 0; i < nr; i++) {
		if (out[i] == c)
			return true;
		same += !strcmp(out[i]->m.domain, c->m.domain);
	}
	return same >= each;
}

/* True if C took part at any time since SINCE. */
static bool took_part(const struct candidate *c, uint64_t since)
{
	return !c->dropped || c->dropped > since;
}

/* A ranking of candidates for a key. */
struct ranking {
	const struct candidate *at[WITNESSES_MAX];
	size_t nr;
};

static const struct candidate *best_candidate(const struct key_keepers *ks,
					      const struct request_key *key,
					      const struct ranking *r,
					      size_t each, uint64_t since)
{
	const struct candidate *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < ks->all->len; i++) {
		const struct candidate *c = candidate_at(ks, i);
		uint64_t weight =
			XXH64(&c->m.id, sizeof(c->m.id), key->hi ^ key->lo);

		if (!took_part(c, since) || is_taken(r->at, r->nr, c, each))
			continue;
		if (!best || weight > best_weight) {
			best = c;
			best_weight = weight;
		}
	}
	return best;
}

/*
 * The NR best candidates that took part since SINCE, at most EACH of one
 * failure domain while another has one.
 */
static void rank_candidates(const struct key_keepers *ks,
			    const struct request_key *key, size_t nr,
			    size_t each, uint64_t since, struct ranking *r)
{
	r->nr = 0;
	while (r->nr < nr) {
		const struct candidate *c =
			best_candidate(ks, key, r, each, since);

		if (!c)
			c = best_candidate(ks, key, r, SIZE_MAX, since);
		if (!c)
			break;
		r->at[r->nr++] = c;
	}
}

static void find_keepers_since(const struct key_keepers *ks,
			       const struct request_key *key, uint64_t since,
			       struct keeper_group *out)
{
	struct ranking r;

	rank_candidates(ks, key, KEEPERS_MAX, 1, since, &r);
	out->nr = r.nr;
	for (size_t i = 0; i < r.nr; i++)
		out->id[i] = r.at[i]->m.id;
}

void find_key_keepers(const struct key_keepers *ks,
		      const struct request_key *key, struct keeper_group *out)
{
	find_keepers_since(ks, key, UINT64_MAX, out);
}

bool is_key_keeper(const struct keeper_group *g, uint64_t id)
{
	for (size_t i = 0; i < g->nr; i++)
		if (g->id[i] == id)
			return true;
	return false;
}

bool same_key_keepers(const struct keeper_group *a,
		      const struct keeper_group *b)
{
	if (a->nr != b->nr)
		return false;
	for (size_t i = 0; i < a->nr; i++)
		if (!is_key_keeper(b, a->id[i]))
			return false;
	return true;
}

bool is_majority(const struct keeper_group *g, size_t n)
{
	return g->nr && n > g->nr / 2;
}

/* True if all that may have been keepers of KEY knew this instance by SINCE. */
static bool is_known(const struct key_keepers *ks,
		     const struct request_key *key, uint64_t since)
{
	struct ranking r;

	rank_candidates(ks, key, WITNESSES_MAX, WITNESSES_EACH, UINT64_MAX, &r);
	for (size_t i = 0; i < r.nr; i++) {
		const struct candidate *c = r.at[i];

		if (c->m.id != view_self(ks->view) &&
		    (!c->acked || c->acked > since))
			return false;
	}
	return true;
}

bool remembers_key(const struct key_keepers *ks, const struct request_key *key,
		   const struct keeper_group *group, uint64_t age_ms,
		   uint64_t now_ms)
{
	uint64_t since = now_ms > age_ms ? now_ms - age_ms : 0;
	struct keeper_group then;

	if (!is_key_keeper(group, view_self(ks->view)))
		return false;
	if (age_ms && ks->started > since)
		return false;
	if (group->nr == 1)
		return ks->alone;
	find_keepers_since(ks, key, since, &then);
	return is_key_keeper(&then, view_self(ks->view)) &&
	       is_known(ks, key, since);
}

bool keeper_endpoint(const struct key_keepers *ks, uint64_t id,
		     struct endpoint *ep)
{
	const struct candidate *c = find_candidate(ks, id);

	if (!c)
		return false;
	*ep = c->m.address;
	ep->port = c->m.peer_port;
	return true;
}

void each_unacknowledged(const struct key_keepers *ks,
			 void (*each)(const struct endpoint *ep, void *data),
			 void *data)
{
	for (guint i = 0; i < ks->all->len; i++) {
		const struct candidate *c = candidate_at(ks, i);
		struct endpoint ep;

		if (c->acked || c->dropped || c->m.id == view_self(ks->view))
			continue;
		if (keeper_endpoint(ks, c->m.id, &ep))
			each(&ep, data);
	}
}
