#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { SYN = 128, ACK = 64, FIN = 32, RST = 2, BOUNCED = 16 };
#define HEAD_BYTES 32
#define DATA_BYTES 1200
#define PREFIX_BYTES 8
#define SYN_TIMEOUT_MS 1400
#define DEADLINE_MS 4000
#define READY_INTERVAL_MS 500
#define READY_TIMEOUT_MS 450
#define CALL_TIMEOUT_MS 1000
#define REPEAT_MIN_MS 200 /* before a missing packet is sent again; doubles */
#define REPEAT_MAX_MS 1600
#define REPEATS_MAX 8 /* by a target, which gives up then */

/* A packet, decoded. */
struct packet {
	uint8_t flags;
	uint32_t echo;
	uint32_t src, dst, seq, ack;
	uint16_t sport, dport, len;
	const uint8_t *data;
};

/* A TCP connection that is written once and read until it ends. */
struct connection {
	int fd; /* -1: free */
	uint64_t began_ms;
	struct target *server; /* NULL: a call of the store */
	char in[1024];
	size_t in_len;
	bool answered;
};

static struct connection connections[256];

uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint32_t address(int net, int c, int d)
{
	return 127U << 24 | (uint32_t)net << 16 | (uint32_t)c << 8 |
	       (uint32_t)d;
}

void note(struct world *w, const char *format, ...)
{
	va_list args;

	fprintf(w->record, "%9.3f ", (double)(now_ms() - w->start_ms) / 1000);
	va_start(args, format);
	vfprintf(w->record, format, args);
	va_end(args);
	fputc('\n', w->record);
}

static void put16(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put32(uint8_t *p, uint32_t v)
{
	put16(p, v >> 16);
	put16(p + 2, v & 0xffff);
}

static uint16_t get16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t get32(const uint8_t *p)
{
	return (uint32_t)get16(p) << 16 | get16(p + 2);
}

/* The keyed sum: over all but echo, pad and BOUNCED. */
static uint32_t sum_packet(const uint8_t *p, size_t len)
{
	uint64_t h = 0xcbf29ce484222325ULL ^ 0x5eed5eed1234ULL;

	for (size_t i = 0; i < len; i++) {
		uint8_t b = p[i];

		if (i == 0)
			b = (uint8_t)(b & ~BOUNCED);
		if (i >= 1 && i < 10)
			continue;
		h = (h ^ b) * 0x100000001b3ULL;
	}
	h ^= h >> 32;
	return (uint32_t)h ? (uint32_t)h : 1;
}

static size_t encode(const struct packet *p, uint8_t *out)
{
	memset(out, 0, HEAD_BYTES);
	out[0] = p->flags;
	put32(out + 2, p->echo);
	put16(out + 10, p->dport);
	put32(out + 12, p->src);
	put16(out + 16, p->sport);
	put32(out + 18, p->dst);
	put32(out + 22, p->seq);
	put32(out + 26, p->ack);
	put16(out + 30, p->len);
	if (p->len)
		memcpy(out + HEAD_BYTES, p->data, p->len);
	put32(out + 6, sum_packet(out, HEAD_BYTES + p->len));
	return HEAD_BYTES + (size_t)p->len;
}

/* False if the packet is malformed. *SUM_OK: its keyed sum is right. */
static bool decode(const uint8_t *in, size_t len, struct packet *p,
		   uint32_t *sum, bool *sum_ok)
{
	if (len < HEAD_BYTES || len > HEAD_BYTES + DATA_BYTES)
		return false;
	p->flags = in[0];
	p->echo = get32(in + 2);
	*sum = get32(in + 6);
	p->dport = get16(in + 10);
	p->src = get32(in + 12);
	p->sport = get16(in + 16);
	p->dst = get32(in + 18);
	p->seq = get32(in + 22);
	p->ack = get32(in + 26);
	p->len = get16(in + 30);
	p->data = in + HEAD_BYTES;
	*sum_ok = *sum == sum_packet(in, len);
	return p->len == len - HEAD_BYTES;
}

static struct sockaddr_in socket_address(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr = { htonl(ip) } };

	return sa;
}

