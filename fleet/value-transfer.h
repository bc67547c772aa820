#ifndef FLEET_VALUE_TRANSFER_H
#define FLEET_VALUE_TRANSFER_H

/*
 * Transfer of one long value of the store between instances: a value that does
 * not fit in a store update is requested from a peer that has it, which sends
 * it compressed in several datagrams. Nothing is repeated: who misses a part
 * asks again, and in the end the store. No I/O.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/wire.h"
#include "config/store-position.h"

#define VALUE_PART_BYTES 1100
/* Longer values are read from the store. */
#define VALUE_PARTS_MAX 64
#define VALUE_BYTES_MAX 1048576 /* of the value itself */

/* A request for KEY with the value of AT, or a later one of its era. */
struct value_request {
	char key[256];
	struct store_position at;
};

void write_value_request(struct wire_writer *w, const struct value_request *r);
bool read_value_request(const void *data, size_t len, struct value_request *r);

/* Receives one datagram, which is valid during the call. */
typedef void (*send_part_fn)(const void *data, size_t len, void *user);

/*
 * Calls SEND for each datagram with a part of the LEN bytes of VALUE, which KEY
 * has since AT. False if the value is too long.
 */
bool send_value(const char *key, struct store_position at, const void *value,
		size_t len, send_part_fn send, void *user);

/* Collects the parts of one value; a part of another one starts it anew. */
struct value_receiver;

struct value_receiver *create_value_receiver(void);
void destroy_value_receiver(struct value_receiver *vr);

/* A value that was received as a whole. */
struct received_value {
	const char *key; /* valid until the next part is added */
	struct store_position at;
	GBytes *value; /* the caller unrefs it */
};

/*
 * Adds the part in DATA. RV->VALUE is NULL unless it completes the value. False
 * if the part, or the value that it completes, is malformed.
 */
bool add_value_part(struct value_receiver *vr, const void *data, size_t len,
		    struct received_value *rv);

#endif
