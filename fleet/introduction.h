#ifndef FLEET_INTRODUCTION_H
#define FLEET_INTRODUCTION_H

/*
 * How an instance that starts finds its peers without the store: it asks the
 * seeds of its settings which members they know. When a whole fleet starts at
 * once, the instances write their entries to the store no faster than its limit
 * allows; until they know each other each of them reads the store itself, and
 * that exceeds the limit of reads. Of two instances that ask the same seed, the
 * later one gets the address of the earlier one, which learns of the later one
 * by its heartbeat. Times are in ms of a monotonic clock. No I/O.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/endpoint.h"
#include "base/wire.h"
#include "fleet/view.h"

#define INTRODUCTION_RETRY_MS 100 /* between requests to a silent seed */
#define INTRODUCTION_SPAN_MS 3000 /* seeds that start later are not asked */
/* Addresses in one datagram, and datagrams in one answer. */
#define INTRODUCTION_ADDRESSES 120
#define INTRODUCTION_DATAGRAMS 6

struct introduction;

struct introduction *create_introduction(uint64_t now_ms);
void destroy_introduction(struct introduction *in);

/* Adds SEED to those that are asked. */
void add_introduction_seed(struct introduction *in,
			   const struct endpoint *seed);

/* Appends to TO (of struct endpoint) the seeds that are to be asked now. */
void tick_introduction(struct introduction *in, uint64_t now_ms, GArray *to);

/* FROM has answered. */
void note_introduction_answer(struct introduction *in,
			      const struct endpoint *from);

void write_introduction_request(struct wire_writer *w);

/* Receives one datagram, which is valid during the call. */
typedef void (*send_introduction_fn)(const void *data, size_t len, void *user);

/*
 * Calls SEND for each datagram of the answer to a request from TO: the
 * addresses of the live members of V other than TO, those of V's own instance
 * included. Members beyond INTRODUCTION_DATAGRAMS are left out; instances find
 * them by their entries in the store.
 */
void write_introduction(const struct view *v, const struct endpoint *to,
			send_introduction_fn send, void *user);

/* Appends the addresses in DATA to ADDRESSES; none and false if malformed. */
bool read_introduction(const void *data, size_t len, GArray *addresses);

#endif
