#ifndef FLOW_TABLE_H
#define FLOW_TABLE_H

/*
 * Flow table of one instance: a hash table with open addressing and a limit.
 * When it is full, entries that can be obtained again are evicted first, and
 * records of open flows that this instance holds as a replica last.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum flow_entry_kind {
	ENTRY_AT_BASE, /* on its slot's base; the replicas have no record */
	ENTRY_CACHED,  /* learned from a replica, or sent to the replicas */
	ENTRY_REPLICA  /* this instance is, or was, one of the replicas */
};

struct flow_entry {
	uint64_t hash; /* 0: unused */
	uint64_t upstream;
	uint64_t service;
	uint32_t last_packet_s; /* when its last packet passed here */
	uint32_t renewed_s;	/* when it was last sent to the replicas */
	/* of the replicas that it was sent to; 0: they may lack it */
	uint16_t replicas_fingerprint;
	uint8_t kind; /* enum flow_entry_kind */
	bool closing; /* FIN or RST seen */
};

struct flow_table;

/* Holds at most LIMIT entries; the array grows as needed. */
struct flow_table *create_flow_table(size_t limit);
void destroy_flow_table(struct flow_table *t);

/* The entry of the flow, or NULL; valid until the next change. */
struct flow_entry *find_flow(const struct flow_table *t, uint64_t hash,
			     uint64_t service);

/*
 * Finds or adds the flow's entry. If the table is full, another is evicted;
 * sets LOST if that was an ENTRY_REPLICA whose flow was still open.
 */
struct flow_entry *add_flow(struct flow_table *t, uint64_t hash,
			    uint64_t service, uint32_t now_s, bool *lost);

void remove_flow(struct flow_table *t, struct flow_entry *e);

size_t flow_table_count(const struct flow_table *t);
size_t flow_table_capacity(const struct flow_table *t);
size_t flow_table_bytes(const struct flow_table *t);

/* The entry at index I below the capacity, or NULL if unused. */
struct flow_entry *flow_table_at(const struct flow_table *t, size_t i);

#endif
