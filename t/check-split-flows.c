/*
 * Tests of flows whose SYN went to several upstreams. They guard against
 * packets of an open flow that go to another upstream at an instance that has
 * not seen its handshake, and against notices about it that are believed too
 * long, or cost too much.
 */

#include <check.h>
#include <stdlib.h>

#include "fleet/heartbeat.h"
#include "fleet/peer-format.h"
#include "flow/split-flows.h"
#include "t/cookie-harness.h"

#define CALLER 0x64400007 /* 100.64.0.7 */
#define LIFETIME_MS 60000
#define DATAGRAM_BYTES 1400

static struct cookie_instance first;
static struct cookie_instance second;
static struct split_flows *sf;
static GArray *rows;
static upstream_index_t a;
static upstream_index_t b;

static upstream_index_t put_upstream(struct cookie_instance *in,
				     const char *name)
{
	struct upstream_report r = make_upstream_report(name, "north");

	return put_test_upstream(in, &r, 0);
}

/* Both instances give the upstreams the same indexes. */
static void setup(void)
{
	init_cookie_instance(&first, "front-1", "north");
	init_cookie_instance(&second, "front-2", "north");
	a = put_upstream(&first, "u-a");
	b = put_upstream(&first, "u-b");
	ck_assert_uint_eq(put_upstream(&second, "u-a"), a);
	ck_assert_uint_eq(put_upstream(&second, "u-b"), b);
	sf = create_split_flows();
	set_split_flow_lifetime(sf, LIFETIME_MS);
	rows = g_array_new(FALSE, FALSE, sizeof(struct split_flow));
}

static void teardown(void)
{
	release_cookie_instance(&first);
	release_cookie_instance(&second);
	destroy_split_flows(sf);
	g_array_free(rows, TRUE);
}

static uint32_t cookie_of(upstream_index_t up)
{
	return get_upstream(first.catalog, up)->cookie;
}

static struct cookie_decision send_syn(struct cookie_instance *in,
				       uint16_t port, uint32_t copy,
				       uint64_t now_ms)
{
	struct cookie_packet p = make_cookie_packet(CALLER, port, TCP_SYN, 0);

	p.ack = copy;
	return steer_cookie_packet(in->steering, &p, false, now_ms);
}

static struct cookie_decision send_data(struct cookie_instance *in,
					uint16_t port, uint32_t cookie,
					uint32_t seq, uint32_t ack,
					uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, port, TCP_ACK, cookie);

	p.seq = seq;
	p.payload_len = 100;
	p.ack = ack;
	return steer_cookie_packet(in->steering, &p, false, now_ms);
}

static void tell(struct cookie_instance *from, struct cookie_instance *to,
		 uint64_t now_ms)
{
	g_array_set_size(rows, 0);
	if (!pop_split_flows(cookie_split_flows(from->steering), 1, false,
			     now_ms, rows))
		return;
	for (guint i = 0; i < rows->len; i++)
		learn_cookie_split_flow(
			to->steering,
			&g_array_index(rows, struct split_flow, i), now_ms);
}

/*
 * The first instance sends the SYN from PORT to one upstream and its last copy
 * to the other. Returns the one that gets the SYN.
 */
static upstream_index_t split_flow(uint16_t port)
{
	upstream_index_t got_syn = send_syn(&first, port, 0, 600).upstream;
	upstream_index_t got_copy;

	send_syn(&first, port, 1, 800);
	got_copy = send_syn(&first, port, 2, 1200).upstream;
	ck_assert_uint_ne(got_syn, got_copy);
	return got_syn;
}

/* The SYN+ACK was lost, the flow opens, the other upstream answers late. */
START_TEST(flow_that_moves_after_a_lost_answer_keeps_its_upstream)
{
	upstream_index_t opened_at = split_flow(4000);
	upstream_index_t other = opened_at == a ? b : a;
	struct cookie_decision d =
		send_data(&first, 4000, cookie_of(opened_at), 1001, 500, 1210);

	ck_assert(d.settled);
	tell(&first, &second, 1220);
	ck_assert_uint_eq(split_flow_count(cookie_split_flows(second.steering)),
			  1);
	d = send_data(&second, 4000, cookie_of(other), 1101, 900, 6000);
	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(d.upstream, opened_at);
	ck_assert_uint_eq(d.cookie, cookie_of(opened_at));
	/* its record at the second instance does, too */
	d = send_data(&second, 4000, cookie_of(other), 1201, 1300, 9000);
	ck_assert_uint_eq(d.upstream, opened_at);
}
END_TEST

