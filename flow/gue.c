#include "flow/gue.h"

#define PROTOCOL_IPV4 4 /* IP protocol numbers of the inner packet */
#define PROTOCOL_IPV6 41

const uint8_t *read_gue(const uint8_t *data, size_t len, size_t *inner_len)
{
	uint8_t version;

	if (len <= GUE_HEADER_LEN || data[0] || data[2] || data[3])
		return NULL;
	version = data[GUE_HEADER_LEN] >> 4;
	if (!(data[1] == PROTOCOL_IPV4 && version == 4) &&
	    !(data[1] == PROTOCOL_IPV6 && version == 6))
		return NULL;
	*inner_len = len - GUE_HEADER_LEN;
	return data + GUE_HEADER_LEN;
}

void write_gue_header(uint8_t header[GUE_HEADER_LEN], uint8_t first)
{
	header[0] = 0;
	header[1] = first >> 4 == 6 ? PROTOCOL_IPV6 : PROTOCOL_IPV4;
	header[2] = 0;
	header[3] = 0;
}
