#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/link/link_private.h"

static bool peer_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct link_peer, node)->member ==
	       *(const uint64_t *)key;
}

struct link_peer *link_peer_find(struct link_hub *hub, uint64_t member)
{
	struct map_node *node;

	node = map_find(&hub->peers, map_hash(&member, sizeof(member)),
			peer_match, &member);
	return node ? container_of(node, struct link_peer, node) : NULL;
}

static struct link_peer *peer_add(struct link_hub *hub, uint64_t member)
{
	struct link_peer *peer = xcalloc(1, sizeof(*peer));

	peer->member = member;
	peer->claim = memory_claim(hub->options.memory, MEMORY_LINKS);
	list_init(&peer->queue);
	map_insert(&hub->peers, &peer->node, map_hash(&member, sizeof(member)));
	return peer;
}

void link_message_free(struct link_message *message)
{
	bytes_clear(&message->frame);
	free(message);
}

void link_peer_took(struct link_peer *peer, struct link_message *message)
{
	list_remove(&message->node);
	peer->queued_bytes -= message->frame.len;
	if (peer->claim.bytes > peer->queued_bytes)
		memory_hold(&peer->claim, peer->queued_bytes);
}

static void drop_oldest(struct link_hub *hub, struct link_peer *peer)
{
	struct link_message *oldest =
		list_first(&peer->queue, struct link_message, node);

	link_peer_took(peer, oldest);
	link_message_free(oldest);
	edge_count(&hub->options.counters->link_dropped);
}

void link_peer_queue(struct link_hub *hub, uint64_t member,
		     struct link_message *message)
{
	struct link_peer *peer = link_peer_find(hub, member);

	/* While a link is down its messages are lost; senders repeat them. */
	if (!peer || !peer->conn) {
		edge_count(&hub->options.counters->link_dropped);
		link_message_free(message);
		return;
	}
	list_append(&peer->queue, &message->node);
	peer->queued_bytes += message->frame.len;
	while (peer->queued_bytes > LINK_QUEUE_BYTES ||
	       !memory_ask(&peer->claim, peer->queued_bytes))
		drop_oldest(hub, peer);
	link_conn_send(peer->conn);
}

static void drop_queue(struct link_peer *peer)
{
	struct link_message *message;
	struct link_message *next;

	list_foreach_safe(message, next, &peer->queue, node) {
		list_remove(&message->node);
		link_message_free(message);
	}
	peer->queued_bytes = 0;
	memory_release(&peer->claim);
}

static void post(struct link_hub *hub, struct event *event)
{
	hub->options.sink->post(hub->options.sink->data, event);
}

static void tell_up(struct link_hub *hub, const struct link_hello *hello)
{
	struct event *event = event_new(EVENT_LINK_UP);

	event->u.link_up.peer = hello->member;
	event->u.link_up.name = xstrdup(hello->vm);
	event->u.link_up.zone = xstrdup(hello->zone);
	event->u.link_up.address = xstrdup(hello->address);
	event->u.link_up.observer = hello->observer;
	post(hub, event);
}

static void tell_down(struct link_hub *hub, uint64_t member)
{
	struct event *event = event_new(EVENT_LINK_DOWN);

	event->u.link_down.peer = member;
	post(hub, event);
}

void link_peer_lost(struct link_conn *conn)
{
	struct link_peer *peer = conn->peer;

	conn->peer = NULL;
	if (peer->conn != conn)
		return;
	peer->conn = NULL;
	drop_queue(peer);
	tell_down(conn->hub, peer->member);
}

void link_peer_forget(struct link_hub *hub, struct link_peer *peer)
{
	if (peer->conn)
		link_conn_close(peer->conn);
	drop_queue(peer);
	map_remove(&hub->peers, &peer->node);
	free(peer);
}

/* What dialled the connection tells who should keep it: the lower id. */
static bool is_preferred(const struct link_conn *conn, uint64_t member)
{
	return conn->dialled == (conn->hub->options.self < member);
}

/*
 * Both ends dialled at once, or the peer was restarted and its old connection
 * hasn't been missed yet. Both ends must keep the same one.
 */
