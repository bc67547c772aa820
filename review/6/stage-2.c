/*
 * stage-2: the users' platform for the scripts of the second review, in one
 * process: the metadata store, the routers, clients and targets, as PROTOCOL.md
 * and DEPLOY.md describe them. It starts the instances, with the command of the
 * deploy file, and stops, kills and restarts them. Uses neither code nor
 * libraries of the project. Addresses are 127.N.*, N from the process id.
 *
 *   stage-2 SCENARIO EDGE TEMPLATE WORK-DIR RECORD
 *
 * SCENARIO names one of those at the end of this file. EDGE is the program,
 * TEMPLATE deploy/settings.ini. TROUBLE=0 in the environment leaves out the
 * disruption. Exit code 0: the rule held, 1: it was broken, 2: could not run.
 */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PACKET_PORT 8172
#define READY_PORT 8167
#define CONTROL_PORT 8166
#define PEER_PORT 7720
#define STORE_PORT 8169
#define TARGET_PORT 8080
#define ROUTE_IP "198.18.0.1"
#define ROUTE_PORT 8443

#define INSTANCES_MAX 24
#define TARGETS_MAX 24
#define FLOWS_MAX 2048
#define CONNECTIONS_MAX 512
#define EVENTS_MAX 4096
#define PROBE_MS 500
#define SYN_ACKS_MAX 9	   /* one and eight retransmissions */
#define RESET_WINDOW 76800 /* bytes around the client's last ack */
#define SLOTS 3		   /* requests that a target works on at once */

enum { SYN = 128, ACK = 64, FIN = 32, BOUNCED = 16, RST = 2 };

/* --- time, record ----------------------------------------------------- */

static FILE *record;
static uint64_t began_ms;
static unsigned int net_byte;

static uint64_t clock_ms(clockid_t c)
{
	struct timespec ts;

	clock_gettime(c, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - began_ms + 1;
}

__attribute__((format(printf, 1, 2))) static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%9.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

__attribute__((noreturn)) static void end(int code);

__attribute__((format(printf, 1, 2), noreturn)) static void
cannot_run(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	note("could not run");
	end(2);
}

static uint32_t local_ip(unsigned int group, unsigned int nr)
{
	return 127u << 24 | net_byte << 16 | group << 8 | nr;
}

static struct sockaddr_in socket_address(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(ip) };

	return sa;
}

static const char *ip_text(uint32_t ip)
{
	static char text[4][16];
	static unsigned int at;
	char *t = text[at++ % 4];

	snprintf(t, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
		 ip & 255);
	return t;
}

static int open_socket(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = socket_address(ip, port);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    (type == SOCK_STREAM && listen(fd, 64)))
		cannot_run("cannot use %s:%u: %s", ip_text(ip), port,
			   strerror(errno));
	return fd;
}

/* --- packets ---------------------------------------------------------- */

struct packet {
	uint8_t flags;
	uint8_t pad;
	uint32_t echo;
	uint32_t sum;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t seq, ack;
	uint16_t len;
	const uint8_t *data;
};

#define HEAD 32
#define DATA_MAX 1200

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

/* Over all fields but echo, pad and BOUNCED, and over the data. */
static uint32_t packet_sum(const uint8_t *p, size_t len)
{
	uint32_t h = 2166136261u ^ 0x5eed5eedu;

	for (size_t i = 0; i < len; i++) {
		uint8_t b = p[i];

		if (i == 0)
			b &= (uint8_t)~BOUNCED;
		if ((i >= 1 && i < 10))
			continue;
		h = (h ^ b) * 16777619u;
	}
	return h ? h : 1;
}

static size_t write_packet(const struct packet *p, uint8_t *out)
{
	out[0] = p->flags;
	out[1] = p->pad;
	put32(out + 2, p->echo);
	put16(out + 10, p->dport);
	put32(out + 12, p->src);
	put16(out + 16, p->sport);
	put32(out + 18, p->dst);
	put32(out + 22, p->seq);
	put32(out + 26, p->ack);
	put16(out + 30, p->len);
	if (p->len)
		memcpy(out + HEAD, p->data, p->len);
	put32(out + 6, packet_sum(out, (size_t)HEAD + p->len));
	return (size_t)HEAD + p->len;
}

static bool read_packet(const uint8_t *in, size_t n, struct packet *p)
{
	if (n < HEAD)
		return false;
	p->flags = in[0];
	p->pad = in[1];
	p->echo = get32(in + 2);
	p->sum = get32(in + 6);
	p->dport = get16(in + 10);
	p->src = get32(in + 12);
	p->sport = get16(in + 16);
	p->dst = get32(in + 18);
	p->seq = get32(in + 22);
	p->ack = get32(in + 26);
	p->len = get16(in + 30);
	p->data = in + HEAD;
	return n == (size_t)HEAD + p->len;
}

static const char *flag_text(uint8_t f)
{
	static char text[40];

	snprintf(text, sizeof(text), "%s%s%s%s", f & SYN ? "SYN " : "",
		 f & ACK ? "ACK " : "", f & FIN ? "FIN " : "",
		 f & RST ? "RST " : "");
	return text;
}

static uint32_t random_u32(void)
{
	return (uint32_t)random() << 8 ^ (uint32_t)random();
}

/* --- the store -------------------------------------------------------- */

struct event {
	char key[200];
	char *value; /* base64; NULL: removed */
	uint64_t rev, create_rev, lease;
	bool current; /* what the key has now */
};

struct connection {
	int fd;
	char in[65536];
	size_t in_len;
	char *out;
	size_t out_len, out_at;
	/* a watch that waits */
	bool waiting;
	char prefix[200];
	uint64_t after, until_ms;
	bool is_health; /* of target NR, not of the store */
	int nr;
};

static struct event events[EVENTS_MAX];
static size_t event_nr;
static uint64_t revision = 1;
static uint64_t last_lease;
static int store_fd;
static struct connection connections[CONNECTIONS_MAX];
static unsigned int store_reads; /* of all items */

