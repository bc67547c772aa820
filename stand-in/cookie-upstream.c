/*
 * cookie-upstream-stand-in ID SERVICE DOMAIN ADDRESS:PORT CALLER-PORT
 * STORE WORK-MS: one upstream of the users' platform for tests. Registers
 * itself in the store, receives packets over UDP, answers health checks over
 * TCP, and answers each request after WORK-MS with "ID REQUEST". Answers a SYN
 * again until a packet acknowledges its own sequence number, which opens the
 * flow; other packets of flows that are not open get a reset.
 *
 * On SIGTERM it announces that it is draining, serves for another DRAIN_MS, stops
 * listening and serves open flows for UNLISTENING_MS more; then it deletes its
 * entry in the store and exits. Prints "exit ID T" (T in ms since 1970) then,
 * "late syn T" for a SYN that arrives more than LATE_SYN_AFTER_MS after the
 * announcement, and "changed packet" for a packet whose checksum is wrong.
 */

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include "net/datagrams.h"
#include "net/http-client.h"
#include "net/http-server.h"
#include "stand-in/cookie-wire.h"

#define HEARTBEAT_MS 400
#define DRAIN_MS 4500
#define UNLISTENING_MS 2500
#define LATE_SYN_AFTER_MS 3000
#define SYN_ACKS_MAX 9 /* for a SYN */
#define SYN_ACK_MIN_MS 200
#define SYN_ACK_MAX_MS 1600
#define SYN_ACK_TICK_MS 20

struct served_flow {
	struct flow_key key;
	uint32_t seq;	       /* next byte to send */
	uint32_t expected_seq; /* next byte from the caller */
	char last_answer[256]; /* resent when the request is repeated */
	bool open;
	unsigned int part_nr; /* of uploads, also those that were repeated */
	struct cookie_packet syn_ack;
	unsigned int syn_ack_nr;
	uint64_t syn_ack_due_ms; /* loop time */
};

struct cookie_stand_in {
	uv_loop_t *loop;
	uv_timer_t heartbeat;
	uv_timer_t syn_ack_timer;
	uv_signal_t sigterm;
	const char *name;
	const char *service;
	const char *domain;
	struct endpoint at;
	struct endpoint store;
	uint16_t caller_port;
	uint64_t work_ms;
	uint64_t id;	    /* hexadecimal end of NAME; prefix of its packets */
	uint32_t first_seq; /* of all flows; differs from that of others */
	uint64_t start_ms;
	json_int_t write_count;
	uint64_t
		drain_until_ms; /* end of its service; loop time, 0: not draining */
	uint64_t drain_announced_ms; /* loop time */
	GHashTable *flows;	     /* of struct served_flow */
	struct datagrams *dg;
	struct http_server *health; /* NULL: does not listen any more */
};

struct delayed_answer {
	uv_timer_t timer;
	struct cookie_stand_in *u;
	struct flow_key key;
	struct cookie_packet request;
	char text[200];
};

static uint64_t now_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

static void on_announced(const struct http_call_result *r, void *data)
{
	(void)r;
	(void)data;
}

static void announce(struct cookie_stand_in *u, bool leave)
{
	struct http_message *m = create_http_message();
	char at[ENDPOINT_TEXT_MAX];
	json_t *j = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}", "service",
		u->service, "addr", format_endpoint(&u->at, at), "zone",
		u->domain, "version", "v1", "slots", 3, "state",
		u->drain_until_ms ? "draining" : "ready", "warmupLeftMs", 0,
		"seq", ++u->write_count, "born", (json_int_t)u->start_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	m->method = leave ? HTTP_DELETE : HTTP_PUT;
	m->target = g_strdup_printf("/entry?servers/%s", u->name);
	set_http_body(m, text);
	start_http_call(u->loop, &u->store, m, 1000, 65536, on_announced, NULL);
	destroy_http_message(m);
	free(text);
	json_decref(j);
}

static void send_packet(struct cookie_stand_in *u,
			const struct cookie_packet *p, const void *data)
{
	uint8_t out[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX_BYTES];
	size_t len = write_cookie_packet(p, data, out);

	/* the key's service fields hold the caller in packets to it */
	queue_datagram(u->dg, p->key.service_ip, u->caller_port, NULL, 0, out,
		       len);
}

static void send_answer(struct cookie_stand_in *u, struct served_flow *f,
			const struct cookie_packet *request)
{
	struct cookie_packet a = reply_to_packet(request);

	if (u->drain_until_ms)
		a.flags |=
			TCP_FIN; /* while draining, an answer closes its flow */
	a.payload_len = (uint16_t)strlen(f->last_answer);
	a.seq = f->seq;
	a.ack = f->expected_seq;
	send_packet(u, &a, f->last_answer);
	flush_datagrams(u->dg);
}

static guint hash_key(gconstpointer k)
{
	const struct flow_key *key = k;

	return key->caller_ip * 31U + key->caller_port;
}

