#include "t/flow-strategies.h"

#include <glib.h>

#include "flow/replicas.h"
#include "flow/route.h"

#define CONTROL_BUDGET 1024    /* bytes/s that a model may send to replicas */
#define COPY_BYTES_ESTIMATE 32 /* of one entry sent to a replica */
#define ENTRY_BYTES 40	       /* of one entry in memory */

struct strategy_model {
	const struct view *view;
	struct unsettled_marks *unsettled_marks;
	struct quotas *quotas;
	struct flow_replicas *replicas;
	struct snapshot *snapshot;
	GHashTable *routes;	 /* service id -> struct route */
	GHashTable *local_flows; /* flow hash -> upstream id */
	/* flow hash -> upstream id, received from other instances */
	GHashTable *replica_flows;
	GArray *unsent_hashes; /* of old flows to send to replicas */
	/* time until which the budget is spent */
	uint64_t budget_spent_until_ms;
};

struct strategy_model *create_strategy_model(const struct view *view)
{
	struct strategy_model *m = g_new0(struct strategy_model, 1);

	m->view = view;
	m->unsettled_marks = create_unsettled_marks();
	m->quotas = create_quotas(view);
	m->replicas = create_flow_replicas(view);
	m->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  (GDestroyNotify)destroy_route);
	m->local_flows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	m->replica_flows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	m->unsent_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return m;
}

void destroy_strategy_model(struct strategy_model *m)
{
	if (!m)
		return;
	destroy_unsettled_marks(m->unsettled_marks);
	destroy_quotas(m->quotas);
	destroy_flow_replicas(m->replicas);
	unref_snapshot(m->snapshot);
	g_hash_table_destroy(m->routes);
	g_hash_table_destroy(m->local_flows);
	g_hash_table_destroy(m->replica_flows);
	g_array_free(m->unsent_hashes, TRUE);
	g_free(m);
}

static struct route_inputs make_route_inputs(struct flow_harness *h,
					     const struct strategy_model *m)
{
	struct route_inputs in = { .view = m->view,
				   .quotas = m->quotas,
				   .unsettled_marks = m->unsettled_marks,
				   .now_ms = h->now_ms,
				   .changed_ms = h->now_ms,
				   .wall_s = 1000000 + h->now_ms / 1000 };

	return in;
}

static void put_flow(GHashTable *t, uint64_t hash, uint64_t upstream)
{
	g_hash_table_insert(t, g_memdup2(&hash, sizeof(hash)),
			    g_memdup2(&upstream, sizeof(upstream)));
}

static uint64_t get_flow(GHashTable *t, uint64_t hash)
{
	const uint64_t *id = g_hash_table_lookup(t, &hash);

	return id ? *id : 0;
}

static struct route *find_model_route(struct flow_harness *h,
				      struct strategy_model *m,
				      const struct service *sv)
{
	struct route *rt = g_hash_table_lookup(m->routes, &sv->id);
	struct route_inputs in = make_route_inputs(h, m);

	if (rt) {
		update_route(rt, &in);
		return rt;
	}
	rt = create_route(sv, &in);
	g_hash_table_insert(m->routes, g_memdup2(&sv->id, sizeof(sv->id)), rt);
	return rt;
}

/* Queues all local flows to be sent to replicas. */
static void queue_old_flows(struct strategy_model *m)
{
	GHashTableIter it;
	gpointer hash;
	gpointer id;

	g_hash_table_iter_init(&it, m->local_flows);
	while (g_hash_table_iter_next(&it, &hash, &id))
		g_array_append_vals(m->unsent_hashes, hash, 1);
}

void set_strategy_snapshot(struct flow_harness *h, int i)
{
	struct strategy_model *m = h->instances[i].model;
	struct route_inputs in = make_route_inputs(h, m);
	bool first = !m->snapshot;
	struct route *rt;

	unref_snapshot(m->snapshot);
	m->snapshot = ref_snapshot(h->snapshot);
	for (size_t s = 0; s < snapshot_service_count(m->snapshot); s++) {
		const struct service *sv = snapshot_service(m->snapshot, s);

		rt = g_hash_table_lookup(m->routes, &sv->id);
		if (rt)
			set_route_service(rt, sv, &in);
	}
	if (h->opt.strategy == STRATEGY_RECORD_OLD && !first)
		queue_old_flows(m);
	m->budget_spent_until_ms = h->now_ms;
}

/* Sends queued flows of unsettled slots to replicas, within the budget. */
static void send_old_flows(struct flow_harness *h, struct strategy_model *m,
			   struct route *rt)
{
	uint64_t service = route_service(rt)->id;

