#include "t/flow-bed.h"

#include <glib.h>
#include <string.h>

#include "config/carry.h"
#include "t/flow-packets.h"
#include "t/flow-ways.h"

struct bed_item {
	uint64_t at; /* ms */
	enum bed_event kind;
	int who;
	uint64_t arg;
	size_t len;
	uint8_t data[];
};

#define WALL_0_MS 1000000000ULL /* time of day when the bed starts */
#define FLOW_PORT 6080
struct bed_flow *flow_at(struct bed *b, uint32_t i)
{
	return &g_array_index(b->flows, struct bed_flow, i);
}

static int domain_of(const struct bed *b, int i)
{
	return i % b->opt.domain_nr;
}

static uint8_t side_of(const struct bed *b, int i)
{
	return domain_of(b, i) < b->cut_domain;
}

static void name_domain(char name[CONFIG_NAME_MAX], int domain)
{
	g_snprintf(name, CONFIG_NAME_MAX, "d%d", domain);
}

static struct endpoint make_endpoint(uint8_t net, uint8_t a, uint8_t b,
				     uint16_t port)
{
	struct endpoint ep = { .family = 4, .port = port };
	const uint8_t ip[4] = { 10, net, a, b };

	memcpy(ep.ip, ip, sizeof(ip));
	return ep;
}

/* Queues an event with room for LEN bytes, DELAY_MS from now. */
static struct bed_item *schedule_data(struct bed *b, uint64_t delay_ms,
				      enum bed_event kind, int who,
				      uint64_t arg, size_t len)
{
	struct bed_item *it = g_malloc0(sizeof(*it) + len);

	it->at = b->now + delay_ms;
	it->kind = kind;
	it->who = who;
	it->arg = arg;
	it->len = len;
	push_event(b->queue, it->at, it);
	return it;
}

static void schedule(struct bed *b, uint64_t delay_ms, enum bed_event kind,
		     int who, uint64_t arg)
{
	schedule_data(b, delay_ms, kind, who, arg, 0);
}

static uint64_t random_delay(struct bed *b)
{
	return (uint64_t)g_rand_int_range(b->rand, 0,
					  (gint32)b->opt.news_ms + 1);
}

void tell_flow_bed(struct bed *b, int who, enum bed_event kind, uint64_t arg,
		   uint64_t floor_ms)
{
	for (int i = 0; i < BED_INSTANCE_MAX; i++) {
		if ((who != ALL_INSTANCES && who != i) || !b->at[i].alive)
			continue;
		schedule(b, floor_ms + random_delay(b), kind, i, arg);
	}
}

static struct service *make_service(struct bed *b, int s)
{
	char name[CONFIG_NAME_MAX];
	struct service *sv;

	g_snprintf(name, sizeof(name), "board-%d", s);
	sv = create_service(name);
	sv->kind = SERVICE_FLOWS;
	sv->address = make_endpoint(9, 0, (uint8_t)(s + 1), 443);
	sv->idle_ms = b->opt.idle_ms;
	if (b->opt.udp && s == b->opt.service_nr - 1)
		sv->protocol = FLOW_UDP;
	for (int i = 0; i < b->upstream_nr[s]; i++)
		if (b->ups[s][i].listed)
			add_upstream(sv, &b->ups[s][i].config);
	seal_service(sv);
	return sv;
}

void publish_flow_bed(struct bed *b)
{
	struct service *list[BED_SERVICE_MAX];
	struct snapshot *sn;

	for (int s = 0; s < b->opt.service_nr; s++)
		list[s] = make_service(b, s);
	sn = create_snapshot(++b->epoch, "bed", list,
			     (size_t)b->opt.service_nr);
	for (int s = 0; s < b->opt.service_nr; s++)
		unref_service(list[s]);
	sn = carry_snapshot(b->snapshot, sn, (WALL_0_MS + b->now) / 1000);
	unref_snapshot(b->snapshot);
	b->snapshot = sn;
	tell_flow_bed(b, ALL_INSTANCES, EV_SNAPSHOT, 0, 0);
}

