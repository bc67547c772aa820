#ifndef NET_HTTP_MESSAGE_H
#define NET_HTTP_MESSAGE_H

/* An HTTP/1.1 message in memory, and its parsing by the http_parser library. */

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#define HTTP_HEADER_LINES_MAX 64  /* header lines of one message */
#define HTTP_HEAD_MAX_BYTES 16384 /* bytes of names, values and target */

struct http_header {
	char *name;
	char *value;
};

struct http_message {
	unsigned int method; /* of a request; enum http_method */
	unsigned int code;   /* HTTP status of an answer */
	char *target;	     /* of a request: path and query */
	GArray *headers;     /* of struct http_header */
	GByteArray *body;
	uint64_t length; /* announced bytes of body, or HTTP_LENGTH_UNKNOWN */
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

#define HTTP_LENGTH_UNKNOWN UINT64_MAX /* chunked, or ended by a close */

/*
 * Appends the head of M, to be followed by a body of LENGTH bytes, or in chunks
 * if LENGTH is HTTP_LENGTH_UNKNOWN. NO_BODY: an answer to HEAD or with code 204
 * or 304, which has no body; a Content-Length among M's headers is then kept.
 */
void write_request_head(const struct http_message *m, const char *host,
			uint64_t length, GByteArray *out);
void write_answer_head(const struct http_message *m, uint64_t length,
		       bool no_body, GByteArray *out);

/* Appends one chunk of a chunked body, or the end of that body. */
void write_http_chunk(const void *data, size_t len, GByteArray *out);
void write_last_chunk(GByteArray *out);

/* Appends the complete message M with its Content-Length. */
void write_http_request(const struct http_message *m, const char *host,
			GByteArray *out);
void write_http_answer(const struct http_message *m, GByteArray *out);

/* Parses a stream of bytes into one message after the other. */
struct http_reader;

enum http_reader_kind { HTTP_READ_REQUESTS, HTTP_READ_ANSWERS };

/* Messages with a body over MAX_BODY bytes are an error. */
struct http_reader *create_http_reader(enum http_reader_kind kind,
				       size_t max_body);
void destroy_http_reader(struct http_reader *r);

/*
 * Feeds LEN bytes and calls ON_MESSAGE, which takes ownership, for each
 * complete message. Returns 0 or the HTTP code of the error: 400 malformed,
 * 413 body too large, 431 head too large.
 */
unsigned int feed_http(struct http_reader *r, const char *data, size_t len,
		       void (*on_message)(struct http_message *m, void *user),
		       void *user);

/* Called for each part of a message as it is parsed. */
struct http_part_callbacks {
	/* The head is complete; M is freed when the next message begins. */
	void (*on_head)(struct http_message *m, void *user);
	void (*on_body)(const char *data, size_t len, void *user);
	void (*on_end)(void *user);
};

/*
 * Feeds bytes and reports parts instead of complete messages. Stops after the
 * end of each message and sets USED to the number of bytes consumed. Returns 0
 * or an HTTP code, as feed_http().
 */
unsigned int feed_http_parts(struct http_reader *r, const char *data,
			     size_t len, size_t *used,
			     const struct http_part_callbacks *parts,
			     void *user);

/* Sets whether the next answer has a body; the answer to HEAD has none. */
void set_answer_has_body(struct http_reader *r, bool body);

/* True between the first byte of a message and its end. */
bool is_inside_message(const struct http_reader *r);

/*
 * Reports that the peer closed the connection, which ends an answer without
 * Content-Length and chunks. Returns 0 or an HTTP code, as feed_http().
 */
unsigned int feed_http_eof(struct http_reader *r,
			   void (*on_message)(struct http_message *m,
					      void *user),
			   void *user);

#endif
