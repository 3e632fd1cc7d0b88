#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/link/link_private.h"

/* Frames are handed to TLS in lots of this size. */
#define OUT_BYTES (64 * 1024)
#define RECORD_BYTES (16 * 1024)

/* An empty buffer that is larger is given back. */
#define KEPT_BYTES 4096

/* One busy peer must not keep the thread from the others. */
#define READS_AT_ONCE 16

static const char priorities[] =
	"NORMAL:-VERS-ALL:+VERS-TLS1.3:-KX-ALL:+ECDHE-PSK";

static bool watch(struct link_conn *conn, int operation)
{
	struct epoll_event event = {
		.events = EPOLLIN | (conn->wants_write ? EPOLLOUT : 0),
		.data.ptr = conn,
	};

	return !epoll_ctl(conn->hub->epoll, operation, conn->fd, &event);
}

static void want_write(struct link_conn *conn, bool wanted)
{
	if (conn->wants_write == wanted)
		return;
	conn->wants_write = wanted;
	if (!watch(conn, EPOLL_CTL_MOD))
		link_conn_close(conn);
}

static void set_socket_options(int fd)
{
	unsigned int silence_ms = LINK_SILENCE_US / 1000;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* Bytes that nobody acknowledges end the connection. */
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		   sizeof(silence_ms));
}

static void set_tls(struct link_conn *conn)
{
	struct link_hub *hub = conn->hub;

	gnutls_init(&conn->tls,
		    (conn->dialled ? GNUTLS_CLIENT : GNUTLS_SERVER) |
			    GNUTLS_NONBLOCK | GNUTLS_NO_TICKETS);
	gnutls_priority_set_direct(conn->tls, priorities, NULL);
	if (conn->dialled)
		gnutls_credentials_set(conn->tls, GNUTLS_CRD_PSK,
				       hub->client_key);
	else
		gnutls_credentials_set(conn->tls, GNUTLS_CRD_PSK,
				       hub->server_key);
	gnutls_session_set_ptr(conn->tls, hub);
	gnutls_transport_set_int(conn->tls, conn->fd);
}

struct link_conn *link_conn_new(struct link_hub *hub, int fd,
				struct link_dial *dial)
{
	struct link_conn *conn = xcalloc(1, sizeof(*conn));

	conn->hub = hub;
	conn->fd = fd;
	conn->dial = dial;
	conn->dialled = dial != NULL;
	conn->state = dial ? LINK_CONNECTING : LINK_SECURING;
	conn->opened_us = edge_now_us();
	conn->heard_us = conn->opened_us;
	conn->wants_write = true;
	if (!watch(conn, EPOLL_CTL_ADD)) {
		close(fd);
		free(conn);
		return NULL;
	}
	set_socket_options(fd);
	if (hub->key.data)
		set_tls(conn);
	conn->claim = memory_claim(hub->options.memory, MEMORY_LINKS);
	memory_hold(&conn->claim, sizeof(*conn));
	list_append(&hub->conns, &conn->node);
	atomic_fetch_add(&hub->n_conns, 1);
	hub->n_strangers++;
	return conn;
}

void link_conn_close(struct link_conn *conn)
{
	struct link_dial *dial = conn->dial;
	bool worked = conn->state == LINK_UP;

	if (conn->state == LINK_DEAD)
		return;
	if (!worked)
		conn->hub->n_strangers--;
	conn->state = LINK_DEAD;
	conn->dial = NULL;
	close(conn->fd);
	if (dial)
		link_dial_ended(conn->hub, dial, worked);
	if (conn->peer)
		link_peer_lost(conn);
}

void link_conn_reap(struct link_hub *hub)
{
	struct link_conn *conn;
	struct link_conn *next;

	list_foreach_safe(conn, next, &hub->conns, node) {
		if (conn->state != LINK_DEAD)
			continue;
		list_remove(&conn->node);
		atomic_fetch_sub(&hub->n_conns, 1);
		if (conn->tls)
			gnutls_deinit(conn->tls);
		bytes_clear(&conn->in);
		bytes_clear(&conn->out);
		memory_release(&conn->claim);
		free(conn);
	}
}

static void refuse(struct link_conn *conn)
{
	edge_count(&conn->hub->options.counters->link_refused);
	link_conn_close(conn);
}

static bool finish_connect(struct link_conn *conn)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		link_conn_close(conn);
		return false;
	}
	conn->state = LINK_SECURING;
	return true;
}

static void give_back(struct bytes *bytes)
{
	if (!bytes->len && bytes->capacity > KEPT_BYTES)
		bytes_clear(bytes);
}

