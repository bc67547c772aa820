#ifndef T_PLACING_WORLD_H
#define T_PLACING_WORLD_H

/*
 * Plays a day's load against the deciding code of all instances: callers open
 * flows at the instances of their failure domain, upstreams have slots and a
 * queue and shed what exceeds it. What callers get is counted.
 */

#include <stdbool.h>
#include <stdint.h>

/* How an instance chooses. */
enum placing_way {
	WAY_RANDOM,	 /* any upstream that takes flows */
	WAY_OWN_VIEW,	 /* full scan by its own flows alone */
	WAY_TWO_CHOICES, /* the better of two by shared sums */
	WAY_FULL_SCAN,	 /* the best of all by shared sums */
	PLACING_WAY_NR
};

struct placing_options {
	enum placing_way way;
	double far_cost;
	uint32_t seed;
	unsigned int domain_nr;
	unsigned int instances; /* in each domain */
	unsigned int upstreams; /* in each domain */
	unsigned int slots;	/* of each upstream */
	unsigned int queue;	/* of each upstream, behind the slots */
	double requests_s;	/* all callers together, in fresh flows */
	double long_flows;	/* flows with a request a second each */
	double skew;		/* load of the first domain against the mean */
	uint32_t beacon_ms;	/* between an instance's beacons */
	uint32_t length_ms;
	bool no_defer;	 /* an upstream that sheds is the only refusal */
	bool admit_last; /* the last copy of a SYN is never refused */
	unsigned int lost_domains; /* whose upstreams are lost in the middle */
	uint32_t lost_ms;	   /* ... for so long */
	uint32_t gap_ms; /* nothing is served for so long in the middle;
			  * callers come back all at once */
};

struct placing_result {
	uint32_t asked;
	uint32_t in_aim;   /* answered within PLACING_WORLD_AIM_MS */
	uint32_t late;	   /* answered after that */
	uint32_t shed;	   /* refused by the upstream, not run */
	uint32_t refused;  /* refused by the instance */
	uint32_t deferred; /* SYNs left to their next copy */
	uint32_t failed;   /* requests that used up their tries */
	uint32_t far;	   /* of all, at an upstream of another domain */
	uint32_t p99_ms;
};

#define PLACING_WORLD_AIM_MS 200
#define PLACING_WORLD_WORK_MS 45 /* mean of a request, exponential */

/* Eight instances and sixteen upstreams in four domains, as on the sites. */
void init_site_options(struct placing_options *opt);

/* What the answers are worth to callers: a late one counts LATE. */
double placing_worth(const struct placing_result *res, double late);

void play_placing(const struct placing_options *opt,
		  struct placing_result *res);

const char *placing_way_name(enum placing_way way);

#endif
