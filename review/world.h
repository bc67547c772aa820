#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * The users' platform around real instances, in one process, as PROTOCOL.md
 * has it: clients, routers that poll GET /ready twice a second, targets with
 * UDP flows and a TCP health check. The store is the project's stand-in, the
 * instances are the project's own processes. All addresses are 127.NET.x.y.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define PACKET_PORT 8172
#define READY_PORT 8167
#define MACHINES_MAX 16
#define TARGETS_MAX 32
#define CLIENTS_MAX 8
#define FLOWS_MAX 20000
#define NAME_MAX_BYTES 48

struct machine {
	char name[NAME_MAX_BYTES];
	char zone[NAME_MAX_BYTES];
	uint32_t ip;
	int pid;	    /* 0: not known */
	char pid_file[128]; /* of a machine that is started again; or "" */
	int misses;	    /* of GET /ready, in a row */
	bool frozen;
	uint64_t disturbed_ms; /* end of the last disruption; 0: none */
	int ready_fd;	       /* of the poll that runs; -1: none */
	uint64_t ready_began_ms;
	uint64_t ready_next_ms;
};

struct target_flow {
	uint32_t client_ip;
	uint16_t client_port;
	uint32_t route_ip;
	uint16_t route_port;
	uint32_t client_seq; /* of its SYN */
	uint32_t seq;	     /* the target's own */
	uint32_t next;	     /* next byte from the client */
	uint32_t echo;
	bool open;
	bool used;
	uint64_t syn_ms;
	unsigned int syn_acks;	 /* sent again */
	uint64_t syn_ack_due_ms; /* when the next one is sent again */
	uint64_t answer_due_ms;	 /* 0: no request runs */
	char request[32];
	char last_answer[96];
};

struct target {
	char id[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char zone[NAME_MAX_BYTES];
	uint64_t id_number;
	uint64_t born_ms; /* Unix time */
	uint32_t ip;
	uint16_t port;
	int udp;
	int tcp;
	bool registered;	/* it writes its entry */
	uint64_t cold_until_ms; /* 0: warm */
	uint64_t next_beat_ms;
	unsigned int seq; /* of its entry */
	unsigned int work_ms;
	unsigned int opened; /* SYNs of new flows that it took */
	struct target_flow flows[4096];
};

enum flow_state {
	FLOW_FREE,
	FLOW_OPENING,
	FLOW_WAITING,
	FLOW_IDLE,
	FLOW_ENDED
};

struct client_flow {
	enum flow_state state;
	int client;
	uint16_t port;
	uint32_t seq, ack, echo;
	unsigned int syn_copies;
	uint64_t began_ms, state_ms, resend_ms, opened_ms, last_packet_ms;
	unsigned int resend_interval_ms;
	unsigned int request_nr, request_goal;
	uint64_t pause_ms;
	struct target *target;	       /* where the flow is open; NULL: none */
	struct target *last_echo_from; /* who wrote the last echo received */
	struct machine *last_machine;  /* that got the last packet */
	uint64_t last_sent_ms;
	char request[32];
};

struct world {
	int net;
	uint32_t store_ip;
	uint16_t store_port;
	uint64_t start_ms;
	uint32_t route_ip;
	uint16_t route_port;
	unsigned int beat_ms;
	unsigned int lost_per_1000; /* datagrams to clients that get lost */
	bool targets_repeat_syn_acks;
	struct machine machines[MACHINES_MAX];
	int machine_nr;
	struct target targets[TARGETS_MAX];
	int target_nr;
	struct {
		uint32_t ip;
		int udp;
		char zone[NAME_MAX_BYTES];
		uint16_t next_port;
	} clients[CLIENTS_MAX];
	int client_nr;
	struct client_flow *flows;
	int flow_nr;
	FILE *record;
	/* counts */
	unsigned int lost_datagrams;
	unsigned int opened, answered, refused, abandoned, unanswered, runs;
	unsigned int resets_by_target, resets_by_system, resets_foreign;
	/* an open flow got a reset; BY: the target that sent it, NULL: system */
	void (*on_reset)(struct world *w, struct client_flow *f,
			 struct target *by);
	/* a target took the opening packet of a new flow */
	void (*on_taken)(struct world *w, struct target *t,
			 const struct target_flow *f);
};

uint64_t now_ms(void); /* steady clock */
uint64_t unix_ms(void);
uint32_t address(int net, int c, int d);
void note(struct world *w, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
struct world *create_world(int net, const char *record_path);
struct machine *add_machine(struct world *w, const char *name, const char *zone,
			    int d, int pid);
struct target *add_target(struct world *w, const char *id, const char *service,
			  const char *zone, int d);
int add_client(struct world *w, const char *zone, int d);
struct client_flow *open_client_flow(struct world *w, int client,
				     unsigned int requests, uint64_t pause_ms);
/* Runs for MS, calling EACH about every ms. */
void run_world(struct world *w, uint64_t ms,
	       void (*each)(struct world *w, uint64_t now));
/* Calls the store; the answer is not waited for. */
void call_store(struct world *w, const char *method, const char *target,
		const char *body);
void write_target_entry(struct world *w, struct target *t);
/* True once all machines answered GET /ready with 200. */
bool all_ready(const struct world *w);

#endif
