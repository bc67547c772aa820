#include "t/fleet-simulation.h"

#include <glib.h>
#include <string.h>

#include "t/event-queue.h"

#define PEER_PORT 7401
#define SERVICE_NR 6   /* in a snapshot, unless set otherwise */
#define CHANGED_EACH 5 /* every fifth service changes in an epoch */
#define CHANGED_MAX 40 /* services that change in an epoch */

enum item_kind { ITEM_TICK, ITEM_MESSAGE, ITEM_END };

struct item {
	enum item_kind kind;
	size_t from;
	size_t to;
	uint32_t run; /* of TO; dropped if TO has another by now */
	size_t len;
	uint8_t data[];
};

struct instance {
	struct fleet *fleet;
	struct view *view;
	struct counters counters;
	uint32_t run; /* grows with each start and kill */
	uint64_t paused_until_ms;
	uint64_t epoch; /* last one put in force in this run */
	bool partitioned;
};

struct fleet_simulation {
	struct fleet_simulation_options options;
	GRand *rand;
	struct event_queue *queue;
	uint64_t now_ms;
	struct instance instances[SIMULATED_INSTANCES_MAX];
	bool partitioned[DOMAINS_MAX][DOMAINS_MAX];
	size_t service_nr;
	bool epoch_decreased;
	uint64_t messages;
	uint64_t bytes;
};

static const char *member_name(size_t i, char name[CONFIG_NAME_MAX])
{
	g_snprintf(name, CONFIG_NAME_MAX, "in-%zu", i);
	return name;
}

uint64_t simulated_member_id(size_t i)
{
	char name[CONFIG_NAME_MAX];

	return service_id(member_name(i, name));
}

const char *simulated_domain(size_t d)
{
	static char names[DOMAINS_MAX][CONFIG_NAME_MAX];

	g_snprintf(names[d], CONFIG_NAME_MAX, "domain-%zu", d);
	return names[d];
}

static size_t domain_index(const struct fleet_simulation *fs, size_t i)
{
	return i % fs->options.domain_nr;
}

static struct endpoint endpoint_of(size_t i)
{
	struct endpoint ep = { .family = 4, .port = PEER_PORT };

	ep.ip[0] = 10;
	ep.ip[2] = (uint8_t)(i >> 8);
	ep.ip[3] = (uint8_t)i;
	return ep;
}

static size_t instance_index(const struct endpoint *ep)
{
	return (size_t)ep->ip[2] << 8 | ep->ip[3];
}

struct fleet_simulation *
create_fleet_simulation(const struct fleet_simulation_options *options)
{
	struct fleet_simulation *fs = g_new0(struct fleet_simulation, 1);

	fs->options = *options;
	fs->rand = g_rand_new_with_seed(options->seed);
	fs->queue = create_event_queue();
	fs->now_ms = SIMULATION_START_MS;
	fs->service_nr = SERVICE_NR;
	return fs;
}

void destroy_fleet_simulation(struct fleet_simulation *fs)
{
	struct item *item;

	for (size_t i = 0; i < fs->options.nr; i++)
		kill_instance(fs, i);
	while ((item = pop_event(fs->queue)))
		g_free(item);
	destroy_event_queue(fs->queue);
	g_rand_free(fs->rand);
	g_free(fs);
}

static void schedule(struct fleet_simulation *fs, uint64_t at,
		     enum item_kind kind, size_t to)
{
	struct item *item = g_malloc0(sizeof(*item));

	item->kind = kind;
	item->to = to;
	item->run = fs->instances[to].run;
	push_event(fs->queue, at, item);
}

void start_instance(struct fleet_simulation *fs, size_t i)
{
	struct instance *in = &fs->instances[i];
	struct endpoint seeds[SIMULATED_INSTANCES_MAX];
	struct member self = { .id = simulated_member_id(i),
			       .address = endpoint_of(i),
			       .peer_port = PEER_PORT };

	kill_instance(fs, i);
	member_name(i, self.name);
	g_strlcpy(self.domain, simulated_domain(domain_index(fs, i)),
		  sizeof(self.domain));
	self.address.port = 0;
	for (size_t s = 0; s < fs->options.seed_nr; s++)
		seeds[s] = endpoint_of(s);
	in->run++;
	in->view = create_view(self.id);
	in->fleet = create_fleet(&self, in->view, seeds, fs->options.seed_nr,
				 g_rand_int(fs->rand), &in->counters);
	schedule(fs, fs->now_ms + (uint64_t)g_rand_int_range(fs->rand, 0, 200),
		 ITEM_TICK, i);
}

