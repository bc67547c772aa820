/*
 * Carries out what the mirror of the store asks for: calls, and updates to and
 * from peers. Keeps this instance's own entry in the store alive.
 */

#include <string.h>

#include "base/backoff.h"
#include "base/patch.h"
#include "base/wire.h"
#include "net/edge-state.h"
#include "platform/records.h"

/*
 * Other instances find a new instance by its store entry, and detect from its
 * heartbeats whether it is alive.
 */
#define OWN_ENTRY_LEASE_S 600
#define OWN_ENTRY_RENEW_MS 200000 /* a third of the lease */
/*
 * Wait after a call that failed, random and growing: the store refuses calls of
 * a whole fleet that starts, and would again if all came back at once.
 */
#define OWN_ENTRY_RETRY_MIN_MS 400
#define OWN_ENTRY_RETRY_MAX_MS 4000
/*
 * After a restore all instances register again within this time. Those that
 * know each other do not need the entries.
 */
#define OWN_ENTRY_SPREAD_MS 2000

/* Asks a ready peer which records of the store it holds. */
static void request_held_records(struct edge *e)
{
	struct wire_writer w;
	struct endpoint to;

	if (!pick_relays(e->instance_heartbeats, e->rand, &to, 1))
		return;
	init_wire_writer(&w);
	write_update_control(&w, UPDATE_HELD_REQUEST,
			     mirror_position(e->mirror));
	send_to_peer(e, &to, w.buf.data, w.buf.size);
	flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
}

/* Lets this instance place flows once it knows what its peers know. */
static void tick_start(struct edge *e)
{
	struct start_check_state state = {
		.store_era = mirror_position(e->mirror).era,
		.config_version = catalog_version(e->catalog),
		.highest_peer_version =
			highest_ready_config_version(e->instance_heartbeats)
	};
	struct endpoint any;

	if (!e->synced || e->start_check.done)
		return;
	state.has_ready_peer =
		pick_relays(e->instance_heartbeats, e->rand, &any, 1);
	if (tick_start_check(&e->start_check, &state, e->now_ms))
		request_held_records(e);
}

/* Appends to W the value of this instance's own entry: where it is reached. */
static void write_own_entry_value(const struct edge *e, struct wire_writer *w)
{
	struct endpoint at = e->settings.address;

	at.port = e->settings.peer_port;
	write_array(w, 1);
	write_endpoint(w, &at);
}

/*
 * Takes over the entry that this instance wrote before it was restarted, if A,
 * the first read, has it: renewing a lease costs the store less than a new lease
 * and entry, and after an outage all instances come back at once.
 */
static void adopt_own_entry(struct edge *e, const struct store_answer *a)
{
	char key[CATALOG_NAME_MAX];
	struct wire_writer w;

	if (e->synced || e->entry_lease)
		return;
	write_instance_key(e->settings.name, key, sizeof(key));
	init_wire_writer(&w);
	write_own_entry_value(e, &w);
	for (size_t i = 0; i < a->entry_nr; i++) {
		const struct store_entry *se = &a->entries[i];

		if (strcmp(se->key, key) != 0 || !se->lease_id ||
		    se->len != w.buf.size ||
		    memcmp(se->value, w.buf.data, se->len) != 0)
			continue;
		e->entry_lease = se->lease_id;
		e->entry_lease_era = a->era;
	}
	release_wire_writer(&w);
}

static void log_unreadable_items(const struct edge *e,
				 const struct store_answer *a)
{
	if (a->unreadable_nr)
		log_event(e->log, EVENT_PROBLEM,
			  "what=store why=\"%zu items can't be read\" "
			  "revision=%llu",
			  a->unreadable_nr, (unsigned long long)a->revision);
}

static void on_all_read(const struct store_answer *a, void *data)
{
	struct mirror_event ev = { .kind = MIRROR_READ_DONE, .answer = a };
	struct edge *e = data;

	log_unreadable_items(e, a);
	step_edge_mirror(e, &ev);
	if (a->status.kind != STATUS_OK)
		return;
	adopt_own_entry(e, a);
	e->synced = true;
	tick_start(e);
}

static void on_key_read(const struct store_answer *a, void *data)
{
	struct mirror_event ev = { .kind = MIRROR_KEY_READ_DONE, .answer = a };

	step_edge_mirror(data, &ev);
}