static gboolean keys_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

static void free_delayed_answer(uv_handle_t *h)
{
	g_free(h->data);
}

static void on_work_done(uv_timer_t *timer)
{
	struct delayed_answer *d = timer->data;
	struct served_flow *f = g_hash_table_lookup(d->u->flows, &d->key);

	if (f) {
		g_strlcpy(f->last_answer, d->text, sizeof(f->last_answer));
		send_answer(d->u, f, &d->request);
	}
	uv_close((uv_handle_t *)timer, free_delayed_answer);
}

static void run_request(struct cookie_stand_in *u,
			const struct cookie_packet *p, const uint8_t *data)
{
	struct delayed_answer *d = g_new0(struct delayed_answer, 1);

	d->u = u;
	d->key = p->key;
	d->request = *p;
	g_snprintf(d->text, sizeof(d->text), "%s %.*s", u->name,
		   (int)MIN(p->payload_len, 100), (const char *)data);
	uv_timer_init(u->loop, &d->timer);
	d->timer.data = d;
	uv_timer_start(&d->timer, on_work_done, u->work_ms, 0);
}

static void reset_caller(struct cookie_stand_in *u,
			 const struct cookie_packet *p)
{
	struct cookie_packet a = reply_to_packet(p);

	a.flags = TCP_RST;
	a.seq = p->ack;
	send_packet(u, &a, NULL);
}

/* Whether P is part of an upload and not its last one. */
static bool is_part(const struct cookie_packet *p, const uint8_t *data)
{
	return p->payload_len == strlen(COOKIE_PART_TEXT) &&
	       !memcmp(data, COOKIE_PART_TEXT, p->payload_len);
}

static void handle_data(struct cookie_stand_in *u, struct served_flow *f,
			const struct cookie_packet *p, const uint8_t *data)
{
	struct cookie_packet ack = reply_to_packet(p);

	if (p->ack > f->seq) {
		f->seq = p->ack;
		f->last_answer[0] = '\0';
	}
	if (!p->payload_len)
		return;
	if (p->seq == f->expected_seq) {
		f->expected_seq += p->payload_len;
		if (!is_part(p, data))
			run_request(u, p, data);
	} else if (f->last_answer[0]) {
		send_answer(u, f, p);
		return;
	}
	/* every second one of an upload is acknowledged */
	if (is_part(p, data) && ++f->part_nr % 2)
		return;
	ack.seq = f->seq;
	ack.ack = f->expected_seq;
	send_packet(u, &ack, NULL);
}

static void send_syn_ack(struct cookie_stand_in *u, struct served_flow *f)
{
	uint64_t wait_ms = (uint64_t)SYN_ACK_MIN_MS << f->syn_ack_nr++;

	f->syn_ack_due_ms = uv_now(u->loop) + MIN(wait_ms, SYN_ACK_MAX_MS);
	send_packet(u, &f->syn_ack, NULL);
}

static void on_syn_ack_timer(uv_timer_t *timer)
{
	struct cookie_stand_in *u = timer->data;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, u->flows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct served_flow *f = value;

		if (!f->open && f->syn_ack_nr < SYN_ACKS_MAX &&
		    uv_now(u->loop) >= f->syn_ack_due_ms)
			send_syn_ack(u, f);
	}
	flush_datagrams(u->dg);
}

static void handle_syn(struct cookie_stand_in *u, const struct cookie_packet *p)
{
	struct served_flow *f = g_hash_table_lookup(u->flows, &p->key);
	struct cookie_packet a = reply_to_packet(p);

	if (f && f->open && f->syn_ack.ack == p->seq + 1)
		return;
	if (!f) {
		f = g_new0(struct served_flow, 1);
		f->key = p->key;
		g_hash_table_insert(u->flows, &f->key, f);
	}
	f->open = false;
	f->seq = u->first_seq + 1;
	f->expected_seq = p->seq + 1;
	a.flags |= TCP_SYN;
	a.seq = u->first_seq;
	a.ack = f->expected_seq;
	f->syn_ack = a;
	f->syn_ack_nr = 0;
	send_syn_ack(u, f);
}

static void handle_packet(struct cookie_stand_in *u,
			  const struct cookie_packet *p, const uint8_t *data)
{
	struct served_flow *f = g_hash_table_lookup(u->flows, &p->key);

	if (is_cookie_syn(p) && !u->health) {
		reset_caller(u, p);
		return;
	}
	if (is_cookie_syn(p)) {
		if (u->drain_announced_ms &&
		    uv_now(u->loop) - u->drain_announced_ms >
			    LATE_SYN_AFTER_MS) {
			printf("late syn %llu\n", (unsigned long long)now_ms());
			fflush(stdout);
		}
		handle_syn(u, p);
		return;
	}
	if (f && !f->open && p->ack == f->seq)
		f->open = true;
	if (!f || !f->open) {
		reset_caller(u, p);
	} else if (p->flags & (TCP_FIN | TCP_RST)) {
		g_hash_table_remove(u->flows, &p->key);
	} else {
		handle_data(u, f, p, data);
	}
}

