#include "flow/flows.h"

#include <string.h>

#include "flow/gue.h"
#include "flow/state.h"

#define STALL_TRACKED_FLOWS (1 << 18) /* a power of two */
#define NOTIFY_ALL_MAX 16 /* peers to which a new mark is sent directly */
#define NOTIFY_NR 8 /* peers that each instance sends it to in a large fleet */

struct flows *create_flows(const struct view *view, struct counters *counters)
{
	struct flows *fs = g_new0(struct flows, 1);

	fs->view = view;
	fs->counters = counters;
	fs->self_id = view_self(view);
	fs->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   (GDestroyNotify)destroy_route);
	fs->table_limit = FLOW_TABLE_LIMIT;
	fs->table = create_flow_table(fs->table_limit);
	fs->unsettled_marks = create_unsettled_marks();
	fs->stall_detector = create_stall_detector(STALL_TRACKED_FLOWS);
	fs->quotas = create_quotas(view);
	fs->replicas = create_flow_replicas(view);
	fs->partitions = create_partition_watch();
	fs->rand = g_rand_new_with_seed((guint32)fs->self_id);
	init_wire_writer(&fs->writer);
	fs->sync_requester_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return fs;
}

void destroy_flows(struct flows *fs)
{
	if (!fs)
		return;
	unref_snapshot(fs->snapshot);
	g_hash_table_destroy(fs->routes);
	destroy_flow_table(fs->table);
	destroy_unsettled_marks(fs->unsettled_marks);
	destroy_stall_detector(fs->stall_detector);
	destroy_quotas(fs->quotas);
	destroy_flow_replicas(fs->replicas);
	destroy_partition_watch(fs->partitions);
	g_rand_free(fs->rand);
	release_wire_writer(&fs->writer);
	g_array_free(fs->sync_requester_ids, TRUE);
	g_free(fs);
}

void limit_flow_table(struct flows *fs, size_t limit)
{
	destroy_flow_table(fs->table);
	fs->table_limit = limit;
	fs->table = create_flow_table(limit);
}

void set_flow_wall_clock(struct flows *fs, uint64_t wall_ms, uint64_t now_ms)
{
	fs->wall_offset_ms = wall_ms - now_ms;
}

struct route_inputs route_inputs(const struct flows *fs, uint64_t now_ms)
{
	size_t others = other_live_count(fs->replicas);
	struct route_inputs in = {
		.view = fs->view,
		.quotas = fs->quotas,
		.unsettled_marks = fs->unsettled_marks,
		.now_ms = now_ms,
		.changed_ms = now_ms,
		.wall_s = (fs->wall_offset_ms + now_ms) / 1000,
		.peers_to_notify =
			others > NOTIFY_ALL_MAX ? NOTIFY_NR : (uint8_t)others,
	};

	return in;
}

static struct route *add_route(struct flows *fs, const struct service *sv,
			       uint64_t now_ms)
{
	struct route_inputs in = route_inputs(fs, now_ms);
	struct route *rt = create_route(sv, &in);

	g_hash_table_insert(fs->routes, g_memdup2(&sv->id, sizeof(sv->id)), rt);
	return rt;
}

struct route *find_route(struct flows *fs, const struct service *sv,
			 uint64_t now_ms)
{
	struct route *rt = g_hash_table_lookup(fs->routes, &sv->id);
	struct route_inputs in;

	if (!rt)
		return add_route(fs, sv, now_ms);
	in = route_inputs(fs, now_ms);
	update_route(rt, &in);
	return rt;
}

struct route *find_route_by_id(struct flows *fs, uint64_t service,
			       uint64_t now_ms)
{
	const struct service *sv =
		fs->snapshot ? find_service(fs->snapshot, service) : NULL;

	if (!sv || sv->kind != SERVICE_FLOWS)
		return NULL;
	return find_route(fs, sv, now_ms);
}

/* Updates the route of the service OLD to its configuration in SN. */
static void update_service_route(struct flows *fs, const struct service *old,
				 const struct snapshot *sn, uint64_t now_ms)
{
	const struct service *sv = find_service(sn, old->id);
	struct route_inputs in = route_inputs(fs, now_ms);

	if (sv == old || (sv && sv->digest == old->digest))
		return;
	if (!sv || sv->kind != SERVICE_FLOWS) {
		g_hash_table_remove(fs->routes, &old->id);
		return;
	}
	if (snapshot_epoch(sn) <= fs->newest_epoch)
		in.changed_ms = fs->newer_epoch_ms;
	set_route_service(find_route(fs, old, now_ms), sv, &in);
}

