#ifndef FLEET_HEARTBEAT_STATE_H
#define FLEET_HEARTBEAT_STATE_H

/* Private to fleet/heartbeat.c and fleet/takeover.c. */

#include <string.h>

#include "fleet/heartbeat.h"

struct peer {
	uint64_t id;
	uint64_t last_heard_ms;
	uint64_t last_reader_ms; /* last with HEARTBEAT_READS_STORE; 0: none */
	struct store_position store_position; /* the latest that it reported */
	uint64_t config_version;	      /* in force there */
	bool ready;
	bool takes_split_flows; /* understands notices of them */
	bool takes_marks;	/* understands marked cookies */
	bool knows_split_flows; /* all of them */
};

struct address {
	struct endpoint peer_endpoint;
	uint64_t last_tried_ms;
};

struct heartbeat_tracker {
	struct member self;
	struct view *view;
	GArray *peers;	       /* of struct peer */
	GArray *addresses;     /* of struct address */
	GArray *heard_domains; /* of struct heard_domain */
	uint64_t last_sent_ms;
	uint64_t settled_at_ms; /* time from which the view is settled */
	uint64_t started_at_ms;
	uint64_t sent_rounds;	  /* number of heartbeats sent */
	uint64_t kept_checked_ms; /* see next_kept_domain() */
};

/* True if M is in another domain than this instance. */
static inline bool is_remote_member(const struct heartbeat_tracker *ht,
				    const struct member *m)
{
	return strcmp(m->domain, ht->self.domain) != 0;
}

/*
 * Mean time between the heartbeats that the live members of DOMAIN send to this
 * instance, all together; 0: none is known to be alive.
 */
uint64_t expected_domain_ms(const struct heartbeat_tracker *ht,
			    const char *domain);

#endif
