/*
 * Tests of heartbeats and of the log of store updates. They guard against
 * members wrongly dead or alive, a failure domain without a working store
 * reader, relays that cannot forward, and receivers that miss store changes.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/patch.h"
#include "fleet/heartbeat.h"
#include "fleet/store-update.h"

static struct store_position at_revision(uint64_t revision)
{
	return (struct store_position){ 0, revision };
}

static struct view *view;
static struct heartbeat_tracker *ht;
static GArray *to;

static struct member make_member(const char *name, const char *domain,
				 uint16_t port)
{
	struct member m = { .peer_port = port, .state = MEMBER_ALIVE };

	m.id = service_id(name);
	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.domain, domain, sizeof(m.domain));
	parse_address("127.0.0.1", &m.address, NULL);
	return m;
}

static void setup(void)
{
	struct member self = make_member("a", "north", 1);

	view = create_view(self.id);
	ht = create_heartbeat_tracker(&self, view, 1000);
	to = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
}

static void teardown(void)
{
	destroy_heartbeat_tracker(ht);
	destroy_view(view);
	g_array_free(to, TRUE);
}

static bool tick(uint64_t now_ms)
{
	g_array_set_size(to, 0);
	return tick_heartbeats(ht, now_ms, false, to);
}

static void receive_heartbeat(const char *name, const char *domain,
			      uint16_t port, uint8_t flags, uint64_t now_ms)
{
	struct heartbeat_message hm = { .member =
						make_member(name, domain, port),
					.flags = flags };

	handle_heartbeat(ht, &hm, now_ms);
}

static void receive_revision(const char *name, const char *domain,
			     uint16_t port, uint64_t revision, uint64_t now_ms)
{
	struct heartbeat_message hm = { .member =
						make_member(name, domain, port),
					.store_position = { 0, revision } };

	handle_heartbeat(ht, &hm, now_ms);
}

static enum member_state member_state_of(const char *name)
{
	return find_member(view, service_id(name))->state;
}

START_TEST(a_heartbeat_is_read_as_written_and_refused_if_cut)
{
	struct heartbeat_message hm = { .member = make_member("b", "south", 77),
					.flags = HEARTBEAT_READY,
					.config_version = 7,
					.store_position = { 3, 99 } };
	struct heartbeat_message got = { 0 };
	struct upstream_load_row row = { 1, 2,		 3,
					 4, HEALTH_DEAD, UPSTREAM_QUALITY_MAX };
	const struct upstream_load_row *read_row;
	struct wire_writer w;

	hm.rows = g_array_new(FALSE, FALSE, sizeof(row));
	got.rows = g_array_new(FALSE, FALSE, sizeof(row));
	g_array_append_val(hm.rows, row);
	hm.member.link_mbps = 10;
	init_wire_writer(&w);
	write_heartbeat(&w, &hm);
	ck_assert(is_heartbeat((const uint8_t *)w.buf.data, w.buf.size));
	ck_assert(read_heartbeat(w.buf.data, w.buf.size, &got));
	ck_assert_str_eq(got.member.name, "b");
	ck_assert_uint_eq(got.member.id, hm.member.id);
	ck_assert_uint_eq(got.member.link_mbps, 10);
	ck_assert_uint_eq(got.store_position.era, 3);
	ck_assert_uint_eq(got.store_position.revision, 99);
	ck_assert_uint_eq(got.rows->len, 1);
	read_row = &g_array_index(got.rows, struct upstream_load_row, 0);
	ck_assert_uint_eq(read_row->cookie, row.cookie);
	ck_assert_uint_eq(read_row->busy_flows, row.busy_flows);
	ck_assert_uint_eq(read_row->expected_flows, row.expected_flows);
	ck_assert_uint_eq(read_row->silent_ms, row.silent_ms);
	ck_assert_uint_eq(read_row->health, row.health);
	ck_assert_uint_eq(read_row->quality, row.quality);
	for (size_t len = 0; len < w.buf.size; len++) {
		g_array_set_size(got.rows, 0);
		ck_assert(!read_heartbeat(w.buf.data, len, &got));
	}
	release_wire_writer(&w);
	g_array_free(hm.rows, TRUE);
	g_array_free(got.rows, TRUE);
}
END_TEST

START_TEST(a_silent_member_is_dead_until_its_next_heartbeat)
{
	receive_heartbeat("b", "north", 2, 0, 1000);
	tick(1000 + HEARTBEAT_DEAD_MISSES * HEARTBEAT_INTERVAL_MS);
	ck_assert_int_eq(member_state_of("b"), MEMBER_ALIVE);
	tick(1001 + HEARTBEAT_DEAD_MISSES * HEARTBEAT_INTERVAL_MS);
	ck_assert_int_eq(member_state_of("b"), MEMBER_DEAD);
	receive_heartbeat("b", "north", 2, 0, 3000);
	ck_assert_int_eq(member_state_of("b"), MEMBER_ALIVE);
	receive_heartbeat("b", "north", 2, HEARTBEAT_LEAVING, 3100);
	ck_assert_int_eq(member_state_of("b"), MEMBER_LEAVING);
}
END_TEST

START_TEST(silent_addresses_get_few_heartbeats)
{
	struct endpoint at;
	unsigned int tries = 0;

	parse_endpoint("127.0.0.9:5", &at, NULL);
	add_heartbeat_address(ht, &at);
	add_heartbeat_address(ht, &at);
	for (uint64_t t = 1000; t < 11000; t += HEARTBEAT_TICK_MS)
		if (tick(t))
			tries += to->len;
	ck_assert_uint_le(tries, 10000 / HEARTBEAT_SEARCH_MS);
	ck_assert_uint_ge(tries, 10000 / HEARTBEAT_SEARCH_MS / 2);
}
END_TEST

START_TEST(a_live_member_gets_every_heartbeat)
{
	unsigned int sent = 0;

	for (uint64_t t = 1000; t < 4000; t += HEARTBEAT_TICK_MS) {
		receive_heartbeat("b", "south", 2, 0, t);
		if (tick(t))
			sent += to->len;
	}
	ck_assert_uint_ge(sent, 3000 / HEARTBEAT_INTERVAL_MS - 1);
}
END_TEST

START_TEST(urgent_heartbeats_do_not_wait_for_the_interval)
{
	receive_heartbeat("b", "south", 2, 0, 1000);
	ck_assert(tick(1000));
	ck_assert(
		!tick_heartbeats(ht, 1000 + HEARTBEAT_URGENT_MS - 1, true, to));
	ck_assert(tick_heartbeats(ht, 1000 + HEARTBEAT_URGENT_MS, true, to));
	ck_assert(
		!tick(1000 + HEARTBEAT_URGENT_MS + HEARTBEAT_INTERVAL_MS - 1));
}
END_TEST

START_TEST(no_store_reader_before_peers_can_be_heard)
{
	ck_assert(!should_read_store(ht, 1000 + STORE_READER_DELAY_MS - 1));
	ck_assert(should_read_store(ht, 1000 + STORE_READER_DELAY_MS));
}
END_TEST

/*
 * Receives heartbeats with FLAGS from B of the own domain, which ranks higher
 * as store reader than this instance, and from C of another domain, which reads
 * the store.
 */
