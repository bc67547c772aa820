#ifndef T_NOTICE_SIMULATION_H
#define T_NOTICE_SIMULATION_H

/*
 * Simulates how the placers of a fleet learn that an upstream has stopped
 * responding. Messages between instances are passed by hand, with the intervals
 * of heartbeats and the given delay. Instances and upstreams are in three
 * failure domains. Upstream 0, of domain 0, is the one that fails; the others
 * keep responding.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NOTICE_SIM_DOMAINS 3
#define NOTICE_SIM_CALLERS 8 /* that wait at upstream 0 when it fails */

/* What a check of the failed upstream finds. */
enum notice_sim_fault {
	NOTICE_SIM_NONE,   /* it keeps responding */
	NOTICE_SIM_SILENT, /* nothing answers: checks find no connection */
	NOTICE_SIM_REFUSED /* its process is gone: checks are refused */
};

struct notice_sim_options {
	uint32_t seed;
	unsigned int instance_nr;
	enum notice_sim_fault fault;
	double flows_per_s; /* new flows of upstream 0, in the whole fleet */
	uint32_t length_ms; /* after the fault */
	bool no_notices;    /* heartbeats only */
	/* disturbances, all 0 if undisturbed */
	double loss;		  /* share of messages and packets lost */
	uint32_t delay_ms;	  /* longest delay of a message, uniform */
	uint32_t reply_ms;	  /* delay of all replies of upstream 0 */
	double false_suspicion_s; /* false suspicions each second */
	double pauses_s;	  /* pauses of 300 to 1500 ms each second */
	int cut_domain;		  /* cut off from domain 0; 0: none */
	bool cut_by_resets;	  /* checks across the cut are refused */
};

struct notice_sim_result {
	uint32_t reset_ms[NOTICE_SIM_CALLERS]; /* UINT32_MAX: none */
	uint32_t checks;	 /* of upstream 0, from the fault to the end */
	uint32_t first_checks;	 /* of these, until the last caller's reset */
	uint32_t notices;	 /* datagrams sent about upstreams */
	uint32_t remote_notices; /* of these, to other failure domains */
	/* instances that took upstream 0 for lost while they could reach it */
	uint32_t wrong;
	/* the same, for those that knew of a sign of life shortly before */
	uint32_t wrong_in_sight;
};

void simulate_notices(const struct notice_sim_options *opt,
		      struct notice_sim_result *res);

#endif