/* False if there is no memory for what the connection holds. */
static bool claim_buffers(struct link_conn *conn)
{
	give_back(&conn->in);
	give_back(&conn->out);
	return memory_ask(&conn->claim, sizeof(*conn) + conn->in.capacity +
						conn->out.capacity);
}

static void greet(struct link_conn *conn)
{
	conn->state = LINK_GREETING;
	link_frame_add_hello(&conn->out, &conn->hub->hello);
}

/* Both ends prove the key here; a stranger gets no further. */
static bool secure(struct link_conn *conn)
{
	int ret;

	if (!conn->tls) {
		greet(conn);
		return true;
	}
	ret = gnutls_handshake(conn->tls);
	if (ret == GNUTLS_E_AGAIN || ret == GNUTLS_E_INTERRUPTED) {
		want_write(conn, gnutls_record_get_direction(conn->tls));
		return false;
	}
	if (ret < 0 && !gnutls_error_is_fatal(ret))
		return false;
	if (ret < 0) {
		refuse(conn);
		return false;
	}
	greet(conn);
	return true;
}

static size_t unsent(const struct link_conn *conn)
{
	return conn->out.len - conn->out_at;
}

/*
 * Bytes before `out_at` stay until they are half of the buffer. Were the rest
 * moved to the front after each record, a frame of 4 MB would have 500 MB
 * moved, and the thread would hear nobody meanwhile.
 */
static void sent(struct link_conn *conn, size_t n)
{
	conn->out_at += n;
	if (conn->out_at * 2 < conn->out.len)
		return;
	bytes_consume(&conn->out, conn->out_at);
	conn->out_at = 0;
}

static void fill_out(struct link_conn *conn)
{
	struct link_hub *hub = conn->hub;
	struct link_peer *peer = conn->peer;
	struct link_message *message;

	while (conn->state == LINK_UP && unsent(conn) < OUT_BYTES &&
	       (message =
			list_first(&peer->queue, struct link_message, node))) {
		link_peer_took(peer, message);
		bytes_append(&conn->out, message->frame.data,
			     message->frame.len);
		edge_count(&hub->messages_out[message->channel]);
		edge_count_many(&hub->bytes_out[message->channel],
				message->frame.len);
		link_message_free(message);
	}
}

/* What a socket call returned, in the terms of TLS. */
static ssize_t clear_result(ssize_t n)
{
	if (n >= 0)
		return n;
	if (errno == EAGAIN || errno == EWOULDBLOCK)
		return GNUTLS_E_AGAIN;
	return errno == EINTR ? GNUTLS_E_INTERRUPTED : GNUTLS_E_PUSH_ERROR;
}

static ssize_t send_piece(struct link_conn *conn)
{
	const char *data = conn->out.data + conn->out_at;
	size_t len = unsent(conn);

	if (!conn->tls)
		return clear_result(send(conn->fd, data, len, MSG_NOSIGNAL));
	if (conn->flushing)
		return gnutls_record_send(conn->tls, NULL, 0);
	return gnutls_record_send(conn->tls, data,
				  len < RECORD_BYTES ? len : RECORD_BYTES);
}

void link_conn_send(struct link_conn *conn)
{
	ssize_t n;

	if (conn->state != LINK_UP && conn->state != LINK_GREETING)
		return;
	fill_out(conn);
	while (unsent(conn)) {
		n = send_piece(conn);
		if (n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED) {
			conn->flushing = conn->tls != NULL;
			want_write(conn, true);
			return;
		}
		if (n < 0) {
			link_conn_close(conn);
			return;
		}
		conn->flushing = false;
		conn->sent_us = edge_now_us();
		edge_count_many(&conn->hub->options.counters->link_bytes_out,
				n);
		sent(conn, (size_t)n);
		fill_out(conn);
	}
	want_write(conn, false);
	claim_buffers(conn);
}

static bool claim_inbox(struct link_hub *hub, size_t len)
{
	bool granted;

	pthread_mutex_lock(&hub->lock);
	granted = memory_ask(&hub->inbox, hub->inbox.bytes + len);
	pthread_mutex_unlock(&hub->lock);
	return granted;
}

static void take_message(struct link_conn *conn, const struct link_frame *frame)
{
	struct link_hub *hub = conn->hub;
	struct event *event;

	/* Whoever sent it sends it again, as on a link that was down. */
	if (!claim_inbox(hub, frame->body_len)) {
		edge_count(&hub->options.counters->link_dropped);
		return;
	}
	event = event_new(EVENT_LINK_MESSAGE);
	event->u.link_message.peer = conn->peer->member;
	event->u.link_message.channel = frame->channel;
	bytes_append(&event->u.link_message.body, frame->body, frame->body_len);
	edge_count(&hub->messages_in[frame->channel]);
	edge_count_many(&hub->bytes_in[frame->channel], frame->body_len);
	hub->options.sink->post(hub->options.sink->data, event);
}

