/*
 * cookie-caller-stand-in ADDRESS:PORT SERVICE INSTANCES FLOWS SECONDS PAUSE-MS
 *			  [REQUESTS [LOST [PARTS PACE-MS]]]
 * Simulates the callers of the users' platform, and the routers in front of
 * the instances, for tests. INSTANCES are addresses separated by commas, and
 * failure domains by slashes, the callers' own first; packets go to PORT there,
 * and readiness is checked at PORT + 1. Each of FLOWS
 * flows repeatedly sends a request, waits for its answer and pauses; a flow
 * that ends early is opened again. With REQUESTS, a flow is closed after so
 * many answers, and opened again; 0 is no limit. Of a thousand SYN+ACKs, LOST do
 * not arrive. With PARTS, a request is an upload of so many packets, one each
 * PACE-MS, of which the first that is missing is sent again. Ends after SECONDS or on SIGTERM, and closes its flows then.
 *
 * Prints "flow on UPSTREAM" when a flow gets its first answer, and "all flows
 * answered" once every flow had one. Prints "reset on UPSTREAM T PORT" (T in ms
 * since 1970, PORT of the caller) when an open flow is reset, and "lost on
 * UPSTREAM T PORT" when a request or a SYN gets no answer within its deadline;
 * UPSTREAM is "none" for flows that were never answered. At the end, it prints:
 * answered, opened, refused (resets of SYNs), reset (of open flows), lost (no
 * answer within the deadline), wrong (an answer to something else), moved
 * (answers of one flow by two upstreams), late_ms (the longest wait for an
 * answer). Exit code 1 if any was wrong or moved.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include "net/datagrams.h"
#include "net/http-client.h"
#include "stand-in/cookie-wire.h"

#define TICK_MS 10
#define READY_CHECK_INTERVAL_MS 250 /* per instance */
#define SYN_TIMEOUT_MS 1400
#define RESEND_MIN_MS 200 /* before the first resend; doubles */
#define RESEND_MAX_MS 1600
#define DEADLINE_MS 3000
#define REOPEN_DELAY_MS 20 /* before a flow that ended early is opened again */
#define INSTANCES_MAX 64
#define PARTS_MAX 16 /* that are not acknowledged */

enum phase { PHASE_CLOSED, PHASE_OPENING, PHASE_IDLE, PHASE_WAITING };

struct caller_flow {
	enum phase phase;
	uint16_t port;
	uint32_t cookie;
	uint32_t seq;
	uint32_t ack;
	unsigned int request;
	unsigned int syns_sent;
	unsigned int parts_sent; /* of an upload */
	unsigned int parts_acked;
	uint64_t next_part_ms;	   /* loop time */
	uint64_t phase_started_ms; /* loop time */
	uint64_t next_resend_ms;   /* loop time */
	uint32_t resend_interval_ms;
	char upstream[64];
	bool ever_answered; /* by any upstream, since the caller started */
};

struct router_target {
	struct endpoint at;
	unsigned int domain; /* 0: that of the callers */
	unsigned int misses; /* failed readiness checks in a row */
};

struct cookie_caller {
	uv_loop_t *loop;
	uv_timer_t timer;
	uv_timer_t ready_timer;
	uv_signal_t sigterm;
	struct datagrams *dg;
	struct endpoint own;
	struct endpoint service;
	struct router_target instances[INSTANCES_MAX];
	size_t instance_nr;
	struct caller_flow *flows;
	size_t flow_nr;
	uint64_t pause_ms;
	unsigned int requests_per_flow; /* 0: no limit */
	gint32 lost_per_1000;		/* of SYN+ACKs */
	unsigned int parts; /* of an upload, before its last packet */
	uint64_t pace_ms;
	uint64_t end_ms; /* loop time */
	uint16_t next_port;
	unsigned int answered, opened, refused, reset, lost, wrong, moved;
	uint64_t longest_wait_ms;
	size_t answered_flow_nr; /* flows that had at least one answer */
};