void set_flow_snapshot(struct flows *fs, const struct snapshot *sn,
		       uint64_t now_ms)
{
	struct snapshot *old = fs->snapshot;

	if (!old)
		fs->too_young_until_ms = now_ms + SETTLE_MS;
	for (size_t i = 0; old && i < snapshot_service_count(old); i++) {
		const struct service *sv = snapshot_service(old, i);

		if (sv->kind == SERVICE_FLOWS)
			update_service_route(fs, sv, sn, now_ms);
	}
	fs->snapshot = ref_snapshot(sn);
	unref_snapshot(old);
}

bool may_lack_updates(const struct flows *fs, uint64_t now_ms)
{
	uint64_t own_epoch = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;

	if (!other_live_count(fs->replicas))
		return false;
	return now_ms < fs->too_young_until_ms ||
	       fs->newest_epoch > own_epoch || !fs->marks_synced;
}

static enum counter fault_counter(enum packet_fault fault)
{
	switch (fault) {
	case PACKET_TRUNCATED:
		return COUNT_FLOW_TRUNCATED;
	case PACKET_FRAGMENT:
		return COUNT_FLOW_FRAGMENTS;
	case PACKET_OVERSIZED:
		return COUNT_FLOW_OVERSIZED;
	case PACKET_EXPIRED:
		return COUNT_FLOW_LOOPED;
	case PACKET_OK:
	case PACKET_MALFORMED:
	case PACKET_FAULT_NR:
		break;
	}
	return COUNT_FLOW_MALFORMED;
}

/* Parses the packet and finds its route; counts the fault and returns false. */
static bool prepare_job(struct packet_job *j)
{
	struct flows *fs = j->fs;
	const struct service *sv = NULL;

	if (!read_packet(j->data, j->len, &j->packet)) {
		count(fs->counters, fault_counter(j->packet.fault));
		return false;
	}
	if (fs->snapshot)
		sv = find_service_at(fs->snapshot, j->packet.protocol,
				     &j->packet.service);
	if (!sv || sv->kind != SERVICE_FLOWS) {
		count(fs->counters, COUNT_FLOW_NO_SERVICE);
		return false;
	}
	j->route = find_route(fs, sv, j->now_ms);
	j->slot = flow_slot(j->packet.hash);
	return true;
}

void steer_packet(struct flows *fs, const uint8_t *data, size_t len,
		  uint64_t now_ms, struct flow_actions *out)
{
	struct packet_job j = { .fs = fs,
				.out = out,
				.data = data,
				.len = len,
				.now_ms = now_ms,
				.origin_id = fs->self_id };

	out->nr = 0;
	count(fs->counters, COUNT_FLOW_PACKETS);
	if (prepare_job(&j))
		steer_job(&j);
}

/*
 * The upstream of the flow of M, which replicates it. A record here may be
 * newer than M; its upstream is used then and sent to M's origin and sender.
 */
static uint64_t reconcile_upstream(struct packet_job *j,
				   const struct flow_message *m)
{
	const struct flow_entry *e =
		find_flow(j->fs->table, j->packet.hash, m->service);
	bool is_syn = j->packet.protocol == FLOW_TCP &&
		      j->packet.flags & TCP_SYN && !(j->packet.flags & TCP_ACK);
	enum upstream_state state;

	if (!e || e->kind != ENTRY_REPLICA || e->closing ||
	    e->upstream == m->upstream)
		return m->upstream;
	if (!find_listed_upstream(j->route, e->upstream, &state) ||
	    state == UPSTREAM_DOWN || state == UPSTREAM_OUT)
		return m->upstream;
	if (is_syn && (job_now_s(j) - e->last_packet_s > SYN_REPEAT_S ||
		       !takes_new_flows(j->route, e->upstream)))
		return m->upstream;
	send_learn(j, j->origin_id, e->upstream, true);
	if (m->sender != j->origin_id)
		send_learn(j, m->sender, e->upstream, true);
	return e->upstream;
}

