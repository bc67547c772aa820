/* Tests of cookie steering: verdicts on packets, also while upstreams fail. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "flow/domain-link.h"
#include "flow/in-flight.h"
#include "flow/syn-queue.h"
#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */

static struct cookie_instance in;
static GArray *resets;
static GArray *released;

static void setup(void)
{
	init_cookie_instance(&in, "front-1", "north");
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
	released = g_array_new(FALSE, FALSE, sizeof(struct released_syn));
}

static void teardown(void)
{
	release_cookie_instance(&in);
	g_array_free(resets, TRUE);
	g_array_free(released, TRUE);
}

static upstream_index_t put_upstream(const char *name, uint64_t now_ms)
{
	struct upstream_report r = make_upstream_report(name, "north");

	return put_test_upstream(&in, &r, now_ms);
}

static struct cookie_decision send_syn(uint16_t port, uint32_t copy,
				       uint64_t now_ms)
{
	struct cookie_packet p = make_cookie_packet(CALLER, port, TCP_SYN, 0);

	p.ack = copy;
	return steer_cookie_packet(in.steering, &p, false, now_ms);
}

/* Sends a packet with LEN bytes of data at SEQ. */
static struct cookie_decision send_data(uint16_t port, uint32_t cookie,
					uint32_t seq, uint16_t len,
					uint32_t ack, uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, port, TCP_ACK, cookie);

	p.seq = seq;
	p.payload_len = len;
	p.ack = ack;
	return steer_cookie_packet(in.steering, &p, false, now_ms);
}

/* Opens a flow from PORT and sends a request; returns its upstream. */
static upstream_index_t open_flow(uint16_t port, uint64_t now_ms)
{
	struct cookie_decision d = send_syn(port, 0, now_ms);

	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	send_data(port, d.cookie, 1001, 0, 500, now_ms + 8);
	send_data(port, d.cookie, 1001, 100, 500, now_ms + 9);
	return d.upstream;
}

/* Opens a flow from PORT at UP, the only upstream, at 1000 ms; returns UP. */
static upstream_index_t open_flow_at(upstream_index_t up, uint16_t port)
{
	ck_assert_uint_eq(open_flow(port, 1000), up);
	return up;
}

START_TEST(cookie_selects_upstream_without_flow_state)
{
	struct cookie_instance other;
	struct upstream_report r = make_upstream_report("u-a", "north");
	struct cookie_packet p;
	struct cookie_decision d;
	uint32_t cookie = make_cookie(r.id);

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	init_cookie_instance(&other, "front-2", "south");
	put_test_upstream(&other, &r, 0);
	p = make_cookie_packet(CALLER, 4000, TCP_ACK, cookie);
	d = steer_cookie_packet(other.steering, &p, false, 1000);
	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(get_upstream(other.catalog, d.upstream)->report.id,
			  r.id);
	release_cookie_instance(&other);
}
END_TEST

START_TEST(unknown_cookie_is_relayed_only_once)
{
	struct cookie_packet p = make_cookie_packet(CALLER, 4000, TCP_ACK, 99);

	put_upstream("u-a", 0);
	ck_assert_int_eq(
		steer_cookie_packet(in.steering, &p, false, 10).verdict,
		COOKIE_TO_PEER);
	ck_assert_int_eq(steer_cookie_packet(in.steering, &p, true, 10).verdict,
			 COOKIE_DROP);
}
END_TEST

/* After one lost answer two upstreams would have the flow. */
START_TEST(only_second_copy_of_a_syn_goes_to_another_upstream)
{
	struct cookie_decision first;
	struct cookie_decision second;
	struct cookie_decision third;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4000, 0, 1000);
	second = send_syn(4000, 1, 1200);
	third = send_syn(4000, 2, 1600);
	ck_assert_int_eq(second.reason, COOKIE_REOPENED);
	ck_assert_uint_eq(first.upstream, second.upstream);
	ck_assert_int_eq(third.reason, COOKIE_REOPENED);
	ck_assert_uint_ne(first.upstream, third.upstream);
}
END_TEST

START_TEST(first_copy_of_a_syn_leaves_a_draining_upstream)
{
	struct upstream_report r;
	struct cookie_decision first;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4000, 0, 1000);
	r = get_upstream(in.catalog, first.upstream)->report;
	r.draining = true;
	put_test_upstream(&in, &r, 1100);
	ck_assert_uint_ne(send_syn(4000, 1, 1200).upstream, first.upstream);
}
END_TEST

START_TEST(retransmitted_syn_stays_with_answering_upstream)
{
	struct cookie_decision first;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4000, 0, 1000);
	note_upstream_alive(in.placer, first.upstream, 1100);
	ck_assert_uint_eq(send_syn(4000, 1, 1200).upstream, first.upstream);
}
END_TEST

START_TEST(retransmitted_syn_leaves_an_upstream_found_dead)
{
	struct cookie_decision first;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4000, 0, 1000);
	note_upstream_alive(in.placer, first.upstream, 1010);
	note_upstream_silent(in.placer, first.upstream, 1020, 1100);
	note_check_result(in.placer, first.upstream, CHECK_REFUSED, 1150);
	ck_assert_uint_ne(send_syn(4000, 1, 1200).upstream, first.upstream);
}
END_TEST

START_TEST(late_answer_to_a_syn_copy_does_not_move_flow)
{
	struct cookie_decision first;
	struct cookie_decision second;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4000, 0, 600);
	send_syn(4000, 1, 800);
	second = send_syn(4000, 2, 1200);
	ck_assert_uint_ne(first.upstream, second.upstream);
	ck_assert_uint_eq(
		send_data(4000, first.cookie, 1001, 0, 500, 1210).upstream,
		first.upstream);
	ck_assert_uint_eq(
		send_data(4000, second.cookie, 1001, 10, 500, 1220).upstream,
		first.upstream);
	ck_assert_uint_eq(
		send_data(4000, second.cookie, 1001, 10, 500, 1220).cookie,
		first.cookie);
}
END_TEST

/* Its numbers were near those of a flow that had ended, by chance. */
START_TEST(later_flow_inherits_nothing_of_one_that_ended)
{
	upstream_index_t open = open_flow_at(put_upstream("u-a", 0), 4000);
	upstream_index_t later = put_upstream("u-b", 1020);
	struct cookie_packet fin =
		make_cookie_packet(CALLER, 4000, TCP_ACK | TCP_FIN,
				   get_upstream(in.catalog, open)->cookie);

	fin.seq = 1101;
	fin.ack = 900;
	steer_cookie_packet(in.steering, &fin, false, 1100);
	/* a late packet of the flow itself */
	ck_assert_uint_eq(send_data(4000,
				    get_upstream(in.catalog, open)->cookie,
				    1001, 100, 900, 1200)
				  .upstream,
			  open);
	if (_i) {
		ck_assert_int_eq(send_syn(4000, 0, 2000).reason,
				 COOKIE_LATE_COPY);
		fin = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);
		fin.seq = 3000;
		ck_assert_int_eq(
			steer_cookie_packet(in.steering, &fin, false, 2100)
				.reason,
			COOKIE_OPENED);
		return;
	}
	ck_assert_uint_eq(send_data(4000,
				    get_upstream(in.catalog, later)->cookie,
				    3001, 100, 900000, 2200)
				  .upstream,
			  later);
}
END_TEST

/* Routers sent a copy of the SYN to another instance, which chose u-a. */
START_TEST(late_answer_to_a_syn_of_another_instance_does_not_move_flow)
{
	upstream_index_t here = put_upstream("u-b", 0);
	upstream_index_t there;
	upstream_index_t open;
	upstream_index_t late;
	struct cookie_decision d;

	ck_assert_uint_eq(send_syn(4000, 1, 1200).upstream, here);
	there = put_upstream("u-a", 1201);
	open = _i ? there : here;
	late = _i ? here : there;
	d = send_data(4000, get_upstream(in.catalog, open)->cookie, 1001, 0,
		      500, 1210);
	ck_assert_uint_eq(d.upstream, open);
	d = send_data(4000, get_upstream(in.catalog, late)->cookie, 1001, 100,
		      500, 1212);
	ck_assert_uint_eq(d.upstream, open);
	ck_assert_uint_eq(d.cookie, get_upstream(in.catalog, open)->cookie);
}
END_TEST

START_TEST(late_answer_does_not_move_a_flow_that_made_progress)
{
	upstream_index_t open = put_upstream("u-a", 0);
	upstream_index_t late = put_upstream("u-b", 0);
	uint32_t cookie = get_upstream(in.catalog, open)->cookie;

	send_data(4000, cookie, 2001, 100, 9000, 1000);
	send_data(4000, cookie, 2101, 0, 10200, 1060);
	ck_assert_uint_eq(send_data(4000,
				    get_upstream(in.catalog, late)->cookie,
				    2101, 100, 10200, 1100)
				  .upstream,
			  open);
}
END_TEST

START_TEST(late_answer_of_a_dead_upstream_resets_no_flow)
{
	upstream_index_t open = open_flow_at(put_upstream("u-a", 0), 4000);
	upstream_index_t late = put_upstream("u-b", 1020);
	struct cookie_decision d;

	note_upstream_silent(in.placer, late, 1020, 1030);
	note_check_result(in.placer, late, CHECK_REFUSED, 1040);
	ck_assert_int_eq(assessed_health(in.placer, late), HEALTH_DEAD);
	d = send_data(4000, get_upstream(in.catalog, late)->cookie, 1101, 0,
		      500, 1050);
	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(d.upstream, open);
}
END_TEST

