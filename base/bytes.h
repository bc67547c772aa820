#ifndef BASE_BYTES_H
#define BASE_BYTES_H

/* Reads and writes big-endian integers; the address may be unaligned. */

#include <stdint.h>

static inline uint16_t get_be16(const uint8_t *at)
{
	return (uint16_t)(at[0] << 8 | at[1]);
}

static inline uint32_t get_be32(const uint8_t *at)
{
	return (uint32_t)get_be16(at) << 16 | get_be16(at + 2);
}

static inline void set_be16(uint8_t *at, uint16_t v)
{
	at[0] = (uint8_t)(v >> 8);
	at[1] = (uint8_t)v;
}

static inline void set_be32(uint8_t *at, uint32_t v)
{
	set_be16(at, (uint16_t)(v >> 16));
	set_be16(at + 2, (uint16_t)v);
}

#endif