static void receive_higher_ranked(uint8_t flags, uint64_t now_ms)
{
	struct heartbeat_message hm = { .member = make_member("b", "north", 2),
					.flags = flags };

	hm.member.link_mbps = 100;
	handle_heartbeat(ht, &hm, now_ms);
	receive_heartbeat("c", "south", 3, HEARTBEAT_READS_STORE, now_ms);
}

START_TEST(a_domain_with_a_working_store_reader_needs_no_other)
{
	receive_higher_ranked(HEARTBEAT_READS_STORE, 5000);
	ck_assert(!should_read_store(ht, 5100));
}
END_TEST

START_TEST(a_lone_domain_has_two_store_readers)
{
	struct heartbeat_message hm = { .member = make_member("b", "north", 2),
					.flags = HEARTBEAT_READS_STORE };

	hm.member.link_mbps = 100;
	handle_heartbeat(ht, &hm, 5000);
	ck_assert(should_read_store(ht, 5100));
	receive_heartbeat("c", "south", 3, HEARTBEAT_READS_STORE, 5100);
	ck_assert(!should_read_store(ht, 5100));
}
END_TEST

START_TEST(a_store_reader_without_the_store_is_replaced)
{
	receive_higher_ranked(HEARTBEAT_READS_STORE, 5000);
	for (uint64_t t = 5000; t < 7000; t += HEARTBEAT_INTERVAL_MS)
		receive_higher_ranked(0, t);
	ck_assert(should_read_store(ht, 7000));
}
END_TEST

/*
 * Guards against a domain whose members all read the store at once: a store
 * that refuses calls beyond its limit would then answer none of them.
 */
START_TEST(members_take_the_place_of_store_readers_by_and_by)
{
	struct heartbeat_message hm = { .flags = 0 };
	uint64_t start = 1000 + STORE_READER_DELAY_MS;
	uint64_t limit = (HEARTBEAT_DEAD_MISSES - 1) * HEARTBEAT_INTERVAL_MS;

	/* eight members with faster links rank higher */
	for (unsigned int i = 0; i < 8; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "m%u", i);
		hm.member = make_member(name, "north", (uint16_t)(10 + i));
		hm.member.link_mbps = 100;
		handle_heartbeat(ht, &hm, 1000);
	}
	/* 2 readers, 4 after the limit, 8 and 16 with each further interval */
	ck_assert(!should_read_store(ht, start + limit - 1));
	ck_assert(!should_read_store(ht, start + limit));
	ck_assert(
		!should_read_store(ht, start + limit + HEARTBEAT_INTERVAL_MS));
	ck_assert(should_read_store(ht,
				    start + limit + 2 * HEARTBEAT_INTERVAL_MS));
}
END_TEST

