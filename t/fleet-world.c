#include "t/fleet-world.h"

#include <glib.h>
#include <string.h>

#include "t/event-queue.h"

#define PEER_PORT 7401
#define SERVICE_NR 6   /* in a snapshot, unless set otherwise */
#define CHANGED_EACH 5 /* one service of so many changes with an epoch */
#define CHANGED_MAX 40 /* services that change with an epoch */

enum kind { WORLD_TICK, WORLD_MESSAGE, WORLD_END };

struct item {
	enum kind kind;
	size_t from;
	size_t to;
	uint32_t run; /* of the receiver; another process ignores it */
	size_t len;
	uint8_t data[];
};

struct instance {
	struct fleet *fleet;
	struct view *view;
	struct counters counters;
	uint32_t run; /* how often it was started */
	uint64_t paused_until;
	uint64_t epoch; /* as last put in force by this process */
	bool cut;
};

struct world {
	struct world_options options;
	GRand *rand;
	struct event_queue *queue;
	uint64_t now;
	struct instance at[WORLD_MAX];
	bool cuts[DOMAINS_MAX][DOMAINS_MAX];
	size_t service_nr;
	bool went_back;
	uint64_t messages;
	uint64_t bytes;
};

static const char *member_name(size_t i, char name[CONFIG_NAME_MAX])
{
	g_snprintf(name, CONFIG_NAME_MAX, "in-%zu", i);
	return name;
}

uint64_t world_member_id(size_t i)
{
	char name[CONFIG_NAME_MAX];

	return service_id(member_name(i, name));
}

const char *world_domain(size_t d)
{
	static char names[DOMAINS_MAX][CONFIG_NAME_MAX];

	g_snprintf(names[d], CONFIG_NAME_MAX, "domain-%zu", d);
	return names[d];
}

static size_t domain_of(const struct world *w, size_t i)
{
	return i % w->options.domain_nr;
}

static struct endpoint endpoint_of(size_t i)
{
	struct endpoint ep = { .family = 4, .port = PEER_PORT };

	ep.ip[0] = 10;
	ep.ip[2] = (uint8_t)(i >> 8);
	ep.ip[3] = (uint8_t)i;
	return ep;
}

static size_t index_of(const struct endpoint *ep)
{
	return (size_t)ep->ip[2] << 8 | ep->ip[3];
}

struct world *create_world(const struct world_options *options)
{
	struct world *w = g_new0(struct world, 1);

	w->options = *options;
	w->rand = g_rand_new_with_seed(options->seed);
	w->queue = create_event_queue();
	w->now = WORLD_START_MS;
	w->service_nr = SERVICE_NR;
	return w;
}

void destroy_world(struct world *w)
{
	struct item *item;

	for (size_t i = 0; i < w->options.nr; i++)
		kill_instance(w, i);
	while ((item = pop_event(w->queue)))
		g_free(item);
	destroy_event_queue(w->queue);
	g_rand_free(w->rand);
	g_free(w);
}

static void schedule(struct world *w, uint64_t at, enum kind kind, size_t to)
{
	struct item *item = g_malloc0(sizeof(*item));

	item->kind = kind;
	item->to = to;
	item->run = w->at[to].run;
	push_event(w->queue, at, item);
}

void start_instance(struct world *w, size_t i)
{
	struct instance *in = &w->at[i];
	struct endpoint seeds[WORLD_MAX];
	struct member self = { .id = world_member_id(i),
			       .address = endpoint_of(i),
			       .peer_port = PEER_PORT };

	kill_instance(w, i);
	member_name(i, self.name);
	g_strlcpy(self.domain, world_domain(domain_of(w, i)),
		  sizeof(self.domain));
	self.address.port = 0;
	for (size_t s = 0; s < w->options.seed_nr; s++)
		seeds[s] = endpoint_of(s);
	in->run++;
	in->view = create_view(self.id);
	in->fleet = create_fleet(&self, in->view, seeds, w->options.seed_nr,
				 g_rand_int(w->rand), &in->counters);
	schedule(w, w->now + (uint64_t)g_rand_int_range(w->rand, 0, 200),
		 WORLD_TICK, i);
}

