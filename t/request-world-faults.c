/* Faults, news and ticks of the world of requests. */

#include "t/request-world-state.h"

#include <glib.h>
#include <string.h>

static bool is_cut(const struct request_world *w, unsigned int a,
		   unsigned int b)
{
	int x = (int)world_domain_of(w, a);
	int y = (int)world_domain_of(w, b);

	return x != y && (x == w->cut_off || y == w->cut_off);
}

void take_world_peer(struct request_world *w, const struct item *it)
{
	struct request_event ev = { .kind = REQUEST_PEER,
				    .data = it->data,
				    .len = it->len };

	if (w->in[it->a].alive && !is_cut(w, it->a, it->b))
		step_world_instance(w, it->a, &ev, NULL);
}

void take_world_tick(struct request_world *w, unsigned int i)
{
	struct instance *in = &w->in[i];
	struct request_event ev = { .kind = REQUEST_TICK };

	add_world_item(w, w->now + TICK_US, ITEM_TICK, i);
	if (!in->alive)
		return;
	step_world_instance(w, i, &ev, NULL);
	if (in->leaving && !open_request_nr(in->requests))
		stop_world_instance(w, i);
}

void take_world_view(struct request_world *w, const struct item *it)
{
	struct instance *in = &w->in[it->a];
	struct member m = w->members[it->b];

	if (!in->alive || it->len < in->seen[it->b])
		return; /* later news of this member was there first */
	in->seen[it->b] = it->len;
	m.state = (enum member_state)it->c;
	if (m.state == MEMBER_STATE_NR)
		remove_member(in->view, m.id);
	else
		put_member(in->view, &m);
}

void take_world_state(struct request_world *w, const struct item *it)
{
	if (w->in[it->a].alive)
		set_upstream_state(w->in[it->a].view, w->ups[it->b].up->id,
				   (enum upstream_state)it->c);
}

void take_world_load(struct request_world *w)
{
	for (unsigned int u = 0; u < w->upstream_nr; u++) {
		const struct stand_in *s = &w->ups[u];
		struct request_event ev = { .kind = REQUEST_LOAD,
					    .upstream = s->up->id,
					    .running = s->lies ? 0 : s->running,
					    .slots = s->lies ? w->o.slots
							     : s->limit };

		for (unsigned int i = 0; i < w->o.instances; i++)
			if (w->in[i].alive)
				step_world_instance(w, i, &ev, NULL);
	}
	add_world_item(w, w->now + LOAD_US, ITEM_LOAD, 0);
}

static void cut(struct request_world *w, int domain)
{
	w->cut_off = domain;
	for (unsigned int i = 0; i < w->o.instances; i++)
		for (unsigned int m = 0; m < w->o.instances; m++)
			if (is_cut(w, i, m))
				tell_world_view(w, i, m, MEMBER_DEAD);
}

static void heal(struct request_world *w)
{
	w->cut_off = -1;
	for (unsigned int m = 0; m < w->o.instances; m++)
		if (w->in[m].alive)
			tell_world_views(w, m, MEMBER_ALIVE);
}

static void restart(struct request_world *w, unsigned int i)
{
	count_world_dead(w, &w->in[i]);
	memset(&w->in[i].counters, 0, sizeof(w->in[i].counters));
	start_world_instance(w, i);
	tell_world_views(w, i, MEMBER_ALIVE);
	for (unsigned int m = 0; m < w->o.instances; m++)
		if (w->in[m].alive)
			tell_world_view(w, i, m, MEMBER_ALIVE);
}

static void break_calls(struct request_world *w, unsigned int u)
{
	GList *calls = g_hash_table_get_keys(w->ups[u].calls);

	for (GList *l = calls; l; l = l->next) {
		struct call *c = l->data;

		end_world_run(w, c);
		answer_world_call(w, c, REQUEST_LOST);
	}
	g_list_free(calls);
}

static void set_domain(struct request_world *w, unsigned int domain, bool out)
{
	char name[CONFIG_NAME_MAX];

	g_snprintf(name, sizeof(name), "domain-%u", domain);
	for (unsigned int i = 0; i < w->o.instances; i++)
		if (w->in[i].alive)
			set_domain_out(w->in[i].view, name, out);
}

static void take_instance_fault(struct request_world *w, const struct item *it)
{
	struct instance *in = &w->in[it->a % w->o.instances];
	unsigned int i = it->a % w->o.instances;
	struct request_event ev = { .kind = REQUEST_LEAVE };

	if (it->fault == FAULT_KILL && in->alive) {
		stop_world_instance(w, i);
		tell_world_views(w, i, MEMBER_DEAD);
	} else if (it->fault == FAULT_LEAVE && in->alive && !in->leaving) {
		in->leaving = true;
		step_world_instance(w, i, &ev, NULL);
		tell_world_views(w, i, MEMBER_LEAVING);
	} else if (it->fault == FAULT_RESTART && !in->alive) {
		restart(w, i);
	}
}

static void take_upstream_fault(struct request_world *w, const struct item *it)
{
	unsigned int u = it->a % w->upstream_nr;
	struct stand_in *s = &w->ups[u];

	switch (it->fault) {
	case FAULT_COLD:
		s->cold = true;
		tell_world_state(w, u, UPSTREAM_COLD);
		add_world_item(
			w, w->now + (uint64_t)w->o.deadline_ms * MS + 300 * MS,
			ITEM_COLD, u);
		break;
	case FAULT_SILENT_COLD:
		s->limit = 1;
		break;
	case FAULT_WARM:
		s->limit = w->o.slots;
		s->cold = false;
		s->cold_told = false;
		tell_world_state(w, u, UPSTREAM_WARM);
		break;
	case FAULT_LYING_LOAD:
		s->lies = true;
		break;
	case FAULT_SHED_ALL:
		for (unsigned int i = 0; i < w->upstream_nr; i++) {
			w->ups[i].sheds_until = w->now + 2 * it->b * MS;
			break_calls(w, i);
		}
		break;
	case FAULT_BREAK:
		break_calls(w, u);
		break;
	default:
		break;
	}
}

void take_world_fault(struct request_world *w, const struct item *it)
{
	switch (it->fault) {
	case FAULT_KILL:
	case FAULT_RESTART:
	case FAULT_LEAVE:
		take_instance_fault(w, it);
		break;
	case FAULT_PARTITION:
		cut(w, (int)(it->a % w->o.domains));
		break;
	case FAULT_HEAL:
		heal(w);
		break;
	case FAULT_DOMAIN_OUT:
	case FAULT_DOMAIN_BACK:
		set_domain(w, it->a, it->fault == FAULT_DOMAIN_OUT);
		break;
	default:
		take_upstream_fault(w, it);
		break;
	}
}
