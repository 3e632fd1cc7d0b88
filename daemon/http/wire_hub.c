#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/alloc.h"
#include "daemon/http/wire.h"

/* jansson's deepest recursion and getaddrinfo() fit; only what is touched
 * takes memory. */
#define WORKER_STACK_BYTES (512 * 1024)

/* How often idle connections are looked at. */
#define POOL_EXPIRE_MS 1000

struct wire_worker {
	pthread_t thread;
	struct wire_hub *hub;
	bool started;
	bool exited; /**< to be joined before the slot is used again */
};

static void sleep_on(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms)
{
	int64_t until_us = edge_now_us() + ms * 1000;
	struct timespec until = { .tv_sec = until_us / 1000000,
				  .tv_nsec = until_us % 1000000 * 1000 };

	pthread_cond_clockwait(cond, lock, CLOCK_MONOTONIC, &until);
}

/* The lock must be held. */
static void unqueue(struct wire *wire)
{
	list_remove(&wire->queued);
	wire->waiting = false;
	wire->hub->n_queued--;
}

/* The lock must be held. NULL if idle for too long, or stopping. */
static struct wire *next_wire(struct wire_hub *hub)
{
	int64_t until_us = edge_now_us() + WIRE_IDLE_WORKER_S * 1000000LL;
	struct wire *wire;

	hub->n_idle++;
	while (list_empty(&hub->queue) && !hub->stopping &&
	       edge_now_us() < until_us)
		sleep_on(&hub->work, &hub->lock, WIRE_IDLE_WORKER_S * 1000);
	hub->n_idle--;
	wire = list_first(&hub->queue, struct wire, queued);
	if (wire)
		unqueue(wire);
	return wire;
}

static void *worker_run(void *data)
{
	struct wire_worker *worker = data;
	struct wire_hub *hub = worker->hub;
	struct wire *wire;

	pthread_mutex_lock(&hub->lock);
	while ((wire = next_wire(hub)) != NULL) {
		pthread_mutex_unlock(&hub->lock);
		wire->ops->run(wire);
		pthread_mutex_lock(&hub->lock);
	}
	worker->exited = true;
	hub->n_running--;
	pthread_mutex_unlock(&hub->lock);
	return NULL;
}

static struct wire_worker *free_slot(struct wire_hub *hub)
{
	int i;

	for (i = 0; i < hub->n_slots; i++)
		if (!hub->workers[i].started || hub->workers[i].exited)
			return &hub->workers[i];
	return NULL;
}

/* The lock must be held. */
static void start_worker(struct wire_hub *hub)
{
	struct wire_worker *worker = free_slot(hub);
	pthread_attr_t attributes;

	if (!worker)
		return;
	if (worker->started)
		pthread_join(worker->thread, NULL);
	worker->hub = hub;
	worker->exited = false;
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, WORKER_STACK_BYTES);
	worker->started = !pthread_create(&worker->thread, &attributes,
					  worker_run, worker);
	if (worker->started)
		hub->n_running++;
	pthread_attr_destroy(&attributes);
}

/* Bytes in the kernel's buffer would still go out after a plain close. */
static void drop_unsent(int fd)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RD);
}

/* The lock must be held. */
static void stop_locked(struct wire *wire)
{
	struct connection *connection = wire->connection;

	atomic_store(&wire->stopped, true);
	atomic_store(&wire->deadline_us, 0);
	if (connection && connection->fd >= 0) {
		connection->aborted = wire->abort;
		if (wire->abort)
			drop_unsent(connection->fd);
		else
			shutdown(connection->fd, SHUT_RDWR);
	}
	if (wire->ops->nudge)
		wire->ops->nudge(wire);
}

static void drop_all(struct list *dropped)
{
	struct wire *wire;

	while ((wire = list_first(dropped, struct wire, queued)) != NULL) {
		list_remove(&wire->queued);
		wire->ops->drop(wire);
	}
}

static void take_from_queue(struct wire *wire, struct list *dropped)
{
	if (!wire->waiting)
		return;
	unqueue(wire);
	list_append(dropped, &wire->queued);
}

bool wire_stop(struct wire *wire)
{
	struct wire_hub *hub = wire->hub;
	bool waiting;

	pthread_mutex_lock(&hub->lock);
	stop_locked(wire);
	waiting = wire->waiting;
	if (waiting)
		unqueue(wire);
	pthread_mutex_unlock(&hub->lock);
	return waiting;
}