void add_bed_upstream(struct bed *b, uint32_t s, enum upstream_state state)
{
	int i = b->upstream_nr[s]++;
	struct bed_upstream *up = &b->ups[s][i];
	char service[CONFIG_NAME_MAX];

	memset(up, 0, sizeof(*up));
	g_snprintf(up->config.name, CONFIG_NAME_MAX, "up-%d", i);
	name_domain(up->config.domain, domain_of(b, i));
	up->config.address = make_endpoint(1, (uint8_t)s, (uint8_t)i, 9000);
	up->config.connections = BED_UNLIMITED;
	up->config.cold_connections = b->opt.cold_connections;
	g_snprintf(service, sizeof(service), "board-%u", s);
	up->config.id = upstream_id(service, up->config.name);
	up->listed = true;
	up->state = state;
	up->cold = state == UPSTREAM_COLD &&
		   b->opt.cold_connections < BED_UNLIMITED;
}

/* What instance VIEWER believes of instance I when news reaches it. */
static void hear_member(struct bed *b, int viewer, int i)
{
	struct member m = b->at[i].member;
	bool cut = b->cut_domain && side_of(b, i) != side_of(b, viewer);

	if (!b->at[i].alive || cut)
		m.state = MEMBER_DEAD;
	else
		m.state = b->at[i].leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	put_member(b->at[viewer].view, &m);
}

static void hear_upstream(struct bed *b, int viewer, uint64_t arg)
{
	int i = (int)(arg % BED_UPSTREAM_MAX);
	const struct bed_upstream *up = &b->ups[arg / BED_UPSTREAM_MAX][i];
	bool cut = b->cut_domain && side_of(b, i) != side_of(b, viewer);

	set_upstream_state(b->at[viewer].view, up->config.id,
			   up->dead || cut ? UPSTREAM_DOWN : up->state);
}

static void hear_domain(struct bed *b, int viewer, int domain)
{
	char name[CONFIG_NAME_MAX];

	name_domain(name, domain);
	set_domain_out(b->at[viewer].view, name, b->domain_out[domain]);
}

static void hear_snapshot(struct bed *b, int i)
{
	struct bed_instance *in = &b->at[i];

	if (in->stale)
		return;
	if (in->model)
		set_model_snapshot(b, i);
	else
		set_flow_snapshot(in->flows, b->snapshot, b->now);
}

static void stop_instance(struct bed_instance *in)
{
	if (!in->view)
		return;
	destroy_flows(in->flows);
	destroy_model(in->model);
	destroy_view(in->view);
	in->flows = NULL;
	in->model = NULL;
	in->view = NULL;
	in->alive = false;
}

void start_bed_instance(struct bed *b, int i)
{
	struct bed_instance *in = &b->at[i];

	for (int c = 0; c < COUNTER_NR; c++)
		b->past.value[c] += in->counters.value[c];
	stop_instance(in);
	memset(in, 0, sizeof(*in));
	g_snprintf(in->member.name, CONFIG_NAME_MAX, "in-%d", i);
	in->member.id = service_id(in->member.name);
	name_domain(in->member.domain, domain_of(b, i));
	in->member.address = make_endpoint(0, 0, (uint8_t)(i + 1), 0);
	in->member.flow_port = FLOW_PORT;
	in->alive = true;
	in->view = create_view(in->member.id);
	put_member(in->view, &in->member);
	if (b->opt.way == WAY_REMEMBER_NEW || b->opt.way == WAY_REMEMBER_ALL) {
		in->flows = create_flows(in->view, &in->counters);
		set_flow_wall_clock(in->flows, WALL_0_MS, 0);
	} else
		in->model = create_model(in->view);
	schedule(b, 0, EV_TICK, i, 0);
}

void tell_flow_bed_all(struct bed *b, int who, uint64_t floor_ms)
{
	for (int i = 0; i < BED_INSTANCE_MAX; i++)
		if (b->at[i].view)
			tell_flow_bed(b, who, EV_MEMBER, (uint64_t)i, floor_ms);
	for (int s = 0; s < b->opt.service_nr; s++)
		for (int i = 0; i < b->upstream_nr[s]; i++)
			tell_flow_bed(b, who, EV_UPSTREAM,
				      upstream_arg((uint32_t)s, i), floor_ms);
	for (int d = 0; d < b->opt.domain_nr; d++)
		tell_flow_bed(b, who, EV_DOMAIN, (uint64_t)d, floor_ms);
	tell_flow_bed(b, who, EV_SNAPSHOT, 0, floor_ms);
}

