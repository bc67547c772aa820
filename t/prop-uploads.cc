/*
 * Property of instances that steer by cookie: no open flow of an upstream that
 * serves is reset or sent elsewhere, while callers upload slowly, packets are
 * lost, rotation changes, queues of new connections are full, and upstreams
 * drain, stop listening and leave.
 */

#include <algorithm>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "fleet/health-notice.h"
#include "t/cookie-harness.h"
}

#define INSTANCES 3
#define UPSTREAMS 3
#define CALLERS 8
#define CALLER 0x64400000
#define FIRST_PORT 4000
#define PACKET_BYTES 1200
#define WINDOW 16 /* packets on their way at most */
#define RESEND_MIN_MS 200
#define RESEND_MAX_MS 1600
#define CONNECT_MS 350 /* as in net/edge-check.c */
#define DRAIN_MS 3000
#define LENGTH_MS 16000

enum stage { SERVES, DRAINS, UNLISTENING, GONE };

struct upload_flow {
	uint16_t port;
	int upstream; /* -1: it is not open */
	uint32_t echo;
	int packets; /* of the request */
	int sent;
	int acked;
	uint32_t got; /* packets that the upstream has, one bit each */
	int received; /* of these, in order */
	int unacked;  /* of these, since its last acknowledgment */
	uint32_t base_seq;
	uint32_t ack;
	uint64_t pace_ms;
	uint64_t send_ms;
	uint64_t resend_ms;
	uint64_t interval_ms;
};

struct uploads {
	GRand *rand;
	uint64_t now_ms;
	struct cookie_instance instances[INSTANCES];
	struct health_notices *notices[INSTANCES];
	struct upstream_report reports[UPSTREAMS];
	upstream_index_t handles[UPSTREAMS];
	enum stage stages[UPSTREAMS];
	uint64_t full_until_ms[UPSTREAMS]; /* the queue of connections */
	struct upload_flow flows[CALLERS];
	std::multimap<uint64_t, std::function<void()>> events;
	/*
	 * whether upstreams count packets that are sent again among those of
	 * which they acknowledge every second one; else none may be lost
	 */
	bool acks_repeats;
	int rotation;
	int wrong; /* resets of flows that are served, packets elsewhere */
	int done;

	explicit uploads(GRand *r)
		: rand(r), now_ms(1000), stages(), full_until_ms(), flows(),
		  acks_repeats(draw(0, 2)), rotation(0), wrong(0), done(0)
	{
		for (int u = 0; u < UPSTREAMS; u++) {
			char name[16];

			g_snprintf(name, sizeof(name), "u-%d", u);
			reports[u] = make_upstream_report(name, "north");
			reports[u].slots = CALLERS;
		}
		for (int i = 0; i < INSTANCES; i++)
			start_instance(i);
		for (int k = 0; k < CALLERS; k++) {
			flows[k].port = (uint16_t)(FIRST_PORT + k);
			flows[k].upstream = -1;
			after(draw(0, 2000), [=] { open(k); });
		}
	}

	~uploads()
	{
		for (int i = 0; i < INSTANCES; i++) {
			release_cookie_instance(&instances[i]);
			destroy_health_notices(notices[i]);
		}
	}

	int draw(int low, int high)
	{
		return g_rand_int_range(rand, low, high);
	}

	void after(int ms, std::function<void()> run)
	{
		events.insert({ now_ms + (uint64_t)ms, run });
	}

	void start_instance(int i)
	{
		struct cookie_instance *in = &instances[i];
		char name[16];

		g_snprintf(name, sizeof(name), "front-%d", i);
		init_cookie_instance(in, name, "north");
		for (int k = 0; k < INSTANCES; k++) {
			g_snprintf(name, sizeof(name), "front-%d", k);
			if (k != i)
				set_test_member(in, name, "north",
						MEMBER_ALIVE);
		}
		notices[i] = create_health_notices(in->view);
		set_placer_notices(in->placer, notices[i]);
		set_placer_drain_time(in->placer, DRAIN_MS);
		set_cookie_marks(in->steering, true);
		set_cookie_splits_known(in->steering, true);
		for (int u = 0; u < UPSTREAMS; u++)
			handles[u] = put_test_upstream(in, &reports[u], now_ms);
	}

	bool is_served(const struct upload_flow *f)
	{
		return f->upstream >= 0 && stages[f->upstream] != GONE;
	}

