#ifndef FLOW_FLOW_KEY_H
#define FLOW_FLOW_KEY_H

/* Identifies a flow, as a key of GHashTable. */

#include <glib.h>
#include <stdint.h>

/* IPv4 addresses and ports in host order. */
struct flow_key {
	uint32_t caller_ip;
	uint32_t service_ip;
	uint16_t caller_port;
	uint16_t service_port;
};

guint hash_flow_key(gconstpointer key);
gboolean flow_keys_equal(gconstpointer a, gconstpointer b);

#endif
