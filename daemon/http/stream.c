#include "daemon/http/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/alloc.h"
#include "daemon/descriptors.h"

#define READ_BYTES (16 * 1024)

/* An empty buffer that is larger is given back. */
#define KEPT_BYTES 4096

/* What the system holds for a connection with empty buffers. */
#define SYSTEM_BYTES 4096

struct stream {
	struct list dirty; /* among those to be looked at before sleeping */
	struct stream_loop *loop;
	int fd;
	ev_io reader;
	ev_io writer;
	ev_timer failed; /* tells of a connect that failed at once */
	struct bytes in;
	struct bytes out;
	size_t out_at; /* of it, what has been written */
	struct memory_claim claim;
	size_t read_most;
	struct stream_hooks hooks;
	void *data;
	bool connecting;
	bool short_of; /* a descriptor, to connect with */
	bool kicked;
	bool accepted; /* a peer's; its bytes are asked for, not just held */
	bool refused;  /* memory for what is to be written */
};

static void mark_dirty(struct stream *stream)
{
	if (list_empty(&stream->dirty))
		list_append(&stream->loop->dirty, &stream->dirty);
}

static bool would_block(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

static void give_back(struct bytes *bytes)
{
	if (!bytes->len && bytes->capacity > KEPT_BYTES)
		bytes_clear(bytes);
}

/* False if there is no memory for all that the buffers hold. */
static bool claim_buffers(struct stream *stream)
{
	size_t bytes = sizeof(*stream) + SYSTEM_BYTES;

	give_back(&stream->in);
	give_back(&stream->out);
	bytes += stream->in.capacity + stream->out.capacity;
	if (stream->accepted)
		return memory_ask(&stream->claim, bytes);
	memory_hold(&stream->claim, bytes);
	return true;
}

/*
 * Bytes before `out_at` stay until they are half of the buffer: moving the rest
 * to the front after each write to a slow reader costs a copy of all of it.
 */
static void written(struct stream *stream, size_t n)
{
	stream->out_at += n;
	if (stream->out_at * 2 < stream->out.len)
		return;
	bytes_consume(&stream->out, stream->out_at);
	stream->out_at = 0;
}

/* False if the connection has failed. */
static bool write_some(struct stream *stream)
{
	ssize_t n;

	if (!stream->out.len)
		return true;
	n = send(stream->fd, stream->out.data + stream->out_at,
		 stream_unwritten(stream), MSG_NOSIGNAL);
	if (n < 0 && !would_block(errno))
		return false;
	if (n > 0)
		written(stream, (size_t)n);
	if (stream->out.len)
		ev_io_start(stream->loop->ev, &stream->writer);
	else
		ev_io_stop(stream->loop->ev, &stream->writer);
	if (!claim_buffers(stream) && stream->refused)
		return false;
	stream->refused = false;
	return true;
}

static void stream_closed(struct stream *stream, bool reset)
{
	ev_io_stop(stream->loop->ev, &stream->reader);
	ev_io_stop(stream->loop->ev, &stream->writer);
	if (stream->hooks.closed)
		stream->hooks.closed(stream->data, reset);
}

static void flush_one(struct stream *stream)
{
	bool had = stream->out.len > 0;

	if (stream->kicked) {
		stream->kicked = false;
		if (stream->out.len)
			mark_dirty(stream);
		claim_buffers(stream);
		if (stream->in.len && stream->hooks.readable)
			stream->hooks.readable(stream->data, &stream->in);
		return;
	}
	if (stream->connecting)
		return;
	if (!write_some(stream))
		stream_closed(stream, true);
	else if (had && !stream->out.len && stream->hooks.drained)
		stream->hooks.drained(stream->data);
}

static void on_prepare(struct ev_loop *ev, ev_prepare *watcher, int events)
{
	struct stream_loop *loop = watcher->data;
	struct stream *stream;

	while ((stream = list_first(&loop->dirty, struct stream, dirty))) {
		list_remove(&stream->dirty);
		flush_one(stream);
	}
}

void stream_loop_init(struct stream_loop *loop, struct ev_loop *ev)
{
	loop->ev = ev;
	loop->memory = NULL;
	list_init(&loop->dirty);
	ev_prepare_init(&loop->flush, on_prepare);
	loop->flush.data = loop;
	ev_prepare_start(ev, &loop->flush);
	ev_unref(ev);
}

void stream_loop_clear(struct stream_loop *loop)
{
	ev_ref(loop->ev);
	ev_prepare_stop(loop->ev, &loop->flush);
}

/* Its owner may free the stream. */
static void refuse_input(struct stream *stream)
{
	ev_io_stop(stream->loop->ev, &stream->reader);
	if (stream->hooks.refused)
		stream->hooks.refused(stream->data, &stream->in);
	else
		stream_closed(stream, true);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct stream *stream = watcher->data;
	char buffer[READ_BYTES];
	ssize_t n;

	/* The system doesn't watch it any more. */
	if (events & EV_ERROR) {
		stream_closed(stream, true);
		return;
	}
	n = recv(stream->fd, buffer, sizeof(buffer), 0);
	if (n < 0 && would_block(errno))
		return;
	if (n <= 0) {
		stream_closed(stream, n < 0);
		return;
	}
	bytes_append(&stream->in, buffer, (size_t)n);
	if (!claim_buffers(stream)) {
		refuse_input(stream);
		return;
	}
	/* A peer that sends without end must not fill our memory. */
	if (stream->in.len >= stream->read_most)
		ev_io_stop(ev, &stream->reader);
	if (stream->hooks.readable)
		stream->hooks.readable(stream->data, &stream->in);
}

static void on_connected(struct stream *stream)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		stream_closed(stream, true);
		return;
	}
	stream->connecting = false;
	ev_io_start(stream->loop->ev, &stream->reader);
	ev_io_stop(stream->loop->ev, &stream->writer);
	if (stream->out.len)
		mark_dirty(stream);
	if (stream->hooks.connected)
		stream->hooks.connected(stream->data);
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct stream *stream = watcher->data;

	if (events & EV_ERROR)
		stream_closed(stream, true);
	else if (stream->connecting)
		on_connected(stream);
	else
		flush_one(stream);
}

