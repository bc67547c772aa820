#include "request/key-replicas.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Witnesses must acknowledge an instance before it grants claims of a key.
 * They include all earlier replicas of the key, as long as no more than one
 * instance joins each failure domain at a time.
 */
#define WITNESSES_MAX 8
#define WITNESSES_PER_DOMAIN_MAX 2

/* A member that can be a replica, or could until it was excluded. */
struct candidate {
	struct member m;
	uint64_t acked_at_ms;	   /* acknowledged this instance; 0: not yet */
	uint64_t missing_since_ms; /* from the view; 0: it is in the view */
	uint64_t excluded_at_ms;   /* 0: it is a candidate */
};

struct key_replicas {
	const struct view *view;
	bool only_member;
	bool leaving;
	uint64_t started_ms;
	GArray *candidates; /* of struct candidate */
};

struct request_key hash_request_key(uint64_t service, const char *text)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(text, strlen(text), service);
	struct request_key key = { h.high64, h.low64 };

	return key;
}

static struct candidate *candidate_at(const struct key_replicas *ks, guint i)
{
	return &g_array_index(ks->candidates, struct candidate, i);
}

static struct candidate *find_candidate(const struct key_replicas *ks,
					uint64_t id)
{
	for (guint i = 0; i < ks->candidates->len; i++)
		if (candidate_at(ks, i)->m.id == id)
			return candidate_at(ks, i);
	return NULL;
}

/* A time to record: at least 1, since 0 means "never". */
static uint64_t nonzero_time_ms(uint64_t now_ms)
{
	return MAX(now_ms, 1);
}

struct key_replicas *create_key_replicas(const struct view *view,
					 bool only_member, uint64_t now_ms)
{
	struct key_replicas *ks = g_new0(struct key_replicas, 1);

	ks->view = view;
	ks->only_member = only_member;
	ks->started_ms = now_ms;
	ks->candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	update_key_replicas(ks, now_ms);
	return ks;
}

void destroy_key_replicas(struct key_replicas *ks)
{
	if (!ks)
		return;
	g_array_free(ks->candidates, TRUE);
	g_free(ks);
}

static void exclude(struct candidate *c, uint64_t now_ms)
{
	if (!c->excluded_at_ms)
		c->excluded_at_ms = nonzero_time_ms(now_ms);
}

static void update_candidate(struct key_replicas *ks, const struct member *m,
			     uint64_t now_ms)
{
	struct candidate *c = find_candidate(ks, m->id);
	bool self = m->id == view_self(ks->view);

	if (!c) {
		struct candidate fresh = { .m = *m };

		g_array_append_val(ks->candidates, fresh);
		c = candidate_at(ks, ks->candidates->len - 1);
	}
	c->m = *m;
	c->missing_since_ms = 0;
	if (m->state == MEMBER_LEAVING || (self && ks->leaving))
		exclude(c, now_ms);
	else if (m->state == MEMBER_ALIVE)
		c->excluded_at_ms = 0;
}

/* Excludes C once it has been missing from the view for too long. */
static void exclude_if_missing(struct key_replicas *ks, struct candidate *c,
			       uint64_t now_ms)
{
	if (find_member(ks->view, c->m.id))
		return;
	if (!c->missing_since_ms)
		c->missing_since_ms = nonzero_time_ms(now_ms);
	if (now_ms - c->missing_since_ms >= KEY_REPLICA_MISSING_TIMEOUT_MS)
		exclude(c, now_ms);
}

/* Removes candidates that were excluded long ago. */
static void forget_excluded(struct key_replicas *ks, uint64_t now_ms)
{
	for (guint i = ks->candidates->len; i-- > 0;) {
		const struct candidate *c = candidate_at(ks, i);

		if (c->excluded_at_ms &&
		    now_ms - c->excluded_at_ms >
			    KEY_REPLICA_MISSING_TIMEOUT_MS &&
		    !find_member(ks->view, c->m.id))
			g_array_remove_index_fast(ks->candidates, i);
	}
}

void update_key_replicas(struct key_replicas *ks, uint64_t now_ms)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(ks->view, &nr);
	for (size_t i = 0; i < nr; i++)
		update_candidate(ks, &ms[i], now_ms);
	for (guint i = 0; i < ks->candidates->len; i++)
		exclude_if_missing(ks, candidate_at(ks, i), now_ms);
	forget_excluded(ks, now_ms);
}

void leave_key_replicas(struct key_replicas *ks, uint64_t now_ms)
{
	ks->leaving = true;
	update_key_replicas(ks, now_ms);
}

void add_key_replica_candidate(struct key_replicas *ks, const struct member *m)
{
	struct candidate fresh = { .m = *m };

	if (!find_candidate(ks, m->id))
		g_array_append_val(ks->candidates, fresh);
}

void record_key_replica_ack(struct key_replicas *ks, uint64_t id,
			    uint64_t digest, uint64_t now_ms)
{
	struct candidate *c = find_candidate(ks, id);

	if (c && !c->acked_at_ms && digest == key_replica_candidates_digest(ks))
		c->acked_at_ms = nonzero_time_ms(now_ms);
}

uint64_t key_replica_candidates_digest(const struct key_replicas *ks)
{
	uint64_t digest = 0;

	for (guint i = 0; i < ks->candidates->len; i++) {
		const struct candidate *c = candidate_at(ks, i);

		if (!c->excluded_at_ms)
			digest ^= XXH64(&c->m.id, sizeof(c->m.id), 0);
	}
	return digest;
}

