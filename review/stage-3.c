/*
 * stage-3: the world around a few instances of baobabvalve-edge, in one process
 * on loopback addresses and the real clock: the platform's store, targets,
 * clients and routers, as PROTOCOL.md describes them. Uses the C library only.
 *
 * usage: stage-3 NET PORT DIR SCENARIO TROUBLE INSTANCE[/ZONE]...
 *
 * All addresses are 127.NET.x.y. The store is at 127.NET.1.1:PORT, the routers
 * send to PORT + 1 of each instance and check readiness at PORT + 2, targets
 * are at PORT + 4. Writes what happens to DIR/record.txt. Exits with 1 if the
 * rule was broken, with 0 if it held and with 2 if the case could not run.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD 32
#define DATA_MAX 1200
#define CONNS_MAX 400
#define ITEMS_MAX 64
#define EVENTS_MAX 4096
#define TARGETS_MAX 8
#define TARGETS_AT_START 6
#define INSTANCES_MAX 8
#define FLOWS_MAX 20000
#define JOBS_MAX 64
#define ARRIVALS_MAX 20000

#define HEARTBEAT_MS 1200
#define SLOTS 3
#define QUEUE 12
#define WARMUP_MS 2000
#define WARMUP_PER_S 5.0
#define WARMUP_FACTOR 1.5
#define WARMUP_SLACK 5.0
#define WORK_MS 52
#define COLD_SLOWER 1.6
#define REQUEST_BYTES 900
#define ANSWER_BYTES 600
#define DEADLINE_MS 4000
#define SYN_END_MS 1400
#define FIRST_PORT 8443 /* of the routes */
#define NEWEST_ROUTES 2
#define PAUSE_SPAN_MS 1500 /* how much pauses of a client differ */
#define UPLOAD_DEADLINE_MS 8000
#define UPLOAD_BYTES 1200 /* in a packet */
#define UPLOAD_PACKETS 34 /* 40,800 bytes */
#define UPLOAD_PACE_MS 220
/* drainMs is 3,000; a target serves a little longer */
#define LISTENS_MS 3200
#define QUEUE_FULL_MS 700
#define LOST_ANSWERS 2

enum { SYN = 128, ACK = 64, FIN = 32, RST = 2 };

static FILE *record;
static int net;
static int version = 3; /* of the configuration */
static int route_nr = 1;
static uint64_t pause_min_ms = 100; /* of a client that keeps its flow */
static int base_port;
static uint64_t began_ms;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

static void note(const char *format, ...)
{
	uint64_t t = now_ms() - began_ms;
	va_list ap;

	fprintf(record, "%6llu.%03llu ", (unsigned long long)t / 1000,
		(unsigned long long)t % 1000);
	va_start(ap, format);
	vfprintf(record, format, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void cannot_run(const char *why)
{
	note("cannot run: %s", why);
	exit(2);
}

static struct sockaddr_in address(int x, int y, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };

	a.sin_addr.s_addr = htonl(127U << 24 | (unsigned)net << 16 |
				  (unsigned)x << 8 | (unsigned)y);
	return a;
}

static int open_udp(const struct sockaddr_in *a)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	int size = 1 << 20;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (fd < 0 || bind(fd, (const struct sockaddr *)a, sizeof(*a)))
		cannot_run("no UDP socket");
	return fd;
}

static int open_tcp(const struct sockaddr_in *a)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (const struct sockaddr *)a, sizeof(*a)) ||
	    listen(fd, 128))
		cannot_run("no TCP socket");
	return fd;
}

/* ---- packets ---- */

struct packet {
	uint8_t flags;
	uint32_t echo, src, dst, seq, ack;
	uint16_t sport, dport, len;
	bool ends; /* the request; in its data */
};

static void put16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put32(uint8_t *p, uint32_t v)
{
	put16(p, (uint16_t)(v >> 16));
	put16(p + 2, (uint16_t)v);
}

static uint16_t get16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t get32(const uint8_t *p)
{
	return (uint32_t)get16(p) << 16 | get16(p + 2);
}

/* A keyed sum over all but the padding, the echo and the sum itself. */
static uint32_t sum_of(const uint8_t *b, size_t len)
{
	uint64_t h = 0x9e3779b97f4a7c15ULL;

	for (size_t i = 0; i < len; i++)
		if (i < 1 || i > 9)
			h = (h ^ b[i]) * 0x100000001b3ULL;
	return (uint32_t)(h ^ h >> 32) | 1;
}

static size_t write_packet(const struct packet *p, uint8_t *out)
{
	memset(out, 0, HEAD);
	out[0] = p->flags;
	put32(out + 2, p->echo);
	put16(out + 10, p->dport);
	put32(out + 12, p->src);
	put16(out + 16, p->sport);
	put32(out + 18, p->dst);
	put32(out + 22, p->seq);
	put32(out + 26, p->ack);
	put16(out + 30, p->len);
	memset(out + HEAD, 'x', p->len);
	if (p->len && p->ends)
		out[HEAD] = 'E';
	put32(out + 6, sum_of(out, HEAD + (size_t)p->len));
	return HEAD + (size_t)p->len;
}

/* False for bytes that are no packet or were changed; a reset has sum 0. */
static bool read_packet(const uint8_t *b, size_t len, struct packet *p)
{
	if (len < HEAD || get16(b + 30) != len - HEAD)
		return false;
	*p = (struct packet){ .flags = b[0],
			      .echo = get32(b + 2),
			      .dport = get16(b + 10),
			      .src = get32(b + 12),
			      .sport = get16(b + 16),
			      .dst = get32(b + 18),
			      .seq = get32(b + 22),
			      .ack = get32(b + 26),
			      .len = get16(b + 30),
			      .ends = len > HEAD && b[HEAD] == 'E' };
	return get32(b + 6) == sum_of(b, len) ||
	       (p->flags == RST && !get32(b + 6));
}

/* ---- the store ---- */

#define VALUE_MAX 40000 /* base64 characters */

struct item {
	char key[200];
	char *value; /* base64 */
	long rev, create_rev;
	long lease;
};

struct event {
	char key[200];
	char *value;
	long rev;
	bool removed;
};

struct conn {
	int fd;	    /* -1: free */
	int target; /* -1: of the store */
	char in[16384];
	size_t len;
	bool watching;
	long after;
	uint64_t until_ms;
};

static struct item items[ITEMS_MAX];
static int item_nr;
static struct event *events;
static int event_nr;
static long revision = 10;
static long last_lease = 100;
static bool store_silent;
static int store_fd;
static struct conn conns[CONNS_MAX];

