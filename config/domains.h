#ifndef CONFIG_DOMAINS_H
#define CONFIG_DOMAINS_H

/*
 * Which failure domains operators took out of service. Each domain has its own
 * record with its own epoch, so that taking one out neither waits for nor
 * reverts a publish. Of two records the one with the higher epoch wins.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/service.h"

#define DOMAINS_MAX 64 /* failure domains in one fleet */

struct domain_record {
	char name[CONFIG_NAME_MAX];
	uint64_t epoch; /* of this record; 0: never written */
	bool out;	/* of service */
};

struct domain_set {
	struct domain_record at[DOMAINS_MAX];
	size_t nr;
};

/* Stores REC if its epoch is higher than that in DS; true if stored. */
bool merge_domain_record(struct domain_set *ds,
			 const struct domain_record *rec);

/* The record of domain NAME, or NULL. */
const struct domain_record *find_domain(const struct domain_set *ds,
					const char *name);

void encode_domain_record(struct wire_writer *w,
			  const struct domain_record *rec);
bool decode_domain_record(struct wire_reader *r, struct domain_record *rec);

#endif
