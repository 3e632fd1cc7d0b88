#ifndef FILBERTHALL_DAEMON_ACCEPTOR_H
#define FILBERTHALL_DAEMON_ACCEPTOR_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"

/**
 * A listening socket and what became of the connections that came in there.
 * The counts may be read from any thread.
 */
struct acceptor {
	int fd;
	int port; /**< as bound */
	atomic_int_fast64_t taken;
	atomic_int_fast64_t failed;
	atomic_int error; /**< errno of the last failure, 0 for none */
};

/** What an acceptor has counted. */
struct acceptor_view {
	int64_t taken;
	int64_t failed;
	int error;
	int queued; /**< that wait in the listen queue; -1 if unknown */
};

/**
 * A listening socket, close-on-exec.
 *
 * `*port` is the port really bound. Returns -1 with errno set on failure.
 */
int acceptor_listen(const struct address *address, int backlog, int *port);

/** Listen, without ever waiting in acceptor_take(); false with errno set. */
bool acceptor_open(struct acceptor *acceptor, const struct address *address,
		   int backlog);

/** Bound what the system buffers each way of connections taken from now on. */
void acceptor_set_buffers(const struct acceptor *acceptor, int bytes);

void acceptor_close(struct acceptor *acceptor);

enum acceptor_result {
	ACCEPTOR_TAKEN,
	ACCEPTOR_EMPTY, /**< none waits */
	ACCEPTOR_LOST,	/**< one was gone before it was taken; ask again */
	ACCEPTOR_SHORT, /**< no descriptor or memory; those that wait stay */
	ACCEPTOR_FAILED /**< the listening socket itself */
};

/** Whether a connection waits to be taken. */
bool acceptor_waits(const struct acceptor *acceptor);

/** Take a connection, non-blocking and close-on-exec, into `*fd`. */
enum acceptor_result acceptor_take(struct acceptor *acceptor, int *fd);

struct acceptor_hooks {
	/** Whether one more may be taken. */
	bool (*has_room)(void *data);
	void (*taken)(void *data, int fd);
	/** Without a descriptor: close a connection; false if none may go. */
	bool (*make_room)(void *data);
};

/**
 * Take those that wait, a bounded number at once.
 *
 * Returns false if the listener is to rest for a while: it would stay readable
 * with nothing to be taken.
 */
bool acceptor_take_some(struct acceptor *acceptor,
			const struct acceptor_hooks *hooks, void *data);

struct acceptor_view acceptor_view(const struct acceptor *acceptor);

#endif