static bool settle(struct link_conn *conn, struct link_peer *peer,
		   const struct link_hello *hello)
{
	struct link_conn *old = peer->conn;

	if (!old)
		return true;
	if (peer->incarnation == hello->incarnation &&
	    (is_preferred(old, peer->member) ||
	     !is_preferred(conn, peer->member)))
		return false;
	if (peer->incarnation == hello->incarnation) {
		/* The same process goes on over another connection. */
		peer->conn = NULL;
		old->peer = NULL;
	}
	link_conn_close(old);
	return true;
}

static bool is_welcome(struct link_conn *conn, const struct link_hello *hello)
{
	struct link_hub *hub = conn->hub;

	const struct link_dial *dial = conn->dial;
	bool named = !dial || dial->seed || dial->member == hello->member;

	if (hello->version == LINK_VERSION && hello->member && named &&
	    !strcmp(hello->site, hub->options.site) &&
	    hello->member != hub->options.self)
		return true;
	if (hello->member != hub->options.self ||
	    hello->incarnation != hub->options.incarnation)
		edge_count(&hub->options.counters->link_refused);
	else if (conn->dial)
		conn->dial->self = true;
	return false;
}

void link_peer_greet(struct link_conn *conn, struct link_hello *hello)
{
	struct link_hub *hub = conn->hub;
	struct link_peer *peer;
	bool was_up;

	if (!is_welcome(conn, hello)) {
		link_conn_close(conn);
		return;
	}
	peer = link_peer_find(hub, hello->member);
	if (!peer)
		peer = peer_add(hub, hello->member);
	if (conn->dial)
		conn->dial->member = hello->member;
	was_up = peer->conn && peer->incarnation == hello->incarnation;
	if (!settle(conn, peer, hello)) {
		link_conn_close(conn);
		return;
	}
	hub->n_strangers--;
	conn->state = LINK_UP;
	conn->peer = peer;
	peer->conn = conn;
	peer->incarnation = hello->incarnation;
	if (!was_up)
		tell_up(hub, hello);
	link_conn_send(conn);
}

struct link_dial *link_dial_add(struct link_hub *hub, const char *text,
				uint64_t member)
{
	struct link_dial *dial;
	struct address address;

	if (!address_parse(&address, text))
		return NULL;
	dial = xcalloc(1, sizeof(*dial));
	dial->address = address;
	dial->text = xstrdup(text);
	dial->member = member;
	dial->backoff_us = LINK_DIAL_FIRST_US;
	list_append(&hub->dials, &dial->node);
	return dial;
}

void link_dial_remove(struct link_dial *dial)
{
	if (dial->conn)
		dial->conn->dial = NULL;
	list_remove(&dial->node);
	free(dial->text);
	free(dial);
}

/* Jitter keeps two daemons from dialling each other in step for ever. */
void link_dial_ended(struct link_hub *hub, struct link_dial *dial, bool worked)
{
	if (worked)
		dial->backoff_us = LINK_DIAL_FIRST_US;
	dial->conn = NULL;
	dial->next_us =
		edge_now_us() + dial->backoff_us / 2 +
		(int64_t)rng_below(&hub->rng, (uint64_t)dial->backoff_us);
	dial->backoff_us *= 2;
	if (dial->backoff_us > LINK_DIAL_LAST_US)
		dial->backoff_us = LINK_DIAL_LAST_US;
}

/* Another dial, or the peer itself, may have connected us. */
static bool is_covered(struct link_hub *hub, const struct link_dial *dial)
{
	const struct link_peer *peer = link_peer_find(hub, dial->member);
	const struct link_dial *other;

	if (dial->self || dial->conn || (peer && peer->conn))
		return true;
	if (!dial->seed || !dial->member)
		return false;
	list_foreach(other, &hub->dials, node)
		if (!other->seed && other->member == dial->member)
			return true;
	return false;
}

void link_dial_tick(struct link_hub *hub, struct link_dial *dial,
		    int64_t now_us)
{
	int fd;

	if (now_us < dial->next_us || is_covered(hub, dial))
		return;
	fd = socket(dial->address.storage.ss_family,
		    SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0) {
		link_dial_ended(hub, dial, false);
		return;
	}
	if (connect(fd, (const struct sockaddr *)&dial->address.storage,
		    dial->address.len) &&
	    errno != EINPROGRESS) {
		close(fd);
		link_dial_ended(hub, dial, false);
		return;
	}
	dial->conn = link_conn_new(hub, fd, dial);
	if (!dial->conn)
		link_dial_ended(hub, dial, false);
}
