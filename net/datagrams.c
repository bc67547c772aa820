#include "net/datagrams.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Room for the time of receipt of a datagram. */
#define CONTROL_BYTES CMSG_SPACE(sizeof(struct timespec))

struct datagrams {
	uv_poll_t poll;
	uv_prepare_t prepare;
	int fd;
	datagram_fn fn;
	void *user;
	bool closing;
	bool receiving;		/* in receive_datagrams() */
	bool was_read;		/* since the loop last began to wait */
	uint64_t wait_began_ms; /* when the loop last began to wait */
	uint64_t empty_ms;	/* when nothing was unread */
	uint32_t age_ms;	/* of the datagram being delivered */
	unsigned int open_handles;
	uint64_t unsent_count;
	unsigned int queued_count;
	struct mmsghdr in[DATAGRAM_BATCH];
	struct iovec in_vec[DATAGRAM_BATCH];
	struct sockaddr_in in_addr[DATAGRAM_BATCH];
	_Alignas(struct cmsghdr) uint8_t
		in_control[DATAGRAM_BATCH][CONTROL_BYTES];
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

static uint64_t to_ms(const struct timespec *ts)
{
	return (uint64_t)ts->tv_sec * 1000 + (uint64_t)ts->tv_nsec / 1000000;
}

static uint64_t read_clock_ms(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return to_ms(&ts);
}

static bool is_before(const struct timespec *a, const struct timespec *b)
{
	return a->tv_sec != b->tv_sec ? a->tv_sec < b->tv_sec
				      : a->tv_nsec < b->tv_nsec;
}

/*
 * Time since datagram I was received, or LONGEST_MS if that is less or unknown.
 * READ_AT: time of day when the batch was about to be read.
 */
static uint32_t find_age_ms(struct datagrams *dg, unsigned int i,
			    uint64_t longest_ms, const struct timespec *read_at)
{
	struct msghdr *hdr = &dg->in[i].msg_hdr;
	struct cmsghdr *c;

	for (c = CMSG_FIRSTHDR(hdr); c; c = CMSG_NXTHDR(hdr, c)) {
		struct timespec ts;

		if (c->cmsg_level != SOL_SOCKET ||
		    c->cmsg_type != SCM_TIMESTAMPNS)
			continue;
		memcpy(&ts, CMSG_DATA(c), sizeof(ts));
		/*
		 * For datagrams that came before it began to note times of
		 * receipt, the kernel gives the time of the read.
		 */
		if (is_before(&ts, read_at))
			longest_ms =
				MIN(longest_ms, to_ms(read_at) - to_ms(&ts));
	}
	return (uint32_t)MIN(longest_ms, UINT32_MAX);
}

static void deliver_batch(struct datagrams *dg, unsigned int nr,
			  uint64_t now_ms, const struct timespec *read_at)
{
	for (unsigned int i = 0; i < nr && !dg->closing; i++) {
		struct endpoint from;

		endpoint_from_sockaddr(
			&from, (const struct sockaddr *)&dg->in_addr[i]);
		dg->age_ms = find_age_ms(dg, i, now_ms - dg->empty_ms, read_at);
		dg->fn(dg->in_data[i], dg->in[i].msg_len, &from, dg->user);
	}
}

static void reset_batch(struct datagrams *dg)
{
	for (int i = 0; i < DATAGRAM_BATCH; i++) {
		struct msghdr *hdr = &dg->in[i].msg_hdr;

		hdr->msg_namelen = sizeof(dg->in_addr[i]);
		hdr->msg_control = dg->in_control[i];
		hdr->msg_controllen = sizeof(dg->in_control[i]);
	}
}

void receive_datagrams(struct datagrams *dg)
{
	if (dg->receiving)
		return;
	dg->receiving = true;
	dg->was_read = true;
	for (int round = 0; round < DATAGRAM_BATCHES_MAX && !dg->closing;
	     round++) {
		uint64_t now_ms = read_clock_ms(CLOCK_BOOTTIME);
		struct timespec read_at;
		int n;

		reset_batch(dg);
		clock_gettime(CLOCK_REALTIME, &read_at);
		n = recvmmsg(dg->fd, dg->in, DATAGRAM_BATCH, MSG_DONTWAIT,
			     NULL);
		if (n > 0)
			deliver_batch(dg, (unsigned int)n, now_ms, &read_at);
		if (n < DATAGRAM_BATCH) {
			if (n >= 0 || errno == EAGAIN)
				dg->empty_ms = now_ms;
			break;
		}
	}
	dg->receiving = false;
	flush_datagrams(dg);
}

uint32_t datagram_age_ms(const struct datagrams *dg)
{
	return dg->age_ms;
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	if (status >= 0 && events & UV_READABLE)
		receive_datagrams(poll->data);
}

/* A socket that the loop did not find readable was empty when it began to wait. */
static void on_wait(uv_prepare_t *prepare)
{
	struct datagrams *dg = prepare->data;

	if (!dg->was_read)
		dg->empty_ms = dg->wait_began_ms;
	dg->was_read = false;
	dg->wait_began_ms = read_clock_ms(CLOCK_BOOTTIME);
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
	int on = 1;
	struct sockaddr_storage ss;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	endpoint_to_sockaddr(at, &ss);
	/* the default buffer overflows in bursts while other handlers run */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
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
	uv_prepare_init(loop, &dg->prepare);
	dg->prepare.data = dg;
	uv_prepare_start(&dg->prepare, on_wait);
	dg->open_handles = 2;
	dg->wait_began_ms = dg->empty_ms = read_clock_ms(CLOCK_BOOTTIME);
	return dg;
}

static void on_closed(uv_handle_t *handle)
{
	struct datagrams *dg = handle->data;

	if (--dg->open_handles)
		return;
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
	uv_close((uv_handle_t *)&dg->prepare, on_closed);
}

uint64_t unsent_datagram_count(const struct datagrams *dg)
{
	return dg->unsent_count;
}
