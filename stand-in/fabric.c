/*
 * fabric-stand-in: forwards each TCP connection and each GUE packet that
 * arrives at ADDRESS:PORT to a random instance of those on the command line. A
 * TCP connection that the instance refuses is tried at a random one again. A
 * packet from an instance is forwarded to the caller to which it is addressed.
 *
 * Every PROBE_MS it connects to each instance's admin port; instances that
 * refuse get no packets, unless all refuse.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/endpoint.h"
#include "flow/gue.h"
#include "flow/packet.h"

#define BUFFER_MAX 65536 /* bytes */
#define LISTEN_BACKLOG 511
#define PROBE_MS 100
#define PROBE_PORT 7400
#define INSTANCES_MAX 32

struct fabric;

/* Probe of one instance. */
struct probe {
	struct fabric *f;
	struct endpoint at;
	uv_tcp_t tcp;
	uv_connect_t connect;
	bool busy; /* a connection attempt is in progress */
	bool refused;
};

struct fabric {
	uv_loop_t *loop;
	uv_timer_t probe_timer;
	struct probe probes[INSTANCES_MAX];
	uv_tcp_t tcp;
	uv_udp_t udp;
	const char *tcp_port;
	const char *udp_port;
	char **instances; /* addresses */
	int instance_nr;
	GRand *rand;
	char buffer[BUFFER_MAX];
};

/* One end of a spliced connection, at the caller or at an instance. */
struct splice_end {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct fabric *f;
	struct splice_end *peer;
	int tries;
	bool closing;
};

static void free_splice_end(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void close_splice_end(struct splice_end *e)
{
	if (!e || e->closing)
		return;
	e->closing = true;
	if (e->peer)
		e->peer->peer = NULL;
	close_splice_end(e->peer);
	uv_close((uv_handle_t *)&e->tcp, free_splice_end);
}

static void on_probe_closed(uv_handle_t *handle)
{
	struct probe *pr = handle->data;

	pr->busy = false;
}

static void on_probed(uv_connect_t *req, int status)
{
	struct probe *pr = req->data;

	pr->refused = status < 0;
	uv_close((uv_handle_t *)&pr->tcp, on_probe_closed);
}

static void on_probe_timer(uv_timer_t *timer)
{
	struct fabric *f = timer->data;

	for (int i = 0; i < f->instance_nr; i++) {
		struct probe *pr = &f->probes[i];
		struct sockaddr_storage ss;

		if (pr->busy)
			continue;
		pr->busy = true;
		uv_tcp_init(f->loop, &pr->tcp);
		pr->tcp.data = pr;
		pr->connect.data = pr;
		endpoint_to_sockaddr(&pr->at, &ss);
		if (uv_tcp_connect(&pr->connect, &pr->tcp,
				   (struct sockaddr *)&ss, on_probed) < 0)
			uv_close((uv_handle_t *)&pr->tcp, on_probe_closed);
	}
}

static bool open_probes(struct fabric *f)
{
	if (f->instance_nr > INSTANCES_MAX)
		return false;
	for (int i = 0; i < f->instance_nr; i++) {
		if (parse_address(f->instances[i], &f->probes[i].at, NULL))
			return false;
		f->probes[i].at.port = PROBE_PORT;
	}
	uv_timer_init(f->loop, &f->probe_timer);
	f->probe_timer.data = f;
	uv_timer_start(&f->probe_timer, on_probe_timer, 0, PROBE_MS);
	return true;
}

/* A random instance that does not refuse; any instance if all refuse. */
static struct endpoint *pick_instance_for_packet(struct fabric *f)
{
	int first = g_rand_int_range(f->rand, 0, f->instance_nr);

	for (int n = 0; n < f->instance_nr; n++) {
		struct probe *pr = &f->probes[(first + n) % f->instance_nr];

		if (!pr->refused)
			return &pr->at;
	}
	return &f->probes[first].at;
}

static bool is_instance(const struct fabric *f, const struct endpoint *from)
{
	for (int i = 0; i < f->instance_nr; i++)
		if (!memcmp(f->probes[i].at.ip, from->ip, sizeof(from->ip)))
			return true;
	return false;
}

static bool pick_instance_endpoint(struct fabric *f, const char *port,
				   struct endpoint *ep)
{
	int i = g_rand_int_range(f->rand, 0, f->instance_nr);
	char *text = g_strdup_printf("%s:%s", f->instances[i], port);
	bool ok = parse_endpoint(text, ep, NULL) == STATUS_OK;

	g_free(text);
	return ok;
}

static void on_written(uv_write_t *req, int status)
{
	if (status < 0)
		close_splice_end(req->handle->data);
	g_free(req->data);
	g_free(req);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct splice_end *e = stream->data;
	uv_write_t *req;
	uv_buf_t out;

	if (n < 0 || !e->peer) {
		close_splice_end(e);
		return;
	}
	req = g_new0(uv_write_t, 1);
	req->data = g_memdup2(buf->base, (gsize)n);
	out = uv_buf_init(req->data, (unsigned int)n);
	uv_write(req, (uv_stream_t *)&e->peer->tcp, &out, 1, on_written);
}

static void provide_tcp_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	const struct splice_end *e = handle->data;

	(void)size;
	*buf = uv_buf_init(e->f->buffer, BUFFER_MAX);
}

