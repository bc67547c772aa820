#ifndef T_FLEET_SIMULATION_H
#define T_FLEET_SIMULATION_H

/*
 * Simulation of several instances' fleet modules in one process. Messages pass
 * through an event queue, which loses, duplicates, delays and blocks them as
 * set. The simulated time (ms) starts at SIMULATION_START_MS and advances only
 * in run_fleets().
 */

#include "fleet/fleet.h"

#define SIMULATION_START_MS 1000
#define SIMULATED_INSTANCES_MAX 1024

struct fleet_simulation_options {
	uint32_t seed;
	size_t nr;	  /* instances */
	size_t domain_nr; /* instance I is in domain I % domain_nr */
	unsigned int loss_pct;
	unsigned int duplicate_pct;
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
	size_t seed_nr; /* the first SEED_NR instances seed all others */
};

struct fleet_simulation;

struct fleet_simulation *
create_fleet_simulation(const struct fleet_simulation_options *options);
void destroy_fleet_simulation(struct fleet_simulation *fs);

/* Starts instance I, under its old name if it ran before. */
void start_instance(struct fleet_simulation *fs, size_t i);
void kill_instance(struct fleet_simulation *fs, size_t i);
bool is_running(const struct fleet_simulation *fs, size_t i);

/* Pauses instance I for MS; messages to it are delivered afterwards. */
void pause_instance(struct fleet_simulation *fs, size_t i, uint64_t ms);

/* Instance I announces that it leaves, and stops MS later. */
void leave_instance(struct fleet_simulation *fs, size_t i, uint64_t ms);

/* Blocks or restores messages between domains A and B in both directions. */
void partition_domains(struct fleet_simulation *fs, size_t a, size_t b,
		       bool blocked);
void heal_partitions(struct fleet_simulation *fs);

/* Blocks or restores messages between instance I and every other. */
void partition_instance(struct fleet_simulation *fs, size_t i, bool blocked);
void set_message_loss(struct fleet_simulation *fs, unsigned int pct);

void run_fleets(struct fleet_simulation *fs, uint64_t ms);
uint64_t simulation_now_ms(const struct fleet_simulation *fs);

void apply_fleet_event(struct fleet_simulation *fs, size_t i,
		       const struct fleet_event *ev);

/* Instance I reads the snapshot of EPOCH from the store. */
void read_epoch_from_store(struct fleet_simulation *fs, size_t i,
			   uint64_t epoch);

/* Instance I reads from the store that DOMAIN is OUT, or back, at EPOCH. */
void read_domain_from_store(struct fleet_simulation *fs, size_t i,
			    const char *domain, uint64_t epoch, bool out);

/* The snapshot of EPOCH: SERVICE_NR services, some changed in that epoch. */
struct snapshot *make_snapshot(uint64_t epoch, size_t service_nr);
void set_service_count(struct fleet_simulation *fs, size_t nr);

const struct fleet *simulated_fleet(const struct fleet_simulation *fs,
				    size_t i);
struct view *simulated_view(const struct fleet_simulation *fs, size_t i);
const struct counters *simulated_counters(const struct fleet_simulation *fs,
					  size_t i);
uint64_t epoch_in_force(const struct fleet_simulation *fs, size_t i);
uint64_t simulated_member_id(size_t i);
const char *simulated_domain(size_t d);

/* The state of J in I's view; MEMBER_STATE_NR if J is not in that view. */
enum member_state seen_member_state(const struct fleet_simulation *fs, size_t i,
				    size_t j);

/* True if any instance put an epoch in force not above the one before. */
bool has_epoch_decreased(const struct fleet_simulation *fs);

/* Number of messages and bytes sent so far, lost ones included. */
uint64_t sent_message_count(const struct fleet_simulation *fs);
uint64_t sent_byte_count(const struct fleet_simulation *fs);

#endif
