#ifndef NET_DATAGRAMS_H
#define NET_DATAGRAMS_H

/*
 * A UDP socket that receives and sends datagrams in batches, with one system
 * call for each batch. Queued datagrams are sent after each event that the
 * socket is readable, when the queue is full, and by flush_datagrams().
 *
 * Datagrams may have waited unread while this process did not run. Their age
 * comes from the time of receipt that the system gives for each; where it gives
 * none, it is taken to be the time since the socket was last found empty.
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"

#define DATAGRAM_MAX 2048      /* bytes; a packet has at most 1,240 */
#define DATAGRAM_BATCH 32      /* datagrams in one system call */
#define DATAGRAM_BATCHES_MAX 4 /* received before other handlers run */
#define DATAGRAM_SOCKET_BYTES (2 * 1024 * 1024) /* kernel buffers */

struct datagrams;

/* Gets a datagram of LEN bytes; FN may modify DATA. */
typedef void (*datagram_fn)(uint8_t *data, size_t len,
			    const struct endpoint *from, void *user);

/* Listens at AT (IPv4). NULL with ST filled if that fails. */
struct datagrams *create_datagrams(uv_loop_t *loop, const struct endpoint *at,
				   datagram_fn fn, void *user,
				   struct status *st);
/* Memory is freed when the loop runs next. */
void destroy_datagrams(struct datagrams *dg);

/*
 * Queues a datagram of HEADER and DATA to IP (IPv4) and PORT, both in host
 * order. One longer than DATAGRAM_MAX is dropped.
 */
void queue_datagram(struct datagrams *dg, uint32_t ip, uint16_t port,
		    const void *header, size_t header_len, const void *data,
		    size_t len);

void flush_datagrams(struct datagrams *dg);

/* Delivers what waits unread, before the loop finds the socket readable. */
void receive_datagrams(struct datagrams *dg);

/*
 * The longest time, in ms, that the datagram now being delivered can have
 * waited unread. Valid during a call of the datagram_fn only.
 */
uint32_t datagram_age_ms(const struct datagrams *dg);

/* Number of datagrams that the kernel refused to send. */
uint64_t unsent_datagram_count(const struct datagrams *dg);

/* The IPv4 address of EP in host order. */
uint32_t endpoint_ipv4(const struct endpoint *ep);

#endif
