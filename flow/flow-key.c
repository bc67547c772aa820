#include "flow/flow-key.h"

#include <string.h>
#include <xxhash.h>

guint hash_flow_key(gconstpointer key)
{
	return (guint)XXH3_64bits(key, sizeof(struct flow_key));
}

gboolean flow_keys_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}
