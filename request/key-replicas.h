#ifndef REQUEST_KEY_REPLICAS_H
#define REQUEST_KEY_REPLICAS_H

/*
 * Which instances are the replicas of an idempotency key, and for how far
 * back this instance is sure to know every claim of a key.
 *
 * The replicas of a key are the three candidates with the highest rendezvous
 * weight, in different failure domains if there are enough. Dead members stay
 * candidates: an unreachable instance may be alive on the other side of a
 * partition, and if both sides chose new replicas, both could run the same
 * request. A member stops being a candidate when it announces that it is
 * leaving, or has been missing from the view for
 * KEY_REPLICA_MISSING_TIMEOUT_MS.
 *
 * A claim needs a majority of the replicas, so two claims of one key share at
 * least one replica, provided that all instances choose the same replicas and
 * none of these lost its records:
 *
 * - An instance that has just started has no records. It grants claims of a
 *   key only once every possible earlier replica of the key has acknowledged
 *   it with the same set of candidates; after that, none of them grants
 *   claims to a group without it. Its history starts at the last of these
 *   acknowledgements.
 * - The history of an instance that became a replica because a candidate was
 *   excluded starts at that exclusion.
 */

#include "config/service.h"
#include "fleet/view.h"

#define KEY_REPLICAS_MAX 3
#define KEY_REPLICA_MISSING_TIMEOUT_MS (10 * 60 * 1000)

/* A key: a hash of the service and the caller's Idempotency-Key. */
struct request_key {
	uint64_t hi;
	uint64_t lo;
};

/* The key of the Idempotency-Key TEXT sent to SERVICE. */
struct request_key hash_request_key(uint64_t service, const char *text);

struct key_replica_group {
	uint64_t id[KEY_REPLICAS_MAX]; /* member ids, highest weight first */
	size_t nr;
};

struct key_replicas;

/*
 * Replicas as chosen by the instance that owns VIEW. ONLY_MEMBER: no other
 * instance is configured, so it may grant claims alone.
 */
struct key_replicas *create_key_replicas(const struct view *view,
					 bool only_member, uint64_t now_ms);
void destroy_key_replicas(struct key_replicas *ks);

/* Updates the candidates from the view. */
void update_key_replicas(struct key_replicas *ks, uint64_t now_ms);

/* Excludes this instance, which begins its graceful stop. */
void leave_key_replicas(struct key_replicas *ks, uint64_t now_ms);

/* Adds M, which announced itself and may not be in the view yet. */
void add_key_replica_candidate(struct key_replicas *ks, const struct member *m);

/* Member ID acknowledged this instance; DIGEST is of its candidates. */
void record_key_replica_ack(struct key_replicas *ks, uint64_t id,
			    uint64_t digest, uint64_t now_ms);

/* Hash of the set of candidates, independent of their order. */
uint64_t key_replica_candidates_digest(const struct key_replicas *ks);

/* The current replicas of KEY. */
void find_key_replicas(const struct key_replicas *ks,
		       const struct request_key *key,
		       struct key_replica_group *out);
bool same_key_replicas(const struct key_replica_group *a,
		       const struct key_replica_group *b);
bool is_key_replica(const struct key_replica_group *g, uint64_t id);

/* True if N replicas are a majority of the group. */
bool is_key_replica_majority(const struct key_replica_group *g, size_t n);

/*
 * True if this instance is in GROUP and knows every claim of KEY that was
 * granted in the last AGE_MS.
 */
bool has_complete_key_history(const struct key_replicas *ks,
			      const struct request_key *key,
			      const struct key_replica_group *group,
			      uint64_t age_ms, uint64_t now_ms);

/* The peer endpoint of member ID; false if it is unknown. */
bool key_replica_endpoint(const struct key_replicas *ks, uint64_t id,
			  struct endpoint *ep);

/* Calls FN for every candidate that has not acknowledged this instance. */
void for_each_unacknowledged(const struct key_replicas *ks,
			     void (*fn)(const struct endpoint *ep, void *data),
			     void *data);

#endif
