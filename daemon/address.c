#include "daemon/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

#define PORT_MAX 65535

static bool parse_port(const char *text, int *port)
{
	char *end;
	long value;

	if (*text < '0' || *text > '9')
		return false;
	value = strtol(text, &end, 10);
	*port = (int)value;
	return !*end && value <= PORT_MAX;
}

static bool parse_ipv4(struct address *address, const char *host, int port)
{
	struct sockaddr_in *in = (struct sockaddr_in *)&address->storage;

	in->sin_family = AF_INET;
	in->sin_port = htons((uint16_t)port);
	address->len = sizeof(*in);
	return inet_pton(AF_INET, host, &in->sin_addr) == 1;
}

static bool parse_ipv6(struct address *address, const char *host, int port)
{
	struct sockaddr_in6 *in = (struct sockaddr_in6 *)&address->storage;

	in->sin6_family = AF_INET6;
	in->sin6_port = htons((uint16_t)port);
	address->len = sizeof(*in);
	return inet_pton(AF_INET6, host, &in->sin6_addr) == 1;
}

bool address_parse(struct address *address, const char *text)
{
	const char *colon = strrchr(text, ':');
	cleanup(free_ptr) char *host = NULL;
	int port;

	memset(address, 0, sizeof(*address));
	if (!colon || colon == text || !parse_port(colon + 1, &port))
		return false;
	if (*text == '[' && colon[-1] == ']') {
		host = xmemdup(text + 1, colon - text - 2);
		return parse_ipv6(address, host, port);
	}
	host = xmemdup(text, colon - text);
	return parse_ipv4(address, host, port);
}

char *address_host(const struct address *address)
{
	const struct sockaddr_storage *storage = &address->storage;
	char text[INET6_ADDRSTRLEN];

	if (storage->ss_family == AF_INET)
		inet_ntop(AF_INET,
			  &((const struct sockaddr_in *)storage)->sin_addr,
			  text, sizeof(text));
	else
		inet_ntop(AF_INET6,
			  &((const struct sockaddr_in6 *)storage)->sin6_addr,
			  text, sizeof(text));
	return xstrdup(text);
}

int address_port(const struct address *address)
{
	const struct sockaddr_storage *storage = &address->storage;

	if (storage->ss_family == AF_INET)
		return ntohs(((const struct sockaddr_in *)storage)->sin_port);
	return ntohs(((const struct sockaddr_in6 *)storage)->sin6_port);
}

char *address_reached(const char *listen, int port)
{
	struct address address;
	char *host;
	char *text = NULL;

	if (!address_parse(&address, listen))
		return NULL;
	host = address_host(&address);
	if (strcmp(host, "0.0.0.0") != 0 && strcmp(host, "::") != 0)
		text = xstrfmt(strchr(host, ':') ? "[%s]:%d" : "%s:%d", host,
			       port);
	free(host);
	return text;
}

int address_listen(const struct address *address, int backlog, int *port)
{
	struct address bound = { .len = sizeof(bound.storage) };
	int one = 1;
	int saved;
	int fd;

	fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)&address->storage,
		 address->len) ||
	    listen(fd, backlog) ||
	    getsockname(fd, (struct sockaddr *)&bound.storage, &bound.len)) {
		saved = errno;
		close(fd);
		errno = saved;
		return -1;
	}
	*port = address_port(&bound);
	return fd;
}