static void encode64(const char *in, char *out)
{
	static const char d[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
				"uvwxyz0123456789+/";
	size_t n = strlen(in);

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)in[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)(uint8_t)in[i + 1] << 8;
		if (i + 2 < n)
			v |= (uint8_t)in[i + 2];
		*out++ = d[v >> 18];
		*out++ = d[v >> 12 & 63];
		*out++ = i + 1 < n ? d[v >> 6 & 63] : '=';
		*out++ = i + 2 < n ? d[v & 63] : '=';
	}
	*out = '\0';
}

static struct item *find_item(const char *key)
{
	for (int i = 0; i < item_nr; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void add_event(const char *key, const char *value, bool removed)
{
	struct event *e;

	if (event_nr == EVENTS_MAX)
		cannot_run("too many changes of the store");
	e = &events[event_nr++];
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->value = strdup(value);
	e->rev = revision;
	e->removed = removed;
}

/* VALUE in base64. */
static void store_put(const char *key, const char *value, long lease)
{
	struct item *it = find_item(key);

	if (!it && item_nr == ITEMS_MAX)
		cannot_run("too many items of the store");
	revision++;
	if (!it) {
		it = &items[item_nr++];
		it->create_rev = revision;
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	free(it->value);
	it->value = strdup(value);
	it->rev = revision;
	it->lease = lease;
	add_event(key, value, false);
}

static void store_put_text(const char *key, const char *text)
{
	static char value[VALUE_MAX];

	encode64(text, value);
	store_put(key, value, 0);
}

static void send_all(int fd, const char *text, size_t len)
{
	while (len) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN) {
			struct pollfd p = { fd, POLLOUT, 0 };

			poll(&p, 1, 100);
			continue;
		}
		if (n <= 0)
			return;
		text += n;
		len -= (size_t)n;
	}
}

static void answer(struct conn *c, int code, const char *body)
{
	char head[160];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 code, strlen(body));

	send_all(c->fd, head, (size_t)n);
	send_all(c->fd, body, strlen(body));
}

static void close_conn(struct conn *c)
{
	close(c->fd);
	c->fd = -1;
	c->len = 0;
	c->watching = false;
}

static void answer_range(struct conn *c)
{
	static char body[ITEMS_MAX * 1000 + 2 * VALUE_MAX];
	size_t n = (size_t)sprintf(body, "{\"items\":[");

	for (int i = 0; i < item_nr; i++)
		n += (size_t)sprintf(
			body + n,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%ld,"
			"\"createRev\":%ld,\"lease\":%ld}",
			i ? "," : "", items[i].key, items[i].value,
			items[i].rev, items[i].create_rev, items[i].lease);
	sprintf(body + n, "],\"hasMore\":false,\"storeRevision\":%ld}",
		revision);
	answer(c, 200, body);
}

static bool answer_watch(struct conn *c, bool due)
{
	static char body[1 << 22];
	size_t n = (size_t)sprintf(body, "{\"events\":[");
	bool any = false;

	for (int i = 0; i < event_nr && n < sizeof(body) - 2 * VALUE_MAX; i++) {
		const struct event *e = &events[i];

		if (e->rev <= c->after)
			continue;
		if (e->removed)
			n += (size_t)sprintf(body + n,
					     "%s{\"key\":\"%s\",\"rev\":%ld,"
					     "\"removed\":true}",
					     any ? "," : "", e->key, e->rev);
		else
			n += (size_t)sprintf(body + n,
					     "%s{\"key\":\"%s\",\"value\":"
					     "\"%s\",\"rev\":%ld,"
					     "\"createRev\":%ld,\"lease\":0}",
					     any ? "," : "", e->key, e->value,
					     e->rev, e->rev);
		any = true;
	}
	if (!any && !due)
		return false;
	sprintf(body + n, "],\"storeRevision\":%ld}", revision);
	answer(c, 200, body);
	c->watching = false;
	return true;
}

/* The string after NAME in TEXT, up to a quote. */
static const char *find_text(const char *text, const char *name, char *out,
			     size_t size)
{
	const char *p = text ? strstr(text, name) : NULL;
	size_t n = 0;

	if (!p)
		return NULL;
	p += strlen(name);
	while (p[n] && p[n] != '"' && n + 1 < size)
		n++;
	memcpy(out, p, n);
	out[n] = '\0';
	return p + n;
}

static void answer_txn(struct conn *c, const char *body)
{
	static char value[VALUE_MAX];
	char key[200];
	char reply[64];
	const char *p = strstr(body, "\"puts\"");
	const char *end = strstr(body, "\"delete\"");

	while ((p = find_text(p, "\"key\":\"", key, sizeof(key))) &&
	       (!end || p < end)) {
		p = find_text(p, "\"value\":\"", value, sizeof(value));
		if (!p)
			break;
		store_put(key, value, last_lease);
	}
	snprintf(reply, sizeof(reply), "{\"rev\":%ld}", revision);
	answer(c, 200, reply);
}

static void answer_store(struct conn *c, const char *body)
{
	char reply[64];
	const char *after = strstr(c->in, "after=");
	const char *wait = strstr(c->in, "waitMs=");

	if (!strncmp(c->in, "GET /kv-range", 13)) {
		answer_range(c);
	} else if (!strncmp(c->in, "GET /kv-watch", 13)) {
		c->watching = true;
		c->after = after ? atol(after + 6) : 0;
		c->until_ms =
			now_ms() + (wait ? strtoul(wait + 7, NULL, 10) : 0);
		answer_watch(c, false);
	} else if (!strncmp(c->in, "POST /kv-txn", 12)) {
		answer_txn(c, body);
	} else if (!strncmp(c->in, "POST /kv-lease", 14) ||
		   !strncmp(c->in, "POST /kv-keep", 13)) {
		if (c->in[9] == 'l')
			last_lease++;
		snprintf(reply, sizeof(reply),
			 "{\"lease\":%ld,\"ttlMs\":600000}", last_lease);
		answer(c, 200, reply);
	} else {
		answer(c, 404, "{}");
	}
}

/* ---- targets ---- */

struct tflow {
	bool used, open;
	unsigned int received; /* packets with data */
	bool drops_answers;    /* its first answers to a SYN are lost */
	unsigned int repeats;  /* of what was sent last */
	uint64_t repeat_ms;    /* when it is sent again; 0: never */
	uint16_t unacked;      /* bytes of an answer */
	uint32_t client;
	uint16_t sport, dport;
	uint32_t dst;
	uint32_t seq, expected, echo;
};

