#ifndef FILBERTHALL_BASE_ADDRESS_H
#define FILBERTHALL_BASE_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** Addresses are written IP:port, an IPv6 one as [IP]:port; never names. */
struct address {
	struct sockaddr_storage storage;
	socklen_t len;
};

/** Read an address; false if the text isn't one. Port 0 is allowed. */
bool address_parse(struct address *address, const char *text);

/**
 * Where others reach a listener at that address and port, as text to be freed;
 * NULL if the address doesn't say, as it is a wildcard.
 */
char *address_reached(const char *listen, int port);

/** The IP without brackets, as text to be freed. */
char *address_host(const struct address *address);

int address_port(const struct address *address);

/** Whether it names one host and a port, so that it can be connected to. */
bool address_is_unicast(const struct address *address);

#endif
