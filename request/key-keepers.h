#ifndef REQUEST_KEY_KEEPERS_H
#define REQUEST_KEY_KEEPERS_H

/*
 * Which instances keep an idempotency key, and how far back this instance's
 * own memory of a key can be relied on.
 *
 * The keepers of a key are the three members with the highest rendezvous
 * weight, in different failure domains where there are as many. Dead members
 * count: an instance that cannot be reached may be alive on the other side of
 * a partition, and two sides that each chose anew would both run a request.
 * A member leaves the choice when it said that it leaves, or when it has been
 * missing from the view for KEEPER_MISSING_MS.
 *
 * A claim needs a majority of the keepers, so two claims of one key meet in
 * at least one of them, as long as all agree on who they are and none forgot:
 *
 * - An instance that started has forgotten. It counts as a keeper only once
 *   all that may have been keepers of that key before have acknowledged it,
 *   with the same members in mind; from then on none of them grants to a
 *   choice without it. Its memory reaches back to the last of these
 *   acknowledgements.
 * - One that becomes a keeper since a member left the choice remembers from
 *   then on.
 */

#include "config/service.h"
#include "fleet/view.h"

#define KEEPERS_MAX 3
#define KEEPER_MISSING_MS (10 * 60 * 1000)

/* A key: a hash of the service and the caller's Idempotency-Key. */
struct request_key {
	uint64_t hi;
	uint64_t lo;
};

struct request_key hash_request_key(uint64_t service, const char *text);

struct keeper_group {
	uint64_t id[KEEPERS_MAX]; /* best first */
	size_t nr;
};

struct key_keepers;

/*
 * The keepers as the owner of VIEW sees them. ALONE: it may act as the only
 * member, since no other was ever named to it.
 */
struct key_keepers *create_key_keepers(const struct view *view, bool alone,
				       uint64_t now_ms);
void destroy_key_keepers(struct key_keepers *ks);

/* Takes over changes of the view. */
void update_key_keepers(struct key_keepers *ks, uint64_t now_ms);

/* This instance stops: it is no keeper from now on. */
void leave_key_keepers(struct key_keepers *ks, uint64_t now_ms);

/* A member made itself known, perhaps before the view did. */
void note_keeper(struct key_keepers *ks, const struct member *m);

/* Member ID acknowledged this instance; DIGEST is of the members it knows. */
void note_keeper_ack(struct key_keepers *ks, uint64_t id, uint64_t digest,
		     uint64_t now_ms);

/* Hash of the members that take part in the choice. */
uint64_t key_keepers_digest(const struct key_keepers *ks);

void find_key_keepers(const struct key_keepers *ks,
		      const struct request_key *key, struct keeper_group *out);
bool same_key_keepers(const struct keeper_group *a,
		      const struct keeper_group *b);
bool is_key_keeper(const struct keeper_group *g, uint64_t id);

/* True if N of the group's members are a majority. */
bool is_majority(const struct keeper_group *g, size_t n);

/*
 * True if this instance, in GROUP, would know of every claim of KEY that was
 * made in the last AGE_MS.
 */
bool remembers_key(const struct key_keepers *ks, const struct request_key *key,
		   const struct keeper_group *group, uint64_t age_ms,
		   uint64_t now_ms);

/* The peer endpoint of member ID; false if it is unknown. */
bool keeper_endpoint(const struct key_keepers *ks, uint64_t id,
		     struct endpoint *ep);

/* Calls EACH for every member that has not acknowledged this instance. */
void each_unacknowledged(const struct key_keepers *ks,
			 void (*each)(const struct endpoint *ep, void *data),
			 void *data);

#endif
