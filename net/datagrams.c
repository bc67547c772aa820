#include "net/datagrams.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct datagrams {
	uv_poll_t poll;
	int fd;
	datagram_fn fn;
	void *user;
	bool closing;
	uint64_t unsent_count;
	unsigned int queued_count;
	struct mmsghdr in[DATAGRAM_BATCH];
	struct iovec in_vec[DATAGRAM_BATCH];
	struct sockaddr_in in_addr[DATAGRAM_BATCH];
	struct mmsghdr out[DATAGRAM_BATCH];
	struct iovec out_vec[DATAGRAM_BATCH];
	struct sockaddr_in out_addr[DATAGRAM_BATCH];
	uint8_t in_data[DATAGRAM_BATCH][DATAGRAM_MAX];
	uint8_t out_data[DATAGRAM_BATCH][DATAGRAM_MAX];
};

uint32_t endpoint_ipv4(const struct endpoint *ep)
{
	return (uint32_t)ep->ip[0] << 24 | (uint32_t)ep->ip[1] << 16 |
	       (uint32_t)ep->ip[2] << 8 | ep->ip[3];
}

void flush_datagrams(struct datagrams *dg)
{
	unsigned int sent = 0;

	while (sent < dg->queued_count) {
		int n = sendmmsg(dg->fd, dg->out + sent,
				 dg->queued_count - sent, MSG_DONTWAIT);

		if (n > 0) {
			sent += (unsigned int)n;
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		/* not retried: senders cope with loss, as on a full link */
		dg->unsent_count++;
		sent++;
	}
	dg->queued_count = 0;
}

void queue_datagram(struct datagrams *dg, uint32_t ip, uint16_t port,
		    const void *header, size_t header_len, const void *data,
		    size_t len)
{
	unsigned int i;

	if (header_len + len > DATAGRAM_MAX)
		return;
	if (dg->queued_count == DATAGRAM_BATCH)
		flush_datagrams(dg);
	i = dg->queued_count++;
	memset(&dg->out_addr[i], 0, sizeof(dg->out_addr[i]));
	dg->out_addr[i].sin_family = AF_INET;
	dg->out_addr[i].sin_port = htons(port);
	dg->out_addr[i].sin_addr.s_addr = htonl(ip);
	if (header_len)
		memcpy(dg->out_data[i], header, header_len);
	if (len)
		memcpy(dg->out_data[i] + header_len, data, len);
	dg->out_vec[i].iov_base = dg->out_data[i];
	dg->out_vec[i].iov_len = header_len + len;
}

static void deliver_datagram(struct datagrams *dg, unsigned int i)
{
	struct endpoint from;

	endpoint_from_sockaddr(&from, (const struct sockaddr *)&dg->in_addr[i]);
	dg->fn(dg->in_data[i], dg->in[i].msg_len, &from, dg->user);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct datagrams *dg = poll->data;

	if (status < 0 || !(events & UV_READABLE))
		return;
	for (int round = 0; round < DATAGRAM_BATCHES_MAX && !dg->closing;
	     round++) {
		int n;

		for (int i = 0; i < DATAGRAM_BATCH; i++)
			dg->in[i].msg_hdr.msg_namelen = sizeof(dg->in_addr[i]);
		n = recvmmsg(dg->fd, dg->in, DATAGRAM_BATCH, MSG_DONTWAIT,
			     NULL);
		if (n <= 0)
			break;
		for (int i = 0; i < n && !dg->closing; i++)
			deliver_datagram(dg, (unsigned int)i);
		if (n < DATAGRAM_BATCH)
			break;
	}
	flush_datagrams(dg);
}

static void init_batches(struct datagrams *dg)
{
	for (int i = 0; i < DATAGRAM_BATCH; i++) {
		dg->in_vec[i].iov_base = dg->in_data[i];
		dg->in_vec[i].iov_len = DATAGRAM_MAX;
		dg->in[i].msg_hdr.msg_iov = &dg->in_vec[i];
		dg->in[i].msg_hdr.msg_iovlen = 1;
		dg->in[i].msg_hdr.msg_name = &dg->in_addr[i];
		dg->out[i].msg_hdr.msg_iov = &dg->out_vec[i];
		dg->out[i].msg_hdr.msg_iovlen = 1;
		dg->out[i].msg_hdr.msg_name = &dg->out_addr[i];
		dg->out[i].msg_hdr.msg_namelen = sizeof(dg->out_addr[i]);
	}
}

static int open_socket(const struct endpoint *at)
{
	int size = DATAGRAM_SOCKET_BYTES;
	struct sockaddr_storage ss;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	endpoint_to_sockaddr(at, &ss);
	/* the default buffer overflows in bursts while other handlers run */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&ss, sizeof(struct sockaddr_in))) {
		int err = -errno;

		close(fd);
		return err;
	}
	return fd;
}

struct datagrams *create_datagrams(uv_loop_t *loop, const struct endpoint *at,
				   datagram_fn fn, void *user,
				   struct status *st)
{
	struct datagrams *dg;
	char text[ENDPOINT_TEXT_MAX];
	int fd = open_socket(at);

	if (fd < 0) {
		set_status(st, STATUS_UNAVAILABLE, "cannot use UDP port %s: %s",
			   format_endpoint(at, text), uv_strerror(fd));
		return NULL;
	}
	dg = g_new0(struct datagrams, 1);
	dg->fd = fd;
	dg->fn = fn;
	dg->user = user;
	init_batches(dg);
	uv_poll_init_socket(loop, &dg->poll, fd);
	dg->poll.data = dg;
	uv_poll_start(&dg->poll, UV_READABLE, on_readable);
	return dg;
}

static void on_closed(uv_handle_t *handle)
{
	struct datagrams *dg = handle->data;

	close(dg->fd);
	g_free(dg);
}

void destroy_datagrams(struct datagrams *dg)
{
	if (!dg)
		return;
	flush_datagrams(dg);
	dg->closing = true;
	uv_close((uv_handle_t *)&dg->poll, on_closed);
}

uint64_t unsent_datagram_count(const struct datagrams *dg)
{
	return dg->unsent_count;
}