START_TEST(late_answer_of_an_unknown_upstream_does_not_move_flow)
{
	upstream_index_t open = open_flow_at(put_upstream("u-a", 0), 4000);
	struct cookie_decision d = send_data(4000, 99, 1101, 0, 500, 1050);

	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(d.upstream, open);
}
END_TEST

START_TEST(packet_far_from_the_known_flow_belongs_to_another)
{
	upstream_index_t next;
	struct cookie_decision d;

	open_flow_at(put_upstream("u-a", 0), 4000);
	next = put_upstream("u-b", 1020);
	d = send_data(4000, get_upstream(in.catalog, next)->cookie,
		      1101 + COOKIE_SEQ_WINDOW + 1, 0, 70000, 1050);
	ck_assert_uint_eq(d.upstream, next);
	ck_assert(d.moved_in);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 1);
}
END_TEST

START_TEST(syn_far_from_the_known_flow_opens_another)
{
	struct cookie_packet p = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);

	put_upstream("u-a", 0);
	send_syn(4000, 0, 1000);
	p.seq += COOKIE_SEQ_WINDOW + 2;
	ck_assert_int_eq(
		steer_cookie_packet(in.steering, &p, false, 1010).reason,
		COOKIE_OPENED);
}
END_TEST

/* Such a copy arrived after the acknowledgment of the SYN+ACK. */
START_TEST(late_copy_of_the_syn_of_an_open_flow_is_not_placed)
{
	upstream_index_t open = open_flow_at(put_upstream("u-a", 0), 4000);

	put_upstream("u-b", 0);
	ck_assert_int_eq(send_syn(4000, 1, 1020).verdict, COOKIE_DROP);
	ck_assert_uint_eq(send_data(4000, 0, 1101, 0, 500, 1030).upstream,
			  open);
}
END_TEST

/*
 * A dead upstream resets SYNs at once and has no load, so that placement by
 * load alone would choose it for each retry, within milliseconds, until the
 * caller's attempts are used up.
 */
/* Against two upstreams with one flow after a delay shorter than a copy's. */
START_TEST(copy_read_right_after_its_syn_goes_to_no_other_upstream)
{
	struct cookie_decision first;
	struct cookie_decision second;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	first = send_syn(4001, 0, 1000);
	second = send_syn(4001, 1, 1000);
	ck_assert_int_eq(second.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(second.upstream, first.upstream);
	second = send_syn(4001, 1, 1000 + COOKIE_HANDSHAKE_LIMIT_MIN_MS);
	ck_assert_uint_eq(second.upstream, first.upstream);
	/* the answer is overdue */
	second = send_syn(4001, 2, 1200);
	ck_assert_uint_ne(second.upstream, first.upstream);
}
END_TEST

/* Against two upstreams with one flow after a pause of the process. */
START_TEST(syn_read_after_its_copy_was_sent_is_not_placed)
{
	static const uint32_t intervals_ms[] = { 200, 400, 800 };

	put_upstream("u-a", 0);
	for (uint32_t copy = 0; copy < G_N_ELEMENTS(intervals_ms); copy++) {
		uint16_t port = (uint16_t)(4000 + copy);
		struct cookie_packet p =
			make_cookie_packet(CALLER, port, TCP_SYN, 0);
		struct cookie_decision d;

		p.ack = copy;
		p.age_ms = intervals_ms[copy];
		d = steer_cookie_packet(in.steering, &p, false, 9000);
		ck_assert_int_eq(d.verdict, COOKIE_DROP);
		ck_assert_int_eq(d.reason, COOKIE_STALE_SYN);
		p.age_ms--;
		d = steer_cookie_packet(in.steering, &p, false, 9000);
		ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	}
	ck_assert_uint_eq(in.counters.value[COUNT_FLOW_STALE_SYN],
			  G_N_ELEMENTS(intervals_ms));
	ck_assert_uint_eq(cookie_flow_count(in.steering), 3);
}
END_TEST

START_TEST(immediate_retry_avoids_dead_upstream)
{
	struct upstream_load_row busy[3];
	upstream_index_t dead = put_upstream("u-a", 0);

	/* all upstreams but the dead one have load */
	for (int i = 0; i < 3; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "u-%c", 'b' + i);
		busy[i] = (struct upstream_load_row){
			get_upstream(in.catalog, put_upstream(name, 0))->cookie,
			4 * IN_FLIGHT_WEIGHT_ONE,
			4 * IN_FLIGHT_WEIGHT_ONE,
			50,
			HEALTH_GOOD,
			0
		};
	}
	handle_peer_loads(in.placer, 77, busy, 3, 1000);
	ck_assert_uint_eq(send_syn(4000, 0, 1000).upstream, dead);
	ck_assert_uint_ne(send_syn(4001, 0, 1008).upstream, dead);
	ck_assert_uint_ne(send_syn(4002, 0, 1016).upstream, dead);
}
END_TEST

START_TEST(overdue_handshake_makes_upstream_suspect)
{
	upstream_index_t bad;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	tick_cookie_steering(in.steering, 999);
	bad = send_syn(4000, 0, 1000).upstream;
	tick_cookie_steering(in.steering,
			     1000 + COOKIE_HANDSHAKE_LIMIT_MIN_MS - 1);
	ck_assert_int_eq(assessed_health(in.placer, bad), HEALTH_GOOD);
	tick_cookie_steering(in.steering,
			     1000 + COOKIE_HANDSHAKE_LIMIT_FACTOR *
					     COOKIE_HANDSHAKE_INITIAL_MS);
	ck_assert_int_eq(assessed_health(in.placer, bad), HEALTH_SUSPECTED);
	/* flows of other callers are not placed on it either */
	for (uint32_t i = 1; i < 20; i++) {
		struct cookie_packet p =
			make_cookie_packet(CALLER + i, 4000, TCP_SYN, 0);

		ck_assert_uint_ne(
			steer_cookie_packet(in.steering, &p, false, 1100)
				.upstream,
			bad);
	}
}
END_TEST

START_TEST(delayed_tick_makes_no_upstream_suspect)
{
	upstream_index_t nr;

	put_upstream("u-a", 0);
	tick_cookie_steering(in.steering, 990);
	nr = send_syn(4000, 0, 1000).upstream;
	tick_cookie_steering(in.steering, 4000);
	tick_cookie_steering(in.steering, 4010);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_GOOD);
}
END_TEST

START_TEST(slow_answer_makes_no_upstream_suspect)
{
	upstream_index_t nr;

	put_upstream("u-a", 0);
	nr = open_flow(4000, 1000);
	tick_cookie_steering(in.steering, 2900);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_GOOD);
}
END_TEST

START_TEST(retransmitted_data_makes_upstream_suspect)
{
	upstream_index_t nr;
	uint32_t cookie;

	nr = put_upstream("u-a", 0);
	cookie = get_upstream(in.catalog, nr)->cookie;
	open_flow(4000, 1000);
	send_data(4000, cookie, 1001, 100, 500, 1209);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_SUSPECTED);
	send_data(4000, cookie, 1101, 0, 900, 1300);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_GOOD);
}
END_TEST

/* Sends the first packet seen here of an open flow; it has data. */
static void receive_moved_flow(uint16_t port, upstream_index_t nr,
			       uint64_t now_ms)
{
	send_data(port, get_upstream(in.catalog, nr)->cookie, 1001, 100, 500,
		  now_ms);
}

START_TEST(moved_flow_makes_only_quiet_upstream_suspect)
{
	upstream_index_t nr = put_upstream("u-a", 0);

	/* no sign of life is known yet, as when an instance has just started */
	receive_moved_flow(4000, nr, 1000);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_GOOD);
	note_upstream_alive(in.placer, nr, 1000);
	receive_moved_flow(4001, nr, 1000 + PLACEMENT_QUIET_MS);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_GOOD);
	receive_moved_flow(4002, nr, 1001 + PLACEMENT_QUIET_MS);
	ck_assert_int_eq(assessed_health(in.placer, nr), HEALTH_SUSPECTED);
}
END_TEST

START_TEST(all_flows_of_dead_upstream_are_reset)
{
	upstream_index_t nr;

	put_upstream("u-a", 0);
	nr = open_flow(4000, 1000);
	open_flow(4001, 1000);
	note_check_result(in.placer, nr, CHECK_REFUSED, 1500);
	end_upstream_flows(in.steering, nr, 1500, resets);
	ck_assert_uint_eq(resets->len, 2);
	for (guint i = 0; i < 2; i++) {
		const struct cookie_reset *r =
			&g_array_index(resets, struct cookie_reset, i);

		ck_assert_uint_eq(r->seq, 500);
		ck_assert_uint_eq(r->waited_ms, 491);
	}
	ck_assert_uint_eq(cookie_flow_count(in.steering), 0);
}
END_TEST

