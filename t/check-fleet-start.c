/*
 * A fleet of 300 instances that start at once beside 3,000 upstreams, with a
 * store that answers less than one read a second for each instance. Runs the
 * membership and the copies of the store of all instances in one process.
 * Guards against instances that keep the store busy until a change of the
 * configuration comes too late, and against a fleet that finds itself only
 * through the store.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/patch.h"
#include "config/mirror.h"
#include "fleet/heartbeat.h"
#include "fleet/introduction.h"
#include "fleet/store-update.h"
#include "fleet/value-transfer.h"
#include "t/event-queue.h"

#define INSTANCES 300
#define UPSTREAMS 3000
#define SEEDS 3
#define START_SPREAD_MS 300
#define UPSTREAM_SPREAD_MS 300 /* within which upstreams register */
#define CHANGE_MS 3000	       /* when the configuration changes */
#define IN_FORCE_MS 1000       /* bound of the change */
/* Two heartbeat intervals of the largest domain; to others one in six is sent. */
#define OWN_DOMAIN_KNOWN_MS (START_SPREAD_MS + 1800)
#define ALL_KNOWN_MS (START_SPREAD_MS + 6500)

#define STORE_READS_PER_S 200
#define STORE_WINDOW_MS 100 /* over which reads are limited */
#define STORE_EVENTS_MAX 500
#define STORE_ANSWER_MS 4
#define WATCH_WAIT_MS 2000
#define MESSAGE_MS 2 /* on the way between instances */

/* The store has one entry, then the configuration, upstreams and the change. */
#define FIRST_CONFIG_REVISION 2
#define CHANGED_REVISION (UPSTREAMS + 3)
#define CONFIG_KEY "op/config"
#define CONFIG_BYTES 20000

/* 33, 100, 100 and 67 in 300: domains differ in size. */
static const unsigned int domain_shares[] = { 11, 44, 78, 100 };

struct instance {
	struct view *view;
	struct heartbeat_tracker *heartbeats;
	struct introduction *introduction;
	struct mirror *mirror;
	struct update_log *updates;
	struct value_receiver *value;
	uint64_t config_revision; /* in force */
	uint64_t watch_revision;
	struct member self;
	uint32_t watch_number; /* of the open watch; 0: none */
	uint32_t watches;      /* opened so far */
	struct endpoint at;
	struct endpoint update_sender; /* of the last update */
};

enum sim_event_kind {
	SIM_TICK,
	SIM_MESSAGE,   /* BYTES from peer FROM */
	SIM_READ_DONE, /* of all entries, at revision 0 */
	SIM_KEY_READ,  /* of the configuration */
	SIM_POLL       /* the watch NUMBER asks for events */
};

struct sim_event {
	enum sim_event_kind kind;
	size_t to;
	size_t from;
	GBytes *bytes;
	uint32_t number;
};

/* A revision of the store's history. */
struct revision {
	char key[32];
	char *value;
	size_t len;
	uint64_t written_ms;
};

static struct instance instances[INSTANCES];
static struct event_queue *queue;
static GArray *history;	      /* of struct revision; index 0 is revision 1 */
static GHashTable *addresses; /* port -> index + 1 */
static uint64_t now_ms;
static uint64_t window_ms;
static uint32_t window_reads;
static uint32_t refused_reads;

static void schedule(uint64_t delay_ms, struct sim_event ev)
{
	push_event(queue, now_ms + delay_ms, g_memdup2(&ev, sizeof(ev)));
}

static size_t find_instance(const struct endpoint *at)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(
		       addresses, GUINT_TO_POINTER(at->port))) -
	       1;
}

static void send_to(size_t from, const struct endpoint *to, const void *data,
		    size_t len)
{
	struct sim_event ev = { .kind = SIM_MESSAGE,
				.to = find_instance(to),
				.from = from,
				.bytes = g_bytes_new(data, len) };

	schedule(MESSAGE_MS, ev);
}

/* Revisions that the store has by now. */
static size_t written_nr(void)
{
	size_t n = history->len;

	while (n && g_array_index(history, struct revision, n - 1).written_ms >
			    now_ms)
		n--;
	return n;
}

