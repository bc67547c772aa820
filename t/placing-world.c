#include "t/placing-world.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "fleet/beacon.h"
#include "t/cookie-bed.h"

#define DEADLINE_MS 3000
#define TRIES 3	    /* of one request */
#define AGAIN_MS 15 /* until a caller comes again */

/* When a SYN and its copies are sent, and when the caller gives up, ms. */
static const uint32_t copy_ms[] = { 0, 200, 600, 1400 };

struct long_flow {
	unsigned int instance;
	unsigned int server; /* server_nr: it is not open */
	bool asking;	     /* its caller is pending_handshake it */
};

/* A request whose caller will send a SYN at DUE_MS. */
struct asking {
	uint64_t asked_ms; /* when the caller first asked */
	uint64_t syn_ms;   /* when this try began */
	uint64_t due_ms;
	unsigned int copy;
	unsigned int tries;
	struct long_flow *flow; /* that it opens; NULL: one for itself */
};

/* One request at an upstream. */
struct work {
	uint64_t asked_ms; /* when the caller first asked */
	uint32_t left_ms;
	uint64_t started_ms;
	unsigned int instance;
	unsigned int tries;
	struct long_flow *flow; /* which goes on after it; NULL: none does */
};

struct server {
	GQueue running; /* of struct work */
	GQueue waiting;
};

struct world {
	const struct placing_options *opt;
	struct placing_result *res;
	GRand *rand;
	unsigned int instance_nr;
	unsigned int server_nr;
	struct bed_instance *instances;
	upstream_nr_t *handles; /* of servers, the same at all instances */
	struct server *servers;
	struct long_flow *flows;
	GArray *took;	/* of uint32_t, ms */
	GArray *asking; /* of struct asking */
	uint64_t now_ms;
};

static unsigned int domain_of_instance(const struct world *w, unsigned int i)
{
	return i / w->opt->instances;
}

static unsigned int domain_of_server(const struct world *w, unsigned int i)
{
	return i / w->opt->upstreams;
}

/* Server S is there, and all instances know of it. */
static void put_server(struct world *w, unsigned int s)
{
	struct upstream_report r;
	char domain[16];
	char name[16];

	g_snprintf(domain, sizeof(domain), "d%u", domain_of_server(w, s));
	g_snprintf(name, sizeof(name), "u%u", s);
	r = bed_report(name, domain);
	r.slots = w->opt->slots;
	for (unsigned int i = 0; i < w->instance_nr; i++)
		w->handles[s] = bed_put(&w->instances[i], &r, w->now_ms);
}

static void create_instances(struct world *w)
{
	char domain[16];
	char name[16];

	for (unsigned int i = 0; i < w->instance_nr; i++) {
		g_snprintf(domain, sizeof(domain), "d%u",
			   domain_of_instance(w, i));
		g_snprintf(name, sizeof(name), "i%u", i);
		init_bed_instance(&w->instances[i], name, domain);
		set_remote_domain_cost(w->instances[i].placing,
				       w->opt->far_cost);
	}
	for (unsigned int s = 0; s < w->server_nr; s++)
		put_server(w, s);
}

static unsigned int server_of(const struct world *w, upstream_nr_t nr)
{
	for (unsigned int s = 0; s < w->server_nr; s++)
		if (w->handles[s] == nr)
			return s;
	return w->server_nr;
}

static unsigned int random_server(const struct world *w)
{
	return (unsigned int)g_rand_int_range(w->rand, 0, (gint32)w->server_nr);
}

/* All upstreams but one or TWO random ones: those not to be considered. */
static size_t list_others(const struct world *w, bool two, upstream_nr_t *out)
{
	unsigned int first = random_server(w);
	unsigned int second = two ? random_server(w) : first;
	size_t n = 0;

	for (unsigned int s = 0; s < w->server_nr; s++)
		if (s != first && s != second)
			out[n++] = w->handles[s];
	return n;
}

static struct placement choose(struct world *w, unsigned int instance)
{
	struct bed_instance *in = &w->instances[instance];
	struct placement_request wish = { .service = intern_service(in->catalog,
								    "board"),
					  .deadline_ms = DEADLINE_MS,
					  .aim_ms = PLACING_WORLD_AIM_MS };
	upstream_nr_t *others = g_new(upstream_nr_t, w->server_nr);
	struct placement at;
	size_t n = 0;

	if (w->opt->way == WAY_RANDOM)
		n = list_others(w, false, others);
	else if (w->opt->way == WAY_TWO_CHOICES)
		n = list_others(w, true, others);
	wish.excluded = others;
	wish.excluded_nr = n;
	at = place_new_flow(in->placing, &wish, w->now_ms);
	g_free(others);
	return at;
}

