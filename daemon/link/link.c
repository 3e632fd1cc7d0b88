#include "daemon/link/link.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/descriptors.h"
#include "daemon/link/link_private.h"

#define TICK_MS 50
#define EVENTS_AT_ONCE 64
#define BACKLOG 256
#define KEY_BYTES 32

/* All daemons of a site hold the same key; who is who the hello tells. */
static const char key_name[] = "filberthall";

enum command_kind { COMMAND_SEND, COMMAND_OPEN, COMMAND_CLOSE, COMMAND_SEED };

/** What another thread asked for. */
struct command {
	struct list node;
	enum command_kind kind;
	uint64_t member;
	struct link_message *message;
	char *address;
};

static int find_key(gnutls_session_t session, const char *name,
		    gnutls_datum_t *key)
{
	struct link_hub *hub = gnutls_session_get_ptr(session);

	if (strcmp(name, key_name) != 0)
		return -1;
	key->data = gnutls_malloc(hub->key.size);
	if (!key->data)
		return -1;
	memcpy(key->data, hub->key.data, hub->key.size);
	key->size = hub->key.size;
	return 0;
}

static void add_seed(struct link_hub *hub, const char *address)
{
	struct link_dial *dial;

	list_foreach(dial, &hub->dials, node)
		if (dial->seed && !strcmp(dial->text, address))
			return;
	dial = link_dial_add(hub, address, 0);
	if (dial)
		dial->seed = true;
}

static void run_command(struct link_hub *hub, struct command *command)
{
	struct link_dial *dial;
	struct link_dial *next;
	struct link_peer *peer;

	if (command->kind == COMMAND_SEND) {
		link_peer_queue(hub, command->member, command->message);
		return;
	}
	if (command->kind == COMMAND_SEED) {
		add_seed(hub, command->address);
		return;
	}
	list_foreach_safe(dial, next, &hub->dials, node)
		if (!dial->seed && dial->member == command->member)
			link_dial_remove(dial);
	peer = link_peer_find(hub, command->member);
	if (command->kind == COMMAND_OPEN)
		link_dial_add(hub, command->address, command->member);
	else if (peer)
		link_peer_forget(hub, peer);
}

static void run_commands(struct link_hub *hub, bool *stopping)
{
	struct command *command;
	eventfd_t ignored;

	eventfd_read(hub->wake, &ignored);
	pthread_mutex_lock(&hub->lock);
	while ((command = list_first(&hub->commands, struct command, node))) {
		list_remove(&command->node);
		pthread_mutex_unlock(&hub->lock);
		run_command(hub, command);
		free(command->address);
		free(command);
		pthread_mutex_lock(&hub->lock);
	}
	*stopping = hub->stopping;
	pthread_mutex_unlock(&hub->lock);
}

static bool watch(struct link_hub *hub, int fd, void *who)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = who };

	return !epoll_ctl(hub->epoll, EPOLL_CTL_ADD, fd, &event);
}

static bool is_mute(const struct link_conn *conn, int64_t now_us)
{
	return (conn->state == LINK_SECURING || conn->state == LINK_GREETING) &&
	       !conn->dialled && !conn->spoke &&
	       now_us - conn->opened_us > LINK_MUTE_US;
}

/* The connection that has been silent longest from its beginning goes. */
static bool close_mute(void *data)
{
	struct link_hub *hub = data;
	int64_t now_us = edge_now_us();
	struct link_conn *conn;

	list_foreach(conn, &hub->conns, node) {
		if (!is_mute(conn, now_us))
			continue;
		edge_count(&hub->options.counters->link_refused);
		link_conn_close(conn);
		return true;
	}
	return false;
}

/* A listener that stays readable must not keep the thread from sleeping. */
static void rest_listener(struct link_hub *hub)
{
	hub->resting =
		!epoll_ctl(hub->epoll, EPOLL_CTL_DEL, hub->acceptor.fd, NULL);
}

static void watch_listener(struct link_hub *hub)
{
	if (hub->resting)
		hub->resting = !watch(hub, hub->acceptor.fd, &hub->acceptor);
}

static bool always(void *data)
{
	return true;
}

static void take_stranger(void *data, int fd)
{
	struct link_hub *hub = data;

	if (hub->n_strangers >= hub->strangers_most && !close_mute(hub)) {
		edge_count(&hub->options.counters->link_refused);
		close(fd);
		return;
	}
	link_conn_new(hub, fd, NULL);
}

static const struct acceptor_hooks acceptor_hooks = { always, take_stranger,
						      close_mute };

static void accept_some(struct link_hub *hub)
{
	if (!acceptor_take_some(&hub->acceptor, &acceptor_hooks, hub))
		rest_listener(hub);
}

static void tick(struct link_hub *hub, int64_t now_us)
{
	struct link_conn *conn;
	struct link_conn *next_conn;
	struct link_dial *dial;
	struct link_dial *next_dial;

	list_foreach_safe(conn, next_conn, &hub->conns, node)
		link_conn_tick(conn, now_us);
	list_foreach_safe(dial, next_dial, &hub->dials, node)
		link_dial_tick(hub, dial, now_us);
	watch_listener(hub);
}