static char *to_base64(const char *text, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	char *out = malloc((len + 2) / 3 * 4 + 1);
	char *o = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint8_t)text[i + 2];
		*o++ = digits[v >> 18];
		*o++ = digits[v >> 12 & 63];
		*o++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
		*o++ = i + 2 < len ? digits[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

static struct event *current_item(const char *key)
{
	for (size_t i = 0; i < event_nr; i++)
		if (events[i].current && !strcmp(events[i].key, key))
			return &events[i];
	return NULL;
}

/* Writes an item at the present revision; takes VALUE (NULL: removes). */
static void add_event(const char *key, char *value, uint64_t lease)
{
	struct event *old = current_item(key);
	struct event *e;

	if (!value && !old)
		return;
	if (event_nr == EVENTS_MAX)
		cannot_run("too many events");
	e = &events[event_nr++];
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->value = value;
	e->rev = revision;
	e->create_rev = old ? old->create_rev : revision;
	e->lease = lease;
	e->current = value;
	if (old)
		old->current = false;
}

static void put_text(const char *key, const char *text)
{
	revision++;
	add_event(key, to_base64(text, strlen(text)), 0);
}

static void remove_key(const char *key)
{
	revision++;
	add_event(key, NULL, 0);
}

struct text {
	char *at;
	size_t len, size;
};

__attribute__((format(printf, 2, 3))) static void add_text(struct text *t,
							   const char *fmt, ...)
{
	va_list ap;
	int n;

	for (;;) {
		va_start(ap, fmt);
		n = vsnprintf(t->at + t->len, t->size - t->len, fmt, ap);
		va_end(ap);
		if (t->len + (size_t)n < t->size)
			break;
		t->size = 2 * t->size + (size_t)n + 256;
		t->at = realloc(t->at, t->size);
	}
	t->len += (size_t)n;
}

static void add_item(struct text *t, const struct event *e)
{
	if (e->value)
		add_text(t,
			 "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%llu,"
			 "\"createRev\":%llu,\"lease\":%llu}",
			 e->key, e->value, (unsigned long long)e->rev,
			 (unsigned long long)e->create_rev,
			 (unsigned long long)e->lease);
	else
		add_text(t, "{\"key\":\"%s\",\"rev\":%llu,\"removed\":true}",
			 e->key, (unsigned long long)e->rev);
}

static void reply(struct connection *c, int code, const char *body, size_t len,
		  const char *header)
{
	struct text t = { 0 };

	add_text(&t,
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s"
		 "Content-Length: %zu\r\n\r\n",
		 code, header, len);
	t.at = realloc(t.at, t.len + len + 1);
	memcpy(t.at + t.len, body, len);
	t.len += len;
	free(c->out);
	c->out = t.at;
	c->out_len = t.len;
	c->out_at = 0;
	c->waiting = false;
}

/* Copies what follows NAME= in the query of TARGET, unescaped. */
static bool query_value(const char *target, const char *name, char *out,
			size_t size)
{
	const char *q = strchr(target, '?');
	size_t n = strlen(name);

	*out = '\0';
	while (q && *q) {
		q++;
		if (!strncmp(q, name, n) && q[n] == '=') {
			const char *v = q + n + 1;
			size_t at = 0;

			while (*v && *v != '&' && at + 1 < size) {
				unsigned int c = (uint8_t)*v++;

				if (c == '%' && sscanf(v, "%2x", &c) == 1)
					v += 2;
				out[at++] = (char)c;
			}
			out[at] = '\0';
			return true;
		}
		q = strchr(q, '&');
	}
	return false;
}

static uint64_t query_number(const char *target, const char *name)
{
	char text[32];

	return query_value(target, name, text, sizeof(text))
		       ? strtoull(text, NULL, 10)
		       : 0;
}

static int compare_items(const void *a, const void *b)
{
	return strcmp((*(struct event *const *)a)->key,
		      (*(struct event *const *)b)->key);
}

static void answer_range(struct connection *c, const char *target)
{
	static struct event *items[EVENTS_MAX];
	char prefix[200];
	char after[200];
	bool has_after = query_value(target, "after", after, sizeof(after));
	struct text t = { 0 };
	size_t nr = 0;

	store_reads++;
	query_value(target, "prefix", prefix, sizeof(prefix));
	for (size_t i = 0; i < event_nr; i++)
		if (events[i].current &&
		    !strncmp(events[i].key, prefix, strlen(prefix)) &&
		    (!has_after || strcmp(events[i].key, after) > 0))
			items[nr++] = &events[i];
	qsort(items, nr, sizeof(items[0]), compare_items);
	add_text(&t, "{\"items\":[");
	for (size_t i = 0; i < nr; i++) {
		add_item(&t, items[i]);
		if (i + 1 < nr)
			add_text(&t, ",");
	}
	add_text(&t, "],\"hasMore\":false,\"storeRevision\":%llu}",
		 (unsigned long long)revision);
	reply(c, 200, t.at, t.len, "");
	free(t.at);
}

/* Answers a watch if there are events, or its wait has ended. */
static void try_watch(struct connection *c)
{
	struct text t = { 0 };
	size_t nr = 0;

	add_text(&t, "{\"events\":[");
	for (size_t i = 0; i < event_nr; i++)
		if (events[i].rev > c->after &&
		    !strncmp(events[i].key, c->prefix, strlen(c->prefix))) {
			if (nr++)
				add_text(&t, ",");
			add_item(&t, &events[i]);
		}
	add_text(&t, "],\"storeRevision\":%llu}", (unsigned long long)revision);
	if (nr || now_ms() >= c->until_ms)
		reply(c, 200, t.at, t.len, "");
	free(t.at);
}

static void answer_watch(struct connection *c, const char *target)
{
	query_value(target, "prefix", c->prefix, sizeof(c->prefix));
	c->after = query_number(target, "after");
	c->until_ms = now_ms() + query_number(target, "waitMs");
	c->waiting = true;
	try_watch(c);
}

/* Copies the string after "NAME": in TEXT; the end of it, or NULL. */
static const char *json_text(const char *text, const char *name, char *out,
			     size_t size)
{
	char quoted[40];
	const char *p;
	size_t at = 0;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	p = strstr(text, quoted);
	if (!p)
		return NULL;
	p += strlen(quoted);
	while (*p == ' ')
		p++;
	if (*p++ != '"')
		return NULL;
	while (*p && *p != '"' && at + 1 < size)
		out[at++] = *p++;
	out[at] = '\0';
	return p;
}

/* Writes of the system: it has no use for conditions, so none are checked. */
static void answer_txn(struct connection *c, const char *body)
{
	const char *p = strstr(body, "\"puts\"");
	const char *limit = strstr(body, "\"delete\"");
	char key[200];
	char value[4096];
	char text[40];

	revision++;
	while (p && (p = json_text(p, "key", key, sizeof(key))) &&
	       (!limit || p < limit) &&
	       (p = json_text(p, "value", value, sizeof(value)))) {
		const char *l = strstr(p, "\"lease\":");

		add_event(key, strdup(value),
			  l ? strtoull(l + 8, NULL, 10) : 0);
	}
	snprintf(text, sizeof(text), "{\"rev\":%llu}",
		 (unsigned long long)revision);
	reply(c, 200, text, strlen(text), "");
}

static void answer_store(struct connection *c, const char *target,
			 const char *body)
{
	char text[80];

	if (!strncmp(target, "/kv-range?", 10)) {
		answer_range(c, target);
	} else if (!strncmp(target, "/kv-watch?", 10)) {
		answer_watch(c, target);
	} else if (!strcmp(target, "/kv-txn")) {
		answer_txn(c, body);
	} else if (!strcmp(target, "/kv-lease")) {
		snprintf(text, sizeof(text),
			 "{\"lease\":%llu,\"ttlMs\":600000}",
			 (unsigned long long)++last_lease);
		reply(c, 200, text, strlen(text), "");
	} else if (!strncmp(target, "/kv-keep/", 9)) {
		reply(c, 200, "{\"ttlMs\":600000}", 16, "");
	} else {
		reply(c, 404, "{}", 2, "");
	}
}

/* --- targets ---------------------------------------------------------- */

enum target_state { TARGET_OFF, TARGET_READY, TARGET_DRAINING };

struct served_flow {
	bool used, open, reset_sent;
	uint32_t client_ip;
	uint16_t client_port;
	uint32_t route_ip;
	uint16_t route_port;
	uint32_t echo;	    /* last one received */
	uint32_t first_seq; /* of the target */
	uint32_t seq;	    /* next byte to send */
	uint32_t expected;  /* next byte of the client */
	unsigned int syn_ack_nr;
	uint64_t syn_ack_due_ms;
	/* the answer under way */
	char answer[64];
	bool answer_due, answer_sent;
	uint64_t answer_at_ms, resend_at_ms;
	unsigned int resend_nr;
	bool fin_sent;
};

struct target {
	enum target_state state;
	char name[40];
	uint64_t id;
	uint32_t ip;
	const char *zone;
	uint64_t born_ms;
	unsigned int seq;      /* of its writings */
	int udp, tcp;	       /* TCP: -1 while it does not listen */
	uint64_t lose_syn_ack; /* so many SYN+ACKs are lost on their way */
	uint64_t slot_free_ms[SLOTS];
	struct served_flow flows[FLOWS_MAX];
};

static struct target targets[TARGETS_MAX];
static int target_nr;
static unsigned int work_ms = 40;
static bool rule_broken;

static void write_target_entry(struct target *t)
{
	char key[80];
	char text[400];

	snprintf(key, sizeof(key), "servers/%s", t->name);
	snprintf(text, sizeof(text),
		 "{\"service\":\"permit-desk\",\"addr\":\"%s:%d\",\"zone\":"
		 "\"%s\",\"version\":\"v1\",\"slots\":3,\"state\":\"%s\","
		 "\"warmupLeftMs\":0,\"seq\":%u,\"born\":%llu}",
		 ip_text(t->ip), TARGET_PORT, t->zone,
		 t->state == TARGET_DRAINING ? "draining" : "ready", ++t->seq,
		 (unsigned long long)t->born_ms);
	put_text(key, text);
	note("target %s (%s, %s) writes that it is %s", t->name, t->zone,
	     ip_text(t->ip),
	     t->state == TARGET_DRAINING ? "draining" : "ready");
}

/* Starts a target whose id is NAME ("i-" and hexadecimal digits). */
static struct target *start_target(const char *name, const char *zone)
{
	struct target *t = &targets[target_nr++];

	memset(t, 0, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->id = strtoull(strrchr(name, '-') + 1, NULL, 16);
	t->zone = zone;
	t->ip = local_ip(2, (unsigned int)target_nr);
	t->born_ms = clock_ms(CLOCK_REALTIME);
	t->udp = open_socket(SOCK_DGRAM, t->ip, TARGET_PORT);
	t->tcp = open_socket(SOCK_STREAM, t->ip, TARGET_PORT);
	t->state = TARGET_READY;
	write_target_entry(t);
	return t;
}

/* It accepts no more health checks and flows, and keeps those that are open. */
static void stop_listening(struct target *t)
{
	close(t->tcp);
	t->tcp = -1;
	note("target %s does not listen any more", t->name);
}

static void stop_target(struct target *t)
{
	char key[80];

	t->state = TARGET_OFF;
	close(t->udp);
	if (t->tcp >= 0)
		close(t->tcp);
	snprintf(key, sizeof(key), "servers/%s", t->name);
	remove_key(key);
	note("target %s has left", t->name);
}

static void send_to_client(struct target *t, const struct served_flow *f,
			   uint8_t flags, uint32_t seq, uint32_t ack,
			   const char *data, bool lost)
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
	struct sockaddr_in to = socket_address(f->client_ip, PACKET_PORT);
	uint8_t out[HEAD + DATA_MAX];
	size_t n = write_packet(&p, out);

	note("target %s -> client port %u: %sseq=%u ack=%u echo=%08x "
	     "%s%s",
	     t->name, f->client_port, flag_text(flags), seq, ack, f->echo,
	     data ? data : "", lost ? " (lost)" : "");
	if (!lost)
		sendto(t->udp, out, n, 0, (struct sockaddr *)&to, sizeof(to));
}

static struct served_flow *find_served(struct target *t, uint32_t ip,
				       uint16_t port)
{
	for (int i = 0; i < FLOWS_MAX; i++)
		if (t->flows[i].used && t->flows[i].client_ip == ip &&
		    t->flows[i].client_port == port)
			return &t->flows[i];
	return NULL;
}

static void send_syn_ack(struct target *t, struct served_flow *f)
{
	uint64_t wait = 200ull << f->syn_ack_nr;
	bool lost = t->lose_syn_ack > 0;

	f->syn_ack_nr++;
	f->syn_ack_due_ms = now_ms() + (wait < 1600 ? wait : 1600);
	t->lose_syn_ack -= lost;
	send_to_client(t, f, SYN | ACK, f->first_seq, f->expected, NULL, lost);
}

static void take_syn(struct target *t, const struct packet *p)
{
	struct served_flow *f = find_served(t, p->src, p->sport);

	if (f && f->expected == p->seq + 1 && !f->open) {
		send_syn_ack(t, f);
		return;
	}
	if (f && f->open && f->first_seq && f->expected - p->seq < 1u << 20)
		return; /* a late copy */
	for (int i = 0; i < FLOWS_MAX && !f; i++)
		if (!t->flows[i].used)
			f = &t->flows[i];
	if (!f)
		return; /* full */
	memset(f, 0, sizeof(*f));
	f->used = true;
	f->client_ip = p->src;
	f->client_port = p->sport;
	f->route_ip = p->dst;
	f->route_port = p->dport;
	f->echo = p->echo;
	f->first_seq = random_u32();
	f->seq = f->first_seq + 1;
	f->expected = p->seq + 1;
	send_syn_ack(t, f);
}

static void reset_client(struct target *t, const struct packet *p)
{
	struct served_flow f = { .client_ip = p->src,
				 .client_port = p->sport,
				 .route_ip = p->dst,
				 .route_port = p->dport,
				 .echo = p->echo };

	send_to_client(t, &f, RST, p->ack, 0, NULL, false);
}

/* When a request that arrives now is answered. */
static uint64_t take_slot(struct target *t)
{
	uint64_t *slot = &t->slot_free_ms[0];
	uint64_t now = now_ms();

	for (int i = 1; i < SLOTS; i++)
		if (t->slot_free_ms[i] < *slot)
			slot = &t->slot_free_ms[i];
	*slot = (*slot > now ? *slot : now) + work_ms;
	return *slot;
}

static void take_data(struct target *t, struct served_flow *f,
		      const struct packet *p)
{
	if (f->answer_sent && p->ack == f->seq) {
		f->answer_sent = false; /* acknowledged */
		if (f->fin_sent)
			f->used = false;
	}
	if (!p->len)
		return;
	if (p->seq == f->expected) {
		f->expected += p->len;
		f->answer_due = true;
		f->answer_at_ms = take_slot(t);
		snprintf(f->answer, sizeof(f->answer), "%s runs %.*s", t->name,
			 p->len > 30 ? 30 : p->len, (const char *)p->data);
		note("target %s runs %.*s", t->name, p->len,
		     (const char *)p->data);
	}
	send_to_client(t, f, ACK, f->seq, f->expected, NULL, false);
}

static void take_packet(struct target *t, const uint8_t *in, size_t n)
{
	struct served_flow *f;
	struct packet p;
	uint64_t to = 0;

	if (n < 8 || !read_packet(in + 8, n - 8, &p))
		return;
	for (int i = 0; i < 8; i++)
		to = to << 8 | in[i];
	if (to && to != t->id)
		return;
	if (p.sum != packet_sum(in + 8, n - 8)) {
		note("BROKEN: target %s got a packet that its sender did not "
		     "write so",
		     t->name);
		rule_broken = true;
		return;
	}
	note("target %s <- client port %u: %sseq=%u ack=%u echo=%08x "
	     "%.*s",
	     t->name, p.sport, flag_text(p.flags), p.seq, p.ack, p.echo, p.len,
	     (const char *)p.data);
	if (p.flags & SYN && t->tcp >= 0) {
		take_syn(t, &p);
		return;
	}
	f = p.flags & SYN ? NULL : find_served(t, p.src, p.sport);
	if (f && !f->open && p.ack == f->seq)
		f->open = true;
	if (!f || !f->open) {
		if (!(p.flags & RST))
			reset_client(t, &p);
		return;
	}
	f->echo = p.echo;
	if (p.flags & RST) {
		f->used = false;
		return;
	}
	take_data(t, f, &p);
	if (p.flags & FIN && f->used) {
		send_to_client(t, f, FIN | ACK, f->seq, p.seq + p.len + 1, NULL,
			       false);
		f->used = false;
	}
}

static void tick_served(struct target *t, struct served_flow *f)
{
	uint64_t now = now_ms();

	if (!f->open) {
		if (now < f->syn_ack_due_ms)
			return;
		if (f->syn_ack_nr < SYN_ACKS_MAX)
			send_syn_ack(t, f);
		else
			f->used = false; /* it gives up */
		return;
	}
	if (f->answer_due && now >= f->answer_at_ms) {
		f->answer_due = false;
		f->answer_sent = true;
		f->seq += (uint32_t)strlen(f->answer);
		f->resend_nr = 0;
		f->resend_at_ms = now;
		f->fin_sent = t->state == TARGET_DRAINING;
	}
	if (f->answer_sent && now >= f->resend_at_ms) {
		uint64_t wait = 200ull << f->resend_nr++;

		if (f->resend_nr > SYN_ACKS_MAX) {
			f->used = false;
			return;
		}
		f->resend_at_ms = now + (wait < 1600 ? wait : 1600);
		send_to_client(t, f, f->fin_sent ? ACK | FIN : ACK,
			       f->seq - (uint32_t)strlen(f->answer),
			       f->expected, f->answer, false);
	}
}

static void answer_health(struct connection *c)
{
	struct target *t = &targets[c->nr];
	char header[80];

	snprintf(header, sizeof(header), "X-Instance-Id: %s\r\n", t->name);
	note("target %s answers a health check", t->name);
	reply(c, t->state == TARGET_DRAINING ? 503 : 200, "{}", 2, header);
}

/* --- instances and routers -------------------------------------------- */

struct instance {
	char name[40];
	const char *zone;
	uint32_t ip;
	pid_t pid; /* 0: it does not run */
	unsigned int misses;
	int probe_fd; /* -1: none runs */
	bool probe_sent;
	uint64_t probe_began_ms;
	uint64_t started_ms;
	bool stopping;
};

static struct instance instances[INSTANCES_MAX];
static int instance_nr;
static const char *edge_program, *work_dir;
static char *template_text;

static void replace_field(char **text, const char *field, const char *value)
{
	char name[60];
	char *at;

	snprintf(name, sizeof(name), "{{%s}}", field);
	while ((at = strstr(*text, name))) {
		char *out = malloc(strlen(*text) + strlen(value) + 1);

		sprintf(out, "%.*s%s%s", (int)(at - *text), *text, value,
			at + strlen(name));
		free(*text);
		*text = out;
	}
}

static const char *format(char *buf, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(buf, 120, fmt, ap);
	va_end(ap);
	return buf;
}

static void write_settings(const struct instance *in, const char *path)
{
	char *text = strdup(template_text);
	char b[120];
	FILE *f;

	replace_field(&text, "node", in->name);
	replace_field(&text, "zone", in->zone);
	replace_field(&text, "ip", ip_text(in->ip));
	replace_field(&text, "internalPorts.0", format(b, "%d", PEER_PORT));
	replace_field(&text, "limits.linkMbps", "1000.0");
	replace_field(&text, "listen.packetAddr",
		      format(b, "%s:%d", ip_text(in->ip), PACKET_PORT));
	replace_field(&text, "listen.ready",
		      format(b, "%s:%d", ip_text(in->ip), READY_PORT));
	replace_field(&text, "listen.control",
		      format(b, "%s:%d", ip_text(in->ip), CONTROL_PORT));
	replace_field(&text, "platform.addr",
		      format(b, "%s:%d", ip_text(local_ip(0, 1)), STORE_PORT));
	replace_field(&text, "seeds",
		      format(b, "%s:%d,%s:%d", ip_text(local_ip(1, 1)),
			     CONTROL_PORT, ip_text(local_ip(1, 2)),
			     CONTROL_PORT));
	replace_field(&text, "heartbeatMs", "1200");
	replace_field(&text, "bounds.flowTtlS", "60");
	replace_field(&text, "bounds.graceS", "6");
	replace_field(&text, "bounds.warmupFactor", "1.5");
	replace_field(&text, "bounds.warmupSlack", "5");
	replace_field(&text, "bounds.configApplyMs", "3000");
	replace_field(&text, "bounds.drainMs", "3000");
	replace_field(&text, "bounds.maxSkewMs", "12000");
	if (strstr(text, "{{"))
		cannot_run("a field of the template is not known: %s",
			   strstr(text, "{{"));
	f = fopen(path, "w");
	if (!f || fputs(text, f) < 0 || fclose(f))
		cannot_run("cannot write settings");
	free(text);
}

static void start_instance(struct instance *in)
{
	char path[400];
	char log[400];
	char arg[420];

	snprintf(path, sizeof(path), "%s/%s.toml", work_dir, in->name);
	snprintf(log, sizeof(log), "%s/%s.log", work_dir, in->name);
	snprintf(arg, sizeof(arg), "--config=%s", path);
	write_settings(in, path);
	fflush(record);
	in->pid = fork();
	if (in->pid < 0)
		cannot_run("cannot fork");
	if (!in->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("BAOBABVALVE_BOOT", path, 1);
		execl(edge_program, edge_program, arg, (char *)NULL);
		_exit(127);
	}
	in->started_ms = now_ms();
	in->stopping = false;
	note("instance %s starts", in->name);
}

static struct instance *add_instance(const char *name, const char *zone)
{
	struct instance *in = &instances[instance_nr++];

	memset(in, 0, sizeof(*in));
	snprintf(in->name, sizeof(in->name), "%s", name);
	in->zone = zone;
	in->ip = local_ip(1, (unsigned int)instance_nr);
	in->probe_fd = -1;
	in->misses = 2;
	start_instance(in);
	return in;
}

static void signal_instance(struct instance *in, int sig)
{
	if (!in->pid)
		return;
	kill(in->pid, sig);
	in->stopping = sig == SIGTERM || sig == SIGKILL;
	note("instance %s gets SIG%s", in->name, sigabbrev_np(sig));
	if (sig == SIGKILL) {
		waitpid(in->pid, NULL, 0);
		in->pid = 0;
	}
}

/* Notes instances that have ended. */
static void reap_instances(void)
{
	for (int i = 0; i < instance_nr; i++) {
		struct instance *in = &instances[i];
		int status;

		if (!in->pid || waitpid(in->pid, &status, WNOHANG) != in->pid)
			continue;
		in->pid = 0;
		note("instance %s ended with %s %d", in->name,
		     WIFSIGNALED(status) ? "signal" : "code",
		     WIFSIGNALED(status) ? WTERMSIG(status)
					 : WEXITSTATUS(status));
		if (in->stopping)
			continue;
		note("BROKEN: instance %s ended by itself", in->name);
		rule_broken = true;
	}
}

static void end_probe(struct instance *in, bool ok)
{
	if (in->probe_fd >= 0)
		close(in->probe_fd);
	in->probe_fd = -1;
	if (ok && in->misses >= 2)
		note("instance %s is in rotation", in->name);
	if (!ok && in->misses == 1)
		note("instance %s is out of rotation", in->name);
	in->misses = ok ? 0 : in->misses + 1;
}

static void tick_probe(struct instance *in)
{
	struct sockaddr_in sa = socket_address(in->ip, READY_PORT);
	static const char text[] = "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n";
	uint64_t now = now_ms();
	char buf[200];
	ssize_t n;

	if (in->probe_fd < 0) {
		if (now < in->probe_began_ms + PROBE_MS)
			return;
		in->probe_began_ms = now;
		in->probe_sent = false;
		in->probe_fd = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (connect(in->probe_fd, (struct sockaddr *)&sa, sizeof(sa)) &&
		    errno != EINPROGRESS) {
			end_probe(in, false);
			return;
		}
	}
	if (now >= in->probe_began_ms + PROBE_MS - 50) {
		end_probe(in, false);
		return;
	}
	if (!in->probe_sent) {
		n = send(in->probe_fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
			end_probe(in, false);
		in->probe_sent = n > 0;
		return;
	}
	n = recv(in->probe_fd, buf, sizeof(buf) - 1, 0);
	if (n < 0 && errno == EAGAIN)
		return;
	buf[n > 0 ? n : 0] = '\0';
	end_probe(in, n > 0 && !strncmp(buf, "HTTP/1.1 200", 12));
}

/* The instance for a packet of a client in ZONE; NULL: none runs. */
static struct instance *route(const char *zone, uint32_t ip, uint16_t port)
{
	struct instance *best = NULL;
	uint64_t best_weight = 0;
	int all = 0, ready = 0, ready_elsewhere = 0;

	for (int i = 0; i < instance_nr; i++) {
		bool here = !strcmp(instances[i].zone, zone);

		all += here;
		ready += here && instances[i].misses < 2;
		ready_elsewhere += !here && instances[i].misses < 2;
	}
	for (int i = 0; i < instance_nr; i++) {
		struct instance *in = &instances[i];
		bool here = !strcmp(in->zone, zone);
		uint64_t w =
			((uint64_t)ip << 16 | port) * 0x9e3779b97f4a7c15ull ^
			(uint64_t)(i + 1) * 0xbf58476d1ce4e5b9ull;

		w ^= w >> 31;
		w *= 0x94d049bb133111ebull;
		w ^= w >> 29;
		/* with none in rotation here, the other zones' are used */
		if (!ready && ready_elsewhere ? here || in->misses >= 2 : !here)
			continue;
		if (ready && 2 * ready >= all && in->misses >= 2)
			continue;
		if (!best || w > best_weight) {
			best = in;
			best_weight = w;
		}
	}
	return best;
}

/* --- clients ---------------------------------------------------------- */

enum phase { CLOSED, OPENING, IDLE, ASKING };

struct client_flow {
	enum phase phase;
	uint16_t port;
	uint32_t echo;
	uint32_t seq, ack;
	unsigned int syn_nr;
	uint64_t opened_ms, due_ms, asked_ms;
	unsigned int resend_nr;
	unsigned int request;	  /* number of the last one */
	struct target *target;	  /* where it is open */
	struct instance *through; /* of the last packet */
	unsigned int answered;
	const char *zone; /* of the client */
	uint64_t next_ms; /* for scenarios */
};

static struct client_flow flows[FLOWS_MAX];
static int flow_nr;
static int client_fd;
static uint32_t client_ip;
static const char *client_zone;
static uint16_t next_port = 20000;

static void send_from_client(struct client_flow *f, uint8_t flags, uint32_t ack,
			     const char *data)
{
	struct packet p = { .flags = flags,
			    .echo = flags & SYN ? 0 : f->echo,
			    .src = client_ip,
			    .sport = f->port,
			    .dst = ntohl(inet_addr(ROUTE_IP)),
			    .dport = ROUTE_PORT,
			    .seq = f->seq,
			    .ack = ack,
			    .len = data ? (uint16_t)strlen(data) : 0,
			    .data = (const uint8_t *)data };
	struct instance *in = route(f->zone, client_ip, f->port);
	uint8_t out[HEAD + DATA_MAX];
	size_t n = write_packet(&p, out);
	struct sockaddr_in to;

	f->through = in;
	note("client port %u -> %s: %sseq=%u ack=%u echo=%08x %s", f->port,
	     in ? in->name : "nobody", flag_text(flags), p.seq, ack, p.echo,
	     data ? data : "");
	if (!in)
		return;
	to = socket_address(in->ip, PACKET_PORT);
	sendto(client_fd, out, n, 0, (struct sockaddr *)&to, sizeof(to));
}

static struct client_flow *open_flow(void)
{
	struct client_flow *f = NULL;

	for (int i = 0; i < flow_nr && !f; i++)
		if (flows[i].phase == CLOSED && !flows[i].next_ms)
			f = &flows[i];
	if (!f) {
		if (flow_nr == FLOWS_MAX)
			cannot_run("too many flows");
		f = &flows[flow_nr++];
	}
	memset(f, 0, sizeof(*f));
	f->phase = OPENING;
	f->zone = client_zone;
	f->port = next_port++;
	f->seq = random_u32();
	f->opened_ms = now_ms();
	f->due_ms = f->opened_ms + 200;
	send_from_client(f, SYN, f->syn_nr++, NULL);
	return f;
}

static void request_text(const struct client_flow *f, char *text, size_t size)
{
	snprintf(text, size, "request-%u-%u", f->port, f->request);
}

static void send_request(struct client_flow *f)
{
	char text[40];
	uint64_t wait = 200ull << f->resend_nr++;

	request_text(f, text, sizeof(text));
	f->due_ms = now_ms() + (wait < 1600 ? wait : 1600);
	send_from_client(f, ACK, f->ack, text);
}

static void ask(struct client_flow *f)
{
	f->phase = ASKING;
	f->request++;
	f->resend_nr = 0;
	f->asked_ms = now_ms();
	send_request(f);
}

static void close_flow(struct client_flow *f)
{
	if (f->phase == IDLE || f->phase == ASKING)
		send_from_client(f, FIN | ACK, f->ack, NULL);
	f->phase = CLOSED;
}

static void tick_client_flow(struct client_flow *f)
{
	uint64_t now = now_ms();

	if (f->phase == OPENING && now >= f->opened_ms + 1400) {
		note("client port %u gives up its SYN", f->port);
		f->phase = CLOSED;
	} else if (f->phase == OPENING && f->syn_nr < 3 && now >= f->due_ms) {
		f->due_ms += 400;
		send_from_client(f, SYN, f->syn_nr, NULL);
		f->syn_nr++;
	} else if (f->phase == ASKING && now >= f->asked_ms + 3000) {
		note("client port %u got no answer to request %u", f->port,
		     f->request);
		close_flow(f);
	} else if (f->phase == ASKING && now >= f->due_ms) {
		send_request(f);
	}
}

static void take_reset(struct client_flow *f, const struct packet *p)
{
	bool open = f->phase == IDLE || f->phase == ASKING;
	uint32_t distance = p->seq - f->ack + RESET_WINDOW;
	struct served_flow *sf =
		f->target ? find_served(f->target, client_ip, f->port) : NULL;

	note("client port %u gets a reset %s with seq=%u%s", f->port,
	     p->sum ? "of a target" : "of the system", p->seq,
	     open ? ", its flow was open" : "");
	/* while the flow is open, PROTOCOL allows no other */
	if (open && distance > 2 * RESET_WINDOW)
		return;
	f->phase = CLOSED;
	if (!open || !sf || !sf->open)
		return;
	note("BROKEN: FLOW: port %u is open at target %s, which lives and did "
	     "not send the reset; request %u is lost",
	     f->port, f->target->name, f->request);
	rule_broken = true;
}

static void take_answer(struct client_flow *f, const struct packet *p)
{
	char expected[120];
	char text[40];

	request_text(f, text, sizeof(text));
	if (p->seq != f->ack || f->phase != ASKING) {
		send_from_client(f, ACK, f->ack, NULL);
		return;
	}
	snprintf(expected, sizeof(expected), "%s runs %s", f->target->name,
		 text);
	if (strlen(expected) != p->len ||
	    memcmp(expected, p->data, p->len) != 0) {
		note("BROKEN: MIXED: port %u gets '%.*s' instead of '%s'",
		     f->port, p->len, (const char *)p->data, expected);
		rule_broken = true;
	}
	f->seq += (uint32_t)strlen(text);
	f->ack += p->len;
	f->phase = IDLE;
	f->answered++;
	note("client port %u got the answer to request %u from %s", f->port,
	     f->request, f->target->name);
	send_from_client(f, ACK, f->ack, NULL);
	if (p->flags & FIN) {
		f->ack++;
		close_flow(f);
	}
}

static struct target *target_with_seq(uint16_t port, uint32_t seq)
{
	for (int i = 0; i < target_nr; i++) {
		struct served_flow *sf =
			targets[i].state != TARGET_OFF
				? find_served(&targets[i], client_ip, port)
				: NULL;

		if (sf && sf->first_seq == seq)
			return &targets[i];
	}
	return NULL;
}

static void take_client_packet(const uint8_t *in, size_t n)
{
	struct client_flow *f = NULL;
	struct packet p;

	if (!read_packet(in, n, &p))
		return;
	for (int i = 0; i < flow_nr && !f; i++)
		if (flows[i].port == p.dport && flows[i].phase != CLOSED)
			f = &flows[i];
	if (!f)
		return;
	if (p.sum != packet_sum(in, n) &&
	    !(p.flags == RST && !p.sum && !p.len)) {
		note("BROKEN: MIXED: port %u gets a packet that its sender did "
		     "not write so",
		     f->port);
		rule_broken = true;
		return;
	}
	if (p.flags & RST) {
		take_reset(f, &p);
		return;
	}
	f->echo = p.echo;
	if (p.flags & SYN) {
		if (f->phase != OPENING)
			return;
		f->target = target_with_seq(f->port, p.seq);
		f->seq++;
		f->ack = p.seq + 1;
		note("client port %u: its flow opens at target %s", f->port,
		     f->target ? f->target->name : "unknown");
		ask(f);
	} else if (p.len) {
		take_answer(f, &p);
	}
}

/* --- the loop --------------------------------------------------------- */

static struct connection *accept_connection(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return NULL;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (!connections[i].fd) {
			memset(&connections[i], 0, sizeof(connections[i]));
			connections[i].fd = fd;
			return &connections[i];
		}
	close(fd);
	return NULL;
}

static void close_connection(struct connection *c)
{
	close(c->fd);
	free(c->out);
	memset(c, 0, sizeof(*c));
}

static void serve_connection(struct connection *c)
{
	char target[1024];
	char *body;
	char *length;
	size_t body_len;
	ssize_t n = recv(c->fd, c->in + c->in_len,
			 sizeof(c->in) - 1 - c->in_len, 0);

	if (!n || (n < 0 && errno != EAGAIN)) {
		close_connection(c);
		return;
	}
	if (n < 0)
		return;
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	body = strstr(c->in, "\r\n\r\n");
	if (!body || sscanf(c->in, "%*s %1023s", target) != 1)
		return;
	body += 4;
	length = strcasestr(c->in, "content-length:");
	body_len = length ? strtoul(length + 15, NULL, 10) : 0;
	if ((size_t)(c->in + c->in_len - body) < body_len)
		return;
	if (c->is_health)
		answer_health(c);
	else
		answer_store(c, target, body);
	c->in_len = 0;
}

static void tick_connection(struct connection *c)
{
	if (c->waiting)
		try_watch(c);
	if (c->out_at < c->out_len) {
		ssize_t n = send(c->fd, c->out + c->out_at,
				 c->out_len - c->out_at, MSG_NOSIGNAL);

		if (n > 0)
			c->out_at += (size_t)n;
		else if (errno != EAGAIN)
			close_connection(c);
	}
}

static void tick_all(void)
{
	reap_instances();
	for (int i = 0; i < instance_nr; i++)
		tick_probe(&instances[i]);
	for (int i = 0; i < target_nr; i++)
		for (int k = 0; k < FLOWS_MAX; k++)
			if (targets[i].state != TARGET_OFF &&
			    targets[i].flows[k].used)
				tick_served(&targets[i], &targets[i].flows[k]);
	for (int i = 0; i < flow_nr; i++)
		tick_client_flow(&flows[i]);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].fd)
			tick_connection(&connections[i]);
}

