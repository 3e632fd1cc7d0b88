#include "daemon/http/pool.h"

#include <neon/ne_request.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/descriptors.h"

struct pool_address {
	struct map_node node;
	struct list idle; /**< the last one put back comes first */
	size_t n_idle;
	char *address;
};

void pool_init(struct pool *pool, struct edge_counters *counters)
{
	pthread_mutex_init(&pool->lock, NULL);
	map_init(&pool->addresses);
	pool->counters = counters;
	pool->idle_us = POOL_IDLE_US;
	pool->idle_total = (size_t)descriptors_for_idle(POOL_IDLE_TOTAL);
}

static bool address_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct pool_address, node)->address,
		       key);
}

static struct pool_address *find_address(struct pool *pool, const char *address)
{
	struct map_node *node;

	node = map_find(&pool->addresses, map_hash_text(address), address_match,
			address);
	return node ? container_of(node, struct pool_address, node) : NULL;
}

static void take_out(struct pool *pool, struct pool_address *at,
		     struct connection *connection)
{
	list_remove(&connection->node);
	at->n_idle--;
	pool->n_idle--;
}

static void forget_address(struct pool *pool, struct pool_address *at)
{
	map_remove(&pool->addresses, &at->node);
	free(at->address);
	free(at);
}

void connection_close(struct connection *connection)
{
	ne_session_destroy(connection->session);
	/* The duplicate would keep the peer from seeing the end. */
	if (connection->fd >= 0 && !connection->aborted)
		shutdown(connection->fd, SHUT_RDWR);
	if (connection->fd >= 0)
		close(connection->fd);
	free(connection->address);
	free(connection);
}

static void close_all(struct list *connections)
{
	struct connection *connection;
	struct connection *next;

	list_foreach_safe(connection, next, connections, node) {
		list_remove(&connection->node);
		connection_close(connection);
	}
}

static void note_closed(void *data)
{
	((struct connection *)data)->open = false;
}

struct connection *pool_open(struct pool *pool, const char *address)
{
	cleanup(free_ptr) char *host = NULL;
	struct connection *connection;
	struct address parsed;

	(void)pool;
	if (!address_parse(&parsed, address))
		return NULL;
	host = address_host(&parsed);
	connection = xcalloc(1, sizeof(*connection));
	list_init(&connection->node);
	connection->address = xstrdup(address);
	connection->fd = -1;
	connection->session =
		ne_session_create("http", host, address_port(&parsed));
	ne_hook_close_conn(connection->session, note_closed, connection);
	return connection;
}

/* An idle connection that is readable has been closed, or is out of step. */
static bool is_quiet(const struct connection *connection)
{
	struct pollfd fd = { .fd = connection->fd,
			     .events = POLLIN | POLLRDHUP };

	return poll(&fd, 1, 0) == 0;
}

static struct connection *take_idle(struct pool *pool, const char *address)
{
	int64_t oldest_us = edge_now_us() - pool->idle_us;
	struct connection *connection = NULL;
	struct connection *found = NULL;
	struct pool_address *at;
	struct list stale;

	list_init(&stale);
	pthread_mutex_lock(&pool->lock);
	at = find_address(pool, address);
	while (at && !found && at->n_idle) {
		connection = list_first(&at->idle, struct connection, node);
		take_out(pool, at, connection);
		if (connection->idle_since_us >= oldest_us &&
		    is_quiet(connection))
			found = connection;
		else
			list_append(&stale, &connection->node);
	}
	if (at && !at->n_idle)
		forget_address(pool, at);
	pthread_mutex_unlock(&pool->lock);
	close_all(&stale);
	return found;
}

struct connection *pool_take(struct pool *pool, const char *address)
{
	struct connection *connection = take_idle(pool, address);

	if (!connection)
		return pool_open(pool, address);
	edge_count(&pool->counters->reused);
	return connection;
}

/* Beyond the bounds the one that has been idle longest goes. */
static struct connection *push_out(struct pool *pool, struct pool_address *at)
{
	struct connection *oldest = NULL;

	if (at->n_idle <= POOL_IDLE_BY_ADDRESS &&
	    pool->n_idle <= pool->idle_total)
		return NULL;
	oldest = list_last(&at->idle, struct connection, node);
	take_out(pool, at, oldest);
	return oldest;
}

static struct pool_address *add_address(struct pool *pool, const char *address)
{
	struct pool_address *at = xcalloc(1, sizeof(*at));

	at->address = xstrdup(address);
	list_init(&at->idle);
	map_insert(&pool->addresses, &at->node, map_hash_text(address));
	return at;
}

void pool_put(struct pool *pool, struct connection *connection)
{
	struct connection *pushed_out;
	struct pool_address *at;

	connection->reused = true;
	connection->idle_since_us = edge_now_us();
	pthread_mutex_lock(&pool->lock);
	at = find_address(pool, connection->address);
	if (!at)
		at = add_address(pool, connection->address);
	list_prepend(&at->idle, &connection->node);
	at->n_idle++;
	pool->n_idle++;
	pushed_out = push_out(pool, at);
	if (!at->n_idle)
		forget_address(pool, at);
	pthread_mutex_unlock(&pool->lock);
	if (pushed_out)
		connection_close(pushed_out);
}

static void empty_address(struct pool *pool, struct pool_address *at,
			  struct list *out)
{
	struct connection *connection;
	struct connection *next;

	list_foreach_safe(connection, next, &at->idle, node) {
		take_out(pool, at, connection);
		list_append(out, &connection->node);
		edge_count(&pool->counters->distrusted);
	}
	forget_address(pool, at);
}

void pool_distrust(struct pool *pool, const char *address)
{
	struct pool_address *at;
	struct list out;

	list_init(&out);
	pthread_mutex_lock(&pool->lock);
	at = find_address(pool, address);
	if (at)
		empty_address(pool, at, &out);
	pthread_mutex_unlock(&pool->lock);
	close_all(&out);
}

/* The longest idle stand last. */
static void expire_address(struct pool *pool, struct pool_address *at,
			   int64_t oldest_us, struct list *out)
{
	struct connection *connection;

	while ((connection = list_last(&at->idle, struct connection, node)) &&
	       connection->idle_since_us < oldest_us) {
		take_out(pool, at, connection);
		list_append(out, &connection->node);
	}
	if (!at->n_idle)
		forget_address(pool, at);
}

bool pool_expire(struct pool *pool)
{
	int64_t oldest_us = edge_now_us() - pool->idle_us;
	struct pool_address *at;
	struct pool_address *next;
	struct list out;
	bool some;

	list_init(&out);
	pthread_mutex_lock(&pool->lock);
	map_foreach(at, next, &pool->addresses, node)
		expire_address(pool, at, oldest_us, &out);
	some = pool->n_idle > 0;
	pthread_mutex_unlock(&pool->lock);
	close_all(&out);
	return some;
}

void pool_clear(struct pool *pool)
{
	struct pool_address *at;
	struct pool_address *next;
	struct list out;

	list_init(&out);
	map_foreach(at, next, &pool->addresses, node)
		empty_address(pool, at, &out);
	close_all(&out);
	map_clear(&pool->addresses);
	pthread_mutex_destroy(&pool->lock);
}