/*
 * Picks by rendezvous hashing among the instances of the own domain that are in
 * rotation, those that failed fewer than two readiness checks in a row; among
 * all instances there if fewer than half are in rotation. If none is, picks
 * among those in rotation of other domains.
 */
static const struct router_target *pick_instance(const struct cookie_caller *c,
						 const struct caller_flow *f)
{
	const struct router_target *best = NULL;
	uint64_t best_weight = 0;
	size_t in_rotation = 0;
	size_t elsewhere = 0;
	size_t own = 0;
	bool use_others;

	for (size_t i = 0; i < c->instance_nr; i++) {
		bool is_own = !c->instances[i].domain;
		bool is_used = c->instances[i].misses < 2;

		own += is_own;
		in_rotation += is_own && is_used;
		elsewhere += !is_own && is_used;
	}
	use_others = !in_rotation && elsewhere;
	for (size_t i = 0; i < c->instance_nr; i++) {
		uint64_t weight = (f->port * 2654435761ULL) ^
				  ((i + 1) * 0x9e3779b97f4a7c15ULL);

		weight ^= weight >> 29;
		weight *= 0xbf58476d1ce4e5b9ULL;
		weight ^= weight >> 32;
		if (!c->instances[i].domain == use_others ||
		    ((use_others || 2 * in_rotation >= own) &&
		     c->instances[i].misses >= 2))
			continue;
		if (!best || weight > best_weight) {
			best = &c->instances[i];
			best_weight = weight;
		}
	}
	return best;
}

static void send_flow(struct cookie_caller *c, const struct caller_flow *f,
		      uint8_t flags, uint32_t ack, const char *data)
{
	const struct router_target *to = pick_instance(c, f);
	struct cookie_packet p = {
		.flags = flags, .cookie = f->cookie, .seq = f->seq, .ack = ack
	};
	uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX_BYTES];
	size_t len;

	p.key.caller_ip = endpoint_ipv4(&c->own);
	p.key.caller_port = f->port;
	p.key.service_ip = endpoint_ipv4(&c->service);
	p.key.service_port = c->service.port;
	p.payload_len = data ? (uint16_t)strlen(data) : 0;
	len = write_cookie_packet(&p, data, out);
	queue_datagram(c->dg, endpoint_ipv4(&to->at), c->own.port, NULL, 0, out,
		       len);
}

static void send_syn(struct cookie_caller *c, struct caller_flow *f)
{
	send_flow(c, f, TCP_SYN, f->syns_sent++, NULL);
}

static void request_text(const struct caller_flow *f, char *text, size_t size)
{
	g_snprintf(text, size, "f%u-%u", f->port, f->request);
}

/* Sends part NR of the request of F, of which the last one is its text. */
static void send_part(struct cookie_caller *c, const struct caller_flow *f,
		      unsigned int nr)
{
	struct caller_flow at = *f;
	char text[32];

	at.seq += nr * (uint32_t)strlen(COOKIE_PART_TEXT);
	if (nr < c->parts)
		g_strlcpy(text, COOKIE_PART_TEXT, sizeof(text));
	else
		request_text(f, text, sizeof(text));
	send_flow(c, &at, TCP_ACK, f->ack, text);
}

static void send_next_part(struct cookie_caller *c, struct caller_flow *f)
{
	f->next_part_ms = uv_now(c->loop) + c->pace_ms;
	if (f->parts_sent == f->parts_acked) {
		f->resend_interval_ms = RESEND_MIN_MS;
		f->next_resend_ms = uv_now(c->loop) + f->resend_interval_ms;
	}
	send_part(c, f, f->parts_sent++);
}

/* Reports that F ended early: WHAT is "reset" or "lost". */
static void report_early_end(const struct caller_flow *f, const char *what)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	printf("%s on %s %llu %u\n", what,
	       f->upstream[0] ? f->upstream : "none",
	       (unsigned long long)tv.tv_sec * 1000 +
		       (unsigned long long)tv.tv_usec / 1000,
	       f->port);
	fflush(stdout);
}

static void close_flow(struct cookie_caller *c, struct caller_flow *f)
{
	f->phase = PHASE_CLOSED;
	f->phase_started_ms = uv_now(c->loop);
}