static void count_answer(struct world *w, const struct work *wk)
{
	uint32_t took = (uint32_t)(w->now_ms - wk->asked_ms);

	g_array_append_val(w->took, took);
	if (took <= PLACING_WORLD_AIM_MS)
		w->res->in_aim++;
	else
		w->res->late++;
}

static void end_work(struct world *w, unsigned int server, struct work *wk)
{
	struct placing *pl = w->instances[wk->instance].placing;

	note_request_end(pl, w->handles[server]);
	if (!wk->flow)
		note_flow_end(pl, w->handles[server]);
	g_free(wk);
}

/* The caller of a try that did not run comes again, if it may. */
static void try_again(struct world *w, uint64_t asked_ms, unsigned int tries,
		      struct long_flow *flow)
{
	struct asking a = { .asked_ms = asked_ms,
			    .syn_ms = w->now_ms + AGAIN_MS,
			    .due_ms = w->now_ms + AGAIN_MS,
			    .tries = tries + 1,
			    .flow = flow };

	if (a.tries < TRIES && w->now_ms - asked_ms < DEADLINE_MS) {
		if (flow)
			flow->asking = true;
		g_array_append_val(w->asking, a);
		return;
	}
	w->res->failed++;
	if (flow)
		flow->asking = false;
}

static void offer(struct world *w, unsigned int server, unsigned int instance,
		  const struct asking *a)
{
	struct server *sv = &w->servers[server];
	struct placing *pl = w->instances[instance].placing;
	struct work *wk = g_new0(struct work, 1);
	double u = g_rand_double_range(w->rand, 1e-6, 1);

	wk->asked_ms = a->asked_ms;
	wk->tries = a->tries;
	wk->left_ms = 1 + (uint32_t)(-log(u) * PLACING_WORLD_WORK_MS);
	wk->instance = instance;
	wk->started_ms = w->now_ms;
	wk->flow = a->flow;
	if (!a->flow)
		note_flow_open(pl, w->handles[server]);
	note_request_start(pl, w->handles[server]);
	if (domain_of_instance(w, instance) != domain_of_server(w, server))
		w->res->far++;
	if (sv->running.length < w->opt->slots) {
		g_queue_push_tail(&sv->running, wk);
	} else if (sv->waiting.length < w->opt->queue) {
		g_queue_push_tail(&sv->waiting, wk);
	} else {
		w->res->shed++;
		end_work(w, server, wk);
		try_again(w, a->asked_ms, a->tries, NULL);
	}
}

static void run_servers(struct world *w)
{
	for (unsigned int s = 0; s < w->server_nr; s++) {
		struct server *sv = &w->servers[s];
		guint n = sv->running.length;

		for (guint i = 0; i < n; i++) {
			struct work *wk = g_queue_pop_head(&sv->running);

			if (--wk->left_ms) {
				g_queue_push_tail(&sv->running, wk);
				continue;
			}
			count_answer(w, wk);
			note_answer(w->instances[wk->instance].placing,
				    w->handles[s], w->now_ms - wk->started_ms,
				    w->now_ms);
			end_work(w, s, wk);
		}
		while (sv->running.length < w->opt->slots && sv->waiting.length)
			g_queue_push_tail(&sv->running,
					  g_queue_pop_head(&sv->waiting));
	}
}

/* An instance where a caller's packets arrive, by its domain's load. */
static unsigned int pick_instance(struct world *w)
{
	unsigned int domain = (unsigned int)g_rand_int_range(
		w->rand, 0, (gint32)w->opt->domain_nr);
	double extra = (w->opt->skew - 1) / (w->opt->domain_nr - 1);

	if (domain && g_rand_double(w->rand) < extra)
		domain = 0;
	return domain * w->opt->instances +
	       (unsigned int)g_rand_int_range(w->rand, 0,
					      (gint32)w->opt->instances);
}

static void open_long_flow(struct world *w, struct long_flow *f,
			   unsigned int instance, unsigned int server)
{
	f->instance = instance;
	f->server = server;
	f->asking = false;
	if (server < w->server_nr)
		note_flow_open(w->instances[instance].placing,
			       w->handles[server]);
}

/* Whether the gap, in which no instance was there, has just ended. */
static bool has_just_started(const struct world *w)
{
	uint64_t end_ms = w->opt->length_ms / 2 + w->opt->gap_ms;

	return w->opt->gap_ms && w->now_ms >= end_ms &&
	       w->now_ms < end_ms + COOKIE_STARTUP_MS;
}