	/* Packet NR of F's request, or its SYN if that is negative. */
	void send(int k, int nr)
	{
		struct upload_flow *f = &flows[k];
		int i = (k + rotation) % INSTANCES;
		struct cookie_packet p = make_cookie_packet(
			CALLER, f->port, nr < 0 ? TCP_SYN : TCP_ACK, f->echo);
		struct cookie_decision d;

		p.seq = f->base_seq;
		if (nr >= 0) {
			p.seq += (uint32_t)nr * PACKET_BYTES;
			p.payload_len = PACKET_BYTES;
			p.ack = f->ack;
		}
		if (nr >= 0 && acks_repeats && draw(0, 100) == 0)
			return;
		d = steer_cookie_packet(instances[i].steering, &p, false,
					now_ms);
		if (nr < 0 && d.verdict == COOKIE_TO_UPSTREAM)
			accept(k, &d);
		else if (nr >= 0 && is_served(f))
			check_steered(k, nr, &d);
		else if (d.verdict == COOKIE_RESET)
			close(k);
	}

	void accept(int k, const struct cookie_decision *d)
	{
		struct upload_flow *f = &flows[k];

		for (int u = 0; u < UPSTREAMS; u++)
			if (handles[u] == d->upstream && stages[u] <= DRAINS)
				f->upstream = u;
		if (f->upstream < 0) {
			after(1400, [=] { open(k); });
			return;
		}
		f->echo = d->cookie;
		f->base_seq++;
		f->ack = (uint32_t)draw(1, 1 << 30);
		after(draw(1, 4), [=] { start_request(k); });
	}

	void check_steered(int k, int nr, const struct cookie_decision *d)
	{
		const struct upload_flow *f = &flows[k];

		if (d->verdict != COOKIE_TO_UPSTREAM ||
		    d->upstream != handles[f->upstream]) {
			wrong++;
			close(k);
			return;
		}
		uint32_t base = f->base_seq;
		after(draw(1, 4), [=] {
			if (flows[k].base_seq == base && is_served(&flows[k]))
				receive(k, nr);
		});
	}

	void open(int k)
	{
		struct upload_flow *f = &flows[k];

		f->port = (uint16_t)(f->port + CALLERS);
		f->upstream = -1;
		f->echo = 0;
		f->base_seq = (uint32_t)draw(0, 1 << 30);
		send(k, -1);
	}

	void close(int k)
	{
		flows[k].upstream = -1;
		flows[k].packets = flows[k].sent = flows[k].acked = 0;
		after(draw(20, 200), [=] { open(k); });
	}

	void start_request(int k)
	{
		struct upload_flow *f = &flows[k];

		f->packets = draw(0, 3) ? draw(2, 30) : 1;
		f->pace_ms =
			(uint64_t)(draw(0, 2) ? draw(5, 300) : draw(300, 1700));
		f->sent = f->acked = f->received = f->unacked = 0;
		f->got = 0;
		f->send_ms = now_ms;
	}

	/* The upstream of F gets packet NR and acknowledges every second one. */
	void receive(int k, int nr)
	{
		struct upload_flow *f = &flows[k];
		uint32_t base = f->base_seq;
		bool is_new = !(f->got >> nr & 1);

		f->got |= 1U << nr;
		while (f->received < f->packets && f->got >> f->received & 1)
			f->received++;
		f->unacked += is_new || acks_repeats;
		f->echo =
			get_upstream(instances[0].catalog, handles[f->upstream])
				->cookie;
		if (f->received == f->packets) {
			after(draw(5, 400), [=] { answer(k, base); });
		} else if (f->unacked >= 2) {
			int acked = f->received;

			f->unacked = 0;
			after(draw(1, 4), [=] {
				if (flows[k].base_seq == base)
					acknowledge(&flows[k], acked);
			});
		}
	}

	void acknowledge(struct upload_flow *f, int acked)
	{
		if (acked <= f->acked)
			return;
		f->acked = acked;
		f->interval_ms = RESEND_MIN_MS;
		f->resend_ms = now_ms + f->interval_ms;
	}

	void answer(int k, uint32_t base)
	{
		struct upload_flow *f = &flows[k];

		if (f->base_seq != base || !is_served(f) || !f->packets)
			return;
		done++;
		f->base_seq += (uint32_t)f->packets * PACKET_BYTES;
		f->ack += 100;
		f->packets = f->sent = f->acked = 0;
		base = f->base_seq;
		after(draw(0, 2) ? draw(0, 50) : draw(50, 3000), [=] {
			if (flows[k].base_seq == base && is_served(&flows[k]))
				start_request(k);
		});
	}

	void tick_caller(int k)
	{
		struct upload_flow *f = &flows[k];

		if (f->sent < f->packets && f->sent - f->acked < WINDOW &&
		    now_ms >= f->send_ms) {
			if (f->sent == f->acked) {
				f->interval_ms = RESEND_MIN_MS;
				f->resend_ms = now_ms + f->interval_ms;
			}
			f->send_ms = now_ms + f->pace_ms;
			send(k, f->sent++);
		}
		if (f->sent > f->acked && now_ms >= f->resend_ms) {
			f->interval_ms = std::min<uint64_t>(2 * f->interval_ms,
							    RESEND_MAX_MS);
			f->resend_ms = now_ms + f->interval_ms;
			send(k, f->acked);
		}
	}