struct bed *create_flow_bed(const struct bed_options *opt)
{
	struct bed *b = g_new0(struct bed, 1);

	b->opt = *opt;
	b->rand = g_rand_new_with_seed(opt->seed);
	b->queue = create_event_queue();
	b->flows = g_array_new(FALSE, TRUE, sizeof(struct bed_flow));
	b->cookies = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	for (uint32_t s = 0; s < (uint32_t)opt->service_nr; s++)
		for (int i = 0; i < opt->upstream_nr; i++)
			add_bed_upstream(b, s,
					 opt->way == WAY_REMEMBER_ALL
						 ? UPSTREAM_COLD
						 : UPSTREAM_WARM);
	for (int i = 0; i < opt->instance_nr; i++)
		start_bed_instance(b, i);
	publish_flow_bed(b);
	tell_flow_bed_all(b, ALL_INSTANCES, 0);
	return b;
}

void destroy_flow_bed(struct bed *b)
{
	for (int i = 0; i < BED_INSTANCE_MAX; i++)
		stop_instance(&b->at[i]);
	while (event_nr(b->queue))
		g_free(pop_event(b->queue));
	unref_snapshot(b->snapshot);
	destroy_event_queue(b->queue);
	g_array_free(b->flows, TRUE);
	g_hash_table_destroy(b->cookies);
	g_rand_free(b->rand);
	g_free(b);
}

static struct bed_upstream *upstream_by_id(struct bed *b, uint64_t id,
					   uint32_t *service, int *index)
{
	for (*service = 0; *service < (uint32_t)b->opt.service_nr; ++*service)
		for (*index = 0; *index < b->upstream_nr[*service]; ++*index)
			if (b->ups[*service][*index].config.id == id)
				return &b->ups[*service][*index];
	return NULL;
}

/* Whether flow F's upstream is gone for good, or cut off from its caller. */
static bool is_upstream_lost(struct bed *b, const struct bed_flow *f)
{
	uint32_t s;
	int i;
	const struct bed_upstream *up = upstream_by_id(b, f->upstream, &s, &i);

	return !up || up->dead || up->out ||
	       (b->cut_domain && side_of(b, i) != f->side);
}

static void open_at(struct bed *b, struct bed_flow *f, struct bed_upstream *up)
{
	f->opened = true;
	f->upstream = up->config.id;
	if (up->cold && b->now >= up->cold_from) {
		up->open_nr++;
		up->cold_peak = MAX(up->cold_peak, up->open_nr);
	}
	if (up->config.draining && b->now - up->drain_since > BED_BOUND_MS)
		b->late_new++;
}

/* The packet of flow I that instance FROM sent to upstream ID arrives. */
static void reach_upstream(struct bed *b, int from, uint32_t i, uint8_t flags,
			   uint64_t id)
{
	struct bed_flow *f = flow_at(b, i);
	uint32_t s;
	int index;
	struct bed_upstream *up = upstream_by_id(b, id, &s, &index);

	if (!up || s != f->service) {
		f->wrong = true;
		return;
	}
	if (up->out && b->now - up->out_since > BED_BOUND_MS)
		b->late_out++;
	if (up->dead ||
	    (b->cut_domain && side_of(b, index) != side_of(b, from)))
		return;
	if (!f->opened && (flags & TCP_SYN || !flags))
		open_at(b, f, up);
	else if (f->upstream != id && is_upstream_lost(b, f))
		f->given_up = true;
	else if (f->upstream != id)
		f->broken = true;
}

static void reach_caller(struct bed *b, const uint8_t *packet)
{
	uint32_t i = (uint32_t)packet[17] << 16 | (uint32_t)packet[18] << 8 |
		     packet[19];
	struct bed_flow *f = flow_at(b, i);

	if (!f->opened)
		return;
	if (is_upstream_lost(b, f))
		f->given_up = true;
	else
		f->broken = true;
}

static void send_message(struct bed *b, int from, const struct flow_action *a)
{
	int to = a->to.ip[3] - 1;
	struct bed_item *it;

	if (b->cut_domain && side_of(b, from) != side_of(b, to))
		return;
	it = schedule_data(b, BED_HOP_MS, EV_MESSAGE, to, (uint64_t)from,
			   a->header_len + a->len);
	memcpy(it->data, a->header, a->header_len);
	if (a->len)
		memcpy(it->data + a->header_len, a->data, a->len);
}

