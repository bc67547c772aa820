#include "t/notice-simulation.h"

#include <string.h>

#include "fleet/heartbeat.h"
#include "t/cookie-harness.h"

#define UPSTREAMS 4
#define STEP_MS 10	/* as of the edge's fast tick */
#define WARM_UP_MS 1500 /* until all have heard each other */
#define HANDSHAKE_MS 2
#define HANDSHAKE_LIMIT_MS COOKIE_HANDSHAKE_LIMIT_MIN_MS
#define ANSWER_MS 55
#define CONNECT_MS 350	 /* of a check, as in net/edge-check.c */
#define LIFE_EVERY_MS 40 /* signs of life of other upstreams */
#define MESSAGE_DELAY_MS 1
#define IN_SIGHT_MS 150 /* less than any check takes that finds nothing */

/* When a caller sends its SYN and the copies of it. */
static const uint32_t syn_at_ms[] = { 0, 200, 600 };

enum sim_event_kind {
	SIM_ROWS,     /* a heartbeat's rows arrive */
	SIM_NOTICE,   /* a health notice arrives */
	SIM_SYN,      /* a caller sends a SYN, or a copy of it */
	SIM_ALIVE,    /* the upstream's reply is seen */
	SIM_OVERDUE,  /* no reply was seen in time */
	SIM_FLOW_END, /* a flow ends */
	SIM_CHECK_END
};

struct sim_event {
	enum sim_event_kind kind;
	uint64_t at_ms;
	unsigned int instance;
	upstream_index_t upstream;
	uint64_t sent_ms; /* of a SYN; start of a check */
	unsigned int copy;
	enum check_result result;
	uint64_t sender;
	GArray *rows; /* one reference */
	struct health_notice notice;
};

struct sim_instance {
	struct cookie_instance in;
	struct health_notices *notices;
	uint64_t id;
	unsigned int domain;
	uint64_t next_heartbeat_ms;
	uint64_t rounds;
	uint64_t paused_until_ms;
	uint64_t last_tick_ms;
	uint64_t last_life_ms; /* of upstream 0 as seen or heard here */
	bool judged;	       /* took upstream 0 for dead or unreachable */
};

struct notice_sim {
	const struct notice_sim_options *opt;
	struct notice_sim_result *res;
	GRand *rand;
	uint64_t now_ms;
	uint64_t fault_ms;
	struct sim_instance *instances;
	GSequence *events;
	upstream_index_t victim;
	upstream_index_t handles[UPSTREAMS];
	unsigned int callers[NOTICE_SIM_CALLERS];
	uint32_t pending_callers;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct sim_event *x = a;
	const struct sim_event *y = b;