struct job {
	struct tflow *f;
	uint64_t end_ms; /* 0: it waits in the queue */
};

struct arrival {
	uint64_t at_ms, sent_ms;
};

struct target {
	char name[32];
	uint64_t id;
	const char *zone;
	struct sockaddr_in at;
	int udp, tcp; /* -1: it is down */
	uint64_t start_ms, born_ms;
	bool cold_start;
	bool draining;
	bool queue_full; /* of new connections; see fill_queue() */
	uint64_t written_ms;
	long seq;
	bool written;	     /* its entry is up to date, but for the count */
	struct tflow *flows; /* by the client's port */
	struct job jobs[JOBS_MAX];
	int job_nr;
	struct arrival *cold; /* opening packets that it took while cold */
	int cold_nr;
	uint64_t over_ms; /* when it took more than it bears; 0: never */
	int lost;	  /* requests that it had accepted when it fell over */
	int ran;	  /* requests that it ran to the end */
};

static struct target targets[TARGETS_MAX];

/* See play_herd(). */
static uint16_t unlucky_port;	    /* of a client; 0: none */
static struct target *first_target; /* that its SYN came to */

/* A flow as FLOW sees it, by the client's port. */
struct watched {
	bool open;	   /* its target has the end of the handshake */
	int target;	   /* where it is open */
	int elsewhere;	   /* packets at others since the last at its own */
	uint64_t since_ms; /* when the first of these came */
};

static struct watched watched[65536];
static int resets_seen, moves_seen;
static int target_nr;
static uint64_t syn_sent_ms[65536]; /* of the last SYN of a client's port */

static bool is_cold(const struct target *t)
{
	return t->cold_start && now_ms() < t->start_ms + WARMUP_MS;
}

static void write_entry(struct target *t)
{
	char key[64];
	char text[512];
	uint64_t age = now_ms() - t->start_ms;
	char ip[32];

	inet_ntop(AF_INET, &t->at.sin_addr, ip, sizeof(ip));
	snprintf(key, sizeof(key), "servers/%s", t->name);
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"warmupLeftMs\":%llu,\"seq\":%ld,\"born\":%llu}",
		 ip, ntohs(t->at.sin_port), t->zone, SLOTS,
		 t->draining ? "draining" : "ready",
		 (unsigned long long)(is_cold(t) ? WARMUP_MS - age : 0),
		 ++t->seq, (unsigned long long)t->born_ms);
	store_put_text(key, text);
}

static void start_target(struct target *t, bool during_traffic)
{
	t->udp = open_udp(&t->at);
	t->tcp = open_tcp(&t->at);
	t->start_ms = now_ms();
	t->born_ms = wall_ms();
	t->cold_start = during_traffic;
	t->draining = false;
	t->written_ms = 0;
	t->seq = 0;
	t->written = false;
	t->job_nr = 0;
	memset(t->flows, 0, 65536 * sizeof(*t->flows));
}

static void stop_listening(struct target *t)
{
	if (t->tcp >= 0)
		close(t->tcp);
	t->tcp = -1;
}

static void stop_target(struct target *t)
{
	close(t->udp);
	t->udp = -1;
	stop_listening(t);
	for (int i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0 && conns[i].target == (int)(t - targets))
			close_conn(&conns[i]);
}

static void send_to_client(struct target *t, const struct tflow *f,
			   uint8_t flags, uint16_t len)
{
	uint8_t out[HEAD + DATA_MAX];
	struct packet p = { .flags = flags,
			    .echo = f->echo,
			    .src = f->dst,
			    .sport = f->dport,
			    .dst = f->client,
			    .dport = f->sport,
			    .seq = f->seq,
			    .ack = f->expected,
			    .len = len };
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)(base_port + 1)),
				  .sin_addr.s_addr = htonl(f->client) };

	sendto(t->udp, out, write_packet(&p, out), 0, (struct sockaddr *)&to,
	       sizeof(to));
}

/* Sends what waits for an acknowledgment, and sets when it is sent again. */
static void send_awaited(struct target *t, struct tflow *f)
{
	uint64_t gap = 200ULL << (f->repeats < 3 ? f->repeats : 3);

	f->repeat_ms = now_ms() + gap;
	f->repeats++;
	if (f->drops_answers && f->repeats <= LOST_ANSWERS) {
		note("answer %u of %s to the SYN of port %d is lost",
		     f->repeats, t->name, f->sport);
		return;
	}
	send_to_client(t, f, f->open ? ACK : SYN | ACK, f->unacked);
}

/* Starts jobs that wait while slots are free. */
static void run_jobs(struct target *t)
{
	int running = 0;

	for (int i = 0; i < t->job_nr; i++)
		running += t->jobs[i].end_ms > 0;
	for (int i = 0; i < t->job_nr && running < SLOTS; i++) {
		if (t->jobs[i].end_ms)
			continue;
		t->jobs[i].end_ms =
			now_ms() +
			(uint64_t)(WORK_MS * (is_cold(t) ? COLD_SLOWER : 1));
		running++;
	}
}

/* Most opening packets in one second that were also sent in it. */
static int cold_peak(const struct target *t)
{
	int peak = 0;

	for (int i = 0; i < t->cold_nr; i++) {
		int n = 0;

		for (int k = 0; k <= i; k++)
			n += t->cold[k].at_ms + 1000 > t->cold[i].at_ms &&
			     t->cold[k].sent_ms + 1000 > t->cold[i].at_ms;
		peak = n > peak ? n : peak;
	}
	return peak;
}

/* Drops the jobs of F, which has ended. */
static void end_jobs(struct target *t, const struct tflow *f)
{
	for (int i = 0; i < t->job_nr; i++)
		if (t->jobs[i].f == f)
			t->jobs[i--] = t->jobs[--t->job_nr];
}

