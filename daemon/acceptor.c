#include "daemon/acceptor.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

bool acceptor_open(struct acceptor *acceptor, const struct address *address,
		   int backlog)
{
	acceptor->fd = address_listen(address, backlog, &acceptor->port);
	return acceptor->fd >= 0;
}

void acceptor_close(struct acceptor *acceptor)
{
	if (acceptor->fd >= 0)
		close(acceptor->fd);
	acceptor->fd = -1;
}

int acceptor_take(struct acceptor *acceptor)
{
	int fd =
		accept4(acceptor->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (fd >= 0) {
		atomic_fetch_add(&acceptor->taken, 1);
	} else if (errno != EAGAIN && errno != EWOULDBLOCK) {
		atomic_store(&acceptor->error, errno);
		atomic_fetch_add(&acceptor->failed, 1);
	}
	return fd;
}

/* Of a listening socket, "unacked" is the length of its queue. */
static int queued(const struct acceptor *acceptor)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(acceptor->fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    info.tcpi_state != TCP_LISTEN)
		return -1;
	return (int)info.tcpi_unacked;
}

struct acceptor_view acceptor_view(const struct acceptor *acceptor)
{
	struct acceptor_view view = {
		.taken = atomic_load(&acceptor->taken),
		.failed = atomic_load(&acceptor->failed),
		.error = atomic_load(&acceptor->error),
		.queued = queued(acceptor),
	};

	return view;
}
