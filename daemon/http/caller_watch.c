#include "daemon/http/caller_watch.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"

#define SWEEP_MS 250
#define EVENTS_AT_ONCE 64

struct caller_socket {
	struct caller_watch *watch;
	struct map_node node;
	uint64_t serial; /**< never used again, unlike the descriptor */
	int fd;
	int64_t reading_since_us; /**< 0 while an answer is due */
	struct exchange *exchange;
};

struct caller_watch {
	pthread_t thread;
	pthread_mutex_t lock; /**< guards the sockets */
	struct map sockets;
	uint64_t last_serial;
	int64_t read_us;
	struct edge_counters *counters;
	int epoll;
	int stop; /**< an eventfd */
};

static bool socket_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct caller_socket, node)->serial ==
	       *(const uint64_t *)key;
}

/* A hang-up was seen: hand the exchange out, with a reference. */
static struct exchange *watch_find(struct caller_watch *watch, uint64_t serial)
{
	struct exchange *exchange = NULL;
	struct caller_socket *found;
	struct map_node *node;

	pthread_mutex_lock(&watch->lock);
	node = map_find(&watch->sockets, map_hash(&serial, sizeof(serial)),
			socket_match, &serial);
	if (node) {
		found = container_of(node, struct caller_socket, node);
		if (found->exchange)
			exchange = exchange_ref(found->exchange);
	}
	pthread_mutex_unlock(&watch->lock);
	return exchange;
}

static void watch_hung_up(struct caller_watch *watch, uint64_t serial)
{
	struct exchange *exchange = watch_find(watch, serial);

	if (!exchange)
		return;
	edge_count(&watch->counters->callers_left);
	exchange_leave(exchange);
	exchange_unref(exchange);
}

static void watch_sweep(struct caller_watch *watch)
{
	int64_t limit = edge_now_us() - watch->read_us;
	struct caller_socket *socket;
	struct caller_socket *next;

	pthread_mutex_lock(&watch->lock);
	map_foreach(socket, next, &watch->sockets, node) {
		if (!socket->reading_since_us ||
		    socket->reading_since_us > limit)
			continue;
		socket->reading_since_us = 0;
		edge_count(&watch->counters->slow_callers);
		shutdown(socket->fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&watch->lock);
}

static void *watch_run(void *data)
{
	struct caller_watch *watch = data;
	struct epoll_event events[EVENTS_AT_ONCE];
	int64_t swept_us = 0;
	int64_t now_us;
	int n;
	int i;

	for (;;) {
		n = epoll_wait(watch->epoll, events, EVENTS_AT_ONCE, SWEEP_MS);
		for (i = 0; i < n; i++) {
			if (!events[i].data.u64)
				return NULL;
			watch_hung_up(watch, events[i].data.u64);
		}
		now_us = edge_now_us();
		if (now_us - swept_us < SWEEP_MS * 1000)
			continue;
		swept_us = now_us;
		watch_sweep(watch);
	}
}

struct caller_watch *caller_watch_start(int64_t read_us,
					struct edge_counters *counters)
{
	struct caller_watch *watch = xcalloc(1, sizeof(*watch));
	struct epoll_event event = { .events = EPOLLIN };

	pthread_mutex_init(&watch->lock, NULL);
	map_init(&watch->sockets);
	watch->read_us = read_us;
	watch->counters = counters;
	watch->epoll = epoll_create1(EPOLL_CLOEXEC);
	watch->stop = eventfd(0, EFD_CLOEXEC);
	if (watch->epoll < 0 || watch->stop < 0 ||
	    epoll_ctl(watch->epoll, EPOLL_CTL_ADD, watch->stop, &event) ||
	    pthread_create(&watch->thread, NULL, watch_run, watch)) {
		close(watch->epoll);
		close(watch->stop);
		free(watch);
		return NULL;
	}
	return watch;
}

void caller_watch_stop(struct caller_watch *watch)
{
	if (!watch)
		return;
	eventfd_write(watch->stop, 1);
	pthread_join(watch->thread, NULL);
	close(watch->epoll);
	close(watch->stop);
	map_clear(&watch->sockets);
	pthread_mutex_destroy(&watch->lock);
	free(watch);
}

struct caller_socket *caller_watch_add(struct caller_watch *watch, int fd)
{
	struct caller_socket *socket = xcalloc(1, sizeof(*socket));

	socket->watch = watch;
	socket->fd = fd;
	socket->reading_since_us = edge_now_us();
	pthread_mutex_lock(&watch->lock);
	socket->serial = ++watch->last_serial;
	map_insert(&watch->sockets, &socket->node,
		   map_hash(&socket->serial, sizeof(socket->serial)));
	pthread_mutex_unlock(&watch->lock);
	return socket;
}

void caller_watch_remove(struct caller_socket *socket)
{
	struct caller_watch *watch = socket->watch;

	caller_watch_detach(socket);
	pthread_mutex_lock(&watch->lock);
	map_remove(&watch->sockets, &socket->node);
	pthread_mutex_unlock(&watch->lock);
	free(socket);
}

void caller_watch_attach(struct caller_socket *socket,
			 struct exchange *exchange)
{
	struct caller_watch *watch = socket->watch;
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLONESHOT };

	pthread_mutex_lock(&watch->lock);
	socket->exchange = exchange_ref(exchange);
	socket->reading_since_us = 0;
	event.data.u64 = socket->serial;
	epoll_ctl(watch->epoll, EPOLL_CTL_ADD, socket->fd, &event);
	pthread_mutex_unlock(&watch->lock);
}

void caller_watch_detach(struct caller_socket *socket)
{
	struct caller_watch *watch = socket->watch;
	struct exchange *exchange;

	pthread_mutex_lock(&watch->lock);
	exchange = socket->exchange;
	socket->exchange = NULL;
	socket->reading_since_us = edge_now_us();
	if (exchange)
		epoll_ctl(watch->epoll, EPOLL_CTL_DEL, socket->fd, NULL);
	pthread_mutex_unlock(&watch->lock);
	exchange_unref(exchange);
}
