#ifndef T_FLEET_WORLD_H
#define T_FLEET_WORLD_H

/*
 * Some fleets in one process, joined by a queue of events that loses,
 * duplicates, delays and cuts messages as told. Time starts at WORLD_START_MS
 * and moves only in run_world().
 */

#include "fleet/fleet.h"

#define WORLD_START_MS 1000
#define WORLD_MAX 1024 /* instances */

struct world_options {
	uint32_t seed;
	size_t nr;	  /* instances */
	size_t domain_nr; /* instance I is in domain I % domain_nr */
	unsigned int loss_pct;
	unsigned int duplicate_pct;
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
	size_t seed_nr; /* the first instances are everybody's seeds */
};

struct world;

struct world *create_world(const struct world_options *options);
void destroy_world(struct world *w);

/* Starts instance I, under its old name if it ran before. */
void start_instance(struct world *w, size_t i);
void kill_instance(struct world *w, size_t i);
bool is_running(const struct world *w, size_t i);

/* Stops instance I for MS; what is sent to it waits. */
void pause_instance(struct world *w, size_t i, uint64_t ms);

/* Says goodbye, and ends MS later. */
void leave_instance(struct world *w, size_t i, uint64_t ms);

/* Cuts or heals the ways between domains A and B, both directions. */
void cut_domains(struct world *w, size_t a, size_t b, bool cut);
void heal_world(struct world *w);

/* Cuts or heals the ways between instance I and every other. */
void cut_instance(struct world *w, size_t i, bool cut);
void set_world_loss(struct world *w, unsigned int pct);

void run_world(struct world *w, uint64_t ms);
uint64_t world_now(const struct world *w);

void offer_event(struct world *w, size_t i, const struct fleet_event *ev);

/* Instance I reads the snapshot of EPOCH from the store. */
void offer_epoch(struct world *w, size_t i, uint64_t epoch);

/* Instance I reads from the store that DOMAIN is out, or back, at EPOCH. */
void offer_domain(struct world *w, size_t i, const char *domain, uint64_t epoch,
		  bool out);

/* What is made of an epoch: SERVICE_NR services, some changed by each. */
struct snapshot *make_snapshot(uint64_t epoch, size_t service_nr);
void set_service_nr(struct world *w, size_t nr);

const struct fleet *world_fleet(const struct world *w, size_t i);
struct view *world_view(const struct world *w, size_t i);
const struct counters *world_counters(const struct world *w, size_t i);
uint64_t world_epoch(const struct world *w, size_t i);
uint64_t world_member_id(size_t i);
const char *world_domain(size_t d);

/* The state in which instance I sees J; MEMBER_STATE_NR if not at all. */
enum member_state seen_state(const struct world *w, size_t i, size_t j);

/* True if an epoch went back anywhere, at any time. */
bool epoch_went_back(const struct world *w);

/* Number of messages and bytes handed over so far. */
uint64_t world_message_nr(const struct world *w);
uint64_t world_byte_nr(const struct world *w);

#endif