START_TEST(a_silent_store_reader_is_replaced)
{
	receive_higher_ranked(HEARTBEAT_READS_STORE, 5000);
	tick(5000 + HEARTBEAT_DEAD_MISSES * HEARTBEAT_INTERVAL_MS);
	ck_assert(should_read_store(ht, 5000 + HEARTBEAT_DEAD_MISSES *
							HEARTBEAT_INTERVAL_MS));
}
END_TEST

START_TEST(a_pause_unsettles_the_view)
{
	tick(1000 + HEARTBEAT_SETTLE_MS);
	ck_assert(is_view_settled(view));
	restart_heartbeats(ht, 9000);
	ck_assert(!is_view_settled(view));
	tick(9000 + HEARTBEAT_SETTLE_MS - 1);
	ck_assert(!is_view_settled(view));
	tick(9000 + HEARTBEAT_SETTLE_MS);
	ck_assert(is_view_settled(view));
}
END_TEST

START_TEST(relays_are_ready_and_not_leaving)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct endpoint got[4];

	receive_heartbeat("b", "north", 2, HEARTBEAT_READY, 1000);
	receive_heartbeat("c", "north", 3, 0, 1000);
	receive_heartbeat("d", "north", 4, HEARTBEAT_READY | HEARTBEAT_LEAVING,
			  1000);
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_eq(pick_relays(ht, rand, got, 2), 1);
		ck_assert_uint_eq(got[0].port, 2);
	}
	g_rand_free(rand);
}
END_TEST

struct resent_updates {
	uint64_t to[8];
	size_t nr;
};

static void record_resent(const void *data, size_t len, void *user)
{
	struct resent_updates *rs = user;
	struct wire_message msg;
	struct store_update n;

	ck_assert(read_store_update(&msg, &n, data, len));
	rs->to[rs->nr++] = n.to.revision;
	release_wire_message(&msg);
}

static bool add_change(struct update_log *ul, uint64_t from, uint64_t until,
		       struct store_entry *e)
{
	struct mirror_update n = { .from = at_revision(from),
				   .to = at_revision(until),
				   .entries = e,
				   .entry_nr = 1 };

	e->mod_revision = until;
	return add_updates(ul, &n, NULL, NULL);
}

/* Receives a heartbeat of NR members of DOMAIN, named after it, at 2000 ms. */
static void receive_domain(const char *domain, uint16_t port, int nr)
{
	for (int i = 0; i < nr; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "%s-%d", domain, i);
		receive_heartbeat(name, domain, (uint16_t)(port + i),
				  HEARTBEAT_READY | HEARTBEAT_SPLIT_FLOWS,
				  2000);
	}
}

static guint count_takeover_members(void)
{
	g_array_set_size(to, 0);
	list_takeover_endpoints(ht, to);
	return to->len;
}

/* Routers choose them for flows of this instance when it is stopped. */
START_TEST(members_that_may_take_over_flows_are_told)
{
	/* a domain of one has no other */
	receive_domain("south", 100, 8);
	ck_assert_uint_eq(count_takeover_members(), 8);
	/* earlier builds do not understand the notice */
	receive_heartbeat("old", "south", 99, HEARTBEAT_READY, 2000);
	ck_assert_uint_eq(count_takeover_members(), 8);
	/*
	 * of a large one the own domain, domains of few members, and two of
	 * each other domain
	 */
	receive_domain("north", 200, TAKEOVER_DOMAIN_MIN);
	receive_domain("west", 300, HEARTBEAT_REMOTE_FLEET_MEMBERS);
	receive_domain("east", 400, TAKEOVER_DOMAIN_MIN);
	ck_assert_uint_eq(count_takeover_members(),
			  2 * TAKEOVER_DOMAIN_MIN + 2 * TAKEOVER_KEEPERS);
	/* members that are dead are not told, but may have been heard before */
	ck_assert(is_member_address(ht,
				    &(struct endpoint){ .family = 4,
							.ip = { 127, 0, 0, 1 },
							.port = 200 }));
	ck_assert(!is_member_address(ht,
				     &(struct endpoint){ .family = 4,
							 .ip = { 127, 0, 0, 1 },
							 .port = 999 }));
	tick(20000);
	ck_assert_uint_eq(count_takeover_members(), 0);
	ck_assert(is_member_address(ht,
				    &(struct endpoint){ .family = 4,
							.ip = { 127, 0, 0, 1 },
							.port = 200 }));
}
END_TEST