	void check(int i, upstream_index_t nr)
	{
		static const enum check_result results[] = {
			CHECK_GOOD, CHECK_BAD, CHECK_REFUSED, CHECK_REFUSED
		};
		int u = 0;

		while (handles[u] != nr)
			u++;
		bool full = now_ms < full_until_ms[u] && stages[u] <= DRAINS;
		enum check_result result =
			full ? CHECK_UNREACHABLE : results[stages[u]];
		after(full ? CONNECT_MS : draw(1, 5), [=] {
			note_check_result(instances[i].placer, nr, result,
					  now_ms);
		});
		if (!full)
			after(1, [=] {
				note_check_connected(instances[i].placer, nr);
			});
	}

	void tick_instance(int i)
	{
		struct cookie_instance *in = &instances[i];
		GArray *a = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

		note_store_current(in->placer, now_ms);
		tick_cookie_steering(in->steering, now_ms);
		tick_health_notices(notices[i], now_ms);
		tick_placer(in->placer, now_ms, a);
		for (guint k = 0; k < a->len; k++)
			check(i, g_array_index(a, upstream_index_t, k));
		g_array_free(a, TRUE);
		tell(i);
		a = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
		for (int u = 0; u < UPSTREAMS; u++)
			if (may_end_flows(in->placer, handles[u], now_ms))
				end_upstream_flows(in->steering, handles[u],
						   now_ms, a);
		end_silent_flows(in->steering, now_ms, a);
		for (guint k = 0; k < a->len; k++)
			take_reset(&g_array_index(a, struct cookie_reset, k));
		g_array_free(a, TRUE);
	}

	void take_reset(const struct cookie_reset *r)
	{
		for (int k = 0; k < CALLERS; k++) {
			if (flows[k].port != r->key.caller_port ||
			    flows[k].upstream < 0)
				continue;
			wrong += is_served(&flows[k]);
			close(k);
		}
	}

	/* Instances pass on what they find. */
	void tell(int i)
	{
		GArray *out = g_array_new(FALSE, FALSE,
					  sizeof(struct outgoing_notice));

		pop_health_notices(notices[i], out);
		for (guint n = 0; n < out->len; n++) {
			struct health_notice hn =
				g_array_index(out, struct outgoing_notice, n)
					.notice;

			for (int k = 0; k < INSTANCES; k++)
				if (k != i)
					after(draw(1, 4), [=] {
						handle_health_notice(
							instances[k].placer,
							&hn, now_ms);
					});
		}
		g_array_free(out, TRUE);
	}

	/* Upstream U leaves: it stops listening before it exits. */
	void drain(int u)
	{
		stages[u] = DRAINS;
		reports[u].draining = true;
		for (int i = 0; i < INSTANCES; i++)
			after(draw(5, 300), [=] {
				put_test_upstream(&instances[i], &reports[u],
						  now_ms);
			});
		after(draw(300, DRAIN_MS), [=] { stages[u] = UNLISTENING; });
		after(DRAIN_MS + draw(0, 6000), [=] { leave(u); });
	}

	void leave(int u)
	{
		stages[u] = GONE;
		for (int i = 0; i < INSTANCES; i++)
			after(draw(5, 300), [=] {
				remove_catalog_upstream(instances[i].catalog,
							reports[u].name,
							now_ms);
				update_placer_upstream(instances[i].placer,
						       handles[u], now_ms);
			});
	}

	void disturb()
	{
		int u = draw(0, UPSTREAMS);

		switch (draw(0, 4)) {
		case 0:
			rotation++;
			break;
		case 1:
			/* else a packet that is repeated twice shows nothing */
			if (acks_repeats)
				full_until_ms[u] =
					now_ms + (uint64_t)draw(200, 1500);
			break;
		case 2:
			/* one is left */
			if (u && stages[u] == SERVES)
				drain(u);
			break;
		default:
			break;
		}
		after(draw(200, 1500), [=] { disturb(); });
	}

	void run()
	{
		after(3000, [=] { disturb(); });
		for (; now_ms < 1000 + LENGTH_MS; now_ms += COOKIE_TICK_MS) {
			while (!events.empty() &&
			       events.begin()->first <= now_ms) {
				auto next = events.extract(events.begin());

				next.mapped()();
			}
			for (int k = 0; k < CALLERS; k++)
				tick_caller(k);
			for (int i = 0; i < INSTANCES; i++)
				tick_instance(i);
		}
	}
};

int main()
{
	return !rc::check("slow uploads keep their upstreams", [] {
		GRand *rand =
			g_rand_new_with_seed(*rc::gen::arbitrary<uint32_t>());
		int wrong;
		int done;
		{
			struct uploads up(rand);

			up.run();
			wrong = up.wrong;
			done = up.done;
		}
		g_rand_free(rand);
		RC_ASSERT(done > 0);
		RC_ASSERT(wrong == 0);
	});
}