	(void)data;
	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static void free_event(gpointer data)
{
	struct sim_event *ev = data;

	if (ev->rows)
		g_array_unref(ev->rows);
	g_free(ev);
}

static void add_event(struct notice_sim *s, struct sim_event ev)
{
	struct sim_event *copy = g_new(struct sim_event, 1);

	*copy = ev;
	g_sequence_insert_sorted(s->events, copy, compare_events, NULL);
}

static bool is_lost(struct notice_sim *s)
{
	return s->opt->loss > 0 && g_rand_double(s->rand) < s->opt->loss;
}

static bool is_cut(const struct notice_sim *s, unsigned int a, unsigned int b)
{
	unsigned int cut = (unsigned int)s->opt->cut_domain;

	return cut && s->now_ms >= s->fault_ms && a != b &&
	       (a == cut || b == cut) && (!a || !b);
}

/* Whether packets between instance I and upstream 0 arrive and are answered. */
static bool is_answering(const struct notice_sim *s, unsigned int i)
{
	if (s->opt->fault != NOTICE_SIM_NONE && s->now_ms >= s->fault_ms)
		return false;
	return !is_cut(s, s->instances[i].domain, 0);
}

static uint64_t message_delay_ms(struct notice_sim *s)
{
	return MESSAGE_DELAY_MS +
	       (s->opt->delay_ms ? (uint64_t)g_rand_int_range(
					   s->rand, 0, (gint32)s->opt->delay_ms)
				 : 0);
}

static unsigned int random_instance(struct notice_sim *s)
{
	return (unsigned int)g_rand_int_range(s->rand, 0,
					      (gint32)s->opt->instance_nr);
}

static void create_instances(struct notice_sim *s)
{
	unsigned int nr = s->opt->instance_nr;
	char domain[16];
	char name[16];

	s->instances = g_new0(struct sim_instance, nr);
	for (unsigned int i = 0; i < nr; i++) {
		struct sim_instance *si = &s->instances[i];

		si->domain = i % NOTICE_SIM_DOMAINS;
		g_snprintf(domain, sizeof(domain), "d%u", si->domain);
		g_snprintf(name, sizeof(name), "i%u", i);
		init_cookie_instance(&si->in, name, domain);
		si->notices = create_health_notices(si->in.view);
		if (!s->opt->no_notices)
			set_placer_notices(si->in.placer, si->notices);
		si->id = service_id(name);
		si->next_heartbeat_ms =
			1 + (uint64_t)g_rand_int_range(s->rand, 0, 800);
		for (unsigned int k = 0; k < nr; k++) {
			g_snprintf(domain, sizeof(domain), "d%u",
				   k % NOTICE_SIM_DOMAINS);
			g_snprintf(name, sizeof(name), "i%u", k);
			set_test_member(&si->in, name, domain, MEMBER_ALIVE);
		}
		for (unsigned int u = 0; u < UPSTREAMS; u++) {
			struct upstream_report r;

			g_snprintf(domain, sizeof(domain), "d%u",
				   u % NOTICE_SIM_DOMAINS);
			g_snprintf(name, sizeof(name), "u%u", u);
			r = make_upstream_report(name, domain);
			s->handles[u] = put_test_upstream(&si->in, &r, 0);
		}
	}
	s->victim = s->handles[0];
}

static uint64_t heartbeat_ms(const struct notice_sim *s)
{
	unsigned int members = s->opt->instance_nr / NOTICE_SIM_DOMAINS;

	if (members <= HEARTBEAT_SMALL_DOMAIN_MEMBERS)
		return HEARTBEAT_INTERVAL_MS;
	return HEARTBEAT_INTERVAL_MS +
	       HEARTBEAT_PER_MEMBER_MS *
		       (members - HEARTBEAT_SMALL_DOMAIN_MEMBERS);
}

static void send_rows(struct notice_sim *s, unsigned int from)
{
	struct sim_instance *si = &s->instances[from];
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));

	si->rounds++;
	list_own_loads(si->in.placer, s->now_ms, rows);
	for (unsigned int i = 0; i < s->opt->instance_nr; i++) {
		const struct sim_instance *to = &s->instances[i];
		bool remote = to->domain != si->domain;

		if (i == from || is_lost(s) ||
		    is_cut(s, to->domain, si->domain))
			continue;
		if (remote &&
		    s->opt->instance_nr > HEARTBEAT_REMOTE_FLEET_MEMBERS &&
		    (si->rounds + to->id) % HEARTBEAT_REMOTE_FACTOR)
			continue;
		add_event(s, (struct sim_event){ .kind = SIM_ROWS,
						 .at_ms = s->now_ms +
							  message_delay_ms(s),
						 .instance = i,
						 .sender = si->id,
						 .rows = g_array_ref(rows) });
	}
	g_array_unref(rows);
}

static struct sim_instance *find_instance(struct notice_sim *s, uint64_t id)
{
	for (unsigned int i = 0; i < s->opt->instance_nr; i++)
		if (s->instances[i].id == id)
			return &s->instances[i];
	return NULL;
}