START_TEST(all_members_of_a_small_fleet_are_told)
{
	receive_domain("north", 200, 8);
	receive_domain("south", 100, 8);
	ck_assert_uint_eq(count_takeover_members(), 16);
}
END_TEST

START_TEST(members_of_few_in_the_own_domain_tell_all)
{
	receive_domain("north", 200, TAKEOVER_DOMAIN_MIN - 1);
	receive_domain("west", 300, 2 * HEARTBEAT_REMOTE_FLEET_MEMBERS);
	ck_assert_uint_eq(count_takeover_members(),
			  TAKEOVER_DOMAIN_MIN - 1 +
				  2 * HEARTBEAT_REMOTE_FLEET_MEMBERS);
}
END_TEST

START_TEST(neighbours_that_are_asked_are_of_the_own_domain)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct endpoint got[3];

	receive_domain("west", 300, 8);
	ck_assert_uint_eq(pick_neighbours(ht, rand, got, 3), 3);
	/* earlier builds do not understand the question */
	receive_heartbeat("old", "north", 299, HEARTBEAT_READY, 2000);
	ck_assert_uint_eq(pick_neighbours(ht, rand, got, 3), 3);
	ck_assert_uint_ge(got[0].port, 300);
	receive_domain("north", 200, 2);
	ck_assert_uint_eq(pick_neighbours(ht, rand, got, 3), 2);
	ck_assert_uint_lt(got[0].port, 300);
	ck_assert_uint_lt(got[1].port, 300);
	g_rand_free(rand);
}
END_TEST

START_TEST(kept_updates_are_sent_again_on_request)
{
	struct update_log *ul = create_update_log();
	struct store_entry e = { .key = (char *)"k",
				 .value = (void *)"v",
				 .len = 1 };
	struct resent_updates rs = { .nr = 0 };

	ck_assert(!resend_updates(ul, at_revision(10), record_resent, &rs));
	for (uint64_t r = 10; r < 14; r++)
		ck_assert(add_change(ul, r, r + 1, &e));
	ck_assert(resend_updates(ul, at_revision(12), record_resent, &rs));
	ck_assert_uint_eq(rs.nr, 2);
	ck_assert_uint_eq(rs.to[0], 13);
	ck_assert_uint_eq(rs.to[1], 14);
	ck_assert(!resend_updates(ul, at_revision(9), record_resent, &rs));
	clear_updates(ul);
	ck_assert(!resend_updates(ul, at_revision(12), record_resent, &rs));
	destroy_update_log(ul);
}
END_TEST

/* The last datagram that was sent, decoded. */
struct last_sent {
	struct wire_message msg;
	struct store_update n;
	size_t nr;
	uint64_t previous_to; /* to_revision of the datagram before */
};

static void record_sent(const void *data, size_t len, void *user)
{
	struct last_sent *ls = user;

	if (ls->nr++) {
		ls->previous_to = ls->n.to.revision;
		release_wire_message(&ls->msg);
	}
	ck_assert_uint_le(len, UPDATE_DATAGRAM_MAX);
	ck_assert(read_store_update(&ls->msg, &ls->n, data, len));
	if (ls->nr > 1)
		ck_assert_uint_eq(ls->n.from.revision, ls->previous_to);
}

/* Adds ES, the changes from revision FROM to UNTIL; LS gets the datagrams. */
static bool add_changes(struct update_log *ul, uint64_t from, uint64_t until,
			const struct store_entry *es, size_t nr,
			struct last_sent *ls)
{
	struct mirror_update n = { .from = at_revision(from),
				   .to = at_revision(until),
				   .removal_hold_ms = 500,
				   .entries = es,
				   .entry_nr = nr };

	return add_updates(ul, &n, record_sent, ls);
}

START_TEST(long_values_are_omitted_and_long_lists_not_sent)
{
	struct update_log *ul = create_update_log();
	char *value = g_malloc0(UPDATE_VALUE_MAX + 1);
	struct last_sent ls = { .nr = 0 };
	struct store_entry es[8];

	for (int i = 0; i < 8; i++)
		es[i] = (struct store_entry){ .key = (char *)"k",
					      .value = value,
					      .len = UPDATE_VALUE_MAX,
					      .mod_revision = 2 };
	ck_assert(!add_changes(ul, 1, 2, es, 8, &ls));
	ck_assert_uint_eq(ls.nr, 0);
	es[0].len = UPDATE_VALUE_MAX + 1;
	es[0].mod_revision = 3;
	ck_assert(add_changes(ul, 2, 3, es, 1, &ls));
	ck_assert_uint_eq(ls.nr, 1);
	ck_assert_ptr_null(ls.n.entries[0].value);
	ck_assert_int_eq(ls.n.entries[0].encoding, UPDATE_OMITTED);
	ck_assert_uint_eq(ls.n.hold_ms, 500);
	release_wire_message(&ls.msg);
	g_free(value);
	destroy_update_log(ul);
}
END_TEST

