#ifndef BASE_CHART_H
#define BASE_CHART_H

/*
 * Finite state machines, read from INI text. Section [chart] has the initial
 * state; each other section is a state with one line "event = next state" for
 * every event. A chart is checked when it is created: unknown states or events,
 * states that cannot be reached and events without a transition are errors.
 *
 * States and events are indexes into the lists of names that are passed to
 * create_chart(), so that code can use its own enums for them.
 *
 * To add a chart: write charts/NAME.ini; declare builtin_NAME_chart in
 * charts/builtin.h and run "charts/embed.sh >charts/builtin.c"; write a module
 * that has the names of states and events and creates the chart from that
 * text, as fleet/health-chart.c does; create it once when the process starts,
 * refuse to start if that fails, and pass it to the code that uses it.
 */

#include "base/problems.h"

struct chart;

/*
 * Builds the chart NAME from TEXT. STATES and EVENTS are the names of the
 * code's enum values, in order. Returns NULL and adds to PS if TEXT does not
 * describe exactly these states and events.
 */
struct chart *create_chart(const char *name, const char *text,
			   const char *const *states, int state_nr,
			   const char *const *events, int event_nr,
			   struct problems *ps);
void destroy_chart(struct chart *ch);

/* The initial state. */
int chart_initial(const struct chart *ch);

/* The state that follows STATE on EVENT. */
int chart_next(const struct chart *ch, int state, int event);

#endif