/* The SYN went through an instance that the copy's instance knows nothing of. */
START_TEST(flow_opened_by_a_copy_that_moves_keeps_its_upstream)
{
	upstream_index_t got_copy = send_syn(&first, 4000, 1, 1200).upstream;
	upstream_index_t other = got_copy == a ? b : a;
	struct cookie_decision d;

	ck_assert(send_data(&first, 4000, cookie_of(got_copy), 1001, 500, 1210)
			  .settled);
	tell(&first, &second, 1220);
	d = send_data(&second, 4000, cookie_of(other), 1101, 900, 6000);
	ck_assert_uint_eq(d.upstream, got_copy);
}
END_TEST

/* Its packets came in another order than they were sent. */
START_TEST(flow_whose_data_overtakes_the_handshake_is_settled)
{
	upstream_index_t opened_at = split_flow(4000);
	uint32_t cookie = cookie_of(opened_at);

	ck_assert(!send_data(&first, 4000, cookie, 1101, 500, 1210).settled);
	ck_assert(send_data(&first, 4000, cookie, 1001, 500, 1211).settled);
}
END_TEST

START_TEST(late_cookie_at_the_instance_that_knows_better_is_told)
{
	upstream_index_t opened_at = send_syn(&first, 4000, 0, 1000).upstream;
	upstream_index_t other = opened_at == a ? b : a;

	ck_assert(
		!send_data(&first, 4000, cookie_of(opened_at), 1001, 500, 1010)
			 .settled);
	ck_assert(!has_untold_split_flows(cookie_split_flows(first.steering),
					  true, 1010));
	ck_assert(send_data(&first, 4000, cookie_of(other), 1101, 900, 3000)
			  .settled);
	tell(&first, &second, 3010);
	ck_assert_uint_eq(
		send_data(&second, 4000, cookie_of(other), 1201, 1300, 6000)
			.upstream,
		opened_at);
}
END_TEST

/*
 * The second instance sends on a copy of the SYN of a flow that the first knows
 * to be open at OPENED_AT.
 */
static void expect_settled_by_first(upstream_index_t opened_at)
{
	upstream_index_t other = opened_at == a ? b : a;

	send_syn(&second, 4000, 1, 1200);
	tell(&second, &first, 1220);
	tell(&first, &second, 1230);
	ck_assert_uint_eq(
		send_data(&second, 4000, cookie_of(other), 1101, 900, 6000)
			.upstream,
		opened_at);
}

/* One instance sends on a copy, another one saw where the flow opened. */
START_TEST(instance_that_knows_better_settles_what_another_told)
{
	upstream_index_t opened_at = send_syn(&first, 4000, 0, 1000).upstream;

	send_data(&first, 4000, cookie_of(opened_at), 1001, 500, 1210);
	expect_settled_by_first(opened_at);
}
END_TEST

/* It did not see the SYN; that tells it that its first packet was the first. */
START_TEST(instance_that_saw_the_first_data_settles_what_another_told)
{
	send_data(&first, 4000, cookie_of(b), 1001, 500, 1210);
	expect_settled_by_first(b);
}
END_TEST

START_TEST(instance_that_saw_progress_settles_what_another_told)
{
	send_data(&first, 4000, cookie_of(b), 1101, 500, 1210);
	send_data(&first, 4000, cookie_of(b), 1201, 900, 1215);
	expect_settled_by_first(b);
}
END_TEST

START_TEST(late_syn_of_an_open_split_flow_is_not_placed)
{
	struct cookie_decision d;

	send_data(&first, 4000, cookie_of(split_flow(4000)), 1001, 500, 1210);
	tell(&first, &second, 1220);
	d = send_syn(&second, 4000, 2, 1300);
	ck_assert_int_eq(d.verdict, COOKIE_DROP);
	ck_assert_int_eq(d.reason, COOKIE_LATE_COPY);
}
END_TEST

