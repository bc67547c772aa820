/*
 * raw ADDRESS:PORT: sends standard input unchanged over TCP and prints the
 * answer until the peer closes the connection.
 */

#include <stdio.h>
#include <unistd.h>

#include "base/endpoint.h"

int main(int argc, char **argv)
{
	struct sockaddr_storage ss;
	struct endpoint ep;
	char buf[4096];
	ssize_t n;
	int fd;

	if (argc != 2 || parse_endpoint(argv[1], &ep, NULL) != STATUS_OK)
		return 2;
	endpoint_to_sockaddr(&ep, &ss);
	fd = socket(ss.ss_family, SOCK_STREAM, 0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&ss, sizeof(ss)) < 0)
		return 1;
	while ((n = read(0, buf, sizeof(buf))) > 0)
		if (write(fd, buf, (size_t)n) < 0)
			return 1;
	while ((n = read(fd, buf, sizeof(buf))) > 0)
		fwrite(buf, 1, (size_t)n, stdout);
	close(fd);
	return 0;
}
