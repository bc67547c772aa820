#ifndef NET_KEPT_ANSWER_H
#define NET_KEPT_ANSWER_H

/*
 * How an answer to a keyed request is encoded for the instance that keeps it:
 * its code, its content type and its body.
 */

#include "base/wire.h"
#include "net/http-message.h"

/* Encodes ANSWER, whose body is whole. */
void encode_kept_answer(struct wire_writer *w, const struct http_message *m);

/* The answer behind DATA; NULL if it is malformed. */
struct http_message *decode_kept_answer(const void *data, size_t len);

#endif
