#ifndef FILBERTHALL_FLEET_REGISTRY_H
#define FILBERTHALL_FLEET_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"
#include "fleet/backend.h"

/**
 * Which starts of backend servers are known, told by themselves to some
 * control VM and passed on to all others and to the entry VMs.
 *
 * Failures answered: what a server says arrives late, twice, in any order and
 * over several VMs. Taken as it comes, a late "ready" would bring back a
 * server that has left, or one whose address another service has meanwhile,
 * and requests would go there. Each start of a server is told apart by the
 * moment at which it began, within a start a counter orders what it says; and
 * a start that has left stays dead.
 *
 * Silence: a server that is heard by nobody is dropped, but only while others
 * are heard. If the control VMs themselves are gone, the last known servers
 * are the best there are.
 */

/** One start of a backend server. Plain data, copied freely. */
struct registration {
	char id[BACKEND_NAME_SIZE];
	char address[BACKEND_NAME_SIZE]; /**< IP:port */
	char service[BACKEND_NAME_SIZE];
	char zone[BACKEND_NAME_SIZE];
	int64_t started_ms; /**< wall clock of its start; 0 if it doesn't say */
	int64_t sequence;   /**< grows with all that this start says */
	int64_t slots;	    /**< requests at once */
	int64_t leaves_ms;  /**< when it will be gone, 0 unknown */
	bool cheap;	    /**< may be reclaimed, with its zone */
	bool leaving;	    /**< no new work */
	bool gone;	    /**< this start will never work again */
};

/** A registration as it is kept. */
struct registry_entry {
	struct map_node node;	      /**< by id */
	struct map_node address_node; /**< by address, unless gone */
	struct map_node
		short_id_node; /**< by registration_mark(), unless gone */
	bool indexed;	       /**< `place` and `mark` are in their maps */
	struct registration registration;
	int64_t last_contact_us;	/**< last sign of life, own clock */
	int64_t last_direct_contact_us; /**< last one that this VM heard by itself */
	bool timed_out;			/**< unheard while others were heard */
};

struct registry {
	struct map by_id;
	struct map by_address;	 /**< those that aren't gone */
	struct map by_short_id;	 /**< the same */
	int64_t last_contact_us; /**< when any server was last heard of */
	int64_t timeout_us;	 /**< for so long unheard while others were */
};

/** What a message did. */
enum registry_outcome {
	REGISTRY_STALE,	    /**< older than what is known: ignored */
	REGISTRY_REFRESHED, /**< alive, and nothing new */
	REGISTRY_CHANGED,   /**< pass it on */
};

/**
 * A start that nobody has heard for so many of its beats, and this time at
 * least, gets no work until it is heard again: so that a VM that was cut off
 * and the beats that went to it don't cost a server.
 */
#define REGISTRY_TIMEOUT_HEARTBEATS 6
#define REGISTRY_TIMEOUT_MIN_US INT64_C(8000000)

/**
 * How long a dead start is remembered. A message that was held up by a
 * partition may come minutes later.
 */
#define REGISTRY_TOMBSTONE_US INT64_C(600000000)

/** `beat_us`: how often servers are heard from, 0 if it isn't known. */
void registry_init(struct registry *registry, int64_t beat_us);
void registry_clear(struct registry *registry);

/**
 * Take in what a server said at `heard_us`.
 *
 * @param replaced	set to an older start at the same address, which is
 *			marked as gone, or NULL
 */
enum registry_outcome registry_update(struct registry *registry,
				      const struct registration *told,
				      int64_t heard_us,
				      struct registry_entry **replaced);

/** A server said goodbye: no new work for it. NULL if it is unknown. */
struct registry_entry *registry_mark_gone(struct registry *registry,
					  const char *id);

/** The start is alive as of `heard_us`; NULL if it isn't the one known. */
struct registry_entry *registry_heartbeat(struct registry *registry,
					  const char *id, int64_t born_ms,
					  int64_t heard_us);

/** A start's short name on links: REGISTRATION_MARK_BYTES of a hash. */
#define REGISTRATION_SHORT_ID_BYTES 5
uint64_t registration_short_id(const char *id, int64_t born_ms);

/** The start with that mark that isn't gone, or NULL. */
struct registry_entry *registry_find_short_id(const struct registry *registry,
					      uint64_t mark);

/** Some server was heard, known or not. */
void registry_note_contact(struct registry *registry, int64_t heard_us);

/** Whether the start may get new work. */
bool registry_entry_usable(const struct registry_entry *registered);

/** Number of servers that may get work. */
int registry_count_usable(const struct registry *registry);

struct registry_entry *registry_find(const struct registry *registry,
				     const char *id);

/** The living start at that address, or NULL. */
struct registry_entry *registry_find_address(const struct registry *registry,
					     const char *address);

/**
 * Mark as silent what wasn't heard while others were, and forget what has long
 * been dead. Calls `silent` (NULL is allowed) with each newly silent one.
 */
void registry_expire(struct registry *registry, int64_t now_us,
		     void (*silent)(void *data,
				    struct registry_entry *registered),
		     void *data);

#endif
