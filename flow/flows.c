#include "flow/flows.h"

#include <string.h>

#include "flow/gue.h"
#include "flow/state.h"

#define PROGRESS_SLOTS (1 << 18) /* flows followed for progress */
#define TELL_ALL_MAX 16		 /* others told directly in a small fleet */
#define TELL_NR 8		 /* others told by each in a large one */

struct flows *create_flows(const struct view *view, struct counters *counters)
{
	struct flows *fs = g_new0(struct flows, 1);

	fs->view = view;
	fs->counters = counters;
	fs->self = view_self(view);
	fs->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   (GDestroyNotify)destroy_route);
	fs->table_limit = FLOW_TABLE_LIMIT;
	fs->table = create_flow_table(fs->table_limit);
	fs->marks = create_marks();
	fs->progress = create_progress(PROGRESS_SLOTS);
	fs->shares = create_shares(view);
	fs->keepers = create_keepers(view);
	fs->cuts = create_cut_watch();
	fs->rand = g_rand_new_with_seed((guint32)fs->self);
	init_wire_writer(&fs->writer);
	fs->sync_to = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return fs;
}

void destroy_flows(struct flows *fs)
{
	if (!fs)
		return;
	unref_snapshot(fs->snapshot);
	g_hash_table_destroy(fs->routes);
	destroy_flow_table(fs->table);
	destroy_marks(fs->marks);
	destroy_progress(fs->progress);
	destroy_shares(fs->shares);
	destroy_keepers(fs->keepers);
	destroy_cut_watch(fs->cuts);
	g_rand_free(fs->rand);
	release_wire_writer(&fs->writer);
	g_array_free(fs->sync_to, TRUE);
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
	fs->wall_at_0 = wall_ms - now_ms;
}