static void on_watch_answer(const struct store_answer *a, void *data)
{
	struct mirror_event ev = { .kind = MIRROR_WATCH_ANSWER, .answer = a };
	struct edge *e = data;

	log_unreadable_items(e, a);
	if (a->status.kind != STATUS_OK)
		e->watch = NULL;
	step_edge_mirror(e, &ev);
}

static void stop_watch(struct edge *e)
{
	if (e->watch)
		cancel_store_watch(e->watch);
	e->watch = NULL;
}

struct update_targets {
	struct edge *e;
	const GArray *endpoints; /* of struct endpoint */
};

static void send_update_datagram(const void *data, size_t len, void *user)
{
	const struct update_targets *t = user;

	for (guint i = 0; i < t->endpoints->len; i++)
		send_to_peer(t->e,
			     &g_array_index(t->endpoints, struct endpoint, i),
			     data, len);
	flush_datagrams(t->e->peer_socket);
}

/* Sends N to the other instances of this instance's domain. */
static void send_update_to_domain(struct edge *e, const struct mirror_update *n)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	struct update_targets t = { e, to };

	list_domain_endpoints(e->instance_heartbeats, to);
	add_updates(e->recent_updates, n, send_update_datagram, &t);
	g_array_free(to, TRUE);
}

/* Requests the changes after POSITION from a peer that has newer ones. */
static void request_missing_updates(struct edge *e,
				    struct store_position position)
{
	struct wire_writer w;
	struct endpoint to;

	if (!pick_member_ahead(e->instance_heartbeats, position, e->rand, &to))
		return;
	init_wire_writer(&w);
	write_update_control(&w, UPDATE_REQUEST, position);
	send_to_peer(e, &to, w.buf.data, w.buf.size);
	flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
}

static void answer_update_request(struct edge *e, struct store_position since,
				  const struct endpoint *from)
{
	struct peer_target to = { e, from };
	struct wire_writer w;

	if (!resend_updates(e->recent_updates, since, send_to_target, &to) &&
	    mirror_is_watching(e->mirror, e->now_ms)) {
		init_wire_writer(&w);
		write_update_control(&w, UPDATE_NOT_KEPT, since);
		send_to_peer(e, from, w.buf.data, w.buf.size);
		release_wire_writer(&w);
	}
	flush_datagrams(e->peer_socket);
}

/*
 * Converts N to a store entry. Its value is NULL if the update leaves it out,
 * or holds only the difference from a value that this instance does not have.
 * The caller unrefs *VALUE unless it is NULL.
 */
static struct store_entry decode_update_entry(struct edge *e,
					      const struct update_entry *n,
					      GBytes **value)
{
	struct store_entry se = { .key = (char *)n->key,
				  .value = (void *)n->value,
				  .len = n->len,
				  .mod_revision = n->revision,
				  .deleted = n->encoding == UPDATE_REMOVED };
	struct mirror_entry base;

	*value = NULL;
	if (n->encoding != UPDATE_PATCH)
		return se;
	base = find_mirror_entry(e->mirror, n->key);
	if (base.value && base.revision == n->base_revision) {
		*value = apply_patch(base.value, base.len, n->value, n->len,
				     UPDATE_PATCHED_MAX);
		if (!*value) {
			count(&e->counters, COUNT_PEER_MALFORMED);
			log_event(e->log, EVENT_PROBLEM,
				  "what=news why=\"the difference for %.64s "
				  "does not lead from revision %llu to %llu\"",
				  n->key, (unsigned long long)n->base_revision,
				  (unsigned long long)n->revision);
		}
	}
	se.value = *value ? (void *)g_bytes_get_data(*value, &se.len) : NULL;
	return se;
}

/* Asks a peer for the value that A reads; false if none is known to have it. */
static bool request_value(struct edge *e, const struct mirror_action *a)
{
	struct store_position before = { a->position.era,
					 a->position.revision - 1 };
	struct value_request r = { .at = a->position };
	struct endpoint to;
	struct wire_writer w;

	if (!pick_member_ahead(e->instance_heartbeats, before, e->rand, &to))
		to = e->update_sender;
	if (!to.port)
		return false;
	g_strlcpy(r.key, a->key, sizeof(r.key));
	init_wire_writer(&w);
	write_value_request(&w, &r);
	send_to_peer(e, &to, w.buf.data, w.buf.size);
	flush_datagrams(e->peer_socket);
	release_wire_writer(&w);
	return true;
}

