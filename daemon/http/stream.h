#ifndef FILBERTHALL_DAEMON_STREAM_H
#define FILBERTHALL_DAEMON_STREAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "daemon/memory.h"

/**
 * A TCP connection with a buffer each way, in the thread of a libev loop.
 *
 * What is written in one turn of the loop leaves by one system call at its
 * end. The peer's hang-up is seen also while nothing is being written, as long
 * as no more than the read bound is waiting to be taken.
 */
struct stream;

/** The loop with what its streams have still to write; one a thread. */
struct stream_loop {
	struct ev_loop *ev;
	struct memory *memory; /**< that buffers are claimed of, or NULL */
	ev_prepare flush;
	struct list dirty;
};

void stream_loop_init(struct stream_loop *loop, struct ev_loop *ev);
void stream_loop_clear(struct stream_loop *loop);

/** Any of them may free the stream. */
struct stream_hooks {
	/** A connection that was asked for stands. */
	void (*connected)(void *data);
	/** Bytes have come; what the hook takes it removes from `in`. */
	void (*readable)(void *data, struct bytes *in);
	/**
	 * Bytes have come for which there is no memory, to be dropped or left;
	 * no more are read until stream_kick(). NULL: the stream is closed.
	 */
	void (*refused)(void *data, struct bytes *in);
	/** All that was written has been handed to the system. */
	void (*drained)(void *data);
	/** The peer closed, or `reset` it, or it can't be reached. */
	void (*closed)(void *data, bool reset);
};

/** A connected socket, taken over. `read_most` bounds what waits unread. */
struct stream *stream_new(struct stream_loop *loop, int fd, size_t read_most,
			  const struct stream_hooks *hooks, void *data);

/** Connect to IP:port; failure comes as `closed`, never from this call. */
struct stream *stream_connect(struct stream_loop *loop, const char *address,
			      size_t read_most,
			      const struct stream_hooks *hooks, void *data);

/** A stream that was never connected, for want of a descriptor; likewise. */
struct stream *stream_short(struct stream_loop *loop,
			    const struct stream_hooks *hooks, void *data);

/** Whether it couldn't be connected for want of a descriptor or memory here. */
bool stream_is_short(const struct stream *stream);

/** Close at once; what is still unwritten is lost. */
void stream_free(struct stream *stream);

/**
 * Without memory for what can't be written at once, the stream is closed later,
 * as if the peer had reset it.
 */
void stream_write(struct stream *stream, const void *data, size_t len);

/** Read on only while less than that waits to be taken. */
void stream_set_read_most(struct stream *stream, size_t read_most);

/** Bytes that wait to be written. */
size_t stream_unwritten(const struct stream *stream);

/** Bytes that wait to be taken. */
struct bytes *stream_input(struct stream *stream);

/** Read no more until stream_kick(). */
void stream_pause(struct stream *stream);

/** Call `readable` again before the loop sleeps, if bytes wait. */
void stream_kick(struct stream *stream);

/** No more will be written; the peer sees the end of what was. */
void stream_shutdown(struct stream *stream);

int stream_fd(const struct stream *stream);

#endif
