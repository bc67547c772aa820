#ifndef CONFIG_DOMAINS_H
#define CONFIG_DOMAINS_H

/*
 * Which failure domains operators took out. Each domain has a record of its
 * own with an epoch of its own, so that taking one out neither waits for nor
 * undoes a publish. Of two records the higher epoch wins, always.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/service.h"

#define DOMAINS_MAX 64 /* failure domains in one fleet */

struct domain_record {
	char name[CONFIG_NAME_MAX];
	uint64_t epoch; /* of this record; 0: never written */
	bool out;
};

struct domain_set {
	struct domain_record at[DOMAINS_MAX];
	size_t nr;
};

/* Takes REC if its epoch is higher than what is known; true if taken. */
bool merge_domain_record(struct domain_set *ds,
			 const struct domain_record *rec);

/* The record of domain NAME, or NULL. */
const struct domain_record *find_domain(const struct domain_set *ds,
					const char *name);

void encode_domain_record(struct wire_writer *w,
			  const struct domain_record *rec);
bool decode_domain_record(struct wire_reader *r, struct domain_record *rec);

#endif