struct route_inputs route_inputs(const struct flows *fs, uint64_t now_ms)
{
	size_t others = other_live_nr(fs->keepers);
	struct route_inputs in = {
		.view = fs->view,
		.shares = fs->shares,
		.marks = fs->marks,
		.now_ms = now_ms,
		.changed_ms = now_ms,
		.wall_s = (fs->wall_at_0 + now_ms) / 1000,
		.tell_nr = others > TELL_ALL_MAX ? TELL_NR : (uint8_t)others,
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

/* Brings routes of the service OLD to what SN says of it. */
static void replace_service(struct flows *fs, const struct service *old,
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
		in.changed_ms = fs->newer_since;
	set_route_service(find_route(fs, old, now_ms), sv, &in);
}

void set_flow_snapshot(struct flows *fs, const struct snapshot *sn,
		       uint64_t now_ms)
{
	struct snapshot *old = fs->snapshot;

	if (!old)
		fs->fresh_until = now_ms + SETTLE_MS;
	for (size_t i = 0; old && i < snapshot_service_nr(old); i++) {
		const struct service *sv = snapshot_service(old, i);

		if (sv->kind == SERVICE_FLOWS)
			replace_service(fs, sv, sn, now_ms);
	}
	fs->snapshot = ref_snapshot(sn);
	unref_snapshot(old);
}

bool is_doubtful(const struct flows *fs, uint64_t now_ms)
{
	uint64_t own = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;

	if (!other_live_nr(fs->keepers))
		return false;
	return now_ms < fs->fresh_until || fs->newest_epoch > own ||
	       !fs->synced;
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
	case PACKET_WHOLE:
	case PACKET_MALFORMED:
	case PACKET_FAULT_NR:
		break;
	}
	return COUNT_FLOW_MALFORMED;
}

/* Reads the packet and finds its service; false, and counted, if not. */
static bool open_job(struct job *j)
{
	struct flows *fs = j->fs;
	const struct service *sv = NULL;

	if (!read_packet(j->data, j->len, &j->p)) {
		count(fs->counters, fault_counter(j->p.fault));
		return false;
	}
	if (fs->snapshot)
		sv = find_service_at(fs->snapshot, j->p.protocol,
				     &j->p.service);
	if (!sv || sv->kind != SERVICE_FLOWS) {
		count(fs->counters, COUNT_FLOW_NO_SERVICE);
		return false;
	}
	j->route = find_route(fs, sv, j->now_ms);
	j->slot = flow_slot(j->p.hash);
	return true;
}

void steer_packet(struct flows *fs, const uint8_t *data, size_t len,
		  uint64_t now_ms, struct flow_actions *out)
{
	struct job j = { .fs = fs,
			 .out = out,
			 .data = data,
			 .len = len,
			 .now_ms = now_ms,
			 .origin = fs->self };

	out->nr = 0;
	count(fs->counters, COUNT_FLOW_PACKETS);
	if (open_job(&j))
		steer_job(&j);
}

/* The flow at the keeper M came to; what is known here may be newer. */
static uint64_t reconcile(struct job *j, const struct flow_message *m)
{
	const struct flow_entry *e =
		find_flow(j->fs->table, j->p.hash, m->service);
	bool opening = j->p.protocol == FLOW_TCP && j->p.flags & TCP_SYN &&
		       !(j->p.flags & TCP_ACK);
	enum upstream_state state;

	if (!e || e->kind != ENTRY_KEPT || e->closing ||
	    e->upstream == m->upstream)
		return m->upstream;
	if (!route_upstream(j->route, e->upstream, &state) ||
	    state == UPSTREAM_DOWN || state == UPSTREAM_OUT)
		return m->upstream;
	if (opening && (job_now_s(j) - e->seen_s > REPEAT_S ||
			!takes_new_flows(j->route, e->upstream)))
		return m->upstream;
	teach_member(j, j->origin, e->upstream, true);
	if (m->sender != j->origin)
		teach_member(j, m->sender, e->upstream, true);
	return e->upstream;
}

static void take_keep(struct job *j, const struct flow_message *m)
{
	struct flows *fs = j->fs;
	uint64_t upstream = reconcile(j, m);
	struct keeper_pair pair =
		find_keepers(fs->keepers, m->service, j->slot);
	struct flow_entry *e;

	e = store_flow(fs, j->p.hash, j->route, upstream, ENTRY_KEPT,
		       j->now_ms);
	e->closing |= (j->p.flags & (TCP_FIN | TCP_RST)) != 0;
	if (m->step || !pass_to_keeper(j, &pair, 1, upstream, e))
		deliver(j, upstream);
}

static void take_ask(struct job *j, const struct flow_message *m)
{
	struct flow_entry *e = find_flow(j->fs->table, j->p.hash, m->service);

	if (!e || e->kind == ENTRY_BASE) {
		steer_unknown(j, (uint8_t)(m->step + 1));
		return;
	}
	e->seen_s = job_now_s(j);
	e->closing |= (j->p.flags & (TCP_FIN | TCP_RST)) != 0;
	teach_origin(j, e->upstream, true);
	deliver(j, e->upstream);
}

/* Takes a packet that another instance passed on. */
static void take_packet(struct job *j, const struct flow_message *m)
{
	if (m->hops >= FLOW_HOPS_MAX) {
		count(j->fs->counters, COUNT_FLOW_LOOPED);
		return;
	}
	if (!open_job(j))
		return;
	if (route_service(j->route)->id != m->service) {
		count(j->fs->counters, COUNT_FLOW_MISMATCH);
		return;
	}
	if (m->kind == FLOW_KEEP)
		take_keep(j, m);
	else if (m->kind == FLOW_ASK)
		take_ask(j, m);
	else if (m->kind == FLOW_DELIVER)
		deliver(j, m->upstream);
	else
		steer_job(j);
}

/* True if a known member is at FROM and says that it is M's sender. */
static bool knows_sender(const struct flows *fs, const struct flow_message *m,
			 const struct endpoint *from)
{
	const struct member *mb = find_member(fs->view, m->sender);

	return mb && mb->address.family == from->family &&
	       !memcmp(mb->address.ip, from->ip, sizeof(from->ip));
}

/* Notes the epoch that another instance has in force. */
static void note_epoch(struct flows *fs, uint64_t epoch, uint64_t now_ms)
{
	uint64_t own = fs->snapshot ? snapshot_epoch(fs->snapshot) : 0;

	if (epoch <= fs->newest_epoch)
		return;
	if (fs->newest_epoch <= own)
		fs->newer_since = now_ms;
	fs->newest_epoch = epoch;
}

void take_flow_message(struct flows *fs, const struct endpoint *from,
		       const uint8_t *data, size_t len, uint64_t now_ms,
		       struct flow_actions *out)
{
	struct flow_message m;
	struct job j = { .fs = fs, .out = out, .now_ms = now_ms };

	out->nr = 0;
	if (!read_flow_message(data, len, &m)) {
		count(fs->counters, COUNT_FLOW_MALFORMED);
		return;
	}
	if (!knows_sender(fs, &m, from)) {
		count(fs->counters, COUNT_FLOW_STRANGER);
		return;
	}
	note_epoch(fs, m.epoch, now_ms);
	switch (m.kind) {
	case FLOW_ASK:
	case FLOW_KEEP:
	case FLOW_DECIDE:
	case FLOW_DELIVER:
		j.data = m.data;
		j.len = m.len;
		j.hops = (uint8_t)(m.hops + 1);
		j.origin = m.kind == FLOW_DECIDE ? fs->self : m.origin;
		j.sender = m.sender;
		j.decided = m.kind == FLOW_DECIDE;
		take_packet(&j, &m);
		break;
	case FLOW_LEARN:
		take_learn(fs, &m, now_ms);
		break;
	case FLOW_COPY:
		take_copy(fs, &m, now_ms);
		break;
	case FLOW_MARKS:
		take_marks(fs, &m, now_ms);
		break;
	case FLOW_SYNC:
		take_sync(fs, &m);
		break;
	case FLOW_MESSAGE_KIND_NR:
		break;
	}
}

size_t remembered_flow_nr(const struct flows *fs)
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