/* True if OUT holds C, or already PER_DOMAIN_MAX members of its domain. */
static bool is_ranked_or_domain_full(const struct candidate *const *out,
				     size_t nr, const struct candidate *c,
				     size_t per_domain_max)
{
	size_t same = 0;

	for (size_t i = 0; i < nr; i++) {
		if (out[i] == c)
			return true;
		same += !strcmp(out[i]->m.domain, c->m.domain);
	}
	return same >= per_domain_max;
}

/* True if C was a candidate at any time after SINCE_MS. */
static bool was_eligible_since(const struct candidate *c, uint64_t since_ms)
{
	return !c->excluded_at_ms || c->excluded_at_ms > since_ms;
}

/* The best candidates for a key, by rendezvous weight. */
struct ranking {
	const struct candidate *items[WITNESSES_MAX];
	size_t nr;
};

static const struct candidate *best_candidate(const struct key_replicas *ks,
					      const struct request_key *key,
					      const struct ranking *r,
					      size_t per_domain_max,
					      uint64_t since_ms)
{
	const struct candidate *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < ks->candidates->len; i++) {
		const struct candidate *c = candidate_at(ks, i);
		uint64_t weight =
			XXH64(&c->m.id, sizeof(c->m.id), key->hi ^ key->lo);

		if (!was_eligible_since(c, since_ms) ||
		    is_ranked_or_domain_full(r->items, r->nr, c,
					     per_domain_max))
			continue;
		if (!best || weight > best_weight) {
			best = c;
			best_weight = weight;
		}
	}
	return best;
}

/*
 * Fills R with the NR best of the candidates since SINCE_MS: at most
 * PER_DOMAIN_MAX of one failure domain, or more if there are no others.
 */
static void rank_candidates(const struct key_replicas *ks,
			    const struct request_key *key, size_t nr,
			    size_t per_domain_max, uint64_t since_ms,
			    struct ranking *r)
{
	r->nr = 0;
	while (r->nr < nr) {
		const struct candidate *c =
			best_candidate(ks, key, r, per_domain_max, since_ms);

		if (!c)
			c = best_candidate(ks, key, r, SIZE_MAX, since_ms);
		if (!c)
			break;
		r->items[r->nr++] = c;
	}
}

static void find_replicas_since(const struct key_replicas *ks,
				const struct request_key *key,
				uint64_t since_ms,
				struct key_replica_group *out)
{
	struct ranking r;

	rank_candidates(ks, key, KEY_REPLICAS_MAX, 1, since_ms, &r);
	out->nr = r.nr;
	for (size_t i = 0; i < r.nr; i++)
		out->id[i] = r.items[i]->m.id;
}

void find_key_replicas(const struct key_replicas *ks,
		       const struct request_key *key,
		       struct key_replica_group *out)
{
	find_replicas_since(ks, key, UINT64_MAX, out);
}

bool is_key_replica(const struct key_replica_group *g, uint64_t id)
{
	for (size_t i = 0; i < g->nr; i++)
		if (g->id[i] == id)
			return true;
	return false;
}

bool same_key_replicas(const struct key_replica_group *a,
		       const struct key_replica_group *b)
{
	if (a->nr != b->nr)
		return false;
	for (size_t i = 0; i < a->nr; i++)
		if (!is_key_replica(b, a->id[i]))
			return false;
	return true;
}

bool is_key_replica_majority(const struct key_replica_group *g, size_t n)
{
	return g->nr && n > g->nr / 2;
}

/* True if all witnesses of KEY had acknowledged this instance by SINCE_MS. */
static bool was_known_to_witnesses(const struct key_replicas *ks,
				   const struct request_key *key,
				   uint64_t since_ms)
{
	struct ranking r;

	rank_candidates(ks, key, WITNESSES_MAX, WITNESSES_PER_DOMAIN_MAX,
			UINT64_MAX, &r);
	for (size_t i = 0; i < r.nr; i++) {
		const struct candidate *c = r.items[i];

		if (c->m.id != view_self(ks->view) &&
		    (!c->acked_at_ms || c->acked_at_ms > since_ms))
			return false;
	}
	return true;
}

bool has_complete_key_history(const struct key_replicas *ks,
			      const struct request_key *key,
			      const struct key_replica_group *group,
			      uint64_t age_ms, uint64_t now_ms)
{
	uint64_t since_ms = now_ms > age_ms ? now_ms - age_ms : 0;
	struct key_replica_group earlier_group;

	if (!is_key_replica(group, view_self(ks->view)))
		return false;
	if (age_ms && ks->started_ms > since_ms)
		return false;
	if (group->nr == 1)
		return ks->only_member;
	find_replicas_since(ks, key, since_ms, &earlier_group);
	return is_key_replica(&earlier_group, view_self(ks->view)) &&
	       was_known_to_witnesses(ks, key, since_ms);
}

bool key_replica_endpoint(const struct key_replicas *ks, uint64_t id,
			  struct endpoint *ep)
{
	const struct candidate *c = find_candidate(ks, id);

	if (!c)
		return false;
	*ep = c->m.address;
	ep->port = c->m.peer_port;
	return true;
}

void for_each_unacknowledged(const struct key_replicas *ks,
			     void (*fn)(const struct endpoint *ep, void *data),
			     void *data)
{
	for (guint i = 0; i < ks->candidates->len; i++) {
		const struct candidate *c = candidate_at(ks, i);
		struct endpoint ep;

		if (c->acked_at_ms || c->excluded_at_ms ||
		    c->m.id == view_self(ks->view))
			continue;
		if (key_replica_endpoint(ks, c->m.id, &ep))
			fn(&ep, data);
	}
}