static void take_syn(struct target *t, struct tflow *f, const struct packet *p)
{
	bool is_copy = f->used && f->expected == p->seq + 1;

	if (is_copy && f->open)
		return;
	if (!is_copy && is_cold(t) && t->cold_nr < ARRIVALS_MAX) {
		t->cold[t->cold_nr++] =
			(struct arrival){ now_ms(), syn_sent_ms[p->sport] };
		note("cold target %s takes opening packet %d, %llu ms after "
		     "its start",
		     t->name, t->cold_nr,
		     (unsigned long long)(now_ms() - t->start_ms));
	}
	if (!is_copy)
		end_jobs(t, f);
	*f = (struct tflow){ .used = true,
			     .client = p->src,
			     .sport = p->sport,
			     .dst = p->dst,
			     .dport = p->dport,
			     .seq = (uint32_t)t->id * 2654435761U + p->sport,
			     .expected = p->seq + 1,
			     .echo = p->echo };
	if (p->sport == unlucky_port && !first_target) {
		first_target = t;
		f->drops_answers = true;
		note("the SYN of port %d comes to %s, which reports that it "
		     "drains",
		     p->sport, t->name);
		t->draining = true;
		t->written = false;
		t->written_ms = 0;
	}
	send_awaited(t, f);
	if (!t->over_ms && t->cold_nr &&
	    cold_peak(t) > WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK)
		t->over_ms = now_ms();
}

static void note_open(const struct target *t, const struct packet *p)
{
	watched[p->sport] =
		(struct watched){ .open = true, .target = (int)(t - targets) };
}

/* FLOW (b): packets of an open flow that reach other targets. */
static void note_arrival(const struct target *t, const struct packet *p)
{
	struct watched *w = &watched[p->sport];

	if (!w->open)
		return;
	if (w->target == (int)(t - targets)) {
		w->elsewhere = 0;
		return;
	}
	if (!w->elsewhere++)
		w->since_ms = now_ms();
	note("a packet of the flow of port %d, open at %s, reaches %s (%d)",
	     p->sport, targets[w->target].name, t->name, w->elsewhere);
	if (w->elsewhere >= 3 && now_ms() - w->since_ms <= 2000) {
		note("FLOW (b): three packets of the flow of port %d reached "
		     "other targets, none its own",
		     p->sport);
		moves_seen++;
		w->elsewhere = 0;
	}
}

static void take_packet(struct target *t, const struct packet *p)
{
	struct tflow *f = &t->flows[p->sport];

	if (p->flags & SYN) {
		if (t->tcp < 0) {
			struct tflow none = { .client = p->src,
					      .sport = p->sport,
					      .dst = p->dst,
					      .dport = p->dport };

			send_to_client(t, &none, RST, 0);
			return;
		}
		take_syn(t, f, p);
		return;
	}
	note_arrival(t, p);
	if (f->used && !f->open && p->ack == f->seq + 1) {
		f->open = true;
		f->seq++;
		f->repeat_ms = 0;
		f->repeats = 0;
		note_open(t, p);
	}
	if (!f->used || !f->open) {
		struct tflow none = { .client = p->src,
				      .sport = p->sport,
				      .dst = p->dst,
				      .dport = p->dport,
				      .seq = p->ack,
				      .expected = p->seq + p->len };

		if (p->flags & FIN)
			send_to_client(t, &none, ACK, 0);
		else if (!(p->flags & RST))
			send_to_client(t, &none, RST, 0);
		return;
	}
	f->echo = p->echo;
	if (f->unacked && p->ack == f->seq + f->unacked) {
		f->seq += f->unacked;
		f->unacked = 0;
		f->repeat_ms = 0;
		f->repeats = 0;
	}
	if (p->flags & (FIN | RST)) {
		end_jobs(t, f);
		f->used = false;
		return;
	}
	if (!p->len)
		return;
	if (p->seq == f->expected) {
		f->expected += p->len;
		if (p->ends && t->job_nr < SLOTS + QUEUE) {
			t->jobs[t->job_nr++] = (struct job){ f, 0 };
			run_jobs(t);
		}
	}
	/* each end acknowledges every second packet */
	if (++f->received % 2 == 0)
		send_to_client(t, f, ACK, f->unacked);
}

static void read_target(struct target *t)
{
	uint8_t b[2048];
	struct packet p;
	ssize_t n;

	while (t->udp >= 0 && (n = recv(t->udp, b, sizeof(b), 0)) > 8) {
		uint64_t id = (uint64_t)get32(b) << 32 | get32(b + 4);

		if ((id && id != t->id) ||
		    !read_packet(b + 8, (size_t)n - 8, &p))
			continue;
		take_packet(t, &p);
	}
}

static void tick_target(struct target *t)
{
	uint64_t t_ms = now_ms();

	if (t->udp < 0)
		return;
	if (!store_silent && t_ms >= t->written_ms + HEARTBEAT_MS) {
		/* the entry changes when more than its count does */
		if (!t->written)
			write_entry(t);
		t->written = !is_cold(t);
		t->written_ms = t_ms;
	}
	for (int i = 0; i < t->job_nr; i++) {
		if (!t->jobs[i].end_ms || t_ms < t->jobs[i].end_ms)
			continue;
		t->ran++;
		t->jobs[i].f->unacked = ANSWER_BYTES;
		t->jobs[i].f->repeats = 0;
		send_awaited(t, t->jobs[i].f);
		t->jobs[i--] = t->jobs[--t->job_nr];
		run_jobs(t);
	}
	for (int i = 0; i < 65536; i++) {
		struct tflow *f = &t->flows[i];

		if (!f->used || !f->repeat_ms || t_ms < f->repeat_ms)
			continue;
		if (f->repeats > 8)
			f->repeat_ms = 0;
		else
			send_awaited(t, f);
	}
	if (t->over_ms && t_ms >= t->over_ms + 1000) {
		t->lost = t->job_nr;
		note("%s falls over, with %d requests that it had accepted",
		     t->name, t->lost);
		stop_target(t);
	}
}

/* ---- clients and routers ---- */

enum { CLOSED, OPENING, OPEN };

struct cflow {
	int state;
	bool is_long; /* many requests on one flow */
	int packets;  /* of an upload; 0: it is none */
	int sent_nr;  /* packets of it that were sent */
	uint32_t first_seq;
	uint64_t pace_ms, send_ms; /* between two packets; next one */
	bool waiting;		   /* for an answer */
	uint64_t idle_ms; /* when the next request is due, if it is long */
	int zone;
	uint32_t seq, ack, echo;
	uint16_t dport;
	int syns, tries;
	uint64_t began_ms, next_ms, gap_ms;
};

struct instance {
	struct sockaddr_in at;
	int zone;
	int misses;
	int ready_fd; /* -1: no check runs */
	uint64_t checked_ms;
};

static const char *const zones[2] = { "north", "south" };
static struct instance instances[INSTANCES_MAX];
static int instance_nr;
static struct cflow cflows[65536];
static struct cflow *open_attempt(int zone, uint16_t dport, int tries,
				  uint64_t began, bool is_long);
