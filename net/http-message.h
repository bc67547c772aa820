#ifndef NET_HTTP_MESSAGE_H
#define NET_HTTP_MESSAGE_H

/*
 * One HTTP/1.1 message in memory, and its parsing by the http_parser library.
 */

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#define HTTP_HEADERS_MAX 64 /* header lines of one message */
#define HTTP_HEAD_MAX 16384 /* bytes of names, values and target */

struct http_header {
	char *name;
	char *value;
};

struct http_message {
	unsigned int method; /* of a request; enum http_method */
	unsigned int code;   /* of an answer */
	char *target;	     /* of a request: path and query */
	GArray *headers;     /* of struct http_header */
	GByteArray *body;
	uint64_t length; /* of the body as announced; HTTP_LENGTH_UNKNOWN */
	bool keep_alive;
};

struct http_message *create_http_message(void);
void destroy_http_message(struct http_message *m);

/* The value of the first header called NAME, or NULL. */
const char *find_http_header(const struct http_message *m, const char *name);
void add_http_header(struct http_message *m, const char *name,
		     const char *value);
void remove_http_header(struct http_message *m, const char *name);
void set_http_body(struct http_message *m, const char *text);

#define HTTP_LENGTH_UNKNOWN UINT64_MAX /* the body is sent in chunks */

/*
 * Appends the head of M for a body of LENGTH bytes that follows. An answer to
 * HEAD and the codes 204 and 304 have no body; NO_BODY then keeps the length
 * that M's own headers state.
 */
void write_request_head(const struct http_message *m, const char *host,
			uint64_t length, GByteArray *out);
void write_answer_head(const struct http_message *m, uint64_t length,
		       bool no_body, GByteArray *out);

/* Appends part of a body; chunks have a length of their own. */
void write_http_chunk(const void *data, size_t len, GByteArray *out);
void write_last_chunk(GByteArray *out);

/* Appends M as it goes over the wire, with a correct Content-Length. */
void write_http_request(const struct http_message *m, const char *host,
			GByteArray *out);
void write_http_answer(const struct http_message *m, GByteArray *out);

/*
 * Feeds bytes to a parser that fills one message after the other.
 */
struct http_reader;

enum http_reader_kind { HTTP_READ_REQUESTS, HTTP_READ_ANSWERS };

/* Messages with a body over MAX_BODY bytes are an error. */
struct http_reader *create_http_reader(enum http_reader_kind kind,
				       size_t max_body);
void destroy_http_reader(struct http_reader *r);

/*
 * Feeds LEN bytes. Calls ON_MESSAGE for each whole message, which it then
 * owns. Returns 0, or the HTTP code that describes what is wrong: 400
 * malformed, 413 body too large, 431 head too large.
 */
unsigned int feed_http(struct http_reader *r, const char *data, size_t len,
		       void (*on_message)(struct http_message *m, void *user),
		       void *user);

/* What a reader finds, part by part. */
struct http_parts {
	/* The head is there; M stays the reader's until the message ends. */
	void (*on_head)(struct http_message *m, void *user);
	void (*on_body)(const char *data, size_t len, void *user);
	void (*on_end)(void *user);
};

/*
 * Feeds bytes and reports parts instead of whole messages. Stops after the end
 * of each message; USED tells how many bytes were taken. Returns as
 * feed_http() does.
 */
unsigned int feed_http_parts(struct http_reader *r, const char *data,
			     size_t len, size_t *used,
			     const struct http_parts *parts, void *user);

/* Whether the next answer has a body: not if it is to a HEAD request. */
void expect_body(struct http_reader *r, bool body);

/* True between the first byte of a message and its end. */
bool is_inside_message(const struct http_reader *r);

/* The other side closed; ends an answer that has no length of its own. */
unsigned int end_http(struct http_reader *r,
		      void (*on_message)(struct http_message *m, void *user),
		      void *user);

#endif
