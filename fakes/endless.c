#include "fakes/endless.h"

#include <arpa/inet.h>
#include <ev.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/edge.h"
#include "platform/names.h"

#define READ_MOST 65536
#define PIECE_BYTES 4096
#define SIGNED "HTTP/1.1 200 OK\r\n%s: %s\r\n" HEADER_SIGNATURE ": x\r\n"

/* In `head` the name and the value of the request's id are filled in. */
struct way {
	const char *name;
	const char *head;
	const char *again;
};

static const struct way ways[] = {
	{ "junk", "", "junk" },
	{ "headers", SIGNED, "X-Y: z\r\n" },
	{ "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
	{ "other", "",
	  "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID
	  ": other\r\nContent-Length: 1\r\n\r\nx" },
	{ "chunk-length", SIGNED "Transfer-Encoding: chunked\r\n\r\n", "0" },
	{ "trailers", SIGNED "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	  "X-Y: z\r\n" },
	{ "body", SIGNED "\r\n", "junk" },
	{ "lines", SIGNED "\r\n", "junk\n\n" },
	{ "rejected",
	  "HTTP/1.1 503 X\r\n%s: %s\r\n" HEADER_NOT_RUN ": 1\r\n\r\n", "junk" },
};

struct endless {
	struct stream_loop *loop;
	struct endless_options options;
	const struct way *way;
	int fd;
	ev_io accepting;
	struct list conns;
};

struct conn {
	struct list node;
	struct endless *endless;
	struct stream *stream;
	ev_timer timer;
	int64_t from_us;
	int64_t written;
	bool writing;
};

static void record(const struct conn *conn)
{
	const char *path = conn->endless->options.record;
	FILE *file = path ? fopen(path, "ae") : NULL;

	if (!file)
		return;
	fprintf(file, "%" PRId64 " %" PRId64 "\n", conn->written,
		(edge_now_us() - conn->from_us) / 1000);
	fclose(file);
}

static void conn_free(struct conn *conn)
{
	if (conn->writing)
		record(conn);
	ev_timer_stop(conn->endless->loop->ev, &conn->timer);
	list_remove(&conn->node);
	stream_free(conn->stream);
	free(conn);
}

static void write_piece(struct conn *conn)
{
	const char *again = conn->endless->way->again;
	size_t len = strlen(again);
	size_t said = 0;

	while (!said || (said < PIECE_BYTES && !conn->endless->options.gap_s)) {
		stream_write(conn->stream, again, len);
		said += len;
	}
	conn->written += (int64_t)said;
}

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	write_piece(timer->data);
}

static void on_drained(void *data)
{
	struct conn *conn = data;

	if (conn->writing && !conn->endless->options.gap_s)
		write_piece(conn);
}

/* The value of the request's id, which `head` holds. */
static void copy_id(const char *head, char *id, size_t size)
{
	const char *at = strcasestr(head, HEADER_REQUEST_ID ":");
	size_t len;

	id[0] = '\0';
	if (!at)
		return;
	at += strlen(HEADER_REQUEST_ID) + 1;
	at += strspn(at, " ");
	len = strcspn(at, "\r\n");
	snprintf(id, size, "%.*s", (int)len, at);
}

static void on_readable(void *data, struct bytes *in)
{
	struct conn *conn = data;
	char head[512];
	char id[64];
	int len;

	if (conn->writing || !strstr(bytes_text(in), "\r\n\r\n")) {
		if (conn->writing)
			bytes_consume(in, in->len);
		return;
	}
	copy_id(bytes_text(in), id, sizeof(id));
	bytes_consume(in, in->len);
	len = snprintf(head, sizeof(head), conn->endless->way->head,
		       HEADER_REQUEST_ID, id);
	conn->writing = true;
	conn->from_us = edge_now_us();
	stream_write(conn->stream, head, (size_t)len);
	write_piece(conn);
	if (conn->endless->options.gap_s)
		ev_timer_start(conn->endless->loop->ev, &conn->timer);
}

static void on_closed(void *data, bool reset)
{
	conn_free(data);
}

static const struct stream_hooks hooks = { .readable = on_readable,
					   .drained = on_drained,
					   .closed = on_closed };

static void on_accept(struct ev_loop *ev, ev_io *io, int events)
{
	struct endless *endless = io->data;
	double gap_s = endless->options.gap_s;
	int fd = accept4(endless->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct conn *conn;

	if (fd < 0)
		return;
	conn = xcalloc(1, sizeof(*conn));
	conn->endless = endless;
	list_append(&endless->conns, &conn->node);
	ev_timer_init(&conn->timer, on_timer, gap_s, gap_s);
	conn->timer.data = conn;
	conn->stream = stream_new(endless->loop, fd, READ_MOST, &hooks, conn);
}

static int listen_at(const char *address)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	char ip[64];
	int fd;

	snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(address, ":"), address);
	if (inet_pton(AF_INET, ip, &at.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 64)) {
		close(fd);
		return -1;
	}
	return fd;
}

struct endless *endless_start(struct stream_loop *loop,
			      const struct endless_options *options)
{
	struct endless *endless;
	size_t i = 0;
	int fd;

	while (i < sizeof(ways) / sizeof(ways[0]) &&
	       strcmp(ways[i].name, options->way) != 0)
		i++;
	if (i == sizeof(ways) / sizeof(ways[0]))
		return NULL;
	fd = listen_at(options->listen);
	if (fd < 0)
		return NULL;
	endless = xcalloc(1, sizeof(*endless));
	endless->loop = loop;
	endless->options = *options;
	endless->way = &ways[i];
	endless->fd = fd;
	list_init(&endless->conns);
	ev_io_init(&endless->accepting, on_accept, fd, EV_READ);
	endless->accepting.data = endless;
	ev_io_start(loop->ev, &endless->accepting);
	return endless;
}

int endless_port(const struct endless *endless)
{
	struct sockaddr_in at = { 0 };
	socklen_t len = sizeof(at);

	if (getsockname(endless->fd, (struct sockaddr *)&at, &len))
		return 0;
	return ntohs(at.sin_port);
}

void endless_stop(struct endless *endless)
{
	struct conn *conn;
	struct conn *next;

	if (!endless)
		return;
	list_foreach_safe(conn, next, &endless->conns, node)
		conn_free(conn);
	ev_io_stop(endless->loop->ev, &endless->accepting);
	close(endless->fd);
	free(endless);
}