	while (m->unsent_hashes->len) {
		uint64_t hash = g_array_index(m->unsent_hashes, uint64_t,
					      m->unsent_hashes->len - 1);
		uint32_t slot = flow_slot(hash);
		uint64_t id = get_flow(m->local_flows, hash);
		struct replica_pair pair =
			find_flow_replicas(m->replicas, service, slot);

		if (m->budget_spent_until_ms +
			    COPY_BYTES_ESTIMATE * 2 * 1000 / CONTROL_BUDGET >
		    h->now_ms)
			return;
		g_array_set_size(m->unsent_hashes, m->unsent_hashes->len - 1);
		if (!choose_slot_upstreams(rt, slot).unsettled)
			continue;
		m->budget_spent_until_ms +=
			COPY_BYTES_ESTIMATE * 2 * 1000 / CONTROL_BUDGET;
		for (int i = 0; i < HARNESS_INSTANCE_MAX; i++)
			if (h->instances[i].alive &&
			    is_flow_replica(&pair, h->instances[i].member.id))
				put_flow(h->instances[i].model->replica_flows,
					 hash, id);
		h->control_bytes += (uint64_t)COPY_BYTES_ESTIMATE * 2;
	}
}

/* Queries the replicas of the slot one after the other; 0 if unknown. */
static uint64_t query_replicas(struct flow_harness *h, struct strategy_model *m,
			       uint64_t service, uint64_t hash)
{
	struct replica_pair pair =
		find_flow_replicas(m->replicas, service, flow_slot(hash));

	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++) {
		uint64_t id;

		if (!h->instances[i].alive ||
		    !is_flow_replica(&pair, h->instances[i].member.id))
			continue;
		h->hops += h->instances[i].model != m;
		id = get_flow(h->instances[i].model->replica_flows, hash);
		if (id)
			return id;
	}
	return 0;
}

/* True if the upstream with ID is listed and neither down nor out. */
static bool takes_packets(const struct route *rt, uint64_t id)
{
	enum upstream_state s;

	return find_listed_upstream(rt, id, &s) && s != UPSTREAM_DOWN &&
	       s != UPSTREAM_OUT;
}

/* STRATEGY_COOKIE: packets carry the id of the upstream that got the SYN. */
static uint64_t steer_by_cookie(struct flow_harness *h, struct route *rt,
				const struct packet *p)
{
	const struct upstream *up;
	uint64_t id = get_flow(h->cookies, p->hash);

	if (!(p->flags & TCP_SYN))
		return takes_packets(rt, id) ? id : 0;
	up = choose_slot_upstreams(rt, flow_slot(p->hash)).target;
	if (!up)
		return 0;
	put_flow(h->cookies, p->hash, up->id);
	return up->id;
}

uint64_t steer_by_strategy(struct flow_harness *h, int i,
			   const struct packet *p)
{
	struct strategy_model *m = h->instances[i].model;
	const struct service *sv =
		m->snapshot
			? find_service_at(m->snapshot, p->protocol, &p->service)
			: NULL;
	const struct upstream *up;
	struct route *rt;
	uint64_t id = 0;

	if (!sv)
		return 0;
	update_quotas(m->quotas, h->now_ms);
	update_flow_replicas(m->replicas, h->now_ms);
	rt = find_model_route(h, m, sv);
	if (h->opt.strategy == STRATEGY_COOKIE)
		return steer_by_cookie(h, rt, p);
	send_old_flows(h, m, rt);
	if (h->opt.strategy != STRATEGY_HASH_ONLY)
		id = get_flow(m->local_flows, p->hash);
	if (!id && h->opt.strategy == STRATEGY_RECORD_OLD &&
	    !(p->flags & TCP_SYN) &&
	    choose_slot_upstreams(rt, flow_slot(p->hash)).unsettled)
		id = query_replicas(h, m, sv->id, p->hash);
	if (id && takes_packets(rt, id)) {
		put_flow(m->local_flows, p->hash, id);
		return id;
	}
	up = choose_slot_upstreams(rt, flow_slot(p->hash)).target;
	if (!up)
		return 0;
	if (h->opt.strategy != STRATEGY_HASH_ONLY)
		put_flow(m->local_flows, p->hash, up->id);
	return up->id;
}

size_t strategy_memory(const struct strategy_model *m)
{
	return (g_hash_table_size(m->local_flows) +
		g_hash_table_size(m->replica_flows)) *
	       ENTRY_BYTES;
}
