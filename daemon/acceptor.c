#include "daemon/acceptor.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/descriptors.h"

/* Connections taken before others are served. */
#define ACCEPTS_AT_ONCE 64

int acceptor_listen(const struct address *address, int backlog, int *port)
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

bool acceptor_open(struct acceptor *acceptor, const struct address *address,
		   int backlog)
{
	acceptor->fd = acceptor_listen(address, backlog, &acceptor->port);
	if (acceptor->fd < 0)
		return false;
	return !fcntl(acceptor->fd, F_SETFL, O_NONBLOCK);
}

void acceptor_set_buffers(const struct acceptor *acceptor, int bytes)
{
	/* Connections inherit them from the listening socket. */
	setsockopt(acceptor->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(acceptor->fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

void acceptor_close(struct acceptor *acceptor)
{
	if (acceptor->fd >= 0)
		close(acceptor->fd);
	acceptor->fd = -1;
}

static enum acceptor_result result_of(int error)
{
	if (descriptors_are_short(error))
		return ACCEPTOR_SHORT;
	switch (error) {
	case EAGAIN:
		return ACCEPTOR_EMPTY;
	case EBADF:
	case EINVAL:
	case ENOTSOCK:
	case EOPNOTSUPP:
	case EFAULT:
		return ACCEPTOR_FAILED;
	default:
		/* Errors of the connection's network are told here too. */
		return ACCEPTOR_LOST;
	}
}

bool acceptor_waits(const struct acceptor *acceptor)
{
	struct pollfd waiting = { .fd = acceptor->fd, .events = POLLIN };

	return poll(&waiting, 1, 0) > 0;
}

enum acceptor_result acceptor_take(struct acceptor *acceptor, int *fd)
{
	enum acceptor_result result;
	int error;

	*fd = accept4(acceptor->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	if (*fd >= 0) {
		atomic_fetch_add(&acceptor->taken, 1);
		return ACCEPTOR_TAKEN;
	}
	error = errno;
	result = result_of(error);
	/* The system looks for a descriptor before it looks into the queue. */
	if (result == ACCEPTOR_EMPTY ||
	    (result == ACCEPTOR_SHORT && !acceptor_waits(acceptor)))
		return ACCEPTOR_EMPTY;
	atomic_store(&acceptor->error, error);
	atomic_fetch_add(&acceptor->failed, 1);
	return result;
}

bool acceptor_take_some(struct acceptor *acceptor,
			const struct acceptor_hooks *hooks, void *data)
{
	int fd;
	int i;

	for (i = 0; i < ACCEPTS_AT_ONCE && hooks->has_room(data); i++) {
		switch (acceptor_take(acceptor, &fd)) {
		case ACCEPTOR_TAKEN:
			hooks->taken(data, fd);
			break;
		case ACCEPTOR_EMPTY:
			return true;
		case ACCEPTOR_LOST:
			break;
		case ACCEPTOR_SHORT:
			if (!hooks->make_room(data))
				return false;
			break;
		case ACCEPTOR_FAILED:
			return false;
		}
	}
	return true;
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
