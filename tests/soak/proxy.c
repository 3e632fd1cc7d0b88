#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/boot.h"
#include "vm.h"

#define READ_MOST (1024 * 1024)
#define BACKLOG 128

struct proxy {
	struct soak *soak;
	char *target;
	int fd;
	ev_io accept;
	struct list pipes;
	bool hold[PROXY_WAYS];
	int64_t delay_ms;
	bool refuse;
};

struct pipe;

/* One way of a connection: bytes from its source to the other's end. */
struct flow {
	struct pipe *pipe;
	enum proxy_way way;
	struct stream *source; /* NULL once it has ended */
	struct bytes late;     /* on its way, for the proxy's delay */
	ev_timer timer;
	bool ended; /* the source has, and the other end doesn't know yet */
	bool reset;
};

struct pipe {
	struct list node;
	struct proxy *proxy;
	struct flow flows[PROXY_WAYS];
	int from; /* the VM that connected, -1 while it isn't known */
	bool forgotten;
	bool closing; /* freed once the rest is written */
};

static struct flow *other(struct flow *flow)
{
	return &flow->pipe->flows[flow->way == PROXY_IN ? PROXY_OUT : PROXY_IN];
}

static void pipe_free(struct pipe *pipe)
{
	int way;

	for (way = 0; way < PROXY_WAYS; way++) {
		struct flow *flow = &pipe->flows[way];

		ev_timer_stop(pipe->proxy->soak->ev, &flow->timer);
		if (flow->source)
			stream_free(flow->source);
		bytes_clear(&flow->late);
	}
	list_remove(&pipe->node);
	free(pipe);
}