static int client_fd;
static uint16_t next_port = 1024;
static int uploads, uploads_done;
static int sent, answered_nr, refused, timed_out, resets;

static const struct instance *pick_instance(int zone, uint16_t sport)
{
	const struct instance *best = NULL;
	uint64_t best_weight = 0;
	int in_zone = 0;
	int in_rotation = 0;

	for (int i = 0; i < instance_nr; i++) {
		in_zone += instances[i].zone == zone;
		in_rotation +=
			instances[i].zone == zone && instances[i].misses < 2;
	}
	for (int i = 0; i < instance_nr; i++) {
		uint64_t w = (sport + 1) * 0x9e3779b97f4a7c15ULL ^
			     (uint64_t)(i + 1) * 0xbf58476d1ce4e5b9ULL;

		w ^= w >> 31;
		w *= 0x94d049bb133111ebULL;
		w ^= w >> 29;
		if (in_rotation ? instances[i].zone != zone
				: instances[i].zone == zone)
			continue;
		if (instances[i].misses >= 2 && 2 * in_rotation >= in_zone)
			continue;
		if (!best || w > best_weight) {
			best = &instances[i];
			best_weight = w;
		}
	}
	return best;
}

static void send_packet(struct cflow *f, uint8_t flags, uint32_t seq,
			uint32_t ack, uint16_t len, bool ends)
{
	uint16_t sport = (uint16_t)(f - cflows);
	const struct instance *to = pick_instance(f->zone, sport);
	struct sockaddr_in from = address(90, 1 + f->zone, 0);
	uint8_t out[HEAD + DATA_MAX];
	struct packet p = { .flags = flags,
			    .echo = f->echo,
			    .src = ntohl(from.sin_addr.s_addr),
			    .sport = sport,
			    .dst = 0xc6120001, /* 198.18.0.1 */
			    .dport = f->dport,
			    .seq = seq,
			    .ack = ack,
			    .len = len,
			    .ends = ends };

	if (to)
		sendto(client_fd, out, write_packet(&p, out), 0,
		       (const struct sockaddr *)&to->at, sizeof(to->at));
}

static void send_flow(struct cflow *f, uint8_t flags, uint32_t ack,
		      uint16_t len)
{
	send_packet(f, flags, f->seq, ack, len, true);
}

static void send_syn(struct cflow *f)
{
	syn_sent_ms[f - cflows] = now_ms();
	send_flow(f, SYN, (uint32_t)f->syns++, 0);
}

/* A new attempt of a request, on a new port. */
static struct cflow *open_attempt(int zone, uint16_t dport, int tries,
				  uint64_t began, bool is_long)
{
	struct cflow *f;

	do {
		if (++next_port < 1024)
			next_port = 1024;
		f = &cflows[next_port];
	} while (f->state != CLOSED);
	*f = (struct cflow){ .state = OPENING,
			     .is_long = is_long,
			     .zone = zone,
			     .dport = dport,
			     .seq = (uint32_t)random(),
			     .tries = tries,
			     .began_ms = began,
			     .next_ms = now_ms() + 200 };
	watched[next_port] = (struct watched){ 0 };
	f->gap_ms = now_ms(); /* when the attempt began */
	send_syn(f);
	return f;
}

/* The attempt ended before the flow opened: the client may try again. */
static void end_attempt(struct cflow *f)
{
	f->state = CLOSED;
	if (f->tries < 2 && now_ms() < f->began_ms + DEADLINE_MS)
		open_attempt(f->zone, f->dport, f->tries + 1, f->began_ms,
			     f->is_long);
	else
		timed_out++;
}

/* FROM: who sent the reset. */
static void take_reset(struct cflow *f, const struct packet *p, uint32_t from)
{
	struct watched *w = &watched[p->dport];
	int target = -1;

	for (int i = 0; i < target_nr; i++)
		if (targets[i].at.sin_addr.s_addr == from)
			target = i;
	if (w->open && targets[w->target].udp >= 0 && target != w->target) {
		note("FLOW (a): the open flow of port %d gets a reset of %s, "
		     "while its target %s serves",
		     p->dport,
		     target < 0 ? "an instance" : targets[target].name,
		     targets[w->target].name);
		resets_seen++;
	}
	w->open = false;
	if (f->state == OPENING) {
		refused++;
		end_attempt(f);
		return;
	}
	resets++;
	f->state = CLOSED;
	if (f->is_long)
		open_attempt(f->zone, f->dport, 0, now_ms(), true);
}

static void send_request(struct cflow *f)
{
	f->waiting = true;
	f->began_ms = now_ms();
	f->gap_ms = 200;
	f->next_ms = now_ms() + f->gap_ms;
	send_flow(f, ACK, f->ack, REQUEST_BYTES);
}

/* Sends packet I of the upload F. */
static void send_part(struct cflow *f, int i)
{
	send_packet(f, ACK, f->first_seq + (uint32_t)i * UPLOAD_BYTES, f->ack,
		    UPLOAD_BYTES, i == f->packets - 1);
}

/*
 * Sends the packets of the upload F, one each PACE_MS, at most 16 at once, and
 * the first that is not acknowledged again after 200 ms, 400 ms, ...
 */
static void tick_upload(struct cflow *f, uint64_t t)
{
	int acked = (int)((f->seq - f->first_seq) / UPLOAD_BYTES);

	if (f->sent_nr < f->packets && f->sent_nr - acked < 16 &&
	    t >= f->send_ms) {
		if (f->sent_nr == acked) {
			f->gap_ms = 200;
			f->next_ms = t + f->gap_ms;
		}
		send_part(f, f->sent_nr++);
		f->send_ms = t + f->pace_ms;
	}
	if (f->sent_nr > acked && t >= f->next_ms) {
		f->gap_ms = f->gap_ms < 1600 ? 2 * f->gap_ms : 1600;
		f->next_ms = t + f->gap_ms;
		send_part(f, acked);
	}
}

/* The target has acknowledged data of the upload F. */
static void take_ack(struct cflow *f, const struct packet *p)
{
	if ((int32_t)(p->ack - f->seq) <= 0)
		return;
	f->seq = p->ack;
	f->gap_ms = 200;
	f->next_ms = now_ms() + f->gap_ms;
}