START_TEST(many_changes_fit_in_few_datagrams)
{
	enum { NR = 300 };
	struct update_log *ul = create_update_log();
	struct last_sent ls = { .nr = 0 };
	struct store_entry es[NR];
	char value[200] = "";

	/* two changes in each revision, which must share a datagram */
	for (int i = 0; i < NR; i++)
		es[i] = (struct store_entry){ .key = (char *)"servers/u",
					      .value = value,
					      .len = sizeof(value),
					      .mod_revision = 11 + i / 2 };
	ck_assert(add_changes(ul, 10, 400, es, NR, &ls));
	ck_assert_uint_eq(ls.n.to.revision, 400);
	ck_assert_uint_eq(ls.n.entries[ls.n.nr - 1].revision, 10 + NR / 2);
	ck_assert_uint_eq(ls.n.nr % 2, 0);
	ck_assert_uint_le(ls.nr, NR * 250 / (UPDATE_DATAGRAM_MAX - 500));
	release_wire_message(&ls.msg);
	destroy_update_log(ul);
}
END_TEST

START_TEST(a_changed_long_value_is_sent_as_a_difference)
{
	struct update_log *ul = create_update_log();
	struct last_sent ls = { .nr = 0 };
	GString *old = g_string_new(NULL);
	GString *new;
	struct mirror_entry base = { .revision = 7 };
	struct store_entry e = { .key = (char *)"config", .mod_revision = 9 };
	struct mirror_update n = { .from = { 0, 8 },
				   .to = { 0, 9 },
				   .entries = &e,
				   .entry_nr = 1,
				   .bases = &base };
	GBytes *got;

	for (int i = 0; i < 400; i++)
		g_string_append_printf(old, "{\"route\":\"r-%x\"},",
				       i * 2654435761u);
	new = g_string_new_len(old->str, (gssize)old->len);
	g_string_insert(new, 3000, "{\"route\":\"new\"},");
	base.value = old->str;
	base.len = old->len;
	e.value = new->str;
	e.len = new->len;
	ck_assert(add_updates(ul, &n, record_sent, &ls));
	ck_assert_int_eq(ls.n.entries[0].encoding, UPDATE_PATCH);
	ck_assert_uint_eq(ls.n.entries[0].base_revision, 7);
	got = apply_patch(old->str, old->len, ls.n.entries[0].value,
			  ls.n.entries[0].len, UPDATE_PATCHED_MAX);
	ck_assert_ptr_nonnull(got);
	ck_assert_uint_eq(g_bytes_get_size(got), new->len);
	ck_assert_int_eq(
		memcmp(g_bytes_get_data(got, NULL), new->str, new->len), 0);
	g_bytes_unref(got);
	release_wire_message(&ls.msg);
	g_string_free(old, TRUE);
	g_string_free(new, TRUE);
	destroy_update_log(ul);
}
END_TEST

/* An instance resends a received datagram with the same bytes. */
START_TEST(a_received_datagram_is_sent_again_unchanged)
{
	struct update_log *ul = create_update_log();
	struct update_log *other = create_update_log();
	struct store_entry e = { .key = (char *)"config", .mod_revision = 2 };
	struct last_sent ls = { .nr = 0 };
	struct last_sent again = { .nr = 0 };
	struct wire_writer w;

	ck_assert(add_changes(ul, 1, 2, &e, 1, &ls));
	ck_assert_int_eq(ls.n.entries[0].encoding, UPDATE_OMITTED);
	init_wire_writer(&w);
	write_update_control(&w, UPDATE_REQUEST,
			     at_revision(1)); /* any bytes */
	keep_update(other, &ls.n, w.buf.data, w.buf.size);
	ck_assert(resend_updates(other, at_revision(1), record_sent, &again));
	ck_assert_int_eq(again.n.format, UPDATE_REQUEST);
	release_wire_writer(&w);
	release_wire_message(&again.msg);
	release_wire_message(&ls.msg);
	destroy_update_log(other);
	destroy_update_log(ul);
}
END_TEST

