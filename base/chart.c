#include "base/chart.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "base/ini.h"

#define NO_STATE (-1)

struct chart {
	int initial;
	int state_nr;
	int event_nr;
	int *next_state; /* [state * event_nr + event] */
};

struct chart_parse {
	struct chart *ch;
	const char *name;
	const char *const *states;
	const char *const *events;
	struct problems *ps;
};

static int find_name(const char *const *names, int nr, const char *name)
{
	for (int i = 0; i < nr; i++)
		if (!strcmp(names[i], name))
			return i;
	return NO_STATE;
}

static void handle_chart_line(const struct ini_entry *e, void *data)
{
	struct chart_parse *p = data;
	struct chart *ch = p->ch;
	int to = find_name(p->states, ch->state_nr, e->value);
	int from;
	int event;

	if (to == NO_STATE) {
		add_problem(p->ps, p->name, e->line, "unknown state '%s'",
			    e->value);
		return;
	}
	if (!strcmp(e->section, "chart") && !strcmp(e->key, "initial")) {
		ch->initial = to;
		return;
	}
	from = find_name(p->states, ch->state_nr, e->section);
	event = find_name(p->events, ch->event_nr, e->key);
	if (from == NO_STATE)
		add_problem(p->ps, p->name, e->line, "unknown state '%s'",
			    e->section);
	else if (event == NO_STATE)
		add_problem(p->ps, p->name, e->line, "unknown event '%s'",
			    e->key);
	else
		ch->next_state[from * ch->event_nr + event] = to;
}

static void mark_reachable_states(const struct chart *ch, int state, bool *seen)
{
	if (seen[state])
		return;
	seen[state] = true;
	for (int e = 0; e < ch->event_nr; e++) {
		int to = ch->next_state[state * ch->event_nr + e];

		if (to != NO_STATE)
			mark_reachable_states(ch, to, seen);
	}
}

static void check_chart(const struct chart_parse *p)
{
	const struct chart *ch = p->ch;
	bool *seen = g_new0(bool, ch->state_nr);

	if (ch->initial == NO_STATE)
		add_problem(p->ps, p->name, 0, "[chart] initial is missing");
	else
		mark_reachable_states(ch, ch->initial, seen);
	for (int s = 0; s < ch->state_nr; s++) {
		if (!seen[s])
			add_problem(p->ps, p->name, 0,
				    "state '%s' cannot be reached",
				    p->states[s]);
		for (int e = 0; e < ch->event_nr; e++)
			if (ch->next_state[s * ch->event_nr + e] == NO_STATE)
				add_problem(p->ps, p->name, 0,
					    "state '%s' has no transition "
					    "for event '%s'",
					    p->states[s], p->events[e]);
	}
	g_free(seen);
}

struct chart *create_chart(const char *name, const char *text,
			   const char *const *states, int state_nr,
			   const char *const *events, int event_nr,
			   struct problems *ps)
{
	struct chart *ch = g_new0(struct chart, 1);
	struct chart_parse p = { ch, name, states, events, ps };
	size_t before = problem_count(ps);

	ch->initial = NO_STATE;
	ch->state_nr = state_nr;
	ch->event_nr = event_nr;
	ch->next_state = g_new(int, (size_t)state_nr *event_nr);
	for (int i = 0; i < state_nr * event_nr; i++)
		ch->next_state[i] = NO_STATE;
	read_ini(name, text, strlen(text), handle_chart_line, &p, ps);
	check_chart(&p);
	if (problem_count(ps) == before)
		return ch;
	destroy_chart(ch);
	return NULL;
}

void destroy_chart(struct chart *ch)
{
	if (!ch)
		return;
	g_free(ch->next_state);
	g_free(ch);
}

int chart_initial(const struct chart *ch)
{
	return ch->initial;
}

int chart_next(const struct chart *ch, int state, int event)
{
	return ch->next_state[state * ch->event_nr + event];
}
