#ifndef FLOW_DOMAIN_LINK_H
#define FLOW_DOMAIN_LINK_H

/*
 * Whether this instance reaches the other failure domains. A link that is cut
 * looks like the death of all upstreams behind it: checks are refused or find
 * no connection. So what a check shows about a single upstream counts only
 * together with signs that the link is open. No I/O.
 *
 * Signs are of two kinds. A heartbeat of a member, or an answered check, shows
 * that the domain's packets arrive here. Progress of a flow shows only that
 * this instance's packets arrive there, since upstreams answer callers
 * directly.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/catalog.h"

/*
 * A link is doubtful once nothing was heard for this many expected intervals
 * between heartbeats, within the two limits below.
 */
#define DOMAIN_LINK_MISSES 6
#define DOMAIN_LINK_SILENCE_MIN_MS 200
#define DOMAIN_LINK_SILENCE_MAX_MS 900

/*
 * Evidence besides silence that a link is lost: failed checks of different
 * upstreams (or of the only one), or suspect upstreams.
 */
#define DOMAIN_LINK_FAILED_CHECKS 2
#define DOMAIN_LINK_SUSPECTS 3

/*
 * A longer gap between two updates means that this process was delayed; what
 * it did not hear meanwhile is no silence.
 */
#define DOMAIN_LINK_LATE_TICK_MS 100

enum link_state {
	LINK_UP,
	LINK_DOUBTFUL, /* no member is heard; checks prove nothing */
	LINK_LOST,     /* and no upstream answers: new flows go elsewhere */
	LINK_STATE_NR
};

struct link_change {
	domain_index_t domain;
	enum link_state from;
	enum link_state to;
	uint64_t silent_ms; /* since a member there was heard */
};

/* What the state of a link rests on. All times are ages in ms. */
struct link_evidence {
	enum link_state state;
	uint64_t state_ms;	  /* since it changed to STATE; 0: never */
	uint64_t heard_ms;	  /* since a heartbeat or an answered check */
	uint64_t member_heard_ms; /* since a heartbeat */
	uint32_t failed_checks;	  /* since then */
	bool control_failed;	  /* one of an upstream that was not suspect */
};

struct domain_links;

/* OWN: the domain of this instance. */
struct domain_links *create_domain_links(domain_index_t own);
void destroy_domain_links(struct domain_links *dl);

/*
 * A member of DOMAIN was heard last at HEARD_MS. A heartbeat of one of its live
 * members is expected every EXPECTED_MS; 0: no member is known to be alive. A
 * domain of which none was ever heard has no link, and counts as reached.
 */
void note_domain_heard(struct domain_links *dl, domain_index_t domain,
		       uint64_t heard_ms, uint64_t expected_ms);

/* A check of an upstream of DOMAIN was answered. */
void note_domain_answer(struct domain_links *dl, domain_index_t domain,
			uint64_t now_ms);

/* A flow to an upstream of DOMAIN made progress. */
void note_domain_progress(struct domain_links *dl, domain_index_t domain,
			  uint64_t now_ms);

/*
 * A check of UPSTREAM of DOMAIN, which is not known to be dead, was refused or
 * found no connection. IS_CONTROL: nothing else spoke against the upstream.
 */
void note_domain_failed_check(struct domain_links *dl, domain_index_t domain,
			      upstream_index_t upstream, bool is_control);

/*
 * Numbers of upstreams of DOMAIN that accept flows and are not dead, and of
 * suspect ones.
 */
void set_domain_upstreams(struct domain_links *dl, domain_index_t domain,
			  size_t accepting, size_t suspect);

/* Updates the states of all links. */
void update_domain_links(struct domain_links *dl, uint64_t now_ms);

enum link_state domain_link_state(const struct domain_links *dl,
				  domain_index_t domain);

/*
 * True if the link to DOMAIN is lost and a control check there failed as well.
 * Only this may reset flows: suspects alone can be upstreams that crashed while
 * heartbeats were late.
 */
bool is_domain_link_cut(const struct domain_links *dl, domain_index_t domain,
			uint64_t now_ms);

/* Evidence for the state of the link to DOMAIN; all 0 if it has none. */
struct link_evidence describe_domain_link(const struct domain_links *dl,
					  domain_index_t domain,
					  uint64_t now_ms);

/* Number of domains that may have a link: their indexes are below it. */
size_t domain_link_count(const struct domain_links *dl);

/* When a member of DOMAIN was heard last; 0: never. */
uint64_t domain_member_heard_ms(const struct domain_links *dl,
				domain_index_t domain);

/* How long the link to DOMAIN has been doubtful or lost; 0: it is up. */
uint64_t domain_doubtful_ms(const struct domain_links *dl,
			    domain_index_t domain, uint64_t now_ms);

/*
 * True if the link to DOMAIN was open after SINCE_MS, or if that is not known
 * from anything: for the own domain, and for one that has no link.
 */
bool was_domain_heard_since(const struct domain_links *dl,
			    domain_index_t domain, uint64_t since_ms);

/* True if other domains have been heard before, and none is up. */
bool hears_no_other_domain(const struct domain_links *dl);

/* Moves the changes since the last call to the end of CHANGES. */
void pop_link_changes(struct domain_links *dl, GArray *changes);

const char *link_state_name(enum link_state s);

#endif
