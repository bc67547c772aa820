#ifndef NET_PEERS_H
#define NET_PEERS_H

/*
 * Messages between instances over ZeroMQ. Each link has a bounded queue; a
 * message is dropped and counted when it is full. Delivery is not guaranteed:
 * the protocol on each channel must cope with loss.
 */

#include <uv.h>

#include "base/counters.h"
#include "base/endpoint.h"
#include "base/status.h"

#define PEER_MESSAGE_MAX (1280 * 1024) /* bytes; fits one store value */
#define PEER_LINKS_MAX 96	       /* outgoing connections */

enum peer_channel {
	PEER_FLEET,    /* membership, configuration, domains, health */
	PEER_REQUESTS, /* idempotency keys */
	PEER_FLOWS,    /* replicas of flow records */
	PEER_CHANNEL_NR
};

typedef void (*peer_message_fn)(const void *data, size_t len, void *user);

struct peers;

/* Listens at AT. NULL with ST filled if that fails. */
struct peers *create_peers(uv_loop_t *loop, const struct endpoint *at,
			   struct counters *counters, struct status *st);
/* Memory is freed when the loop runs next. */
void destroy_peers(struct peers *ps);

/* Sets FN, which gets the messages of channel C. */
void set_peer_handler(struct peers *ps, enum peer_channel c, peer_message_fn fn,
		      void *user);

/* Sends DATA to the instance that listens at TO. */
void send_peer(struct peers *ps, const struct endpoint *to, enum peer_channel c,
	       const void *data, size_t len);

/* Number of outgoing connections, at most PEER_LINKS_MAX. */
size_t peer_link_count(const struct peers *ps);

/*
 * Closes the connection to TO, which makes no progress; messages queued on it
 * are lost. The next message opens a new one.
 */
void reset_peer(struct peers *ps, const struct endpoint *to);

#endif