/* Counts a read; false if the store refuses it. */
static bool may_read_store(void)
{
	if (now_ms - window_ms >= STORE_WINDOW_MS) {
		window_ms = now_ms;
		window_reads = 0;
	}
	if (++window_reads <= STORE_READS_PER_S * STORE_WINDOW_MS / 1000)
		return true;
	refused_reads++;
	return false;
}

/* Revision of the configuration in the store. */
static size_t config_revision(void)
{
	return written_nr() == CHANGED_REVISION ? CHANGED_REVISION
						: FIRST_CONFIG_REVISION;
}

static void step(size_t i, const struct mirror_event *ev);

struct send_target {
	size_t from;
	const GArray *to;
};

static void send_update(const void *data, size_t len, void *user)
{
	const struct send_target *t = user;

	for (guint k = 0; k < t->to->len; k++)
		send_to(t->from, &g_array_index(t->to, struct endpoint, k),
			data, len);
}

static void send_updates(size_t i, const struct mirror_update *update)
{
	struct instance *in = &instances[i];
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	struct send_target t = { i, to };

	list_domain_endpoints(in->heartbeats, to);
	add_updates(in->updates, update, send_update, &t);
	g_array_free(to, TRUE);
}

static void request_updates(size_t i, struct store_position since)
{
	struct wire_writer w;
	struct endpoint to;
	GRand *rand = g_rand_new_with_seed((guint32)(now_ms * INSTANCES + i));

	if (pick_member_ahead(instances[i].heartbeats, since, rand, &to)) {
		init_wire_writer(&w);
		write_update_control(&w, UPDATE_REQUEST, since);
		send_to(i, &to, w.buf.data, w.buf.size);
		release_wire_writer(&w);
	}
	g_rand_free(rand);
}

static bool request_value(size_t i, const struct mirror_action *a)
{
	struct value_request r = { .at = a->position };
	struct wire_writer w;

	if (!instances[i].update_sender.port)
		return false;
	g_strlcpy(r.key, a->key, sizeof(r.key));
	init_wire_writer(&w);
	write_value_request(&w, &r);
	send_to(i, &instances[i].update_sender, w.buf.data, w.buf.size);
	release_wire_writer(&w);
	return true;
}

static void open_watch(size_t i, uint64_t revision)
{
	struct instance *in = &instances[i];

	in->watch_number = ++in->watches;
	in->watch_revision = revision - 1;
	schedule(STORE_ANSWER_MS,
		 (struct sim_event){ .kind = SIM_POLL,
				     .to = i,
				     .number = in->watch_number });
}

static void execute(size_t i, const struct mirror_action *a)
{
	struct instance *in = &instances[i];

	switch (a->kind) {
	case MIRROR_DO_READ:
		schedule(STORE_ANSWER_MS,
			 (struct sim_event){ .kind = SIM_READ_DONE, .to = i });
		break;
	case MIRROR_DO_READ_KEY:
		if (a->from_peer && request_value(i, a))
			break;
		schedule(STORE_ANSWER_MS,
			 (struct sim_event){ .kind = SIM_KEY_READ, .to = i });
		break;
	case MIRROR_DO_WATCH:
		open_watch(i, a->revision);
		break;
	case MIRROR_DO_STOP_WATCH:
		in->watch_number = 0;
		break;
	case MIRROR_DO_SEND_UPDATE:
		send_updates(i, &a->update);
		break;
	case MIRROR_DO_KEEP_UPDATE:
		add_updates(in->updates, &a->update, NULL, NULL);
		break;
	case MIRROR_DO_DROP_UPDATES:
		clear_updates(in->updates);
		break;
	case MIRROR_DO_QUERY_PEER:
		request_updates(i, a->position);
		break;
	case MIRROR_KEY_CHANGED:
		if (strcmp(a->key, CONFIG_KEY) != 0)
			break;
		ck_assert_uint_gt(a->revision, in->config_revision);
		in->config_revision = a->revision;
		break;
	default:
		break;
	}
}

