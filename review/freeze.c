/*
 * freeze NET STORE-PORT RECORD TROUBLE NAME:ZONE:D:PID...: one machine of the
 * zone with clients freezes once for 3.5 s (SIGSTOP, SIGCONT). Clients open
 * flows, send a request, pause, and send another one. Exits with 1 if an open
 * flow got a reset that its own target did not send (FLOW), by the rule's
 * conditions; 2 if the case could not run.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define CONTACT_MS 4000
#define FLOW_TTL_MS 60000
#define IDLE_TIMEOUT_MS 15000
#define FREEZE_AT_MS 6000
#define FREEZE_MS 3500
#define CLIENTS_UNTIL_MS 20000
#define OPEN_INTERVAL_MS 25
#define PAUSE_MS 7000

static uint64_t run_began_ms;
static uint64_t last_open_ms;
static bool trouble;
static unsigned int broken;
static unsigned int excused;

static bool in_touch(const struct machine *m, uint64_t at_ms)
{
	return !m->frozen &&
	       (!m->disturbed_ms || at_ms >= m->disturbed_ms + CONTACT_MS);
}

static void on_reset(struct world *w, struct client_flow *f, struct target *by)
{
	uint64_t now = now_ms();
	bool counts = by != f->target &&
		      in_touch(f->last_machine, f->last_sent_ms) &&
		      now - f->opened_ms <= FLOW_TTL_MS &&
		      f->last_sent_ms - f->last_packet_ms <= IDLE_TIMEOUT_MS;

	if (by == f->target) {
		note(w, "client %d:%u: reset by its own target %s", f->client,
		     f->port, by->id);
		return;
	}
	broken += counts;
	excused += !counts;
	note(w,
	     "%s: client %d:%u: flow that is open at %s since %.3f s got a "
	     "reset of %s; packets by way of %s, idle for %llu ms before, "
	     "request %s",
	     counts ? "FLOW broken" : "not counted (not in touch)", f->client,
	     f->port, f->target->id,
	     (double)(f->opened_ms - w->start_ms) / 1000,
	     by ? by->id : "the system", f->last_machine->name,
	     (unsigned long long)(f->last_sent_ms - f->last_packet_ms),
	     f->state == FLOW_WAITING ? f->request : "none");
}

static void each(struct world *w, uint64_t now)
{
	struct machine *m = &w->machines[0];
	uint64_t at = now - run_began_ms;

	if (trouble && !m->frozen && !m->disturbed_ms && at >= FREEZE_AT_MS) {
		note(w, "node_freeze %s begins", m->name);
		m->frozen = true;
		kill(m->pid, SIGSTOP);
	}
	if (m->frozen && at >= FREEZE_AT_MS + FREEZE_MS) {
		kill(m->pid, SIGCONT);
		m->frozen = false;
		m->disturbed_ms = now;
		note(w, "node_freeze %s ends", m->name);
	}
	if (at < CLIENTS_UNTIL_MS && now - last_open_ms >= OPEN_INTERVAL_MS) {
		last_open_ms = now;
		open_client_flow(w, (int)(at / OPEN_INTERVAL_MS) % w->client_nr,
				 2, PAUSE_MS);
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
		int d;
		int pid;

		if (sscanf(argv[i], "%47[^:]:%47[^:]:%d:%d", name, zone, &d,
			   &pid) != 4)
			return 2;
		add_machine(w, name, zone, d, pid);
	}
	for (int i = 0; i < 14; i++) {
		static const char *const zones[] = { "kochi-a", "kochi-b",
						     "kochi-c", "kochi-d" };
		char id[32];

		snprintf(id, sizeof(id), "i-%08x", 0x4c20bb40 + i * 0x01010101);
		add_target(w, id, "permit-desk", zones[i % 4], i + 1);
	}
	for (int i = 0; i < 4; i++)
		add_client(w, w->machines[0].zone, i + 1);
	for (int i = 0; i < 200 && !all_ready(w); i++)
		run_world(w, 50, NULL);
	run_world(w, 2500, NULL);
	if (!all_ready(w)) {
		note(w, "not all machines are ready");
		fflush(w->record);
		return 2;
	}
	run_began_ms = now_ms();
	run_world(w, CLIENTS_UNTIL_MS + PAUSE_MS + 3000, each);
	note(w,
	     "sent: %d flows; opened %u, answered %u, run %u, refused %u, "
	     "no SYN+ACK %u, not answered %u",
	     w->flow_nr, w->opened, w->answered, w->runs, w->refused,
	     w->abandoned, w->unanswered);
	note(w,
	     "FLOW: %u resets of open flows break the rule, %u more were "
	     "not counted",
	     broken, excused);
	fclose(w->record);
	if (w->opened < 200 || w->answered < 300)
		return 2;
	return broken ? 1 : 0;
}