static void progress(struct link_conn *conn, uint32_t events)
{
	conn->spoke |= (events & EPOLLIN) != 0;
	link_conn_progress(conn);
}

static void serve(struct link_hub *hub, const struct epoll_event *event,
		  bool *stopping)
{
	if (event->data.ptr == &hub->wake)
		run_commands(hub, stopping);
	else if (event->data.ptr == &hub->acceptor)
		accept_some(hub);
	else
		progress(event->data.ptr, event->events);
}

static void note_turn(struct link_hub *hub, int64_t took_us)
{
	if (took_us > atomic_load(&hub->turn_most_us))
		atomic_store(&hub->turn_most_us, took_us);
}

static void *link_run(void *data)
{
	struct epoll_event events[EVENTS_AT_ONCE];
	struct link_hub *hub = data;
	int64_t ticked_us = 0;
	bool stopping = false;
	int64_t woken_us;
	int64_t now_us;
	int n;
	int i;

	while (!stopping) {
		n = epoll_wait(hub->epoll, events, EVENTS_AT_ONCE, TICK_MS);
		woken_us = edge_now_us();
		for (i = 0; i < n; i++)
			serve(hub, &events[i], &stopping);
		now_us = edge_now_us();
		if (now_us - ticked_us >= TICK_MS * 1000) {
			ticked_us = now_us;
			tick(hub, now_us);
		}
		link_conn_reap(hub);
		note_turn(hub, edge_now_us() - woken_us);
	}
	return NULL;
}

static void command_post(struct link_hub *hub, struct command *command)
{
	pthread_mutex_lock(&hub->lock);
	list_append(&hub->commands, &command->node);
	pthread_mutex_unlock(&hub->lock);
	eventfd_write(hub->wake, 1);
}

static struct command *command_new(enum command_kind kind, uint64_t member)
{
	struct command *command = xcalloc(1, sizeof(*command));

	command->kind = kind;
	command->member = member;
	return command;
}

void link_send(struct link_hub *hub, const struct effect_send *send)
{
	struct command *command;

	if (send->body.len > LINK_FRAME_BYTES || send->channel < LINK_RAFT ||
	    send->channel >= LINK_CHANNELS) {
		edge_count(&hub->options.counters->link_dropped);
		return;
	}
	command = command_new(COMMAND_SEND, send->peer);
	command->message = xcalloc(1, sizeof(*command->message));
	command->message->channel = send->channel;
	link_frame_add_message(&command->message->frame, send->channel,
			       &send->body);
	command_post(hub, command);
}

void link_taken(struct link_hub *hub, size_t len)
{
	pthread_mutex_lock(&hub->lock);
	memory_hold(&hub->inbox, hub->inbox.bytes - len);
	pthread_mutex_unlock(&hub->lock);
}

void link_open(struct link_hub *hub, const struct effect_link_open *open)
{
	struct command *command = command_new(COMMAND_OPEN, open->peer);

	command->address = xstrdup(open->address);
	command_post(hub, command);
}

void link_close(struct link_hub *hub, const struct effect_link_close *close)
{
	command_post(hub, command_new(COMMAND_CLOSE, close->peer));
}

void link_add_seed(struct link_hub *hub, const char *address)
{
	struct command *command = command_new(COMMAND_SEED, 0);

	command->address = xstrdup(address);
	command_post(hub, command);
}

int link_port(const struct link_hub *hub)
{
	return hub->acceptor.port;
}

static void read_all(uint64_t *to, const atomic_uint_fast64_t *from)
{
	int i;

	for (i = 0; i < LINK_CHANNELS; i++)
		to[i] = atomic_load(&from[i]);
}

int link_open_connections(const struct link_hub *hub)
{
	return atomic_load(&hub->n_conns);
}

void link_read_statistics(struct link_hub *hub,
			  struct link_statistics *statistics)
{
	read_all(statistics->messages_in, hub->messages_in);
	read_all(statistics->messages_out, hub->messages_out);
	read_all(statistics->bytes_in, hub->bytes_in);
	read_all(statistics->bytes_out, hub->bytes_out);
	statistics->accepted = acceptor_view(&hub->acceptor);
	statistics->open = link_open_connections(hub);
	statistics->turn_most_us = atomic_exchange(&hub->turn_most_us, 0);
}

static void set_key(struct link_hub *hub, const void *secret, size_t len)
{
	hub->key.data = xcalloc(1, KEY_BYTES);
	hub->key.size = KEY_BYTES;
	crypto_generichash(hub->key.data, KEY_BYTES, secret, len, NULL, 0);
	gnutls_psk_allocate_server_credentials(&hub->server_key);
	gnutls_psk_set_server_credentials_function(hub->server_key, find_key);
	gnutls_psk_allocate_client_credentials(&hub->client_key);
	gnutls_psk_set_client_credentials(hub->client_key, key_name, &hub->key,
					  GNUTLS_PSK_KEY_RAW);
}