static enum syn_verdict judge(const struct world *w, const struct asking *a,
			      const struct placement *at)
{
	enum syn_verdict v;

	if (at->upstream == CATALOG_NONE)
		return SYN_REFUSE;
	if (w->opt->no_defer)
		return SYN_PLACE;
	v = decide_syn(at, a->copy, true, has_just_started(w));
	return v == SYN_REFUSE && w->opt->admit_last ? SYN_PLACE : v;
}

/* A SYN of A arrives. */
static void take_syn(struct world *w, struct asking *a)
{
	unsigned int instance = pick_instance(w);
	struct placement at = choose(w, instance);

	switch (judge(w, a, &at)) {
	case SYN_DEFER:
		a->copy++;
		a->due_ms = a->syn_ms + copy_ms[a->copy];
		w->res->deferred++;
		g_array_append_val(w->asking, *a);
		break;
	case SYN_PLACE:
		if (a->flow)
			open_long_flow(w, a->flow, instance,
				       server_of(w, at.upstream));
		offer(w, server_of(w, at.upstream), instance, a);
		break;
	case SYN_REFUSE:
		w->res->refused++;
		try_again(w, a->asked_ms, a->tries, a->flow);
		break;
	}
}

static void ask_fresh(struct world *w, uint64_t asked_ms)
{
	struct asking a = { .asked_ms = asked_ms,
			    .syn_ms = w->now_ms,
			    .due_ms = w->now_ms };

	w->res->asked++;
	take_syn(w, &a);
}

/* Lets the callers send whose time has come. */
static void ask_again(struct world *w)
{
	for (guint i = w->asking->len; i > 0; i--) {
		struct asking a =
			g_array_index(w->asking, struct asking, i - 1);

		if (a.due_ms > w->now_ms)
			continue;
		g_array_remove_index_fast(w->asking, i - 1);
		take_syn(w, &a);
	}
}

static void open_long_flows(struct world *w)
{
	unsigned int n = (unsigned int)w->opt->long_flows;

	w->flows = g_new0(struct long_flow, n ? n : 1);
	for (unsigned int i = 0; i < n; i++) {
		unsigned int instance = pick_instance(w);

		open_long_flow(w, &w->flows[i], instance,
			       server_of(w, choose(w, instance).upstream));
	}
}

static void ask_long(struct world *w)
{
	unsigned int n = (unsigned int)w->opt->long_flows;

	for (unsigned int i = 0; i < n; i++) {
		struct long_flow *f = &w->flows[i];
		struct asking a = { .asked_ms = w->now_ms,
				    .syn_ms = w->now_ms,
				    .due_ms = w->now_ms,
				    .flow = f };

		if (f->asking || g_rand_double(w->rand) >= 0.001)
			continue;
		w->res->asked++;
		if (f->server < w->server_nr) {
			offer(w, f->server, f->instance, &a);
			continue;
		}
		f->asking = true;
		g_array_append_val(w->asking, a);
	}
}

/* The requests at server S are lost; their callers come again. */
static void lose_work(struct world *w, unsigned int s, GQueue *works)
{
	struct work *wk;

	while ((wk = g_queue_pop_head(works))) {
		uint64_t asked_ms = wk->asked_ms;
		unsigned int tries = wk->tries;

		end_work(w, s, wk);
		try_again(w, asked_ms, tries, NULL);
	}
}

static void lose_server(struct world *w, unsigned int s)
{
	char name[16];

	lose_work(w, s, &w->servers[s].running);
	lose_work(w, s, &w->servers[s].waiting);
	for (unsigned int i = 0; i < (unsigned int)w->opt->long_flows; i++) {
		struct long_flow *f = &w->flows[i];

		if (f->server != s)
			continue;
		note_flow_end(w->instances[f->instance].placing, w->handles[s]);
		f->server = w->server_nr;
	}
	g_snprintf(name, sizeof(name), "u%u", s);
	for (unsigned int i = 0; i < w->instance_nr; i++) {
		remove_catalog_upstream(w->instances[i].catalog, name,
					w->now_ms);
		update_placing(w->instances[i].placing, w->handles[s],
			       w->now_ms);
	}
}

/* Loses the upstreams of some domains, and brings them back. */
static void change_servers(struct world *w)
{
	uint64_t lost_at = w->opt->length_ms / 2;

	for (unsigned int s = 0; s < w->server_nr; s++) {
		if (domain_of_server(w, s) >= w->opt->lost_domains)
			continue;
		if (w->now_ms == lost_at)
			lose_server(w, s);
		else if (w->now_ms == lost_at + w->opt->lost_ms)
			put_server(w, s);
	}
}