START_TEST(no_flow_of_suspect_upstream_is_reset)
{
	upstream_index_t nr;
	uint32_t cookie;

	nr = put_upstream("u-a", 0);
	cookie = get_upstream(in.catalog, nr)->cookie;
	open_flow(4000, 1000);
	for (uint64_t t = 1200; t < 5000; t += 200)
		ck_assert_int_eq(
			send_data(4000, cookie, 1001, 100, 500, t).verdict,
			COOKIE_TO_UPSTREAM);
	note_check_result(in.placer, nr, CHECK_SILENT, 5000);
	ck_assert_int_eq(send_data(4000, cookie, 1001, 100, 500, 5100).verdict,
			 COOKIE_TO_UPSTREAM);
	note_check_result(in.placer, nr, CHECK_UNREACHABLE, 5200);
	ck_assert_int_eq(send_data(4000, cookie, 1001, 100, 500, 5300).verdict,
			 COOKIE_TO_UPSTREAM);
}
END_TEST

/* Guards against verdicts on upstreams whose checks wait in the own link. */
START_TEST(checks_queued_on_the_own_link_reset_no_flow)
{
	enum { QUEUED_MS = 410, CONNECT_MS = 350 };
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	upstream_index_t idle;
	upstream_index_t busy;
	uint64_t started_ms = 0;
	uint32_t requests = 0;

	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	idle = open_flow(4000, 1000);
	busy = open_flow(4001, 1000);
	ck_assert_uint_ne(idle, busy);
	send_data(4000, get_upstream(in.catalog, idle)->cookie, 1101, 0, 900,
		  1060);
	note_upstream_silent(in.placer, idle, 1975, 2000);
	for (uint64_t t = 2000; t < 6000; t += 10) {
		/* the answer to the request before, and the next one */
		if (!((t - 2000) % QUEUED_MS)) {
			send_data(4001, get_upstream(in.catalog, busy)->cookie,
				  1101 + 100 * requests, 100,
				  900 + 100 * requests, t);
			requests++;
		}
		if (started_ms && t == started_ms + CONNECT_MS) {
			started_ms = 0;
			note_check_result(in.placer, idle, CHECK_UNREACHABLE,
					  t);
		}
		g_array_set_size(checks, 0);
		tick_placer(in.placer, t, checks);
		if (checks->len)
			started_ms = t;
		ck_assert_int_eq(assessed_health(in.placer, idle),
				 HEALTH_SUSPECTED);
	}
	ck_assert_uint_gt(requests, 0);
	g_array_free(checks, TRUE);
}
END_TEST

/* Guards against verdicts that nobody renews, as the entry has lapsed. */
START_TEST(old_verdict_on_unlisted_upstream_resets_no_flow)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	upstream_index_t nr = put_upstream("u-a", 0);
	uint32_t cookie = get_upstream(in.catalog, nr)->cookie;

	open_flow(4000, 1000);
	note_upstream_silent(in.placer, nr, 1100, 1200);
	note_check_result(in.placer, nr, CHECK_REFUSED, 1500);
	remove_catalog_upstream(in.catalog, "u-a", 2000);
	ck_assert_int_eq(send_data(4001, cookie, 1001, 100, 500, 2000).verdict,
			 COOKIE_RESET);
	tick_placer(in.placer, 8000, checks);
	ck_assert_uint_eq(checks->len, 0);
	ck_assert_int_eq(send_data(4002, cookie, 1001, 100, 500, 8000).verdict,
			 COOKIE_TO_UPSTREAM);
	/* who is really gone is found at once */
	tick_placer(in.placer, 8010, checks);
	ck_assert_uint_eq(checks->len, 1);
	note_check_result(in.placer, nr, CHECK_REFUSED, 8012);
	ck_assert_int_eq(send_data(4002, cookie, 1001, 100, 500, 8200).verdict,
			 COOKIE_RESET);
	g_array_free(checks, TRUE);
}
END_TEST

START_TEST(unlisted_upstream_keeps_flows_until_expiry)
{
	upstream_index_t nr;
	uint32_t cookie;

	nr = put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	cookie = get_upstream(in.catalog, nr)->cookie;
	remove_catalog_upstream(in.catalog, "u-a", 1000);
	expire_catalog(in.catalog, 1000 + TEST_ENTRY_TTL_MS);
	ck_assert_uint_eq(send_data(4000, cookie, 1001, 10, 5, 2000).upstream,
			  nr);
	for (uint16_t port = 5000; port < 5050; port++)
		ck_assert_uint_ne(send_syn(port, 0, 2000).upstream, nr);
	expire_catalog(in.catalog, 1001 + TEST_ENTRY_TTL_MS);
	ck_assert_int_eq(send_data(4100, cookie, 1001, 10, 5, 99000).verdict,
			 COOKIE_TO_PEER);
}
END_TEST

START_TEST(flow_of_an_expired_upstream_goes_to_no_other)
{
	upstream_index_t expired = open_flow_at(put_upstream("u-a", 0), 4000);
	uint32_t cookie = get_upstream(in.catalog, expired)->cookie;
	uint64_t now_ms = 1100;

	remove_catalog_upstream(in.catalog, "u-a", now_ms);
	for (; now_ms < 1100 + TEST_ENTRY_TTL_MS; now_ms += 10000)
		send_data(4000, cookie, 1101, 0, 500, now_ms);
	now_ms += 10;
	expire_catalog(in.catalog, now_ms);
	forget_expired_upstreams(in.steering);
	if (_i)
		ck_assert_uint_eq(put_upstream("u-b", now_ms), expired);
	ck_assert_int_eq(send_data(4000, 0, 1101, 0, 500, now_ms).verdict,
			 COOKIE_TO_PEER);
	ck_assert_int_eq(send_data(4000, cookie, 1101, 0, 500, now_ms).verdict,
			 COOKIE_TO_PEER);
	end_upstream_flows(in.steering, expired, now_ms, resets);
	ck_assert_uint_eq(resets->len, 0);
}
END_TEST

START_TEST(draining_and_out_upstreams_keep_flows_only)
{
	struct upstream_report r = make_upstream_report("u-a", "south");
	upstream_index_t out = put_upstream("u-b", 0);
	upstream_index_t drained;
	uint32_t cookie;

	r.draining = true;
	drained = put_test_upstream(&in, &r, 0);
	cookie = get_upstream(in.catalog, drained)->cookie;
	ck_assert_int_eq(send_data(4000, cookie, 1001, 10, 5, 10).verdict,
			 COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(send_syn(4001, 0, 10).upstream, out);
	set_catalog_domain_out(in.catalog, "north", true, 0, 20);
	ck_assert_int_eq(send_syn(4002, 0, 30).verdict, COOKIE_RESET);
	cookie = get_upstream(in.catalog, out)->cookie;
	ck_assert_int_eq(send_data(4001, cookie, 1001, 10, 5, 30).verdict,
			 COOKIE_TO_UPSTREAM);
}
END_TEST

/* An upstream was taken for warm before its cold start could be over. */
START_TEST(domain_that_is_taken_back_counts_as_cold_for_a_whole_cold_start)
{
	static const uint32_t cold_ms[] = { 500, 10000 };
	struct upstream_report r = make_upstream_report("u-1", "south");
	struct catalog_service sv = { .cold_ms = cold_ms[_i] };
	upstream_index_t nr = put_test_upstream(&in, &r, 1000);
	uint64_t until_ms = 50000 + MAX(cold_ms[_i], 2600);

	set_catalog_service(in.catalog, intern_service(in.catalog, "board"),
			    &sv);
	set_catalog_domain_out(in.catalog, "south", true, 2600, 2000);
	set_catalog_domain_out(in.catalog, "south", false, 2600, 50000);
	ck_assert(is_cold_upstream(in.catalog, nr, until_ms - 1));
	ck_assert(!is_cold_upstream(in.catalog, nr, until_ms));
	put_test_upstream(&in, &r, 51000);
	ck_assert(!is_cold_upstream(in.catalog, nr, 51000));
}
END_TEST

START_TEST(syn_without_upstream_or_route_is_reset)
{
	struct cookie_packet p;
	struct cookie_decision d = send_syn(4000, 0, 10);

	ck_assert_int_eq(d.verdict, COOKIE_RESET);
	ck_assert_int_eq(d.reason, COOKIE_REFUSED);
	ck_assert_int_eq(d.placement.reason, PLACE_NONE_LISTED);
	put_upstream("u-a", 10);
	p = make_cookie_packet(CALLER, 4001, TCP_SYN, 0);
	p.key.service_port = 1;
	d = steer_cookie_packet(in.steering, &p, false, 20);
	ck_assert_int_eq(d.verdict, COOKIE_RESET);
	ck_assert_int_eq(d.reason, COOKIE_NO_ROUTE);
}
END_TEST

/* Puts NR at PLACEMENT_FULL_LOAD. */
static void fill_upstream(upstream_index_t nr)
{
	for (int i = 0; i < 3 * PLACEMENT_FULL_LOAD; i++) {
		note_flow_open(in.placer, nr);
		note_request_start(in.placer, nr);
	}
}

/* Ends the load that fill_upstream() put on NR. */
static void empty_upstream(upstream_index_t nr)
{
	for (int i = 0; i < 3 * PLACEMENT_FULL_LOAD; i++) {
		note_request_end(in.placer, nr);
		note_flow_end(in.placer, nr);
	}
}

/* Releases waiting SYNs; returns how many were decided about. */
static guint release_syns(uint64_t now_ms)
{
	g_array_set_size(released, 0);
	release_waiting_syns(in.steering, now_ms, released);
	return released->len;
}

static const struct released_syn *released_syn(guint i)
{
	return &g_array_index(released, struct released_syn, i);
}

/* Later than COOKIE_STARTUP_MS after the first packet, at time 1. */
static uint64_t end_startup(void)
{
	send_syn(1, 0, 1);
	return 1 + COOKIE_STARTUP_MS;
}

/* Acknowledges the response on a flow of receive_moved_flow(). */
static void end_moved_flow(uint16_t port, upstream_index_t nr, uint8_t flags,
			   uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, port, TCP_ACK | flags,
				   get_upstream(in.catalog, nr)->cookie);

	p.seq = 1101;
	p.ack = 900;
	steer_cookie_packet(in.steering, &p, false, now_ms);
}