START_TEST(requests_go_to_members_ahead_in_the_own_domain_first)
{
	GRand *rand = g_rand_new_with_seed(20261204);
	unsigned int picked[6] = { 0 };
	struct endpoint at;

	ck_assert(!pick_member_ahead(ht, at_revision(7), rand, &at));
	receive_revision("far", "south", 5, 9, 1000);
	ck_assert(pick_member_ahead(ht, at_revision(7), rand, &at));
	receive_revision("b", "north", 2, 8, 1000);
	receive_revision("c", "north", 3, 9, 1000);
	receive_revision("d", "north", 4, 7, 1000);
	for (int i = 0; i < 200; i++) {
		ck_assert(pick_member_ahead(ht, at_revision(7), rand, &at));
		picked[at.port]++;
	}
	ck_assert_uint_gt(picked[2], 60);
	ck_assert_uint_gt(picked[3], 60);
	ck_assert_uint_eq(picked[2] + picked[3], 200);
	g_rand_free(rand);
}
END_TEST

/* A SYN must not go to one that would refuse it, too, or is not ready. */
START_TEST(member_with_a_later_configuration_is_picked_if_it_is_ready)
{
	GRand *rand = g_rand_new_with_seed(20261208);
	struct heartbeat_message hm = { .member = make_member("b", "north", 2),
					.config_version = 7 };
	struct endpoint at;

	handle_heartbeat(ht, &hm, 1000);
	ck_assert(!pick_member_configured_after(ht, 6, rand, &at));
	hm.flags = HEARTBEAT_READY;
	handle_heartbeat(ht, &hm, 1010);
	ck_assert(!pick_member_configured_after(ht, 7, rand, &at));
	ck_assert(pick_member_configured_after(ht, 6, rand, &at));
	ck_assert_uint_eq(at.port, 2);
	g_rand_free(rand);
}
END_TEST

/* Relayed at random, most packets with marks came to members that dropped them. */
START_TEST(packet_of_an_unknown_flow_goes_to_who_knows_then_to_neighbours)
{
	GRand *rand = g_rand_new_with_seed(20261208);
	struct heartbeat_message hm = { .flags = HEARTBEAT_READY };
	struct endpoint at[4];

	hm.member = make_member("b", "north", 2);
	handle_heartbeat(ht, &hm, 1000);
	hm.member = make_member("c", "south", 3);
	handle_heartbeat(ht, &hm, 1000);
	ck_assert_uint_eq(pick_knowing_members(ht, rand, at, 1), 1);
	ck_assert_uint_eq(at[0].port, 2);
	hm.flags |= HEARTBEAT_KNOWS_SPLIT_FLOWS;
	hm.member = make_member("d", "south", 4);
	handle_heartbeat(ht, &hm, 1000);
	ck_assert_uint_eq(pick_knowing_members(ht, rand, at, 4), 3);
	ck_assert_uint_eq(at[0].port, 4);
	ck_assert_uint_eq(at[1].port, 2);
	ck_assert_uint_eq(at[2].port, 3);
	ck_assert(knows_split_flows(ht, &at[0]));
	ck_assert(!knows_split_flows(ht, &at[1]));
	g_rand_free(rand);
}
END_TEST

START_TEST(a_large_domain_delays_the_store_reader_role)
{
	char name[8];

	for (unsigned int i = 2; i < 60; i++) {
		g_snprintf(name, sizeof(name), "m%u", i);
		receive_heartbeat(name, "north", (uint8_t)i, 0, 1000);
	}
	ck_assert(!should_read_store(ht, 1000 + STORE_READER_DELAY_MS));
	ck_assert(!should_read_store(ht, 1000 + 900));
}
END_TEST

/* The parts of the differences after a restore form a chain. */
START_TEST(differences_after_a_restore_lead_to_its_position)
{
	enum { NR = 90 };
	struct update_log *ul = create_update_log();
	struct resent_updates rs = { 0 };
	struct store_entry es[NR];
	char keys[NR][32];
	struct mirror_update n = { .from = { 3, 500 },
				   .to = { 4, 400 },
				   .restored = true,
				   .entries = es,
				   .entry_nr = NR };

	for (int i = 0; i < NR; i++) {
		g_snprintf(keys[i], sizeof(keys[i]), "servers/i-%d", i);
		es[i] = (struct store_entry){ .key = keys[i],
					      .mod_revision = 399,
					      .deleted = true };
	}
	ck_assert(add_updates(ul, &n, NULL, NULL));
	/* one that was in step before gets all, one that is ahead nothing */
	ck_assert(resend_updates(ul, (struct store_position){ 3, 500 },
				 record_resent, &rs));
	ck_assert_uint_ge(rs.nr, 3);
	ck_assert_uint_eq(rs.to[0], 1);
	ck_assert_uint_eq(rs.to[1], 2);
	ck_assert_uint_eq(rs.to[rs.nr - 1], 400);
	rs.nr = 0;
	ck_assert(resend_updates(ul, (struct store_position){ 4, 400 },
				 record_resent, &rs));
	ck_assert_uint_eq(rs.nr, 0);
	ck_assert(!resend_updates(ul, (struct store_position){ 3, 499 },
				  record_resent, &rs));
	destroy_update_log(ul);
}
END_TEST