static int bind_socket(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = socket_address(ip, port);
	int one = 1;
	int size = 4 << 20;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (type == SOCK_DGRAM)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    (type == SOCK_STREAM && listen(fd, 128))) {
		fprintf(stderr, "cannot bind %08x:%u: %s\n", ip, port,
			strerror(errno));
		exit(2);
	}
	return fd;
}

static int connect_to(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void send_to(int fd, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t len)
{
	struct sockaddr_in sa = socket_address(ip, port);

	sendto(fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof(sa));
}

/* ---- store and health connections ---- */

static struct connection *free_connection(void)
{
	for (size_t i = 0; i < sizeof(connections) / sizeof(connections[0]);
	     i++)
		if (connections[i].fd < 0)
			return &connections[i];
	return NULL;
}

void call_store(struct world *w, const char *method, const char *target,
		const char *body)
{
	struct connection *c = free_connection();
	char text[4096];
	int len;

	if (!c)
		return;
	c->fd = connect_to(w->store_ip, w->store_port);
	if (c->fd < 0)
		return;
	c->server = NULL;
	c->began_ms = now_ms();
	c->in_len = 0;
	c->answered = false;
	len = snprintf(text, sizeof(text),
		       "%s %s HTTP/1.1\r\nHost: store\r\nContent-Type: "
		       "application/json\r\nContent-Length: %zu\r\n"
		       "Connection: close\r\n\r\n%s",
		       method, target, strlen(body), body);
	/* on loopback the connection is open at once */
	if (send(c->fd, text, (size_t)len, MSG_NOSIGNAL) != len) {
		struct pollfd pf = { c->fd, POLLOUT, 0 };

		poll(&pf, 1, 20);
		if (send(c->fd, text, (size_t)len, MSG_NOSIGNAL) != len) {
			close(c->fd);
			c->fd = -1;
		}
	}
}

void write_target_entry(struct world *w, struct target *t)
{
	uint64_t now = now_ms();
	char key[96];
	char body[512];

	snprintf(key, sizeof(key), "/entry?servers/%s", t->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"addr\":\"%u.%u.%u.%u:%u\",\"zone\":"
		 "\"%s\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
		 "\"warmupLeftMs\":%llu,\"seq\":%u,\"born\":%llu}",
		 t->service, t->ip >> 24, t->ip >> 16 & 255, t->ip >> 8 & 255,
		 t->ip & 255, t->port, t->zone,
		 (unsigned long long)(t->cold_until_ms > now
					      ? t->cold_until_ms - now
					      : 0),
		 ++t->seq, (unsigned long long)t->born_ms);
	call_store(w, "PUT", key, body);
}

static void serve_connection(struct connection *c)
{
	char answer[256];
	ssize_t n = recv(c->fd, c->in + c->in_len,
			 sizeof(c->in) - 1 - c->in_len, MSG_DONTWAIT);

	if (n <= 0 && !(n < 0 && errno == EAGAIN)) {
		close(c->fd);
		c->fd = -1;
		return;
	}
	if (n > 0)
		c->in_len += (size_t)n;
	if (c->in_len >= sizeof(c->in) - 1)
		c->in_len = 0;
	c->in[c->in_len] = '\0';
	if (!c->server || c->answered || !strstr(c->in, "\r\n\r\n"))
		return;
	c->answered = true;
	n = snprintf(answer, sizeof(answer),
		     "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
		     "X-Server-Load: 0,0,8\r\nContent-Length: 0\r\n"
		     "Connection: close\r\n\r\n",
		     c->server->id);
	send(c->fd, answer, (size_t)n, MSG_NOSIGNAL);
	shutdown(c->fd, SHUT_WR);
}

static void accept_health_check(struct target *t)
{
	struct connection *c = free_connection();
	int fd = accept4(t->tcp, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return;
	if (!c) {
		close(fd);
		return;
	}
	*c = (struct connection){ .fd = fd, .began_ms = now_ms(), .server = t };
}

/* ---- routers ---- */

static bool zone_uses_all(const struct world *w, const char *zone)
{
	int all = 0;
	int in = 0;

	for (int i = 0; i < w->machine_nr; i++) {
		if (strcmp(w->machines[i].zone, zone) != 0)
			continue;
		all++;
		in += w->machines[i].misses < 2;
	}
	return 2 * in < all;
}

/* If none of the zone is in rotation, those of other zones are used. */
static bool zone_has_any(const struct world *w, const char *zone)
{
	for (int i = 0; i < w->machine_nr; i++)
		if (!strcmp(w->machines[i].zone, zone) &&
		    w->machines[i].misses < 2)
			return true;
	return false;
}

/* Rendezvous hashing over the zone's machines in rotation: hash "steady". */
static struct machine *pick_machine(struct world *w, const char *zone,
				    uint32_t client_ip, uint16_t client_port)
{
	bool use_all = zone_uses_all(w, zone);
	bool elsewhere = !zone_has_any(w, zone);
	struct machine *best = NULL;
	uint64_t best_weight = 0;

	for (int i = 0; i < w->machine_nr; i++) {
		struct machine *m = &w->machines[i];
		uint64_t h = ((uint64_t)client_ip << 16 | client_port) ^
			     (uint64_t)m->ip * 0x9e3779b97f4a7c15ULL;

		if (elsewhere ? m->misses >= 2
			      : strcmp(m->zone, zone) != 0 ||
					(m->misses >= 2 && !use_all))
			continue;
		h ^= h >> 31;
		h *= 0xbf58476d1ce4e5b9ULL;
		h ^= h >> 29;
		h *= 0x94d049bb133111ebULL;
		h ^= h >> 32;
		if (!best || h > best_weight) {
			best = m;
			best_weight = h;
		}
	}
	return best;
}

static void set_ready(struct world *w, struct machine *m, bool ready)
{
	int before = m->misses;

	m->misses = ready ? 0 : m->misses + 1;
	if ((before < 2) != (m->misses < 2))
		note(w, "routers: %s is %s rotation", m->name,
		     m->misses < 2 ? "in" : "out of");
}

static void poll_ready(struct world *w, struct machine *m)
{
	uint64_t now = now_ms();
	static const char get[] =
		"GET /ready HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
	char text[256];
	ssize_t n;

	if (m->ready_fd >= 0) {
		n = recv(m->ready_fd, text, sizeof(text) - 1, MSG_DONTWAIT);
		if (n > 0) {
			text[n] = '\0';
			set_ready(w, m, !strncmp(text, "HTTP/1.1 200", 12));
		} else if (n == 0 || errno != EAGAIN ||
			   now - m->ready_began_ms >= READY_TIMEOUT_MS) {
			set_ready(w, m, false);
		} else {
			return;
		}
		close(m->ready_fd);
		m->ready_fd = -1;
	}
	if (now < m->ready_next_ms)
		return;
	m->ready_next_ms = now + READY_INTERVAL_MS;
	m->ready_began_ms = now;
	m->ready_fd = connect_to(m->ip, READY_PORT);
	if (m->ready_fd >= 0) {
		struct pollfd pf = { m->ready_fd, POLLOUT, 0 };

		poll(&pf, 1, 2);
		send(m->ready_fd, get, sizeof(get) - 1, MSG_NOSIGNAL);
	} else {
		set_ready(w, m, false);
	}
}

bool all_ready(const struct world *w)
{
	for (int i = 0; i < w->machine_nr; i++)
		if (w->machines[i].misses)
			return false;
	return true;
}

/* ---- clients ---- */

static void send_client_packet(struct world *w, struct client_flow *f,
			       uint8_t flags, uint32_t seq, uint32_t ack,
			       const char *data)
{
	struct machine *m = pick_machine(w, w->clients[f->client].zone,
					 w->clients[f->client].ip, f->port);
	struct packet p = { .flags = flags,
			    .echo = flags & SYN ? 0 : f->echo,
			    .src = w->clients[f->client].ip,
			    .sport = f->port,
			    .dst = w->route_ip,
			    .dport = w->route_port,
			    .seq = seq,
			    .ack = ack,
			    .len = data ? (uint16_t)strlen(data) : 0,
			    .data = (const uint8_t *)data };
	uint8_t out[HEAD_BYTES + DATA_BYTES];
	size_t len = encode(&p, out);

	if (!m)
		return;
	f->last_machine = m;
	f->last_sent_ms = now_ms();
	send_to(w->clients[f->client].udp, m->ip, PACKET_PORT, out, len);
}

static void set_state(struct client_flow *f, enum flow_state s)
{
	f->state = s;
	f->state_ms = now_ms();
}

struct client_flow *open_client_flow(struct world *w, int client,
				     unsigned int requests, uint64_t pause_ms)
{
	struct client_flow *f;

	if (w->flow_nr >= FLOWS_MAX)
		return NULL;
	f = &w->flows[w->flow_nr++];
	f->client = client;
	f->port = w->clients[client].next_port++;
	f->seq = (uint32_t)random() << 1;
	f->request_goal = requests;
	f->pause_ms = pause_ms;
	f->began_ms = f->last_packet_ms = now_ms();
	f->resend_ms = f->began_ms + 200;
	set_state(f, FLOW_OPENING);
	send_client_packet(w, f, SYN, f->seq, f->syn_copies++, NULL);
	return f;
}

static void send_request(struct world *w, struct client_flow *f)
{
	send_client_packet(w, f, ACK, f->seq, f->ack, f->request);
}

static void start_request(struct world *w, struct client_flow *f)
{
	f->request_nr++;
	snprintf(f->request, sizeof(f->request), "q-%d-%u-%u", f->client,
		 f->port, f->request_nr);
	set_state(f, FLOW_WAITING);
	f->resend_interval_ms = 200;
	f->resend_ms = f->state_ms + 200;
	send_request(w, f);
}

static void tick_client_flow(struct world *w, struct client_flow *f)
{
	uint64_t now = now_ms();

	switch (f->state) {
	case FLOW_OPENING:
		if (now - f->began_ms >= SYN_TIMEOUT_MS) {
			w->abandoned++;
			set_state(f, FLOW_ENDED);
		} else if (now >= f->resend_ms && f->syn_copies < 3) {
			f->resend_ms += 400;
			send_client_packet(w, f, SYN, f->seq, f->syn_copies++,
					   NULL);
		}
		break;
	case FLOW_WAITING:
		if (now - f->state_ms >= DEADLINE_MS) {
			w->unanswered++;
			note(w, "client %d:%u: request %s not answered",
			     f->client, f->port, f->request);
			send_client_packet(w, f, FIN | ACK, f->seq, f->ack,
					   NULL);
			set_state(f, FLOW_ENDED);
		} else if (now >= f->resend_ms) {
			f->resend_interval_ms =
				f->resend_interval_ms < 800
					? 2 * f->resend_interval_ms
					: 1600;
			f->resend_ms = now + f->resend_interval_ms;
			send_request(w, f);
		}
		break;
	case FLOW_IDLE:
		if (f->request_nr >= f->request_goal) {
			send_client_packet(w, f, FIN | ACK, f->seq, f->ack,
					   NULL);
			set_state(f, FLOW_ENDED);
		} else if (now - f->state_ms >= f->pause_ms) {
			start_request(w, f);
		}
		break;
	case FLOW_FREE:
	case FLOW_ENDED:
		break;
	}
}

static struct client_flow *find_client_flow(struct world *w, int client,
					    uint16_t port)
{
	for (int i = w->flow_nr - 1; i >= 0; i--)
		if (w->flows[i].client == client && w->flows[i].port == port)
			return &w->flows[i];
	return NULL;
}

/* Which target sent the last reset of the flow KEY; see reset_client(). */
struct sent_reset {
	uint32_t client_ip;
	uint16_t client_port;
	uint32_t sum;
	struct target *by;
};
static struct sent_reset sent_resets[1024];
static unsigned int sent_reset_nr;

static struct target *find_reset_sender(uint32_t client_ip, uint16_t port,
					uint32_t sum)
{
	for (unsigned int i = 0; i < 1024; i++)
		if (sent_resets[i].by &&
		    sent_resets[i].client_ip == client_ip &&
		    sent_resets[i].client_port == port &&
		    sent_resets[i].sum == sum)
			return sent_resets[i].by;
	return NULL;
}

static struct target *
find_target_by_seq(struct world *w, const struct client_flow *f, uint32_t seq)
{
	for (int i = 0; i < w->target_nr; i++)
		for (int k = 0; k < 4096; k++) {
			const struct target_flow *tf = &w->targets[i].flows[k];

			if (tf->used &&
			    tf->client_ip == w->clients[f->client].ip &&
			    tf->client_port == f->port && tf->seq == seq)
				return &w->targets[i];
		}
	return NULL;
}

static void handle_client_reset(struct world *w, struct client_flow *f,
				const struct packet *p, uint32_t sum,
				bool sum_ok)
{
	struct target *by = NULL;

	if (f->state == FLOW_OPENING) {
		w->refused++;
		set_state(f, FLOW_ENDED);
		return;
	}
	if (sum == 0) {
		int32_t distance = (int32_t)(p->seq - f->ack);

		/* outside of the window a reset promises nothing */
		if (p->len || distance > 76800 || distance < -76800)
			return;
		w->resets_by_system++;
	} else if (sum_ok) {
		by = find_reset_sender(w->clients[f->client].ip, f->port, sum);
		w->resets_by_target++;
	} else {
		return;
	}
	if (w->on_reset)
		w->on_reset(w, f, by);
	if (f->state == FLOW_WAITING)
		w->unanswered++;
	set_state(f, FLOW_ENDED);
}

static void handle_client_packet(struct world *w, int client,
				 const uint8_t *data, size_t len)
{
	struct packet p;
	uint32_t sum;
	bool sum_ok;
	struct client_flow *f;

	if (random() % 1000 < (long)w->lost_per_1000) {
		w->lost_datagrams++;
		return;
	}
	if (!decode(data, len, &p, &sum, &sum_ok) || p.src != w->route_ip ||
	    p.sport != w->route_port || p.dst != w->clients[client].ip)
		return;
	f = find_client_flow(w, client, p.dport);
	if (!f || f->state == FLOW_ENDED || f->state == FLOW_FREE)
		return;
	if (p.flags & RST) {
		handle_client_reset(w, f, &p, sum, sum_ok);
		return;
	}
	if (!sum_ok)
		return;
	f->echo = p.echo; /* the last one received on the flow */
	if (p.flags & SYN) {
		f->last_echo_from = find_target_by_seq(w, f, p.seq);
		if (f->state != FLOW_OPENING || p.ack != f->seq + 1) {
			note(w,
			     "client %d:%u: SYN+ACK of %s on a flow that is "
			     "open at %s",
			     f->client, f->port,
			     f->last_echo_from ? f->last_echo_from->id : "?",
			     f->target ? f->target->id : "?");
			return;
		}
		f->seq++;
		f->ack = p.seq + 1;
		f->target = f->last_echo_from;
		f->opened_ms = f->last_packet_ms = now_ms();
		w->opened++;
		note(w, "client %d:%u: flow opens at %s after %u SYNs",
		     f->client, f->port, f->target ? f->target->id : "?",
		     f->syn_copies);
		send_client_packet(w, f, ACK, f->seq, f->ack, NULL);
		start_request(w, f);
		return;
	}
	f->last_echo_from = f->target;
	f->last_packet_ms = now_ms();
	if (!p.len || f->state != FLOW_WAITING || p.seq != f->ack)
		return;
	f->ack += p.len;
	f->seq += (uint32_t)strlen(f->request);
	w->answered++;
	set_state(f, FLOW_IDLE);
	send_client_packet(w, f, ACK, f->seq, f->ack, NULL);
}

/* ---- targets ---- */

static void send_target_packet(struct world *w, struct target *t,
			       const struct target_flow *f, uint8_t flags,
			       uint32_t seq, uint32_t ack, const char *data)
{
	struct packet p = { .flags = flags,
			    .echo = f->echo,
			    .src = f->route_ip,
			    .sport = f->route_port,
			    .dst = f->client_ip,
			    .dport = f->client_port,
			    .seq = seq,
			    .ack = ack,
			    .len = data ? (uint16_t)strlen(data) : 0,
			    .data = (const uint8_t *)data };
	uint8_t out[HEAD_BYTES + DATA_BYTES];
	size_t len = encode(&p, out);

	(void)w;
	if (flags & RST) {
		struct sent_reset *sr = &sent_resets[sent_reset_nr++ % 1024];

		sr->client_ip = f->client_ip;
		sr->client_port = f->client_port;
		sr->sum = get32(out + 6);
		sr->by = t;
	}
	send_to(t->udp, f->client_ip, PACKET_PORT, out, len);
}

static struct target_flow *find_target_flow(struct target *t,
					    const struct packet *p)
{
	for (int i = 0; i < 4096; i++) {
		struct target_flow *f = &t->flows[i];

		if (f->used && f->client_ip == p->src &&
		    f->client_port == p->sport && f->route_ip == p->dst &&
		    f->route_port == p->dport)
			return f;
	}
	return NULL;
}

static struct target_flow *add_target_flow(struct target *t,
					   const struct packet *p)
{
	struct target_flow *f = NULL;

	for (int i = 0; i < 4096 && !f; i++)
		if (!t->flows[i].used)
			f = &t->flows[i];
	if (!f)
		return NULL;
	*f = (struct target_flow){ .client_ip = p->src,
				   .client_port = p->sport,
				   .route_ip = p->dst,
				   .route_port = p->dport,
				   .client_seq = p->seq,
				   .seq = (uint32_t)random() << 1,
				   .next = p->seq + 1,
				   .used = true,
				   .syn_ms = now_ms() };
	return f;
}

static void reset_client(struct world *w, struct target *t,
			 const struct packet *p)
{
	struct target_flow f = { .client_ip = p->src,
				 .client_port = p->sport,
				 .route_ip = p->dst,
				 .route_port = p->dport,
				 .echo = p->echo };

	if (p->flags & RST)
		return;
	send_target_packet(w, t, &f, RST, p->ack, p->seq, NULL);
}

static void handle_target_packet(struct world *w, struct target *t,
				 const uint8_t *data, size_t len)
{
	struct packet p;
	uint32_t sum;
	bool sum_ok;
	uint64_t to = 0;
	struct target_flow *f;

	if (len < PREFIX_BYTES)
		return;
	to = (uint64_t)get32(data) << 32 | get32(data + 4);
	if (to && to != t->id_number)
		return; /* it is not the intended target */
	data += PREFIX_BYTES;
	len -= PREFIX_BYTES;
	if (!decode(data, len, &p, &sum, &sum_ok) || !sum_ok) {
		note(w, "target %s: changed or malformed packet", t->id);
		return;
	}
	f = find_target_flow(t, &p);
	if (p.flags & SYN) {
		if (f && f->client_seq != p.seq) {
			f->used = false;
			f = NULL;
		}
		if (!f) {
			f = add_target_flow(t, &p);
			if (!f)
				return; /* it is full */
			t->opened++;
			f->echo = p.echo;
			if (w->on_taken)
				w->on_taken(w, t, f);
		}
		f->echo = p.echo;
		f->syn_ack_due_ms = now_ms() + REPEAT_MIN_MS;
		f->syn_acks = 0;
		if (!f->open)
			send_target_packet(w, t, f, SYN | ACK, f->seq, f->next,
					   NULL);
		return;
	}
	/* a flow opens where the client acknowledges the target's own seq */
	if (f && !f->open && p.ack == f->seq + 1) {
		f->open = true;
		f->seq++;
	}
	if (!f || !f->open) {
		reset_client(w, t, &p);
		return;
	}
	f->echo = p.echo;
	if (p.flags & RST) {
		f->used = false;
		return;
	}
	if (f->last_answer[0] && p.ack == f->seq + strlen(f->last_answer)) {
		f->seq += (uint32_t)strlen(f->last_answer);
		f->last_answer[0] = '\0';
	}
	if (p.len && p.seq == f->next) {
		f->next += p.len;
		f->answer_due_ms = now_ms() + t->work_ms;
		snprintf(f->request, sizeof(f->request), "%.*s",
			 (int)(p.len < 31 ? p.len : 31), (const char *)p.data);
		w->runs++;
	} else if (p.len && f->last_answer[0]) {
		send_target_packet(w, t, f, ACK, f->seq, f->next,
				   f->last_answer);
	} else if (p.len) {
		send_target_packet(w, t, f, ACK, f->seq, f->next, NULL);
	}
	if (p.flags & FIN) {
		send_target_packet(w, t, f, FIN | ACK, f->seq, f->next + 1,
				   NULL);
		f->used = false;
	}
}

static void tick_target(struct world *w, struct target *t)
{
	uint64_t now = now_ms();

	if (t->registered && now >= t->next_beat_ms) {
		t->next_beat_ms = now + w->beat_ms;
		write_target_entry(w, t);
	}
	for (int i = 0; i < 4096; i++) {
		struct target_flow *f = &t->flows[i];

		if (!f->used)
			continue;
		if (f->answer_due_ms && now >= f->answer_due_ms) {
			f->answer_due_ms = 0;
			snprintf(f->last_answer, sizeof(f->last_answer),
				 "%s %s", t->id, f->request);
			send_target_packet(w, t, f, ACK, f->seq, f->next,
					   f->last_answer);
		}
		if (w->targets_repeat_syn_acks && !f->open &&
		    now >= f->syn_ack_due_ms && f->syn_acks < REPEATS_MAX) {
			uint64_t wait_ms = (uint64_t)REPEAT_MIN_MS
					   << ++f->syn_acks;

			f->syn_ack_due_ms =
				now + (wait_ms < REPEAT_MAX_MS ? wait_ms
							       : REPEAT_MAX_MS);
			send_target_packet(w, t, f, SYN | ACK, f->seq, f->next,
					   NULL);
		}
		/* a handshake that the client does not complete */
		if (!f->open && now - f->syn_ms > 20000)
			f->used = false;
	}
}

/* ---- all ---- */

struct world *create_world(int net, const char *record_path)
{
	struct world *w = calloc(1, sizeof(*w));

	w->net = net;
	w->start_ms = now_ms();
	w->route_ip = address(net, 1, 1);
	w->route_port = 8443;
	w->beat_ms = 1200;
	w->flows = calloc(FLOWS_MAX, sizeof(*w->flows));
	w->record = fopen(record_path, "a");
	if (!w->record)
		exit(2);
	for (size_t i = 0; i < sizeof(connections) / sizeof(connections[0]);
	     i++)
		connections[i].fd = -1;
	srandom((unsigned int)unix_ms());
	return w;
}

struct machine *add_machine(struct world *w, const char *name, const char *zone,
			    int d, int pid)
{
	struct machine *m = &w->machines[w->machine_nr++];

	snprintf(m->name, sizeof(m->name), "%s", name);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	m->ip = address(w->net, 71, d);
	m->pid = pid;
	m->misses = 2;
	m->ready_fd = -1;
	m->ready_next_ms = now_ms() + (uint64_t)(w->machine_nr * 37 % 500);
	return m;
}

struct target *add_target(struct world *w, const char *id, const char *service,
			  const char *zone, int d)
{
	struct target *t = &w->targets[w->target_nr++];
	const char *dash = strrchr(id, '-');

	snprintf(t->id, sizeof(t->id), "%s", id);
	snprintf(t->service, sizeof(t->service), "%s", service);
	snprintf(t->zone, sizeof(t->zone), "%s", zone);
	t->id_number = strtoull(dash ? dash + 1 : id, NULL, 16);
	t->born_ms = unix_ms();
	t->ip = address(w->net, 72, d);
	t->port = 8188;
	t->udp = bind_socket(SOCK_DGRAM, t->ip, t->port);
	t->tcp = bind_socket(SOCK_STREAM, t->ip, t->port);
	t->registered = true;
	t->work_ms = 40;
	t->next_beat_ms = now_ms() + (uint64_t)(w->target_nr * 83 % 1200);
	return t;
}

int add_client(struct world *w, const char *zone, int d)
{
	int i = w->client_nr++;

	w->clients[i].ip = address(w->net, 73, d);
	w->clients[i].udp =
		bind_socket(SOCK_DGRAM, w->clients[i].ip, PACKET_PORT);
	w->clients[i].next_port = 1024;
	snprintf(w->clients[i].zone, sizeof(w->clients[i].zone), "%s", zone);
	return i;
}

static void read_datagrams(struct world *w, int fd, int client,
			   struct target *t)
{
	uint8_t data[2048];

	for (int i = 0; i < 256; i++) {
		ssize_t n = recv(fd, data, sizeof(data), MSG_DONTWAIT);

		if (n < 0)
			return;
		if (t)
			handle_target_packet(w, t, data, (size_t)n);
		else
			handle_client_packet(w, client, data, (size_t)n);
	}
}

void run_world(struct world *w, uint64_t ms,
	       void (*each)(struct world *w, uint64_t now))
{
	uint64_t end = now_ms() + ms;
	uint64_t now;

	while ((now = now_ms()) < end) {
		struct pollfd pf[2 * TARGETS_MAX + CLIENTS_MAX + 256];
		int n = 0;

		for (int i = 0; i < w->target_nr; i++) {
			pf[n++] =
				(struct pollfd){ w->targets[i].udp, POLLIN, 0 };
			pf[n++] =
				(struct pollfd){ w->targets[i].tcp, POLLIN, 0 };
		}
		for (int i = 0; i < w->client_nr; i++)
			pf[n++] =
				(struct pollfd){ w->clients[i].udp, POLLIN, 0 };
		for (int i = 0; i < 256; i++)
			if (connections[i].fd >= 0)
				pf[n++] = (struct pollfd){ connections[i].fd,
							   POLLIN, 0 };
		poll(pf, (nfds_t)n, 1);
		now = now_ms();
		for (int i = 0; i < w->target_nr; i++) {
			struct target *t = &w->targets[i];

			if (t->udp >= 0)
				read_datagrams(w, t->udp, 0, t);
			if (t->tcp >= 0)
				accept_health_check(t);
		}
		for (int i = 0; i < w->client_nr; i++)
			read_datagrams(w, w->clients[i].udp, i, NULL);
		for (int i = 0; i < 256; i++) {
			struct connection *c = &connections[i];

			if (c->fd < 0)
				continue;
			serve_connection(c);
			if (c->fd >= 0 &&
			    now_ms() - c->began_ms > CALL_TIMEOUT_MS) {
				close(c->fd);
				c->fd = -1;
			}
		}
		for (int i = 0; i < w->machine_nr; i++)
			poll_ready(w, &w->machines[i]);
		for (int i = 0; i < w->target_nr; i++)
			tick_target(w, &w->targets[i]);
		for (int i = 0; i < w->flow_nr; i++)
			tick_client_flow(w, &w->flows[i]);
		if (each)
			each(w, now);
	}
	fflush(w->record);
}