START_TEST(later_flow_of_the_same_ports_goes_by_its_own_cookie)
{
	upstream_index_t opened_at = split_flow(4000);
	upstream_index_t other = opened_at == a ? b : a;
	struct cookie_packet p =
		make_cookie_packet(CALLER, 4000, TCP_ACK, cookie_of(other));

	send_data(&first, 4000, cookie_of(opened_at), 1001, 500, 1210);
	tell(&first, &second, 1220);
	p.seq = 1001 + SPLIT_FLOW_BYTES;
	ck_assert_uint_eq(
		steer_cookie_packet(second.steering, &p, false, 6000).upstream,
		other);
	/* its SYN ends the earlier flow, here and at members */
	p = make_cookie_packet(CALLER, 4000, TCP_SYN, 0);
	p.seq = 900000;
	ck_assert_int_eq(
		steer_cookie_packet(first.steering, &p, false, 7000).verdict,
		COOKIE_TO_UPSTREAM);
	tell(&first, &second, 7010);
	p = make_cookie_packet(CALLER, 4000, TCP_ACK, cookie_of(other));
	p.seq = 900101;
	ck_assert_uint_eq(
		steer_cookie_packet(second.steering, &p, false, 7020).upstream,
		other);
}
END_TEST

START_TEST(packet_of_a_flow_at_an_upstream_unknown_here_goes_to_no_other)
{
	struct split_flow flow = { .key = { CALLER, TEST_ROUTE_IP, 4000,
					    TEST_ROUTE_PORT },
				   .first_seq = 1001,
				   .saw_syn = true,
				   .cookie = 99 };

	learn_cookie_split_flow(first.steering, &flow, 1000);
	ck_assert_int_eq(
		send_data(&first, 4000, cookie_of(a), 1101, 900, 2000).verdict,
		COOKIE_TO_PEER);
}
END_TEST

static struct split_flow make_row(uint16_t port, uint32_t first_seq,
				  uint32_t cookie)
{
	struct split_flow row = { .key = { CALLER, TEST_ROUTE_IP, port,
					   TEST_ROUTE_PORT },
				  .first_seq = first_seq,
				  .saw_syn = true,
				  .cookie = cookie };

	return row;
}

START_TEST(what_became_known_first_stays)
{
	struct split_flow row = make_row(4000, 1001, 0);

	ck_assert(learn_split_flow(sf, &row, 1000));
	row.cookie = 7;
	ck_assert(learn_split_flow(sf, &row, 1000));
	row.cookie = 8;
	ck_assert(!learn_split_flow(sf, &row, 1000));
	row.cookie = 0;
	ck_assert(!learn_split_flow(sf, &row, 1000));
	ck_assert_uint_eq(find_split_flow(sf, &row.key, 1001, 1000)->cookie, 7);
	/* a late report about an earlier flow */
	row = make_row(4000, 900000000, 9);
	row.age_ms = 500;
	ck_assert(!learn_split_flow(sf, &row, 1000));
	row.age_ms = 0;
	ck_assert(learn_split_flow(sf, &row, 1001));
	ck_assert_ptr_null(find_split_flow(sf, &row.key, 1001, 1001));
}
END_TEST

START_TEST(flow_is_forgotten_after_the_lifetime_of_flows)
{
	struct split_flow open = make_row(4000, 1001, 7);
	struct split_flow unsettled = make_row(4001, 1001, 0);

	open.age_ms = 1000;
	learn_split_flow(sf, &open, 1000);
	learn_split_flow(sf, &unsettled, 1000);
	ck_assert_ptr_nonnull(
		find_split_flow(sf, &open.key, 1001, LIFETIME_MS - 1));
	ck_assert_ptr_null(find_split_flow(sf, &open.key, 1001, LIFETIME_MS));
	expire_split_flows(sf, 1000 + SPLIT_FLOW_UNSETTLED_MS - 1);
	ck_assert_uint_eq(split_flow_count(sf), 2);
	expire_split_flows(sf, 1000 + SPLIT_FLOW_UNSETTLED_MS);
	ck_assert_uint_eq(split_flow_count(sf), 1);
	expire_split_flows(sf, LIFETIME_MS);
	ck_assert_uint_eq(split_flow_count(sf), 0);
	/* one that is too old already */
	open.age_ms = LIFETIME_MS;
	ck_assert(!learn_split_flow(sf, &open, 100000));
	ck_assert_uint_eq(split_flow_count(sf), 0);
}
END_TEST