static struct splice_end *create_splice_end(struct fabric *f)
{
	struct splice_end *e = g_new0(struct splice_end, 1);

	e->f = f;
	uv_tcp_init(f->loop, &e->tcp);
	e->tcp.data = e;
	return e;
}

static void connect_instance(struct splice_end *caller, int tries);

static void on_connected(uv_connect_t *req, int status)
{
	struct splice_end *inst = req->data;
	struct splice_end *caller = inst->peer;

	if (status < 0 && caller) {
		inst->peer = NULL;
		caller->peer = NULL;
		close_splice_end(inst);
		connect_instance(caller, inst->tries + 1);
		return;
	}
	if (!caller)
		return;
	uv_read_start((uv_stream_t *)&inst->tcp, provide_tcp_buffer, on_read);
	uv_read_start((uv_stream_t *)&caller->tcp, provide_tcp_buffer, on_read);
}

static void connect_instance(struct splice_end *caller, int tries)
{
	struct fabric *f = caller->f;
	struct sockaddr_storage ss;
	struct endpoint ep;
	struct splice_end *inst;

	if (tries > 4 * f->instance_nr ||
	    !pick_instance_endpoint(f, f->tcp_port, &ep)) {
		close_splice_end(caller);
		return;
	}
	inst = create_splice_end(f);
	inst->tries = tries;
	inst->peer = caller;
	caller->peer = inst;
	inst->connect.data = inst;
	endpoint_to_sockaddr(&ep, &ss);
	if (uv_tcp_connect(&inst->connect, &inst->tcp, (struct sockaddr *)&ss,
			   on_connected) < 0)
		close_splice_end(caller);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct fabric *f = stream->data;
	struct splice_end *e;

	if (status < 0)
		return;
	e = create_splice_end(f);
	if (uv_accept(stream, (uv_stream_t *)&e->tcp) < 0)
		close_splice_end(e);
	else
		connect_instance(e, 0);
}

/* Reads the destination of the packet inside a GUE datagram. */
static bool read_destination(const uint8_t *data, size_t len,
			     struct endpoint *to)
{
	const uint8_t *inner = read_gue(data, len, &len);
	struct packet p;

	if (!inner || !read_packet(inner, len, &p))
		return false;
	*to = p.service;
	return true;
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct fabric *f = udp->data;
	struct sockaddr_storage ss;
	struct endpoint ep;
	uv_buf_t out = uv_buf_init(buf->base, n > 0 ? (unsigned int)n : 0);

	(void)flags;
	if (n <= 0 || !from)
		return;
	endpoint_from_sockaddr(&ep, from);
	if (is_instance(f, &ep)) {
		if (!read_destination((uint8_t *)buf->base, (size_t)n, &ep))
			return;
	} else {
		ep = *pick_instance_for_packet(f);
		ep.port = (uint16_t)strtoul(f->udp_port, NULL, 10);
	}
	endpoint_to_sockaddr(&ep, &ss);
	uv_udp_try_send(udp, &out, 1, (struct sockaddr *)&ss);
}

static void provide_udp_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct fabric *f = handle->data;

	(void)size;
	*buf = uv_buf_init(f->buffer, BUFFER_MAX);
}

static int open_fabric(struct fabric *f, const struct endpoint *at)
{
	struct sockaddr_storage ss;
	int err;

	endpoint_to_sockaddr(at, &ss);
	uv_tcp_init(f->loop, &f->tcp);
	uv_udp_init(f->loop, &f->udp);
	f->tcp.data = f;
	f->udp.data = f;
	err = uv_tcp_bind(&f->tcp, (struct sockaddr *)&ss, 0);
	if (!err)
		err = uv_listen((uv_stream_t *)&f->tcp, LISTEN_BACKLOG,
				on_connection);
	if (!err)
		err = uv_udp_bind(&f->udp, (struct sockaddr *)&ss, 0);
	if (!err)
		err = uv_udp_recv_start(&f->udp, provide_udp_buffer,
					on_datagram);
	return err;
}

int main(int argc, char **argv)
{
	static struct fabric f;
	struct endpoint at;
	struct status st;
	int err;

	if (argc < 5 || parse_endpoint(argv[1], &at, &st) != STATUS_OK) {
		fprintf(stderr, "usage: fabric-stand-in ADDRESS:PORT TCP-PORT "
				"UDP-PORT INSTANCE-ADDRESS...\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	f.loop = uv_default_loop();
	f.tcp_port = argv[2];
	f.udp_port = argv[3];
	f.instances = argv + 4;
	f.instance_nr = argc - 4;
	f.rand = g_rand_new_with_seed(1);
	if (!open_probes(&f)) {
		fprintf(stderr, "bad list of instances\n");
		return 1;
	}
	err = open_fabric(&f, &at);
	if (err) {
		fprintf(stderr, "%s: %s\n", argv[1], uv_strerror(err));
		return 1;
	}
	return uv_run(f.loop, UV_RUN_DEFAULT);
}
