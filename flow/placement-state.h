#ifndef FLOW_PLACEMENT_STATE_H
#define FLOW_PLACEMENT_STATE_H

/* Private to flow/placement*.c. */

#include "flow/placement.h"
#include "flow/upstream-quality.h"

/* The loads that one peer sent last. */
struct peer_load {
	uint64_t member_id;
	uint64_t received_ms;
	GArray *loads; /* of struct peer_upstream_load */
};

struct peer_upstream_load {
	upstream_index_t upstream;
	uint16_t busy_requests;
	uint16_t open_flows;
	bool dead;
	bool dead_or_cut_off;
};

/* Load and health of one upstream, seen here and by peers. */
struct upstream_load {
	uint64_t upstream_id; /* of the upstream that has this handle */
	uint32_t starts;      /* of its process; a new start clears suspicion */
	uint32_t busy_requests;
	uint32_t open_flows;
	uint32_t peer_busy_requests;
	uint32_t peer_open_flows;
	/* running mean of peer_busy_requests, which is outdated after one
	 * request */
	double mean_peer_busy;
	uint32_t peers_dead;		/* number of peers that found it dead */
	uint32_t peers_dead_or_cut_off; /* that found it dead or cut off */
	uint64_t last_alive_ms;
	uint64_t suspect_since_ms; /* 0: it is not suspect */
	uint32_t silence_count;	   /* silences noted since then */
	enum upstream_health health;
	bool check_running;
	uint32_t unreachable_checks; /* in a row */
	uint64_t next_check_ms;	     /* earliest time of the next check */
	uint64_t peer_check_ms; /* of the last check due to a peer's report */
	uint64_t check_started_ms; /* start of the running check */
	/* ring buffer: when it got flows while cold */
	uint64_t cold_flow_ms[PLACEMENT_COLD_FLOWS_MAX];
	uint32_t cold_flow_next;
};

/* Running means over all upstreams of one service. */
struct service_stats {
	double mean_answer_ms;
	double mean_unqueued_ms; /* of upstreams with a free slot */
	double mean_busy_ratio;	 /* share of open flows with a request */
	struct histogram answer_histogram; /* ms */
};

struct placer {
	const struct catalog *catalog;
	const struct view *view;
	struct quotas *quotas;
	char *domain;
	double remote_domain_cost;
	GRand *rand;
	GPtrArray *upstream_loads; /* struct upstream_load by handle */
	GArray *service_stats;	   /* struct service_stats by handle */
	GArray *peer_loads;	   /* of struct peer_load */
	uint64_t means_updated_ms;
	bool has_unhealthy;	/* an upstream is not HEALTH_GOOD */
	uint64_t last_alive_ms; /* when any upstream last showed life here */
	uint32_t busy_requests; /* own, in flight at all upstreams */
	uint32_t sent_busy_requests; /* when last sent to peers */
	GArray *health_changes; /* struct health_change, not retrieved yet */
	double cold_factor;
	double cold_slack;
	struct upstream_quality *quality; /* NULL: not enabled */
};

/* The load of NR; NULL if there is none yet. */
struct upstream_load *find_upstream_load(const struct placer *pl,
					 upstream_index_t nr);

/* The load of NR, created if there is none. */
struct upstream_load *get_or_create_upstream_load(struct placer *pl,
						  upstream_index_t nr);

struct service_stats *get_or_create_service_stats(struct placer *pl,
						  service_index_t sv);

/*
 * Whether a new flow should not be placed on NR because it is failing; of
 * REPEATABLE flows a few are.
 */
bool avoids_failing(struct placer *pl, upstream_index_t nr, bool repeatable);

/* LOAD of NR, or what it is worth if NR does not respond as usual. */
double completion_score(struct placer *pl, upstream_index_t nr, double load);

/* Updates the assessed quality of all upstreams. */
void assess_upstreams(struct placer *pl, uint64_t now_ms);

/* Makes NR HEALTH_GOOD and ends its suspicion. */
void clear_suspicion(struct placer *pl, upstream_index_t nr,
		     struct upstream_load *ul, uint64_t now_ms);

/* Notes that a peer found NR dead or cut off. */
void note_peer_assessment(struct placer *pl, upstream_index_t nr,
			  struct upstream_load *ul, uint64_t now_ms);

/* True if the upstream is dead or cut off: it gets no new flows. */
bool is_dead_or_cut_off(const struct upstream_load *ul);

/* Appends the upstreams whose check is due to CHECKS, marked as running. */
void list_due_checks(struct placer *pl, uint64_t now_ms, GArray *checks);

#endif
