#ifndef FLOW_TABLE_H
#define FLOW_TABLE_H

/*
 * Flows that one instance remembers: open addressing over a bounded array.
 * When it is full, what can be asked for again makes room first, and an entry
 * that this instance keeps for others last.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum flow_entry_kind {
	ENTRY_BASE,   /* the keepers know nothing: it lives at its base */
	ENTRY_CACHED, /* learned from a keeper, or told to the keepers */
	ENTRY_KEPT    /* this instance is, or was, one of its keepers */
};

struct flow_entry {
	uint64_t hash; /* 0 when free */
	uint64_t upstream;
	uint64_t service;
	uint32_t seen_s;    /* when a packet of it last came by here */
	uint32_t renewed_s; /* when the keepers last heard of it from here */
	uint16_t keepers;   /* fingerprint of those that heard */
	uint8_t kind;	    /* enum flow_entry_kind */
	bool closing;	    /* FIN or RST seen */
};

struct flow_table;

/* Holds at most LIMIT entries; starts small and grows. */
struct flow_table *create_flow_table(size_t limit);
void destroy_flow_table(struct flow_table *t);

/* The entry of the flow, or NULL; valid until the next change. */
struct flow_entry *find_flow(const struct flow_table *t, uint64_t hash,
			     uint64_t service);

/*
 * Finds or adds the flow's entry. A full table makes room; LOST is then set
 * if that dropped a kept entry whose flow was still open.
 */
struct flow_entry *add_flow(struct flow_table *t, uint64_t hash,
			    uint64_t service, uint32_t now_s, bool *lost);

void remove_flow(struct flow_table *t, struct flow_entry *e);

size_t flow_table_count(const struct flow_table *t);
size_t flow_table_capacity(const struct flow_table *t);
size_t flow_table_bytes(const struct flow_table *t);

/* The entry at place I below the capacity, or NULL if the place is free. */
struct flow_entry *flow_table_at(const struct flow_table *t, size_t i);

#endif