void answer_value_request(struct edge *e, const struct value_request *r,
			  const struct endpoint *from)
{
	struct store_position at = mirror_position(e->mirror);
	struct mirror_entry entry = find_mirror_entry(e->mirror, r->key);
	struct peer_target to = { e, from };

	at.revision = entry.revision;
	if (!entry.value || at.era != r->at.era ||
	    compare_store_positions(at, r->at) < 0)
		return;
	send_value(r->key, at, entry.value, entry.len, send_to_target, &to);
	flush_datagrams(e->peer_socket);
}

void handle_value_part(struct edge *e, const uint8_t *data, size_t len)
{
	struct received_value rv;
	struct store_entry entry = { 0 };
	struct store_answer a = { .entries = &entry, .entry_nr = 1 };

	if (!add_value_part(e->value_receiver, data, len, &rv)) {
		count(&e->counters, COUNT_PEER_MALFORMED);
		return;
	}
	if (!rv.value)
		return;
	entry.key = (char *)rv.key;
	entry.value = (void *)g_bytes_get_data(rv.value, &entry.len);
	entry.mod_revision = rv.at.revision;
	a.revision = rv.at.revision;
	a.era = rv.at.era;
	on_key_read(&a, e);
	g_bytes_unref(rv.value);
}

static void apply_edge_update(struct edge *e, const struct store_update *n,
			      const void *data, size_t len)
{
	struct store_entry entries[UPDATE_ENTRIES_MAX];
	GBytes *values[UPDATE_ENTRIES_MAX];
	struct mirror_update changes = { .from = n->from,
					 .to = n->to,
					 .restored =
						 n->format == UPDATE_RESTORED,
					 .removal_hold_ms = n->hold_ms,
					 .entries = entries,
					 .entry_nr = n->nr };
	struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE,
				   .update = &changes };
	struct store_position before = mirror_position(e->mirror);

	for (size_t i = 0; i < n->nr; i++)
		entries[i] = decode_update_entry(e, &n->entries[i], &values[i]);
	step_edge_mirror(e, &ev);
	/* kept for peers that request it later */
	if (compare_store_positions(mirror_position(e->mirror), before) > 0)
		keep_update(e->recent_updates, n, data, len);
	for (size_t i = 0; i < n->nr; i++)
		if (values[i])
			g_bytes_unref(values[i]);
}

static void answer_held_request(struct edge *e, const struct endpoint *from)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_record));
	struct peer_target to = { e, from };

	if (may_place_flows(e)) {
		list_held_records(e->restored_records, e->now_ms, held);
		write_held_records(mirror_position(e->mirror), held,
				   send_to_target, &to);
	}
	g_array_free(held, TRUE);
	flush_datagrams(e->peer_socket);
}

/* Takes over what a peer holds; only a starting instance asks for that. */
static void handle_held_records(struct edge *e, const struct store_update *n)
{
	/* a peer that has not seen the restore yet holds nothing */
	if (e->start_check.done || n->from.era < mirror_position(e->mirror).era)
		return;
	adopt_edge_records(e, n);
	e->start_check.answered |= !n->hold_ms;
	tick_start(e);
}

void handle_edge_update(struct edge *e, const struct store_update *n,
			const void *data, size_t len,
			const struct endpoint *from)
{
	struct mirror_event none = { .kind = MIRROR_NO_UPDATES };

	switch (n->format) {
	case UPDATE_CHANGES:
	case UPDATE_RESTORED:
		e->update_sender = *from;
		apply_edge_update(e, n, data, len);
		break;
	case UPDATE_REQUEST:
		answer_update_request(e, n->from, from);
		break;
	case UPDATE_NOT_KEPT:
		step_edge_mirror(e, &none);
		break;
	case UPDATE_HELD_REQUEST:
		answer_held_request(e, from);
		break;
	case UPDATE_HELD:
		handle_held_records(e, n);
		break;
	default: /* read_store_update() accepts no other */
		break;
	}
}