static void drop_key(struct link_hub *hub)
{
	gnutls_psk_free_server_credentials(hub->server_key);
	gnutls_psk_free_client_credentials(hub->client_key);
	sodium_memzero(hub->key.data, hub->key.size);
	free(hub->key.data);
}

static void set_hello(struct link_hub *hub, const struct address *listen)
{
	const struct link_options *options = &hub->options;
	char *host = address_host(listen);

	hub->hello.version = LINK_VERSION;
	hub->hello.site = xstrdup(options->site);
	hub->hello.vm = xstrdup(options->vm);
	hub->hello.zone = xstrdup(options->zone);
	hub->hello.member = options->self;
	hub->hello.incarnation = options->incarnation;
	hub->hello.observer = options->observer;
	hub->hello.address =
		options->address ? xstrdup(options->address)
				 : xstrfmt("%s:%d", host, hub->acceptor.port);
	free(host);
}

static bool open_sockets(struct link_hub *hub, const struct address *listen)
{
	hub->epoll = epoll_create1(EPOLL_CLOEXEC);
	hub->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return hub->epoll >= 0 && hub->wake >= 0 &&
	       acceptor_open(&hub->acceptor, listen, BACKLOG) &&
	       watch(hub, hub->wake, &hub->wake) &&
	       watch(hub, hub->acceptor.fd, &hub->acceptor);
}

static void add_seeds(struct link_hub *hub, const struct link_options *options)
{
	int i;

	for (i = 0; i < options->n_seeds; i++)
		add_seed(hub, options->seeds[i]);
}

static struct link_hub *hub_new(const struct link_options *options)
{
	struct link_hub *hub = xcalloc(1, sizeof(*hub));

	hub->options = *options;
	hub->options.site = xstrdup(options->site);
	hub->epoll = hub->wake = hub->acceptor.fd = -1;
	hub->strangers_most = descriptors_for_strangers(LINK_STRANGERS);
	hub->rng.state = options->self ^ options->incarnation;
	hub->inbox = memory_claim(options->memory, MEMORY_LINKS);
	pthread_mutex_init(&hub->lock, NULL);
	list_init(&hub->commands);
	list_init(&hub->conns);
	list_init(&hub->dials);
	map_init(&hub->peers);
	if (options->secret)
		set_key(hub, options->secret, options->secret_len);
	return hub;
}

struct link_hub *link_start(const struct link_options *options,
			    const struct error_handler *handler)
{
	struct link_hub *hub = hub_new(options);
	struct address listen;

	if (!address_parse(&listen, options->listen)) {
		error_report(handler, RESULT_SETTING_VALUE,
			     "%s: not an address IP:port", options->listen);
		goto fail;
	}
	if (!open_sockets(hub, &listen)) {
		error_report(handler, RESULT_SETTING_VALUE, "%s: %s",
			     options->listen, strerror(errno));
		goto fail;
	}
	set_hello(hub, &listen);
	add_seeds(hub, options);
	hub->started = !pthread_create(&hub->thread, NULL, link_run, hub);
	if (hub->started)
		return hub;
	error_report(handler, RESULT_SETTING_VALUE,
		     "the thread of the links can't be started");

fail:
	link_stop(hub);
	return NULL;
}

static void drop_commands(struct link_hub *hub)
{
	struct command *command;

	while ((command = list_first(&hub->commands, struct command, node))) {
		list_remove(&command->node);
		if (command->message)
			link_message_free(command->message);
		free(command->address);
		free(command);
	}
}

static void drop_links(struct link_hub *hub)
{
	struct link_conn *conn;
	struct link_dial *dial;
	struct link_dial *next_dial;
	struct link_peer *peer;
	struct link_peer *next_peer;

	list_foreach(conn, &hub->conns, node)
		link_conn_close(conn);
	link_conn_reap(hub);
	list_foreach_safe(dial, next_dial, &hub->dials, node)
		link_dial_remove(dial);
	map_foreach(peer, next_peer, &hub->peers, node)
		link_peer_forget(hub, peer);
	map_clear(&hub->peers);
}

static void close_if_open(int fd)
{
	if (fd >= 0)
		close(fd);
}

void link_stop(struct link_hub *hub)
{
	if (hub->started) {
		pthread_mutex_lock(&hub->lock);
		hub->stopping = true;
		pthread_mutex_unlock(&hub->lock);
		eventfd_write(hub->wake, 1);
		pthread_join(hub->thread, NULL);
	}
	drop_links(hub);
	drop_commands(hub);
	memory_release(&hub->inbox);
	close_if_open(hub->epoll);
	close_if_open(hub->wake);
	acceptor_close(&hub->acceptor);
	if (hub->key.data)
		drop_key(hub);
	link_hello_clear(&hub->hello);
	free((char *)hub->options.site);
	pthread_mutex_destroy(&hub->lock);
	free(hub);
}