static void take_answer(const struct packet *p, uint32_t from)
{
	struct cflow *f = &cflows[p->dport];

	if (f->state == CLOSED)
		return;
	if (p->flags & RST) {
		take_reset(f, p, from);
		return;
	}
	f->echo = p->echo;
	if (f->packets && f->state == OPEN && !(p->flags & SYN))
		take_ack(f, p);
	if (p->flags & SYN && f->state == OPENING) {
		f->state = OPEN;
		f->seq++;
		f->ack = p->seq + 1;
		f->first_seq = f->seq;
		f->waiting = true;
		if (!f->packets)
			send_request(f);
		return;
	}
	if (p->len && f->state == OPEN && p->seq == f->ack && f->waiting) {
		answered_nr++;
		uploads_done += f->packets > 0;
		if (f->packets)
			note("the upload of port %d is answered", p->dport);
		f->waiting = false;
		if (!f->packets)
			f->seq += REQUEST_BYTES;
		f->ack += p->len;
		f->idle_ms = now_ms() + pause_min_ms +
			     (uint64_t)random() % PAUSE_SPAN_MS;
		if (!f->is_long) {
			watched[p->dport].open = false;
			send_flow(f, FIN | ACK, f->ack, 0);
			f->state = CLOSED;
			return;
		}
		send_flow(f, ACK, f->ack, 0);
	} else if (p->len && f->state == OPEN) {
		send_flow(f, ACK, f->ack, 0); /* it was sent again */
	}
}

static void read_clients(void)
{
	uint8_t b[2048];
	struct packet p;
	struct sockaddr_in from;
	socklen_t len = sizeof(from);
	ssize_t n;

	while ((n = recvfrom(client_fd, b, sizeof(b), 0,
			     (struct sockaddr *)&from, &len)) > 0)
		if (read_packet(b, (size_t)n, &p))
			take_answer(&p, from.sin_addr.s_addr);
}

static void tick_flow(struct cflow *f, uint64_t t)
{
	if (f->state == OPENING && t >= f->gap_ms + SYN_END_MS) {
		end_attempt(f);
	} else if (f->state == OPENING && f->syns < 3 && t >= f->next_ms) {
		f->next_ms += 400;
		send_syn(f);
	} else if (f->state == OPEN && !f->waiting) {
		if (t >= f->idle_ms)
			send_request(f);
	} else if (f->state == OPEN && f->packets &&
		   t < f->began_ms + UPLOAD_DEADLINE_MS) {
		tick_upload(f, t);
	} else if (f->state == OPEN && t >= f->began_ms + DEADLINE_MS) {
		watched[f - cflows].open = false;
		f->state = CLOSED;
		timed_out++;
		if (f->is_long)
			open_attempt(f->zone, f->dport, 0, t, true);
	} else if (f->state == OPEN && t >= f->next_ms) {
		f->gap_ms = f->gap_ms < 1600 ? 2 * f->gap_ms : 1600;
		f->next_ms = t + f->gap_ms;
		send_flow(f, ACK, f->ack, REQUEST_BYTES);
	}
}

static void tick_readiness(struct instance *in)
{
	struct sockaddr_in at = in->at;
	uint64_t t = now_ms();
	char b[64] = "";
	ssize_t n;

	if (in->ready_fd >= 0) {
		n = recv(in->ready_fd, b, sizeof(b) - 1, 0);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN) &&
		    t < in->checked_ms + 450)
			return;
		if (n > 12 && !strncmp(b, "HTTP/1.1 200", 12))
			in->misses = 0;
		else if (++in->misses == 2)
			note("instance %d is out of rotation",
			     (int)(in - instances) + 1);
		close(in->ready_fd);
		in->ready_fd = -1;
	}
	if (t < in->checked_ms + 500)
		return;
	in->checked_ms = t;
	at.sin_port = htons((uint16_t)(base_port + 2));
	in->ready_fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(in->ready_fd, (struct sockaddr *)&at, sizeof(at))) {
		close(in->ready_fd);
		in->ready_fd = -1;
		in->misses++;
		return;
	}
	fcntl(in->ready_fd, F_SETFL, O_NONBLOCK);
	send_all(in->ready_fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 34);
}

/* ---- the loop ---- */

static void accept_conns(int listener, int target)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		int i = 0;

		while (i < CONNS_MAX && conns[i].fd >= 0)
			i++;
		if (i == CONNS_MAX) {
			close(fd);
			continue;
		}
		fcntl(fd, F_SETFL, O_NONBLOCK);
		conns[i].fd = fd;
		conns[i].target = target;
		conns[i].len = 0;
		conns[i].watching = false;
	}
}

static void read_conn(struct conn *c)
{
	ssize_t n = recv(c->fd, c->in + c->len, sizeof(c->in) - 1 - c->len, 0);
	const char *length;
	char *body;

	if (n <= 0) {
		if (n == 0 || errno != EAGAIN)
			close_conn(c);
		return;
	}
	c->len += (size_t)n;
	c->in[c->len] = '\0';
	body = strstr(c->in, "\r\n\r\n");
	if (!body)
		return;
	body += 4;
	length = strcasestr(c->in, "content-length:");
	if (length && length < body &&
	    strlen(body) < strtoul(length + 15, NULL, 10))
		return;
	if (c->target >= 0)
		answer(c, targets[c->target].draining ? 503 : 200, "{}");
	else if (!store_silent)
		answer_store(c, body);
	c->len = 0;
}

static void tick_store(void)
{
	for (int i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0 && conns[i].watching && !store_silent)
			answer_watch(&conns[i], now_ms() >= conns[i].until_ms);
}

static void step(void)
{
	struct pollfd p[CONNS_MAX + TARGETS_MAX * 2 + 2];
	int n = 0;

	p[n++] = (struct pollfd){ store_fd, POLLIN, 0 };
	p[n++] = (struct pollfd){ client_fd, POLLIN, 0 };
	for (int i = 0; i < target_nr; i++) {
		p[n++] = (struct pollfd){ targets[i].udp, POLLIN, 0 };
		p[n++] = (struct pollfd){ targets[i].tcp, POLLIN, 0 };
	}
	for (int i = 0; i < CONNS_MAX; i++)
		p[n++] = (struct pollfd){ conns[i].fd, POLLIN, 0 };
	poll(p, (nfds_t)n, 2);
	accept_conns(store_fd, -1);
	for (int i = 0; i < target_nr; i++) {
		if (targets[i].udp < 0)
			continue;
		if (targets[i].tcp >= 0 && !targets[i].queue_full)
			accept_conns(targets[i].tcp, i);
		read_target(&targets[i]);
	}
	for (int i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0)
			read_conn(&conns[i]);
	read_clients();
	tick_store();
	for (int i = 0; i < target_nr; i++)
		tick_target(&targets[i]);
	for (int i = 0; i < 65536; i++)
		if (cflows[i].state != CLOSED)
			tick_flow(&cflows[i], now_ms());
	for (int i = 0; i < instance_nr; i++)
		tick_readiness(&instances[i]);
}

