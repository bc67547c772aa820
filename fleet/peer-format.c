#include "fleet/peer-format.h"

bool has_peer_format(const uint8_t *data, size_t len, enum peer_format format)
{
	/* a MessagePack array header takes one, three or five bytes */
	size_t head = !len ? 0 : data[0] == 0xdc ? 3 : data[0] == 0xdd ? 5 : 1;

	return len > head && data[head] == format;
}
