#include "t/flow-harness.h"

#include <glib.h>
#include <string.h>

#include "config/retain.h"
#include "t/flow-packets.h"
#include "t/flow-strategies.h"

struct scheduled_event {
	uint64_t at_ms;
	enum harness_event kind;
	int instance;
	uint64_t arg;
	size_t len;
	uint8_t data[];
};

#define START_WALL_MS 1000000000ULL /* time of day at the start */
#define FLOW_PORT 6080

struct harness_flow *harness_flow_at(struct flow_harness *h, uint32_t i)
{
	return &g_array_index(h->flows, struct harness_flow, i);
}

static int domain_of(const struct flow_harness *h, int i)
{
	return i % h->opt.domain_nr;
}

static uint8_t partition_side_of(const struct flow_harness *h, int i)
{
	return domain_of(h, i) < h->partition_domain;
}

static void name_domain(char name[CONFIG_NAME_MAX], int domain)
{
	g_snprintf(name, CONFIG_NAME_MAX, "d%d", domain);
}

static struct endpoint make_endpoint(uint8_t net, uint8_t b, uint8_t c,
				     uint16_t port)
{
	struct endpoint ep = { .family = 4, .port = port };
	const uint8_t ip[4] = { 10, net, b, c };

	memcpy(ep.ip, ip, sizeof(ip));
	return ep;
}

/* Queues an event with room for LEN bytes, DELAY_MS from now. */
static struct scheduled_event *
schedule_data(struct flow_harness *h, uint64_t delay_ms,
	      enum harness_event kind, int instance, uint64_t arg, size_t len)
{
	struct scheduled_event *it = g_malloc0(sizeof(*it) + len);

	it->at_ms = h->now_ms + delay_ms;
	it->kind = kind;
	it->instance = instance;
	it->arg = arg;
	it->len = len;
	push_event(h->event_queue, it->at_ms, it);
	return it;
}

static void schedule(struct flow_harness *h, uint64_t delay_ms,
		     enum harness_event kind, int instance, uint64_t arg)
{
	schedule_data(h, delay_ms, kind, instance, arg, 0);
}

static uint64_t random_delay(struct flow_harness *h)
{
	return (uint64_t)g_rand_int_range(
		h->rand, 0, (gint32)h->opt.update_delay_max_ms + 1);
}

void schedule_update(struct flow_harness *h, int instance,
		     enum harness_event kind, uint64_t arg, uint64_t floor_ms)
{
	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++) {
		if ((instance != ALL_INSTANCES && instance != i) ||
		    !h->instances[i].alive)
			continue;
		schedule(h, floor_ms + random_delay(h), kind, i, arg);
	}
}

static struct service *make_service(struct flow_harness *h, int s)
{
	char name[CONFIG_NAME_MAX];
	struct service *sv;

	g_snprintf(name, sizeof(name), "board-%d", s);
	sv = create_service(name);
	sv->kind = SERVICE_FLOWS;
	sv->address = make_endpoint(9, 0, (uint8_t)(s + 1), 443);
	sv->idle_ms = h->opt.idle_ms;
	if (h->opt.udp && s == h->opt.service_nr - 1)
		sv->protocol = FLOW_UDP;
	for (int i = 0; i < h->upstream_nr[s]; i++)
		if (h->upstreams[s][i].listed)
			add_upstream(sv, &h->upstreams[s][i].config);
	seal_service(sv);
	return sv;
}

void publish_harness_config(struct flow_harness *h)
{
	struct service *list[HARNESS_SERVICE_MAX];
	struct snapshot *sn;

	for (int s = 0; s < h->opt.service_nr; s++)
		list[s] = make_service(h, s);
	sn = create_snapshot(++h->epoch, "bed", list,
			     (size_t)h->opt.service_nr);
	for (int s = 0; s < h->opt.service_nr; s++)
		unref_service(list[s]);
	sn = retain_from_previous(h->snapshot, sn,
				  (START_WALL_MS + h->now_ms) / 1000);
	unref_snapshot(h->snapshot);
	h->snapshot = sn;
	schedule_update(h, ALL_INSTANCES, EV_SNAPSHOT, 0, 0);
}

void add_harness_upstream(struct flow_harness *h, uint32_t s,
			  enum upstream_state state)
{
	int i = h->upstream_nr[s]++;
	struct harness_upstream *up = &h->upstreams[s][i];
	char service[CONFIG_NAME_MAX];