static void open_flow(struct cookie_caller *c, struct caller_flow *f)
{
	bool ever_answered = f->ever_answered;

	memset(f, 0, sizeof(*f));
	f->ever_answered = ever_answered;
	f->phase = PHASE_OPENING;
	f->port = c->next_port++;
	f->seq = g_random_int();
	f->phase_started_ms = uv_now(c->loop);
	f->next_resend_ms = f->phase_started_ms + RESEND_MIN_MS;
	send_syn(c, f);
}

static void start_request(struct cookie_caller *c, struct caller_flow *f)
{
	f->phase = PHASE_WAITING;
	f->request++;
	f->phase_started_ms = uv_now(c->loop);
	f->parts_sent = 0;
	f->parts_acked = 0;
	send_next_part(c, f);
}

static void tick_opening(struct cookie_caller *c, struct caller_flow *f,
			 uint64_t now)
{
	if (now - f->phase_started_ms >= SYN_TIMEOUT_MS) {
		c->lost++;
		report_early_end(f, "lost");
		close_flow(c, f);
	} else if (f->syns_sent < 3 && now >= f->next_resend_ms) {
		f->next_resend_ms += 2 * RESEND_MIN_MS;
		send_syn(c, f);
	}
}

static void tick_waiting(struct cookie_caller *c, struct caller_flow *f,
			 uint64_t now)
{
	if (f->parts_sent <= c->parts && now >= f->next_part_ms &&
	    f->parts_sent - f->parts_acked < PARTS_MAX)
		send_next_part(c, f);
	if (now - f->phase_started_ms >= DEADLINE_MS + c->parts * c->pace_ms) {
		c->lost++;
		report_early_end(f, "lost");
		send_flow(c, f, TCP_ACK | TCP_FIN, f->ack, NULL);
		close_flow(c, f);
	} else if (f->parts_sent > f->parts_acked && now >= f->next_resend_ms) {
		f->resend_interval_ms =
			MIN(2 * f->resend_interval_ms, RESEND_MAX_MS);
		f->next_resend_ms = now + f->resend_interval_ms;
		send_part(c, f, f->parts_acked);
	}
}

/* The upstream has acknowledged the bytes of F before ACK. */
static void note_parts(struct cookie_caller *c, struct caller_flow *f,
		       uint32_t ack)
{
	unsigned int parts =
		(ack - f->seq) / (uint32_t)strlen(COOKIE_PART_TEXT);

	if ((int32_t)(ack - f->seq) <= 0 || parts <= f->parts_acked ||
	    parts > f->parts_sent || parts > c->parts)
		return;
	f->parts_acked = parts;
	f->resend_interval_ms = RESEND_MIN_MS;
	f->next_resend_ms = uv_now(c->loop) + f->resend_interval_ms;
}

/* Closes the flows, so that they are no load for later callers, and reports. */
static void end(struct cookie_caller *c)
{
	for (size_t i = 0; i < c->flow_nr; i++) {
		struct caller_flow *f = &c->flows[i];

		if (f->phase == PHASE_IDLE || f->phase == PHASE_WAITING)
			send_flow(c, f, TCP_ACK | TCP_FIN, f->ack, NULL);
	}
	flush_datagrams(c->dg);
	printf("answered=%u opened=%u refused=%u reset=%u lost=%u wrong=%u "
	       "moved=%u late_ms=%llu\n",
	       c->answered, c->opened, c->refused, c->reset, c->lost, c->wrong,
	       c->moved, (unsigned long long)c->longest_wait_ms);
	exit(c->wrong || c->moved);
}

