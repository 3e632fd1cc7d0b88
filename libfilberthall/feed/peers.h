#ifndef FILBERTHALL_FEED_PEERS_H
#define FILBERTHALL_FEED_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "core/effect.h"
#include "fleet/registry.h"
#include "load/part.h"
#include "load/poison.h"
#include "load/retry_history.h"

/** Services that a VM can say it doesn't reach. */
#define FEED_LOST_MOST 16

/** Where an entry VM's callers come in, and the services it doesn't reach. */
struct feed_reach {
	char callers[BACKEND_NAME_SIZE]; /**< IP:port, empty if unknown */
	uint64_t lost[FEED_LOST_MOST];	 /**< hashes of names */
	int n_lost;
};

/** The daemons that have a link to us, and what goes to them on LINK_FEED. */
struct feed_peer {
	struct map_node node; /**< by id */
	uint64_t id;
	bool observer;		  /**< an entry VM */
	char vm[RETRY_NAME_SIZE]; /**< its name, if it said so */
	int64_t entry_vms;	  /**< entry VMs that it has told of */
	int64_t number;		  /**< an entry VM's among those here */
	bool fetches;		  /**< waits for the document in force */
	bool marks;	  /**< understands FEED_MARKS and what came with it */
	bool welcomed;	  /**< was told of all servers, or is a newcomer */
	bool newcomer;	  /**< waits for the list of all servers */
	bool changes;	  /**< understands FEED_CHANGE */
	bool evacuations; /**< understands FEED_EVACUATE */
	struct feed_reach reach;       /**< of an entry VM */
	char links[BACKEND_NAME_SIZE]; /**< IP:port of its links, or empty */
	uint64_t zone;		       /**< hash of its name */
	uint64_t neighbours_told;      /**< revision; 0: none */
	double demand;		       /**< of an entry VM, requests lately */
	int64_t demand_us;	       /**< when that was counted */
};

struct feed_peer *feed_peer_find(const struct map *peers, uint64_t id);

/** A link is up: the daemon at its other end, new or known. */
struct feed_peer *feed_peer_up(struct map *peers, uint64_t id, bool observer);

/** The link is down; `peer` is freed. */
void feed_peer_down(struct map *peers, struct feed_peer *peer);

void feed_peers_clear(struct map *peers);

/** Send a copy of a message that a feed_write_*() made. */
void feed_send(struct effects *effects, uint64_t peer,
	       const struct bytes *body);

/** Whom the functions below tell. */
struct feed_audience {
	uint64_t peer;
	int64_t now_us;
	struct effects *effects;
};

/** Send FEED_CRASHES of one request; `data` is a struct feed_audience. */
void feed_send_crashes(void *data, const struct poison_report *report);

/** Send FEED_PART; `data` is a struct feed_audience. */
void feed_send_part(void *data, const struct part_report *report);

/** Send FEED_RETRIES of one process. */
void feed_send_retries(const struct feed_audience *audience,
		       const struct retry_report *report);

/** Send FEED_LIMIT of each server that names one. */
void feed_send_limits(const struct feed_audience *audience,
		      const struct registry *registry);

#endif
