/* Request simulation: faults, view updates, load reports and ticks. */

#include "t/request-simulation-state.h"

#include <glib.h>
#include <string.h>

/* True if the partition separates the domains of instances A and B. */
static bool are_partitioned(const struct request_sim *sim, unsigned int a,
			    unsigned int b)
{
	int x = (int)request_sim_domain_of(sim, a);
	int y = (int)request_sim_domain_of(sim, b);

	return x != y &&
	       (x == sim->partitioned_domain || y == sim->partitioned_domain);
}

void handle_peer_message_event(struct request_sim *sim,
			       const struct request_sim_event *event)
{
	struct request_event ev = { .kind = REQUEST_PEER_MESSAGE,
				    .data = event->data,
				    .len = event->len };

	if (sim->instances[event->target].alive &&
	    !are_partitioned(sim, event->target, event->subject))
		step_sim_instance(sim, event->target, &ev, NULL);
}

void handle_tick_event(struct request_sim *sim, unsigned int i)
{
	struct sim_instance *in = &sim->instances[i];
	struct request_event ev = { .kind = REQUEST_TICK };

	add_request_sim_event(sim, sim->now_us + TICK_INTERVAL_US,
			      SIM_EVENT_TICK, i);
	if (!in->alive)
		return;
	step_sim_instance(sim, i, &ev, NULL);
	if (in->leaving && !open_request_count(in->requests))
		stop_sim_instance(sim, i);
}

void handle_view_update_event(struct request_sim *sim,
			      const struct request_sim_event *event)
{
	struct sim_instance *in = &sim->instances[event->target];
	struct member m = sim->members[event->subject];

	if (!in->alive || event->len < in->newest_view_update[event->subject])
		return; /* a later update of this member has arrived already */
	in->newest_view_update[event->subject] = event->len;
	m.state = (enum member_state)event->state;
	if (m.state == MEMBER_STATE_NR)
		remove_member(in->view, m.id);
	else
		set_view_member(in->view, &m);
}

void handle_upstream_state_event(struct request_sim *sim,
				 const struct request_sim_event *event)
{
	if (sim->instances[event->target].alive)
		set_upstream_state(sim->instances[event->target].view,
				   sim->upstreams[event->subject].up->id,
				   (enum upstream_state)event->state);
}

void handle_load_reports_event(struct request_sim *sim)
{
	for (unsigned int u = 0; u < sim->upstream_nr; u++) {
		const struct sim_upstream *s = &sim->upstreams[u];
		struct request_event ev = {
			.kind = REQUEST_LOAD_REPORT,
			.upstream = s->up->id,
			.running = s->reports_idle ? 0 : s->running,
			.slots = s->reports_idle ? sim->options.slots
						 : s->slot_limit
		};

		for (unsigned int i = 0; i < sim->options.instances; i++)
			if (sim->instances[i].alive)
				step_sim_instance(sim, i, &ev, NULL);
	}
	add_request_sim_event(sim, sim->now_us + LOAD_REPORT_INTERVAL_US,
			      SIM_EVENT_LOAD_REPORTS, 0);
}

static void partition_domain(struct request_sim *sim, int domain)
{
	sim->partitioned_domain = domain;
	for (unsigned int i = 0; i < sim->options.instances; i++)
		for (unsigned int m = 0; m < sim->options.instances; m++)
			if (are_partitioned(sim, i, m))
				schedule_view_update(sim, i, m, MEMBER_DEAD);
}

static void heal_partition(struct request_sim *sim)
{
	sim->partitioned_domain = -1;
	for (unsigned int m = 0; m < sim->options.instances; m++)
		if (sim->instances[m].alive)
			schedule_view_updates(sim, m, MEMBER_ALIVE);
}

static void restart_instance(struct request_sim *sim, unsigned int i)
{
	add_instance_counters(sim, &sim->instances[i]);
	memset(&sim->instances[i].counters, 0,
	       sizeof(sim->instances[i].counters));
	start_sim_instance(sim, i);
	schedule_view_updates(sim, i, MEMBER_ALIVE);
	for (unsigned int m = 0; m < sim->options.instances; m++)
		if (sim->instances[m].alive)
			schedule_view_update(sim, i, m, MEMBER_ALIVE);
}