	memset(up, 0, sizeof(*up));
	g_snprintf(up->config.name, CONFIG_NAME_MAX, "up-%d", i);
	name_domain(up->config.domain, domain_of(h, i));
	up->config.address = make_endpoint(1, (uint8_t)s, (uint8_t)i, 9000);
	up->config.connections = HARNESS_UNLIMITED;
	up->config.cold_connections = h->opt.cold_connections;
	g_snprintf(service, sizeof(service), "board-%u", s);
	up->config.id = upstream_id(service, up->config.name);
	up->listed = true;
	up->state = state;
	up->cold = state == UPSTREAM_COLD &&
		   h->opt.cold_connections < HARNESS_UNLIMITED;
}

/* Updates the state of instance I in the view of instance VIEWER. */
static void apply_member_update(struct flow_harness *h, int viewer, int i)
{
	struct member m = h->instances[i].member;
	bool partitioned =
		h->partition_domain &&
		partition_side_of(h, i) != partition_side_of(h, viewer);

	if (!h->instances[i].alive || partitioned)
		m.state = MEMBER_DEAD;
	else
		m.state =
			h->instances[i].leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	set_view_member(h->instances[viewer].view, &m);
}

static void apply_upstream_update(struct flow_harness *h, int viewer,
				  uint64_t arg)
{
	int i = (int)(arg % HARNESS_UPSTREAM_MAX);
	const struct harness_upstream *up =
		&h->upstreams[arg / HARNESS_UPSTREAM_MAX][i];
	bool partitioned =
		h->partition_domain &&
		partition_side_of(h, i) != partition_side_of(h, viewer);

	set_upstream_state(h->instances[viewer].view, up->config.id,
			   up->dead || partitioned ? UPSTREAM_DOWN : up->state);
}

static void apply_domain_update(struct flow_harness *h, int viewer, int domain)
{
	char name[CONFIG_NAME_MAX];

	name_domain(name, domain);
	set_domain_out(h->instances[viewer].view, name, h->domain_out[domain]);
}

static void apply_snapshot(struct flow_harness *h, int i)
{
	struct harness_instance *in = &h->instances[i];

	if (in->stale)
		return;
	if (in->model)
		set_strategy_snapshot(h, i);
	else
		set_flow_snapshot(in->flows, h->snapshot, h->now_ms);
}

static void stop_instance(struct harness_instance *in)
{
	if (!in->view)
		return;
	destroy_flows(in->flows);
	destroy_strategy_model(in->model);
	destroy_view(in->view);
	in->flows = NULL;
	in->model = NULL;
	in->view = NULL;
	in->alive = false;
}

void start_harness_instance(struct flow_harness *h, int i)
{
	struct harness_instance *in = &h->instances[i];

	for (int c = 0; c < COUNTER_NR; c++)
		h->past_counters.value[c] += in->counters.value[c];
	stop_instance(in);
	memset(in, 0, sizeof(*in));
	g_snprintf(in->member.name, CONFIG_NAME_MAX, "in-%d", i);
	in->member.id = service_id(in->member.name);
	name_domain(in->member.domain, domain_of(h, i));
	in->member.address = make_endpoint(0, 0, (uint8_t)(i + 1), 0);
	in->member.flow_port = FLOW_PORT;
	in->alive = true;
	in->view = create_view(in->member.id);
	set_view_member(in->view, &in->member);
	if (h->opt.strategy == STRATEGY_RECORD_NEW ||
	    h->opt.strategy == STRATEGY_RECORD_ALL) {
		in->flows = create_flows(in->view, &in->counters);
		set_flow_wall_clock(in->flows, START_WALL_MS, 0);
	} else
		in->model = create_strategy_model(in->view);
	schedule(h, 0, EV_TICK, i, 0);
}

void schedule_all_updates(struct flow_harness *h, int instance,
			  uint64_t floor_ms)
{
	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++)
		if (h->instances[i].view)
			schedule_update(h, instance, EV_MEMBER, (uint64_t)i,
					floor_ms);
	for (int s = 0; s < h->opt.service_nr; s++)
		for (int i = 0; i < h->upstream_nr[s]; i++)
			schedule_update(h, instance, EV_UPSTREAM,
					upstream_event_arg((uint32_t)s, i),
					floor_ms);
	for (int d = 0; d < h->opt.domain_nr; d++)
		schedule_update(h, instance, EV_DOMAIN, (uint64_t)d, floor_ms);
	schedule_update(h, instance, EV_SNAPSHOT, 0, floor_ms);
}

struct flow_harness *create_flow_harness(const struct harness_options *opt)
{
	struct flow_harness *h = g_new0(struct flow_harness, 1);