static void on_datagram(uint8_t *data, size_t len, const struct endpoint *from,
			void *user)
{
	struct cookie_stand_in *u = user;
	struct cookie_packet p;
	uint64_t to = 0;

	(void)from;
	if (len < PLATFORM_PREFIX_BYTES)
		return;
	for (int i = 0; i < PLATFORM_PREFIX_BYTES; i++)
		to = to << 8 | data[i];
	data += PLATFORM_PREFIX_BYTES;
	len -= PLATFORM_PREFIX_BYTES;
	if (to != u->id || !read_platform_packet(data, len, &p))
		return;
	if (!has_valid_packet_checksum(data, len)) {
		printf("changed packet\n");
		fflush(stdout);
		return;
	}
	handle_packet(u, &p, data + PLATFORM_HEADER_BYTES);
}

static void on_health(struct http_exchange *ex, const struct http_message *m,
		      void *data)
{
	const struct cookie_stand_in *u = data;
	struct http_message *answer = create_http_message();

	(void)m;
	answer->code = u->drain_until_ms ? 503 : 200;
	add_http_header(answer, "X-Instance-Id", u->name);
	answer_http(ex, answer);
}

static void on_heartbeat(uv_timer_t *timer)
{
	struct cookie_stand_in *u = timer->data;

	if (u->health && u->drain_until_ms &&
	    uv_now(u->loop) - u->drain_announced_ms >= DRAIN_MS) {
		destroy_http_server(u->health);
		u->health = NULL;
	}
	if (!u->drain_until_ms || uv_now(u->loop) < u->drain_until_ms) {
		announce(u, false);
	} else {
		printf("exit %s %llu\n", u->name, (unsigned long long)now_ms());
		fflush(stdout);
		announce(u, true);
		uv_timer_stop(timer);
		uv_stop(u->loop);
	}
}

static void on_sigterm(uv_signal_t *sig, int signum)
{
	struct cookie_stand_in *u = sig->data;

	(void)signum;
	u->drain_announced_ms = uv_now(u->loop);
	u->drain_until_ms = u->drain_announced_ms + DRAIN_MS + UNLISTENING_MS;
	announce(u, false);
}

static bool start(struct cookie_stand_in *u, struct status *st)
{
	struct http_handler handler = { .on_request = on_health, .data = u };

	u->start_ms = now_ms();
	u->loop = uv_default_loop();
	u->flows = g_hash_table_new_full(hash_key, keys_equal, NULL, g_free);
	u->dg = create_datagrams(u->loop, &u->at, on_datagram, u, st);
	if (!u->dg)
		return false;
	u->health = create_http_server(u->loop, &u->at, 4096, &handler, st);
	if (!u->health)
		return false;
	uv_timer_init(u->loop, &u->heartbeat);
	u->heartbeat.data = u;
	uv_timer_start(&u->heartbeat, on_heartbeat, 0, HEARTBEAT_MS);
	uv_timer_init(u->loop, &u->syn_ack_timer);
	u->syn_ack_timer.data = u;
	uv_timer_start(&u->syn_ack_timer, on_syn_ack_timer, SYN_ACK_TICK_MS,
		       SYN_ACK_TICK_MS);
	uv_signal_init(u->loop, &u->sigterm);
	u->sigterm.data = u;
	uv_signal_start(&u->sigterm, on_sigterm, SIGTERM);
	return true;
}

int main(int argc, char **argv)
{
	struct cookie_stand_in u = { 0 };
	struct status st = { 0 };
	const char *dash;

	if (argc != 8 || parse_endpoint(argv[4], &u.at, &st) != STATUS_OK ||
	    parse_endpoint(argv[6], &u.store, &st) != STATUS_OK) {
		fprintf(stderr, "usage: cookie-upstream-stand-in ID SERVICE "
				"DOMAIN ADDRESS:PORT CALLER-PORT STORE "
				"WORK-MS\n");
		return 1;
	}
	u.name = argv[1];
	u.service = argv[2];
	u.domain = argv[3];
	u.caller_port = (uint16_t)atoi(argv[5]);
	u.work_ms = (uint64_t)atoi(argv[7]);
	dash = strrchr(u.name, '-');
	u.id = g_ascii_strtoull(dash ? dash + 1 : u.name, NULL, 16);
	u.first_seq = (uint32_t)(u.id * 0x01000193);
	if (!start(&u, &st)) {
		fprintf(stderr, "cookie-upstream-stand-in: %s\n", st.message);
		return 1;
	}
	uv_run(u.loop, UV_RUN_DEFAULT);
	/* the last call to the store may still be in progress */
	for (int i = 0; i < 20; i++)
		uv_run(u.loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(u.flows);
	return 0;
}
