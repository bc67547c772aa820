#ifndef FLOW_PLACING_STATE_H
#define FLOW_PLACING_STATE_H

/* What the files of placing share; for no one else. */

#include "flow/placing.h"

struct peer_load {
	uint64_t member;
	uint64_t heard_ms;
	GArray *rows; /* of struct peer_row */
};

struct peer_row {
	upstream_nr_t nr;
	uint16_t busy;
	uint16_t open;
	bool dead;
	bool lost; /* dead or cut off */
};

struct upstream_load {
	uint64_t id;	 /* of the upstream that this is about */
	uint32_t starts; /* and which of its starts */
	uint32_t busy;
	uint32_t open;
	uint32_t peer_busy;
	uint32_t peer_open;
	double peer_mean;   /* of peer_busy; a sum is old within one request */
	uint32_t peer_dead; /* peers that found nothing listening */
	uint32_t peer_lost; /* peers that found that, or could not reach it */
	uint64_t life_ms;
	uint64_t doubt_ms; /* since when it is doubted; 0: it is not */
	uint32_t doubt_nr; /* signs of silence since then */
	enum upstream_health health;
	bool checking;
	uint32_t unreachable; /* checks in vain, one after the other */
	uint64_t check_ms;    /* no check before */
	uint64_t told_ms;     /* when peers' word last led to a check */
	uint64_t started_ms;  /* when the check under way began */
	uint64_t cold[PLACING_COLD_MAX]; /* times of the last flows */
	uint32_t cold_at;
};

struct service_mean {
	double answer_ms;
	double usual_ms; /* the same of upstreams with a free slot */
	double busy_ratio;
	struct histogram answers; /* ms */
};

struct placing {
	const struct catalog *cat;
	const struct view *view;
	struct shares *shares;
	char *domain;
	double far_cost;
	GRand *rand;
	GPtrArray *rows;    /* of struct upstream_load, by handle */
	GArray *services;   /* of struct service_mean, by handle */
	GArray *peers;	    /* of struct peer_load */
	uint64_t means_ms;  /* when the means were updated */
	bool in_doubt;	    /* some upstream is not in good health */
	uint64_t life_ms;   /* when any upstream last showed life here */
	uint32_t busy;	    /* own requests in flight, all upstreams together */
	uint32_t told_busy; /* the same when peers were last told */
	GArray *changes;    /* of struct health_change, not taken yet */
	double cold_factor;
	double cold_slack;
};

/* The row of NR; NULL if there is none yet. */
struct upstream_load *find_load_row(const struct placing *pl, upstream_nr_t nr);

/* The row of NR, made if there is none. */
struct upstream_load *need_load_row(struct placing *pl, upstream_nr_t nr);

struct service_mean *need_service_mean(struct placing *pl, service_nr_t sv);

/* NR has shown that it is well. */
void clear_doubt(struct placing *pl, upstream_nr_t nr, struct upstream_load *r,
		 uint64_t now_ms);

/* A peer found the upstream of R dead or out of reach. */
void note_peer_verdict(struct placing *pl, upstream_nr_t nr,
		       struct upstream_load *r, uint64_t now_ms);

/* Whether R's upstream gets no new flows, whatever its load. */
bool is_out_of_question(const struct upstream_load *r);

/* Appends to CHECKS the upstreams whose doubt is to be settled now. */
void list_checks(struct placing *pl, uint64_t now_ms, GArray *checks);

#endif