static void on_tick(uv_timer_t *timer)
{
	struct cookie_caller *c = timer->data;
	uint64_t now = uv_now(c->loop);

	if (now >= c->end_ms)
		end(c);
	for (size_t i = 0; i < c->flow_nr; i++) {
		struct caller_flow *f = &c->flows[i];

		switch (f->phase) {
		case PHASE_CLOSED:
			if (now - f->phase_started_ms >= REOPEN_DELAY_MS)
				open_flow(c, f);
			break;
		case PHASE_OPENING:
			tick_opening(c, f, now);
			break;
		case PHASE_IDLE:
			if (now - f->phase_started_ms >= c->pause_ms)
				start_request(c, f);
			break;
		case PHASE_WAITING:
			tick_waiting(c, f, now);
			break;
		}
	}
	flush_datagrams(c->dg);
}

/* Reports the upstream of F, which got its first answer from it. */
static void report_first_answer(struct cookie_caller *c, struct caller_flow *f)
{
	printf("flow on %s\n", f->upstream);
	if (!f->ever_answered && ++c->answered_flow_nr == c->flow_nr)
		printf("all flows answered\n");
	f->ever_answered = true;
	fflush(stdout);
}

static void handle_answer(struct cookie_caller *c, struct caller_flow *f,
			  const uint8_t *data, const struct cookie_packet *p)
{
	char text[256];
	char expected[32];
	char *rest;
	uint64_t took = uv_now(c->loop) - f->phase_started_ms;

	g_snprintf(text, sizeof(text), "%.*s", p->payload_len,
		   (const char *)data);
	rest = strchr(text, ' ');
	if (rest)
		*rest++ = '\0';
	request_text(f, expected, sizeof(expected));
	if (f->phase != PHASE_WAITING || p->seq != f->ack)
		return; /* a resent answer */
	if (!rest || strcmp(rest, expected) != 0)
		c->wrong++;
	if (f->upstream[0] && strcmp(f->upstream, text) != 0)
		c->moved++;
	if (!f->upstream[0]) {
		g_strlcpy(f->upstream, text, sizeof(f->upstream));
		report_first_answer(c, f);
	}
	c->answered++;
	c->longest_wait_ms = MAX(c->longest_wait_ms, took);
	f->seq += (uint32_t)strlen(expected) +
		  c->parts * (uint32_t)strlen(COOKIE_PART_TEXT);
	f->ack += p->payload_len;
	f->phase = PHASE_IDLE;
	f->phase_started_ms = uv_now(c->loop);
	if (p->flags & TCP_FIN || f->request == c->requests_per_flow) {
		send_flow(c, f, TCP_ACK | TCP_FIN, f->ack, NULL);
		close_flow(c, f);
		return;
	}
	send_flow(c, f, TCP_ACK, f->ack, NULL);
}

static void handle_reset(struct cookie_caller *c, struct caller_flow *f)
{
	if (f->phase == PHASE_OPENING)
		c->refused++;
	if (f->phase == PHASE_IDLE || f->phase == PHASE_WAITING) {
		c->reset++;
		report_early_end(f, "reset");
	}
	close_flow(c, f);
}

static void on_datagram(uint8_t *data, size_t len, const struct endpoint *from,
			void *user)
{
	struct cookie_caller *c = user;
	struct caller_flow *f = NULL;
	struct cookie_packet p;

	(void)from;
	if (!read_platform_packet(data, len, &p))
		return;
	/* the key's service fields hold the caller in packets to it */
	for (size_t i = 0; i < c->flow_nr && !f; i++)
		if (c->flows[i].port == p.key.service_port)
			f = &c->flows[i];
	if (!f || f->phase == PHASE_CLOSED)
		return;
	if (p.flags & TCP_RST) {
		handle_reset(c, f);
		return;
	}
	if (p.flags & TCP_SYN && g_random_int_range(0, 1000) < c->lost_per_1000)
		return;
	f->cookie = p.cookie;
	if (p.flags & TCP_SYN && f->phase == PHASE_OPENING) {
		c->opened++;
		f->seq++;
		f->ack = p.seq + 1;
		send_flow(c, f, TCP_ACK, f->ack, NULL);
		start_request(c, f);
	} else if (!p.payload_len && f->phase == PHASE_WAITING) {
		note_parts(c, f, p.ack);
	} else if (p.payload_len) {
		handle_answer(c, f, data + PLATFORM_HEADER_BYTES, &p);
	}
}