START_TEST(flood_of_syns_leaves_room_for_open_flows)
{
	size_t told = 0;

	for (uint32_t i = 0; i < 2 * SPLIT_FLOWS_UNSETTLED_MAX; i++) {
		struct split_flow row = make_row((uint16_t)i, 1001, 0);

		row.key.caller_ip += i >> 16;
		note_split_flow(sf, &row, 1000);
	}
	ck_assert_uint_eq(split_flow_count(sf), SPLIT_FLOWS_UNSETTLED_MAX);
	for (uint32_t i = 0; i < 2 * SPLIT_FLOWS_MAX; i++) {
		struct split_flow row = make_row((uint16_t)i, 1001, 7);

		row.key.caller_ip += 100 + (i >> 16);
		note_split_flow(sf, &row, 1000);
	}
	ck_assert_uint_eq(split_flow_count(sf), SPLIT_FLOWS_MAX);
	for (uint64_t t = 2000; pop_split_flows(sf, 5, false, t, rows);
	     t += SPLIT_FLOWS_INTERVAL_MS) {
		ck_assert_uint_le(rows->len, SPLIT_FLOWS_PER_DATAGRAM);
		told += rows->len;
		g_array_set_size(rows, 0);
	}
	ck_assert_uint_ge(told, SPLIT_FLOWS_PENDING_MAX);
	ck_assert_uint_le(told, 2 * SPLIT_FLOWS_PENDING_MAX);
}
END_TEST

START_TEST(notice_is_sent_again_in_another_datagram)
{
	struct split_flow row = make_row(4000, 1001, 7);

	note_split_flow(sf, &row, 1000);
	ck_assert(pop_split_flows(sf, 5, false, 1000, rows));
	ck_assert_uint_eq(rows->len, 1);
	ck_assert(!has_untold_split_flows(sf, false,
					  1000 + SPLIT_FLOWS_REPEAT_MS - 1));
	ck_assert(!pop_split_flows(sf, 5, false,
				   1000 + SPLIT_FLOWS_REPEAT_MS - 1, rows));
	ck_assert(has_untold_split_flows(sf, false,
					 1000 + SPLIT_FLOWS_REPEAT_MS));
	ck_assert(pop_split_flows(sf, 5, false, 1000 + SPLIT_FLOWS_REPEAT_MS,
				  rows));
	ck_assert_uint_eq(rows->len, 2);
	ck_assert(!has_untold_split_flows(sf, true, 5002));
	/* an instance that stops has no time to wait */
	row = make_row(4001, 1001, 7);
	note_split_flow(sf, &row, 5000);
	g_array_set_size(rows, 0);
	ck_assert(pop_split_flows(sf, 5, true, 5000, rows));
	ck_assert_uint_eq(rows->len, 1);
	ck_assert(pop_split_flows(sf, 5, true, 5001, rows));
	ck_assert_uint_eq(rows->len, 2);
	ck_assert(!has_untold_split_flows(sf, true, 5002));
}
END_TEST

START_TEST(notices_are_paced_by_the_number_of_members)
{
	struct split_flow row = make_row(4000, 1001, 7);

	note_split_flow(sf, &row, 1000);
	ck_assert(pop_split_flows(sf, 100, false, 1000, rows));
	row.key.caller_port++;
	note_split_flow(sf, &row, 1001);
	ck_assert(!pop_split_flows(sf, 100, false,
				   1000 + 100 * SPLIT_FLOWS_PER_MEMBER_MS - 1,
				   rows));
	ck_assert(pop_split_flows(
		sf, 100, false, 1000 + 100 * SPLIT_FLOWS_PER_MEMBER_MS, rows));
}
END_TEST