static void step(size_t i, const struct mirror_event *ev)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct mirror_action));

	step_mirror(instances[i].mirror, ev, now_ms, out);
	for (guint k = 0; k < out->len; k++)
		execute(i, &g_array_index(out, struct mirror_action, k));
	g_array_free(out, TRUE);
}

/* Answers the mirror of I with the revisions FIRST to LAST, from 1 on. */
static void answer_with(size_t i, enum mirror_event_kind kind, size_t first,
			size_t last, uint64_t revision)
{
	GArray *es = g_array_new(FALSE, TRUE, sizeof(struct store_entry));
	struct store_answer a = { .revision = revision };
	struct mirror_event ev = { .kind = kind, .answer = &a };

	for (size_t r = first; r <= last; r++) {
		const struct revision *rev =
			&g_array_index(history, struct revision, r - 1);
		struct store_entry e = { .key = (char *)rev->key,
					 .value = rev->value,
					 .len = rev->len,
					 .mod_revision = r };

		g_array_append_val(es, e);
	}
	a.entries = (struct store_entry *)(void *)es->data;
	a.entry_nr = es->len;
	step(i, &ev);
	g_array_free(es, TRUE);
}

static void fail_call(size_t i, enum mirror_event_kind kind)
{
	struct store_answer a = { .status.kind = STATUS_UNAVAILABLE };
	struct mirror_event ev = { .kind = kind, .answer = &a };

	step(i, &ev);
}

static void poll_store(size_t i, uint32_t number)
{
	struct instance *in = &instances[i];
	struct sim_event again = { .kind = SIM_POLL,
				   .to = i,
				   .number = number };
	size_t last = written_nr();
	uint64_t pause_ms = choose_watch_pace(3000).pause_ms;

	if (in->watch_number != number)
		return;
	if (!may_read_store()) {
		in->watch_number = 0;
		fail_call(i, MIRROR_WATCH_ANSWER);
		return;
	}
	if (last <= in->watch_revision) {
		/* the store holds the call back until there is an event */
		schedule(MIN(WATCH_WAIT_MS, 20), again);
		window_reads--;
		return;
	}
	last = MIN(last, in->watch_revision + STORE_EVENTS_MAX);
	if (last - in->watch_revision >= WATCH_BACKLOG_EVENTS)
		pause_ms = STORE_ANSWER_MS;
	answer_with(i, MIRROR_WATCH_ANSWER, in->watch_revision + 1, last, last);
	if (in->watch_number != number)
		return;
	in->watch_revision = last;
	schedule(pause_ms, again);
}

static struct store_entry decode_entry(size_t i, const struct update_entry *ue,
				       GBytes **value)
{
	struct store_entry e = { .key = (char *)ue->key,
				 .value = (void *)ue->value,
				 .len = ue->len,
				 .mod_revision = ue->revision };
	struct mirror_entry base =
		find_mirror_entry(instances[i].mirror, e.key);

	*value = NULL;
	if (ue->encoding != UPDATE_PATCH)
		return e;
	if (base.value && base.revision == ue->base_revision)
		*value = apply_patch(base.value, base.len, ue->value, ue->len,
				     UPDATE_PATCHED_MAX);
	e.value = *value ? (void *)g_bytes_get_data(*value, &e.len) : NULL;
	return e;
}

static void receive_update(size_t i, const struct store_update *su,
			   const struct sim_event *ev)
{
	struct instance *in = &instances[i];
	struct store_entry entries[UPDATE_ENTRIES_MAX];
	GBytes *values[UPDATE_ENTRIES_MAX];
	struct mirror_update update = { .from = su->from,
					.to = su->to,
					.entries = entries,
					.entry_nr = su->nr };
	struct mirror_event me = { .kind = MIRROR_PEER_UPDATE,
				   .update = &update };
	struct store_position before = mirror_position(in->mirror);
	size_t len;
	const void *data = g_bytes_get_data(ev->bytes, &len);

	for (size_t k = 0; k < su->nr; k++)
		entries[k] = decode_entry(i, &su->entries[k], &values[k]);
	in->update_sender = instances[ev->from].at;
	step(i, &me);
	for (size_t k = 0; k < su->nr; k++)
		if (values[k])
			g_bytes_unref(values[k]);
	if (compare_store_positions(mirror_position(in->mirror), before) > 0)
		keep_update(in->updates, su, data, len);
}