static void send_notices(struct notice_sim *s, struct sim_instance *si)
{
	GArray *notices =
		g_array_new(FALSE, FALSE, sizeof(struct outgoing_notice));
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct member *));

	pop_health_notices(si->notices, notices);
	for (guint k = 0; k < notices->len; k++) {
		const struct outgoing_notice *on =
			&g_array_index(notices, struct outgoing_notice, k);

		g_array_set_size(to, 0);
		list_notice_receivers(si->notices, on, to);
		for (guint m = 0; m < to->len; m++) {
			struct sim_instance *peer = find_instance(
				s, g_array_index(to, struct member *, m)->id);

			s->res->notices++;
			s->res->remote_notices += peer->domain != si->domain;
			if (is_lost(s) || is_cut(s, peer->domain, si->domain))
				continue;
			add_event(s,
				  (struct sim_event){
					  .kind = SIM_NOTICE,
					  .at_ms = s->now_ms +
						   message_delay_ms(s),
					  .instance =
						  (unsigned int)(peer -
								 s->instances),
					  .notice = on->notice });
		}
	}
	g_array_free(notices, TRUE);
	g_array_free(to, TRUE);
}

/* A caller sends a SYN of upstream 0 through instance I. */
static void send_syn(struct notice_sim *s, unsigned int i, uint64_t first_ms,
		     unsigned int copy)
{
	bool answered = is_answering(s, i) && !is_lost(s);
	uint32_t reply_ms = HANDSHAKE_MS + s->opt->reply_ms;
	struct sim_event ev = { .kind = SIM_OVERDUE,
				.at_ms = s->now_ms + HANDSHAKE_LIMIT_MS,
				.instance = i,
				.upstream = s->victim,
				.sent_ms = s->now_ms };

	if (!answered || reply_ms > HANDSHAKE_LIMIT_MS)
		add_event(s, ev);
	if (answered) {
		ev.kind = SIM_ALIVE;
		ev.at_ms = s->now_ms + reply_ms;
		add_event(s, ev);
		ev.at_ms += ANSWER_MS;
		add_event(s, ev);
	}
	if (!copy) {
		note_flow_open(s->instances[i].in.placer, s->victim);
		ev.kind = SIM_FLOW_END;
		ev.at_ms = s->now_ms +
			   (answered ? ANSWER_MS : COOKIE_OPENING_TIMEOUT_MS);
		add_event(s, ev);
	}
	if (answered || copy + 1 == G_N_ELEMENTS(syn_at_ms))
		return;
	ev.kind = SIM_SYN;
	ev.copy = copy + 1;
	ev.sent_ms = first_ms;
	ev.at_ms = first_ms + syn_at_ms[copy + 1];
	add_event(s, ev);
}

static void start_check(struct notice_sim *s, unsigned int i,
			upstream_index_t nr)
{
	struct sim_event ev = { .kind = SIM_CHECK_END,
				.at_ms = s->now_ms + HANDSHAKE_MS,
				.instance = i,
				.upstream = nr,
				.result = CHECK_GOOD };

	if (nr == s->victim && s->now_ms >= s->fault_ms)
		s->res->checks++;
	if (nr == s->victim && !is_answering(s, i)) {
		ev.result =
			s->opt->fault == NOTICE_SIM_REFUSED ||
					(s->opt->cut_by_resets &&
					 is_cut(s, s->instances[i].domain, 0))
				? CHECK_REFUSED
				: CHECK_UNREACHABLE;
	} else if (is_lost(s)) {
		ev.result = CHECK_UNREACHABLE;
	} else if (nr == s->victim) {
		ev.at_ms += s->opt->reply_ms;
	}
	if (ev.result == CHECK_UNREACHABLE)
		ev.at_ms = s->now_ms + CONNECT_MS;
	add_event(s, ev);
}

static void see_life(struct notice_sim *s, unsigned int i, uint64_t at_ms)
{
	struct sim_instance *si = &s->instances[i];

	si->last_life_ms = MAX(si->last_life_ms, at_ms);
}