static void read_datagrams(int fd, struct target *t)
{
	uint8_t in[2048];
	ssize_t n;

	while ((n = recv(fd, in, sizeof(in), 0)) > 0) {
		if (t)
			take_packet(t, in, (size_t)n);
		else
			take_client_packet(in, (size_t)n);
	}
}

static void run_once(int timeout_ms)
{
	static struct pollfd
		fds[2 * TARGETS_MAX + CONNECTIONS_MAX + INSTANCES_MAX + 2];
	struct connection *c;
	nfds_t nr = 0;

	fds[nr++].fd = client_fd;
	fds[nr++].fd = store_fd;
	for (int i = 0; i < target_nr; i++) {
		if (targets[i].state == TARGET_OFF)
			continue;
		fds[nr++].fd = targets[i].udp;
		fds[nr++].fd = targets[i].tcp; /* poll() skips -1 */
	}
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].fd)
			fds[nr++].fd = connections[i].fd;
	for (nfds_t i = 0; i < nr; i++)
		fds[i].events = POLLIN;
	poll(fds, nr, timeout_ms);
	read_datagrams(client_fd, NULL);
	accept_connection(store_fd);
	for (int i = 0; i < target_nr; i++) {
		if (targets[i].state == TARGET_OFF)
			continue;
		read_datagrams(targets[i].udp, &targets[i]);
		c = targets[i].tcp >= 0 ? accept_connection(targets[i].tcp)
					: NULL;
		if (c) {
			c->is_health = true;
			c->nr = i;
		}
	}
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].fd)
			serve_connection(&connections[i]);
	tick_all();
}

