#ifndef FILBERTHALL_DAEMON_LINK_PRIVATE_H
#define FILBERTHALL_DAEMON_LINK_PRIVATE_H

#include <gnutls/gnutls.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"
#include "daemon/acceptor.h"
#include "daemon/link/link.h"
#include "daemon/link/link_frame.h"

/** Shared by the files of the links only. All but the commands belong to the
 *  link thread. */

/* A TLS handshake and a hello take a few round trips. */
#define LINK_HANDSHAKE_US 2000000

/*
 * Connections that haven't said who they are, where descriptors allow it. After
 * a loss of power all VMs dial at the same moment: with room for 64 only, 96
 * of them needed several rounds of waiting, ever longer ones.
 */
#define LINK_STRANGERS 512

/*
 * A peer that dials sends its first bytes at once. One that has been silent for
 * longer makes room where all places of strangers are taken.
 */
#define LINK_MUTE_US 100000

/*
 * A VM without power doesn't answer the first packet of a connection, and the
 * kernel sends the next one after a second. When all VMs come back from a loss
 * of power, those that were a little earlier waited for that second before they
 * could serve; a new connection finds the other side as soon as it is there.
 */
#define LINK_CONNECT_US 250000

#define LINK_DIAL_FIRST_US 100000
/* A peer that came back is found within about a second and a half. */
#define LINK_DIAL_LAST_US 1000000

enum link_state {
	LINK_CONNECTING, /**< TCP */
	LINK_SECURING,	 /**< TLS handshake */
	LINK_GREETING,	 /**< own hello sent, the peer's awaited */
	LINK_UP,
	LINK_DEAD /**< closed; freed at the end of the round */
};

/** One TCP connection. */
struct link_conn {
	struct list node;
	struct link_hub *hub;
	int fd;
	enum link_state state;
	gnutls_session_t tls;
	struct link_dial *dial; /**< NULL if the peer dialled */
	bool dialled;
	struct link_peer *peer; /**< once greeted */
	struct bytes in;
	struct bytes out;
	size_t out_at; /**< of it, what has been sent */
	struct memory_claim claim;
	bool flushing; /**< TLS holds a piece of `out` already */
	bool wants_write;
	bool spoke; /**< bytes have come */
	int64_t opened_us;
	int64_t heard_us;
	int64_t sent_us;
};

/** An address to keep connected to. */
struct link_dial {
	struct list node;
	struct address address;
	char *text;
	uint64_t member; /**< 0 while unknown */
	bool seed;
	bool self; /**< it turned out to be this daemon */
	struct link_conn *conn;
	int64_t next_us;
	int64_t backoff_us;
};

/** Another daemon that has greeted, or has messages waiting. */
struct link_peer {
	struct map_node node;
	uint64_t member;
	uint64_t incarnation;
	struct link_conn *conn; /**< NULL while down */
	struct list queue;
	size_t queued_bytes;
	struct memory_claim claim; /**< of the queue */
};

/** A message that waits for its peer. */
struct link_message {
	struct list node;
	int64_t channel;
	struct bytes frame;
};

struct link_hub {
	struct link_options options; /**< with texts of its own */
	struct link_hello hello;
	gnutls_datum_t key;
	gnutls_psk_server_credentials_t server_key;
	gnutls_psk_client_credentials_t client_key;
	struct rng rng;
	pthread_t thread;
	bool started;
	int epoll;
	int wake;
	struct acceptor acceptor;
	struct list conns;
	struct list dials;
	struct map peers;
	int n_strangers;
	int strangers_most;
	bool resting; /**< the listener isn't watched */

	pthread_mutex_t lock; /**< guards what follows */
	struct list commands;
	struct memory_claim inbox; /**< of messages that nobody has taken yet */
	bool stopping;

	atomic_uint_fast64_t messages_in[LINK_CHANNELS];
	atomic_uint_fast64_t messages_out[LINK_CHANNELS];
	atomic_uint_fast64_t bytes_in[LINK_CHANNELS];
	atomic_uint_fast64_t bytes_out[LINK_CHANNELS];
	atomic_int n_conns;
	atomic_int_fast64_t turn_most_us; /**< since it was read last */
};

/**
 * A new connection on a socket that is connected or connecting, taken over.
 * NULL, with the socket closed, if the system can't watch it.
 */
struct link_conn *link_conn_new(struct link_hub *hub, int fd,
				struct link_dial *dial);

/** The socket is ready, or there is something to send. */
void link_conn_progress(struct link_conn *conn);

/** Add what waits for the peer, and send. */
void link_conn_send(struct link_conn *conn);

/** Close it; the memory stays until link_conn_reap(). */
void link_conn_close(struct link_conn *conn);

/** Free what has been closed. */
void link_conn_reap(struct link_hub *hub);

/** Heartbeats, silence, handshakes that take too long. */
void link_conn_tick(struct link_conn *conn, int64_t now_us);

/** Whether a connection in that state has had its time and is to be closed. */
bool link_is_overdue(enum link_state state, int64_t opened_us, int64_t heard_us,
		     int64_t now_us);

/** The peer's hello came: settle on one connection to it, or close. */
void link_peer_greet(struct link_conn *conn, struct link_hello *hello);

/** The connection of a peer is gone. */
void link_peer_lost(struct link_conn *conn);

/** A message is no longer in its peer's queue. */
void link_peer_took(struct link_peer *peer, struct link_message *message);

/** Queue a frame, dropping the oldest beyond the bound. Taken over. */
void link_peer_queue(struct link_hub *hub, uint64_t member,
		     struct link_message *message);

/** The peer with that id, or NULL. */
struct link_peer *link_peer_find(struct link_hub *hub, uint64_t member);

/** Drop a peer, its queue and its connection. */
void link_peer_forget(struct link_hub *hub, struct link_peer *peer);

void link_message_free(struct link_message *message);

/** Add an address; NULL if it can't be read. */
struct link_dial *link_dial_add(struct link_hub *hub, const char *address,
				uint64_t member);
void link_dial_remove(struct link_dial *dial);

/** Dial if it's due and not connected already. */
void link_dial_tick(struct link_hub *hub, struct link_dial *dial,
		    int64_t now_us);

/** A connection of this dial ended; `worked` if it had been up. */
void link_dial_ended(struct link_hub *hub, struct link_dial *dial, bool worked);

#endif