/*
 * Members that started together would all send to a member of another domain in
 * the same round, and leave it without a heartbeat for the next five.
 */
START_TEST(heartbeats_of_a_domain_are_spread_over_rounds)
{
	struct member receiver = make_member("r", "south", 99);
	struct endpoint at = member_endpoint(&receiver);
	unsigned int by_round[HEARTBEAT_REMOTE_FACTOR] = { 0 };
	const unsigned int members = 24;

	for (unsigned int i = 0; i < members; i++) {
		char name[16];
		struct member self;
		struct view *v;
		struct heartbeat_tracker *sender;

		g_snprintf(name, sizeof(name), "n%u", i);
		self = make_member(name, "north", (uint16_t)(1 + i));
		v = create_view(self.id);
		sender = create_heartbeat_tracker(&self, v, 1000);
		add_heartbeat_address(sender, &at);
		set_view_member(v, &receiver);
		for (unsigned int k = 0; k < members; k++) {
			struct member m;

			g_snprintf(name, sizeof(name), "n%u", k);
			m = make_member(name, "north", (uint16_t)(1 + k));
			set_view_member(v, &m);
		}
		for (unsigned int round = 0; round < HEARTBEAT_REMOTE_FACTOR;
		     round++) {
			g_array_set_size(to, 0);
			ck_assert(tick_heartbeats(sender, 2000 + 1000 * round,
						  false, to));
			by_round[round] += to->len;
		}
		destroy_heartbeat_tracker(sender);
		destroy_view(v);
	}
	for (unsigned int round = 0; round < HEARTBEAT_REMOTE_FACTOR; round++)
		ck_assert_uint_ge(by_round[round], 1);
}
END_TEST

START_TEST(no_update_message_is_taken_for_a_heartbeat)
{
	static const enum peer_format formats[] = { UPDATE_REQUEST,
						    UPDATE_NOT_KEPT,
						    UPDATE_HELD_REQUEST };

	for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
		struct wire_writer w;
		struct wire_message msg;
		struct store_update n;
		const uint8_t *data;

		init_wire_writer(&w);
		write_update_control(&w, formats[i], at_revision(5));
		data = (const uint8_t *)w.buf.data;
		ck_assert(!is_heartbeat(data, w.buf.size));
		ck_assert(read_store_update(&msg, &n, data, w.buf.size));
		release_wire_message(&msg);
		release_wire_writer(&w);
	}
}
END_TEST

static void keep_last_datagram(const void *data, size_t len, void *user)
{
	GByteArray *bytes = user;

	g_byte_array_set_size(bytes, 0);
	g_byte_array_append(bytes, data, (guint)len);
}

START_TEST(held_records_are_told_with_what_is_left)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_record));
	GByteArray *bytes = g_byte_array_new();
	struct held_record out = { "op/evacuate/north", true, 1234 };
	struct held_record left = { "servers/i-1", false, 0 };
	struct wire_message msg;
	struct store_update n;

	g_array_append_val(held, out);
	g_array_append_val(held, left);
	write_held_records((struct store_position){ 4, 9 }, held,
			   keep_last_datagram, bytes);
	ck_assert(read_store_update(&msg, &n, bytes->data, bytes->len));
	ck_assert_int_eq(n.format, UPDATE_HELD);
	ck_assert_uint_eq(n.from.era, 4);
	ck_assert_uint_eq(n.hold_ms, 0);
	ck_assert_uint_eq(n.nr, 2);
	ck_assert_str_eq(n.entries[0].key, out.key);
	ck_assert_int_eq(n.entries[0].encoding, UPDATE_OMITTED);
	ck_assert_uint_eq(n.entries[0].base_revision, 1234);
	ck_assert_int_eq(n.entries[1].encoding, UPDATE_REMOVED);
	release_wire_message(&msg);
	g_array_set_size(held, 0);
	write_held_records((struct store_position){ 4, 9 }, held,
			   keep_last_datagram, bytes);
	ck_assert(read_store_update(&msg, &n, bytes->data, bytes->len));
	ck_assert_uint_eq(n.nr, 0);
	release_wire_message(&msg);
	g_byte_array_free(bytes, TRUE);
	g_array_free(held, TRUE);
}
END_TEST

static struct heard_domain find_heard(const char *name)
{
	GArray *heard = g_array_new(FALSE, FALSE, sizeof(struct heard_domain));
	struct heard_domain found = { 0 };

	list_heard_domains(ht, heard);
	for (guint i = 0; i < heard->len; i++) {
		const struct heard_domain *hd =
			&g_array_index(heard, struct heard_domain, i);

		if (!strcmp(hd->name, name))
			found = *hd;
	}
	g_array_free(heard, TRUE);
	return found;
}