/*
 * After a change of rotation the ends of requests are seen by other instances.
 * Counting them until the deadline refuses callers although upstreams idle.
 */
START_TEST(requests_that_end_elsewhere_do_not_fill_upstream)
{
	uint64_t now_ms = end_startup();
	upstream_index_t nr = put_upstream("u-a", 0);
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));

	for (uint16_t i = 0; i < 3 * PLACEMENT_FULL_LOAD; i++)
		receive_moved_flow(4000 + i, nr, now_ms);
	ck_assert_int_eq(send_syn(3999, 0, now_ms + 20).verdict, COOKIE_WAIT);
	for (uint16_t i = 0; i < 60; i++) {
		tick_cookie_steering(in.steering, now_ms + i * 10);
		receive_moved_flow(5000 + i, nr, now_ms + i * 10);
		end_moved_flow(5000 + i, nr, TCP_FIN, now_ms + i * 10 + 9);
	}
	now_ms += 600;
	ck_assert_int_eq(send_syn(6000, 0, now_ms).placement.reason,
			 PLACE_LEAST_LOADED);
	list_own_loads(in.placer, now_ms, rows);
	ck_assert_uint_eq(rows->len, 1);
	ck_assert_uint_le(
		g_array_index(rows, struct upstream_load_row, 0).busy_flows,
		IN_FLIGHT_WEIGHT_ONE);
	g_array_free(rows, TRUE);
}
END_TEST

/* An upstream that hangs sends no packets, and has no room either. */
START_TEST(requests_of_silent_upstream_keep_their_count)
{
	uint64_t now_ms = end_startup();
	upstream_index_t nr = put_upstream("u-a", 0);

	for (uint16_t i = 0; i < 3 * PLACEMENT_FULL_LOAD; i++)
		receive_moved_flow(4000 + i, nr, now_ms);
	for (uint64_t t = 0; t < TEST_DEADLINE_MS; t += COOKIE_TICK_MS)
		tick_cookie_steering(in.steering, now_ms + t);
	ck_assert_uint_eq(busy_request_count(in.placer),
			  3 * (uint32_t)PLACEMENT_FULL_LOAD);
	tick_cookie_steering(in.steering,
			     now_ms + TEST_DEADLINE_MS + IN_FLIGHT_UPDATE_MS);
	ck_assert_uint_eq(busy_request_count(in.placer), 0);
	ck_assert_uint_eq(in.counters.value[COUNT_FLOW_UNSEEN_ENDS],
			  3 * (uint64_t)PLACEMENT_FULL_LOAD);
}
END_TEST

/* Its first placements would be made with the loads of long ago. */
START_TEST(paused_instance_ends_old_requests_on_its_first_tick)
{
	uint64_t now_ms = end_startup();
	upstream_index_t nr = put_upstream("u-a", 0);

	for (uint16_t i = 0; i < 3 * PLACEMENT_FULL_LOAD; i++)
		receive_moved_flow(4000 + i, nr, now_ms);
	tick_cookie_steering(in.steering, now_ms);
	note_upstream_alive(in.placer, nr, now_ms + 2000);
	tick_cookie_steering(in.steering, now_ms + 2000);
	ck_assert_uint_eq(busy_request_count(in.placer), 0);
}
END_TEST

/* Upstreams that turn slow look idle until their late responses are seen. */
START_TEST(late_responses_keep_slow_requests_counted)
{
	enum { ANSWER_MS = 600, STEP_MS = 20, LATE = 100 };
	uint64_t now_ms = end_startup();
	upstream_index_t nr = put_upstream("u-a", 0);
	uint16_t in_flight = ANSWER_MS / STEP_MS;

	for (uint16_t i = 0; i < LATE + in_flight; i++, now_ms += STEP_MS) {
		if (i >= in_flight)
			end_moved_flow(4000 + i - in_flight, nr, 0, now_ms);
		receive_moved_flow(4000 + i, nr, now_ms);
		note_upstream_alive(in.placer, nr, now_ms);
		tick_cookie_steering(in.steering, now_ms);
	}
	ck_assert_uint_gt(in.counters.value[COUNT_FLOW_UNSEEN_ENDS], 0);
	ck_assert_uint_ge(busy_request_count(in.placer), in_flight * 8U / 10);
	ck_assert_uint_le(busy_request_count(in.placer), in_flight);
}
END_TEST

/*
 * Callers that come at once must not all be placed on one upstream before its
 * handshakes end, and an upstream without an answer runs nothing.
 */
START_TEST(opening_flow_counts_until_its_handshake_is_overdue)
{
	put_upstream("u-a", 0);
	send_syn(4000, 0, 1000);
	tick_cookie_steering(in.steering, 1020);
	ck_assert_uint_eq(busy_request_count(in.placer), 1);
	tick_cookie_steering(in.steering, 1000 + IN_FLIGHT_UPDATE_MS + 20);
	ck_assert_uint_eq(busy_request_count(in.placer), 0);
}
END_TEST

/*
 * Flows of one route end with their response, but the ends of some are seen by
 * other instances; those of the other route pause. The former must not count
 * while they are idle, and the latter only as often as they are busy.
 */
START_TEST(busy_share_of_idle_flows_is_learned_by_route)
{
	enum { LONG_FLOWS = 60, STEPS = 300, STEP_MS = 10, BUSY_STEPS = 6 };
	const uint16_t ports[] = { TEST_ROUTE_PORT, TEST_ROUTE_PORT + 1 };
	uint64_t now_ms = end_startup();
	upstream_index_t nr = put_upstream("u-a", 0);
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));
	struct cookie_packet p = make_cookie_packet(
		CALLER + 1, 0, TCP_ACK, get_upstream(in.catalog, nr)->cookie);
	double expected;

	set_test_routes(in.catalog, 2, ports, 2, 20);
	p.key.service_port = ports[1];
	p.payload_len = 100;
	for (uint16_t i = 0; i < STEPS + BUSY_STEPS; i++, now_ms += STEP_MS) {
		uint16_t sent = i - BUSY_STEPS;

		if (i < STEPS) {
			receive_moved_flow(5000 + i, nr, now_ms);
			p.key.caller_port = 7000 + i % LONG_FLOWS;
			p.seq = 1001 + 100 * (i / LONG_FLOWS);
			p.ack = 500 + 400 * (i / LONG_FLOWS);
			steer_cookie_packet(in.steering, &p, false, now_ms);
		}
		if (i >= BUSY_STEPS) {
			struct cookie_packet ack = p;

			end_moved_flow(5000 + sent, nr, sent % 4 ? TCP_FIN : 0,
				       now_ms);
			ack.key.caller_port = 7000 + sent % LONG_FLOWS;
			ack.payload_len = 0;
			ack.seq = 1101 + 100 * (sent / LONG_FLOWS);
			ack.ack = 900 + 400 * (sent / LONG_FLOWS);
			steer_cookie_packet(in.steering, &ack, false, now_ms);
		}
		tick_cookie_steering(in.steering, now_ms);
		tick_placer(in.placer, now_ms, checks);
	}
	list_own_loads(in.placer, now_ms, rows);
	ck_assert_uint_eq(rows->len, 1);
	expected = (double)g_array_index(rows, struct upstream_load_row, 0)
			   .expected_flows /
		   IN_FLIGHT_WEIGHT_ONE;
	/* none runs now; usually BUSY_STEPS of the long flows are busy */
	ck_assert_double_ge(expected, 0.4 * BUSY_STEPS);
	ck_assert_double_le(expected, 0.6 * BUSY_STEPS);
	g_array_free(checks, TRUE);
	g_array_free(rows, TRUE);
}
END_TEST

