#ifndef FLOW_UPSTREAM_QUALITY_H
#define FLOW_UPSTREAM_QUALITY_H

/*
 * How fast upstreams respond, compared with the other upstreams of their
 * service, and whether they answer with errors. Responses are observed by many
 * instances, each of which sees few of one upstream; so every instance sends
 * its peers a report of what it observed, and assesses the sum of all reports,
 * its own included. No I/O.
 *
 * An upstream counts as slow if its response times exceed the typical ones by
 * more than chance explains; otherwise its slowness is exactly 1.
 *
 * Contents are not visible here, so an error is recognized by its size: a
 * response is suspicious if it is much smaller than the usual ones of its
 * route, or somewhat smaller and much faster. An upstream is failing if many of
 * its responses are suspicious.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/catalog.h"
#include "fleet/load.h"

/*
 * Half-life of the responses of one upstream: a longer one finds slow upstreams
 * later, with a shorter one usual ones become slow by chance.
 */
#define QUALITY_HALF_LIFE_MS 2000
/*
 * Half-life of what is typical of a route. Long, since an instance of a large
 * fleet sees one response of some routes a second.
 */
#define QUALITY_ROUTE_HALF_LIFE_MS 30000
#define QUALITY_ROUTE_SAMPLES_MIN 16 /* until these, nothing is typical */
#define QUALITY_ROUTES_MAX 4096	     /* observed at once */

/*
 * Reports of a peer that sent none for this long are dropped. Members of other
 * domains get a heartbeat every 2.7 s in fleets of 142.
 */
#define QUALITY_REPORT_TIMEOUT_MS 4000

/*
 * In fleets of more than this many instances, the reports without the one that
 * speaks most against an upstream must confirm it: no instance decides alone.
 */
#define QUALITY_SMALL_FLEET 3

/* Least ratio at which an upstream becomes slow; usual ones stay below it. */
#define QUALITY_SLOW_RATIO 2.5
#define QUALITY_USUAL_RATIO 1.5 /* below it a slow one is usual again */
#define QUALITY_RATIO_MIN 0.5
#define QUALITY_RATIO_MAX 16.0

/* Standard errors of the mean by which a slow upstream differs as well. */
#define QUALITY_STANDARD_ERRORS 3.0
#define QUALITY_PRIOR_SAMPLES 2.0 /* of a typical upstream, added to each */

/* An upstream becomes failing with at least so many known responses, ... */
#define QUALITY_FAILING_RESPONSES 4
/*
 * ... this share of them suspicious, ... It is low since responses from before
 * the failure count as well.
 */
#define QUALITY_FAILING_SHARE 0.0625
/* ... more than expected of one like the others by so many deviations, ... */
#define QUALITY_FAILING_DEVIATIONS 3.0
/*
 * ... this many times that of the others, and the last one at most so old. Peers
 * learn of it half a second later; one that recovers is to be used within 2 s.
 */
#define QUALITY_FAILING_FACTOR 1.5
#define QUALITY_FAILING_MS 1500
/*
 * One that was failing so recently is failing again with any, and longer:
 * with the age of reports and the next assessment it is 2 s at most.
 */
#define QUALITY_PROBATION_MS 8000
#define QUALITY_FAILING_AGAIN_MS 1650
#define QUALITY_USUAL_SHARE 0.06 /* below it a failing one is usual again */
/*
 * If more than this share of a service's upstreams is failing, all are used
 * alike: the others could not bear the load, or the route has changed.
 */
#define QUALITY_PANIC_SHARE (1.0 / 3)
/*
 * A failing upstream gets one in this many of its share of flows whose requests
 * may be repeated: an error costs these an attempt, a crowd elsewhere more.
 */
#define QUALITY_TRIAL_FACTOR 4

/*
 * A report: bits 0 to 7 the ratio of response times to the typical ones, in
 * sixteenths; bits 8 to 11 the number of recent responses; bits 12 to 15 how
 * many of them were suspicious; bits 16 to 19 the age of the last of these, in
 * QUALITY_AGE_UNIT_MS. 0: none.
 */
#define QUALITY_AGE_UNIT_MS 250
#define QUALITY_AGE_MAX 15
#define QUALITY_REPORT_RESPONSES_MAX 15

struct upstream_quality;

struct upstream_quality *create_upstream_quality(void);
void destroy_upstream_quality(struct upstream_quality *uq);

/* Forgets NR: another upstream got its handle, or its process restarted. */
void reset_upstream_quality(struct upstream_quality *uq, upstream_index_t nr);

/*
 * NR began a response on ROUTE (a key of the caller's choice). TOOK_MS is its
 * response time without the time in the upstream's queue.
 */
void note_quality_time(struct upstream_quality *uq, upstream_index_t nr,
		       uint64_t route, double took_ms, uint64_t now_ms);

/*
 * NR ended a response of BYTES on ROUTE that began after TOOK_MS, of which
 * note_quality_time() was called before. MAY_SHED: NR is so loaded that it may
 * refuse requests, which is no error.
 */
void note_quality_size(struct upstream_quality *uq, upstream_index_t nr,
		       uint64_t route, double took_ms, uint32_t bytes,
		       bool may_shed, uint64_t now_ms);

/* True if peers should soon be told of a response, until cleared. */
bool has_quality_news(const struct upstream_quality *uq);
void clear_quality_news(struct upstream_quality *uq);

/* What this instance tells its peers about NR; 0: nothing. */
uint32_t own_quality_report(const struct upstream_quality *uq,
			    upstream_index_t nr, uint64_t now_ms);

/* Starts replacing the reports of instance MEMBER. */
void begin_peer_reports(struct upstream_quality *uq, uint64_t member,
			uint64_t now_ms);

/* Adds a report of the instance of the last begin_peer_reports(). */
void add_peer_report(struct upstream_quality *uq, upstream_index_t nr,
		     uint32_t report);

/* Sums up all reports, before assess_service_quality(). */
void sum_quality_reports(struct upstream_quality *uq, uint64_t now_ms);

/* Assesses UPSTREAMS (NR of them) of one service, in a fleet of INSTANCES. */
void assess_service_quality(struct upstream_quality *uq,
			    const upstream_index_t *upstreams, size_t nr,
			    size_t instances, uint64_t now_ms);

/* Whether NR is failing, and few enough others are that it can be avoided. */
bool is_failing_upstream(const struct upstream_quality *uq,
			 upstream_index_t nr);

/* Response times of NR in relation to typical ones; 1 if these do not differ
 * by more than chance explains. */
double quality_ratio(const struct upstream_quality *uq, upstream_index_t nr);

/* A change of an assessment. */
struct quality_change {
	upstream_index_t upstream;
	bool slow;
	bool failing;
	double ratio;
	uint32_t responses;  /* that all instances observed recently */
	uint32_t suspicious; /* of these */
};

/* Moves the changes since the last call to the end of CHANGES. */
void pop_quality_changes(struct upstream_quality *uq, GArray *changes);

#endif