static void on_ready_answer(const struct http_call_result *r, void *data)
{
	struct router_target *t = data;

	if (r->kind == STATUS_OK && r->answer->code == 200)
		t->misses = 0;
	else
		t->misses++;
}

static void on_ready_timer(uv_timer_t *timer)
{
	struct cookie_caller *c = timer->data;

	for (size_t i = 0; i < c->instance_nr; i++) {
		struct http_message *m = create_http_message();

		m->method = HTTP_GET;
		m->target = g_strdup("/ready");
		start_http_call(c->loop, &c->instances[i].at, m,
				READY_CHECK_INTERVAL_MS, 4096, on_ready_answer,
				&c->instances[i]);
		destroy_http_message(m);
	}
}

static bool read_instances(struct cookie_caller *c, const char *list)
{
	char **domains = g_strsplit(list, "/", -1);
	bool ok = true;

	for (unsigned int d = 0; domains[d] && ok; d++) {
		char **parts = g_strsplit(domains[d], ",", -1);

		for (char **p = parts;
		     *p && ok && c->instance_nr < INSTANCES_MAX; p++) {
			struct router_target *rt =
				&c->instances[c->instance_nr++];

			rt->domain = d;
			ok = parse_address(*p, &rt->at, NULL) == STATUS_OK;
			rt->at.port = (uint16_t)(c->own.port + 1);
		}
		g_strfreev(parts);
	}
	g_strfreev(domains);
	return ok;
}

static void on_sigterm(uv_signal_t *sig, int signum)
{
	(void)signum;
	end(sig->data);
}

static void start(struct cookie_caller *c, uint64_t seconds)
{
	c->flows = g_new0(struct caller_flow, c->flow_nr);
	c->next_port = (uint16_t)(1024 + (uint64_t)getpid() % 20000);
	uv_update_time(c->loop);
	c->end_ms = uv_now(c->loop) + seconds * 1000;
	uv_timer_init(c->loop, &c->timer);
	uv_timer_init(c->loop, &c->ready_timer);
	c->timer.data = c;
	c->ready_timer.data = c;
	uv_signal_init(c->loop, &c->sigterm);
	c->sigterm.data = c;
	uv_signal_start(&c->sigterm, on_sigterm, SIGTERM);
	uv_timer_start(&c->timer, on_tick, TICK_MS, TICK_MS);
	uv_timer_start(&c->ready_timer, on_ready_timer, 0,
		       READY_CHECK_INTERVAL_MS);
}

int main(int argc, char **argv)
{
	struct cookie_caller c = { 0 };
	struct status st = { 0 };

	if (argc < 7 || argc == 10 || argc > 11 ||
	    parse_endpoint(argv[1], &c.own, &st) != STATUS_OK ||
	    parse_endpoint(argv[2], &c.service, &st) != STATUS_OK ||
	    !read_instances(&c, argv[3])) {
		fprintf(stderr, "usage: cookie-caller-stand-in ADDRESS:PORT "
				"SERVICE INSTANCES FLOWS SECONDS PAUSE-MS "
				"[REQUESTS [LOST [PARTS PACE-MS]]]\n");
		return 1;
	}
	c.loop = uv_default_loop();
	c.flow_nr = (size_t)atoi(argv[4]);
	c.pause_ms = (uint64_t)atoi(argv[6]);
	c.requests_per_flow = argc > 7 ? (unsigned int)atoi(argv[7]) : 0;
	c.lost_per_1000 = argc > 8 ? atoi(argv[8]) : 0;
	c.parts = argc > 9 ? (unsigned int)atoi(argv[9]) - 1 : 0;
	c.pace_ms = argc > 9 ? (uint64_t)atoi(argv[10]) : 0;
	c.dg = create_datagrams(c.loop, &c.own, on_datagram, &c, &st);
	if (!c.dg) {
		fprintf(stderr, "cookie-caller-stand-in: %s\n", st.message);
		return 1;
	}
	start(&c, (uint64_t)atoi(argv[5]));
	return uv_run(c.loop, UV_RUN_DEFAULT);
}