START_TEST(syn_waits_while_all_are_full_and_goes_to_new_upstream)
{
	uint64_t now_ms = end_startup();
	struct cookie_decision d;
	upstream_index_t free_upstream;

	fill_upstream(put_upstream("u-a", 0));
	d = send_syn(4000, 0, now_ms);
	ck_assert_int_eq(d.verdict, COOKIE_WAIT);
	ck_assert_int_eq(d.placement.reason, PLACE_FULL);
	ck_assert_uint_eq(release_syns(now_ms + 10), 0);
	/* its copy changes nothing */
	ck_assert_int_eq(send_syn(4000, 1, now_ms + 200).verdict, COOKIE_DROP);
	ck_assert_uint_eq(cookie_waiting_syn_count(in.steering), 1);
	free_upstream = put_upstream("u-b", now_ms + 210);
	ck_assert_uint_eq(release_syns(now_ms + 220), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(released_syn(0)->decision.upstream, free_upstream);
	ck_assert_uint_eq(released_syn(0)->packet.key.caller_port, 4000);
	ck_assert_uint_eq(released_syn(0)->waited_ms, 220);
	ck_assert_uint_eq(cookie_waiting_syn_count(in.steering), 0);
}
END_TEST

START_TEST(waiting_syn_is_sent_on_as_it_was_received)
{
	const uint8_t data[] = { 0x80, 1, 2, 3, 4, 5 };
	uint64_t now_ms = end_startup();
	struct cookie_packet p = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);

	fill_upstream(put_upstream("u-a", 0));
	p.datagram = data;
	p.datagram_len = sizeof(data);
	ck_assert_int_eq(
		steer_cookie_packet(in.steering, &p, false, now_ms).verdict,
		COOKIE_WAIT);
	put_upstream("u-b", now_ms + 10);
	ck_assert_uint_eq(release_syns(now_ms + 20), 1);
	ck_assert_uint_eq(released_syn(0)->packet.datagram_len, sizeof(data));
	ck_assert_mem_eq(released_syn(0)->datagram, data, sizeof(data));
}
END_TEST

START_TEST(syn_that_waits_too_long_is_refused)
{
	uint64_t now_ms = end_startup();

	fill_upstream(put_upstream("u-a", 0));
	for (uint16_t i = 0; i < SYN_OVERLOAD_MIN; i++)
		send_syn(4000 + i, 0, now_ms);
	/* nothing was placed lately: the queue holds few */
	ck_assert_uint_eq(release_syns(now_ms + 10),
			  SYN_OVERLOAD_MIN - SYN_QUEUE_MIN);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_RESET);
	ck_assert_uint_eq(released_syn(0)->packet.key.caller_port, 4000);
	ck_assert_uint_eq(release_syns(now_ms + SYN_WAIT_MAX_MS - 1), 0);
	ck_assert_uint_eq(release_syns(now_ms + SYN_WAIT_MAX_MS),
			  SYN_QUEUE_MIN);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_RESET);
	ck_assert_int_eq(released_syn(0)->decision.reason, COOKIE_REFUSED);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 0);
}
END_TEST

/* A process that was paused must not open flows for callers that left. */
START_TEST(syn_is_not_sent_on_after_its_limit_though_there_is_room)
{
	uint64_t now_ms = end_startup();

	fill_upstream(put_upstream("u-a", 0));
	send_syn(4000, 0, now_ms);
	put_upstream("u-b", now_ms + 10);
	ck_assert_uint_eq(release_syns(now_ms + 5000), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_RESET);
}
END_TEST

/* Right after a start callers have few attempts left. */
START_TEST(syn_is_placed_after_its_wait_right_after_start)
{
	fill_upstream(put_upstream("u-a", 0));
	ck_assert_int_eq(send_syn(4000, 0, 1000).verdict, COOKIE_WAIT);
	ck_assert_uint_eq(release_syns(1000 + SYN_WAIT_MAX_MS - 1), 0);
	ck_assert_uint_eq(release_syns(1000 + SYN_WAIT_MAX_MS), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_TO_UPSTREAM);
	/* its last copy, sent 600 ms after the first */
	send_syn(4001, 2, 2000);
	ck_assert_uint_eq(release_syns(2000), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_TO_UPSTREAM);
}
END_TEST

/* Against a flow that is open elsewhere and gets a second upstream here. */
START_TEST(waiting_syn_whose_copy_went_elsewhere_is_told_as_split)
{
	struct cookie_packet p;

	fill_upstream(put_upstream("u-a", 0));
	ck_assert_int_eq(send_syn(4000, 0, 1000).verdict, COOKIE_WAIT);
	ck_assert_int_eq(send_syn(4001, 0, 1000).verdict, COOKIE_WAIT);
	send_syn(4001, 1, 1200);
	put_upstream("u-b", 1210);
	put_upstream("u-c", 1210);
	ck_assert_uint_eq(release_syns(1000 + COOKIE_SYN_INTERVAL_MS(0) +
				       COOKIE_SYN_COPY_SLACK_MS),
			  2);
	ck_assert_uint_eq(split_flow_count(cookie_split_flows(in.steering)), 1);
	p = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);
	ck_assert_ptr_nonnull(find_split_flow_of_syn(
		cookie_split_flows(in.steering), &p, 1300));
}
END_TEST

START_TEST(waiting_syn_obeys_changes_made_meanwhile)
{
	const uint16_t other_port = 1;
	uint64_t now_ms = end_startup();

	fill_upstream(put_upstream("u-a", 0));
	send_syn(4000, 0, now_ms);
	send_syn(4001, 0, now_ms);
	put_upstream("u-b", now_ms + 10);
	set_catalog_domain_out(in.catalog, "north", true, 0, now_ms + 15);
	/* no upstream takes flows: refused at once */
	ck_assert_uint_eq(release_syns(now_ms + 20), 2);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_RESET);
	set_catalog_domain_out(in.catalog, "north", false, 0, now_ms + 30);
	fill_upstream(put_upstream("u-b", now_ms + 30));
	ck_assert_int_eq(send_syn(4002, 0, now_ms + 40).verdict, COOKIE_WAIT);
	set_test_routes(in.catalog, 2, &other_port, 1, 20);
	end_flows_without_route(in.steering, now_ms + 50, resets);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert_uint_eq(cookie_waiting_syn_count(in.steering), 0);
}
END_TEST

START_TEST(syn_leaves_the_queue_if_its_flow_opens_elsewhere)
{
	uint64_t now_ms = end_startup();
	upstream_index_t full = put_upstream("u-a", 0);

	fill_upstream(full);
	send_syn(4000, 0, now_ms);
	ck_assert_int_eq(send_data(4000, get_upstream(in.catalog, full)->cookie,
				   1001, 0, 500, now_ms + 20)
				 .verdict,
			 COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(cookie_waiting_syn_count(in.steering), 0);
	ck_assert_uint_eq(release_syns(now_ms + 5000), 0);
}
END_TEST

START_TEST(route_gives_way_only_within_its_service)
{
	static const char *const services[] = { "board", "board", "idle" };
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));

	/* the first two share a service; the second has the higher priority */
	for (uint32_t i = 0; i < 3; i++) {
		struct catalog_route r = { .ip = TEST_ROUTE_IP,
					   .port = (uint16_t)(TEST_ROUTE_PORT +
							      i),
					   .deadline_ms = TEST_DEADLINE_MS,
					   .priority = 2 - i,
					   .target_nr = 1 };
		struct route_target share = {
			intern_service(in.catalog, services[i]), 1
		};

		r.targets = g_memdup2(&share, sizeof(share));
		g_array_append_val(routes, r);
	}
	ck_assert(set_catalog_routes(in.catalog, 9, routes, NULL, TEST_IDLE_MS,
				     1));
	for (uint16_t i = 0; i < 2; i++) {
		const struct catalog_route *r = find_catalog_route(
			in.catalog, TEST_ROUTE_IP, TEST_ROUTE_PORT + i);

		ck_assert_int_eq(is_lowest_priority(in.catalog, r,
						    r->targets[0].service),
				 i == 0);
	}
}
END_TEST

/*
 * Puts two routes to one service in force: TEST_ROUTE_PORT with priority 1 and
 * the next port with priority 2.
 */
static void set_two_priorities(uint32_t slo_ms)
{
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));
	struct catalog_route r = { .ip = TEST_ROUTE_IP,
				   .port = TEST_ROUTE_PORT,
				   .deadline_ms = TEST_DEADLINE_MS,
				   .slo_ms = slo_ms,
				   .target_nr = 1 };
	struct route_target share = { intern_service(in.catalog, "board"), 1 };

	for (uint32_t priority = 1; priority <= 2; priority++) {
		r.targets = g_memdup2(&share, sizeof(share));
		r.priority = priority;
		r.port = (uint16_t)(TEST_ROUTE_PORT + priority - 1);
		g_array_append_val(routes, r);
	}
	set_catalog_routes(in.catalog, 9, routes, NULL, TEST_IDLE_MS, 1);
}

/* Sends a SYN of the route with PRIORITY, see set_two_priorities(). */
static struct cookie_decision send_syn_of(uint32_t priority, uint16_t port,
					  uint64_t now_ms)
{
	struct cookie_packet p = make_cookie_packet(CALLER, port, TCP_SYN, 0);

	p.key.service_port = (uint16_t)(TEST_ROUTE_PORT + priority - 1);
	return steer_cookie_packet(in.steering, &p, false, now_ms);
}