static void run_for(uint64_t ms)
{
	uint64_t until = now_ms() + ms;

	while (now_ms() < until)
		run_once(2);
}

static bool all_in_rotation(void)
{
	for (int i = 0; i < instance_nr; i++)
		if (instances[i].misses)
			return false;
	return true;
}

static void wait_for_rotation(uint64_t ms)
{
	uint64_t until = now_ms() + ms;

	while (!all_in_rotation()) {
		if (now_ms() >= until)
			cannot_run("not all instances are ready");
		run_once(2);
	}
}

static void end(int code)
{
	for (int i = 0; i < instance_nr; i++)
		if (instances[i].pid) {
			kill(instances[i].pid, SIGKILL);
			waitpid(instances[i].pid, NULL, 0);
		}
	fprintf(record, "exit code %d\n", code);
	fclose(record);
	exit(code);
}

static bool has_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

/* --- what the scenarios share ----------------------------------------- */

/* The machines of the site mtg-permits. */
static const struct {
	const char *name;
	unsigned int machine_nr;
} zones[] = {
	{ "kochi-a", 3 }, { "kochi-b", 3 }, { "kochi-c", 1 }, { "kochi-d", 2 }
};

#define ZONE_NR (sizeof(zones) / sizeof(zones[0]))

static unsigned int aim_ms = 200;