static void take_frame(struct link_conn *conn, struct link_frame *frame)
{
	if (conn->state == LINK_GREETING && frame->kind == LINK_FRAME_HELLO)
		link_peer_greet(conn, &frame->hello);
	else if (conn->state != LINK_UP || frame->kind == LINK_FRAME_HELLO)
		refuse(conn);
	else if (frame->kind == LINK_FRAME_MESSAGE)
		take_message(conn, frame);
}

static void take_frames(struct link_conn *conn)
{
	struct link_frame frame;
	size_t used = 1;
	size_t at = 0;
	enum result code;

	while (used && conn->state != LINK_DEAD) {
		/* A stranger has nothing to say but who it is. */
		code = link_frame_read(&frame, conn->in.data + at,
				       conn->in.len - at,
				       conn->state == LINK_UP
					       ? LINK_FRAME_MOST_BYTES
					       : LINK_HELLO_BYTES,
				       &used);
		if (code)
			refuse(conn);
		else if (used)
			take_frame(conn, &frame);
		link_frame_clear(&frame);
		at += used;
	}
	bytes_consume(&conn->in, at);
}

static ssize_t receive_piece(struct link_conn *conn, char *buffer, size_t size)
{
	if (!conn->tls)
		return clear_result(recv(conn->fd, buffer, size, 0));
	return gnutls_record_recv(conn->tls, buffer, size);
}

static bool has_pending(const struct link_conn *conn)
{
	return conn->tls && gnutls_record_check_pending(conn->tls);
}

/* False once there's no more for now. */
static bool read_piece(struct link_conn *conn)
{
	char buffer[RECORD_BYTES];
	ssize_t n = receive_piece(conn, buffer, sizeof(buffer));

	if (n == GNUTLS_E_AGAIN || n == GNUTLS_E_INTERRUPTED)
		return false;
	if (n < 0 && !gnutls_error_is_fatal((int)n))
		return true;
	if (n <= 0) {
		link_conn_close(conn);
		return false;
	}
	conn->heard_us = edge_now_us();
	edge_count_many(&conn->hub->options.counters->link_bytes_in, n);
	bytes_append(&conn->in, buffer, n);
	take_frames(conn);
	if (conn->state != LINK_DEAD && !claim_buffers(conn))
		refuse(conn);
	return conn->state != LINK_DEAD;
}

static void receive(struct link_conn *conn)
{
	int i;

	for (i = 0; i < READS_AT_ONCE || has_pending(conn); i++)
		if (!read_piece(conn))
			return;
}

void link_conn_progress(struct link_conn *conn)
{
	if (conn->state == LINK_CONNECTING && !finish_connect(conn))
		return;
	if (conn->state == LINK_SECURING && !secure(conn))
		return;
	if (conn->state == LINK_DEAD)
		return;
	link_conn_send(conn);
	if (conn->state != LINK_DEAD)
		receive(conn);
}

bool link_is_overdue(enum link_state state, int64_t opened_us, int64_t heard_us,
		     int64_t now_us)
{
	switch (state) {
	case LINK_CONNECTING:
		return now_us - opened_us > LINK_CONNECT_US;
	case LINK_SECURING:
	case LINK_GREETING:
		return now_us - opened_us > LINK_HANDSHAKE_US;
	case LINK_UP:
		return now_us - heard_us > LINK_SILENCE_US;
	case LINK_DEAD:
		break;
	}
	return false;
}

void link_conn_tick(struct link_conn *conn, int64_t now_us)
{
	/*
	 * The silence may be this thread's own: while it sends a large message
	 * or waits for a processor, heartbeats lie unread in the socket.
	 */
	if (conn->state == LINK_UP &&
	    link_is_overdue(conn->state, conn->opened_us, conn->heard_us,
			    now_us))
		receive(conn);
	if (link_is_overdue(conn->state, conn->opened_us, conn->heard_us,
			    now_us)) {
		link_conn_close(conn);
		return;
	}
	if (conn->state != LINK_UP)
		return;
	if (now_us - conn->sent_us < LINK_HEARTBEAT_US || unsent(conn))
		return;
	link_frame_add_heartbeat(&conn->out);
	link_conn_send(conn);
}
