#ifndef FLOW_IN_FLIGHT_H
#define FLOW_IN_FLIGHT_H

/*
 * Estimates how likely a request still runs at its upstream if its end was not
 * seen. Packets of a flow go to another instance when rotation changes, and
 * callers that leave send nothing. No I/O.
 *
 * With S the share of recent responses that took longer than the request's age
 * and Q the share of requests whose end is never seen here, the request still
 * runs with probability S / ((1 - Q) S + Q). All requests of one estimator are
 * taken to be alike; the placer has one for each service.
 */

#include <stdbool.h>
#include <stdint.h>

#define IN_FLIGHT_INITIAL_MS 50.0 /* mean response until one was observed */
#define IN_FLIGHT_HALF_LIFE_MS 2000
/* With fewer recent samples the rest follows an exponential distribution. */
#define IN_FLIGHT_SAMPLES_MIN 20
#define IN_FLIGHT_UNSEEN_MIN 0.01 /* least Q */
#define IN_FLIGHT_UNSEEN_MAX 0.5  /* greatest Q */
#define IN_FLIGHT_ENDED 0.05   /* a less probable request is taken as ended */
#define IN_FLIGHT_UPDATE_MS 50 /* between updates of pending requests */

/*
 * Loads are sums of weights of single requests, in sixteenths, so that sums
 * need no correction of rounding errors.
 */
#define IN_FLIGHT_WEIGHT_ONE 16

struct in_flight_estimator;

struct in_flight_estimator *create_in_flight_estimator(void);
void destroy_in_flight_estimator(struct in_flight_estimator *e);

/* A request was answered AGE_MS after it was sent. */
void note_answered(struct in_flight_estimator *e, uint64_t age_ms,
		   uint64_t now_ms);

/* The end of a request was not seen in time. */
void note_unseen_end(struct in_flight_estimator *e, uint64_t now_ms);

/* A request noted with note_unseen_end() was answered after all. */
void note_late_answered(struct in_flight_estimator *e, uint64_t age_ms,
			uint64_t now_ms);

/* Probability that a request sent AGE_MS ago, of unseen end, still runs. */
double pending_probability(const struct in_flight_estimator *e, uint64_t age_ms,
			   uint64_t now_ms);

/* PROBABILITY in sixteenths, rounded. */
uint8_t in_flight_weight(double probability);

#define ROUTE_SHARE_INITIAL 0.5 /* busy share until flows were observed */
#define ROUTE_SHARE_HALF_LIFE_MS 5000
#define ROUTE_ENDS_HALF_LIFE_MS 10000
/*
 * A route opens a flow for each request, or for two, if no more responses than
 * this come for each flow that ends, and at least ROUTE_ENDS_MIN ended lately.
 */
#define ROUTE_SHORT_RESPONSES 2.0
#define ROUTE_ENDS_MIN 4.0

/* How the flows of one route are used, in running sums. */
struct route_activity {
	double busy; /* flows with a request, over all samples */
	double open; /* open flows, over all samples */
	uint64_t sampled_ms;
	double responses;
	double ends;	     /* flows that their callers ended */
	uint64_t counted_ms; /* when these two were updated */
};

/* Of the route's OPEN flows BUSY have a request at NOW_MS. */
void sample_route_activity(struct route_activity *ra, double busy,
			   uint32_t open, uint64_t now_ms);
void note_route_response(struct route_activity *ra, uint64_t now_ms);
void note_route_flow_end(struct route_activity *ra, uint64_t now_ms);

/* Share of the time in which a flow of the route has a request. */
double route_busy_share(const struct route_activity *ra);

/* Whether the route's idle flows have served their purpose. */
bool has_flow_per_request(const struct route_activity *ra);

#endif