static void write_config(unsigned int version, const char *more_routes)
{
	char text[4000];

	snprintf(
		text, sizeof(text),
		"{\"version\":%u,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
		"\"prefix\":\"/%d/\",\"kind\":\"safe\",\"timeoutMs\":3000,"
		"\"sloMs\":%u,\"priority\":1,\"service\":\"permit-desk\","
		"\"attempts\":2}%s],\"services\":[{\"name\":\"permit-desk\","
		"\"healthPath\":\"/health\",\"maxConns\":2000,\"proto\":\"h1\","
		"\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":5.0}],\"limits\":"
		"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		version, ROUTE_IP, ROUTE_PORT, aim_ms, more_routes);
	put_text("op/config", text);
	note("the operator writes version %u", version);
}

/* Starts the nine instances of the site; its clients are in the first zone. */
static void start_fleet(void)
{
	char name[40];

	write_config(7, "");
	for (size_t z = 0; z < ZONE_NR; z++)
		for (unsigned int i = 0; i < zones[z].machine_nr; i++) {
			snprintf(name, sizeof(name), "front-%s-%u",
				 zones[z].name, i + 1);
			add_instance(name, zones[z].name);
		}
	client_zone = zones[0].name;
}

#include "stage-2-scenarios.h"

int main(int argc, char **argv)
{
	FILE *f;

	if (argc != 6) {
		fprintf(stderr, "usage: stage-2 SCENARIO EDGE TEMPLATE "
				"WORK-DIR RECORD\n");
		return 2;
	}
	record = fopen(argv[5], "w");
	f = fopen(argv[3], "r");
	if (!record || !f)
		return 2;
	began_ms = clock_ms(CLOCK_MONOTONIC);
	template_text = calloc(1, 65536);
	if (!fread(template_text, 1, 65535, f))
		return 2;
	fclose(f);
	edge_program = argv[2];
	work_dir = argv[4];
	signal(SIGPIPE, SIG_IGN);
	srandom((unsigned int)getpid());
	net_byte = 20 + (unsigned int)getpid() % 200;
	store_fd = open_socket(SOCK_STREAM, local_ip(0, 1), STORE_PORT);
	client_ip = local_ip(3, 1);
	client_fd = open_socket(SOCK_DGRAM, client_ip, PACKET_PORT);
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++)
		if (!strcmp(argv[1], scenarios[i].name)) {
			scenarios[i].play();
			note("%s", rule_broken ? "the rule was broken"
					       : "the rule held");
			end(rule_broken);
		}
	cannot_run("no scenario %s", argv[1]);
}