void kill_instance(struct world *w, size_t i)
{
	struct instance *in = &w->at[i];

	destroy_fleet(in->fleet);
	destroy_view(in->view);
	in->fleet = NULL;
	in->view = NULL;
	in->epoch = 0;
	in->paused_until = 0;
	in->run++;
}

bool is_running(const struct world *w, size_t i)
{
	return w->at[i].fleet && w->at[i].paused_until <= w->now;
}

void pause_instance(struct world *w, size_t i, uint64_t ms)
{
	if (w->at[i].fleet)
		w->at[i].paused_until = w->now + ms;
}

void cut_domains(struct world *w, size_t a, size_t b, bool cut)
{
	w->cuts[a][b] = cut;
	w->cuts[b][a] = cut;
}

void cut_instance(struct world *w, size_t i, bool cut)
{
	w->at[i].cut = cut;
}

void heal_world(struct world *w)
{
	memset(w->cuts, 0, sizeof(w->cuts));
	for (size_t i = 0; i < w->options.nr; i++)
		w->at[i].cut = false;
}

void set_world_loss(struct world *w, unsigned int pct)
{
	w->options.loss_pct = pct;
}

static bool has_luck(struct world *w, unsigned int pct)
{
	return g_rand_int_range(w->rand, 0, 100) < (gint32)pct;
}

static bool is_lost(struct world *w, size_t from, size_t to)
{
	if (to >= w->options.nr || has_luck(w, w->options.loss_pct))
		return true;
	return w->cuts[domain_of(w, from)][domain_of(w, to)] ||
	       w->at[from].cut || w->at[to].cut;
}

static void send_copy(struct world *w, size_t from, size_t to,
		      const struct fleet_action *a)
{
	struct item *item = g_malloc0(sizeof(*item) + a->len);
	uint64_t delay = (uint64_t)g_rand_int_range(
		w->rand, (gint32)w->options.delay_min_ms,
		(gint32)w->options.delay_max_ms + 1);

	item->kind = WORLD_MESSAGE;
	item->from = from;
	item->to = to;
	item->run = w->at[to].run;
	item->len = a->len;
	memcpy(item->data, a->data, a->len);
	push_event(w->queue, w->now + delay, item);
}

static void send_message(struct world *w, size_t from,
			 const struct fleet_action *a)
{
	size_t to = index_of(&a->to);

	w->messages++;
	w->bytes += a->len;
	if (is_lost(w, from, to))
		return;
	send_copy(w, from, to, a);
	if (has_luck(w, w->options.duplicate_pct))
		send_copy(w, from, to, a);
}

static void note_epoch_of(struct world *w, size_t i, uint64_t epoch)
{
	if (epoch <= w->at[i].epoch)
		w->went_back = true;
	w->at[i].epoch = epoch;
}

void offer_event(struct world *w, size_t i, const struct fleet_event *ev)
{
	struct fleet_actions as = { 0 };

	if (!is_running(w, i))
		return;
	step_fleet(w->at[i].fleet, ev, w->now, &as);
	for (size_t a = 0; a < as.nr; a++) {
		if (as.at[a].kind == FLEET_SEND)
			send_message(w, i, &as.at[a]);
		else if (as.at[a].kind == FLEET_APPLY)
			note_epoch_of(w, i, snapshot_epoch(as.at[a].snapshot));
	}
	release_fleet_actions(&as);
}

void leave_instance(struct world *w, size_t i, uint64_t ms)
{
	struct fleet_event ev = { .kind = FLEET_LEAVE };

	if (!is_running(w, i))
		return;
	offer_event(w, i, &ev);
	schedule(w, w->now + ms, WORLD_END, i);
}

static void end_instance(struct world *w, size_t i)
{
	struct fleet_event ev = { .kind = FLEET_GONE };

	offer_event(w, i, &ev);
	kill_instance(w, i);
}

static void hand_over(struct world *w, const struct item *item)
{
	struct fleet_event ev = { .kind = FLEET_TICK };

	switch (item->kind) {
	case WORLD_TICK:
		offer_event(w, item->to, &ev);
		schedule(w, w->now + FLEET_TICK_MS, WORLD_TICK, item->to);
		break;
	case WORLD_MESSAGE:
		ev.kind = FLEET_MESSAGE;
		ev.message.data = item->data;
		ev.message.len = item->len;
		offer_event(w, item->to, &ev);
		break;
	case WORLD_END:
		end_instance(w, item->to);
		break;
	}
}