static void on_failed(struct ev_loop *ev, ev_timer *timer, int events)
{
	stream_closed(timer->data, true);
}

static struct stream *stream_alloc(struct stream_loop *loop, int fd,
				   size_t read_most,
				   const struct stream_hooks *hooks, void *data)
{
	struct stream *stream = xcalloc(1, sizeof(*stream));
	int one = 1;

	stream->loop = loop;
	stream->fd = fd;
	stream->read_most = read_most;
	stream->claim = memory_claim(loop->memory, MEMORY_SOCKETS);
	memory_hold(&stream->claim, sizeof(*stream) + SYSTEM_BYTES);
	stream->hooks = *hooks;
	stream->data = data;
	list_init(&stream->dirty);
	ev_io_init(&stream->reader, on_readable, fd, EV_READ);
	ev_io_init(&stream->writer, on_writable, fd, EV_WRITE);
	ev_timer_init(&stream->failed, on_failed, 0, 0);
	stream->reader.data = stream;
	stream->writer.data = stream;
	stream->failed.data = stream;
	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return stream;
}

struct stream *stream_new(struct stream_loop *loop, int fd, size_t read_most,
			  const struct stream_hooks *hooks, void *data)
{
	struct stream *stream = stream_alloc(loop, fd, read_most, hooks, data);

	stream->accepted = true;
	ev_io_start(loop->ev, &stream->reader);
	return stream;
}

struct stream *stream_connect(struct stream_loop *loop, const char *text,
			      size_t read_most,
			      const struct stream_hooks *hooks, void *data)
{
	struct address address;
	struct stream *stream;
	bool short_of = false;
	int fd = -1;

	if (address_parse(&address, text)) {
		fd = socket(address.storage.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		short_of = fd < 0 && descriptors_are_short(errno);
	}
	stream = stream_alloc(loop, fd, read_most, hooks, data);
	stream->connecting = true;
	stream->short_of = short_of;
	if (fd >= 0 && (!connect(fd, (const struct sockaddr *)&address.storage,
				 address.len) ||
			errno == EINPROGRESS))
		ev_io_start(loop->ev, &stream->writer);
	else
		ev_timer_start(loop->ev, &stream->failed);
	return stream;
}

struct stream *stream_short(struct stream_loop *loop,
			    const struct stream_hooks *hooks, void *data)
{
	struct stream *stream = stream_alloc(loop, -1, 0, hooks, data);

	stream->connecting = true;
	stream->short_of = true;
	ev_timer_start(loop->ev, &stream->failed);
	return stream;
}

bool stream_is_short(const struct stream *stream)
{
	return stream->short_of;
}

void stream_free(struct stream *stream)
{
	ev_io_stop(stream->loop->ev, &stream->reader);
	ev_io_stop(stream->loop->ev, &stream->writer);
	ev_timer_stop(stream->loop->ev, &stream->failed);
	list_remove(&stream->dirty);
	if (stream->fd >= 0)
		close(stream->fd);
	bytes_clear(&stream->in);
	bytes_clear(&stream->out);
	memory_release(&stream->claim);
	free(stream);
}

void stream_write(struct stream *stream, const void *data, size_t len)
{
	if (!len)
		return;
	bytes_append(&stream->out, data, len);
	stream->refused |= !claim_buffers(stream);
	mark_dirty(stream);
}

void stream_set_read_most(struct stream *stream, size_t read_most)
{
	stream->read_most = read_most;
}

size_t stream_unwritten(const struct stream *stream)
{
	return stream->out.len - stream->out_at;
}

struct bytes *stream_input(struct stream *stream)
{
	return &stream->in;
}

void stream_pause(struct stream *stream)
{
	ev_io_stop(stream->loop->ev, &stream->reader);
}

void stream_kick(struct stream *stream)
{
	stream->kicked = true;
	mark_dirty(stream);
	if (stream->in.len < stream->read_most && !stream->connecting)
		ev_io_start(stream->loop->ev, &stream->reader);
}

void stream_shutdown(struct stream *stream)
{
	shutdown(stream->fd, SHUT_WR);
}

int stream_fd(const struct stream *stream)
{
	return stream->fd;
}