static void receive_heartbeat(size_t i, const void *data, size_t len)
{
	struct heartbeat_message hm = {
		.rows = g_array_new(FALSE, FALSE,
				    sizeof(struct upstream_load_row))
	};
	struct mirror_peer_state ps;
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE, .peer = &ps };

	ck_assert(read_heartbeat(data, len, &hm));
	handle_heartbeat(instances[i].heartbeats, &hm, now_ms);
	ps.position = hm.store_position;
	ps.digest = hm.store_digest;
	ps.watching = hm.flags & HEARTBEAT_READS_STORE;
	step(i, &ev);
	g_array_free(hm.rows, TRUE);
}

static void reply(const void *data, size_t len, void *user)
{
	const struct sim_event *ev = user;

	send_to(ev->to, &instances[ev->from].at, data, len);
}

static void receive_addresses(size_t i, size_t from, const void *data,
			      size_t len)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct endpoint));

	ck_assert(read_introduction(data, len, list));
	note_introduction_answer(instances[i].introduction,
				 &instances[from].at);
	for (guint k = 0; k < list->len; k++)
		add_heartbeat_address(instances[i].heartbeats,
				      &g_array_index(list, struct endpoint, k));
	g_array_free(list, TRUE);
}

static void answer_value_request(const struct sim_event *ev, const void *data,
				 size_t len)
{
	struct mirror_entry e;
	struct value_request r;

	ck_assert(read_value_request(data, len, &r));
	e = find_mirror_entry(instances[ev->to].mirror, r.key);
	if (e.value && e.revision >= r.at.revision)
		send_value(r.key, (struct store_position){ 0, e.revision },
			   e.value, e.len, reply, (void *)ev);
}

static void receive_part(size_t i, const void *data, size_t len)
{
	struct received_value rv;
	struct store_entry e = { 0 };
	struct store_answer a = { .entries = &e, .entry_nr = 1 };
	struct mirror_event ev = { .kind = MIRROR_KEY_READ_DONE, .answer = &a };

	ck_assert(add_value_part(instances[i].value, data, len, &rv));
	if (!rv.value)
		return;
	e.key = (char *)rv.key;
	e.value = (void *)g_bytes_get_data(rv.value, &e.len);
	e.mod_revision = rv.at.revision;
	a.revision = rv.at.revision;
	step(i, &ev);
	g_bytes_unref(rv.value);
}

static void receive(struct sim_event *ev)
{
	struct instance *in = &instances[ev->to];
	size_t len;
	const void *data = g_bytes_get_data(ev->bytes, &len);
	struct wire_message msg;
	struct store_update su;
	struct mirror_event none = { .kind = MIRROR_NO_UPDATES };

	if (!in->mirror) /* it has not started yet */
		return;
	if (is_heartbeat(data, len)) {
		receive_heartbeat(ev->to, data, len);
	} else if (has_peer_format(data, len, INTRODUCTION_REQUEST)) {
		write_introduction(in->view, &instances[ev->from].at, reply,
				   ev);
	} else if (has_peer_format(data, len, INTRODUCTION)) {
		receive_addresses(ev->to, ev->from, data, len);
	} else if (has_peer_format(data, len, VALUE_REQUEST)) {
		answer_value_request(ev, data, len);
	} else if (has_peer_format(data, len, VALUE_PART)) {
		receive_part(ev->to, data, len);
	} else {
		ck_assert(read_store_update(&msg, &su, data, len));
		if (su.format == UPDATE_CHANGES)
			receive_update(ev->to, &su, ev);
		else if (su.format == UPDATE_REQUEST)
			resend_updates(in->updates, su.from, reply, ev);
		else if (su.format == UPDATE_NOT_KEPT)
			step(ev->to, &none);
		release_wire_message(&msg);
	}
}

