#include "t/flow-ways.h"

#include <glib.h>

#include "flow/replicas.h"
#include "flow/route.h"

#define CONTROL_BUDGET 1024    /* bytes a second of a model's copies */
#define COPY_BYTES_ESTIMATE 32 /* of one entry told to a keeper */
#define ENTRY_BYTES 40	       /* of one entry in memory */

struct model {
	const struct view *view;
	struct unsettled_marks *marks;
	struct shares *shares;
	struct flow_replicas *keepers;
	struct snapshot *snapshot;
	GHashTable *routes; /* service id -> struct route */
	GHashTable *local;  /* flow hash -> upstream id */
	GHashTable *kept;   /* the same, told by other instances */
	GArray *untold;	    /* hashes of old flows to tell to keepers */
	uint64_t told_ms;   /* when the last one was told */
};

struct model *create_model(const struct view *view)
{
	struct model *m = g_new0(struct model, 1);

	m->view = view;
	m->marks = create_unsettled_marks();
	m->shares = create_shares(view);
	m->keepers = create_flow_replicas(view);
	m->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  (GDestroyNotify)destroy_route);
	m->local = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	m->kept = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	m->untold = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return m;
}

void destroy_model(struct model *m)
{
	if (!m)
		return;
	destroy_unsettled_marks(m->marks);
	destroy_shares(m->shares);
	destroy_flow_replicas(m->keepers);
	unref_snapshot(m->snapshot);
	g_hash_table_destroy(m->routes);
	g_hash_table_destroy(m->local);
	g_hash_table_destroy(m->kept);
	g_array_free(m->untold, TRUE);
	g_free(m);
}

static struct route_inputs inputs(struct bed *b, const struct model *m)
{
	struct route_inputs in = { .view = m->view,
				   .shares = m->shares,
				   .unsettled_marks = m->marks,
				   .now_ms = b->now,
				   .changed_ms = b->now,
				   .wall_s = 1000000 + b->now / 1000 };

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

static struct route *model_route(struct bed *b, struct model *m,
				 const struct service *sv)
{
	struct route *rt = g_hash_table_lookup(m->routes, &sv->id);
	struct route_inputs in = inputs(b, m);

	if (rt) {
		update_route(rt, &in);
		return rt;
	}
	rt = create_route(sv, &in);
	g_hash_table_insert(m->routes, g_memdup2(&sv->id, sizeof(sv->id)), rt);
	return rt;
}

/* Lists the flows that this instance knows on unsettled slots. */
static void list_old_flows(struct model *m)
{
	GHashTableIter it;
	gpointer hash;
	gpointer id;

	g_hash_table_iter_init(&it, m->local);
	while (g_hash_table_iter_next(&it, &hash, &id))
		g_array_append_vals(m->untold, hash, 1);
}

void set_model_snapshot(struct bed *b, int i)
{
	struct model *m = b->at[i].model;
	struct route_inputs in = inputs(b, m);
	bool first = !m->snapshot;
	struct route *rt;

	unref_snapshot(m->snapshot);
	m->snapshot = ref_snapshot(b->snapshot);
	for (size_t s = 0; s < snapshot_service_nr(m->snapshot); s++) {
		const struct service *sv = snapshot_service(m->snapshot, s);

		rt = g_hash_table_lookup(m->routes, &sv->id);
		if (rt)
			set_route_service(rt, sv, &in);
	}
	if (b->opt.way == WAY_REMEMBER_OLD && !first)
		list_old_flows(m);
	m->told_ms = b->now;
}

/* Tells keepers of old flows, as many as the budget allows by now. */
static void tell_old_flows(struct bed *b, struct model *m, struct route *rt)
{
	uint64_t service = route_service(rt)->id;

	while (m->untold->len) {
		uint64_t hash =
			g_array_index(m->untold, uint64_t, m->untold->len - 1);
		uint32_t slot = flow_slot(hash);
		uint64_t id = get_flow(m->local, hash);
		struct replica_pair pair =
			find_flow_replicas(m->keepers, service, slot);

		if (m->told_ms +
			    COPY_BYTES_ESTIMATE * 2 * 1000 / CONTROL_BUDGET >
		    b->now)
			return;
		g_array_set_size(m->untold, m->untold->len - 1);
		if (!choose_slot(rt, slot).unsettled)
			continue;
		m->told_ms += COPY_BYTES_ESTIMATE * 2 * 1000 / CONTROL_BUDGET;
		for (int i = 0; i < BED_INSTANCE_MAX; i++)
			if (b->at[i].alive &&
			    is_flow_replica(&pair, b->at[i].member.id))
				put_flow(b->at[i].model->kept, hash, id);
		b->control_bytes += (uint64_t)COPY_BYTES_ESTIMATE * 2;
	}
}

/* Asks the keepers of the slot one after the other. */
static uint64_t ask_keepers(struct bed *b, struct model *m, uint64_t service,
			    uint64_t hash)
{
	struct replica_pair pair =
		find_flow_replicas(m->keepers, service, flow_slot(hash));

	for (int i = 0; i < BED_INSTANCE_MAX; i++) {
		uint64_t id;

		if (!b->at[i].alive ||
		    !is_flow_replica(&pair, b->at[i].member.id))
			continue;
		b->hops += b->at[i].model != m;
		id = get_flow(b->at[i].model->kept, hash);
		if (id)
			return id;
	}
	return 0;
}

static bool is_listed(const struct route *rt, uint64_t id)
{
	enum upstream_state s;

	return route_upstream(rt, id, &s) && s != UPSTREAM_DOWN &&
	       s != UPSTREAM_OUT;
}

/* Way F: the flow's packets name the upstream that its SYN was sent to. */
static uint64_t steer_by_cookie(struct bed *b, struct route *rt,
				const struct packet *p)
{
	const struct upstream *up;
	uint64_t id = get_flow(b->cookies, p->hash);

	if (!(p->flags & TCP_SYN))
		return is_listed(rt, id) ? id : 0;
	up = choose_slot(rt, flow_slot(p->hash)).target;
	if (!up)
		return 0;
	put_flow(b->cookies, p->hash, up->id);
	return up->id;
}

uint64_t steer_model(struct bed *b, int i, const struct packet *p)
{
	struct model *m = b->at[i].model;
	const struct service *sv =
		m->snapshot
			? find_service_at(m->snapshot, p->protocol, &p->service)
			: NULL;
	const struct upstream *up;
	struct route *rt;
	uint64_t id = 0;

	if (!sv)
		return 0;
	update_shares(m->shares, b->now);
	update_flow_replicas(m->keepers, b->now);
	rt = model_route(b, m, sv);
	if (b->opt.way == WAY_COOKIE)
		return steer_by_cookie(b, rt, p);
	tell_old_flows(b, m, rt);
	if (b->opt.way != WAY_NOTHING)
		id = get_flow(m->local, p->hash);
	if (!id && b->opt.way == WAY_REMEMBER_OLD && !(p->flags & TCP_SYN) &&
	    choose_slot(rt, flow_slot(p->hash)).unsettled)
		id = ask_keepers(b, m, sv->id, p->hash);
	if (id && is_listed(rt, id)) {
		put_flow(m->local, p->hash, id);
		return id;
	}
	up = choose_slot(rt, flow_slot(p->hash)).target;
	if (!up)
		return 0;
	if (b->opt.way != WAY_NOTHING)
		put_flow(m->local, p->hash, up->id);
	return up->id;
}

size_t model_memory(const struct model *m)
{
	return (g_hash_table_size(m->local) + g_hash_table_size(m->kept)) *
	       ENTRY_BYTES;
}