void kill_instance(struct fleet_simulation *fs, size_t i)
{
	struct instance *in = &fs->instances[i];

	destroy_fleet(in->fleet);
	destroy_view(in->view);
	in->fleet = NULL;
	in->view = NULL;
	in->epoch = 0;
	in->paused_until_ms = 0;
	in->run++;
}

bool is_running(const struct fleet_simulation *fs, size_t i)
{
	return fs->instances[i].fleet &&
	       fs->instances[i].paused_until_ms <= fs->now_ms;
}

void pause_instance(struct fleet_simulation *fs, size_t i, uint64_t ms)
{
	if (fs->instances[i].fleet)
		fs->instances[i].paused_until_ms = fs->now_ms + ms;
}

void partition_domains(struct fleet_simulation *fs, size_t a, size_t b,
		       bool blocked)
{
	fs->partitioned[a][b] = blocked;
	fs->partitioned[b][a] = blocked;
}

void partition_instance(struct fleet_simulation *fs, size_t i, bool blocked)
{
	fs->instances[i].partitioned = blocked;
}

void heal_partitions(struct fleet_simulation *fs)
{
	memset(fs->partitioned, 0, sizeof(fs->partitioned));
	for (size_t i = 0; i < fs->options.nr; i++)
		fs->instances[i].partitioned = false;
}

void set_message_loss(struct fleet_simulation *fs, unsigned int pct)
{
	fs->options.loss_pct = pct;
}

static bool happens_with_pct(struct fleet_simulation *fs, unsigned int pct)
{
	return g_rand_int_range(fs->rand, 0, 100) < (gint32)pct;
}

static bool is_lost(struct fleet_simulation *fs, size_t from, size_t to)
{
	if (to >= fs->options.nr || happens_with_pct(fs, fs->options.loss_pct))
		return true;
	return fs->partitioned[domain_index(fs, from)][domain_index(fs, to)] ||
	       fs->instances[from].partitioned || fs->instances[to].partitioned;
}

static void send_copy(struct fleet_simulation *fs, size_t from, size_t to,
		      const struct fleet_action *a)
{
	struct item *item = g_malloc0(sizeof(*item) + a->len);
	uint64_t delay = (uint64_t)g_rand_int_range(
		fs->rand, (gint32)fs->options.delay_min_ms,
		(gint32)fs->options.delay_max_ms + 1);

	item->kind = ITEM_MESSAGE;
	item->from = from;
	item->to = to;
	item->run = fs->instances[to].run;
	item->len = a->len;
	memcpy(item->data, a->data, a->len);
	push_event(fs->queue, fs->now_ms + delay, item);
}

static void send_message(struct fleet_simulation *fs, size_t from,
			 const struct fleet_action *a)
{
	size_t to = instance_index(&a->to);

	fs->messages++;
	fs->bytes += a->len;
	if (is_lost(fs, from, to))
		return;
	send_copy(fs, from, to, a);
	if (happens_with_pct(fs, fs->options.duplicate_pct))
		send_copy(fs, from, to, a);
}

static void record_epoch_in_force(struct fleet_simulation *fs, size_t i,
				  uint64_t epoch)
{
	if (epoch <= fs->instances[i].epoch)
		fs->epoch_decreased = true;
	fs->instances[i].epoch = epoch;
}

void apply_fleet_event(struct fleet_simulation *fs, size_t i,
		       const struct fleet_event *ev)
{
	struct fleet_actions as = { 0 };

	if (!is_running(fs, i))
		return;
	step_fleet(fs->instances[i].fleet, ev, fs->now_ms, &as);
	for (size_t a = 0; a < as.nr; a++) {
		if (as.items[a].kind == FLEET_SEND)
			send_message(fs, i, &as.items[a]);
		else if (as.items[a].kind == FLEET_APPLY)
			record_epoch_in_force(
				fs, i, snapshot_epoch(as.items[a].snapshot));
	}
	release_fleet_actions(&as);
}