static void make_reset(struct stream *stream)
{
	struct linger linger = { 1, 0 };

	setsockopt(stream_fd(stream), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

static void pipe_reset(struct pipe *pipe)
{
	int way;

	for (way = 0; way < PROXY_WAYS; way++)
		if (pipe->flows[way].source)
			make_reset(pipe->flows[way].source);
	pipe_free(pipe);
}

static bool flow_waits(const struct flow *flow)
{
	const struct pipe *pipe = flow->pipe;

	return pipe->forgotten || pipe->proxy->hold[flow->way] ||
	       (pipe->from >= 0 && pipe->proxy->soak->cut_off[pipe->from]);
}

/* All come from one address; what they send first has the VM's name. */
static void note_from(struct pipe *pipe, const struct bytes *in)
{
	const struct soak *soak = pipe->proxy->soak;
	int i;

	for (i = 0; i < SOAK_VMS && pipe->from < 0; i++)
		if (memmem(in->data, in->len, soak->vms[i]->name,
			   strlen(soak->vms[i]->name)))
			pipe->from = i;
}

static void drop_all(struct flow *flow)
{
	struct bytes *in = flow->source ? stream_input(flow->source) : NULL;

	flow->late.len = 0;
	if (in)
		bytes_consume(in, in->len);
}

/* False if the pipe is gone. */
static bool flow_pass(struct flow *flow)
{
	struct stream *to = other(flow)->source;
	struct bytes *in;

	if (flow_waits(flow))
		return true;
	if (!to && other(flow)->late.len) {
		/* Whom it was for has closed; what that one sent is still due. */
		drop_all(flow);
		return true;
	}
	if (!to) {
		pipe_free(flow->pipe);
		return false;
	}
	if (flow->late.len) {
		stream_write(to, flow->late.data, flow->late.len);
		flow->late.len = 0;
	}
	in = flow->source ? stream_input(flow->source) : NULL;
	if (in && in->len) {
		stream_write(to, in->data, in->len);
		bytes_consume(in, in->len);
	}
	if (!flow->ended)
		return true;
	if (flow->reset) {
		pipe_reset(flow->pipe);
		return false;
	}
	if (!stream_unwritten(to)) {
		pipe_free(flow->pipe);
		return false;
	}
	flow->pipe->closing = true;
	return true;
}

static void on_late(struct ev_loop *ev, ev_timer *timer, int events)
{
	flow_pass(timer->data);
}

static void on_readable(void *data, struct bytes *in)
{
	struct flow *flow = data;
	int64_t delay_ms = flow->pipe->proxy->delay_ms;

	if (flow->way == PROXY_IN)
		note_from(flow->pipe, in);
	if (flow_waits(flow))
		return;
	if (!delay_ms) {
		flow_pass(flow);
		return;
	}
	bytes_append(&flow->late, in->data, in->len);
	bytes_consume(in, in->len);
	if (!ev_is_active(&flow->timer))
		soak_timer(flow->pipe->proxy->soak, &flow->timer, on_late,
			   delay_ms, flow);
}

static void on_drained(void *data)
{
	struct flow *flow = data;

	if (flow->pipe->closing)
		pipe_free(flow->pipe);
}

static void on_closed(void *data, bool reset)
{
	struct flow *flow = data;

	bytes_append(&flow->late, stream_input(flow->source)->data,
		     stream_input(flow->source)->len);
	stream_free(flow->source);
	flow->source = NULL;
	flow->ended = true;
	flow->reset = reset;
	if (!other(flow)->source)
		pipe_free(flow->pipe);
	else
		flow_pass(flow);
}

static const struct stream_hooks hooks = {
	.readable = on_readable,
	.drained = on_drained,
	.closed = on_closed,
};

static void on_accept(struct ev_loop *ev, ev_io *io, int events)
{
	struct proxy *proxy = io->data;
	int fd = accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pipe *pipe;
	int way;

	if (fd < 0)
		return;
	if (proxy->refuse) {
		close(fd);
		return;
	}
	pipe = xcalloc(1, sizeof(*pipe));
	pipe->proxy = proxy;
	pipe->from = -1;
	list_append(&proxy->pipes, &pipe->node);
	for (way = 0; way < PROXY_WAYS; way++) {
		struct flow *flow = &pipe->flows[way];

		flow->pipe = pipe;
		flow->way = (enum proxy_way)way;
		ev_timer_init(&flow->timer, on_late, 0, 0);
		flow->timer.data = flow;
	}
	pipe->flows[PROXY_IN].source =
		stream_new(&proxy->soak->loop, fd, READ_MOST, &hooks,
			   &pipe->flows[0]);
	pipe->flows[PROXY_OUT].source =
		stream_connect(&proxy->soak->loop, proxy->target, READ_MOST,
			       &hooks, &pipe->flows[1]);
}

struct proxy *proxy_new(struct soak *soak, const char *listen_at,
			const char *target)
{
	struct proxy *proxy = xcalloc(1, sizeof(*proxy));
	struct sockaddr_in at = { .sin_family = AF_INET };
	char ip[64] = "";
	int port = 0;
	int one = 1;

	proxy->soak = soak;
	proxy->target = xstrdup(target);
	list_init(&proxy->pipes);
	boot_split_address(listen_at, ip, &port);
	inet_pton(AF_INET, ip, &at.sin_addr);
	at.sin_port = htons((uint16_t)port);
	proxy->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(proxy->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(proxy->fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(proxy->fd, BACKLOG)) {
		fprintf(stderr, "soak: %s can't be listened on\n", listen_at);
		exit(EXIT_FAILURE);
	}
	ev_io_init(&proxy->accept, on_accept, proxy->fd, EV_READ);
	proxy->accept.data = proxy;
	ev_io_start(soak->ev, &proxy->accept);
	return proxy;
}

void proxy_free(struct proxy *proxy)
{
	proxy_reset(proxy);
	ev_io_stop(proxy->soak->ev, &proxy->accept);
	close(proxy->fd);
	free(proxy->target);
	free(proxy);
}

void proxy_resume(struct proxy *proxy)
{
	struct pipe *pipe;
	struct pipe *next;

	list_foreach_safe(pipe, next, &proxy->pipes, node)
		if (flow_pass(&pipe->flows[PROXY_IN]))
			flow_pass(&pipe->flows[PROXY_OUT]);
}

void proxy_hold(struct proxy *proxy, enum proxy_way way, bool hold)
{
	proxy->hold[way] = hold;
	if (!hold)
		proxy_resume(proxy);
}

void proxy_delay(struct proxy *proxy, int64_t ms)
{
	proxy->delay_ms = ms;
}

void proxy_forget(struct proxy *proxy)
{
	struct pipe *pipe;

	list_foreach(pipe, &proxy->pipes, node)
		pipe->forgotten = true;
}

void proxy_reset(struct proxy *proxy)
{
	struct pipe *pipe;
	struct pipe *next;

	list_foreach_safe(pipe, next, &proxy->pipes, node)
		pipe_reset(pipe);
}

void proxy_refuse(struct proxy *proxy, bool refuse)
{
	proxy->refuse = refuse;
}