/* Guards against urgent requests that full upstreams shed or answer late. */
START_TEST(urgent_syn_waits_while_all_are_full_and_goes_first)
{
	uint64_t now_ms = end_startup();
	upstream_index_t up = put_upstream("u-a", 0);

	set_two_priorities(0);
	fill_upstream(up);
	ck_assert_int_eq(send_syn_of(1, 4000, now_ms).verdict, COOKIE_WAIT);
	ck_assert_int_eq(send_syn_of(2, 4001, now_ms + 1).verdict, COOKIE_WAIT);
	ck_assert_int_eq(send_syn_of(2, 4002, now_ms + 2).verdict, COOKIE_WAIT);
	empty_upstream(up);
	ck_assert_uint_eq(release_syns(now_ms + 20), 3);
	ck_assert_uint_eq(released_syn(0)->packet.key.caller_port, 4000);
	ck_assert_uint_eq(released_syn(1)->packet.key.caller_port, 4002);
	for (guint i = 0; i < 3; i++)
		ck_assert_int_eq(released_syn(i)->decision.verdict,
				 COOKIE_TO_UPSTREAM);
}
END_TEST

/* Guards against a less urgent SYN that takes the room of a waiting one. */
START_TEST(less_urgent_syn_does_not_pass_a_waiting_one)
{
	uint64_t now_ms = end_startup();
	upstream_index_t up = put_upstream("u-a", 0);

	set_two_priorities(0);
	fill_upstream(up);
	ck_assert_int_eq(send_syn_of(1, 4000, now_ms).verdict, COOKIE_WAIT);
	empty_upstream(up);
	ck_assert_int_eq(send_syn_of(2, 4001, now_ms + 2).verdict, COOKIE_WAIT);
	ck_assert_int_eq(send_syn_of(1, 4002, now_ms + 3).verdict,
			 COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(release_syns(now_ms + 10), 2);
	ck_assert_uint_eq(released_syn(0)->packet.key.caller_port, 4000);
}
END_TEST

/*
 * Guards against callers of a full service who are not told, and against less
 * urgent SYNs that get the room right after an urgent one was refused.
 */
START_TEST(refused_urgent_syn_is_told_and_counted)
{
	uint64_t now_ms = end_startup();
	upstream_index_t up = put_upstream("u-a", 0);

	set_two_priorities(400);
	fill_upstream(up);
	ck_assert_int_eq(send_syn_of(1, 4000, now_ms).verdict, COOKIE_WAIT);
	ck_assert_uint_eq(release_syns(now_ms + 99), 0);
	ck_assert_uint_eq(release_syns(now_ms + 100), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_RESET);
	ck_assert_uint_eq(in.counters.value[COUNT_FLOW_REFUSED_URGENT], 1);
	empty_upstream(up);
	ck_assert_int_eq(send_syn_of(2, 4001, now_ms + 160).verdict,
			 COOKIE_WAIT);
	ck_assert_uint_eq(release_syns(now_ms + 199), 0);
	ck_assert_uint_eq(release_syns(now_ms + 200), 1);
	ck_assert_int_eq(released_syn(0)->decision.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(in.counters.value[COUNT_FLOW_REFUSED_URGENT], 1);
}
END_TEST

START_TEST(only_flows_of_removed_route_are_reset)
{
	const uint16_t ports[] = { 1, TEST_ROUTE_PORT };
	const uint16_t other = 1;

	put_upstream("u-a", 0);
	open_flow(4000, 1000);
	set_test_routes(in.catalog, 2, ports, 2, 20);
	end_flows_without_route(in.steering, 1100, resets);
	ck_assert_uint_eq(resets->len, 0);
	set_test_routes(in.catalog, 3, &other, 1, 20);
	end_flows_without_route(in.steering, 1200, resets);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert_int_eq(g_array_index(resets, struct cookie_reset, 0).reason,
			 COOKIE_ROUTE_GONE);
}
END_TEST

/* Puts a route in force that divides its flows by WEIGHTS. */
static void split_route(uint64_t version, const uint32_t weights[3])
{
	static const char *const names[] = { "board", "desk", "intake" };
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));
	struct catalog_route r = { .ip = TEST_ROUTE_IP,
				   .port = TEST_ROUTE_PORT,
				   .deadline_ms = TEST_DEADLINE_MS,
				   .target_nr = 3 };

	r.targets = g_new0(struct route_target, 3);
	for (size_t i = 0; i < 3; i++) {
		r.targets[i].service = intern_service(in.catalog, names[i]);
		r.targets[i].weight = weights[i];
	}
	g_array_append_val(routes, r);
	ck_assert(set_catalog_routes(in.catalog, version, routes, NULL,
				     TEST_IDLE_MS, 1));
}

static upstream_index_t put_upstream_of_service(const char *name,
						const char *service)
{
	struct upstream_report r = make_upstream_report(name, "north");

	g_strlcpy(r.service, service, sizeof(r.service));
	r.slots = 10000; /* so that weights decide, not load */
	return put_test_upstream(&in, &r, 0);
}

START_TEST(split_route_divides_flows_by_weight)
{
	const uint16_t flow_nr = 4000;
	static const uint32_t weights[] = { 3, 1, 0 };
	upstream_index_t board = put_upstream_of_service("u-a", "board");
	upstream_index_t desk = put_upstream_of_service("u-b", "desk");
	uint32_t got = 0;

	put_upstream_of_service("u-c", "intake");
	split_route(2, weights);
	for (uint16_t port = 1; port <= flow_nr; port++) {
		upstream_index_t nr = send_syn(port, 0, 1000).upstream;

		ck_assert(nr == board || nr == desk);
		got += nr == board;
		/* the retransmission selects the same service */
		ck_assert_uint_eq(send_syn(port, 1, 1200).upstream, nr);
	}
	/* five standard deviations of the binomial distribution: 137 */
	ck_assert_uint_ge(got, flow_nr * 3 / 4 - 137);
	ck_assert_uint_le(got, flow_nr * 3 / 4 + 137);
}
END_TEST

START_TEST(weight_change_does_not_move_open_flows)
{
	static const uint32_t before[] = { 1, 0, 0 };
	static const uint32_t after[] = { 0, 1, 0 };
	upstream_index_t board = put_upstream_of_service("u-a", "board");
	upstream_index_t desk = put_upstream_of_service("u-b", "desk");
	uint32_t cookie = get_upstream(in.catalog, board)->cookie;

	split_route(2, before);
	ck_assert_uint_eq(open_flow(4000, 1000), board);
	split_route(3, after);
	end_flows_without_route(in.steering, 1100, resets);
	ck_assert_uint_eq(resets->len, 0);
	ck_assert_uint_eq(
		send_data(4000, cookie, 1101, 100, 900, 1200).upstream, board);
	ck_assert_uint_eq(send_syn(4001, 0, 1200).upstream, desk);
}
END_TEST

START_TEST(older_configuration_is_ignored)
{
	const uint16_t old = 1;

	put_upstream("u-a", 0);
	set_test_routes(in.catalog, 5, &old, 1, 20);
	set_test_routes(in.catalog, 4, &old, 0, 20);
	ck_assert_uint_eq(catalog_version(in.catalog), 5);
	ck_assert_uint_eq(catalog_route_count(in.catalog), 1);
}
END_TEST

START_TEST(instance_without_configuration_relays_syn)
{
	struct catalog *empty = create_catalog(TEST_ENTRY_TTL_MS);
	struct cookie_steering *cs =
		create_cookie_steering(empty, in.placer, &in.counters);
	struct cookie_packet p = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);

	ck_assert_int_eq(steer_cookie_packet(cs, &p, false, 10).verdict,
			 COOKIE_TO_PEER);
	destroy_cookie_steering(cs);
	destroy_catalog(empty);
}
END_TEST

/* A refused caller retries here at once and uses up its attempts. */
START_TEST(isolated_instance_refuses_only_the_last_copy)
{
	upstream_index_t a = put_upstream("u-a", 0);

	set_cookie_isolated(in.steering, true);
	note_upstream_silent(in.placer, a, 1000, 1000);
	note_check_result(in.placer, a, CHECK_REFUSED, 1000);
	for (uint32_t copy = 0; copy < COOKIE_SYN_LAST_COPY; copy++) {
		struct cookie_decision d = send_syn(2000, copy, 1100 + copy);

		ck_assert_int_eq(d.verdict, COOKIE_DROP);
		ck_assert_int_eq(d.reason, COOKIE_ISOLATED);
	}
	ck_assert_uint_eq(in.counters.value[COUNT_FLOW_DROPPED_ISOLATED], 2);
	ck_assert_int_eq(send_syn(2000, COOKIE_SYN_LAST_COPY, 1700).verdict,
			 COOKIE_RESET);
	set_cookie_isolated(in.steering, false);
	ck_assert_int_eq(send_syn(2001, 0, 1710).verdict, COOKIE_RESET);
}
END_TEST

/* What can be placed is, whatever was found a moment ago. */
START_TEST(isolated_instance_places_what_it_can)
{
	put_upstream("u-a", 0);
	set_cookie_isolated(in.steering, true);
	ck_assert_int_eq(send_syn(2000, 0, 1000).verdict, COOKIE_TO_UPSTREAM);
}
END_TEST

/* Loses the link to "south", whose members and upstreams are silent. */
static void lose_link(struct domain_links *dl, domain_index_t south,
		      uint64_t now_ms)
{
	note_domain_heard(dl, south, now_ms - DOMAIN_LINK_SILENCE_MAX_MS, 10);
	note_domain_failed_check(dl, south, 0, true);
	note_domain_failed_check(dl, south, 1, true);
	update_domain_links(dl, now_ms);
	ck_assert_int_eq(domain_link_state(dl, south), LINK_LOST);
}