void leave_instance(struct fleet_simulation *fs, size_t i, uint64_t ms)
{
	struct fleet_event ev = { .kind = FLEET_LEAVE };

	if (!is_running(fs, i))
		return;
	apply_fleet_event(fs, i, &ev);
	schedule(fs, fs->now_ms + ms, ITEM_END, i);
}

static void end_instance(struct fleet_simulation *fs, size_t i)
{
	struct fleet_event ev = { .kind = FLEET_GONE };

	apply_fleet_event(fs, i, &ev);
	kill_instance(fs, i);
}

static void deliver_item(struct fleet_simulation *fs, const struct item *item)
{
	struct fleet_event ev = { .kind = FLEET_TICK };

	switch (item->kind) {
	case ITEM_TICK:
		apply_fleet_event(fs, item->to, &ev);
		schedule(fs, fs->now_ms + FLEET_TICK_MS, ITEM_TICK, item->to);
		break;
	case ITEM_MESSAGE:
		ev.kind = FLEET_MESSAGE;
		ev.message.data = item->data;
		ev.message.len = item->len;
		apply_fleet_event(fs, item->to, &ev);
		break;
	case ITEM_END:
		end_instance(fs, item->to);
		break;
	}
}

static void handle_item(struct fleet_simulation *fs, struct item *item)
{
	const struct instance *in = &fs->instances[item->to];

	if (!in->fleet || item->run != in->run) {
		g_free(item);
	} else if (in->paused_until_ms > fs->now_ms) {
		push_event(fs->queue, in->paused_until_ms, item);
	} else {
		deliver_item(fs, item);
		g_free(item);
	}
}

void run_fleets(struct fleet_simulation *fs, uint64_t ms)
{
	uint64_t end = fs->now_ms + ms;

	while (next_event_time(fs->queue) <= end) {
		fs->now_ms = next_event_time(fs->queue);
		handle_item(fs, pop_event(fs->queue));
	}
	fs->now_ms = end;
}

uint64_t simulation_now_ms(const struct fleet_simulation *fs)
{
	return fs->now_ms;
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
		g_strlcpy(up.domain, simulated_domain(0), sizeof(up.domain));
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

void set_service_count(struct fleet_simulation *fs, size_t nr)
{
	fs->service_nr = nr;
}

void read_epoch_from_store(struct fleet_simulation *fs, size_t i,
			   uint64_t epoch)
{
	struct snapshot *sn = make_snapshot(epoch, fs->service_nr);
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = sn };

	apply_fleet_event(fs, i, &ev);
	unref_snapshot(sn);
}

void read_domain_from_store(struct fleet_simulation *fs, size_t i,
			    const char *domain, uint64_t epoch, bool out)
{
	struct domain_record rec = { .epoch = epoch, .out = out };
	struct fleet_event ev = { .kind = FLEET_DOMAIN, .domain = &rec };

	g_strlcpy(rec.name, domain, sizeof(rec.name));
	apply_fleet_event(fs, i, &ev);
}

const struct fleet *simulated_fleet(const struct fleet_simulation *fs, size_t i)
{
	return fs->instances[i].fleet;
}

struct view *simulated_view(const struct fleet_simulation *fs, size_t i)
{
	return fs->instances[i].view;
}

const struct counters *simulated_counters(const struct fleet_simulation *fs,
					  size_t i)
{
	return &fs->instances[i].counters;
}

uint64_t epoch_in_force(const struct fleet_simulation *fs, size_t i)
{
	const struct snapshot *sn =
		fs->instances[i].fleet ? fleet_snapshot(fs->instances[i].fleet)
				       : NULL;

	return sn ? snapshot_epoch(sn) : 0;
}

enum member_state seen_member_state(const struct fleet_simulation *fs, size_t i,
				    size_t j)
{
	const struct member *m =
		find_member(fs->instances[i].view, simulated_member_id(j));

	return m ? m->state : MEMBER_STATE_NR;
}

bool has_epoch_decreased(const struct fleet_simulation *fs)
{
	return fs->epoch_decreased;
}

uint64_t sent_message_count(const struct fleet_simulation *fs)
{
	return fs->messages;
}

uint64_t sent_byte_count(const struct fleet_simulation *fs)
{
	return fs->bytes;
}