static void break_connections(struct request_sim *sim, unsigned int u)
{
	GList *attempts =
		g_hash_table_get_keys(sim->upstreams[u].running_attempts);

	for (GList *l = attempts; l; l = l->next) {
		struct sim_attempt *at = l->data;

		end_upstream_run(sim, at);
		schedule_attempt_end(sim, at, REQUEST_LOST);
	}
	g_list_free(attempts);
}

static void set_domain_out_in_all_views(struct request_sim *sim,
					unsigned int domain, bool out)
{
	char name[CONFIG_NAME_MAX];

	g_snprintf(name, sizeof(name), "domain-%u", domain);
	for (unsigned int i = 0; i < sim->options.instances; i++)
		if (sim->instances[i].alive)
			set_domain_out(sim->instances[i].view, name, out);
}

static void apply_instance_fault(struct request_sim *sim,
				 const struct request_sim_event *event)
{
	struct sim_instance *in =
		&sim->instances[event->target % sim->options.instances];
	unsigned int i = event->target % sim->options.instances;
	struct request_event ev = { .kind = REQUEST_LEAVE };

	if (event->fault == FAULT_KILL && in->alive) {
		stop_sim_instance(sim, i);
		schedule_view_updates(sim, i, MEMBER_DEAD);
	} else if (event->fault == FAULT_LEAVE && in->alive && !in->leaving) {
		in->leaving = true;
		step_sim_instance(sim, i, &ev, NULL);
		schedule_view_updates(sim, i, MEMBER_LEAVING);
	} else if (event->fault == FAULT_RESTART && !in->alive) {
		restart_instance(sim, i);
	}
}

static void apply_upstream_fault(struct request_sim *sim,
				 const struct request_sim_event *event)
{
	unsigned int u = event->target % sim->upstream_nr;
	struct sim_upstream *s = &sim->upstreams[u];

	switch (event->fault) {
	case FAULT_COLD:
		s->announced_cold = true;
		schedule_upstream_state(sim, u, UPSTREAM_COLD);
		add_request_sim_event(
			sim,
			sim->now_us + (uint64_t)sim->options.deadline_ms * MS +
				300 * MS,
			SIM_EVENT_COLD_LIMIT, u);
		break;
	case FAULT_COLD_UNANNOUNCED:
		s->slot_limit = 1;
		break;
	case FAULT_WARM:
		s->slot_limit = sim->options.slots;
		s->announced_cold = false;
		s->cold_known_to_all = false;
		schedule_upstream_state(sim, u, UPSTREAM_WARM);
		break;
	case FAULT_FALSE_LOAD_REPORTS:
		s->reports_idle = true;
		break;
	case FAULT_SHED_ALL:
		for (unsigned int i = 0; i < sim->upstream_nr; i++) {
			sim->upstreams[i].sheds_until_us =
				sim->now_us + 2 * event->subject * MS;
			break_connections(sim, i);
		}
		break;
	case FAULT_DISCONNECT:
		break_connections(sim, u);
		break;
	default:
		break;
	}
}

void handle_fault_event(struct request_sim *sim,
			const struct request_sim_event *event)
{
	switch (event->fault) {
	case FAULT_KILL:
	case FAULT_RESTART:
	case FAULT_LEAVE:
		apply_instance_fault(sim, event);
		break;
	case FAULT_PARTITION:
		partition_domain(sim,
				 (int)(event->target % sim->options.domains));
		break;
	case FAULT_HEAL:
		heal_partition(sim);
		break;
	case FAULT_DOMAIN_OUT:
	case FAULT_DOMAIN_BACK:
		set_domain_out_in_all_views(sim, event->target,
					    event->fault == FAULT_DOMAIN_OUT);
		break;
	default:
		apply_upstream_fault(sim, event);
		break;
	}
}
