#include "base/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

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

static bool is_unicast_ipv4(uint32_t ip)
{
	return ip >> 24 != 0 && ip >> 28 < 0xe;
}

bool address_is_unicast(const struct address *address)
{
	const struct sockaddr_storage *storage = &address->storage;
	const struct in6_addr *ip;

	if (!address_port(address))
		return false;
	if (storage->ss_family == AF_INET)
		return is_unicast_ipv4(
			ntohl(((const struct sockaddr_in *)storage)
				      ->sin_addr.s_addr));
	ip = &((const struct sockaddr_in6 *)storage)->sin6_addr;
	return !IN6_IS_ADDR_UNSPECIFIED(ip) && !IN6_IS_ADDR_MULTICAST(ip);
}
