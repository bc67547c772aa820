/*
 * clone NET STORE-PORT RECORD TROUBLE NAME:ZONE:D:PID-FILE...: clones of three
 * targets start in another environment, with the ids that they were cloned
 * with, and register as a service that no configuration names; machines are
 * stopped and started in turn. Exits with 1 if an open flow got a reset that
 * its own target did not send (FLOW); 2 if the case could not run.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define FLOW_TTL_MS 60000
#define IDLE_TIMEOUT_MS 15000
#define CLONES_AT_MS 6000
#define CLONE_NR 3
#define ROLL_AT_MS 9000
#define ROLL_GAP_MS 1300
#define ROLL_NR 4 /* a share of 0.45 of 9 machines */
#define CLIENTS_UNTIL_MS 20000
#define OPEN_INTERVAL_MS 60
#define PAUSE_MS 4000

static uint64_t run_began_ms;
static uint64_t last_open_ms;
static bool trouble;
static bool cloned;
static int stopped_nr;
static unsigned int broken;
static unsigned int own;

static void on_reset(struct world *w, struct client_flow *f, struct target *by)
{
	uint64_t now = now_ms();
	bool counts = by != f->target && now - f->opened_ms <= FLOW_TTL_MS &&
		      f->last_sent_ms - f->last_packet_ms <= IDLE_TIMEOUT_MS;

	own += by == f->target;
	broken += counts;
	note(w,
	     "%s: client %d:%u: flow that is open at %s since %.3f s got a "
	     "reset of %s; packets by way of %s, last packet of its target "
	     "%llu ms before, request %s",
	     counts ? "FLOW broken" : "not counted", f->client, f->port,
	     f->target->id, (double)(f->opened_ms - w->start_ms) / 1000,
	     by ? by->service : "the system", f->last_machine->name,
	     (unsigned long long)(now - f->last_packet_ms),
	     f->state == FLOW_WAITING ? f->request : "none");
}

static int read_pid(const struct machine *m)
{
	FILE *file = fopen(m->pid_file, "r");
	int pid = 0;

	if (file && fscanf(file, "%d", &pid) != 1)
		pid = 0;
	if (file)
		fclose(file);
	return pid;
}

static void each(struct world *w, uint64_t now)
{
	uint64_t at = now - run_began_ms;

	if (trouble && !cloned && at >= CLONES_AT_MS) {
		cloned = true;
		for (int i = 0; i < CLONE_NR; i++) {
			const struct target *t = &w->targets[i * 4 + 1];
			struct target *clone =
				add_target(w, t->id, "permit-desk-staging",
					   t->zone, 101 + i);

			note(w,
			     "a clone of %s starts at 127.%d.72.%d as "
			     "permit-desk-staging",
			     t->id, w->net, 101 + i);
			clone->next_beat_ms = now;
		}
	}
	if (stopped_nr < ROLL_NR &&
	    at >= (uint64_t)(ROLL_AT_MS + stopped_nr * ROLL_GAP_MS)) {
		struct machine *m = &w->machines[stopped_nr++];
		int pid = read_pid(m);

		note(w, "roll_term %s", m->name);
		if (pid > 0)
			kill(pid, SIGTERM);
	}
	if (at < CLIENTS_UNTIL_MS && now - last_open_ms >= OPEN_INTERVAL_MS) {
		last_open_ms = now;
		open_client_flow(w, (int)(at / OPEN_INTERVAL_MS) % w->client_nr,
				 3, PAUSE_MS);
	}
}

int main(int argc, char **argv)
{
	struct world *w;

	if (argc < 6)
		return 2;
	w = create_world(atoi(argv[1]), argv[3]);
	w->store_ip = address(w->net, 0, 1);
	w->store_port = (uint16_t)atoi(argv[2]);
	w->on_reset = on_reset;
	trouble = atoi(argv[4]);
	for (int i = 5; i < argc; i++) {
		char name[48];
		char zone[48];
		char file[128];
		int d;

		if (sscanf(argv[i], "%47[^:]:%47[^:]:%d:%127s", name, zone, &d,
			   file) != 4)
			return 2;
		snprintf(add_machine(w, name, zone, d, 0)->pid_file,
			 sizeof(file), "%s", file);
	}
	for (int i = 0; i < 14; i++) {
		static const char *const zones[] = { "kochi-a", "kochi-b",
						     "kochi-c", "kochi-d" };
		char id[32];

		snprintf(id, sizeof(id), "i-%08x", 0x4c20bb40 + i * 0x01010101);
		add_target(w, id, "permit-desk", zones[i % 4], i + 1);
	}
	for (int i = 0; i < 3; i++)
		add_client(w, "kochi-b", i + 1);
	for (int i = 0; i < 200 && !all_ready(w); i++)
		run_world(w, 50, NULL);
	run_world(w, 2500, NULL);
	if (!all_ready(w)) {
		note(w, "not all machines are ready");
		fflush(w->record);
		return 2;
	}
	run_began_ms = now_ms();
	run_world(w, CLIENTS_UNTIL_MS + 2 * PAUSE_MS + 4000, each);
	note(w,
	     "sent: %d flows; opened %u, answered %u, run %u, refused %u, "
	     "no SYN+ACK %u, not answered %u",
	     w->flow_nr, w->opened, w->answered, w->runs, w->refused,
	     w->abandoned, w->unanswered);
	note(w,
	     "FLOW: %u resets of open flows break the rule; %u by the "
	     "flow's own target",
	     broken, own);
	fclose(w->record);
	if (w->opened < 100 || w->answered < 100)
		return 2;
	return broken ? 1 : 0;
}