static void start_instance(size_t i)
{
	struct instance *in = &instances[i];

	in->view = create_view(in->self.id);
	in->heartbeats = create_heartbeat_tracker(&in->self, in->view, now_ms);
	in->introduction = create_introduction(now_ms);
	for (size_t s = 0; s < SEEDS; s++) {
		if (s == i)
			continue;
		add_heartbeat_address(in->heartbeats, &instances[s].at);
		add_introduction_seed(in->introduction, &instances[s].at);
	}
	in->mirror = create_mirror((uint32_t)i);
	in->updates = create_update_log();
	in->value = create_value_receiver();
}

static void send_heartbeats(size_t i, const GArray *to)
{
	struct instance *in = &instances[i];
	struct heartbeat_message hm = {
		.member = in->self,
		.flags = mirror_is_watching(in->mirror, now_ms)
				 ? HEARTBEAT_READS_STORE
				 : 0,
		.store_position = mirror_position(in->mirror),
		.store_digest = mirror_digest(in->mirror),
		.rows = g_array_new(FALSE, FALSE,
				    sizeof(struct upstream_load_row))
	};
	struct wire_writer w;

	init_wire_writer(&w);
	write_heartbeat(&w, &hm);
	for (guint k = 0; k < to->len; k++)
		send_to(i, &g_array_index(to, struct endpoint, k), w.buf.data,
			w.buf.size);
	release_wire_writer(&w);
	g_array_free(hm.rows, TRUE);
}

static void tick(size_t i)
{
	struct instance *in = &instances[i];
	struct mirror_event role = { .kind = MIRROR_ROLE_CHANGED };
	struct mirror_event ev = { .kind = MIRROR_TICK };
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	struct wire_writer w;

	if (!in->mirror)
		start_instance(i);
	role.is_store_reader = should_read_store(in->heartbeats, now_ms);
	step(i, &role);
	step(i, &ev);
	if (tick_heartbeats(in->heartbeats, now_ms, false, to))
		send_heartbeats(i, to);
	g_array_set_size(to, 0);
	tick_introduction(in->introduction, now_ms, to);
	init_wire_writer(&w);
	write_introduction_request(&w);
	for (guint k = 0; k < to->len; k++)
		send_to(i, &g_array_index(to, struct endpoint, k), w.buf.data,
			w.buf.size);
	release_wire_writer(&w);
	g_array_free(to, TRUE);
	schedule(MIRROR_TICK_MS,
		 (struct sim_event){ .kind = SIM_TICK, .to = i });
}

static void handle_event(struct sim_event *ev)
{
	switch (ev->kind) {
	case SIM_TICK:
		tick(ev->to);
		break;
	case SIM_MESSAGE:
		receive(ev);
		break;
	case SIM_READ_DONE:
		/* stale: from before the configuration */
		answer_with(ev->to, MIRROR_READ_DONE, 1, 1, 1);
		break;
	case SIM_KEY_READ:
		if (may_read_store())
			answer_with(ev->to, MIRROR_KEY_READ_DONE,
				    config_revision(), config_revision(),
				    written_nr());
		else
			fail_call(ev->to, MIRROR_KEY_READ_DONE);
		break;
	case SIM_POLL:
		poll_store(ev->to, ev->number);
		break;
	}
}

static void add_revision(const char *key, size_t len, uint64_t written_ms,
			 uint64_t seed)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct revision r = { .len = len, .written_ms = written_ms };

	g_strlcpy(r.key, key, sizeof(r.key));
	r.value = g_malloc(len);
	for (size_t i = 0; i < len; i++)
		r.value[i] = (char)g_rand_int_range(rand, 'a', 'z');
	g_array_append_val(history, r);
	g_rand_free(rand);
}

static void write_history(void)
{
	char key[32];

	history = g_array_new(FALSE, FALSE, sizeof(struct revision));
	add_revision("start", 10, 0, 0);
	add_revision(CONFIG_KEY, CONFIG_BYTES, 0, 1);
	for (uint64_t i = 0; i < UPSTREAMS; i++) {
		g_snprintf(key, sizeof(key), "servers/%u", (unsigned int)i);
		add_revision(key, 150,
			     START_SPREAD_MS +
				     i * UPSTREAM_SPREAD_MS / UPSTREAMS,
			     i);
	}
	/* a small change of the configuration */
	add_revision(CONFIG_KEY, CONFIG_BYTES, CHANGE_MS, 1);
	memset(g_array_index(history, struct revision, CHANGED_REVISION - 1)
		       .value,
	       'z', 10);
}