/* A configuration with a route for each of the ports FIRST_PORT and following. */
static void write_config(void)
{
	static char text[VALUE_MAX * 3 / 4];
	size_t n =
		(size_t)sprintf(text, "{\"version\":%d,\"routes\":[", version);

	for (int i = 0; i < route_nr; i++)
		n += (size_t)sprintf(
			text + n,
			"%s{\"name\":\"r-%d\",\"host\":\"198.18.0.1\","
			"\"prefix\":\"/%d/\",\"kind\":\"unsafe\","
			"\"timeoutMs\":4000,\"sloMs\":250,\"priority\":1,"
			"\"service\":\"desk\",\"attempts\":2}",
			i ? "," : "", i, FIRST_PORT + i);
	sprintf(text + n,
		"],\"services\":[{\"name\":\"desk\",\"healthPath\":"
		"\"/health\",\"maxConns\":2000,\"warmupS\":2.0,"
		"\"warmupPerS\":5.0}],\"limits\":{\"idleTimeoutMs\":15000}}");
	store_put_text("op/config", text);
}

static void set_up(int argc, char **argv)
{
	struct sockaddr_in a;

	events = calloc(EVENTS_MAX, sizeof(*events));
	for (int i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
	a = address(1, 1, base_port);
	store_fd = open_tcp(&a);
	/* the clients of both zones, each at its own address */
	a = (struct sockaddr_in){ .sin_family = AF_INET,
				  .sin_port =
					  htons((uint16_t)(base_port + 1)) };
	a = address(90, 1, base_port + 1);
	client_fd = open_udp(&a);
	for (int i = 6; i < argc; i++) {
		struct instance *in = &instances[instance_nr++];

		in->zone = strstr(argv[i], "/south") != NULL;
		in->at = address(71, atoi(argv[i]), base_port + 1);
		in->ready_fd = -1;
	}
	write_config();
	for (int i = 0; i < TARGETS_AT_START; i++) {
		struct target *t = &targets[target_nr++];

		snprintf(t->name, sizeof(t->name), "i-5a%02d7c31e%d", i + 10,
			 i);
		t->id = strtoull(t->name + 2, NULL, 16);
		t->zone = zones[i % 2];
		t->at = address(80, i + 1, base_port + 4);
		t->flows = calloc(65536, sizeof(*t->flows));
		t->cold = calloc(ARRIVALS_MAX, sizeof(*t->cold));
		start_target(t, false);
	}
}

/* Writes what was sent, run and answered. */
static void note_totals(void)
{
	note("requests with a flow each: %d sent; uploads: %d begun, %d "
	     "answered",
	     sent, uploads, uploads_done);
	note("of all requests: %d answered, %d attempts refused, %d given up; "
	     "open flows that were reset: %d",
	     answered_nr, refused, timed_out, resets);
	for (int i = 0; i < target_nr; i++)
		note("%s ran %d requests", targets[i].name, targets[i].ran);
}

static void run_until(uint64_t t, double per_s)
{
	static double credit;
	static uint64_t last;

	if (!last)
		last = now_ms();
	while (now_ms() < began_ms + t) {
		step();
		credit += per_s * (double)(now_ms() - last) / 1000;
		last = now_ms();
		for (; credit >= 1; credit--) {
			open_attempt(0, FIRST_PORT, 0, now_ms(), false);
			sent++;
		}
	}
}

static bool all_ready(void)
{
	for (int i = 0; i < instance_nr; i++)
		if (instances[i].misses || !instances[i].checked_ms ||
		    instances[i].ready_fd >= 0)
			return false;
	return true;
}

/*
 * FAILBACK: while the store is down, a target crashes and starts again under
 * its id. It is cold, and cannot say so.
 */
static int play_cold_start(bool trouble)
{
	struct target *t = &targets[0];
	double bound = WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK;
	int peak;

	run_until(5000, 83.4);
	if (trouble) {
		note("the store is down (silent)");
		store_silent = true;
	}
	run_until(5300, 83.4);
	if (trouble) {
		note("%s crashes", t->name);
		stop_target(t);
	}
	run_until(9300, 83.4);
	if (trouble) {
		note("%s starts again under its id, cold for %d ms", t->name,
		     WARMUP_MS);
		start_target(t, true);
	}
	run_until(11000, 83.4);
	if (trouble) {
		note("the store answers again");
		store_silent = false;
	}
	run_until(14000, 83.4);
	run_until(18500, 0);
	peak = cold_peak(t);
	note_totals();
	note("opening packets that the cold target took: %d, at most %d in one "
	     "second; the bound is %.1f",
	     t->cold_nr, peak, bound);
	if (answered_nr < sent / 2)
		cannot_run("too few answers");
	return peak > bound;
}

/* Opens an upload of PACKETS packets, one each PACE_MS. */
static void open_upload(int packets, uint64_t pace_ms)
{
	struct cflow *f = open_attempt(0, FIRST_PORT, 2, now_ms(), false);

	f->packets = packets;
	f->pace_ms = pace_ms;
	uploads++;
	note("the upload of port %d begins", next_port);
}

/* The target with most uploads that are under way. */
static struct target *find_busiest(void)
{
	int n[TARGETS_MAX] = { 0 };
	int best = 0;

	for (int i = 0; i < 65536; i++)
		if (cflows[i].state == OPEN && cflows[i].packets &&
		    watched[i].open)
			n[watched[i].target]++;
	for (int i = 0; i < target_nr; i++)
		if (n[i] > n[best])
			best = i;
	note("%d uploads are under way at %s", n[best], targets[best].name);
	return &targets[best];
}

/*
 * Fills the queue of new connections of T: the kernel drops the opening packets
 * of further ones, which are sent again a second later.
 */
static void fill_queue(struct target *t)
{
	listen(t->tcp, 0);
	t->queue_full = true;
	for (int i = 0; i < 3; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		connect(fd, (struct sockaddr *)&t->at, sizeof(t->at));
	}
}

/*
 * FLOW: the queue of new connections of a target with slow uploads is full for
 * a moment.
 */
static int play_full_queue(bool trouble)
{
	struct target *t;

	run_until(4000, 40);
	for (int i = 0; i < 12; i++) {
		open_upload(UPLOAD_PACKETS, UPLOAD_PACE_MS);
		run_until(4000 + (uint64_t)(i + 1) * 60, 40);
	}
	run_until(6500, 40);
	t = find_busiest();
	if (trouble) {
		note("the queue of new connections of %s is full for %d ms",
		     t->name, QUEUE_FULL_MS);
		fill_queue(t);
	}
	run_until(6500 + QUEUE_FULL_MS, 40);
	t->queue_full = false;
	run_until(14000, 40);
	run_until(16000, 0);
	note_totals();
	note("FLOW (a): %d; FLOW (b): %d", resets_seen, moves_seen);
	return resets_seen + moves_seen > 0;
}

/*
 * FLOW: a flow's first target begins to drain before the copy of its SYN comes,
 * and repeats its lost answer later. Then all instances are killed.
 */
static int play_herd(bool trouble)
{
	struct cflow *f;
	uint64_t began;

	pause_min_ms = 8000;
	run_until(4000, 40);
	began = now_ms();
	f = open_attempt(0, FIRST_PORT, 2, began, true);
	unlucky_port = (uint16_t)(f - cflows);
	run_until(4600, 40);
	if (f->state != OPEN || !watched[unlucky_port].open)
		cannot_run("the flow is not open");
	note("the flow of port %d is open at %s", unlucky_port,
	     targets[watched[unlucky_port].target].name);
	if (first_target == &targets[watched[unlucky_port].target])
		cannot_run("the flow is open at its first target");
	run_until(5500, 40);
	if (trouble) {
		note("all instances are killed");
		/* the script starts them again 0.5 s later */
		for (int i = 0; i < instance_nr; i++) {
			char name[32];
			const char *pid;

			snprintf(name, sizeof(name), "PID_%d", i + 1);
			pid = getenv(name);
			if (pid)
				kill(atoi(pid), SIGKILL);
		}
	}
	/* the pause ends when its first target has just answered again */
	f->idle_ms = began + 7900;
	run_until(14500, 40);
	note_totals();
	note("FLOW (a): %d; FLOW (b): %d", resets_seen, moves_seen);
	return resets_seen + moves_seen > 0;
}

/*
 * FLOW: a target drains and leaves while slow uploads are under way there. It
 * stops listening when its time has passed, and serves on until they end.
 */
static int play_drain(bool trouble)
{
	struct target *t;

	run_until(4000, 40);
	for (int i = 0; i < 12; i++) {
		open_upload(UPLOAD_PACKETS, UPLOAD_PACE_MS);
		run_until(4000 + (uint64_t)(i + 1) * 60, 40);
	}
	run_until(5500, 40);
	t = find_busiest();
	if (trouble) {
		note("%s reports that it drains", t->name);
		t->draining = true;
		t->written = false;
		t->written_ms = 0;
	}
	run_until(5500 + LISTENS_MS, 40);
	if (trouble) {
		note("%s stops listening and serves its open flows", t->name);
		stop_listening(t);
	}
	run_until(14000, 40);
	if (trouble) {
		note("%s exits", t->name);
		stop_target(t);
	}
	run_until(16000, 0);
	note_totals();
	note("FLOW (a): %d; FLOW (b): %d", resets_seen, moves_seen);
	if (answered_nr < sent / 2)
		cannot_run("too few answers");
	return resets_seen + moves_seen > 0;
}

/* One of the last routes that were added, of which there are N. */
static uint16_t newest_route(int n)
{
	return (uint16_t)(FIRST_PORT + n + 1 -
			  random() %
				  (n < NEWEST_ROUTES ? n + 1 : NEWEST_ROUTES));
}

/*
 * FLOW: configurations come in quick succession, each with a route more, while
 * the only instance of the clients' zone is stopped. Clients open a flow on each
 * new route and keep it.
 */
static int play_storm(bool trouble)
{
	const char *pid = getenv("PID_TO_STOP");
	uint64_t gap = 100;
	int steps = 48;

	pause_min_ms = 200;
	for (int i = 0; i < instance_nr; i++)
		instances[i].checked_ms += 100;

	run_until(4000, 40);
	for (int i = 0; i < steps; i++) {
		if (trouble || i == 0) {
			route_nr += trouble ? 1 : steps;
			version += 3;
			write_config();
			note("version %d is acknowledged, with the routes %d "
			     "to %d",
			     version, FIRST_PORT, FIRST_PORT + route_nr - 1);
		}
		if (trouble && i == 12 && pid) {
			note("the instance of the clients' zone gets SIGTERM");
			kill(atoi(pid), SIGTERM);
		}
		/* clients use the newest routes */
		for (int k = 0; k < 25; k++) {
			if (i >= 17 && i < 24)
				open_attempt(0, newest_route(i), 0, now_ms(),
					     true);
			run_until(4000 + (uint64_t)i * gap +
					  (uint64_t)(k + 1) * 4,
				  40);
		}
	}
	run_until(13000, 40);
	note_totals();
	note("FLOW (a): %d; FLOW (b): %d", resets_seen, moves_seen);
	return resets_seen + moves_seen > 0;
}

int main(int argc, char **argv)
{
	char path[512];
	bool trouble;
	int broken;

	if (argc < 7) {
		fprintf(stderr, "usage: stage-3 NET PORT DIR SCENARIO TROUBLE "
				"INSTANCE[/ZONE]...\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	net = atoi(argv[1]);
	base_port = atoi(argv[2]);
	trouble = atoi(argv[5]);
	snprintf(path, sizeof(path), "%s/record.txt", argv[3]);
	record = fopen(path, "w");
	if (!record)
		return 2;
	began_ms = now_ms();
	srandom(61);
	set_up(argc, argv);
	note("scenario %s, %s", argv[4],
	     trouble ? "with the disruption" : "without the disruption");
	while (!all_ready()) {
		step();
		if (now_ms() > began_ms + 15000)
			cannot_run("the instances are not ready");
	}
	note("all instances are ready");
	began_ms = now_ms();
	if (!strcmp(argv[4], "cold-start"))
		broken = play_cold_start(trouble);
	else if (!strcmp(argv[4], "drain"))
		broken = play_drain(trouble);
	else if (!strcmp(argv[4], "full-queue"))
		broken = play_full_queue(trouble);
	else if (!strcmp(argv[4], "herd"))
		broken = play_herd(trouble);
	else if (!strcmp(argv[4], "storm"))
		broken = play_storm(trouble);
	else
		cannot_run("no such scenario");
	note("%s", broken ? "the rule was broken" : "the rule held");
	fclose(record);
	return broken;
}