/*
 * A caller whose request is stuck behind a cut link waits until its deadline,
 * although another domain could answer. One who may not repeat is left alone.
 */
START_TEST(request_behind_lost_link_is_repeated_elsewhere)
{
	domain_index_t south = intern_domain(in.catalog, "south");
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "north"));
	struct upstream_report r = make_upstream_report("u-far", "south");
	upstream_index_t far = put_test_upstream(&in, &r, 0);
	uint32_t cookie = get_upstream(in.catalog, far)->cookie;
	bool repeatable = _i;

	set_test_route_repeatable(in.catalog, 2, repeatable);
	set_placer_links(in.placer, dl);
	ck_assert_uint_eq(open_flow(5000, 9800), far);
	ck_assert_uint_eq(open_flow(5001, 9800), far);
	send_data(5001, cookie, 1101, 0, 900, 9850); /* was answered */
	put_upstream("u-near", 9900);
	lose_link(dl, south, 10000);
	/* so far only other upstreams there were checked */
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 0);
	note_check_result(in.placer, far, CHECK_UNREACHABLE, 10000);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, repeatable);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 2 - repeatable);
	/* an idle flow is kept until a request would be stuck on it */
	ck_assert_int_eq(send_data(5001, cookie, 1101, 0, 900, 10010).verdict,
			 COOKIE_TO_UPSTREAM);
	ck_assert_int_eq(send_data(5001, cookie, 1101, 100, 900, 10020).verdict,
			 repeatable ? COOKIE_RESET : COOKIE_TO_UPSTREAM);
	destroy_domain_links(dl);
}
END_TEST

/* Guards against resets behind a cut link without what tells that it is cut. */
START_TEST(reset_behind_cut_link_has_evidence)
{
	domain_index_t south = intern_domain(in.catalog, "south");
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "north"));
	struct upstream_report r = make_upstream_report("u-far", "south");
	upstream_index_t far = put_test_upstream(&in, &r, 0);
	struct link_evidence le;
	struct health_evidence he;

	set_test_route_repeatable(in.catalog, 2, true);
	set_placer_links(in.placer, dl);
	open_flow(5000, 9800);
	put_upstream("u-near", 9900);
	lose_link(dl, south, 10000);
	note_check_result(in.placer, far, CHECK_UNREACHABLE, 10040);
	end_flows_behind_cut_links(in.steering, 10100, resets);
	ck_assert_uint_eq(resets->len, 1);
	ck_assert_int_eq(g_array_index(resets, struct cookie_reset, 0).reason,
			 COOKIE_LINK_LOST);
	le = describe_upstream_link(in.placer, far, 10100);
	ck_assert_int_eq(le.state, LINK_LOST);
	ck_assert_uint_eq(le.state_ms, 100);
	ck_assert_uint_eq(le.heard_ms, 100 + DOMAIN_LINK_SILENCE_MAX_MS);
	ck_assert_uint_eq(le.member_heard_ms, 100 + DOMAIN_LINK_SILENCE_MAX_MS);
	ck_assert_uint_ge(le.failed_checks, 2);
	ck_assert(le.control_failed);
	he = describe_health(in.placer, far, 10100);
	ck_assert_uint_eq(he.link_check_ms, 60);
	ck_assert_uint_ge(he.own_alive_ms, 100);
	ck_assert_int_eq(he.kind, EVIDENCE_NONE);
	destroy_domain_links(dl);
}
END_TEST

/*
 * Upstreams that crash while heartbeats are late look like a lost link. Others
 * there still serve their flows.
 */
START_TEST(link_lost_by_suspects_alone_resets_nothing)
{
	domain_index_t south = intern_domain(in.catalog, "south");
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "north"));
	struct upstream_report r = make_upstream_report("u-far", "south");
	upstream_index_t far = put_test_upstream(&in, &r, 0);

	set_test_route_repeatable(in.catalog, 2, true);
	set_placer_links(in.placer, dl);
	open_flow(5000, 9800);
	put_upstream("u-near", 9900);
	note_domain_heard(dl, south, 10000 - DOMAIN_LINK_SILENCE_MAX_MS, 10);
	set_domain_upstreams(dl, south, 5, DOMAIN_LINK_SUSPECTS);
	update_domain_links(dl, 10000);
	ck_assert_int_eq(domain_link_state(dl, south), LINK_LOST);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 0);
	note_domain_failed_check(dl, south, 1, false);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 0);
	note_domain_failed_check(dl, south, 2, true);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 0);
	note_check_result(in.placer, far, CHECK_UNREACHABLE, 10000);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 1);
	destroy_domain_links(dl);
}
END_TEST

/* Where nothing else can be reached, a reset only costs the caller a try. */
START_TEST(request_behind_lost_link_waits_if_there_is_no_other_upstream)
{
	domain_index_t south = intern_domain(in.catalog, "south");
	struct domain_links *dl =
		create_domain_links(intern_domain(in.catalog, "north"));
	struct upstream_report r = make_upstream_report("u-far", "south");
	upstream_index_t far = put_test_upstream(&in, &r, 0);

	set_test_route_repeatable(in.catalog, 2, true);
	set_placer_links(in.placer, dl);
	open_flow(5000, 9800);
	lose_link(dl, south, 10000);
	note_check_result(in.placer, far, CHECK_UNREACHABLE, 10000);
	end_flows_behind_cut_links(in.steering, 10000, resets);
	ck_assert_uint_eq(resets->len, 0);
	destroy_domain_links(dl);
}
END_TEST

START_TEST(ended_flows_are_removed)
{
	struct cookie_packet fin;
	upstream_index_t nr = put_upstream("u-a", 0);
	uint32_t cookie = get_upstream(in.catalog, nr)->cookie;

	open_flow(4000, 1000);
	fin = make_cookie_packet(CALLER, 4000, TCP_ACK | TCP_FIN, cookie);
	fin.seq = 1101;
	fin.ack = 900;
	steer_cookie_packet(in.steering, &fin, false, 1100);
	open_flow(4001, 1000);
	tick_cookie_steering(in.steering, 1100 + COOKIE_CLOSING_TIMEOUT_MS + 1);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 1);
	tick_cookie_steering(in.steering, 1100 + TEST_IDLE_MS);
	ck_assert_uint_eq(cookie_flow_count(in.steering), 0);
}
END_TEST

/* Sends a request that the flow's upstream answers after TOOK_MS. */
static void send_answered_request(const struct cookie_decision *flow,
				  uint16_t port, uint32_t *seq, uint32_t *ack,
				  uint32_t bytes, uint64_t took_ms,
				  uint64_t now_ms)
{
	send_data(port, flow->cookie, *seq, 100, *ack, now_ms);
	*seq += 100;
	*ack += bytes;
	send_data(port, flow->cookie, *seq, 0, *ack, now_ms + took_ms);
}

/* Two upstreams, with one flow each; the second one is six times as slow. */
static upstream_index_t slow_upstream_of_two(void)
{
	struct cookie_decision flows[2];
	uint32_t seq[2] = { 1001, 1001 };
	uint32_t ack[2] = { 500, 500 };

	for (uint16_t i = 0; i < 2; i++) {
		flows[i] = send_syn((uint16_t)(4000 + i), 0, 100);
		send_data((uint16_t)(4000 + i), flows[i].cookie, 1001, 0, 500,
			  101);
	}
	ck_assert_uint_ne(flows[0].upstream, flows[1].upstream);
	for (uint64_t t = 200; t < 9200; t += 300)
		for (uint16_t i = 0; i < 2; i++)
			send_answered_request(&flows[i], (uint16_t)(4000 + i),
					      &seq[i], &ack[i], 900,
					      i && t > 5000 ? 240 : 40, t);
	return flows[1].upstream;
}

/*
 * Both have a flow and no request in flight, so that they are equal by load.
 * Guards against responses that are not observed, or observed while disabled.
 */
START_TEST(slow_upstream_is_known_by_its_responses)
{
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	bool enabled = _i;
	upstream_index_t slow;
	unsigned int placed = 0;

	set_placer_quality(in.placer, enabled);
	put_upstream("u-a", 0);
	put_upstream("u-b", 0);
	slow = slow_upstream_of_two();
	tick_placer(in.placer, 9300, checks);
	/* few enough that none of them has to wait for room */
	for (uint16_t i = 0; i < 12; i++) {
		struct cookie_decision d =
			send_syn((uint16_t)(5000 + i), 0, 9300);

		ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
		placed += d.upstream == slow;
	}
	if (enabled) {
		ck_assert_double_gt(upstream_slowness(in.placer, slow), 3);
		ck_assert_uint_le(placed, 4);
	} else {
		ck_assert_double_eq(upstream_slowness(in.placer, slow), 1);
		ck_assert_uint_ge(placed, 5);
	}
	g_array_free(checks, TRUE);
}
END_TEST

/*
 * One of four upstreams answers every second request with 140 bytes within
 * 3 ms. Guards against sizes that are not taken from acknowledgments, or not
 * until the flow ends.
 */