static void handle_rows(struct notice_sim *s, const struct sim_event *ev)
{
	struct sim_instance *si = &s->instances[ev->instance];
	const struct upstream_load_row *rows =
		(const struct upstream_load_row *)(void *)ev->rows->data;
	uint32_t cookie = get_upstream(si->in.catalog, s->victim)->cookie;

	for (guint k = 0; k < ev->rows->len; k++)
		if (rows[k].cookie == cookie && rows[k].silent_ms < UINT16_MAX)
			see_life(s, ev->instance,
				 s->now_ms - MIN(s->now_ms, rows[k].silent_ms));
	handle_peer_loads(si->in.placer, ev->sender, rows, ev->rows->len,
			  s->now_ms);
}

/* A paused instance handles what arrived meanwhile when it runs again. */
static bool defer_if_paused(struct notice_sim *s, const struct sim_event *ev)
{
	const struct sim_instance *si = &s->instances[ev->instance];
	struct sim_event later = *ev;

	if (ev->kind == SIM_SYN || s->now_ms >= si->paused_until_ms)
		return false;
	later.at_ms = si->paused_until_ms;
	if (later.rows)
		g_array_ref(later.rows);
	add_event(s, later);
	return true;
}

static void tick_instance(struct notice_sim *s, unsigned int i)
{
	struct sim_instance *si = &s->instances[i];
	GArray *checks;

	if (s->now_ms < si->paused_until_ms)
		return;
	si->last_tick_ms = s->now_ms;
	if (s->now_ms % LIFE_EVERY_MS == i % 4 * STEP_MS)
		note_upstream_answer(si->in.placer,
				     s->handles[1 + i % (UPSTREAMS - 1)],
				     s->now_ms - HANDSHAKE_MS, s->now_ms);
	checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	tick_placer(si->in.placer, s->now_ms, checks);
	for (guint k = 0; k < checks->len; k++)
		start_check(s, i, g_array_index(checks, upstream_index_t, k));
	g_array_free(checks, TRUE);
	send_notices(s, si);
	if (s->now_ms < si->next_heartbeat_ms)
		return;
	si->next_heartbeat_ms = s->now_ms + heartbeat_ms(s);
	send_rows(s, i);
}

static void handle_event(struct notice_sim *s, const struct sim_event *ev)
{
	struct sim_instance *si = &s->instances[ev->instance];
	struct placer *pl = si->in.placer;

	if (defer_if_paused(s, ev))
		return;
	/* timers or sockets may come first after a pause */
	if (ev->instance % 2 && s->now_ms - si->last_tick_ms > HEALTH_PAUSE_MS)
		tick_instance(s, ev->instance);
	switch (ev->kind) {
	case SIM_ROWS:
		handle_rows(s, ev);
		break;
	case SIM_NOTICE:
		handle_health_notice(pl, &ev->notice, s->now_ms);
		break;
	case SIM_SYN:
		/* others get no copy: the first was answered elsewhere */
		if (assessed_health(pl, s->victim) <= HEALTH_SUSPECTED)
			send_syn(s, ev->instance, ev->sent_ms, ev->copy);
		break;
	case SIM_ALIVE:
		if (ev->upstream == s->victim && !is_answering(s, ev->instance))
			break;
		note_upstream_answer(pl, ev->upstream, ev->sent_ms, s->now_ms);
		see_life(s, ev->instance, s->now_ms);
		break;
	case SIM_OVERDUE:
		note_upstream_silent(pl, ev->upstream, ev->sent_ms, s->now_ms);
		break;
	case SIM_FLOW_END:
		note_flow_end(pl, ev->upstream);
		break;
	case SIM_CHECK_END:
		if (ev->result == CHECK_GOOD && ev->upstream == s->victim)
			see_life(s, ev->instance, s->now_ms);
		note_check_result(pl, ev->upstream, ev->result, s->now_ms);
		break;
	}
}

