#ifndef BASE_WIRE_H
#define BASE_WIRE_H

/*
 * Typed reading and writing of MessagePack, the encoding of all values that our
 * processes store or send to each other. A reader iterates over one array. An
 * element that is missing or of a wrong type sets MALFORMED, which is never
 * cleared, so that a decoder need check it only once, at the end.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"

struct wire_writer {
	msgpack_sbuffer buf; /* output: buf.data of buf.size bytes */
	msgpack_packer packer;
};

void init_wire_writer(struct wire_writer *w);
void release_wire_writer(struct wire_writer *w);

/* Starts an array; the next N elements that are written belong to it. */
void write_array(struct wire_writer *w, size_t n);
void write_uint(struct wire_writer *w, uint64_t v);
void write_bool(struct wire_writer *w, bool v);
void write_str(struct wire_writer *w, const char *s);
void write_bin(struct wire_writer *w, const void *data, size_t len);
void write_endpoint(struct wire_writer *w, const struct endpoint *ep);

struct wire_reader {
	const msgpack_object *next; /* next element */
	size_t remaining;	    /* elements not yet read */
	bool malformed;		    /* an element was malformed or missing */
};

/* Owns the memory that the readers of one decoded message point to. */
struct wire_message {
	msgpack_unpacked unpacked;
};

/*
 * Decodes LEN bytes, whose outermost value is an array, and sets R to its first
 * element. False on malformed input; MSG must be released in either case.
 */
bool open_wire_message(struct wire_message *msg, struct wire_reader *r,
		       const void *data, size_t len);
void release_wire_message(struct wire_message *msg);

/* Reads an integer; one above MAX is malformed. Returns 0 when malformed. */
uint64_t read_uint(struct wire_reader *r, uint64_t max);
bool read_bool(struct wire_reader *r);

/*
 * Copies a string and a final NUL to BUF, of SIZE bytes. A string that is too
 * long or contains NUL bytes is malformed; BUF is then empty.
 */
void read_str(struct wire_reader *r, char *buf, size_t size);

/* Sets *DATA to binary data, valid as long as the message; returns its size. */
size_t read_bin(struct wire_reader *r, const void **data);
void read_endpoint(struct wire_reader *r, struct endpoint *ep);

/* Sets SUB to an inner array and returns its number of elements. */
size_t read_array(struct wire_reader *r, struct wire_reader *sub);

#endif
