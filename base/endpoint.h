#ifndef BASE_ENDPOINT_H
#define BASE_ENDPOINT_H

/* A numeric IP address and a port; host names are never resolved. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "base/status.h"

#define ENDPOINT_TEXT_MAX 64 /* bytes of "[ipv6]:port", with the NUL */

struct endpoint {
	uint8_t family; /* 4 or 6; 0 means unset */
	uint8_t ip[16]; /* network order; the first 4 bytes for family 4 */
	uint16_t port;	/* host order */
};

/*
 * Parses "192.0.2.1:80" or "[2001:db8::1]:80". Returns STATUS_INVALID, with
 * the reason in ST, for anything else.
 */
enum status_kind parse_endpoint(const char *text, struct endpoint *ep,
				struct status *st);

/* Parses an address without a port; the port becomes 0. */
enum status_kind parse_address(const char *text, struct endpoint *ep,
			       struct status *st);

/* Writes EP as text into BUF and returns BUF. */
const char *format_endpoint(const struct endpoint *ep,
			    char buf[ENDPOINT_TEXT_MAX]);

/* Writes EP's address alone, no port, into BUF and returns BUF. */
const char *format_address(const struct endpoint *ep,
			   char buf[ENDPOINT_TEXT_MAX]);

/* Converts EP to the address type of socket calls. */
void endpoint_to_sockaddr(const struct endpoint *ep,
			  struct sockaddr_storage *ss);

/* Converts an AF_INET or AF_INET6 address; for others, sets family 0. */
void endpoint_from_sockaddr(struct endpoint *ep, const struct sockaddr *sa);

/* True if A and B have the same family, address and port. */
bool same_endpoint(const struct endpoint *a, const struct endpoint *b);

#endif