/* Notes who was reset, and who took a responding upstream for lost. */
static void judge_instance(struct notice_sim *s, unsigned int i)
{
	struct sim_instance *si = &s->instances[i];
	bool lost =
		assessed_health(si->in.placer, s->victim) >= HEALTH_UNREACHABLE;

	if (lost && !si->judged && is_answering(s, i)) {
		s->res->wrong++;
		s->res->wrong_in_sight +=
			si->last_life_ms &&
			s->now_ms - si->last_life_ms < IN_SIGHT_MS;
	}
	si->judged = lost;
	for (unsigned int c = 0; lost && c < NOTICE_SIM_CALLERS; c++) {
		if (s->callers[c] != i || s->res->reset_ms[c] != UINT32_MAX)
			continue;
		s->res->reset_ms[c] = (uint32_t)(s->now_ms - s->fault_ms);
		s->res->first_checks = s->res->checks;
		s->pending_callers--;
	}
}

static void start_fault(struct notice_sim *s)
{
	for (unsigned int c = 0; c < NOTICE_SIM_CALLERS; c++) {
		s->callers[c] = random_instance(s);
		note_flow_open(s->instances[s->callers[c]].in.placer,
			       s->victim);
	}
}

static bool happens(struct notice_sim *s, double per_s)
{
	return per_s > 0 && g_rand_double(s->rand) < per_s * STEP_MS / 1000;
}

static void disturb(struct notice_sim *s)
{
	if (happens(s, s->opt->false_suspicion_s))
		note_upstream_silent(s->instances[random_instance(s)].in.placer,
				     s->victim, s->now_ms - HANDSHAKE_LIMIT_MS,
				     s->now_ms);
	if (happens(s, s->opt->pauses_s))
		s->instances[random_instance(s)].paused_until_ms =
			s->now_ms +
			(uint64_t)g_rand_int_range(s->rand, 30, 150) * STEP_MS;
}

static void step(struct notice_sim *s)
{
	GSequenceIter *it;

	while ((it = g_sequence_get_begin_iter(s->events)) &&
	       !g_sequence_iter_is_end(it)) {
		struct sim_event *ev = g_sequence_get(it);
		struct sim_event e = *ev;

		if (ev->at_ms > s->now_ms)
			break;
		if (e.rows)
			g_array_ref(e.rows);
		g_sequence_remove(it);
		handle_event(s, &e);
		if (e.rows)
			g_array_unref(e.rows);
	}
	if (happens(s, s->opt->flows_per_s)) {
		unsigned int i = random_instance(s);

		if (assessed_health(s->instances[i].in.placer, s->victim) <=
		    HEALTH_SUSPECTED)
			send_syn(s, i, s->now_ms, 0);
	}
	if (s->now_ms >= s->fault_ms)
		disturb(s);
	for (unsigned int i = 0; i < s->opt->instance_nr; i++) {
		tick_instance(s, i);
		judge_instance(s, i);
	}
}

void simulate_notices(const struct notice_sim_options *opt,
		      struct notice_sim_result *res)
{
	struct notice_sim s = { .opt = opt,
				.res = res,
				.fault_ms = WARM_UP_MS,
				.pending_callers = NOTICE_SIM_CALLERS };

	memset(res, 0, sizeof(*res));
	for (unsigned int c = 0; c < NOTICE_SIM_CALLERS; c++)
		res->reset_ms[c] = UINT32_MAX;
	s.rand = g_rand_new_with_seed(opt->seed);
	s.events = g_sequence_new(free_event);
	create_instances(&s);
	for (; s.now_ms < s.fault_ms + opt->length_ms; s.now_ms += STEP_MS) {
		if (s.now_ms == s.fault_ms)
			start_fault(&s);
		step(&s);
	}
	g_sequence_free(s.events);
	for (unsigned int i = 0; i < opt->instance_nr; i++) {
		release_cookie_instance(&s.instances[i].in);
		destroy_health_notices(s.instances[i].notices);
	}
	g_free(s.instances);
	g_rand_free(s.rand);
}
