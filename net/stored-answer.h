#ifndef NET_STORED_ANSWER_H
#define NET_STORED_ANSWER_H

/*
 * Encoding of an answer to a request with an idempotency key, as replicas store
 * it to replay it: status code, content type and body.
 */

#include "base/wire.h"
#include "net/http-message.h"

/* Encodes M, whose body is complete. */
void encode_stored_answer(struct wire_writer *w, const struct http_message *m);

/* Decodes an answer; the caller frees it. NULL if DATA is malformed. */
struct http_message *decode_stored_answer(const void *data, size_t len);

#endif