/* The store was restored; it had reached position BEFORE here. */
static void handle_new_era(struct edge *e, struct store_position before)
{
	struct store_position at = mirror_position(e->mirror);

	count(&e->counters, COUNT_STORE_ERAS);
	log_event(e->log, EVENT_STORE_RESTORED,
		  "era=%llu revision=%llu before_era=%llu before_revision=%llu "
		  "version=%llu",
		  (unsigned long long)at.era, (unsigned long long)at.revision,
		  (unsigned long long)before.era,
		  (unsigned long long)before.revision,
		  (unsigned long long)catalog_version(e->catalog));
	restart_record_holds(e->restored_records, e->now_ms);
	if (!e->entry_lease || e->entry_lease_era == at.era)
		return;
	/* lease ids are given out again: it may be of another owner now */
	e->entry_lease = 0;
	e->lease_call_due_ms =
		e->now_ms +
		(uint64_t)g_rand_int_range(e->rand, 0, OWN_ENTRY_SPREAD_MS);
}

static struct watch_pace edge_watch_pace(const struct edge *e)
{
	const struct steering_bounds *b = &e->settings.bounds;

	return choose_watch_pace(MIN(b->change_ms, b->drain_ms));
}

static void execute_action(struct edge *e, const struct mirror_action *a)
{
	const struct store_range all = { .key = "",
					 .may_be_stale = a->may_be_stale };
	const struct store_range one = { .key = a->key };
	struct store_range watched = all;

	switch (a->kind) {
	case MIRROR_DO_READ:
		query_store_range(e->store, &all, on_all_read, e);
		break;
	case MIRROR_DO_READ_KEY:
		if (!a->from_peer || !request_value(e, a))
			query_store_range(e->store, &one, on_key_read, e);
		break;
	case MIRROR_DO_QUERY_PEER:
		request_missing_updates(e, a->position);
		break;
	case MIRROR_DO_SEND_UPDATE:
		send_update_to_domain(e, &a->update);
		break;
	case MIRROR_DO_KEEP_UPDATE:
		add_updates(e->recent_updates, &a->update, NULL, NULL);
		break;
	case MIRROR_DO_DROP_UPDATES:
		clear_updates(e->recent_updates);
		break;
	case MIRROR_DO_WATCH:
		watched.pace = edge_watch_pace(e);
		e->watch = watch_store(e->store, &watched, a->revision,
				       on_watch_answer, e);
		break;
	case MIRROR_DO_STOP_WATCH:
		stop_watch(e);
		break;
	case MIRROR_KEY_CHANGED:
	case MIRROR_KEY_REMOVED:
		apply_edge_change(e, a);
		break;
	case MIRROR_STORE_LOST:
		log_event(e->log, EVENT_STORE_LOST, "revision=%llu age_ms=%llu",
			  (unsigned long long)mirror_revision(e->mirror),
			  (unsigned long long)edge_store_age_ms(e));
		break;
	case MIRROR_ERA_BEGAN:
		handle_new_era(e, a->position);
		break;
	case MIRROR_OLD_ANSWER:
		count(&e->counters, COUNT_STORE_OLD_ANSWERS);
		log_event(e->log, EVENT_STORE_OLD_ANSWER,
			  "era=%llu revision=%llu in_force_era=%llu",
			  (unsigned long long)a->position.era,
			  (unsigned long long)a->position.revision,
			  (unsigned long long)mirror_position(e->mirror).era);
		break;
	case MIRROR_STORE_REGAINED:
		log_event(e->log, EVENT_STORE_REGAINED, "revision=%llu",
			  (unsigned long long)mirror_revision(e->mirror));
		break;
	}
}

uint64_t edge_store_age_ms(const struct edge *e)
{
	uint64_t last_answer_ms =
		e->mirror ? mirror_last_answer_ms(e->mirror) : 0;

	return last_answer_ms ? edge_clock_ms() - last_answer_ms : 0;
}

void step_edge_mirror(struct edge *e, const struct mirror_event *ev)
{
	GArray *actions =
		g_array_new(FALSE, FALSE, sizeof(struct mirror_action));

	e->now_ms = edge_clock_ms();
	step_mirror(e->mirror, ev, e->now_ms, actions);
	for (guint i = 0; i < actions->len; i++)
		execute_action(
			e, &g_array_index(actions, struct mirror_action, i));
	apply_new_services(e);
	end_flows_of_dropped_routes(e);
	g_array_free(actions, TRUE);
}

/*
 * Processes A, the answer to a store call for this instance's own entry. Sets
 * when the next such call is due; false if the call failed.
 */
