#ifndef FILBERTHALL_DAEMON_LINK_H
#define FILBERTHALL_DAEMON_LINK_H

#include "base/error.h"
#include "core/effect.h"
#include "daemon/acceptor.h"
#include "daemon/edge.h"
#include "daemon/memory.h"

/**
 * Links between daemons: one TCP connection between each two, msgpack frames
 * under TLS with a pre-shared key, heartbeats. One thread serves them all.
 * Without a key the frames go in the clear, for sites whose network lets
 * nobody else in (docs/SECURITY.md).
 *
 * A link that something in the middle has forgotten looks open for many
 * minutes; without heartbeats a dead peer would go on counting as a voter
 * that hears us. Silence of LINK_SILENCE_US ends a link.
 */
struct link_hub;

#define LINK_HEARTBEAT_US 500000
#define LINK_SILENCE_US 2000000

/** Bytes of one message at most; a snapshot piece fits. */
#define LINK_FRAME_BYTES (4 * 1024 * 1024)

/** Bytes that may wait for one peer; then its oldest messages go. */
#define LINK_QUEUE_BYTES (16 * 1024 * 1024)

struct link_options {
	const char *listen;  /**< IP:port */
	const char *address; /**< IP:port told to peers, NULL: as bound */
	const char *site;
	const char *vm;
	const char *zone;
	uint64_t self; /**< own member id */
	uint64_t incarnation;
	const void *secret; /**< pre-shared key, NULL for links in the clear */
	size_t secret_len;
	bool observer;		  /**< never joins the group */
	const char *const *seeds; /**< IP:port of peers to join by */
	int n_seeds;
	const struct edge_sink *sink;
	struct edge_counters *counters;
	struct memory *memory; /**< that messages are claimed of, or NULL */
};

/**
 * Listen, and dial the seeds. The texts of `options` are copied.
 *
 * Returns NULL after a message to `handler`.
 */
struct link_hub *link_start(const struct link_options *options,
			    const struct error_handler *handler);

/** The port really bound. */
int link_port(const struct link_hub *hub);

/** Bytes of a message have been taken by whoever its event went to. */
void link_taken(struct link_hub *hub, size_t len);

/** Carry out effects; none of these waits for the network. */
void link_send(struct link_hub *hub, const struct effect_send *send);
void link_open(struct link_hub *hub, const struct effect_link_open *open);
void link_close(struct link_hub *hub, const struct effect_link_close *close);

/** Dial another address to join by; nothing happens if it is dialled already. */
void link_add_seed(struct link_hub *hub, const char *address);

/**
 * Messages and bytes by channel since the start, and what the thread of the
 * links did. Reading it begins a new longest turn.
 */
struct link_statistics {
	uint64_t messages_in[LINK_CHANNELS];
	uint64_t messages_out[LINK_CHANNELS];
	uint64_t bytes_in[LINK_CHANNELS];
	uint64_t bytes_out[LINK_CHANNELS];
	struct acceptor_view accepted;
	int open;	      /**< connections, also those being made */
	int64_t turn_most_us; /**< longest turn of the loop since last read */
};

void link_read_statistics(struct link_hub *hub,
			  struct link_statistics *statistics);

/** Connections that are open or being made. */
int link_open_connections(const struct link_hub *hub);

void link_stop(struct link_hub *hub);

#endif
