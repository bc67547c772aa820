#include "base/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum status_kind parse_address(const char *text, struct endpoint *ep,
			       struct status *st)
{
	memset(ep, 0, sizeof(*ep));
	if (inet_pton(AF_INET, text, ep->ip) == 1)
		ep->family = 4;
	else if (inet_pton(AF_INET6, text, ep->ip) == 1)
		ep->family = 6;
	else
		return set_status(st, STATUS_INVALID,
				  "'%s' is not a numeric IP address", text);
	return STATUS_OK;
}

static enum status_kind parse_port(const char *text, uint16_t *port,
				   struct status *st)
{
	char *end;
	unsigned long n = strtoul(text, &end, 10);

	if (*text < '0' || *text > '9' || *end || n < 1 || n > UINT16_MAX)
		return set_status(st, STATUS_INVALID,
				  "port '%s' is not in 1..65535", text);
	*port = (uint16_t)n;
	return STATUS_OK;
}

enum status_kind parse_endpoint(const char *text, struct endpoint *ep,
				struct status *st)
{
	char host[ENDPOINT_TEXT_MAX];
	const char *colon = strrchr(text, ':');
	size_t len = colon ? (size_t)(colon - text) : 0;
	uint16_t port = 0;

	if (!colon || !len || len >= sizeof(host))
		return set_status(st, STATUS_INVALID,
				  "'%s' is not ADDRESS:PORT", text);
	if (*text == '[' && colon[-1] == ']' && len > 2) {
		memcpy(host, text + 1, len - 2);
		host[len - 2] = '\0';
	} else {
		memcpy(host, text, len);
		host[len] = '\0';
		if (strchr(host, ':'))
			return set_status(st, STATUS_INVALID,
					  "write IPv6 as [ADDRESS]:PORT, "
					  "not '%s'",
					  text);
	}
	if (parse_port(colon + 1, &port, st) != STATUS_OK ||
	    parse_address(host, ep, st) != STATUS_OK)
		return STATUS_INVALID;
	ep->port = port;
	return STATUS_OK;
}

const char *format_address(const struct endpoint *ep,
			   char buf[ENDPOINT_TEXT_MAX])
{
	int af = ep->family == 6 ? AF_INET6 : AF_INET;

	if (!inet_ntop(af, ep->ip, buf, ENDPOINT_TEXT_MAX))
		buf[0] = '\0';
	return buf;
}

const char *format_endpoint(const struct endpoint *ep,
			    char buf[ENDPOINT_TEXT_MAX])
{
	char host[ENDPOINT_TEXT_MAX];

	format_address(ep, host);
	snprintf(buf, ENDPOINT_TEXT_MAX,
		 ep->family == 6 ? "[%.48s]:%u" : "%.48s:%u", host, ep->port);
	return buf;
}

void endpoint_to_sockaddr(const struct endpoint *ep,
			  struct sockaddr_storage *ss)
{
	struct sockaddr_in *sin = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *sin6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	if (ep->family == 6) {
		sin6->sin6_family = AF_INET6;
		sin6->sin6_port = htons(ep->port);
		memcpy(&sin6->sin6_addr, ep->ip, 16);
	} else {
		sin->sin_family = AF_INET;
		sin->sin_port = htons(ep->port);
		memcpy(&sin->sin_addr, ep->ip, 4);
	}
}

void endpoint_from_sockaddr(struct endpoint *ep, const struct sockaddr *sa)
{
	const struct sockaddr_in *sin = (const struct sockaddr_in *)sa;
	const struct sockaddr_in6 *sin6 = (const struct sockaddr_in6 *)sa;

	memset(ep, 0, sizeof(*ep));
	if (sa->sa_family == AF_INET) {
		ep->family = 4;
		ep->port = ntohs(sin->sin_port);
		memcpy(ep->ip, &sin->sin_addr, 4);
	} else if (sa->sa_family == AF_INET6) {
		ep->family = 6;
		ep->port = ntohs(sin6->sin6_port);
		memcpy(ep->ip, &sin6->sin6_addr, 16);
	}
}

bool same_endpoint(const struct endpoint *a, const struct endpoint *b)
{
	return a->family == b->family && a->port == b->port &&
	       !memcmp(a->ip, b->ip, sizeof(a->ip));
}
