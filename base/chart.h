#ifndef BASE_CHART_H
#define BASE_CHART_H

/*
 * State charts, interpreted. A chart is INI text: section [chart] names the
 * initial state and the events; each further section is a state with one line
 * "event = next state" for every event. A chart is checked whole when it is
 * created: unknown states, states that cannot be reached and events without a
 * transition are errors.
 *
 * States and events are small integers: their position in the lists of names
 * handed to create_chart, so that code can use enums.
 *
 * To add a chart: write charts/NAME.ini; declare builtin_NAME_chart in
 * charts/builtin.h and run "charts/embed.sh >charts/builtin.c"; write a module
 * that holds the names of states and events and creates the chart from that
 * text, as fleet/health-chart.c does; create it once when the process starts,
 * refuse to start if that fails, and hand it to the deciding code.
 */

#include "base/problems.h"

struct chart;

/*
 * Builds the chart named NAME from TEXT. STATES and EVENTS are the names that
 * the code's enums stand for. Returns NULL and fills PS when the text does
 * not describe exactly these states and events.
 */
struct chart *create_chart(const char *name, const char *text,
			   const char *const *states, int state_nr,
			   const char *const *events, int event_nr,
			   struct problems *ps);
void destroy_chart(struct chart *ch);

/* The state in which a new thing starts. */
int chart_initial(const struct chart *ch);

/* The state that follows STATE on EVENT. */
int chart_next(const struct chart *ch, int state, int event);

#endif
