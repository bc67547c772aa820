#ifndef NET_PEERS_H
#define NET_PEERS_H

/*
 * Messages between instances over ZeroMQ, on bounded links: a message that
 * finds its link full is dropped and counted. Nothing is promised about
 * delivery; each channel's own protocol copes with loss.
 */

#include <uv.h>

#include "base/counters.h"
#include "base/endpoint.h"
#include "base/status.h"

#define PEER_MESSAGE_MAX (1280 * 1024) /* bytes; one store value fits */

enum peer_channel {
	PEER_FLEET,    /* membership, configuration, domains, health */
	PEER_REQUESTS, /* idempotency keys */
	PEER_FLOWS,    /* copies of remembered flows */
	PEER_CHANNEL_NR
};

typedef void (*peer_fn)(const void *data, size_t len, void *user);

struct peers;

/* Listens at AT. NULL with ST filled if that fails. */
struct peers *create_peers(uv_loop_t *loop, const struct endpoint *at,
			   struct counters *counters, struct status *st);
/* Memory goes when the loop has run. */
void destroy_peers(struct peers *ps);

/* Messages of channel C go to FN. */
void set_peer_handler(struct peers *ps, enum peer_channel c, peer_fn fn,
		      void *user);

/* Sends DATA to the instance that listens at TO. */
void send_peer(struct peers *ps, const struct endpoint *to, enum peer_channel c,
	       const void *data, size_t len);

/*
 * Closes the connection to TO, which made no progress; what waits on it is
 * lost. The next message opens another.
 */
void reset_peer(struct peers *ps, const struct endpoint *to);

#endif