static void handle_replicate(struct packet_job *j, const struct flow_message *m)
{
	struct flows *fs = j->fs;
	uint64_t upstream = reconcile_upstream(j, m);
	struct replica_pair pair =
		find_flow_replicas(fs->replicas, m->service, j->slot);
	struct flow_entry *e;

	e = store_flow(fs, j->packet.hash, j->route, upstream, ENTRY_REPLICA,
		       j->now_ms);
	e->closing |= (j->packet.flags & (TCP_FIN | TCP_RST)) != 0;
	if (m->rank || !forward_to_replica(j, &pair, 1, upstream, e))
		deliver_packet(j, upstream);
}

static void handle_query(struct packet_job *j, const struct flow_message *m)
{
	struct flow_entry *e =
		find_flow(j->fs->table, j->packet.hash, m->service);

	if (!e || e->kind == ENTRY_AT_BASE) {
		steer_unknown_flow(j, (uint8_t)(m->rank + 1));
		return;
	}
	e->last_packet_s = job_now_s(j);
	e->closing |= (j->packet.flags & (TCP_FIN | TCP_RST)) != 0;
	send_learn_to_origin(j, e->upstream, true);
	deliver_packet(j, e->upstream);
}

/* Handles a packet that another instance forwarded. */
static void handle_forwarded_packet(struct packet_job *j,
				    const struct flow_message *m)
{
	if (m->hops >= FLOW_HOPS_MAX) {
		count(j->fs->counters, COUNT_FLOW_LOOPED);
		return;
	}
	if (!prepare_job(j))
		return;
	if (route_service(j->route)->id != m->service) {
		count(j->fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	if (m->kind == FLOW_REPLICATE)
		handle_replicate(j, m);
	else if (m->kind == FLOW_QUERY)
		handle_query(j, m);
	else if (m->kind == FLOW_DELIVER)
		deliver_packet(j, m->upstream);
	else
		steer_job(j);
}

/* True if M's sender is a member whose address is that of FROM. */
static bool is_known_sender(const struct flows *fs,
			    const struct flow_message *m,
			    const struct endpoint *from)
{
	const struct member *mb = find_member(fs->view, m->sender);

	return mb && mb->address.family == from->family &&
	       !memcmp(mb->address.ip, from->ip, sizeof(from->ip));
}

/* Notes the configuration epoch of another instance. */
static void note_peer_epoch(struct flows *fs, uint64_t epoch, uint64_t now_ms)
{
	uint64_t own_epoch = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;

	if (epoch <= fs->newest_epoch)
		return;
	if (fs->newest_epoch <= own_epoch)
		fs->newer_epoch_ms = now_ms;
	fs->newest_epoch = epoch;
}

void handle_flow_message(struct flows *fs, const struct endpoint *from,
			 const uint8_t *data, size_t len, uint64_t now_ms,
			 struct flow_actions *out)
{
	struct flow_message m;
	struct packet_job j = { .fs = fs, .out = out, .now_ms = now_ms };

	out->nr = 0;
	if (!read_flow_message(data, len, &m)) {
		count(fs->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	if (!is_known_sender(fs, &m, from)) {
		count(fs->counters, COUNT_FLOW_STRANGER);
		return;
	}
	note_peer_epoch(fs, m.epoch, now_ms);
	switch (m.kind) {
	case FLOW_QUERY:
	case FLOW_REPLICATE:
	case FLOW_DECIDE:
	case FLOW_DELIVER:
		j.data = m.body;
		j.len = m.body_len;
		j.hops = (uint8_t)(m.hops + 1);
		j.origin_id = m.kind == FLOW_DECIDE ? fs->self_id : m.origin;
		j.sender_id = m.sender;
		j.delegated = m.kind == FLOW_DECIDE;
		handle_forwarded_packet(&j, &m);
		break;
	case FLOW_LEARN:
		handle_learn(fs, &m, now_ms);
		break;
	case FLOW_COPY:
		handle_copies(fs, &m, now_ms);
		break;
	case FLOW_UNSETTLED:
		handle_unsettled(fs, &m, now_ms);
		break;
	case FLOW_SYNC:
		handle_sync_request(fs, &m);
		break;
	case FLOW_MESSAGE_KIND_NR:
		break;
	}
}

size_t flow_entry_count(const struct flows *fs)
{
	return flow_table_count(fs->table);
}

size_t flow_memory(const struct flows *fs)
{
	size_t bytes = flow_table_bytes(fs->table);
	GHashTableIter it;
	gpointer rt;

	g_hash_table_iter_init(&it, fs->routes);
	while (g_hash_table_iter_next(&it, NULL, &rt))
		bytes += route_bytes(rt);
	return bytes;
}