/* The lock must be held. */
static void end_overdue(struct wire_hub *hub, struct list *dropped)
{
	int64_t now_us = edge_now_us();
	int64_t deadline_us;
	struct wire *wire;

	list_foreach(wire, &hub->wires, node) {
		deadline_us = atomic_load(&wire->deadline_us);
		if (!deadline_us || deadline_us > now_us ||
		    atomic_load(&wire->stopped))
			continue;
		wire->timed_out = true;
		stop_locked(wire);
		take_from_queue(wire, dropped);
	}
}

/* The lock must be held. At rest there is nothing to wake up for. */
static void watch_sleep(struct wire_hub *hub, bool pooled)
{
	if (!list_empty(&hub->wires))
		sleep_on(&hub->watched, &hub->lock, WIRE_WATCH_MS);
	else if (pooled)
		sleep_on(&hub->watched, &hub->lock, POOL_EXPIRE_MS);
	else
		pthread_cond_wait(&hub->watched, &hub->lock);
}

static void *watch_run(void *data)
{
	struct wire_hub *hub = data;
	int64_t expired_us = 0;
	bool pooled = false;
	struct list dropped;

	list_init(&dropped);
	pthread_mutex_lock(&hub->lock);
	while (!hub->stopping) {
		watch_sleep(hub, pooled);
		/* What woke it may have left a connection behind. */
		pooled = true;
		end_overdue(hub, &dropped);
		pthread_mutex_unlock(&hub->lock);
		drop_all(&dropped);
		if (edge_now_us() - expired_us >= POOL_EXPIRE_MS * 1000) {
			expired_us = edge_now_us();
			pooled = pool_expire(&hub->pool);
		}
		pthread_mutex_lock(&hub->lock);
	}
	pthread_mutex_unlock(&hub->lock);
	return NULL;
}

bool wire_hub_init(struct wire_hub *hub, int workers,
		   struct edge_counters *counters)
{
	pthread_mutex_init(&hub->lock, NULL);
	pthread_cond_init(&hub->work, NULL);
	pthread_cond_init(&hub->watched, NULL);
	list_init(&hub->queue);
	list_init(&hub->wires);
	hub->n_slots = workers ? workers : WIRE_WORKERS;
	hub->workers = xcalloc(hub->n_slots, sizeof(*hub->workers));
	hub->counters = counters;
	pool_init(&hub->pool, counters);
	return !pthread_create(&hub->watch, NULL, watch_run, hub);
}

void wire_submit(struct wire_hub *hub, struct wire *wire)
{
	struct list dropped;

	list_init(&dropped);
	wire->hub = hub;
	pthread_mutex_lock(&hub->lock);
	wire->waiting = true;
	atomic_store(&wire->deadline_us, wire_deadline(wire, wire->connect_ms));
	if (list_empty(&hub->wires))
		pthread_cond_signal(&hub->watched);
	list_append(&hub->wires, &wire->node);
	list_append(&hub->queue, &wire->queued);
	if (++hub->n_queued > hub->n_idle)
		start_worker(hub);
	if (hub->stopping)
		take_from_queue(wire, &dropped);
	pthread_cond_signal(&hub->work);
	pthread_mutex_unlock(&hub->lock);
	drop_all(&dropped);
}

void wire_forget(struct wire *wire)
{
	pthread_mutex_lock(&wire->hub->lock);
	list_remove(&wire->node);
	pthread_mutex_unlock(&wire->hub->lock);
}

int64_t wire_deadline(const struct wire *wire, int64_t ms)
{
	int64_t at_us = edge_now_us() + ms * 1000;

	return wire->until_us && wire->until_us < at_us ? wire->until_us
							: at_us;
}

void wire_set_deadline(struct wire *wire, int64_t ms)
{
	atomic_store(&wire->deadline_us, ms ? wire_deadline(wire, ms) : 0);
}

void wire_hub_clear(struct wire_hub *hub)
{
	struct list dropped;
	struct wire *wire;
	int i;

	list_init(&dropped);
	pthread_mutex_lock(&hub->lock);
	hub->stopping = true;
	list_foreach(wire, &hub->wires, node) {
		stop_locked(wire);
		take_from_queue(wire, &dropped);
	}
	pthread_cond_broadcast(&hub->work);
	pthread_cond_broadcast(&hub->watched);
	pthread_mutex_unlock(&hub->lock);
	drop_all(&dropped);
	for (i = 0; i < hub->n_slots; i++)
		if (hub->workers[i].started)
			pthread_join(hub->workers[i].thread, NULL);
	pthread_join(hub->watch, NULL);
	pool_clear(&hub->pool);
	free(hub->workers);
	pthread_cond_destroy(&hub->watched);
	pthread_cond_destroy(&hub->work);
	pthread_mutex_destroy(&hub->lock);
}