START_TEST(failing_upstream_is_known_by_small_responses)
{
	static const char *const names[] = { "u-a", "u-b", "u-c", "u-d" };
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	struct cookie_decision flows[4];
	uint32_t seq[4] = { 1001, 1001, 1001, 1001 };
	uint32_t ack[4] = { 500, 500, 500, 500 };
	struct placement_request request = { .service = intern_service(
						     in.catalog, "board"),
					     .deadline_ms = TEST_DEADLINE_MS };
	unsigned int requests = 0;

	set_placer_quality(in.placer, true);
	for (uint16_t i = 0; i < 4; i++)
		put_upstream(names[i], 0);
	for (uint16_t i = 0; i < 4; i++) {
		flows[i] = send_syn((uint16_t)(4000 + i), 0, 100);
		send_data((uint16_t)(4000 + i), flows[i].cookie, 1001, 0, 500,
			  101);
	}
	for (uint64_t t = 200; t < 7000; t += 300, requests++)
		for (uint16_t i = 0; i < 4; i++) {
			bool error = !i && t > 5000 && requests % 2;

			send_answered_request(
				&flows[i], (uint16_t)(4000 + i), &seq[i],
				&ack[i], error ? 140 : 900, error ? 3 : 40, t);
		}
	tick_placer(in.placer, 7000, checks);
	for (int i = 0; i < 40; i++)
		ck_assert_uint_ne(
			place_new_flow(in.placer, &request, 7000).upstream,
			flows[0].upstream);
	g_array_free(checks, TRUE);
}
END_TEST

/* Suspicious responses of NR that this instance reports to peers. */
static uint32_t reported_suspicious(upstream_index_t nr, uint64_t now_ms)
{
	GArray *rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));
	uint32_t cookie = get_upstream(in.catalog, nr)->cookie;
	uint32_t n = 0;

	list_own_loads(in.placer, now_ms, rows);
	for (guint i = 0; i < rows->len; i++) {
		const struct upstream_load_row *row =
			&g_array_index(rows, struct upstream_load_row, i);

		if (row->cookie == cookie)
			n = row->quality >> 12 & 15;
	}
	g_array_free(rows, TRUE);
	return n;
}

/*
 * 20 bytes of a response arrive before its flow ends by FIN, which counts, or
 * by RST, by moving to another instance, or by a reset of the upstream's flows.
 * Guards against unfinished responses that are taken for errors.
 */
START_TEST(unfinished_response_is_not_taken_for_an_error)
{
	struct cookie_decision flow;
	struct cookie_packet p;
	uint32_t seq = 1001;
	uint32_t ack = 500;

	set_placer_quality(in.placer, true);
	put_upstream("u-a", 0);
	flow = send_syn(4000, 0, 100);
	send_data(4000, flow.cookie, 1001, 0, 500, 101);
	for (uint64_t t = 200; t < 6200; t += 300)
		send_answered_request(&flow, 4000, &seq, &ack, 900, 40, t);
	send_answered_request(&flow, 4000, &seq, &ack, 20, 40, 6200);
	p = make_cookie_packet(CALLER, 4000, TCP_ACK, flow.cookie);
	p.seq = seq;
	p.ack = ack;
	switch (_i) {
	case 0:
		p.flags |= TCP_FIN;
		steer_cookie_packet(in.steering, &p, false, 6260);
		break;
	case 1:
		p.flags |= TCP_RST;
		steer_cookie_packet(in.steering, &p, false, 6260);
		break;
	case 2:
		ck_assert(release_moved_flow(in.steering, &p.key));
		break;
	default:
		end_upstream_flows(in.steering, flow.upstream, 6260, resets);
		break;
	}
	tick_cookie_steering(in.steering, 7000);
	ck_assert_uint_eq(reported_suspicious(flow.upstream, 7000), _i == 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cookie");
	TCase *tc = tcase_create("cookie");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, failing_upstream_is_known_by_small_responses);
	tcase_add_loop_test(tc, unfinished_response_is_not_taken_for_an_error,
			    0, 4);
	tcase_add_loop_test(tc, slow_upstream_is_known_by_its_responses, 0, 2);
	tcase_add_test(tc, cookie_selects_upstream_without_flow_state);
	tcase_add_test(tc, unknown_cookie_is_relayed_only_once);
	tcase_add_test(tc, only_second_copy_of_a_syn_goes_to_another_upstream);
	tcase_add_test(tc, first_copy_of_a_syn_leaves_a_draining_upstream);
	tcase_add_test(tc, retransmitted_syn_stays_with_answering_upstream);
	tcase_add_test(tc, retransmitted_syn_leaves_an_upstream_found_dead);
	tcase_add_test(tc, late_answer_to_a_syn_copy_does_not_move_flow);
	tcase_add_loop_test(tc, later_flow_inherits_nothing_of_one_that_ended,
			    0, 2);
	tcase_add_loop_test(
		tc, late_answer_to_a_syn_of_another_instance_does_not_move_flow,
		0, 2);
	tcase_add_test(tc, late_answer_does_not_move_a_flow_that_made_progress);
	tcase_add_test(tc, late_answer_of_a_dead_upstream_resets_no_flow);
	tcase_add_test(tc,
		       late_answer_of_an_unknown_upstream_does_not_move_flow);
	tcase_add_test(tc, packet_far_from_the_known_flow_belongs_to_another);
	tcase_add_test(tc, syn_far_from_the_known_flow_opens_another);
	tcase_add_test(tc, late_copy_of_the_syn_of_an_open_flow_is_not_placed);
	tcase_add_test(tc, syn_read_after_its_copy_was_sent_is_not_placed);
	tcase_add_test(tc,
		       copy_read_right_after_its_syn_goes_to_no_other_upstream);
	tcase_add_test(tc, immediate_retry_avoids_dead_upstream);
	tcase_add_test(tc, overdue_handshake_makes_upstream_suspect);
	tcase_add_test(tc, delayed_tick_makes_no_upstream_suspect);
	tcase_add_test(tc, slow_answer_makes_no_upstream_suspect);
	tcase_add_test(tc, retransmitted_data_makes_upstream_suspect);
	tcase_add_test(tc, moved_flow_makes_only_quiet_upstream_suspect);
	tcase_add_test(tc, all_flows_of_dead_upstream_are_reset);
	tcase_add_test(tc, no_flow_of_suspect_upstream_is_reset);
	tcase_add_test(tc, checks_queued_on_the_own_link_reset_no_flow);
	tcase_add_test(tc, old_verdict_on_unlisted_upstream_resets_no_flow);
	tcase_add_test(tc, unlisted_upstream_keeps_flows_until_expiry);
	tcase_add_loop_test(tc, flow_of_an_expired_upstream_goes_to_no_other, 0,
			    2);
	tcase_add_test(tc, draining_and_out_upstreams_keep_flows_only);
	tcase_add_loop_test(
		tc,
		domain_that_is_taken_back_counts_as_cold_for_a_whole_cold_start,
		0, 2);
	tcase_add_test(tc, syn_without_upstream_or_route_is_reset);
	tcase_add_test(tc, requests_that_end_elsewhere_do_not_fill_upstream);
	tcase_add_test(tc, requests_of_silent_upstream_keep_their_count);
	tcase_add_test(tc, paused_instance_ends_old_requests_on_its_first_tick);
	tcase_add_test(tc, late_responses_keep_slow_requests_counted);
	tcase_add_test(tc, opening_flow_counts_until_its_handshake_is_overdue);
	tcase_add_test(tc, busy_share_of_idle_flows_is_learned_by_route);
	tcase_add_test(tc,
		       syn_waits_while_all_are_full_and_goes_to_new_upstream);
	tcase_add_test(tc, waiting_syn_is_sent_on_as_it_was_received);
	tcase_add_test(tc, syn_that_waits_too_long_is_refused);
	tcase_add_test(tc,
		       syn_is_not_sent_on_after_its_limit_though_there_is_room);
	tcase_add_test(tc, syn_is_placed_after_its_wait_right_after_start);
	tcase_add_test(tc, waiting_syn_obeys_changes_made_meanwhile);
	tcase_add_test(tc,
		       waiting_syn_whose_copy_went_elsewhere_is_told_as_split);
	tcase_add_test(tc, syn_leaves_the_queue_if_its_flow_opens_elsewhere);
	tcase_add_test(tc, route_gives_way_only_within_its_service);
	tcase_add_test(tc, urgent_syn_waits_while_all_are_full_and_goes_first);
	tcase_add_test(tc, less_urgent_syn_does_not_pass_a_waiting_one);
	tcase_add_test(tc, refused_urgent_syn_is_told_and_counted);
	tcase_add_test(tc, only_flows_of_removed_route_are_reset);
	tcase_add_test(tc, split_route_divides_flows_by_weight);
	tcase_add_test(tc, weight_change_does_not_move_open_flows);
	tcase_add_test(tc, older_configuration_is_ignored);
	tcase_add_test(tc, instance_without_configuration_relays_syn);
	tcase_add_loop_test(tc, request_behind_lost_link_is_repeated_elsewhere,
			    0, 2);
	tcase_add_test(tc, reset_behind_cut_link_has_evidence);
	tcase_add_test(tc, link_lost_by_suspects_alone_resets_nothing);
	tcase_add_test(
		tc,
		request_behind_lost_link_waits_if_there_is_no_other_upstream);
	tcase_add_test(tc, ended_flows_are_removed);
	tcase_add_test(tc, isolated_instance_refuses_only_the_last_copy);
	tcase_add_test(tc, isolated_instance_places_what_it_can);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