/* Number of the flow whose caller sent the packet at DATA. */
static uint32_t flow_of(const uint8_t *data)
{
	return (uint32_t)data[13] << 16 | (uint32_t)data[14] << 8 | data[15];
}

static void carry_out(struct bed *b, int from)
{
	for (size_t i = 0; i < b->actions.nr; i++) {
		const struct flow_action *a = &b->actions.at[i];

		switch (a->kind) {
		case FLOW_TO_UPSTREAM:
			reach_upstream(b, from, flow_of(a->data),
				       a->data[9] == FLOW_TCP ? a->data[33] : 0,
				       a->upstream);
			break;
		case FLOW_TO_PEER:
			send_message(b, from, a);
			break;
		case FLOW_TO_CALLER:
			reach_caller(b, a->data);
			break;
		}
	}
}

static void tick(struct bed *b, int i)
{
	if (b->at[i].flows) {
		tick_flows(b->at[i].flows, b->now, &b->actions);
		carry_out(b, i);
	}
	schedule(b, FLOW_TICK_MS, EV_TICK, i, 0);
}

static void take_event(struct bed *b, const struct bed_item *ev)
{
	struct bed_instance *in = &b->at[ev->who];

	if (!in->alive)
		return;
	switch (ev->kind) {
	case EV_TICK:
		tick(b, ev->who);
		break;
	case EV_MESSAGE:
		take_flow_message(in->flows, &b->at[ev->arg].member.address,
				  ev->data, ev->len, b->now, &b->actions);
		carry_out(b, ev->who);
		break;
	case EV_SNAPSHOT:
		hear_snapshot(b, ev->who);
		break;
	case EV_MEMBER:
		hear_member(b, ev->who, (int)ev->arg);
		break;
	case EV_UPSTREAM:
		hear_upstream(b, ev->who, ev->arg);
		break;
	case EV_DOMAIN:
		hear_domain(b, ev->who, (int)ev->arg);
		break;
	}
}

void run_flow_bed(struct bed *b, uint64_t until)
{
	while (next_event_ms(b->queue) <= until) {
		struct bed_item *ev = pop_event(b->queue);

		b->now = ev->at;
		take_event(b, ev);
		g_free(ev);
	}
	b->now = until;
}

uint32_t open_bed_flow(struct bed *b, uint32_t service)
{
	struct bed_flow f = { .service = service };

	f.side = (uint8_t)g_rand_int_range(b->rand, 0, 2);
	g_array_append_val(b->flows, f);
	send_bed_packet(b, b->flows->len - 1, TCP_SYN);
	return b->flows->len - 1;
}

/* A live instance that flow F's caller reaches; -1 if there is none. */
static int pick_instance(struct bed *b, const struct bed_flow *f)
{
	int nr = 0;
	int chosen = -1;

	for (int i = 0; i < BED_INSTANCE_MAX; i++) {
		if (!b->at[i].alive ||
		    (b->cut_domain && side_of(b, i) != f->side))
			continue;
		if (!g_rand_int_range(b->rand, 0, ++nr))
			chosen = i;
	}
	return chosen;
}

static struct test_packet packet_of(struct bed *b, uint32_t i, uint8_t flags)
{
	const struct bed_flow *f = flow_at(b, i);
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
	if (b->opt.udp && (int)f->service == b->opt.service_nr - 1)
		tp.protocol = FLOW_UDP;
	return tp;
}

void send_bed_packet(struct bed *b, uint32_t i, uint8_t flags)
{
	struct bed_flow *f = flow_at(b, i);
	int at = pick_instance(b, f);
	uint8_t data[TEST_PACKET_MAX];
	struct test_packet tp;
	struct packet p;
	uint64_t id;
	size_t len;

	if (at < 0 || f->ended || f->broken)
		return;
	tp = packet_of(b, i, f->opened ? flags : TCP_SYN);
	len = write_test_packet(&tp, data);
	b->packets++;
	if (b->at[at].flows) {
		steer_packet(b->at[at].flows, data, len, b->now, &b->actions);
		carry_out(b, at);
		return;
	}
	read_packet(data, len, &p);
	id = steer_model(b, at, &p);
	if (id)
		reach_upstream(b, at, i, p.flags, id);
}