START_TEST(notice_is_read_as_written_and_malformed_ones_are_refused)
{
	struct split_flow sent[SPLIT_FLOWS_PER_DATAGRAM];
	enum split_flows_part part;
	const uint8_t *data;
	struct wire_writer w;

	for (uint32_t i = 0; i < SPLIT_FLOWS_PER_DATAGRAM; i++) {
		sent[i] = make_row((uint16_t)(60000 + i), UINT32_MAX - i,
				   UINT32_MAX - i);
		sent[i].saw_syn = i % 2;
		sent[i].age_ms = LIFETIME_MS + i;
	}
	init_wire_writer(&w);
	write_split_flows(&w, SPLIT_FLOWS_ANSWER_END, sent,
			  SPLIT_FLOWS_PER_DATAGRAM);
	data = (const uint8_t *)w.buf.data;
	ck_assert_uint_le(w.buf.size, DATAGRAM_BYTES);
	ck_assert(has_peer_format(data, w.buf.size, SPLIT_FLOWS));
	ck_assert(!is_heartbeat(data, w.buf.size));
	ck_assert(read_split_flows(data, w.buf.size, &part, rows));
	ck_assert_int_eq(part, SPLIT_FLOWS_ANSWER_END);
	ck_assert_uint_eq(rows->len, SPLIT_FLOWS_PER_DATAGRAM);
	for (guint i = 0; i < rows->len; i++) {
		const struct split_flow *r =
			&g_array_index(rows, struct split_flow, i);

		ck_assert_mem_eq(&r->key, &sent[i].key, sizeof(r->key));
		ck_assert_uint_eq(r->first_seq, sent[i].first_seq);
		ck_assert_uint_eq(r->saw_syn, sent[i].saw_syn);
		ck_assert_uint_eq(r->cookie, sent[i].cookie);
		ck_assert_uint_eq(r->age_ms, sent[i].age_ms);
	}
	for (size_t len = 0; len < w.buf.size; len++)
		ck_assert(!read_split_flows(data, len, &part, rows));
	ck_assert_uint_eq(rows->len, SPLIT_FLOWS_PER_DATAGRAM);
	release_wire_writer(&w);
	/* a row that is cut short, and an unknown part */
	for (uint64_t kind = 0; kind < 2; kind++) {
		init_wire_writer(&w);
		write_array(&w, kind ? 2 : 3);
		write_uint(&w, SPLIT_FLOWS);
		write_uint(&w, kind ? SPLIT_FLOWS_ANSWER_END + 1 : 0);
		write_uint(&w, CALLER);
		ck_assert(!read_split_flows(
			w.buf.data, w.buf.size - (kind ? 5 : 0), &part, rows));
		release_wire_writer(&w);
	}
	ck_assert_uint_eq(rows->len, SPLIT_FLOWS_PER_DATAGRAM);
}
END_TEST

/*
 * An instance that starts sent packets of open flows to upstreams that do not
 * hold them, as soon as it had read the store and before members told it.
 */
START_TEST(packet_of_an_unknown_flow_waits_for_who_knows_more)
{
	struct split_inquiry si = { 0 };

	/* others steer it, or it waits; once relayed it goes no further */
	ck_assert_int_eq(decide_unknown_packet(&si, false, false, true),
			 UNKNOWN_RELAY);
	ck_assert_int_eq(decide_unknown_packet(&si, false, false, false),
			 UNKNOWN_WAIT);
	ck_assert_int_eq(decide_unknown_packet(&si, false, true, true),
			 UNKNOWN_WAIT);
	/* one that has run before does not let packets wait */
	ck_assert_int_eq(decide_unknown_packet(&si, true, false, true),
			 UNKNOWN_RELAY);
	ck_assert_int_eq(decide_unknown_packet(&si, true, false, false),
			 UNKNOWN_STEER);
	ck_assert_int_eq(decide_unknown_packet(&si, true, true, true),
			 UNKNOWN_STEER);
	/* the wait ends, with an answer or without */
	si.done = true;
	for (int i = 0; i < 8; i++)
		ck_assert_int_eq(
			decide_unknown_packet(&si, i & 1, i & 2, i & 4),
			UNKNOWN_STEER);
}
END_TEST

/* What was placed or proved here, or told, needs no other member. */
START_TEST(instance_that_knows_a_flow_asks_nobody_about_it)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, 4000, TCP_ACK, cookie_of(b));
	upstream_index_t opened_at;

	p.seq = 1001;
	ck_assert(!knows_packet_upstream(first.steering, &p, 1000));
	opened_at = send_syn(&first, 4000, 0, 1000).upstream;
	ck_assert(knows_packet_upstream(first.steering, &p, 1010));
	/* without its SYN only progress proves where the flow is open */
	send_data(&second, 4000, cookie_of(opened_at), 1101, 500, 1210);
	p.seq = 1201;
	ck_assert(!knows_packet_upstream(second.steering, &p, 1220));
	send_data(&second, 4000, cookie_of(opened_at), 1201, 900, 1230);
	ck_assert(knows_packet_upstream(second.steering, &p, 1240));
	/* or what members told */
	p.key.caller_port = 4001;
	learn_cookie_split_flow(second.steering,
				&(struct split_flow){ .key = p.key,
						      .first_seq = 1001,
						      .saw_syn = true,
						      .cookie = cookie_of(b) },
				1240);
	ck_assert(knows_packet_upstream(second.steering, &p, 1250));
}
END_TEST

