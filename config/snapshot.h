#ifndef CONFIG_SNAPSHOT_H
#define CONFIG_SNAPSHOT_H

/*
 * A snapshot: all services in force at one epoch. Immutable, with a reference
 * count. Epochs only increase; an instance ignores a lower one.
 */

#include <stddef.h>
#include <stdint.h>

#include "base/problems.h"
#include "config/service.h"

#define PUBLISH_ID_MAX 40 /* bytes, with the NUL */

struct snapshot;

/*
 * Builds a snapshot of the NR services in SERVICES and takes a reference on
 * each. PUBLISH_ID is unique for each publish.
 */
struct snapshot *create_snapshot(uint64_t epoch, const char *publish_id,
				 struct service *const *services, size_t nr);
struct snapshot *ref_snapshot(const struct snapshot *sn);
void unref_snapshot(struct snapshot *sn);

uint64_t snapshot_epoch(const struct snapshot *sn);
const char *snapshot_publish_id(const struct snapshot *sn);
size_t snapshot_service_count(const struct snapshot *sn);
size_t snapshot_upstream_count(const struct snapshot *sn);

/* Service number I, from 0, in order of ids. */
const struct service *snapshot_service(const struct snapshot *sn, size_t i);

/* The service with ID, or NULL. */
const struct service *find_service(const struct snapshot *sn, uint64_t id);

/* The service whose address for callers is EP with PROTOCOL, or NULL. */
const struct service *find_service_at(const struct snapshot *sn,
				      enum flow_protocol protocol,
				      const struct endpoint *ep);

/* Adds a problem for each name, address or upstream id that is used twice. */
void check_snapshot(const struct snapshot *sn, struct problems *ps);

/* Hash of all services; does not depend on the epoch. */
uint64_t snapshot_digest(const struct snapshot *sn);

void encode_snapshot(struct wire_writer *w, const struct snapshot *sn);

/* Decodes a snapshot; NULL with ST set if it is malformed. */
struct snapshot *decode_snapshot(const void *data, size_t len,
				 struct status *st);

#endif
