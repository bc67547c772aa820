#ifndef NET_DATAGRAMS_H
#define NET_DATAGRAMS_H

/*
 * A UDP socket that takes and sends datagrams in batches, a system call for
 * many. What is queued to be sent leaves at the end of each batch received,
 * when the queue is full, and on flush_datagrams().
 */

#include <uv.h>

#include "base/endpoint.h"
#include "base/status.h"

#define DATAGRAM_MAX 2048 /* bytes; a packet has at most 1,240 */
#define DATAGRAM_BATCH 32 /* datagrams in one system call */
#define DATAGRAM_ROUNDS 4 /* batches taken before others get the loop */
#define DATAGRAM_BUFFER (2 * 1024 * 1024) /* bytes; asked of the kernel */

struct datagrams;

/* DATA may be changed. */
typedef void (*datagram_fn)(uint8_t *data, size_t len,
			    const struct endpoint *from, void *user);

/* Listens at AT (IPv4). NULL with ST filled if that fails. */
struct datagrams *create_datagrams(uv_loop_t *loop, const struct endpoint *at,
				   datagram_fn fn, void *user,
				   struct status *st);
/* Memory goes when the loop has run. */
void destroy_datagrams(struct datagrams *dg);

/* Queues HEADER and then DATA to the IPv4 address IP and PORT (host order). */
void queue_datagram(struct datagrams *dg, uint32_t ip, uint16_t port,
		    const void *header, size_t header_len, const void *data,
		    size_t len);

void flush_datagrams(struct datagrams *dg);

/* Datagrams that the kernel did not take. */
uint64_t datagrams_unsent(const struct datagrams *dg);

/* IP of EP, IPv4, in host order. */
uint32_t endpoint_ipv4(const struct endpoint *ep);

#endif
