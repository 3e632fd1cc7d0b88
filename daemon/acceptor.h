#ifndef FILBERTHALL_DAEMON_ACCEPTOR_H
#define FILBERTHALL_DAEMON_ACCEPTOR_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "daemon/address.h"

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

/** Listen; false with errno set. */
bool acceptor_open(struct acceptor *acceptor, const struct address *address,
		   int backlog);

void acceptor_close(struct acceptor *acceptor);

/** Take a connection; -1 if there is none, or after a failure was counted. */
int acceptor_take(struct acceptor *acceptor);

struct acceptor_view acceptor_view(const struct acceptor *acceptor);

#endif