static void receive_from_domain(const char *domain, size_t members,
				uint64_t now_ms)
{
	for (size_t i = 0; i < members; i++) {
		char *name = g_strdup_printf("%s-%zu", domain, i);

		receive_heartbeat(name, domain, (uint16_t)(100 + i), 0, now_ms);
		g_free(name);
	}
}

/* A wrong expectation would find links cut that are not, or find cuts late. */
START_TEST(each_domain_has_its_expected_interval)
{
	ck_assert_uint_eq(find_heard("south").last_heard_ms, 0);
	receive_from_domain("south", 3, 2000);
	receive_from_domain("north", 1, 2010);
	ck_assert_uint_eq(find_heard("south").last_heard_ms, 2000);
	ck_assert_uint_eq(find_heard("south").expected_ms,
			  HEARTBEAT_INTERVAL_MS / 3);
	ck_assert_uint_eq(find_heard("north").last_heard_ms, 2010);
	ck_assert_uint_eq(find_heard("north").expected_ms,
			  HEARTBEAT_INTERVAL_MS);
	/* members that are dead are not expected to send */
	tick(2000 + HEARTBEAT_DEAD_MISSES * HEARTBEAT_INTERVAL_MS + 1);
	ck_assert_uint_eq(find_heard("south").expected_ms, 0);
	ck_assert_uint_eq(find_heard("south").last_heard_ms, 2000);
}
END_TEST

START_TEST(members_of_large_fleets_are_heard_less_often)
{
	receive_from_domain("south", 20, 2000);
	ck_assert_uint_eq(
		find_heard("south").expected_ms,
		(HEARTBEAT_INTERVAL_MS + HEARTBEAT_PER_MEMBER_MS * 10) *
			HEARTBEAT_REMOTE_FACTOR / 20);
	receive_from_domain("north", 19, 2000);
	ck_assert_uint_eq(
		find_heard("north").expected_ms,
		(HEARTBEAT_INTERVAL_MS + HEARTBEAT_PER_MEMBER_MS * 10) / 19);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("heartbeat");
	TCase *tc = tcase_create("heartbeat");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_heartbeat_is_read_as_written_and_refused_if_cut);
	tcase_add_test(tc, a_silent_member_is_dead_until_its_next_heartbeat);
	tcase_add_test(tc, silent_addresses_get_few_heartbeats);
	tcase_add_test(tc, a_live_member_gets_every_heartbeat);
	tcase_add_test(tc, urgent_heartbeats_do_not_wait_for_the_interval);
	tcase_add_test(tc, no_store_reader_before_peers_can_be_heard);
	tcase_add_test(tc, a_domain_with_a_working_store_reader_needs_no_other);
	tcase_add_test(tc, a_lone_domain_has_two_store_readers);
	tcase_add_test(tc, a_store_reader_without_the_store_is_replaced);
	tcase_add_test(tc, members_take_the_place_of_store_readers_by_and_by);
	tcase_add_test(tc, a_silent_store_reader_is_replaced);
	tcase_add_test(tc, a_pause_unsettles_the_view);
	tcase_add_test(tc, relays_are_ready_and_not_leaving);
	tcase_add_test(tc, kept_updates_are_sent_again_on_request);
	tcase_add_test(tc, long_values_are_omitted_and_long_lists_not_sent);
	tcase_add_test(tc, a_changed_long_value_is_sent_as_a_difference);
	tcase_add_test(tc, a_received_datagram_is_sent_again_unchanged);
	tcase_add_test(tc, many_changes_fit_in_few_datagrams);
	tcase_add_test(tc,
		       requests_go_to_members_ahead_in_the_own_domain_first);
	tcase_add_test(
		tc, member_with_a_later_configuration_is_picked_if_it_is_ready);
	tcase_add_test(
		tc,
		packet_of_an_unknown_flow_goes_to_who_knows_then_to_neighbours);
	tcase_add_test(tc, a_large_domain_delays_the_store_reader_role);
	tcase_add_test(tc, differences_after_a_restore_lead_to_its_position);
	tcase_add_test(tc, heartbeats_of_a_domain_are_spread_over_rounds);
	tcase_add_test(tc, no_update_message_is_taken_for_a_heartbeat);
	tcase_add_test(tc, held_records_are_told_with_what_is_left);
	tcase_add_test(tc, each_domain_has_its_expected_interval);
	tcase_add_test(tc, members_of_large_fleets_are_heard_less_often);
	tcase_add_test(tc, members_that_may_take_over_flows_are_told);
	tcase_add_test(tc, all_members_of_a_small_fleet_are_told);
	tcase_add_test(tc, members_of_few_in_the_own_domain_tell_all);
	tcase_add_test(tc, neighbours_that_are_asked_are_of_the_own_domain);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