static void run_item(struct world *w, struct item *item)
{
	const struct instance *in = &w->at[item->to];

	if (!in->fleet || item->run != in->run) {
		g_free(item);
	} else if (in->paused_until > w->now) {
		push_event(w->queue, in->paused_until, item);
	} else {
		hand_over(w, item);
		g_free(item);
	}
}

void run_world(struct world *w, uint64_t ms)
{
	uint64_t end = w->now + ms;

	while (next_event_ms(w->queue) <= end) {
		w->now = next_event_ms(w->queue);
		run_item(w, pop_event(w->queue));
	}
	w->now = end;
}

uint64_t world_now(const struct world *w)
{
	return w->now;
}

static bool is_changed(size_t service, uint64_t epoch, size_t service_nr)
{
	size_t each = MAX(CHANGED_EACH, service_nr / CHANGED_MAX);

	return service % each == epoch % each;
}

struct snapshot *make_snapshot(uint64_t epoch, size_t service_nr)
{
	struct service **services = g_new0(struct service *, service_nr + 1);
	char name[CONFIG_NAME_MAX];
	struct snapshot *sn;
	GPtrArray *sorted = g_ptr_array_new();

	for (size_t s = 0; s < service_nr; s++) {
		struct upstream up = { .slots = 3, .connections = 2000 };

		g_snprintf(name, sizeof(name), "service-%zu", s);
		services[s] = create_service(name);
		services[s]->address = endpoint_of(s);
		if (is_changed(s, epoch, service_nr))
			services[s]->deadline_ms = (uint32_t)(1000 + epoch);
		g_strlcpy(up.domain, world_domain(0), sizeof(up.domain));
		up.address = endpoint_of(s);
		g_snprintf(up.name, sizeof(up.name), "up-%zu-a", s);
		add_upstream(services[s], &up);
		g_snprintf(up.name, sizeof(up.name), "up-%zu-b", s);
		add_upstream(services[s], &up);
		seal_service(services[s]);
		g_ptr_array_add(sorted, services[s]);
	}
	g_snprintf(name, sizeof(name), "publish-%" G_GUINT64_FORMAT, epoch);
	sn = create_snapshot(epoch, name,
			     (struct service *const *)sorted->pdata,
			     service_nr);
	for (size_t s = 0; s < service_nr; s++)
		unref_service(services[s]);
	g_ptr_array_free(sorted, TRUE);
	g_free(services);
	return sn;
}

void set_service_nr(struct world *w, size_t nr)
{
	w->service_nr = nr;
}

void offer_epoch(struct world *w, size_t i, uint64_t epoch)
{
	struct snapshot *sn = make_snapshot(epoch, w->service_nr);
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = sn };

	offer_event(w, i, &ev);
	unref_snapshot(sn);
}

void offer_domain(struct world *w, size_t i, const char *domain, uint64_t epoch,
		  bool out)
{
	struct domain_record rec = { .epoch = epoch, .out = out };
	struct fleet_event ev = { .kind = FLEET_DOMAIN, .domain = &rec };

	g_strlcpy(rec.name, domain, sizeof(rec.name));
	offer_event(w, i, &ev);
}

const struct fleet *world_fleet(const struct world *w, size_t i)
{
	return w->at[i].fleet;
}

struct view *world_view(const struct world *w, size_t i)
{
	return w->at[i].view;
}

const struct counters *world_counters(const struct world *w, size_t i)
{
	return &w->at[i].counters;
}

uint64_t world_epoch(const struct world *w, size_t i)
{
	const struct snapshot *sn =
		w->at[i].fleet ? fleet_snapshot(w->at[i].fleet) : NULL;

	return sn ? snapshot_epoch(sn) : 0;
}

enum member_state seen_state(const struct world *w, size_t i, size_t j)
{
	const struct member *m = find_member(w->at[i].view, world_member_id(j));

	return m ? m->state : MEMBER_STATE_NR;
}

bool epoch_went_back(const struct world *w)
{
	return w->went_back;
}

uint64_t world_message_nr(const struct world *w)
{
	return w->messages;
}

uint64_t world_byte_nr(const struct world *w)
{
	return w->bytes;
}