	h->opt = *opt;
	h->rand = g_rand_new_with_seed(opt->seed);
	h->event_queue = create_event_queue();
	h->flows = g_array_new(FALSE, TRUE, sizeof(struct harness_flow));
	h->cookies = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	for (uint32_t s = 0; s < (uint32_t)opt->service_nr; s++)
		for (int i = 0; i < opt->upstream_nr; i++)
			add_harness_upstream(h, s,
					     opt->strategy ==
							     STRATEGY_RECORD_ALL
						     ? UPSTREAM_COLD
						     : UPSTREAM_WARM);
	for (int i = 0; i < opt->instance_nr; i++)
		start_harness_instance(h, i);
	publish_harness_config(h);
	schedule_all_updates(h, ALL_INSTANCES, 0);
	return h;
}

void destroy_flow_harness(struct flow_harness *h)
{
	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++)
		stop_instance(&h->instances[i]);
	while (event_nr(h->event_queue))
		g_free(pop_event(h->event_queue));
	unref_snapshot(h->snapshot);
	destroy_event_queue(h->event_queue);
	g_array_free(h->flows, TRUE);
	g_hash_table_destroy(h->cookies);
	g_rand_free(h->rand);
	g_free(h);
}

static struct harness_upstream *upstream_by_id(struct flow_harness *h,
					       uint64_t id, uint32_t *service,
					       int *index)
{
	for (*service = 0; *service < (uint32_t)h->opt.service_nr; ++*service)
		for (*index = 0; *index < h->upstream_nr[*service]; ++*index)
			if (h->upstreams[*service][*index].config.id == id)
				return &h->upstreams[*service][*index];
	return NULL;
}

/* Whether F's upstream is dead, out or partitioned from F's caller. */
static bool is_upstream_lost(struct flow_harness *h,
			     const struct harness_flow *f)
{
	uint32_t s;
	int i;
	const struct harness_upstream *up =
		upstream_by_id(h, f->upstream, &s, &i);

	return !up || up->dead || up->out ||
	       (h->partition_domain &&
		partition_side_of(h, i) != f->partition_side);
}

static void open_at(struct flow_harness *h, struct harness_flow *f,
		    struct harness_upstream *up)
{
	f->opened = true;
	f->upstream = up->config.id;
	if (up->cold && h->now_ms >= up->cold_from_ms) {
		up->cold_flows++;
		up->cold_flows_max = MAX(up->cold_flows_max, up->cold_flows);
	}
	if (up->config.draining &&
	    h->now_ms - up->drain_since_ms > HARNESS_REACTION_MS)
		h->late_new_flows++;
}

/* Upstream ID receives a packet of flow I that instance FROM forwarded. */
static void receive_at_upstream(struct flow_harness *h, int from, uint32_t i,
				uint8_t flags, uint64_t id)
{
	struct harness_flow *f = harness_flow_at(h, i);
	uint32_t s;
	int index;
	struct harness_upstream *up = upstream_by_id(h, id, &s, &index);

	if (!up || s != f->service) {
		f->wrong_service = true;
		return;
	}
	if (up->out && h->now_ms - up->out_since_ms > HARNESS_REACTION_MS)
		h->late_out_packets++;
	if (up->dead ||
	    (h->partition_domain &&
	     partition_side_of(h, index) != partition_side_of(h, from)))
		return;
	if (!f->opened && (flags & TCP_SYN || !flags))
		open_at(h, f, up);
	else if (f->upstream != id && is_upstream_lost(h, f))
		f->lost_with_upstream = true;
	else if (f->upstream != id)
		f->broken = true;
}

static void receive_at_caller(struct flow_harness *h, const uint8_t *packet)
{
	uint32_t i = (uint32_t)packet[17] << 16 | (uint32_t)packet[18] << 8 |
		     packet[19];
	struct harness_flow *f = harness_flow_at(h, i);

	if (!f->opened)
		return;
	if (is_upstream_lost(h, f))
		f->lost_with_upstream = true;
	else
		f->broken = true;
}

static void send_message(struct flow_harness *h, int from,
			 const struct flow_action *a)
{
	int to = a->to.ip[3] - 1;
	struct scheduled_event *it;

	if (h->partition_domain &&
	    partition_side_of(h, from) != partition_side_of(h, to))
		return;
	it = schedule_data(h, HARNESS_HOP_MS, EV_MESSAGE, to, (uint64_t)from,
			   a->header_len + a->data_len);
	memcpy(it->data, a->header, a->header_len);
	if (a->data_len)
		memcpy(it->data + a->header_len, a->data, a->data_len);
}

/* Number of the flow whose caller sent the packet at DATA. */
static uint32_t flow_of(const uint8_t *data)
{
	return (uint32_t)data[13] << 16 | (uint32_t)data[14] << 8 | data[15];
}