static void send_beacon(struct world *w, unsigned int from)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct load_row));

	list_own_loads(w->instances[from].placing, w->now_ms, rows);
	for (unsigned int i = 0; i < w->instance_nr; i++)
		if (i != from)
			take_peer_loads(
				w->instances[i].placing, from + 1,
				(const struct load_row *)(void *)rows->data,
				rows->len, w->now_ms);
	g_array_free(rows, TRUE);
}

static void tick(struct world *w)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_nr_t));

	for (unsigned int i = 0; i < w->instance_nr; i++) {
		bool due = (w->now_ms + i * 13) % w->opt->beacon_ms == 0;

		due |= has_load_moved(w->instances[i].placing) &&
		       (w->now_ms + i * 13) % BEACON_URGENT_MS == 0;
		if (w->opt->way != WAY_OWN_VIEW && due)
			send_beacon(w, i);
		if (w->now_ms % PLACEMENT_MEANS_INTERVAL_MS == 0)
			tick_placing(w->instances[i].placing, w->now_ms,
				     checks);
	}
	g_array_free(checks, TRUE);
}

static void play(struct world *w)
{
	const struct placing_options *opt = w->opt;
	uint64_t gap_at = opt->length_ms / 2;
	double due = 0;
	uint32_t backlog = 0;

	for (w->now_ms = 1; w->now_ms <= opt->length_ms; w->now_ms++) {
		bool gap =
			w->now_ms >= gap_at && w->now_ms < gap_at + opt->gap_ms;

		due += opt->requests_s / 1000;
		while (due >= 1) {
			due -= 1;
			if (gap)
				backlog++;
			else
				ask_fresh(w, w->now_ms);
		}
		change_servers(w);
		if (gap)
			continue;
		for (; backlog; backlog--)
			ask_fresh(w, w->now_ms);
		ask_again(w);
		ask_long(w);
		run_servers(w);
		tick(w);
	}
}

static int compare_ms(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void release_world(struct world *w)
{
	for (unsigned int s = 0; s < w->server_nr; s++) {
		g_queue_clear_full(&w->servers[s].running, g_free);
		g_queue_clear_full(&w->servers[s].waiting, g_free);
	}
	for (unsigned int i = 0; i < w->instance_nr; i++)
		release_bed_instance(&w->instances[i]);
	g_free(w->instances);
	g_free(w->servers);
	g_free(w->handles);
	g_free(w->flows);
	g_array_free(w->took, TRUE);
	g_array_free(w->asking, TRUE);
	g_rand_free(w->rand);
}

void init_site_options(struct placing_options *opt)
{
	*opt = (struct placing_options){ .way = WAY_FULL_SCAN,
					 .far_cost =
						 PLACEMENT_REMOTE_DOMAIN_COST,
					 .seed = 20261204,
					 .domain_nr = 4,
					 .instances = 2,
					 .upstreams = 4,
					 .slots = 3,
					 .queue = 12,
					 .skew = 1,
					 .beacon_ms = BEACON_MS,
					 .length_ms = 15000 };
}

double placing_worth(const struct placing_result *res, double late)
{
	return (res->in_aim + late * res->late) / res->asked;
}

void play_placing(const struct placing_options *opt, struct placing_result *res)
{
	struct world w = { .opt = opt, .res = res };

	memset(res, 0, sizeof(*res));
	w.instance_nr = opt->domain_nr * opt->instances;
	w.server_nr = opt->domain_nr * opt->upstreams;
	w.instances = g_new0(struct bed_instance, w.instance_nr);
	w.servers = g_new0(struct server, w.server_nr);
	w.handles = g_new0(upstream_nr_t, w.server_nr);
	w.took = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	w.asking = g_array_new(FALSE, FALSE, sizeof(struct asking));
	w.rand = g_rand_new_with_seed(opt->seed);
	create_instances(&w);
	open_long_flows(&w);
	play(&w);
	g_array_sort(w.took, compare_ms);
	if (w.took->len)
		res->p99_ms =
			g_array_index(w.took, uint32_t, w.took->len * 99 / 100);
	release_world(&w);
}

const char *placing_way_name(enum placing_way way)
{
	static const char *const names[PLACING_WAY_NR] = { "random", "own view",
							   "two choices",
							   "full scan" };

	return names[way];
}