static bool finish_registration_call(struct edge *e,
				     const struct store_answer *a)
{
	e->registration_pending = false;
	e->registration_failures =
		a->status.kind == STATUS_OK ? 0 : e->registration_failures + 1;
	if (a->status.kind == STATUS_OK && e->entry_lease &&
	    a->era != e->entry_lease_era) {
		/* the lease was of a store that has been restored since */
		e->entry_lease = 0;
		e->lease_call_due_ms = edge_clock_ms();
		return false;
	}
	if (a->status.kind == STATUS_OK) {
		e->lease_call_due_ms = edge_clock_ms() + OWN_ENTRY_RENEW_MS;
		return true;
	}
	if (a->status.kind == STATUS_NOT_FOUND)
		e->entry_lease = 0;
	e->lease_call_due_ms =
		edge_clock_ms() + backoff_ms(e->registration_failures,
					     OWN_ENTRY_RETRY_MIN_MS,
					     OWN_ENTRY_RETRY_MAX_MS, e->rand);
	log_event(e->log, EVENT_PROBLEM, "what=own-entry why=\"%s\"",
		  a->status.message);
	return false;
}

static void on_own_entry_written(const struct store_answer *a, void *data)
{
	struct edge *e = data;

	if (!finish_registration_call(e, a))
		e->entry_lease = 0;
}

static void write_own_entry(struct edge *e)
{
	char key[CATALOG_NAME_MAX];
	struct store_op op = { .kind = STORE_PUT, .key = key };
	struct store_txn txn = { .ops = &op, .op_nr = 1 };
	struct wire_writer w;

	init_wire_writer(&w);
	write_own_entry_value(e, &w);
	write_instance_key(e->settings.name, key, sizeof(key));
	op.value = w.buf.data;
	op.len = w.buf.size;
	op.lease_id = e->entry_lease;
	e->registration_pending = true;
	commit_store_txn(e->store, &txn, on_own_entry_written, e);
	release_wire_writer(&w);
}

static void on_lease_granted(const struct store_answer *a, void *data)
{
	struct edge *e = data;

	if (!finish_registration_call(e, a))
		return;
	e->entry_lease = a->lease_id;
	e->entry_lease_era = a->era;
	write_own_entry(e);
}

static void on_lease_renewed(const struct store_answer *a, void *data)
{
	struct edge *e = data;

	/* it has expired, and the entry with it: register again at once */
	if (!finish_registration_call(e, a) && !e->entry_lease)
		e->lease_call_due_ms = edge_clock_ms();
}

static void maintain_own_entry(struct edge *e)
{
	if (e->registration_pending || e->stop_began_ms || !e->synced ||
	    e->now_ms < e->lease_call_due_ms)
		return;
	e->registration_pending = true;
	if (e->entry_lease)
		renew_lease(e->store, e->entry_lease, on_lease_renewed, e);
	else
		grant_lease(e->store, OWN_ENTRY_LEASE_S, on_lease_granted, e);
}

void tick_edge_store(struct edge *e)
{
	struct mirror_event role = { .kind = MIRROR_ROLE_CHANGED };
	struct mirror_event ev = { .kind = MIRROR_TICK };

	role.is_store_reader =
		should_read_store(e->instance_heartbeats, e->now_ms);
	step_edge_mirror(e, &role);
	step_edge_mirror(e, &ev);
	tick_edge_records(e);
	tick_start(e);
	maintain_own_entry(e);
}

void start_edge_store(struct edge *e)
{
	uint32_t seed = g_rand_int(e->rand);

	e->mirror = create_mirror(seed);
	set_mirror_watch_pace(e->mirror, edge_watch_pace(e));
	e->recent_updates = create_update_log();
	e->value_receiver = create_value_receiver();
	e->restored_records = create_restored_records();
	set_edge_hold_times(e);
	e->store = create_platform_store(&e->loop, &e->settings.store,
					 &e->counters);
	tick_edge_store(e);
}

void stop_edge_store(struct edge *e)
{
	stop_watch(e);
	destroy_store(e->store);
	e->store = NULL;
	destroy_mirror(e->mirror);
	e->mirror = NULL;
	destroy_value_receiver(e->value_receiver);
	e->value_receiver = NULL;
	destroy_update_log(e->recent_updates);
	e->recent_updates = NULL;
	destroy_restored_records(e->restored_records);
	e->restored_records = NULL;
}
