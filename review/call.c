/*
 * call ADDRESS:PORT METHOD TARGET [BODY]: one HTTP call, as the operator of the
 * platform makes it. Prints the answer; exits with 0 if it was 200.
 */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

int main(int argc, char **argv)
{
	struct timeval limit = { .tv_sec = 2 };
	struct sockaddr_in sa = { .sin_family = AF_INET };
	const char *body = argc > 4 ? argv[4] : "";
	size_t size = strlen(body) + 512;
	char *text = malloc(size);
	char answer[65536];
	size_t got = 0;
	char *colon;
	ssize_t n;
	int fd;

	if (argc < 4 || !(colon = strchr(argv[1], ':')))
		return 2;
	*colon = '\0';
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, argv[1], &sa.sin_addr) != 1)
		return 2;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
		return 1;
	n = snprintf(text, size,
		     "%s %s HTTP/1.1\r\nHost: store\r\nContent-Type: "
		     "application/json\r\nContent-Length: %zu\r\n"
		     "Connection: close\r\n\r\n%s",
		     argv[2], argv[3], strlen(body), body);
	if (send(fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		return 1;
	while (got < sizeof(answer) - 1 &&
	       (n = recv(fd, answer + got, sizeof(answer) - 1 - got, 0)) > 0)
		got += (size_t)n;
	answer[got] = '\0';
	puts(answer);
	return strncmp(answer, "HTTP/1.1 200", 12) != 0;
}