/* The first SYN of a flow, at the first instance. */
static struct cookie_decision send_marked_syn(uint16_t port, uint64_t now_ms)
{
	set_cookie_marks(first.steering, true);
	set_cookie_marks(second.steering, true);
	return send_syn(&first, port, 0, now_ms);
}

/* A split flow at the first instance, whose SYNs went to these upstreams. */
struct marked_syns {
	struct cookie_decision first;
	struct cookie_decision last;
};

static struct marked_syns split_marked_flow(void)
{
	struct marked_syns ms;

	ms.first = send_marked_syn(4000, 600);
	ck_assert_uint_eq(send_syn(&first, 4000, 1, 800).cookie,
			  ms.first.cookie);
	ms.last = send_syn(&first, 4000, 2, 1200);
	ck_assert_int_eq(ms.last.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_ne(ms.last.upstream, ms.first.upstream);
	return ms;
}

/* An instance that knows nothing of a flow gets its packet with COOKIE. */
static void check_not_followed(uint32_t cookie, uint64_t now_ms)
{
	struct cookie_packet p =
		make_cookie_packet(CALLER, 4000, TCP_ACK, cookie);

	p.seq = 1101;
	p.payload_len = 100;
	ck_assert_int_eq(
		steer_cookie_packet(second.steering, &p, false, now_ms).verdict,
		COOKIE_TO_PEER);
	ck_assert_int_eq(
		steer_cookie_packet(second.steering, &p, true, now_ms).verdict,
		COOKIE_DROP);
}

/*
 * All instances were killed: none knew that the caller's cookie was that of an
 * upstream that does not hold the flow.
 */
START_TEST(instance_that_knows_nothing_does_not_follow_a_late_answer)
{
	struct marked_syns ms = split_marked_flow();

	check_not_followed(ms.first.cookie, 12000);
	check_not_followed(ms.last.cookie, 12000);
}
END_TEST

/*
 * The first upstream began to drain, turned cold, or was taken out, before the
 * copy of the SYN came. It was not marked, and its late answer was followed
 * after a loss of all instances.
 */
START_TEST(late_answer_of_an_upstream_that_takes_no_copy_is_not_followed)
{
	struct cookie_decision syn = send_marked_syn(4000, 1000);
	struct upstream_report r =
		get_upstream(first.catalog, syn.upstream)->report;

	if (_i == 0)
		r.draining = true;
	else if (_i == 1)
		r.cold_left_ms = 9000;
	put_test_upstream(&first, &r, 1100);
	if (_i == 2)
		set_catalog_domain_out(first.catalog, "north", true, 0, 1100);
	send_syn(&first, 4000, 1, 1200);
	check_not_followed(syn.cookie, 9000);
}
END_TEST

/* The SYN and its copy came to two instances, the first of which knew nothing. */
START_TEST(late_answer_to_a_syn_that_came_elsewhere_is_not_followed)
{
	check_not_followed(send_marked_syn(4000, 1000).cookie, 9000);
}
END_TEST

/* Without a split flow in sight the mark is as good as a plain cookie. */
START_TEST(instance_that_knows_all_split_flows_follows_a_mark)
{
	struct cookie_decision syn = send_marked_syn(4005, 500);
	struct cookie_decision d;

	set_cookie_splits_known(second.steering, true);
	d = send_data(&second, 4005, syn.cookie, 1001, 500, 510);
	ck_assert_uint_eq(d.upstream, syn.upstream);
	ck_assert_uint_eq(d.cookie, cookie_of(syn.upstream));
	/* one that is split, and open somewhere already */
	syn = split_marked_flow().last;
	tell(&first, &second, 1300);
	check_not_followed(syn.cookie, 1320);
}
END_TEST

/* Whichever of the two the flow opens at, its packets carry a plain cookie. */
START_TEST(flow_opens_with_a_marked_cookie_and_goes_on_with_a_plain_one)
{
	struct marked_syns ms = split_marked_flow();
	upstream_index_t opened_at = _i ? ms.last.upstream : ms.first.upstream;
	upstream_index_t other = _i ? ms.first.upstream : ms.last.upstream;
	uint32_t marked = _i ? ms.last.cookie : ms.first.cookie;
	uint32_t late = _i ? ms.first.cookie : ms.last.cookie;
	struct cookie_decision d =
		send_data(&first, 4000, marked, 1001, 500, 1210);

	ck_assert_uint_eq(d.upstream, opened_at);
	ck_assert_uint_eq(d.cookie, cookie_of(opened_at));
	ck_assert(d.settled);
	d = send_data(&first, 4000, late, 1101, 900, 3000);
	ck_assert_uint_eq(d.upstream, opened_at);
	/* one that knows nothing goes by the plain one */
	d = send_data(&second, 4000, cookie_of(opened_at), 1201, 1300, 4000);
	ck_assert_uint_eq(d.upstream, opened_at);
	/* and keeps to it */
	d = send_data(&second, 4000, late, 1301, 1300, 6000);
	ck_assert_uint_eq(d.upstream, opened_at);
	ck_assert_uint_ne(opened_at, other);
}
END_TEST

/* Rotation changes between the copy and the end of the handshake. */
START_TEST(handshake_may_end_at_an_instance_that_was_told)
{
	struct cookie_decision syn = split_marked_flow().last;

	tell(&first, &second, 1220);
	ck_assert_uint_eq(
		send_data(&second, 4000, syn.cookie, 1001, 500, 1230).upstream,
		syn.upstream);
}
END_TEST

START_TEST(cookies_are_marked_only_if_they_can_be_understood)
{
	struct upstream_report r;
	struct cookie_decision d;

	/* members of earlier builds do not understand them */
	split_flow(4000);
	d = send_syn(&first, 4001, 0, 1200);
	ck_assert_uint_eq(d.cookie, cookie_of(d.upstream));
	set_cookie_marks(first.steering, true);
	d = send_syn(&first, 4002, 0, 2000);
	ck_assert_uint_ne(d.cookie, cookie_of(d.upstream));
	/* other upstreams have the numbers that marks would give */
	r = make_upstream_report("u-x", "south");
	r.draining = true;
	r.id = cookie_of(a) ^ COOKIE_MARK;
	put_test_upstream(&first, &r, 2700);
	r = make_upstream_report("u-y", "south");
	r.draining = true;
	r.id = cookie_of(b) ^ COOKIE_MARK;
	put_test_upstream(&first, &r, 2700);
	d = send_syn(&first, 4003, 2, 3000);
	ck_assert_int_eq(d.verdict, COOKIE_TO_UPSTREAM);
	ck_assert_uint_eq(d.cookie, cookie_of(d.upstream));
}
END_TEST

START_TEST(inquiry_ends_without_an_answer)
{
	struct split_inquiry si = { 0 };
	int asked = 0;

	for (uint64_t t = 1000; t < 1000 + SPLIT_INQUIRY_MAX_MS; t += 10) {
		asked += tick_split_inquiry(&si, true, t);
		ck_assert(!si.done);
	}
	ck_assert_int_eq(asked, SPLIT_INQUIRY_MAX_MS / SPLIT_INQUIRY_ASK_MS);
	ck_assert(!tick_split_inquiry(&si, true, 1000 + SPLIT_INQUIRY_MAX_MS));
	ck_assert(si.done);
	/* an instance that is alone does not wait as long, but asks later */
	si = (struct split_inquiry){ 0 };
	ck_assert(!tick_split_inquiry(&si, false, 1000));
	ck_assert(!tick_split_inquiry(&si, false,
				      1000 + SPLIT_INQUIRY_ALONE_MS - 1));
	ck_assert(!si.may_serve);
	ck_assert(
		!tick_split_inquiry(&si, false, 1000 + SPLIT_INQUIRY_ALONE_MS));
	ck_assert(si.may_serve);
	ck_assert(!si.done);
	ck_assert(tick_split_inquiry(&si, true, 1001 + SPLIT_INQUIRY_ALONE_MS));
	si = (struct split_inquiry){ 0 };
	ck_assert(tick_split_inquiry(&si, true, 1000));
	si.answered = true;
	ck_assert(!tick_split_inquiry(&si, true, 1001));
	ck_assert(si.done && si.may_serve);
}
END_TEST

/*
 * After a loss of all, instances that told each other what little they knew
 * would follow late answers.
 */
START_TEST(answer_of_one_that_knows_too_little_makes_nobody_know_all)
{
	struct split_knowledge sk = { 0 };
	struct split_inquiry si = { .done = true, .answered = true };
	uint64_t known_ms = 1000 + SPLIT_FLOW_UNSETTLED_MS + TEST_IDLE_MS;

	note_inquiry_end(&sk, &si, 1000);
	ck_assert(!are_all_splits_known(&sk, TEST_IDLE_MS, 1000));
	ck_assert(!are_all_splits_known(&sk, TEST_IDLE_MS, known_ms - 1));
	ck_assert(are_all_splits_known(&sk, TEST_IDLE_MS, known_ms));
	/* one that knows all was asked about another domain, then about all */
	si.told_all = true;
	g_strlcpy(si.domain, "south", sizeof(si.domain));
	note_inquiry_end(&sk, &si, 1100);
	ck_assert(!are_all_splits_known(&sk, TEST_IDLE_MS, 1100));
	si.domain[0] = '\0';
	note_inquiry_end(&sk, &si, 1200);
	ck_assert(are_all_splits_known(&sk, TEST_IDLE_MS, 1200));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("split-flows");
	TCase *tc = tcase_create("split-flows");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc,
		       flow_that_moves_after_a_lost_answer_keeps_its_upstream);
	tcase_add_test(tc, flow_opened_by_a_copy_that_moves_keeps_its_upstream);
	tcase_add_test(tc, flow_whose_data_overtakes_the_handshake_is_settled);
	tcase_add_test(tc,
		       late_cookie_at_the_instance_that_knows_better_is_told);
	tcase_add_test(tc,
		       instance_that_knows_better_settles_what_another_told);
	tcase_add_test(
		tc, instance_that_saw_the_first_data_settles_what_another_told);
	tcase_add_test(tc,
		       instance_that_saw_progress_settles_what_another_told);
	tcase_add_test(tc, late_syn_of_an_open_split_flow_is_not_placed);
	tcase_add_test(tc, later_flow_of_the_same_ports_goes_by_its_own_cookie);
	tcase_add_test(
		tc,
		packet_of_a_flow_at_an_upstream_unknown_here_goes_to_no_other);
	tcase_add_test(tc, what_became_known_first_stays);
	tcase_add_test(tc, flow_is_forgotten_after_the_lifetime_of_flows);
	tcase_add_test(tc, flood_of_syns_leaves_room_for_open_flows);
	tcase_add_test(tc, notice_is_sent_again_in_another_datagram);
	tcase_add_test(tc, notices_are_paced_by_the_number_of_members);
	tcase_add_test(
		tc, notice_is_read_as_written_and_malformed_ones_are_refused);
	tcase_add_test(tc, packet_of_an_unknown_flow_waits_for_who_knows_more);
	tcase_add_test(tc, instance_that_knows_a_flow_asks_nobody_about_it);
	tcase_add_test(
		tc, instance_that_knows_nothing_does_not_follow_a_late_answer);
	tcase_add_loop_test(
		tc,
		flow_opens_with_a_marked_cookie_and_goes_on_with_a_plain_one, 0,
		2);
	tcase_add_test(tc, handshake_may_end_at_an_instance_that_was_told);
	tcase_add_test(tc, cookies_are_marked_only_if_they_can_be_understood);
	tcase_add_loop_test(
		tc,
		late_answer_of_an_upstream_that_takes_no_copy_is_not_followed,
		0, 3);
	tcase_add_test(
		tc, late_answer_to_a_syn_that_came_elsewhere_is_not_followed);
	tcase_add_test(tc, instance_that_knows_all_split_flows_follows_a_mark);
	tcase_add_test(tc, inquiry_ends_without_an_answer);
	tcase_add_test(
		tc, answer_of_one_that_knows_too_little_makes_nobody_know_all);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