static void perform_actions(struct flow_harness *h, int from)
{
	for (size_t i = 0; i < h->actions.nr; i++) {
		const struct flow_action *a = &h->actions.actions[i];

		switch (a->kind) {
		case FLOW_TO_UPSTREAM:
			receive_at_upstream(h, from, flow_of(a->data),
					    a->data[9] == FLOW_TCP ? a->data[33]
								   : 0,
					    a->upstream);
			break;
		case FLOW_TO_PEER:
			send_message(h, from, a);
			break;
		case FLOW_TO_CALLER:
			receive_at_caller(h, a->data);
			break;
		}
	}
}

static void tick(struct flow_harness *h, int i)
{
	if (h->instances[i].flows) {
		tick_flows(h->instances[i].flows, h->now_ms, &h->actions);
		perform_actions(h, i);
	}
	schedule(h, FLOW_TICK_MS, EV_TICK, i, 0);
}

static void handle_event(struct flow_harness *h,
			 const struct scheduled_event *ev)
{
	struct harness_instance *in = &h->instances[ev->instance];

	if (!in->alive)
		return;
	switch (ev->kind) {
	case EV_TICK:
		tick(h, ev->instance);
		break;
	case EV_MESSAGE:
		handle_flow_message(in->flows,
				    &h->instances[ev->arg].member.address,
				    ev->data, ev->len, h->now_ms, &h->actions);
		perform_actions(h, ev->instance);
		break;
	case EV_SNAPSHOT:
		apply_snapshot(h, ev->instance);
		break;
	case EV_MEMBER:
		apply_member_update(h, ev->instance, (int)ev->arg);
		break;
	case EV_UPSTREAM:
		apply_upstream_update(h, ev->instance, ev->arg);
		break;
	case EV_DOMAIN:
		apply_domain_update(h, ev->instance, (int)ev->arg);
		break;
	}
}

void run_flow_harness(struct flow_harness *h, uint64_t until)
{
	while (next_event_time(h->event_queue) <= until) {
		struct scheduled_event *ev = pop_event(h->event_queue);

		h->now_ms = ev->at_ms;
		handle_event(h, ev);
		g_free(ev);
	}
	h->now_ms = until;
}

uint32_t open_harness_flow(struct flow_harness *h, uint32_t service)
{
	struct harness_flow f = { .service = service };

	f.partition_side = (uint8_t)g_rand_int_range(h->rand, 0, 2);
	g_array_append_val(h->flows, f);
	send_harness_packet(h, h->flows->len - 1, TCP_SYN);
	return h->flows->len - 1;
}

/* A random live instance that F's caller can reach; -1 if there is none. */
static int pick_instance(struct flow_harness *h, const struct harness_flow *f)
{
	int nr = 0;
	int chosen = -1;

	for (int i = 0; i < HARNESS_INSTANCE_MAX; i++) {
		if (!h->instances[i].alive ||
		    (h->partition_domain &&
		     partition_side_of(h, i) != f->partition_side))
			continue;
		if (!g_rand_int_range(h->rand, 0, ++nr))
			chosen = i;
	}
	return chosen;
}

static struct test_packet make_flow_packet(struct flow_harness *h, uint32_t i,
					   uint8_t flags)
{
	const struct harness_flow *f = harness_flow_at(h, i);
	struct test_packet tp = { .flags = flags,
				  .seq = f->seq,
				  .protocol = FLOW_TCP,
				  .hop_limit = 64 };
	const uint8_t ip[4] = { 11, (uint8_t)(i >> 16), (uint8_t)(i >> 8),
				(uint8_t)i };

	tp.from.family = 4;
	tp.from.port = (uint16_t)(1024 + i * 7 % 60000);
	memcpy(tp.from.ip, ip, sizeof(ip));
	tp.to = make_endpoint(9, 0, (uint8_t)(f->service + 1), 443);
	if (h->opt.udp && (int)f->service == h->opt.service_nr - 1)
		tp.protocol = FLOW_UDP;
	return tp;
}

void send_harness_packet(struct flow_harness *h, uint32_t i, uint8_t flags)
{
	struct harness_flow *f = harness_flow_at(h, i);
	int at = pick_instance(h, f);
	uint8_t data[TEST_PACKET_MAX];
	struct test_packet tp;
	struct packet p;
	uint64_t id;
	size_t len;

	if (at < 0 || f->ended || f->broken)
		return;
	tp = make_flow_packet(h, i, f->opened ? flags : TCP_SYN);
	len = write_test_packet(&tp, data);
	h->packets++;
	if (h->instances[at].flows) {
		steer_packet(h->instances[at].flows, data, len, h->now_ms,
			     &h->actions);
		perform_actions(h, at);
		return;
	}
	read_packet(data, len, &p);
	id = steer_by_strategy(h, at, &p);
	if (id)
		receive_at_upstream(h, at, i, p.flags, id);
}