static void setup(void)
{
	queue = create_event_queue();
	addresses = g_hash_table_new(NULL, NULL);
	now_ms = 1;
	window_ms = 0;
	refused_reads = 0;
	write_history();
	memset(instances, 0, sizeof(instances));
	for (size_t i = 0; i < INSTANCES; i++) {
		struct instance *in = &instances[i];
		unsigned int d = 0;

		while (i * 100 / INSTANCES >= domain_shares[d])
			d++;
		in->self.peer_port = (uint16_t)(i + 1);
		in->self.state = MEMBER_ALIVE;
		g_snprintf(in->self.name, sizeof(in->self.name), "i%zu", i);
		g_snprintf(in->self.domain, sizeof(in->self.domain), "d%u", d);
		in->self.id = service_id(in->self.name);
		parse_address("127.0.0.1", &in->self.address, NULL);
		in->at = member_endpoint(&in->self);
		g_hash_table_insert(addresses, GUINT_TO_POINTER(i + 1),
				    GSIZE_TO_POINTER(i + 1));
		schedule(i * START_SPREAD_MS / INSTANCES,
			 (struct sim_event){ .kind = SIM_TICK, .to = i });
	}
}

static void teardown(void)
{
	struct sim_event *ev;

	while ((ev = pop_event(queue))) {
		g_clear_pointer(&ev->bytes, g_bytes_unref);
		g_free(ev);
	}
	for (size_t i = 0; i < INSTANCES; i++) {
		destroy_mirror(instances[i].mirror);
		destroy_update_log(instances[i].updates);
		destroy_value_receiver(instances[i].value);
		destroy_introduction(instances[i].introduction);
		destroy_heartbeat_tracker(instances[i].heartbeats);
		destroy_view(instances[i].view);
	}
	for (guint i = 0; i < history->len; i++)
		g_free(g_array_index(history, struct revision, i).value);
	g_array_free(history, TRUE);
	g_hash_table_destroy(addresses);
	destroy_event_queue(queue);
}

static void run_until(uint64_t end_ms)
{
	while (next_event_time(queue) <= end_ms) {
		struct sim_event *ev;

		now_ms = next_event_time(queue);
		ev = pop_event(queue);
		handle_event(ev);
		g_clear_pointer(&ev->bytes, g_bytes_unref);
		g_free(ev);
	}
	now_ms = end_ms;
}

/* Members of instance I's domain, or of all domains, that it takes as alive. */
static size_t count_live(size_t i, bool own_domain)
{
	const struct member *ms;
	size_t live = 0;
	size_t nr;

	ms = view_members(instances[i].view, &nr);
	for (size_t k = 0; k < nr; k++)
		live += is_live_member(&ms[k]) &&
			(!own_domain ||
			 !strcmp(ms[k].domain, instances[i].self.domain));
	return live;
}

static size_t domain_size(size_t i)
{
	size_t size = 0;

	for (size_t k = 0; k < INSTANCES; k++)
		size += !strcmp(instances[i].self.domain,
				instances[k].self.domain);
	return size;
}

/* One run for all checks, as it takes long. */
START_TEST(a_large_fleet_starts_at_once)
{
	uint32_t refused_nr;

	run_until(OWN_DOMAIN_KNOWN_MS);
	for (size_t i = 0; i < INSTANCES; i++)
		ck_assert_uint_eq(count_live(i, true), domain_size(i));
	run_until(CHANGE_MS + IN_FORCE_MS);
	for (size_t i = 0; i < INSTANCES; i++)
		ck_assert_uint_eq(instances[i].config_revision,
				  CHANGED_REVISION);
	refused_nr = refused_reads;
	run_until(ALL_KNOWN_MS);
	for (size_t i = 0; i < INSTANCES; i++)
		ck_assert_uint_eq(count_live(i, false), INSTANCES);
	ck_assert_uint_eq(refused_reads, refused_nr);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet-start");
	TCase *tc = tcase_create("fleet-start");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 300);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_large_fleet_starts_at_once);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
