/*
 * The summary of an instance's state in each ping and each answer, by which
 * the other side detects differences: the configuration epoch, digests of all
 * records, and the domain heartbeats. About 60 bytes at three failure domains,
 * 8 more for each further one.
 */

#include "fleet/internal.h"

static uint64_t config_epoch(const struct fleet *f)
{
	const struct snapshot *sn = current_snapshot(f->config);

	return sn ? snapshot_epoch(sn) : 0;
}

void write_summary(struct wire_writer *w, const struct fleet *f)
{
	write_uint(w, config_epoch(f));
	write_uint(w, current_digest(f->config));
	for (int s = 0; s < FLEET_SET_NR; s++)
		write_uint(w, records_digest(f->sets[s]));
	write_array(w, domain_heartbeat_count(f->heartbeats) * 2);
	for (size_t i = 0; i < domain_heartbeat_count(f->heartbeats); i++) {
		write_uint(w, heartbeat_domain_hash(f->heartbeats, i));
		write_uint(w, domain_heartbeat_value(f->heartbeats, i));
	}
}

static bool has_nothing_newer(const struct fleet *f, uint64_t epoch,
			      const uint32_t *digests)
{
	return epoch <= config_epoch(f) &&
	       digests[SET_DOMAINS] == records_digest(f->sets[SET_DOMAINS]);
}

static void read_domain_heartbeats(struct fleet *f, struct wire_reader *r)
{
	struct wire_reader list;

	read_array(r, &list);
	while (list.remaining && !list.malformed) {
		uint32_t hash = (uint32_t)read_uint(&list, UINT32_MAX);
		uint64_t at = read_uint(&list, UINT64_MAX);

		if (!list.malformed)
			update_domain_heartbeat(f->heartbeats, hash, at,
						f->now_ms);
	}
	r->malformed |= list.malformed;
}

bool read_summary(struct fleet *f, const struct sender *from,
		  struct wire_reader *r)
{
	uint64_t epoch = read_uint(r, UINT64_MAX);
	uint32_t digest = (uint32_t)read_uint(r, UINT32_MAX);
	uint32_t digests[FLEET_SET_NR];

	for (int s = 0; s < FLEET_SET_NR; s++)
		digests[s] = (uint32_t)read_uint(r, UINT32_MAX);
	read_domain_heartbeats(f, r);
	if (r->malformed)
		return false;
	record_peer_epoch(f, from, epoch, digest);
	for (int s = 0; s < FLEET_SET_NR; s++)
		if (digests[s] != records_digest(f->sets[s]))
			compare_set(f, (enum fleet_set)s, &from->endpoint);
	return has_nothing_newer(f, epoch, digests);
}
